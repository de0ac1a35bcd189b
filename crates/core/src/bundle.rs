//! The bundle: the configuration that operators write, approve and roll out.
//!
//! These types hold a validated bundle. Parsing, validation and signing are in `damaskweir-bundle`.

use crate::ids::{AvailabilityZone, PipelineId, PoolId, ServerId, Version, WorkspaceId};
use crate::time::Span;
use crate::value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

value! {
    /// A complete, validated configuration.
    #[serde(deny_unknown_fields)]
    pub struct Bundle {
        /// Only increases; a rollback is a new version with earlier content.
        pub version: Version,
        /// Contains every pool that a pipeline refers to.
        pub pools: BTreeMap<PoolId, Pool>,
        /// Each pipeline has at least one stage.
        pub pipelines: BTreeMap<PipelineId, Pipeline>,
        /// Customers of the deployment; requests of any other workspace are refused.
        pub workspaces: BTreeMap<WorkspaceId, Workspace>,
        /// Keys that may sign the next bundle, by operator; never empty in a signed bundle.
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
        /// Protocol that the sidecars use to call the backend servers.
        pub kind: PoolKind,
        /// Servers of the pool; their ids are unique across all pools.
        pub servers: Vec<BackendServer>,
        /// Whether the backend servers can resume a stream from a given chunk. If not, a broken
        /// stream is ended, because a second generation may differ from the first.
        pub resume: bool,
        /// Retry budget: extra attempts that retries and hedges may add, in thousandths of the
        /// first attempts.
        pub extra: u32,
    }

    /// Protocol of a pool's backend servers.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum PoolKind {
        /// Model engine with a completions API and streaming responses.
        Engine,
        /// Service that speaks JSON over HTTP.
        Service,
    }

    /// One backend server and its sidecar process.
    #[serde(deny_unknown_fields)]
    pub struct BackendServer {
        /// Unique across all pools.
        pub id: ServerId,
        /// Availability zone that it runs in.
        pub zone: AvailabilityZone,
        /// Address of the sidecar process.
        pub side: SocketAddr,
        /// Expected concurrency of the backend server, the initial value of its adaptive limit.
        pub slots: u32,
    }

    /// Stages that run in sequence under one deadline.
    #[serde(deny_unknown_fields)]
    pub struct Pipeline {
        /// Default deadline, and the maximum that a caller may request.
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
        /// Whether a call may run more than once.
        pub effect: Effect,
        /// Path on the backend server.
        pub path: String,
        /// Initial estimate of the service time, used until calls have been measured.
        pub expected: Span,
    }

    /// Whether a call may run more than once.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Effect {
        /// May be retried and hedged.
        Idempotent,
        /// Runs at most once.
        Once,
    }

    /// A customer.
    #[serde(deny_unknown_fields)]
    pub struct Workspace {
        /// Weight in fair sharing with other workspaces; at least 1.
        pub share: u32,
        /// Maximum requests in progress per entry; at least 1.
        pub limit: u32,
    }
}

impl Bundle {
    /// Looks up a server by id across all pools.
    pub fn server(&self, id: &ServerId) -> Option<&BackendServer> {
        self.pools.values().flat_map(|pool| &pool.servers).find(|server| server.id == *id)
    }
}
