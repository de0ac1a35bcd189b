//! Selects a backend server for a whole request, based on how this entry's own requests have gone, and for
//! engines on what other entries report.
//!
//! Two workloads are supported: generation on engines with a prompt cache, where prefilling an
//! uncached prompt again is the largest cost, and short plain calls to servers that may fail or
//! stall.

use crate::Rng;
use crate::exchange::{LoadReports, LoadRow, LoadView, server_key};
use crate::fleet::Replica;
use crate::ids::{AvailabilityZone, ServerId};
use crate::time::{Span, Time, decay};
use crate::value;
use rand_core::Rng as _;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Weight of the tokens that an engine would have to read for a request, against those that wait there already:
/// reading them also delays the streams that run there, and requests that arrive later.
const READ_WEIGHT: f64 = 1.6;
/// Share of a shared prompt that the first servers in rendezvous order are expected to have cached, because other
/// entries send it there: most to the first one, and some to the next while that one has a backlog.
const CREDITS: [f64; 3] = [0.8, 0.45, 0.35];
/// Weight of a new sample in a server's pace, and in the mean pace of the pool.
const PACE_WEIGHTS: (f64, f64) = (0.3, 0.05);
/// Time in which a server's pace decays to 1/e of its distance from the pool's.
const PACE_DECAY_TIME: Span = Span::from_secs(5);
/// Lower and upper bound of a server's pace, as a factor of the pool's. Engines of one pool differ by up to 2.4.
const PACE_RANGE: (f64, f64) = (0.4, 2.5);
/// Lower and upper bound of the pool's pace, in tokens a millisecond.
const MEAN_PACE_RANGE: (f64, f64) = (5.0, 500.0);
/// Tokens from which a request is a sample of the pace. The time of shorter ones is mostly other delay.
const PACE_TOKENS_MIN: u64 = 1_000;
/// Part of a latency that does not depend on the tokens: the network and a decode step.
const BASE_LATENCY: Span = Span::from_millis(10);
/// Time constant of the mean of the tokens that this entry sends in a second.
const SENT_DECAY_TIME: Span = Span::from_secs(2);

/// Prompt tokens that an engine prefills per millisecond, used to weigh uncached tokens against a
/// queue. The deployments state rates of 32 and 92.
const PREFILL_TOKENS_PER_MS: u64 = 50;
/// Delay added to a new generation by each one already open on the server.
const DELAY_PER_OPEN_GENERATION: Span = Span::from_millis(3);
/// Delay added to a plain call by each call already open, as a fraction of the mean latency.
/// `expected_delay` applies a further factor of 0.2.
const OPEN_CALL_DELAY_SHARE: f64 = 0.5;
/// Delay counted per 1 MB of stage results fetched across availability zones. At 7 ms, roughly the
/// price of the traffic, 3 GB crossed zones in half a minute and no fewer prompts were prefilled
/// again.
const CROSS_ZONE_DELAY_PER_MB: Span = Span::from_millis(40);
/// Fraction of a shared prompt that the server chosen by hash is expected to have cached, because
/// another entry may already have sent it there.
const HASHED_CACHED_SHARE: f64 = 0.5;
/// Delay counted for sending the request itself to another availability zone.
const CROSS_ZONE_DELAY: Span = Span::from_millis(2);
/// Delay counted for a server that fails all of its requests.
const FAILURE_PENALTY: Span = Span::from_secs(4);
/// Weight of a new result in the failure share.
const FAILURE_WEIGHT: f64 = 0.3;
/// Time in which the failure share decays to 1/e, so that a failing server is tried again.
const FAILURE_DECAY_TIME: Span = Span::from_secs(4);
/// Weight of a new sample in a server's slowdown. Mean latencies use a quarter of it.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Time in which a server's slowdown decays to 1/e of its distance from 1.
const SLOWDOWN_DECAY_TIME: Span = Span::from_secs(5);
/// Initial and maximum pause of a server that can't be reached or does not answer.
const PAUSE_RANGE: (Span, Span) = (Span::from_millis(400), Span::from_secs(3));
/// Time for which a prompt part is assumed to stay in an engine's cache.
const PROMPT_CACHE_TIME: Span = Span::from_secs(20);
/// Maximum number of routes with their own mean latency. Bounded because route names change with
/// the configuration.
const MAX_ROUTES: usize = 1_024;
/// Number of remembered prompt parts per server above which expired ones are removed.
const MAX_PARTS_PER_SERVER: usize = 4_096;
/// Upper bound of the random delay added to each server, so that entries do not all choose the same
/// one of several equal servers.
const MAX_JITTER: Span = Span::from_millis(2);

value! {
    /// A part of a prompt, the unit of prompt caching.
    #[derive(Copy)]
    pub struct PromptPart {
        /// Identifies the part's tokens.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u32,
    }
}

/// Requirements and hints for choosing a server for a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Requirements<'a> {
    /// Parts of the request's prompt, in order.
    pub parts: &'a [PromptPart],
    /// Stage results that the server will fetch, in bytes per availability zone.
    pub results: &'a [(AvailabilityZone, u64)],
    /// Servers that must not be chosen.
    pub excluded: &'a [ServerId],
    /// Servers that accept no request now. They must not be chosen either.
    pub blocked: &'a [ServerId],
    /// Maximum number of open requests from this entry per server; 0 means no limit.
    pub max_open: u32,
    /// What other entries reported. `None` if there are no others; the pool is then balanced by this entry's
    /// own requests alone.
    pub others: Option<&'a LoadReports>,
}

/// Place of a selected server in the order of the prompt's shared part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It is the first one.
    First,
    /// It is one of the next, which are credited with having cached the part as well.
    Next,
    /// It is another one with less delay, or the prompt has no shared part.
    Least,
}

/// A selected server.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'a> {
    /// The server.
    pub replica: &'a Replica,
    /// Its place; `None` if other entries' reports were not given.
    pub choice: Option<Choice>,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer was received.
    Completed,
    /// The server reported a failure, or the answer was cut off.
    Failed,
    /// The server refused the request because it is full.
    Overloaded,
    /// The server could not be reached or did not answer.
    Unresponsive,
    /// The attempt was given up for a reason that says nothing about the server.
    Abandoned,
}

#[derive(Clone, Debug)]
struct ServerState {
    replica: Replica,
    /// Hash of the server's id.
    hash: u64,
    /// Its key in reports.
    key: u32,
    open: u32,
    /// Uncached prompt tokens of requests sent by this entry that have not been answered yet.
    pending_tokens: u64,
    /// Moving average of failed requests, as of `failures_updated`.
    failure_share: f64,
    failures_updated: Time,
    /// Moving average of the latency divided by the route's mean, as of `slowdown_updated`.
    slowdown: f64,
    slowdown_updated: Time,
    /// Tokens read in a millisecond as a factor of the pool's pace, as of `pace_updated`.
    pace: f64,
    pace_updated: Time,
    /// For each request that will be a sample of the pace: its tokens, and those to be read until its answer.
    reading: Vec<(u64, f64)>,
    paused_until: Time,
    next_pause: Span,
    parts: HashMap<u64, Time>,
}

/// Server selection of an entry for one pool.
#[derive(Clone, Debug)]
pub struct Placer {
    zone: AvailabilityZone,
    is_engine: bool,
    servers: BTreeMap<ServerId, ServerState>,
    /// Mean latency over all routes, in microseconds: the time to the first event of a stream, or
    /// to the whole body of any other answer.
    mean_latency: f64,
    /// Mean latency per route, because prompt lengths differ by large factors between routes.
    route_latencies: HashMap<String, f64>,
    /// Mean number of tokens that a server reads in a millisecond.
    pace: f64,
    /// Mean number of tokens that this entry sends in a second, as of `sent_updated`.
    sent_rate: f64,
    sent_updated: Time,
}

impl Placer {
    /// Creates an empty pool. `zone` is the entry's own availability zone, `is_engine` tells
    /// whether the servers are generation engines, and `mean_latency` is the initial estimate.
    pub fn new(zone: AvailabilityZone, is_engine: bool, mean_latency: Span) -> Self {
        Self {
            zone,
            is_engine,
            servers: BTreeMap::new(),
            mean_latency: mean_latency.0.max(1) as f64,
            route_latencies: HashMap::new(),
            pace: PREFILL_TOKENS_PER_MS as f64,
            sent_rate: 0.0,
            sent_updated: Time::default(),
        }
    }

    /// Adds a server. If it is already present, its state is kept.
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
            pace: 1.0,
            pace_updated: Time::default(),
            reading: Vec::new(),
            paused_until: Time::default(),
            next_pause: PAUSE_RANGE.0,
            parts: HashMap::new(),
            hash: xxh3_64(replica.id.as_str().as_bytes()),
            key: server_key(&replica.id),
            replica,
        };
        self.servers.insert(server.replica.id.clone(), server);
    }

    /// Removes a server and its state. It gets no new requests.
    pub fn remove(&mut self, id: &ServerId) {
        self.servers.remove(id);
    }

    /// Whether a server is present.
    pub fn contains(&self, id: &ServerId) -> bool {
        self.servers.contains_key(id)
    }

    /// Mean time between two requests if each server works on one at a time.
    pub fn mean_interval(&self) -> Span {
        Span((self.mean_latency / self.servers.len().max(1) as f64) as u64)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the number of open requests sent by this entry and the number of slots, over all
    /// servers.
    pub fn load(&self) -> (u32, u32) {
        let open = self.servers.values().map(|server| server.open).sum();
        let slots = self.servers.values().map(|server| server.replica.slots).sum();
        (open, slots)
    }

    /// Mean latency of a route, or of all routes if the route is unknown.
    pub fn mean_latency(&self, route: &str) -> Span {
        Span(self.route_latencies.get(route).copied().unwrap_or(self.mean_latency) as u64)
    }

    /// Whether the servers are generation engines.
    pub fn is_engine(&self) -> bool {
        self.is_engine
    }

    /// Adds this entry's open requests to the rows of a report, and returns the mean number of tokens that it
    /// sends to a server in a second.
    pub fn report(&self, now: Time, rows: &mut Vec<LoadRow>) -> f64 {
        let open = self.servers.values().filter(|server| server.open > 0);
        rows.extend(open.map(|server| LoadRow {
            server: server.key,
            open: server.open,
            tokens: u32::try_from(server.pending_tokens).unwrap_or(u32::MAX),
        }));
        self.sent_rate_at(now) / self.servers.len().max(1) as f64
    }

    /// Chooses a server as [`Self::select`] does.
    pub fn choose(
        &self,
        now: Time,
        rng: &mut Rng,
        requirements: &Requirements<'_>,
    ) -> Option<&Replica> {
        self.select(now, rng, requirements).map(|selection| selection.replica)
    }

    /// Selects an engine with the backlog of others if other entries' reports are given, and otherwise the server
    /// with the lowest expected delay. Returns `None` if every server is excluded or at its limit.
    pub fn select(
        &self,
        now: Time,
        rng: &mut Rng,
        requirements: &Requirements<'_>,
    ) -> Option<Selection<'_>> {
        if let Some(reports) = requirements.others.filter(|_| self.is_engine) {
            return self.select_shared(now, rng, requirements, &reports.at(now));
        }
        let replica = self.least_delay(now, rng, requirements)?;
        Some(Selection { replica, choice: None })
    }

    /// Selects the engine with the least expected delay, with the backlog that other entries report. The first
    /// servers in the order of the prompt's shared part are credited with having cached it, so that it is read at
    /// few servers, and entries that choose at the same moment don't all choose the least loaded server.
    fn select_shared(
        &self,
        now: Time,
        rng: &mut Rng,
        requirements: &Requirements<'_>,
        others: &LoadView<'_>,
    ) -> Option<Selection<'_>> {
        let shared = shared_part(requirements.parts);
        // A prompt without a shared part has a random order.
        let order = shared.map_or_else(|| rng.next_u64(), |part| part.id);
        let mut candidates = Vec::with_capacity(self.servers.len());
        for paused in [false, true] {
            let eligible = self.servers.values().filter(|server| {
                requirements.allows(server) && (paused || server.paused_until <= now)
            });
            candidates
                .extend(eligible.map(|server| (rendezvous_score(server.hash, order), server)));
            // All servers may be paused wrongly, for instance after a network partition of this entry.
            if !candidates.is_empty() {
                break;
            }
        }
        candidates.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        let delays = candidates.iter().enumerate().map(|(place, (_, server))| {
            let credit = if shared.is_some() { credit(place) } else { 0.0 };
            let jitter = (rng.next_u64() % MAX_JITTER.0) as f64;
            (self.shared_delay(now, server, requirements, others, credit) + jitter, place, *server)
        });
        let (_, place, server) = delays.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let choice = match place {
            0 if shared.is_some() => Choice::First,
            _ if shared.is_some() && place < CREDITS.len() => Choice::Next,
            _ => Choice::Least,
        };
        Some(Selection { replica: &server.replica, choice: Some(choice) })
    }

    /// Expected delay in microseconds of a request at an engine that is expected to have cached the share `credit`
    /// of the shared prompt.
    fn shared_delay(
        &self,
        now: Time,
        server: &ServerState,
        requirements: &Requirements<'_>,
        others: &LoadView<'_>,
        credit: f64,
    ) -> f64 {
        let own = requirements.parts.last().map_or(0, |part| u64::from(part.tokens));
        let uncached = server.uncached_tokens(now, requirements.parts);
        let read = uncached as f64 - uncached.saturating_sub(own) as f64 * credit;
        let reading = read * READ_WEIGHT * 1_000.0 / self.pace;
        let waiting = self.backlog(now, server, others) + self.mean_latency * 0.2;
        (waiting + reading) * server.slowdown_at(now).max(1.0)
            + self.extra_delay(now, server, requirements)
    }

    fn least_delay(
        &self,
        now: Time,
        rng: &mut Rng,
        requirements: &Requirements<'_>,
    ) -> Option<&Replica> {
        let eligible = |server: &&ServerState| requirements.allows(server);
        let not_paused = |server: &&ServerState| server.paused_until <= now;
        let hashed = self.hashed_server(now, requirements.parts, requirements.blocked);
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
        // All servers may be paused wrongly, for instance after a network partition of this entry.
        let id = first.or_else(|| best(&mut self.servers.values().filter(eligible), rng))?;
        self.servers.get(&id).map(|server| &server.replica)
    }

    /// Availability zone of the server preferred for a prompt.
    pub fn preferred_zone(&self, now: Time, parts: &[PromptPart]) -> Option<&AvailabilityZone> {
        let id = self.hashed_server(now, parts, &[])?;
        self.servers.get(id).map(|server| &server.replica.zone)
    }

    /// Records that a request was sent. Returns the number of prompt tokens that the server has to
    /// prefill, which the caller passes to `record_response` or `record_end`.
    pub fn record_dispatch(&mut self, now: Time, id: &ServerId, parts: &[PromptPart]) -> u64 {
        self.record_dispatch_among(now, id, &Requirements { parts, ..Requirements::default() })
    }

    /// Records that a request was sent that the server was selected for. If other entries send requests as
    /// well, the server is expected to have cached what they sent there.
    pub fn record_dispatch_among(
        &mut self,
        now: Time,
        id: &ServerId,
        requirements: &Requirements<'_>,
    ) -> u64 {
        let parts = requirements.parts;
        let others = requirements.others.filter(|_| self.is_engine);
        let credit = others.map_or(0.0, |_| self.credit_of(now, id, requirements));
        let sent_rate = self.sent_rate_at(now);
        let pace = self.pace;
        let Some(server) = self.servers.get_mut(id) else { return 0 };
        let mut uncached = server.uncached_tokens(now, parts);
        let own = parts.last().map_or(0, |part| u64::from(part.tokens));
        uncached -= (uncached.saturating_sub(own) as f64 * credit) as u64;
        if let Some(reports) = others.filter(|_| uncached >= PACE_TOKENS_MIN) {
            let own = server.pending_tokens as f64;
            let ahead = reports.at(now).backlog(server.key, pace * server.pace_at(now), own);
            server.reading.push((uncached, own + ahead + uncached as f64));
        }
        let sent = uncached as f64 / SENT_DECAY_TIME.as_secs_f64();
        (self.sent_rate, self.sent_updated) = (sent_rate + sent, now);
        server.open += 1;
        server.pending_tokens += uncached;
        if server.parts.len() > MAX_PARTS_PER_SERVER {
            server.parts.retain(|_, at| now.since(*at) < PROMPT_CACHE_TIME);
        }
        server.parts.extend(parts.iter().map(|part| (part.id, now)));
        uncached
    }

    /// Records that an answer on a route arrived after `latency`: the first event of a stream, or
    /// the whole body.
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
        if let Some(tokens) = server.take_reading(uncached) {
            let millis = latency.saturating_sub(BASE_LATENCY).0.max(1_000) as f64 / 1e3;
            let factor = (tokens / millis / self.pace).clamp(PACE_RANGE.0, PACE_RANGE.1);
            let pace = server.pace_at(now);
            (server.pace, server.pace_updated) = (pace + (factor - pace) * PACE_WEIGHTS.0, now);
            let mean = self.pace * (1.0 + (factor - 1.0) * PACE_WEIGHTS.1);
            self.pace = mean.clamp(MEAN_PACE_RANGE.0, MEAN_PACE_RANGE.1);
        }
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

    /// Records that a request ended. `parts` is its prompt, which counts as uncached again unless
    /// the request completed. `uncached` is the number of tokens from `record_dispatch` if
    /// `record_response` was not called, and 0 otherwise.
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
        server.take_reading(uncached);
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

    /// Returns the server that every entry prefers for prompts with the same shared part.
    /// Rendezvous hashing ensures that adding or removing a server only moves that server's own
    /// prompts.
    fn hashed_server(
        &self,
        now: Time,
        parts: &[PromptPart],
        blocked: &[ServerId],
    ) -> Option<&ServerId> {
        let shared = shared_part(parts)?;
        let usable = self
            .servers
            .values()
            .filter(|server| server.paused_until <= now && !blocked.contains(&server.replica.id));
        usable
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
            // An engine prefills prompts one after another, which also stalls its running streams.
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
        (work * slowdown + self.extra_delay(now, server, requirements)) as u64
    }

    /// Delay in microseconds for transfers across availability zones and for failures.
    fn extra_delay(&self, now: Time, server: &ServerState, requirements: &Requirements<'_>) -> f64 {
        let far = |zone: &AvailabilityZone| *zone != server.replica.zone;
        let bytes: u64 = requirements.results.iter().filter(|(z, _)| far(z)).map(|(_, b)| b).sum();
        let cross = CROSS_ZONE_DELAY_PER_MB.scale(bytes as f64 / 1e6).0 as f64;
        let own_zone = if far(&self.zone) { CROSS_ZONE_DELAY.0 as f64 } else { 0.0 };
        let failure_penalty = FAILURE_PENALTY.scale(server.failure_share_at(now)).0 as f64;
        cross + own_zone + failure_penalty
    }

    /// Time in microseconds until a server begins with a new request, as far as this entry knows.
    fn backlog(&self, now: Time, server: &ServerState, others: &LoadView<'_>) -> f64 {
        let pace = self.pace * server.pace_at(now);
        let own = server.pending_tokens as f64;
        // Requests that others reported as open are mostly answered by now, or are streams, which slow an engine
        // little: counted, they made entries avoid engines without a backlog.
        let others = others.backlog(server.key, pace, own);
        let open = DELAY_PER_OPEN_GENERATION * u64::from(server.open);
        (own + others) * 1_000.0 / pace + open.0 as f64
    }

    /// Share of a shared prompt that a server is expected to have cached because other entries sent it there.
    fn credit_of(&self, now: Time, id: &ServerId, requirements: &Requirements<'_>) -> f64 {
        let part = shared_part(requirements.parts);
        let (Some(part), Some(server)) = (part, self.servers.get(id)) else { return 0.0 };
        let score = rendezvous_score(server.hash, part.id);
        let earlier = |other: &&ServerState| {
            other.paused_until <= now
                && rendezvous_score(other.hash, part.id) > score
                && !requirements.blocked.contains(&other.replica.id)
        };
        credit(self.servers.values().filter(earlier).count())
    }

    fn sent_rate_at(&self, now: Time) -> f64 {
        self.sent_rate * decay(now, self.sent_updated, SENT_DECAY_TIME)
    }
}

impl Requirements<'_> {
    /// Whether a server may be chosen.
    fn allows(&self, server: &ServerState) -> bool {
        !self.excluded.contains(&server.replica.id)
            && !self.blocked.contains(&server.replica.id)
            && (self.max_open == 0 || server.open < self.max_open)
    }
}

/// The part of a prompt that decides the order of the servers. The last part is unique to the request.
fn shared_part(parts: &[PromptPart]) -> Option<&PromptPart> {
    parts.len().checked_sub(2).and_then(|i| parts.get(i))
}

/// Share of a shared prompt that the server at a place in the order is expected to have cached.
fn credit(place: usize) -> f64 {
    CREDITS.get(place).copied().unwrap_or(0.0)
}

/// Rendezvous hash of a server and a prompt part. Mixing the two integers avoids hashing bytes for
/// each server and request.
fn rendezvous_score(server: u64, part: u64) -> u64 {
    // The shifts and the last two multipliers are those of MurmurHash3's finalizer.
    let mut hash = server ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

impl ServerState {
    fn uncached_tokens(&self, now: Time, parts: &[PromptPart]) -> u64 {
        let is_cached = |part: &&PromptPart| {
            self.parts.get(&part.id).is_some_and(|at| now.since(*at) < PROMPT_CACHE_TIME)
        };
        let skip = parts.iter().take_while(is_cached).count();
        parts[skip..].iter().map(|part| u64::from(part.tokens)).sum()
    }

    fn slowdown_at(&self, now: Time) -> f64 {
        if self.slowdown == 1.0 {
            return 1.0;
        }
        let keep = decay(now, self.slowdown_updated, SLOWDOWN_DECAY_TIME);
        1.0 + (self.slowdown - 1.0) * keep
    }

    fn pace_at(&self, now: Time) -> f64 {
        if self.pace == 1.0 {
            return 1.0;
        }
        1.0 + (self.pace - 1.0) * decay(now, self.pace_updated, PACE_DECAY_TIME)
    }

    /// Returns the tokens that were to be read until the answer to a request with `uncached` tokens, if it is a
    /// sample of the pace.
    fn take_reading(&mut self, uncached: u64) -> Option<f64> {
        let i = self.reading.iter().position(|(tokens, _)| *tokens == uncached)?;
        Some(self.reading.swap_remove(i).1)
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
