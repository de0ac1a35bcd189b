//! An entry's course through a non-idempotent stage.

mod common;

use common::*;
use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{
    Answer, ClaimAnswer, ClaimWrite, Code, Entry, EntryAction, EntryEvent, Execution,
};
use damaskweir_core::prelude::*;
use rstest::rstest;

/// Has another entry's promise refuse the own attempt, and the own promise asked for once more.
fn forbidden_twice(entry: &mut Entry, rng: &mut Rng, now: &mut Time) -> (RequestId, ClaimRecord) {
    let (id, first) = held(entry, rng, "order");
    entry.event(*now, rng, EntryEvent::Refused(first.attempt, Refusal::Forbidden));
    let (_, second, write) = claim(&wait(entry, rng, now));
    assert_eq!(write, ClaimWrite::Create, "the other entry may have replaced the record");
    assert_ne!(second.attempt, first.attempt);
    let actions =
        entry.event(*now, rng, EntryEvent::Claimed(id, ClaimAnswer::Found(first.clone(), 1)));
    assert_eq!(asked(&actions), Some(first.attempt));
    let actions = entry.event(*now, rng, EntryEvent::Stands(id, Some(AttemptStatus::Forbidden)));
    let (_, third, write) = claim(&actions);
    assert_eq!(write, ClaimWrite::Replace(1));
    (id, third)
}

/// A promise that was told twice counted twice and hid the attempt that runs: the caller was told
/// "not run" at the deadline.
#[rstest]
fn promise_counts_once() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, record) = forbidden_twice(&mut entry, &mut rng, &mut now);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Won(2)));
    assert_eq!(sent(&actions).expect("sent").1.attempt, record.attempt);
    let actions = wait(&mut entry, &mut rng, &mut now);
    assert_eq!(failure(&actions), Some((Code::OutcomeUnknown, Execution::Unknown)));
}

/// Guards against counting an own record that turned up again as another request's: a call that
/// nobody ran would be reported as unknown.
#[rstest]
fn own_promised_attempt_is_not_run() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, _) = forbidden_twice(&mut entry, &mut rng, &mut now);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Down));
    assert_eq!(failure(&actions), Some((Code::StoreDown, Execution::NotRun)));
}

/// The refusal of a copy was taken for the end of the attempt, which runs: the caller was told "not
/// run" when the store went down.
#[rstest]
fn refused_copy_is_no_promise() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, record) = held(&mut entry, &mut rng, "order");
    let copy = EntryEvent::Refused(record.attempt, Refusal::Duplicate);
    assert_eq!(entry.event(Time(1), &mut rng, copy), []);
    let done = EntryEvent::Done(record.attempt, Outcome::Finished);
    let actions = entry.event(Time(2), &mut rng, done);
    assert_eq!(actions.last(), Some(&EntryAction::Answer(id, Answer::Complete(record.attempt))));
}

/// A new run of the side promises nothing for the old one, which may have run another copy: "not
/// run" was told when the store went down afterwards.
#[rstest]
fn stale_refusal_is_no_promise() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, record) = held(&mut entry, &mut rng, "order");
    entry.event(now, &mut rng, EntryEvent::Refused(record.attempt, Refusal::Stale));
    wait(&mut entry, &mut rng, &mut now);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Down));
    assert_eq!(failure(&actions), Some((Code::OutcomeUnknown, Execution::Unknown)));
}

/// The claim's server left, or its side restarted, while the store was written to. The attempt was
/// sent there nevertheless: work for a leaving server, or an outcome that stays unknown.
#[rstest]
#[case::leaving(true)]
#[case::restarted(false)]
fn claim_for_a_server_that_left_is_replaced(#[case] leaving: bool) {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let (_, record, _) = claim(&actions);
    if leaving {
        entry.leaving(&"orders".into(), &record.server, true);
    } else {
        entry.report(&"orders".into(), &record.server, report(Incarnation(101), 1));
    }
    let actions = entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Won(4)));
    assert_eq!(sent(&actions), None);
    let (_, next, write) = claim(&actions);
    assert_eq!(write, ClaimWrite::Replace(4));
    assert_ne!(next.attempt, record.attempt);
    assert!((next.server != record.server) == leaving || next.incarnation == Incarnation(101));
}

/// Guards against taking a lost store answer for a lost race.
#[rstest]
fn own_record_is_sent() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let (_, record, _) = claim(&actions);
    let found = ClaimAnswer::Found(record.clone(), 9);
    let actions = entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, found));
    assert_eq!(sent(&actions).expect("sent").1.attempt, record.attempt);
}

/// Guards against sending after the answer was given: the call was reported as not run.
#[rstest]
#[case::won(ClaimAnswer::Won(1))]
#[case::down(ClaimAnswer::Down)]
fn store_answer_after_the_deadline_sends_nothing(#[case] late: ClaimAnswer) {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, _) = entry.call(now, &mut rng, call("order"));
    let actions = wait(&mut entry, &mut rng, &mut now);
    assert_eq!(failure(&actions), Some((Code::DeadlineExceeded, Execution::NotRun)));
    assert_eq!(entry.event(now, &mut rng, EntryEvent::Claimed(id, late)), []);
}

/// An entry that was paused past the deadline handles the store's answer before its timers. It
/// sent the attempt with no time left.
#[rstest]
fn store_answer_after_a_pause_sends_nothing() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, _) = entry.call(Time(0), &mut rng, call("order"));
    let late = Time(0) + Span::from_secs(30);
    let actions = entry.event(late, &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Won(1)));
    assert_eq!(sent(&actions), None);
    assert_eq!(failure(&actions), Some((Code::DeadlineExceeded, Execution::NotRun)));
}

/// The record says that the call finished, but its answer was too large for the store. The entry
/// answered with an output that it did not have.
#[rstest]
fn large_answer_is_fetched_from_the_side() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let ended = ClaimState::Ended { outcome: Outcome::Finished, answer: None };
    let found = foreign(&claim(&actions).1, ended);
    let answer = ClaimAnswer::Found(found.clone(), 3);
    let actions = entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, answer));
    assert_eq!(asked(&actions), Some(found.attempt));
    let stands = EntryEvent::Stands(id, Some(AttemptStatus::Ended(Outcome::Finished)));
    let actions = entry.event(Time(2), &mut rng, stands);
    assert_eq!(actions, [EntryAction::Answer(id, Answer::Complete(found.attempt))]);
}

/// Guards against a second run of a call that is recorded as finished when its side has forgotten
/// it or is gone.
#[rstest]
#[case::forgotten(AttemptStatus::Forbidden)]
#[case::gone(AttemptStatus::Gone)]
fn finished_call_is_never_replaced(#[case] standing: AttemptStatus) {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let ended = ClaimState::Ended { outcome: Outcome::Finished, answer: None };
    let found = foreign(&claim(&actions).1, ended);
    entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Found(found, 3)));
    let actions = entry.event(Time(2), &mut rng, EntryEvent::Stands(id, Some(standing)));
    assert_eq!(failure(&actions), Some((Code::StageFailed, Execution::Ran)));
}

/// The asked side could not be reached, and the entry asked it until the deadline while another
/// entry had recorded the answer in the store.
#[rstest]
fn unreachable_side_leads_back_to_the_store() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, actions) = entry.call(now, &mut rng, call("order"));
    let found = foreign(&claim(&actions).1, ClaimState::Claimed);
    let answer = ClaimAnswer::Found(found.clone(), 3);
    entry.event(now, &mut rng, EntryEvent::Claimed(id, answer));
    assert_eq!(entry.event(now, &mut rng, EntryEvent::Stands(id, None)), []);
    let (_, _, write) = claim(&wait(&mut entry, &mut rng, &mut now));
    assert_eq!(write, ClaimWrite::Create);
    let outcome = Outcome::Finished;
    let state = ClaimState::Ended { outcome, answer: Some(b"ok".to_vec().into()) };
    let answer = ClaimAnswer::Found(ClaimRecord { state, ..found.clone() }, 4);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, answer));
    let kept = EntryAction::Keep(found.attempt, b"ok".to_vec().into());
    let complete = EntryAction::Answer(id, Answer::Complete(found.attempt));
    assert_eq!(actions, [kept, complete]);
}

/// Guards against "not run" while another request's attempt under the same key may run.
#[rstest]
fn store_down_beside_a_foreign_attempt_is_unknown() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, actions) = entry.call(now, &mut rng, call("order"));
    let found = foreign(&claim(&actions).1, ClaimState::Claimed);
    entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Found(found, 3)));
    entry.event(now, &mut rng, EntryEvent::Stands(id, None));
    wait(&mut entry, &mut rng, &mut now);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Down));
    assert_eq!(failure(&actions), Some((Code::OutcomeUnknown, Execution::Unknown)));
}

/// Another entry recorded the answer while this one found the side gone. The caller was told
/// "outcome unknown" although the answer was in hand.
#[rstest]
fn answer_found_while_marking_is_given() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let found = foreign(&claim(&actions).1, ClaimState::Claimed);
    let answer = ClaimAnswer::Found(found.clone(), 3);
    entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, answer));
    let actions = entry.event(Time(2), &mut rng, EntryEvent::Stands(id, Some(AttemptStatus::Gone)));
    let (_, record, write) = claim(&actions);
    assert_eq!((record.state, write), (ClaimState::Unknown, ClaimWrite::Replace(3)));
    let outcome = Outcome::Finished;
    let state = ClaimState::Ended { outcome, answer: Some(b"ok".to_vec().into()) };
    let answer = ClaimAnswer::Found(ClaimRecord { state, ..found.clone() }, 4);
    let actions = entry.event(Time(3), &mut rng, EntryEvent::Claimed(id, answer));
    assert_eq!(actions.last(), Some(&EntryAction::Answer(id, Answer::Complete(found.attempt))));
}

/// Guards against running a call whose side is gone: it may have run.
#[rstest]
#[case::marked(ClaimAnswer::Won(4))]
#[case::store_down(ClaimAnswer::Down)]
fn gone_side_leaves_the_outcome_unknown(#[case] marked: ClaimAnswer) {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, record) = held(&mut entry, &mut rng, "order");
    let actions = entry.event(Time(1), &mut rng, EntryEvent::Lost(record.attempt));
    assert_eq!(asked(&actions), Some(record.attempt));
    let gone = EntryEvent::Stands(id, Some(AttemptStatus::Gone));
    assert_eq!(claim(&entry.event(Time(2), &mut rng, gone)).1.state, ClaimState::Unknown);
    let actions = entry.event(Time(3), &mut rng, EntryEvent::Claimed(id, marked));
    assert_eq!(failure(&actions), Some((Code::OutcomeUnknown, Execution::Unknown)));
}

/// A backend server that broke off may or may not have run the call; it was reported as run.
#[rstest]
fn interrupted_work_is_unknown() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let mut actions = entry.call(now, &mut rng, call("read")).1;
    while answer(&actions).is_none() {
        if let Some((_, dispatch)) = sent(&actions) {
            let outcome = Outcome::Failed(Failure::Interrupted);
            let done = EntryEvent::Done(dispatch.attempt, outcome);
            actions = entry.event(now, &mut rng, done);
        } else {
            actions = wait(&mut entry, &mut rng, &mut now);
        }
    }
    assert_eq!(failure(&actions).map(|(_, execution)| execution), Some(Execution::Unknown));
}

/// Guards against a request that is stuck when a claim can't be placed, and against an attempt
/// number that wraps: it overflowed after 65,536 attempts and named an attempt that may have run.
#[rstest]
fn attempt_numbers_do_not_wrap() {
    let mut config = bundle(2);
    let pipeline = config.pipelines.get_mut(&PipelineId::from("order")).expect("pipeline");
    pipeline.deadline = Span::from_secs(1_000_000);
    let (mut entry, mut rng, mut now) = (entry_of(7, &config), rng(1), Time(0));
    let (id, mut actions) = entry.call(now, &mut rng, call("order"));
    let mut last = None;
    while answer(&actions).is_none() {
        let next = if let Some((_, dispatch)) = sent(&actions) {
            assert!(last < Some(dispatch.attempt), "{last:?} then {}", dispatch.attempt);
            last = Some(dispatch.attempt);
            let retry = Span::ZERO;
            let event = EntryEvent::Refused(dispatch.attempt, Refusal::Overloaded { retry });
            entry.event(now, &mut rng, event)
        } else if actions.iter().any(|action| matches!(action, EntryAction::Claim { .. })) {
            entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimAnswer::Won(1)))
        } else {
            wait(&mut entry, &mut rng, &mut now)
        };
        actions = next;
    }
    assert_eq!(failure(&actions).map(|(_, execution)| execution), Some(Execution::NotRun));
}

/// A request runs entirely under one bundle. One whose pool the next bundle removes was refused at
/// its second stage.
#[rstest]
fn request_keeps_the_pools_of_its_bundle() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (_, actions) = entry.call(Time(0), &mut rng, call("mixed"));
    let first = sent(&actions).expect("sent").1.attempt;
    let mut next = bundle(2);
    next.version = Version(2);
    next.pools.remove(&PoolId::from("orders"));
    next.pipelines.retain(|id, _| id.as_str() == "read");
    entry.configure(next.into());
    let done = EntryEvent::Done(first, Outcome::Finished);
    let actions = entry.event(Time(1), &mut rng, done);
    claim(&actions);
}
