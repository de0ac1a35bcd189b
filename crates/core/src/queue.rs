//! Order of waiting attempts at a side.

use crate::ids::{AttemptId, WorkspaceId};
use crate::policy::Policy;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// An attempt that waits to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
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

impl Waiting {
    /// The last moment at which it can start and still finish in time.
    fn latest_start(&self) -> Time {
        self.deadline - self.estimate
    }
}

/// Waiting attempts of one workspace.
#[derive(Clone, Debug, Default)]
struct Lane {
    /// Virtual time at which the lane's next attempt may start; the lane with the lowest goes first.
    start: u64,
    items: Vec<Waiting>,
}

/// Attempts predicted to take this many times the typical time are long.
const LONG_FACTOR: u64 = 6;
/// Weight of a new estimate in the typical one.
const TYPICAL_WEIGHT: f64 = 0.02;
/// Urgency that waiting adds, as a share of the time waited. Without it long work, whose deadlines
/// lie far ahead, would start only when nothing can go wrong any more.
const AGEING: f64 = 1.0;

/// Waiting attempts: fair between workspaces by share, least slack first within one.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    policy: Policy,
    lanes: BTreeMap<WorkspaceId, Lane>,
    /// Virtual time of the last attempt that was taken.
    virtual_now: u64,
    /// Sum of the estimates of all waiting attempts.
    backlog: Span,
    len: usize,
    /// Mean logarithm of the estimates seen; the few long ones hardly move it.
    typical: Option<f64>,
}

impl Queue {
    /// An empty queue.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Adds an attempt.
    pub fn push(&mut self, waiting: Waiting) {
        self.learn(waiting.estimate);
        self.backlog += waiting.estimate;
        self.len += 1;
        let lane = self.lanes.entry(waiting.workspace.clone()).or_default();
        if lane.items.is_empty() {
            lane.start = lane.start.max(self.virtual_now);
        }
        lane.items.push(waiting);
    }

    /// Takes the attempt that should start next.
    pub fn pop(&mut self, now: Time) -> Option<Waiting> {
        self.pop_allowed(now, true)
    }

    /// Takes the attempt that should start next; long ones only if `long` says so.
    pub fn pop_allowed(&mut self, now: Time, long: bool) -> Option<Waiting> {
        match self.policy {
            Policy::Damaskweir => self.pop_fair(now, long),
            Policy::Baseline => self.pop_first(),
        }
    }

    /// Takes the attempt that has waited longest.
    fn pop_first(&mut self) -> Option<Waiting> {
        let items = self.lanes.values().flat_map(|lane| &lane.items);
        let first = items.min_by_key(|item| (item.arrived, item.attempt))?.attempt;
        self.remove(first)
    }

    /// Takes the most urgent attempt of the workspace that is furthest behind its share.
    fn pop_fair(&mut self, now: Time, long: bool) -> Option<Waiting> {
        let limit = if long { Span(u64::MAX) } else { self.long_limit() };
        let allowed = |item: &Waiting| item.estimate <= limit;
        let lane = self
            .lanes
            .values_mut()
            .filter(|lane| lane.items.iter().any(allowed))
            .min_by_key(|lane| lane.start)?;
        let next = (0..lane.items.len())
            .filter(|i| allowed(&lane.items[*i]))
            .min_by_key(|i| urgency(&lane.items[*i], now))?;
        let waiting = lane.items.swap_remove(next);
        self.virtual_now = lane.start;
        let cost = waiting.estimate.0 / u64::from(waiting.share.max(1));
        lane.start = lane.start.saturating_add(cost);
        self.removed(waiting.estimate);
        Some(waiting)
    }

    /// Estimates above this are long.
    pub fn long_limit(&self) -> Span {
        self.typical().map_or(Span(u64::MAX), |typical| typical * LONG_FACTOR)
    }

    /// The typical estimate of an attempt. `None`: nothing was seen yet.
    pub fn typical(&self) -> Option<Span> {
        self.typical.map(|log| Span(log.exp() as u64))
    }

    fn learn(&mut self, estimate: Span) {
        let log = (estimate.0.max(1) as f64).ln();
        let last = self.typical.unwrap_or(log);
        self.typical = Some(last + (log - last) * TYPICAL_WEIGHT);
    }

    /// Takes a given attempt out.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Waiting> {
        for lane in self.lanes.values_mut() {
            if let Some(i) = lane.items.iter().position(|item| item.attempt == attempt) {
                let waiting = lane.items.swap_remove(i);
                self.removed(waiting.estimate);
                return Some(waiting);
            }
        }
        None
    }

    /// Takes out all attempts that can no longer finish in time.
    pub fn expired(&mut self, now: Time) -> Vec<Waiting> {
        let mut out = Vec::new();
        for lane in self.lanes.values_mut() {
            let (late, kept) = lane.items.drain(..).partition(|item| item.latest_start() < now);
            lane.items = kept;
            out.extend::<Vec<Waiting>>(late);
        }
        for waiting in &out {
            self.removed(waiting.estimate);
        }
        out
    }

    /// Takes out everything.
    pub fn drain(&mut self) -> Vec<Waiting> {
        let mut out = Vec::new();
        for lane in self.lanes.values_mut() {
            out.append(&mut lane.items);
        }
        self.backlog = Span::ZERO;
        self.len = 0;
        out
    }

    /// The earliest moment at which a waiting attempt becomes too late.
    pub fn next_expiry(&self) -> Option<Time> {
        self.lanes.values().flat_map(|lane| &lane.items).map(Waiting::latest_start).min()
    }

    /// Sum of the estimates of all waiting attempts.
    pub fn backlog(&self) -> Span {
        self.backlog
    }

    /// Sum of the estimates of the waiting attempts that are more urgent than `latest`.
    pub fn backlog_before(&self, now: Time, latest: Time) -> Span {
        let mark = signed(latest.0);
        let items = self.lanes.values().flat_map(|lane| &lane.items);
        items
            .filter(|item| urgency(item, now) <= mark)
            .fold(Span::ZERO, |sum, item| sum + item.estimate)
    }

    /// Sum of the estimates of the waiting attempts that are predicted to take longer than `limit`.
    pub fn backlog_above(&self, limit: Span) -> Span {
        let items = self.lanes.values().flat_map(|lane| &lane.items);
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

    fn removed(&mut self, estimate: Span) {
        self.backlog = self.backlog.saturating_sub(estimate);
        self.len -= 1;
    }
}

/// Latest start, moved ahead by the time waited; lower goes first.
fn urgency(item: &Waiting, now: Time) -> i64 {
    signed(item.latest_start().0).saturating_sub(signed(now.since(item.arrived).scale(AGEING).0))
}

/// Deadlines come from the network: one beyond the range must not turn into the most urgent.
fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}
