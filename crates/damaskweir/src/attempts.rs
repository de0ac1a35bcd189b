//! Attempts of an entry on their way through a side.

use crate::requests::{Output, PendingRequest, Shared};
use damaskweir_core::entry::EntryEvent;
use damaskweir_core::prelude::*;
use damaskweir_wire::{Attempt, AttemptMessage, Link, Payload};
use slog::debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time that a side may take to tell what it knows about an attempt.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes one attempt through its side.
pub(crate) async fn run_attempt(
    shared: Arc<Shared>,
    link: Option<Link>,
    dispatch: Dispatch,
    work: Payload,
) {
    let id = dispatch.attempt;
    // Nothing was sent, so the attempt is certain not to start.
    let down = EntryEvent::Refused(id, Refusal::Down);
    let Some(link) = link else {
        shared.end_attempt(id, "unsent", down);
        return;
    };
    match link.dispatch(&dispatch, work).await {
        Ok(attempt) => follow(&shared, id, attempt).await,
        Err(error) => {
            let stage = shared.lock().pending.get(&id.request).and_then(PendingRequest::stage_name);
            debug!(shared.log, "attempt not sent"; "request" => %id.request,
                "workspace" => %dispatch.workspace, "stage" => stage, "attempt" => %id,
                "error" => %error);
            shared.end_attempt(id, "unsent", down);
        }
    }
}

pub(crate) async fn follow(shared: &Arc<Shared>, id: AttemptId, mut attempt: Attempt) {
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

/// A side that may have to be dialled first.
pub(crate) struct Peer {
    pub(crate) server: ServerId,
    pub(crate) link: Option<Link>,
    pub(crate) address: Option<SocketAddr>,
}

impl Peer {
    /// A repeat through another entry may meet the claim of a side that this entry does not use.
    async fn link(self, shared: &Shared) -> Option<Link> {
        match (self.link, self.address) {
            (Some(link), _) => Some(link),
            (None, Some(address)) => shared.dialer.connect(address, &self.server).await.ok(),
            (None, None) => None,
        }
    }
}

/// Asks a side what it knows about an attempt.
pub(crate) async fn ask(
    shared: Arc<Shared>,
    peer: Peer,
    request: RequestId,
    attempt: AttemptId,
    incarnation: Incarnation,
) {
    let asked = async {
        let link = peer.link(&shared).await?;
        link.forbid(attempt, incarnation).await.ok()
    };
    let answer = timeout(ASK_TIMEOUT, asked).await.ok().flatten();
    if let Some((AttemptStatus::Ended(Outcome::Finished), Some(bytes))) = &answer
        && let Some(pending) = shared.lock().pending.get_mut(&request)
    {
        pending.outputs.insert(attempt, Output { chunks: vec![bytes.clone()] });
        pending.record_finished(attempt);
    }
    let standing = answer.map(|(standing, _)| standing);
    shared.handle_event(EntryEvent::AttemptStatus(request, standing));
}
