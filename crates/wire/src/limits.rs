//! Size limits, timeouts and heartbeat intervals of connections.

use std::time::Duration;

/// Limits of connections. The two ends of a connection may use different limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum frame size in bytes. A request body, an answer or a bundle section must fit into a frame.
    pub max_frame: usize,
    /// Maximum number of streams that an entry can have open on a connection. Each attempt in progress
    /// uses one, and the control stream counts too.
    pub max_streams: u32,
    /// Maximum number of open connections of a sidecar.
    pub max_connections: usize,
    /// Time without packets after which the connection counts as lost.
    pub idle_timeout: Duration,
    /// Interval of a sidecar's heartbeats. Must be well below `idle_timeout`, because only the
    /// heartbeats and their acknowledgements keep an idle connection open at both ends.
    pub sidecar_heartbeat: Duration,
    /// Interval of an entry's heartbeats, which repeat its bundle version. A new version is announced
    /// immediately.
    pub entry_heartbeat: Duration,
    /// Maximum duration of a handshake, including the exchange of Hellos.
    pub handshake_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_frame: 16 << 20,
            max_streams: 1024,
            max_connections: 1024,
            // Tolerates two lost heartbeats and detects a dead peer within 3 s.
            idle_timeout: Duration::from_millis(2500),
            sidecar_heartbeat: Duration::from_secs(1),
            // A sidecar whose pull failed retries when the version is announced again, and a bundle
            // has to take effect within 4 s.
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
