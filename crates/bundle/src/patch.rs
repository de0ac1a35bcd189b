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
        head: u32,
        /// Bytes of the base that stay at the end.
        tail: u32,
        /// What stands between them.
        middle: Bytes,
    }
}

impl Patch {
    /// The difference that makes `target` from `base`.
    pub fn new(base: &[u8], target: &[u8]) -> Self {
        let head = base.iter().zip(target).take_while(|(a, b)| a == b).count();
        let tails = base[head..].iter().rev().zip(target[head..].iter().rev());
        let tail = tails.take_while(|(a, b)| a == b).count();
        let middle = Bytes::copy_from_slice(&target[head..target.len() - tail]);
        Self { head: head as u32, tail: tail as u32, middle }
    }

    /// Applies the difference. `None`: it does not fit the base, or the result is too large.
    pub fn apply(&self, base: &[u8]) -> Option<Bytes> {
        let (head, tail) = (self.head as usize, self.tail as usize);
        let kept = head.checked_add(tail)?;
        let length = kept.checked_add(self.middle.len())?;
        if kept > base.len() || length > crate::SECTION_MAX_BYTES {
            return None;
        }
        let mut result = Vec::with_capacity(length);
        result.extend_from_slice(&base[..head]);
        result.extend_from_slice(&self.middle);
        result.extend_from_slice(&base[base.len() - tail..]);
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
