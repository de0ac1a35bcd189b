//! HTTP client of an engine.

use crate::body::read_json;
use crate::completion::{Completion, request_body};
use crate::error::{EngineError, check_status};
use damaskweir_core::prelude::*;
use reqwest::header::{ACCEPT, HeaderMap, HeaderValue};
use reqwest::redirect::Policy;
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Settings of an engine client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// Base URL of the engine without a path, such as `http://127.0.0.1:8000`.
    pub url: String,
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Longest time between two events of a response. The first event has no limit here; it may
    /// take as long as the caller waits.
    pub idle_timeout: Duration,
    /// Timeout for a load report or a health check.
    pub probe_timeout: Duration,
    /// Timeout for an order. Engines respond only after they have loaded the weights.
    pub order_timeout: Duration,
    /// Whether the engine supports the request field `priority`.
    pub priority: bool,
    /// Whether the engine supports the request field `resume_from` and sends `token_index`.
    pub resume: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:8000".to_owned(),
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(10),
            probe_timeout: Duration::from_secs(2),
            order_timeout: Duration::from_secs(600),
            priority: true,
            resume: false,
        }
    }
}

/// A completion request.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Request path, usually `/v1/completions`.
    pub path: &'a str,
    /// The attempt that this call carries out.
    pub attempt: AttemptId,
    /// Digest of the workspace and the idempotency key.
    pub key: Option<Digest>,
    /// A JSON object with a `prompt` field, forwarded with its other fields, or else the prompt
    /// itself.
    pub body: &'a [u8],
    /// Index of the first token to generate; 0 starts a new response.
    pub resume_from: u32,
    /// Scheduling priority; lower values run first.
    pub priority: i64,
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(crate) client: Client,
    pub(crate) settings: EngineSettings,
}

impl Engine {
    /// Creates a client without connecting.
    pub fn new(settings: EngineSettings) -> Result<Self, EngineError> {
        let client = Client::builder()
            .connect_timeout(settings.connect_timeout)
            // Following a redirect or retrying could run the call twice.
            .redirect(Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()?;
        Ok(Self { client, settings })
    }

    /// Starts a completion. Dropping the completion cancels it at the engine.
    pub async fn complete(&self, call: Call<'_>) -> Result<Completion, EngineError> {
        if call.resume_from > 0 && !self.settings.resume {
            let reason = "the engine doesn't support resuming a response".to_owned();
            return Err(EngineError::Refused { reason, retry_after: None });
        }
        let response = self
            .client
            .post(self.url(call.path))
            .headers(call_headers(call.attempt, call.key))
            .header(ACCEPT, "text/event-stream")
            .json(&request_body(&call, &self.settings))
            .send()
            .await?;
        Ok(Completion::new(
            check_status(response).await?,
            call.resume_from,
            self.settings.idle_timeout,
        ))
    }

    /// Returns whether the engine responds to `GET /health` with success.
    pub async fn healthy(&self) -> bool {
        let request = self.client.get(self.url("/health")).timeout(self.settings.probe_timeout);
        request.send().await.is_ok_and(|response| response.status().is_success())
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.settings.url)
    }

    pub(crate) async fn fetch_json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<T, EngineError> {
        let response = request.timeout(self.settings.probe_timeout).send().await?;
        read_json(check_status(response).await?).await
    }
}

fn call_headers(attempt: AttemptId, key: Option<Digest>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&attempt.to_string()) {
        headers.insert("damaskweir-attempt", value);
    }
    if let Some(Ok(value)) = key.map(|key| HeaderValue::from_str(&key.to_string())) {
        headers.insert("idempotency-key", value);
    }
    headers
}
