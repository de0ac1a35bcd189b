//! The entry daemon: starts, serves callers, follows bundles and instances, and drains.

use crate::links::Links;
use crate::metrics::{EntryMetrics, MetricsError};
use crate::requests::{Open, Shared, State, run_timers, spawn};
use crate::settings::EntryFile;
use crate::spread::{Spread, SpreadSetup};
use damaskweir_callers::{
    Api, Directory, ErrorCode, Gateway, Limits, Readiness, Reply, Submission, listen, reply,
};
use damaskweir_core::entry::{Call, Entry, EntrySettings};
use damaskweir_core::epoch::EpochSettings;
use damaskweir_core::predict::SizeClass;
use damaskweir_core::prelude::*;
use damaskweir_instances::{Instances, InstancesError, InstancesSettings, State as InstanceState};
use damaskweir_store::{ClaimSettings, ClaimWriter, Client, StoreError};
use damaskweir_wire::{Dialer, Keys, Local, PeerId, WireError};
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

/// How often the end of a drain is looked for.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Everything that an entry needs to run.
#[derive(Debug)]
pub struct EntryOptions {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Settings of the core.
    pub core: EntrySettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Limits of the callers' API.
    pub limits: Limits,
    /// Credentials of callers.
    pub directory: Directory,
    /// Local address of the connections to sides.
    pub wire_address: SocketAddr,
    /// Certificates.
    pub keys: Keys,
    /// Limits of the connections to sides.
    pub wire: damaskweir_wire::Limits,
    /// The bundle in force.
    pub bundle: Arc<Bundle>,
    /// Writes claims; without it non-idempotent calls are refused.
    pub claims: Option<ClaimWriter>,
    /// The platform's instance list, if it is to be followed.
    pub instances: Option<InstancesSettings>,
    /// Time between the start of a drain and the earliest exit, for balancers to notice.
    pub drain_grace: Duration,
    /// Time after which a drain ends with requests still in progress.
    pub drain_limit: Duration,
}

impl EntryOptions {
    /// Options from a settings file. Runs on a tokio runtime, since the claim writer does.
    pub fn from_file(file: EntryFile, bundle: Arc<Bundle>) -> Result<Self, EntryError> {
        let wire = &file.wire;
        let keys = Keys::from_files(&wire.authority, &wire.certificate, &wire.key)?;
        let claims = match file.store {
            Some(store) => {
                let client = Client::new(store, seeded_rng()?)?;
                Some(ClaimWriter::spawn(client, ClaimSettings::default()))
            }
            None => None,
        };
        Ok(Self {
            instance: file.instance,
            zone: file.zone,
            core: file.core,
            listen: file.listen,
            limits: file.limits,
            directory: file.directory,
            wire_address: wire.address,
            keys: keys.with_name(&wire.name),
            wire: wire.limits,
            bundle,
            claims,
            instances: file.instances,
            drain_grace: file.drain_grace,
            drain_limit: file.drain_limit,
        })
    }
}

/// A random number generator that the system seeds.
pub(crate) fn seeded_rng() -> Result<Rng, EntryError> {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(EntryError::Random)?;
    Ok(Rng::from_seed(seed))
}

/// Why an entry can't run.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The callers' address can't be used.
    #[error("can't listen for callers on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The socket for sides can't be opened, or the certificates can't be used.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The store's settings can't be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The instance list's settings can't be used.
    #[error(transparent)]
    Instances(#[from] InstancesError),
    /// Metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The system has no randomness.
    #[error("the system gives no random numbers: {0}")]
    Random(getrandom::Error),
    /// Serving failed.
    #[error("serving callers failed: {0}")]
    Serve(std::io::Error),
}

/// A running entry.
#[derive(Debug)]
pub struct EntryDaemon {
    shared: Arc<Shared>,
    address: SocketAddr,
    server: salvo::server::ServerHandle,
    serving: JoinHandle<std::io::Result<()>>,
    tasks: Vec<AbortHandle>,
    grace: Duration,
    limit: Duration,
}

impl EntryDaemon {
    /// Starts an entry on the current tokio runtime.
    pub async fn start(options: EntryOptions, log: Logger) -> Result<Self, EntryError> {
        Self::start_spread(options, None, log).await
    }

    /// Starts an entry that puts bundles into force. It listens for callers once it has caught up, so
    /// this may take as long as the store and all peers are away.
    pub async fn start_spread(
        options: EntryOptions,
        spread: Option<SpreadSetup>,
        log: Logger,
    ) -> Result<Self, EntryError> {
        let incarnation = Incarnation(getrandom::u64().map_err(EntryError::Random)?);
        let rng = seeded_rng()?;
        let seeds = spread.as_ref().map(|setup| setup.seeds.clone()).unwrap_or_default();
        let place = (options.instance.clone(), options.zone.clone());
        let spread = spread
            .map(|setup| setup.start(incarnation, EpochSettings::ENTRY, Some(place), &log))
            .transpose()
            .map_err(EntryError::Random)?;
        let id = PeerId::Entry(options.instance.clone());
        let local = Local::new(id, options.zone.clone(), incarnation);
        let local = match &spread {
            Some(spread) => spread.attach(local),
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
                open: HashMap::new(),
                running: HashMap::new(),
                links: BTreeMap::new(),
                armed: None,
                leaving: BTreeSet::new(),
            }),
            start: Instant::now(),
            timer: Notify::new(),
            dialer,
            claims: options.claims,
            metrics: EntryMetrics::new()?,
            draining: AtomicBool::new(false),
            refusals: AtomicU64::new(0),
            incarnation,
            spread: spread.clone(),
            configured: watch::Sender::new(false),
            log,
        });
        let mut tasks = vec![spawn(run_timers(Arc::clone(&shared)))];
        if let Some(settings) = options.instances {
            let instances = poll_instances(settings, &shared.log)?;
            tasks.push(spawn(follow_instances(Arc::clone(&shared), instances)));
        }
        let mut links = Links::new(Arc::clone(&shared));
        match spread {
            Some(spread) => {
                links.connect_seeds(seeds);
                let caught_up = spread.readiness();
                tasks.push(spawn(follow_bundles(links, spread)));
                wait_until(caught_up).await;
                wait_until(shared.configured.subscribe()).await;
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
        let (grace, limit) = (options.drain_grace, options.drain_limit);
        Ok(Self { shared, address, server, serving, tasks, grace, limit })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Arc<Bundle> {
        Arc::clone(self.shared.lock().entry.bundle())
    }

    /// Whether each pool that a pipeline needs has a connected side.
    pub fn is_ready(&self) -> bool {
        self.shared.ready() == Readiness::Ready
    }

    /// Refuses new requests, lets those in progress finish, and stops.
    pub async fn drain(self) -> Result<(), EntryError> {
        info!(self.shared.log, "drain started"; "progress" => self.shared.lock().open.len());
        self.shared.draining.store(true, Ordering::Relaxed);
        self.shared.lock().entry.drain();
        let started = Instant::now();
        sleep(self.grace.min(self.limit)).await;
        while !self.shared.lock().open.is_empty() && started.elapsed() < self.limit {
            sleep(DRAIN_POLL).await;
        }
        // Answers that were given still have to reach their callers.
        self.server.stop_graceful(self.limit.saturating_sub(started.elapsed()).max(self.grace));
        let served = self.serving.await;
        self.tasks.iter().for_each(AbortHandle::abort);
        if let Some(spread) = &self.shared.spread {
            spread.stop();
        }
        self.shared.dialer.close().await;
        info!(self.shared.log, "drain ended"; "progress" => self.shared.lock().open.len());
        match served {
            Ok(result) => result.map_err(EntryError::Serve),
            Err(error) => Err(EntryError::Serve(std::io::Error::other(error))),
        }
    }

    /// Stops at once, as a process that dies does.
    pub fn abort(self) {
        self.serving.abort();
        self.tasks.iter().for_each(AbortHandle::abort);
        if let Some(spread) = &self.shared.spread {
            spread.stop();
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
            key: submission.key,
            body: submission.digest,
            prefix: submission.prefix,
            stream: submission.stream,
        };
        let mut state = self.lock();
        let state = &mut *state;
        let bundle = Arc::clone(state.entry.bundle());
        let class = SizeClass::of(submission.size);
        let (id, actions) = state.entry.call_sized(self.now(), &mut state.rng, call, class);
        let weak = Arc::downgrade(self);
        let (sender, reply) = reply(id.to_string(), move || {
            if let Some(shared) = weak.upgrade() {
                shared.gone(id);
            }
        });
        let open = Open {
            reply: sender,
            pipeline: submission.pipeline,
            workspace: submission.workspace,
            bundle,
            body: submission.body,
            key: submission.key,
            started: Instant::now(),
            stage: None,
            winner: None,
            timings: Vec::new(),
            servers: HashMap::new(),
            outputs: HashMap::new(),
            emitted: Vec::new(),
        };
        state.open.insert(id, open);
        self.carry_out(state, Some(id), actions);
        reply
    }

    fn refuse(&self, code: ErrorCode, workspace: Option<&WorkspaceId>) -> String {
        let serial = self.refusals.fetch_add(1, Ordering::Relaxed) + 1;
        // Serials of refused requests are counted apart from those of the core.
        let request = format!("{}-r{serial}", self.incarnation);
        self.metrics.refused(code.as_str());
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
            self.metrics.state(entry.active_requests(), links, entry.dropped_messages(), version);
        }
        self.metrics.encode()
    }
}

/// The entry as the callers' API sees it.
struct CallerGateway(Arc<Shared>);

impl Gateway for CallerGateway {
    fn submit(&self, submission: Submission) -> Reply {
        self.0.submit(submission)
    }

    fn refuse(&self, code: ErrorCode, workspace: Option<&WorkspaceId>) -> String {
        self.0.refuse(code, workspace)
    }

    fn ready(&self) -> Readiness {
        self.0.ready()
    }

    fn metrics(&self) -> String {
        self.0.metrics()
    }
}

fn poll_instances(settings: InstancesSettings, log: &Logger) -> Result<Instances, EntryError> {
    let log = log.clone();
    let failed = move |error: &InstancesError| {
        warn!(log, "poll failed; the last list stays in force"; "error" => %error);
    };
    Ok(Instances::spawn(settings, seeded_rng()?, failed)?)
}

/// Gives no new work to backend servers on instances that are leaving. A server's id is the name of its
/// instance.
async fn follow_instances(shared: Arc<Shared>, instances: Instances) {
    let mut lists = instances.lists();
    loop {
        let list = Arc::clone(&lists.borrow_and_update());
        let leaving =
            list.instances.values().filter(|instance| instance.state == InstanceState::Leaving);
        let leaving: BTreeSet<_> =
            leaving.map(|instance| ServerId::from(instance.id.as_str())).collect();
        shared.lock().leave(leaving, &shared.log);
        if lists.changed().await.is_err() {
            return;
        }
    }
}

/// Puts each bundle that comes into force to use.
async fn follow_bundles(mut links: Links, spread: Spread) {
    let mut bundles = spread.bundles();
    loop {
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            links.shared.lock().configure(Arc::clone(&bundle));
            links.apply_bundle(&bundle);
            links.shared.configured.send_replace(true);
        }
        if bundles.changed().await.is_err() {
            return;
        }
    }
}

async fn wait_until(mut condition: watch::Receiver<bool>) {
    // The sender lives as long as the daemon.
    let _ = condition.wait_for(|held| *held).await;
}
