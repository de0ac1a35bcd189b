//! Identifiers.

use crate::value;
use crate::value::string_ids;
use std::fmt;

string_ids! {
    /// A backend server and the side process next to it.
    ServerId
    /// A pool of backend servers that serve the same stage.
    PoolId
    /// A pipeline that callers name.
    PipelineId
    /// A customer of the deployment.
    WorkspaceId
    /// An availability zone.
    AvailabilityZone
    /// An instance of the platform, as its instance list names it.
    InstanceId
}

value! {
    /// One run of a process. A restarted process has another incarnation.
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
        /// Counts the requests of that process.
        pub serial: u64,
    }

    /// One attempt at one stage of a request.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct AttemptId {
        /// The request that the attempt works for.
        pub request: RequestId,
        /// Position of the stage in its pipeline.
        pub stage: u16,
        /// Counts the attempts at this stage, hedges included.
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
