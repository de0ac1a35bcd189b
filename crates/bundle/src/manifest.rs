//! The signed manifest. The same bytes are the audit record of its version.

use crate::key::{PublicKey, SecretKey};
use crate::section::digest;
use bytes::Bytes;
use damaskweir_core::prelude::*;
use std::collections::BTreeSet;
use thiserror::Error;

/// Format of the record.
const FORMAT_VERSION: u8 = 1;
/// First bytes of what a manifest's signature covers, so that no other signature passes for one.
const MANIFEST_DOMAIN: &[u8] = b"damaskweir manifest 1\0";
/// The same for a change of keys.
const KEY_CHANGE_DOMAIN: &[u8] = b"damaskweir operators 1\0";
const SIGNATURE_BYTES: usize = 64;
/// Largest record that is read. A lineage of the full length takes about half of it.
const RECORD_MAX_BYTES: usize = 64 << 10;
/// Longest reason.
const REASON_MAX_BYTES: usize = 1_000;
/// Changes of keys that a manifest carries. A node that was away for more needs new settings.
const KEY_CHANGES_MAX: usize = 32;

value! {
    /// What an operator did.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// Approved a bundle file.
        Approve,
        /// Brought back the content of this version, but for the operators' keys.
        Rollback(Version),
    }

    /// A change of the operators' keys, signed by a key that was accepted before it.
    #[serde(deny_unknown_fields)]
    pub struct KeyChange {
        /// Version that brought the change; the keys sign the versions after it.
        pub version: Version,
        /// All keys from then on.
        pub keys: BTreeSet<[u8; 32]>,
        /// Key that signed.
        pub signer: [u8; 32],
        /// Signature over version and keys.
        pub signature: Bytes,
    }

    /// Binds a content to a version.
    #[serde(deny_unknown_fields)]
    pub struct Manifest {
        /// Version of the bundle; one more than `from`.
        pub version: Version,
        /// Version that it replaces.
        pub from: Version,
        /// What the operator did.
        pub action: Action,
        /// Name of the operator in the bundle that is replaced.
        pub author: String,
        /// Seconds since 1970, by the operator's clock.
        pub at: u64,
        /// The operator's reason.
        pub reason: String,
        /// Digest of the index of sections.
        pub content: Digest,
        /// Digest of the record before; all zeros in the first.
        pub previous: Digest,
        /// Key that signed.
        pub signer: [u8; 32],
        /// Changes of keys up to this version, oldest first.
        #[serde(rename = "lineage")]
        pub key_changes: Vec<KeyChange>,
    }
}

/// Why a record is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ManifestError {
    /// The bytes are no record.
    #[error("manifest can't be read")]
    Malformed,
    /// The signature does not fit the content.
    #[error("manifest of version {0} has a wrong signature")]
    InvalidSignature(Version),
    /// The key that signed is not accepted.
    #[error("manifest of version {version} is signed by a key that is not accepted: {signer}")]
    UntrustedSigner {
        /// Version of the manifest.
        version: Version,
        /// Key that signed it.
        signer: PublicKey,
    },
    /// A field is too long.
    #[error("reason takes {0} bytes; accepted: 1 to {REASON_MAX_BYTES}")]
    ReasonLength(usize),
}

/// A manifest with its signature, as it is stored and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    manifest: Manifest,
    bytes: Bytes,
}

impl KeyChange {
    /// Signs a change of keys.
    pub fn sign(version: Version, keys: BTreeSet<[u8; 32]>, key: &SecretKey) -> Self {
        let signature = key.sign(&key_change_message(version, &keys));
        let signer = key.public_key().0;
        Self { version, keys, signer, signature: Bytes::copy_from_slice(&signature) }
    }

    fn is_valid(&self) -> bool {
        let message = key_change_message(self.version, &self.keys);
        <&[u8; SIGNATURE_BYTES]>::try_from(self.signature.as_ref())
            .is_ok_and(|signature| PublicKey(self.signer).verify(&message, signature))
    }
}

fn key_change_message(version: Version, keys: &BTreeSet<[u8; 32]>) -> Vec<u8> {
    postcard::to_extend(&(version, keys), KEY_CHANGE_DOMAIN.to_vec()).unwrap_or_default()
}

impl Record {
    /// Signs a manifest. The lineage is cut to the length that is carried.
    pub fn sign(mut manifest: Manifest, key: &SecretKey) -> Result<Self, ManifestError> {
        if manifest.reason.is_empty() || manifest.reason.len() > REASON_MAX_BYTES {
            return Err(ManifestError::ReasonLength(manifest.reason.len()));
        }
        manifest.signer = key.public_key().0;
        let excess = manifest.key_changes.len().saturating_sub(KEY_CHANGES_MAX);
        manifest.key_changes.drain(..excess);
        let body = postcard::to_allocvec(&manifest).map_err(|_| ManifestError::Malformed)?;
        let signature = key.sign(&[MANIFEST_DOMAIN, &body].concat());
        let bytes = [&[FORMAT_VERSION], signature.as_slice(), &body].concat().into();
        Ok(Self { manifest, bytes })
    }

    /// Reads a record. The signature fits the content; whether its key is accepted is for [`TrustedKeys`].
    pub fn decode(bytes: &Bytes) -> Result<Self, ManifestError> {
        if bytes.len() > RECORD_MAX_BYTES || bytes.first() != Some(&FORMAT_VERSION) {
            return Err(ManifestError::Malformed);
        }
        let (signature, body) =
            bytes[1..].split_first_chunk::<SIGNATURE_BYTES>().ok_or(ManifestError::Malformed)?;
        let manifest: Manifest = match postcard::take_from_bytes(body) {
            Ok((manifest, [])) => manifest,
            _ => return Err(ManifestError::Malformed),
        };
        let message = [MANIFEST_DOMAIN, body].concat();
        if !PublicKey(manifest.signer).verify(&message, signature) {
            return Err(ManifestError::InvalidSignature(manifest.version));
        }
        Ok(Self { manifest, bytes: bytes.clone() })
    }

    /// The manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// The form that is stored and sent.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Identifies the record, and binds the next one to it.
    pub fn digest(&self) -> Digest {
        digest(&self.bytes)
    }
}

/// Keys that may sign, as of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrustedKeys {
    version: Version,
    keys: BTreeSet<[u8; 32]>,
}

impl TrustedKeys {
    /// Keys from the settings, for a node without a bundle.
    pub fn from_settings(keys: impl IntoIterator<Item = PublicKey>) -> Self {
        Self { version: Version::default(), keys: keys.into_iter().map(|key| key.0).collect() }
    }

    /// Keys of a bundle in force.
    pub fn from_bundle(bundle: &Bundle) -> Self {
        let keys = bundle.operators.values().map(|operator| operator.key).collect();
        Self { version: bundle.version, keys }
    }

    /// Whether a key is accepted.
    pub fn contains(&self, key: &PublicKey) -> bool {
        self.keys.contains(&key.0)
    }

    /// Checks who signed a record. A node may have missed versions that changed the keys, so those
    /// changes are followed from the keys that it knows.
    pub fn verify(&self, record: &Record) -> Result<(), ManifestError> {
        let manifest = record.manifest();
        let mut keys = &self.keys;
        for change in &manifest.key_changes {
            let in_range = change.version > self.version && change.version < manifest.version;
            if in_range && keys.contains(&change.signer) && change.is_valid() {
                keys = &change.keys;
            }
        }
        if keys.contains(&manifest.signer) {
            Ok(())
        } else {
            let signer = PublicKey(manifest.signer);
            Err(ManifestError::UntrustedSigner { version: manifest.version, signer })
        }
    }
}
