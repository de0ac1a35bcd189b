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
const CROSS_ZONE_PENALTY: Span = Span::from_millis(120);
/// Delay by which an owner in another zone counts.
const REMOTE_OWNER_PENALTY: Span = Span::from_millis(4);
/// Waiting pieces, as a part of a call, that leave in the same call as one that comes now.
const SAME_CALL_FRACTION: f64 = 0.25;
/// Owners whose delays differ by less than this part of a call are alike: what they told is that old.
const TIE_FRACTION: f64 = 0.25;
/// Time after which what an owner told counts for about a third.
const REPORT_DECAY: Span = Span::from_millis(600);
/// Weight of a new answer in the mean fullness of a pool.
const MEAN_WEIGHT: f64 = 0.15;
/// Weight of new pieces in the ratio of the time that pieces took to the expected one, and its bounds.
const RATIO_WEIGHT: f64 = 0.05;
const RATIO_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Time without answers after which the mean counts for about a third.
const MEAN_DECAY: Span = Span::from_secs(2);

value! {
    /// Another entry, or this one.
    #[derive(PartialOrd, Ord)]
    pub struct EntryInfo {
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
const MIN_POWER: u32 = 10;
/// Servers that have one owner: the more of them, the sooner one is free for a piece that comes, and the more
/// of the pool is without an owner when one entry is lost.
const CLUSTER_SIZE: (usize, usize) = (4, 8);

/// The owner of each server. Servers of a zone have few owners, each an entry of that zone if there is one;
/// zones with few servers share one. Depends on the lists alone, not on their order.
pub fn assign_owners(
    pool: &PoolId,
    entries: &[EntryInfo],
    servers: &[Replica],
) -> BTreeMap<ServerId, String> {
    let mut owners = BTreeMap::new();
    for (key, cluster) in clusters(servers) {
        let zone = &cluster[0].zone;
        let same_zone = cluster.iter().all(|server| server.zone == *zone);
        let is_local = |entry: &&EntryInfo| same_zone && entry.zone == *zone;
        let by_score = |a: &&EntryInfo, b: &&EntryInfo| {
            let score = |entry: &EntryInfo| {
                weighted_score(&[pool.as_str(), &key, &entry.name], entry.power)
            };
            score(a).total_cmp(&score(b)).then_with(|| a.name.cmp(&b.name))
        };
        let local = entries.iter().filter(is_local).max_by(by_score);
        let best = local.or_else(|| entries.iter().max_by(by_score));
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
        zones.into_iter().partition(|(_, servers)| servers.len() >= CLUSTER_SIZE.0);
    let mut out = BTreeMap::<String, Vec<&Replica>>::new();
    let scattered = small.into_iter().flat_map(|(_, servers)| servers).collect::<Vec<_>>();
    let groups = large.into_iter().map(|(zone, servers)| (zone.as_str(), servers));
    for (name, servers) in groups.chain(std::iter::once(("", scattered))) {
        let count = servers.len().div_ceil(CLUSTER_SIZE.1);
        for server in servers {
            let part = (0..count).max_by_key(|n| hash_score(&[server.id.as_str(), &n.to_string()]));
            out.entry(format!("{name}/{}", part.unwrap_or(0))).or_default().push(server);
        }
    }
    let mut out: Vec<_> = out.into_iter().collect();
    out.iter_mut().for_each(|(_, servers)| servers.sort_by(|a, b| a.id.cmp(&b.id)));
    out
}

/// Rank of an entry in a choice in which the chance to be chosen grows with its power.
fn weighted_score(parts: &[&str], power: u32) -> f64 {
    let drawn = (hash_score(parts) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    drawn.ln() / f64::from(power.max(MIN_POWER))
}

/// Rank in a choice that each member of a set makes the same way.
fn hash_score(parts: &[&str]) -> u64 {
    xxh3_64(parts.join("/").as_bytes())
}

/// Pieces of one stage of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceGroup {
    /// How many.
    pub pieces: usize,
    /// Which pieces go ahead of them.
    pub lane: Lane,
}

#[derive(Clone, Debug)]
struct Owner {
    entry: EntryInfo,
    /// Servers by zone.
    zones: BTreeMap<AvailabilityZone, usize>,
    servers: usize,
    /// Pieces from here that it has not answered, by lane.
    pending: BTreeMap<Lane, usize>,
    /// Its fullness when it last answered.
    reported: Fullness,
    reported_at: Time,
}

/// The owners of one pool, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Owners {
    local: EntryInfo,
    spec: PieceSpec,
    owners: BTreeMap<String, Owner>,
    /// Mean fullness of the pool, as the owners told lately, and when the last of them did.
    mean: Fullness,
    mean_at: Time,
    /// Name of each server's owner.
    server_owners: BTreeMap<ServerId, String>,
    /// Time that pieces took lately, as a multiple of the expected one.
    time_ratio: f64,
}

impl Owners {
    /// Nobody owns anything yet.
    pub fn new(local: EntryInfo, spec: PieceSpec) -> Self {
        Self {
            local,
            spec,
            owners: BTreeMap::new(),
            mean: Fullness::default(),
            mean_at: Time::default(),
            server_owners: BTreeMap::new(),
            time_ratio: 1.0,
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
        entries: &[EntryInfo],
        suspects: &BTreeMap<String, Time>,
        servers: &[Replica],
    ) -> Vec<Replica> {
        let trusted = entries.iter().filter(|entry| !suspects.contains_key(&entry.name));
        let mut entries: Vec<_> = trusted.cloned().collect();
        if entries.is_empty() {
            entries.push(self.local.clone());
        }
        let owners = assign_owners(pool, &entries, servers);
        let mut known = std::mem::take(&mut self.owners);
        for server in servers {
            let Some(name) = owners.get(&server.id) else { continue };
            let listed = entries.iter().find(|entry| entry.name == *name);
            let entry = listed.unwrap_or(&self.local);
            let owner = self.owners.entry(name.clone()).or_insert_with(|| {
                let new_owner = || Owner {
                    entry: entry.clone(),
                    zones: BTreeMap::new(),
                    servers: 0,
                    pending: BTreeMap::new(),
                    reported: Fullness::default(),
                    reported_at: Time::default(),
                };
                let old = known.remove(name).unwrap_or_else(new_owner);
                Owner { entry: entry.clone(), zones: BTreeMap::new(), servers: 0, ..old }
            });
            owner.servers += 1;
            *owner.zones.entry(server.zone.clone()).or_default() += 1;
        }
        self.server_owners = owners;
        let mine = |server: &&Replica| self.server_owners.get(&server.id) == Some(&self.local.name);
        servers.iter().filter(mine).cloned().collect()
    }

    /// The owner of a server.
    pub fn owner_of(&self, server: &ServerId) -> Option<&EntryInfo> {
        let name = self.server_owners.get(server)?;
        self.owners.get(name).map(|owner| &owner.entry)
    }

    /// An owner that is expected to be done about as early as the first one with some pieces. `near`: bytes
    /// that each piece exchanges with a zone. `own`: fullness of this entry's own batcher. `draw`: a random
    /// number. If all entries chose the one owner that last told the least, it would soon be the fullest.
    pub fn choose(
        &self,
        now: Time,
        group: PieceGroup,
        zone_bytes: &[(AvailabilityZone, u64)],
        local: &Fullness,
        draw: u64,
    ) -> Option<&EntryInfo> {
        let delay = |owner: &Owner| {
            let far = |zone: &AvailabilityZone| !owner.zones.contains_key(zone);
            let bytes: u64 = zone_bytes.iter().filter(|(z, _)| far(z)).map(|(_, b)| b).sum();
            let cross = CROSS_ZONE_PENALTY.scale(bytes as f64 * group.pieces as f64 / 1e6);
            let zone =
                if owner.entry.zone == self.local.zone { Span::ZERO } else { REMOTE_OWNER_PENALTY };
            self.expected_delay(now, owner, group, local) + cross + zone
        };
        let delays: Vec<_> = self.owners.values().map(|owner| (delay(owner), owner)).collect();
        let least = delays.iter().map(|(delay, _)| *delay).min()?;
        let limit = least + self.spec.call.scale(TIE_FRACTION);
        let tied: Vec<_> = delays.iter().filter(|(delay, _)| *delay <= limit).collect();
        let drawn = usize::try_from(draw % tied.len() as u64).unwrap_or(0);
        tied.get(drawn).map(|(_, owner)| &owner.entry)
    }

    /// Predicted time until pieces that come now are done, at a server of the usual owner.
    pub fn predict_time(&self, now: Time, group: PieceGroup, local: &Fullness) -> Option<Span> {
        let servers: usize = self.owners.values().map(|owner| owner.servers).sum();
        let delays = self.owners.values().map(|owner| {
            self.expected_delay(now, owner, group, local)
                .scale(owner.servers as f64 / servers.max(1) as f64)
        });
        let mean = delays.fold(Span::ZERO, |sum, delay| sum + delay);
        (servers > 0).then(|| mean.scale(self.time_ratio))
    }

    /// Pieces were handed to an owner. Tells the time in which they are expected to be done, which `record_time`
    /// takes.
    pub fn pieces_sent(
        &mut self,
        now: Time,
        name: &str,
        group: PieceGroup,
        local: &Fullness,
    ) -> Span {
        let Some(owner) = self.owners.get(name) else { return Span::ZERO };
        let expected = self.expected_delay(now, owner, group, local);
        if let Some(owner) = self.owners.get_mut(name) {
            *owner.pending.entry(group.lane).or_default() += group.pieces;
        }
        expected
    }

    /// Pieces were done in some time that were expected to be done in another.
    pub fn record_time(&mut self, took: Span, expected: Span) {
        let ratio =
            (took.0 as f64 / expected.0.max(1) as f64).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.time_ratio += (ratio - self.time_ratio) * RATIO_WEIGHT;
    }

    /// An owner answered, and told its fullness, or did not answer.
    pub fn pieces_ended(
        &mut self,
        now: Time,
        name: &str,
        group: PieceGroup,
        reported: Option<Fullness>,
    ) {
        let Some(owner) = self.owners.get_mut(name) else { return };
        let pending = owner.pending.entry(group.lane).or_default();
        *pending = pending.saturating_sub(group.pieces);
        if let Some(reported) = reported {
            self.mean =
                self.mean.zip_with(&reported, |mean, new| mean + (new - mean) * MEAN_WEIGHT);
            self.mean_at = now;
            owner.reported = reported;
            owner.reported_at = now;
        }
    }

    /// A call lasts its fixed time and a part for the pieces; what comes now waits until the next server is
    /// free and for all pieces ahead of it.
    fn expected_delay(
        &self,
        now: Time,
        owner: &Owner,
        group: PieceGroup,
        local: &Fullness,
    ) -> Span {
        let round_size = (owner.servers * self.spec.batch).max(1) as f64;
        let ahead = if owner.entry.name == self.local.name {
            local.for_lane(group.lane)
        } else {
            // What an owner told long ago says less than what the others told since.
            let keep = decay(now, owner.reported_at, REPORT_DECAY);
            let mean = self.mean.for_lane(group.lane) * decay(now, self.mean_at, MEAN_DECAY);
            let pending: usize = owner.pending.range(..=group.lane).map(|(_, count)| count).sum();
            let reported = owner.reported.for_lane(group.lane);
            (reported * keep + mean * (1.0 - keep)).max(pending as f64 / round_size)
        };
        let pieces = group.pieces as f64;
        let same = SAME_CALL_FRACTION / owner.servers.max(1) as f64;
        let rounds = 1.0 + (ahead + pieces / round_size - same).max(0.0);
        let fill = (ahead * round_size + pieces).min(self.spec.batch as f64);
        (self.spec.call + self.spec.item.scale(fill)).scale(rounds)
    }
}
