//! A single attempt to have a request served by one backend server.

use crate::http::{Conn, HttpError, ResponseHead};
use crate::log::{Kind, Value};
use crate::memory::{BodyBuffer, EventBuffer};
use crate::node::Node;
use crate::permits::Permit;
use crate::request::{ActiveRequest, RETRY_TIME_MIN, RequestError};
use crate::stages::HeldResults;
use crate::wire::{DispatchParams, ResponseInfo, SendPath, Wire, implies_not_run};
use bytes::Bytes;
use damaskweir_core::catalog::Work;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{PoolId, WorkspaceId};
use damaskweir_core::place::{AttemptOutcome, PromptPart, Requirements};
use damaskweir_core::quarantine::{OpenRequest, SentCall};
use damaskweir_core::time::{Span, Time};
use http::StatusCode;
use std::rc::Rc;
use tokio::time::timeout_at;

/// A server that has sent nothing is abandoned after the mean latency times this factor plus a fixed
/// margin, if the request can be retried on another server.
const TIMEOUT_FACTOR: f64 = 5.0;
/// Fixed margin of that timeout for plain calls.
const CALL_TIMEOUT_MARGIN: Span = Span::from_millis(150);
/// Fixed margin of that timeout for calls to inference engines.
const ENGINE_TIMEOUT_MARGIN: Span = Span::from_millis(700);
/// Maximum size in bytes of a response that is buffered before it is forwarded. A faulty server may send
/// an endless body, and entries have little memory.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Result of one attempt.
pub(crate) enum Outcome<W: Wire> {
    /// A complete response, or the start of a stream.
    Response(Box<ServerResponse<W>>),
    /// The server did not run the request: it could not be reached, or its response says so.
    NotRun(AttemptOutcome),
    /// The server no longer finds the stage results that the request needs, and did not run it.
    InputsLost,
    /// The call or a part of its prompt is quarantined, and nothing was sent. Holds the cause.
    Quarantined(&'static str),
    /// The attempt failed and the request may have run. Holds the cause.
    MaybeRun(&'static str),
}

/// Response of a backend server.
pub(crate) struct ServerResponse<W: Wire> {
    pub(crate) head: ResponseHead,
    /// Its body in parts.
    pub(crate) body: Vec<Bytes>,
    /// Source of the events if the response is a stream. `body` is then empty.
    pub(crate) stream: Option<OpenStream<W>>,
}

/// A stream whose first event has arrived.
pub(crate) struct OpenStream<W: Wire> {
    /// `None` once the server has sent the whole stream, or after the connection was given up.
    pub(crate) conn: Option<Conn>,
    pub(crate) events: EventBuffer,
    pub(crate) guard: OpenRequestGuard<W>,
    /// Id of the last event that was sent to the caller.
    pub(crate) last_event: Option<u64>,
}

/// Counts a request as open at its server until the attempt ends. Dropping it counts as abandoned.
pub(crate) struct OpenRequestGuard<W: Wire> {
    node: Rc<Node<W>>,
    pool: PoolId,
    pub(crate) replica: Replica,
    parts: Vec<PromptPart>,
    /// Prompt tokens that the server still has to prefill; 0 once it has responded.
    uncached_tokens: u64,
    /// Number of the attempt among the requests that servers have not answered; 0 until it is sent.
    pub(crate) attempt: u64,
    ended: bool,
}

impl<W: Wire> OpenRequestGuard<W> {
    /// Records the arrival of a complete response or of the first event of a stream.
    pub(crate) fn record_response(&mut self, latency: Span, route: &str) {
        let now = self.node.now();
        let uncached_tokens = std::mem::take(&mut self.uncached_tokens);
        let mut state = self.node.state.borrow_mut();
        if let Some(placer) = state.placers.get_mut(&self.pool) {
            placer.record_response(now, &self.replica.id, uncached_tokens, latency, route);
        }
    }

    /// Records that the answer broke off or is no longer waited for. Later calls have no effect.
    pub(crate) fn record_lost(&mut self, outcome: AttemptOutcome) {
        if !self.ended {
            self.node.record_lost(&self.replica, self.attempt);
        }
        self.end(outcome);
    }

    /// Records the end of the attempt. Later calls have no effect.
    pub(crate) fn record_end(&mut self, outcome: AttemptOutcome) {
        if !self.ended {
            let process = self.replica.process();
            self.node.state.borrow_mut().exposures.close(&process, self.attempt);
        }
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.node.now();
            let mut state = self.node.state.borrow_mut();
            if let Some(placer) = state.placers.get_mut(&self.pool) {
                placer.record_end(
                    now,
                    &self.replica.id,
                    &self.parts,
                    self.uncached_tokens,
                    outcome,
                );
            }
        }
    }
}

impl<W: Wire> Drop for OpenRequestGuard<W> {
    fn drop(&mut self) {
        self.record_end(AttemptOutcome::Abandoned);
    }
}

impl<W: Wire> ActiveRequest<W> {
    /// Sends the request to a server that accepts it, the reserved one if possible, and waits for a complete
    /// response or the first event of a stream.
    pub(crate) async fn send_to_any(
        &mut self,
        mut reserved: Option<Permit>,
        held: Option<&HeldResults<W>>,
        path: SendPath,
    ) -> Result<Outcome<W>, RequestError> {
        loop {
            let permit = match reserved.take().filter(|permit| self.is_present(permit.server())) {
                Some(permit) => permit,
                None => self.reserve_server(held, path).await?,
            };
            if let Some(outcome) = self.send(permit, held, None).await {
                return Ok(outcome);
            }
        }
    }

    /// Sends the request to a server and waits for a complete response or the first event of a stream.
    /// Returns `None` if the server accepts no request by then, and nothing was sent.
    pub(crate) async fn send(
        &mut self,
        permit: Permit,
        held: Option<&HeldResults<W>>,
        resume: Option<u64>,
    ) -> Option<Outcome<W>> {
        let node = self.node.clone();
        // The wait must not count as the server's time to answer.
        node.wait_caught_up().await;
        let (server, path) = (&permit.server().clone(), permit.path());
        let started = node.now();
        self.sent.push(server.id.clone());
        let uncached_tokens = {
            let mut state = node.state.borrow_mut();
            let state = &mut *state;
            let blocked: Vec<_> =
                state.blocked(started, &self.pool).into_iter().map(|(id, _)| id).collect();
            let requirements = Requirements {
                parts: &self.info.parts,
                blocked: &blocked,
                others: (state.roster.entries().len() > 1).then_some(&state.loads),
                ..Requirements::default()
            };
            let placer = state.placers.get_mut(&self.pool);
            placer.map_or(0, |p| p.record_dispatch_among(started, &server.id, &requirements))
        };
        let mut guard = OpenRequestGuard {
            node: node.clone(),
            pool: self.pool.clone(),
            replica: server.clone(),
            parts: self.info.parts.clone(),
            uncached_tokens,
            attempt: 0,
            ended: false,
        };
        let mut conn = match node.connection(permit).await {
            Ok(conn) => conn,
            Err(HttpError::Declined) => {
                guard.record_end(AttemptOutcome::Abandoned);
                self.sent.pop();
                return None;
            }
            Err(error) => {
                self.log_broken(server, &error);
                guard.record_end(AttemptOutcome::Unresponsive);
                if error.is_refusal() {
                    node.record_crash(server, "refused");
                }
                return Some(Outcome::NotRun(AttemptOutcome::Unresponsive));
            }
        };
        // It may have been ruled on while the request waited for the connection.
        if let Some(cause) = self.quarantine_cause() {
            guard.record_end(AttemptOutcome::Abandoned);
            node.keep_connection(&server.id, conn);
            return Some(Outcome::Quarantined(cause));
        }
        guard.attempt = self.record_exposure(server);
        let left = self.deadline.since(node.now());
        let params = DispatchParams {
            server,
            workspace: self.workspace.as_ref().map(WorkspaceId::as_str),
            time_left: left,
            last_event: resume.or(self.info.last_event),
            inputs: held.map(|held| held.outputs.iter().map(String::as_str).collect()),
            rank: self.rank,
        };
        let size = self.body.iter().map(Bytes::len).sum();
        let head = node.wire.encode_request(&self.head, size, &params);
        let parts: Vec<_> = self.shared_parts.iter().map(|part| format!("{part:x}")).collect();
        let (parts, call) = (parts.join(","), format!("{:x}", self.call));
        let fields = [
            ("server", server.id.as_str().into()),
            ("left_ms", left.as_millis().into()),
            ("unread_tokens", guard.uncached_tokens.into()),
            ("reused", u64::from(conn.uses()).into()),
            ("path", path.name().into()),
            ("inputs", held.map_or(0, |held| held.outputs.len() as u64).into()),
            ("parts", parts.as_str().into()),
            ("call", call.as_str().into()),
        ];
        node.log.request(Kind::Sent, &self.info.id, &fields);
        self.maybe_ran.push(server.id.clone());
        let limit = node.instant(self.response_deadline(started));
        let body = self.body.clone();
        let exchange = self.exchange((server, guard.attempt), &mut conn, &head, &body);
        let result = match timeout_at(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::TimedOut),
        };
        let outcome = match result {
            Err(error) => {
                self.log_broken(server, &error);
                let timed_out = matches!(error, HttpError::TimedOut);
                guard.record_lost(if timed_out {
                    AttemptOutcome::Unresponsive
                } else {
                    AttemptOutcome::Failed
                });
                Outcome::MaybeRun(if timed_out { "server_silent" } else { "connection_broke" })
            }
            Ok((head, info, body, events)) => {
                let took = node.now().since(started);
                self.classify_response(guard, (head, info, body), (conn, events), took)
            }
        };
        if matches!(outcome, Outcome::NotRun(_) | Outcome::InputsLost) {
            self.maybe_ran.pop();
        }
        Some(outcome)
    }

    /// Records that the request is sent to a server. Returns the number of the attempt.
    fn record_exposure(&self, server: &Replica) -> u64 {
        let now = self.node.now();
        let request = OpenRequest {
            parts: self.shared_parts.clone(),
            workspace: self.workspace.clone(),
            call: Some(SentCall { digest: self.call, sent: now, broke: None }),
        };
        self.node.state.borrow_mut().exposures.open(now, server, request)
    }

    /// Returns when to give up waiting for a complete response or the first event.
    fn response_deadline(&self, started: Time) -> Time {
        if !self.can_retry() {
            return self.deadline;
        }
        let engine = self.is_engine();
        let margin = if engine { ENGINE_TIMEOUT_MARGIN } else { CALL_TIMEOUT_MARGIN };
        let at = started + self.mean_latency().scale(TIMEOUT_FACTOR) + margin;
        // Timing out is only useful if enough time is left for another attempt.
        if at + RETRY_TIME_MIN < self.deadline { at } else { self.deadline }
    }

    fn is_engine(&self) -> bool {
        let state = self.node.state.borrow();
        let pool = state.catalog.as_ref().and_then(|catalog| catalog.pools.get(&self.pool));
        pool.is_some_and(|pool| matches!(pool.work, Work::Engine { .. }))
    }

    /// Sends the request and reads a complete response, or up to the first event of a stream.
    async fn exchange(
        &self,
        (server, attempt): (&Replica, u64),
        conn: &mut Conn,
        head: &[u8],
        body: &[Bytes],
    ) -> Result<(ResponseHead, ResponseInfo, Vec<Bytes>, Option<EventBuffer>), HttpError> {
        conn.send(head, body).await?;
        let wire = &self.node.wire;
        let is_own = |head: &ResponseHead| {
            wire.parse_response(head).request_id.as_deref() == Some(self.info.id.as_str())
        };
        let head = conn.read_head(is_own).await?;
        let info = self.node.record_answer(server, &head);
        if self.route.repeat.streams() && head.status.is_success() {
            let mut events = EventBuffer::new(&self.node.memory);
            while !events.has_event() {
                match conn.read_chunk().await? {
                    Some(bytes) => events.push(&bytes)?,
                    // A stream that ends with its connection has at least one event.
                    None if events.has_partial() || conn.is_unframed() => {
                        return Err(HttpError::UnexpectedEof);
                    }
                    None => {
                        conn.finish();
                        return Ok((head, info, Vec::new(), None));
                    }
                }
            }
            return Ok((head, info, Vec::new(), Some(events)));
        }
        let body = conn.read_body(BodyBuffer::new(RESPONSE_BYTES_MAX, &self.node.memory)).await?;
        if self.node.broke_unframed(server, attempt, conn).await {
            return Err(HttpError::UnexpectedEof);
        }
        conn.finish();
        Ok((head, info, body.into_parts(), None))
    }

    /// Determines the result of the attempt from a response, and updates the statistics of the server.
    fn classify_response(
        &self,
        mut guard: OpenRequestGuard<W>,
        (head, info, body): (ResponseHead, ResponseInfo, Vec<Bytes>),
        (conn, events): (Conn, Option<EventBuffer>),
        took: Span,
    ) -> Outcome<W> {
        let status = head.status;
        if status.is_success() && info.signed {
            self.node.metrics.first_part(self.request_kind(), took);
            guard.record_response(took, &self.route.name);
            let stream = match events {
                Some(events) => Some(OpenStream {
                    conn: Some(conn),
                    events,
                    guard,
                    last_event: self.info.last_event,
                }),
                None => {
                    guard.record_end(AttemptOutcome::Completed);
                    self.node.record_answer_to(&self.shared_parts, self.call);
                    self.node.keep_connection(&guard.replica.id, conn);
                    None
                }
            };
            return Outcome::Response(Box::new(ServerResponse { head, body, stream }));
        }
        self.node.keep_connection(&guard.replica.id, conn);
        if info.not_run || status == StatusCode::MISDIRECTED_REQUEST {
            if status == StatusCode::CONFLICT {
                guard.record_end(AttemptOutcome::Abandoned);
                return Outcome::InputsLost;
            }
            let end = match status.as_u16() {
                421 => AttemptOutcome::Unresponsive,
                _ => AttemptOutcome::Overloaded,
            };
            guard.record_end(end);
            return Outcome::NotRun(AttemptOutcome::Overloaded);
        }
        guard.record_end(AttemptOutcome::Failed);
        // A signed error is forwarded to the caller unless the request can be retried, or the status
        // would promise that the request has not run.
        let final_answer = info.signed && !implies_not_run(status) && !status.is_success();
        if final_answer && !self.can_retry() {
            return Outcome::Response(Box::new(ServerResponse { head, body, stream: None }));
        }
        Outcome::MaybeRun("server_failed")
    }

    fn log_broken(&self, server: &Replica, error: &HttpError) {
        let text = error.to_string();
        let fields = [("server", server.id.as_str().into()), ("error", Value::from(&*text))];
        self.node.log.request(Kind::AttemptFailed, &self.info.id, &fields);
    }
}
