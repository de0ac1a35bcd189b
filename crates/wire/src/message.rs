//! Messages of the protocol. They are encoded with postcard, so the order of fields and variants is part of
//! the format.

use bytes::Bytes;
use damaskweir_core::prelude::*;

value! {
    /// Input of an attempt for the backend server. Scheduling decisions don't depend on it.
    pub struct Payload {
        /// Request path on the backend server. It comes from the request's bundle version, which the
        /// sidecar may not have yet or may have replaced already.
        pub path: String,
        /// Digest of workspace and idempotency key, forwarded to the backend server.
        pub key: Option<Digest>,
        /// Body of the request to the backend server.
        pub body: Bytes,
    }

    /// Message from a sidecar about one attempt.
    #[serde(rename_all = "snake_case")]
    pub enum AttemptMessage {
        /// The sidecar accepted the attempt, which is now queued or running.
        Accepted,
        /// The sidecar guarantees that it never starts the attempt. This is the last message.
        Refused(Refusal),
        /// Part of the answer.
        Chunk {
            /// Position in the stage's answer, from 0. A resumed answer continues the count.
            index: u32,
            /// Content of this part.
            data: Bytes,
        },
        /// The attempt ended. This is the last message.
        Done(Outcome),
    }

    /// Request for part of a peer's bundle.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum PullRequest {
        /// The active signed manifest.
        Manifest,
        /// The section with this digest.
        Section(Digest),
        /// The difference between two sections.
        Patch {
            /// Digest of the requested section.
            wanted: Digest,
            /// Digest of the section that the requesting peer has.
            base: Digest,
        },
    }

    /// Frame from an entry.
    pub(crate) struct FromEntry {
        /// Active bundle version of the entry.
        pub(crate) version: Version,
        pub(crate) message: EntryMessage,
    }

    #[serde(rename_all = "snake_case")]
    pub(crate) enum EntryMessage {
        Heartbeat,
        Dispatch(Box<Dispatch>, Payload),
        #[serde(rename = "ask")]
        Forbid(AttemptId, Incarnation),
        Pull(PullRequest),
        #[serde(rename = "pulled")]
        PullReply(Option<Bytes>),
    }

    /// Frame from a sidecar.
    pub(crate) struct FromSidecar {
        pub(crate) report: Report,
        pub(crate) message: SidecarMessage,
    }

    #[serde(rename_all = "snake_case")]
    pub(crate) enum SidecarMessage {
        Heartbeat,
        Attempt(AttemptMessage),
        /// The attempt ended. The span is its service time.
        Ended(Outcome, Span),
        #[serde(rename = "stands")]
        Status(AttemptStatus, Option<Bytes>),
        Pull(PullRequest),
        #[serde(rename = "pulled")]
        PullReply(Option<Bytes>),
    }
}

impl AttemptMessage {
    /// Whether this is the last message of the attempt.
    pub fn is_last(&self) -> bool {
        matches!(self, AttemptMessage::Refused(_) | AttemptMessage::Done(_))
    }
}
