//! An entry whose grace time was shortened in its settings is stopped.

mod lab;

use lab::{Channel, Entry, Folder, Record, Replica, Signal, Stop, Store, finish, has_trouble, manifest, request};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMITS: &str = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\
                      \"idle_timeout_ms\":15000}";
const TENANTS: &str = ",\"tenants\":[{\"name\":\"kollam\",\"keys\":[\"key-1\"],\"priority\":1}]";
const CALLERS: u64 = 60;
/// `grace_s` at first, and after the change of the settings.
const GRACE: (u64, u64) = (8, 4);
/// Time that a replica works on an order.
const WORK: Duration = Duration::from_millis(600);
/// A requester's pause between two requests on its channel: five seconds and up to two more.
const PAUSE_MS: (u64, u64) = (5_000, 2_000);

/// A request whose channel ended without a complete answer.
struct Cut {
    id: String,
    sent: Instant,
}

fn call(
    address: SocketAddr,
    number: u64,
    (record, stop): (Record, Stop),
    (cuts, served): (Arc<Mutex<Vec<Cut>>>, Arc<Mutex<u32>>),
) {
    thread::sleep(Duration::from_millis(number * PAUSE_MS.0 / CALLERS));
    let (mut channel, mut draw) = (None, number);
    while !stop.is_set() {
        let Some(open) = &mut channel else {
            // The balancer sends new channels elsewhere once the entry is not ready.
            channel = Channel::open(address).ok();
            if channel.is_none() {
                return;
            }
            continue;
        };
        let (id, text) = request("POST", &format!("/order/{number}"), "X-Api-Key: key-1\r\n", "cartons=1");
        record.line(&format!("send {id}"));
        let sent = Instant::now();
        match open.send(&text) {
            Ok(answer) => {
                record.line(&format!("answer {id} {} {}", answer.status(), answer.field("replica-signature")));
                *served.lock().expect("served") += u32::from(answer.status() == 200);
                if answer.field("connection").eq_ignore_ascii_case("close") {
                    return;
                }
            }
            Err(error) => {
                record.line(&format!("cut {id}: {error}"));
                cuts.lock().expect("cuts").push(Cut { id, sent });
                return;
            }
        }
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        thread::sleep(Duration::from_millis(PAUSE_MS.0 + (draw >> 33) % PAUSE_MS.1));
    }
}

fn play(record: &Record, folder: &Path) -> (i32, String) {
    let store = Store::start(Duration::from_millis(4));
    store.put("op/config", &manifest(3, LIMITS, TENANTS));
    let replicas: Vec<Replica> =
        (1..=4).map(|n| Replica::start(&store, record, &format!("i-{n}"), "orders", WORK)).collect();
    let mut entry = Entry::new(folder, 1, store.address, 1);
    entry.start();
    if !entry.wait_ready(Duration::from_secs(10)) {
        return (2, "the entry did not start".to_owned());
    }
    let (stop, cuts, served) = (Stop::default(), Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (address, shared) = (entry.frontend(), (record.clone(), stop.clone()));
            let counts = (cuts.clone(), served.clone());
            thread::spawn(move || call(address, n, shared, counts))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut grace = GRACE.0;
    if has_trouble() {
        grace = GRACE.1;
        record.line(&format!("settings: bounds.grace_s={grace}, SIGHUP"));
        entry.change_settings("bounds.grace_s", &grace.to_string());
        entry.signal(Signal::Hangup);
    }
    thread::sleep(Duration::from_secs(8));
    record.line("SIGTERM");
    entry.signal(Signal::Terminate);
    let stopped = Instant::now();
    let end = stopped + Duration::from_secs(grace);
    while Instant::now() < end && !entry.has_ended() {
        thread::sleep(Duration::from_millis(10));
    }
    record.line(if entry.has_ended() { "the entry has ended" } else { "SIGKILL" });
    entry.kill();
    stop.set();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let run: HashSet<String> = replicas
        .iter()
        .flat_map(|r| r.runs.lock().expect("runs").iter().map(|m| m.field("attempt-id").to_owned()).collect::<Vec<_>>())
        .collect();
    let late = stopped + Duration::from_secs(3);
    let cuts = cuts.lock().expect("cuts");
    // Not counted: a request that was sent within 3 s of the SIGTERM and at which a replica was still at work.
    let lost: Vec<&Cut> = cuts.iter().filter(|cut| run.contains(&cut.id) && cut.sent > late).collect();
    for cut in &lost {
        let after = cut.sent.duration_since(stopped).as_millis();
        record.line(&format!("lost {}: sent {after} ms after the SIGTERM, run by a replica", cut.id));
    }
    let served = *served.lock().expect("served");
    let text = format!(
        "LOST: {} requests that a replica ran got no answer; {} cut in all, {served} served, {} run",
        lost.len(),
        cuts.len(),
        run.len()
    );
    match served {
        0 => (2, text),
        _ => (i32::from(!lost.is_empty()), text),
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
