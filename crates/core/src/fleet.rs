//! Backend servers as the store lists them, read late and with outages.

use crate::ids::{AvailabilityZone, PoolId, ServerId};
use crate::time::{Span, Time};
use crate::value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Removals that are remembered for those who ask for changes.
const REMOVALS_MAX: usize = 1_024;
/// Time after the store's return in which records that lapsed meanwhile are written again. The
/// platform states two seconds; the rest is the delay of a read.
const LAPSE_GRACE: Span = Span::from_millis(2_200);

value! {
    /// A backend server that has registered itself.
    pub struct Replica {
        /// Unique among all servers.
        pub id: ServerId,
        /// Pool that it serves.
        pub pool: PoolId,
        /// Where it listens. Another server may get the address later.
        pub address: SocketAddr,
        /// Where it runs.
        pub zone: AvailabilityZone,
        /// Requests that it works on at once.
        pub slots: u32,
        /// Gets no new work.
        pub leaving: bool,
        /// Start of its process in Unix milliseconds; another value is another process under the
        /// same id.
        #[serde(rename = "born")]
        pub started: Option<u64>,
    }

    /// What the store says of one record.
    pub struct Listing {
        /// Id of the server that the record is for.
        pub id: ServerId,
        /// Revision of the store at which it was written or removed.
        pub revision: u64,
        /// `None`: the record is gone, or names no server that could be used.
        pub replica: Option<Replica>,
    }
}

/// Changes of the list since one that another process knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Store revision up to which the list is known.
    pub as_of: u64,
    /// The teller's count of changes; what the receiver knows of it afterwards.
    pub sequence: u64,
    /// Whether it names all servers; else those that changed.
    #[serde(rename = "whole")]
    pub full: bool,
    /// The servers.
    pub listings: Vec<Listing>,
}

/// A change of what is believed about a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// A server, or another process under its id, may be used.
    Up(Replica),
    /// A server gets no new work.
    Leaving(ServerId),
    /// A server is gone.
    Removed(ServerId),
}

#[derive(Clone, Debug)]
struct Record {
    revision: u64,
    /// Number of its last change that matters to others; never above the list's.
    last_change: u64,
    replica: Replica,
    /// The record is missing; the server counts as gone from this time on.
    expires: Option<Time>,
}

/// All servers that are listed.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    records: BTreeMap<ServerId, Record>,
    as_of: u64,
    /// Changes that matter to others so far, counted in this process.
    sequence: u64,
    /// Servers that are gone, with the number and the revision of that change; rising.
    removed: VecDeque<(u64, u64, ServerId)>,
    /// Changes up to this one can't be told one by one.
    compacted: u64,
    /// When contact with the store came back after an outage.
    recovered: Option<Time>,
    /// Whether the store is out of reach, so that records may lapse although the servers live.
    outage: bool,
}

impl Fleet {
    /// Store revision up to which changes have been applied.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Changes so far that matter to others: what a record says of its server, or that it is gone.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// All servers that are not gone.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.records.values().map(|record| &record.replica)
    }

    /// One server that is not gone.
    pub fn get(&self, id: &ServerId) -> Option<&Replica> {
        self.records.get(id).map(|record| &record.replica)
    }

    /// Changes after the one that another process knows; `None`: there are none.
    pub fn delta_since(&self, known: u64) -> Option<Delta> {
        if known >= self.sequence {
            return None;
        }
        let full = known < self.compacted || known == 0;
        let listing = |record: &Record| Listing {
            id: record.replica.id.clone(),
            revision: record.revision,
            replica: Some(record.replica.clone()),
        };
        let newer = self.records.values().filter(|record| full || record.last_change > known);
        let mut listings: Vec<_> = newer.map(listing).collect();
        if !full {
            let gone = self
                .removed
                .iter()
                .filter(|(at, _, id)| *at > known && !self.records.contains_key(id));
            listings.extend(gone.map(|(_, revision, id)| Listing {
                id: id.clone(),
                revision: *revision,
                replica: None,
            }));
        }
        Some(Delta { as_of: self.as_of, sequence: self.sequence, full, listings })
    }

    /// Takes changes from another process. `None`: they are older than what is known here.
    pub fn merge(&mut self, now: Time, delta: &Delta) -> Option<Vec<FleetChange>> {
        (delta.as_of >= self.as_of).then(|| match delta.full {
            true => self.replace(now, delta.as_of, &delta.listings),
            false => self.apply(now, delta.as_of, &delta.listings),
        })
    }

    /// The store stopped answering.
    pub fn store_lost(&mut self) {
        self.outage = true;
    }

    /// The store answers again.
    pub fn store_recovered(&mut self, now: Time) {
        if self.outage {
            self.outage = false;
            self.recovered = Some(now);
        }
    }

    /// Applies changes in the order of their revisions.
    pub fn apply(&mut self, now: Time, as_of: u64, changes: &[Listing]) -> Vec<FleetChange> {
        let mut out = Vec::new();
        for change in changes {
            self.apply_one(now, change, &mut out);
        }
        self.as_of = self.as_of.max(as_of);
        out
    }

    /// Takes a whole list as of a revision; servers that it does not name are missing.
    pub fn replace(&mut self, now: Time, as_of: u64, list: &[Listing]) -> Vec<FleetChange> {
        let named: BTreeSet<_> = list.iter().map(|listing| &listing.id).collect();
        let absent: Vec<_> = self
            .records
            .values()
            .filter(|record| record.revision <= as_of && !named.contains(&record.replica.id))
            .map(|record| record.replica.id.clone())
            .collect();
        let mut out = Vec::new();
        for id in absent {
            self.mark_missing(now, &id, as_of, &mut out);
        }
        for listing in list {
            self.apply_one(now, listing, &mut out);
        }
        self.as_of = self.as_of.max(as_of);
        out
    }

    /// Drops servers whose records are still missing after the grace time.
    pub fn expire(&mut self, now: Time) -> Vec<FleetChange> {
        let due = |record: &Record| record.expires.is_some_and(|at| at <= now);
        let gone: Vec<_> =
            self.records.values().filter(|r| due(r)).map(|r| r.replica.id.clone()).collect();
        gone.iter().for_each(|id| self.remove(id, self.as_of));
        gone.into_iter().map(FleetChange::Removed).collect()
    }

    fn apply_one(&mut self, now: Time, change: &Listing, out: &mut Vec<FleetChange>) {
        let known = self.records.get(&change.id);
        if known
            .is_some_and(|record| record.revision >= change.revision && record.expires.is_none())
        {
            return;
        }
        let Some(replica) = &change.replica else {
            self.mark_missing(now, &change.id, change.revision, out);
            return;
        };
        let unchanged = known.is_some_and(|record| record.replica == *replica);
        let last_change = match known {
            Some(record) if unchanged => record.last_change,
            _ => {
                self.sequence += 1;
                self.sequence
            }
        };
        let known = self.records.get(&change.id);
        let same_process = known.is_some_and(|record| {
            record.replica.started == replica.started && record.replica.address == replica.address
        });
        let was_leaving = known.is_some_and(|record| same_process && record.replica.leaving);
        if !same_process {
            if known.is_some() {
                out.push(FleetChange::Removed(change.id.clone()));
            }
            if !replica.leaving {
                out.push(FleetChange::Up(replica.clone()));
            }
        } else if replica.leaving && !was_leaving {
            out.push(FleetChange::Leaving(change.id.clone()));
        } else if was_leaving && !replica.leaving {
            out.push(FleetChange::Up(replica.clone()));
        }
        let (revision, replica) = (change.revision, replica.clone());
        let record = Record { revision, last_change, replica, expires: None };
        self.records.insert(change.id.clone(), record);
    }

    /// A record is missing as of a revision. After an outage it gets time to come back.
    fn mark_missing(&mut self, now: Time, id: &ServerId, as_of: u64, out: &mut Vec<FleetChange>) {
        let Some(record) = self.records.get_mut(id) else { return };
        let until = self.recovered.map(|at| at + LAPSE_GRACE);
        let kept = match until {
            Some(until) if until > now && !record.replica.leaving => Some(until),
            _ if self.outage => Some(now + LAPSE_GRACE),
            _ => None,
        };
        match kept {
            Some(until) => record.expires = Some(record.expires.unwrap_or(until)),
            None => {
                self.remove(id, as_of);
                out.push(FleetChange::Removed(id.clone()));
            }
        }
    }

    fn remove(&mut self, id: &ServerId, revision: u64) {
        self.records.remove(id);
        self.sequence += 1;
        self.removed.push_back((self.sequence, revision, id.clone()));
        if self.removed.len() > REMOVALS_MAX
            && let Some((at, ..)) = self.removed.pop_front()
        {
            self.compacted = at;
        }
    }
}
