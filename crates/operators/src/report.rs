//! What an entry tells the store about itself and its sides. When it does so is in the core.

use serde::{Deserialize, Serialize};

/// What one entry has in force and knows of its sides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusRecord {
    /// Name of the entry instance.
    pub entry: String,
    /// Its availability zone.
    pub zone: String,
    /// Version in force at the entry.
    pub version: u64,
    /// Seconds since 1970 when this was written, by the entry's clock.
    pub at: u64,
    /// Versions of the sides that it is connected to.
    pub sides: Vec<SideVersion>,
}

/// Version in force at a side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideVersion(pub String, pub u64);
