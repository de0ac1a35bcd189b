//! Counts of the work that a stand-in did.

use salvo::Request;
use std::collections::BTreeMap;

/// Work that a stand-in did, so that tests can see doubled work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// How often each attempt ran.
    pub attempts: BTreeMap<String, u32>,
    /// How often each idempotency key ran.
    pub keys: BTreeMap<String, u32>,
    /// Answers that were produced whole, whether or not they arrived.
    pub finished: u32,
    /// Answers whose caller went away.
    pub cancelled: u32,
}

impl Runs {
    /// Work that ran.
    pub fn total(&self) -> u32 {
        self.attempts.values().sum()
    }

    /// Attempts and keys that ran more than once.
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
