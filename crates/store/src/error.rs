use thiserror::Error;

/// Whether a call that failed changed anything in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEffect {
    /// It changed nothing and will not.
    None,
    /// It may have changed something, or still may.
    Unknown,
}

/// Why a call failed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The settings can't be used.
    #[error("store client: {0}")]
    Settings(String),
    /// This process has used up its share of the store's rate.
    #[error("store call not sent: the rate share is used up")]
    RateLimited,
    /// No connection to the store was made.
    #[error("store call not sent: {0}")]
    Connect(String),
    /// The store refused the call.
    #[error("store refused the call: HTTP {status}: {text}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// The store's own text.
        text: String,
    },
    /// The call was sent and its answer did not arrive, or left open whether it took effect.
    #[error("store answer lost: {0}")]
    ResponseLost(String),
    /// The store answered with something that can't be read.
    #[error("store answer can't be read: {0}")]
    InvalidResponse(String),
    /// A watch can't go on, because revisions that it needs were compacted.
    #[error("store watch ended: revisions before {0} were compacted")]
    Compacted(u64),
}

impl StoreError {
    /// Whether the call may have changed something.
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

    /// Whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::RateLimited | Self::Connect(_) | Self::ResponseLost(_) => true,
            Self::Rejected { status, .. } => *status == 429,
            Self::Settings(_) | Self::InvalidResponse(_) | Self::Compacted(_) => false,
        }
    }
}
