//! Subscription to an engine's prefix cache events.

use crate::body::read_events;
use crate::client::Engine;
use crate::error::{EngineError, check_status};
use futures::StreamExt;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change to an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix with this digest was added to the cache.
    Stored(u64),
    /// The prefix with this digest was removed from the cache.
    Evicted(u64),
    /// Events were missed, so the content of the cache is unknown. Reported by the client, not sent
    /// by the engine.
    Gap {
        /// Number of missed events; 0 if the engine restarted its numbering.
        missed: u64,
    },
}

/// Cache events of one engine, in order. Events are delayed and may have gaps.
///
/// The engine serves the feed as server-sent events at `GET /cache/events`. The `id` of an event is
/// a number one higher than that of the previous event, its data a [`CacheChange`] as JSON. The
/// header `last-event-id` resumes a feed.
pub struct CacheFeed {
    events: BoxStream<'static, Result<eventsource_stream::Event, EngineError>>,
    /// Id of the last event that was received.
    last_id: Option<u64>,
    /// The event after a gap, returned after the gap was reported.
    pending: Option<CacheChange>,
}

impl Engine {
    /// Opens the feed after event `last`, or at the engine's next event if `last` is `None`.
    pub async fn cache_events(&self, last: Option<u64>) -> Result<CacheFeed, EngineError> {
        let mut request = self.client.get(self.url("/cache/events"));
        if let Some(last) = last {
            request = request.header("last-event-id", last);
        }
        let events = read_events(check_status(request.send().await?).await?);
        Ok(CacheFeed { events, last_id: last, pending: None })
    }
}

impl CacheFeed {
    /// Returns the next change, or `None` when the engine has closed the feed.
    pub async fn next(&mut self) -> Result<Option<CacheChange>, EngineError> {
        if let Some(change) = self.pending.take() {
            return Ok(Some(change));
        }
        loop {
            let Some(event) = self.events.next().await.transpose()? else { return Ok(None) };
            let unreadable = |error: &dyn fmt::Display| {
                EngineError::OutcomeUnknown(format!("invalid cache event: {error}"))
            };
            let number: u64 = event.id.parse().map_err(|error| unreadable(&error))?;
            let change = serde_json::from_str(&event.data).map_err(|error| unreadable(&error))?;
            let expected = self.last_id.map_or(number, |last| last.saturating_add(1));
            if number == expected {
                self.last_id = Some(number);
                return Ok(Some(change));
            }
            // A lower number is a repeated event, unless it is 0: then the engine has restarted.
            if number < expected && number != 0 {
                continue;
            }
            self.last_id = Some(number);
            self.pending = Some(change);
            return Ok(Some(CacheChange::Gap { missed: number.saturating_sub(expected) }));
        }
    }

    /// Returns the id of the last event that was received, to resume a feed that failed.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_id
    }
}

impl fmt::Debug for CacheFeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CacheFeed").field("last_id", &self.last_id).finish_non_exhaustive()
    }
}
