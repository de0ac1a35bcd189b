//! The daemons and commands of damaskweir.

pub mod command;
pub mod demo;
pub mod entry;
pub mod load;
pub mod logs;
pub mod metrics;
pub mod order;
pub mod settings;
pub mod side;
pub mod spread;
