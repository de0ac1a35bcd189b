//! Errors of the store client.

use thiserror::Error;

/// Effect of a failed call on the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEffect {
    /// The call changed nothing and will not take effect later.
    None,
    /// The call may have taken effect, or may still do so.
    Unknown,
}

/// Error of a store call.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The settings are invalid.
    #[error("invalid store client settings: {0}")]
    Settings(String),
    /// The client's own rate limit would have delayed the call for too long.
    #[error("store call not sent: the client's rate limit is exhausted")]
    RateLimited,
    /// The connection to the store could not be established.
    #[error("store call not sent: {0}")]
    Connect(String),
    /// The store rejected the call with an HTTP 4xx status other than 408.
    #[error("store rejected the call: HTTP {status}: {text}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Start of the response body.
        text: String,
    },
    /// The call was sent, but no response arrived or its status does not tell whether the call took
    /// effect. Also returned when a watch is interrupted.
    #[error("store answer lost: {0}")]
    ResponseLost(String),
    /// The response could not be decoded, or a streaming response reported an error.
    #[error("invalid store response: {0}")]
    InvalidResponse(String),
    /// A watch can't continue because the store has compacted revisions that it has not reported yet.
    /// Holds the oldest revision that is still available.
    #[error("store watch ended: revisions before {0} were compacted")]
    Compacted(u64),
}

impl StoreError {
    /// Returns whether the call may have changed something in the store.
    pub fn effect(&self) -> WriteEffect {
        match self {
            Self::Settings(_) | Self::RateLimited | Self::Connect(_) | Self::Rejected { .. } => {
                WriteEffect::None
            }
            Self::ResponseLost(_) | Self::InvalidResponse(_) | Self::Compacted(_) => {
                WriteEffect::Unknown
            }
        }
    }

    /// Returns whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::RateLimited | Self::Connect(_) | Self::ResponseLost(_) => true,
            Self::Rejected { status, .. } => *status == 429,
            Self::Settings(_) | Self::InvalidResponse(_) | Self::Compacted(_) => false,
        }
    }
}
