//! A replica as a process of its own, so that a case can kill it.

use crate::entry::end_with_parent;
use crate::net::{Conn, Json, Message, now_ms, response};
use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Number of events of a stream, and the pause between them.
pub const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a call is worked on.
const CALL_TIME: Duration = Duration::from_millis(60);
/// Time for which a long call is worked on.
const REPORT_TIME: Duration = Duration::from_millis(700);
/// The same of a long stream, whose events are sent in chunks.
pub const LABEL_EVENTS: u64 = 60;
const LABEL_PAUSE: Duration = Duration::from_millis(60);
/// Long streams that a replica runs at the same time.
pub const SLOTS: u64 = 16;
/// Number of lines of the answer to a long call, which are sent with the same pause.
pub const LINES: u64 = 40;

/// Time of a call with pieces, and for each piece, as in the manifest.
pub const CALL_MS: u64 = 200;
pub const ITEM_MS: u64 = 21;
/// Calls that may wait while one is worked on.
const QUEUE: u64 = 2;

/// What a replica saw of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub replica: String,
    /// `run`, `done`, `refused`, `made` (a result), `given` (inputs) or `extra` (a second answer).
    pub what: String,
    /// Id of the request; for a result or inputs, more words joined by commas.
    pub id: String,
}

/// A running replica process.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
}

impl Replica {
    /// Starts a replica that reports to `runs`.
    pub fn start(id: &str, address: SocketAddr, runs: &Arc<Mutex<Vec<Run>>>) -> Self {
        Self::start_with(id, address, runs, (0.0, 1.0))
    }

    /// Starts one that sends a second copy of a share of its answers late while it garbles, and whose work
    /// takes longer by a factor.
    pub fn start_with(
        id: &str,
        address: SocketAddr,
        runs: &Arc<Mutex<Vec<Run>>>,
        (extra, slowness): (f64, f64),
    ) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut child = end_with_parent(&mut Command::new(program))
            .args(["replica", id, &address.to_string()])
            .args([extra.to_string(), slowness.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("start a replica");
        let mut lines = std::io::BufReader::new(child.stdout.take().expect("its output"));
        let mut first = String::new();
        std::io::BufRead::read_line(&mut lines, &mut first).expect("its first line");
        let runs = runs.clone();
        thread::spawn(move || {
            for line in std::io::BufRead::lines(lines).map_while(Result::ok) {
                let words: Vec<_> = line.split(' ').collect();
                if let [at, replica, what, id] = words[..] {
                    runs.lock().expect("the runs").push(Run {
                        at_ms: at.parse().unwrap_or(0),
                        replica: replica.to_owned(),
                        what: what.to_owned(),
                        id: id.to_owned(),
                    });
                }
            }
        });
        Self { id: id.to_owned(), address, child }
    }

    /// Has it garble from now on, or preempt its long streams, or no longer.
    pub fn disturb(&self, on: bool) {
        let mut input = self.child.stdin.as_ref().expect("its input");
        input.write_all(if on { b"1" } else { b"0" }).expect("tell it");
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}

/// State of a replica process.
struct Process {
    id: String,
    address: SocketAddr,
    /// Share of the answers that are sent twice.
    extra: f64,
    /// Factor of the time that its work takes.
    slowness: f64,
    garbles: AtomicBool,
    /// Long streams that run.
    streams: AtomicU64,
    /// Held while a call with pieces is worked on.
    slot: Mutex<()>,
    /// Calls with pieces that wait or are worked on.
    calls: AtomicU64,
    draws: AtomicU64,
    /// Results in memory.
    results: Mutex<BTreeMap<String, ()>>,
}

impl Process {
    /// Draws a number from 0 to 1.
    fn draw(&self) -> f64 {
        let n = self.draws.fetch_add(1, Ordering::Relaxed);
        let n = (n ^ u64::from(self.address.port()) << 32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let n = (n ^ n >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        ((n ^ n >> 32) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Answers a call with pieces.
    fn run_pieces(&self, body: &[u8]) -> String {
        if self.calls.fetch_add(1, Ordering::SeqCst) > QUEUE {
            self.calls.fetch_sub(1, Ordering::SeqCst);
            return response(503, "Not-Executed: 1\r\n", "");
        }
        let body = Json::parse(body).unwrap_or(Json::Null);
        let items = body.get("items").list();
        let turn = self.slot.lock().expect("the slot");
        let time = Duration::from_millis(CALL_MS + ITEM_MS * items.len() as u64);
        thread::sleep(time.mul_f64(self.slowness));
        let mut out = Vec::new();
        for item in items {
            let (id, stage) = (item.get("id").text(), item.get("stage").number());
            let piece = item.get("piece").number();
            let inputs: Vec<_> = item.get("inputs").list().iter().map(Json::text).collect();
            let handle = format!("{}/{:011x}", self.address, (self.draw() * 1e13) as u64);
            report(
                &self.id,
                "made",
                &format!("{id},{stage},{piece},{handle},{}", inputs.join("+")),
            );
            self.results.lock().expect("the results").insert(handle.clone(), ());
            out.push(format!("{{\"handle\":\"{handle}\"}}"));
        }
        drop(turn);
        self.calls.fetch_sub(1, Ordering::SeqCst);
        let fields = "Content-Type: application/json\r\n";
        response(200, fields, &format!("{{\"items\":[{}]}}", out.join(",")))
    }

    fn free(&self, body: &[u8]) -> String {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let mut results = self.results.lock().expect("the results");
        for handle in body.get("handles").list() {
            results.remove(handle.text());
        }
        response(200, "", "")
    }
}

/// Main function of the process.
pub fn run(id: &str, address: SocketAddr, extra: f64, slowness: f64) {
    let listener = TcpListener::bind(address).expect("listen");
    println!("ready");
    let process = Arc::new(Process {
        id: id.to_owned(),
        address,
        extra,
        slowness,
        garbles: AtomicBool::default(),
        streams: AtomicU64::default(),
        slot: Mutex::default(),
        calls: AtomicU64::default(),
        draws: AtomicU64::default(),
        results: Mutex::default(),
    });
    let own = process.clone();
    thread::spawn(move || {
        let mut told = [0];
        while std::io::stdin().read_exact(&mut told).is_ok() {
            own.garbles.store(told == *b"1", Ordering::Relaxed);
        }
    });
    for stream in listener.incoming().flatten() {
        let process = process.clone();
        thread::spawn(move || serve(Conn::new(stream), &process));
    }
}

fn report(replica: &str, what: &str, id: &str) {
    let line = format!("{} {replica} {what} {id}\n", now_ms());
    std::io::stdout().write_all(line.as_bytes()).expect("report");
}

fn serve(mut conn: Conn, process: &Process) {
    let own = process.id.as_str();
    // A copy of the last answer that is sent when the next one is due.
    let mut late: Option<String> = None;
    while let Ok(Some(request)) = conn.read() {
        let id = request.field("attempt-id").unwrap_or("none").to_owned();
        let expected = request.field("expect-replica").unwrap_or(own);
        let path = request.target();
        let answer = if expected != own {
            report(own, "refused", &id);
            let fields = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\nReplica-Id: {own}\r\n");
            response(421, &fields, "")
        } else if path == "/-/stage-run" {
            if let Some(copy) = late.take() {
                send_copy(&mut conn, own, &copy);
            }
            process.run_pieces(&request.body)
        } else if path == "/-/stage-free" {
            process.free(&request.body)
        } else if path.starts_with("/draft/") || path.starts_with("/fill/") {
            report(own, "run", &id);
            return stream(&mut conn, &request, own, &id);
        } else if path.starts_with("/label/") {
            if process.streams.fetch_add(1, Ordering::SeqCst) < SLOTS {
                report(own, "run", &id);
                label(&mut conn, &request, process, &id);
                process.streams.fetch_sub(1, Ordering::SeqCst);
                return;
            }
            process.streams.fetch_sub(1, Ordering::SeqCst);
            report(own, "full", &id);
            response(503, &format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n"), "")
        } else if path.starts_with("/sheet/") {
            report(own, "run", &id);
            return lines(&mut conn, own, &id);
        } else {
            report(own, "run", &id);
            if let Some(inputs) = request.field("inputs") {
                report(own, "given", &format!("{id},{}", inputs.replace(',', "+")));
            }
            thread::sleep(if path.starts_with("/report/") { REPORT_TIME } else { CALL_TIME });
            let fields = format!("Attempt-Id: {id}\r\nReplica-Signature: {own}.{id}\r\n");
            let text = match path.starts_with("/layout/") {
                true => event_text(0) + &event_text(1),
                false => format!("{own} ran {id}"),
            };
            response(200, &fields, &text)
        };
        if let Some(copy) = late.take() {
            send_copy(&mut conn, own, &copy);
        }
        if conn.send(answer.as_bytes()).is_err() {
            return;
        }
        if process.garbles.load(Ordering::Relaxed) && process.draw() < process.extra {
            late = Some(answer);
        }
        report(own, "done", &id);
    }
}

fn send_copy(conn: &mut Conn, own: &str, copy: &str) {
    report(own, "extra", &copy.len().to_string());
    conn.send(copy.as_bytes()).ok();
}

/// Head of an answer that has no length and ends with its channel.
fn unframed_head(own: &str, id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Signature: {own}.{id}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    )
}

fn stream(conn: &mut Conn, request: &Message, own: &str, id: &str) {
    let last = request.field("last-event-id").and_then(|id| id.parse::<u64>().ok());
    if conn.send(unframed_head(own, id).as_bytes()).is_err() {
        return;
    }
    for event in last.map_or(0, |last| last + 1)..EVENTS {
        thread::sleep(EVENT_PAUSE);
        if conn.send(event_text(event).as_bytes()).is_err() {
            return;
        }
    }
    report(own, "done", id);
}

/// Sends a long stream. While the replica preempts it, it waits for its turn.
fn label(conn: &mut Conn, request: &Message, process: &Process, id: &str) {
    let own = process.id.as_str();
    let last = request.field("last-event-id").and_then(|id| id.parse::<u64>().ok());
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Signature: {own}.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if conn.send(head.as_bytes()).is_err() {
        return;
    }
    for event in last.map_or(0, |last| last + 1)..LABEL_EVENTS {
        thread::sleep(LABEL_PAUSE);
        while process.garbles.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        let text = event_text(event);
        if conn.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
            report(own, "left", id);
            return;
        }
    }
    if conn.send(b"0\r\n\r\n").is_ok() {
        report(own, "done", id);
    }
}

fn lines(conn: &mut Conn, own: &str, id: &str) {
    let head = unframed_head(own, id).replace("text/event-stream", "text/plain");
    if conn.send(head.as_bytes()).is_err() {
        return;
    }
    for line in 0..LINES {
        thread::sleep(EVENT_PAUSE);
        if conn.send(format!("line {line}\n").as_bytes()).is_err() {
            return;
        }
    }
    report(own, "done", id);
}

pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: part {id}\n\n")
}
