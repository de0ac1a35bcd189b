//! How old the knowledge of an entry is, counted from when the store confirmed it.
//!
//! Silence confirms nothing: only an answer of the store, or of an entry that tells the age of its own
//! knowledge, moves a time forward.

use crate::time::{Span, Time};

/// What an entry keeps from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dataset {
    /// The configuration.
    Catalog,
    /// The list of servers.
    Servers,
}

/// A time in microseconds that may lie before the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SignedTime(i64);

impl SignedTime {
    fn before(time: Time, age: Span) -> Self {
        let micros = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        Self(micros(time.0).saturating_sub(micros(age.0)))
    }

    fn age(self, now: Time) -> Span {
        let passed = Self::before(now, Span::ZERO).0.saturating_sub(self.0);
        Span(u64::try_from(passed).unwrap_or_default())
    }
}

/// When the store last confirmed what an entry knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// The configuration, to this entry itself.
    catalog: Option<SignedTime>,
    /// The list of servers, to this entry itself.
    servers: Option<SignedTime>,
    /// Both, to the entry that told this one.
    relayed: Option<SignedTime>,
}

impl Freshness {
    /// The store answered a question of this entry that was sent at a time, and which it held for `held` at
    /// least before it answered that nothing had changed.
    pub fn answered(&mut self, dataset: Dataset, sent: Time, held: Span) {
        let time = match dataset {
            Dataset::Catalog => &mut self.catalog,
            Dataset::Servers => &mut self.servers,
        };
        *time = (*time).max(Some(SignedTime::before(sent + held, Span::ZERO)));
    }

    /// Another entry told what it knows: a question that was sent at a time, and which it held for `held`,
    /// was answered with what the store had confirmed `age` before.
    pub fn relayed(&mut self, sent: Time, held: Span, age: Span) {
        self.relayed = self.relayed.max(Some(SignedTime::before(sent + held, age)));
    }

    /// Time since what another entry told was confirmed; `None`: none told anything.
    pub fn relayed_age(&self, now: Time) -> Option<Span> {
        self.relayed.map(|at| at.age(now))
    }

    /// Time since all that the entry knows was confirmed; `None`: it never was.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.relayed.max(self.catalog.min(self.servers)).map(|at| at.age(now))
    }
}
