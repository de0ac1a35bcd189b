//! Backend servers as the store lists them, read late and with outages.

use crate::ids::{AvailabilityZone, PoolId, ServerId};
use crate::time::{Span, Time};
use crate::value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

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
        pub born: Option<u64>,
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

/// A change of what is believed about a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// A server, or another process under its id, may be used.
    Up(Replica),
    /// A server gets no new work.
    Leaving(ServerId),
    /// A server is gone.
    Gone(ServerId),
}

#[derive(Clone, Debug)]
struct Record {
    revision: u64,
    replica: Replica,
    /// The record is missing; the server counts as gone from this time on.
    missing: Option<Time>,
}

/// All servers that are listed.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    records: BTreeMap<ServerId, Record>,
    as_of: u64,
    /// Store revision of the last change that was applied.
    changed: u64,
    /// When contact with the store came back after an outage.
    returned: Option<Time>,
    /// Whether the store is out of reach, so that records may lapse although the servers live.
    outage: bool,
}

impl Fleet {
    /// Store revision up to which changes have been applied.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Store revision of the newest record, or as of which one was last seen to be missing.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// All servers that are not gone.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.records.values().map(|record| &record.replica)
    }

    /// One server that is not gone.
    pub fn get(&self, id: &ServerId) -> Option<&Replica> {
        self.records.get(id).map(|record| &record.replica)
    }

    /// All records, to hand on to another entry.
    pub fn listings(&self) -> Vec<Listing> {
        let listing = |record: &Record| Listing {
            id: record.replica.id.clone(),
            revision: record.revision,
            replica: Some(record.replica.clone()),
        };
        self.records.values().filter(|record| record.missing.is_none()).map(listing).collect()
    }

    /// The store stopped answering.
    pub fn lost(&mut self) {
        self.outage = true;
    }

    /// The store answers again.
    pub fn regained(&mut self, now: Time) {
        if self.outage {
            self.outage = false;
            self.returned = Some(now);
        }
    }

    /// Applies changes in the order of their revisions.
    pub fn apply(&mut self, now: Time, as_of: u64, changes: &[Listing]) -> Vec<FleetChange> {
        let mut out = Vec::new();
        for change in changes {
            self.changed = self.changed.max(change.revision);
            self.change(now, change, &mut out);
        }
        self.as_of = self.as_of.max(as_of);
        out
    }

    /// Takes a whole list as of a revision; servers that it does not name are missing.
    pub fn replace(&mut self, now: Time, as_of: u64, list: &[Listing]) -> Vec<FleetChange> {
        let named = |id: &ServerId| list.iter().any(|listing| listing.id == *id);
        let absent: Vec<_> = self
            .records
            .values()
            .filter(|record| record.revision <= as_of && !named(&record.replica.id))
            .map(|record| record.replica.id.clone())
            .collect();
        let mut out = Vec::new();
        if !absent.is_empty() {
            self.changed = as_of;
        }
        for id in absent {
            self.miss(now, &id, &mut out);
        }
        for listing in list {
            self.changed = self.changed.max(listing.revision);
            self.change(now, listing, &mut out);
        }
        self.as_of = self.as_of.max(as_of);
        out
    }

    /// Drops servers whose records are still missing after the grace time.
    pub fn expire(&mut self, now: Time) -> Vec<FleetChange> {
        let due = |record: &Record| record.missing.is_some_and(|at| at <= now);
        let gone: Vec<_> =
            self.records.values().filter(|r| due(r)).map(|r| r.replica.id.clone()).collect();
        gone.iter().for_each(|id| drop(self.records.remove(id)));
        gone.into_iter().map(FleetChange::Gone).collect()
    }

    fn change(&mut self, now: Time, change: &Listing, out: &mut Vec<FleetChange>) {
        let known = self.records.get(&change.id);
        if known
            .is_some_and(|record| record.revision >= change.revision && record.missing.is_none())
        {
            return;
        }
        let Some(replica) = &change.replica else {
            self.miss(now, &change.id, out);
            return;
        };
        let same = known.is_some_and(|record| {
            record.replica.born == replica.born && record.replica.address == replica.address
        });
        let left = known.is_some_and(|record| same && record.replica.leaving);
        if !same {
            if known.is_some() {
                out.push(FleetChange::Gone(change.id.clone()));
            }
            if !replica.leaving {
                out.push(FleetChange::Up(replica.clone()));
            }
        } else if replica.leaving && !left {
            out.push(FleetChange::Leaving(change.id.clone()));
        } else if left && !replica.leaving {
            out.push(FleetChange::Up(replica.clone()));
        }
        let record = Record { revision: change.revision, replica: replica.clone(), missing: None };
        self.records.insert(change.id.clone(), record);
    }

    /// A record is missing. After an outage it gets time to come back.
    fn miss(&mut self, now: Time, id: &ServerId, out: &mut Vec<FleetChange>) {
        let Some(record) = self.records.get_mut(id) else { return };
        let until = self.returned.map(|at| at + LAPSE_GRACE);
        let kept = match until {
            Some(until) if until > now && !record.replica.leaving => Some(until),
            _ if self.outage => Some(now + LAPSE_GRACE),
            _ => None,
        };
        match kept {
            Some(until) => record.missing = Some(record.missing.unwrap_or(until)),
            None => {
                self.records.remove(id);
                out.push(FleetChange::Gone(id.clone()));
            }
        }
    }
}
