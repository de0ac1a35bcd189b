//! Age of an entry's data, measured from when the store last confirmed it.
//!
//! The absence of updates confirms nothing. Only an answer from the store, or from another entry that
//! reports the age of its own data, makes the data fresher.

use crate::time::{SignedTime, Span, Time};

/// Data that an entry replicates from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dataset {
    /// What operators write: the configuration and the evacuated zones.
    Catalog,
    /// The list of backend servers.
    Servers,
}

/// Time between two ticks from which a process counts as suspended. Ticks follow each other every 0.2 s, and
/// a slow process delays them by some hundreds of milliseconds.
const SUSPENSION_MIN: Span = Span::from_secs(1);
/// Time after a suspension within which a process learns from the store or another entry what has changed.
const CATCH_UP_TIME: Span = Span::from_secs(1);

/// Notices that the process was suspended, so that its data is older than other entries make it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    last_tick: Time,
    /// The end of the time in which the process catches up.
    catch_up: Time,
}

impl SuspensionDetector {
    /// Records that the process runs. Called every 0.2 s.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.last_tick) > SUSPENSION_MIN {
            self.catch_up = now + CATCH_UP_TIME;
        }
        self.last_tick = now;
    }

    /// When the process resumed, if it was suspended just before.
    fn resumed(&self, now: Time) -> Option<Time> {
        match now.since(self.last_tick) > SUSPENSION_MIN {
            true => Some(now),
            false => (now < self.catch_up).then(|| self.catch_up - CATCH_UP_TIME),
        }
    }

    /// Whether the process was suspended just before, and resumed after `since`.
    pub fn resumed_since(&self, now: Time, since: Time) -> bool {
        self.resumed(now).is_some_and(|resumed| since < resumed)
    }

    /// Whether the process was suspended just before. Old data is to be confirmed then before it is used.
    pub fn is_catching_up(&self, now: Time) -> bool {
        self.resumed(now).is_some()
    }
}

/// When the store last confirmed an entry's data.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// The configuration and the evacuated zones, confirmed directly by the store.
    catalog: Option<SignedTime>,
    /// The list of servers, confirmed directly by the store.
    servers: Option<SignedTime>,
    /// The configuration and the list of servers, confirmed by the store to the entry that relayed them.
    relayed: Option<SignedTime>,
    /// The evacuated zones, likewise. An entry of an earlier version relays the others alone.
    relayed_zones: Option<SignedTime>,
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

    /// Records what such an answer tells of the evacuated zones.
    pub fn relayed_zones(&mut self, sent: Time, held: Span, age: Span) {
        let at = SignedTime::before(sent + held, age);
        self.relayed_zones = self.relayed_zones.max(Some(at));
    }

    /// Time since the store confirmed the relayed configuration and evacuated zones, or `None` if no entry has
    /// relayed both.
    pub fn relayed_catalog_age(&self, now: Time) -> Option<Span> {
        self.relayed.min(self.relayed_zones).map(|at| at.age(now))
    }

    /// Time since the evacuated zones were last confirmed, directly or by relay, or `None` if they never were.
    pub fn zones_age(&self, now: Time) -> Option<Span> {
        self.relayed_zones.max(self.catalog).map(|at| at.age(now))
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
