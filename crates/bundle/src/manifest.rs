//! Signed manifests. The bytes of a signed manifest are also the audit record of its version.

use crate::key::{PublicKey, SecretKey};
use crate::section::digest;
use bytes::Bytes;
use damaskweir_core::prelude::*;
use std::collections::BTreeSet;
use thiserror::Error;

/// Format version of a record, its first byte.
const FORMAT_VERSION: u8 = 1;
/// Prefix of the message that a manifest's signature covers. Domain separation keeps signatures
/// made for other purposes from being valid for a manifest.
const MANIFEST_DOMAIN: &[u8] = b"damaskweir manifest 1\0";
/// Prefix of the message that a key change's signature covers.
const KEY_CHANGE_DOMAIN: &[u8] = b"damaskweir operators 1\0";
/// Length of an Ed25519 signature, in bytes.
const SIGNATURE_BYTES: usize = 64;
/// Maximum size of a record that is decoded, in bytes. `KEY_CHANGES_MAX` key changes take about
/// half of it.
const RECORD_MAX_BYTES: usize = 64 << 10;
/// Maximum length of a reason, in bytes.
const REASON_MAX_BYTES: usize = 1_000;
/// Maximum number of key changes in a manifest. A node that missed more of them needs new keys in
/// its settings.
const KEY_CHANGES_MAX: usize = 32;

value! {
    /// Action of an operator that creates a version.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// Approval of a bundle file.
        Approve,
        /// Restoration of the content of this version, except for the operators' keys.
        Rollback(Version),
    }

    /// A change of the operators' keys, signed by a key that was trusted before the change.
    #[serde(deny_unknown_fields)]
    pub struct KeyChange {
        /// Version that made the change; the new keys sign the versions after it.
        pub version: Version,
        /// All trusted keys after the change.
        pub keys: BTreeSet<[u8; 32]>,
        /// Public key of the signer.
        pub signer: [u8; 32],
        /// Signature of the version and the keys.
        pub signature: Bytes,
    }

    /// Binds the content of a bundle to a version.
    #[serde(deny_unknown_fields)]
    pub struct Manifest {
        /// Version of the bundle: `from` plus one.
        pub version: Version,
        /// Version that it replaces; zero for the first bundle.
        pub from: Version,
        /// Action that created the version.
        pub action: Action,
        /// Name of the operator, from the bundle that is replaced.
        pub author: String,
        /// Unix time in seconds, by the operator's clock.
        pub at: u64,
        /// Reason given by the operator.
        pub reason: String,
        /// Digest of the section index.
        pub content: Digest,
        /// Digest of the previous record; all zeros in the first one.
        pub previous: Digest,
        /// Public key of the signer.
        pub signer: [u8; 32],
        /// Key changes up to this version, oldest first.
        #[serde(rename = "lineage")]
        pub key_changes: Vec<KeyChange>,
    }
}

/// Reason why a record is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ManifestError {
    /// The bytes are not a valid record.
    #[error("manifest can't be read")]
    Malformed,
    /// The signature does not match the manifest.
    #[error("invalid signature on the manifest of version {0}")]
    InvalidSignature(Version),
    /// The signer's key is not trusted.
    #[error("manifest of version {version} is signed by an untrusted key: {signer}")]
    UntrustedSigner {
        /// Version of the manifest.
        version: Version,
        /// Public key of the signer.
        signer: PublicKey,
    },
    /// The reason is empty or too long.
    #[error("reason has {0} bytes; expected 1 to {REASON_MAX_BYTES}")]
    ReasonLength(usize),
}

/// A manifest and its signature, in the form in which they are stored and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    manifest: Manifest,
    bytes: Bytes,
}

impl KeyChange {
    /// Creates a key change signed by `key`.
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
    /// Signs a manifest. Drops the oldest key changes beyond the maximum number.
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

    /// Decodes a record and verifies its signature. Whether the signer is trusted is checked by
    /// [`TrustedKeys::verify`].
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

    /// Returns the manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the encoded record, as stored and sent.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the digest that identifies the record and that the next record refers to.
    pub fn digest(&self) -> Digest {
        digest(&self.bytes)
    }
}

/// Keys that can sign the versions after a given one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrustedKeys {
    version: Version,
    keys: BTreeSet<[u8; 32]>,
}

impl TrustedKeys {
    /// Returns the keys from the settings, for a node without a bundle.
    pub fn from_settings(keys: impl IntoIterator<Item = PublicKey>) -> Self {
        Self { version: Version::default(), keys: keys.into_iter().map(|key| key.0).collect() }
    }

    /// Returns the operators' keys of an installed bundle.
    pub fn from_bundle(bundle: &Bundle) -> Self {
        let keys = bundle.operators.values().map(|operator| operator.key).collect();
        Self { version: bundle.version, keys }
    }

    /// Returns whether a key is trusted.
    pub fn contains(&self, key: &PublicKey) -> bool {
        self.keys.contains(&key.0)
    }

    /// Checks that a trusted key signed a record. The node may have missed versions that changed
    /// the keys, so this first applies the valid key changes listed in the manifest.
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
