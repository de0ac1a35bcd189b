//! Event loop in virtual time.

use crate::language::{Expectation, Fault, Scenario};
use crate::node::{Host, Ledger, Node, Server, Store};
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

/// Time for the processes to connect before the scenario's clock starts.
pub(crate) const WARM: Span = Span::from_secs(2);
/// Time after the last traffic until every call must have its answer.
pub(crate) const TAIL: Span = Span::from_secs(60);
pub(crate) const HEARTBEAT: Span = Span::from_secs(1);
/// Time until a broken connection is made again.
pub(crate) const REDIAL: Span = Span::from_millis(200);
/// Time of a store call.
pub(crate) const STORE_TIME: Span = Span::from_millis(5);
/// Time after which a store call without an answer is repeated or given up.
pub(crate) const STORE_TIMEOUT: Span = Span::from_millis(250);
/// Lag of the platform's instance list.
pub(crate) const LIST_LAG: Span = Span::from_secs(1);
/// Delay of the timers of an entry whose timers lag.
pub(crate) const TIMER_LAG: Span = Span::from_millis(200);
/// Time after its deadline by which a request must have its answer.
pub(crate) const GRACE: Span = Span::from_millis(20);
/// Times that a caller sends a call again after a lost connection.
pub(crate) const RESENDS: u8 = 5;
/// Time after which a caller sends a call a second time under the same key.
pub(crate) const REPEAT_AFTER: Span = Span::from_millis(15);

#[derive(Clone)]
pub(crate) enum ToSide {
    Dispatch(Dispatch, usize, u64),
    Cancel(AttemptId),
    Forbid(RequestId, AttemptId, Incarnation),
}

#[derive(Clone, Copy)]
pub(crate) enum ToEntry {
    Refused(AttemptId, Refusal),
    Done(AttemptId, Outcome, u64),
    Stands(RequestId, AttemptId, AttemptStatus, Option<u64>),
    Report,
}

#[derive(Clone)]
pub(crate) enum Event {
    Arrive(usize, u8),
    Fault(Fault),
    Resume(usize),
    Revive(usize),
    Mend(usize, usize),
    Unslow(usize),
    Recover(usize),
    StoreUp,
    StoreFast,
    Leaving(usize),
    Dial(usize, usize),
    Beat(usize, u64),
    ToSide {
        server: usize,
        host: usize,
        link: u64,
        message: ToSide,
    },
    ToEntry {
        host: usize,
        server: usize,
        link: u64,
        message: ToEntry,
        report: SideReport,
    },
    HostTick(usize),
    SideTick(usize),
    NodeTick(usize),
    Finish {
        server: usize,
        life: u64,
        attempt: AttemptId,
    },
    StoreClaim {
        host: usize,
        life: u64,
        request: RequestId,
        key: Digest,
        record: ClaimRecord,
        write: ClaimWrite,
    },
    StoreAnswer {
        host: usize,
        life: u64,
        request: RequestId,
        answer: ClaimResult,
    },
    StoreSettle {
        key: Digest,
        record: ClaimRecord,
        revision: u64,
    },
    Show {
        to: usize,
        life: u64,
        source: Source,
        version: Version,
    },
    Polled {
        to: usize,
        life: u64,
        version: Option<Version>,
    },
    Bring {
        to: usize,
        life: u64,
        source: Source,
        version: Option<Version>,
    },
    Approve {
        bundle: String,
        seen: Version,
        again: bool,
    },
    Check(Version, Time, Span),
}

/// What a side attaches to each message.
type SideReport = damaskweir_core::message::Report;

pub(crate) struct Caller {
    pub(crate) pipeline: usize,
    pub(crate) input: u64,
    pub(crate) deadline: Time,
    pub(crate) repeat: bool,
    /// Requests that are in progress for it.
    pub(crate) open: u32,
    pub(crate) answers: u32,
    pub(crate) complete: Option<Time>,
    pub(crate) wrong: bool,
}

pub(crate) struct World<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) now: Time,
    pub(crate) events: BTreeMap<(Time, u64), Event>,
    pub(crate) sequence: u64,
    /// Entries first, then sides.
    pub(crate) nodes: Vec<Node>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) servers: Vec<Server>,
    pub(crate) store: Store,
    pub(crate) callers: Vec<Caller>,
    pub(crate) ledger: Ledger,
    pub(crate) denied: BTreeSet<RequestId>,
    /// When each server was told to leave.
    pub(crate) stopped: BTreeMap<usize, Time>,
    pub(crate) accepted: u32,
    pub(crate) links: u64,
    pub(crate) turn: usize,
    pub(crate) rng: Rng,
    pub(crate) chance: Rng,
    /// What was seen against an expectation, by its kind.
    pub(crate) seen: BTreeMap<&'static str, Vec<String>>,
    pub(crate) report: Report,
}

pub(crate) fn mix(input: u64, stage: u16) -> u64 {
    let value = input ^ (u64::from(stage) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value.rotate_left(23).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

pub(crate) fn digest(input: u64, tag: u8) -> Digest {
    let mut bytes = [tag; 32];
    bytes[..8].copy_from_slice(&input.to_le_bytes());
    Digest(bytes)
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let bundle = Arc::new(bundle(scenario, Version(1)));
        let names: Vec<_> = scenario.servers().collect();
        let hosts = (0..scenario.entries).map(|i| new_host(i, 0, &bundle, names.len())).collect();
        let servers = names
            .iter()
            .enumerate()
            .map(|(i, (pool, _))| new_server(scenario, *pool, Incarnation(1_000 * (i as u64 + 1))));
        let entries = (0..scenario.entries).map(|i| format!("entry-{}", i + 1));
        let nodes = entries.chain(names.iter().map(|(_, name)| name.clone())).enumerate();
        let nodes = nodes.map(|(i, name)| new_node(i, name)).collect();
        let mut world = Self {
            scenario,
            now: Time(0),
            events: BTreeMap::new(),
            sequence: 0,
            nodes,
            hosts,
            servers: servers.collect(),
            store: Store { manifest: Version(1), ..Store::default() },
            callers: Vec::new(),
            ledger: Ledger { starts: vec![Vec::new(); names.len()], ..Ledger::default() },
            denied: BTreeSet::new(),
            stopped: BTreeMap::new(),
            accepted: 0,
            links: 0,
            turn: 0,
            rng: Rng::seed_from_u64(seed),
            chance: Rng::seed_from_u64(seed ^ 0x5ce7_a210),
            seen: BTreeMap::new(),
            report: Report { seed, ..Report::default() },
        };
        world.plan();
        world
    }

    pub(crate) fn plan(&mut self) {
        for node in 0..self.nodes.len() {
            self.at(Time(0), Event::NodeTick(node));
        }
        for host in 0..self.hosts.len() {
            for server in 0..self.servers.len() {
                self.at(Time(0) + Span::from_millis(1), Event::Dial(host, server));
            }
        }
        for server in 0..self.servers.len() {
            self.at(Time(0) + HEARTBEAT, Event::Beat(server, 0));
        }
        for (at, fault) in &self.scenario.faults {
            self.at(*at + WARM, Event::Fault(fault.clone()));
        }
        for traffic in &self.scenario.traffic {
            let position = |p: &crate::language::PipelineLine| p.name == traffic.pipeline;
            let pipeline = self.scenario.pipelines.iter().position(position).unwrap_or_default();
            let gap = 1_000_000 / traffic.rate.max(1);
            let mut at = traffic.from + WARM;
            while at < traffic.from + WARM + traffic.length {
                at = at + Span(1 + self.chance.next_u64() % (2 * gap));
                let repeat = self.chance.next_u64() % 100 < traffic.repeat;
                let deadline = at + self.scenario.pipelines[pipeline].deadline;
                let input = self.chance.next_u64();
                self.callers.push(Caller {
                    pipeline,
                    input,
                    deadline,
                    repeat,
                    open: 0,
                    answers: 0,
                    complete: None,
                    wrong: false,
                });
                self.at(at, Event::Arrive(self.callers.len() - 1, 0));
            }
        }
    }

    pub(crate) fn run(mut self) -> Report {
        let traffic = self.callers.iter().map(|caller| caller.deadline).max().unwrap_or(Time(0));
        let faults = self.scenario.faults.iter().map(|(at, _)| *at).max().unwrap_or(Time(0));
        let last = traffic.max(faults + WARM) + TAIL;
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

    pub(crate) fn at(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    pub(crate) fn after(&mut self, span: Span, event: Event) {
        self.at(self.now + span, event);
    }

    pub(crate) fn note(&mut self, text: String) {
        self.report.trace.push((Time(0) + self.now.since(Time(0) + WARM), text));
    }

    pub(crate) fn see(&mut self, kind: &'static str, text: String) {
        self.note(format!("{kind}: {text}"));
        self.seen.entry(kind).or_default().push(text);
    }

    pub(crate) fn delay(&mut self) -> Span {
        let network = self.scenario.network;
        Span(network.0 / 2 + self.chance.next_u64() % network.0.max(1))
    }

    pub(crate) fn side_node(&self, server: usize) -> usize {
        self.hosts.len() + server
    }

    /// The node whose process handles an event.
    pub(crate) fn node_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::ToEntry { host, .. } | Event::HostTick(host) | Event::Dial(host, _) => {
                Some(*host)
            }
            Event::StoreAnswer { host, .. } => Some(*host),
            Event::ToSide { server, .. } | Event::SideTick(server) | Event::Beat(server, _) => {
                Some(self.side_node(*server))
            }
            Event::Finish { server, .. } => Some(self.side_node(*server)),
            Event::NodeTick(node) => Some(*node),
            Event::Show { to, .. } | Event::Polled { to, .. } | Event::Bring { to, .. } => {
                Some(*to)
            }
            _ => None,
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        if let Some(node) = self.node_of(&event) {
            if let Some(until) = self.nodes[node].paused {
                // In the order in which they came, after the pause.
                self.at(until, event);
                return;
            }
            if !self.nodes[node].alive {
                return;
            }
        }
        match event {
            Event::Arrive(call, tries) => self.arrive(call, tries),
            Event::Fault(fault) => self.fault(&fault),
            Event::Resume(node) => {
                self.nodes[node].paused = None;
                self.nodes[node].disturbed = self.now;
                let name = self.nodes[node].name.clone();
                self.note(format!("{name} resumes"));
            }
            Event::Revive(node) => self.revive(node),
            Event::Mend(host, server) => {
                self.hosts[host].cut[server] = false;
                let node = self.side_node(server);
                self.nodes[node].disturbed = self.now;
                self.nodes[host].disturbed = self.now;
                self.after(REDIAL, Event::Dial(host, server));
            }
            Event::Unslow(server) => self.servers[server].slow = 1,
            Event::Recover(server) => {
                let actions = self.servers[server].side.set_down(self.now, false);
                self.side_actions(server, actions);
            }
            Event::StoreUp => self.store.down = false,
            Event::StoreFast => self.store.delay = Span::ZERO,
            Event::Leaving(server) => {
                self.servers[server].leaving = true;
                for host in 0..self.hosts.len() {
                    let (pool, id) = self.name(server);
                    self.hosts[host].entry.set_leaving(&pool, &id, true);
                }
            }
            Event::Dial(host, server) => self.dial(host, server),
            Event::Beat(server, life) => self.send_heartbeats(server, life),
            Event::ToSide { server, host, link, message } => {
                self.take_at_side(server, host, link, message);
            }
            Event::ToEntry { host, server, link, message, report } => {
                if self.hosts[host].links[server] == Some(link) {
                    let (pool, id) = self.name(server);
                    self.hosts[host].entry.report(&pool, &id, report);
                    self.take_at_entry(host, server, message);
                }
            }
            Event::HostTick(host) => {
                self.hosts[host].tick = None;
                let now = self.now;
                let actions = self.hosts[host].entry.tick(now, &mut self.rng);
                self.entry_actions(host, actions);
            }
            Event::SideTick(server) => {
                self.servers[server].tick = None;
                let actions = self.servers[server].side.tick(self.now);
                self.side_actions(server, actions);
            }
            Event::NodeTick(node) => {
                self.nodes[node].tick = None;
                let now = self.now;
                let actions = self.nodes[node].epoch.tick(now, &mut self.rng);
                self.epoch_actions(node, actions);
            }
            Event::Finish { server, life, attempt } => self.finish(server, life, attempt),
            Event::StoreClaim { host, life, request, key, record, write } => {
                self.store_claim(host, life, request, key, record, write);
            }
            Event::StoreAnswer { host, life, request, answer } => {
                if self.nodes[host].life == life {
                    self.entry_event(host, EntryEvent::Claimed(request, answer));
                }
            }
            Event::StoreSettle { key, record, revision } => {
                if !self.store.down {
                    self.store.settle(key, record, revision);
                }
            }
            Event::Show { to, life, source, version } => {
                if self.nodes[to].life == life {
                    let action = self.nodes[to].epoch.advertised(self.now, source, version);
                    self.epoch_actions(to, action.into_iter().collect());
                }
            }
            Event::Polled { to, life, version } => self.polled(to, life, version),
            Event::Bring { to, life, source, version } => self.bring(to, life, source, version),
            Event::Approve { bundle, seen, again } => self.approve(bundle, seen, again),
            Event::Check(version, accepted, within) => self.check(version, accepted, within),
        }
    }

    // Faults.

    // Connections.

    pub(crate) fn name(&self, server: usize) -> (PoolId, ServerId) {
        let pool = self.scenario.pools[self.servers[server].pool].name.as_str();
        (pool.into(), self.nodes[self.side_node(server)].name.as_str().into())
    }

    pub(crate) fn dial(&mut self, host: usize, server: usize) {
        let node = self.side_node(server);
        let state = &self.hosts[host];
        if state.links[server].is_some() {
            return;
        }
        let up = self.nodes[node].alive && self.nodes[node].paused.is_none();
        // A node takes work only after it has caught up with the bundle.
        let ready = self.nodes[node].epoch.ready() && self.nodes[host].epoch.ready();
        if !up || state.cut[server] {
            self.after(REDIAL, Event::Dial(host, server));
            return;
        }
        for (a, b) in [(host, node), (node, host)] {
            let peer = incarnation(b, self.nodes[b].life);
            let version = self.nodes[b].epoch.current();
            self.nodes[a].epoch.connected(peer);
            let action = self.nodes[a].epoch.advertised(self.now, Source::Peer(peer), version);
            self.epoch_actions(a, action.into_iter().collect());
        }
        if !ready {
            self.after(REDIAL, Event::Dial(host, server));
            return;
        }
        self.links += 1;
        let link = self.links;
        let (pool, id) = self.name(server);
        let report = self.servers[server].side.report(self.now);
        let leaving = self.servers[server].leaving;
        let state = &mut self.hosts[host];
        state.links[server] = Some(link);
        state.entry.set_connected(self.now, &pool, &id, true);
        state.entry.report(&pool, &id, report);
        state.entry.set_leaving(&pool, &id, leaving);
    }

    /// Breaks a connection; both ends notice.
    pub(crate) fn disconnect(&mut self, host: usize, server: usize) {
        let Some(link) = self.hosts[host].links[server].take() else { return };
        let (pool, id) = self.name(server);
        self.hosts[host].entry.set_connected(self.now, &pool, &id, false);
        let lost = std::mem::take(&mut self.hosts[host].open[server]);
        let asked = std::mem::take(&mut self.hosts[host].asked[server]);
        if self.nodes[host].alive {
            for attempt in lost {
                self.entry_event(host, EntryEvent::ConnectionLost(attempt));
            }
            for request in asked {
                self.entry_event(host, EntryEvent::AttemptStatus(request, None));
            }
            self.after(REDIAL, Event::Dial(host, server));
        }
        if self.nodes[self.side_node(server)].alive {
            let jobs = &self.servers[server].jobs;
            let mine: Vec<_> =
                jobs.iter().filter(|(_, job)| job.link == link).map(|(a, _)| *a).collect();
            for attempt in mine {
                let actions = self.servers[server].side.cancel(self.now, attempt);
                self.side_actions(server, actions);
            }
        }
    }

    pub(crate) fn send_heartbeats(&mut self, server: usize, life: u64) {
        if self.nodes[self.side_node(server)].life != life {
            return;
        }
        for host in 0..self.hosts.len() {
            self.send_entry(server, host, ToEntry::Report);
        }
        self.after(HEARTBEAT, Event::Beat(server, life));
    }

    pub(crate) fn send_side(&mut self, host: usize, server: usize, message: ToSide) -> bool {
        let Some(link) = self.hosts[host].links[server] else { return false };
        let delay = self.delay();
        self.after(delay, Event::ToSide { server, host, link, message });
        true
    }

    pub(crate) fn send_entry(&mut self, server: usize, host: usize, message: ToEntry) {
        let Some(link) = self.hosts[host].links[server] else { return };
        let report = self.servers[server].side.report(self.now);
        let delay = self.delay();
        self.after(delay, Event::ToEntry { host, server, link, message, report });
    }

    // Callers.

    pub(crate) fn arrive(&mut self, call: usize, tries: u8) {
        let ready = |host: &usize| self.nodes[*host].alive && self.nodes[*host].epoch.ready();
        let count = self.hosts.len();
        let Some(host) = (0..count).map(|i| (self.turn + i) % count).find(ready) else {
            if self.now < self.callers[call].deadline {
                self.after(REDIAL, Event::Arrive(call, tries));
            }
            return;
        };
        self.turn = host + 1;
        let caller = &mut self.callers[call];
        if tries > RESENDS
            || tries > 0 && (caller.complete.is_some() || self.now >= caller.deadline)
        {
            return;
        }
        caller.open += 1;
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
            self.after(REPEAT_AFTER, Event::Arrive(call, 1));
        }
        let now = self.now;
        let (id, actions) = self.hosts[host].entry.call(now, &mut self.rng, request);
        self.hosts[host].calls.insert(id, call);
        self.entry_actions(host, actions);
    }

    pub(crate) fn answered(&mut self, host: usize, request: RequestId, answer: &Answer) {
        let Some(call) = self.hosts[host].calls.remove(&request) else {
            self.see("lost", format!("{request} got a second answer"));
            return;
        };
        let now = self.now;
        let caller = &mut self.callers[call];
        caller.open -= 1;
        caller.answers += 1;
        let late = now > caller.deadline + GRACE;
        let deadline = caller.deadline;
        match answer {
            Answer::Complete(attempt) => {
                let stages = self.scenario.pipelines[caller.pipeline].stages.len();
                let right = (0..stages as u16).fold(caller.input, mix);
                if self.hosts[host].outputs.get(attempt) == Some(&right) {
                    caller.complete = caller.complete.or(Some(now));
                } else {
                    caller.wrong = true;
                    self.see("lost", format!("{request} got a wrong answer from {attempt}"));
                }
            }
            Answer::Error { code, execution, retry } => {
                if *execution == Execution::NotRun {
                    self.denied.insert(request);
                }
                let hint = matches!(
                    code,
                    ErrorCode::Overloaded | ErrorCode::Unavailable | ErrorCode::StoreDown
                );
                if hint && retry.is_none() {
                    self.see("held", format!("{request} was given up without a hint"));
                }
                let text = format!("{request} of call {call}: {code:?}, {execution:?}");
                self.note(text);
            }
        }
        if late && self.nodes[host].disturbed < deadline {
            self.see("held", format!("{request} was answered after its deadline"));
        }
    }

    // Entries.

    pub(crate) fn entry_event(&mut self, host: usize, event: EntryEvent) {
        let now = self.now;
        let actions = self.hosts[host].entry.event(now, &mut self.rng, event);
        self.entry_actions(host, actions);
    }

    pub(crate) fn take_at_entry(&mut self, host: usize, server: usize, message: ToEntry) {
        let event = match message {
            ToEntry::Report => return,
            ToEntry::Refused(attempt, refusal) => {
                self.hosts[host].open[server].remove(&attempt);
                EntryEvent::Refused(attempt, refusal)
            }
            ToEntry::Done(attempt, outcome, output) => {
                self.hosts[host].open[server].remove(&attempt);
                self.hosts[host].outputs.insert(attempt, output);
                EntryEvent::Done(attempt, outcome)
            }
            ToEntry::Stands(request, attempt, standing, output) => {
                if !self.hosts[host].asked[server].remove(&request) {
                    return;
                }
                if let Some(output) = output {
                    self.hosts[host].outputs.insert(attempt, output);
                }
                EntryEvent::AttemptStatus(request, Some(standing))
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
        if let Some(next) = next.filter(|next| state.tick.is_none_or(|at| *next < at)) {
            state.tick = Some(next);
            let at = next.max(self.now) + self.hosts[host].lag;
            self.at(at, Event::HostTick(host));
        }
    }

    pub(crate) fn entry_action(&mut self, host: usize, action: EntryAction) {
        match action {
            EntryAction::Send { server, dispatch, input } => {
                let attempt = dispatch.attempt;
                let call = self.hosts[host].calls.get(&attempt.request).copied();
                let (Some(server), Some(call)) = (self.scenario.server(server.as_str()), call)
                else {
                    return;
                };
                let input = match input {
                    StageInput::Caller => self.callers[call].input,
                    StageInput::Attempt(from) => {
                        self.hosts[host].outputs.get(&from).copied().unwrap_or_default()
                    }
                };
                if self.send_side(host, server, ToSide::Dispatch(dispatch, call, input)) {
                    self.hosts[host].open[server].insert(attempt);
                } else {
                    self.entry_event(host, EntryEvent::Refused(attempt, Refusal::Down));
                }
            }
            EntryAction::Cancel(server, attempt) => {
                if let Some(server) = self.scenario.server(server.as_str()) {
                    self.hosts[host].open[server].remove(&attempt);
                    self.send_side(host, server, ToSide::Cancel(attempt));
                }
            }
            EntryAction::Claim { request, key, record, write } => {
                let life = self.nodes[host].life;
                let delay = STORE_TIME + self.store.delay + self.delay();
                let event = Event::StoreClaim { host, life, request, key, record, write };
                self.after(delay, event);
            }
            EntryAction::Forbid { request, server, attempt, incarnation } => {
                let Some(server) = self.scenario.server(server.as_str()) else { return };
                self.hosts[host].asked[server].insert(request);
                if !self.send_side(host, server, ToSide::Forbid(request, attempt, incarnation)) {
                    self.hosts[host].asked[server].remove(&request);
                    self.entry_event(host, EntryEvent::AttemptStatus(request, None));
                }
            }
            EntryAction::RecordOutcome { key, mut record, revision } => {
                let output = self.hosts[host].outputs.get(&record.attempt).copied();
                if let ClaimState::Ended { answer, .. } = &mut record.state {
                    *answer = output.map(|output| output.to_le_bytes().to_vec().into());
                }
                let delay = STORE_TIME + self.store.delay;
                self.after(delay, Event::StoreSettle { key, record, revision });
            }
            EntryAction::SaveOutput(attempt, bytes) => {
                if let Ok(bytes) = <[u8; 8]>::try_from(&bytes[..]) {
                    self.hosts[host].outputs.insert(attempt, u64::from_le_bytes(bytes));
                }
            }
            EntryAction::ForwardChunk(..) => {}
            EntryAction::Answer(request, answer) => self.answered(host, request, &answer),
        }
    }

    // Store.

    pub(crate) fn store_claim(
        &mut self,
        host: usize,
        life: u64,
        request: RequestId,
        key: Digest,
        record: ClaimRecord,
        write: ClaimWrite,
    ) {
        if self.store.down {
            let answer = ClaimResult::Unavailable;
            self.after(STORE_TIMEOUT, Event::StoreAnswer { host, life, request, answer });
            return;
        }
        let answer = self.store.claim(key, &record, write);
        if std::mem::take(&mut self.store.loses) {
            self.note(format!("the store loses its answer to {request}"));
            // The entry repeats the call.
            let event = Event::StoreClaim { host, life, request, key, record, write };
            self.after(STORE_TIMEOUT, event);
            return;
        }
        let delay = self.delay();
        self.after(delay, Event::StoreAnswer { host, life, request, answer });
    }

    // Bundles.

    // Sides and backend servers.

    // Verdict.

    pub(crate) fn check_expectations(&mut self) {
        for (call, caller) in self.callers.iter().enumerate() {
            if caller.answers == 0 || caller.open > 0 {
                let open = caller.open;
                let text = format!("call {call} has no answer, {open} requests open");
                self.seen.entry("lost").or_default().push(text);
            }
        }
        for ((pool, call), runs) in &self.ledger.runs {
            if *runs > 1 {
                let name = &self.scenario.pools[*pool].name;
                let text = format!("call {call} ran {runs} times at {name}");
                self.seen.entry("doubled").or_default().push(text);
            }
        }
        for request in self.denied.intersection(&self.ledger.requests) {
            let text = format!("{request} was told 'not run' and ran");
            self.seen.entry("untrue").or_default().push(text);
        }
        self.report.calls = self.callers.len();
        let in_time = |c: &&Caller| c.complete.is_some_and(|at| at <= c.deadline + GRACE);
        self.report.complete = self.callers.iter().filter(in_time).count();
        for expectation in &self.scenario.expectations {
            if let Some(text) = self.missed(expectation) {
                self.report.failures.push(text);
            }
        }
    }

    /// Why an expectation is not met.
    pub(crate) fn missed(&self, expectation: &Expectation) -> Option<String> {
        let first = |kind| {
            let all: &Vec<String> = self.seen.get(kind)?;
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
                (self.accepted != 1).then(|| format!("{} approvals were accepted", self.accepted))
            }
            Expectation::NoNewWork(name, after) => {
                let server = self.scenario.server(name)?;
                let stopped = *self.stopped.get(&server)? + *after;
                let late = self.ledger.starts[server].iter().filter(|at| **at > stopped).count();
                (late > 0).then(|| format!("{name} got {late} attempts after {after:?}"))
            }
            Expectation::Attainment(least) => {
                let reached = self.report.attainment();
                (reached < *least as f64).then(|| format!("attainment {reached:.2}% < {least}%"))
            }
        }
    }
}

pub(crate) fn incarnation(node: usize, life: u64) -> Incarnation {
    Incarnation(10_000 * (node as u64 + 1) + life)
}

pub(crate) fn new_node(i: usize, name: String) -> Node {
    Node {
        name,
        epoch: Epoch::new(Time(0), incarnation(i, 0), EpochSettings::default()),
        alive: true,
        life: 0,
        paused: None,
        disturbed: Time(0),
        worked: Version::default(),
        tick: None,
    }
}

pub(crate) fn new_host(i: usize, life: u64, bundle: &Arc<Bundle>, servers: usize) -> Host {
    let settings = EntrySettings::default();
    Host {
        entry: Entry::new(incarnation(i, life), "zone-1".into(), settings, Arc::clone(bundle)),
        calls: BTreeMap::new(),
        outputs: BTreeMap::new(),
        open: vec![BTreeSet::new(); servers],
        asked: vec![BTreeSet::new(); servers],
        links: vec![None; servers],
        cut: vec![false; servers],
        lag: Span::ZERO,
        tick: None,
    }
}

pub(crate) fn new_server(scenario: &Scenario, pool: usize, run: Incarnation) -> Server {
    let settings =
        SidecarSettings { slots: scenario.pools[pool].slots, ..SidecarSettings::default() };
    Server {
        side: Sidecar::new(run, settings),
        pool,
        tick: None,
        slow: 1,
        garbles: false,
        misreports: false,
        leaving: false,
        jobs: BTreeMap::new(),
        kept: BTreeMap::new(),
    }
}

/// The bundle that a scenario's pools and pipelines make.
pub(crate) fn bundle(scenario: &Scenario, version: Version) -> Bundle {
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
            expected: pool.time,
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
