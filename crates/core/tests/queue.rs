//! Order of queued attempts at a sidecar.

use damaskweir_core::policy::Policy;
use damaskweir_core::prelude::*;
use damaskweir_core::queue::{Queue, QueuedAttempt};
use rstest::rstest;

const SHORT: Span = Span::from_millis(50);
const LONG: Span = Span::from_millis(5_000);

fn queued(serial: u64, workspace: &str, estimate: Span, deadline_ms: u64) -> QueuedAttempt {
    QueuedAttempt {
        attempt: AttemptId {
            request: RequestId { entry: Incarnation(1), serial },
            stage: 0,
            number: 0,
        },
        workspace: workspace.into(),
        share: 1,
        deadline: Time(0) + Span::from_millis(deadline_ms),
        estimate,
        arrived: Time(0),
    }
}

fn serials(queue: &mut Queue, now: Time) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(now)).map(|item| item.attempt.request.serial).collect()
}

/// An empty queue that has seen enough short attempts to classify long ones.
fn queue_with_history() -> Queue {
    let mut queue = Queue::new(Policy::Damaskweir);
    for serial in 1_000..1_100 {
        queue.push(queued(serial, "a", SHORT, 3_000));
    }
    queue.drain();
    queue
}

/// Guards against ordering by arrival or deadline alone: the earliest latest start goes first.
#[rstest]
fn least_slack_goes_first() {
    let mut queue = Queue::new(Policy::Damaskweir);
    queue.push(queued(1, "a", SHORT, 3_000));
    queue.push(queued(2, "a", Span::from_millis(900), 1_200));
    queue.push(queued(3, "a", SHORT, 1_000));
    assert_eq!(serials(&mut queue, Time(0)), [2, 3, 1]);
}

/// Guards against a workspace that gets more than its share by sending more attempts.
#[rstest]
#[case(1, 1, 20)]
#[case(3, 1, 30)]
fn shares_are_kept(#[case] share_a: u32, #[case] share_b: u32, #[case] expected_a: usize) {
    let mut queue = Queue::new(Policy::Damaskweir);
    for serial in 0..200 {
        queue.push(QueuedAttempt { share: share_a, ..queued(serial, "a", SHORT, 60_000) });
    }
    for serial in 200..260 {
        queue.push(QueuedAttempt { share: share_b, ..queued(serial, "b", SHORT, 60_000) });
    }
    let taken = (0..40).filter_map(|_| queue.pop(Time(0)));
    let from_a = taken.filter(|item| item.workspace.as_str() == "a").count();
    assert!(from_a.abs_diff(expected_a) <= 1, "{from_a} of 40 from a, expected {expected_a}");
}

/// Guards against a workspace that accumulates credit while idle and then occupies all slots.
#[rstest]
fn idle_workspace_gains_no_credit() {
    let mut queue = Queue::new(Policy::Damaskweir);
    for serial in 0..100 {
        queue.push(queued(serial, "a", SHORT, 60_000));
    }
    for _ in 0..50 {
        queue.pop(Time(0));
    }
    for serial in 100..150 {
        queue.push(queued(serial, "b", SHORT, 60_000));
    }
    let taken = (0..20).filter_map(|_| queue.pop(Time(0)));
    let from_b = taken.filter(|item| item.workspace.as_str() == "b").count();
    assert!((9..=11).contains(&from_b), "{from_b} of 20 from b");
}

/// Guards against long attempts in the slots reserved for others.
#[rstest]
fn long_work_is_held_back() {
    let mut queue = queue_with_history();
    queue.push(queued(1, "a", LONG, 6_000));
    queue.push(queued(2, "a", SHORT, 60_000));
    assert_eq!(queue.pop_filtered(Time(0), false).map(|w| w.attempt.request.serial), Some(2));
    assert_eq!(queue.pop_filtered(Time(0), false), None);
    assert_eq!(queue.pop_filtered(Time(0), true).map(|w| w.attempt.request.serial), Some(1));
}

/// Guards against long attempts that start only when they have no slack left, because newer short attempts
/// always have less slack.
#[rstest]
fn waiting_raises_urgency() {
    let mut queue = queue_with_history();
    queue.push(queued(1, "a", LONG, 30_000));
    let now = Time(0) + Span::from_secs(15);
    let fresh = QueuedAttempt { arrived: now, ..queued(2, "a", SHORT, 18_000) };
    queue.push(fresh);
    assert_eq!(queue.pop(now).map(|w| w.attempt.request.serial), Some(1));
}

/// Guards against running attempts that cannot meet their deadline, and against removing those that can.
#[rstest]
fn late_attempts_are_removed() {
    let mut queue = Queue::new(Policy::Damaskweir);
    queue.push(queued(1, "a", SHORT, 100));
    queue.push(queued(2, "a", SHORT, 101));
    let late = queue.remove_expired(Time(0) + Span::from_millis(51));
    assert_eq!(late.iter().map(|w| w.attempt.request.serial).collect::<Vec<_>>(), [1]);
    assert_eq!((queue.len(), queue.backlog()), (1, SHORT));
}

/// Guards against a deadline out of the signed range that wraps and becomes the most urgent.
#[rstest]
fn maximum_deadline_is_least_urgent() {
    let mut queue = Queue::new(Policy::Damaskweir);
    queue.push(QueuedAttempt { deadline: Time(u64::MAX), ..queued(1, "a", SHORT, 0) });
    queue.push(queued(2, "a", SHORT, 1_000));
    assert_eq!(serials(&mut queue, Time(0)), [2, 1]);
}

/// Guards against a baseline ordered by anything but arrival, which would invalidate comparisons.
#[rstest]
fn baseline_is_first_in_first_out() {
    let mut queue = Queue::new(Policy::Baseline);
    for serial in 0..5 {
        let arrived = Time(serial);
        queue.push(QueuedAttempt { arrived, ..queued(serial, "a", SHORT, 9_000 - serial * 1_000) });
    }
    assert_eq!(serials(&mut queue, Time(0)), [0, 1, 2, 3, 4]);
}
