//! Client for the weight store.
//!
//! Engines read the weights themselves. A side only checks with `GET /weights/<model>/<version>` that a
//! version exists before it orders an engine to load it. The weight store limits its rate with status
//! 429, and the client sends no requests until the delay given by `Retry-After` has passed.

mod client;

pub use client::{WeightsClient, WeightsError, WeightsInfo, WeightsSettings};
