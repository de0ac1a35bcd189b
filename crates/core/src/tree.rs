//! Tree along which entries relay the store's data to each other.
//!
//! Three entries read the store, and every entry has a bounded number of children, so the load of one
//! entry does not depend on the size of the fleet. All entries compute the same tree from the same
//! list. While their lists differ the trees may differ too, so relayed data carries its age.

use crate::owner::EntryInfo;
use crate::time::Span;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of entries that read the store on behalf of all. Two of them may fail at once.
const READERS_MAX: usize = 3;
/// Maximum number of entries with the same first parent.
const CHILDREN_MAX: usize = 12;
/// How long a starting entry waits for other entries to relay the store's data: a fixed part, one for each
/// listed entry, and the maximum. The store can't serve all entries of a large fleet at once; with a small fleet
/// that starts together, reading is faster than waiting.
const START_RELAY_WAIT: (Span, Span, Span) =
    (Span::from_millis(100), Span::from_millis(4), Span::from_millis(1_700));

/// Whether an entry reads the store itself. The others ask their parents, because calls to the store
/// are billed and its rate limits grow more slowly than the number of entries.
pub fn reads_store(entries: &[EntryInfo], own: &str) -> bool {
    entries.is_empty() || readers(entries).any(|entry| entry.name == own)
}

/// The entries that read the store on behalf of all.
pub fn readers(entries: &[EntryInfo]) -> impl Iterator<Item = &EntryInfo> {
    by_power(entries).into_iter().take(READERS_MAX)
}

/// The entries that `own` may ask, in order of preference: its parent, the parent's two siblings, and
/// the entries that read the store.
pub fn parents<'a>(entries: &'a [EntryInfo], own: &str) -> Vec<&'a EntryInfo> {
    let ranked = by_power(entries);
    let at = ranked.iter().position(|entry| entry.name == own).unwrap_or(ranked.len());
    let first = at.saturating_sub(READERS_MAX) / CHILDREN_MAX;
    // Only entries that rank before this one are asked, which rules out cycles.
    let siblings = (0..READERS_MAX)
        .map(|i| first.saturating_sub(first % READERS_MAX) + (first + i) % READERS_MAX);
    let roots = (0..READERS_MAX).map(|i| (at + i) % READERS_MAX);
    let mut out: Vec<&EntryInfo> = Vec::new();
    for i in siblings.chain(roots).filter(|i| *i < at) {
        if let Some(entry) = ranked.get(i).filter(|e| !out.iter().any(|o| o.name == e.name)) {
            out.push(entry);
        }
    }
    out
}

/// Time after its start in which an entry waits for other entries to relay the store's data before it reads the
/// store itself, by the number of listed entries. For fleets of 4 to 300 entries.
pub fn start_relay_wait(entries: usize) -> Span {
    let (fixed, per_entry, max) = START_RELAY_WAIT;
    match entries {
        // The size of the fleet is not known yet.
        0 => max,
        count => (fixed + per_entry * count as u64).min(max),
    }
}

/// Sorts entries by descending power, because the first entries answer the most requests. The hash of
/// the name breaks ties.
fn by_power(entries: &[EntryInfo]) -> Vec<&EntryInfo> {
    let mut ranked: Vec<_> = entries.iter().collect();
    ranked.sort_by_key(|entry| (Reverse(entry.power), xxh3_64(entry.name.as_bytes())));
    ranked
}
