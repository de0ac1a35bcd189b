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
const HEAD_MAX: usize = 32 * 1024;
/// Bytes of an answer that is read as a whole.
const BODY_MAX: usize = 16 * 1024 * 1024;
/// Size of one read.
const READ_SIZE: usize = 16 * 1024;
/// Answers of other requests that are skipped before a connection is given up, and bytes of their bodies.
const SKIP_MAX: usize = 3;
const SKIP_BYTES: usize = 256 * 1024;
/// Time after which a connection fails whose bytes are not acknowledged.
const UNACKED: Duration = Duration::from_millis(1_500);
/// Idle time after which the kernel probes a connection, and between probes.
const PROBE: Duration = Duration::from_secs(2);
/// Idle time of a connection whose server names none.
const IDLE: Span = Span::from_secs(4);
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
    Broken(#[from] io::Error),
    /// The connection ended before the answer did.
    #[error("answer ended early")]
    Early,
    /// Bytes that are no answer.
    #[error("not an answer in HTTP/1.1: {0}")]
    Malformed(&'static str),
    /// No answer in time.
    #[error("no answer in time")]
    Late,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// After this many bytes.
    Length(u64),
    /// Inside a chunk with this many bytes left, its line break included.
    Chunk(u64),
    /// At a chunk's size line.
    Size,
    /// In the trailers, of which this many bytes were read.
    Trailers(usize),
    /// When the connection ends.
    Close,
    /// It has ended.
    Done,
}

/// Head of an answer.
#[derive(Debug)]
pub struct Head {
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
    closing: bool,
    /// Last moment at which it may be used again.
    expires: Instant,
    /// Requests sent on it.
    uses: u32,
}

impl Conn {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr, within: Duration) -> Result<Self, HttpError> {
        let late = |_| HttpError::Connect(io::ErrorKind::TimedOut.into());
        let connecting = timeout(within, TcpStream::connect(address)).await;
        let stream = connecting.map_err(late)?.map_err(HttpError::Connect)?;
        let socket = SockRef::from(&stream);
        let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE);
        stream.set_nodelay(true).map_err(HttpError::Connect)?;
        socket.set_tcp_keepalive(&probes).map_err(HttpError::Connect)?;
        socket.set_tcp_user_timeout(Some(UNACKED)).map_err(HttpError::Connect)?;
        Ok(Self {
            stream,
            buf: BytesMut::new(),
            framing: Framing::Done,
            closing: false,
            expires: Instant::now() + Duration::from(IDLE),
            uses: 0,
        })
    }

    /// Whether another request may be sent. Reads nothing but what should not be there.
    pub fn usable(&mut self) -> bool {
        let idle = self.framing == Framing::Done && self.buf.is_empty() && !self.closing;
        let quiet = || {
            let mut byte = [0; 1];
            let read = self.stream.try_read(&mut byte);
            matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
        };
        idle && Instant::now() < self.expires && quiet()
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
                    Ok(0) => return Err(HttpError::Early),
                    Ok(_) => {
                        self.closing = true;
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
    pub async fn head(&mut self, own: impl Fn(&Head) -> bool) -> Result<Head, HttpError> {
        let mut skipped = 0;
        for _ in 0..=SKIP_MAX {
            let head = self.any_head().await?;
            if head.status.is_informational() {
                continue;
            }
            self.framing = framing(&head)?;
            self.note_reuse(&head);
            if own(&head) {
                return Ok(head);
            }
            while let Some(bytes) = self.chunk().await? {
                skipped += bytes.len();
                if skipped > SKIP_BYTES {
                    return Err(HttpError::Malformed("too much of other requests"));
                }
            }
            if self.closing {
                return Err(HttpError::Early);
            }
        }
        Err(HttpError::Malformed("answers of other requests only"))
    }

    /// The next bytes of the body. `None`: the body is complete.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.framing {
                Framing::Done => return Ok(None),
                Framing::Length(0) => self.framing = Framing::Done,
                Framing::Length(left) => {
                    let bytes = self.take(left).await?;
                    self.framing = Framing::Length(left - bytes.len() as u64);
                    return Ok(Some(bytes));
                }
                Framing::Close => {
                    if self.buf.is_empty() && self.fill().await? == 0 {
                        self.framing = Framing::Done;
                        return Ok(None);
                    }
                    return Ok(Some(self.buf.split().freeze()));
                }
                Framing::Chunk(left) if left > 2 => {
                    let bytes = self.take(left - 2).await?;
                    self.framing = Framing::Chunk(left - bytes.len() as u64);
                    return Ok(Some(bytes));
                }
                Framing::Chunk(_) => {
                    if self.line().await?.is_empty() {
                        self.framing = Framing::Size;
                    } else {
                        return Err(HttpError::Malformed("chunk without a line break"));
                    }
                }
                Framing::Size => {
                    let line = self.line().await?;
                    let size = chunk_size(&line)?;
                    self.framing =
                        if size == 0 { Framing::Trailers(0) } else { Framing::Chunk(size + 2) };
                }
                Framing::Trailers(read) => {
                    let line = self.line().await?;
                    self.framing = match line.len() {
                        0 => Framing::Done,
                        more if read + more > HEAD_MAX => {
                            return Err(HttpError::Malformed("trailers too large"));
                        }
                        more => Framing::Trailers(read + more),
                    };
                }
            }
        }
    }

    /// The whole body.
    pub async fn body(&mut self) -> Result<Bytes, HttpError> {
        let mut all = BytesMut::new();
        while let Some(bytes) = self.chunk().await? {
            if all.len() + bytes.len() > BODY_MAX {
                return Err(HttpError::Malformed("body too large"));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(all.freeze())
    }

    async fn any_head(&mut self) -> Result<Head, HttpError> {
        loop {
            if let Some((head, length)) = parse(&self.buf)? {
                self.buf.advance(length);
                return Ok(head);
            }
            if self.buf.len() > HEAD_MAX {
                return Err(HttpError::Malformed("head too large"));
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Early);
            }
        }
    }

    fn note_reuse(&mut self, head: &Head) {
        let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let close = text(header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let named = text(HeaderName::from_static("keep-alive")).and_then(keep_alive);
        let idle = named.map_or(IDLE, |idle| idle.saturating_sub(IDLE_MARGIN));
        self.closing |= close || self.framing == Framing::Close;
        self.expires = Instant::now() + Duration::from(idle);
    }

    async fn take(&mut self, most: u64) -> Result<Bytes, HttpError> {
        if self.buf.is_empty() && self.fill().await? == 0 {
            return Err(HttpError::Early);
        }
        let n = usize::try_from(most).unwrap_or(usize::MAX).min(self.buf.len());
        Ok(self.buf.split_to(n).freeze())
    }

    async fn line(&mut self) -> Result<BytesMut, HttpError> {
        loop {
            if let Some(end) = memchr::memchr(b'\n', &self.buf) {
                let mut line = self.buf.split_to(end + 1);
                line.truncate(end);
                if line.last() == Some(&b'\r') {
                    line.truncate(end - 1);
                }
                return Ok(line);
            }
            if self.buf.len() > HEAD_MAX {
                return Err(HttpError::Malformed("line too long"));
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Early);
            }
        }
    }

    async fn fill(&mut self) -> Result<usize, HttpError> {
        self.buf.reserve(READ_SIZE);
        Ok(self.stream.read_buf(&mut self.buf).await?)
    }
}

/// Connections that are kept for further requests to one peer.
#[derive(Debug, Default)]
pub struct Kept(Vec<Conn>);

impl Kept {
    /// The connection that was kept last and can still be used; the others are closed.
    pub fn take(&mut self) -> Option<Conn> {
        while let Some(mut conn) = self.0.pop() {
            if conn.usable() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection if it can be used again and fewer than `most` are kept.
    pub fn keep(&mut self, mut conn: Conn, most: usize) {
        if self.0.len() < most && conn.usable() {
            self.0.push(conn);
        }
    }
}

fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut answer = httparse::Response::new(&mut fields);
    let parsed = answer.parse(bytes).map_err(|_| HttpError::Malformed("bad head"))?;
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    let code = answer.code.unwrap_or_default();
    let status = StatusCode::from_u16(code).map_err(|_| HttpError::Malformed("bad status"))?;
    let mut headers = HeaderMap::with_capacity(answer.headers.len());
    for field in answer.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(HttpError::Malformed("bad header field"));
        };
        headers.append(name, value);
    }
    Ok(Some((Head { status, headers }, length)))
}

fn framing(head: &Head) -> Result<Framing, HttpError> {
    if head.status == StatusCode::NO_CONTENT || head.status == StatusCode::NOT_MODIFIED {
        return Ok(Framing::Done);
    }
    let text = |value: &HeaderValue| value.to_str().map(str::to_owned).unwrap_or_default();
    if let Some(coding) = head.headers.get(header::TRANSFER_ENCODING) {
        return match text(coding).eq_ignore_ascii_case("chunked") {
            true => Ok(Framing::Size),
            false => Err(HttpError::Malformed("unknown transfer coding")),
        };
    }
    let mut lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().map(text);
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(Framing::Close),
        (Some(length), None) => {
            length.parse().map(Framing::Length).map_err(|_| HttpError::Malformed("bad length"))
        }
        _ => Err(HttpError::Malformed("two lengths")),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let digits = text.split(';').next().unwrap_or_default().trim();
    u64::from_str_radix(digits, 16).map_err(|_| HttpError::Malformed("bad chunk size"))
}

/// The time of a `Keep-Alive` field.
fn keep_alive(value: &str) -> Option<Span> {
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|p| p.strip_prefix("timeout=")).next()?;
    seconds.parse().ok().map(Span::from_secs)
}
