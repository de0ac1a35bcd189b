//! Distribution of bundle versions: which version is current on a node, and when and from where to
//! pull a newer one.
//!
//! Nodes learn of versions in three ways: in each zone the two entries with the highest rendezvous
//! hash watch the store, every node polls the store at long random intervals, and every message
//! between nodes carries the sender's version. A node that learns of a higher version pulls it from
//! the source that advertised it and then advertises it on its own connections.

use crate::Rng;
use crate::ids::{Incarnation, InstanceId, Version};
use crate::retry::Backoff;
use crate::time::{Span, Time};
use rand_core::Rng as _;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time without progress after which a pull is abandoned. The store answers within 50 ms.
const PULL_TIMEOUT: Span = Span::from_millis(500);
/// Maximum doublings of the pull timeout after consecutive failures, which allow for sources that
/// are slow rather than dead.
const PULL_DOUBLINGS_MAX: u32 = 3;
/// Time after which an unanswered poll counts as failed.
const POLL_TIMEOUT: Span = Span::from_secs(2);
/// Initial backoff after a failed poll or watch.
const STORE_RETRY_MIN: Span = Span::from_secs(1);
/// Maximum backoff after a failed poll or watch. With 1,000 nodes it keeps the call rate after an
/// outage below 10% of the store's capacity.
const STORE_RETRY_MAX: Span = Span::from_secs(60);
/// Time that a starting node waits for peers to connect when the store is down.
const PEER_WAIT: Span = Span::from_secs(1);
/// Number of entries per zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// Seed of the rendezvous hash that selects the watchers.
const WATCHER_HASH_SEED: u64 = 0x6461_6d61_736b_7765;

/// Where manifests and sections can be pulled from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's store.
    Store,
    /// A peer process.
    Peer(Incarnation),
}

/// Action for the caller to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochAction {
    /// Pull the manifest and the missing sections of this version or a higher one.
    Pull(Source, Version),
    /// Read the manifest from the store, then call `advertised` and `polled`, or `poll_failed`.
    Poll,
    /// Open a watch on the store. Report its events with `watched` and `advertised`, and its end
    /// with `watch_failed`.
    Watch,
    /// Close the watch.
    Unwatch,
}

/// Settings of an [`Epoch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EpochSettings {
    /// Mean time between polls of the store.
    pub poll_interval: Span,
}

impl EpochSettings {
    /// Entries poll once a minute: 630 entries cause 10.5 reads/s.
    pub const ENTRY: Self = Self { poll_interval: Span::from_secs(60) };
    /// Sidecars learn of versions from their entries and poll only every ten minutes: 11,000 sidecars
    /// cause 18 reads/s.
    pub const SIDE: Self = Self { poll_interval: Span::from_secs(600) };
}

impl Default for EpochSettings {
    fn default() -> Self {
        Self::ENTRY
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pull {
    source: Source,
    version: Version,
    deadline: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    Closed,
    Open,
    /// Failed; to be reopened at this time.
    RetryAt(Time),
}

/// Tracks the bundle versions that a node has and has heard of, and schedules pulls and polls.
#[derive(Clone, Debug)]
pub struct Epoch {
    settings: EpochSettings,
    /// Hash seed that makes each node prefer a different peer among equals.
    salt: u64,
    started: Time,
    /// Never decreases.
    current: Version,
    /// Highest version that each source advertised; only versions above `current`.
    advertised: BTreeMap<Source, Version>,
    /// Connected peers and the highest version that each advertised.
    peers: BTreeMap<Incarnation, Version>,
    pull: Option<Pull>,
    /// Consecutive failed pulls, up to `PULL_DOUBLINGS_MAX`.
    failures: u32,
    next_poll: Time,
    poll_deadline: Option<Time>,
    poll_backoff: Backoff,
    watching: WatchState,
    watch_backoff: Backoff,
    /// Whether a poll has succeeded since the process started.
    store_reached: bool,
    /// Whether the last poll failed.
    store_down: bool,
    /// Whether `PEER_WAIT` has passed since the start.
    wait_over: bool,
    /// Never goes back to false.
    ready: bool,
}

impl Default for Epoch {
    fn default() -> Self {
        Self::new(Time(0), Incarnation(0), EpochSettings::default())
    }
}

impl Epoch {
    /// Creates the state of a node that has no bundle and polls the store on its first tick.
    pub fn new(now: Time, me: Incarnation, settings: EpochSettings) -> Self {
        Self {
            settings,
            salt: me.0,
            started: now,
            current: Version::default(),
            advertised: BTreeMap::new(),
            peers: BTreeMap::new(),
            pull: None,
            failures: 0,
            next_poll: now,
            poll_deadline: None,
            poll_backoff: Backoff::new(STORE_RETRY_MIN, STORE_RETRY_MAX),
            watching: WatchState::Closed,
            watch_backoff: Backoff::new(STORE_RETRY_MIN, STORE_RETRY_MAX),
            store_reached: false,
            store_down: false,
            wait_over: false,
            ready: false,
        }
    }

    /// The installed version; zero before the first installation.
    pub fn current(&self) -> Version {
        self.current
    }

    /// Whether the node may accept work: it has a bundle and has caught up with the store or, when
    /// the store is down, with all connected peers.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Highest advertised version that is not yet installed.
    pub fn pending(&self) -> Option<Version> {
        self.advertised.values().max().copied()
    }

    /// The source and version of the pull in progress. Data from anywhere else is not accepted.
    pub fn pulling(&self) -> Option<(Source, Version)> {
        self.pull.map(|pull| (pull.source, pull.version))
    }

    /// Records that a source advertised a version.
    pub fn advertised(
        &mut self,
        now: Time,
        source: Source,
        version: Version,
    ) -> Option<EpochAction> {
        if let Source::Peer(peer) = source
            && let Some(known) = self.peers.get_mut(&peer)
        {
            *known = version.max(*known);
        }
        if version <= self.current {
            self.update_ready();
            return None;
        }
        let known = self.advertised.entry(source).or_insert(version);
        *known = version.max(*known);
        self.start_pull(now)
    }

    /// Installs a complete bundle with a valid signature. Returns false if it is not newer than the
    /// current version.
    pub fn install(&mut self, version: Version) -> bool {
        self.pull = None;
        self.failures = 0;
        let higher = version > self.current;
        if higher {
            self.current = version;
            self.advertised.retain(|_, advertised| *advertised > version);
        }
        self.update_ready();
        higher
    }

    /// Extends the pull timeout because a part of the bundle arrived.
    pub fn progress(&mut self, now: Time) {
        let timeout = self.pull_timeout();
        if let Some(pull) = &mut self.pull {
            pull.deadline = now + timeout;
        }
    }

    /// Drops a source whose pull failed or returned invalid data, until it advertises a version
    /// again.
    pub fn source_failed(&mut self, now: Time, source: Source) -> Option<EpochAction> {
        self.advertised.remove(&source);
        if self.pull.is_some_and(|pull| pull.source == source) {
            self.pull = None;
            self.failures = (self.failures + 1).min(PULL_DOUBLINGS_MAX);
        }
        self.update_ready();
        self.start_pull(now)
    }

    /// Records that a peer connected. Its version is reported through `advertised`.
    pub fn connected(&mut self, peer: Incarnation) {
        self.peers.entry(peer).or_default();
    }

    /// Records that a peer's connection closed.
    pub fn disconnected(&mut self, now: Time, peer: Incarnation) -> Option<EpochAction> {
        self.peers.remove(&peer);
        self.source_failed(now, Source::Peer(peer))
    }

    /// Records that the store answered a poll. The caller reports the version that the store holds
    /// through `advertised` first.
    pub fn polled(&mut self, now: Time, rng: &mut Rng) {
        self.poll_deadline = None;
        self.store_reached = true;
        self.store_down = false;
        self.poll_backoff = Backoff::new(STORE_RETRY_MIN, STORE_RETRY_MAX);
        // A node without a bundle cannot serve, so it polls at a higher rate until the first bundle
        // of the deployment is approved.
        self.next_poll = if self.current == Version::default() && self.advertised.is_empty() {
            now + self.poll_backoff.next_delay(rng)
        } else {
            now + self.poll_delay(rng)
        };
        self.update_ready();
    }

    /// Records that a poll failed.
    pub fn poll_failed(&mut self, now: Time, rng: &mut Rng) {
        self.poll_deadline = None;
        self.store_down = true;
        self.next_poll = now + self.poll_backoff.next_delay(rng);
        self.update_ready();
    }

    /// Resets the watch backoff because the watch delivered an event, even without a new version.
    pub fn watched(&mut self) {
        self.watch_backoff = Backoff::new(STORE_RETRY_MIN, STORE_RETRY_MAX);
    }

    /// Schedules reopening after the watch ended or could not be opened.
    pub fn watch_failed(&mut self, now: Time, rng: &mut Rng) {
        if self.watching == WatchState::Open {
            self.watching = WatchState::RetryAt(now + self.watch_backoff.next_delay(rng));
        }
    }

    /// Sets whether this node watches the store; see [`is_watcher`]. Only entries call this, whenever
    /// the live entries of their zone change.
    pub fn set_watcher(&mut self, watcher: bool) -> Option<EpochAction> {
        match (watcher, self.watching) {
            (true, WatchState::Closed) => {
                self.watching = WatchState::Open;
                Some(EpochAction::Watch)
            }
            (false, WatchState::Open) => {
                self.watching = WatchState::Closed;
                Some(EpochAction::Unwatch)
            }
            (false, WatchState::RetryAt(_)) => {
                self.watching = WatchState::Closed;
                None
            }
            _ => None,
        }
    }

    /// Handles expired timers and returns the actions that are due.
    pub fn tick(&mut self, now: Time, rng: &mut Rng) -> Vec<EpochAction> {
        let mut actions = Vec::new();
        self.wait_over |= now.since(self.started) >= PEER_WAIT;
        if let Some(pull) = self.pull
            && now >= pull.deadline
        {
            actions.extend(self.source_failed(now, pull.source));
        }
        if self.poll_deadline.is_some_and(|deadline| now >= deadline) {
            self.poll_failed(now, rng);
        }
        if self.poll_deadline.is_none() && now >= self.next_poll {
            self.poll_deadline = Some(now + POLL_TIMEOUT);
            actions.push(EpochAction::Poll);
        }
        if let WatchState::RetryAt(at) = self.watching
            && now >= at
        {
            self.watching = WatchState::Open;
            actions.push(EpochAction::Watch);
        }
        // Another version may have been advertised during the last pull.
        actions.extend(self.start_pull(now));
        self.update_ready();
        actions
    }

    /// When `tick` must be called next.
    pub fn next_tick(&self) -> Time {
        let watch = match self.watching {
            WatchState::RetryAt(at) => Some(at),
            WatchState::Closed | WatchState::Open => None,
        };
        let peer_wait = (!self.wait_over).then(|| self.started + PEER_WAIT);
        if self.pull.is_none() && !self.advertised.is_empty() {
            return self.started;
        }
        let poll = self.poll_deadline.unwrap_or(self.next_poll);
        let pull = self.pull.map(|pull| pull.deadline);
        [watch, peer_wait, pull].into_iter().flatten().fold(poll, Time::min)
    }

    fn poll_delay(&self, rng: &mut Rng) -> Span {
        // Uniform between 0.5 and 1.5 times the mean, so that polls of different nodes don't
        // synchronize.
        Span(
            self.settings.poll_interval.0 / 2
                + rng.next_u64() % self.settings.poll_interval.0.max(1),
        )
    }

    fn pull_timeout(&self) -> Span {
        PULL_TIMEOUT * (1 << self.failures)
    }

    fn update_ready(&mut self) {
        let caught_up = self.current > Version::default() && self.advertised.is_empty();
        let from_peers = self.store_down
            && !self.peers.is_empty()
            && self.peers.values().all(|advertised| *advertised <= self.current)
            && self.wait_over;
        self.ready |= caught_up && (self.store_reached || from_peers);
    }

    /// Starts pulling the highest advertised version. Among sources of the same version, peers are
    /// preferred to the store, and each node ranks the peers differently, so that the first node with
    /// a new version is not asked by all others.
    fn start_pull(&mut self, now: Time) -> Option<EpochAction> {
        if self.pull.is_some() {
            return None;
        }
        let rank = |source: &Source| match source {
            Source::Store => 0,
            Source::Peer(peer) => xxh3_64_with_seed(&peer.0.to_le_bytes(), self.salt) | 1,
        };
        let (source, version) =
            self.advertised.iter().max_by_key(|(source, version)| (**version, rank(source)))?;
        let (source, version) = (*source, *version);
        self.pull = Some(Pull { source, version, deadline: now + self.pull_timeout() });
        Some(EpochAction::Pull(source, version))
    }
}

/// Whether an entry is one of those that watch the store, given the live entries of its zone. While
/// the entries' lists differ, there may be too many watchers or none; polling covers the latter.
pub fn is_watcher<'a>(me: &InstanceId, live: impl IntoIterator<Item = &'a InstanceId>) -> bool {
    let rank = |id: &InstanceId| {
        (xxh3_64_with_seed(id.as_str().as_bytes(), WATCHER_HASH_SEED), id.clone())
    };
    let mine = rank(me);
    live.into_iter().filter(|other| *other != me && rank(other) > mine).count() < WATCHERS_PER_ZONE
}
