//! Tests of the tree along which entries relay the store's data.
#![allow(clippy::expect_used, reason = "the lint exempts only test functions")]

use damaskweir_core::ids::AvailabilityZone;
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::time::Span;
use damaskweir_core::tree::{parents, reads_store, start_relay_wait};
use rstest::rstest;
use std::collections::BTreeMap;

fn entries(count: usize) -> Vec<EntryInfo> {
    let entry = |n: usize| EntryInfo {
        name: format!("e{n:04}"),
        zone: AvailabilityZone::from("a"),
        address: format!("127.0.0.1:{n}"),
        power: [90, 190, 500][n % 3],
    };
    (0..count).map(entry).collect()
}

/// Number of hops from an entry to one that reads the store, along the first parents.
fn depth(entries: &[EntryInfo], name: &str) -> usize {
    if reads_store(entries, name) {
        return 0;
    }
    let parent = parents(entries, name).first().map(|entry| entry.name.clone());
    1 + depth(entries, &parent.expect("every other entry has a parent"))
}

/// Guards against readers whose load grows with the fleet (851 kB/s at 100 machines, 4,179 kB/s at 300),
/// and against cycles of entries that wait for each other.
#[rstest]
#[case(4, 1)]
#[case(68, 2)]
#[case(300, 2)]
#[case(630, 3)]
fn the_load_of_an_entry_does_not_grow_with_the_fleet(#[case] count: usize, #[case] levels: usize) {
    let entries = entries(count);
    let readers = entries.iter().filter(|entry| reads_store(&entries, &entry.name)).count();
    assert_eq!(readers, 3);
    let mut children = BTreeMap::<String, usize>::new();
    for entry in entries.iter().filter(|entry| !reads_store(&entries, &entry.name)) {
        let parents = parents(&entries, &entry.name);
        *children.entry(parents[0].name.clone()).or_default() += 1;
        assert!(parents.len() >= 3, "there are alternatives when a parent is down");
        assert!(parents.iter().any(|parent| reads_store(&entries, &parent.name)));
        assert!(depth(&entries, &entry.name) <= levels);
    }
    assert!(children.values().all(|n| *n <= 12), "{children:?}");
}

/// Guards against small entries that serve the whole fleet.
#[test]
fn parents_have_the_most_power() {
    let entries = entries(68);
    let weak = entries.iter().filter(|entry| entry.power == 90);
    for entry in &entries {
        let asked = parents(&entries, &entry.name);
        assert!(asked.iter().all(|parent| parent.power == 500), "{asked:?}");
    }
    assert!(weak.count() > 0);
}

/// Guards against an entry that is not yet listed and has no parents.
#[test]
fn unlisted_entry_has_parents() {
    let entries = entries(20);
    assert!(!reads_store(&entries, "new"));
    assert!(parents(&entries, "new").len() >= 3);
    assert!(reads_store(&[], "new"));
}

/// Guards against a small fleet that waits as long as a large one (1.7 s in place of 0.2 s for 29 entries), against
/// a large one whose entries all read the store at their start, and against a wait without end.
#[rstest]
#[case::unknown_list(0, 1_700)]
#[case(4, 116)]
#[case(29, 216)]
#[case(68, 372)]
#[case(300, 1_300)]
#[case(630, 1_700)]
#[case::most(usize::MAX, 1_700)]
fn wait_of_a_starting_entry_grows_with_the_fleet(#[case] count: usize, #[case] millis: u64) {
    assert_eq!(start_relay_wait(count), Span::from_millis(millis));
}
