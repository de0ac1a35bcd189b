//! Approvals and the way of bundle versions from node to node.

use crate::language::Expectation;
use crate::world::{Event, STORE_TIME, STORE_TIMEOUT, World, bundle, incarnation};
use damaskweir_core::epoch::{EpochAction, Source};
use damaskweir_core::prelude::*;
use std::sync::Arc;

impl World<'_> {
    pub(crate) fn approve(&mut self, bundle: String, seen: Version, again: bool) {
        let own = self.store.authors.get(&Version(seen.0 + 1)) == Some(&bundle);
        if self.store.down {
            self.note(format!("approval of {bundle} refused: the store is down"));
        } else if again && own {
            self.note(format!("approval of {bundle} recognised by its digest"));
        } else if self.store.manifest != seen {
            self.note(format!("approval of {bundle} did not take effect: overtaken"));
        } else {
            let version = Version(seen.0 + 1);
            self.accepted += 1;
            self.store.manifest = version;
            self.store.authors.insert(version, bundle.clone());
            self.note(format!("{bundle} accepted as version {version}"));
            for expectation in &self.scenario.expectations {
                if let Expectation::InForce(within) = expectation {
                    self.after(*within, Event::Check(version, self.now, *within));
                }
            }
            // Two entries watch the store.
            for to in 0..self.hosts.len().min(2) {
                let (life, source) = (self.nodes[to].life, Source::Store);
                let delay = self.delay() + self.store.delay;
                self.after(delay, Event::Show { to, life, source, version });
            }
            if std::mem::take(&mut self.store.loses) {
                self.after(STORE_TIMEOUT, Event::Approve { bundle, seen, again: true });
            }
        }
    }

    pub(crate) fn epoch_actions(&mut self, node: usize, actions: Vec<EpochAction>) {
        let life = self.nodes[node].life;
        for action in actions {
            match action {
                EpochAction::Pull(source, _) => {
                    let delay = self.delay() + self.delay();
                    let version = match source {
                        Source::Store => (!self.store.down).then_some(self.store.manifest),
                        Source::Peer(peer) => {
                            self.peer(peer).map(|n| self.nodes[n].epoch.current())
                        }
                    };
                    self.after(delay, Event::Bring { to: node, life, source, version });
                }
                EpochAction::Poll => {
                    let version = (!self.store.down).then_some(self.store.manifest);
                    let delay = STORE_TIME + self.store.delay;
                    self.after(delay, Event::Polled { to: node, life, version });
                }
                EpochAction::Watch | EpochAction::Unwatch => {}
            }
        }
        self.took_version(node);
        let next = self.nodes[node].epoch.next_tick().max(self.now);
        if self.nodes[node].tick.is_none_or(|at| next < at) {
            self.nodes[node].tick = Some(next);
            self.at(next, Event::NodeTick(node));
        }
    }

    pub(crate) fn peer(&self, peer: Incarnation) -> Option<usize> {
        let found = |i: &usize| incarnation(*i, self.nodes[*i].life) == peer;
        (0..self.nodes.len()).find(found).filter(|i| self.nodes[*i].alive)
    }

    pub(crate) fn polled(&mut self, node: usize, life: u64, version: Option<Version>) {
        if self.nodes[node].life != life {
            return;
        }
        let now = self.now;
        let mut actions = Vec::new();
        match version {
            Some(version) => {
                actions.extend(self.nodes[node].epoch.advertised(now, Source::Store, version));
                self.nodes[node].epoch.polled(now, &mut self.rng);
            }
            None => self.nodes[node].epoch.poll_failed(now, &mut self.rng),
        }
        self.epoch_actions(node, actions);
    }

    pub(crate) fn bring(
        &mut self,
        node: usize,
        life: u64,
        source: Source,
        version: Option<Version>,
    ) {
        let pulling = self.nodes[node].epoch.pulling().map(|(from, _)| from);
        if self.nodes[node].life != life || pulling != Some(source) {
            return;
        }
        let Some(version) = version.filter(|version| version.0 > 0) else {
            let action = self.nodes[node].epoch.source_failed(self.now, source);
            self.epoch_actions(node, action.into_iter().collect());
            return;
        };
        if self.nodes[node].epoch.install(version) {
            if node < self.hosts.len() {
                let bundle = bundle(self.scenario, version);
                self.hosts[node].entry.configure(Arc::new(bundle));
            } else {
                let server = node - self.hosts.len();
                self.servers[server].side.set_version(version);
            }
            // It shows the version on its own connections.
            let me = Source::Peer(incarnation(node, life));
            for to in self.linked(node) {
                let (life, delay) = (self.nodes[to].life, self.delay());
                self.after(delay, Event::Show { to, life, source: me, version });
            }
        }
        self.epoch_actions(node, Vec::new());
    }

    pub(crate) fn linked(&self, node: usize) -> Vec<usize> {
        let count = self.hosts.len();
        if node < count {
            let links = &self.hosts[node].links;
            (0..links.len()).filter(|i| links[*i].is_some()).map(|i| count + i).collect()
        } else {
            (0..count).filter(|host| self.hosts[*host].links[node - count].is_some()).collect()
        }
    }

    pub(crate) fn took_version(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if !state.epoch.ready() {
            return;
        }
        let (force, worked) = (state.epoch.current(), state.worked);
        state.worked = force.max(worked);
        if force < worked {
            let text = format!("{} works under {force} after {worked}", state.name);
            self.see("reverted", text);
        }
    }

    pub(crate) fn check(&mut self, version: Version, accepted: Time, within: Span) {
        for node in 0..self.nodes.len() {
            let state = &self.nodes[node];
            let there = state.alive && state.paused.is_none() && state.disturbed < accepted;
            // A node that is cut off at the time is not reached by anything but its poll.
            let linked = !self.linked(node).is_empty();
            if there && linked && state.epoch.current() < version {
                let text = format!("{} has no version {version} after {within:?}", state.name);
                self.see("stale", text);
            }
        }
    }
}
