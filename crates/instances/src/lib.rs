//! Client of the platform's instance list.
//!
//! The list is `GET /instances`: JSON with a `revision` that increases with each change and
//! `instances` with `id`, `zone`, `address` and `state` (`live` or `leaving`). It lags, and its
//! replicas may lag differently, so it is a hint: an instance that is missing may be alive.

mod client;
mod list;

pub use client::{InstancesClient, InstancesError, InstancesSettings};
pub use list::{Change, Instance, InstanceList, InstanceState, diff};
