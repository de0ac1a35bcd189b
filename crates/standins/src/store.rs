//! Stand-in for the platform's key-value store: the part of the etcd v3 JSON gateway that the
//! system uses, with fault injection for tests and the demo.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures::stream;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Largest value that the platform stores.
const VALUE_MAX_BYTES: usize = 1_000_000;
/// Most operations in a transaction; the same as etcd's default.
const TXN_MAX_OPS: usize = 128;
/// Time for which a call without a response is kept open. Callers time out earlier.
const HANG_TIME: Duration = Duration::from_secs(60);

/// Result of calls during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls get 503 immediately and have no effect.
    Refuse,
    /// Calls hang for longer than their caller waits and have no effect.
    Hang,
}

/// Counts of the calls received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Number of calls that only read.
    pub reads: u64,
    /// Number of calls that may write.
    pub writes: u64,
    /// Number of calls that opened a watch.
    pub watches: u64,
    /// Number of calls that exceeded the rate limit and got 429.
    pub rate_limited: u64,
}

/// A running stand-in that listens on a loopback port.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: tokio::task::JoinHandle<()>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.server.abort();
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    created: u64,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<Vec<u8>, Item>,
    /// Changes since the last compaction: revision, key and the new item, or `None` for a deletion.
    history: VecDeque<(u64, Vec<u8>, Option<Item>)>,
    /// Last compacted revision.
    compact_revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    delay: Duration,
    outage: Option<Outage>,
    drop_responses: u32,
    /// The next write of this key takes effect without a response, and then this outage starts.
    drop_key: Option<(Vec<u8>, Option<Outage>)>,
    /// Most calls per second.
    rate_limit: Option<u32>,
    /// Start of the current second and the calls left in it.
    rate_window: Option<(Instant, u32)>,
    calls: Calls,
    /// Number of times that all open watches were stalled.
    stall_count: u64,
}

impl Store {
    /// Starts on a free loopback port.
    pub async fn start() -> io::Result<Self> {
        Self::start_at("127.0.0.1:0").await
    }

    /// Starts on an address.
    pub async fn start_at(address: &str) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let shared = Arc::new(Shared::default());
        shared.lock().revision = 1;
        let gateway = Gateway { shared: Arc::clone(&shared) };
        let router = Router::with_path("v3/{**call}").post(gateway);
        let server = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(Self { address, shared, server })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Delays each call by this time.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Starts or ends an outage. Starting one closes all open watches.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.shared.lock().outage = outage;
        self.shared.changed.notify_waiters();
    }

    /// Makes all open watches stop sending without closing them. New watches work.
    pub fn stall_watches(&self) {
        self.shared.lock().stall_count += 1;
    }

    /// Sets the most calls per second; further calls get 429.
    pub fn set_rate_limit(&self, limit: Option<u32>) {
        self.shared.lock().rate_limit = limit;
    }

    /// Executes this many of the next writes without sending a response.
    pub fn drop_responses(&self, writes: u32) {
        self.shared.lock().drop_responses = writes;
    }

    /// Executes the next write of a key without sending a response. If an outage is given, it
    /// starts before any later call.
    pub fn drop_response_to(&self, key: &str, outage: Option<Outage>) {
        self.shared.lock().drop_key = Some((key.as_bytes().to_vec(), outage));
    }

    /// Returns the counts of the calls received.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Returns the value and the revision of a key without making a call.
    pub fn peek(&self, key: &str) -> Option<(Vec<u8>, u64)> {
        let state = self.shared.lock();
        state.items.get(key.as_bytes()).map(|item| (item.value.clone(), item.revision))
    }

    /// Returns the keys with a prefix without making a call.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix.as_bytes()));
        keys.map(|key| String::from_utf8_lossy(key).into_owned()).collect()
    }

    /// Writes or deletes a key without making a call, as another client would.
    pub fn write_directly(&self, key: &str, value: Option<&[u8]>) {
        let mut state = self.shared.lock();
        state.revision += 1;
        match value {
            Some(value) => state.write(key.as_bytes(), value.to_vec(), 0),
            None => state.remove(key.as_bytes()),
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Expires a lease as if its time to live had passed.
    pub fn expire_lease(&self, lease: u64) {
        self.shared.lock().revoke(lease);
        self.shared.changed.notify_waiters();
    }

    /// Discards the history of changes, so that watches from an earlier revision fail.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.compact_revision = state.revision;
        state.history.clear();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, key: &[u8], value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, created, revision, lease };
        self.history.push_back((revision, key.to_vec(), Some(item.clone())));
        self.items.insert(key.to_vec(), item);
    }

    fn remove(&mut self, key: &[u8]) {
        if self.items.remove(key).is_some() {
            self.history.push_back((self.revision, key.to_vec(), None));
        }
    }

    fn revoke(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| lease != 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        known
    }

    fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<_> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }

    fn exceeds_rate_limit(&mut self, now: Instant) -> bool {
        let Some(limit) = self.rate_limit else { return false };
        let (start, left) = self.rate_window.unwrap_or((now, limit));
        let (start, left) = if now.duration_since(start) >= Duration::from_secs(1) {
            (now, limit)
        } else {
            (start, left)
        };
        self.rate_window = Some((start, left.saturating_sub(1)));
        left == 0
    }

    fn header(&self) -> Value {
        json!({ "cluster_id": "1", "member_id": "1", "revision": self.revision.to_string() })
    }

    fn range(&self, body: &Value) -> Result<Value, GatewayError> {
        let key = bytes_at(body, "key")?;
        let found: Vec<Value> = match body.get("range_end") {
            None => {
                self.items.get_key_value(&key).map(|(k, i)| key_value(k, i)).into_iter().collect()
            }
            Some(_) => {
                let end = bytes_at(body, "range_end")?;
                let open = end == [0];
                let items = self.items.range(key..).take_while(|(k, _)| open || **k < end);
                items.map(|(k, i)| key_value(k, i)).collect()
            }
        };
        let mut found = found;
        if body.get("keys_only").and_then(Value::as_bool).unwrap_or_default() {
            found.iter_mut().for_each(|pair| pair["value"] = json!(""));
        }
        let count = found.len().to_string();
        Ok(json!({ "header": self.header(), "kvs": found, "count": count }))
    }

    fn check_put(&self, body: &Value) -> Result<(), GatewayError> {
        let lease = number_at(body, "lease")?;
        if bytes_at(body, "value")?.len() > VALUE_MAX_BYTES {
            return Err(GatewayError(StatusCode::BAD_REQUEST, "etcdserver: request is too large"));
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(GatewayError(
                StatusCode::NOT_FOUND,
                "etcdserver: requested lease not found",
            ));
        }
        Ok(())
    }

    fn put(&mut self, body: &Value) -> Result<Value, GatewayError> {
        let lease = number_at(body, "lease")?;
        self.write(&bytes_at(body, "key")?, bytes_at(body, "value")?, lease);
        Ok(json!({ "header": self.header() }))
    }

    fn txn(&mut self, body: &Value) -> Result<Value, GatewayError> {
        let list = |name: &str| body.get(name).and_then(Value::as_array).cloned();
        let compare = list("compare").unwrap_or_default();
        let success = list("success").unwrap_or_default();
        let failure = list("failure").unwrap_or_default();
        if [&compare, &success, &failure].iter().any(|ops| ops.len() > TXN_MAX_OPS) {
            return Err(GatewayError(StatusCode::BAD_REQUEST, "etcdserver: too many operations"));
        }
        let mut matched = true;
        for condition in &compare {
            matched &= self.compare_holds(condition)?;
        }
        let ops = if matched { success } else { failure };
        let mut keys = Vec::new();
        for put in ops.iter().filter_map(|op| op.get("request_put")) {
            self.check_put(put)?;
            keys.push(bytes_at(put, "key")?);
        }
        keys.sort();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(GatewayError(
                StatusCode::BAD_REQUEST,
                "etcdserver: duplicate key given in txn",
            ));
        }
        if ops.iter().any(|op| op.get("request_range").is_none()) {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for op in &ops {
            responses.push(self.apply_op(op)?);
        }
        Ok(json!({ "header": self.header(), "succeeded": matched, "responses": responses }))
    }

    fn compare_holds(&self, condition: &Value) -> Result<bool, GatewayError> {
        let item = self.items.get(&bytes_at(condition, "key")?);
        match condition.get("target").and_then(Value::as_str) {
            Some("CREATE") => {
                let wanted = number_at(condition, "create_revision")?;
                Ok(item.map_or(0, |item| item.created) == wanted)
            }
            Some("MOD") => {
                let wanted = number_at(condition, "mod_revision")?;
                Ok(item.map_or(0, |item| item.revision) == wanted)
            }
            _ => Err(GatewayError(StatusCode::NOT_IMPLEMENTED, "stand-in: unknown compare target")),
        }
    }

    fn apply_op(&mut self, op: &Value) -> Result<Value, GatewayError> {
        if let Some(put) = op.get("request_put") {
            Ok(json!({ "response_put": self.put(put)? }))
        } else if let Some(range) = op.get("request_range") {
            Ok(json!({ "response_range": self.range(range)? }))
        } else if let Some(delete) = op.get("request_delete_range") {
            self.remove(&bytes_at(delete, "key")?);
            Ok(json!({ "response_delete_range": { "header": self.header() } }))
        } else {
            Err(GatewayError(StatusCode::NOT_IMPLEMENTED, "stand-in: unknown operation"))
        }
    }

    fn grant(&mut self, body: &Value, now: Instant) -> Result<Value, GatewayError> {
        let ttl = number_at(body, "TTL")?;
        let mut id = number_at(body, "ID")?;
        if id == 0 {
            self.next_lease += 1;
            id = 0x7000_0000_0000 + self.next_lease;
        }
        let length = Duration::from_secs(ttl);
        if self.leases.insert(id, (length, now + length)).is_some() {
            return Err(GatewayError(
                StatusCode::PRECONDITION_FAILED,
                "etcdserver: lease already exists",
            ));
        }
        Ok(json!({ "header": self.header(), "ID": id.to_string(), "TTL": ttl.to_string() }))
    }

    fn keepalive(&mut self, body: &Value, now: Instant) -> Result<Value, GatewayError> {
        let id = number_at(body, "ID")?;
        let mut result = json!({ "header": self.header(), "ID": id.to_string() });
        if let Some((length, end)) = self.leases.get_mut(&id) {
            *end = now + *length;
            result["TTL"] = json!(length.as_secs().to_string());
        }
        Ok(json!({ "result": result }))
    }
}

#[derive(Clone, Copy, Debug)]
struct GatewayError(StatusCode, &'static str);

fn bytes_at(body: &Value, name: &str) -> Result<Vec<u8>, GatewayError> {
    let text = body.get(name).and_then(Value::as_str).unwrap_or_default();
    STANDARD.decode(text).map_err(|_| GatewayError(StatusCode::BAD_REQUEST, "invalid base64"))
}

fn number_at(body: &Value, name: &str) -> Result<u64, GatewayError> {
    match body.get(name) {
        None => Ok(0),
        Some(Value::String(text)) => {
            text.parse().map_err(|_| GatewayError(StatusCode::BAD_REQUEST, "invalid number"))
        }
        Some(value) => {
            value.as_u64().ok_or(GatewayError(StatusCode::BAD_REQUEST, "invalid number"))
        }
    }
}

fn key_value(key: &[u8], item: &Item) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&item.value),
        "create_revision": item.created.to_string(),
        "mod_revision": item.revision.to_string(),
        "version": "1",
        "lease": item.lease.to_string(),
    })
}

struct Gateway {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Gateway {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let call: String = req.param("call").unwrap_or_default();
        let body = match req.payload_with_max_size(4 << 20).await {
            Ok(bytes) => serde_json::from_slice(bytes).unwrap_or(Value::Null),
            Err(_) => Value::Null,
        };
        let delay = {
            let mut state = self.shared.lock();
            match call.as_str() {
                "kv/range" => state.calls.reads += 1,
                "kv/txn" if !writes(&body) => state.calls.reads += 1,
                "watch" => state.calls.watches += 1,
                _ => state.calls.writes += 1,
            }
            state.delay
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let outage = self.shared.lock().outage;
        match outage {
            Some(Outage::Refuse) => {
                return send_error(
                    res,
                    GatewayError(StatusCode::SERVICE_UNAVAILABLE, "etcdserver: no leader"),
                );
            }
            Some(Outage::Hang) => {
                tokio::time::sleep(HANG_TIME).await;
                return send_error(
                    res,
                    GatewayError(StatusCode::SERVICE_UNAVAILABLE, "etcdserver: no leader"),
                );
            }
            None => {}
        }
        if call == "watch" {
            return watch(&self.shared, &body, res);
        }
        let (answer, lost) = self.shared.execute(&call, &body);
        self.shared.changed.notify_waiters();
        if lost {
            tokio::time::sleep(HANG_TIME).await;
            return send_error(res, GatewayError(StatusCode::GATEWAY_TIMEOUT, "answer lost"));
        }
        match answer {
            Ok(answer) => res.render(Json(answer)),
            Err(error) => send_error(res, error),
        }
    }
}

impl Shared {
    /// Executes a call and returns its result and whether the response must be dropped.
    fn execute(&self, call: &str, body: &Value) -> (Result<Value, GatewayError>, bool) {
        let mut state = self.lock();
        let now = Instant::now();
        state.expire_leases(now);
        if state.exceeds_rate_limit(now) {
            state.calls.rate_limited += 1;
            return (Err(GatewayError(StatusCode::TOO_MANY_REQUESTS, "too many requests")), false);
        }
        let before = state.revision;
        let answer = match call {
            "kv/range" => return (state.range(body), false),
            "kv/put" => state.check_put(body).and_then(|()| {
                state.revision += 1;
                state.put(body)
            }),
            "kv/txn" => state.txn(body),
            "lease/grant" => state.grant(body, now),
            "lease/keepalive" => state.keepalive(body, now),
            "lease/revoke" => {
                let lease = number_at(body, "ID").unwrap_or_default();
                if state.revoke(lease) {
                    Ok(json!({ "header": state.header() }))
                } else {
                    Err(GatewayError(
                        StatusCode::NOT_FOUND,
                        "etcdserver: requested lease not found",
                    ))
                }
            }
            _ => Err(GatewayError(StatusCode::NOT_FOUND, "Not Found")),
        };
        let drops_key = state.drop_key.as_ref().is_some_and(|(key, _)| {
            let found = state.items.get(key);
            found.is_some_and(|item| item.revision == state.revision) && state.revision > before
        });
        if drops_key {
            state.outage = state.drop_key.take().and_then(|(_, outage)| outage);
            return (answer, true);
        }
        let lost = state.drop_responses > 0 && answer.is_ok() && (call != "kv/txn" || writes(body));
        if lost {
            state.drop_responses -= 1;
        }
        (answer, lost)
    }
}

/// Returns whether a transaction may write.
fn writes(body: &Value) -> bool {
    ["success", "failure"].iter().any(|name| {
        let ops = body.get(*name).and_then(Value::as_array);
        ops.is_some_and(|ops| ops.iter().any(|op| op.get("request_range").is_none()))
    })
}

fn send_error(res: &mut Response, error: GatewayError) {
    res.status_code(error.0);
    res.render(Json(json!({ "error": error.1, "message": error.1, "code": 0 })));
}

/// Key range of a watch.
struct WatchRange {
    key: Vec<u8>,
    end: Option<Vec<u8>>,
}

impl WatchRange {
    fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            None => key == self.key,
            Some(end) => key >= self.key.as_slice() && (key < end.as_slice() || end == &[0]),
        }
    }
}

/// Streams one JSON object per line: first the current revision, then the changes in order.
fn watch(shared: &Arc<Shared>, body: &Value, res: &mut Response) {
    let request = body.get("create_request").cloned().unwrap_or_default();
    let range = bytes_at(&request, "key").and_then(|key| {
        let end = match request.get("range_end") {
            Some(_) => Some(bytes_at(&request, "range_end")?),
            None => None,
        };
        Ok((key, end, number_at(&request, "start_revision")?))
    });
    let (key, end, from) = match range {
        Ok(range) => range,
        Err(error) => return send_error(res, error),
    };
    let (next, first, stall_count) = {
        let state = shared.lock();
        let next = if from == 0 { state.revision + 1 } else { from };
        let mut result = json!({ "header": state.header(), "watch_id": "0", "created": true });
        if next <= state.compact_revision {
            result["canceled"] = json!(true);
            result["compact_revision"] = json!(state.compact_revision.to_string());
        }
        (next, json!({ "result": result }), state.stall_count)
    };
    let start = (Arc::clone(shared), next, Some(first), WatchRange { key, end });
    let lines = stream::unfold(start, move |(shared, mut next, first, range)| async move {
        if let Some(first) = first {
            return Some((Ok::<_, io::Error>(json_line(&first)), (shared, next, None, range)));
        }
        loop {
            let notifier = Arc::clone(&shared);
            let changed = notifier.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if shared.lock().stall_count != stall_count {
                std::future::pending::<()>().await;
            }
            if let Some(element) = shared.next_changes(&mut next, &range)? {
                return Some((Ok(json_line(&element)), (shared, next, None, range)));
            }
            // A lease expires without a notification, so check regularly.
            let _ = tokio::time::timeout(Duration::from_millis(500), changed).await;
        }
    });
    res.stream(lines);
}

fn json_line(element: &Value) -> Vec<u8> {
    let mut bytes = element.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

impl Shared {
    /// Returns the changes from revision `next` on, if any, and advances `next`. The outer `None`
    /// ends the watch.
    fn next_changes(&self, next: &mut u64, range: &WatchRange) -> Option<Option<Value>> {
        let mut state = self.lock();
        if state.outage.is_some() {
            return None;
        }
        state.expire_leases(Instant::now());
        let events: Vec<Value> = state
            .history
            .iter()
            .filter(|(revision, key, _)| *revision >= *next && range.contains(key))
            .map(|(revision, key, item)| match item {
                Some(item) => json!({ "kv": key_value(key, item) }),
                None => json!({
                    "type": "DELETE",
                    "kv": { "key": STANDARD.encode(key), "mod_revision": revision.to_string() },
                }),
            })
            .collect();
        *next = state.revision + 1;
        if events.is_empty() {
            return Some(None);
        }
        let header = state.header();
        Some(Some(json!({ "result": { "header": header, "events": events } })))
    }
}
