//! Decision logic of damaskweir: admission, queueing, routing, retries, hedging, claims for
//! non-idempotent work, draining, bundle versions and leases.
//!
//! Every module is a state machine that does no I/O, reads no clock and has no source of randomness.
//! The caller passes in the time and a random number generator and carries out the returned actions.
//! The daemons, the bench, the scenario runner and the model checker all run this code, and other
//! projects can embed it.
//!
//! ```
//! use damaskweir_core::prelude::*;
//! use damaskweir_core::side::{Sidecar, SidecarAction, SidecarSettings};
//!
//! let mut side = Sidecar::new(Incarnation(1), SidecarSettings::default());
//! let request = RequestId { entry: Incarnation(7), serial: 1 };
//! let dispatch = Dispatch {
//!     attempt: AttemptId { request, stage: 0, number: 0 },
//!     version: Version(1),
//!     workspace: WorkspaceId::from("kollam"),
//!     share: 1,
//!     remaining: Span::from_secs(3),
//!     estimate: Span::from_millis(40),
//!     effect: Effect::Idempotent,
//!     resume: 0,
//!     incarnation: None,
//! };
//! let actions = side.dispatch(Time(0), &dispatch);
//! assert_eq!(actions, vec![SidecarAction::Start(dispatch.attempt)]);
//! ```

mod flow;
mod once;
mod value;

pub mod admit;
pub mod batch;
pub mod bundle;
pub mod catalog;
pub mod claim;
pub mod entry;
pub mod epoch;
pub mod evacuation;
pub mod exchange;
pub mod fleet;
pub mod forecast;
pub mod fresh;
pub mod graph;
pub mod ids;
pub mod intake;
pub mod lease;
pub mod message;
pub mod nearest;
pub mod owner;
pub mod pace;
pub mod place;
pub mod policy;
pub mod predict;
pub mod prelude;
pub mod quarantine;
pub mod queue;
pub mod report;
pub mod retry;
pub mod returns;
pub mod revision;
pub mod room;
pub mod roster;
pub mod route;
pub mod side;
pub mod standing;
pub mod time;
pub mod tree;
pub mod uptime;
pub mod warmup;
pub mod window;

/// Random number generator that callers pass in; this crate never seeds one itself.
pub type Rng = rand_chacha::ChaCha8Rng;
