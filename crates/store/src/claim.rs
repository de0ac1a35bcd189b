//! Batched writer of claims.
//!
//! A transaction carries up to 128 claims. When one of them conflicts, the store changes nothing and
//! answers with all records; the claims that conflict are answered and the rest is sent again. That
//! takes a second call only in the rare case of a conflict, and stays within the 128 operations that
//! etcd allows by default, which one nested transaction for each claim would not.

use crate::client::{Client, new_backoff};
use crate::error::StoreError;
use crate::gateway::{Compare, Op, OpAnswer, Stored, Txn};
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
const BATCH_CLAIMS: usize = 128;
/// Bytes of records in one transaction; etcd's default limit of a request is 1.5 MiB.
const BATCH_BYTES: usize = 1_000_000;
/// Transactions in flight. More would make batches smaller and use more of the rate share.
const BATCHES_IN_FLIGHT: usize = 2;
/// Claims that may wait. Beyond that the store is as good as down.
const CLAIM_QUEUE: usize = 16_384;
/// Ends of calls that may wait for the store. Each may hold an answer.
const SETTLE_QUEUE: usize = 4_096;
/// Format of the records.
const FORMAT: u8 = 1;
/// A shared retention lease is used for this long, and lives this much longer than the retention.
const LEASE_SHARE: Duration = Duration::from_secs(3_600);

/// Settings of the writer.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Time after which a claim is answered `Down`.
    pub patience: Span,
    /// Time that ended calls are kept for.
    pub retention: Span,
    /// Time after which the end of a call that can't be written is dropped; the record then still
    /// names the side that keeps the answer.
    pub settling: Span,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            patience: Span::from_secs(1),
            retention: Span::from_secs(24 * 3_600),
            settling: Span::from_secs(600),
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
    claims: mpsc::Sender<Job>,
    settles: mpsc::Sender<Job>,
    settings: ClaimSettings,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    batches: AtomicU64,
    dropped: AtomicU64,
    unreadable: AtomicU64,
    /// The last claim got no answer from the store. Claims are then refused at once, but for one at a
    /// time that probes.
    down: AtomicBool,
    probing: AtomicBool,
}

/// The one claim that may be written while the store is down.
struct Probe<'a>(&'a State);

impl Drop for Probe<'_> {
    fn drop(&mut self) {
        self.0.probing.store(false, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Job {
    key: Digest,
    record: ClaimRecord,
    value: Vec<u8>,
    write: ClaimWrite,
    /// When to give up.
    until: Instant,
    /// Absent for the end of a call, for which nobody waits.
    answer: Option<oneshot::Sender<ClaimResult>>,
}

impl ClaimWriter {
    /// Starts the writer on the current tokio runtime. It ends when the last clone is dropped.
    pub fn spawn(client: Client, settings: ClaimSettings) -> Self {
        let (claims, claim_queue) = mpsc::channel(CLAIM_QUEUE);
        let (settles, settle_queue) = mpsc::channel(SETTLE_QUEUE);
        let state = Arc::new(State::default());
        let lease =
            Arc::new(Retention { retention: settings.retention, granted: Mutex::default() });
        tokio::spawn(run(client.clone(), claim_queue, None, Arc::clone(&state)));
        tokio::spawn(run(client, settle_queue, Some(lease), Arc::clone(&state)));
        Self { claims, settles, settings, state }
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
        let _probe = Probe(&self.state);
        self.write(key, record, write).await
    }

    async fn write(&self, key: Digest, record: ClaimRecord, write: ClaimWrite) -> ClaimResult {
        let (sender, receiver) = oneshot::channel();
        let until = Instant::now() + self.settings.patience.into();
        let value = encode_record(&record);
        let job = Job { key, record, value, write, until, answer: Some(sender) };
        if self.claims.try_send(job).is_err() {
            return ClaimResult::Unavailable;
        }
        receiver.await.unwrap_or(ClaimResult::Unavailable)
    }

    /// Writes the end of a call. It is repeated until it is stored or has waited for too long.
    pub fn settle(&self, key: Digest, mut record: ClaimRecord, revision: u64) {
        let mut value = encode_record(&record);
        if value.len() > crate::VALUE_MAX_BYTES {
            if let ClaimState::Ended { answer, .. } = &mut record.state {
                *answer = None;
            }
            value = encode_record(&record);
        }
        let until = Instant::now() + self.settings.settling.into();
        let write = ClaimWrite::Replace(revision);
        let job = Job { key, record, value, write, until, answer: None };
        if self.settles.try_send(job).is_err() {
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
    postcard::to_extend(record, vec![FORMAT]).unwrap_or_default()
}

fn decode_record(value: &[u8]) -> Option<ClaimRecord> {
    match value.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}

/// The retention lease that records of one hour share.
#[derive(Debug)]
struct Retention {
    retention: Span,
    granted: Mutex<Option<(u64, Instant)>>,
}

impl Retention {
    async fn lease(&self, client: &Client) -> Result<u64, StoreError> {
        let mut granted = self.granted.lock().await;
        if let Some((id, since)) = *granted
            && since.elapsed() < LEASE_SHARE
        {
            return Ok(id);
        }
        let ttl = Duration::from(self.retention) + LEASE_SHARE;
        let since = Instant::now();
        let grant = client.grant(ttl.as_secs()).await?;
        *granted = Some((grant.id, since));
        Ok(grant.id)
    }

    /// Forgets the lease, which the store may not know any more.
    async fn forget(&self) {
        *self.granted.lock().await = None;
    }
}

async fn run(
    client: Client,
    mut queue: mpsc::Receiver<Job>,
    retention: Option<Arc<Retention>>,
    state: Arc<State>,
) {
    let permits = Arc::new(Semaphore::new(BATCHES_IN_FLIGHT));
    let mut put_back: Vec<Job> = Vec::new();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        if put_back.is_empty() {
            let Some(job) = queue.recv().await else { return };
            put_back.push(job);
        }
        while put_back.len() < BATCH_CLAIMS {
            let Ok(job) = queue.try_recv() else { break };
            put_back.push(job);
        }
        let batch = take_batch(&mut put_back);
        let (client, retention) = (client.clone(), retention.clone());
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            write_batch(&client, batch, retention.as_deref(), &state).await;
            drop(permit);
        });
    }
}

/// Takes jobs with different keys, since a transaction must not write a key twice.
fn take_batch(jobs: &mut Vec<Job>) -> Vec<Job> {
    let mut batch: Vec<Job> = Vec::new();
    let mut rest = Vec::new();
    let mut keys = BTreeSet::new();
    let mut bytes = 0;
    for job in jobs.drain(..) {
        let fits = batch.is_empty() || bytes + job.value.len() <= BATCH_BYTES;
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
    mut batch: Vec<Job>,
    retention: Option<&Retention>,
    state: &State,
) {
    let mut backoff = new_backoff();
    loop {
        give_up(&mut batch, state);
        if batch.is_empty() {
            return;
        }
        let written = match lease_of(client, retention).await {
            Ok(lease) => {
                let txn = batch_txn(&batch, lease);
                state.batches.fetch_add(1, Ordering::Relaxed);
                client.txn_once(&txn).await
            }
            Err(error) => Err(error),
        };
        match written {
            Ok(answer) if answer.succeeded => {
                state.down.store(false, Ordering::Relaxed);
                for job in batch {
                    reply(job, ClaimResult::Written(answer.revision));
                }
                return;
            }
            Ok(answer) => {
                state.down.store(false, Ordering::Relaxed);
                batch = sort_found(batch, answer.answers, state);
            }
            Err(error) => {
                if let (Some(retention), StoreError::Refused { status: 404, .. }) =
                    (retention, &error)
                {
                    retention.forget().await;
                }
                let first = batch.iter().map(|job| job.until).min();
                let delay = Instant::now() + client.delay(&mut backoff);
                tokio::time::sleep_until(first.map_or(delay, |first| delay.min(first))).await;
            }
        }
    }
}

async fn lease_of(client: &Client, retention: Option<&Retention>) -> Result<u64, StoreError> {
    match retention {
        Some(retention) => retention.lease(client).await,
        None => Ok(0),
    }
}

fn batch_txn(batch: &[Job], lease: u64) -> Txn {
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
fn sort_found(batch: Vec<Job>, answers: Vec<OpAnswer>, state: &State) -> Vec<Job> {
    let mut rest = Vec::new();
    for (job, answer) in batch.into_iter().zip(answers) {
        let found = match answer {
            OpAnswer::Got(found) => found,
            OpAnswer::Changed => None,
        };
        match (job.write, found) {
            (ClaimWrite::Create, None) => rest.push(job),
            (ClaimWrite::Replace(revision), Some(found)) if found.revision == revision => {
                rest.push(job);
            }
            (_, Some(found)) => {
                let answer = sort_record(&job, &found, state);
                reply(job, answer);
            }
            // The record's retention ended meanwhile. Creating a new one was not asked for.
            (ClaimWrite::Replace(_), None) => reply(job, ClaimResult::Unavailable),
        }
    }
    rest
}

/// Whole records are compared, not attempt ids alone: a record marked `Unknown` names the attempt of
/// the one that it replaces.
fn sort_record(job: &Job, found: &Stored, state: &State) -> ClaimResult {
    match decode_record(&found.value) {
        Some(record) if record == job.record => ClaimResult::Written(found.revision),
        Some(record) => ClaimResult::Conflict(record, found.revision),
        None => {
            state.unreadable.fetch_add(1, Ordering::Relaxed);
            ClaimResult::Unavailable
        }
    }
}

fn give_up(batch: &mut Vec<Job>, state: &State) {
    let now = Instant::now();
    let (late, rest) = std::mem::take(batch).into_iter().partition(|job: &Job| job.until <= now);
    *batch = rest;
    let late: Vec<Job> = late;
    for job in late {
        if job.answer.is_some() {
            state.down.store(true, Ordering::Relaxed);
        } else {
            state.dropped.fetch_add(1, Ordering::Relaxed);
        }
        reply(job, ClaimResult::Unavailable);
    }
}

fn reply(job: Job, answer: ClaimResult) {
    if let Some(sender) = job.answer {
        // The entry may have ended the request meanwhile.
        let _ = sender.send(answer);
    }
}
