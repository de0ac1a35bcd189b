//! Sends an entry's attempts to sidecars and passes the results to the entry's state machine.

use crate::requests::{Output, PendingRequest, Shared};
use damaskweir_core::entry::EntryEvent;
use damaskweir_core::prelude::*;
use damaskweir_wire::{Attempt, AttemptMessage, Link, Payload};
use slog::debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for connecting to a sidecar and forbidding an attempt there.
const FORBID_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends one attempt to a sidecar and handles its messages until it ends.
pub(crate) async fn run_attempt(
    shared: Arc<Shared>,
    link: Option<Link>,
    dispatch: Dispatch,
    payload: Payload,
) {
    let id = dispatch.attempt;
    // Used only when the dispatch was not sent in full, so that the sidecar can't start the
    // attempt.
    let down = EntryEvent::Refused(id, Refusal::Down);
    let Some(link) = link else {
        shared.end_attempt(id, "unsent", down);
        return;
    };
    match link.dispatch(&dispatch, payload).await {
        Ok(attempt) => receive_messages(&shared, id, attempt).await,
        Err(error) => {
            let stage = shared.lock().pending.get(&id.request).and_then(PendingRequest::stage_name);
            debug!(shared.log, "attempt not sent"; "request" => %id.request,
                "workspace" => %dispatch.workspace, "stage" => stage, "attempt" => %id,
                "error" => %error);
            shared.end_attempt(id, "unsent", down);
        }
    }
}

/// Passes the sidecar's messages about an attempt on to the state machine until the attempt ends.
pub(crate) async fn receive_messages(shared: &Arc<Shared>, id: AttemptId, mut attempt: Attempt) {
    loop {
        match attempt.next().await {
            Ok(Some(AttemptMessage::Accepted)) => shared.handle_event(EntryEvent::Accepted(id)),
            Ok(Some(AttemptMessage::Chunk { index, data })) => {
                if !shared.receive_chunk(id, index, data) {
                    shared.end_attempt(id, "lost", EntryEvent::ConnectionLost(id));
                    return;
                }
            }
            Ok(Some(AttemptMessage::Refused(refusal))) => {
                shared.end_attempt(id, "refused", EntryEvent::Refused(id, refusal));
                return;
            }
            Ok(Some(AttemptMessage::Done(outcome))) => {
                let end = match outcome {
                    Outcome::Finished => "finished",
                    Outcome::Failed(_) => "failed",
                };
                if let Some(time) = attempt.service_time() {
                    shared.lock().entry.set_service_time(id, time);
                }
                shared.end_attempt(id, end, EntryEvent::Done(id, outcome));
                return;
            }
            Ok(None) | Err(_) => {
                shared.end_attempt(id, "lost", EntryEvent::ConnectionLost(id));
                return;
            }
        }
    }
}

/// A sidecar to send a forbid message to, with its open connection or the address to dial.
pub(crate) struct SidecarRef {
    pub(crate) server: ServerId,
    pub(crate) link: Option<Link>,
    pub(crate) address: Option<SocketAddr>,
}

impl SidecarRef {
    /// Returns the open connection, or dials the sidecar. A retried request can find the claim of
    /// another entry, which names a sidecar that this entry is not connected to.
    async fn connect(self, shared: &Shared) -> Option<Link> {
        match (self.link, self.address) {
            (Some(link), _) => Some(link),
            (None, Some(address)) => shared.dialer.connect(address, &self.server).await.ok(),
            (None, None) => None,
        }
    }
}

/// Asks a sidecar never to start an attempt if it has not been started, and reports its status to
/// the state machine. If the attempt finished, its answer is saved as the output.
pub(crate) async fn forbid_attempt(
    shared: Arc<Shared>,
    sidecar: SidecarRef,
    request: RequestId,
    attempt: AttemptId,
    incarnation: Incarnation,
) {
    let forbid = async {
        let link = sidecar.connect(&shared).await?;
        link.forbid(attempt, incarnation).await.ok()
    };
    let answer = timeout(FORBID_TIMEOUT, forbid).await.ok().flatten();
    if let Some((AttemptStatus::Ended(Outcome::Finished), Some(bytes))) = &answer
        && let Some(pending) = shared.lock().pending.get_mut(&request)
    {
        pending.outputs.insert(attempt, Output { chunks: vec![bytes.clone()] });
        pending.record_finished(attempt);
    }
    let status = answer.map(|(status, _)| status);
    shared.handle_event(EntryEvent::AttemptStatus(request, status));
}
