use crate::file::file_sections;
use damaskweir_core::prelude::*;
use std::collections::BTreeSet;
use std::fmt;

/// One difference between two bundles, in terms of the bundle file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A section that only the second bundle has.
    Added(String),
    /// A section that only the first bundle has.
    Removed(String),
    /// A key whose value differs.
    Changed {
        /// Header of the section.
        section: String,
        /// Name of the key.
        key: &'static str,
        /// Value in the first bundle.
        before: String,
        /// Value in the second bundle.
        after: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(section) => write!(f, "+ [{section}]"),
            Self::Removed(section) => write!(f, "- [{section}]"),
            Self::Changed { section, key, before, after } => {
                write!(f, "~ [{section}] {key}: {before} -> {after}")
            }
        }
    }
}

/// Returns all differences between two bundles; their versions are ignored.
pub fn diff(before: &Bundle, after: &Bundle) -> Vec<Change> {
    let (before, after) = (file_sections(before), file_sections(after));
    let sections: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for section in sections {
        match (before.get(section), after.get(section)) {
            (None, _) => changes.push(Change::Added(section.clone())),
            (_, None) => changes.push(Change::Removed(section.clone())),
            (Some(old), Some(new)) => {
                // Sections with the same header have the same keys, so the values pair up.
                for ((key, before), after) in old.iter().zip(new.values()) {
                    if before != after {
                        changes.push(Change::Changed {
                            section: section.clone(),
                            key,
                            before: before.clone(),
                            after: after.clone(),
                        });
                    }
                }
            }
        }
    }
    changes
}
