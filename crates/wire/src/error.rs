//! Errors of the protocol.

use crate::hello::{PROTOCOL_VERSION, PeerId};
use quinn::{ConnectionError, TransportErrorCode, VarInt};
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// QUIC application error codes with which connections are closed.
pub(crate) const CLOSE_NORMAL: VarInt = VarInt::from_u32(0);
pub(crate) const CLOSE_PROTOCOL_VERSION: VarInt = VarInt::from_u32(1);
pub(crate) const CLOSE_MALFORMED: VarInt = VarInt::from_u32(2);
pub(crate) const CLOSE_UNEXPECTED_PEER: VarInt = VarInt::from_u32(3);

/// TLS alerts (RFC 8446, section 6) that report a rejected certificate. 51 (`decrypt_error`) is sent if
/// another authority with the same name signed the certificate with its own key.
const CERTIFICATE_ALERTS: [u8; 10] = [41, 42, 43, 44, 45, 46, 48, 49, 51, 116];
/// TLS alert `no_application_protocol`.
const ALPN_ALERT: u8 = 120;

/// Error while reading or writing a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame is larger than the limit.
    #[error("frame is larger than the limit of {limit} bytes")]
    TooLarge {
        /// Maximum frame size in bytes.
        limit: usize,
    },
    /// The stream ended in the middle of a frame.
    #[error("stream ended in the middle of a frame")]
    Truncated,
    /// The frame does not contain a valid message.
    #[error("frame does not hold the expected message: {0}")]
    Malformed(postcard::Error),
    /// Reading from or writing to the stream failed.
    #[error("stream failed: {0}")]
    Io(#[from] io::Error),
}

/// Error while setting up or using a connection between an entry and a sidecar.
#[derive(Debug, Error)]
pub enum WireError {
    /// A PEM file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The certificates or the private key are invalid.
    #[error("invalid certificates or private key: {0}")]
    Keys(String),
    /// The socket could not be opened.
    #[error("cannot open the socket: {0}")]
    Socket(io::Error),
    /// The peer uses another protocol version.
    #[error(
        "peer uses protocol version {}, this process uses {PROTOCOL_VERSION}",
        .peer_version.map_or("unknown".to_owned(), |version| version.to_string())
    )]
    ProtocolVersion {
        /// The peer's version, if it was received.
        peer_version: Option<u16>,
    },
    /// This process or the peer rejected the other's certificate.
    #[error("certificate rejected: {0}")]
    Certificate(String),
    /// Another process than the expected one answered at the address, or the client is not an entry.
    #[error("peer is {found}, expected {expected}")]
    UnexpectedPeer {
        /// Description of the expected process.
        expected: String,
        /// Id that the peer sent.
        found: PeerId,
    },
    /// The peer rejected this process because it expected another one.
    #[error("rejected by the peer as an unexpected process")]
    RefusedByPeer,
    /// The sidecar has reached its connection limit.
    #[error("connection limit reached")]
    ConnectionLimit,
    /// The peer did not complete the handshake in time.
    #[error("handshake timed out")]
    HandshakeTimeout,
    /// A frame could not be read or written.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer closed the connection because of an invalid frame or an unexpected message.
    #[error("peer rejected a frame: {0}")]
    FrameRejected(String),
    /// The peer sent a message that is not valid on its stream.
    #[error("message does not fit its stream")]
    UnexpectedMessage,
    /// The stream ended before its last message.
    #[error("stream ended before the last message")]
    StreamEnded,
    /// The peer does not have the requested part of the bundle.
    #[error("peer does not have the requested part of the bundle")]
    NotFound,
    /// The connection ended or could not be established.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
}

impl WireError {
    /// Short name of the kind of error, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            WireError::File { .. } | WireError::Keys(_) => "keys",
            WireError::Socket(_) => "socket",
            WireError::ProtocolVersion { .. } => "protocol",
            WireError::Certificate(_) => "certificate",
            WireError::UnexpectedPeer { .. } | WireError::RefusedByPeer => "peer",
            WireError::ConnectionLimit => "full",
            WireError::HandshakeTimeout => "timeout",
            WireError::Frame(_) | WireError::FrameRejected(_) => "frame",
            WireError::UnexpectedMessage => "message",
            WireError::StreamEnded => "ended",
            WireError::NotFound => "absent",
            WireError::ConnectionLost(_) => "lost",
        }
    }
}

impl From<rustls::Error> for WireError {
    fn from(error: rustls::Error) -> Self {
        WireError::Keys(error.to_string())
    }
}

impl From<ConnectionError> for WireError {
    fn from(error: ConnectionError) -> Self {
        match &error {
            ConnectionError::VersionMismatch => WireError::ProtocolVersion { peer_version: None },
            ConnectionError::TransportError(inner) => from_transport_code(inner.code, &error),
            ConnectionError::ConnectionClosed(inner) => {
                from_transport_code(inner.error_code, &error)
            }
            ConnectionError::ApplicationClosed(inner) => match inner.error_code {
                CLOSE_PROTOCOL_VERSION => {
                    // The close reason contains the peer's version.
                    let text = String::from_utf8_lossy(&inner.reason);
                    WireError::ProtocolVersion { peer_version: text.parse().ok() }
                }
                CLOSE_MALFORMED => {
                    WireError::FrameRejected(String::from_utf8_lossy(&inner.reason).into_owned())
                }
                CLOSE_UNEXPECTED_PEER => WireError::RefusedByPeer,
                _ => WireError::ConnectionLost(error.to_string()),
            },
            _ => WireError::ConnectionLost(error.to_string()),
        }
    }
}

fn from_transport_code(code: TransportErrorCode, error: &ConnectionError) -> WireError {
    if code == TransportErrorCode::crypto(ALPN_ALERT) {
        return WireError::ProtocolVersion { peer_version: None };
    }
    if code == TransportErrorCode::CONNECTION_REFUSED {
        return WireError::ConnectionLimit;
    }
    if CERTIFICATE_ALERTS.iter().any(|alert| code == TransportErrorCode::crypto(*alert)) {
        return WireError::Certificate(error.to_string());
    }
    WireError::ConnectionLost(error.to_string())
}
