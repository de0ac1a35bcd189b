//! Bundle distribution: executes the actions of a bundle node against the store and its peers.

use bytes::Bytes;
use damaskweir_bundle::{
    InstalledBundle, Node, NodeError, NodeStep, PublicKey, TrustedKeys, digest,
};
use damaskweir_core::epoch::{Epoch, EpochAction, EpochSettings, Source, is_watcher};
use damaskweir_core::prelude::*;
use damaskweir_core::report::{STATUS_TTL, StatusAction, StatusReporter};
use damaskweir_operators::{
    LoadError, MANIFEST_KEY, SideVersion, StatusRecord, WATCH_RANGE_END, load_sections, status_key,
};
use damaskweir_store::{Client, StoreError, WatchEvent};
use damaskweir_wire::{Link, LocalNode, Peer, PullRequest, WireError};
use rand_chacha::rand_core::SeedableRng;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Maximum time that a peer may take to answer one pull request. The node itself gives up pulls that
/// make no progress.
const PULL_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time without a message on a watch before it is opened again. Each reopening costs a call to
/// the store, but an approved bundle must be active within 4 s.
const WATCH_IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Settings that a process needs to receive bundles.
#[derive(Clone, Debug)]
pub struct BundleSyncConfig {
    /// Public keys that may sign bundles.
    pub keys: Vec<PublicKey>,
    /// Client of the store. Without it, bundles come from peers only.
    pub store: Option<Client>,
    /// Sidecars that an entry connects to before it has a bundle, so that it can restart while the store
    /// is down.
    pub seeds: BTreeMap<ServerId, SocketAddr>,
}

impl BundleSyncConfig {
    /// Creates the node of a process. `entry` is the name and availability zone of an entry, which
    /// reports its own active version and those of its sidecars to the store.
    pub(crate) fn build(
        self,
        incarnation: Incarnation,
        epoch: EpochSettings,
        entry: Option<(InstanceId, AvailabilityZone)>,
        log: &Logger,
    ) -> Result<BundleSync, getrandom::Error> {
        let mut seed = [0; 32];
        getrandom::fill(&mut seed)?;
        let options =
            BundleSyncOptions { incarnation, epoch, keys: self.keys, store: self.store, entry };
        Ok(BundleSync::new(options, Rng::from_seed(seed), log.clone()))
    }
}

/// Options of [`BundleSync::new`].
#[derive(Debug)]
struct BundleSyncOptions {
    incarnation: Incarnation,
    epoch: EpochSettings,
    keys: Vec<PublicKey>,
    store: Option<Client>,
    entry: Option<(InstanceId, AvailabilityZone)>,
}

/// Receives bundles from the store and from peers, and serves them to peers. Clones share the same
/// state. The background tasks run until [`BundleSync::stop`].
#[derive(Clone, Debug)]
pub struct BundleSync(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    start: Instant,
    store: Option<Client>,
    entry: Option<(InstanceId, AvailabilityZone)>,
    local: OnceLock<LocalNode>,
    current: watch::Sender<Option<Arc<Bundle>>>,
    ready: watch::Sender<bool>,
    /// Wakes the timer task, because its next deadline may have moved.
    state_changed: Notify,
    log: Logger,
}

#[derive(Debug)]
struct State {
    node: Node,
    rng: Rng,
    peers: HashMap<Incarnation, PeerHandle>,
    /// Last version reported by each connected sidecar, on an entry.
    sidecar_versions: BTreeMap<ServerId, Version>,
    reporter: StatusReporter,
    tasks: Vec<AbortHandle>,
    watch_task: Option<AbortHandle>,
    pull_task: Option<AbortHandle>,
}

/// Connection to a peer that bundles can be pulled from.
#[derive(Clone)]
enum PeerHandle {
    Sidecar(Link),
    Entry(Peer),
}

impl std::fmt::Debug for PeerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Sidecar(_) => "Sidecar",
            Self::Entry(_) => "Entry",
        })
    }
}

impl PeerHandle {
    async fn pull(&self, request: PullRequest) -> Result<Bytes, WireError> {
        let answer = async {
            match self {
                Self::Sidecar(link) => link.pull(request).await,
                Self::Entry(peer) => peer.pull(request).await,
            }
        };
        timeout(PULL_TIMEOUT, answer).await.unwrap_or(Err(WireError::StreamEnded))
    }
}

#[derive(Debug, thiserror::Error)]
enum PullError {
    #[error(transparent)]
    Node(#[from] NodeError),
    #[error(transparent)]
    Source(#[from] LoadError),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("the source is unavailable or did not provide a bundle")]
    Unavailable,
}

impl BundleSync {
    /// Creates a node that has no bundle.
    fn new(options: BundleSyncOptions, rng: Rng, log: Logger) -> Self {
        let epoch = Epoch::new(Time(0), options.incarnation, options.epoch);
        let state = State {
            node: Node::new(epoch, TrustedKeys::from_settings(options.keys)),
            rng,
            peers: HashMap::new(),
            sidecar_versions: BTreeMap::new(),
            reporter: StatusReporter::new(Time(0)),
            tasks: Vec::new(),
            watch_task: None,
            pull_task: None,
        };
        Self(Arc::new(Inner {
            state: Mutex::new(state),
            start: Instant::now(),
            store: options.store,
            entry: options.entry,
            local: OnceLock::new(),
            current: watch::Sender::new(None),
            ready: watch::Sender::new(false),
            state_changed: Notify::new(),
            log,
        }))
    }

    /// Serves pulls of peers and announces this node's versions through `local`, and starts the
    /// background tasks on the current tokio runtime. An entry watches the store until its first poll
    /// lists the other entries of its availability zone.
    pub fn attach(&self, local: LocalNode) -> LocalNode {
        let weak = Arc::downgrade(&self.0);
        let local = local.with_bundle_source(move |request| weak.upgrade()?.serve_pull(request));
        if self.0.local.set(local.clone()).is_ok() {
            let task = tokio::spawn(run_timers(Arc::clone(&self.0))).abort_handle();
            self.0.lock().tasks.push(task);
            if let Some((me, _)) = self.0.entry.clone() {
                self.set_live_entries(&[me]);
            }
        }
        local
    }

    /// Updates whether this entry watches the store, from the live entries of its availability zone,
    /// itself included.
    fn set_live_entries(&self, live: &[InstanceId]) {
        let Some((me, _)) = &self.0.entry else { return };
        let mut state = self.0.lock();
        let action = state.node.epoch_mut().set_watcher(is_watcher(me, live));
        self.0.execute_and_wake(&mut state, action);
    }

    /// Receiver of the active bundle and of each later one.
    pub fn bundles(&self) -> watch::Receiver<Option<Arc<Bundle>>> {
        self.0.current.subscribe()
    }

    /// Receiver of whether the node may accept work. Never goes back to false.
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.0.ready.subscribe()
    }

    /// Registers an entry's new connection to a sidecar.
    pub fn add_sidecar(&self, server: &ServerId, link: &Link) {
        let hello = link.hello();
        self.0.lock().sidecar_versions.insert(server.clone(), hello.version);
        self.0.add_peer(hello.incarnation, PeerHandle::Sidecar(link.clone()), hello.version);
    }

    /// Records the version that a sidecar advertised.
    pub fn update_sidecar(&self, server: &ServerId, peer: Incarnation, version: Version) {
        self.0.lock().sidecar_versions.insert(server.clone(), version);
        self.update_peer(peer, version);
    }

    /// Removes a sidecar whose connection closed.
    pub fn remove_sidecar(&self, server: &ServerId, peer: Incarnation) {
        self.0.lock().sidecar_versions.remove(server);
        self.remove_peer(peer);
    }

    /// Registers an entry that connected to this sidecar.
    pub fn add_entry(&self, peer: &Peer) {
        let hello = peer.hello();
        self.0.add_peer(hello.incarnation, PeerHandle::Entry(peer.clone()), hello.version);
    }

    /// Records the version that a peer advertised.
    pub fn update_peer(&self, peer: Incarnation, version: Version) {
        let mut state = self.0.lock();
        let action = state.node.epoch_mut().advertised(self.0.now(), Source::Peer(peer), version);
        self.0.execute_and_wake(&mut state, action);
    }

    /// Removes a peer whose connection closed.
    pub fn remove_peer(&self, peer: Incarnation) {
        let mut state = self.0.lock();
        state.peers.remove(&peer);
        let action = state.node.disconnected(self.0.now(), peer);
        self.0.execute_and_wake(&mut state, action);
    }

    /// Waits until `version` or a later one is active, at most for `limit`. Returns whether it is.
    pub async fn wait_for_version(&self, version: Version, limit: Duration) -> bool {
        let mut bundles = self.0.current.subscribe();
        let reached = |bundle: &Option<Arc<Bundle>>| {
            bundle.as_ref().is_some_and(|bundle| bundle.version >= version)
        };
        timeout(limit, bundles.wait_for(reached)).await.is_ok_and(|found| found.is_ok())
    }

    /// Aborts the background tasks.
    pub fn stop(&self) {
        let mut state = self.0.lock();
        let State { tasks, watch_task, pull_task, .. } = &mut *state;
        tasks
            .drain(..)
            .chain(watch_task.take())
            .chain(pull_task.take())
            .for_each(|task| task.abort());
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time(0) + Span::from(self.start.elapsed())
    }

    fn serve_pull(&self, request: PullRequest) -> Option<Bytes> {
        let state = self.lock();
        match request {
            PullRequest::Manifest => state.node.record(),
            PullRequest::Section(wanted) => state.node.section(&wanted),
            PullRequest::Patch { wanted, base } => state.node.patch(&wanted, &base),
        }
    }

    fn add_peer(self: &Arc<Self>, peer: Incarnation, handle: PeerHandle, version: Version) {
        let mut state = self.lock();
        state.peers.insert(peer, handle);
        state.node.epoch_mut().connected(peer);
        let action = state.node.epoch_mut().advertised(self.now(), Source::Peer(peer), version);
        self.execute_and_wake(&mut state, action);
    }

    /// Executes actions and wakes the timer task, which recomputes its next deadline.
    fn execute_and_wake(
        self: &Arc<Self>,
        state: &mut State,
        actions: impl IntoIterator<Item = EpochAction>,
    ) {
        self.execute(state, actions);
        self.state_changed.notify_one();
    }

    fn execute(
        self: &Arc<Self>,
        state: &mut State,
        actions: impl IntoIterator<Item = EpochAction>,
    ) {
        for action in actions {
            match action {
                EpochAction::Pull(source, _) => {
                    if let Some(task) = state.pull_task.take() {
                        task.abort();
                    }
                    let task = tokio::spawn(pull(Arc::clone(self), source, None));
                    state.pull_task = Some(task.abort_handle());
                }
                EpochAction::Poll => {
                    tokio::spawn(poll(Arc::clone(self)));
                }
                EpochAction::Watch => {
                    let task = tokio::spawn(watch_store(Arc::clone(self)));
                    state.watch_task = Some(task.abort_handle());
                }
                EpochAction::Unwatch => {
                    if let Some(task) = state.watch_task.take() {
                        task.abort();
                    }
                }
            }
        }
        self.ready.send_if_modified(|ready| {
            let now = state.node.epoch().ready();
            std::mem::replace(ready, now) != now
        });
    }

    /// Handles a manifest record that a poll or a watch of the store returned.
    fn receive_record(self: &Arc<Self>, bytes: &Bytes) {
        let mut state = self.lock();
        let shown = match state.node.advertised_record(self.now(), Source::Store, bytes) {
            Ok(shown) => shown,
            Err(NodeError::Stale { .. }) => return,
            Err(error) => {
                warn!(self.log, "rejected manifest from the store"; "error" => %error);
                return;
            }
        };
        self.execute_and_wake(&mut state, shown.action);
        match shown.step {
            // Published here because a spawned task could be aborted before it starts.
            Some(NodeStep::Installed(installed)) => {
                drop(state);
                self.publish_bundle(&installed);
            }
            Some(step) => {
                let task = tokio::spawn(pull(Arc::clone(self), Source::Store, Some(step)));
                state.pull_task = Some(task.abort_handle());
            }
            None => {}
        }
    }

    fn publish_bundle(self: &Arc<Self>, installed: &InstalledBundle) {
        let version = installed.bundle.version;
        info!(self.log, "bundle activated"; "version" => %version,
            "author" => &installed.record.manifest().author);
        self.current.send_modify(|current| {
            // Two installs may be published in either order; a lower version must not replace a
            // higher one.
            if current.as_ref().is_none_or(|current| current.version < version) {
                *current = Some(Arc::clone(&installed.bundle));
            }
        });
        if let Some(local) = self.local.get() {
            local.set_version(version);
        }
        let mut state = self.lock();
        self.execute_and_wake(&mut state, None);
    }

    /// Digest of the versions in the status record, by which the reporter detects changes.
    fn status_digest(state: &State) -> u64 {
        let mut text = state.node.epoch().current().to_string();
        for (server, version) in &state.sidecar_versions {
            text += &format!(" {server}={version}");
        }
        let hash = digest(text.as_bytes()).0;
        u64::from_le_bytes([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7]])
    }

    fn status_record(&self) -> Option<StatusRecord> {
        let (entry, zone) = self.entry.as_ref()?;
        let state = self.lock();
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        Some(StatusRecord {
            entry: entry.to_string(),
            zone: zone.to_string(),
            version: state.node.epoch().current().0,
            at,
            sides: state
                .sidecar_versions
                .iter()
                .map(|(id, v)| SideVersion(id.to_string(), v.0))
                .collect(),
        })
    }
}

/// Runs the node's timers and writes status reports, until it is aborted.
async fn run_timers(inner: Arc<Inner>) {
    let mut lease = None;
    loop {
        let (next, report) = {
            let mut state = inner.lock();
            let state = &mut *state;
            let now = inner.now();
            let actions = state.node.tick(now, &mut state.rng);
            inner.execute(state, actions);
            // The node gave up this pull and has no other source. This can't lose an installed bundle:
            // the pull task has no await point between installing a bundle and publishing it.
            if state.node.epoch().pulling().is_none()
                && let Some(task) = state.pull_task.take()
            {
                task.abort();
            }
            let reports = inner.entry.is_some() && inner.store.is_some();
            let report = if reports && state.node.current().is_some() {
                let digest = Inner::status_digest(state);
                state.reporter.tick(now, &mut state.rng, digest)
            } else {
                None
            };
            (state.node.epoch().next_tick(), report)
        };
        if let Some(action) = report {
            report_status(&inner, action, &mut lease).await;
            continue;
        }
        // Status reports need no finer resolution than 1 s.
        let at = inner.start + Duration::from_micros(next.0);
        let latest = Instant::now() + Duration::from_secs(1);
        tokio::select! {
            () = sleep_until(at.min(latest)) => {}
            () = inner.state_changed.notified() => {}
        }
    }
}

async fn report_status(inner: &Inner, action: StatusAction, lease: &mut Option<u64>) {
    let Some(store) = &inner.store else { return };
    let written = async {
        match (action, *lease) {
            (StatusAction::Renew, Some(id)) => {
                if store.renew_lease(id).await?.is_none() {
                    *lease = None;
                    inner.lock().reporter.write_failed();
                }
            }
            (StatusAction::Renew, None) => {}
            (StatusAction::Write, _) => {
                let id = match *lease {
                    Some(id) => id,
                    None => store.grant_lease(STATUS_TTL.0 / 1_000_000).await?.id,
                };
                *lease = Some(id);
                let Some(record) = inner.status_record() else { return Ok(()) };
                let value = serde_json::to_vec(&record).unwrap_or_default();
                store.put(&status_key(&record.zone, &record.entry), &value, id).await?;
            }
        }
        Ok::<_, StoreError>(())
    };
    if let Err(error) = written.await {
        *lease = None;
        inner.lock().reporter.write_failed();
        warn!(inner.log, "failed to write the status record"; "error" => %error);
    }
}

/// Lists the live entries of the availability zone. An entry's status record expires with its lease.
async fn refresh_live_entries(inner: &Arc<Inner>) {
    let (Some(store), Some((me, zone))) = (&inner.store, &inner.entry) else { return };
    let prefix = status_key(zone.as_str(), "");
    // If the store does not answer, the last list stays in use.
    let Ok(keys) = store.list_keys(&prefix).await else { return };
    let names = keys.iter().filter_map(|key| key.strip_prefix(&prefix));
    let mut live: Vec<InstanceId> = names.map(InstanceId::from).collect();
    live.push(me.clone());
    BundleSync(Arc::clone(inner)).set_live_entries(&live);
}

async fn poll(inner: Arc<Inner>) {
    let result = match &inner.store {
        Some(store) => store.get(MANIFEST_KEY).await,
        None => Err(StoreError::Settings("no store is configured".to_owned())),
    };
    match result {
        Ok(found) => {
            if let Some(stored) = found {
                inner.receive_record(&stored.value.into());
            }
            {
                let mut state = inner.lock();
                let state = &mut *state;
                state.node.epoch_mut().polled(inner.now(), &mut state.rng);
                inner.execute_and_wake(state, None);
            }
            refresh_live_entries(&inner).await;
        }
        Err(_) => {
            let mut state = inner.lock();
            let state = &mut *state;
            state.node.epoch_mut().poll_failed(inner.now(), &mut state.rng);
            inner.execute_and_wake(state, None);
        }
    }
}

fn idle_error() -> StoreError {
    StoreError::ResponseLost(format!("no message on the watch for {WATCH_IDLE_LIMIT:?}"))
}

/// Watches the manifest and the sections, which are written before the manifest that names them.
async fn watch_store(inner: Arc<Inner>) {
    let watched = async {
        let store = inner.store.as_ref().ok_or(PullError::Unavailable)?;
        let mut watch = store.watch_range(MANIFEST_KEY, WATCH_RANGE_END, 0).await?;
        timeout(WATCH_IDLE_LIMIT, watch.next()).await.map_err(|_| idle_error())??;
        inner.lock().node.epoch_mut().watched();
        // The watch does not report a manifest that was written before it started.
        if let Some(stored) = store.get(MANIFEST_KEY).await? {
            inner.receive_record(&stored.value.into());
        }
        loop {
            let events = match timeout(WATCH_IDLE_LIMIT, watch.next()).await {
                Ok(events) => events?,
                Err(_) => {
                    let next = watch.revision() + 1;
                    watch = store.watch_range(MANIFEST_KEY, WATCH_RANGE_END, next).await?;
                    timeout(WATCH_IDLE_LIMIT, watch.next()).await.map_err(|_| idle_error())??
                }
            };
            for event in events {
                match event {
                    WatchEvent::Put(stored) if stored.key == MANIFEST_KEY => {
                        inner.receive_record(&stored.value.into());
                    }
                    WatchEvent::Put(stored) => inner.lock().node.cache_section(stored.value.into()),
                    WatchEvent::Delete(_) => {}
                }
            }
        }
    };
    let ended: Result<(), PullError> = watched.await;
    if let Err(error) = ended {
        info!(inner.log, "store watch ended"; "error" => %error);
    }
    let mut state = inner.lock();
    let state = &mut *state;
    state.node.epoch_mut().watch_failed(inner.now(), &mut state.rng);
    inner.execute_and_wake(state, None);
}

/// Pulls a bundle from `source` and publishes it. `first` is the next step if a manifest from the store
/// was already accepted.
async fn pull(inner: Arc<Inner>, source: Source, first: Option<NodeStep>) {
    let pulled = match source {
        Source::Store => pull_from_store(&inner, first).await,
        Source::Peer(peer) => pull_from_peer(&inner, peer).await,
    };
    match pulled {
        Ok(installed) => inner.publish_bundle(&installed),
        Err(error) => {
            warn!(inner.log, "failed to pull a bundle"; "source" => ?source, "error" => %error);
            let mut state = inner.lock();
            state.pull_task = None;
            let action = state.node.source_failed(inner.now(), source);
            inner.execute_and_wake(&mut state, action);
        }
    }
}

async fn pull_from_store(
    inner: &Arc<Inner>,
    first: Option<NodeStep>,
) -> Result<Arc<InstalledBundle>, PullError> {
    let store = inner.store.as_ref().ok_or(PullError::Unavailable)?;
    let mut step = match first {
        Some(step) => step,
        None => {
            let stored = store.get(MANIFEST_KEY).await?.ok_or(PullError::Unavailable)?;
            let bytes = stored.value.into();
            inner.lock().node.receive_record(inner.now(), Source::Store, &bytes)?
        }
    };
    loop {
        let needs = match step {
            NodeStep::Installed(installed) => return Ok(installed),
            NodeStep::Fetch(_, needs) => needs,
        };
        let digests: Vec<Digest> = needs.into_iter().map(|(wanted, _)| wanted).collect();
        let found = load_sections(store, &digests).await?;
        let mut next = None;
        for (wanted, bytes) in found {
            let mut state = inner.lock();
            let taken = state.node.receive_section(inner.now(), Source::Store, &wanted, bytes)?;
            next = taken.or(next);
        }
        step = next.ok_or(PullError::Unavailable)?;
    }
}

async fn pull_from_peer(
    inner: &Arc<Inner>,
    peer: Incarnation,
) -> Result<Arc<InstalledBundle>, PullError> {
    let handle = inner.lock().peers.get(&peer).cloned().ok_or(PullError::Unavailable)?;
    let source = Source::Peer(peer);
    let bytes = handle.pull(PullRequest::Manifest).await?;
    let mut step = inner.lock().node.receive_record(inner.now(), source, &bytes)?;
    loop {
        let needs = match step {
            NodeStep::Installed(installed) => return Ok(installed),
            NodeStep::Fetch(_, needs) => needs,
        };
        let mut next = None;
        for (wanted, base) in needs {
            let taken = match base {
                Some(base) => take_patch(inner, &handle, source, wanted, base).await?,
                None => None,
            };
            let taken = match taken {
                Some(step) => step,
                None => {
                    let bytes = handle.pull(PullRequest::Section(wanted)).await?;
                    inner.lock().node.receive_section(inner.now(), source, &wanted, bytes)?
                }
            };
            next = taken.or(next);
        }
        step = next.ok_or(PullError::Unavailable)?;
    }
}

/// Pulls a section as a patch of `base`. Returns `None` if the peer does not have the base or its patch
/// does not produce the section; the caller then pulls the whole section.
async fn take_patch(
    inner: &Inner,
    handle: &PeerHandle,
    source: Source,
    wanted: Digest,
    base: Digest,
) -> Result<Option<Option<NodeStep>>, PullError> {
    let patch = match handle.pull(PullRequest::Patch { wanted, base }).await {
        Ok(patch) => patch,
        Err(WireError::NotFound) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    match inner.lock().node.receive_patch(inner.now(), source, &wanted, &base, &patch) {
        Ok(step) => Ok(Some(step)),
        Err(NodeError::DigestMismatch(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}
