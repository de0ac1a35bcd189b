//! The client.

use damaskweir_core::prelude::*;
use reqwest::header::RETRY_AFTER;
use reqwest::{Client, StatusCode, Url};
use serde::Deserialize;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Delay after a 429 without `Retry-After`.
const DEFAULT_RETRY: Span = Span::from_secs(1);

/// Settings of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsSettings {
    /// URL of the weight store without a path.
    pub url: String,
    /// Time for one call.
    pub timeout: Duration,
}

/// What the store knows about a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct WeightsInfo {
    /// Size of the weights.
    pub bytes: u64,
}

/// Why a call brought nothing.
#[derive(Debug, Error)]
pub enum WeightsError {
    /// The version does not exist.
    #[error("the weight store has no version {version} of model {model}")]
    Absent {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// The store's rate is used up. Nothing is sent until then.
    #[error("the weight store's rate is used up for {} ms", .retry.as_millis())]
    Limited {
        /// When to come back.
        retry: Span,
    },
    /// The URL can't be used.
    #[error("the weight store's URL can't be used: {0}")]
    Url(String),
    /// The call failed.
    #[error("the weight store can't be reached: {0}")]
    Call(#[from] reqwest::Error),
}

/// Client of the weight store.
#[derive(Debug)]
pub struct Weights {
    client: Client,
    url: Url,
    /// Until when the store wants no calls.
    limited: Mutex<Option<Instant>>,
}

impl Weights {
    /// A client; nothing is sent yet.
    pub fn new(settings: &WeightsSettings) -> Result<Self, WeightsError> {
        let client = Client::builder().timeout(settings.timeout).no_proxy().build()?;
        let url =
            Url::parse(&settings.url).map_err(|error| WeightsError::Url(error.to_string()))?;
        Ok(Self { client, url, limited: Mutex::new(None) })
    }

    /// Asks about a version of a model.
    pub async fn info(&self, model: &str, version: &str) -> Result<WeightsInfo, WeightsError> {
        if let Some(retry) = self.wait() {
            return Err(WeightsError::Limited { retry });
        }
        let mut url = self.url.clone();
        url.path_segments_mut()
            .map_err(|()| WeightsError::Url("it takes no path".to_owned()))?
            .extend(["weights", model, version]);
        let response = self.client.get(url).send().await?;
        match response.status() {
            StatusCode::NOT_FOUND => {
                Err(WeightsError::Absent { model: model.to_owned(), version: version.to_owned() })
            }
            StatusCode::TOO_MANY_REQUESTS => {
                let header = response.headers().get(RETRY_AFTER);
                let retry = header
                    .and_then(|value| value.to_str().ok()?.parse().ok())
                    .map_or(DEFAULT_RETRY, Span::from_secs);
                let until = Instant::now() + retry.into();
                *self.limited.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
                Err(WeightsError::Limited { retry })
            }
            _ => Ok(response.error_for_status()?.json().await?),
        }
    }

    /// Time until the store wants calls again.
    fn wait(&self) -> Option<Span> {
        let mut limited = self.limited.lock().unwrap_or_else(PoisonError::into_inner);
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
