//! The holder's view of a lease.

use crate::ids::Incarnation;
use crate::time::{Span, Time};

/// What the holder must do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease holds; nothing to do.
    Held,
    /// The lease holds and should be renewed.
    Renew,
    /// The lease may have lapsed: stop acting under it.
    Lapsed,
}

/// A lease on the store with its fencing number.
///
/// The holder counts from before it sent the grant or renewal, so its view ends before the store's.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Time just before the last successful renewal was sent.
    renewed: Time,
    ttl: Span,
    /// Increases with each holder; a receiver refuses a lower one.
    fence: u64,
    holder: Incarnation,
}

impl Lease {
    /// A lease granted by a call that was sent at `sent`.
    pub fn new(holder: Incarnation, sent: Time, ttl: Span, fence: u64) -> Self {
        Self { renewed: sent, ttl, fence, holder }
    }

    /// Takes a successful renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Time) {
        self.renewed = self.renewed.max(sent);
    }

    /// Checked before each action under the lease.
    pub fn state(&self, now: Time) -> LeaseState {
        let age = now.since(self.renewed);
        if age >= self.ttl {
            LeaseState::Lapsed
        } else if age.0 >= self.ttl.0 / 3 {
            LeaseState::Renew
        } else {
            LeaseState::Held
        }
    }

    /// The fencing number that orders under this lease carry.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// The process that holds it.
    pub fn holder(&self) -> Incarnation {
        self.holder
    }
}
