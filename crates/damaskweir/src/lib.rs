//! The daemons and commands of damaskweir.

pub mod entry;
pub mod logs;
pub mod metrics;
