//! Tests of the time for which the store is known to have served.

use damaskweir_core::time::{Span, Time};
use damaskweir_core::uptime::{Uptime, UptimeStatement};
use proptest::prelude::*;
use rstest::rstest;

/// Period after a return for which the tests ask.
const PERIOD: Span = Span::from_secs(3);

fn millis(n: u64) -> Time {
    Time::default() + Span::from_millis(n)
}

/// What is known at 20 s of a store that served this entry from 10 s on, except for `gap` ms until then.
fn served_until(gap: u64) -> Uptime {
    let mut uptime = Uptime::default();
    uptime.answered(millis(10_000), millis(10_000), Span::ZERO);
    let last = millis(20_000 - gap);
    uptime.answered(last, millis(10_000), last.since(millis(10_000)));
    uptime.answered(millis(20_000), millis(20_000), Span::ZERO);
    uptime
}

/// Guards against an outage of the store that is inferred from a start of this process or from single failed
/// calls, and against one that is not noticed.
#[rstest]
#[case::served(0, 0)]
#[case::failed_calls(900, 0)]
#[case::away(1_500, 3_000)]
fn outage_is_a_time_without_answers(#[case] gap: u64, #[case] left: u64) {
    assert_eq!(served_until(gap).time_left(millis(20_000), PERIOD), Span::from_millis(left));
}

/// Guards against an outage that a late answer hides: the store held the call for longer than it was asked to.
#[test]
fn late_answer_does_not_hide_an_outage() {
    let mut uptime = served_until(0);
    uptime.answered(millis(23_000), millis(20_000), Span::from_millis(600));
    assert_eq!(uptime.time_left(millis(24_000), PERIOD), Span::from_secs(2));
}

/// Guards against an entry that takes its own suspension for an outage of the store, and against one
/// that forgets an outage for a short one.
#[test]
fn suspension_is_no_outage() {
    let mut uptime = served_until(0);
    uptime.suspended(millis(24_000));
    uptime.answered(millis(24_000), millis(20_000), Span::from_millis(600));
    assert_eq!(uptime.time_left(millis(24_000), PERIOD), Span::ZERO);
    let mut uptime = served_until(5_000);
    uptime.suspended(millis(20_900));
    assert_eq!(uptime.time_left(millis(21_000), PERIOD), Span::from_secs(2));
}

/// Guards against an entry that takes its own trouble for that of the store, and against an outage that it forgets
/// because of what another entry tells.
#[rstest]
#[case::served_all_the_while(30_000, 0, None, 0)]
#[case::served_until_a_while_ago(30_000, 900, None, 0)]
#[case::served_since_the_last_answer(5_500, 0, None, 0)]
#[case::same_outage(100, 0, Some(4_000), 2_900)]
#[case::of_before(30_000, 9_000, None, 3_000)]
#[case::started_after_the_outage(100, 0, None, 2_900)]
#[case::started_in_the_outage(0, 0, None, 3_000)]
fn others_tell_whether_there_was_an_outage(
    #[case] since: u64,
    #[case] until: u64,
    #[case] before: Option<u64>,
    #[case] left: u64,
) {
    let mut uptime = served_until(5_000);
    let (since, until) = (Span::from_millis(since), Span::from_millis(until));
    let before = before.map(Span::from_millis);
    uptime.told(millis(20_000), millis(20_000), UptimeStatement { since, until, before });
    assert_eq!(uptime.time_left(millis(20_000), PERIOD), Span::from_millis(left));
}

proptest! {
    /// Guards against an outage that entries forget by telling each other, and against a grace period that lasts
    /// longer with each step.
    #[test]
    fn entries_agree_on_the_latest_return(
        polls in proptest::collection::vec((0..4_usize, 0..4_usize, 1..300_u64), 1..80),
        delays in proptest::collection::vec(0..600_u64, 4),
    ) {
        let mut entries = [served_until(0); 4];
        let back = 25_000;
        for (entry, delay) in entries.iter_mut().zip(&delays) {
            let now = millis(back + delay);
            entry.answered(now, now, Span::ZERO);
        }
        let first = back + delays.iter().copied().min().unwrap_or_default();
        let mut now = back + 600;
        for (from, to, transit) in polls {
            let sent = millis(now);
            let Some(told) = entries[from].statement(sent) else { continue };
            now += transit;
            entries[to].told(millis(now), sent, told);
            for entry in &entries {
                let end = now + entry.time_left(millis(now), Span::from_secs(100)).as_millis();
                prop_assert!(end >= first + 100_000, "{end} after a return at {first}");
                prop_assert!(end <= back + 600 + 100_000, "{end} after a return at {first}");
            }
        }
    }
}
