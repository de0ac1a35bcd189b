//! Paces requests: grants them at a rate, and spreads the returns of refused callers.

use crate::intake::Rate;
use crate::time::{Span, Time};
use crate::value;

/// Longest time between two grants. Only an answer tells that a limit has ended, so a server with a
/// limit of one request an hour is asked sooner.
const MAX_INTERVAL: Span = Span::from_secs(10);
/// Longest time until the first grant of a new pacer.
const MAX_FIRST_WAIT: Span = Span::from_secs(1);
/// Time for which unused grants are saved up.
const SAVE_TIME: Span = Span::from_millis(250);
/// Longest time over which the returns of refused callers are spread.
const MAX_SPREAD: Span = Span::from_secs(3);

value! {
    /// When a server accepts requests.
    #[derive(Copy)]
    pub struct Pace {
        /// Time between two requests.
        pub interval: Span,
        /// When the next one may be sent.
        pub ready: Time,
    }
}

/// Grants requests at a rate (a token bucket).
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    rate: Rate,
    /// Requests that may be sent now, as of `updated`; at most [`capacity`].
    saved: f64,
    updated: Time,
}

impl Pacer {
    /// Creates a pacer that has no grants saved up.
    pub fn new(now: Time, rate: Rate) -> Self {
        let mut pacer = Self { rate, saved: 0.0, updated: now };
        pacer.restart(now);
        pacer
    }

    /// Gives up the grants that are saved up, as requests may have been granted by another pacer.
    pub fn restart(&mut self, now: Time) {
        let first_wait = MAX_FIRST_WAIT.as_secs_f64() / self.interval(1.0).as_secs_f64();
        (self.saved, self.updated) = ((1.0 - first_wait).max(0.0), now);
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Time, rate: Rate) {
        self.saved = self.saved_at(now, 1.0);
        (self.rate, self.updated) = (rate, now);
    }

    /// Grants one request if that keeps `share` of the rate.
    pub fn try_grant(&mut self, now: Time, share: f64) -> bool {
        (self.saved, self.updated) = (self.saved_at(now, share), now);
        let granted = self.saved >= 1.0;
        if granted {
            self.saved -= 1.0;
        }
        granted
    }

    /// The pace of the next requests at `share` of the rate.
    pub fn pace(&self, now: Time, share: f64) -> Pace {
        let interval = self.interval(share);
        let missing = (1.0 - self.saved_at(now, share)).max(0.0);
        // Rounded up, so that the request is granted at that time.
        let wait = interval.scale(missing) + Span(u64::from(missing > 0.0));
        Pace { interval, ready: now + wait }
    }

    fn saved_at(&self, now: Time, share: f64) -> f64 {
        let interval = self.interval(share).as_secs_f64();
        let earned = now.since(self.updated).as_secs_f64() / interval;
        (self.saved + earned).min(capacity(interval))
    }

    /// At least a microsecond.
    fn interval(&self, share: f64) -> Span {
        Span(self.rate.interval().scale(1.0 / share).0.clamp(1, MAX_INTERVAL.0))
    }
}

/// Grants that are saved up at most, for an interval in seconds. With two, a grant is not lost when the
/// next request comes a little late.
fn capacity(interval: f64) -> f64 {
    (1.0 + SAVE_TIME.as_secs_f64() / interval).max(2.0)
}

/// Return times of refused callers. One that returns with all others would be refused again.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSlots {
    /// The first time that no caller was told.
    next: Time,
}

impl ReturnSlots {
    /// Returns the time after which a caller should return: at least `earliest`, and `interval` after
    /// the caller before.
    pub fn book(&mut self, now: Time, earliest: Span, interval: Span) -> Span {
        let first = now + earliest;
        if self.next < first || self.next > first + MAX_SPREAD {
            self.next = first;
        }
        let wait = self.next.since(now);
        self.next = self.next + interval;
        wait
    }
}
