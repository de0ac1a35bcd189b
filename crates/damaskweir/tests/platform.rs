//! Tests of the platform entry as a process of its own.
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

/// Loopback address of the entry's listeners; no other test uses it.
const HOST: Ipv4Addr = Ipv4Addr::new(127, 91, 4, 1);
/// `bounds.grace_s` of the settings below.
const GRACE: Duration = Duration::from_secs(3);

/// Ends the process with the test.
struct Process(Child);

impl Process {
    /// Starts an entry whose output goes to pipes.
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
        // It may have ended by itself.
        self.0.kill().unwrap_or_default();
        self.0.wait().expect("it was started here");
    }
}

/// Guards against a sample that the check refuses.
#[test]
fn the_sample_settings_pass_the_check() {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/platform/boot.conf");
    let status = Command::new(env!("CARGO_BIN_EXE_damaskweir"))
        .args(["platform", "entry", "--check", "--config"])
        .arg(sample)
        .status()
        .expect("it starts");
    assert!(status.success());
}

async fn send_one(stream: &mut TcpStream, id: usize) -> Duration {
    let began = Instant::now();
    let request = request_text("POST", "/order/", &format!("id-{id}"), "Content-Length: 0\r\n");
    stream.write_all(request.as_bytes()).await.expect("the entry reads");
    let got =
        timeout(Duration::from_secs(5), read_response(stream)).await.expect("an answer in time");
    assert_eq!((got.status, got.complete), (200, true), "{got:?}");
    began.elapsed()
}

/// Guards against requests that wait for whoever reads the log lines, and against a process that can't end
/// because of them.
#[tokio::test]
async fn a_reader_that_has_stopped_holds_up_nothing() {
    LocalSet::new()
        .run_until(async {
            let store = StoreStandIn::start().await;
            store.approve(&manifest(1));
            let server =
                Server::start(|seen| Action::Send(signed_response(seen, 200, "done"))).await;
            store.register("i-1", "orders", &server, "ready");
            let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stopped-reader.conf");
            let settings = EntrySettings {
                name: "e-1",
                host: HOST,
                seeds: &[],
                store: store.server.address,
                grace: GRACE,
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
            // Nobody reads the pipes; they take 64 KB, which some hundred requests fill.
            let mut longest = Duration::ZERO;
            for id in 0..1_200 {
                longest = longest.max(send_one(&mut stream, id).await);
                sleep(Duration::from_millis(2)).await;
            }
            assert!(longest < Duration::from_secs(1), "{longest:?}");
            drop(stream);
            let told = Instant::now();
            process.signal("-TERM");
            let ended = async {
                while process.0.try_wait().expect("it was started here").is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
            };
            let limit = GRACE + Duration::from_secs(1);
            assert!(
                timeout(limit, ended).await.is_ok(),
                "it runs {:?} after SIGTERM",
                told.elapsed()
            );
        })
        .await;
}

/// Guards against starts, reloads and ends that leave no line.
#[test]
fn a_process_tells_its_start_reload_and_end() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("process-lines.conf");
    let sample = include_str!("../../../examples/platform/boot.conf")
        .replace("127.0.0.1", &HOST.to_string());
    std::fs::write(&path, sample).expect("the folder is there");
    let mut process = Process::start(&path);
    let mut lines = BufReader::new(process.0.stdout.take().expect("piped")).lines();
    let mut await_line = |kind: Kind| {
        let wanted = format!("\"{}\"", kind.name());
        assert!(lines.any(|line| line.expect("text").contains(&wanted)), "{wanted}");
    };
    await_line(Kind::Started);
    // The handlers stand once it has asked the store, which is not there.
    await_line(Kind::Lost);
    process.signal("-HUP");
    await_line(Kind::Reloaded);
    process.signal("-TERM");
    await_line(Kind::Draining);
    await_line(Kind::Stopped);
}
