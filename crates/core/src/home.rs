//! Which server of a stage pool is whose home.
//!
//! Every entry computes the same assignment from the same lists, so that entries do not queue behind each
//! other without talking. Results then stay in one availability zone where servers allow it.

use crate::ids::{AvailabilityZone, ServerId};
use crate::value;
use std::collections::BTreeMap;

value! {
    /// Another entry, or this one.
    #[derive(PartialOrd, Ord)]
    pub struct EntryAt {
        /// Unique among entries.
        pub name: String,
        /// Where it runs.
        pub zone: AvailabilityZone,
        /// Where other entries reach it.
        pub address: String,
    }
}

/// The home of each entry, by its name. Servers that are left over are no one's home; with fewer servers
/// than entries, several entries share one.
pub fn assign_homes(
    entries: &[EntryAt],
    servers: &[(ServerId, AvailabilityZone)],
) -> BTreeMap<String, ServerId> {
    let mut homes = BTreeMap::new();
    if servers.is_empty() {
        return homes;
    }
    let mut uses: BTreeMap<&ServerId, usize> = servers.iter().map(|(id, _)| (id, 0)).collect();
    // Entries of one zone share its servers as long as each is the home of no more than its part.
    let fair = entries.len().div_ceil(servers.len());
    for near in [true, false] {
        for entry in entries {
            if homes.contains_key(&entry.name) {
                continue;
            }
            let open = servers.iter().filter(|(id, zone)| {
                let used = uses.get(id).copied().unwrap_or(0);
                used < fair && (!near || *zone == entry.zone)
            });
            let best = open.min_by_key(|(id, _)| uses.get(id).copied().unwrap_or(0));
            if let Some((id, _)) = best {
                homes.insert(entry.name.clone(), id.clone());
                *uses.entry(id).or_default() += 1;
            }
        }
    }
    homes
}
