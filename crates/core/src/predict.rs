//! Estimators of service times and of server slowdown.

use crate::time::{Span, Time, decay};

/// Class of requests of similar size, for instance by the logarithm of the body length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SizeClass(pub u8);

impl SizeClass {
    /// Returns the class of a size in any unit. Each power of two starts a new class.
    pub fn of(size: u64) -> Self {
        Self(size.max(1).ilog2() as u8)
    }
}

/// Minimum weight of a new sample in the moving average.
const MEAN_WEIGHT: f64 = 0.05;
/// Step of the quantile estimate, as a fraction of the mean.
const QUANTILE_STEP: f64 = 0.05;
/// Tracked quantile, after which an attempt is hedged. At 0.95, hedges of short attempts used up
/// the budget needed for late attempts on dead servers.
const QUANTILE: f64 = 0.98;

/// Time in which the excess of a stale estimate over the expected time decays to 1/e.
const STALE_DECAY_TIME: Span = Span::from_secs(2);

/// Estimates the mean and a high quantile of a service time.
#[derive(Clone, Debug)]
pub struct Estimator {
    expected: f64,
    mean: f64,
    quantile: f64,
    samples: u64,
    /// Time of the first refusal caused by this estimate since the last sample.
    stale_since: Option<Time>,
}

impl Estimator {
    /// Creates an estimator that starts from an expected service time.
    pub fn new(expected: Span) -> Self {
        let mean = expected.0.max(1) as f64;
        Self { expected: mean, mean, quantile: mean * 2.0, samples: 0, stale_since: None }
    }

    /// Records an observed service time.
    pub fn observe(&mut self, now: Time, observed: Span) {
        let observed = observed.0 as f64;
        self.mean = self.decayed_mean(now);
        self.stale_since = None;
        self.samples += 1;
        // Early samples get a higher weight, so that they quickly replace the configured estimate.
        let weight = MEAN_WEIGHT.max(1.0 / (self.samples as f64 + 1.0));
        self.mean += (observed - self.mean) * weight;
        let step = self.mean * QUANTILE_STEP;
        self.quantile +=
            if observed > self.quantile { step * QUANTILE } else { -step * (1.0 - QUANTILE) };
        self.quantile = self.quantile.max(self.mean);
    }

    /// Records that work was refused because of this estimate.
    ///
    /// Refused work yields no samples. If a slowdown pushed the estimate beyond the deadline, all
    /// work would be refused forever. A stale estimate therefore decays towards the expected time
    /// until a new sample arrives.
    pub fn mark_stale(&mut self, now: Time) {
        self.stale_since.get_or_insert(now);
    }

    /// Mean service time.
    pub fn mean(&self, now: Time) -> Span {
        Span(self.decayed_mean(now) as u64)
    }

    /// Approximate 98th percentile of the service time.
    pub fn high_quantile(&self) -> Span {
        Span(self.quantile as u64)
    }

    /// Number of observed service times.
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

/// Time in which the weight of an observation decays to 1/e.
const SLOWDOWN_DECAY_TIME: Span = Span::from_secs(2);
/// Predicted time with a slowdown of 1 that is added to the observations, so that a few samples do
/// not dominate.
const SLOWDOWN_PRIOR: Span = Span::from_millis(400);

/// Ratio of observed to predicted time, as a decaying average.
///
/// Unfinished work is included through its overrun, so that a server that stops answering is
/// detected before any of its answers arrives.
#[derive(Clone, Debug, Default)]
pub struct Slowdown {
    observed: f64,
    expected: f64,
    updated: Time,
}

impl Slowdown {
    /// Records work that took `observed` and was predicted to take `expected`.
    pub fn observe(&mut self, now: Time, observed: Span, expected: Span) {
        let keep = self.decay_factor(now);
        self.observed = self.observed * keep + observed.0 as f64;
        self.expected = self.expected * keep + expected.0 as f64;
        self.updated = self.updated.max(now);
    }

    /// The ratio at `now`. `overrun` is the total time by which unfinished work exceeds its
    /// prediction.
    pub fn value(&self, now: Time, overrun: Span) -> f64 {
        let keep = self.decay_factor(now);
        let prior = SLOWDOWN_PRIOR.0 as f64;
        (self.observed * keep + overrun.0 as f64 + prior) / (self.expected * keep + prior)
    }

    /// Discards all observations.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn decay_factor(&self, now: Time) -> f64 {
        decay(now, self.updated, SLOWDOWN_DECAY_TIME)
    }
}
