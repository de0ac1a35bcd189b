//! Stand-ins of the platform for the review's scripts: the store, a client, replicas' records and the
//! processes under test. Only the standard library is used.
#![allow(dead_code, reason = "each script uses only some of it")]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Exit status of a script that could not run.
pub const EXIT_UNUSABLE: i32 = 2;

/// Reports that the case could not run, and exits.
pub fn unusable(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(EXIT_UNUSABLE);
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Whether the script applies the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// --- the record ------------------------------------------------------------------------------------

/// Writes `record.txt`, with the time since the start of the script.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|error| unusable(&format!("record.txt: {error}")));
        Arc::new(Self { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{at:>6} ms  {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

// --- HTTP ------------------------------------------------------------------------------------------

/// A request as a stand-in received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.field("attempt-id").unwrap_or_default()
    }

    pub fn json(&self) -> Json {
        Json::parse(&String::from_utf8_lossy(&self.body)).unwrap_or(Json::Null)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns `false` at the end, after an error or a timeout.
    pub fn fill(&mut self) -> bool {
        let mut bytes = [0; 16_384];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.buffer.extend_from_slice(&bytes[..n]);
                true
            }
        }
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    fn head(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 4);
                return Some(head);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    pub fn request(&mut self) -> Option<Request> {
        let head = self.head()?;
        let mut lines = head.lines();
        let mut words = lines.next()?.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields: Vec<_> =
            fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
        let mut request =
            Request { method, path: path.to_owned(), query, fields, body: Vec::new() };
        let length = request.field("content-length").and_then(|text| text.parse().ok());
        request.body = self.take(length.unwrap_or(0))?;
        Some(request)
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let code = text.get(i + 1..i + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code {
            Some(code) if bytes[i] == b'%' => {
                out.push(code);
                i += 3;
            }
            _ => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn answer(status: u16, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The fields of a replica's own answer to a request.
pub fn own_fields(request: &Request) -> String {
    format!("Attempt-Id: {}\r\nReplica-Signature: proof-{}\r\n", request.id(), request.id())
}

pub fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Serves each connection to a free port of 127.0.0.1 on a thread of its own.
pub fn listen(serve: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0");
    let listener = listener.unwrap_or_else(|error| unusable(&format!("no free port: {error}")));
    let address = listener.local_addr().unwrap_or_else(|_| unusable("no local address"));
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Wire::new(stream)));
        }
    });
    address
}

/// An answer as a client received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub head: String,
    /// Without the framing of chunks.
    pub body: String,
    /// Whether it ended as its framing says.
    pub complete: bool,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut named = fields.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.trim())
    }
}

/// Reads one answer from a connection whose read timeout is set.
pub fn read_answer(wire: &mut Wire) -> Answer {
    let Some(head) = wire.head() else { return Answer::default() };
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, head, ..Answer::default() };
    let length = answer.field("content-length").and_then(|text| text.parse().ok());
    let mut body = Vec::new();
    match length {
        Some(length) => {
            answer.complete = true;
            while wire.buffer.len() < length {
                if !wire.fill() {
                    answer.complete = false;
                    break;
                }
            }
            let taken = length.min(wire.buffer.len());
            body.extend(wire.buffer.drain(..taken));
        }
        None => loop {
            let Some(end) = wire.buffer.windows(2).position(|bytes| bytes == b"\r\n") else {
                if !wire.fill() {
                    break;
                }
                continue;
            };
            let line = String::from_utf8_lossy(&wire.buffer[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { break };
            wire.buffer.drain(..end + 2);
            let Some(bytes) = wire.take(size + 2) else { break };
            if size == 0 {
                answer.complete = true;
                break;
            }
            body.extend_from_slice(&bytes[..size]);
        },
    }
    answer.body = String::from_utf8_lossy(&body).into_owned();
    answer
}

/// Sends a request on a new connection and reads its answer, for `limit` at most.
pub fn exchange(address: SocketAddr, request: &str, limit: Duration) -> Answer {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = stream.set_read_timeout(Some(limit));
    let mut wire = Wire::new(stream);
    if !wire.send(request) {
        return Answer::default();
    }
    let answer = read_answer(&mut wire);
    let _ = wire.stream.shutdown(Shutdown::Both);
    answer
}

// --- JSON ------------------------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut chars = text.chars().peekable();
        Self::value(&mut chars)
    }

    fn skip(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) {
        while chars.peek().is_some_and(|c| c.is_whitespace()) {
            chars.next();
        }
    }

    fn value(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Option<Self> {
        Self::skip(chars);
        match chars.peek()? {
            '{' => {
                chars.next();
                let mut rows = Vec::new();
                loop {
                    Self::skip(chars);
                    match chars.peek()? {
                        '}' => {
                            chars.next();
                            return Some(Self::Table(rows));
                        }
                        ',' => {
                            chars.next();
                        }
                        _ => {
                            let Self::Text(name) = Self::value(chars)? else { return None };
                            Self::skip(chars);
                            (chars.next()? == ':').then_some(())?;
                            rows.push((name, Self::value(chars)?));
                        }
                    }
                }
            }
            '[' => {
                chars.next();
                let mut items = Vec::new();
                loop {
                    Self::skip(chars);
                    match chars.peek()? {
                        ']' => {
                            chars.next();
                            return Some(Self::List(items));
                        }
                        ',' => {
                            chars.next();
                        }
                        _ => items.push(Self::value(chars)?),
                    }
                }
            }
            '"' => {
                chars.next();
                let mut text = String::new();
                loop {
                    match chars.next()? {
                        '"' => return Some(Self::Text(text)),
                        '\\' => match chars.next()? {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'r' => text.push('\r'),
                            'u' => {
                                let hex: String = chars.by_ref().take(4).collect();
                                let code = u32::from_str_radix(&hex, 16).ok()?;
                                text.push(char::from_u32(code).unwrap_or('?'));
                            }
                            other => text.push(other),
                        },
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let mut word = String::new();
                while chars.peek().is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                    word.push(chars.next()?);
                }
                match word.as_str() {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Table(rows) = self else { return None };
        rows.iter().find(|(known, _)| known == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }
}

// --- the platform's store --------------------------------------------------------------------------

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= group.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

#[derive(Clone)]
struct Item {
    revision: u64,
    created: u64,
    lease: u64,
    /// In Base64.
    value: String,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item or its removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { revision: self.revision, created, lease, value };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.1 <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

/// The platform's store.
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let cell: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let shared = cell.clone();
        let address = listen(move |mut wire| {
            let store = loop {
                if let Some(store) = lock(&shared).clone() {
                    break store;
                }
                pause(1);
            };
            while let Some(request) = wire.request() {
                let (status, body) = store.respond(&request);
                if !wire.send(&answer(status, "Content-Type: application/json\r\n", &body)) {
                    return;
                }
            }
        });
        let data = Mutex::new(Data { revision: 1, ..Data::default() });
        let store = Arc::new(Self { data, changed: Condvar::new(), address });
        *lock(&cell) = Some(store.clone());
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                pause(50);
                lock(&expiring.data).expire();
                expiring.changed.notify_all();
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        lock(&self.data).put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        lock(&self.data).remove(key);
        self.changed.notify_all();
    }

    /// Number of keys under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        lock(&self.data).items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        let path = request.path.as_str();
        if let Some(id) = path.strip_prefix("/-/kv-keep/").and_then(|id| id.parse().ok()) {
            let mut data = lock(&self.data);
            return match data.leases.get_mut(&id) {
                Some(lease) => {
                    lease.1 = Instant::now() + lease.0;
                    (200, format!(r#"{{"lease":{id},"ttl_ms":{}}}"#, lease.0.as_millis()))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(id) = path.strip_prefix("/-/kv-lease-end/").and_then(|id| id.parse().ok()) {
            lock(&self.data).end_lease(id);
            self.changed.notify_all();
            return (200, "{}".to_owned());
        }
        match path {
            "/-/kv-key" => self.read_key(request),
            "/-/kv-range" => self.range(request),
            "/-/kv-watch" => self.watch(request),
            "/-/kv-txn" => self.transact(&request.json()),
            "/-/kv-lease" => {
                let ttl = Duration::from_millis(request.json().number("ttl_ms").unwrap_or(10_000));
                let mut data = lock(&self.data);
                data.last_lease += 1;
                let id = data.last_lease;
                data.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, format!(r#"{{"lease":{id},"ttl_ms":{}}}"#, ttl.as_millis()))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn read_key(&self, request: &Request) -> (u16, String) {
        let data = lock(&self.data);
        let key = request.query.get("key").cloned().unwrap_or_default();
        match data.items.get(&key) {
            Some(item) => {
                let text = item_json(&key, item);
                (200, format!(r#"{},"as_of":{}}}"#, &text[..text.len() - 1], data.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let data = lock(&self.data);
        let prefix = request.query.get("path_prefix").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned().unwrap_or_default();
        let wanted = |key: &&String| key.starts_with(&prefix) && **key > after;
        let keys: Vec<_> = data.items.keys().filter(wanted).collect();
        let items: Vec<_> =
            keys.iter().take(500).map(|key| item_json(key, &data.items[*key])).collect();
        let more = keys.len() > items.len();
        let items = items.join(",");
        (200, format!(r#"{{"items":[{items}],"has_more":{more},"as_of":{}}}"#, data.revision))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.query.get("path_prefix").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let limit = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut data = lock(&self.data);
        loop {
            let row = |(revision, key, item): &(u64, String, Option<Item>)| match item {
                Some(item) => item_json(key, item),
                None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
            };
            let wanted =
                data.history.iter().filter(|(r, key, _)| *r > after && key.starts_with(&prefix));
            let events: Vec<_> = wanted.map(row).collect();
            let left = limit.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"as_of":{}}}"#, data.revision));
            }
            let waited = self.changed.wait_timeout(data, left);
            data = waited.map_or_else(|poisoned| poisoned.into_inner().0, |(data, _)| data);
        }
    }

    fn transact(&self, call: &Json) -> (u16, String) {
        let mut data = lock(&self.data);
        for row in call.list("expected_rev") {
            let known = data.items.get(row.text("key").unwrap_or_default());
            if known.map_or(0, |item| item.revision) != row.number("revision").unwrap_or(0) {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        for put in call.list("puts") {
            let lease = put.number("lease").unwrap_or(0);
            if lease != 0 && !data.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            let (key, value) = (put.text("key").unwrap_or_default(), put.text("value"));
            data.put(key, value.unwrap_or_default().to_owned(), lease);
        }
        for key in call.list("remove").iter().filter_map(Json::as_text) {
            data.remove(key);
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, data.revision))
    }
}

/// Keeps a replica's record in the store, as a replica does with its status reports.
pub struct Registration {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub capacity: u32,
    pub born: u64,
    state: Mutex<Option<&'static str>>,
}

impl Registration {
    /// Interval of the status reports (`heartbeat_ms`).
    const BEAT_MS: u64 = 1_200;

    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        address: SocketAddr,
        capacity: u32,
    ) -> Arc<Self> {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let registration = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            capacity,
            born: born.map_or(0, |at| at.as_millis() as u64),
            state: Mutex::new(Some("ready")),
        });
        let (store, beating) = (store.clone(), registration.clone());
        beating.write(&store, 1);
        thread::spawn(move || {
            for sequence in 2.. {
                pause(Self::BEAT_MS);
                beating.write(&store, sequence);
            }
        });
        registration
    }

    fn write(&self, store: &Store, sequence: u64) {
        let state = lock(&self.state);
        let Some(state) = *state else { return };
        let (id, service, address) = (&self.id, &self.service, self.address);
        let record = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"a","version":"1","capacity":{},"state":"{state}","warmup_left_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.capacity, self.born
        );
        store.put(&format!("servers/{id}"), &record);
    }

    /// Writes another state at once.
    pub fn set_state(&self, store: &Store, state: &'static str) {
        *lock(&self.state) = Some(state);
        self.write(store, 1_000_000);
    }

    /// Stops the status reports. The record stays.
    pub fn stop(&self) {
        *lock(&self.state) = None;
    }

    /// Stops the status reports and removes the record.
    pub fn end(&self, store: &Store) {
        *lock(&self.state) = None;
        store.remove(&format!("servers/{}", self.id));
    }
}

// --- the processes under test ----------------------------------------------------------------------

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The folder of temporary files, removed when dropped.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&folder) {
            unusable(&format!("temporary folder: {error}"));
        }
        Self(folder)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the role `entry`, started with the command of the deploy file.
pub struct Entry {
    pub name: String,
    pub ip: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    child: Mutex<Child>,
}

/// The command of the deploy file.
const COMMAND: [&str; 5] = ["target/release/damaskweir", "platform", "entry", "--metrics", "9464"];

impl Entry {
    /// Starts an entry. `number` is from 1 to 200; each has a loopback address of its own.
    pub fn start(scratch: &Scratch, number: u8, store: SocketAddr, seeds: &[u8]) -> Self {
        let process = std::process::id();
        let net = |n: u8| format!("127.{}.{}.{n}", 64 + process % 128, process / 128 % 250);
        let (ip, name) = (net(number), format!("edge-a-{number}"));
        let seeds: Vec<_> = seeds.iter().map(|n| format!("{}:8628", net(*n))).collect();
        let text = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,control_plane\nip={ip}\nzone=a\n\
             region=r\nzones.a=r\nbind.frontend={ip}:8625\nbind.readiness={ip}:8621\n\
             bind.admin={ip}:8628\nport_range=7740,7755\nseeds={}\nbootstrap=true\n\
             limits.cpu_quota=0.19\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             heartbeat_ms=1200\nbounds.stable_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.budget_slack=54\nprovider.address={store}\n\
             provider.form=kv\nprovider.retention_s=20\nprovider.ttl_min_ms=1000\n",
            seeds.join(",")
        );
        let settings = scratch.0.join(format!("{name}.conf"));
        if let Err(error) = std::fs::write(&settings, text) {
            unusable(&format!("settings: {error}"));
        }
        let parse =
            |port: u16| format!("{ip}:{port}").parse().unwrap_or_else(|_| unusable("address"));
        let (frontend, readiness) = (parse(8_625), parse(8_621));
        let child = Mutex::new(Self::spawn(&settings));
        Self { name, ip, frontend, readiness, settings, child }
    }

    fn spawn(settings: &Path) -> Child {
        let log = settings.with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|error| unusable(&format!("log: {error}")));
        let child = Command::new(COMMAND[0])
            .args(&COMMAND[1..])
            .env("DAMASKWEIR_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        child.unwrap_or_else(|error| unusable(&format!("{}: {error}", COMMAND[0])))
    }

    /// Starts the process again after its end.
    pub fn restart(&self) {
        *lock(&self.child) = Self::spawn(&self.settings);
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    pub fn signal(&self, signal: i32) {
        let pid = lock(&self.child).id() as i32;
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(pid, signal) };
    }

    /// Whether the process has ended, and how.
    pub fn ended(&self) -> Option<String> {
        let status = lock(&self.child).try_wait();
        status.ok().flatten().map(|status| status.to_string())
    }

    /// Waits for the end of the process.
    pub fn wait_end(&self, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        loop {
            let ended = self.ended();
            if ended.is_some() || Instant::now() > until {
                return ended;
            }
            pause(10);
        }
    }

    pub fn id(&self) -> u32 {
        lock(&self.child).id()
    }

    /// Waits until the readiness check is answered with 200.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        let text = "GET /-/readyz HTTP/1.1\r\nHost: check\r\n\r\n";
        while exchange(self.readiness, text, Duration::from_millis(500)).status != 200 {
            if Instant::now() > until {
                unusable(&format!("{} is not ready\n{}", self.name, self.log()));
            }
            pause(50);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
    }
}

// --- manifests -------------------------------------------------------------------------------------

/// A route of a manifest; `more` holds further fields, each after a comma.
pub fn route(name: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"board.example","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":6000,"latency_goal_ms":2300,"gap_aim_ms":250,"priority":1,"service":"{service}","max_attempts":2,"public":false{more}}}"#
    )
}

/// A manifest of these routes and services.
pub fn manifest(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":2000,"idle_timeout_ms":15000}},"tenants":[{{"name":"kollam","keys":["secret-key"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// The text of a request on a route.
pub fn request_text(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: board.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nX-Api-Key: secret-key\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
