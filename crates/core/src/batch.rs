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
use crate::room::{ResultKey, ResultUsage};
use crate::time::{Span, Time, decay};
use crate::value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a first piece waits for others, since requests arrive in clumps.
const BATCH_WINDOW: Span = Span::from_millis(6);
/// Time after a refusal as full in which a server is left alone.
const FULL_BACKOFF: Span = Span::from_millis(100);
/// Time after a call without room for all results in which a server is left alone. Others may have results
/// there that this entry does not know of.
const NO_ROOM_BACKOFF: Span = Span::from_millis(150);
/// Time for which a server without room for half a call waits for results to be given back. A small call
/// takes nearly as long as a full one, and the room is needed as long.
const SMALL_BATCH_WAIT: Span = Span::from_millis(150);
/// Time for which as many bytes as found no room are taken to lie there unknown.
const UNTRACKED_TTL: Span = Span::from_millis(600);
/// Part of the room of a server that is new here which may be taken by results made for its owner before,
/// and for how long: most results are given back within a second.
const TAKEOVER_RESERVE: (f64, Span) = (0.5, Span::from_millis(800));
/// A call that takes this many times the expected time, and a while longer, is taken as lost.
const TIMEOUT_FACTOR: f64 = 2.2;
/// Added to that.
const TIMEOUT_MARGIN: Span = Span::from_millis(250);
/// First and longest pause after a call that failed.
const BACKOFF: (Span, Span) = (Span::from_millis(300), Span::from_secs(3));
/// Weight of a new call in the pace of a server.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Time after which the pace of a server counts for about a third.
const SLOWDOWN_DECAY: Span = Span::from_secs(4);
/// Pace from which on a server is left for a faster one that is free soon.
const SLOW_THRESHOLD: f64 = 2.5;
/// Part of a server's room for results that is planned with.
const USABLE_FRACTION: f64 = 0.95;
/// Calls in which a piece is due at the latest that does not wait for a server of its zone.
const ZONE_WAIT_CALLS: f64 = 1.1;
/// Calls that the waiting pieces fill from which on no server is left idle for the sake of zones.
const BACKLOG_CALLS: usize = 2;
/// One place in this many of a batch is kept for late pieces.
const LATE_SLOT_INTERVAL: usize = 6;
/// Weight of a new call in the typical_batch size of calls.
const BATCH_SIZE_WEIGHT: f64 = 0.2;
/// Growth of the believed size of results after one found no room, the most of it, and the step back
/// after each call for which there was room. Results that others left there are counted apart.
const SIZE_CORRECTION: (f64, f64, f64) = (1.03, 1.3, 0.99);

/// Time by which a piece of the next less urgent rank may be due earlier and still goes behind.
const RANK_STEP: Span = Span::from_secs(1);
/// Ranks that are told apart; all less urgent ones count as the last.
const RANK_COUNT: usize = 3;

/// How full an owner's servers are, as a part of what one round of calls takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fullness {
    /// For each rank: pieces of less urgent ranks and late pieces go behind and are not counted.
    ranks: [f64; RANK_COUNT],
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
    pub fn uniform(level: f64) -> Self {
        Self { ranks: [level; RANK_COUNT], late: level }
    }

    /// For the pieces of one lane.
    pub fn for_lane(&self, lane: Lane) -> f64 {
        match lane {
            Lane::Timely(_) => self.ranks[lane.level()],
            Lane::Late => self.late,
        }
    }

    /// Made of two, number by number.
    pub(crate) fn zip_with(&self, other: &Self, combine: impl Fn(f64, f64) -> f64) -> Self {
        let ranks = std::array::from_fn(|i| combine(self.ranks[i], other.ranks[i]));
        Self { ranks, late: combine(self.late, other.late) }
    }
}

impl Lane {
    /// Position of its rank among those that are told apart; what is late counts as the last.
    fn level(self) -> usize {
        match self {
            Self::Timely(rank) => usize::from(rank).min(RANK_COUNT - 1),
            Self::Late => RANK_COUNT - 1,
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
pub struct QueuedPiece {
    /// The piece.
    pub id: PieceId,
    /// Pieces with the same number belong together.
    pub group: u64,
    /// How urgent its request is, or that it is late anyway.
    pub lane: Lane,
    /// When its request would be refused, if nothing was worked on for it so far: refusing it is free.
    pub refuse_after: Option<Time>,
    /// When it must be done for an answer within the objective.
    pub due: Time,
    /// When its result is of no use any more.
    pub deadline: Time,
    /// Room that its result takes.
    pub bytes: u64,
    /// Its inputs take much of the room of their servers, so that it does not go behind when it is late.
    pub large_inputs: bool,
    /// Zone in which it is best worked on, since large results lie or are needed there.
    pub preferred_zone: Option<ZoneKey>,
    /// When it began to wait.
    pub arrived: Time,
}

impl QueuedPiece {
    /// Whether it goes behind because it can't be done when it is due. `earliest_end`: when a call that begins
    /// now could end.
    fn is_late(&self, earliest_end: Time) -> bool {
        !self.large_inputs && self.due < earliest_end
    }
}

/// Pieces to send in one call.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Where to.
    pub server: Replica,
    /// At most as many as the pool's limit.
    pub pieces: Vec<QueuedPiece>,
    /// When the call is taken as lost.
    pub timeout_at: Time,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was worked on; whether there was room for all results.
    Done {
        /// Bytes of results that found no room.
        dropped_bytes: u64,
    },
    /// Refused as full.
    Full,
    /// Refused or broken.
    Failed,
    /// Not answered in time.
    TimedOut,
}

#[derive(Clone, Debug)]
struct OpenCall {
    sent: Time,
    /// When it is expected to end.
    expected_end: Time,
    timeout_at: Time,
    /// Bytes that its results take, from its beginning.
    bytes: u64,
}

#[derive(Clone, Debug)]
struct ServerState {
    replica: Replica,
    zone: ZoneKey,
    /// The call that it works on.
    call: Option<OpenCall>,
    /// When its last call ended.
    idle_since: Time,
    paused_until: Time,
    backoff: Span,
    slowdown: f64,
    measured_at: Time,
    /// Results that lie there, besides those of the open call.
    results: ResultUsage,
}

/// QueuedPiece pieces and owned servers of one stage pool.
#[derive(Clone, Debug)]
pub struct Batcher {
    spec: PieceSpec,
    servers: BTreeMap<ServerId, ServerState>,
    waiting: Vec<QueuedPiece>,
    /// Size of results as a multiple of the stated one, since sizes are stated approximately.
    size_factor: f64,
    /// Pieces that a call takes while more wait; fewer than the limit if room is short.
    typical_batch: f64,
}

impl Batcher {
    /// A pool without servers.
    pub fn new(spec: PieceSpec) -> Self {
        Self {
            spec,
            servers: BTreeMap::new(),
            waiting: Vec::new(),
            size_factor: 1.0,
            typical_batch: spec.batch as f64,
        }
    }

    /// Takes new limits.
    pub fn set_spec(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Takes the servers that this entry owns. What is known of those that stay is kept.
    pub fn set_servers(&mut self, now: Time, servers: &[Replica]) {
        self.servers.retain(|id, server| {
            servers.iter().any(|s| s.id == *id && s.born == server.replica.born)
        });
        for replica in servers {
            let server = || {
                let mut results = ResultUsage::default();
                let reserved = (self.spec.room as f64 * TAKEOVER_RESERVE.0) as u64;
                results.add_untracked(now + TAKEOVER_RESERVE.1, reserved);
                ServerState {
                    call: None,
                    idle_since: Time::default(),
                    paused_until: Time::default(),
                    backoff: BACKOFF.0,
                    slowdown: 1.0,
                    measured_at: Time::default(),
                    results,
                    zone: ZoneKey::from(&replica.zone),
                    replica: replica.clone(),
                }
            };
            self.servers.entry(replica.id.clone()).or_insert_with(server);
        }
    }

    /// Servers that are owned.
    pub fn server_count(&self) -> usize {
        self.servers.len()
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
    pub fn push(&mut self, piece: QueuedPiece) {
        self.waiting.push(piece);
    }

    /// Takes a piece out that is not needed any more.
    pub fn cancel(&mut self, id: PieceId) {
        self.waiting.retain(|piece| piece.id != id);
    }

    /// Takes out all pieces that cannot be done before their deadline.
    pub fn take_expired(&mut self, now: Time) -> Vec<PieceId> {
        let shortest = self.min_call_time();
        let late = |piece: &QueuedPiece| piece.deadline < now + shortest;
        let out = self.waiting.iter().filter(|p| late(p)).map(|p| p.id).collect();
        self.waiting.retain(|piece| !late(piece));
        out
    }

    /// Takes out the pieces that can be refused for free and would not be done in time behind those that go
    /// first. Under a load above what the servers can take, they would only make others late, or wait until
    /// their deadline for nothing.
    pub fn shed(&mut self, now: Time) -> Vec<PieceId> {
        let usable: Vec<_> =
            self.servers.values().filter(|server| server.paused_until <= now).collect();
        if usable.is_empty() || self.waiting.iter().all(|piece| piece.refuse_after.is_none()) {
            return Vec::new();
        }
        let count = usable.len() as f64;
        let remaining = usable.iter().map(|server| server.time_left(now));
        let remaining = remaining.min().unwrap_or(Span::ZERO);
        let slowdown =
            usable.iter().map(|server| server.current_slowdown(now)).sum::<f64>() / count;
        let call = self.call_time(self.typical_batch as usize).scale(slowdown);
        let capacity = self.typical_batch.max(1.0);
        self.sort(now);
        let earliest_end = now + self.min_call_time();
        // Late pieces are sorted behind all others.
        let (mut timely, mut late, mut out) = (0.0, 0.0, Vec::new());
        for group in self.waiting.chunk_by(|a, b| a.group == b.group) {
            let is_late = group[0].is_late(earliest_end);
            let ahead = if is_late { ahead_of_late(timely, late, capacity) } else { timely };
            let done = now + remaining + call.scale(1.0 + (ahead / capacity).floor() / count);
            if group[0].refuse_after.is_some_and(|limit| done > limit) {
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
    pub fn next_batch(&mut self, now: Time) -> Option<Batch> {
        let oldest = self.waiting.iter().map(|piece| piece.arrived).min()?;
        if self.waiting.len() < self.spec.batch && now.since(oldest) < BATCH_WINDOW {
            return None;
        }
        self.sort(now);
        self.idle_servers(now).into_iter().find_map(|id| self.fill_batch(now, &id))
    }

    /// When `next_batch` should be asked again although nothing ended or arrived.
    pub fn next_wakeup(&self, now: Time) -> Option<Time> {
        let oldest = self.waiting.iter().map(|piece| piece.arrived).min()?;
        let servers =
            self.servers.values().flat_map(|m| [m.paused_until, m.idle_since + SMALL_BATCH_WAIT]);
        let timeouts = self
            .servers
            .values()
            .filter_map(|server| server.call.as_ref())
            .map(|call| call.timeout_at);
        let shortest = self.min_call_time();
        let expiry = self.waiting.iter().map(|piece| piece.deadline - shortest).min();
        let gathered = std::iter::once(oldest + BATCH_WINDOW);
        let zone_waits = self.waiting.iter().filter(|p| p.preferred_zone.is_some());
        let zone_waits = zone_waits.map(|piece| piece.due - self.zone_wait()).min();
        let gathered = gathered.chain(zone_waits);
        servers.chain(timeouts).chain(expiry).chain(gathered).filter(|at| *at > now).min()
    }

    /// A call ended. `pieces`: how many it carried.
    pub fn call_ended(&mut self, now: Time, id: &ServerId, pieces: usize, outcome: CallOutcome) {
        let expected = self.call_time(pieces);
        if let CallOutcome::Done { dropped_bytes } = outcome {
            let factor = if dropped_bytes == 0 { SIZE_CORRECTION.2 } else { SIZE_CORRECTION.0 };
            self.size_factor = (self.size_factor * factor).clamp(1.0, SIZE_CORRECTION.1);
        }
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(call) = server.call.take() else { return };
        server.idle_since = now;
        let ratio = now.since(call.sent).0 as f64 / expected.0.max(1) as f64;
        let slowdown = server.current_slowdown(now);
        match outcome {
            CallOutcome::Done { dropped_bytes } => {
                if dropped_bytes > 0 {
                    server.paused_until = now + NO_ROOM_BACKOFF;
                    server.results.add_untracked(now + UNTRACKED_TTL, dropped_bytes);
                }
                server.slowdown = slowdown + (ratio.clamp(0.5, 10.0) - slowdown) * SLOWDOWN_WEIGHT;
                server.measured_at = now;
                server.backoff = BACKOFF.0;
            }
            CallOutcome::Full => server.paused_until = now + FULL_BACKOFF,
            CallOutcome::TimedOut => {
                // The server may still work on it, for nobody.
                server.results.add_untracked(now + self.spec.keep, call.bytes);
                server.slowdown = slowdown.max(ratio.min(10.0));
                server.measured_at = now;
                server.back_off(now);
            }
            CallOutcome::Failed => server.back_off(now),
        }
    }

    /// A result lies at a server until it is given back.
    pub fn result_stored(&mut self, now: Time, id: &ServerId, key: ResultKey, bytes: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.results.add(key, now + self.spec.keep, bytes);
        }
    }

    /// A result was given back, perhaps one made for another owner.
    pub fn result_released(&mut self, id: &ServerId, key: ResultKey, bytes: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.results.remove(key, bytes);
        }
    }

    /// Pieces that wait or are worked on, as a part of what one round of calls takes.
    pub fn fullness(&self, now: Time) -> Fullness {
        let usable = self.servers.values().filter(|m| m.paused_until <= now).count();
        let busy = self.servers.values().filter(|server| server.call.is_some()).count();
        let round_size = (usable.max(1) as f64 * self.typical_batch).max(1.0);
        // A server is free at once, or after half of the time between two that become free.
        let working = if busy < usable { 0.0 } else { 0.5 / usable.max(1) as f64 };
        let earliest_end = now + self.min_call_time();
        let late = self.waiting.iter().filter(|piece| piece.is_late(earliest_end)).count() as f64;
        let timely = self.waiting.len() as f64 - late;
        let ahead = |at: usize| {
            let ahead = |p: &&QueuedPiece| !p.is_late(earliest_end) && p.lane.level() <= at;
            self.waiting.iter().filter(ahead).count() as f64 / round_size + working
        };
        let late = ahead_of_late(timely, late, self.typical_batch) / round_size + working;
        Fullness { ranks: std::array::from_fn(ahead), late }
    }

    /// Pieces that can still be in time go first, the most urgent of them ahead.
    fn sort(&mut self, now: Time) {
        let earliest_end = now + self.min_call_time();
        let order = |piece: &QueuedPiece| piece.due + RANK_STEP * piece.lane.level() as u64;
        self.waiting.sort_by_key(|p| (p.is_late(earliest_end), order(p), p.group, p.id));
    }

    /// Owned servers that are free: those of the first piece's zone ahead, then the fastest. While a fast
    /// one is busy, a slow one is left alone, since the fast one is free sooner than the slow one would be
    /// done.
    fn idle_servers(&self, now: Time) -> Vec<ServerId> {
        let is_fast = |server: &ServerState| {
            server.paused_until <= now && server.current_slowdown(now) < SLOW_THRESHOLD
        };
        let any_fast = self.servers.values().any(is_fast);
        let preferred = self.waiting.first().and_then(|piece| piece.preferred_zone);
        let free = self.servers.values().filter(|m| m.call.is_none() && m.paused_until <= now);
        let mut free: Vec<_> = free.filter(|server| !any_fast || is_fast(server)).collect();
        free.sort_by_key(|server| {
            let far = preferred.is_some_and(|zone| zone != server.zone);
            (far, (server.current_slowdown(now) * 8.0) as u64, server.results.used())
        });
        free.into_iter().map(|server| server.replica.id.clone()).collect()
    }

    /// Time before it is due up to which a piece waits for a server of its zone.
    fn zone_wait(&self) -> Span {
        self.call_time(self.spec.batch).scale(ZONE_WAIT_CALLS)
    }

    /// Zones of the servers that may be used.
    fn usable_zones(&self, now: Time) -> BTreeSet<ZoneKey> {
        self.servers
            .values()
            .filter(|server| server.paused_until <= now)
            .map(|server| server.zone)
            .collect()
    }

    /// The call that a server gets. Pieces must be in order.
    fn fill_batch(&mut self, now: Time, id: &ServerId) -> Option<Batch> {
        let earliest_end = now + self.min_call_time();
        let (zones, own_zone) = (self.usable_zones(now), self.servers.get(id)?.zone);
        let other_zone = |piece: &QueuedPiece| {
            piece.preferred_zone.is_some_and(|zone| zone != own_zone && zones.contains(&zone))
        };
        // While more waits than a call takes, a server that leaves pieces of other zones would stand idle
        // for the sake of bytes.
        let crowded = self.waiting.len() >= self.spec.batch * BACKLOG_CALLS;
        let zone_deadline = now + self.zone_wait();
        let (mut candidates, mut fallback, mut skipped) = (Vec::new(), Vec::new(), Vec::new());
        for piece in self.waiting.drain(..) {
            let in_zone = !other_zone(&piece);
            let to = match in_zone {
                true => &mut candidates,
                false if crowded || piece.due < zone_deadline => &mut fallback,
                false => &mut skipped,
            };
            to.push(piece);
        }
        candidates.append(&mut fallback);
        candidates.sort_by_key(|piece| piece.is_late(earliest_end));
        let batch = self.start_call(now, id, &candidates);
        let chosen: BTreeSet<PieceId> =
            batch.iter().flat_map(|batch| &batch.pieces).map(|piece| piece.id).collect();
        candidates.append(&mut skipped);
        candidates.retain(|piece| !chosen.contains(&piece.id));
        self.waiting = candidates;
        self.sort(now);
        batch
    }

    fn start_call(&mut self, now: Time, id: &ServerId, waiting: &[QueuedPiece]) -> Option<Batch> {
        let earliest_end = now + self.min_call_time();
        let server = self.servers.get_mut(id)?;
        server.results.expire(now);
        let used = server.results.used();
        let expected_used = (used as f64 * self.size_factor) as u64;
        let room = ((self.spec.room as f64 * USABLE_FRACTION) as u64).saturating_sub(expected_used);
        let late = waiting.iter().filter(|piece| piece.is_late(earliest_end)).count();
        let late_slots = late.min(self.spec.batch.div_ceil(LATE_SLOT_INTERVAL));
        let (timely, overdue) = waiting.split_at(waiting.len() - late);
        let mut builder = BatchBuilder {
            room,
            empty: used == 0,
            size_factor: self.size_factor,
            pieces: Vec::new(),
        };
        builder.add_groups(timely, self.spec.batch - late_slots);
        // Late pieces have been promised an answer as well, and hold results of earlier stages.
        builder.add_groups(overdue, self.spec.batch);
        builder.add_groups(timely, self.spec.batch);
        let pieces = builder.pieces;
        let short = pieces.len() * 2 < waiting.len().min(self.spec.batch);
        if pieces.is_empty() || (short && used > 0 && now < server.idle_since + SMALL_BATCH_WAIT) {
            return None;
        }
        let size = if pieces.len() == waiting.len() { self.spec.batch } else { pieces.len() };
        self.typical_batch += (size as f64 - self.typical_batch) * BATCH_SIZE_WEIGHT;
        let nominal = self.call_time(pieces.len());
        let server = self.servers.get_mut(id)?;
        let expected = nominal.scale(server.current_slowdown(now).max(1.0));
        let timeout_at = now + expected.scale(TIMEOUT_FACTOR) + TIMEOUT_MARGIN;
        let bytes = pieces.iter().map(|piece| piece.bytes).sum();
        server.call = Some(OpenCall { sent: now, expected_end: now + expected, timeout_at, bytes });
        Some(Batch { server: server.replica.clone(), pieces, timeout_at })
    }

    fn call_time(&self, pieces: usize) -> Span {
        self.spec.call + self.spec.item * pieces as u64
    }

    fn min_call_time(&self) -> Span {
        self.call_time(1)
    }
}

/// Pieces that go ahead of a late one: while others fill the calls, late pieces get their part of each only.
fn ahead_of_late(timely: f64, late: f64, call: f64) -> f64 {
    if timely >= call { late * LATE_SLOT_INTERVAL as f64 } else { late + timely }
}

/// Pieces picked for a call.
struct BatchBuilder {
    /// Room that is left, in bytes.
    room: u64,
    /// Nothing lies at the server: one piece is taken even if it seems too large.
    empty: bool,
    size_factor: f64,
    pieces: Vec<QueuedPiece>,
}

impl BatchBuilder {
    /// Takes whole groups while they fit, and a part of the first one if it alone is too large.
    fn add_groups(&mut self, sorted: &[QueuedPiece], limit: usize) {
        for group in sorted.chunk_by(|a, b| a.group == b.group) {
            if self.pieces.iter().any(|piece| piece.group == group[0].group) {
                continue;
            }
            let first = self.pieces.is_empty();
            let left = limit.saturating_sub(self.pieces.len());
            let bytes: u64 = group.iter().map(|piece| self.expected_bytes(piece)).sum();
            if group.len() <= left && bytes <= self.room {
                self.room -= bytes;
                self.pieces.extend_from_slice(group);
            } else if first {
                self.add_part(&group[..group.len().min(left)]);
            }
        }
    }

    fn add_part(&mut self, group: &[QueuedPiece]) {
        for piece in group {
            let size = self.expected_bytes(piece);
            if size > self.room && !(self.empty && self.pieces.is_empty()) {
                return;
            }
            self.room = self.room.saturating_sub(size);
            self.pieces.push(*piece);
        }
    }

    fn expected_bytes(&self, piece: &QueuedPiece) -> u64 {
        (piece.bytes as f64 * self.size_factor) as u64
    }
}

impl ServerState {
    fn time_left(&self, now: Time) -> Span {
        self.call.as_ref().map_or(Span::ZERO, |call| call.expected_end.since(now))
    }

    fn current_slowdown(&self, now: Time) -> f64 {
        1.0 + (self.slowdown - 1.0) * decay(now, self.measured_at, SLOWDOWN_DECAY)
    }

    fn back_off(&mut self, now: Time) {
        self.paused_until = now + self.backoff;
        self.backoff = Span((self.backoff.0 * 2).min(BACKOFF.1.0));
    }
}
