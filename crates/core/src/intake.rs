//! What backend servers say about the requests that they accept, by server process.
//!
//! A limit holds for all entries together. For each server, one entry grants the requests of all; the
//! others ask it before each request.

use crate::fleet::{Replica, is_same_process};
use crate::ids::ServerId;
use crate::pace::{Pace, Pacer};
use crate::time::{Span, Time};
use crate::value;
use crate::warmup::{ColdBound, Warmups};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Highest limit that is believed, in requests per second. A higher one limits nothing.
const MAX_PER_SECOND: f64 = 100_000.0;
/// Time after its last answer for which a server that is gone is remembered.
const GONE_RETENTION: Span = Span::from_secs(60);
/// Least time between two calls that release results at a server with a limit, in intervals of the
/// limit. Unreleased results occupy its memory, but these calls take the place of others.
const RELEASE_INTERVALS: u64 = 4;

value! {
    /// Requests per second that a server accepts from all entries together, as the time between two
    /// of them.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct Rate(Span);
}

/// The text is not a positive decimal number, or the number is too high.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a positive decimal number of requests per second up to {MAX_PER_SECOND}")]
pub struct RateError;

impl Rate {
    /// Time between two requests.
    pub const fn interval(self) -> Span {
        self.0
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        1.0 / self.0.as_secs_f64()
    }

    /// Creates a rate; `None` if the number is not positive or is too high.
    pub fn from_per_second(number: f64) -> Option<Self> {
        let valid = number > 0.0 && number <= MAX_PER_SECOND;
        valid.then(|| Self(Span::from_secs(1).scale(1.0 / number)))
    }

    /// Multiplies the requests per second.
    pub fn scale(self, factor: f64) -> Self {
        Self(self.0.scale(1.0 / factor))
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
            return Err(RateError);
        }
        text.parse().ok().and_then(Self::from_per_second).ok_or(RateError)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.per_second())
    }
}

/// What one answer of a server says about its limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Notice {
    /// The server names no limit.
    #[default]
    None,
    /// The server names a limit.
    Limit(Rate),
    /// The answer holds this text in place of a limit, and is ignored.
    Invalid(String),
}

/// A change in what a server says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It names a limit, or another one than before.
    Limited {
        /// The new limit.
        limit: Rate,
        /// The limit before.
        before: Option<Rate>,
    },
    /// It no longer names a limit.
    Unlimited {
        /// The limit before.
        before: Rate,
        /// Time since its first answer with a limit.
        lasted: Span,
    },
    /// It sent a text that is not a limit.
    Invalid(String),
}

value! {
    /// What one entry tells another about the limit of a server.
    pub struct Statement {
        /// The server process.
        pub server: Replica,
        /// Its limit, or `None` if it names none.
        pub limit: Option<Rate>,
        /// Time since the server's answer that said so.
        pub age: Span,
    }
}

/// What a server process last said.
#[derive(Clone, Debug)]
struct ServerIntake {
    server: Replica,
    /// When the server's latest answer arrived, here or at the entry that told of it.
    heard: Option<Time>,
    /// The limit that it names.
    limit: Option<Limit>,
    /// No request may be sent before.
    blocked_until: Time,
    /// Whether this entry grants the requests of all entries to the server.
    grants: bool,
    /// Since when this entry has granted them.
    grants_since: Time,
    /// Last invalid text, so that a server that repeats it is logged once.
    invalid: Option<String>,
}

/// A limit that is in force.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Rate,
    /// When the first answer with a limit arrived.
    since: Time,
    /// Paces the requests that this entry grants.
    pacer: Pacer,
    /// When results were last released at the server.
    released: Time,
}

/// What all servers last said, and which requests they therefore get.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    servers: BTreeMap<ServerId, ServerIntake>,
    /// The servers that are cold.
    pub warmups: Warmups,
}

impl Intake {
    /// Creates an intake that keeps a bound of cold servers.
    pub fn new(bound: Option<ColdBound>) -> Self {
        Self { servers: BTreeMap::new(), warmups: Warmups::new(bound) }
    }

    /// Records an answer of a server. Returns what has changed, if anything.
    pub fn record(&mut self, now: Time, server: &Replica, notice: Notice) -> Option<Change> {
        let intake = self.entry(now, server)?;
        match notice {
            Notice::Invalid(text) => {
                let repeated = intake.invalid.as_ref() == Some(&text);
                intake.invalid = Some(text.clone());
                (!repeated).then_some(Change::Invalid(text))
            }
            Notice::Limit(rate) => intake.hear(now, now, Some(rate)),
            Notice::None => intake.hear(now, now, None),
        }
    }

    /// Records what another entry tells about a server, unless what is known here is newer. Returns
    /// what has changed, if anything.
    pub fn merge(&mut self, now: Time, told: &Statement) -> Option<Change> {
        let intake = self.entry(now, &told.server)?;
        let heard = now - told.age;
        if intake.heard.is_some_and(|at| at >= heard) {
            return None;
        }
        intake.hear(now, heard, told.limit)
    }

    /// What to tell another entry about a server; `None` if it has not answered yet.
    pub fn statement(&self, now: Time, server: &Replica) -> Option<Statement> {
        self.get(server)?.statement(now)
    }

    /// What to tell another entry about all servers that name a limit.
    pub fn statements(&self, now: Time) -> Vec<Statement> {
        let limited = self.servers.values().filter(|intake| intake.limit.is_some());
        limited.filter_map(|intake| intake.statement(now)).collect()
    }

    /// The limit that a server last named, if any.
    pub fn limit(&self, server: &Replica) -> Option<Rate> {
        self.get(server)?.limit.map(|limit| limit.rate)
    }

    /// The lower one of the limit that a server named and that of its warm-up, if any.
    pub fn limit_in_force(&self, now: Time, server: &Replica) -> Option<Rate> {
        // The longer interval is the lower limit.
        self.limit(server).max(self.warmups.rate(now, server))
    }

    /// The servers whose requests need permits: those that name a limit and those that are cold.
    pub fn paced(&self, now: Time) -> impl Iterator<Item = &Replica> {
        let cold = self.warmups.active(now).filter(|server| self.limit(server).is_none());
        self.limited().chain(cold)
    }

    /// The servers that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = &Replica> {
        self.servers.values().filter(|intake| intake.limit.is_some()).map(|intake| &intake.server)
    }

    /// Sets whether this entry grants the requests of all entries to a server. If it does not yet, it
    /// is the only one since `since`.
    pub fn set_grants(&mut self, now: Time, server: &ServerId, grants: bool, since: Time) {
        let Some(intake) = self.servers.get_mut(server) else { return };
        if !std::mem::replace(&mut intake.grants, grants) && grants {
            intake.grants_since = since;
            if let Some(limit) = &mut intake.limit {
                limit.pacer.restart(now);
            }
        }
    }

    /// Whether this entry grants the requests to a server, and for how long it has.
    pub fn grants_for(&self, now: Time, server: &Replica) -> Option<Span> {
        self.get(server).filter(|intake| intake.grants).map(|intake| now.since(intake.grants_since))
    }

    /// Grants one request to a server, if `share` of its limit allows it. The error is the time until
    /// the next grant.
    pub fn try_grant(&mut self, now: Time, server: &Replica, share: f64) -> Result<(), Span> {
        let Some(limit) = self.limit_mut(server) else { return Ok(()) };
        match limit.pacer.try_grant(now, share) {
            true => Ok(()),
            false => Err(limit.pacer.pace(now, share).ready.since(now)),
        }
    }

    /// Grants one request to a server that is or may be cold, if `share` of its limit and `cold` of the rate of
    /// its warm-up allow it. The error is the time until the next grant.
    pub fn grant(
        &mut self,
        now: Time,
        server: &Replica,
        (share, cold): (f64, f64),
    ) -> Result<(), Span> {
        if let Some(wait) = self.warmups.wait(now, server, cold).filter(|wait| *wait > Span::ZERO) {
            return Err(self.warmups.book_wait(now, server, wait, cold));
        }
        if let Some(wait) = self.warmups.reserved_wait(now, server, cold) {
            return Err(wait);
        }
        self.try_grant(now, server, share)?;
        self.warmups.try_grant(now, server, cold)
    }

    /// Grants one call that releases results at a server that is or may be cold.
    pub fn grant_release(
        &mut self,
        now: Time,
        server: &Replica,
        (share, cold): (f64, f64),
    ) -> bool {
        let wait = self.warmups.wait(now, server, cold).unwrap_or_default();
        if !self.warmups.may_release(now, server) {
            return false;
        }
        if wait > Span::ZERO {
            self.warmups.reserve_release(now, server);
            return false;
        }
        let granted = self.try_grant_release(now, server, share)
            && self.warmups.try_grant(now, server, cold).is_ok();
        if granted {
            self.warmups.record_release(now, server);
        }
        granted
    }

    /// The pace of the requests that this entry grants to a server; `None` if it gets any number.
    pub fn pace_in_force(
        &self,
        now: Time,
        server: &Replica,
        (share, cold): (f64, f64),
    ) -> Option<Pace> {
        let named = self.pace(now, server, share);
        let Some(wait) = self.warmups.wait(now, server, cold) else { return named };
        let interval = self.warmups.interval(now, server, cold).unwrap_or_default();
        let reserved = self.warmups.reserved_wait(now, server, cold).unwrap_or_default();
        let warmup = Pace { interval, ready: now + wait + reserved };
        Some(named.map_or(warmup, |named| Pace {
            interval: named.interval.max(warmup.interval),
            ready: named.ready.max(warmup.ready),
        }))
    }

    /// Grants one call that releases results at a server, of which only a few are.
    pub fn try_grant_release(&mut self, now: Time, server: &Replica, share: f64) -> bool {
        let Some(limit) = self.limit_mut(server) else { return true };
        let interval = limit.pacer.pace(now, share).interval;
        let granted = now >= limit.released + interval * RELEASE_INTERVALS
            && limit.pacer.try_grant(now, share);
        if granted {
            limit.released = now;
        }
        granted
    }

    /// The pace of the requests that this entry grants to a server; `None` without a limit.
    pub fn pace(&self, now: Time, server: &Replica, share: f64) -> Option<Pace> {
        self.get(server)?.limit.map(|limit| limit.pacer.pace(now, share))
    }

    /// Lets no request be sent to a server for a time.
    pub fn block(&mut self, now: Time, server: &Replica, wait: Span) {
        if let Some(intake) = self.entry(now, server) {
            intake.blocked_until = now + wait;
        }
    }

    /// The servers to which no request may be sent now, and until when.
    pub fn blocked(&self, now: Time) -> Vec<(ServerId, Time)> {
        let blocked = |intake: &&ServerIntake| {
            intake.blocked_until > now && self.limit_in_force(now, &intake.server).is_some()
        };
        let blocked = self.servers.values().filter(blocked);
        blocked.map(|intake| (intake.server.id.clone(), intake.blocked_until)).collect()
    }

    /// Forgets servers that are gone. A record that only expired for a while returns before that.
    pub fn expire(&mut self, now: Time, exists: impl Fn(&ServerId) -> bool) {
        self.servers.retain(|id, intake| {
            let recent = intake.heard.is_some_and(|at| now.since(at) < GONE_RETENTION);
            recent || exists(id)
        });
    }

    fn get(&self, server: &Replica) -> Option<&ServerIntake> {
        self.servers.get(&server.id).filter(|intake| is_same_process(&intake.server, server))
    }

    fn limit_mut(&mut self, server: &Replica) -> Option<&mut Limit> {
        let intake = self.servers.get_mut(&server.id)?;
        intake.limit.as_mut().filter(|_| is_same_process(&intake.server, server))
    }

    /// The record of a server process, created if necessary. What an earlier process under its id said
    /// is dropped; `None` if a later process is known.
    fn entry(&mut self, now: Time, server: &Replica) -> Option<&mut ServerIntake> {
        let known = self.servers.get(&server.id).map(|intake| &intake.server);
        if known.is_some_and(|known| known.started > server.started) {
            return None;
        }
        if known.is_some_and(|known| !is_same_process(known, server)) {
            self.servers.remove(&server.id);
        }
        Some(self.servers.entry(server.id.clone()).or_insert_with(|| ServerIntake {
            server: server.clone(),
            heard: None,
            limit: None,
            blocked_until: Time::default(),
            grants: false,
            grants_since: now,
            invalid: None,
        }))
    }
}

impl ServerIntake {
    /// Applies the limit that an answer named, which arrived at `heard`.
    fn hear(&mut self, now: Time, heard: Time, named: Option<Rate>) -> Option<Change> {
        self.heard = Some(heard);
        let before = self.limit.map(|limit| limit.rate);
        match (&mut self.limit, named) {
            (Some(limit), Some(rate)) if limit.rate != rate => {
                limit.rate = rate;
                limit.pacer.set_rate(now, rate);
                self.blocked_until = Time::default();
                Some(Change::Limited { limit: rate, before })
            }
            (None, Some(rate)) => {
                let pacer = Pacer::new(now, rate);
                self.limit = Some(Limit { rate, since: now, pacer, released: Time::default() });
                Some(Change::Limited { limit: rate, before })
            }
            (Some(limit), None) => {
                let (before, lasted) = (limit.rate, now.since(limit.since));
                self.limit = None;
                Some(Change::Unlimited { before, lasted })
            }
            _ => None,
        }
    }

    fn statement(&self, now: Time) -> Option<Statement> {
        Some(Statement {
            server: self.server.clone(),
            limit: self.limit.map(|limit| limit.rate),
            age: now.since(self.heard?),
        })
    }
}
