//! The edges of this package: what callers and backend servers speak, and where the configuration and
//! the list of servers come from.

use crate::http::Head;
use damaskweir_core::catalog::Catalog;
use damaskweir_core::fleet::{Listing, Replica};
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::place::PromptPart;
use damaskweir_core::time::Span;
use http::StatusCode;
use http::request::Parts;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::future::Future;

/// What a caller asks for, apart from the method, path and body.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Names this request; another try of the caller has another id.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub deadline: Option<Span>,
    /// Last event of a stream that the caller has.
    pub last_event: Option<u64>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Pieces of each stage.
    pub pieces: Vec<usize>,
}

/// Why a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A field that every request has is missing.
    #[error("the field {0} is missing")]
    Missing(&'static str),
    /// A field has a value that can't be read.
    #[error("the field {0} can't be read")]
    Malformed(&'static str),
}

/// What goes along with a request to a backend server.
#[derive(Clone, Debug)]
pub struct DispatchParams<'a> {
    /// The only server that may run it.
    pub server: &'a Replica,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Time that is left.
    pub time_left: Span,
    /// Last event of the stream that has been delivered.
    pub last_event: Option<u64>,
    /// Results that the server has to fetch first; `None`: the route has no stages.
    pub inputs: Option<Vec<&'a str>>,
    /// Rank against other requests; 0 is most urgent.
    pub rank: u8,
}

/// What an answer of a backend server says of the request.
#[derive(Clone, Debug)]
pub struct ResponseInfo {
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the server's proof.
    pub signed: bool,
    /// The server states that it has not run the request and never will.
    pub not_run: bool,
}

/// One piece of a call to a stage's server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PieceRequest {
    /// Id of the request.
    pub id: String,
    /// Position of the stage on its route.
    pub stage: usize,
    /// Counts the pieces of the stage from 0.
    pub piece: usize,
    /// Time that is left.
    pub left: Span,
    /// What it works on.
    pub source: PieceInput,
}

/// What a piece works on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PieceInput {
    /// The request's own data, under this key.
    Key(String),
    /// Results of earlier stages.
    Results(Vec<String>),
}

/// Result of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// Its result lies at the server under this handle.
    Done(String),
    /// Its time had passed.
    Expired,
    /// One of its inputs is gone.
    InputGone,
    /// The server has no room for the result.
    NoRoom,
    /// The server failed.
    ServerError,
}

/// The protocol of callers and backend servers.
pub trait Wire: 'static {
    /// Reads the head of a caller's request.
    fn parse_request(&self, head: &Parts) -> Result<RequestInfo, RequestError>;
    /// Key under which the first stages find the request's data.
    fn piece_key(&self, head: &Parts) -> Option<String>;
    /// Head of the request to a backend server.
    fn encode_request(&self, head: &Parts, body: usize, order: &DispatchParams<'_>) -> Vec<u8>;
    /// Reads the head of a backend server's answer.
    fn parse_response(&self, head: &Head) -> ResponseInfo;
    /// Whether a field of an answer is passed on to the caller.
    fn forwards_header(&self, name: &str) -> bool;
    /// A whole call to a stage's server.
    fn encode_stage_call(&self, server: &Replica, items: &[PieceRequest]) -> Vec<u8>;
    /// Results of a call, in the order of its items.
    fn parse_stage_results(&self, body: &[u8]) -> Option<Vec<PieceOutcome>>;
    /// A whole call that gives results back.
    fn encode_release(&self, server: &Replica, handles: &[String]) -> Vec<u8>;
}

/// Why the source did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceErrorKind {
    /// It can't be reached, is busy or refuses.
    Unavailable,
    /// The changes after the revision are not kept any more: read the whole.
    Compacted,
    /// What the call is about does not exist.
    NotFound,
}

/// An error of the source.
pub trait SourceError: fmt::Display {
    /// What to do about it.
    fn kind(&self) -> SourceErrorKind;
}

/// Something read from the source.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// Revision of the source as of which it holds.
    pub revision: u64,
    /// What was read.
    pub value: T,
}

/// Where the configuration, the list of servers and the list of entries come from.
pub trait Source: 'static {
    /// Why a call failed.
    type Error: SourceError;
    /// The newest configuration, if there is one that can be read.
    fn catalog(&self) -> impl Future<Output = Result<Versioned<Option<Catalog>>, Self::Error>>;
    /// Waits for a configuration after a revision, for so long.
    fn watch_catalog(
        &self,
        after: u64,
        wait: Span,
    ) -> impl Future<Output = Result<Versioned<Option<Catalog>>, Self::Error>>;
    /// All servers.
    fn listings(&self) -> impl Future<Output = Result<Versioned<Vec<Listing>>, Self::Error>>;
    /// Waits for changes of servers after a revision, for so long.
    fn watch_listings(
        &self,
        after: u64,
        wait: Span,
    ) -> impl Future<Output = Result<Versioned<Vec<Listing>>, Self::Error>>;
    /// Announces this entry under a lease, and tells the lease.
    fn announce(&self, entry: &EntryInfo) -> impl Future<Output = Result<u64, Self::Error>>;
    /// Renews a lease.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<(), Self::Error>>;
    /// Ends a lease.
    fn revoke_lease(&self, lease: u64) -> impl Future<Output = Result<(), Self::Error>>;
    /// All entries that have announced themselves.
    fn entries(&self) -> impl Future<Output = Result<Versioned<Vec<EntryInfo>>, Self::Error>>;
    /// Waits for any change of the entries after a revision, for so long. Tells whether there was one.
    fn watch_entries(
        &self,
        after: u64,
        wait: Span,
    ) -> impl Future<Output = Result<Versioned<bool>, Self::Error>>;
}

/// Whether a status promises that the request has not run.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
