//! Non-idempotent calls: entries, sides, the store and a network that delays, reorders and copies.

use crate::search::{Part, Print, Spec, explore};
use crate::{Fault, Report, Size, Violation};
use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{
    Answer, Call, ClaimResult, ClaimWrite, Entry, EntryAction, EntryEvent, EntrySettings, Execution,
};
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Sidecar, SidecarAction, SidecarSettings};
use rand_core::{Rng as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// Deadline of each call.
const DEADLINE: Span = Span::from_secs(3);
/// Incarnation of the first entry; that of the first run of the first side is ten times this.
const FIRST: u64 = 10;

/// A message on its way. Any one can arrive next.
#[derive(Clone, Debug)]
enum Message {
    Dispatch {
        server: usize,
        dispatch: Dispatch,
    },
    Cancel {
        server: usize,
        attempt: AttemptId,
    },
    Ask {
        server: usize,
        host: usize,
        ask: Ask,
    },
    Refused(AttemptId, Refusal),
    Done(AttemptId, Outcome),
    Stands {
        host: usize,
        ask: Ask,
        standing: AttemptStatus,
    },
    /// `waits`: the entry still waits for the answer.
    Claim {
        host: usize,
        request: RequestId,
        key: Digest,
        claim: Write,
        waits: bool,
    },
    Answered {
        host: usize,
        request: RequestId,
        answer: ClaimResult,
    },
    Settle {
        key: Digest,
        record: ClaimRecord,
        revision: u64,
    },
}

#[derive(Clone, Debug)]
struct Write {
    record: ClaimRecord,
    write: ClaimWrite,
}

/// A question to a side. Its number tells it from an earlier one, as its stream does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ask {
    request: RequestId,
    number: u32,
    server: usize,
    attempt: AttemptId,
    incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Host {
    entry: Entry,
    /// Seed that makes its first choice of a server.
    seed: u64,
    now: Time,
    deadline: Time,
    alive: bool,
    retries: u8,
    asked: u32,
    asks: BTreeSet<Ask>,
    /// Attempts whose streams are open, and their servers.
    open: BTreeMap<AttemptId, usize>,
    /// Servers whose side restarted since the connection was made.
    stale: BTreeSet<usize>,
}

#[derive(Clone, Debug)]
struct Server {
    side: Sidecar,
    now: Time,
    waiting: BTreeSet<AttemptId>,
    running: BTreeSet<AttemptId>,
}

/// One state of the whole system, with what the invariants need to know of the past.
#[derive(Clone, Debug)]
struct World {
    fault: Option<Fault>,
    retries: u8,
    faults: u8,
    hosts: Vec<Part<Host>>,
    servers: Vec<Part<Server>>,
    store: BTreeMap<Digest, (ClaimRecord, u64)>,
    revision: u64,
    net: Vec<Part<Message>>,
    /// Entry and key of the calls that have not begun.
    planned: Vec<(usize, u8)>,
    /// Key of each request that has begun.
    keys: BTreeMap<RequestId, u8>,
    /// Whether a request that has its answer was told "not run".
    told: BTreeMap<RequestId, bool>,
    started: BTreeSet<AttemptId>,
    finished: BTreeSet<AttemptId>,
    /// Records of its own key that a request was shown.
    seen: BTreeSet<(RequestId, AttemptId)>,
    broken: Option<Violation>,
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    Deliver(Message),
    Copy(Message),
    LoseAnswer(Message),
    StoreDown(Message),
    Lapse,
    Unreachable(Ask),
    Retry(usize),
    Expire(usize),
    Pause(usize),
    CrashEntry(usize),
    Cut(usize, usize),
    Finish(usize, AttemptId),
    SideExpire(usize),
    CrashSide(usize),
    BackendDown(usize),
}

pub(crate) fn check(size: Size, fault: Option<Fault>, wanted: Option<Violation>) -> Report {
    let spec = Spec { print, steps, broken: |world: &World| world.broken };
    explore(size, World::new(size, fault), &spec, wanted)
}

fn print(world: &World) -> u128 {
    let mut print = Print::default();
    let World { faults, store, revision, planned, keys, .. } = world;
    print.add(&(faults, store, revision, planned, keys));
    for (i, host) in world.hosts.iter().enumerate() {
        // An entry that will do nothing more is the same whatever it did.
        let busy = host.alive && world.busy(i);
        print.add(&busy.then(|| host.print()));
    }
    world.servers.iter().for_each(|server| print.add(&server.print()));
    print.add(&(&world.told, &world.started, &world.finished, &world.seen, world.broken));
    // The network has no order.
    let mut net: Vec<u128> = world.net.iter().map(Part::print).collect();
    net.sort_unstable();
    print.add(&net);
    print.finish()
}

fn steps(world: &World) -> Vec<(Step, World)> {
    let mut out = Vec::new();
    let mut step = |step: Step, act: &dyn Fn(&mut World)| {
        let mut after = world.clone();
        act(&mut after);
        after.prune();
        out.push((step, after));
    };
    let faulty = world.faults > 0;
    for i in 0..world.planned.len() {
        step(Step::Begin(world.planned[i].0), &|w| w.begin(i));
    }
    for (i, message) in world.net.iter().enumerate() {
        let message: &Message = message;
        step(Step::Deliver(message.clone()), &|w| {
            w.net.swap_remove(i);
            w.deliver(message.clone(), true);
        });
        if !faulty {
            continue;
        }
        if let Message::Claim { waits: true, host, request, .. } = message {
            step(Step::LoseAnswer(message.clone()), &|w| {
                w.faults -= 1;
                // The entry repeats the call when no answer comes.
                w.deliver(message.clone(), false);
            });
            step(Step::StoreDown(message.clone()), &|w| {
                w.faults -= 1;
                if let Message::Claim { waits, .. } = &mut *w.net[i] {
                    *waits = false;
                }
                let (host, request, answer) = (*host, *request, ClaimResult::Unavailable);
                w.send(Message::Answered { host, request, answer });
            });
        }
        if let Message::Dispatch { .. }
        | Message::Cancel { .. }
        | Message::Refused(..)
        | Message::Done(..) = message
        {
            step(Step::Copy(message.clone()), &|w| {
                w.faults -= 1;
                w.deliver(message.clone(), true);
            });
        }
    }
    for (i, host) in world.hosts.iter().enumerate().filter(|(_, host)| host.alive) {
        if host.entry.active_requests() > 0 {
            let next = host.entry.next_tick();
            if next.is_some_and(|at| at < host.deadline) && host.retries < world.retries {
                step(Step::Retry(i), &|w| {
                    w.hosts[i].retries += 1;
                    w.tick(i, next.unwrap_or_default());
                });
            }
            step(Step::Expire(i), &|w| w.tick(i, w.hosts[i].deadline));
            if faulty && host.now < host.deadline {
                step(Step::Pause(i), &|w| {
                    w.faults -= 1;
                    w.hosts[i].now = w.hosts[i].deadline;
                });
            }
        }
        if faulty && !host.asks.is_empty() {
            for ask in &host.asks {
                step(Step::Unreachable(*ask), &|w| {
                    w.faults -= 1;
                    w.stands(i, *ask, None);
                });
            }
        }
        if faulty && host.entry.active_requests() > 0 {
            step(Step::CrashEntry(i), &|w| w.crash_entry(i));
        }
        for server in 0..world.servers.len() {
            let stale = host.stale.contains(&server);
            if stale && world.busy(i) || faulty && !host.open.is_empty() {
                step(Step::Cut(i, server), &|w| {
                    w.faults -= u8::from(!stale);
                    w.cut(i, server);
                });
            }
        }
    }
    for (i, server) in world.servers.iter().enumerate() {
        for attempt in &server.running {
            step(Step::Finish(i, *attempt), &|w| w.finish(i, *attempt));
        }
        if !server.waiting.is_empty() {
            step(Step::SideExpire(i), &|w| w.side_expire(i));
        }
        if faulty {
            step(Step::CrashSide(i), &|w| w.crash_side(i));
        }
        if faulty && !server.waiting.is_empty() {
            step(Step::BackendDown(i), &|w| w.backend_down(i));
        }
    }
    if world.fault == Some(Fault::ClaimExpires) {
        step(Step::Lapse, &|w| w.store.retain(|_, (r, _)| r.state != ClaimState::Claimed));
    }
    out
}

impl World {
    fn new(size: Size, fault: Option<Fault>) -> Self {
        let Size::Calls { calls, others, entries, servers, faults, retries } = size else {
            return Self::new(Size::small(), fault);
        };
        let bundle = Arc::new(bundle(servers));
        let servers: Vec<_> =
            (0..servers).map(|i| Part::new(new_server(run(usize::from(i))))).collect();
        let entries = usize::from(entries);
        let hosts = (0..entries).map(|i| Part::new(new_host(i, &bundle, servers.len()))).collect();
        let planned = (0..usize::from(calls))
            .map(|n| (n % entries, 0))
            .chain((0..others).map(|_| (entries - 1, 1)))
            .collect();
        Self {
            fault,
            retries,
            faults,
            hosts,
            servers,
            store: BTreeMap::new(),
            revision: 0,
            net: Vec::new(),
            planned,
            keys: BTreeMap::new(),
            told: BTreeMap::new(),
            started: BTreeSet::new(),
            finished: BTreeSet::new(),
            seen: BTreeSet::new(),
            broken: None,
        }
    }

    /// Whether an entry has a request in progress or will have one.
    fn busy(&self, i: usize) -> bool {
        self.hosts[i].entry.active_requests() > 0 || self.planned.iter().any(|(host, _)| *host == i)
    }

    fn send(&mut self, message: Message) {
        self.net.push(Part::new(message));
    }

    /// Takes out messages that can have no effect any more.
    fn prune(&mut self) {
        let mut net = std::mem::take(&mut self.net);
        let ended = |request: &RequestId| {
            self.told.contains_key(request) || !self.hosts[self.host_of(*request)].alive
        };
        for message in &mut net {
            if let Message::Claim { request, waits: true, .. } = &**message
                && ended(request)
                && let Message::Claim { waits, .. } = &mut **message
            {
                *waits = false;
            }
        }
        let sent: BTreeSet<_> = net
            .iter()
            .filter_map(|message| match &**message {
                Message::Dispatch { dispatch, .. } => Some(dispatch.attempt),
                _ => None,
            })
            .collect();
        net.retain(|message| match &**message {
            // Only a waiting attempt can be cancelled.
            Message::Cancel { server, attempt } => {
                sent.contains(attempt) || self.servers[*server].waiting.contains(attempt)
            }
            // An entry drops what belongs to no request.
            Message::Refused(attempt, _) | Message::Done(attempt, _) => !ended(&attempt.request),
            Message::Answered { request, .. } => !ended(request),
            Message::Stands { host, ask, .. } => {
                !ended(&ask.request) && self.hosts[*host].asks.contains(ask)
            }
            // The record has another revision, and revisions only increase.
            Message::Settle { key, revision, .. } => {
                self.has(Fault::BlindOverwrite)
                    || self.store.get(key).is_some_and(|(_, stands)| stands == revision)
            }
            _ => true,
        });
        self.net = net;
        let told = &self.told;
        self.seen.retain(|(request, _)| told.get(request) != Some(&false));
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn host_of(&self, request: RequestId) -> usize {
        (request.entry.0 - FIRST) as usize
    }

    // Entries.

    fn begin(&mut self, planned: usize) {
        let (i, key) = self.planned.remove(planned);
        let host: &mut Host = &mut self.hosts[i];
        if !host.alive {
            return;
        }
        host.deadline = host.now + DEADLINE;
        let call = Call {
            pipeline: "order".into(),
            workspace: "kollam".into(),
            deadline: None,
            key: Some(Digest([key; 32])),
            body: Digest([100 + key; 32]),
            prefix: None,
            stream: false,
        };
        let (id, actions) = host.entry.call(host.now, &mut rng(host.seed), call);
        self.keys.insert(id, key);
        self.entry_actions(i, actions);
    }

    fn event(&mut self, i: usize, event: EntryEvent) {
        let host: &mut Host = &mut self.hosts[i];
        if host.alive {
            let actions = host.entry.event(host.now, &mut rng(host.seed), event);
            self.entry_actions(i, actions);
        }
    }

    fn tick(&mut self, i: usize, at: Time) {
        let host: &mut Host = &mut self.hosts[i];
        host.now = host.now.max(at);
        let actions = host.entry.tick(host.now, &mut rng(host.seed));
        self.entry_actions(i, actions);
    }

    fn entry_actions(&mut self, i: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { server, dispatch, .. } => {
                    let server = position(&server);
                    self.hosts[i].open.insert(dispatch.attempt, server);
                    self.send(Message::Dispatch { server, dispatch });
                }
                EntryAction::Cancel(server, attempt) => {
                    self.hosts[i].open.remove(&attempt);
                    self.send(Message::Cancel { server: position(&server), attempt });
                }
                EntryAction::Claim { request, key, record, write } => {
                    let claim = Write { record, write };
                    self.send(Message::Claim { host: i, request, key, claim, waits: true });
                }
                EntryAction::Forbid { request, server, attempt, incarnation } => {
                    let host: &mut Host = &mut self.hosts[i];
                    host.asked += 1;
                    let (server, number) = (position(&server), host.asked);
                    let ask = Ask { request, number, server, attempt, incarnation };
                    host.asks.insert(ask);
                    self.send(Message::Ask { server, host: i, ask });
                }
                EntryAction::RecordOutcome { key, record, revision } => {
                    self.send(Message::Settle { key, record, revision });
                }
                EntryAction::SaveOutput(..) | EntryAction::ForwardChunk(..) => {}
                EntryAction::Answer(request, answer) => self.tell(request, &answer),
            }
        }
    }

    fn tell(&mut self, request: RequestId, answer: &Answer) {
        let mine = |attempt: &AttemptId| {
            attempt.request == request || self.seen.contains(&(request, *attempt))
        };
        match answer {
            Answer::Complete(attempt) => {
                let same = self.keys.get(&attempt.request) == self.keys.get(&request);
                if !same || !self.finished.contains(attempt) {
                    self.broken = Some(Violation::WrongAnswer);
                }
            }
            Answer::Error { execution: Execution::NotRun, .. } => {
                if self.started.iter().any(mine) {
                    self.broken = Some(Violation::UntrueNotRun);
                }
            }
            Answer::Error { .. } => {}
        }
        let denied = matches!(answer, Answer::Error { execution: Execution::NotRun, .. });
        if self.told.insert(request, denied).is_some() {
            self.broken = Some(Violation::AnsweredTwice);
        }
    }

    fn stands(&mut self, i: usize, ask: Ask, standing: Option<AttemptStatus>) {
        if self.hosts[i].asks.remove(&ask) {
            self.event(i, EntryEvent::AttemptStatus(ask.request, standing));
        }
    }

    fn crash_entry(&mut self, i: usize) {
        self.faults -= 1;
        let host: &mut Host = &mut self.hosts[i];
        host.alive = false;
        host.asks.clear();
        host.open.clear();
        self.planned.retain(|(host, _)| *host != i);
        // Its sides see the connection break.
        let mine = Incarnation(FIRST + i as u64);
        for server in 0..self.servers.len() {
            for attempt in self.servers[server].waiting.clone() {
                if attempt.request.entry == mine {
                    self.send(Message::Cancel { server, attempt });
                }
            }
        }
    }

    /// Breaks a connection and makes a new one.
    fn cut(&mut self, i: usize, server: usize) {
        let (pool, id) = (PoolId::from("orders"), server_id(server));
        let now = self.hosts[i].now;
        self.hosts[i].stale.remove(&server);
        self.hosts[i].entry.set_connected(now, &pool, &id, false);
        let lost: Vec<_> =
            self.hosts[i].open.iter().filter(|(_, s)| **s == server).map(|(a, _)| *a).collect();
        for attempt in lost {
            self.hosts[i].open.remove(&attempt);
            self.event(i, EntryEvent::ConnectionLost(attempt));
        }
        let asks: Vec<_> =
            self.hosts[i].asks.iter().filter(|ask| ask.server == server).copied().collect();
        for ask in asks {
            self.stands(i, ask, None);
        }
        let state: &mut Server = &mut self.servers[server];
        let report = state.side.report(state.now);
        self.hosts[i].entry.set_connected(now, &pool, &id, true);
        self.hosts[i].entry.report(&pool, &id, report);
    }

    // Messages.

    fn deliver(&mut self, message: Message, answered: bool) {
        match message {
            Message::Dispatch { server, mut dispatch } => {
                let state: &mut Server = &mut self.servers[server];
                if self.fault == Some(Fault::RunUnchecked) {
                    dispatch.incarnation = Some(state.side.incarnation());
                }
                let actions = state.side.dispatch(state.now, &dispatch);
                let attempt = dispatch.attempt;
                if !actions
                    .iter()
                    .any(|a| matches!(a, SidecarAction::Refuse(r, _) if *r == attempt))
                {
                    state.waiting.insert(attempt);
                }
                self.side_actions(server, actions);
            }
            Message::Cancel { server, attempt } => {
                let state: &mut Server = &mut self.servers[server];
                let actions = state.side.cancel(state.now, attempt);
                self.side_actions(server, actions);
            }
            Message::Ask { server, host, ask } => {
                let state: &mut Server = &mut self.servers[server];
                let before = state.side.clone();
                let mut standing = state.side.forbid(ask.attempt, ask.incarnation);
                match (self.fault, standing) {
                    (Some(Fault::PromiseForgotten), _) => state.side = before,
                    (Some(Fault::EndForgotten), AttemptStatus::Ended(_))
                    | (Some(Fault::GoneAsUnstarted), AttemptStatus::Gone) => {
                        standing = AttemptStatus::Forbidden;
                    }
                    _ => {}
                }
                self.send(Message::Stands { host, ask, standing });
            }
            Message::Refused(attempt, refusal) => {
                let i = self.host_of(attempt.request);
                let retry = Span::ZERO;
                let refusal = match (self.fault, refusal) {
                    (Some(Fault::DuplicateAsPromise), Refusal::Duplicate)
                    | (Some(Fault::StaleAsPromise), Refusal::Stale) => {
                        Refusal::Overloaded { retry }
                    }
                    _ => refusal,
                };
                if refusal != Refusal::Duplicate {
                    self.hosts[i].open.remove(&attempt);
                }
                self.event(i, EntryEvent::Refused(attempt, refusal));
            }
            Message::Done(attempt, outcome) => self.done(attempt, outcome),
            Message::Stands { host, ask, standing } => self.stands(host, ask, Some(standing)),
            Message::Claim { host, request, key, claim, waits } => {
                let answer = self.claim(key, claim);
                if answered && waits {
                    self.send(Message::Answered { host, request, answer });
                }
            }
            Message::Answered { host, request, answer } => {
                let late = self.hosts[host].now >= self.hosts[host].deadline;
                if let ClaimResult::Conflict(record, _) = &answer
                    && !late
                {
                    self.seen.insert((request, record.attempt));
                }
                self.event(host, EntryEvent::Claimed(request, answer));
            }
            Message::Settle { key, record, revision } => {
                let stands = self.store.get(&key).is_some_and(|(_, found)| *found == revision);
                if stands || self.has(Fault::BlindOverwrite) {
                    self.put(key, record);
                }
            }
        }
    }

    fn done(&mut self, attempt: AttemptId, outcome: Outcome) {
        let i = self.host_of(attempt.request);
        if self.has(Fault::AnswerUnmatched) {
            // The answer goes to whatever attempt waits, at any entry.
            let waiting = self.hosts.iter().flat_map(|host| host.open.keys()).next().copied();
            if let Some(other) = waiting {
                let i = self.host_of(other.request);
                self.hosts[i].open.remove(&other);
                self.event(i, EntryEvent::Done(other, outcome));
            }
            return;
        }
        self.hosts[i].open.remove(&attempt);
        self.event(i, EntryEvent::Done(attempt, outcome));
    }

    // The store.

    fn claim(&mut self, key: Digest, claim: Write) -> ClaimResult {
        let found = self.store.get(&key);
        let free = match (found, claim.write) {
            (None, _) => true,
            (Some((_, stands)), ClaimWrite::Replace(revision)) => *stands == revision,
            (Some(_), ClaimWrite::Create) => false,
        };
        match found {
            Some((record, revision)) if !free && !self.has(Fault::BlindOverwrite) => {
                ClaimResult::Conflict(record.clone(), *revision)
            }
            _ => ClaimResult::Written(self.put(key, claim.record)),
        }
    }

    fn put(&mut self, key: Digest, record: ClaimRecord) -> u64 {
        self.revision += 1;
        self.store.insert(key, (record, self.revision));
        self.revision
    }

    // Sides.

    fn side_actions(&mut self, server: usize, actions: Vec<SidecarAction>) {
        for action in actions {
            let state: &mut Server = &mut self.servers[server];
            match action {
                SidecarAction::Start(attempt) => {
                    state.waiting.remove(&attempt);
                    state.running.insert(attempt);
                    self.start(attempt);
                }
                SidecarAction::Refuse(attempt, refusal) => {
                    if refusal != Refusal::Duplicate {
                        state.waiting.remove(&attempt);
                    }
                    self.send(Message::Refused(attempt, refusal));
                }
                SidecarAction::Abort(attempt) => {
                    state.running.remove(&attempt);
                }
                SidecarAction::Drained => {}
            }
        }
    }

    /// The backend server begins to run an attempt.
    fn start(&mut self, attempt: AttemptId) {
        let key = self.keys.get(&attempt.request);
        if self.started.iter().any(|other| self.keys.get(&other.request) == key) {
            self.broken = Some(Violation::RanTwice);
        }
        let denied = self.told.iter().any(|(request, denied)| {
            let mine = attempt.request == *request || self.seen.contains(&(*request, attempt));
            *denied && mine
        });
        if denied {
            self.broken = Some(Violation::UntrueNotRun);
        }
        self.started.insert(attempt);
    }

    fn finish(&mut self, server: usize, attempt: AttemptId) {
        self.finished.insert(attempt);
        let state: &mut Server = &mut self.servers[server];
        state.running.remove(&attempt);
        let actions = state.side.finish(state.now, attempt, Outcome::Finished);
        self.send(Message::Done(attempt, Outcome::Finished));
        self.side_actions(server, actions);
    }

    fn side_expire(&mut self, server: usize) {
        let state: &mut Server = &mut self.servers[server];
        state.now = state.now.max(state.side.next_tick().unwrap_or_default());
        let actions = state.side.tick(state.now);
        self.side_actions(server, actions);
    }

    fn crash_side(&mut self, server: usize) {
        self.faults -= 1;
        let next = Incarnation(self.servers[server].side.incarnation().0 + 1);
        self.servers[server] = Part::new(new_server(next));
        for host in self.hosts.iter_mut().filter(|host| host.alive) {
            host.stale.insert(server);
        }
    }

    fn backend_down(&mut self, server: usize) {
        self.faults -= 1;
        let state: &mut Server = &mut self.servers[server];
        let mut actions = state.side.set_down(state.now, true);
        actions.extend(state.side.set_down(state.now, false));
        self.side_actions(server, actions);
    }
}

fn rng(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

/// A seed whose first choice among two servers is the given one.
fn seed(choice: u64) -> u64 {
    (0..).find(|seed| rng(*seed).next_u64() % 2 == choice % 2).unwrap_or_default()
}

fn run(server: usize) -> Incarnation {
    Incarnation(FIRST * 10 * (server as u64 + 1))
}

fn server_id(server: usize) -> ServerId {
    ServerId::from(format!("s{server}").as_str())
}

fn position(server: &ServerId) -> usize {
    server.as_str().trim_start_matches('s').parse().unwrap_or_default()
}

fn new_server(incarnation: Incarnation) -> Server {
    let settings = SidecarSettings { slots: 1, queue_limit: 4, ..SidecarSettings::default() };
    Server {
        side: Sidecar::new(incarnation, settings),
        now: Time(0),
        waiting: BTreeSet::new(),
        running: BTreeSet::new(),
    }
}

fn new_host(i: usize, bundle: &Arc<Bundle>, servers: usize) -> Host {
    let settings = EntrySettings { hedging: false, ..EntrySettings::default() };
    let incarnation = Incarnation(FIRST + i as u64);
    let mut entry = Entry::new(incarnation, "z".into(), settings, Arc::clone(bundle));
    for server in 0..servers {
        let report = new_server(run(server)).side.report(Time(0));
        entry.set_connected(Time(0), &"orders".into(), &server_id(server), true);
        entry.report(&"orders".into(), &server_id(server), report);
    }
    Host {
        entry,
        seed: seed(i as u64),
        now: Time(0),
        deadline: Time(0),
        alive: true,
        retries: 0,
        asked: 0,
        asks: BTreeSet::new(),
        open: BTreeMap::new(),
        stale: BTreeSet::new(),
    }
}

fn bundle(servers: u8) -> Bundle {
    let server = |i: u8| BackendServer {
        id: server_id(usize::from(i)),
        zone: "z".into(),
        side: ([127, 0, 0, 1], 1).into(),
        slots: 1,
    };
    let pool = Pool {
        kind: PoolKind::Service,
        servers: (0..servers).map(server).collect(),
        extra: 0,
        resume: false,
    };
    let stage = Stage {
        name: "order".into(),
        pool: "orders".into(),
        effect: Effect::Once,
        path: String::new(),
        expected: Span::from_millis(20),
    };
    let pipeline = Pipeline { deadline: DEADLINE, stages: vec![stage] };
    Bundle {
        version: Version(1),
        pools: BTreeMap::from([("orders".into(), pool)]),
        pipelines: BTreeMap::from([("order".into(), pipeline)]),
        workspaces: BTreeMap::from([("kollam".into(), Workspace { share: 1, limit: 9 })]),
        operators: BTreeMap::new(),
    }
}

/// Entry, serial and number of an attempt.
fn short(attempt: &AttemptId) -> String {
    let AttemptId { request, number, .. } = attempt;
    format!("e{}.{}#{number}", request.entry.0 - FIRST, request.serial)
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dispatch { server, dispatch } => {
                write!(f, "dispatch of {} to s{server}", short(&dispatch.attempt))
            }
            Self::Cancel { server, attempt } => {
                write!(f, "cancel of {} to s{server}", short(attempt))
            }
            Self::Ask { server, host, ask } => {
                write!(f, "question of e{host} about {} to s{server}", short(&ask.attempt))
            }
            Self::Refused(attempt, refusal) => {
                write!(f, "refusal of {}: {refusal:?}", short(attempt))
            }
            Self::Done(attempt, outcome) => write!(f, "end of {}: {outcome:?}", short(attempt)),
            Self::Stands { host, ask, standing } => {
                write!(f, "word on {} to e{host}: {standing:?}", short(&ask.attempt))
            }
            Self::Claim { host, claim, .. } => {
                let Write { record, write } = claim;
                let (attempt, state) = (short(&record.attempt), &record.state);
                write!(f, "claim of e{host} for {attempt}, {write:?} {state:?}")
            }
            Self::Answered { host, answer, .. } => {
                let text = match answer {
                    ClaimResult::Written(revision) => format!("won at {revision}"),
                    ClaimResult::Conflict(record, revision) => {
                        format!(
                            "found {} at {revision}, {:?}",
                            short(&record.attempt),
                            record.state
                        )
                    }
                    ClaimResult::Unavailable => "down".to_owned(),
                };
                write!(f, "store answer to e{host}: {text}")
            }
            Self::Settle { record, .. } => {
                write!(f, "settlement of {}: {:?}", short(&record.attempt), record.state)
            }
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Begin(host) => write!(f, "call at e{host}"),
            Self::Deliver(message) => write!(f, "{message}"),
            Self::Copy(message) => write!(f, "copy: {message}"),
            Self::LoseAnswer(message) => write!(f, "store loses its answer: {message}"),
            Self::StoreDown(message) => write!(f, "store down: {message}"),
            Self::Lapse => f.write_str("claims lapse"),
            Self::Unreachable(ask) => write!(f, "no word on {}", short(&ask.attempt)),
            Self::Retry(host) => write!(f, "retry timer of e{host}"),
            Self::Expire(host) => write!(f, "deadline at e{host}"),
            Self::Pause(host) => write!(f, "e{host} pauses past its deadline"),
            Self::CrashEntry(host) => write!(f, "e{host} dies"),
            Self::Cut(host, server) => write!(f, "e{host} connects to s{server} anew"),
            Self::Finish(server, attempt) => write!(f, "s{server} finishes {}", short(attempt)),
            Self::SideExpire(server) => write!(f, "expiry in the queue of s{server}"),
            Self::CrashSide(server) => write!(f, "side of s{server} dies and restarts"),
            Self::BackendDown(server) => write!(f, "s{server} goes down and returns"),
        }
    }
}
