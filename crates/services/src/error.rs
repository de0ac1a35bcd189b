//! Errors of service calls, distinguished by whether the call ran.

use reqwest::StatusCode;
use std::error::Error as _;
use thiserror::Error;

/// Why a call returned no usable response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ServiceError {
    /// No connection could be opened, so the call did not run.
    #[error("not reached: {0}")]
    Unreachable(String),
    /// The service refused the call before it ran.
    #[error("refused before it ran: {0}")]
    Refused(String),
    /// The call ran and failed, or its response can't be used.
    #[error("ran and failed: {0}")]
    Failed(String),
    /// The call may have run.
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
            // The request was invalid, so it was not sent.
            ServiceError::Refused(reason)
        } else {
            ServiceError::OutcomeUnknown(reason)
        }
    }
}

/// Maps the status of an unsuccessful response to an error.
pub(crate) fn status_error(status: StatusCode, excerpt: &str) -> ServiceError {
    let reason = format!("status {status}: {excerpt}");
    match status {
        StatusCode::TOO_MANY_REQUESTS => ServiceError::Refused(reason),
        // A proxy that stopped waiting sends these, so the service may have run the call.
        StatusCode::REQUEST_TIMEOUT | StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            ServiceError::OutcomeUnknown(reason)
        }
        // Unlike an engine, a service that responds with 503 may have done part of the work.
        _ => ServiceError::Failed(reason),
    }
}
