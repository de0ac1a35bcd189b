//! Detection of returning callers.

use damaskweir_core::forecast::{ArrivalEstimate, Decision, decide_admission};
use damaskweir_core::returns::ReturnDetector;
use damaskweir_core::time::Span;
use rstest::rstest;

/// Wait times of first-time callers, evenly distributed between `fraction` of the longest and the longest.
fn first_waits(longest: u64, fraction: f64, count: u64) -> impl Iterator<Item = Span> {
    let least = (longest as f64 * fraction) as u64;
    // A fixed step coprime to the range covers it in a scattered order.
    (0..count).map(move |i| Span::from_millis(least + i * 7_919 % (longest - least).max(1)))
}

fn trained(longest: u64, fraction: f64) -> ReturnDetector {
    let mut detector = ReturnDetector::default();
    first_waits(longest, fraction, 200).for_each(|wait| detector.observe(wait, true));
    detector
}

fn arrival(wait: Span, elapsed: Span) -> ArrivalEstimate {
    ArrivalEstimate {
        timely: Span::from_millis(520),
        late: Some(Span::from_millis(900)),
        time_left: wait,
        elapsed,
        objective: Span::from_millis(730),
    }
}

/// Guards against serving first-time callers behind all others because their wait time is shorter than the
/// longest one. It happened to 1,195 of 1,765 requests of a route on a quiet day of Norrvik's site.
#[rstest]
#[case::even(0.85)]
#[case::wide(0.4)]
#[case::exact(0.999)]
fn first_callers_with_different_waits_are_in_time(#[case] fraction: f64) {
    let detector = trained(5_000, fraction);
    let late = first_waits(5_000, fraction, 500)
        .filter(|wait| {
            decide_admission(&arrival(*wait, detector.elapsed_since_first(*wait)))
                != Decision::Admit
        })
        .count();
    assert!(late <= 10, "{late} of 500 first-time callers are not treated as in time");
}

/// Guards against serving a late returning caller as if it could still be in time.
#[test]
fn late_returning_caller_is_detected() {
    let detector = trained(5_000, 0.85);
    let wait = Span::from_millis(3_600);
    let elapsed = detector.elapsed_since_first(wait);
    assert!(elapsed >= Span::from_millis(600), "{elapsed:?}");
    assert_eq!(decide_admission(&arrival(wait, elapsed)), Decision::AdmitLate);
}

/// Guards against recording callers that return during an overload as first-time callers.
#[test]
fn callers_during_an_overload_are_not_learned() {
    let mut detector = trained(5_000, 0.85);
    (0..2_000).for_each(|_| detector.observe(Span::from_millis(3_000), false));
    assert!(detector.elapsed_since_first(Span::from_millis(3_000)) > Span::ZERO);
}

/// Guards against treating callers as returning before enough samples were recorded, or after a new
/// configuration has changed how long callers wait.
#[test]
fn changed_waits_are_learned() {
    let mut detector = ReturnDetector::default();
    assert_eq!(detector.elapsed_since_first(Span::from_millis(100)), Span::ZERO);
    first_waits(5_000, 0.85, 100).for_each(|wait| detector.observe(wait, true));
    let shorter: Vec<_> = first_waits(3_000, 0.85, 1_000).collect();
    assert!(detector.elapsed_since_first(shorter[0]) > Span::ZERO);
    shorter.iter().for_each(|wait| detector.observe(*wait, true));
    assert_eq!(detector.elapsed_since_first(shorter[0]), Span::ZERO);
}
