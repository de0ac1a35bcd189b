//! Message exchanges between an entry and a sidecar over loopback.

mod support;

use bytes::Bytes;
use damaskweir_core::prelude::*;
use damaskweir_wire::{AttemptMessage, Limits, PeerId, PullRequest, Request, WireError};
use std::time::Duration;
use support::*;

/// Guards against an attempt that loses messages, or gets them out of order or from another attempt.
#[tokio::test]
async fn attempt_gets_all_its_messages_in_order() {
    let mut pair = pair(Limits::default()).await;
    assert_eq!(pair.link.hello().id, PeerId::Sidecar("engine-1".into()));
    assert_eq!(pair.connection.peer().hello().id, PeerId::Entry("entry-1".into()));

    let payload = payload(vec![7; 300_000]);
    let mut attempt = within(pair.link.dispatch(&dispatch(4), payload.clone())).await.unwrap();
    let (got, got_payload, mut reply) = next_dispatch(&mut pair.connection).await;
    assert_eq!(*got, dispatch(4));
    assert_eq!(got_payload, payload);

    let sent = [
        AttemptMessage::Accepted,
        AttemptMessage::Chunk { index: 0, data: Bytes::from_static(b"one") },
        AttemptMessage::Chunk { index: 1, data: Bytes::from(vec![1; 200_000]) },
    ];
    let mut expected = sent.to_vec();
    expected.push(AttemptMessage::Done(Outcome::Finished));
    let sender = tokio::spawn(async move {
        for message in sent {
            reply.send(message).await.unwrap();
        }
        reply.finish(Outcome::Finished, Span::from_millis(70)).await.unwrap();
    });
    assert_eq!(attempt.service_time(), None);
    for message in expected {
        assert_eq!(within(attempt.next()).await.unwrap(), Some(message));
    }
    assert_eq!(within(attempt.next()).await.unwrap(), None);
    assert_eq!(attempt.service_time(), Some(Span::from_millis(70)));
    within(sender).await.unwrap();
}

/// Guards against reports that don't reach the entry while no attempt is in progress.
#[tokio::test]
async fn reports_arrive_without_attempts() {
    let pair = pair(Limits::default()).await;
    let mut reports = pair.link.reports();
    let first = within(reports.wait_for(Option::is_some)).await.unwrap().unwrap();
    assert_eq!(first.version, Version(3));
    within(reports.wait_for(|report| report.is_some_and(|r| r.serial > first.serial)))
        .await
        .unwrap();
}

/// Guards against a new bundle version that is not announced on an idle connection.
#[tokio::test]
async fn entry_announces_a_new_version() {
    let entry = entry();
    let pair = pair_of(entry.clone(), sidecar(), Limits::default(), Limits::default()).await;
    let mut versions = pair.connection.peer().versions();
    entry.set_version(Version(12));
    entry.set_version(Version(11));
    let shown = *within(versions.wait_for(|version| *version >= Version(12))).await.unwrap();
    assert_eq!(shown, Version(12));
}

/// Guards against a forbid request that returns another attempt's answer, or none.
#[tokio::test]
async fn forbid_returns_the_retained_answer() {
    let mut pair = pair(Limits::default()).await;
    let attempt = dispatch(1).attempt;
    let link = pair.link.clone();
    let status_request = tokio::spawn(async move { link.forbid(attempt, Incarnation(9)).await });
    let Some(Request::Forbid { attempt: got, incarnation, reply }) =
        within(pair.connection.next()).await
    else {
        panic!("expected a forbid request");
    };
    assert_eq!((got, incarnation), (attempt, Incarnation(9)));
    let status = AttemptStatus::Ended(Outcome::Finished);
    reply.send(status, Some(Bytes::from_static(b"booked"))).await.unwrap();
    let answer = within(status_request).await.unwrap().unwrap();
    assert_eq!(answer, (status, Some(Bytes::from_static(b"booked"))));
}

/// Guards against bundle pulls that work only in one direction.
#[tokio::test]
async fn both_ends_can_pull() {
    let digest = Digest([5; 32]);
    let sections = |prefix: &'static str| {
        move |request| match request {
            PullRequest::Manifest => Some(Bytes::from(format!("{prefix} manifest"))),
            PullRequest::Section(Digest([5, ..])) => Some(Bytes::from(vec![5; 1 << 20])),
            PullRequest::Section(_) | PullRequest::Patch { .. } => None,
        }
    };
    let entry = entry().with_bundle_source(sections("entry"));
    let sidecar = sidecar().with_bundle_source(sections("sidecar"));
    let pair = pair_of(entry, sidecar, Limits::default(), Limits::default()).await;

    let peer = pair.connection.peer();
    assert_eq!(within(pair.link.pull(PullRequest::Manifest)).await.unwrap(), "sidecar manifest");
    assert_eq!(within(peer.pull(PullRequest::Manifest)).await.unwrap(), "entry manifest");
    assert_eq!(within(peer.pull(PullRequest::Section(digest))).await.unwrap().len(), 1 << 20);
    let absent = within(pair.link.pull(PullRequest::Section(Digest([6; 32])))).await;
    assert!(matches!(absent, Err(WireError::NotFound)));
}

/// Guards against an idle connection that times out, although the sidecar's heartbeats and their
/// acknowledgements must keep it open at both ends.
#[tokio::test]
async fn idle_connection_stays_open() {
    let idle_timeout = Duration::from_secs(2);
    let limits =
        Limits { idle_timeout, sidecar_heartbeat: Duration::from_millis(100), ..Limits::default() };
    let mut pair = pair(limits).await;
    let mut reports = pair.link.reports();
    let first = within(reports.wait_for(Option::is_some)).await.unwrap().unwrap().serial;
    // 45 heartbeats take more than twice the idle timeout.
    let late = |report: &Option<Report>| report.is_some_and(|report| report.serial > first + 45);
    within(reports.wait_for(late)).await.unwrap();
    let mut attempt = within(pair.link.dispatch(&dispatch(0), payload("x"))).await.unwrap();
    let (_, _, mut reply) = next_dispatch(&mut pair.connection).await;
    within(reply.finish(Outcome::Finished, Span::ZERO)).await.unwrap();
    let done = within(attempt.next()).await.unwrap();
    assert_eq!(done, Some(AttemptMessage::Done(Outcome::Finished)));
}
