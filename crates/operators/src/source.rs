//! Loads bundles from the store.

use crate::layout::{MANIFEST_KEY, audit_key, section_key};
use bytes::Bytes;
use damaskweir_bundle::{Content, ContentError, Index, ManifestError, Record, digest};
use damaskweir_core::prelude::*;
use damaskweir_store::{Client, KeyValue, StoreError};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Error of loading data from the store.
#[derive(Clone, Debug, Error)]
pub enum LoadError {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record is invalid.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// The sections don't form a valid bundle.
    #[error(transparent)]
    Content(#[from] ContentError),
    /// A section is missing or does not match its digest.
    #[error("section {0} is missing from the store or damaged")]
    InvalidSection(Digest),
    /// The version does not exist.
    #[error("there is no version {0}")]
    UnknownVersion(Version),
}

/// Record in force, with its revision in the store.
#[derive(Clone, Debug)]
pub struct CurrentRecord {
    /// Signed record.
    pub record: Record,
    /// Store revision of the manifest key.
    pub revision: u64,
}

/// Loads the record in force; `None` if no bundle was ever accepted.
pub async fn load_current(client: &Client) -> Result<Option<CurrentRecord>, LoadError> {
    let Some(stored) = client.get(MANIFEST_KEY).await? else { return Ok(None) };
    let record = Record::decode(&stored.value.into())?;
    Ok(Some(CurrentRecord { record, revision: stored.revision }))
}

/// Loads the audit record of a version.
pub async fn load_record(client: &Client, version: Version) -> Result<Record, LoadError> {
    let stored = client.get(&audit_key(version)).await?;
    let stored = stored.ok_or(LoadError::UnknownVersion(version))?;
    Ok(Record::decode(&stored.value.into())?)
}

/// Loads sections or indexes and verifies their digests.
pub async fn load_sections(
    client: &Client,
    digests: &[Digest],
) -> Result<BTreeMap<Digest, Bytes>, LoadError> {
    let keys: Vec<String> = digests.iter().map(section_key).collect();
    let found = client.get_many(&keys).await?;
    digests.iter().zip(found).map(|(expected, found)| verify_section(*expected, found)).collect()
}

fn verify_section(expected: Digest, found: Option<KeyValue>) -> Result<(Digest, Bytes), LoadError> {
    let bytes = Bytes::from(found.ok_or(LoadError::InvalidSection(expected))?.value);
    if digest(&bytes) == expected {
        Ok((expected, bytes))
    } else {
        Err(LoadError::InvalidSection(expected))
    }
}

/// Loads the content that a record refers to and assembles its bundle.
pub async fn load_content(
    client: &Client,
    record: &Record,
) -> Result<(Content, Arc<Bundle>), LoadError> {
    let manifest = record.manifest();
    let mut found = load_sections(client, &[manifest.content]).await?;
    let index_bytes =
        found.remove(&manifest.content).ok_or(LoadError::InvalidSection(manifest.content))?;
    let index = Index::decode(&index_bytes)?;
    let mut digests: Vec<Digest> = index.digests().map(|(_, digest)| digest).collect();
    digests.sort();
    digests.dedup();
    let sections = load_sections(client, &digests).await?;
    let bundle = Content::join(manifest.version, &index, |address| sections.get(address).cloned())?;
    Ok((Content { index, index_bytes, sections }, Arc::new(bundle)))
}
