//! The HTTP/1.1 client of this package.
//!
//! It writes requests and reads responses on one connection at a time. A general-purpose client can't be
//! used: a backend server may send a second response to an earlier request late, where the next response
//! is expected. Only the id in a response tells which request it belongs to, so responses to other
//! requests must be skipped.

use crate::head::{ParsedHead, check_trailer, parse_chunk_size, parse_head};
use crate::memory::{BodyBuffer, BufferError};
use bytes::{Buf, Bytes, BytesMut};
use damaskweir_core::time::Span;
use http::{HeaderMap, HeaderName, StatusCode};
use socket2::{SockRef, TcpKeepalive};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hasher as _};
use std::io;
use std::iter;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Maximum size in bytes of a response head, of a line in a chunked body, and of the trailers.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Buffer space in bytes that is reserved before each read.
const READ_BYTES: usize = 16 * 1024;
/// Maximum number of interim responses and responses to other requests that are skipped before a
/// connection is given up.
const SKIPPED_RESPONSES_MAX: usize = 3;
/// Maximum total size in bytes of the bodies of skipped responses.
const SKIPPED_BYTES_MAX: usize = 256 * 1024;
/// Maximum number of answers by which a repeated one is recognized.
const PAST_ANSWERS_MAX: usize = 64;
/// Time after which a connection fails if sent data is not acknowledged (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Idle timeout of a connection if the server announces none.
const IDLE_TIMEOUT_DEFAULT: Span = Span::from_secs(4);
/// Subtracted from the idle timeout that a server announces, to allow for the transit time of the next
/// request.
const IDLE_MARGIN: Span = Span::from_millis(700);

/// An error on a connection.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection could not be opened; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// Reading or writing failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed before the response was complete.
    #[error("connection closed before the response was complete")]
    UnexpectedEof,
    /// The response is invalid or exceeds a limit.
    #[error("invalid HTTP/1.1 response: {0}")]
    Malformed(&'static str),
    /// The response can't be buffered.
    #[error("response can't be buffered: {0}")]
    Buffer(#[from] BufferError),
    /// The server accepts no request now; nothing was sent.
    #[error("the server accepts no request now")]
    Declined,
    /// No response arrived in time.
    #[error("timed out waiting for a response")]
    TimedOut,
}

impl HttpError {
    /// Whether nothing listens at the address.
    pub(crate) fn is_refusal(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// How the end of the body is found, and the position in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body ends after this many bytes.
    Length(u64),
    /// In a chunk with this many bytes left.
    ChunkData(u64),
    /// Before the line break after a chunk.
    ChunkEnd,
    /// Before the size line of a chunk.
    ChunkSize,
    /// In the trailers, of which this many bytes have been read.
    Trailers(usize),
    /// The body ends when the connection is closed.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Status and header fields of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// All header fields.
    pub headers: HeaderMap,
}

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: BytesMut,
    framing: Framing,
    /// The body of the response ends with the connection, so nothing in it tells whether it is complete.
    unframed: bool,
    /// No further request may be sent: the server closes the connection, or a request was sent only in
    /// part.
    must_close: bool,
    /// The server answered a request before all of it was sent, and the rest was not.
    is_cut: bool,
    /// The answer to the latest request was the expected one, see [`Conn::finish`].
    is_finished: bool,
    /// The latest answer may be the copy of an earlier one, so its own may follow, see [`Conn::doubt`].
    is_doubtful: bool,
    /// When the connection has been idle for too long to be reused.
    reusable_until: Instant,
    /// Number of requests sent so far.
    uses: u32,
    /// When the latest request was sent.
    sent: Instant,
    /// Digests of the latest answers that were recorded: body and call.
    past_answers: VecDeque<(u64, u64)>,
}

impl Conn {
    /// Opens a connection, or fails after `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, HttpError> {
        let timed_out = |_| HttpError::Connect(io::ErrorKind::TimedOut.into());
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting.map_err(timed_out)?.map_err(HttpError::Connect)?;
        let socket = SockRef::from(&stream);
        let probes =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        stream.set_nodelay(true).map_err(HttpError::Connect)?;
        socket.set_tcp_keepalive(&probes).map_err(HttpError::Connect)?;
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)).map_err(HttpError::Connect)?;
        Ok(Self {
            stream,
            buf: BytesMut::new(),
            framing: Framing::Done,
            unframed: false,
            must_close: false,
            is_cut: false,
            is_finished: true,
            is_doubtful: false,
            reusable_until: Instant::now() + Duration::from(IDLE_TIMEOUT_DEFAULT),
            uses: 0,
            sent: Instant::now(),
            past_answers: VecDeque::new(),
        })
    }

    /// Returns whether another request may be sent. Probes for unexpected data, and consumes a byte of it
    /// if there is any.
    pub fn is_reusable(&mut self) -> bool {
        let read = self.framing == Framing::Done && self.is_finished;
        let idle = read && self.buf.is_empty() && !self.must_close;
        let quiet = || {
            let mut byte = [0; 1];
            let read = self.stream.try_read(&mut byte);
            matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
        };
        idle && Instant::now() < self.reusable_until && quiet()
    }

    /// Returns whether the response ends with the connection, so that one which its server broke off looks
    /// complete.
    pub fn is_unframed(&self) -> bool {
        self.unframed
    }

    /// Records the body of the answer to a call. Returns the call that an earlier answer on this connection
    /// with the same body was recorded for.
    pub fn record_answer(&mut self, call: u64, body: &[u8]) -> Option<u64> {
        let mut hasher = DefaultHasher::new();
        hasher.write(body);
        let digest = hasher.finish();
        let earlier = self.past_answers.iter().find(|(body, _)| *body == digest);
        if let Some((_, call)) = earlier {
            return Some(*call);
        }
        if self.past_answers.len() == PAST_ANSWERS_MAX {
            self.past_answers.pop_front();
        }
        self.past_answers.push_back((digest, call));
        None
    }

    /// Records that the answer to the latest request was understood and belongs to it. Without this the connection is
    /// not reused: answers that follow would be taken for those to other requests.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }

    /// Records that the latest answer may be a copy of an earlier one, and the next one the answer to the latest
    /// request.
    pub fn doubt(&mut self) {
        self.is_doubtful = true;
    }

    /// Records that the latest answer belongs to the latest request for certain.
    pub fn clear_doubt(&mut self) {
        self.is_doubtful = false;
    }

    /// Whether the next answer may belong to an earlier request.
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Closes the connection after the current response instead of reusing it.
    pub fn close_after_response(&mut self) {
        self.must_close = true;
    }

    /// Returns the number of requests sent so far.
    pub fn uses(&self) -> u32 {
        self.uses
    }

    /// Returns the time since the latest request was sent.
    pub fn time_since_sent(&self) -> Span {
        self.sent.elapsed().into()
    }

    /// Sends a request. If the server responds before it has read all of it, the rest is not sent and
    /// the connection is not reused.
    pub async fn send(&mut self, head: &[u8], body: &[Bytes]) -> Result<(), HttpError> {
        self.uses += 1;
        self.sent = Instant::now();
        self.is_finished = false;
        let mut parts = iter::once(head).chain(body.iter().map(|part| &part[..]));
        let mut left: &[u8] = &[];
        loop {
            if left.is_empty() {
                match parts.next() {
                    Some(part) => left = part,
                    None => break,
                }
                continue;
            }
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await?;
            if ready.is_writable() {
                match self.stream.try_write(left) {
                    Ok(n) => left = &left[n..],
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e.into()),
                }
            } else if ready.is_readable() {
                match self.stream.try_read_buf(&mut self.buf) {
                    Ok(0) => return Err(HttpError::UnexpectedEof),
                    Ok(_) => {
                        (self.must_close, self.is_cut) = (true, true);
                        return Ok(());
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e.into()),
                }
            }
        }
        Ok(self.stream.flush().await?)
    }

    /// Reads the head of the first response that `is_own` accepts, and skips responses to other requests.
    pub async fn read_head(
        &mut self,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ResponseHead, HttpError> {
        let mut skipped = 0;
        for _ in 0..=SKIPPED_RESPONSES_MAX {
            let ParsedHead { head, framing, closes, .. } = self.next_head().await?;
            if head.status.is_informational() {
                continue;
            }
            self.framing = framing;
            self.unframed = framing == Framing::UntilClose;
            self.must_close |= closes;
            self.update_keep_alive(&head);
            if is_own(&head) {
                return Ok(head);
            }
            while let Some(bytes) = self.read_chunk().await? {
                skipped += bytes.len();
                if skipped > SKIPPED_BYTES_MAX {
                    return Err(HttpError::Malformed("skipped responses too large"));
                }
            }
            if self.must_close {
                return Err(HttpError::UnexpectedEof);
            }
        }
        Err(HttpError::Malformed("too many responses to other requests"))
    }

    /// Reads the next bytes of the body. Returns `None` when it is complete.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.framing {
                Framing::Done => return Ok(None),
                Framing::Length(0) => self.framing = Framing::Done,
                Framing::Length(left) => {
                    let bytes = self.read_up_to(left).await?;
                    self.framing = Framing::Length(left - bytes.len() as u64);
                    return Ok(Some(bytes));
                }
                Framing::UntilClose => {
                    if self.buf.is_empty() && self.fill_buf().await? == 0 {
                        if !self.has_ended_whole() {
                            return Err(HttpError::UnexpectedEof);
                        }
                        self.framing = Framing::Done;
                        return Ok(None);
                    }
                    return Ok(Some(self.buf.split().freeze()));
                }
                Framing::ChunkData(0) => self.framing = Framing::ChunkEnd,
                Framing::ChunkData(left) => {
                    let bytes = self.read_up_to(left).await?;
                    self.framing = Framing::ChunkData(left - bytes.len() as u64);
                    return Ok(Some(bytes));
                }
                Framing::ChunkEnd => {
                    let line_break = [self.read_byte().await?, self.read_byte().await?];
                    if line_break != *b"\r\n" {
                        return Err(HttpError::Malformed("missing line break after chunk"));
                    }
                    self.framing = Framing::ChunkSize;
                }
                Framing::ChunkSize => {
                    let line = self.read_line().await?;
                    self.framing = match parse_chunk_size(&line)? {
                        0 => Framing::Trailers(0),
                        size => Framing::ChunkData(size),
                    };
                }
                Framing::Trailers(read) => {
                    let line = self.read_line().await?;
                    self.framing = match line.len() {
                        0 => Framing::Done,
                        more if read + more > HEAD_BYTES_MAX => {
                            return Err(HttpError::Malformed("trailers too large"));
                        }
                        more => {
                            check_trailer(&line)?;
                            Framing::Trailers(read + more)
                        }
                    };
                }
            }
        }
    }

    /// Reads the whole body into a buffer.
    pub async fn read_body(&mut self, mut buffer: BodyBuffer) -> Result<BodyBuffer, HttpError> {
        while let Some(bytes) = self.read_chunk().await? {
            buffer.push(&bytes)?;
        }
        Ok(buffer)
    }

    async fn next_head(&mut self) -> Result<ParsedHead, HttpError> {
        loop {
            if let Some(parsed) = parse_head(&self.buf)? {
                self.buf.advance(parsed.size);
                return Ok(parsed);
            }
            if self.buf.len() > HEAD_BYTES_MAX {
                return Err(HttpError::Malformed("head too large"));
            }
            self.fill_more().await?;
        }
    }

    fn update_keep_alive(&mut self, head: &ResponseHead) {
        let named = head.headers.get(HeaderName::from_static("keep-alive"));
        let named = named.and_then(|value| keep_alive_timeout(value.to_str().ok()?));
        let idle = named.map_or(IDLE_TIMEOUT_DEFAULT, |idle| idle.saturating_sub(IDLE_MARGIN));
        self.reusable_until = Instant::now() + Duration::from(idle);
    }

    /// Whether a response that ends with its connection may be complete. The server has to read the whole request
    /// before it closes the connection in order, and a reset may have been reported to a write alone: then reads
    /// find the end of the connection, which is no longer connected.
    fn has_ended_whole(&self) -> bool {
        !self.is_cut && self.stream.peer_addr().is_ok()
    }

    async fn read_up_to(&mut self, limit: u64) -> Result<Bytes, HttpError> {
        if self.buf.is_empty() {
            self.fill_more().await?;
        }
        let n = usize::try_from(limit).unwrap_or(usize::MAX).min(self.buf.len());
        Ok(self.buf.split_to(n).freeze())
    }

    async fn read_byte(&mut self) -> Result<u8, HttpError> {
        if self.buf.is_empty() {
            self.fill_more().await?;
        }
        Ok(self.buf.get_u8())
    }

    /// Reads a line and returns it without its line break.
    async fn read_line(&mut self) -> Result<BytesMut, HttpError> {
        loop {
            if let Some(end) = memchr::memchr(b'\n', &self.buf) {
                let mut line = self.buf.split_to(end + 1);
                if !line.ends_with(b"\r\n") {
                    return Err(HttpError::Malformed("invalid line break"));
                }
                line.truncate(end - 1);
                return Ok(line);
            }
            if self.buf.len() > HEAD_BYTES_MAX {
                return Err(HttpError::Malformed("line too long"));
            }
            self.fill_more().await?;
        }
    }

    /// Reads more bytes, or fails at the end of the connection.
    async fn fill_more(&mut self) -> Result<(), HttpError> {
        match self.fill_buf().await? {
            0 => Err(HttpError::UnexpectedEof),
            _ => Ok(()),
        }
    }

    async fn fill_buf(&mut self) -> Result<usize, HttpError> {
        self.buf.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.buf).await?)
    }
}

/// Idle connections to one peer, kept for reuse.
#[derive(Debug, Default)]
pub struct IdleConns(Vec<Conn>);

impl IdleConns {
    /// Returns the most recently kept connection that is still reusable, and closes those kept after it.
    pub fn take(&mut self) -> Option<Conn> {
        while let Some(mut conn) = self.0.pop() {
            if conn.is_reusable() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection if it is reusable and fewer than `limit` are kept; closes it otherwise.
    pub fn keep(&mut self, mut conn: Conn, limit: usize) {
        if self.0.len() < limit && conn.is_reusable() {
            self.0.push(conn);
        }
    }
}

/// Returns the `timeout` parameter of a `Keep-Alive` field.
fn keep_alive_timeout(value: &str) -> Option<Span> {
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|p| p.strip_prefix("timeout=")).next()?;
    seconds.parse().ok().map(Span::from_secs)
}
