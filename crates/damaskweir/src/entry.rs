//! The entry daemon: drives the decision core and carries out its actions.
//!
//! One lock owns the core. All actions are carried out under it, in their order; those that take time
//! become tasks that report back with an event.

use crate::metrics::{EntryMetrics, MetricsError};
use crate::settings::EntryFile;
use crate::spread::{Spread, SpreadSetup};
use bytes::{Bytes, BytesMut};
use damaskweir_callers::{
    Api, Directory, ErrorCode, Execution, Failed, Finished, Form, Gateway, Limits, Readiness,
    Reply, ReplyEvent, ReplySender, StageTiming, Submission, listen, reply,
};
use damaskweir_core::claim::{ClaimRecord, ClaimState};
use damaskweir_core::entry::{
    Answer, Call, ClaimAnswer, ClaimWrite, Entry, EntryAction, EntryEvent, EntrySettings, Input,
};
use damaskweir_core::epoch::EpochSettings;
use damaskweir_core::predict::SizeClass;
use damaskweir_core::prelude::*;
use damaskweir_core::retry::Backoff;
use damaskweir_instances::{Instances, InstancesError, InstancesSettings, State as InstanceState};
use damaskweir_store::{ClaimSettings, ClaimWriter, Client, StoreError};
use damaskweir_wire::{Attempt, Dialer, Keys, Link, Local, PeerId, ToEntry, WireError, Work};
use rand_chacha::rand_core::SeedableRng;
use slog::{Logger, debug, info, o, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep, timeout};

/// First delay before a side is dialled again.
const DIAL_BASE: Span = Span::from_millis(100);
/// Longest delay before a side is dialled again.
const DIAL_CAP: Span = Span::from_secs(2);
/// Time that a side may take to tell what it knows about an attempt.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a connection to a server that left the bundle stays open, for work that runs there.
const LEAVE_TIME: Duration = Duration::from_secs(90);
/// How often the end of a drain is looked for.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Everything that an entry needs to run.
#[derive(Debug)]
pub struct EntryOptions {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Settings of the core.
    pub core: EntrySettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Limits of the callers' API.
    pub limits: Limits,
    /// Credentials of callers.
    pub directory: Directory,
    /// Local address of the connections to sides.
    pub wire_address: SocketAddr,
    /// Certificates.
    pub keys: Keys,
    /// Limits of the connections to sides.
    pub wire: damaskweir_wire::Limits,
    /// The bundle in force.
    pub bundle: Arc<Bundle>,
    /// Writes claims; without it non-idempotent calls are refused.
    pub claims: Option<ClaimWriter>,
    /// The platform's instance list, if it is to be followed.
    pub instances: Option<InstancesSettings>,
    /// Time between the start of a drain and the earliest exit, for balancers to notice.
    pub drain_grace: Duration,
    /// Time after which a drain ends with requests still in progress.
    pub drain_limit: Duration,
}

impl EntryOptions {
    /// Options from a settings file. Runs on a tokio runtime, since the claim writer does.
    pub fn from_file(file: EntryFile, bundle: Arc<Bundle>) -> Result<Self, EntryError> {
        let wire = &file.wire;
        let keys = Keys::from_files(&wire.authority, &wire.certificate, &wire.key)?;
        let claims = match file.store {
            Some(store) => {
                let client = Client::new(store, seeded_rng()?)?;
                Some(ClaimWriter::spawn(client, ClaimSettings::default()))
            }
            None => None,
        };
        Ok(Self {
            instance: file.instance,
            zone: file.zone,
            core: file.core,
            listen: file.listen,
            limits: file.limits,
            directory: file.directory,
            wire_address: wire.address,
            keys: keys.with_name(&wire.name),
            wire: wire.limits,
            bundle,
            claims,
            instances: file.instances,
            drain_grace: file.drain_grace,
            drain_limit: file.drain_limit,
        })
    }
}

/// A random number generator that the system seeds.
pub(crate) fn seeded_rng() -> Result<Rng, EntryError> {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(EntryError::Random)?;
    Ok(Rng::from_seed(seed))
}

/// Why an entry can't run.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The callers' address can't be used.
    #[error("can't listen for callers on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The socket for sides can't be opened, or the certificates can't be used.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The store's settings can't be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The instance list's settings can't be used.
    #[error(transparent)]
    Instances(#[from] InstancesError),
    /// Metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The system has no randomness.
    #[error("the system gives no random numbers: {0}")]
    Random(getrandom::Error),
    /// Serving failed.
    #[error("serving callers failed: {0}")]
    Serve(std::io::Error),
}

/// A running entry.
#[derive(Debug)]
pub struct EntryDaemon {
    shared: Arc<Shared>,
    address: SocketAddr,
    server: salvo::server::ServerHandle,
    serving: JoinHandle<std::io::Result<()>>,
    tasks: Vec<AbortHandle>,
    grace: Duration,
    limit: Duration,
}

impl EntryDaemon {
    /// Starts an entry on the current tokio runtime.
    pub async fn start(options: EntryOptions, log: Logger) -> Result<Self, EntryError> {
        Self::start_spread(options, None, log).await
    }

    /// Starts an entry that puts bundles into force. It listens for callers once it has caught up, so
    /// this may take as long as the store and all peers are away.
    pub async fn start_spread(
        options: EntryOptions,
        spread: Option<SpreadSetup>,
        log: Logger,
    ) -> Result<Self, EntryError> {
        let incarnation = Incarnation(getrandom::u64().map_err(EntryError::Random)?);
        let rng = seeded_rng()?;
        let seeds = spread.as_ref().map(|setup| setup.seeds.clone()).unwrap_or_default();
        let place = (options.instance.clone(), options.zone.clone());
        let spread = spread
            .map(|setup| setup.start(incarnation, EpochSettings::ENTRY, Some(place), &log))
            .transpose()
            .map_err(EntryError::Random)?;
        let id = PeerId::Entry(options.instance.clone());
        let local = Local::new(id, options.zone.clone(), incarnation);
        let local = match &spread {
            Some(spread) => spread.attach(local),
            None => local,
        };
        local.set_version(options.bundle.version);
        let dialer = Dialer::bind(options.wire_address, &options.keys, local, options.wire)?;
        let listener = listen(options.listen)
            .map_err(|source| EntryError::Listen { address: options.listen, source })?;
        let entry =
            Entry::new(incarnation, options.zone, options.core, Arc::clone(&options.bundle));
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                entry,
                rng,
                open: HashMap::new(),
                running: HashMap::new(),
                links: BTreeMap::new(),
                armed: None,
                leaving: BTreeSet::new(),
            }),
            start: Instant::now(),
            timer: Notify::new(),
            dialer,
            claims: options.claims,
            metrics: EntryMetrics::new()?,
            draining: AtomicBool::new(false),
            refusals: AtomicU64::new(0),
            incarnation,
            spread: spread.clone(),
            configured: watch::Sender::new(false),
            log,
        });
        let mut tasks = vec![spawn(run_timers(Arc::clone(&shared)))];
        if let Some(settings) = options.instances {
            let instances = poll_instances(settings, &shared.log)?;
            tasks.push(spawn(follow_instances(Arc::clone(&shared), instances)));
        }
        let mut links = Links::new(Arc::clone(&shared));
        match spread {
            Some(spread) => {
                links.seed(seeds);
                let caught_up = spread.readiness();
                tasks.push(spawn(follow_bundles(links, spread)));
                wait_until(caught_up).await;
                wait_until(shared.configured.subscribe()).await;
            }
            None => {
                links.follow(&options.bundle);
                tasks.push(spawn(async move {
                    let _links = links;
                    std::future::pending().await
                }));
            }
        }
        let gateway: Arc<dyn Gateway> = Arc::new(Door(Arc::clone(&shared)));
        let api = Api::new(listener, gateway, options.directory, options.limits)
            .map_err(|source| EntryError::Listen { address: options.listen, source })?;
        let (address, server) = (api.address(), api.handle());
        info!(shared.log, "entry started"; "address" => %address, "incarnation" => %incarnation,
            "version" => %shared.lock().entry.bundle().version);
        let serving = tokio::spawn(api.serve());
        let (grace, limit) = (options.drain_grace, options.drain_limit);
        Ok(Self { shared, address, server, serving, tasks, grace, limit })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Arc<Bundle> {
        Arc::clone(self.shared.lock().entry.bundle())
    }

    /// Whether each pool that a pipeline needs has a connected side.
    pub fn is_ready(&self) -> bool {
        self.shared.ready() == Readiness::Ready
    }

    /// Refuses new requests, lets those in progress finish, and stops.
    pub async fn drain(self) -> Result<(), EntryError> {
        info!(self.shared.log, "drain started"; "progress" => self.shared.lock().open.len());
        self.shared.draining.store(true, Ordering::Relaxed);
        self.shared.lock().entry.drain();
        let started = Instant::now();
        sleep(self.grace.min(self.limit)).await;
        while !self.shared.lock().open.is_empty() && started.elapsed() < self.limit {
            sleep(DRAIN_POLL).await;
        }
        // Answers that were given still have to reach their callers.
        self.server.stop_graceful(self.limit.saturating_sub(started.elapsed()).max(self.grace));
        let served = self.serving.await;
        self.tasks.iter().for_each(AbortHandle::abort);
        if let Some(spread) = &self.shared.spread {
            spread.stop();
        }
        self.shared.dialer.close().await;
        info!(self.shared.log, "drain ended"; "progress" => self.shared.lock().open.len());
        match served {
            Ok(result) => result.map_err(EntryError::Serve),
            Err(error) => Err(EntryError::Serve(std::io::Error::other(error))),
        }
    }

    /// Stops at once, as a process that dies does.
    pub fn abort(self) {
        self.serving.abort();
        self.tasks.iter().for_each(AbortHandle::abort);
        if let Some(spread) = &self.shared.spread {
            spread.stop();
        }
        let running: Vec<_> = self.shared.lock().running.drain().collect();
        running.iter().for_each(|(_, task)| task.abort());
    }
}

/// State that all tasks of an entry share.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    start: Instant,
    /// Tells the timer task that a timer is earlier than the one it waits for.
    timer: Notify,
    dialer: Dialer,
    claims: Option<ClaimWriter>,
    metrics: EntryMetrics,
    draining: AtomicBool,
    refusals: AtomicU64,
    incarnation: Incarnation,
    spread: Option<Spread>,
    /// A bundle is in force.
    configured: watch::Sender<bool>,
    log: Logger,
}

#[derive(Debug)]
struct State {
    entry: Entry,
    rng: Rng,
    open: HashMap<RequestId, Open>,
    /// Tasks of attempts that have not ended. Aborting one cancels its attempt.
    running: HashMap<AttemptId, AbortHandle>,
    links: BTreeMap<ServerId, Link>,
    /// What the timer task waits for.
    armed: Option<Time>,
    /// Servers on instances that are leaving.
    leaving: BTreeSet<ServerId>,
}

impl State {
    fn configure(&mut self, bundle: Arc<Bundle>) {
        self.entry.configure(bundle);
        // Servers that the bundle brings back or adds may be leaving already.
        self.mark_leaving(&self.leaving.clone(), true);
    }

    fn leave(&mut self, leaving: BTreeSet<ServerId>, log: &Logger) {
        let old = std::mem::replace(&mut self.leaving, leaving);
        let back: BTreeSet<_> = old.difference(&self.leaving).cloned().collect();
        for server in self.leaving.difference(&old) {
            info!(log, "instance is leaving; no new work for its server"; "server" => %server);
        }
        self.mark_leaving(&back, false);
        self.mark_leaving(&self.leaving.clone(), true);
    }

    fn mark_leaving(&mut self, servers: &BTreeSet<ServerId>, leaving: bool) {
        let bundle = Arc::clone(self.entry.bundle());
        for (id, pool) in &bundle.pools {
            for server in pool.servers.iter().filter(|server| servers.contains(&server.id)) {
                self.entry.leaving(id, &server.id, leaving);
            }
        }
    }
}

/// A request that has no final answer yet.
#[derive(Debug)]
struct Open {
    reply: ReplySender,
    pipeline: PipelineId,
    workspace: WorkspaceId,
    bundle: Arc<Bundle>,
    body: Bytes,
    key: Option<Digest>,
    started: Instant,
    /// Position and start of the current stage.
    stage: Option<(u16, Instant)>,
    /// The last attempt that finished at the current stage.
    winner: Option<AttemptId>,
    timings: Vec<StageTiming>,
    /// Servers of the attempts that were sent or claimed, to name the one that won.
    servers: HashMap<AttemptId, ServerId>,
    /// Outputs by attempt. A repeated call also has the output of the first call's attempt here, so
    /// requests don't share them.
    outputs: HashMap<AttemptId, Output>,
    /// Chunks that were passed on, for attempts that resume the stream.
    emitted: Vec<Bytes>,
}

/// Chunks of an attempt's output.
#[derive(Debug, Default)]
struct Output {
    chunks: Vec<Bytes>,
}

impl Output {
    fn whole(&self) -> Bytes {
        match self.chunks.as_slice() {
            [] => Bytes::new(),
            [one] => one.clone(),
            many => {
                let mut whole = BytesMut::with_capacity(many.iter().map(Bytes::len).sum());
                many.iter().for_each(|chunk| whole.extend_from_slice(chunk));
                whole.freeze()
            }
        }
    }
}

impl Open {
    fn stages(&self) -> &[Stage] {
        self.bundle.pipelines.get(&self.pipeline).map_or(&[], |pipeline| &pipeline.stages)
    }

    fn stage_of(&self, position: u16) -> Option<&Stage> {
        self.stages().get(usize::from(position))
    }

    fn stage_name(&self) -> Option<String> {
        let (position, _) = self.stage?;
        Some(self.stage_of(position)?.name.clone())
    }

    /// Notes that an attempt works on a stage, and that the stage before has finished.
    fn note(&mut self, attempt: AttemptId, server: &ServerId, now: Instant) {
        self.servers.insert(attempt, server.clone());
        if self.stage.is_some_and(|(position, _)| position == attempt.stage) {
            return;
        }
        self.finish_stage(now);
        self.stage = Some((attempt.stage, now));
    }

    /// Notes an attempt that finished. Late ones of an earlier stage are not the winner of this one.
    fn note_finished(&mut self, attempt: AttemptId) {
        if self.stage.is_some_and(|(position, _)| position == attempt.stage) {
            self.winner = Some(attempt);
        }
    }

    fn finish_stage(&mut self, now: Instant) {
        let Some((position, started)) = self.stage.take() else { return };
        let winner = self.winner.take();
        let Some(stage) = self.stage_of(position) else { return };
        let server = winner.and_then(|winner| self.servers.get(&winner));
        self.timings.push(StageTiming {
            stage: stage.name.clone(),
            server: server.map_or_else(|| "kept".to_owned(), ToString::to_string),
            elapsed: now.saturating_duration_since(started).into(),
        });
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time(0) + Span::from(self.start.elapsed())
    }

    /// Hands an event to the core and carries out what it decides.
    fn event(self: &Arc<Self>, event: EntryEvent) {
        let mut state = self.lock();
        let state = &mut *state;
        let owner = Some(event.request());
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        self.carry_out(state, owner, actions);
    }

    /// Carries out actions; `owner` is the request that caused them, if it was one.
    fn carry_out(
        self: &Arc<Self>,
        state: &mut State,
        owner: Option<RequestId>,
        actions: Vec<EntryAction>,
    ) {
        for action in actions {
            match action {
                EntryAction::Send { server, dispatch, input } => {
                    self.send(state, &server, dispatch, input);
                }
                EntryAction::Cancel(_, attempt) => {
                    if let Some(task) = state.running.remove(&attempt) {
                        task.abort();
                    }
                    self.count_end(state, attempt, "cancelled");
                }
                EntryAction::Claim { request, key, record, write } => {
                    self.claim(state, request, key, record, write);
                }
                EntryAction::Ask { request, server, attempt, incarnation } => {
                    let link = state.links.get(&server).cloned();
                    if let Some(open) = state.open.get_mut(&request) {
                        open.servers.insert(attempt, server);
                    }
                    spawn(ask(Arc::clone(self), link, request, attempt, incarnation));
                }
                EntryAction::Settle { key, record, revision } => {
                    let open = owner.and_then(|owner| state.open.get(&owner));
                    self.settle(open, key, record, revision);
                }
                EntryAction::Keep(attempt, bytes) => {
                    if let Some(open) = owner.and_then(|owner| state.open.get_mut(&owner)) {
                        open.outputs.insert(attempt, Output { chunks: vec![bytes] });
                        open.note_finished(attempt);
                    }
                }
                EntryAction::Emit(attempt, index) => self.emit(state, attempt, index),
                EntryAction::Answer(request, answer) => self.answer(state, request, &answer),
            }
        }
        let next = state.entry.next_tick();
        if let Some(next) = next
            && state.armed.is_none_or(|armed| next < armed)
        {
            state.armed = Some(next);
            self.timer.notify_one();
        }
    }

    fn send(
        self: &Arc<Self>,
        state: &mut State,
        server: &ServerId,
        dispatch: Dispatch,
        input: Input,
    ) {
        let attempt = dispatch.attempt;
        let now = Instant::now();
        let link = state.links.get(server).cloned();
        let Some(open) = state.open.get_mut(&attempt.request) else { return };
        open.note(attempt, server, now);
        let body = match input {
            Input::Caller => Some(open.body.clone()),
            Input::Attempt(winner) => open.outputs.get(&winner).map(Output::whole),
        };
        let Some(body) = body else {
            // The kept answer of a finished call was lost, so its next stage has no input.
            self.lose_answer(state, attempt.request);
            return;
        };
        let path = open.stage_of(attempt.stage).map_or_else(String::new, |s| s.path.clone());
        let prefix = open.emitted.iter().take(dispatch.resume as usize).cloned().collect();
        open.outputs.insert(attempt, Output { chunks: prefix });
        let work = Work { path, key: open.key, body };
        debug!(self.log, "attempt sent"; "request" => %attempt.request,
            "workspace" => %open.workspace, "stage" => open.stage_name(),
            "attempt" => %attempt, "server" => %server);
        let task = spawn(run_attempt(Arc::clone(self), link, dispatch, work));
        state.running.insert(attempt, task);
    }

    fn claim(
        self: &Arc<Self>,
        state: &mut State,
        request: RequestId,
        key: Digest,
        record: ClaimRecord,
        write: ClaimWrite,
    ) {
        if let Some(open) = state.open.get_mut(&request)
            && record.attempt.request == request
        {
            // An entry claims before it sends; the stage starts here.
            open.note(record.attempt, &record.server, Instant::now());
        }
        let shared = Arc::clone(self);
        spawn(async move {
            let answer = match &shared.claims {
                Some(writer) => writer.claim(key, record, write).await,
                None => ClaimAnswer::Down,
            };
            shared.metrics.claimed(match &answer {
                ClaimAnswer::Won(_) => "won",
                ClaimAnswer::Found(..) => "found",
                ClaimAnswer::Down => "down",
            });
            shared.event(EntryEvent::Claimed(request, answer));
        });
    }

    fn settle(&self, open: Option<&Open>, key: Digest, mut record: ClaimRecord, revision: u64) {
        let Some(writer) = &self.claims else { return };
        if let ClaimState::Ended { outcome: Outcome::Finished, answer } = &mut record.state {
            *answer = open.and_then(|open| open.outputs.get(&record.attempt)).map(Output::whole);
        }
        writer.settle(key, record, revision);
    }

    fn emit(&self, state: &mut State, attempt: AttemptId, index: u32) {
        let Some(open) = state.open.get_mut(&attempt.request) else { return };
        let output = open.outputs.get(&attempt);
        let Some(chunk) = output.and_then(|o| o.chunks.get(index as usize)).cloned() else {
            return;
        };
        if open.emitted.is_empty() {
            self.metrics.first_chunk(open.pipeline.as_str(), open.started.elapsed());
        }
        open.emitted.push(chunk.clone());
        // The API reports a caller that is gone by itself.
        let _ = open.reply.send(ReplyEvent::Chunk(chunk));
    }

    fn answer(&self, state: &mut State, request: RequestId, answer: &Answer) {
        let Some(mut open) = state.open.remove(&request) else { return };
        let stage = open.stage_name();
        let event = match answer {
            Answer::Complete(winner) => {
                let form = last_form(&open);
                open.finish_stage(Instant::now());
                match open.outputs.get(winner) {
                    Some(output) => ReplyEvent::Finished(Finished {
                        output: output.whole(),
                        form,
                        stages: open.timings.clone(),
                    }),
                    None => ReplyEvent::Failed(lost_answer(stage.clone())),
                }
            }
            Answer::Error { code, execution, retry } => ReplyEvent::Failed(Failed {
                code: (*code).into(),
                execution: (*execution).into(),
                stage: stage.clone(),
                retry: *retry,
            }),
        };
        self.close(request, &open, stage, event);
    }

    /// Gives the last event of a request.
    fn close(&self, request: RequestId, open: &Open, stage: Option<String>, event: ReplyEvent) {
        let elapsed = open.started.elapsed();
        let code = match &event {
            ReplyEvent::Failed(failed) => failed.code.as_str(),
            _ => "ok",
        };
        self.metrics.answered(open.pipeline.as_str(), code, elapsed);
        if let ReplyEvent::Finished(finished) = &event {
            for timing in &finished.stages {
                let elapsed = timing.elapsed.into();
                self.metrics.stage_finished(open.pipeline.as_str(), &timing.stage, elapsed);
            }
        }
        info!(self.log, "request answered"; "request" => %request,
            "workspace" => %open.workspace, "stage" => stage,
            "pipeline" => %open.pipeline, "code" => code, "ms" => elapsed.as_secs_f64() * 1e3);
        let _ = open.reply.send(event);
    }

    /// Ends a request whose finished call has no answer any more.
    fn lose_answer(&self, state: &mut State, request: RequestId) {
        let event = EntryEvent::Gone(request);
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        for action in actions {
            if let EntryAction::Cancel(_, attempt) = action
                && let Some(task) = state.running.remove(&attempt)
            {
                task.abort();
            }
        }
        if let Some(open) = state.open.remove(&request) {
            let stage = open.stage_name();
            let event = ReplyEvent::Failed(lost_answer(stage.clone()));
            self.close(request, &open, stage, event);
        }
    }

    fn gone(self: &Arc<Self>, request: RequestId) {
        let mut state = self.lock();
        let state = &mut *state;
        let actions = state.entry.event(self.now(), &mut state.rng, EntryEvent::Gone(request));
        self.carry_out(state, Some(request), actions);
        if let Some(open) = state.open.remove(&request) {
            self.metrics.answered(open.pipeline.as_str(), "caller_gone", open.started.elapsed());
            info!(self.log, "caller went away"; "request" => %request,
                "workspace" => %open.workspace, "stage" => open.stage_name());
        }
    }

    fn count_end(&self, state: &State, attempt: AttemptId, end: &'static str) {
        let pool = state
            .open
            .get(&attempt.request)
            .and_then(|open| open.stage_of(attempt.stage).map(|stage| stage.pool.clone()));
        if let Some(pool) = pool {
            self.metrics.attempt_ended(pool.as_str(), end);
        }
    }

    /// The end of an attempt's task.
    fn ended(self: &Arc<Self>, attempt: AttemptId, end: &'static str, event: EntryEvent) {
        let mut state = self.lock();
        let state = &mut *state;
        state.running.remove(&attempt);
        if let EntryEvent::Done(_, Outcome::Finished) = event
            && let Some(open) = state.open.get_mut(&attempt.request)
        {
            open.note_finished(attempt);
        }
        self.count_end(state, attempt, end);
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        self.carry_out(state, Some(attempt.request), actions);
    }

    /// Keeps a chunk and reports it. False: a chunk is missing, so the attempt can't be used.
    fn chunk(self: &Arc<Self>, attempt: AttemptId, index: u32, data: Bytes) -> bool {
        let mut state = self.lock();
        let state = &mut *state;
        let open = state.open.get_mut(&attempt.request);
        let Some(output) = open.and_then(|open| open.outputs.get_mut(&attempt)) else {
            return true;
        };
        let next = output.chunks.len();
        match (index as usize).cmp(&next) {
            std::cmp::Ordering::Less => return true,
            std::cmp::Ordering::Greater => return false,
            std::cmp::Ordering::Equal => output.chunks.push(data),
        }
        let event = EntryEvent::Chunk(attempt, index);
        let actions = state.entry.event(self.now(), &mut state.rng, event);
        self.carry_out(state, Some(attempt.request), actions);
        true
    }
}

impl Shared {
    fn submit(self: &Arc<Self>, submission: Submission) -> Reply {
        let call = Call {
            pipeline: submission.pipeline.clone(),
            workspace: submission.workspace.clone(),
            deadline: submission.deadline,
            key: submission.key,
            body: submission.digest,
            prefix: submission.prefix,
            stream: submission.stream,
        };
        let mut state = self.lock();
        let state = &mut *state;
        let bundle = Arc::clone(state.entry.bundle());
        let class = SizeClass::of(submission.size);
        let (id, actions) = state.entry.call_sized(self.now(), &mut state.rng, call, class);
        let weak = Arc::downgrade(self);
        let (sender, reply) = reply(id.to_string(), move || {
            if let Some(shared) = weak.upgrade() {
                shared.gone(id);
            }
        });
        let open = Open {
            reply: sender,
            pipeline: submission.pipeline,
            workspace: submission.workspace,
            bundle,
            body: submission.body,
            key: submission.key,
            started: Instant::now(),
            stage: None,
            winner: None,
            timings: Vec::new(),
            servers: HashMap::new(),
            outputs: HashMap::new(),
            emitted: Vec::new(),
        };
        state.open.insert(id, open);
        self.carry_out(state, Some(id), actions);
        reply
    }

    fn refuse(&self, code: ErrorCode, workspace: Option<&WorkspaceId>) -> String {
        let serial = self.refusals.fetch_add(1, Ordering::Relaxed) + 1;
        // Serials of refused requests are counted apart from those of the core.
        let request = format!("{}-r{serial}", self.incarnation);
        self.metrics.refused(code.as_str());
        info!(self.log, "request refused"; "request" => &request,
            "workspace" => workspace.map(WorkspaceId::as_str), "stage" => None::<&str>,
            "code" => code.as_str());
        request
    }

    fn ready(&self) -> Readiness {
        if self.draining.load(Ordering::Relaxed) {
            return Readiness::NotReady("draining".to_owned());
        }
        let state = self.lock();
        let bundle = state.entry.bundle();
        let stages = bundle.pipelines.values().flat_map(|pipeline| &pipeline.stages);
        let missing = stages.map(|stage| &stage.pool).find(|id| {
            let servers = bundle.pools.get(id).map_or(&[][..], |pool| &pool.servers);
            !servers.iter().any(|server| state.links.contains_key(&server.id))
        });
        match missing {
            Some(pool) => Readiness::NotReady(format!("no side of pool {pool} is connected")),
            None => Readiness::Ready,
        }
    }

    fn metrics(&self) -> String {
        {
            let state = self.lock();
            let version = state.entry.bundle().version.0;
            let (entry, links) = (&state.entry, state.links.len());
            self.metrics.state(entry.progress(), links, entry.dropped(), version);
        }
        self.metrics.encode()
    }
}

/// The entry as the callers' API sees it.
struct Door(Arc<Shared>);

impl Gateway for Door {
    fn submit(&self, submission: Submission) -> Reply {
        self.0.submit(submission)
    }

    fn refuse(&self, code: ErrorCode, workspace: Option<&WorkspaceId>) -> String {
        self.0.refuse(code, workspace)
    }

    fn ready(&self) -> Readiness {
        self.0.ready()
    }

    fn metrics(&self) -> String {
        self.0.metrics()
    }
}

fn last_form(open: &Open) -> Form {
    let pool = open.stages().last().and_then(|stage| open.bundle.pools.get(&stage.pool));
    match pool.map(|pool| pool.kind) {
        Some(PoolKind::Engine) => Form::Text,
        _ => Form::Json,
    }
}

/// The call ran and its answer is nowhere any more.
fn lost_answer(stage: Option<String>) -> Failed {
    Failed { code: ErrorCode::StageFailed, execution: Execution::Ran, stage, retry: None }
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
    tokio::spawn(task).abort_handle()
}

/// Runs the core's timers.
async fn run_timers(shared: Arc<Shared>) {
    loop {
        let next = {
            let mut state = shared.lock();
            let state = &mut *state;
            let actions = state.entry.tick(shared.now(), &mut state.rng);
            shared.carry_out(state, None, actions);
            state.armed = state.entry.next_tick();
            state.armed
        };
        match next {
            Some(at) => {
                let at = shared.start + Duration::from_micros(at.0);
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = shared.timer.notified() => {}
                }
            }
            None => shared.timer.notified().await,
        }
    }
}

/// Takes one attempt through its side.
async fn run_attempt(shared: Arc<Shared>, link: Option<Link>, dispatch: Dispatch, work: Work) {
    let id = dispatch.attempt;
    // Nothing was sent, so the attempt is certain not to start.
    let down = EntryEvent::Refused(id, Refusal::Down);
    let Some(link) = link else {
        shared.ended(id, "unsent", down);
        return;
    };
    match link.dispatch(&dispatch, work).await {
        Ok(attempt) => follow(&shared, id, attempt).await,
        Err(error) => {
            let stage = shared.lock().open.get(&id.request).and_then(Open::stage_name);
            debug!(shared.log, "attempt not sent"; "request" => %id.request,
                "workspace" => %dispatch.workspace, "stage" => stage, "attempt" => %id,
                "error" => %error);
            shared.ended(id, "unsent", down);
        }
    }
}

async fn follow(shared: &Arc<Shared>, id: AttemptId, mut attempt: Attempt) {
    loop {
        match attempt.next().await {
            Ok(Some(ToEntry::Accepted)) => shared.event(EntryEvent::Accepted(id)),
            Ok(Some(ToEntry::Chunk { index, data })) => {
                if !shared.chunk(id, index, data) {
                    shared.ended(id, "lost", EntryEvent::Lost(id));
                    return;
                }
            }
            Ok(Some(ToEntry::Refused(refusal))) => {
                shared.ended(id, "refused", EntryEvent::Refused(id, refusal));
                return;
            }
            Ok(Some(ToEntry::Done(outcome))) => {
                let end = match outcome {
                    Outcome::Finished => "finished",
                    Outcome::Failed(_) => "failed",
                };
                shared.ended(id, end, EntryEvent::Done(id, outcome));
                return;
            }
            Ok(None) | Err(_) => {
                shared.ended(id, "lost", EntryEvent::Lost(id));
                return;
            }
        }
    }
}

/// Asks a side what it knows about an attempt.
async fn ask(
    shared: Arc<Shared>,
    link: Option<Link>,
    request: RequestId,
    attempt: AttemptId,
    incarnation: Incarnation,
) {
    let answer = match link {
        Some(link) => timeout(ASK_TIMEOUT, link.ask(attempt, incarnation)).await.ok(),
        None => None,
    };
    let answer = answer.and_then(Result::ok);
    if let Some((Standing::Ended(Outcome::Finished), Some(bytes))) = &answer
        && let Some(open) = shared.lock().open.get_mut(&request)
    {
        open.outputs.insert(attempt, Output { chunks: vec![bytes.clone()] });
        open.note_finished(attempt);
    }
    let standing = answer.map(|(standing, _)| standing);
    shared.event(EntryEvent::Stands(request, standing));
}

/// Keeps a connection to one side.
async fn keep_link(shared: Arc<Shared>, pool: PoolId, server: BackendServer) {
    let log = shared.log.new(o!("pool" => pool.to_string(), "server" => server.id.to_string()));
    let mut backoff = Backoff::new(DIAL_BASE, DIAL_CAP);
    let mut last = "";
    loop {
        let error = match shared.dialer.connect(server.side, &server.id).await {
            Ok(link) => {
                info!(log, "side connected"; "incarnation" => %link.hello().incarnation);
                backoff = Backoff::new(DIAL_BASE, DIAL_CAP);
                last = "";
                serve_link(&shared, &pool, &server.id, link).await
            }
            Err(error) => error,
        };
        let kind = error.kind();
        shared.metrics.link_failed(kind);
        // A side that stays away is logged once per kind of error and counted each time.
        if kind == last {
            debug!(log, "side not connected"; "kind" => kind, "error" => %error);
        } else {
            warn!(log, "side not connected"; "kind" => kind, "error" => %error);
        }
        last = kind;
        let delay = backoff.next_delay(&mut shared.lock().rng);
        sleep(delay.into()).await;
    }
}

/// A connection that the core and the spread of bundles know of, until it is dropped.
struct Connected<'a> {
    shared: &'a Arc<Shared>,
    pool: &'a PoolId,
    server: &'a ServerId,
    peer: Incarnation,
}

impl<'a> Connected<'a> {
    fn new(shared: &'a Arc<Shared>, pool: &'a PoolId, server: &'a ServerId, link: &Link) -> Self {
        {
            let mut state = shared.lock();
            let now = shared.now();
            state.links.insert(server.clone(), link.clone());
            state.entry.connected(now, pool, server, true);
        }
        if let Some(spread) = &shared.spread {
            spread.add_side(server, link);
        }
        Self { shared, pool, server, peer: link.hello().incarnation }
    }
}

impl Drop for Connected<'_> {
    fn drop(&mut self) {
        {
            let mut state = self.shared.lock();
            let now = self.shared.now();
            state.links.remove(self.server);
            state.entry.connected(now, self.pool, self.server, false);
        }
        if let Some(spread) = &self.shared.spread {
            spread.remove_side(self.server, self.peer);
        }
    }
}

/// Connections to the servers of the bundle in force. They end when this is dropped.
struct Links {
    shared: Arc<Shared>,
    open: BTreeMap<ServerId, (PoolId, BackendServer, JoinHandle<()>)>,
    /// Connections to servers that the bundle no longer has, for the work that still runs there.
    left: BTreeMap<ServerId, JoinHandle<()>>,
}

impl Links {
    fn new(shared: Arc<Shared>) -> Self {
        Self { shared, open: BTreeMap::new(), left: BTreeMap::new() }
    }

    /// Connects to sides from the settings, for a process that has no bundle yet.
    fn seed(&mut self, seeds: BTreeMap<ServerId, SocketAddr>) {
        for (id, side) in seeds {
            let server = BackendServer { id, zone: AvailabilityZone::from(""), side, slots: 1 };
            self.connect(PoolId::from(""), server);
        }
    }

    /// Connects to the servers of a bundle, and leaves those that it no longer has.
    fn follow(&mut self, bundle: &Bundle) {
        let mut wanted = BTreeMap::new();
        for (pool, servers) in &bundle.pools {
            for server in &servers.servers {
                wanted.insert(server.id.clone(), (pool.clone(), server.clone()));
            }
        }
        let gone: Vec<_> =
            self.open.keys().filter(|id| !wanted.contains_key(id)).cloned().collect();
        for id in gone {
            self.leave(id);
        }
        for (id, (pool, server)) in wanted {
            let same = self.open.get(&id).is_some_and(|(known_pool, known, _)| {
                *known_pool == pool && known.side == server.side
            });
            if !same {
                self.connect(pool, server);
            }
        }
    }

    fn connect(&mut self, pool: PoolId, server: BackendServer) {
        let open = self.open.remove(&server.id).map(|(_, _, task)| task);
        let before = open.or_else(|| self.left.remove(&server.id));
        let (shared, kept) = (Arc::clone(&self.shared), server.clone());
        let name = pool.clone();
        let task = tokio::spawn(async move {
            // The end of the connection before must not be taken for that of this one.
            if let Some(before) = before {
                before.abort();
                let _ = before.await;
            }
            keep_link(shared, name, kept).await;
        });
        self.open.insert(server.id.clone(), (pool, server, task));
    }

    fn leave(&mut self, id: ServerId) {
        let Some((_, _, task)) = self.open.remove(&id) else { return };
        let handle = task.abort_handle();
        tokio::spawn(async move {
            sleep(LEAVE_TIME).await;
            handle.abort();
        });
        self.left.insert(id, task);
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.open.values().for_each(|(_, _, task)| task.abort());
        self.left.values().for_each(JoinHandle::abort);
    }
}

fn poll_instances(settings: InstancesSettings, log: &Logger) -> Result<Instances, EntryError> {
    let log = log.clone();
    let failed = move |error: &InstancesError| {
        warn!(log, "poll failed; the last list stays in force"; "error" => %error);
    };
    Ok(Instances::spawn(settings, seeded_rng()?, failed)?)
}

/// Gives no new work to backend servers on instances that are leaving. A server's id is the name of its
/// instance.
async fn follow_instances(shared: Arc<Shared>, instances: Instances) {
    let mut lists = instances.lists();
    loop {
        let list = Arc::clone(&lists.borrow_and_update());
        let leaving =
            list.instances.values().filter(|instance| instance.state == InstanceState::Leaving);
        let leaving: BTreeSet<_> =
            leaving.map(|instance| ServerId::from(instance.id.as_str())).collect();
        shared.lock().leave(leaving, &shared.log);
        if lists.changed().await.is_err() {
            return;
        }
    }
}

/// Puts each bundle that comes into force to use.
async fn follow_bundles(mut links: Links, spread: Spread) {
    let mut bundles = spread.bundles();
    loop {
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            links.shared.lock().configure(Arc::clone(&bundle));
            links.follow(&bundle);
            links.shared.configured.send_replace(true);
        }
        if bundles.changed().await.is_err() {
            return;
        }
    }
}

async fn wait_until(mut condition: watch::Receiver<bool>) {
    // The sender lives as long as the daemon.
    let _ = condition.wait_for(|held| *held).await;
}

/// Reports a connection's state to the core until it ends.
async fn serve_link(
    shared: &Arc<Shared>,
    pool: &PoolId,
    server: &ServerId,
    link: Link,
) -> WireError {
    let mut reports = link.reports();
    let peer = link.hello().incarnation;
    let _connected = Connected::new(shared, pool, server, &link);
    loop {
        let report = *reports.borrow_and_update();
        if let Some(report) = report {
            shared.lock().entry.report(pool, server, report);
            if let Some(spread) = &shared.spread {
                spread.show_side(server, peer, report.version);
            }
        }
        tokio::select! {
            error = link.closed() => return error,
            changed = reports.changed() => {
                if changed.is_err() {
                    return link.closed().await;
                }
            }
        }
    }
}
