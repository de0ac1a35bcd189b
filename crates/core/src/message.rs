//! Messages between entry and side that decisions depend on. Payloads travel beside them.

use crate::bundle::Effect;
use crate::ids::{AttemptId, Incarnation, Version, WorkspaceId};
use crate::time::Span;
use crate::value;

value! {
    /// Asks a side to run one attempt.
    pub struct Dispatch {
        /// The attempt; a side runs it at most once.
        pub attempt: AttemptId,
        /// Bundle version that the whole request runs under.
        pub version: Version,
        /// Workspace that the request belongs to.
        pub workspace: WorkspaceId,
        /// Weight of the workspace; at least 1.
        pub share: u32,
        /// Time left until the deadline. Relative, so that clocks need not agree.
        pub remaining: Span,
        /// Predicted service time.
        pub estimate: Span,
        /// Whether the call may be repeated.
        pub effect: Effect,
        /// Index of the first chunk that is still wanted.
        pub resume: u32,
        /// The only run of the side process that may start it. Set for non-idempotent attempts, whose
        /// claim names it.
        pub incarnation: Option<Incarnation>,
    }

    /// Load and state of a side, attached to each of its messages.
    #[derive(Copy)]
    pub struct Report {
        /// Run of the side process.
        pub incarnation: Incarnation,
        /// Increases with each report of an incarnation; older ones are dropped on arrival.
        pub serial: u64,
        /// Bundle version in force.
        pub version: Version,
        /// Attempts that wait.
        pub queued: u32,
        /// Attempts that run.
        pub running: u32,
        /// Attempts that may run at once.
        pub limit: u32,
        /// Predicted wait of an attempt that arrives now.
        pub wait: Span,
        /// Takes no new work.
        pub draining: bool,
    }

    /// End of an attempt that ran.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The whole answer was produced.
        Finished,
        /// It ran and failed, or may have run.
        Failed(Failure),
    }

    /// Why an attempt that was started did not finish.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Failure {
        /// The backend server answered with an error; it did run.
        Backend,
        /// The backend server went away or timed out; it may have run.
        Interrupted,
        /// Cancelled or past its deadline while running.
        Aborted,
    }

    /// Why an attempt was not started. All but `Duplicate` and `Stale` are a side's promise, for
    /// the incarnation that the attempt was meant for, never to start it.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// The side is leaving.
        Draining,
        /// The queue cannot finish it in time.
        Overloaded {
            /// When an attempt of this length could be taken.
            retry: Span,
        },
        /// The deadline passed while it waited.
        Expired,
        /// Cancelled before it started.
        Cancelled,
        /// An earlier `Forbid` named this attempt.
        Forbidden,
        /// The same attempt id was seen before: another copy of the message waits, runs or ran.
        Duplicate,
        /// The backend server is down.
        Down,
        /// Meant for another run of the side process, which may have started a copy.
        Stale,
    }

    /// What a side knows about a non-idempotent attempt, and promises by saying so.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum AttemptStatus {
        /// Never started, and never will be in this incarnation.
        Forbidden,
        /// Waits in the queue or runs.
        Running,
        /// Has ended; the answer is kept.
        Ended(Outcome),
        /// Belongs to another incarnation, or is so old that the side forgot it.
        Gone,
    }
}

impl Refusal {
    /// Whether the attempt has not run and never will.
    pub fn never_runs(self) -> bool {
        !matches!(self, Self::Duplicate | Self::Stale)
    }
}
