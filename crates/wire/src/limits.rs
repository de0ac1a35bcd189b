//! Limits of connections.

use std::time::Duration;

/// Limits of connections; both ends may have different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a frame. Holds at least a body, an answer or a bundle section.
    pub max_frame: usize,
    /// Attempts in progress per connection.
    pub max_streams: u32,
    /// Connections that a side holds at once.
    pub max_connections: usize,
    /// Time without any packet after which the peer counts as dead.
    pub idle_timeout: Duration,
    /// Time between heartbeats of a side; well below `idle`. They and their acknowledgements keep both
    /// ends of the connection alive.
    pub sidecar_heartbeat: Duration,
    /// Time between heartbeats of an entry, which tell its bundle version; a change is told at once.
    pub entry_heartbeat: Duration,
    /// Time in which a handshake must complete, Hello included.
    pub handshake_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_frame: 16 << 20,
            max_streams: 1024,
            max_connections: 1024,
            // Two heartbeats may be lost; the peer is noticed to be dead within 3 s.
            idle_timeout: Duration::from_millis(2500),
            sidecar_heartbeat: Duration::from_secs(1),
            // A side whose pull failed pulls again when a version is shown again; a bundle has 4 s.
            entry_heartbeat: Duration::from_secs(2),
            handshake_timeout: Duration::from_secs(2),
        }
    }
}

impl Limits {
    pub(crate) fn transport_config(&self, streams: u32) -> quinn::TransportConfig {
        let mut config = quinn::TransportConfig::default();
        let idle = u32::try_from(self.idle_timeout.as_millis()).unwrap_or(u32::MAX);
        config
            .max_idle_timeout(Some(quinn::VarInt::from_u32(idle).into()))
            .max_concurrent_bidi_streams(streams.into())
            .max_concurrent_uni_streams(0u32.into())
            .datagram_receive_buffer_size(None);
        config
    }
}
