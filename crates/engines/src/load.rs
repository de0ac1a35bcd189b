//! Load reports.

use crate::client::Engine;
use crate::error::EngineError;
use serde::{Deserialize, Serialize};

/// Load of an engine, as it was `age` ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Streams that run.
    pub running: u32,
    /// Streams that wait.
    pub waiting: u32,
    /// Streams that may run at once.
    pub slots: u32,
    /// Age of the report in milliseconds.
    #[serde(default)]
    pub age: u64,
}

impl Engine {
    /// The engine's load report.
    pub async fn load(&self) -> Result<Load, EngineError> {
        self.fetch_json(self.client.get(self.url("/load"))).await
    }
}
