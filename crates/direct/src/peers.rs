//! Calls between entries about pieces: groups sent to the owner of a server, and stored results to
//! release.

use crate::http::{Conn, HttpError, IdleConns};
use crate::memory::BodyBuffer;
use crate::node::Node;
use crate::stages::{PieceFailure, StoredResult};
use crate::wire::{PieceRequest, Wire};
use damaskweir_core::batch::{Fullness, Lane};
use damaskweir_core::evacuation::EvacuationStatement;
use damaskweir_core::exchange::LoadReport;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::roster::RosterStatement;
use damaskweir_core::time::Span;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Connect timeout for another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the start of an owner's response and between its keepalive bytes. The whole
/// response may take as long as the pieces are queued.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval of the keepalive bytes that an owner sends until its response is ready.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a call that releases results through another entry.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size in bytes of an answer of another entry.
const RESPONSE_BYTES_MAX: usize = 1024 * 1024;
/// Idle connections kept per entry.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Pieces of one stage of one request. Times are relative to the moment of sending, because each
/// entry counts time from its own start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GroupRequest {
    pub(crate) pool: PoolId,
    pub(crate) items: Vec<PieceRequest>,
    /// When the group must be done to meet the latency objective.
    pub(crate) due: Span,
    /// When the results become useless.
    pub(crate) left: Span,
    /// Size of each result in bytes.
    pub(crate) bytes: u64,
    /// Whether its inputs take a large share of the result storage of their servers.
    pub(crate) holding: bool,
    /// Availability zone in which it should run, to save transfers.
    pub(crate) toward: Option<AvailabilityZone>,
    /// Urgency of the request, or that it will miss its objective anyway.
    pub(crate) lane: Lane,
    /// The request is refused if the group is predicted to be done after this time. `None` if work
    /// was already done for the request.
    pub(crate) refusable: Option<Span>,
    /// Entries that the sender suspects to be down. The receiver may be the new owner of their
    /// servers without knowing it yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) suspects: Vec<String>,
    /// The sender's list of entries, if the receiver refused the group because of an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) roster: Option<RosterStatement>,
    /// The sender's set of evacuated zones, if the receiver refused the group because of an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) evacuations: Option<EvacuationStatement>,
    /// What the sender has sent to engines and is not answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) load: Option<LoadReport>,
}

/// Outcomes of a group, in the order of its items.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GroupResponse {
    pub(crate) ends: Vec<Result<StoredResult, PieceFailure>>,
    /// Load of the owner's batcher.
    pub(crate) fullness: Fullness,
    /// The list of entries by which the receiver owns no server of the pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) roster: Option<RosterStatement>,
    /// The evacuated zones by which it owns none, if it knows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) evacuations: Option<EvacuationStatement>,
    /// The report of the receiver and those that it has of other entries, if the request had one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) loads: Vec<LoadReport>,
    /// Time between the request and the response.
    #[serde(default)]
    pub(crate) held: Span,
}

/// A stored result to release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ResultRelease {
    pub(crate) server: ServerId,
    pub(crate) handle: String,
    pub(crate) bytes: u64,
}

impl<W: Wire> Node<W> {
    /// Sends a group to the entry that owns the servers and waits for the outcomes.
    pub(crate) async fn request_group(
        &self,
        owner: &EntryInfo,
        call: &GroupRequest,
    ) -> Result<GroupResponse, HttpError> {
        self.call_entry(owner, "/pieces", call).await
    }

    /// Releases results through the owner of their server.
    pub(crate) async fn forward_releases(
        &self,
        owner: &EntryInfo,
        releases: &[ResultRelease],
    ) -> Result<(), HttpError> {
        let released = timeout(RELEASE_TIMEOUT, self.call_entry(owner, "/release", releases)).await;
        released.map_err(|_| HttpError::TimedOut)?
    }

    /// Calls another entry and reads its response.
    pub(crate) async fn call_entry<Q, A>(
        &self,
        entry: &EntryInfo,
        path: &str,
        question: &Q,
    ) -> Result<A, HttpError>
    where
        Q: Serialize + ?Sized,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(question)
            .map_err(|_| HttpError::Malformed("request can't be encoded"))?;
        let mut conn = self.entry_connection(entry).await?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
            entry.address,
            body.len()
        );
        let begun = timeout(OWNER_TIMEOUT, async {
            conn.send(head.as_bytes(), &[body.into()]).await?;
            conn.read_head(|_| true).await
        });
        let head = begun.await.map_err(|_| HttpError::TimedOut)??;
        let mut answer = BodyBuffer::new(RESPONSE_BYTES_MAX, &self.memory);
        while let Some(part) =
            timeout(OWNER_TIMEOUT, conn.read_chunk()).await.map_err(|_| HttpError::TimedOut)??
        {
            answer.push(&part)?;
        }
        let answer = answer.finish();
        if !head.status.is_success() {
            return Err(HttpError::Malformed("entry returned an error status"));
        }
        let answer = serde_json::from_slice(&answer);
        let answer = answer.map_err(|_| HttpError::Malformed("invalid response body"))?;
        conn.finish();
        self.keep_entry_connection(entry, conn);
        Ok(answer)
    }

    async fn entry_connection(&self, entry: &EntryInfo) -> Result<Conn, HttpError> {
        let idle = self
            .state
            .borrow_mut()
            .entry_connections
            .get_mut(&entry.address)
            .and_then(IdleConns::take);
        if let Some(conn) = idle {
            return Ok(conn);
        }
        let address: SocketAddr =
            entry.address.parse().map_err(|_| HttpError::Malformed("invalid entry address"))?;
        Conn::connect(address, CONNECT_TIMEOUT).await
    }

    fn keep_entry_connection(&self, entry: &EntryInfo, conn: Conn) {
        let mut state = self.state.borrow_mut();
        state
            .entry_connections
            .entry(entry.address.clone())
            .or_default()
            .keep(conn, MAX_IDLE_CONNECTIONS);
    }
}
