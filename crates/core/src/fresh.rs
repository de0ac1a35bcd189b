//! How old the knowledge of an entry is, counted from when the store confirmed it.
//!
//! Silence confirms nothing: only an answer of the store, or of an entry that tells the age of its own
//! knowledge, moves a time forward.

use crate::time::{Span, Time};

/// What an entry keeps from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The configuration.
    Catalog,
    /// The list of servers.
    Servers,
}

/// A time in microseconds that may lie before the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Moment(i64);

impl Moment {
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
pub struct Confirmed {
    /// The configuration, to this entry itself.
    catalog: Option<Moment>,
    /// The list of servers, to this entry itself.
    servers: Option<Moment>,
    /// Both, to the entry that told this one.
    told: Option<Moment>,
}

impl Confirmed {
    /// The store answered a question of this entry that was sent at a time, and which it held for `held` at
    /// least before it answered that nothing had changed.
    pub fn answered(&mut self, subject: Subject, sent: Time, held: Span) {
        let time = match subject {
            Subject::Catalog => &mut self.catalog,
            Subject::Servers => &mut self.servers,
        };
        *time = (*time).max(Some(Moment::before(sent + held, Span::ZERO)));
    }

    /// Another entry told what it knows: a question that was sent at a time, and which it held for `held`,
    /// was answered with what the store had confirmed `age` before.
    pub fn told(&mut self, sent: Time, held: Span, age: Span) {
        self.told = self.told.max(Some(Moment::before(sent + held, age)));
    }

    /// Time since what another entry told was confirmed; `None`: none told anything.
    pub fn told_age(&self, now: Time) -> Option<Span> {
        self.told.map(|at| at.age(now))
    }

    /// Time since all that the entry knows was confirmed; `None`: it never was.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.told.max(self.catalog.min(self.servers)).map(|at| at.age(now))
    }
}
