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

/// When the store last confirmed what an entry knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmed {
    /// The configuration, to this entry itself.
    catalog: Option<Time>,
    /// The list of servers, to this entry itself.
    servers: Option<Time>,
    /// Both, to the entry that told this one.
    told: Option<Time>,
}

impl Confirmed {
    /// The store answered a question of this entry that was sent at a time, and which it held for `held` at
    /// least before it answered that nothing had changed.
    pub fn answered(&mut self, subject: Subject, sent: Time, held: Span) {
        let time = match subject {
            Subject::Catalog => &mut self.catalog,
            Subject::Servers => &mut self.servers,
        };
        *time = (*time).max(Some(sent + held));
    }

    /// Another entry told what it knows: a question that was sent at a time, and which it held for `held`,
    /// was answered with what the store had confirmed `age` before.
    pub fn told(&mut self, sent: Time, held: Span, age: Span) {
        self.told = self.told.max(Some(sent + held - age));
    }

    /// When another entry's knowledge was last confirmed.
    pub fn told_at(&self) -> Option<Time> {
        self.told
    }

    /// Time since all that the entry knows was confirmed; `None`: it never was.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.told.max(self.catalog.min(self.servers)).map(|at| now.since(at))
    }
}
