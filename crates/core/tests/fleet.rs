//! Tests of the list of backend servers.

use damaskweir_core::fleet::{Fleet, FleetChange, Listing, Replica};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::time::{Span, Time};

fn replica(id: &str, born: u64, leaving: bool) -> Replica {
    Replica {
        id: ServerId::from(id),
        pool: PoolId::from("pool"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: AvailabilityZone::from("a"),
        slots: 4,
        leaving,
        born: Some(born),
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

/// Guards against new work for a server that leaves or is gone.
#[test]
fn leaving_and_removed_servers_are_told_at_once() {
    let mut fleet = known();
    let changes = fleet.apply(seconds(2), 11, &[listed(11, replica("a", 1, true))]);
    assert_eq!(changes, [FleetChange::Leaving(ServerId::from("a"))]);
    let changes = fleet.apply(seconds(3), 12, &[removed(12, "a")]);
    assert_eq!(changes, [FleetChange::Gone(ServerId::from("a"))]);
}

/// Guards against what was known of a process being believed of the next one under the same id.
#[test]
fn a_restart_under_the_same_id_is_another_server() {
    let mut fleet = known();
    let changes = fleet.apply(seconds(2), 11, &[listed(11, replica("a", 2, false))]);
    let up = replica("a", 2, false);
    assert_eq!(changes, [FleetChange::Gone(ServerId::from("a")), FleetChange::Up(up)]);
}

/// Guards against an old record, read late, undoing a newer one.
#[test]
fn older_records_change_nothing() {
    let mut fleet = known();
    fleet.apply(seconds(2), 20, &[listed(20, replica("a", 1, true))]);
    assert_eq!(fleet.apply(seconds(3), 20, &[listed(15, replica("a", 1, false))]), []);
}

/// Guards against the loss of all servers when their records lapse during an outage of the store.
#[test]
fn records_that_lapse_in_an_outage_get_time_to_return() {
    let mut fleet = known();
    fleet.lost();
    fleet.regained(seconds(10));
    assert_eq!(fleet.replace(seconds(10), 30, &[]), []);
    assert_eq!(fleet.expire(seconds(11)), []);
    let again = fleet.apply(seconds(11), 31, &[listed(31, replica("a", 1, false))]);
    assert_eq!(again, [], "it was never given up");
    assert_eq!(fleet.expire(seconds(20)), []);
}

/// Guards against a server that died in the outage being used for ever.
#[test]
fn records_that_stay_away_after_an_outage_are_gone() {
    let mut fleet = known();
    fleet.lost();
    fleet.regained(seconds(10));
    fleet.replace(seconds(10), 30, &[]);
    assert_eq!(fleet.expire(seconds(13)), [FleetChange::Gone(ServerId::from("a"))]);
}

/// Guards against records of other writers that name no usable server.
#[test]
fn an_unreadable_record_removes_its_server() {
    let mut fleet = known();
    assert_eq!(fleet.apply(seconds(2), 11, &[removed(11, "b")]), []);
    assert_eq!(fleet.replicas().count(), 1);
}
