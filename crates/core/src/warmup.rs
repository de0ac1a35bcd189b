//! Cold backend servers: until when each server process is cold, and how many requests it gets.
//!
//! A server that has just started, or has become cold again, crashes if all entries together send it many
//! more requests than its rate. While it is cold, and shortly after, one entry grants the requests of all, and
//! a deputy grants half as many to those that can't reach it. No other entry grants any, so that the sum is
//! bounded however many entries are out of contact.
//!
//! Made for 60 servers, of which a third becomes cold at once, and for 4 to 68 entries that learn of it within
//! a second.

use crate::fleet::{Replica, is_same_process};
use crate::ids::{PoolId, ServerId};
use crate::intake::Rate;
use crate::revision::Revision;
use crate::time::{Span, Time};
use crate::value;
use std::collections::BTreeMap;

/// Longest warm-up time that is believed. A longer one is a fault of the server.
pub const MAX_WARMUP: Span = Span::from_secs(600);
/// Time after which a permit for a cold server is no longer used. Permits that are used late arrive together
/// with those of later seconds.
pub const PERMIT_LIFETIME: Span = Span::from_millis(200);
/// Time of each of the two steps after the warm-up: at the rate of a cold server, and at twice that rate.
const STEP_TIME: Span = Span::from_secs(1);
/// Grants that are saved up at most, in addition to the next one.
const SAVED_GRANTS: f64 = 0.5;
/// Sum of the shares of two grantors: one that grants all, and another one that grants half.
const TOTAL_SHARE: f64 = 1.5;
/// Grants beyond their rate that two grantors may give in a second, because of the saved ones.
const EXTRA_GRANTS: f64 = 2.0;
/// The least part of the rate that is granted, if the bound is so low that it allows less.
const MIN_PACE: f64 = 0.1;
/// Least time between two calls that release results at a cold server, in intervals between grants.
const RELEASE_INTERVALS: u64 = 4;
/// Time for which a grant is kept for a release after it was last asked for. Queued releases ask every 12 ms.
const RESERVE_TIME: Span = Span::from_millis(100);
/// Age up to which a record may be older than an answer that arrived before it.
pub const RECORD_DELAY: Span = Span::from_secs(3);
/// Entries at most that are told one time after the other when to ask again. An entry that has found another
/// server does not ask again.
const BOOKED_MAX: u64 = 2;
/// Time for which a new grantor grants half, as the one before may not know of it yet.
const SETTLE_TIME: Span = Span::from_secs(6);
/// Age of the list of entries from which a grantor assumes that another one may have taken its place. It is
/// below [`SETTLE_TIME`], so that two entries never both grant all.
const ROSTER_AGE_MAX: Span = Span::from_secs(5);
/// Age of an entry's data from which its lease may have expired, so that others may take its place.
const LEASE_TIME: Span = Span::from_secs(10);
/// Time without a timer from which the process was frozen, and another entry may grant in its place.
const PAUSE_MIN: Span = Span::from_secs(1);
/// Time after which a process that is not listed is forgotten.
const GONE_RETENTION: Span = Span::from_secs(60);

value! {
    /// How long a server of a pool is cold after its start, and what it can take in that time.
    #[derive(Copy)]
    pub struct WarmupSpec {
        /// Time from the start of its process.
        pub duration: Span,
        /// Requests that a cold server can take.
        pub rate: Rate,
    }

    /// What an entry tells the grantor of a cold server.
    #[derive(Copy)]
    pub struct WarmupStatement {
        /// What its pool specifies.
        pub spec: WarmupSpec,
        /// Time until requests need no more permits.
        pub left: Span,
    }
}

/// Requests that a cold server may get in any second: its rate times `over`, and `slack` more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor of the rate.
    pub over: f64,
    /// Requests beyond it.
    pub slack: f64,
}

impl ColdBound {
    /// The part of a rate that may be granted so that the bound holds although two entries grant requests, and
    /// permits are used late.
    fn pace_factor(self, rate: Rate) -> f64 {
        let allowed = rate.per_second() * self.over + self.slack - EXTRA_GRANTS;
        let granted = rate.per_second() * TOTAL_SHARE * (1.0 + PERMIT_LIFETIME.as_secs_f64());
        (allowed / granted).clamp(MIN_PACE, 1.0)
    }
}

/// What an answer of a server says about its warm-up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum WarmupNotice {
    /// Nothing.
    #[default]
    None,
    /// The time left.
    Left(Span),
    /// The answer holds this text in place of a time, and is ignored.
    Invalid(String),
}

/// What a warm-up time is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The server's record.
    Record,
    /// An answer of the server, or another entry that asks for a permit.
    Answer,
    /// The process was seen for the first time.
    Start,
    /// The end of an evacuation of its zone.
    Evacuation,
}

impl Origin {
    /// The origin's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Answer => "answer",
            Self::Start => "start",
            Self::Evacuation => "evacuation",
        }
    }
}

/// A change in what is known of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WarmupChange {
    /// It is cold.
    Cold {
        /// The time left.
        left: Span,
        /// What that is known from.
        from: Origin,
    },
    /// It sent a text that is no warm-up time.
    Invalid(String),
}

/// The part of an entry in granting the requests to a cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It grants the requests of all entries.
    First,
    /// It grants those of entries that can't reach the first one.
    Deputy,
    /// It grants none.
    Other,
}

/// What an entry knows of itself as the grantor of a server.
#[derive(Clone, Copy, Debug)]
pub struct GrantorView {
    /// Its part by the list of entries that it knows.
    pub role: Role,
    /// Time for which it has been the first one without a freeze; `None` if it is not.
    pub granted_for: Option<Span>,
    /// Age of the list of entries; `None` if the store never confirmed it.
    pub roster_age: Option<Span>,
    /// Age of the configuration and the server list; `None` if the store never confirmed them.
    pub data_age: Option<Span>,
    /// Age up to which an entry with contact to the store or another entry has such data.
    pub data_limit: Span,
}

impl GrantorView {
    /// The share of a server's rate that the entry grants. It grants all only while no other entry can take
    /// itself for the first one, and less the longer it is out of contact.
    pub fn share(&self) -> f64 {
        let older = |age: Option<Span>, limit: Span| age.is_none_or(|age| age > limit);
        match self.role {
            Role::Other => 0.0,
            _ if older(self.data_age, LEASE_TIME) => 0.25,
            Role::Deputy => 0.5,
            Role::First => {
                let new = self.granted_for.is_none_or(|time| time < SETTLE_TIME);
                let behind =
                    older(self.roster_age, ROSTER_AGE_MAX) || older(self.data_age, self.data_limit);
                if new || behind { 0.5 } else { 1.0 }
            }
        }
    }
}

/// When the process was last frozen. Its timers run several times a second otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    last: Time,
    resumed: Time,
}

impl Pauses {
    /// Records that a timer ran.
    pub fn record(&mut self, now: Time) {
        if now.since(self.last) > PAUSE_MIN {
            self.resumed = now;
        }
        self.last = now;
    }

    /// Time since the end of the last freeze, or since the start.
    pub fn resumed_for(&self, now: Time) -> Span {
        match now.since(self.last) > PAUSE_MIN {
            true => Span::ZERO,
            false => now.since(self.resumed),
        }
    }
}

/// What is known of a server process.
#[derive(Clone, Debug)]
struct Warmup {
    server: Replica,
    spec: WarmupSpec,
    /// When the process was last seen in the list.
    seen: Time,
    /// Until when it is cold by its record, or by its start if its record says nothing. `None` if it was warm
    /// when it was first seen.
    listed: Option<Time>,
    /// Revision of that record.
    revision: Revision,
    /// Until when it is cold by an answer, and when that arrived.
    answered: Option<(Time, Time)>,
    /// Until when it is cold after an evacuation, and the revision of the server list at its end.
    assumed: Option<(Revision, Time)>,
    /// When the next grant is due.
    next: Time,
    /// Requests that were refused since the last grant, up to [`BOOKED_MAX`].
    refused: u64,
    /// When results were last released.
    released: Time,
    /// When a release last found no grant, for which the next one is kept.
    reserved: Option<Time>,
    /// Whether this entry is the first grantor, and since when.
    grants: bool,
    grants_since: Time,
    /// Last slot of an equal share that was used.
    used_slot: Option<u64>,
    /// Last invalid text, so that a server that repeats it is logged once.
    invalid: Option<String>,
    /// Whether it was reported as cold, and not as warm since.
    reported: bool,
}

impl Warmup {
    /// Until when it is or was cold; `None` if it is not known to have been.
    fn until(&self) -> Option<Time> {
        let answered = self.answered.map(|(_, until)| until);
        let assumed = self.assumed.map(|(_, until)| until);
        self.listed.max(answered).max(assumed)
    }

    /// Time until its requests need no more permits.
    fn left(&self, now: Time) -> Span {
        self.until().map_or(Span::ZERO, |until| (until + STEP_TIME * 2).since(now))
    }

    /// Requests that it gets now, without the bound of two grantors; `None` for any number.
    fn rate(&self, now: Time) -> Option<Rate> {
        let until = self.until()?;
        match now {
            _ if now < until + STEP_TIME => Some(self.spec.rate),
            _ if now < until + STEP_TIME * 2 => Some(self.spec.rate.scale(2.0)),
            _ => None,
        }
    }

    /// Time between two grants at a share of the rate.
    fn interval(&self, now: Time, bound: ColdBound, share: f64) -> Option<Span> {
        let pace = bound.pace_factor(self.spec.rate) * share;
        self.rate(now).map(|rate| rate.scale(pace.max(MIN_PACE)).interval())
    }

    fn report(&mut self, now: Time, from: Origin) -> Option<WarmupChange> {
        let left = self.until()?.since(now);
        if self.reported || left == Span::ZERO {
            return None;
        }
        self.reported = true;
        Some(WarmupChange::Cold { left, from })
    }
}

/// The server processes of pools that name a warm-up time.
#[derive(Clone, Debug, Default)]
pub struct Warmups {
    /// `None` if servers get any number of requests.
    bound: Option<ColdBound>,
    servers: BTreeMap<ServerId, Warmup>,
}

impl Warmups {
    /// Creates an empty set. Without a bound it stays empty.
    pub fn new(bound: Option<ColdBound>) -> Self {
        Self { bound, servers: BTreeMap::new() }
    }

    /// Records a listed server, whose record of `revision` says that it is warm at a time. Returns whether it
    /// has become cold.
    pub fn record(
        &mut self,
        now: Time,
        server: &Replica,
        spec: WarmupSpec,
        (warm_at, revision): (Option<Time>, Revision),
    ) -> Option<WarmupChange> {
        self.bound?;
        let known = self.servers.get_mut(&server.id);
        if known.as_ref().is_some_and(|known| known.server.started > server.started) {
            return None;
        }
        let origin = if warm_at.is_some() { Origin::Record } else { Origin::Start };
        if let Some(known) = known.filter(|known| is_same_process(&known.server, server)) {
            (known.spec, known.seen) = (spec, now);
            if let Some(warm_at) = warm_at {
                let active = known.left(now) > Span::ZERO;
                known.listed = Some(warm_at).filter(|until| active || *until > now);
                let later = revision.number > 0;
                known.assumed = known.assumed.filter(|(as_of, _)| !later || revision <= *as_of);
                let new = later && revision > known.revision;
                known.answered =
                    known.answered.filter(|(heard, _)| !new || now.since(*heard) < RECORD_DELAY);
                known.revision = revision;
            }
            return known.report(now, origin);
        }
        let before = self.servers.get(&server.id);
        let (grants, grants_since) = before.map_or((false, now), |b| (b.grants, b.grants_since));
        let mut warmup = Warmup {
            server: server.clone(),
            spec,
            seen: now,
            listed: Some(warm_at.unwrap_or(now + spec.duration)).filter(|until| *until > now),
            revision,
            answered: None,
            assumed: None,
            next: now,
            refused: 0,
            released: Time::default(),
            reserved: None,
            grants,
            grants_since,
            used_slot: None,
            invalid: None,
            reported: false,
        };
        if let Some(interval) = self.bound.and_then(|bound| warmup.interval(now, bound, 1.0)) {
            warmup.next = now + interval;
        }
        let change = warmup.report(now, origin);
        self.servers.insert(server.id.clone(), warmup);
        change
    }

    /// Forgets the servers of pools whose servers are never cold.
    pub fn retain_pools(&mut self, warms_up: impl Fn(&PoolId) -> bool) {
        self.servers.retain(|_, warmup| warms_up(&warmup.server.pool));
    }

    /// Records an answer of a server. Returns what has changed.
    pub fn hear(
        &mut self,
        now: Time,
        server: &Replica,
        notice: WarmupNotice,
    ) -> Option<WarmupChange> {
        let known = self.get_mut(server)?;
        match notice {
            WarmupNotice::None => None,
            WarmupNotice::Left(left) => {
                // A server that has long been warm may say so in each answer.
                known.answered = match left {
                    Span::ZERO => known.answered.map(|(_, until)| (now, until.min(now))),
                    left => Some((now, now + left)),
                };
                known.report(now, Origin::Answer)
            }
            WarmupNotice::Invalid(text) => {
                let repeated = known.invalid.as_ref() == Some(&text);
                known.invalid = Some(text.clone());
                (!repeated).then_some(WarmupChange::Invalid(text))
            }
        }
    }

    /// Records what an entry tells that asks for a permit. A server of a pool that is not known here yet is
    /// added. Returns whether the server has become cold.
    pub fn merge(
        &mut self,
        now: Time,
        server: &Replica,
        told: WarmupStatement,
    ) -> Option<WarmupChange> {
        self.bound?;
        let left = Span(told.left.0.min((MAX_WARMUP + STEP_TIME * 2).0));
        let until = now + left - STEP_TIME * 2;
        if self.get(server).is_none() {
            // An earlier process under the id is left as it is, and a later one is added.
            let change = self.record(now, server, told.spec, (Some(until), Revision::default()));
            return change.filter(|_| self.get(server).is_some());
        }
        let known = self.get_mut(server)?;
        if known.until() < Some(until) {
            known.answered = Some((now, until));
        }
        known.report(now, Origin::Answer)
    }

    /// What to tell the grantor of a server; `None` if its requests need no permits.
    pub fn statement(&self, now: Time, server: &Replica) -> Option<WarmupStatement> {
        let known = self.get(server)?;
        let left = known.left(now);
        (left > Span::ZERO).then_some(WarmupStatement { spec: known.spec, left })
    }

    /// Takes servers for cold whose zone was evacuated until now, when the server list reflects `as_of`. Only
    /// a record that was written later shortens the time. Returns those that have become cold.
    pub fn assume_cold<'a>(
        &mut self,
        now: Time,
        as_of: Revision,
        servers: impl IntoIterator<Item = &'a Replica>,
    ) -> Vec<(Replica, WarmupChange)> {
        let mut changed = Vec::new();
        for server in servers {
            let Some(known) = self.get_mut(server) else { continue };
            known.assumed = Some((as_of, now + known.spec.duration));
            let change = known.report(now, Origin::Evacuation);
            changed.extend(change.map(|change| (server.clone(), change)));
        }
        changed
    }

    /// Requests that a server gets from all entries together because it is or was cold; `None` for any number.
    pub fn rate(&self, now: Time, server: &Replica) -> Option<Rate> {
        self.get(server)?.rate(now)
    }

    /// The servers whose requests need permits.
    pub fn active(&self, now: Time) -> impl Iterator<Item = &Replica> {
        let active = move |warmup: &&Warmup| warmup.left(now) > Span::ZERO;
        self.servers.values().filter(active).map(|warmup| &warmup.server)
    }

    /// All servers that may become cold.
    pub fn servers(&self) -> impl Iterator<Item = &Replica> {
        self.servers.values().map(|warmup| &warmup.server)
    }

    /// Sets whether this entry is the first grantor of a server. If it was not yet, it is since `since`.
    pub fn set_grants(&mut self, now: Time, server: &ServerId, grants: bool, since: Time) {
        let Some(bound) = self.bound else { return };
        let Some(warmup) = self.servers.get_mut(server) else { return };
        if !std::mem::replace(&mut warmup.grants, grants) && grants {
            warmup.grants_since = since;
            // The grantor before may have granted the next one already.
            let interval = warmup.interval(now, bound, 1.0).unwrap_or_default();
            warmup.next = warmup.next.max(now + interval);
        }
    }

    /// For how long this entry has been the first grantor of a server; `None` if it is not.
    pub fn grants_for(&self, now: Time, server: &Replica) -> Option<Span> {
        let known = self.get(server).filter(|warmup| warmup.grants)?;
        Some(now.since(known.grants_since))
    }

    /// Time until this entry may grant a request to a server at a share of its rate; `None` if requests need no
    /// permits. With a share of zero it may grant none.
    pub fn wait(&self, now: Time, server: &Replica, share: f64) -> Option<Span> {
        let known = self.get(server)?;
        known.rate(now)?;
        if share <= 0.0 {
            return Some(known.left(now));
        }
        Some(known.next.since(now))
    }

    /// Time between two grants at a share of a server's rate; `None` if requests need no permits.
    pub fn interval(&self, now: Time, server: &Replica, share: f64) -> Option<Span> {
        self.get(server)?.interval(now, self.bound?, share)
    }

    /// Grants one request to a server, if a share of its rate allows it. The error is the time until the next
    /// grant.
    pub fn try_grant(&mut self, now: Time, server: &Replica, share: f64) -> Result<(), Span> {
        let Some(wait) = self.wait(now, server, share) else { return Ok(()) };
        if wait > Span::ZERO {
            return Err(wait);
        }
        let interval = self.interval(now, server, share);
        if let (Some(interval), Some(known)) = (interval, self.get_mut(server)) {
            known.next = known.next.max(now - interval.scale(SAVED_GRANTS)) + interval;
            known.refused = 0;
        }
        Ok(())
    }

    /// Returns the time after which an entry should ask again that is refused a request. Each one that is refused
    /// after the last grant is told a later time, as otherwise all would ask for the next one.
    pub fn book_wait(&mut self, now: Time, server: &Replica, wait: Span, share: f64) -> Span {
        let interval = self.interval(now, server, share).unwrap_or_default();
        let Some(known) = self.get_mut(server) else { return wait };
        known.refused = (known.refused + 1).min(BOOKED_MAX);
        wait + interval * (known.refused - 1)
    }

    /// Whether results may be released at a server now as far as its warm-up is concerned, apart from a grant.
    pub fn may_release(&self, now: Time, server: &Replica) -> bool {
        let Some(interval) = self.interval(now, server, 1.0) else { return true };
        self.get(server).is_none_or(|known| now >= known.released + interval * RELEASE_INTERVALS)
    }

    /// Keeps the next grant for a call that releases results, for which there was none. Under load, requests would
    /// take every grant, and the results would stay until the server is warm.
    pub fn reserve_release(&mut self, now: Time, server: &Replica) {
        if let Some(known) = self.get_mut(server) {
            known.reserved = Some(now);
        }
    }

    /// Returns the time for which requests wait because the next grant is kept for a release.
    pub fn reserved_wait(&self, now: Time, server: &Replica, share: f64) -> Option<Span> {
        let known = self.get(server)?;
        let kept = known.reserved.is_some_and(|at| now.since(at) < RESERVE_TIME);
        let waits = kept && self.may_release(now, server);
        waits.then(|| self.interval(now, server, share)).flatten()
    }

    /// Records a call that releases results at a server.
    pub fn record_release(&mut self, now: Time, server: &Replica) {
        if let Some(known) = self.get_mut(server) {
            known.released = now;
            known.reserved = None;
        }
    }

    /// Grants one request in the part of each interval that belongs to one of `count` entries, if none of them
    /// can be asked. The error is the time until the next such part. Grants can't be saved up, as all entries
    /// would use them at once.
    pub fn try_equal_share(
        &mut self,
        now: Time,
        server: &Replica,
        (rank, count): (u64, u64),
    ) -> Result<(), Span> {
        let Some(slot) = self.interval(now, server, 1.0) else { return Ok(()) };
        let Some(known) = self.get_mut(server) else { return Ok(()) };
        let (slot, count) = (slot.0.max(1), count.max(1));
        // The end is roughly the same for all entries.
        let left = known.left(now).0;
        let current = left / slot;
        let behind = (current + count - rank % count) % count;
        if behind == 0 && known.used_slot != Some(current) {
            known.used_slot = Some(current);
            return Ok(());
        }
        // Slots are counted down to the end.
        let behind = if behind == 0 { count } else { behind };
        Err(Span(left % slot + (behind - 1) * slot + 1))
    }

    /// Forgets servers that are gone. Returns those whose requests need no more permits.
    pub fn expire(&mut self, now: Time, lists: impl Fn(&Replica) -> bool) -> Vec<Replica> {
        let mut warm = Vec::new();
        for warmup in self.servers.values_mut() {
            if warmup.reported && warmup.left(now) == Span::ZERO {
                warmup.reported = false;
                warm.push(warmup.server.clone());
            }
            if lists(&warmup.server) {
                warmup.seen = now;
            }
        }
        self.servers.retain(|_, warmup| {
            now.since(warmup.seen) < GONE_RETENTION || warmup.left(now) > Span::ZERO
        });
        warm
    }

    fn get(&self, server: &Replica) -> Option<&Warmup> {
        self.servers.get(&server.id).filter(|known| is_same_process(&known.server, server))
    }

    fn get_mut(&mut self, server: &Replica) -> Option<&mut Warmup> {
        let known = self.servers.get_mut(&server.id);
        known.filter(|known| is_same_process(&known.server, server))
    }
}
