//! Tests of service time estimates.

use damaskweir_core::predict::Estimator;
use damaskweir_core::prelude::*;
use rstest::rstest;

const EXPECTED: Span = Span::from_millis(100);
const SLOW: Span = Span::from_secs(5);

fn slowed_estimator(now: Time) -> Estimator {
    let mut estimator = Estimator::new(EXPECTED);
    for _ in 0..100 {
        estimator.observe(now, SLOW);
    }
    estimator
}

/// Guards against refusing all work forever: a slowdown pushes the estimate beyond the deadline, no
/// sample follows and the estimate never decreases.
#[rstest]
fn stale_excess_decays() {
    let mut estimator = slowed_estimator(Time(0));
    assert!(estimator.mean(Time(0)) > Span::from_secs(4));
    estimator.mark_stale(Time(0));
    let later = Time(0) + Span::from_secs(20);
    assert!(estimator.mean(later) < EXPECTED * 2);
}

/// Guards against estimates of rare, long work that decay between two calls.
#[rstest]
fn confirmed_excess_stays() {
    let estimator = slowed_estimator(Time(0));
    assert!(estimator.mean(Time(0) + Span::from_secs(3_600)) > Span::from_secs(4));
}

/// Guards against estimates that decay while samples still confirm them.
#[rstest]
fn samples_confirm_the_estimate() {
    let mut estimator = slowed_estimator(Time(0));
    for second in 1..20 {
        let now = Time(0) + Span::from_secs(second);
        estimator.mark_stale(now);
        estimator.observe(now, SLOW);
    }
    assert!(estimator.mean(Time(0) + Span::from_secs(60)) > Span::from_secs(4));
}

/// Guards against an estimate below the expected time that rises without samples.
#[rstest]
fn fast_estimates_stay() {
    let mut estimator = Estimator::new(EXPECTED);
    for _ in 0..100 {
        estimator.observe(Time(0), Span::from_millis(10));
    }
    let now = Time(0) + Span::from_secs(60);
    estimator.mark_stale(Time(0));
    assert_eq!(estimator.mean(now), estimator.mean(Time(0)));
}
