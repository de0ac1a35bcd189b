//! Tests of the list of backend servers.

use damaskweir_core::fleet::{Delta, Fleet, FleetChange, Listing, Replica};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::time::{Span, Time};
use proptest::prelude::*;

fn replica(id: &str, started: u64, leaving: bool) -> Replica {
    Replica {
        id: ServerId::from(id),
        pool: PoolId::from("pool"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: AvailabilityZone::from("a"),
        slots: 4,
        leaving,
        started: Some(started),
    }
}

fn listed(revision: u64, replica: Replica) -> Listing {
    Listing { id: replica.id.clone(), revision, replica: Some(replica) }
}

fn removed(revision: u64, id: &str) -> Listing {
    Listing { id: ServerId::from(id), revision, replica: None }
}

fn seconds(n: u64) -> Time {
    Time::default() + Span::from_secs(n)
}

fn known() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.replace(seconds(1), 10, &[listed(9, replica("a", 1, false))]);
    fleet
}

/// Guards against new work for a server that is draining or removed.
#[test]
fn leaving_and_removed_servers_are_reported_at_once() {
    let mut fleet = known();
    let changes = fleet.apply(seconds(2), 11, &[listed(11, replica("a", 1, true))]);
    assert_eq!(changes, [FleetChange::Leaving(ServerId::from("a"))]);
    let changes = fleet.apply(seconds(3), 12, &[removed(12, "a")]);
    assert_eq!(changes, [FleetChange::Removed(ServerId::from("a"))]);
}

/// Guards against carrying state over to a new process under the same id.
#[test]
fn a_restart_under_the_same_id_is_another_server() {
    let mut fleet = known();
    let changes = fleet.apply(seconds(2), 11, &[listed(11, replica("a", 2, false))]);
    let up = replica("a", 2, false);
    assert_eq!(changes, [FleetChange::Removed(ServerId::from("a")), FleetChange::Up(up)]);
}

/// Guards against an old record, read late, that overwrites a newer one.
#[test]
fn older_records_change_nothing() {
    let mut fleet = known();
    fleet.apply(seconds(2), 20, &[listed(20, replica("a", 1, true))]);
    assert_eq!(fleet.apply(seconds(3), 20, &[listed(15, replica("a", 1, false))]), []);
}

/// Guards against removing all servers because their records expired during a store outage.
#[test]
fn records_that_lapse_in_an_outage_get_time_to_return() {
    let mut fleet = known();
    fleet.store_lost();
    fleet.store_recovered(seconds(10));
    assert_eq!(fleet.replace(seconds(10), 30, &[]), []);
    assert_eq!(fleet.expire(seconds(11)), []);
    let again = fleet.apply(seconds(11), 31, &[listed(31, replica("a", 1, false))]);
    assert_eq!(again, [], "the server was never removed");
    assert_eq!(fleet.expire(seconds(20)), []);
}

/// Guards against keeping a server forever that died during a store outage.
#[test]
fn records_that_stay_missing_after_an_outage_are_removed() {
    let mut fleet = known();
    fleet.store_lost();
    fleet.store_recovered(seconds(10));
    fleet.replace(seconds(10), 30, &[]);
    assert_eq!(fleet.expire(seconds(13)), [FleetChange::Removed(ServerId::from("a"))]);
}

/// Guards against records by other writers that do not describe a usable server.
#[test]
fn an_unreadable_record_removes_its_server() {
    let mut fleet = known();
    assert_eq!(fleet.apply(seconds(2), 11, &[removed(11, "b")]), []);
    assert_eq!(fleet.replicas().count(), 1);
}

/// Guards against sending the full list when little changed (one entry of 300 sent 4 MB/s), and against
/// counting heartbeats as changes.
#[test]
fn deltas_contain_only_changes() {
    let mut fleet = Fleet::default();
    let many: Vec<_> = (0..500).map(|n| listed(n, replica(&format!("r{n}"), 1, false))).collect();
    fleet.replace(seconds(1), 500, &many);
    let known = fleet.sequence();
    assert_eq!(fleet.delta_since(known), None);
    fleet.apply(seconds(2), 510, &[listed(510, replica("r7", 1, false))]);
    assert_eq!(fleet.delta_since(known), None, "the record says the same");
    fleet.apply(seconds(2), 512, &[listed(511, replica("r7", 1, true)), removed(512, "r9")]);
    let delta = fleet.delta_since(known).expect("two changes");
    assert!(!delta.full);
    let listed_ids: Vec<_> =
        delta.listings.iter().map(|l| (l.id.as_str(), l.replica.is_some())).collect();
    assert_eq!(listed_ids, [("r7", true), ("r9", false)]);
}

/// Guards against a delta that arrives late and overwrites newer state.
#[test]
fn older_deltas_are_ignored() {
    let mut fleet = known();
    fleet.apply(seconds(2), 20, &[removed(20, "a")]);
    let listings = vec![listed(9, replica("a", 1, false))];
    let old = Delta { as_of: 15, sequence: 3, full: false, listings };
    assert_eq!(fleet.merge(seconds(3), &old), None);
    assert!(fleet.get(&ServerId::from("a")).is_none());
}

#[derive(Clone, Debug)]
enum Step {
    /// Writes a record: server, start of its process, whether it is leaving.
    Write(u8, u64, bool),
    Remove(u8),
    /// The follower requests a delta from the first source.
    Ask,
    /// The follower requests a delta from the second source, which has the same list but its own
    /// sequence numbers.
    AskOther,
    /// The second source rereads the full list.
    Reread,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..6_u8, 1..3_u64, any::<bool>()).prop_map(|(n, started, l)| Step::Write(n, started, l)),
        2 => (0..6_u8).prop_map(Step::Remove),
        3 => Just(Step::Ask),
        1 => Just(Step::AskOther),
        1 => Just(Step::Reread),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    /// Guards against a follower that misses a change: after each delta its list must equal the source's.
    #[test]
    fn follower_matches_its_source(steps in steps()) {
        let mut store = std::collections::BTreeMap::<u8, Listing>::new();
        let mut sources = [Fleet::default(), Fleet::default()];
        let mut follower = Fleet::default();
        let (mut last_source, mut sequence, mut revision) = (usize::MAX, 0, 10_u64);
        for step in steps {
            let now = seconds(revision);
            let mut ask = None;
            match step {
                Step::Write(n, started, leaving) => {
                    revision += 1;
                    let listing = listed(revision, replica(&format!("r{n}"), started, leaving));
                    store.insert(n, listing.clone());
                    sources.iter_mut().for_each(|t| drop(t.apply(now, revision, std::slice::from_ref(&listing))));
                }
                Step::Remove(n) => {
                    revision += 1;
                    store.remove(&n);
                    let listing = removed(revision, &format!("r{n}"));
                    sources.iter_mut().for_each(|t| drop(t.apply(now, revision, std::slice::from_ref(&listing))));
                }
                Step::Reread => {
                    let list: Vec<_> = store.values().cloned().collect();
                    sources[1].replace(now, revision, &list);
                }
                Step::Ask => ask = Some(0),
                Step::AskOther => ask = Some(1),
            }
            let Some(source) = ask else { continue };
            if last_source != source {
                (last_source, sequence) = (source, 0);
            }
            if let Some(delta) = sources[source].delta_since(sequence) {
                prop_assert!(follower.merge(now, &delta).is_some());
                sequence = delta.sequence;
            }
            let of = |fleet: &Fleet| fleet.replicas().cloned().collect::<Vec<_>>();
            prop_assert_eq!(of(&follower), of(&sources[source]));
        }
    }
}
