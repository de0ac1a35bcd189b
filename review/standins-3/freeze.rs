//! An entry stands still for less than a second while replicas crash and run again.

mod lab;

use lab::{Entry, Folder, Message, Record, Signal, Store, finish, has_trouble, read_message, request, response};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const REPLICAS: usize = 4;
/// Streams that begin together, in each round.
const STREAMS: usize = 24;
const ROUNDS: usize = 8;
/// Events of a stream, and the pause between two of them.
const EVENTS: u32 = 13;
const PAUSE: Duration = Duration::from_millis(100);
/// From the stop of the entry: when a replica crashes, when it runs again, and when the entry goes on.
const CRASH_MS: u64 = 150;
const RUN_MS: u64 = 550;
const CONTINUE_MS: u64 = 750;

struct State {
    born: u128,
    down: bool,
    channels: Vec<TcpStream>,
    sequence: u64,
}

#[derive(Clone)]
struct Replica {
    id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    /// Replica that runs each stream.
    runs: Arc<Mutex<HashMap<String, String>>>,
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis()
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: label {number}\n\n")
}

impl Replica {
    fn start(store: &Store, record: &Record, runs: &Arc<Mutex<HashMap<String, String>>>, id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("replica");
        let state = State { born: unix_millis(), down: false, channels: Vec::new(), sequence: 0 };
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("replica"),
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
        };
        replica.listen(listener);
        replica.write_record();
        replica
    }

    fn write_record(&self) {
        let mut state = self.state.lock().expect("state");
        state.sequence += 1;
        let (id, address, born, sequence) = (&self.id, self.address, state.born, state.sequence);
        let text = format!(
            "{{\"service\":\"engines\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"capacity\":128,\
             \"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        self.store.put(&format!("servers/{id}"), &text);
    }

    fn listen(&self, listener: TcpListener) {
        let replica = self.clone();
        listener.set_nonblocking(true).expect("replica");
        thread::spawn(move || {
            while !replica.state.lock().expect("state").down {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let replica = replica.clone();
                        thread::spawn(move || replica.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Serves one stream, without a length: it ends with its channel.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        self.state.lock().expect("state").channels.push(stream.try_clone().ok()?);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let request: Message = read_message(&mut reader).ok()?;
        let attempt = request.field("attempt-id").to_owned();
        if request.field("expect-replica") != self.id {
            let fields = format!("Attempt-Id: {attempt}\r\nReplica-Id: {}\r\n", self.id);
            return writer.write_all(&response(421, &fields, b"")).ok();
        }
        self.record.line(&format!("run {attempt} at {}", self.id));
        self.runs.lock().expect("runs").insert(attempt.clone(), self.id.clone());
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Signature: s.{}\r\n\
             Content-Type: text/event-stream\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes()).ok()?;
        for number in 1..=EVENTS {
            writer.write_all(event(number).as_bytes()).ok()?;
            thread::sleep(PAUSE);
        }
        writer.shutdown(Shutdown::Both).ok()
    }

    /// The process ends: its channels are closed, and new ones are refused.
    fn crash(&self) {
        self.record.line(&format!("{} crashes", self.id));
        let channels = {
            let mut state = self.state.lock().expect("state");
            state.down = true;
            std::mem::take(&mut state.channels)
        };
        channels.iter().for_each(|channel| drop(channel.shutdown(Shutdown::Both)));
    }

    fn run_again(&self) {
        let listener = TcpListener::bind(self.address).expect("the replica's address");
        {
            let mut state = self.state.lock().expect("state");
            (state.down, state.born, state.sequence) = (false, unix_millis(), 0);
        }
        self.record.line(&format!("{} runs again", self.id));
        self.listen(listener);
        self.write_record();
    }
}

/// What a requester gets: the body, and whether the answer ended as it should.
struct Answer {
    id: String,
    status: u16,
    body: String,
    complete: bool,
}

fn read_stream(reader: &mut impl BufRead) -> Option<(u16, String, bool)> {
    let (mut line, mut status, mut is_chunked, mut length) = (String::new(), 0, false, 0);
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|size| *size > 0)?;
        let text = line.trim_end().to_ascii_lowercase();
        if text.is_empty() {
            break;
        }
        if status == 0 {
            status = text.split(' ').nth(1)?.parse().ok()?;
        }
        is_chunked |= text == "transfer-encoding: chunked";
        if let Some(value) = text.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = Vec::new();
    if !is_chunked {
        body.resize(length, 0);
        let complete = reader.read_exact(&mut body).is_ok();
        return Some((status, String::from_utf8(body).ok()?, complete));
    }
    loop {
        line.clear();
        let size = reader.read_line(&mut line).ok().filter(|size| *size > 0);
        let size = size.and_then(|_| usize::from_str_radix(line.trim(), 16).ok());
        let Some(size) = size else { return Some((status, String::from_utf8(body).ok()?, false)) };
        let mut part = vec![0; size + 2];
        if reader.read_exact(&mut part).is_err() {
            return Some((status, String::from_utf8(body).ok()?, false));
        }
        if size == 0 {
            return Some((status, String::from_utf8(body).ok()?, true));
        }
        body.extend_from_slice(&part[..size]);
    }
}

fn call(address: SocketAddr, number: usize, record: &Record) -> Option<Answer> {
    let fields = format!(
        "X-Api-Key: key-1\r\nModel: m\r\nToken-Usage: 30,40\r\nPrompt-Prefix: 5c1e07a2:800,{number:x}:250\r\n"
    );
    let (id, text) = request("POST", &format!("/fill/{number}"), &fields, "sheet=1");
    let text = text.replace("Deadline-Ms: 1500", "Deadline-Ms: 20000");
    record.line(&format!("send {id}"));
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let (status, body, complete) = read_stream(&mut BufReader::new(stream))?;
    let events = body.matches("\n\n").count();
    record.line(&format!("answer {id} {status}, {events} events, {}", if complete { "complete" } else { "cut" }));
    Some(Answer { id, status, body, complete })
}

fn manifest() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"fill\",\"host\":\"board.example\",\"path_prefix\":\"/fill/\",\
     \"kind\":\"streaming\",\"timeout_ms\":20000,\"latency_goal_ms\":2500,\"priority\":1,\"service\":\"engines\",\
     \"max_attempts\":2,\"stages\":[],\"public\":false,\"affinity\":true,\"resume_streams\":false,\
     \"gap_aim_ms\":250}],\"services\":[{\"name\":\"engines\",\"health_path\":\"/healthz\",\"max_conns\":620,\
     \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"capacity\":128,\"kv_tokens\":649902}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\
     \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"kollam\",\"keys\":[\"key-1\"],\"priority\":1}]}"
        .to_owned()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn play(record: &Record, folder: &Path) -> (i32, String) {
    let store = Store::start(Duration::from_millis(4));
    store.put("op/config", &manifest());
    let runs = Arc::default();
    let replicas: Vec<Replica> =
        (1..=REPLICAS).map(|n| Replica::start(&store, record, &runs, &format!("i-{n}"))).collect();
    let mut entry = Entry::new(folder, 1, store.address, 1);
    entry.start();
    if !entry.wait_ready(Duration::from_secs(10)) {
        return (2, "the entry did not start".to_owned());
    }
    let (mut short, mut whole, mut cut, mut other) = (0, 0, 0, 0);
    let expected: String = (1..=EVENTS).map(event).collect();
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_secs(3));
        let calls: Vec<_> = (0..STREAMS)
            .map(|n| {
                let (address, record) = (entry.frontend(), record.clone());
                thread::spawn(move || call(address, round * STREAMS + n, &record))
            })
            .collect();
        // Five events.
        thread::sleep(PAUSE * 5);
        if has_trouble() {
            let began = Instant::now();
            let at = |millis| began + Duration::from_millis(millis);
            let replica = &replicas[round % REPLICAS];
            record.line("SIGSTOP");
            entry.signal(Signal::Stop);
            sleep_until(at(CRASH_MS));
            replica.crash();
            sleep_until(at(RUN_MS));
            replica.run_again();
            sleep_until(at(CONTINUE_MS));
            record.line("SIGCONT");
            entry.signal(Signal::Continue);
        }
        for answer in calls.into_iter().map(|call| call.join().ok().flatten()) {
            match answer {
                Some(answer) if answer.status == 200 && answer.complete && answer.body != expected => {
                    let at = runs.lock().expect("runs").get(&answer.id).cloned().unwrap_or_default();
                    let events = answer.body.matches("\n\n").count();
                    record.line(&format!("short {}: complete after {events} events of {EVENTS}, by {at}", answer.id));
                    short += 1;
                }
                Some(answer) if answer.status == 200 && answer.complete => whole += 1,
                Some(answer) if answer.status == 200 => cut += 1,
                _ => other += 1,
            }
        }
    }
    let text = format!(
        "ORDER: {short} streams ended as complete before their last event; {whole} whole, {cut} visibly cut, {other} other"
    );
    match whole {
        0 => (2, text),
        _ => (i32::from(short > 0), text),
    }
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_default());
    let record = Record::create(&folder);
    let (code, text) = {
        let temporary = Folder::create();
        play(&record, &temporary.0)
    };
    finish(&record, code, &text)
}
