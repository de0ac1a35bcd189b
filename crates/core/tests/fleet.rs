//! Tests of the list of backend servers.

use damaskweir_core::fleet::{Delta, Fleet, FleetChange, Listing, Replica};
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::revision::Revision;
use damaskweir_core::time::{Span, Time};
use damaskweir_core::uptime::UptimeStatement;
use proptest::prelude::*;
use rstest::rstest;

fn replica(id: &str, started: u64, leaving: bool) -> Replica {
    Replica {
        id: ServerId::from(id),
        pool: PoolId::from("pool"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: AvailabilityZone::from("a"),
        slots: 4,
        leaving,
        started: Some(started),
        warmup: None,
    }
}

fn listed(revision: u64, replica: Replica) -> Listing {
    Listing { id: replica.id.clone(), revision, replica: Some(replica), missing: false }
}

fn removed(revision: u64, id: &str) -> Listing {
    Listing { id: ServerId::from(id), revision, replica: None, missing: false }
}

fn seconds(n: u64) -> Time {
    Time::default() + Span::from_secs(n)
}

/// A revision of the first generation.
fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn known() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.replace(seconds(1), at(10), &[listed(9, replica("a", 1, false))]);
    fleet
}

/// Guards against new work for a server that is draining or removed.
#[test]
fn leaving_and_removed_servers_are_reported_at_once() {
    let mut fleet = known();
    let changes = fleet.apply(seconds(2), at(11), &[listed(11, replica("a", 1, true))]);
    assert_eq!(changes, [FleetChange::Leaving(ServerId::from("a"))]);
    let changes = fleet.apply(seconds(3), at(12), &[removed(12, "a")]);
    assert_eq!(changes, [FleetChange::Removed(ServerId::from("a"))]);
}

/// Guards against carrying state over to a new process under the same id.
#[test]
fn a_restart_under_the_same_id_is_another_server() {
    let mut fleet = known();
    let changes = fleet.apply(seconds(2), at(11), &[listed(11, replica("a", 2, false))]);
    let up = replica("a", 2, false);
    assert_eq!(changes, [FleetChange::Removed(ServerId::from("a")), FleetChange::Up(up)]);
}

/// Guards against an old record, read late, that overwrites a newer one.
#[test]
fn older_records_change_nothing() {
    let mut fleet = known();
    fleet.apply(seconds(2), at(20), &[listed(20, replica("a", 1, true))]);
    assert_eq!(fleet.apply(seconds(3), at(20), &[listed(15, replica("a", 1, false))]), []);
}

/// A list of which the store confirmed one server, and a store that was away for `outage` then, until 10 s.
fn after_outage(outage: Span) -> Fleet {
    let mut fleet = known();
    let [lost, back] = [seconds(10) - outage, seconds(10)];
    fleet.uptime.answered(seconds(1), seconds(1), Span::ZERO);
    fleet.uptime.answered(lost, seconds(1), lost.since(seconds(1)));
    fleet.uptime.answered(back, back, Span::ZERO);
    fleet
}

/// Guards against removing all servers because their records expired during a store outage.
#[test]
fn records_that_lapse_in_an_outage_get_time_to_return() {
    let mut fleet = after_outage(Span::from_secs(3));
    let missing = FleetChange::Missing(ServerId::from("a"));
    assert_eq!(fleet.replace(seconds(10), at(30), &[]), [missing]);
    assert_eq!(fleet.expire(seconds(12)), []);
    assert_eq!(fleet.replicas().count(), 1);
    let again = fleet.apply(seconds(12), at(31), &[listed(31, replica("a", 1, false))]);
    assert_eq!(again, [], "the server was never removed");
    assert_eq!(fleet.expire(seconds(20)), []);
}

/// Guards against keeping a server forever that died during a store outage.
#[test]
fn records_that_stay_missing_after_an_outage_are_removed() {
    let mut fleet = after_outage(Span::from_secs(3));
    fleet.replace(seconds(10), at(30), &[]);
    assert_eq!(fleet.expire(seconds(13)), [FleetChange::Removed(ServerId::from("a"))]);
}

/// Guards against new work for servers that are gone, because single calls to the store failed (review/8), or
/// because the store was away long ago.
#[rstest]
#[case::failed_calls(Span::from_millis(900), 10)]
#[case::earlier_outage(Span::from_secs(3), 13)]
fn removed_server_is_not_kept_without_an_outage(#[case] outage: Span, #[case] time: u64) {
    let gone = [FleetChange::Removed(ServerId::from("a"))];
    let mut fleet = after_outage(outage);
    assert_eq!(fleet.replace(seconds(time), at(30), &[]), gone);
    let mut fleet = after_outage(outage);
    assert_eq!(fleet.apply(seconds(time), at(30), &[removed(30, "a")]), gone);
}

/// Guards against new work for servers that are gone, at an entry that the store rejected, or that was cut off,
/// when another entry was served all the while.
#[test]
fn kept_server_is_removed_once_another_entry_tells_that_there_was_no_outage() {
    let mut fleet = after_outage(Span::from_secs(5));
    fleet.replace(seconds(10), at(30), &[]);
    assert_eq!(fleet.expire(seconds(11)), []);
    let served = UptimeStatement { since: Span::from_secs(60), until: Span::ZERO, before: None };
    fleet.uptime.told(seconds(11), seconds(11), served);
    assert_eq!(fleet.expire(seconds(11)), [FleetChange::Removed(ServerId::from("a"))]);
    assert_eq!(fleet.apply(seconds(11), at(31), &[listed(31, replica("b", 1, false))]).len(), 1);
    assert_eq!(
        fleet.apply(seconds(12), at(32), &[removed(32, "b")]),
        [FleetChange::Removed(ServerId::from("b"))]
    );
}

/// Guards against a server that an entry keeps by its grace and that another entry takes for listed: it would be
/// kept longer at each step, or return where it was removed.
#[rstest]
#[case::same_outage(Span::from_secs(3), 1)]
#[case::no_outage(Span::ZERO, 0)]
fn kept_server_is_told_as_missing(#[case] outage: Span, #[case] kept: usize) {
    let mut teller = after_outage(Span::from_secs(3));
    teller.replace(seconds(10), at(30), &[]);
    let delta = teller.delta_since(0).expect("a list");
    assert_eq!(delta.listings.iter().filter(|listing| listing.missing).count(), 1);
    let mut receivers = [after_outage(outage), Fleet::default()];
    receivers[1].uptime = receivers[0].uptime;
    for receiver in &mut receivers {
        receiver.merge(seconds(11), &delta).expect("a later list");
        assert_eq!(receiver.replicas().count(), kept);
        receiver.expire(seconds(13));
        assert_eq!(receiver.replicas().count(), 0);
        assert_eq!(receiver.merge(seconds(13), &delta), Some(Vec::new()), "it does not return");
    }
}

/// Guards against an entry that removes a server although its teller has seen its record again.
#[test]
fn return_of_a_record_is_told() {
    let mut teller = after_outage(Span::from_secs(3));
    let mut receiver = after_outage(Span::from_secs(3));
    teller.replace(seconds(10), at(30), &[]);
    let missing = teller.delta_since(0).expect("a list");
    receiver.merge(seconds(10), &missing);
    teller.apply(seconds(12), at(31), &[listed(31, replica("a", 1, false))]);
    let again = teller.delta_since(missing.sequence).expect("a change");
    assert_eq!(receiver.merge(seconds(12), &again), Some(Vec::new()));
    assert_eq!(receiver.expire(seconds(20)), []);
}

/// Guards against records by other writers that do not describe a usable server.
#[test]
fn an_unreadable_record_removes_its_server() {
    let mut fleet = known();
    assert_eq!(fleet.apply(seconds(2), at(11), &[removed(11, "b")]), []);
    assert_eq!(fleet.replicas().count(), 1);
}

/// Guards against a warm-up that other entries don't learn of or learn with the time left long ago, against
/// heartbeats that each change all entries' lists, and against a server that counts as another process.
#[test]
fn change_of_a_warm_up_is_relayed_and_its_countdown_is_not() {
    let warming =
        |millis: u64| Replica { warmup: Some(Span::from_millis(millis)), ..replica("a", 1, false) };
    let millis = |n: u64| Time::default() + Span::from_millis(n);
    let warmup = [FleetChange::Warmup(ServerId::from("a"))];
    let mut fleet = known();
    let changes = fleet.apply(seconds(2), at(11), &[listed(11, warming(3_000))]);
    assert_eq!(changes, warmup, "the record did not tell a time before");
    let known = fleet.sequence();
    for (n, (now, left)) in
        [(3_600, 1_800), (4_400, 600), (5_800, 0), (7_000, 0)].iter().enumerate()
    {
        let revision = 12 + n as u64;
        let changes = fleet.apply(millis(*now), at(revision), &[listed(revision, warming(*left))]);
        assert_eq!((changes, fleet.sequence()), (Vec::new(), known), "at {now} ms");
    }
    assert_eq!(fleet.apply(seconds(8), at(20), &[listed(20, warming(3_000))]), warmup);
    assert_eq!(fleet.warm_at(&ServerId::from("a")), (Some(seconds(11)), at(20)));
    let delta = fleet.delta_at(seconds(10), known).expect("a change");
    let mut receiver = Fleet::default();
    receiver.merge(seconds(100), &Delta { full: true, ..delta }).expect("a list");
    assert_eq!(receiver.warm_at(&ServerId::from("a")).0, Some(seconds(101)));
    fleet.apply(seconds(12), at(21), &[listed(21, warming(0))]);
    fleet.await_record(&ServerId::from("a"), seconds(14));
    assert_eq!(fleet.apply(seconds(13), at(22), &[listed(22, warming(0))]), []);
    assert_eq!(fleet.apply(seconds(14), at(23), &[listed(23, warming(0))]), warmup);
    assert_eq!(fleet.apply(seconds(15), at(24), &[listed(24, warming(0))]), []);
}

/// Guards against sending the full list when little changed (one entry of 300 sent 4 MB/s), and against
/// counting heartbeats as changes.
#[test]
fn deltas_contain_only_changes() {
    let mut fleet = Fleet::default();
    let many: Vec<_> = (0..500).map(|n| listed(n, replica(&format!("r{n}"), 1, false))).collect();
    fleet.replace(seconds(1), at(500), &many);
    let known = fleet.sequence();
    assert_eq!(fleet.delta_since(known), None);
    fleet.apply(seconds(2), at(510), &[listed(510, replica("r7", 1, false))]);
    assert_eq!(fleet.delta_since(known), None, "the record says the same");
    fleet.apply(seconds(2), at(512), &[listed(511, replica("r7", 1, true)), removed(512, "r9")]);
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
    fleet.apply(seconds(2), at(20), &[removed(20, "a")]);
    let listings = vec![listed(9, replica("a", 1, false))];
    let old = Delta { as_of: 15, generation: 1, sequence: 3, full: false, listings };
    assert_eq!(fleet.merge(seconds(3), &old), None);
    assert!(fleet.get(&ServerId::from("a")).is_none());
}

/// A fleet that knows a server, whose store then returns with a list of an earlier time.
fn returned(known: &Listing, copy: &[Listing]) -> (Fleet, Vec<FleetChange>) {
    let mut fleet = Fleet::default();
    fleet.replace(seconds(1), at(20), std::slice::from_ref(known));
    let changes = fleet.replace(seconds(10), Revision::new(2, 15), copy);
    (fleet, changes)
}

/// Guards against removing servers that registered in the lost time.
#[test]
fn servers_that_the_copy_lacks_get_time_to_register_again() {
    let (mut fleet, changes) = returned(&listed(19, replica("a", 1, false)), &[]);
    let missing = vec![FleetChange::Missing(ServerId::from("a"))];
    assert_eq!((changes, fleet.expire(seconds(12))), (missing, vec![]));
    let again = [listed(16, replica("a", 1, false))];
    assert_eq!(fleet.apply(seconds(12), Revision::new(2, 16), &again), []);
    assert_eq!(fleet.expire(seconds(20)), []);
}

/// Guards against keeping a server forever because its revision is higher than any that the store has.
#[test]
fn servers_that_stay_missing_after_a_return_are_removed() {
    let (mut fleet, _) = returned(&listed(19, replica("a", 1, false)), &[]);
    assert_eq!(fleet.expire(seconds(13)), [FleetChange::Removed(ServerId::from("a"))]);
}

/// Guards against a change that is missed because its revision was given out before.
#[test]
fn reused_revisions_are_later_ones() {
    let (mut fleet, _) =
        returned(&listed(19, replica("a", 1, false)), &[listed(9, replica("a", 1, false))]);
    let leaving = [listed(16, replica("a", 1, true))];
    let changes = fleet.apply(seconds(11), Revision::new(2, 16), &leaving);
    assert_eq!(changes, [FleetChange::Leaving(ServerId::from("a"))]);
}

/// Guards against new work for a server that the copy lists as it was before it began to leave, was removed,
/// or started again.
#[rstest]
#[case::leaving(listed(19, replica("a", 1, true)), replica("a", 1, true))]
#[case::restarted(listed(19, replica("a", 2, false)), replica("a", 2, false))]
fn older_records_of_known_servers_wait(#[case] known: Listing, #[case] kept: Replica) {
    let copied = listed(9, replica("a", 1, false));
    let (mut fleet, changes) = returned(&known, std::slice::from_ref(&copied));
    assert_eq!((changes, fleet.get(&kept.id)), (vec![], Some(&kept)));
    // A second read and a second return change nothing.
    fleet.replace(seconds(11), Revision::new(2, 15), std::slice::from_ref(&copied));
    fleet.replace(seconds(11), Revision::new(3, 15), std::slice::from_ref(&copied));
    assert_eq!((fleet.expire(seconds(12)), fleet.get(&kept.id)), (vec![], Some(&kept)));
    // Nobody wrote it again, so it is true.
    fleet.expire(seconds(17));
    assert_eq!(fleet.get(&kept.id), copied.replica.as_ref());
}

/// Guards against new work for a server that was removed in the lost time.
#[test]
fn older_records_of_removed_servers_wait() {
    let mut fleet = known();
    fleet.apply(seconds(2), at(20), &[removed(20, "a")]);
    let copied = [listed(9, replica("a", 1, false)), listed(8, replica("b", 1, false))];
    let changes = fleet.replace(seconds(10), Revision::new(2, 15), &copied);
    assert_eq!(changes, [FleetChange::Up(replica("b", 1, false))]);
    assert_eq!(fleet.expire(seconds(14)), []);
    // It is another process.
    let again = [listed(16, replica("a", 2, false))];
    let changes = fleet.apply(seconds(14), Revision::new(2, 16), &again);
    assert_eq!(changes, [FleetChange::Up(replica("a", 2, false))]);
    assert_eq!(fleet.expire(seconds(30)), []);
}

/// Guards against lists of an earlier generation, and against changes that follow one.
#[test]
fn lists_of_earlier_generations_are_ignored() {
    let (mut fleet, _) =
        returned(&listed(19, replica("a", 1, false)), &[listed(9, replica("a", 1, false))]);
    let listings = vec![listed(30, replica("b", 1, false))];
    let old =
        Delta { as_of: 30, generation: 1, sequence: 3, full: true, listings: listings.clone() };
    assert_eq!(fleet.merge(seconds(11), &old), None);
    let next = Delta { as_of: 30, generation: 3, sequence: 3, full: false, listings };
    assert_eq!(fleet.merge(seconds(11), &next), None);
    assert_eq!(fleet.apply(seconds(11), at(30), &old.listings), []);
    assert_eq!(fleet.replace(seconds(11), at(30), &old.listings), []);
    assert_eq!(fleet.replicas().count(), 1);
}

/// Guards against a receiver of deltas that misses the servers of a new generation.
#[test]
fn first_delta_of_a_generation_is_full() {
    let mut fleet = known();
    let sequence = fleet.sequence();
    fleet.replace(seconds(10), Revision::new(2, 5), &[listed(4, replica("a", 1, false))]);
    let delta = fleet.delta_since(sequence).expect("a new generation");
    assert_eq!((delta.full, delta.generation, delta.as_of), (true, 2, 5));
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
        sources.iter_mut().for_each(|source| drop(source.replace(seconds(1), at(10), &[])));
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
                    sources.iter_mut().for_each(|t| drop(t.apply(now, at(revision), std::slice::from_ref(&listing))));
                }
                Step::Remove(n) => {
                    revision += 1;
                    store.remove(&n);
                    let listing = removed(revision, &format!("r{n}"));
                    sources.iter_mut().for_each(|t| drop(t.apply(now, at(revision), std::slice::from_ref(&listing))));
                }
                Step::Reread => {
                    let list: Vec<_> = store.values().cloned().collect();
                    sources[1].replace(now, at(revision), &list);
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

/// What happens to a server between a copy and the return of the store from it.
#[derive(Clone, Debug)]
enum Fate {
    Same,
    Left,
    Leaving,
    Restarted(u64),
}

fn fates() -> impl Strategy<Value = Vec<(bool, Fate)>> {
    let fate = prop_oneof![
        2 => Just(Fate::Same),
        1 => Just(Fate::Left),
        1 => Just(Fate::Leaving),
        1 => (2..4_u64).prop_map(Fate::Restarted),
    ];
    proptest::collection::vec((any::<bool>(), fate), 1..8)
}

proptest! {
    /// Guards against a list that differs from the store's for good after a return, at an entry that reads the
    /// store or at one that hears it from that entry, whatever servers did in the lost time.
    #[test]
    fn lists_agree_with_the_store_after_a_return(fates in fates(), heard in any::<bool>()) {
        let (mut reader, mut follower) = (Fleet::default(), Fleet::default());
        let name = |n: usize| format!("r{n}");
        let copied = |n: usize| listed(n as u64 + 1, replica(&name(n), 1, false));
        let copy: Vec<_> =
            (0..fates.len()).filter(|n| fates[*n].0).map(copied).collect();
        reader.replace(seconds(1), at(10), &copy);
        let now: Vec<_> = fates.iter().enumerate().filter_map(|(n, (_, fate))| match fate {
            Fate::Same => Some(replica(&name(n), 1, false)),
            Fate::Left => None,
            Fate::Leaving => Some(replica(&name(n), 1, true)),
            Fate::Restarted(started) => Some(replica(&name(n), *started, false)),
        }).collect();
        let lost: Vec<_> = now.iter().map(|replica| listed(20, replica.clone())).collect();
        reader.replace(seconds(2), at(20), &lost);
        if let Some(delta) = reader.delta_since(0).filter(|_| heard) {
            prop_assert!(follower.merge(seconds(2), &delta).is_some());
        }
        reader.replace(seconds(3), Revision::new(2, 10), &copy);
        // Servers whose record the copy does not have as it was write it again, the others expire.
        let stale = |listing: &&Listing| !now.iter().any(|r| Some(r) == listing.replica.as_ref());
        let again = now.iter().filter(|r| !copy.iter().any(|l| l.replica.as_ref() == Some(r)));
        let mut changes: Vec<_> = again.zip(11..).map(|(r, n)| listed(n, r.clone())).collect();
        let gone = copy.iter().filter(stale).filter(|l| !now.iter().any(|r| r.id == l.id));
        changes.extend(gone.map(|l| removed(30, l.id.as_str())));
        reader.apply(seconds(5), Revision::new(2, 30), &changes);
        let mut sequence = 0;
        for time in [6, 9, 20] {
            reader.expire(seconds(time));
            follower.expire(seconds(time));
            if let Some(delta) = reader.delta_since(sequence) {
                prop_assert!(follower.merge(seconds(time), &delta).is_some());
                sequence = delta.sequence;
            }
        }
        follower.expire(seconds(30));
        let of = |fleet: &Fleet| fleet.replicas().cloned().collect::<Vec<_>>();
        let mut expected = now;
        expected.sort_by(|a, b| a.id.cmp(&b.id));
        prop_assert_eq!(of(&reader), expected.clone());
        prop_assert_eq!(of(&follower), expected);
    }
}
