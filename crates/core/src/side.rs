//! Decisions of the side process next to one backend server.

use crate::bundle::Effect;
use crate::ids::{AttemptId, Incarnation, Version};
use crate::message::{Dispatch, Outcome, Refusal, Report, Standing};
use crate::policy::Policy;
use crate::queue::{Queue, Waiting};
use crate::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
    /// At most `settings.slots`.
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
    down: bool,
    serial: u64,
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
            down: false,
            serial: 0,
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
    pub fn forbid(&mut self, attempt: AttemptId, incarnation: Incarnation) -> Standing {
        if incarnation != self.incarnation {
            return Standing::Gone;
        }
        if let Some(outcome) = self.ended.get(&attempt) {
            return Standing::Ended(*outcome);
        }
        if self.running.contains_key(&attempt) || self.effects.contains_key(&attempt) {
            return Standing::Running;
        }
        if self.is_forgotten(attempt) && !self.forbidden.contains(&attempt) {
            return Standing::Gone;
        }
        self.promise(attempt);
        Standing::Forbidden
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

    /// The bundle version in force changed.
    pub fn set_version(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// The calls that the backend server may run at once changed.
    pub fn set_slots(&mut self, now: Time, slots: u32) -> Vec<SideAction> {
        self.settings.slots = slots.max(1);
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
            limit: self.settings.slots,
            wait: self.wait(now),
            draining: self.draining || self.down,
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

    /// Predicted wait of an attempt that arrives now.
    fn wait(&self, now: Time) -> Span {
        if self.running.len() < self.settings.slots as usize && self.queue.is_empty() {
            return Span::ZERO;
        }
        // Estimates come from the network: a sum that wraps would make a full side look idle.
        let left = self.running.values().fold(self.queue.backlog(), |sum, running| {
            sum + running.estimate.saturating_sub(now.since(running.started))
        });
        Span(left.0 / u64::from(self.settings.slots.max(1)))
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
        if self.draining {
            return Some(Refusal::Draining);
        }
        if self.down {
            return Some(Refusal::Down);
        }
        let wait = self.wait(now);
        let late = wait + dispatch.estimate > dispatch.remaining;
        if self.queue.len() >= self.settings.queue as usize
            || (late && self.settings.policy == Policy::Damaskweir)
        {
            return Some(Refusal::Overloaded { retry: wait });
        }
        None
    }

    fn start(&mut self, now: Time) -> Vec<SideAction> {
        let mut actions = Vec::new();
        while !self.down && self.running.len() < self.settings.slots as usize {
            let Some(waiting) = self.queue.pop(now) else { break };
            let effect = self.effects.remove(&waiting.attempt).unwrap_or(Effect::Once);
            let running = Running { effect, started: now, estimate: waiting.estimate };
            self.running.insert(waiting.attempt, running);
            actions.push(SideAction::Start(waiting.attempt));
        }
        actions.extend(self.drained());
        actions
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
