//! The HTTP API in front of a fake gateway.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bytes::Bytes;
use damaskweir_callers::{
    Api, Directory, ErrorBody, ErrorCode, Execution, Failed, Finished, Form, Gateway, Limits,
    Readiness, Reply, ReplyEvent, StageTiming, Submission, credential_digest, description, listen,
    reply,
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

/// A hang is a failure; no verdict depends on how long anything takes.
const HANG: Duration = Duration::from_secs(60);

/// What the fake does with a request.
#[derive(Clone)]
enum Script {
    /// Sends these events at once.
    Events(Vec<ReplyEvent>),
    /// Sends these events and then nothing.
    Stall(Vec<ReplyEvent>),
    /// Fails inside the API's handler.
    Panic,
}

struct Fake {
    script: Script,
    submissions: Mutex<Vec<Submission>>,
    refusals: Mutex<Vec<ErrorCode>>,
    ready: AtomicBool,
    gone: Arc<Notify>,
    /// Keeps stalled replies open.
    stalled: Mutex<Vec<damaskweir_callers::ReplySender>>,
}

impl Gateway for Fake {
    fn submit(&self, submission: Submission) -> Reply {
        self.submissions.lock().unwrap().push(submission);
        let gone = Arc::clone(&self.gone);
        let (sender, reply) = reply("r-1".to_owned(), move || gone.notify_one());
        match self.script.clone() {
            Script::Panic => panic!("the fake was told to panic"),
            Script::Events(events) => {
                events.into_iter().for_each(|event| sender.send(event).unwrap());
            }
            Script::Stall(events) => {
                events.into_iter().for_each(|event| sender.send(event).unwrap());
                self.stalled.lock().unwrap().push(sender);
            }
        }
        reply
    }

    fn refuse(&self, code: ErrorCode, _: Option<&WorkspaceId>) -> String {
        self.refusals.lock().unwrap().push(code);
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

struct Bed {
    fake: Arc<Fake>,
    address: SocketAddr,
    client: Client,
}

impl Bed {
    async fn start(script: Script) -> Self {
        Self::with_limits(script, Limits { body: 1_024, ..Limits::default() }).await
    }

    async fn with_limits(script: Script, limits: Limits) -> Self {
        let fake = Arc::new(Fake {
            script,
            submissions: Mutex::default(),
            refusals: Mutex::default(),
            ready: AtomicBool::new(true),
            gone: Arc::default(),
            stalled: Mutex::default(),
        });
        let credentials =
            BTreeMap::from([(credential_digest(b"s3cret"), WorkspaceId::from("kollam"))]);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let gateway = Arc::clone(&fake) as Arc<dyn Gateway>;
        let api = Api::new(listener, gateway, Directory::new(credentials, true), limits).unwrap();
        let address = api.address();
        tokio::spawn(api.serve());
        let client = Client::builder().no_proxy().timeout(HANG).build().unwrap();
        Self { fake, address, client }
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

fn finished(output: &'static str, form: Form) -> ReplyEvent {
    let stage = StageTiming {
        stage: "encode".to_owned(),
        server: "enc-1".to_owned(),
        elapsed: Span::from_millis(3),
    };
    let output = Bytes::from_static(output.as_bytes());
    ReplyEvent::Finished(Finished { output, form, stages: vec![stage] })
}

fn failed(code: ErrorCode, execution: Execution, retry: Option<Span>) -> ReplyEvent {
    ReplyEvent::Failed(Failed { code, execution, stage: Some("generate".to_owned()), retry })
}

fn chunk(bytes: &'static [u8]) -> ReplyEvent {
    ReplyEvent::Chunk(Bytes::from_static(bytes))
}

async fn error_of(response: Response) -> (u16, ErrorBody) {
    let status = response.status().as_u16();
    let text = response.text().await.unwrap();
    let body = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"));
    (status, body)
}

/// Guards against an answer that is altered, or that is not tied to the checked request.
#[rstest]
#[tokio::test]
async fn whole_answer_and_checked_request() {
    let bed = Bed::start(Script::Events(vec![finished(r#"{"a":1.50}"#, Form::Json)])).await;
    let request = bed.post(r#"{"prompt":"p"}"#);
    let request = request.header("x-deadline-ms", "250").header("idempotency-key", "order-7");
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.unwrap(), r#"{"request":"r-1","output":{"a":1.50}}"#);
    let submissions = bed.fake.submissions.lock().unwrap();
    let submission = &submissions[0];
    assert_eq!(submission.pipeline, PipelineId::from("draft"));
    assert_eq!(submission.workspace, WorkspaceId::from("kollam"));
    assert_eq!(submission.deadline, Some(Span::from_millis(250)));
    assert_eq!(submission.body, r#"{"prompt":"p"}"#);
    assert!(submission.key.is_some() && submission.prefix.is_some() && !submission.stream);
}

/// Guards against long drafts being predicted like short questions.
#[rstest]
#[case(r#"{"prompt":"p","max_tokens":900}"#, 900)]
#[case(r#"{"prompt":"pppppppp"}"#, 5)]
#[case(r#"{"max_tokens":"many"}"#, 5)]
#[tokio::test]
async fn size_of_the_request(#[case] body: &'static str, #[case] want: u64) {
    let bed = Bed::start(Script::Events(vec![finished("{}", Form::Json)])).await;
    assert_eq!(bed.post(body).send().await.unwrap().status(), 200);
    assert_eq!(bed.fake.submissions.lock().unwrap()[0].size, want);
}

/// Guards against text of an engine that looks like JSON being given another type.
#[rstest]
#[case("42", Form::Text, r#""42""#)]
#[case("42", Form::Json, "42")]
#[case("not json", Form::Json, r#""not json""#)]
#[tokio::test]
async fn output_keeps_its_form(
    #[case] output: &'static str,
    #[case] form: Form,
    #[case] want: &str,
) {
    let bed = Bed::start(Script::Events(vec![finished(output, form)])).await;
    let text = bed.post("{}").send().await.unwrap().text().await.unwrap();
    assert_eq!(text, format!(r#"{{"request":"r-1","output":{want}}}"#));
}

/// Guards against server names reaching callers of an entry that is not set to name them.
#[rstest]
#[tokio::test]
async fn stages_are_named_only_by_setting() {
    let script = Script::Events(vec![finished("{}", Form::Json)]);
    let limits = Limits { stages: true, ..Limits::default() };
    let shown = Bed::with_limits(script.clone(), limits).await;
    let text = shown.post("{}").send().await.unwrap().text().await.unwrap();
    assert!(text.contains(r#""stages":[{"stage":"encode","server":"enc-1","ms":3.0}]"#), "{text}");
    let hidden = Bed::start(script).await;
    let text = hidden.post("{}").send().await.unwrap().text().await.unwrap();
    assert!(!text.contains("enc-1"), "{text}");
}

/// Guards against chunks that are reordered, dropped, repeated or cut inside a character.
#[rstest]
#[case::by_body(r#"{"stream":true}"#, None)]
#[case::by_header("{}", Some("text/event-stream"))]
#[tokio::test]
async fn stream_in_order(#[case] body: &'static str, #[case] accept: Option<&str>) {
    let events = vec![
        chunk(b"one "),
        chunk(b"\xc3"),
        chunk(b"\xa9t\xc3\xa9 "),
        chunk(b"two"),
        finished("one été two and more", Form::Text),
    ];
    let bed = Bed::start(Script::Events(events)).await;
    let request = bed.post(body);
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

/// Guards against a streamed repeat of a finished call getting an empty answer.
#[rstest]
#[tokio::test]
async fn stream_of_kept_answer() {
    let bed = Bed::start(Script::Events(vec![finished(r#"{"id":7}"#, Form::Json)])).await;
    let text = bed.post(r#"{"stream":true}"#).send().await.unwrap().text().await.unwrap();
    assert!(text.contains(r#"{"text":"{\"id\":7}"}"#), "{text}");
    assert!(text.contains(r#""chunks":1"#), "{text}");
}

/// Guards against a stream hiding a final error: before the first chunk it has its own status, and
/// afterwards it is the last event.
#[rstest]
#[tokio::test]
async fn stream_errors() {
    let error = failed(ErrorCode::StageFailed, Execution::Ran, None);
    let early = Bed::start(Script::Events(vec![error.clone()])).await;
    let response = early.post(r#"{"stream":true}"#).send().await.unwrap();
    assert_eq!(error_of(response).await.0, 502);

    let late = Bed::start(Script::Events(vec![chunk(b"a"), error])).await;
    let response = late.post(r#"{"stream":true}"#).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let text = response.text().await.unwrap();
    let last = text.trim_end().rsplit("\n\n").next().unwrap();
    assert!(last.contains("error") && last.contains(r#""code":"stage_failed""#), "{text}");
    assert!(last.contains(r#""execution":"ran""#), "{text}");
}

/// Guards against a caller taking work that ran, or may have run, for work that did not: the status
/// alone tells them apart for every code.
#[rstest]
fn statuses_tell_executions_apart() {
    for code in ErrorCode::ALL {
        assert_eq!(code.status(Execution::Unknown), 504, "{code}");
        assert_eq!(code.status(Execution::Ran), 502, "{code}");
        assert!(![502, 504].contains(&code.status(Execution::NotRun)), "{code}");
    }
}

/// Guards against a code whose name differs between the core, the API and JSON.
#[rstest]
fn names_agree_with_core() {
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

/// Guards against an error of the gateway that loses a member on its way to the caller, for every
/// code and execution.
#[rstest]
#[tokio::test]
async fn every_gateway_error(
    #[values(Execution::NotRun, Execution::Unknown, Execution::Ran)] execution: Execution,
) {
    for code in ErrorCode::ALL {
        let retry = Some(Span(1_000_500));
        let bed = Bed::start(Script::Events(vec![failed(code, execution, retry)])).await;
        let response = bed.post("{}").send().await.unwrap();
        assert_eq!(response.headers()["retry-after"], "2", "rounded up");
        let (status, body) = error_of(response).await;
        assert_eq!(status, code.status(execution));
        assert_eq!((body.code, body.execution), (code, execution));
        assert_eq!(body.stage.as_deref(), Some("generate"));
        assert_eq!(body.request, "r-1");
        assert_eq!(body.retry_after_ms, Some(1_001));
        assert!(!body.message.is_empty());
    }
}

/// Guards against a retry hint where a retry can't help.
#[rstest]
#[tokio::test]
async fn no_retry_hint_without_one() {
    let event = failed(ErrorCode::OutcomeUnknown, Execution::Unknown, None);
    let bed = Bed::start(Script::Events(vec![event])).await;
    let response = bed.post("{}").send().await.unwrap();
    assert!(!response.headers().contains_key("retry-after"));
    assert_eq!(error_of(response).await.1.retry_after_ms, None);
}

/// Guards against bad input that passes, panics or gets a wrong code.
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
async fn bad_input(
    #[case] body: &'static str,
    #[case] headers: &[(&'static str, &'static str)],
    #[case] code: ErrorCode,
    #[case] status: u16,
) {
    let bed = Bed::start(Script::Panic).await;
    let mut request = bed.post(body).build().unwrap();
    for (name, value) in headers {
        request.headers_mut().insert(*name, value.parse().unwrap());
    }
    let (got, error) = error_of(bed.client.execute(request).await.unwrap()).await;
    assert_eq!((got, error.code, error.execution), (status, code, Execution::NotRun));
    assert_eq!(error.request, "refused-1");
    assert_eq!(*bed.fake.refusals.lock().unwrap(), [code]);
    assert!(bed.fake.submissions.lock().unwrap().is_empty());
}

/// Guards against a key that is longer than the limit being taken.
#[rstest]
#[tokio::test]
async fn long_key() {
    let bed = Bed::start(Script::Panic).await;
    let response = bed.post("{}").header("idempotency-key", "k".repeat(256)).send().await.unwrap();
    assert_eq!(error_of(response).await.1.code, ErrorCode::BadKey);
}

/// Guards against a body above the limit being read into memory, whether its length is declared or
/// not.
#[rstest]
#[tokio::test]
async fn large_body(#[values(true, false)] declared: bool) {
    let bed = Bed::start(Script::Panic).await;
    let body = vec![b'x'; 2_048];
    let request = bed.post("");
    let request = if declared {
        request.body(body)
    } else {
        let parts = body.chunks(512).map(|part| Ok::<_, std::io::Error>(part.to_vec()));
        let parts: Vec<_> = parts.collect();
        request.body(reqwest::Body::wrap_stream(futures::stream::iter(parts)))
    };
    let (status, error) = error_of(request.send().await.unwrap()).await;
    assert_eq!((status, error.code), (413, ErrorCode::BodyTooLarge));
}

/// Guards against a deadline that overflows when it is converted.
#[rstest]
#[tokio::test]
async fn largest_deadline() {
    let bed = Bed::start(Script::Events(vec![finished("{}", Form::Json)])).await;
    let response = bed.post("{}").header("x-deadline-ms", u64::MAX.to_string()).send().await;
    assert_eq!(response.unwrap().status(), 200);
    let submissions = bed.fake.submissions.lock().unwrap();
    assert_eq!(submissions[0].deadline, Some(Span::from_secs(24 * 3_600)));
}

/// Guards against a request without a workspace, and against a header that is believed by an entry
/// whose settings demand credentials.
#[rstest]
#[tokio::test]
async fn workspace_rules() {
    let bed = Bed::start(Script::Events(vec![finished("{}", Form::Json)])).await;
    let url = bed.url("/v1/pipelines/draft");
    let response = bed.client.post(&url).body("{}").send().await.unwrap();
    assert_eq!(error_of(response).await.1.code, ErrorCode::WorkspaceRequired);
    let response = bed.client.post(&url).body("{}").bearer_auth("s3cret").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(bed.fake.submissions.lock().unwrap()[0].workspace, WorkspaceId::from("kollam"));

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gateway = Arc::clone(&bed.fake) as Arc<dyn Gateway>;
    let api = Api::new(listener, gateway, Directory::default(), Limits::default()).unwrap();
    let url = format!("http://{}/v1/pipelines/draft", api.address());
    tokio::spawn(api.serve());
    let response = bed.client.post(&url).header("x-workspace", "kollam").body("{}").send().await;
    assert_eq!(error_of(response.unwrap()).await.1.code, ErrorCode::WorkspaceRequired);
}

/// Guards against errors of the server itself that have another shape, and against a panic that ends
/// the connection or claims that nothing ran.
#[rstest]
#[tokio::test]
async fn server_errors() {
    let bed = Bed::start(Script::Panic).await;
    let (status, error) = error_of(bed.client.get(bed.url("/nope")).send().await.unwrap()).await;
    assert_eq!((status, error.code), (404, ErrorCode::NotFound));
    let path = "/v1/pipelines/draft";
    let (status, error) = error_of(bed.client.get(bed.url(path)).send().await.unwrap()).await;
    assert_eq!((status, error.code), (405, ErrorCode::MethodNotAllowed));
    let (status, error) = error_of(bed.post("{}").send().await.unwrap()).await;
    assert_eq!((status, error.code), (504, ErrorCode::Internal));
    assert_eq!(error.execution, Execution::Unknown);
    assert_eq!(bed.client.get(bed.url("/health")).send().await.unwrap().status(), 200);
}

/// Guards against a gateway that ends without a final answer being read as "not run".
#[rstest]
#[tokio::test]
async fn broken_reply(#[values("{}", r#"{"stream":true}"#)] body: &'static str) {
    let bed = Bed::start(Script::Events(Vec::new())).await;
    let (status, error) = error_of(bed.post(body).send().await.unwrap()).await;
    assert_eq!((status, error.code), (504, ErrorCode::Internal));
}

/// Guards against work that goes on for a caller who went away.
#[rstest]
#[tokio::test]
async fn caller_goes_away(#[values(false, true)] stream: bool) {
    let events = if stream { vec![chunk(b"a")] } else { Vec::new() };
    let bed = Bed::start(Script::Stall(events)).await;
    let mut connection = TcpStream::connect(bed.address).await.unwrap();
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
    while bed.fake.submissions.lock().unwrap().is_empty() {
        tokio::task::yield_now().await;
    }
    drop(connection);
    tokio::time::timeout(HANG, bed.fake.gone.notified()).await.unwrap();
}

/// Guards against a finished reply that is reported as abandoned.
#[rstest]
#[tokio::test]
async fn finished_reply_is_not_gone() {
    let bed = Bed::start(Script::Events(vec![finished("{}", Form::Json)])).await;
    bed.post("{}").send().await.unwrap().text().await.unwrap();
    let gone = bed.fake.gone.notified();
    tokio::pin!(gone);
    assert!(!gone.as_mut().enable(), "nobody went away");
}

/// Guards against a garbage request line that ends the server.
#[rstest]
#[case(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".as_slice())]
#[case(b"POST /v1/pipelines/draft HTTP/1.1\r\ncontent-length: x\r\n\r\n".as_slice())]
#[case(b"POST /v1/pipelines/%ff%fe HTTP/1.1\r\nhost: a\r\nx-workspace: k\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".as_slice())]
#[tokio::test]
async fn garbage(#[case] bytes: &[u8]) {
    let bed = Bed::start(Script::Panic).await;
    let mut connection = TcpStream::connect(bed.address).await.unwrap();
    connection.write_all(bytes).await.unwrap();
    connection.shutdown().await.unwrap();
    let mut answer = Vec::new();
    // A reset is a valid answer to garbage.
    let _ = tokio::time::timeout(HANG, connection.read_to_end(&mut answer)).await.unwrap();
    assert_eq!(bed.client.get(bed.url("/health")).send().await.unwrap().status(), 200);
}

/// Guards against chunks that wait for the caller's acknowledgement of the chunk before.
#[rstest]
#[tokio::test]
async fn connections_send_without_delay() {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    connected.unwrap();
    assert!(accepted.unwrap().0.nodelay().unwrap());
}

/// Guards against a balancer that keeps sending to an entry that drains.
#[rstest]
#[tokio::test]
async fn probes() {
    let bed = Bed::start(Script::Panic).await;
    assert_eq!(bed.client.get(bed.url("/ready")).send().await.unwrap().status(), 200);
    bed.fake.ready.store(false, Ordering::Relaxed);
    let response = bed.client.get(bed.url("/ready")).send().await.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.text().await.unwrap(), r#"{"status":"draining"}"#);
    assert_eq!(bed.client.get(bed.url("/health")).send().await.unwrap().status(), 200);
    let text = bed.client.get(bed.url("/metrics")).send().await.unwrap().text().await.unwrap();
    assert_eq!(text, "damaskweir_requests_total 1\n");
}

/// Guards against docs/openapi.json that differs from the API. `UPDATE=1 cargo test -p
/// damaskweir-callers` rewrites it.
#[rstest]
fn description_is_committed() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let text = description().unwrap();
    if std::env::var_os("UPDATE").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    let committed = std::fs::read_to_string(&path).unwrap();
    assert!(committed == text, "docs/openapi.json differs from the API; rewrite it with UPDATE=1");
    for code in ErrorCode::ALL {
        assert!(text.contains(&format!("\"{code}\"")), "{code} is not described");
    }
}

/// Guards against a body that makes the API panic or answer without the error shape, whatever its bytes.
#[rstest]
#[tokio::test]
async fn any_body_is_answered() {
    use proptest::strategy::{Strategy, ValueTree};
    let bed = Bed::start(Script::Events(vec![finished("{}", Form::Json)])).await;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let json = "\\{\"(prompt|stream|max_tokens|x)\": ?[-0-9a-z\"\\[\\]{}. ]{0,24}\\}?";
    let bodies = proptest::prop_oneof![
        proptest::collection::vec(proptest::prelude::any::<u8>(), 0..1_200),
        json.prop_map(String::into_bytes),
    ];
    for _ in 0..400 {
        let body = bodies.new_tree(&mut runner).unwrap().current();
        let response = bed.post("").body(body.clone()).send().await.unwrap();
        let status = response.status().as_u16();
        let text = response.text().await.unwrap();
        match status {
            200 => assert!(serde_json::from_slice::<serde_json::Value>(&body).is_ok(), "{text}"),
            400 | 413 => assert!(serde_json::from_str::<ErrorBody>(&text).is_ok(), "{text}"),
            other => panic!("status {other}: {text}"),
        }
    }
}
