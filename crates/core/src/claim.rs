//! Claims for non-idempotent calls: a durable record in the store before any dispatch.
//!
//! A claim has no lease and never lapses by time. Only three things replace it: its answer, a side's
//! promise never to start it, or the knowledge that the side's incarnation is gone.

use crate::ids::{AttemptId, Digest, Incarnation, ServerId};
use crate::message::{AttemptStatus, Outcome};
use crate::value;
use bytes::Bytes;

value! {
    /// Record of a non-idempotent call, kept in the store under the digest of workspace and key.
    pub struct ClaimRecord {
        /// Digest of the caller's body; a repeat with another body is refused.
        pub body: Digest,
        /// The only attempt that may run.
        pub attempt: AttemptId,
        /// The server that it may run on.
        pub server: ServerId,
        /// The side process that it may run under.
        pub incarnation: Incarnation,
        /// How far it got.
        pub state: ClaimState,
    }

    /// How far a claimed call got.
    #[serde(rename_all = "snake_case")]
    pub enum ClaimState {
        /// May not have started, may run, or may have ended.
        Claimed,
        /// Ended; `answer` is absent when it was too large to keep in the store.
        Ended {
            /// How it ended.
            outcome: Outcome,
            /// The first answer.
            answer: Option<Bytes>,
        },
        /// The side's incarnation went away with it. Nobody runs it again.
        Unknown,
    }
}

/// What to do about a key for which a record was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// The record is this attempt's own: send it.
    Dispatch,
    /// The call has ended: give its first answer.
    Answer(Outcome, Option<Bytes>),
    /// Ask the side that the record names.
    Ask,
    /// Nobody will start the recorded attempt: replace the record by compare-and-swap.
    Replace,
    /// The incarnation is gone: record `Unknown` by compare-and-swap and say so.
    MarkUnknown,
    /// Running elsewhere: ask again later.
    Wait,
    /// Whether it ran cannot be known.
    Unknown,
    /// The key was used with another body.
    KeyReused,
}

/// Decides what a record that was found in the store means for the attempt `mine`.
pub fn resolve(mine: &ClaimRecord, found: &ClaimRecord) -> ClaimStep {
    if found.body != mine.body {
        return ClaimStep::KeyReused;
    }
    match &found.state {
        ClaimState::Unknown => ClaimStep::Unknown,
        ClaimState::Ended { outcome, answer } => ClaimStep::Answer(*outcome, answer.clone()),
        ClaimState::Claimed if found.attempt == mine.attempt => ClaimStep::Dispatch,
        ClaimState::Claimed => ClaimStep::Ask,
    }
}

/// Decides what a side's word on the recorded attempt means. `None`: the side cannot be reached.
pub fn judge(standing: Option<AttemptStatus>) -> ClaimStep {
    match standing {
        Some(AttemptStatus::Forbidden) => ClaimStep::Replace,
        Some(AttemptStatus::Running) => ClaimStep::Wait,
        Some(AttemptStatus::Ended(outcome)) => ClaimStep::Answer(outcome, None),
        Some(AttemptStatus::Gone) => ClaimStep::MarkUnknown,
        None => ClaimStep::Unknown,
    }
}
