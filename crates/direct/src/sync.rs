//! Keeps the configuration, the server list and the list of entries current. They come from the
//! store, or from other entries if this entry does not read the store or can't reach it.

use crate::http::{Conn, HttpError};
use crate::log::Kind;
use crate::node::{Node, UpdateSource};
use crate::quarantine;
use crate::snapshot::{KnownState, MAX_POLL_TIMEOUT, Poll, Snapshot, request_snapshot};
use crate::wire::{Lease, Source, SourceError, SourceErrorKind, Wire};
use damaskweir_core::fresh::Dataset;
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::quarantine::Ruling;
use damaskweir_core::revision::Revision;
use damaskweir_core::roster::{self, RosterMark};
use damaskweir_core::time::{Span, Time};
use damaskweir_core::tree::{parents, reads_store, start_relay_wait};
use futures::future::join_all;
use rand_core::Rng as _;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Interval between reads of server changes. Each call to the store is billed and servers write
/// often, so changes are batched. It is far below the time limit for a leaving server to get no
/// more work.
const LISTING_INTERVAL: Duration = Duration::from_millis(600);
/// Initial and longest delay after a failed call to the store.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));
/// Longest delay of a task or entry that relies on another one to detect that the store is back.
const PASSIVE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Interval between renewals of this entry's lease: a third of its lifetime.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Longest wait after the start for this entry to be registered and listed. After that an entry
/// without a list assumes that it reads the store.
const ANNOUNCE_TIMEOUT: Span = Span::from_millis(400);
/// Other entries that a starting entry asks for a later configuration than that of the store.
const MAX_CONSULTED: usize = 3;
/// Time after the start by which it serves the store's configuration without their answers.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(400);
/// Watch timeout of a starting entry, so short that the store answers at once.
const START_WATCH_TIMEOUT: Span = Span::from_millis(1);
/// Longest time for which another entry may hold a poll of a starting entry until there are
/// changes.
const START_POLL_TIMEOUT: Span = Span::from_millis(100);
/// Interval at which a starting entry checks whether it reads the store.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between polls of other entries while the store is unreachable.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Delay between a response and the next poll, so that changes are batched.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(40);
/// Time after the start in which an entry without a configuration polls other entries at the shorter interval.
/// They may have started at the same moment and have one soon.
const START_POLL_PERIOD: Span = Span::from_secs(3);
/// Watch timeout for the configuration, as a share of `NodeConfig::apply_limit`. In normal
/// operation the configuration gets as old as two watches, and the server list as old as two
/// watches and the interval between them.
const CATALOG_WATCH_SHARE: f64 = 0.3;
/// Watch timeout for servers, as a share of `NodeConfig::apply_limit`.
const SERVER_WATCH_SHARE: f64 = 0.15;
/// Age of the data at which an entry polls another peer, as a share of `NodeConfig::apply_limit`.
const SWITCH_PEER_SHARE: f64 = 0.7;
/// Age of the data at which an entry reads the store itself, as a share of
/// `NodeConfig::apply_limit`. The rest of the limit is for the call.
const READ_STORE_SHARE: f64 = 0.8;
/// Time after the store's recovery within which every entry has renewed its lease or registered
/// again: two renewal intervals.
const REANNOUNCE_PERIOD: Span = Span::from_secs(6);
/// Time over which entries spread their registrations after the store returned with an older state.
const REANNOUNCE_SPREAD_MS: u64 = 1_000;
/// Connect timeout for another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of the list of entries at which an entry asks others for it, or reads it itself. It exceeds
/// [`ENTRY_WATCH_TIMEOUT`] by the time in which a confirmation reaches all entries.
const LIST_AGE_LIMIT: Span = Span::from_secs(5);
/// Watch timeout for changes of the list of entries.
const ENTRY_WATCH_TIMEOUT: Span = Span::from_secs(3);
/// Timeout for the response of another entry, in addition to the time for which it may hold the
/// poll.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks for servers whose records are missing.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Returns how to wait after a failed read. A full read that needs another full read is repeated with a delay.
fn retry_kind(kind: SourceErrorKind, full_read: bool) -> SourceErrorKind {
    match kind {
        SourceErrorKind::Compacted if full_read => SourceErrorKind::Unavailable,
        kind => kind,
    }
}

/// Reachability of the store, according to the latest calls.
#[derive(Debug, Default)]
struct StoreContact {
    lost: Cell<bool>,
    /// Notified when the store responds again.
    restored: Notify,
}

/// The tasks that keep a node's data current, and their shared state.
pub struct Synchronizer<W, S> {
    node: Rc<Node<W>>,
    source: S,
    contact: StoreContact,
    /// Whether other entries were asked, after the start, for a later configuration than that of the store.
    consulted: Cell<bool>,
    /// Whether the store has confirmed the configuration since the start.
    catalog_confirmed: Cell<bool>,
    /// Addresses of other entries from the settings, for use before the list of entries is known.
    seeds: Vec<SocketAddr>,
    lease: Cell<Option<Lease>>,
    /// When this entry was last registered.
    announced_at: Cell<Option<Time>>,
    /// What other entries last sent, to request only changes.
    known: Cell<KnownState>,
    /// Notified after each attempt to register this entry or renew its lease.
    announced: Notify,
    /// Generation of the store in which its records of rulings were last read; 0 if it is unknown.
    rulings_generation: Cell<u64>,
    /// Consecutive polls that failed or returned nothing that the store confirmed recently.
    failed_polls: Cell<usize>,
    /// Idle connection to the entry that was polled last.
    peer_connection: Cell<Option<(SocketAddr, Conn)>>,
}

impl<W: Wire, S: Source> Synchronizer<W, S> {
    /// Creates a synchronizer that has read nothing yet.
    pub fn new(node: Rc<Node<W>>, source: S, seeds: Vec<SocketAddr>) -> Self {
        Self {
            node,
            source,
            contact: StoreContact::default(),
            consulted: Cell::default(),
            catalog_confirmed: Cell::default(),
            seeds,
            lease: Cell::default(),
            announced_at: Cell::default(),
            known: Cell::default(),
            announced: Notify::new(),
            rulings_generation: Cell::default(),
            failed_polls: Cell::default(),
            peer_connection: Cell::default(),
        }
    }

    /// Starts all tasks.
    pub fn start(self: &Rc<Self>) {
        let [a, b, c, d, e, f, g, h] = std::array::from_fn(|_| self.clone());
        tokio::task::spawn_local(async move { a.follow_catalog().await });
        tokio::task::spawn_local(async move { b.follow_servers().await });
        tokio::task::spawn_local(async move { c.follow_entries().await });
        tokio::task::spawn_local(async move { d.maintain_lease().await });
        tokio::task::spawn_local(async move { e.poll_peers().await });
        tokio::task::spawn_local(async move { f.expire().await });
        tokio::task::spawn_local(async move { g.save_rulings().await });
        tokio::task::spawn_local(async move { h.consult_peers().await });
    }

    /// Removes this entry's record, so that other entries learn that it is leaving.
    pub async fn withdraw(&self) {
        if let Some(lease) = self.lease.take() {
            let withdrawn = self.source.withdraw(&self.node.config.entry, &lease).await;
            self.record_call("withdraw", withdrawn.err().as_ref());
        }
    }

    async fn follow_catalog(&self) {
        let mut delay = RETRY_DELAYS.0;
        let mut after = None;
        // Whether the store has compacted the changes since the known revision.
        let mut compacted = false;
        loop {
            self.wait_to_read(true).await;
            // Checking whether relayed data has changed since is cheaper than a full read.
            let relayed = self.unservable_revision().filter(|_| !compacted);
            let wait = if relayed.is_some() {
                START_WATCH_TIMEOUT
            } else {
                self.apply_share(CATALOG_WATCH_SHARE)
            };
            if let Some(catalog) = relayed {
                // An entry of an earlier version relays the configuration without the evacuated zones, and
                // then a full read is needed.
                let zones = self.node.state.borrow().evacuations.as_of();
                after = zones.map(|zones| zones.min(catalog));
            }
            let (sent, full_read) = (self.node.now(), after.is_none());
            let wait = if full_read { Span::ZERO } else { wait };
            let read = match after {
                None => self.source.catalog().await,
                Some(after) => self.source.watch_catalog(after, wait).await,
            };
            self.record_watch("catalog", sent, wait, read.as_ref().err());
            match read {
                Ok(read) => {
                    delay = RETRY_DELAYS.0;
                    compacted = false;
                    after = Some(read.revision);
                    self.node.apply_zones(read.revision, &read.value.zones, full_read);
                    let held = if read.value.changed { Span::ZERO } else { wait };
                    self.confirm(Dataset::Catalog, sent, held);
                    if let Some(catalog) = read.value.catalog {
                        self.node.apply_catalog(catalog, UpdateSource::Store);
                    }
                    self.catalog_confirmed.set(true);
                    self.serve_confirmed();
                    if self.node.state.borrow().catalog.is_none() {
                        after = None;
                        sleep(RETRY_DELAYS.0).await;
                    }
                }
                Err(error) => {
                    // After an error a change may have been missed, so a full read is needed.
                    after = None;
                    compacted = error.kind() == SourceErrorKind::Compacted;
                    self.back_off(&mut delay, retry_kind(error.kind(), full_read)).await;
                }
            }
        }
    }

    async fn follow_servers(&self) {
        let mut after = None;
        loop {
            // After a wait, another entry has relayed changes, so a watch from the old revision
            // would repeat them.
            if self.wait_to_read(false).await {
                after = None;
            }
            let (sent, full_read) = (self.node.now(), after.is_none());
            let wait = if full_read { Span::ZERO } else { self.apply_share(SERVER_WATCH_SHARE) };
            let read = match after {
                None => self.source.listings().await,
                Some(after) => self.source.watch_listings(after, wait).await,
            };
            self.record_watch("servers", sent, wait, read.as_ref().err());
            match read {
                Ok(read) => {
                    after = Some(read.revision);
                    let held = if read.value.is_empty() { wait } else { Span::ZERO };
                    self.confirm(Dataset::Servers, sent, held);
                    let now = self.node.now();
                    let changes = {
                        let fleet = &mut self.node.state.borrow_mut().fleet;
                        if full_read {
                            fleet.replace(now, read.revision, &read.value)
                        } else {
                            fleet.apply(now, read.revision, &read.value)
                        }
                    };
                    self.node.apply_fleet_changes(changes, UpdateSource::Store);
                    sleep(LISTING_INTERVAL).await;
                }
                Err(error) => {
                    after = None;
                    self.wait_for_contact(retry_kind(error.kind(), full_read)).await;
                }
            }
        }
    }

    async fn follow_entries(&self) {
        // Wait for the registration, so that the first list includes this entry.
        let announced = self.announced.notified();
        drop(timeout(ANNOUNCE_TIMEOUT.into(), announced).await);
        loop {
            let sent = self.node.now();
            let read = self.source.registry().await;
            self.record_call("entries", read.as_ref().err());
            if let Ok(read) = &read {
                self.node.merge_ruling_records(&read.value.rulings);
                let generation = read.revision.generation;
                let before = self.rulings_generation.replace(generation);
                if (1..generation).contains(&before) && self.reads_store() {
                    self.node.restore_ruling_records(&read.value.rulings);
                }
            }
            let changed = match read {
                Ok(read) => match self.reannounce_wait() {
                    Some(_) => {
                        let entries = self.with_known(read.value.entries);
                        self.take_read_entries(entries, read.revision, sent);
                        self.wait_to_reannounce().await;
                        Ok(())
                    }
                    None => {
                        let mut entries = read.value.entries;
                        entries.sort();
                        let digest = roster::digest(&entries);
                        self.check_listed(&entries, sent);
                        if self.node.is_listed(&entries) {
                            self.take_read_entries(entries, read.revision, sent);
                        }
                        let changed = self.wait_for_entries(read.revision, digest).await;
                        changed.map_err(|error| (error, false))
                    }
                },
                Err(error) => Err((error, true)),
            };
            match changed {
                Ok(()) => sleep(LISTING_INTERVAL).await,
                Err((error, full_read)) => {
                    self.wait_for_contact(retry_kind(error.kind(), full_read)).await;
                }
            }
            self.wait_to_read_entries().await;
        }
    }

    /// Adds the known entries to a list that may lack those whose leases expired in an outage.
    fn with_known(&self, mut entries: Vec<EntryInfo>) -> Vec<EntryInfo> {
        let state = self.node.state.borrow();
        let missing = |old: &&EntryInfo| !entries.iter().any(|entry| entry.name == old.name);
        let retained: Vec<_> = state.roster.entries().iter().filter(missing).cloned().collect();
        entries.extend(retained);
        entries
    }

    /// Takes a list of entries that was read from the store by a call sent at `sent`, unless a later one is
    /// known.
    fn take_read_entries(&self, entries: Vec<EntryInfo>, as_of: Revision, sent: Time) {
        let (known, now) = (self.node.state.borrow().roster.as_of(), self.node.now());
        if as_of >= known {
            self.node.set_entries(entries, as_of, Some(now.since(sent)), "store");
        }
    }

    /// Writes own rulings to the store.
    async fn save_rulings(&self) {
        loop {
            let changed = self.node.rulings_changed.notified();
            let next = self.node.state.borrow_mut().unsaved_rulings.pop_first();
            let Some(part) = next else {
                changed.await;
                continue;
            };
            let told = self.node.state.borrow().quarantine.statement(self.node.now(), part);
            let quarantined = told.filter(|told| told.ruling != Ruling::Cleared);
            let saved = match quarantined {
                Some(told) => self.source.put_ruling(&told).await,
                None => self.source.remove_ruling(part).await,
            };
            self.record_call("ruling", saved.as_ref().err());
            if let Err(error) = saved {
                self.node.state.borrow_mut().unsaved_rulings.insert(part);
                sleep(RETRY_DELAYS.0).await;
                self.wait_for_contact(error.kind()).await;
            }
        }
    }

    /// Waits for a change of the list of entries after it was read with this digest, for as long as this entry
    /// reads the store.
    async fn wait_for_entries(&self, mut after: Revision, digest: u64) -> Result<(), S::Error> {
        while self.reads_store() {
            let sent = self.node.now();
            let read = self.source.watch_registry(after, ENTRY_WATCH_TIMEOUT).await?;
            if read.value {
                return Ok(());
            }
            after = read.revision;
            let now = self.node.now();
            let held = ENTRY_WATCH_TIMEOUT.min(now.since(sent));
            let Revision { generation, number: as_of } = after;
            let mark = RosterMark { as_of, generation, digest, age: Some(now.since(sent + held)) };
            self.node.state.borrow_mut().roster.confirm(now, &mark, Span::ZERO);
        }
        Ok(())
    }

    /// Records a response of the store to a call sent at `sent`. `held` is the least time for which
    /// the store held the call; it is zero if there was a change, since the store may then have
    /// answered at any moment.
    fn confirm(&self, subject: Dataset, sent: Time, held: Span) {
        let held = held.min(self.node.now().since(sent));
        self.node.state.borrow_mut().freshness.answered(subject, sent, held);
        self.node.changed.notify_waiters();
    }

    /// Returns a share of the time limit for applying changes.
    fn apply_share(&self, share: f64) -> Span {
        self.node.config.apply_limit.scale(share)
    }

    /// Returns the time until the age of the local data reaches a share of the apply limit.
    fn time_until_age(&self, share: f64) -> Span {
        let age = self.node.state.borrow().freshness.age(self.node.now());
        self.apply_share(share).saturating_sub(age.unwrap_or(Span(u64::MAX)))
    }

    /// Returns the time until all live entries have registered again after an outage in which
    /// leases may have expired, or after the store returned with an older state. Until then a missing
    /// record does not mean that an entry is gone.
    fn reannounce_wait(&self) -> Option<Duration> {
        let (returned, now) = (self.node.state.borrow().returned_at, self.node.now());
        let restored = returned.map(|at| REANNOUNCE_PERIOD.saturating_sub(now.since(at)));
        let remaining = self.outage_wait().max(restored.unwrap_or_default());
        (remaining > Span::ZERO).then(|| remaining.into())
    }

    /// Returns the time until entries have registered again after an outage of the store alone.
    fn outage_wait(&self) -> Span {
        let state = self.node.state.borrow();
        state.fleet.uptime.time_left(self.node.now(), REANNOUNCE_PERIOD)
    }

    /// Waits until entries have registered again, or until it is known that none had to.
    async fn wait_to_reannounce(&self) {
        while let Some(remaining) = self.reannounce_wait() {
            sleep(remaining.min(PEER_POLL_INTERVAL)).await;
        }
    }

    async fn maintain_lease(&self) {
        loop {
            if self.node.state.borrow().draining.is_some() {
                return;
            }
            match self.lease.get() {
                None => {
                    let announced = self.source.announce(&self.node.config.entry).await;
                    self.record_call("announce", announced.as_ref().err());
                    self.announced_at.set(announced.is_ok().then(|| self.node.now()));
                    self.lease.set(announced.ok());
                }
                Some(lease) => {
                    let renewed = self.source.renew_lease(&lease).await;
                    self.record_call("renew", renewed.as_ref().err());
                    if renewed.is_err_and(|error| error.kind() != SourceErrorKind::Unavailable) {
                        self.lease.set(None);
                        continue;
                    }
                }
            }
            self.announced.notify_waiters();
            match self.lease.get() {
                Some(lease) => self.wait_to_renew(&lease).await,
                None => self.wait_for_contact(SourceErrorKind::Unavailable).await,
            }
        }
    }

    /// Waits after a failed call, with exponential backoff. Only one task does this; it detects
    /// that the store responds again.
    async fn back_off(&self, delay: &mut Duration, kind: SourceErrorKind) {
        if kind == SourceErrorKind::Unavailable {
            sleep(*delay).await;
            let most = if self.reads_store() { RETRY_DELAYS.1 } else { PASSIVE_RETRY_DELAY };
            *delay = (*delay * 2).min(most);
        }
    }

    /// Waits after a failed call until another task has detected that the store responds again,
    /// because every call is billed, including rejected ones.
    async fn wait_for_contact(&self, kind: SourceErrorKind) {
        if kind == SourceErrorKind::Unavailable {
            sleep(RETRY_DELAYS.0).await;
            if self.contact.lost.get() {
                drop(timeout(PASSIVE_RETRY_DELAY, self.contact.restored.notified()).await);
            }
        }
    }

    /// Waits while another entry reads the store for this one or is about to: if every entry of a
    /// large fleet read everything at its start, the store could not serve any of them in time.
    /// Returns whether it had to wait. With `skip_unservable`, the call is for the configuration and the
    /// evacuated zones, and does not wait while the relayed configuration may not be served.
    async fn wait_to_read(&self, skip_unservable: bool) -> bool {
        let mut waited = false;
        loop {
            let now = self.node.now();
            let freshness = self.node.state.borrow().freshness;
            let relayed_age = match skip_unservable {
                true => freshness.relayed_catalog_age(now),
                false => freshness.relayed_age(now),
            };
            let (remaining, interval) = match relayed_age {
                Some(age) => {
                    (self.apply_share(READ_STORE_SHARE).saturating_sub(age), PEER_POLL_INTERVAL)
                }
                None => (
                    self.start_relay_wait().saturating_sub(now.since(Time::default())),
                    START_CHECK_INTERVAL,
                ),
            };
            let unservable = skip_unservable && self.unservable_revision().is_some();
            if remaining == Span::ZERO || self.reads_store() || unservable {
                return waited;
            }
            waited = true;
            sleep(interval.min(remaining.into())).await;
        }
    }

    /// Returns how long a starting entry waits for other entries to relay the store's data.
    fn start_relay_wait(&self) -> Span {
        start_relay_wait(self.node.state.borrow().roster.entries().len())
    }

    /// Waits while other entries relay the store's data and confirm the list of entries.
    async fn wait_to_read_entries(&self) {
        let old_list = async {
            while self.time_until_list_age() > Span::ZERO {
                sleep(PEER_POLL_INTERVAL.min(self.time_until_list_age().into())).await;
            }
        };
        tokio::select! {
            _ = self.wait_to_read(false) => {}
            () = old_list => {}
        }
    }

    /// Returns the time until nobody has confirmed the list of entries for too long.
    fn time_until_list_age(&self) -> Span {
        let age = self.node.state.borrow().roster.age(self.node.now());
        LIST_AGE_LIMIT.saturating_sub(age.unwrap_or_default())
    }

    /// Whether this entry is one of those that read the store on behalf of all.
    fn reads_store(&self) -> bool {
        let state = self.node.state.borrow();
        let listed = !state.roster.entries().is_empty()
            || self.node.now().since(Time::default()) > ANNOUNCE_TIMEOUT;
        listed && reads_store(state.roster.entries(), &self.node.config.entry.name)
    }

    /// Waits until a lease is to be renewed. Drops it if the store returned with an older state meanwhile: it
    /// may have given the lease to another entry.
    async fn wait_to_renew(&self, lease: &Lease) {
        let outdated = || lease.record.generation < self.node.state.borrow().generation;
        let returned = async {
            loop {
                let changed = self.node.returned.notified();
                if outdated() {
                    return;
                }
                changed.await;
            }
        };
        if timeout(LEASE_RENEWAL_INTERVAL, returned).await.is_ok() {
            let draw = self.node.state.borrow_mut().rng.next_u64();
            sleep(Duration::from_millis(draw % REANNOUNCE_SPREAD_MS)).await;
            self.lease.set(None);
        }
    }

    /// Registers this entry again if a list that the store confirmed at `confirmed` lacks it although it was
    /// registered before.
    fn check_listed(&self, entries: &[EntryInfo], confirmed: Time) {
        let registered = self.announced_at.get().is_some_and(|at| at < confirmed);
        if registered && !self.node.is_listed(entries) {
            // The next renewal registers it.
            self.lease.set(None);
        }
    }

    async fn poll_peers(&self) {
        let mut next_peer = 0;
        loop {
            let reads = self.reads_store();
            let known = self.node.state.borrow().catalog.is_some();
            let remaining = self.time_until_age(SWITCH_PEER_SHARE);
            let confirmed = remaining.min(self.time_until_list_age()) > Span::ZERO;
            let current = reads && !self.contact.lost.get() && known && confirmed;
            self.node.state.borrow_mut().store_current = current;
            // Another entry may know that the store served it while it was away for this one.
            if current && self.node.ready() && self.outage_wait() == Span::ZERO {
                next_peer = 0;
                sleep(PEER_POLL_INTERVAL.min(remaining.into())).await;
                continue;
            }
            let peers = if reads { self.peers() } else { self.parents() };
            let Some(peer) = peers.get(next_peer % peers.len().max(1)).copied() else {
                sleep(if known { PEER_POLL_INTERVAL } else { START_CHECK_INTERVAL }).await;
                continue;
            };
            // A response without changes arrives when the wait has passed, which must be before the
            // local data is too old.
            let servable = self.update_servable(peers.len());
            let wait = match (reads, servable) {
                (true, _) => Span::ZERO,
                (false, true) => Span::from(MAX_POLL_TIMEOUT).min(remaining),
                (false, false) => START_POLL_TIMEOUT,
            };
            let sent = self.node.now();
            let response = timeout(PEER_TIMEOUT + wait.into(), self.fetch(peer, wait)).await;
            let useful = match response {
                Ok(Ok(snapshot)) => self.merge(snapshot, peer, sent),
                // Other entries may be down as well, so the next one is polled soon.
                Ok(Err(_)) | Err(_) => {
                    self.failed_polls.set(self.failed_polls.get() + 1);
                    false
                }
            };
            // A peer with current data may have an old list of entries, as this entry does.
            if !useful || self.time_until_list_age() == Span::ZERO {
                next_peer += 1;
            }
            // Poll all others in quick succession; if none has recent data, poll them at the normal
            // interval.
            let next = !useful && self.failed_polls.get() < peers.len();
            let starting = self.node.state.borrow().catalog.is_none()
                && self.node.now().since(Time::default()) < START_POLL_PERIOD;
            let soon = next || starting || useful && !reads;
            sleep(if soon { CHANGE_BATCH_DELAY } else { PEER_POLL_INTERVAL }).await;
        }
    }

    /// Returns the revision of the known configuration if it may not be served before the store has confirmed
    /// it.
    fn unservable_revision(&self) -> Option<Revision> {
        let state = self.node.state.borrow();
        let confirmed = state.servable || self.catalog_confirmed.get();
        state.catalog.as_ref().filter(|_| !confirmed).map(|catalog| catalog.written_at())
    }

    /// Asks other entries for a later configuration than that of the store, which may have returned from a
    /// copy. Until then the store's is not served.
    async fn consult_peers(&self) {
        let consultation = async {
            // Without seeds, other entries are known once the list has been read.
            while self.peers().is_empty() && self.node.state.borrow().roster.entries().is_empty() {
                sleep(START_CHECK_INTERVAL).await;
            }
            let mut peers = self.peers();
            let draw = usize::try_from(self.node.state.borrow_mut().rng.next_u64()).unwrap_or(0);
            let first = draw % peers.len().max(1);
            peers.rotate_left(first);
            peers.truncate(MAX_CONSULTED);
            join_all(peers.into_iter().map(|peer| self.consult(peer))).await
        };
        drop(timeout(CONSULT_TIMEOUT, consultation).await);
        self.consulted.set(true);
        self.serve_confirmed();
    }

    /// Asks another entry for its configuration.
    async fn consult(&self, peer: SocketAddr) {
        let known = KnownState { catalog_only: true, ..self.known_state(Span::ZERO) };
        let poll = Poll { known, load: None };
        let Ok(conn) = Conn::connect(peer, CONNECT_TIMEOUT).await else { return };
        let Ok((snapshot, _)) = request_snapshot(conn, peer, &poll).await else { return };
        self.node.observe_generation(snapshot.generation);
        if let Some(told) = &snapshot.evacuations {
            self.node.merge_evacuations(told);
        }
        if let Some(catalog) = snapshot.catalog {
            self.node.apply_catalog(catalog, UpdateSource::Entry(peer));
        }
    }

    /// Allows serving the known configuration once it is confirmed and other entries were asked.
    fn serve_confirmed(&self) {
        let confirmed = self.consulted.get() && self.catalog_confirmed.get();
        let mut state = self.node.state.borrow_mut();
        state.servable |= confirmed && state.catalog.is_some();
        self.node.changed.notify_waiters();
    }

    /// Updates and returns whether the known configuration may be served. An old one may be if
    /// there are other entries and none of them has recent data, or if the start takes longer than
    /// the apply limit.
    fn update_servable(&self, peers: usize) -> bool {
        let overdue = self.node.now().since(Time::default()) > self.node.config.apply_limit;
        let unaided = peers > 0 && self.failed_polls.get() >= peers;
        let mut state = self.node.state.borrow_mut();
        // Entries of an earlier version tell no evacuated zones. The store is read before the start is overdue.
        let unaided = unaided && state.evacuations.as_of().is_some();
        state.servable |= state.catalog.is_some() && (overdue || unaided);
        self.node.changed.notify_waiters();
        state.servable
    }

    /// Returns the addresses of the entries that relay the store's data to this one, in order of
    /// preference.
    fn parents(&self) -> Vec<SocketAddr> {
        let state = self.node.state.borrow();
        let parents = parents(state.roster.entries(), &self.node.config.entry.name);
        parents.into_iter().filter_map(|entry| entry.address.parse().ok()).collect()
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let state = self.node.state.borrow();
        let listed = state.roster.entries().iter().filter_map(|entry| entry.address.parse().ok());
        let mut peers: Vec<SocketAddr> = listed.chain(self.seeds.iter().copied()).collect();
        peers.sort();
        peers.dedup();
        peers.retain(|peer| peer.to_string() != self.node.config.entry.address);
        peers
    }

    async fn fetch(&self, peer: SocketAddr, wait: Span) -> Result<Snapshot, HttpError> {
        let poll = Poll { known: self.known_state(wait), load: self.node.own_load() };
        let idle = self.peer_connection.take().filter(|(address, _)| *address == peer);
        let usable =
            idle.map(|(_, conn)| conn).and_then(|mut conn| conn.is_reusable().then_some(conn));
        let conn = match usable {
            Some(conn) => conn,
            None => Conn::connect(peer, CONNECT_TIMEOUT).await?,
        };
        let (snapshot, conn) = request_snapshot(conn, peer, &poll).await?;
        self.peer_connection.set(Some((peer, conn)));
        Ok(snapshot)
    }

    /// What to tell another entry that is polled.
    fn known_state(&self, wait: Span) -> KnownState {
        let state = self.node.state.borrow();
        let mark = state.roster.mark(self.node.now());
        KnownState {
            catalog: state.catalog.as_ref().map_or(0, |catalog| catalog.revision),
            version: state.catalog.as_ref().map(|catalog| catalog.version),
            wait,
            age: state.freshness.age(self.node.now()),
            entries: mark.digest,
            entries_as_of: mark.as_of,
            entries_generation: mark.generation,
            generation: state.generation,
            evacuations: Some(state.evacuations.as_of().unwrap_or_default()),
            ..self.known.get()
        }
    }

    /// Applies the response of another entry to a poll sent at `sent`. Returns whether it was
    /// useful, that is, recently confirmed by the store.
    fn merge(&self, snapshot: Snapshot, peer: SocketAddr, sent: Time) -> bool {
        let now = self.node.now();
        self.node.observe_generation(snapshot.generation);
        if let Some(told) = &snapshot.evacuations {
            self.node.merge_evacuations(told);
        }
        // An entry of an earlier version doesn't notice that the store has returned with an older state.
        let notices = snapshot.generation > 0 || self.node.state.borrow().generation == 0;
        if let Some(told) = snapshot.uptime {
            self.node.state.borrow_mut().fleet.uptime.told(now, sent + snapshot.held, told);
        }
        let told_age = snapshot.age.filter(|_| notices);
        let age = snapshot.age.map(|age| age + now.since(sent + snapshot.held));
        let confirmed = age.filter(|age| *age < self.apply_share(SWITCH_PEER_SHARE));
        let trusted = confirmed.is_some() && notices;
        self.failed_polls.set(if trusted { 0 } else { self.failed_polls.get() + 1 });
        if let Some(age) = told_age {
            let freshness = &mut self.node.state.borrow_mut().freshness;
            freshness.relayed(sent, snapshot.held, age);
            if let Some(age) = snapshot.evacuations_age {
                freshness.relayed_zones(sent, snapshot.held, age);
            }
            self.node.changed.notify_waiters();
        }
        for told in snapshot.limits {
            self.node.merge_statement(told, sent + snapshot.held);
        }
        self.node.merge_loads(snapshot.loads, now.since(sent + snapshot.held));
        if let Some(rulings) = &snapshot.rulings {
            self.node.merge_rulings(rulings, now.since(sent + snapshot.held));
        }
        if let Some(catalog) = snapshot.catalog {
            self.node.apply_catalog(catalog, UpdateSource::Entry(peer));
        }
        let mut known = self.known.get();
        known.rulings = snapshot.rulings.as_deref().map_or(known.rulings, quarantine::digest);
        if let Some(delta) = &snapshot.servers {
            let changes = {
                let fleet = &mut self.node.state.borrow_mut().fleet;
                fleet.merge(now, delta)
            };
            (known.teller, known.sequence) = match changes {
                Some(_) => (snapshot.teller, delta.sequence),
                None => (0, 0),
            };
            let from = UpdateSource::Entry(peer);
            self.node.apply_fleet_changes(changes.unwrap_or_default(), from);
        }
        // Data confirmed before this process started may be older than what the previous process
        // served.
        let is_since_start = |age| age <= (sent + snapshot.held).since(Time::default());
        let since_start = told_age.is_some_and(is_since_start)
            && snapshot.evacuations_age.is_some_and(is_since_start);
        self.catalog_confirmed.set(self.catalog_confirmed.get() || since_start);
        self.serve_confirmed();
        self.known.set(known);
        let delay = now.since(sent + snapshot.held);
        let mut usable = true;
        if let Some(entries) = snapshot.entries {
            let unknown = self.node.state.borrow().roster.entries().is_empty();
            if let Some(age) = snapshot.roster.as_ref().and_then(|mark| mark.age) {
                self.check_listed(&entries, now - age - delay);
            }
            usable = unknown || confirmed.is_some() && self.node.is_listed(&entries);
            if usable {
                self.node.merge_entries(entries, snapshot.roster.as_ref(), delay);
            }
        }
        if let Some(mark) = &snapshot.roster {
            self.node.state.borrow_mut().roster.confirm(now, mark, delay);
        }
        usable && trusted
    }

    async fn expire(&self) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            let now = self.node.now();
            self.node.expire_evacuations();
            let gone = self.node.state.borrow_mut().fleet.expire(now);
            self.node.apply_fleet_changes(gone, UpdateSource::Expiry);
            self.node.expire_suspects();
            self.node.log_staleness();
        }
    }

    /// Records a call to the store that just ended, other than a watch.
    fn record_call(&self, call: &'static str, error: Option<&S::Error>) {
        self.record_watch(call, self.node.now(), Span::ZERO, error);
    }

    /// Counts a call to the store that just ended, and logs when contact is lost or restored. It was sent at
    /// `sent`, and the store was asked to hold it for `wait`.
    fn record_watch(&self, call: &'static str, sent: Time, wait: Span, error: Option<&S::Error>) {
        let outcome = match error.map(SourceError::kind) {
            None => "good",
            Some(SourceErrorKind::Unavailable) => "away",
            Some(SourceErrorKind::Compacted) => "compacted",
            Some(SourceErrorKind::NotFound) => "missing",
        };
        self.node.metrics.store_call(call, outcome);
        self.node.observe_generation(self.source.generation());
        let away = outcome == "away";
        if !away {
            let (now, mut state) = (self.node.now(), self.node.state.borrow_mut());
            if state.suspension.is_catching_up(now) {
                state.fleet.uptime.suspended(now);
            }
            state.fleet.uptime.answered(now, sent, wait);
        }
        if self.contact.lost.replace(away) == away {
            return;
        }
        if !away {
            self.contact.restored.notify_waiters();
        }
        let text = error.map(ToString::to_string).unwrap_or_default();
        let kind = if away { Kind::DependencyLost } else { Kind::DependencyRegained };
        let fields = [
            ("dependency", "store".into()),
            ("call", call.into()),
            ("error", text.as_str().into()),
        ];
        self.node.log.process(kind, &fields);
    }
}
