//! JSON messages of the etcd v3 gateway: keys and values in base64, 64-bit numbers as strings.

use crate::error::StoreError;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Value, json};

/// A key of the store with its value and metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub create_revision: u64,
    /// Revision of the last change.
    pub revision: u64,
    /// Lease whose end deletes the key; zero if it has none.
    pub lease: u64,
}

/// Condition of a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The last change of the key has this revision.
    Revision(String, u64),
}

/// Operation of a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads one key.
    Get(String),
    /// Writes a value to a key, attached to a lease unless the lease is zero.
    Put(String, Vec<u8>, u64),
    /// Deletes a key.
    Delete(String),
}

/// A transaction: executes all of `success` if every condition holds, otherwise all of `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations if all conditions hold.
    pub success: Vec<Op>,
    /// Operations if any condition fails.
    pub failure: Vec<Op>,
}

/// Response to one operation of a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpResponse {
    /// Result of a `Get`; `None` if the key does not exist.
    Got(Option<KeyValue>),
    /// A `Put` or `Delete` was executed.
    Changed,
}

/// Response to a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnResponse {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Revision of the store after the transaction, which is also that of every key it wrote.
    pub revision: u64,
    /// One response for each executed operation, in the same order.
    pub responses: Vec<OpResponse>,
}

/// A lease that was granted or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Identifier of the lease.
    pub id: u64,
    /// Time to live in seconds, as set by the store.
    pub ttl: u64,
}

pub(crate) fn encode_base64(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

fn decode_base64(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD.decode(text).map_err(|error| StoreError::InvalidResponse(error.to_string()))
}

/// Deserializes a 64-bit number from a JSON string or number.
fn deserialize_u64<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    match Value::deserialize(input)? {
        Value::String(text) => text.parse().map_err(D::Error::custom),
        Value::Number(number) => {
            number.as_u64().ok_or_else(|| D::Error::custom("negative or fractional number"))
        }
        other => Err(D::Error::custom(format_args!("expected a number, found {other}"))),
    }
}

/// Header of every response. The revision is that of the store.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    #[serde(deserialize_with = "deserialize_u64")]
    pub(crate) revision: u64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValueJson {
    key: String,
    value: String,
    #[serde(deserialize_with = "deserialize_u64")]
    create_revision: u64,
    #[serde(deserialize_with = "deserialize_u64")]
    mod_revision: u64,
    #[serde(deserialize_with = "deserialize_u64")]
    lease: u64,
}

impl TryFrom<KeyValueJson> for KeyValue {
    type Error = StoreError;

    fn try_from(kv: KeyValueJson) -> Result<Self, StoreError> {
        let key = String::from_utf8(decode_base64(&kv.key)?)
            .map_err(|error| StoreError::InvalidResponse(error.to_string()))?;
        Ok(Self {
            key,
            value: decode_base64(&kv.value)?,
            create_revision: kv.create_revision,
            revision: kv.mod_revision,
            lease: kv.lease,
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValueJson>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutResponse {
    pub(crate) header: Header,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OpResponseJson {
    response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponseJson {
    header: Header,
    succeeded: bool,
    responses: Vec<OpResponseJson>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID", deserialize_with = "deserialize_u64")]
    pub(crate) id: u64,
    #[serde(rename = "TTL", deserialize_with = "deserialize_u64")]
    pub(crate) ttl: u64,
}

/// Message of a streaming response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct StreamMessage<T> {
    pub(crate) result: Option<T>,
    pub(crate) error: Option<Value>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    pub(crate) canceled: bool,
    #[serde(deserialize_with = "deserialize_u64")]
    pub(crate) compact_revision: u64,
    pub(crate) events: Vec<EventJson>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct EventJson {
    #[serde(rename = "type")]
    pub(crate) kind: EventKind,
    pub(crate) kv: KeyValueJson,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    #[default]
    Put,
    Delete,
}

/// Body of a range or watch request. With `range_end`, it covers the keys from `key` to `range_end`,
/// exclusive.
#[derive(Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) keys_only: bool,
}

impl RangeRequest {
    pub(crate) fn key(key: &str) -> Self {
        Self { key: encode_base64(key), range_end: None, keys_only: false }
    }

    pub(crate) fn between(key: &str, end: &str) -> Self {
        Self { key: encode_base64(key), range_end: Some(encode_base64(end)), keys_only: false }
    }

    pub(crate) fn prefix(prefix: &str) -> Self {
        Self {
            key: encode_base64(prefix),
            range_end: Some(encode_base64(prefix_end(prefix))),
            keys_only: false,
        }
    }
}

/// Returns the exclusive end of the range of keys with this prefix.
pub(crate) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // A single zero byte as the end of a range stands for the end of all keys.
    vec![0]
}

pub(crate) fn put_body(key: &str, value: &[u8], lease: u64) -> Value {
    json!({ "key": encode_base64(key), "value": encode_base64(value), "lease": lease.to_string() })
}

pub(crate) fn txn_body(txn: &Txn) -> Value {
    json!({
        "compare": txn.compare.iter().map(compare_body).collect::<Vec<_>>(),
        "success": txn.success.iter().map(op_body).collect::<Vec<_>>(),
        "failure": txn.failure.iter().map(op_body).collect::<Vec<_>>(),
    })
}

fn compare_body(compare: &Compare) -> Value {
    match compare {
        Compare::Absent(key) => json!({
            "key": encode_base64(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0",
        }),
        Compare::Revision(key, revision) => json!({
            "key": encode_base64(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
    }
}

fn op_body(op: &Op) -> Value {
    match op {
        Op::Get(key) => json!({ "request_range": { "key": encode_base64(key) } }),
        Op::Put(key, value, lease) => json!({ "request_put": put_body(key, value, *lease) }),
        Op::Delete(key) => json!({ "request_delete_range": { "key": encode_base64(key) } }),
    }
}

impl TxnResponseJson {
    /// Matches the responses to the operations of the transaction. Fails if their numbers differ.
    pub(crate) fn into_response(self, txn: &Txn) -> Result<TxnResponse, StoreError> {
        let ops = if self.succeeded { &txn.success } else { &txn.failure };
        if ops.len() != self.responses.len() {
            let text = format!("{} responses to {} operations", self.responses.len(), ops.len());
            return Err(StoreError::InvalidResponse(text));
        }
        let responses = ops
            .iter()
            .zip(self.responses)
            .map(|(op, response)| match op {
                Op::Get(_) => {
                    let range = response.response_range.unwrap_or_default();
                    let found = range.kvs.into_iter().next().map(KeyValue::try_from).transpose()?;
                    Ok(OpResponse::Got(found))
                }
                Op::Put(..) | Op::Delete(_) => Ok(OpResponse::Changed),
            })
            .collect::<Result<Vec<_>, StoreError>>()?;
        Ok(TxnResponse { succeeded: self.succeeded, revision: self.header.revision, responses })
    }
}
