//! Predicts service times from the ones that were seen.

use crate::time::Span;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Step of the quantile estimate, as a share of the mean.
const QUANTILE_STEP: f64 = 0.05;
/// Quantile that is tracked beside the mean.
const QUANTILE: f64 = 0.95;

/// Mean and high quantile of a service time.
#[derive(Clone, Debug)]
pub struct Estimator {
    mean: f64,
    high: f64,
    samples: u64,
}

impl Estimator {
    /// Starts from an expected service time.
    pub fn new(expected: Span) -> Self {
        let mean = expected.0.max(1) as f64;
        Self { mean, high: mean * 2.0, samples: 0 }
    }

    /// Takes a service time that was seen.
    pub fn observe(&mut self, seen: Span) {
        let seen = seen.0 as f64;
        self.samples += 1;
        // The first samples replace the configured guess quickly.
        let weight = MEAN_WEIGHT.max(1.0 / (self.samples as f64 + 1.0));
        self.mean += (seen - self.mean) * weight;
        let step = self.mean * QUANTILE_STEP;
        self.high += if seen > self.high { step * QUANTILE } else { -step * (1.0 - QUANTILE) };
        self.high = self.high.max(self.mean);
    }

    /// Mean service time.
    pub fn mean(&self) -> Span {
        Span(self.mean as u64)
    }

    /// 95th percentile of the service time, approximately.
    pub fn high(&self) -> Span {
        Span(self.high as u64)
    }

    /// Number of service times seen.
    pub fn samples(&self) -> u64 {
        self.samples
    }
}
