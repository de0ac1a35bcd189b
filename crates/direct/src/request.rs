//! Handles one request from admission to its single final response.

use crate::attempt::{Outcome, ServerResponse};
use crate::body::Body;
use crate::log::{Kind, Value};
use crate::memory::Reservation;
use crate::node::{Node, State};
use crate::permits::Permit;
use crate::stages::{HeldResults, PieceFailure, StageError, StageJob};
use crate::stream::{StreamRelay, media_type};
use crate::wire::{RequestInfo, SendPath, Wire};
use bytes::Bytes;
use damaskweir_core::batch::Lane;
use damaskweir_core::catalog::{Repeat, Route};
use damaskweir_core::fleet::Replica;
use damaskweir_core::forecast::{ArrivalEstimate, Decision, decide_admission};
use damaskweir_core::graph::{PlanError, StagePlan};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId, WorkspaceId};
use damaskweir_core::place::{AttemptOutcome, Placer, Requirements, Selection};
use damaskweir_core::time::{Span, Time};
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use rand_core::Rng as _;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::timeout_at;

/// Maximum number of times one request is sent to a server, including attempts that the server refused.
const SENDS_MAX: u32 = 4;
/// Minimum time until the deadline for another attempt.
pub(crate) const RETRY_TIME_MIN: Span = Span::from_millis(40);
/// `Retry-After` if the pool has no usable server.
const NO_SERVER_RETRY: Span = Span::from_millis(500);
/// `Retry-After` if this entry is draining. It is short because another entry can take the request at
/// once.
const DRAINING_RETRY: Span = Span::from_millis(50);
/// `Retry-After` if all servers are full, and for other requests that did not run.
pub(crate) const BUSY_RETRY: Span = Span::from_millis(250);

/// Fraction of the objective within which the response or first event is planned. The rest is a reserve,
/// because the server call after the stages sometimes takes longer than its mean latency.
const DUE_RATIO: f64 = 0.9;

/// Cause of the refusal of a request with a part that crashes servers.
pub(crate) const PART_QUARANTINED: &str = "part_quarantined";
/// Cause of the refusal of a call that crashes servers.
pub(crate) const CALL_QUARANTINED: &str = "call_quarantined";

/// Final result of a request that is not a response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The request has not run and will not run.
    NotRun {
        /// Cause in the log and the response body.
        cause: &'static str,
        /// Delay after which the caller may try again.
        retry: Span,
    },
    /// The request has not run and will not run, and the caller should not try again soon.
    Rejected {
        /// Cause in the log and the response body.
        cause: &'static str,
    },
    /// The request may have run.
    Unknown {
        /// Cause in the log and the response body.
        cause: &'static str,
    },
    /// No time is left and the request may have run.
    Expired(TimeLimit),
}

/// What ended the time of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimeLimit {
    /// Its deadline.
    Deadline,
    /// The end of this process.
    Shutdown,
}

impl TimeLimit {
    /// Cause in the log and the response body.
    fn cause(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Shutdown => "draining",
        }
    }
}

/// A request whose route is known, and its state.
pub(crate) struct ActiveRequest<W: Wire> {
    pub(crate) node: Rc<Node<W>>,
    pub(crate) info: RequestInfo,
    pub(crate) head: Parts,
    /// The body in parts.
    pub(crate) body: Vec<Bytes>,
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) rank: u8,
    pub(crate) pool: PoolId,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Ids of the prompt parts that other requests may share. The last part is the request's own.
    pub(crate) shared_parts: Vec<u64>,
    /// Digest of the call, which may be sent again as another request.
    pub(crate) call: u64,
    /// Servers on which the request may have run.
    pub(crate) maybe_ran: Vec<ServerId>,
    /// Servers that were chosen for an attempt, including those that could not be reached.
    pub(crate) sent: Vec<ServerId>,
    /// Stages of the route that the request runs. Empty until the request is admitted.
    plan: StagePlan,
    timing: StreamTiming,
    /// Predicted duration of the stages and the wait for the response or the first event.
    predicted_time: Span,
    /// Estimated time since the caller's first try of this request.
    elapsed: Span,
    /// Whether the request was admitted although it will miss its objective.
    admitted_late: bool,
    /// Retry delay that was sent to the caller.
    retry_after: Span,
    ended: bool,
    /// Its part of the memory for requests in progress.
    _memory: Reservation,
}

/// Event times of a stream, for the final log line.
#[derive(Default)]
struct StreamTiming {
    first_event: Span,
    last_event: Time,
    /// Longest gap between events.
    max_gap: Span,
}

impl<W: Wire> ActiveRequest<W> {
    pub(crate) fn new(
        node: Rc<Node<W>>,
        (info, head, body): (RequestInfo, Parts, Vec<Bytes>),
        route: Arc<Route>,
        caller: (Option<WorkspaceId>, u8),
        (arrived, memory): (Time, Reservation),
    ) -> Option<Self> {
        let draw = node.state.borrow_mut().rng.next_u64();
        let pool = route.target(draw)?.clone();
        let wait = info.deadline.unwrap_or(route.timeout);
        let deadline = arrived + Span(wait.0.min(route.timeout.0));
        node.state.borrow_mut().active += 1;
        let (workspace, rank) = caller;
        let (maybe_ran, sent) = (Vec::new(), Vec::new());
        let call = node.wire.digest_call(&head, &body);
        let shared = info.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_parts = shared.iter().map(|part| part.id).collect();
        Some(Self {
            node,
            info,
            head,
            body,
            route,
            workspace,
            rank,
            pool,
            arrived,
            deadline,
            shared_parts,
            call,
            maybe_ran,
            sent,
            plan: StagePlan::default(),
            timing: StreamTiming::default(),
            predicted_time: Span::ZERO,
            elapsed: Span::ZERO,
            admitted_late: false,
            retry_after: Span::ZERO,
            ended: false,
            _memory: memory,
        })
    }

    /// Serves the request and returns its final response.
    pub(crate) async fn serve(mut self) -> Response<Body> {
        let (node, limit) = (self.node.clone(), self.node.instant(self.deadline));
        let ended = tokio::select! {
            biased;
            answer = timeout_at(limit, self.execute()) => answer.map_err(|_| TimeLimit::Deadline),
            () = node.wait_last_answers() => Err(TimeLimit::Shutdown),
        };
        let result = match ended {
            Ok(answer) => answer,
            Err(limit) if !self.maybe_ran.is_empty() => Err(RequestError::Expired(limit)),
            Err(TimeLimit::Deadline) => {
                Err(RequestError::NotRun { cause: "deadline_before_sending", retry: BUSY_RETRY })
            }
            Err(TimeLimit::Shutdown) => {
                Err(RequestError::NotRun { cause: "draining", retry: DRAINING_RETRY })
            }
        };
        match result {
            Ok(response) => self.into_response(*response),
            Err(error) => self.fail(&error),
        }
    }

    async fn execute(&mut self) -> Result<Box<ServerResponse<W>>, RequestError> {
        self.admit()?;
        let mut reserved = match self.needs_reservation() {
            true => Some(self.reserve_server(None, SendPath::First).await?),
            false => None,
        };
        let mut held = self.run_stages().await?;
        let mut restarted = false;
        loop {
            let path = if self.sent.is_empty() { SendPath::First } else { SendPath::Retry };
            match self.send_to_any(reserved.take(), held.as_ref(), path).await? {
                Outcome::Response(response) => return Ok(response),
                Outcome::InputsLost if !restarted => {
                    restarted = true;
                    drop(held.take());
                    held = self.run_stages().await?;
                }
                Outcome::InputsLost => return Err(self.failure("inputs_gone")),
                Outcome::Quarantined(cause) => return Err(self.quarantined(cause)),
                Outcome::NotRun(outcome) => self.retry_not_run(outcome)?,
                Outcome::MaybeRun(cause) => self.retry_maybe_run(cause)?,
            }
        }
    }

    /// Refuses the request if the entry is draining, its stages can't run, the pool has no server, or it
    /// can't be served in time.
    fn admit(&mut self) -> Result<(), RequestError> {
        let node = self.node.clone();
        let now = node.now();
        if node.ends_too_soon(self.route.repeat.streams(), self.deadline) {
            return Err(RequestError::NotRun { cause: "draining", retry: DRAINING_RETRY });
        }
        self.plan = self.plan_stages()?;
        if let Some(cause) = self.quarantine_cause() {
            return Err(self.quarantined(cause));
        }
        let known = {
            let mut state = node.state.borrow_mut();
            if let Some(budget) = state.retry_budgets.get_mut(&self.pool) {
                budget.record_request(now);
            }
            state.placers.get(&self.pool).map(|p| (p.len(), p.mean_latency(&self.route.name)))
        };
        let Some((1.., latency)) = known else {
            return Err(RequestError::NotRun { cause: "no_server", retry: NO_SERVER_RETRY });
        };
        if self.has_evacuated_stage() {
            return Err(RequestError::NotRun { cause: "stage_away", retry: NO_SERVER_RETRY });
        }
        let left = self.deadline.since(now);
        let wait = self.info.deadline.unwrap_or(left);
        self.elapsed = node.since_first_try(&self.route.name, wait);
        let arrival = self.estimate_arrival(left);
        let decision = decide_admission(&arrival);
        self.admitted_late = decision == Decision::AdmitLate;
        self.predicted_time = match arrival.late {
            Some(late) if self.admitted_late => late,
            _ => arrival.timely,
        };
        match decision {
            Decision::Admit | Decision::AdmitLate => {
                let pieces: Vec<_> = self.info.pieces.iter().map(usize::to_string).collect();
                let pieces = pieces.join(",");
                let fields = [
                    ("route", self.route.name.as_str().into()),
                    ("pieces", pieces.as_str().into()),
                    ("stages_ms", self.predicted_time.saturating_sub(latency).as_millis().into()),
                    ("usual_ms", latency.as_millis().into()),
                    ("left_ms", left.as_millis().into()),
                    ("returns", u64::from(arrival.is_returning()).into()),
                    ("behind", u64::from(self.admitted_late).into()),
                ];
                node.log.request(Kind::Admitted, &self.info.id, &fields);
                Ok(())
            }
            Decision::Refuse(retry) => Err(RequestError::NotRun { cause: "overload", retry }),
        }
    }

    /// Plans the stages of the route.
    fn plan_stages(&self) -> Result<StagePlan, RequestError> {
        if self.route.stages.is_empty() {
            return Ok(StagePlan::default());
        }
        StagePlan::new(&self.route.stages, &self.info.pieces).map_err(|error| match error {
            // Another configuration, which may already be on its way, may have other stages.
            PlanError::Counts | PlanError::Order(_) => {
                RequestError::NotRun { cause: "stage_counts", retry: BUSY_RETRY }
            }
            PlanError::InputsOmitted(_) => RequestError::Rejected { cause: "stage_omitted" },
            PlanError::TooManyPieces => RequestError::Rejected { cause: "too_many_pieces" },
        })
    }

    /// Whether a stage that the request runs has no server because zones are evacuated. The stages before it
    /// would run in vain.
    fn has_evacuated_stage(&self) -> bool {
        let state = self.node.state.borrow();
        let stages = self.route.stages.iter().zip(self.plan.counts());
        stages.into_iter().any(|(stage, pieces)| pieces > 0 && state.is_evacuated(&stage.pool))
    }

    /// Runs the stages of the route. Returns `None` if it has none.
    pub(crate) async fn run_stages(&self) -> Result<Option<HeldResults<W>>, RequestError> {
        if self.route.stages.is_empty() {
            return Ok(None);
        }
        let latency = self.mean_latency();
        let key = self.node.wire.piece_key(&self.head).unwrap_or_default();
        let due = self.stages_due(latency);
        let job = StageJob {
            route: &self.route,
            id: &self.info.id,
            plan: &self.plan,
            key: &key,
            due: if self.admitted_late { self.arrived } else { due },
            deadline: self.deadline - latency,
            lane: if self.admitted_late { Lane::Late } else { Lane::Timely(self.ranks_behind()) },
            preferred_zone: self.preferred_zone(),
        };
        let done = tokio::select! {
            done = self.node.run_stages(&job) => done,
            cause = self.wait_quarantined() => return Err(self.quarantined(cause)),
        };
        done.map(Some).map_err(|fault: StageError| match fault {
            StageError::Failed(PieceFailure::Overload) if self.maybe_ran.is_empty() => {
                RequestError::NotRun { cause: fault.cause(), retry: self.overload_retry() }
            }
            _ => self.failure(fault.cause()),
        })
    }

    /// Predicts the latency of the request if it were admitted now.
    fn estimate_arrival(&self, left: Span) -> ArrivalEstimate {
        let (latency, behind) = (self.mean_latency(), self.ranks_behind());
        let due = self.stages_due(latency);
        let forecast = |lane| self.node.forecast(&self.route, &self.plan, lane, due);
        let late = forecast(Lane::Late);
        let mut times = late.times.iter().enumerate();
        let expires =
            times.any(|(stage, time)| *time > self.node.input_ttl(&self.route, &self.plan, stage));
        ArrivalEstimate {
            timely: forecast(Lane::Timely(behind)).critical_path + latency,
            late: (!expires).then(|| late.critical_path + latency),
            time_left: left,
            elapsed: self.elapsed,
            objective: self.route.objective,
        }
    }

    /// Returns when the stages must be done to meet the objective, if the response takes `latency` after them.
    fn stages_due(&self, latency: Span) -> Time {
        self.arrived + self.route.objective.scale(DUE_RATIO) - self.elapsed - latency
    }

    /// Returns by how many ranks the request is less urgent than the most urgent requests with stages.
    fn ranks_behind(&self) -> u8 {
        let state = self.node.state.borrow();
        state.catalog.as_ref().map_or(0, |catalog| catalog.ranks_behind(self.rank))
    }

    /// Returns the delay after which the stages are expected to have capacity for such a request.
    fn overload_retry(&self) -> Span {
        let left = self.deadline.since(self.node.now());
        match decide_admission(&self.estimate_arrival(left)) {
            Decision::Refuse(retry) => retry,
            Decision::Admit | Decision::AdmitLate => BUSY_RETRY,
        }
    }

    /// Returns the error for a request that is given up. It states that the request has not run only if no
    /// server may have started it.
    fn failure(&self, cause: &'static str) -> RequestError {
        match self.maybe_ran.is_empty() {
            true => RequestError::NotRun { cause, retry: BUSY_RETRY },
            false => RequestError::Unknown { cause },
        }
    }

    /// Returns the cause for which the request is refused, if its call or a part of its prompt is quarantined.
    pub(crate) fn quarantine_cause(&self) -> Option<&'static str> {
        let blocks = |parts: &[u64]| self.node.blocks(parts, self.workspace.as_ref());
        if blocks(&[self.call]) {
            return Some(CALL_QUARANTINED);
        }
        blocks(&self.shared_parts).then_some(PART_QUARANTINED)
    }

    /// Waits until the request is to be refused because of its call or a part of its prompt.
    async fn wait_quarantined(&self) -> &'static str {
        loop {
            let changed = self.node.rulings_changed.notified();
            if let Some(cause) = self.quarantine_cause() {
                return cause;
            }
            changed.await;
        }
    }

    /// Returns the error for a request that crashes servers. The caller is not told to return: nothing is
    /// known of when it will be sound.
    fn quarantined(&self, cause: &'static str) -> RequestError {
        match self.maybe_ran.is_empty() {
            true => RequestError::Rejected { cause },
            false => RequestError::Unknown { cause },
        }
    }

    /// Returns the zone of the server that is preferred for the prompt.
    fn preferred_zone(&self) -> Option<AvailabilityZone> {
        let now = self.node.now();
        let state = self.node.state.borrow();
        state.placers.get(&self.pool)?.preferred_zone(now, &self.info.parts).cloned()
    }

    /// Returns the mean latency of the route until the response or the first event.
    pub(crate) fn mean_latency(&self) -> Span {
        let state = self.node.state.borrow();
        let placer = state.placers.get(&self.pool);
        placer.map_or(Span::ZERO, |placer| placer.mean_latency(&self.route.name))
    }

    /// Whether a server is reserved before the stages run: if all servers name a limit or accept no request,
    /// the work of the stages may be in vain.
    fn needs_reservation(&self) -> bool {
        if self.route.stages.is_empty() {
            return false;
        }
        let now = self.node.now();
        let state = self.node.state.borrow();
        let servers = state.placers.get(&self.pool).map_or(0, Placer::len);
        let limited = state.intake.limited().filter(|server| server.pool == self.pool);
        let blocked = state.blocked(now, &self.pool).into_iter().map(|(id, _)| id);
        let bounded: BTreeSet<_> = limited.map(|server| server.id.clone()).chain(blocked).collect();
        bounded.len() >= servers
    }

    /// Whether a server may still get requests.
    pub(crate) fn is_present(&self, server: &Replica) -> bool {
        let state = self.node.state.borrow();
        state.placers.get(&self.pool).is_some_and(|placer| placer.contains(&server.id))
    }

    /// Chooses a server that the request was not sent to yet and whose limit allows it.
    pub(crate) async fn reserve_server(
        &self,
        held: Option<&HeldResults<W>>,
        path: SendPath,
    ) -> Result<Permit, RequestError> {
        loop {
            if let Some(cause) = self.quarantine_cause() {
                return Err(self.quarantined(cause));
            }
            let server = self.choose_server(held)?;
            // Without a permit the server is blocked for a while, so that another one is chosen.
            let permit = self.node.permit(&server, path).await;
            if let Some(permit) = permit.filter(|permit| self.is_present(permit.server())) {
                return Ok(permit);
            }
        }
    }

    fn choose_server(&self, held: Option<&HeldResults<W>>) -> Result<Replica, RequestError> {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let blocked: Vec<_> =
            state.blocked(now, &self.pool).into_iter().map(|(id, _)| id).collect();
        let entries = state.roster.entries().len().max(1) as u32;
        let pool = state.catalog.as_ref().and_then(|c| c.pools.get(&self.pool));
        let max_open = pool.map_or(0, |pool| (pool.connections / entries).max(1));
        let requirements = Requirements {
            parts: &self.info.parts,
            results: held.map_or(&[], |held| &held.zones),
            excluded: &self.sent,
            blocked: &blocked,
            max_open,
            others: (state.roster.entries().len() > 1).then_some(&state.loads),
        };
        let placer = state.placers.get(&self.pool);
        match placer.and_then(|placer| placer.select(now, &mut state.rng, &requirements)) {
            Some(Selection { replica, choice }) => {
                choice.into_iter().for_each(|choice| self.node.metrics.placed(choice));
                Ok(replica.clone())
            }
            None => Err(self.no_server(state, now)),
        }
    }

    /// Returns the error for a request that no server accepts now.
    fn no_server(&self, state: &mut State, now: Time) -> RequestError {
        let servers = state.placers.get(&self.pool).map_or(0, Placer::len);
        let blocked = state.blocked(now, &self.pool);
        let earliest = blocked.iter().map(|(_, until)| *until).min();
        let (Some(earliest), true) = (earliest, self.maybe_ran.is_empty()) else {
            return self.failure("servers_full");
        };
        let retry = state.book_return(now, &self.pool, earliest.since(now));
        // Other servers are only full, which usually passes sooner.
        let full = blocked.len() < servers;
        let retry = if full { retry.min(BUSY_RETRY) } else { retry };
        let asked = state.is_backing_off(now, &self.pool);
        let cause = if asked { "servers_backoff" } else { "servers_limited" };
        RequestError::NotRun { cause, retry }
    }

    /// Decides whether to retry after a server did not run the request.
    fn retry_not_run(&mut self, outcome: AttemptOutcome) -> Result<(), RequestError> {
        let cause =
            if outcome == AttemptOutcome::Overloaded { "servers_full" } else { "server_away" };
        let left = self.deadline.since(self.node.now());
        let sends = self.sent.len() as u32;
        // An unreachable server received nothing, so the retry needs no budget.
        let budgeted =
            outcome == AttemptOutcome::Unresponsive || self.node.withdraw_retry(&self.pool);
        if sends < SENDS_MAX && left > RETRY_TIME_MIN && budgeted {
            let fields = [("cause", cause.into()), ("tries", u64::from(sends).into())];
            self.node.log.request(Kind::Retried, &self.info.id, &fields);
            return Ok(());
        }
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        match state.is_backing_off(now, &self.pool) {
            true => Err(self.no_server(&mut state, now)),
            false => Err(self.failure(cause)),
        }
    }

    /// Decides whether to retry after the request may have run.
    fn retry_maybe_run(&mut self, cause: &'static str) -> Result<(), RequestError> {
        let left = self.deadline.since(self.node.now());
        let allowed = self.can_retry() && left > RETRY_TIME_MIN;
        if allowed && self.node.withdraw_retry(&self.pool) {
            let fields = [("cause", cause.into()), ("left_ms", left.as_millis().into())];
            self.node.log.request(Kind::Retried, &self.info.id, &fields);
            return Ok(());
        }
        Err(RequestError::Unknown { cause })
    }

    /// Returns whether the request may be sent again although it may have run.
    pub(crate) fn can_retry(&self) -> bool {
        self.route.repeat.can_retry()
            && (self.maybe_ran.len() as u32) < self.route.attempts
            && (self.sent.len() as u32) < SENDS_MAX
    }

    /// Returns the value of the `kind` label in metrics.
    pub(crate) fn request_kind(&self) -> &'static str {
        match self.route.repeat {
            Repeat::Idempotent => "idempotent",
            Repeat::Never => "once",
            Repeat::Resume => "resumable_stream",
            Repeat::StreamOnce => "stream",
        }
    }

    /// Forwards the response of a backend server to the caller.
    fn into_response(mut self, server_response: ServerResponse<W>) -> Response<Body> {
        let node = self.node.clone();
        let mut response = Response::new(Body::empty());
        *response.status_mut() = server_response.head.status;
        for (name, value) in &server_response.head.headers {
            let framing = *name == header::CONTENT_LENGTH || *name == header::TRANSFER_ENCODING;
            if !framing && node.wire.forwards_header(name.as_str()) {
                response.headers_mut().append(name, value.clone());
            }
        }
        match server_response.stream {
            Some(stream) => {
                if !self.can_retry() {
                    self.body.clear();
                }
                let media_type = media_type(response.headers());
                let relay = StreamRelay { request: self, upstream: stream, media_type };
                *response.body_mut() = relay.into_body();
            }
            None => {
                let status = server_response.head.status;
                self.log_end(
                    Kind::Answered,
                    if status.is_success() { "whole" } else { "server_failure" },
                    "",
                );
                *response.body_mut() = Body::parts(server_response.body);
            }
        }
        response
    }

    fn fail(mut self, error: &RequestError) -> Response<Body> {
        match error {
            RequestError::NotRun { cause, retry } => {
                self.retry_after = *retry;
                self.node.state.borrow_mut().last_refusal = Some(self.node.now());
                self.log_end(Kind::Refused, "not_run", cause);
                error_response(StatusCode::SERVICE_UNAVAILABLE, cause, Some(*retry))
            }
            RequestError::Rejected { cause } => {
                self.log_end(Kind::Refused, "not_run", cause);
                error_response(StatusCode::SERVICE_UNAVAILABLE, cause, None)
            }
            RequestError::Unknown { cause } => {
                self.log_end(Kind::Failed, "unknown", cause);
                error_response(StatusCode::BAD_GATEWAY, cause, None)
            }
            RequestError::Expired(limit) => {
                self.log_end(Kind::Failed, "unknown", limit.cause());
                error_response(StatusCode::GATEWAY_TIMEOUT, limit.cause(), None)
            }
        }
    }

    /// Records the time at which events are sent to the caller.
    pub(crate) fn record_events(&mut self) {
        let now = self.node.now();
        let timing = &mut self.timing;
        if timing.last_event == Time::default() {
            timing.first_event = now.since(self.arrived);
        } else {
            timing.max_gap = timing.max_gap.max(now.since(timing.last_event));
        }
        timing.last_event = now;
    }

    /// Writes the final log line and metrics of the request. Later calls have no effect.
    pub(crate) fn log_end(&mut self, kind: Kind, outcome: &'static str, cause: &'static str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.node.now();
        let took = now.since(self.arrived);
        let first = if self.route.repeat.streams() { self.timing.first_event } else { took };
        let late = first > self.route.objective || self.timing.max_gap > self.route.event_gap;
        let fields = [
            ("route", Value::from(self.route.name.as_str())),
            ("outcome", outcome.into()),
            ("cause", cause.into()),
            ("took_ms", took.as_millis().into()),
            ("first_ms", first.as_millis().into()),
            ("pause_ms", self.timing.max_gap.as_millis().into()),
            ("predicted_ms", self.predicted_time.as_millis().into()),
            ("left_ms", self.deadline.since(now).as_millis().into()),
            ("retry_ms", self.retry_after.as_millis().into()),
            ("objective_ms", self.route.objective.as_millis().into()),
            ("late", u64::from(late).into()),
            ("sends", (self.sent.len() as u64).into()),
        ];
        self.node.log.request(kind, &self.info.id, &fields);
        self.node.metrics.request_ended(self.request_kind(), outcome, cause, took);
    }
}

impl<W: Wire> Drop for ActiveRequest<W> {
    fn drop(&mut self) {
        // Every other end has been logged already, so here the caller disconnected before the response
        // was complete.
        self.log_end(Kind::CallerLeft, "caller_left", "");
        let mut state = self.node.state.borrow_mut();
        state.active = state.active.saturating_sub(1);
    }
}

/// Builds an error response of the entry itself.
pub(crate) fn error_response(
    status: StatusCode,
    cause: &str,
    retry: Option<Span>,
) -> Response<Body> {
    let text = format!("{{\"error\":\"{cause}\"}}");
    let mut response = Response::new(Body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    // Rounded up: a caller that returns too soon is refused again.
    let seconds = retry.map(|retry| retry.as_millis().div_ceil(10));
    let seconds = seconds.map(|hundredths| format!("{}.{:02}", hundredths / 100, hundredths % 100));
    if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
