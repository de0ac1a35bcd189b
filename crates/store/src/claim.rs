//! Batched writer of claims.
//!
//! A transaction carries up to 128 claims. When one of them conflicts, the store changes nothing and
//! answers with all records; the claims that conflict are answered and the rest is sent again. That
//! takes a second call only in the rare case of a conflict, and stays within the 128 operations that
//! etcd allows by default, which one nested transaction for each claim would not.

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

/// Claims in one transaction; etcd's default limit of operations.
const BATCH_CLAIMS_MAX: usize = 128;
/// Bytes of records in one transaction; etcd's default limit of a request is 1.5 MiB.
const BATCH_BYTES_MAX: usize = 1_000_000;
/// Transactions in flight. More would make batches smaller and use more of the rate share.
const BATCHES_IN_FLIGHT_MAX: usize = 2;
/// Claims that may wait. Beyond that the store is as good as down.
const CLAIM_QUEUE_MAX: usize = 16_384;
/// Ends of calls that may wait for the store. Each may hold an answer.
const OUTCOME_QUEUE_MAX: usize = 4_096;
/// Format of the records.
const RECORD_FORMAT: u8 = 1;
/// A shared retention lease is used for this long, and lives this much longer than the retention.
const LEASE_REUSE_TIME: Duration = Duration::from_secs(3_600);

/// Settings of the writer.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Time after which a claim is answered `Down`.
    pub claim_timeout: Span,
    /// Time that ended calls are kept for.
    pub retention: Span,
    /// Time after which the end of a call that can't be written is dropped; the record then still
    /// names the side that keeps the answer.
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

/// Counts of the writer since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Transactions that were sent.
    pub batches: u64,
    /// Ends of calls that were dropped because the store could not be reached.
    pub dropped: u64,
    /// Records that can't be read.
    pub unreadable: u64,
}

/// Key of a claim in the store. It has no pool in it: a bundle that moves a stage to another pool must
/// not make a repeated call look like a first one.
pub fn claim_key(key: &Digest) -> String {
    format!("/damaskweir/claim/{key}")
}

/// Writes claims for an entry. Clones share the queue.
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
    /// The last claim got no answer from the store. Claims are then refused at once, but for one at a
    /// time that probes.
    down: AtomicBool,
    probing: AtomicBool,
}

/// The one claim that may be written while the store is down.
struct ProbeGuard<'a>(&'a WriterState);

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.0.probing.store(false, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct WriteJob {
    key: Digest,
    record: ClaimRecord,
    value: Vec<u8>,
    write: ClaimWrite,
    /// When to give up.
    deadline: Instant,
    /// Absent for the end of a call, for which nobody waits.
    reply: Option<oneshot::Sender<ClaimResult>>,
}

impl ClaimWriter {
    /// Starts the writer on the current tokio runtime. It ends when the last clone is dropped.
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

    /// Writes a claim and waits for the store's answer, at most for the patience that was set and the
    /// time of one call.
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

    /// Writes the end of a call. It is repeated until it is stored or has waited for too long.
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

    /// Counts since the start.
    pub fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            batches: self.state.batches.load(Ordering::Relaxed),
            dropped: self.state.dropped.load(Ordering::Relaxed),
            unreadable: self.state.unreadable.load(Ordering::Relaxed),
        }
    }
}

fn encode_record(record: &ClaimRecord) -> Vec<u8> {
    // A record holds nothing that postcard can't write; an empty value would be unreadable, and the
    // call would end as "outcome unknown".
    postcard::to_extend(record, vec![RECORD_FORMAT]).unwrap_or_default()
}

fn decode_record(value: &[u8]) -> Option<ClaimRecord> {
    match value.split_first() {
        Some((&RECORD_FORMAT, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}

/// The retention lease that records of one hour share.
#[derive(Debug)]
struct RetentionLease {
    retention: Span,
    granted: Mutex<Option<(u64, Instant)>>,
}

impl RetentionLease {
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

    /// Forgets the lease, which the store may not know any more.
    async fn discard(&self) {
        *self.granted.lock().await = None;
    }
}

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

/// Takes jobs with different keys, since a transaction must not write a key twice.
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

async fn lease_id(client: &Client, retention: Option<&RetentionLease>) -> Result<u64, StoreError> {
    match retention {
        Some(retention) => retention.get_or_grant(client).await,
        None => Ok(0),
    }
}

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

/// Answers the jobs that conflict and returns the others.
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
            // The record's retention ended meanwhile. Creating a new one was not asked for.
            (ClaimWrite::Replace(_), None) => send_result(job, ClaimResult::Unavailable),
        }
    }
    rest
}

/// Whole records are compared, not attempt ids alone: a record marked `Unknown` names the attempt of
/// the one that it replaces.
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
        // The entry may have ended the request meanwhile.
        let _ = sender.send(result);
    }
}
