//! What both ends of a connection share.

use crate::error::{CODE_DONE, CODE_MALFORMED, FrameError, WireError};
use crate::frame::{Codec, Reader, Writer};
use crate::hello::{Hello, Local};
use crate::limits::Limits;
use crate::pulse::{Beats, Pulse};
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
    pub(crate) local: Local,
    pub(crate) limits: Limits,
    pub(crate) pulse: Pulse,
    /// Why this end closed the connection.
    fault: Mutex<Option<WireError>>,
}

impl Session {
    pub(crate) fn new(connection: Connection, hello: Hello, local: Local, limits: Limits) -> Self {
        let pulse = Pulse::default();
        Self { connection, hello, local, limits, pulse, fault: Mutex::new(None) }
    }

    pub(crate) fn frames<R, W>(
        &self,
        (send, recv): (SendStream, RecvStream),
    ) -> (Writer<W>, Reader<R>) {
        let limit = self.limits.frame;
        (FramedWrite::new(send, Codec::new(limit)), FramedRead::new(recv, Codec::new(limit)))
    }

    /// Heartbeats of this end, at most one in each period without other messages.
    pub(crate) fn beats(&self, period: Duration) -> Beats {
        Beats::new(period, self.local.watch())
    }

    /// Handles an error of a stream. Frames that can't be read end the connection: what else the
    /// peer sends can't be trusted either.
    pub(crate) fn stream_error(&self, error: FrameError) -> WireError {
        match error {
            FrameError::TooLarge { .. } | FrameError::Malformed(_) => {
                self.close_malformed(&error);
                self.note(WireError::Frame(error))
            }
            // The stream may have been cut off by a cancel.
            FrameError::Truncated => WireError::Frame(error),
            FrameError::Io(_) => match self.connection.close_reason() {
                Some(reason) => reason.into(),
                None => WireError::Ended,
            },
        }
    }

    /// Ends the connection because of a message that does not fit its stream.
    pub(crate) fn out_of_place(&self) -> WireError {
        let error = WireError::OutOfPlace;
        self.close_malformed(&error);
        self.note(error)
    }

    /// Waits for the end of the connection and tells its reason.
    pub(crate) async fn closed(&self) -> WireError {
        let reason = self.connection.closed().await;
        let fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner).take();
        fault.unwrap_or_else(|| reason.into())
    }

    pub(crate) fn close(&self) {
        self.connection.close(CODE_DONE, b"");
    }

    fn close_malformed(&self, error: &impl Display) {
        self.connection.close(CODE_MALFORMED, error.to_string().as_bytes());
    }

    /// Keeps the error for `closed` and returns a short form of it.
    fn note(&self, error: WireError) -> WireError {
        let short = WireError::Lost(error.to_string());
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        fault.get_or_insert(error);
        short
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.close();
    }
}
