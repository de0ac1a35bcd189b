//! Orders that change an engine's model or role.

use crate::body::read_json;
use crate::client::Engine;
use crate::error::{EngineError, OrderError, check_status};
use reqwest::StatusCode;
use serde::{Deserialize, Serialize};

/// An order to an engine. Orders are idempotent: each states the complete target, so repeating one
/// changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Serve a version of a model, with an adapter if one is given.
    Serve {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: Option<String>,
        /// Version of the weights.
        version: String,
    },
    /// Take a role in generation.
    Role(Role),
}

/// Role of an engine in generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Processes prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
    /// Processes prompts and generates tokens.
    Both,
}

/// Result of an order that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Whether the engine compared the fencing number. If it doesn't, outdated orders are prevented
    /// only by the rule that one sidecar process runs per engine.
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
    /// Sends an order. `fence` is a fencing number that increases with each holder of the right to
    /// send orders; an engine that supports fencing refuses a lower number than it has accepted.
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
        let reply: OrderResponse = read_json(response).await?;
        match reply.fence {
            Some(current) if conflict => Err(OrderError::Fenced { current }),
            None if conflict => Err(EngineError::Failed("status 409".to_owned()).into()),
            echoed => Ok(Applied { fenced: echoed == Some(fence) }),
        }
    }
}
