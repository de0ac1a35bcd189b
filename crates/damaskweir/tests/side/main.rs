//! Failures around a side: the daemon between an entry's connection and the stand-in of a backend
//! server.

mod storm;
mod support;

use damaskweir_core::prelude::*;
use damaskweir_standins::{engine, service};
use damaskweir_wire::AttemptMessage;
use std::time::Duration;
use support::*;

const FINISHED: AttemptMessage = AttemptMessage::Done(Outcome::Finished);
/// Long enough that the work is still running when a test acts, unless the test changes it.
const LONG: Duration = Duration::from_secs(3600);

fn failed(failure: Failure) -> Option<AttemptMessage> {
    Some(AttemptMessage::Done(Outcome::Failed(failure)))
}

/// Guards against lost, doubled or reordered tokens between engine and entry.
#[tokio::test]
async fn engine_answer_passes_through() {
    let engine = engine::Engine::start(4).await.unwrap();
    let rig = Rig::for_engine(&engine, 4).await;
    let entry = rig.connect().await;
    let mut attempt = entry.dispatch(&idempotent(0)).await;
    let (text, last) = rest(&mut attempt).await;
    assert_eq!(last, Some(FINISHED));
    assert_eq!(text, engine::answer("labels", 8));
    assert!(attempt.service_time().is_some());
    assert_eq!(engine.runs().keys.get(&Digest([4; 32]).to_string()), Some(&1));
}

/// Guards against a resumed stream that starts anew.
#[tokio::test]
async fn resumed_attempt_starts_with_the_wanted_chunk() {
    let engine = engine::Engine::start(4).await.unwrap();
    let rig = Rig::for_engine(&engine, 4).await;
    let entry = rig.connect().await;
    let mut attempt = entry.dispatch(&Dispatch { resume: 5, ..idempotent(0) }).await;
    let (text, last) = rest(&mut attempt).await;
    assert_eq!(last, Some(FINISHED));
    assert_eq!(text, (5..8).map(|index| engine::token("labels", index)).collect::<String>());
}

/// Guards against work that goes on, and a slot that stays taken, after the caller went away.
#[tokio::test]
async fn dropped_attempt_is_cancelled_at_the_engine() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set(|behaviour| behaviour.token = LONG);
    let rig = Rig::for_engine(&engine, 1).await;
    let entry = rig.connect().await;
    let attempt = entry.dispatch(&idempotent(0)).await;
    until(|| engine.runs().total() == 1).await;
    drop(attempt);
    until(|| engine.runs().cancelled == 1).await;

    engine.set(|behaviour| behaviour.token = Duration::ZERO);
    let mut next = entry.dispatch(&idempotent(1)).await;
    assert_eq!(rest(&mut next).await.1, Some(FINISHED));
}

/// Guards against a cancel that leaves the entry waiting.
#[tokio::test]
async fn cancelled_attempt_tells_its_end() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set(|behaviour| behaviour.token = LONG);
    let rig = Rig::for_engine(&engine, 1).await;
    let entry = rig.connect().await;
    let mut running = entry.dispatch(&idempotent(0)).await;
    until(|| engine.runs().total() == 1).await;
    let mut waiting = entry.dispatch(&idempotent(1)).await;
    waiting.cancel();
    assert_eq!(rest(&mut waiting).await.1, Some(AttemptMessage::Refused(Refusal::Cancelled)));
    running.cancel();
    assert_eq!(rest(&mut running).await.1, failed(Failure::Aborted));
    assert_eq!(engine.runs().total(), 1);
}

/// Guards against idempotent work of a dead entry that goes on.
#[tokio::test]
async fn lost_entry_cancels_its_idempotent_work() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set(|behaviour| behaviour.token = LONG);
    let rig = Rig::for_engine(&engine, 1).await;
    let entry = rig.connect().await;
    let _attempt = entry.dispatch(&idempotent(0)).await;
    until(|| engine.runs().total() == 1).await;
    entry.dialer.close().await;
    until(|| engine.runs().cancelled == 1).await;
}

/// Guards against the loss of an answer whose entry died, and against a second run.
#[tokio::test]
async fn lost_entry_leaves_non_idempotent_work_and_its_answer() {
    let service = service::Service::start().await.unwrap();
    service.set(|behaviour| behaviour.delay = Duration::from_millis(200));
    let rig = Rig::for_service(&service, 1).await;
    let entry = rig.connect().await;
    let dispatch = rig.once(0);
    let _attempt = entry.dispatch(&dispatch).await;
    until(|| service.runs().total() == 1).await;
    entry.dialer.close().await;

    let other = rig.connect().await;
    let answer = within(async {
        loop {
            match other.link.forbid(dispatch.attempt, rig.incarnation).await.unwrap() {
                (AttemptStatus::Ended(Outcome::Finished), answer) => break answer,
                (standing, _) => assert_eq!(standing, AttemptStatus::Running),
            }
        }
    })
    .await;
    assert!(answer.unwrap().starts_with(b"{"));
    assert_eq!(service.runs().doubled(), Vec::<&str>::new());
    assert_eq!(service.runs().cancelled, 0);
}

/// Guards against "not run" or a second run when the answer is lost after the work was done.
#[tokio::test]
async fn lost_answer_means_unknown_outcome() {
    let service = service::Service::start().await.unwrap();
    service.set(|behaviour| behaviour.lose = true);
    let rig = Rig::for_service(&service, 1).await;
    let entry = rig.connect().await;
    let dispatch = rig.once(0);
    let mut attempt = entry.dispatch(&dispatch).await;
    assert_eq!(rest(&mut attempt).await.1, failed(Failure::Interrupted));

    let standing = within(entry.link.forbid(dispatch.attempt, rig.incarnation)).await.unwrap();
    let interrupted = AttemptStatus::Ended(Outcome::Failed(Failure::Interrupted));
    assert_eq!(standing, (interrupted, None));
    let mut copy = entry.dispatch(&dispatch).await;
    assert_eq!(rest(&mut copy).await.1, Some(AttemptMessage::Refused(Refusal::Duplicate)));
    assert_eq!(service.runs().total(), 1);
}

/// Guards against a dispatch that runs twice when it arrives twice, and against a cancel of the copy
/// that hits the original.
#[tokio::test]
async fn duplicate_dispatch_is_refused_and_harms_nothing() {
    let engine = engine::Engine::start(2).await.unwrap();
    engine.set(|behaviour| behaviour.hold = Some(3));
    let rig = Rig::for_engine(&engine, 2).await;
    let entry = rig.connect().await;
    let mut original = entry.dispatch(&idempotent(0)).await;
    until(|| engine.runs().total() == 1).await;
    let mut copy = entry.dispatch(&idempotent(0)).await;
    assert_eq!(rest(&mut copy).await.1, Some(AttemptMessage::Refused(Refusal::Duplicate)));
    drop(copy);
    drop(entry.dispatch(&idempotent(0)).await);
    // Its end shows that the side has dealt with the drops before.
    let mut other = entry.dispatch(&Dispatch { resume: 4, ..idempotent(1) }).await;
    assert_eq!(rest(&mut other).await.1, Some(FINISHED));
    engine.set(|behaviour| behaviour.hold = None);
    assert_eq!(rest(&mut original).await.1, Some(FINISHED));
    let runs = engine.runs().attempts;
    assert_eq!(runs.get(&idempotent(0).attempt.to_string()), Some(&1));
}

/// Guards against "not run" for an attempt that a late dispatch still starts.
#[tokio::test]
async fn promise_keeps_a_late_dispatch_from_running() {
    let service = service::Service::start().await.unwrap();
    let rig = Rig::for_service(&service, 1).await;
    let entry = rig.connect().await;
    let dispatch = rig.once(0);
    let asked = within(entry.link.forbid(dispatch.attempt, rig.incarnation)).await.unwrap();
    assert_eq!(asked, (AttemptStatus::Forbidden, None));
    let mut late = entry.dispatch(&dispatch).await;
    assert_eq!(rest(&mut late).await.1, Some(AttemptMessage::Refused(Refusal::Forbidden)));
    assert_eq!(service.runs().total(), 0);
}

/// Guards against non-idempotent work that a restarted side takes over blindly.
#[tokio::test]
async fn other_incarnation_is_told_apart() {
    let service = service::Service::start().await.unwrap();
    let rig = Rig::for_service(&service, 1).await;
    let entry = rig.connect().await;
    let earlier = Incarnation(rig.incarnation.0 ^ 1);
    let asked = within(entry.link.forbid(rig.once(0).attempt, earlier)).await.unwrap();
    assert_eq!(asked, (AttemptStatus::Gone, None));
    let stale = Dispatch { incarnation: Some(earlier), ..rig.once(0) };
    let mut stale = entry.dispatch(&stale).await;
    assert_eq!(rest(&mut stale).await.1, Some(AttemptMessage::Refused(Refusal::Stale)));
    assert_eq!(service.runs().total(), 0);
}

/// Guards against a shutdown that cuts off work in flight, loses its answer or takes new work.
#[tokio::test]
async fn drain_finishes_what_runs_and_refuses_the_rest() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set(|behaviour| behaviour.hold = Some(3));
    let rig = Rig::for_engine(&engine, 1).await;
    let entry = rig.connect().await;
    let mut running = entry.dispatch(&idempotent(0)).await;
    until(|| engine.runs().total() == 1).await;
    let mut waiting = entry.dispatch(&idempotent(1)).await;
    assert_eq!(within(waiting.next()).await.unwrap(), Some(AttemptMessage::Accepted));

    let drain = tokio::spawn(rig.daemon.drain());
    entry.wait_until_serving(false).await;
    let handed_back = Some(AttemptMessage::Refused(Refusal::Draining));
    assert_eq!(rest(&mut waiting).await.1, handed_back);
    let mut late = entry.dispatch(&idempotent(2)).await;
    assert_eq!(rest(&mut late).await.1, handed_back);
    engine.set(|behaviour| behaviour.hold = None);
    let (text, last) = rest(&mut running).await;
    assert_eq!(last, Some(FINISHED));
    assert_eq!(text, engine::answer("labels", 8));
    within(drain).await.unwrap();
    within(entry.link.closed()).await;
    assert_eq!(engine.runs().total(), 1);
}

/// Guards against a shutdown that loses an answer which the entry has not taken yet.
#[tokio::test]
async fn drain_waits_until_answers_are_delivered() {
    let service = service::Service::start().await.unwrap();
    let rig = Rig::for_service(&service, 1).await;
    let entry = rig.connect().await;
    // More than the connection takes while nobody reads.
    let input = "x".repeat(4 << 20);
    let body = serde_json::json!({ "input": input }).to_string();
    let mut attempt = entry.dispatch_body(&rig.once(0), body.clone().into()).await;
    until(|| service.runs().finished == 1).await;
    let drain = tokio::spawn(rig.daemon.drain());
    entry.wait_until_serving(false).await;
    let (answer, last) = rest(&mut attempt).await;
    assert_eq!(last, Some(FINISHED));
    assert!(answer.len() > body.len(), "{} bytes", answer.len());
    within(drain).await.unwrap();
}

/// Guards against a shutdown that never ends because of a call that hangs.
#[tokio::test]
async fn drain_ends_at_its_limit() {
    let service = service::Service::start().await.unwrap();
    service.set(|behaviour| behaviour.delay = LONG);
    let limit = Duration::from_millis(50);
    let rig = Rig::start_with(service_backend(&service), |o| o.drain_limit = limit).await;
    let entry = rig.connect().await;
    let mut attempt = entry.dispatch(&rig.once(0)).await;
    until(|| service.runs().total() == 1).await;
    within(rig.daemon.drain()).await;
    assert_eq!(rest(&mut attempt).await.1, None);
}

/// Guards against kept answers that fill the memory, and against forgetting that a call ran together
/// with its answer.
#[tokio::test]
async fn oldest_kept_answer_makes_room() {
    let service = service::Service::start().await.unwrap();
    // Room for one answer, which repeats the body of the call.
    let rig = Rig::start_with(service_backend(&service), |o| o.kept_limit = 1500).await;
    let entry = rig.connect().await;
    let body = serde_json::json!({ "input": "x".repeat(1000) }).to_string();
    for number in 0..2 {
        let mut attempt = entry.dispatch_body(&rig.once(number), body.clone().into()).await;
        assert_eq!(rest(&mut attempt).await.1, Some(FINISHED));
    }
    let ended = AttemptStatus::Ended(Outcome::Finished);
    let first = entry.link.forbid(rig.once(0).attempt, rig.incarnation);
    assert_eq!(within(first).await.unwrap(), (ended, None));
    let second = entry.link.forbid(rig.once(1).attempt, rig.incarnation);
    let (standing, answer) = within(second).await.unwrap();
    assert_eq!(standing, ended);
    assert!(answer.is_some());
    let mut copy = entry.dispatch(&rig.once(0)).await;
    assert_eq!(rest(&mut copy).await.1, Some(AttemptMessage::Refused(Refusal::Duplicate)));
    assert_eq!(service.runs().total(), 2);
}

/// Guards against an attempt that hangs, or looks finished, when its side dies in the middle of it.
#[tokio::test]
async fn killed_side_breaks_its_streams() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set(|behaviour| behaviour.hold = Some(3));
    let rig = Rig::for_engine(&engine, 1).await;
    let entry = rig.connect().await;
    let mut attempt = entry.dispatch(&idempotent(0)).await;
    while !matches!(within(attempt.next()).await.unwrap(), Some(AttemptMessage::Chunk { .. })) {}
    rig.daemon.abort();
    assert_eq!(rest(&mut attempt).await.1, None);
    within(entry.link.closed()).await;
}

/// Guards against a stream that an engine broke being told as a whole answer.
#[tokio::test]
async fn engine_that_dies_interrupts_the_attempt() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set(|behaviour| behaviour.die = Some(3));
    let rig = Rig::for_engine(&engine, 1).await;
    let entry = rig.connect().await;
    let mut attempt = entry.dispatch(&idempotent(0)).await;
    let (text, last) = rest(&mut attempt).await;
    assert_eq!(last, failed(Failure::Interrupted));
    assert!(engine::answer("labels", 8).starts_with(&text));
}

/// Guards against new work for a backend server that fails its health check, and against one that
/// stays out after it came back.
#[tokio::test]
async fn sick_backend_server_gets_no_work_until_it_is_well() {
    let engine = engine::Engine::start(1).await.unwrap();
    let rig = Rig::for_engine(&engine, 1).await;
    let entry = rig.connect().await;
    engine.set(|behaviour| behaviour.sick = true);
    entry.wait_until_serving(false).await;
    let mut refused = entry.dispatch(&idempotent(0)).await;
    assert_eq!(rest(&mut refused).await.1, Some(AttemptMessage::Refused(Refusal::Down)));
    engine.set(|behaviour| behaviour.sick = false);
    entry.wait_until_serving(true).await;
    let mut taken = entry.dispatch(&idempotent(1)).await;
    assert_eq!(rest(&mut taken).await.1, Some(FINISHED));
    assert_eq!(engine.runs().total(), 1);
}

/// Guards against attempts that wait inside the engine, out of reach for order and deadlines.
#[tokio::test]
async fn load_report_of_the_engine_lowers_the_limit() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set(|behaviour| behaviour.hold = Some(0));
    let rig = Rig::for_engine(&engine, 4).await;
    let entry = rig.connect().await;
    let _attempts = [
        entry.dispatch(&idempotent(0)).await,
        entry.dispatch(&idempotent(1)).await,
        entry.dispatch(&idempotent(2)).await,
    ];
    let mut reports = entry.link.reports();
    let lowered = |report: &Option<Report>| report.is_some_and(|report| report.limit < 4);
    within(reports.wait_for(lowered)).await.unwrap();
}

/// Guards against "outcome unknown" for a call that the service refused before it ran, and against a
/// late copy that still runs.
#[tokio::test]
async fn refusal_of_the_service_is_handed_back_as_not_run() {
    let service = service::Service::start().await.unwrap();
    service.set(|behaviour| behaviour.refuse = true);
    let rig = Rig::for_service(&service, 1).await;
    let entry = rig.connect().await;
    let dispatch = rig.once(0);
    let mut attempt = entry.dispatch(&dispatch).await;
    let last = rest(&mut attempt).await.1;
    assert!(matches!(last, Some(AttemptMessage::Refused(Refusal::Overloaded { .. }))), "{last:?}");

    service.set(|behaviour| behaviour.refuse = false);
    let asked = within(entry.link.forbid(dispatch.attempt, rig.incarnation)).await.unwrap();
    assert_eq!(asked, (AttemptStatus::Forbidden, None));
    let mut copy = entry.dispatch(&dispatch).await;
    assert_eq!(rest(&mut copy).await.1, Some(AttemptMessage::Refused(Refusal::Forbidden)));
    assert_eq!(service.runs().total(), 0);
}
