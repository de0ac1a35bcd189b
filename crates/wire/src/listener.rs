//! The sidecar's end of connections.

use crate::error::{CLOSE_NORMAL, FrameError, WireError};
use crate::frame::{Reader, Writer};
use crate::hello::{Hello, LocalNode, PeerId, read_hello, refuse_peer, send_hello};
use crate::keys::Keys;
use crate::limits::Limits;
use crate::message::{
    AttemptMessage, EntryMessage, FromEntry, FromSidecar, Payload, PullRequest, SidecarMessage,
};
use crate::pulse::HeartbeatTimer;
use crate::session::Session;
use bytes::Bytes;
use damaskweir_core::prelude::*;
use futures::{SinkExt, StreamExt};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Capacity of the queue between a connection and [`Connection::next`], in requests.
const REQUEST_QUEUE_LEN: usize = 64;
/// Capacity of the queue between the socket and [`Listener::accept`], in connections and rejections.
const ACCEPT_QUEUE_LEN: usize = 64;

type ReportSource = Arc<dyn Fn() -> Report + Send + Sync>;

/// Accepts connections from entries.
#[derive(Debug)]
pub struct Listener {
    endpoint: quinn::Endpoint,
    address: SocketAddr,
    accepted: mpsc::Receiver<Result<Connection, RejectedConnection>>,
}

/// A connection that was rejected, without any other effect.
#[derive(Debug)]
pub struct RejectedConnection {
    /// Remote address of the connection.
    pub address: SocketAddr,
    /// Reason for the rejection.
    pub error: WireError,
}

impl Listener {
    /// Binds the UDP socket. With port 0, the operating system assigns a port. `report` is called for
    /// each sent message, so it must not block.
    pub fn bind(
        address: SocketAddr,
        keys: &Keys,
        local: LocalNode,
        limits: Limits,
        report: impl Fn() -> Report + Send + Sync + 'static,
    ) -> Result<Self, WireError> {
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(keys.server_config()?));
        config.transport_config(Arc::new(limits.transport_config(limits.max_streams)));
        let endpoint = quinn::Endpoint::server(config, address).map_err(WireError::Socket)?;
        let address = endpoint.local_addr().map_err(WireError::Socket)?;
        let (sender, accepted) = mpsc::channel(ACCEPT_QUEUE_LEN);
        let acceptor =
            Acceptor { local, limits, report: Arc::new(report), next_id: Arc::default() };
        tokio::spawn(accept(endpoint.clone(), acceptor, sender));
        Ok(Self { endpoint, address, accepted })
    }

    /// Address that the socket is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the next connection or rejection, or `None` after `close`.
    pub async fn accept(&mut self) -> Option<Result<Connection, RejectedConnection>> {
        self.accepted.recv().await
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(CLOSE_NORMAL, b"");
        self.endpoint.wait_idle().await;
    }
}

/// State that each new connection needs.
#[derive(Clone)]
struct Acceptor {
    local: LocalNode,
    limits: Limits,
    report: ReportSource,
    next_id: Arc<AtomicU64>,
}

async fn accept(
    endpoint: quinn::Endpoint,
    acceptor: Acceptor,
    accepted: mpsc::Sender<Result<Connection, RejectedConnection>>,
) {
    while let Some(incoming) = endpoint.accept().await {
        let address = incoming.remote_address();
        if endpoint.open_connections() >= acceptor.limits.max_connections {
            incoming.refuse();
            let _ = accepted
                .send(Err(RejectedConnection { address, error: WireError::ConnectionLimit }))
                .await;
            continue;
        }
        let (acceptor, accepted) = (acceptor.clone(), accepted.clone());
        tokio::spawn(async move {
            let limit = acceptor.limits.handshake_timeout;
            let result = match timeout(limit, handshake(incoming, acceptor)).await {
                Ok(result) => result,
                Err(_) => Err(WireError::HandshakeTimeout),
            };
            // This fails only if the listener was dropped.
            let _ =
                accepted.send(result.map_err(|error| RejectedConnection { address, error })).await;
        });
    }
}

async fn handshake(incoming: quinn::Incoming, acceptor: Acceptor) -> Result<Connection, WireError> {
    let connection = incoming.await?;
    let (send, recv) = connection.accept_bi().await?;
    let limit = acceptor.limits.max_frame;
    let (hello, reader) = read_hello(&connection, recv, &acceptor.local, limit).await?;
    if !matches!(&hello.id, PeerId::Entry(_)) {
        return Err(refuse_peer(&connection, hello.id, "an entry".to_owned()));
    }
    let writer = match send_hello(send, &acceptor.local, limit).await {
        Ok(writer) => writer,
        Err(error) => return Err(connection.close_reason().map_or(error.into(), WireError::from)),
    };
    Ok(Connection::start(
        Session::new(connection, hello, acceptor.local.clone(), acceptor.limits),
        acceptor,
        writer,
        reader,
    ))
}

/// The entry at the other end of a connection. Clones share the connection.
#[derive(Clone)]
pub struct Peer {
    session: Arc<Session>,
    report: ReportSource,
    versions: Arc<watch::Sender<Version>>,
}

impl Peer {
    /// The Hello that the entry sent.
    pub fn hello(&self) -> &Hello {
        &self.session.hello
    }

    /// Watches the highest bundle version that the entry has announced.
    pub fn versions(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Pulls part of the entry's bundle.
    pub async fn pull(&self, request: PullRequest) -> Result<Bytes, WireError> {
        let streams = self.session.connection.open_bi().await?;
        let (mut writer, mut reader): (Writer<FromSidecar>, Reader<FromEntry>) =
            self.session.framed(streams);
        if let Err(error) = writer.send(&self.wrap(SidecarMessage::Pull(request))).await {
            return Err(self.session.stream_error(error));
        }
        match reader.next().await {
            Some(Ok(FromEntry { version, message: EntryMessage::PullReply(bytes) })) => {
                self.update_version(version);
                bytes.ok_or(WireError::NotFound)
            }
            Some(Ok(_)) => Err(self.session.unexpected_message()),
            Some(Err(error)) => Err(self.session.stream_error(error)),
            None => Err(WireError::StreamEnded),
        }
    }

    /// Waits for the end of the connection and returns its reason.
    pub async fn closed(&self) -> WireError {
        self.session.closed().await
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.session.close();
    }

    fn wrap(&self, message: SidecarMessage) -> FromSidecar {
        self.session.activity.record();
        FromSidecar { report: (self.report)(), message }
    }

    fn update_version(&self, version: Version) {
        self.versions.send_if_modified(|current| {
            let higher = version > *current;
            *current = version.max(*current);
            higher
        });
    }

    fn downgrade(&self) -> WeakPeer {
        WeakPeer {
            session: Arc::downgrade(&self.session),
            report: Arc::clone(&self.report),
            versions: Arc::clone(&self.versions),
        }
    }
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Peer").field(&self.session.hello).finish()
    }
}

/// A weak reference to a peer, held by the connection's own tasks.
struct WeakPeer {
    session: Weak<Session>,
    report: ReportSource,
    versions: Arc<watch::Sender<Version>>,
}

impl WeakPeer {
    fn upgrade(&self) -> Option<Peer> {
        Some(Peer {
            session: self.session.upgrade()?,
            report: Arc::clone(&self.report),
            versions: Arc::clone(&self.versions),
        })
    }
}

/// A connection from an entry.
#[derive(Debug)]
pub struct Connection {
    peer: Peer,
    requests: mpsc::Receiver<Request>,
}

impl Connection {
    /// The entry at the other end.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Returns the next request. When the connection ends, returns a cancel for each open attempt and
    /// then `None`.
    pub async fn next(&mut self) -> Option<Request> {
        self.requests.recv().await
    }

    fn start(
        session: Session,
        acceptor: Acceptor,
        writer: Writer<FromSidecar>,
        reader: Reader<FromEntry>,
    ) -> Self {
        let versions = Arc::new(watch::Sender::new(session.hello.version));
        let peer = Peer { session: Arc::new(session), report: acceptor.report, versions };
        let (sender, requests) = mpsc::channel(REQUEST_QUEUE_LEN);
        // The tasks hold weak peers: the connection is closed when its session is dropped, which the
        // tasks must not prevent.
        let timer = peer.session.heartbeat_timer(acceptor.limits.sidecar_heartbeat);
        tokio::spawn(send_heartbeats(peer.downgrade(), timer, writer));
        tokio::spawn(read_heartbeats(peer.downgrade(), reader));
        let connection = peer.session.connection.clone();
        tokio::spawn(accept_streams(peer.downgrade(), connection, acceptor.next_id, sender));
        Self { peer, requests }
    }
}

/// Identifies a received dispatch. A duplicate of an attempt's dispatch has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId(u64);

/// Request of an entry to the sidecar.
#[derive(Debug)]
pub enum Request {
    /// Runs an attempt.
    Dispatch {
        /// Attempt to run.
        dispatch: Box<Dispatch>,
        /// Input for the backend server.
        payload: Payload,
        /// Sends the messages of the attempt.
        reply: Reply,
    },
    /// Cancels the attempt that was dispatched with this id.
    Cancel(AttemptId, DispatchId),
    /// Asks for the status of a non-idempotent attempt, and forbids its start if it has not started.
    Forbid {
        /// Attempt to forbid.
        attempt: AttemptId,
        /// Incarnation of the sidecar that the attempt was bound to.
        incarnation: Incarnation,
        /// Sends the status of the attempt.
        reply: ForbidReply,
    },
}

/// Sends the messages of one attempt. Each includes a report.
#[derive(Debug)]
pub struct Reply {
    peer: Peer,
    writer: Writer<FromSidecar>,
    id: DispatchId,
    /// Dropped before the last message is sent, so that the end of the stream is not taken for a cancel.
    cancel_watch: Option<oneshot::Sender<()>>,
}

impl Reply {
    /// Id of the dispatch that this replies to.
    pub fn dispatch_id(&self) -> DispatchId {
        self.id
    }

    /// The entry that sent the attempt.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Sends a message, subject to flow control by the entry. For the last message of the attempt, it
    /// returns once the entry has received everything, and no cancel follows.
    pub async fn send(&mut self, message: AttemptMessage) -> Result<(), WireError> {
        let last = message.is_last();
        self.send_message(SidecarMessage::Attempt(message), last).await
    }

    /// Sends the outcome as the last message, like `send`, together with the time that the backend server
    /// spent on the attempt.
    pub async fn finish(&mut self, outcome: Outcome, service_time: Span) -> Result<(), WireError> {
        self.send_message(SidecarMessage::Ended(outcome, service_time), true).await
    }

    async fn send_message(&mut self, message: SidecarMessage, last: bool) -> Result<(), WireError> {
        if last {
            self.cancel_watch = None;
        }
        if let Err(error) = self.writer.send(&self.peer.wrap(message)).await {
            return Err(match error {
                // This end's own limit rejected the message before any of it was sent, so the connection
                // stays usable.
                FrameError::TooLarge { .. } => error.into(),
                error => self.peer.session.stream_error(error),
            });
        }
        if last {
            let stream = self.writer.get_mut();
            // This fails only if the entry has stopped reading.
            let _ = stream.finish();
            if stream.stopped().await.is_err() {
                return Err(WireError::StreamEnded);
            }
        }
        Ok(())
    }
}

/// Sends the answer to a [`Request::Forbid`].
#[derive(Debug)]
pub struct ForbidReply {
    peer: Peer,
    writer: Writer<FromSidecar>,
}

impl ForbidReply {
    /// Sends the status of the attempt and, if it has ended, its retained answer.
    pub async fn send(
        mut self,
        status: AttemptStatus,
        answer: Option<Bytes>,
    ) -> Result<(), WireError> {
        let message = self.peer.wrap(SidecarMessage::Status(status, answer));
        self.writer.send(&message).await.map_err(|error| self.peer.session.stream_error(error))
    }
}

async fn send_heartbeats(
    peer: WeakPeer,
    mut timer: HeartbeatTimer,
    mut writer: Writer<FromSidecar>,
) {
    loop {
        timer.wait(|| peer.upgrade().is_some_and(|peer| peer.session.activity.take())).await;
        let Some(peer) = peer.upgrade() else { return };
        let message = peer.wrap(SidecarMessage::Heartbeat);
        // `wrap` recorded the heartbeat as activity, which would suppress every second heartbeat.
        peer.session.activity.take();
        drop(peer);
        if writer.send(&message).await.is_err() {
            return;
        }
    }
}

async fn read_heartbeats(peer: WeakPeer, mut reader: Reader<FromEntry>) {
    while let Some(message) = reader.next().await {
        let Some(peer) = peer.upgrade() else { return };
        match message {
            Ok(FromEntry { version, message: EntryMessage::Heartbeat }) => {
                peer.update_version(version)
            }
            Ok(_) => {
                peer.session.unexpected_message();
                return;
            }
            Err(error) => {
                peer.session.stream_error(error);
                return;
            }
        }
    }
}

async fn accept_streams(
    peer: WeakPeer,
    connection: quinn::Connection,
    next_id: Arc<AtomicU64>,
    requests: mpsc::Sender<Request>,
) {
    while let Ok(streams) = connection.accept_bi().await {
        let Some(peer) = peer.upgrade() else { return };
        let id = DispatchId(next_id.fetch_add(1, Ordering::Relaxed));
        tokio::spawn(handle_stream(peer, streams, id, requests.clone()));
    }
}

async fn handle_stream(
    peer: Peer,
    streams: (quinn::SendStream, quinn::RecvStream),
    id: DispatchId,
    requests: mpsc::Sender<Request>,
) {
    let (mut writer, mut reader): (Writer<FromSidecar>, Reader<FromEntry>) =
        peer.session.framed(streams);
    let FromEntry { version, message } = match reader.next().await {
        Some(Ok(message)) => message,
        Some(Err(error)) => {
            peer.session.stream_error(error);
            return;
        }
        // The entry closed the stream before it sent a message.
        None => return,
    };
    peer.update_version(version);
    match message {
        EntryMessage::Dispatch(dispatch, payload) => {
            let attempt = dispatch.attempt;
            let (cancel_watch, ended) = oneshot::channel();
            let reply = Reply { peer, writer, id, cancel_watch: Some(cancel_watch) };
            if requests.send(Request::Dispatch { dispatch, payload, reply }).await.is_err() {
                return;
            }
            tokio::select! {
                biased;
                _ = ended => {}
                // The entry sends nothing after a dispatch, so this is the end of the stream.
                _ = reader.next() => {
                    let _ = requests.send(Request::Cancel(attempt, id)).await;
                }
            }
        }
        EntryMessage::Forbid(attempt, incarnation) => {
            let reply = ForbidReply { peer, writer };
            let _ = requests.send(Request::Forbid { attempt, incarnation, reply }).await;
        }
        EntryMessage::Pull(request) => {
            let message = SidecarMessage::PullReply(peer.session.local.bundle_part(request));
            // If the entry disconnected, it pulls from another peer.
            let _ = writer.send(&peer.wrap(message)).await;
        }
        EntryMessage::Heartbeat | EntryMessage::PullReply(_) => {
            peer.session.unexpected_message();
        }
    }
}
