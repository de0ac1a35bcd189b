//! Detects callers that retry after a refusal, by their remaining wait time.
//!
//! First-time callers of one route may have different wait times, so a wait time below the longest one seen
//! does not prove a retry. Treating such a caller as late would serve it behind all others although it could
//! be served in time.

use crate::time::Span;
use std::collections::BTreeMap;

/// Relative width of a histogram bucket.
const BUCKET_GROWTH: f64 = 0.02;
/// Quantile of the first-time callers' wait times below which a caller can count as returning.
const FIRST_WAIT_QUANTILE: f64 = 0.02;
/// Quantile that stands for the wait time of a returning caller at its first try.
const MEDIAN: f64 = 0.5;
/// Minimum number of samples before any caller counts as returning.
const MIN_SAMPLES: u32 = 20;
/// Number of samples above which all counts are halved, so that older samples lose weight.
const DECAY_SAMPLES: u32 = 1_000;
/// Minimum distance of a returning caller's wait time below the quantile. No retry hint is shorter.
const RETURN_MARGIN: Span = Span::from_millis(60);

/// Histogram of the wait times of a route's first-time callers, used to detect returning ones.
#[derive(Clone, Debug, Default)]
pub struct ReturnDetector {
    /// Number of callers by bucket index. The sum is `total`.
    buckets: BTreeMap<u32, u32>,
    total: u32,
}

impl ReturnDetector {
    /// Records the wait time of a caller. After the first `MIN_SAMPLES`, a caller counts only if
    /// `none_refused` is set, that is, if no caller was told to retry recently and all are first-time
    /// callers.
    pub fn observe(&mut self, wait: Span, none_refused: bool) {
        if !none_refused && self.total >= MIN_SAMPLES {
            return;
        }
        *self.buckets.entry(bucket_index(wait)).or_default() += 1;
        self.total += 1;
        if self.total > DECAY_SAMPLES {
            self.buckets.values_mut().for_each(|count| *count /= 2);
            self.buckets.retain(|_, count| *count > 0);
            self.total = self.buckets.values().sum();
        }
    }

    /// Estimated time since the first try of a caller with this wait time; zero if this may be its first.
    pub fn elapsed_since_first(&self, wait: Span) -> Span {
        if self.total < MIN_SAMPLES || wait + RETURN_MARGIN >= self.quantile(FIRST_WAIT_QUANTILE) {
            return Span::ZERO;
        }
        self.quantile(MEDIAN).saturating_sub(wait)
    }

    /// Lower bound of the bucket that contains this quantile.
    fn quantile(&self, fraction: f64) -> Span {
        let rank = (f64::from(self.total) * fraction) as u32;
        let mut cumulative = 0;
        for (bucket, count) in &self.buckets {
            cumulative += count;
            if cumulative > rank {
                return bucket_start(*bucket);
            }
        }
        Span::ZERO
    }
}

/// Buckets grow exponentially, so that the relative resolution is constant.
fn bucket_index(wait: Span) -> u32 {
    ((wait.0.max(1) as f64).ln() / (1.0 + BUCKET_GROWTH).ln()) as u32
}

fn bucket_start(bucket: u32) -> Span {
    Span((1.0 + BUCKET_GROWTH).powi(bucket.try_into().unwrap_or(i32::MAX)) as u64)
}
