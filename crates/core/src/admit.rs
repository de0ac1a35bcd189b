//! Admission at the entry, before any stage is paid for.

use crate::bundle::Workspace;
use crate::ids::WorkspaceId;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// Time between two sums of the use of all workspaces.
const FAIR_USAGE_INTERVAL: Span = Span::from_millis(100);
/// A workspace with less predicted work than this (in microseconds) is not busy.
const BUSY_USAGE_MIN: f64 = 1_000.0;
/// Retry hint when a workspace is at its limit.
const LIMIT_RETRY_AFTER: Span = Span::from_millis(500);

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The workspace has too many requests in progress.
    WorkspaceLimit {
        /// When to come back.
        retry_after: Span,
    },
    /// The pools cannot finish it in time.
    Overloaded {
        /// When to come back.
        retry_after: Span,
    },
    /// The stages alone take longer than the deadline; coming back later does not help.
    DeadlineTooShort,
}

/// Share of its budget that a request may be predicted to wait. A longer queue would add no
/// throughput, only latency, and would leave later stages without time.
const WAIT_MAX_FRACTION: f64 = 0.3;
/// Time after which admitted work counts for less than half.
const USAGE_DECAY_TIME: Span = Span::from_secs(2);
/// Least and greatest part of the usual wait that a workspace is allowed.
const ALLOWANCE_RANGE: (f64, f64) = (0.25, 1.5);
/// Shortest retry hint.
const RETRY_AFTER_MIN: Span = Span::from_millis(100);

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Predicted service time of all its stages.
    pub work: Span,
    /// Service time of all its stages that the bundle tells to expect.
    pub nominal_work: Span,
    /// Predicted wait at all its stages.
    pub wait: Span,
    /// Time until its deadline.
    pub budget: Span,
}

/// Work admitted lately for one workspace.
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

/// Admission control: requests in progress per workspace, and work admitted lately.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    in_progress: BTreeMap<WorkspaceId, u32>,
    usage: BTreeMap<WorkspaceId, Usage>,
    /// Work per share of all busy workspaces, and when it was summed up.
    fair_usage: f64,
    fair_updated: Time,
}

impl Admission {
    /// Admits a request, or says why not. An admitted request must be released once.
    ///
    /// While requests have to wait, a workspace that used more than its share is allowed less wait
    /// than one that used less, so the former is refused first.
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
            let usual = request
                .budget
                .saturating_sub(request.work)
                .0
                .min(request.budget.scale(WAIT_MAX_FRACTION).0);
            let allowed = Span(usual).scale(self.wait_allowance(now, id));
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

    /// A request of the workspace ended.
    pub fn release(&mut self, id: &WorkspaceId) {
        if let Some(in_progress) = self.in_progress.get_mut(id) {
            *in_progress = in_progress.saturating_sub(1);
            if *in_progress == 0 {
                self.in_progress.remove(id);
            }
        }
    }

    /// How much of the usual wait a workspace is allowed, from its use against its share.
    fn wait_allowance(&self, now: Time, id: &WorkspaceId) -> f64 {
        let own = self.usage.get(id).map_or(0.0, |usage| usage.decayed_work(now) / usage.share);
        if own <= 0.0 {
            return ALLOWANCE_RANGE.1;
        }
        (self.fair_usage / own).clamp(ALLOWANCE_RANGE.0, ALLOWANCE_RANGE.1)
    }

    /// Sums up the use of all busy workspaces; not on each request, since there may be thousands.
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

/// Tells a deadline that is always too short from servers that are slow for the moment.
fn deadline_denial(request: &AdmissionRequest) -> Denial {
    if request.nominal_work > request.budget {
        Denial::DeadlineTooShort
    } else {
        Denial::Overloaded {
            retry_after: request.work.saturating_sub(request.budget).max(RETRY_AFTER_MIN),
        }
    }
}

/// Time without a good answer after which the store counts as down; one lost answer says little.
const STORE_DOWN_AFTER: Span = Span::from_millis(500);
/// Time after which the last failure says nothing any more.
const STORE_FAILURE_TTL: Span = Span::from_secs(2);
/// Time between requests that are let through to see whether the store is back.
const STORE_PROBE_INTERVAL: Span = Span::from_millis(250);

/// What the answers to claims tell about the store.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    /// First and last failure since the last good answer.
    failures: Option<(Time, Time)>,
    /// When a request was last let through.
    last_probe: Time,
}

impl StoreHealth {
    /// A claim was answered, or not.
    pub fn record_answer(&mut self, now: Time, good: bool) {
        let first = self.failures.map_or(now, |(first, _)| first);
        self.failures = (!good).then_some((first, now));
    }

    /// Whether a request that needs the store may begin. While the store is down one is let through
    /// from time to time, since the answer to its claim is the only way to see that the store is back.
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
