//! Queue of attempts that wait at a sidecar, and their order.

use crate::ids::{AttemptId, WorkspaceId};
use crate::policy::Policy;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// An attempt that waits to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Workspace that is charged for the attempt.
    pub workspace: WorkspaceId,
    /// Weight of the workspace in fair queueing; 0 counts as 1.
    pub share: u32,
    /// Time by which the answer is due.
    pub deadline: Time,
    /// Predicted service time.
    pub estimate: Span,
    /// Arrival time at the sidecar.
    pub arrived: Time,
}

impl QueuedAttempt {
    /// Latest time at which the attempt can start and still meet its deadline.
    fn latest_start(&self) -> Time {
        self.deadline - self.estimate
    }
}

/// Queued attempts of one workspace.
#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    /// Virtual start time of the next attempt; the workspace with the lowest value is served first.
    virtual_start: u64,
    items: Vec<QueuedAttempt>,
}

/// An attempt is long if its estimate exceeds the typical one by more than this factor.
const LONG_ESTIMATE_FACTOR: u64 = 6;
/// Weight of a new estimate in the moving average of the typical estimate.
const TYPICAL_NEW_WEIGHT: f64 = 0.02;
/// Microseconds by which an attempt's effective latest start moves forward per microsecond waited.
/// Without ageing, long attempts, which have distant deadlines, would start only when they have no slack
/// left.
const AGEING_FACTOR: f64 = 1.0;

/// Queued attempts: weighted fair queueing between workspaces, least slack first within one.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    policy: Policy,
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    /// Virtual start time of the last attempt removed by `pop_fair`.
    virtual_time: u64,
    /// Sum of the estimates of all queued attempts.
    backlog: Span,
    len: usize,
    /// Moving average of the logarithm of the estimates, which a few long attempts barely affect.
    mean_log: Option<f64>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Adds an attempt.
    pub fn push(&mut self, waiting: QueuedAttempt) {
        self.observe_estimate(waiting.estimate);
        self.backlog += waiting.estimate;
        self.len += 1;
        let queue = self.workspaces.entry(waiting.workspace.clone()).or_default();
        if queue.items.is_empty() {
            queue.virtual_start = queue.virtual_start.max(self.virtual_time);
        }
        queue.items.push(waiting);
    }

    /// Removes and returns the attempt to start next.
    pub fn pop(&mut self, now: Time) -> Option<QueuedAttempt> {
        self.pop_filtered(now, true)
    }

    /// Removes and returns the attempt to start next. Under `Policy::Damaskweir`, long attempts are
    /// considered only if `allow_long` is set; `Policy::Baseline` ignores it.
    pub fn pop_filtered(&mut self, now: Time, allow_long: bool) -> Option<QueuedAttempt> {
        match self.policy {
            Policy::Damaskweir => self.pop_fair(now, allow_long),
            Policy::Baseline => self.pop_oldest(),
        }
    }

    /// Removes and returns the attempt that arrived first.
    fn pop_oldest(&mut self) -> Option<QueuedAttempt> {
        let items = self.workspaces.values().flat_map(|queue| &queue.items);
        let first = items.min_by_key(|item| (item.arrived, item.attempt))?.attempt;
        self.remove(first)
    }

    /// Removes and returns the most urgent attempt of the workspace with the lowest virtual start time.
    fn pop_fair(&mut self, now: Time, allow_long: bool) -> Option<QueuedAttempt> {
        let max_estimate = if allow_long { Span(u64::MAX) } else { self.long_threshold() };
        let allowed = |item: &QueuedAttempt| item.estimate <= max_estimate;
        let queue = self
            .workspaces
            .values_mut()
            .filter(|queue| queue.items.iter().any(allowed))
            .min_by_key(|queue| queue.virtual_start)?;
        let next = (0..queue.items.len())
            .filter(|i| allowed(&queue.items[*i]))
            .min_by_key(|i| urgency(&queue.items[*i], now))?;
        let waiting = queue.items.swap_remove(next);
        self.virtual_time = queue.virtual_start;
        let cost = waiting.estimate.0 / u64::from(waiting.share.max(1));
        queue.virtual_start = queue.virtual_start.saturating_add(cost);
        self.subtract_removed(waiting.estimate);
        Some(waiting)
    }

    /// Estimate above which an attempt is long.
    pub fn long_threshold(&self) -> Span {
        self.typical_estimate().map_or(Span(u64::MAX), |typical| typical * LONG_ESTIMATE_FACTOR)
    }

    /// Typical estimate of an attempt, or `None` before the first one.
    pub fn typical_estimate(&self) -> Option<Span> {
        self.mean_log.map(|log| Span(log.exp() as u64))
    }

    fn observe_estimate(&mut self, estimate: Span) {
        let log = (estimate.0.max(1) as f64).ln();
        let last = self.mean_log.unwrap_or(log);
        self.mean_log = Some(last + (log - last) * TYPICAL_NEW_WEIGHT);
    }

    /// Removes and returns the given attempt.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedAttempt> {
        for queue in self.workspaces.values_mut() {
            if let Some(i) = queue.items.iter().position(|item| item.attempt == attempt) {
                let waiting = queue.items.swap_remove(i);
                self.subtract_removed(waiting.estimate);
                return Some(waiting);
            }
        }
        None
    }

    /// Removes and returns all attempts that can no longer meet their deadline.
    pub fn remove_expired(&mut self, now: Time) -> Vec<QueuedAttempt> {
        let mut out = Vec::new();
        for queue in self.workspaces.values_mut() {
            let (late, remaining) =
                queue.items.drain(..).partition(|item| item.latest_start() < now);
            queue.items = remaining;
            out.extend::<Vec<QueuedAttempt>>(late);
        }
        for waiting in &out {
            self.subtract_removed(waiting.estimate);
        }
        out
    }

    /// Removes and returns all attempts.
    pub fn drain(&mut self) -> Vec<QueuedAttempt> {
        let mut out = Vec::new();
        for queue in self.workspaces.values_mut() {
            out.append(&mut queue.items);
        }
        self.backlog = Span::ZERO;
        self.len = 0;
        out
    }

    /// Earliest latest start of the queued attempts, after which the first of them expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.workspaces
            .values()
            .flat_map(|queue| &queue.items)
            .map(QueuedAttempt::latest_start)
            .min()
    }

    /// Sum of the estimates of all queued attempts.
    pub fn backlog(&self) -> Span {
        self.backlog
    }

    /// Sum of the estimates of the queued attempts at least as urgent as a new one with latest start
    /// `latest`.
    pub fn backlog_ahead(&self, now: Time, latest: Time) -> Span {
        let latest_micros = saturating_i64(latest.0);
        let items = self.workspaces.values().flat_map(|queue| &queue.items);
        items
            .filter(|item| urgency(item, now) <= latest_micros)
            .fold(Span::ZERO, |sum, item| sum + item.estimate)
    }

    /// Sum of the estimates that are greater than `limit`.
    pub fn backlog_longer_than(&self, limit: Span) -> Span {
        let items = self.workspaces.values().flat_map(|queue| &queue.items);
        items.filter(|item| item.estimate > limit).fold(Span::ZERO, |sum, item| sum + item.estimate)
    }

    /// Number of queued attempts.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn subtract_removed(&mut self, estimate: Span) {
        self.backlog = self.backlog.saturating_sub(estimate);
        self.len -= 1;
    }
}

/// Latest start in microseconds, reduced by the time waited; the lowest value starts first.
fn urgency(item: &QueuedAttempt, now: Time) -> i64 {
    saturating_i64(item.latest_start().0)
        .saturating_sub(saturating_i64(now.since(item.arrived).scale(AGEING_FACTOR).0))
}

/// Converts without wrapping: deadlines come from the network, and one out of range must not become the
/// most urgent.
fn saturating_i64(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}
