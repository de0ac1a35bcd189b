//! One request from its admission to its one final answer.

use crate::attempt::{Answer, Outcome};
use crate::body::Body;
use crate::log::{Kind, Value};
use crate::node::Node;
use crate::stages::{HeldResults, PieceFailure, StageError, StageJob};
use crate::stream::Stream;
use crate::wire::{RequestInfo, Wire};
use bytes::Bytes;
use damaskweir_core::batch::Lane;
use damaskweir_core::catalog::{Repeat, Route};
use damaskweir_core::fleet::Replica;
use damaskweir_core::forecast::{ArrivalEstimate, Decision, decide_admission};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId, WorkspaceId};
use damaskweir_core::place::{AttemptOutcome, Requirements};
use damaskweir_core::time::{Span, Time};
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use rand_core::Rng as _;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::timeout_at;

/// Servers that one request is sent to at most, refusals included.
const SENDS_MAX: u32 = 4;
/// Time that a request must have left to be worth sending once more.
pub(crate) const WORTH_SENDING: Span = Span::from_millis(40);
/// When to come back if no server may be used.
const AWAY_RETRY: Span = Span::from_millis(500);
/// When to come back if this entry ends; another one takes the request.
const MOVED_RETRY: Span = Span::from_millis(50);
/// When to come back if all servers are full.
const FULL_RETRY: Span = Span::from_millis(250);

/// Part of the objective after which the first part of an answer is aimed at: what comes after the stages
/// takes longer now and then.
const DUE_PART: f64 = 0.9;

/// A final answer that is not a backend server's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// Has not run and never will.
    NotRun {
        /// Why.
        cause: &'static str,
        /// When to come back.
        retry: Span,
    },
    /// May have run.
    Unknown {
        /// Why.
        cause: &'static str,
    },
    /// May have run, and its time has passed.
    Expired,
}

/// A request whose route is known.
pub(crate) struct Run<W: Wire> {
    pub(crate) node: Rc<Node<W>>,
    pub(crate) ask: RequestInfo,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) rank: u8,
    pub(crate) pool: PoolId,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Servers that it may have run on.
    pub(crate) ran: Vec<ServerId>,
    /// Servers that it was sent to.
    pub(crate) sent: Vec<ServerId>,
    timing: Timing,
    /// Time that its stages and the first part of its answer were predicted to take.
    predicted: Span,
    /// Time since its caller's first try.
    elapsed: Span,
    /// Whether it is served although it is late.
    late: bool,
    /// When its caller was told to come back.
    retry: Span,
    ended: bool,
}

/// Times of a stream, for its final line.
#[derive(Default)]
struct Timing {
    first: Span,
    latest: Time,
    /// Longest pause between events.
    pause: Span,
}

impl<W: Wire> Run<W> {
    pub(crate) fn new(
        node: Rc<Node<W>>,
        (ask, head, body): (RequestInfo, Parts, Bytes),
        route: Arc<Route>,
        caller: (Option<WorkspaceId>, u8),
        arrived: Time,
    ) -> Option<Self> {
        let draw = node.state.borrow_mut().rng.next_u64();
        let pool = route.target(draw)?.clone();
        let wait = ask.deadline.unwrap_or(route.timeout);
        let deadline = arrived + Span(wait.0.min(route.timeout.0));
        node.state.borrow_mut().active += 1;
        let (workspace, rank) = caller;
        let (ran, sent) = (Vec::new(), Vec::new());
        Some(Self {
            node,
            ask,
            head,
            body,
            route,
            workspace,
            rank,
            pool,
            arrived,
            deadline,
            ran,
            sent,
            timing: Timing::default(),
            predicted: Span::ZERO,
            elapsed: Span::ZERO,
            late: false,
            retry: Span::ZERO,
            ended: false,
        })
    }

    /// Serves the request.
    pub(crate) async fn serve(mut self) -> Response<Body> {
        let limit = self.node.instant(self.deadline);
        let answer = match timeout_at(limit, self.go()).await {
            Ok(answer) => answer,
            Err(_) if self.ran.is_empty() => {
                Err(Refusal::NotRun { cause: "deadline_before_sending", retry: FULL_RETRY })
            }
            Err(_) => Err(Refusal::Expired),
        };
        match answer {
            Ok(answer) => self.answer(*answer),
            Err(refusal) => self.refuse(&refusal),
        }
    }

    async fn go(&mut self) -> Result<Box<Answer<W>>, Refusal> {
        self.admit()?;
        let mut held = self.prepare().await?;
        let mut renewed = false;
        loop {
            let server = self.choose(held.as_ref())?;
            let outcome = self.send(&server, held.as_ref(), None).await;
            match outcome {
                Outcome::Answer(answer) => return Ok(answer),
                Outcome::InputsGone if !renewed => {
                    renewed = true;
                    drop(held.take());
                    held = self.prepare().await?;
                }
                Outcome::InputsGone => return Err(self.gave_up("inputs_gone")),
                Outcome::NotRun(ending) => self.again(ending)?,
                Outcome::Broken(cause) => self.repeat(cause)?,
            }
        }
    }

    /// Refuses what can't be served in time.
    fn admit(&mut self) -> Result<(), Refusal> {
        let node = self.node.clone();
        let now = node.now();
        if node.ends_too_soon(self.route.repeat.streams()) {
            return Err(Refusal::NotRun { cause: "draining", retry: MOVED_RETRY });
        }
        let known = {
            let mut state = node.state.borrow_mut();
            if let Some(budget) = state.retry_budgets.get_mut(&self.pool) {
                budget.record_request(now);
            }
            state.placers.get(&self.pool).map(|p| (p.len(), p.mean_latency(&self.route.name)))
        };
        let Some((1.., usual)) = known else {
            return Err(Refusal::NotRun { cause: "no_server", retry: AWAY_RETRY });
        };
        let left = self.deadline.since(now);
        let wait = self.ask.deadline.unwrap_or(left);
        self.elapsed = node.since_first_try(&self.route.name, wait);
        let arrival = self.arrival(left);
        let decision = decide_admission(&arrival);
        self.late = decision == Decision::AdmitLate;
        self.predicted = if self.late { arrival.late } else { arrival.timely };
        match decision {
            Decision::Admit | Decision::AdmitLate => {
                let pieces: Vec<_> = self.ask.pieces.iter().map(usize::to_string).collect();
                let pieces = pieces.join(",");
                let fields = [
                    ("route", self.route.name.as_str().into()),
                    ("pieces", pieces.as_str().into()),
                    ("stages_ms", self.predicted.saturating_sub(usual).as_millis().into()),
                    ("usual_ms", usual.as_millis().into()),
                    ("left_ms", left.as_millis().into()),
                    ("returns", u64::from(arrival.is_returning()).into()),
                    ("behind", u64::from(self.late).into()),
                ];
                node.log.request(Kind::Admitted, &self.ask.id, &fields);
                Ok(())
            }
            Decision::Refuse(retry) => Err(Refusal::NotRun { cause: "overload", retry }),
        }
    }

    pub(crate) async fn prepare(&self) -> Result<Option<HeldResults<W>>, Refusal> {
        if self.route.stages.is_empty() {
            return Ok(None);
        }
        let usual = self.usual();
        let key = self.node.wire.piece_key(&self.head).unwrap_or_default();
        let due = self.arrived + self.route.objective.scale(DUE_PART) - self.elapsed - usual;
        let job = StageJob {
            route: &self.route,
            id: &self.ask.id,
            counts: &self.ask.pieces,
            key: &key,
            due: if self.late { self.arrived } else { due },
            deadline: self.deadline - usual,
            lane: if self.late { Lane::Late } else { Lane::Timely(self.ranks_behind()) },
            preferred_zone: self.toward(),
        };
        let done = self.node.run_stages(&job).await;
        done.map(Some).map_err(|fault: StageError| match fault {
            StageError::Failed(PieceFailure::Overload) if self.ran.is_empty() => {
                Refusal::NotRun { cause: fault.cause(), retry: self.room_expected() }
            }
            _ => self.gave_up(fault.cause()),
        })
    }

    /// What is predicted for a request that comes now.
    fn arrival(&self, left: Span) -> ArrivalEstimate {
        let forecast = |lane| self.node.forecast(&self.route, &self.ask.pieces, lane).critical_path;
        let (usual, behind) = (self.usual(), self.ranks_behind());
        ArrivalEstimate {
            timely: forecast(Lane::Timely(behind)) + usual,
            late: forecast(Lane::Late) + usual,
            time_left: left,
            elapsed: self.elapsed,
            objective: self.route.objective,
        }
    }

    /// How many ranks it is behind the most urgent requests with stages.
    fn ranks_behind(&self) -> u8 {
        let state = self.node.state.borrow();
        state.catalog.as_ref().map_or(0, |catalog| catalog.ranks_behind(self.rank))
    }

    /// When the stages are expected to take a request like this one.
    fn room_expected(&self) -> Span {
        let left = self.deadline.since(self.node.now());
        match decide_admission(&self.arrival(left)) {
            Decision::Refuse(retry) => retry,
            Decision::Admit | Decision::AdmitLate => FULL_RETRY,
        }
    }

    /// The final answer of a request that is given up: it promises that nothing ran only if no server may
    /// have begun.
    fn gave_up(&self, cause: &'static str) -> Refusal {
        match self.ran.is_empty() {
            true => Refusal::NotRun { cause, retry: FULL_RETRY },
            false => Refusal::Unknown { cause },
        }
    }

    /// Zone of the server that the prompt is best sent to.
    fn toward(&self) -> Option<AvailabilityZone> {
        let now = self.node.now();
        let state = self.node.state.borrow();
        state.placers.get(&self.pool)?.preferred_zone(now, &self.ask.parts).cloned()
    }

    pub(crate) fn usual(&self) -> Span {
        let state = self.node.state.borrow();
        let placer = state.placers.get(&self.pool);
        placer.map_or(Span::ZERO, |placer| placer.mean_latency(&self.route.name))
    }

    pub(crate) fn choose(&self, held: Option<&HeldResults<W>>) -> Result<Replica, Refusal> {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let entries = state.entries.len().max(1) as u32;
        let pool = state.catalog.as_ref().and_then(|c| c.pools.get(&self.pool));
        let most = pool.map_or(0, |pool| (pool.connections / entries).max(1));
        let need = Requirements {
            parts: &self.ask.parts,
            results: held.map_or(&[], |held| &held.zones),
            excluded: &self.sent,
            max_open: most,
        };
        let placer = state.placers.get(&self.pool);
        let chosen = placer.and_then(|placer| placer.choose(now, &mut state.rng, &need));
        chosen.cloned().ok_or_else(|| self.gave_up("servers_full"))
    }

    /// Decides on another try after a server has not run the request.
    fn again(&mut self, ending: AttemptOutcome) -> Result<(), Refusal> {
        let cause =
            if ending == AttemptOutcome::Overloaded { "servers_full" } else { "server_away" };
        let left = self.deadline.since(self.node.now());
        let tries = self.sent.len() as u32;
        // A server that could not be reached has got nothing, so that no budget is needed.
        let funded = ending == AttemptOutcome::Unresponsive || self.node.withdraw_retry(&self.pool);
        if tries < SENDS_MAX && left > WORTH_SENDING && funded {
            let fields = [("cause", cause.into()), ("tries", u64::from(tries).into())];
            self.node.log.request(Kind::Retried, &self.ask.id, &fields);
            return Ok(());
        }
        Err(self.gave_up(cause))
    }

    /// Decides on another try after the request may have run.
    fn repeat(&mut self, cause: &'static str) -> Result<(), Refusal> {
        let left = self.deadline.since(self.node.now());
        let allowed = self.may_repeat() && left > WORTH_SENDING;
        if allowed && self.node.withdraw_retry(&self.pool) {
            let fields = [("cause", cause.into()), ("left_ms", left.as_millis().into())];
            self.node.log.request(Kind::Retried, &self.ask.id, &fields);
            return Ok(());
        }
        Err(Refusal::Unknown { cause })
    }

    pub(crate) fn may_repeat(&self) -> bool {
        self.route.repeat.can_retry()
            && (self.ran.len() as u32) < self.route.attempts
            && (self.sent.len() as u32) < SENDS_MAX
    }

    pub(crate) fn kind(&self) -> &'static str {
        match self.route.repeat {
            Repeat::Idempotent => "idempotent",
            Repeat::Never => "once",
            Repeat::Resume => "resumable_stream",
            Repeat::StreamOnce => "stream",
        }
    }

    /// Passes a backend server's answer on.
    fn answer(mut self, answer: Answer<W>) -> Response<Body> {
        let node = self.node.clone();
        let mut response = Response::new(Body::empty());
        *response.status_mut() = answer.head.status;
        for (name, value) in &answer.head.headers {
            let framing = *name == header::CONTENT_LENGTH || *name == header::TRANSFER_ENCODING;
            if !framing && node.wire.forwards_header(name.as_str()) {
                response.headers_mut().append(name, value.clone());
            }
        }
        match answer.rest {
            Some(rest) => *response.body_mut() = Stream { run: self, rest }.into_body(),
            None => {
                let status = answer.head.status;
                self.note_end(
                    Kind::Answered,
                    if status.is_success() { "whole" } else { "server_failure" },
                    "",
                );
                *response.body_mut() = Body::full(answer.bytes);
            }
        }
        response
    }

    fn refuse(mut self, refusal: &Refusal) -> Response<Body> {
        match refusal {
            Refusal::NotRun { cause, retry } => {
                self.retry = *retry;
                self.node.state.borrow_mut().last_refusal = Some(self.node.now());
                self.note_end(Kind::Refused, "not_run", cause);
                refused(StatusCode::SERVICE_UNAVAILABLE, cause, Some(*retry))
            }
            Refusal::Unknown { cause } => {
                self.note_end(Kind::Failed, "unknown", cause);
                refused(StatusCode::BAD_GATEWAY, cause, None)
            }
            Refusal::Expired => {
                self.note_end(Kind::Failed, "unknown", "deadline");
                refused(StatusCode::GATEWAY_TIMEOUT, "deadline", None)
            }
        }
    }

    /// Notes the time of events that are passed on.
    pub(crate) fn note_events(&mut self) {
        let now = self.node.now();
        let timing = &mut self.timing;
        if timing.latest == Time::default() {
            timing.first = now.since(self.arrived);
        } else {
            timing.pause = timing.pause.max(now.since(timing.latest));
        }
        timing.latest = now;
    }

    /// Writes the one final line of the request.
    pub(crate) fn note_end(&mut self, kind: Kind, outcome: &'static str, cause: &'static str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.node.now();
        let took = now.since(self.arrived);
        let first = if self.route.repeat.streams() { self.timing.first } else { took };
        let late = first > self.route.objective || self.timing.pause > self.route.event_gap;
        let fields = [
            ("route", Value::from(self.route.name.as_str())),
            ("outcome", outcome.into()),
            ("cause", cause.into()),
            ("took_ms", took.as_millis().into()),
            ("first_ms", first.as_millis().into()),
            ("pause_ms", self.timing.pause.as_millis().into()),
            ("predicted_ms", self.predicted.as_millis().into()),
            ("left_ms", self.deadline.since(now).as_millis().into()),
            ("retry_ms", self.retry.as_millis().into()),
            ("objective_ms", self.route.objective.as_millis().into()),
            ("late", u64::from(late).into()),
            ("sends", (self.sent.len() as u64).into()),
        ];
        self.node.log.request(kind, &self.ask.id, &fields);
        self.node.metrics.request_ended(self.kind(), outcome, cause, took);
    }
}

impl<W: Wire> Drop for Run<W> {
    fn drop(&mut self) {
        // Only a caller that left ends a request without an answer.
        self.note_end(Kind::CallerLeft, "caller_left", "");
        let mut state = self.node.state.borrow_mut();
        state.active = state.active.saturating_sub(1);
    }
}

/// An answer of the entry's own.
pub(crate) fn refused(status: StatusCode, cause: &str, retry: Option<Span>) -> Response<Body> {
    let text = format!("{{\"error\":\"{cause}\"}}");
    let mut response = Response::new(Body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    let seconds = retry.map(|retry| format!("{:.2}", retry.as_secs_f64()));
    if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
