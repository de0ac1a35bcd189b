//! The entry's end of connections.

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
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum number of bundle pulls that a sidecar can have in progress per connection.
const MAX_PULL_STREAMS: u32 = 16;

/// Opens connections to sidecars. All of them use one UDP socket.
#[derive(Debug)]
pub struct Dialer {
    endpoint: quinn::Endpoint,
    config: quinn::ClientConfig,
    server_name: String,
    local: LocalNode,
    limits: Limits,
}

impl Dialer {
    /// Binds the UDP socket. With port 0, the operating system assigns a port.
    pub fn bind(
        address: SocketAddr,
        keys: &Keys,
        local: LocalNode,
        limits: Limits,
    ) -> Result<Self, WireError> {
        let mut config = quinn::ClientConfig::new(Arc::new(keys.client_config()?));
        config.transport_config(Arc::new(limits.transport_config(MAX_PULL_STREAMS)));
        let endpoint = quinn::Endpoint::client(address).map_err(WireError::Socket)?;
        Ok(Self { endpoint, config, server_name: keys.server_name().to_owned(), local, limits })
    }

    /// Connects to the sidecar of `server`. Fails if another process answers at the address.
    pub async fn connect(&self, address: SocketAddr, server: &ServerId) -> Result<Link, WireError> {
        match timeout(self.limits.handshake_timeout, self.handshake(address, server)).await {
            Ok(result) => result,
            Err(_) => Err(WireError::HandshakeTimeout),
        }
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(CLOSE_NORMAL, b"");
        self.endpoint.wait_idle().await;
    }

    async fn handshake(&self, address: SocketAddr, server: &ServerId) -> Result<Link, WireError> {
        let connecting = self
            .endpoint
            .connect_with(self.config.clone(), address, &self.server_name)
            .map_err(|error| WireError::ConnectionLost(error.to_string()))?;
        let connection = connecting.await?;
        let (send, recv) = connection.open_bi().await?;
        let limit = self.limits.max_frame;
        let writer = match send_hello(send, &self.local, limit).await {
            Ok(writer) => writer,
            Err(error) => {
                return Err(connection.close_reason().map_or(error.into(), WireError::from));
            }
        };
        let (hello, reader) = read_hello(&connection, recv, &self.local, limit).await?;
        if !matches!(&hello.id, PeerId::Sidecar(id) if id == server) {
            return Err(refuse_peer(&connection, hello.id, format!("sidecar {server}")));
        }
        let session = Session::new(connection, hello, self.local.clone(), self.limits);
        Ok(Link::start(session, writer, reader))
    }
}

/// A connection from an entry to a sidecar. Clones share the connection. It is closed when the last clone
/// is dropped; each [`Attempt`] holds one.
#[derive(Clone, Debug)]
pub struct Link {
    session: Arc<Session>,
    reports: Arc<watch::Sender<Option<Report>>>,
}

impl Link {
    /// The Hello that the sidecar sent.
    pub fn hello(&self) -> &Hello {
        &self.session.hello
    }

    /// Watches the sidecar's newest report, which is `None` until the first one arrives.
    pub fn reports(&self) -> watch::Receiver<Option<Report>> {
        self.reports.subscribe()
    }

    /// Sends an attempt. If this fails or the future is dropped, the sidecar can't have received the
    /// complete message, so the attempt does not run.
    pub async fn dispatch(
        &self,
        dispatch: &Dispatch,
        payload: Payload,
    ) -> Result<Attempt, WireError> {
        let message = EntryMessage::Dispatch(Box::new(dispatch.clone()), payload);
        let (writer, reader) = self.send_request(message).await?;
        Ok(Attempt {
            writer: Some(writer),
            reader,
            link: self.clone(),
            ended: false,
            service_time: None,
        })
    }

    /// Tells the sidecar not to start a non-idempotent attempt, and returns the attempt's status. If the
    /// attempt has ended, the answer is included, unless the sidecar did not retain it.
    pub async fn forbid(
        &self,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> Result<(AttemptStatus, Option<Bytes>), WireError> {
        match self.round_trip(EntryMessage::Forbid(attempt, incarnation)).await? {
            SidecarMessage::Status(status, answer) => Ok((status, answer)),
            _ => Err(self.session.unexpected_message()),
        }
    }

    /// Pulls part of the sidecar's bundle.
    pub async fn pull(&self, request: PullRequest) -> Result<Bytes, WireError> {
        match self.round_trip(EntryMessage::Pull(request)).await? {
            SidecarMessage::PullReply(bytes) => bytes.ok_or(WireError::NotFound),
            _ => Err(self.session.unexpected_message()),
        }
    }

    /// Waits for the end of the connection and returns its reason.
    pub async fn closed(&self) -> WireError {
        self.session.closed().await
    }

    /// Closes the connection for all clones of the link.
    pub fn close(&self) {
        self.session.close();
    }

    fn start(session: Session, writer: Writer<FromEntry>, reader: Reader<FromSidecar>) -> Self {
        let link = Self { session: Arc::new(session), reports: Arc::new(watch::Sender::new(None)) };
        // The tasks hold weak links: the connection is closed when its session is dropped, which the
        // tasks must not prevent.
        let timer = link.session.heartbeat_timer(link.session.limits.entry_heartbeat);
        tokio::spawn(send_heartbeats(link.downgrade(), timer, writer));
        tokio::spawn(read_heartbeats(link.downgrade(), reader));
        tokio::spawn(serve_pulls(link.downgrade(), link.session.connection.clone()));
        link
    }

    fn downgrade(&self) -> WeakLink {
        WeakLink { session: Arc::downgrade(&self.session), reports: Arc::clone(&self.reports) }
    }

    fn wrap(&self, message: EntryMessage) -> FromEntry {
        self.session.activity.record();
        FromEntry { version: self.session.local.version(), message }
    }

    fn update_report(&self, report: Report) {
        self.reports.send_if_modified(|current| {
            let newer = current.is_none_or(|known| known.serial < report.serial);
            if newer {
                *current = Some(report);
            }
            newer
        });
    }

    async fn send_request(
        &self,
        message: EntryMessage,
    ) -> Result<(Writer<FromEntry>, Reader<FromSidecar>), WireError> {
        let streams = self.session.connection.open_bi().await?;
        let (mut writer, reader) = self.session.framed(streams);
        match writer.send(&self.wrap(message)).await {
            Ok(()) => Ok((writer, reader)),
            // This end's own limit rejected the message before any of it was sent, so the connection stays
            // usable.
            Err(error @ FrameError::TooLarge { .. }) => Err(error.into()),
            Err(error) => Err(self.session.stream_error(error)),
        }
    }

    async fn round_trip(&self, message: EntryMessage) -> Result<SidecarMessage, WireError> {
        let (_writer, mut reader) = self.send_request(message).await?;
        match reader.next().await {
            Some(Ok(answer)) => {
                self.update_report(answer.report);
                Ok(answer.message)
            }
            Some(Err(error)) => Err(self.session.stream_error(error)),
            None => Err(WireError::StreamEnded),
        }
    }
}

/// A weak reference to a link, held by the link's own tasks.
struct WeakLink {
    session: std::sync::Weak<Session>,
    reports: Arc<watch::Sender<Option<Report>>>,
}

impl WeakLink {
    fn upgrade(&self) -> Option<Link> {
        Some(Link { session: self.session.upgrade()?, reports: Arc::clone(&self.reports) })
    }
}

/// An attempt at a sidecar. Dropping it cancels the attempt unless it has ended.
#[derive(Debug)]
pub struct Attempt {
    /// Dropping the writer closes the sending half of the stream, which cancels the attempt.
    writer: Option<Writer<FromEntry>>,
    reader: Reader<FromSidecar>,
    link: Link,
    ended: bool,
    service_time: Option<Span>,
}

impl Attempt {
    /// Returns the next message, or `None` after the last one. After an error, the attempt may have run
    /// or still be running. No message is lost if the future is dropped.
    pub async fn next(&mut self) -> Result<Option<AttemptMessage>, WireError> {
        if self.ended {
            return Ok(None);
        }
        let FromSidecar { report, message } = match self.reader.next().await {
            Some(Ok(message)) => message,
            Some(Err(error)) => return Err(self.link.session.stream_error(error)),
            None => return Err(WireError::StreamEnded),
        };
        let message = match message {
            SidecarMessage::Attempt(message) => message,
            SidecarMessage::Ended(outcome, service_time) => {
                self.service_time = Some(service_time);
                AttemptMessage::Done(outcome)
            }
            _ => return Err(self.link.session.unexpected_message()),
        };
        self.link.update_report(report);
        self.ended = message.is_last();
        Ok(Some(message))
    }

    /// Time that the backend server spent on the attempt, without queueing. Set once the attempt is done.
    pub fn service_time(&self) -> Option<Span> {
        self.service_time
    }

    /// Asks the sidecar to cancel the attempt. The last message still arrives.
    pub fn cancel(&mut self) {
        self.writer = None;
    }
}

async fn send_heartbeats(link: WeakLink, mut timer: HeartbeatTimer, mut writer: Writer<FromEntry>) {
    loop {
        timer.wait(|| link.upgrade().is_some_and(|link| link.session.activity.take())).await;
        let Some(link) = link.upgrade() else { return };
        let message = link.wrap(EntryMessage::Heartbeat);
        // `wrap` recorded the heartbeat as activity, which would suppress every second heartbeat.
        link.session.activity.take();
        drop(link);
        if writer.send(&message).await.is_err() {
            return;
        }
    }
}

async fn read_heartbeats(link: WeakLink, mut reader: Reader<FromSidecar>) {
    while let Some(message) = reader.next().await {
        let Some(link) = link.upgrade() else { return };
        match message {
            Ok(FromSidecar { report, message: SidecarMessage::Heartbeat }) => {
                link.update_report(report)
            }
            Ok(_) => {
                link.session.unexpected_message();
                return;
            }
            Err(error) => {
                link.session.stream_error(error);
                return;
            }
        }
    }
}

/// Answers the sidecar's bundle pulls.
async fn serve_pulls(link: WeakLink, connection: quinn::Connection) {
    while let Ok(streams) = connection.accept_bi().await {
        let Some(link) = link.upgrade() else { return };
        tokio::spawn(async move {
            let (mut writer, mut reader) = link.session.framed(streams);
            match reader.next().await {
                Some(Ok(FromSidecar { report, message: SidecarMessage::Pull(request) })) => {
                    link.update_report(report);
                    let message = EntryMessage::PullReply(link.session.local.bundle_part(request));
                    // If the sidecar disconnected, it pulls from another peer.
                    let _ = writer.send(&link.wrap(message)).await;
                }
                Some(Ok(_)) => {
                    link.session.unexpected_message();
                }
                Some(Err(error)) => {
                    link.session.stream_error(error);
                }
                None => {}
            }
        });
    }
}
