//! Admission at the entry, before any stage is paid for.

use crate::bundle::Workspace;
use crate::ids::WorkspaceId;
use crate::time::Span;
use std::collections::BTreeMap;

/// Retry hint when a workspace is at its limit.
const LIMIT_RETRY: Span = Span::from_millis(500);

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The workspace has too many requests in progress.
    WorkspaceLimit {
        /// When to come back.
        retry: Span,
    },
    /// The pools cannot finish it in time.
    Overloaded {
        /// When to come back.
        retry: Span,
    },
}

/// Requests in progress per workspace.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    progress: BTreeMap<WorkspaceId, u32>,
}

impl Admission {
    /// Admits a request, or says why not. An admitted request must be released once.
    pub fn admit(
        &mut self,
        id: &WorkspaceId,
        workspace: &Workspace,
        predicted: Span,
        budget: Span,
    ) -> Result<(), Denial> {
        if predicted > budget {
            return Err(Denial::Overloaded { retry: predicted.saturating_sub(budget) });
        }
        let progress = self.progress.entry(id.clone()).or_default();
        if *progress >= workspace.limit {
            return Err(Denial::WorkspaceLimit { retry: LIMIT_RETRY });
        }
        *progress += 1;
        Ok(())
    }

    /// A request of the workspace ended.
    pub fn release(&mut self, id: &WorkspaceId) {
        if let Some(progress) = self.progress.get_mut(id) {
            *progress = progress.saturating_sub(1);
            if *progress == 0 {
                self.progress.remove(id);
            }
        }
    }
}
