//! Client of model engines: streamed completions, load reports, cache events and orders.
//!
//! Completions follow the OpenAI API: `POST /v1/completions` with `"stream": true` returns
//! server-sent events that end with `[DONE]`. Engines may support three extension fields; those of
//! the request are sent only if the settings enable them:
//!
//! - `priority` (integer) in the request: lower values run first.
//! - `resume_from` (integer) in the request: the response starts with the token at this index.
//! - `token_index` (integer) in each event: position of its token in the whole response. Engines
//!   that support `resume_from` must send it.
//!
//! Each request carries the headers `damaskweir-attempt` and, for calls with an idempotency key,
//! `idempotency-key` with the digest of the workspace and the key.
//!
//! ```no_run
//! use damaskweir_core::prelude::*;
//! use damaskweir_engines::{Call, Engine, EngineError, EngineSettings};
//!
//! # async fn run(attempt: AttemptId) -> Result<(), EngineError> {
//! let engine = Engine::new(EngineSettings::default())?;
//! let call = Call {
//!     path: "/v1/completions",
//!     attempt,
//!     key: None,
//!     body: b"Labels for Kollam:",
//!     resume_from: 0,
//!     priority: 0,
//! };
//! let mut completion = engine.complete(call).await?;
//! while let Some(token) = completion.next().await? {
//!     print!("{}", token.text);
//! }
//! # Ok(())
//! # }
//! ```

mod body;
mod cache;
mod client;
mod completion;
mod error;
mod load;
mod order;

pub use cache::{CacheChange, CacheFeed};
pub use client::{Call, Engine, EngineSettings};
pub use completion::{Completion, Token};
pub use error::{EngineError, OrderError};
pub use load::Load;
pub use order::{Applied, Order, Role};
