//! End-to-end test with separate processes: two entries, three sidecars, and stand-ins for the
//! store and the backend servers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::*;
use damaskweir_standins::service::Service;
use damaskweir_standins::store::Store;
use rstest::rstest;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn start(role: &str, config: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_damaskweir"));
        command.args([role, "--config"]).arg(config).stdout(Stdio::null()).stderr(Stdio::null());
        Self(command.spawn().unwrap())
    }

    /// Sends SIGTERM, which drains the process, and returns its exit code.
    fn terminate(mut self) -> Option<i32> {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
        self.0.wait().unwrap().code()
    }
}

/// Files of the test deployment.
struct Deployment {
    directory: PathBuf,
    bundle: String,
}

impl Deployment {
    fn new() -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("processes");
        std::fs::create_dir_all(&directory).unwrap();
        let (ca, certificate, key) = Authority::new().pem();
        for (name, text) in [("ca.pem", ca), ("node.pem", certificate), ("node.key", key)] {
            std::fs::write(directory.join(name), text).unwrap();
        }
        let bundle = "[operator asha]\n\
             key = 113edae6df00a0d4a8d6634e8d016c298f486f05c04c51ee5b451868ee22ca76\n\
             [pool encoders]\nkind = service\n[pool orders]\nkind = service\n\
             [pipeline ask]\ndeadline = 10s\nstages = encode\n\
             [stage ask/encode]\npool = encoders\neffect = idempotent\npath = /encode\n\
             expected = 10ms\n[pipeline order]\ndeadline = 10s\nstages = print\n\
             [stage order/print]\npool = orders\neffect = once\npath = /print\n\
             expected = 10ms\n[workspace kollam]\nshare = 1\nlimit = 64\n"
            .to_owned();
        Self { directory, bundle }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.join(name);
        // A process that is starting may read the file meanwhile.
        let new = path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &path).unwrap();
        path
    }

    /// Starts a sidecar and adds its server to the bundle.
    fn start_sidecar(&mut self, id: &str, pool: &str, backend: &Service) -> Process {
        let address = UdpSocket::bind(loopback()).unwrap().local_addr().unwrap();
        writeln!(
            self.bundle,
            "[server {id}]\npool = {pool}\nzone = a\nside = {address}\nslots = 8"
        )
        .unwrap();
        let text = format!(
            "[side]\nserver = {id}\nzone = a\n[backend]\nkind = service\nurl = {}\n{}",
            backend.url(),
            wire_section(&address)
        );
        Process::start("side", &self.write(&format!("{id}.ini"), &text))
    }

    fn start_entry(&self, id: &str, store: &Store) -> (Process, String) {
        let address = TcpListener::bind(loopback()).unwrap().local_addr().unwrap();
        self.write("bundle.ini", &self.bundle);
        let text = format!(
            "[entry]\ninstance = {id}\nzone = a\n[callers]\nlisten = {address}\n\
             [bundle]\nfile = bundle.ini\n[store]\nendpoints = {}\n{}",
            store.url(),
            wire_section(&loopback())
        );
        let process = Process::start("entry", &self.write(&format!("{id}.ini"), &text));
        (process, format!("http://{address}"))
    }
}

fn wire_section(address: &SocketAddr) -> String {
    format!(
        "[wire]\naddress = {address}\nauthority = ca.pem\ncertificate = node.pem\nkey = node.key\n"
    )
}

async fn wait_until_ready(client: &reqwest::Client, url: &str) {
    let is_ready = async || {
        let answer = client.get(format!("{url}/ready")).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    };
    within(async {
        while !is_ready().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
}

/// Guards against code that works only when all components share one process. Covers answers
/// through separate entries and sidecars, a retry of a non-idempotent request through another
/// entry, a sidecar that is killed, and draining on SIGTERM.
#[rstest]
#[tokio::test]
async fn requests_complete_across_separate_processes() {
    let store = Store::start().await.unwrap();
    let (one, two) = (Service::start().await.unwrap(), Service::start().await.unwrap());
    let orders = Service::start().await.unwrap();
    let mut deployment = Deployment::new();
    let killed = deployment.start_sidecar("enc-1", "encoders", &one);
    let encoder = deployment.start_sidecar("enc-2", "encoders", &two);
    let printer = deployment.start_sidecar("order-1", "orders", &orders);
    let entries =
        [deployment.start_entry("entry-1", &store), deployment.start_entry("entry-2", &store)];
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(60)).build();
    let client = client.unwrap();
    for (_, url) in &entries {
        wait_until_ready(&client, url).await;
    }
    let post = |entry: usize, pipeline: &str, key: &str| {
        let url = format!("{}/v1/pipelines/{pipeline}", entries[entry].1);
        let request = client.post(url).header("x-workspace", "kollam");
        request.header("idempotency-key", key).body(r#"{"copies":2}"#).send()
    };
    for entry in [0, 1, 0, 1] {
        assert_eq!(post(entry, "ask", "any").await.unwrap().status(), 200);
    }
    let first: Value = post(0, "order", "k-1").await.unwrap().json().await.unwrap();
    let again: Value = post(1, "order", "k-1").await.unwrap().json().await.unwrap();
    assert!(!first["output"].is_null(), "{first}");
    assert_eq!(first["output"], again["output"]);
    drop(killed);
    for entry in [0, 1, 0, 1] {
        assert_eq!(post(entry, "ask", "any").await.unwrap().status(), 200);
    }
    for (process, _) in entries {
        assert_eq!(process.terminate(), Some(0));
    }
    assert_eq!((encoder.terminate(), printer.terminate()), (Some(0), Some(0)));
    assert_eq!(orders.runs().total(), 1);
}
