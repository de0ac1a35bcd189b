//! Which entries read the store, and whom the others ask for what it holds.
//!
//! Answers fleets of any size: three entries read the store, and each entry is asked by a bounded number of
//! others. All compute the same tree from the same list; it may differ while lists differ, so that what is
//! passed on tells its age.

use crate::owner::EntryAt;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Entries that read the store for the others, of all that are listed. Two may be lost at once.
const READERS_MAX: usize = 3;
/// Entries that ask the same one.
const CHILDREN_MAX: usize = 12;

/// Whether an entry reads the store itself. The others ask, since each call to the store is paid for and its
/// rates grow more slowly than the number of entries.
pub fn reads_store(entries: &[EntryAt], own: &str) -> bool {
    entries.is_empty() || by_power(entries).iter().take(READERS_MAX).any(|entry| entry.name == own)
}

/// The entries that one may ask, in the order in which it tries them: its parent, the two beside that, and
/// those that read the store.
pub fn parents<'a>(entries: &'a [EntryAt], own: &str) -> Vec<&'a EntryAt> {
    let ranked = by_power(entries);
    let at = ranked.iter().position(|entry| entry.name == own).unwrap_or(ranked.len());
    let first = at.saturating_sub(READERS_MAX) / CHILDREN_MAX;
    // Only those nearer to the store are asked, so that nobody waits for itself.
    let siblings = (0..READERS_MAX)
        .map(|i| first.saturating_sub(first % READERS_MAX) + (first + i) % READERS_MAX);
    let roots = (0..READERS_MAX).map(|i| (at + i) % READERS_MAX);
    let mut out: Vec<&EntryAt> = Vec::new();
    for i in siblings.chain(roots).filter(|i| *i < at) {
        if let Some(entry) = ranked.get(i).filter(|e| !out.iter().any(|o| o.name == e.name)) {
            out.push(entry);
        }
    }
    out
}

/// The strongest first, since what stands in front answers most questions.
fn by_power(entries: &[EntryAt]) -> Vec<&EntryAt> {
    let mut ranked: Vec<_> = entries.iter().collect();
    ranked.sort_by_key(|entry| (Reverse(entry.power), xxh3_64(entry.name.as_bytes())));
    ranked
}
