//! Difference of two versions of a section.
//!
//! Sections are sorted, so a change of one workspace is one changed range of bytes. The result is
//! checked against the section's digest, so a wrong patch costs a pull and nothing else.

use bytes::Bytes;
use damaskweir_core::value;

value! {
    /// Replaces one range of bytes.
    pub struct Patch {
        /// Bytes of the base that stay at the front.
        prefix_len: u32,
        /// Bytes of the base that stay at the end.
        suffix_len: u32,
        /// What stands between them.
        replacement: Bytes,
    }
}

impl Patch {
    /// The difference that makes `target` from `base`.
    pub fn new(base: &[u8], target: &[u8]) -> Self {
        let prefix_len = base.iter().zip(target).take_while(|(a, b)| a == b).count();
        let suffixes = base[prefix_len..].iter().rev().zip(target[prefix_len..].iter().rev());
        let suffix_len = suffixes.take_while(|(a, b)| a == b).count();
        let replacement = Bytes::copy_from_slice(&target[prefix_len..target.len() - suffix_len]);
        Self { prefix_len: prefix_len as u32, suffix_len: suffix_len as u32, replacement }
    }

    /// Applies the difference. `None`: it does not fit the base, or the result is too large.
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

    /// Reads a patch from a peer.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// The form that peers read.
    pub fn encode(&self) -> Bytes {
        postcard::to_allocvec(self).unwrap_or_default().into()
    }
}
