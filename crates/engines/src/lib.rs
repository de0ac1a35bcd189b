//! Client of model engines.
