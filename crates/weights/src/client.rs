//! Client for the weight store.

use damaskweir_core::prelude::*;
use reqwest::header::RETRY_AFTER;
use reqwest::{Client, StatusCode, Url};
use serde::Deserialize;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Delay after status 429 without a `Retry-After` in seconds.
const RETRY_AFTER_DEFAULT: Span = Span::from_secs(1);

/// Settings of a [`WeightsClient`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsSettings {
    /// URL of the weight store without a path.
    pub url: String,
    /// Timeout of one request.
    pub timeout: Duration,
}

/// Metadata of a version of a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct WeightsInfo {
    /// Size of the weights in bytes.
    pub bytes: u64,
}

/// Error of a [`WeightsClient`].
#[derive(Debug, Error)]
pub enum WeightsError {
    /// The version does not exist.
    #[error("the weight store has no version {version} of model {model}")]
    NotFound {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// The weight store limits the rate of requests. The client sends none until the delay has passed.
    #[error("the weight store is rate-limited for {} ms", .retry_after.as_millis())]
    RateLimited {
        /// Delay after which requests are sent again.
        retry_after: Span,
    },
    /// The URL is invalid or can't have a path.
    #[error("invalid URL of the weight store: {0}")]
    InvalidUrl(String),
    /// The HTTP request failed or its response is invalid.
    #[error("request to the weight store failed: {0}")]
    Request(#[from] reqwest::Error),
}

/// Client for the weight store.
#[derive(Debug)]
pub struct WeightsClient {
    client: Client,
    url: Url,
    /// End of the delay that the store asked for.
    limited_until: Mutex<Option<Instant>>,
}

impl WeightsClient {
    /// Creates a client. Sends nothing.
    pub fn new(settings: &WeightsSettings) -> Result<Self, WeightsError> {
        let client = Client::builder().timeout(settings.timeout).no_proxy().build()?;
        let url = Url::parse(&settings.url)
            .map_err(|error| WeightsError::InvalidUrl(error.to_string()))?;
        Ok(Self { client, url, limited_until: Mutex::new(None) })
    }

    /// Requests the metadata of a version of a model.
    pub async fn info(&self, model: &str, version: &str) -> Result<WeightsInfo, WeightsError> {
        if let Some(retry_after) = self.remaining_delay() {
            return Err(WeightsError::RateLimited { retry_after });
        }
        let mut url = self.url.clone();
        url.path_segments_mut()
            .map_err(|()| WeightsError::InvalidUrl("it can't have a path".to_owned()))?
            .extend(["weights", model, version]);
        let response = self.client.get(url).send().await?;
        match response.status() {
            StatusCode::NOT_FOUND => {
                Err(WeightsError::NotFound { model: model.to_owned(), version: version.to_owned() })
            }
            StatusCode::TOO_MANY_REQUESTS => {
                let header = response.headers().get(RETRY_AFTER);
                let retry_after = header
                    .and_then(|value| value.to_str().ok()?.parse().ok())
                    .map_or(RETRY_AFTER_DEFAULT, Span::from_secs);
                let until = Instant::now() + retry_after.into();
                *self.limited_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
                Err(WeightsError::RateLimited { retry_after })
            }
            _ => Ok(response.error_for_status()?.json().await?),
        }
    }

    /// Returns the time until requests may be sent again, if any.
    fn remaining_delay(&self) -> Option<Span> {
        let mut limited = self.limited_until.lock().unwrap_or_else(PoisonError::into_inner);
        let left = limited.map(|until| until.saturating_duration_since(Instant::now()));
        match left {
            Some(left) if !left.is_zero() => Some(left.into()),
            _ => {
                *limited = None;
                None
            }
        }
    }
}
