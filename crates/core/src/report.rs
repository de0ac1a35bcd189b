//! How often an entry tells the store what it and its sides have in force.
//!
//! The record of an entry is under a lease and so ends with the entry. It is written when versions
//! changed, at most once a minute and up to half a minute after the change, at a random time. Without
//! changes only the lease is renewed. At 630 entries that is 6.3 writes/s at rest and at most 17
//! writes/s while versions change all the time, below 10% of several hundred.

use crate::Rng;
use crate::time::{Span, Time};
use rand_core::Rng as _;

/// Time to live of the record of an entry that is gone.
pub const STATUS_TTL: Span = Span::from_secs(300);
/// Time between renewals of the lease; two may fail.
const RENEW_INTERVAL: Span = Span::from_secs(100);
/// Shortest time between two writes of the record.
const WRITE_INTERVAL: Span = Span::from_secs(60);
/// Longest time between a change and its write, when the gap has passed.
const WRITE_DELAY_MAX: Span = Span::from_secs(30);

/// What the entry must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusAction {
    /// Grant a lease if none is held, and write the record under it.
    Write,
    /// Renew the lease.
    Renew,
}

/// When to write an entry's record.
#[derive(Clone, Debug)]
pub struct StatusReporter {
    /// Digest of what was written last.
    written: Option<u64>,
    write_at: Option<Time>,
    last_write: Option<Time>,
    renew_at: Time,
}

impl StatusReporter {
    /// A reporter that has written nothing.
    pub fn new(now: Time) -> Self {
        Self { written: None, write_at: None, last_write: None, renew_at: now + RENEW_INTERVAL }
    }

    /// Reports a digest of the versions of the entry and its sides, and returns what is due.
    pub fn tick(&mut self, now: Time, rng: &mut Rng, digest: u64) -> Option<StatusAction> {
        if self.written != Some(digest) && self.write_at.is_none() {
            let delay = Span(rng.next_u64() % WRITE_DELAY_MAX.0);
            let gap = self.last_write.map_or(now, |last| last + WRITE_INTERVAL);
            self.write_at = Some((now + delay).max(gap));
        }
        if self.write_at.is_some_and(|at| now >= at) {
            self.write_at = None;
            self.last_write = Some(now);
            self.written = Some(digest);
            return Some(StatusAction::Write);
        }
        if now >= self.renew_at {
            // Uniform between 80% and 120%, so that entries don't fall into step.
            self.renew_at =
                now + Span(RENEW_INTERVAL.0 * 4 / 5 + rng.next_u64() % (RENEW_INTERVAL.0 * 2 / 5));
            return Some(StatusAction::Renew);
        }
        None
    }

    /// A write failed or its lease has lapsed; it is due again after the gap.
    pub fn write_failed(&mut self) {
        self.written = None;
    }
}
