//! Reads what an engine sends within limits, since a faulty one may send bytes without end.

use crate::error::EngineError;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures::stream::BoxStream;
use futures::{StreamExt, TryStreamExt};
use reqwest::Response;
use serde::de::DeserializeOwned;

/// Maximum size in bytes of a response that is read as a whole.
const RESPONSE_BYTES_MAX: usize = 1024 * 1024;
/// Maximum size in bytes of an event.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Reads a body until it ends or has at least `size` bytes.
pub(crate) async fn read_start(
    mut response: Response,
    size: usize,
) -> Result<Vec<u8>, reqwest::Error> {
    let mut bytes = Vec::new();
    while bytes.len() < size {
        let Some(part) = response.chunk().await? else { break };
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}

/// Reads a JSON response.
pub(crate) async fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, EngineError> {
    let body = read_start(response, RESPONSE_BYTES_MAX + 1).await?;
    if body.len() > RESPONSE_BYTES_MAX {
        return Err(EngineError::OutcomeUnknown("response too large".to_owned()));
    }
    serde_json::from_slice(&body)
        .map_err(|error| EngineError::OutcomeUnknown(format!("invalid response: {error}")))
}

/// Reads a response as server-sent events.
pub(crate) fn read_events(response: Response) -> BoxStream<'static, Result<Event, EngineError>> {
    let mut size = EventSize::default();
    let parts = response.bytes_stream().map(move |part| {
        let part = part?;
        match size.add(&part) {
            true => Ok(part),
            false => Err(EngineError::OutcomeUnknown("event too long".to_owned())),
        }
    });
    let events = parts.eventsource().map_err(|error| match error {
        EventStreamError::Transport(error) => error,
        error => EngineError::OutcomeUnknown(format!("invalid event stream: {error}")),
    });
    events.boxed()
}

/// Size of an event that is being read.
#[derive(Default)]
struct EventSize {
    bytes: usize,
    /// Whether the current line is empty so far.
    line_empty: bool,
    after_return: bool,
}

impl EventSize {
    /// Adds bytes of the stream, and returns whether the event is within its limit.
    fn add(&mut self, part: &[u8]) -> bool {
        for byte in part {
            self.bytes += 1;
            match byte {
                b'\n' if self.after_return => {}
                b'\n' | b'\r' => {
                    if std::mem::replace(&mut self.line_empty, true) {
                        self.bytes = 0;
                    }
                }
                _ => self.line_empty = false,
            }
            self.after_return = *byte == b'\r';
            if self.bytes > EVENT_BYTES_MAX {
                return false;
            }
        }
        true
    }
}
