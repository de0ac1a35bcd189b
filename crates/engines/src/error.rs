//! Errors of engine calls, told apart by what happened to the work.

use damaskweir_core::prelude::Span;
use reqwest::header::RETRY_AFTER;
use reqwest::{Response, StatusCode};
use std::error::Error as _;
use thiserror::Error;

/// Bytes of an error answer that go into the log.
const EXCERPT_CHARS: usize = 200;

/// Why a call gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// No connection could be made, so it did not run.
    #[error("not reached: {0}")]
    Unreachable(String),
    /// The engine did not start it.
    #[error("refused before it ran: {reason}")]
    Refused {
        /// Why.
        reason: String,
        /// When to come back, if the engine says so.
        retry_after: Option<Span>,
    },
    /// The engine ran it and failed.
    #[error("ran and failed: {0}")]
    Failed(String),
    /// The engine may have run it, or part of it.
    #[error("may have run: {0}")]
    OutcomeUnknown(String),
}

/// Why an order was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The engine has taken an order with a higher fencing number.
    #[error("order is outdated: the engine has taken fencing number {current}")]
    Fenced {
        /// The number that the engine has taken.
        current: u64,
    },
    /// The call failed. Orders are absolute, so they can be repeated.
    #[error(transparent)]
    Call(#[from] EngineError),
}

impl From<reqwest::Error> for EngineError {
    fn from(error: reqwest::Error) -> Self {
        let mut reason = error.to_string();
        let mut source = error.source();
        while let Some(inner) = source {
            reason.push_str(": ");
            reason.push_str(&inner.to_string());
            source = inner.source();
        }
        if error.is_connect() {
            EngineError::Unreachable(reason)
        } else if error.is_builder() {
            // Without a valid request nothing was sent.
            EngineError::Refused { reason, retry_after: None }
        } else {
            EngineError::OutcomeUnknown(reason)
        }
    }
}

/// Passes on an answer with status 200 and turns any other into an error.
pub(crate) async fn check_status(response: Response) -> Result<Response, EngineError> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    let retry_after = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Span::from_secs);
    let text = response.text().await.unwrap_or_default();
    let reason =
        format!("status {status}: {}", text.chars().take(EXCERPT_CHARS).collect::<String>());
    Err(match status {
        // Engines answer so when their waiting queue is full or they are starting.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            EngineError::Refused { reason, retry_after }
        }
        // These come from something between that gave up waiting.
        StatusCode::REQUEST_TIMEOUT | StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            EngineError::OutcomeUnknown(reason)
        }
        _ => EngineError::Failed(reason),
    })
}
