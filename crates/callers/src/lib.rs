//! HTTP API for callers.
