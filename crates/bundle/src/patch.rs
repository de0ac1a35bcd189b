//! Patches between two versions of a section.
//!
//! The entries of a section are sorted, so a change of one workspace changes one range of bytes.
//! The patched section is checked against its digest, so a wrong patch only makes the pull fail.

use bytes::Bytes;
use damaskweir_core::value;

value! {
    /// Replaces one range of bytes of a base section.
    pub struct Patch {
        /// Number of bytes kept at the start of the base.
        #[serde(rename = "head")]
        prefix_len: u32,
        /// Number of bytes kept at the end of the base.
        #[serde(rename = "tail")]
        suffix_len: u32,
        /// Bytes placed between the two kept ranges.
        #[serde(rename = "middle")]
        replacement: Bytes,
    }
}

impl Patch {
    /// Computes the patch that turns `base` into `target`.
    pub fn new(base: &[u8], target: &[u8]) -> Self {
        let prefix_len = base.iter().zip(target).take_while(|(a, b)| a == b).count();
        let suffixes = base[prefix_len..].iter().rev().zip(target[prefix_len..].iter().rev());
        let suffix_len = suffixes.take_while(|(a, b)| a == b).count();
        let replacement = Bytes::copy_from_slice(&target[prefix_len..target.len() - suffix_len]);
        Self { prefix_len: prefix_len as u32, suffix_len: suffix_len as u32, replacement }
    }

    /// Applies the patch. Returns `None` if it does not fit the base or the result exceeds
    /// [`SECTION_MAX_BYTES`](crate::SECTION_MAX_BYTES).
    pub fn apply(&self, base: &[u8]) -> Option<Bytes> {
        let (prefix_len, suffix_len) = (self.prefix_len as usize, self.suffix_len as usize);
        let kept = prefix_len.checked_add(suffix_len)?;
        let length = kept.checked_add(self.replacement.len())?;
        if kept > base.len() || length > crate::SECTION_MAX_BYTES {
            return None;
        }
        let mut result = Vec::with_capacity(length);
        result.extend_from_slice(&base[..prefix_len]);
        result.extend_from_slice(&self.replacement);
        result.extend_from_slice(&base[base.len() - suffix_len..]);
        Some(result.into())
    }

    /// Decodes a patch received from a peer.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Encodes the patch for a peer.
    pub fn encode(&self) -> Bytes {
        postcard::to_allocvec(self).unwrap_or_default().into()
    }
}
