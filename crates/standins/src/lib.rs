//! Small stand-ins of the external peers for the demo and for tests. They listen on loopback only and
//! speak the peers' published protocols.

mod runs;

pub mod engine;
pub mod service;
pub mod store;

pub use runs::Runs;
