//! How an entry takes a request through a stage that may run only once.
//!
//! The record in the store is written before the attempt is sent. From then on the attempt may run
//! until its side has promised never to start it, or has told how it ended.

use crate::Rng;
use crate::claim::{ClaimRecord, ClaimState, ClaimStep, judge, resolve};
use crate::entry::{Answer, Claim, ClaimAnswer, ClaimWrite, Code, Entry, EntryAction, Execution};
use crate::ids::{AttemptId, Incarnation, RequestId, ServerId};
use crate::message::{AttemptStatus, Failure, Outcome, Refusal};
use crate::time::{Span, Time};
use bytes::Bytes;

/// Retry hint when the store is down.
const STORE_RETRY: Span = Span::from_secs(5);

impl Entry {
    /// Writes the claim for the current stage.
    pub(crate) fn claim(
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
        let chosen = self.choose(now, rng, id).and_then(|(server, dispatch)| {
            let incarnation = self.incarnation_of(id, &server)?;
            Some((server, incarnation, dispatch.attempt))
        });
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some((server, incarnation, attempt)) = chosen else {
            request.claim = Some(Claim::Planned(write));
            self.retry_later(now, rng, id, actions);
            return;
        };
        // Each record has an attempt id of its own: the one in an earlier record may have been
        // promised never to start, or its side may have forgotten it.
        request.number = request.number.saturating_add(1);
        let record = ClaimRecord {
            body: request.body(),
            attempt,
            server,
            incarnation,
            state: ClaimState::Claimed,
        };
        request.claim = Some(Claim::Writing(record.clone()));
        let key = request.key();
        actions.push(EntryAction::Claim { request: id, key, record, write });
    }

    /// The store answered a claim.
    pub(crate) fn claimed(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        answer: ClaimAnswer,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match (request.claim.take(), answer) {
            (Some(Claim::Writing(mine)), ClaimAnswer::Won(revision)) => {
                self.send_claimed(now, rng, id, mine, revision, actions);
            }
            (Some(Claim::Writing(mine)), ClaimAnswer::Found(found, revision)) => {
                self.found(now, rng, id, mine, found, revision, actions);
            }
            (Some(Claim::Writing(_)), ClaimAnswer::Down) => {
                // Nobody else can send the attempt of a record that may have been written, and this
                // request ends here: that attempt truly does not run.
                self.stop(id, Code::StoreDown, actions);
            }
            (Some(Claim::Marking), ClaimAnswer::Found(found, revision)) => {
                // Another entry settled or replaced the record meanwhile.
                self.marked(now, rng, id, found, revision, actions);
            }
            (Some(Claim::Marking), _) => self.unknown(id, actions),
            (other, _) => {
                request.claim = other;
                self.dropped += 1;
            }
        }
    }

    #[expect(clippy::too_many_arguments)]
    fn found(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        mine: ClaimRecord,
        found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        match resolve(&mine, &found) {
            ClaimStep::Dispatch => self.send_claimed(now, rng, id, mine, revision, actions),
            step => self.follow(now, rng, id, step, found, revision, actions),
        }
    }

    /// Follows a record that stands in the way of writing `Unknown`.
    fn marked(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        if found.body != request.body() {
            self.give_up(id, Code::KeyReused, None, actions);
            return;
        }
        let step = match &found.state {
            ClaimState::Unknown => ClaimStep::Unknown,
            ClaimState::Ended { outcome, answer } => ClaimStep::Answer(*outcome, answer.clone()),
            ClaimState::Claimed => ClaimStep::Ask,
        };
        self.follow(now, rng, id, step, found, revision, actions);
    }

    /// Follows a record that is not this request's to send.
    #[expect(clippy::too_many_arguments)]
    fn follow(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        step: ClaimStep,
        found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        match step {
            // The answer was too large for the store; the side may still have it.
            ClaimStep::Answer(Outcome::Finished, None) => {
                self.ran(id);
                self.ask(id, found, revision, actions);
            }
            ClaimStep::Answer(outcome, answer) => {
                self.kept(now, rng, id, found.attempt, outcome, answer, actions);
            }
            ClaimStep::KeyReused => self.give_up(id, Code::KeyReused, None, actions),
            ClaimStep::Ask => {
                if let Some(request) = self.requests.get_mut(&id) {
                    // An own attempt is in `open` until a side has promised not to start it.
                    request.foreign = found.attempt.request != id;
                }
                self.ask(id, found, revision, actions);
            }
            _ => self.unknown(id, actions),
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
        let open = self.is_open(now, id, &mine.server, mine.incarnation);
        let chosen = self.choose(now, rng, id).filter(|_| open);
        let Some((_, mut dispatch)) = chosen else {
            // The claimed server left or its side restarted meanwhile, and nothing was sent: claim
            // for another one.
            let write = ClaimWrite::Replace(revision);
            self.write_claim(now, rng, id, write, actions);
            return;
        };
        dispatch.attempt = mine.attempt;
        dispatch.incarnation = Some(mine.incarnation);
        let server = mine.server.clone();
        if let Some(request) = self.requests.get_mut(&id) {
            request.claim = Some(Claim::Held(mine, revision));
        }
        self.dispatch(now, id, server, dispatch, actions);
        self.arm(id);
    }

    /// Asks the side that a record names.
    fn ask(
        &mut self,
        id: RequestId,
        found: ClaimRecord,
        revision: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        actions.push(EntryAction::Ask {
            request: id,
            server: found.server.clone(),
            attempt: found.attempt,
            incarnation: found.incarnation,
        });
        request.claim = Some(Claim::Asking(found, revision));
    }

    /// A side told what it knows about the recorded attempt.
    pub(crate) fn stands(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        standing: Option<AttemptStatus>,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (found, revision) = match request.claim.take() {
            Some(Claim::Asking(found, revision)) => (found, revision),
            other => {
                request.claim = other;
                return;
            }
        };
        let step = judge(standing);
        let ended = found.state != ClaimState::Claimed;
        match step {
            ClaimStep::Replace | ClaimStep::MarkUnknown if ended => {
                // The call ran, and its answer is neither in the store nor at the side any more.
                self.give_up(id, Code::StageFailed, None, actions);
            }
            ClaimStep::Replace => {
                request.open.remove(&found.attempt);
                request.foreign = false;
                self.write_claim(now, rng, id, ClaimWrite::Replace(revision), actions);
            }
            ClaimStep::MarkUnknown => self.mark_unknown(id, found, revision, actions),
            ClaimStep::Answer(outcome, _) => {
                if !ended {
                    self.settle(id, &found, revision, outcome, actions);
                }
                self.kept(now, rng, id, found.attempt, outcome, None, actions);
            }
            ClaimStep::Unknown | ClaimStep::Wait if ended || step == ClaimStep::Wait => {
                request.claim = Some(Claim::Waiting(found, revision));
                self.retry_later(now, rng, id, actions);
            }
            _ => {
                // The side can't be reached from here. Another entry may reach it and settle or
                // replace the record, so the store is asked again until the deadline.
                request.claim = Some(Claim::Planned(ClaimWrite::Create));
                self.retry_later(now, rng, id, actions);
            }
        }
    }

    /// Goes on with an answer that was kept from the first run.
    #[expect(clippy::too_many_arguments)]
    fn kept(
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
            self.ran(id);
        }
        match outcome {
            Outcome::Finished => {
                if let Some(answer) = answer {
                    actions.push(EntryAction::Keep(attempt, answer));
                }
                self.advance(now, rng, id, attempt, actions);
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
        request.claim = Some(Claim::Marking);
        request.foreign = true;
        let (key, write) = (request.key(), ClaimWrite::Replace(revision));
        actions.push(EntryAction::Claim { request: id, key, record: found, write });
    }

    fn settle(
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
        actions.push(EntryAction::Settle { key: request.key(), record, revision });
    }

    /// The side promised not to start the claimed attempt.
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
        let Some(Claim::Held(_, revision)) = request.claim else { return };
        let write = match refusal {
            // Another entry asked for the promise and may have replaced the record since.
            Refusal::Forbidden | Refusal::Duplicate | Refusal::Stale => ClaimWrite::Create,
            _ => ClaimWrite::Replace(revision),
        };
        request.claim = Some(Claim::Planned(write));
        self.retry_later(now, rng, id, actions);
    }

    /// The claimed attempt ended.
    pub(crate) fn claim_ended(
        &mut self,
        now: Time,
        rng: &mut Rng,
        attempt: AttemptId,
        outcome: Outcome,
        actions: &mut Vec<EntryAction>,
    ) {
        let id = attempt.request;
        let held = self.requests.get(&id).and_then(|request| request.claim.clone());
        if let Some(Claim::Held(record, revision)) = held {
            self.settle(id, &record, revision, outcome, actions);
        }
        match outcome {
            Outcome::Finished => self.advance(now, rng, id, attempt, actions),
            Outcome::Failed(failure) => self.claim_failed(id, failure, actions),
        }
    }

    fn claim_failed(&mut self, id: RequestId, failure: Failure, actions: &mut Vec<EntryAction>) {
        match failure {
            Failure::Backend => self.give_up(id, Code::StageFailed, None, actions),
            Failure::Interrupted | Failure::Aborted => self.unknown(id, actions),
        }
    }

    /// The connection broke while the claimed attempt may run.
    pub(crate) fn claim_lost(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(Claim::Held(record, revision)) = request.claim.clone() {
            self.ask(id, record, revision, actions);
        }
    }

    /// The retry time of a claimed stage has come.
    pub(crate) fn claim_retry(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: RequestId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.claim.take() {
            Some(Claim::Waiting(found, revision)) => self.ask(id, found, revision, actions),
            Some(Claim::Planned(write)) => self.write_claim(now, rng, id, write, actions),
            other => request.claim = other,
        }
    }

    /// Ends a request whose next store call can't be made.
    fn stop(&mut self, id: RequestId, code: Code, actions: &mut Vec<EntryAction>) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.execution() {
            Execution::Unknown => self.unknown(id, actions),
            _ => self.give_up(id, code, Some(STORE_RETRY), actions),
        }
    }

    /// Whether a claimed server can take work and its side still is the claimed run.
    fn is_open(&self, now: Time, id: RequestId, server: &ServerId, run: Incarnation) -> bool {
        let stage = self.requests.get(&id).and_then(|request| request.stage());
        stage
            .and_then(|stage| self.routers.get(&stage.pool))
            .is_some_and(|router| router.is_open(now, server, run))
    }

    fn unknown(&mut self, id: RequestId, actions: &mut Vec<EntryAction>) {
        let answer = Answer::Error {
            code: Code::OutcomeUnknown,
            execution: Execution::Unknown,
            retry: None,
        };
        self.answer(id, answer, actions);
    }
}
