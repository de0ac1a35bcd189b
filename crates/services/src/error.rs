//! Errors of service calls.

use reqwest::StatusCode;
use std::error::Error as _;
use thiserror::Error;

/// Why a call gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ServiceError {
    /// No connection could be made, so it did not run.
    #[error("not reached: {0}")]
    Unreachable(String),
    /// The service did not start it.
    #[error("refused before it ran: {0}")]
    Refused(String),
    /// The service ran it and failed, or its answer can't be used.
    #[error("ran and failed: {0}")]
    Failed(String),
    /// The service may have run it.
    #[error("may have run: {0}")]
    OutcomeUnknown(String),
}

impl From<reqwest::Error> for ServiceError {
    fn from(error: reqwest::Error) -> Self {
        let mut reason = error.to_string();
        let mut source = error.source();
        while let Some(inner) = source {
            reason.push_str(": ");
            reason.push_str(&inner.to_string());
            source = inner.source();
        }
        if error.is_connect() {
            ServiceError::Unreachable(reason)
        } else if error.is_builder() {
            // Without a valid request nothing was sent.
            ServiceError::Refused(reason)
        } else {
            ServiceError::OutcomeUnknown(reason)
        }
    }
}

/// The error for an answer with this status.
pub(crate) fn status_error(status: StatusCode, excerpt: &str) -> ServiceError {
    let reason = format!("status {status}: {excerpt}");
    match status {
        StatusCode::TOO_MANY_REQUESTS => ServiceError::Refused(reason),
        // These come from something between that gave up waiting.
        StatusCode::REQUEST_TIMEOUT | StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            ServiceError::OutcomeUnknown(reason)
        }
        // A service that answers 503 may have done part of the work, unlike an engine.
        _ => ServiceError::Failed(reason),
    }
}
