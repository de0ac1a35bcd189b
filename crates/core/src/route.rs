//! Choice of a backend server in a pool.

use crate::Rng;
use crate::bundle::BackendServer;
use crate::ids::{AvailabilityZone, Incarnation, ServerId};
use crate::message::Report;
use crate::policy::Policy;
use crate::time::{Span, Time};
use rand_core::Rng as _;
use std::collections::BTreeMap;

/// Added to the expected completion in another availability zone.
const ZONE_PENALTY: Span = Span::from_millis(1);
/// How long a server that lost its connection or refused as down is not chosen.
const DOWN_PAUSE: Span = Span::from_secs(1);

/// What an entry knows about one backend server.
#[derive(Clone, Debug)]
struct Target {
    zone: AvailabilityZone,
    slots: u32,
    /// Attempts sent from here that have not ended.
    sent: u32,
    /// `sent` at the time of the last report.
    sent_then: u32,
    report: Option<Report>,
    /// Not chosen before.
    paused: Time,
    connected: bool,
    leaving: bool,
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
}

/// An entry's view of one pool.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    /// Attempts sent so far; the turn of round robin.
    turn: u64,
    zone: AvailabilityZone,
    targets: BTreeMap<ServerId, Target>,
}

impl Router {
    /// A router for an entry in the given zone.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self::with_policy(zone, Policy::default())
    }

    /// A router for an entry in the given zone, under the given policy.
    pub fn with_policy(zone: AvailabilityZone, policy: Policy) -> Self {
        Self { policy, turn: 0, zone, targets: BTreeMap::new() }
    }

    /// Takes the pool's servers from a bundle; what is known about those that stay is kept.
    pub fn set_servers(&mut self, servers: &[BackendServer]) {
        self.targets.retain(|id, _| servers.iter().any(|server| server.id == *id));
        for server in servers {
            self.targets.entry(server.id.clone()).or_insert_with(|| Target {
                zone: server.zone.clone(),
                slots: server.slots,
                sent: 0,
                sent_then: 0,
                report: None,
                paused: Time(0),
                connected: false,
                leaving: false,
            });
        }
    }

    /// Chooses the better of two random candidates by expected completion.
    pub fn choose(&self, now: Time, rng: &mut Rng, need: &Need<'_>) -> Option<Choice> {
        let open: Vec<_> = self.targets.iter().filter(|(_, t)| t.open(now)).collect();
        let fresh: Vec<_> =
            open.iter().filter(|(id, _)| !need.avoid.contains(id)).copied().collect();
        let open = if fresh.is_empty() { open } else { fresh };
        if open.is_empty() {
            return None;
        }
        if self.policy == Policy::Baseline {
            let (id, target) = open[(self.turn % open.len() as u64) as usize];
            return Some(Choice { server: id.clone(), wait: target.wait(need.estimate) });
        }
        let mut pick = || open[(rng.next_u64() % open.len() as u64) as usize];
        let (first, second) = (pick(), pick());
        let cost = |target: &Target| self.cost(target, need.estimate);
        let (id, target) = if cost(second.1) < cost(first.1) { second } else { first };
        Some(Choice { server: id.clone(), wait: target.wait(need.estimate) })
    }

    /// Predicted wait at a server.
    pub fn wait(&self, server: &ServerId, estimate: Span) -> Span {
        self.targets.get(server).map_or(Span::ZERO, |target| target.wait(estimate))
    }

    /// The median predicted wait in the pool, for admission. `None`: no server can take work.
    pub fn usual_wait(&self, now: Time, estimate: Span) -> Option<Span> {
        let open = self.targets.values().filter(|t| t.open(now));
        let mut waits: Vec<_> = open.map(|t| t.wait(estimate)).collect();
        waits.sort_unstable();
        waits.get(waits.len() / 2).copied()
    }

    /// An attempt was sent.
    pub fn sent(&mut self, server: &ServerId) {
        self.turn += 1;
        if let Some(target) = self.targets.get_mut(server) {
            target.sent += 1;
        }
    }

    /// An attempt ended in any way.
    pub fn ended(&mut self, server: &ServerId) {
        if let Some(target) = self.targets.get_mut(server) {
            target.sent = target.sent.saturating_sub(1);
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
            target.sent_then = target.sent;
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

    fn cost(&self, target: &Target, estimate: Span) -> Span {
        let near = target.zone == self.zone;
        target.wait(estimate) + if near { Span::ZERO } else { ZONE_PENALTY }
    }
}

impl Target {
    fn open(&self, now: Time) -> bool {
        let draining = self.report.is_some_and(|report| report.draining);
        self.connected && !self.leaving && !draining && now >= self.paused
    }

    /// Reported wait, corrected by what was sent since.
    fn wait(&self, estimate: Span) -> Span {
        let limit = self.report.map_or(self.slots, |report| report.limit).max(1);
        let since = self.sent.saturating_sub(self.sent_then);
        let (wait, free) = match self.report {
            Some(report) => (report.wait, report.limit.saturating_sub(report.running)),
            None => (Span::ZERO, self.slots),
        };
        let over = (since + 1).saturating_sub(free);
        wait + Span(estimate.0 * u64::from(over) / u64::from(limit))
    }
}
