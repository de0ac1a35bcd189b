//! Order of waiting attempts at a side.

use crate::ids::{AttemptId, WorkspaceId};
use crate::policy::Policy;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// An attempt that waits to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whose share it counts against.
    pub workspace: WorkspaceId,
    /// Weight of the workspace; at least 1.
    pub share: u32,
    /// When its answer must be there.
    pub deadline: Time,
    /// Predicted service time.
    pub estimate: Span,
    /// When it arrived.
    pub arrived: Time,
}

impl QueuedAttempt {
    /// The last moment at which it can start and still finish in time.
    fn latest_start(&self) -> Time {
        self.deadline - self.estimate
    }
}

/// Waiting attempts of one workspace.
#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    /// Virtual time at which the lane's next attempt may start; the lane with the lowest goes first.
    virtual_start: u64,
    items: Vec<QueuedAttempt>,
}

/// Attempts predicted to take this many times the typical time are long.
const LONG_ESTIMATE_FACTOR: u64 = 6;
/// Weight of a new estimate in the typical one.
const TYPICAL_NEW_WEIGHT: f64 = 0.02;
/// Urgency that waiting adds, as a share of the time waited. Without it long work, whose deadlines
/// lie far ahead, would start only when nothing can go wrong any more.
const AGEING_FACTOR: f64 = 1.0;

/// Waiting attempts: fair between workspaces by share, least slack first within one.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    policy: Policy,
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    /// Virtual time of the last attempt that was taken.
    virtual_time: u64,
    /// Sum of the estimates of all waiting attempts.
    backlog: Span,
    len: usize,
    /// Mean logarithm of the estimates seen; the few long ones hardly move it.
    mean_log: Option<f64>,
}

impl Queue {
    /// An empty queue.
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

    /// Takes the attempt that should start next.
    pub fn pop(&mut self, now: Time) -> Option<QueuedAttempt> {
        self.pop_filtered(now, true)
    }

    /// Takes the attempt that should start next; long ones only if `long` says so.
    pub fn pop_filtered(&mut self, now: Time, allow_long: bool) -> Option<QueuedAttempt> {
        match self.policy {
            Policy::Damaskweir => self.pop_fair(now, allow_long),
            Policy::Baseline => self.pop_oldest(),
        }
    }

    /// Takes the attempt that has waited longest.
    fn pop_oldest(&mut self) -> Option<QueuedAttempt> {
        let items = self.workspaces.values().flat_map(|queue| &queue.items);
        let first = items.min_by_key(|item| (item.arrived, item.attempt))?.attempt;
        self.remove(first)
    }

    /// Takes the most urgent attempt of the workspace that is furthest behind its share.
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

    /// Estimates above this are long.
    pub fn long_threshold(&self) -> Span {
        self.typical_estimate().map_or(Span(u64::MAX), |typical| typical * LONG_ESTIMATE_FACTOR)
    }

    /// The typical estimate of an attempt. `None`: nothing was seen yet.
    pub fn typical_estimate(&self) -> Option<Span> {
        self.mean_log.map(|log| Span(log.exp() as u64))
    }

    fn observe_estimate(&mut self, estimate: Span) {
        let log = (estimate.0.max(1) as f64).ln();
        let last = self.mean_log.unwrap_or(log);
        self.mean_log = Some(last + (log - last) * TYPICAL_NEW_WEIGHT);
    }

    /// Takes a given attempt out.
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

    /// Takes out all attempts that can no longer finish in time.
    pub fn remove_expired(&mut self, now: Time) -> Vec<QueuedAttempt> {
        let mut out = Vec::new();
        for queue in self.workspaces.values_mut() {
            let (late, kept) = queue.items.drain(..).partition(|item| item.latest_start() < now);
            queue.items = kept;
            out.extend::<Vec<QueuedAttempt>>(late);
        }
        for waiting in &out {
            self.subtract_removed(waiting.estimate);
        }
        out
    }

    /// Takes out everything.
    pub fn drain(&mut self) -> Vec<QueuedAttempt> {
        let mut out = Vec::new();
        for queue in self.workspaces.values_mut() {
            out.append(&mut queue.items);
        }
        self.backlog = Span::ZERO;
        self.len = 0;
        out
    }

    /// The earliest moment at which a waiting attempt becomes too late.
    pub fn next_expiry(&self) -> Option<Time> {
        self.workspaces
            .values()
            .flat_map(|queue| &queue.items)
            .map(QueuedAttempt::latest_start)
            .min()
    }

    /// Sum of the estimates of all waiting attempts.
    pub fn backlog(&self) -> Span {
        self.backlog
    }

    /// Sum of the estimates of the waiting attempts that are more urgent than `latest`.
    pub fn backlog_ahead(&self, now: Time, latest: Time) -> Span {
        let latest_micros = saturating_i64(latest.0);
        let items = self.workspaces.values().flat_map(|queue| &queue.items);
        items
            .filter(|item| urgency(item, now) <= latest_micros)
            .fold(Span::ZERO, |sum, item| sum + item.estimate)
    }

    /// Sum of the estimates of the waiting attempts that are predicted to take longer than `limit`.
    pub fn backlog_longer_than(&self, limit: Span) -> Span {
        let items = self.workspaces.values().flat_map(|queue| &queue.items);
        items.filter(|item| item.estimate > limit).fold(Span::ZERO, |sum, item| sum + item.estimate)
    }

    /// Number of waiting attempts.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn subtract_removed(&mut self, estimate: Span) {
        self.backlog = self.backlog.saturating_sub(estimate);
        self.len -= 1;
    }
}

/// Latest start, moved ahead by the time waited; lower goes first.
fn urgency(item: &QueuedAttempt, now: Time) -> i64 {
    saturating_i64(item.latest_start().0)
        .saturating_sub(saturating_i64(now.since(item.arrived).scale(AGEING_FACTOR).0))
}

/// Deadlines come from the network: one beyond the range must not turn into the most urgent.
fn saturating_i64(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}
