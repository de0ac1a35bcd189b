//! One request from its admission to its one final answer.

use crate::body::{Body, StreamEnd};
use crate::event::Splitter;
use crate::http::{Conn, Head, HttpError};
use crate::log::{Kind, Value};
use crate::node::Node;
use crate::stages::{Held, StageFault, StageJob};
use crate::wire::{Ask, Order, Reply, Wire, promises};
use bytes::{Bytes, BytesMut};
use damaskweir_core::catalog::{Repeat, Route, Work};
use damaskweir_core::fleet::Replica;
use damaskweir_core::forecast::{Arrival, Decision, decide};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId, WorkspaceId};
use damaskweir_core::place::{Ending, Need};
use damaskweir_core::time::{Span, Time};
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use rand_core::Rng as _;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::timeout_at;

/// Servers that one request is sent to at most, refusals included.
const SENDS_MAX: u32 = 4;
/// Time beyond the usual one after which a server that has sent nothing is given up, if the request may
/// be sent elsewhere: this many times the usual time, and a while longer.
const PATIENCE_FACTOR: f64 = 5.0;
/// Added to that for plain calls.
const PATIENCE_PLAIN: Span = Span::from_millis(150);
/// Added to that for generation.
const PATIENCE_ENGINE: Span = Span::from_millis(700);
/// Pause between events after which a stream that can be resumed goes on elsewhere.
const STALL: Span = Span::from_millis(1_500);
/// Time that a request must have left to be worth sending once more.
const WORTH_SENDING: Span = Span::from_millis(40);
/// When to come back if no server may be used.
const AWAY_RETRY: Span = Span::from_millis(500);
/// When to come back if this entry ends; another one takes the request.
const MOVED_RETRY: Span = Span::from_millis(50);
/// When to come back if all servers are full.
const FULL_RETRY: Span = Span::from_millis(250);
/// Bytes of an answer that are collected before any is passed on.
const COLLECT_MAX: usize = 256 * 1024;

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
    pub(crate) ask: Ask,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) rank: u8,
    pub(crate) pool: PoolId,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Servers that it may have run on.
    ran: Vec<ServerId>,
    /// Servers that it was sent to.
    sent: Vec<ServerId>,
    timing: Timing,
    /// Time that its stages and the first part of its answer were predicted to take.
    predicted: Span,
    /// When its caller was told to come back.
    retry: Span,
    ended: bool,
}

/// What came of sending a request once.
enum Outcome<W: Wire> {
    /// A whole answer, or the beginning of a stream.
    Answer(Box<Answer<W>>),
    /// The server states that it has not run it.
    NotRun(Ending),
    /// Inputs of the request are gone; it has not run.
    InputsGone,
    /// It may have run.
    Broken(&'static str),
}

struct Answer<W: Wire> {
    head: Head,
    bytes: Bytes,
    /// The rest of a stream.
    rest: Option<Rest<W>>,
}

/// A stream that has begun.
struct Rest<W: Wire> {
    /// `None`: the server has sent all of it.
    conn: Option<Conn>,
    splitter: Splitter,
    guard: OpenGuard<W>,
    /// Last event that was passed on.
    last: Option<u64>,
}

/// Times of a stream, for its final line.
#[derive(Default)]
struct Timing {
    first: Span,
    latest: Time,
    /// Longest pause between events.
    pause: Span,
}

/// An answer with its stream, if it has one.
pub(crate) struct Stream<W: Wire> {
    run: Run<W>,
    rest: Rest<W>,
}

/// Counts a request as open at a server until it ends.
struct OpenGuard<W: Wire> {
    node: Rc<Node<W>>,
    pool: PoolId,
    server: ServerId,
    parts: Vec<damaskweir_core::place::Part>,
    /// Prompt tokens that the server has still to read.
    unread: u64,
    done: bool,
}

impl<W: Wire> OpenGuard<W> {
    fn answered(&mut self, first: Span) {
        let now = self.node.now();
        let unread = std::mem::take(&mut self.unread);
        let mut state = self.node.state.borrow_mut();
        if let Some(placer) = state.placers.get_mut(&self.pool) {
            placer.answered(now, &self.server, unread, first);
        }
    }

    fn end(&mut self, ending: Ending) {
        if !std::mem::replace(&mut self.done, true) {
            let now = self.node.now();
            let mut state = self.node.state.borrow_mut();
            if let Some(placer) = state.placers.get_mut(&self.pool) {
                placer.ended(now, &self.server, &self.parts, self.unread, ending);
            }
        }
    }
}

impl<W: Wire> Drop for OpenGuard<W> {
    fn drop(&mut self) {
        self.end(Ending::Unknown);
    }
}

impl<W: Wire> Run<W> {
    pub(crate) fn new(
        node: Rc<Node<W>>,
        (ask, head, body): (Ask, Parts, Bytes),
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
                Outcome::InputsGone => {
                    return Err(Refusal::NotRun { cause: "inputs_gone", retry: FULL_RETRY });
                }
                Outcome::NotRun(ending) => self.again(ending)?,
                Outcome::Broken(cause) => self.repeat(cause)?,
            }
        }
    }

    /// Refuses what can't be served in time.
    fn admit(&mut self) -> Result<(), Refusal> {
        let node = self.node.clone();
        let now = node.now();
        if node.ends_before(self.route.repeat.streams()) {
            return Err(Refusal::NotRun { cause: "draining", retry: MOVED_RETRY });
        }
        let known = {
            let mut state = node.state.borrow_mut();
            if let Some(budget) = state.budgets.get_mut(&self.pool) {
                budget.count(now);
            }
            state.placers.get(&self.pool).map(|p| (p.len(), p.usual()))
        };
        let Some((1.., usual)) = known else {
            return Err(Refusal::NotRun { cause: "no_server", retry: AWAY_RETRY });
        };
        let stages = node.forecast(&self.route, &self.ask.pieces).stages;
        let left = self.deadline.since(now);
        self.predicted = stages + usual;
        let wait = self.ask.deadline.unwrap_or(left);
        let longest = node.longest_wait(&self.route.name, wait);
        let arrival =
            Arrival { whole: stages + usual, left, longest, objective: self.route.objective };
        match decide(&arrival) {
            Decision::Take => {
                let pieces: Vec<_> = self.ask.pieces.iter().map(usize::to_string).collect();
                let pieces = pieces.join(",");
                let fields = [
                    ("route", self.route.name.as_str().into()),
                    ("pieces", pieces.as_str().into()),
                    ("stages_ms", stages.as_millis().into()),
                    ("usual_ms", usual.as_millis().into()),
                    ("left_ms", left.as_millis().into()),
                    ("returns", u64::from(arrival.returns()).into()),
                ];
                node.log.request(Kind::Admitted, &self.ask.id, &fields);
                Ok(())
            }
            Decision::Refuse(retry) => Err(Refusal::NotRun { cause: "overload", retry }),
        }
    }

    async fn prepare(&self) -> Result<Option<Held<W>>, Refusal> {
        if self.route.stages.is_empty() {
            return Ok(None);
        }
        let usual = self.usual();
        let key = self.node.wire.piece_key(&self.head).unwrap_or_default();
        let job = StageJob {
            route: &self.route,
            id: &self.ask.id,
            counts: &self.ask.pieces,
            key: &key,
            due: self.arrived + self.route.objective - usual,
            deadline: self.deadline - usual,
            toward: self.toward(),
        };
        let done = self.node.prepare(&job).await;
        done.map(Some).map_err(|fault: StageFault| match self.ran.is_empty() {
            true => Refusal::NotRun { cause: fault.cause(), retry: FULL_RETRY },
            false => Refusal::Unknown { cause: fault.cause() },
        })
    }

    /// Zone of the server that the prompt is best sent to.
    fn toward(&self) -> Option<AvailabilityZone> {
        let now = self.node.now();
        let state = self.node.state.borrow();
        state.placers.get(&self.pool)?.zone_for(now, &self.ask.parts).cloned()
    }

    fn usual(&self) -> Span {
        let state = self.node.state.borrow();
        state.placers.get(&self.pool).map_or(Span::ZERO, |placer| placer.usual())
    }

    fn choose(&self, held: Option<&Held<W>>) -> Result<Replica, Refusal> {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let entries = state.entries.len().max(1) as u32;
        let pool = state.catalog.as_ref().and_then(|c| c.pools.get(&self.pool));
        let most = pool.map_or(0, |pool| pool.connections / entries);
        let need = Need {
            parts: &self.ask.parts,
            results: held.map_or(&[], |held| &held.zones),
            avoid: &self.sent,
            most,
        };
        let placer = state.placers.get(&self.pool);
        let chosen = placer.and_then(|placer| placer.choose(now, &mut state.rng, &need));
        chosen.cloned().ok_or(match self.ran.is_empty() {
            true => Refusal::NotRun { cause: "servers_full", retry: FULL_RETRY },
            false => Refusal::Unknown { cause: "no_other_server" },
        })
    }

    /// Decides on another try after a server has not run the request.
    fn again(&mut self, ending: Ending) -> Result<(), Refusal> {
        let cause = if ending == Ending::Full { "servers_full" } else { "server_away" };
        let left = self.deadline.since(self.node.now());
        let tries = self.sent.len() as u32;
        // A server that could not be reached has got nothing, so that no budget is needed.
        let funded = ending == Ending::Silent || self.node.withdraw(&self.pool);
        if tries < SENDS_MAX && left > WORTH_SENDING && funded {
            let fields = [("cause", cause.into()), ("tries", u64::from(tries).into())];
            self.node.log.request(Kind::Retried, &self.ask.id, &fields);
            return Ok(());
        }
        Err(match self.ran.is_empty() {
            true => Refusal::NotRun { cause, retry: FULL_RETRY },
            false => Refusal::Unknown { cause },
        })
    }

    /// Decides on another try after the request may have run.
    fn repeat(&mut self, cause: &'static str) -> Result<(), Refusal> {
        let left = self.deadline.since(self.node.now());
        let allowed = self.may_repeat() && left > WORTH_SENDING;
        if allowed && self.node.withdraw(&self.pool) {
            let fields = [("cause", cause.into()), ("left_ms", left.as_millis().into())];
            self.node.log.request(Kind::Retried, &self.ask.id, &fields);
            return Ok(());
        }
        Err(Refusal::Unknown { cause })
    }

    fn may_repeat(&self) -> bool {
        self.route.repeat.allowed()
            && (self.ran.len() as u32) < self.route.attempts
            && (self.sent.len() as u32) < SENDS_MAX
    }

    /// Sends the request to a server and waits for a whole answer, or for the first event of a stream.
    async fn send(
        &mut self,
        server: &Replica,
        held: Option<&Held<W>>,
        resume: Option<u64>,
    ) -> Outcome<W> {
        let node = self.node.clone();
        let began = node.now();
        self.sent.push(server.id.clone());
        let unread = {
            let mut state = node.state.borrow_mut();
            let placer = state.placers.get_mut(&self.pool);
            placer.map_or(0, |placer| placer.sent(began, &server.id, &self.ask.parts))
        };
        let mut guard = OpenGuard {
            node: node.clone(),
            pool: self.pool.clone(),
            server: server.id.clone(),
            parts: self.ask.parts.clone(),
            unread,
            done: false,
        };
        let mut conn = match node.connection(server).await {
            Ok(conn) => conn,
            Err(error) => {
                self.note_broken(server, &error);
                guard.end(Ending::Silent);
                return Outcome::NotRun(Ending::Silent);
            }
        };
        let left = self.deadline.since(node.now());
        let order = Order {
            server,
            workspace: self.workspace.as_ref().map(WorkspaceId::as_str),
            left,
            resume: resume.or(self.ask.resume),
            inputs: held.map(|held| held.outputs.iter().map(String::as_str).collect()),
            rank: self.rank,
        };
        let head = node.wire.request(&self.head, self.body.len(), &order);
        let fields = [
            ("server", server.id.as_str().into()),
            ("left_ms", left.as_millis().into()),
            ("unread_tokens", guard.unread.into()),
            ("reused", u64::from(conn.uses()).into()),
        ];
        node.log.request(Kind::Sent, &self.ask.id, &fields);
        self.ran.push(server.id.clone());
        let limit = node.instant(self.patience(began));
        let body = self.body.clone();
        let exchange = self.exchange(&mut conn, &head, &body);
        let result = match timeout_at(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Late),
        };
        let outcome = match result {
            Err(error) => {
                self.note_broken(server, &error);
                let silent = matches!(error, HttpError::Late);
                guard.end(if silent { Ending::Silent } else { Ending::Failed });
                Outcome::Broken(if silent { "server_silent" } else { "connection_broke" })
            }
            Ok((head, reply, bytes, splitter)) => {
                let took = node.now().since(began);
                self.judge(guard, (head, reply, bytes), (conn, splitter), took)
            }
        };
        if matches!(outcome, Outcome::NotRun(_) | Outcome::InputsGone) {
            self.ran.pop();
        }
        outcome
    }

    /// The latest moment for the first part of the answer.
    fn patience(&self, began: Time) -> Time {
        if !self.may_repeat() {
            return self.deadline;
        }
        let engine = self.is_engine();
        let more = if engine { PATIENCE_ENGINE } else { PATIENCE_PLAIN };
        let at = began + self.usual().scale(PATIENCE_FACTOR) + more;
        // What comes after the patience must still be of use.
        if at + WORTH_SENDING < self.deadline { at } else { self.deadline }
    }

    fn is_engine(&self) -> bool {
        let state = self.node.state.borrow();
        let pool = state.catalog.as_ref().and_then(|catalog| catalog.pools.get(&self.pool));
        pool.is_some_and(|pool| matches!(pool.work, Work::Engine { .. }))
    }

    /// Sends the request and reads the whole answer, or the first event of a stream.
    async fn exchange(
        &self,
        conn: &mut Conn,
        head: &[u8],
        body: &[u8],
    ) -> Result<(Head, Reply, Bytes, Option<Splitter>), HttpError> {
        conn.send(head, body).await?;
        let wire = &self.node.wire;
        let own = |head: &Head| wire.reply(head).echo.as_deref() == Some(self.ask.id.as_str());
        let head = conn.head(own).await?;
        let reply = wire.reply(&head);
        if self.route.repeat.streams() && head.status.is_success() {
            let mut splitter = Splitter::default();
            while !splitter.has_event() {
                match conn.chunk().await? {
                    Some(bytes) if splitter.push(&bytes) => {}
                    Some(_) => return Err(HttpError::Malformed("event too long")),
                    None if splitter.partial() => return Err(HttpError::Early),
                    None => return Ok((head, reply, Bytes::new(), None)),
                }
            }
            return Ok((head, reply, Bytes::new(), Some(splitter)));
        }
        let mut all = BytesMut::new();
        while let Some(bytes) = conn.chunk().await? {
            all.extend_from_slice(&bytes);
            if all.len() > COLLECT_MAX * 64 {
                return Err(HttpError::Malformed("body too large"));
            }
        }
        Ok((head, reply, all.freeze(), None))
    }

    /// Tells what an answer means for the request and for what is believed of the server.
    fn judge(
        &self,
        mut guard: OpenGuard<W>,
        (head, reply, bytes): (Head, Reply, Bytes),
        (conn, splitter): (Conn, Option<Splitter>),
        took: Span,
    ) -> Outcome<W> {
        let status = head.status;
        if status.is_success() && reply.signed {
            self.node.metrics.first_part(self.kind(), took);
            guard.answered(took);
            let rest = match splitter {
                Some(splitter) => {
                    Some(Rest { conn: Some(conn), splitter, guard, last: self.ask.resume })
                }
                None => {
                    guard.end(Ending::Whole);
                    self.node.keep(&guard.server, conn);
                    None
                }
            };
            return Outcome::Answer(Box::new(Answer { head, bytes, rest }));
        }
        self.node.keep(&guard.server, conn);
        if reply.skipped || status == StatusCode::MISDIRECTED_REQUEST {
            if status == StatusCode::CONFLICT {
                guard.end(Ending::Unknown);
                return Outcome::InputsGone;
            }
            let ending = match status.as_u16() {
                421 => Ending::Silent,
                _ => Ending::Full,
            };
            guard.end(ending);
            return Outcome::NotRun(Ending::Full);
        }
        guard.end(Ending::Failed);
        // A failure of the server is its answer, unless it can be tried elsewhere or would promise
        // that nothing ran.
        let final_answer = reply.signed && !promises(status) && !status.is_success();
        if final_answer && !self.may_repeat() {
            return Outcome::Answer(Box::new(Answer { head, bytes, rest: None }));
        }
        Outcome::Broken("server_failed")
    }

    fn note_broken(&self, server: &Replica, error: &HttpError) {
        let text = error.to_string();
        let fields = [("server", server.id.as_str().into()), ("error", Value::from(&*text))];
        self.node.log.request(Kind::Broken, &self.ask.id, &fields);
    }

    fn kind(&self) -> &'static str {
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
            if !framing && node.wire.passes(name.as_str()) {
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
    fn note_events(&mut self) {
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
    fn note_end(&mut self, kind: Kind, outcome: &'static str, cause: &'static str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.node.now();
        let took = now.since(self.arrived);
        let first = if self.route.repeat.streams() { self.timing.first } else { took };
        let late = first > self.route.objective || self.timing.pause > self.route.pause;
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
        self.node.metrics.ended(self.kind(), outcome, cause, took);
    }
}

impl<W: Wire> Drop for Run<W> {
    fn drop(&mut self) {
        // Only a caller that left ends a request without an answer.
        self.note_end(Kind::Left, "caller_left", "");
        let mut state = self.node.state.borrow_mut();
        state.active = state.active.saturating_sub(1);
    }
}

impl<W: Wire> Stream<W> {
    fn into_body(self) -> Body {
        Body::stream(futures::stream::unfold(Some(self), |stream| async {
            let mut stream = stream?;
            match stream.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
                Ok(None) => {
                    stream.run.note_end(Kind::Answered, "whole", "");
                    None
                }
                Err(end) => {
                    stream.run.note_end(Kind::Cut, "cut", end.0);
                    Some((Err(end), None))
                }
            }
        }))
    }

    /// The next whole events. `None`: the stream is complete.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamEnd> {
        let deadline = self.run.node.instant(self.run.deadline);
        loop {
            let mut out = BytesMut::new();
            while let Some(event) = self.rest.splitter.take() {
                let old =
                    matches!((event.id, self.rest.last), (Some(id), Some(last)) if id <= last);
                if !old {
                    self.rest.last = event.id.or(self.rest.last);
                    out.extend_from_slice(&event.bytes);
                }
            }
            if !out.is_empty() {
                self.run.note_events();
                return Ok(Some(out.freeze()));
            }
            let Some(conn) = &mut self.rest.conn else { return Ok(None) };
            let stall = self.run.node.instant(self.run.node.now() + STALL);
            let limit = if self.run.may_repeat() { stall.min(deadline) } else { deadline };
            let cause = match timeout_at(limit, conn.chunk()).await {
                Ok(Ok(Some(bytes))) if self.rest.splitter.push(&bytes) => continue,
                Ok(Ok(Some(_))) => "event_too_long",
                Ok(Ok(None)) if self.rest.splitter.partial() => "partial_event",
                Ok(Ok(None)) => {
                    self.finish();
                    continue;
                }
                Ok(Err(_)) => "server_broke",
                Err(_) if tokio::time::Instant::now() >= deadline => "deadline",
                Err(_) => "server_stalled",
            };
            if cause == "deadline" {
                return Err(StreamEnd(cause));
            }
            match timeout_at(deadline, self.resume(cause)).await {
                Ok(Ok(())) => {}
                Ok(Err(end)) => return Err(end),
                Err(_) => return Err(StreamEnd("deadline")),
            }
        }
    }

    /// The server has sent the whole stream.
    fn finish(&mut self) {
        self.rest.guard.end(Ending::Whole);
        if let Some(conn) = self.rest.conn.take() {
            self.run.node.keep(&self.rest.guard.server, conn);
        }
    }

    /// Goes on at another server after the last event that was passed on.
    async fn resume(&mut self, cause: &'static str) -> Result<(), StreamEnd> {
        let run = &mut self.run;
        // The server must not go on with what another one is about to do.
        self.rest.conn = None;
        self.rest.guard.end(Ending::Failed);
        let (Some(last), true) = (self.rest.last, run.may_repeat()) else {
            return Err(StreamEnd(cause));
        };
        if !run.node.withdraw(&run.pool) {
            return Err(StreamEnd(cause));
        }
        let held = run.prepare().await.map_err(|_| StreamEnd("stages_after_break"))?;
        let server = run.choose(held.as_ref()).map_err(|_| StreamEnd("no_other_server"))?;
        let fields = [
            ("cause", cause.into()),
            ("server", server.id.as_str().into()),
            ("after_event", last.into()),
        ];
        run.node.log.request(Kind::Resumed, &run.ask.id, &fields);
        match run.send(&server, held.as_ref(), Some(last)).await {
            Outcome::Answer(answer) => match answer.rest {
                Some(rest) => {
                    self.rest = Rest { last: Some(last), ..rest };
                    Ok(())
                }
                None if answer.head.status.is_success() => {
                    self.rest.splitter = Splitter::default();
                    Ok(())
                }
                None => Err(StreamEnd("failed_after_break")),
            },
            _ => Err(StreamEnd("failed_after_break")),
        }
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
