//! The first message of both ends, and what a process tells its peers about itself.

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

/// Version of the protocol; also part of the ALPN name.
pub const PROTOCOL_VERSION: u16 = 1;

/// Bytes of a Hello; names are short.
const MAX_HELLO_BYTES: usize = 4 << 10;

value! {
    /// Who a process is.
    #[serde(rename_all = "snake_case")]
    pub enum PeerId {
        /// An entry instance.
        Entry(InstanceId),
        /// The side of a backend server.
        #[serde(rename = "side")]
        Sidecar(ServerId),
    }

    /// First message of each end.
    pub struct Hello {
        /// Protocol version. Stays the first field in all versions, so that each version can read it.
        pub protocol: u16,
        /// Who the process is.
        pub id: PeerId,
        /// Where it runs.
        pub zone: AvailabilityZone,
        /// Its run.
        pub incarnation: Incarnation,
        /// Its bundle version in force.
        pub version: Version,
    }
}

impl fmt::Display for PeerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerId::Entry(id) => write!(f, "entry {id}"),
            PeerId::Sidecar(id) => write!(f, "side {id}"),
        }
    }
}

type BundleSource = Arc<dyn Fn(PullRequest) -> Option<Bytes> + Send + Sync>;

/// What a process tells its peers about itself. Shared by all of its connections.
#[derive(Clone)]
pub struct LocalNode {
    protocol: u16,
    id: PeerId,
    zone: AvailabilityZone,
    incarnation: Incarnation,
    /// A change makes all connections send a heartbeat at once.
    version: Arc<watch::Sender<Version>>,
    bundle: BundleSource,
}

impl LocalNode {
    /// A process without a bundle.
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

    /// Answers peers that pull the manifest or sections of the bundle.
    pub fn with_bundle_source(
        mut self,
        source: impl Fn(PullRequest) -> Option<Bytes> + Send + Sync + 'static,
    ) -> Self {
        self.bundle = Arc::new(source);
        self
    }

    /// Claims another protocol version, to test how peers refuse it.
    #[doc(hidden)]
    pub fn with_protocol(mut self, protocol: u16) -> Self {
        self.protocol = protocol;
        self
    }

    /// The bundle version in force changed; all peers are told at once. Lower versions are ignored.
    pub fn set_version(&self, version: Version) {
        self.version.send_if_modified(|current| {
            let higher = version > *current;
            *current = version.max(*current);
            higher
        });
    }

    /// Sends all peers a heartbeat at once, for example when a side begins to drain.
    pub fn notify_peers(&self) {
        self.version.send_modify(|_| {});
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// The bundle version in force.
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

/// Sends this process's Hello.
pub(crate) async fn send_hello<T>(
    send: SendStream,
    local: &LocalNode,
    limit: usize,
) -> Result<Writer<T>, FrameError> {
    let mut writer = FramedWrite::new(send, Codec::<Hello>::new(MAX_HELLO_BYTES));
    writer.send(&local.hello()).await?;
    Ok(writer.map_encoder(|codec| codec.into_codec(limit)))
}

/// Reads the peer's Hello. A peer of another protocol version is disconnected.
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
        // A connection that was closed by the peer says more than the stream that broke with it.
        Some(Err(error)) => {
            return Err(connection.close_reason().map_or(error, WireError::from));
        }
        None => return Err(connection.closed().await.into()),
    };
    Ok((hello, reader.map_decoder(|_| Codec::new(limit))))
}

/// Disconnects a peer that is not the expected one.
pub(crate) fn refuse_peer(connection: &Connection, found: PeerId, expected: String) -> WireError {
    connection.close(CLOSE_UNEXPECTED_PEER, b"unexpected process");
    WireError::UnexpectedPeer { expected, found }
}

/// Reads one Hello of any protocol version.
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
