//! Budgets of retries and hedges, and backoff delays.

use damaskweir_core::prelude::*;
use damaskweir_core::retry::{Backoff, BackoffKind, HedgeBudget, RetryBudget};
use rand_core::SeedableRng as _;
use rstest::rstest;
use std::collections::BTreeSet;

/// Guards against more retries to a failing pool than the share allows.
#[rstest]
#[case(100)]
#[case(200)]
fn retries_stay_within_their_share(#[case] share: u32) {
    let mut budget = RetryBudget::new(share);
    let firsts = 10_000;
    let mut extra = 0;
    for _ in 0..firsts {
        budget.deposit();
        extra += u32::from(budget.try_withdraw());
    }
    let allowed = firsts * share / 1_000;
    assert!(extra <= allowed + 10, "{extra} extra attempts, {allowed} allowed");
    assert!(extra >= allowed, "{extra} extra attempts of {allowed} allowed");
}

/// Guards against a changed share that takes effect only after a restart.
#[rstest]
fn changed_share_takes_effect() {
    let mut budget = RetryBudget::new(1_000);
    budget.set_share(0);
    let extra = (0..100).filter(|_| {
        budget.deposit();
        budget.try_withdraw()
    });
    assert_eq!(extra.count(), 10, "only the saved balance may be spent");
}

/// Guards against hedges of long attempts that are few but cost many times their share of the work.
#[rstest]
fn hedges_are_counted_by_work() {
    let mut budget = HedgeBudget::new(30);
    let (mut first, mut extra) = (Span::ZERO, Span::ZERO);
    for i in 0..10_000 {
        let work = Span::from_millis(if i % 50 == 0 { 4_000 } else { 100 });
        first += work;
        budget.deposit(work);
        if budget.try_withdraw(work) {
            extra += work;
        }
    }
    let burst = Span::from_secs(12).as_secs_f64();
    let allowed = first.as_secs_f64() * 0.03 + burst;
    assert!(extra.as_secs_f64() <= allowed, "hedges took {extra:?}, {allowed} s allowed");
}

/// Guards against overflow of the balance by very long work.
#[rstest]
fn maximum_work_is_refused() {
    let mut budget = HedgeBudget::new(30);
    budget.deposit(Span(u64::MAX));
    assert!(!budget.try_withdraw(Span(u64::MAX)));
}

/// Guards against synchronized retries, delays below the base or above the cap, and a busy loop of zero
/// delays.
#[rstest]
fn delays_are_spread_between_base_and_cap() {
    let (base, cap) = (Span::from_millis(5), Span::from_millis(250));
    let mut rng = Rng::seed_from_u64(7);
    let mut seen = BTreeSet::new();
    for _ in 0..100 {
        let mut backoff = Backoff::new(base, cap);
        for _ in 0..8 {
            let delay = backoff.next_delay(&mut rng);
            assert!(delay >= base && delay <= cap, "{delay:?}");
            seen.insert(delay);
        }
    }
    assert!(seen.len() > 300, "{} distinct delays of 800", seen.len());
}

/// Guards against jitter in the baseline of measurements.
#[rstest]
fn exponential_has_no_jitter() {
    let mut rng = Rng::seed_from_u64(7);
    let mut backoff =
        Backoff::with_kind(Span::from_millis(5), Span::from_millis(250), BackoffKind::Exponential);
    let delays: Vec<_> = (0..7).map(|_| backoff.next_delay(&mut rng).as_millis()).collect();
    assert_eq!(delays, [10, 20, 40, 80, 160, 250, 250]);
}
