//! Load balancing over the backend servers of a pool, one attempt at a time.

use crate::Rng;
use crate::bundle::BackendServer;
use crate::ids::{AttemptId, AvailabilityZone, Incarnation, ServerId};
use crate::message::Report;
use crate::policy::Policy;
use crate::predict::Slowdown;
use crate::time::{Span, Time};
use rand_core::Rng as _;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Added to the predicted completion time of a server in another availability zone.
const CROSS_ZONE_PENALTY: Span = Span::from_millis(1);
/// Time for which a server is not chosen after it refused an attempt as down or draining, or
/// interrupted one.
const DOWN_PAUSE: Span = Span::from_secs(1);
/// Maximum number of servers of a pool that one entry uses. It bounds connections and reports, and
/// still leaves several servers after the loss of a zone.
const MAX_SUBSET_SIZE: usize = 24;
/// Number of random candidates compared per choice. Entries share delayed reports, so if each took
/// the best server of the whole pool, all would pick the same one.
const CANDIDATE_COUNT: usize = 3;
/// Slowdown of an attempt on a fully loaded server compared with an idle one, as a fraction of its
/// service time.
const FULL_LOAD_SLOWDOWN: f64 = 0.5;
/// Expected saving from a cached prompt prefix, as a fraction of the service time.
const CACHED_PREFIX_SAVING: f64 = 0.2;
/// Maximum number of prompt prefixes remembered per server.
const MAX_PREFIXES_PER_SERVER: usize = 64;
/// A server is ejected when its slowdown exceeds the pool's median by this factor.
const EJECT_SLOWDOWN: f64 = 2.0;
/// At most one in this many servers of a pool may be ejected.
const MAX_EJECTED_DIVISOR: usize = 3;
/// A probe succeeds if it completes within this multiple of its predicted time, corrected by the
/// pool's median slowdown.
const PROBE_PASS_SLOWDOWN: f64 = 1.5;
/// Consecutive successful probes after which an ejected server is readmitted.
const PROBES_TO_READMIT: u32 = 2;
/// Initial and maximum interval between probes of an ejected server.
const PROBE_INTERVALS: (Span, Span) = (Span::from_secs(1), Span::from_secs(4));
/// An attempt whose estimate exceeds the geometric mean by this factor is ignored when measuring a
/// server's slowdown.
const LONG_ATTEMPT_RATIO: f64 = 6.0;
/// Weight of a new estimate in the moving average of their logarithms.
const ESTIMATE_WEIGHT: f64 = 0.02;

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    sent: Time,
    /// Predicted time from dispatch to the answer.
    expected: Span,
    /// Excluded from the server's slowdown because it is much longer than usual.
    long: bool,
}

/// State of a server that was ejected because it is much slower than the others.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// Earliest time of the next probe.
    next_probe: Time,
    probe_interval: Span,
    /// Consecutive successful probes.
    successes: u32,
}

/// An entry's view of one backend server.
#[derive(Clone, Debug)]
struct Target {
    zone: AvailabilityZone,
    slots: u32,
    /// Attempts sent by this entry that have not ended.
    open_attempts: BTreeMap<AttemptId, OpenAttempt>,
    /// Length of `open_attempts` when the last report arrived.
    reported_open: u32,
    report: Option<Report>,
    /// The server is not chosen before this time.
    paused_until: Time,
    connected: bool,
    leaving: bool,
    slowdown: Slowdown,
    ejection: Option<Ejection>,
    /// Prompt prefixes that the server probably has cached, oldest first.
    prefixes: VecDeque<u64>,
}

/// A chosen server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Server that the attempt should be sent to.
    pub server: ServerId,
    /// Predicted wait at that server.
    pub wait: Span,
}

/// Requirements and hints for choosing a server for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Predicted service time.
    pub estimate: Span,
    /// Digest of the prompt prefix, used for cache affinity.
    pub prefix: Option<u64>,
    /// Servers already used by other attempts of the same stage. They are chosen only if no other
    /// server is available.
    pub avoid: &'a [ServerId],
    /// Whether the attempt may probe an ejected server.
    pub probe: bool,
}

/// Load balancer of an entry for one pool.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    /// Number of attempts sent, used as the round-robin position.
    rr_counter: u64,
    zone: AvailabilityZone,
    /// Seed of the rendezvous hash that selects this router's subset of the pool.
    identity: u64,
    targets: BTreeMap<ServerId, Target>,
    /// Moving average of the natural logarithm of the estimates, in microseconds.
    mean_ln: Option<f64>,
}

impl Router {
    /// Creates a router for an entry in the given zone, with the default policy.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self::with_policy(zone, Policy::default(), 0)
    }

    /// Creates a router for an entry in the given zone, with the given policy. Entries with
    /// different identities use different subsets of a large pool.
    pub fn with_policy(zone: AvailabilityZone, policy: Policy, identity: u64) -> Self {
        Self { policy, rr_counter: 0, zone, identity, targets: BTreeMap::new(), mean_ln: None }
    }

    /// Replaces the pool's servers with those of a bundle. State of servers that remain in the
    /// subset is kept.
    pub fn set_servers(&mut self, servers: &[BackendServer]) {
        let subset = self.subset(servers);
        self.targets.retain(|id, _| subset.iter().any(|server| server.id == *id));
        for server in subset {
            let target = self.targets.entry(server.id.clone());
            let target = target.or_insert_with(|| Target::new(server));
            target.zone = server.zone.clone();
            target.slots = server.slots;
        }
    }

    /// Selects the servers that this entry uses: those with the highest rendezvous hash, at least
    /// half of them from its own zone if there are enough. Adding or removing one server changes at
    /// most one member of the subset.
    fn subset<'a>(&self, servers: &'a [BackendServer]) -> Vec<&'a BackendServer> {
        let mut ranked: Vec<_> = servers.iter().collect();
        ranked.sort_by_cached_key(|server| {
            let mut bytes = server.id.as_str().as_bytes().to_vec();
            bytes.extend(self.identity.to_le_bytes());
            (std::cmp::Reverse(xxh3_64(&bytes)), server.id.clone())
        });
        let (near, far): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|server| server.zone == self.zone);
        let spare = MAX_SUBSET_SIZE.saturating_sub(far.len());
        let near_count = near.len().min(spare.max(MAX_SUBSET_SIZE / 2));
        near.into_iter().take(near_count).chain(far).take(MAX_SUBSET_SIZE).collect()
    }

    /// Servers in this router's subset. The entry connects only to these.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.targets.keys()
    }

    /// Whether a server is in this router's subset.
    pub fn contains(&self, server: &ServerId) -> bool {
        self.targets.contains_key(server)
    }

    /// Chooses the server with the earliest predicted completion from a random sample, or the next
    /// one in turn under the baseline policy. Returns `None` if no server is available.
    pub fn choose(
        &self,
        now: Time,
        rng: &mut Rng,
        requirements: &Requirements<'_>,
    ) -> Option<Choice> {
        let available: Vec<_> = self.targets.iter().filter(|(_, t)| t.is_available(now)).collect();
        let chosen = |(id, target): (&ServerId, &Target)| Choice {
            server: id.clone(),
            wait: target.predicted_wait(requirements.estimate),
        };
        if self.policy == Policy::Baseline {
            let unused = exclude_unless_all(&available, |(id, _)| requirements.avoid.contains(id));
            return self.next_round_robin(&unused).map(chosen);
        }
        if requirements.probe {
            let due = |target: &Target| target.ejection.is_some_and(|e| e.next_probe <= now);
            if let Some((id, target)) = available.iter().find(|(_, target)| due(target)) {
                return Some(chosen((id, target)));
            }
        }
        let unused = exclude_unless_all(&available, |(id, _)| requirements.avoid.contains(id));
        let candidates = exclude_unless_all(&unused, |(_, target)| target.ejection.is_some());
        self.best_of_sample(now, rng, &candidates, requirements).map(chosen)
    }

    fn next_round_robin<'a>(
        &self,
        available: &[(&'a ServerId, &'a Target)],
    ) -> Option<(&'a ServerId, &'a Target)> {
        let index = self.rr_counter.checked_rem(available.len() as u64)?;
        available.get(index as usize).copied()
    }

    fn best_of_sample<'a>(
        &self,
        now: Time,
        rng: &mut Rng,
        available: &[(&'a ServerId, &'a Target)],
        requirements: &Requirements<'_>,
    ) -> Option<(&'a ServerId, &'a Target)> {
        let median = self.median_slowdown(now);
        let mut best: Option<(Span, (&ServerId, &Target))> = None;
        let count = CANDIDATE_COUNT.min(available.len());
        for _ in 0..count {
            let candidate = *available.get((rng.next_u64() % available.len() as u64) as usize)?;
            let cost = self.cost(now, candidate.1, requirements, median);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Predicted time until the answer, if the attempt is sent to `target`.
    fn cost(
        &self,
        now: Time,
        target: &Target,
        requirements: &Requirements<'_>,
        median: f64,
    ) -> Span {
        let wait = target.predicted_wait(requirements.estimate);
        let cached = requirements.prefix.is_some_and(|prefix| target.prefixes.contains(&prefix));
        // Waiting in a queue costs more than the cached prefix saves.
        let gain = if cached && wait == Span::ZERO { CACHED_PREFIX_SAVING } else { 0.0 };
        let slowdown = (target.slowdown(now) / median).max(1.0);
        let service = requirements
            .estimate
            .scale(slowdown * (1.0 + FULL_LOAD_SLOWDOWN * target.load_fraction() - gain));
        let near = target.zone == self.zone;
        wait + service + if near { Span::ZERO } else { CROSS_ZONE_PENALTY }
    }

    /// Median predicted wait over the available servers, for admission control. Returns `None` if
    /// no server is available.
    pub fn median_wait(&self, now: Time, estimate: Span) -> Option<Span> {
        let available = self.targets.values().filter(|t| t.is_available(now));
        let mut waits: Vec<_> = available.map(|t| t.predicted_wait(estimate)).collect();
        waits.sort_unstable();
        waits.get(waits.len() / 2).copied()
    }

    /// Predicted wait at a server for an attempt with this estimate.
    pub fn predicted_wait(&self, server: &ServerId, estimate: Span) -> Span {
        self.targets.get(server).map_or(Span::ZERO, |target| target.predicted_wait(estimate))
    }

    /// Number of attempts sent by this entry that have not ended, over all servers.
    pub fn open_attempts(&self) -> usize {
        self.targets.values().map(|target| target.open_attempts.len()).sum()
    }

    /// Whether a server is ejected, which makes an attempt there a probe.
    pub fn is_ejected(&self, server: &ServerId) -> bool {
        self.targets.get(server).is_some_and(|target| target.ejection.is_some())
    }

    /// Records that an attempt was sent.
    pub fn record_dispatch(
        &mut self,
        now: Time,
        server: &ServerId,
        attempt: AttemptId,
        estimate: Span,
        prefix: Option<u64>,
    ) {
        self.rr_counter += 1;
        let long = self.record_estimate(estimate);
        let Some(target) = self.targets.get_mut(server) else { return };
        let expected = target.predicted_wait(estimate) + estimate;
        target.open_attempts.insert(attempt, OpenAttempt { sent: now, expected, long });
        if let Some(ejection) = &mut target.ejection {
            ejection.next_probe = now + ejection.probe_interval;
        }
        if let Some(prefix) = prefix {
            target.remember_prefix(prefix);
        }
        self.eject_outliers(now);
    }

    /// Removes an attempt that was refused or lost. Its duration does not count towards the
    /// server's slowdown.
    pub fn discard_attempt(&mut self, server: &ServerId, attempt: AttemptId) {
        if let Some(target) = self.targets.get_mut(server) {
            target.open_attempts.remove(&attempt);
        }
    }

    /// Records that an attempt ran to its end, or was cancelled because its result is no longer
    /// needed.
    pub fn record_completion(
        &mut self,
        now: Time,
        server: &ServerId,
        attempt: AttemptId,
        cancelled: bool,
    ) {
        let median = self.median_slowdown(now);
        let Some(target) = self.targets.get_mut(server) else { return };
        let Some(open) = target.open_attempts.remove(&attempt) else { return };
        let elapsed = now.since(open.sent);
        // A cancelled attempt shows slowness only if it was already overdue.
        if open.long || (cancelled && elapsed < open.expected) {
            return;
        }
        target.slowdown.observe(now, elapsed, open.expected);
        let passed = !cancelled && elapsed <= open.expected.scale(PROBE_PASS_SLOWDOWN * median);
        target.record_probe(passed);
        self.eject_outliers(now);
    }

    /// Records that the server's cache added or evicted a prefix. These events may be late or
    /// missing.
    pub fn update_prefix(&mut self, server: &ServerId, prefix: u64, cached: bool) {
        let Some(target) = self.targets.get_mut(server) else { return };
        if cached {
            target.remember_prefix(prefix);
        } else {
            target.prefixes.retain(|other| *other != prefix);
        }
    }

    /// Stores a report. Reports that are older than the last one of the same incarnation are
    /// dropped.
    pub fn record_report(&mut self, server: &ServerId, report: Report) {
        let Some(target) = self.targets.get_mut(server) else { return };
        let newer = target.report.is_none_or(|last| {
            last.incarnation != report.incarnation || last.serial < report.serial
        });
        if newer {
            target.report = Some(report);
            target.reported_open = target.open_count();
        }
    }

    /// Records that the connection to a server's sidecar process opened or closed.
    pub fn set_connected(&mut self, now: Time, server: &ServerId, connected: bool) {
        let Some(target) = self.targets.get_mut(server) else { return };
        target.connected = connected;
        if connected {
            target.paused_until = now;
        } else {
            target.report = None;
            target.ejection = None;
            target.prefixes.clear();
            target.slowdown.reset();
        }
    }

    /// Stops choosing a server for a short time, after it refused an attempt as down or draining, or
    /// interrupted one.
    pub fn pause(&mut self, now: Time, server: &ServerId) {
        if let Some(target) = self.targets.get_mut(server) {
            target.paused_until = now + DOWN_PAUSE;
        }
    }

    /// Records whether the instance list marks the server as leaving.
    pub fn set_leaving(&mut self, server: &ServerId, leaving: bool) {
        if let Some(target) = self.targets.get_mut(server) {
            target.leaving = leaving;
        }
    }

    /// Incarnation of the server's sidecar process, if a report has been received.
    pub fn incarnation(&self, server: &ServerId) -> Option<Incarnation> {
        Some(self.targets.get(server)?.report?.incarnation)
    }

    /// Whether the server can take work and its sidecar process still has the given incarnation.
    pub fn is_available(&self, now: Time, server: &ServerId, incarnation: Incarnation) -> bool {
        self.targets.get(server).is_some_and(|target| {
            target.is_available(now) && target.report.is_some_and(|r| r.incarnation == incarnation)
        })
    }

    /// Ejects servers that are much slower than the median, up to the allowed fraction of the pool.
    fn eject_outliers(&mut self, now: Time) {
        let limit = self.targets.len() / MAX_EJECTED_DIVISOR;
        let mut ejected = self.targets.values().filter(|t| t.ejection.is_some()).count();
        let median = self.median_slowdown(now);
        for target in self.targets.values_mut() {
            if ejected >= limit {
                return;
            }
            if target.ejection.is_none() && target.slowdown(now) > median * EJECT_SLOWDOWN {
                let probe_interval = PROBE_INTERVALS.0;
                target.ejection = Some(Ejection {
                    next_probe: now + probe_interval,
                    probe_interval,
                    successes: 0,
                });
                ejected += 1;
            }
        }
    }

    /// Median slowdown of the connected servers. It is above 1 when most servers are slower than
    /// predicted.
    fn median_slowdown(&self, now: Time) -> f64 {
        let connected = self.targets.values().filter(|target| target.connected);
        let mut slowdowns: Vec<_> = connected.map(|target| target.slowdown(now)).collect();
        slowdowns.sort_unstable_by(f64::total_cmp);
        slowdowns.get(slowdowns.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
    }

    /// Updates the average of the estimates and returns whether this one is much longer than the
    /// average before it.
    fn record_estimate(&mut self, estimate: Span) -> bool {
        let log = (estimate.0.max(1) as f64).ln();
        let last = self.mean_ln.unwrap_or(log);
        self.mean_ln = Some(last + (log - last) * ESTIMATE_WEIGHT);
        log > last + LONG_ATTEMPT_RATIO.ln()
    }
}

/// Returns the elements that `bad` does not match, or all elements if it matches every one.
fn exclude_unless_all<T: Copy>(all: &[T], bad: impl Fn(&T) -> bool) -> Vec<T> {
    let good: Vec<_> = all.iter().copied().filter(|item| !bad(item)).collect();
    if good.is_empty() { all.to_vec() } else { good }
}

impl Target {
    fn new(server: &BackendServer) -> Self {
        Self {
            zone: server.zone.clone(),
            slots: server.slots,
            open_attempts: BTreeMap::new(),
            reported_open: 0,
            report: None,
            paused_until: Time(0),
            connected: false,
            leaving: false,
            slowdown: Slowdown::default(),
            ejection: None,
            prefixes: VecDeque::new(),
        }
    }

    fn is_available(&self, now: Time) -> bool {
        let draining = self.report.is_some_and(|report| report.draining);
        self.connected && !self.leaving && !draining && now >= self.paused_until
    }

    fn open_count(&self) -> u32 {
        self.open_attempts.len() as u32
    }

    /// Observed time as a multiple of the predicted time. Open attempts count by how long they are
    /// overdue.
    fn slowdown(&self, now: Time) -> f64 {
        let open = self.open_attempts.values().filter(|open| !open.long);
        let late = open
            .fold(Span::ZERO, |sum, open| sum + now.since(open.sent).saturating_sub(open.expected));
        self.slowdown.value(now, late)
    }

    /// Estimated fraction of the server's slots in use.
    fn load_fraction(&self) -> f64 {
        let limit = f64::from(self.report.map_or(self.slots, |report| report.limit).max(1));
        let running = self.report.map_or(0, |report| report.running);
        let since = f64::from(self.open_count()) - f64::from(self.reported_open);
        ((f64::from(running) + since) / limit).clamp(0.0, 1.0)
    }

    /// Reported wait, corrected for attempts sent since the report.
    fn predicted_wait(&self, estimate: Span) -> Span {
        let limit = self.report.map_or(self.slots, |report| report.limit).max(1);
        let since = self.open_count().saturating_sub(self.reported_open);
        let (wait, free) = match self.report {
            Some(report) => (report.wait, report.limit.saturating_sub(report.running)),
            None => (Span::ZERO, self.slots),
        };
        let over = (since + 1).saturating_sub(free);
        wait + Span(estimate.0.saturating_mul(u64::from(over)) / u64::from(limit))
    }

    /// Records the result of a probe and readmits the server after enough consecutive successes.
    fn record_probe(&mut self, passed: bool) {
        let Some(ejection) = &mut self.ejection else { return };
        if passed {
            ejection.successes += 1;
            ejection.probe_interval = PROBE_INTERVALS.0;
        } else {
            ejection.successes = 0;
            ejection.probe_interval = (ejection.probe_interval * 2).min(PROBE_INTERVALS.1);
        }
        if ejection.successes >= PROBES_TO_READMIT {
            self.ejection = None;
            self.slowdown.reset();
        }
    }

    fn remember_prefix(&mut self, prefix: u64) {
        self.prefixes.retain(|other| *other != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES_PER_SERVER {
            self.prefixes.pop_front();
        }
    }
}
