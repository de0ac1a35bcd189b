//! Client for the platform's key-value service, which it calls through the JSON gateway of the etcd v3
//! API.
//!
//! Each call has a timeout, counts against a rate limit of the client and is retried with decorrelated
//! jitter. Errors tell whether a write certainly had no effect or may have taken effect; see
//! [`StoreError::effect`].
//!
//! ```no_run
//! use damaskweir_store::{Client, Settings};
//! use rand_chacha::rand_core::SeedableRng;
//!
//! # async fn run() -> Result<(), damaskweir_store::StoreError> {
//! let rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
//! let client = Client::new(Settings::new("http://127.0.0.1:2379"), rng)?;
//! let manifest = client.get("/damaskweir/manifest").await?;
//! println!("{:?}", manifest.map(|found| found.revision));
//! # Ok(())
//! # }
//! ```

mod claim;
mod client;
mod error;
mod gateway;
mod share;
mod watch;

pub use claim::{ClaimCounts, ClaimSettings, ClaimWriter, claim_key};
pub use client::{CallCounts, Client, Settings};
pub use error::{StoreError, WriteEffect};
pub use gateway::{Compare, KeyValue, LeaseGrant, Op, OpResponse, Txn, TxnResponse};
pub use watch::{Watch, WatchEvent};

/// Maximum size in bytes of a value that the service accepts.
pub const VALUE_MAX_BYTES: usize = 1_000_000;
