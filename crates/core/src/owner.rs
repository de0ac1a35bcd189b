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
/// Waiting pieces, as a part of a call, that leave in the same call as one that comes now.
const SAME_CALL: f64 = 0.25;
/// Owners whose delays differ by less than this part of a call are alike: what they told is that old.
const ALIKE_PART: f64 = 0.25;
/// Time after which what an owner told counts for about a third.
const TOLD_MEMORY: Span = Span::from_millis(600);
/// Weight of a new answer in the mean fullness of a pool.
const MEAN_WEIGHT: f64 = 0.15;
/// Weight of new pieces in the ratio of the time that pieces took to the expected one, and its bounds.
const RATIO_WEIGHT: f64 = 0.05;
const RATIOS: (f64, f64) = (0.5, 4.0);
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
        /// Share of a core that it has, in thousandths; 0 if it is not known.
        #[serde(default)]
        pub power: u32,
    }
}

/// Thousandths of a core that an entry is taken to have at least.
const POWER_MIN: u32 = 10;
/// Servers that have one owner: the more of them, the sooner one is free for a piece that comes, and the more
/// of the pool is without an owner when one entry is lost.
const CLUSTER: (usize, usize) = (4, 8);

/// The owner of each server. Servers of a zone have few owners, each an entry of that zone if there is one;
/// zones with few servers share one. Depends on the lists alone, not on their order.
pub fn assign_owners(
    pool: &PoolId,
    entries: &[EntryAt],
    servers: &[Replica],
) -> BTreeMap<ServerId, String> {
    let mut owners = BTreeMap::new();
    for (key, cluster) in clusters(servers) {
        let zone = &cluster[0].zone;
        let home = cluster.iter().all(|server| server.zone == *zone);
        let near = |entry: &&EntryAt| home && entry.zone == *zone;
        let ranked = |a: &&EntryAt, b: &&EntryAt| {
            let share = |entry: &EntryAt| share(&[pool.as_str(), &key, &entry.name], entry.power);
            share(a).total_cmp(&share(b)).then_with(|| a.name.cmp(&b.name))
        };
        let local = entries.iter().filter(near).max_by(ranked);
        let best = local.or_else(|| entries.iter().max_by(ranked));
        if let Some(entry) = best {
            owners.extend(cluster.iter().map(|server| (server.id.clone(), entry.name.clone())));
        }
    }
    owners
}

/// Servers that share an owner, with a name for each set. A server that comes or goes moves few others.
fn clusters(servers: &[Replica]) -> Vec<(String, Vec<&Replica>)> {
    let mut zones = BTreeMap::<&AvailabilityZone, Vec<&Replica>>::new();
    for server in servers {
        zones.entry(&server.zone).or_default().push(server);
    }
    let (large, small): (Vec<_>, Vec<_>) =
        zones.into_iter().partition(|(_, servers)| servers.len() >= CLUSTER.0);
    let mut out = BTreeMap::<String, Vec<&Replica>>::new();
    let scattered = small.into_iter().flat_map(|(_, servers)| servers).collect::<Vec<_>>();
    let groups = large.into_iter().map(|(zone, servers)| (zone.as_str(), servers));
    for (name, servers) in groups.chain(std::iter::once(("", scattered))) {
        let count = servers.len().div_ceil(CLUSTER.1);
        for server in servers {
            let part = (0..count).max_by_key(|n| highest(&[server.id.as_str(), &n.to_string()]));
            out.entry(format!("{name}/{}", part.unwrap_or(0))).or_default().push(server);
        }
    }
    let mut out: Vec<_> = out.into_iter().collect();
    out.iter_mut().for_each(|(_, servers)| servers.sort_by(|a, b| a.id.cmp(&b.id)));
    out
}

/// Rank of an entry in a choice in which the chance to be chosen grows with its power.
fn share(parts: &[&str], power: u32) -> f64 {
    let drawn = (highest(parts) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    drawn.ln() / f64::from(power.max(POWER_MIN))
}

/// Rank in a choice that each member of a set makes the same way.
fn highest(parts: &[&str]) -> u64 {
    xxh3_64(parts.join("/").as_bytes())
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
    /// Time that pieces took lately, as a multiple of the expected one.
    ratio: f64,
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
            ratio: 1.0,
        }
    }

    /// Takes new limits.
    pub fn set_spec(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Takes the lists of entries and servers, and tells which servers this entry owns. Suspects own nothing.
    pub fn assign(
        &mut self,
        pool: &PoolId,
        entries: &[EntryAt],
        suspects: &BTreeMap<String, Time>,
        servers: &[Replica],
    ) -> Vec<Replica> {
        let trusted = entries.iter().filter(|entry| !suspects.contains_key(&entry.name));
        let mut entries: Vec<_> = trusted.cloned().collect();
        if entries.is_empty() {
            entries.push(self.own.clone());
        }
        let owners = assign_owners(pool, &entries, servers);
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
        let limit = least + self.spec.call_time.scale(ALIKE_PART);
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
        let mean = delays.fold(Span::ZERO, |sum, delay| sum + delay);
        (servers > 0).then(|| mean.scale(self.ratio))
    }

    /// Pieces were handed to an owner. Tells the time in which they are expected to be done, which `done`
    /// takes.
    pub fn sent(&mut self, now: Time, name: &str, group: Group, own: &Fullness) -> Span {
        let Some(owner) = self.owners.get(name) else { return Span::ZERO };
        let expected = self.delay(now, owner, group, own);
        if let Some(owner) = self.owners.get_mut(name) {
            *owner.open.entry(group.lane).or_default() += group.pieces;
        }
        expected
    }

    /// Pieces were done in some time that were expected to be done in another.
    pub fn done(&mut self, took: Span, expected: Span) {
        let ratio = (took.0 as f64 / expected.0.max(1) as f64).clamp(RATIOS.0, RATIOS.1);
        self.ratio += (ratio - self.ratio) * RATIO_WEIGHT;
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

    /// A call lasts its fixed time and a part for the pieces; what comes now waits until the next server is
    /// free and for all pieces ahead of it.
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
        let same = SAME_CALL / owner.servers.max(1) as f64;
        let rounds = 1.0 + (ahead + pieces / round - same).max(0.0);
        let fill = (ahead * round + pieces).min(self.spec.batch as f64);
        (self.spec.call_time + self.spec.piece_time.scale(fill)).scale(rounds)
    }
}
