//! The side daemon: drives the decision core next to one backend server.
//!
//! One lock owns the core. Actions are carried out under it, in their order; calls to the backend
//! server and messages to entries are tasks of their own.

use crate::spread::{Spread, SpreadSetup};
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

/// Failed health checks in a row after which the backend server counts as down.
const FAILED_CHECKS: u32 = 2;
/// Retry hint when a backend server that refuses an attempt gives none.
const DEFAULT_RETRY: Span = Span::from_millis(100);
/// Bytes of a frame that are not the answer: the report and the lengths.
const OVERHEAD: usize = 1 << 10;
/// Time that a dispatch waits at most for the version that it runs under. It carries all that its
/// attempt needs, so after that it is run.
const REACH_LIMIT: Duration = Duration::from_millis(500);
/// Deadlines beyond this are as good as none, and instants can't lie arbitrarily far ahead.
const FAR: Duration = Duration::from_secs(24 * 3600);

/// Everything that a side needs to run.
#[derive(Debug)]
pub struct SideOptions {
    /// The backend server.
    pub server: ServerId,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Certificates.
    pub keys: Keys,
    /// Limits of the connections to entries.
    pub wire: Limits,
    /// How to reach the backend server.
    pub backend: Backend,
    /// Settings of the core.
    pub core: SidecarSettings,
    /// Time between health checks of the backend server, and between readings of its load.
    pub check: Duration,
    /// Bytes of an answer. Lowered if need be, so that an answer fits into a frame.
    pub answer_limit: usize,
    /// Bytes of kept answers of non-idempotent attempts. Above it the oldest are dropped; that they
    /// ended is still known.
    pub kept_limit: usize,
    /// Time after which a drain ends with attempts still in progress.
    pub drain_limit: Duration,
}

impl SideOptions {
    /// Options with the usual limits.
    pub fn new(server: ServerId, zone: AvailabilityZone, keys: Keys, backend: Backend) -> Self {
        Self {
            server,
            zone,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            keys,
            wire: Limits::default(),
            backend,
            core: SidecarSettings::default(),
            check: Duration::from_millis(500),
            answer_limit: 8 << 20,
            kept_limit: 256 << 20,
            drain_limit: Duration::from_secs(90),
        }
    }
}

/// The backend server of a side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Backend {
    /// A model engine.
    Engine(EngineSettings),
    /// A plain service.
    Service(ServiceSettings),
}

/// Why a side can't run.
#[derive(Debug, thiserror::Error)]
pub enum SideError {
    /// The socket for entries can't be opened, or the certificates can't be used.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The settings of the engine can't be used.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// The settings of the service can't be used.
    #[error(transparent)]
    Service(#[from] ServiceError),
    /// The system has no randomness.
    #[error("the system gives no random numbers: {0}")]
    Random(getrandom::Error),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SideCounts {
    /// Connections that were refused.
    pub rejected: u64,
    /// Attempts that were given to the backend server.
    pub started: u64,
    /// Attempts that were refused, handed back ones included.
    pub refused: u64,
    /// Attempts that ended with a whole answer.
    pub finished: u64,
    /// Attempts that failed, aborted ones included.
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

/// A running side.
#[derive(Debug)]
pub struct SideDaemon {
    shared: Arc<Shared>,
    address: SocketAddr,
    drain_limit: Duration,
}

/// Runs a side until `stop` completes, then drains it.
pub async fn run_side(
    options: SideOptions,
    log: Logger,
    stop: impl Future<Output = ()>,
) -> Result<(), SideError> {
    let daemon = SideDaemon::start(options, log).await?;
    stop.await;
    daemon.drain().await;
    Ok(())
}

impl SideDaemon {
    /// Starts a side on the current tokio runtime. It takes work once the backend server is healthy.
    pub async fn start(options: SideOptions, log: Logger) -> Result<Self, SideError> {
        Self::start_spread(options, None, log).await
    }

    /// Starts a side that puts bundles into force. It takes work once it has caught up, too.
    pub async fn start_spread(
        options: SideOptions,
        spread: Option<SpreadSetup>,
        log: Logger,
    ) -> Result<Self, SideError> {
        let incarnation = Incarnation(getrandom::u64().map_err(SideError::Random)?);
        let server = options.server.clone();
        let spread = spread
            .map(|setup| setup.start(incarnation, EpochSettings::SIDE, None, &log))
            .transpose()
            .map_err(SideError::Random)?;
        let log = log.new(o!("server" => options.server.to_string()));
        let local = LocalNode::new(PeerId::Sidecar(options.server), options.zone, incarnation);
        let local = match &spread {
            Some(spread) => spread.attach(local),
            None => local,
        };
        let answer_limit =
            options.answer_limit.min(options.wire.max_frame.saturating_sub(OVERHEAD));
        let client = match options.backend {
            Backend::Engine(settings) => Client::Engine(Engine::new(settings)?),
            Backend::Service(settings) => {
                Client::Service(Service::new(ServiceSettings { limit: answer_limit, ..settings })?)
            }
        };
        let mut side = Sidecar::new(incarnation, options.core);
        let healthy = client.healthy().await && spread.is_none();
        side.set_down(Time(0), !healthy);
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                side,
                jobs: HashMap::new(),
                kept: Kept::new(options.kept_limit, options.core.retention),
                armed: None,
            }),
            start: Instant::now(),
            client,
            spread,
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
            let report = reporter.lock().side.report(reporter.now());
            // A new bundle reaches the connections first; its announcement must not show the old one.
            Report { version: report.version.max(reporter.local.version()), ..report }
        };
        let listener = Listener::bind(options.listen, &options.keys, local, options.wire, report)?;
        let address = listener.address();
        shared.spawn(run_timers(Arc::clone(&shared)));
        shared.spawn(run_checks(Arc::clone(&shared), options.check, healthy));
        shared.tasks.spawn(accept(Arc::clone(&shared), listener));
        if let Some(spread) = &shared.spread {
            shared.spawn(follow_bundles(Arc::clone(&shared), spread.clone(), server));
        }
        info!(shared.log, "side started"; "address" => %address, "incarnation" => %incarnation,
            "healthy" => healthy);
        Ok(Self { shared, address, drain_limit: options.drain_limit })
    }

    /// Where entries connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bundle in force, when the side puts bundles into force.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.shared.spread.as_ref()?.bundles().borrow().clone()
    }

    /// What the side tells its peers about itself.
    pub fn local(&self) -> &LocalNode {
        &self.shared.local
    }

    /// The run of this side.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().side.incarnation()
    }

    /// Whether the side takes new work.
    pub fn takes_work(&self) -> bool {
        !self.shared.lock().side.report(self.shared.now()).draining
    }

    /// Counts since the start.
    pub fn counts(&self) -> SideCounts {
        let counters = &self.shared.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        SideCounts {
            rejected: read(&counters.rejected),
            started: read(&counters.started),
            refused: read(&counters.refused),
            finished: read(&counters.finished),
            failed: read(&counters.failed),
        }
    }

    /// The bundle version in force changed; entries are told at once.
    pub fn set_version(&self, version: Version) {
        self.shared.lock().side.set_version(version);
        self.shared.local.set_version(version);
    }

    /// The calls that the backend server may run at once changed.
    pub fn set_slots(&self, slots: u32) {
        let mut state = self.shared.lock();
        let actions = state.side.set_slots(self.shared.now(), slots);
        self.shared.carry_out(&mut state, actions);
    }

    /// Refuses new attempts, lets those that run finish, and stops once entries have their ends.
    pub async fn drain(self) {
        let shared = &self.shared;
        let until = Instant::now() + self.drain_limit;
        let running = {
            let mut state = shared.lock();
            let actions = state.side.drain();
            shared.carry_out(&mut state, actions);
            state.side.running()
        };
        info!(shared.log, "drain started"; "running" => running);
        // Entries learn of the drain at once, not with the next message.
        shared.local.notify_peers();
        let mut drained = shared.drained.subscribe();
        let finished = timeout_at(until, drained.wait_for(|drained| *drained)).await.is_ok();
        shared.streams.close();
        let delivered = timeout_at(until, shared.streams.wait()).await.is_ok();
        let left = shared.lock().side.running();
        shared.abort_jobs();
        shared.stop.cancel();
        if let Some(spread) = &shared.spread {
            spread.stop();
        }
        shared.tasks.close();
        shared.tasks.wait().await;
        if finished && delivered {
            info!(shared.log, "drain ended");
        } else {
            warn!(shared.log, "drain ended at its time limit"; "running" => left);
        }
    }

    /// Stops at once, as a process that dies does: nothing is finished and no end is told.
    pub fn abort(self) {
        drop(self);
    }
}

impl Drop for SideDaemon {
    fn drop(&mut self) {
        self.shared.abort_jobs();
        self.shared.stop.cancel();
        if let Some(spread) = &self.shared.spread {
            spread.stop();
        }
    }
}

/// State that all tasks of a side share.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    start: Instant,
    client: Client,
    spread: Option<Spread>,
    local: LocalNode,
    answer_limit: usize,
    /// Tells the timer task that a timer is earlier than the one it waits for.
    timer: Notify,
    /// Asks for a health check at once.
    check: Notify,
    drained: watch::Sender<bool>,
    counters: Counters,
    /// Streams to entries whose last message may be on its way.
    streams: TaskTracker,
    tasks: TaskTracker,
    stop: CancellationToken,
    log: Logger,
}

#[derive(Debug)]
struct State {
    side: Sidecar,
    /// Attempts that wait or run.
    jobs: HashMap<AttemptId, Job>,
    kept: Kept,
    /// What the timer task waits for.
    armed: Option<Time>,
}

/// Messages of one attempt on their way to its entry.
type Outbox = mpsc::UnboundedSender<Message>;

#[derive(Debug)]
enum Message {
    Attempt(AttemptMessage),
    /// The end, and the time that the backend server took.
    Ended(Outcome, Span),
}

impl From<AttemptMessage> for Message {
    fn from(message: AttemptMessage) -> Self {
        Self::Attempt(message)
    }
}

/// An attempt that waits or runs.
#[derive(Debug)]
struct Job {
    /// Taken when the attempt starts.
    order: Option<(Box<Dispatch>, Payload)>,
    deadline: Instant,
    messages: Outbox,
    ticket: DispatchId,
    task: Option<AbortHandle>,
}

/// Answers of non-idempotent attempts that have ended.
#[derive(Debug)]
struct Kept {
    answers: HashMap<AttemptId, Bytes>,
    /// Oldest first.
    order: VecDeque<(Time, AttemptId)>,
    /// Sum of the lengths of `answers`; at most `limit`.
    bytes: usize,
    limit: usize,
    retention: Span,
}

impl Kept {
    fn new(limit: usize, retention: Span) -> Self {
        Self { answers: HashMap::new(), order: VecDeque::new(), bytes: 0, limit, retention }
    }

    fn keep(&mut self, now: Time, attempt: AttemptId, answer: Bytes) {
        self.bytes += answer.len();
        self.answers.insert(attempt, answer);
        self.order.push_back((now, attempt));
        while self
            .order
            .front()
            .is_some_and(|(at, _)| self.bytes > self.limit || now.since(*at) >= self.retention)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
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

    /// Attempts that wait inside the backend server, if it tells.
    async fn waiting(&self) -> Option<u32> {
        match self {
            Client::Engine(engine) => engine.load().await.ok().map(|load| load.waiting),
            Client::Service(service) => service.load().await.ok()?.map(|load| load.waiting),
        }
    }
}

/// How a call to the backend server ended.
#[derive(Debug)]
enum End {
    /// The whole answer.
    Finished(Bytes),
    /// It ran, or may have run.
    Failed(Failure, String),
    /// It can't have run.
    Unsent(Refusal, String),
}

impl From<EngineError> for End {
    fn from(error: EngineError) -> Self {
        let reason = error.to_string();
        match error {
            EngineError::Unreachable(_) => End::Unsent(Refusal::Down, reason),
            EngineError::Refused { retry, .. } => {
                let retry = retry.unwrap_or(DEFAULT_RETRY);
                End::Unsent(Refusal::Overloaded { retry }, reason)
            }
            EngineError::Failed(_) => End::Failed(Failure::Backend, reason),
            EngineError::Unknown(_) => End::Failed(Failure::Interrupted, reason),
        }
    }
}

impl From<ServiceError> for End {
    fn from(error: ServiceError) -> Self {
        let reason = error.to_string();
        match error {
            ServiceError::Unreachable(_) => End::Unsent(Refusal::Down, reason),
            ServiceError::Refused(_) => {
                End::Unsent(Refusal::Overloaded { retry: DEFAULT_RETRY }, reason)
            }
            ServiceError::Failed(_) => End::Failed(Failure::Backend, reason),
            ServiceError::Unknown(_) => End::Failed(Failure::Interrupted, reason),
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

    /// Whether work can be taken: the node has caught up and the backend server is healthy.
    async fn usable(&self) -> bool {
        let caught_up = self.spread.as_ref().is_none_or(|spread| *spread.readiness().borrow());
        caught_up && self.client.healthy().await
    }

    /// Spawns a task that ends when the side stops.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }

    /// A logger for lines about an attempt; most are filtered out, so its values are made late.
    fn log_of(&self, attempt: AttemptId) -> Logger {
        self.log.new(o!(
            "request" => FnValue(move |_| attempt.request.to_string()),
            "attempt" => FnValue(move |_| attempt.to_string()),
            "stage" => attempt.stage,
        ))
    }

    fn dispatch(self: &Arc<Self>, dispatch: Box<Dispatch>, work: Payload, reply: Reply) {
        let attempt = dispatch.attempt;
        let ticket = reply.dispatch_id();
        let (messages, outgoing) = mpsc::unbounded_channel();
        self.streams.spawn(send_messages(Arc::clone(self), reply, outgoing, attempt));
        let deadline = Instant::now() + Duration::from(dispatch.remaining).min(FAR);
        let mut state = self.lock();
        let actions = state.side.dispatch(self.now(), &dispatch);
        if let [SidecarAction::Refuse(refused, refusal)] = actions.as_slice()
            && *refused == attempt
        {
            // The job of this attempt, if there is one, belongs to an earlier copy of the message.
            self.count(&self.counters.refused);
            debug!(self.log_of(attempt), "attempt refused"; "reason" => ?refusal);
            let _ = messages.send(AttemptMessage::Refused(*refusal).into());
            return;
        }
        let _ = messages.send(AttemptMessage::Accepted.into());
        let order = Some((dispatch, work));
        state.jobs.insert(attempt, Job { order, deadline, messages, ticket, task: None });
        self.carry_out(&mut state, actions);
    }

    fn cancel(self: &Arc<Self>, attempt: AttemptId, ticket: DispatchId) {
        let mut state = self.lock();
        if state.jobs.get(&attempt).is_some_and(|job| job.ticket == ticket) {
            let actions = state.side.cancel(self.now(), attempt);
            self.carry_out(&mut state, actions);
        }
    }

    fn ask(self: &Arc<Self>, attempt: AttemptId, incarnation: Incarnation, reply: ForbidReply) {
        let (standing, answer) = {
            let mut state = self.lock();
            let standing = state.side.forbid(attempt, incarnation);
            let ended = matches!(standing, AttemptStatus::Ended(_));
            let answer = state.kept.answers.get(&attempt).filter(|_| ended).cloned();
            (standing, answer)
        };
        info!(self.log_of(attempt), "asked about an attempt"; "standing" => ?standing,
            "answer" => answer.is_some());
        let shared = Arc::clone(self);
        self.streams.spawn(async move {
            if let Err(error) = reply.send(standing, answer).await {
                debug!(shared.log_of(attempt), "answer about an attempt not sent";
                    "error" => %error);
            }
        });
    }

    /// The backend server's call ended.
    fn ended(self: &Arc<Self>, attempt: AttemptId, effect: Effect, end: End) {
        let log = self.log_of(attempt);
        let mut state = self.lock();
        let now = self.now();
        // An attempt that was aborted meanwhile is no longer there.
        let Some(job) = state.jobs.remove(&attempt) else { return };
        let (outcome, reason) = match end {
            End::Finished(answer) => {
                self.count(&self.counters.finished);
                debug!(log, "attempt finished"; "bytes" => answer.len());
                if effect == Effect::Once {
                    state.kept.keep(now, attempt, answer);
                }
                (Outcome::Finished, None)
            }
            End::Failed(failure, reason) => (Outcome::Failed(failure), Some(reason)),
            End::Unsent(refusal, reason) => {
                warn!(log, "attempt not run"; "refusal" => ?refusal, "reason" => &reason);
                if refusal == Refusal::Down {
                    self.check.notify_one();
                }
                state.jobs.insert(attempt, job);
                let actions = state.side.revert_start(now, attempt, refusal);
                self.carry_out(&mut state, actions);
                return;
            }
        };
        if let Some(reason) = reason {
            self.count(&self.counters.failed);
            warn!(log, "attempt failed"; "outcome" => ?outcome, "reason" => reason);
        }
        let served = state.side.elapsed(now, attempt).unwrap_or_default();
        let actions = state.side.finish(now, attempt, outcome);
        // The core and the kept answer are up to date before the entry hears of the end.
        let _ = job.messages.send(Message::Ended(outcome, served));
        self.carry_out(&mut state, actions);
    }

    fn carry_out(self: &Arc<Self>, state: &mut State, actions: Vec<SidecarAction>) {
        for action in actions {
            match action {
                SidecarAction::Start(attempt) => {
                    let Some(job) = state.jobs.get_mut(&attempt) else { continue };
                    let Some((dispatch, work)) = job.order.take() else { continue };
                    self.count(&self.counters.started);
                    let (messages, deadline) = (job.messages.clone(), job.deadline);
                    let shared = Arc::clone(self);
                    let task = run_attempt(shared, dispatch, work, messages, deadline);
                    job.task = Some(self.tasks.spawn(task).abort_handle());
                }
                SidecarAction::Refuse(attempt, refusal) => {
                    self.count(&self.counters.refused);
                    debug!(self.log_of(attempt), "attempt handed back"; "reason" => ?refusal);
                    if let Some(job) = state.jobs.remove(&attempt) {
                        let _ = job.messages.send(AttemptMessage::Refused(refusal).into());
                    }
                }
                SidecarAction::Abort(attempt) => {
                    self.count(&self.counters.failed);
                    debug!(self.log_of(attempt), "attempt aborted");
                    if let Some(job) = state.jobs.remove(&attempt) {
                        if let Some(task) = job.task {
                            // Dropping the call closes its connection to the backend server.
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
        if state.side.next_tick().is_some_and(|at| state.armed.is_none_or(|armed| at < armed)) {
            self.timer.notify_one();
        }
    }

    fn set_load(self: &Arc<Self>, waiting: u32) {
        let mut state = self.lock();
        let actions = state.side.observe_load(self.now(), waiting);
        self.carry_out(&mut state, actions);
    }

    fn set_down(self: &Arc<Self>, down: bool) {
        let mut state = self.lock();
        let actions = state.side.set_down(self.now(), down);
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

/// Accepts entries until the side stops, then closes all connections.
async fn accept(shared: Arc<Shared>, mut listener: Listener) {
    let stop = shared.stop.clone();
    while let Some(Some(accepted)) = stop.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok(connection) => shared.spawn(serve(Arc::clone(&shared), connection)),
            Err(RejectedConnection { address, error }) => {
                shared.count(&shared.counters.rejected);
                warn!(shared.log, "connection refused"; "address" => %address,
                    "kind" => error.kind(), "error" => %error);
            }
        }
    }
    listener.close().await;
}

/// Takes the requests of one entry.
async fn serve(shared: Arc<Shared>, mut connection: Connection) {
    let peer = connection.peer().clone();
    let hello = peer.hello();
    let log = shared.log.new(o!("peer" => hello.id.to_string()));
    info!(log, "entry connected"; "incarnation" => %hello.incarnation);
    let spread = shared.spread.clone();
    let spread = spread.map(|spread| Shown::new(spread, &peer));
    while let Some(request) = connection.next().await {
        match request {
            Request::Dispatch { dispatch, payload, reply } => {
                if let Some(shown) = &spread {
                    shown.reach(&dispatch).await;
                }
                shared.dispatch(dispatch, payload, reply);
            }
            Request::Cancel(attempt, ticket) => shared.cancel(attempt, ticket),
            Request::Forbid { attempt, incarnation, reply } => {
                shared.ask(attempt, incarnation, reply)
            }
        }
    }
    let error = peer.closed().await;
    info!(log, "entry disconnected"; "kind" => error.kind(), "error" => %error);
}

/// An entry among the peers of the node, until it is dropped.
struct Shown {
    spread: Spread,
    peer: Incarnation,
    task: AbortHandle,
}

impl Shown {
    fn new(spread: Spread, peer: &Peer) -> Self {
        spread.add_entry(peer);
        let incarnation = peer.hello().incarnation;
        let (mut versions, shown) = (peer.versions(), spread.clone());
        let task = tokio::spawn(async move {
            while versions.changed().await.is_ok() {
                let version = *versions.borrow_and_update();
                shown.show(incarnation, version);
            }
        });
        Self { spread, peer: incarnation, task: task.abort_handle() }
    }

    /// Pulls the version of a dispatch before it is looked at. The requests behind it wait as well,
    /// so that a cancel never comes before its dispatch.
    async fn reach(&self, dispatch: &Dispatch) {
        let force = self.spread.bundles().borrow().as_ref().map(|bundle| bundle.version);
        if force.is_some_and(|force| force >= dispatch.version) {
            return;
        }
        self.spread.show(self.peer, dispatch.version);
        let patience = Duration::from(dispatch.remaining).min(REACH_LIMIT);
        self.spread.reach(dispatch.version, patience).await;
    }
}

impl Drop for Shown {
    fn drop(&mut self) {
        self.task.abort();
        self.spread.remove(self.peer);
    }
}

/// Tells the core and the entries of each bundle that comes into force.
async fn follow_bundles(shared: Arc<Shared>, spread: Spread, server: ServerId) {
    let mut bundles = spread.bundles();
    let mut ready = spread.readiness();
    loop {
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            let mut state = shared.lock();
            state.side.set_version(bundle.version);
            let found = bundle.server(&server);
            let mut actions = state.side.set_listed(shared.now(), found.is_some());
            if let Some(found) = found {
                actions.extend(state.side.set_slots(shared.now(), found.slots));
            } else {
                info!(shared.log, "the bundle does not name this server; no new work";
                    "version" => %bundle.version);
            }
            shared.carry_out(&mut state, actions);
        }
        // The next check finds that the node has caught up.
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

/// Sends the messages of one attempt.
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
            debug!(shared.log_of(attempt), "message to the entry not sent"; "error" => %error);
            return;
        }
        if last {
            return;
        }
    }
}

/// Takes one attempt through the backend server.
async fn run_attempt(
    shared: Arc<Shared>,
    dispatch: Box<Dispatch>,
    work: Payload,
    messages: Outbox,
    deadline: Instant,
) {
    let (attempt, effect) = (dispatch.attempt, dispatch.effect);
    let call = async {
        match &shared.client {
            Client::Engine(engine) => {
                call_engine(engine, &dispatch, &work, &messages, deadline, shared.answer_limit)
                    .await
            }
            Client::Service(service) => call_service(service, &dispatch, work, &messages).await,
        }
    };
    let end = match effect {
        Effect::Idempotent => timeout_at(deadline, call).await.unwrap_or_else(|_| {
            End::Failed(Failure::Aborted, "the deadline passed while it ran".to_owned())
        }),
        // Non-idempotent work is never cut off: its outcome would be unknown.
        Effect::Once => call.await,
    };
    shared.ended(attempt, effect, end);
}

async fn call_engine(
    engine: &Engine,
    dispatch: &Dispatch,
    work: &Payload,
    messages: &Outbox,
    deadline: Instant,
    limit: usize,
) -> End {
    let left = deadline.saturating_duration_since(Instant::now());
    let call = damaskweir_engines::Call {
        path: &work.path,
        attempt: dispatch.attempt,
        key: work.key,
        body: &work.body,
        resume: dispatch.resume,
        // The attempt with the earliest deadline goes first.
        priority: i64::try_from(left.as_millis()).unwrap_or(i64::MAX),
    };
    let mut completion = match engine.complete(call).await {
        Ok(completion) => completion,
        Err(error) => return error.into(),
    };
    let mut size = 0;
    let mut whole = BytesMut::new();
    loop {
        match completion.next().await {
            Ok(Some(token)) => {
                size += token.text.len();
                if size > limit {
                    let reason = format!("answer is larger than {limit} bytes");
                    return End::Failed(Failure::Backend, reason);
                }
                if dispatch.effect == Effect::Once {
                    whole.extend_from_slice(token.text.as_bytes());
                }
                let data = Bytes::from(token.text);
                // Non-idempotent work goes on without a listener.
                let _ = messages.send(AttemptMessage::Chunk { index: token.index, data }.into());
            }
            Ok(None) => return End::Finished(whole.freeze()),
            // Tokens were generated, so the call ran even if the engine now refuses.
            Err(error) => {
                return match End::from(error) {
                    End::Unsent(_, reason) => End::Failed(Failure::Interrupted, reason),
                    end => end,
                };
            }
        }
    }
}

async fn call_service(
    service: &Service,
    dispatch: &Dispatch,
    work: Payload,
    messages: &Outbox,
) -> End {
    let call = damaskweir_services::Call {
        path: &work.path,
        attempt: dispatch.attempt,
        key: work.key,
        effect: dispatch.effect,
        body: work.body,
    };
    match service.call(call).await {
        Ok(answer) => {
            if dispatch.resume == 0 {
                let _ =
                    messages.send(AttemptMessage::Chunk { index: 0, data: answer.clone() }.into());
            }
            End::Finished(answer)
        }
        Err(error) => error.into(),
    }
}

/// Runs the core's timers.
async fn run_timers(shared: Arc<Shared>) {
    loop {
        let next = {
            let mut state = shared.lock();
            let actions = state.side.tick(shared.now());
            shared.carry_out(&mut state, actions);
            state.armed = state.side.next_tick();
            state.armed
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

/// Checks the backend server's health and reads its load.
async fn run_checks(shared: Arc<Shared>, period: Duration, mut healthy: bool) {
    let mut failed = 0;
    loop {
        // A call that could not connect asks for a check at once.
        let _ = timeout(period, shared.check.notified()).await;
        if shared.usable().await {
            failed = 0;
            if let Some(waiting) = shared.client.waiting().await {
                shared.set_load(waiting);
            }
            if !healthy {
                info!(shared.log, "backend server is up");
                healthy = true;
                shared.set_down(false);
            }
        } else {
            failed += 1;
            if healthy && failed >= FAILED_CHECKS {
                warn!(shared.log, "backend server is down"; "failed checks" => failed);
                healthy = false;
                shared.set_down(true);
            }
        }
    }
}
