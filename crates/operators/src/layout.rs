//! Layout of the keys in the store.

use damaskweir_core::ids::{Digest, Version};

/// Key of the record of the version in force.
pub const MANIFEST_KEY: &str = "/damaskweir/manifest";
/// Prefix of the keys of sections and indexes; the digest follows.
pub const SECTION_PREFIX: &str = "/damaskweir/section/";
/// Prefix of the status records, by availability zone and entry. Each record expires with its
/// entry, so the keys of an availability zone also list its live entries.
pub const STATUS_PREFIX: &str = "/damaskweir/status/";
/// Exclusive end of the key range to watch, which starts at [`MANIFEST_KEY`] and contains the
/// manifest and all sections, because sections are written before the manifest that refers to them.
pub const WATCH_RANGE_END: &str = "/damaskweir/section0";

/// Returns the key of a section or index.
pub fn section_key(digest: &Digest) -> String {
    format!("{SECTION_PREFIX}{digest}")
}

/// Returns the key of an audit record. Keys sort by version.
pub fn audit_key(version: Version) -> String {
    format!("/damaskweir/audit/{:020}", version.0)
}

/// Returns the key of the status record of an entry.
pub fn status_key(zone: &str, entry: &str) -> String {
    format!("{STATUS_PREFIX}{zone}/{entry}")
}
