//! Requests leave out a stage that other stages follow, or that follows others. Checks that no piece that
//! needs results is given none, and that the model replica gets the results that were made for a request.

#[path = "../standins/standins.rs"]
mod standins;

use standins::*;
use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Services of the stages 0, 1 and 2. Stage 1 is after stage 0, and stage 2 after stage 1.
const SERVICES: [&str; 3] = ["catalog", "tracker", "registry"];
/// `Pieces` of the requests: the first stage has two, the second three, the third two.
const USUAL: &str = "2,3,2";
const MIDDLE_OMITTED: &str = "2,0,2";
const LAST_OMITTED: &str = "2,3,0";
const CALL_MS: u64 = 60;
const ROUNDS: u64 = 6;
const DEADLINE_MS: u64 = 6_000;

#[derive(Default)]
struct World {
    /// Results by handle: the request and the stage that they were made for.
    results: Mutex<BTreeMap<String, (String, u64)>>,
    next_result: AtomicU64,
    without_inputs: AtomicU64,
    without_results: AtomicU64,
    ran: AtomicU64,
}

fn serve_stage(world: &World, record: &Record, service: &str, mut wire: Wire) {
    let Ok(own) = wire.stream.local_addr() else { return };
    while let Some(request) = wire.request() {
        if request.path == "/-/stage-free" {
            if !wire.send(&answer(200, "", "")) {
                return;
            }
            continue;
        }
        pause(CALL_MS);
        let call = request.json();
        let mut made = Vec::new();
        for item in call.list("items") {
            let (id, stage) =
                (item.text("id").unwrap_or_default(), item.number("stage").unwrap_or(0));
            let inputs = item.list("inputs").len();
            record.line(&format!(
                "{service}: request {id} stage {stage} piece {}: {inputs} inputs, key {:?}",
                item.number("piece").unwrap_or(0),
                item.text("key")
            ));
            if stage > 0 && inputs == 0 {
                world.without_inputs.fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "MIXED: stage {stage} has `after`, and request {id} gives it none"
                ));
            }
            let number = world.next_result.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{own}/{:012x}", (number + 1) * 0x9e37_79b9);
            lock(&world.results).insert(handle.clone(), (id.to_owned(), stage));
            made.push(format!(r#"{{"handle":"{handle}"}}"#));
        }
        let body = format!(r#"{{"items":[{}]}}"#, made.join(","));
        if !wire.send(&answer(200, "Content-Type: application/json\r\n", &body)) {
            return;
        }
    }
}

/// The stages with pieces that no other stage with pieces follows, of the chain of stages.
fn last_stages(pieces: &str) -> BTreeSet<u64> {
    let counts: Vec<u64> = pieces.split(',').filter_map(|text| text.parse().ok()).collect();
    let present = |stage: usize| counts.get(stage).is_some_and(|count| *count > 0);
    let last = (0..counts.len()).filter(|stage| present(*stage) && !present(stage + 1));
    last.map(|stage| stage as u64).collect()
}

fn serve_engine(world: &World, record: &Record, mut wire: Wire) {
    while let Some(request) = wire.request() {
        world.ran.fetch_add(1, Ordering::Relaxed);
        let id = request.id().to_owned();
        let pieces = request.field("pieces").unwrap_or_default();
        let given: BTreeSet<u64> = {
            let results = lock(&world.results);
            let handles = request.field("inputs").unwrap_or_default().split(',');
            handles.filter_map(|handle| results.get(handle).map(|(_, stage)| *stage)).collect()
        };
        let missing: Vec<_> = last_stages(pieces).difference(&given).copied().collect();
        record.line(&format!(
            "engine: request {id}, pieces {pieces}: results of the stages {given:?}"
        ));
        if given.is_empty() {
            world.without_results.fetch_add(1, Ordering::Relaxed);
            record.line(&format!(
                "MIXED: request {id} runs without any result; those of the stages {missing:?} were made for it"
            ));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            own_fields(&request)
        );
        let text = chunk(&event(1, &format!("made of the stages {given:?}"))) + "0\r\n\r\n";
        if !wire.send(&(head + &text)) {
            return;
        }
    }
}

fn main() {
    let folder = env::args().nth(1).unwrap_or_else(|| unusable("no folder"));
    let record = Record::create(Path::new(&folder));
    let scratch = Scratch::create("5");
    let world = Arc::new(World::default());
    let store = Store::start();
    let stages = r#","resume_streams":true,"affinity":true,"stages":[{"service":"catalog","after":[],"bytes":8000},{"service":"tracker","after":[0],"bytes":60000},{"service":"registry","after":[1],"bytes":6000}]"#;
    let mut services: Vec<_> = SERVICES
        .iter()
        .map(|name| format!(
            r#"{{"name":"{name}","max_conns":620,"pieces":{{"capacity":1,"queue":2,"batch":14,"call_ms":{CALL_MS},"item_ms":2,"headroom_mb":32,"handle_s":4,"bandwidth_mbps":10000}}}}"#
        ))
        .collect();
    services.push(
        r#"{"name":"pool","max_conns":620,"engine":{"capacity":128,"kv_tokens":649902}}"#
            .to_owned(),
    );
    store
        .put("op/config", &manifest(1, &[route("layout", "streaming", "pool", stages)], &services));
    let mut registrations = Vec::new();
    for service in SERVICES {
        for n in 0..2 {
            let (world, record) = (world.clone(), record.clone());
            let address = listen(move |wire| serve_stage(&world, &record, service, wire));
            let id = format!("i-{service}-{n}");
            registrations.push(Registration::start(&store, &id, service, address, 1));
        }
    }
    for n in 0..2 {
        let (world, record) = (world.clone(), record.clone());
        let address = listen(move |wire| serve_engine(&world, &record, wire));
        registrations.push(Registration::start(
            &store,
            &format!("i-pool-{n}"),
            "pool",
            address,
            128,
        ));
    }
    let entries = [1, 2].map(|n| Entry::start(&scratch, n, store.address, &[1, 2]));
    entries.iter().for_each(Entry::wait_ready);
    pause(1_500);

    let kinds = if trouble() { [USUAL, MIDDLE_OMITTED, LAST_OMITTED] } else { [USUAL; 3] };
    let (mut sent, mut served) = (0, 0);
    for round in 0..ROUNDS {
        for (n, pieces) in kinds.iter().enumerate() {
            sent += 1;
            let id = format!("{:016x}", 0x0417_0000 + round * 16 + n as u64);
            let more = format!(
                "Model: m\r\nToken-Usage: 2368,24\r\nPrompt-Prefix: {round}{n}:2368\r\n\
                 Pieces: {pieces}\r\nPiece-Key: key-{id}\r\n"
            );
            let text = request_text("POST", "/layout/1", &id, DEADLINE_MS, &more, "{}");
            let front = entries[sent as usize % 2].frontend;
            let answer = exchange(front, &text, Duration::from_millis(DEADLINE_MS));
            let shown = answer.body.lines().nth(1).unwrap_or(&answer.body).to_owned();
            record.line(&format!("client: {id}, pieces {pieces}: {} {shown}", answer.status));
            served += u64::from(answer.status == 200 && answer.complete);
        }
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (pieces, requests) = (count(&world.without_inputs), count(&world.without_results));
    let summary = format!(
        "{sent} requests, {served} answered with 200: {pieces} pieces with `after` were given none, {requests} requests \
         ran without any of their results"
    );
    record.line(&summary);
    println!("{summary}");
    drop(entries);
    drop(scratch);
    let unusable_run = count(&world.ran) == 0;
    std::process::exit(if pieces + requests > 0 {
        1
    } else if unusable_run {
        EXIT_UNUSABLE
    } else {
        0
    });
}
