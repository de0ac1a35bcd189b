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
}

impl Queue {
    /// An empty queue.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Adds an attempt.
    pub fn push(&mut self, waiting: Waiting) {
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
        match self.policy {
            Policy::Damaskweir => self.pop_fair(now),
            Policy::Baseline => self.pop_first(),
        }
    }

    /// Takes the attempt that has waited longest.
    fn pop_first(&mut self) -> Option<Waiting> {
        let items = self.lanes.values().flat_map(|lane| &lane.items);
        let first = items.min_by_key(|item| (item.arrived, item.attempt))?.attempt;
        self.remove(first)
    }

    fn pop_fair(&mut self, _now: Time) -> Option<Waiting> {
        let lane = self
            .lanes
            .values_mut()
            .filter(|lane| !lane.items.is_empty())
            .min_by_key(|l| l.start)?;
        let next = (0..lane.items.len()).min_by_key(|i| lane.items[*i].latest_start())?;
        let waiting = lane.items.swap_remove(next);
        self.virtual_now = lane.start;
        lane.start =
            lane.start.saturating_add(waiting.estimate.0 / u64::from(waiting.share.max(1)));
        self.removed(waiting.estimate);
        Some(waiting)
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
