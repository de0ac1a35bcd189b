//! What entries say to each other about pieces: groups handed to the owner of a server, and results that
//! are given back.

use crate::http::{Conn, HttpError, Kept};
use crate::node::Node;
use crate::stages::{PieceFailure, StoredResult};
use crate::wire::{PieceRequest, Wire};
use bytes::BytesMut;
use damaskweir_core::batch::{Fullness, Lane};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::time::Span;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time to open a connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which an owner must begin its answer, and between signs of life until it is whole. The answer
/// itself may take as long as the pieces wait.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two signs of life of an owner.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Time for an answer to results given back.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle connections kept to one entry.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Pieces of one stage of one request. Times count from the moment of sending.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GroupRequest {
    pub(crate) pool: PoolId,
    pub(crate) items: Vec<PieceRequest>,
    /// When it is due for an answer within the objective.
    pub(crate) due: Span,
    /// When it is of no use any more.
    pub(crate) left: Span,
    /// Size of each result.
    pub(crate) bytes: u64,
    /// Its inputs take much of the room of their servers.
    pub(crate) holding: bool,
    /// Zone in which it is best worked on.
    pub(crate) toward: Option<AvailabilityZone>,
    /// How urgent the request is, or that it is late anyway.
    pub(crate) lane: Lane,
    /// When it is refused, if nothing was worked on for the request so far.
    pub(crate) refusable: Option<Span>,
    /// Entries that do not answer the sender; the receiver may own their servers without knowing it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) suspects: Vec<String>,
}

/// What came of a group, in the order of its items.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GroupResponse {
    pub(crate) ends: Vec<Result<StoredResult, PieceFailure>>,
    /// How full the owner's batcher is.
    pub(crate) fullness: Fullness,
}

/// A result to give back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ResultRelease {
    pub(crate) server: ServerId,
    pub(crate) handle: String,
    pub(crate) bytes: u64,
}

impl<W: Wire> Node<W> {
    /// Has a group done by another entry.
    pub(crate) async fn request_group(
        &self,
        owner: &EntryInfo,
        call: &GroupRequest,
    ) -> Result<GroupResponse, HttpError> {
        self.call_entry(owner, "/pieces", call).await
    }

    /// Gives results back through the owner of their server.
    pub(crate) async fn forward_releases(
        &self,
        owner: &EntryInfo,
        releases: &[ResultRelease],
    ) -> Result<(), HttpError> {
        let released = timeout(RELEASE_TIMEOUT, self.call_entry(owner, "/release", releases)).await;
        released.map_err(|_| HttpError::Late)?
    }

    async fn call_entry<Q, A>(
        &self,
        entry: &EntryInfo,
        path: &str,
        question: &Q,
    ) -> Result<A, HttpError>
    where
        Q: Serialize + ?Sized,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(question).map_err(|_| HttpError::Malformed("question"))?;
        let mut conn = self.entry_connection(entry).await?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
            entry.address,
            body.len()
        );
        let begun = timeout(OWNER_TIMEOUT, async {
            conn.send(head.as_bytes(), &body).await?;
            conn.head(|_| true).await
        });
        let head = begun.await.map_err(|_| HttpError::Late)??;
        let mut answer = BytesMut::new();
        while let Some(part) =
            timeout(OWNER_TIMEOUT, conn.chunk()).await.map_err(|_| HttpError::Late)??
        {
            answer.extend_from_slice(&part);
        }
        self.keep_entry_connection(entry, conn);
        if !head.status.is_success() {
            return Err(HttpError::Malformed("refusal of another entry"));
        }
        serde_json::from_slice(&answer).map_err(|_| HttpError::Malformed("bad answer"))
    }

    async fn entry_connection(&self, entry: &EntryInfo) -> Result<Conn, HttpError> {
        let kept =
            self.state.borrow_mut().entry_connections.get_mut(&entry.address).and_then(Kept::take);
        if let Some(conn) = kept {
            return Ok(conn);
        }
        let address: SocketAddr =
            entry.address.parse().map_err(|_| HttpError::Malformed("bad address of an entry"))?;
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
