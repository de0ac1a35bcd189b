//! List of registered backend servers, replicated from the store with delay, through outages, and through
//! returns of the store from a copy.
//!
//! Such a copy lacks servers that have registered since, and lists others as they were. What is known of both
//! holds for the time in which servers write their records again.
//!
//! A missing record means that its server is gone, unless the store has just returned from an outage, see
//! [`Uptime`]. Then the record may have expired, and the server is kept for the same time. Receivers of deltas
//! are told which servers are kept so, and decide for themselves.

use crate::ids::{AvailabilityZone, PoolId, ServerId};
use crate::revision::Revision;
use crate::time::{Span, Time};
use crate::uptime::Uptime;
use crate::value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Maximum number of removals kept for deltas; a peer that is further behind gets the full list.
const REMOVALS_MAX: usize = 1_024;
/// Time after the store's return within which servers rewrite records that expired during the
/// outage. The platform specifies two seconds; the rest allows for the interval between reads.
const LAPSE_GRACE: Span = Span::from_millis(2_800);
/// Time for which a record of a copy is not applied if it contradicts what is known of the server. A server
/// that it describes truly is still listed then; the record of one that is gone expires sooner.
const RECALL_HOLD: Span = Span::from_secs(5);
/// A time at which a server is warm counts as another one if it is later than the known one by more than the
/// first, or earlier by more than the second. Records of one warm-up differ by the delay with which they are
/// read, up to 0.6 s.
const WARMUP_TOLERANCE: (Span, Span) = (Span::from_millis(500), Span::from_millis(1_000));

value! {
    /// A registered backend server.
    pub struct Replica {
        /// Unique among all servers.
        pub id: ServerId,
        /// Pool that it serves.
        pub pool: PoolId,
        /// Listen address. It may be reassigned to another server later.
        pub address: SocketAddr,
        /// Availability zone that it runs in.
        pub zone: AvailabilityZone,
        /// Requests that it processes concurrently.
        pub slots: u32,
        /// Whether it is draining and must get no new work.
        pub leaving: bool,
        /// Start time of its process in Unix milliseconds. A different value means a different
        /// process under the same id.
        #[serde(rename = "born")]
        pub started: Option<u64>,
        /// Time left in which it is cold, as of the record; `None` if the record does not tell it. See
        /// [`Fleet::warm_at`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub warmup: Option<Span>,
    }

    /// A process of a backend server.
    #[derive(PartialOrd, Ord)]
    pub struct ServerProcess {
        /// Id of the server. A later process may have the same one.
        pub id: ServerId,
        /// Start time of the process in Unix milliseconds, if known.
        pub started: Option<u64>,
    }

    /// State of one record in the store.
    pub struct Listing {
        /// The server that the record describes.
        pub id: ServerId,
        /// Store revision at which the record was written or removed.
        pub revision: u64,
        /// `None` if the record was removed or does not describe a usable server.
        pub replica: Option<Replica>,
        /// Whether the store does not list the server and an entry keeps it, see [`FleetChange::Missing`]. The
        /// store's own listings never say so.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub missing: bool,
    }
}

impl Replica {
    /// Whether another record describes the same process.
    fn is_same_process(&self, other: &Self) -> bool {
        self.started == other.started && self.address == other.address
    }

    /// Whether another record says the same, apart from the time left in which the server is cold.
    fn is_same_record(&self, other: &Self) -> bool {
        let Self { id, pool, address, zone, slots, leaving, started, warmup: _ } = self;
        (id, pool, address, zone) == (&other.id, &other.pool, &other.address, &other.zone)
            && (slots, leaving, started) == (&other.slots, &other.leaving, &other.started)
    }

    /// The process that the record describes.
    pub fn process(&self) -> ServerProcess {
        ServerProcess { id: self.id.clone(), started: self.started }
    }
}

/// Whether two records describe the same process under the same id, whatever its state.
pub(crate) fn is_same_process(a: &Replica, b: &Replica) -> bool {
    a.id == b.id && a.is_same_process(b)
}

/// Changes to the list since the last change that another process knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Store revision that the sender's list reflects.
    pub as_of: u64,
    /// Generation of that revision; 0 if it is unknown.
    #[serde(default)]
    pub generation: u64,
    /// The sender's change counter, to be passed to [`Fleet::delta_since`] for the next delta.
    pub sequence: u64,
    /// Whether `listings` contains all servers rather than only those that changed.
    #[serde(rename = "whole")]
    pub full: bool,
    /// The changed servers, or all of them.
    pub listings: Vec<Listing>,
}

/// A change to the state of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// The server, or a new process under its id, accepts work.
    Up(Replica),
    /// The server is draining and must get no new work.
    Leaving(ServerId),
    /// The record of the server is missing, and the server is kept for now.
    Missing(ServerId),
    /// The server no longer exists.
    Removed(ServerId),
    /// The record of the server tells another time at which it is warm, see [`Fleet::warm_at`].
    Warmup(ServerId),
}

#[derive(Clone, Debug)]
struct Record {
    /// 0 if it was written in an earlier generation of the store.
    revision: u64,
    /// Value of the list's `sequence` when the content of the record last changed.
    last_change: u64,
    replica: Replica,
    /// When the server is warm; `None` if no record told it.
    warm_at: Option<Time>,
    /// A record that is read from this time on counts as a change.
    awaited: Option<Time>,
    /// Store revision as of which the record is missing, if it is. The server is removed once no record can
    /// have expired in an outage of the store, unless the record returns.
    missing: Option<u64>,
    /// When the server is removed unless its record is written again.
    expires: Option<Time>,
}

/// A record that is not applied yet.
#[derive(Clone, Debug)]
struct HeldRecord {
    /// When it is applied, if it is still listed.
    until: Time,
    revision: u64,
    replica: Replica,
}

/// A server that was removed.
#[derive(Clone, Debug)]
struct Removal {
    /// Value of the list's `sequence`.
    sequence: u64,
    /// Store revision of the removal.
    revision: u64,
    replica: Replica,
}

/// Whether a record tells nothing new of when its server is warm.
fn is_same_warmup(now: Time, known: Option<Time>, told: Option<Time>) -> bool {
    match (known, told) {
        (Some(known), Some(told)) => {
            let (later, earlier) = WARMUP_TOLERANCE;
            let both_warm = known <= now && told <= now;
            both_warm || told.since(known) <= later && known.since(told) <= earlier
        }
        (known, told) => known.is_none() && told.is_none(),
    }
}

/// The list of registered servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    records: BTreeMap<ServerId, Record>,
    as_of: Revision,
    /// Highest revision that the copy from which the store last returned may have. 0 if it never did.
    recalled: u64,
    /// Records of that copy that contradict what is known.
    held: BTreeMap<ServerId, HeldRecord>,
    /// Number of content changes and removals so far, counted by this process.
    sequence: u64,
    /// Removed servers, in ascending order of the sequence number.
    removed: VecDeque<Removal>,
    /// Highest sequence number dropped from `removed`. A receiver that is further behind needs the
    /// full list.
    compacted: u64,
    /// When the store's current generation was first seen, if there was one before.
    restored: Option<Time>,
    /// For how long the store has served. Whoever calls the store or other entries records what they tell of it.
    pub uptime: Uptime,
}

impl Fleet {
    /// Store revision up to which changes are applied.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Number of changes so far: of a record's content, or removals. Rewriting a record unchanged
    /// does not count.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// All current servers.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.records.values().map(|record| &record.replica)
    }

    /// Looks up a current server.
    pub fn get(&self, id: &ServerId) -> Option<&Replica> {
        self.records.get(id).map(|record| &record.replica)
    }

    /// When a server is warm, by its record, and the revision of that record.
    pub fn warm_at(&self, id: &ServerId) -> (Option<Time>, Revision) {
        let record = self.records.get(id);
        let number = record.map_or(0, |record| record.revision);
        (record.and_then(|r| r.warm_at), Revision::new(self.as_of.generation, number))
    }

    /// Has the first record of a server that is read from a time on count as a change, whatever it says.
    pub fn await_record(&mut self, id: &ServerId, from: Time) {
        if let Some(record) = self.records.get_mut(id) {
            record.awaited = Some(from);
        }
    }

    /// Whether the list names a process.
    pub fn lists_process(&self, server: &Replica) -> bool {
        self.get(&server.id).is_some_and(|listed| listed.is_same_process(server))
    }

    /// The changes as [`Fleet::delta_since`] returns them, with the times left as of `now`.
    pub fn delta_at(&self, now: Time, known: u64) -> Option<Delta> {
        let mut delta = self.delta_since(known)?;
        for replica in delta.listings.iter_mut().filter_map(|listing| listing.replica.as_mut()) {
            replica.warmup = self.warm_at(&replica.id).0.map(|at| at.since(now));
        }
        Some(delta)
    }

    /// The changes after sequence number `known`, or `None` if there are none.
    pub fn delta_since(&self, known: u64) -> Option<Delta> {
        if known >= self.sequence {
            return None;
        }
        let full = known < self.compacted || known == 0;
        let listing = |record: &Record| Listing {
            id: record.replica.id.clone(),
            revision: record.revision,
            replica: Some(record.replica.clone()),
            missing: record.missing.is_some(),
        };
        let newer = self.records.values().filter(|record| full || record.last_change > known);
        let mut listings: Vec<_> = newer.map(listing).collect();
        if !full {
            let gone = self
                .removed
                .iter()
                .filter(|r| r.sequence > known && !self.records.contains_key(&r.replica.id));
            listings.extend(gone.map(|removal| Listing {
                id: removal.replica.id.clone(),
                revision: removal.revision,
                replica: None,
                missing: false,
            }));
        }
        let Revision { generation, number: as_of } = self.as_of;
        Some(Delta { as_of, generation, sequence: self.sequence, full, listings })
    }

    /// Applies changes from another process. Returns `None` if they are older than this list, or if they
    /// follow a list of another generation.
    pub fn merge(&mut self, now: Time, delta: &Delta) -> Option<Vec<FleetChange>> {
        let as_of = Revision::new(delta.generation, delta.as_of);
        let follows = delta.full || as_of.generation == self.as_of.generation;
        (as_of >= self.as_of && follows).then(|| match delta.full {
            true => self.replace(now, as_of, &delta.listings),
            false => self.apply(now, as_of, &delta.listings),
        })
    }

    /// Whether records of live servers may be missing, since the store was away or returned from a copy.
    fn may_lack_records(&self, now: Time) -> bool {
        let restored = self.restored.is_some_and(|at| now < at + LAPSE_GRACE);
        restored || self.uptime.time_left(now, LAPSE_GRACE) > Span::ZERO
    }

    /// Applies changes, which must be in order of revision. Those that don't follow a list of the same
    /// generation are ignored.
    pub fn apply(&mut self, now: Time, as_of: Revision, changes: &[Listing]) -> Vec<FleetChange> {
        let mut out = Vec::new();
        if as_of.generation != self.as_of.generation {
            return out;
        }
        for change in changes {
            self.apply_one(now, as_of.number, change, &mut out);
        }
        self.as_of = self.as_of.max(as_of);
        out
    }

    /// Applies a full list as of a revision. Servers that it does not contain count as missing. A list of an
    /// earlier generation is ignored.
    pub fn replace(&mut self, now: Time, as_of: Revision, list: &[Listing]) -> Vec<FleetChange> {
        if as_of.generation < self.as_of.generation {
            return Vec::new();
        }
        self.enter_generation(now, as_of);
        let named: BTreeSet<_> = list.iter().map(|listing| &listing.id).collect();
        let absent: Vec<_> = self
            .records
            .values()
            .filter(|record| record.revision <= as_of.number && !named.contains(&record.replica.id))
            .map(|record| record.replica.id.clone())
            .collect();
        self.held.retain(|id, _| named.contains(id));
        let mut out = Vec::new();
        for id in absent {
            self.mark_missing(now, &id, as_of.number, &mut out);
        }
        for listing in list {
            self.apply_one(now, as_of.number, listing, &mut out);
        }
        self.as_of = self.as_of.max(as_of);
        out
    }

    /// Takes up the first list of a later generation. Revisions of earlier ones have been given out again.
    fn enter_generation(&mut self, now: Time, as_of: Revision) {
        if as_of.generation == self.as_of.generation {
            return;
        }
        let is_first = self.as_of == Revision::default();
        self.as_of = as_of;
        if is_first {
            return;
        }
        for record in self.records.values_mut() {
            // A server that had not returned yet gets time again.
            (record.revision, record.missing, record.expires) = (0, None, None);
        }
        self.restored = Some(now);
        self.recalled = as_of.number;
        self.held.clear();
        // Receivers of deltas need the full list of this generation.
        self.sequence += 1;
        self.compacted = self.sequence;
    }

    /// Removes servers whose records are missing although none can have expired in an outage of the store, as
    /// time passed or other entries told that there was none, and applies records of a copy that are still
    /// listed.
    pub fn expire(&mut self, now: Time) -> Vec<FleetChange> {
        let may_lack = self.may_lack_records(now);
        let due = |record: &&Record| {
            record.missing.is_some() && !may_lack || record.expires.is_some_and(|at| at <= now)
        };
        let gone = self.records.values().filter(due);
        let gone: Vec<_> =
            gone.map(|r| (r.replica.id.clone(), r.missing.unwrap_or(self.as_of.number))).collect();
        gone.iter().for_each(|(id, revision)| self.remove(id, *revision));
        let mut out: Vec<_> = gone.into_iter().map(|(id, _)| FleetChange::Removed(id)).collect();
        let released = self.held.extract_if(.., |_, held| held.until <= now);
        for (_, held) in released.collect::<Vec<_>>() {
            self.apply_record(now, held.revision, held.replica, &mut out);
        }
        out
    }

    /// Applies the state of one record as of a revision.
    fn apply_one(&mut self, now: Time, as_of: u64, change: &Listing, out: &mut Vec<FleetChange>) {
        let known = self.records.get(&change.id);
        let is_sure = |record: &Record| record.missing.is_none() && record.expires.is_none();
        if known.is_some_and(|record| {
            record.revision >= change.revision && !change.missing && is_sure(record)
        }) {
            return;
        }
        match &change.replica {
            Some(kept) if change.missing => self.apply_kept(now, as_of, change.revision, kept, out),
            Some(listed) if change.revision <= self.recalled && self.contradicts(listed) => {
                self.hold(now, change.revision, listed);
            }
            Some(listed) => {
                self.held.remove(&change.id);
                self.apply_record(now, change.revision, listed.clone(), out);
            }
            None => {
                self.held.remove(&change.id);
                self.mark_missing(now, &change.id, change.revision, out);
            }
        }
    }

    /// Applies a record that the store did not list as of a revision, and whose server another entry keeps. This
    /// entry does too if it knows of the same outage.
    fn apply_kept(
        &mut self,
        now: Time,
        as_of: u64,
        revision: u64,
        kept: &Replica,
        out: &mut Vec<FleetChange>,
    ) {
        let known = self.records.get(&kept.id);
        if known.is_some_and(|record| record.revision > revision) {
            return;
        }
        if known.is_none() && self.may_lack_records(now) {
            self.apply_record(now, revision, kept.clone(), out);
        }
        self.mark_missing(now, &kept.id, as_of, out);
    }

    /// Whether a record of a copy contradicts what is known: it lists a server that was removed or is leaving
    /// as available, or an earlier process.
    fn contradicts(&self, listed: &Replica) -> bool {
        match self.records.get(&listed.id).map(|record| &record.replica) {
            Some(known) if known.is_same_process(listed) => known.leaving && !listed.leaving,
            Some(known) => known.started > listed.started,
            None => {
                let known = self.removed.iter().map(|removal| &removal.replica);
                let mut known = known.filter(|known| known.id == listed.id);
                known.any(|known| known.is_same_process(listed) || known.started > listed.started)
            }
        }
    }

    /// Keeps a record of a copy until the server has had time to write its record again.
    fn hold(&mut self, now: Time, revision: u64, listed: &Replica) {
        let until = self.held.get(&listed.id).map_or(now + RECALL_HOLD, |held| held.until);
        let held = HeldRecord { until, revision, replica: listed.clone() };
        self.held.insert(listed.id.clone(), held);
        if let Some(record) = self.records.get_mut(&listed.id)
            && !record.replica.is_same_process(listed)
        {
            record.expires.get_or_insert(now + LAPSE_GRACE);
        }
    }

    /// Applies a record, whatever revision is known.
    fn apply_record(
        &mut self,
        now: Time,
        revision: u64,
        replica: Replica,
        out: &mut Vec<FleetChange>,
    ) {
        let id = replica.id.clone();
        let known = self.records.get(&id);
        let told = replica.warmup.map(|left| now + left);
        let same = known.is_some_and(|record| record.replica.is_same_process(&replica));
        let same_warmup = known.is_some_and(|record| {
            let awaited = record.awaited.is_some_and(|from| from <= now);
            same && !awaited && is_same_warmup(now, record.warm_at, told)
        });
        let awaited = known.and_then(|record| record.awaited).filter(|from| same && *from > now);
        let warm_at = match known {
            Some(record) if same_warmup => record.warm_at,
            _ => told,
        };
        let unchanged =
            same_warmup && known.is_some_and(|record| record.replica.is_same_record(&replica));
        let listed_before = known.is_some_and(|record| record.missing.is_none());
        let last_change = match known {
            Some(record) if unchanged && listed_before => record.last_change,
            _ => {
                self.sequence += 1;
                self.sequence
            }
        };
        let known = self.records.get(&id);
        let same_process = known.is_some_and(|record| record.replica.is_same_process(&replica));
        let was_leaving = known.is_some_and(|record| same_process && record.replica.leaving);
        if !same_process {
            if known.is_some() {
                out.push(FleetChange::Removed(id.clone()));
            }
            if !replica.leaving {
                out.push(FleetChange::Up(replica.clone()));
            }
        } else if replica.leaving && !was_leaving {
            out.push(FleetChange::Leaving(id.clone()));
        } else if was_leaving && !replica.leaving {
            out.push(FleetChange::Up(replica.clone()));
        }
        if same_process && !same_warmup {
            out.push(FleetChange::Warmup(id.clone()));
        }
        let record = Record {
            revision,
            last_change,
            replica,
            warm_at,
            awaited,
            missing: None,
            expires: None,
        };
        self.records.insert(id, record);
    }

    /// Handles a record that is missing as of a revision. The server is removed, unless it accepts work and its
    /// record may have expired in an outage of the store.
    fn mark_missing(&mut self, now: Time, id: &ServerId, as_of: u64, out: &mut Vec<FleetChange>) {
        let may_lack = self.may_lack_records(now);
        let Some(record) = self.records.get_mut(id) else { return };
        if !may_lack || record.replica.leaving {
            self.remove(id, as_of);
            out.push(FleetChange::Removed(id.clone()));
        } else if record.missing.is_none() {
            self.sequence += 1;
            (record.missing, record.last_change) = (Some(as_of), self.sequence);
            out.push(FleetChange::Missing(id.clone()));
        }
    }

    fn remove(&mut self, id: &ServerId, revision: u64) {
        let Some(Record { replica, .. }) = self.records.remove(id) else { return };
        self.sequence += 1;
        self.removed.push_back(Removal { sequence: self.sequence, revision, replica });
        if self.removed.len() > REMOVALS_MAX
            && let Some(oldest) = self.removed.pop_front()
        {
            self.compacted = self.compacted.max(oldest.sequence);
        }
    }
}
