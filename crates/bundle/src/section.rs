//! Sections of a bundle and their digests.

use bytes::Bytes;
use damaskweir_core::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// Number of hash buckets for workspaces. Each bucket is a section.
const BUCKET_COUNT: usize = 64;
/// Number of sections in a bundle.
pub const SECTION_COUNT: usize = 3 + BUCKET_COUNT;
/// Format version of a section, its first byte.
const FORMAT_VERSION: u8 = 1;

/// Returns the SHA-256 digest of `bytes`.
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}

/// Name of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SectionName {
    /// Pipelines and their stages.
    Pipelines,
    /// Pools and their servers.
    Pools,
    /// Keys of the operators.
    Operators,
    /// The workspaces of one hash bucket.
    Workspaces(u8),
}

impl SectionName {
    fn from_slot(slot: usize) -> Self {
        match slot {
            0 => Self::Pipelines,
            1 => Self::Pools,
            2 => Self::Operators,
            _ => Self::Workspaces((slot - 3) as u8),
        }
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pipelines => f.write_str("pipelines"),
            Self::Pools => f.write_str("pools"),
            Self::Operators => f.write_str("operators"),
            Self::Workspaces(bucket) => write!(f, "workspaces {bucket}"),
        }
    }
}

/// Error in splitting a bundle into sections or joining it from them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ContentError {
    /// A section is missing or can't be decoded.
    #[error("section {0} is missing or malformed")]
    MalformedSection(String),
    /// A section exceeds the maximum size; holds its name and size in bytes.
    #[error("section {0} has {1} bytes; expected at most {max}", max = crate::SECTION_MAX_BYTES)]
    SectionTooLarge(String, usize),
    /// The index does not have the expected length; holds its length in bytes.
    #[error("section index has {0} bytes; expected {bytes}", bytes = SECTION_COUNT * 32)]
    IndexLength(usize),
}

/// Digests of all sections, in the fixed order of their slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Index(pub(crate) Vec<Digest>);

impl Index {
    /// Decodes an index.
    pub fn decode(bytes: &[u8]) -> Result<Self, ContentError> {
        if bytes.len() != SECTION_COUNT * 32 {
            return Err(ContentError::IndexLength(bytes.len()));
        }
        let digests = bytes.chunks_exact(32).map(|chunk| {
            let mut digest = [0; 32];
            digest.copy_from_slice(chunk);
            Digest(digest)
        });
        Ok(Self(digests.collect()))
    }

    fn encode(&self) -> Bytes {
        self.0.iter().flat_map(|digest| digest.0).collect()
    }

    /// Returns the name and digest of each section.
    pub fn digests(&self) -> impl Iterator<Item = (SectionName, Digest)> + '_ {
        self.0.iter().enumerate().map(|(slot, digest)| (SectionName::from_slot(slot), *digest))
    }
}

/// A bundle encoded as content-addressed sections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    /// Digests of the sections.
    pub index: Index,
    /// Encoded index. Like a section, it is addressed by its digest.
    pub index_bytes: Bytes,
    /// Encoded sections by digest. Identical sections are stored once.
    pub sections: BTreeMap<Digest, Bytes>,
}

impl Content {
    /// Encodes a bundle and splits it into sections.
    pub fn split(bundle: &Bundle) -> Result<Self, ContentError> {
        let mut digests = Vec::new();
        let mut sections = BTreeMap::new();
        for (slot, part) in encode_parts(bundle).into_iter().enumerate() {
            if part.len() > crate::SECTION_MAX_BYTES {
                return Err(ContentError::SectionTooLarge(
                    SectionName::from_slot(slot).to_string(),
                    part.len(),
                ));
            }
            let address = digest(&part);
            digests.push(address);
            sections.insert(address, part);
        }
        let index = Index(digests);
        let index_bytes = index.encode();
        Ok(Self { index, index_bytes, sections })
    }

    /// Decodes a bundle from the sections of an index. Fails if one is missing or malformed; that
    /// they match their digests is for the caller to check.
    pub fn join(
        version: Version,
        index: &Index,
        section: impl Fn(&Digest) -> Option<Bytes>,
    ) -> Result<Bundle, ContentError> {
        let read = |slot: usize| {
            let name = SectionName::from_slot(slot).to_string();
            index.0.get(slot).and_then(&section).ok_or(ContentError::MalformedSection(name))
        };
        let mut workspaces = BTreeMap::new();
        for slot in 3..SECTION_COUNT {
            let part: BTreeMap<WorkspaceId, Workspace> = decode_section(slot, &read(slot)?)?;
            workspaces.extend(part);
        }
        Ok(Bundle {
            version,
            pipelines: decode_section(0, &read(0)?)?,
            pools: decode_section(1, &read(1)?)?,
            operators: decode_section(2, &read(2)?)?,
            workspaces,
        })
    }

    /// Returns the digest of the index, which identifies the whole content.
    pub fn digest(&self) -> Digest {
        digest(&self.index_bytes)
    }

    /// Returns the total size of the index and the sections in bytes.
    pub fn total_bytes(&self) -> usize {
        self.index_bytes.len() + self.sections.values().map(Bytes::len).sum::<usize>()
    }
}

fn bucket_of(workspace: &WorkspaceId) -> usize {
    usize::from(digest(workspace.as_str().as_bytes()).0[0]) % BUCKET_COUNT
}

fn split_buckets(
    workspaces: &BTreeMap<WorkspaceId, Workspace>,
) -> Vec<BTreeMap<&WorkspaceId, &Workspace>> {
    let mut buckets = vec![BTreeMap::new(); BUCKET_COUNT];
    for (id, workspace) in workspaces {
        buckets[bucket_of(id)].insert(id, workspace);
    }
    buckets
}

fn encode_parts(bundle: &Bundle) -> Vec<Bytes> {
    let mut parts = vec![
        encode_section(&bundle.pipelines),
        encode_section(&bundle.pools),
        encode_section(&bundle.operators),
    ];
    parts.extend(split_buckets(&bundle.workspaces).iter().map(encode_section));
    parts
}

/// Returns an error for each section that exceeds the maximum size.
pub(crate) fn oversize_sections(bundle: &Bundle) -> Vec<ContentError> {
    let parts = encode_parts(bundle).into_iter().enumerate();
    parts
        .filter(|(_, part)| part.len() > crate::SECTION_MAX_BYTES)
        .map(|(slot, part)| {
            ContentError::SectionTooLarge(SectionName::from_slot(slot).to_string(), part.len())
        })
        .collect()
}

fn encode_section(part: &impl Serialize) -> Bytes {
    postcard::to_extend(part, vec![FORMAT_VERSION]).unwrap_or_default().into()
}

fn decode_section<T: DeserializeOwned>(slot: usize, bytes: &[u8]) -> Result<T, ContentError> {
    let error = || ContentError::MalformedSection(SectionName::from_slot(slot).to_string());
    match bytes.split_first() {
        Some((&FORMAT_VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((part, [])) => Ok(part),
            _ => Err(error()),
        },
        _ => Err(error()),
    }
}
