//! Simulated key-value service of the platform. Supports only claims, by compare-and-swap.

use damaskweir_core::claim::ClaimRecord;
use damaskweir_core::entry::{ClaimResult, ClaimWrite};
use damaskweir_core::ids::{Digest, RequestId};
use std::collections::BTreeMap;

/// A write in an entry's batch. `RecordOutcome` takes effect only at the given revision and has no
/// answer.
#[derive(Clone, Debug)]
pub(crate) enum StoreWrite {
    Claim { request: RequestId, key: Digest, record: ClaimRecord, write: ClaimWrite },
    RecordOutcome { key: Digest, record: ClaimRecord, revision: u64 },
}

/// Claim records with the revision of their last write.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    records: BTreeMap<Digest, (ClaimRecord, u64)>,
    revision: u64,
    /// Number of calls that reached the store, each with a batch of writes.
    pub(crate) calls: u64,
}

impl Store {
    /// Applies a batch of writes and returns the results of its claims.
    pub(crate) fn call(&mut self, batch: Vec<StoreWrite>) -> Vec<(RequestId, ClaimResult)> {
        self.calls += 1;
        batch.into_iter().filter_map(|write| self.apply(write)).collect()
    }

    /// Returns the results of a batch that never reached the store: every claim is unavailable.
    pub(crate) fn unavailable_answers(batch: &[StoreWrite]) -> Vec<(RequestId, ClaimResult)> {
        let requests = batch.iter().filter_map(|write| match write {
            StoreWrite::Claim { request, .. } => Some(*request),
            StoreWrite::RecordOutcome { .. } => None,
        });
        requests.map(|request| (request, ClaimResult::Unavailable)).collect()
    }

    fn apply(&mut self, write: StoreWrite) -> Option<(RequestId, ClaimResult)> {
        match write {
            StoreWrite::Claim { request, key, record, write } => {
                Some((request, self.claim(key, record, write)))
            }
            StoreWrite::RecordOutcome { key, record, revision } => {
                if self.records.get(&key).is_some_and(|(_, current)| *current == revision) {
                    self.put(key, record);
                }
                None
            }
        }
    }

    fn claim(&mut self, key: Digest, record: ClaimRecord, write: ClaimWrite) -> ClaimResult {
        let allowed = match (self.records.get(&key), write) {
            (None, ClaimWrite::Create) => true,
            (Some((_, current)), ClaimWrite::Replace(revision)) => *current == revision,
            _ => false,
        };
        if allowed {
            return ClaimResult::Written(self.put(key, record));
        }
        match self.records.get(&key) {
            Some((found, revision)) => ClaimResult::Conflict(found.clone(), *revision),
            None => ClaimResult::Unavailable,
        }
    }

    fn put(&mut self, key: Digest, record: ClaimRecord) -> u64 {
        self.revision += 1;
        self.records.insert(key, (record, self.revision));
        self.revision
    }
}
