//! Tests of the memory that an entry needs while its servers and callers misbehave.
#![allow(clippy::expect_used, reason = "the lint knows only test functions")]

mod child;

use child::{Process, connect, settings, write_settings};
use damaskweir_platform_standins::{
    Action, ReceivedRequest, Server, StoreStandIn, chunk, event, manifest, request_text,
    response_text, send, signed_response, stream_head,
};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Value of `limits.memory_mb`.
const MEMORY_MB: u64 = 100;
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Size of a part that is sent again and again.
const PART_BYTES: usize = 4_096;

/// Size of a long body, as operators allow it.
const LONG_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Deadline of the requests with long bodies, and the time in which a body must arrive.
const PATIENCE_MS: u64 = 15_000;

/// A deployment whose servers of one service are faulty.
struct Fault {
    service: &'static str,
    /// Method, path and header fields of the requests.
    request: (&'static str, &'static str, &'static str),
    callers: usize,
    /// Whether the callers read the answers.
    reading: bool,
    act: fn(&ReceivedRequest) -> Action,
}

const PIECES: &str = "Pieces: 1,1\r\nPiece-Key: k\r\n";

fn part() -> String {
    "x".repeat(PART_BYTES)
}

/// Head of a signed answer without a length.
fn head(received: &ReceivedRequest) -> String {
    stream_head(received).replace("Transfer-Encoding: chunked\r\n", "")
}

fn answer(received: &ReceivedRequest) -> Action {
    Action::Send(signed_response(received, 200, "done"))
}

fn stream(received: &ReceivedRequest) -> Action {
    Action::Send(stream_head(received) + &chunk(&event(0)) + "0\r\n\r\n")
}

fn run_pieces(received: &ReceivedRequest) -> Action {
    let items = received.body.matches("\"piece\"").count();
    let items = vec![r#"{"handle":"h"}"#; items].join(",");
    Action::Send(response_text(200, "", &format!(r#"{{"items":[{items}]}}"#)))
}

/// Starts an entry with little memory at an address that no other test uses, and waits until it serves.
async fn start_entry(number: u8, store: SocketAddr) -> (Process, SocketAddr) {
    let host = Ipv4Addr::new(127, 91, 5, number);
    let settings = settings(host, store, Duration::from_secs(3));
    let text = format!("{settings}limits.memory_mb={MEMORY_MB}\n");
    let process = Process::start(&write_settings(&format!("memory-{number}.conf"), &text));
    drop(connect(settings.frontend()).await);
    sleep(Duration::from_millis(1_500)).await;
    (process, settings.frontend())
}

/// Highest resident memory of a process so far, in MB of 2^20 bytes.
fn peak_memory_mb(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id()));
    let status = status.expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("Linux");
    let kb: u64 = line.trim_end_matches("kB").trim().parse().expect("a number");
    kb / 1_024
}

async fn call(address: SocketAddr, request: String, reading: bool) {
    let mut stream = connect(address).await;
    if stream.write_all(request.as_bytes()).await.is_err() {
        return;
    }
    if !reading {
        sleep(LOAD_TIME).await;
        return;
    }
    let mut buffer = vec![0; 65_536];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}

/// Guards against an entry that ends because servers send bytes without end, and against requests to other
/// servers that fail meanwhile (reported by other operators).
#[rstest]
#[case::event(1, Fault { service: "engines", request: ("POST", "/draft/", ""), callers: 120, reading: true,
    act: |r| Action::SendParts(vec![(0, stream_head(r) + &chunk(&"x".repeat(1_000_000))), (3_000, String::new())]) })]
#[case::body(2, Fault { service: "orders", request: ("GET", "/lookup/", ""), callers: 60, reading: true,
    act: |r| Action::SendEndlessly(head(r), part()) })]
#[case::head(3, Fault { service: "engines", request: ("POST", "/draft/", ""), callers: 60, reading: true,
    act: |_| Action::SendEndlessly("HTTP/1.1 200 OK\r\nX: ".to_owned(), part()) })]
#[case::events_unread(4, Fault { service: "engines", request: ("POST", "/draft/", ""), callers: 300, reading: false,
    act: |r| Action::SendEndlessly(stream_head(r), chunk(&event(1).replace("part", &part()))) })]
#[case::body_unread(5, Fault { service: "orders", request: ("GET", "/lookup/", ""), callers: 60, reading: false,
    act: |r| Action::Send(signed_response(r, 200, &"x".repeat(4_000_000))) })]
#[case::stage(6, Fault { service: "catalog", request: ("POST", "/layout/", PIECES), callers: 60, reading: true,
    act: |_| Action::SendEndlessly("HTTP/1.1 200 OK\r\n\r\n{\"items\":[".to_owned(), "{},".repeat(1_000)) })]
#[case::release(7, Fault { service: "catalog", request: ("POST", "/layout/", PIECES), callers: 60, reading: true,
    act: |r| match r.request_line().contains("stage-free") {
        true => Action::SendEndlessly("HTTP/1.1 200 OK\r\n\r\n".to_owned(), part()),
        false => run_pieces(r),
    } })]
#[case::many_unread(9, Fault { service: "engines", request: ("POST", "/draft/", ""), callers: 800, reading: false,
    act: |r| Action::SendEndlessly(stream_head(r), chunk(&event(1).replace("part", &part()))) })]
#[case::entry(8, Fault { service: "entries", request: ("POST", "/layout/", PIECES), callers: 60, reading: true,
    act: |_| Action::SendEndlessly("HTTP/1.1 200 OK\r\n\r\n".to_owned(), " ".repeat(PART_BYTES)) })]
#[tokio::test]
async fn endless_answers_leave_the_entry_within_its_memory(
    #[case] number: u8,
    #[case] fault: Fault,
) {
    LocalSet::new()
        .run_until(async {
            let store = StoreStandIn::start().await;
            store.approve(&manifest(1));
            let mut servers = Vec::new();
            for n in 0..8 {
                for service in ["orders", "engines", "catalog", "registry"] {
                    let server = match (service == fault.service, service) {
                        (true, _) => Server::start(fault.act).await,
                        (false, "engines") => Server::start(stream).await,
                        (false, "orders") => Server::start(answer).await,
                        (false, _) => Server::start(run_pieces).await,
                    };
                    store.register(&format!("i-{service}-{n}"), service, &server, "ready");
                    servers.push(server);
                }
            }
            if fault.service == "entries" {
                let other = Server::start(fault.act).await;
                let record =
                    format!(r#"{{"name":"e-0","zone":"a","address":"{}"}}"#, other.address);
                store.put("damaskweir/entries/e-0", &record);
                servers.push(other);
            }
            let (process, frontend) = start_entry(number, store.server.address).await;
            let before = peak_memory_mb(&process);
            let (method, path, fields) = fault.request;
            for n in 0..fault.callers {
                let (address, reading) = (frontend, fault.reading);
                spawn_local(async move {
                    for turn in 0.. {
                        let id = format!("id-{n}-{turn}");
                        let fields = format!("{fields}Content-Length: 0\r\n");
                        call(address, request_text(method, path, &id, &fields), reading).await;
                    }
                });
            }
            let mut served = 0;
            for n in 0..LOAD_TIME.as_millis() / 100 {
                sleep(Duration::from_millis(100)).await;
                let path = if fault.service == "orders" { "/fill/" } else { "/order/" };
                let request =
                    request_text("POST", path, &format!("own-{n}"), "Content-Length: 0\r\n");
                let got = send(frontend, &request).await;
                served += usize::from(got.status == 200);
            }
            let peak = peak_memory_mb(&process);
            println!("from {before} to {peak} MB; {served} other requests served");
            assert!(peak <= MEMORY_MB, "{peak} MB");
            // Requests beyond the memory of all requests are refused.
            assert!(served == 40 || fault.callers > 500, "{served} other requests served");
        })
        .await;
}

/// Guards against an entry that ends because many requests have long bodies (review/4), and against refusals
/// that their callers don't get.
#[rstest]
#[case::with_length(21, false)]
#[case::in_chunks(22, true)]
#[tokio::test]
async fn long_bodies_leave_the_entry_within_its_memory(#[case] number: u8, #[case] chunked: bool) {
    LocalSet::new()
        .run_until(async {
            let store = StoreStandIn::start().await;
            let long = format!("\"max_body_bytes\":{LONG_BODY_BYTES}");
            let text = manifest(1).replace("\"max_body_bytes\":65536", &long);
            // The bodies of all callers arrive at once, on a machine that may be busy.
            let patience = format!("timeout_ms\":{PATIENCE_MS}");
            let text = text.replace("timeout_ms\":1000", &patience);
            store.approve(&text.replace("timeout_ms\":3000", &patience));
            let engine = Server::start(|r| {
                let events = (0..10).map(|id| (200, chunk(&event(id))));
                let head = [(0, stream_head(r))].into_iter();
                Action::SendParts(head.chain(events).chain([(0, "0\r\n\r\n".to_owned())]).collect())
            });
            let engine = engine.await;
            store.register("i-1", "engines", &engine, "ready");
            let (process, frontend) = start_entry(number, store.server.address).await;
            let calls = (0..60).map(|n| {
                let address = frontend;
                spawn_local(async move {
                    let id = format!("id-{n}");
                    let (field, body) = match chunked {
                        true => {
                            let part = chunk(&"x".repeat(LONG_BODY_BYTES / 64));
                            ("Transfer-Encoding: chunked".to_owned(), part.repeat(64) + "0\r\n\r\n")
                        }
                        false => {
                            let body = "x".repeat(LONG_BODY_BYTES);
                            (format!("Content-Length: {LONG_BODY_BYTES}"), body)
                        }
                    };
                    let head = request_text("POST", "/draft/", &id, &format!("{field}\r\n"));
                    let deadline = format!("Deadline-Ms: {PATIENCE_MS}");
                    let head = head.replace("Deadline-Ms: 3000", &deadline);
                    send(address, &(head + &body)).await
                })
            });
            let (mut served, mut refused, mut other) = (0, 0, Vec::new());
            for call in calls.collect::<Vec<_>>() {
                let got = call.await.expect("an answer");
                match got.status {
                    200 if got.complete => served += 1,
                    503 if got.field("retry-after").is_some() => refused += 1,
                    _ => other.push(got),
                }
            }
            let peak = peak_memory_mb(&process);
            println!("{peak} MB; {served} served, {refused} refused");
            assert!(peak <= MEMORY_MB, "{peak} MB");
            assert!(other.is_empty(), "{other:?}");
            // With a declared length, as many are served as fit into a third of the memory.
            let fitting = MEMORY_MB as usize * 1_000_000 / 3 / LONG_BODY_BYTES;
            let least = if chunked { 1 } else { fitting };
            assert!(served >= least && refused > 0, "{served} served, {refused} refused");
        })
        .await;
}
