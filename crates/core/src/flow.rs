//! How an entry takes a request through its stages: attempts, retries, hedges and the deadline.

use crate::Rng;
use crate::bundle::Effect;
use crate::entry::{Answer, Attempt, Code, Entry, EntryAction, Execution, Input, Request};
use crate::ids::{AttemptId, Incarnation, RequestId, ServerId};
use crate::message::{Dispatch, Failure, Outcome, Refusal};
use crate::policy::Policy;
use crate::predict::Estimator;
use crate::route::Need;
use crate::time::{Span, Time};

/// An attempt may probe a slow server when it has this many times its estimate left.
const PROBE_SPARE: u64 = 6;
/// Retry hint when nothing better is known.
const DEFAULT_RETRY: Span = Span::from_secs(1);
/// Shortest retry hint.
const HINT_MIN: Span = Span::from_millis(100);
/// Further servers that a refused attempt is sent to at once.
const REDIRECTS_MAX: u32 = 2;
/// Delay of the baseline's retries. Not zero, so that a pool without an open server is not tried in
/// an endless loop.
const BASELINE_DELAY: Span = Span::from_millis(1);

impl Entry {
    /// Starts the current stage of a request.
    pub(crate) fn begin_stage(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(stage) = request.stage() else { return };
        let (pool, effect) = (stage.pool.clone(), stage.effect);
        if let Some(hint) = self.hopeless(now, id) {
            self.give_up(id, Code::Overloaded, Some(hint), actions);
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.used.clear();
        request.number = 0;
        request.redirects = 0;
        request.failed = false;
        match effect {
            Effect::Idempotent => {
                if let Some(budget) = self.budgets.get_mut(&pool) {
                    budget.deposit();
                }
                self.send(now, rng, id, actions);
            }
            Effect::Once => self.claim(now, rng, id, actions),
        }
    }

    /// Whether the stages that are left can't be done in time any more; then with a retry hint.
    /// Going on would only take time from requests that can make it.
    fn hopeless(&self, now: Time, id: RequestId) -> Option<Span> {
        let request = self.requests.get(&id)?;
        if !self.settings.admission || request.stage == 0 {
            return None;
        }
        let call = &request.call;
        let pipeline = request.bundle.pipelines.get(&call.pipeline)?;
        let (work, wait) =
            self.predict(now, &call.pipeline, request.class, pipeline, request.stage)?;
        (work > request.deadline.since(now)).then_some(wait.max(HINT_MIN))
    }

    /// Sends one attempt at the current stage, or plans another try when no server is open.
    pub(crate) fn send(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some((server, dispatch)) = self.choose(now, rng, id) else {
            self.retry_later(now, rng, id, actions);
            return;
        };
        self.dispatch(now, id, server, dispatch, actions);
        self.arm(id);
    }

    /// Chooses a server for the current stage and fills in the dispatch.
    pub(crate) fn choose(
        &self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
    ) -> Option<(ServerId, Dispatch)> {
        let request = self.requests.get(&id)?;
        if request.number == u16::MAX {
            // A number that wrapped would name an attempt that may have run.
            return None;
        }
        let stage = request.stage()?;
        let estimate = self.estimate(&request.call.pipeline, request.stage, request.class, stage);
        let spare = request.deadline.since(now) > estimate * PROBE_SPARE;
        let need = Need {
            estimate,
            prefix: request.call.prefix,
            avoid: &request.used,
            probe: spare && request.used.is_empty() && stage.effect == Effect::Idempotent,
        };
        let choice = self.routers.get(&stage.pool)?.choose(now, rng, &need)?;
        let workspace = request.call.workspace.clone();
        let share = request.bundle.workspaces.get(&workspace).map_or(1, |w| w.share);
        let dispatch = Dispatch {
            attempt: AttemptId { request: id, stage: request.stage, number: request.number },
            version: request.bundle.version,
            workspace,
            share,
            remaining: request.deadline.since(now),
            estimate,
            effect: stage.effect,
            resume: request.emitted,
            incarnation: None,
        };
        Some((choice.server, dispatch))
    }

    /// Sends a filled-in dispatch.
    pub(crate) fn dispatch(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        dispatch: Dispatch,
        actions: &mut Vec<EntryAction>,
    ) {
        let hedging = self.settings.hedging;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(stage) = request.stage() else { return };
        let (pool, effect) = (stage.pool.clone(), stage.effect);
        let key = (request.call.pipeline.clone(), request.stage, request.class);
        let estimator = self.estimators.get(&key);
        let high = estimator.map_or(stage.expected * 2, Estimator::high);
        let wait =
            self.routers.get(&pool).map_or(Span::ZERO, |r| r.wait(&server, dispatch.estimate));
        let probe = self.routers.get(&pool).is_some_and(|r| r.is_ejected(&server));
        request.attempts.push(Attempt {
            id: dispatch.attempt,
            server: server.clone(),
            sent: now,
            wait,
            served: None,
        });
        if !request.used.contains(&server) {
            request.used.push(server.clone());
        }
        request.number = request.number.saturating_add(1);
        request.retry_at = None;
        let hedge = hedging && effect == Effect::Idempotent && request.attempts.len() == 1;
        // A probe is expected to be slow: its hedge does not wait for the high quantile.
        let patience = if probe { dispatch.estimate } else { wait + high };
        request.hedge_at = hedge.then(|| now + patience);
        let prefix = request.call.prefix;
        request.open.insert(dispatch.attempt);
        if let Some(router) = self.routers.get_mut(&pool) {
            router.sent(now, &server, dispatch.attempt, dispatch.estimate, prefix);
        }
        if let Some(hedges) = self.hedges.get_mut(&pool) {
            hedges.deposit(dispatch.estimate);
        }
        actions.push(EntryAction::Send { server, dispatch, input: request.input });
    }

    /// The side promised never to start an attempt.
    pub(crate) fn refused(
        &mut self,
        now: Time,
        rng: &mut Rng,
        attempt: AttemptId,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        if refusal == Refusal::Duplicate {
            // The other copy of the message is answered for itself.
            self.dropped += 1;
            return;
        }
        let Some(gone) = self.take_attempt(attempt) else { return };
        if matches!(refusal, Refusal::Down | Refusal::Draining) {
            self.pause(now, attempt.request, &gone.server);
        }
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        if refusal.never_runs() {
            request.open.remove(&attempt);
        }
        if request.claim.is_some() {
            self.claim_refused(now, rng, attempt, refusal, actions);
        } else if request.attempts.is_empty() {
            self.redirect(now, rng, attempt.request, refusal, actions);
        }
    }

    /// Sends a refused attempt to another server. It has cost no work, so it needs no budget, but
    /// when a few servers have refused, the others are no better.
    fn redirect(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        let baseline = self.settings.policy == Policy::Baseline;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.redirects += 1;
        let more = request.redirects <= REDIRECTS_MAX;
        match refusal {
            _ if baseline => self.retry(now, rng, id, actions),
            Refusal::Expired => self.give_up(id, Code::Overloaded, Some(DEFAULT_RETRY), actions),
            Refusal::Overloaded { retry } if !more => {
                self.give_up(id, Code::Overloaded, Some(retry.max(HINT_MIN)), actions);
            }
            _ if more => {
                self.send(now, rng, id, actions);
                self.arm(id);
            }
            _ => self.retry(now, rng, id, actions),
        }
    }

    /// A chunk arrived from an attempt.
    pub(crate) fn chunk(&mut self, attempt: AttemptId, index: u32, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            self.dropped += 1;
            return;
        };
        let last = request.pipeline_len() == usize::from(request.stage) + 1;
        let known = request.attempts.iter().any(|a| a.id == attempt);
        if !known {
            self.dropped += 1;
            return;
        }
        request.ran = true;
        if !request.call.stream || !last {
            return;
        }
        let winner = *request.streaming.get_or_insert(attempt);
        if winner != attempt || index != request.emitted {
            self.dropped += 1;
            return;
        }
        request.emitted += 1;
        request.hedge_at = None;
        actions.push(EntryAction::Emit(attempt, index));
        self.cancel_others(attempt, actions);
        self.arm(attempt.request);
    }

    /// An attempt ended.
    pub(crate) fn done(
        &mut self,
        now: Time,
        rng: &mut Rng,
        attempt: AttemptId,
        outcome: Outcome,
        actions: &mut Vec<EntryAction>,
    ) {
        if outcome == Outcome::Finished {
            self.note_run(attempt);
        }
        let Some(ended) = self.take_attempt(attempt) else { return };
        let id = attempt.request;
        if outcome != Outcome::Failed(Failure::Interrupted) {
            self.ran(id);
        }
        if self.requests.get(&id).is_some_and(|request| request.claim.is_some()) {
            self.claim_ended(now, rng, attempt, outcome, actions);
        } else {
            match outcome {
                Outcome::Finished => self.finished(now, rng, &ended, actions),
                Outcome::Failed(failure) => self.failed(now, rng, &ended, failure, actions),
            }
        }
    }

    /// The connection to a side broke before its attempt ended.
    pub(crate) fn lost(
        &mut self,
        now: Time,
        rng: &mut Rng,
        attempt: AttemptId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(lost) = self.take_attempt(attempt) else { return };
        let Some(request) = self.requests.get(&attempt.request) else { return };
        if request.claim.is_some() {
            self.claim_lost(attempt.request, actions);
        } else {
            self.failed(now, rng, &lost, Failure::Interrupted, actions);
        }
    }

    /// The winning attempt of a stage finished.
    fn finished(
        &mut self,
        now: Time,
        rng: &mut Rng,
        ended: &Attempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = ended.id.request;
        self.learn(now, ended);
        self.cancel_others(ended.id, actions);
        self.advance(now, rng, id, ended.id, actions);
    }

    /// Goes to the next stage, or answers after the last one.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        winner: AttemptId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage += 1;
        request.input = Input::Attempt(winner);
        request.claim = None;
        request.retry_at = None;
        request.hedge_at = None;
        if request.stage().is_none() {
            self.answer(id, Answer::Complete(winner), actions);
        } else if request.deadline <= now {
            self.give_up(id, Code::DeadlineExceeded, None, actions);
        } else {
            self.begin_stage(now, rng, id, actions);
        }
    }

    /// An idempotent attempt failed.
    fn failed(
        &mut self,
        now: Time,
        rng: &mut Rng,
        ended: &Attempt,
        failure: Failure,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = ended.id.request;
        if failure == Failure::Interrupted {
            self.pause(now, id, &ended.server);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.failed = true;
        if request.streaming == Some(ended.id) {
            request.streaming = None;
            if request.emitted > 0 && !request.resumes() {
                self.give_up(id, Code::StreamBroken, Some(DEFAULT_RETRY), actions);
                return;
            }
        }
        if request.attempts.is_empty() {
            self.retry(now, rng, id, actions);
        }
    }

    /// Plans another attempt if the budget allows it, else gives the final answer at once.
    fn retry(&mut self, now: Time, rng: &mut Rng, id: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(stage) = request.stage() else { return };
        let (pool, code) = (stage.pool.clone(), request.shortfall());
        let free = self.settings.policy == Policy::Baseline;
        if free || self.budgets.get_mut(&pool).is_some_and(|budget| budget.withdraw()) {
            self.retry_later(now, rng, id, actions);
        } else {
            self.give_up(id, code, Some(DEFAULT_RETRY), actions);
        }
    }

    /// Plans another try, or gives up at once when it would be too late.
    pub(crate) fn retry_later(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let policy = self.settings.policy;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let at = now
            + match policy {
                Policy::Damaskweir => request.backoff.next_delay(rng),
                Policy::Baseline => BASELINE_DELAY,
            };
        // Without a further attempt number, waiting brings nothing.
        if at >= request.deadline || request.number == u16::MAX {
            let code = request.shortfall();
            self.give_up(id, code, Some(DEFAULT_RETRY), actions);
            return;
        }
        request.retry_at = Some(at);
        self.arm(id);
    }

    /// Runs the due timers of one request.
    pub(crate) fn timer(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.deadline <= now {
            self.expire(id, actions);
        } else if request.retry_at.is_some_and(|at| at <= now) {
            request.retry_at = None;
            if request.claim.is_some() {
                self.claim_retry(now, rng, id, actions);
            } else {
                self.send(now, rng, id, actions);
            }
            self.arm(id);
        } else if request.hedge_at.is_some_and(|at| at <= now) {
            request.hedge_at = None;
            self.hedge(now, rng, id, actions);
            self.arm(id);
        } else {
            self.arm(id);
        }
    }

    /// Sends a second attempt beside a slow one.
    fn hedge(&mut self, now: Time, rng: &mut Rng, id: RequestId, actions: &mut Vec<EntryAction>) {
        let Some((server, dispatch)) = self.choose(now, rng, id) else { return };
        let Some(request) = self.requests.get(&id) else { return };
        let Some(stage) = request.stage() else { return };
        let same = request.used.contains(&server);
        let pool = stage.pool.clone();
        // In a queue it would only take the turn of a first attempt.
        let waits = self.routers.get(&pool).map(|r| r.wait(&server, dispatch.estimate));
        if waits.is_none_or(|wait| wait > Span::ZERO) {
            return;
        }
        let hedges = self.hedges.get_mut(&pool);
        if !same && hedges.is_some_and(|budget| budget.withdraw(dispatch.estimate)) {
            self.dispatch(now, id, server, dispatch, actions);
        }
    }

    /// The deadline passed.
    pub(crate) fn expire(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else { return };
        let code = if request.claim.is_some() && request.execution() == Execution::Unknown {
            Code::OutcomeUnknown
        } else {
            Code::DeadlineExceeded
        };
        self.give_up(id, code, None, actions);
    }

    /// Gives the final answer to a request that can't be completed.
    pub(crate) fn give_up(
        &mut self,
        id: RequestId,
        code: Code,
        retry: Option<Span>,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let execution = request.execution();
        self.answer(id, Answer::Error { code, execution, retry }, actions);
    }

    /// Gives the final answer and forgets the request.
    pub(crate) fn answer(&mut self, id: RequestId, answer: Answer, actions: &mut Vec<EntryAction>) {
        self.end(id, actions);
        actions.push(EntryAction::Answer(id, answer));
    }

    /// Forgets a request and cancels what it has running.
    pub(crate) fn end(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) {
        let now = self.now;
        let Some(request) = self.requests.remove(&id) else { return };
        self.timers.remove(&(request.armed, id));
        self.admission.release(&request.call.workspace);
        let pool = request.stage().map(|stage| &stage.pool);
        for attempt in &request.attempts {
            if let Some(router) = pool.and_then(|pool| self.routers.get_mut(pool)) {
                router.ran(now, &attempt.server, attempt.id, true);
            }
            actions.push(EntryAction::Cancel(attempt.server.clone(), attempt.id));
        }
    }

    /// Cancels all other attempts at the stage of `winner`.
    fn cancel_others(&mut self, winner: AttemptId, actions: &mut Vec<EntryAction>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&winner.request) else { return };
        let pool = request.stage().map(|stage| stage.pool.clone());
        let losers: Vec<_> = request.attempts.extract_if(.., |a| a.id != winner).collect();
        for loser in losers {
            if let Some(router) = pool.as_ref().and_then(|pool| self.routers.get_mut(pool)) {
                router.ran(now, &loser.server, loser.id, true);
            }
            actions.push(EntryAction::Cancel(loser.server, loser.id));
        }
    }

    /// Tells the router that an attempt ran to its end.
    fn note_run(&mut self, id: AttemptId) {
        let Some(request) = self.requests.get(&id.request) else { return };
        let attempt = request.attempts.iter().find(|attempt| attempt.id == id);
        let (Some(attempt), Some(stage)) = (attempt, request.stage()) else { return };
        if let Some(router) = self.routers.get_mut(&stage.pool) {
            router.ran(self.now, &attempt.server, id, false);
        }
    }

    /// Takes a running attempt out of its request; counts messages of any other as dropped.
    fn take_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let taken = self.requests.get_mut(&id.request).and_then(|request| {
            let i = request.attempts.iter().position(|attempt| attempt.id == id)?;
            let pool = request.stage()?.pool.clone();
            Some((request.attempts.swap_remove(i), pool))
        });
        let Some((attempt, pool)) = taken else {
            self.dropped += 1;
            return None;
        };
        if let Some(router) = self.routers.get_mut(&pool) {
            router.ended(&attempt.server, attempt.id);
        }
        Some(attempt)
    }

    /// Learns the service time of a finished attempt.
    fn learn(&mut self, now: Time, ended: &Attempt) {
        let Some(request) = self.requests.get(&ended.id.request) else { return };
        let Some(stage) = request.stage() else { return };
        let key = (request.call.pipeline.clone(), request.stage, request.class);
        let expected = stage.expected;
        let seen = ended.served.unwrap_or_else(|| now.since(ended.sent).saturating_sub(ended.wait));
        self.estimators.entry(key).or_insert_with(|| Estimator::new(expected)).observe(now, seen);
    }

    /// The run of the side process that a server's last report told.
    pub(crate) fn incarnation_of(&self, id: RequestId, server: &ServerId) -> Option<Incarnation> {
        let pool = &self.requests.get(&id)?.stage()?.pool;
        self.routers.get(pool)?.incarnation(server)
    }

    fn pause(&mut self, now: Time, id: RequestId, server: &ServerId) {
        let pool = self.requests.get(&id).and_then(|r| Some(r.stage()?.pool.clone()));
        if let Some(router) = pool.and_then(|pool| self.routers.get_mut(&pool)) {
            router.pause(now, server);
        }
    }

    /// Something of the request ran.
    pub(crate) fn ran(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.ran = true;
        }
    }

    /// Sets the timer of a request.
    pub(crate) fn arm(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.timers.remove(&(request.armed, id));
            request.armed = request.next_event();
            self.timers.insert((request.armed, id));
        }
    }
}

impl Request {
    /// Whether the current stage's servers can resume a stream.
    fn resumes(&self) -> bool {
        let pool = self.stage().and_then(|stage| self.bundle.pools.get(&stage.pool));
        pool.is_some_and(|pool| pool.resume)
    }

    fn pipeline_len(&self) -> usize {
        self.bundle.pipelines.get(&self.call.pipeline).map_or(0, |p| p.stages.len())
    }
}
