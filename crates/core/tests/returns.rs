//! Tests of telling returning callers from first ones.

use damaskweir_core::forecast::{ArrivalEstimate, Decision, decide_admission};
use damaskweir_core::returns::FirstTries;
use damaskweir_core::time::Span;
use rstest::rstest;

/// Waiting times of first callers: even between a part of the longest and the whole.
fn first_waits(longest: u64, part: f64, count: u64) -> impl Iterator<Item = Span> {
    let least = (longest as f64 * part) as u64;
    // A fixed step that is prime to the range visits all of it in no order.
    (0..count).map(move |i| Span::from_millis(least + i * 7_919 % (longest - least).max(1)))
}

fn calm(longest: u64, part: f64) -> FirstTries {
    let mut tries = FirstTries::default();
    first_waits(longest, part, 200).for_each(|wait| tries.observe(wait, true));
    tries
}

fn arrival(wait: Span, elapsed: Span) -> ArrivalEstimate {
    ArrivalEstimate {
        timely: Span::from_millis(520),
        late: Span::from_millis(900),
        time_left: wait,
        elapsed,
        objective: Span::from_millis(730),
    }
}

/// Guards against first callers that are served behind all others because they grant less time than the
/// most patient one (1,195 of 1,765 requests of a route on a quiet day of Norrvik's site).
#[rstest]
#[case::even(0.85)]
#[case::wide(0.4)]
#[case::exact(0.999)]
fn first_callers_that_differ_in_patience_are_all_in_time(#[case] part: f64) {
    let tries = calm(5_000, part);
    let late = first_waits(5_000, part, 500)
        .filter(|wait| decide_admission(&arrival(*wait, tries.elapsed(*wait))) != Decision::Admit)
        .count();
    assert!(late <= 10, "{late} of 500 first callers are not taken as being in time");
}

/// Guards against callers that come back and are served as if they could still be in time.
#[test]
fn a_caller_that_comes_back_late_is_known() {
    let tries = calm(5_000, 0.85);
    let wait = Span::from_millis(3_600);
    let elapsed = tries.elapsed(wait);
    assert!(elapsed >= Span::from_millis(600), "{elapsed:?}");
    assert_eq!(decide_admission(&arrival(wait, elapsed)), Decision::AdmitLate);
}

/// Guards against an overload whose returning callers are learned as first ones.
#[test]
fn callers_of_an_overload_teach_nothing() {
    let mut tries = calm(5_000, 0.85);
    (0..2_000).for_each(|_| tries.observe(Span::from_millis(3_000), false));
    assert!(tries.elapsed(Span::from_millis(3_000)) > Span::ZERO);
}

/// Guards against callers that are taken as returning before the route's callers are known, and after
/// a new configuration has changed how long they wait.
#[test]
fn new_patience_is_learned() {
    let mut tries = FirstTries::default();
    assert_eq!(tries.elapsed(Span::from_millis(100)), Span::ZERO);
    first_waits(5_000, 0.85, 100).for_each(|wait| tries.observe(wait, true));
    let shorter: Vec<_> = first_waits(3_000, 0.85, 1_000).collect();
    assert!(tries.elapsed(shorter[0]) > Span::ZERO);
    shorter.iter().for_each(|wait| tries.observe(*wait, true));
    assert_eq!(tries.elapsed(shorter[0]), Span::ZERO);
}
