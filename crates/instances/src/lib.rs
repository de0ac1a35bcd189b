//! Client for the platform's instance list.
//!
//! The list is `GET /instances`: JSON with a `revision` that increases with each change and
//! `instances` with `id`, `zone`, `address` and `state` (`live` or `leaving`). The list is eventually
//! consistent and its replicas may lag differently, so it is only a hint: an instance that is missing
//! from it may still be running.

mod client;
mod list;

pub use client::{InstancesClient, InstancesError, InstancesSettings};
pub use list::{Change, Instance, InstanceList, InstanceState, diff};
