//! Sidecar daemon: accepts attempts from entries and runs them on one backend server.
//!
//! A mutex guards the [`Sidecar`] state machine. Its actions are carried out in order while the
//! mutex is held; calls to the backend server and messages to entries run in separate tasks.

use crate::spread::{BundleSync, BundleSyncConfig};
use bytes::{Bytes, BytesMut};
use damaskweir_core::epoch::EpochSettings;
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Sidecar, SidecarAction, SidecarSettings};
use damaskweir_engines::{Engine, EngineError, EngineSettings};
use damaskweir_services::{Service, ServiceError, ServiceSettings};
use damaskweir_wire::{
    AttemptMessage, Connection, DispatchId, ForbidReply, Keys, Limits, Listener, LocalNode,
    Payload, Peer, PeerId, RejectedConnection, Reply, Request, WireError,
};
use slog::{FnValue, Logger, debug, info, o, warn};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Number of consecutive failed health checks after which the backend server is considered down.
const FAILURE_THRESHOLD: u32 = 2;
/// Retry hint for attempts that the backend server refuses without giving one.
const DEFAULT_RETRY_HINT: Span = Span::from_millis(100);
/// Bytes reserved in a frame for everything but the answer: the report and the length fields.
const FRAME_OVERHEAD: usize = 1 << 10;
/// Maximum time that a dispatch waits until its bundle version is active. It is then run anyway,
/// since it carries everything that its attempt needs.
const VERSION_WAIT_MAX: Duration = Duration::from_millis(500);
/// Upper bound of the time until a deadline. An `Instant` can't be arbitrarily far in the future,
/// and longer deadlines have no practical effect.
const DEADLINE_MAX: Duration = Duration::from_secs(24 * 3600);

/// Configuration of a sidecar daemon.
#[derive(Debug)]
pub struct SidecarOptions {
    /// Id of the backend server.
    pub server: ServerId,
    /// Availability zone of the backend server.
    pub zone: AvailabilityZone,
    /// Address on which to listen for entries.
    pub listen: SocketAddr,
    /// Certificates for mutual TLS.
    pub keys: Keys,
    /// Limits of the connections to entries.
    pub wire: Limits,
    /// How to reach the backend server.
    pub backend: Backend,
    /// Settings of the sidecar's state machine.
    pub core: SidecarSettings,
    /// Interval at which the backend server's health and load are checked.
    pub check_interval: Duration,
    /// Maximum size of an answer in bytes. Reduced if necessary so that an answer fits into a
    /// frame.
    pub answer_limit: usize,
    /// Maximum total size in bytes of the retained answers of non-idempotent attempts. Above it,
    /// the oldest answers are discarded; the outcomes of their attempts are still known.
    pub retained_bytes: usize,
    /// Time after which a drain ends even if attempts are still in progress.
    pub drain_limit: Duration,
}

impl SidecarOptions {
    /// Creates options with default limits, listening on any free port of the loopback interface.
    pub fn new(server: ServerId, zone: AvailabilityZone, keys: Keys, backend: Backend) -> Self {
        Self {
            server,
            zone,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            keys,
            wire: Limits::default(),
            backend,
            core: SidecarSettings::default(),
            check_interval: Duration::from_millis(500),
            answer_limit: 8 << 20,
            retained_bytes: 256 << 20,
            drain_limit: Duration::from_secs(90),
        }
    }
}

/// How to reach the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Backend {
    /// A model engine that generates tokens.
    Engine(EngineSettings),
    /// An HTTP service without streaming.
    Service(ServiceSettings),
}

/// Error starting a sidecar.
#[derive(Debug, thiserror::Error)]
pub enum SidecarError {
    /// The listening socket can't be opened, or the certificates are not usable.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The engine settings are not usable.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// The service settings are not usable.
    #[error(transparent)]
    Service(#[from] ServiceError),
    /// The operating system provided no random numbers.
    #[error("the operating system provided no random numbers: {0}")]
    Random(getrandom::Error),
}

/// Event counts since the daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SidecarCounts {
    /// Connections that were rejected.
    pub rejected: u64,
    /// Attempts that were started on the backend server.
    pub started: u64,
    /// Attempts that were refused, either on arrival or after they were accepted.
    pub refused: u64,
    /// Attempts that ended with a complete answer.
    pub finished: u64,
    /// Attempts that failed or were aborted.
    pub failed: u64,
}

#[derive(Debug, Default)]
struct Counters {
    rejected: AtomicU64,
    started: AtomicU64,
    refused: AtomicU64,
    finished: AtomicU64,
    failed: AtomicU64,
}

/// A running sidecar. Dropping it stops its tasks without draining.
#[derive(Debug)]
pub struct SidecarDaemon {
    shared: Arc<Shared>,
    address: SocketAddr,
    drain_limit: Duration,
}

/// Runs a sidecar until `stop` completes, then drains it.
pub async fn run_sidecar(
    options: SidecarOptions,
    log: Logger,
    stop: impl Future<Output = ()>,
) -> Result<(), SidecarError> {
    let daemon = SidecarDaemon::start(options, log).await?;
    stop.await;
    daemon.drain().await;
    Ok(())
}

impl SidecarDaemon {
    /// Starts a sidecar on the current tokio runtime. It accepts work once the backend server is
    /// healthy.
    pub async fn start(options: SidecarOptions, log: Logger) -> Result<Self, SidecarError> {
        Self::start_with_sync(options, None, log).await
    }

    /// Starts a sidecar that receives bundles from its peers if `sync` is set. It then accepts
    /// work only after it has received the current bundle.
    pub async fn start_with_sync(
        options: SidecarOptions,
        sync: Option<BundleSyncConfig>,
        log: Logger,
    ) -> Result<Self, SidecarError> {
        let incarnation = Incarnation(getrandom::u64().map_err(SidecarError::Random)?);
        let server = options.server.clone();
        let sync = sync
            .map(|setup| setup.build(incarnation, EpochSettings::SIDE, None, &log))
            .transpose()
            .map_err(SidecarError::Random)?;
        let log = log.new(o!("server" => options.server.to_string()));
        let local = LocalNode::new(PeerId::Sidecar(options.server), options.zone, incarnation);
        let local = match &sync {
            Some(sync) => sync.attach(local),
            None => local,
        };
        let answer_limit =
            options.answer_limit.min(options.wire.max_frame.saturating_sub(FRAME_OVERHEAD));
        let client = match options.backend {
            Backend::Engine(settings) => Client::Engine(Engine::new(settings)?),
            Backend::Service(settings) => Client::Service(Service::new(ServiceSettings {
                response_limit: answer_limit,
                ..settings
            })?),
        };
        let mut sidecar = Sidecar::new(incarnation, options.core);
        let healthy = client.healthy().await && sync.is_none();
        sidecar.set_down(Time(0), !healthy);
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                sidecar,
                jobs: HashMap::new(),
                retained: RetainedAnswers::new(options.retained_bytes, options.core.retention),
                timer_due: None,
            }),
            start: Instant::now(),
            client,
            sync,
            local: local.clone(),
            answer_limit,
            timer: Notify::new(),
            check: Notify::new(),
            drained: watch::Sender::new(false),
            counters: Counters::default(),
            streams: TaskTracker::new(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            log,
        });
        let reporter = Arc::clone(&shared);
        let report = move || {
            let report = reporter.lock().sidecar.report(reporter.now());
            // Connections learn of a new bundle before the state machine does. A report that
            // announces it must not contain the old version.
            Report { version: report.version.max(reporter.local.version()), ..report }
        };
        let listener = Listener::bind(options.listen, &options.keys, local, options.wire, report)?;
        let address = listener.address();
        shared.spawn(run_timers(Arc::clone(&shared)));
        shared.spawn(run_checks(Arc::clone(&shared), options.check_interval, healthy));
        shared.tasks.spawn(accept_entries(Arc::clone(&shared), listener));
        if let Some(sync) = &shared.sync {
            shared.spawn(apply_bundles(Arc::clone(&shared), sync.clone(), server));
        }
        info!(shared.log, "sidecar started"; "address" => %address, "incarnation" => %incarnation,
            "healthy" => healthy);
        Ok(Self { shared, address, drain_limit: options.drain_limit })
    }

    /// Address on which the sidecar listens for entries.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The active bundle, if the sidecar receives bundles and has one.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.shared.sync.as_ref()?.bundles().borrow().clone()
    }

    /// What the sidecar announces to its peers about itself.
    pub fn local(&self) -> &LocalNode {
        &self.shared.local
    }

    /// Incarnation of this sidecar process.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().sidecar.incarnation()
    }

    /// Whether the sidecar accepts new work.
    pub fn accepts_work(&self) -> bool {
        !self.shared.lock().sidecar.report(self.shared.now()).draining
    }

    /// Returns the event counts since the daemon started.
    pub fn counts(&self) -> SidecarCounts {
        let counters = &self.shared.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        SidecarCounts {
            rejected: read(&counters.rejected),
            started: read(&counters.started),
            refused: read(&counters.refused),
            finished: read(&counters.finished),
            failed: read(&counters.failed),
        }
    }

    /// Sets the active bundle version and announces it to entries immediately.
    pub fn set_version(&self, version: Version) {
        self.shared.lock().sidecar.set_version(version);
        self.shared.local.set_version(version);
    }

    /// Sets the maximum number of calls that run concurrently on the backend server.
    pub fn set_slots(&self, slots: u32) {
        let mut state = self.shared.lock();
        let actions = state.sidecar.set_slots(self.shared.now(), slots);
        self.shared.carry_out(&mut state, actions);
    }

    /// Stops the sidecar gracefully: refuses new and queued attempts, waits for running ones to
    /// finish and for their results to be delivered, up to the drain limit.
    pub async fn drain(self) {
        let shared = &self.shared;
        let deadline = Instant::now() + self.drain_limit;
        let running = {
            let mut state = shared.lock();
            let actions = state.sidecar.drain();
            shared.carry_out(&mut state, actions);
            state.sidecar.running()
        };
        info!(shared.log, "drain started"; "running" => running);
        // Tells entries immediately instead of with the next heartbeat.
        shared.local.notify_peers();
        let mut drained = shared.drained.subscribe();
        let finished = timeout_at(deadline, drained.wait_for(|drained| *drained)).await.is_ok();
        shared.streams.close();
        let delivered = timeout_at(deadline, shared.streams.wait()).await.is_ok();
        let unfinished = shared.lock().sidecar.running();
        shared.abort_jobs();
        shared.stop.cancel();
        if let Some(sync) = &shared.sync {
            sync.stop();
        }
        shared.tasks.close();
        shared.tasks.wait().await;
        if finished && delivered {
            info!(shared.log, "drain ended");
        } else {
            warn!(shared.log, "drain timed out"; "running" => unfinished);
        }
    }

    /// Stops immediately, like a crash: running attempts are not finished and their outcomes are
    /// not reported.
    pub fn abort(self) {
        drop(self);
    }
}

impl Drop for SidecarDaemon {
    fn drop(&mut self) {
        self.shared.abort_jobs();
        self.shared.stop.cancel();
        if let Some(sync) = &self.shared.sync {
            sync.stop();
        }
    }
}

/// State shared by all tasks of a sidecar.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    start: Instant,
    client: Client,
    sync: Option<BundleSync>,
    local: LocalNode,
    answer_limit: usize,
    /// Wakes the timer task when a timer is due earlier than the one it waits for.
    timer: Notify,
    /// Triggers an immediate health check.
    check: Notify,
    drained: watch::Sender<bool>,
    counters: Counters,
    /// Tasks that send to entries. A drain waits for them so that all results are delivered.
    streams: TaskTracker,
    tasks: TaskTracker,
    stop: CancellationToken,
    log: Logger,
}

#[derive(Debug)]
struct State {
    sidecar: Sidecar,
    /// Queued and running attempts.
    jobs: HashMap<AttemptId, Job>,
    retained: RetainedAnswers,
    /// Time at which the timer task will wake.
    timer_due: Option<Time>,
}

/// Sends messages of one attempt to the task that writes them to the entry.
type MessageSender = mpsc::UnboundedSender<Message>;

#[derive(Debug)]
enum Message {
    Attempt(AttemptMessage),
    /// Outcome of a call that ended, and the time that the backend server took.
    Ended(Outcome, Span),
}

impl From<AttemptMessage> for Message {
    fn from(message: AttemptMessage) -> Self {
        Self::Attempt(message)
    }
}

/// A queued or running attempt.
#[derive(Debug)]
struct Job {
    /// Present until the attempt starts.
    input: Option<(Box<Dispatch>, Payload)>,
    deadline: Instant,
    messages: MessageSender,
    dispatch_id: DispatchId,
    task: Option<AbortHandle>,
}

/// Answers of non-idempotent attempts that finished, for requests that ask for them later.
#[derive(Debug)]
struct RetainedAnswers {
    answers: HashMap<AttemptId, Bytes>,
    /// Time at which each answer was added, oldest first.
    order: VecDeque<(Time, AttemptId)>,
    /// Total size of `answers`; at most `limit`.
    bytes: usize,
    limit: usize,
    retention: Span,
}

impl RetainedAnswers {
    fn new(limit: usize, retention: Span) -> Self {
        Self { answers: HashMap::new(), order: VecDeque::new(), bytes: 0, limit, retention }
    }

    fn insert(&mut self, now: Time, attempt: AttemptId, answer: Bytes) {
        self.bytes += answer.len();
        self.answers.insert(attempt, answer);
        self.order.push_back((now, attempt));
        while self
            .order
            .front()
            .is_some_and(|(at, _)| self.bytes > self.limit || now.since(*at) >= self.retention)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, attempt)) = self.order.pop_front()
            && let Some(answer) = self.answers.remove(&attempt)
        {
            self.bytes -= answer.len();
        }
    }
}

/// Client of the backend server.
#[derive(Debug)]
enum Client {
    Engine(Engine),
    Service(Service),
}

impl Client {
    async fn healthy(&self) -> bool {
        match self {
            Client::Engine(engine) => engine.healthy().await,
            Client::Service(service) => service.healthy().await,
        }
    }

    /// Number of calls queued inside the backend server, if it reports that.
    async fn queue_length(&self) -> Option<u32> {
        match self {
            Client::Engine(engine) => engine.load().await.ok().map(|load| load.waiting),
            Client::Service(service) => service.load().await.ok()?.map(|load| load.waiting),
        }
    }
}

/// Result of a call to the backend server.
#[derive(Debug)]
enum CallResult {
    /// Completed with this answer. Empty for idempotent engine calls, whose tokens were streamed.
    Finished(Bytes),
    /// Failed; it ran or may have run.
    Failed(Failure, String),
    /// Certainly did not run.
    NotRun(Refusal, String),
}

impl From<EngineError> for CallResult {
    fn from(error: EngineError) -> Self {
        let reason = error.to_string();
        match error {
            EngineError::Unreachable(_) => CallResult::NotRun(Refusal::Down, reason),
            EngineError::Refused { retry_after, .. } => {
                let retry = retry_after.unwrap_or(DEFAULT_RETRY_HINT);
                CallResult::NotRun(Refusal::Overloaded { retry }, reason)
            }
            EngineError::Failed(_) => CallResult::Failed(Failure::Backend, reason),
            EngineError::OutcomeUnknown(_) => CallResult::Failed(Failure::Interrupted, reason),
        }
    }
}

impl From<ServiceError> for CallResult {
    fn from(error: ServiceError) -> Self {
        let reason = error.to_string();
        match error {
            ServiceError::Unreachable(_) => CallResult::NotRun(Refusal::Down, reason),
            ServiceError::Refused(_) => {
                CallResult::NotRun(Refusal::Overloaded { retry: DEFAULT_RETRY_HINT }, reason)
            }
            ServiceError::Failed(_) => CallResult::Failed(Failure::Backend, reason),
            ServiceError::OutcomeUnknown(_) => CallResult::Failed(Failure::Interrupted, reason),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time(0) + Span::from(self.start.elapsed())
    }

    /// Whether the node has received the current bundle and the backend server is healthy.
    async fn is_ready(&self) -> bool {
        let caught_up = self.sync.as_ref().is_none_or(|sync| *sync.readiness().borrow());
        caught_up && self.client.healthy().await
    }

    /// Spawns a task that is cancelled when the sidecar stops.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }

    /// Returns a logger for messages about an attempt. The ids are formatted lazily, since most of
    /// these messages are filtered out.
    fn attempt_log(&self, attempt: AttemptId) -> Logger {
        self.log.new(o!(
            "request" => FnValue(move |_| attempt.request.to_string()),
            "attempt" => FnValue(move |_| attempt.to_string()),
            "stage" => attempt.stage,
        ))
    }

    fn dispatch(self: &Arc<Self>, dispatch: Box<Dispatch>, payload: Payload, reply: Reply) {
        let attempt = dispatch.attempt;
        let dispatch_id = reply.dispatch_id();
        let (messages, outgoing) = mpsc::unbounded_channel();
        self.streams.spawn(send_messages(Arc::clone(self), reply, outgoing, attempt));
        let deadline = Instant::now() + Duration::from(dispatch.remaining).min(DEADLINE_MAX);
        let mut state = self.lock();
        let actions = state.sidecar.dispatch(self.now(), &dispatch);
        if let [SidecarAction::Refuse(refused, refusal)] = actions.as_slice()
            && *refused == attempt
        {
            // Any existing job of this attempt belongs to an earlier copy of the message and must
            // not be removed.
            self.count(&self.counters.refused);
            debug!(self.attempt_log(attempt), "attempt refused"; "reason" => ?refusal);
            let _ = messages.send(AttemptMessage::Refused(*refusal).into());
            return;
        }
        let _ = messages.send(AttemptMessage::Accepted.into());
        let input = Some((dispatch, payload));
        state.jobs.insert(attempt, Job { input, deadline, messages, dispatch_id, task: None });
        self.carry_out(&mut state, actions);
    }

    fn cancel(self: &Arc<Self>, attempt: AttemptId, dispatch_id: DispatchId) {
        let mut state = self.lock();
        if state.jobs.get(&attempt).is_some_and(|job| job.dispatch_id == dispatch_id) {
            let actions = state.sidecar.cancel(self.now(), attempt);
            self.carry_out(&mut state, actions);
        }
    }

    fn forbid(self: &Arc<Self>, attempt: AttemptId, incarnation: Incarnation, reply: ForbidReply) {
        let (status, answer) = {
            let mut state = self.lock();
            let status = state.sidecar.forbid(attempt, incarnation);
            let ended = matches!(status, AttemptStatus::Ended(_));
            let answer = state.retained.answers.get(&attempt).filter(|_| ended).cloned();
            (status, answer)
        };
        info!(self.attempt_log(attempt), "attempt status requested"; "standing" => ?status,
            "answer" => answer.is_some());
        let shared = Arc::clone(self);
        self.streams.spawn(async move {
            if let Err(error) = reply.send(status, answer).await {
                debug!(shared.attempt_log(attempt), "attempt status not sent";
                    "error" => %error);
            }
        });
    }

    /// Records the result of a call to the backend server and reports it to the entry.
    fn finish_attempt(self: &Arc<Self>, attempt: AttemptId, effect: Effect, result: CallResult) {
        let log = self.attempt_log(attempt);
        let mut state = self.lock();
        let now = self.now();
        // The job is missing if the attempt was aborted in the meantime.
        let Some(job) = state.jobs.remove(&attempt) else { return };
        let (outcome, reason) = match result {
            CallResult::Finished(answer) => {
                self.count(&self.counters.finished);
                debug!(log, "attempt finished"; "bytes" => answer.len());
                if effect == Effect::Once {
                    state.retained.insert(now, attempt, answer);
                }
                (Outcome::Finished, None)
            }
            CallResult::Failed(failure, reason) => (Outcome::Failed(failure), Some(reason)),
            CallResult::NotRun(refusal, reason) => {
                warn!(log, "attempt not run by the backend server"; "refusal" => ?refusal,
                    "reason" => &reason);
                if refusal == Refusal::Down {
                    self.check.notify_one();
                }
                state.jobs.insert(attempt, job);
                let actions = state.sidecar.revert_start(now, attempt, refusal);
                self.carry_out(&mut state, actions);
                return;
            }
        };
        if let Some(reason) = reason {
            self.count(&self.counters.failed);
            warn!(log, "attempt failed"; "outcome" => ?outcome, "reason" => reason);
        }
        let served = state.sidecar.elapsed(now, attempt).unwrap_or_default();
        let actions = state.sidecar.finish(now, attempt, outcome);
        // The outcome and the answer are recorded before the entry is told, so that it finds them
        // if it asks again.
        let _ = job.messages.send(Message::Ended(outcome, served));
        self.carry_out(&mut state, actions);
    }

    fn carry_out(self: &Arc<Self>, state: &mut State, actions: Vec<SidecarAction>) {
        for action in actions {
            match action {
                SidecarAction::Start(attempt) => {
                    let Some(job) = state.jobs.get_mut(&attempt) else { continue };
                    let Some((dispatch, payload)) = job.input.take() else { continue };
                    self.count(&self.counters.started);
                    let (messages, deadline) = (job.messages.clone(), job.deadline);
                    let shared = Arc::clone(self);
                    let task = run_attempt(shared, dispatch, payload, messages, deadline);
                    job.task = Some(self.tasks.spawn(task).abort_handle());
                }
                SidecarAction::Refuse(attempt, refusal) => {
                    self.count(&self.counters.refused);
                    debug!(self.attempt_log(attempt), "accepted attempt refused";
                        "reason" => ?refusal);
                    if let Some(job) = state.jobs.remove(&attempt) {
                        let _ = job.messages.send(AttemptMessage::Refused(refusal).into());
                    }
                }
                SidecarAction::Abort(attempt) => {
                    self.count(&self.counters.failed);
                    debug!(self.attempt_log(attempt), "attempt aborted");
                    if let Some(job) = state.jobs.remove(&attempt) {
                        if let Some(task) = job.task {
                            // Dropping the call closes its connection, which cancels it at the
                            // backend server.
                            task.abort();
                        }
                        let aborted = Outcome::Failed(Failure::Aborted);
                        let _ = job.messages.send(AttemptMessage::Done(aborted).into());
                    }
                }
                SidecarAction::Drained => {
                    self.drained.send_replace(true);
                }
            }
        }
        if state.sidecar.next_tick().is_some_and(|at| state.timer_due.is_none_or(|due| at < due)) {
            self.timer.notify_one();
        }
    }

    fn set_load(self: &Arc<Self>, queued: u32) {
        let mut state = self.lock();
        let actions = state.sidecar.observe_load(self.now(), queued);
        self.carry_out(&mut state, actions);
    }

    fn set_down(self: &Arc<Self>, down: bool) {
        let mut state = self.lock();
        let actions = state.sidecar.set_down(self.now(), down);
        self.carry_out(&mut state, actions);
        drop(state);
        self.local.notify_peers();
    }

    fn abort_jobs(&self) {
        let jobs = std::mem::take(&mut self.lock().jobs);
        jobs.into_values().filter_map(|job| job.task).for_each(|task| task.abort());
    }

    fn count(&self, counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Accepts connections from entries until the sidecar stops, then closes them all.
async fn accept_entries(shared: Arc<Shared>, mut listener: Listener) {
    let stop = shared.stop.clone();
    while let Some(Some(accepted)) = stop.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok(connection) => shared.spawn(serve_entry(Arc::clone(&shared), connection)),
            Err(RejectedConnection { address, error }) => {
                shared.count(&shared.counters.rejected);
                warn!(shared.log, "connection rejected"; "address" => %address,
                    "kind" => error.kind(), "error" => %error);
            }
        }
    }
    listener.close().await;
}

/// Handles the requests on one entry's connection.
async fn serve_entry(shared: Arc<Shared>, mut connection: Connection) {
    let peer = connection.peer().clone();
    let hello = peer.hello();
    let log = shared.log.new(o!("peer" => hello.id.to_string()));
    info!(log, "entry connected"; "incarnation" => %hello.incarnation);
    let sync = shared.sync.clone();
    let entry = sync.map(|sync| ConnectedEntry::new(sync, &peer));
    while let Some(request) = connection.next().await {
        match request {
            Request::Dispatch { dispatch, payload, reply } => {
                if let Some(entry) = &entry {
                    entry.wait_for_version(&dispatch).await;
                }
                shared.dispatch(dispatch, payload, reply);
            }
            Request::Cancel(attempt, dispatch_id) => shared.cancel(attempt, dispatch_id),
            Request::Forbid { attempt, incarnation, reply } => {
                shared.forbid(attempt, incarnation, reply)
            }
        }
    }
    let error = peer.closed().await;
    info!(log, "entry disconnected"; "kind" => error.kind(), "error" => %error);
}

/// Registers a connected entry as a peer that bundles can be pulled from, until dropped.
struct ConnectedEntry {
    sync: BundleSync,
    incarnation: Incarnation,
    task: AbortHandle,
}

impl ConnectedEntry {
    fn new(sync: BundleSync, peer: &Peer) -> Self {
        sync.add_entry(peer);
        let incarnation = peer.hello().incarnation;
        let (mut versions, node) = (peer.versions(), sync.clone());
        let task = tokio::spawn(async move {
            while versions.changed().await.is_ok() {
                let version = *versions.borrow_and_update();
                node.update_peer(incarnation, version);
            }
        });
        Self { sync, incarnation, task: task.abort_handle() }
    }

    /// Waits for the bundle version of a dispatch, which the entry has, before the dispatch is
    /// processed. Later requests on the connection wait too, so that a cancel is never processed
    /// before its dispatch.
    async fn wait_for_version(&self, dispatch: &Dispatch) {
        let current = self.sync.bundles().borrow().as_ref().map(|bundle| bundle.version);
        if current.is_some_and(|current| current >= dispatch.version) {
            return;
        }
        self.sync.update_peer(self.incarnation, dispatch.version);
        let limit = Duration::from(dispatch.remaining).min(VERSION_WAIT_MAX);
        self.sync.wait_for_version(dispatch.version, limit).await;
    }
}

impl Drop for ConnectedEntry {
    fn drop(&mut self) {
        self.task.abort();
        self.sync.remove_peer(self.incarnation);
    }
}

/// Applies each new active bundle to the state machine.
async fn apply_bundles(shared: Arc<Shared>, sync: BundleSync, server: ServerId) {
    let mut bundles = sync.bundles();
    let mut ready = sync.readiness();
    loop {
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            let mut state = shared.lock();
            state.sidecar.set_version(bundle.version);
            let found = bundle.server(&server);
            let mut actions = state.sidecar.set_listed(shared.now(), found.is_some());
            if let Some(found) = found {
                actions.extend(state.sidecar.set_slots(shared.now(), found.slots));
            } else {
                info!(shared.log, "bundle does not list this server; refusing new work";
                    "version" => %bundle.version);
            }
            shared.carry_out(&mut state, actions);
        }
        // Readiness may have changed, so check without waiting for the interval.
        shared.check.notify_one();
        tokio::select! {
            changed = bundles.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            changed = ready.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Sends the messages of one attempt to its entry.
async fn send_messages(
    shared: Arc<Shared>,
    mut reply: Reply,
    mut messages: mpsc::UnboundedReceiver<Message>,
    attempt: AttemptId,
) {
    while let Some(message) = messages.recv().await {
        let (last, sent) = match message {
            Message::Attempt(message) => (message.is_last(), reply.send(message).await),
            Message::Ended(outcome, served) => (true, reply.finish(outcome, served).await),
        };
        if let Err(error) = sent {
            debug!(shared.attempt_log(attempt), "failed to send message to entry";
                "error" => %error);
            return;
        }
        if last {
            return;
        }
    }
}

/// Runs one attempt on the backend server.
async fn run_attempt(
    shared: Arc<Shared>,
    dispatch: Box<Dispatch>,
    payload: Payload,
    messages: MessageSender,
    deadline: Instant,
) {
    let (attempt, effect) = (dispatch.attempt, dispatch.effect);
    let call = async {
        match &shared.client {
            Client::Engine(engine) => {
                call_engine(engine, &dispatch, &payload, &messages, deadline, shared.answer_limit)
                    .await
            }
            Client::Service(service) => call_service(service, &dispatch, payload, &messages).await,
        }
    };
    let result = match effect {
        Effect::Idempotent => timeout_at(deadline, call).await.unwrap_or_else(|_| {
            CallResult::Failed(
                Failure::Aborted,
                "deadline exceeded while the call was running".to_owned(),
            )
        }),
        // A non-idempotent call is not cancelled at the deadline, since its outcome would be
        // unknown.
        Effect::Once => call.await,
    };
    shared.finish_attempt(attempt, effect, result);
}

async fn call_engine(
    engine: &Engine,
    dispatch: &Dispatch,
    payload: &Payload,
    messages: &MessageSender,
    deadline: Instant,
    limit: usize,
) -> CallResult {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let call = damaskweir_engines::Call {
        path: &payload.path,
        attempt: dispatch.attempt,
        key: payload.key,
        body: &payload.body,
        resume_from: dispatch.resume,
        // The engine runs calls with lower values first, so the earliest deadline has priority.
        priority: i64::try_from(remaining.as_millis()).unwrap_or(i64::MAX),
    };
    let mut completion = match engine.complete(call).await {
        Ok(completion) => completion,
        Err(error) => return error.into(),
    };
    let mut size = 0;
    let mut answer = BytesMut::new();
    loop {
        match completion.next().await {
            Ok(Some(token)) => {
                size += token.text.len();
                if size > limit {
                    let reason = format!("answer exceeds the limit of {limit} bytes");
                    return CallResult::Failed(Failure::Backend, reason);
                }
                if dispatch.effect == Effect::Once {
                    answer.extend_from_slice(token.text.as_bytes());
                }
                let data = Bytes::from(token.text);
                // Sending fails if the entry is gone. Non-idempotent calls continue without it.
                let _ = messages.send(AttemptMessage::Chunk { index: token.index, data }.into());
            }
            Ok(None) => return CallResult::Finished(answer.freeze()),
            // The engine accepted the call, so it may have run even if this error says otherwise.
            Err(error) => {
                return match CallResult::from(error) {
                    CallResult::NotRun(_, reason) => {
                        CallResult::Failed(Failure::Interrupted, reason)
                    }
                    result => result,
                };
            }
        }
    }
}

async fn call_service(
    service: &Service,
    dispatch: &Dispatch,
    payload: Payload,
    messages: &MessageSender,
) -> CallResult {
    let call = damaskweir_services::Call {
        path: &payload.path,
        attempt: dispatch.attempt,
        key: payload.key,
        effect: dispatch.effect,
        body: payload.body,
    };
    match service.call(call).await {
        Ok(answer) => {
            if dispatch.resume == 0 {
                let _ =
                    messages.send(AttemptMessage::Chunk { index: 0, data: answer.clone() }.into());
            }
            CallResult::Finished(answer)
        }
        Err(error) => error.into(),
    }
}

/// Calls the state machine whenever one of its timers is due.
async fn run_timers(shared: Arc<Shared>) {
    loop {
        let next = {
            let mut state = shared.lock();
            let actions = state.sidecar.tick(shared.now());
            shared.carry_out(&mut state, actions);
            state.timer_due = state.sidecar.next_tick();
            state.timer_due
        };
        let due = async {
            match next {
                Some(at) => sleep_until(shared.start + Duration::from(at.since(Time(0)))).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = shared.timer.notified() => {}
        }
    }
}

/// Periodically checks the backend server's health and load.
async fn run_checks(shared: Arc<Shared>, period: Duration, mut healthy: bool) {
    let mut failed = 0;
    loop {
        // A call that could not connect triggers an immediate check.
        let _ = timeout(period, shared.check.notified()).await;
        if shared.is_ready().await {
            failed = 0;
            if let Some(queued) = shared.client.queue_length().await {
                shared.set_load(queued);
            }
            if !healthy {
                info!(shared.log, "backend server is healthy");
                healthy = true;
                shared.set_down(false);
            }
        } else {
            failed += 1;
            if healthy && failed >= FAILURE_THRESHOLD {
                warn!(shared.log, "backend server is down"; "failed checks" => failed);
                healthy = false;
                shared.set_down(true);
            }
        }
    }
}
