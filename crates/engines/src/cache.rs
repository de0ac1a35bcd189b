//! Feed of cache events.

use crate::client::Engine;
use crate::error::{EngineError, check_status};
use eventsource_stream::Eventsource;
use futures::stream::BoxStream;
use futures::{StreamExt, TryStreamExt};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix with this digest is cached.
    Stored(u64),
    /// The prefix with this digest is no longer cached.
    Evicted(u64),
    /// Events were missed, so nothing is known about the cache any more. Made by the client.
    Gap {
        /// How many, when the engine's numbering still tells it.
        missed: u64,
    },
}

/// Cache events of one engine, in order. They arrive late and may have gaps.
///
/// The engine's feed is `GET /cache/events` with server-sent events; each has a number as its `id`,
/// one higher than the event before, and a [`CacheChange`] as JSON. A feed is continued with the
/// header `last-event-id`.
pub struct CacheFeed {
    events: BoxStream<'static, Result<eventsource_stream::Event, EngineError>>,
    /// Number of the last event that was taken.
    last_id: Option<u64>,
    /// An event that waits until the gap before it was reported.
    pending: Option<CacheChange>,
}

impl Engine {
    /// Opens the feed after event `last`, or with the engine's next event.
    pub async fn cache_events(&self, last: Option<u64>) -> Result<CacheFeed, EngineError> {
        let mut request = self.client.get(self.url("/cache/events"));
        if let Some(last) = last {
            request = request.header("last-event-id", last);
        }
        let events = check_status(request.send().await?)
            .await?
            .bytes_stream()
            .eventsource()
            .map_err(|error| EngineError::OutcomeUnknown(format!("feed broke: {error}")))
            .boxed();
        Ok(CacheFeed { events, last_id: last, pending: None })
    }
}

impl CacheFeed {
    /// The next change; `None` when the engine ended the feed.
    pub async fn next(&mut self) -> Result<Option<CacheChange>, EngineError> {
        if let Some(change) = self.pending.take() {
            return Ok(Some(change));
        }
        loop {
            let Some(event) = self.events.next().await.transpose()? else { return Ok(None) };
            let unreadable =
                |error: &dyn fmt::Display| EngineError::OutcomeUnknown(format!("event: {error}"));
            let number: u64 = event.id.parse().map_err(|error| unreadable(&error))?;
            let change = serde_json::from_str(&event.data).map_err(|error| unreadable(&error))?;
            let expected = self.last_id.map_or(number, |last| last.saturating_add(1));
            if number == expected {
                self.last_id = Some(number);
                return Ok(Some(change));
            }
            // A lower number is a repeated event, unless the engine started anew and counts from 0.
            if number < expected && number != 0 {
                continue;
            }
            self.last_id = Some(number);
            self.pending = Some(change);
            return Ok(Some(CacheChange::Gap { missed: number.saturating_sub(expected) }));
        }
    }

    /// Number of the last event that was taken, to continue after the feed broke.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_id
    }
}

impl fmt::Debug for CacheFeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CacheFeed").field("last_id", &self.last_id).finish_non_exhaustive()
    }
}
