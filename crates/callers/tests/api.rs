//! Tests of the HTTP API with a fake gateway.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bytes::Bytes;
use damaskweir_callers::{
    Api, Authenticator, ErrorBody, ErrorCode, Execution, Failed, Finished, Gateway, Limits,
    OutputFormat, Readiness, Reply, ReplyEvent, StageTiming, Submission, credential_digest, listen,
    openapi_json, reply_channel,
};
use damaskweir_core::entry;
use damaskweir_core::prelude::*;
use reqwest::{Client, RequestBuilder, Response};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Timeout that turns a hang into a failure. No other assertion depends on timing.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// How the fake gateway handles a request.
#[derive(Clone)]
enum Behavior {
    /// Sends these events immediately and closes the reply.
    Events(Vec<ReplyEvent>),
    /// Sends these events and keeps the reply open.
    Stall(Vec<ReplyEvent>),
    /// Panics inside the API's handler.
    Panic,
}

struct FakeGateway {
    behavior: Behavior,
    submissions: Mutex<Vec<Submission>>,
    rejections: Mutex<Vec<ErrorCode>>,
    ready: AtomicBool,
    disconnected: Arc<Notify>,
    /// Keeps stalled replies open.
    stalled: Mutex<Vec<damaskweir_callers::ReplySender>>,
}

impl Gateway for FakeGateway {
    fn submit(&self, submission: Submission) -> Reply {
        self.submissions.lock().unwrap().push(submission);
        let disconnected = Arc::clone(&self.disconnected);
        let (sender, reply) = reply_channel("r-1".to_owned(), move || disconnected.notify_one());
        match self.behavior.clone() {
            Behavior::Panic => panic!("panic requested by the test"),
            Behavior::Events(events) => {
                events.into_iter().for_each(|event| sender.send(event).unwrap());
            }
            Behavior::Stall(events) => {
                events.into_iter().for_each(|event| sender.send(event).unwrap());
                self.stalled.lock().unwrap().push(sender);
            }
        }
        reply
    }

    fn record_rejection(&self, code: ErrorCode, _: Option<&WorkspaceId>) -> String {
        self.rejections.lock().unwrap().push(code);
        "refused-1".to_owned()
    }

    fn ready(&self) -> Readiness {
        if self.ready.load(Ordering::Relaxed) {
            Readiness::Ready
        } else {
            Readiness::NotReady("draining".to_owned())
        }
    }

    fn metrics(&self) -> String {
        "damaskweir_requests_total 1\n".to_owned()
    }
}

struct TestServer {
    gateway: Arc<FakeGateway>,
    address: SocketAddr,
    client: Client,
}

impl TestServer {
    async fn start(behavior: Behavior) -> Self {
        Self::with_limits(behavior, Limits { max_body: 1_024, ..Limits::default() }).await
    }

    async fn with_limits(behavior: Behavior, limits: Limits) -> Self {
        let gateway = Arc::new(FakeGateway {
            behavior,
            submissions: Mutex::default(),
            rejections: Mutex::default(),
            ready: AtomicBool::new(true),
            disconnected: Arc::default(),
            stalled: Mutex::default(),
        });
        let credentials =
            BTreeMap::from([(credential_digest(b"s3cret"), WorkspaceId::from("kollam"))]);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let shared = Arc::clone(&gateway) as Arc<dyn Gateway>;
        let api =
            Api::new(listener, shared, Authenticator::new(credentials, true), limits).unwrap();
        let address = api.address();
        tokio::spawn(api.serve());
        let client = Client::builder().no_proxy().timeout(TEST_TIMEOUT).build().unwrap();
        Self { gateway, address, client }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn post(&self, body: &'static str) -> RequestBuilder {
        self.client
            .post(self.url("/v1/pipelines/draft"))
            .header("content-type", "application/json")
            .header("x-workspace", "kollam")
            .body(body)
    }
}

fn finished(output: &'static str, format: OutputFormat) -> ReplyEvent {
    let stage = StageTiming {
        stage: "encode".to_owned(),
        server: "enc-1".to_owned(),
        elapsed: Span::from_millis(3),
    };
    let output = Bytes::from_static(output.as_bytes());
    ReplyEvent::Finished(Finished { output, format, stages: vec![stage] })
}

fn failed(code: ErrorCode, execution: Execution, retry_after: Option<Span>) -> ReplyEvent {
    ReplyEvent::Failed(Failed { code, execution, stage: Some("generate".to_owned()), retry_after })
}

fn chunk(bytes: &'static [u8]) -> ReplyEvent {
    ReplyEvent::Chunk(Bytes::from_static(bytes))
}

async fn read_error(response: Response) -> (u16, ErrorBody) {
    let status = response.status().as_u16();
    let text = response.text().await.unwrap();
    let body = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"));
    (status, body)
}

/// Guards against output that is altered, and against request fields that are lost on the way to
/// the gateway.
#[rstest]
#[tokio::test]
async fn complete_answer_and_validated_request() {
    let server =
        TestServer::start(Behavior::Events(vec![finished(r#"{"a":1.50}"#, OutputFormat::Json)]))
            .await;
    let request = server.post(r#"{"prompt":"p"}"#);
    let request = request.header("x-deadline-ms", "250").header("idempotency-key", "order-7");
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.unwrap(), r#"{"request":"r-1","output":{"a":1.50}}"#);
    let submissions = server.gateway.submissions.lock().unwrap();
    let submission = &submissions[0];
    assert_eq!(submission.pipeline, PipelineId::from("draft"));
    assert_eq!(submission.workspace, WorkspaceId::from("kollam"));
    assert_eq!(submission.deadline, Some(Span::from_millis(250)));
    assert_eq!(submission.body, r#"{"prompt":"p"}"#);
    assert!(
        submission.key_digest.is_some() && submission.prefix_digest.is_some() && !submission.stream
    );
}

/// Guards against a wrong token estimate, with which the cost of long drafts would be predicted
/// like that of short questions.
#[rstest]
#[case(r#"{"prompt":"p","max_tokens":900}"#, 900)]
#[case(r#"{"prompt":"pppppppp"}"#, 5)]
#[case(r#"{"max_tokens":"many"}"#, 5)]
#[tokio::test]
async fn token_estimate_of_a_request(#[case] body: &'static str, #[case] expected: u64) {
    let server =
        TestServer::start(Behavior::Events(vec![finished("{}", OutputFormat::Json)])).await;
    assert_eq!(server.post(body).send().await.unwrap().status(), 200);
    assert_eq!(server.gateway.submissions.lock().unwrap()[0].token_estimate, expected);
}

/// Guards against engine text that looks like JSON being returned with another JSON type.
#[rstest]
#[case("42", OutputFormat::Text, r#""42""#)]
#[case("42", OutputFormat::Json, "42")]
#[case("not json", OutputFormat::Json, r#""not json""#)]
#[tokio::test]
async fn output_keeps_its_format(
    #[case] output: &'static str,
    #[case] format: OutputFormat,
    #[case] expected: &str,
) {
    let server = TestServer::start(Behavior::Events(vec![finished(output, format)])).await;
    let text = server.post("{}").send().await.unwrap().text().await.unwrap();
    assert_eq!(text, format!(r#"{{"request":"r-1","output":{expected}}}"#));
}

/// Guards against server names being exposed to callers when the setting is off.
#[rstest]
#[tokio::test]
async fn stages_are_exposed_only_by_setting() {
    let behavior = Behavior::Events(vec![finished("{}", OutputFormat::Json)]);
    let limits = Limits { expose_stages: true, ..Limits::default() };
    let shown = TestServer::with_limits(behavior.clone(), limits).await;
    let text = shown.post("{}").send().await.unwrap().text().await.unwrap();
    assert!(text.contains(r#""stages":[{"stage":"encode","server":"enc-1","ms":3.0}]"#), "{text}");
    let hidden = TestServer::start(behavior).await;
    let text = hidden.post("{}").send().await.unwrap().text().await.unwrap();
    assert!(!text.contains("enc-1"), "{text}");
}

/// Guards against chunks that are reordered, dropped, repeated or split inside a UTF-8 character.
#[rstest]
#[case::by_body(r#"{"stream":true}"#, None)]
#[case::by_header("{}", Some("text/event-stream"))]
#[tokio::test]
async fn stream_keeps_order(#[case] body: &'static str, #[case] accept: Option<&str>) {
    let events = vec![
        chunk(b"one "),
        chunk(b"\xc3"),
        chunk(b"\xa9t\xc3\xa9 "),
        chunk(b"two"),
        finished("one été two and more", OutputFormat::Text),
    ];
    let server = TestServer::start(Behavior::Events(events)).await;
    let request = server.post(body);
    let request =
        if let Some(accept) = accept { request.header("accept", accept) } else { request };
    let response = request.send().await.unwrap();
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let text = response.text().await.unwrap();
    let data: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("data:")).collect();
    let data: Vec<_> = data.iter().map(|line| line.trim()).collect();
    assert_eq!(
        data,
        [
            r#"{"text":"one "}"#,
            r#"{"text":"été "}"#,
            r#"{"text":"two"}"#,
            r#"{"text":" and more"}"#,
            r#"{"request":"r-1","chunks":4}"#,
        ]
    );
    let ids: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("id:")).collect();
    let ids: Vec<_> = ids.iter().map(|line| line.trim()).collect();
    assert_eq!(ids, ["0", "1", "2", "3"]);
}

/// Guards against an empty stream for a repeated request whose result is stored: it has no chunks
/// before its last event.
#[rstest]
#[tokio::test]
async fn stream_of_stored_answer() {
    let server =
        TestServer::start(Behavior::Events(vec![finished(r#"{"id":7}"#, OutputFormat::Json)]))
            .await;
    let text = server.post(r#"{"stream":true}"#).send().await.unwrap().text().await.unwrap();
    assert!(text.contains(r#"{"text":"{\"id\":7}"}"#), "{text}");
    assert!(text.contains(r#""chunks":1"#), "{text}");
}

/// Guards against a stream that hides the final error: before the first chunk, the error must have
/// its own HTTP status; afterwards it must be the last event.
#[rstest]
#[tokio::test]
async fn errors_before_and_during_a_stream() {
    let error = failed(ErrorCode::StageFailed, Execution::Ran, None);
    let early = TestServer::start(Behavior::Events(vec![error.clone()])).await;
    let response = early.post(r#"{"stream":true}"#).send().await.unwrap();
    assert_eq!(read_error(response).await.0, 502);

    let late = TestServer::start(Behavior::Events(vec![chunk(b"a"), error])).await;
    let response = late.post(r#"{"stream":true}"#).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let text = response.text().await.unwrap();
    let last = text.trim_end().rsplit("\n\n").next().unwrap();
    assert!(last.contains("error") && last.contains(r#""code":"stage_failed""#), "{text}");
    assert!(last.contains(r#""execution":"ran""#), "{text}");
}

/// Guards against callers mistaking work that ran, or may have run, for work that did not: the HTTP
/// status alone must distinguish them for every code.
#[rstest]
fn status_codes_distinguish_executions() {
    for code in ErrorCode::ALL {
        assert_eq!(code.status(Execution::Unknown), 504, "{code}");
        assert_eq!(code.status(Execution::Ran), 502, "{code}");
        assert!(![502, 504].contains(&code.status(Execution::NotRun)), "{code}");
    }
}

/// Guards against an error code whose name differs between the core, the API and JSON.
#[rstest]
fn code_names_match_core_and_json() {
    let core = [
        entry::ErrorCode::UnknownPipeline,
        entry::ErrorCode::UnknownWorkspace,
        entry::ErrorCode::KeyRequired,
        entry::ErrorCode::KeyReused,
        entry::ErrorCode::WorkspaceLimit,
        entry::ErrorCode::Overloaded,
        entry::ErrorCode::DeadlineTooShort,
        entry::ErrorCode::Unavailable,
        entry::ErrorCode::Draining,
        entry::ErrorCode::StoreDown,
        entry::ErrorCode::DeadlineExceeded,
        entry::ErrorCode::StageFailed,
        entry::ErrorCode::StreamBroken,
        entry::ErrorCode::OutcomeUnknown,
    ];
    for code in core {
        let mapped = serde_json::to_string(&ErrorCode::from(code)).unwrap();
        assert_eq!(serde_json::to_string(&code).unwrap(), mapped);
    }
    for code in ErrorCode::ALL {
        assert_eq!(serde_json::to_string(&code).unwrap(), format!("\"{code}\""));
    }
}

/// Guards against gateway errors that lose a field on the way to the caller, for every code and
/// execution.
#[rstest]
#[tokio::test]
async fn gateway_errors_reach_the_caller_unchanged(
    #[values(Execution::NotRun, Execution::Unknown, Execution::Ran)] execution: Execution,
) {
    for code in ErrorCode::ALL {
        let retry_after = Some(Span(1_000_500));
        let server =
            TestServer::start(Behavior::Events(vec![failed(code, execution, retry_after)])).await;
        let response = server.post("{}").send().await.unwrap();
        assert_eq!(response.headers()["retry-after"], "2", "rounded up");
        let (status, body) = read_error(response).await;
        assert_eq!(status, code.status(execution));
        assert_eq!((body.code, body.execution), (code, execution));
        assert_eq!(body.stage.as_deref(), Some("generate"));
        assert_eq!(body.request, "r-1");
        assert_eq!(body.retry_after_ms, Some(1_001));
        assert!(!body.message.is_empty());
    }
}

/// Guards against a `retry-after` header where a retry can't help.
#[rstest]
#[tokio::test]
async fn no_retry_header_without_a_retry_time() {
    let event = failed(ErrorCode::OutcomeUnknown, Execution::Unknown, None);
    let server = TestServer::start(Behavior::Events(vec![event])).await;
    let response = server.post("{}").send().await.unwrap();
    assert!(!response.headers().contains_key("retry-after"));
    assert_eq!(read_error(response).await.1.retry_after_ms, None);
}

/// Guards against invalid input that is accepted, causes a panic or gets the wrong error code.
#[rstest]
#[case::empty("", &[], ErrorCode::BodyMalformed, 400)]
#[case::not_json("{nope", &[], ErrorCode::BodyMalformed, 400)]
#[case::array("[true]", &[], ErrorCode::BodyMalformed, 400)]
#[case::stream_not_boolean(r#"{"stream":1}"#, &[], ErrorCode::BodyMalformed, 400)]
#[case::stream_twice(r#"{"stream":true,"stream":false}"#, &[], ErrorCode::BodyMalformed, 400)]
#[case::trailing("{} {}", &[], ErrorCode::BodyMalformed, 400)]
#[case::media_type("{}", &[("content-type", "text/plain")], ErrorCode::UnsupportedMediaType, 415)]
#[case::deadline_word("{}", &[("x-deadline-ms", "soon")], ErrorCode::BadDeadline, 400)]
#[case::deadline_zero("{}", &[("x-deadline-ms", "0")], ErrorCode::BadDeadline, 400)]
#[case::deadline_negative("{}", &[("x-deadline-ms", "-5")], ErrorCode::BadDeadline, 400)]
#[case::deadline_overflow("{}", &[("x-deadline-ms", "99999999999999999999")], ErrorCode::BadDeadline, 400)]
#[case::key_empty("{}", &[("idempotency-key", "")], ErrorCode::BadKey, 400)]
#[case::key_space("{}", &[("idempotency-key", "a b")], ErrorCode::BadKey, 400)]
#[case::credential("{}", &[("authorization", "Bearer nobody")], ErrorCode::UnknownCredential, 401)]
#[case::scheme("{}", &[("authorization", "Basic s3cret")], ErrorCode::UnknownCredential, 401)]
#[case::mismatch("{}", &[("authorization", "Bearer s3cret"), ("x-workspace", "dakar")], ErrorCode::WorkspaceDenied, 403)]
#[tokio::test]
async fn invalid_input_is_rejected(
    #[case] body: &'static str,
    #[case] headers: &[(&'static str, &'static str)],
    #[case] code: ErrorCode,
    #[case] status: u16,
) {
    let server = TestServer::start(Behavior::Panic).await;
    let mut request = server.post(body).build().unwrap();
    for (name, value) in headers {
        request.headers_mut().insert(*name, value.parse().unwrap());
    }
    let (actual, error) = read_error(server.client.execute(request).await.unwrap()).await;
    assert_eq!((actual, error.code, error.execution), (status, code, Execution::NotRun));
    assert_eq!(error.request, "refused-1");
    assert_eq!(*server.gateway.rejections.lock().unwrap(), [code]);
    assert!(server.gateway.submissions.lock().unwrap().is_empty());
}

/// Guards against accepting a key that is longer than the limit.
#[rstest]
#[tokio::test]
async fn overlong_key_is_rejected() {
    let server = TestServer::start(Behavior::Panic).await;
    let response =
        server.post("{}").header("idempotency-key", "k".repeat(256)).send().await.unwrap();
    assert_eq!(read_error(response).await.1.code, ErrorCode::BadKey);
}

/// Guards against reading a body above the size limit into memory, with and without a
/// `content-length` header.
#[rstest]
#[tokio::test]
async fn oversized_body_is_rejected(#[values(true, false)] declared: bool) {
    let server = TestServer::start(Behavior::Panic).await;
    let body = vec![b'x'; 2_048];
    let request = server.post("");
    let request = if declared {
        request.body(body)
    } else {
        let parts = body.chunks(512).map(|part| Ok::<_, std::io::Error>(part.to_vec()));
        let parts: Vec<_> = parts.collect();
        request.body(reqwest::Body::wrap_stream(futures::stream::iter(parts)))
    };
    let (status, error) = read_error(request.send().await.unwrap()).await;
    assert_eq!((status, error.code), (413, ErrorCode::BodyTooLarge));
}

/// Guards against an overflow when the largest possible deadline is converted.
#[rstest]
#[tokio::test]
async fn deadline_is_clamped() {
    let server =
        TestServer::start(Behavior::Events(vec![finished("{}", OutputFormat::Json)])).await;
    let response = server.post("{}").header("x-deadline-ms", u64::MAX.to_string()).send().await;
    assert_eq!(response.unwrap().status(), 200);
    let submissions = server.gateway.submissions.lock().unwrap();
    assert_eq!(submissions[0].deadline, Some(Span::from_secs(24 * 3_600)));
}

/// Guards against accepting a request without a workspace, and against trusting `x-workspace` when
/// the settings require credentials.
#[rstest]
#[tokio::test]
async fn workspace_requires_credential_or_trusted_header() {
    let server =
        TestServer::start(Behavior::Events(vec![finished("{}", OutputFormat::Json)])).await;
    let url = server.url("/v1/pipelines/draft");
    let response = server.client.post(&url).body("{}").send().await.unwrap();
    assert_eq!(read_error(response).await.1.code, ErrorCode::WorkspaceRequired);
    let response = server.client.post(&url).body("{}").bearer_auth("s3cret").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(
        server.gateway.submissions.lock().unwrap()[0].workspace,
        WorkspaceId::from("kollam")
    );

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gateway = Arc::clone(&server.gateway) as Arc<dyn Gateway>;
    let api = Api::new(listener, gateway, Authenticator::default(), Limits::default()).unwrap();
    let url = format!("http://{}/v1/pipelines/draft", api.address());
    tokio::spawn(api.serve());
    let response = server.client.post(&url).header("x-workspace", "kollam").body("{}").send().await;
    assert_eq!(read_error(response.unwrap()).await.1.code, ErrorCode::WorkspaceRequired);
}

/// Guards against errors of the HTTP server itself that have another body, and against a panic that
/// closes the connection or is reported as "not run".
#[rstest]
#[tokio::test]
async fn server_errors_use_the_error_body() {
    let server = TestServer::start(Behavior::Panic).await;
    let (status, error) =
        read_error(server.client.get(server.url("/nope")).send().await.unwrap()).await;
    assert_eq!((status, error.code), (404, ErrorCode::NotFound));
    let path = "/v1/pipelines/draft";
    let (status, error) =
        read_error(server.client.get(server.url(path)).send().await.unwrap()).await;
    assert_eq!((status, error.code), (405, ErrorCode::MethodNotAllowed));
    let (status, error) = read_error(server.post("{}").send().await.unwrap()).await;
    assert_eq!((status, error.code), (504, ErrorCode::Internal));
    assert_eq!(error.execution, Execution::Unknown);
    assert_eq!(server.client.get(server.url("/health")).send().await.unwrap().status(), 200);
}

/// Guards against reporting "not run" when the gateway ends a reply without a final event.
#[rstest]
#[tokio::test]
async fn reply_without_final_event(#[values("{}", r#"{"stream":true}"#)] body: &'static str) {
    let server = TestServer::start(Behavior::Events(Vec::new())).await;
    let (status, error) = read_error(server.post(body).send().await.unwrap()).await;
    assert_eq!((status, error.code), (504, ErrorCode::Internal));
}

/// Guards against work that continues after the caller disconnected.
#[rstest]
#[tokio::test]
async fn disconnect_is_reported(#[values(false, true)] stream: bool) {
    let events = if stream { vec![chunk(b"a")] } else { Vec::new() };
    let server = TestServer::start(Behavior::Stall(events)).await;
    let mut connection = TcpStream::connect(server.address).await.unwrap();
    let body = if stream { r#"{"stream":true}"# } else { "{}" };
    let head = format!(
        "POST /v1/pipelines/draft HTTP/1.1\r\nhost: a\r\nx-workspace: kollam\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    if stream {
        let mut byte = [0];
        connection.read_exact(&mut byte).await.unwrap();
    }
    while server.gateway.submissions.lock().unwrap().is_empty() {
        tokio::task::yield_now().await;
    }
    drop(connection);
    tokio::time::timeout(TEST_TIMEOUT, server.gateway.disconnected.notified()).await.unwrap();
}

/// Guards against reporting a disconnect for a finished reply.
#[rstest]
#[tokio::test]
async fn finished_reply_is_not_a_disconnect() {
    let server =
        TestServer::start(Behavior::Events(vec![finished("{}", OutputFormat::Json)])).await;
    server.post("{}").send().await.unwrap().text().await.unwrap();
    let disconnected = server.gateway.disconnected.notified();
    tokio::pin!(disconnected);
    assert!(!disconnected.as_mut().enable(), "reported a disconnect for a finished reply");
}

/// Guards against a malformed request that stops the server.
#[rstest]
#[case(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".as_slice())]
#[case(b"POST /v1/pipelines/draft HTTP/1.1\r\ncontent-length: x\r\n\r\n".as_slice())]
#[case(b"POST /v1/pipelines/%ff%fe HTTP/1.1\r\nhost: a\r\nx-workspace: k\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".as_slice())]
#[tokio::test]
async fn malformed_http_does_not_stop_the_server(#[case] bytes: &[u8]) {
    let server = TestServer::start(Behavior::Panic).await;
    let mut connection = TcpStream::connect(server.address).await.unwrap();
    connection.write_all(bytes).await.unwrap();
    connection.shutdown().await.unwrap();
    let mut answer = Vec::new();
    // A connection reset is a valid response to a malformed request.
    let _ = tokio::time::timeout(TEST_TIMEOUT, connection.read_to_end(&mut answer)).await.unwrap();
    assert_eq!(server.client.get(server.url("/health")).send().await.unwrap().status(), 200);
}

/// Guards against chunks that wait for the TCP acknowledgement of the previous chunk.
#[rstest]
#[tokio::test]
async fn accepted_connections_have_nodelay() {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    connected.unwrap();
    assert!(accepted.unwrap().0.nodelay().unwrap());
}

/// Guards against a readiness probe that lets the load balancer keep sending requests to a draining
/// entry.
#[rstest]
#[tokio::test]
async fn probes() {
    let server = TestServer::start(Behavior::Panic).await;
    assert_eq!(server.client.get(server.url("/ready")).send().await.unwrap().status(), 200);
    server.gateway.ready.store(false, Ordering::Relaxed);
    let response = server.client.get(server.url("/ready")).send().await.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.text().await.unwrap(), r#"{"status":"draining"}"#);
    assert_eq!(server.client.get(server.url("/health")).send().await.unwrap().status(), 200);
    let text =
        server.client.get(server.url("/metrics")).send().await.unwrap().text().await.unwrap();
    assert_eq!(text, "damaskweir_requests_total 1\n");
}

/// Guards against a `docs/openapi.json` that differs from the API. `UPDATE=1 cargo test -p
/// damaskweir-callers` rewrites the file.
#[rstest]
fn openapi_file_is_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let text = openapi_json().unwrap();
    if std::env::var_os("UPDATE").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    let committed = std::fs::read_to_string(&path).unwrap();
    assert!(committed == text, "docs/openapi.json differs from the API; rewrite it with UPDATE=1");
    for code in ErrorCode::ALL {
        assert!(text.contains(&format!("\"{code}\"")), "{code} is missing from docs/openapi.json");
    }
}

/// Guards against a body that makes the API panic or respond without an [`ErrorBody`], whatever its
/// bytes.
#[rstest]
#[tokio::test]
async fn arbitrary_bodies_are_answered() {
    use proptest::strategy::{Strategy, ValueTree};
    let server =
        TestServer::start(Behavior::Events(vec![finished("{}", OutputFormat::Json)])).await;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let json = "\\{\"(prompt|stream|max_tokens|x)\": ?[-0-9a-z\"\\[\\]{}. ]{0,24}\\}?";
    let bodies = proptest::prop_oneof![
        proptest::collection::vec(proptest::prelude::any::<u8>(), 0..1_200),
        json.prop_map(String::into_bytes),
    ];
    for _ in 0..400 {
        let body = bodies.new_tree(&mut runner).unwrap().current();
        let response = server.post("").body(body.clone()).send().await.unwrap();
        let status = response.status().as_u16();
        let text = response.text().await.unwrap();
        match status {
            200 => assert!(serde_json::from_slice::<serde_json::Value>(&body).is_ok(), "{text}"),
            400 | 413 => assert!(serde_json::from_str::<ErrorBody>(&text).is_ok(), "{text}"),
            other => panic!("status {other}: {text}"),
        }
    }
}
