//! Commonly used types, for glob import.

pub use crate::Rng;
pub use crate::bundle::{
    BackendServer, Bundle, Effect, OperatorKey, Pipeline, Pool, PoolKind, Stage, Workspace,
};
pub use crate::ids::{
    AttemptId, AvailabilityZone, Digest, Incarnation, InstanceId, PipelineId, PoolId, RequestId,
    ServerId, Version, WorkspaceId,
};
pub use crate::message::{AttemptStatus, Dispatch, Failure, Outcome, Refusal, Report};
pub use crate::policy::Policy;
pub use crate::predict::SizeClass;
pub use crate::revision::Revision;
pub use crate::time::{Span, Time};
pub use crate::value;
