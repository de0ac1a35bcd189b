//! Audit trail: one record per version, linked to the previous one by its digest.

use crate::layout::audit_key;
use crate::source::{LoadError, load_current};
use damaskweir_bundle::{Action, Record};
use damaskweir_core::prelude::*;
use damaskweir_store::Client;
use std::fmt;

/// Number of records that are read in one call to the store.
const PAGE_RECORDS: usize = 64;

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditEntry {
    /// Signed record of the version.
    pub record: Record,
}

/// Integrity error in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditError {
    /// A record is missing.
    Missing(Version),
    /// A record can't be decoded or its signature is invalid.
    Invalid(Version, String),
    /// A record does not contain the digest of the previous one, or its version numbers are wrong.
    BrokenChain(Version),
    /// The manifest in force differs from the record of its version.
    ManifestMismatch(Version),
}

/// Part of the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Records, oldest first.
    pub entries: Vec<AuditEntry>,
    /// Integrity errors; empty if each record is linked to the previous one.
    pub errors: Vec<AuditError>,
}

impl fmt::Display for AuditEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let manifest = self.record.manifest();
        let action = match manifest.action {
            Action::Approve => "approve".to_owned(),
            Action::Rollback(version) => format!("rollback to {version}"),
        };
        write!(
            f,
            "version {} from {} at {} by {}: {action}; content {}; record {}; reason: {}",
            manifest.version,
            manifest.from,
            UtcTime(manifest.at),
            manifest.author,
            manifest.content,
            self.record.digest(),
            manifest.reason.escape_debug(),
        )
    }
}

impl fmt::Display for AuditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(version) => write!(f, "the record of version {version} is missing"),
            Self::Invalid(version, text) => {
                write!(f, "the record of version {version} is invalid: {text}")
            }
            Self::BrokenChain(version) => {
                write!(f, "the record of version {version} does not match the previous record")
            }
            Self::ManifestMismatch(version) => {
                write!(f, "the manifest in force differs from the record of version {version}")
            }
        }
    }
}

/// Formats seconds since the Unix epoch as date and time in UTC.
struct UtcTime(u64);

impl fmt::Display for UtcTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (days, seconds) = (self.0 / 86_400, self.0 % 86_400);
        // Converts days to a civil date. Years start in March, so that the leap day is the last day
        // of a year.
        let days = days + 719_468;
        let (era, day) = (days / 146_097, days % 146_097);
        let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
        let day = day - (365 * year + year / 4 - year / 100);
        let month = (5 * day + 2) / 153;
        let day = day - (153 * month + 2) / 5 + 1;
        let month = if month < 10 { month + 3 } else { month - 9 };
        let year = era * 400 + year + u64::from(month <= 2);
        let (hour, minute) = (seconds / 3_600, seconds / 60 % 60);
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z", seconds % 60)
    }
}

/// Loads the `last` records of the audit trail, or all of them, and checks that each is linked to
/// the previous one and that the newest is in force.
pub async fn load_history(client: &Client, last: Option<u64>) -> Result<History, LoadError> {
    let Some(current) = load_current(client).await? else { return Ok(History::default()) };
    let newest = current.record.manifest().version.0;
    let oldest = last.map_or(1, |last| newest.saturating_sub(last.max(1) - 1).max(1));
    // The record before the first one shown is read too, so that the link between them is checked.
    let start = oldest.saturating_sub(1).max(1);
    let versions: Vec<Version> = (start..=newest).map(Version).collect();
    let mut history = History::default();
    let mut previous: Option<Record> = None;
    for page in versions.chunks(PAGE_RECORDS) {
        let keys: Vec<String> = page.iter().map(|version| audit_key(*version)).collect();
        let found = client.get_many(&keys).await?;
        for (version, stored) in page.iter().zip(found) {
            let record = stored.map(|stored| Record::decode(&stored.value.into()));
            let record = match record {
                None => {
                    history.errors.push(AuditError::Missing(*version));
                    previous = None;
                    continue;
                }
                Some(Err(error)) => {
                    history.errors.push(AuditError::Invalid(*version, error.to_string()));
                    previous = None;
                    continue;
                }
                Some(Ok(record)) => record,
            };
            if !continues_chain(&record, *version, previous.as_ref(), start) {
                history.errors.push(AuditError::BrokenChain(*version));
            }
            previous = Some(record.clone());
            if version.0 >= oldest {
                history.entries.push(AuditEntry { record });
            }
        }
    }
    if previous.is_some_and(|last| last.digest() != current.record.digest()) {
        history.errors.push(AuditError::ManifestMismatch(Version(newest)));
    }
    Ok(history)
}

fn continues_chain(
    record: &Record,
    version: Version,
    previous: Option<&Record>,
    start: u64,
) -> bool {
    let manifest = record.manifest();
    let chained = match previous {
        Some(previous) => manifest.previous == previous.digest(),
        None if version.0 == 1 => manifest.previous == Digest([0; 32]),
        // The first record that was read, or one after an error that was already reported.
        None => version.0 >= start,
    };
    chained && manifest.version == version && manifest.from.0 + 1 == version.0
}
