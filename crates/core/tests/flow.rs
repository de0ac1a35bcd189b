//! Attempts, refusals, hedges and early failures of idempotent stages, and the sidecar's concurrency
//! limit.

mod common;

use common::{attempt, bundle, dispatch, rng};
use damaskweir_core::entry::{
    Answer, Call, Entry, EntryAction, EntryEvent, EntrySettings, ErrorCode, Execution,
};
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Sidecar, SidecarAction, SidecarSettings};
use rstest::rstest;
use std::sync::Arc;

fn report(server: u64, wait: Span, running: u32) -> Report {
    Report {
        incarnation: Incarnation(100 + server),
        serial: 1,
        version: Version(1),
        queued: 0,
        running,
        limit: 2,
        wait,
        draining: false,
    }
}

fn entry(servers: u16, wait: Span, running: u32) -> Entry {
    let settings = EntrySettings::default();
    let bundle = Arc::new(bundle(servers));
    let mut entry = Entry::new(Incarnation(7), "kerala-south-1".into(), settings, bundle);
    for i in 0..servers {
        for pool in ["readers", "orders"] {
            let id = ServerId::from(format!("{pool}-{i}").as_str());
            entry.set_connected(Time(0), &pool.into(), &id, true);
            entry.report(&pool.into(), &id, report(u64::from(i), wait, running));
        }
    }
    entry
}

fn call(deadline: Span) -> Call {
    Call {
        pipeline: "read".into(),
        workspace: "kollam".into(),
        deadline: Some(deadline),
        key: None,
        body: Digest([1; 32]),
        prefix: None,
        stream: false,
    }
}

fn sends(actions: &[EntryAction]) -> Vec<(ServerId, AttemptId)> {
    let send = |action: &EntryAction| match action {
        EntryAction::Send { server, dispatch, .. } => Some((server.clone(), dispatch.attempt)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn answers(actions: &[EntryAction]) -> Vec<Answer> {
    let answer = |action: &EntryAction| match action {
        EntryAction::Answer(_, answer) => Some(answer.clone()),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

/// Guards against a request that is redirected until its deadline, and against a final answer that
/// is delayed or lacks the servers' retry hint.
#[rstest]
fn redirects_are_limited_and_return_the_hint() {
    let mut entry = entry(8, Span::ZERO, 0);
    let mut rng = rng(1);
    let now = Time(0);
    let (_, mut actions) = entry.call(now, &mut rng, call(Span::from_secs(3)));
    let retry = Span::from_millis(700);
    let mut used = Vec::new();
    while let [(server, attempt)] = &sends(&actions)[..] {
        assert!(!used.contains(server), "{server} was tried twice");
        used.push(server.clone());
        let event = EntryEvent::Refused(*attempt, Refusal::Overloaded { retry });
        actions = entry.event(now, &mut rng, event);
    }
    assert_eq!(used.len(), 3);
    let expected = Answer::Error {
        code: ErrorCode::Overloaded,
        execution: Execution::NotRun,
        retry: Some(retry),
    };
    assert_eq!(answers(&actions), [expected]);
    assert_eq!(entry.active_requests(), 0);
}

/// Guards against admitting requests whose time would be used up in the queue.
#[rstest]
fn full_pool_is_refused_immediately() {
    let mut entry = entry(4, Span::from_secs(2), 2);
    let (_, actions) = entry.call(Time(0), &mut rng(1), call(Span::from_secs(3)));
    let [Answer::Error { code, execution, retry }] = &answers(&actions)[..] else {
        panic!("{actions:?}")
    };
    assert_eq!((*code, *execution), (ErrorCode::Overloaded, Execution::NotRun));
    assert!(retry.is_some_and(|retry| retry >= Span::from_millis(500)), "{retry:?}");
}

/// Guards against a slow attempt without a hedge, a hedge on the same server, a second hedge, and a
/// losing attempt that is not cancelled.
#[rstest]
fn slow_attempt_is_hedged_once() {
    let mut entry = entry(4, Span::ZERO, 0);
    let mut rng = rng(1);
    let (_, actions) = entry.call(Time(0), &mut rng, call(Span::from_secs(3)));
    let first = sends(&actions).remove(0);
    let at = entry.next_tick().unwrap();
    assert!(at < Time(0) + Span::from_secs(1), "{at:?}");
    let second = sends(&entry.tick(at, &mut rng)).remove(0);
    assert_ne!(first.0, second.0);
    assert_eq!(entry.next_tick(), Some(Time(0) + Span::from_secs(3)));
    let done = EntryEvent::Done(second.1, Outcome::Finished);
    let actions = entry.event(at + Span(1), &mut rng, done);
    assert!(actions.contains(&EntryAction::Cancel(first.0, first.1)), "{actions:?}");
    assert_eq!(answers(&actions), [Answer::Complete(second.1)]);
}

/// Guards against hedges that delay first attempts when all servers have a queue.
#[rstest]
fn hedge_is_not_queued() {
    let mut entry = entry(4, Span::from_millis(100), 2);
    let mut rng = rng(1);
    entry.call(Time(0), &mut rng, call(Span::from_secs(3)));
    let at = entry.next_tick().unwrap();
    assert!(sends(&entry.tick(at, &mut rng)).is_empty());
}

/// Guards against sharing one service-time estimate between size classes.
#[rstest]
fn size_classes_are_predicted_separately() {
    let mut entry = entry(1, Span::ZERO, 0);
    let mut rng = rng(1);
    let estimate = |actions: &[EntryAction]| match &actions[0] {
        EntryAction::Send { dispatch, .. } => dispatch.estimate,
        other => panic!("{other:?}"),
    };
    for i in 0..200 {
        let now = Time(i * 1_000_000);
        for (class, ms) in [(1, 10), (2, 400)] {
            let request = call(Span::from_secs(3));
            let (_, actions) = entry.call_sized(now, &mut rng, request, SizeClass(class));
            let (_, id) = sends(&actions).remove(0);
            entry.set_service_time(id, Span::from_millis(ms));
            let done = EntryEvent::Done(id, Outcome::Finished);
            entry.event(now + Span::from_millis(ms), &mut rng, done);
        }
    }
    let now = Time(200_000_000);
    let deadline = Span::from_secs(3);
    let (_, small) = entry.call_sized(now, &mut rng, call(deadline), SizeClass(1));
    let (_, large) = entry.call_sized(now, &mut rng, call(deadline), SizeClass(2));
    assert!(estimate(&small).as_millis() <= 12, "{:?}", estimate(&small));
    assert!(estimate(&large).as_millis() >= 350, "{:?}", estimate(&large));
}

/// Guards against long work that occupies all slots of a sidecar, even if it was predicted to be
/// short.
#[rstest]
#[case::predicted(Span::from_secs(4))]
#[case::mispredicted(Span::from_millis(40))]
fn long_work_leaves_free_slots(#[case] predicted: Span) {
    let settings = SidecarSettings { slots: 8, ..SidecarSettings::default() };
    let mut side = Sidecar::new(Incarnation(100), settings);
    let mut now = Time(0);
    for serial in 0..50 {
        side.dispatch(now, &dispatch(attempt(serial, 0), Effect::Idempotent));
        now = now + Span::from_millis(40);
        side.finish(now, attempt(serial, 0), Outcome::Finished);
    }
    let mut started = 0;
    for serial in 100..108 {
        let mut long = dispatch(attempt(serial, 0), Effect::Idempotent);
        (long.estimate, long.remaining) = (predicted, Span::from_secs(30));
        let actions = side.dispatch(now, &long);
        started += usize::from(actions.contains(&SidecarAction::Start(attempt(serial, 0))));
        now = now + Span::from_secs(1);
    }
    let short = side.dispatch(now, &dispatch(attempt(200, 0), Effect::Idempotent));
    if predicted > Span::from_secs(1) {
        assert!(started <= 4, "long work occupies {started} of 8 slots");
        assert_eq!(short, [SidecarAction::Start(attempt(200, 0))]);
    } else {
        // Work that is predicted to be short is started. Once it runs long, further long work
        // waits.
        let mut long = dispatch(attempt(300, 0), Effect::Idempotent);
        (long.estimate, long.remaining) = (Span::from_secs(4), Span::from_secs(30));
        for serial in 100..104 {
            side.finish(now, attempt(serial, 0), Outcome::Finished);
        }
        let actions = side.dispatch(now, &long);
        assert!(!actions.contains(&SidecarAction::Start(attempt(300, 0))), "{actions:?}");
    }
}

/// Guards against a concurrency limit that stays above the backend server's capacity, drops again
/// before reports reflect the last change, or never rises again.
#[rstest]
fn limit_follows_the_backend_server() {
    let settings = SidecarSettings { slots: 16, ..SidecarSettings::default() };
    let mut side = Sidecar::new(Incarnation(100), settings);
    for serial in 0..40 {
        side.dispatch(Time(0), &dispatch(attempt(serial, 0), Effect::Idempotent));
    }
    side.observe_load(Time(1), 6);
    assert_eq!(side.report(Time(1)).limit, 10);
    side.observe_load(Time(2), 6);
    assert_eq!(side.report(Time(2)).limit, 10, "the load does not reflect the lower limit yet");
    for serial in 0..8 {
        side.finish(Time(3), attempt(serial, 0), Outcome::Finished);
    }
    let later = Time(0) + Span::from_millis(1_500);
    let actions = side.observe_load(later, 0);
    assert_eq!(side.report(later).limit, 11);
    assert_eq!(actions.len(), 1);
}

/// Guards against refusing all requests for good after a slowdown: the estimate exceeds the
/// deadline, and refused work yields no samples that would lower it.
#[rstest]
fn admission_recovers_after_a_slowdown() {
    let mut entry = entry(1, Span::ZERO, 0);
    let mut rng = rng(1);
    let mut now = Time(0);
    loop {
        let (_, actions) = entry.call(now, &mut rng, call(Span::from_secs(3)));
        let Some((_, id)) = sends(&actions).pop() else { break };
        now = now + Span::from_secs(2);
        entry.set_service_time(id, Span::from_secs(5));
        entry.event(now, &mut rng, EntryEvent::Done(id, Outcome::Finished));
    }
    let (_, actions) = entry.call(now + Span::from_secs(20), &mut rng, call(Span::from_secs(3)));
    assert_eq!(sends(&actions).len(), 1);
}

/// Guards against reporting `unavailable` when attempts ran and failed, and `stage_failed` when no
/// attempt was started.
#[rstest]
#[case::failed(true, ErrorCode::StageFailed)]
#[case::refused(false, ErrorCode::Unavailable)]
fn error_code_distinguishes_failed_from_unavailable(#[case] ran: bool, #[case] want: ErrorCode) {
    let mut entry = entry(3, Span::ZERO, 0);
    let mut rng = rng(1);
    let mut now = Time(0);
    let (_, mut actions) = entry.call(now, &mut rng, call(Span::from_secs(3)));
    while answers(&actions).is_empty() {
        actions = match sends(&actions).pop() {
            Some((_, id)) if ran => {
                let failed = Outcome::Failed(Failure::Backend);
                entry.event(now, &mut rng, EntryEvent::Done(id, failed))
            }
            Some((_, id)) => entry.event(now, &mut rng, EntryEvent::Refused(id, Refusal::Down)),
            None => {
                now = entry.next_tick().unwrap();
                entry.tick(now, &mut rng)
            }
        };
    }
    let answer = answers(&actions).remove(0);
    assert!(matches!(answer, Answer::Error { code, .. } if code == want), "{answer:?}");
}
