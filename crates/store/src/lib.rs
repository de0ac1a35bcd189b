//! Client of the platform key-value service.
