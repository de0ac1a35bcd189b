//! Execution of non-idempotent stages in an entry.

mod common;

use common::*;
use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{
    Answer, ClaimResult, ClaimWrite, Entry, EntryAction, EntryEvent, ErrorCode, Execution,
};
use damaskweir_core::prelude::*;
use rstest::rstest;

/// Has the claimed attempt refused as forbidden by another entry, then confirmed as forbidden a
/// second time when this entry asks the sidecar itself. Returns the record of the third attempt.
fn replace_after_repeated_promise(
    entry: &mut Entry,
    rng: &mut Rng,
    now: &mut Time,
) -> (RequestId, ClaimRecord) {
    let (id, first) = call_with_claim(entry, rng, "order");
    entry.event(*now, rng, EntryEvent::Refused(first.attempt, Refusal::Forbidden));
    let (_, second, write) = claim(&run_timers(entry, rng, now));
    assert_eq!(write, ClaimWrite::Create, "another entry may have replaced the record");
    assert_ne!(second.attempt, first.attempt);
    let actions =
        entry.event(*now, rng, EntryEvent::Claimed(id, ClaimResult::Conflict(first.clone(), 1)));
    assert_eq!(queried(&actions), Some(first.attempt));
    let actions =
        entry.event(*now, rng, EntryEvent::AttemptStatus(id, Some(AttemptStatus::Forbidden)));
    let (_, third, write) = claim(&actions);
    assert_eq!(write, ClaimWrite::Replace(1));
    (id, third)
}

/// Guards against reporting `not_run` at the deadline while an attempt runs. A guarantee for the
/// first attempt that arrived twice was counted twice, which cancelled out the attempt in progress.
#[rstest]
fn repeated_promise_is_counted_once() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, record) = replace_after_repeated_promise(&mut entry, &mut rng, &mut now);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimResult::Written(2)));
    assert_eq!(sent_dispatch(&actions).expect("an attempt is sent").1.attempt, record.attempt);
    let actions = run_timers(&mut entry, &mut rng, &mut now);
    assert_eq!(failure(&actions), Some((ErrorCode::OutcomeUnknown, Execution::Unknown)));
}

/// Guards against treating the request's own earlier record as another request's: a call that never
/// ran would be reported as unknown.
#[rstest]
fn own_forbidden_attempt_is_not_run() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, _) = replace_after_repeated_promise(&mut entry, &mut rng, &mut now);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimResult::Unavailable));
    assert_eq!(failure(&actions), Some((ErrorCode::StoreDown, Execution::NotRun)));
}

/// Guards against reporting `not_run` for a running attempt when the store goes down. The refusal
/// of a duplicate message was taken for the refusal of the attempt.
#[rstest]
fn duplicate_refusal_keeps_the_attempt() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, record) = call_with_claim(&mut entry, &mut rng, "order");
    let copy = EntryEvent::Refused(record.attempt, Refusal::Duplicate);
    assert_eq!(entry.event(Time(1), &mut rng, copy), []);
    let done = EntryEvent::Done(record.attempt, Outcome::Finished);
    let actions = entry.event(Time(2), &mut rng, done);
    assert_eq!(actions.last(), Some(&EntryAction::Answer(id, Answer::Complete(record.attempt))));
}

/// Guards against reporting `not_run` after a `Stale` refusal when the store then goes down. The
/// new incarnation can't rule out that the old one ran another copy of the message.
#[rstest]
fn stale_refusal_leaves_the_outcome_unknown() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, record) = call_with_claim(&mut entry, &mut rng, "order");
    entry.event(now, &mut rng, EntryEvent::Refused(record.attempt, Refusal::Stale));
    run_timers(&mut entry, &mut rng, &mut now);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimResult::Unavailable));
    assert_eq!(failure(&actions), Some((ErrorCode::OutcomeUnknown, Execution::Unknown)));
}

/// Guards against sending an attempt to a server that left, or whose sidecar restarted, during the
/// claim write. A leaving server got new work, or the outcome stayed unknown.
#[rstest]
#[case::leaving(true)]
#[case::restarted(false)]
fn claim_for_a_server_that_left_is_replaced(#[case] leaving: bool) {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let (_, record, _) = claim(&actions);
    if leaving {
        entry.set_leaving(&"orders".into(), &record.server, true);
    } else {
        entry.report(&"orders".into(), &record.server, report(Incarnation(101), 1));
    }
    let actions = entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, ClaimResult::Written(4)));
    assert_eq!(sent_dispatch(&actions), None);
    let (_, next, write) = claim(&actions);
    assert_eq!(write, ClaimWrite::Replace(4));
    assert_ne!(next.attempt, record.attempt);
    assert!((next.server != record.server) == leaving || next.incarnation == Incarnation(101));
}

/// Guards against treating the request's own record as a conflict: it is found when the answer to
/// the first write was lost.
#[rstest]
fn own_record_is_sent() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let (_, record, _) = claim(&actions);
    let found = ClaimResult::Conflict(record.clone(), 9);
    let actions = entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, found));
    assert_eq!(sent_dispatch(&actions).expect("an attempt is sent").1.attempt, record.attempt);
}

/// Guards against sending an attempt after the request was answered with `not_run`.
#[rstest]
#[case::won(ClaimResult::Written(1))]
#[case::down(ClaimResult::Unavailable)]
fn claim_result_after_the_deadline_sends_nothing(#[case] late: ClaimResult) {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, _) = entry.call(now, &mut rng, call("order"));
    let actions = run_timers(&mut entry, &mut rng, &mut now);
    assert_eq!(failure(&actions), Some((ErrorCode::DeadlineExceeded, Execution::NotRun)));
    assert_eq!(entry.event(now, &mut rng, EntryEvent::Claimed(id, late)), []);
}

/// Guards against sending an attempt with no time left. A process that was paused past the deadline
/// handles the claim result before its timers.
#[rstest]
fn claim_result_after_a_process_pause_sends_nothing() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, _) = entry.call(Time(0), &mut rng, call("order"));
    let late = Time(0) + Span::from_secs(30);
    let actions = entry.event(late, &mut rng, EntryEvent::Claimed(id, ClaimResult::Written(1)));
    assert_eq!(sent_dispatch(&actions), None);
    assert_eq!(failure(&actions), Some((ErrorCode::DeadlineExceeded, Execution::NotRun)));
}

/// Guards against answering with an output that the entry does not have: the record says that the
/// call finished, but its answer was too large for the store.
#[rstest]
fn large_answer_is_fetched_from_the_side() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let ended = ClaimState::Ended { outcome: Outcome::Finished, answer: None };
    let found = competing_record(&claim(&actions).1, ended);
    let answer = ClaimResult::Conflict(found.clone(), 3);
    let actions = entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, answer));
    assert_eq!(queried(&actions), Some(found.attempt));
    let stands = EntryEvent::AttemptStatus(id, Some(AttemptStatus::Ended(Outcome::Finished)));
    let actions = entry.event(Time(2), &mut rng, stands);
    assert_eq!(actions, [EntryAction::Answer(id, Answer::Complete(found.attempt))]);
}

/// Guards against a second run of a call that is recorded as finished, when its sidecar has forgotten
/// the attempt or is gone.
#[rstest]
#[case::forgotten(AttemptStatus::Forbidden)]
#[case::gone(AttemptStatus::Gone)]
fn finished_call_is_never_replaced(#[case] status: AttemptStatus) {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let ended = ClaimState::Ended { outcome: Outcome::Finished, answer: None };
    let found = competing_record(&claim(&actions).1, ended);
    entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, ClaimResult::Conflict(found, 3)));
    let actions = entry.event(Time(2), &mut rng, EntryEvent::AttemptStatus(id, Some(status)));
    assert_eq!(failure(&actions), Some((ErrorCode::StageFailed, Execution::Ran)));
}

/// Guards against asking an unreachable sidecar until the deadline although another entry has recorded
/// the answer in the store.
#[rstest]
fn unreachable_side_causes_another_store_read() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, actions) = entry.call(now, &mut rng, call("order"));
    let found = competing_record(&claim(&actions).1, ClaimState::Claimed);
    let answer = ClaimResult::Conflict(found.clone(), 3);
    entry.event(now, &mut rng, EntryEvent::Claimed(id, answer));
    assert_eq!(entry.event(now, &mut rng, EntryEvent::AttemptStatus(id, None)), []);
    let (_, _, write) = claim(&run_timers(&mut entry, &mut rng, &mut now));
    assert_eq!(write, ClaimWrite::Create);
    let outcome = Outcome::Finished;
    let state = ClaimState::Ended { outcome, answer: Some(b"ok".to_vec().into()) };
    let answer = ClaimResult::Conflict(ClaimRecord { state, ..found.clone() }, 4);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, answer));
    let save = EntryAction::SaveOutput(found.attempt, b"ok".to_vec().into());
    let complete = EntryAction::Answer(id, Answer::Complete(found.attempt));
    assert_eq!(actions, [save, complete]);
}

/// Guards against reporting `not_run` while another request's attempt under the same key may run.
#[rstest]
fn store_down_during_another_attempt_is_unknown() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let (id, actions) = entry.call(now, &mut rng, call("order"));
    let found = competing_record(&claim(&actions).1, ClaimState::Claimed);
    entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimResult::Conflict(found, 3)));
    entry.event(now, &mut rng, EntryEvent::AttemptStatus(id, None));
    run_timers(&mut entry, &mut rng, &mut now);
    let actions = entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimResult::Unavailable));
    assert_eq!(failure(&actions), Some((ErrorCode::OutcomeUnknown, Execution::Unknown)));
}

/// Guards against reporting `outcome_unknown` when the answer is available: another entry recorded
/// it while this one found the sidecar gone.
#[rstest]
fn answer_recorded_during_mark_unknown_is_returned() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, actions) = entry.call(Time(0), &mut rng, call("order"));
    let found = competing_record(&claim(&actions).1, ClaimState::Claimed);
    let answer = ClaimResult::Conflict(found.clone(), 3);
    entry.event(Time(1), &mut rng, EntryEvent::Claimed(id, answer));
    let actions =
        entry.event(Time(2), &mut rng, EntryEvent::AttemptStatus(id, Some(AttemptStatus::Gone)));
    let (_, record, write) = claim(&actions);
    assert_eq!((record.state, write), (ClaimState::Unknown, ClaimWrite::Replace(3)));
    let outcome = Outcome::Finished;
    let state = ClaimState::Ended { outcome, answer: Some(b"ok".to_vec().into()) };
    let answer = ClaimResult::Conflict(ClaimRecord { state, ..found.clone() }, 4);
    let actions = entry.event(Time(3), &mut rng, EntryEvent::Claimed(id, answer));
    assert_eq!(actions.last(), Some(&EntryAction::Answer(id, Answer::Complete(found.attempt))));
}

/// Guards against running a call again when its sidecar is gone, since it may have run.
#[rstest]
#[case::marked(ClaimResult::Written(4))]
#[case::store_down(ClaimResult::Unavailable)]
fn gone_side_leaves_the_outcome_unknown(#[case] marked: ClaimResult) {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (id, record) = call_with_claim(&mut entry, &mut rng, "order");
    let actions = entry.event(Time(1), &mut rng, EntryEvent::ConnectionLost(record.attempt));
    assert_eq!(queried(&actions), Some(record.attempt));
    let gone = EntryEvent::AttemptStatus(id, Some(AttemptStatus::Gone));
    assert_eq!(claim(&entry.event(Time(2), &mut rng, gone)).1.state, ClaimState::Unknown);
    let actions = entry.event(Time(3), &mut rng, EntryEvent::Claimed(id, marked));
    assert_eq!(failure(&actions), Some((ErrorCode::OutcomeUnknown, Execution::Unknown)));
}

/// Guards against reporting interrupted work as run: the backend server may or may not have run it.
#[rstest]
fn interrupted_work_is_unknown() {
    let (mut entry, mut rng, mut now) = (entry(), rng(1), Time(0));
    let mut actions = entry.call(now, &mut rng, call("read")).1;
    while answer(&actions).is_none() {
        if let Some((_, dispatch)) = sent_dispatch(&actions) {
            let outcome = Outcome::Failed(Failure::Interrupted);
            let done = EntryEvent::Done(dispatch.attempt, outcome);
            actions = entry.event(now, &mut rng, done);
        } else {
            actions = run_timers(&mut entry, &mut rng, &mut now);
        }
    }
    assert_eq!(failure(&actions).map(|(_, execution)| execution), Some(Execution::Unknown));
}

/// Guards against a request that hangs when no claim can be written, and against reusing the id of
/// an attempt that may have run: attempt numbers overflowed after 65,536 attempts.
#[rstest]
fn attempt_numbers_do_not_wrap() {
    let mut config = bundle(2);
    let pipeline =
        config.pipelines.get_mut(&PipelineId::from("order")).expect("the bundle has the pipeline");
    pipeline.deadline = Span::from_secs(1_000_000);
    let (mut entry, mut rng, mut now) = (entry_of(7, &config), rng(1), Time(0));
    let (id, mut actions) = entry.call(now, &mut rng, call("order"));
    let mut last = None;
    while answer(&actions).is_none() {
        let next = if let Some((_, dispatch)) = sent_dispatch(&actions) {
            assert!(last < Some(dispatch.attempt), "{last:?} then {}", dispatch.attempt);
            last = Some(dispatch.attempt);
            let retry = Span::ZERO;
            let event = EntryEvent::Refused(dispatch.attempt, Refusal::Overloaded { retry });
            entry.event(now, &mut rng, event)
        } else if actions.iter().any(|action| matches!(action, EntryAction::Claim { .. })) {
            entry.event(now, &mut rng, EntryEvent::Claimed(id, ClaimResult::Written(1)))
        } else {
            run_timers(&mut entry, &mut rng, &mut now)
        };
        actions = next;
    }
    assert_eq!(failure(&actions).map(|(_, execution)| execution), Some(Execution::NotRun));
}

/// Guards against failing a request at its second stage because a new bundle removed the pool. A
/// request runs entirely under the bundle it started with.
#[rstest]
fn request_keeps_the_pools_of_its_bundle() {
    let (mut entry, mut rng) = (entry(), rng(1));
    let (_, actions) = entry.call(Time(0), &mut rng, call("mixed"));
    let first = sent_dispatch(&actions).expect("an attempt is sent").1.attempt;
    let mut next = bundle(2);
    next.version = Version(2);
    next.pools.remove(&PoolId::from("orders"));
    next.pipelines.retain(|id, _| id.as_str() == "read");
    entry.configure(next.into());
    let done = EntryEvent::Done(first, Outcome::Finished);
    let actions = entry.event(Time(1), &mut rng, done);
    claim(&actions);
}
