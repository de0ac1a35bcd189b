//! A budget of repeats over a sliding window, in parts that several entries use without talking.

use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Part of the allowance that is used. The rest covers windows that entries see at different times.
const SAFETY_FACTOR: f64 = 0.7;

/// Limits repeats to a share of the requests in a window, plus a base number.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    ratio: f64,
    base: f64,
    window: Span,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl WindowBudget {
    /// A budget of `ratio` repeats for each request in `window`, plus `slack`.
    pub fn new(ratio: f64, base: f64, window: Span) -> Self {
        Self { ratio, base, window, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time) {
        drop_expired(&mut self.requests, now, self.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat if the budget allows it. `entries` share the base number.
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
