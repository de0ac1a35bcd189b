//! Client of JSON-over-HTTP services. Its errors distinguish calls that did not run, that ran and
//! failed, and that may have run.
//!
//! Each call is a `POST` with the headers `damaskweir-attempt` and, for calls with an idempotency
//! key, `idempotency-key` with the digest of the workspace and the key.
//!
//! ```no_run
//! use bytes::Bytes;
//! use damaskweir_core::prelude::*;
//! use damaskweir_services::{Call, Service, ServiceError, ServiceSettings};
//!
//! # async fn run(attempt: AttemptId, key: Digest) -> Result<(), ServiceError> {
//! let service = Service::new(ServiceSettings::default())?;
//! let call = Call {
//!     path: "/bookings",
//!     attempt,
//!     key: Some(key),
//!     effect: Effect::Once,
//!     body: Bytes::from_static(br#"{"rickshaw": 12}"#),
//! };
//! match service.call(call).await {
//!     Ok(answer) => println!("{} bytes", answer.len()),
//!     Err(ServiceError::OutcomeUnknown(reason)) => println!("the call may have run: {reason}"),
//!     Err(error) => println!("{error}"),
//! }
//! # Ok(())
//! # }
//! ```

mod client;
mod error;

pub use client::{Call, Load, Service, ServiceSettings};
pub use error::ServiceError;
