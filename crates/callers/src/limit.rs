//! Limits on what callers may send.

use std::time::Duration;

/// Limits of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body in bytes.
    pub body: usize,
    /// Connections that are served at once; more of them wait in the listen backlog.
    pub connections: usize,
    /// Time that a caller may take to send the headers of a request.
    pub headers: Duration,
    /// Time that a caller may take to send a body.
    pub upload: Duration,
    /// Whether answers name the server and the time of each stage.
    pub stages: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Layouts and shift summaries are below 100 KiB; the store's largest value is 1 MB.
            body: 1 << 20,
            connections: 4_096,
            headers: Duration::from_secs(10),
            upload: Duration::from_secs(10),
            stages: false,
        }
    }
}
