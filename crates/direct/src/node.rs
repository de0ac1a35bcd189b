//! State of one entry that all its tasks share. Everything runs on one thread.

use crate::calls::PieceWaiter;
use crate::http::{Conn, HttpError, Kept};
use crate::log::{Kind, Log};
use crate::metrics::{GaugeValues, Metrics, MetricsError};
use crate::peers::ResultRelease;
use crate::stages::PieceFailure;
use crate::wire::Wire;
use damaskweir_core::Rng;
use damaskweir_core::batch::{Batcher, PieceId};
use damaskweir_core::catalog::{Catalog, Work};
use damaskweir_core::fleet::{Fleet, FleetChange, Replica};
use damaskweir_core::fresh::Freshness;
use damaskweir_core::ids::{PoolId, ServerId};
use damaskweir_core::owner::{EntryInfo, Owners};
use damaskweir_core::place::Placer;
use damaskweir_core::returns::ReturnDetector;
use damaskweir_core::time::{Span, Time};
use damaskweir_core::window::WindowBudget;
use rand_core::Rng as _;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time to open a connection. Zones are a few milliseconds apart; a lost packet is sent again after
/// about a second, which is longer than another server takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after SIGTERM in which callers may still be sent here: the platform asks for readiness once a
/// second and goes by two answers.
pub const DEREGISTER_DELAY: Span = Span::from_millis(2_600);
/// Time that must be left of the grace time for a stream that begins.
const MIN_STREAM_GRACE: Span = Span::from_secs(60);
/// The same for a plain call.
const MIN_CALL_GRACE: Span = Span::from_secs(2);
/// Time for which an entry that did not answer owns nothing.
const SUSPECT_DURATION: Span = Span::from_secs(2);
/// Time after a refusal in which its caller may come back.
const RETURN_WINDOW: Span = Span::from_secs(5);
/// Idle connections kept for one server.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Entries to share budgets with while their list is not known.
const DEFAULT_ENTRY_COUNT: usize = 8;
/// Time to the first part of an answer that is assumed at first.
const INITIAL_PLAIN_LATENCY: Span = Span::from_millis(60);
/// The same for generation.
const INITIAL_ENGINE_LATENCY: Span = Span::from_millis(120);

/// Fixed properties of an entry.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Its name, where it runs, and where other entries reach it.
    pub entry: EntryInfo,
    /// Repeats that a pool may get, as a share of its requests.
    pub retry_ratio: f64,
    /// Repeats beyond that share, of all entries together.
    pub retry_slack: f64,
    /// Window of both.
    pub retry_window: Span,
    /// Time between SIGTERM and the end of the process.
    pub grace: Span,
    /// Time in which an approved configuration is in force, and a leaving server gets no new work.
    pub apply_limit: Span,
}

/// Who told an entry something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store.
    Store,
    /// The entry with this address.
    Entry(SocketAddr),
}

/// What the entry knows and waits for.
#[derive(Debug)]
pub struct State {
    /// The configuration in force. `None`: none has been read.
    pub catalog: Option<Rc<Catalog>>,
    /// All servers.
    pub fleet: Fleet,
    /// All entries, in the order of their names.
    pub entries: Vec<EntryInfo>,
    /// Choice of servers by pool.
    pub placers: BTreeMap<PoolId, Placer>,
    /// Waiting pieces by pool.
    pub batchers: BTreeMap<PoolId, Batcher>,
    /// Repeats by pool.
    pub retry_budgets: BTreeMap<PoolId, WindowBudget>,
    /// Who waits for which piece.
    pub(crate) waiters: HashMap<PieceId, PieceWaiter>,
    /// Owners of servers by stage pool.
    pub(crate) owners: BTreeMap<PoolId, Owners>,
    /// Entries that did not answer, and until when they own nothing here.
    pub(crate) suspects: BTreeMap<String, Time>,
    /// Results to give back.
    pub(crate) releases: Vec<ResultRelease>,
    /// Idle connections to other entries, by address.
    pub(crate) entry_connections: HashMap<String, Kept>,
    /// When a pool's batcher will be asked again.
    pub(crate) wakeups: BTreeMap<PoolId, Time>,
    pub(crate) last_piece: u64,
    idle_connections: HashMap<ServerId, Kept>,
    /// How long first callers of a route wait, by the route's name.
    return_detectors: HashMap<String, ReturnDetector>,
    /// When a caller was last told to come back.
    pub(crate) last_refusal: Option<Time>,
    /// The store answers this entry.
    pub store_current: bool,
    /// When the store confirmed what is known here.
    pub(crate) freshness: Freshness,
    /// Whether that was too long ago when it was last looked at.
    pub(crate) stale: bool,
    /// Whether what is known may be served by: an entry before may have served by something newer, unless
    /// the store confirmed it after this process began or nobody knows better. Never unset.
    pub(crate) servable: bool,
    /// When the process was told to stop.
    pub draining: Option<Time>,
    /// Requests in progress.
    pub active: usize,
    /// Bytes of answers that are being read.
    pub(crate) buffered_bytes: usize,
    /// Random numbers for choices.
    pub rng: Rng,
}

/// An entry.
#[derive(Debug)]
pub struct Node<W> {
    /// Protocol of callers and backend servers.
    pub wire: W,
    /// Fixed properties.
    pub config: NodeConfig,
    /// Log lines.
    pub log: Log,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Never borrowed across an await.
    pub state: RefCell<State>,
    /// Told when the configuration or one of the lists changes.
    pub(crate) changed: Notify,
    /// Names this process among all that ever ran.
    pub(crate) incarnation: u64,
    start: Instant,
}

impl<W: Wire> Node<W> {
    /// An entry that knows nothing yet.
    pub fn new(wire: W, config: NodeConfig, log: Log, metrics: Metrics, mut rng: Rng) -> Self {
        let incarnation = rng.next_u64();
        let state = State {
            catalog: None,
            fleet: Fleet::default(),
            entries: Vec::new(),
            placers: BTreeMap::new(),
            batchers: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            waiters: HashMap::new(),
            owners: BTreeMap::new(),
            suspects: BTreeMap::new(),
            releases: Vec::new(),
            entry_connections: HashMap::new(),
            wakeups: BTreeMap::new(),
            last_piece: 0,
            idle_connections: HashMap::new(),
            return_detectors: HashMap::new(),
            last_refusal: None,
            store_current: false,
            freshness: Freshness::default(),
            stale: false,
            servable: false,
            draining: None,
            active: 0,
            buffered_bytes: 0,
            rng,
        };
        Self {
            wire,
            config,
            log,
            metrics,
            state: RefCell::new(state),
            changed: Notify::new(),
            incarnation,
            start: Instant::now(),
        }
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Time {
        Time::default() + Span::from(self.start.elapsed())
    }

    /// The moment of the runtime's clock for a time of the core.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from(at.since(Time::default()))
    }

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        state.active_catalog().is_some()
            && state.draining.is_none()
            && state.fleet.replicas().next().is_some()
    }

    /// Whether the process ends too soon for a request that comes now. Callers are sent elsewhere by
    /// then; what still comes uses a kept connection.
    pub(crate) fn ends_too_soon(&self, streams: bool) -> bool {
        let Some(since) = self.state.borrow().draining else { return false };
        let passed = self.now().since(since);
        let min_grace = if streams { MIN_STREAM_GRACE } else { MIN_CALL_GRACE };
        passed > DEREGISTER_DELAY && passed + min_grace > self.config.grace
    }

    /// Puts a configuration in force if it is newer.
    pub fn apply_catalog(&self, catalog: Catalog, from: UpdateSource) -> bool {
        let mut state = self.state.borrow_mut();
        let newer =
            |old: &Rc<Catalog>| catalog.revision > old.revision && catalog.version > old.version;
        if !state.catalog.as_ref().is_none_or(newer) {
            return false;
        }
        let (from, address) = match from {
            UpdateSource::Store => ("store", String::new()),
            UpdateSource::Entry(address) => ("entry", address.to_string()),
        };
        let before = state.freshness.age(self.now()).unwrap_or_default();
        self.log.process(
            Kind::CatalogApplied,
            &[
                ("version", catalog.version.0.into()),
                ("revision", catalog.revision.into()),
                ("from", from.into()),
                ("address", address.as_str().into()),
                ("age_ms", before.as_millis().into()),
            ],
        );
        state.install_catalog(catalog, &self.config, self.now());
        self.changed.notify_waiters();
        true
    }

    /// Notes when what the entry knows gets too old, and when it is confirmed again.
    pub(crate) fn log_staleness(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(age) = state.freshness.age(now) else { return };
        let stale = age > self.config.apply_limit;
        if std::mem::replace(&mut state.stale, stale) != stale {
            let kind = if stale { Kind::ConfigStale } else { Kind::ConfigConfirmed };
            let version = state.catalog.as_ref().map_or(0, |catalog| catalog.version.0);
            self.log
                .process(kind, &[("age_ms", age.as_millis().into()), ("version", version.into())]);
        }
    }

    /// Carries out changes of the list of servers.
    pub fn apply_fleet_changes(&self, changes: Vec<FleetChange>) {
        // Most reads change nothing; owners are computed over all servers.
        if changes.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let mut pools = BTreeSet::new();
        for change in changes {
            match change {
                FleetChange::Up(replica) => {
                    pools.insert(replica.pool.clone());
                    let id = replica.id.as_str();
                    let pool = replica.pool.as_str();
                    self.log
                        .process(Kind::ServerUp, &[("server", id.into()), ("pool", pool.into())]);
                    state.remove_server(&replica.id);
                    state.add_server(replica, &self.config);
                }
                FleetChange::Leaving(id) => {
                    self.log.process(Kind::ServerLeaving, &[("server", id.as_str().into())]);
                    pools.extend(state.remove_server(&id));
                }
                FleetChange::Removed(id) => {
                    self.log.process(Kind::ServerGone, &[("server", id.as_str().into())]);
                    pools.extend(state.remove_server(&id));
                }
            }
        }
        let now = self.now();
        pools.iter().for_each(|pool| state.assign_pool_owners(pool, &self.config, now));
        self.changed.notify_waiters();
    }

    /// Takes the list of all entries.
    pub fn set_entries(&self, mut entries: Vec<EntryInfo>) {
        entries.sort();
        entries.dedup_by(|a, b| a.name == b.name);
        let mut state = self.state.borrow_mut();
        if state.entries == entries {
            return;
        }
        self.log.process(Kind::EntriesChanged, &[("entries", (entries.len() as u64).into())]);
        state.entries = entries;
        state.assign_owners(&self.config, self.now());
        self.changed.notify_waiters();
    }

    /// Takes entries that are listed, and keeps those that are not.
    pub(crate) fn merge_entries(&self, mut entries: Vec<EntryInfo>) {
        let known = self.state.borrow().entries.clone();
        let missing = |old: &EntryInfo| !entries.iter().any(|entry| entry.name == old.name);
        let kept: Vec<_> = known.into_iter().filter(missing).collect();
        entries.extend(kept);
        self.set_entries(entries);
    }

    /// An entry did not answer: others own its servers for a while, in the view of this entry.
    pub(crate) fn suspect_entry(&self, name: &str) {
        let until = self.now() + SUSPECT_DURATION;
        let mut state = self.state.borrow_mut();
        if state.suspects.insert(name.to_owned(), until).is_none() {
            state.assign_owners(&self.config, self.now());
        }
    }

    /// Trusts entries again whose time has passed.
    pub(crate) fn expire_suspects(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let before = state.suspects.len();
        state.suspects.retain(|_, until| *until > now);
        if state.suspects.len() < before {
            state.assign_owners(&self.config, self.now());
        }
    }

    /// Time since the first try of a route's caller that will wait this long; zero if it may come first.
    pub(crate) fn since_first_try(&self, route: &str, wait: Span) -> Span {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let no_recent_refusal = state.last_refusal.is_none_or(|at| now.since(at) > RETURN_WINDOW);
        if !state.return_detectors.contains_key(route) {
            state.return_detectors.insert(route.to_owned(), ReturnDetector::default());
        }
        let Some(detector) = state.return_detectors.get_mut(route) else { return Span::ZERO };
        detector.observe(wait, no_recent_refusal);
        detector.elapsed_since_first(wait)
    }

    /// A connection to a server, kept or new.
    pub(crate) async fn connection(&self, server: &Replica) -> Result<Conn, HttpError> {
        let kept =
            self.state.borrow_mut().idle_connections.get_mut(&server.id).and_then(Kept::take);
        if let Some(conn) = kept {
            return Ok(conn);
        }
        self.metrics.connections.add(1, &[]);
        Conn::connect(server.address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection for the next request if it can be used again.
    pub(crate) fn keep_connection(&self, server: &ServerId, conn: Conn) {
        let mut state = self.state.borrow_mut();
        let known = state.fleet.get(server).is_some_and(|replica| !replica.leaving);
        if known {
            state
                .idle_connections
                .entry(server.clone())
                .or_default()
                .keep(conn, MAX_IDLE_CONNECTIONS);
        }
    }

    /// All metrics as text, with what the entry believes now.
    pub(crate) fn metrics_text(&self) -> Result<Vec<u8>, MetricsError> {
        let state = self.state.borrow();
        let servers = state.placers.iter().map(|(pool, placer)| (pool.as_str(), placer.len()));
        let queued = state.batchers.iter().map(|(pool, batcher)| (pool.as_str(), batcher.len()));
        self.metrics.record_gauges(&GaugeValues {
            servers: servers.map(|(pool, n)| (pool, n as u64)).collect(),
            queued_pieces: queued.map(|(pool, n)| (pool, n as u64)).collect(),
            entries: state.entries.len() as u64,
            suspects: state.suspects.len() as u64,
            config_version: state.catalog.as_ref().map_or(0, |catalog| catalog.version.0),
            store_current: state.store_current,
            config_age: state.freshness.age(self.now()).map(Span::as_secs_f64),
            active_requests: state.active as u64,
        });
        self.metrics.encode()
    }

    /// Takes a repeat from a pool's budget.
    pub(crate) fn withdraw_retry(&self, pool: &PoolId) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let entries = match state.entries.len() {
            0 => DEFAULT_ENTRY_COUNT,
            n => n,
        };
        let allowed =
            state.retry_budgets.get_mut(pool).is_some_and(|b| b.try_withdraw(now, entries));
        if !allowed {
            self.metrics.denied_retries.add(1, &[]);
        }
        allowed
    }
}

impl State {
    /// The configuration that requests are served by.
    pub(crate) fn active_catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref().filter(|_| self.servable)
    }

    fn install_catalog(&mut self, catalog: Catalog, config: &NodeConfig, now: Time) {
        let named =
            |name: &String| catalog.hosts.values().flatten().any(|route| route.name == *name);
        self.return_detectors.retain(|name, _| named(name));
        self.catalog = Some(Rc::new(catalog));
        let known: Vec<_> = self.fleet.replicas().filter(|r| !r.leaving).cloned().collect();
        for replica in known {
            self.add_server(replica, config);
        }
        self.assign_owners(config, now);
    }

    /// Adds a server to its pool, unless it is there.
    fn add_server(&mut self, replica: Replica, config: &NodeConfig) {
        let Some(catalog) = self.catalog.clone() else { return };
        let Some(pool) = catalog.pools.get(&replica.pool) else { return };
        let engine = matches!(pool.work, Work::Engine { .. });
        let usual = if engine { INITIAL_ENGINE_LATENCY } else { INITIAL_PLAIN_LATENCY };
        let budget =
            || WindowBudget::new(config.retry_ratio, config.retry_slack, config.retry_window);
        self.retry_budgets.entry(replica.pool.clone()).or_insert_with(budget);
        let placer = self
            .placers
            .entry(replica.pool.clone())
            .or_insert_with(|| Placer::new(config.entry.zone.clone(), engine, usual));
        placer.add(replica);
    }

    /// Gives a server no new work, and closes its idle connections. Tells its pool.
    fn remove_server(&mut self, id: &ServerId) -> Option<PoolId> {
        self.idle_connections.remove(id);
        let (pool, placer) = self.placers.iter_mut().find(|(_, placer)| placer.contains(id))?;
        placer.remove(id);
        Some(pool.clone())
    }

    /// Computes the owners of all stage pools again.
    fn assign_owners(&mut self, config: &NodeConfig, now: Time) {
        let Some(catalog) = self.catalog.clone() else { return };
        catalog.pools.keys().for_each(|pool| self.assign_pool_owners(pool, config, now));
    }

    /// Computes the owners of one pool again, if it is a stage's.
    fn assign_pool_owners(&mut self, id: &PoolId, config: &NodeConfig, now: Time) {
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(id));
        let Some(Work::Pieces(spec)) = pool.map(|pool| &pool.work) else { return };
        let spec = *spec;
        let usable = |replica: &&Replica| replica.pool == *id && !replica.leaving;
        let servers: Vec<Replica> = self.fleet.replicas().filter(usable).cloned().collect();
        let new_owners = || Owners::new(config.entry.clone(), spec);
        let owners = self.owners.entry(id.clone()).or_insert_with(new_owners);
        owners.set_spec(spec);
        let owned = owners.assign(id, &self.entries, &self.suspects, &servers);
        let batcher = self.batchers.entry(id.clone()).or_insert_with(|| Batcher::new(spec));
        batcher.set_spec(spec);
        batcher.set_servers(now, &owned);
        let moved = if owned.is_empty() { batcher.drain() } else { Vec::new() };
        moved.into_iter().for_each(|piece| self.fail_piece(piece, PieceFailure::Moved));
    }

    /// Tells who waits for a piece that there is no result. Nobody may wait any more.
    pub(crate) fn fail_piece(&mut self, id: PieceId, failure: PieceFailure) {
        if let Some(waiter) = self.waiters.remove(&id) {
            waiter.miss(failure);
        }
    }
}
