//! Discrete-event simulation that drives the real `Entry` and `Sidecar` state machines in virtual
//! time against simulated backend servers, a simulated store and a simulated network.

use crate::arrival::{Arrival, uniform};
use crate::backend::{Backend, BackendProfile, CacheLookup};
use crate::deployment::Deployment;
use crate::store::{Store, StoreWrite};
use crate::summary::START_OFFSET;
use crate::tally::Tally;
use damaskweir_core::Rng;
use damaskweir_core::claim::ClaimState;
use damaskweir_core::entry::{
    Answer, Call, ClaimResult, Entry, EntryAction, EntryEvent, EntrySettings, StageInput,
};
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Sidecar, SidecarAction, SidecarSettings};
use rand_core::{Rng as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Factor by which a stall multiplies the work of an attempt.
const STALL_FACTOR: f64 = 6.0;
/// Interval at which each sidecar reports to all entries, besides the report with each message.
const HEARTBEAT_INTERVAL: Span = Span::from_secs(1);
/// Interval between load reports of a model engine, and the delay until one reaches the sidecar.
const LOAD_REPORT_INTERVAL: Span = Span::from_millis(200);
/// Delay until a change of a prefix cache reaches the entries.
const CACHE_EVENT_DELAY: Span = Span::from_millis(500);
/// Share of prefix cache events that are lost, drawn for each entry separately.
const CACHE_EVENT_LOSS: f64 = 0.2;
/// Time for which an entry collects writes before it sends them in one store call.
const BATCH_WINDOW: Span = Span::from_millis(2);
/// Number of pending writes at which an entry calls the store without waiting for the window.
const BATCH_WRITES_MAX: usize = 128;
/// Round-trip time of a store call; each direction takes half.
const STORE_LATENCY: Span = Span::from_millis(5);
/// Time until an entry closes the connection to an instance that fell silent: three heartbeat
/// intervals.
const CONNECTION_TIMEOUT: Span = Span::from_secs(3);
/// Share of store calls whose answer is lost in runs with a store outage.
const STORE_ANSWER_LOSS: f64 = 0.02;
/// Time until an entry gives up a store call whose answer is lost.
const STORE_TIMEOUT: Span = Span::from_millis(200);
/// Time after the last arrival at which the run ends; calls without an answer by then count as
/// unanswered.
const DRAIN_TIME: Span = Span::from_secs(60);

/// Interval in which some servers of the bottleneck pool are slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    pub(crate) from: Time,
    pub(crate) to: Time,
}

/// Faults injected into a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) slowdown: Option<Slowdown>,
    /// Crashes one server of the bottleneck pool per interval of the deployment's fault settings.
    pub(crate) crashes: bool,
    /// Start and end of a store outage. If set, the store also loses answers during the whole run.
    pub(crate) store_outage: Option<(Time, Time)>,
}

/// A call and the value that its stages compute, by which the simulation verifies answers. The core
/// state machines never see it.
#[derive(Clone, Copy, Debug)]
struct Payload {
    call: usize,
    value: u64,
}

#[derive(Clone, Debug)]
enum SidecarMessage {
    Dispatch(Dispatch, Payload),
    Cancel(AttemptId),
    Forbid(RequestId, AttemptId, Incarnation),
}

#[derive(Clone, Debug)]
enum EntryMessage {
    Event(EntryEvent),
    Done(AttemptId, Outcome, Payload, Span),
    Status(RequestId, AttemptId, AttemptStatus, Option<Payload>),
    Report(Report),
    Cached(u64, bool),
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    DeliverToSidecar { server: usize, generation: u64, entry: usize, message: SidecarMessage },
    DeliverToEntry { entry: usize, server: usize, message: EntryMessage },
    Disconnected { entry: usize, server: usize },
    Connected { entry: usize, server: usize, generation: u64 },
    StreamEnd { server: usize, schedule_version: u64 },
    EntryTick(usize),
    SidecarTick(usize),
    LoadReport { server: usize, generation: u64, waiting: u32 },
    Heartbeat(usize, u64),
    StoreFlush(usize),
    StoreCall { entry: usize, batch: Vec<StoreWrite> },
    StoreAnswer { entry: usize, request: RequestId, answer: ClaimResult },
    SetSlow(usize, bool),
    Crash(u64),
    Restart(usize, bool),
}

/// A backend server and its sidecar.
struct Server {
    id: ServerId,
    pool: usize,
    zone: usize,
    sidecar: Sidecar,
    backend: Backend,
    /// Number of starts of the sidecar process; messages to an earlier process are dropped.
    generation: u64,
    alive: bool,
    /// Incremented by each rescheduling, so that outdated `StreamEnd` events are ignored.
    schedule_version: u64,
    next_tick: Option<Time>,
    /// Delay of its reports in addition to the network delay.
    report_delay: Span,
    inputs: BTreeMap<AttemptId, Payload>,
    /// Outputs of finished non-idempotent attempts, returned with the answer to a status query.
    outputs: BTreeMap<AttemptId, Payload>,
}

/// An entry and the state that its daemon would hold.
struct EntryHost {
    entry: Entry,
    zone: usize,
    next_tick: Option<Time>,
    calls: BTreeMap<RequestId, usize>,
    outputs: BTreeMap<AttemptId, u64>,
    /// Attempts that fail if the connection is lost, by server.
    open_attempts: Vec<BTreeSet<AttemptId>>,
    /// Requests whose status query fails if the connection is lost, by server.
    status_queries: Vec<BTreeSet<RequestId>>,
    connected: Vec<bool>,
    batch: Vec<StoreWrite>,
}

/// State of one simulated run.
pub(crate) struct Simulation<'a> {
    deployment: &'a Deployment,
    arrivals: &'a [Arrival],
    faults: Faults,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    servers: Vec<Server>,
    hosts: Vec<EntryHost>,
    store: Store,
    pub(crate) tally: Tally,
    /// Random numbers for the code under test.
    decision_rng: Rng,
    /// Random numbers for network delays, stalls and faults.
    fault_rng: Rng,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(
        deployment: &'a Deployment,
        arrivals: &'a [Arrival],
        faults: Faults,
        settings: EntrySettings,
        seed: u64,
    ) -> Self {
        let servers = new_servers(deployment, settings.policy);
        let bundle = Arc::new(deployment.bundle());
        let hosts = (0..deployment.entries)
            .map(|i| new_host(deployment, i, settings, &bundle, servers.len()))
            .collect();
        let mut simulation = Self {
            deployment,
            arrivals,
            faults,
            now: Time(0),
            events: BTreeMap::new(),
            sequence: 0,
            servers,
            hosts,
            store: Store::default(),
            tally: Tally::new(arrivals.len()),
            decision_rng: Rng::seed_from_u64(seed ^ 0x5eed_0001),
            fault_rng: Rng::seed_from_u64(seed ^ 0x5eed_0002),
        };
        simulation.schedule_initial_events();
        simulation
    }

    /// Processes all events until the run ends and returns the finished tally.
    pub(crate) fn run(mut self) -> Tally {
        let last = self.arrivals.last().map_or(Time(0), |arrival| arrival.at) + DRAIN_TIME;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > last {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.tally.store_calls = self.store.calls;
        self.tally.finish();
        self.tally
    }

    fn schedule_initial_events(&mut self) {
        for server in 0..self.servers.len() {
            self.start_instance(server);
        }
        for (call, arrival) in self.arrivals.iter().enumerate() {
            // The offset lets the first connections open before calls arrive.
            self.schedule(arrival.at + START_OFFSET, Event::Arrive(call));
        }
        if let Some(slowdown) = self.faults.slowdown {
            for i in 0..self.deployment.faults.slowed_servers {
                let server = self.fault_target(i * 5 + 1);
                self.schedule(slowdown.from, Event::SetSlow(server, true));
                self.schedule(slowdown.to, Event::SetSlow(server, false));
            }
        }
        if self.faults.crashes {
            self.schedule(Time(0) + self.deployment.faults.crash_interval, Event::Crash(0));
        }
    }

    /// Returns the n-th server of the bottleneck pool, modulo the pool's size.
    fn fault_target(&self, n: usize) -> usize {
        let pool = self.deployment.bottleneck;
        let servers: Vec<_> =
            (0..self.servers.len()).filter(|i| self.servers[*i].pool == pool).collect();
        servers[n % servers.len()]
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.submit_call(call),
            Event::DeliverToSidecar { server, generation, entry, message } => {
                if self.servers[server].alive && self.servers[server].generation == generation {
                    self.handle_at_sidecar(server, entry, message);
                }
            }
            Event::DeliverToEntry { entry, server, message } => {
                self.handle_at_entry(entry, server, message)
            }
            Event::Disconnected { entry, server } => self.disconnect(entry, server),
            Event::Connected { entry, server, generation } => {
                if self.servers[server].alive && self.servers[server].generation == generation {
                    self.connect(entry, server);
                }
            }
            Event::StreamEnd { server, schedule_version } => {
                if self.servers[server].schedule_version == schedule_version {
                    self.end_streams(server);
                }
            }
            Event::EntryTick(entry) => self.entry_tick(entry),
            Event::SidecarTick(server) => self.sidecar_tick(server),
            Event::LoadReport { server, generation, waiting } => {
                if self.servers[server].alive && self.servers[server].generation == generation {
                    self.handle_load_report(server, waiting);
                }
            }
            Event::Heartbeat(server, generation) => self.heartbeat(server, generation),
            Event::StoreFlush(entry) => self.flush_writes(entry),
            Event::StoreCall { entry, batch } => self.call_store(entry, batch),
            Event::StoreAnswer { entry, request, answer } => {
                self.entry_event(entry, EntryEvent::Claimed(request, answer));
            }
            Event::SetSlow(server, slow) => self.set_slow(server, slow),
            Event::Crash(n) => self.crash(n),
            Event::Restart(server, whole_instance) => {
                if whole_instance {
                    self.start_instance(server);
                } else {
                    let now = self.now;
                    let actions = self.servers[server].sidecar.set_down(now, false);
                    self.sidecar_actions(server, actions);
                }
            }
        }
    }

    // Network.

    fn network_delay(&mut self, from: usize, to: usize) -> Span {
        let zones = self.deployment.zones.len();
        let near = from % zones == to % zones;
        let base = if near { self.deployment.near_delay } else { self.deployment.zone_delay };
        base.scale(0.9 + 0.3 * uniform(&mut self.fault_rng))
    }

    fn send_to_sidecar(&mut self, entry: usize, server: usize, message: SidecarMessage) {
        let delay = self.network_delay(self.hosts[entry].zone, self.servers[server].zone);
        let generation = self.servers[server].generation;
        self.schedule(
            self.now + delay,
            Event::DeliverToSidecar { server, generation, entry, message },
        );
    }

    fn send_to_entry(&mut self, server: usize, entry: usize, message: EntryMessage) {
        let delay = self.network_delay(self.hosts[entry].zone, self.servers[server].zone);
        self.schedule(self.now + delay, Event::DeliverToEntry { entry, server, message });
        self.send_report(server, entry, delay);
    }

    /// Sends a report of the server's sidecar, which arrives `report_delay` after the network
    /// delay.
    fn send_report(&mut self, server: usize, entry: usize, delay: Span) {
        let report = self.servers[server].sidecar.report(self.now);
        let at = self.now + delay + self.servers[server].report_delay;
        self.schedule(
            at,
            Event::DeliverToEntry { entry, server, message: EntryMessage::Report(report) },
        );
    }

    fn heartbeat(&mut self, server: usize, generation: u64) {
        if !self.servers[server].alive || self.servers[server].generation != generation {
            return;
        }
        for entry in 0..self.hosts.len() {
            let delay = self.network_delay(self.hosts[entry].zone, self.servers[server].zone);
            self.send_report(server, entry, delay);
        }
        self.schedule(self.now + HEARTBEAT_INTERVAL, Event::Heartbeat(server, generation));
    }

    fn connect(&mut self, entry: usize, server: usize) {
        let (pool, id) = self.server_ids(server);
        let report = self.servers[server].sidecar.report(self.now);
        let host = &mut self.hosts[entry];
        host.connected[server] = true;
        host.entry.set_connected(self.now, &pool, &id, true);
        host.entry.report(&pool, &id, report);
    }

    fn disconnect(&mut self, entry: usize, server: usize) {
        let (pool, id) = self.server_ids(server);
        let host = &mut self.hosts[entry];
        host.connected[server] = false;
        host.entry.set_connected(self.now, &pool, &id, false);
        let lost = std::mem::take(&mut host.open_attempts[server]);
        let queries = std::mem::take(&mut host.status_queries[server]);
        for attempt in lost {
            self.entry_event(entry, EntryEvent::ConnectionLost(attempt));
        }
        for request in queries {
            self.entry_event(entry, EntryEvent::AttemptStatus(request, None));
        }
    }

    fn server_ids(&self, server: usize) -> (PoolId, ServerId) {
        let server = &self.servers[server];
        (self.deployment.pools[server.pool].id(), server.id.clone())
    }

    // Callers and entries.

    fn submit_call(&mut self, call: usize) {
        let arrival = &self.arrivals[call];
        let pipeline = &self.deployment.pipelines[arrival.pipeline];
        let request = Call {
            pipeline: pipeline.id(),
            workspace: self.deployment.workspaces[arrival.workspace].id(),
            deadline: None,
            key: pipeline.needs_key().then(|| digest(arrival.body, 1)),
            body: digest(arrival.body, 2),
            prefix: Some(arrival.prefix),
            stream: false,
        };
        let entry = arrival.entry;
        let host = &mut self.hosts[entry];
        let (id, actions) =
            host.entry.call_sized(self.now, &mut self.decision_rng, request, arrival.class);
        host.calls.insert(id, call);
        self.entry_actions(entry, actions);
    }

    fn entry_event(&mut self, entry: usize, event: EntryEvent) {
        let actions = self.hosts[entry].entry.event(self.now, &mut self.decision_rng, event);
        self.entry_actions(entry, actions);
    }

    fn entry_tick(&mut self, entry: usize) {
        let host = &mut self.hosts[entry];
        if host.next_tick.is_none_or(|at| at > self.now) {
            return;
        }
        host.next_tick = None;
        let actions = host.entry.tick(self.now, &mut self.decision_rng);
        self.entry_actions(entry, actions);
    }

    fn handle_at_entry(&mut self, entry: usize, server: usize, message: EntryMessage) {
        let event = match message {
            EntryMessage::Event(event) => {
                if let EntryEvent::Refused(attempt, _) = &event {
                    self.hosts[entry].open_attempts[server].remove(attempt);
                }
                event
            }
            EntryMessage::Done(attempt, outcome, payload, time) => {
                let host = &mut self.hosts[entry];
                // The stream of a cancelled or lost attempt is closed, so its result is dropped.
                if !host.open_attempts[server].remove(&attempt) {
                    return;
                }
                host.outputs.insert(attempt, payload.value);
                host.entry.set_service_time(attempt, time);
                EntryEvent::Done(attempt, outcome)
            }
            EntryMessage::Status(request, attempt, status, payload) => {
                let host = &mut self.hosts[entry];
                if !host.status_queries[server].remove(&request) {
                    return;
                }
                if let Some(payload) = payload {
                    host.outputs.insert(attempt, payload.value);
                }
                EntryEvent::AttemptStatus(request, Some(status))
            }
            EntryMessage::Report(report) => {
                let (pool, id) = self.server_ids(server);
                if self.hosts[entry].connected[server] {
                    self.hosts[entry].entry.report(&pool, &id, report);
                }
                return;
            }
            EntryMessage::Cached(prefix, kept) => {
                let (pool, id) = self.server_ids(server);
                self.hosts[entry].entry.set_cached_prefix(&pool, &id, prefix, kept);
                return;
            }
        };
        self.entry_event(entry, event);
    }

    fn entry_actions(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            self.entry_action(entry, action);
        }
        let host = &mut self.hosts[entry];
        let next = host.entry.next_tick();
        if let Some(next) = next.filter(|next| host.next_tick.is_none_or(|at| *next < at)) {
            host.next_tick = Some(next);
            self.schedule(next.max(self.now), Event::EntryTick(entry));
        }
    }

    fn entry_action(&mut self, entry: usize, action: EntryAction) {
        match action {
            EntryAction::Send { server, dispatch, input } => {
                self.send_dispatch(entry, &server, dispatch, input);
            }
            EntryAction::Cancel(server, attempt) => {
                if let Some(server) = self.server_index(&server) {
                    self.hosts[entry].open_attempts[server].remove(&attempt);
                    self.send_to_sidecar(entry, server, SidecarMessage::Cancel(attempt));
                }
            }
            EntryAction::Claim { request, key, record, write } => {
                self.queue_write(entry, StoreWrite::Claim { request, key, record, write });
            }
            EntryAction::RecordOutcome { key, mut record, revision } => {
                let output = self.hosts[entry].outputs.get(&record.attempt).copied();
                if let ClaimState::Ended { answer, .. } = &mut record.state {
                    *answer = output.map(|value| value.to_be_bytes().to_vec().into());
                }
                self.queue_write(entry, StoreWrite::RecordOutcome { key, record, revision });
            }
            EntryAction::Forbid { request, server, attempt, incarnation } => {
                self.send_forbid(entry, request, &server, attempt, incarnation);
            }
            EntryAction::SaveOutput(attempt, bytes) => {
                let bytes: [u8; 8] = bytes.as_ref().try_into().unwrap_or_default();
                self.hosts[entry].outputs.insert(attempt, u64::from_be_bytes(bytes));
            }
            EntryAction::ForwardChunk(..) => {}
            EntryAction::Answer(request, answer) => self.answer(entry, request, &answer),
        }
    }

    fn server_index(&self, id: &ServerId) -> Option<usize> {
        self.servers.iter().position(|server| server.id == *id)
    }

    fn send_dispatch(
        &mut self,
        entry: usize,
        server: &ServerId,
        dispatch: Dispatch,
        input: StageInput,
    ) {
        let Some(server) = self.server_index(server) else { return };
        let host = &mut self.hosts[entry];
        let attempt = dispatch.attempt;
        let Some(call) = host.calls.get(&attempt.request).copied() else { return };
        let value = match input {
            StageInput::Caller => first_input(&self.arrivals[call]),
            StageInput::Attempt(from) => {
                self.tally.record_use(from);
                host.outputs.get(&from).copied().unwrap_or_default()
            }
        };
        if host.connected[server] {
            host.open_attempts[server].insert(attempt);
            self.send_to_sidecar(
                entry,
                server,
                SidecarMessage::Dispatch(dispatch, Payload { call, value }),
            );
        } else {
            let message = EntryMessage::Event(EntryEvent::ConnectionLost(attempt));
            self.schedule(self.now, Event::DeliverToEntry { entry, server, message });
        }
    }

    fn send_forbid(
        &mut self,
        entry: usize,
        request: RequestId,
        server: &ServerId,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) {
        let Some(server) = self.server_index(server) else { return };
        if self.hosts[entry].connected[server] {
            self.hosts[entry].status_queries[server].insert(request);
            self.send_to_sidecar(
                entry,
                server,
                SidecarMessage::Forbid(request, attempt, incarnation),
            );
        } else {
            let message = EntryMessage::Event(EntryEvent::AttemptStatus(request, None));
            self.schedule(self.now, Event::DeliverToEntry { entry, server, message });
        }
    }

    fn answer(&mut self, entry: usize, request: RequestId, answer: &Answer) {
        let Some(call) = self.hosts[entry].calls.get(&request).copied() else { return };
        let matches = match answer {
            Answer::Complete(attempt) => {
                self.tally.record_use(*attempt);
                let output = self.hosts[entry].outputs.get(attempt).copied();
                output == Some(expected_output(&self.arrivals[call]))
            }
            Answer::Error { .. } => true,
        };
        self.tally.record_answer(self.now, call, answer, matches);
    }

    // Store.

    fn queue_write(&mut self, entry: usize, write: StoreWrite) {
        let host = &mut self.hosts[entry];
        host.batch.push(write);
        if host.batch.len() == 1 {
            self.schedule(self.now + BATCH_WINDOW, Event::StoreFlush(entry));
        } else if host.batch.len() >= BATCH_WRITES_MAX {
            self.flush_writes(entry);
        }
    }

    fn flush_writes(&mut self, entry: usize) {
        let batch = std::mem::take(&mut self.hosts[entry].batch);
        if !batch.is_empty() {
            self.schedule(self.now + Span(STORE_LATENCY.0 / 2), Event::StoreCall { entry, batch });
        }
    }

    fn call_store(&mut self, entry: usize, batch: Vec<StoreWrite>) {
        let Some((from, to)) = self.faults.store_outage else {
            let answers = self.store.call(batch);
            return self.schedule_store_answers(entry, answers, Span(STORE_LATENCY.0 / 2));
        };
        let down = (from..to).contains(&self.now);
        let lost = down || uniform(&mut self.fault_rng) < STORE_ANSWER_LOSS;
        // Half of the calls whose answer is lost still take effect.
        let answers = if lost && uniform(&mut self.fault_rng) < 0.5 {
            Store::unavailable_answers(&batch)
        } else {
            self.store.call(batch)
        };
        if lost {
            let answers =
                answers.into_iter().map(|(id, _)| (id, ClaimResult::Unavailable)).collect();
            self.schedule_store_answers(entry, answers, STORE_TIMEOUT);
        } else {
            self.schedule_store_answers(entry, answers, Span(STORE_LATENCY.0 / 2));
        }
    }

    fn schedule_store_answers(
        &mut self,
        entry: usize,
        answers: Vec<(RequestId, ClaimResult)>,
        after: Span,
    ) {
        for (request, answer) in answers {
            self.schedule(self.now + after, Event::StoreAnswer { entry, request, answer });
        }
    }

    // Sidecars and backend servers.

    fn handle_at_sidecar(&mut self, server: usize, entry: usize, message: SidecarMessage) {
        let now = self.now;
        match message {
            SidecarMessage::Dispatch(dispatch, payload) => {
                let state = &mut self.servers[server];
                let actions = state.sidecar.dispatch(now, &dispatch);
                let attempt = dispatch.attempt;
                let refused = actions
                    .iter()
                    .any(|a| matches!(a, SidecarAction::Refuse(id, _) if *id == attempt));
                if !refused {
                    state.inputs.insert(attempt, payload);
                    let message = EntryMessage::Event(EntryEvent::Accepted(attempt));
                    self.send_to_entry(server, entry, message);
                }
                self.sidecar_actions(server, actions);
            }
            SidecarMessage::Cancel(attempt) => {
                let actions = self.servers[server].sidecar.cancel(now, attempt);
                self.sidecar_actions(server, actions);
            }
            SidecarMessage::Forbid(request, attempt, incarnation) => {
                let state = &mut self.servers[server];
                let status = state.sidecar.forbid(attempt, incarnation);
                let output = state.outputs.get(&attempt).copied();
                let message = EntryMessage::Status(request, attempt, status, output);
                self.send_to_entry(server, entry, message);
                self.schedule_server(server);
            }
        }
    }

    fn sidecar_actions(&mut self, server: usize, actions: Vec<SidecarAction>) {
        for action in actions {
            match action {
                SidecarAction::Start(attempt) => self.start_attempt(server, attempt),
                SidecarAction::Refuse(attempt, refusal) => {
                    self.servers[server].inputs.remove(&attempt);
                    if let Some(entry) = self.owning_entry(attempt) {
                        let message = EntryMessage::Event(EntryEvent::Refused(attempt, refusal));
                        self.send_to_entry(server, entry, message);
                    }
                }
                SidecarAction::Abort(attempt) => {
                    let work = self.servers[server].backend.abort(self.now, attempt);
                    self.record_stopped(server, attempt, work);
                }
                SidecarAction::Drained => {}
            }
        }
        self.schedule_server(server);
    }

    fn owning_entry(&self, attempt: AttemptId) -> Option<usize> {
        let entry = attempt.request.entry.0.checked_sub(1)? as usize;
        (entry < self.hosts.len()).then_some(entry)
    }

    fn start_attempt(&mut self, server: usize, attempt: AttemptId) {
        let state = &mut self.servers[server];
        let Some(payload) = state.inputs.get(&attempt).copied() else { return };
        let pool = &self.deployment.pools[state.pool];
        let arrival = &self.arrivals[payload.call];
        let stage = usize::from(attempt.stage);
        let once = self.deployment.pipelines[arrival.pipeline].stages[stage].effect == Effect::Once;
        let stalls = uniform(&mut self.fault_rng) < pool.stall_share;
        let factor = if stalls { STALL_FACTOR } else { 1.0 };
        let work = arrival.work[stage].scale(factor);
        let lookup = state.backend.start(self.now, attempt, work, arrival.prefix);
        self.tally.prefix_hits += u64::from(lookup == CacheLookup::Hit);
        if let CacheLookup::Inserted(evicted) = lookup {
            self.send_cache_event(server, arrival.prefix, true);
            if let Some(prefix) = evicted {
                self.send_cache_event(server, prefix, false);
            }
        }
        self.tally.record_start(self.now, attempt, payload.call, arrival, once);
    }

    /// Reports a change of a prefix cache to the entries, with a delay and with losses.
    fn send_cache_event(&mut self, server: usize, prefix: u64, kept: bool) {
        for entry in 0..self.hosts.len() {
            if uniform(&mut self.fault_rng) >= CACHE_EVENT_LOSS {
                let message = EntryMessage::Cached(prefix, kept);
                self.schedule(
                    self.now + CACHE_EVENT_DELAY,
                    Event::DeliverToEntry { entry, server, message },
                );
            }
        }
    }

    fn record_stopped(&mut self, server: usize, attempt: AttemptId, work: Span) -> Option<Payload> {
        let payload = self.servers[server].inputs.remove(&attempt)?;
        let stage = usize::from(attempt.stage);
        self.tally.record_stop(self.now, attempt, payload.call, stage, work);
        Some(payload)
    }

    fn end_streams(&mut self, server: usize) {
        for (attempt, work) in self.servers[server].backend.finish(self.now) {
            self.end_attempt(server, attempt, work, Outcome::Finished);
        }
        self.schedule_server(server);
    }

    fn end_attempt(&mut self, server: usize, attempt: AttemptId, work: Span, outcome: Outcome) {
        let Some(payload) = self.record_stopped(server, attempt, work) else { return };
        let output = Payload { value: stage_output(payload.value, attempt.stage), ..payload };
        let state = &mut self.servers[server];
        let time = state.sidecar.elapsed(self.now, attempt).unwrap_or_default();
        let actions = state.sidecar.finish(self.now, attempt, outcome);
        let arrival = &self.arrivals[payload.call];
        let stage = &self.deployment.pipelines[arrival.pipeline].stages[usize::from(attempt.stage)];
        if stage.effect == Effect::Once && outcome == Outcome::Finished {
            state.outputs.insert(attempt, output);
        }
        if let Some(entry) = self.owning_entry(attempt) {
            self.send_to_entry(server, entry, EntryMessage::Done(attempt, outcome, output, time));
        }
        self.sidecar_actions(server, actions);
    }

    fn sidecar_tick(&mut self, server: usize) {
        let state = &mut self.servers[server];
        if !state.alive || state.next_tick.is_none_or(|at| at > self.now) {
            return;
        }
        state.next_tick = None;
        let actions = state.sidecar.tick(self.now);
        self.sidecar_actions(server, actions);
    }

    /// Passes a load report of a model engine to its sidecar and sends the next one.
    fn handle_load_report(&mut self, server: usize, waiting: u32) {
        let state = &mut self.servers[server];
        let actions = state.sidecar.observe_load(self.now, waiting);
        let (generation, waiting) = (state.generation, state.backend.queued());
        self.sidecar_actions(server, actions);
        self.schedule(
            self.now + LOAD_REPORT_INTERVAL,
            Event::LoadReport { server, generation, waiting },
        );
    }

    /// Schedules the next end of a stream and the next tick of the sidecar.
    fn schedule_server(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.schedule_version += 1;
        let schedule_version = state.schedule_version;
        let next = state.backend.next_end();
        let tick =
            state.sidecar.next_tick().filter(|next| state.next_tick.is_none_or(|at| *next < at));
        if tick.is_some() {
            state.next_tick = tick;
        }
        if let Some(at) = next {
            self.schedule(at.max(self.now), Event::StreamEnd { server, schedule_version });
        }
        if let Some(at) = tick {
            self.schedule(at.max(self.now), Event::SidecarTick(server));
        }
    }

    // Faults.

    fn set_slow(&mut self, server: usize, slow: bool) {
        let faults = self.deployment.faults;
        let state = &mut self.servers[server];
        state.backend.set_slow_factor(self.now, if slow { faults.slow_factor } else { 1.0 });
        state.report_delay =
            self.deployment.report_lag + if slow { faults.extra_lag } else { Span::ZERO };
        self.schedule_server(server);
    }

    /// Crashes one server. The kinds of crash alternate: the instance with its connections reset,
    /// the instance without a reset, and the backend server alone.
    fn crash(&mut self, n: u64) {
        let server = self.fault_target((n * 7 + 3) as usize);
        let whole_instance = n % 3 != 2;
        if whole_instance {
            let detection_delay = if n % 3 == 1 { CONNECTION_TIMEOUT } else { Span::ZERO };
            self.crash_instance(server, detection_delay);
        } else {
            let actions = self.servers[server].sidecar.set_down(self.now, true);
            self.sidecar_actions(server, actions);
            for (attempt, work) in self.servers[server].backend.crash(self.now) {
                self.end_attempt(server, attempt, work, Outcome::Failed(Failure::Interrupted));
            }
            self.schedule_server(server);
        }
        let faults = self.deployment.faults;
        self.schedule(self.now + faults.downtime, Event::Restart(server, whole_instance));
        self.schedule(self.now + faults.crash_interval, Event::Crash(n + 1));
    }

    /// Crashes an instance; the entries detect the lost connections after `detection_delay`.
    fn crash_instance(&mut self, server: usize, detection_delay: Span) {
        for (attempt, work) in self.servers[server].backend.crash(self.now) {
            self.record_stopped(server, attempt, work);
        }
        let state = &mut self.servers[server];
        state.alive = false;
        state.inputs.clear();
        state.outputs.clear();
        self.schedule_server(server);
        for entry in 0..self.hosts.len() {
            let delay = self.network_delay(self.hosts[entry].zone, self.servers[server].zone);
            self.schedule(
                self.now + detection_delay + delay,
                Event::Disconnected { entry, server },
            );
        }
    }

    /// Starts a new sidecar process without state for a server and opens its connections.
    fn start_instance(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.generation += 1;
        state.alive = true;
        state.next_tick = None;
        let incarnation = Incarnation((server as u64 + 1) << 32 | state.generation);
        let policy = state.sidecar.policy();
        state.sidecar = new_sidecar(&self.deployment.pools[state.pool], incarnation, policy);
        let generation = state.generation;
        for entry in 0..self.hosts.len() {
            let delay = self.network_delay(self.hosts[entry].zone, self.servers[server].zone);
            self.schedule(self.now + delay, Event::Connected { entry, server, generation });
        }
        let first = Span(self.fault_rng.next_u64() % HEARTBEAT_INTERVAL.0);
        self.schedule(self.now + first, Event::Heartbeat(server, generation));
        if self.deployment.pools[self.servers[server].pool].kind == PoolKind::Engine {
            self.schedule(self.now + first, Event::LoadReport { server, generation, waiting: 0 });
        }
    }
}

fn new_sidecar(
    pool: &crate::deployment::PoolSpec,
    incarnation: Incarnation,
    policy: Policy,
) -> Sidecar {
    Sidecar::new(
        incarnation,
        SidecarSettings { slots: pool.configured_slots(), policy, ..SidecarSettings::default() },
    )
}

fn new_servers(deployment: &Deployment, policy: Policy) -> Vec<Server> {
    let mut servers = Vec::new();
    for (pool, spec) in deployment.pools.iter().enumerate() {
        let profile = BackendProfile {
            slots: spec.slots as usize,
            stream_slowdown: spec.slowdown,
            cache_prefixes: spec.cache_size,
            hit_saving: spec.hit_saving,
        };
        servers.extend((0..spec.servers).map(|i| Server {
            id: spec.server(i),
            pool,
            zone: i,
            sidecar: new_sidecar(spec, Incarnation(0), policy),
            backend: Backend::new(profile),
            generation: 0,
            alive: false,
            schedule_version: 0,
            next_tick: None,
            report_delay: deployment.report_lag,
            inputs: BTreeMap::new(),
            outputs: BTreeMap::new(),
        }));
    }
    servers
}

fn new_host(
    deployment: &Deployment,
    i: usize,
    settings: EntrySettings,
    bundle: &Arc<Bundle>,
    servers: usize,
) -> EntryHost {
    let zone = deployment.zone(i);
    EntryHost {
        entry: Entry::new(Incarnation(i as u64 + 1), zone, settings, Arc::clone(bundle)),
        zone: i,
        next_tick: None,
        calls: BTreeMap::new(),
        outputs: BTreeMap::new(),
        open_attempts: vec![BTreeSet::new(); servers],
        status_queries: vec![BTreeSet::new(); servers],
        connected: vec![false; servers],
        batch: Vec::new(),
    }
}

fn digest(body: u64, salt: u8) -> Digest {
    let mut bytes = [salt; 32];
    bytes[..8].copy_from_slice(&body.to_be_bytes());
    Digest(bytes)
}

/// Returns the input of a call's first stage.
fn first_input(arrival: &Arrival) -> u64 {
    arrival.body.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x1234_5678
}

/// Returns the output of a stage. Different inputs of a stage have different outputs.
fn stage_output(input: u64, stage: u16) -> u64 {
    (input ^ (u64::from(stage) + 1)).wrapping_mul(0xd6e8_feb8_6659_fd93).rotate_left(17)
}

/// Returns the output of a call's last stage, the only correct answer.
fn expected_output(arrival: &Arrival) -> u64 {
    (0..arrival.work.len())
        .fold(first_input(arrival), |value, stage| stage_output(value, stage as u16))
}
