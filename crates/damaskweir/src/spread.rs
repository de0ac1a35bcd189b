//! Spreads bundles: drives the node's decisions with the store and the connections to peers.

use bytes::Bytes;
use damaskweir_bundle::{
    InstalledBundle, Node, NodeError, NodeStep, PublicKey, TrustedKeys, digest,
};
use damaskweir_core::epoch::{Epoch, EpochAction, EpochSettings, Source, is_watcher};
use damaskweir_core::prelude::*;
use damaskweir_core::report::{STATUS_TTL, StatusAction, StatusReporter};
use damaskweir_operators::{
    MANIFEST_KEY, SideVersion, SourceError, StatusRecord, WATCH_END, load_sections, status_key,
};
use damaskweir_store::{Client, StoreError, WatchEvent};
use damaskweir_wire::{Link, Local, Peer, PullRequest, WireError};
use rand_chacha::rand_core::SeedableRng;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Time that one answer of a peer may take; the node gives up a pull that makes no progress.
const PULL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without a sign of life after which a watch is opened again. Each opening is a call; an approved
/// bundle has to be in force within 4 s.
const WATCH_SILENCE: Duration = Duration::from_secs(2);

/// What a process needs to put bundles into force, from its settings.
#[derive(Clone, Debug)]
pub struct SpreadSetup {
    /// Keys that may sign.
    pub keys: Vec<PublicKey>,
    /// The store. Without it, bundles come from peers only.
    pub store: Option<Client>,
    /// Sides that an entry connects to before it has a bundle, for restarts while the store is down.
    pub seeds: BTreeMap<ServerId, SocketAddr>,
}

impl SpreadSetup {
    /// Makes the node of a process. `entry` is the name and zone of an entry, which reports to the
    /// store what it and its sides have in force.
    pub(crate) fn start(
        self,
        incarnation: Incarnation,
        epoch: EpochSettings,
        entry: Option<(InstanceId, AvailabilityZone)>,
        log: &Logger,
    ) -> Result<Spread, getrandom::Error> {
        let mut seed = [0; 32];
        getrandom::fill(&mut seed)?;
        let options =
            SpreadOptions { incarnation, epoch, keys: self.keys, store: self.store, entry };
        Ok(Spread::new(options, Rng::from_seed(seed), log.clone()))
    }
}

/// What a node needs to take part.
#[derive(Debug)]
struct SpreadOptions {
    incarnation: Incarnation,
    epoch: EpochSettings,
    keys: Vec<PublicKey>,
    store: Option<Client>,
    entry: Option<(InstanceId, AvailabilityZone)>,
}

/// A node's part in spreading bundles. Clones share it. It ends with [`Spread::stop`].
#[derive(Clone, Debug)]
pub struct Spread(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    start: Instant,
    store: Option<Client>,
    entry: Option<(InstanceId, AvailabilityZone)>,
    local: OnceLock<Local>,
    force: watch::Sender<Option<Arc<Bundle>>>,
    ready: watch::Sender<bool>,
    /// Something may be due earlier than the timer task waits for.
    wake: Notify,
    log: Logger,
}

#[derive(Debug)]
struct State {
    node: Node,
    rng: Rng,
    peers: HashMap<Incarnation, Handle>,
    /// Versions of the sides that an entry is connected to.
    sides: BTreeMap<ServerId, Version>,
    reporter: StatusReporter,
    tasks: Vec<AbortHandle>,
    watching: Option<AbortHandle>,
    pulling: Option<AbortHandle>,
}

/// Something to pull from.
#[derive(Clone)]
enum Handle {
    Side(Link),
    Entry(Peer),
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Side(_) => "Side",
            Self::Entry(_) => "Entry",
        })
    }
}

impl Handle {
    async fn pull(&self, request: PullRequest) -> Result<Bytes, WireError> {
        let answer = async {
            match self {
                Self::Side(link) => link.pull(request).await,
                Self::Entry(peer) => peer.pull(request).await,
            }
        };
        timeout(PULL_TIMEOUT, answer).await.unwrap_or(Err(WireError::Ended))
    }
}

#[derive(Debug, thiserror::Error)]
enum PullError {
    #[error(transparent)]
    Node(#[from] NodeError),
    #[error(transparent)]
    Source(#[from] SourceError),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("the source is gone")]
    Gone,
}

impl Spread {
    /// A node without a bundle.
    fn new(options: SpreadOptions, rng: Rng, log: Logger) -> Self {
        let epoch = Epoch::new(Time(0), options.incarnation, options.epoch);
        let state = State {
            node: Node::new(epoch, TrustedKeys::from_settings(options.keys)),
            rng,
            peers: HashMap::new(),
            sides: BTreeMap::new(),
            reporter: StatusReporter::new(Time(0)),
            tasks: Vec::new(),
            watching: None,
            pulling: None,
        };
        Self(Arc::new(Inner {
            state: Mutex::new(state),
            start: Instant::now(),
            store: options.store,
            entry: options.entry,
            local: OnceLock::new(),
            force: watch::Sender::new(None),
            ready: watch::Sender::new(false),
            wake: Notify::new(),
            log,
        }))
    }

    /// Lets peers pull from this node and be told of its versions, and starts it on the current tokio
    /// runtime. An entry watches the store until its first poll shows the other entries of its zone.
    pub fn attach(&self, local: Local) -> Local {
        let weak = Arc::downgrade(&self.0);
        let local = local.with_sections(move |request| weak.upgrade()?.answer(request));
        if self.0.local.set(local.clone()).is_ok() {
            let task = tokio::spawn(run(Arc::clone(&self.0))).abort_handle();
            self.0.lock().tasks.push(task);
            if let Some((me, _)) = self.0.entry.clone() {
                self.set_live(&[me]);
            }
        }
        local
    }

    /// The live entries of this entry's zone, itself included.
    fn set_live(&self, live: &[InstanceId]) {
        let Some((me, _)) = &self.0.entry else { return };
        let mut state = self.0.lock();
        let action = state.node.epoch_mut().set_watcher(is_watcher(me, live));
        self.0.carry_out(&mut state, action);
    }

    /// The bundle in force, and each one that follows.
    pub fn bundles(&self) -> watch::Receiver<Option<Arc<Bundle>>> {
        self.0.force.subscribe()
    }

    /// Whether the node may take work; once true it stays so.
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.0.ready.subscribe()
    }

    /// An entry's connection to a side opened.
    pub fn add_side(&self, server: &ServerId, link: &Link) {
        let hello = link.hello();
        self.0.lock().sides.insert(server.clone(), hello.version);
        self.0.add(hello.incarnation, Handle::Side(link.clone()), hello.version);
    }

    /// A side showed a version.
    pub fn show_side(&self, server: &ServerId, peer: Incarnation, version: Version) {
        self.0.lock().sides.insert(server.clone(), version);
        self.show(peer, version);
    }

    /// The connection to a side closed.
    pub fn remove_side(&self, server: &ServerId, peer: Incarnation) {
        self.0.lock().sides.remove(server);
        self.remove(peer);
    }

    /// A side's connection from an entry opened.
    pub fn add_entry(&self, peer: &Peer) {
        let hello = peer.hello();
        self.0.add(hello.incarnation, Handle::Entry(peer.clone()), hello.version);
    }

    /// A peer showed a version.
    pub fn show(&self, peer: Incarnation, version: Version) {
        let mut state = self.0.lock();
        let action = state.node.epoch_mut().advertised(self.0.now(), Source::Peer(peer), version);
        self.0.carry_out(&mut state, action);
    }

    /// A peer's connection closed.
    pub fn remove(&self, peer: Incarnation) {
        let mut state = self.0.lock();
        state.peers.remove(&peer);
        let action = state.node.disconnected(self.0.now(), peer);
        self.0.carry_out(&mut state, action);
    }

    /// Waits until a version is in force, at most for `patience`.
    pub async fn reach(&self, version: Version, patience: Duration) -> bool {
        let mut force = self.0.force.subscribe();
        let reached = |bundle: &Option<Arc<Bundle>>| {
            bundle.as_ref().is_some_and(|bundle| bundle.version >= version)
        };
        timeout(patience, force.wait_for(reached)).await.is_ok_and(|found| found.is_ok())
    }

    /// Ends all tasks.
    pub fn stop(&self) {
        let mut state = self.0.lock();
        let State { tasks, watching, pulling, .. } = &mut *state;
        tasks.drain(..).chain(watching.take()).chain(pulling.take()).for_each(|task| task.abort());
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time(0) + Span::from(self.start.elapsed())
    }

    fn answer(&self, request: PullRequest) -> Option<Bytes> {
        let state = self.lock();
        match request {
            PullRequest::Manifest => state.node.record(),
            PullRequest::Section(wanted) => state.node.section(&wanted),
            PullRequest::Patch { wanted, base } => state.node.patch(&wanted, &base),
        }
    }

    fn add(self: &Arc<Self>, peer: Incarnation, handle: Handle, version: Version) {
        let mut state = self.lock();
        state.peers.insert(peer, handle);
        state.node.epoch_mut().connected(peer);
        let action = state.node.epoch_mut().advertised(self.now(), Source::Peer(peer), version);
        self.carry_out(&mut state, action);
    }

    /// Carries out actions and lets the timer task look again at what is due.
    fn carry_out(
        self: &Arc<Self>,
        state: &mut State,
        actions: impl IntoIterator<Item = EpochAction>,
    ) {
        self.perform(state, actions);
        self.wake.notify_one();
    }

    fn perform(
        self: &Arc<Self>,
        state: &mut State,
        actions: impl IntoIterator<Item = EpochAction>,
    ) {
        for action in actions {
            match action {
                EpochAction::Pull(source, _) => {
                    if let Some(task) = state.pulling.take() {
                        task.abort();
                    }
                    let task = tokio::spawn(pull(Arc::clone(self), source, None));
                    state.pulling = Some(task.abort_handle());
                }
                EpochAction::Poll => {
                    tokio::spawn(poll(Arc::clone(self)));
                }
                EpochAction::Watch => {
                    let task = tokio::spawn(watch_store(Arc::clone(self)));
                    state.watching = Some(task.abort_handle());
                }
                EpochAction::Unwatch => {
                    if let Some(task) = state.watching.take() {
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

    /// A record came from the store.
    fn show_record(self: &Arc<Self>, bytes: &Bytes) {
        let mut state = self.lock();
        let shown = match state.node.advertised_record(self.now(), Source::Store, bytes) {
            Ok(shown) => shown,
            Err(NodeError::Stale { .. }) => return,
            Err(error) => {
                warn!(self.log, "manifest in the store refused"; "error" => %error);
                return;
            }
        };
        self.carry_out(&mut state, shown.action);
        match shown.step {
            // Told here and not by a task, which could be aborted before it begins.
            Some(NodeStep::Installed(held)) => {
                drop(state);
                self.in_force(&held);
            }
            Some(step) => {
                let task = tokio::spawn(pull(Arc::clone(self), Source::Store, Some(step)));
                state.pulling = Some(task.abort_handle());
            }
            None => {}
        }
    }

    fn in_force(self: &Arc<Self>, held: &InstalledBundle) {
        let version = held.bundle.version;
        info!(self.log, "bundle in force"; "version" => %version,
            "author" => &held.record.manifest().author);
        self.force.send_modify(|force| {
            // Two installs may be told in either order; the lower one has ended already.
            if force.as_ref().is_none_or(|force| force.version < version) {
                *force = Some(Arc::clone(&held.bundle));
            }
        });
        if let Some(local) = self.local.get() {
            local.set_version(version);
        }
        let mut state = self.lock();
        self.carry_out(&mut state, None);
    }

    /// Digest of what the status record says.
    fn status_digest(state: &State) -> u64 {
        let mut text = state.node.epoch().current().to_string();
        for (server, version) in &state.sides {
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
            sides: state.sides.iter().map(|(id, v)| SideVersion(id.to_string(), v.0)).collect(),
        })
    }
}

/// Carries out what is due, until it is aborted.
async fn run(inner: Arc<Inner>) {
    let mut lease = None;
    loop {
        let (next, report) = {
            let mut state = inner.lock();
            let state = &mut *state;
            let now = inner.now();
            let actions = state.node.tick(now, &mut state.rng);
            inner.perform(state, actions);
            // A pull that was given up without another source. Between the install of a bundle and
            // the word of it there is no point at which its task could be aborted.
            if state.node.epoch().pulling().is_none()
                && let Some(task) = state.pulling.take()
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
        // Reports are looked at once a second; they have no need for more.
        let at = inner.start + Duration::from_micros(next.0);
        let latest = Instant::now() + Duration::from_secs(1);
        tokio::select! {
            () = sleep_until(at.min(latest)) => {}
            () = inner.wake.notified() => {}
        }
    }
}

async fn report_status(inner: &Inner, action: StatusAction, lease: &mut Option<u64>) {
    let Some(store) = &inner.store else { return };
    let written = async {
        match (action, *lease) {
            (StatusAction::Renew, Some(id)) => {
                if store.keepalive(id).await?.is_none() {
                    *lease = None;
                    inner.lock().reporter.write_failed();
                }
            }
            (StatusAction::Renew, None) => {}
            (StatusAction::Write, _) => {
                let id = match *lease {
                    Some(id) => id,
                    None => store.grant(STATUS_TTL.0 / 1_000_000).await?.id,
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
        warn!(inner.log, "status not written"; "error" => %error);
    }
}

/// Looks up which entries of the zone live, by the status records that end with them.
async fn find_live(inner: &Arc<Inner>) {
    let (Some(store), Some((me, zone))) = (&inner.store, &inner.entry) else { return };
    let prefix = status_key(zone.as_str(), "");
    // Without an answer the last view stays.
    let Ok(keys) = store.list_keys(&prefix).await else { return };
    let names = keys.iter().filter_map(|key| key.strip_prefix(&prefix));
    let mut live: Vec<InstanceId> = names.map(InstanceId::from).collect();
    live.push(me.clone());
    Spread(Arc::clone(inner)).set_live(&live);
}

async fn poll(inner: Arc<Inner>) {
    let found = match &inner.store {
        Some(store) => store.get(MANIFEST_KEY).await,
        None => Err(StoreError::Settings("no store is set".to_owned())),
    };
    match found {
        Ok(found) => {
            if let Some(stored) = found {
                inner.show_record(&stored.value.into());
            }
            {
                let mut state = inner.lock();
                let state = &mut *state;
                state.node.epoch_mut().polled(inner.now(), &mut state.rng);
                inner.carry_out(state, None);
            }
            find_live(&inner).await;
        }
        Err(_) => {
            let mut state = inner.lock();
            let state = &mut *state;
            state.node.epoch_mut().poll_failed(inner.now(), &mut state.rng);
            inner.carry_out(state, None);
        }
    }
}

fn silent() -> StoreError {
    StoreError::Lost(format!("watch silent for {WATCH_SILENCE:?}"))
}

/// Watches the manifest and the sections that are written before it.
async fn watch_store(inner: Arc<Inner>) {
    let watched = async {
        let store = inner.store.as_ref().ok_or(PullError::Gone)?;
        let mut watch = store.watch_range(MANIFEST_KEY, WATCH_END, 0).await?;
        timeout(WATCH_SILENCE, watch.next()).await.map_err(|_| silent())??;
        inner.lock().node.epoch_mut().watched();
        // What was written before the watch began.
        if let Some(stored) = store.get(MANIFEST_KEY).await? {
            inner.show_record(&stored.value.into());
        }
        loop {
            let events = match timeout(WATCH_SILENCE, watch.next()).await {
                Ok(events) => events?,
                Err(_) => {
                    let next = watch.revision() + 1;
                    watch = store.watch_range(MANIFEST_KEY, WATCH_END, next).await?;
                    timeout(WATCH_SILENCE, watch.next()).await.map_err(|_| silent())??
                }
            };
            for event in events {
                match event {
                    WatchEvent::Put(stored) if stored.key == MANIFEST_KEY => {
                        inner.show_record(&stored.value.into());
                    }
                    WatchEvent::Put(stored) => inner.lock().node.cache_section(stored.value.into()),
                    WatchEvent::Delete(_) => {}
                }
            }
        }
    };
    let ended: Result<(), PullError> = watched.await;
    if let Err(error) = ended {
        info!(inner.log, "watch ended"; "error" => %error);
    }
    let mut state = inner.lock();
    let state = &mut *state;
    state.node.epoch_mut().watch_failed(inner.now(), &mut state.rng);
    inner.carry_out(state, None);
}

/// Pulls a bundle from one source.
async fn pull(inner: Arc<Inner>, source: Source, first: Option<NodeStep>) {
    let pulled = match source {
        Source::Store => pull_from_store(&inner, first).await,
        Source::Peer(peer) => pull_from_peer(&inner, peer).await,
    };
    match pulled {
        Ok(held) => inner.in_force(&held),
        Err(error) => {
            warn!(inner.log, "bundle not pulled"; "source" => ?source, "error" => %error);
            let mut state = inner.lock();
            state.pulling = None;
            let action = state.node.source_failed(inner.now(), source);
            inner.carry_out(&mut state, action);
        }
    }
}

async fn pull_from_store(
    inner: &Arc<Inner>,
    first: Option<NodeStep>,
) -> Result<Arc<InstalledBundle>, PullError> {
    let store = inner.store.as_ref().ok_or(PullError::Gone)?;
    let mut step = match first {
        Some(step) => step,
        None => {
            let stored = store.get(MANIFEST_KEY).await?.ok_or(PullError::Gone)?;
            let bytes = stored.value.into();
            inner.lock().node.receive_record(inner.now(), Source::Store, &bytes)?
        }
    };
    loop {
        let needs = match step {
            NodeStep::Installed(held) => return Ok(held),
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
        step = next.ok_or(PullError::Gone)?;
    }
}

async fn pull_from_peer(
    inner: &Arc<Inner>,
    peer: Incarnation,
) -> Result<Arc<InstalledBundle>, PullError> {
    let handle = inner.lock().peers.get(&peer).cloned().ok_or(PullError::Gone)?;
    let source = Source::Peer(peer);
    let bytes = handle.pull(PullRequest::Manifest).await?;
    let mut step = inner.lock().node.receive_record(inner.now(), source, &bytes)?;
    loop {
        let needs = match step {
            NodeStep::Installed(held) => return Ok(held),
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
        step = next.ok_or(PullError::Gone)?;
    }
}

/// The outer `None`: the peer does not hold the base, or sent a difference that does not fit.
async fn take_patch(
    inner: &Inner,
    handle: &Handle,
    source: Source,
    wanted: Digest,
    base: Digest,
) -> Result<Option<Option<NodeStep>>, PullError> {
    let patch = match handle.pull(PullRequest::Patch { wanted, base }).await {
        Ok(patch) => patch,
        Err(WireError::Absent) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    match inner.lock().node.receive_patch(inner.now(), source, &wanted, &base, &patch) {
        Ok(step) => Ok(Some(step)),
        Err(NodeError::DigestMismatch(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}
