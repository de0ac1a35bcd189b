//! What the stand-ins see: answers, work and broken guarantees. Nothing here asks the code under test.

use crate::arrival::Arrival;
use damaskweir_core::entry::{Answer, ErrorCode, Execution};
use damaskweir_core::ids::AttemptId;
use damaskweir_core::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// What became of one call.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallOutcome {
    /// When the first answer came.
    pub(crate) answered_at: Option<Time>,
    /// The answer was complete.
    pub(crate) complete: bool,
    pub(crate) error_code: Option<ErrorCode>,
    pub(crate) not_run: bool,
    /// Retry hint that came with a refusal.
    pub(crate) retry_hint: Option<Span>,
    pub(crate) answers: u32,
    /// A backend server started work for it.
    pub(crate) started: bool,
}

/// Work that a backend server did for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptWork {
    pub(crate) call: usize,
    pub(crate) stage: usize,
    pub(crate) work: Span,
    /// When the work began and ended.
    pub(crate) started_at: Time,
    pub(crate) ended_at: Time,
    /// Its output was used.
    pub(crate) used: bool,
}

impl AttemptWork {
    /// The part of the work that falls into a window, in seconds.
    pub(crate) fn seconds_within(&self, from: Time, to: Time) -> f64 {
        let length = self.ended_at.since(self.started_at).0.max(1) as f64;
        let inside = self.ended_at.min(to).since(self.started_at.max(from)).0 as f64;
        self.work.as_secs_f64() * (inside / length).min(1.0)
    }
}

/// Broken guarantees; each must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Violations {
    /// Non-idempotent work that ran again, or calls that were answered again.
    pub(crate) duplicates: u64,
    /// Calls that were never answered.
    pub(crate) unanswered: u64,
    /// Answers with the output of other work than asked for.
    pub(crate) misdelivered: u64,
    /// "Not run" reported although a backend server started the work.
    pub(crate) false_refusals: u64,
}

/// Everything that was counted in one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) outcomes: Vec<CallOutcome>,
    pub(crate) attempt_work: BTreeMap<AttemptId, AttemptWork>,
    /// Starts of non-idempotent work by body and stage.
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

    /// A backend server started an attempt.
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

    /// A backend server stopped working on an attempt.
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

    /// The output of an attempt was used.
    pub(crate) fn record_use(&mut self, id: AttemptId) {
        self.used_outputs.insert(id);
    }

    /// A call was answered. `matches`: whether a complete answer is the one to this call.
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

    /// Joins what is known about attempts once the run is over.
    pub(crate) fn finish(&mut self) {
        for (id, work) in &mut self.attempt_work {
            work.used = self.used_outputs.contains(id);
        }
    }

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
