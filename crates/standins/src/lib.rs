//! Small stand-ins of outside peers for demo and tests.
