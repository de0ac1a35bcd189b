//! Domain types of the bundle: what operators describe, approve and roll out.
//!
//! These types hold a checked bundle. Parsing, checking and signing are in `damaskweir-bundle`.

use crate::ids::{AvailabilityZone, PipelineId, PoolId, ServerId, Version, WorkspaceId};
use crate::time::Span;
use crate::value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

value! {
    /// A whole checked configuration.
    #[serde(deny_unknown_fields)]
    pub struct Bundle {
        /// Only increases; a rollback is a new version with earlier content.
        pub version: Version,
        /// Each pool that a pipeline names exists here.
        pub pools: BTreeMap<PoolId, Pool>,
        /// Each pipeline has at least one stage.
        pub pipelines: BTreeMap<PipelineId, Pipeline>,
        /// Customers of the deployment; a request of any other is refused.
        pub workspaces: BTreeMap<WorkspaceId, Workspace>,
        /// Keys that may sign the next bundle; never empty in a signed bundle.
        pub operators: BTreeMap<String, OperatorKey>,
    }

    /// Public key of an operator.
    #[serde(deny_unknown_fields)]
    pub struct OperatorKey {
        /// ed25519 public key.
        pub key: [u8; 32],
    }

    /// Backend servers that serve the same stages.
    #[serde(deny_unknown_fields)]
    pub struct Pool {
        /// How the side talks to the backend servers.
        pub kind: PoolKind,
        /// Ids are unique across all pools.
        pub servers: Vec<BackendServer>,
        /// Whether the backend servers can resume a stream from a given chunk. Without it a stream
        /// that breaks is ended, since a second generation may differ from the first.
        pub resume: bool,
        /// Share of extra attempts that retries and hedges may add, in thousandths.
        pub extra: u32,
    }

    /// Protocol of a pool's backend servers.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum PoolKind {
        /// Model engine with a completions API and streamed answers.
        Engine,
        /// Plain service: JSON over HTTP.
        Service,
    }

    /// One backend server and its side process.
    #[serde(deny_unknown_fields)]
    pub struct BackendServer {
        /// Unique across all pools.
        pub id: ServerId,
        /// Where it runs.
        pub zone: AvailabilityZone,
        /// Address of the side process.
        pub side: SocketAddr,
        /// Calls that the backend server is expected to run at once; the limit adapts from here.
        pub slots: u32,
    }

    /// Stages that run one after another under one deadline.
    #[serde(deny_unknown_fields)]
    pub struct Pipeline {
        /// Ceiling for the deadline that a caller may ask for, and the default.
        pub deadline: Span,
        /// At least one.
        pub stages: Vec<Stage>,
    }

    /// One step of a pipeline.
    #[serde(deny_unknown_fields)]
    pub struct Stage {
        /// Unique within the pipeline.
        pub name: String,
        /// Pool that serves it.
        pub pool: PoolId,
        /// Whether a call may be repeated.
        pub effect: Effect,
        /// Path on the backend server.
        pub path: String,
        /// Service time to assume until calls have been seen.
        pub expected: Span,
    }

    /// Whether a call may run more than once.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Effect {
        /// May be repeated and hedged.
        Idempotent,
        /// Runs at most once.
        Once,
    }

    /// A customer.
    #[serde(deny_unknown_fields)]
    pub struct Workspace {
        /// Weight against other workspaces; at least 1.
        pub share: u32,
        /// Requests in progress per entry; at least 1.
        pub limit: u32,
    }
}

impl Bundle {
    /// The server with this id, in whatever pool.
    pub fn server(&self, id: &ServerId) -> Option<&BackendServer> {
        self.pools.values().flat_map(|pool| &pool.servers).find(|server| server.id == *id)
    }
}
