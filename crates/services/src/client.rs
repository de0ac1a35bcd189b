//! The client.

use crate::error::{ServiceError, status_error};
use bytes::{Bytes, BytesMut};
use damaskweir_core::prelude::*;
use reqwest::Client;
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use reqwest::redirect::Policy;
use serde::Deserialize;
use std::time::Duration;

/// Bytes of an error answer that go into the log.
const EXCERPT_CHARS: usize = 200;

/// Settings of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// URL of the service without a path, such as `http://127.0.0.1:8000`.
    pub url: String,
    /// Time to connect.
    pub connect_timeout: Duration,
    /// Time for a call. For a non-idempotent one its outcome is unknown afterwards, so this is much
    /// longer than any deadline.
    pub call_timeout: Duration,
    /// Time for a health check.
    pub probe_timeout: Duration,
    /// Path of the health check.
    pub health_path: String,
    /// Path of the load report, for services that have one.
    pub load_path: Option<String>,
    /// Bytes of an answer. Below the frame limit, so that it fits into a frame.
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

/// A call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Path on the service.
    pub path: &'a str,
    /// The attempt that the call is for.
    pub attempt: AttemptId,
    /// Digest of workspace and idempotency key.
    pub key: Option<Digest>,
    /// Whether the call may be repeated.
    pub effect: Effect,
    /// JSON body.
    pub body: Bytes,
}

/// Load of a service, as it was some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
}

/// Client of one service.
#[derive(Clone, Debug)]
pub struct Service {
    pooled: Client,
    /// Opens a connection per call. A service that closes an idle connection just when a call is sent
    /// on it would leave that call's outcome unknown.
    unpooled: Client,
    settings: ServiceSettings,
}

impl Service {
    /// A client; nothing is sent yet.
    pub fn new(settings: ServiceSettings) -> Result<Self, ServiceError> {
        let builder = || {
            Client::builder()
                .connect_timeout(settings.connect_timeout)
                .timeout(settings.call_timeout)
                // A redirected or repeated call would run twice.
                .redirect(Policy::none())
                .retry(reqwest::retry::never())
                .no_proxy()
        };
        let pooled = builder().build()?;
        let unpooled = builder().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, unpooled, settings })
    }

    /// Makes a call. Dropping the future closes the connection; the service may go on all the same.
    pub async fn call(&self, call: Call<'_>) -> Result<Bytes, ServiceError> {
        let client = match call.effect {
            Effect::Idempotent => &self.pooled,
            Effect::Once => &self.unpooled,
        };
        let mut response = client
            .post(format!("{}{}", self.settings.url, call.path))
            .headers(call_headers(call.attempt, call.key))
            .body(call.body)
            .send()
            .await?;
        let status = response.status();
        let mut body = BytesMut::new();
        while let Some(chunk) = response.chunk().await? {
            if body.len() + chunk.len() > self.settings.response_limit {
                let limit = self.settings.response_limit;
                return Err(ServiceError::Failed(format!("answer is larger than {limit} bytes")));
            }
            body.extend_from_slice(&chunk);
        }
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body);
            return Err(status_error(
                status,
                &text.chars().take(EXCERPT_CHARS).collect::<String>(),
            ));
        }
        Ok(body.freeze())
    }

    /// The service's load report, if it has one.
    pub async fn load(&self) -> Result<Option<Load>, ServiceError> {
        let Some(path) = &self.settings.load_path else { return Ok(None) };
        let url = format!("{}{path}", self.settings.url);
        let response = self.pooled.get(url).timeout(self.settings.probe_timeout).send().await?;
        let status = response.status();
        if !status.is_success() {
            return Err(status_error(status, ""));
        }
        Ok(Some(response.json().await?))
    }

    /// Whether the service answers its health check.
    pub async fn healthy(&self) -> bool {
        let url = format!("{}{}", self.settings.url, self.settings.health_path);
        let request = self.pooled.get(url).timeout(self.settings.probe_timeout);
        request.send().await.is_ok_and(|response| response.status().is_success())
    }
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
