//! Tests of the gathering of pieces into calls.

use damaskweir_core::batch::{Batch, Batcher, CallEnd, PieceId, Waiting};
use damaskweir_core::catalog::PieceSpec;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::time::{Span, Time};
use proptest::prelude::*;

const SPEC: PieceSpec = PieceSpec {
    slots: 1,
    queue: 2,
    batch: 10,
    call: Span::from_millis(200),
    item: Span::from_millis(10),
    room: 10_000_000,
    keep: Span::from_secs(4),
};

fn server(id: &str) -> Replica {
    Replica {
        id: ServerId::from(id),
        pool: PoolId::from("catalog"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: AvailabilityZone::from("tvm-a"),
        slots: 1,
        leaving: false,
        born: Some(1),
    }
}

fn piece(id: u64, group: u64, at: Time) -> Waiting {
    Waiting {
        id: PieceId(id),
        group,
        due: at + Span::from_secs(1),
        deadline: at + Span::from_secs(6),
        bytes: 100_000,
        arrived: at,
    }
}

fn millis(n: u64) -> Time {
    Time::default() + Span::from_millis(n)
}

fn batcher(servers: &[&str]) -> Batcher {
    let mut batcher = Batcher::new(SPEC);
    batcher.set_servers(&servers.iter().map(|id| server(id)).collect::<Vec<_>>());
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
    batcher.ended(millis(210), &first.server.id, 1, CallEnd::Done { roomy: true });
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
    batcher.ended(millis(300), &batch.server.id, 3, CallEnd::Done { roomy: true });
    assert!(batcher.plan(millis(300)).is_none(), "the results still lie there");
    batcher.freed(&batch.server.id, 3_000_000);
    assert_eq!(batcher.plan(millis(301)).expect("room again").pieces.len(), 1);
}

/// Guards against room that is lost for good with an entry that ends before it gives its results back
/// (inc-981f of Teranga's site: one owner was ten rounds full for ten seconds).
#[test]
fn results_that_are_never_given_back_free_their_room_in_time() {
    let mut batcher = batcher(&["a"]);
    let large = |id, at| Waiting { bytes: 9_000_000, ..piece(id, id, at) };
    batcher.push(large(1, millis(0)));
    let batch = batcher.plan(millis(10)).expect("free");
    batcher.ended(millis(300), &batch.server.id, 1, CallEnd::Done { roomy: true });
    batcher.push(large(2, millis(300)));
    assert!(batcher.plan(millis(1_000)).is_none(), "no room");
    let gone = millis(300) + SPEC.keep + Span::from_secs(1);
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
    assert!(full < 2.0, "{full}");
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
                prop_assert!(bytes <= SPEC.room);
                prop_assert!(open.iter().all(|(_, other)| other.server.id != batch.server.id));
                seen.extend(batch.pieces.iter().map(|piece| piece.id));
                open.push((now + Span::from_millis(300), batch));
            }
            for (_, batch) in open.extract_if(.., |(done, _)| *done <= now) {
                let end = CallEnd::Done { roomy: true };
                batcher.ended(now, &batch.server.id, batch.pieces.len(), end);
                batch.pieces.iter().for_each(|p| batcher.freed(&batch.server.id, p.bytes));
            }
        }
        seen.sort();
        prop_assert_eq!(seen, (0..next).map(PieceId).collect::<Vec<_>>());
    }
}
