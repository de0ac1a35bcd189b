//! Client of model engines: streamed completions, load reports, cache events and orders.
//!
//! Completions follow the OpenAI API: `POST /v1/completions` with `"stream": true`, answered by
//! server-sent events that end with `[DONE]`. Engines may support three extension fields, which are
//! sent only where the settings say so:
//!
//! - `priority` (integer) in the request: a smaller value is served earlier.
//! - `resume_from` (integer) in the request: the answer starts with the token of this index.
//! - `token_index` (integer) in each event: position of its token in the whole answer. Engines that
//!   resume must send it.
//!
//! Each request carries the headers `damaskweir-attempt` and, for calls with an idempotency key,
//! `idempotency-key` with the digest of workspace and key.
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
