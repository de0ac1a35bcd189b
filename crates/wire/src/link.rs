//! The entry's end of a connection.

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

/// Bundle pulls that a side may have in progress per connection.
const MAX_PULL_STREAMS: u32 = 16;

/// Opens connections to sides, all from one UDP socket.
#[derive(Debug)]
pub struct Dialer {
    endpoint: quinn::Endpoint,
    config: quinn::ClientConfig,
    server_name: String,
    local: LocalNode,
    limits: Limits,
}

impl Dialer {
    /// Opens the socket. Port 0 lets the system pick one.
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

    /// Connects to the side of `server`. Another process at that address is refused.
    pub async fn connect(&self, address: SocketAddr, server: &ServerId) -> Result<Link, WireError> {
        match timeout(self.limits.handshake_timeout, self.handshake(address, server)).await {
            Ok(result) => result,
            Err(_) => Err(WireError::HandshakeTimeout),
        }
    }

    /// Closes all connections and waits until the peers have been told.
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
            return Err(refuse_peer(&connection, hello.id, format!("side {server}")));
        }
        let session = Session::new(connection, hello, self.local.clone(), self.limits);
        Ok(Link::start(session, writer, reader))
    }
}

/// A connection from an entry to a side. Copies share it; it closes with the last one, its attempts
/// included.
#[derive(Clone, Debug)]
pub struct Link {
    session: Arc<Session>,
    reports: Arc<watch::Sender<Option<Report>>>,
}

impl Link {
    /// Who the side is.
    pub fn hello(&self) -> &Hello {
        &self.session.hello
    }

    /// The side's newest report; `None` until the first has arrived.
    pub fn reports(&self) -> watch::Receiver<Option<Report>> {
        self.reports.subscribe()
    }

    /// Sends an attempt. After an error, and when the future is dropped, the side can't have got the
    /// whole message, so the attempt does not run.
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

    /// Asks what the side knows about a non-idempotent attempt; for one that has ended, the answer
    /// comes along unless it was never kept.
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

    /// Pulls a part of the side's bundle.
    pub async fn pull(&self, request: PullRequest) -> Result<Bytes, WireError> {
        match self.round_trip(EntryMessage::Pull(request)).await? {
            SidecarMessage::PullReply(bytes) => bytes.ok_or(WireError::NotFound),
            _ => Err(self.session.unexpected_message()),
        }
    }

    /// Waits for the end of the connection and tells its reason.
    pub async fn closed(&self) -> WireError {
        self.session.closed().await
    }

    /// Closes the connection for all copies of the link.
    pub fn close(&self) {
        self.session.close();
    }

    fn start(session: Session, writer: Writer<FromEntry>, reader: Reader<FromSidecar>) -> Self {
        let link = Self { session: Arc::new(session), reports: Arc::new(watch::Sender::new(None)) };
        // The tasks end with the connection, so they must not keep the session alive.
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
            // Nothing of a message that is too large for this end was sent.
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

/// A link that its own tasks hold.
struct WeakLink {
    session: std::sync::Weak<Session>,
    reports: Arc<watch::Sender<Option<Report>>>,
}

impl WeakLink {
    fn upgrade(&self) -> Option<Link> {
        Some(Link { session: self.session.upgrade()?, reports: Arc::clone(&self.reports) })
    }
}

/// An attempt at a side. Dropping it cancels the attempt unless it has ended.
#[derive(Debug)]
pub struct Attempt {
    /// Closing this half cancels the attempt.
    writer: Option<Writer<FromEntry>>,
    reader: Reader<FromSidecar>,
    link: Link,
    ended: bool,
    service_time: Option<Span>,
}

impl Attempt {
    /// The next message; `None` after the last. An error means that the attempt may run or have run.
    /// Nothing is lost when the future is dropped.
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

    /// Time that the backend server took, waits excluded, once the attempt is done.
    pub fn service_time(&self) -> Option<Span> {
        self.service_time
    }

    /// Asks the side to give up the attempt. Its last message still follows.
    pub fn cancel(&mut self) {
        self.writer = None;
    }
}

async fn send_heartbeats(link: WeakLink, mut timer: HeartbeatTimer, mut writer: Writer<FromEntry>) {
    loop {
        timer.wait(|| link.upgrade().is_some_and(|link| link.session.activity.take())).await;
        let Some(link) = link.upgrade() else { return };
        let message = link.wrap(EntryMessage::Heartbeat);
        // The heartbeat itself must not count as traffic, or every second one would be left out.
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

/// Answers the side's bundle pulls.
async fn serve_pulls(link: WeakLink, connection: quinn::Connection) {
    while let Ok(streams) = connection.accept_bi().await {
        let Some(link) = link.upgrade() else { return };
        tokio::spawn(async move {
            let (mut writer, mut reader) = link.session.framed(streams);
            match reader.next().await {
                Some(Ok(FromSidecar { report, message: SidecarMessage::Pull(request) })) => {
                    link.update_report(report);
                    let message = EntryMessage::PullReply(link.session.local.bundle_part(request));
                    // A side that went away pulls again from another peer.
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
