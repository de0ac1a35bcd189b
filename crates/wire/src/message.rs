//! Messages on the wire.

use bytes::Bytes;
use damaskweir_core::prelude::*;

value! {
    /// What the backend server needs to run an attempt. Decisions don't depend on it.
    pub struct Payload {
        /// Path on the backend server, from the stage in the bundle that the request runs under. The
        /// side may no longer, or not yet, have that bundle.
        pub path: String,
        /// Digest of workspace and idempotency key, passed on to the backend server.
        pub key: Option<Digest>,
        /// Input of the stage.
        pub body: Bytes,
    }

    /// A side's message about one attempt.
    #[serde(rename_all = "snake_case")]
    pub enum AttemptMessage {
        /// The side took the attempt; it waits or runs.
        Accepted,
        /// The side promises never to start the attempt. Nothing follows.
        Refused(Refusal),
        /// A part of the answer.
        Chunk {
            /// Counts from 0 within the stage, also when an answer is resumed.
            index: u32,
            /// The part.
            data: Bytes,
        },
        /// The attempt ended. Nothing follows.
        Done(Outcome),
    }

    /// Asks a peer for a part of its bundle.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum PullRequest {
        /// The signed manifest in force.
        Manifest,
        /// The section with this digest.
        Section(Digest),
        /// The difference of two sections.
        Patch {
            /// The section that is needed.
            wanted: Digest,
            /// The section that the asking end holds.
            base: Digest,
        },
    }

    /// What an entry sends.
    pub(crate) struct FromEntry {
        /// Bundle version in force at the entry.
        pub(crate) version: Version,
        pub(crate) message: EntryMessage,
    }

    #[serde(rename_all = "snake_case")]
    pub(crate) enum EntryMessage {
        Heartbeat,
        Dispatch(Box<Dispatch>, Payload),
        Forbid(AttemptId, Incarnation),
        Pull(PullRequest),
        PullReply(Option<Bytes>),
    }

    /// What a side sends.
    pub(crate) struct FromSidecar {
        pub(crate) report: Report,
        pub(crate) message: SidecarMessage,
    }

    #[serde(rename_all = "snake_case")]
    pub(crate) enum SidecarMessage {
        Heartbeat,
        Attempt(AttemptMessage),
        /// The attempt ended, and how long it ran.
        Ended(Outcome, Span),
        Status(AttemptStatus, Option<Bytes>),
        Pull(PullRequest),
        PullReply(Option<Bytes>),
    }
}

impl AttemptMessage {
    /// Whether nothing follows for the attempt.
    pub fn is_last(&self) -> bool {
        matches!(self, AttemptMessage::Refused(_) | AttemptMessage::Done(_))
    }
}
