//! HTTP client of a service.

use crate::error::{ServiceError, status_error};
use bytes::{Bytes, BytesMut};
use damaskweir_core::prelude::*;
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use reqwest::redirect::Policy;
use reqwest::{Client, Response};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::time::Duration;

/// Longest excerpt of an error response in an error message, in characters.
const EXCERPT_CHARS: usize = 200;

/// Settings of a service client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Base URL of the service without a path, such as `http://127.0.0.1:8000`.
    pub url: String,
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Timeout for a call. The outcome of a non-idempotent call that times out is unknown, so this
    /// is much longer than any deadline.
    pub call_timeout: Duration,
    /// Timeout for a load report or a health check.
    pub probe_timeout: Duration,
    /// Path of the health check.
    pub health_path: String,
    /// Path of the load report, if the service has one.
    pub load_path: Option<String>,
    /// Largest response body in bytes. It is below the frame limit, so that a response fits into
    /// one frame.
    pub response_limit: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:8000".to_owned(),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(60),
            probe_timeout: Duration::from_secs(2),
            health_path: "/health".to_owned(),
            load_path: None,
            response_limit: 8 << 20,
        }
    }
}

/// A call to a service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Request path.
    pub path: &'a str,
    /// The attempt that this call carries out.
    pub attempt: AttemptId,
    /// Digest of the workspace and the idempotency key.
    pub key: Option<Digest>,
    /// Whether the call may be repeated.
    pub effect: Effect,
    /// JSON body.
    pub body: Bytes,
}

/// Load of a service. Reports may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub waiting: u32,
}

/// Client of one service.
#[derive(Clone, Debug)]
pub struct Service {
    pooled: Client,
    /// Opens a connection for each call. If a service closed a pooled connection while a call was
    /// being sent on it, the outcome of that call would be unknown.
    unpooled: Client,
    settings: ServiceSettings,
}

impl Service {
    /// Creates a client without connecting.
    pub fn new(settings: ServiceSettings) -> Result<Self, ServiceError> {
        let builder = || {
            Client::builder()
                .connect_timeout(settings.connect_timeout)
                .timeout(settings.call_timeout)
                // Following a redirect or retrying could run the call twice.
                .redirect(Policy::none())
                .retry(reqwest::retry::never())
                .no_proxy()
        };
        let pooled = builder().build()?;
        let unpooled = builder().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, unpooled, settings })
    }

    /// Calls the service and returns the response body.
    ///
    /// Dropping the future closes the connection, but the service may continue the call.
    pub async fn call(&self, call: Call<'_>) -> Result<Bytes, ServiceError> {
        let client = match call.effect {
            Effect::Idempotent => &self.pooled,
            Effect::Once => &self.unpooled,
        };
        let response = client
            .post(format!("{}{}", self.settings.url, call.path))
            .headers(call_headers(call.attempt, call.key))
            .body(call.body)
            .send()
            .await?;
        let status = response.status();
        let is_delimited = response.content_length().is_some()
            || response.headers().contains_key(TRANSFER_ENCODING);
        let body = self.read_body(response).await?;
        if !is_delimited && status.is_success() && !closes_itself(&body) {
            let reason = "response without a length is not complete JSON".to_owned();
            return Err(ServiceError::OutcomeUnknown(reason));
        }
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body);
            return Err(status_error(
                status,
                &text.chars().take(EXCERPT_CHARS).collect::<String>(),
            ));
        }
        Ok(body)
    }

    async fn read_body(&self, mut response: Response) -> Result<Bytes, ServiceError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = response.chunk().await? {
            if body.len() + chunk.len() > self.settings.response_limit {
                let limit = self.settings.response_limit;
                return Err(ServiceError::Failed(format!("response is larger than {limit} bytes")));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Fetches the load report, or returns `None` if the service has none.
    pub async fn load(&self) -> Result<Option<Load>, ServiceError> {
        let Some(path) = &self.settings.load_path else { return Ok(None) };
        let url = format!("{}{path}", self.settings.url);
        let response = self.pooled.get(url).timeout(self.settings.probe_timeout).send().await?;
        let status = response.status();
        if !status.is_success() {
            return Err(status_error(status, ""));
        }
        let body = self.read_body(response).await?;
        let load = serde_json::from_slice(&body);
        load.map(Some)
            .map_err(|error| ServiceError::OutcomeUnknown(format!("invalid report: {error}")))
    }

    /// Returns whether the health check succeeds.
    pub async fn healthy(&self) -> bool {
        let url = format!("{}{}", self.settings.url, self.settings.health_path);
        let request = self.pooled.get(url).timeout(self.settings.probe_timeout);
        request.send().await.is_ok_and(|response| response.status().is_success())
    }
}

/// Whether a body is a JSON value of which no part is one as well. The end of the connection doesn't tell that a
/// response without a length is complete, since a service that crashes closes it too.
fn closes_itself(body: &[u8]) -> bool {
    matches!(body.trim_ascii_start().first(), Some(b'{' | b'[' | b'"'))
        && serde_json::from_slice::<IgnoredAny>(body).is_ok()
}

fn call_headers(attempt: AttemptId, key: Option<Digest>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(&attempt.to_string()) {
        headers.insert("damaskweir-attempt", value);
    }
    if let Some(Ok(value)) = key.map(|key| HeaderValue::from_str(&key.to_string())) {
        headers.insert("idempotency-key", value);
    }
    headers
}
