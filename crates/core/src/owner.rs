//! Assigns each server of a stage pool to one entry, its owner, and chooses the owner that gets the
//! pieces of a request.
//!
//! Every entry computes the same owners from the same lists. An entry sends pieces to the owner that is
//! expected to finish first, given the backlog that owners report with their answers and the pieces
//! that this entry has pending there.

use crate::batch::{Fullness, Lane, QueuePlace, RANK_COUNT};
use crate::catalog::PieceSpec;
use crate::fleet::Replica;
use crate::ids::{AvailabilityZone, PoolId, ServerId};
use crate::time::{Span, Time, decay};
use crate::value;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Delay added per megabyte that crosses availability zones between stages.
const CROSS_ZONE_PENALTY: Span = Span::from_millis(120);
/// Delay added for an owner in another zone.
const REMOTE_OWNER_PENALTY: Span = Span::from_millis(4);
/// Backlog, as a fraction of one call, that is sent in the same call as a new piece.
const SAME_CALL_FRACTION: f64 = 0.25;
/// Owners whose expected delays differ by at most this fraction of a call are considered equal, since
/// their reports are not more recent than that.
const TIE_FRACTION: f64 = 0.25;
/// Time constant of the weight of an owner's last report; after it, about a third is left.
const REPORT_DECAY: Span = Span::from_millis(600);
/// Weight of the latest report in the moving average of the backlog of a pool.
const MEAN_WEIGHT: f64 = 0.15;
/// Weight of the latest measurement in the moving average of actual to expected time.
const RATIO_WEIGHT: f64 = 0.05;
/// Lower and upper bound of a single measurement of actual to expected time.
const RATIO_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Time constant with which the mean backlog decays to zero while no owner reports.
const MEAN_DECAY: Span = Span::from_secs(2);

value! {
    /// An entry that can own servers.
    #[derive(PartialOrd, Ord)]
    pub struct EntryInfo {
        /// Unique among entries.
        pub name: String,
        /// Availability zone in which it runs.
        pub zone: AvailabilityZone,
        /// Address at which other entries reach it.
        pub address: String,
        /// CPU share in thousandths of a core; 0 if unknown.
        #[serde(default)]
        pub power: u32,
    }
}

/// Lower bound of the CPU share used in the assignment, in thousandths of a core.
const MIN_POWER: u32 = 10;
/// Number of servers that share an owner: the minimum in a zone that gets owners of its own, and the
/// upper bound of the mean cluster size. With larger clusters a new piece finds an idle server sooner, but a
/// larger part of the pool has no owner when an entry fails.
const CLUSTER_SIZE: (usize, usize) = (4, 8);

/// Computes the owner of each server. The servers of a zone have few owners, which are entries of that
/// zone if there are any; zones with few servers share owners. The result does not depend on the order
/// of the lists.
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

/// Computes the entry that grants the requests of all entries to a server with a limit. `silent` entries
/// did not answer lately.
pub fn grantor<'a>(
    server: &ServerId,
    entries: &'a [EntryInfo],
    silent: impl Fn(&str) -> bool,
) -> Option<&'a EntryInfo> {
    let trusted = entries.iter().filter(|entry| !silent(&entry.name));
    trusted.max_by_key(|entry| (hash_score(&[server.as_str(), &entry.name]), &entry.name))
}

/// Returns the entry that grants the requests of all entries to a cold server, and its deputy: one of another
/// zone if there is any, so that they are not lost together.
pub fn cold_grantors<'a>(
    server: &ServerId,
    entries: &'a [EntryInfo],
) -> (Option<&'a EntryInfo>, Option<&'a EntryInfo>) {
    let Some(first) = grantor(server, entries, |_| false) else { return (None, None) };
    let others = entries.iter().filter(|entry| entry.name != first.name);
    let deputy = others.max_by_key(|entry| {
        let score = hash_score(&[server.as_str(), &entry.name]);
        (entry.zone != first.zone, score, &entry.name)
    });
    (Some(first), deputy)
}

/// Partitions the servers into named clusters, each of which gets one owner. Rendezvous hashing keeps
/// the number of servers that change clusters small when a server is added or removed.
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

/// Score for weighted rendezvous hashing: an entry wins with a probability proportional to its power.
fn weighted_score(parts: &[&str], power: u32) -> f64 {
    let drawn = (hash_score(parts) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    drawn.ln() / f64::from(power.max(MIN_POWER))
}

/// Score for rendezvous hashing; the same on every entry.
fn hash_score(parts: &[&str]) -> u64 {
    xxh3_64(parts.join("/").as_bytes())
}

/// Pieces of one stage of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceGroup {
    /// Number of pieces.
    pub pieces: usize,
    /// Place of the pieces in the queue order.
    pub place: QueuePlace,
}

/// Pieces that this entry sent to an owner and that are not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingGroup {
    pieces: usize,
    lane: Lane,
    /// Time by which its pieces are sorted.
    order: Time,
}

impl PendingGroup {
    fn new(now: Time, group: PieceGroup) -> Self {
        let PieceGroup { pieces, place } = group;
        Self { pieces, lane: place.lane, order: now + place.order() }
    }

    /// Whether its pieces are sorted before those of a new group.
    fn is_ahead_of(&self, new: &Self) -> bool {
        match (self.lane, new.lane) {
            (_, Lane::Late) => true,
            (Lane::Late, Lane::Timely(_)) => false,
            (Lane::Timely(_), Lane::Timely(_)) => self.order <= new.order,
        }
    }
}

#[derive(Clone, Debug)]
struct Owner {
    entry: EntryInfo,
    /// Number of its servers in each zone.
    zones: BTreeMap<AvailabilityZone, usize>,
    servers: usize,
    /// What this entry sent and the owner has not answered.
    pending: Vec<PendingGroup>,
    /// Backlog that it last reported.
    reported: Fullness,
    reported_at: Time,
}

/// The owners of one pool, as seen by one entry.
#[derive(Clone, Debug)]
pub struct Owners {
    local: EntryInfo,
    spec: PieceSpec,
    owners: BTreeMap<String, Owner>,
    /// Moving average of the reported backlogs.
    mean: Fullness,
    /// When the last backlog was reported.
    mean_at: Time,
    /// Name of each server's owner.
    server_owners: BTreeMap<ServerId, String>,
    /// Moving average of the ratio of actual to expected time, by rank.
    time_ratios: [f64; RANK_COUNT],
}

impl Owners {
    /// Creates an empty assignment.
    pub fn new(local: EntryInfo, spec: PieceSpec) -> Self {
        Self {
            local,
            spec,
            owners: BTreeMap::new(),
            mean: Fullness::default(),
            mean_at: Time::default(),
            server_owners: BTreeMap::new(),
            time_ratios: [1.0; RANK_COUNT],
        }
    }

    /// Replaces the limits of the pool.
    pub fn set_spec(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Recomputes the owners from the lists of entries and servers and returns the servers that this entry
    /// owns. Suspects own nothing.
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
                    pending: Vec::new(),
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

    /// Returns the owner of a server.
    pub fn owner_of(&self, server: &ServerId) -> Option<&EntryInfo> {
        let name = self.server_owners.get(server)?;
        self.owners.get(name).map(|owner| &owner.entry)
    }

    /// Chooses at random among the owners whose expected delay is close to the shortest one. If all
    /// entries chose the owner that last reported the smallest backlog, that owner would soon be
    /// overloaded. `zone_bytes` lists the bytes that each piece exchanges with a zone, `local` is the
    /// backlog of this entry's own batcher, and `draw` is a random number.
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
        let limit = least + self.spec.call_time.scale(TIE_FRACTION);
        let tied: Vec<_> = delays.iter().filter(|(delay, _)| *delay <= limit).collect();
        let drawn = usize::try_from(draw % tied.len() as u64).unwrap_or(0);
        tied.get(drawn).map(|(_, owner)| &owner.entry)
    }

    /// Predicts the time until pieces sent now are done: the mean over all owners, weighted by their number
    /// of servers.
    pub fn predict_time(&self, now: Time, group: PieceGroup, local: &Fullness) -> Option<Span> {
        let servers: usize = self.owners.values().map(|owner| owner.servers).sum();
        let delays = self.owners.values().map(|owner| {
            self.expected_delay(now, owner, group, local)
                .scale(owner.servers as f64 / servers.max(1) as f64)
        });
        let mean = delays.fold(Span::ZERO, |sum, delay| sum + delay);
        let ratio = match group.place.lane {
            Lane::Timely(_) => self.time_ratios[group.place.lane.level()],
            // Late pieces aren't measured. They wait behind those of all ranks.
            Lane::Late => self.time_ratios.into_iter().fold(RATIO_BOUNDS.0, f64::max),
        };
        (servers > 0).then(|| mean.scale(ratio))
    }

    /// Records that pieces were sent to an owner. Returns the expected time until they are done, to be
    /// passed to `record_time`.
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
            owner.pending.push(PendingGroup::new(now, group));
        }
        expected
    }

    /// Records how long pieces took and how long they were expected to take.
    pub fn record_time(&mut self, lane: Lane, took: Span, expected: Span) {
        let ratio =
            (took.0 as f64 / expected.0.max(1) as f64).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let known = &mut self.time_ratios[lane.level()];
        *known += (ratio - *known) * RATIO_WEIGHT;
    }

    /// Records that an owner answered and reported its backlog, or that it did not answer (`None`).
    pub fn pieces_ended(
        &mut self,
        now: Time,
        name: &str,
        group: PieceGroup,
        reported: Option<Fullness>,
    ) {
        let Some(owner) = self.owners.get_mut(name) else { return };
        let ended = PendingGroup::new(now, group);
        let same =
            |(_, p): &(usize, &PendingGroup)| p.pieces == ended.pieces && p.lane == ended.lane;
        let alike = owner.pending.iter().enumerate().filter(same);
        let nearest =
            alike.min_by_key(|(_, p)| p.order.since(ended.order) + ended.order.since(p.order));
        if let Some((i, _)) = nearest {
            owner.pending.remove(i);
        }
        if let Some(reported) = reported {
            self.mean =
                self.mean.zip_with(&reported, |mean, new| mean + (new - mean) * MEAN_WEIGHT);
            self.mean_at = now;
            owner.reported = reported;
            owner.reported_at = now;
        }
    }

    /// Expected time until new pieces are done: they wait for the next idle server and for all pieces
    /// ahead of them. A call takes a fixed time plus a time per piece.
    fn expected_delay(
        &self,
        now: Time,
        owner: &Owner,
        group: PieceGroup,
        local: &Fullness,
    ) -> Span {
        let round_size = (owner.servers * self.spec.batch).max(1) as f64;
        let ahead = if owner.entry.name == self.local.name {
            local.ahead_of(group.place)
        } else {
            // An old report predicts less than the more recent reports of the other owners.
            let keep = decay(now, owner.reported_at, REPORT_DECAY);
            let mean = self.mean.ahead_of(group.place) * decay(now, self.mean_at, MEAN_DECAY);
            let new = PendingGroup::new(now, group);
            let pending = owner.pending.iter().filter(|sent| sent.is_ahead_of(&new));
            let pending: usize = pending.map(|sent| sent.pieces).sum();
            let reported = owner.reported.ahead_of(group.place);
            (reported * keep + mean * (1.0 - keep)).max(pending as f64 / round_size)
        };
        let pieces = group.pieces as f64;
        let same = SAME_CALL_FRACTION / owner.servers.max(1) as f64;
        let rounds = 1.0 + (ahead + pieces / round_size - same).max(0.0);
        let fill = (ahead * round_size + pieces).min(self.spec.batch as f64);
        (self.spec.call_time + self.spec.piece_time.scale(fill)).scale(rounds)
    }
}
