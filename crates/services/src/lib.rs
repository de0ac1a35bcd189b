//! Client of plain services: JSON over HTTP, with errors told apart by what happened to the work.
//!
//! Each call is a `POST` with the headers `damaskweir-attempt` and, for calls with an idempotency
//! key, `idempotency-key` with the digest of workspace and key.

mod client;
mod error;

pub use client::{Call, Service, ServiceSettings};
pub use error::ServiceError;
