//! Limits of connections.

use std::time::Duration;

/// Limits of connections; both ends may have different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a frame. Holds at least a body, an answer or a bundle section.
    pub frame: usize,
    /// Attempts in progress per connection.
    pub streams: u32,
    /// Connections that a side holds at once.
    pub connections: usize,
    /// Time without any packet after which the peer counts as dead.
    pub idle: Duration,
    /// Time between heartbeats of a side; well below `idle`. They and their acknowledgements keep both
    /// ends of the connection alive.
    pub heartbeat: Duration,
    /// Time between heartbeats of an entry, which tell its bundle version; a change is told at once.
    pub announce: Duration,
    /// Time in which a handshake must complete, Hello included.
    pub handshake: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            frame: 16 << 20,
            streams: 1024,
            connections: 1024,
            // Two heartbeats may be lost; the peer is noticed to be dead within 3 s.
            idle: Duration::from_millis(2500),
            heartbeat: Duration::from_secs(1),
            // A side whose pull failed pulls again when a version is shown again; a bundle has 4 s.
            announce: Duration::from_secs(2),
            handshake: Duration::from_secs(2),
        }
    }
}

impl Limits {
    pub(crate) fn transport(&self, streams: u32) -> quinn::TransportConfig {
        let mut config = quinn::TransportConfig::default();
        let idle = u32::try_from(self.idle.as_millis()).unwrap_or(u32::MAX);
        config
            .max_idle_timeout(Some(quinn::VarInt::from_u32(idle).into()))
            .max_concurrent_bidi_streams(streams.into())
            .max_concurrent_uni_streams(0u32.into())
            .datagram_receive_buffer_size(None);
        config
    }
}
