//! Traits and types at the boundary of this crate: the protocol of callers and backend servers, and
//! the source of the configuration and the server list.

use crate::http::ResponseHead;
use bytes::Bytes;
use damaskweir_core::catalog::Catalog;
use damaskweir_core::evacuation::ZoneEvent;
use damaskweir_core::fleet::{Listing, Replica};
use damaskweir_core::intake::Notice;
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::place::PromptPart;
use damaskweir_core::quarantine::RulingStatement;
use damaskweir_core::revision::Revision;
use damaskweir_core::standing::Announcement;
use damaskweir_core::time::Span;
use damaskweir_core::warmup::WarmupNotice;
use http::StatusCode;
use http::request::Parts;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::future::Future;
use std::sync::Arc;

/// Fields parsed from the head of a caller's request, other than the method and path.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Id of this attempt; a retry by the caller has a different id.
    pub id: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller is willing to wait.
    pub deadline: Option<Span>,
    /// Id of the last stream event that the caller received.
    pub last_event: Option<u64>,
    /// Parts of the prompt, in order. The last one is the request's own, the others may be shared.
    pub parts: Vec<PromptPart>,
    /// Number of pieces of each stage.
    pub pieces: Vec<usize>,
}

/// An error in the head of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A required header field is missing.
    #[error("missing header field `{0}`")]
    Missing(&'static str),
    /// A header field has an invalid value.
    #[error("invalid value in header field `{0}`")]
    Malformed(&'static str),
}

/// Parameters that are sent with a request to a backend server.
#[derive(Clone, Debug)]
pub struct DispatchParams<'a> {
    /// The server that the request is addressed to; no other may run it.
    pub server: &'a Replica,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// Time left until the deadline.
    pub time_left: Span,
    /// Id of the last stream event that was delivered.
    pub last_event: Option<u64>,
    /// Handles of stage results that the server must fetch first; `None` if the route has no
    /// stages.
    pub inputs: Option<Vec<&'a str>>,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
}

/// Why a request is sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendPath {
    /// First attempt of a caller's request.
    First,
    /// Later attempt of a caller's request.
    Retry,
    /// Attempt that continues a stream.
    Resume,
    /// Call with pieces of a stage.
    Piece,
    /// Call that releases results of a stage.
    Release,
}

impl SendPath {
    /// The path's name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Resume => "resume",
            Self::Piece => "piece",
            Self::Release => "release",
        }
    }
}

/// Fields parsed from the head of a backend server's response.
#[derive(Clone, Debug)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the response carries the server's signature.
    pub signed: bool,
    /// The server guarantees that it did not run the request and never will.
    pub not_run: bool,
    /// What the answer says about the server's limit.
    pub limit: Notice,
    /// What the answer says about further requests.
    pub announcement: Announcement,
    /// What the answer says about the server's warm-up.
    pub warmup: WarmupNotice,
}

/// A piece of work in a call to a stage's server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PieceRequest {
    /// Id of the request.
    pub id: String,
    /// Index of the stage in its route.
    pub stage: usize,
    /// Index of the piece within the stage, from 0.
    pub piece: usize,
    /// Time left until the deadline.
    pub left: Span,
    /// Input of the piece.
    pub source: PieceInput,
}

/// Input of a piece.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PieceInput {
    /// The request's own data, stored under this key.
    Key(String),
    /// Handles of results of earlier stages, which all pieces of a stage share.
    Results(Arc<[String]>),
}

impl PieceInput {
    /// Returns the number of results that the piece is given.
    pub fn result_count(&self) -> usize {
        match self {
            Self::Key(_) => 0,
            Self::Results(handles) => handles.len(),
        }
    }
}

/// Outcome of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// Done; the server stores the result under this handle.
    Done(String),
    /// The piece's deadline had passed.
    Expired,
    /// An input was no longer stored.
    InputGone,
    /// The server had no room for the result.
    NoRoom,
    /// The server failed.
    ServerError,
}

/// The protocol of callers and backend servers.
pub trait Wire: 'static {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &Parts) -> Result<RequestInfo, RequestError>;
    /// Digest of what makes two requests the same call, whoever sends it and whenever.
    fn digest_call(&self, head: &Parts, body: &[Bytes]) -> u64;
    /// Key under which the first stages find the request's data.
    fn piece_key(&self, head: &Parts) -> Option<String>;
    /// Encodes the head of a request to a backend server, for a body of `body` bytes.
    fn encode_request(&self, head: &Parts, body: usize, params: &DispatchParams<'_>) -> Vec<u8>;
    /// Parses the head of a backend server's response.
    fn parse_response(&self, head: &ResponseHead) -> ResponseInfo;
    /// Whether a response header field is forwarded to the caller.
    fn forwards_header(&self, name: &str) -> bool;
    /// Encodes a complete call to a stage's server.
    fn encode_stage_call(&self, server: &Replica, items: &[PieceRequest]) -> Vec<u8>;
    /// Parses the outcomes of a stage call, in the order of its items.
    fn parse_stage_results(&self, body: &[u8]) -> Option<Vec<PieceOutcome>>;
    /// Encodes a complete call that releases stored results.
    fn encode_release(&self, server: &Replica, handles: &[String]) -> Vec<u8>;
}

/// Kind of a source error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceErrorKind {
    /// The source is unreachable or overloaded, or it rejected the call.
    Unavailable,
    /// Changes after the given revision are not available, or the response is older than what the source
    /// has answered since; a full read is needed.
    Compacted,
    /// The object of the call does not exist, or is not the one that the call expects.
    NotFound,
}

/// An error returned by a [`Source`].
pub trait SourceError: fmt::Display {
    /// Classifies the error, which decides how the caller reacts.
    fn kind(&self) -> SourceErrorKind;
}

/// A value read from the source, with its revision.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// Revision of the source at which the value was current.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// What operators write to the source: all of it, or its changes.
#[derive(Clone, Debug, Default)]
pub struct OperatorData {
    /// The newest valid configuration, if any.
    pub catalog: Option<Catalog>,
    /// Evacuated zones, or changes of them in order of revision.
    pub zones: Vec<ZoneEvent>,
    /// Whether the answer holds anything, of use or not. The source may have answered at any moment then.
    pub changed: bool,
}

/// What entries write to the source.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// The registered entries.
    pub entries: Vec<EntryInfo>,
    /// Prompt parts that are quarantined.
    pub rulings: Vec<RulingStatement>,
}

/// A lease of the source, and the record under it.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// The lease's number. Another generation of the source may give it out again.
    pub id: u64,
    /// Revision at which the record was written, in the generation that granted the lease.
    pub record: Revision,
}

/// The source of the configuration, the server list and the list of entries.
pub trait Source: 'static {
    /// The error of a failed call.
    type Error: SourceError;
    /// Returns the highest generation of the source that a response named: a number that rises when the
    /// source returns with an older state. 0 if none did.
    fn generation(&self) -> u64;
    /// Returns the newest valid configuration, if any, and the evacuated zones.
    fn catalog(&self) -> impl Future<Output = Result<Versioned<OperatorData>, Self::Error>>;
    /// Waits up to `wait` for a configuration or evacuations newer than revision `after`.
    fn watch_catalog(
        &self,
        after: Revision,
        wait: Span,
    ) -> impl Future<Output = Result<Versioned<OperatorData>, Self::Error>>;
    /// Returns all servers.
    fn listings(&self) -> impl Future<Output = Result<Versioned<Vec<Listing>>, Self::Error>>;
    /// Waits up to `wait` for server changes after revision `after`.
    fn watch_listings(
        &self,
        after: Revision,
        wait: Span,
    ) -> impl Future<Output = Result<Versioned<Vec<Listing>>, Self::Error>>;
    /// Registers this entry under a new lease.
    fn announce(&self, entry: &EntryInfo) -> impl Future<Output = Result<Lease, Self::Error>>;
    /// Renews a lease. Fails if the source has returned with an older state since it was granted.
    fn renew_lease(&self, lease: &Lease) -> impl Future<Output = Result<(), Self::Error>>;
    /// Removes the record of an entry, if it is still the one under this lease.
    fn withdraw(
        &self,
        entry: &EntryInfo,
        lease: &Lease,
    ) -> impl Future<Output = Result<(), Self::Error>>;
    /// Returns all registered entries, and the quarantines.
    fn registry(&self) -> impl Future<Output = Result<Versioned<Registry>, Self::Error>>;
    /// Keeps a quarantine for [`RECORD_TTL`](damaskweir_core::quarantine::RECORD_TTL).
    fn put_ruling(&self, ruling: &RulingStatement)
    -> impl Future<Output = Result<(), Self::Error>>;
    /// Removes the quarantine of a part.
    fn remove_ruling(&self, part: u64) -> impl Future<Output = Result<(), Self::Error>>;
    /// Waits up to `wait` for a change of the registry after revision `after`. The value tells
    /// whether there was one.
    fn watch_registry(
        &self,
        after: Revision,
        wait: Span,
    ) -> impl Future<Output = Result<Versioned<bool>, Self::Error>>;
}

/// Whether a status tells the caller that the request did not run.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
