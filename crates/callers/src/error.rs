//! Body of all error responses.

use crate::code::{ErrorCode, Execution};
use crate::gateway::Failed;
use damaskweir_core::time::Span;
use salvo::http::{StatusCode, header};
use salvo::oapi::ToSchema;
use salvo::writing::Json;
use salvo::{Response, Scribe};
use serde::{Deserialize, Serialize};

/// Body of every error, and data of the `error` event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct ErrorBody {
    /// Why there is no answer.
    pub code: ErrorCode,
    /// What happened to the work.
    pub execution: Execution,
    /// The stage at which the request ended, if it reached one.
    pub stage: Option<String>,
    /// Id of the request, as in the entry's log.
    pub request: String,
    /// One sentence for people.
    pub message: String,
    /// When a new try can help, in milliseconds from now; absent when it can't.
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Creates the body for a request that was rejected before any work ran.
    pub(crate) fn rejection(code: ErrorCode, request: String) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            stage: None,
            request,
            message: code.message().to_owned(),
            retry_after_ms: None,
        }
    }

    /// Creates the body for an internal error after which it is unknown whether any work ran: the
    /// gateway ended the reply without a final event, or a handler panicked.
    pub(crate) fn unknown_execution(request: String) -> Self {
        Self { execution: Execution::Unknown, ..Self::rejection(ErrorCode::Internal, request) }
    }

    /// Creates the body for an error that the gateway reported.
    pub(crate) fn from_failed(failed: Failed, request: String) -> Self {
        Self {
            code: failed.code,
            execution: failed.execution,
            stage: failed.stage,
            request,
            message: failed.code.message().to_owned(),
            retry_after_ms: failed.retry_after.map(Span::as_millis),
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        self.code.status(self.execution)
    }
}

impl Scribe for ErrorBody {
    fn render(self, res: &mut Response) {
        let status = StatusCode::from_u16(self.status());
        res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        if let Some(millis) = self.retry_after_ms {
            // Rounded up, so that a caller that reads only the header does not retry too early.
            res.headers_mut().insert(header::RETRY_AFTER, millis.div_ceil(1_000).into());
        }
        if self.status() == 401 {
            let challenge = header::HeaderValue::from_static("Bearer");
            res.headers_mut().insert(header::WWW_AUTHENTICATE, challenge);
        }
        res.render(Json(self));
    }
}
