//! Shared fixtures: a small deployment, and helpers that inspect an entry's actions.
#![allow(dead_code, reason = "no test file uses every helper")]
#![allow(clippy::expect_used, clippy::panic, reason = "clippy exempts only test functions")]

use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{
    Answer, Call, ClaimResult, ClaimWrite, Entry, EntryAction, EntryEvent, EntrySettings,
    ErrorCode, Execution,
};
use damaskweir_core::prelude::*;
use rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Incarnation of every sidecar at the start of a test.
pub(crate) const INITIAL_INCARNATION: Incarnation = Incarnation(100);

pub(crate) fn rng(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

pub(crate) fn attempt(serial: u64, number: u16) -> AttemptId {
    AttemptId { request: RequestId { entry: Incarnation(7), serial }, stage: 0, number }
}

pub(crate) fn dispatch(attempt: AttemptId, effect: Effect) -> Dispatch {
    Dispatch {
        attempt,
        version: Version(1),
        workspace: WorkspaceId::from("kollam"),
        share: 1,
        remaining: Span::from_secs(3),
        estimate: Span::from_millis(40),
        effect,
        resume: 0,
        incarnation: (effect == Effect::Once).then_some(INITIAL_INCARNATION),
    }
}

fn stage(name: &str, pool: &str, effect: Effect) -> Stage {
    Stage {
        name: name.into(),
        pool: pool.into(),
        effect,
        path: "/v1/run".into(),
        expected: Span::from_millis(20),
    }
}

/// A bundle with the pipelines `read` (idempotent), `order` and `reorder` (non-idempotent), `twice`
/// (two non-idempotent stages) and `mixed` (idempotent, then non-idempotent).
pub(crate) fn bundle(servers: u16) -> Bundle {
    let pool = |name: &str, port: u16| Pool {
        kind: PoolKind::Service,
        servers: (0..servers)
            .map(|i| BackendServer {
                id: format!("{name}-{i}").as_str().into(),
                zone: "kerala-south-1".into(),
                side: ([127, 0, 0, 1], port + i).into(),
                slots: 2,
            })
            .collect(),
        extra: 200,
        resume: true,
    };
    let pipeline = |stages: Vec<Stage>| Pipeline { deadline: Span::from_secs(3), stages };
    let once = |name: &str| stage(name, "orders", Effect::Once);
    let read = |name: &str| stage(name, "readers", Effect::Idempotent);
    Bundle {
        version: Version(1),
        pools: BTreeMap::from([
            ("orders".into(), pool("orders", 7000)),
            ("readers".into(), pool("readers", 7100)),
        ]),
        pipelines: BTreeMap::from([
            ("read".into(), pipeline(vec![read("read")])),
            ("order".into(), pipeline(vec![once("order")])),
            ("reorder".into(), pipeline(vec![once("order")])),
            ("twice".into(), pipeline(vec![once("order"), once("pay")])),
            ("mixed".into(), pipeline(vec![read("read"), once("order")])),
        ]),
        workspaces: BTreeMap::from([("kollam".into(), Workspace { share: 1, limit: 100 })]),
        operators: BTreeMap::new(),
    }
}

pub(crate) fn report(incarnation: Incarnation, serial: u64) -> Report {
    Report {
        incarnation,
        serial,
        version: Version(1),
        queued: 0,
        running: 0,
        limit: 2,
        wait: Span::ZERO,
        draining: false,
    }
}

/// An entry whose sidecars are all connected and have sent a report.
pub(crate) fn entry_of(incarnation: u64, bundle: &Bundle) -> Entry {
    let settings = EntrySettings { hedging: false, ..EntrySettings::default() };
    let zone = "kerala-south-1".into();
    let mut entry = Entry::new(Incarnation(incarnation), zone, settings, Arc::new(bundle.clone()));
    for (id, pool) in &bundle.pools {
        for server in &pool.servers {
            entry.set_connected(Time(0), id, &server.id, true);
            entry.report(id, &server.id, report(INITIAL_INCARNATION, 1));
        }
    }
    entry
}

pub(crate) fn entry() -> Entry {
    entry_of(7, &bundle(2))
}

pub(crate) fn call(pipeline: &str) -> Call {
    Call {
        pipeline: pipeline.into(),
        workspace: "kollam".into(),
        deadline: None,
        key: Some(Digest([1; 32])),
        body: Digest([2; 32]),
        prefix: None,
        stream: false,
    }
}

/// Returns the key, record and write condition of the claim among the actions.
pub(crate) fn claim(actions: &[EntryAction]) -> (Digest, ClaimRecord, ClaimWrite) {
    actions
        .iter()
        .find_map(|action| match action {
            EntryAction::Claim { key, record, write, .. } => Some((*key, record.clone(), *write)),
            _ => None,
        })
        .unwrap_or_else(|| panic!("no claim in {actions:?}"))
}

/// Returns the dispatch among the actions and the server that it is sent to.
pub(crate) fn sent_dispatch(actions: &[EntryAction]) -> Option<(ServerId, Dispatch)> {
    actions.iter().find_map(|action| match action {
        EntryAction::Send { server, dispatch, .. } => Some((server.clone(), dispatch.clone())),
        _ => None,
    })
}

pub(crate) fn queried(actions: &[EntryAction]) -> Option<AttemptId> {
    actions.iter().find_map(|action| match action {
        EntryAction::Forbid { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

pub(crate) fn answer(actions: &[EntryAction]) -> Option<Answer> {
    actions.iter().find_map(|action| match action {
        EntryAction::Answer(_, answer) => Some(answer.clone()),
        _ => None,
    })
}

pub(crate) fn failure(actions: &[EntryAction]) -> Option<(ErrorCode, Execution)> {
    match answer(actions)? {
        Answer::Error { code, execution, .. } => Some((code, execution)),
        Answer::Complete(_) => None,
    }
}

/// Advances the clock from timer to timer until the entry returns an action.
pub(crate) fn run_timers(entry: &mut Entry, rng: &mut Rng, now: &mut Time) -> Vec<EntryAction> {
    loop {
        *now = entry.next_tick().expect("a request in progress has a timer").max(*now);
        let actions = entry.tick(*now, rng);
        if !actions.is_empty() {
            return actions;
        }
    }
}

/// Starts a call and confirms its claim at revision 1. Returns the request id and the claim record.
pub(crate) fn call_with_claim(
    entry: &mut Entry,
    rng: &mut Rng,
    pipeline: &str,
) -> (RequestId, ClaimRecord) {
    let (id, actions) = entry.call(Time(0), rng, call(pipeline));
    let (_, record, write) = claim(&actions);
    assert_eq!(write, ClaimWrite::Create);
    let actions = entry.event(Time(0), rng, EntryEvent::Claimed(id, ClaimResult::Written(1)));
    assert_eq!(sent_dispatch(&actions).expect("sent").1.attempt, record.attempt);
    (id, record)
}

/// A claim record of another entry's request under the same key as `mine`.
pub(crate) fn competing_record(mine: &ClaimRecord, state: ClaimState) -> ClaimRecord {
    let request = RequestId { entry: Incarnation(8), serial: 1 };
    ClaimRecord { attempt: AttemptId { request, ..mine.attempt }, state, ..mine.clone() }
}
