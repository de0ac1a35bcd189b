//! Failure handling of the sidecar daemon, between an entry's connection and a stand-in of the
//! backend server.

mod storm;
mod support;

use damaskweir_core::prelude::*;
use damaskweir_standins::{engine, service};
use damaskweir_wire::AttemptMessage;
use std::time::Duration;
use support::*;

const FINISHED: AttemptMessage = AttemptMessage::Done(Outcome::Finished);
/// Delay that keeps work running until the test cancels it or shortens the delay.
const LONG_DELAY: Duration = Duration::from_secs(3600);

fn failed(failure: Failure) -> Option<AttemptMessage> {
    Some(AttemptMessage::Done(Outcome::Failed(failure)))
}

/// Guards against lost, duplicated or reordered tokens between engine and entry.
#[tokio::test]
async fn engine_answer_is_forwarded() {
    let engine = engine::Engine::start(4).await.unwrap();
    let fixture = Fixture::for_engine(&engine, 4).await;
    let entry = fixture.connect().await;
    let mut attempt = entry.dispatch(&idempotent(0)).await;
    let (text, last) = read_to_end(&mut attempt).await;
    assert_eq!(last, Some(FINISHED));
    assert_eq!(text, engine::completion_text("labels", 8));
    assert!(attempt.service_time().is_some());
    assert_eq!(engine.runs().keys.get(&Digest([4; 32]).to_string()), Some(&1));
}

/// Guards against a resumed stream that starts from the beginning.
#[tokio::test]
async fn resumed_attempt_starts_with_the_requested_chunk() {
    let engine = engine::Engine::start(4).await.unwrap();
    let fixture = Fixture::for_engine(&engine, 4).await;
    let entry = fixture.connect().await;
    let mut attempt = entry.dispatch(&Dispatch { resume: 5, ..idempotent(0) }).await;
    let (text, last) = read_to_end(&mut attempt).await;
    assert_eq!(last, Some(FINISHED));
    assert_eq!(text, (5..8).map(|index| engine::token_text("labels", index)).collect::<String>());
}

/// Guards against work that continues, and a slot that stays occupied, after the entry dropped the
/// attempt.
#[tokio::test]
async fn dropped_attempt_is_cancelled_at_the_engine() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.token_delay = LONG_DELAY);
    let fixture = Fixture::for_engine(&engine, 1).await;
    let entry = fixture.connect().await;
    let attempt = entry.dispatch(&idempotent(0)).await;
    wait_until(|| engine.runs().total() == 1).await;
    drop(attempt);
    wait_until(|| engine.runs().cancelled == 1).await;

    engine.set_behaviour(|behaviour| behaviour.token_delay = Duration::ZERO);
    let mut next = entry.dispatch(&idempotent(1)).await;
    assert_eq!(read_to_end(&mut next).await.1, Some(FINISHED));
}

/// Guards against a cancelled attempt, queued or running, whose outcome is never reported to the
/// entry.
#[tokio::test]
async fn cancelled_attempt_reports_its_outcome() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.token_delay = LONG_DELAY);
    let fixture = Fixture::for_engine(&engine, 1).await;
    let entry = fixture.connect().await;
    let mut running = entry.dispatch(&idempotent(0)).await;
    wait_until(|| engine.runs().total() == 1).await;
    let mut waiting = entry.dispatch(&idempotent(1)).await;
    waiting.cancel();
    assert_eq!(
        read_to_end(&mut waiting).await.1,
        Some(AttemptMessage::Refused(Refusal::Cancelled))
    );
    running.cancel();
    assert_eq!(read_to_end(&mut running).await.1, failed(Failure::Aborted));
    assert_eq!(engine.runs().total(), 1);
}

/// Guards against idempotent work that continues after its entry disconnected.
#[tokio::test]
async fn disconnected_entry_cancels_its_idempotent_work() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.token_delay = LONG_DELAY);
    let fixture = Fixture::for_engine(&engine, 1).await;
    let entry = fixture.connect().await;
    let _attempt = entry.dispatch(&idempotent(0)).await;
    wait_until(|| engine.runs().total() == 1).await;
    entry.dialer.close().await;
    wait_until(|| engine.runs().cancelled == 1).await;
}

/// Guards against cancelling or repeating non-idempotent work whose entry disconnected, and against
/// losing its answer.
#[tokio::test]
async fn disconnected_entry_keeps_non_idempotent_work_and_its_answer() {
    let service = service::Service::start().await.unwrap();
    service.set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(200));
    let fixture = Fixture::for_service(&service, 1).await;
    let entry = fixture.connect().await;
    let dispatch = fixture.non_idempotent(0);
    let _attempt = entry.dispatch(&dispatch).await;
    wait_until(|| service.runs().total() == 1).await;
    entry.dialer.close().await;

    let other = fixture.connect().await;
    let answer = within(async {
        loop {
            match other.link.forbid(dispatch.attempt, fixture.incarnation).await.unwrap() {
                (AttemptStatus::Ended(Outcome::Finished), answer) => break answer,
                (status, _) => assert_eq!(status, AttemptStatus::Running),
            }
        }
    })
    .await;
    assert!(answer.unwrap().starts_with(b"{"));
    assert_eq!(service.runs().duplicates(), Vec::<&str>::new());
    assert_eq!(service.runs().cancelled, 0);
}

/// Guards against reporting an attempt as not run, or running it again, when the service did the
/// work but its answer was lost.
#[tokio::test]
async fn lost_answer_interrupts_the_attempt() {
    let service = service::Service::start().await.unwrap();
    service.set_behaviour(|behaviour| behaviour.drop_response = true);
    let fixture = Fixture::for_service(&service, 1).await;
    let entry = fixture.connect().await;
    let dispatch = fixture.non_idempotent(0);
    let mut attempt = entry.dispatch(&dispatch).await;
    assert_eq!(read_to_end(&mut attempt).await.1, failed(Failure::Interrupted));

    let status = within(entry.link.forbid(dispatch.attempt, fixture.incarnation)).await.unwrap();
    let interrupted = AttemptStatus::Ended(Outcome::Failed(Failure::Interrupted));
    assert_eq!(status, (interrupted, None));
    let mut copy = entry.dispatch(&dispatch).await;
    assert_eq!(read_to_end(&mut copy).await.1, Some(AttemptMessage::Refused(Refusal::Duplicate)));
    assert_eq!(service.runs().total(), 1);
}

/// Guards against running a dispatch twice when it arrives twice, and against a cancel of the copy
/// that cancels the original.
#[tokio::test]
async fn duplicate_dispatch_is_refused_without_side_effects() {
    let engine = engine::Engine::start(2).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.hold_at = Some(3));
    let fixture = Fixture::for_engine(&engine, 2).await;
    let entry = fixture.connect().await;
    let mut original = entry.dispatch(&idempotent(0)).await;
    wait_until(|| engine.runs().total() == 1).await;
    let mut copy = entry.dispatch(&idempotent(0)).await;
    assert_eq!(read_to_end(&mut copy).await.1, Some(AttemptMessage::Refused(Refusal::Duplicate)));
    drop(copy);
    drop(entry.dispatch(&idempotent(0)).await);
    // Once this attempt ends, the sidecar has processed the drops above.
    let mut other = entry.dispatch(&Dispatch { resume: 4, ..idempotent(1) }).await;
    assert_eq!(read_to_end(&mut other).await.1, Some(FINISHED));
    engine.set_behaviour(|behaviour| behaviour.hold_at = None);
    assert_eq!(read_to_end(&mut original).await.1, Some(FINISHED));
    let runs = engine.runs().attempts;
    assert_eq!(runs.get(&idempotent(0).attempt.to_string()), Some(&1));
}

/// Guards against starting an attempt whose dispatch arrives after the sidecar promised never to
/// start it.
#[tokio::test]
async fn forbidden_attempt_does_not_run() {
    let service = service::Service::start().await.unwrap();
    let fixture = Fixture::for_service(&service, 1).await;
    let entry = fixture.connect().await;
    let dispatch = fixture.non_idempotent(0);
    let asked = within(entry.link.forbid(dispatch.attempt, fixture.incarnation)).await.unwrap();
    assert_eq!(asked, (AttemptStatus::Forbidden, None));
    let mut late = entry.dispatch(&dispatch).await;
    assert_eq!(read_to_end(&mut late).await.1, Some(AttemptMessage::Refused(Refusal::Forbidden)));
    assert_eq!(service.runs().total(), 0);
}

/// Guards against a restarted sidecar that starts, or answers for, non-idempotent attempts of its
/// previous incarnation.
#[tokio::test]
async fn other_incarnation_is_rejected() {
    let service = service::Service::start().await.unwrap();
    let fixture = Fixture::for_service(&service, 1).await;
    let entry = fixture.connect().await;
    let earlier = Incarnation(fixture.incarnation.0 ^ 1);
    let asked =
        within(entry.link.forbid(fixture.non_idempotent(0).attempt, earlier)).await.unwrap();
    assert_eq!(asked, (AttemptStatus::Gone, None));
    let stale = Dispatch { incarnation: Some(earlier), ..fixture.non_idempotent(0) };
    let mut stale = entry.dispatch(&stale).await;
    assert_eq!(read_to_end(&mut stale).await.1, Some(AttemptMessage::Refused(Refusal::Stale)));
    assert_eq!(service.runs().total(), 0);
}

/// Guards against a drain that cancels running work, loses its answer or accepts new work.
#[tokio::test]
async fn drain_finishes_running_attempts_and_refuses_others() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.hold_at = Some(3));
    let fixture = Fixture::for_engine(&engine, 1).await;
    let entry = fixture.connect().await;
    let mut running = entry.dispatch(&idempotent(0)).await;
    wait_until(|| engine.runs().total() == 1).await;
    let mut waiting = entry.dispatch(&idempotent(1)).await;
    assert_eq!(within(waiting.next()).await.unwrap(), Some(AttemptMessage::Accepted));

    let drain = tokio::spawn(fixture.daemon.drain());
    entry.wait_until_serving(false).await;
    let draining = Some(AttemptMessage::Refused(Refusal::Draining));
    assert_eq!(read_to_end(&mut waiting).await.1, draining);
    let mut late = entry.dispatch(&idempotent(2)).await;
    assert_eq!(read_to_end(&mut late).await.1, draining);
    engine.set_behaviour(|behaviour| behaviour.hold_at = None);
    let (text, last) = read_to_end(&mut running).await;
    assert_eq!(last, Some(FINISHED));
    assert_eq!(text, engine::completion_text("labels", 8));
    within(drain).await.unwrap();
    within(entry.link.closed()).await;
    assert_eq!(engine.runs().total(), 1);
}

/// Guards against a drain that loses an answer which the entry has not read yet.
#[tokio::test]
async fn drain_waits_until_answers_are_delivered() {
    let service = service::Service::start().await.unwrap();
    let fixture = Fixture::for_service(&service, 1).await;
    let entry = fixture.connect().await;
    // Exceeds what the connection buffers while the entry does not read.
    let input = "x".repeat(4 << 20);
    let body = serde_json::json!({ "input": input }).to_string();
    let mut attempt = entry.dispatch_body(&fixture.non_idempotent(0), body.clone().into()).await;
    wait_until(|| service.runs().finished == 1).await;
    let drain = tokio::spawn(fixture.daemon.drain());
    entry.wait_until_serving(false).await;
    let (answer, last) = read_to_end(&mut attempt).await;
    assert_eq!(last, Some(FINISHED));
    assert!(answer.len() > body.len(), "{} bytes", answer.len());
    within(drain).await.unwrap();
}

/// Guards against a drain that never ends because a call hangs.
#[tokio::test]
async fn drain_ends_at_its_limit() {
    let service = service::Service::start().await.unwrap();
    service.set_behaviour(|behaviour| behaviour.delay = LONG_DELAY);
    let limit = Duration::from_millis(50);
    let fixture = Fixture::start_with(service_backend(&service), |o| o.drain_limit = limit).await;
    let entry = fixture.connect().await;
    let mut attempt = entry.dispatch(&fixture.non_idempotent(0)).await;
    wait_until(|| service.runs().total() == 1).await;
    within(fixture.daemon.drain()).await;
    assert_eq!(read_to_end(&mut attempt).await.1, None);
}

/// Guards against unbounded memory use by retained answers, and against discarding an attempt's
/// outcome together with its answer.
#[tokio::test]
async fn oldest_answer_is_discarded_at_the_limit() {
    let service = service::Service::start().await.unwrap();
    // Enough for one answer, which repeats the body of the call.
    let fixture = Fixture::start_with(service_backend(&service), |o| o.retained_bytes = 1500).await;
    let entry = fixture.connect().await;
    let body = serde_json::json!({ "input": "x".repeat(1000) }).to_string();
    for number in 0..2 {
        let mut attempt =
            entry.dispatch_body(&fixture.non_idempotent(number), body.clone().into()).await;
        assert_eq!(read_to_end(&mut attempt).await.1, Some(FINISHED));
    }
    let ended = AttemptStatus::Ended(Outcome::Finished);
    let first = entry.link.forbid(fixture.non_idempotent(0).attempt, fixture.incarnation);
    assert_eq!(within(first).await.unwrap(), (ended, None));
    let second = entry.link.forbid(fixture.non_idempotent(1).attempt, fixture.incarnation);
    let (status, answer) = within(second).await.unwrap();
    assert_eq!(status, ended);
    assert!(answer.is_some());
    let mut copy = entry.dispatch(&fixture.non_idempotent(0)).await;
    assert_eq!(read_to_end(&mut copy).await.1, Some(AttemptMessage::Refused(Refusal::Duplicate)));
    assert_eq!(service.runs().total(), 2);
}

/// Guards against an attempt that hangs or appears finished after the sidecar was killed during it.
#[tokio::test]
async fn aborted_sidecar_breaks_its_streams() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.hold_at = Some(3));
    let fixture = Fixture::for_engine(&engine, 1).await;
    let entry = fixture.connect().await;
    let mut attempt = entry.dispatch(&idempotent(0)).await;
    while !matches!(within(attempt.next()).await.unwrap(), Some(AttemptMessage::Chunk { .. })) {}
    fixture.daemon.abort();
    assert_eq!(read_to_end(&mut attempt).await.1, None);
    within(entry.link.closed()).await;
}

/// Guards against reporting an answer as complete when the engine broke the stream.
#[tokio::test]
async fn engine_crash_interrupts_the_attempt() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.break_at = Some(3));
    let fixture = Fixture::for_engine(&engine, 1).await;
    let entry = fixture.connect().await;
    let mut attempt = entry.dispatch(&idempotent(0)).await;
    let (text, last) = read_to_end(&mut attempt).await;
    assert_eq!(last, failed(Failure::Interrupted));
    assert!(engine::completion_text("labels", 8).starts_with(&text));
}

/// Guards against sending work to a backend server that fails its health checks, and against
/// ignoring it after it recovered.
#[tokio::test]
async fn unhealthy_backend_server_gets_no_work_until_it_recovers() {
    let engine = engine::Engine::start(1).await.unwrap();
    let fixture = Fixture::for_engine(&engine, 1).await;
    let entry = fixture.connect().await;
    engine.set_behaviour(|behaviour| behaviour.unhealthy = true);
    entry.wait_until_serving(false).await;
    let mut refused = entry.dispatch(&idempotent(0)).await;
    assert_eq!(read_to_end(&mut refused).await.1, Some(AttemptMessage::Refused(Refusal::Down)));
    engine.set_behaviour(|behaviour| behaviour.unhealthy = false);
    entry.wait_until_serving(true).await;
    let mut taken = entry.dispatch(&idempotent(1)).await;
    assert_eq!(read_to_end(&mut taken).await.1, Some(FINISHED));
    assert_eq!(engine.runs().total(), 1);
}

/// Guards against attempts that queue inside the engine, where the sidecar can't reorder them or
/// enforce their deadlines.
#[tokio::test]
async fn queue_in_the_engine_lowers_the_limit() {
    let engine = engine::Engine::start(1).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.hold_at = Some(0));
    let fixture = Fixture::for_engine(&engine, 4).await;
    let entry = fixture.connect().await;
    let _attempts = [
        entry.dispatch(&idempotent(0)).await,
        entry.dispatch(&idempotent(1)).await,
        entry.dispatch(&idempotent(2)).await,
    ];
    let mut reports = entry.link.reports();
    let lowered = |report: &Option<Report>| report.is_some_and(|report| report.limit < 4);
    within(reports.wait_for(lowered)).await.unwrap();
}

/// Guards against reporting an unknown outcome for a call that the service refused to run, and
/// against running a late copy of it.
#[tokio::test]
async fn service_refusal_is_reported_as_not_run() {
    let service = service::Service::start().await.unwrap();
    service.set_behaviour(|behaviour| behaviour.refuse = true);
    let fixture = Fixture::for_service(&service, 1).await;
    let entry = fixture.connect().await;
    let dispatch = fixture.non_idempotent(0);
    let mut attempt = entry.dispatch(&dispatch).await;
    let last = read_to_end(&mut attempt).await.1;
    assert!(matches!(last, Some(AttemptMessage::Refused(Refusal::Overloaded { .. }))), "{last:?}");

    service.set_behaviour(|behaviour| behaviour.refuse = false);
    let asked = within(entry.link.forbid(dispatch.attempt, fixture.incarnation)).await.unwrap();
    assert_eq!(asked, (AttemptStatus::Forbidden, None));
    let mut copy = entry.dispatch(&dispatch).await;
    assert_eq!(read_to_end(&mut copy).await.1, Some(AttemptMessage::Refused(Refusal::Forbidden)));
    assert_eq!(service.runs().total(), 0);
}
