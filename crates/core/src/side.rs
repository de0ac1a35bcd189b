//! Scheduling decisions of the sidecar process that runs next to one backend server.

use crate::bundle::Effect;
use crate::ids::{AttemptId, Incarnation, Version};
use crate::message::{AttemptStatus, Dispatch, Outcome, Refusal, Report};
use crate::policy::Policy;
use crate::predict::Slowdown;
use crate::queue::{Queue, QueuedAttempt};
use crate::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Divisor of the limit: long attempts may hold up to 1/2 of the slots.
const LONG_SLOT_DIVISOR: u32 = 2;
/// Divisor of the limit: long attempts may hold up to 1/4 of the slots while others wait.
const LONG_SLOT_DIVISOR_BUSY: u32 = 4;
/// Maximum predicted wait of a long attempt, as a fraction of its remaining time. Accepting more would
/// keep the slots occupied long after a surge.
const LONG_WAIT_MAX_FRACTION: f64 = 0.25;
/// Maximum factor by which the limit may rise above, or fall below, the configured slots.
const LIMIT_MAX_FACTOR: u32 = 4;
/// Time after lowering the limit before load reports reflect it; earlier reports are ignored.
const LIMIT_COOLDOWN: Span = Span::from_secs(1);
/// Weight of the previous average in the moving average of the slack; a new attempt has weight 1.
const SLACK_HISTORY_WEIGHT: u64 = 31;

/// Settings of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SidecarSettings {
    /// Maximum number of concurrently running attempts, before adjustment by load reports.
    pub slots: u32,
    /// Maximum number of queued attempts.
    pub queue_limit: u32,
    /// How long to retain outcomes of non-idempotent attempts, and promises never to start one.
    pub retention: Span,
    /// Scheduling policy.
    pub policy: Policy,
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            queue_limit: 256,
            retention: Span::from_secs(24 * 3600),
            policy: Policy::default(),
        }
    }
}

/// Action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SidecarAction {
    /// Send the attempt to the backend server.
    Start(AttemptId),
    /// Tell the entry that the attempt was not started and never will be.
    Refuse(AttemptId, Refusal),
    /// Cancel the running attempt at the backend server.
    Abort(AttemptId),
    /// Draining is complete: no attempt is running or queued, and the process may exit.
    Drained,
}

#[derive(Clone, Debug)]
struct RunningAttempt {
    effect: Effect,
    started: Time,
    estimate: Span,
}

/// State machine of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    incarnation: Incarnation,
    settings: SidecarSettings,
    version: Version,
    queue: Queue,
    /// Effect of each attempt in `queue`.
    effects: BTreeMap<AttemptId, Effect>,
    /// An attempt starts only while there are fewer than `limit`; a later decrease can leave more.
    running: BTreeMap<AttemptId, RunningAttempt>,
    /// Outcomes of non-idempotent attempts that ended within the retention time.
    outcomes: BTreeMap<AttemptId, Outcome>,
    /// Non-idempotent attempts that the sidecar promised, within the retention time, never to start.
    forbidden: BTreeSet<AttemptId>,
    /// When each element of `outcomes` and `forbidden` was added, oldest first.
    retained: VecDeque<(Time, AttemptId)>,
    /// Highest request serial, by entry, of which a record was purged. Non-idempotent attempts up to it
    /// are not started, since they may already have run, and not newly promised never to start, since
    /// that promise could be false.
    purged: BTreeMap<Incarnation, u64>,
    /// Latest time passed to any event.
    now: Time,
    draining: bool,
    /// Whether the active bundle omits the backend server.
    unlisted: bool,
    down: bool,
    report_serial: u64,
    /// Ratio of observed to estimated service times.
    pace: Slowdown,
    /// Current concurrency limit, adjusted from the backend server's load reports.
    limit: u32,
    /// Load reports before this time do not reflect the last decrease of the limit yet.
    cooldown_end: Time,
    /// Moving average of the time between arrival and latest start, over attempts that are not long.
    typical_slack: Span,
}

impl Sidecar {
    /// Creates a sidecar that accepts work and has no history.
    pub fn new(incarnation: Incarnation, settings: SidecarSettings) -> Self {
        Self {
            incarnation,
            settings,
            version: Version::default(),
            queue: Queue::new(settings.policy),
            effects: BTreeMap::new(),
            running: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            forbidden: BTreeSet::new(),
            retained: VecDeque::new(),
            purged: BTreeMap::new(),
            now: Time::default(),
            draining: false,
            unlisted: false,
            down: false,
            report_serial: 0,
            pace: Slowdown::default(),
            limit: settings.slots,
            cooldown_end: Time::default(),
            typical_slack: Span::from_secs(1),
        }
    }

    /// Starts, queues or refuses a new attempt.
    pub fn dispatch(&mut self, now: Time, dispatch: &Dispatch) -> Vec<SidecarAction> {
        self.now = self.now.max(now);
        if let Some(refusal) = self.check_dispatch(now, dispatch) {
            if dispatch.effect == Effect::Once && refusal != Refusal::Duplicate {
                // The entry may retry elsewhere, so a duplicate of this dispatch must not start either.
                self.record_forbidden(dispatch.attempt);
            }
            return vec![SidecarAction::Refuse(dispatch.attempt, refusal)];
        }
        self.effects.insert(dispatch.attempt, dispatch.effect);
        self.observe_slack(dispatch);
        self.queue.push(QueuedAttempt {
            attempt: dispatch.attempt,
            workspace: dispatch.workspace.clone(),
            share: dispatch.share,
            deadline: now + dispatch.remaining,
            estimate: dispatch.estimate,
            arrived: now,
        });
        self.fill_slots(now)
    }

    /// Cancels an attempt on behalf of its entry.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) -> Vec<SidecarAction> {
        self.now = self.now.max(now);
        if self.queue.remove(attempt).is_some() {
            self.discard_queued(attempt);
            let mut actions = vec![SidecarAction::Refuse(attempt, Refusal::Cancelled)];
            actions.extend(self.drained_action());
            return actions;
        }
        match self.running.get(&attempt) {
            // Running non-idempotent work is never aborted: its outcome would be unknown.
            Some(running) if running.effect == Effect::Idempotent => {
                self.running.remove(&attempt);
                let mut actions = vec![SidecarAction::Abort(attempt)];
                actions.extend(self.fill_slots(now));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Records that the backend server ended an attempt.
    pub fn finish(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Vec<SidecarAction> {
        self.now = self.now.max(now);
        if let (Some(running), Outcome::Finished) = (self.running.get(&attempt), outcome) {
            self.pace.observe(now, now.since(running.started), running.estimate);
        }
        match self.running.remove(&attempt) {
            Some(RunningAttempt { effect: Effect::Once, .. }) => {
                self.outcomes.insert(attempt, outcome);
                self.retained.push_back((self.now, attempt));
            }
            Some(_) => {}
            None => return Vec::new(),
        }
        self.fill_slots(now)
    }

    /// Returns a started attempt that cannot have reached the backend server to its entry. It will not
    /// be started again.
    pub fn revert_start(
        &mut self,
        now: Time,
        attempt: AttemptId,
        refusal: Refusal,
    ) -> Vec<SidecarAction> {
        self.now = self.now.max(now);
        let Some(running) = self.running.remove(&attempt) else { return Vec::new() };
        if running.effect == Effect::Once {
            self.record_forbidden(attempt);
        }
        let mut actions = vec![SidecarAction::Refuse(attempt, refusal)];
        actions.extend(self.fill_slots(now));
        actions
    }

    /// Promises never to start a non-idempotent attempt, if that is still possible, and returns its state.
    ///
    /// A queued attempt stays queued: the entry that sent it is waiting for it and would not be told of
    /// the removal.
    pub fn forbid(&mut self, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        if incarnation != self.incarnation {
            return AttemptStatus::Gone;
        }
        if let Some(outcome) = self.outcomes.get(&attempt) {
            return AttemptStatus::Ended(*outcome);
        }
        if self.running.contains_key(&attempt) || self.effects.contains_key(&attempt) {
            return AttemptStatus::Running;
        }
        if self.is_purged(attempt) && !self.forbidden.contains(&attempt) {
            return AttemptStatus::Gone;
        }
        self.record_forbidden(attempt);
        AttemptStatus::Forbidden
    }

    /// Stops accepting work and refuses all queued attempts.
    pub fn drain(&mut self) -> Vec<SidecarAction> {
        self.draining = true;
        let mut actions = self.refuse_queued(Refusal::Draining);
        actions.extend(self.drained_action());
        actions
    }

    /// Records whether the backend server is down. Going down refuses all queued attempts.
    pub fn set_down(&mut self, now: Time, down: bool) -> Vec<SidecarAction> {
        self.now = self.now.max(now);
        self.down = down;
        if down { self.refuse_queued(Refusal::Down) } else { self.fill_slots(now) }
    }

    /// Records whether the active bundle lists the backend server. While it does not, the sidecar accepts
    /// no work and refuses what is queued; a later bundle may list the server again.
    pub fn set_listed(&mut self, now: Time, listed: bool) -> Vec<SidecarAction> {
        self.now = self.now.max(now);
        self.unlisted = !listed;
        if listed { self.fill_slots(now) } else { self.refuse_queued(Refusal::Draining) }
    }

    /// Sets the active bundle version; it never decreases.
    pub fn set_version(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// Changes the configured slots and resets the concurrency limit to them.
    pub fn set_slots(&mut self, now: Time, slots: u32) -> Vec<SidecarAction> {
        self.settings.slots = slots.max(1);
        self.limit = self.settings.slots;
        self.fill_slots(now)
    }

    /// Adjusts the concurrency limit to the number of attempts queued inside the backend server.
    ///
    /// The sidecar can neither reorder nor expire those, so the limit drops by their number. It rises
    /// by one per report while attempts are queued here and none there.
    pub fn observe_load(&mut self, now: Time, waiting: u32) -> Vec<SidecarAction> {
        self.now = self.now.max(now);
        if self.settings.policy == Policy::Baseline || now < self.cooldown_end {
            return Vec::new();
        }
        let min_limit = (self.settings.slots / LIMIT_MAX_FACTOR).max(1);
        if waiting > 0 {
            self.limit = self.limit.saturating_sub(waiting).max(min_limit);
            self.cooldown_end = now + LIMIT_COOLDOWN;
        } else if !self.queue.is_empty() && self.running.len() >= self.limit as usize {
            self.limit = (self.limit + 1).min(self.settings.slots.saturating_mul(LIMIT_MAX_FACTOR));
        }
        self.fill_slots(now)
    }

    /// Refuses queued attempts that can no longer meet their deadline and purges expired records.
    pub fn tick(&mut self, now: Time) -> Vec<SidecarAction> {
        self.now = self.now.max(now);
        self.purge_expired();
        let late = match self.settings.policy {
            Policy::Damaskweir => self.queue.remove_expired(now),
            Policy::Baseline => Vec::new(),
        };
        let mut actions: Vec<_> =
            late.iter().map(|item| SidecarAction::Refuse(item.attempt, Refusal::Expired)).collect();
        for item in &late {
            self.discard_queued(item.attempt);
        }
        actions.extend(self.fill_slots(now));
        actions
    }

    /// Time at which `tick` next has work, if any.
    pub fn next_tick(&self) -> Option<Time> {
        if self.settings.policy == Policy::Baseline {
            return None;
        }
        // An attempt expires only after its latest start, hence one microsecond later.
        let expiry = self.queue.next_expiry().map(|at| at + Span(1));
        let forget = self.retained.front().map(|(at, _)| *at + self.settings.retention);
        expiry.into_iter().chain(forget).min()
    }

    /// Builds the load report to attach to the next message.
    pub fn report(&mut self, now: Time) -> Report {
        self.report_serial += 1;
        Report {
            incarnation: self.incarnation,
            serial: self.report_serial,
            version: self.version,
            queued: self.queue.len() as u32,
            running: self.running.len() as u32,
            limit: self.limit,
            wait: self.predict_typical_wait(now),
            draining: self.draining || self.unlisted || self.down,
        }
    }

    /// Identifier of this run of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The active bundle version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The scheduling policy.
    pub fn policy(&self) -> Policy {
        self.settings.policy
    }

    /// Number of running attempts.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Time since a running attempt was started, for `Entry::set_service_time` when it ends.
    pub fn elapsed(&self, now: Time, attempt: AttemptId) -> Option<Span> {
        self.running.get(&attempt).map(|running| now.since(running.started))
    }

    /// Predicted wait of an attempt with typical slack that arrives now.
    fn predict_typical_wait(&self, now: Time) -> Span {
        self.predict_wait(now, now + self.typical_slack)
    }

    /// Predicted wait of an attempt that arrives now and must start by `latest`.
    fn predict_wait(&self, now: Time, latest: Time) -> Span {
        if self.running.len() < self.limit as usize && self.queue.is_empty() {
            return Span::ZERO;
        }
        // Slots held by long attempts do not become free while this attempt waits.
        let slots = self.limit as usize;
        let usable_slots = slots.saturating_sub(self.count_long_running(now)).max(1) as u64;
        let ahead = self.queue.backlog_ahead(now, latest);
        // After a decrease of the limit, the excess attempts must end before a slot is free.
        let excess = self.running.len().saturating_sub(slots) as u64;
        let own_cost = self.queue.typical_estimate().unwrap_or_default() * (excess + 1);
        Span((ahead + own_cost).0 / usable_slots).scale(self.slowdown(now))
    }

    /// Observed service time as a multiple of the estimate; at least 1.
    fn slowdown(&self, now: Time) -> f64 {
        let threshold = self.queue.long_threshold();
        // Only attempts past their estimate indicate slowness; the others may still end in time.
        let over = self.running.values().filter(|r| r.estimate <= threshold);
        let over =
            over.fold(Span::ZERO, |sum, r| sum + now.since(r.started).saturating_sub(r.estimate));
        self.pace.value(now, over).max(1.0)
    }

    /// Number of running attempts that are long, by their estimate or by the time they have run.
    fn count_long_running(&self, now: Time) -> usize {
        let threshold = self.queue.long_threshold();
        let is_long = |r: &RunningAttempt| r.estimate.max(now.since(r.started)) > threshold;
        self.running.values().filter(|r| is_long(r)).count()
    }

    /// Whether a long attempt would wait too long for the slots available to long attempts.
    fn long_wait_exceeded(&self, now: Time, dispatch: &Dispatch) -> bool {
        let threshold = self.queue.long_threshold();
        if dispatch.estimate <= threshold || self.running.len() < self.limit as usize {
            return false;
        }
        let slots = (self.limit / LONG_SLOT_DIVISOR_BUSY).max(1);
        let wait = Span(self.queue.backlog_longer_than(threshold).0 / u64::from(slots));
        wait.scale(self.slowdown(now)) > dispatch.remaining.scale(LONG_WAIT_MAX_FRACTION)
    }

    fn observe_slack(&mut self, dispatch: &Dispatch) {
        if dispatch.estimate <= self.queue.long_threshold() {
            let slack = dispatch.remaining.saturating_sub(dispatch.estimate);
            let sum = self.typical_slack * SLACK_HISTORY_WEIGHT + slack;
            self.typical_slack = Span(sum.0 / (SLACK_HISTORY_WEIGHT + 1));
        }
    }

    fn check_dispatch(&self, now: Time, dispatch: &Dispatch) -> Option<Refusal> {
        let attempt = dispatch.attempt;
        let target = dispatch.incarnation;
        let unbound = target.is_none() && dispatch.effect == Effect::Once;
        if unbound || target.is_some_and(|target| target != self.incarnation) {
            return Some(Refusal::Stale);
        }
        if self.forbidden.contains(&attempt) {
            return Some(Refusal::Forbidden);
        }
        if self.effects.contains_key(&attempt)
            || self.running.contains_key(&attempt)
            || self.outcomes.contains_key(&attempt)
            || dispatch.effect == Effect::Once && self.is_purged(attempt)
        {
            return Some(Refusal::Duplicate);
        }
        if self.draining || self.unlisted {
            return Some(Refusal::Draining);
        }
        if self.down {
            return Some(Refusal::Down);
        }
        let latest_start = now + dispatch.remaining.saturating_sub(dispatch.estimate);
        let wait = self.predict_wait(now, latest_start);
        let late =
            wait + dispatch.estimate > dispatch.remaining || self.long_wait_exceeded(now, dispatch);
        if self.queue.len() >= self.settings.queue_limit as usize
            || (late && self.settings.policy == Policy::Damaskweir)
        {
            return Some(Refusal::Overloaded { retry: wait });
        }
        None
    }

    fn fill_slots(&mut self, now: Time) -> Vec<SidecarAction> {
        let mut actions = Vec::new();
        while !self.down && self.running.len() < self.limit as usize {
            let Some(waiting) = self.pop_next(now) else { break };
            let effect = self.effects.remove(&waiting.attempt).unwrap_or(Effect::Once);
            let running = RunningAttempt { effect, started: now, estimate: waiting.estimate };
            self.running.insert(waiting.attempt, running);
            actions.push(SidecarAction::Start(waiting.attempt));
        }
        actions.extend(self.drained_action());
        actions
    }

    /// Removes and returns the attempt to start next. Long attempts may hold a quarter of the slots while
    /// others wait and half of them otherwise; the rest stay available for new arrivals.
    fn pop_next(&mut self, now: Time) -> Option<QueuedAttempt> {
        let long = self.count_long_running(now);
        let slots = self.limit;
        let may_start_long = |divisor: u32| long < (slots / divisor).max(1) as usize;
        self.queue.pop_filtered(now, may_start_long(LONG_SLOT_DIVISOR_BUSY)).or_else(|| {
            may_start_long(LONG_SLOT_DIVISOR).then(|| self.queue.pop_filtered(now, true)).flatten()
        })
    }

    /// Records that an attempt removed from the queue will never start.
    fn discard_queued(&mut self, attempt: AttemptId) {
        if self.effects.remove(&attempt) == Some(Effect::Once) {
            self.record_forbidden(attempt);
        }
    }

    /// Records the promise that an attempt, not queued, running or ended, will never start.
    fn record_forbidden(&mut self, attempt: AttemptId) {
        if self.forbidden.insert(attempt) {
            self.retained.push_back((self.now, attempt));
        }
    }

    /// Whether a record of the attempt may have been purged.
    fn is_purged(&self, attempt: AttemptId) -> bool {
        let request = attempt.request;
        self.purged.get(&request.entry).is_some_and(|serial| request.serial <= *serial)
    }

    /// Removes outcomes and promises older than the retention time.
    fn purge_expired(&mut self) {
        while let Some((at, attempt)) = self.retained.front().copied() {
            if self.now.since(at) < self.settings.retention {
                break;
            }
            self.retained.pop_front();
            self.outcomes.remove(&attempt);
            self.forbidden.remove(&attempt);
            let serial = self.purged.entry(attempt.request.entry).or_default();
            *serial = attempt.request.serial.max(*serial);
        }
    }

    fn refuse_queued(&mut self, refusal: Refusal) -> Vec<SidecarAction> {
        let waiting = self.queue.drain();
        waiting.iter().for_each(|item| self.discard_queued(item.attempt));
        waiting.iter().map(|item| SidecarAction::Refuse(item.attempt, refusal)).collect()
    }

    fn drained_action(&self) -> Option<SidecarAction> {
        let idle = self.running.is_empty() && self.queue.is_empty();
        (self.draining && idle).then_some(SidecarAction::Drained)
    }
}
