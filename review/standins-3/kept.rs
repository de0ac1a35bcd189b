//! Requests with long heads on channels that were opened while an entry started.

mod lab;

use lab::{Channel, Entry, Folder, Record, Replica, Stop, Store, finish, has_trouble, manifest, request};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `limits` of the manifest, the same in the whole run.
const LIMITS: &str = "{\"max_header_bytes\":32768,\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\
                      \"idle_timeout_ms\":15000}";
const TENANTS: &str = ",\"tenants\":[{\"name\":\"kollam\",\"keys\":[\"key-1\"],\"priority\":1}]";
const CALLERS: usize = 40;
/// Pause of a requester between two requests on its channel.
const PAUSE: Duration = Duration::from_millis(250);
/// Pause before a requester opens a channel again after one that broke or wasn't opened.
const RECONNECT: Duration = Duration::from_millis(10);
/// `bounds.stable_ms`, and a second more.
const STABLE: Duration = Duration::from_millis(4_000);

#[derive(Default)]
struct Counts {
    sent: u32,
    served: u32,
    /// Requests that were cut by the kill.
    cut: u32,
    /// Answers with a 4xx of the entry's own, other than 408, 421 and 429: by machines in touch, and others.
    denied: u32,
    denied_early: u32,
}

fn call(
    address: std::net::SocketAddr,
    number: usize,
    (record, stop): (Record, Stop),
    long_from: Arc<Mutex<Option<Instant>>>,
    counts: Arc<Mutex<Counts>>,
) {
    let long = format!("Label-List: {}\r\n", "0123456789,".repeat(1_900));
    let (mut channel, mut turn) = (None, number);
    while !stop.is_set() {
        let Some(open) = &mut channel else {
            channel = Channel::open(address).ok();
            if channel.is_none() {
                thread::sleep(RECONNECT);
            }
            continue;
        };
        turn += 1;
        let in_touch = long_from.lock().expect("time").is_some_and(|from| Instant::now() > from);
        let is_long = in_touch && turn % 4 == 0;
        let fields = format!("X-Api-Key: key-1\r\n{}", if is_long { &long } else { "" });
        let (id, text) = request("GET", &format!("/lookup/{number}"), &fields, "");
        counts.lock().expect("counts").sent += 1;
        record.line(&format!("send {id} to {address}, {} bytes", text.len()));
        let answer = open.send(&text);
        let mut counts = counts.lock().expect("counts");
        match answer {
            Ok(answer) => {
                let (status, own) = (answer.status(), answer.field("replica-signature").is_empty());
                record.line(&format!("answer {id} {status}{}", if own { " of the entry" } else { "" }));
                counts.served += u32::from(status == 200);
                if own && (300..500).contains(&status) && ![408, 421, 429].contains(&status) {
                    let count = if in_touch { &mut counts.denied } else { &mut counts.denied_early };
                    *count += 1;
                }
                if answer.field("connection").eq_ignore_ascii_case("close") {
                    channel = None;
                }
            }
            Err(error) => {
                record.line(&format!("cut {id}: {error}"));
                counts.cut += 1;
                channel = None;
                drop(counts);
                thread::sleep(RECONNECT);
                continue;
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
    let long_from = Arc::new(Mutex::new(None));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (address, shared) = (entries[n % 2].frontend(), (record.clone(), stop.clone()));
            let (long_from, counts) = (long_from.clone(), counts.clone());
            thread::spawn(move || call(address, n, shared, long_from, counts))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if has_trouble() {
        record.line("kill all entries");
        entries.iter_mut().for_each(Entry::kill);
        thread::sleep(Duration::from_millis(300));
        record.line("start all entries");
        entries.iter_mut().for_each(Entry::start);
    }
    *long_from.lock().expect("time") = Some(Instant::now() + STABLE);
    thread::sleep(STABLE + Duration::from_secs(8));
    stop.set();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let counts = counts.lock().expect("counts");
    let Counts { sent, served, cut, denied, denied_early } = *counts;
    let runs: usize = replicas.iter().map(|r| r.runs.lock().expect("runs").len()).sum();
    let allowed = 5.0 + f64::from(sent) / 500.0;
    let text = format!(
        "DENIED: {denied} requests ended with a 4xx of the entry's own by machines in touch, {allowed:.1} allowed; \
         {denied_early} by others; {sent} sent, {served} served, {cut} cut, {runs} run"
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
