use crate::file::file_sections;
use damaskweir_core::prelude::*;
use std::collections::BTreeSet;
use std::fmt;

/// One difference between two bundles, named as in the bundle file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A section stands in the second bundle only.
    Added(String),
    /// A section stands in the first bundle only.
    Removed(String),
    /// A key has another value.
    Changed {
        /// Section.
        section: String,
        /// Key.
        key: &'static str,
        /// Value in the first bundle.
        before: String,
        /// Value in the second.
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

/// All differences between two bundles, but for their versions.
pub fn diff(before: &Bundle, after: &Bundle) -> Vec<Change> {
    let (before, after) = (file_sections(before), file_sections(after));
    let sections: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for section in sections {
        match (before.get(section), after.get(section)) {
            (None, _) => changes.push(Change::Added(section.clone())),
            (_, None) => changes.push(Change::Removed(section.clone())),
            (Some(old), Some(new)) => {
                // Sections of one name have the same keys.
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
