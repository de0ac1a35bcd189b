//! Stand-ins for the cases of the third review: the platform's store, replicas and requesters, and entry
//! processes. They use the standard library alone and speak as PROTOCOL.md says.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const FRONTEND_PORT: u16 = 7_101;
pub const READINESS_PORT: u16 = 7_102;
const ADMIN_PORT: u16 = 7_103;

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        writeln!(file, "{at:9.3} {text}").expect("record");
    }
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn finish(record: &Record, code: i32, text: &str) -> ! {
    record.line(text);
    println!("{text}");
    std::process::exit(code)
}

// ---------------------------------------------------------------------------------------------------------
// JSON, as much as the calls to the store need.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Self::List(list) = self { list } else { &[] }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(bytes, at)? else { return None };
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Object(fields))
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        b'"' => parse_text(bytes, at),
        b't' | b'f' | b'n' => {
            let from = *at;
            while bytes.get(*at).is_some_and(u8::is_ascii_alphabetic) {
                *at += 1;
            }
            match &bytes[from..*at] {
                b"true" => Some(Json::Bool(true)),
                b"false" => Some(Json::Bool(false)),
                b"null" => Some(Json::Null),
                _ => None,
            }
        }
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok().map(Json::Text),
            b'\\' => {
                let escape = *bytes.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let c = char::from_u32(code)?;
                        out.extend_from_slice(c.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            let padded = i > part.len();
            let index = (word >> (18 - 6 * i)) & 63;
            out.push(if padded { '=' } else { char::from(BASE64[index as usize]) });
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------------------
// HTTP

/// A message: its first line, its header fields with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a whole message with a length or in chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&part[..size]);
        }
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

pub fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

// ---------------------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    /// Changes by revision: the key, and the item as it was written.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end < now).map(|(id, _)| *id).collect();
        for id in &ended {
            self.leases.remove(id);
            let keys: Vec<String> =
                self.items.iter().filter(|(_, i)| i.lease == *id).map(|(k, _)| k.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
        !ended.is_empty()
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

/// The store. It answers each call after `answer_time` and loses nothing. Leases pause while it is busy.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    data: Arc<(Mutex<Data>, Condvar)>,
    /// Answers each call with 503: nothing was done.
    busy: Arc<AtomicBool>,
}

impl Store {
    pub fn start(answer_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store");
        let address = listener.local_addr().expect("store");
        let store = Self { address, data: Arc::default(), busy: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream, answer_time));
            }
        });
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                let mut data = leases.data.0.lock().expect("store");
                if leases.is_busy() {
                    data.leases.values_mut().for_each(|(_, end)| *end += Duration::from_millis(100));
                } else if data.expire_leases() {
                    leases.data.1.notify_all();
                }
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.data.0.lock().expect("store").put(key, to_base64(value.as_bytes()), 0);
        self.data.1.notify_all();
    }

    /// Begins or ends a time in which each call is answered with 503.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Relaxed);
        self.data.1.notify_all();
    }

    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed)
    }

    pub fn remove(&self, key: &str) {
        self.data.0.lock().expect("store").remove(key);
        self.data.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, answer_time: Duration) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let call = read_message(&mut reader).ok()?;
            thread::sleep(answer_time);
            let (status, body) =
                if self.is_busy() { (503, "{}".to_owned()) } else { self.answer(&call) };
            let fields = "Content-Type: application/json\r\n";
            writer.write_all(&response(status, fields, body.as_bytes())).ok()?;
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map_or(String::new(), |(_, v)| v.replace("%2F", "/"))
        };
        let body = Json::parse(&call.body).unwrap_or(Json::Null);
        let mut data = self.data.0.lock().expect("store");
        let prefix = parameter("path_prefix");
        match path {
            "/-/kv-range" => {
                let after = parameter("after");
                let found = data.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let mut items: Vec<_> = found.take(501).map(|(k, i)| item_json(k, i)).collect();
                let more = items.len() > 500;
                items.truncate(500);
                let (items, as_of) = (items.join(","), data.revision);
                (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"as_of\":{as_of}}}"))
            }
            "/-/kv-watch" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let new = data.history.iter().filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                    let events: Vec<_> = new
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"
                            ),
                        })
                        .collect();
                    if self.is_busy() {
                        return (503, "{}".to_owned());
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, as_of) = (events.join(","), data.revision);
                        return (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
                    }
                    data = self.data.1.wait_timeout(data, left).expect("store").0;
                }
            }
            "/-/kv-txn" => {
                for row in body.get("expected_rev").list() {
                    let known = data.items.get(row.get("key").text()).map_or(0, |i| i.revision);
                    if known != row.get("revision").number() {
                        return (412, "{\"items\":[]}".to_owned());
                    }
                }
                for put in body.get("puts").list() {
                    let lease = put.get("lease").number();
                    if lease > 0 && !data.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                }
                for put in body.get("puts").list() {
                    let (key, value) = (put.get("key").text(), put.get("value").text());
                    data.put(key, value.to_owned(), put.get("lease").number());
                }
                for key in body.get("remove").list() {
                    data.remove(key.text());
                }
                self.data.1.notify_all();
                (200, format!("{{\"revision\":{}}}", data.revision))
            }
            "/-/kv-lease" => {
                let ttl = body.get("ttl_ms").number().clamp(1_000, 600_000);
                let length = Duration::from_millis(ttl);
                data.last_lease += 1;
                let id = data.last_lease;
                data.leases.insert(id, (length, Instant::now() + length));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            _ => match path.strip_prefix("/-/kv-keep/").and_then(|id| id.parse().ok()) {
                Some(id) => match data.leases.get_mut(&id) {
                    Some((length, end)) => {
                        *end = Instant::now() + *length;
                        (200, format!("{{\"ttl_ms\":{}}}", length.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                },
                None => (404, "{}".to_owned()),
            },
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Replicas

/// A replica that answers each request with its signature after `work`.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    /// Requests that it has run.
    pub runs: Arc<Mutex<Vec<Message>>>,
}

impl Replica {
    /// Starts a replica and registers it. It writes its record again every 1.2 s, as a replica does.
    pub fn start(store: &Store, record: &Record, id: &str, service: &str, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("replica");
        let address = listener.local_addr().expect("replica");
        let replica = Self { id: id.to_owned(), address, runs: Arc::default() };
        let serving = (replica.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, record) = serving.clone();
                thread::spawn(move || replica.serve(stream, &record, work));
            }
        });
        let (store, key, service) = (store.clone(), format!("servers/{id}"), service.to_owned());
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis();
        let write = move |sequence: u64| {
            store.put(
                &key,
                &format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
                     \"capacity\":64,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":{sequence},\
                     \"born\":{born}}}"
                ),
            );
        };
        write(1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                write(sequence);
            }
        });
        replica
    }

    fn serve(&self, stream: TcpStream, record: &Record, work: Duration) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_message(&mut reader).ok()?;
            let attempt = request.field("attempt-id").to_owned();
            if request.field("expect-replica") != self.id {
                let fields = format!("Attempt-Id: {attempt}\r\nReplica-Id: {}\r\n", self.id);
                writer.write_all(&response(421, &fields, b"")).ok()?;
                continue;
            }
            record.line(&format!("run {attempt} at {} {}", self.id, request.line));
            self.runs.lock().expect("runs").push(request);
            thread::sleep(work);
            let fields = format!("Attempt-Id: {attempt}\r\nReplica-Signature: s.{}\r\n", self.id);
            writer.write_all(&response(200, &fields, b"done")).ok()?;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Entry processes

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals of the platform, and of a case that stops a process for a while (their numbers on Linux).
#[derive(Clone, Copy)]
#[repr(i32)]
pub enum Signal {
    Hangup = 1,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

/// An entry, started with the command of the deploy file.
pub struct Entry {
    pub host: Ipv4Addr,
    folder: PathBuf,
    name: String,
    settings: String,
    child: Option<Child>,
}

impl Entry {
    /// Adds a line to the settings file, before the start.
    pub fn add_settings(&mut self, lines: &str) {
        self.settings.push_str(lines);
        self.write_settings(&self.settings);
    }

    /// Writes the settings of an entry with a loopback address of its own.
    pub fn new(folder: &Path, number: u8, store: SocketAddr, entries: u8) -> Self {
        // Other cases and runs use other addresses.
        let host = Ipv4Addr::new(127, 62, (std::process::id() % 250) as u8 + 1, number);
        let name = format!("edge-a-{number}");
        let [a, b, c, _] = host.octets();
        let seeds: Vec<_> = (1..=entries).map(|n| format!("{a}.{b}.{c}.{n}:{ADMIN_PORT}")).collect();
        let text = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,control_plane\nip={host}\n\
             zone=a\nregion=r\nzones.a=r\nbind.frontend={host}:{FRONTEND_PORT}\n\
             bind.readiness={host}:{READINESS_PORT}\nbind.admin={host}:{ADMIN_PORT}\nseeds={}\n\
             bootstrap=true\nlimits.cpu_quota=0.19\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4100\nlimits.bandwidth_mbps=1000.0\nlimits.disk_mb=0\nheartbeat_ms=1200\n\
             bounds.seed_staleness_s=3\nbounds.addr_reuse_s=2\nbounds.stable_ms=3000\nbounds.ack_ms=4000\n\
             bounds.sync_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\nbounds.skew_max_ms=5000\n\
             bounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=54\n\
             bounds.recovery_s=12\nprovider.address={store}\nprovider.form=kv\nprovider.writes_per_s=400\n\
             provider.reads_per_s=2000\nprovider.retention_s=20\nprovider.value_bytes=1048576\n\
             provider.ttl_min_ms=1000\n",
            seeds.join(",")
        );
        let entry = Self { host, folder: folder.to_owned(), name, settings: text, child: None };
        entry.write_settings(&entry.settings);
        entry
    }

    fn write_settings(&self, text: &str) {
        // The file is replaced as a whole.
        let path = self.folder.join(format!("{}.conf", self.name));
        let new = path.with_extension("new");
        std::fs::write(&new, text).expect("settings");
        std::fs::rename(&new, &path).expect("settings");
    }

    /// Changes a line of the settings file.
    pub fn change_settings(&mut self, key: &str, value: &str) {
        let line = |line: &str| match line.split_once('=') {
            Some((name, _)) if name == key => format!("{key}={value}\n"),
            _ => format!("{line}\n"),
        };
        self.settings = self.settings.lines().map(line).collect();
        self.write_settings(&self.settings);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            kill(child.id() as i32, signal as i32);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("log");
        let child = Command::new("target/release/damaskweir")
            .args(["platform", "entry", "--metrics", "9464"])
            .env("DAMASKWEIR_CONFIG", self.folder.join(format!("{}.conf", self.name)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::from((self.host, FRONTEND_PORT))
    }

    /// Asks for readiness, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<Message> {
            let mut stream = TcpStream::connect((self.host, READINESS_PORT))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            read_message(&mut BufReader::new(stream))
        };
        ask().is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

// ---------------------------------------------------------------------------------------------------------
// Requesters

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// The text of a request with an id of its own.
pub fn request(method: &str, path: &str, fields: &str, body: &str) -> (String, String) {
    let id = format!("{:016x}", NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: board.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         {fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (id, text)
}

/// A channel that a requester keeps open.
pub struct Channel {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Channel {
    /// Opens a channel. Requesters allow it one second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, text: &str) -> io::Result<Message> {
        self.writer.write_all(text.as_bytes())?;
        read_message(&mut self.reader)
    }
}

/// A flag that tells threads to stop.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A manifest with an idempotent and a non-idempotent route. `limits` and `tenants` are JSON.
pub fn manifest(version: u64, limits: &str, tenants: &str) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"board.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":1500,\"latency_goal_ms\":300,\"priority\":1,\"service\":\"orders\",\
             \"max_attempts\":2,\"stages\":[],\"public\":false,\"affinity\":false,\"resume_streams\":false,\
             \"gap_aim_ms\":250}}"
        )
    };
    let routes = [route("order", "non_idempotent"), route("lookup", "idempotent")].join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"orders\",\
         \"health_path\":\"/healthz\",\"max_conns\":620,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{limits}{tenants}}}"
    )
}
