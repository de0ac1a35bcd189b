//! Availability zones that operators have evacuated: their servers get no new work.
//!
//! Made for a few zones that change a few times a day, while the set's revision advances about once a second.

use crate::ids::AvailabilityZone;
use crate::revision::Revision;
use crate::time::{Span, Time};
use crate::value;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which an evacuation is kept that a copy of the store lacks, so that operators can write it again.
const RECALL_HOLD: Span = Span::from_secs(5);
/// Maximum length of a zone's name in bytes.
const MAX_NAME_BYTES: usize = 256;

value! {
    /// State of the key of one zone in the store.
    pub struct ZoneEvent {
        /// The zone that the key names.
        pub zone: AvailabilityZone,
        /// Store revision at which the key was written or removed.
        pub revision: u64,
        /// Whether the key exists.
        pub evacuated: bool,
    }

    /// A set that one entry tells another.
    pub struct EvacuationStatement {
        /// Store revision that the set reflects.
        pub as_of: Revision,
        /// The zones whose keys exist.
        pub zones: Vec<AvailabilityZone>,
        /// Zones that a copy of the store lacks, and for how long they are kept.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub held: Vec<(AvailabilityZone, Span)>,
    }
}

/// From where an evacuation was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The store.
    Store,
    /// Another entry.
    Entry,
}

/// What was last logged about an evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Logged {
    #[default]
    Nothing,
    /// The name is unreadable, or no server is in the zone.
    Unusable,
    /// The zone is evacuated.
    Evacuated,
}

#[derive(Clone, Debug)]
struct Evacuation {
    /// When it became known here.
    since: Time,
    origin: Origin,
    logged: Logged,
    /// When it ends because the store returned from a copy that lacks it. `None` if its key exists.
    until: Option<Time>,
}

/// An evacuation that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedEvacuation {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Time since it became known here.
    pub lasted: Span,
    /// Whether its beginning was to be logged.
    pub logged: bool,
}

/// Difference between two sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// Zones that are evacuated now.
    pub begun: Vec<AvailabilityZone>,
    /// Zones that no longer are.
    pub ended: Vec<EndedEvacuation>,
}

/// What is to be logged about an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationNotice {
    /// A zone is evacuated.
    Evacuated {
        /// The zone.
        zone: AvailabilityZone,
        /// How many servers it has.
        servers: usize,
        /// From where this was learned.
        origin: Origin,
    },
    /// The name is unreadable, or no server is in the zone.
    Unusable(AvailabilityZone),
}

/// The set of evacuated zones as of a store revision.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The default if no set is known.
    as_of: Revision,
    /// Value of `as_of` when the zones last changed.
    changed: Revision,
    zones: BTreeMap<AvailabilityZone, Evacuation>,
    /// Zones of which this generation of the store has told anything, or whose time was over in it.
    settled: BTreeSet<AvailabilityZone>,
}

impl Evacuations {
    /// Store revision that the set reflects, or `None` if no set is known.
    pub fn as_of(&self) -> Option<Revision> {
        (self.as_of != Revision::default()).then_some(self.as_of)
    }

    /// Whether the servers of a zone get no new work.
    pub fn contains(&self, zone: &AvailabilityZone) -> bool {
        self.zones.contains_key(zone) && is_readable(zone)
    }

    /// Whether any zone is evacuated, also one without servers.
    pub fn has_zones(&self) -> bool {
        !self.zones.is_empty()
    }

    /// Number of evacuated zones in which servers are known.
    pub fn zone_count(&self) -> usize {
        self.zones.values().filter(|zone| zone.logged == Logged::Evacuated).count()
    }

    /// What to tell an entry with a set of this revision, or `None` if it lacks nothing. An entry that has read
    /// a copy of the store knows no evacuation that the copy lacks.
    pub fn statement_for(&self, now: Time, known: Revision) -> Option<EvacuationStatement> {
        let is_news = self.as_of > known || self.zones.values().any(|zone| zone.until.is_some());
        is_news.then(|| self.statement(now))
    }

    /// What to tell other entries.
    pub fn statement(&self, now: Time) -> EvacuationStatement {
        let mut statement =
            EvacuationStatement { as_of: self.as_of, zones: Vec::new(), held: Vec::new() };
        for (zone, evacuation) in &self.zones {
            match evacuation.until {
                None => statement.zones.push(zone.clone()),
                Some(until) => statement.held.push((zone.clone(), until.since(now))),
            }
        }
        statement
    }

    /// Whether the zones have changed since a revision.
    pub fn changed_since(&self, known: Revision) -> bool {
        self.changed > known
    }

    /// Replaces the set by that of a full read. A set of an earlier revision is ignored. If the store has
    /// returned from a copy, zones that it lacks are kept for [`RECALL_HOLD`].
    pub fn replace(
        &mut self,
        now: Time,
        as_of: Revision,
        zones: &[AvailabilityZone],
    ) -> EvacuationChanges {
        self.update(now, |set| set.enter(now, as_of, zones, Origin::Store))
    }

    /// Applies the events of a watch, in order of revision. Those that the set reflects already, or that don't
    /// follow a set of the same generation, are ignored.
    pub fn apply(&mut self, now: Time, as_of: Revision, events: &[ZoneEvent]) -> EvacuationChanges {
        self.update(now, |set| {
            if set.as_of().is_none() || set.as_of.generation != as_of.generation {
                return;
            }
            let reflected = set.as_of.number;
            for event in events.iter().filter(|event| event.revision > reflected) {
                match event.evacuated {
                    true => set.insert(now, &event.zone, None, Origin::Store),
                    false => drop(set.zones.remove(&event.zone)),
                }
                set.settled.insert(event.zone.clone());
            }
            set.as_of = set.as_of.max(as_of);
        })
    }

    /// Takes a set that another entry told, if its revision is later, and the zones that this entry keeps.
    pub fn merge(&mut self, now: Time, told: &EvacuationStatement) -> EvacuationChanges {
        self.update(now, |set| {
            if told.as_of > set.as_of {
                set.enter(now, told.as_of, &told.zones, Origin::Entry);
            }
            if told.as_of.generation != set.as_of.generation {
                return;
            }
            for (zone, left) in &told.held {
                if !set.settled.contains(zone) {
                    let until = now + (*left).min(RECALL_HOLD);
                    set.insert(now, zone, Some(until), Origin::Entry);
                }
            }
        })
    }

    /// Ends the evacuations that a copy of the store lacks and whose time is over.
    pub fn expire(&mut self, now: Time) -> EvacuationChanges {
        self.update(now, |set| {
            let due = |_: &AvailabilityZone, evacuation: &mut Evacuation| {
                evacuation.until.is_some_and(|until| until <= now)
            };
            let over = set.zones.extract_if(.., due).map(|(zone, _)| zone);
            set.settled.extend(over);
        })
    }

    /// Returns what is to be logged, once for each evacuation, given the number of servers of a zone, or `None`
    /// while no server list is known.
    pub fn take_notices(
        &mut self,
        servers: impl Fn(&AvailabilityZone) -> Option<usize>,
    ) -> Vec<EvacuationNotice> {
        let mut notices = Vec::new();
        for (zone, evacuation) in &mut self.zones {
            let count = if is_readable(zone) { servers(zone) } else { Some(0) };
            match (count, evacuation.logged) {
                (Some(0), Logged::Nothing) => {
                    evacuation.logged = Logged::Unusable;
                    notices.push(EvacuationNotice::Unusable(zone.clone()));
                }
                (Some(count @ 1..), Logged::Nothing | Logged::Unusable) => {
                    evacuation.logged = Logged::Evacuated;
                    let (zone, origin) = (zone.clone(), evacuation.origin);
                    notices.push(EvacuationNotice::Evacuated { zone, servers: count, origin });
                }
                _ => {}
            }
        }
        notices
    }

    /// Takes a set as of a revision, unless a later one is known.
    fn enter(&mut self, now: Time, as_of: Revision, zones: &[AvailabilityZone], origin: Origin) {
        if as_of < self.as_of {
            return;
        }
        let returned = self.as_of().is_some() && as_of.generation > self.as_of.generation;
        if returned {
            self.settled.clear();
            self.zones.values_mut().for_each(|zone| zone.until = Some(now + RECALL_HOLD));
        }
        let named: BTreeSet<_> = zones.iter().collect();
        let absent = |zone: &AvailabilityZone, evacuation: &mut Evacuation| {
            evacuation.until.is_none() && !named.contains(zone)
        };
        let removed = self.zones.extract_if(.., absent).map(|(zone, _)| zone);
        self.settled.extend(removed);
        for zone in zones {
            self.insert(now, zone, None, origin);
            self.settled.insert(zone.clone());
        }
        self.as_of = as_of;
    }

    fn insert(&mut self, now: Time, zone: &AvailabilityZone, until: Option<Time>, origin: Origin) {
        let new = Evacuation { since: now, origin, logged: Logged::Nothing, until };
        self.zones.entry(zone.clone()).or_insert(new).until = until;
    }

    /// Changes the set and returns the difference. An evacuation that ends and begins again in one step
    /// goes on.
    fn update(&mut self, now: Time, change: impl FnOnce(&mut Self)) -> EvacuationChanges {
        let before = self.zones.clone();
        change(self);
        let mut changes = EvacuationChanges::default();
        for (zone, evacuation) in &mut self.zones {
            match before.get(zone) {
                Some(known) => {
                    *evacuation = Evacuation { until: evacuation.until, ..known.clone() };
                }
                None => changes.begun.push(zone.clone()),
            }
        }
        for (zone, known) in before.into_iter().filter(|(zone, _)| !self.zones.contains_key(zone)) {
            let (lasted, logged) = (now.since(known.since), known.logged == Logged::Evacuated);
            changes.ended.push(EndedEvacuation { zone, lasted, logged });
        }
        if changes != EvacuationChanges::default() {
            self.changed = self.as_of;
        }
        changes
    }
}

/// Whether a name may be that of a zone.
fn is_readable(zone: &AvailabilityZone) -> bool {
    let bytes = zone.as_str().as_bytes();
    (1..=MAX_NAME_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic)
}
