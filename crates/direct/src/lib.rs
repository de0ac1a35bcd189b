//! An entry that calls backend servers directly. It is for deployments where the platform lists the
//! servers and stores the configuration, and where no sidecar runs beside each server.
//!
//! `damaskweir_core` makes the decisions; this crate carries them out on a single thread. The
//! protocols of callers, backend servers and the store are behind the traits in [`wire`].

mod attempt;
mod body;
mod calls;
mod evacuation;
mod event;
mod exposure;
mod head;
mod loads;
mod peers;
mod permits;
mod quarantine;
mod request;
mod snapshot;
mod stages;
mod standing;
mod stream;
mod warmup;

pub mod explain;
pub mod http;
pub mod log;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod serve;
pub mod sync;
pub mod wire;

pub use body::{Body, StreamError};
pub use event::{Event, Splitter};
