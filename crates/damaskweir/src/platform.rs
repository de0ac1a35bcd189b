//! Process of a platform entry: startup, signal handling, reload and shutdown.

use crate::entry::{EntryError, seeded_rng};
use damaskweir_direct::log::{Kind, Log};
use damaskweir_direct::metrics::{Metrics, MetricsError};
use damaskweir_direct::node::{DEREGISTER_DELAY, Node, SHUTDOWN_RESERVE};
use damaskweir_direct::serve::{listen, serve_admin, serve_callers, serve_readiness};
use damaskweir_direct::sync::Synchronizer;
use damaskweir_platform::{Headers, Settings, Store};
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Interval at which a drain checks whether all requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time of the store call that withdraws this entry, which tells other entries that it leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Reasons why a platform entry can't start.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// A listener, a signal handler or the runtime can't be created.
    #[error("{what}: {error}")]
    System {
        /// Operation that failed.
        what: &'static str,
        /// Underlying I/O error.
        error: io::Error,
    },
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The random number generator can't be seeded.
    #[error(transparent)]
    Seed(#[from] EntryError),
}

/// Command-line options that supplement the settings.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Path of the settings file, which is read again on SIGHUP.
    pub settings_path: PathBuf,
    /// Port that serves `/metrics` on the IP address of the caller API.
    pub metrics_port: Option<u16>,
}

/// Runs a platform entry until SIGTERM or SIGINT, then drains it.
pub fn run_platform_entry(
    settings: Settings,
    options: PlatformOptions,
    logger: Logger,
) -> Result<(), PlatformError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| PlatformError::System { what: "runtime", error })?;
    // A single thread is enough for the fifth of a core that an entry may use, and avoids locks around
    // its state.
    LocalSet::new().block_on(&runtime, run(settings, options, logger))
}

async fn run(
    settings: Settings,
    options: PlatformOptions,
    logger: Logger,
) -> Result<(), PlatformError> {
    let (mut terminate, mut interrupt, mut hangup) = (
        signal_stream(SignalKind::terminate())?,
        signal_stream(SignalKind::interrupt())?,
        signal_stream(SignalKind::hangup())?,
    );
    let log = Log::new(logger.clone());
    let node = Node::new(Headers, settings.setup.clone(), log, Metrics::new()?, seeded_rng()?);
    let node = Rc::new(node);
    let fields = [
        ("zone", settings.setup.entry.zone.as_str().into()),
        ("build", env!("CARGO_PKG_VERSION").into()),
    ];
    node.log.process(Kind::Started, &fields);
    let callers = open_listener(settings.frontend)?;
    let readiness = open_listener(settings.readiness)?;
    spawn_local(serve_callers(node.clone(), callers));
    spawn_local(serve_readiness(node.clone(), readiness));
    let metrics = options.metrics_port.map(|port| SocketAddr::new(settings.frontend.ip(), port));
    for address in settings.admin.into_iter().chain(metrics) {
        spawn_local(serve_admin(node.clone(), open_listener(address)?));
    }
    spawn_local(node.clone().release_results());
    let store = Store::new(settings.store, logger.clone());
    let sync = Rc::new(Synchronizer::new(node.clone(), store, settings.seeds.clone()));
    sync.start();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&node, &options),
        }
    }
    drain(&node, &sync).await;
    Ok(())
}

/// Reads the settings file again and logs whether it is valid and whether a restart is needed, because
/// the entry's name, availability zone or address changed. The process keeps its startup settings.
fn reload(node: &Node<Headers>, options: &PlatformOptions) {
    match Settings::load(&options.settings_path) {
        Ok(settings) => {
            let same = settings.setup.entry == node.config.entry;
            let outcome = if same { "unchanged" } else { "needs_restart" };
            node.log.process(Kind::Reloaded, &[("outcome", outcome.into())]);
        }
        Err(faults) => {
            let text = faults.to_string();
            let fields = [("outcome", "bad_settings".into()), ("error", text.as_str().into())];
            node.log.process(Kind::Reloaded, &fields);
        }
    }
}

/// Fails readiness so that callers use other entries, waits for the requests in progress, and returns
/// within the grace time.
async fn drain(node: &Rc<Node<Headers>>, sync: &Synchronizer<Headers, Store>) {
    let began = Instant::now();
    let end = began + Duration::from(node.config.grace.saturating_sub(SHUTDOWN_RESERVE));
    let active = node.start_draining() as u64;
    node.log.process(Kind::Draining, &[("active", active.into())]);
    if timeout(LEAVE_TIMEOUT, sync.withdraw()).await.is_err() {
        // Not fatal: the entry's lease in the store expires on its own.
        node.log.process(
            Kind::DependencyLost,
            &[("dependency", "store".into()), ("call", "withdraw".into())],
        );
    }
    while Instant::now() < end {
        let idle = node.state.borrow().active == 0;
        if idle && began.elapsed() >= Duration::from(DEREGISTER_DELAY) {
            break;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // An answer that is still being written no longer counts as a request in progress.
    drop(timeout_at(end, node.close_callers()).await);
    let cut = node.state.borrow().active as u64;
    node.log.process(Kind::Stopped, &[("cut", cut.into())]);
}

fn open_listener(address: SocketAddr) -> Result<tokio::net::TcpListener, PlatformError> {
    listen(address).map_err(|error| PlatformError::System { what: "listen", error })
}

fn signal_stream(kind: SignalKind) -> Result<Signal, PlatformError> {
    signal(kind).map_err(|error| PlatformError::System { what: "signal", error })
}
