//! What stands behind the API.

use crate::code::{ErrorCode, Execution};
use bytes::Bytes;
use damaskweir_core::ids::{Digest, PipelineId, WorkspaceId};
use damaskweir_core::time::Span;
use std::fmt;
use tokio::sync::mpsc;

/// Takes checked requests. Implemented by the entry daemon and by fakes in tests.
pub trait Gateway: Send + Sync + 'static {
    /// Takes a request; its events follow in the reply.
    fn submit(&self, submission: Submission) -> Reply;

    /// Records a request that was refused for bad input, and names it.
    fn record_rejection(&self, code: ErrorCode, workspace: Option<&WorkspaceId>) -> String;

    /// Whether the balancer should send requests here.
    fn ready(&self) -> Readiness;

    /// All metrics in the text format of Prometheus.
    fn metrics(&self) -> String;
}

/// A checked request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Pipeline to run.
    pub pipeline: PipelineId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Deadline that the caller asked for.
    pub deadline: Option<Span>,
    /// Digest of workspace and idempotency key.
    pub key_digest: Option<Digest>,
    /// The caller's body: a JSON object.
    pub body: Bytes,
    /// Digest of the body.
    pub body_digest: Digest,
    /// Tokens that the request asks for, or a guess from its length.
    pub token_estimate: u64,
    /// Digest of the start of the prompt, for affinity.
    pub prefix_digest: Option<u64>,
    /// Whether chunks are wanted as they come.
    pub stream: bool,
}

/// Whether the entry takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It does.
    Ready,
    /// It does not, for this reason.
    NotReady(String),
}

/// Something that happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyEvent {
    /// The next chunk of the output; only for streamed requests.
    Chunk(Bytes),
    /// The whole output. The last event.
    Finished(Finished),
    /// No answer can be given. The last event.
    Failed(Failed),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// Output of the last stage; begins with the chunks that were passed on.
    pub output: Bytes,
    /// How to read it.
    pub format: OutputFormat,
    /// The stages in their order.
    pub stages: Vec<StageTiming>,
}

/// How the output of a stage is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text of a model engine.
    Text,
    /// JSON of a plain service.
    Json,
}

/// Time that a stage took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageTiming {
    /// Name of the stage.
    pub stage: String,
    /// Server whose attempt won.
    pub server: String,
    /// From the start of the stage to its end, as the entry saw it.
    pub elapsed: Span,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Why.
    pub code: ErrorCode,
    /// What happened to the work.
    pub execution: Execution,
    /// The stage at which the request ended.
    pub stage: Option<String>,
    /// When a new try can help.
    pub retry_after: Option<Span>,
}

/// Sends the events of one request. Unbounded: the gateway keeps the whole output anyway, and a slow
/// caller must not hold up others.
pub type ReplySender = mpsc::UnboundedSender<ReplyEvent>;

/// The events of one request. Dropping it before the last event tells the gateway that the caller is
/// gone.
pub struct Reply {
    /// Id of the request.
    pub request: String,
    events: mpsc::UnboundedReceiver<ReplyEvent>,
    /// Taken when the last event was received.
    on_disconnect: Option<Box<dyn FnOnce() + Send + Sync>>,
}

/// Opens a reply; `gone` runs if the caller goes away before the last event.
pub fn reply_channel(
    request: String,
    on_disconnect: impl FnOnce() + Send + Sync + 'static,
) -> (ReplySender, Reply) {
    let (sender, events) = mpsc::unbounded_channel();
    (sender, Reply { request, events, on_disconnect: Some(Box::new(on_disconnect)) })
}

impl Reply {
    /// The next event; `None` after the last one.
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
