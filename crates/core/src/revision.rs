//! Positions in the history of a store that may return from a copy.
//!
//! When a store returns from a copy it has lost its latest writes, and gives their revisions out again. Its
//! generation rises then, so it orders revisions before their number does.

use crate::value;

value! {
    /// A revision of the store.
    #[derive(Copy, PartialOrd, Ord, Hash, Default)]
    pub struct Revision {
        /// Rises each time the store returns from a copy; 0 if it is unknown.
        pub generation: u64,
        /// Rises with each write of a generation.
        pub number: u64,
    }
}

impl Revision {
    /// Creates a revision.
    pub fn new(generation: u64, number: u64) -> Self {
        Self { generation, number }
    }
}
