//! Random orders of events at an entry and its sides.
#![allow(clippy::expect_used, reason = "the lint knows only test functions")]

mod common;

use common::*;
use damaskweir_core::claim::ClaimRecord;
use damaskweir_core::entry::{ClaimResult, ClaimWrite, Entry, EntryAction, EntryEvent};
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Side, SideAction, SideSettings};
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use std::collections::{BTreeMap, BTreeSet};

const PIPELINES: [&str; 4] = ["read", "order", "twice", "mixed"];

/// What happens next; numbers choose among what there is.
#[derive(Clone, Copy, Debug)]
enum Op {
    Call(u8, bool),
    Deliver(u8),
    Copy(u8),
    Chunk(u8),
    Finish(u8, bool),
    Tick,
    Cut(u8),
    Restart(u8),
    Flap(u8),
    Gone(u8),
    Sleep(u16),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (any::<u8>(), any::<bool>()).prop_map(|(n, stream)| Op::Call(n, stream)),
        12 => any::<u8>().prop_map(Op::Deliver),
        1 => any::<u8>().prop_map(Op::Copy),
        3 => any::<u8>().prop_map(Op::Chunk),
        4 => (any::<u8>(), any::<bool>()).prop_map(|(n, good)| Op::Finish(n, good)),
        4 => Just(Op::Tick),
        1 => any::<u8>().prop_map(Op::Cut),
        1 => any::<u8>().prop_map(Op::Restart),
        1 => any::<u8>().prop_map(Op::Flap),
        1 => any::<u8>().prop_map(Op::Gone),
        1 => any::<u16>().prop_map(Op::Sleep),
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

struct Run {
    entry: Entry,
    rng: Rng,
    now: Time,
    sides: BTreeMap<ServerId, (PoolId, Side)>,
    running: BTreeSet<(ServerId, AttemptId)>,
    chunks: BTreeMap<AttemptId, u32>,
    net: Vec<Message>,
    store: BTreeMap<Digest, (ClaimRecord, u64)>,
    revision: u64,
    /// Answers of each request.
    answers: BTreeMap<RequestId, u32>,
    gone: BTreeSet<RequestId>,
    emitted: BTreeMap<RequestId, u32>,
    /// Key of each claimed attempt.
    keys: BTreeMap<AttemptId, Digest>,
    /// Keys whose attempts were started.
    ran: BTreeSet<Digest>,
}

impl Run {
    fn new() -> Self {
        let bundle = bundle(2);
        let sides = bundle.pools.iter().flat_map(|(pool, settings)| {
            let side = |s: &BackendServer| (s.id.clone(), (pool.clone(), new_side(RUN)));
            settings.servers.iter().map(side).collect::<Vec<_>>()
        });
        Self {
            entry: entry_of(7, &bundle),
            rng: rng(1),
            now: Time(0),
            sides: sides.collect(),
            running: BTreeSet::new(),
            chunks: BTreeMap::new(),
            net: Vec::new(),
            store: BTreeMap::new(),
            revision: 0,
            answers: BTreeMap::new(),
            gone: BTreeSet::new(),
            emitted: BTreeMap::new(),
            keys: BTreeMap::new(),
            ran: BTreeSet::new(),
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Call(n, stream) => {
                let mut call = call(PIPELINES[usize::from(n) % PIPELINES.len()]);
                // A few calls share a key.
                call.key = Some(Digest([n % 64; 32]));
                call.body = Digest([n % 64; 32]);
                call.stream = stream;
                let (id, actions) = self.entry.call(self.now, &mut self.rng, call);
                self.answers.insert(id, 0);
                self.take(actions);
            }
            Op::Deliver(n) => {
                if let Some(i) = pick(n, self.net.len()) {
                    let message = self.net.swap_remove(i);
                    self.deliver(message);
                }
            }
            Op::Copy(n) => {
                // The store's and the sides' answers come once; the rest may be copied.
                if let Some(i) = pick(n, self.net.len())
                    && !matches!(
                        self.net[i],
                        Message::Claim(..)
                            | Message::Ask(..)
                            | Message::Event(
                                EntryEvent::Claimed(..) | EntryEvent::AttemptStatus(..)
                            )
                    )
                {
                    let message = self.net[i].clone();
                    self.deliver(message);
                }
            }
            Op::Chunk(n) => {
                if let Some((_, attempt)) = self.nth_running(n) {
                    let index = self.chunks.entry(attempt).or_default();
                    self.net.push(Message::Event(EntryEvent::Chunk(attempt, *index)));
                    *index += 1;
                }
            }
            Op::Finish(n, good) => {
                if let Some((server, attempt)) = self.nth_running(n) {
                    let failed = Outcome::Failed(Failure::Backend);
                    self.end(&server, attempt, if good { Outcome::Finished } else { failed });
                }
            }
            Op::Tick => self.tick(),
            Op::Cut(n) => self.cut(&self.nth_side(n)),
            Op::Restart(n) => {
                let server = self.nth_side(n);
                self.running.retain(|(at, _)| *at != server);
                if let Some((_, side)) = self.sides.get_mut(&server) {
                    *side = new_side(Incarnation(side.incarnation().0 + 1));
                }
                self.cut(&server);
            }
            Op::Flap(n) => {
                let server = self.nth_side(n);
                for down in [true, false] {
                    let now = self.now;
                    let actions = self.side(&server).set_down(now, down);
                    self.take_side(&server, actions);
                }
            }
            Op::Gone(n) => {
                let ids: Vec<_> = self.answers.keys().copied().collect();
                if let Some(i) = pick(n, ids.len()) {
                    self.gone.insert(ids[i]);
                    self.event(EntryEvent::CallerGone(ids[i]));
                }
            }
            Op::Sleep(millis) => self.now = self.now + Span::from_millis(u64::from(millis) / 32),
        }
        self.check();
    }

    fn check(&self) {
        let busy = self.entry.active_requests() > 0;
        assert!(!busy || self.entry.next_tick().is_some(), "a request without a timer is stuck");
        assert!(busy || self.entry.open_attempts() == 0, "attempts are counted without a request");
        for (id, answers) in &self.answers {
            assert!(*answers <= 1, "{id} got {answers} answers");
        }
    }

    /// Lets everything end.
    fn settle(mut self) {
        for _ in 0..100_000 {
            if let Some(message) = self.net.pop() {
                self.deliver(message);
            } else if let Some((server, attempt)) = self.nth_running(0) {
                self.end(&server, attempt, Outcome::Finished);
            } else if self.entry.active_requests() > 0 {
                self.tick();
            } else {
                break;
            }
            self.check();
        }
        assert_eq!(self.entry.active_requests(), 0, "requests never end");
        assert_eq!(self.entry.open_attempts(), 0);
        for (id, answers) in &self.answers {
            let gone = self.gone.contains(id) && *answers == 0;
            assert!(gone || *answers == 1, "{id} got {answers} answers");
        }
    }

    fn tick(&mut self) {
        if let Some(at) = self.entry.next_tick() {
            self.now = self.now.max(at);
            let actions = self.entry.tick(self.now, &mut self.rng);
            self.take(actions);
        }
        let servers: Vec<_> = self.sides.keys().cloned().collect();
        for server in servers {
            let now = self.now;
            if self.side(&server).next_tick().is_some_and(|at| at <= now) {
                let actions = self.side(&server).tick(now);
                self.take_side(&server, actions);
            }
        }
    }

    fn event(&mut self, event: EntryEvent) {
        let actions = self.entry.event(self.now, &mut self.rng, event);
        self.take(actions);
    }

    fn side(&mut self, server: &ServerId) -> &mut Side {
        &mut self.sides.get_mut(server).expect("the side exists").1
    }

    fn nth_side(&self, n: u8) -> ServerId {
        self.sides.keys().nth(usize::from(n) % self.sides.len()).expect("there are sides").clone()
    }

    fn nth_running(&self, n: u8) -> Option<(ServerId, AttemptId)> {
        self.running.iter().nth(pick(n, self.running.len())?).cloned()
    }

    /// Breaks the connection and makes a new one.
    fn cut(&mut self, server: &ServerId) {
        let (pool, side) = self.sides.get_mut(server).expect("the side exists");
        let (pool, report) = (pool.clone(), side.report(self.now));
        self.entry.set_connected(self.now, &pool, server, false);
        let mut lost = Vec::new();
        self.net.retain(|message| match message {
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

    fn end(&mut self, server: &ServerId, attempt: AttemptId, outcome: Outcome) {
        self.running.remove(&(server.clone(), attempt));
        let now = self.now;
        let actions = self.side(server).finish(now, attempt, outcome);
        self.net.push(Message::Event(EntryEvent::Done(attempt, outcome)));
        self.take_side(server, actions);
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Dispatch(server, dispatch) => {
                let actions = self.side(&server).dispatch(now, &dispatch);
                self.take_side(&server, actions);
            }
            Message::Cancel(server, attempt) => {
                let actions = self.side(&server).cancel(now, attempt);
                self.take_side(&server, actions);
            }
            Message::Ask(server, request, attempt, incarnation) => {
                let standing = self.side(&server).forbid(attempt, incarnation);
                self.net.push(Message::Event(EntryEvent::AttemptStatus(request, Some(standing))));
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
                self.net.push(Message::Event(EntryEvent::Claimed(request, answer)));
            }
            Message::Event(event) => self.event(event),
        }
    }

    fn take(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send { server, dispatch, .. } => {
                    self.net.push(Message::Dispatch(server, dispatch));
                }
                EntryAction::Cancel(server, attempt) => {
                    self.net.push(Message::Cancel(server, attempt));
                }
                EntryAction::Claim { request, key, record, write } => {
                    if record.attempt.request == request {
                        self.keys.insert(record.attempt, key);
                    }
                    self.net.push(Message::Claim(request, key, record, write));
                }
                EntryAction::Forbid { request, server, attempt, incarnation } => {
                    self.net.push(Message::Ask(server, request, attempt, incarnation));
                }
                EntryAction::RecordOutcome { key, record, revision } => {
                    if let Some(found) = self.store.get_mut(&key).filter(|f| f.1 == revision) {
                        self.revision += 1;
                        *found = (record, self.revision);
                    }
                }
                EntryAction::SaveOutput(..) => {}
                EntryAction::ForwardChunk(attempt, index) => {
                    let next = self.emitted.entry(attempt.request).or_default();
                    assert_eq!(index, *next, "chunks of {attempt} are repeated or skipped");
                    *next += 1;
                    let answers = self.answers.get(&attempt.request).copied().unwrap_or(0);
                    assert_eq!(answers, 0, "a chunk follows the final answer");
                }
                EntryAction::Answer(id, _) => *self.answers.entry(id).or_default() += 1,
            }
        }
    }

    fn take_side(&mut self, server: &ServerId, actions: Vec<SideAction>) {
        for action in actions {
            match action {
                SideAction::Start(attempt) => {
                    if let Some(key) = self.keys.get(&attempt) {
                        assert!(self.ran.insert(*key), "{attempt} is a second run of its call");
                    }
                    self.running.insert((server.clone(), attempt));
                }
                SideAction::Refuse(attempt, refusal) => {
                    self.net.push(Message::Event(EntryEvent::Refused(attempt, refusal)));
                }
                SideAction::Abort(attempt) => {
                    self.running.remove(&(server.clone(), attempt));
                }
                SideAction::Drained => {}
            }
        }
    }
}

fn new_side(run: Incarnation) -> Side {
    Side::new(run, SideSettings { slots: 2, queue: 4, ..SideSettings::default() })
}

fn pick(n: u8, len: usize) -> Option<usize> {
    (len > 0).then(|| usize::from(n) % len)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against requests with no answer or two, chunks that are repeated or skipped, counters
    /// that do not return to zero, timers that are stuck, and attempts that start twice.
    #[test]
    fn events_in_any_order(ops in vec(op(), 1..120)) {
        let mut run = Run::new();
        ops.into_iter().for_each(|op| run.step(op));
        run.settle();
    }
}
