//! Stand-ins for external services, used by the demo and by tests. They listen on loopback only and
//! implement the published protocols of these services.

mod runs;
mod socket;

pub mod engine;
pub mod instances;
pub mod service;
pub mod store;
pub mod weights;

pub use runs::Runs;
