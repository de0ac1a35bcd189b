//! Control messages between entries and sidecars. Payloads are sent separately.

use crate::bundle::Effect;
use crate::ids::{AttemptId, Incarnation, Version, WorkspaceId};
use crate::time::Span;
use crate::value;

value! {
    /// A request to a sidecar to run one attempt.
    pub struct Dispatch {
        /// The attempt, which the sidecar runs at most once.
        pub attempt: AttemptId,
        /// Bundle version that applies to the whole request.
        pub version: Version,
        /// Workspace that the request belongs to.
        pub workspace: WorkspaceId,
        /// Weight of the workspace in fair sharing; at least 1.
        pub share: u32,
        /// Time left until the deadline. Relative, so that clocks need not be synchronized.
        pub remaining: Span,
        /// Predicted service time.
        pub estimate: Span,
        /// Whether the call may be repeated.
        pub effect: Effect,
        /// Index of the first chunk that is still needed.
        pub resume: u32,
        /// The only incarnation of the sidecar that may start the attempt. Set for non-idempotent
        /// attempts, whose claim names the incarnation.
        pub incarnation: Option<Incarnation>,
    }

    /// Load and state of a sidecar, attached to each of its messages.
    #[derive(Copy)]
    pub struct Report {
        /// Incarnation of the sidecar process.
        pub incarnation: Incarnation,
        /// Increases with each report of an incarnation; receivers drop older reports.
        pub serial: u64,
        /// Bundle version that the sidecar has installed.
        pub version: Version,
        /// Queued attempts.
        pub queued: u32,
        /// Running attempts.
        pub running: u32,
        /// Concurrency limit.
        pub limit: u32,
        /// Predicted queueing time of an attempt that arrives now.
        pub wait: Span,
        /// Whether the sidecar accepts no new work.
        pub draining: bool,
    }

    /// Result of an attempt that was started.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The complete response was produced.
        Finished,
        /// The attempt failed; it ran or may have run.
        Failed(Failure),
    }

    /// Why an attempt that was started did not finish.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Failure {
        /// The backend server ran the call and returned an error.
        Backend,
        /// The backend server became unreachable or timed out; the call may have run.
        Interrupted,
        /// Cancelled, or past its deadline, while running.
        Aborted,
    }

    /// Why an attempt was not started. All variants except `Duplicate` and `Stale` guarantee that the
    /// incarnation to which the attempt was sent will never start it.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// The sidecar is draining.
        Draining,
        /// The sidecar cannot finish the attempt before its deadline because of its queue.
        Overloaded {
            /// Time after which an attempt of this length could be accepted.
            retry: Span,
        },
        /// The deadline passed while the attempt was queued.
        Expired,
        /// Cancelled before it started.
        Cancelled,
        /// An earlier `Forbid` message named this attempt.
        Forbidden,
        /// The attempt id was seen before: another copy of the message is queued, running or done.
        Duplicate,
        /// The backend server is down.
        Down,
        /// Sent to another incarnation of the sidecar, which may have started a copy.
        Stale,
    }

    /// Status of a non-idempotent attempt at a sidecar. Reporting it commits the sidecar to it.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum AttemptStatus {
        /// Not started, and never will be by this incarnation.
        Forbidden,
        /// Queued or running.
        Running,
        /// Ended; the response is kept.
        Ended(Outcome),
        /// Unknown: it belongs to another incarnation, or its record has been discarded.
        Gone,
    }
}

impl Refusal {
    /// Whether the refusal guarantees that the attempt has not run and never will.
    pub fn never_runs(self) -> bool {
        !matches!(self, Self::Duplicate | Self::Stale)
    }
}
