//! The cases.

use crate::client::{Exchange, PIECES, send};
use crate::entry::{Entry, Place, SIGCONT, SIGSTOP, SIGTERM};
use crate::net::{free_port, now_ms};
use crate::replica::{
    CALL_MS, EVENTS, ITEM_MS, LABEL_EVENTS, LINES, Replica, Run, SLOTS, event_text,
};
use crate::store::Store;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: Ipv4Addr = Ipv4Addr::LOCALHOST;

pub fn play(case: &str, folder: &Path, trouble: bool) -> ExitCode {
    let mut record = Record::default();
    let temporary = std::env::temp_dir().join(format!("review-lab-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let held = match case {
        "drain" => drain(&mut record, &temporary, trouble),
        "extra" => extra(&mut record, &temporary, trouble),
        "silent" => silent(&mut record, &temporary, trouble),
        "route" => route(&mut record, &temporary, trouble),
        "freeze" => freeze(&mut record, &temporary, trouble),
        _ => None,
    };
    let (verdict, code) = match held {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.note(verdict);
    println!("{verdict}");
    std::fs::write(folder.join("record.txt"), record.text).expect("write the record");
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&temporary).ok();
    } else {
        println!("{}", temporary.display());
    }
    ExitCode::from(code)
}

#[derive(Default)]
struct Record {
    text: String,
    start: Option<u64>,
}

impl Record {
    fn note(&mut self, text: &str) {
        self.note_at(now_ms(), text);
    }

    fn note_at(&mut self, at_ms: u64, text: &str) {
        let start = *self.start.get_or_insert(at_ms);
        writeln!(self.text, "{:9.3} s  {text}", at_ms as f64 / 1e3 - start as f64 / 1e3).ok();
    }
}

/// Appends what was sent, answered and run.
fn dump(record: &mut Record, exchanges: &[Exchange], runs: &[Run]) {
    let mut lines: Vec<(u64, String)> = Vec::new();
    for e in exchanges {
        let (id, path) = (&e.id, &e.path);
        lines.push((e.sent_ms, format!("{id} is sent to {path}")));
        let whole = if e.is_whole() { "whole" } else { "not a whole success" };
        let (status, size) = (e.status(), e.body().len());
        lines.push((e.ended_ms, format!("{id} is answered {status}, {size} bytes, {whole}")));
    }
    for run in runs {
        lines.push((run.at_ms, format!("{}: {} {}", run.replica, run.what, run.id)));
    }
    lines.sort();
    record.text.push_str("\nWhat was sent, answered and run:\n");
    lines.iter().for_each(|(at, text)| record.note_at(*at, text));
    record.text.push('\n');
}

fn manifest() -> String {
    manifest_of(1, &["order", "sheet", "draft", "fill", "label", "layout"])
}

fn manifest_of(version: u64, names: &[&str]) -> String {
    let route = |name: &str, kind: &str, service: &str, resume: bool| {
        let timeout = match name {
            "order" => ORDER_TIMEOUT_MS,
            "label" => LABEL_TIMEOUT_MS,
            _ => 8_000,
        };
        let stages = match name {
            "layout" => "{\"service\":\"catalog\",\"after\":[],\"bytes\":8000}",
            _ => "",
        };
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"board.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"latency_goal_ms\":2300,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":2,\"stages\":[{stages}],\"public\":false,\
             \"affinity\":false,\"resume_streams\":{resume},\"gap_aim_ms\":250}}"
        )
    };
    let routes = [
        route("order", "non_idempotent", "orders", false),
        route("report", "idempotent", "orders", false),
        route("sheet", "idempotent", "orders", false),
        route("draft", "streaming", "engines", true),
        route("label", "streaming", "engines", true),
        route("fill", "streaming", "engines", false),
        route("layout", "streaming", "engines", true),
    ];
    let named = |route: &&String| names.iter().any(|name| route.contains(&format!("r-{name}\"")));
    let routes: Vec<_> = routes.iter().filter(named).map(String::as_str).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"orders\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\
         \"tls\":false}},\
         {{\"name\":\"engines\",\"health_path\":\"/healthz\",\"max_conns\":620,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"capacity\":128,\"kv_tokens\":649902}}}},\
         {{\"name\":\"catalog\",\"health_path\":\"/healthz\",\"max_conns\":620,\"protocol\":\"h1\",\
         \"tls\":false,\"pieces\":{{\"capacity\":1,\"queue\":2,\"batch\":8,\"call_ms\":{CALL_MS},\
         \"item_ms\":{ITEM_MS},\"headroom_mb\":32.0,\"handle_s\":4.0,\"bandwidth_mbps\":10000}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"kollam\",\"keys\":[\"secret-key\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

fn listing(service: &str, address: SocketAddr, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"capacity\":6,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":{born}}}"
    )
}

/// Longest time that the operator wants an order kept waiting.
const ORDER_TIMEOUT_MS: u64 = 800;
/// The same for a long stream.
const LABEL_TIMEOUT_MS: u64 = 20_000;
/// Bounds of the settings, in ms.
const CONFIG_APPLY_MS: u64 = 2_000;
const DRAIN_MS: u64 = 2_000;
/// Time after the bound for which a replica still serves.
const LONGER_MS: u64 = 300;
const ROUNDS: usize = 16;

/// Replicas leave one after the other, without saying so, while the store cuts some waiting watches.
fn drain(record: &mut Record, folder: &Path, trouble: bool) -> Option<bool> {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let cut = move |n: u64| {
        let drawn = (n.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) % 2;
        (trouble && drawn == 0).then(|| Duration::from_millis(20 + n * 37 % 200))
    };
    let store = Store::start(HOST, Box::new(cut));
    store.put("op/config", &manifest());
    let address = || SocketAddr::from((HOST, free_port(HOST)));
    let start = |n: usize| {
        let replica = Replica::start(&format!("i-{n}"), address(), &runs);
        store.put(&format!("servers/i-{n}"), &listing("orders", replica.address, now_ms()));
        replica
    };
    let mut replicas: Vec<_> = (0..4).map(start).collect();
    let places = Place::list(3);
    let entries: Vec<_> =
        (0..3).map(|at| Entry::start(&places, at, store.address, folder)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    thread::sleep(Duration::from_secs(4));
    record.note("3 entries are ready, 4 replicas run");
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let exchanges: Arc<Mutex<Vec<Exchange>>> = Arc::default();
    let callers: Vec<_> = entries
        .iter()
        .flat_map(|entry| [entry.frontend; 4])
        .map(|frontend| {
            let (stop, count, out) = (stop.clone(), count.clone(), exchanges.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("a{:06x}", count.fetch_add(1, Ordering::Relaxed));
                    let done = send(frontend, "POST", "/order/", &id, 1_500);
                    out.lock().expect("the exchanges").push(done);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    let mut left = Vec::new();
    for round in 0..ROUNDS {
        // A new replica takes the place first.
        replicas.push(start(4 + round));
        thread::sleep(Duration::from_millis(1_500 + 130 * (round as u64 % 7)));
        let mut leaving = replicas.remove(0);
        let acked = store.remove(&format!("servers/{}", leaving.id));
        record.note_at(acked, &format!("the store has removed the entry of {}", leaving.id));
        thread::sleep(Duration::from_millis(DRAIN_MS + LONGER_MS));
        leaving.kill();
        record.note(&format!("{} exits", leaving.id));
        left.push((leaving.id.clone(), acked));
    }
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller"));
    thread::sleep(Duration::from_millis(200));
    let (watches, cuts) = store.watches();
    record.note(&format!("{watches} watches, of which {cuts} were cut"));
    let (runs, exchanges) = (runs.lock().ok()?, exchanges.lock().ok()?);
    record.note(&format!("{} orders sent", exchanges.len()));
    let mut late = 0;
    for (replica, acked) in &left {
        let (mut own, mut lost, mut last) = (0, 0, 0);
        for run in runs.iter().filter(|run| run.replica == *replica && run.what == "run") {
            let Some(exchange) = exchanges.iter().find(|e| e.id == run.id) else { continue };
            let (sent, ran) = (exchange.sent_ms as i64, run.at_ms as i64);
            let bound = (*acked + DRAIN_MS) as i64;
            if ran > bound && sent > bound {
                own += 1;
                last = last.max(ran - *acked as i64);
                if exchange.status() != 200 {
                    lost += 1;
                    record.note_at(
                        run.at_ms,
                        &format!(
                            "order {} runs at {replica} and is answered {}",
                            run.id,
                            exchange.status()
                        ),
                    );
                }
            }
        }
        if own > 0 {
            record.note_at(
                acked + DRAIN_MS,
                &format!(
                    "{replica}: {own} orders that were sent later than drain_ms after the ack reached it, \
                     the last one {last} ms after the ack; {lost} of them got no success"
                ),
            );
        }
        late += own;
    }
    dump(record, &exchanges, &runs);
    record.note(&format!("{late} orders reached replicas later than drain_ms after the ack"));
    Some(late == 0)
}

/// Replicas of each service, of which one at a time crashes.
const SERVERS: usize = 6;
/// Time for which the entry is stopped, and times after the stop at which the replicas crash and run again.
const FREEZE_MS: u64 = 3_500;
const CRASH_MS: u64 = 300;
const RETURN_MS: u64 = 2_300;
const FREEZE_ROUNDS: usize = 6;

/// An entry is stopped for some seconds, in which one replica of each service crashes and runs again.
fn freeze(record: &mut Record, folder: &Path, trouble: bool) -> Option<bool> {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let store = Store::start(HOST, Box::new(|_| None));
    store.put("op/config", &manifest());
    let address = || SocketAddr::from((HOST, free_port(HOST)));
    let service = |n: usize| if n < SERVERS { "engines" } else { "orders" };
    let write = |replica: &Replica, n: usize| {
        let listing = listing(service(n), replica.address, now_ms());
        store.put(&format!("servers/{}", replica.id), &listing);
    };
    let mut replicas = Vec::new();
    for n in 0..2 * SERVERS {
        let replica = Replica::start(&format!("i-{n}"), address(), &runs);
        write(&replica, n);
        replicas.push(replica);
    }
    let places = Place::list(2);
    let mut entries: Vec<_> =
        (0..2).map(|at| Entry::start(&places, at, store.address, folder)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    record.note(&format!("2 entries are ready, {SERVERS} replicas of each of 2 services run"));
    let frontend = entries[0].frontend;
    let (mut broken, mut number, mut exchanges) = (0, 0, Vec::new());
    for round in 0..FREEZE_ROUNDS {
        let callers: Vec<_> = ["/draft/", "/fill/", "/sheet/"]
            .into_iter()
            .cycle()
            .take(36)
            .map(|path| {
                number += 1;
                let id = format!("b{number:04x}");
                let method = if path == "/sheet/" { "GET" } else { "POST" };
                thread::spawn(move || send(frontend, method, path, &id, 8_000))
            })
            .collect();
        thread::sleep(Duration::from_millis(700));
        if trouble {
            entries[0].signal(SIGSTOP);
            record.note(&format!("round {round}: the first entry is stopped"));
            thread::sleep(Duration::from_millis(CRASH_MS));
            let crashed = [round % SERVERS, SERVERS + round % SERVERS];
            for n in crashed {
                replicas[n].kill();
                record.note(&format!("{} is killed", replicas[n].id));
            }
            thread::sleep(Duration::from_millis(RETURN_MS - CRASH_MS));
            for n in crashed {
                let (id, address) = (replicas[n].id.clone(), replicas[n].address);
                replicas[n] = Replica::start(&id, address, &runs);
                write(&replicas[n], n);
                record.note(&format!("{id} runs again"));
            }
            thread::sleep(Duration::from_millis(FREEZE_MS - RETURN_MS));
            entries[0].signal(SIGCONT);
            record.note("the first entry goes on");
        }
        for caller in callers {
            let exchange = caller.join().expect("a caller");
            let whole: String = match exchange.path.as_str() {
                "/sheet/" => (0..LINES).map(|line| format!("line {line}\n")).collect(),
                _ => (0..EVENTS).map(event_text).collect(),
            };
            let good = !exchange.is_whole() || exchange.body() == whole;
            exchanges.push(exchange.clone());
            broken += usize::from(!good);
            let what = format!(
                "{} {}: status {}, {} of {} bytes, the answer {}{}",
                exchange.id,
                exchange.path,
                exchange.status(),
                exchange.body().len(),
                whole.len(),
                if exchange.is_whole() { "ends as complete" } else { "is not complete" },
                if good { "" } else { ": BROKEN" },
            );
            record.note_at(exchange.ended_ms, &what);
        }
        thread::sleep(Duration::from_secs(4));
    }
    dump(record, &exchanges, &runs.lock().ok()?);
    record.note(&format!("{broken} answers looked complete and were not"));
    Some(broken == 0)
}

/// Share of the answers that a garbling replica sends twice.
const EXTRA_SHARE: f64 = 0.03;
/// Factor of the time that the work of every third replica takes.
const SLOWNESS: f64 = 1.3;
/// Time for which replicas garble, and the pause after it.
const GARBLE_TIME: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(1));
const GARBLE_ROUNDS: usize = 14;
/// Replicas of the stage, and requesters. Each of them sends one request after the other.
const STAGE_SERVERS: usize = 8;
const CALLERS: usize = 8;
/// Longest time between an answer and the next request of a requester.
const THINK_MS: u64 = 200;

/// Replicas of a stage send second copies of some answers late.
fn extra(record: &mut Record, folder: &Path, trouble: bool) -> Option<bool> {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let store = Store::start(HOST, Box::new(|_| None));
    store.put("op/config", &manifest());
    let address = || SocketAddr::from((HOST, free_port(HOST)));
    let mut replicas = Vec::new();
    for n in 0..2 + STAGE_SERVERS {
        let (service, share) = match n {
            0..2 => ("engines", 0.0),
            n if trouble && n % 2 == 0 => ("catalog", EXTRA_SHARE),
            _ => ("catalog", 0.0),
        };
        let slowness = if n % 3 == 2 { SLOWNESS } else { 1.0 };
        let replica = Replica::start_with(&format!("i-{n}"), address(), &runs, (share, slowness));
        store.put(&format!("servers/i-{n}"), &listing(service, replica.address, now_ms()));
        replicas.push(replica);
    }
    let places = Place::list(2);
    let entries: Vec<_> =
        (0..2).map(|at| Entry::start(&places, at, store.address, folder)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    record.note(&format!(
        "2 entries are ready, 2 engines and {STAGE_SERVERS} replicas of the stage run"
    ));
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let exchanges: Arc<Mutex<Vec<Exchange>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| entries[n % 2].frontend)
        .map(|frontend| {
            let (stop, count, out) = (stop.clone(), count.clone(), exchanges.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = count.fetch_add(1, Ordering::Relaxed);
                    let done = send(frontend, "POST", "/layout/", &format!("c{number:06x}"), 6_000);
                    out.lock().expect("the exchanges").push(done);
                    thread::sleep(Duration::from_millis(number * 7919 % THINK_MS));
                }
            })
        })
        .collect();
    for _ in 0..GARBLE_ROUNDS {
        replicas.iter().for_each(|replica| replica.disturb(true));
        thread::sleep(GARBLE_TIME.0);
        replicas.iter().for_each(|replica| replica.disturb(false));
        thread::sleep(GARBLE_TIME.1);
    }
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller"));
    thread::sleep(Duration::from_millis(500));
    let (runs, exchanges) = (runs.lock().ok()?, exchanges.lock().ok()?);
    let served = exchanges.iter().filter(|exchange| exchange.is_whole()).count();
    let extras = runs.iter().filter(|run| run.what == "extra").count();
    record.note(&format!("{} requests, {served} served, {extras} second answers", exchanges.len()));
    // The request that each result was made for.
    let mut made = std::collections::BTreeMap::new();
    for run in runs.iter().filter(|run| run.what == "made") {
        let words: Vec<_> = run.id.split(',').collect();
        made.insert(words[3].to_owned(), words[..3].join(","));
    }
    let mut mixed = 0;
    for run in runs.iter().filter(|run| run.what == "given") {
        let (id, inputs) = run.id.split_once(',').unwrap_or_default();
        let unknown = "unknown".to_owned();
        let of: Vec<_> =
            inputs.split('+').map(|handle| made.get(handle).unwrap_or(&unknown).clone()).collect();
        let wanted: Vec<_> = (0..PIECES).map(|piece| format!("{id},0,{piece}")).collect();
        if of != wanted {
            mixed += 1;
            let exchange = exchanges.iter().find(|exchange| exchange.id == id);
            let status = exchange.map_or(0, Exchange::status);
            let text = format!(
                "{} runs {id} with the results {}, made for {}; its caller gets {status}",
                run.replica,
                inputs.replace('+', " and "),
                of.join(" and "),
            );
            record.note_at(run.at_ms, &text);
        }
    }
    dump(record, &exchanges, &runs);
    record.note(&format!("{mixed} requests were given results of other requests"));
    Some(mixed == 0)
}

/// Time for which only the first route is used, and for which both are.
const ROUTE_TIME: (Duration, Duration) = (Duration::from_secs(25), Duration::from_secs(30));

/// A new version of the manifest adds a route with short calls to a service that has only had long ones.
fn route(record: &mut Record, folder: &Path, trouble: bool) -> Option<bool> {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let store = Store::start(HOST, Box::new(|_| None));
    let first = if trouble { &["report"][..] } else { &["report", "order"] };
    store.put("op/config", &manifest_of(1, first));
    let mut replicas = Vec::new();
    for n in 0..4 {
        let address = SocketAddr::from((HOST, free_port(HOST)));
        let replica = Replica::start(&format!("i-{n}"), address, &runs);
        store.put(&format!("servers/i-{n}"), &listing("orders", replica.address, now_ms()));
        replicas.push(replica);
    }
    let places = Place::list(2);
    let entries: Vec<_> =
        (0..2).map(|at| Entry::start(&places, at, store.address, folder)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    record.note("2 entries are ready, 4 replicas run");
    let (stop, added) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(!trouble)));
    let count = Arc::new(AtomicU64::new(0));
    let exchanges: Arc<Mutex<Vec<Exchange>>> = Arc::default();
    let callers: Vec<_> = entries
        .iter()
        .flat_map(|entry| [(entry.frontend, true), (entry.frontend, true), (entry.frontend, false)])
        .map(|(frontend, long)| {
            let (stop, added, count) = (stop.clone(), added.clone(), count.clone());
            let out = exchanges.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("d{:06x}", count.fetch_add(1, Ordering::Relaxed));
                    if long {
                        let done = send(frontend, "GET", "/report/", &id, 6_000);
                        out.lock().expect("the exchanges").push(done);
                    } else if added.load(Ordering::Relaxed) {
                        let done = send(frontend, "POST", "/order/", &id, 1_500);
                        out.lock().expect("the exchanges").push(done);
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    thread::sleep(ROUTE_TIME.0);
    let acked = match trouble {
        true => store.put("op/config", &manifest_of(2, &["report", "order"])),
        false => now_ms(),
    };
    if trouble {
        record
            .note_at(acked, "the store has acknowledged version 2, which adds the route of orders");
    }
    thread::sleep(Duration::from_millis(CONFIG_APPLY_MS));
    added.store(true, Ordering::Relaxed);
    thread::sleep(ROUTE_TIME.1);
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller"));
    let exchanges = exchanges.lock().ok()?;
    let mut share = |path: &str| {
        let sent = exchanges.iter().filter(|exchange| exchange.path == path);
        let sent: Vec<_> = sent.filter(|e| e.sent_ms >= acked + CONFIG_APPLY_MS).collect();
        let served = sent.iter().filter(|exchange| exchange.is_whole()).count();
        let refused = sent.iter().filter(|exchange| exchange.status() == 503).count();
        let text = sent.iter().find(|e| e.status() == 503).map(|e| e.body()).unwrap_or_default();
        record.note(&format!(
            "{path}: {} requests since config_apply_ms after the ack, {served} served, {refused} \
             refused with 503 {text}",
            sent.len()
        ));
        (sent.len() >= 20).then(|| served as f64 / sent.len() as f64)
    };
    let (first, new) = (share("/report/"), share("/order/"));
    dump(record, &exchanges, &runs.lock().ok()?);
    let (first, new) = (first?, new?);
    Some(new >= first / 4.0)
}

/// Engines, each of which runs as many long streams as it can.
const ENGINES: u64 = 2;
/// Times after the first stream: SIGTERM, and the time for which one engine preempts its streams.
const TERM_MS: u64 = 800;
const PREEMPT_MS: (u64, u64) = (1_000, 3_600);
const SILENT_ROUNDS: usize = 4;

/// An entry is told to stop while its streams run, and one of two full engines preempts its own for a while.
fn silent(record: &mut Record, folder: &Path, trouble: bool) -> Option<bool> {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let store = Store::start(HOST, Box::new(|_| None));
    store.put("op/config", &manifest());
    let mut replicas = Vec::new();
    for n in 0..ENGINES {
        let address = SocketAddr::from((HOST, free_port(HOST)));
        let replica = Replica::start(&format!("i-{n}"), address, &runs);
        store.put(&format!("servers/i-{n}"), &listing("engines", replica.address, now_ms()));
        replicas.push(replica);
    }
    let places = Place::list(2);
    let mut entries: Vec<_> =
        (0..2).map(|at| Entry::start(&places, at, store.address, folder)).collect();
    let (mut lost, mut number, mut exchanges) = (0, 0, Vec::new());
    for round in 0..SILENT_ROUNDS {
        if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(15))) {
            return None;
        }
        thread::sleep(Duration::from_secs(4));
        record.note(&format!("round {round}: 2 entries are ready, {ENGINES} engines run"));
        let frontend = entries[0].frontend;
        let began = Instant::now();
        let at = |millis: u64| {
            thread::sleep(Duration::from_millis(millis).saturating_sub(began.elapsed()));
        };
        let callers: Vec<_> = (0..ENGINES * SLOTS)
            .map(|_| {
                number += 1;
                let id = format!("e{number:04x}");
                thread::sleep(Duration::from_millis(5));
                thread::spawn(move || send(frontend, "POST", "/label/", &id, LABEL_TIMEOUT_MS))
            })
            .collect();
        at(TERM_MS);
        entries[0].signal(SIGTERM);
        let told = now_ms();
        record.note_at(told, "the first entry gets SIGTERM");
        at(PREEMPT_MS.0);
        let preempting = &replicas[round % replicas.len()];
        if trouble {
            preempting.disturb(true);
            record.note(&format!("{} preempts its streams", preempting.id));
            at(PREEMPT_MS.1);
            preempting.disturb(false);
            record.note(&format!("{} goes on with them", preempting.id));
        }
        for caller in callers {
            let exchange = caller.join().expect("a caller");
            let runs = runs.lock().ok()?;
            let ran = |run: &&Run| run.id == exchange.id && run.what == "run";
            let passed_on: Vec<_> = runs.iter().filter(ran).map(|run| &run.replica).collect();
            let whole: String = (0..LABEL_EVENTS).map(event_text).collect();
            let cut = !passed_on.is_empty() && !(exchange.is_whole() && exchange.body() == whole);
            // What is still worked on in the last sixth of grace_s may be cut.
            let counts = exchange.ended_ms < told + 8_000 * 5 / 6;
            exchanges.push(exchange.clone());
            lost += usize::from(cut && counts);
            record.note_at(
                exchange.ended_ms,
                &format!(
                    "{} at {passed_on:?}: status {}, {} of {} bytes, {} ms after the SIGTERM{}",
                    exchange.id,
                    exchange.status(),
                    exchange.body().len(),
                    whole.len(),
                    exchange.ended_ms as i64 - told as i64,
                    if cut && counts { ": CUT" } else { "" },
                ),
            );
        }
        let ended = entries[0].wait_end(Duration::from_secs(10));
        record.note(&format!("the first entry has ended: {ended}"));
        entries[0] = Entry::start(&places, 0, store.address, folder);
    }
    let full = runs.lock().ok()?.iter().filter(|run| run.what == "full").count();
    record.note(&format!("{full} times an engine had no slot free"));
    dump(record, &exchanges, &runs.lock().ok()?);
    record.note(&format!("{lost} streams of sound engines were cut"));
    Some(lost == 0)
}
