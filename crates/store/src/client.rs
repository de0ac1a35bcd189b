use crate::error::{Effect, StoreError};
use crate::gateway::{
    Grant, LeaseAnswer, Op, OpAnswer, PutAnswer, Range, RangeAnswer, Stored, Streamed, Txn,
    TxnAnswer, TxnAnswerJson, put_body, txn_body,
};
use crate::share::Bucket;
use damaskweir_core::Rng;
use damaskweir_core::retry::Backoff;
use damaskweir_core::time::Span;
use reqwest::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// First delay before a call is repeated.
const BACKOFF_BASE: Span = Span::from_millis(20);
/// Longest delay before a call is repeated.
const BACKOFF_CAP: Span = Span::from_secs(2);
/// Keys in one read of several. Values may have 1 MB, but most sections are small.
const READ_PAGE: usize = 64;
/// The part of an error text that is kept; gateways and balancers may answer with whole pages.
const ERROR_TEXT_CHARS: usize = 200;

/// Settings of the client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base addresses of the gateway; a call that fails moves on to the next one.
    pub endpoints: Vec<String>,
    /// Time that one call may take.
    pub timeout: Span,
    /// Times that a call without effect is sent in all.
    pub attempts: u32,
    /// Reads per second that this process may send.
    pub reads: u32,
    /// Writes per second that this process may send.
    pub writes: u32,
    /// Calls of each kind that may be sent at once after a quiet time.
    pub burst: u32,
}

impl Settings {
    /// Settings for one gateway address. The shares suit a few entry instances on a store of several
    /// hundred writes and 2,000 reads per second.
    pub fn new(endpoint: &str) -> Self {
        Self {
            endpoints: vec![endpoint.trim_end_matches('/').to_owned()],
            timeout: Span::from_millis(500),
            attempts: 3,
            reads: 40,
            writes: 20,
            burst: 20,
        }
    }
}

/// Calls that were sent since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Calls that only read.
    pub reads: u64,
    /// Calls that may write.
    pub writes: u64,
    /// Watches that were opened.
    pub watches: u64,
    /// Calls of any kind that failed.
    pub failed: u64,
}

#[derive(Clone, Copy)]
pub(crate) enum Kind {
    Read,
    Write,
    Watch,
}

/// Client of the store. Clones share connections and rate share.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    http: reqwest::Client,
    settings: Settings,
    endpoint: AtomicUsize,
    reads: Mutex<Bucket>,
    writes: Mutex<Bucket>,
    rng: Mutex<Rng>,
    counts: [AtomicU64; 4],
}

impl Client {
    /// Makes a client; connects on the first call.
    pub fn new(settings: Settings, rng: Rng) -> Result<Self, StoreError> {
        if settings.endpoints.is_empty() {
            return Err(StoreError::Settings("no endpoint".to_owned()));
        }
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(settings.timeout.into())
            .build()
            .map_err(|error| StoreError::Settings(error.to_string()))?;
        let inner = Inner {
            http,
            endpoint: AtomicUsize::new(0),
            reads: Mutex::new(Bucket::new(settings.reads, settings.burst)),
            writes: Mutex::new(Bucket::new(settings.writes, settings.burst)),
            rng: Mutex::new(rng),
            counts: Default::default(),
            settings,
        };
        Ok(Self { inner: Arc::new(inner) })
    }

    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
        let answer: RangeAnswer = self.repeat(Kind::Read, "kv/range", &Range::key(key)).await?;
        answer.kvs.into_iter().next().map(Stored::try_from).transpose()
    }

    /// Reads all keys with a prefix, in the order of keys.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Stored>, StoreError> {
        let body = Range::prefix(prefix);
        let answer: RangeAnswer = self.repeat(Kind::Read, "kv/range", &body).await?;
        answer.kvs.into_iter().map(Stored::try_from).collect()
    }

    /// Reads the names of all keys with a prefix.
    pub async fn list_keys(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let body = Range { keys_only: true, ..Range::prefix(prefix) };
        let answer: RangeAnswer = self.repeat(Kind::Read, "kv/range", &body).await?;
        answer.kvs.into_iter().map(|kv| Ok(Stored::try_from(kv)?.key)).collect()
    }

    /// Reads several keys, a page in each call. Each page is read at one revision.
    pub async fn get_many(&self, keys: &[String]) -> Result<Vec<Option<Stored>>, StoreError> {
        let mut found = Vec::with_capacity(keys.len());
        for page in keys.chunks(READ_PAGE) {
            let success = page.iter().cloned().map(Op::Get).collect();
            let txn = Txn { success, ..Txn::default() };
            let answer: TxnAnswerJson = self.repeat(Kind::Read, "kv/txn", &txn_body(&txn)).await?;
            found.extend(answer.checked(&txn)?.answers.into_iter().map(|answer| match answer {
                OpAnswer::Got(found) => found,
                OpAnswer::Changed => None,
            }));
        }
        Ok(found)
    }

    /// Writes one key whatever it holds, and returns the new revision.
    pub async fn put(&self, key: &str, value: &[u8], lease: u64) -> Result<u64, StoreError> {
        let body = put_body(key, value, lease);
        let answer: PutAnswer = self.repeat(Kind::Write, "kv/put", &body).await?;
        Ok(answer.header.revision)
    }

    /// Carries out a transaction. It is repeated only after errors that certainly had no effect, so
    /// that the caller can recognise its own write after a lost answer.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        let answer: TxnAnswerJson = self.repeat(Kind::Write, "kv/txn", &txn_body(txn)).await?;
        answer.checked(txn)
    }

    /// Sends a transaction once.
    pub async fn txn_once(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        let answer: TxnAnswerJson = self.call(Kind::Write, "kv/txn", &txn_body(txn)).await?;
        answer.checked(txn)
    }

    /// Grants a lease of `ttl` seconds.
    pub async fn grant(&self, ttl: u64) -> Result<Grant, StoreError> {
        let body = json!({ "TTL": ttl.to_string(), "ID": "0" });
        let answer: LeaseAnswer = self.repeat(Kind::Write, "lease/grant", &body).await?;
        Ok(Grant { id: answer.id, ttl: answer.ttl })
    }

    /// Renews a lease. `None`: it has lapsed.
    pub async fn keepalive(&self, id: u64) -> Result<Option<Grant>, StoreError> {
        let body = json!({ "ID": id.to_string() });
        let answer: Streamed<LeaseAnswer> =
            self.repeat(Kind::Write, "lease/keepalive", &body).await?;
        match answer {
            Streamed { result: Some(lease), .. } => {
                Ok((lease.ttl > 0).then_some(Grant { id: lease.id, ttl: lease.ttl }))
            }
            Streamed { error, .. } => {
                Err(StoreError::Answer(error.unwrap_or_default().to_string()))
            }
        }
    }

    /// Ends a lease and removes its keys.
    pub async fn revoke(&self, id: u64) -> Result<(), StoreError> {
        let body = json!({ "ID": id.to_string() });
        let _: serde_json::Value = self.repeat(Kind::Write, "lease/revoke", &body).await?;
        Ok(())
    }

    /// Calls that were sent since the start.
    pub fn usage(&self) -> Usage {
        let count = |i: usize| self.inner.counts[i].load(Ordering::Relaxed);
        Usage { reads: count(0), writes: count(1), watches: count(2), failed: count(3) }
    }

    pub(crate) fn delay(&self, backoff: &mut Backoff) -> Duration {
        let mut rng = self.inner.rng.lock().unwrap_or_else(PoisonError::into_inner);
        backoff.next_delay(&mut rng).into()
    }

    /// Sends a call, and again after errors that certainly had no effect, or any error of a read.
    async fn repeat<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let mut backoff = new_backoff();
        let mut sent = 1;
        loop {
            let error = match self.call(kind, path, body).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let harmless = matches!(kind, Kind::Read) || error.effect() == Effect::None;
            if !harmless || !error.is_transient() || sent >= self.inner.settings.attempts {
                return Err(error);
            }
            sent += 1;
            tokio::time::sleep(self.delay(&mut backoff)).await;
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let timeout = self.inner.settings.timeout.into();
        let exchange = async {
            let bytes = self
                .open(kind, path, body)
                .await?
                .bytes()
                .await
                .map_err(|error| StoreError::Lost(error.without_url().to_string()))?;
            serde_json::from_slice(&bytes).map_err(|error| StoreError::Answer(error.to_string()))
        };
        self.reserve(kind).await?;
        let answer = tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(StoreError::Lost("no answer in time".to_owned())));
        if answer.is_err() {
            self.failed();
        }
        answer
    }

    /// Waits for this call's turn under the rate share.
    pub(crate) async fn reserve(&self, kind: Kind) -> Result<(), StoreError> {
        let bucket = match kind {
            Kind::Read | Kind::Watch => &self.inner.reads,
            Kind::Write => &self.inner.writes,
        };
        let wait = bucket
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(Instant::now(), self.inner.settings.timeout.into())
            .ok_or(StoreError::Share)?;
        tokio::time::sleep(wait).await;
        Ok(())
    }

    /// Sends a call and takes the head of its answer.
    pub(crate) async fn open(
        &self,
        kind: Kind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<reqwest::Response, StoreError> {
        let inner = &self.inner;
        let at = inner.endpoint.load(Ordering::Relaxed) % inner.settings.endpoints.len();
        let url = format!("{}/v3/{path}", inner.settings.endpoints[at]);
        inner.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
        let response = inner.http.post(url).json(body).send().await.map_err(sort_error)?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = response.text().await.unwrap_or_default();
        Err(sort_status(status, text.chars().take(ERROR_TEXT_CHARS).collect()))
    }

    pub(crate) fn failed(&self) {
        self.inner.counts[3].fetch_add(1, Ordering::Relaxed);
        self.inner.endpoint.fetch_add(1, Ordering::Relaxed);
    }
}

pub(crate) fn new_backoff() -> Backoff {
    Backoff::new(BACKOFF_BASE, BACKOFF_CAP)
}

fn sort_error(error: reqwest::Error) -> StoreError {
    let error = error.without_url();
    if error.is_connect() || error.is_builder() {
        StoreError::Connect(error.to_string())
    } else {
        StoreError::Lost(error.to_string())
    }
}

/// A gateway answers 4xx before it acts. Behind 5xx the store may have acted, for example when the
/// leader changed while the call waited for its commit.
fn sort_status(status: StatusCode, text: String) -> StoreError {
    // 408 is a timeout of the gateway and says nothing about the store.
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        StoreError::Refused { status: status.as_u16(), text }
    } else {
        StoreError::Lost(format!("HTTP {}: {text}", status.as_u16()))
    }
}
