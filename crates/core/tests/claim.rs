//! Rules for records of non-idempotent calls.

mod common;

use common::*;
use damaskweir_core::claim::{ClaimRecord, ClaimState, ClaimStep, judge, resolve};
use damaskweir_core::prelude::*;
use rstest::rstest;

fn record(serial: u64, body: u8, state: ClaimState) -> ClaimRecord {
    ClaimRecord {
        body: Digest([body; 32]),
        attempt: attempt(serial, 0),
        server: "orders-0".into(),
        incarnation: RUN,
        state,
    }
}

const DONE: ClaimState = ClaimState::Ended { outcome: Outcome::Finished, answer: None };

/// Guards against sending an attempt over a record that is not its own, and against giving one
/// caller's answer to another body.
#[rstest]
#[case::own(record(1, 1, ClaimState::Claimed), ClaimStep::Dispatch)]
#[case::other(record(2, 1, ClaimState::Claimed), ClaimStep::Ask)]
#[case::ended(record(2, 1, DONE), ClaimStep::Answer(Outcome::Finished, None))]
#[case::unknown(record(2, 1, ClaimState::Unknown), ClaimStep::Unknown)]
#[case::own_unknown(record(1, 1, ClaimState::Unknown), ClaimStep::Unknown)]
#[case::other_body(record(2, 2, ClaimState::Claimed), ClaimStep::KeyReused)]
#[case::other_body_ended(record(2, 2, DONE), ClaimStep::KeyReused)]
fn record_is_followed(#[case] found: ClaimRecord, #[case] step: ClaimStep) {
    assert_eq!(resolve(&record(1, 1, ClaimState::Claimed), &found), step);
}

/// Guards against replacing a record on anything but a promise.
#[rstest]
#[case::promise(Some(AttemptStatus::Forbidden), ClaimStep::Replace)]
#[case::runs(Some(AttemptStatus::Running), ClaimStep::Wait)]
#[case::ended(
    Some(AttemptStatus::Ended(Outcome::Finished)),
    ClaimStep::Answer(Outcome::Finished, None)
)]
#[case::gone(Some(AttemptStatus::Gone), ClaimStep::MarkUnknown)]
#[case::unreachable(None, ClaimStep::Unknown)]
fn standing_is_judged(#[case] standing: Option<AttemptStatus>, #[case] step: ClaimStep) {
    assert_eq!(judge(standing), step);
}

/// Guards against one key covering two stages: the second would get the answer of the first.
#[rstest]
fn stages_have_claims_of_their_own() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, first) = entry.call(Time(0), &mut rng, call("twice"));
    let (first_key, record, _) = claim(&first);
    let won = damaskweir_core::entry::ClaimAnswer::Won(1);
    entry.event(Time(0), &mut rng, damaskweir_core::entry::EntryEvent::Claimed(id, won));
    let done = damaskweir_core::entry::EntryEvent::Done(record.attempt, Outcome::Finished);
    let second = entry.event(Time(1), &mut rng, done);
    assert_ne!(claim(&second).0, first_key);
}

/// A key that returns after a bundle put a stage in front must find its claim. With the position in
/// the key it ran a second time.
#[rstest]
fn key_survives_a_moved_stage() {
    let mut rng = rng(1);
    let mut config = bundle(2);
    let (_, actions) = entry_of(7, &config).call(Time(0), &mut rng, call("order"));
    let before = claim(&actions).0;

    let mixed = config.pipelines[&PipelineId::from("mixed")].clone();
    config.pipelines.insert("order".into(), mixed);
    let mut entry = entry_of(8, &config);
    let (_, actions) = entry.call(Time(0), &mut rng, call("order"));
    let first = sent(&actions).expect("the first stage is idempotent").1.attempt;
    let done = damaskweir_core::entry::EntryEvent::Done(first, Outcome::Finished);
    let actions = entry.event(Time(1), &mut rng, done);
    assert_eq!(claim(&actions).0, before);
}

/// Guards against answering a key with the outcome of another pipeline's call.
#[rstest]
fn key_of_another_pipeline_is_refused() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (_, order) = entry.call(Time(0), &mut rng, call("order"));
    let (_, reorder) = entry.call(Time(0), &mut rng, call("reorder"));
    let (order, reorder) = (claim(&order), claim(&reorder));
    assert_eq!(order.0, reorder.0, "the same stage name and key meet in one record");
    assert_eq!(resolve(&reorder.1, &order.1), ClaimStep::KeyReused);
}
