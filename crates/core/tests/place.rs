//! Tests of the choice of a server for a whole request, and of the budget of repeats.
#![allow(clippy::expect_used, reason = "the lint knows only test functions")]

use damaskweir_core::Rng;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::place::{Ending, Need, Part, Placer};
use damaskweir_core::time::{Span, Time};
use damaskweir_core::window::WindowBudget;
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeSet;

fn replica(id: &str, zone: &str) -> Replica {
    Replica {
        id: ServerId::from(id),
        pool: PoolId::from("pool"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: AvailabilityZone::from(zone),
        slots: 8,
        leaving: false,
        started: Some(1),
    }
}

fn placer(engine: bool, count: usize) -> Placer {
    let mut placer = Placer::new(AvailabilityZone::from("a"), engine, Span::from_millis(60));
    (0..count).for_each(|n| placer.add(replica(&format!("s{n:02}"), "a")));
    placer
}

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn choose(placer: &Placer, now: Time, need: &Need<'_>) -> String {
    let mut rng = Rng::seed_from_u64(7);
    placer.choose(now, &mut rng, need).expect("a server is there").id.to_string()
}

/// Guards against a shared prompt that is read at a different engine from each entry.
#[test]
fn entries_send_a_shared_prompt_to_the_same_engine() {
    let (one, other) = (placer(true, 12), placer(true, 12));
    for id in 0..30 {
        let parts = [Part { id: 1, tokens: 2_000 }, Part { id: id + 10, tokens: 4_000 }];
        let last = |own| [parts[0], parts[1], Part { id: own, tokens: 100 }];
        let first = choose(&one, at(0), &Need { parts: &last(1_000 + id), ..Need::default() });
        let second = choose(&other, at(0), &Need { parts: &last(2_000 + id), ..Need::default() });
        assert_eq!(first, second);
    }
}

/// Guards against prompts of all kinds that end up at one engine.
#[test]
fn different_prompts_are_spread() {
    let placer = placer(true, 12);
    let choices: BTreeSet<_> = (0..60)
        .map(|id| {
            let parts = [Part { id, tokens: 4_000 }, Part { id: 9_999 + id, tokens: 100 }];
            choose(&placer, at(0), &Need { parts: &parts, ..Need::default() })
        })
        .collect();
    assert!(choices.len() >= 10, "{choices:?}");
}

/// Guards against long prompts that queue behind each other while other engines are idle.
#[test]
fn prompts_that_are_being_read_count() {
    let mut placer = placer(true, 3);
    let long = [Part { id: 5, tokens: 9_000 }, Part { id: 6, tokens: 9_000 }];
    let busy =
        ServerId::from(choose(&placer, at(0), &Need { parts: &long, ..Need::default() }).as_str());
    let unread = placer.sent(at(0), &busy, &long);
    assert_eq!(unread, 18_000);
    let short = [Part { id: 5, tokens: 9_000 }, Part { id: 7, tokens: 50 }];
    assert_ne!(choose(&placer, at(1), &Need { parts: &short, ..Need::default() }), busy.as_str());
    placer.answered(at(300), &busy, unread, Span::from_millis(300), "draft");
    assert_eq!(choose(&placer, at(301), &Need { parts: &short, ..Need::default() }), busy.as_str());
}

/// Guards against a server whose health is good but which fails its requests, and against one that is
/// left out for good after it has recovered.
#[test]
fn failing_servers_are_left_and_tried_again() {
    let mut placer = placer(false, 2);
    let bad = ServerId::from("s00");
    for n in 0..4 {
        placer.sent(at(n), &bad, &[]);
        placer.ended(at(n), &bad, &[], 0, Ending::Failed);
    }
    assert!((10..200).all(|n| choose(&placer, at(n), &Need::default()) == "s01"));
    let busy = (0..4).map(|_| placer.sent(at(60_000), &ServerId::from("s01"), &[])).count();
    assert_eq!(busy, 4);
    assert_eq!(choose(&placer, at(60_000), &Need::default()), "s00");
}

/// Guards against refusing work because every server rests, for instance after this entry was cut off.
#[test]
fn a_resting_server_is_better_than_none() {
    let mut placer = placer(false, 1);
    let id = ServerId::from("s00");
    placer.sent(at(0), &id, &[]);
    placer.ended(at(0), &id, &[], 0, Ending::Silent);
    assert_eq!(choose(&placer, at(1), &Need::default()), "s00");
}

/// Guards against more connections to a server than it accepts, and against a second run where the first
/// one was.
#[test]
fn limits_of_the_need_hold() {
    let mut placer = placer(false, 2);
    let mut rng = Rng::seed_from_u64(7);
    placer.sent(at(0), &ServerId::from("s00"), &[]);
    let avoid = [ServerId::from("s01")];
    let need = Need { most: 1, avoid: &avoid, ..Need::default() };
    assert!(placer.choose(at(1), &mut rng, &need).is_none());
}

/// Guards against a change of the configuration that forgets what is known of servers.
#[test]
fn a_server_that_is_listed_again_keeps_its_record() {
    let mut placer = placer(false, 1);
    placer.sent(at(0), &ServerId::from("s00"), &[]);
    placer.add(replica("s00", "a"));
    assert_eq!(placer.load().0, 1);
}

/// Guards against repeats beyond what all entries together may spend in any window.
#[test]
fn budgets_of_all_entries_stay_below_the_allowance() {
    let (entries, ratio, slack) = (4, 0.2, 54.0);
    let mut budgets: Vec<_> =
        (0..entries).map(|_| WindowBudget::new(ratio, slack, Span::from_secs(10))).collect();
    let mut spent = Vec::new();
    let mut firsts = Vec::new();
    for n in 0..3_000_u64 {
        let now = at(n * 10);
        let budget = &mut budgets[(n % entries as u64) as usize];
        budget.count(now);
        firsts.push(now);
        while budget.withdraw(now, entries) {
            spent.push(now);
        }
    }
    let within = |times: &[Time], end: Time| {
        times.iter().filter(|t| **t <= end && end.since(**t) <= Span::from_secs(10)).count() as f64
    };
    for end in (0..30).map(|n| at(n * 1_000)) {
        assert!(within(&spent, end) <= ratio * within(&firsts, end) + slack);
    }
    assert!(spent.len() > 100, "the budget is of use: {}", spent.len());
}

/// Guards against a forecast that takes long prompts for short ones: first parts of one route came after
/// 480 ms where 220 ms were predicted from all routes' mean.
#[test]
fn each_route_has_its_own_usual_time() {
    let mut placer = placer(true, 1);
    let id = ServerId::from("s00");
    for i in 0..200 {
        let (route, first) = if i % 2 == 0 { ("digest", 500) } else { ("chat", 100) };
        placer.answered(at(i), &id, 0, Span::from_millis(first), route);
    }
    assert!(placer.usual("digest") > Span::from_millis(400), "{:?}", placer.usual("digest"));
    assert!(placer.usual("chat") < Span::from_millis(200), "{:?}", placer.usual("chat"));
}
