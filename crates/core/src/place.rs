//! Choice of a backend server for a whole request, from what this entry's own requests have shown.
//!
//! Answers two loads: generation on engines that keep prompt parts, where reading a prompt again costs
//! more than anything else, and short plain calls on servers of which some fail or stall.

use crate::Rng;
use crate::fleet::Replica;
use crate::ids::{AvailabilityZone, ServerId};
use crate::time::{Span, Time, decay};
use crate::value;
use rand_core::Rng as _;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Prompt tokens that an engine reads in a millisecond, to weigh a prompt against a queue. The
/// deployments state 32 and 92.
const PREFILL_TOKENS_PER_MS: u64 = 50;
/// Delay that one more running generation adds to a new one.
const DELAY_PER_OPEN_GENERATION: Span = Span::from_millis(3);
/// Delay that a plain call adds for each call already open, as a part of the usual time.
const OPEN_CALL_DELAY_SHARE: f64 = 0.5;
/// Delay by which 1 MB of results that cross availability zones counts. At 7 ms, about what the price of
/// the bytes says, three GB crossed in half a minute and no fewer prompts were read again.
const CROSS_ZONE_DELAY_PER_MB: Span = Span::from_millis(40);
/// Part of a shared prompt that the server chosen by its hash is expected to hold, because another entry
/// has sent it there.
const HASHED_CACHED_SHARE: f64 = 0.5;
/// Delay by which another availability zone counts for the request itself.
const CROSS_ZONE_DELAY: Span = Span::from_millis(2);
/// Delay by which a server counts that fails all its requests.
const FAILURE_PENALTY: Span = Span::from_secs(4);
/// Weight of a new answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// Time after which the share of failures counts for about a third, so that the server is tried again.
const FAILURE_DECAY_TIME: Span = Span::from_secs(4);
/// Weight of a new answer in the mean time.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Time after which a slow pace counts for about a third.
const SLOWDOWN_DECAY_TIME: Span = Span::from_secs(5);
/// First and longest pause of a server that can't be reached or does not answer.
const PAUSE_RANGE: (Span, Span) = (Span::from_millis(400), Span::from_secs(3));
/// Time for which a prompt part is expected to stay in an engine's memory.
const PROMPT_CACHE_TIME: Span = Span::from_secs(20);
/// Routes whose usual times are remembered; names change with the configuration.
const MAX_ROUTES: usize = 1_024;
/// Prompt parts remembered for each server.
const MAX_PARTS_PER_SERVER: usize = 4_096;
/// Random difference between equal servers, so that entries do not all choose the same one.
const MAX_JITTER: Span = Span::from_millis(2);

value! {
    /// One part of a prompt.
    #[derive(Copy)]
    pub struct PromptPart {
        /// Names the tokens of this part.
        pub id: u64,
        /// Length.
        pub tokens: u32,
    }
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Requirements<'a> {
    /// Parts of its prompt, in order.
    pub parts: &'a [PromptPart],
    /// Results that the server will fetch, in bytes by availability zone.
    pub results: &'a [(AvailabilityZone, u64)],
    /// Servers that the request must not go to again.
    pub excluded: &'a [ServerId],
    /// Requests from here that one server may have open; 0: any number.
    pub max_open: u32,
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Completed,
    /// A failure that the server reported, or an answer that broke off.
    Failed,
    /// Refused as full.
    Overloaded,
    /// The server did not answer or could not be reached.
    Unresponsive,
    /// The request was given up for reasons that say nothing about the server.
    Abandoned,
}

#[derive(Clone, Debug)]
struct ServerState {
    replica: Replica,
    /// Hash of its id.
    hash: u64,
    open: u32,
    /// Prompt tokens of requests from here that have not got the first part of their answer.
    pending_tokens: u64,
    /// Share of its requests that failed lately, when `failed` was set.
    failure_share: f64,
    failures_updated: Time,
    /// Mean time to the first part of an answer, over the pool's.
    slowdown: f64,
    slowdown_updated: Time,
    paused_until: Time,
    next_pause: Span,
    parts: HashMap<u64, Time>,
}

/// An entry's view of one pool.
#[derive(Clone, Debug)]
pub struct Placer {
    zone: AvailabilityZone,
    is_engine: bool,
    servers: BTreeMap<ServerId, ServerState>,
    /// Mean time to the first part of an answer, in microseconds.
    mean_latency: f64,
    /// The same for each route, since prompts of different routes differ many times in length.
    route_latencies: HashMap<String, f64>,
}

impl Placer {
    /// An empty pool, seen from an availability zone.
    pub fn new(zone: AvailabilityZone, is_engine: bool, mean_latency: Span) -> Self {
        Self {
            zone,
            is_engine,
            servers: BTreeMap::new(),
            mean_latency: mean_latency.0.max(1) as f64,
            route_latencies: HashMap::new(),
        }
    }

    /// A server may be used. What is known of it is kept, unless it was removed before.
    pub fn add(&mut self, replica: Replica) {
        if self.servers.contains_key(&replica.id) {
            return;
        }
        let server = ServerState {
            open: 0,
            pending_tokens: 0,
            failure_share: 0.0,
            failures_updated: Time::default(),
            slowdown: 1.0,
            slowdown_updated: Time::default(),
            paused_until: Time::default(),
            next_pause: PAUSE_RANGE.0,
            parts: HashMap::new(),
            hash: xxh3_64(replica.id.as_str().as_bytes()),
            replica,
        };
        self.servers.insert(server.replica.id.clone(), server);
    }

    /// A server gets no new work.
    pub fn remove(&mut self, id: &ServerId) {
        self.servers.remove(id);
    }

    /// Whether a server may be used.
    pub fn contains(&self, id: &ServerId) -> bool {
        self.servers.contains_key(id)
    }

    /// Servers that may be used.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server may be used.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Requests from here that are open, and slots of all servers.
    pub fn load(&self) -> (u32, u32) {
        let open = self.servers.values().map(|server| server.open).sum();
        let slots = self.servers.values().map(|server| server.replica.slots).sum();
        (open, slots)
    }

    /// Mean time to the first part of an answer on a route.
    pub fn mean_latency(&self, route: &str) -> Span {
        Span(self.route_latencies.get(route).copied().unwrap_or(self.mean_latency) as u64)
    }

    /// The server with the least expected delay.
    pub fn choose(
        &self,
        now: Time,
        rng: &mut Rng,
        requirements: &Requirements<'_>,
    ) -> Option<&Replica> {
        let eligible = |server: &&ServerState| {
            !requirements.excluded.contains(&server.replica.id)
                && (requirements.max_open == 0 || server.open < requirements.max_open)
        };
        let not_paused = |server: &&ServerState| server.paused_until <= now;
        let hashed = self.hashed_server(now, requirements.parts);
        let best = |servers: &mut dyn Iterator<Item = &ServerState>, rng: &mut Rng| {
            servers
                .map(|server| {
                    let preferred = hashed == Some(&server.replica.id);
                    (
                        self.expected_delay(now, server, requirements, preferred)
                            + rng.next_u64() % MAX_JITTER.0,
                        server,
                    )
                })
                .min_by_key(|(delay, _)| *delay)
                .map(|(_, server)| server.replica.id.clone())
        };
        let first = best(&mut self.servers.values().filter(eligible).filter(not_paused), rng);
        // All pauses may be wrong at once, for instance after a partition of this entry.
        let id = first.or_else(|| best(&mut self.servers.values().filter(eligible), rng))?;
        self.servers.get(&id).map(|server| &server.replica)
    }

    /// Availability zone of the server that a prompt is best sent to.
    pub fn preferred_zone(&self, now: Time, parts: &[PromptPart]) -> Option<&AvailabilityZone> {
        let id = self.hashed_server(now, parts)?;
        self.servers.get(id).map(|server| &server.replica.zone)
    }

    /// A request was sent. Tells the prompt tokens that the server has to read, which `answered` and
    /// `ended` take back.
    pub fn record_dispatch(&mut self, now: Time, id: &ServerId, parts: &[PromptPart]) -> u64 {
        let Some(server) = self.servers.get_mut(id) else { return 0 };
        let uncached = server.uncached_tokens(now, parts);
        server.open += 1;
        server.pending_tokens += uncached;
        if server.parts.len() > MAX_PARTS_PER_SERVER {
            server.parts.retain(|_, at| now.since(*at) < PROMPT_CACHE_TIME);
        }
        server.parts.extend(parts.iter().map(|part| (part.id, now)));
        uncached
    }

    /// The first part of an answer on a route came after `first`.
    pub fn record_response(
        &mut self,
        now: Time,
        id: &ServerId,
        uncached: u64,
        latency: Span,
        route: &str,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.pending_tokens = server.pending_tokens.saturating_sub(uncached);
        let observed = latency.0 as f64;
        let update_mean =
            |mean: f64| mean + (observed.min(mean * 4.0) - mean) * SLOWDOWN_WEIGHT / 4.0;
        let mean = self.route_latencies.get(route).copied().unwrap_or(self.mean_latency);
        if self.route_latencies.len() >= MAX_ROUTES {
            self.route_latencies.clear();
        }
        self.route_latencies.insert(route.to_owned(), update_mean(mean));
        self.mean_latency = update_mean(self.mean_latency);
        let ratio = (observed / mean).clamp(0.2, 20.0);
        server.slowdown =
            server.slowdown_at(now) + (ratio - server.slowdown_at(now)) * SLOWDOWN_WEIGHT;
        server.slowdown_updated = now;
        server.record_result(now, 0.0);
        server.next_pause = PAUSE_RANGE.0;
        server.paused_until = Time::default();
    }

    /// A request ended. `parts`: its prompt, which the server may not have read; `uncached`: what was not
    /// taken back yet.
    pub fn record_end(
        &mut self,
        now: Time,
        id: &ServerId,
        parts: &[PromptPart],
        uncached: u64,
        outcome: AttemptOutcome,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.pending_tokens = server.pending_tokens.saturating_sub(uncached);
        server.open = server.open.saturating_sub(1);
        match outcome {
            AttemptOutcome::Completed => {}
            AttemptOutcome::Failed => server.record_result(now, 1.0),
            AttemptOutcome::Overloaded => server.pause_for(now, PAUSE_RANGE.0),
            AttemptOutcome::Unresponsive => {
                server.record_result(now, 1.0);
                let pause = server.next_pause;
                server.pause_for(now, pause);
                server.next_pause = Span((pause.0 * 2).min(PAUSE_RANGE.1.0));
            }
            AttemptOutcome::Abandoned => {}
        }
        if outcome != AttemptOutcome::Completed {
            for part in parts {
                server.parts.remove(&part.id);
            }
        }
    }

    /// The server to which all entries send prompts with the same shared part: the one with the highest
    /// hash of both, so that a server that comes or goes moves only its own prompts.
    fn hashed_server(&self, now: Time, parts: &[PromptPart]) -> Option<&ServerId> {
        // The last part belongs to the request alone.
        let shared = parts.len().checked_sub(2).and_then(|i| parts.get(i))?;
        let not_paused = self.servers.values().filter(|server| server.paused_until <= now);
        not_paused
            .max_by_key(|server| rendezvous_score(server.hash, shared.id))
            .map(|server| &server.replica.id)
    }

    fn expected_delay(
        &self,
        now: Time,
        server: &ServerState,
        requirements: &Requirements<'_>,
        preferred: bool,
    ) -> u64 {
        let slowdown = server.slowdown_at(now).max(1.0);
        let work = if self.is_engine {
            let uncached = server.uncached_tokens(now, requirements.parts);
            let own = requirements.parts.last().map_or(0, |part| u64::from(part.tokens));
            let shared = if preferred {
                uncached.saturating_sub(own) as f64 * HASHED_CACHED_SHARE
            } else {
                0.0
            };
            // Prompts are read one after another, and stall the streams of their server.
            let reading = (uncached as f64 - shared + server.pending_tokens as f64) * 1_000.0
                / PREFILL_TOKENS_PER_MS as f64;
            reading
                + (DELAY_PER_OPEN_GENERATION * u64::from(server.open)).0 as f64
                + self.mean_latency * 0.2
        } else {
            let busy = f64::from(server.open) / f64::from(server.replica.slots.max(1));
            self.mean_latency
                * (1.0 + busy * busy * 4.0 + f64::from(server.open) * OPEN_CALL_DELAY_SHARE * 0.2)
        };
        let far = |zone: &AvailabilityZone| *zone != server.replica.zone;
        let bytes: u64 = requirements.results.iter().filter(|(z, _)| far(z)).map(|(_, b)| b).sum();
        let cross = CROSS_ZONE_DELAY_PER_MB.scale(bytes as f64 / 1e6).0 as f64;
        let own_zone = if far(&self.zone) { CROSS_ZONE_DELAY.0 as f64 } else { 0.0 };
        let failure_penalty = FAILURE_PENALTY.scale(server.failure_share_at(now)).0 as f64;
        (work * slowdown + cross + own_zone + failure_penalty) as u64
    }
}

/// Rank of a server for a prompt part. Spares a hash of bytes for each server and request.
fn rendezvous_score(server: u64, part: u64) -> u64 {
    // The constants are the finalizer's of MurmurHash3.
    let mut hash = server ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

impl ServerState {
    fn uncached_tokens(&self, now: Time, parts: &[PromptPart]) -> u64 {
        let kept = |part: &&PromptPart| {
            self.parts.get(&part.id).is_some_and(|at| now.since(*at) < PROMPT_CACHE_TIME)
        };
        let skip = parts.iter().take_while(kept).count();
        parts[skip..].iter().map(|part| u64::from(part.tokens)).sum()
    }

    fn slowdown_at(&self, now: Time) -> f64 {
        if self.slowdown == 1.0 {
            return 1.0;
        }
        let keep = decay(now, self.slowdown_updated, SLOWDOWN_DECAY_TIME);
        1.0 + (self.slowdown - 1.0) * keep
    }

    fn failure_share_at(&self, now: Time) -> f64 {
        if self.failure_share == 0.0 {
            return 0.0;
        }
        self.failure_share * decay(now, self.failures_updated, FAILURE_DECAY_TIME)
    }

    fn record_result(&mut self, now: Time, failed: f64) {
        let share = self.failure_share_at(now);
        self.failure_share = share + (failed - share) * FAILURE_WEIGHT;
        self.failures_updated = now;
    }

    fn pause_for(&mut self, now: Time, pause: Span) {
        self.paused_until = self.paused_until.max(now + pause);
    }
}
