//! Limits of the caller API.

use std::time::Duration;

/// Limits and options of the caller API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum number of open connections; further ones wait in the listen backlog.
    pub max_connections: usize,
    /// Maximum time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Maximum time to receive a request body.
    pub upload_timeout: Duration,
    /// Whether responses include the server and the execution time of each stage.
    pub expose_stages: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Request bodies (layouts, shift summaries) are below 100 KiB; the store's largest
            // value is 1 MB.
            max_body: 1 << 20,
            max_connections: 4_096,
            header_timeout: Duration::from_secs(10),
            upload_timeout: Duration::from_secs(10),
            expose_stages: false,
        }
    }
}
