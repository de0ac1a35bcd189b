//! Admission control at the entry, before any stage of a request uses resources.

use crate::bundle::Workspace;
use crate::ids::WorkspaceId;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// Minimum time between two recomputations of the fair usage.
const FAIR_USAGE_INTERVAL: Span = Span::from_millis(100);
/// Decayed work, in microseconds, up to which a workspace does not count as busy.
const BUSY_USAGE_MIN: f64 = 1_000.0;
/// Retry hint for a request refused by the concurrency limit of its workspace.
const LIMIT_RETRY_AFTER: Span = Span::from_millis(500);

/// Reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The workspace has too many requests in progress.
    WorkspaceLimit {
        /// Delay before the caller should retry.
        retry_after: Span,
    },
    /// The pools are not predicted to finish it in time.
    Overloaded {
        /// Delay before the caller should retry.
        retry_after: Span,
    },
    /// The nominal service time of the stages exceeds the deadline, so a retry cannot succeed.
    DeadlineTooShort,
}

/// Base maximum of the predicted wait, as a fraction of a request's budget. A longer queue would add
/// latency but no throughput, and leave later stages without time.
const WAIT_MAX_FRACTION: f64 = 0.3;
/// Time constant of the exponential decay of admitted work; after this time it counts for 37%.
const USAGE_DECAY_TIME: Span = Span::from_secs(2);
/// Minimum and maximum factor applied to the base maximum wait, by the usage of a workspace.
const ALLOWANCE_RANGE: (f64, f64) = (0.25, 1.5);
/// Minimum retry hint of an overloaded pool.
const RETRY_AFTER_MIN: Span = Span::from_millis(100);

/// Predicted cost and deadline of a request to admit.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Predicted total service time of the stages.
    pub work: Span,
    /// Total service time of the stages as configured in the bundle.
    pub nominal_work: Span,
    /// Predicted total queueing time of the stages.
    pub wait: Span,
    /// Time until the deadline.
    pub budget: Span,
}

/// Recently admitted work of one workspace.
#[derive(Clone, Debug)]
struct Usage {
    /// Microseconds of predicted work, decayed since `updated`.
    work: f64,
    share: f64,
    updated: Time,
}

impl Usage {
    fn decayed_work(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / USAGE_DECAY_TIME.as_secs_f64();
        self.work * (-age).exp()
    }
}

/// Admission control by requests in progress and recently admitted work of each workspace.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    in_progress: BTreeMap<WorkspaceId, u32>,
    usage: BTreeMap<WorkspaceId, Usage>,
    /// Decayed work per share over all busy workspaces, in microseconds, computed at `fair_updated`.
    fair_usage: f64,
    fair_updated: Time,
}

impl Admission {
    /// Admits a request or returns the reason for refusal. Call [`Self::release`] exactly once for each
    /// admitted request.
    ///
    /// A workspace that used more than its share has a lower maximum wait than one that used less, and
    /// is therefore refused first when queues build up.
    pub fn admit(
        &mut self,
        now: Time,
        id: &WorkspaceId,
        workspace: &Workspace,
        request: Option<AdmissionRequest>,
    ) -> Result<(), Denial> {
        if let Some(request) = request {
            if request.work > request.budget {
                return Err(deadline_denial(&request));
            }
            let max_wait = request
                .budget
                .saturating_sub(request.work)
                .0
                .min(request.budget.scale(WAIT_MAX_FRACTION).0);
            let allowed = Span(max_wait).scale(self.wait_allowance(now, id));
            if request.wait > allowed {
                let over = request.wait.saturating_sub(allowed);
                return Err(Denial::Overloaded { retry_after: over.max(RETRY_AFTER_MIN) });
            }
            self.update_fair_usage(now);
        }
        let in_progress = self.in_progress.entry(id.clone()).or_default();
        if *in_progress >= workspace.limit {
            return Err(Denial::WorkspaceLimit { retry_after: LIMIT_RETRY_AFTER });
        }
        *in_progress += 1;
        self.record_work(now, id, workspace, request.map_or(Span::ZERO, |request| request.work));
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, id: &WorkspaceId) {
        if let Some(in_progress) = self.in_progress.get_mut(id) {
            *in_progress = in_progress.saturating_sub(1);
            if *in_progress == 0 {
                self.in_progress.remove(id);
            }
        }
    }

    /// Factor applied to the base maximum wait of a workspace: the fair usage divided by its own, within
    /// `ALLOWANCE_RANGE`.
    fn wait_allowance(&self, now: Time, id: &WorkspaceId) -> f64 {
        let own = self.usage.get(id).map_or(0.0, |usage| usage.decayed_work(now) / usage.share);
        if own <= 0.0 {
            return ALLOWANCE_RANGE.1;
        }
        (self.fair_usage / own).clamp(ALLOWANCE_RANGE.0, ALLOWANCE_RANGE.1)
    }

    /// Recomputes the fair usage and drops idle workspaces. Rate-limited, since there may be thousands of
    /// workspaces.
    fn update_fair_usage(&mut self, now: Time) {
        if now.since(self.fair_updated) < FAIR_USAGE_INTERVAL {
            return;
        }
        self.fair_updated = now;
        self.usage.retain(|_, usage| usage.decayed_work(now) > BUSY_USAGE_MIN);
        let work: f64 = self.usage.values().map(|usage| usage.decayed_work(now)).sum();
        let shares: f64 = self.usage.values().map(|usage| usage.share).sum();
        self.fair_usage = work / shares.max(1.0);
    }

    fn record_work(&mut self, now: Time, id: &WorkspaceId, workspace: &Workspace, work: Span) {
        let share = f64::from(workspace.share.max(1));
        let usage =
            self.usage.entry(id.clone()).or_insert(Usage { work: 0.0, share, updated: now });
        usage.work = usage.decayed_work(now) + work.0 as f64;
        usage.share = share;
        usage.updated = now;
    }
}

/// Distinguishes a deadline that is always too short from servers that are temporarily slow.
fn deadline_denial(request: &AdmissionRequest) -> Denial {
    if request.nominal_work > request.budget {
        Denial::DeadlineTooShort
    } else {
        Denial::Overloaded {
            retry_after: request.work.saturating_sub(request.budget).max(RETRY_AFTER_MIN),
        }
    }
}

/// Time since the first consecutive failure after which the store counts as down. A single lost answer
/// is not enough.
const STORE_DOWN_AFTER: Span = Span::from_millis(500);
/// Time after the last failure at which the store no longer counts as down.
const STORE_FAILURE_TTL: Span = Span::from_secs(2);
/// Minimum time between the requests that probe a store that is down.
const STORE_PROBE_INTERVAL: Span = Span::from_millis(250);

/// Availability of the store, inferred from the answers to claims.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    /// Times of the first and the last failure since the last successful answer.
    failures: Option<(Time, Time)>,
    /// When a request was last allowed.
    last_probe: Time,
}

impl StoreHealth {
    /// Records whether a claim was answered.
    pub fn record_answer(&mut self, now: Time, good: bool) {
        let first = self.failures.map_or(now, |(first, _)| first);
        self.failures = (!good).then_some((first, now));
    }

    /// Whether a request that needs the store may start. While the store is down, one request is allowed
    /// per probe interval, since only the answer to a claim shows that the store has recovered.
    pub fn allow_request(&mut self, now: Time) -> bool {
        let down = self.failures.is_some_and(|(first, last)| {
            now.since(first) >= STORE_DOWN_AFTER && now.since(last) < STORE_FAILURE_TTL
        });
        let allowed = !down || now.since(self.last_probe) >= STORE_PROBE_INTERVAL;
        if allowed {
            self.last_probe = now;
        }
        allowed
    }
}
