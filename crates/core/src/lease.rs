//! State of a lease as seen by its holder.

use crate::ids::Incarnation;
use crate::time::{Span, Time};

/// State of a lease, which tells the holder what to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease is valid; nothing to do.
    Held,
    /// The lease is valid and should be renewed.
    Renew,
    /// The lease may have expired; the holder must stop acting under it.
    Lapsed,
}

/// A lease granted by the store, with its fencing token.
///
/// The holder measures the TTL from before it sent the grant or renewal, so the lease expires for the
/// holder before it expires in the store.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Time just before the grant or the last successful renewal was sent.
    renewed: Time,
    ttl: Span,
    /// Increases with each holder; receivers reject a lower one.
    fence: u64,
    holder: Incarnation,
}

impl Lease {
    /// Creates a lease that was granted by a call sent at `sent`.
    pub fn new(holder: Incarnation, sent: Time, ttl: Span, fence: u64) -> Self {
        Self { renewed: sent, ttl, fence, holder }
    }

    /// Records a successful renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Time) {
        self.renewed = self.renewed.max(sent);
    }

    /// Returns the current state. Must be checked before each action under the lease.
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

    /// The fencing token that orders under this lease carry.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// The process that holds the lease.
    pub fn holder(&self) -> Incarnation {
        self.holder
    }
}
