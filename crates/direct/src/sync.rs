//! Keeps the configuration, the list of servers and the list of entries current: from the store, and
//! from other entries while the store does not answer this one.

use crate::http::{Conn, HttpError};
use crate::log::Kind;
use crate::node::{Node, Teller};
use crate::wire::{Source, SourceError, SourceFault, Wire};
use damaskweir_core::catalog::Catalog;
use damaskweir_core::fleet::Delta;
use damaskweir_core::fresh::Dataset;
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::time::{Span, Time};
use damaskweir_core::tree::{parents, reads_store};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use xxhash_rust::xxh3::Xxh3;

/// Time between two reads of changed servers, since each call to the store is paid for and servers
/// write often. Far below the time in which a leaving server must get no new work.
const LISTING_PACE: Duration = Duration::from_millis(600);
/// First and longest pause after a failed call to the store.
const PAUSES: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));
/// Longest pause of a loop that leaves it to another one to find out that the store answers again.
const PAUSE_BESIDE: Duration = Duration::from_secs(2);
/// Time between two renewals of this entry's lease: a third of its life.
const RENEW: Duration = Duration::from_secs(3);
/// Time after its start in which an entry learns from the list of entries whether it reads the store.
const START: Span = Span::from_millis(400);
/// Time for which the store may hold the question of an entry that starts.
const START_QUESTION: Span = Span::from_millis(1);
/// Longest time for which an answer to an entry that starts waits for news.
const START_WAIT: Span = Span::from_millis(100);
/// Time between two looks at whether this entry reads the store, while it starts.
const START_PACE: Duration = Duration::from_millis(20);
/// Time between two questions to other entries while the store is away.
const PEER_PACE: Duration = Duration::from_millis(400);
/// Longest time for which an answer to another entry waits for news.
const HOLD: Duration = Duration::from_millis(500);
/// Time between an answer and the next question, in which news gather.
const NEWS_PACE: Duration = Duration::from_millis(40);
/// Time after its start in which an entry waits for others to tell it what the store holds.
const START_SERVED: Span = Span::from_millis(1_700);
/// Parts of the time in which a change has to be in force (`Setup::apply`). In the normal case knowledge of
/// servers gets as old as two waits and the pause between them, of the configuration as two waits.
const WATCH_CATALOG: f64 = 0.3;
/// The same for servers.
const WATCH_SERVERS: f64 = 0.15;
/// Age of knowledge at which its teller is left for another one.
const TURN: f64 = 0.7;
/// Age of knowledge at which an entry reads the store itself. The rest of the time is for the call.
const READ: f64 = 0.8;
/// How much younger knowledge has to be than that of the entry that asks to be told at once.
const YOUNGER: Span = Span::from_millis(300);
/// Time after the store's return in which each entry has renewed its lease or announced itself again:
/// two renewals.
const ANNOUNCED: Span = Span::from_secs(6);
/// Time to open a connection to another entry.
const CONNECT: Duration = Duration::from_millis(300);
/// Time for which a question for changes of the entries waits.
const WATCH_ENTRIES: Span = Span::from_secs(3);
/// Time for the answer of another entry, besides the one for which it may wait.
const PEER_WAIT: Duration = Duration::from_millis(500);
/// Time between two looks at servers whose records are missing.
const EXPIRY_PACE: Duration = Duration::from_millis(200);

/// What an entry that asks another one knows of it.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Known {
    /// Revision of its configuration.
    catalog: u64,
    /// Process that told it its list of servers.
    teller: u64,
    /// Changes of that process that it knows.
    sequence: u64,
    /// Digest of the list of entries that it was told last.
    entries: u64,
    /// Time for which the answer may wait for news.
    wait: Span,
    /// Time since the store confirmed what it knows.
    #[serde(default)]
    age: Option<Span>,
}

/// What one entry tells another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// Names the process that tells.
    teller: u64,
    /// Left out if the other one has it.
    catalog: Option<Catalog>,
    /// Left out if the other one knows it.
    servers: Option<Delta>,
    /// Left out if the other one knows them.
    entries: Option<Vec<EntryInfo>>,
    /// Time since the store confirmed what is told; `None`: it never did.
    age: Option<Span>,
    /// Time for which the answer waited for news.
    #[serde(default)]
    held: Span,
}

impl Snapshot {
    /// What a node knows, as soon as there is news for another one.
    pub(crate) async fn next<W: Wire>(node: &Node<W>, known: Known) -> Self {
        let asked = node.now();
        let limit = Instant::now() + Duration::from(known.wait).min(HOLD);
        loop {
            let news = node.news.notified();
            let snapshot = Self::of(node, &known, asked);
            if snapshot.is_news(&known) {
                return snapshot;
            }
            if timeout_at(limit, news).await.is_err() {
                // Without news, but with its age as of now.
                return Self::of(node, &known, asked);
            }
        }
    }

    fn of<W: Wire>(node: &Node<W>, known: &Known, asked: Time) -> Self {
        let state = node.state.borrow();
        let newer = state.catalog.as_ref().filter(|catalog| catalog.revision > known.catalog);
        let sequence = if known.teller == node.stamp { known.sequence } else { 0 };
        let fresh = digest(&state.entries) != known.entries;
        Self {
            teller: node.stamp,
            catalog: newer.map(|catalog| (**catalog).clone()),
            servers: state.fleet.delta_since(sequence),
            entries: fresh.then(|| state.entries.clone()),
            age: state.confirmed.age(node.now()),
            held: node.now().since(asked),
        }
    }

    fn is_news(&self, known: &Known) -> bool {
        let younger = match (self.age, known.age) {
            (Some(own), Some(other)) => own + YOUNGER < other + self.held,
            _ => false,
        };
        self.catalog.is_some() || self.servers.is_some() || self.entries.is_some() || younger
    }
}

/// Tells lists of entries apart.
fn digest(entries: &[EntryInfo]) -> u64 {
    let mut hash = Xxh3::new();
    for entry in entries {
        hash.update(entry.name.as_bytes());
        hash.update(entry.address.as_bytes());
        hash.update(&[0]);
    }
    hash.digest()
}

/// Contact with the store, as its last answers show.
#[derive(Debug, Default)]
struct Contact {
    away: Cell<bool>,
    /// Told when the store answers again.
    back: Notify,
}

/// Everything that keeps a node current.
pub struct Sync<W, S> {
    node: Rc<Node<W>>,
    source: S,
    contact: Contact,
    /// Addresses of other entries from the settings.
    seeds: Vec<SocketAddr>,
    lease: Cell<Option<u64>>,
    /// What other entries told last.
    known: Cell<Known>,
    /// When the store last answered again after it had not.
    regained: Cell<Option<Time>>,
    /// The first attempt to announce this entry has ended.
    announced: Notify,
    /// Entries in a row that could not tell anything that the store confirmed lately.
    unhelpful: Cell<usize>,
    /// Kept connection to the entry that was asked last.
    link: Cell<Option<(SocketAddr, Conn)>>,
}

impl<W: Wire, S: Source> Sync<W, S> {
    /// Nothing has been read yet.
    pub fn new(node: Rc<Node<W>>, source: S, seeds: Vec<SocketAddr>) -> Self {
        Self {
            node,
            source,
            contact: Contact::default(),
            seeds,
            lease: Cell::default(),
            known: Cell::default(),
            regained: Cell::default(),
            announced: Notify::new(),
            unhelpful: Cell::default(),
            link: Cell::default(),
        }
    }

    /// Starts all loops.
    pub fn start(self: &Rc<Self>) {
        let (a, b, c, d, e, f) =
            (self.clone(), self.clone(), self.clone(), self.clone(), self.clone(), self.clone());
        tokio::task::spawn_local(async move { a.follow_catalog().await });
        tokio::task::spawn_local(async move { b.follow_servers().await });
        tokio::task::spawn_local(async move { c.follow_entries().await });
        tokio::task::spawn_local(async move { d.announce().await });
        tokio::task::spawn_local(async move { e.ask_peers().await });
        tokio::task::spawn_local(async move { f.expire().await });
    }

    /// Tells other entries that this one leaves.
    pub async fn leave(&self) {
        if let Some(lease) = self.lease.take() {
            let withdrawn = self.source.withdraw(lease).await;
            self.note("withdraw", withdrawn.err().as_ref());
        }
    }

    async fn follow_catalog(&self) {
        let mut pause = PAUSES.0;
        let mut after = None;
        // The store can't tell any more what has changed since a revision.
        let mut forgotten = false;
        loop {
            self.wait_to_read(true).await;
            // Whether what others told has changed since is a small question.
            let told = self.unsettled().filter(|_| !forgotten);
            let wait = if told.is_some() { START_QUESTION } else { self.part(WATCH_CATALOG) };
            after = told.or(after);
            let (sent, whole) = (self.node.now(), after.is_none());
            let read = match after {
                None => self.source.catalog().await,
                Some(after) => self.source.next_catalog(after, wait).await,
            };
            self.note("catalog", read.as_ref().err());
            match read {
                Ok(read) => {
                    pause = PAUSES.0;
                    forgotten = false;
                    after = Some(read.as_of);
                    let changed = whole || read.value.is_some();
                    let held = if changed { Span::ZERO } else { wait };
                    self.confirm(Dataset::Catalog, sent, held);
                    if let Some(catalog) = read.value {
                        self.node.take_catalog(catalog, Teller::Store);
                    }
                    let known = self.node.state.borrow().catalog.is_some();
                    self.node.state.borrow_mut().settled |= known;
                    if !known {
                        after = None;
                        sleep(PAUSES.0).await;
                    }
                }
                Err(error) => {
                    // After an error a change may have been missed, so the whole is read again.
                    after = None;
                    forgotten = error.fault() == SourceFault::Compacted;
                    self.pause(&mut pause, error.fault()).await;
                }
            }
        }
    }

    async fn follow_servers(&self) {
        let mut after = None;
        loop {
            // Changes that came from another entry meanwhile need not be read again.
            if self.wait_to_read(false).await {
                after = None;
            }
            let (sent, whole) = (self.node.now(), after.is_none());
            let read = match after {
                None => self.source.listings().await,
                Some(after) => self.source.next_listings(after, self.part(WATCH_SERVERS)).await,
            };
            self.note("servers", read.as_ref().err());
            match read {
                Ok(read) => {
                    after = Some(read.as_of);
                    let changed = whole || !read.value.is_empty();
                    let held = if changed { Span::ZERO } else { self.part(WATCH_SERVERS) };
                    self.confirm(Dataset::Servers, sent, held);
                    let now = self.node.now();
                    let changes = {
                        let fleet = &mut self.node.state.borrow_mut().fleet;
                        fleet.store_recovered(now);
                        if whole {
                            fleet.replace(now, read.as_of, &read.value)
                        } else {
                            fleet.apply(now, read.as_of, &read.value)
                        }
                    };
                    self.node.take_changes(changes);
                    sleep(LISTING_PACE).await;
                }
                Err(error) => {
                    if error.fault() == SourceFault::Away {
                        self.node.state.borrow_mut().fleet.store_lost();
                    }
                    after = None;
                    self.pause_beside(error.fault()).await;
                }
            }
        }
    }

    async fn follow_entries(&self) {
        // This entry stands in the list that it reads first.
        let announced = self.announced.notified();
        drop(timeout(START.into(), announced).await);
        loop {
            let read = self.source.entries().await;
            self.note("entries", read.as_ref().err());
            let changed = match read {
                Ok(read) => match self.until_announced() {
                    Some(rest) => {
                        self.node.add_entries(read.value);
                        sleep(rest).await;
                        Ok(())
                    }
                    None => {
                        if read.value.iter().any(|e| e.name == self.node.setup.entry.name) {
                            self.node.take_entries(read.value);
                        }
                        self.entries_changed(read.as_of).await
                    }
                },
                Err(error) => Err(error),
            };
            match changed {
                Ok(()) => sleep(LISTING_PACE).await,
                Err(error) => self.pause_beside(error.fault()).await,
            }
            self.wait_to_read(false).await;
        }
    }

    /// Waits for a change of the entries while this one reads the store.
    async fn entries_changed(&self, mut after: u64) -> Result<(), S::Error> {
        while self.reads() {
            let read = self.source.entries_changed(after, WATCH_ENTRIES).await?;
            if read.value {
                return Ok(());
            }
            after = read.as_of;
        }
        Ok(())
    }

    /// Notes an answer of the store to a question that was sent at a time, and which the store held for so
    /// long at least: with a change it may have answered at any moment.
    fn confirm(&self, subject: Dataset, sent: Time, held: Span) {
        let held = held.min(self.node.now().since(sent));
        self.node.state.borrow_mut().confirmed.answered(subject, sent, held);
        self.node.news.notify_waiters();
    }

    /// A part of the time in which a change has to be in force.
    fn part(&self, part: f64) -> Span {
        self.node.setup.apply.scale(part)
    }

    /// Time until what is known here is as old as a part of the time in which a change has to be in force.
    fn until_aged(&self, part: f64) -> Span {
        let age = self.node.state.borrow().confirmed.age(self.node.now());
        self.part(part).saturating_sub(age.unwrap_or(Span(u64::MAX)))
    }

    /// Time until all entries that live have announced themselves again after an outage in which leases
    /// may have lapsed. Until then a missing record says nothing.
    fn until_announced(&self) -> Option<Duration> {
        let since = self.node.now().since(self.regained.get()?);
        let rest = ANNOUNCED.saturating_sub(since);
        (rest > Span::ZERO).then(|| rest.into())
    }

    async fn announce(&self) {
        loop {
            if self.node.state.borrow().draining.is_some() {
                return;
            }
            match self.lease.get() {
                None => {
                    let announced = self.source.announce(&self.node.setup.entry).await;
                    self.note("announce", announced.as_ref().err());
                    self.lease.set(announced.ok());
                }
                Some(lease) => {
                    let renewed = self.source.renew(lease).await;
                    self.note("renew", renewed.as_ref().err());
                    if renewed.is_err_and(|error| error.fault() == SourceFault::Missing) {
                        self.lease.set(None);
                        continue;
                    }
                }
            }
            self.announced.notify_waiters();
            match self.lease.get() {
                Some(_) => sleep(RENEW).await,
                None => self.pause_beside(SourceFault::Away).await,
            }
        }
    }

    /// Waits after a failed call. One loop does so, and finds out that the store answers again.
    async fn pause(&self, pause: &mut Duration, fault: SourceFault) {
        if fault == SourceFault::Away {
            sleep(*pause).await;
            let most = if self.reads() { PAUSES.1 } else { PAUSE_BESIDE };
            *pause = (*pause * 2).min(most);
        }
    }

    /// Waits after a failed call until another loop has found that the store answers again, since each call
    /// is paid for, refused ones too.
    async fn pause_beside(&self, fault: SourceFault) {
        if fault == SourceFault::Away {
            sleep(PAUSES.0).await;
            if self.contact.away.get() {
                drop(timeout(PAUSE_BESIDE, self.contact.back.notified()).await);
            }
        }
    }

    /// Waits while another entry reads the store for this one, or is about to: if all entries of a large
    /// fleet that starts read all, none would be served in time. Tells whether it had to wait. With `settles`,
    /// it does not wait while what others told may not be served by.
    async fn wait_to_read(&self, settles: bool) -> bool {
        let mut waited = false;
        loop {
            let now = self.node.now();
            let told = self.node.state.borrow().confirmed.relayed_age(now);
            let (rest, pace) = match told {
                Some(age) => (self.part(READ).saturating_sub(age), PEER_PACE),
                None => (START_SERVED.saturating_sub(now.since(Time::default())), START_PACE),
            };
            let settling = settles && self.unsettled().is_some();
            if rest == Span::ZERO || self.reads() || settling {
                return waited;
            }
            waited = true;
            sleep(pace.min(rest.into())).await;
        }
    }

    /// Whether this entry is one of those that read the store for all.
    fn reads(&self) -> bool {
        let state = self.node.state.borrow();
        let listed = !state.entries.is_empty() || self.node.now().since(Time::default()) > START;
        listed && reads_store(&state.entries, &self.node.setup.entry.name)
    }

    async fn ask_peers(&self) {
        let mut turn = 0;
        loop {
            let reads = self.reads();
            let known = self.node.state.borrow().catalog.is_some();
            let rest = self.until_aged(TURN);
            let current = reads && !self.contact.away.get() && known && rest > Span::ZERO;
            self.node.state.borrow_mut().current = current;
            if current && self.node.ready() {
                turn = 0;
                sleep(PEER_PACE.min(rest.into())).await;
                continue;
            }
            let peers = if reads { self.peers() } else { self.parents() };
            let Some(peer) = peers.get(turn % peers.len().max(1)).copied() else {
                sleep(if known { PEER_PACE } else { START_PACE }).await;
                continue;
            };
            // An answer without news comes when its wait has passed, before what is known is too old.
            let settled = self.settle(peers.len());
            let wait = match (reads, settled) {
                (true, _) => Span::ZERO,
                (false, true) => Span::from(HOLD).min(rest),
                (false, false) => START_WAIT,
            };
            let sent = self.node.now();
            let asked = timeout(PEER_WAIT + wait.into(), self.fetch(peer, wait)).await;
            let good = match asked {
                Ok(Ok(snapshot)) => self.merge(snapshot, peer, sent),
                // Other entries may be down as well; the next one is asked soon.
                Ok(Err(_)) | Err(_) => {
                    self.unhelpful.set(self.unhelpful.get() + 1);
                    false
                }
            };
            if !good {
                turn += 1;
            }
            // All others are asked at once; if none can help, one after the other.
            let next = !good && self.unhelpful.get() < peers.len();
            sleep(if next || good && !reads { NEWS_PACE } else { PEER_PACE }).await;
        }
    }

    /// Revision of a configuration that is known and may not be served by.
    fn unsettled(&self) -> Option<u64> {
        let state = self.node.state.borrow();
        state.catalog.as_ref().filter(|_| !state.settled).map(|catalog| catalog.revision)
    }

    /// Whether what is known here may be served by. That includes old knowledge if none of some entries
    /// knows better, or if the start takes long.
    fn settle(&self, peers: usize) -> bool {
        let long = self.node.now().since(Time::default()) > self.node.setup.apply;
        let alone = peers > 0 && self.unhelpful.get() >= peers;
        let mut state = self.node.state.borrow_mut();
        state.settled |= state.catalog.is_some() && (long || alone);
        state.settled
    }

    /// Addresses of the entries that this one asks what the store holds, the first one ahead.
    fn parents(&self) -> Vec<SocketAddr> {
        let state = self.node.state.borrow();
        let parents = parents(&state.entries, &self.node.setup.entry.name);
        parents.into_iter().filter_map(|entry| entry.address.parse().ok()).collect()
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let state = self.node.state.borrow();
        let listed = state.entries.iter().filter_map(|entry| entry.address.parse().ok());
        let mut peers: Vec<SocketAddr> = listed.chain(self.seeds.iter().copied()).collect();
        peers.sort();
        peers.dedup();
        peers.retain(|peer| peer.to_string() != self.node.setup.entry.address);
        peers
    }

    async fn fetch(&self, peer: SocketAddr, wait: Span) -> Result<Snapshot, HttpError> {
        let known = {
            let state = self.node.state.borrow();
            let catalog = state.catalog.as_ref().map_or(0, |catalog| catalog.revision);
            Known { catalog, wait, age: state.confirmed.age(self.node.now()), ..self.known.get() }
        };
        let body = serde_json::to_vec(&known).map_err(|_| HttpError::Malformed("question"))?;
        let kept = self.link.take().filter(|(address, _)| *address == peer);
        let usable =
            kept.map(|(_, conn)| conn).and_then(|mut conn| conn.is_reusable().then_some(conn));
        let mut conn = match usable {
            Some(conn) => conn,
            None => Conn::connect(peer, CONNECT).await?,
        };
        let head = format!(
            "POST /snapshot HTTP/1.1\r\nhost: {peer}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        conn.send(head.as_bytes(), &body).await?;
        conn.read_head(|_| true).await?;
        let body = conn.read_body().await?;
        self.link.set(Some((peer, conn)));
        serde_json::from_slice(&body).map_err(|_| HttpError::Malformed("bad snapshot"))
    }

    /// Takes what another entry told in answer to a question that was sent at a time. Tells whether it was
    /// of use: the store has confirmed it lately.
    fn merge(&self, snapshot: Snapshot, peer: SocketAddr, sent: Time) -> bool {
        let now = self.node.now();
        let age = snapshot.age.map(|age| age + now.since(sent + snapshot.held));
        let confirmed = age.filter(|age| *age < self.part(TURN));
        self.unhelpful.set(if confirmed.is_some() { 0 } else { self.unhelpful.get() + 1 });
        if let Some(age) = snapshot.age {
            self.node.state.borrow_mut().confirmed.relayed(sent, snapshot.held, age);
            self.node.news.notify_waiters();
        }
        if let Some(catalog) = snapshot.catalog {
            self.node.take_catalog(catalog, Teller::Entry(peer));
        }
        let mut known = self.known.get();
        if let Some(delta) = &snapshot.servers {
            let changes = {
                let fleet = &mut self.node.state.borrow_mut().fleet;
                if confirmed.is_some() {
                    fleet.store_recovered(now);
                }
                fleet.merge(now, delta)
            };
            (known.teller, known.sequence) = match changes {
                Some(_) => (snapshot.teller, delta.sequence),
                None => (0, 0),
            };
            self.node.take_changes(changes.unwrap_or_default());
        }
        // What was confirmed earlier may be older than what the process before this one served by.
        let since_start =
            snapshot.age.is_some_and(|age| age <= (sent + snapshot.held).since(Time::default()));
        self.node.state.borrow_mut().settled |= since_start;
        let mut taken = true;
        if let Some(entries) = snapshot.entries {
            let named = |entry: &EntryInfo| entry.name == self.node.setup.entry.name;
            let listed = entries.iter().any(named) && confirmed.is_some();
            taken = listed || self.node.state.borrow().entries.is_empty();
            if taken {
                // A list that was not taken is told again.
                known.entries = digest(&entries);
                self.node.take_entries(entries);
            }
        }
        self.known.set(known);
        taken && confirmed.is_some()
    }

    async fn expire(&self) {
        loop {
            sleep(EXPIRY_PACE).await;
            let now = self.node.now();
            let gone = self.node.state.borrow_mut().fleet.expire(now);
            self.node.take_changes(gone);
            self.node.trust_again();
            self.node.note_age();
        }
    }

    /// Counts a call, and notes when contact is lost or regained.
    fn note(&self, call: &'static str, error: Option<&S::Error>) {
        let outcome = match error.map(SourceError::fault) {
            None => "good",
            Some(SourceFault::Away) => "away",
            Some(SourceFault::Compacted) => "compacted",
            Some(SourceFault::Missing) => "missing",
        };
        self.node.metrics.store_call(call, outcome);
        let away = outcome == "away";
        if self.contact.away.replace(away) == away {
            return;
        }
        if !away {
            self.regained.set(Some(self.node.now()));
            self.contact.back.notify_waiters();
        }
        let text = error.map(ToString::to_string).unwrap_or_default();
        let kind = if away { Kind::Lost } else { Kind::Regained };
        let fields = [
            ("dependency", "store".into()),
            ("call", call.into()),
            ("error", text.as_str().into()),
        ];
        self.node.log.process(kind, &fields);
    }
}
