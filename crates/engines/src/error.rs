//! Errors of engine calls, distinguished by whether the call ran.

use crate::body::read_start;
use damaskweir_core::prelude::Span;
use reqwest::header::RETRY_AFTER;
use reqwest::{Response, StatusCode};
use std::error::Error as _;
use thiserror::Error;

/// Longest excerpt of an error response in an error message, in characters.
const EXCERPT_CHARS: usize = 200;
/// Bytes of an error response that hold the excerpt.
const EXCERPT_BYTES: usize = 4 * EXCERPT_CHARS;

/// Why a call returned no complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// No connection could be opened, so the call did not run.
    #[error("not reached: {0}")]
    Unreachable(String),
    /// The engine refused the call before it ran.
    #[error("refused before it ran: {reason}")]
    Refused {
        /// The engine's reason.
        reason: String,
        /// Delay before a retry, if the engine sent one.
        retry_after: Option<Span>,
    },
    /// The call ran and failed.
    #[error("ran and failed: {0}")]
    Failed(String),
    /// The call may have run, wholly or in part.
    #[error("may have run: {0}")]
    OutcomeUnknown(String),
}

/// Why an order was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The engine has accepted an order with a higher fencing number.
    #[error("order is outdated: the engine has accepted fencing number {current}")]
    Fenced {
        /// The highest fencing number that the engine has accepted.
        current: u64,
    },
    /// The call failed. Orders are idempotent, so the call can be retried.
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
            // The request was invalid, so it was not sent.
            EngineError::Refused { reason, retry_after: None }
        } else {
            EngineError::OutcomeUnknown(reason)
        }
    }
}

/// Returns a response with status 200 and turns any other into an error.
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
    let text = read_start(response, EXCERPT_BYTES).await.unwrap_or_default();
    let excerpt: String = String::from_utf8_lossy(&text).chars().take(EXCERPT_CHARS).collect();
    let reason = format!("status {status}: {excerpt}");
    Err(match status {
        // Engines respond with these while their queue is full or they are starting.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            EngineError::Refused { reason, retry_after }
        }
        // A proxy that stopped waiting sends these, so the engine may have run the call.
        StatusCode::REQUEST_TIMEOUT | StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            EngineError::OutcomeUnknown(reason)
        }
        _ => EngineError::Failed(reason),
    })
}
