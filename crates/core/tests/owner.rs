//! Tests of the assignment of stage servers to owners, with a simulation of the gain in throughput.
#![allow(clippy::expect_used, reason = "the lint exempts only test functions, not their helpers")]

use damaskweir_core::Rng;
use damaskweir_core::batch::{
    Batch, Batcher, CallOutcome, Fullness, Lane, PieceId, QueuePlace, QueuedPiece,
};
use damaskweir_core::catalog::PieceSpec;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::owner::{EntryInfo, Owners, PieceGroup, assign_owners, grantor};
use damaskweir_core::room::ResultKey;
use damaskweir_core::time::{Span, Time};
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const SPEC: PieceSpec = PieceSpec {
    slots: 1,
    queue: 2,
    batch: 14,
    call_time: Span::from_millis(200),
    piece_time: Span::from_millis(12),
    result_bytes: 32_000_000,
    result_ttl: Span::from_secs(4),
};

fn server(n: usize, zone: &str) -> Replica {
    Replica {
        id: ServerId::from(format!("s{n:03}").as_str()),
        pool: PoolId::from("catalog"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: AvailabilityZone::from(zone),
        slots: 1,
        leaving: false,
        started: Some(1),
        warmup: None,
    }
}

fn entry(n: usize, zone: &str) -> EntryInfo {
    let address = format!("127.0.0.1:{n}");
    EntryInfo { name: format!("e{n:03}"), zone: AvailabilityZone::from(zone), address, power: 200 }
}

fn group(pieces: usize) -> PieceGroup {
    let place = QueuePlace { lane: Lane::Timely(0), due: Span::from_secs(1) };
    PieceGroup { pieces, place }
}

fn fleet(entries: usize, servers: usize) -> (Vec<EntryInfo>, Vec<Replica>) {
    let zones = ["a", "b", "c", "d"];
    let entries = (0..entries).map(|n| entry(n, zones[n % 4])).collect();
    (entries, (0..servers).map(|n| server(n, zones[n % 4])).collect())
}

/// Guards against servers that no entry calls, or that several entries call because they compute
/// different owners.
#[rstest]
#[case(1, 5)]
#[case(4, 5)]
#[case(4, 16)]
#[case(31, 18)]
#[case(3, 40)]
#[case(68, 150)]
fn each_server_has_one_owner_of_its_zone(#[case] entries: usize, #[case] servers: usize) {
    let (entries, servers) = fleet(entries, servers);
    let pool = PoolId::from("catalog");
    let owners = assign_owners(&pool, &entries, &servers);
    assert_eq!(owners.len(), servers.len());
    for server in &servers {
        let owner =
            entries.iter().find(|e| e.name == owners[&server.id]).expect("the owner is listed");
        let near = entries.iter().any(|entry| entry.zone == server.zone);
        let many = servers.iter().filter(|other| other.zone == server.zone).count() >= 4;
        assert!(owner.zone == server.zone || !near || !many);
    }
    let mut shuffled = servers.clone();
    shuffled.reverse();
    assert_eq!(assign_owners(&pool, &entries, &shuffled), owners, "the order does not matter");
}

/// Guards against servers that no entry calls after their owner is lost.
#[test]
fn servers_of_a_lost_entry_get_other_owners() {
    let (entries, servers) = fleet(2, 16);
    let mut owners: Vec<_> = entries.iter().map(|entry| Owners::new(entry.clone(), SPEC)).collect();
    let pool = PoolId::from("catalog");
    let trusted = BTreeMap::new();
    let mut owned = |at: usize, listed: &[EntryInfo], suspects: &BTreeMap<String, Time>| {
        let mine = owners[at].assign(&pool, listed, suspects, &servers);
        mine.into_iter().map(|server| server.id).collect::<BTreeSet<_>>()
    };
    let (first, second) = (owned(0, &entries, &trusted), owned(1, &entries, &trusted));
    assert!(first.is_disjoint(&second));
    assert_eq!(first.len() + second.len(), 16);
    assert!(first.len() >= 4 && second.len() >= 4, "each owns those of its zone");
    assert_eq!(owned(0, &entries[..1], &trusted).len(), 16);
    assert_eq!(owned(0, &entries, &trusted), first);
    let suspects = BTreeMap::from([("e001".to_owned(), Time::default())]);
    assert_eq!(owned(0, &entries, &suspects).len(), 16);
    assert_eq!(owners[0].owner_of(&servers[1].id), Some(&entries[0]));
}

/// Guards against several entries taking over the same servers of an entry that does not answer: all
/// entries that suspect it must agree on the new owners.
#[test]
fn servers_of_a_suspect_have_one_owner() {
    let (entries, servers) = fleet(12, 40);
    let pool = PoolId::from("catalog");
    let suspects = BTreeMap::from([("e001".to_owned(), Time::default())]);
    let owned = entries.iter().filter(|entry| entry.name != "e001").map(|entry| {
        let mut owners = Owners::new(entry.clone(), SPEC);
        owners.assign(&pool, &entries, &suspects, &servers).len()
    });
    assert_eq!(owned.sum::<usize>(), servers.len());
}

/// Guards against clusters that are too small: pieces then wait for the only server of their owner while
/// another owner's server is idle, and the same servers complete fewer pieces in time.
#[test]
fn servers_with_one_owner_are_free_sooner() {
    let (entries, servers) = fleet(4, 5);
    let owners = assign_owners(&PoolId::from("catalog"), &entries, &servers);
    let names: BTreeSet<_> = owners.values().collect();
    assert_eq!(names.len(), 1);
    // Several servers per owner, but few enough that a lost owner affects only a small part of the pool.
    let (entries, servers) = fleet(30, 200);
    let owners = assign_owners(&PoolId::from("catalog"), &entries, &servers);
    let names: BTreeSet<_> = owners.values().collect();
    assert!((8..=25).contains(&names.len()), "{}", names.len());
}

/// Guards against moving results between zones although an owner in their zone is about as fast.
#[test]
fn large_inputs_keep_a_stage_in_its_zone() {
    let (entries, servers) = fleet(4, 16);
    let mut owners = Owners::new(entries[0].clone(), SPEC);
    owners.assign(&PoolId::from("catalog"), &entries, &BTreeMap::new(), &servers);
    let near = [(AvailabilityZone::from("c"), 400_000)];
    let chosen = owners
        .choose(Time::default(), group(10), &near, &Fullness::default(), 7)
        .expect("there are owners");
    assert_eq!(chosen.zone.as_str(), "c");
}

/// Guards against an entry that leaves and thereby changes the owners of servers that were not its own.
/// Before, each step of a rolling restart moved two of three servers of a zone.
#[test]
fn a_leaving_entry_moves_few_servers_of_others() {
    let (entries, servers) = fleet(26, 15);
    let pool = PoolId::from("catalog");
    let before = assign_owners(&pool, &entries, &servers);
    let moved: usize = (0..entries.len())
        .map(|gone| {
            let mut rest = entries.clone();
            let left = rest.remove(gone);
            let after = assign_owners(&pool, &rest, &servers);
            before.iter().filter(|(id, name)| **name != left.name && after[*id] != **name).count()
        })
        .sum();
    assert!(moved <= entries.len() / 2, "{moved} servers of others moved");
}

/// Guards against all entries choosing the one owner that last reported the smallest backlog.
#[test]
fn equally_loaded_owners_share_the_pieces() {
    let (entries, servers) = fleet(4, 16);
    let mut owners = Owners::new(entries[0].clone(), SPEC);
    owners.assign(&PoolId::from("catalog"), &entries, &BTreeMap::new(), &servers);
    let mut rng = Rng::seed_from_u64(3);
    let mut choose = || {
        let chosen =
            owners.choose(Time::default(), group(2), &[], &Fullness::default(), rng.next_u64());
        chosen.expect("there are owners").name.clone()
    };
    let chosen: BTreeSet<_> = (0..64).map(|_| choose()).collect();
    assert_eq!(chosen.len(), 4);
}

/// Simulates a load of pieces in virtual time. If `shared` is set, each entry batches pieces of all
/// entries for the servers that it owns; otherwise each entry calls all servers with its own pieces only.
/// Returns the fraction of pieces done within the objective.
fn simulate(shared: bool, per_second: f64) -> f64 {
    let (entries, servers) = fleet(4, 5);
    let pool = PoolId::from("catalog");
    let objective = Span::from_millis(900);
    let mut batchers: Vec<Batcher> = entries.iter().map(|_| Batcher::new(SPEC)).collect();
    let mut owners: Vec<Owners> =
        entries.iter().map(|entry| Owners::new(entry.clone(), SPEC)).collect();
    for (batcher, owners) in batchers.iter_mut().zip(&mut owners) {
        let mine = owners.assign(&pool, &entries, &BTreeMap::new(), &servers);
        batcher.set_servers(Time::default(), if shared { &mine } else { &servers });
    }
    // A server processes one call at a time, in order of arrival.
    let mut busy: BTreeMap<ServerId, Time> = BTreeMap::new();
    let mut open: Vec<(Time, usize, Batch)> = Vec::new();
    let (mut arrived, mut done) = (0_u64, 0_u64);
    let mut pending = 0.0;
    let mut rng = Rng::seed_from_u64(1);
    for tick in 0..20_000_u64 {
        let now = Time::default() + Span::from_millis(tick);
        pending += per_second / 1_000.0;
        while pending >= 2.0 {
            pending -= 2.0;
            // Requests are distributed unevenly over entries, as by a hash.
            let home = [0, 1, 2, 3, 3, 2, 3][(arrived / 2 % 7) as usize];
            let full = batchers[home].fullness(now);
            let target = if shared {
                let chosen = owners[home]
                    .choose(now, group(2), &[], &full, rng.next_u64())
                    .expect("there are owners");
                let name = chosen.name.clone();
                owners[home].pieces_sent(now, &name, group(2), &full);
                entries.iter().position(|entry| entry.name == name).expect("the owner is listed")
            } else {
                home
            };
            for _ in 0..2 {
                batchers[target].push(QueuedPiece {
                    id: PieceId(arrived),
                    group: arrived / 2,
                    lane: Lane::Timely(0),
                    refuse_after: None,
                    due: now + objective,
                    deadline: now + Span::from_secs(6),
                    bytes: 100_000,
                    preferred_zone: None,
                    large_inputs: false,
                    arrived: now,
                });
                arrived += 1;
            }
        }
        for (at, batcher) in batchers.iter_mut().enumerate() {
            batcher.take_expired(now);
            while let Some(batch) = batcher.next_batch(now) {
                let start = busy.get(&batch.server.id).copied().unwrap_or(now).max(now);
                let end = start + SPEC.call_time + SPEC.piece_time * batch.pieces.len() as u64;
                busy.insert(batch.server.id.clone(), end);
                open.push((end, at, batch));
            }
        }
        for (end, at, batch) in open.extract_if(.., |(end, ..)| *end <= now) {
            let outcome = CallOutcome::Done { dropped_bytes: 0 };
            batchers[at].call_ended(end, &batch.server.id, batch.pieces.len(), outcome);
            for piece in &batch.pieces {
                let key = ResultKey::from(piece.id.0.to_string().as_str());
                batchers[at].result_stored(now, &batch.server.id, key, piece.bytes);
                batchers[at].result_released(&batch.server.id, key, piece.bytes);
                done += u64::from(end.since(piece.arrived) <= objective);
            }
            let full = batchers[at].fullness(now);
            for owners in &mut owners {
                owners.pieces_ended(now, &entries[at].name, group(batch.pieces.len()), Some(full));
            }
        }
    }
    done as f64 / arrived as f64
}

/// Guards the gain in requests served in time under a load of calls with a fixed cost of 200 ms.
#[test]
fn owners_serve_in_time_what_entries_alone_cannot() {
    let (shared, alone) = (simulate(true, 130.0), simulate(false, 130.0));
    assert!(shared > 0.9, "shared: {shared:.3}");
    assert!(alone < shared, "alone: {alone:.3}, shared: {shared:.3}");
}

/// Guards against predictions that are not corrected by measured times: requests were accepted as being
/// in time but were late, and delayed all others.
#[test]
fn predictions_follow_measured_times() {
    let (entries, servers) = fleet(4, 16);
    let mut owners = Owners::new(entries[0].clone(), SPEC);
    owners.assign(&PoolId::from("catalog"), &entries, &BTreeMap::new(), &servers);
    let idle = Fullness::default();
    let before = owners.predict_time(Time::default(), group(2), &idle).expect("there are owners");
    let (took, expected) = (Span::from_millis(600), Span::from_millis(300));
    (0..100).for_each(|_| owners.record_time(Lane::Timely(0), took, expected));
    let after = owners.predict_time(Time::default(), group(2), &idle).expect("there are owners");
    let ratio = after.0 as f64 / before.0 as f64;
    assert!((1.9..2.1).contains(&ratio), "{ratio}");
}

/// Guards against two entries that grant the requests to one server, and against grants that all move
/// when an entry joins or leaves.
#[test]
fn grantor_is_the_same_everywhere_and_rarely_moves() {
    let (entries, servers) = fleet(8, 40);
    let name = |id: &ServerId, list: &[EntryInfo], silent: &str| {
        grantor(id, list, |name| name == silent).map(|entry| entry.name.clone())
    };
    let reversed: Vec<_> = entries.iter().rev().cloned().collect();
    let (mut moved, left) = (0, &entries[0].name);
    for server in &servers {
        let before = name(&server.id, &entries, "");
        assert_eq!(before, name(&server.id, &reversed, ""));
        let after = name(&server.id, &entries[1..], "");
        assert_eq!(after, name(&server.id, &entries, left), "a silent entry counts as gone");
        moved += usize::from(before != after);
        assert!(before == after || before.as_ref() == Some(left));
    }
    assert!(moved <= 12, "{moved} of 40 moved");
    assert_eq!(name(&servers[0].id, &[], ""), None);
}

fn assigned(count: u64) -> (Owners, String) {
    let (entries, servers) = fleet(4, count as usize);
    let mut owners = Owners::new(entries[0].clone(), SPEC);
    owners.assign(&PoolId::from("catalog"), &entries, &BTreeMap::new(), &servers);
    let other = servers.iter().filter_map(|server| owners.owner_of(&server.id));
    let other = other.map(|owner| owner.name.clone()).find(|name| *name != entries[0].name);
    (owners, other.expect("another entry owns servers"))
}

fn due_in(pieces: usize, lane: Lane, due: u64) -> PieceGroup {
    PieceGroup { pieces, place: QueuePlace { lane, due: Span::from_millis(due) } }
}

/// Guards against a group that ends and for which another one of the same size is forgotten: pieces that are still
/// queued were no longer counted.
#[test]
fn group_that_ends_is_the_one_that_is_forgotten() {
    let (mut owners, name) = assigned(16);
    let (now, idle) = (Time::default(), Fullness::default());
    let (early, late) = (due_in(40, Lane::Timely(0), 300), due_in(40, Lane::Timely(0), 3_000));
    owners.pieces_sent(now, &name, early, &idle);
    owners.pieces_sent(now, &name, late, &idle);
    let new = due_in(2, Lane::Timely(0), 1_000);
    let before = owners.predict_time(now, new, &idle);
    owners.pieces_ended(now, &name, late, None);
    assert_eq!(owners.predict_time(now, new, &idle), before, "the early group is still ahead");
    owners.pieces_ended(now, &name, early, None);
    assert!(owners.predict_time(now, new, &idle) < before);
}

/// Guards against a forecast for late pieces that stays short while all others take four times as long, and
/// against one report that counts like the mean of all owners.
#[test]
fn late_forecast_follows_the_others_and_one_report_is_not_the_mean() {
    let (mut owners, _) = assigned(16);
    let (now, idle) = (Time::default() + Span::from_secs(10), Fullness::default());
    let late = due_in(2, Lane::Late, 0);
    let before = owners.predict_time(now, late, &idle).expect("there are owners");
    let (took, expected) = (Span::from_millis(1_200), Span::from_millis(300));
    (0..200).for_each(|_| owners.record_time(Lane::Timely(0), took, expected));
    let after = owners.predict_time(now, late, &idle).expect("there are owners");
    assert!(after > before * 3, "{before:?} and {after:?}");
    let (mut owners, name) = assigned(16);
    let group = due_in(2, Lane::Timely(0), 1_000);
    let before = owners.predict_time(now, group, &idle).expect("there are owners");
    owners.pieces_ended(now, &name, group, Some(Fullness::uniform(10.0)));
    let after = owners.predict_time(now, group, &idle).expect("there are owners");
    assert!(after < before * 8, "{before:?} and {after:?}");
}
