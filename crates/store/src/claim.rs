//! Batched writer of claim records.
//!
//! One transaction writes up to 128 records. If the condition of any record fails, the store writes
//! none of them and returns the existing records; the writer then reports the conflicts and sends the
//! remaining writes again. The second call is only needed in the rare case of a conflict. A nested
//! transaction per record would avoid it, but would exceed the 128 operations that etcd allows by
//! default.

use crate::client::{Client, new_backoff};
use crate::error::StoreError;
use crate::gateway::{Compare, KeyValue, Op, OpResponse, Txn};
use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{ClaimResult, ClaimWrite};
use damaskweir_core::ids::Digest;
use damaskweir_core::time::Span;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, Semaphore, mpsc, oneshot};
use tokio::time::Instant;

/// Maximum number of records in one transaction; etcd's default limit of operations.
const BATCH_CLAIMS_MAX: usize = 128;
/// Maximum size in bytes of the records in one transaction, unless it holds a single record. etcd
/// limits requests to 1.5 MiB by default.
const BATCH_BYTES_MAX: usize = 1_000_000;
/// Maximum number of concurrent transactions per queue. More would make batches smaller and use up
/// more of the rate limit.
const BATCHES_IN_FLIGHT_MAX: usize = 2;
/// Maximum number of queued claims. Above it, the store is treated as unavailable.
const CLAIM_QUEUE_MAX: usize = 16_384;
/// Maximum number of queued outcomes. It is lower because each may hold the output of a call.
const OUTCOME_QUEUE_MAX: usize = 4_096;
/// Format version of the records, stored as their first byte.
const RECORD_FORMAT: u8 = 1;
/// Time for which a retention lease is used for new records. Its time to live is the retention plus
/// this time, so that the last record is kept for the whole retention too.
const LEASE_REUSE_TIME: Duration = Duration::from_secs(3_600);

/// Settings of a [`ClaimWriter`].
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Time after which a claim that was not written fails with [`ClaimResult::Unavailable`].
    pub claim_timeout: Span,
    /// Time for which records of ended calls are kept.
    pub retention: Span,
    /// Time after which an outcome that could not be written is dropped. The record then still names
    /// the side that keeps the answer.
    pub outcome_timeout: Span,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            claim_timeout: Span::from_secs(1),
            retention: Span::from_secs(24 * 3_600),
            outcome_timeout: Span::from_secs(600),
        }
    }
}

/// Counters of a [`ClaimWriter`] since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Transactions sent.
    pub batches: u64,
    /// Outcomes dropped because the queue was full or the timeout passed.
    pub dropped: u64,
    /// Records found in the store that could not be decoded.
    pub unreadable: u64,
}

/// Returns the store key of a claim. The key does not contain the pool: otherwise a repeated call would
/// look like a new one after a bundle has moved its stage to another pool.
pub fn claim_key(key: &Digest) -> String {
    format!("/damaskweir/claim/{key}")
}

/// Writes claim records for an entry. Clones share the queues and the counters.
#[derive(Clone, Debug)]
pub struct ClaimWriter {
    claims: mpsc::Sender<WriteJob>,
    outcomes: mpsc::Sender<WriteJob>,
    settings: ClaimSettings,
    state: Arc<WriterState>,
}

#[derive(Debug, Default)]
struct WriterState {
    batches: AtomicU64,
    dropped: AtomicU64,
    unreadable: AtomicU64,
    /// Set when a claim times out, cleared when the store responds. While it is set, claims fail
    /// immediately, except for one at a time that probes the store.
    down: AtomicBool,
    /// Whether a probe is in progress.
    probing: AtomicBool,
}

/// Clears `probing` when the probe ends, also if its claim is cancelled.
struct ProbeGuard<'a>(&'a WriterState);

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.0.probing.store(false, Ordering::Relaxed);
    }
}

/// A queued write of one record.
#[derive(Debug)]
struct WriteJob {
    key: Digest,
    record: ClaimRecord,
    /// The encoded record.
    value: Vec<u8>,
    write: ClaimWrite,
    /// When the write is abandoned.
    deadline: Instant,
    /// Receives the result of a claim. `None` for outcomes, whose result is not reported.
    reply: Option<oneshot::Sender<ClaimResult>>,
}

impl ClaimWriter {
    /// Starts the writer on the current tokio runtime. It stops when the last clone is dropped.
    pub fn spawn(client: Client, settings: ClaimSettings) -> Self {
        let (claims, claim_receiver) = mpsc::channel(CLAIM_QUEUE_MAX);
        let (outcomes, outcome_receiver) = mpsc::channel(OUTCOME_QUEUE_MAX);
        let state = Arc::new(WriterState::default());
        let lease =
            Arc::new(RetentionLease { retention: settings.retention, granted: Mutex::default() });
        tokio::spawn(run_queue(client.clone(), claim_receiver, None, Arc::clone(&state)));
        tokio::spawn(run_queue(client, outcome_receiver, Some(lease), Arc::clone(&state)));
        Self { claims, outcomes, settings, state }
    }

    /// Writes a claim and waits for the result, at most for `claim_timeout` plus the time of one store
    /// call.
    pub async fn claim(&self, key: Digest, record: ClaimRecord, write: ClaimWrite) -> ClaimResult {
        if !self.state.down.load(Ordering::Relaxed) {
            return self.write(key, record, write).await;
        }
        if self.state.probing.swap(true, Ordering::Relaxed) {
            return ClaimResult::Unavailable;
        }
        let _probe = ProbeGuard(&self.state);
        self.write(key, record, write).await
    }

    async fn write(&self, key: Digest, record: ClaimRecord, write: ClaimWrite) -> ClaimResult {
        let (sender, receiver) = oneshot::channel();
        let deadline = Instant::now() + self.settings.claim_timeout.into();
        let value = encode_record(&record);
        let job = WriteJob { key, record, value, write, deadline, reply: Some(sender) };
        if self.claims.try_send(job).is_err() {
            return ClaimResult::Unavailable;
        }
        receiver.await.unwrap_or(ClaimResult::Unavailable)
    }

    /// Queues the outcome of a call, which replaces the record at `revision`. The write is retried until
    /// it succeeds, conflicts or `outcome_timeout` has passed. An answer that makes the record too large
    /// for the store is omitted.
    pub fn write_outcome(&self, key: Digest, mut record: ClaimRecord, revision: u64) {
        let mut value = encode_record(&record);
        if value.len() > crate::VALUE_MAX_BYTES {
            if let ClaimState::Ended { answer, .. } = &mut record.state {
                *answer = None;
            }
            value = encode_record(&record);
        }
        let deadline = Instant::now() + self.settings.outcome_timeout.into();
        let write = ClaimWrite::Replace(revision);
        let job = WriteJob { key, record, value, write, deadline, reply: None };
        if self.outcomes.try_send(job).is_err() {
            self.state.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            batches: self.state.batches.load(Ordering::Relaxed),
            dropped: self.state.dropped.load(Ordering::Relaxed),
            unreadable: self.state.unreadable.load(Ordering::Relaxed),
        }
    }
}

fn encode_record(record: &ClaimRecord) -> Vec<u8> {
    // Encoding can't fail, since postcard supports all types of a record. An empty value could not be
    // decoded, and the call would end with an unknown outcome.
    postcard::to_extend(record, vec![RECORD_FORMAT]).unwrap_or_default()
}

fn decode_record(value: &[u8]) -> Option<ClaimRecord> {
    match value.split_first() {
        Some((&RECORD_FORMAT, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}

/// Lease that deletes the records of ended calls after the retention. Records that are written within
/// `LEASE_REUSE_TIME` share it.
#[derive(Debug)]
struct RetentionLease {
    retention: Span,
    /// Id of the current lease and the time at which it was requested.
    granted: Mutex<Option<(u64, Instant)>>,
}

impl RetentionLease {
    /// Returns the id of the current lease, or of a new one if there is none or it is too old.
    async fn get_or_grant(&self, client: &Client) -> Result<u64, StoreError> {
        let mut granted = self.granted.lock().await;
        if let Some((id, since)) = *granted
            && since.elapsed() < LEASE_REUSE_TIME
        {
            return Ok(id);
        }
        let ttl = Duration::from(self.retention) + LEASE_REUSE_TIME;
        let since = Instant::now();
        let grant = client.grant_lease(ttl.as_secs()).await?;
        *granted = Some((grant.id, since));
        Ok(grant.id)
    }

    /// Discards the current lease, for example because the store no longer knows it.
    async fn discard(&self) {
        *self.granted.lock().await = None;
    }
}

/// Writes the jobs of a queue in batches until the queue is closed.
async fn run_queue(
    client: Client,
    mut queue: mpsc::Receiver<WriteJob>,
    retention: Option<Arc<RetentionLease>>,
    state: Arc<WriterState>,
) {
    let permits = Arc::new(Semaphore::new(BATCHES_IN_FLIGHT_MAX));
    let mut pending: Vec<WriteJob> = Vec::new();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        if pending.is_empty() {
            let Some(job) = queue.recv().await else { return };
            pending.push(job);
        }
        while pending.len() < BATCH_CLAIMS_MAX {
            let Ok(job) = queue.try_recv() else { break };
            pending.push(job);
        }
        let batch = take_batch(&mut pending);
        let (client, retention) = (client.clone(), retention.clone());
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            write_batch(&client, batch, retention.as_deref(), &state).await;
            drop(permit);
        });
    }
}

/// Removes the jobs of the next batch. Their keys differ, since a transaction must not write a key
/// twice.
fn take_batch(jobs: &mut Vec<WriteJob>) -> Vec<WriteJob> {
    let mut batch: Vec<WriteJob> = Vec::new();
    let mut rest = Vec::new();
    let mut keys = BTreeSet::new();
    let mut bytes = 0;
    for job in jobs.drain(..) {
        let fits = batch.is_empty() || bytes + job.value.len() <= BATCH_BYTES_MAX;
        if fits && keys.insert(job.key) {
            bytes += job.value.len();
            batch.push(job);
        } else {
            rest.push(job);
        }
    }
    *jobs = rest;
    batch
}

/// Writes a batch, and retries until every job has been written, has conflicted or has expired.
async fn write_batch(
    client: &Client,
    mut batch: Vec<WriteJob>,
    retention: Option<&RetentionLease>,
    state: &WriterState,
) {
    let mut backoff = new_backoff();
    loop {
        expire_jobs(&mut batch, state);
        if batch.is_empty() {
            return;
        }
        let result = match lease_id(client, retention).await {
            Ok(lease) => {
                let txn = batch_txn(&batch, lease);
                state.batches.fetch_add(1, Ordering::Relaxed);
                client.txn_once(&txn).await
            }
            Err(error) => Err(error),
        };
        match result {
            Ok(response) if response.succeeded => {
                state.down.store(false, Ordering::Relaxed);
                for job in batch {
                    send_result(job, ClaimResult::Written(response.revision));
                }
                return;
            }
            Ok(response) => {
                state.down.store(false, Ordering::Relaxed);
                batch = answer_conflicts(batch, response.responses, state);
            }
            Err(error) => {
                if let (Some(retention), StoreError::Rejected { status: 404, .. }) =
                    (retention, &error)
                {
                    retention.discard().await;
                }
                let earliest = batch.iter().map(|job| job.deadline).min();
                let retry_at = Instant::now() + client.next_delay(&mut backoff);
                tokio::time::sleep_until(
                    earliest.map_or(retry_at, |earliest| retry_at.min(earliest)),
                )
                .await;
            }
        }
    }
}

/// Returns the lease for a batch, or zero for records without a lease.
async fn lease_id(client: &Client, retention: Option<&RetentionLease>) -> Result<u64, StoreError> {
    match retention {
        Some(retention) => retention.get_or_grant(client).await,
        None => Ok(0),
    }
}

/// Builds a transaction that writes all records, or else reads the existing ones.
fn batch_txn(batch: &[WriteJob], lease: u64) -> Txn {
    let mut txn = Txn::default();
    for job in batch {
        let key = claim_key(&job.key);
        txn.compare.push(match job.write {
            ClaimWrite::Create => Compare::Absent(key.clone()),
            ClaimWrite::Replace(revision) => Compare::Revision(key.clone(), revision),
        });
        txn.success.push(Op::Put(key.clone(), job.value.clone(), lease));
        txn.failure.push(Op::Get(key));
    }
    txn
}

/// Reports the result of each job whose condition failed and returns the other jobs. `responses` holds
/// the existing records, in the order of the batch.
fn answer_conflicts(
    batch: Vec<WriteJob>,
    responses: Vec<OpResponse>,
    state: &WriterState,
) -> Vec<WriteJob> {
    let mut rest = Vec::new();
    for (job, response) in batch.into_iter().zip(responses) {
        let found = match response {
            OpResponse::Got(found) => found,
            OpResponse::Changed => None,
        };
        match (job.write, found) {
            (ClaimWrite::Create, None) => rest.push(job),
            (ClaimWrite::Replace(revision), Some(found)) if found.revision == revision => {
                rest.push(job);
            }
            (_, Some(found)) => {
                let result = compare_record(&job, &found, state);
                send_result(job, result);
            }
            // The record's retention has passed. `Replace` must not create a new record.
            (ClaimWrite::Replace(_), None) => send_result(job, ClaimResult::Unavailable),
        }
    }
    rest
}

/// Decides whether the existing record was written by this job, whose response may have been lost. It
/// compares whole records because an `Unknown` record has the same attempt id as the claim that it
/// replaces.
fn compare_record(job: &WriteJob, found: &KeyValue, state: &WriterState) -> ClaimResult {
    match decode_record(&found.value) {
        Some(record) if record == job.record => ClaimResult::Written(found.revision),
        Some(record) => ClaimResult::Conflict(record, found.revision),
        None => {
            state.unreadable.fetch_add(1, Ordering::Relaxed);
            ClaimResult::Unavailable
        }
    }
}

/// Removes the jobs whose deadline has passed and reports them as failed.
fn expire_jobs(batch: &mut Vec<WriteJob>, state: &WriterState) {
    let now = Instant::now();
    let (expired, rest) =
        std::mem::take(batch).into_iter().partition(|job: &WriteJob| job.deadline <= now);
    *batch = rest;
    let expired: Vec<WriteJob> = expired;
    for job in expired {
        if job.reply.is_some() {
            state.down.store(true, Ordering::Relaxed);
        } else {
            state.dropped.fetch_add(1, Ordering::Relaxed);
        }
        send_result(job, ClaimResult::Unavailable);
    }
}

fn send_result(job: WriteJob, result: ClaimResult) {
    if let Some(sender) = job.reply {
        // The receiver is dropped if the entry has ended the request.
        let _ = sender.send(result);
    }
}
