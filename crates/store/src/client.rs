//! Client for the gateway: rate limits, timeouts and retries.

use crate::error::{StoreError, WriteEffect};
use crate::gateway::{
    KeyValue, LeaseGrant, LeaseResponse, Op, OpResponse, PutResponse, RangeRequest, RangeResponse,
    StreamMessage, Txn, TxnResponse, TxnResponseJson, put_body, txn_body,
};
use crate::share::TokenBucket;
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

/// Minimum delay before a retry.
const BACKOFF_MIN: Span = Span::from_millis(20);
/// Maximum delay before a retry.
const BACKOFF_MAX: Span = Span::from_secs(2);
/// Maximum number of keys that one call reads in [`Client::get_many`]. A value may have 1 MB, but most
/// bundle sections are small.
const READ_PAGE_KEYS: usize = 64;
/// Maximum length in characters of an error text that is kept. Gateways and load balancers may respond
/// with whole HTML pages.
const ERROR_TEXT_CHARS_MAX: usize = 200;

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base URLs of the gateway. After a failed call, the client switches to the next one.
    pub endpoints: Vec<String>,
    /// Timeout of one call. A call may wait as long again for the rate limit before it is sent.
    pub timeout: Span,
    /// Maximum number of attempts of a read, or of a write as long as it certainly had no effect.
    pub max_attempts: u32,
    /// Maximum reads and watches per second of this client.
    pub read_rate: u32,
    /// Maximum writes per second of this client.
    pub write_rate: u32,
    /// Maximum number of reads, and of writes, that are sent at once after an idle period.
    pub burst: u32,
}

impl Settings {
    /// Creates settings for one gateway URL. The default rates suit a few entry instances that share a
    /// store with a limit of several hundred writes and 2,000 reads per second.
    pub fn new(endpoint: &str) -> Self {
        Self {
            endpoints: vec![endpoint.trim_end_matches('/').to_owned()],
            timeout: Span::from_millis(500),
            max_attempts: 3,
            read_rate: 40,
            write_rate: 20,
            burst: 20,
        }
    }
}

/// Numbers of calls of a [`Client`] since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent, including lease calls.
    pub writes: u64,
    /// Watches requested.
    pub watches: u64,
    /// Failed calls of any kind, except those that the rate limit stopped.
    pub failed: u64,
}

/// Kind of a call. The value is the index of its counter.
#[derive(Clone, Copy)]
pub(crate) enum CallKind {
    Read,
    Write,
    Watch,
}

/// Client of the store. Clones share the connections and the rate limits.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    http: reqwest::Client,
    settings: Settings,
    /// Index of the current endpoint, modulo the number of endpoints. Each failed call increments it.
    endpoint: AtomicUsize,
    read_bucket: Mutex<TokenBucket>,
    write_bucket: Mutex<TokenBucket>,
    rng: Mutex<Rng>,
    /// Reads, writes, watches and failed calls.
    counts: [AtomicU64; 4],
}

impl Client {
    /// Creates a client. It connects on the first call.
    pub fn new(settings: Settings, rng: Rng) -> Result<Self, StoreError> {
        if settings.endpoints.is_empty() {
            return Err(StoreError::Settings("no endpoint is set".to_owned()));
        }
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(settings.timeout.into())
            .build()
            .map_err(|error| StoreError::Settings(error.to_string()))?;
        let inner = Inner {
            http,
            endpoint: AtomicUsize::new(0),
            read_bucket: Mutex::new(TokenBucket::new(settings.read_rate, settings.burst)),
            write_bucket: Mutex::new(TokenBucket::new(settings.write_rate, settings.burst)),
            rng: Mutex::new(rng),
            counts: Default::default(),
            settings,
        };
        Ok(Self { inner: Arc::new(inner) })
    }

    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let response: RangeResponse =
            self.call_with_retry(CallKind::Read, "kv/range", &RangeRequest::key(key)).await?;
        response.kvs.into_iter().next().map(KeyValue::try_from).transpose()
    }

    /// Reads all keys with a prefix, sorted by key.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        let body = RangeRequest::prefix(prefix);
        let response: RangeResponse =
            self.call_with_retry(CallKind::Read, "kv/range", &body).await?;
        response.kvs.into_iter().map(KeyValue::try_from).collect()
    }

    /// Reads the names of all keys with a prefix.
    pub async fn list_keys(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let body = RangeRequest { keys_only: true, ..RangeRequest::prefix(prefix) };
        let response: RangeResponse =
            self.call_with_retry(CallKind::Read, "kv/range", &body).await?;
        response.kvs.into_iter().map(|kv| Ok(KeyValue::try_from(kv)?.key)).collect()
    }

    /// Reads several keys, up to 64 in one call. The keys of one call are read at the same revision.
    pub async fn get_many(&self, keys: &[String]) -> Result<Vec<Option<KeyValue>>, StoreError> {
        let mut found = Vec::with_capacity(keys.len());
        for page in keys.chunks(READ_PAGE_KEYS) {
            let success = page.iter().cloned().map(Op::Get).collect();
            let txn = Txn { success, ..Txn::default() };
            let response: TxnResponseJson =
                self.call_with_retry(CallKind::Read, "kv/txn", &txn_body(&txn)).await?;
            found.extend(response.into_response(&txn)?.responses.into_iter().map(|response| {
                match response {
                    OpResponse::Got(found) => found,
                    OpResponse::Changed => None,
                }
            }));
        }
        Ok(found)
    }

    /// Writes one key unconditionally and returns the new revision. `lease` is zero for no lease.
    pub async fn put(&self, key: &str, value: &[u8], lease: u64) -> Result<u64, StoreError> {
        let body = put_body(key, value, lease);
        let response: PutResponse = self.call_with_retry(CallKind::Write, "kv/put", &body).await?;
        Ok(response.header.revision)
    }

    /// Executes a transaction. It is retried only after errors that certainly had no effect, so that the
    /// caller can recognise its own write after a lost response.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResponse, StoreError> {
        let response: TxnResponseJson =
            self.call_with_retry(CallKind::Write, "kv/txn", &txn_body(txn)).await?;
        response.into_response(txn)
    }

    /// Executes a transaction without retries.
    pub async fn txn_once(&self, txn: &Txn) -> Result<TxnResponse, StoreError> {
        let response: TxnResponseJson =
            self.call_once(CallKind::Write, "kv/txn", &txn_body(txn)).await?;
        response.into_response(txn)
    }

    /// Grants a lease of `ttl` seconds.
    pub async fn grant_lease(&self, ttl: u64) -> Result<LeaseGrant, StoreError> {
        let body = json!({ "TTL": ttl.to_string(), "ID": "0" });
        let response: LeaseResponse =
            self.call_with_retry(CallKind::Write, "lease/grant", &body).await?;
        Ok(LeaseGrant { id: response.id, ttl: response.ttl })
    }

    /// Renews a lease. Returns `None` if it has expired.
    pub async fn renew_lease(&self, id: u64) -> Result<Option<LeaseGrant>, StoreError> {
        let body = json!({ "ID": id.to_string() });
        let response: StreamMessage<LeaseResponse> =
            self.call_with_retry(CallKind::Write, "lease/keepalive", &body).await?;
        match response {
            StreamMessage { result: Some(lease), .. } => {
                Ok((lease.ttl > 0).then_some(LeaseGrant { id: lease.id, ttl: lease.ttl }))
            }
            StreamMessage { error, .. } => {
                Err(StoreError::InvalidResponse(error.unwrap_or_default().to_string()))
            }
        }
    }

    /// Revokes a lease, which deletes its keys.
    pub async fn revoke_lease(&self, id: u64) -> Result<(), StoreError> {
        let body = json!({ "ID": id.to_string() });
        let _: serde_json::Value =
            self.call_with_retry(CallKind::Write, "lease/revoke", &body).await?;
        Ok(())
    }

    /// Returns the numbers of calls since the start.
    pub fn call_counts(&self) -> CallCounts {
        let count = |i: usize| self.inner.counts[i].load(Ordering::Relaxed);
        CallCounts { reads: count(0), writes: count(1), watches: count(2), failed: count(3) }
    }

    /// Returns the delay before the next retry.
    pub(crate) fn next_delay(&self, backoff: &mut Backoff) -> Duration {
        let mut rng = self.inner.rng.lock().unwrap_or_else(PoisonError::into_inner);
        backoff.next_delay(&mut rng).into()
    }

    /// Sends a call, and retries it after transient errors if it is a read or certainly had no effect.
    async fn call_with_retry<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let mut backoff = new_backoff();
        let mut attempts = 1;
        loop {
            let error = match self.call_once(kind, path, body).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let repeatable = matches!(kind, CallKind::Read) || error.effect() == WriteEffect::None;
            if !repeatable || !error.is_transient() || attempts >= self.inner.settings.max_attempts
            {
                return Err(error);
            }
            attempts += 1;
            tokio::time::sleep(self.next_delay(&mut backoff)).await;
        }
    }

    /// Sends a call and decodes its response.
    async fn call_once<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let timeout = self.inner.settings.timeout.into();
        let exchange =
            async {
                let bytes =
                    self.send(kind, path, body).await?.bytes().await.map_err(|error| {
                        StoreError::ResponseLost(error.without_url().to_string())
                    })?;
                serde_json::from_slice(&bytes)
                    .map_err(|error| StoreError::InvalidResponse(error.to_string()))
            };
        self.reserve(kind).await?;
        let result = tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(StoreError::ResponseLost("timed out".to_owned())));
        if result.is_err() {
            self.record_failure();
        }
        result
    }

    /// Waits until the rate limit allows the call. Fails if that takes longer than the timeout.
    pub(crate) async fn reserve(&self, kind: CallKind) -> Result<(), StoreError> {
        let bucket = match kind {
            CallKind::Read | CallKind::Watch => &self.inner.read_bucket,
            CallKind::Write => &self.inner.write_bucket,
        };
        let wait = bucket
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reserve(Instant::now(), self.inner.settings.timeout.into())
            .ok_or(StoreError::RateLimited)?;
        tokio::time::sleep(wait).await;
        Ok(())
    }

    /// Sends a call and returns the response before its body is read. Fails on an HTTP error status.
    pub(crate) async fn send(
        &self,
        kind: CallKind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<reqwest::Response, StoreError> {
        let inner = &self.inner;
        let index = inner.endpoint.load(Ordering::Relaxed) % inner.settings.endpoints.len();
        let url = format!("{}/v3/{path}", inner.settings.endpoints[index]);
        inner.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
        let response = inner.http.post(url).json(body).send().await.map_err(classify_error)?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = response.text().await.unwrap_or_default();
        Err(classify_status(status, text.chars().take(ERROR_TEXT_CHARS_MAX).collect()))
    }

    /// Counts a failed call and switches to the next endpoint.
    pub(crate) fn record_failure(&self) {
        self.inner.counts[3].fetch_add(1, Ordering::Relaxed);
        self.inner.endpoint.fetch_add(1, Ordering::Relaxed);
    }
}

pub(crate) fn new_backoff() -> Backoff {
    Backoff::new(BACKOFF_MIN, BACKOFF_MAX)
}

/// A call is only known not to have been sent if the connection or the request could not be made.
fn classify_error(error: reqwest::Error) -> StoreError {
    let error = error.without_url();
    if error.is_connect() || error.is_builder() {
        StoreError::Connect(error.to_string())
    } else {
        StoreError::ResponseLost(error.to_string())
    }
}

/// The gateway responds with 4xx before it executes a call. After a 5xx the call may have taken effect,
/// for example if the leader changed while the call waited for its commit.
fn classify_status(status: StatusCode, text: String) -> StoreError {
    // 408 is a timeout of the gateway, after which the call may still have taken effect.
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        StoreError::Rejected { status: status.as_u16(), text }
    } else {
        StoreError::ResponseLost(format!("HTTP {}: {text}", status.as_u16()))
    }
}
