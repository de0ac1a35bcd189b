//! Property test of an entry and its sidecars under random event orders.
#![allow(clippy::expect_used, reason = "clippy exempts only test functions")]

mod common;

use common::*;
use damaskweir_core::claim::ClaimRecord;
use damaskweir_core::entry::{ClaimResult, ClaimWrite, Entry, EntryAction, EntryEvent};
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Sidecar, SidecarAction, SidecarSettings};
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use std::collections::{BTreeMap, BTreeSet};

const PIPELINES: [&str; 4] = ["read", "order", "twice", "mixed"];

/// A random event. The numbers select among the messages, servers or requests that exist.
#[derive(Clone, Copy, Debug)]
enum Op {
    Call(u8, bool),
    Deliver(u8),
    Duplicate(u8),
    Chunk(u8),
    Finish(u8, bool),
    Tick,
    Reconnect(u8),
    Restart(u8),
    Flap(u8),
    CallerGone(u8),
    AdvanceClock(u16),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (any::<u8>(), any::<bool>()).prop_map(|(n, stream)| Op::Call(n, stream)),
        12 => any::<u8>().prop_map(Op::Deliver),
        1 => any::<u8>().prop_map(Op::Duplicate),
        3 => any::<u8>().prop_map(Op::Chunk),
        4 => (any::<u8>(), any::<bool>()).prop_map(|(n, good)| Op::Finish(n, good)),
        4 => Just(Op::Tick),
        1 => any::<u8>().prop_map(Op::Reconnect),
        1 => any::<u8>().prop_map(Op::Restart),
        1 => any::<u8>().prop_map(Op::Flap),
        1 => any::<u8>().prop_map(Op::CallerGone),
        1 => any::<u16>().prop_map(Op::AdvanceClock),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Dispatch(ServerId, Dispatch),
    Cancel(ServerId, AttemptId),
    Ask(ServerId, RequestId, AttemptId, Incarnation),
    Claim(RequestId, Digest, ClaimRecord, ClaimWrite),
    Event(EntryEvent),
}

struct Simulation {
    entry: Entry,
    rng: Rng,
    now: Time,
    sides: BTreeMap<ServerId, (PoolId, Sidecar)>,
    running: BTreeSet<(ServerId, AttemptId)>,
    chunks: BTreeMap<AttemptId, u32>,
    in_flight: Vec<Message>,
    store: BTreeMap<Digest, (ClaimRecord, u64)>,
    revision: u64,
    /// Number of answers to each request.
    answer_counts: BTreeMap<RequestId, u32>,
    callers_gone: BTreeSet<RequestId>,
    emitted_chunks: BTreeMap<RequestId, u32>,
    /// Idempotency key digest of each claimed attempt.
    claim_keys: BTreeMap<AttemptId, Digest>,
    /// Keys of which an attempt was started.
    started_keys: BTreeSet<Digest>,
}

impl Simulation {
    fn new() -> Self {
        let bundle = bundle(2);
        let sides = bundle.pools.iter().flat_map(|(pool, settings)| {
            let side = |s: &BackendServer| {
                (s.id.clone(), (pool.clone(), new_sidecar(INITIAL_INCARNATION)))
            };
            settings.servers.iter().map(side).collect::<Vec<_>>()
        });
        Self {
            entry: entry_of(7, &bundle),
            rng: rng(1),
            now: Time(0),
            sides: sides.collect(),
            running: BTreeSet::new(),
            chunks: BTreeMap::new(),
            in_flight: Vec::new(),
            store: BTreeMap::new(),
            revision: 0,
            answer_counts: BTreeMap::new(),
            callers_gone: BTreeSet::new(),
            emitted_chunks: BTreeMap::new(),
            claim_keys: BTreeMap::new(),
            started_keys: BTreeSet::new(),
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Call(n, stream) => {
                let mut call = call(PIPELINES[usize::from(n) % PIPELINES.len()]);
                // Reduces the number of keys so that some calls share one.
                call.key = Some(Digest([n % 64; 32]));
                call.body = Digest([n % 64; 32]);
                call.stream = stream;
                let (id, actions) = self.entry.call(self.now, &mut self.rng, call);
                self.answer_counts.insert(id, 0);
                self.apply_entry_actions(actions);
            }
            Op::Deliver(n) => {
                if let Some(i) = pick_index(n, self.in_flight.len()) {
                    let message = self.in_flight.swap_remove(i);
                    self.deliver(message);
                }
            }
            Op::Duplicate(n) => {
                // Claims, queries to sidecars and the answers to both arrive exactly once. All other
                // messages may be duplicated.
                if let Some(i) = pick_index(n, self.in_flight.len())
                    && !matches!(
                        self.in_flight[i],
                        Message::Claim(..)
                            | Message::Ask(..)
                            | Message::Event(
                                EntryEvent::Claimed(..) | EntryEvent::AttemptStatus(..)
                            )
                    )
                {
                    let message = self.in_flight[i].clone();
                    self.deliver(message);
                }
            }
            Op::Chunk(n) => {
                if let Some((_, attempt)) = self.nth_running(n) {
                    let index = self.chunks.entry(attempt).or_default();
                    self.in_flight.push(Message::Event(EntryEvent::Chunk(attempt, *index)));
                    *index += 1;
                }
            }
            Op::Finish(n, good) => {
                if let Some((server, attempt)) = self.nth_running(n) {
                    let failed = Outcome::Failed(Failure::Backend);
                    self.finish_attempt(
                        &server,
                        attempt,
                        if good { Outcome::Finished } else { failed },
                    );
                }
            }
            Op::Tick => self.tick(),
            Op::Reconnect(n) => self.reconnect(&self.nth_sidecar(n)),
            Op::Restart(n) => {
                let server = self.nth_sidecar(n);
                self.running.retain(|(at, _)| *at != server);
                if let Some((_, side)) = self.sides.get_mut(&server) {
                    *side = new_sidecar(Incarnation(side.incarnation().0 + 1));
                }
                self.reconnect(&server);
            }
            Op::Flap(n) => {
                let server = self.nth_sidecar(n);
                for down in [true, false] {
                    let now = self.now;
                    let actions = self.side(&server).set_down(now, down);
                    self.apply_side_actions(&server, actions);
                }
            }
            Op::CallerGone(n) => {
                let ids: Vec<_> = self.answer_counts.keys().copied().collect();
                if let Some(i) = pick_index(n, ids.len()) {
                    self.callers_gone.insert(ids[i]);
                    self.event(EntryEvent::CallerGone(ids[i]));
                }
            }
            Op::AdvanceClock(millis) => {
                self.now = self.now + Span::from_millis(u64::from(millis) / 32)
            }
        }
        self.check_invariants();
    }

    fn check_invariants(&self) {
        let busy = self.entry.active_requests() > 0;
        assert!(!busy || self.entry.next_tick().is_some(), "a request without a timer is stuck");
        assert!(busy || self.entry.open_attempts() == 0, "attempts are open without a request");
        for (id, answers) in &self.answer_counts {
            assert!(*answers <= 1, "{id} got {answers} answers");
        }
    }

    /// Delivers all messages and ends all attempts, then checks that each request got one answer,
    /// or none if its caller left.
    fn run_to_completion(mut self) {
        for _ in 0..100_000 {
            if let Some(message) = self.in_flight.pop() {
                self.deliver(message);
            } else if let Some((server, attempt)) = self.nth_running(0) {
                self.finish_attempt(&server, attempt, Outcome::Finished);
            } else if self.entry.active_requests() > 0 {
                self.tick();
            } else {
                break;
            }
            self.check_invariants();
        }
        assert_eq!(self.entry.active_requests(), 0, "requests are still in progress");
        assert_eq!(self.entry.open_attempts(), 0);
        for (id, answers) in &self.answer_counts {
            let gone = self.callers_gone.contains(id) && *answers == 0;
            assert!(gone || *answers == 1, "{id} got {answers} answers");
        }
    }

    fn tick(&mut self) {
        if let Some(at) = self.entry.next_tick() {
            self.now = self.now.max(at);
            let actions = self.entry.tick(self.now, &mut self.rng);
            self.apply_entry_actions(actions);
        }
        let servers: Vec<_> = self.sides.keys().cloned().collect();
        for server in servers {
            let now = self.now;
            if self.side(&server).next_tick().is_some_and(|at| at <= now) {
                let actions = self.side(&server).tick(now);
                self.apply_side_actions(&server, actions);
            }
        }
    }

    fn event(&mut self, event: EntryEvent) {
        let actions = self.entry.event(self.now, &mut self.rng, event);
        self.apply_entry_actions(actions);
    }

    fn side(&mut self, server: &ServerId) -> &mut Sidecar {
        &mut self.sides.get_mut(server).expect("the sidecar exists").1
    }

    fn nth_sidecar(&self, n: u8) -> ServerId {
        self.sides
            .keys()
            .nth(usize::from(n) % self.sides.len())
            .expect("there are sidecars")
            .clone()
    }

    fn nth_running(&self, n: u8) -> Option<(ServerId, AttemptId)> {
        self.running.iter().nth(pick_index(n, self.running.len())?).cloned()
    }

    /// Breaks the connection to a sidecar, losing its messages and attempts, and opens a new one.
    fn reconnect(&mut self, server: &ServerId) {
        let (pool, side) = self.sides.get_mut(server).expect("the sidecar exists");
        let (pool, report) = (pool.clone(), side.report(self.now));
        self.entry.set_connected(self.now, &pool, server, false);
        let mut lost = Vec::new();
        self.in_flight.retain(|message| match message {
            Message::Dispatch(to, dispatch) if to == server => {
                lost.push(EntryEvent::ConnectionLost(dispatch.attempt));
                false
            }
            Message::Ask(to, request, ..) if to == server => {
                lost.push(EntryEvent::AttemptStatus(*request, None));
                false
            }
            _ => true,
        });
        let running = self.running.iter().filter(|(at, _)| at == server);
        lost.extend(running.map(|(_, attempt)| EntryEvent::ConnectionLost(*attempt)));
        for event in lost {
            self.event(event);
        }
        self.entry.set_connected(self.now, &pool, server, true);
        self.entry.report(&pool, server, report);
    }

    fn finish_attempt(&mut self, server: &ServerId, attempt: AttemptId, outcome: Outcome) {
        self.running.remove(&(server.clone(), attempt));
        let now = self.now;
        let actions = self.side(server).finish(now, attempt, outcome);
        self.in_flight.push(Message::Event(EntryEvent::Done(attempt, outcome)));
        self.apply_side_actions(server, actions);
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Dispatch(server, dispatch) => {
                let actions = self.side(&server).dispatch(now, &dispatch);
                self.apply_side_actions(&server, actions);
            }
            Message::Cancel(server, attempt) => {
                let actions = self.side(&server).cancel(now, attempt);
                self.apply_side_actions(&server, actions);
            }
            Message::Ask(server, request, attempt, incarnation) => {
                let status = self.side(&server).forbid(attempt, incarnation);
                self.in_flight
                    .push(Message::Event(EntryEvent::AttemptStatus(request, Some(status))));
            }
            Message::Claim(request, key, record, write) => {
                let answer = match (self.store.get(&key), write) {
                    (Some((_, stands)), ClaimWrite::Replace(at)) if *stands == at => None,
                    (Some((found, at)), _) => Some(ClaimResult::Conflict(found.clone(), *at)),
                    (None, _) => None,
                };
                let answer = answer.unwrap_or_else(|| {
                    self.revision += 1;
                    self.store.insert(key, (record, self.revision));
                    ClaimResult::Written(self.revision)
                });
                self.in_flight.push(Message::Event(EntryEvent::Claimed(request, answer)));
            }
            Message::Event(event) => self.event(event),
        }
    }

    fn apply_entry_actions(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { server, dispatch, .. } => {
                    self.in_flight.push(Message::Dispatch(server, dispatch));
                }
                EntryAction::Cancel(server, attempt) => {
                    self.in_flight.push(Message::Cancel(server, attempt));
                }
                EntryAction::Claim { request, key, record, write } => {
                    if record.attempt.request == request {
                        self.claim_keys.insert(record.attempt, key);
                    }
                    self.in_flight.push(Message::Claim(request, key, record, write));
                }
                EntryAction::Forbid { request, server, attempt, incarnation } => {
                    self.in_flight.push(Message::Ask(server, request, attempt, incarnation));
                }
                EntryAction::RecordOutcome { key, record, revision } => {
                    if let Some(found) = self.store.get_mut(&key).filter(|f| f.1 == revision) {
                        self.revision += 1;
                        *found = (record, self.revision);
                    }
                }
                EntryAction::SaveOutput(..) => {}
                EntryAction::ForwardChunk(attempt, index) => {
                    let next = self.emitted_chunks.entry(attempt.request).or_default();
                    assert_eq!(index, *next, "chunks of {attempt} are repeated or skipped");
                    *next += 1;
                    let answers = self.answer_counts.get(&attempt.request).copied().unwrap_or(0);
                    assert_eq!(answers, 0, "a chunk follows the final answer");
                }
                EntryAction::Answer(id, _) => *self.answer_counts.entry(id).or_default() += 1,
            }
        }
    }

    fn apply_side_actions(&mut self, server: &ServerId, actions: Vec<SidecarAction>) {
        for action in actions {
            match action {
                SidecarAction::Start(attempt) => {
                    if let Some(key) = self.claim_keys.get(&attempt) {
                        assert!(
                            self.started_keys.insert(*key),
                            "{attempt} starts its call a second time"
                        );
                    }
                    self.running.insert((server.clone(), attempt));
                }
                SidecarAction::Refuse(attempt, refusal) => {
                    self.in_flight.push(Message::Event(EntryEvent::Refused(attempt, refusal)));
                }
                SidecarAction::Abort(attempt) => {
                    self.running.remove(&(server.clone(), attempt));
                }
                SidecarAction::Drained => {}
            }
        }
    }
}

fn new_sidecar(incarnation: Incarnation) -> Sidecar {
    Sidecar::new(
        incarnation,
        SidecarSettings { slots: 2, queue_limit: 4, ..SidecarSettings::default() },
    )
}

fn pick_index(n: u8, len: usize) -> Option<usize> {
    (len > 0).then(|| usize::from(n) % len)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against requests with no answer or two answers, repeated or skipped chunks, counters
    /// that do not return to zero, stuck timers, and attempts that start twice.
    #[test]
    fn events_in_any_order(ops in vec(op(), 1..120)) {
        let mut simulation = Simulation::new();
        ops.into_iter().for_each(|op| simulation.step(op));
        simulation.run_to_completion();
    }
}
