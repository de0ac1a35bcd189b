//! A budget of repeats over a sliding window, in parts that several entries use without talking.

use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Part of the allowance that is used. The rest covers windows that entries see at different times.
const USED_PART: f64 = 0.7;

/// Limits repeats to a share of the requests in a window, plus a fixed number.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    ratio: f64,
    slack: f64,
    window: Span,
    firsts: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl WindowBudget {
    /// A budget of `ratio` repeats for each request in `window`, plus `slack`.
    pub fn new(ratio: f64, slack: f64, window: Span) -> Self {
        Self { ratio, slack, window, firsts: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a request.
    pub fn count(&mut self, now: Time) {
        trim(&mut self.firsts, now, self.window);
        self.firsts.push_back(now);
    }

    /// Takes one repeat if the budget allows it. `entries` share the fixed number.
    pub fn withdraw(&mut self, now: Time, entries: usize) -> bool {
        trim(&mut self.firsts, now, self.window);
        trim(&mut self.repeats, now, self.window);
        let own = self.firsts.len() as f64 * self.ratio + self.slack / entries.max(1) as f64;
        let allowed = ((self.repeats.len() + 1) as f64) <= own * USED_PART;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }
}

fn trim(times: &mut VecDeque<Time>, now: Time, window: Span) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
