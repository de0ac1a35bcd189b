//! Forwards the events of a stream as they arrive, and resumes the stream on another server if its server
//! fails.

use crate::attempt::{OpenStream, Outcome};
use crate::body::{Body, StreamError};
use crate::log::Kind;
use crate::memory::{BufferError, EventBuffer};
use crate::permits::Permit;
use crate::request::{ActiveRequest, CALL_QUARANTINED, PART_QUARANTINED, RequestError};
use crate::wire::{SendPath, Wire};
use bytes::Bytes;
use damaskweir_core::place::AttemptOutcome;
use damaskweir_core::time::Span;
use http::{HeaderMap, header};
use tokio::task::yield_now;
use tokio::time::timeout_at;

/// Minimum time without an event after which a resumable stream moves to another server.
const STALL_TIMEOUT_MIN: Span = Span::from_millis(1_500);
/// The same time as a multiple of the `event_gap` of the route. Callers wait at least that long.
const STALL_GAP_FACTOR: u64 = 8;

/// Forwards a stream to the caller of a request.
pub(crate) struct StreamRelay<W: Wire> {
    pub(crate) request: ActiveRequest<W>,
    pub(crate) upstream: OpenStream<W>,
    /// Media type that the caller was told, if any.
    pub(crate) media_type: Option<String>,
}

/// Returns the media type of a response without its parameters.
pub(crate) fn media_type(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    Some(text.split(';').next().unwrap_or_default().trim().to_ascii_lowercase())
}

impl<W: Wire> StreamRelay<W> {
    /// Returns a body that sends the events, and logs the end of the request.
    pub(crate) fn into_body(self) -> Body {
        Body::stream(futures::stream::unfold(Some(self), |stream| async {
            let mut stream = stream?;
            match stream.next_events().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
                Ok(None) => {
                    stream.request.log_end(Kind::Answered, "whole", "");
                    None
                }
                Err(error) => {
                    stream.request.log_end(Kind::Aborted, "cut", error.0);
                    // hyper drops what it has not sent yet when the body fails, and sends it when the
                    // body is pending.
                    yield_now().await;
                    Some((Err(error), None))
                }
            }
        }))
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, StreamError> {
        let deadline = self.request.node.instant(self.request.deadline);
        let stall_timeout =
            Span(STALL_TIMEOUT_MIN.0.max((self.request.route.event_gap * STALL_GAP_FACTOR).0));
        // The last forwarded event, as bytes of an incomplete one do not keep a stream alive, or the last time
        // that no other server could take the stream.
        let mut waiting_since = self.request.node.now();
        loop {
            let last_event = &mut self.upstream.last_event;
            let out = self.upstream.events.take_events(|event| {
                let delivered = matches!(
                    (event.id, *last_event),
                    (Some(id), Some(last)) if id <= last
                );
                if !delivered {
                    *last_event = event.id.or(*last_event);
                }
                !delivered
            });
            if !out.is_empty() {
                self.request.record_events();
                return Ok(Some(out));
            }
            let (server, attempt) = (&self.upstream.guard.replica, self.upstream.guard.attempt);
            let Some(conn) = &mut self.upstream.conn else { return Ok(None) };
            let stall_deadline = self.request.node.instant(waiting_since + stall_timeout);
            let limit =
                if self.request.can_retry() { stall_deadline.min(deadline) } else { deadline };
            let cause = match timeout_at(limit, conn.read_chunk()).await {
                Ok(Ok(Some(bytes))) => match self.upstream.events.push(&bytes) {
                    Ok(()) => continue,
                    Err(BufferError::TooLarge) => "event_too_long",
                    Err(BufferError::NoMemory) => "no_memory",
                },
                Ok(Ok(None)) if self.upstream.events.has_partial() => "partial_event",
                Ok(Ok(None)) if self.request.node.broke_unframed(server, attempt, conn).await => {
                    "server_broke"
                }
                Ok(Ok(None)) => {
                    self.finish();
                    continue;
                }
                Ok(Err(_)) => "server_broke",
                Err(_) if tokio::time::Instant::now() >= deadline => "deadline",
                Err(_) => "server_stalled",
            };
            if cause == "deadline" {
                return Err(StreamError(cause));
            }
            let reserved = match cause {
                "server_stalled" => {
                    let Ok(Some(permit)) = timeout_at(deadline, self.reserve_next()).await else {
                        // The server may still go on.
                        waiting_since = self.request.node.now();
                        continue;
                    };
                    Some(permit)
                }
                _ => None,
            };
            match timeout_at(deadline, self.resume(cause, reserved)).await {
                Ok(Ok(())) => waiting_since = self.request.node.now(),
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(StreamError("deadline")),
            }
        }
    }

    /// Ends the attempt after the server has sent the whole stream.
    fn finish(&mut self) {
        self.upstream.guard.record_end(AttemptOutcome::Completed);
        self.request.node.record_answer_to(&self.request.shared_parts, self.request.call);
        if let Some(mut conn) = self.upstream.conn.take() {
            conn.finish();
            self.request.node.keep_connection(&self.upstream.guard.replica.id, conn);
        }
    }

    /// Reserves another server for a stream whose server is silent, and a retry.
    async fn reserve_next(&self) -> Option<Permit> {
        let request = &self.request;
        self.upstream.last_event?;
        let permit = request.reserve_server(None, SendPath::Resume).await.ok()?;
        request.node.withdraw_retry(&request.pool).then_some(permit)
    }

    /// Resumes the stream on another server, the reserved one if possible, after the last event that was sent to
    /// the caller.
    async fn resume(
        &mut self,
        cause: &'static str,
        mut reserved: Option<Permit>,
    ) -> Result<(), StreamError> {
        let request = &mut self.request;
        // Closing the connection stops the first server from continuing work that the next one repeats.
        self.upstream.conn = None;
        self.upstream.guard.record_lost(AttemptOutcome::Failed);
        let (Some(last), true) = (self.upstream.last_event, request.can_retry()) else {
            return Err(StreamError(cause));
        };
        if reserved.is_none() && !request.node.withdraw_retry(&request.pool) {
            return Err(StreamError(cause));
        }
        let held = request.run_stages().await.map_err(|_| StreamError("stages_after_break"))?;
        let outcome = loop {
            let permit = match reserved.take().filter(|permit| request.is_present(permit.server()))
            {
                Some(permit) => Ok(permit),
                None => request.reserve_server(held.as_ref(), SendPath::Resume).await,
            };
            let permit = permit.map_err(|error| match error {
                RequestError::Unknown { cause: cause @ (PART_QUARANTINED | CALL_QUARANTINED) } => {
                    StreamError(cause)
                }
                _ => StreamError("no_other_server"),
            })?;
            let fields = [
                ("cause", cause.into()),
                ("server", permit.server().id.as_str().into()),
                ("after_event", last.into()),
            ];
            request.node.log.request(Kind::Resumed, &request.info.id, &fields);
            if let Some(outcome) = request.send(permit, held.as_ref(), Some(last)).await {
                break outcome;
            }
        };
        match outcome {
            // A page of another type is an error, whatever its status.
            Outcome::Response(response)
                if media_type(&response.head.headers) != self.media_type =>
            {
                Err(StreamError("failed_after_break"))
            }
            Outcome::Response(response) => match response.stream {
                Some(stream) => {
                    self.upstream = OpenStream { last_event: Some(last), ..stream };
                    Ok(())
                }
                None if response.head.status.is_success() => {
                    self.upstream.events = EventBuffer::new(&self.request.node.memory);
                    Ok(())
                }
                None => Err(StreamError("failed_after_break")),
            },
            _ => Err(StreamError("failed_after_break")),
        }
    }
}
