//! Predicts the time of a request through its stages and decides on its admission.
//!
//! Under overload, a request that cannot finish in time is refused before any of its work is done,
//! and the caller gets a retry hint.

use crate::graph::StagePlan;
use crate::time::Span;

/// Fraction of the time until the objective that the predicted time of a new request may take. A
/// longer queue would make all answers late without serving more of them.
const OBJECTIVE_SHARE: f64 = 1.0;
/// Fraction of the time until the deadline that the predicted time of a late request may take.
const DEADLINE_SHARE: f64 = 0.6;
/// Minimum and maximum retry hint.
const RETRY_HINT_RANGE: (Span, Span) = (Span::from_millis(150), Span::from_secs(3));

/// Critical-path analysis of a request's stages.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// Predicted time of each stage, zero for one without pieces.
    pub times: Vec<Span>,
    /// Time of the longest chain of stages.
    pub critical_path: Span,
    /// For each stage, the time of the longest chain of stages that follow it.
    pub tails: Vec<Span>,
    /// For each stage, the time by which its start can be delayed without extending the critical
    /// path.
    pub slacks: Vec<Span>,
}

impl Forecast {
    /// Computes the forecast from the predicted time of each stage, `None` for a stage without
    /// pieces.
    pub fn new(plan: &StagePlan, times: &[Option<Span>]) -> Self {
        let time = |i: usize| times.get(i).copied().flatten().unwrap_or(Span::ZERO);
        let mut tails = vec![Span::ZERO; plan.len()];
        let mut through = vec![Span::ZERO; plan.len()];
        for i in (0..plan.len()).rev() {
            through[i] = time(i) + tails[i];
            for before in plan.dependencies(i) {
                tails[*before] = tails[*before].max(through[i]);
            }
        }
        let whole = through.iter().copied().max().unwrap_or(Span::ZERO);
        let mut ahead = vec![Span::ZERO; plan.len()];
        for i in 0..plan.len() {
            let before = plan.dependencies(i).iter().map(|b| ahead[*b] + time(*b));
            ahead[i] = before.max().unwrap_or(Span::ZERO);
        }
        let slack = |i: usize| whole.saturating_sub(ahead[i] + through[i]);
        let slacks = (0..plan.len()).map(slack).collect();
        Self { times: (0..plan.len()).map(time).collect(), critical_path: whole, tails, slacks }
    }
}

/// Admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request can meet its objective.
    Admit,
    /// The request can be served, but late. It must not delay requests that can meet their
    /// objective.
    AdmitLate,
    /// The request cannot be served in time. The caller may retry after this time.
    Refuse(Span),
}

/// Predicted and remaining times of an arriving request.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalEstimate {
    /// Predicted time to the first part of the answer, if the request is queued with those that can
    /// meet their objective.
    pub timely: Span,
    /// Predicted time to the first part of the answer, if the request is queued behind those. `None` if
    /// results of its stages would expire before the next stage takes them.
    pub late: Option<Span>,
    /// Remaining time that the caller will wait.
    pub time_left: Span,
    /// Time since the caller's first try, or zero if this is the first.
    pub elapsed: Span,
    /// Time since the caller's first try within which an answer counts in full.
    pub objective: Span,
}

impl ArrivalEstimate {
    /// Whether the caller was refused before.
    pub fn is_returning(&self) -> bool {
        self.elapsed > Span::ZERO
    }
}

/// Decides whether to admit a request.
///
/// A request that cannot meet its objective is served after those that can, provided that its
/// caller still waits by then: a caller told to retry would get its answer just as late. Under
/// overload, late requests would otherwise make all others late too.
pub fn decide_admission(arrival: &ArrivalEstimate) -> Decision {
    let by_deadline = arrival.time_left.scale(DEADLINE_SHARE);
    let objective = arrival.objective.scale(OBJECTIVE_SHARE).saturating_sub(arrival.elapsed);
    if arrival.timely <= Span(objective.0.min(by_deadline.0)) {
        return Decision::Admit;
    }
    let retry = match arrival.late {
        Some(late) if late <= by_deadline => return Decision::AdmitLate,
        Some(late) => late.saturating_sub(by_deadline),
        None => RETRY_HINT_RANGE.1,
    };
    Decision::Refuse(Span(retry.0.clamp(RETRY_HINT_RANGE.0.0, RETRY_HINT_RANGE.1.0)))
}
