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
const PULL_DOUBLINGS: u32 = 3;
/// Time after which a poll is given up.
const POLL_TIMEOUT: Span = Span::from_secs(2);
/// First delay after a failed poll or watch.
const STORE_BASE: Span = Span::from_secs(1);
/// Longest delay after a failed poll or watch. With 1,000 nodes it keeps the calls after an outage
/// below 10% of what the store takes.
const STORE_CAP: Span = Span::from_secs(60);
/// Time that a starting node gives its peers to connect when the store is down.
const CATCH_UP: Span = Span::from_secs(1);
/// Entries of a zone that watch the store.
const WATCHERS: usize = 2;
/// Seed of the rendezvous hash.
const WATCH_SEED: u64 = 0x6461_6d61_736b_7765;

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
    /// Read the manifest from the store, and report `shown` and `polled`, or `poll_failed`.
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
    pub poll: Span,
}

impl EpochSettings {
    /// An entry polls once a minute: 630 entries make 10.5 reads/s.
    pub const ENTRY: Self = Self { poll: Span::from_secs(60) };
    /// A side hears from its entries and polls every ten minutes: 11,000 sides make 18 reads/s.
    pub const SIDE: Self = Self { poll: Span::from_secs(600) };
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
    until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watching {
    No,
    Open,
    /// Opens again at this time.
    Failed(Time),
}

/// A node's view of bundle versions.
#[derive(Clone, Debug)]
pub struct Epoch {
    settings: EpochSettings,
    /// Identifies this node in the choice among equal peers.
    salt: u64,
    started: Time,
    /// Never decreases.
    force: Version,
    /// Highest version that each source showed, above `force` only.
    shown: BTreeMap<Source, Version>,
    /// Peers that are connected.
    peers: BTreeMap<Incarnation, Version>,
    pull: Option<Pull>,
    /// Pulls that failed in a row.
    fails: u32,
    next_poll: Time,
    polling: Option<Time>,
    backoff: Backoff,
    watching: Watching,
    watch_backoff: Backoff,
    /// A poll or watch succeeded in this run.
    store_seen: bool,
    /// The last poll failed.
    store_down: bool,
    /// Peers had `CATCH_UP` to connect.
    waited: bool,
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
            force: Version::default(),
            shown: BTreeMap::new(),
            peers: BTreeMap::new(),
            pull: None,
            fails: 0,
            next_poll: now,
            polling: None,
            backoff: Backoff::new(STORE_BASE, STORE_CAP),
            watching: Watching::No,
            watch_backoff: Backoff::new(STORE_BASE, STORE_CAP),
            store_seen: false,
            store_down: false,
            waited: false,
            ready: false,
        }
    }

    /// The version in force; zero before the first.
    pub fn force(&self) -> Version {
        self.force
    }

    /// Whether the node may take work: it has a bundle, and has caught up with the store, or with all
    /// peers that it reached when the store is down.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Highest version that was shown and is not in force yet.
    pub fn wanted(&self) -> Option<Version> {
        self.shown.values().max().copied()
    }

    /// The source and version that are being pulled. Nothing else is accepted.
    pub fn pulling(&self) -> Option<(Source, Version)> {
        self.pull.map(|pull| (pull.source, pull.version))
    }

    /// A source showed a version.
    pub fn shown(&mut self, now: Time, source: Source, version: Version) -> Option<EpochAction> {
        if let Source::Peer(peer) = source
            && let Some(known) = self.peers.get_mut(&peer)
        {
            *known = version.max(*known);
        }
        if version <= self.force {
            self.update();
            return None;
        }
        let known = self.shown.entry(source).or_insert(version);
        *known = version.max(*known);
        self.next_pull(now)
    }

    /// A whole bundle with a valid signature arrived. True if it goes into force.
    pub fn install(&mut self, version: Version) -> bool {
        self.pull = None;
        self.fails = 0;
        let higher = version > self.force;
        if higher {
            self.force = version;
            self.shown.retain(|_, shown| *shown > version);
        }
        self.update();
        higher
    }

    /// A part of what is being pulled arrived.
    pub fn progress(&mut self, now: Time) {
        let timeout = self.pull_timeout();
        if let Some(pull) = &mut self.pull {
            pull.until = now + timeout;
        }
    }

    /// A pull failed or brought something invalid; the source is forgotten until it shows again.
    pub fn failed(&mut self, now: Time, source: Source) -> Option<EpochAction> {
        self.shown.remove(&source);
        if self.pull.is_some_and(|pull| pull.source == source) {
            self.pull = None;
            self.fails = (self.fails + 1).min(PULL_DOUBLINGS);
        }
        self.update();
        self.next_pull(now)
    }

    /// A peer connected. What it shows is reported by `shown`.
    pub fn connected(&mut self, peer: Incarnation) {
        self.peers.entry(peer).or_default();
    }

    /// A peer's connection closed.
    pub fn disconnected(&mut self, now: Time, peer: Incarnation) -> Option<EpochAction> {
        self.peers.remove(&peer);
        self.failed(now, Source::Peer(peer))
    }

    /// The store answered a poll. A version that it holds was reported by `shown` before.
    pub fn polled(&mut self, now: Time, rng: &mut Rng) {
        self.polling = None;
        self.store_seen = true;
        self.store_down = false;
        self.backoff = Backoff::new(STORE_BASE, STORE_CAP);
        // Without a bundle there is nothing to serve with, so the first one is awaited at a higher
        // rate. That ends with the first approval of a deployment.
        self.next_poll = if self.force == Version::default() && self.shown.is_empty() {
            now + self.backoff.next_delay(rng)
        } else {
            now + self.jitter(rng)
        };
        self.update();
    }

    /// A poll failed.
    pub fn poll_failed(&mut self, now: Time, rng: &mut Rng) {
        self.polling = None;
        self.store_down = true;
        self.next_poll = now + self.backoff.next_delay(rng);
        self.update();
    }

    /// The watch showed something, even if no new version.
    pub fn watched(&mut self) {
        self.watch_backoff = Backoff::new(STORE_BASE, STORE_CAP);
    }

    /// The watch ended or could not be opened.
    pub fn watch_failed(&mut self, now: Time, rng: &mut Rng) {
        if self.watching == Watching::Open {
            self.watching = Watching::Failed(now + self.watch_backoff.next_delay(rng));
        }
    }

    /// The live entries of the zone changed, or this node's place among them. Only entries call this.
    pub fn set_watcher(&mut self, watcher: bool) -> Option<EpochAction> {
        match (watcher, self.watching) {
            (true, Watching::No) => {
                self.watching = Watching::Open;
                Some(EpochAction::Watch)
            }
            (false, Watching::Open) => {
                self.watching = Watching::No;
                Some(EpochAction::Unwatch)
            }
            (false, Watching::Failed(_)) => {
                self.watching = Watching::No;
                None
            }
            _ => None,
        }
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: Time, rng: &mut Rng) -> Vec<EpochAction> {
        let mut actions = Vec::new();
        self.waited |= now.since(self.started) >= CATCH_UP;
        if let Some(pull) = self.pull
            && now >= pull.until
        {
            actions.extend(self.failed(now, pull.source));
        }
        if self.polling.is_some_and(|until| now >= until) {
            self.poll_failed(now, rng);
        }
        if self.polling.is_none() && now >= self.next_poll {
            self.polling = Some(now + POLL_TIMEOUT);
            actions.push(EpochAction::Poll);
        }
        if let Watching::Failed(at) = self.watching
            && now >= at
        {
            self.watching = Watching::Open;
            actions.push(EpochAction::Watch);
        }
        // A version may have been shown while another one was pulled.
        actions.extend(self.next_pull(now));
        self.update();
        actions
    }

    /// When `tick` has something to do.
    pub fn next_tick(&self) -> Time {
        let watch = match self.watching {
            Watching::Failed(at) => Some(at),
            Watching::No | Watching::Open => None,
        };
        let catch_up = (!self.waited).then(|| self.started + CATCH_UP);
        if self.pull.is_none() && !self.shown.is_empty() {
            return self.started;
        }
        let poll = self.polling.unwrap_or(self.next_poll);
        let pull = self.pull.map(|pull| pull.until);
        [watch, catch_up, pull].into_iter().flatten().fold(poll, Time::min)
    }

    fn jitter(&self, rng: &mut Rng) -> Span {
        // Uniform between half and one and a half of the mean, so that nodes don't fall into step.
        Span(self.settings.poll.0 / 2 + rng.next_u64() % self.settings.poll.0.max(1))
    }

    fn pull_timeout(&self) -> Span {
        PULL_TIMEOUT * (1 << self.fails)
    }

    fn update(&mut self) {
        let caught_up = self.force > Version::default() && self.shown.is_empty();
        let from_peers = self.store_down
            && !self.peers.is_empty()
            && self.peers.values().all(|shown| *shown <= self.force)
            && self.waited;
        self.ready |= caught_up && (self.store_seen || from_peers);
    }

    /// The highest version is pulled first. Among equals a peer is preferred to the store, and each
    /// node prefers another peer, so that the first to have a version is not asked by all.
    fn next_pull(&mut self, now: Time) -> Option<EpochAction> {
        if self.pull.is_some() {
            return None;
        }
        let rank = |source: &Source| match source {
            Source::Store => 0,
            Source::Peer(peer) => xxh3_64_with_seed(&peer.0.to_le_bytes(), self.salt) | 1,
        };
        let (source, version) =
            self.shown.iter().max_by_key(|(source, version)| (**version, rank(source)))?;
        let (source, version) = (*source, *version);
        self.pull = Some(Pull { source, version, until: now + self.pull_timeout() });
        Some(EpochAction::Pull(source, version))
    }
}

/// Whether an entry is one of those that watch the store, given the live entries of its zone. Entries
/// whose lists differ for a while may watch both or neither; the polls cover the latter.
pub fn is_watcher<'a>(me: &InstanceId, live: impl IntoIterator<Item = &'a InstanceId>) -> bool {
    let rank =
        |id: &InstanceId| (xxh3_64_with_seed(id.as_str().as_bytes(), WATCH_SEED), id.clone());
    let mine = rank(me);
    live.into_iter().filter(|other| *other != me && rank(other) > mine).count() < WATCHERS
}
