//! Decisions of an entry: every request from admission to its one answer.

use crate::Rng;
use crate::admit::{Admission, Ask, Denial, StoreHealth};
use crate::bundle::{Bundle, Effect, Pipeline, Stage};
use crate::claim::ClaimRecord;
use crate::ids::{
    AttemptId, AvailabilityZone, Digest, Incarnation, PipelineId, PoolId, RequestId, ServerId,
    WorkspaceId,
};
use crate::message::{AttemptStatus, Dispatch, Outcome, Refusal, Report};
use crate::policy::Policy;
use crate::predict::{Estimator, SizeClass};
use crate::retry::{Backoff, Budget, Spread, WorkBudget};
use crate::route::Router;
use crate::time::{Span, Time};
use crate::value;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// First delay of retries.
const RETRY_BASE: Span = Span::from_millis(5);
/// Longest delay of retries.
const RETRY_CAP: Span = Span::from_millis(250);
/// Work that hedges may add at most, in thousandths of the work of first attempts.
const HEDGE_SHARE: u32 = 30;
/// Retry hint when nothing better is known.
const DEFAULT_RETRY: Span = Span::from_secs(1);

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Pipeline to run.
    pub pipeline: PipelineId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Deadline that the caller asked for; the pipeline's is the ceiling.
    pub deadline: Option<Span>,
    /// Digest of workspace and idempotency key; needed when a stage may run only once.
    pub key: Option<Digest>,
    /// Digest of the body.
    pub body: Digest,
    /// Digest of the prompt prefix, for affinity.
    pub prefix: Option<u64>,
    /// Whether the last stage's chunks are passed on as they come.
    pub stream: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// The side took the attempt.
    Accepted(AttemptId),
    /// The side promised never to start the attempt.
    Refused(AttemptId, Refusal),
    /// A chunk of the answer arrived; it counts from 0 within the stage.
    Chunk(AttemptId, u32),
    /// The attempt ended.
    Done(AttemptId, Outcome),
    /// The connection broke before the attempt ended; it may run or have run.
    Lost(AttemptId),
    /// The store answered a claim. Exactly one answer per `EntryAction::Claim`.
    Claimed(RequestId, ClaimAnswer),
    /// A side answered what it knows; `None` when it can't be reached. Exactly one answer per
    /// `EntryAction::Ask`.
    Stands(RequestId, Option<AttemptStatus>),
    /// The caller went away.
    Gone(RequestId),
}

impl EntryEvent {
    /// The request that the event is about.
    pub fn request(&self) -> RequestId {
        match self {
            Self::Accepted(attempt)
            | Self::Refused(attempt, _)
            | Self::Chunk(attempt, _)
            | Self::Done(attempt, _)
            | Self::Lost(attempt) => attempt.request,
            Self::Claimed(id, _) | Self::Stands(id, _) | Self::Gone(id) => *id,
        }
    }
}

/// The store's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The record was written at this revision.
    Won(u64),
    /// Another record stands there, at this revision.
    Found(ClaimRecord, u64),
    /// The store can't be reached.
    Down,
}

/// How to write a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimWrite {
    /// Only if no record exists.
    Create,
    /// Only if the record still has this revision. When the record is gone, its retention has
    /// passed: the write is repeated as `Create`.
    Replace(u64),
}

/// Where the input of a stage comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The caller's body.
    Caller,
    /// The output of the winning attempt of the stage before.
    Attempt(AttemptId),
}

/// What the entry must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryAction {
    /// Send an attempt to a side.
    Send {
        /// Where to.
        server: ServerId,
        /// What to send.
        dispatch: Dispatch,
        /// Whose output to send with it.
        input: Input,
    },
    /// Cancel an attempt at a side.
    Cancel(ServerId, AttemptId),
    /// Write a claim to the store and report the answer.
    Claim {
        /// The request that it is for.
        request: RequestId,
        /// Digest of workspace, key and stage name.
        key: Digest,
        /// The record to write.
        record: ClaimRecord,
        /// Under which condition.
        write: ClaimWrite,
    },
    /// Ask a side to promise never to start an attempt, and report its word. When it ended, the
    /// side's kept output belongs to this attempt.
    Ask {
        /// The request that it is for.
        request: RequestId,
        /// The side to ask.
        server: ServerId,
        /// The attempt in question.
        attempt: AttemptId,
        /// The incarnation that it belongs to.
        incarnation: Incarnation,
    },
    /// Record the end of a claimed call in the store; no answer is awaited.
    Settle {
        /// Digest of workspace, key and stage name.
        key: Digest,
        /// The record to write; its answer is filled in from the attempt's output.
        record: ClaimRecord,
        /// Revision that the record must still have.
        revision: u64,
    },
    /// Keep these bytes as the output of this attempt.
    Keep(AttemptId, Bytes),
    /// Pass a chunk of this attempt on to the caller.
    Emit(AttemptId, u32),
    /// The final answer; nothing follows for this request.
    Answer(RequestId, Answer),
}

/// The final answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The whole output of this attempt.
    Complete(AttemptId),
    /// No answer can be given.
    Error {
        /// Why.
        code: Code,
        /// What happened to the work.
        execution: Execution,
        /// When to come back, if that can help.
        retry: Option<Span>,
    },
}

value! {
    /// Why a request has no answer. A closed set that callers see.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Code {
        /// The bundle has no such pipeline.
        UnknownPipeline,
        /// The bundle has no such workspace.
        UnknownWorkspace,
        /// A stage may run only once and the caller gave no key.
        KeyRequired,
        /// The key was used with another body.
        KeyReused,
        /// The workspace has too many requests in progress.
        WorkspaceLimit,
        /// The pools can't finish it in time.
        Overloaded,
        /// The stages take longer than the deadline even when nothing waits.
        DeadlineTooShort,
        /// No server of a pool can be reached.
        Unavailable,
        /// The entry is shutting down.
        Draining,
        /// The store is needed for this call and can't be reached.
        StoreDown,
        /// The deadline passed.
        DeadlineExceeded,
        /// A stage failed.
        StageFailed,
        /// The stream broke after part of it was passed on, and can't be resumed.
        StreamBroken,
        /// A non-idempotent call may or may not have run; nobody runs it again.
        OutcomeUnknown,
    }

    /// What happened to the work of a request without an answer.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Execution {
        /// Nothing ran and nothing will.
        NotRun,
        /// Some of it may have run.
        Unknown,
        /// Some of it ran.
        Ran,
    }
}

/// Settings of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Whether slow attempts are hedged.
    pub hedging: bool,
    /// Whether requests that are predicted to be late are refused.
    pub admission: bool,
    /// How the delays of retries are spread.
    pub spread: Spread,
    /// Which decisions are in force.
    pub policy: Policy,
}

impl EntrySettings {
    /// Settings of the baseline that the bench measures against.
    pub fn baseline() -> Self {
        Self { hedging: false, admission: false, policy: Policy::Baseline, ..Self::default() }
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            hedging: true,
            admission: true,
            spread: Spread::default(),
            policy: Policy::default(),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) server: ServerId,
    pub(crate) sent: Time,
    /// Predicted wait when it was sent.
    pub(crate) wait: Span,
    /// Service time that the side measured.
    pub(crate) served: Option<Span>,
}

/// Progress of a stage that may run only once.
#[derive(Clone, Debug)]
pub(crate) enum Claim {
    /// Waits for the store's answer.
    Writing(ClaimRecord),
    /// The record is this request's own and its attempt was sent.
    Held(ClaimRecord, u64),
    /// Waits for a side's word on the record that was found.
    Asking(ClaimRecord, u64),
    /// Asks again at the request's retry time.
    Waiting(ClaimRecord, u64),
    /// Writes `Unknown` over a record whose side is gone.
    Marking,
    /// Claims at the request's retry time.
    Planned(ClaimWrite),
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) call: Call,
    pub(crate) class: SizeClass,
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) deadline: Time,
    pub(crate) stage: u16,
    /// Attempts at the current stage that have not ended; none of an earlier stage.
    pub(crate) attempts: Vec<Attempt>,
    /// Servers that attempts of the current stage were sent to.
    pub(crate) used: Vec<ServerId>,
    /// Number of the next attempt.
    pub(crate) number: u16,
    pub(crate) input: Input,
    /// Attempts that were sent, at any stage, and that no side has promised never to start.
    pub(crate) open: BTreeSet<AttemptId>,
    /// Some attempt ran.
    pub(crate) ran: bool,
    /// Another request's attempt under the same key may run.
    pub(crate) foreign: bool,
    /// The element of `Entry::timers` that belongs to this request.
    pub(crate) armed: Time,
    pub(crate) claim: Option<Claim>,
    /// Attempts at the current stage that were refused without having run.
    pub(crate) redirects: u32,
    /// An attempt at the current stage failed or was lost.
    pub(crate) failed: bool,
    pub(crate) backoff: Backoff,
    pub(crate) retry_at: Option<Time>,
    pub(crate) hedge_at: Option<Time>,
    /// Chunks passed on to the caller; the next one has this index.
    pub(crate) emitted: u32,
    /// The attempt whose chunks are passed on.
    pub(crate) streaming: Option<AttemptId>,
}

impl Request {
    pub(crate) fn stage(&self) -> Option<&Stage> {
        self.pipeline()?.stages.get(usize::from(self.stage))
    }

    fn pipeline(&self) -> Option<&Pipeline> {
        self.bundle.pipelines.get(&self.call.pipeline)
    }

    pub(crate) fn next_event(&self) -> Time {
        [self.retry_at, self.hedge_at].into_iter().flatten().fold(self.deadline, Time::min)
    }

    /// Why the current stage has no answer although its deadline has not passed.
    pub(crate) fn shortfall(&self) -> Code {
        if self.claim.is_some() && self.execution() == Execution::Unknown {
            Code::OutcomeUnknown
        } else if self.failed {
            Code::StageFailed
        } else {
            Code::Unavailable
        }
    }

    /// What happened to the work so far.
    pub(crate) fn execution(&self) -> Execution {
        if self.ran {
            Execution::Ran
        } else if self.foreign || !self.open.is_empty() {
            Execution::Unknown
        } else {
            Execution::NotRun
        }
    }

    /// Digest of workspace, key and stage name.
    ///
    /// One caller's key covers each non-idempotent stage of its pipeline separately. The name stands
    /// for the stage, since a new bundle may move it to another position.
    pub(crate) fn key(&self) -> Digest {
        let key = self.call.key.unwrap_or(self.call.body);
        mix(key, self.stage().map_or("", |stage| &stage.name))
    }

    /// Digest of body and pipeline: a key that returns through another pipeline is refused.
    pub(crate) fn body(&self) -> Digest {
        mix(self.call.body, self.call.pipeline.as_str())
    }
}

/// Mixes a name into a digest. For one name this maps different digests to different ones.
fn mix(mut digest: Digest, name: &str) -> Digest {
    let hash = xxh3_128(name.as_bytes()).to_le_bytes();
    digest.0.iter_mut().zip(hash).for_each(|(byte, mask)| *byte ^= mask);
    digest
}

/// All requests of an entry process.
#[derive(Clone, Debug)]
pub struct Entry {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: AvailabilityZone,
    pub(crate) settings: EntrySettings,
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) routers: BTreeMap<PoolId, Router>,
    pub(crate) budgets: BTreeMap<PoolId, Budget>,
    pub(crate) hedges: BTreeMap<PoolId, WorkBudget>,
    pub(crate) estimators: BTreeMap<(PipelineId, u16, SizeClass), Estimator>,
    pub(crate) admission: Admission,
    pub(crate) store: StoreHealth,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// One element per request: when its next timer runs out.
    pub(crate) timers: BTreeSet<(Time, RequestId)>,
    /// Time of the last event.
    pub(crate) now: Time,
    pub(crate) serial: u64,
    pub(crate) draining: bool,
    pub(crate) dropped: u64,
}

impl Entry {
    /// An entry without requests.
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
            budgets: BTreeMap::new(),
            hedges: BTreeMap::new(),
            estimators: BTreeMap::new(),
            admission: Admission::default(),
            store: StoreHealth::default(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            now: Time::default(),
            serial: 0,
            draining: false,
            dropped: 0,
        };
        entry.configure(bundle);
        entry
    }

    /// Puts a bundle into force for new requests; running ones keep theirs.
    pub fn configure(&mut self, bundle: Arc<Bundle>) {
        // Requests in progress run on under the bundle that they began with.
        let old = |id: &PoolId| self.requests.values().any(|r| r.bundle.pools.contains_key(id));
        self.routers.retain(|id, _| bundle.pools.contains_key(id) || old(id));
        for (id, pool) in &bundle.pools {
            let zone = self.zone.clone();
            let (policy, identity) = (self.settings.policy, self.incarnation.0);
            let router = self
                .routers
                .entry(id.clone())
                .or_insert_with(|| Router::with_policy(zone, policy, identity));
            router.set_servers(&pool.servers);
            let share = pool.extra;
            let budget = self.budgets.entry(id.clone()).or_insert_with(|| Budget::new(share));
            budget.set_share(share);
            let share = pool.extra.min(HEDGE_SHARE);
            let hedges = self.hedges.entry(id.clone()).or_insert_with(|| WorkBudget::new(share));
            hedges.set_share(share);
        }
        self.bundle = bundle;
    }

    /// Whether this entry sends attempts to a server. In a large pool it uses a part of the servers, and
    /// needs no connection to the others.
    pub fn uses(&self, pool: &PoolId, server: &ServerId) -> bool {
        self.routers.get(pool).is_some_and(|router| router.uses(server))
    }

    /// Takes a request. The first action may already be its answer.
    pub fn call(&mut self, now: Time, rng: &mut Rng, call: Call) -> (RequestId, Vec<EntryAction>) {
        self.call_sized(now, rng, call, SizeClass::default())
    }

    /// Takes a request of a known size class; service times are predicted for each class apart.
    pub fn call_sized(
        &mut self,
        now: Time,
        rng: &mut Rng,
        call: Call,
        class: SizeClass,
    ) -> (RequestId, Vec<EntryAction>) {
        self.now = self.now.max(now);
        self.serial += 1;
        let id = RequestId { entry: self.incarnation, serial: self.serial };
        let mut actions = Vec::new();
        match self.admit(now, &call, class) {
            Err((code, retry)) => {
                let answer = Answer::Error { code, execution: Execution::NotRun, retry };
                actions.push(EntryAction::Answer(id, answer));
            }
            Ok(budget) => {
                let request = self.new_request(call, class, now + budget);
                self.timers.insert((request.armed, id));
                self.requests.insert(id, request);
                self.begin_stage(now, rng, id, &mut actions);
            }
        }
        (id, actions)
    }

    /// Takes an event.
    pub fn event(&mut self, now: Time, rng: &mut Rng, event: EntryEvent) -> Vec<EntryAction> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        let id = event.request();
        if self.requests.get(&id).is_some_and(|request| request.deadline <= now) {
            // The process was paused past the deadline and its timers have not run yet.
            self.expire(id, &mut actions);
        }
        match event {
            EntryEvent::Accepted(_) => {}
            EntryEvent::Refused(attempt, refusal) => {
                self.refused(now, rng, attempt, refusal, &mut actions);
            }
            EntryEvent::Chunk(attempt, index) => self.chunk(attempt, index, &mut actions),
            EntryEvent::Done(attempt, outcome) => {
                self.done(now, rng, attempt, outcome, &mut actions);
            }
            EntryEvent::Lost(attempt) => self.lost(now, rng, attempt, &mut actions),
            EntryEvent::Claimed(id, answer) => {
                self.store.answered(now, answer != ClaimAnswer::Down);
                self.claimed(now, rng, id, answer, &mut actions);
            }
            EntryEvent::Stands(id, standing) => {
                self.stands(now, rng, id, standing, &mut actions);
            }
            EntryEvent::Gone(id) => self.end(id, &mut actions),
        }
        actions
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Time, rng: &mut Rng) -> Vec<EntryAction> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timer(now, rng, id, &mut actions);
        }
        actions
    }

    /// When `tick` has something to do.
    pub fn next_tick(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// A side's report arrived.
    pub fn report(&mut self, pool: &PoolId, server: &ServerId, report: Report) {
        if let Some(router) = self.routers.get_mut(pool) {
            router.report(server, report);
        }
    }

    /// The side measured this service time for an attempt that is about to be reported as done.
    /// Without it the time is taken from the round trip, which includes the wait.
    pub fn served(&mut self, attempt: AttemptId, time: Span) {
        let request = self.requests.get_mut(&attempt.request);
        let attempts = request.into_iter().flat_map(|request| &mut request.attempts);
        attempts.filter(|a| a.id == attempt).for_each(|a| a.served = Some(time));
    }

    /// A backend server's cache took up or dropped a prefix; late and incomplete news are fine.
    pub fn cached(&mut self, pool: &PoolId, server: &ServerId, prefix: u64, kept: bool) {
        if let Some(router) = self.routers.get_mut(pool) {
            router.cached(server, prefix, kept);
        }
    }

    /// Attempts that were sent and have not ended, at all pools; zero without requests in progress.
    pub fn attempts(&self) -> usize {
        self.routers.values().map(Router::open).sum()
    }

    /// The servers of a pool that this entry uses; it needs connections to these only.
    pub fn servers(&self, pool: &PoolId) -> impl Iterator<Item = &ServerId> {
        self.routers.get(pool).into_iter().flat_map(Router::servers)
    }

    /// The connection to a side opened or closed. Its attempts are reported lost one by one.
    pub fn connected(&mut self, now: Time, pool: &PoolId, server: &ServerId, connected: bool) {
        if let Some(router) = self.routers.get_mut(pool) {
            router.connected(now, server, connected);
        }
    }

    /// The instance list says that a server is leaving, or no longer.
    pub fn leaving(&mut self, pool: &PoolId, server: &ServerId, leaving: bool) {
        if let Some(router) = self.routers.get_mut(pool) {
            router.leaving(server, leaving);
        }
    }

    /// Refuses new requests; those in progress go on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Requests in progress.
    pub fn progress(&self) -> usize {
        self.requests.len()
    }

    /// Late or duplicate messages that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The bundle in force for new requests.
    pub fn bundle(&self) -> &Arc<Bundle> {
        &self.bundle
    }

    fn admit(
        &mut self,
        now: Time,
        call: &Call,
        class: SizeClass,
    ) -> Result<Span, (Code, Option<Span>)> {
        if self.draining {
            return Err((Code::Draining, Some(Span::ZERO)));
        }
        let bundle = Arc::clone(&self.bundle);
        let pipeline = bundle.pipelines.get(&call.pipeline).ok_or((Code::UnknownPipeline, None))?;
        let workspace =
            bundle.workspaces.get(&call.workspace).ok_or((Code::UnknownWorkspace, None))?;
        let once = pipeline.stages.iter().any(|stage| stage.effect == Effect::Once);
        if once && call.key.is_none() {
            return Err((Code::KeyRequired, None));
        }
        // Otherwise the stages before the claim would be paid for in vain.
        if once && self.settings.admission && !self.store.allows(now) {
            return Err((Code::StoreDown, Some(DEFAULT_RETRY)));
        }
        let budget = call.deadline.unwrap_or(pipeline.deadline).min(pipeline.deadline);
        let (work, wait) = self
            .predict(now, &call.pipeline, class, pipeline, 0)
            .ok_or((Code::Unavailable, Some(DEFAULT_RETRY)))?;
        let expected = pipeline.stages.iter().fold(Span::ZERO, |sum, stage| sum + stage.expected);
        let ask = self.settings.admission.then_some(Ask { work, expected, wait, budget });
        if work > budget && expected <= budget {
            self.mark_stale(now, &call.pipeline, class);
        }
        match self.admission.admit(now, &call.workspace, workspace, ask) {
            Ok(()) => Ok(budget),
            Err(Denial::WorkspaceLimit { retry }) => Err((Code::WorkspaceLimit, Some(retry))),
            Err(Denial::Overloaded { retry }) => Err((Code::Overloaded, Some(retry))),
            Err(Denial::TooShort) => Err((Code::DeadlineTooShort, None)),
        }
    }

    fn mark_stale(&mut self, now: Time, pipeline: &PipelineId, class: SizeClass) {
        let of = |key: &(PipelineId, u16, SizeClass)| key.0 == *pipeline && key.2 == class;
        self.estimators.iter_mut().filter(|(key, _)| of(key)).for_each(|(_, e)| e.mark_stale(now));
    }

    /// Predicted service time and wait of the stages from `first` on. `None`: a pool has no server
    /// that can take work.
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
            wait += self.routers.get(&stage.pool)?.usual_wait(now, estimate)?;
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
            used: Vec::new(),
            number: 0,
            input: Input::Caller,
            open: BTreeSet::new(),
            ran: false,
            foreign: false,
            armed: deadline,
            claim: None,
            redirects: 0,
            failed: false,
            backoff: Backoff::with_spread(RETRY_BASE, RETRY_CAP, self.settings.spread),
            retry_at: None,
            hedge_at: None,
            emitted: 0,
            streaming: None,
        }
    }
}
