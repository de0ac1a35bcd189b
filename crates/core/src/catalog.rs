//! Configuration of an entry that calls backend servers directly: routes, pools and API keys.

use crate::ids::{PoolId, Version, WorkspaceId};
use crate::revision::Revision;
use crate::time::Span;
use crate::value;
use crate::warmup::WarmupSpec;
use std::collections::BTreeMap;
use std::sync::Arc;

value! {
    /// A validated configuration.
    pub struct Catalog {
        /// Only increases. A configuration of a higher version replaces it.
        pub version: Version,
        /// Store revision at which it was written. The store may give it out again after it has returned
        /// from a copy, so it orders no versions.
        pub revision: u64,
        /// Generation of the store that gave out the revision; 0 if it is unknown.
        #[serde(default)]
        pub generation: u64,
        /// Routes by host, in order of descending prefix length.
        pub hosts: BTreeMap<String, Vec<Arc<Route>>>,
        /// Pools that routes and stages refer to. A pool that is missing here has no servers.
        pub pools: BTreeMap<PoolId, PoolSpec>,
        /// Callers by API key.
        pub keys: BTreeMap<String, Caller>,
        /// Limits on callers' requests and connections.
        pub limits: Limits,
        /// Whether its pools tell how long their servers are cold. They don't if an entry of an earlier version
        /// has passed it on.
        #[serde(default)]
        pub tells_warmup: bool,
    }

    /// The owner of an API key.
    pub struct Caller {
        /// Workspace that the key belongs to.
        pub workspace: WorkspaceId,
        /// Priority of the workspace, which takes precedence over the route's; 0 is most urgent.
        pub rank: Option<u8>,
    }

    /// Limits on callers' requests and connections.
    pub struct Limits {
        /// Maximum size of a request head in bytes.
        #[serde(rename = "header")]
        pub header_bytes: usize,
        /// Maximum size of a request body in bytes.
        #[serde(rename = "body")]
        pub body_bytes: usize,
        /// Time within which a request body must arrive.
        #[serde(rename = "reading")]
        pub body_timeout: Span,
        /// Maximum idle time of a keep-alive connection.
        #[serde(rename = "idle")]
        pub idle_timeout: Span,
    }

    /// Where and how requests under a path prefix are served.
    pub struct Route {
        /// Unique name.
        pub name: String,
        /// Path prefix; begins and ends with a slash.
        pub prefix: String,
        /// What may be retried.
        pub repeat: Repeat,
        /// Default and maximum deadline of a request, counted from its arrival.
        pub timeout: Span,
        /// Latency objective for a response, or for the first event of a stream.
        pub objective: Span,
        /// Objective for the longest gap between two events of a stream.
        #[serde(rename = "pause")]
        pub event_gap: Span,
        /// Priority against other routes; 0 is most urgent.
        pub rank: u8,
        /// Weighted pools; at least one.
        pub targets: Vec<Target>,
        /// Maximum number of backend servers that one request may run on.
        pub attempts: u32,
        /// Whether requests need no API key.
        pub public: bool,
        /// Stages that run before the request itself, in topological order: `after` refers only to
        /// earlier stages.
        pub stages: Vec<StageSpec>,
    }

    /// A pool that receives a share of a route's requests.
    pub struct Target {
        /// The pool.
        pub pool: PoolId,
        /// Weight relative to the other targets.
        pub weight: u32,
    }

    /// What may be retried.
    #[derive(Copy)]
    pub enum Repeat {
        /// The whole request.
        Idempotent,
        /// Nothing; the response is not a stream.
        Never,
        /// A stream, resumed after the last event that arrived.
        Resume,
        /// Nothing; the response is a stream.
        StreamOnce,
    }

    /// A stage that runs before a request.
    pub struct StageSpec {
        /// Pool that runs it.
        pub pool: PoolId,
        /// Indexes of the stages whose results it needs.
        pub after: Vec<usize>,
        /// Approximate size of one result in bytes.
        pub bytes: u64,
    }

    /// An operator's description of a pool.
    pub struct PoolSpec {
        /// Maximum connections that one server accepts from all callers together.
        pub connections: u32,
        /// Kind of work that its servers do.
        pub work: Work,
        /// How long its servers are cold, and what they can take then; `None` if they never are.
        #[serde(default)]
        pub warmup: Option<WarmupSpec>,
    }

    /// Kind of work that the servers of a pool do.
    pub enum Work {
        /// Independent calls.
        Plain,
        /// Batched token generation.
        Engine {
            /// Requests that run concurrently.
            slots: u32,
            /// Capacity of the server's memory in tokens.
            tokens: u64,
        },
        /// Pieces of stages, batched into calls.
        Pieces(PieceSpec),
    }

    /// Limits and timings of a server that processes pieces.
    #[derive(Copy)]
    pub struct PieceSpec {
        /// Concurrent calls.
        pub slots: u32,
        /// Calls that the server may queue.
        pub queue: u32,
        /// Maximum pieces per call.
        pub batch: usize,
        /// Fixed time of a call, regardless of its size.
        #[serde(rename = "call")]
        pub call_time: Span,
        /// Approximate time that each piece adds to a call.
        #[serde(rename = "item")]
        pub piece_time: Span,
        /// Capacity for results at one server in bytes.
        #[serde(rename = "room")]
        pub result_bytes: u64,
        /// How long a server keeps a result.
        #[serde(rename = "keep")]
        pub result_ttl: Span,
    }
}

impl PieceSpec {
    /// Stated time of a call with a number of pieces.
    pub fn call_time_of(&self, pieces: usize) -> Span {
        self.call_time + self.piece_time * pieces as u64
    }
}

impl Repeat {
    /// Whether a request that may already have run can be sent again.
    pub fn can_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resume)
    }

    /// Whether the response is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Resume | Self::StreamOnce)
    }
}

impl Catalog {
    /// Revision of the store at which it was written.
    pub fn written_at(&self) -> Revision {
        Revision::new(self.generation, self.revision)
    }

    /// Whether it replaces another configuration: it is of a later version, or of the same one and tells what
    /// an entry of an earlier version has left out.
    pub fn replaces(&self, other: &Self) -> bool {
        let completes = self.tells_warmup && !other.tells_warmup;
        self.version > other.version || self.version == other.version && completes
    }

    /// The route with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// How many priority levels a request is behind the most urgent route that has stages. Only the
    /// relative order of ranks matters.
    pub fn ranks_behind(&self, rank: u8) -> u8 {
        let staged = self.hosts.values().flatten().filter(|route| !route.stages.is_empty());
        let first = staged.map(|route| route.rank).min().unwrap_or(0);
        rank.saturating_sub(first)
    }
}

impl Route {
    /// Selects a target by weight, given a uniformly distributed random number.
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
