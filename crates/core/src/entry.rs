//! State machine of an entry: takes each request from admission to exactly one answer.

use crate::Rng;
use crate::admit::{Admission, AdmissionRequest, Denial, StoreHealth};
use crate::bundle::{Bundle, Effect, Pipeline, Stage};
use crate::claim::ClaimRecord;
use crate::ids::{
    AttemptId, AvailabilityZone, Digest, Incarnation, PipelineId, PoolId, RequestId, ServerId,
    WorkspaceId,
};
use crate::message::{AttemptStatus, Dispatch, Outcome, Refusal, Report};
use crate::policy::Policy;
use crate::predict::{Estimator, SizeClass};
use crate::retry::{Backoff, BackoffKind, HedgeBudget, RetryBudget};
use crate::route::Router;
use crate::time::{Span, Time};
use crate::value;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// Base delay of the retry backoff.
const RETRY_DELAY_BASE: Span = Span::from_millis(5);
/// Upper bound of the retry backoff.
const RETRY_DELAY_MAX: Span = Span::from_millis(250);
/// Upper bound of the work that hedged attempts add, in thousandths of all predicted work sent to
/// the pool.
const HEDGE_WORK_PERMILLE: u32 = 30;
/// Retry hint for errors from which no better estimate can be derived.
const DEFAULT_RETRY_HINT: Span = Span::from_secs(1);

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Pipeline to run.
    pub pipeline: PipelineId,
    /// Workspace that the request is charged to.
    pub workspace: WorkspaceId,
    /// Time limit that the caller asked for, capped at the pipeline's deadline.
    pub deadline: Option<Span>,
    /// Digest of workspace and idempotency key. Required when a stage is not idempotent.
    pub key: Option<Digest>,
    /// Digest of the request body.
    pub body: Digest,
    /// Digest of the prompt prefix, for cache-affine routing.
    pub prefix: Option<u64>,
    /// Whether chunks of the last stage are forwarded as they arrive.
    pub stream: bool,
}

/// Input to the entry's state machine.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// The sidecar accepted the attempt.
    Accepted(AttemptId),
    /// The sidecar did not start the attempt. See [`Refusal`] for what each reason guarantees.
    Refused(AttemptId, Refusal),
    /// A chunk of the answer arrived; the index counts from 0 within the stage.
    Chunk(AttemptId, u32),
    /// The attempt ended.
    Done(AttemptId, Outcome),
    /// The connection broke before the attempt ended, so it may be running or have run.
    ConnectionLost(AttemptId),
    /// The result of a claim write. Exactly one per `EntryAction::Claim`.
    Claimed(RequestId, ClaimResult),
    /// A sidecar's status of an attempt, or `None` when the sidecar can't be reached. Exactly one per
    /// `EntryAction::Forbid`.
    AttemptStatus(RequestId, Option<AttemptStatus>),
    /// The caller disconnected.
    CallerGone(RequestId),
}

impl EntryEvent {
    /// The request that the event belongs to.
    pub fn request(&self) -> RequestId {
        match self {
            Self::Accepted(attempt)
            | Self::Refused(attempt, _)
            | Self::Chunk(attempt, _)
            | Self::Done(attempt, _)
            | Self::ConnectionLost(attempt) => attempt.request,
            Self::Claimed(id, _) | Self::AttemptStatus(id, _) | Self::CallerGone(id) => *id,
        }
    }
}

/// Result of a claim write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The record was written at this revision.
    Written(u64),
    /// The write condition did not hold: this record exists, at this revision.
    Conflict(ClaimRecord, u64),
    /// The store can't be reached; the record may or may not have been written.
    Unavailable,
}

/// Condition of a claim write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimWrite {
    /// Only if no record exists.
    Create,
    /// Only if the record still has this revision. If it no longer exists because its retention has
    /// passed, the claim writer creates no new one and answers `ClaimResult::Unavailable`.
    Replace(u64),
}

/// Source of a stage's input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageInput {
    /// The body of the caller's request.
    Caller,
    /// The output of the previous stage's winning attempt.
    Attempt(AttemptId),
}

/// Effect that the host process carries out for the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryAction {
    /// Send an attempt to a sidecar.
    Send {
        /// The destination.
        server: ServerId,
        /// The message.
        dispatch: Dispatch,
        /// The payload to send along.
        input: StageInput,
    },
    /// Cancel an attempt on a sidecar.
    Cancel(ServerId, AttemptId),
    /// Write a claim to the store and report the result as `EntryEvent::Claimed`.
    Claim {
        /// The request that waits for the result.
        request: RequestId,
        /// Digest of workspace, key and stage name.
        key: Digest,
        /// The record to write.
        record: ClaimRecord,
        /// The condition of the write.
        write: ClaimWrite,
    },
    /// Ask a sidecar to forbid the start of an attempt, and report the status as
    /// `EntryEvent::AttemptStatus`. If the attempt has ended, the output that the sidecar returns is
    /// stored as the output of this attempt.
    Forbid {
        /// The request that waits for the result.
        request: RequestId,
        /// The sidecar to ask.
        server: ServerId,
        /// The attempt to forbid.
        attempt: AttemptId,
        /// The run of the sidecar process that the attempt was sent to.
        incarnation: Incarnation,
    },
    /// Record the outcome of a claimed call in the store. The result is not reported back.
    RecordOutcome {
        /// Digest of workspace, key and stage name.
        key: Digest,
        /// The record to write. The host fills in the answer from the attempt's output.
        record: ClaimRecord,
        /// Revision at which the record is replaced.
        revision: u64,
    },
    /// Store these bytes as the output of this attempt.
    SaveOutput(AttemptId, Bytes),
    /// Forward the chunk of this attempt with this index to the caller.
    ForwardChunk(AttemptId, u32),
    /// Give the final answer. No action for this request follows.
    Answer(RequestId, Answer),
}

/// The final answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The whole output of this attempt.
    Complete(AttemptId),
    /// The request failed.
    Error {
        /// The reason.
        code: ErrorCode,
        /// Whether any of the work was executed.
        execution: Execution,
        /// Delay after which a retry may succeed, if any.
        retry: Option<Span>,
    },
}

value! {
    /// Reason of a failed request. Callers see these codes, and the set is closed.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum ErrorCode {
        /// The bundle does not define the pipeline.
        UnknownPipeline,
        /// The bundle does not define the workspace.
        UnknownWorkspace,
        /// The pipeline has a non-idempotent stage and the caller gave no idempotency key.
        KeyRequired,
        /// The idempotency key was used with another body or pipeline.
        KeyReused,
        /// The workspace has too many requests in progress.
        WorkspaceLimit,
        /// The pools can't finish the request before its deadline.
        Overloaded,
        /// The expected service time of the stages alone exceeds the deadline.
        DeadlineTooShort,
        /// A pool has no server that can take the request.
        Unavailable,
        /// The entry is shutting down.
        Draining,
        /// The request needs the store, which can't be reached.
        StoreDown,
        /// The deadline passed.
        DeadlineExceeded,
        /// A stage failed.
        StageFailed,
        /// The stream broke after chunks were forwarded, and can't be resumed.
        StreamBroken,
        /// A non-idempotent call may or may not have run. It is not run again.
        OutcomeUnknown,
    }

    /// Whether any work of a failed request was executed.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Execution {
        /// No attempt ran, and none will.
        NotRun,
        /// An attempt may have run or may still run.
        Unknown,
        /// At least one attempt ran.
        Ran,
    }
}

/// Settings of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Whether slow attempts are hedged.
    pub hedging: bool,
    /// Whether requests that are predicted to miss their deadline are refused.
    pub admission: bool,
    /// Jitter of the retry delays.
    pub backoff: BackoffKind,
    /// Scheduling policy: the full one, or the baseline of the bench.
    pub policy: Policy,
}

impl EntrySettings {
    /// Settings of the baseline that benchmarks compare against.
    pub fn baseline() -> Self {
        Self { hedging: false, admission: false, policy: Policy::Baseline, ..Self::default() }
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            hedging: true,
            admission: true,
            backoff: BackoffKind::default(),
            policy: Policy::default(),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) server: ServerId,
    pub(crate) sent_at: Time,
    /// Predicted queueing time when the attempt was sent.
    pub(crate) predicted_wait: Span,
    /// Service time as measured by the sidecar.
    pub(crate) service_time: Option<Span>,
}

/// Progress of a non-idempotent stage.
#[derive(Clone, Debug)]
pub(crate) enum ClaimProgress {
    /// The record is being written.
    Writing(ClaimRecord),
    /// The store holds this request's record at this revision, and its attempt was sent.
    Dispatched(ClaimRecord, u64),
    /// Waits for a sidecar's status of the recorded attempt.
    Forbidding(ClaimRecord, u64),
    /// Asks the sidecar again at `Request::retry_at`.
    ForbidScheduled(ClaimRecord, u64),
    /// A record whose sidecar process is gone is being replaced by `ClaimState::Unknown`.
    MarkingUnknown,
    /// Writes the claim at `Request::retry_at`.
    WriteScheduled(ClaimWrite),
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) call: Call,
    pub(crate) class: SizeClass,
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) deadline: Time,
    pub(crate) stage: u16,
    /// Attempts of the current stage that have not ended.
    pub(crate) attempts: Vec<Attempt>,
    /// Servers that attempts of the current stage were sent to.
    pub(crate) tried: Vec<ServerId>,
    /// Number of the next attempt at the current stage.
    pub(crate) next_number: u16,
    pub(crate) input: StageInput,
    /// Attempts of any stage that were sent and not ruled out: no sidecar has guaranteed that they
    /// never start.
    pub(crate) may_run: BTreeSet<AttemptId>,
    /// At least one attempt ran.
    pub(crate) has_run: bool,
    /// An attempt of another request with the same idempotency key may run.
    pub(crate) other_may_run: bool,
    /// Time of this request's element in `Entry::timers`.
    pub(crate) timer_due: Time,
    pub(crate) claim: Option<ClaimProgress>,
    /// Refused attempts of the current stage.
    pub(crate) redirects: u32,
    /// An attempt of the current stage failed or lost its connection.
    pub(crate) failed: bool,
    pub(crate) backoff: Backoff,
    pub(crate) retry_at: Option<Time>,
    pub(crate) hedge_at: Option<Time>,
    /// Number of chunks forwarded to the caller, and index of the next one.
    pub(crate) emitted: u32,
    /// The attempt whose chunks are forwarded.
    pub(crate) streamed_attempt: Option<AttemptId>,
}

impl Request {
    pub(crate) fn stage(&self) -> Option<&Stage> {
        self.pipeline()?.stages.get(usize::from(self.stage))
    }

    fn pipeline(&self) -> Option<&Pipeline> {
        self.bundle.pipelines.get(&self.call.pipeline)
    }

    pub(crate) fn next_timer(&self) -> Time {
        [self.retry_at, self.hedge_at].into_iter().flatten().fold(self.deadline, Time::min)
    }

    /// Error code for a stage that is abandoned before the deadline.
    pub(crate) fn failure_code(&self) -> ErrorCode {
        if self.claim.is_some() && self.execution() == Execution::Unknown {
            ErrorCode::OutcomeUnknown
        } else if self.failed {
            ErrorCode::StageFailed
        } else {
            ErrorCode::Unavailable
        }
    }

    /// Whether any of the work was executed so far.
    pub(crate) fn execution(&self) -> Execution {
        if self.has_run {
            Execution::Ran
        } else if self.other_may_run || !self.may_run.is_empty() {
            Execution::Unknown
        } else {
            Execution::NotRun
        }
    }

    /// Digest of workspace, key and stage name.
    ///
    /// A caller's key covers each non-idempotent stage of its pipeline separately. Stages are told
    /// apart by name, because a new bundle may move a stage to another position.
    pub(crate) fn claim_key(&self) -> Digest {
        let key = self.call.key.unwrap_or(self.call.body);
        mix_name(key, self.stage().map_or("", |stage| &stage.name))
    }

    /// Digest of body and pipeline name, so that reusing a key with another pipeline is refused.
    pub(crate) fn claim_body(&self) -> Digest {
        mix_name(self.call.body, self.call.pipeline.as_str())
    }
}

/// XORs the hash of a name into a digest. For a fixed name the mapping is injective.
fn mix_name(mut digest: Digest, name: &str) -> Digest {
    let hash = xxh3_128(name.as_bytes()).to_le_bytes();
    digest.0.iter_mut().zip(hash).for_each(|(byte, mask)| *byte ^= mask);
    digest
}

/// Request state machine of an entry process.
#[derive(Clone, Debug)]
pub struct Entry {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: AvailabilityZone,
    pub(crate) settings: EntrySettings,
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) routers: BTreeMap<PoolId, Router>,
    pub(crate) retry_budgets: BTreeMap<PoolId, RetryBudget>,
    pub(crate) hedge_budgets: BTreeMap<PoolId, HedgeBudget>,
    pub(crate) estimators: BTreeMap<(PipelineId, u16, SizeClass), Estimator>,
    pub(crate) admission: Admission,
    pub(crate) store_health: StoreHealth,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// One element per request: the time of its next timer.
    pub(crate) timers: BTreeSet<(Time, RequestId)>,
    /// Latest time passed to a call, event or tick; never goes back.
    pub(crate) now: Time,
    pub(crate) last_serial: u64,
    pub(crate) draining: bool,
    pub(crate) dropped_messages: u64,
}

impl Entry {
    /// Creates an entry without requests.
    pub fn new(
        incarnation: Incarnation,
        zone: AvailabilityZone,
        settings: EntrySettings,
        bundle: Arc<Bundle>,
    ) -> Self {
        let mut entry = Self {
            incarnation,
            zone,
            settings,
            bundle: Arc::clone(&bundle),
            routers: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            hedge_budgets: BTreeMap::new(),
            estimators: BTreeMap::new(),
            admission: Admission::default(),
            store_health: StoreHealth::default(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            now: Time::default(),
            last_serial: 0,
            draining: false,
            dropped_messages: 0,
        };
        entry.configure(bundle);
        entry
    }

    /// Applies a bundle to new requests. Requests in progress keep the bundle they started with.
    pub fn configure(&mut self, bundle: Arc<Bundle>) {
        // Requests in progress still need the pools of their own bundle.
        let in_use = |id: &PoolId| self.requests.values().any(|r| r.bundle.pools.contains_key(id));
        self.routers.retain(|id, _| bundle.pools.contains_key(id) || in_use(id));
        for (id, pool) in &bundle.pools {
            let zone = self.zone.clone();
            let (policy, identity) = (self.settings.policy, self.incarnation.0);
            let router = self
                .routers
                .entry(id.clone())
                .or_insert_with(|| Router::with_policy(zone, policy, identity));
            router.set_servers(&pool.servers);
            let share = pool.extra;
            let budget =
                self.retry_budgets.entry(id.clone()).or_insert_with(|| RetryBudget::new(share));
            budget.set_share(share);
            let share = pool.extra.min(HEDGE_WORK_PERMILLE);
            let hedges =
                self.hedge_budgets.entry(id.clone()).or_insert_with(|| HedgeBudget::new(share));
            hedges.set_share(share);
        }
        self.bundle = bundle;
    }

    /// Whether this entry sends attempts to a server. In a large pool an entry uses a subset of the
    /// servers and needs no connection to the others.
    pub fn uses_server(&self, pool: &PoolId, server: &ServerId) -> bool {
        self.routers.get(pool).is_some_and(|router| router.contains(server))
    }

    /// Starts a request of the default size class. The actions may already include its answer.
    pub fn call(&mut self, now: Time, rng: &mut Rng, call: Call) -> (RequestId, Vec<EntryAction>) {
        self.call_sized(now, rng, call, SizeClass::default())
    }

    /// Starts a request of a given size class. Service times are predicted separately for each
    /// class.
    pub fn call_sized(
        &mut self,
        now: Time,
        rng: &mut Rng,
        call: Call,
        class: SizeClass,
    ) -> (RequestId, Vec<EntryAction>) {
        self.now = self.now.max(now);
        self.last_serial += 1;
        let id = RequestId { entry: self.incarnation, serial: self.last_serial };
        let mut actions = Vec::new();
        match self.admit(now, &call, class) {
            Err((code, retry)) => {
                let answer = Answer::Error { code, execution: Execution::NotRun, retry };
                actions.push(EntryAction::Answer(id, answer));
            }
            Ok(budget) => {
                let request = self.new_request(call, class, now + budget);
                self.timers.insert((request.timer_due, id));
                self.requests.insert(id, request);
                self.begin_stage(now, rng, id, &mut actions);
            }
        }
        (id, actions)
    }

    /// Handles an event and returns the resulting actions.
    pub fn event(&mut self, now: Time, rng: &mut Rng, event: EntryEvent) -> Vec<EntryAction> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        let id = event.request();
        if self.requests.get(&id).is_some_and(|request| request.deadline <= now) {
            // The timers have not run yet, for example after a pause of the process past the
            // deadline. Expire the request first, so that no attempt is sent with no time left.
            self.expire(id, &mut actions);
        }
        match event {
            EntryEvent::Accepted(_) => {}
            EntryEvent::Refused(attempt, refusal) => {
                self.attempt_refused(now, rng, attempt, refusal, &mut actions);
            }
            EntryEvent::Chunk(attempt, index) => self.chunk_received(attempt, index, &mut actions),
            EntryEvent::Done(attempt, outcome) => {
                self.attempt_done(now, rng, attempt, outcome, &mut actions);
            }
            EntryEvent::ConnectionLost(attempt) => {
                self.attempt_lost(now, rng, attempt, &mut actions)
            }
            EntryEvent::Claimed(id, answer) => {
                self.store_health.record_answer(now, answer != ClaimResult::Unavailable);
                self.claim_result(now, rng, id, answer, &mut actions);
            }
            EntryEvent::AttemptStatus(id, status) => {
                self.attempt_status(now, rng, id, status, &mut actions);
            }
            EntryEvent::CallerGone(id) => self.remove_request(id, &mut actions),
        }
        actions
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Time, rng: &mut Rng) -> Vec<EntryAction> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.run_timer(now, rng, id, &mut actions);
        }
        actions
    }

    /// Time at which `tick` must run next.
    pub fn next_tick(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles a load report of a sidecar.
    pub fn report(&mut self, pool: &PoolId, server: &ServerId, report: Report) {
        if let Some(router) = self.routers.get_mut(pool) {
            router.record_report(server, report);
        }
    }

    /// Sets the service time that the sidecar measured for an attempt. Call it before
    /// `EntryEvent::Done`; otherwise the round trip minus the predicted wait is used.
    pub fn set_service_time(&mut self, attempt: AttemptId, time: Span) {
        let request = self.requests.get_mut(&attempt.request);
        let attempts = request.into_iter().flat_map(|request| &mut request.attempts);
        attempts.filter(|a| a.id == attempt).for_each(|a| a.service_time = Some(time));
    }

    /// Updates whether a backend server's cache holds a prefix. Late or missing updates only make
    /// routing less accurate.
    pub fn set_cached_prefix(
        &mut self,
        pool: &PoolId,
        server: &ServerId,
        prefix: u64,
        cached: bool,
    ) {
        if let Some(router) = self.routers.get_mut(pool) {
            router.update_prefix(server, prefix, cached);
        }
    }

    /// Number of attempts that were sent and have not ended, over all pools. Zero when no request
    /// is in progress.
    pub fn open_attempts(&self) -> usize {
        self.routers.values().map(Router::open_attempts).sum()
    }

    /// The servers of a pool that this entry uses. It needs connections only to these.
    pub fn servers(&self, pool: &PoolId) -> impl Iterator<Item = &ServerId> {
        self.routers.get(pool).into_iter().flat_map(Router::servers)
    }

    /// Records that the connection to a sidecar opened or closed. Attempts in progress on a closed
    /// connection must each be reported as `EntryEvent::ConnectionLost`.
    pub fn set_connected(&mut self, now: Time, pool: &PoolId, server: &ServerId, connected: bool) {
        if let Some(router) = self.routers.get_mut(pool) {
            router.set_connected(now, server, connected);
        }
    }

    /// Records whether the instance list marks a server as leaving.
    pub fn set_leaving(&mut self, pool: &PoolId, server: &ServerId, leaving: bool) {
        if let Some(router) = self.routers.get_mut(pool) {
            router.set_leaving(server, leaving);
        }
    }

    /// Stops accepting requests. Those in progress continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of late or duplicate messages that were dropped.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages
    }

    /// The bundle that applies to new requests.
    pub fn bundle(&self) -> &Arc<Bundle> {
        &self.bundle
    }

    fn admit(
        &mut self,
        now: Time,
        call: &Call,
        class: SizeClass,
    ) -> Result<Span, (ErrorCode, Option<Span>)> {
        if self.draining {
            return Err((ErrorCode::Draining, Some(Span::ZERO)));
        }
        let bundle = Arc::clone(&self.bundle);
        let pipeline =
            bundle.pipelines.get(&call.pipeline).ok_or((ErrorCode::UnknownPipeline, None))?;
        let workspace =
            bundle.workspaces.get(&call.workspace).ok_or((ErrorCode::UnknownWorkspace, None))?;
        let once = pipeline.stages.iter().any(|stage| stage.effect == Effect::Once);
        if once && call.key.is_none() {
            return Err((ErrorCode::KeyRequired, None));
        }
        // Without the store the claim would fail, and the work of earlier stages would be wasted.
        if once && self.settings.admission && !self.store_health.allow_request(now) {
            return Err((ErrorCode::StoreDown, Some(DEFAULT_RETRY_HINT)));
        }
        let budget = call.deadline.unwrap_or(pipeline.deadline).min(pipeline.deadline);
        let (work, wait) = self
            .predict(now, &call.pipeline, class, pipeline, 0)
            .ok_or((ErrorCode::Unavailable, Some(DEFAULT_RETRY_HINT)))?;
        let expected = pipeline.stages.iter().fold(Span::ZERO, |sum, stage| sum + stage.expected);
        let ask = self.settings.admission.then_some(AdmissionRequest {
            work,
            nominal_work: expected,
            wait,
            budget,
        });
        if work > budget && expected <= budget {
            self.mark_stale(now, &call.pipeline, class);
        }
        match self.admission.admit(now, &call.workspace, workspace, ask) {
            Ok(()) => Ok(budget),
            Err(Denial::WorkspaceLimit { retry_after }) => {
                Err((ErrorCode::WorkspaceLimit, Some(retry_after)))
            }
            Err(Denial::Overloaded { retry_after }) => {
                Err((ErrorCode::Overloaded, Some(retry_after)))
            }
            Err(Denial::DeadlineTooShort) => Err((ErrorCode::DeadlineTooShort, None)),
        }
    }

    fn mark_stale(&mut self, now: Time, pipeline: &PipelineId, class: SizeClass) {
        let matches = |key: &(PipelineId, u16, SizeClass)| key.0 == *pipeline && key.2 == class;
        self.estimators
            .iter_mut()
            .filter(|(key, _)| matches(key))
            .for_each(|(_, e)| e.mark_stale(now));
    }

    /// Predicted service time and wait of the stages from index `first` on, or `None` when a pool
    /// has no server that can take work.
    pub(crate) fn predict(
        &self,
        now: Time,
        id: &PipelineId,
        class: SizeClass,
        pipeline: &Pipeline,
        first: u16,
    ) -> Option<(Span, Span)> {
        let (mut work, mut wait) = (Span::ZERO, Span::ZERO);
        for (i, stage) in pipeline.stages.iter().enumerate().skip(usize::from(first)) {
            let estimate = self.estimate(id, i as u16, class, stage);
            work += estimate;
            wait += self.routers.get(&stage.pool)?.median_wait(now, estimate)?;
        }
        Some((work, wait))
    }

    /// Predicted service time of a stage.
    pub(crate) fn estimate(
        &self,
        id: &PipelineId,
        stage: u16,
        class: SizeClass,
        settings: &Stage,
    ) -> Span {
        let key = (id.clone(), stage, class);
        self.estimators.get(&key).map_or(settings.expected, |estimator| estimator.mean(self.now))
    }

    fn new_request(&self, call: Call, class: SizeClass, deadline: Time) -> Request {
        Request {
            call,
            class,
            bundle: Arc::clone(&self.bundle),
            deadline,
            stage: 0,
            attempts: Vec::new(),
            tried: Vec::new(),
            next_number: 0,
            input: StageInput::Caller,
            may_run: BTreeSet::new(),
            has_run: false,
            other_may_run: false,
            timer_due: deadline,
            claim: None,
            redirects: 0,
            failed: false,
            backoff: Backoff::with_kind(RETRY_DELAY_BASE, RETRY_DELAY_MAX, self.settings.backoff),
            retry_at: None,
            hedge_at: None,
            emitted: 0,
            streamed_attempt: None,
        }
    }
}
