//! Limits on what callers may send.

use std::time::Duration;

/// Limits of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body in bytes.
    pub max_body: usize,
    /// Connections that are served at once; more of them wait in the listen backlog.
    pub max_connections: usize,
    /// Time that a caller may take to send the headers of a request.
    pub header_timeout: Duration,
    /// Time that a caller may take to send a body.
    pub upload_timeout: Duration,
    /// Whether answers name the server and the time of each stage.
    pub expose_stages: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Layouts and shift summaries are below 100 KiB; the store's largest value is 1 MB.
            max_body: 1 << 20,
            max_connections: 4_096,
            header_timeout: Duration::from_secs(10),
            upload_timeout: Duration::from_secs(10),
            expose_stages: false,
        }
    }
}
