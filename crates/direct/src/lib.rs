//! An entry that calls backend servers directly, for deployments whose platform lists its servers, holds
//! the configuration and has no process of ours beside each server.
//!
//! Decisions come from `damaskweir_core`; this package carries them out on one thread. What is spoken to
//! callers, backend servers and the store is behind the traits of [`wire`].

mod attempt;
mod body;
mod calls;
mod event;
mod peers;
mod request;
mod stages;
mod stream;

pub mod explain;
pub mod http;
pub mod log;
pub mod metrics;
pub mod node;
pub mod serve;
pub mod sync;
pub mod wire;

pub use body::{Body, StreamError};
pub use event::{Event, Splitter};
