//! Runs a platform entry as a child process.
#![allow(dead_code, reason = "each test file uses only some of it")]
#![allow(clippy::expect_used, reason = "the lint knows only test functions")]

use damaskweir_platform_standins::EntrySettings;
use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A child process that is killed when the test ends.
pub(crate) struct Process(pub(crate) Child);

impl Process {
    /// Starts an entry whose standard output and standard error are pipes.
    pub(crate) fn start(settings: &Path) -> Self {
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

    pub(crate) fn signal(&self, name: &str) {
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

pub(crate) fn settings(
    host: Ipv4Addr,
    store: SocketAddr,
    grace: Duration,
) -> EntrySettings<'static> {
    EntrySettings {
        name: "e-1",
        host,
        seeds: &[],
        store,
        grace,
        config_apply: Duration::from_secs(2),
        budget_ratio: 0.2,
        budget_slack: 50.0,
        budget_window: Duration::from_secs(10),
        cold: None,
    }
}

pub(crate) fn write_settings(name: &str, settings: &impl Display) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, settings.to_string()).expect("the folder is there");
    path
}

/// Connects to an entry that may not listen yet.
pub(crate) async fn connect(address: SocketAddr) -> TcpStream {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}
