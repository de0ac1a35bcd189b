//! Admission at the entry, before any stage is paid for.

use crate::bundle::Workspace;
use crate::ids::WorkspaceId;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// Time between two sums of the use of all workspaces.
const SUM_TIME: Span = Span::from_millis(100);
/// A workspace with less predicted work than this (in microseconds) is not busy.
const USAGE_MIN: f64 = 1_000.0;
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
    /// The stages alone take longer than the deadline; coming back later does not help.
    TooShort,
}

/// Share of its budget that a request may be predicted to wait. A longer queue would add no
/// throughput, only latency, and would leave later stages without time.
const WAIT_SHARE: f64 = 0.3;
/// Time after which admitted work counts for less than half.
const USAGE_MEMORY: Span = Span::from_secs(2);
/// Least and greatest part of the usual wait that a workspace is allowed.
const SHARE_RANGE: (f64, f64) = (0.25, 1.5);
/// Shortest retry hint.
const HINT_MIN: Span = Span::from_millis(100);

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Predicted service time of all its stages.
    pub work: Span,
    /// Service time of all its stages that the bundle tells to expect.
    pub expected: Span,
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
    fn level(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / USAGE_MEMORY.as_secs_f64();
        self.work * (-age).exp()
    }
}

/// Admission control: requests in progress per workspace, and work admitted lately.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    progress: BTreeMap<WorkspaceId, u32>,
    usage: BTreeMap<WorkspaceId, Usage>,
    /// Work per share of all busy workspaces, and when it was summed up.
    fair: f64,
    summed: Time,
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
        ask: Option<Ask>,
    ) -> Result<(), Denial> {
        if let Some(ask) = ask {
            if ask.work > ask.budget {
                return Err(too_slow(&ask));
            }
            let usual = ask.budget.saturating_sub(ask.work).0.min(ask.budget.scale(WAIT_SHARE).0);
            let allowed = Span(usual).scale(self.allowance(now, id));
            if ask.wait > allowed {
                let over = ask.wait.saturating_sub(allowed);
                return Err(Denial::Overloaded { retry: over.max(HINT_MIN) });
            }
            self.sum_up(now);
        }
        let progress = self.progress.entry(id.clone()).or_default();
        if *progress >= workspace.limit {
            return Err(Denial::WorkspaceLimit { retry: LIMIT_RETRY });
        }
        *progress += 1;
        self.charge(now, id, workspace, ask.map_or(Span::ZERO, |ask| ask.work));
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

    /// How much of the usual wait a workspace is allowed, from its use against its share.
    fn allowance(&self, now: Time, id: &WorkspaceId) -> f64 {
        let own = self.usage.get(id).map_or(0.0, |usage| usage.level(now) / usage.share);
        if own <= 0.0 {
            return SHARE_RANGE.1;
        }
        (self.fair / own).clamp(SHARE_RANGE.0, SHARE_RANGE.1)
    }

    /// Sums up the use of all busy workspaces; not on each request, since there may be thousands.
    fn sum_up(&mut self, now: Time) {
        if now.since(self.summed) < SUM_TIME {
            return;
        }
        self.summed = now;
        self.usage.retain(|_, usage| usage.level(now) > USAGE_MIN);
        let work: f64 = self.usage.values().map(|usage| usage.level(now)).sum();
        let shares: f64 = self.usage.values().map(|usage| usage.share).sum();
        self.fair = work / shares.max(1.0);
    }

    fn charge(&mut self, now: Time, id: &WorkspaceId, workspace: &Workspace, work: Span) {
        let share = f64::from(workspace.share.max(1));
        let usage =
            self.usage.entry(id.clone()).or_insert(Usage { work: 0.0, share, updated: now });
        usage.work = usage.level(now) + work.0 as f64;
        usage.share = share;
        usage.updated = now;
    }
}

/// Tells a deadline that is always too short from servers that are slow for the moment.
fn too_slow(ask: &Ask) -> Denial {
    if ask.expected > ask.budget {
        Denial::TooShort
    } else {
        Denial::Overloaded { retry: ask.work.saturating_sub(ask.budget).max(HINT_MIN) }
    }
}

/// Time without a good answer after which the store counts as down; one lost answer says little.
const STORE_DOWN_AFTER: Span = Span::from_millis(500);
/// Time after which the last failure says nothing any more.
const STORE_DOWN_MEMORY: Span = Span::from_secs(2);
/// Time between requests that are let through to see whether the store is back.
const STORE_PROBE_TIME: Span = Span::from_millis(250);

/// What the answers to claims tell about the store.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    /// First and last failure since the last good answer.
    failures: Option<(Time, Time)>,
    /// When a request was last let through.
    probed: Time,
}

impl StoreHealth {
    /// A claim was answered, or not.
    pub fn answered(&mut self, now: Time, good: bool) {
        let first = self.failures.map_or(now, |(first, _)| first);
        self.failures = (!good).then_some((first, now));
    }

    /// Whether a request that needs the store may begin. While the store is down one is let through
    /// from time to time, since the answer to its claim is the only way to see that the store is back.
    pub fn allows(&mut self, now: Time) -> bool {
        let down = self.failures.is_some_and(|(first, last)| {
            now.since(first) >= STORE_DOWN_AFTER && now.since(last) < STORE_DOWN_MEMORY
        });
        let allowed = !down || now.since(self.probed) >= STORE_PROBE_TIME;
        if allowed {
            self.probed = now;
        }
        allowed
    }
}
