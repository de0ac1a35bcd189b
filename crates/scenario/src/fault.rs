//! Fault injection: kills, pauses and partitions of processes, and failures of servers and the
//! store.

use crate::language::Fault;
use crate::node::Node;
use crate::world::{
    Event, HEARTBEAT_INTERVAL, INSTANCE_LIST_LAG, RECONNECT_DELAY, STORE_LATENCY, Simulation,
    TIMER_LAG, build_bundle, incarnation, new_host, new_node, new_server,
};
use damaskweir_core::epoch::{Epoch, EpochSettings};
use damaskweir_core::prelude::*;
use damaskweir_core::side::SidecarAction;
use std::sync::Arc;

impl Simulation<'_> {
    pub(crate) fn inject_fault(&mut self, fault: &Fault) {
        self.trace(format!("fault: {fault:?}"));
        match fault {
            Fault::Pause(name, duration) => {
                let Some(node) = self.node_index(name) else { return };
                self.nodes[node].paused_until = Some(self.now + *duration);
                // Scheduled before the events that the pause defers, so that the process resumes before
                // it handles them.
                self.schedule(self.now + *duration, Event::Resume(node));
            }
            Fault::Kill(name, duration) => {
                if let Some(node) = self.node_index(name) {
                    self.kill_node(node);
                    self.schedule_after(*duration, Event::Restart(node));
                }
            }
            Fault::Cut(a, b, duration) => {
                let pair = |x: &str, y: &str| {
                    Some((self.scenario.entry_index(x)?, self.scenario.server_index(y)?))
                };
                if let Some((host, server)) = pair(a, b).or_else(|| pair(b, a)) {
                    self.hosts[host].partitioned[server] = true;
                    self.disconnect(host, server);
                    self.schedule_after(*duration, Event::HealPartition(host, server));
                }
            }
            Fault::Slow(name, by, duration) => {
                if let Some(server) = self.scenario.server_index(name) {
                    self.servers[server].slowdown = *by;
                    self.schedule_after(*duration, Event::EndSlowdown(server));
                }
            }
            Fault::Fail(name, duration) => {
                if let Some(server) = self.scenario.server_index(name) {
                    self.fail_server(server);
                    self.schedule_after(*duration, Event::Recover(server));
                }
            }
            Fault::Stop(name) => {
                if let Some(server) = self.scenario.server_index(name) {
                    self.stop_times.insert(server, self.now);
                    self.schedule_after(INSTANCE_LIST_LAG, Event::MarkLeaving(server));
                    let mut actions = self.servers[server].sidecar.drain();
                    if self.servers[server].misreports {
                        actions.push(SidecarAction::Drained);
                    }
                    self.sidecar_actions(server, actions);
                }
            }
            Fault::StoreDown(duration) => {
                self.store.down = true;
                self.schedule_after(*duration, Event::StoreUp);
            }
            Fault::StoreSlow(delay, duration) => {
                self.store.delay = *delay;
                self.schedule_after(*duration, Event::EndStoreSlowdown);
            }
            Fault::LoseAnswer => self.store.lose_answer = true,
            Fault::StoreBlind => self.store.ignore_conditions = true,
            Fault::Lag(name) => {
                if let Some(host) = self.scenario.entry_index(name) {
                    self.hosts[host].timer_lag = TIMER_LAG;
                }
            }
            Fault::StoreReverts => self.store.manifest = Version(1),
            Fault::Misreport(name) => {
                if let Some(server) = self.scenario.server_index(name) {
                    self.servers[server].misreports = true;
                }
            }
            Fault::Corrupt(name) => {
                if let Some(server) = self.scenario.server_index(name) {
                    self.servers[server].corrupts = true;
                }
            }
            Fault::Approve { bundle, twice } => {
                let base = self.store.manifest;
                let names = if *twice {
                    vec![format!("{bundle}/1"), format!("{bundle}/2")]
                } else {
                    vec![bundle.clone()]
                };
                for bundle in names {
                    let delay = STORE_LATENCY + self.network_delay() + self.store.delay;
                    self.schedule_after(delay, Event::Approve { bundle, base, retry: false });
                }
            }
        }
    }

    pub(crate) fn node_index(&self, name: &str) -> Option<usize> {
        let server = || self.scenario.server_index(name).map(|server| self.sidecar_node(server));
        self.scenario.entry_index(name).or_else(server)
    }

    pub(crate) fn fail_server(&mut self, server: usize) {
        let running: Vec<_> = self.servers[server]
            .jobs
            .iter()
            .filter(|(_, job)| job.running)
            .map(|(attempt, _)| *attempt)
            .collect();
        let actions = self.servers[server].sidecar.set_down(self.now, true);
        self.sidecar_actions(server, actions);
        for attempt in running {
            self.end_attempt(server, attempt, Outcome::Failed(Failure::Interrupted));
        }
    }

    pub(crate) fn kill_node(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].generation += 1;
        self.nodes[node].disturbed_at = self.now;
        if node < self.hosts.len() {
            for server in 0..self.servers.len() {
                self.disconnect(node, server);
            }
            // Callers lose their connections to the entry and resend to another one.
            let calls = std::mem::take(&mut self.hosts[node].calls);
            for call in calls.into_values() {
                self.callers[call].open_requests -= 1;
                let delay = self.network_delay();
                self.schedule_after(delay, Event::SendCall(call, 1));
            }
        } else {
            for host in 0..self.hosts.len() {
                self.disconnect(host, node - self.hosts.len());
            }
        }
    }

    pub(crate) fn restart_node(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        self.trace(format!("{name} starts again"));
        let generation = self.nodes[node].generation;
        let served = self.nodes[node].served;
        let mut fresh = new_node(node, name);
        fresh.epoch = Epoch::new(self.now, incarnation(node, generation), EpochSettings::default());
        self.nodes[node] = Node { generation, served, disturbed_at: self.now, ..fresh };
        self.schedule_after(Span::ZERO, Event::NodeTick(node));
        if node < self.hosts.len() {
            let bundle = Arc::new(build_bundle(self.scenario, Version(1)));
            self.hosts[node] = new_host(node, generation, &bundle, self.servers.len());
            for server in 0..self.servers.len() {
                self.schedule_after(RECONNECT_DELAY, Event::Connect(node, server));
            }
        } else {
            let server = node - self.hosts.len();
            let pool = self.servers[server].pool;
            let run = Incarnation(1_000 * (server as u64 + 1) + generation);
            self.servers[server] = new_server(self.scenario, pool, run);
            for host in 0..self.hosts.len() {
                self.schedule_after(RECONNECT_DELAY, Event::Connect(host, server));
            }
            self.schedule_after(HEARTBEAT_INTERVAL, Event::Heartbeat(server, generation));
        }
    }
}
