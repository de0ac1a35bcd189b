//! Client of the platform instance list.
