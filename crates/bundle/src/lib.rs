//! Bundle file: parse, check, sections, signatures.
