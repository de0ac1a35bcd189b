//! Event loop of the simulation, in virtual time.

use crate::language::{Expectation, Fault, Scenario};
use crate::node::{EntryHost, ExecutionLog, Node, Server, Store};
use crate::verdict::Report;
use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{
    Answer, Call, ClaimResult, ClaimWrite, Entry, EntryAction, EntryEvent, EntrySettings,
    ErrorCode, Execution, StageInput,
};
use damaskweir_core::epoch::{Epoch, EpochSettings, Source};
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Sidecar, SidecarSettings};
use rand_core::{Rng as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time for the processes to connect before time 0 of the scenario.
pub(crate) const WARM_UP: Span = Span::from_secs(2);
/// Time that the run continues after the last deadline or fault. All calls must be answered by its
/// end.
pub(crate) const DRAIN_TIME: Span = Span::from_secs(60);
/// Time between the heartbeats of a side.
pub(crate) const HEARTBEAT_INTERVAL: Span = Span::from_secs(1);
/// Time until a failed connection is retried, or a call for which no entry was ready.
pub(crate) const RECONNECT_DELAY: Span = Span::from_millis(200);
/// Latency of a store call without extra delay.
pub(crate) const STORE_LATENCY: Span = Span::from_millis(5);
/// Time after which an unanswered store call is repeated or fails.
pub(crate) const STORE_TIMEOUT: Span = Span::from_millis(250);
/// Time until entries see in the platform's instance list that a server is leaving.
pub(crate) const INSTANCE_LIST_LAG: Span = Span::from_secs(1);
/// Delay that the `lag` fault adds to an entry's timers.
pub(crate) const TIMER_LAG: Span = Span::from_millis(200);
/// Time after a request's deadline within which an answer still counts as in time.
pub(crate) const DEADLINE_TOLERANCE: Span = Span::from_millis(20);
/// Maximum of `tries`, the number that a call resent after a lost connection carries. Every resend
/// carries 1.
pub(crate) const RESENDS_MAX: u8 = 5;
/// Time after which a caller repeats a call under the same idempotency key.
pub(crate) const REPEAT_DELAY: Span = Span::from_millis(15);

/// Message from an entry to a side.
#[derive(Clone)]
pub(crate) enum SidecarMessage {
    /// The dispatch, the call and the stage's input.
    Dispatch(Dispatch, usize, u64),
    Cancel(AttemptId),
    Forbid(RequestId, AttemptId, Incarnation),
}

/// Message from a side to an entry.
#[derive(Clone, Copy)]
pub(crate) enum EntryMessage {
    Refused(AttemptId, Refusal),
    /// The last field is the stage's output.
    Done(AttemptId, Outcome, u64),
    /// Answer to a `Forbid`, with the output if the attempt has finished.
    Status(RequestId, AttemptId, AttemptStatus, Option<u64>),
    /// A heartbeat: nothing but the report that each message carries.
    Report,
}

#[derive(Clone)]
pub(crate) enum Event {
    SendCall(usize, u8),
    Fault(Fault),
    Resume(usize),
    Restart(usize),
    HealPartition(usize, usize),
    EndSlowdown(usize),
    Recover(usize),
    StoreUp,
    EndStoreSlowdown,
    MarkLeaving(usize),
    Connect(usize, usize),
    Heartbeat(usize, u64),
    DeliverToSidecar {
        server: usize,
        host: usize,
        connection: u64,
        message: SidecarMessage,
    },
    DeliverToEntry {
        host: usize,
        server: usize,
        connection: u64,
        message: EntryMessage,
        report: SidecarReport,
    },
    EntryTick(usize),
    SidecarTick(usize),
    NodeTick(usize),
    Finish {
        server: usize,
        generation: u64,
        attempt: AttemptId,
    },
    StoreClaim {
        host: usize,
        generation: u64,
        request: RequestId,
        key: Digest,
        record: ClaimRecord,
        write: ClaimWrite,
    },
    StoreAnswer {
        host: usize,
        generation: u64,
        request: RequestId,
        answer: ClaimResult,
    },
    StoreOutcome {
        key: Digest,
        record: ClaimRecord,
        revision: u64,
    },
    Advertise {
        to: usize,
        generation: u64,
        source: Source,
        version: Version,
    },
    Polled {
        to: usize,
        generation: u64,
        version: Option<Version>,
    },
    Pulled {
        to: usize,
        generation: u64,
        source: Source,
        version: Option<Version>,
    },
    Approve {
        bundle: String,
        base: Version,
        retry: bool,
    },
    CheckInForce(Version, Time, Span),
}

/// Load report that a side attaches to each message.
type SidecarReport = damaskweir_core::message::Report;

/// A call and what its caller received.
pub(crate) struct Caller {
    pub(crate) pipeline: usize,
    pub(crate) input: u64,
    pub(crate) deadline: Time,
    pub(crate) repeat: bool,
    /// Requests in progress for this call.
    pub(crate) open_requests: u32,
    pub(crate) answers: u32,
    pub(crate) complete: Option<Time>,
    pub(crate) wrong_answer: bool,
}

pub(crate) struct Simulation<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) now: Time,
    /// Pending events by time and, at equal times, order of scheduling.
    pub(crate) events: BTreeMap<(Time, u64), Event>,
    pub(crate) sequence: u64,
    /// Entries, followed by sides.
    pub(crate) nodes: Vec<Node>,
    pub(crate) hosts: Vec<EntryHost>,
    pub(crate) servers: Vec<Server>,
    pub(crate) store: Store,
    pub(crate) callers: Vec<Caller>,
    pub(crate) execution_log: ExecutionLog,
    /// Requests whose caller was told that nothing ran.
    pub(crate) not_run: BTreeSet<RequestId>,
    /// Time at which each server was told to stop.
    pub(crate) stop_times: BTreeMap<usize, Time>,
    pub(crate) approvals: u32,
    pub(crate) last_connection: u64,
    /// Entry at which the round-robin search for a ready one starts.
    pub(crate) next_host: usize,
    /// Randomness of the state machines.
    pub(crate) node_rng: Rng,
    /// Randomness of traffic, network delays and service times.
    pub(crate) env_rng: Rng,
    /// Observed violations by kind.
    pub(crate) violations: BTreeMap<&'static str, Vec<String>>,
    pub(crate) report: Report,
}

/// Output of a correct backend server, which depends on the input and the stage.
pub(crate) fn stage_output(input: u64, stage: u16) -> u64 {
    let value = input ^ (u64::from(stage) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value.rotate_left(23).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

pub(crate) fn digest(input: u64, tag: u8) -> Digest {
    let mut bytes = [tag; 32];
    bytes[..8].copy_from_slice(&input.to_le_bytes());
    Digest(bytes)
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let bundle = Arc::new(build_bundle(scenario, Version(1)));
        let names: Vec<_> = scenario.servers().collect();
        let hosts = (0..scenario.entries).map(|i| new_host(i, 0, &bundle, names.len())).collect();
        let servers = names
            .iter()
            .enumerate()
            .map(|(i, (pool, _))| new_server(scenario, *pool, Incarnation(1_000 * (i as u64 + 1))));
        let entries = (0..scenario.entries).map(|i| format!("entry-{}", i + 1));
        let nodes = entries.chain(names.iter().map(|(_, name)| name.clone())).enumerate();
        let nodes = nodes.map(|(i, name)| new_node(i, name)).collect();
        let mut simulation = Self {
            scenario,
            now: Time(0),
            events: BTreeMap::new(),
            sequence: 0,
            nodes,
            hosts,
            servers: servers.collect(),
            store: Store { manifest: Version(1), ..Store::default() },
            callers: Vec::new(),
            execution_log: ExecutionLog {
                starts: vec![Vec::new(); names.len()],
                ..ExecutionLog::default()
            },
            not_run: BTreeSet::new(),
            stop_times: BTreeMap::new(),
            approvals: 0,
            last_connection: 0,
            next_host: 0,
            node_rng: Rng::seed_from_u64(seed),
            env_rng: Rng::seed_from_u64(seed ^ 0x5ce7_a210),
            violations: BTreeMap::new(),
            report: Report { seed, ..Report::default() },
        };
        simulation.schedule_initial();
        simulation
    }

    pub(crate) fn schedule_initial(&mut self) {
        for node in 0..self.nodes.len() {
            self.schedule(Time(0), Event::NodeTick(node));
        }
        for host in 0..self.hosts.len() {
            for server in 0..self.servers.len() {
                self.schedule(Time(0) + Span::from_millis(1), Event::Connect(host, server));
            }
        }
        for server in 0..self.servers.len() {
            self.schedule(Time(0) + HEARTBEAT_INTERVAL, Event::Heartbeat(server, 0));
        }
        for (at, fault) in &self.scenario.faults {
            self.schedule(*at + WARM_UP, Event::Fault(fault.clone()));
        }
        for traffic in &self.scenario.traffic {
            let position = |p: &crate::language::PipelineStatement| p.name == traffic.pipeline;
            let pipeline = self.scenario.pipelines.iter().position(position).unwrap_or_default();
            let gap = 1_000_000 / traffic.rate.max(1);
            let mut at = traffic.start + WARM_UP;
            while at < traffic.start + WARM_UP + traffic.duration {
                at = at + Span(1 + self.env_rng.next_u64() % (2 * gap));
                let repeat = self.env_rng.next_u64() % 100 < traffic.repeat_percent;
                let deadline = at + self.scenario.pipelines[pipeline].deadline;
                let input = self.env_rng.next_u64();
                self.callers.push(Caller {
                    pipeline,
                    input,
                    deadline,
                    repeat,
                    open_requests: 0,
                    answers: 0,
                    complete: None,
                    wrong_answer: false,
                });
                self.schedule(at, Event::SendCall(self.callers.len() - 1, 0));
            }
        }
    }

    pub(crate) fn run(mut self) -> Report {
        let traffic = self.callers.iter().map(|caller| caller.deadline).max().unwrap_or(Time(0));
        let faults = self.scenario.faults.iter().map(|(at, _)| *at).max().unwrap_or(Time(0));
        let last = traffic.max(faults + WARM_UP) + DRAIN_TIME;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > last {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.check_expectations();
        self.report
    }

    pub(crate) fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    pub(crate) fn schedule_after(&mut self, span: Span, event: Event) {
        self.schedule(self.now + span, event);
    }

    pub(crate) fn trace(&mut self, text: String) {
        self.report.trace.push((Time(0) + self.now.since(Time(0) + WARM_UP), text));
    }

    pub(crate) fn record_violation(&mut self, kind: &'static str, text: String) {
        self.trace(format!("{kind}: {text}"));
        self.violations.entry(kind).or_default().push(text);
    }

    /// Draws a one-way delay between half and one and a half times the scenario's `network`.
    pub(crate) fn network_delay(&mut self) -> Span {
        let network = self.scenario.network_delay;
        Span(network.0 / 2 + self.env_rng.next_u64() % network.0.max(1))
    }

    pub(crate) fn sidecar_node(&self, server: usize) -> usize {
        self.hosts.len() + server
    }

    /// Node whose process handles an event, if any.
    pub(crate) fn receiving_node(&self, event: &Event) -> Option<usize> {
        match event {
            Event::DeliverToEntry { host, .. }
            | Event::EntryTick(host)
            | Event::Connect(host, _) => Some(*host),
            Event::StoreAnswer { host, .. } => Some(*host),
            Event::DeliverToSidecar { server, .. }
            | Event::SidecarTick(server)
            | Event::Heartbeat(server, _) => Some(self.sidecar_node(*server)),
            Event::Finish { server, .. } => Some(self.sidecar_node(*server)),
            Event::NodeTick(node) => Some(*node),
            Event::Advertise { to, .. } | Event::Polled { to, .. } | Event::Pulled { to, .. } => {
                Some(*to)
            }
            _ => None,
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        if let Some(node) = self.receiving_node(&event) {
            if let Some(until) = self.nodes[node].paused_until {
                // Rescheduling keeps the order in which the events arrived.
                self.schedule(until, event);
                return;
            }
            if !self.nodes[node].alive {
                return;
            }
        }
        match event {
            Event::SendCall(call, tries) => self.send_call(call, tries),
            Event::Fault(fault) => self.inject_fault(&fault),
            Event::Resume(node) => {
                self.nodes[node].paused_until = None;
                self.nodes[node].disturbed_at = self.now;
                let name = self.nodes[node].name.clone();
                self.trace(format!("{name} resumes"));
            }
            Event::Restart(node) => self.restart_node(node),
            Event::HealPartition(host, server) => {
                self.hosts[host].partitioned[server] = false;
                let node = self.sidecar_node(server);
                self.nodes[node].disturbed_at = self.now;
                self.nodes[host].disturbed_at = self.now;
                self.schedule_after(RECONNECT_DELAY, Event::Connect(host, server));
            }
            Event::EndSlowdown(server) => self.servers[server].slowdown = 1,
            Event::Recover(server) => {
                let actions = self.servers[server].sidecar.set_down(self.now, false);
                self.sidecar_actions(server, actions);
            }
            Event::StoreUp => self.store.down = false,
            Event::EndStoreSlowdown => self.store.delay = Span::ZERO,
            Event::MarkLeaving(server) => {
                self.servers[server].leaving = true;
                for host in 0..self.hosts.len() {
                    let (pool, id) = self.server_ids(server);
                    self.hosts[host].entry.set_leaving(&pool, &id, true);
                }
            }
            Event::Connect(host, server) => self.connect(host, server),
            Event::Heartbeat(server, generation) => self.send_heartbeats(server, generation),
            Event::DeliverToSidecar { server, host, connection, message } => {
                self.receive_at_sidecar(server, host, connection, message);
            }
            Event::DeliverToEntry { host, server, connection, message, report } => {
                if self.hosts[host].connections[server] == Some(connection) {
                    let (pool, id) = self.server_ids(server);
                    self.hosts[host].entry.report(&pool, &id, report);
                    self.receive_at_entry(host, server, message);
                }
            }
            Event::EntryTick(host) => {
                self.hosts[host].next_tick = None;
                let now = self.now;
                let actions = self.hosts[host].entry.tick(now, &mut self.node_rng);
                self.entry_actions(host, actions);
            }
            Event::SidecarTick(server) => {
                self.servers[server].next_tick = None;
                let actions = self.servers[server].sidecar.tick(self.now);
                self.sidecar_actions(server, actions);
            }
            Event::NodeTick(node) => {
                self.nodes[node].next_tick = None;
                let now = self.now;
                let actions = self.nodes[node].epoch.tick(now, &mut self.node_rng);
                self.epoch_actions(node, actions);
            }
            Event::Finish { server, generation, attempt } => {
                self.finish_attempt(server, generation, attempt)
            }
            Event::StoreClaim { host, generation, request, key, record, write } => {
                self.store_claim(host, generation, request, key, record, write);
            }
            Event::StoreAnswer { host, generation, request, answer } => {
                if self.nodes[host].generation == generation {
                    self.entry_event(host, EntryEvent::Claimed(request, answer));
                }
            }
            Event::StoreOutcome { key, record, revision } => {
                if !self.store.down {
                    self.store.record_outcome(key, record, revision);
                }
            }
            Event::Advertise { to, generation, source, version } => {
                if self.nodes[to].generation == generation {
                    let action = self.nodes[to].epoch.advertised(self.now, source, version);
                    self.epoch_actions(to, action.into_iter().collect());
                }
            }
            Event::Polled { to, generation, version } => self.polled(to, generation, version),
            Event::Pulled { to, generation, source, version } => {
                self.pulled(to, generation, source, version)
            }
            Event::Approve { bundle, base, retry } => self.approve(bundle, base, retry),
            Event::CheckInForce(version, accepted, within) => {
                self.check_in_force(version, accepted, within)
            }
        }
    }

    // Connections.

    pub(crate) fn server_ids(&self, server: usize) -> (PoolId, ServerId) {
        let pool = self.scenario.pools[self.servers[server].pool].name.as_str();
        (pool.into(), self.nodes[self.sidecar_node(server)].name.as_str().into())
    }

    pub(crate) fn connect(&mut self, host: usize, server: usize) {
        let node = self.sidecar_node(server);
        let state = &self.hosts[host];
        if state.connections[server].is_some() {
            return;
        }
        let up = self.nodes[node].alive && self.nodes[node].paused_until.is_none();
        // A node accepts work only once its bundle is current.
        let ready = self.nodes[node].epoch.ready() && self.nodes[host].epoch.ready();
        if !up || state.partitioned[server] {
            self.schedule_after(RECONNECT_DELAY, Event::Connect(host, server));
            return;
        }
        for (a, b) in [(host, node), (node, host)] {
            let peer = incarnation(b, self.nodes[b].generation);
            let version = self.nodes[b].epoch.current();
            self.nodes[a].epoch.connected(peer);
            let action = self.nodes[a].epoch.advertised(self.now, Source::Peer(peer), version);
            self.epoch_actions(a, action.into_iter().collect());
        }
        if !ready {
            self.schedule_after(RECONNECT_DELAY, Event::Connect(host, server));
            return;
        }
        self.last_connection += 1;
        let connection = self.last_connection;
        let (pool, id) = self.server_ids(server);
        let report = self.servers[server].sidecar.report(self.now);
        let leaving = self.servers[server].leaving;
        let state = &mut self.hosts[host];
        state.connections[server] = Some(connection);
        state.entry.set_connected(self.now, &pool, &id, true);
        state.entry.report(&pool, &id, report);
        state.entry.set_leaving(&pool, &id, leaving);
    }

    /// Breaks a connection. Each end that is alive notices at once.
    pub(crate) fn disconnect(&mut self, host: usize, server: usize) {
        let Some(connection) = self.hosts[host].connections[server].take() else { return };
        let (pool, id) = self.server_ids(server);
        self.hosts[host].entry.set_connected(self.now, &pool, &id, false);
        let lost = std::mem::take(&mut self.hosts[host].open_attempts[server]);
        let status_queries = std::mem::take(&mut self.hosts[host].status_queries[server]);
        if self.nodes[host].alive {
            for attempt in lost {
                self.entry_event(host, EntryEvent::ConnectionLost(attempt));
            }
            for request in status_queries {
                self.entry_event(host, EntryEvent::AttemptStatus(request, None));
            }
            self.schedule_after(RECONNECT_DELAY, Event::Connect(host, server));
        }
        if self.nodes[self.sidecar_node(server)].alive {
            let jobs = &self.servers[server].jobs;
            let attempts: Vec<_> = jobs
                .iter()
                .filter(|(_, job)| job.connection == connection)
                .map(|(a, _)| *a)
                .collect();
            for attempt in attempts {
                let actions = self.servers[server].sidecar.cancel(self.now, attempt);
                self.sidecar_actions(server, actions);
            }
        }
    }

    pub(crate) fn send_heartbeats(&mut self, server: usize, generation: u64) {
        if self.nodes[self.sidecar_node(server)].generation != generation {
            return;
        }
        for host in 0..self.hosts.len() {
            self.send_to_entry(server, host, EntryMessage::Report);
        }
        self.schedule_after(HEARTBEAT_INTERVAL, Event::Heartbeat(server, generation));
    }

    pub(crate) fn send_to_sidecar(
        &mut self,
        host: usize,
        server: usize,
        message: SidecarMessage,
    ) -> bool {
        let Some(connection) = self.hosts[host].connections[server] else { return false };
        let delay = self.network_delay();
        self.schedule_after(delay, Event::DeliverToSidecar { server, host, connection, message });
        true
    }

    pub(crate) fn send_to_entry(&mut self, server: usize, host: usize, message: EntryMessage) {
        let Some(connection) = self.hosts[host].connections[server] else { return };
        let report = self.servers[server].sidecar.report(self.now);
        let delay = self.network_delay();
        self.schedule_after(
            delay,
            Event::DeliverToEntry { host, server, connection, message, report },
        );
    }

    // Callers.

    pub(crate) fn send_call(&mut self, call: usize, tries: u8) {
        let ready = |host: &usize| self.nodes[*host].alive && self.nodes[*host].epoch.ready();
        let count = self.hosts.len();
        let Some(host) = (0..count).map(|i| (self.next_host + i) % count).find(ready) else {
            if self.now < self.callers[call].deadline {
                self.schedule_after(RECONNECT_DELAY, Event::SendCall(call, tries));
            }
            return;
        };
        self.next_host = host + 1;
        let caller = &mut self.callers[call];
        if tries > RESENDS_MAX
            || tries > 0 && (caller.complete.is_some() || self.now >= caller.deadline)
        {
            return;
        }
        caller.open_requests += 1;
        let (input, repeat) = (caller.input, caller.repeat && tries == 0);
        let pipeline = &self.scenario.pipelines[caller.pipeline];
        let request = Call {
            pipeline: pipeline.name.as_str().into(),
            workspace: "kollam".into(),
            deadline: Some(caller.deadline.since(self.now)),
            key: Some(digest(input, 1)),
            body: digest(input, 2),
            prefix: None,
            stream: false,
        };
        if repeat {
            self.schedule_after(REPEAT_DELAY, Event::SendCall(call, 1));
        }
        let now = self.now;
        let (id, actions) = self.hosts[host].entry.call(now, &mut self.node_rng, request);
        self.hosts[host].calls.insert(id, call);
        self.entry_actions(host, actions);
    }

    pub(crate) fn receive_answer(&mut self, host: usize, request: RequestId, answer: &Answer) {
        let Some(call) = self.hosts[host].calls.remove(&request) else {
            self.record_violation("lost", format!("{request} got a second answer"));
            return;
        };
        let now = self.now;
        let caller = &mut self.callers[call];
        caller.open_requests -= 1;
        caller.answers += 1;
        let late = now > caller.deadline + DEADLINE_TOLERANCE;
        let deadline = caller.deadline;
        match answer {
            Answer::Complete(attempt) => {
                let stages = self.scenario.pipelines[caller.pipeline].stages.len();
                let correct = (0..stages as u16).fold(caller.input, stage_output);
                if self.hosts[host].outputs.get(attempt) == Some(&correct) {
                    caller.complete = caller.complete.or(Some(now));
                } else {
                    caller.wrong_answer = true;
                    self.record_violation(
                        "lost",
                        format!("{request} got a wrong answer from {attempt}"),
                    );
                }
            }
            Answer::Error { code, execution, retry } => {
                if *execution == Execution::NotRun {
                    self.not_run.insert(request);
                }
                let hint = matches!(
                    code,
                    ErrorCode::Overloaded | ErrorCode::Unavailable | ErrorCode::StoreDown
                );
                if hint && retry.is_none() {
                    self.record_violation("held", format!("{request} was given up without a hint"));
                }
                let text = format!("{request} of call {call}: {code:?}, {execution:?}");
                self.trace(text);
            }
        }
        if late && self.nodes[host].disturbed_at < deadline {
            self.record_violation("held", format!("{request} was answered after its deadline"));
        }
    }

    // Entries.

    pub(crate) fn entry_event(&mut self, host: usize, event: EntryEvent) {
        let now = self.now;
        let actions = self.hosts[host].entry.event(now, &mut self.node_rng, event);
        self.entry_actions(host, actions);
    }

    pub(crate) fn receive_at_entry(&mut self, host: usize, server: usize, message: EntryMessage) {
        let event = match message {
            EntryMessage::Report => return,
            EntryMessage::Refused(attempt, refusal) => {
                self.hosts[host].open_attempts[server].remove(&attempt);
                EntryEvent::Refused(attempt, refusal)
            }
            EntryMessage::Done(attempt, outcome, output) => {
                self.hosts[host].open_attempts[server].remove(&attempt);
                self.hosts[host].outputs.insert(attempt, output);
                EntryEvent::Done(attempt, outcome)
            }
            EntryMessage::Status(request, attempt, status, output) => {
                if !self.hosts[host].status_queries[server].remove(&request) {
                    return;
                }
                if let Some(output) = output {
                    self.hosts[host].outputs.insert(attempt, output);
                }
                EntryEvent::AttemptStatus(request, Some(status))
            }
        };
        self.entry_event(host, event);
    }

    pub(crate) fn entry_actions(&mut self, host: usize, actions: Vec<EntryAction>) {
        for action in actions {
            self.entry_action(host, action);
        }
        let state = &mut self.hosts[host];
        let next = state.entry.next_tick();
        if let Some(next) = next.filter(|next| state.next_tick.is_none_or(|at| *next < at)) {
            state.next_tick = Some(next);
            let at = next.max(self.now) + self.hosts[host].timer_lag;
            self.schedule(at, Event::EntryTick(host));
        }
    }

    pub(crate) fn entry_action(&mut self, host: usize, action: EntryAction) {
        match action {
            EntryAction::Send { server, dispatch, input } => {
                let attempt = dispatch.attempt;
                let call = self.hosts[host].calls.get(&attempt.request).copied();
                let (Some(server), Some(call)) =
                    (self.scenario.server_index(server.as_str()), call)
                else {
                    return;
                };
                let input = match input {
                    StageInput::Caller => self.callers[call].input,
                    StageInput::Attempt(from) => {
                        self.hosts[host].outputs.get(&from).copied().unwrap_or_default()
                    }
                };
                if self.send_to_sidecar(
                    host,
                    server,
                    SidecarMessage::Dispatch(dispatch, call, input),
                ) {
                    self.hosts[host].open_attempts[server].insert(attempt);
                } else {
                    self.entry_event(host, EntryEvent::Refused(attempt, Refusal::Down));
                }
            }
            EntryAction::Cancel(server, attempt) => {
                if let Some(server) = self.scenario.server_index(server.as_str()) {
                    self.hosts[host].open_attempts[server].remove(&attempt);
                    self.send_to_sidecar(host, server, SidecarMessage::Cancel(attempt));
                }
            }
            EntryAction::Claim { request, key, record, write } => {
                let generation = self.nodes[host].generation;
                let delay = STORE_LATENCY + self.store.delay + self.network_delay();
                let event = Event::StoreClaim { host, generation, request, key, record, write };
                self.schedule_after(delay, event);
            }
            EntryAction::Forbid { request, server, attempt, incarnation } => {
                let Some(server) = self.scenario.server_index(server.as_str()) else { return };
                self.hosts[host].status_queries[server].insert(request);
                if !self.send_to_sidecar(
                    host,
                    server,
                    SidecarMessage::Forbid(request, attempt, incarnation),
                ) {
                    self.hosts[host].status_queries[server].remove(&request);
                    self.entry_event(host, EntryEvent::AttemptStatus(request, None));
                }
            }
            EntryAction::RecordOutcome { key, mut record, revision } => {
                let output = self.hosts[host].outputs.get(&record.attempt).copied();
                if let ClaimState::Ended { answer, .. } = &mut record.state {
                    *answer = output.map(|output| output.to_le_bytes().to_vec().into());
                }
                let delay = STORE_LATENCY + self.store.delay;
                self.schedule_after(delay, Event::StoreOutcome { key, record, revision });
            }
            EntryAction::SaveOutput(attempt, bytes) => {
                if let Ok(bytes) = <[u8; 8]>::try_from(&bytes[..]) {
                    self.hosts[host].outputs.insert(attempt, u64::from_le_bytes(bytes));
                }
            }
            EntryAction::ForwardChunk(..) => {}
            EntryAction::Answer(request, answer) => self.receive_answer(host, request, &answer),
        }
    }

    // Store.

    pub(crate) fn store_claim(
        &mut self,
        host: usize,
        generation: u64,
        request: RequestId,
        key: Digest,
        record: ClaimRecord,
        write: ClaimWrite,
    ) {
        if self.store.down {
            let answer = ClaimResult::Unavailable;
            self.schedule_after(
                STORE_TIMEOUT,
                Event::StoreAnswer { host, generation, request, answer },
            );
            return;
        }
        let answer = self.store.claim(key, &record, write);
        if std::mem::take(&mut self.store.lose_answer) {
            self.trace(format!("the store loses its answer to {request}"));
            // The entry times out and repeats the call.
            let event = Event::StoreClaim { host, generation, request, key, record, write };
            self.schedule_after(STORE_TIMEOUT, event);
            return;
        }
        let delay = self.network_delay();
        self.schedule_after(delay, Event::StoreAnswer { host, generation, request, answer });
    }

    // Expectations.

    pub(crate) fn check_expectations(&mut self) {
        for (call, caller) in self.callers.iter().enumerate() {
            if caller.answers == 0 || caller.open_requests > 0 {
                let open = caller.open_requests;
                let text = format!("call {call} has no answer, {open} requests open");
                self.violations.entry("lost").or_default().push(text);
            }
        }
        for ((pool, call), runs) in &self.execution_log.runs {
            if *runs > 1 {
                let name = &self.scenario.pools[*pool].name;
                let text = format!("call {call} ran {runs} times at {name}");
                self.violations.entry("doubled").or_default().push(text);
            }
        }
        for request in self.not_run.intersection(&self.execution_log.requests) {
            let text = format!("{request} was told 'not run' and ran");
            self.violations.entry("untrue").or_default().push(text);
        }
        self.report.calls = self.callers.len();
        let in_time =
            |c: &&Caller| c.complete.is_some_and(|at| at <= c.deadline + DEADLINE_TOLERANCE);
        self.report.complete = self.callers.iter().filter(in_time).count();
        for expectation in &self.scenario.expectations {
            if let Some(text) = self.unmet(expectation) {
                self.report.failures.push(text);
            }
        }
    }

    /// Describes why an expectation is not met, or returns `None` if it is met.
    pub(crate) fn unmet(&self, expectation: &Expectation) -> Option<String> {
        let first = |kind| {
            let all: &Vec<String> = self.violations.get(kind)?;
            Some(format!("{} ({} in all)", all.first()?, all.len()))
        };
        match expectation {
            Expectation::NeverDoubled => first("doubled"),
            Expectation::NothingLost => first("lost"),
            Expectation::NoUntrueRefusal => first("untrue"),
            Expectation::NothingCutOff => first("cut off"),
            Expectation::AnsweredAtOnce => first("held"),
            Expectation::NeverReverts => first("reverted"),
            Expectation::InForce(_) => first("stale"),
            Expectation::OneApprovalWins => {
                (self.approvals != 1).then(|| format!("{} approvals were accepted", self.approvals))
            }
            Expectation::NoNewWork(name, after) => {
                let server = self.scenario.server_index(name)?;
                let stopped = *self.stop_times.get(&server)? + *after;
                let late =
                    self.execution_log.starts[server].iter().filter(|at| **at > stopped).count();
                (late > 0).then(|| format!("{name} got {late} attempts after {after:?}"))
            }
            Expectation::Attainment(least) => {
                let reached = self.report.attainment();
                (reached < *least as f64).then(|| format!("attainment {reached:.2}% < {least}%"))
            }
        }
    }
}

pub(crate) fn incarnation(node: usize, generation: u64) -> Incarnation {
    Incarnation(10_000 * (node as u64 + 1) + generation)
}

pub(crate) fn new_node(i: usize, name: String) -> Node {
    Node {
        name,
        epoch: Epoch::new(Time(0), incarnation(i, 0), EpochSettings::default()),
        alive: true,
        generation: 0,
        paused_until: None,
        disturbed_at: Time(0),
        served: Version::default(),
        next_tick: None,
    }
}

pub(crate) fn new_host(
    i: usize,
    generation: u64,
    bundle: &Arc<Bundle>,
    servers: usize,
) -> EntryHost {
    let settings = EntrySettings::default();
    EntryHost {
        entry: Entry::new(
            incarnation(i, generation),
            "zone-1".into(),
            settings,
            Arc::clone(bundle),
        ),
        calls: BTreeMap::new(),
        outputs: BTreeMap::new(),
        open_attempts: vec![BTreeSet::new(); servers],
        status_queries: vec![BTreeSet::new(); servers],
        connections: vec![None; servers],
        partitioned: vec![false; servers],
        timer_lag: Span::ZERO,
        next_tick: None,
    }
}

pub(crate) fn new_server(scenario: &Scenario, pool: usize, run: Incarnation) -> Server {
    let settings =
        SidecarSettings { slots: scenario.pools[pool].slots, ..SidecarSettings::default() };
    Server {
        sidecar: Sidecar::new(run, settings),
        pool,
        next_tick: None,
        slowdown: 1,
        corrupts: false,
        misreports: false,
        leaving: false,
        jobs: BTreeMap::new(),
        outputs: BTreeMap::new(),
    }
}

/// Builds the bundle of a scenario's pools and pipelines.
pub(crate) fn build_bundle(scenario: &Scenario, version: Version) -> Bundle {
    let effect = |once| if once { Effect::Once } else { Effect::Idempotent };
    let pools = scenario.pools.iter().map(|pool| {
        let server = |n: usize| BackendServer {
            id: format!("{}-{n}", pool.name).as_str().into(),
            zone: "zone-1".into(),
            side: ([127, 0, 0, 1], 1).into(),
            slots: pool.slots,
        };
        let servers = (0..pool.servers).map(server).collect();
        let kind = PoolKind::Service;
        (pool.name.as_str().into(), Pool { kind, servers, extra: 200, resume: false })
    });
    let stage = |name: &String| {
        let pool = scenario.pools.iter().find(|pool| pool.name == *name)?;
        Some(Stage {
            name: name.clone(),
            pool: name.as_str().into(),
            effect: effect(pool.once),
            path: String::new(),
            expected: pool.service_time,
        })
    };
    let pipelines = scenario.pipelines.iter().map(|pipeline| {
        let stages = pipeline.stages.iter().filter_map(stage).collect();
        let deadline = pipeline.deadline;
        (pipeline.name.as_str().into(), Pipeline { deadline, stages })
    });
    Bundle {
        version,
        pools: pools.collect(),
        pipelines: pipelines.collect(),
        workspaces: BTreeMap::from([("kollam".into(), Workspace { share: 1, limit: 10_000 })]),
        operators: BTreeMap::new(),
    }
}
