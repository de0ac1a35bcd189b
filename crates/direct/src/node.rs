//! State of one entry that all its tasks share. Everything runs on one thread.

use crate::calls::PieceWaiter;
use crate::http::{Conn, HttpError, IdleConns};
use crate::log::{Kind, Log};
use crate::metrics::{Beliefs, Metrics, MetricsError};
use crate::peers::Release;
use crate::stages::Miss;
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
const CONNECT: Duration = Duration::from_millis(400);
/// Time after SIGTERM in which callers may still be sent here: the platform asks for readiness once a
/// second and goes by two answers.
pub const LEAVING: Span = Span::from_millis(2_600);
/// Time that must be left of the grace time for a stream that begins.
const LEAVING_STREAMS: Span = Span::from_secs(60);
/// The same for a plain call.
const LEAVING_CALLS: Span = Span::from_secs(2);
/// Time for which an entry that did not answer owns nothing.
const SUSPECT: Span = Span::from_secs(2);
/// Time after a refusal in which its caller may come back.
const RETURNS: Span = Span::from_secs(5);
/// Idle connections kept for one server.
const IDLE_MAX: usize = 64;
/// Entries to share budgets with while their list is not known.
const ENTRIES_ASSUMED: usize = 8;
/// Time to the first part of an answer that is assumed at first.
const USUAL_PLAIN: Span = Span::from_millis(60);
/// The same for generation.
const USUAL_ENGINE: Span = Span::from_millis(120);

/// Fixed properties of an entry.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name, where it runs, and where other entries reach it.
    pub entry: EntryInfo,
    /// Repeats that a pool may get, as a share of its requests.
    pub repeat_ratio: f64,
    /// Repeats beyond that share, of all entries together.
    pub repeat_slack: f64,
    /// Window of both.
    pub repeat_window: Span,
    /// Time between SIGTERM and the end of the process.
    pub grace: Span,
    /// Time in which an approved configuration is in force, and a leaving server gets no new work.
    pub apply: Span,
}

/// Who told an entry something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
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
    pub budgets: BTreeMap<PoolId, WindowBudget>,
    /// Who waits for which piece.
    pub(crate) waiters: HashMap<PieceId, PieceWaiter>,
    /// Owners of servers by stage pool.
    pub(crate) owners: BTreeMap<PoolId, Owners>,
    /// Entries that did not answer, and until when they own nothing here.
    pub(crate) suspects: BTreeMap<String, Time>,
    /// Results to give back.
    pub(crate) frees: Vec<Release>,
    /// Idle connections to other entries, by address.
    pub(crate) links: HashMap<String, IdleConns>,
    /// When a pool's batcher will be asked again.
    pub(crate) wakes: BTreeMap<PoolId, Time>,
    pub(crate) next_piece: u64,
    idle: HashMap<ServerId, IdleConns>,
    /// How long first callers of a route wait, by the route's name.
    waits: HashMap<String, ReturnDetector>,
    /// When a caller was last told to come back.
    pub(crate) refused: Option<Time>,
    /// The store answers this entry.
    pub current: bool,
    /// When the store confirmed what is known here.
    pub(crate) confirmed: Freshness,
    /// Whether that was too long ago when it was last looked at.
    pub(crate) stale: bool,
    /// Whether what is known may be served by: an entry before may have served by something newer, unless
    /// the store confirmed it after this process began or nobody knows better. Never unset.
    pub(crate) settled: bool,
    /// When the process was told to stop.
    pub draining: Option<Time>,
    /// Requests in progress.
    pub active: usize,
    /// Bytes of answers that are being read.
    pub(crate) reading: usize,
    /// Random numbers for choices.
    pub rng: Rng,
}

/// An entry.
#[derive(Debug)]
pub struct Node<W> {
    /// Protocol of callers and backend servers.
    pub wire: W,
    /// Fixed properties.
    pub setup: Setup,
    /// Log lines.
    pub log: Log,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Never borrowed across an await.
    pub state: RefCell<State>,
    /// Told when the configuration or one of the lists changes.
    pub(crate) news: Notify,
    /// Names this process among all that ever ran.
    pub(crate) stamp: u64,
    start: Instant,
}

impl<W: Wire> Node<W> {
    /// An entry that knows nothing yet.
    pub fn new(wire: W, setup: Setup, log: Log, metrics: Metrics, mut rng: Rng) -> Self {
        let stamp = rng.next_u64();
        let state = State {
            catalog: None,
            fleet: Fleet::default(),
            entries: Vec::new(),
            placers: BTreeMap::new(),
            batchers: BTreeMap::new(),
            budgets: BTreeMap::new(),
            waiters: HashMap::new(),
            owners: BTreeMap::new(),
            suspects: BTreeMap::new(),
            frees: Vec::new(),
            links: HashMap::new(),
            wakes: BTreeMap::new(),
            next_piece: 0,
            idle: HashMap::new(),
            waits: HashMap::new(),
            refused: None,
            current: false,
            confirmed: Freshness::default(),
            stale: false,
            settled: false,
            draining: None,
            active: 0,
            reading: 0,
            rng,
        };
        Self {
            wire,
            setup,
            log,
            metrics,
            state: RefCell::new(state),
            news: Notify::new(),
            stamp,
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
        state.in_force().is_some()
            && state.draining.is_none()
            && state.fleet.replicas().next().is_some()
    }

    /// Whether the process ends too soon for a request that comes now. Callers are sent elsewhere by
    /// then; what still comes uses a kept connection.
    pub(crate) fn ends_before(&self, streams: bool) -> bool {
        let Some(since) = self.state.borrow().draining else { return false };
        let passed = self.now().since(since);
        let least = if streams { LEAVING_STREAMS } else { LEAVING_CALLS };
        passed > LEAVING && passed + least > self.setup.grace
    }

    /// Puts a configuration in force if it is newer.
    pub fn take_catalog(&self, catalog: Catalog, from: Teller) -> bool {
        let mut state = self.state.borrow_mut();
        let newer =
            |old: &Rc<Catalog>| catalog.revision > old.revision && catalog.version > old.version;
        if !state.catalog.as_ref().is_none_or(newer) {
            return false;
        }
        let (from, address) = match from {
            Teller::Store => ("store", String::new()),
            Teller::Entry(address) => ("entry", address.to_string()),
        };
        let before = state.confirmed.age(self.now()).unwrap_or_default();
        self.log.process(
            Kind::CatalogTaken,
            &[
                ("version", catalog.version.0.into()),
                ("revision", catalog.revision.into()),
                ("from", from.into()),
                ("address", address.as_str().into()),
                ("age_ms", before.as_millis().into()),
            ],
        );
        state.adopt(catalog, &self.setup, self.now());
        self.news.notify_waiters();
        true
    }

    /// Notes when what the entry knows gets too old, and when it is confirmed again.
    pub(crate) fn note_age(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(age) = state.confirmed.age(now) else { return };
        let stale = age > self.setup.apply;
        if std::mem::replace(&mut state.stale, stale) != stale {
            let kind = if stale { Kind::Stale } else { Kind::Confirmed };
            let version = state.catalog.as_ref().map_or(0, |catalog| catalog.version.0);
            self.log
                .process(kind, &[("age_ms", age.as_millis().into()), ("version", version.into())]);
        }
    }

    /// Carries out changes of the list of servers.
    pub fn take_changes(&self, changes: Vec<FleetChange>) {
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
                    state.forget(&replica.id);
                    state.add(replica, &self.setup);
                }
                FleetChange::Leaving(id) => {
                    self.log.process(Kind::ServerLeaving, &[("server", id.as_str().into())]);
                    pools.extend(state.forget(&id));
                }
                FleetChange::Removed(id) => {
                    self.log.process(Kind::ServerGone, &[("server", id.as_str().into())]);
                    pools.extend(state.forget(&id));
                }
            }
        }
        let now = self.now();
        pools.iter().for_each(|pool| state.assign_pool(pool, &self.setup, now));
        self.news.notify_waiters();
    }

    /// Takes the list of all entries.
    pub fn take_entries(&self, mut entries: Vec<EntryInfo>) {
        entries.sort();
        entries.dedup_by(|a, b| a.name == b.name);
        let mut state = self.state.borrow_mut();
        if state.entries == entries {
            return;
        }
        self.log.process(Kind::Entries, &[("entries", (entries.len() as u64).into())]);
        state.entries = entries;
        state.assign_owners(&self.setup, self.now());
        self.news.notify_waiters();
    }

    /// Takes entries that are listed, and keeps those that are not.
    pub(crate) fn add_entries(&self, mut entries: Vec<EntryInfo>) {
        let known = self.state.borrow().entries.clone();
        let missing = |old: &EntryInfo| !entries.iter().any(|entry| entry.name == old.name);
        let kept: Vec<_> = known.into_iter().filter(missing).collect();
        entries.extend(kept);
        self.take_entries(entries);
    }

    /// An entry did not answer: others own its servers for a while, in the view of this entry.
    pub(crate) fn suspect(&self, name: &str) {
        let until = self.now() + SUSPECT;
        let mut state = self.state.borrow_mut();
        if state.suspects.insert(name.to_owned(), until).is_none() {
            state.assign_owners(&self.setup, self.now());
        }
    }

    /// Trusts entries again whose time has passed.
    pub(crate) fn trust_again(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let before = state.suspects.len();
        state.suspects.retain(|_, until| *until > now);
        if state.suspects.len() < before {
            state.assign_owners(&self.setup, self.now());
        }
    }

    /// Time since the first try of a route's caller that will wait this long; zero if it may come first.
    pub(crate) fn since_first_try(&self, route: &str, wait: Span) -> Span {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let calm = state.refused.is_none_or(|at| now.since(at) > RETURNS);
        if !state.waits.contains_key(route) {
            state.waits.insert(route.to_owned(), ReturnDetector::default());
        }
        let Some(tries) = state.waits.get_mut(route) else { return Span::ZERO };
        tries.observe(wait, calm);
        tries.elapsed_since_first(wait)
    }

    /// A connection to a server, kept or new.
    pub(crate) async fn connection(&self, server: &Replica) -> Result<Conn, HttpError> {
        let kept = self.state.borrow_mut().idle.get_mut(&server.id).and_then(IdleConns::take);
        if let Some(conn) = kept {
            return Ok(conn);
        }
        self.metrics.connections.add(1, &[]);
        Conn::connect(server.address, CONNECT).await
    }

    /// Keeps a connection for the next request if it can be used again.
    pub(crate) fn keep(&self, server: &ServerId, conn: Conn) {
        let mut state = self.state.borrow_mut();
        let known = state.fleet.get(server).is_some_and(|replica| !replica.leaving);
        if known {
            state.idle.entry(server.clone()).or_default().keep(conn, IDLE_MAX);
        }
    }

    /// All metrics as text, with what the entry believes now.
    pub(crate) fn metrics_text(&self) -> Result<Vec<u8>, MetricsError> {
        let state = self.state.borrow();
        let servers = state.placers.iter().map(|(pool, placer)| (pool.as_str(), placer.len()));
        let staged = state.batchers.iter().map(|(pool, batcher)| (pool.as_str(), batcher.len()));
        self.metrics.believes(&Beliefs {
            servers: servers.map(|(pool, n)| (pool, n as u64)).collect(),
            waiting: staged.map(|(pool, n)| (pool, n as u64)).collect(),
            entries: state.entries.len() as u64,
            suspects: state.suspects.len() as u64,
            version: state.catalog.as_ref().map_or(0, |catalog| catalog.version.0),
            current: state.current,
            age: state.confirmed.age(self.now()).map(Span::as_secs_f64),
            active: state.active as u64,
        });
        self.metrics.text()
    }

    /// Takes a repeat from a pool's budget.
    pub(crate) fn withdraw(&self, pool: &PoolId) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let entries = match state.entries.len() {
            0 => ENTRIES_ASSUMED,
            n => n,
        };
        let allowed = state.budgets.get_mut(pool).is_some_and(|b| b.try_withdraw(now, entries));
        if !allowed {
            self.metrics.unfunded.add(1, &[]);
        }
        allowed
    }
}

impl State {
    /// The configuration that requests are served by.
    pub(crate) fn in_force(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref().filter(|_| self.settled)
    }

    fn adopt(&mut self, catalog: Catalog, setup: &Setup, now: Time) {
        let named =
            |name: &String| catalog.hosts.values().flatten().any(|route| route.name == *name);
        self.waits.retain(|name, _| named(name));
        self.catalog = Some(Rc::new(catalog));
        let known: Vec<_> = self.fleet.replicas().filter(|r| !r.leaving).cloned().collect();
        for replica in known {
            self.add(replica, setup);
        }
        self.assign_owners(setup, now);
    }

    /// Adds a server to its pool, unless it is there.
    fn add(&mut self, replica: Replica, setup: &Setup) {
        let Some(catalog) = self.catalog.clone() else { return };
        let Some(pool) = catalog.pools.get(&replica.pool) else { return };
        let engine = matches!(pool.work, Work::Engine { .. });
        let usual = if engine { USUAL_ENGINE } else { USUAL_PLAIN };
        let budget =
            || WindowBudget::new(setup.repeat_ratio, setup.repeat_slack, setup.repeat_window);
        self.budgets.entry(replica.pool.clone()).or_insert_with(budget);
        let placer = self
            .placers
            .entry(replica.pool.clone())
            .or_insert_with(|| Placer::new(setup.entry.zone.clone(), engine, usual));
        placer.add(replica);
    }

    /// Gives a server no new work, and closes its idle connections. Tells its pool.
    fn forget(&mut self, id: &ServerId) -> Option<PoolId> {
        self.idle.remove(id);
        let (pool, placer) = self.placers.iter_mut().find(|(_, placer)| placer.contains(id))?;
        placer.remove(id);
        Some(pool.clone())
    }

    /// Computes the owners of all stage pools again.
    fn assign_owners(&mut self, setup: &Setup, now: Time) {
        let Some(catalog) = self.catalog.clone() else { return };
        catalog.pools.keys().for_each(|pool| self.assign_pool(pool, setup, now));
    }

    /// Computes the owners of one pool again, if it is a stage's.
    fn assign_pool(&mut self, id: &PoolId, setup: &Setup, now: Time) {
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(id));
        let Some(Work::Pieces(spec)) = pool.map(|pool| &pool.work) else { return };
        let spec = *spec;
        let usable = |replica: &&Replica| replica.pool == *id && !replica.leaving;
        let servers: Vec<Replica> = self.fleet.replicas().filter(usable).cloned().collect();
        let blank = || Owners::new(setup.entry.clone(), spec);
        let owners = self.owners.entry(id.clone()).or_insert_with(blank);
        owners.set_spec(spec);
        let mine = owners.assign(id, &self.entries, &self.suspects, &servers);
        let batcher = self.batchers.entry(id.clone()).or_insert_with(|| Batcher::new(spec));
        batcher.set_spec(spec);
        batcher.set_servers(now, &mine);
        let moved = if mine.is_empty() { batcher.drain() } else { Vec::new() };
        moved.into_iter().for_each(|piece| self.miss(piece, Miss::Moved));
    }

    /// Tells who waits for a piece that there is no result. Nobody may wait any more.
    pub(crate) fn miss(&mut self, id: PieceId, miss: Miss) {
        if let Some(waiter) = self.waiters.remove(&id) {
            waiter.fail(miss);
        }
    }
}
