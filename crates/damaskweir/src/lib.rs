//! The daemons and commands of damaskweir.

pub mod command;
pub mod entry;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod side;
