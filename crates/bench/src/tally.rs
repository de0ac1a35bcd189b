//! What the stand-ins see: answers, work and broken guarantees. Nothing here asks the code under test.

use crate::arrival::Arrival;
use damaskweir_core::entry::{Answer, ErrorCode, Execution};
use damaskweir_core::ids::AttemptId;
use damaskweir_core::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// What became of one call.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ending {
    /// When the first answer came.
    pub(crate) at: Option<Time>,
    /// The answer was complete.
    pub(crate) complete: bool,
    pub(crate) code: Option<ErrorCode>,
    pub(crate) not_run: bool,
    /// Retry hint that came with a refusal.
    pub(crate) retry: Option<Span>,
    pub(crate) answers: u32,
    /// A backend server started work for it.
    pub(crate) ran: bool,
}

/// Work that a backend server did for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Spent {
    pub(crate) call: usize,
    pub(crate) stage: usize,
    pub(crate) work: Span,
    /// When the work began and ended.
    pub(crate) began: Time,
    pub(crate) at: Time,
    /// Its output was used.
    pub(crate) used: bool,
}

impl Spent {
    /// The part of the work that falls into a window, in seconds.
    pub(crate) fn within(&self, from: Time, to: Time) -> f64 {
        let length = self.at.since(self.began).0.max(1) as f64;
        let inside = self.at.min(to).since(self.began.max(from)).0 as f64;
        self.work.as_secs_f64() * (inside / length).min(1.0)
    }
}

/// Broken guarantees; each must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Broken {
    /// Non-idempotent work that ran again, or calls that were answered again.
    pub(crate) doubled: u64,
    /// Calls that were never answered.
    pub(crate) lost: u64,
    /// Answers with the output of other work than asked for.
    pub(crate) misdelivered: u64,
    /// "Not run" reported although a backend server started the work.
    pub(crate) untrue: u64,
}

/// Everything that was counted in one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) endings: Vec<Ending>,
    pub(crate) spent: BTreeMap<AttemptId, Spent>,
    /// Starts of non-idempotent work by body and stage.
    once: BTreeMap<(u64, usize), u64>,
    began: BTreeMap<AttemptId, Time>,
    used: BTreeSet<AttemptId>,
    misdelivered: u64,
    pub(crate) attempts: u64,
    pub(crate) hits: u64,
    pub(crate) store_calls: u64,
}

impl Tally {
    pub(crate) fn new(calls: usize) -> Self {
        Self { endings: vec![Ending::default(); calls], ..Self::default() }
    }

    /// A backend server started an attempt.
    pub(crate) fn started(
        &mut self,
        now: Time,
        id: AttemptId,
        call: usize,
        arrival: &Arrival,
        once: bool,
    ) {
        let stage = usize::from(id.stage);
        self.attempts += 1;
        self.began.insert(id, now);
        self.endings[call].ran = true;
        if once {
            *self.once.entry((arrival.body, stage)).or_default() += 1;
        }
    }

    /// A backend server stopped working on an attempt.
    pub(crate) fn stopped(
        &mut self,
        now: Time,
        id: AttemptId,
        call: usize,
        stage: usize,
        work: Span,
    ) {
        let began = self.began.get(&id).copied().unwrap_or(now);
        self.spent.insert(id, Spent { call, stage, work, began, at: now, used: false });
    }

    /// The output of an attempt was used.
    pub(crate) fn used(&mut self, id: AttemptId) {
        self.used.insert(id);
    }

    /// A call was answered. `matches`: whether a complete answer is the one to this call.
    pub(crate) fn answered(&mut self, now: Time, call: usize, answer: &Answer, matches: bool) {
        let ending = &mut self.endings[call];
        ending.answers += 1;
        if ending.answers > 1 {
            return;
        }
        ending.at = Some(now);
        match answer {
            Answer::Complete(_) => {
                ending.complete = matches;
                self.misdelivered += u64::from(!matches);
            }
            Answer::Error { code, execution, retry } => {
                ending.code = Some(*code);
                ending.not_run = *execution == Execution::NotRun;
                ending.retry = *retry;
            }
        }
    }

    /// Joins what is known about attempts once the run is over.
    pub(crate) fn close(&mut self) {
        for (id, spent) in &mut self.spent {
            spent.used = self.used.contains(id);
        }
    }

    pub(crate) fn broken(&self) -> Broken {
        let again: u64 = self.once.values().map(|starts| starts - 1).sum();
        let answers: u64 =
            self.endings.iter().map(|e| u64::from(e.answers.saturating_sub(1))).sum();
        let count = |f: fn(&Ending) -> bool| self.endings.iter().filter(|e| f(e)).count() as u64;
        Broken {
            doubled: again + answers,
            lost: count(|e| e.answers == 0),
            misdelivered: self.misdelivered,
            untrue: count(|e| e.not_run && e.ran),
        }
    }
}
