//! Execution of non-idempotent stages in an entry.
//!
//! A claim record is written to the store before the attempt is sent. From then on the attempt must
//! be assumed to run until its sidecar has guaranteed never to start it or has reported its outcome.

use crate::Rng;
use crate::claim::{
    ClaimDecision, ClaimRecord, ClaimState, decide_from_record, decide_from_status,
};
use crate::entry::{
    Answer, ClaimProgress, ClaimResult, ClaimWrite, Entry, EntryAction, ErrorCode, Execution,
};
use crate::ids::{AttemptId, Incarnation, RequestId, ServerId};
use crate::message::{AttemptStatus, Failure, Outcome, Refusal};
use crate::time::{Span, Time};
use bytes::Bytes;

/// Retry hint for requests that fail because the store can't be reached.
const STORE_RETRY_HINT: Span = Span::from_secs(5);

impl Entry {
    /// Starts a non-idempotent stage by writing its claim.
    pub(crate) fn begin_claim(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        self.write_claim(now, rng, id, ClaimWrite::Create, actions);
    }

    fn write_claim(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        write: ClaimWrite,
        actions: &mut Vec<EntryAction>,
    ) {
        let chosen = self.prepare_dispatch(now, rng, id).and_then(|(server, dispatch)| {
            let incarnation = self.incarnation_of(id, &server)?;
            Some((server, incarnation, dispatch.attempt))
        });
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some((server, incarnation, attempt)) = chosen else {
            request.claim = Some(ClaimProgress::WriteScheduled(write));
            self.schedule_retry(now, rng, id, actions);
            return;
        };
        // Each record needs a new attempt id: the sidecar may have guaranteed never to start the
        // attempt of an earlier record, or may have forgotten it.
        request.next_number = request.next_number.saturating_add(1);
        let record = ClaimRecord {
            body: request.claim_body(),
            attempt,
            server,
            incarnation,
            state: ClaimState::Claimed,
        };
        request.claim = Some(ClaimProgress::Writing(record.clone()));
        let key = request.claim_key();
        actions.push(EntryAction::Claim { request: id, key, record, write });
    }

    /// Handles the result of a claim write.
    pub(crate) fn claim_result(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        answer: ClaimResult,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match (request.claim.take(), answer) {
            (Some(ClaimProgress::Writing(mine)), ClaimResult::Written(revision)) => {
                self.send_claimed(now, rng, id, mine, revision, actions);
            }
            (Some(ClaimProgress::Writing(mine)), ClaimResult::Conflict(found, revision)) => {
                self.handle_conflict(now, rng, id, mine, found, revision, actions);
            }
            (Some(ClaimProgress::Writing(_)), ClaimResult::Unavailable) => {
                // The record may have been written, but only this request could send its attempt,
                // and it ends here. The attempt is therefore known not to run.
                self.fail_store_down(id, ErrorCode::StoreDown, actions);
            }
            (Some(ClaimProgress::MarkingUnknown), ClaimResult::Conflict(found, revision)) => {
                // Another entry recorded an outcome or replaced the record in the meantime.
                self.handle_mark_conflict(now, rng, id, found, revision, actions);
            }
            (Some(ClaimProgress::MarkingUnknown), _) => self.fail_outcome_unknown(id, actions),
            (other, _) => {
                request.claim = other;
                self.dropped_messages += 1;
            }
        }
    }

    #[expect(clippy::too_many_arguments)]
    fn handle_conflict(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        mine: ClaimRecord,
        found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        match decide_from_record(&mine, &found) {
            ClaimDecision::Dispatch => self.send_claimed(now, rng, id, mine, revision, actions),
            decision => self.apply_decision(now, rng, id, decision, found, revision, actions),
        }
    }

    /// Handles a conflict while replacing a record by `Unknown`.
    fn handle_mark_conflict(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        if found.body != request.claim_body() {
            self.fail_request(id, ErrorCode::KeyReused, None, actions);
            return;
        }
        let decision = match &found.state {
            ClaimState::Unknown => ClaimDecision::Unknown,
            ClaimState::Ended { outcome, answer } => {
                ClaimDecision::Answer(*outcome, answer.clone())
            }
            ClaimState::Claimed => ClaimDecision::Forbid,
        };
        self.apply_decision(now, rng, id, decision, found, revision, actions);
    }

    /// Acts on a record whose attempt this request must not send.
    #[expect(clippy::too_many_arguments)]
    fn apply_decision(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        decision: ClaimDecision,
        found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        match decision {
            // The answer was too large for the store, but the sidecar may still hold it.
            ClaimDecision::Answer(Outcome::Finished, None) => {
                self.mark_ran(id);
                self.forbid_attempt(id, found, revision, actions);
            }
            ClaimDecision::Answer(outcome, answer) => {
                self.use_recorded_outcome(now, rng, id, found.attempt, outcome, answer, actions);
            }
            ClaimDecision::KeyReused => self.fail_request(id, ErrorCode::KeyReused, None, actions),
            ClaimDecision::Forbid => {
                if let Some(request) = self.requests.get_mut(&id) {
                    // An attempt of this request is in `may_run` until a sidecar guarantees not to
                    // start it.
                    request.other_may_run = found.attempt.request != id;
                }
                self.forbid_attempt(id, found, revision, actions);
            }
            _ => self.fail_outcome_unknown(id, actions),
        }
    }

    fn send_claimed(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        mine: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        let open = self.can_take_attempt(now, id, &mine.server, mine.incarnation);
        let chosen = self.prepare_dispatch(now, rng, id).filter(|_| open);
        let Some((_, mut dispatch)) = chosen else {
            // The claimed server can't take the attempt any more, or its sidecar restarted. Nothing
            // was sent, so the claim is rewritten for another server or incarnation.
            let write = ClaimWrite::Replace(revision);
            self.write_claim(now, rng, id, write, actions);
            return;
        };
        dispatch.attempt = mine.attempt;
        dispatch.incarnation = Some(mine.incarnation);
        let server = mine.server.clone();
        if let Some(request) = self.requests.get_mut(&id) {
            request.claim = Some(ClaimProgress::Dispatched(mine, revision));
        }
        self.send_dispatch(now, id, server, dispatch, actions);
        self.set_timer(id);
    }

    /// Asks the sidecar that a record names to forbid the start of its attempt.
    fn forbid_attempt(
        &mut self,
        id: RequestId,
        found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        actions.push(EntryAction::Forbid {
            request: id,
            server: found.server.clone(),
            attempt: found.attempt,
            incarnation: found.incarnation,
        });
        request.claim = Some(ClaimProgress::Forbidding(found, revision));
    }

    /// Handles a sidecar's status of the recorded attempt.
    pub(crate) fn attempt_status(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        status: Option<AttemptStatus>,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (found, revision) = match request.claim.take() {
            Some(ClaimProgress::Forbidding(found, revision)) => (found, revision),
            other => {
                request.claim = other;
                return;
            }
        };
        let decision = decide_from_status(status);
        let ended = found.state != ClaimState::Claimed;
        match decision {
            ClaimDecision::Replace | ClaimDecision::MarkUnknown if ended => {
                // The call ran, but neither the store nor the sidecar holds its answer any more.
                self.fail_request(id, ErrorCode::StageFailed, None, actions);
            }
            ClaimDecision::Replace => {
                request.may_run.remove(&found.attempt);
                request.other_may_run = false;
                self.write_claim(now, rng, id, ClaimWrite::Replace(revision), actions);
            }
            ClaimDecision::MarkUnknown => self.mark_unknown(id, found, revision, actions),
            ClaimDecision::Answer(outcome, _) => {
                if !ended {
                    self.record_outcome(id, &found, revision, outcome, actions);
                }
                self.use_recorded_outcome(now, rng, id, found.attempt, outcome, None, actions);
            }
            ClaimDecision::Unknown | ClaimDecision::Wait
                if ended || decision == ClaimDecision::Wait =>
            {
                request.claim = Some(ClaimProgress::ForbidScheduled(found, revision));
                self.schedule_retry(now, rng, id, actions);
            }
            _ => {
                // This entry can't reach the sidecar. Another entry may reach it and record the
                // outcome or replace the record, so the claim write is retried until the deadline.
                request.claim = Some(ClaimProgress::WriteScheduled(ClaimWrite::Create));
                self.schedule_retry(now, rng, id, actions);
            }
        }
    }

    /// Continues with the outcome of an attempt that has already ended.
    #[expect(clippy::too_many_arguments)]
    fn use_recorded_outcome(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        attempt: AttemptId,
        outcome: Outcome,
        answer: Option<Bytes>,
        actions: &mut Vec<EntryAction>,
    ) {
        if outcome != Outcome::Failed(Failure::Interrupted) {
            self.mark_ran(id);
        }
        match outcome {
            Outcome::Finished => {
                if let Some(answer) = answer {
                    actions.push(EntryAction::SaveOutput(attempt, answer));
                }
                self.advance_stage(now, rng, id, attempt, actions);
            }
            Outcome::Failed(failure) => self.claim_failed(id, failure, actions),
        }
    }

    fn mark_unknown(
        &mut self,
        id: RequestId,
        mut found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        found.state = ClaimState::Unknown;
        request.claim = Some(ClaimProgress::MarkingUnknown);
        request.other_may_run = true;
        let (key, write) = (request.claim_key(), ClaimWrite::Replace(revision));
        actions.push(EntryAction::Claim { request: id, key, record: found, write });
    }

    fn record_outcome(
        &mut self,
        id: RequestId,
        record: &ClaimRecord,
        revision: u64,
        outcome: Outcome,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let mut record = record.clone();
        record.state = ClaimState::Ended { outcome, answer: None };
        actions.push(EntryAction::RecordOutcome { key: request.claim_key(), record, revision });
    }

    /// Handles a sidecar's refusal to start the claimed attempt.
    pub(crate) fn claim_refused(
        &mut self,
        now: Time,
        rng: &mut Rng,
        attempt: AttemptId,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ClaimProgress::Dispatched(_, revision)) = request.claim else { return };
        let write = match refusal {
            // Another entry may have forbidden the attempt and replaced the record since.
            Refusal::Forbidden | Refusal::Duplicate | Refusal::Stale => ClaimWrite::Create,
            _ => ClaimWrite::Replace(revision),
        };
        request.claim = Some(ClaimProgress::WriteScheduled(write));
        self.schedule_retry(now, rng, id, actions);
    }

    /// Handles the end of the claimed attempt.
    pub(crate) fn claim_ended(
        &mut self,
        now: Time,
        rng: &mut Rng,
        attempt: AttemptId,
        outcome: Outcome,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = attempt.request;
        let claim = self.requests.get(&id).and_then(|request| request.claim.clone());
        if let Some(ClaimProgress::Dispatched(record, revision)) = claim {
            self.record_outcome(id, &record, revision, outcome, actions);
        }
        match outcome {
            Outcome::Finished => self.advance_stage(now, rng, id, attempt, actions),
            Outcome::Failed(failure) => self.claim_failed(id, failure, actions),
        }
    }

    fn claim_failed(&mut self, id: RequestId, failure: Failure, actions: &mut Vec<EntryAction>) {
        match failure {
            Failure::Backend => self.fail_request(id, ErrorCode::StageFailed, None, actions),
            Failure::Interrupted | Failure::Aborted => self.fail_outcome_unknown(id, actions),
        }
    }

    /// Handles a connection that broke before the claimed attempt ended.
    pub(crate) fn claim_lost(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(ClaimProgress::Dispatched(record, revision)) = request.claim.clone() {
            self.forbid_attempt(id, record, revision, actions);
        }
    }

    /// Runs the due retry of a non-idempotent stage.
    pub(crate) fn retry_claim(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.claim.take() {
            Some(ClaimProgress::ForbidScheduled(found, revision)) => {
                self.forbid_attempt(id, found, revision, actions)
            }
            Some(ClaimProgress::WriteScheduled(write)) => {
                self.write_claim(now, rng, id, write, actions)
            }
            other => request.claim = other,
        }
    }

    /// Fails a request whose claim can't be written. The code is used unless an attempt may have
    /// run.
    fn fail_store_down(&mut self, id: RequestId, code: ErrorCode, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.execution() {
            Execution::Unknown => self.fail_outcome_unknown(id, actions),
            _ => self.fail_request(id, code, Some(STORE_RETRY_HINT), actions),
        }
    }

    /// Whether a claimed server can take work and its sidecar process is still the claimed run.
    fn can_take_attempt(
        &self,
        now: Time,
        id: RequestId,
        server: &ServerId,
        run: Incarnation,
    ) -> bool {
        let stage = self.requests.get(&id).and_then(|request| request.stage());
        stage
            .and_then(|stage| self.routers.get(&stage.pool))
            .is_some_and(|router| router.is_available(now, server, run))
    }

    fn fail_outcome_unknown(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) {
        let answer = Answer::Error {
            code: ErrorCode::OutcomeUnknown,
            execution: Execution::Unknown,
            retry: None,
        };
        self.answer(id, answer, actions);
    }
}
