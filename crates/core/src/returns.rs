//! Tells callers that come back after a refusal from those that come first, by the time that they will wait.
//!
//! Answers loads in which first callers of one route differ in the time that they grant. One whose time is
//! short of the longest seen may simply be less patient; treated as late, it would be served behind all
//! others although it can be served in time.

use crate::time::Span;
use std::collections::BTreeMap;

/// Width of a class of waiting times, as a part of the time.
const STEP: f64 = 0.02;
/// Part of first callers that may be less patient than the edge.
const EDGE: f64 = 0.02;
/// The caller in the middle stands for the time of a first try.
const MIDDLE: f64 = 0.5;
/// Callers that must be seen before one is taken as returning.
const SAMPLES_MIN: u32 = 20;
/// Callers after which older ones count for half.
const SAMPLES_MAX: u32 = 1_000;
/// Time by which a returning caller's time is below the edge; no hint to come back is shorter.
const SLACK: Span = Span::from_millis(60);

/// Waiting times of a route's first callers, by classes.
#[derive(Clone, Debug, Default)]
pub struct FirstTries {
    /// Callers by class. The sum is `total`.
    classes: BTreeMap<u32, u32>,
    total: u32,
}

impl FirstTries {
    /// A caller will wait this long. Counts only while nobody is told to come back, since then all callers
    /// come first, and until enough were seen.
    pub fn observe(&mut self, wait: Span, calm: bool) {
        if !calm && self.total >= SAMPLES_MIN {
            return;
        }
        *self.classes.entry(class(wait)).or_default() += 1;
        self.total += 1;
        if self.total > SAMPLES_MAX {
            self.classes.values_mut().for_each(|count| *count /= 2);
            self.classes.retain(|_, count| *count > 0);
            self.total = self.classes.values().sum();
        }
    }

    /// Time since the first try of a caller that will wait this long; zero if it may come first.
    pub fn elapsed(&self, wait: Span) -> Span {
        if self.total < SAMPLES_MIN || wait + SLACK >= self.quantile(EDGE) {
            return Span::ZERO;
        }
        self.quantile(MIDDLE).saturating_sub(wait)
    }

    /// Lower end of the class in which this part of the callers is reached.
    fn quantile(&self, part: f64) -> Span {
        let rank = (f64::from(self.total) * part) as u32;
        let mut seen = 0;
        for (class, count) in &self.classes {
            seen += count;
            if seen > rank {
                return start(*class);
            }
        }
        Span::ZERO
    }
}

/// Classes grow with the time, so that each is as fine as the times in it.
fn class(wait: Span) -> u32 {
    ((wait.0.max(1) as f64).ln() / (1.0 + STEP).ln()) as u32
}

fn start(class: u32) -> Span {
    Span((1.0 + STEP).powi(class.try_into().unwrap_or(i32::MAX)) as u64)
}
