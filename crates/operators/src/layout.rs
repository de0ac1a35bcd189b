//! Keys in the store.

use damaskweir_core::ids::{Digest, Version};

/// The record of the version in force.
pub const MANIFEST_KEY: &str = "/damaskweir/manifest";
/// Sections and indexes by digest.
pub const SECTION_PREFIX: &str = "/damaskweir/section/";
/// What each entry and its sides have in force, by zone and entry. The records end with their entries,
/// so the names of a zone are also the entries that live there.
pub const STATUS_PREFIX: &str = "/damaskweir/status/";
/// End of the range from [`MANIFEST_KEY`] that watchers watch: the manifest and all sections, since
/// sections are written before the manifest that names them.
pub const WATCH_RANGE_END: &str = "/damaskweir/section0";

/// Key of a section or index.
pub fn section_key(digest: &Digest) -> String {
    format!("{SECTION_PREFIX}{digest}")
}

/// Key of an audit record. Keys sort by version.
pub fn audit_key(version: Version) -> String {
    format!("/damaskweir/audit/{:020}", version.0)
}

/// Key of the status record of an entry.
pub fn status_key(zone: &str, entry: &str) -> String {
    format!("{STATUS_PREFIX}{zone}/{entry}")
}
