//! The HTTP/1.1 client of this package.
//!
//! It writes requests and reads answers on one connection at a time. A general client does not serve
//! here: a backend server may send a second answer late, where the next one is expected, and only the
//! id in an answer tells whose it is, so answers of other requests must be skipped.

use bytes::{Buf, Bytes, BytesMut};
use damaskweir_core::time::Span;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Headers of one answer.
const HEADERS_MAX: usize = 64;
/// Bytes of the head of an answer.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Bytes of an answer that is read as a whole.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Size of one read.
const READ_BYTES: usize = 16 * 1024;
/// Answers of other requests that are skipped before a connection is given up, and bytes of their bodies.
const SKIPPED_RESPONSES_MAX: usize = 3;
const SKIPPED_BYTES_MAX: usize = 256 * 1024;
/// Time after which a connection fails whose bytes are not acknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which the kernel probes a connection, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Idle time of a connection whose server names none.
const IDLE_TIMEOUT_DEFAULT: Span = Span::from_secs(4);
/// Taken off the idle time that a server names, for the way of the next request.
const IDLE_MARGIN: Span = Span::from_millis(700);

/// What went wrong on a connection.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Io(#[from] io::Error),
    /// The connection ended before the answer did.
    #[error("answer ended early")]
    UnexpectedEof,
    /// Bytes that are no answer.
    #[error("not an answer in HTTP/1.1: {0}")]
    Malformed(&'static str),
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// After this many bytes.
    Length(u64),
    /// Inside a chunk with this many bytes left, its line break included.
    ChunkData(u64),
    /// At a chunk's size line.
    ChunkSize,
    /// In the trailers, of which this many bytes were read.
    Trailers(usize),
    /// When the connection ends.
    UntilClose,
    /// It has ended.
    Done,
}

/// Head of an answer.
#[derive(Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// All header fields.
    pub headers: HeaderMap,
}

/// One connection.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: BytesMut,
    framing: Framing,
    /// Whether the server, or a request that was not sent in full, forbids another request.
    must_close: bool,
    /// Last moment at which it may be used again.
    reusable_until: Instant,
    /// Requests sent on it.
    uses: u32,
}

impl Conn {
    /// Opens a connection.
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
            must_close: false,
            reusable_until: Instant::now() + Duration::from(IDLE_TIMEOUT_DEFAULT),
            uses: 0,
        })
    }

    /// Whether another request may be sent. Reads nothing but what should not be there.
    pub fn is_reusable(&mut self) -> bool {
        let idle = self.framing == Framing::Done && self.buf.is_empty() && !self.must_close;
        let quiet = || {
            let mut byte = [0; 1];
            let read = self.stream.try_read(&mut byte);
            matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
        };
        idle && Instant::now() < self.reusable_until && quiet()
    }

    /// Requests sent on it before.
    pub fn uses(&self) -> u32 {
        self.uses
    }

    /// Sends a request. The server may answer before it has read the whole of it; then the rest is
    /// not sent, and the connection is not used again.
    pub async fn send(&mut self, head: &[u8], body: &[u8]) -> Result<(), HttpError> {
        self.uses += 1;
        let mut bytes = Bytes::copy_from_slice(head).chain(body);
        while bytes.has_remaining() {
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await?;
            if ready.is_writable() {
                match self.stream.try_write(bytes.chunk()) {
                    Ok(n) => bytes.advance(n),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e.into()),
                }
            } else if ready.is_readable() {
                match self.stream.try_read_buf(&mut self.buf) {
                    Ok(0) => return Err(HttpError::UnexpectedEof),
                    Ok(_) => {
                        self.must_close = true;
                        return Ok(());
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e.into()),
                }
            }
        }
        Ok(self.stream.flush().await?)
    }

    /// Reads the head of the answer for which `own` holds, and skips answers of other requests.
    pub async fn read_head(
        &mut self,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ResponseHead, HttpError> {
        let mut skipped = 0;
        for _ in 0..=SKIPPED_RESPONSES_MAX {
            let head = self.next_head().await?;
            if head.status.is_informational() {
                continue;
            }
            self.framing = body_framing(&head)?;
            self.update_keep_alive(&head);
            if is_own(&head) {
                return Ok(head);
            }
            while let Some(bytes) = self.read_chunk().await? {
                skipped += bytes.len();
                if skipped > SKIPPED_BYTES_MAX {
                    return Err(HttpError::Malformed("too much of other requests"));
                }
            }
            if self.must_close {
                return Err(HttpError::UnexpectedEof);
            }
        }
        Err(HttpError::Malformed("answers of other requests only"))
    }

    /// The next bytes of the body. `None`: the body is complete.
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
                        self.framing = Framing::Done;
                        return Ok(None);
                    }
                    return Ok(Some(self.buf.split().freeze()));
                }
                Framing::ChunkData(left) if left > 2 => {
                    let bytes = self.read_up_to(left - 2).await?;
                    self.framing = Framing::ChunkData(left - bytes.len() as u64);
                    return Ok(Some(bytes));
                }
                Framing::ChunkData(_) => {
                    if self.read_line().await?.is_empty() {
                        self.framing = Framing::ChunkSize;
                    } else {
                        return Err(HttpError::Malformed("chunk without a line break"));
                    }
                }
                Framing::ChunkSize => {
                    let line = self.read_line().await?;
                    let size = parse_chunk_size(&line)?;
                    self.framing =
                        if size == 0 { Framing::Trailers(0) } else { Framing::ChunkData(size + 2) };
                }
                Framing::Trailers(read) => {
                    let line = self.read_line().await?;
                    self.framing = match line.len() {
                        0 => Framing::Done,
                        more if read + more > HEAD_BYTES_MAX => {
                            return Err(HttpError::Malformed("trailers too large"));
                        }
                        more => Framing::Trailers(read + more),
                    };
                }
            }
        }
    }

    /// The whole body.
    pub async fn read_body(&mut self) -> Result<Bytes, HttpError> {
        let mut all = BytesMut::new();
        while let Some(bytes) = self.read_chunk().await? {
            if all.len() + bytes.len() > BODY_BYTES_MAX {
                return Err(HttpError::Malformed("body too large"));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(all.freeze())
    }

    async fn next_head(&mut self) -> Result<ResponseHead, HttpError> {
        loop {
            if let Some((head, length)) = parse_head(&self.buf)? {
                self.buf.advance(length);
                return Ok(head);
            }
            if self.buf.len() > HEAD_BYTES_MAX {
                return Err(HttpError::Malformed("head too large"));
            }
            if self.fill_buf().await? == 0 {
                return Err(HttpError::UnexpectedEof);
            }
        }
    }

    fn update_keep_alive(&mut self, head: &ResponseHead) {
        let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let close = text(header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let named = text(HeaderName::from_static("keep-alive")).and_then(keep_alive_timeout);
        let idle = named.map_or(IDLE_TIMEOUT_DEFAULT, |idle| idle.saturating_sub(IDLE_MARGIN));
        self.must_close |= close || self.framing == Framing::UntilClose;
        self.reusable_until = Instant::now() + Duration::from(idle);
    }

    async fn read_up_to(&mut self, limit: u64) -> Result<Bytes, HttpError> {
        if self.buf.is_empty() && self.fill_buf().await? == 0 {
            return Err(HttpError::UnexpectedEof);
        }
        let n = usize::try_from(limit).unwrap_or(usize::MAX).min(self.buf.len());
        Ok(self.buf.split_to(n).freeze())
    }

    async fn read_line(&mut self) -> Result<BytesMut, HttpError> {
        loop {
            if let Some(end) = memchr::memchr(b'\n', &self.buf) {
                let mut line = self.buf.split_to(end + 1);
                line.truncate(end);
                if line.last() == Some(&b'\r') {
                    line.truncate(end - 1);
                }
                return Ok(line);
            }
            if self.buf.len() > HEAD_BYTES_MAX {
                return Err(HttpError::Malformed("line too long"));
            }
            if self.fill_buf().await? == 0 {
                return Err(HttpError::UnexpectedEof);
            }
        }
    }

    async fn fill_buf(&mut self) -> Result<usize, HttpError> {
        self.buf.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.buf).await?)
    }
}

/// Connections that are kept for further requests to one peer.
#[derive(Debug, Default)]
pub struct IdleConns(Vec<Conn>);

impl IdleConns {
    /// The connection that was kept last and can still be used; the others are closed.
    pub fn take(&mut self) -> Option<Conn> {
        while let Some(mut conn) = self.0.pop() {
            if conn.is_reusable() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection if it can be used again and fewer than `most` are kept.
    pub fn keep(&mut self, mut conn: Conn, limit: usize) {
        if self.0.len() < limit && conn.is_reusable() {
            self.0.push(conn);
        }
    }
}

fn parse_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut fields);
    let parsed = response.parse(bytes).map_err(|_| HttpError::Malformed("bad head"))?;
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    let code = response.code.unwrap_or_default();
    let status = StatusCode::from_u16(code).map_err(|_| HttpError::Malformed("bad status"))?;
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(HttpError::Malformed("bad header field"));
        };
        headers.append(name, value);
    }
    Ok(Some((ResponseHead { status, headers }, length)))
}

fn body_framing(head: &ResponseHead) -> Result<Framing, HttpError> {
    if head.status == StatusCode::NO_CONTENT || head.status == StatusCode::NOT_MODIFIED {
        return Ok(Framing::Done);
    }
    let text = |value: &HeaderValue| value.to_str().map(str::to_owned).unwrap_or_default();
    if let Some(coding) = head.headers.get(header::TRANSFER_ENCODING) {
        return match text(coding).eq_ignore_ascii_case("chunked") {
            true => Ok(Framing::ChunkSize),
            false => Err(HttpError::Malformed("unknown transfer coding")),
        };
    }
    let mut lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().map(text);
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(Framing::UntilClose),
        (Some(length), None) => {
            length.parse().map(Framing::Length).map_err(|_| HttpError::Malformed("bad length"))
        }
        _ => Err(HttpError::Malformed("two lengths")),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let digits = text.split(';').next().unwrap_or_default().trim();
    u64::from_str_radix(digits, 16).map_err(|_| HttpError::Malformed("bad chunk size"))
}

/// The time of a `Keep-Alive` field.
fn keep_alive_timeout(value: &str) -> Option<Span> {
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|p| p.strip_prefix("timeout=")).next()?;
    seconds.parse().ok().map(Span::from_secs)
}
