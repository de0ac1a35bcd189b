use crate::client::{Client, Kind};
use crate::error::StoreError;
use crate::gateway::{EventKind, Range, Stored, Streamed, WatchAnswer};
use serde_json::json;

/// Longest element of a watch: a value of 1 MB in base64, with its key and frame.
const ELEMENT_MAX_BYTES: usize = 2_000_000;

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(Stored),
    /// A key was removed or its lease ended.
    Delete(String),
}

/// An open watch. It ends with the connection; the holder opens another one from the last revision.
#[derive(Debug)]
pub struct Watch {
    response: reqwest::Response,
    buffer: Vec<u8>,
    revision: u64,
}

impl Client {
    /// Watches a key, or all keys with a prefix when it ends in `/`, from a revision on; zero stands
    /// for the present one.
    pub async fn watch(&self, key: &str, from: u64) -> Result<Watch, StoreError> {
        let range = if key.ends_with('/') { Range::prefix(key) } else { Range::key(key) };
        self.open_watch(range, from).await
    }

    /// Watches all keys from `key` up to but without `end`.
    pub async fn watch_range(&self, key: &str, end: &str, from: u64) -> Result<Watch, StoreError> {
        self.open_watch(Range::between(key, end), from).await
    }

    async fn open_watch(&self, range: Range, from: u64) -> Result<Watch, StoreError> {
        let mut request = serde_json::to_value(range).unwrap_or_default();
        if from > 0 {
            request["start_revision"] = json!(from.to_string());
        }
        let body = json!({ "create_request": request });
        self.reserve(Kind::Watch).await?;
        let response = self.open(Kind::Watch, "watch", &body).await.inspect_err(|_| {
            self.failed();
        })?;
        Ok(Watch { response, buffer: Vec::new(), revision: from.saturating_sub(1) })
    }
}

impl Watch {
    /// The next changes; empty when the store only showed its revision.
    pub async fn next(&mut self) -> Result<Vec<WatchEvent>, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return self.take(&line);
            }
            if self.buffer.len() > ELEMENT_MAX_BYTES {
                return Err(StoreError::Answer("watch element too long".to_owned()));
            }
            match self.response.chunk().await {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk),
                Ok(None) => return Err(StoreError::Lost("watch closed".to_owned())),
                Err(error) => return Err(StoreError::Lost(error.without_url().to_string())),
            }
        }
    }

    /// The last revision that the watch showed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn take(&mut self, line: &[u8]) -> Result<Vec<WatchEvent>, StoreError> {
        let element: Streamed<WatchAnswer> =
            serde_json::from_slice(line).map_err(|error| StoreError::Answer(error.to_string()))?;
        let Some(answer) = element.result else {
            return Err(StoreError::Answer(element.error.unwrap_or_default().to_string()));
        };
        if answer.compact_revision > 0 {
            return Err(StoreError::Compacted(answer.compact_revision));
        }
        if answer.canceled {
            return Err(StoreError::Lost("watch canceled by the store".to_owned()));
        }
        self.revision = self.revision.max(answer.header.revision);
        answer
            .events
            .into_iter()
            .map(|event| {
                let stored = Stored::try_from(event.kv)?;
                Ok(match event.kind {
                    EventKind::Put => WatchEvent::Put(stored),
                    EventKind::Delete => WatchEvent::Delete(stored.key),
                })
            })
            .collect()
    }
}
