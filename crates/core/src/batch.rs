//! Batches pieces of many requests into calls to the servers of one stage pool.
//!
//! Batching pays off when a call has a large fixed cost and a server processes one call at a time:
//! pieces queue while the server is busy and are sent together when it becomes idle. Only one entry,
//! the owner, calls a given server, so no call queues at a server where it could no longer collect
//! further pieces. The pieces of one request stay in the same call if possible: a request split over
//! two calls has to wait for the second one, and its first results occupy server memory meanwhile.

use crate::catalog::PieceSpec;
use crate::fleet::Replica;
use crate::ids::{AvailabilityZone, ServerId};
use crate::pace::Pace;
use crate::room::{ResultKey, ResultUsage};
use crate::time::{Span, Time, decay};
use crate::value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// How long the first piece waits for others before a call starts, since requests arrive in bursts.
const BATCH_WINDOW: Span = Span::from_millis(6);
/// Pause before the next call to a server that refused a call because it was full.
const FULL_BACKOFF: Span = Span::from_millis(100);
/// Pause before the next call to a server that had no room for all results. Results of other entries,
/// unknown to this one, may occupy its memory.
const NO_ROOM_BACKOFF: Span = Span::from_millis(150);
/// How long a server with room for less than half a call stays idle, waiting for results to be
/// released. A small call takes nearly as long as a full one and occupies its memory just as long.
const SMALL_BATCH_WAIT: Span = Span::from_millis(150);
/// How long after results found no room the same number of bytes is assumed to be occupied by results
/// that this entry does not know of.
const UNTRACKED_TTL: Span = Span::from_millis(600);
/// Fraction of a newly assigned server's result memory that is assumed to hold results of its previous
/// owner, and for how long. Most results are released within a second.
const TAKEOVER_RESERVE: (f64, Span) = (0.5, Span::from_millis(800));
/// A call times out after this multiple of its expected time plus `TIMEOUT_MARGIN`.
const TIMEOUT_FACTOR: f64 = 2.2;
/// Added to the scaled expected time of a call to get its timeout.
const TIMEOUT_MARGIN: Span = Span::from_millis(250);
/// First and longest pause after a failed call; it doubles with each consecutive failure.
const BACKOFF: (Span, Span) = (Span::from_millis(300), Span::from_secs(3));
/// Weight of the latest call in the moving average of a server's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Time constant with which a measured slowdown decays to 1; after it, about a third is left.
const SLOWDOWN_DECAY: Span = Span::from_secs(4);
/// Slowdown (actual over expected call time) from which on a server gets no calls while a faster one
/// exists.
const SLOW_THRESHOLD: f64 = 2.5;
/// Fraction of a server's result memory that calls are planned to fill.
const USABLE_FRACTION: f64 = 0.95;
/// A piece stops waiting for a server in its preferred zone when it is due within this many full calls.
const ZONE_WAIT_CALLS: f64 = 1.1;
/// Queue length, in full calls, from which on idle servers also take pieces that prefer another zone.
const BACKLOG_CALLS: usize = 2;
/// One slot in this many of a batch is reserved for late pieces.
const LATE_SLOT_INTERVAL: usize = 6;
/// Fraction of a server's result memory that late pieces leave free beyond their reserved slots. A call of timely
/// pieces usually needs less, while the results of the call before are still stored.
const TIMELY_ROOM_FRACTION: f64 = 0.4;
/// Weight of the latest call in the moving average of the batch size.
const BATCH_SIZE_WEIGHT: f64 = 0.2;
/// Correction of the stated result sizes: factor applied after a call whose results did not all find
/// room, upper bound of the correction, and factor applied after a call whose results all did. Results
/// that other entries left on the server are counted separately.
const SIZE_CORRECTION: (f64, f64, f64) = (1.03, 1.3, 0.99);

/// Lower bound of the pieces that all usable servers take in one round.
const MIN_ROUND_SIZE: f64 = 0.1;

/// Added to the due time of a piece for each less urgent rank when the queue is sorted: a less urgent
/// piece goes first only if it is due earlier by more than this.
const RANK_STEP: Span = Span::from_secs(3);
/// Number of distinct ranks; less urgent ones are treated as the last.
pub(crate) const RANK_COUNT: usize = 3;

/// Times from now to a piece's place in the queue order, in milliseconds, for which the backlog ahead of it
/// is reported.
const ORDER_STEPS_MS: [u64; ORDER_STEPS] = [250, 500, 1_000, 1_500, 2_000, 3_000, 4_000, 6_000];
const ORDER_STEPS: usize = 8;

/// Backlog of an owner's servers, in rounds of calls: 1.0 is as many pieces as all its usable servers
/// take in one call each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fullness {
    /// Backlog ahead of a new piece of each rank. Less urgent and late pieces are sorted behind it and
    /// not counted. For entries of earlier versions, which read only this.
    ranks: [f64; RANK_COUNT],
    /// Backlog ahead of a new timely piece, for each of [`ORDER_STEPS_MS`]. Does not decrease. `None` from an
    /// entry of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    steps: Option<[f64; ORDER_STEPS]>,
    /// Backlog ahead of a new late piece.
    late: f64,
}

/// Place of a piece in the queue order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePlace {
    /// Priority class of the piece.
    pub lane: Lane,
    /// Time from now until it is due, zero if that has passed.
    pub due: Span,
}

impl QueuePlace {
    /// Time from now by which timely pieces are sorted.
    pub(crate) fn order(self) -> Span {
        self.due + RANK_STEP * self.lane.level() as u64
    }
}

value! {
    /// Priority class of queued pieces.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum Lane {
        /// Can still be done by their due time; holds the rank, where 0 is the most urgent.
        Timely(u8),
        /// Miss their due time anyway; get a small share of each call while others wait.
        Late,
    }
}

impl Fullness {
    /// The same backlog for all lanes.
    pub fn uniform(level: f64) -> Self {
        Self { ranks: [level; RANK_COUNT], steps: Some([level; ORDER_STEPS]), late: level }
    }

    /// Backlog ahead of a new piece at `place`.
    pub fn ahead_of(&self, place: QueuePlace) -> f64 {
        match (place.lane, self.steps) {
            (Lane::Late, _) => self.late,
            (Lane::Timely(_), Some(steps)) => interpolate(&steps, place.order()),
            (Lane::Timely(_), None) => self.ranks[place.lane.level()],
        }
    }

    /// Combines two backlogs.
    pub(crate) fn zip_with(&self, other: &Self, combine: impl Fn(f64, f64) -> f64) -> Self {
        let ranks = std::array::from_fn(|i| combine(self.ranks[i], other.ranks[i]));
        let (a, b) = (self.known_steps(), other.known_steps());
        let steps = Some(std::array::from_fn(|i| combine(a[i], b[i])));
        Self { ranks, steps, late: combine(self.late, other.late) }
    }

    /// The backlog by steps. An entry of an earlier version tells only what is ahead of the last rank.
    fn known_steps(&self) -> [f64; ORDER_STEPS] {
        self.steps.unwrap_or([self.ranks[RANK_COUNT - 1]; ORDER_STEPS])
    }
}

/// Value at `at` of a function that is known at [`ORDER_STEPS_MS`] and linear between them. Before the first
/// it rises from the half of its value, as what is queued for a call that starts at once can't be overtaken.
fn interpolate(steps: &[f64; ORDER_STEPS], at: Span) -> f64 {
    let at = at.as_secs_f64() * 1_000.0;
    let (mut time, mut value) = (0.0, steps[0] / 2.0);
    for (end, next) in ORDER_STEPS_MS.iter().map(|ms| *ms as f64).zip(steps) {
        if at < end {
            return value + (next - value) * (at - time) / (end - time);
        }
        (time, value) = (end, *next);
    }
    value
}

impl Lane {
    /// Index of the rank, capped to the last distinct one. `Late` counts as the last.
    pub(crate) fn level(self) -> usize {
        match self {
            Self::Timely(rank) => usize::from(rank).min(RANK_COUNT - 1),
            Self::Late => RANK_COUNT - 1,
        }
    }
}

/// Identifies a queued piece; chosen by the caller, unique within a batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceId(pub u64);

/// Hash of an availability zone name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneKey(u64);

impl From<&AvailabilityZone> for ZoneKey {
    fn from(zone: &AvailabilityZone) -> Self {
        Self(xxh3_64(zone.as_str().as_bytes()))
    }
}

/// A piece that waits to be sent in a call.
#[derive(Clone, Copy, Debug)]
pub struct QueuedPiece {
    /// Identifies the piece.
    pub id: PieceId,
    /// Pieces of the same group are sent in one call if possible.
    pub group: u64,
    /// Priority class of its request.
    pub lane: Lane,
    /// The request is refused if the piece is predicted to be done after this time. `None` if work was
    /// already done for the request, which a refusal would waste.
    pub refuse_after: Option<Time>,
    /// When it must be done for the request to meet its latency objective.
    pub due: Time,
    /// When its result is no longer useful.
    pub deadline: Time,
    /// Stated size of its result.
    pub bytes: u64,
    /// Its inputs occupy much of the result memory of their servers. Such a piece is not deferred when
    /// it is late, since that would keep the memory occupied.
    pub large_inputs: bool,
    /// Zone in which large inputs are stored or large results are needed.
    pub preferred_zone: Option<ZoneKey>,
    /// When it was queued.
    pub arrived: Time,
}

impl QueuedPiece {
    /// Whether it is deferred because it can't be done by its due time. `earliest_end` is the time at
    /// which a call that starts now could end.
    fn is_late(&self, earliest_end: Time) -> bool {
        !self.large_inputs && self.due < earliest_end
    }

    /// Time by which timely pieces are sorted.
    fn order(&self) -> Time {
        self.due + RANK_STEP * self.lane.level() as u64
    }
}

/// Pieces to send in one call.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Server to call.
    pub server: Replica,
    /// At most as many as the pool's batch limit.
    pub pieces: Vec<QueuedPiece>,
    /// When to give up on the call.
    pub timeout_at: Time,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server processed it.
    Done {
        /// Stated size of the results that were dropped because the server had no room for them.
        dropped_bytes: u64,
    },
    /// Refused because the server was full.
    Full,
    /// Refused for another reason, or the connection broke.
    Failed,
    /// Not answered before the timeout.
    TimedOut,
}

#[derive(Clone, Debug)]
struct OpenCall {
    sent: Time,
    expected_end: Time,
    timeout_at: Time,
    /// Stated size of its results, for which the server needs room from the start of the call.
    bytes: u64,
}

#[derive(Clone, Debug)]
struct ServerState {
    replica: Replica,
    zone: ZoneKey,
    /// The call in flight.
    call: Option<OpenCall>,
    /// When its last call ended.
    idle_since: Time,
    paused_until: Time,
    /// Pace of the calls, if the server names a limit.
    pace: Option<Pace>,
    backoff: Span,
    slowdown: f64,
    measured_at: Time,
    /// Results stored there, not counting those of the call in flight.
    results: ResultUsage,
}

/// Queue of pieces and state of the owned servers of one stage pool.
#[derive(Clone, Debug)]
pub struct Batcher {
    spec: PieceSpec,
    servers: BTreeMap<ServerId, ServerState>,
    waiting: Vec<QueuedPiece>,
    /// Estimated ratio of actual to stated result sizes, since stated sizes are approximate.
    size_factor: f64,
    /// Moving average of the pieces that a call takes while more are queued; below the batch limit if
    /// result memory is short.
    typical_batch: f64,
}

impl Batcher {
    /// Creates a batcher that owns no servers.
    pub fn new(spec: PieceSpec) -> Self {
        Self {
            spec,
            servers: BTreeMap::new(),
            waiting: Vec::new(),
            size_factor: 1.0,
            typical_batch: spec.batch as f64,
        }
    }

    /// Replaces the limits of the pool.
    pub fn set_spec(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Replaces the set of owned servers. The state of servers that remain owned is kept.
    pub fn set_servers(&mut self, now: Time, servers: &[Replica]) {
        self.servers.retain(|id, server| {
            servers.iter().any(|s| s.id == *id && s.started == server.replica.started)
        });
        for replica in servers {
            let server = || {
                let mut results = ResultUsage::default();
                let reserved = (self.spec.result_bytes as f64 * TAKEOVER_RESERVE.0) as u64;
                results.add_untracked(now + TAKEOVER_RESERVE.1, reserved);
                ServerState {
                    call: None,
                    idle_since: Time::default(),
                    paused_until: Time::default(),
                    pace: None,
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

    /// Sets the pace of the calls to each server; `None` for a server without a limit.
    pub fn set_paces(&mut self, pace: impl Fn(&Replica) -> Option<Pace>) {
        self.servers.values_mut().for_each(|server| server.pace = pace(&server.replica));
    }

    /// Number of owned servers.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Number of queued pieces.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues a piece.
    pub fn push(&mut self, piece: QueuedPiece) {
        self.waiting.push(piece);
    }

    /// Removes a piece that is no longer needed.
    pub fn cancel(&mut self, id: PieceId) {
        self.waiting.retain(|piece| piece.id != id);
    }

    /// Removes and returns all pieces that cannot be done before their deadline.
    pub fn take_expired(&mut self, now: Time) -> Vec<PieceId> {
        let shortest = self.min_call_time();
        let late = |piece: &QueuedPiece| piece.deadline < now + shortest;
        let out = self.waiting.iter().filter(|p| late(p)).map(|p| p.id).collect();
        self.waiting.retain(|piece| !late(piece));
        out
    }

    /// Removes and returns the pieces that are predicted to be done after their `refuse_after` time.
    /// Under overload they would only delay other pieces, or wait in vain until their deadline.
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
        let nominal = self.call_time(self.typical_batch as usize);
        let usable_share = usable.iter().map(|server| server.pace_share(nominal)).sum::<f64>();
        let call = nominal.scale(slowdown);
        let period = call.scale(1.0 / usable_share);
        let capacity = self.typical_batch.max(1.0);
        self.sort(now);
        let earliest_end = now + self.min_call_time();
        // Late pieces are sorted behind all others, so `timely` is final when the first is reached.
        let (mut timely, mut late, mut out) = (0.0, 0.0, Vec::new());
        for group in self.waiting.chunk_by(|a, b| a.group == b.group) {
            let is_late = group[0].is_late(earliest_end);
            let ahead = if is_late { ahead_of_late(timely, late, capacity) } else { timely };
            let done = now + remaining + call + period.scale((ahead / capacity).floor());
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

    /// Removes and returns all pieces, for an entry that no longer owns any server.
    pub fn drain(&mut self) -> Vec<PieceId> {
        self.waiting.drain(..).map(|piece| piece.id).collect()
    }

    /// Returns the next call to make now, if any, and marks its server as busy.
    pub fn next_batch(&mut self, now: Time) -> Option<Batch> {
        let oldest = self.waiting.iter().map(|piece| piece.arrived).min()?;
        if self.waiting.len() < self.spec.batch && now.since(oldest) < BATCH_WINDOW {
            return None;
        }
        self.sort(now);
        self.idle_servers(now).into_iter().find_map(|id| self.fill_batch(now, &id))
    }

    /// When `next_batch` should be called again if no call ends and no piece arrives before.
    pub fn next_wakeup(&self, now: Time) -> Option<Time> {
        let oldest = self.waiting.iter().map(|piece| piece.arrived).min()?;
        let servers = self.servers.values().flat_map(|m| {
            let ready = m.pace.map_or(Time::default(), |pace| pace.ready);
            [m.paused_until, m.idle_since + SMALL_BATCH_WAIT, ready]
        });
        // Memory becomes free when results expire, which no other event tells.
        let expiries = self.servers.values().filter_map(|server| server.results.next_expiry());
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
        let all = servers.chain(timeouts).chain(expiries).chain(expiry).chain(gathered);
        all.filter(|at| *at > now).min()
    }

    /// Records the end of a call that carried `pieces` pieces.
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
                // The server may still be processing the call and store results that nobody releases.
                server.results.add_untracked(now + self.spec.result_ttl, call.bytes);
                server.slowdown = slowdown.max(ratio.min(10.0));
                server.measured_at = now;
                server.back_off(now);
            }
            CallOutcome::Failed => server.back_off(now),
        }
    }

    /// Records a result that occupies memory of a server until it is released or expires.
    pub fn result_stored(&mut self, now: Time, id: &ServerId, key: ResultKey, bytes: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.results.add(key, now + self.spec.result_ttl, bytes);
        }
    }

    /// Records that a result was released. It may have been made for another owner.
    pub fn result_released(&mut self, id: &ServerId, key: ResultKey, bytes: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.results.remove(key, bytes);
        }
    }

    /// Current backlog, as reported to other entries.
    pub fn fullness(&self, now: Time) -> Fullness {
        let nominal = self.call_time(self.typical_batch as usize);
        let unpaused = || self.servers.values().filter(|m| m.paused_until <= now);
        let usable = unpaused().count();
        let usable_share = match usable {
            0 => 1.0,
            _ => unpaused().map(|server| server.pace_share(nominal)).sum(),
        };
        let busy = self.servers.values().filter(|server| server.call.is_some()).count();
        let round_size = (usable_share * self.typical_batch).max(MIN_ROUND_SIZE);
        // If all servers are busy, the next one becomes idle on average after half of the interval at
        // which servers become idle.
        let working = if unpaused().any(|server| server.pace.is_some()) {
            let soonest = unpaused().map(|server| server.time_left(now)).min();
            soonest.unwrap_or(Span::ZERO).0 as f64 / nominal.0.max(1) as f64
        } else if busy < usable {
            0.0
        } else {
            0.5 / usable.max(1) as f64
        };
        let earliest_end = now + self.min_call_time();
        let late = self.waiting.iter().filter(|piece| piece.is_late(earliest_end)).count() as f64;
        let timely = self.waiting.len() as f64 - late;
        let ahead = |at: usize| {
            let ahead = |p: &&QueuedPiece| !p.is_late(earliest_end) && p.lane.level() <= at;
            self.waiting.iter().filter(ahead).count() as f64 / round_size + working
        };
        let steps = std::array::from_fn(|i| {
            let end = now + Span::from_millis(ORDER_STEPS_MS[i]);
            let last = i + 1 == ORDER_STEPS;
            let ahead = |p: &&QueuedPiece| !p.is_late(earliest_end) && (last || p.order() <= end);
            self.waiting.iter().filter(ahead).count() as f64 / round_size + working
        });
        let late = ahead_of_late(timely, late, self.typical_batch) / round_size + working;
        Fullness { ranks: std::array::from_fn(ahead), steps: Some(steps), late }
    }

    /// Sorts timely pieces by due time and rank, followed by the late ones.
    fn sort(&mut self, now: Time) {
        let earliest_end = now + self.min_call_time();
        self.waiting.sort_by_key(|p| (p.is_late(earliest_end), p.order(), p.group, p.id));
    }

    /// Idle servers, those in the preferred zone of the first piece first, then the fastest. Slow servers
    /// are left out while a fast one exists, even if it is busy: it becomes idle before the slow one
    /// would be done.
    fn idle_servers(&self, now: Time) -> Vec<ServerId> {
        let is_fast = |server: &ServerState| {
            server.is_usable(now) && server.current_slowdown(now) < SLOW_THRESHOLD
        };
        let any_fast = self.servers.values().any(is_fast);
        let preferred = self.waiting.first().and_then(|piece| piece.preferred_zone);
        let free = self.servers.values().filter(|m| m.call.is_none() && m.is_usable(now));
        let mut free: Vec<_> = free.filter(|server| !any_fast || is_fast(server)).collect();
        free.sort_by_key(|server| {
            let far = preferred.is_some_and(|zone| zone != server.zone);
            (far, (server.current_slowdown(now) * 8.0) as u64, server.results.used())
        });
        free.into_iter().map(|server| server.replica.id.clone()).collect()
    }

    /// How long before its due time a piece stops waiting for a server in its preferred zone.
    fn zone_wait(&self) -> Span {
        self.call_time(self.spec.batch).scale(ZONE_WAIT_CALLS)
    }

    /// Zones of the servers that are not paused.
    fn usable_zones(&self, now: Time) -> BTreeSet<ZoneKey> {
        self.servers
            .values()
            .filter(|server| server.is_usable(now))
            .map(|server| server.zone)
            .collect()
    }

    /// Starts a call to an idle server, if pieces fit. The queue must be sorted.
    fn fill_batch(&mut self, now: Time, id: &ServerId) -> Option<Batch> {
        let earliest_end = now + self.min_call_time();
        let (zones, own_zone) = (self.usable_zones(now), self.servers.get(id)?.zone);
        let other_zone = |piece: &QueuedPiece| {
            piece.preferred_zone.is_some_and(|zone| zone != own_zone && zones.contains(&zone))
        };
        // With a long queue, skipping pieces that prefer another zone would leave the server idle just to
        // save traffic between zones.
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
        let room = ((self.spec.result_bytes as f64 * USABLE_FRACTION) as u64)
            .saturating_sub(expected_used);
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
        // Late pieces are served too: their requests were accepted and hold results of earlier stages
        // in memory.
        let reserved = builder.pieces.len() + late_slots;
        builder.add_groups(overdue, reserved.min(self.spec.batch));
        builder.add_groups(timely, self.spec.batch);
        let kept = (self.spec.result_bytes as f64 * TIMELY_ROOM_FRACTION) as u64;
        builder.room = builder.room.saturating_sub(kept);
        builder.add_groups(overdue, self.spec.batch);
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
        self.spec.call_time_of(pieces)
    }

    fn min_call_time(&self) -> Span {
        self.call_time(1)
    }
}

/// Number of pieces that are sent before a new late one. While timely pieces fill the calls, late ones
/// get only their reserved slots.
fn ahead_of_late(timely: f64, late: f64, call: f64) -> f64 {
    if timely >= call { late * LATE_SLOT_INTERVAL as f64 } else { late + timely }
}

/// Selects the pieces of a call.
struct BatchBuilder {
    /// Result memory left on the server, in bytes.
    room: u64,
    /// The server stores no results. One piece is then taken even if it seems too large, since waiting
    /// would not make more room.
    empty: bool,
    size_factor: f64,
    pieces: Vec<QueuedPiece>,
}

impl BatchBuilder {
    /// Adds whole groups as long as they fit, up to `limit` pieces in total. If the first group does not
    /// fit, adds a part of it.
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
        let busy = self.call.as_ref().map_or(Span::ZERO, |call| call.expected_end.since(now));
        busy.max(self.held_for(now))
    }

    /// Whether a call may be sent once the one in flight has ended.
    fn is_usable(&self, now: Time) -> bool {
        self.paused_until <= now && self.held_for(now) == Span::ZERO
    }

    /// Time for which the server's limit allows no call.
    fn held_for(&self, now: Time) -> Span {
        self.pace.map_or(Span::ZERO, |pace| pace.ready.since(now))
    }

    /// Share of its calls of length `call` that the server's limit allows.
    fn pace_share(&self, call: Span) -> f64 {
        self.pace.map_or(1.0, |pace| (call.0 as f64 / pace.interval.0.max(1) as f64).min(1.0))
    }

    fn current_slowdown(&self, now: Time) -> f64 {
        1.0 + (self.slowdown - 1.0) * decay(now, self.measured_at, SLOWDOWN_DECAY)
    }

    fn back_off(&mut self, now: Time) {
        self.paused_until = now + self.backoff;
        self.backoff = Span((self.backoff.0 * 2).min(BACKOFF.1.0));
    }
}
