//! Stand-in for a model engine: streamed completions, load reports, cache events and orders.

use crate::runs::Runs;
use crate::socket::listen;
use futures::{Stream, stream};
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep};

/// Largest body of a completion request.
const BODY_MAX_BYTES: usize = 16 << 20;
/// Tokens of a response if the request has no `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;
/// Most prefixes in the cache.
const MAX_CACHED_PREFIXES: usize = 64;
/// Length of the prefix of a prompt that the cache stores, in bytes.
const PREFIX_BYTES: usize = 64;

/// Delays, features and faults of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Behaviour {
    /// Time to generate a token.
    pub token_delay: Duration,
    /// Minimum time between updates of the load report.
    pub report_lag: Duration,
    /// Whether the engine compares fencing numbers and refuses orders with an outdated one.
    pub fenced: bool,
    /// Time to apply an order.
    pub order_delay: Duration,
    /// Responds to completions with 429 without running them.
    pub refuse: bool,
    /// Sends an error event instead of the last token.
    pub fail: bool,
    /// Pauses responses before this token until the behaviour changes.
    pub hold_at: Option<u32>,
    /// Closes the connection instead of sending this token.
    pub break_at: Option<u32>,
    /// Responds to health checks with 503.
    pub unhealthy: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            token_delay: Duration::from_millis(2),
            report_lag: Duration::ZERO,
            fenced: true,
            order_delay: Duration::ZERO,
            refuse: false,
            fail: false,
            hold_at: None,
            break_at: None,
            unhealthy: false,
        }
    }
}

/// A running stand-in that listens on a loopback port.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: tokio::task::JoinHandle<()>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.server.abort();
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    slots: Arc<Semaphore>,
    slot_count: u32,
    /// Notified when a cache event was added.
    cache_changed: Arc<Notify>,
    /// Notified when the behaviour changed.
    behaviour_changed: Notify,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    runs: Runs,
    running: u32,
    waiting: u32,
    /// The current load report and the time when it was made.
    reported: Option<(Instant, Value)>,
    fence: u64,
    orders: Vec<Value>,
    cache: VecDeque<u64>,
    /// Number of the first event in `events`.
    first_event: u64,
    events: Vec<String>,
    /// Event numbers to skip before the next event.
    skipped: u64,
}

#[derive(Deserialize)]
struct Prompt {
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    resume_from: u32,
}

#[derive(Deserialize)]
struct OrderRequest {
    fence: u64,
    order: Value,
}

impl Engine {
    /// Starts on a free loopback port with at most `slot_count` concurrent streams.
    pub async fn start(slot_count: u32) -> io::Result<Self> {
        let (address, acceptor) = listen()?;
        let state = State {
            behaviour: Behaviour::default(),
            runs: Runs::default(),
            running: 0,
            waiting: 0,
            reported: None,
            fence: 0,
            orders: Vec::new(),
            cache: VecDeque::new(),
            first_event: 0,
            events: Vec::new(),
            skipped: 0,
        };
        let slots = Arc::new(Semaphore::new(slot_count as usize));
        let cache_changed = Arc::new(Notify::new());
        let behaviour_changed = Notify::new();
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            slots,
            slot_count,
            cache_changed,
            behaviour_changed,
        });
        let router = Router::new()
            .push(Router::with_path("v1/completions").post(Completions(Arc::clone(&shared))))
            .push(Router::with_path("load").get(LoadReport(Arc::clone(&shared))))
            .push(Router::with_path("cache/events").get(CacheEvents(Arc::clone(&shared))))
            .push(Router::with_path("orders").post(ApplyOrder(Arc::clone(&shared))))
            .push(Router::with_path("health").get(Health(Arc::clone(&shared))));
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

    /// Changes the behaviour, also for responses in progress.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.lock().behaviour);
        self.shared.behaviour_changed.notify_waiters();
    }

    /// Returns the counts of the calls that ran.
    pub fn runs(&self) -> Runs {
        self.shared.lock().runs.clone()
    }

    /// Returns the orders that were applied.
    pub fn orders(&self) -> Vec<Value> {
        self.shared.lock().orders.clone()
    }

    /// Skips this many numbers before the next cache event, which makes a gap in the feed.
    pub fn skip_event_ids(&self, count: u64) {
        self.shared.lock().skipped += count;
    }
}

/// Returns the complete response to a prompt.
pub fn completion_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Returns token `index` of the response to a prompt.
pub fn token_text(prompt: &str, index: u32) -> String {
    format!("{:06x} ", digest(prompt.as_bytes(), u64::from(index)) & 0xff_ffff)
}

/// Computes a seeded FNV-1a hash, which is the same on every machine.
fn digest(bytes: &[u8], seed: u64) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let start = seed.to_le_bytes().into_iter().fold(0xcbf2_9ce4_8422_2325, mix);
    bytes.iter().copied().fold(start, mix)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the behaviour for a token, after waiting while the response is paused before it.
    async fn behaviour_at(&self, index: u32) -> Behaviour {
        loop {
            let behaviour_changed = self.behaviour_changed.notified();
            let behaviour = self.lock().behaviour;
            if behaviour.hold_at != Some(index) {
                return behaviour;
            }
            behaviour_changed.await;
        }
    }

    fn store_prefix(&self, prompt: &str) {
        let prefix = digest(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)], 0);
        let mut state = self.lock();
        if state.cache.contains(&prefix) {
            return;
        }
        if state.cache.len() == MAX_CACHED_PREFIXES
            && let Some(oldest) = state.cache.pop_front()
        {
            state.record_event(&json!({ "evicted": oldest }));
        }
        state.cache.push_back(prefix);
        state.record_event(&json!({ "stored": prefix }));
        drop(state);
        self.cache_changed.notify_waiters();
    }
}

impl State {
    fn record_event(&mut self, change: &Value) {
        if self.skipped > 0 {
            self.first_event += self.skipped + self.events.len() as u64;
            self.skipped = 0;
            self.events.clear();
        }
        self.events.push(change.to_string());
    }

    fn load_report(&mut self, slot_count: u32) -> Value {
        let now = Instant::now();
        let lag = self.behaviour.report_lag;
        match &self.reported {
            Some((since, shown)) if now - *since < lag => {
                let mut shown = shown.clone();
                shown["age"] = json!((now - *since).as_millis() as u64);
                shown
            }
            _ => {
                let (running, waiting) = (self.running, self.waiting);
                let fresh = json!({
                    "running": running, "waiting": waiting, "slots": slot_count, "age": 0
                });
                self.reported = Some((now, fresh.clone()));
                fresh
            }
        }
    }
}

/// Counts a response as waiting, then as running, until it is dropped.
struct Job {
    shared: Arc<Shared>,
    permit: Option<OwnedSemaphorePermit>,
    finished: bool,
}

impl Job {
    async fn start(shared: &Arc<Shared>) -> Self {
        shared.lock().waiting += 1;
        let mut job = Self { shared: Arc::clone(shared), permit: None, finished: false };
        let permit = Arc::clone(&shared.slots).acquire_owned().await.ok();
        let mut state = shared.lock();
        state.waiting -= 1;
        state.running += 1;
        job.permit = permit;
        drop(state);
        job
    }

    fn finish(&mut self) {
        self.finished = true;
        self.shared.lock().runs.finished += 1;
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if self.permit.is_some() {
            state.running -= 1;
        } else {
            state.waiting -= 1;
        }
        if !self.finished {
            state.runs.cancelled += 1;
        }
    }
}

struct Completions(Arc<Shared>);

#[handler]
impl Completions {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let shared = &self.0;
        if shared.lock().behaviour.refuse {
            response.status_code(StatusCode::TOO_MANY_REQUESTS);
            return;
        }
        let Ok(prompt) = request.parse_json_with_max_size::<Prompt>(BODY_MAX_BYTES).await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let job = Job::start(shared).await;
        shared.lock().runs.record(request);
        shared.store_prefix(&prompt.prompt);
        event_stream(response);
        response.stream(generate(job, prompt));
    }
}

enum Step {
    Token(u32),
    Done,
    End,
}

fn generate(job: Job, prompt: Prompt) -> impl Stream<Item = io::Result<String>> {
    let tokens = prompt.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let first = Step::Token(prompt.resume_from);
    stream::unfold((job, prompt, first), move |(mut job, prompt, step)| async move {
        match step {
            Step::Token(index) if index < tokens => {
                let behaviour = job.shared.behaviour_at(index).await;
                sleep(behaviour.token_delay).await;
                if behaviour.break_at == Some(index) {
                    let error = io::Error::other("simulated connection failure");
                    return Some((Err(error), (job, prompt, Step::End)));
                }
                if behaviour.fail && index + 1 == tokens {
                    job.finish();
                    let event = json!({ "error": { "message": "told to fail" } });
                    return Some((Ok(format!("data: {event}\n\n")), (job, prompt, Step::End)));
                }
                let text = token_text(&prompt.prompt, index);
                let event = json!({
                    "object": "text_completion",
                    "choices": [{ "index": 0, "text": text, "finish_reason": null }],
                    "token_index": index,
                });
                Some((Ok(format!("data: {event}\n\n")), (job, prompt, Step::Token(index + 1))))
            }
            Step::Token(_) => {
                job.finish();
                let event = json!({
                    "object": "text_completion",
                    "choices": [{ "index": 0, "text": "", "finish_reason": "stop" }],
                });
                Some((Ok(format!("data: {event}\n\n")), (job, prompt, Step::Done)))
            }
            Step::Done => Some((Ok("data: [DONE]\n\n".to_owned()), (job, prompt, Step::End))),
            Step::End => None,
        }
    })
}

struct LoadReport(Arc<Shared>);

#[handler]
impl LoadReport {
    async fn handle(&self, response: &mut Response) {
        let load = self.0.lock().load_report(self.0.slot_count);
        response.render(Json(load));
    }
}

struct CacheEvents(Arc<Shared>);

#[handler]
impl CacheEvents {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let shared = Arc::clone(&self.0);
        let next = match request.header::<u64>("last-event-id") {
            Some(last) => last + 1,
            None => {
                let state = shared.lock();
                state.first_event + state.events.len() as u64
            }
        };
        event_stream(response);
        response.stream(stream::unfold((shared, next), |(shared, next)| async move {
            loop {
                let cache_changed = Arc::clone(&shared.cache_changed).notified_owned();
                let found = {
                    let state = shared.lock();
                    // Skipped numbers have no events, and earlier events were discarded.
                    let number = next.max(state.first_event);
                    state
                        .events
                        .get((number - state.first_event) as usize)
                        .map(|e| (number, e.clone()))
                };
                if let Some((number, event)) = found {
                    let text = format!("id: {number}\ndata: {event}\n\n");
                    return Some((Ok::<_, io::Error>(text), (shared, number + 1)));
                }
                cache_changed.await;
            }
        }));
    }
}

struct ApplyOrder(Arc<Shared>);

#[handler]
impl ApplyOrder {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Ok(OrderRequest { fence, order }) = request.parse_json().await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let delay = self.0.lock().behaviour.order_delay;
        sleep(delay).await;
        let mut state = self.0.lock();
        if !state.behaviour.fenced {
            state.orders.push(order);
            response.render(Json(json!({})));
        } else if fence < state.fence {
            response.status_code(StatusCode::CONFLICT);
            response.render(Json(json!({ "fence": state.fence })));
        } else {
            state.fence = fence;
            state.orders.push(order);
            response.render(Json(json!({ "fence": fence })));
        }
    }
}

struct Health(Arc<Shared>);

#[handler]
impl Health {
    async fn handle(&self, response: &mut Response) {
        if self.0.lock().behaviour.unhealthy {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        } else {
            response.render(Json(json!({})));
        }
    }
}

fn event_stream(response: &mut Response) {
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
}
