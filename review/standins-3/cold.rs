//! Replicas of a zone that come back together, under their ids and cold, while the store is busy.

mod lab;

use lab::{Channel, Entry, Folder, Message, Record, Stop, Store, finish, has_trouble, read_message, request, response};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const REPLICAS: usize = 4;
const CALLERS: usize = 40;
/// A requester's pause between two requests on its channel.
const PAUSE: Duration = Duration::from_millis(300);
/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(20);
/// `warmup_s` and `cold_per_s` of the service, `bounds.cold_over` and `bounds.cold_slack`.
const WARMUP: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 10.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Time for which the replicas are down, and for which the store is busy.
const DOWN: Duration = Duration::from_secs(2);
const BUSY: Duration = Duration::from_secs(8);

/// When each request was sent by its requester.
type Sent = Arc<Mutex<HashMap<String, Instant>>>;

struct State {
    born: u128,
    /// When the process started, if it is cold after that.
    cold_from: Option<Instant>,
    down: bool,
    channels: Vec<TcpStream>,
    /// Requests that arrived while it was cold: when each was sent, and when it arrived.
    arrivals: Vec<(Instant, Instant)>,
    sequence: u64,
}

#[derive(Clone)]
struct Replica {
    id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    sent: Sent,
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis()
}

impl Replica {
    fn start(store: &Store, record: &Record, sent: &Sent, id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("replica");
        let state = State {
            born: unix_millis(),
            cold_from: None,
            down: false,
            channels: Vec::new(),
            arrivals: Vec::new(),
            sequence: 0,
        };
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("replica"),
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            record: record.clone(),
            sent: sent.clone(),
        };
        replica.listen(listener);
        replica.write_record();
        let beating = replica.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1_200));
                beating.write_record();
            }
        });
        replica
    }

    /// Writes the record. A replica that is down writes none, and a busy store takes none.
    fn write_record(&self) {
        let mut state = self.state.lock().expect("state");
        if state.down || self.store.is_busy() {
            return;
        }
        state.sequence += 1;
        let left = state.cold_from.map_or(Duration::ZERO, |from| WARMUP.saturating_sub(from.elapsed()));
        let (id, address, born, sequence) = (&self.id, self.address, state.born, state.sequence);
        let text = format!(
            "{{\"service\":\"engines\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"capacity\":96,\
             \"state\":\"ready\",\"warmup_left_ms\":{},\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\
             \"adapters\":[]}}],\"sequence\":{sequence},\"born\":{born}}}",
            left.as_millis()
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

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        self.state.lock().expect("state").channels.push(stream.try_clone().ok()?);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request: Message = read_message(&mut reader).ok()?;
            let arrived = Instant::now();
            let attempt = request.field("attempt-id").to_owned();
            if request.field("expect-replica") != self.id {
                let fields = format!("Attempt-Id: {attempt}\r\nReplica-Id: {}\r\n", self.id);
                writer.write_all(&response(421, &fields, b"")).ok()?;
                continue;
            }
            let sent = self.sent.lock().expect("sent").get(&attempt).copied()?;
            {
                let mut state = self.state.lock().expect("state");
                if state.cold_from.is_some_and(|from| from.elapsed() < WARMUP) {
                    self.record.line(&format!("run {attempt} at {}, which is cold", self.id));
                    state.arrivals.push((sent, arrived));
                } else {
                    self.record.line(&format!("run {attempt} at {}", self.id));
                }
            }
            thread::sleep(WORK);
            let fields = format!("Attempt-Id: {attempt}\r\nReplica-Signature: s.{}\r\n", self.id);
            writer.write_all(&response(200, &fields, b"done")).ok()?;
        }
    }

    /// Crashes, and starts again at its address and under its id. It says nothing to the store when it crashes.
    fn restart(&self) {
        self.record.line(&format!("{} crashes", self.id));
        let channels = {
            let mut state = self.state.lock().expect("state");
            state.down = true;
            std::mem::take(&mut state.channels)
        };
        channels.iter().for_each(|channel| drop(channel.shutdown(Shutdown::Both)));
        thread::sleep(DOWN);
        let listener = TcpListener::bind(self.address).expect("the replica's address");
        {
            let mut state = self.state.lock().expect("state");
            (state.down, state.born, state.cold_from) = (false, unix_millis(), Some(Instant::now()));
            state.sequence = 0;
        }
        self.record.line(&format!("{} runs again, cold for {} ms", self.id, WARMUP.as_millis()));
        self.listen(listener);
        self.write_record();
    }

    /// The most requests that were sent and arrived inside one second while it was cold.
    fn most_in_a_second(&self) -> usize {
        let state = self.state.lock().expect("state");
        let second = Duration::from_secs(1);
        let count = |from: Instant| {
            state.arrivals.iter().filter(|(sent, at)| *sent >= from && *at < from + second).count()
        };
        state.arrivals.iter().map(|(sent, _)| count(*sent)).max().unwrap_or(0)
    }
}

fn call(address: SocketAddr, number: usize, sent: Sent, (record, stop): (Record, Stop), served: Arc<Mutex<u32>>) {
    let mut channel = None;
    while !stop.is_set() {
        let Some(open) = &mut channel else {
            channel = Channel::open(address).ok();
            if channel.is_none() {
                thread::sleep(Duration::from_millis(20));
            }
            continue;
        };
        let (id, text) = request("GET", &format!("/look/{number}"), "X-Api-Key: key-1\r\n", "");
        sent.lock().expect("sent").insert(id.clone(), Instant::now());
        match open.send(&text) {
            Ok(answer) => {
                record.line(&format!("answer {id} {}", answer.status()));
                *served.lock().expect("served") += u32::from(answer.status() == 200);
            }
            Err(error) => {
                record.line(&format!("cut {id}: {error}"));
                channel = None;
            }
        }
        thread::sleep(PAUSE);
    }
}

fn manifest() -> String {
    let (warmup, rate) = (WARMUP.as_secs(), COLD_PER_S);
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"look\",\"host\":\"board.example\",\"path_prefix\":\"/look/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":1500,\"latency_goal_ms\":300,\"priority\":1,\"service\":\"engines\",\
         \"max_attempts\":2,\"stages\":[],\"public\":false,\"affinity\":true,\"resume_streams\":false,\
         \"gap_aim_ms\":250}}],\"services\":[{{\"name\":\"engines\",\"health_path\":\"/healthz\",\"max_conns\":620,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"capacity\":96,\"kv_tokens\":235180}},\
         \"warmup_s\":{warmup},\"cold_per_s\":{rate:.1}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"kollam\",\"keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}

fn play(record: &Record, folder: &Path) -> (i32, String) {
    let store = Store::start(Duration::from_millis(4));
    store.put("op/config", &manifest());
    let sent = Sent::default();
    let replicas: Vec<Replica> =
        (1..=REPLICAS).map(|n| Replica::start(&store, record, &sent, &format!("i-{n}"))).collect();
    let mut entries: Vec<Entry> = (1..=2).map(|n| Entry::new(folder, n, store.address, 2)).collect();
    for entry in &mut entries {
        entry.add_settings(&format!(
            "bounds.cold_over={COLD_OVER}\nbounds.cold_slack={COLD_SLACK}\nbounds.evacuate_ms=5000\n"
        ));
        entry.start();
    }
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return (2, "an entry did not start".to_owned());
    }
    let (stop, served) = (Stop::default(), Arc::new(Mutex::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (address, shared) = (entries[n % 2].frontend(), (record.clone(), stop.clone()));
            let (sent, served) = (sent.clone(), served.clone());
            thread::spawn(move || call(address, n, sent, shared, served))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let began = Instant::now();
    if has_trouble() {
        record.line("the store is busy");
        store.set_busy(true);
    }
    thread::sleep(Duration::from_millis(1_500));
    let restarts: Vec<_> = replicas
        .iter()
        .map(|replica| {
            let replica = replica.clone();
            thread::spawn(move || replica.restart())
        })
        .collect();
    restarts.into_iter().for_each(|restart| drop(restart.join()));
    thread::sleep(BUSY.saturating_sub(began.elapsed()));
    record.line("the store is not busy");
    store.set_busy(false);
    thread::sleep(Duration::from_secs(3));
    stop.set();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let most: Vec<usize> = replicas.iter().map(Replica::most_in_a_second).collect();
    let allowed = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let served = *served.lock().expect("served");
    let text = format!(
        "FAILBACK: the cold replicas got up to {most:?} requests in one second, {allowed:.0} allowed; {served} served"
    );
    match served {
        0 => (2, text),
        _ => (i32::from(most.iter().any(|most| *most as f64 > allowed)), text),
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
