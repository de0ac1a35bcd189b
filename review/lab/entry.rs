//! An entry of the system, started with the command of the deploy file.

use crate::net::{Conn, free_port};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The command of `deploy/system.toml`.
const COMMAND: [&str; 5] = ["target/release/damaskweir", "platform", "entry", "--metrics", "9464"];

const SIGKILL: u64 = 9;
const METRICS_PORT: u16 = 9464;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Has a child end with this process, also if that is killed.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: between fork and exec, it only makes one system call.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

pub struct Entry {
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

/// Addresses of an entry. Each entry has a loopback address of its own.
#[derive(Clone, Copy)]
pub struct Place {
    host: Ipv4Addr,
    frontend: u16,
    readiness: u16,
    admin: u16,
}

impl Place {
    /// Finds addresses for `count` entries.
    pub fn list(count: u8) -> Vec<Self> {
        // Different runs on one machine use different addresses. The command fixes the port of the metrics.
        let mut draw = std::process::id();
        let host = |draw: u32, number: u8| {
            let [.., high, low] = draw.to_be_bytes();
            Ipv4Addr::new(127, 61 + high % 64, low, number + 1)
        };
        let taken = |draw: u32| {
            (0..count).any(|number| TcpListener::bind((host(draw, number), METRICS_PORT)).is_err())
        };
        while taken(draw) {
            draw += 1;
        }
        let place = |number| {
            let host = host(draw, number);
            let port = || free_port(host);
            Self { host, frontend: port(), readiness: port(), admin: port() }
        };
        (0..count).map(place).collect()
    }
}

impl Entry {
    /// Starts the entry number `at` of `places`.
    pub fn start(places: &[Place], at: usize, store: SocketAddr, folder: &Path) -> Self {
        let Place { host, frontend, readiness, admin } = places[at];
        let seeds: Vec<_> =
            places.iter().map(|place| format!("{}:{}", place.host, place.admin)).collect();
        let settings = format!(
            "node_name=edge-a-{at}\nrole=entry\nmachine_class=edge\nserves=edge,control_plane\n\
             ip={host}\nzone=a\nregion=south\nzones.a=south\n\
             bind.frontend={host}:{frontend}\nbind.readiness={host}:{readiness}\n\
             bind.admin={host}:{admin}\nseeds={}\nbootstrap=true\n\
             limits.cpu_quota=0.5\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             discovery=platform\ningress=vip\nheartbeat_ms=1200\n\
             bounds.addr_reuse_s=2\nbounds.stable_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\n\
             bounds.skew_max_ms=5000\nbounds.revoke_ms=5000\nbounds.budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.budget_slack=54\nbounds.recovery_s=12\n\
             provider.address={store}\nprovider.form=kv\nprovider.writes_per_s=400\n\
             provider.reads_per_s=2000\nprovider.retention_s=20\nprovider.ttl_min_ms=1000\n",
            seeds.join(","),
        );
        let path = folder.join(format!("boot-{at}.conf"));
        std::fs::write(&path, settings).expect("write the settings");
        let log = File::create(folder.join(format!("entry-{at}.log"))).expect("create a log");
        let child = end_with_parent(&mut Command::new(COMMAND[0]))
            .args(&COMMAND[1..])
            .env("DAMASKWEIR_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("start an entry; build the program first");
        Self {
            frontend: SocketAddr::from((host, frontend)),
            readiness: SocketAddr::from((host, readiness)),
            child,
        }
    }

    pub fn signal(&mut self, signal: i32) {
        // The id of a child that has ended may be that of another process.
        if !matches!(self.child.try_wait(), Ok(None)) {
            return;
        }
        // SAFETY: it only sends a signal, to a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits for the end of the process. Returns whether it came in time.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Waits until the entry says that it is ready. Returns whether it did in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut conn) = Conn::connect(self.readiness, limit) else { return false };
        conn.stream.set_read_timeout(Some(limit)).ok();
        let asked = conn.send(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        asked.is_ok() && matches!(conn.read(), Ok(Some(answer)) if answer.status() == 200)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
