//! Small stand-ins of the external peers for the demo and for tests. They listen on loopback only and
//! speak the peers' published protocols.

mod runs;
mod socket;

pub mod engine;
pub mod instances;
pub mod service;
pub mod store;
pub mod weights;

pub use runs::Runs;
