//! Load reports.

use crate::client::Engine;
use crate::error::EngineError;
use serde::{Deserialize, Serialize};

/// Load of an engine, measured `age` milliseconds ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running streams.
    pub running: u32,
    /// Number of queued streams.
    pub waiting: u32,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Age of the report in milliseconds.
    #[serde(default)]
    pub age: u64,
}

impl Engine {
    /// Fetches the engine's load report.
    pub async fn load(&self) -> Result<Load, EngineError> {
        self.fetch_json(self.client.get(self.url("/load"))).await
    }
}
