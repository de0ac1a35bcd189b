//! Decisions on claim records of non-idempotent calls.

mod common;

use common::*;
use damaskweir_core::claim::{
    ClaimDecision, ClaimRecord, ClaimState, decide_from_record, decide_from_status,
};
use damaskweir_core::prelude::*;
use rstest::rstest;

fn record(serial: u64, body: u8, state: ClaimState) -> ClaimRecord {
    ClaimRecord {
        body: Digest([body; 32]),
        attempt: attempt(serial, 0),
        server: "orders-0".into(),
        incarnation: INITIAL_INCARNATION,
        state,
    }
}

const DONE: ClaimState = ClaimState::Ended { outcome: Outcome::Finished, answer: None };

/// Guards against sending an attempt when the record belongs to another one, and against returning
/// a recorded answer for a different body.
#[rstest]
#[case::own(record(1, 1, ClaimState::Claimed), ClaimDecision::Dispatch)]
#[case::other(record(2, 1, ClaimState::Claimed), ClaimDecision::Forbid)]
#[case::ended(record(2, 1, DONE), ClaimDecision::Answer(Outcome::Finished, None))]
#[case::unknown(record(2, 1, ClaimState::Unknown), ClaimDecision::Unknown)]
#[case::own_unknown(record(1, 1, ClaimState::Unknown), ClaimDecision::Unknown)]
#[case::other_body(record(2, 2, ClaimState::Claimed), ClaimDecision::KeyReused)]
#[case::other_body_ended(record(2, 2, DONE), ClaimDecision::KeyReused)]
fn record_determines_the_decision(#[case] found: ClaimRecord, #[case] decision: ClaimDecision) {
    assert_eq!(decide_from_record(&record(1, 1, ClaimState::Claimed), &found), decision);
}

/// Guards against replacing a record without the sidecar's guarantee that its attempt never starts.
#[rstest]
#[case::promise(Some(AttemptStatus::Forbidden), ClaimDecision::Replace)]
#[case::runs(Some(AttemptStatus::Running), ClaimDecision::Wait)]
#[case::ended(
    Some(AttemptStatus::Ended(Outcome::Finished)),
    ClaimDecision::Answer(Outcome::Finished, None)
)]
#[case::gone(Some(AttemptStatus::Gone), ClaimDecision::MarkUnknown)]
#[case::unreachable(None, ClaimDecision::Unknown)]
fn status_determines_the_decision(
    #[case] status: Option<AttemptStatus>,
    #[case] decision: ClaimDecision,
) {
    assert_eq!(decide_from_status(status), decision);
}

/// Guards against two stages sharing a claim: the second would get the answer of the first.
#[rstest]
fn each_stage_has_its_own_claim_key() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, first) = entry.call(Time(0), &mut rng, call("twice"));
    let (first_key, record, _) = claim(&first);
    let won = damaskweir_core::entry::ClaimResult::Written(1);
    entry.event(Time(0), &mut rng, damaskweir_core::entry::EntryEvent::Claimed(id, won));
    let done = damaskweir_core::entry::EntryEvent::Done(record.attempt, Outcome::Finished);
    let second = entry.event(Time(1), &mut rng, done);
    assert_ne!(claim(&second).0, first_key);
}

/// Guards against a second run when a key is reused after a new bundle inserted an earlier stage.
/// It came from including the stage's position in the claim key.
#[rstest]
fn claim_key_does_not_depend_on_stage_position() {
    let mut rng = rng(1);
    let mut config = bundle(2);
    let (_, actions) = entry_of(7, &config).call(Time(0), &mut rng, call("order"));
    let before = claim(&actions).0;

    let mixed = config.pipelines[&PipelineId::from("mixed")].clone();
    config.pipelines.insert("order".into(), mixed);
    let mut entry = entry_of(8, &config);
    let (_, actions) = entry.call(Time(0), &mut rng, call("order"));
    let first = sent_dispatch(&actions).expect("the first stage is idempotent").1.attempt;
    let done = damaskweir_core::entry::EntryEvent::Done(first, Outcome::Finished);
    let actions = entry.event(Time(1), &mut rng, done);
    assert_eq!(claim(&actions).0, before);
}

/// Guards against answering a request with the outcome of another pipeline's call under the same
/// key.
#[rstest]
fn key_of_another_pipeline_is_refused() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (_, order) = entry.call(Time(0), &mut rng, call("order"));
    let (_, reorder) = entry.call(Time(0), &mut rng, call("reorder"));
    let (order, reorder) = (claim(&order), claim(&reorder));
    assert_eq!(order.0, reorder.0, "the same stage name and key must share one record");
    assert_eq!(decide_from_record(&reorder.1, &order.1), ClaimDecision::KeyReused);
}
