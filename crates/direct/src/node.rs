//! State of an entry that its tasks share. All tasks run on one thread.

use crate::calls::PieceWaiter;
use crate::exposure::Exposures;
use crate::http::{Conn, HttpError, IdleConns};
use crate::log::{Kind, Log};
use crate::memory::MemoryBudget;
use crate::metrics::{GaugeValues, Metrics, MetricsError};
use crate::peers::ResultRelease;
use crate::permits::Permit;
use crate::quarantine::Outbox;
use crate::serve::Connections;
use crate::stages::PieceFailure;
use crate::wire::Wire;
use damaskweir_core::Rng;
use damaskweir_core::batch::{Batcher, PieceId};
use damaskweir_core::catalog::{Catalog, Work};
use damaskweir_core::evacuation::Evacuations;
use damaskweir_core::exchange::LoadReports;
use damaskweir_core::fleet::{Fleet, FleetChange, Replica};
use damaskweir_core::fresh::{Freshness, SuspensionDetector};
use damaskweir_core::ids::{PoolId, ServerId};
use damaskweir_core::intake::Intake;
use damaskweir_core::owner::{EntryInfo, Owners};
use damaskweir_core::pace::ReturnSlots;
use damaskweir_core::place::Placer;
use damaskweir_core::quarantine::Quarantine;
use damaskweir_core::returns::ReturnDetector;
use damaskweir_core::revision::Revision;
use damaskweir_core::roster::{Roster, RosterMark, RosterStatement};
use damaskweir_core::standing::Standings;
use damaskweir_core::time::{Span, Time};
use damaskweir_core::warmup::{ColdBound, Pauses};
use damaskweir_core::window::WindowBudget;
use rand_core::Rng as _;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Connect timeout for backend servers. The latency between availability zones is a few
/// milliseconds, so a longer wait means a lost packet. Its retransmission takes about a second, and
/// trying another server is faster.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after SIGTERM in which the platform may still send callers here: it probes readiness once a
/// second and acts on two consecutive results.
pub const DEREGISTER_DELAY: Span = Span::from_millis(2_600);
/// Part of the grace time that is reserved for the process exit after the drain.
pub const SHUTDOWN_RESERVE: Span = Span::from_millis(400);
/// Time before the end of the drain at which requests in progress are answered.
const ANSWER_RESERVE: Span = Span::from_millis(400);
/// Time for which an entry that did not respond is assumed to own no servers.
const SUSPECT_DURATION: Span = Span::from_secs(2);
/// Time after a refusal in which the refused caller may return.
const RETURN_WINDOW: Span = Span::from_secs(5);
/// Idle connections kept per backend server.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Number of entries assumed to share the retry budgets until their list is known.
const DEFAULT_ENTRY_COUNT: usize = 8;
/// Initial estimate of the time to the first part of a response, for plain calls.
const INITIAL_PLAIN_LATENCY: Span = Span::from_millis(60);
/// Initial estimate of the time to the first part of a response, for generation.
const INITIAL_ENGINE_LATENCY: Span = Span::from_millis(120);

/// The part of the memory of the process that may hold what callers and servers send, and the part that
/// requests may need besides. The rest is for its lists and the memory allocator.
const MEMORY_PART: usize = 3;

/// Configuration of an entry that is fixed while the process runs.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The entry's name, location, and address for other entries.
    pub entry: EntryInfo,
    /// Retries allowed per pool, as a share of its requests.
    pub retry_ratio: f64,
    /// Retries allowed beyond that share, for all entries together.
    pub retry_slack: f64,
    /// Time window to which both limits apply.
    pub retry_window: Span,
    /// Time from SIGTERM to the end of the process.
    pub grace: Span,
    /// Time limit for an approved configuration to take effect and for a leaving server to get no
    /// more new work.
    pub apply_limit: Span,
    /// Whether there is a time limit for evacuations, which `apply_limit` does not exceed. If so, the process
    /// sends nothing after a suspension until its data is confirmed.
    pub bounds_evacuation: bool,
    /// Memory in bytes that the process may use.
    pub memory: usize,
    /// Requests that cold servers may get; `None` if they are treated like others.
    pub cold: Option<ColdBound>,
}

/// The origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store.
    Store,
    /// Another entry, at this address.
    Entry(SocketAddr),
    /// Nobody: what was kept for a time is no longer in doubt.
    Expiry,
}

impl UpdateSource {
    /// The source's name in logs, and the address of the entry.
    fn fields(self) -> (&'static str, String) {
        match self {
            Self::Store => ("store", String::new()),
            Self::Entry(address) => ("entry", address.to_string()),
            Self::Expiry => ("expiry", String::new()),
        }
    }
}

/// The mutable state of an entry.
#[derive(Debug)]
pub struct State {
    /// The newest configuration; `None` until one has been read. See `State::active_catalog`.
    pub catalog: Option<Rc<Catalog>>,
    /// All backend servers.
    pub fleet: Fleet,
    /// Availability zones whose servers get no new work.
    pub evacuations: Evacuations,
    /// All entries.
    pub roster: Roster,
    /// Server selection by pool.
    pub placers: BTreeMap<PoolId, Placer>,
    /// What other entries have sent to engines.
    pub(crate) loads: LoadReports,
    /// When the next call with pieces exchanges reports.
    pub(crate) loads_due: Time,
    /// Queued pieces by pool.
    pub batchers: BTreeMap<PoolId, Batcher>,
    /// Retry budgets by pool.
    pub retry_budgets: BTreeMap<PoolId, WindowBudget>,
    /// Receivers of the outcomes of queued and running pieces.
    pub(crate) waiters: HashMap<PieceId, PieceWaiter>,
    /// Owners of the servers of each stage pool.
    pub(crate) owners: BTreeMap<PoolId, Owners>,
    /// Entries that did not respond, and until when they are assumed to own no servers.
    pub(crate) suspects: BTreeMap<String, Time>,
    /// Entries that did not answer a call for a permit, and until when they are assumed to grant none.
    pub(crate) silent: BTreeMap<String, Time>,
    /// When the list of entries, or of those that do not answer, last changed. Another entry may have
    /// been the grantor of any server until then.
    pub(crate) grantors_changed: Time,
    /// When the list of entries last changed.
    pub(crate) roster_changed: Time,
    /// When the process was last frozen.
    pub(crate) pauses: Pauses,
    /// Number of open calls for a permit, by server.
    pub(crate) open_asks: BTreeMap<ServerId, u32>,
    /// Return times of callers that were refused because of servers' limits.
    pub(crate) return_slots: BTreeMap<PoolId, ReturnSlots>,
    /// Stored results to release.
    pub(crate) releases: Vec<ResultRelease>,
    /// Idle connections to other entries, by address.
    pub(crate) entry_connections: HashMap<String, IdleConns>,
    /// Next scheduled run of each pool's batcher.
    pub(crate) wakeups: BTreeMap<PoolId, Time>,
    pub(crate) last_piece: u64,
    /// What backend servers say about the requests that they accept.
    pub(crate) intake: Intake,
    /// What backend servers say about further requests.
    pub(crate) standings: Standings,
    /// The requests that backend servers were given and have not answered.
    pub(crate) exposures: Exposures,
    /// Prompt parts that crash servers.
    pub(crate) quarantine: Quarantine,
    /// What is to be told to the entries that count crashes.
    pub(crate) outbox: Outbox,
    /// Parts with an own ruling that the store does not have yet.
    pub(crate) unsaved_rulings: BTreeSet<u64>,
    idle_connections: HashMap<ServerId, IdleConns>,
    /// Detectors of returning callers, by route name.
    return_detectors: HashMap<String, ReturnDetector>,
    /// When a caller was last told to retry later.
    pub(crate) last_refusal: Option<Time>,
    /// Whether this entry reads the store and its state is current.
    pub store_current: bool,
    /// When the store last confirmed the local state.
    pub(crate) freshness: Freshness,
    /// Notices that the process was suspended.
    pub(crate) suspension: SuspensionDetector,
    /// Highest known generation of the store: a number that rises when it returns with an older state. 0 if
    /// it is unknown.
    pub(crate) generation: u64,
    /// When this entry learned that the store had returned with an older state.
    pub(crate) returned_at: Option<Time>,
    /// Whether the local state was stale at the last check.
    pub(crate) stale: bool,
    /// Whether requests may be served with the known configuration. A previous process may have
    /// served with a newer one, so this is set only when the store has confirmed the configuration
    /// since this process started, when no other entry has recent data, or when the start takes too
    /// long. It is never reset.
    pub(crate) servable: bool,
    /// When the process was told to stop; `None` if it was not.
    pub draining: Option<Time>,
    /// Requests in progress.
    pub active: usize,
    /// Random number generator for all random choices.
    pub rng: Rng,
}

/// An entry: its configuration and the state that its tasks share.
#[derive(Debug)]
pub struct Node<W> {
    /// The protocol of callers and backend servers.
    pub wire: W,
    /// Memory for what callers and servers send.
    pub memory: MemoryBudget,
    /// Memory of requests in progress, apart from large buffers: those of one must not use up the memory of
    /// the others.
    pub requests: MemoryBudget,
    /// Configuration that is fixed while the process runs.
    pub config: NodeConfig,
    /// The event log.
    pub log: Log,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// The mutable state. It must not be borrowed across an await point.
    pub state: RefCell<State>,
    /// Notified when the configuration, the server list or the list of entries changes, or when the
    /// store confirms them.
    pub(crate) changed: Notify,
    /// Notified when the ruling on a prompt part changes.
    pub(crate) rulings_changed: Notify,
    /// Notified when the store has returned with an older state.
    pub(crate) returned: Notify,
    /// Notified when the process is told to stop.
    drain_began: Notify,
    /// Open connections of callers.
    pub(crate) callers: Rc<Connections>,
    /// Random id of this process, which tells it apart from earlier processes of the same entry.
    pub(crate) incarnation: u64,
    start: Instant,
}

impl<W: Wire> Node<W> {
    /// Creates an entry without a configuration, servers or other entries.
    pub fn new(wire: W, config: NodeConfig, log: Log, metrics: Metrics, mut rng: Rng) -> Self {
        let incarnation = rng.next_u64();
        let state = State {
            catalog: None,
            fleet: Fleet::default(),
            evacuations: Evacuations::default(),
            roster: Roster::default(),
            placers: BTreeMap::new(),
            loads: LoadReports::new(incarnation as u32),
            loads_due: Time::default(),
            batchers: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            waiters: HashMap::new(),
            owners: BTreeMap::new(),
            suspects: BTreeMap::new(),
            silent: BTreeMap::new(),
            grantors_changed: Time::default(),
            roster_changed: Time::default(),
            pauses: Pauses::default(),
            open_asks: BTreeMap::new(),
            return_slots: BTreeMap::new(),
            releases: Vec::new(),
            entry_connections: HashMap::new(),
            wakeups: BTreeMap::new(),
            last_piece: 0,
            intake: Intake::new(config.cold),
            standings: Standings::default(),
            exposures: Exposures::default(),
            quarantine: Quarantine::default(),
            outbox: Outbox::default(),
            unsaved_rulings: BTreeSet::new(),
            idle_connections: HashMap::new(),
            return_detectors: HashMap::new(),
            last_refusal: None,
            store_current: false,
            freshness: Freshness::default(),
            suspension: SuspensionDetector::default(),
            generation: 0,
            returned_at: None,
            stale: false,
            servable: false,
            draining: None,
            active: 0,
            rng,
        };
        Self {
            wire,
            memory: MemoryBudget::new(config.memory / MEMORY_PART),
            requests: MemoryBudget::new(config.memory / MEMORY_PART),
            config,
            log,
            metrics,
            state: RefCell::new(state),
            changed: Notify::new(),
            rulings_changed: Notify::new(),
            returned: Notify::new(),
            drain_began: Notify::new(),
            callers: Rc::default(),
            incarnation,
            start: Instant::now(),
        }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Time {
        Time::default() + Span::from(self.start.elapsed())
    }

    /// Converts a time of `damaskweir_core` to an instant of the runtime's clock.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from(at.since(Time::default()))
    }

    /// Whether the platform should send callers here.
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        state.active_catalog().is_some()
            && state.draining.is_none()
            && state.fleet.replicas().next().is_some()
    }

    /// Fails readiness and refuses requests that the process ends too soon for. Returns the number of
    /// requests in progress.
    pub fn start_draining(&self) -> usize {
        let mut state = self.state.borrow_mut();
        state.draining = Some(self.now());
        self.drain_began.notify_waiters();
        state.active
    }

    /// Waits until requests in progress must be answered, since the process ends soon.
    pub(crate) async fn wait_last_answers(&self) {
        let began = self.drain_began.notified();
        if self.state.borrow().draining.is_none() {
            began.await;
        }
        let since = self.state.borrow().draining.unwrap_or_else(|| self.now());
        sleep_until(self.instant(self.last_answers(since))).await;
    }

    /// Whether the process may end before a request that arrives now: a stream, or one with a deadline after
    /// the last answers. The platform has stopped sending callers here by then; such requests arrive on
    /// connections that are kept open.
    pub(crate) fn ends_too_soon(&self, streams: bool, deadline: Time) -> bool {
        let Some(since) = self.state.borrow().draining else { return false };
        let late = self.now().since(since) > DEREGISTER_DELAY;
        late && (streams || deadline > self.last_answers(since))
    }

    /// Returns when requests in progress must be answered if the process was told to stop at `since`.
    fn last_answers(&self, since: Time) -> Time {
        since + self.config.grace.saturating_sub(SHUTDOWN_RESERVE + ANSWER_RESERVE)
    }

    /// Applies a configuration if it is newer than the current one. Returns whether it was applied.
    pub fn apply_catalog(&self, catalog: Catalog, from: UpdateSource) -> bool {
        let mut state = self.state.borrow_mut();
        let (from, address) = from.fields();
        if let Some(known) = state.catalog.as_ref().filter(|old| !catalog.replaces(old)) {
            // A full read often returns the configuration that is in force.
            if (catalog.version, catalog.revision) != (known.version, known.revision) {
                let fields = [
                    ("version", catalog.version.0.into()),
                    ("revision", catalog.revision.into()),
                    ("from", from.into()),
                    ("address", address.as_str().into()),
                    ("known_version", known.version.0.into()),
                    ("known_revision", known.revision.into()),
                ];
                self.log.process(Kind::CatalogIgnored, &fields);
            }
            return false;
        }
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
        self.record_all_warmups(&mut state);
        self.changed.notify_waiters();
        true
    }

    /// Records a generation of the store that the store or another entry named.
    pub(crate) fn observe_generation(&self, generation: u64) {
        let mut state = self.state.borrow_mut();
        let before = state.generation;
        if generation <= before {
            return;
        }
        state.generation = generation;
        if before > 0 {
            state.returned_at = Some(self.now());
            let fields = [("generation", generation.into()), ("before", before.into())];
            self.log.process(Kind::StoreRestored, &fields);
            self.returned.notify_waiters();
        }
    }

    /// Logs when the local state becomes stale and when it is confirmed again.
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

    /// Applies changes of the server list.
    pub fn apply_fleet_changes(self: &Rc<Self>, changes: Vec<FleetChange>, from: UpdateSource) {
        // Most reads change nothing, and computing the owners takes a pass over all servers.
        if changes.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let (mut pools, mut removed) = (BTreeSet::new(), Vec::new());
        for change in changes {
            match change {
                FleetChange::Up(replica) => {
                    pools.insert(replica.pool.clone());
                    let id = replica.id.as_str();
                    let pool = replica.pool.as_str();
                    self.log
                        .process(Kind::ServerUp, &[("server", id.into()), ("pool", pool.into())]);
                    state.remove_server(&replica.id);
                    self.record_listed_warmup(&mut state, &replica.id);
                    state.add_server(replica, &self.config);
                }
                FleetChange::Warmup(id) => self.record_listed_warmup(&mut state, &id),
                FleetChange::Leaving(id) => {
                    let fields = [("server", id.as_str().into()), ("from", "list".into())];
                    self.log.process(Kind::ServerLeaving, &fields);
                    pools.extend(state.remove_server(&id));
                }
                FleetChange::Missing(id) => {
                    self.log_missing(Kind::ServerMissing, &id, from, state.fleet.as_of());
                }
                FleetChange::Removed(id) => {
                    self.log_missing(Kind::ServerGone, &id, from, state.fleet.as_of());
                    pools.extend(state.remove_server(&id));
                    removed.push(id);
                }
            }
        }
        let now = self.now();
        pools.iter().for_each(|pool| state.assign_pool_owners(pool, &self.config, now));
        state.assign_grantors(&self.config, now);
        state.assign_cold_grantors(&self.config, now);
        drop(state);
        removed.iter().for_each(|id| self.check_replaced(id));
        self.changed.notify_waiters();
    }

    /// Logs that a server is no longer listed as of a revision, and from whom this entry has that.
    fn log_missing(&self, kind: Kind, id: &ServerId, from: UpdateSource, as_of: Revision) {
        let (from, address) = from.fields();
        let fields = [
            ("server", id.as_str().into()),
            ("from", from.into()),
            ("address", address.as_str().into()),
            ("as_of", as_of.number.into()),
        ];
        self.log.process(kind, &fields);
    }

    /// Replaces the list of entries by one that the store or another entry told `age` ago, as of a revision
    /// of the store.
    pub fn set_entries(
        &self,
        entries: Vec<EntryInfo>,
        as_of: Revision,
        age: Option<Span>,
        from: &str,
    ) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.roster.replace(now, entries, as_of, age) {
            let fields = [
                ("entries", (state.roster.entries().len() as u64).into()),
                ("from", from.into()),
                ("as_of", as_of.number.into()),
                ("age_ms", age.unwrap_or_default().as_millis().into()),
            ];
            self.log.process(Kind::EntriesChanged, &fields);
            state.roster_changed = now;
            state.entries_changed(&self.config, now);
        }
        self.changed.notify_waiters();
    }

    /// Whether a list of entries names this one.
    pub(crate) fn is_listed(&self, entries: &[EntryInfo]) -> bool {
        entries.iter().any(|entry| entry.name == self.config.entry.name)
    }

    /// Takes a list of entries that another entry told `delay` ago, if it is later than the known one.
    pub(crate) fn merge_entries(
        &self,
        entries: Vec<EntryInfo>,
        mark: Option<&RosterMark>,
        delay: Span,
    ) {
        let later = self.state.borrow().roster.is_older_than(self.now(), mark);
        if later {
            let age = mark.and_then(|mark| mark.age).map(|age| age + delay);
            let as_of = mark.map(RosterMark::revision).unwrap_or_default();
            self.set_entries(entries, as_of, age, "entry");
        }
    }

    /// Takes a list with which another entry answered or repeated a call, `delay` ago.
    pub(crate) fn merge_roster(&self, told: &RosterStatement, delay: Span) {
        if self.is_listed(&told.entries) {
            self.merge_entries(told.entries.clone(), Some(&told.mark), delay);
        }
    }

    /// Marks an entry as suspect. For [`SUSPECT_DURATION`] this entry assigns its servers to other
    /// owners.
    pub(crate) fn suspect_entry(&self, name: &str) {
        let until = self.now() + SUSPECT_DURATION;
        let mut state = self.state.borrow_mut();
        if state.suspects.insert(name.to_owned(), until).is_none() {
            state.entries_changed(&self.config, self.now());
        }
    }

    /// Clears suspects and silent entries whose time has passed, and servers that are long gone.
    pub(crate) fn expire_suspects(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let (suspects, silent) = (state.suspects.len(), state.silent.len());
        state.suspects.retain(|_, until| *until > now);
        state.silent.retain(|_, until| *until > now);
        if state.suspects.len() < suspects || state.silent.len() < silent {
            state.entries_changed(&self.config, now);
        }
        state.pauses.record(now);
        state.intake.expire(now, |id| state.fleet.get(id).is_some());
        let warm = state.intake.warmups.expire(now, |server| state.fleet.lists_process(server));
        for server in warm {
            self.log.process(Kind::ServerWarm, &[("server", server.id.as_str().into())]);
        }
        state.standings.expire(now, |server| state.fleet.lists_process(server));
        state.exposures.expire(now);
        state.quarantine.expire(now);
        state.loads.expire(now);
    }

    /// Estimates the time since the first attempt of a caller of `route` that will wait for `wait`.
    /// Returns zero if this may be its first attempt.
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

    /// Returns an idle connection to the server of a permit, or opens a new one. Fails if the server accepts
    /// no request by then.
    pub(crate) async fn connection(&self, permit: Permit) -> Result<Conn, HttpError> {
        let server = permit.server().clone();
        let idle =
            self.state.borrow_mut().idle_connections.get_mut(&server.id).and_then(IdleConns::take);
        let conn = match idle {
            Some(conn) => conn,
            None => {
                self.metrics.connections.add(1, &[]);
                Conn::connect(server.address, CONNECT_TIMEOUT).await?
            }
        };
        self.wait_caught_up().await;
        // An answer may have arrived while the connection was opened, or since the permit was given, or the
        // zone may have been evacuated.
        let now = self.now();
        let declines = {
            let state = self.state.borrow();
            let unpaced = state.is_cold(now, &server) && !permit.is_paced();
            !state.accepts_calls(&server) || state.standings.declines(now, &server) || unpaced
        };
        if declines || permit.is_expired(now) {
            self.keep_connection(&server.id, conn);
            return Err(HttpError::Declined);
        }
        Ok(conn)
    }

    /// Keeps a connection for later requests if it can be reused and the server is not leaving.
    pub(crate) fn keep_connection(&self, server: &ServerId, conn: Conn) {
        let mut state = self.state.borrow_mut();
        if state.is_staying(server) {
            state
                .idle_connections
                .entry(server.clone())
                .or_default()
                .keep(conn, MAX_IDLE_CONNECTIONS);
        }
    }

    /// Updates the gauges and encodes all metrics as text.
    pub(crate) fn metrics_text(&self) -> Result<Vec<u8>, MetricsError> {
        let state = self.state.borrow();
        let servers = state.placers.iter().map(|(pool, placer)| (pool.as_str(), placer.len()));
        let queued = state.batchers.iter().map(|(pool, batcher)| (pool.as_str(), batcher.len()));
        self.metrics.record_gauges(&GaugeValues {
            servers: servers.map(|(pool, n)| (pool, n as u64)).collect(),
            limited_servers: state.intake.limited().count() as u64,
            cold_servers: state.intake.warmups.active(self.now()).count() as u64,
            leaving_servers: state.standings.leaving().count() as u64,
            backoff_servers: state.standings.backing_off(self.now()).count() as u64,
            quarantined_parts: state.quarantine.len(self.now()) as u64,
            evacuated_zones: state.evacuations.zone_count() as u64,
            queued_pieces: queued.map(|(pool, n)| (pool, n as u64)).collect(),
            entries: state.roster.entries().len() as u64,
            entries_age: state.roster.age(self.now()).map(Span::as_secs_f64),
            suspects: state.suspects.len() as u64,
            config_version: state.catalog.as_ref().map_or(0, |catalog| catalog.version.0),
            store_current: state.store_current,
            store_generation: state.generation,
            config_age: state.freshness.age(self.now()).map(Span::as_secs_f64),
            active_requests: state.active as u64,
            buffered_bytes: self.memory.used() as u64,
            load_age: state.loads.oldest_age(self.now()).map(Span::as_secs_f64),
        });
        self.metrics.encode()
    }

    /// Takes one retry from a pool's budget. Returns whether the budget allowed it.
    pub(crate) fn withdraw_retry(&self, pool: &PoolId) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let entries = match state.roster.entries().len() {
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
    /// Returns the configuration that requests are served with, if any.
    pub(crate) fn active_catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref().filter(|_| self.servable)
    }

    fn install_catalog(&mut self, catalog: Catalog, config: &NodeConfig, now: Time) {
        let named =
            |name: &String| catalog.hosts.values().flatten().any(|route| route.name == *name);
        self.return_detectors.retain(|name, _| named(name));
        self.catalog = Some(Rc::new(catalog));
        let known: Vec<_> = self.fleet.replicas().cloned().collect();
        for replica in known {
            self.add_server(replica, config);
        }
        self.assign_owners(config, now);
    }

    /// Whether a server is listed and gets new work.
    pub(crate) fn is_staying(&self, id: &ServerId) -> bool {
        self.fleet.get(id).is_some_and(|server| self.accepts_work(server))
    }

    /// Whether a server gets new work: it does not leave, by the list or by its own word, and its zone is not
    /// evacuated. Nothing else decides this.
    pub(crate) fn accepts_work(&self, server: &Replica) -> bool {
        !server.leaving && self.accepts_calls(server)
    }

    /// Whether a server gets calls at all. One that leaves by the list alone still releases results.
    pub(crate) fn accepts_calls(&self, server: &Replica) -> bool {
        !self.standings.is_leaving(server) && !self.evacuations.contains(&server.zone)
    }

    /// Whether what the store tells lets a server get new work. Owners are computed from this, as all entries
    /// know it.
    fn is_open_by_lists(&self, server: &Replica) -> bool {
        !server.leaving && !self.evacuations.contains(&server.zone)
    }

    /// Adds a server to its pool unless it is already there or gets no new work. A server of an unknown pool
    /// is ignored.
    pub(crate) fn add_server(&mut self, replica: Replica, config: &NodeConfig) {
        if !self.accepts_work(&replica) {
            return;
        }
        let Some(catalog) = self.catalog.clone() else { return };
        let Some(pool) = catalog.pools.get(&replica.pool) else { return };
        let engine = matches!(pool.work, Work::Engine { .. });
        let mean_latency = if engine { INITIAL_ENGINE_LATENCY } else { INITIAL_PLAIN_LATENCY };
        let budget =
            || WindowBudget::new(config.retry_ratio, config.retry_slack, config.retry_window);
        self.retry_budgets.entry(replica.pool.clone()).or_insert_with(budget);
        let placer = self
            .placers
            .entry(replica.pool.clone())
            .or_insert_with(|| Placer::new(config.entry.zone.clone(), engine, mean_latency));
        placer.add(replica);
    }

    /// Stops sending new work to a server and closes its idle connections. Returns its pool.
    pub(crate) fn remove_server(&mut self, id: &ServerId) -> Option<PoolId> {
        self.idle_connections.remove(id);
        let (pool, placer) = self.placers.iter_mut().find(|(_, placer)| placer.contains(id))?;
        placer.remove(id);
        Some(pool.clone())
    }

    /// Recomputes what depends on the list of entries and on those that do not answer.
    fn entries_changed(&mut self, config: &NodeConfig, now: Time) {
        self.grantors_changed = now;
        self.assign_owners(config, now);
    }

    /// Recomputes the server owners of all stage pools, and the grantors.
    fn assign_owners(&mut self, config: &NodeConfig, now: Time) {
        if let Some(catalog) = self.catalog.clone() {
            catalog.pools.keys().for_each(|pool| self.assign_pool_owners(pool, config, now));
        }
        self.assign_grantors(config, now);
        self.assign_cold_grantors(config, now);
    }

    /// Recomputes the server owners of one pool, if it is a stage pool.
    pub(crate) fn assign_pool_owners(&mut self, id: &PoolId, config: &NodeConfig, now: Time) {
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(id));
        let Some(Work::Pieces(spec)) = pool.map(|pool| &pool.work) else { return };
        let spec = *spec;
        let usable = |replica: &&Replica| replica.pool == *id && self.is_open_by_lists(replica);
        let servers: Vec<Replica> = self.fleet.replicas().filter(usable).cloned().collect();
        let new_owners = || Owners::new(config.entry.clone(), spec);
        let owners = self.owners.entry(id.clone()).or_insert_with(new_owners);
        owners.set_spec(spec);
        let mut owned = owners.assign(id, self.roster.entries(), &self.suspects, &servers);
        // Others may not know yet that such a server leaves, so it counts when owners are computed.
        owned.retain(|server| self.accepts_work(server));
        let batcher = self.batchers.entry(id.clone()).or_insert_with(|| Batcher::new(spec));
        batcher.set_spec(spec);
        batcher.set_servers(now, &owned);
        let moved = if owned.is_empty() { batcher.drain() } else { Vec::new() };
        moved.into_iter().for_each(|piece| self.fail_piece(piece, PieceFailure::Moved));
    }

    /// Reports the failure of a piece to its receiver, if that still exists.
    pub(crate) fn fail_piece(&mut self, id: PieceId, failure: PieceFailure) {
        if let Some(waiter) = self.waiters.remove(&id) {
            waiter.fail(failure);
        }
    }
}
