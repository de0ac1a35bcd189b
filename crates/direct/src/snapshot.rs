//! Polls between entries: what the polling entry has, and what it lacks.

use crate::http::{Conn, HttpError};
use crate::memory::{BodyBuffer, MemoryBudget};
use crate::node::Node;
use crate::quarantine;
use crate::wire::Wire;
use damaskweir_core::catalog::Catalog;
use damaskweir_core::evacuation::EvacuationStatement;
use damaskweir_core::exchange::LoadReport;
use damaskweir_core::fleet::Delta;
use damaskweir_core::ids::Version;
use damaskweir_core::intake::Statement;
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::quarantine::RulingStatement;
use damaskweir_core::revision::Revision;
use damaskweir_core::roster::RosterMark;
use damaskweir_core::time::{Span, Time};
use damaskweir_core::uptime::UptimeStatement;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest time for which a poll by another entry is held until there are changes.
pub(crate) const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size in bytes of the answer to a poll.
const SNAPSHOT_BYTES_MAX: usize = 16 * 1024 * 1024;
/// How much fresher the local data must be than that of the polling entry for an immediate
/// response.
const MIN_AGE_GAIN: Span = Span::from_millis(300);

/// A poll: what the polling entry already has.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct KnownState {
    /// Revision of its configuration, or 0 if it has none. Decides only for entries of earlier versions of
    /// this program, which tell no version.
    pub(crate) catalog: u64,
    /// Version of its configuration; `None` if it has none.
    #[serde(default)]
    pub(crate) version: Option<Version>,
    /// Incarnation of the process that sent it its server list.
    pub(crate) teller: u64,
    /// Sequence number up to which it has that process's server changes.
    pub(crate) sequence: u64,
    /// Digest of its list of entries.
    pub(crate) entries: u64,
    /// Store revision of that list; 0 if it is unknown.
    #[serde(default)]
    pub(crate) entries_as_of: u64,
    /// Generation of that revision; 0 if it is unknown.
    #[serde(default)]
    pub(crate) entries_generation: u64,
    /// Highest generation of the store that it knows; 0 if it is unknown.
    #[serde(default)]
    pub(crate) generation: u64,
    /// Digest of the rulings on prompt parts that it last received.
    #[serde(default)]
    pub(crate) rulings: u64,
    /// Revision of its set of evacuated zones, the default one if it has none; `None` if it is an entry of an
    /// earlier version, which takes no set.
    #[serde(default)]
    pub(crate) evacuations: Option<Revision>,
    /// Time for which the response may be held until there are changes.
    pub(crate) wait: Span,
    /// Whether it asks for the configuration alone.
    #[serde(default)]
    pub(crate) catalog_only: bool,
    /// Time since the store confirmed its data.
    #[serde(default)]
    pub(crate) age: Option<Span>,
}

/// A poll on the wire: what the polling entry has, and its report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Poll {
    #[serde(flatten)]
    pub(crate) known: KnownState,
    /// What the polling entry has sent to engines and is not answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) load: Option<LoadReport>,
}

impl KnownState {
    /// Whether the polling entry would apply a configuration.
    fn lacks(&self, catalog: &Catalog) -> bool {
        match self.version {
            Some(version) => catalog.version > version,
            None => catalog.revision > self.catalog,
        }
    }
}

/// The response to a poll: what the polling entry lacks.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// Incarnation of the responding process.
    pub(crate) teller: u64,
    /// The configuration; omitted if the polling entry has it.
    pub(crate) catalog: Option<Catalog>,
    /// Server changes; omitted if the polling entry has them.
    pub(crate) servers: Option<Delta>,
    /// The list of entries; omitted if the polling entry has it.
    pub(crate) entries: Option<Vec<EntryInfo>>,
    /// Revision and age of that list, also if it is omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) roster: Option<RosterMark>,
    /// Time since the store confirmed this data; `None` if it never has.
    pub(crate) age: Option<Span>,
    /// The limits that servers name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) limits: Vec<Statement>,
    /// The rulings on prompt parts; omitted if the polling entry has them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) rulings: Option<Vec<RulingStatement>>,
    /// Time since the store confirmed the set of evacuated zones, also if that is omitted; `None` if it never
    /// has. An entry of an earlier version tells none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) evacuations_age: Option<Span>,
    /// The evacuated zones; omitted if the polling entry has them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) evacuations: Option<EvacuationStatement>,
    /// Time for which the response was held.
    #[serde(default)]
    pub(crate) held: Span,
    /// Highest generation of the store that the responding process knows; 0 if it is unknown.
    #[serde(default)]
    pub(crate) generation: u64,
    /// For how long the store has served, as far as the responding process knows. An entry of an earlier version
    /// tells nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) uptime: Option<UptimeStatement>,
    /// The report of the responding process and those that it has of other entries, if the poll had one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) loads: Vec<LoadReport>,
}

impl Snapshot {
    /// Responds to a poll.
    pub(crate) async fn answer<W: Wire>(node: &Node<W>, poll: Poll) -> Self {
        let asked_by = poll.load.as_ref().map(|report| report.from);
        node.merge_loads(poll.load, Span::ZERO);
        let snapshot = Self::wait_for_changes(node, poll.known).await;
        let loads = node.state.borrow().loads_for(node.now(), asked_by);
        Self { loads, ..snapshot }
    }

    /// Waits until there are changes for the polling entry, or until its wait has passed, and
    /// returns a snapshot.
    async fn wait_for_changes<W: Wire>(node: &Node<W>, known: KnownState) -> Self {
        let received = node.now();
        node.observe_generation(known.generation);
        let limit = Instant::now() + Duration::from(known.wait).min(MAX_POLL_TIMEOUT);
        loop {
            let changed = node.changed.notified();
            let snapshot = Self::capture(node, &known, received);
            let lacks = |zones| node.state.borrow().evacuations.changed_since(zones);
            if known.evacuations.is_some_and(lacks) || snapshot.has_changes(&known) {
                return snapshot;
            }
            if timeout_at(limit, changed).await.is_err() {
                // No changes, but the age must be current.
                return Self::capture(node, &known, received);
            }
        }
    }

    fn capture<W: Wire>(node: &Node<W>, known: &KnownState, received: Time) -> Self {
        let state = node.state.borrow();
        let newer = state.catalog.as_ref().filter(|catalog| known.lacks(catalog));
        let catalog_only = Self {
            teller: node.incarnation,
            catalog: newer.map(|catalog| (**catalog).clone()),
            servers: None,
            entries: None,
            roster: None,
            age: state.freshness.age(node.now()),
            limits: Vec::new(),
            rulings: None,
            evacuations_age: state.freshness.zones_age(node.now()),
            evacuations: known
                .evacuations
                .and_then(|known| state.evacuations.statement_for(node.now(), known)),
            held: node.now().since(received),
            generation: state.generation,
            uptime: state.fleet.uptime.statement(node.now()),
            loads: Vec::new(),
        };
        if known.catalog_only {
            return catalog_only;
        }
        let sequence = if known.teller == node.incarnation { known.sequence } else { 0 };
        let entries_as_of = Revision::new(known.entries_generation, known.entries_as_of);
        let fresh = state.roster.is_news_for(entries_as_of, known.entries);
        // Servers of an earlier generation would be ignored.
        let follows = state.fleet.as_of().generation >= known.generation;
        let rulings = state.quarantine.statements(node.now());
        let ruled = quarantine::digest(&rulings) != known.rulings;
        Self {
            servers: follows.then(|| state.fleet.delta_at(node.now(), sequence)).flatten(),
            entries: fresh.then(|| state.roster.entries().to_vec()),
            roster: Some(state.roster.mark(node.now())),
            limits: state.intake.statements(node.now()),
            rulings: ruled.then_some(rulings),
            ..catalog_only
        }
    }

    fn has_changes(&self, known: &KnownState) -> bool {
        let younger = match (self.age, known.age) {
            (Some(own), Some(other)) => own + MIN_AGE_GAIN < other + self.held,
            _ => false,
        };
        self.catalog.is_some()
            || self.servers.is_some()
            || self.entries.is_some()
            || self.rulings.is_some()
            || younger
    }
}

/// Polls another entry. Returns its response and the connection.
pub(crate) async fn request_snapshot(
    mut conn: Conn,
    peer: SocketAddr,
    poll: &Poll,
) -> Result<(Snapshot, Conn), HttpError> {
    let body =
        serde_json::to_vec(poll).map_err(|_| HttpError::Malformed("request can't be encoded"))?;
    let head = format!(
        "POST /snapshot HTTP/1.1\r\nhost: {peer}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    conn.send(head.as_bytes(), &[body.into()]).await?;
    conn.read_head(|_| true).await?;
    // Few are read at once, and what they tell must arrive also while requests take all memory.
    let memory = MemoryBudget::new(SNAPSHOT_BYTES_MAX);
    let body = conn.read_body(BodyBuffer::new(SNAPSHOT_BYTES_MAX, &memory)).await?.finish();
    let snapshot = serde_json::from_slice(&body);
    let snapshot = snapshot.map_err(|_| HttpError::Malformed("invalid snapshot"))?;
    conn.finish();
    Ok((snapshot, conn))
}
