//! Records answers, work and broken guarantees as the simulation observes them, independently of
//! the state of the code under test.

use crate::arrival::Arrival;
use damaskweir_core::entry::{Answer, ErrorCode, Execution};
use damaskweir_core::ids::AttemptId;
use damaskweir_core::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Outcome of one call.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallOutcome {
    /// Time of the first answer; later answers only raise `answers`.
    pub(crate) answered_at: Option<Time>,
    /// Whether the answer was complete and had the expected output.
    pub(crate) complete: bool,
    pub(crate) error_code: Option<ErrorCode>,
    pub(crate) not_run: bool,
    /// Retry hint of an error answer.
    pub(crate) retry_hint: Option<Span>,
    pub(crate) answers: u32,
    /// Whether a backend server started work for the call.
    pub(crate) started: bool,
}

/// Work that a backend server did for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptWork {
    pub(crate) call: usize,
    pub(crate) stage: usize,
    pub(crate) work: Span,
    pub(crate) started_at: Time,
    pub(crate) ended_at: Time,
    /// Whether the output was passed to a later stage or to the caller.
    pub(crate) used: bool,
}

impl AttemptWork {
    /// Returns the part of the work that falls into a window, in seconds, as if it were spread
    /// evenly over the attempt.
    pub(crate) fn seconds_within(&self, from: Time, to: Time) -> f64 {
        let length = self.ended_at.since(self.started_at).0.max(1) as f64;
        let inside = self.ended_at.min(to).since(self.started_at.max(from)).0 as f64;
        self.work.as_secs_f64() * (inside / length).min(1.0)
    }
}

/// Number of violations of each guarantee. All must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Violations {
    /// Repeated starts of non-idempotent work, and repeated answers to a call.
    pub(crate) duplicates: u64,
    /// Calls that were never answered.
    pub(crate) unanswered: u64,
    /// Complete answers whose output isn't the expected one.
    pub(crate) misdelivered: u64,
    /// Calls reported as not run although a backend server started work for them.
    pub(crate) false_refusals: u64,
}

/// Observations and counters of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) outcomes: Vec<CallOutcome>,
    pub(crate) attempt_work: BTreeMap<AttemptId, AttemptWork>,
    /// Starts of non-idempotent work by body and stage. Repeated calls have the same body.
    once_starts: BTreeMap<(u64, usize), u64>,
    start_times: BTreeMap<AttemptId, Time>,
    used_outputs: BTreeSet<AttemptId>,
    misdelivered: u64,
    pub(crate) attempts: u64,
    pub(crate) prefix_hits: u64,
    pub(crate) store_calls: u64,
}

impl Tally {
    pub(crate) fn new(calls: usize) -> Self {
        Self { outcomes: vec![CallOutcome::default(); calls], ..Self::default() }
    }

    /// Records that a backend server started an attempt.
    pub(crate) fn record_start(
        &mut self,
        now: Time,
        id: AttemptId,
        call: usize,
        arrival: &Arrival,
        once: bool,
    ) {
        let stage = usize::from(id.stage);
        self.attempts += 1;
        self.start_times.insert(id, now);
        self.outcomes[call].started = true;
        if once {
            *self.once_starts.entry((arrival.body, stage)).or_default() += 1;
        }
    }

    /// Records that a backend server finished, aborted or lost an attempt, and the work spent on
    /// it.
    pub(crate) fn record_stop(
        &mut self,
        now: Time,
        id: AttemptId,
        call: usize,
        stage: usize,
        work: Span,
    ) {
        let started_at = self.start_times.get(&id).copied().unwrap_or(now);
        self.attempt_work
            .insert(id, AttemptWork { call, stage, work, started_at, ended_at: now, used: false });
    }

    /// Records that the output of an attempt was used.
    pub(crate) fn record_use(&mut self, id: AttemptId) {
        self.used_outputs.insert(id);
    }

    /// Records an answer. `matches` says whether a complete answer has the expected output.
    pub(crate) fn record_answer(&mut self, now: Time, call: usize, answer: &Answer, matches: bool) {
        let outcome = &mut self.outcomes[call];
        outcome.answers += 1;
        if outcome.answers > 1 {
            return;
        }
        outcome.answered_at = Some(now);
        match answer {
            Answer::Complete(_) => {
                outcome.complete = matches;
                self.misdelivered += u64::from(!matches);
            }
            Answer::Error { code, execution, retry } => {
                outcome.error_code = Some(*code);
                outcome.not_run = *execution == Execution::NotRun;
                outcome.retry_hint = *retry;
            }
        }
    }

    /// Marks the attempts whose output was used, once the run is over.
    pub(crate) fn finish(&mut self) {
        for (id, work) in &mut self.attempt_work {
            work.used = self.used_outputs.contains(id);
        }
    }

    /// Counts the violations of each guarantee.
    pub(crate) fn violations(&self) -> Violations {
        let repeated_starts: u64 = self.once_starts.values().map(|starts| starts - 1).sum();
        let repeated_answers: u64 =
            self.outcomes.iter().map(|e| u64::from(e.answers.saturating_sub(1))).sum();
        let count =
            |f: fn(&CallOutcome) -> bool| self.outcomes.iter().filter(|e| f(e)).count() as u64;
        Violations {
            duplicates: repeated_starts + repeated_answers,
            unanswered: count(|e| e.answers == 0),
            misdelivered: self.misdelivered,
            false_refusals: count(|e| e.not_run && e.started),
        }
    }
}
