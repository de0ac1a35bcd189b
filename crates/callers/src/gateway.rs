//! Interface between the API and the component that runs requests.

use crate::code::{ErrorCode, Execution};
use bytes::Bytes;
use damaskweir_core::ids::{Digest, PipelineId, WorkspaceId};
use damaskweir_core::time::Span;
use std::fmt;
use tokio::sync::mpsc;

/// Runs validated requests. Implemented by the entry and by fakes in tests.
pub trait Gateway: Send + Sync + 'static {
    /// Submits a request; its events arrive through the returned reply.
    fn submit(&self, submission: Submission) -> Reply;

    /// Records a request that was rejected for invalid input, and returns its request id.
    fn record_rejection(&self, code: ErrorCode, workspace: Option<&WorkspaceId>) -> String;

    /// Returns whether the load balancer should send requests to this entry.
    fn ready(&self) -> Readiness;

    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// A validated request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Pipeline to run.
    pub pipeline: PipelineId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Deadline that the caller requested, relative to its arrival.
    pub deadline: Option<Span>,
    /// Digest of the workspace and the idempotency key, if there is one.
    pub key_digest: Option<Digest>,
    /// Request body, a JSON object.
    pub body: Bytes,
    /// Digest of the request body.
    pub body_digest: Digest,
    /// `max_tokens` of the request, or an estimate from the length of its body.
    pub token_estimate: u64,
    /// Digest of the start of the prompt, for prefix affinity.
    pub prefix_digest: Option<u64>,
    /// Whether the output is streamed to the caller in chunks.
    pub stream: bool,
}

/// Whether the entry accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The entry accepts requests.
    Ready,
    /// The entry does not accept requests, for this reason.
    NotReady(String),
}

/// Event of a submitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyEvent {
    /// The next chunk of the output; only for streamed requests.
    Chunk(Bytes),
    /// The request succeeded. This is the last event.
    Finished(Finished),
    /// The request failed. This is the last event.
    Failed(Failed),
}

/// Result of a successful request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// Complete output of the last stage, including the part that was sent as chunks.
    pub output: Bytes,
    /// Format of the output.
    pub format: OutputFormat,
    /// Timings of the stages, in execution order.
    pub stages: Vec<StageTiming>,
}

/// Format of the output of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text of a model engine.
    Text,
    /// JSON of a plain service.
    Json,
}

/// Execution time of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageTiming {
    /// Name of the stage.
    pub stage: String,
    /// Server whose attempt supplied the output.
    pub server: String,
    /// Time from the start of the stage to its end, measured by the entry.
    pub elapsed: Span,
}

/// Error that ended a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Error code.
    pub code: ErrorCode,
    /// Whether any work ran.
    pub execution: Execution,
    /// Stage at which the request ended, if it reached one.
    pub stage: Option<String>,
    /// Time after which a retry can succeed; `None` if a retry can't help.
    pub retry_after: Option<Span>,
}

/// Sends the events of one request. The channel is unbounded: the gateway keeps the complete output
/// anyway, and a slow caller must not block other requests.
pub type ReplySender = mpsc::UnboundedSender<ReplyEvent>;

/// Receives the events of one request. Dropping it before the last event tells the gateway that the
/// caller disconnected.
pub struct Reply {
    /// Id of the request.
    pub request: String,
    events: mpsc::UnboundedReceiver<ReplyEvent>,
    /// Called on drop; cleared when the last event is received.
    on_disconnect: Option<Box<dyn FnOnce() + Send + Sync>>,
}

/// Creates a reply channel. `on_disconnect` runs if the caller disconnects before the last event.
pub fn reply_channel(
    request: String,
    on_disconnect: impl FnOnce() + Send + Sync + 'static,
) -> (ReplySender, Reply) {
    let (sender, events) = mpsc::unbounded_channel();
    (sender, Reply { request, events, on_disconnect: Some(Box::new(on_disconnect)) })
}

impl Reply {
    /// Returns the next event, or `None` after the last one.
    pub async fn next(&mut self) -> Option<ReplyEvent> {
        let event = self.events.recv().await;
        if !matches!(event, Some(ReplyEvent::Chunk(_))) {
            self.on_disconnect = None;
        }
        event
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if let Some(on_disconnect) = self.on_disconnect.take() {
            on_disconnect();
        }
    }
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply").field("request", &self.request).finish_non_exhaustive()
    }
}
