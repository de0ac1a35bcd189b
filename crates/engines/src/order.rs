//! Orders to engines.

use crate::client::Engine;
use crate::error::{EngineError, OrderError, check_status};
use reqwest::StatusCode;
use serde::{Deserialize, Serialize};

/// An order. Orders are absolute: a repeated order changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Serve this model, with this adapter if any, in this version.
    Serve {
        /// The model.
        model: String,
        /// Its adapter.
        adapter: Option<String>,
        /// Version of the weights.
        version: String,
    },
    /// Take this part in generation.
    Role(Role),
}

/// Part that an engine takes in generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
    /// Does both.
    Both,
}

/// How an order was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Whether the engine compared the fencing number. Without it, only the rule that one side
    /// process runs per engine keeps outdated orders away.
    pub fenced: bool,
}

#[derive(Serialize)]
struct OrderRequest<'a> {
    fence: u64,
    order: &'a Order,
}

#[derive(Default, Deserialize)]
struct OrderResponse {
    fence: Option<u64>,
}

impl Engine {
    /// Gives an order. `fence` increases with each holder of the right to give orders; an engine that
    /// supports it refuses a lower number than it has seen.
    pub async fn send_order(&self, order: &Order, fence: u64) -> Result<Applied, OrderError> {
        let response = self
            .client
            .post(self.url("/orders"))
            .json(&OrderRequest { fence, order })
            .timeout(self.settings.order_timeout)
            .send()
            .await
            .map_err(EngineError::from)?;
        let conflict = response.status() == StatusCode::CONFLICT;
        let response = if conflict { response } else { check_status(response).await? };
        let reply: OrderResponse = response.json().await.map_err(EngineError::from)?;
        match reply.fence {
            Some(current) if conflict => Err(OrderError::Fenced { current }),
            None if conflict => Err(EngineError::Failed("status 409".to_owned()).into()),
            echoed => Ok(Applied { fenced: echoed == Some(fence) }),
        }
    }
}
