//! Model of non-idempotent calls: entries, sidecars, the store, and a network that delays, reorders and
//! duplicates messages.

use crate::search::{Fingerprint, Shared, Spec, explore};
use crate::{Mutation, Report, Size, Violation};
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
/// Incarnation of the first entry. The initial incarnation of the first sidecar is ten times this.
const FIRST_INCARNATION: u64 = 10;

/// A message in transit. Messages are delivered in any order.
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
    Forbid {
        server: usize,
        host: usize,
        query: ForbidQuery,
    },
    Refused(AttemptId, Refusal),
    Done(AttemptId, Outcome),
    Status {
        host: usize,
        query: ForbidQuery,
        status: AttemptStatus,
    },
    /// Write of a claim to the store; `awaited` while the entry waits for its result.
    Claim {
        host: usize,
        request: RequestId,
        key: Digest,
        claim: ClaimRequest,
        awaited: bool,
    },
    ClaimAnswer {
        host: usize,
        request: RequestId,
        answer: ClaimResult,
    },
    /// Write of an outcome, applied only if the record still has this revision.
    RecordOutcome {
        key: Digest,
        record: ClaimRecord,
        revision: u64,
    },
}

#[derive(Clone, Debug)]
struct ClaimRequest {
    record: ClaimRecord,
    write: ClaimWrite,
}

/// A request to a sidecar never to start an attempt, and to report its status. The number distinguishes
/// it from earlier requests of the same entry, as its stream does in the daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ForbidQuery {
    request: RequestId,
    number: u32,
    server: usize,
    attempt: AttemptId,
    incarnation: Incarnation,
}

/// An entry process.
#[derive(Clone, Debug)]
struct Host {
    entry: Entry,
    /// Random seed of each event, which determines the server chosen first.
    seed: u64,
    now: Time,
    deadline: Time,
    alive: bool,
    retries: u8,
    query_count: u32,
    /// Queries without a reply.
    queries: BTreeSet<ForbidQuery>,
    /// Server of each attempt whose stream is open.
    streams: BTreeMap<AttemptId, usize>,
    /// Servers whose sidecar has restarted since the entry connected to it.
    stale: BTreeSet<usize>,
}

/// A backend server and its sidecar.
#[derive(Clone, Debug)]
struct Server {
    sidecar: Sidecar,
    now: Time,
    /// Attempts in the queue of the sidecar.
    waiting: BTreeSet<AttemptId>,
    running: BTreeSet<AttemptId>,
}

/// State of the whole system, with the history that the invariants refer to.
#[derive(Clone, Debug)]
struct System {
    mutation: Option<Mutation>,
    /// Maximum retry timers that fire at each entry before its deadline.
    retries: u8,
    /// Faults that may still occur.
    faults: u8,
    hosts: Vec<Shared<Host>>,
    servers: Vec<Shared<Server>>,
    store: BTreeMap<Digest, (ClaimRecord, u64)>,
    revision: u64,
    network: Vec<Shared<Message>>,
    /// Entry and key of each call that has not arrived yet.
    planned: Vec<(usize, u8)>,
    /// Key of each request that has arrived.
    keys: BTreeMap<RequestId, u8>,
    /// Requests that were answered, and whether the answer was "not run".
    answered: BTreeMap<RequestId, bool>,
    started: BTreeSet<AttemptId>,
    finished: BTreeSet<AttemptId>,
    /// Attempts in the conflicting claim records that the store returned to each request.
    conflicts: BTreeSet<(RequestId, AttemptId)>,
    violation: Option<Violation>,
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    Deliver(Message),
    Duplicate(Message),
    LoseReply(Message),
    StoreDown(Message),
    ExpireClaims,
    QueryLost(ForbidQuery),
    Retry(usize),
    Deadline(usize),
    Pause(usize),
    CrashEntry(usize),
    Reconnect(usize, usize),
    Finish(usize, AttemptId),
    QueueExpire(usize),
    CrashSidecar(usize),
    BackendDown(usize),
}

pub(crate) fn check(size: Size, mutation: Option<Mutation>, target: Option<Violation>) -> Report {
    let spec = Spec { fingerprint, steps, violation_in: |system: &System| system.violation };
    explore(size, System::new(size, mutation), &spec, target)
}

fn fingerprint(system: &System) -> u128 {
    let mut fingerprint = Fingerprint::default();
    let System { faults, store, revision, planned, keys, .. } = system;
    fingerprint.add(&(faults, store, revision, planned, keys));
    for (i, host) in system.hosts.iter().enumerate() {
        // The past of an entry that has nothing more to do is irrelevant.
        let busy = host.alive && system.busy(i);
        fingerprint.add(&busy.then(|| host.fingerprint()));
    }
    system.servers.iter().for_each(|server| fingerprint.add(&server.fingerprint()));
    fingerprint.add(&(
        &system.answered,
        &system.started,
        &system.finished,
        &system.conflicts,
        system.violation,
    ));
    // The order of messages in the network is irrelevant.
    let mut network: Vec<u128> = system.network.iter().map(Shared::fingerprint).collect();
    network.sort_unstable();
    fingerprint.add(&network);
    fingerprint.finish()
}

fn steps(system: &System) -> Vec<(Step, System)> {
    let mut out = Vec::new();
    let mut step = |step: Step, apply: &dyn Fn(&mut System)| {
        let mut after = system.clone();
        apply(&mut after);
        after.prune();
        out.push((step, after));
    };
    let can_fail = system.faults > 0;
    for i in 0..system.planned.len() {
        step(Step::Begin(system.planned[i].0), &|s| s.begin(i));
    }
    for (i, message) in system.network.iter().enumerate() {
        let message: &Message = message;
        step(Step::Deliver(message.clone()), &|s| {
            s.network.swap_remove(i);
            s.deliver(message.clone(), true);
        });
        if !can_fail {
            continue;
        }
        if let Message::Claim { awaited: true, host, request, .. } = message {
            step(Step::LoseReply(message.clone()), &|s| {
                s.faults -= 1;
                // The write stays in transit: without a reply, the entry repeats it.
                s.deliver(message.clone(), false);
            });
            step(Step::StoreDown(message.clone()), &|s| {
                s.faults -= 1;
                if let Message::Claim { awaited, .. } = &mut *s.network[i] {
                    *awaited = false;
                }
                let (host, request, answer) = (*host, *request, ClaimResult::Unavailable);
                s.send(Message::ClaimAnswer { host, request, answer });
            });
        }
        if let Message::Dispatch { .. }
        | Message::Cancel { .. }
        | Message::Refused(..)
        | Message::Done(..) = message
        {
            step(Step::Duplicate(message.clone()), &|s| {
                s.faults -= 1;
                s.deliver(message.clone(), true);
            });
        }
    }
    for (i, host) in system.hosts.iter().enumerate().filter(|(_, host)| host.alive) {
        if host.entry.active_requests() > 0 {
            let next = host.entry.next_tick();
            if next.is_some_and(|at| at < host.deadline) && host.retries < system.retries {
                step(Step::Retry(i), &|s| {
                    s.hosts[i].retries += 1;
                    s.tick(i, next.unwrap_or_default());
                });
            }
            step(Step::Deadline(i), &|s| s.tick(i, s.hosts[i].deadline));
            if can_fail && host.now < host.deadline {
                step(Step::Pause(i), &|s| {
                    s.faults -= 1;
                    s.hosts[i].now = s.hosts[i].deadline;
                });
            }
        }
        if can_fail && !host.queries.is_empty() {
            for query in &host.queries {
                step(Step::QueryLost(*query), &|s| {
                    s.faults -= 1;
                    s.attempt_status(i, *query, None);
                });
            }
        }
        if can_fail && host.entry.active_requests() > 0 {
            step(Step::CrashEntry(i), &|s| s.crash_entry(i));
        }
        for server in 0..system.servers.len() {
            let stale = host.stale.contains(&server);
            if stale && system.busy(i) || can_fail && !host.streams.is_empty() {
                step(Step::Reconnect(i, server), &|s| {
                    s.faults -= u8::from(!stale);
                    s.reconnect(i, server);
                });
            }
        }
    }
    for (i, server) in system.servers.iter().enumerate() {
        for attempt in &server.running {
            step(Step::Finish(i, *attempt), &|s| s.finish(i, *attempt));
        }
        if !server.waiting.is_empty() {
            step(Step::QueueExpire(i), &|s| s.expire_queue(i));
        }
        if can_fail {
            step(Step::CrashSidecar(i), &|s| s.crash_sidecar(i));
        }
        if can_fail && !server.waiting.is_empty() {
            step(Step::BackendDown(i), &|s| s.backend_down(i));
        }
    }
    if system.mutation == Some(Mutation::ClaimExpires) {
        step(Step::ExpireClaims, &|s| s.store.retain(|_, (r, _)| r.state != ClaimState::Claimed));
    }
    out
}

impl System {
    fn new(size: Size, mutation: Option<Mutation>) -> Self {
        let Size::Calls { calls, others, entries, servers, faults, retries } = size else {
            return Self::new(Size::small(), mutation);
        };
        let bundle = Arc::new(bundle(servers));
        let servers: Vec<_> = (0..servers)
            .map(|i| Shared::new(new_server(sidecar_incarnation(usize::from(i)))))
            .collect();
        let entries = usize::from(entries);
        let hosts =
            (0..entries).map(|i| Shared::new(new_host(i, &bundle, servers.len()))).collect();
        let planned = (0..usize::from(calls))
            .map(|n| (n % entries, 0))
            .chain((0..others).map(|_| (entries - 1, 1)))
            .collect();
        Self {
            mutation,
            retries,
            faults,
            hosts,
            servers,
            store: BTreeMap::new(),
            revision: 0,
            network: Vec::new(),
            planned,
            keys: BTreeMap::new(),
            answered: BTreeMap::new(),
            started: BTreeSet::new(),
            finished: BTreeSet::new(),
            conflicts: BTreeSet::new(),
            violation: None,
        }
    }

    /// Whether an entry has a request in progress or to come.
    fn busy(&self, i: usize) -> bool {
        self.hosts[i].entry.active_requests() > 0 || self.planned.iter().any(|(host, _)| *host == i)
    }

    fn send(&mut self, message: Message) {
        self.network.push(Shared::new(message));
    }

    /// Removes messages and history that can no longer have an effect, to reduce the state space.
    fn prune(&mut self) {
        let mut network = std::mem::take(&mut self.network);
        let ended = |request: &RequestId| {
            self.answered.contains_key(request) || !self.hosts[self.host_of(*request)].alive
        };
        for message in &mut network {
            if let Message::Claim { request, awaited: true, .. } = &**message
                && ended(request)
                && let Message::Claim { awaited, .. } = &mut **message
            {
                *awaited = false;
            }
        }
        let sent: BTreeSet<_> = network
            .iter()
            .filter_map(|message| match &**message {
                Message::Dispatch { dispatch, .. } => Some(dispatch.attempt),
                _ => None,
            })
            .collect();
        network.retain(|message| match &**message {
            // A cancel affects only attempts that are queued or whose dispatch is in transit.
            Message::Cancel { server, attempt } => {
                sent.contains(attempt) || self.servers[*server].waiting.contains(attempt)
            }
            // Entries ignore messages that belong to no active request.
            Message::Refused(attempt, _) | Message::Done(attempt, _) => !ended(&attempt.request),
            Message::ClaimAnswer { request, .. } => !ended(request),
            Message::Status { host, query, .. } => {
                !ended(&query.request) && self.hosts[*host].queries.contains(query)
            }
            // A write for another revision can never succeed, since revisions only increase.
            Message::RecordOutcome { key, revision, .. } => {
                self.has_mutation(Mutation::BlindOverwrite)
                    || self.store.get(key).is_some_and(|(_, current)| current == revision)
            }
            _ => true,
        });
        self.network = network;
        let answered = &self.answered;
        self.conflicts.retain(|(request, _)| answered.get(request) != Some(&false));
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn host_of(&self, request: RequestId) -> usize {
        (request.entry.0 - FIRST_INCARNATION) as usize
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
                    let server = server_index(&server);
                    self.hosts[i].streams.insert(dispatch.attempt, server);
                    self.send(Message::Dispatch { server, dispatch });
                }
                EntryAction::Cancel(server, attempt) => {
                    self.hosts[i].streams.remove(&attempt);
                    self.send(Message::Cancel { server: server_index(&server), attempt });
                }
                EntryAction::Claim { request, key, record, write } => {
                    let claim = ClaimRequest { record, write };
                    self.send(Message::Claim { host: i, request, key, claim, awaited: true });
                }
                EntryAction::Forbid { request, server, attempt, incarnation } => {
                    let host: &mut Host = &mut self.hosts[i];
                    host.query_count += 1;
                    let (server, number) = (server_index(&server), host.query_count);
                    let query = ForbidQuery { request, number, server, attempt, incarnation };
                    host.queries.insert(query);
                    self.send(Message::Forbid { server, host: i, query });
                }
                EntryAction::RecordOutcome { key, record, revision } => {
                    self.send(Message::RecordOutcome { key, record, revision });
                }
                EntryAction::SaveOutput(..) | EntryAction::ForwardChunk(..) => {}
                EntryAction::Answer(request, answer) => self.record_answer(request, &answer),
            }
        }
    }

    fn record_answer(&mut self, request: RequestId, answer: &Answer) {
        let concerns = |attempt: &AttemptId| {
            attempt.request == request || self.conflicts.contains(&(request, *attempt))
        };
        match answer {
            Answer::Complete(attempt) => {
                let same = self.keys.get(&attempt.request) == self.keys.get(&request);
                if !same || !self.finished.contains(attempt) {
                    self.violation = Some(Violation::WrongAnswer);
                }
            }
            Answer::Error { execution: Execution::NotRun, .. } => {
                if self.started.iter().any(concerns) {
                    self.violation = Some(Violation::UntrueNotRun);
                }
            }
            Answer::Error { .. } => {}
        }
        let not_run = matches!(answer, Answer::Error { execution: Execution::NotRun, .. });
        if self.answered.insert(request, not_run).is_some() {
            self.violation = Some(Violation::AnsweredTwice);
        }
    }

    fn attempt_status(&mut self, i: usize, query: ForbidQuery, status: Option<AttemptStatus>) {
        if self.hosts[i].queries.remove(&query) {
            self.event(i, EntryEvent::AttemptStatus(query.request, status));
        }
    }

    fn crash_entry(&mut self, i: usize) {
        self.faults -= 1;
        let host: &mut Host = &mut self.hosts[i];
        host.alive = false;
        host.queries.clear();
        host.streams.clear();
        self.planned.retain(|(host, _)| *host != i);
        // Sidecars cancel the queued attempts of an entry when its connection breaks.
        let incarnation = Incarnation(FIRST_INCARNATION + i as u64);
        for server in 0..self.servers.len() {
            for attempt in self.servers[server].waiting.clone() {
                if attempt.request.entry == incarnation {
                    self.send(Message::Cancel { server, attempt });
                }
            }
        }
    }

    /// Closes the connection of an entry to a server and opens a new one.
    fn reconnect(&mut self, i: usize, server: usize) {
        let (pool, id) = (PoolId::from("orders"), server_id(server));
        let now = self.hosts[i].now;
        self.hosts[i].stale.remove(&server);
        self.hosts[i].entry.set_connected(now, &pool, &id, false);
        let lost: Vec<_> =
            self.hosts[i].streams.iter().filter(|(_, s)| **s == server).map(|(a, _)| *a).collect();
        for attempt in lost {
            self.hosts[i].streams.remove(&attempt);
            self.event(i, EntryEvent::ConnectionLost(attempt));
        }
        let queries: Vec<_> =
            self.hosts[i].queries.iter().filter(|query| query.server == server).copied().collect();
        for query in queries {
            self.attempt_status(i, query, None);
        }
        let state: &mut Server = &mut self.servers[server];
        let report = state.sidecar.report(state.now);
        self.hosts[i].entry.set_connected(now, &pool, &id, true);
        self.hosts[i].entry.report(&pool, &id, report);
    }

    // Messages.

    fn deliver(&mut self, message: Message, reply: bool) {
        match message {
            Message::Dispatch { server, mut dispatch } => {
                let state: &mut Server = &mut self.servers[server];
                if self.mutation == Some(Mutation::IncarnationUnchecked) {
                    dispatch.incarnation = Some(state.sidecar.incarnation());
                }
                let actions = state.sidecar.dispatch(state.now, &dispatch);
                let attempt = dispatch.attempt;
                if !actions
                    .iter()
                    .any(|a| matches!(a, SidecarAction::Refuse(r, _) if *r == attempt))
                {
                    state.waiting.insert(attempt);
                }
                self.sidecar_actions(server, actions);
            }
            Message::Cancel { server, attempt } => {
                let state: &mut Server = &mut self.servers[server];
                let actions = state.sidecar.cancel(state.now, attempt);
                self.sidecar_actions(server, actions);
            }
            Message::Forbid { server, host, query } => {
                let state: &mut Server = &mut self.servers[server];
                let before = state.sidecar.clone();
                let mut status = state.sidecar.forbid(query.attempt, query.incarnation);
                match (self.mutation, status) {
                    (Some(Mutation::PromiseUnrecorded), _) => state.sidecar = before,
                    (Some(Mutation::OutcomeUnrecorded), AttemptStatus::Ended(_))
                    | (Some(Mutation::GoneAsForbidden), AttemptStatus::Gone) => {
                        status = AttemptStatus::Forbidden;
                    }
                    _ => {}
                }
                self.send(Message::Status { host, query, status });
            }
            Message::Refused(attempt, refusal) => {
                let i = self.host_of(attempt.request);
                let retry = Span::ZERO;
                let refusal = match (self.mutation, refusal) {
                    (Some(Mutation::DuplicateAsPromise), Refusal::Duplicate)
                    | (Some(Mutation::StaleAsPromise), Refusal::Stale) => {
                        Refusal::Overloaded { retry }
                    }
                    _ => refusal,
                };
                if refusal != Refusal::Duplicate {
                    self.hosts[i].streams.remove(&attempt);
                }
                self.event(i, EntryEvent::Refused(attempt, refusal));
            }
            Message::Done(attempt, outcome) => self.done(attempt, outcome),
            Message::Status { host, query, status } => {
                self.attempt_status(host, query, Some(status))
            }
            Message::Claim { host, request, key, claim, awaited } => {
                let answer = self.claim(key, claim);
                if reply && awaited {
                    self.send(Message::ClaimAnswer { host, request, answer });
                }
            }
            Message::ClaimAnswer { host, request, answer } => {
                let late = self.hosts[host].now >= self.hosts[host].deadline;
                if let ClaimResult::Conflict(record, _) = &answer
                    && !late
                {
                    self.conflicts.insert((request, record.attempt));
                }
                self.event(host, EntryEvent::Claimed(request, answer));
            }
            Message::RecordOutcome { key, record, revision } => {
                let current = self.store.get(&key).is_some_and(|(_, found)| *found == revision);
                if current || self.has_mutation(Mutation::BlindOverwrite) {
                    self.put(key, record);
                }
            }
        }
    }

    fn done(&mut self, attempt: AttemptId, outcome: Outcome) {
        let i = self.host_of(attempt.request);
        if self.has_mutation(Mutation::UnmatchedAccepted) {
            // Delivers the response to the first attempt that waits for one, at any entry.
            let waiting = self.hosts.iter().flat_map(|host| host.streams.keys()).next().copied();
            if let Some(other) = waiting {
                let i = self.host_of(other.request);
                self.hosts[i].streams.remove(&other);
                self.event(i, EntryEvent::Done(other, outcome));
            }
            return;
        }
        self.hosts[i].streams.remove(&attempt);
        self.event(i, EntryEvent::Done(attempt, outcome));
    }

    // The store.

    fn claim(&mut self, key: Digest, claim: ClaimRequest) -> ClaimResult {
        let found = self.store.get(&key);
        let free = match (found, claim.write) {
            (None, _) => true,
            (Some((_, current)), ClaimWrite::Replace(revision)) => *current == revision,
            (Some(_), ClaimWrite::Create) => false,
        };
        match found {
            Some((record, revision)) if !free && !self.has_mutation(Mutation::BlindOverwrite) => {
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

    // Sidecars.

    fn sidecar_actions(&mut self, server: usize, actions: Vec<SidecarAction>) {
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

    /// Records that a backend server started an attempt, and checks the invariants.
    fn start(&mut self, attempt: AttemptId) {
        let key = self.keys.get(&attempt.request);
        if self.started.iter().any(|other| self.keys.get(&other.request) == key) {
            self.violation = Some(Violation::RanTwice);
        }
        let not_run = self.answered.iter().any(|(request, not_run)| {
            let concerns =
                attempt.request == *request || self.conflicts.contains(&(*request, attempt));
            *not_run && concerns
        });
        if not_run {
            self.violation = Some(Violation::UntrueNotRun);
        }
        self.started.insert(attempt);
    }

    fn finish(&mut self, server: usize, attempt: AttemptId) {
        self.finished.insert(attempt);
        let state: &mut Server = &mut self.servers[server];
        state.running.remove(&attempt);
        let actions = state.sidecar.finish(state.now, attempt, Outcome::Finished);
        self.send(Message::Done(attempt, Outcome::Finished));
        self.sidecar_actions(server, actions);
    }

    fn expire_queue(&mut self, server: usize) {
        let state: &mut Server = &mut self.servers[server];
        state.now = state.now.max(state.sidecar.next_tick().unwrap_or_default());
        let actions = state.sidecar.tick(state.now);
        self.sidecar_actions(server, actions);
    }

    fn crash_sidecar(&mut self, server: usize) {
        self.faults -= 1;
        let next = Incarnation(self.servers[server].sidecar.incarnation().0 + 1);
        self.servers[server] = Shared::new(new_server(next));
        for host in self.hosts.iter_mut().filter(|host| host.alive) {
            host.stale.insert(server);
        }
    }

    fn backend_down(&mut self, server: usize) {
        self.faults -= 1;
        let state: &mut Server = &mut self.servers[server];
        let mut actions = state.sidecar.set_down(state.now, true);
        actions.extend(state.sidecar.set_down(state.now, false));
        self.sidecar_actions(server, actions);
    }
}

fn rng(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

/// Finds a seed whose first choice between two servers is the given one.
fn find_seed(choice: u64) -> u64 {
    (0..).find(|seed| rng(*seed).next_u64() % 2 == choice % 2).unwrap_or_default()
}

fn sidecar_incarnation(server: usize) -> Incarnation {
    Incarnation(FIRST_INCARNATION * 10 * (server as u64 + 1))
}

fn server_id(server: usize) -> ServerId {
    ServerId::from(format!("s{server}").as_str())
}

fn server_index(server: &ServerId) -> usize {
    server.as_str().trim_start_matches('s').parse().unwrap_or_default()
}

fn new_server(incarnation: Incarnation) -> Server {
    let settings = SidecarSettings { slots: 1, queue_limit: 4, ..SidecarSettings::default() };
    Server {
        sidecar: Sidecar::new(incarnation, settings),
        now: Time(0),
        waiting: BTreeSet::new(),
        running: BTreeSet::new(),
    }
}

fn new_host(i: usize, bundle: &Arc<Bundle>, servers: usize) -> Host {
    let settings = EntrySettings { hedging: false, ..EntrySettings::default() };
    let incarnation = Incarnation(FIRST_INCARNATION + i as u64);
    let mut entry = Entry::new(incarnation, "z".into(), settings, Arc::clone(bundle));
    for server in 0..servers {
        let report = new_server(sidecar_incarnation(server)).sidecar.report(Time(0));
        entry.set_connected(Time(0), &"orders".into(), &server_id(server), true);
        entry.report(&"orders".into(), &server_id(server), report);
    }
    Host {
        entry,
        seed: find_seed(i as u64),
        now: Time(0),
        deadline: Time(0),
        alive: true,
        retries: 0,
        query_count: 0,
        queries: BTreeSet::new(),
        streams: BTreeMap::new(),
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

/// Formats the entry, serial and number of an attempt.
fn attempt_label(attempt: &AttemptId) -> String {
    let AttemptId { request, number, .. } = attempt;
    format!("e{}.{}#{number}", request.entry.0 - FIRST_INCARNATION, request.serial)
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dispatch { server, dispatch } => {
                write!(f, "dispatch of {} to s{server}", attempt_label(&dispatch.attempt))
            }
            Self::Cancel { server, attempt } => {
                write!(f, "cancel of {} to s{server}", attempt_label(attempt))
            }
            Self::Forbid { server, host, query } => {
                write!(f, "forbid of {} by e{host} to s{server}", attempt_label(&query.attempt))
            }
            Self::Refused(attempt, refusal) => {
                write!(f, "refusal of {}: {refusal:?}", attempt_label(attempt))
            }
            Self::Done(attempt, outcome) => {
                write!(f, "outcome of {}: {outcome:?}", attempt_label(attempt))
            }
            Self::Status { host, query, status } => {
                write!(f, "status of {} to e{host}: {status:?}", attempt_label(&query.attempt))
            }
            Self::Claim { host, claim, .. } => {
                let ClaimRequest { record, write } = claim;
                let (attempt, state) = (attempt_label(&record.attempt), &record.state);
                write!(f, "claim by e{host} for {attempt}: {write:?} {state:?}")
            }
            Self::ClaimAnswer { host, answer, .. } => {
                let text = match answer {
                    ClaimResult::Written(revision) => format!("written at revision {revision}"),
                    ClaimResult::Conflict(record, revision) => {
                        format!(
                            "conflict with {} at revision {revision}: {:?}",
                            attempt_label(&record.attempt),
                            record.state
                        )
                    }
                    ClaimResult::Unavailable => "unavailable".to_owned(),
                };
                write!(f, "claim result to e{host}: {text}")
            }
            Self::RecordOutcome { record, .. } => {
                write!(
                    f,
                    "recorded outcome of {}: {:?}",
                    attempt_label(&record.attempt),
                    record.state
                )
            }
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Begin(host) => write!(f, "call arrives at e{host}"),
            Self::Deliver(message) => write!(f, "{message}"),
            Self::Duplicate(message) => write!(f, "duplicate: {message}"),
            Self::LoseReply(message) => write!(f, "reply lost: {message}"),
            Self::StoreDown(message) => write!(f, "store unavailable: {message}"),
            Self::ExpireClaims => f.write_str("store deletes unresolved claims"),
            Self::QueryLost(query) => write!(f, "no status of {}", attempt_label(&query.attempt)),
            Self::Retry(host) => write!(f, "retry timer fires at e{host}"),
            Self::Deadline(host) => write!(f, "deadline passes at e{host}"),
            Self::Pause(host) => write!(f, "e{host} pauses past its deadline"),
            Self::CrashEntry(host) => write!(f, "e{host} crashes"),
            Self::Reconnect(host, server) => write!(f, "e{host} reconnects to s{server}"),
            Self::Finish(server, attempt) => {
                write!(f, "s{server} finishes {}", attempt_label(attempt))
            }
            Self::QueueExpire(server) => write!(f, "attempt expires in the queue of s{server}"),
            Self::CrashSidecar(server) => write!(f, "sidecar of s{server} crashes and restarts"),
            Self::BackendDown(server) => write!(f, "s{server} goes down and recovers"),
        }
    }
}
