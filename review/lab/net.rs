//! HTTP/1.1 messages, JSON and Base64, as far as the stand-ins need them.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds of the time of day, which all processes of a case share.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// A message with a head and a body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection and the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a message. Returns `None` if the connection ends before its head does.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut message = Message { line, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let chunked = message.field("transfer-encoding").is_some();
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        let response = message.line.starts_with("HTTP/");
        message.complete = match (chunked, length) {
            (true, _) => self.read_chunks(&mut message.body).unwrap_or(false),
            (false, Some(length)) => self.read_bytes(length, &mut message.body).unwrap_or(false),
            (false, None) if response => {
                while self.fill().unwrap_or(0) > 0 {}
                message.body = std::mem::take(&mut self.buf);
                true
            }
            (false, None) => true,
        };
        Ok(Some(message))
    }

    fn read_bytes(&mut self, count: usize, out: &mut Vec<u8>) -> io::Result<bool> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                out.append(&mut self.buf);
                return Ok(false);
            }
        }
        out.extend(self.buf.drain(..count));
        Ok(true)
    }

    fn read_chunks(&mut self, out: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else { return Ok(false) };
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            if !self.read_bytes(size, out)? {
                return Ok(false);
            }
            if self.line()?.is_none() {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

/// Formats a response with a length.
pub fn response(status: u16, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns a free port of an address.
pub fn free_port(host: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((host, 0)).expect("bind a free port");
    listener.local_addr().expect("local address").port()
}

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        Parser { text, at: 0 }.value()
    }

    pub fn get(&self, key: &str) -> &Self {
        match self {
            Self::Table(table) => table.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool),
            b'f' => self.word("false", Json::Bool),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut table = BTreeMap::new();
        while self.peek()? != b'}' {
            let key = self.string()?;
            self.take(b':')?;
            table.insert(key, self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::Table(table))
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut list = Vec::new();
        while self.peek()? != b']' {
            list.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::List(list))
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            match *self.text.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    match *self.text.get(self.at)? {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        byte => out.push(byte),
                    }
                }
                byte => out.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(out).ok()
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}

/// Encodes bytes as Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let byte = |i: usize| u32::from(part.get(i).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(char::from(ALPHABET[(word >> (18 - 6 * i) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

/// Decodes `%XX` in a query.
pub fn decode_query(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let code = text.get(i + 1..i + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[i], code) {
            (b'%', Some(code)) => {
                out.push(code);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
