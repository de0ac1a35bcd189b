//! Predicted time of a request through its stages, and whether it is worth starting.
//!
//! Answers loads above what the stages can take: what cannot end in time is refused before any of its
//! work is paid for, and the caller learns when to come back.

use crate::catalog::StageSpec;
use crate::time::Span;

/// Part of the time until the objective that a new request may be predicted to take. A longer queue would
/// make all answers late and serve no more of them.
const OBJECTIVE_SHARE: f64 = 1.0;
/// Part of the time until the deadline that a late request may be predicted to take.
const DEADLINE_SHARE: f64 = 0.6;
/// Shortest and longest hint when to come back.
const RETRY_HINT_RANGE: (Span, Span) = (Span::from_millis(150), Span::from_secs(3));

/// Time of a request's stages, each with its predicted time; `None` for a stage without pieces.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// Time of the longest chain of stages.
    pub critical_path: Span,
    /// For each stage, the time of the longest chain of stages that follow it.
    pub tails: Vec<Span>,
    /// For each stage, by how much later than at once it may begin without making the whole later.
    pub slacks: Vec<Span>,
}

impl Forecast {
    /// Adds up the times along the graph.
    pub fn new(stages: &[StageSpec], times: &[Option<Span>]) -> Self {
        let time = |i: usize| times.get(i).copied().flatten().unwrap_or(Span::ZERO);
        let mut tails = vec![Span::ZERO; stages.len()];
        let mut through = vec![Span::ZERO; stages.len()];
        for (i, stage) in stages.iter().enumerate().rev() {
            through[i] = time(i) + tails[i];
            for before in &stage.after {
                tails[*before] = tails[*before].max(through[i]);
            }
        }
        let whole = through.iter().copied().max().unwrap_or(Span::ZERO);
        let mut ahead = vec![Span::ZERO; stages.len()];
        for (i, stage) in stages.iter().enumerate() {
            let before = stage.after.iter().map(|b| ahead[*b] + time(*b));
            ahead[i] = before.max().unwrap_or(Span::ZERO);
        }
        let slack = |i: usize| whole.saturating_sub(ahead[i] + through[i]);
        Self { critical_path: whole, slacks: (0..stages.len()).map(slack).collect(), tails }
    }
}

/// Whether to take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It can be served within its objective.
    Admit,
    /// It can be served, but late: it must not hold up those that can be in time.
    AdmitLate,
    /// It cannot be served in time; the caller may come back after this time.
    Refuse(Span),
}

/// What is known of a request when it comes.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalEstimate {
    /// Predicted time until the first part of its answer, among those that can be in time.
    pub timely: Span,
    /// The same, among those that are late.
    pub late: Span,
    /// Time that its caller will wait.
    pub time_left: Span,
    /// Time since its caller's first try; zero if it comes first.
    pub elapsed: Span,
    /// Time from the caller's first try within which an answer counts in full.
    pub objective: Span,
}

impl ArrivalEstimate {
    /// Whether the caller has been refused before.
    pub fn is_returning(&self) -> bool {
        self.elapsed > Span::ZERO
    }
}

/// Decides on a request. One that can't be in time is served behind those that can, if its caller still waits
/// then: a caller told to come back would be as late. Under a load above what the stages take, late answers
/// would otherwise make all others late.
pub fn decide_admission(arrival: &ArrivalEstimate) -> Decision {
    let by_deadline = arrival.time_left.scale(DEADLINE_SHARE);
    let objective = arrival.objective.scale(OBJECTIVE_SHARE).saturating_sub(arrival.elapsed);
    if arrival.timely <= Span(objective.0.min(by_deadline.0)) {
        return Decision::Admit;
    }
    if arrival.late <= by_deadline {
        return Decision::AdmitLate;
    }
    let over = arrival.late.saturating_sub(by_deadline);
    Decision::Refuse(Span(over.0.clamp(RETRY_HINT_RANGE.0.0, RETRY_HINT_RANGE.1.0)))
}
