//! Which bundle version is in force on a node, and what to ask of whom.
//!
//! Nodes learn of versions in three ways: the two entries with the highest rendezvous hash of each
//! zone watch the store, every node polls it at long random intervals, and every message between nodes
//! carries its sender's version. Whoever learns of a higher version pulls it from where it was shown
//! and then shows it on its own connections.

use crate::Rng;
use crate::ids::{Incarnation, InstanceId, Version};
use crate::retry::Backoff;
use crate::time::{Span, Time};
use rand_core::Rng as _;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time without progress after which a pull is given up. The store answers in 50 ms at most.
const PULL_TIMEOUT: Span = Span::from_millis(500);
/// Doublings of the pull timeout after failures in a row, for sources that are slow rather than dead.
const PULL_DOUBLINGS_MAX: u32 = 3;
/// Time after which a poll is given up.
const POLL_TIMEOUT: Span = Span::from_secs(2);
/// First delay after a failed poll or watch.
const STORE_RETRY_MIN: Span = Span::from_secs(1);
/// Longest delay after a failed poll or watch. With 1,000 nodes it keeps the calls after an outage
/// below 10% of what the store takes.
const STORE_RETRY_MAX: Span = Span::from_secs(60);
/// Time that a starting node gives its peers to connect when the store is down.
const PEER_WAIT: Span = Span::from_secs(1);
/// Entries of a zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// Seed of the rendezvous hash.
const WATCHER_HASH_SEED: u64 = 0x6461_6d61_736b_7765;

/// A source of manifests and sections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's store.
    Store,
    /// A peer process.
    Peer(Incarnation),
}

/// What the node must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochAction {
    /// Pull the manifest and the missing sections of this version or a higher one.
    Pull(Source, Version),
    /// Read the manifest from the store, and report `advertised` and `polled`, or `poll_failed`.
    Poll,
    /// Open a watch on the store, and report what it shows, or `watch_failed` when it ends.
    Watch,
    /// Close the watch.
    Unwatch,
}

/// Settings of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EpochSettings {
    /// Mean time between polls of the store.
    pub poll_interval: Span,
}

impl EpochSettings {
    /// An entry polls once a minute: 630 entries make 10.5 reads/s.
    pub const ENTRY: Self = Self { poll_interval: Span::from_secs(60) };
    /// A side hears from its entries and polls every ten minutes: 11,000 sides make 18 reads/s.
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
    /// Opens again at this time.
    RetryAt(Time),
}

/// A node's view of bundle versions.
#[derive(Clone, Debug)]
pub struct Epoch {
    settings: EpochSettings,
    /// Identifies this node in the choice among equal peers.
    salt: u64,
    started: Time,
    /// Never decreases.
    current: Version,
    /// Highest version that each source showed, above `current` only.
    advertised: BTreeMap<Source, Version>,
    /// Peers that are connected.
    peers: BTreeMap<Incarnation, Version>,
    pull: Option<Pull>,
    /// Pulls that failed in a row.
    failures: u32,
    next_poll: Time,
    poll_deadline: Option<Time>,
    poll_backoff: Backoff,
    watching: WatchState,
    watch_backoff: Backoff,
    /// A poll or watch succeeded in this run.
    store_reached: bool,
    /// The last poll failed.
    store_down: bool,
    /// Peers had `PEER_WAIT` to connect.
    wait_over: bool,
    /// Never unset.
    ready: bool,
}

impl Default for Epoch {
    fn default() -> Self {
        Self::new(Time(0), Incarnation(0), EpochSettings::default())
    }
}

impl Epoch {
    /// A node without a bundle, that polls the store on its first tick.
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

    /// The version in force; zero before the first.
    pub fn current(&self) -> Version {
        self.current
    }

    /// Whether the node may take work: it has a bundle, and has caught up with the store, or with all
    /// peers that it reached when the store is down.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Highest version that was shown and is not in force yet.
    pub fn pending(&self) -> Option<Version> {
        self.advertised.values().max().copied()
    }

    /// The source and version that are being pulled. Nothing else is accepted.
    pub fn pulling(&self) -> Option<(Source, Version)> {
        self.pull.map(|pull| (pull.source, pull.version))
    }

    /// A source showed a version.
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

    /// A whole bundle with a valid signature arrived. True if it goes into force.
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

    /// A part of what is being pulled arrived.
    pub fn progress(&mut self, now: Time) {
        let timeout = self.pull_timeout();
        if let Some(pull) = &mut self.pull {
            pull.deadline = now + timeout;
        }
    }

    /// A pull failed or brought something invalid; the source is forgotten until it shows again.
    pub fn source_failed(&mut self, now: Time, source: Source) -> Option<EpochAction> {
        self.advertised.remove(&source);
        if self.pull.is_some_and(|pull| pull.source == source) {
            self.pull = None;
            self.failures = (self.failures + 1).min(PULL_DOUBLINGS_MAX);
        }
        self.update_ready();
        self.start_pull(now)
    }

    /// A peer connected. What it shows is reported by `advertised`.
    pub fn connected(&mut self, peer: Incarnation) {
        self.peers.entry(peer).or_default();
    }

    /// A peer's connection closed.
    pub fn disconnected(&mut self, now: Time, peer: Incarnation) -> Option<EpochAction> {
        self.peers.remove(&peer);
        self.source_failed(now, Source::Peer(peer))
    }

    /// The store answered a poll. A version that it holds was reported by `advertised` before.
    pub fn polled(&mut self, now: Time, rng: &mut Rng) {
        self.poll_deadline = None;
        self.store_reached = true;
        self.store_down = false;
        self.poll_backoff = Backoff::new(STORE_RETRY_MIN, STORE_RETRY_MAX);
        // Without a bundle there is nothing to serve with, so the first one is awaited at a higher
        // rate. That ends with the first approval of a deployment.
        self.next_poll = if self.current == Version::default() && self.advertised.is_empty() {
            now + self.poll_backoff.next_delay(rng)
        } else {
            now + self.poll_delay(rng)
        };
        self.update_ready();
    }

    /// A poll failed.
    pub fn poll_failed(&mut self, now: Time, rng: &mut Rng) {
        self.poll_deadline = None;
        self.store_down = true;
        self.next_poll = now + self.poll_backoff.next_delay(rng);
        self.update_ready();
    }

    /// The watch showed something, even if no new version.
    pub fn watched(&mut self) {
        self.watch_backoff = Backoff::new(STORE_RETRY_MIN, STORE_RETRY_MAX);
    }

    /// The watch ended or could not be opened.
    pub fn watch_failed(&mut self, now: Time, rng: &mut Rng) {
        if self.watching == WatchState::Open {
            self.watching = WatchState::RetryAt(now + self.watch_backoff.next_delay(rng));
        }
    }

    /// The live entries of the zone changed, or this node's place among them. Only entries call this.
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

    /// Carries out what is due.
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
        // A version may have been shown while another one was pulled.
        actions.extend(self.start_pull(now));
        self.update_ready();
        actions
    }

    /// When `tick` has something to do.
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
        // Uniform between half and one and a half of the mean, so that nodes don't fall into step.
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

    /// The highest version is pulled first. Among equals a peer is preferred to the store, and each
    /// node prefers another peer, so that the first to have a version is not asked by all.
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

/// Whether an entry is one of those that watch the store, given the live entries of its zone. Entries
/// whose lists differ for a while may watch both or neither; the polls cover the latter.
pub fn is_watcher<'a>(me: &InstanceId, live: impl IntoIterator<Item = &'a InstanceId>) -> bool {
    let rank = |id: &InstanceId| {
        (xxh3_64_with_seed(id.as_str().as_bytes(), WATCHER_HASH_SEED), id.clone())
    };
    let mine = rank(me);
    live.into_iter().filter(|other| *other != me && rank(other) > mine).count() < WATCHERS_PER_ZONE
}
