//! Which backend servers accept requests, by what they say in their answers.
//!
//! A server that leaves, or that asks for a time without requests, says so to each entry that it
//! answers. Both hold for its process, whatever the list of servers says.

use crate::fleet::{Replica, ServerProcess};
use crate::time::{Span, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Longest time without requests that is believed. A longer one is a fault of the server.
pub const MAX_BACKOFF: Span = Span::from_secs(3_600);
/// Time after its last answer for which a process that leaves is remembered, whether or not it is
/// listed. An old list may name it for that long.
const LEAVING_RETENTION: Span = Span::from_secs(600);
/// Time after its end for which a backoff is remembered if no answer ends the return.
const BACKOFF_RETENTION: Span = Span::from_secs(60);
/// Least time between the first two requests after a backoff. Each answer halves it.
const RETURN_INTERVAL: Span = Span::from_millis(200);
/// Answers after a backoff until a server gets any number of requests.
const RETURN_ANSWERS: u32 = 5;

/// What one answer of a server says about further requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// It leaves, and is to get no new requests.
    pub leaving: bool,
    /// It is to get no requests for this time.
    pub backoff: Option<Span>,
    /// A text in place of one of these. It is ignored.
    pub invalid: Option<String>,
}

impl Announcement {
    fn is_empty(&self) -> bool {
        !self.leaving && self.backoff.is_none() && self.invalid.is_none()
    }
}

/// A change in what a server says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It began to leave.
    Leaving,
    /// It asked for a time without requests.
    BackoffBegan(Span),
    /// It answers requests again.
    BackoffEnded {
        /// Time since it first asked.
        lasted: Span,
    },
    /// It sent a text that says neither.
    Invalid(String),
}

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    Open,
    /// It does from this time on.
    Backoff(Time),
    /// It does no longer.
    Leaving,
}

/// A time without requests that a server asked for.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    since: Time,
    until: Time,
    /// When the next request may be sent: at the end, or some time after the request before.
    next: Time,
    /// Answers that arrived after the end.
    answers: u32,
}

/// What a server process said.
#[derive(Clone, Debug)]
struct Record {
    server: Replica,
    /// When its last answer arrived.
    heard: Time,
    leaving: bool,
    backoff: Option<Backoff>,
    /// Last invalid text, so that a server that repeats it is logged once.
    invalid: Option<String>,
}

impl Record {
    fn standing(&self, now: Time) -> Standing {
        match self.backoff {
            _ if self.leaving => Standing::Leaving,
            Some(backoff) if now < backoff.next => Standing::Backoff(backoff.next),
            _ => Standing::Open,
        }
    }

    /// Applies a time without requests. A shorter one doesn't shorten an earlier one.
    fn back_off(&mut self, now: Time, until: Time) -> Option<Change> {
        let known = self.backoff.filter(|known| now < known.until);
        let since = known.map_or(now, |known| known.since);
        let until = known.map_or(until, |known| known.until.max(until));
        self.backoff = Some(Backoff { since, until, next: until, answers: 0 });
        known.is_none().then(|| Change::BackoffBegan(until.since(now)))
    }

    /// Records an answer that asks for no time without requests.
    fn accept(&mut self, now: Time) -> Option<Change> {
        let backoff = self.backoff.as_mut().filter(|backoff| now >= backoff.until)?;
        backoff.answers += 1;
        let ended = backoff.answers >= RETURN_ANSWERS;
        let lasted = now.since(backoff.since);
        ended.then(|| {
            self.backoff = None;
            Change::BackoffEnded { lasted }
        })
    }
}

/// A process, by all that tells it from others: another one may have its id or its address.
type Key = (ServerProcess, SocketAddr);

fn key(server: &Replica) -> Key {
    (server.process(), server.address)
}

/// What all servers said.
#[derive(Clone, Debug, Default)]
pub struct Standings {
    servers: BTreeMap<Key, Record>,
}

impl Standings {
    /// Records an answer of a server. `spread` is added to the time that it asks for, so that entries
    /// don't return together. Returns what has changed.
    pub fn record(
        &mut self,
        now: Time,
        server: &Replica,
        said: Announcement,
        spread: Span,
    ) -> Vec<Change> {
        if said.is_empty() && self.get(server).is_none() {
            return Vec::new();
        }
        let record = self.servers.entry(key(server)).or_insert_with(|| Record {
            server: server.clone(),
            heard: now,
            leaving: false,
            backoff: None,
            invalid: None,
        });
        record.heard = now;
        let mut changes = Vec::new();
        if said.leaving && !std::mem::replace(&mut record.leaving, true) {
            changes.push(Change::Leaving);
        }
        changes.extend(match said.backoff {
            Some(wait) => record.back_off(now, now + Span(wait.0.min(MAX_BACKOFF.0)) + spread),
            None => record.accept(now),
        });
        if let Some(text) = said.invalid
            && record.invalid.as_ref() != Some(&text)
        {
            record.invalid = Some(text.clone());
            changes.push(Change::Invalid(text));
        }
        changes
    }

    /// Whether a server accepts requests.
    pub fn standing(&self, now: Time, server: &Replica) -> Standing {
        self.get(server).map_or(Standing::Open, |record| record.standing(now))
    }

    /// Whether a request may be sent to a server now.
    pub fn accepts(&self, now: Time, server: &Replica) -> bool {
        self.standing(now, server) == Standing::Open
    }

    /// Whether a server said that it wants no requests now, so that one with a permit isn't sent either.
    pub fn declines(&self, now: Time, server: &Replica) -> bool {
        let waits = |record: &Record| record.backoff.is_some_and(|backoff| now < backoff.until);
        self.get(server).is_some_and(|record| record.leaving || waits(record))
    }

    /// Whether a server said that it leaves.
    pub fn is_leaving(&self, server: &Replica) -> bool {
        self.get(server).is_some_and(|record| record.leaving)
    }

    /// Records that a request is sent to a server. After a backoff the next one waits for a while.
    pub fn record_send(&mut self, now: Time, server: &Replica) {
        if self.servers.is_empty() {
            return;
        }
        let record = self.servers.get_mut(&key(server));
        if let Some(backoff) = record.and_then(|record| record.backoff.as_mut())
            && now >= backoff.until
        {
            backoff.next = now + Span(RETURN_INTERVAL.0 >> backoff.answers);
        }
    }

    /// The servers that get no request now because they asked for time, and until when.
    pub fn backing_off(&self, now: Time) -> impl Iterator<Item = (&Replica, Time)> {
        self.servers.values().filter_map(move |record| match record.standing(now) {
            Standing::Backoff(until) => Some((&record.server, until)),
            Standing::Open | Standing::Leaving => None,
        })
    }

    /// The servers that said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &Replica> {
        self.servers.values().filter(|record| record.leaving).map(|record| &record.server)
    }

    /// Forgets processes of which nothing holds any longer. A process that leaves is remembered while
    /// `is_listed` says that it is listed.
    pub fn expire(&mut self, now: Time, is_listed: impl Fn(&Replica) -> bool) {
        self.servers.retain(|_, record| {
            let leaves = record.leaving
                && (now.since(record.heard) < LEAVING_RETENTION || is_listed(&record.server));
            let backoff = record.backoff.is_some_and(|b| now < b.until + BACKOFF_RETENTION);
            let invalid = record.invalid.is_some() && is_listed(&record.server);
            leaves || backoff || invalid
        });
    }

    fn get(&self, server: &Replica) -> Option<&Record> {
        // Mostly no server has said anything, and a key takes a copy of the id.
        if self.servers.is_empty() { None } else { self.servers.get(&key(server)) }
    }
}
