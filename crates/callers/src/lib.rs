//! HTTP API for callers: validates a request, submits it to the [`Gateway`] and returns the result
//! or the error as JSON or as server-sent events.
//!
//! ```
//! use damaskweir_callers::{ErrorCode, Execution};
//!
//! let code = ErrorCode::DeadlineExceeded;
//! assert_eq!(code.status(Execution::NotRun), 503);
//! assert_eq!(code.status(Execution::Unknown), 504);
//! assert_eq!(code.status(Execution::Ran), 502);
//! ```

mod api;
mod call;
mod code;
mod error;
mod gateway;
mod limit;
mod probe;
mod workspace;

pub use api::{Api, listen, openapi_json};
pub use code::{ErrorCode, Execution};
pub use error::ErrorBody;
pub use gateway::{
    Failed, Finished, Gateway, OutputFormat, Readiness, Reply, ReplyEvent, ReplySender,
    StageTiming, Submission, reply_channel,
};
pub use limit::Limits;
pub use workspace::{Authenticator, credential_digest};
