//! Tests of what servers say about further requests.
#![allow(clippy::expect_used, reason = "the lint only exempts test functions")]

use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::standing::{Announcement, Change, MAX_BACKOFF, Standing, Standings};
use damaskweir_core::time::{Span, Time};
use proptest::prelude::*;

const fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn server(started: u64, port: u16) -> Replica {
    Replica {
        id: ServerId::from("i-1"),
        pool: PoolId::from("orders"),
        address: ([127, 0, 0, 1], port).into(),
        zone: AvailabilityZone::from("a"),
        slots: 6,
        leaving: false,
        started: Some(started),
        warmup: None,
    }
}

fn leaves() -> Announcement {
    Announcement { leaving: true, ..Announcement::default() }
}

fn asks(millis: u64) -> Announcement {
    Announcement { backoff: Some(Span::from_millis(millis)), ..Announcement::default() }
}

fn record(
    standings: &mut Standings,
    now: Time,
    server: &Replica,
    said: Announcement,
) -> Vec<Change> {
    standings.record(now, server, said, Span::ZERO)
}

/// Guards against a leaving that another process under the same id, or at the same address, takes over.
#[test]
fn leaving_is_that_of_one_process() {
    let mut standings = Standings::default();
    assert_eq!(record(&mut standings, at(0), &server(1, 80), leaves()), vec![Change::Leaving]);
    assert_eq!(record(&mut standings, at(1), &server(1, 80), leaves()), vec![]);
    assert_eq!(record(&mut standings, at(2), &server(1, 80), Announcement::default()), vec![]);
    assert_eq!(standings.standing(at(3), &server(1, 80)), Standing::Leaving);
    assert_eq!(standings.standing(at(3), &server(2, 80)), Standing::Open);
    assert_eq!(standings.standing(at(3), &server(1, 81)), Standing::Open);
    let other = Replica { id: ServerId::from("i-2"), ..server(1, 80) };
    assert_eq!(standings.standing(at(3), &other), Standing::Open);
}

/// Guards against a leaving that is forgotten while a list names the process, and against records of
/// processes that are long gone.
#[test]
fn leaving_is_kept_while_the_process_is_listed() {
    let mut standings = Standings::default();
    record(&mut standings, at(0), &server(1, 80), leaves());
    let later = at(3_600_000);
    standings.expire(later, |_| true);
    assert_eq!(standings.standing(later, &server(1, 80)), Standing::Leaving);
    standings.expire(later, |_| false);
    assert_eq!(standings.leaving().count(), 0);
}

/// Guards against a later, shorter time that ends an earlier one, and against one without end.
#[test]
fn longest_time_that_a_server_asked_for_holds() {
    let (mut standings, server) = (Standings::default(), server(1, 80));
    let began = record(&mut standings, at(0), &server, asks(2_000));
    assert_eq!(began, vec![Change::BackoffBegan(Span::from_millis(2_000))]);
    assert_eq!(record(&mut standings, at(500), &server, asks(100)), vec![]);
    record(&mut standings, at(900), &server, Announcement::default());
    assert_eq!(standings.standing(at(1_999), &server), Standing::Backoff(at(2_000)));
    record(&mut standings, at(1_500), &server, asks(1_000));
    assert_eq!(standings.standing(at(2_499), &server), Standing::Backoff(at(2_500)));
    record(&mut standings, at(1_600), &server, asks(u64::MAX / 2_000));
    let longest = at(1_600) + MAX_BACKOFF;
    assert_eq!(standings.standing(at(3_000), &server), Standing::Backoff(longest));
}

/// Guards against all requests that return together, and against a return that never ends.
#[test]
fn requests_return_in_growing_numbers() {
    let (mut standings, server) = (Standings::default(), server(1, 80));
    record(&mut standings, at(0), &server, asks(1_000));
    let mut now = at(1_000);
    for pause in [200_000, 100_000, 50_000, 25_000, 12_500] {
        assert_eq!(standings.standing(now, &server), Standing::Open);
        standings.record_send(now, &server);
        let next = now + Span(pause);
        assert_eq!(standings.standing(now, &server), Standing::Backoff(next));
        assert!(!standings.declines(now, &server), "the request that was just permitted");
        now = next;
        let changes = record(&mut standings, now, &server, Announcement::default());
        let lasted = now.since(at(0));
        let ended = if pause == 12_500 { vec![Change::BackoffEnded { lasted }] } else { vec![] };
        assert_eq!(changes, ended);
    }
    standings.record_send(now, &server);
    assert_eq!(standings.standing(now, &server), Standing::Open);
    record(&mut standings, at(2_000), &server, asks(1_000));
    record(&mut standings, at(3_000), &server, Announcement::default());
    record(&mut standings, at(3_100), &server, asks(500));
    standings.record_send(at(3_700), &server);
    let next = Standing::Backoff(at(3_900));
    assert_eq!(standings.standing(at(3_700), &server), next, "it asked again");
    standings.expire(at(70_000), |_| true);
    assert_eq!(standings.standing(at(70_000), &server), Standing::Open);
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Answer { started: u64, leaving: bool, backoff: Option<u64> },
    Expire { listed: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let backoff = proptest::option::of(0_u64..5_000);
    prop_oneof![
        (0_u64..3_000).prop_map(Step::Wait),
        (1_u64..4, any::<bool>(), backoff).prop_map(|(started, leaving, backoff)| Step::Answer {
            started,
            leaving,
            backoff
        }),
        (0_u64..4).prop_map(|listed| Step::Expire { listed }),
    ]
}

proptest! {
    /// Guards against any order of answers, lists, later processes and pauses in which a request is sent to a
    /// process that wants none, or none to one that never said so.
    #[test]
    fn standing_follows_what_each_process_said(steps in proptest::collection::vec(step(), 1..60)) {
        let mut standings = Standings::default();
        let mut now = at(0);
        let (mut leaving, mut until, mut silent) = ([false; 4], [at(0); 4], [true; 4]);
        for step in steps {
            match step {
                Step::Wait(millis) => now = now + Span::from_millis(millis),
                Step::Answer { started, leaving: leaves, backoff } => {
                    let said = Announcement {
                        leaving: leaves,
                        backoff: backoff.map(Span::from_millis),
                        invalid: None,
                    };
                    let n = usize::try_from(started).expect("small");
                    silent[n] &= said == Announcement::default();
                    leaving[n] |= leaves;
                    let end = backoff.map_or(at(0), |wait| now + Span::from_millis(wait));
                    until[n] = until[n].max(end);
                    record(&mut standings, now, &server(started, 80), said);
                }
                Step::Expire { listed } => standings.expire(now, |s| s.started == Some(listed)),
            }
            for started in 1..4 {
                let n = usize::try_from(started).expect("small");
                let accepts = standings.accepts(now, &server(started, 80));
                prop_assert_eq!(accepts, !leaving[n] && now >= until[n]);
                prop_assert_eq!(standings.declines(now, &server(started, 80)), !accepts);
                if silent[n] {
                    prop_assert_eq!(standings.standing(now, &server(started, 80)), Standing::Open);
                }
            }
        }
    }
}
