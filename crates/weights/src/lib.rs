//! Client of the weight store.
