//! Choice of a backend server in a pool.

use crate::Rng;
use crate::bundle::BackendServer;
use crate::ids::{AttemptId, AvailabilityZone, Incarnation, ServerId};
use crate::message::Report;
use crate::policy::Policy;
use crate::predict::Pace;
use crate::time::{Span, Time};
use rand_core::Rng as _;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Added to the expected completion in another availability zone.
const ZONE_PENALTY: Span = Span::from_millis(1);
/// How long a server that lost its connection or refused as down is not chosen.
const DOWN_PAUSE: Span = Span::from_secs(1);
/// Servers of a pool that one entry uses at most. Bounds connections and reports; enough that the
/// loss of a zone leaves several.
const SUBSET_MAX: usize = 24;
/// Random candidates that are compared. Entries share late reports: if all took the best of the whole
/// pool, they would all take the same one.
const CANDIDATES: usize = 3;
/// Part of its service time by which an attempt is slowed on a full server compared with an idle one.
const CROWD_COST: f64 = 0.5;
/// Part of its service time that a kept prefix is expected to save.
const PREFIX_GAIN: f64 = 0.2;
/// Prefixes remembered per server.
const PREFIXES_MAX: usize = 64;
/// A server this many times slower than the pool's median is ejected.
const EJECT_PACE: f64 = 2.0;
/// Greatest part of a pool that may be ejected: one in this many.
const EJECT_PART: usize = 3;
/// An ejected server that answers a probe within this many times the predicted time did well.
const PROBE_PACE: f64 = 1.5;
/// Probes in a row that must do well before a server comes back.
const PROBES_GOOD: u32 = 2;
/// First and longest time between probes of an ejected server.
const PROBE_TIMES: (Span, Span) = (Span::from_secs(1), Span::from_secs(4));
/// An attempt this many times the length of the typical one says nothing about a server's pace.
const LONG_FACTOR: f64 = 6.0;
/// Weight of a new attempt in the typical length.
const TYPICAL_WEIGHT: f64 = 0.02;

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
struct Open {
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
    next: Time,
    gap: Span,
    /// Probes in a row that did well.
    good: u32,
}

/// What an entry knows about one backend server.
#[derive(Clone, Debug)]
struct Target {
    zone: AvailabilityZone,
    slots: u32,
    /// Attempts sent from here that have not ended.
    open: BTreeMap<AttemptId, Open>,
    /// Number of them at the time of the last report.
    sent_then: u32,
    report: Option<Report>,
    /// Not chosen before.
    paused: Time,
    connected: bool,
    leaving: bool,
    pace: Pace,
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
pub struct Need<'a> {
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
    turn: u64,
    zone: AvailabilityZone,
    /// Which subset of the servers this router uses.
    identity: u64,
    targets: BTreeMap<ServerId, Target>,
    /// Mean logarithm of the estimates seen.
    typical: Option<f64>,
}

impl Router {
    /// A router for an entry in the given zone.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self::with_policy(zone, Policy::default(), 0)
    }

    /// A router for an entry in the given zone, under the given policy. Entries with different
    /// identities use different subsets of a large pool.
    pub fn with_policy(zone: AvailabilityZone, policy: Policy, identity: u64) -> Self {
        Self { policy, turn: 0, zone, identity, targets: BTreeMap::new(), typical: None }
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
        let spare = SUBSET_MAX.saturating_sub(far.len());
        let near_count = near.len().min(spare.max(SUBSET_MAX / 2));
        near.into_iter().take(near_count).chain(far).take(SUBSET_MAX).collect()
    }

    /// The servers that this router uses; an entry connects to no others.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.targets.keys()
    }

    /// Whether this router uses a server.
    pub fn uses(&self, server: &ServerId) -> bool {
        self.targets.contains_key(server)
    }

    /// Chooses the server with the earliest expected completion among a few random ones.
    pub fn choose(&self, now: Time, rng: &mut Rng, need: &Need<'_>) -> Option<Choice> {
        let open: Vec<_> = self.targets.iter().filter(|(_, t)| t.open(now)).collect();
        let chosen = |(id, target): (&ServerId, &Target)| Choice {
            server: id.clone(),
            wait: target.wait(need.estimate),
        };
        if self.policy == Policy::Baseline {
            let fresh = without(&open, |(id, _)| need.avoid.contains(id));
            return self.in_turn(&fresh).map(chosen);
        }
        if need.probe {
            let due = |target: &Target| target.ejection.is_some_and(|e| e.next <= now);
            if let Some((id, target)) = open.iter().find(|(_, target)| due(target)) {
                return Some(chosen((id, target)));
            }
        }
        let fresh = without(&open, |(id, _)| need.avoid.contains(id));
        let fast = without(&fresh, |(_, target)| target.ejection.is_some());
        self.best_of_few(now, rng, &fast, need).map(chosen)
    }

    fn in_turn<'a>(
        &self,
        open: &[(&'a ServerId, &'a Target)],
    ) -> Option<(&'a ServerId, &'a Target)> {
        let turn = self.turn.checked_rem(open.len() as u64)?;
        open.get(turn as usize).copied()
    }

    fn best_of_few<'a>(
        &self,
        now: Time,
        rng: &mut Rng,
        open: &[(&'a ServerId, &'a Target)],
        need: &Need<'_>,
    ) -> Option<(&'a ServerId, &'a Target)> {
        let median = self.median_pace(now);
        let mut best: Option<(Span, (&ServerId, &Target))> = None;
        let count = CANDIDATES.min(open.len());
        for _ in 0..count {
            let candidate = *open.get((rng.next_u64() % open.len() as u64) as usize)?;
            let cost = self.cost(now, candidate.1, need, median);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Predicted time until the answer.
    fn cost(&self, now: Time, target: &Target, need: &Need<'_>, median: f64) -> Span {
        let wait = target.wait(need.estimate);
        let kept = need.prefix.is_some_and(|prefix| target.prefixes.contains(&prefix));
        // A kept prefix is not worth a queue.
        let gain = if kept && wait == Span::ZERO { PREFIX_GAIN } else { 0.0 };
        let pace = (target.pace(now) / median).max(1.0);
        let service = need.estimate.scale(pace * (1.0 + CROWD_COST * target.crowd() - gain));
        let near = target.zone == self.zone;
        wait + service + if near { Span::ZERO } else { ZONE_PENALTY }
    }

    /// The median predicted wait in the pool, for admission. `None`: no server can take work.
    pub fn usual_wait(&self, now: Time, estimate: Span) -> Option<Span> {
        let open = self.targets.values().filter(|t| t.open(now));
        let mut waits: Vec<_> = open.map(|t| t.wait(estimate)).collect();
        waits.sort_unstable();
        waits.get(waits.len() / 2).copied()
    }

    /// Predicted wait at a server.
    pub fn wait(&self, server: &ServerId, estimate: Span) -> Span {
        self.targets.get(server).map_or(Span::ZERO, |target| target.wait(estimate))
    }

    /// Attempts sent from here that have not ended, at all servers.
    pub fn open(&self) -> usize {
        self.targets.values().map(|target| target.open.len()).sum()
    }

    /// Whether a server is ejected, so that an attempt there is a probe.
    pub fn is_ejected(&self, server: &ServerId) -> bool {
        self.targets.get(server).is_some_and(|target| target.ejection.is_some())
    }

    /// An attempt was sent.
    pub fn sent(
        &mut self,
        now: Time,
        server: &ServerId,
        attempt: AttemptId,
        estimate: Span,
        prefix: Option<u64>,
    ) {
        self.turn += 1;
        let long = self.learn_typical(estimate);
        let Some(target) = self.targets.get_mut(server) else { return };
        let expected = target.wait(estimate) + estimate;
        target.open.insert(attempt, Open { sent: now, expected, long });
        if let Some(ejection) = &mut target.ejection {
            ejection.next = now + ejection.gap;
        }
        if let Some(prefix) = prefix {
            target.keep(prefix);
        }
        self.review(now);
    }

    /// An attempt was refused or lost: it says nothing about the server's pace.
    pub fn ended(&mut self, server: &ServerId, attempt: AttemptId) {
        if let Some(target) = self.targets.get_mut(server) {
            target.open.remove(&attempt);
        }
    }

    /// An attempt ran to its end, or (`cancelled`) for as long as it was wanted.
    pub fn ran(&mut self, now: Time, server: &ServerId, attempt: AttemptId, cancelled: bool) {
        let median = self.median_pace(now);
        let Some(target) = self.targets.get_mut(server) else { return };
        let Some(open) = target.open.remove(&attempt) else { return };
        let seen = now.since(open.sent);
        // A cancelled attempt that was not late tells nothing.
        if open.long || (cancelled && seen < open.expected) {
            return;
        }
        target.pace.observe(now, seen, open.expected);
        let good = !cancelled && seen <= open.expected.scale(PROBE_PACE * median);
        target.probed(good);
        self.review(now);
    }

    /// The server's cache took up or dropped a prefix. Such events come late and with gaps.
    pub fn cached(&mut self, server: &ServerId, prefix: u64, kept: bool) {
        let Some(target) = self.targets.get_mut(server) else { return };
        if kept {
            target.keep(prefix);
        } else {
            target.prefixes.retain(|other| *other != prefix);
        }
    }

    /// A report arrived. Older ones of the same incarnation are dropped.
    pub fn report(&mut self, server: &ServerId, report: Report) {
        let Some(target) = self.targets.get_mut(server) else { return };
        let newer = target.report.is_none_or(|last| {
            last.incarnation != report.incarnation || last.serial < report.serial
        });
        if newer {
            target.report = Some(report);
            target.sent_then = target.sent();
        }
    }

    /// The connection to a side opened or closed.
    pub fn connected(&mut self, now: Time, server: &ServerId, connected: bool) {
        let Some(target) = self.targets.get_mut(server) else { return };
        target.connected = connected;
        if connected {
            target.paused = now;
        } else {
            target.report = None;
            target.ejection = None;
            target.prefixes.clear();
            target.pace.reset();
        }
    }

    /// The server refused as down: it is not chosen for a moment.
    pub fn pause(&mut self, now: Time, server: &ServerId) {
        if let Some(target) = self.targets.get_mut(server) {
            target.paused = now + DOWN_PAUSE;
        }
    }

    /// The instance list says that the server is leaving, or no longer.
    pub fn leaving(&mut self, server: &ServerId, leaving: bool) {
        if let Some(target) = self.targets.get_mut(server) {
            target.leaving = leaving;
        }
    }

    /// The run of a server's side process, when a report has told it.
    pub fn incarnation(&self, server: &ServerId) -> Option<Incarnation> {
        Some(self.targets.get(server)?.report?.incarnation)
    }

    /// Whether a server can take work and its side still is the given run.
    pub fn is_open(&self, now: Time, server: &ServerId, incarnation: Incarnation) -> bool {
        self.targets.get(server).is_some_and(|target| {
            target.open(now) && target.report.is_some_and(|r| r.incarnation == incarnation)
        })
    }

    /// Ejects servers that are much slower than the median, never more than a part of the pool.
    fn review(&mut self, now: Time) {
        let limit = self.targets.len() / EJECT_PART;
        let mut ejected = self.targets.values().filter(|t| t.ejection.is_some()).count();
        let median = self.median_pace(now);
        for target in self.targets.values_mut() {
            if ejected >= limit {
                return;
            }
            if target.ejection.is_none() && target.pace(now) > median * EJECT_PACE {
                let gap = PROBE_TIMES.0;
                target.ejection = Some(Ejection { next: now + gap, gap, good: 0 });
                ejected += 1;
            }
        }
    }

    /// The usual pace; more than 1 when all servers are slower than predicted.
    fn median_pace(&self, now: Time) -> f64 {
        let connected = self.targets.values().filter(|target| target.connected);
        let mut paces: Vec<_> = connected.map(|target| target.pace(now)).collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
    }

    /// Takes an estimate into the typical one; says whether it is much longer.
    fn learn_typical(&mut self, estimate: Span) -> bool {
        let log = (estimate.0.max(1) as f64).ln();
        let last = self.typical.unwrap_or(log);
        self.typical = Some(last + (log - last) * TYPICAL_WEIGHT);
        log > last + LONG_FACTOR.ln()
    }
}

/// The elements for which `bad` does not hold, or all if it holds for each.
fn without<T: Copy>(all: &[T], bad: impl Fn(&T) -> bool) -> Vec<T> {
    let good: Vec<_> = all.iter().copied().filter(|item| !bad(item)).collect();
    if good.is_empty() { all.to_vec() } else { good }
}

impl Target {
    fn new(server: &BackendServer) -> Self {
        Self {
            zone: server.zone.clone(),
            slots: server.slots,
            open: BTreeMap::new(),
            sent_then: 0,
            report: None,
            paused: Time(0),
            connected: false,
            leaving: false,
            pace: Pace::default(),
            ejection: None,
            prefixes: VecDeque::new(),
        }
    }

    fn open(&self, now: Time) -> bool {
        let draining = self.report.is_some_and(|report| report.draining);
        self.connected && !self.leaving && !draining && now >= self.paused
    }

    fn sent(&self) -> u32 {
        self.open.len() as u32
    }

    /// Observed time as a multiple of the predicted one. Open attempts count for what they are late.
    fn pace(&self, now: Time) -> f64 {
        let open = self.open.values().filter(|open| !open.long);
        let late = open
            .fold(Span::ZERO, |sum, open| sum + now.since(open.sent).saturating_sub(open.expected));
        self.pace.value(now, late)
    }

    /// Part of the slots that is taken, as far as is known.
    fn crowd(&self) -> f64 {
        let limit = f64::from(self.report.map_or(self.slots, |report| report.limit).max(1));
        let running = self.report.map_or(0, |report| report.running);
        let since = f64::from(self.sent()) - f64::from(self.sent_then);
        ((f64::from(running) + since) / limit).clamp(0.0, 1.0)
    }

    /// Reported wait, corrected by what was sent since.
    fn wait(&self, estimate: Span) -> Span {
        let limit = self.report.map_or(self.slots, |report| report.limit).max(1);
        let since = self.sent().saturating_sub(self.sent_then);
        let (wait, free) = match self.report {
            Some(report) => (report.wait, report.limit.saturating_sub(report.running)),
            None => (Span::ZERO, self.slots),
        };
        let over = (since + 1).saturating_sub(free);
        wait + Span(estimate.0.saturating_mul(u64::from(over)) / u64::from(limit))
    }

    /// A probe ended: the server comes back after a few that did well.
    fn probed(&mut self, good: bool) {
        let Some(ejection) = &mut self.ejection else { return };
        if good {
            ejection.good += 1;
            ejection.gap = PROBE_TIMES.0;
        } else {
            ejection.good = 0;
            ejection.gap = (ejection.gap * 2).min(PROBE_TIMES.1);
        }
        if ejection.good >= PROBES_GOOD {
            self.ejection = None;
            self.pace.reset();
        }
    }

    fn keep(&mut self, prefix: u64) {
        self.prefixes.retain(|other| *other != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES_MAX {
            self.prefixes.pop_front();
        }
    }
}
