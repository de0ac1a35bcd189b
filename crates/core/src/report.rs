//! When an entry writes its status record, with the bundle versions of itself and its sidecars, to the
//! store.
//!
//! The record is attached to a lease and so expires with the entry. It is written after versions
//! change, with a random delay of up to 30 s and at most once a minute. Without changes only the lease
//! is renewed. For 630 entries this makes 6.3 writes/s when idle and at most 17 writes/s while versions
//! change continuously, less than 10% of the several hundred that the store sustains.

use crate::Rng;
use crate::time::{Span, Time};
use rand_core::Rng as _;

/// TTL of the lease on the record: how long it outlives its entry.
pub const STATUS_TTL: Span = Span::from_secs(300);
/// Mean time between renewals of the lease. The lease survives one failed renewal, and two if the
/// random intervals are short enough.
const RENEW_INTERVAL: Span = Span::from_secs(100);
/// Minimum time between two writes of the record.
const WRITE_INTERVAL: Span = Span::from_secs(60);
/// Maximum random delay of a write after a change, once `WRITE_INTERVAL` has passed.
const WRITE_DELAY_MAX: Span = Span::from_secs(30);

/// Action for the caller to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusAction {
    /// Obtain a lease if none is held, and write the record under it.
    Write,
    /// Renew the lease.
    Renew,
}

/// Schedules the writes of an entry's status record and the renewals of its lease.
#[derive(Clone, Debug)]
pub struct StatusReporter {
    /// Digest of the last written record.
    written: Option<u64>,
    write_at: Option<Time>,
    last_write: Option<Time>,
    renew_at: Time,
}

impl StatusReporter {
    /// Creates a reporter that has written nothing.
    pub fn new(now: Time) -> Self {
        Self { written: None, write_at: None, last_write: None, renew_at: now + RENEW_INTERVAL }
    }

    /// Returns the action that is due, given a digest of the versions of the entry and its sidecars.
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
            // Uniform between 80% and 120% of the mean, so that renewals of different entries don't
            // synchronize.
            self.renew_at =
                now + Span(RENEW_INTERVAL.0 * 4 / 5 + rng.next_u64() % (RENEW_INTERVAL.0 * 2 / 5));
            return Some(StatusAction::Renew);
        }
        None
    }

    /// Schedules another write, after `WRITE_INTERVAL`, because a write failed or the lease expired.
    pub fn write_failed(&mut self) {
        self.written = None;
    }
}
