//! Identifiers of servers, pools, requests and the like.

use crate::value;
use crate::value::string_ids;
use std::fmt;

string_ids! {
    /// A backend server and the sidecar process next to it.
    ServerId
    /// A pool of backend servers that serve the same stages.
    PoolId
    /// A pipeline, as callers refer to it.
    PipelineId
    /// A customer of the deployment.
    WorkspaceId
    /// An availability zone.
    AvailabilityZone
    /// An instance of the platform, as identified in its instance list.
    InstanceId
}

value! {
    /// One run of a process. A process gets a new incarnation with every restart.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(transparent)]
    pub struct Incarnation(pub u64);

    /// Version of the bundle. Versions only increase.
    #[derive(Copy, PartialOrd, Ord, Hash, Default)]
    #[serde(transparent)]
    pub struct Version(pub u64);

    /// A caller's request, unique across entries and their restarts.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct RequestId {
        /// The entry process that owns the request.
        pub entry: Incarnation,
        /// Sequence number of the request within that process.
        pub serial: u64,
    }

    /// One attempt to run a stage of a request.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct AttemptId {
        /// The request that the attempt belongs to.
        pub request: RequestId,
        /// Index of the stage in its pipeline.
        pub stage: u16,
        /// Sequence number among the attempts at this stage, including hedges.
        pub number: u16,
    }

    /// SHA-256 digest.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(transparent)]
    pub struct Digest(pub [u8; 32]);
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.serial)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}.{}", self.request, self.stage, self.number)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
