//! Endpoint that runs a pipeline.

use crate::api::State;
use crate::code::ErrorCode;
use crate::error::ErrorBody;
use crate::gateway::{Failed, Finished, OutputFormat, Reply, ReplyEvent, StageTiming, Submission};
use bytes::{Bytes, BytesMut};
use damaskweir_core::ids::{Digest, PipelineId, WorkspaceId};
use damaskweir_core::time::Span;
use futures::stream;
use salvo::http::{HeaderMap, ParseError, header};
use salvo::oapi::{ToSchema, endpoint};
use salvo::sse::{self, SseEvent};
use salvo::writing::Json;
use salvo::{Depot, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};
use sha2::{Digest as _, Sha256};
use std::convert::Infallible;

/// Maximum deadline in milliseconds; a longer one is clamped. The ceiling of every pipeline is far
/// lower.
const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Assumed bytes per token, to estimate the number of tokens from the length of a body that has no
/// `max_tokens`.
const BYTES_PER_TOKEN: u64 = 4;
/// Number of bytes at the start of a prompt that are hashed for prefix affinity.
const PREFIX_BYTES: usize = 512;

/// A whole answer.
#[derive(Debug, Serialize, ToSchema)]
pub(crate) struct Completion {
    /// Id of the request, as in the entry's log.
    pub(crate) request: String,
    /// Output of the last stage: text of a model engine, or JSON of a plain service.
    #[salvo(schema(value_type = serde_json::Value))]
    pub(crate) output: Box<RawValue>,
    /// The stages, when the entry is set to name them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) stages: Option<Vec<StageItem>>,
}

/// A stage of a whole answer.
#[derive(Debug, Serialize, ToSchema)]
pub(crate) struct StageItem {
    /// Name of the stage.
    pub(crate) stage: String,
    /// Server that gave its output.
    pub(crate) server: String,
    /// Time in milliseconds.
    pub(crate) ms: f64,
}

/// Data of a `chunk` event.
#[derive(Debug, Serialize, ToSchema)]
pub(crate) struct ChunkItem {
    /// The next part of the output.
    pub(crate) text: String,
}

/// Data of the `done` event.
#[derive(Debug, Serialize, ToSchema)]
pub(crate) struct DoneItem {
    /// Id of the request, as in the entry's log.
    pub(crate) request: String,
    /// Number of `chunk` events before.
    pub(crate) chunks: u32,
    /// The stages, when the entry is set to name them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) stages: Option<Vec<StageItem>>,
}

/// Fields of the request body that the API itself reads.
#[derive(Debug, Deserialize)]
struct RequestFields {
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Option<serde_json::Value>,
    #[serde(default)]
    max_tokens: Option<serde_json::Value>,
}

/// Runs a pipeline on the body.
///
/// The answer is given whole, or as server-sent events when the caller accepts `text/event-stream` or
/// sends `"stream": true`: `chunk` events in order, then one `done` or one `error` event. A stream that
/// ends without either was cut off; its outcome is unknown.
#[endpoint(
    operation_id = "run_pipeline",
    tags("pipelines"),
    parameters(
        ("name" = String, Path, description = "Pipeline."),
        ("x-workspace" = Option<String>, Header, description = "Workspace of the caller; may be left out with a credential."),
        ("authorization" = Option<String>, Header, description = "`Bearer` and a credential that settings map to a workspace."),
        ("x-deadline-ms" = Option<u64>, Header, description = "Deadline in milliseconds from now; the pipeline's deadline is the ceiling and the default."),
        ("idempotency-key" = Option<String>, Header, description = "1 to 255 visible ASCII characters. Required by pipelines with a stage that may run only once.")
    ),
    request_body(content = serde_json::Value, content_type = "application/json", description = "A JSON object; `stream` asks for server-sent events."),
    responses(
        (status_code = 200, body = Completion, description = "The whole answer, or server-sent events."),
        (status_code = 400, body = ErrorBody, description = "body_malformed, body_unreadable, bad_deadline, bad_key, key_required; not run."),
        (status_code = 401, body = ErrorBody, description = "workspace_required, unknown_credential; not run."),
        (status_code = 403, body = ErrorBody, description = "workspace_denied, unknown_workspace; not run."),
        (status_code = 404, body = ErrorBody, description = "not_found, unknown_pipeline; not run."),
        (status_code = 405, body = ErrorBody, description = "method_not_allowed; not run."),
        (status_code = 409, body = ErrorBody, description = "key_reused; not run."),
        (status_code = 413, body = ErrorBody, description = "body_too_large; not run."),
        (status_code = 415, body = ErrorBody, description = "unsupported_media_type; not run."),
        (status_code = 422, body = ErrorBody, description = "deadline_too_short; not run."),
        (status_code = 429, body = ErrorBody, description = "workspace_limit; not run."),
        (status_code = 500, body = ErrorBody, description = "internal; not run."),
        (status_code = 502, body = ErrorBody, description = "Some of the work ran, and there is no answer."),
        (status_code = 503, body = ErrorBody, description = "overloaded, unavailable, draining, store_down, deadline_exceeded, stage_failed; not run."),
        (status_code = 504, body = ErrorBody, description = "Some of the work may have run, and there is no answer.")
    )
)]
pub(crate) async fn run_pipeline(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Ok(state) = depot.get_typed::<State>().cloned() else {
        res.render(ErrorBody::rejection(ErrorCode::Internal, String::new()));
        return;
    };
    let workspace = state.authenticator.resolve(req.headers());
    let resolved = workspace.as_ref().ok().cloned();
    let validated = match workspace {
        Ok(workspace) => validate(&state, req, workspace).await,
        Err(code) => Err(code),
    };
    match validated {
        Err(code) => {
            let request = state.gateway.record_rejection(code, resolved.as_ref());
            res.render(ErrorBody::rejection(code, request));
        }
        Ok(submission) => {
            let stream = submission.stream;
            let reply = state.gateway.submit(submission);
            if stream {
                respond_with_events(reply, state.limits.expose_stages, res).await;
            } else {
                respond_with_json(reply, state.limits.expose_stages, res).await;
            }
        }
    }
}

async fn validate(
    state: &State,
    req: &mut Request,
    workspace: WorkspaceId,
) -> Result<Submission, ErrorCode> {
    let headers = req.headers();
    check_media_type(headers)?;
    let deadline = parse_deadline(headers)?;
    let key_digest = hash_key(headers, &workspace)?;
    let accepts_events = headers
        .get_all(header::ACCEPT)
        .iter()
        .any(|value| value.to_str().is_ok_and(|value| value.contains("text/event-stream")));
    let name = req.param::<String>("name").ok_or(ErrorCode::UnknownPipeline)?;
    let body = read_body(req, state.limits.max_body).await?;
    let fields = parse_fields(&body)?;
    let tokens = fields.max_tokens.as_ref().and_then(serde_json::Value::as_u64);
    let token_estimate = tokens.unwrap_or(body.len() as u64 / BYTES_PER_TOKEN);
    let prefix_digest = fields.prompt.as_ref().and_then(|prompt| prompt.as_str()).map(hash_prefix);
    Ok(Submission {
        pipeline: PipelineId::from(name.as_str()),
        workspace,
        deadline,
        key_digest,
        body_digest: Digest(Sha256::digest(&body).into()),
        body,
        token_estimate,
        prefix_digest,
        stream: accepts_events || fields.stream,
    })
}

fn check_media_type(headers: &HeaderMap) -> Result<(), ErrorCode> {
    let Some(value) = headers.get(header::CONTENT_TYPE) else { return Ok(()) };
    let value = value.to_str().unwrap_or_default();
    let essence = value.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        Ok(())
    } else {
        Err(ErrorCode::UnsupportedMediaType)
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Span>, ErrorCode> {
    let Some(value) = headers.get("x-deadline-ms") else { return Ok(None) };
    let millis: u64 =
        value.to_str().ok().and_then(|v| v.parse().ok()).ok_or(ErrorCode::BadDeadline)?;
    if millis == 0 {
        return Err(ErrorCode::BadDeadline);
    }
    Ok(Some(Span::from_millis(millis.min(MAX_DEADLINE_MS))))
}

/// Hashes the workspace and the idempotency key. The length of the workspace comes first, so that
/// no two pairs have the same hash input.
fn hash_key(headers: &HeaderMap, workspace: &WorkspaceId) -> Result<Option<Digest>, ErrorCode> {
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let key = value.as_bytes();
    let valid = (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic);
    if !valid {
        return Err(ErrorCode::BadKey);
    }
    let workspace = workspace.as_str().as_bytes();
    let digest = Sha256::new()
        .chain_update((workspace.len() as u64).to_be_bytes())
        .chain_update(workspace)
        .chain_update(key);
    Ok(Some(Digest(digest.finalize().into())))
}

async fn read_body(req: &mut Request, limit: usize) -> Result<Bytes, ErrorCode> {
    let declared = req.headers().get(header::CONTENT_LENGTH);
    let declared: Option<u64> = declared.and_then(|v| v.to_str().ok()?.parse().ok());
    if declared.is_some_and(|length| length > limit as u64) {
        return Err(ErrorCode::BodyTooLarge);
    }
    match req.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(ErrorCode::BodyTooLarge),
        Err(_) => Err(ErrorCode::BodyUnreadable),
    }
}

fn parse_fields(body: &[u8]) -> Result<RequestFields, ErrorCode> {
    // serde would also deserialize `RequestFields` from an array.
    if !body.trim_ascii_start().starts_with(b"{") {
        return Err(ErrorCode::BodyMalformed);
    }
    serde_json::from_slice(body).map_err(|_| ErrorCode::BodyMalformed)
}

fn hash_prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    digest.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

async fn respond_with_json(mut reply: Reply, expose_stages: bool, res: &mut Response) {
    loop {
        match reply.next().await {
            Some(ReplyEvent::Chunk(_)) => {}
            Some(ReplyEvent::Finished(finished)) => {
                res.render(Json(build_completion(&finished, reply.request.clone(), expose_stages)));
                return;
            }
            Some(ReplyEvent::Failed(failed)) => {
                res.render(ErrorBody::from_failed(failed, reply.request.clone()));
                return;
            }
            None => {
                res.render(ErrorBody::unknown_execution(reply.request.clone()));
                return;
            }
        }
    }
}

fn build_completion(finished: &Finished, request: String, expose_stages: bool) -> Completion {
    Completion {
        request,
        output: raw_output(finished),
        stages: expose_stages.then(|| stage_items(&finished.stages)),
    }
}

/// Returns the output as JSON. Output of a service that is not valid JSON becomes a JSON string, so
/// that it is not lost.
fn raw_output(finished: &Finished) -> Box<RawValue> {
    if finished.format == OutputFormat::Json
        && let Ok(value) = serde_json::from_slice::<Box<RawValue>>(&finished.output)
    {
        return value;
    }
    let text = String::from_utf8_lossy(&finished.output);
    to_raw_value(&text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

fn stage_items(stages: &[StageTiming]) -> Vec<StageItem> {
    let item = |timing: &StageTiming| StageItem {
        stage: timing.stage.clone(),
        server: timing.server.clone(),
        ms: timing.elapsed.as_secs_f64() * 1e3,
    };
    stages.iter().map(item).collect()
}

/// State of a stream of server-sent events.
struct StreamState {
    reply: Reply,
    expose_stages: bool,
    /// Event that was received but is not processed yet.
    pending: Option<ReplyEvent>,
    chunks: u32,
    /// Number of output bytes received so far.
    received: usize,
    /// Start of a UTF-8 character whose remaining bytes have not arrived.
    undecoded: BytesMut,
    ended: bool,
}

/// Waits for the first event before it responds, so that an error before any chunk is sent with its
/// own HTTP status.
async fn respond_with_events(mut reply: Reply, expose_stages: bool, res: &mut Response) {
    let first = reply.next().await;
    match first {
        Some(ReplyEvent::Failed(failed)) => {
            res.render(ErrorBody::from_failed(failed, reply.request.clone()));
        }
        None => res.render(ErrorBody::unknown_execution(reply.request.clone())),
        pending @ Some(_) => {
            let state = StreamState {
                reply,
                expose_stages,
                pending,
                chunks: 0,
                received: 0,
                undecoded: BytesMut::new(),
                ended: false,
            };
            let events = stream::unfold(state, |mut state| async move {
                state.next_event().await.map(|event| (Ok::<_, Infallible>(event), state))
            });
            sse::stream(res, events);
        }
    }
}

impl StreamState {
    async fn next_event(&mut self) -> Option<SseEvent> {
        if self.ended {
            return None;
        }
        loop {
            let event = match self.pending.take() {
                Some(event) => Some(event),
                None => self.reply.next().await,
            };
            match event {
                Some(ReplyEvent::Chunk(bytes)) => {
                    self.received += bytes.len();
                    self.undecoded.extend_from_slice(&bytes);
                    let text = decode_complete(&mut self.undecoded);
                    if !text.is_empty() {
                        return Some(self.chunk_event(text));
                    }
                }
                Some(ReplyEvent::Finished(finished)) => {
                    // A repeated request whose result is stored gets no chunks; its entire output
                    // is here.
                    let rest = finished.output.get(self.received..).unwrap_or_default();
                    self.undecoded.extend_from_slice(rest);
                    self.received += rest.len();
                    if !self.undecoded.is_empty() {
                        let text = String::from_utf8_lossy(&self.undecoded.split()).into_owned();
                        self.pending = Some(ReplyEvent::Finished(finished));
                        return Some(self.chunk_event(text));
                    }
                    self.ended = true;
                    let stages = self.expose_stages.then(|| stage_items(&finished.stages));
                    let request = self.reply.request.clone();
                    let done = DoneItem { request, chunks: self.chunks, stages };
                    return Some(build_event("done", &done));
                }
                Some(ReplyEvent::Failed(failed)) => return Some(self.error_event(failed)),
                None => {
                    self.ended = true;
                    let body = ErrorBody::unknown_execution(self.reply.request.clone());
                    return Some(build_event("error", &body));
                }
            }
        }
    }

    fn chunk_event(&mut self, text: String) -> SseEvent {
        let event = build_event("chunk", &ChunkItem { text }).id(self.chunks.to_string());
        self.chunks += 1;
        event
    }

    fn error_event(&mut self, failed: Failed) -> SseEvent {
        self.ended = true;
        let body = ErrorBody::from_failed(failed, self.reply.request.clone());
        build_event("error", &body)
    }
}

/// Removes and returns all complete UTF-8 characters. An incomplete last character stays in the
/// buffer, unless an earlier byte is invalid: then everything is returned, with U+FFFD for invalid
/// bytes.
fn decode_complete(undecoded: &mut BytesMut) -> String {
    let complete = match std::str::from_utf8(undecoded) {
        Ok(text) => text.len(),
        Err(error) if error.error_len().is_none() => error.valid_up_to(),
        Err(_) => undecoded.len(),
    };
    String::from_utf8_lossy(&undecoded.split_to(complete)).into_owned()
}

fn build_event(name: &str, data: &impl Serialize) -> SseEvent {
    let event = SseEvent::default().name(name);
    event.json(data).unwrap_or_else(|_| SseEvent::default().name(name))
}
