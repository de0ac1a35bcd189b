//! Routes, pools and callers' keys that are in force at an entry which calls backend servers directly.

use crate::ids::{PoolId, Version, WorkspaceId};
use crate::time::Span;
use crate::value;
use std::collections::BTreeMap;
use std::sync::Arc;

value! {
    /// One accepted configuration, checked.
    pub struct Catalog {
        /// Only increases.
        pub version: Version,
        /// Store revision at which it was written; a higher one replaces it.
        pub revision: u64,
        /// Routes by host, the longest prefix first.
        pub hosts: BTreeMap<String, Vec<Arc<Route>>>,
        /// Pools that routes and stages name. A pool that is missing here has no servers.
        pub pools: BTreeMap<PoolId, PoolSpec>,
        /// Callers' keys.
        pub keys: BTreeMap<String, Caller>,
        /// Bounds of what a caller may send.
        pub limits: Limits,
    }

    /// The holder of a key.
    pub struct Caller {
        /// Workspace that the key belongs to.
        pub workspace: WorkspaceId,
        /// Rank of the workspace, ahead of the route's; 0 is most urgent.
        pub rank: Option<u8>,
    }

    /// Bounds of what a caller may send.
    pub struct Limits {
        /// Bytes of a request head.
        #[serde(rename = "header")]
        pub header_bytes: usize,
        /// Bytes of a request body.
        #[serde(rename = "body")]
        pub body_bytes: usize,
        /// Time in which a request body must arrive.
        #[serde(rename = "reading")]
        pub body_timeout: Span,
        /// Time that a kept connection may be idle.
        #[serde(rename = "idle")]
        pub idle_timeout: Span,
    }

    /// One route.
    pub struct Route {
        /// Unique.
        pub name: String,
        /// Begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub repeat: Repeat,
        /// Longest time that a request may be kept waiting.
        pub timeout: Span,
        /// Time within which an answer, or the first event of a stream, counts in full.
        pub objective: Span,
        /// Longest pause between events of a stream that counts in full.
        #[serde(rename = "pause")]
        pub event_gap: Span,
        /// Rank against other routes; 0 is most urgent.
        pub rank: u8,
        /// Pools by weight; at least one.
        pub targets: Vec<Target>,
        /// Backend servers that one request may run on.
        pub attempts: u32,
        /// Whether it needs no key.
        pub public: bool,
        /// Work before the request itself; stages name only earlier stages in `after`.
        pub stages: Vec<StageSpec>,
    }

    /// A pool that takes a share of a route's requests.
    pub struct Target {
        /// The pool.
        pub pool: PoolId,
        /// Share against the other targets.
        pub weight: u32,
    }

    /// What may be repeated.
    #[derive(Copy)]
    pub enum Repeat {
        /// The whole request.
        Idempotent,
        /// Nothing.
        Never,
        /// A stream, from the event after the last one that arrived.
        Resume,
        /// Nothing; the answer is a stream.
        StreamOnce,
    }

    /// Work before a request.
    pub struct StageSpec {
        /// Pool that does it.
        pub pool: PoolId,
        /// Stages whose results it needs.
        pub after: Vec<usize>,
        /// Approximate size of one result.
        pub bytes: u64,
    }

    /// What the operator says of a pool.
    pub struct PoolSpec {
        /// Connections that one server accepts from all callers together.
        pub connections: u32,
        /// What its servers do.
        pub work: Work,
    }

    /// What the servers of a pool do.
    pub enum Work {
        /// Plain calls.
        Plain,
        /// Generation in batches.
        Engine {
            /// Requests that run at once.
            slots: u32,
            /// Tokens that fit into memory.
            tokens: u64,
        },
        /// Pieces of stages, several in a call.
        Pieces(PieceSpec),
    }

    /// Limits and times of a server that works on pieces.
    #[derive(Copy)]
    pub struct PieceSpec {
        /// Calls in progress at once.
        pub slots: u32,
        /// Calls that may wait at the server.
        pub queue: u32,
        /// Pieces in one call.
        pub batch: usize,
        /// Time of a call, whatever it carries.
        #[serde(rename = "call")]
        pub call_time: Span,
        /// Time that each piece adds, approximately.
        #[serde(rename = "item")]
        pub piece_time: Span,
        /// Room for results at one server, in bytes.
        #[serde(rename = "room")]
        pub result_bytes: u64,
        /// Time for which a server keeps a result.
        #[serde(rename = "keep")]
        pub result_ttl: Span,
    }
}

impl Repeat {
    /// Whether a request that may have run can be sent again.
    pub fn can_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resume)
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Resume | Self::StreamOnce)
    }
}

impl Catalog {
    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// How many ranks a request is behind the most urgent route that has stages. Ranks count against each
    /// other only.
    pub fn ranks_behind(&self, rank: u8) -> u8 {
        let staged = self.hosts.values().flatten().filter(|route| !route.stages.is_empty());
        let first = staged.map(|route| route.rank).min().unwrap_or(0);
        rank.saturating_sub(first)
    }
}

impl Route {
    /// The target that a number drawn uniformly from all of `u64` selects.
    pub fn target(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut rest = draw % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.pool);
            }
            rest -= weight;
        }
        self.targets.first().map(|target| &target.pool)
    }
}
