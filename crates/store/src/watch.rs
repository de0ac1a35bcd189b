//! Watches of the store.

use crate::client::{CallKind, Client};
use crate::error::StoreError;
use crate::gateway::{EventKind, KeyValue, RangeRequest, StreamMessage, WatchResponse};
use serde_json::json;

/// Maximum size in bytes of a watch message: fits a value of 1 MB in base64 with its key and the JSON
/// around it.
const MESSAGE_BYTES_MAX: usize = 2_000_000;

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted, or its lease expired.
    Delete(String),
}

/// An open watch. It ends with its connection; to continue, open another one from the revision after
/// [`Watch::revision`].
#[derive(Debug)]
pub struct Watch {
    response: reqwest::Response,
    /// Received bytes after the last complete message.
    buffer: Vec<u8>,
    revision: u64,
}

impl Client {
    /// Watches a key, or all keys with a prefix if `key` ends in `/`, for changes from `start_revision`
    /// on. Zero stands for the current revision.
    pub async fn watch(&self, key: &str, start_revision: u64) -> Result<Watch, StoreError> {
        let range =
            if key.ends_with('/') { RangeRequest::prefix(key) } else { RangeRequest::key(key) };
        self.open_watch(range, start_revision).await
    }

    /// Watches the keys from `key` to `end`, exclusive. See [`Client::watch`].
    pub async fn watch_range(
        &self,
        key: &str,
        end: &str,
        start_revision: u64,
    ) -> Result<Watch, StoreError> {
        self.open_watch(RangeRequest::between(key, end), start_revision).await
    }

    async fn open_watch(
        &self,
        range: RangeRequest,
        start_revision: u64,
    ) -> Result<Watch, StoreError> {
        let mut request = serde_json::to_value(range).unwrap_or_default();
        if start_revision > 0 {
            request["start_revision"] = json!(start_revision.to_string());
        }
        let body = json!({ "create_request": request });
        self.reserve(CallKind::Watch).await?;
        let response = self.send(CallKind::Watch, "watch", &body).await.inspect_err(|_| {
            self.record_failure();
        })?;
        Ok(Watch { response, buffer: Vec::new(), revision: start_revision.saturating_sub(1) })
    }
}

impl Watch {
    /// Waits for the next message and returns its changes. They are empty if the message only reports the
    /// store's revision.
    pub async fn next(&mut self) -> Result<Vec<WatchEvent>, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return self.parse_message(&line);
            }
            if self.buffer.len() > MESSAGE_BYTES_MAX {
                return Err(StoreError::InvalidResponse("watch message too long".to_owned()));
            }
            match self.response.chunk().await {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk),
                Ok(None) => return Err(StoreError::ResponseLost("watch closed".to_owned())),
                Err(error) => {
                    return Err(StoreError::ResponseLost(error.without_url().to_string()));
                }
            }
        }
    }

    /// Returns the highest revision that the watch has reported.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Decodes one message and updates the revision.
    fn parse_message(&mut self, line: &[u8]) -> Result<Vec<WatchEvent>, StoreError> {
        let message: StreamMessage<WatchResponse> = serde_json::from_slice(line)
            .map_err(|error| StoreError::InvalidResponse(error.to_string()))?;
        let Some(response) = message.result else {
            return Err(StoreError::InvalidResponse(message.error.unwrap_or_default().to_string()));
        };
        if response.compact_revision > 0 {
            return Err(StoreError::Compacted(response.compact_revision));
        }
        if response.canceled {
            return Err(StoreError::ResponseLost("watch canceled by the store".to_owned()));
        }
        self.revision = self.revision.max(response.header.revision);
        response
            .events
            .into_iter()
            .map(|event| {
                let kv = KeyValue::try_from(event.kv)?;
                Ok(match event.kind {
                    EventKind::Put => WatchEvent::Put(kv),
                    EventKind::Delete => WatchEvent::Delete(kv.key),
                })
            })
            .collect()
    }
}
