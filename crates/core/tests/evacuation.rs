//! Tests of the set of evacuated availability zones, and of the detection of a suspended process.

use damaskweir_core::evacuation::{
    EvacuationChanges, EvacuationNotice, EvacuationStatement, Evacuations, Origin, ZoneEvent,
};
use damaskweir_core::fresh::SuspensionDetector;
use damaskweir_core::ids::AvailabilityZone;
use damaskweir_core::revision::Revision;
use damaskweir_core::time::{Span, Time};
use rstest::rstest;

fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::from(name)
}

const fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn event(name: &str, revision: u64, evacuated: bool) -> ZoneEvent {
    ZoneEvent { zone: zone(name), revision, evacuated }
}

/// A set of generation 1 that was read at revision 10.
fn read(zones: &[&str]) -> Evacuations {
    let mut set = Evacuations::default();
    let zones: Vec<_> = zones.iter().map(|name| zone(name)).collect();
    set.replace(at(0), Revision::new(1, 10), &zones);
    set
}

fn ended(changes: &EvacuationChanges) -> Vec<&str> {
    changes.ended.iter().map(|ended| ended.zone.as_str()).collect()
}

/// Guards against events that are lost, or applied twice after another entry has told their outcome.
#[test]
fn events_follow_the_set_that_is_known() {
    let mut set = read(&["a"]);
    let events = [event("a", 9, false), event("b", 11, true), event("b", 12, false)];
    let changes = set.apply(at(1), Revision::new(1, 14), &events);
    assert_eq!(changes, EvacuationChanges::default());
    let changes = set.apply(at(2), Revision::new(1, 15), &[event("a", 15, false)]);
    assert_eq!((ended(&changes), set.contains(&zone("a"))), (vec!["a"], false));
    // A watch that began before repeats what is known.
    let repeated = [event("a", 8, true), event("a", 15, false), event("c", 16, true)];
    let changes = set.apply(at(3), Revision::new(1, 16), &repeated);
    assert_eq!((changes.begun, changes.ended), (vec![zone("c")], vec![]));
}

/// Guards against a removal and a write in one read that end the evacuation, or begin it anew.
#[test]
fn removal_and_write_in_one_read_change_nothing() {
    let mut set = read(&["a"]);
    let events = [event("a", 11, false), event("a", 12, true)];
    assert_eq!(set.apply(at(1), Revision::new(1, 12), &events), EvacuationChanges::default());
    let changes = set.apply(at(700), Revision::new(1, 13), &[event("a", 13, false)]);
    assert_eq!(changes.ended[0].lasted, Span::from_millis(700));
}

/// Guards against a set that is replaced by an earlier one, of a full read or of another entry.
#[test]
fn earlier_set_is_not_taken() {
    let mut set = read(&["a"]);
    let old = EvacuationStatement { as_of: Revision::new(1, 9), zones: vec![], held: vec![] };
    assert_eq!(set.merge(at(1), &old), EvacuationChanges::default());
    assert_eq!(set.replace(at(1), Revision::new(1, 9), &[]), EvacuationChanges::default());
    let later = EvacuationStatement { as_of: Revision::new(1, 11), ..old };
    assert_eq!(ended(&set.merge(at(2), &later)), ["a"]);
    // Events without a set before them tell nothing of the zones that it would name.
    let mut unknown = Evacuations::default();
    let changes = unknown.apply(at(0), Revision::new(0, 5), &[event("a", 5, true)]);
    assert_eq!((changes, unknown.as_of()), (EvacuationChanges::default(), None));
}

/// Guards against an evacuation that ends because the store returned from a copy that lacks it, before operators
/// can write it again, and against one that never ends.
#[rstest]
#[case::not_written_again(None, 5_000)]
#[case::written_again(Some(true), u64::MAX)]
#[case::written_and_removed(Some(false), 2_000)]
fn evacuation_outlasts_a_return_of_the_store(#[case] again: Option<bool>, #[case] until: u64) {
    let mut set = read(&["a"]);
    let changes = set.replace(at(0), Revision::new(2, 3), &[]);
    assert_eq!(changes, EvacuationChanges::default());
    if let Some(kept) = again {
        let revision = Revision::new(2, 5);
        set.apply(at(2_000), revision, &[event("a", 4, true), event("a", 5, kept)]);
    }
    // Another full read of the same generation changes nothing.
    let kept: &[AvailabilityZone] = if again == Some(true) { &[zone("a")] } else { &[] };
    set.replace(at(2_500), Revision::new(2, 6), kept);
    for now in (2_500..8_000).step_by(500) {
        set.expire(at(now));
        assert_eq!(set.contains(&zone("a")), now < until, "at {now}");
    }
}

/// Guards against an entry that starts after the return and never learns what the copy lacks, and against an
/// entry that is behind and begins such an evacuation again after it has ended.
#[test]
fn kept_evacuation_is_told_to_entries_that_lack_it() {
    let mut set = read(&["a"]);
    set.replace(at(0), Revision::new(2, 3), &[]);
    let mut late = Evacuations::default();
    late.replace(at(1_000), Revision::new(2, 7), &[]);
    let told = set.statement_for(at(1_000), Revision::new(2, 7));
    assert!(told.is_some(), "also if the other set is later");
    let told = set.statement(at(1_000));
    assert_eq!(late.merge(at(1_000), &told).begun, [zone("a")]);
    assert_eq!(late.expire(at(4_900)), EvacuationChanges::default());
    assert_eq!(ended(&late.expire(at(5_000))), ["a"]);
    assert_eq!(late.merge(at(5_001), &told), EvacuationChanges::default());
}

/// Guards against polls that are answered at once although no zone has changed.
#[test]
fn only_changes_of_zones_are_news() {
    let mut set = read(&["a"]);
    set.apply(at(1), Revision::new(1, 30), &[]);
    assert!(!set.changed_since(Revision::new(1, 10)));
    assert!(set.statement_for(at(1), Revision::new(1, 10)).is_some());
    assert!(set.statement_for(at(1), Revision::new(1, 30)).is_none());
    set.apply(at(2), Revision::new(1, 31), &[event("b", 31, true)]);
    assert!(set.changed_since(Revision::new(1, 30)));
}

/// Guards against a name that is no zone's and closes servers, and against a line for each read of it.
#[rstest]
#[case::empty("", 3)]
#[case::unreadable("a b", 3)]
#[case::without_server("nowhere", 0)]
fn unusable_name_is_told_once(#[case] name: &str, #[case] servers: usize) {
    let mut set = read(&[name]);
    assert_eq!(set.contains(&zone(name)), servers == 0);
    if servers == 0 {
        assert_eq!(set.take_notices(|_| None), [], "no list of servers is known yet");
    }
    let unusable = EvacuationNotice::Unusable(zone(name));
    assert_eq!(set.take_notices(|_| Some(servers)), [unusable]);
    set.replace(at(1), Revision::new(1, 11), &[zone(name)]);
    assert_eq!((set.take_notices(|_| Some(servers)), set.zone_count()), (vec![], 0));
    // Servers of a zone may be listed later.
    let told = set.take_notices(|_| Some(2));
    let origin = Origin::Store;
    let evacuated = EvacuationNotice::Evacuated { zone: zone(name), servers: 2, origin };
    assert_eq!((told.contains(&evacuated), set.zone_count()), (servers == 0, told.len()));
}

/// Guards against a suspended process that uses its old data before it has asked for newer, and against one
/// that waits for ever.
#[test]
fn suspended_process_catches_up() {
    let mut detector = SuspensionDetector::default();
    (0..10).for_each(|n| detector.tick(at(n * 200)));
    assert!(!detector.is_catching_up(at(2_700)), "a slow process");
    assert!(detector.is_catching_up(at(8_000)), "before the first tick after the suspension");
    detector.tick(at(8_010));
    detector.tick(at(8_210));
    assert!(detector.is_catching_up(at(8_900)));
    detector.tick(at(9_100));
    assert!(!detector.is_catching_up(at(9_100)));
}
