//! Approval of bundles and their distribution from node to node.

use crate::language::Expectation;
use crate::world::{Event, STORE_LATENCY, STORE_TIMEOUT, Simulation, build_bundle, incarnation};
use damaskweir_core::epoch::{EpochAction, Source};
use damaskweir_core::prelude::*;
use std::sync::Arc;

impl Simulation<'_> {
    pub(crate) fn approve(&mut self, bundle: String, base: Version, retry: bool) {
        let own_approval = self.store.authors.get(&Version(base.0 + 1)) == Some(&bundle);
        if self.store.down {
            self.trace(format!("approval of {bundle} refused: the store is down"));
        } else if retry && own_approval {
            self.trace(format!("approval of {bundle} recognised by its digest"));
        } else if self.store.manifest != base {
            self.trace(format!("approval of {bundle} did not take effect: overtaken"));
        } else {
            let version = Version(base.0 + 1);
            self.approvals += 1;
            self.store.manifest = version;
            self.store.authors.insert(version, bundle.clone());
            self.trace(format!("{bundle} accepted as version {version}"));
            for expectation in &self.scenario.expectations {
                if let Expectation::InForce(within) = expectation {
                    self.schedule_after(*within, Event::CheckInForce(version, self.now, *within));
                }
            }
            // At most two entries watch the store.
            for to in 0..self.hosts.len().min(2) {
                let (generation, source) = (self.nodes[to].generation, Source::Store);
                let delay = self.network_delay() + self.store.delay;
                self.schedule_after(delay, Event::Advertise { to, generation, source, version });
            }
            if std::mem::take(&mut self.store.lose_answer) {
                self.schedule_after(STORE_TIMEOUT, Event::Approve { bundle, base, retry: true });
            }
        }
    }

    pub(crate) fn epoch_actions(&mut self, node: usize, actions: Vec<EpochAction>) {
        let generation = self.nodes[node].generation;
        for action in actions {
            match action {
                EpochAction::Pull(source, _) => {
                    let delay = self.network_delay() + self.network_delay();
                    let version = match source {
                        Source::Store => (!self.store.down).then_some(self.store.manifest),
                        Source::Peer(peer) => {
                            self.live_peer(peer).map(|n| self.nodes[n].epoch.current())
                        }
                    };
                    self.schedule_after(
                        delay,
                        Event::Pulled { to: node, generation, source, version },
                    );
                }
                EpochAction::Poll => {
                    let version = (!self.store.down).then_some(self.store.manifest);
                    let delay = STORE_LATENCY + self.store.delay;
                    self.schedule_after(delay, Event::Polled { to: node, generation, version });
                }
                EpochAction::Watch | EpochAction::Unwatch => {}
            }
        }
        self.record_version(node);
        let next = self.nodes[node].epoch.next_tick().max(self.now);
        if self.nodes[node].next_tick.is_none_or(|at| next < at) {
            self.nodes[node].next_tick = Some(next);
            self.schedule(next, Event::NodeTick(node));
        }
    }

    pub(crate) fn live_peer(&self, peer: Incarnation) -> Option<usize> {
        let found = |i: &usize| incarnation(*i, self.nodes[*i].generation) == peer;
        (0..self.nodes.len()).find(found).filter(|i| self.nodes[*i].alive)
    }

    pub(crate) fn polled(&mut self, node: usize, generation: u64, version: Option<Version>) {
        if self.nodes[node].generation != generation {
            return;
        }
        let now = self.now;
        let mut actions = Vec::new();
        match version {
            Some(version) => {
                actions.extend(self.nodes[node].epoch.advertised(now, Source::Store, version));
                self.nodes[node].epoch.polled(now, &mut self.node_rng);
            }
            None => self.nodes[node].epoch.poll_failed(now, &mut self.node_rng),
        }
        self.epoch_actions(node, actions);
    }

    pub(crate) fn pulled(
        &mut self,
        node: usize,
        generation: u64,
        source: Source,
        version: Option<Version>,
    ) {
        let pulling = self.nodes[node].epoch.pulling().map(|(from, _)| from);
        if self.nodes[node].generation != generation || pulling != Some(source) {
            return;
        }
        let Some(version) = version.filter(|version| version.0 > 0) else {
            let action = self.nodes[node].epoch.source_failed(self.now, source);
            self.epoch_actions(node, action.into_iter().collect());
            return;
        };
        if self.nodes[node].epoch.install(version) {
            if node < self.hosts.len() {
                let bundle = build_bundle(self.scenario, version);
                self.hosts[node].entry.configure(Arc::new(bundle));
            } else {
                let server = node - self.hosts.len();
                self.servers[server].sidecar.set_version(version);
            }
            // The node advertises the version on its own connections.
            let me = Source::Peer(incarnation(node, generation));
            for to in self.connected_nodes(node) {
                let (generation, delay) = (self.nodes[to].generation, self.network_delay());
                self.schedule_after(
                    delay,
                    Event::Advertise { to, generation, source: me, version },
                );
            }
        }
        self.epoch_actions(node, Vec::new());
    }

    pub(crate) fn connected_nodes(&self, node: usize) -> Vec<usize> {
        let count = self.hosts.len();
        if node < count {
            let connections = &self.hosts[node].connections;
            (0..connections.len())
                .filter(|i| connections[*i].is_some())
                .map(|i| count + i)
                .collect()
        } else {
            (0..count)
                .filter(|host| self.hosts[*host].connections[node - count].is_some())
                .collect()
        }
    }

    pub(crate) fn record_version(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if !state.epoch.ready() {
            return;
        }
        let (current, served) = (state.epoch.current(), state.served);
        state.served = current.max(served);
        if current < served {
            let text = format!("{} works under {current} after {served}", state.name);
            self.record_violation("reverted", text);
        }
    }

    pub(crate) fn check_in_force(&mut self, version: Version, accepted: Time, within: Span) {
        for node in 0..self.nodes.len() {
            let state = &self.nodes[node];
            let available =
                state.alive && state.paused_until.is_none() && state.disturbed_at < accepted;
            // A node without connections learns of a version only from its own poll of the store.
            let connected = !self.connected_nodes(node).is_empty();
            if available && connected && state.epoch.current() < version {
                let text = format!("{} has no version {version} after {within:?}", state.name);
                self.record_violation("stale", text);
            }
        }
    }
}
