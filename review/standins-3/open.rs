//! A version of the manifest without `tenants`.

mod lab;

use lab::{Channel, Entry, Folder, Record, Replica, Stop, Store, finish, has_trouble, manifest, request};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMITS: &str = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\
                      \"idle_timeout_ms\":15000}";
const TENANTS: &str = ",\"tenants\":[{\"name\":\"kollam\",\"keys\":[\"key-1\"],\"priority\":1}]";
const CALLERS: usize = 20;
const PAUSE: Duration = Duration::from_millis(250);
/// `bounds.config_apply_ms`, and a second more.
const APPLIED: Duration = Duration::from_millis(3_000);

#[derive(Default)]
struct Counts {
    sent: u32,
    served: u32,
    denied: u32,
}

/// What requesters do: they send their key until the new version is in force, and none then if it has no tenants.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Keyed,
    Paused,
    Open,
}

fn call(
    address: SocketAddr,
    number: usize,
    (record, stop): (Record, Stop),
    phase: Arc<Mutex<Phase>>,
    counts: Arc<Mutex<Counts>>,
) {
    let mut channel = None;
    while !stop.is_set() {
        let now = *phase.lock().expect("phase");
        let Some(open) = channel.as_mut().filter(|_| now != Phase::Paused) else {
            if channel.is_none() {
                channel = Channel::open(address).ok();
            }
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let key = if now == Phase::Keyed { "X-Api-Key: key-1\r\n" } else { "" };
        let (id, text) = request("GET", &format!("/lookup/{number}"), key, "");
        record.line(&format!("send {id}{}", if key.is_empty() { " without a key" } else { "" }));
        let answer = open.send(&text);
        let mut counts = counts.lock().expect("counts");
        counts.sent += 1;
        match answer {
            Ok(answer) => {
                let (status, own) = (answer.status(), answer.field("replica-signature").is_empty());
                record.line(&format!("answer {id} {status}{}", if own { " of the entry" } else { "" }));
                counts.served += u32::from(status == 200);
                let is_denied = own && (300..500).contains(&status) && ![408, 421, 429].contains(&status);
                counts.denied += u32::from(is_denied);
            }
            Err(error) => {
                record.line(&format!("cut {id}: {error}"));
                channel = None;
            }
        }
        drop(counts);
        thread::sleep(PAUSE);
    }
}

fn play(record: &Record, folder: &Path) -> (i32, String) {
    let store = Store::start(Duration::from_millis(4));
    store.put("op/config", &manifest(3, LIMITS, TENANTS));
    let replicas: Vec<Replica> = (1..=4)
        .map(|n| Replica::start(&store, record, &format!("i-{n}"), "orders", Duration::from_millis(15)))
        .collect();
    let mut entries: Vec<Entry> = (1..=2).map(|n| Entry::new(folder, n, store.address, 2)).collect();
    entries.iter_mut().for_each(Entry::start);
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return (2, "an entry did not start".to_owned());
    }
    let (stop, counts) = (Stop::default(), Arc::new(Mutex::new(Counts::default())));
    let phase = Arc::new(Mutex::new(Phase::Keyed));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (address, shared) = (entries[n % 2].frontend(), (record.clone(), stop.clone()));
            let (phase, counts) = (phase.clone(), counts.clone());
            thread::spawn(move || call(address, n, shared, phase, counts))
        })
        .collect();
    // Longer than `bounds.stable_ms`, so that the entries are in touch.
    thread::sleep(Duration::from_secs(5));
    *phase.lock().expect("phase") = Phase::Paused;
    thread::sleep(Duration::from_millis(500));
    let tenants = if has_trouble() { "" } else { TENANTS };
    store.put("op/config", &manifest(8, LIMITS, tenants));
    let written = Instant::now();
    record.line(&format!("version 8 is acknowledged{}", if has_trouble() { ", without tenants" } else { "" }));
    thread::sleep(APPLIED.saturating_sub(written.elapsed()));
    *phase.lock().expect("phase") = if has_trouble() { Phase::Open } else { Phase::Keyed };
    thread::sleep(Duration::from_secs(5));
    stop.set();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let Counts { sent, served, denied } = *counts.lock().expect("counts");
    let runs: usize = replicas.iter().map(|r| r.runs.lock().expect("runs").len()).sum();
    let allowed = 5.0 + f64::from(sent) / 500.0;
    let text = format!(
        "DENIED: {denied} requests ended with a 4xx of the entry's own, {allowed:.1} allowed; {sent} sent, \
         {served} served, {runs} run"
    );
    match served {
        0 => (2, text),
        _ => (i32::from(f64::from(denied) > allowed), text),
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
