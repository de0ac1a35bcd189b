//! Claims of non-idempotent calls: a durable record in the store, written before any dispatch.
//!
//! A claim has no lease and does not expire while its outcome is open. A record is replaced only by
//! the outcome of its attempt, by a new claim after a sidecar guaranteed never to start the attempt,
//! or by `Unknown` after the sidecar's incarnation is known to be gone.

use crate::ids::{AttemptId, Digest, Incarnation, ServerId};
use crate::message::{AttemptStatus, Outcome};
use crate::value;
use bytes::Bytes;

value! {
    /// Record of a non-idempotent call, stored under the digest of workspace, key and stage name.
    pub struct ClaimRecord {
        /// Digest of body and pipeline name. A repeated key with another digest is refused.
        pub body: Digest,
        /// The only attempt that may run.
        pub attempt: AttemptId,
        /// The only server that the attempt may run on.
        pub server: ServerId,
        /// The only run of the sidecar process that may start the attempt.
        pub incarnation: Incarnation,
        /// State of the call.
        pub state: ClaimState,
    }

    /// State of a claimed call.
    #[serde(rename_all = "snake_case")]
    pub enum ClaimState {
        /// The outcome is not recorded: the attempt may be unsent, running or ended.
        Claimed,
        /// The attempt ended. `answer` is absent when it was too large to store.
        Ended {
            /// Outcome of the attempt.
            outcome: Outcome,
            /// Output of the attempt, returned for repeated requests.
            answer: Option<Bytes>,
        },
        /// The sidecar's incarnation ended before the outcome was known. The call is not run again.
        Unknown,
    }
}

/// What to do when the store holds a record for the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The record belongs to this attempt: send it.
    Dispatch,
    /// The call has ended: return its recorded outcome.
    Answer(Outcome, Option<Bytes>),
    /// Ask the sidecar named in the record to forbid the start of the attempt.
    Forbid,
    /// The recorded attempt never starts: replace the record by compare-and-swap.
    Replace,
    /// The incarnation is gone: replace the state with `Unknown` by compare-and-swap, then fail the
    /// request with an unknown outcome.
    MarkUnknown,
    /// The recorded attempt is queued or running: ask again later.
    Wait,
    /// Whether the recorded attempt ran is not known.
    Unknown,
    /// The key was used with another body or pipeline.
    KeyReused,
}

/// Decides how to proceed with the claim `mine` when the store already holds `found`.
pub fn decide_from_record(mine: &ClaimRecord, found: &ClaimRecord) -> ClaimDecision {
    if found.body != mine.body {
        return ClaimDecision::KeyReused;
    }
    match &found.state {
        ClaimState::Unknown => ClaimDecision::Unknown,
        ClaimState::Ended { outcome, answer } => ClaimDecision::Answer(*outcome, answer.clone()),
        ClaimState::Claimed if found.attempt == mine.attempt => ClaimDecision::Dispatch,
        ClaimState::Claimed => ClaimDecision::Forbid,
    }
}

/// Decides how to proceed from a sidecar's status of the recorded attempt; `None` means that the sidecar
/// can't be reached.
pub fn decide_from_status(status: Option<AttemptStatus>) -> ClaimDecision {
    match status {
        Some(AttemptStatus::Forbidden) => ClaimDecision::Replace,
        Some(AttemptStatus::Running) => ClaimDecision::Wait,
        Some(AttemptStatus::Ended(outcome)) => ClaimDecision::Answer(outcome, None),
        Some(AttemptStatus::Gone) => ClaimDecision::MarkUnknown,
        None => ClaimDecision::Unknown,
    }
}
