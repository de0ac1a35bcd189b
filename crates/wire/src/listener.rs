//! The side's end of connections.

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

/// Requests of a connection that wait for the side to take them.
const REQUEST_QUEUE_LEN: usize = 64;
/// Connections and refusals that wait for the side to take them.
const ACCEPT_QUEUE_LEN: usize = 64;

type ReportSource = Arc<dyn Fn() -> Report + Send + Sync>;

/// Accepts connections of entries.
#[derive(Debug)]
pub struct Listener {
    endpoint: quinn::Endpoint,
    address: SocketAddr,
    accepted: mpsc::Receiver<Result<Connection, RejectedConnection>>,
}

/// A connection that was refused; nothing else happened.
#[derive(Debug)]
pub struct RejectedConnection {
    /// Where it came from.
    pub address: SocketAddr,
    /// Why it was refused.
    pub error: WireError,
}

impl Listener {
    /// Opens the socket. Port 0 lets the system pick one. `report` is called for each message, so it
    /// must not wait.
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

    /// The address that the socket is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The next connection, or the reason why one was refused; `None` after `close`.
    pub async fn accept(&mut self) -> Option<Result<Connection, RejectedConnection>> {
        self.accepted.recv().await
    }

    /// Closes all connections and waits until the peers have been told.
    pub async fn close(&self) {
        self.endpoint.close(CLOSE_NORMAL, b"");
        self.endpoint.wait_idle().await;
    }
}

/// What each new connection needs.
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
            // Nobody wants connections of a listener that was dropped.
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

/// The entry at the other end of a connection. Copies share the connection.
#[derive(Clone)]
pub struct Peer {
    session: Arc<Session>,
    report: ReportSource,
    versions: Arc<watch::Sender<Version>>,
}

impl Peer {
    /// Who the entry is.
    pub fn hello(&self) -> &Hello {
        &self.session.hello
    }

    /// The highest bundle version that the entry has shown.
    pub fn versions(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Pulls a part of the entry's bundle.
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

    /// Waits for the end of the connection and tells its reason.
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

/// A peer that the connection's own tasks hold.
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

/// A connection of an entry.
#[derive(Debug)]
pub struct Connection {
    peer: Peer,
    requests: mpsc::Receiver<Request>,
}

impl Connection {
    /// The entry.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// The next request; `None` once the connection has ended and all cancels that its end implies
    /// were taken.
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
        // The tasks end with the connection, so they must not keep the session alive.
        let timer = peer.session.heartbeat_timer(acceptor.limits.sidecar_heartbeat);
        tokio::spawn(send_heartbeats(peer.downgrade(), timer, writer));
        tokio::spawn(read_heartbeats(peer.downgrade(), reader));
        let connection = peer.session.connection.clone();
        tokio::spawn(accept_streams(peer.downgrade(), connection, acceptor.next_id, sender));
        Self { peer, requests }
    }
}

/// Tells apart the streams that attempts came on; a copy of a dispatch comes on another stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId(u64);

/// What an entry asks of the side.
#[derive(Debug)]
pub enum Request {
    /// Run an attempt.
    Dispatch {
        /// The attempt.
        dispatch: Box<Dispatch>,
        /// What the backend server needs.
        payload: Payload,
        /// Where its messages go.
        reply: Reply,
    },
    /// Give up the attempt that came with this id.
    Cancel(AttemptId, DispatchId),
    /// Tell what is known about a non-idempotent attempt, and promise never to start it if that is
    /// still possible.
    Forbid {
        /// The attempt.
        attempt: AttemptId,
        /// The incarnation that it belongs to.
        incarnation: Incarnation,
        /// Where the answer goes.
        reply: ForbidReply,
    },
}

/// Sends the messages of one attempt, each with a report.
#[derive(Debug)]
pub struct Reply {
    peer: Peer,
    writer: Writer<FromSidecar>,
    id: DispatchId,
    /// Dropped when no cancel is wanted any more.
    cancel_watch: Option<oneshot::Sender<()>>,
}

impl Reply {
    /// The stream that the attempt came on.
    pub fn dispatch_id(&self) -> DispatchId {
        self.id
    }

    /// The entry that sent the attempt.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Sends a message; waits while the entry does not take more. After the last message of the
    /// attempt it returns once the entry has got everything, and no cancel follows.
    pub async fn send(&mut self, message: AttemptMessage) -> Result<(), WireError> {
        let last = message.is_last();
        self.send_message(SidecarMessage::Attempt(message), last).await
    }

    /// Sends the end of the attempt like `send`, with the time that the backend server took.
    pub async fn finish(&mut self, outcome: Outcome, service_time: Span) -> Result<(), WireError> {
        self.send_message(SidecarMessage::Ended(outcome, service_time), true).await
    }

    async fn send_message(&mut self, message: SidecarMessage, last: bool) -> Result<(), WireError> {
        if last {
            self.cancel_watch = None;
        }
        if let Err(error) = self.writer.send(&self.peer.wrap(message)).await {
            return Err(match error {
                // Nothing of a message that is too large for this end was sent.
                FrameError::TooLarge { .. } => error.into(),
                error => self.peer.session.stream_error(error),
            });
        }
        if last {
            let stream = self.writer.get_mut();
            // It fails only if the entry no longer reads.
            let _ = stream.finish();
            if stream.stopped().await.is_err() {
                return Err(WireError::StreamEnded);
            }
        }
        Ok(())
    }
}

/// Sends the answer to an [`Request::Forbid`].
#[derive(Debug)]
pub struct ForbidReply {
    peer: Peer,
    writer: Writer<FromSidecar>,
}

impl ForbidReply {
    /// Sends what is known, with the kept answer of an attempt that has ended.
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
        // The heartbeat itself must not count as traffic, or every second one would be left out.
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
        // The entry gave up before it had sent the whole message.
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
                // Nothing follows a dispatch but the end of the stream.
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
            // An entry that went away pulls again from another peer.
            let _ = writer.send(&peer.wrap(message)).await;
        }
        EntryMessage::Heartbeat | EntryMessage::PullReply(_) => {
            peer.session.unexpected_message();
        }
    }
}
