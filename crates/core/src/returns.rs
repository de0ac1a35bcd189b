//! Tells callers that come back after a refusal from those that come first, by the time that they will wait.
//!
//! Answers loads in which first callers of one route differ in the time that they grant. One whose time is
//! short of the longest seen may simply be less patient; treated as late, it would be served behind all
//! others although it can be served in time.

use crate::time::Span;
use std::collections::BTreeMap;

/// Width of a class of waiting times, as a part of the time.
const BUCKET_GROWTH: f64 = 0.02;
/// Part of first callers that may be less patient than the edge.
const FIRST_WAIT_QUANTILE: f64 = 0.02;
/// The caller in the middle stands for the time of a first try.
const MEDIAN: f64 = 0.5;
/// Callers that must be seen before one is taken as returning.
const MIN_SAMPLES: u32 = 20;
/// Callers after which older ones count for half.
const DECAY_SAMPLES: u32 = 1_000;
/// Time by which a returning caller's time is below the edge; no hint to come back is shorter.
const RETURN_MARGIN: Span = Span::from_millis(60);

/// Waiting times of a route's first callers, by classes.
#[derive(Clone, Debug, Default)]
pub struct ReturnDetector {
    /// Callers by class. The sum is `total`.
    buckets: BTreeMap<u32, u32>,
    total: u32,
}

impl ReturnDetector {
    /// A caller will wait this long. Counts only while nobody is told to come back, since then all callers
    /// come first, and until enough were seen.
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

    /// Time since the first try of a caller that will wait this long; zero if it may come first.
    pub fn elapsed_since_first(&self, wait: Span) -> Span {
        if self.total < MIN_SAMPLES || wait + RETURN_MARGIN >= self.quantile(FIRST_WAIT_QUANTILE) {
            return Span::ZERO;
        }
        self.quantile(MEDIAN).saturating_sub(wait)
    }

    /// Lower end of the class in which this part of the callers is reached.
    fn quantile(&self, fraction: f64) -> Span {
        let rank = (f64::from(self.total) * fraction) as u32;
        let mut seen = 0;
        for (bucket, count) in &self.buckets {
            seen += count;
            if seen > rank {
                return bucket_start(*bucket);
            }
        }
        Span::ZERO
    }
}

/// Classes grow with the time, so that each is as fine as the times in it.
fn bucket_index(wait: Span) -> u32 {
    ((wait.0.max(1) as f64).ln() / (1.0 + BUCKET_GROWTH).ln()) as u32
}

fn bucket_start(bucket: u32) -> Span {
    Span((1.0 + BUCKET_GROWTH).powi(bucket.try_into().unwrap_or(i32::MAX)) as u64)
}
