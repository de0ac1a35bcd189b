//! Predicted time of a request through its stages, and whether it is worth starting.
//!
//! Answers loads above what the stages can take: what cannot end in time is refused before any of its
//! work is paid for, and the caller learns when to come back.

use crate::catalog::StageSpec;
use crate::time::Span;

/// Part of the time until the deadline that a request may be predicted to take. Predictions are short
/// of the truth while load rises.
const DEADLINE_PART: f64 = 0.6;
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

/// Decides on a request that is predicted to take `whole` with `left` until its deadline.
pub fn decide(whole: Span, left: Span) -> Decision {
    let allowed = left.scale(DEADLINE_PART);
    if whole <= allowed {
        return Decision::Take;
    }
    let over = whole.saturating_sub(allowed);
    Decision::Refuse(Span(over.0.clamp(HINTS.0.0, HINTS.1.0)))
}
