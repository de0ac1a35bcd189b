//! One try of a request at one backend server.

use crate::event::Splitter;
use crate::http::{Conn, Head, HttpError};
use crate::log::{Kind, Value};
use crate::node::{Node, State};
use crate::request::{Run, WORTH_SENDING};
use crate::stages::HeldResults;
use crate::wire::{DispatchParams, ResponseInfo, Wire, implies_not_run};
use bytes::{Bytes, BytesMut};
use damaskweir_core::catalog::Work;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{PoolId, ServerId, WorkspaceId};
use damaskweir_core::place::{AttemptOutcome, PromptPart};
use damaskweir_core::time::{Span, Time};
use http::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::timeout_at;

/// Time beyond the usual one after which a server that has sent nothing is given up, if the request may
/// be sent elsewhere: this many times the usual time, and a while longer.
const PATIENCE_FACTOR: f64 = 5.0;
/// Added to that for plain calls.
const PATIENCE_PLAIN: Span = Span::from_millis(150);
/// Added to that for generation.
const PATIENCE_ENGINE: Span = Span::from_millis(700);
/// Bytes of an answer that is passed on as a whole, and of all answers that are being read. A server may
/// send bytes without end, and entries have little memory.
const ANSWER_MAX: usize = 16 * 1024 * 1024;
const READING_MAX: usize = 32 * 1024 * 1024;

/// What came of sending a request once.
pub(crate) enum Outcome<W: Wire> {
    /// A whole answer, or the beginning of a stream.
    Answer(Box<Answer<W>>),
    /// The server states that it has not run it.
    NotRun(AttemptOutcome),
    /// Inputs of the request are gone; it has not run.
    InputsGone,
    /// It may have run.
    Broken(&'static str),
}

pub(crate) struct Answer<W: Wire> {
    pub(crate) head: Head,
    pub(crate) bytes: Bytes,
    /// The rest of a stream.
    pub(crate) rest: Option<Rest<W>>,
}

/// A stream that has begun.
pub(crate) struct Rest<W: Wire> {
    /// `None`: the server has sent all of it.
    pub(crate) conn: Option<Conn>,
    pub(crate) splitter: Splitter,
    pub(crate) guard: OpenGuard<W>,
    /// Last event that was passed on.
    pub(crate) last: Option<u64>,
}

/// Counts a request as open at a server until it ends.
pub(crate) struct OpenGuard<W: Wire> {
    node: Rc<Node<W>>,
    pool: PoolId,
    pub(crate) server: ServerId,
    parts: Vec<PromptPart>,
    /// Prompt tokens that the server has still to read.
    unread: u64,
    done: bool,
}

impl<W: Wire> OpenGuard<W> {
    pub(crate) fn answered(&mut self, first: Span, route: &str) {
        let now = self.node.now();
        let unread = std::mem::take(&mut self.unread);
        let mut state = self.node.state.borrow_mut();
        if let Some(placer) = state.placers.get_mut(&self.pool) {
            placer.record_response(now, &self.server, unread, first, route);
        }
    }

    pub(crate) fn end(&mut self, ending: AttemptOutcome) {
        if !std::mem::replace(&mut self.done, true) {
            let now = self.node.now();
            let mut state = self.node.state.borrow_mut();
            if let Some(placer) = state.placers.get_mut(&self.pool) {
                placer.record_end(now, &self.server, &self.parts, self.unread, ending);
            }
        }
    }
}

impl<W: Wire> Drop for OpenGuard<W> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Abandoned);
    }
}

/// Counts the bytes of an answer that is being read.
struct Reading<'a> {
    state: &'a RefCell<State>,
    bytes: usize,
}

impl Reading<'_> {
    /// Adds bytes. `false`: too many are being read.
    fn add(&mut self, bytes: usize) -> bool {
        let mut state = self.state.borrow_mut();
        self.bytes += bytes;
        state.buffered_bytes += bytes;
        state.buffered_bytes <= READING_MAX
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.state.borrow_mut().buffered_bytes -= self.bytes;
    }
}

impl<W: Wire> Run<W> {
    /// Sends the request to a server and waits for a whole answer, or for the first event of a stream.
    pub(crate) async fn send(
        &mut self,
        server: &Replica,
        held: Option<&HeldResults<W>>,
        resume: Option<u64>,
    ) -> Outcome<W> {
        let node = self.node.clone();
        let began = node.now();
        self.sent.push(server.id.clone());
        let unread = {
            let mut state = node.state.borrow_mut();
            let placer = state.placers.get_mut(&self.pool);
            placer.map_or(0, |placer| placer.record_dispatch(began, &server.id, &self.ask.parts))
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
                guard.end(AttemptOutcome::Unresponsive);
                return Outcome::NotRun(AttemptOutcome::Unresponsive);
            }
        };
        let left = self.deadline.since(node.now());
        let order = DispatchParams {
            server,
            workspace: self.workspace.as_ref().map(WorkspaceId::as_str),
            time_left: left,
            last_event: resume.or(self.ask.last_event),
            inputs: held.map(|held| held.outputs.iter().map(String::as_str).collect()),
            rank: self.rank,
        };
        let head = node.wire.encode_request(&self.head, self.body.len(), &order);
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
                guard.end(if silent {
                    AttemptOutcome::Unresponsive
                } else {
                    AttemptOutcome::Failed
                });
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
    ) -> Result<(Head, ResponseInfo, Bytes, Option<Splitter>), HttpError> {
        conn.send(head, body).await?;
        let wire = &self.node.wire;
        let own = |head: &Head| {
            wire.parse_response(head).request_id.as_deref() == Some(self.ask.id.as_str())
        };
        let head = conn.head(own).await?;
        let reply = wire.parse_response(&head);
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
        let mut reading = Reading { state: &self.node.state, bytes: 0 };
        while let Some(bytes) = conn.chunk().await? {
            all.extend_from_slice(&bytes);
            if all.len() > ANSWER_MAX || !reading.add(bytes.len()) {
                return Err(HttpError::Malformed("body too large"));
            }
        }
        Ok((head, reply, all.freeze(), None))
    }

    /// Tells what an answer means for the request and for what is believed of the server.
    fn judge(
        &self,
        mut guard: OpenGuard<W>,
        (head, reply, bytes): (Head, ResponseInfo, Bytes),
        (conn, splitter): (Conn, Option<Splitter>),
        took: Span,
    ) -> Outcome<W> {
        let status = head.status;
        if status.is_success() && reply.signed {
            self.node.metrics.first_part(self.kind(), took);
            guard.answered(took, &self.route.name);
            let rest = match splitter {
                Some(splitter) => {
                    Some(Rest { conn: Some(conn), splitter, guard, last: self.ask.last_event })
                }
                None => {
                    guard.end(AttemptOutcome::Completed);
                    self.node.keep_connection(&guard.server, conn);
                    None
                }
            };
            return Outcome::Answer(Box::new(Answer { head, bytes, rest }));
        }
        self.node.keep_connection(&guard.server, conn);
        if reply.not_run || status == StatusCode::MISDIRECTED_REQUEST {
            if status == StatusCode::CONFLICT {
                guard.end(AttemptOutcome::Abandoned);
                return Outcome::InputsGone;
            }
            let ending = match status.as_u16() {
                421 => AttemptOutcome::Unresponsive,
                _ => AttemptOutcome::Overloaded,
            };
            guard.end(ending);
            return Outcome::NotRun(AttemptOutcome::Overloaded);
        }
        guard.end(AttemptOutcome::Failed);
        // A failure of the server is its answer, unless it can be tried elsewhere or would promise
        // that nothing ran.
        let final_answer = reply.signed && !implies_not_run(status) && !status.is_success();
        if final_answer && !self.may_repeat() {
            return Outcome::Answer(Box::new(Answer { head, bytes, rest: None }));
        }
        Outcome::Broken("server_failed")
    }

    fn note_broken(&self, server: &Replica, error: &HttpError) {
        let text = error.to_string();
        let fields = [("server", server.id.as_str().into()), ("error", Value::from(&*text))];
        self.node.log.request(Kind::AttemptFailed, &self.ask.id, &fields);
    }
}
