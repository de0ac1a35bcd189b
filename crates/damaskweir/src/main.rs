//! Serving system for multi-stage model pipelines.

fn main() {}
