//! Predicted time of a request through its stages, and whether it is worth starting.
//!
//! Answers loads above what the stages can take: what cannot end in time is refused before any of its
//! work is paid for, and the caller learns when to come back.

use crate::catalog::StageSpec;
use crate::time::Span;

/// Part of the time until the objective that a new request may be predicted to take. A longer queue would
/// make all answers late and serve no more of them.
const OBJECTIVE_PART: f64 = 1.0;
/// Part of the time until the deadline that the request of a returning caller may be predicted to take.
const DEADLINE_PART: f64 = 0.6;
/// The same as a part of the objective: results of earlier stages are kept for a few seconds only.
const RETURN_PART: f64 = 1.6;
/// A caller whose deadline is shorter than the longest of its route by more than this has come back.
const RETURN_SLACK: Span = Span::from_millis(60);
/// Shortest and longest hint when to come back.
const HINTS: (Span, Span) = (Span::from_millis(150), Span::from_secs(3));

/// Time of a request's stages, each with its predicted time; `None` for a stage without pieces.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// Time of the longest chain of stages.
    pub stages: Span,
    /// For each stage, the time of the longest chain of stages that follow it.
    pub tails: Vec<Span>,
}

impl Forecast {
    /// Adds up the times along the graph.
    pub fn new(stages: &[StageSpec], times: &[Option<Span>]) -> Self {
        let time = |i: usize| times.get(i).copied().flatten().unwrap_or(Span::ZERO);
        let mut tails = vec![Span::ZERO; stages.len()];
        let mut whole = Span::ZERO;
        for (i, stage) in stages.iter().enumerate().rev() {
            let through = time(i) + tails[i];
            for before in &stage.after {
                tails[*before] = tails[*before].max(through);
            }
            whole = whole.max(through);
        }
        Self { stages: whole, tails }
    }
}

/// Whether to take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It can be served.
    Take,
    /// It cannot be served in time; the caller may come back after this time.
    Refuse(Span),
}

/// What is known of a request when it comes.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Predicted time until the first part of its answer.
    pub whole: Span,
    /// Time that its caller will wait.
    pub left: Span,
    /// Longest time that callers of its route wait: the time left of a caller that comes first.
    pub longest: Span,
    /// Time from the caller's first try within which an answer counts in full.
    pub objective: Span,
}

impl Arrival {
    /// Whether the caller has been refused before.
    pub fn returns(&self) -> bool {
        self.left + RETURN_SLACK < self.longest
    }
}

/// Decides on a request. A caller that comes first is refused if its answer would be late, so that those
/// who are served are served in time. A returning caller was told to come back, and is served if its
/// deadline can be met at all.
pub fn decide(arrival: &Arrival) -> Decision {
    let returns = arrival.returns();
    let by_deadline = arrival.left.scale(DEADLINE_PART);
    let part = if returns { RETURN_PART } else { OBJECTIVE_PART };
    let allowed = Span(arrival.objective.scale(part).0.min(by_deadline.0));
    if arrival.whole <= allowed {
        return Decision::Take;
    }
    // Later, the caller will be served if its deadline can be met.
    let promised = Span(arrival.objective.scale(RETURN_PART).0.min(by_deadline.0));
    let over = arrival.whole.saturating_sub(promised);
    Decision::Refuse(Span(over.0.clamp(HINTS.0.0, HINTS.1.0)))
}
