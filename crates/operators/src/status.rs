//! Versions in force at the entries and sides.

use crate::layout::STATUS_PREFIX;
use crate::report::StatusRecord;
use crate::source::{CurrentRecord, LoadError, load_content, load_current};
use damaskweir_core::prelude::*;
use damaskweir_store::Client;
use std::collections::BTreeMap;
use std::fmt;

/// Whether a process has the accepted version, according to the status records in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// The process has the accepted version.
    Current,
    /// The process has this older version.
    Behind(Version),
    /// No live entry reports the process.
    Unreported,
}

/// Versions in force at all entries and sides.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Accepted record; `None` if no bundle was ever accepted.
    pub current: Option<CurrentRecord>,
    /// State of the live entries by name. The records of stopped entries are removed when their
    /// leases expire.
    pub entries: BTreeMap<String, SyncState>,
    /// State of the sides of all servers in the accepted bundle, by server id.
    pub sides: BTreeMap<String, SyncState>,
    /// Keys of status records that can't be decoded.
    pub unreadable: Vec<String>,
}

impl Status {
    /// Returns the number of entries and sides that don't report the accepted version.
    pub fn out_of_date(&self) -> usize {
        let all = self.entries.values().chain(self.sides.values());
        all.filter(|state| **state != SyncState::Current).count()
    }
}

/// Loads the versions in force at all entries and sides.
pub async fn load_status(client: &Client) -> Result<Status, LoadError> {
    let Some(current) = load_current(client).await? else { return Ok(Status::default()) };
    let version = current.record.manifest().version;
    let (_, bundle) = load_content(client, &current.record).await?;
    let mut status = Status { current: Some(current), ..Status::default() };
    let mut reported: BTreeMap<String, u64> = BTreeMap::new();
    for stored in client.list(STATUS_PREFIX).await? {
        let Ok(record) = serde_json::from_slice::<StatusRecord>(&stored.value) else {
            status.unreadable.push(stored.key);
            continue;
        };
        status.entries.insert(record.entry, sync_state(version, record.version));
        for side in record.sides {
            // Several entries may report the same side; the highest version counts.
            let known = reported.entry(side.0).or_default();
            *known = side.1.max(*known);
        }
    }
    let servers = bundle.pools.values().flat_map(|pool| &pool.servers);
    for server in servers {
        let seen = reported.get(server.id.as_str());
        let state = seen.map_or(SyncState::Unreported, |seen| sync_state(version, *seen));
        status.sides.insert(server.id.to_string(), state);
    }
    Ok(status)
}

fn sync_state(accepted: Version, reported: u64) -> SyncState {
    if reported >= accepted.0 { SyncState::Current } else { SyncState::Behind(Version(reported)) }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(current) = &self.current else {
            return writeln!(f, "no bundle was ever accepted");
        };
        let manifest = current.record.manifest();
        writeln!(
            f,
            "accepted: version {} by {}; record {}",
            manifest.version,
            manifest.author,
            current.record.digest()
        )?;
        write_group(f, "entries", &self.entries)?;
        write_group(f, "sides", &self.sides)?;
        for key in &self.unreadable {
            writeln!(f, "unreadable: {key}")?;
        }
        Ok(())
    }
}

fn write_group(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    group: &BTreeMap<String, SyncState>,
) -> fmt::Result {
    let current = group.values().filter(|state| **state == SyncState::Current).count();
    writeln!(f, "{name}: {current} of {} have it in force", group.len())?;
    for (id, state) in group {
        match state {
            SyncState::Current => {}
            SyncState::Behind(version) => writeln!(f, "  {id}: version {version}")?,
            SyncState::Unreported => writeln!(f, "  {id}: not reported by any entry")?,
        }
    }
    Ok(())
}
