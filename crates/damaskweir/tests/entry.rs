//! The entry daemon with scripted sidecars.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::*;
use damaskweir::entry::EntryOptions;
use damaskweir_callers::{ErrorCode, Execution};
use damaskweir_core::prelude::*;
use damaskweir_instances::InstancesSettings;
use damaskweir_standins::instances::Instances;
use damaskweir_standins::store::{Outage, Store};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Guards against a stage whose input is not the output of the previous stage.
#[rstest]
#[tokio::test]
async fn stages_pass_their_output_on() {
    let authority = Authority::new();
    let encode = ScriptedSidecar::start(&authority.keys(), "enc-1", Script::Echo("1"));
    let rerank = ScriptedSidecar::start(&authority.keys(), "rank-1", Script::Echo("2"));
    let stages = vec![stage("encode", &[&encode]), stage("rerank", &[&rerank])];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let response = entry.post("draft", r#"{"a":1}"#).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let answer: Value = serde_json::from_str(&response.text().await.unwrap()).unwrap();
    assert_eq!(answer["output"], r#"21{"a":1}"#);
    assert_eq!(answer["stages"][0]["server"], "enc-1");
    assert_eq!(answer["stages"][1]["stage"], "rerank");
    assert_eq!(rerank.received_payloads()[0].path, "/rerank");
    assert_eq!(&rerank.received_payloads()[0].body[..], br#"1{"a":1}"#);
}

/// Guards against chunks that are lost, duplicated or reordered between sidecar and caller.
#[rstest]
#[tokio::test]
async fn chunks_stay_in_order() {
    let authority = Authority::new();
    let texts: Vec<&'static str> = vec!["a ", "b ", "c ", "d ", "e"];
    let side = ScriptedSidecar::start(&authority.keys(), "gen-1", Script::Chunks(texts.clone()));
    let stages = vec![stage("generate", &[&side]).engine()];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let response = entry.post("draft", r#"{"stream":true}"#).send().await.unwrap();
    let text = response.text().await.unwrap();
    let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let got: Vec<Value> = data.map(|line| serde_json::from_str(line.trim()).unwrap()).collect();
    let chunks: Vec<_> = got.iter().filter_map(|item| item["text"].as_str()).collect();
    assert_eq!(chunks, texts);
    assert_eq!(got.last().unwrap()["chunks"], 5);
}

/// Guards against new attempts on a server whose instance is leaving, and against a server that stays
/// unused after its instance is listed as live again.
#[rstest]
#[tokio::test]
async fn leaving_instances_get_no_new_work() {
    let list = |revision: u64, state: &str| {
        let instance = json!({
            "id": "enc-1", "zone": "zone-a", "address": "127.0.0.1:1", "state": state
        });
        json!({ "revision": revision, "instances": [instance] })
    };
    let instances = Instances::start().await.unwrap();
    instances.set_list(list(1, "live"));
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "enc-1", Script::Echo(""));
    let bundle = bundle(&[("draft", vec![stage("encode", &[&side])])]);
    let poll_interval = Duration::from_millis(10);
    let settings = InstancesSettings { url: instances.url(), poll_interval, ..Default::default() };
    let options = EntryOptions { instances: Some(settings), ..options(authority.keys(), bundle) };
    let entry = TestEntry::start_ready(options).await;
    let status = async || entry.post("draft", "{}").send().await.unwrap().status().as_u16();
    assert_eq!(status().await, 200);
    instances.set_list(list(2, "leaving"));
    within(async { while status().await != 503 {} }).await;
    let before = side.dispatches().len();
    let (code, error) = error_response(entry.post("draft", "{}")).await;
    assert_eq!((code, error.code), (503, ErrorCode::Unavailable));
    assert_eq!(side.dispatches().len(), before);
    instances.set_list(list(3, "live"));
    within(async { while status().await != 200 {} }).await;
}

/// Guards against a stream that continues with the output of a new generation after the connection to
/// its sidecar broke.
#[rstest]
#[tokio::test]
async fn broken_stream_ends_with_an_error() {
    let authority = Authority::new();
    let side =
        ScriptedSidecar::start(&authority.keys(), "gen-1", Script::Disconnect(vec!["a ", "b "]));
    let stages = vec![stage("generate", &[&side]).engine()];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let response = entry.post("draft", r#"{"stream":true}"#).send().await.unwrap();
    let text = response.text().await.unwrap();
    if text.starts_with('{') {
        // If the connection closes before the entry has read a chunk, the request is retried and each
        // attempt fails.
        assert!(text.contains(r#""code":"stage_failed""#), "{text}");
        return;
    }
    let last = text.trim_end().rsplit("\n\n").next().unwrap();
    assert!(last.contains(r#""code":"stream_broken""#), "{text}");
    assert_eq!(text.matches(r#""a ""#).count(), 1, "{text}");
}

/// Guards against a wrong code, status or execution in refusals at admission.
#[rstest]
#[case::unknown_pipeline("nope", "kollam", ErrorCode::UnknownPipeline, 404)]
#[case::unknown_workspace("draft", "nobody", ErrorCode::UnknownWorkspace, 403)]
#[case::key_required("order", "kollam", ErrorCode::KeyRequired, 400)]
#[tokio::test]
async fn admission_codes(
    #[case] pipeline: &str,
    #[case] workspace: &str,
    #[case] code: ErrorCode,
    #[case] status: u16,
) {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "any-1", Script::Echo(""));
    let order = ScriptedSidecar::start(&authority.keys(), "order-1", Script::Echo(""));
    let pipelines = [
        ("draft", vec![stage("encode", &[&side])]),
        ("order", vec![stage("print", &[&order]).non_idempotent()]),
    ];
    let entry = TestEntry::start_ready(options(authority.keys(), bundle(&pipelines))).await;
    let request = entry.client.post(format!("{}/v1/pipelines/{pipeline}", entry.url));
    let (got, error) = error_response(request.header("x-workspace", workspace).body("{}")).await;
    assert_eq!((got, error.code, error.execution), (status, code, Execution::NotRun));
    assert!(side.dispatches().is_empty() && order.dispatches().is_empty());
}

/// Guards against a workspace that exceeds its limit of concurrent requests.
#[rstest]
#[tokio::test]
async fn workspace_limit() {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "enc-1", Script::Hold(vec!["{}"]));
    let stages = vec![stage("encode", &[&side])];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let url = format!("{}/v1/pipelines/draft", entry.url);
    let first = entry.client.post(&url).header("x-workspace", "small").body("{}");
    let second = entry.client.post(&url).header("x-workspace", "small").body("{}");
    let first = tokio::spawn(first.send());
    side.wait_for_attempts(1).await;
    let (status, error) = error_response(second).await;
    assert_eq!((status, error.code), (429, ErrorCode::WorkspaceLimit));
    assert!(error.retry_after_ms.is_some());
    side.release();
    assert_eq!(within(first).await.unwrap().unwrap().status(), 200);
}

/// Guards against admitting a request whose deadline is shorter than the expected time of its stages.
#[rstest]
#[tokio::test]
async fn deadline_too_short() {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "enc-1", Script::Echo(""));
    let stages = vec![stage("encode", &[&side])];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let (status, error) =
        error_response(entry.post("draft", "{}").header("x-deadline-ms", "1")).await;
    assert_eq!((status, error.code), (422, ErrorCode::DeadlineTooShort));
    assert_eq!(error.execution, Execution::NotRun);
    // A retry with the same deadline can't succeed, so there must be no retry hint.
    assert_eq!(error.retry_after_ms, None);
    assert!(side.dispatches().is_empty());
}

/// Guards against an unresponsive peer on an open UDP port that blocks the entry or other pools.
#[rstest]
#[tokio::test]
async fn dead_tls_peer() {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "enc-1", Script::Echo(""));
    let dead = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let gone = StageSpec {
        servers: vec![("dead-1".into(), dead.local_addr().unwrap())],
        ..stage("rerank", &[])
    };
    let pipelines = [("live", vec![stage("encode", &[&side])]), ("dead", vec![gone])];
    let entry = TestEntry::start(options(authority.keys(), bundle(&pipelines))).await;
    within(async { while entry.post("live", "{}").send().await.unwrap().status() != 200 {} }).await;
    let (status, error) = error_response(entry.post("dead", "{}")).await;
    assert_eq!((status, error.code), (503, ErrorCode::Unavailable));
    assert_eq!(error.execution, Execution::NotRun);
    assert!(error.retry_after_ms.is_some());
    let (status, text) = entry.get("/ready").await;
    assert_eq!(status, 503);
    assert!(text.contains("no side of pool dead-rerank is connected"), "{text}");
}

/// Guards against sending attempts to a sidecar whose certificate was issued by another authority.
#[rstest]
#[tokio::test]
async fn foreign_certificate() {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&Authority::new().keys(), "enc-1", Script::Echo(""));
    let stages = vec![stage("encode", &[&side])];
    let entry = TestEntry::start(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    within(async {
        while !entry.get("/metrics").await.1.contains(r#"kind="certificate""#) {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert_eq!(error_response(entry.post("draft", "{}")).await.1.code, ErrorCode::Unavailable);
    assert!(side.dispatches().is_empty());
}

/// Guards against execution "not run" for an attempt that a sidecar accepted, and against an attempt that
/// continues after its deadline.
#[rstest]
#[tokio::test]
async fn deadline_exceeded() {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "enc-1", Script::Silent);
    let stages = vec![stage("encode", &[&side])];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let (status, error) =
        error_response(entry.post("draft", "{}").header("x-deadline-ms", "50")).await;
    assert_eq!((status, error.code), (504, ErrorCode::DeadlineExceeded));
    assert_eq!(error.execution, Execution::Unknown);
    assert_eq!(error.stage.as_deref(), Some("encode"));
    side.wait_for_cancels(1).await;
}

/// Guards against errors that don't distinguish a failed stage from one that did not run.
#[rstest]
#[case::failed(
    Script::Fail(Failure::Backend),
    "30000",
    502,
    ErrorCode::StageFailed,
    Execution::Ran
)]
#[case::refused(
    Script::Refuse(Refusal::Down),
    "500",
    503,
    ErrorCode::Unavailable,
    Execution::NotRun
)]
#[tokio::test]
async fn failed_stage(
    #[case] script: Script,
    #[case] deadline: &str,
    #[case] status: u16,
    #[case] code: ErrorCode,
    #[case] execution: Execution,
) {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "enc-1", script);
    let stages = vec![stage("encode", &[&side])];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let request = entry.post("draft", "{}").header("x-deadline-ms", deadline);
    let (got, error) = error_response(request).await;
    assert_eq!((got, error.code, error.execution), (status, code, execution));
}

/// Guards against an attempt that continues after its caller disconnected.
#[rstest]
#[tokio::test]
async fn caller_goes_away() {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "enc-1", Script::Silent);
    let stages = vec![stage("encode", &[&side])];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let request = tokio::spawn(entry.post("draft", "{}").send());
    side.wait_for_attempts(1).await;
    request.abort();
    side.wait_for_cancels(1).await;
}

/// Guards against a drain that aborts a request in progress, accepts new requests or reports ready.
#[rstest]
#[tokio::test]
async fn drain(#[values("{}", r#"{"stream":true}"#)] body: &str) {
    let authority = Authority::new();
    let side = ScriptedSidecar::start(&authority.keys(), "gen-1", Script::Hold(vec!["a ", "b"]));
    let stages = vec![stage("generate", &[&side]).engine()];
    let entry =
        TestEntry::start_ready(options(authority.keys(), bundle(&[("draft", stages)]))).await;
    let in_flight = tokio::spawn(entry.post("draft", body).send());
    side.wait_for_attempts(1).await;
    let TestEntry { daemon, url, client } = entry;
    let draining = tokio::spawn(daemon.drain());
    let url = &url;
    within(async {
        while client.get(format!("{url}/ready")).send().await.unwrap().status() != 503 {}
    })
    .await;
    let request = client.post(format!("{url}/v1/pipelines/draft"));
    let (status, error) = error_response(request.header("x-workspace", "kollam").body("{}")).await;
    assert_eq!((status, error.code), (503, ErrorCode::Draining));
    assert_eq!(error.execution, Execution::NotRun);
    assert!(!draining.is_finished());
    side.release();
    let response = within(in_flight).await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
    let text = response.text().await.unwrap();
    assert!(text.contains("a b") || text.contains(r#""chunks":2"#), "{text}");
    within(draining).await.unwrap().unwrap();
    assert!(client.get(format!("{url}/health")).send().await.is_err());
}

/// Guards against a non-idempotent call that runs twice, a repeat that gets a different answer, and an
/// idempotency key that is accepted with a different body.
#[rstest]
#[tokio::test]
async fn key_reuse_through_two_entries() {
    let authority = Authority::new();
    let store = Store::start().await.unwrap();
    let side =
        ScriptedSidecar::start(&authority.keys(), "order-1", Script::Chunks(vec!["{\"n\":1}"]));
    let stages = || vec![stage("print", &[&side]).non_idempotent()];
    let mut entries = Vec::new();
    for _ in 0..2 {
        let mut options = options(authority.keys(), bundle(&[("order", stages())]));
        options.claims = Some(claim_writer(&store));
        entries.push(TestEntry::start_ready(options).await);
    }
    let send =
        |entry: &TestEntry, body: &str| entry.post("order", body).header("idempotency-key", "k-1");
    // An entry learns a sidecar's incarnation from its report and can't write a claim before that.
    let first = send(&entries[0], r#"{"copies":2}"#).send().await.unwrap().text().await.unwrap();
    let repeat = send(&entries[1], r#"{"copies":2}"#).send().await.unwrap().text().await.unwrap();
    for text in [&first, &repeat] {
        let answer: Value = serde_json::from_str(text).unwrap();
        assert_eq!(answer["output"]["n"], 1, "{text}");
    }
    let (status, error) = error_response(send(&entries[1], r#"{"copies":3}"#)).await;
    assert_eq!((status, error.code), (409, ErrorCode::KeyReused));
    let stream = send(&entries[1], r#"{"copies":2}"#).header("accept", "text/event-stream");
    let text = stream.send().await.unwrap().text().await.unwrap();
    assert!(text.contains(r#"{\"n\":1}"#) && text.contains(r#""chunks":1"#), "{text}");
    assert_eq!(side.started(), 1);
}

/// Guards against a caller that gets no answer when repeats with the same key overlap with the first
/// run of the call.
#[rstest]
#[tokio::test]
async fn repeats_while_the_call_runs() {
    let authority = Authority::new();
    let store = Store::start().await.unwrap();
    let side =
        ScriptedSidecar::start(&authority.keys(), "order-1", Script::Hold(vec!["{\"n\":1}"]));
    let mut entries = Vec::new();
    for _ in 0..2 {
        let stages = vec![stage("print", &[&side]).non_idempotent()];
        let mut options = options(authority.keys(), bundle(&[("order", stages)]));
        options.claims = Some(claim_writer(&store));
        entries.push(TestEntry::start_ready(options).await);
    }
    let send = |entry: &TestEntry| {
        let request = entry.post("order", r#"{"copies":2}"#).header("idempotency-key", "k-1");
        tokio::spawn(async move { request.send().await.unwrap().text().await.unwrap() })
    };
    let first = send(&entries[0]);
    side.wait_for_attempts(1).await;
    let repeats = [send(&entries[0]), send(&entries[1]), send(&entries[1])];
    side.release();
    for answer in std::iter::once(first).chain(repeats) {
        let text = within(answer).await.unwrap();
        let answer: Value = serde_json::from_str(&text).unwrap();
        assert_eq!(answer["output"]["n"], 1, "{text}");
    }
    assert_eq!(side.started(), 1);
}

/// Guards against a number of connections that grows with the pool, and against a second run of a call
/// that is repeated through another entry. That entry may not use the sidecar where the first run is in
/// progress, and must still ask it.
#[rstest]
#[tokio::test]
async fn large_pool() {
    const CALLS: usize = 8;
    let authority = Authority::new();
    let store = Store::start().await.unwrap();
    let script = Script::Hold(vec!["{\"n\":1}"]);
    let start =
        |i| ScriptedSidecar::start(&authority.keys(), &format!("order-{i}"), script.clone());
    let sides: Vec<_> = (0..30).map(start).collect();
    let mut entries = Vec::new();
    for _ in 0..2 {
        let stages = vec![stage("print", &sides.iter().collect::<Vec<_>>()).non_idempotent()];
        let mut options = options(authority.keys(), bundle(&[("order", stages)]));
        options.claims = Some(claim_writer(&store));
        entries.push(TestEntry::start_ready(options).await);
    }
    let links = async || {
        let (_, text) = entries[0].get("/metrics").await;
        let line = text.lines().find(|line| line.starts_with("damaskweir_links"));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<usize>().ok()).unwrap()
    };
    within(async { while links().await < 24 {} }).await;
    let send = |entry: &TestEntry, call: usize| {
        let request = entry.post("order", "{}").header("idempotency-key", format!("k-{call}"));
        tokio::spawn(async move { request.send().await.unwrap().text().await.unwrap() })
    };
    let started = || sides.iter().map(ScriptedSidecar::started).sum::<usize>();
    let first: Vec<_> = (0..CALLS).map(|call| send(&entries[0], call)).collect();
    within(async {
        while started() < CALLS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    let repeats: Vec<_> = (0..CALLS).map(|call| send(&entries[1], call)).collect();
    sides.iter().for_each(ScriptedSidecar::release);
    for answer in first.into_iter().chain(repeats) {
        let text = within(answer).await.unwrap();
        let answer: Value = serde_json::from_str(&text).unwrap();
        assert_eq!(answer["output"]["n"], 1, "{text}");
    }
    assert_eq!((started(), links().await), (CALLS, 24));
}

/// Guards against sending a non-idempotent call without a claim, and against idempotent calls that fail
/// while the store is down.
#[rstest]
#[tokio::test]
async fn store_down() {
    let authority = Authority::new();
    let store = Store::start().await.unwrap();
    store.set_outage(Some(Outage::Refuse));
    let order = ScriptedSidecar::start(&authority.keys(), "order-1", Script::Echo(""));
    let encode = ScriptedSidecar::start(&authority.keys(), "enc-1", Script::Echo(""));
    let pipelines = [
        ("order", vec![stage("print", &[&order]).non_idempotent()]),
        ("draft", vec![stage("encode", &[&encode])]),
    ];
    let mut options = options(authority.keys(), bundle(&pipelines));
    options.claims = Some(claim_writer(&store));
    let entry = TestEntry::start_ready(options).await;
    let request = entry.post("order", "{}").header("idempotency-key", "k-1");
    let (status, error) = error_response(request).await;
    assert_eq!((status, error.code), (503, ErrorCode::StoreDown));
    assert_eq!(error.execution, Execution::NotRun);
    assert!(order.dispatches().is_empty());
    assert_eq!(entry.post("draft", "{}").send().await.unwrap().status(), 200);
}

/// Guards against a second run of a call after the connection to its sidecar broke, and against reporting
/// that call as "not run".
#[rstest]
#[tokio::test]
async fn outcome_unknown() {
    let authority = Authority::new();
    let store = Store::start().await.unwrap();
    let side = ScriptedSidecar::start(&authority.keys(), "order-1", Script::Disconnect(vec![]));
    let other = ScriptedSidecar::start(&authority.keys(), "order-2", Script::Disconnect(vec![]));
    let stages = vec![stage("print", &[&side, &other]).non_idempotent()];
    let mut options = options(authority.keys(), bundle(&[("order", stages)]));
    options.claims = Some(claim_writer(&store));
    let entry = TestEntry::start_ready(options).await;
    let request = || {
        let request = entry.post("order", "{}").header("idempotency-key", "k-1");
        error_response(request.header("x-deadline-ms", "800"))
    };
    let (status, error) = request().await;
    assert_eq!((status, error.code), (504, ErrorCode::OutcomeUnknown));
    assert_eq!(error.execution, Execution::Unknown);
    let (status, error) = request().await;
    assert_eq!((status, error.code), (504, ErrorCode::OutcomeUnknown));
    assert_eq!(side.started() + other.started(), 1);
}

/// Guards against exported metrics missing from docs/metrics.md, and documented ones not exported.
#[rstest]
#[tokio::test]
async fn metrics_are_documented() {
    let authority = Authority::new();
    let store = Store::start().await.unwrap();
    let side = ScriptedSidecar::start(&authority.keys(), "gen-1", Script::Chunks(vec!["a", "b"]));
    let order = ScriptedSidecar::start(&authority.keys(), "order-1", Script::Echo(""));
    let dead = ScriptedSidecar::start(&Authority::new().keys(), "gen-2", Script::Silent);
    let pipelines = [
        ("draft", vec![stage("generate", &[&side, &dead]).engine()]),
        ("order", vec![stage("print", &[&order]).non_idempotent()]),
    ];
    let mut options = options(authority.keys(), bundle(&pipelines));
    options.claims = Some(claim_writer(&store));
    let entry = TestEntry::start_ready(options).await;
    entry.post("draft", r#"{"stream":true}"#).send().await.unwrap().text().await.unwrap();
    entry.post("draft", "nonsense").send().await.unwrap();
    entry.post("order", "{}").header("idempotency-key", "k").send().await.unwrap();
    let text = within(async {
        loop {
            let (_, text) = entry.get("/metrics").await;
            if text.contains("damaskweir_link_errors_total{") {
                break text;
            }
        }
    })
    .await;
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/metrics.md");
    let page = std::fs::read_to_string(path).unwrap();
    let shown: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("# HELP ")).collect();
    let mut names: Vec<_> = shown.iter().filter_map(|line| line.split(' ').next()).collect();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let mut listed: Vec<_> = rows.filter_map(|row| row.split('`').next()).collect();
    names.sort_unstable();
    listed.sort_unstable();
    assert_eq!(names, listed);
}

/// Guards against credentials, idempotency keys or request bodies in the log.
#[rstest]
#[tokio::test]
async fn logs_hold_no_secrets() {
    #[derive(Clone, Default)]
    struct Sink(Arc<std::sync::Mutex<Vec<u8>>>);
    impl std::io::Write for Sink {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(bytes);
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let sink = Sink::default();
    let drain = std::sync::Mutex::new(slog_json::Json::default(sink.clone()));
    let log = slog::Logger::root(slog::Drain::fuse(drain), slog::o!());
    let authority = Authority::new();
    let store = Store::start().await.unwrap();
    let side = ScriptedSidecar::start(&authority.keys(), "order-1", Script::Echo(""));
    let stages = vec![stage("print", &[&side]).non_idempotent()];
    let mut options = options(authority.keys(), bundle(&[("order", stages)]));
    options.claims = Some(claim_writer(&store));
    let daemon = damaskweir::entry::EntryDaemon::start(options, log).await.unwrap();
    while !daemon.is_ready() {
        tokio::task::yield_now().await;
    }
    let url = format!("http://{}/v1/pipelines/order", daemon.address());
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    for bearer in [None, Some("hunter2-credential")] {
        let request = client.post(&url).header("idempotency-key", "secret-key-9");
        let request = request.body(r#"{"note":"private-text"}"#);
        let request = match bearer {
            Some(bearer) => request.bearer_auth(bearer),
            None => request.header("x-workspace", "kollam"),
        };
        request.send().await.unwrap().text().await.unwrap();
    }
    within(daemon.drain()).await.unwrap();
    let log = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    assert!(log.contains("request answered") && log.contains("request refused"), "{log}");
    for line in log.lines().filter(|line| line.contains("request answered")) {
        let line: Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["workspace"], "kollam");
        assert_eq!(line["stage"], "print");
        assert!(line["request"].is_string());
    }
    for secret in ["hunter2", "secret-key-9", "private-text", "PRIVATE KEY"] {
        assert!(!log.contains(secret), "the log contains {secret}");
    }
}
