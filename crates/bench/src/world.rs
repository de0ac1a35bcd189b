//! Drives the real `Entry` and `Sidecar` state machines in virtual time against the stand-ins.

use crate::arrival::{Arrival, uniform};
use crate::backend::{Backend, Behaviour, Touch};
use crate::deployment::Deployment;
use crate::store::{Store, Write};
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

/// How many times longer a stalled attempt takes.
const STALL_FACTOR: f64 = 6.0;
/// Sides report at least this often.
const HEARTBEAT: Span = Span::from_secs(1);
/// Time between load reports of a model engine, and until one reaches the side.
const LOAD_LAG: Span = Span::from_millis(200);
/// Time until news of a prefix cache reach the entries, and the share of them that is lost.
const CACHE_LAG: Span = Span::from_millis(500);
const CACHE_GAPS: f64 = 0.2;
/// Time that an entry collects writes for one store call.
const BATCH_TIME: Span = Span::from_millis(2);
/// Writes in one store call at most.
const BATCH_SIZE: usize = 128;
/// Time that a store call takes.
const STORE_TIME: Span = Span::from_millis(5);
/// Time until a connection to an instance that vanished is given up. Three heartbeats.
const SILENCE: Span = Span::from_secs(3);
/// Share of store calls whose answer is lost, and time until they are given up.
const STORE_LOSSES: f64 = 0.02;
const STORE_TIMEOUT: Span = Span::from_millis(200);
/// Time after the last arrival until every call must have its answer.
const TAIL: Span = Span::from_secs(60);

/// A slowdown of some servers of the bottleneck pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    pub(crate) from: Time,
    pub(crate) to: Time,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) slowdown: Option<Slowdown>,
    /// One server of the bottleneck pool dies at each interval.
    pub(crate) dying: bool,
    /// The store is down between these, and loses some answers at all times.
    pub(crate) outage: Option<(Time, Time)>,
}

/// Identity and content of a payload: what the stand-ins check, and the core never sees.
#[derive(Clone, Copy, Debug)]
struct Payload {
    call: usize,
    value: u64,
}

#[derive(Clone, Debug)]
enum ToSide {
    Dispatch(Dispatch, Payload),
    Cancel(AttemptId),
    Forbid(RequestId, AttemptId, Incarnation),
}

#[derive(Clone, Debug)]
enum ToEntry {
    Event(EntryEvent),
    Done(AttemptId, Outcome, Payload, Span),
    Stands(RequestId, AttemptId, AttemptStatus, Option<Payload>),
    Report(Report),
    Cached(u64, bool),
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    ToSide { server: usize, life: u64, entry: usize, message: ToSide },
    ToEntry { entry: usize, server: usize, message: ToEntry },
    Broken { entry: usize, server: usize },
    Connected { entry: usize, server: usize, life: u64 },
    Backend { server: usize, generation: u64 },
    EntryTick(usize),
    SideTick(usize),
    Load { server: usize, life: u64, waiting: u32 },
    Heartbeat(usize, u64),
    StoreFlush(usize),
    StoreCall { entry: usize, batch: Vec<Write> },
    StoreAnswer { entry: usize, request: RequestId, answer: ClaimResult },
    Slow(usize, bool),
    Die(u64),
    Rise(usize, bool),
}

/// One backend server with its side.
struct Server {
    id: ServerId,
    pool: usize,
    zone: usize,
    side: Sidecar,
    backend: Backend,
    /// Counts the runs of the side process; messages to an earlier one are dropped.
    life: u64,
    alive: bool,
    generation: u64,
    tick: Option<Time>,
    /// Extra time until its reports reach the entries.
    lag: Span,
    jobs: BTreeMap<AttemptId, Payload>,
    /// Outputs of non-idempotent attempts, which the side keeps.
    kept: BTreeMap<AttemptId, Payload>,
}

/// One entry and what its daemon would keep.
struct Host {
    entry: Entry,
    zone: usize,
    tick: Option<Time>,
    calls: BTreeMap<RequestId, usize>,
    outputs: BTreeMap<AttemptId, u64>,
    /// Attempts and questions that a broken connection ends, by server.
    open: Vec<BTreeSet<AttemptId>>,
    asked: Vec<BTreeSet<RequestId>>,
    connected: Vec<bool>,
    batch: Vec<Write>,
}

pub(crate) struct World<'a> {
    deployment: &'a Deployment,
    arrivals: &'a [Arrival],
    faults: Faults,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    servers: Vec<Server>,
    hosts: Vec<Host>,
    store: Store,
    pub(crate) tally: Tally,
    /// Decisions of the code under test.
    rng: Rng,
    /// Network, stalls and faults.
    chance: Rng,
}

impl<'a> World<'a> {
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
        let mut world = Self {
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
            rng: Rng::seed_from_u64(seed ^ 0x5eed_0001),
            chance: Rng::seed_from_u64(seed ^ 0x5eed_0002),
        };
        world.plan();
        world
    }

    /// Runs to the end and closes the tally.
    pub(crate) fn run(mut self) -> Tally {
        let last = self.arrivals.last().map_or(Time(0), |arrival| arrival.at) + TAIL;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > last {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.tally.store_calls = self.store.calls;
        self.tally.close();
        self.tally
    }

    fn plan(&mut self) {
        for server in 0..self.servers.len() {
            self.rise(server);
        }
        for (call, arrival) in self.arrivals.iter().enumerate() {
            // After the first connections.
            self.at(arrival.at + START_OFFSET, Event::Arrive(call));
        }
        if let Some(slowdown) = self.faults.slowdown {
            for i in 0..self.deployment.faults.slowed_servers {
                let server = self.victim(i * 5 + 1);
                self.at(slowdown.from, Event::Slow(server, true));
                self.at(slowdown.to, Event::Slow(server, false));
            }
        }
        if self.faults.dying {
            self.at(Time(0) + self.deployment.faults.crash_interval, Event::Die(0));
        }
    }

    /// The n-th server of the bottleneck pool, in turn.
    fn victim(&self, n: usize) -> usize {
        let pool = self.deployment.bottleneck;
        let servers: Vec<_> =
            (0..self.servers.len()).filter(|i| self.servers[*i].pool == pool).collect();
        servers[n % servers.len()]
    }

    fn at(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::ToSide { server, life, entry, message } => {
                if self.servers[server].alive && self.servers[server].life == life {
                    self.take_at_side(server, entry, message);
                }
            }
            Event::ToEntry { entry, server, message } => self.take_at_entry(entry, server, message),
            Event::Broken { entry, server } => self.broken(entry, server),
            Event::Connected { entry, server, life } => {
                if self.servers[server].alive && self.servers[server].life == life {
                    self.connected(entry, server);
                }
            }
            Event::Backend { server, generation } => {
                if self.servers[server].generation == generation {
                    self.backend(server);
                }
            }
            Event::EntryTick(entry) => self.entry_tick(entry),
            Event::SideTick(server) => self.side_tick(server),
            Event::Load { server, life, waiting } => {
                if self.servers[server].alive && self.servers[server].life == life {
                    self.load(server, waiting);
                }
            }
            Event::Heartbeat(server, life) => self.heartbeat(server, life),
            Event::StoreFlush(entry) => self.flush(entry),
            Event::StoreCall { entry, batch } => self.store_call(entry, batch),
            Event::StoreAnswer { entry, request, answer } => {
                self.entry_event(entry, EntryEvent::Claimed(request, answer));
            }
            Event::Slow(server, slow) => self.slow(server, slow),
            Event::Die(n) => self.die(n),
            Event::Rise(server, whole) => {
                if whole {
                    self.rise(server);
                } else {
                    let now = self.now;
                    let actions = self.servers[server].side.set_down(now, false);
                    self.side_actions(server, actions);
                }
            }
        }
    }

    // Network.

    fn delay(&mut self, from: usize, to: usize) -> Span {
        let zones = self.deployment.zones.len();
        let near = from % zones == to % zones;
        let base = if near { self.deployment.near_delay } else { self.deployment.zone_delay };
        base.scale(0.9 + 0.3 * uniform(&mut self.chance))
    }

    fn send_side(&mut self, entry: usize, server: usize, message: ToSide) {
        let delay = self.delay(self.hosts[entry].zone, self.servers[server].zone);
        let life = self.servers[server].life;
        self.at(self.now + delay, Event::ToSide { server, life, entry, message });
    }

    fn send_entry(&mut self, server: usize, entry: usize, message: ToEntry) {
        let delay = self.delay(self.hosts[entry].zone, self.servers[server].zone);
        self.at(self.now + delay, Event::ToEntry { entry, server, message });
        self.send_report(server, entry, delay);
    }

    /// Sends the report that goes with each message; it arrives late by the servers's lag.
    fn send_report(&mut self, server: usize, entry: usize, delay: Span) {
        let report = self.servers[server].side.report(self.now);
        let at = self.now + delay + self.servers[server].lag;
        self.at(at, Event::ToEntry { entry, server, message: ToEntry::Report(report) });
    }

    fn heartbeat(&mut self, server: usize, life: u64) {
        if !self.servers[server].alive || self.servers[server].life != life {
            return;
        }
        for entry in 0..self.hosts.len() {
            let delay = self.delay(self.hosts[entry].zone, self.servers[server].zone);
            self.send_report(server, entry, delay);
        }
        self.at(self.now + HEARTBEAT, Event::Heartbeat(server, life));
    }

    fn connected(&mut self, entry: usize, server: usize) {
        let (pool, id) = self.name(server);
        let report = self.servers[server].side.report(self.now);
        let host = &mut self.hosts[entry];
        host.connected[server] = true;
        host.entry.set_connected(self.now, &pool, &id, true);
        host.entry.report(&pool, &id, report);
    }

    fn broken(&mut self, entry: usize, server: usize) {
        let (pool, id) = self.name(server);
        let host = &mut self.hosts[entry];
        host.connected[server] = false;
        host.entry.set_connected(self.now, &pool, &id, false);
        let lost = std::mem::take(&mut host.open[server]);
        let asked = std::mem::take(&mut host.asked[server]);
        for attempt in lost {
            self.entry_event(entry, EntryEvent::ConnectionLost(attempt));
        }
        for request in asked {
            self.entry_event(entry, EntryEvent::AttemptStatus(request, None));
        }
    }

    fn name(&self, server: usize) -> (PoolId, ServerId) {
        let server = &self.servers[server];
        (self.deployment.pools[server.pool].id(), server.id.clone())
    }

    // Callers and entries.

    fn arrive(&mut self, call: usize) {
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
        let (id, actions) = host.entry.call_sized(self.now, &mut self.rng, request, arrival.class);
        host.calls.insert(id, call);
        self.entry_actions(entry, actions);
    }

    fn entry_event(&mut self, entry: usize, event: EntryEvent) {
        let actions = self.hosts[entry].entry.event(self.now, &mut self.rng, event);
        self.entry_actions(entry, actions);
    }

    fn entry_tick(&mut self, entry: usize) {
        let host = &mut self.hosts[entry];
        if host.tick.is_none_or(|at| at > self.now) {
            return;
        }
        host.tick = None;
        let actions = host.entry.tick(self.now, &mut self.rng);
        self.entry_actions(entry, actions);
    }

    fn take_at_entry(&mut self, entry: usize, server: usize, message: ToEntry) {
        let event = match message {
            ToEntry::Event(event) => {
                if let EntryEvent::Refused(attempt, _) = &event {
                    self.hosts[entry].open[server].remove(attempt);
                }
                event
            }
            ToEntry::Done(attempt, outcome, payload, time) => {
                let host = &mut self.hosts[entry];
                // The stream of a cancelled or lost attempt is closed: nothing arrives on it.
                if !host.open[server].remove(&attempt) {
                    return;
                }
                host.outputs.insert(attempt, payload.value);
                host.entry.set_service_time(attempt, time);
                EntryEvent::Done(attempt, outcome)
            }
            ToEntry::Stands(request, attempt, standing, payload) => {
                let host = &mut self.hosts[entry];
                if !host.asked[server].remove(&request) {
                    return;
                }
                if let Some(payload) = payload {
                    host.outputs.insert(attempt, payload.value);
                }
                EntryEvent::AttemptStatus(request, Some(standing))
            }
            ToEntry::Report(report) => {
                let (pool, id) = self.name(server);
                if self.hosts[entry].connected[server] {
                    self.hosts[entry].entry.report(&pool, &id, report);
                }
                return;
            }
            ToEntry::Cached(prefix, kept) => {
                let (pool, id) = self.name(server);
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
        if let Some(next) = next.filter(|next| host.tick.is_none_or(|at| *next < at)) {
            host.tick = Some(next);
            self.at(next.max(self.now), Event::EntryTick(entry));
        }
    }

    fn entry_action(&mut self, entry: usize, action: EntryAction) {
        match action {
            EntryAction::Send { server, dispatch, input } => {
                self.send(entry, &server, dispatch, input);
            }
            EntryAction::Cancel(server, attempt) => {
                if let Some(server) = self.find(&server) {
                    self.hosts[entry].open[server].remove(&attempt);
                    self.send_side(entry, server, ToSide::Cancel(attempt));
                }
            }
            EntryAction::Claim { request, key, record, write } => {
                self.write(entry, Write::Claim { request, key, record, write });
            }
            EntryAction::RecordOutcome { key, mut record, revision } => {
                let output = self.hosts[entry].outputs.get(&record.attempt).copied();
                if let ClaimState::Ended { answer, .. } = &mut record.state {
                    *answer = output.map(|value| value.to_be_bytes().to_vec().into());
                }
                self.write(entry, Write::Settle { key, record, revision });
            }
            EntryAction::Forbid { request, server, attempt, incarnation } => {
                self.ask(entry, request, &server, attempt, incarnation);
            }
            EntryAction::SaveOutput(attempt, bytes) => {
                let bytes: [u8; 8] = bytes.as_ref().try_into().unwrap_or_default();
                self.hosts[entry].outputs.insert(attempt, u64::from_be_bytes(bytes));
            }
            EntryAction::ForwardChunk(..) => {}
            EntryAction::Answer(request, answer) => self.answer(entry, request, &answer),
        }
    }

    fn find(&self, id: &ServerId) -> Option<usize> {
        self.servers.iter().position(|server| server.id == *id)
    }

    fn send(&mut self, entry: usize, server: &ServerId, dispatch: Dispatch, input: StageInput) {
        let Some(server) = self.find(server) else { return };
        let host = &mut self.hosts[entry];
        let attempt = dispatch.attempt;
        let Some(call) = host.calls.get(&attempt.request).copied() else { return };
        let value = match input {
            StageInput::Caller => first_input(&self.arrivals[call]),
            StageInput::Attempt(from) => {
                self.tally.used(from);
                host.outputs.get(&from).copied().unwrap_or_default()
            }
        };
        if host.connected[server] {
            host.open[server].insert(attempt);
            self.send_side(entry, server, ToSide::Dispatch(dispatch, Payload { call, value }));
        } else {
            let message = ToEntry::Event(EntryEvent::ConnectionLost(attempt));
            self.at(self.now, Event::ToEntry { entry, server, message });
        }
    }

    fn ask(
        &mut self,
        entry: usize,
        request: RequestId,
        server: &ServerId,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) {
        let Some(server) = self.find(server) else { return };
        if self.hosts[entry].connected[server] {
            self.hosts[entry].asked[server].insert(request);
            self.send_side(entry, server, ToSide::Forbid(request, attempt, incarnation));
        } else {
            let message = ToEntry::Event(EntryEvent::AttemptStatus(request, None));
            self.at(self.now, Event::ToEntry { entry, server, message });
        }
    }

    fn answer(&mut self, entry: usize, request: RequestId, answer: &Answer) {
        let Some(call) = self.hosts[entry].calls.get(&request).copied() else { return };
        let matches = match answer {
            Answer::Complete(attempt) => {
                self.tally.used(*attempt);
                let output = self.hosts[entry].outputs.get(attempt).copied();
                output == Some(last_output(&self.arrivals[call]))
            }
            Answer::Error { .. } => true,
        };
        self.tally.answered(self.now, call, answer, matches);
    }

    // Store.

    fn write(&mut self, entry: usize, write: Write) {
        let host = &mut self.hosts[entry];
        host.batch.push(write);
        if host.batch.len() == 1 {
            self.at(self.now + BATCH_TIME, Event::StoreFlush(entry));
        } else if host.batch.len() >= BATCH_SIZE {
            self.flush(entry);
        }
    }

    fn flush(&mut self, entry: usize) {
        let batch = std::mem::take(&mut self.hosts[entry].batch);
        if !batch.is_empty() {
            self.at(self.now + Span(STORE_TIME.0 / 2), Event::StoreCall { entry, batch });
        }
    }

    fn store_call(&mut self, entry: usize, batch: Vec<Write>) {
        let Some((from, to)) = self.faults.outage else {
            let answers = self.store.call(batch);
            return self.store_answers(entry, answers, Span(STORE_TIME.0 / 2));
        };
        let down = (from..to).contains(&self.now);
        let lost = down || uniform(&mut self.chance) < STORE_LOSSES;
        // A call whose answer is lost may have taken effect or not.
        let answers = if lost && uniform(&mut self.chance) < 0.5 {
            Store::unanswered(&batch)
        } else {
            self.store.call(batch)
        };
        if lost {
            let answers =
                answers.into_iter().map(|(id, _)| (id, ClaimResult::Unavailable)).collect();
            self.store_answers(entry, answers, STORE_TIMEOUT);
        } else {
            self.store_answers(entry, answers, Span(STORE_TIME.0 / 2));
        }
    }

    fn store_answers(&mut self, entry: usize, answers: Vec<(RequestId, ClaimResult)>, after: Span) {
        for (request, answer) in answers {
            self.at(self.now + after, Event::StoreAnswer { entry, request, answer });
        }
    }

    // Sides and backend servers.

    fn take_at_side(&mut self, server: usize, entry: usize, message: ToSide) {
        let now = self.now;
        match message {
            ToSide::Dispatch(dispatch, payload) => {
                let host = &mut self.servers[server];
                let actions = host.side.dispatch(now, &dispatch);
                let attempt = dispatch.attempt;
                let refused = actions
                    .iter()
                    .any(|a| matches!(a, SidecarAction::Refuse(id, _) if *id == attempt));
                if !refused {
                    host.jobs.insert(attempt, payload);
                    let message = ToEntry::Event(EntryEvent::Accepted(attempt));
                    self.send_entry(server, entry, message);
                }
                self.side_actions(server, actions);
            }
            ToSide::Cancel(attempt) => {
                let actions = self.servers[server].side.cancel(now, attempt);
                self.side_actions(server, actions);
            }
            ToSide::Forbid(request, attempt, incarnation) => {
                let host = &mut self.servers[server];
                let standing = host.side.forbid(attempt, incarnation);
                let kept = host.kept.get(&attempt).copied();
                let message = ToEntry::Stands(request, attempt, standing, kept);
                self.send_entry(server, entry, message);
                self.schedule(server);
            }
        }
    }

    fn side_actions(&mut self, server: usize, actions: Vec<SidecarAction>) {
        for action in actions {
            match action {
                SidecarAction::Start(attempt) => self.start(server, attempt),
                SidecarAction::Refuse(attempt, refusal) => {
                    self.servers[server].jobs.remove(&attempt);
                    if let Some(entry) = self.owner(attempt) {
                        let message = ToEntry::Event(EntryEvent::Refused(attempt, refusal));
                        self.send_entry(server, entry, message);
                    }
                }
                SidecarAction::Abort(attempt) => {
                    let work = self.servers[server].backend.abort(self.now, attempt);
                    self.stopped(server, attempt, work);
                }
                SidecarAction::Drained => {}
            }
        }
        self.schedule(server);
    }

    fn owner(&self, attempt: AttemptId) -> Option<usize> {
        let entry = attempt.request.entry.0.checked_sub(1)? as usize;
        (entry < self.hosts.len()).then_some(entry)
    }

    fn start(&mut self, server: usize, attempt: AttemptId) {
        let host = &mut self.servers[server];
        let Some(payload) = host.jobs.get(&attempt).copied() else { return };
        let pool = &self.deployment.pools[host.pool];
        let arrival = &self.arrivals[payload.call];
        let stage = usize::from(attempt.stage);
        let once = self.deployment.pipelines[arrival.pipeline].stages[stage].effect == Effect::Once;
        let stalls = uniform(&mut self.chance) < pool.stall_share;
        let factor = if stalls { STALL_FACTOR } else { 1.0 };
        let work = arrival.work[stage].scale(factor);
        let touch = host.backend.start(self.now, attempt, work, arrival.prefix);
        self.tally.hits += u64::from(touch == Touch::Hit);
        if let Touch::Added(dropped) = touch {
            self.cache_event(server, arrival.prefix, true);
            if let Some(prefix) = dropped {
                self.cache_event(server, prefix, false);
            }
        }
        self.tally.started(self.now, attempt, payload.call, arrival, once);
    }

    /// Tells the entries of a change of a prefix cache: late, and with gaps.
    fn cache_event(&mut self, server: usize, prefix: u64, kept: bool) {
        for entry in 0..self.hosts.len() {
            if uniform(&mut self.chance) >= CACHE_GAPS {
                let message = ToEntry::Cached(prefix, kept);
                self.at(self.now + CACHE_LAG, Event::ToEntry { entry, server, message });
            }
        }
    }

    fn stopped(&mut self, server: usize, attempt: AttemptId, work: Span) -> Option<Payload> {
        let payload = self.servers[server].jobs.remove(&attempt)?;
        let stage = usize::from(attempt.stage);
        self.tally.stopped(self.now, attempt, payload.call, stage, work);
        Some(payload)
    }

    fn backend(&mut self, server: usize) {
        for (attempt, work) in self.servers[server].backend.finish(self.now) {
            self.end(server, attempt, work, Outcome::Finished);
        }
        self.schedule(server);
    }

    fn end(&mut self, server: usize, attempt: AttemptId, work: Span, outcome: Outcome) {
        let Some(payload) = self.stopped(server, attempt, work) else { return };
        let output = Payload { value: step(payload.value, attempt.stage), ..payload };
        let host = &mut self.servers[server];
        let time = host.side.elapsed(self.now, attempt).unwrap_or_default();
        let actions = host.side.finish(self.now, attempt, outcome);
        let arrival = &self.arrivals[payload.call];
        let stage = &self.deployment.pipelines[arrival.pipeline].stages[usize::from(attempt.stage)];
        if stage.effect == Effect::Once && outcome == Outcome::Finished {
            host.kept.insert(attempt, output);
        }
        if let Some(entry) = self.owner(attempt) {
            self.send_entry(server, entry, ToEntry::Done(attempt, outcome, output, time));
        }
        self.side_actions(server, actions);
    }

    fn side_tick(&mut self, server: usize) {
        let host = &mut self.servers[server];
        if !host.alive || host.tick.is_none_or(|at| at > self.now) {
            return;
        }
        host.tick = None;
        let actions = host.side.tick(self.now);
        self.side_actions(server, actions);
    }

    /// A load report of a model engine reached its side; the next one is on its way.
    fn load(&mut self, server: usize, waiting: u32) {
        let host = &mut self.servers[server];
        let actions = host.side.observe_load(self.now, waiting);
        let (life, waiting) = (host.life, host.backend.waiting());
        self.side_actions(server, actions);
        self.at(self.now + LOAD_LAG, Event::Load { server, life, waiting });
    }

    /// Plans the next end of a stream and the next tick of the side.
    fn schedule(&mut self, server: usize) {
        let host = &mut self.servers[server];
        host.generation += 1;
        let generation = host.generation;
        let next = host.backend.next_end();
        let tick = host.side.next_tick().filter(|next| host.tick.is_none_or(|at| *next < at));
        if tick.is_some() {
            host.tick = tick;
        }
        if let Some(at) = next {
            self.at(at.max(self.now), Event::Backend { server, generation });
        }
        if let Some(at) = tick {
            self.at(at.max(self.now), Event::SideTick(server));
        }
    }

    // Faults.

    fn slow(&mut self, server: usize, slow: bool) {
        let faults = self.deployment.faults;
        let host = &mut self.servers[server];
        host.backend.slow(self.now, if slow { faults.slow_factor } else { 1.0 });
        host.lag = self.deployment.report_lag + if slow { faults.extra_lag } else { Span::ZERO };
        self.schedule(server);
    }

    /// Ends one server: by turns the instance with its connections reset, the instance in silence,
    /// and the backend server alone.
    fn die(&mut self, n: u64) {
        let server = self.victim((n * 7 + 3) as usize);
        let whole = n % 3 != 2;
        if whole {
            let notice = if n % 3 == 1 { SILENCE } else { Span::ZERO };
            self.die_whole(server, notice);
        } else {
            let actions = self.servers[server].side.set_down(self.now, true);
            self.side_actions(server, actions);
            for (attempt, work) in self.servers[server].backend.crash(self.now) {
                self.end(server, attempt, work, Outcome::Failed(Failure::Interrupted));
            }
            self.schedule(server);
        }
        let faults = self.deployment.faults;
        self.at(self.now + faults.downtime, Event::Rise(server, whole));
        self.at(self.now + faults.crash_interval, Event::Die(n + 1));
    }

    /// Ends an instance; its connections are seen to break after `notice`.
    fn die_whole(&mut self, server: usize, notice: Span) {
        for (attempt, work) in self.servers[server].backend.crash(self.now) {
            self.stopped(server, attempt, work);
        }
        let host = &mut self.servers[server];
        host.alive = false;
        host.jobs.clear();
        host.kept.clear();
        self.schedule(server);
        for entry in 0..self.hosts.len() {
            let delay = self.delay(self.hosts[entry].zone, self.servers[server].zone);
            self.at(self.now + notice + delay, Event::Broken { entry, server });
        }
    }

    /// Starts the side process of a server, which has seen nothing, and opens its connections.
    fn rise(&mut self, server: usize) {
        let host = &mut self.servers[server];
        host.life += 1;
        host.alive = true;
        host.tick = None;
        let incarnation = Incarnation((server as u64 + 1) << 32 | host.life);
        let policy = host.side.policy();
        host.side = new_side(&self.deployment.pools[host.pool], incarnation, policy);
        let life = host.life;
        for entry in 0..self.hosts.len() {
            let delay = self.delay(self.hosts[entry].zone, self.servers[server].zone);
            self.at(self.now + delay, Event::Connected { entry, server, life });
        }
        let first = Span(self.chance.next_u64() % HEARTBEAT.0);
        self.at(self.now + first, Event::Heartbeat(server, life));
        if self.deployment.pools[self.servers[server].pool].kind == PoolKind::Engine {
            self.at(self.now + first, Event::Load { server, life, waiting: 0 });
        }
    }
}

fn new_side(
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
        let behaviour = Behaviour {
            slots: spec.slots as usize,
            slowdown: spec.slowdown,
            cache: spec.cache_size,
            gain: spec.hit_saving,
        };
        servers.extend((0..spec.servers).map(|i| Server {
            id: spec.server(i),
            pool,
            zone: i,
            side: new_side(spec, Incarnation(0), policy),
            backend: Backend::new(behaviour),
            life: 0,
            alive: false,
            generation: 0,
            tick: None,
            lag: deployment.report_lag,
            jobs: BTreeMap::new(),
            kept: BTreeMap::new(),
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
) -> Host {
    let zone = deployment.zone(i);
    Host {
        entry: Entry::new(Incarnation(i as u64 + 1), zone, settings, Arc::clone(bundle)),
        zone: i,
        tick: None,
        calls: BTreeMap::new(),
        outputs: BTreeMap::new(),
        open: vec![BTreeSet::new(); servers],
        asked: vec![BTreeSet::new(); servers],
        connected: vec![false; servers],
        batch: Vec::new(),
    }
}

fn digest(body: u64, salt: u8) -> Digest {
    let mut bytes = [salt; 32];
    bytes[..8].copy_from_slice(&body.to_be_bytes());
    Digest(bytes)
}

/// Input of the first stage.
fn first_input(arrival: &Arrival) -> u64 {
    arrival.body.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x1234_5678
}

/// Output of a stage for an input; no two inputs share one.
fn step(input: u64, stage: u16) -> u64 {
    (input ^ (u64::from(stage) + 1)).wrapping_mul(0xd6e8_feb8_6659_fd93).rotate_left(17)
}

/// The only right answer to a call.
fn last_output(arrival: &Arrival) -> u64 {
    (0..arrival.work.len()).fold(first_input(arrival), |value, stage| step(value, stage as u16))
}
