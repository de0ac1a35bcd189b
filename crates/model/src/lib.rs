//! Exhaustive check of the core protocol.
