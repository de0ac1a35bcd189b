//! Status records that entries write to the store. The core decides when they are written.

use serde::{Deserialize, Serialize};

/// Versions in force at an entry and at the sides it is connected to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusRecord {
    /// Name of the entry instance.
    pub entry: String,
    /// Its availability zone.
    pub zone: String,
    /// Version in force at the entry.
    pub version: u64,
    /// Time of writing in seconds since the Unix epoch, by the entry's clock.
    pub at: u64,
    /// Versions in force at the sides that the entry is connected to.
    pub sides: Vec<SideVersion>,
}

/// Server id of a side and the version in force there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideVersion(pub String, pub u64);
