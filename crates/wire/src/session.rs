//! Connection state and error handling that both ends share.

use crate::error::{CLOSE_MALFORMED, CLOSE_NORMAL, FrameError, WireError};
use crate::frame::{Codec, Reader, Writer};
use crate::hello::{Hello, LocalNode};
use crate::limits::Limits;
use crate::pulse::{Activity, HeartbeatTimer};
use quinn::{Connection, RecvStream, SendStream};
use std::fmt::Display;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio_util::codec::{FramedRead, FramedWrite};

/// A connection after its handshake.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) connection: Connection,
    pub(crate) hello: Hello,
    pub(crate) local: LocalNode,
    pub(crate) limits: Limits,
    pub(crate) activity: Activity,
    /// Protocol error for which this end closed the connection.
    close_error: Mutex<Option<WireError>>,
}

impl Session {
    pub(crate) fn new(
        connection: Connection,
        hello: Hello,
        local: LocalNode,
        limits: Limits,
    ) -> Self {
        let activity = Activity::default();
        Self { connection, hello, local, limits, activity, close_error: Mutex::new(None) }
    }

    pub(crate) fn framed<R, W>(
        &self,
        (send, recv): (SendStream, RecvStream),
    ) -> (Writer<W>, Reader<R>) {
        let limit = self.limits.max_frame;
        (FramedWrite::new(send, Codec::new(limit)), FramedRead::new(recv, Codec::new(limit)))
    }

    /// Creates the timer for this end's heartbeats.
    pub(crate) fn heartbeat_timer(&self, period: Duration) -> HeartbeatTimer {
        HeartbeatTimer::new(period, self.local.subscribe())
    }

    /// Converts a stream error. An invalid frame closes the whole connection, because nothing else that
    /// the peer sends can be trusted either.
    pub(crate) fn stream_error(&self, error: FrameError) -> WireError {
        match error {
            FrameError::TooLarge { .. } | FrameError::Malformed(_) => {
                self.close_malformed(&error);
                self.record_error(WireError::Frame(error))
            }
            // The connection stays open, because a cancel may truncate a stream.
            FrameError::Truncated => WireError::Frame(error),
            FrameError::Io(_) => match self.connection.close_reason() {
                Some(reason) => reason.into(),
                None => WireError::StreamEnded,
            },
        }
    }

    /// Closes the connection because of a message that is not valid on its stream.
    pub(crate) fn unexpected_message(&self) -> WireError {
        let error = WireError::UnexpectedMessage;
        self.close_malformed(&error);
        self.record_error(error)
    }

    /// Waits for the end of the connection and returns its reason.
    pub(crate) async fn closed(&self) -> WireError {
        let reason = self.connection.closed().await;
        let close_error = self.close_error.lock().unwrap_or_else(PoisonError::into_inner).take();
        close_error.unwrap_or_else(|| reason.into())
    }

    pub(crate) fn close(&self) {
        self.connection.close(CLOSE_NORMAL, b"");
    }

    /// Closes the connection. The peer receives the error's text as the close reason.
    fn close_malformed(&self, error: &impl Display) {
        self.connection.close(CLOSE_MALFORMED, error.to_string().as_bytes());
    }

    /// Stores the error for `closed`, unless one is stored already, and returns its text as a
    /// `ConnectionLost`.
    fn record_error(&self, error: WireError) -> WireError {
        let short = WireError::ConnectionLost(error.to_string());
        let mut close_error = self.close_error.lock().unwrap_or_else(PoisonError::into_inner);
        close_error.get_or_insert(error);
        short
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.close();
    }
}
