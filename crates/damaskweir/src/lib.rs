//! Library of the `damaskweir` binary: the entry and sidecar daemons and the subcommands.

mod attempts;
pub mod command;
pub mod demo;
pub mod entry;
mod links;
pub mod load;
pub mod logs;
pub mod metrics;
pub mod order;
pub mod platform;
mod requests;
pub mod settings;
pub mod side;
pub mod spread;
