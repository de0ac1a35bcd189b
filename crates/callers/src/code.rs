//! Error codes of the API and their HTTP status.

use damaskweir_core::entry;
use salvo::oapi::ToSchema;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a request has no answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ToSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The path or the resource does not exist.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The content type is not JSON.
    UnsupportedMediaType,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body is not a JSON object, or its `stream` member is not a boolean.
    BodyMalformed,
    /// The body did not arrive completely.
    BodyUnreadable,
    /// `x-deadline-ms` is not a whole number of at least 1.
    BadDeadline,
    /// `idempotency-key` is not 1 to 255 visible ASCII characters.
    BadKey,
    /// Neither a workspace nor a credential was given.
    WorkspaceRequired,
    /// The credential maps to no workspace.
    UnknownCredential,
    /// `x-workspace` may not be used here, or differs from the credential's workspace.
    WorkspaceDenied,
    /// The bundle has no such pipeline.
    UnknownPipeline,
    /// The bundle has no such workspace.
    UnknownWorkspace,
    /// A stage may run only once and no key was given.
    KeyRequired,
    /// The key was used with another body.
    KeyReused,
    /// The workspace has too many requests in progress.
    WorkspaceLimit,
    /// The pools can't finish the request in time.
    Overloaded,
    /// The stages take longer than the deadline even when nothing waits.
    DeadlineTooShort,
    /// No server of a pool can be reached.
    Unavailable,
    /// The entry is shutting down.
    Draining,
    /// The store is needed for this call and can't be reached.
    StoreDown,
    /// The deadline passed.
    DeadlineExceeded,
    /// A stage failed.
    StageFailed,
    /// The stream broke after part of it was passed on, and can't be resumed.
    StreamBroken,
    /// A non-idempotent call may or may not have run; nobody runs it again.
    OutcomeUnknown,
    /// A fault in the entry itself.
    Internal,
}

/// What happened to the work of a request without an answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ToSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Nothing ran and nothing will.
    NotRun,
    /// Some of it may have run.
    Unknown,
    /// Some of it ran.
    Ran,
}

/// HTTP status of every error whose execution is unknown.
const UNKNOWN_STATUS: u16 = 504;
/// HTTP status of every error after some of the work ran.
const RAN_STATUS: u16 = 502;

impl ErrorCode {
    /// All codes, in the order of the OpenAPI document.
    pub const ALL: [ErrorCode; 26] = [
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::UnsupportedMediaType,
        Self::BodyTooLarge,
        Self::BodyMalformed,
        Self::BodyUnreadable,
        Self::BadDeadline,
        Self::BadKey,
        Self::WorkspaceRequired,
        Self::UnknownCredential,
        Self::WorkspaceDenied,
        Self::UnknownPipeline,
        Self::UnknownWorkspace,
        Self::KeyRequired,
        Self::KeyReused,
        Self::WorkspaceLimit,
        Self::Overloaded,
        Self::DeadlineTooShort,
        Self::Unavailable,
        Self::Draining,
        Self::StoreDown,
        Self::DeadlineExceeded,
        Self::StageFailed,
        Self::StreamBroken,
        Self::OutcomeUnknown,
        Self::Internal,
    ];

    /// Returns the HTTP status. 502 and 504 depend on the execution alone, so that a caller that
    /// checks only the status can't mistake work that ran, or may have run, for work that did not.
    pub const fn status(self, execution: Execution) -> u16 {
        match execution {
            Execution::Unknown => UNKNOWN_STATUS,
            Execution::Ran => RAN_STATUS,
            Execution::NotRun => self.not_run_status(),
        }
    }

    const fn not_run_status(self) -> u16 {
        match self {
            Self::BodyMalformed
            | Self::BodyUnreadable
            | Self::BadDeadline
            | Self::BadKey
            | Self::KeyRequired => 400,
            Self::WorkspaceRequired | Self::UnknownCredential => 401,
            Self::WorkspaceDenied | Self::UnknownWorkspace => 403,
            Self::NotFound | Self::UnknownPipeline => 404,
            Self::MethodNotAllowed => 405,
            Self::KeyReused => 409,
            Self::BodyTooLarge => 413,
            Self::UnsupportedMediaType => 415,
            Self::DeadlineTooShort => 422,
            Self::WorkspaceLimit => 429,
            Self::Internal => 500,
            Self::Overloaded
            | Self::Unavailable
            | Self::Draining
            | Self::StoreDown
            | Self::DeadlineExceeded
            | Self::StageFailed
            | Self::StreamBroken
            | Self::OutcomeUnknown => 503,
        }
    }

    /// Returns the code as it is written in responses.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::UnsupportedMediaType => "unsupported_media_type",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyMalformed => "body_malformed",
            Self::BodyUnreadable => "body_unreadable",
            Self::BadDeadline => "bad_deadline",
            Self::BadKey => "bad_key",
            Self::WorkspaceRequired => "workspace_required",
            Self::UnknownCredential => "unknown_credential",
            Self::WorkspaceDenied => "workspace_denied",
            Self::UnknownPipeline => "unknown_pipeline",
            Self::UnknownWorkspace => "unknown_workspace",
            Self::KeyRequired => "key_required",
            Self::KeyReused => "key_reused",
            Self::WorkspaceLimit => "workspace_limit",
            Self::Overloaded => "overloaded",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::Unavailable => "unavailable",
            Self::Draining => "draining",
            Self::StoreDown => "store_down",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::StageFailed => "stage_failed",
            Self::StreamBroken => "stream_broken",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Internal => "internal",
        }
    }

    /// Returns a message for people.
    pub const fn message(self) -> &'static str {
        match self {
            Self::NotFound => "no such path",
            Self::MethodNotAllowed => "the path does not take this method",
            Self::UnsupportedMediaType => "the content type must be application/json",
            Self::BodyTooLarge => "the body is larger than this entry accepts",
            Self::BodyMalformed => "the body must be a JSON object; 'stream' must be a boolean",
            Self::BodyUnreadable => "the body did not arrive completely",
            Self::BadDeadline => "x-deadline-ms must be a whole number of at least 1",
            Self::BadKey => "idempotency-key must be 1 to 255 visible ASCII characters",
            Self::WorkspaceRequired => "a workspace or a credential is required",
            Self::UnknownCredential => "the credential is not known",
            Self::WorkspaceDenied => "the workspace can't be used with this credential",
            Self::UnknownPipeline => "no such pipeline",
            Self::UnknownWorkspace => "no such workspace",
            Self::KeyRequired => "this pipeline requires an idempotency-key",
            Self::KeyReused => "the idempotency-key was used with another body",
            Self::WorkspaceLimit => "the workspace has too many requests in progress",
            Self::Overloaded => "the request can't be finished in time",
            Self::DeadlineTooShort => "the stages take longer than the deadline",
            Self::Unavailable => "no server of a stage can be reached",
            Self::Draining => "this entry is shutting down",
            Self::StoreDown => "the store is needed for this call and can't be reached",
            Self::DeadlineExceeded => "the deadline passed",
            Self::StageFailed => "a stage failed",
            Self::StreamBroken => "the stream broke and can't be resumed",
            Self::OutcomeUnknown => "the call may or may not have run; it is not run again",
            Self::Internal => "a fault in the entry",
        }
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl From<entry::ErrorCode> for ErrorCode {
    fn from(code: entry::ErrorCode) -> Self {
        match code {
            entry::ErrorCode::UnknownPipeline => Self::UnknownPipeline,
            entry::ErrorCode::UnknownWorkspace => Self::UnknownWorkspace,
            entry::ErrorCode::KeyRequired => Self::KeyRequired,
            entry::ErrorCode::KeyReused => Self::KeyReused,
            entry::ErrorCode::WorkspaceLimit => Self::WorkspaceLimit,
            entry::ErrorCode::Overloaded => Self::Overloaded,
            entry::ErrorCode::DeadlineTooShort => Self::DeadlineTooShort,
            entry::ErrorCode::Unavailable => Self::Unavailable,
            entry::ErrorCode::Draining => Self::Draining,
            entry::ErrorCode::StoreDown => Self::StoreDown,
            entry::ErrorCode::DeadlineExceeded => Self::DeadlineExceeded,
            entry::ErrorCode::StageFailed => Self::StageFailed,
            entry::ErrorCode::StreamBroken => Self::StreamBroken,
            entry::ErrorCode::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }
}

impl From<entry::Execution> for Execution {
    fn from(execution: entry::Execution) -> Self {
        match execution {
            entry::Execution::NotRun => Self::NotRun,
            entry::Execution::Unknown => Self::Unknown,
            entry::Execution::Ran => Self::Ran,
        }
    }
}
