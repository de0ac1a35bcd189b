//! Attempts of an entry on their way through a side.

use crate::requests::{Open, Output, Shared};
use damaskweir_core::entry::EntryEvent;
use damaskweir_core::prelude::*;
use damaskweir_wire::{Attempt, Link, ToEntry, Work};
use slog::debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time that a side may take to tell what it knows about an attempt.
const FORBID_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes one attempt through its side.
pub(crate) async fn run_attempt(
    shared: Arc<Shared>,
    link: Option<Link>,
    dispatch: Dispatch,
    work: Work,
) {
    let id = dispatch.attempt;
    // Nothing was sent, so the attempt is certain not to start.
    let down = EntryEvent::Refused(id, Refusal::Down);
    let Some(link) = link else {
        shared.ended(id, "unsent", down);
        return;
    };
    match link.dispatch(&dispatch, work).await {
        Ok(attempt) => receive_messages(&shared, id, attempt).await,
        Err(error) => {
            let stage = shared.lock().open.get(&id.request).and_then(Open::stage_name);
            debug!(shared.log, "attempt not sent"; "request" => %id.request,
                "workspace" => %dispatch.workspace, "stage" => stage, "attempt" => %id,
                "error" => %error);
            shared.ended(id, "unsent", down);
        }
    }
}

pub(crate) async fn receive_messages(shared: &Arc<Shared>, id: AttemptId, mut attempt: Attempt) {
    loop {
        match attempt.next().await {
            Ok(Some(ToEntry::Accepted)) => shared.event(EntryEvent::Accepted(id)),
            Ok(Some(ToEntry::Chunk { index, data })) => {
                if !shared.chunk(id, index, data) {
                    shared.ended(id, "lost", EntryEvent::ConnectionLost(id));
                    return;
                }
            }
            Ok(Some(ToEntry::Refused(refusal))) => {
                shared.ended(id, "refused", EntryEvent::Refused(id, refusal));
                return;
            }
            Ok(Some(ToEntry::Done(outcome))) => {
                let end = match outcome {
                    Outcome::Finished => "finished",
                    Outcome::Failed(_) => "failed",
                };
                if let Some(time) = attempt.served() {
                    shared.lock().entry.set_service_time(id, time);
                }
                shared.ended(id, end, EntryEvent::Done(id, outcome));
                return;
            }
            Ok(None) | Err(_) => {
                shared.ended(id, "lost", EntryEvent::ConnectionLost(id));
                return;
            }
        }
    }
}

/// A side that may have to be dialled first.
pub(crate) struct SidecarRef {
    pub(crate) server: ServerId,
    pub(crate) link: Option<Link>,
    pub(crate) address: Option<SocketAddr>,
}

impl SidecarRef {
    /// A repeat through another entry may meet the claim of a side that this entry does not use.
    async fn connect(self, shared: &Shared) -> Option<Link> {
        match (self.link, self.address) {
            (Some(link), _) => Some(link),
            (None, Some(address)) => shared.dialer.connect(address, &self.server).await.ok(),
            (None, None) => None,
        }
    }
}

/// Asks a side what it knows about an attempt.
pub(crate) async fn forbid_attempt(
    shared: Arc<Shared>,
    sidecar: SidecarRef,
    request: RequestId,
    attempt: AttemptId,
    incarnation: Incarnation,
) {
    let forbid = async {
        let link = sidecar.connect(&shared).await?;
        link.ask(attempt, incarnation).await.ok()
    };
    let answer = timeout(FORBID_TIMEOUT, forbid).await.ok().flatten();
    if let Some((AttemptStatus::Ended(Outcome::Finished), Some(bytes))) = &answer
        && let Some(open) = shared.lock().open.get_mut(&request)
    {
        open.outputs.insert(attempt, Output { chunks: vec![bytes.clone()] });
        open.note_finished(attempt);
    }
    let status = answer.map(|(status, _)| status);
    shared.event(EntryEvent::AttemptStatus(request, status));
}
