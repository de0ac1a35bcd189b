//! Gathers pieces of many requests into calls to the servers of one stage pool.
//!
//! Answers loads in which a call takes a fixed time whatever it carries and a server works on one call
//! at a time: pieces wait while the server works, and leave together when it is free. Each server has
//! one entry that calls it, its owner, so that no call waits at a server while it could gather more
//! pieces. The pieces of one request are kept together: a request that is split over two calls waits for
//! the second, and its results take room meanwhile.

use crate::catalog::PieceSpec;
use crate::fleet::Replica;
use crate::ids::{AvailabilityZone, ServerId};
use crate::room::{ResultKey, Room};
use crate::time::{Span, Time, decay};
use crate::value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a first piece waits for others, since requests arrive in clumps.
const GATHER: Span = Span::from_millis(6);
/// Time after a refusal as full in which a server is left alone.
const CROWD_MEMORY: Span = Span::from_millis(100);
/// Time after a call without room for all results in which a server is left alone. Others may have results
/// there that this entry does not know of.
const ROOM_PAUSE: Span = Span::from_millis(150);
/// Time for which a server without room for half a call waits for results to be given back. A small call
/// takes nearly as long as a full one, and the room is needed as long.
const ROOM_WAIT: Span = Span::from_millis(150);
/// Time for which as many bytes as found no room are taken to lie there unknown.
const ROOM_MEMORY: Span = Span::from_millis(600);
/// Part of the room of a server that is new here which may be taken by results made for its owner before,
/// and for how long: most results are given back within a second.
const TAKEN_OVER: (f64, Span) = (0.5, Span::from_millis(800));
/// A call that takes this many times the expected time, and a while longer, is taken as lost.
const LATE_FACTOR: f64 = 2.2;
/// Added to that.
const LATE_MORE: Span = Span::from_millis(250);
/// First and longest pause after a call that failed.
const PAUSES: (Span, Span) = (Span::from_millis(300), Span::from_secs(3));
/// Weight of a new call in the pace of a server.
const PACE_WEIGHT: f64 = 0.3;
/// Time after which the pace of a server counts for about a third.
const PACE_MEMORY: Span = Span::from_secs(4);
/// Pace from which on a server is left for a faster one that is free soon.
const SLOW_PACE: f64 = 2.5;
/// Part of a server's room for results that is planned with.
const ROOM_PART: f64 = 0.95;
/// Calls in which a piece is due at the latest that does not wait for a server of its zone.
const ZONE_PATIENCE: f64 = 1.1;
/// Calls that the waiting pieces fill from which on no server is left idle for the sake of zones.
const CROWDED: usize = 2;
/// One place in this many of a batch is kept for late pieces.
const LATE_PART: usize = 6;
/// Weight of a new call in the usual size of calls.
const USUAL_WEIGHT: f64 = 0.2;
/// Growth of the believed size of results after one found no room, the most of it, and the step back
/// after each call for which there was room. Results that others left there are counted apart.
const SWELL: (f64, f64, f64) = (1.03, 1.3, 0.99);

/// Time by which a piece of the next less urgent rank may be due earlier and still goes behind.
const RANK_STEP: Span = Span::from_secs(1);
/// Ranks that are told apart; all less urgent ones count as the last.
const RANKS: usize = 3;

/// How full an owner's servers are, as a part of what one round of calls takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fullness {
    /// For each rank: pieces of less urgent ranks and late pieces go behind and are not counted.
    ranks: [f64; RANKS],
    /// For late pieces.
    late: f64,
}

value! {
    /// Which pieces of those that wait go ahead of some.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum Lane {
        /// Can be done when they are due; of a rank, where 0 is the most urgent.
        Timely(u8),
        /// Are late anyway, and get a small part of each call while others wait.
        Late,
    }
}

impl Fullness {
    /// The same for all.
    pub fn even(full: f64) -> Self {
        Self { ranks: [full; RANKS], late: full }
    }

    /// For the pieces of one lane.
    pub fn at(&self, lane: Lane) -> f64 {
        match lane {
            Lane::Timely(_) => self.ranks[lane.level()],
            Lane::Late => self.late,
        }
    }

    /// Made of two, number by number.
    pub(crate) fn merge(&self, other: &Self, merge: impl Fn(f64, f64) -> f64) -> Self {
        let ranks = std::array::from_fn(|i| merge(self.ranks[i], other.ranks[i]));
        Self { ranks, late: merge(self.late, other.late) }
    }
}

impl Lane {
    /// Position of its rank among those that are told apart; what is late counts as the last.
    fn level(self) -> usize {
        match self {
            Self::Timely(rank) => usize::from(rank).min(RANKS - 1),
            Self::Late => RANKS - 1,
        }
    }
}

/// Names a waiting piece; given by the caller of the batcher, unique in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceId(pub u64);

/// Names an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneKey(u64);

impl From<&AvailabilityZone> for ZoneKey {
    fn from(zone: &AvailabilityZone) -> Self {
        Self(xxh3_64(zone.as_str().as_bytes()))
    }
}

/// A piece that waits for a call.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// The piece.
    pub id: PieceId,
    /// Pieces with the same number belong together.
    pub group: u64,
    /// How urgent its request is, or that it is late anyway.
    pub lane: Lane,
    /// When its request would be refused, if nothing was worked on for it so far: refusing it is free.
    pub refusable: Option<Time>,
    /// When it must be done for an answer within the objective.
    pub due: Time,
    /// When its result is of no use any more.
    pub deadline: Time,
    /// Room that its result takes.
    pub bytes: u64,
    /// Its inputs take much of the room of their servers, so that it does not go behind when it is late.
    pub holding: bool,
    /// Zone in which it is best worked on, since large results lie or are needed there.
    pub toward: Option<ZoneKey>,
    /// When it began to wait.
    pub arrived: Time,
}

impl Waiting {
    /// Whether it goes behind because it can't be done when it is due. `soonest`: when a call that begins
    /// now could end.
    fn is_late(&self, soonest: Time) -> bool {
        !self.holding && self.due < soonest
    }
}

/// Pieces to send in one call.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Where to.
    pub server: Replica,
    /// At most as many as the pool's limit.
    pub pieces: Vec<Waiting>,
    /// When the call is taken as lost.
    pub late: Time,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was worked on; whether there was room for all results.
    Done {
        /// Bytes of results that found no room.
        unfit: u64,
    },
    /// Refused as full.
    Full,
    /// Refused or broken.
    Failed,
    /// Not answered in time.
    Late,
}

#[derive(Clone, Debug)]
struct Open {
    sent: Time,
    /// When it is expected to end.
    ends: Time,
    late: Time,
    /// Bytes that its results take, from its beginning.
    bytes: u64,
}

#[derive(Clone, Debug)]
struct Maker {
    replica: Replica,
    zone: ZoneKey,
    /// The call that it works on.
    open: Option<Open>,
    /// When its last call ended.
    idle: Time,
    paused: Time,
    pause: Span,
    pace: f64,
    paced: Time,
    /// Results that lie there, besides those of the open call.
    room: Room,
}

/// Waiting pieces and owned servers of one stage pool.
#[derive(Clone, Debug)]
pub struct Batcher {
    spec: PieceSpec,
    makers: BTreeMap<ServerId, Maker>,
    waiting: Vec<Waiting>,
    /// Size of results as a multiple of the stated one, since sizes are stated approximately.
    swell: f64,
    /// Pieces that a call takes while more wait; fewer than the limit if room is short.
    usual: f64,
}

impl Batcher {
    /// A pool without servers.
    pub fn new(spec: PieceSpec) -> Self {
        Self {
            spec,
            makers: BTreeMap::new(),
            waiting: Vec::new(),
            swell: 1.0,
            usual: spec.batch as f64,
        }
    }

    /// Takes new limits.
    pub fn set_spec(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Takes the servers that this entry owns. What is known of those that stay is kept.
    pub fn set_servers(&mut self, now: Time, servers: &[Replica]) {
        self.makers.retain(|id, maker| {
            servers.iter().any(|s| s.id == *id && s.started == maker.replica.started)
        });
        for replica in servers {
            let maker = || {
                let mut room = Room::default();
                let taken = (self.spec.result_bytes as f64 * TAKEN_OVER.0) as u64;
                room.suspect(now + TAKEN_OVER.1, taken);
                Maker {
                    open: None,
                    idle: Time::default(),
                    paused: Time::default(),
                    pause: PAUSES.0,
                    pace: 1.0,
                    paced: Time::default(),
                    room,
                    zone: ZoneKey::from(&replica.zone),
                    replica: replica.clone(),
                }
            };
            self.makers.entry(replica.id.clone()).or_insert_with(maker);
        }
    }

    /// Servers that are owned.
    pub fn servers(&self) -> usize {
        self.makers.len()
    }

    /// Pieces that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no piece waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: Waiting) {
        self.waiting.push(piece);
    }

    /// Takes a piece out that is not needed any more.
    pub fn cancel(&mut self, id: PieceId) {
        self.waiting.retain(|piece| piece.id != id);
    }

    /// Takes out all pieces that cannot be done before their deadline.
    pub fn expired(&mut self, now: Time) -> Vec<PieceId> {
        let least = self.least();
        let late = |piece: &Waiting| piece.deadline < now + least;
        let out = self.waiting.iter().filter(|p| late(p)).map(|p| p.id).collect();
        self.waiting.retain(|piece| !late(piece));
        out
    }

    /// Takes out the pieces that can be refused for free and would not be done in time behind those that go
    /// first. Under a load above what the servers can take, they would only make others late, or wait until
    /// their deadline for nothing.
    pub fn hopeless(&mut self, now: Time) -> Vec<PieceId> {
        let usable: Vec<_> = self.makers.values().filter(|maker| maker.paused <= now).collect();
        if usable.is_empty() || self.waiting.iter().all(|piece| piece.refusable.is_none()) {
            return Vec::new();
        }
        let count = usable.len() as f64;
        let rests = usable.iter().map(|maker| maker.rest_of_call(now));
        let rest = rests.min().unwrap_or(Span::ZERO);
        let pace = usable.iter().map(|maker| maker.paced_at(now)).sum::<f64>() / count;
        let call = self.work(self.usual as usize).scale(pace);
        let full = self.usual.max(1.0);
        self.sort(now);
        let soonest = now + self.least();
        // Late pieces are sorted behind all others.
        let (mut timely, mut late, mut out) = (0.0, 0.0, Vec::new());
        for group in self.waiting.chunk_by(|a, b| a.group == b.group) {
            let is_late = group[0].is_late(soonest);
            let ahead = if is_late { ahead_of_late(timely, late, full) } else { timely };
            let done = now + rest + call.scale(1.0 + (ahead / full).floor() / count);
            if group[0].refusable.is_some_and(|limit| done > limit) {
                out.extend(group.iter().map(|piece| piece.id));
            } else if is_late {
                late += group.len() as f64;
            } else {
                timely += group.len() as f64;
            }
        }
        let chosen: BTreeSet<PieceId> = out.iter().copied().collect();
        self.waiting.retain(|piece| !chosen.contains(&piece.id));
        out
    }

    /// Takes out everything, because no server is owned any more.
    pub fn drain(&mut self) -> Vec<PieceId> {
        self.waiting.drain(..).map(|piece| piece.id).collect()
    }

    /// The next call to make, if one should be made now.
    pub fn plan(&mut self, now: Time) -> Option<Batch> {
        let oldest = self.waiting.iter().map(|piece| piece.arrived).min()?;
        if self.waiting.len() < self.spec.batch && now.since(oldest) < GATHER {
            return None;
        }
        self.sort(now);
        self.free_servers(now).into_iter().find_map(|id| self.fill(now, &id))
    }

    /// When `plan` should be asked again although nothing ended or arrived.
    pub fn wake(&self, now: Time) -> Option<Time> {
        let oldest = self.waiting.iter().map(|piece| piece.arrived).min()?;
        let rested = self.makers.values().flat_map(|m| [m.paused, m.idle + ROOM_WAIT]);
        let late = self.makers.values().filter_map(|maker| maker.open.as_ref()).map(|o| o.late);
        let least = self.least();
        let expiry = self.waiting.iter().map(|piece| piece.deadline - least).min();
        let gathered = std::iter::once(oldest + GATHER);
        let pressing = self.waiting.iter().filter(|p| p.toward.is_some());
        let pressing = pressing.map(|piece| piece.due - self.patience()).min();
        let gathered = gathered.chain(pressing);
        rested.chain(late).chain(expiry).chain(gathered).filter(|at| *at > now).min()
    }

    /// A call ended. `pieces`: how many it carried.
    pub fn ended(&mut self, now: Time, id: &ServerId, pieces: usize, end: CallEnd) {
        let work = self.work(pieces);
        if let CallEnd::Done { unfit } = end {
            let factor = if unfit == 0 { SWELL.2 } else { SWELL.0 };
            self.swell = (self.swell * factor).clamp(1.0, SWELL.1);
        }
        let Some(maker) = self.makers.get_mut(id) else { return };
        let Some(open) = maker.open.take() else { return };
        maker.idle = now;
        let ratio = now.since(open.sent).0 as f64 / work.0.max(1) as f64;
        let pace = maker.paced_at(now);
        match end {
            CallEnd::Done { unfit } => {
                if unfit > 0 {
                    maker.paused = now + ROOM_PAUSE;
                    maker.room.suspect(now + ROOM_MEMORY, unfit);
                }
                maker.pace = pace + (ratio.clamp(0.5, 10.0) - pace) * PACE_WEIGHT;
                maker.paced = now;
                maker.pause = PAUSES.0;
            }
            CallEnd::Full => maker.paused = now + CROWD_MEMORY,
            CallEnd::Late => {
                // The server may still work on it, for nobody.
                maker.room.suspect(now + self.spec.result_ttl, open.bytes);
                maker.pace = pace.max(ratio.min(10.0));
                maker.paced = now;
                maker.rest(now);
            }
            CallEnd::Failed => maker.rest(now),
        }
    }

    /// A result lies at a server until it is given back.
    pub fn made(&mut self, now: Time, id: &ServerId, key: ResultKey, bytes: u64) {
        if let Some(maker) = self.makers.get_mut(id) {
            maker.room.made(key, now + self.spec.result_ttl, bytes);
        }
    }

    /// A result was given back, perhaps one made for another owner.
    pub fn freed(&mut self, id: &ServerId, key: ResultKey, bytes: u64) {
        if let Some(maker) = self.makers.get_mut(id) {
            maker.room.freed(key, bytes);
        }
    }

    /// Pieces that wait or are worked on, as a part of what one round of calls takes.
    pub fn fullness(&self, now: Time) -> Fullness {
        let usable = self.makers.values().filter(|m| m.paused <= now).count();
        let busy = self.makers.values().filter(|maker| maker.open.is_some()).count();
        let round = (usable.max(1) as f64 * self.usual).max(1.0);
        // A server is free at once, or after half of the time between two that become free.
        let working = if busy < usable { 0.0 } else { 0.5 / usable.max(1) as f64 };
        let soonest = now + self.least();
        let late = self.waiting.iter().filter(|piece| piece.is_late(soonest)).count() as f64;
        let timely = self.waiting.len() as f64 - late;
        let ahead = |at: usize| {
            let ahead = |p: &&Waiting| !p.is_late(soonest) && p.lane.level() <= at;
            self.waiting.iter().filter(ahead).count() as f64 / round + working
        };
        let late = ahead_of_late(timely, late, self.usual) / round + working;
        Fullness { ranks: std::array::from_fn(ahead), late }
    }

    /// Pieces that can still be in time go first, the most urgent of them ahead.
    fn sort(&mut self, now: Time) {
        let soonest = now + self.least();
        let order = |piece: &Waiting| piece.due + RANK_STEP * piece.lane.level() as u64;
        self.waiting.sort_by_key(|p| (p.is_late(soonest), order(p), p.group, p.id));
    }

    /// Owned servers that are free: those of the first piece's zone ahead, then the fastest. While a fast
    /// one is busy, a slow one is left alone, since the fast one is free sooner than the slow one would be
    /// done.
    fn free_servers(&self, now: Time) -> Vec<ServerId> {
        let good = |maker: &Maker| maker.paused <= now && maker.paced_at(now) < SLOW_PACE;
        let fast = self.makers.values().any(good);
        let toward = self.waiting.first().and_then(|piece| piece.toward);
        let free = self.makers.values().filter(|m| m.open.is_none() && m.paused <= now);
        let mut free: Vec<_> = free.filter(|maker| !fast || good(maker)).collect();
        free.sort_by_key(|maker| {
            let far = toward.is_some_and(|zone| zone != maker.zone);
            (far, (maker.paced_at(now) * 8.0) as u64, maker.room.lying())
        });
        free.into_iter().map(|maker| maker.replica.id.clone()).collect()
    }

    /// Time before it is due up to which a piece waits for a server of its zone.
    fn patience(&self) -> Span {
        self.work(self.spec.batch).scale(ZONE_PATIENCE)
    }

    /// Zones of the servers that may be used.
    fn zones(&self, now: Time) -> BTreeSet<ZoneKey> {
        self.makers.values().filter(|maker| maker.paused <= now).map(|maker| maker.zone).collect()
    }

    /// The call that a server gets. Pieces must be in order.
    fn fill(&mut self, now: Time, id: &ServerId) -> Option<Batch> {
        let soonest = now + self.least();
        let (zones, here) = (self.zones(now), self.makers.get(id)?.zone);
        let foreign = |piece: &Waiting| {
            piece.toward.is_some_and(|zone| zone != here && zones.contains(&zone))
        };
        // While more waits than a call takes, a server that leaves pieces of other zones would stand idle
        // for the sake of bytes.
        let crowded = self.waiting.len() >= self.spec.batch * CROWDED;
        let pressed = now + self.patience();
        let (mut native, mut rest, mut left) = (Vec::new(), Vec::new(), Vec::new());
        for piece in self.waiting.drain(..) {
            let kept = !foreign(&piece);
            let to = match kept {
                true => &mut native,
                false if crowded || piece.due < pressed => &mut rest,
                false => &mut left,
            };
            to.push(piece);
        }
        native.append(&mut rest);
        native.sort_by_key(|piece| piece.is_late(soonest));
        let batch = self.take(now, id, &native);
        let chosen: BTreeSet<PieceId> =
            batch.iter().flat_map(|batch| &batch.pieces).map(|piece| piece.id).collect();
        native.append(&mut left);
        native.retain(|piece| !chosen.contains(&piece.id));
        self.waiting = native;
        self.sort(now);
        batch
    }

    fn take(&mut self, now: Time, id: &ServerId, waiting: &[Waiting]) -> Option<Batch> {
        let soonest = now + self.least();
        let maker = self.makers.get_mut(id)?;
        maker.room.expire(now);
        let lying = maker.room.lying();
        let held = (lying as f64 * self.swell) as u64;
        let room = ((self.spec.result_bytes as f64 * ROOM_PART) as u64).saturating_sub(held);
        let late = waiting.iter().filter(|piece| piece.is_late(soonest)).count();
        let kept = late.min(self.spec.batch.div_ceil(LATE_PART));
        let (timely, overdue) = waiting.split_at(waiting.len() - late);
        let mut pick = Pick { room, empty: lying == 0, swell: self.swell, pieces: Vec::new() };
        pick.take(timely, self.spec.batch - kept);
        // Late pieces have been promised an answer as well, and hold results of earlier stages.
        pick.take(overdue, self.spec.batch);
        pick.take(timely, self.spec.batch);
        let pieces = pick.pieces;
        let short = pieces.len() * 2 < waiting.len().min(self.spec.batch);
        if pieces.is_empty() || (short && lying > 0 && now < maker.idle + ROOM_WAIT) {
            return None;
        }
        let full = if pieces.len() == waiting.len() { self.spec.batch } else { pieces.len() };
        self.usual += (full as f64 - self.usual) * USUAL_WEIGHT;
        let work = self.work(pieces.len());
        let maker = self.makers.get_mut(id)?;
        let expected = work.scale(maker.paced_at(now).max(1.0));
        let late = now + expected.scale(LATE_FACTOR) + LATE_MORE;
        let bytes = pieces.iter().map(|piece| piece.bytes).sum();
        maker.open = Some(Open { sent: now, ends: now + expected, late, bytes });
        Some(Batch { server: maker.replica.clone(), pieces, late })
    }

    fn work(&self, pieces: usize) -> Span {
        self.spec.call_time + self.spec.piece_time * pieces as u64
    }

    fn least(&self) -> Span {
        self.work(1)
    }
}

/// Pieces that go ahead of a late one: while others fill the calls, late pieces get their part of each only.
fn ahead_of_late(timely: f64, late: f64, call: f64) -> f64 {
    if timely >= call { late * LATE_PART as f64 } else { late + timely }
}

/// Pieces picked for a call.
struct Pick {
    /// Room that is left, in bytes.
    room: u64,
    /// Nothing lies at the server: one piece is taken even if it seems too large.
    empty: bool,
    swell: f64,
    pieces: Vec<Waiting>,
}

impl Pick {
    /// Takes whole groups while they fit, and a part of the first one if it alone is too large.
    fn take(&mut self, sorted: &[Waiting], most: usize) {
        for group in sorted.chunk_by(|a, b| a.group == b.group) {
            if self.pieces.iter().any(|piece| piece.group == group[0].group) {
                continue;
            }
            let first = self.pieces.is_empty();
            let left = most.saturating_sub(self.pieces.len());
            let bytes: u64 = group.iter().map(|piece| self.size(piece)).sum();
            if group.len() <= left && bytes <= self.room {
                self.room -= bytes;
                self.pieces.extend_from_slice(group);
            } else if first {
                self.take_part(&group[..group.len().min(left)]);
            }
        }
    }

    fn take_part(&mut self, group: &[Waiting]) {
        for piece in group {
            let size = self.size(piece);
            if size > self.room && !(self.empty && self.pieces.is_empty()) {
                return;
            }
            self.room = self.room.saturating_sub(size);
            self.pieces.push(*piece);
        }
    }

    fn size(&self, piece: &Waiting) -> u64 {
        (piece.bytes as f64 * self.swell) as u64
    }
}

impl Maker {
    fn rest_of_call(&self, now: Time) -> Span {
        self.open.as_ref().map_or(Span::ZERO, |open| open.ends.since(now))
    }

    fn paced_at(&self, now: Time) -> f64 {
        1.0 + (self.pace - 1.0) * decay(now, self.paced, PACE_MEMORY)
    }

    fn rest(&mut self, now: Time) {
        self.paused = now + self.pause;
        self.pause = Span((self.pause.0 * 2).min(PAUSES.1.0));
    }
}
