//! Streamed completions.

use crate::body::read_events;
use crate::client::{Call, EngineSettings};
use crate::error::EngineError;
use futures::stream::BoxStream;
use futures::{StreamExt, TryStreamExt};
use reqwest::Response;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::fmt;
use std::time::Duration;
use tokio::time::timeout;

/// Data of the event that ends a stream.
const DONE_DATA: &str = "[DONE]";

/// A token of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Position in the whole response, from 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
}

/// A streamed response. Dropping it closes the connection, which makes the engine stop generating.
pub struct Completion {
    events: BoxStream<'static, Result<String, EngineError>>,
    /// Index of the next expected token.
    next_index: u32,
    idle_timeout: Duration,
    /// Whether no event has arrived yet.
    awaits_first: bool,
    ended: bool,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    token_index: Option<u32>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

impl Completion {
    pub(crate) fn new(response: Response, resume_from: u32, idle_timeout: Duration) -> Self {
        let events = read_events(response).map_ok(|event| event.data).boxed();
        Self { events, next_index: resume_from, idle_timeout, awaits_first: true, ended: false }
    }

    /// Returns the next token, or `None` after the last token of a complete response.
    ///
    /// This method is cancel safe: no token is lost when the future is dropped.
    pub async fn next(&mut self) -> Result<Option<Token>, EngineError> {
        while !self.ended {
            let data = self.next_event().await?;
            if data == DONE_DATA {
                self.ended = true;
                break;
            }
            let event: Event = serde_json::from_str(&data).map_err(|error| {
                EngineError::OutcomeUnknown(format!("invalid completion event: {error}"))
            })?;
            if let Some(error) = event.error {
                return Err(EngineError::Failed(error.to_string()));
            }
            let text: String =
                event.choices.into_iter().take(1).map(|choice| choice.text).collect();
            let index = event.token_index.unwrap_or(self.next_index);
            // The final event often has only a finish reason, and a token with a lower index was
            // returned before.
            if text.is_empty() || index < self.next_index {
                continue;
            }
            if index > self.next_index {
                let reason = format!(
                    "token {index} received after token {}",
                    i64::from(self.next_index) - 1
                );
                return Err(EngineError::OutcomeUnknown(reason));
            }
            self.next_index = index + 1;
            return Ok(Some(Token { index, text }));
        }
        Ok(None)
    }

    async fn next_event(&mut self) -> Result<String, EngineError> {
        let event = if self.awaits_first {
            self.events.next().await
        } else {
            timeout(self.idle_timeout, self.events.next()).await.map_err(|_| {
                EngineError::OutcomeUnknown(format!(
                    "no completion event within {} ms",
                    self.idle_timeout.as_millis()
                ))
            })?
        };
        self.awaits_first = false;
        event.unwrap_or_else(|| {
            Err(EngineError::OutcomeUnknown("event stream ended before [DONE]".to_owned()))
        })
    }
}

impl fmt::Debug for Completion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Completion").field("next_index", &self.next_index).finish_non_exhaustive()
    }
}

/// Builds the request body.
pub(crate) fn request_body(call: &Call<'_>, settings: &EngineSettings) -> Value {
    let mut fields = match serde_json::from_slice(call.body) {
        Ok(Value::Object(fields)) if fields.contains_key("prompt") => fields,
        _ => {
            let mut fields = Map::new();
            fields.insert("prompt".to_owned(), json!(String::from_utf8_lossy(call.body)));
            fields
        }
    };
    fields.insert("stream".to_owned(), json!(true));
    // Callers must not set these fields.
    fields.remove("priority");
    fields.remove("resume_from");
    if settings.priority {
        fields.insert("priority".to_owned(), json!(call.priority));
    }
    if call.resume_from > 0 {
        fields.insert("resume_from".to_owned(), json!(call.resume_from));
    }
    Value::Object(fields)
}
