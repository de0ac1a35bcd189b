//! Counts of the calls that a stand-in ran.

use salvo::Request;
use std::collections::BTreeMap;

/// Counts of the calls that a stand-in ran, by which tests detect calls that ran more than once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Number of runs by attempt.
    pub attempts: BTreeMap<String, u32>,
    /// Number of runs by idempotency key.
    pub keys: BTreeMap<String, u32>,
    /// Number of calls that ran to the end, whether or not the caller received the response.
    pub finished: u32,
    /// Number of calls that ended early, usually because the caller disconnected.
    pub cancelled: u32,
}

impl Runs {
    /// Returns the total number of runs.
    pub fn total(&self) -> u32 {
        self.attempts.values().sum()
    }

    /// Returns the attempts and idempotency keys that ran more than once.
    pub fn duplicates(&self) -> Vec<&str> {
        let all = self.attempts.iter().chain(&self.keys);
        all.filter(|(_, count)| **count > 1).map(|(name, _)| name.as_str()).collect()
    }

    pub(crate) fn record(&mut self, request: &Request) {
        let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
        let attempt = header("damaskweir-attempt").unwrap_or("none");
        *self.attempts.entry(attempt.to_owned()).or_default() += 1;
        if let Some(key) = header("idempotency-key") {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
    }
}
