//! State of the simulated processes, and fakes of the backend servers and the store.

use damaskweir_core::claim::ClaimRecord;
use damaskweir_core::entry::{ClaimResult, ClaimWrite, Entry};
use damaskweir_core::epoch::Epoch;
use damaskweir_core::prelude::*;
use damaskweir_core::side::Sidecar;
use std::collections::{BTreeMap, BTreeSet};

/// State that entries and sides have in common.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) epoch: Epoch,
    pub(crate) alive: bool,
    /// Number of times that the process was killed. It tells the events of earlier runs apart.
    pub(crate) generation: u64,
    pub(crate) paused_until: Option<Time>,
    /// Last time that it was killed, restarted, or recovered from a pause or a partition.
    pub(crate) disturbed_at: Time,
    /// Highest bundle version that was current while the node was ready.
    pub(crate) served: Version,
    pub(crate) next_tick: Option<Time>,
}

/// An entry and the state that its process keeps outside the state machine.
pub(crate) struct EntryHost {
    pub(crate) entry: Entry,
    pub(crate) calls: BTreeMap<RequestId, usize>,
    pub(crate) outputs: BTreeMap<AttemptId, u64>,
    /// Attempts in progress by server; they fail when the connection breaks.
    pub(crate) open_attempts: Vec<BTreeSet<AttemptId>>,
    /// Requests with an unanswered `Forbid`, by server.
    pub(crate) status_queries: Vec<BTreeSet<RequestId>>,
    /// ID of the open connection to each server.
    pub(crate) connections: Vec<Option<u64>>,
    pub(crate) partitioned: Vec<bool>,
    /// Delay added to its timers.
    pub(crate) timer_lag: Span,
    pub(crate) next_tick: Option<Time>,
}

/// A side and its backend server.
pub(crate) struct Server {
    pub(crate) sidecar: Sidecar,
    pub(crate) pool: usize,
    pub(crate) next_tick: Option<Time>,
    /// Factor on the service time.
    pub(crate) slowdown: u64,
    /// Computes its outputs from a wrong input.
    pub(crate) corrupts: bool,
    /// Reports finished attempts as refused, and itself as drained as soon as it is stopped.
    pub(crate) misreports: bool,
    pub(crate) leaving: bool,
    pub(crate) jobs: BTreeMap<AttemptId, Job>,
    /// Outputs of finished non-idempotent attempts, which answer a `Forbid`.
    pub(crate) outputs: BTreeMap<AttemptId, u64>,
}

/// An attempt that a side has accepted.
#[derive(Clone, Copy)]
pub(crate) struct Job {
    pub(crate) host: usize,
    pub(crate) connection: u64,
    pub(crate) call: usize,
    pub(crate) input: u64,
    pub(crate) running: bool,
}

/// Executions as the backend servers counted them, independent of the state machines under test.
#[derive(Default)]
pub(crate) struct ExecutionLog {
    /// Number of executions by pool and call, for non-idempotent pools.
    pub(crate) runs: BTreeMap<(usize, usize), u32>,
    /// Requests of which any attempt was started.
    pub(crate) requests: BTreeSet<RequestId>,
    /// Start times of attempts, by server.
    pub(crate) starts: Vec<Vec<Time>>,
}

/// Fake of the platform's store.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    /// Extra latency while the store is slow.
    pub(crate) delay: Span,
    /// Whether the answer to the next write is lost.
    pub(crate) lose_answer: bool,
    /// Whether writes succeed even if their condition fails.
    pub(crate) ignore_conditions: bool,
    /// Claims and their revisions.
    pub(crate) records: BTreeMap<Digest, (ClaimRecord, u64)>,
    pub(crate) revision: u64,
    /// Current bundle version.
    pub(crate) manifest: Version,
    /// Name of the bundle that was approved as each version.
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
