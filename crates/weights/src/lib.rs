//! Client of the weight store.
//!
//! Engines read weights themselves; a side only asks whether a version exists before it orders an
//! engine to load it, with `GET /weights/<model>/<version>`. The weight store is rate-limited and
//! answers 429 above its rate, so the client keeps to the delay that the store asks for.

mod client;

pub use client::{WeightsClient, WeightsError, WeightsInfo, WeightsSettings};
