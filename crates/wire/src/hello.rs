//! The `Hello` exchange at the start of a connection, and the state that a process shares with its peers.

use crate::error::{CLOSE_PROTOCOL_VERSION, CLOSE_UNEXPECTED_PEER, FrameError, WireError};
use crate::frame::{Codec, Reader, Writer};
use crate::message::PullRequest;
use bytes::{Bytes, BytesMut};
use damaskweir_core::prelude::*;
use futures::{SinkExt, StreamExt};
use quinn::{Connection, RecvStream, SendStream};
use std::fmt;
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::codec::{Decoder, FramedRead, FramedWrite, LengthDelimitedCodec};

/// Version of the protocol. It is also part of the ALPN protocol name.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum size of a Hello in bytes. It holds only short names and numbers.
const MAX_HELLO_BYTES: usize = 4 << 10;

value! {
    /// Role and id of a process.
    #[serde(rename_all = "snake_case")]
    pub enum PeerId {
        /// An entry instance.
        Entry(InstanceId),
        /// The sidecar of a backend server.
        #[serde(rename = "side")]
        Sidecar(ServerId),
    }

    /// First message that each end sends.
    pub struct Hello {
        /// Protocol version. It must stay the first field, so that every version can read it.
        pub protocol: u16,
        /// Role and id of the process.
        pub id: PeerId,
        /// Availability zone that the process runs in.
        pub zone: AvailabilityZone,
        /// Identifies this run of the process.
        pub incarnation: Incarnation,
        /// Active bundle version of the process.
        pub version: Version,
    }
}

impl fmt::Display for PeerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerId::Entry(id) => write!(f, "entry {id}"),
            PeerId::Sidecar(id) => write!(f, "sidecar {id}"),
        }
    }
}

type BundleSource = Arc<dyn Fn(PullRequest) -> Option<Bytes> + Send + Sync>;

/// Identity and active bundle version of this process, as announced to its peers. Clones share the state,
/// which all connections of the process use.
#[derive(Clone)]
pub struct LocalNode {
    protocol: u16,
    id: PeerId,
    zone: AvailabilityZone,
    incarnation: Incarnation,
    /// Active bundle version. A change makes all connections send a heartbeat immediately.
    version: Arc<watch::Sender<Version>>,
    bundle: BundleSource,
}

impl LocalNode {
    /// Creates the state of a process that has no bundle.
    pub fn new(id: PeerId, zone: AvailabilityZone, incarnation: Incarnation) -> Self {
        Self {
            protocol: PROTOCOL_VERSION,
            id,
            zone,
            incarnation,
            version: Arc::new(watch::Sender::new(Version::default())),
            bundle: Arc::new(|_| None),
        }
    }

    /// Sets the function that answers pull requests of peers. `None` means that the requested part is not
    /// available.
    pub fn with_bundle_source(
        mut self,
        source: impl Fn(PullRequest) -> Option<Bytes> + Send + Sync + 'static,
    ) -> Self {
        self.bundle = Arc::new(source);
        self
    }

    /// Announces another protocol version, to test that peers reject it.
    #[doc(hidden)]
    pub fn with_protocol(mut self, protocol: u16) -> Self {
        self.protocol = protocol;
        self
    }

    /// Sets the active bundle version and announces it to all peers immediately. Lower versions are
    /// ignored.
    pub fn set_version(&self, version: Version) {
        self.version.send_if_modified(|current| {
            let higher = version > *current;
            *current = version.max(*current);
            higher
        });
    }

    /// Sends a heartbeat to all peers immediately, for example when a sidecar starts to drain.
    pub fn notify_peers(&self) {
        self.version.send_modify(|_| {});
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// The active bundle version.
    pub fn version(&self) -> Version {
        *self.version.borrow()
    }

    pub(crate) fn bundle_part(&self, request: PullRequest) -> Option<Bytes> {
        (self.bundle)(request)
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol: self.protocol,
            id: self.id.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            version: self.version(),
        }
    }
}

impl fmt::Debug for LocalNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("LocalNode").field(&self.hello()).finish()
    }
}

/// Sends the Hello of this process.
pub(crate) async fn send_hello<T>(
    send: SendStream,
    local: &LocalNode,
    limit: usize,
) -> Result<Writer<T>, FrameError> {
    let mut writer = FramedWrite::new(send, Codec::<Hello>::new(MAX_HELLO_BYTES));
    writer.send(&local.hello()).await?;
    Ok(writer.map_encoder(|codec| codec.into_codec(limit)))
}

/// Reads the peer's Hello. Closes the connection if the peer uses another protocol version.
pub(crate) async fn read_hello<T: serde::de::DeserializeOwned>(
    connection: &Connection,
    recv: RecvStream,
    local: &LocalNode,
    limit: usize,
) -> Result<(Hello, Reader<T>), WireError> {
    let mut reader = FramedRead::new(recv, HelloCodec::new());
    let hello = match reader.next().await {
        Some(Ok(hello)) => hello,
        Some(Err(error @ WireError::ProtocolVersion { .. })) => {
            connection.close(CLOSE_PROTOCOL_VERSION, local.protocol.to_string().as_bytes());
            return Err(error);
        }
        // If the peer closed the connection, its close reason is more specific than the stream error.
        Some(Err(error)) => {
            return Err(connection.close_reason().map_or(error, WireError::from));
        }
        None => return Err(connection.closed().await.into()),
    };
    Ok((hello, reader.map_decoder(|_| Codec::new(limit))))
}

/// Closes the connection to a peer that is not the expected one.
pub(crate) fn refuse_peer(connection: &Connection, found: PeerId, expected: String) -> WireError {
    connection.close(CLOSE_UNEXPECTED_PEER, b"unexpected process");
    WireError::UnexpectedPeer { expected, found }
}

/// Decodes one Hello. Checks the protocol version first, because other versions may have other fields.
struct HelloCodec(LengthDelimitedCodec);

impl HelloCodec {
    fn new() -> Self {
        Self(LengthDelimitedCodec::builder().max_frame_length(MAX_HELLO_BYTES).new_codec())
    }
}

impl Decoder for HelloCodec {
    type Item = Hello;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Hello>, WireError> {
        let frame = match self.0.decode(source) {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(None),
            Err(_) => return Err(FrameError::TooLarge { limit: MAX_HELLO_BYTES }.into()),
        };
        let (protocol, _) =
            postcard::take_from_bytes::<u16>(&frame).map_err(FrameError::Malformed)?;
        if protocol != PROTOCOL_VERSION {
            return Err(WireError::ProtocolVersion { peer_version: Some(protocol) });
        }
        Ok(Some(postcard::from_bytes(&frame).map_err(FrameError::Malformed)?))
    }
}

impl From<std::io::Error> for WireError {
    fn from(error: std::io::Error) -> Self {
        WireError::Frame(FrameError::Io(error))
    }
}
