//! Predicts service times from the ones that were seen.

use crate::time::{Span, Time, decay};

/// Class of requests of like size, for instance the logarithm of the body's length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SizeClass(pub u8);

impl SizeClass {
    /// The class of a size in any unit: a new one at each power of two.
    pub fn of(size: u64) -> Self {
        Self(size.max(1).ilog2() as u8)
    }
}

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Step of the quantile estimate, as a share of the mean.
const QUANTILE_STEP: f64 = 0.05;
/// Quantile that is tracked beside the mean, after which an attempt is hedged. At 0.95 short attempts
/// used up the hedge budget that late ones on dead servers need.
const QUANTILE: f64 = 0.98;

/// Time in which the excess of a stale estimate falls to about a third.
const STALE_DECAY_TIME: Span = Span::from_secs(2);

/// Mean and high quantile of a service time.
#[derive(Clone, Debug)]
pub struct Estimator {
    expected: f64,
    mean: f64,
    quantile: f64,
    samples: u64,
    /// When work was first refused because of this estimate, if no sample has come since.
    stale_since: Option<Time>,
}

impl Estimator {
    /// Starts from an expected service time.
    pub fn new(expected: Span) -> Self {
        let mean = expected.0.max(1) as f64;
        Self { expected: mean, mean, quantile: mean * 2.0, samples: 0, stale_since: None }
    }

    /// Takes a service time that was seen.
    pub fn observe(&mut self, now: Time, observed: Span) {
        let observed = observed.0 as f64;
        self.mean = self.decayed_mean(now);
        self.stale_since = None;
        self.samples += 1;
        // The first samples replace the configured guess quickly.
        let weight = MEAN_WEIGHT.max(1.0 / (self.samples as f64 + 1.0));
        self.mean += (observed - self.mean) * weight;
        let step = self.mean * QUANTILE_STEP;
        self.quantile +=
            if observed > self.quantile { step * QUANTILE } else { -step * (1.0 - QUANTILE) };
        self.quantile = self.quantile.max(self.mean);
    }

    /// Work was refused because of this estimate.
    ///
    /// Refused work gives no samples, so an estimate that a slowdown pushed beyond the deadline would
    /// refuse all work for good. A stale estimate falls towards the expected time until a sample comes.
    pub fn mark_stale(&mut self, now: Time) {
        self.stale_since.get_or_insert(now);
    }

    /// Mean service time.
    pub fn mean(&self, now: Time) -> Span {
        Span(self.decayed_mean(now) as u64)
    }

    /// 98th percentile of the service time, approximately.
    pub fn high_quantile(&self) -> Span {
        Span(self.quantile as u64)
    }

    /// Number of service times seen.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    fn decayed_mean(&self, now: Time) -> f64 {
        let excess = (self.mean - self.expected).max(0.0);
        let idle = self.stale_since.map_or(Span::ZERO, |since| now.since(since));
        let keep = (-(idle.as_secs_f64() / STALE_DECAY_TIME.as_secs_f64())).exp();
        self.mean - excess * (1.0 - keep)
    }
}

/// Time after which an observation counts for less than half.
const SLOWDOWN_DECAY_TIME: Span = Span::from_secs(2);
/// Predicted time that stands for "as predicted" while little was seen.
const SLOWDOWN_PRIOR: Span = Span::from_millis(400);

/// Observed time as a multiple of the predicted one.
///
/// Work that has not ended counts with the time it has taken so far. So a server that stops answering
/// is seen to slow down before any of its answers arrives.
#[derive(Clone, Debug, Default)]
pub struct Slowdown {
    observed: f64,
    expected: f64,
    updated: Time,
}

impl Slowdown {
    /// Work ended after `observed`; `expected` was predicted.
    pub fn observe(&mut self, now: Time, observed: Span, expected: Span) {
        let keep = self.decay_factor(now);
        self.observed = self.observed * keep + observed.0 as f64;
        self.expected = self.expected * keep + expected.0 as f64;
        self.updated = self.updated.max(now);
    }

    /// The pace, given the total age of the work that has not ended.
    pub fn value(&self, now: Time, overrun: Span) -> f64 {
        let keep = self.decay_factor(now);
        let prior = SLOWDOWN_PRIOR.0 as f64;
        (self.observed * keep + overrun.0 as f64 + prior) / (self.expected * keep + prior)
    }

    /// Forgets everything.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn decay_factor(&self, now: Time) -> f64 {
        decay(now, self.updated, SLOWDOWN_DECAY_TIME)
    }
}
