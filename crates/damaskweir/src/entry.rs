//! The entry daemon: startup, the caller API, bundle and instance updates, and draining.

use crate::links::Links;
use crate::metrics::{EntryMetrics, MetricsError};
use crate::requests::{PendingRequest, Shared, State, run_timers, spawn};
use crate::settings::EntryConfig;
use crate::spread::{BundleSync, BundleSyncConfig};
use damaskweir_callers::{
    Api, Authenticator, ErrorCode, Gateway, Limits, Readiness, Reply, Submission, listen,
    reply_channel,
};
use damaskweir_core::entry::{Call, Entry, EntrySettings};
use damaskweir_core::epoch::EpochSettings;
use damaskweir_core::predict::SizeClass;
use damaskweir_core::prelude::*;
use damaskweir_instances::{InstanceState, InstancesClient, InstancesError, InstancesSettings};
use damaskweir_store::{ClaimSettings, ClaimWriter, Client, StoreError};
use damaskweir_wire::{Dialer, Keys, LocalNode, PeerId, WireError};
use rand_chacha::rand_core::SeedableRng;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep};

/// Interval at which a drain checks whether all requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of an entry daemon.
#[derive(Debug)]
pub struct EntryOptions {
    /// Name of the instance that the entry runs on.
    pub instance: InstanceId,
    /// Availability zone that the entry runs in.
    pub zone: AvailabilityZone,
    /// Settings of the entry's state machine.
    pub core: EntrySettings,
    /// Address that the caller API listens on.
    pub listen: SocketAddr,
    /// Limits of the caller API.
    pub limits: Limits,
    /// Maps callers' credentials to workspaces.
    pub directory: Authenticator,
    /// Local address of the socket that connects to sidecars.
    pub wire_address: SocketAddr,
    /// Certificates and private key for connections to sidecars.
    pub keys: Keys,
    /// Limits of the connections to sidecars.
    pub wire: damaskweir_wire::Limits,
    /// Bundle that the entry starts with.
    pub bundle: Arc<Bundle>,
    /// Writes claims to the store. Without it, non-idempotent calls are refused.
    pub claims: Option<ClaimWriter>,
    /// Source of the platform's instance list. Without it, leaving instances are not detected.
    pub instances: Option<InstancesSettings>,
    /// Minimum duration of a drain, so that load balancers notice the failing readiness check.
    pub drain_grace: Duration,
    /// Maximum time that a drain waits for requests in progress.
    pub drain_limit: Duration,
}

impl EntryOptions {
    /// Loads the certificates and creates the claim writer. Must be called within a tokio runtime,
    /// because the claim writer spawns a task.
    pub fn from_config(config: EntryConfig, bundle: Arc<Bundle>) -> Result<Self, EntryError> {
        let wire = &config.wire;
        let keys = Keys::from_files(&wire.authority, &wire.certificate, &wire.key)?;
        let claims = match config.store {
            Some(store) => {
                let client = Client::new(store, seeded_rng()?)?;
                Some(ClaimWriter::spawn(client, ClaimSettings::default()))
            }
            None => None,
        };
        Ok(Self {
            instance: config.instance,
            zone: config.zone,
            core: config.core,
            listen: config.listen,
            limits: config.limits,
            directory: config.directory,
            wire_address: wire.address,
            keys: keys.with_server_name(&wire.name),
            wire: wire.limits,
            bundle,
            claims,
            instances: config.instances,
            drain_grace: config.drain_grace,
            drain_limit: config.drain_limit,
        })
    }
}

/// Creates a random number generator seeded by the operating system.
pub(crate) fn seeded_rng() -> Result<Rng, EntryError> {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(EntryError::Random)?;
    Ok(Rng::from_seed(seed))
}

/// Reasons why an entry can't start or serve.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The caller API can't listen on its address.
    #[error("can't listen for callers on {address}: {source}")]
    Listen {
        /// Configured address.
        address: SocketAddr,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The socket for sidecars can't be opened, or the certificates are invalid.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The store client can't be created from its settings.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The instance list client can't be created from its settings.
    #[error(transparent)]
    Instances(#[from] InstancesError),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The operating system provided no random numbers.
    #[error("the operating system provided no random numbers: {0}")]
    Random(getrandom::Error),
    /// The server of the caller API failed.
    #[error("the caller API server failed: {0}")]
    Serve(std::io::Error),
}

/// A running entry daemon.
#[derive(Debug)]
pub struct EntryDaemon {
    shared: Arc<Shared>,
    address: SocketAddr,
    server: salvo::server::ServerHandle,
    serving: JoinHandle<std::io::Result<()>>,
    tasks: Vec<AbortHandle>,
    drain_grace: Duration,
    drain_limit: Duration,
}

impl EntryDaemon {
    /// Starts an entry with a fixed bundle on the current tokio runtime.
    pub async fn start(options: EntryOptions, log: Logger) -> Result<Self, EntryError> {
        Self::start_with_sync(options, None, log).await
    }

    /// Starts an entry that receives bundles from the store and its peers if `sync` is set.
    ///
    /// The caller API accepts requests only after the node has caught up and a bundle is active, so
    /// this waits for as long as neither the store nor a peer is reachable.
    pub async fn start_with_sync(
        options: EntryOptions,
        sync: Option<BundleSyncConfig>,
        log: Logger,
    ) -> Result<Self, EntryError> {
        let incarnation = Incarnation(getrandom::u64().map_err(EntryError::Random)?);
        let rng = seeded_rng()?;
        let seeds = sync.as_ref().map(|setup| setup.seeds.clone()).unwrap_or_default();
        let identity = (options.instance.clone(), options.zone.clone());
        let sync = sync
            .map(|setup| setup.build(incarnation, EpochSettings::ENTRY, Some(identity), &log))
            .transpose()
            .map_err(EntryError::Random)?;
        let id = PeerId::Entry(options.instance.clone());
        let local = LocalNode::new(id, options.zone.clone(), incarnation);
        let local = match &sync {
            Some(sync) => sync.attach(local),
            None => local,
        };
        local.set_version(options.bundle.version);
        let dialer = Dialer::bind(options.wire_address, &options.keys, local, options.wire)?;
        let listener = listen(options.listen)
            .map_err(|source| EntryError::Listen { address: options.listen, source })?;
        let entry =
            Entry::new(incarnation, options.zone, options.core, Arc::clone(&options.bundle));
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                entry,
                rng,
                pending: HashMap::new(),
                running: HashMap::new(),
                links: BTreeMap::new(),
                next_timer: None,
                leaving: BTreeSet::new(),
            }),
            start: Instant::now(),
            timer_changed: Notify::new(),
            dialer,
            claims: options.claims,
            metrics: EntryMetrics::new()?,
            draining: AtomicBool::new(false),
            refusals: AtomicU64::new(0),
            incarnation,
            sync: sync.clone(),
            has_bundle: watch::Sender::new(false),
            log,
        });
        let mut tasks = vec![spawn(run_timers(Arc::clone(&shared)))];
        if let Some(settings) = options.instances {
            let instances = poll_instances(settings, &shared.log)?;
            tasks.push(spawn(follow_instances(Arc::clone(&shared), instances)));
        }
        let mut links = Links::new(Arc::clone(&shared));
        match sync {
            Some(sync) => {
                links.connect_seeds(seeds);
                let ready = sync.readiness();
                tasks.push(spawn(follow_bundles(links, sync)));
                wait_until(ready).await;
                wait_until(shared.has_bundle.subscribe()).await;
            }
            None => {
                links.apply_bundle(&options.bundle);
                tasks.push(spawn(async move {
                    let _links = links;
                    std::future::pending().await
                }));
            }
        }
        let gateway: Arc<dyn Gateway> = Arc::new(CallerGateway(Arc::clone(&shared)));
        let api = Api::new(listener, gateway, options.directory, options.limits)
            .map_err(|source| EntryError::Listen { address: options.listen, source })?;
        let (address, server) = (api.address(), api.handle());
        info!(shared.log, "entry started"; "address" => %address, "incarnation" => %incarnation,
            "version" => %shared.lock().entry.bundle().version);
        let serving = tokio::spawn(api.serve());
        let (drain_grace, drain_limit) = (options.drain_grace, options.drain_limit);
        Ok(Self { shared, address, server, serving, tasks, drain_grace, drain_limit })
    }

    /// Address of the caller API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The active bundle.
    pub fn bundle(&self) -> Arc<Bundle> {
        Arc::clone(self.shared.lock().entry.bundle())
    }

    /// Whether the entry is not draining and each pool that a pipeline uses has a connected sidecar.
    pub fn is_ready(&self) -> bool {
        self.shared.ready() == Readiness::Ready
    }

    /// Refuses new requests, waits until those in progress finish or the drain limit expires, and
    /// stops.
    pub async fn drain(self) -> Result<(), EntryError> {
        info!(self.shared.log, "drain started"; "progress" => self.shared.lock().pending.len());
        self.shared.draining.store(true, Ordering::Relaxed);
        self.shared.lock().entry.drain();
        let started = Instant::now();
        sleep(self.drain_grace.min(self.drain_limit)).await;
        while !self.shared.lock().pending.is_empty() && started.elapsed() < self.drain_limit {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        // Answers that are already computed still have to be written to their callers.
        self.server.stop_graceful(
            self.drain_limit.saturating_sub(started.elapsed()).max(self.drain_grace),
        );
        let served = self.serving.await;
        self.tasks.iter().for_each(AbortHandle::abort);
        if let Some(sync) = &self.shared.sync {
            sync.stop();
        }
        self.shared.dialer.close().await;
        info!(self.shared.log, "drain ended"; "progress" => self.shared.lock().pending.len());
        match served {
            Ok(result) => result.map_err(EntryError::Serve),
            Err(error) => Err(EntryError::Serve(std::io::Error::other(error))),
        }
    }

    /// Stops immediately without draining, as if the process had crashed.
    pub fn abort(self) {
        self.serving.abort();
        self.tasks.iter().for_each(AbortHandle::abort);
        if let Some(sync) = &self.shared.sync {
            sync.stop();
        }
        let running: Vec<_> = self.shared.lock().running.drain().collect();
        running.iter().for_each(|(_, task)| task.abort());
    }
}

impl Shared {
    fn submit(self: &Arc<Self>, submission: Submission) -> Reply {
        let call = Call {
            pipeline: submission.pipeline.clone(),
            workspace: submission.workspace.clone(),
            deadline: submission.deadline,
            key: submission.key_digest,
            body: submission.body_digest,
            prefix: submission.prefix_digest,
            stream: submission.stream,
        };
        let mut state = self.lock();
        let state = &mut *state;
        let bundle = Arc::clone(state.entry.bundle());
        let class = SizeClass::of(submission.token_estimate);
        let (id, actions) = state.entry.call_sized(self.now(), &mut state.rng, call, class);
        let weak = Arc::downgrade(self);
        let (sender, reply) = reply_channel(id.to_string(), move || {
            if let Some(shared) = weak.upgrade() {
                shared.handle_disconnect(id);
            }
        });
        let pending = PendingRequest {
            reply: sender,
            pipeline: submission.pipeline,
            workspace: submission.workspace,
            bundle,
            body: submission.body,
            key: submission.key_digest,
            started: Instant::now(),
            stage: None,
            winner: None,
            timings: Vec::new(),
            servers: HashMap::new(),
            outputs: HashMap::new(),
            forwarded: Vec::new(),
        };
        state.pending.insert(id, pending);
        self.execute(state, Some(id), actions);
        reply
    }

    fn refuse(&self, code: ErrorCode, workspace: Option<&WorkspaceId>) -> String {
        let serial = self.refusals.fetch_add(1, Ordering::Relaxed) + 1;
        // These requests never reach the state machine, so the suffix keeps their ids distinct from
        // the ones that it assigns.
        let request = format!("{}-r{serial}", self.incarnation);
        self.metrics.request_refused(code.as_str());
        info!(self.log, "request refused"; "request" => &request,
            "workspace" => workspace.map(WorkspaceId::as_str), "stage" => None::<&str>,
            "code" => code.as_str());
        request
    }

    fn ready(&self) -> Readiness {
        if self.draining.load(Ordering::Relaxed) {
            return Readiness::NotReady("draining".to_owned());
        }
        let state = self.lock();
        let bundle = state.entry.bundle();
        let stages = bundle.pipelines.values().flat_map(|pipeline| &pipeline.stages);
        let missing = stages.map(|stage| &stage.pool).find(|id| {
            let servers = bundle.pools.get(id).map_or(&[][..], |pool| &pool.servers);
            !servers.iter().any(|server| state.links.contains_key(&server.id))
        });
        match missing {
            Some(pool) => Readiness::NotReady(format!("no side of pool {pool} is connected")),
            None => Readiness::Ready,
        }
    }

    fn metrics(&self) -> String {
        {
            let state = self.lock();
            let version = state.entry.bundle().version.0;
            let (entry, links) = (&state.entry, state.links.len());
            self.metrics.record_state(
                entry.active_requests(),
                links,
                entry.dropped_messages(),
                version,
            );
        }
        self.metrics.encode()
    }
}

/// Connects the caller API to the entry.
struct CallerGateway(Arc<Shared>);

impl Gateway for CallerGateway {
    fn submit(&self, submission: Submission) -> Reply {
        self.0.submit(submission)
    }

    fn record_rejection(&self, code: ErrorCode, workspace: Option<&WorkspaceId>) -> String {
        self.0.refuse(code, workspace)
    }

    fn ready(&self) -> Readiness {
        self.0.ready()
    }

    fn metrics(&self) -> String {
        self.0.metrics()
    }
}

fn poll_instances(
    settings: InstancesSettings,
    log: &Logger,
) -> Result<InstancesClient, EntryError> {
    let log = log.clone();
    let failed = move |error: &InstancesError| {
        warn!(log, "instance list poll failed; keeping the last list"; "error" => %error);
    };
    Ok(InstancesClient::spawn(settings, seeded_rng()?, failed)?)
}

/// Stops new attempts to backend servers on leaving instances. A server's id is the name of its
/// instance.
async fn follow_instances(shared: Arc<Shared>, instances: InstancesClient) {
    let mut lists = instances.subscribe();
    loop {
        let list = Arc::clone(&lists.borrow_and_update());
        let leaving =
            list.instances.values().filter(|instance| instance.state == InstanceState::Leaving);
        let leaving: BTreeSet<_> =
            leaving.map(|instance| ServerId::from(instance.id.as_str())).collect();
        shared.lock().set_leaving(leaving, &shared.log);
        if lists.changed().await.is_err() {
            return;
        }
    }
}

/// Applies each new active bundle to the state machine and the connections to sidecars.
async fn follow_bundles(mut links: Links, sync: BundleSync) {
    let mut bundles = sync.bundles();
    loop {
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            links.shared.lock().configure(Arc::clone(&bundle));
            links.apply_bundle(&bundle);
            links.shared.has_bundle.send_replace(true);
        }
        if bundles.changed().await.is_err() {
            return;
        }
    }
}

async fn wait_until(mut condition: watch::Receiver<bool>) {
    // The only error is a dropped sender, and the sender lives as long as the daemon.
    let _ = condition.wait_for(|met| *met).await;
}
