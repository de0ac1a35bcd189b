//! Stage execution of an entry: attempts, redirects, retries, hedges and the deadline.

use crate::Rng;
use crate::bundle::Effect;
use crate::entry::{
    Answer, Attempt, Entry, EntryAction, ErrorCode, Execution, Request, StageInput,
};
use crate::ids::{AttemptId, Incarnation, RequestId, ServerId};
use crate::message::{Dispatch, Failure, Outcome, Refusal};
use crate::policy::Policy;
use crate::predict::Estimator;
use crate::route::Requirements;
use crate::time::{Span, Time};

/// An attempt may probe an ejected server if its remaining time exceeds this multiple of its
/// estimate.
const PROBE_TIME_FACTOR: u64 = 6;
/// Retry hint for errors from which no better estimate can be derived.
const DEFAULT_RETRY_HINT: Span = Span::from_secs(1);
/// Lower bound of computed retry hints.
const RETRY_HINT_MIN: Span = Span::from_millis(100);
/// Upper bound of immediate redirects per stage after refusals.
const REDIRECTS_MAX: u32 = 2;
/// Retry delay of the baseline policy. A zero delay would loop endlessly at one point in time while
/// a pool has no server that can take work.
const BASELINE_RETRY_DELAY: Span = Span::from_millis(1);

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
        if let Some(hint) = self.deadline_unreachable(now, id) {
            self.fail_request(id, ErrorCode::Overloaded, Some(hint), actions);
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.tried.clear();
        request.next_number = 0;
        request.redirects = 0;
        request.failed = false;
        match effect {
            Effect::Idempotent => {
                if let Some(budget) = self.retry_budgets.get_mut(&pool) {
                    budget.deposit();
                }
                self.send_attempt(now, rng, id, actions);
            }
            Effect::Once => self.begin_claim(now, rng, id, actions),
        }
    }

    /// Returns a retry hint if the remaining stages are predicted to miss the deadline. Continuing
    /// would take capacity from requests that can still meet theirs.
    fn deadline_unreachable(&self, now: Time, id: RequestId) -> Option<Span> {
        let request = self.requests.get(&id)?;
        if !self.settings.admission || request.stage == 0 {
            return None;
        }
        let call = &request.call;
        let pipeline = request.bundle.pipelines.get(&call.pipeline)?;
        let (work, wait) =
            self.predict(now, &call.pipeline, request.class, pipeline, request.stage)?;
        (work > request.deadline.since(now)).then_some(wait.max(RETRY_HINT_MIN))
    }

    /// Sends one attempt of the current stage, or schedules a retry when no server can take it.
    pub(crate) fn send_attempt(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some((server, dispatch)) = self.prepare_dispatch(now, rng, id) else {
            self.schedule_retry(now, rng, id, actions);
            return;
        };
        self.send_dispatch(now, id, server, dispatch, actions);
        self.set_timer(id);
    }

    /// Chooses a server for the current stage and builds the dispatch message.
    pub(crate) fn prepare_dispatch(
        &self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
    ) -> Option<(ServerId, Dispatch)> {
        let request = self.requests.get(&id)?;
        if request.next_number == u16::MAX {
            // A wrapped number would reuse the id of an attempt that may have run.
            return None;
        }
        let stage = request.stage()?;
        let estimate = self.estimate(&request.call.pipeline, request.stage, request.class, stage);
        let probe_affordable = request.deadline.since(now) > estimate * PROBE_TIME_FACTOR;
        let need = Requirements {
            estimate,
            prefix: request.call.prefix,
            avoid: &request.tried,
            probe: probe_affordable
                && request.tried.is_empty()
                && stage.effect == Effect::Idempotent,
        };
        let choice = self.routers.get(&stage.pool)?.choose(now, rng, &need)?;
        let workspace = request.call.workspace.clone();
        let share = request.bundle.workspaces.get(&workspace).map_or(1, |w| w.share);
        let dispatch = Dispatch {
            attempt: AttemptId { request: id, stage: request.stage, number: request.next_number },
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

    /// Sends a dispatch, registers its attempt and schedules a hedge.
    pub(crate) fn send_dispatch(
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
        let high = estimator.map_or(stage.expected * 2, Estimator::high_quantile);
        let wait = self
            .routers
            .get(&pool)
            .map_or(Span::ZERO, |r| r.predicted_wait(&server, dispatch.estimate));
        let probe = self.routers.get(&pool).is_some_and(|r| r.is_ejected(&server));
        request.attempts.push(Attempt {
            id: dispatch.attempt,
            server: server.clone(),
            sent_at: now,
            predicted_wait: wait,
            service_time: None,
        });
        if !request.tried.contains(&server) {
            request.tried.push(server.clone());
        }
        request.next_number = request.next_number.saturating_add(1);
        request.retry_at = None;
        let hedge = hedging && effect == Effect::Idempotent && request.attempts.len() == 1;
        // A probe of an ejected server is expected to be slow, so its hedge does not wait for the
        // high quantile.
        let hedge_delay = if probe { dispatch.estimate } else { wait + high };
        request.hedge_at = hedge.then(|| now + hedge_delay);
        let prefix = request.call.prefix;
        request.may_run.insert(dispatch.attempt);
        if let Some(router) = self.routers.get_mut(&pool) {
            router.record_dispatch(now, &server, dispatch.attempt, dispatch.estimate, prefix);
        }
        if let Some(hedges) = self.hedge_budgets.get_mut(&pool) {
            hedges.deposit(dispatch.estimate);
        }
        actions.push(EntryAction::Send { server, dispatch, input: request.input });
    }

    /// Handles a sidecar's refusal to start an attempt.
    pub(crate) fn attempt_refused(
        &mut self,
        now: Time,
        rng: &mut Rng,
        attempt: AttemptId,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        if refusal == Refusal::Duplicate {
            // The sidecar answers the other copy of the message, which is still active.
            self.dropped_messages += 1;
            return;
        }
        let Some(refused) = self.take_attempt(attempt) else { return };
        if matches!(refusal, Refusal::Down | Refusal::Draining) {
            self.pause_server(now, attempt.request, &refused.server);
        }
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        if refusal.never_runs() {
            request.may_run.remove(&attempt);
        }
        if request.claim.is_some() {
            self.claim_refused(now, rng, attempt, refusal, actions);
        } else if request.attempts.is_empty() {
            self.redirect(now, rng, attempt.request, refusal, actions);
        }
    }

    /// Redirects a refused attempt to another server. A refused attempt did no work, so redirects
    /// don't use the retry budget. Their number is bounded, since after a few refusals the other
    /// servers are likely to refuse too.
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
            _ if baseline => self.retry_within_budget(now, rng, id, actions),
            Refusal::Expired => {
                self.fail_request(id, ErrorCode::Overloaded, Some(DEFAULT_RETRY_HINT), actions)
            }
            Refusal::Overloaded { retry } if !more => {
                self.fail_request(
                    id,
                    ErrorCode::Overloaded,
                    Some(retry.max(RETRY_HINT_MIN)),
                    actions,
                );
            }
            _ if more => {
                self.send_attempt(now, rng, id, actions);
                self.set_timer(id);
            }
            _ => self.retry_within_budget(now, rng, id, actions),
        }
    }

    /// Handles a chunk of an attempt's answer.
    pub(crate) fn chunk_received(
        &mut self,
        attempt: AttemptId,
        index: u32,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            self.dropped_messages += 1;
            return;
        };
        let last = request.stage_count() == usize::from(request.stage) + 1;
        let known = request.attempts.iter().any(|a| a.id == attempt);
        if !known {
            self.dropped_messages += 1;
            return;
        }
        request.has_run = true;
        if !request.call.stream || !last {
            return;
        }
        let winner = *request.streamed_attempt.get_or_insert(attempt);
        if winner != attempt || index != request.emitted {
            self.dropped_messages += 1;
            return;
        }
        request.emitted += 1;
        request.hedge_at = None;
        actions.push(EntryAction::ForwardChunk(attempt, index));
        self.cancel_others(attempt, actions);
        self.set_timer(attempt.request);
    }

    /// Handles the end of an attempt.
    pub(crate) fn attempt_done(
        &mut self,
        now: Time,
        rng: &mut Rng,
        attempt: AttemptId,
        outcome: Outcome,
        actions: &mut Vec<EntryAction>,
    ) {
        if outcome == Outcome::Finished {
            self.record_completion(attempt);
        }
        let Some(ended) = self.take_attempt(attempt) else { return };
        let id = attempt.request;
        if outcome != Outcome::Failed(Failure::Interrupted) {
            self.mark_ran(id);
        }
        if self.requests.get(&id).is_some_and(|request| request.claim.is_some()) {
            self.claim_ended(now, rng, attempt, outcome, actions);
        } else {
            match outcome {
                Outcome::Finished => self.stage_finished(now, rng, &ended, actions),
                Outcome::Failed(failure) => self.attempt_failed(now, rng, &ended, failure, actions),
            }
        }
    }

    /// Handles a connection that broke before its attempt ended.
    pub(crate) fn attempt_lost(
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
            self.attempt_failed(now, rng, &lost, Failure::Interrupted, actions);
        }
    }

    /// Completes an idempotent stage with the first attempt that finished.
    fn stage_finished(
        &mut self,
        now: Time,
        rng: &mut Rng,
        ended: &Attempt,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = ended.id.request;
        self.record_service_time(now, ended);
        self.cancel_others(ended.id, actions);
        self.advance_stage(now, rng, id, ended.id, actions);
    }

    /// Starts the next stage, or answers the request after the last one.
    pub(crate) fn advance_stage(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        winner: AttemptId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage += 1;
        request.input = StageInput::Attempt(winner);
        request.claim = None;
        request.retry_at = None;
        request.hedge_at = None;
        if request.stage().is_none() {
            self.answer(id, Answer::Complete(winner), actions);
        } else if request.deadline <= now {
            self.fail_request(id, ErrorCode::DeadlineExceeded, None, actions);
        } else {
            self.begin_stage(now, rng, id, actions);
        }
    }

    /// Handles the failure of an idempotent attempt.
    fn attempt_failed(
        &mut self,
        now: Time,
        rng: &mut Rng,
        ended: &Attempt,
        failure: Failure,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = ended.id.request;
        if failure == Failure::Interrupted {
            self.pause_server(now, id, &ended.server);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.failed = true;
        if request.streamed_attempt == Some(ended.id) {
            request.streamed_attempt = None;
            if request.emitted > 0 && !request.can_resume() {
                self.fail_request(id, ErrorCode::StreamBroken, Some(DEFAULT_RETRY_HINT), actions);
                return;
            }
        }
        if request.attempts.is_empty() {
            self.retry_within_budget(now, rng, id, actions);
        }
    }

    /// Schedules a retry if the pool's retry budget allows it, and fails the request otherwise.
    fn retry_within_budget(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(stage) = request.stage() else { return };
        let (pool, code) = (stage.pool.clone(), request.failure_code());
        let unlimited = self.settings.policy == Policy::Baseline;
        if unlimited
            || self.retry_budgets.get_mut(&pool).is_some_and(|budget| budget.try_withdraw())
        {
            self.schedule_retry(now, rng, id, actions);
        } else {
            self.fail_request(id, code, Some(DEFAULT_RETRY_HINT), actions);
        }
    }

    /// Schedules a retry, or fails the request immediately if the retry would miss the deadline.
    pub(crate) fn schedule_retry(
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
                Policy::Baseline => BASELINE_RETRY_DELAY,
            };
        // Once the attempt numbers are used up, no retry can be sent.
        if at >= request.deadline || request.next_number == u16::MAX {
            let code = request.failure_code();
            self.fail_request(id, code, Some(DEFAULT_RETRY_HINT), actions);
            return;
        }
        request.retry_at = Some(at);
        self.set_timer(id);
    }

    /// Runs the timers of a request that are due.
    pub(crate) fn run_timer(
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
                self.retry_claim(now, rng, id, actions);
            } else {
                self.send_attempt(now, rng, id, actions);
            }
            self.set_timer(id);
        } else if request.hedge_at.is_some_and(|at| at <= now) {
            request.hedge_at = None;
            self.send_hedge(now, rng, id, actions);
            self.set_timer(id);
        } else {
            self.set_timer(id);
        }
    }

    /// Sends a hedge: a second attempt while the first one is slow.
    fn send_hedge(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some((server, dispatch)) = self.prepare_dispatch(now, rng, id) else { return };
        let Some(request) = self.requests.get(&id) else { return };
        let Some(stage) = request.stage() else { return };
        let same = request.tried.contains(&server);
        let pool = stage.pool.clone();
        // A queued hedge would delay first attempts behind it.
        let waits = self.routers.get(&pool).map(|r| r.predicted_wait(&server, dispatch.estimate));
        if waits.is_none_or(|wait| wait > Span::ZERO) {
            return;
        }
        let hedges = self.hedge_budgets.get_mut(&pool);
        if !same && hedges.is_some_and(|budget| budget.try_withdraw(dispatch.estimate)) {
            self.send_dispatch(now, id, server, dispatch, actions);
        }
    }

    /// Fails a request whose deadline passed.
    pub(crate) fn expire(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else { return };
        let code = if request.claim.is_some() && request.execution() == Execution::Unknown {
            ErrorCode::OutcomeUnknown
        } else {
            ErrorCode::DeadlineExceeded
        };
        self.fail_request(id, code, None, actions);
    }

    /// Answers a request with an error.
    pub(crate) fn fail_request(
        &mut self,
        id: RequestId,
        code: ErrorCode,
        retry: Option<Span>,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let execution = request.execution();
        self.answer(id, Answer::Error { code, execution, retry }, actions);
    }

    /// Removes a request and gives its final answer.
    pub(crate) fn answer(&mut self, id: RequestId, answer: Answer, actions: &mut Vec<EntryAction>) {
        self.remove_request(id, actions);
        actions.push(EntryAction::Answer(id, answer));
    }

    /// Removes a request and cancels its attempts in progress.
    pub(crate) fn remove_request(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) {
        let now = self.now;
        let Some(request) = self.requests.remove(&id) else { return };
        self.timers.remove(&(request.timer_due, id));
        self.admission.release(&request.call.workspace);
        let pool = request.stage().map(|stage| &stage.pool);
        for attempt in &request.attempts {
            if let Some(router) = pool.and_then(|pool| self.routers.get_mut(pool)) {
                router.record_completion(now, &attempt.server, attempt.id, true);
            }
            actions.push(EntryAction::Cancel(attempt.server.clone(), attempt.id));
        }
    }

    /// Cancels all attempts of the current stage except `winner`.
    fn cancel_others(&mut self, winner: AttemptId, actions: &mut Vec<EntryAction>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&winner.request) else { return };
        let pool = request.stage().map(|stage| stage.pool.clone());
        let losers: Vec<_> = request.attempts.extract_if(.., |a| a.id != winner).collect();
        for loser in losers {
            if let Some(router) = pool.as_ref().and_then(|pool| self.routers.get_mut(pool)) {
                router.record_completion(now, &loser.server, loser.id, true);
            }
            actions.push(EntryAction::Cancel(loser.server, loser.id));
        }
    }

    /// Reports to the router that an attempt ran to completion.
    fn record_completion(&mut self, id: AttemptId) {
        let Some(request) = self.requests.get(&id.request) else { return };
        let attempt = request.attempts.iter().find(|attempt| attempt.id == id);
        let (Some(attempt), Some(stage)) = (attempt, request.stage()) else { return };
        if let Some(router) = self.routers.get_mut(&stage.pool) {
            router.record_completion(self.now, &attempt.server, id, false);
        }
    }

    /// Removes an attempt in progress from its request. A message about any other attempt is
    /// counted as dropped.
    fn take_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let taken = self.requests.get_mut(&id.request).and_then(|request| {
            let i = request.attempts.iter().position(|attempt| attempt.id == id)?;
            let pool = request.stage()?.pool.clone();
            Some((request.attempts.swap_remove(i), pool))
        });
        let Some((attempt, pool)) = taken else {
            self.dropped_messages += 1;
            return None;
        };
        if let Some(router) = self.routers.get_mut(&pool) {
            router.discard_attempt(&attempt.server, attempt.id);
        }
        Some(attempt)
    }

    /// Adds the service time of a finished attempt to its estimator.
    fn record_service_time(&mut self, now: Time, ended: &Attempt) {
        let Some(request) = self.requests.get(&ended.id.request) else { return };
        let Some(stage) = request.stage() else { return };
        let key = (request.call.pipeline.clone(), request.stage, request.class);
        let expected = stage.expected;
        let observed = ended
            .service_time
            .unwrap_or_else(|| now.since(ended.sent_at).saturating_sub(ended.predicted_wait));
        self.estimators
            .entry(key)
            .or_insert_with(|| Estimator::new(expected))
            .observe(now, observed);
    }

    /// Incarnation of the sidecar process according to the server's last report.
    pub(crate) fn incarnation_of(&self, id: RequestId, server: &ServerId) -> Option<Incarnation> {
        let pool = &self.requests.get(&id)?.stage()?.pool;
        self.routers.get(pool)?.incarnation(server)
    }

    fn pause_server(&mut self, now: Time, id: RequestId, server: &ServerId) {
        let pool = self.requests.get(&id).and_then(|r| Some(r.stage()?.pool.clone()));
        if let Some(router) = pool.and_then(|pool| self.routers.get_mut(&pool)) {
            router.pause(now, server);
        }
    }

    /// Records that an attempt of the request ran.
    pub(crate) fn mark_ran(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.has_run = true;
        }
    }

    /// Updates the timer of a request to its next due time.
    pub(crate) fn set_timer(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.timers.remove(&(request.timer_due, id));
            request.timer_due = request.next_timer();
            self.timers.insert((request.timer_due, id));
        }
    }
}

impl Request {
    /// Whether the servers of the current stage can resume a stream.
    fn can_resume(&self) -> bool {
        let pool = self.stage().and_then(|stage| self.bundle.pools.get(&stage.pool));
        pool.is_some_and(|pool| pool.resume)
    }

    fn stage_count(&self) -> usize {
        self.bundle.pipelines.get(&self.call.pipeline).map_or(0, |p| p.stages.len())
    }
}
