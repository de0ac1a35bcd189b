//! Streams: events passed on as they come, and resumed at another server when theirs breaks.

use crate::attempt::{Outcome, Rest};
use crate::body::{Body, StreamEnd};
use crate::event::Splitter;
use crate::log::Kind;
use crate::request::Run;
use crate::wire::Wire;
use bytes::{Bytes, BytesMut};
use damaskweir_core::place::AttemptOutcome;
use damaskweir_core::time::Span;
use tokio::time::timeout_at;

/// Shortest pause between events after which a stream that can be resumed goes on elsewhere.
const STALL_MIN: Span = Span::from_millis(1_500);
/// The same as a multiple of the longest pause that counts in full; callers wait that long at least.
const STALL_PAUSES: u64 = 8;

/// An answer with its stream, if it has one.
pub(crate) struct Stream<W: Wire> {
    pub(crate) run: Run<W>,
    pub(crate) rest: Rest<W>,
}

impl<W: Wire> Stream<W> {
    pub(crate) fn into_body(self) -> Body {
        Body::stream(futures::stream::unfold(Some(self), |stream| async {
            let mut stream = stream?;
            match stream.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
                Ok(None) => {
                    stream.run.note_end(Kind::Answered, "whole", "");
                    None
                }
                Err(end) => {
                    stream.run.note_end(Kind::Aborted, "cut", end.0);
                    Some((Err(end), None))
                }
            }
        }))
    }

    /// The next whole events. `None`: the stream is complete.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamEnd> {
        let deadline = self.run.node.instant(self.run.deadline);
        // Counts from the last whole event: bytes alone do not keep a stream alive.
        let stall = Span(STALL_MIN.0.max((self.run.route.event_gap * STALL_PAUSES).0));
        let mut since = self.run.node.now();
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
            let stalled = self.run.node.instant(since + stall);
            let limit = if self.run.may_repeat() { stalled.min(deadline) } else { deadline };
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
                Ok(Ok(())) => since = self.run.node.now(),
                Ok(Err(end)) => return Err(end),
                Err(_) => return Err(StreamEnd("deadline")),
            }
        }
    }

    /// The server has sent the whole stream.
    fn finish(&mut self) {
        self.rest.guard.end(AttemptOutcome::Completed);
        if let Some(conn) = self.rest.conn.take() {
            self.run.node.keep_connection(&self.rest.guard.server, conn);
        }
    }

    /// Goes on at another server after the last event that was passed on.
    async fn resume(&mut self, cause: &'static str) -> Result<(), StreamEnd> {
        let run = &mut self.run;
        // The server must not go on with what another one is about to do.
        self.rest.conn = None;
        self.rest.guard.end(AttemptOutcome::Failed);
        let (Some(last), true) = (self.rest.last, run.may_repeat()) else {
            return Err(StreamEnd(cause));
        };
        if !run.node.withdraw_retry(&run.pool) {
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
