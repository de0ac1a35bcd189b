//! Processes of a run, and small fakes of the backend servers and the store.

use damaskweir_core::claim::ClaimRecord;
use damaskweir_core::entry::{ClaimResult, ClaimWrite, Entry};
use damaskweir_core::epoch::Epoch;
use damaskweir_core::prelude::*;
use damaskweir_core::side::Sidecar;
use std::collections::{BTreeMap, BTreeSet};

/// What an entry or a side has in common.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) epoch: Epoch,
    pub(crate) alive: bool,
    /// Counts the runs of the process.
    pub(crate) generation: u64,
    pub(crate) paused_until: Option<Time>,
    /// Last time that it was paused, dead or cut off.
    pub(crate) disturbed_at: Time,
    /// Highest version under which it took work.
    pub(crate) served: Version,
    pub(crate) next_tick: Option<Time>,
}

/// An entry and what its daemon keeps.
pub(crate) struct EntryHost {
    pub(crate) entry: Entry,
    pub(crate) calls: BTreeMap<RequestId, usize>,
    pub(crate) outputs: BTreeMap<AttemptId, u64>,
    /// Attempts and questions that a broken connection ends, by server.
    pub(crate) open_attempts: Vec<BTreeSet<AttemptId>>,
    pub(crate) status_queries: Vec<BTreeSet<RequestId>>,
    /// Number of the connection to each server.
    pub(crate) connections: Vec<Option<u64>>,
    pub(crate) partitioned: Vec<bool>,
    /// Delay of its timers.
    pub(crate) timer_lag: Span,
    pub(crate) next_tick: Option<Time>,
}

/// A backend server with its side.
pub(crate) struct Server {
    pub(crate) sidecar: Sidecar,
    pub(crate) pool: usize,
    pub(crate) next_tick: Option<Time>,
    pub(crate) slowdown: u64,
    /// Answers with the output of other work.
    pub(crate) corrupts: bool,
    /// Reports ends as refusals.
    pub(crate) misreports: bool,
    pub(crate) leaving: bool,
    pub(crate) jobs: BTreeMap<AttemptId, Job>,
    /// Outputs of non-idempotent attempts that ended.
    pub(crate) outputs: BTreeMap<AttemptId, u64>,
}

/// An attempt at a side.
#[derive(Clone, Copy)]
pub(crate) struct Job {
    pub(crate) host: usize,
    pub(crate) connection: u64,
    pub(crate) call: usize,
    pub(crate) input: u64,
    pub(crate) running: bool,
}

/// What the backend servers themselves counted.
#[derive(Default)]
pub(crate) struct ExecutionLog {
    /// Runs by pool and caller's call, of non-idempotent pools.
    pub(crate) runs: BTreeMap<(usize, usize), u32>,
    pub(crate) requests: BTreeSet<RequestId>,
    /// Start times by server.
    pub(crate) starts: Vec<Vec<Time>>,
}

/// The platform's store.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    pub(crate) delay: Span,
    /// The answer to the next write is lost.
    pub(crate) lose_answer: bool,
    /// Writes whatever the condition.
    pub(crate) ignore_conditions: bool,
    pub(crate) records: BTreeMap<Digest, (ClaimRecord, u64)>,
    pub(crate) revision: u64,
    pub(crate) manifest: Version,
    /// Who wrote each version.
    pub(crate) authors: BTreeMap<Version, String>,
}

impl Store {
    pub(crate) fn claim(
        &mut self,
        key: Digest,
        record: &ClaimRecord,
        write: ClaimWrite,
    ) -> ClaimResult {
        match (self.records.get(&key), write) {
            (Some((_, current)), ClaimWrite::Replace(revision)) if *current == revision => {}
            (Some((found, revision)), _) if !self.ignore_conditions => {
                return ClaimResult::Conflict(found.clone(), *revision);
            }
            _ => {}
        }
        self.revision += 1;
        self.records.insert(key, (record.clone(), self.revision));
        ClaimResult::Written(self.revision)
    }

    pub(crate) fn record_outcome(&mut self, key: Digest, record: ClaimRecord, revision: u64) {
        if let Some(found) = self.records.get_mut(&key).filter(|(_, current)| *current == revision)
        {
            self.revision += 1;
            *found = (record, self.revision);
        }
    }
}
