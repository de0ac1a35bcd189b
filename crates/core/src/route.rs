//! Choice of a backend server in a pool.

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

/// Added to the expected completion in another availability zone.
const CROSS_ZONE_PENALTY: Span = Span::from_millis(1);
/// How long a server that lost its connection or refused as down is not chosen.
const DOWN_PAUSE: Span = Span::from_secs(1);
/// Servers of a pool that one entry uses at most. Bounds connections and reports; enough that the
/// loss of a zone leaves several.
const MAX_SUBSET_SIZE: usize = 24;
/// Random candidates that are compared. Entries share late reports: if all took the best of the whole
/// pool, they would all take the same one.
const CANDIDATE_COUNT: usize = 3;
/// Part of its service time by which an attempt is slowed on a full server compared with an idle one.
const FULL_LOAD_SLOWDOWN: f64 = 0.5;
/// Part of its service time that a kept prefix is expected to save.
const CACHED_PREFIX_SAVING: f64 = 0.2;
/// Prefixes remembered per server.
const MAX_PREFIXES_PER_SERVER: usize = 64;
/// A server this many times slower than the pool's median is ejected.
const EJECT_SLOWDOWN: f64 = 2.0;
/// Greatest part of a pool that may be ejected: one in this many.
const MAX_EJECTED_DIVISOR: usize = 3;
/// An ejected server that answers a probe within this many times the predicted time did well.
const PROBE_PASS_SLOWDOWN: f64 = 1.5;
/// Probes in a row that must do well before a server comes back.
const PROBES_TO_READMIT: u32 = 2;
/// First and longest time between probes of an ejected server.
const PROBE_INTERVALS: (Span, Span) = (Span::from_secs(1), Span::from_secs(4));
/// An attempt this many times the length of the typical one says nothing about a server's pace.
const LONG_ATTEMPT_RATIO: f64 = 6.0;
/// Weight of a new attempt in the typical length.
const ESTIMATE_WEIGHT: f64 = 0.02;

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    sent: Time,
    /// Predicted time until its answer.
    expected: Span,
    /// Too long to say anything about the server's pace.
    long: bool,
}

/// A server that is much slower than the others.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// When the next probe may be sent.
    next_probe: Time,
    probe_interval: Span,
    /// Probes in a row that did well.
    successes: u32,
}

/// What an entry knows about one backend server.
#[derive(Clone, Debug)]
struct Target {
    zone: AvailabilityZone,
    slots: u32,
    /// Attempts sent from here that have not ended.
    open_attempts: BTreeMap<AttemptId, OpenAttempt>,
    /// Number of them at the time of the last report.
    reported_open: u32,
    report: Option<Report>,
    /// Not chosen before.
    paused_until: Time,
    connected: bool,
    leaving: bool,
    slowdown: Slowdown,
    ejection: Option<Ejection>,
    /// Prefixes that the server probably keeps, oldest first.
    prefixes: VecDeque<u64>,
}

/// The server that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Where to send the attempt.
    pub server: ServerId,
    /// Predicted wait there.
    pub wait: Span,
}

/// What an attempt needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Predicted service time.
    pub estimate: Span,
    /// Digest of the prompt prefix, for affinity.
    pub prefix: Option<u64>,
    /// Servers that other attempts of the same stage use or used.
    pub avoid: &'a [ServerId],
    /// Whether it may go to a slow server, to see if that has recovered.
    pub probe: bool,
}

/// An entry's view of one pool.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    /// Attempts sent so far; the turn of round robin.
    rr_counter: u64,
    zone: AvailabilityZone,
    /// Which subset of the servers this router uses.
    identity: u64,
    targets: BTreeMap<ServerId, Target>,
    /// Mean logarithm of the estimates seen.
    mean_ln: Option<f64>,
}

impl Router {
    /// A router for an entry in the given zone.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self::with_policy(zone, Policy::default(), 0)
    }

    /// A router for an entry in the given zone, under the given policy. Entries with different
    /// identities use different subsets of a large pool.
    pub fn with_policy(zone: AvailabilityZone, policy: Policy, identity: u64) -> Self {
        Self { policy, rr_counter: 0, zone, identity, targets: BTreeMap::new(), mean_ln: None }
    }

    /// Takes the pool's servers from a bundle; what is known about those that stay is kept.
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

    /// The servers that this entry uses: those with the highest rendezvous hash, half of them from
    /// its own zone. A server that comes or goes changes at most one place.
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

    /// The servers that this router uses; an entry connects to no others.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.targets.keys()
    }

    /// Whether this router uses a server.
    pub fn contains(&self, server: &ServerId) -> bool {
        self.targets.contains_key(server)
    }

    /// Chooses the server with the earliest expected completion among a few random ones.
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

    /// Predicted time until the answer.
    fn cost(
        &self,
        now: Time,
        target: &Target,
        requirements: &Requirements<'_>,
        median: f64,
    ) -> Span {
        let wait = target.predicted_wait(requirements.estimate);
        let kept = requirements.prefix.is_some_and(|prefix| target.prefixes.contains(&prefix));
        // A kept prefix is not worth a queue.
        let gain = if kept && wait == Span::ZERO { CACHED_PREFIX_SAVING } else { 0.0 };
        let slowdown = (target.slowdown(now) / median).max(1.0);
        let service = requirements
            .estimate
            .scale(slowdown * (1.0 + FULL_LOAD_SLOWDOWN * target.load_fraction() - gain));
        let near = target.zone == self.zone;
        wait + service + if near { Span::ZERO } else { CROSS_ZONE_PENALTY }
    }

    /// The median predicted wait in the pool, for admission. `None`: no server can take work.
    pub fn median_wait(&self, now: Time, estimate: Span) -> Option<Span> {
        let available = self.targets.values().filter(|t| t.is_available(now));
        let mut waits: Vec<_> = available.map(|t| t.predicted_wait(estimate)).collect();
        waits.sort_unstable();
        waits.get(waits.len() / 2).copied()
    }

    /// Predicted wait at a server.
    pub fn predicted_wait(&self, server: &ServerId, estimate: Span) -> Span {
        self.targets.get(server).map_or(Span::ZERO, |target| target.predicted_wait(estimate))
    }

    /// Attempts sent from here that have not ended, at all servers.
    pub fn open_attempts(&self) -> usize {
        self.targets.values().map(|target| target.open_attempts.len()).sum()
    }

    /// Whether a server is ejected, so that an attempt there is a probe.
    pub fn is_ejected(&self, server: &ServerId) -> bool {
        self.targets.get(server).is_some_and(|target| target.ejection.is_some())
    }

    /// An attempt was sent.
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

    /// An attempt was refused or lost: it says nothing about the server's pace.
    pub fn discard_attempt(&mut self, server: &ServerId, attempt: AttemptId) {
        if let Some(target) = self.targets.get_mut(server) {
            target.open_attempts.remove(&attempt);
        }
    }

    /// An attempt ran to its end, or (`cancelled`) for as long as it was wanted.
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
        // A cancelled attempt that was not late tells nothing.
        if open.long || (cancelled && elapsed < open.expected) {
            return;
        }
        target.slowdown.observe(now, elapsed, open.expected);
        let passed = !cancelled && elapsed <= open.expected.scale(PROBE_PASS_SLOWDOWN * median);
        target.record_probe(passed);
        self.eject_outliers(now);
    }

    /// The server's cache took up or dropped a prefix. Such events come late and with gaps.
    pub fn update_prefix(&mut self, server: &ServerId, prefix: u64, kept: bool) {
        let Some(target) = self.targets.get_mut(server) else { return };
        if kept {
            target.remember_prefix(prefix);
        } else {
            target.prefixes.retain(|other| *other != prefix);
        }
    }

    /// A report arrived. Older ones of the same incarnation are dropped.
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

    /// The connection to a side opened or closed.
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

    /// The server refused as down: it is not chosen for a moment.
    pub fn pause(&mut self, now: Time, server: &ServerId) {
        if let Some(target) = self.targets.get_mut(server) {
            target.paused_until = now + DOWN_PAUSE;
        }
    }

    /// The instance list says that the server is leaving, or no longer.
    pub fn set_leaving(&mut self, server: &ServerId, leaving: bool) {
        if let Some(target) = self.targets.get_mut(server) {
            target.leaving = leaving;
        }
    }

    /// The run of a server's side process, when a report has told it.
    pub fn incarnation(&self, server: &ServerId) -> Option<Incarnation> {
        Some(self.targets.get(server)?.report?.incarnation)
    }

    /// Whether a server can take work and its side still is the given run.
    pub fn is_available(&self, now: Time, server: &ServerId, incarnation: Incarnation) -> bool {
        self.targets.get(server).is_some_and(|target| {
            target.is_available(now) && target.report.is_some_and(|r| r.incarnation == incarnation)
        })
    }

    /// Ejects servers that are much slower than the median, never more than a part of the pool.
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

    /// The usual pace; more than 1 when all servers are slower than predicted.
    fn median_slowdown(&self, now: Time) -> f64 {
        let connected = self.targets.values().filter(|target| target.connected);
        let mut slowdowns: Vec<_> = connected.map(|target| target.slowdown(now)).collect();
        slowdowns.sort_unstable_by(f64::total_cmp);
        slowdowns.get(slowdowns.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
    }

    /// Takes an estimate into the typical one; says whether it is much longer.
    fn record_estimate(&mut self, estimate: Span) -> bool {
        let log = (estimate.0.max(1) as f64).ln();
        let last = self.mean_ln.unwrap_or(log);
        self.mean_ln = Some(last + (log - last) * ESTIMATE_WEIGHT);
        log > last + LONG_ATTEMPT_RATIO.ln()
    }
}

/// The elements for which `bad` does not hold, or all if it holds for each.
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

    /// Observed time as a multiple of the predicted one. Open attempts count for what they are late.
    fn slowdown(&self, now: Time) -> f64 {
        let open = self.open_attempts.values().filter(|open| !open.long);
        let late = open
            .fold(Span::ZERO, |sum, open| sum + now.since(open.sent).saturating_sub(open.expected));
        self.slowdown.value(now, late)
    }

    /// Part of the slots that is taken, as far as is known.
    fn load_fraction(&self) -> f64 {
        let limit = f64::from(self.report.map_or(self.slots, |report| report.limit).max(1));
        let running = self.report.map_or(0, |report| report.running);
        let since = f64::from(self.open_count()) - f64::from(self.reported_open);
        ((f64::from(running) + since) / limit).clamp(0.0, 1.0)
    }

    /// Reported wait, corrected by what was sent since.
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

    /// A probe ended: the server comes back after a few that did well.
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
