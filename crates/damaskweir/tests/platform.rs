//! Tests of the platform entry as a separate process.
#![allow(clippy::expect_used, reason = "the lint knows only test functions")]

mod child;

use child::{Process, connect, settings, write_settings};
use damaskweir_direct::log::Kind;
use damaskweir_platform_standins::{
    Action, REQUEST_DEADLINE, Server, StoreStandIn, manifest, read_response, request_text,
    signed_response,
};
use std::io::{BufRead, BufReader};
use std::net::Ipv4Addr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Loopback address of the entry's listeners. No other test uses it, so that ports don't collide.
const ENTRY_HOST: Ipv4Addr = Ipv4Addr::new(127, 91, 4, 1);
/// The same for the entry whose server hangs.
const HANGING_HOST: Ipv4Addr = Ipv4Addr::new(127, 91, 4, 2);
/// Requests in progress at that entry when its grace time ends.
const HANGING_CALLS: usize = 300;
/// The same for the entry whose caller reads slowly.
const SLOW_READER_HOST: Ipv4Addr = Ipv4Addr::new(127, 91, 4, 3);
/// Size of a response that doesn't fit into the buffers of a connection.
const LARGE_RESPONSE_BYTES: usize = 15_000_000;
/// `bounds.grace_s` of the settings below.
const GRACE_TIME: Duration = Duration::from_secs(3);

/// Guards against sample settings that `--check` rejects.
#[test]
fn sample_settings_pass_the_check() {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/platform/boot.conf");
    let status = Command::new(env!("CARGO_BIN_EXE_damaskweir"))
        .args(["platform", "entry", "--check", "--config"])
        .arg(sample)
        .status()
        .expect("it starts");
    assert!(status.success());
}

async fn send_request(stream: &mut TcpStream, id: usize) -> Duration {
    let began = Instant::now();
    let request = request_text("POST", "/order/", &format!("id-{id}"), "Content-Length: 0\r\n");
    stream.write_all(request.as_bytes()).await.expect("the entry reads");
    let got =
        timeout(Duration::from_secs(5), read_response(stream)).await.expect("an answer in time");
    assert_eq!((got.status, got.complete), (200, true), "{got:?}");
    began.elapsed()
}

/// Guards against requests and a process exit that block on log output when the reader of the pipe has
/// stalled.
#[tokio::test]
async fn stalled_log_reader_blocks_neither_requests_nor_exit() {
    LocalSet::new()
        .run_until(async {
            let store = StoreStandIn::start().await;
            store.approve(&manifest(1));
            let server =
                Server::start(|received| Action::Send(signed_response(received, 200, "done")))
                    .await;
            store.register("i-1", "orders", &server, "ready");
            let settings = settings(ENTRY_HOST, store.server.address, GRACE_TIME);
            let mut process = Process::start(&write_settings("stopped-reader.conf", &settings));
            let mut stream = connect(settings.frontend()).await;
            sleep(Duration::from_millis(1_500)).await;
            // Nothing reads the pipes. Each holds 64 KB, which a few hundred requests fill.
            let mut longest = Duration::ZERO;
            for id in 0..1_200 {
                longest = longest.max(send_request(&mut stream, id).await);
                sleep(Duration::from_millis(2)).await;
            }
            assert!(longest < Duration::from_secs(1), "{longest:?}");
            drop(stream);
            let signaled = Instant::now();
            process.signal("-TERM");
            let ended = async {
                while process.0.try_wait().expect("it was started here").is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
            };
            let limit = GRACE_TIME + Duration::from_secs(1);
            assert!(
                timeout(limit, ended).await.is_ok(),
                "still running {:?} after SIGTERM",
                signaled.elapsed()
            );
        })
        .await;
}

/// Guards against an entry that stops and cuts requests whose server hangs, without an answer.
#[tokio::test]
async fn stopping_entry_answers_requests_whose_server_hangs() {
    LocalSet::new()
        .run_until(async {
            let store = StoreStandIn::start().await;
            store.approve(&manifest(1));
            let server = Server::start(|_| Action::Hang).await;
            store.register("i-1", "orders", &server, "ready");
            let grace = Duration::from_secs(5);
            let settings = settings(HANGING_HOST, store.server.address, grace);
            let mut process = Process::start(&write_settings("hanging-server.conf", &settings));
            let mut streams = vec![connect(settings.frontend()).await];
            sleep(Duration::from_millis(1_500)).await;
            for _ in 1..HANGING_CALLS {
                streams.push(connect(settings.frontend()).await);
            }
            let signaled = Instant::now();
            process.signal("-TERM");
            // The deadline of a request is later than the end of the grace time.
            sleep(grace - REQUEST_DEADLINE + Duration::from_millis(500)).await;
            process.signal("-TERM");
            process.signal("-HUP");
            let answers = streams.into_iter().enumerate().map(|(n, mut stream)| {
                spawn_local(async move {
                    let id = format!("id-{n}");
                    let request = request_text("POST", "/order/", &id, "Content-Length: 0\r\n");
                    stream.write_all(request.as_bytes()).await.expect("the entry reads");
                    read_response(&mut stream).await
                })
            });
            for answer in answers.collect::<Vec<_>>() {
                let got = timeout(grace, answer).await.expect("an answer in time").expect("one");
                let refused = got.status == 503 && got.field("retry-after").is_some();
                assert!(got.complete && (got.status == 504 || refused), "{got:?}");
            }
            while process.0.try_wait().expect("it was started here").is_none() {
                sleep(Duration::from_millis(20)).await;
            }
            assert!(signaled.elapsed() < grace, "{:?}", signaled.elapsed());
            assert!(!server.received("/order/").is_empty());
        })
        .await;
}

/// Guards against an entry that exits while it still writes an answer to a caller who reads slowly.
#[tokio::test]
async fn stopping_entry_writes_answers_whole_to_slow_readers() {
    LocalSet::new()
        .run_until(async {
            let store = StoreStandIn::start().await;
            store.approve(&manifest(1));
            let body = "x".repeat(LARGE_RESPONSE_BYTES);
            let server = Server::start(move |r| Action::Send(signed_response(r, 200, &body))).await;
            store.register("i-1", "orders", &server, "ready");
            let settings = settings(SLOW_READER_HOST, store.server.address, Duration::from_secs(6));
            let mut process = Process::start(&write_settings("slow-reader.conf", &settings));
            drop(connect(settings.frontend()).await);
            sleep(Duration::from_millis(1_500)).await;
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(65_536).expect("a size");
            let mut stream = socket.connect(settings.frontend()).await.expect("it listens");
            let request = request_text("POST", "/order/", "id-1", "Content-Length: 0\r\n");
            stream.write_all(request.as_bytes()).await.expect("the entry reads");
            sleep(Duration::from_millis(500)).await;
            process.signal("-TERM");
            sleep(Duration::from_millis(3_500)).await;
            let (mut read, mut buffer) = (0, vec![0; 65_536]);
            let reading = async {
                while read < LARGE_RESPONSE_BYTES {
                    match stream.read(&mut buffer).await {
                        Ok(0) | Err(_) => break,
                        Ok(bytes) => read += bytes,
                    }
                }
            };
            timeout(Duration::from_secs(3), reading).await.expect("an answer in time");
            assert!(read >= LARGE_RESPONSE_BYTES, "cut after {read} bytes");
            while process.0.try_wait().expect("it was started here").is_none() {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
}

/// Guards against starts, reloads and exits that are not logged.
#[test]
fn process_logs_start_reload_and_end() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("process-lines.conf");
    let sample = include_str!("../../../examples/platform/boot.conf")
        .replace("127.0.0.1", &ENTRY_HOST.to_string());
    std::fs::write(&path, sample).expect("the folder is there");
    let mut process = Process::start(&path);
    let mut lines = BufReader::new(process.0.stdout.take().expect("piped")).lines();
    let mut await_line = |kind: Kind| {
        let wanted = format!("\"{}\"", kind.name());
        assert!(lines.any(|line| line.expect("text").contains(&wanted)), "{wanted}");
    };
    await_line(Kind::Started);
    // The signal handlers are installed before the first call to the store, which is not running.
    await_line(Kind::DependencyLost);
    process.signal("-HUP");
    await_line(Kind::Reloaded);
    process.signal("-TERM");
    await_line(Kind::Draining);
    await_line(Kind::Stopped);
}
