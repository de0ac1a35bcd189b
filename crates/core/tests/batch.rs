//! Tests of the gathering of pieces into calls.

use damaskweir_core::batch::{Batch, Batcher, CallEnd, Lane, PieceId, Waiting, ZoneKey};
use damaskweir_core::catalog::PieceSpec;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::room::ResultKey;
use damaskweir_core::time::{Span, Time};
use proptest::prelude::*;
use std::collections::BTreeMap;

const SPEC: PieceSpec = PieceSpec {
    slots: 1,
    queue: 2,
    batch: 10,
    call_time: Span::from_millis(200),
    piece_time: Span::from_millis(10),
    result_bytes: 10_000_000,
    result_ttl: Span::from_secs(4),
};

fn server(id: &str) -> Replica {
    Replica {
        id: ServerId::from(id),
        pool: PoolId::from("catalog"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: AvailabilityZone::from("tvm-a"),
        slots: 1,
        leaving: false,
        started: Some(1),
    }
}

fn piece(id: u64, group: u64, at: Time) -> Waiting {
    Waiting {
        id: PieceId(id),
        group,
        lane: Lane::Timely(0),
        refusable: None,
        due: at + Span::from_secs(1),
        deadline: at + Span::from_secs(6),
        bytes: 100_000,
        toward: None,
        holding: false,
        arrived: at,
    }
}

/// Counted from a time at which the servers are known for long.
fn millis(n: u64) -> Time {
    Time::default() + Span::from_secs(10) + Span::from_millis(n)
}

fn batcher(servers: &[&str]) -> Batcher {
    let mut batcher = Batcher::new(SPEC);
    let servers: Vec<_> = servers.iter().map(|id| server(id)).collect();
    batcher.set_servers(Time::default(), &servers);
    batcher
}

fn groups(batch: &Batch) -> Vec<u64> {
    let mut groups: Vec<_> = batch.pieces.iter().map(|piece| piece.group).collect();
    groups.dedup();
    groups
}

/// Guards against calls that carry one piece each while the server works.
#[test]
fn pieces_gather_while_the_server_works() {
    let mut batcher = batcher(&["a"]);
    batcher.push(piece(1, 1, millis(0)));
    let first = batcher.plan(millis(10)).expect("the server is free");
    assert_eq!(first.pieces.len(), 1);
    for id in 2..8 {
        batcher.push(piece(id, id, millis(10 * id)));
        assert!(batcher.plan(millis(10 * id + 9)).is_none(), "the server works on a call");
    }
    batcher.ended(millis(210), &first.server.id, 1, CallEnd::Done { unfit: 0 });
    assert_eq!(batcher.plan(millis(210)).expect("free again").pieces.len(), 6);
}

/// Guards against a request that waits for a second call because the first one took a part of it.
#[test]
fn a_request_is_not_split_over_two_calls() {
    let mut batcher = batcher(&["a"]);
    for group in 0..3 {
        for i in 0..4 {
            batcher.push(piece(group * 4 + i, group, millis(group)));
        }
    }
    let batch = batcher.plan(millis(10)).expect("a full call waits");
    assert_eq!(groups(&batch), [0, 1]);
    assert_eq!(batcher.len(), 4);
}

/// Guards against a request that has more pieces than a call takes and so would never begin.
#[test]
fn a_request_larger_than_a_call_is_split() {
    let mut batcher = batcher(&["a"]);
    (0..25).for_each(|id| batcher.push(piece(id, 7, millis(0))));
    assert_eq!(batcher.plan(millis(10)).expect("free").pieces.len(), SPEC.batch);
}

/// Guards against results that find no room, whose work is thrown away.
#[test]
fn room_is_never_overrun() {
    let mut batcher = batcher(&["a"]);
    for id in 0..10 {
        batcher.push(Waiting { bytes: 3_000_000, ..piece(id, id, millis(0)) });
    }
    let batch = batcher.plan(millis(10)).expect("free");
    assert_eq!(batch.pieces.len(), 3);
    batcher.ended(millis(300), &batch.server.id, 3, CallEnd::Done { unfit: 0 });
    for handle in ["0", "1", "2"] {
        batcher.made(millis(300), &batch.server.id, ResultKey::from(handle), 3_000_000);
    }
    assert!(batcher.plan(millis(300)).is_none(), "the results still lie there");
    batcher.freed(&batch.server.id, ResultKey::from("1"), 3_000_000);
    assert!(batcher.plan(millis(301)).is_none(), "more room is awaited for a while");
    assert_eq!(batcher.plan(millis(450)).expect("room again").pieces.len(), 1);
}

/// Guards against room that is lost for good with an entry that ends before it gives its results back
/// (inc-981f of Teranga's site: one owner was ten rounds full for ten seconds).
#[test]
fn results_that_are_never_given_back_free_their_room_in_time() {
    let mut batcher = batcher(&["a"]);
    let large = |id, at| Waiting { bytes: 9_000_000, ..piece(id, id, at) };
    batcher.push(large(1, millis(0)));
    let batch = batcher.plan(millis(10)).expect("free");
    batcher.ended(millis(300), &batch.server.id, 1, CallEnd::Done { unfit: 0 });
    batcher.made(millis(300), &batch.server.id, ResultKey::from("1"), 9_000_000);
    batcher.push(large(2, millis(300)));
    assert!(batcher.plan(millis(1_000)).is_none(), "no room");
    let gone = millis(300) + SPEC.result_ttl + Span::from_secs(1);
    batcher.push(large(3, gone));
    assert!(batcher.plan(gone + Span::from_millis(10)).is_some(), "the server has dropped it");
}

/// Guards against a pause of the only server that looks like a queue of many rounds.
#[test]
fn a_pause_does_not_look_like_a_long_queue() {
    let mut batcher = batcher(&["a"]);
    batcher.push(piece(1, 1, millis(0)));
    let batch = batcher.plan(millis(10)).expect("free");
    batcher.ended(millis(20), &batch.server.id, 1, CallEnd::Failed);
    (2..12).for_each(|id| batcher.push(piece(id, id, millis(20))));
    let full = batcher.fullness(millis(30));
    for lane in [Lane::Timely(0), Lane::Timely(2), Lane::Late] {
        assert!(full.at(lane) < 2.0, "{full:?}");
    }
}

/// Guards against late pieces that wait for ever behind timely ones, and against the reverse.
#[test]
fn late_pieces_keep_some_places() {
    let mut batcher = batcher(&["a"]);
    for id in 0..20 {
        batcher.push(piece(id, id, millis(0)));
    }
    for id in 20..40 {
        batcher.push(Waiting { due: millis(0), ..piece(id, id, millis(0)) });
    }
    let batch = batcher.plan(millis(10)).expect("free");
    let late = batch.pieces.iter().filter(|piece| piece.id.0 >= 20).count();
    assert_eq!((batch.pieces.len(), late), (10, 2));
}

/// Guards against pieces that are worked on although their request can't be served any more.
#[test]
fn hopeless_pieces_are_told_at_once() {
    let mut batcher = batcher(&["a"]);
    batcher.push(Waiting { deadline: millis(150), ..piece(1, 1, millis(0)) });
    assert_eq!(batcher.expired(millis(1)), [PieceId(1)]);
    assert!(batcher.is_empty());
}

/// Guards against a server that failed being called again at once, and against one that is never
/// tried again.
#[test]
fn a_server_that_failed_rests_longer_each_time() {
    let mut batcher = batcher(&["a"]);
    let mut now = millis(0);
    let mut rests = Vec::new();
    for id in 0..3 {
        batcher.push(piece(id, id, now));
        now = now + Span::from_millis(10);
        let batch = batcher.plan(now).expect("rested");
        batcher.ended(now, &batch.server.id, 1, CallEnd::Failed);
        batcher.push(piece(id + 100, id, now));
        let wake = (1..10_000).map(|n| now + Span::from_millis(n));
        let again = wake.into_iter().find(|at| batcher.clone().plan(*at).is_some());
        let again = again.expect("it is tried again");
        rests.push(again.since(now));
        batcher.cancel(PieceId(id + 100));
        now = again;
    }
    assert!(rests[0] < rests[1] && rests[1] < rests[2], "{rests:?}");
}

/// Guards against a slow server that takes a call which a fast one would finish sooner.
#[test]
fn a_slow_server_is_left_alone_while_a_fast_one_is_there() {
    let mut batcher = batcher(&["a", "b"]);
    batcher.push(piece(1, 1, millis(0)));
    let first = batcher.plan(millis(10)).expect("free");
    batcher.ended(millis(1_500), &first.server.id, 1, CallEnd::Late);
    batcher.push(piece(2, 2, millis(5_000)));
    let second = batcher.plan(millis(5_010)).expect("the other is free");
    assert_ne!(second.server.id, first.server.id);
    batcher.push(piece(3, 3, millis(5_020)));
    assert!(batcher.plan(millis(5_030)).is_none(), "waits for the fast one");
}

/// How requests of two ranks ended in a played load.
#[derive(Debug, Default)]
struct Ends {
    asked: [u32; 2],
    timely: [u32; 2],
    late: u32,
    refused: u32,
}

/// Plays three servers with a third more work than they can do, in virtual time: each request is four pieces,
/// every third request is urgent, and some come back late. `ranked`: whether the batcher is told ranks and
/// which requests can be refused for free; else all wait in the order in which they are due.
fn play_overload(ranked: bool) -> Ends {
    let mut batcher = batcher(&["a", "b", "c"]);
    let (mut open, mut next, mut ends): (Vec<(Time, Batch)>, u64, Ends) = Default::default();
    let mut ranks: BTreeMap<u64, usize> = BTreeMap::new();
    let objective = Span::from_millis(900);
    for tick in 0..12_000 {
        let now = millis(tick);
        if tick % 30 == 0 {
            let rank = usize::from(next % 3 != 0);
            ends.asked[rank] += 1;
            ranks.insert(next, rank);
            for piece in 0..4 {
                batcher.push(Waiting {
                    lane: Lane::Timely(if ranked { rank as u8 } else { 0 }),
                    refusable: ranked.then_some(now + objective),
                    due: now + objective,
                    ..self::piece(next * 4 + piece, next, now)
                });
            }
            next += 1;
        }
        let refused = batcher.hopeless(now).len() as u32 / 4;
        ends.refused += refused;
        batcher.expired(now);
        while let Some(batch) = batcher.plan(now) {
            let work = SPEC.call_time + SPEC.piece_time * batch.pieces.len() as u64;
            open.push((now + work, batch));
        }
        for (at, batch) in open.extract_if(.., |(at, _)| *at <= now) {
            let end = CallEnd::Done { unfit: 0 };
            batcher.ended(at, &batch.server.id, batch.pieces.len(), end);
            for group in batch.pieces.chunk_by(|a, b| a.group == b.group) {
                match at <= group[0].due {
                    true => ends.timely[ranks[&group[0].group]] += 1,
                    false => ends.late += 1,
                }
            }
        }
    }
    ends
}

/// The load that ranks and early refusals answer: a third more requests than the servers can serve. Guards
/// urgent requests, and the others from answers that are all late.
#[test]
fn under_overload_the_urgent_are_in_time_and_the_rest_is_refused_at_once() {
    let (ranked, plain) = (play_overload(true), play_overload(false));
    let all = |ends: &Ends| ends.timely.iter().sum::<u32>();
    assert!(f64::from(ranked.timely[0]) >= 0.95 * f64::from(ranked.asked[0]), "{ranked:?}");
    assert!(all(&ranked) > 2 * all(&plain), "{ranked:?} against {plain:?}");
    assert!(ranked.late * 10 < ranked.asked[0] + ranked.asked[1], "{ranked:?}");
}

/// Guards against late requests that wait until their deadline although they can't be served before it.
#[test]
fn late_pieces_that_cannot_meet_their_deadline_are_refused_at_once() {
    let mut batcher = batcher(&["a"]);
    let deadline = millis(3_000);
    for id in 0..60 {
        let late =
            Waiting { due: millis(0), refusable: Some(deadline), ..piece(id, id, millis(0)) };
        batcher.push(Waiting { deadline, ..late });
    }
    (100..120).for_each(|id| batcher.push(piece(id, id, millis(0))));
    let refused = batcher.hopeless(millis(10)).len();
    // Others fill the calls: 3 s are ten calls of 0.3 s, with two places for late ones in each.
    assert!((35..=50).contains(&refused), "{refused}");
    assert_eq!(batcher.hopeless(millis(10)), []);
}

/// Guards against late answers that hold up those that can be in time.
#[test]
fn late_pieces_are_not_ahead_of_any_that_can_be_in_time() {
    let mut batcher = batcher(&["a"]);
    (0..40).for_each(|id| batcher.push(Waiting { due: millis(0), ..piece(id, id, millis(0)) }));
    batcher.push(piece(50, 50, millis(1)));
    let full = batcher.fullness(millis(1));
    assert!(full.at(Lane::Timely(0)) < 0.5, "{full:?}");
    assert!(full.at(Lane::Late) > 3.0, "{full:?}");
}

/// Guards against results of an owner before, whose return makes room that is not there (923 to 1,955 pieces
/// a day found no room on the grown Teranga site while its entries were restarted one by one).
#[test]
fn results_of_an_owner_before_make_no_room() {
    let mut batcher = batcher(&["a"]);
    for id in 0..3 {
        batcher.push(Waiting { bytes: 3_000_000, ..piece(id, id, millis(0)) });
    }
    let batch = batcher.plan(millis(10)).expect("free");
    batcher.ended(millis(300), &batch.server.id, 3, CallEnd::Done { unfit: 0 });
    for handle in ["0", "1", "2"] {
        batcher.made(millis(300), &batch.server.id, ResultKey::from(handle), 3_000_000);
    }
    batcher.freed(&batch.server.id, ResultKey::from("of another"), 9_000_000);
    batcher.push(Waiting { bytes: 3_000_000, ..piece(9, 9, millis(300)) });
    assert!(batcher.plan(millis(310)).is_none(), "all three results still lie there");
}

/// Guards against a full call to a server whose room an owner before may have filled.
#[test]
fn a_server_that_is_taken_over_is_not_filled_at_once() {
    let mut batcher = Batcher::new(SPEC);
    batcher.set_servers(millis(0), &[server("a")]);
    for id in 0..3 {
        batcher.push(Waiting { bytes: 3_000_000, ..piece(id, id, millis(0)) });
    }
    assert_eq!(batcher.plan(millis(10)).expect("free").pieces.len(), 1);
}

proptest! {
    /// Guards against pieces that are sent twice or lost, and against calls beyond the limits.
    #[test]
    fn every_piece_is_sent_once_or_told(
        sizes in prop::collection::vec((1_u64..6, 1_u64..2_000_000, 100_u64..3_000), 1..40),
    ) {
        let mut batcher = batcher(&["a", "b"]);
        let (mut now, mut next, mut seen) = (millis(0), 0, Vec::new());
        let mut open: Vec<(Time, Batch)> = Vec::new();
        let mut arrivals = sizes.into_iter().enumerate();
        for _ in 0..5_000 {
            now = now + Span::from_millis(5);
            if let Some((group, (count, bytes, left))) = arrivals.next() {
                for _ in 0..count {
                    let deadline = now + Span::from_millis(left);
                    let waiting = Waiting { bytes, deadline, ..piece(next, group as u64, now) };
                    batcher.push(waiting);
                    next += 1;
                }
            }
            seen.extend(batcher.expired(now));
            while let Some(batch) = batcher.plan(now) {
                prop_assert!(batch.pieces.len() <= SPEC.batch);
                let bytes: u64 = batch.pieces.iter().map(|piece| piece.bytes).sum();
                prop_assert!(bytes <= SPEC.result_bytes);
                prop_assert!(open.iter().all(|(_, other)| other.server.id != batch.server.id));
                seen.extend(batch.pieces.iter().map(|piece| piece.id));
                open.push((now + Span::from_millis(300), batch));
            }
            for (_, batch) in open.extract_if(.., |(done, _)| *done <= now) {
                let end = CallEnd::Done { unfit: 0 };
                batcher.ended(now, &batch.server.id, batch.pieces.len(), end);
                for piece in &batch.pieces {
                    let key = ResultKey::from(piece.id.0.to_string().as_str());
                    batcher.made(now, &batch.server.id, key, piece.bytes);
                    batcher.freed(&batch.server.id, key, piece.bytes);
                }
            }
        }
        seen.sort();
        prop_assert_eq!(seen, (0..next).map(PieceId).collect::<Vec<_>>());
    }
}

/// Plays a server whose results are given back half a second after their call, with room for two full calls,
/// and more pieces than it can take. Gives the pieces done in a second.
fn play_short_room(waits: bool) -> f64 {
    let spec = PieceSpec {
        batch: 58,
        piece_time: Span::from_millis(3),
        result_bytes: 121 * 60_000,
        ..SPEC
    };
    let mut batcher = Batcher::new(spec);
    batcher.set_servers(Time::default(), &[server("a")]);
    let (mut next, mut done) = (0_u64, 0_usize);
    let mut open: Option<(Time, Batch)> = None;
    let mut lying: Vec<(Time, u64)> = Vec::new();
    for tick in 0..20_000 {
        let now = millis(tick);
        while batcher.len() < 200 {
            let late = now + Span::from_secs(60);
            let piece = piece(next, next / 8, now);
            batcher.push(Waiting { bytes: 60_000, due: late, deadline: late, ..piece });
            next += 1;
        }
        if let Some((_, batch)) = open.take_if(|(end, _)| *end <= now) {
            batcher.ended(now, &batch.server.id, batch.pieces.len(), CallEnd::Done { unfit: 0 });
            for piece in &batch.pieces {
                batcher.made(
                    now,
                    &batch.server.id,
                    ResultKey::from(&*piece.id.0.to_string()),
                    60_000,
                );
                lying.push((now + Span::from_millis(460), piece.id.0));
            }
            done += batch.pieces.len();
        }
        for (_, id) in lying.extract_if(.., |(at, _)| *at <= now) {
            batcher.freed(&ServerId::from("a"), ResultKey::from(&*id.to_string()), 60_000);
        }
        // Asked long after each call, the batcher takes what fits at once.
        let asked = if waits { now } else { now + Span::from_secs(1) };
        if open.is_none()
            && let Some(batch) = batcher.plan(asked)
        {
            let work = spec.call_time + spec.piece_time * batch.pieces.len() as u64;
            open = Some((now + work, batch));
        }
    }
    done as f64 / 20.0
}

/// The load that waiting for room answers: results fill a server's room before its calls fill its time.
/// Guards the gain: small calls that take nearly as long as full ones.
#[test]
fn a_server_short_of_room_makes_fuller_calls() {
    let (waiting, at_once) = (play_short_room(true), play_short_room(false));
    assert!(waiting > at_once * 1.05, "waiting {waiting:.0}, at once {at_once:.0} a second");
}

/// Guards against large results that cross zones although a server of their zone is free soon, and against
/// a server that stands idle for the sake of zones when its caller can't wait.
#[test]
fn pieces_with_large_results_wait_for_a_server_of_their_zone() {
    let mut batcher = Batcher::new(SPEC);
    let far = AvailabilityZone::from("tvm-b");
    batcher
        .set_servers(Time::default(), &[server("a"), Replica { zone: far.clone(), ..server("b") }]);
    let toward = Some(ZoneKey::from(&far));
    batcher.push(Waiting { toward, ..piece(1, 1, millis(0)) });
    let first = batcher.plan(millis(10)).expect("both are free");
    assert_eq!(first.server.id.as_str(), "b");
    batcher.push(Waiting {
        toward,
        due: millis(10) + Span::from_secs(1),
        ..piece(2, 2, millis(10))
    });
    assert!(batcher.plan(millis(20)).is_none(), "its own zone's server is free in time");
    let pressed = millis(10) + Span::from_secs(1) - Span::from_millis(320);
    let second = batcher.plan(pressed).expect("it can't wait");
    assert_eq!(second.server.id.as_str(), "a");
}

/// Guards against late requests that fill the calls of a later stage and make all others late, and against
/// results that take the room of an earlier stage while their request waits behind all others.
#[test]
fn late_pieces_go_behind_unless_their_inputs_take_much_room() {
    let mut batcher = batcher(&["a"]);
    let late = |id| Waiting { due: millis(0), ..piece(id, id, millis(0)) };
    (0..10).for_each(|id| batcher.push(late(id)));
    (10..20).for_each(|id| batcher.push(piece(id, id, millis(0))));
    batcher.push(Waiting { holding: true, ..late(20) });
    let batch = batcher.plan(millis(10)).expect("free");
    let chosen = groups(&batch);
    assert!(chosen.contains(&20), "{chosen:?}");
    assert_eq!(chosen.iter().filter(|id| **id < 10).count(), 2, "{chosen:?}");
}
