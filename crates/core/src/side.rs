//! Decisions of the side process next to one backend server.

use crate::bundle::Effect;
use crate::ids::{AttemptId, Incarnation, Version};
use crate::message::{AttemptStatus, Dispatch, Outcome, Refusal, Report};
use crate::policy::Policy;
use crate::predict::Pace;
use crate::queue::{Queue, Waiting};
use crate::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Long work may hold one in this many slots.
const LONG_PART: u32 = 2;
/// The same while other work waits.
const LONG_PART_BUSY: u32 = 4;
/// Share of its time that long work may be predicted to wait. More of it would fill the slots for
/// long after a surge.
const LONG_WAIT_SHARE: f64 = 0.25;
/// How far the limit may move from the configured slots, as a factor either way.
const LIMIT_RANGE: u32 = 4;
/// Time until load reports show a lower limit.
const LIMIT_SETTLE: Span = Span::from_secs(1);
/// Attempts over which the usual slack is averaged.
const SLACK_MEMORY: u64 = 31;

/// Settings of a side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SideSettings {
    /// Attempts that may run at once.
    pub slots: u32,
    /// Attempts that may wait.
    pub queue: u32,
    /// How long ends of non-idempotent attempts, and promises never to start one, are kept.
    pub retention: Span,
    /// Which decisions are in force.
    pub policy: Policy,
}

impl Default for SideSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            queue: 256,
            retention: Span::from_secs(24 * 3600),
            policy: Policy::default(),
        }
    }
}

/// What the side must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SideAction {
    /// Give the attempt to the backend server.
    Start(AttemptId),
    /// Tell the entry that the attempt was not and will not be started.
    Refuse(AttemptId, Refusal),
    /// Cancel the running attempt at the backend server.
    Abort(AttemptId),
    /// Nothing runs or waits any more: the process may exit.
    Drained,
}

#[derive(Clone, Debug)]
struct Running {
    effect: Effect,
    started: Time,
    estimate: Span,
}

/// State of a side.
#[derive(Clone, Debug)]
pub struct Side {
    incarnation: Incarnation,
    settings: SideSettings,
    version: Version,
    queue: Queue,
    /// Effects of the attempts in `queue`.
    effects: BTreeMap<AttemptId, Effect>,
    /// At most `limit` when they were started.
    running: BTreeMap<AttemptId, Running>,
    /// Non-idempotent attempts that ended, for the retention time.
    ended: BTreeMap<AttemptId, Outcome>,
    /// Non-idempotent attempts that were promised never to start, for the retention time.
    forbidden: BTreeSet<AttemptId>,
    /// When each element of `ended` and `forbidden` was added; oldest first.
    kept: VecDeque<(Time, AttemptId)>,
    /// Highest request of each entry of which something was forgotten. Attempts up to there are
    /// neither started, since they may have run, nor promised, since that may be untrue.
    forgotten: BTreeMap<Incarnation, u64>,
    /// Time of the last event.
    now: Time,
    draining: bool,
    /// The bundle in force does not name the backend server.
    unlisted: bool,
    down: bool,
    serial: u64,
    /// Service times against their estimates.
    pace: Pace,
    /// Attempts that may run at once now; follows the backend server's own load reports.
    limit: u32,
    /// Load reports before this don't show the last change of the limit yet.
    settled: Time,
    /// Usual time between arrival and latest start, of attempts that are not long.
    slack: Span,
}

impl Side {
    /// A side that serves and has seen nothing.
    pub fn new(incarnation: Incarnation, settings: SideSettings) -> Self {
        Self {
            incarnation,
            settings,
            version: Version::default(),
            queue: Queue::new(settings.policy),
            effects: BTreeMap::new(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            forbidden: BTreeSet::new(),
            kept: VecDeque::new(),
            forgotten: BTreeMap::new(),
            now: Time::default(),
            draining: false,
            unlisted: false,
            down: false,
            serial: 0,
            pace: Pace::default(),
            limit: settings.slots,
            settled: Time::default(),
            slack: Span::from_secs(1),
        }
    }

    /// Takes a new attempt, or refuses it.
    pub fn dispatch(&mut self, now: Time, dispatch: &Dispatch) -> Vec<SideAction> {
        self.now = self.now.max(now);
        if let Some(refusal) = self.refusal(now, dispatch) {
            if dispatch.effect == Effect::Once && refusal != Refusal::Duplicate {
                // A refusal is a promise; a copy of the dispatch must not start either.
                self.promise(dispatch.attempt);
            }
            return vec![SideAction::Refuse(dispatch.attempt, refusal)];
        }
        self.effects.insert(dispatch.attempt, dispatch.effect);
        self.learn_slack(dispatch);
        self.queue.push(Waiting {
            attempt: dispatch.attempt,
            workspace: dispatch.workspace.clone(),
            share: dispatch.share,
            deadline: now + dispatch.remaining,
            estimate: dispatch.estimate,
            arrived: now,
        });
        self.start(now)
    }

    /// The entry no longer wants the attempt.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) -> Vec<SideAction> {
        self.now = self.now.max(now);
        if self.queue.remove(attempt).is_some() {
            self.withdraw(attempt);
            let mut actions = vec![SideAction::Refuse(attempt, Refusal::Cancelled)];
            actions.extend(self.drained());
            return actions;
        }
        match self.running.get(&attempt) {
            // Non-idempotent work is never cut off: its outcome would be unknown.
            Some(running) if running.effect == Effect::Idempotent => {
                self.running.remove(&attempt);
                let mut actions = vec![SideAction::Abort(attempt)];
                actions.extend(self.start(now));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// The backend server ended an attempt.
    pub fn finish(&mut self, now: Time, attempt: AttemptId, outcome: Outcome) -> Vec<SideAction> {
        self.now = self.now.max(now);
        if let (Some(running), Outcome::Finished) = (self.running.get(&attempt), outcome) {
            self.pace.observe(now, now.since(running.started), running.estimate);
        }
        match self.running.remove(&attempt) {
            Some(Running { effect: Effect::Once, .. }) => {
                self.ended.insert(attempt, outcome);
                self.kept.push_back((self.now, attempt));
            }
            Some(_) => {}
            None => return Vec::new(),
        }
        self.start(now)
    }

    /// The backend server can't have got an attempt that was started. It is handed back and won't
    /// start any more.
    pub fn unsent(&mut self, now: Time, attempt: AttemptId, refusal: Refusal) -> Vec<SideAction> {
        self.now = self.now.max(now);
        let Some(running) = self.running.remove(&attempt) else { return Vec::new() };
        if running.effect == Effect::Once {
            self.promise(attempt);
        }
        let mut actions = vec![SideAction::Refuse(attempt, refusal)];
        actions.extend(self.start(now));
        actions
    }

    /// Promises never to start a non-idempotent attempt, if that is still possible.
    ///
    /// An attempt that waits in the queue is left there: the entry that sent it waits for it, and
    /// would not learn that it was taken out.
    pub fn forbid(&mut self, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        if incarnation != self.incarnation {
            return AttemptStatus::Gone;
        }
        if let Some(outcome) = self.ended.get(&attempt) {
            return AttemptStatus::Ended(*outcome);
        }
        if self.running.contains_key(&attempt) || self.effects.contains_key(&attempt) {
            return AttemptStatus::Running;
        }
        if self.is_forgotten(attempt) && !self.forbidden.contains(&attempt) {
            return AttemptStatus::Gone;
        }
        self.promise(attempt);
        AttemptStatus::Forbidden
    }

    /// Stops taking work. Waiting attempts are handed back as not started.
    pub fn drain(&mut self) -> Vec<SideAction> {
        self.draining = true;
        let mut actions = self.hand_back(Refusal::Draining);
        actions.extend(self.drained());
        actions
    }

    /// The backend server went down or came back.
    pub fn set_down(&mut self, now: Time, down: bool) -> Vec<SideAction> {
        self.now = self.now.max(now);
        self.down = down;
        if down { self.hand_back(Refusal::Down) } else { self.start(now) }
    }

    /// The bundle in force names the backend server, or no longer does. While it does not, the side takes
    /// no work and hands back what waits; a later bundle may bring the server back.
    pub fn set_listed(&mut self, now: Time, listed: bool) -> Vec<SideAction> {
        self.now = self.now.max(now);
        self.unlisted = !listed;
        if listed { self.start(now) } else { self.hand_back(Refusal::Draining) }
    }

    /// The bundle version in force changed.
    pub fn set_version(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// The calls that the backend server may run at once changed.
    pub fn set_slots(&mut self, now: Time, slots: u32) -> Vec<SideAction> {
        self.settings.slots = slots.max(1);
        self.limit = self.settings.slots;
        self.start(now)
    }

    /// The backend server reported how many attempts wait inside it. Those are out of reach for the
    /// order and the deadlines here, so the limit comes down by their number; it rises again while
    /// attempts wait here and none there.
    pub fn load(&mut self, now: Time, waiting: u32) -> Vec<SideAction> {
        self.now = self.now.max(now);
        if self.settings.policy == Policy::Baseline || now < self.settled {
            return Vec::new();
        }
        let least = (self.settings.slots / LIMIT_RANGE).max(1);
        if waiting > 0 {
            self.limit = self.limit.saturating_sub(waiting).max(least);
            self.settled = now + LIMIT_SETTLE;
        } else if !self.queue.is_empty() && self.running.len() >= self.limit as usize {
            self.limit = (self.limit + 1).min(self.settings.slots.saturating_mul(LIMIT_RANGE));
        }
        self.start(now)
    }

    /// Hands back attempts that can no longer make it and forgets old ends.
    pub fn tick(&mut self, now: Time) -> Vec<SideAction> {
        self.now = self.now.max(now);
        self.forget();
        let late = match self.settings.policy {
            Policy::Damaskweir => self.queue.expired(now),
            Policy::Baseline => Vec::new(),
        };
        let mut actions: Vec<_> =
            late.iter().map(|item| SideAction::Refuse(item.attempt, Refusal::Expired)).collect();
        for item in &late {
            self.withdraw(item.attempt);
        }
        actions.extend(self.start(now));
        actions
    }

    /// When `tick` has something to do.
    pub fn next_tick(&self) -> Option<Time> {
        if self.settings.policy == Policy::Baseline {
            return None;
        }
        // One microsecond later, since an attempt is too late only after its latest start.
        let expiry = self.queue.next_expiry().map(|at| at + Span(1));
        let forget = self.kept.front().map(|(at, _)| *at + self.settings.retention);
        expiry.into_iter().chain(forget).min()
    }

    /// The report to attach to the next message.
    pub fn report(&mut self, now: Time) -> Report {
        self.serial += 1;
        Report {
            incarnation: self.incarnation,
            serial: self.serial,
            version: self.version,
            queued: self.queue.len() as u32,
            running: self.running.len() as u32,
            limit: self.limit,
            wait: self.wait(now),
            draining: self.draining || self.unlisted || self.down,
        }
    }

    /// The run of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The bundle version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The policy in force.
    pub fn policy(&self) -> Policy {
        self.settings.policy
    }

    /// Attempts that run now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Time that a running attempt has taken so far, for `Entry::served` when it ends.
    pub fn elapsed(&self, now: Time, attempt: AttemptId) -> Option<Span> {
        self.running.get(&attempt).map(|running| now.since(running.started))
    }

    /// Predicted wait of a usual attempt that arrives now.
    fn wait(&self, now: Time) -> Span {
        self.wait_before(now, now + self.slack)
    }

    /// Predicted wait of an attempt that arrives now and must start at `latest`.
    fn wait_before(&self, now: Time, latest: Time) -> Span {
        if self.running.len() < self.limit as usize && self.queue.is_empty() {
            return Span::ZERO;
        }
        // Slots with long work don't come free while this attempt waits.
        let slots = self.limit as usize;
        let moving = slots.saturating_sub(self.long_running(now)).max(1) as u64;
        let ahead = self.queue.backlog_before(now, latest);
        // Attempts above a lowered limit must end before a slot is free.
        let above = self.running.len().saturating_sub(slots) as u64;
        let own = self.queue.typical().unwrap_or_default() * (above + 1);
        Span((ahead + own).0 / moving).scale(self.pace(now))
    }

    /// Observed service time as a multiple of the predicted one.
    fn pace(&self, now: Time) -> f64 {
        let limit = self.queue.long_limit();
        // Only what runs over its estimate is a sign of slowness; the rest is on its way.
        let over = self.running.values().filter(|r| r.estimate <= limit);
        let over =
            over.fold(Span::ZERO, |sum, r| sum + now.since(r.started).saturating_sub(r.estimate));
        self.pace.value(now, over).max(1.0)
    }

    /// Running attempts that are long: by their estimate, or because they have run that long.
    fn long_running(&self, now: Time) -> usize {
        let limit = self.queue.long_limit();
        let is_long = |r: &Running| r.estimate.max(now.since(r.started)) > limit;
        self.running.values().filter(|r| is_long(r)).count()
    }

    /// Whether long work would wait too long for the slots that long work may hold.
    fn long_late(&self, now: Time, dispatch: &Dispatch) -> bool {
        let limit = self.queue.long_limit();
        if dispatch.estimate <= limit || self.running.len() < self.limit as usize {
            return false;
        }
        let slots = (self.limit / LONG_PART_BUSY).max(1);
        let wait = Span(self.queue.backlog_above(limit).0 / u64::from(slots));
        wait.scale(self.pace(now)) > dispatch.remaining.scale(LONG_WAIT_SHARE)
    }

    fn learn_slack(&mut self, dispatch: &Dispatch) {
        if dispatch.estimate <= self.queue.long_limit() {
            let slack = dispatch.remaining.saturating_sub(dispatch.estimate);
            let sum = self.slack * SLACK_MEMORY + slack;
            self.slack = Span(sum.0 / (SLACK_MEMORY + 1));
        }
    }

    fn refusal(&self, now: Time, dispatch: &Dispatch) -> Option<Refusal> {
        let attempt = dispatch.attempt;
        let meant = dispatch.incarnation;
        let unbound = meant.is_none() && dispatch.effect == Effect::Once;
        if unbound || meant.is_some_and(|meant| meant != self.incarnation) {
            return Some(Refusal::Stale);
        }
        if self.forbidden.contains(&attempt) {
            return Some(Refusal::Forbidden);
        }
        if self.effects.contains_key(&attempt)
            || self.running.contains_key(&attempt)
            || self.ended.contains_key(&attempt)
            || dispatch.effect == Effect::Once && self.is_forgotten(attempt)
        {
            return Some(Refusal::Duplicate);
        }
        if self.draining || self.unlisted {
            return Some(Refusal::Draining);
        }
        if self.down {
            return Some(Refusal::Down);
        }
        let own = now + dispatch.remaining.saturating_sub(dispatch.estimate);
        let wait = self.wait_before(now, own);
        let late = wait + dispatch.estimate > dispatch.remaining || self.long_late(now, dispatch);
        if self.queue.len() >= self.settings.queue as usize
            || (late && self.settings.policy == Policy::Damaskweir)
        {
            return Some(Refusal::Overloaded { retry: wait });
        }
        None
    }

    fn start(&mut self, now: Time) -> Vec<SideAction> {
        let mut actions = Vec::new();
        while !self.down && self.running.len() < self.limit as usize {
            let Some(waiting) = self.next_waiting(now) else { break };
            let effect = self.effects.remove(&waiting.attempt).unwrap_or(Effect::Once);
            let running = Running { effect, started: now, estimate: waiting.estimate };
            self.running.insert(waiting.attempt, running);
            actions.push(SideAction::Start(waiting.attempt));
        }
        actions.extend(self.drained());
        actions
    }

    /// Takes the attempt that starts next. Long work may hold a quarter of the slots while other work
    /// waits, and half of them at any time; the rest stays free for what arrives next.
    fn next_waiting(&mut self, now: Time) -> Option<Waiting> {
        let long = self.long_running(now);
        let slots = self.limit;
        let below = |part: u32| long < (slots / part).max(1) as usize;
        self.queue
            .pop_allowed(now, below(LONG_PART_BUSY))
            .or_else(|| below(LONG_PART).then(|| self.queue.pop_allowed(now, true)).flatten())
    }

    /// Records that a waiting attempt will never start.
    fn withdraw(&mut self, attempt: AttemptId) {
        if self.effects.remove(&attempt) == Some(Effect::Once) {
            self.promise(attempt);
        }
    }

    /// Records that an attempt that neither waits, runs nor ended will never start.
    fn promise(&mut self, attempt: AttemptId) {
        if self.forbidden.insert(attempt) {
            self.kept.push_back((self.now, attempt));
        }
    }

    /// Whether the attempt may have ended, or been promised, so long ago that it was forgotten.
    fn is_forgotten(&self, attempt: AttemptId) -> bool {
        let request = attempt.request;
        self.forgotten.get(&request.entry).is_some_and(|serial| request.serial <= *serial)
    }

    /// Forgets what is older than the retention time.
    fn forget(&mut self) {
        while let Some((at, attempt)) = self.kept.front().copied() {
            if self.now.since(at) < self.settings.retention {
                break;
            }
            self.kept.pop_front();
            self.ended.remove(&attempt);
            self.forbidden.remove(&attempt);
            let serial = self.forgotten.entry(attempt.request.entry).or_default();
            *serial = attempt.request.serial.max(*serial);
        }
    }

    fn hand_back(&mut self, refusal: Refusal) -> Vec<SideAction> {
        let waiting = self.queue.drain();
        waiting.iter().for_each(|item| self.withdraw(item.attempt));
        waiting.iter().map(|item| SideAction::Refuse(item.attempt, refusal)).collect()
    }

    fn drained(&self) -> Option<SideAction> {
        let idle = self.running.is_empty() && self.queue.is_empty();
        (self.draining && idle).then_some(SideAction::Drained)
    }
}
