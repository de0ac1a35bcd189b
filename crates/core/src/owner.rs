//! Which entry calls which server of a stage pool, and to which owner the pieces of a request go.
//!
//! Every entry computes the same owners from the same lists. An entry hands pieces to the owner that is
//! expected to be done first, from what owners tell with their answers and what this entry has open there.

use crate::batch::{Fullness, Lane};
use crate::catalog::PieceSpec;
use crate::fleet::Replica;
use crate::ids::{AvailabilityZone, PoolId, ServerId};
use crate::time::{Span, Time, decay};
use crate::value;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Delay by which 1 MB counts that crosses availability zones between stages.
const CROSS_DELAY: Span = Span::from_millis(120);
/// Delay by which an owner in another zone counts.
const ZONE_DELAY: Span = Span::from_millis(4);
/// Waiting pieces, as a part of a round, that leave in the same call as one that comes now.
const SAME_CALL: f64 = 0.5;
/// Owners whose delays differ by less than this part of a call are alike: what they told is that old.
const ALIKE_PART: f64 = 0.25;
/// Time after which what an owner told counts for about a third.
const TOLD_MEMORY: Span = Span::from_millis(600);
/// Weight of a new answer in the mean fullness of a pool.
const MEAN_WEIGHT: f64 = 0.15;
/// Time without answers after which the mean counts for about a third.
const MEAN_MEMORY: Span = Span::from_secs(2);

value! {
    /// Another entry, or this one.
    #[derive(PartialOrd, Ord)]
    pub struct EntryAt {
        /// Unique among entries.
        pub name: String,
        /// Where it runs.
        pub zone: AvailabilityZone,
        /// Where other entries reach it.
        pub address: String,
    }
}

/// The owner of each server: an entry of its zone if there is one, else any, each with about as many
/// servers as the others. Depends on the lists alone, not on their order.
pub fn assign_owners(
    pool: &PoolId,
    entries: &[EntryAt],
    servers: &[Replica],
) -> BTreeMap<ServerId, String> {
    // Each server ranks the entries in its own way, so that an entry that comes or goes moves few others.
    let rank = |server: &ServerId, name: &str| {
        xxh3_64(format!("{pool}/{}/{name}", server.as_str()).as_bytes())
    };
    let mut counts: BTreeMap<&str, usize> = entries.iter().map(|e| (e.name.as_str(), 0)).collect();
    let mut sorted: Vec<_> = servers.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    let mut owners = BTreeMap::new();
    for server in sorted {
        let best = entries.iter().min_by_key(|entry| {
            let owned = counts.get(entry.name.as_str()).copied().unwrap_or(0);
            (entry.zone != server.zone, owned, rank(&server.id, &entry.name))
        });
        if let Some(entry) = best {
            *counts.entry(entry.name.as_str()).or_default() += 1;
            owners.insert(server.id.clone(), entry.name.clone());
        }
    }
    owners
}

/// Entries that read the store for the others, of all that are listed. Two may be lost at once.
const READERS: usize = 3;

/// Whether an entry reads the store itself. The others ask one of the readers, since each call to the
/// store is paid for and its rates grow more slowly than the number of entries.
pub fn reads_store(entries: &[EntryAt], own: &str) -> bool {
    entries.is_empty() || readers(entries).any(|entry| entry.name == own)
}

/// The entries that read the store.
pub fn readers(entries: &[EntryAt]) -> impl Iterator<Item = &EntryAt> {
    let mut ranked: Vec<_> = entries.iter().collect();
    ranked.sort_by_key(|entry| xxh3_64(entry.name.as_bytes()));
    ranked.into_iter().take(READERS)
}

/// Pieces of one stage of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// How many.
    pub pieces: usize,
    /// Which pieces go ahead of them.
    pub lane: Lane,
}

#[derive(Clone, Debug)]
struct Owner {
    entry: EntryAt,
    /// Servers by zone.
    zones: BTreeMap<AvailabilityZone, usize>,
    servers: usize,
    /// Pieces from here that it has not answered, by lane.
    open: BTreeMap<Lane, usize>,
    /// Its fullness when it last answered.
    told: Fullness,
    told_at: Time,
}

/// The owners of one pool, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Owners {
    own: EntryAt,
    spec: PieceSpec,
    owners: BTreeMap<String, Owner>,
    /// Mean fullness of the pool, as the owners told lately, and when the last of them did.
    mean: Fullness,
    mean_at: Time,
    /// Name of each server's owner.
    servers: BTreeMap<ServerId, String>,
}

impl Owners {
    /// Nobody owns anything yet.
    pub fn new(own: EntryAt, spec: PieceSpec) -> Self {
        Self {
            own,
            spec,
            owners: BTreeMap::new(),
            mean: Fullness::default(),
            mean_at: Time::default(),
            servers: BTreeMap::new(),
        }
    }

    /// Takes new limits.
    pub fn set_spec(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Takes the lists of entries and servers, and tells which servers this entry owns. It owns those of
    /// suspects as well: the others may not have seen yet that these do not answer.
    pub fn assign(
        &mut self,
        pool: &PoolId,
        entries: &[EntryAt],
        suspects: &BTreeMap<String, Time>,
        servers: &[Replica],
    ) -> Vec<Replica> {
        let alone = [self.own.clone()];
        let entries = if entries.is_empty() { &alone[..] } else { entries };
        let mut owners = assign_owners(pool, entries, servers);
        for owner in owners.values_mut().filter(|owner| suspects.contains_key(*owner)) {
            owner.clone_from(&self.own.name);
        }
        let mut known = std::mem::take(&mut self.owners);
        for server in servers {
            let Some(name) = owners.get(&server.id) else { continue };
            let listed = entries.iter().find(|entry| entry.name == *name);
            let entry = listed.unwrap_or(&self.own);
            let owner = self.owners.entry(name.clone()).or_insert_with(|| {
                let blank = || Owner {
                    entry: entry.clone(),
                    zones: BTreeMap::new(),
                    servers: 0,
                    open: BTreeMap::new(),
                    told: Fullness::default(),
                    told_at: Time::default(),
                };
                let old = known.remove(name).unwrap_or_else(blank);
                Owner { entry: entry.clone(), zones: BTreeMap::new(), servers: 0, ..old }
            });
            owner.servers += 1;
            *owner.zones.entry(server.zone.clone()).or_default() += 1;
        }
        self.servers = owners;
        let mine = |server: &&Replica| self.servers.get(&server.id) == Some(&self.own.name);
        servers.iter().filter(mine).cloned().collect()
    }

    /// The owner of a server.
    pub fn owner_of(&self, server: &ServerId) -> Option<&EntryAt> {
        let name = self.servers.get(server)?;
        self.owners.get(name).map(|owner| &owner.entry)
    }

    /// An owner that is expected to be done about as early as the first one with some pieces. `near`: bytes
    /// that each piece exchanges with a zone. `own`: fullness of this entry's own batcher. `draw`: a random
    /// number. If all entries chose the one owner that last told the least, it would soon be the fullest.
    pub fn choose(
        &self,
        now: Time,
        group: Group,
        near: &[(AvailabilityZone, u64)],
        own: &Fullness,
        draw: u64,
    ) -> Option<&EntryAt> {
        let delay = |owner: &Owner| {
            let far = |zone: &AvailabilityZone| !owner.zones.contains_key(zone);
            let bytes: u64 = near.iter().filter(|(z, _)| far(z)).map(|(_, b)| b).sum();
            let cross = CROSS_DELAY.scale(bytes as f64 * group.pieces as f64 / 1e6);
            let zone = if owner.entry.zone == self.own.zone { Span::ZERO } else { ZONE_DELAY };
            self.delay(now, owner, group, own) + cross + zone
        };
        let delays: Vec<_> = self.owners.values().map(|owner| (delay(owner), owner)).collect();
        let least = delays.iter().map(|(delay, _)| *delay).min()?;
        let limit = least + self.spec.call.scale(ALIKE_PART);
        let alike: Vec<_> = delays.iter().filter(|(delay, _)| *delay <= limit).collect();
        let drawn = usize::try_from(draw % alike.len() as u64).unwrap_or(0);
        alike.get(drawn).map(|(_, owner)| &owner.entry)
    }

    /// Predicted time until pieces that come now are done, at a server of the usual owner.
    pub fn predict(&self, now: Time, group: Group, own: &Fullness) -> Option<Span> {
        let servers: usize = self.owners.values().map(|owner| owner.servers).sum();
        let delays = self.owners.values().map(|owner| {
            self.delay(now, owner, group, own).scale(owner.servers as f64 / servers.max(1) as f64)
        });
        (servers > 0).then(|| delays.fold(Span::ZERO, |sum, delay| sum + delay))
    }

    /// Pieces were handed to an owner.
    pub fn sent(&mut self, name: &str, group: Group) {
        if let Some(owner) = self.owners.get_mut(name) {
            *owner.open.entry(group.lane).or_default() += group.pieces;
        }
    }

    /// An owner answered, and told its fullness, or did not answer.
    pub fn ended(&mut self, now: Time, name: &str, group: Group, told: Option<Fullness>) {
        let Some(owner) = self.owners.get_mut(name) else { return };
        let open = owner.open.entry(group.lane).or_default();
        *open = open.saturating_sub(group.pieces);
        if let Some(told) = told {
            self.mean = self.mean.merge(&told, |mean, told| mean + (told - mean) * MEAN_WEIGHT);
            self.mean_at = now;
            owner.told = told;
            owner.told_at = now;
        }
    }

    /// A round of calls lasts its call time and a part for the pieces; what comes now waits for half of
    /// the round that is on its way and for all pieces ahead of it.
    fn delay(&self, now: Time, owner: &Owner, group: Group, own: &Fullness) -> Span {
        let round = (owner.servers * self.spec.batch).max(1) as f64;
        let ahead = if owner.entry.name == self.own.name {
            own.at(group.lane)
        } else {
            // What an owner told long ago says less than what the others told since.
            let keep = decay(now, owner.told_at, TOLD_MEMORY);
            let mean = self.mean.at(group.lane) * decay(now, self.mean_at, MEAN_MEMORY);
            let open: usize = owner.open.range(..=group.lane).map(|(_, open)| open).sum();
            let told = owner.told.at(group.lane);
            (told * keep + mean * (1.0 - keep)).max(open as f64 / round)
        };
        let pieces = group.pieces as f64;
        let rounds = 1.0 + (ahead + pieces / round - SAME_CALL).max(0.0);
        let fill = (ahead * self.spec.batch as f64 + pieces).min(self.spec.batch as f64);
        (self.spec.call + self.spec.item.scale(fill)).scale(rounds)
    }
}
