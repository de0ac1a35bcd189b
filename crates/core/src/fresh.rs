//! Age of an entry's data, measured from when the store last confirmed it.
//!
//! The absence of updates confirms nothing. Only an answer from the store, or from another entry that
//! reports the age of its own data, makes the data fresher.

use crate::time::{SignedTime, Span, Time};

/// Data that an entry replicates from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dataset {
    /// The configuration.
    Catalog,
    /// The list of backend servers.
    Servers,
}

/// When the store last confirmed an entry's data.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// The configuration, confirmed directly by the store.
    catalog: Option<SignedTime>,
    /// The list of servers, confirmed directly by the store.
    servers: Option<SignedTime>,
    /// Both, confirmed by the store to the entry that relayed them.
    relayed: Option<SignedTime>,
}

impl Freshness {
    /// Records an answer from the store to a request sent at `sent`. `held` is the least time for which
    /// the store held the request before it answered that nothing had changed.
    pub fn answered(&mut self, dataset: Dataset, sent: Time, held: Span) {
        let time = match dataset {
            Dataset::Catalog => &mut self.catalog,
            Dataset::Servers => &mut self.servers,
        };
        *time = (*time).max(Some(SignedTime::before(sent + held, Span::ZERO)));
    }

    /// Records an answer from another entry to a request sent at `sent`, which that entry held for
    /// `held` and then answered with data that the store had confirmed `age` before.
    pub fn relayed(&mut self, sent: Time, held: Span, age: Span) {
        self.relayed = self.relayed.max(Some(SignedTime::before(sent + held, age)));
    }

    /// Time since the store confirmed the relayed data, or `None` if no entry has relayed any.
    pub fn relayed_age(&self, now: Time) -> Option<Span> {
        self.relayed.map(|at| at.age(now))
    }

    /// Time since both the configuration and the server list were last confirmed, directly or by
    /// relay, or `None` if they never were.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.relayed.max(self.catalog.min(self.servers)).map(|at| at.age(now))
    }
}
