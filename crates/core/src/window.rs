//! Budget of repeated attempts over a sliding window, divided between entries without coordination.

use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Fraction of the budget that may be used. The rest covers the differences between the windows of
/// entries, which are not synchronized.
const SAFETY_FACTOR: f64 = 0.7;

/// Limits repeats to a ratio of the requests in a sliding window, plus a fixed number.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    ratio: f64,
    base: f64,
    window: Span,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl WindowBudget {
    /// Creates a budget of `ratio` repeats per request in `window`, plus `base` repeats per window.
    pub fn new(ratio: f64, base: f64, window: Span) -> Self {
        Self { ratio, base, window, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Records a first request.
    pub fn record_request(&mut self, now: Time) {
        drop_expired(&mut self.requests, now, self.window);
        self.requests.push_back(now);
    }

    /// Withdraws one repeat if the budget allows it. The base is divided evenly between `entries`.
    pub fn try_withdraw(&mut self, now: Time, entries: usize) -> bool {
        drop_expired(&mut self.requests, now, self.window);
        drop_expired(&mut self.repeats, now, self.window);
        let budget = self.requests.len() as f64 * self.ratio + self.base / entries.max(1) as f64;
        let allowed = ((self.repeats.len() + 1) as f64) <= budget * SAFETY_FACTOR;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Span) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
