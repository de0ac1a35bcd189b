//! Faults of a scenario: processes that die, pause or are cut off, and servers that fail.

use crate::language::Fault;
use crate::node::Node;
use crate::world::{
    Event, HEARTBEAT, LIST_LAG, REDIAL, STORE_TIME, TIMER_LAG, World, bundle, incarnation,
    new_host, new_node, new_server,
};
use damaskweir_core::epoch::{Epoch, EpochSettings};
use damaskweir_core::prelude::*;
use damaskweir_core::side::SidecarAction;
use std::sync::Arc;

impl World<'_> {
    pub(crate) fn fault(&mut self, fault: &Fault) {
        self.note(format!("fault: {fault:?}"));
        match fault {
            Fault::Pause(name, length) => {
                let Some(node) = self.node(name) else { return };
                self.nodes[node].paused = Some(self.now + *length);
                // The process resumes before it handles what has come.
                self.at(self.now + *length, Event::Resume(node));
            }
            Fault::Kill(name, length) => {
                if let Some(node) = self.node(name) {
                    self.kill(node);
                    self.after(*length, Event::Revive(node));
                }
            }
            Fault::Cut(a, b, length) => {
                let pair =
                    |x: &str, y: &str| Some((self.scenario.entry(x)?, self.scenario.server(y)?));
                if let Some((host, server)) = pair(a, b).or_else(|| pair(b, a)) {
                    self.hosts[host].cut[server] = true;
                    self.disconnect(host, server);
                    self.after(*length, Event::Mend(host, server));
                }
            }
            Fault::Slow(name, by, length) => {
                if let Some(server) = self.scenario.server(name) {
                    self.servers[server].slow = *by;
                    self.after(*length, Event::Unslow(server));
                }
            }
            Fault::Fail(name, length) => {
                if let Some(server) = self.scenario.server(name) {
                    self.fail(server);
                    self.after(*length, Event::Recover(server));
                }
            }
            Fault::Stop(name) => {
                if let Some(server) = self.scenario.server(name) {
                    self.stopped.insert(server, self.now);
                    self.after(LIST_LAG, Event::Leaving(server));
                    let mut actions = self.servers[server].side.drain();
                    if self.servers[server].misreports {
                        actions.push(SidecarAction::Drained);
                    }
                    self.side_actions(server, actions);
                }
            }
            Fault::StoreDown(length) => {
                self.store.down = true;
                self.after(*length, Event::StoreUp);
            }
            Fault::StoreSlow(delay, length) => {
                self.store.delay = *delay;
                self.after(*length, Event::StoreFast);
            }
            Fault::LoseAnswer => self.store.loses = true,
            Fault::StoreBlind => self.store.blind = true,
            Fault::Lag(name) => {
                if let Some(host) = self.scenario.entry(name) {
                    self.hosts[host].lag = TIMER_LAG;
                }
            }
            Fault::StoreReverts => self.store.manifest = Version(1),
            Fault::Misreport(name) => {
                if let Some(server) = self.scenario.server(name) {
                    self.servers[server].misreports = true;
                }
            }
            Fault::Corrupt(name) => {
                if let Some(server) = self.scenario.server(name) {
                    self.servers[server].garbles = true;
                }
            }
            Fault::Approve { bundle, twice } => {
                let seen = self.store.manifest;
                let names = if *twice {
                    vec![format!("{bundle}/1"), format!("{bundle}/2")]
                } else {
                    vec![bundle.clone()]
                };
                for bundle in names {
                    let delay = STORE_TIME + self.delay() + self.store.delay;
                    self.after(delay, Event::Approve { bundle, seen, again: false });
                }
            }
        }
    }

    pub(crate) fn node(&self, name: &str) -> Option<usize> {
        let server = || self.scenario.server(name).map(|server| self.side_node(server));
        self.scenario.entry(name).or_else(server)
    }

    pub(crate) fn fail(&mut self, server: usize) {
        let running: Vec<_> = self.servers[server]
            .jobs
            .iter()
            .filter(|(_, job)| job.running)
            .map(|(attempt, _)| *attempt)
            .collect();
        let actions = self.servers[server].side.set_down(self.now, true);
        self.side_actions(server, actions);
        for attempt in running {
            self.end(server, attempt, Outcome::Failed(Failure::Interrupted));
        }
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].life += 1;
        self.nodes[node].disturbed = self.now;
        if node < self.hosts.len() {
            for server in 0..self.servers.len() {
                self.disconnect(node, server);
            }
            // Its callers lose their connections and try another entry.
            let calls = std::mem::take(&mut self.hosts[node].calls);
            for call in calls.into_values() {
                self.callers[call].open -= 1;
                let delay = self.delay();
                self.after(delay, Event::Arrive(call, 1));
            }
        } else {
            for host in 0..self.hosts.len() {
                self.disconnect(host, node - self.hosts.len());
            }
        }
    }

    pub(crate) fn revive(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        self.note(format!("{name} starts again"));
        let life = self.nodes[node].life;
        let worked = self.nodes[node].worked;
        let mut fresh = new_node(node, name);
        fresh.epoch = Epoch::new(self.now, incarnation(node, life), EpochSettings::default());
        self.nodes[node] = Node { life, worked, disturbed: self.now, ..fresh };
        self.after(Span::ZERO, Event::NodeTick(node));
        if node < self.hosts.len() {
            let bundle = Arc::new(bundle(self.scenario, Version(1)));
            self.hosts[node] = new_host(node, life, &bundle, self.servers.len());
            for server in 0..self.servers.len() {
                self.after(REDIAL, Event::Dial(node, server));
            }
        } else {
            let server = node - self.hosts.len();
            let pool = self.servers[server].pool;
            let run = Incarnation(1_000 * (server as u64 + 1) + life);
            self.servers[server] = new_server(self.scenario, pool, run);
            for host in 0..self.hosts.len() {
                self.after(REDIAL, Event::Dial(host, server));
            }
            self.after(HEARTBEAT, Event::Beat(server, life));
        }
    }
}
