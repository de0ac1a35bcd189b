//! Tests of the platform entry as a separate process.
#![allow(clippy::expect_used, reason = "the lint knows only test functions")]

use damaskweir_direct::log::Kind;
use damaskweir_platform_standins::{
    Action, EntrySettings, Server, StoreStandIn, manifest, read_response, request_text,
    signed_response,
};
use std::io::{BufRead, BufReader};
use std::net::Ipv4Addr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

/// Loopback address of the entry's listeners. No other test uses it, so that ports don't collide.
const ENTRY_HOST: Ipv4Addr = Ipv4Addr::new(127, 91, 4, 1);
/// `bounds.grace_s` of the settings below.
const GRACE_TIME: Duration = Duration::from_secs(3);

/// A child process that is killed when the test ends.
struct Process(Child);

impl Process {
    /// Starts an entry whose standard output and standard error are pipes.
    fn start(settings: &Path) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_damaskweir"))
            .args(["platform", "entry", "--config"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        Self(child)
    }

    fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().expect("kill is there");
        assert!(status.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        self.0.kill().unwrap_or_default();
        self.0.wait().expect("it was started here");
    }
}

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
            let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stopped-reader.conf");
            let settings = EntrySettings {
                name: "e-1",
                host: ENTRY_HOST,
                seeds: &[],
                store: store.server.address,
                grace: GRACE_TIME,
                config_apply: Duration::from_secs(2),
                budget_ratio: 0.2,
                budget_slack: 50.0,
                budget_window: Duration::from_secs(10),
            };
            std::fs::write(&path, settings.to_string()).expect("the folder is there");
            let mut process = Process::start(&path);
            let address = settings.frontend();
            let mut stream = loop {
                match TcpStream::connect(address).await {
                    Ok(stream) => break stream,
                    Err(_) => sleep(Duration::from_millis(20)).await,
                }
            };
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
