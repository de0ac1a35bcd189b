//! Operator commands: check, compare, approve and roll back bundles, and show which versions are in
//! force.
//!
//! ```
//! use damaskweir_operators::{Exit, run};
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let (mut output, mut errors) = (Vec::new(), Vec::new());
//! let arguments = ["bundle", "check"].map(Into::into).to_vec();
//! assert_eq!(run(arguments, &mut output, &mut errors).await, Exit::Usage);
//! # });
//! ```

mod approve;
mod command;
mod history;
mod layout;
mod report;
mod source;
mod status;

pub use approve::{Accepted, ApprovalRequest, ApproveError, approve, rollback};
pub use command::{Exit, run};
pub use history::{AuditEntry, AuditError, History, load_history};
pub use layout::{
    MANIFEST_KEY, SECTION_PREFIX, STATUS_PREFIX, WATCH_RANGE_END, audit_key, section_key,
    status_key,
};
pub use report::{SideVersion, StatusRecord};
pub use source::{
    CurrentRecord, LoadError, load_content, load_current, load_record, load_sections,
};
pub use status::{Status, SyncState, load_status};
