//! Report of a run: the expectations that failed, and a trace.

use damaskweir_core::time::{Span, Time};
use std::fmt;

/// Maximum number of trace steps, the last ones, that a failed run prints.
const TRACE_STEPS_MAX: usize = 40;

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Calls that callers made, not counting repeats.
    pub calls: usize,
    /// Calls that got a complete answer by their deadline, with 20 ms of tolerance.
    pub complete: usize,
    /// Descriptions of the expectations that were not met.
    pub failures: Vec<String>,
    /// Faults and observations in order of time.
    pub trace: Vec<(Time, String)>,
}

impl Report {
    /// Percentage of calls that got a complete answer in time; 100 if there were no calls.
    pub fn attainment(&self) -> f64 {
        if self.calls == 0 { 100.0 } else { 100.0 * self.complete as f64 / self.calls as f64 }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, calls, failures, trace, .. } = self;
        write!(f, "seed {seed}: {calls} calls, attainment {:.2}%: ", self.attainment())?;
        if failures.is_empty() {
            return f.write_str("pass");
        }
        f.write_str("fail")?;
        for failure in failures {
            write!(f, "\n  not met: {failure}")?;
        }
        for (at, step) in trace.iter().skip(trace.len().saturating_sub(TRACE_STEPS_MAX)) {
            write!(f, "\n  {:>10.6} {step}", Span(at.0).as_secs_f64())?;
        }
        Ok(())
    }
}
