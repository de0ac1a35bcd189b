//! Tests of the load balancer of a pool.
#![allow(clippy::unwrap_used, reason = "clippy exempts only test functions")]

use damaskweir_core::policy::Policy;
use damaskweir_core::prelude::*;
use damaskweir_core::route::{Requirements, Router};
use rand_core::SeedableRng as _;
use rstest::rstest;
use std::collections::BTreeMap;

const ESTIMATE: Span = Span::from_millis(100);

fn servers(count: usize, zones: &[&str]) -> Vec<BackendServer> {
    (0..count)
        .map(|i| BackendServer {
            id: format!("m-{i:03}").as_str().into(),
            zone: zones[i % zones.len()].into(),
            side: ([127, 0, 0, 1], 1).into(),
            slots: 8,
        })
        .collect()
}

fn report(serial: u64, running: u32, wait: Span) -> Report {
    Report {
        incarnation: Incarnation(1),
        serial,
        version: Version(1),
        queued: 0,
        running,
        limit: 8,
        wait,
        draining: false,
    }
}

/// A router with open connections to idle servers.
fn router(servers: &[BackendServer]) -> Router {
    let mut router = Router::with_policy("z0".into(), Policy::Damaskweir, 1);
    router.set_servers(servers);
    for server in servers {
        router.set_connected(Time(0), &server.id, true);
        router.record_report(&server.id, report(1, 0, Span::ZERO));
    }
    router
}

fn requirements(avoid: &[ServerId]) -> Requirements<'_> {
    Requirements { estimate: ESTIMATE, prefix: None, avoid, probe: false }
}

fn attempt(serial: u64) -> AttemptId {
    AttemptId { request: RequestId { entry: Incarnation(1), serial }, stage: 0, number: 0 }
}

fn count_choices(
    router: &Router,
    now: Time,
    requirements: &Requirements<'_>,
    draws: u32,
) -> BTreeMap<ServerId, u32> {
    let mut rng = Rng::seed_from_u64(3);
    let mut counts = BTreeMap::new();
    for _ in 0..draws {
        let choice = router.choose(now, &mut rng, requirements).unwrap();
        *counts.entry(choice.server).or_default() += 1;
    }
    counts
}

/// Runs sequential attempts on each server for two seconds. On the first `slow` servers they take
/// five times the estimate.
fn run_attempts(router: &mut Router, servers: &[BackendServer], slow: usize) -> Time {
    let mut serial = 0;
    for round in 0..20u64 {
        let begin = Time(round * ESTIMATE.0);
        for (i, server) in servers.iter().enumerate() {
            serial += 1;
            router.record_dispatch(begin, &server.id, attempt(serial), ESTIMATE, None);
            let took = if i < slow { ESTIMATE * 5 } else { ESTIMATE };
            router.record_completion(begin + took, &server.id, attempt(serial), false);
        }
    }
    Time(20 * ESTIMATE.0)
}

/// Guards against relying on delayed reports. A slow server must be detected from its own response
/// times and get no regular work.
#[rstest]
fn slow_server_is_ejected() {
    let all = servers(12, &["z0"]);
    let mut router = router(&all);
    let now = run_attempts(&mut router, &all, 2);
    assert!(router.is_ejected(&all[0].id) && router.is_ejected(&all[1].id));
    let counts = count_choices(&router, now, &requirements(&[]), 1_000);
    assert!(!counts.contains_key(&all[0].id) && !counts.contains_key(&all[1].id), "{counts:?}");
}

/// Guards against detecting an unresponsive server only when its connection breaks.
#[rstest]
fn silent_server_is_ejected() {
    let all = servers(12, &["z0"]);
    let mut router = router(&all);
    let now = run_attempts(&mut router, &all, 0);
    for serial in 0..4 {
        router.record_dispatch(now, &all[3].id, attempt(1_000 + serial), ESTIMATE, None);
    }
    let later = now + Span::from_millis(1_500);
    router.record_dispatch(later, &all[4].id, attempt(2_000), ESTIMATE, None);
    assert!(router.is_ejected(&all[3].id));
    assert!(!router.is_ejected(&all[4].id));
}

/// Guards against ejecting too much of the pool when most servers are slow.
#[rstest]
#[case(2, 2)]
#[case(5, 4)]
#[case(12, 0)]
fn at_most_a_third_is_ejected(#[case] slow: usize, #[case] most: usize) {
    let all = servers(12, &["z0"]);
    let mut router = router(&all);
    run_attempts(&mut router, &all, slow);
    let ejected = all.iter().filter(|server| router.is_ejected(&server.id)).count();
    assert!(ejected <= most, "{ejected} ejected, at most {most} expected");
}

/// Guards against a server that stays ejected after it recovered, and against sending more than a
/// few probes to one that is still slow.
#[rstest]
fn probes_bring_a_server_back() {
    let all = servers(12, &["z0"]);
    let mut router = router(&all);
    let mut now = run_attempts(&mut router, &all, 1);
    let mut rng = Rng::seed_from_u64(5);
    let probe = Requirements { probe: true, ..requirements(&[]) };
    let mut probes = 0;
    for serial in 0..10_000 {
        now = now + Span::from_millis(2);
        let choice = router.choose(now, &mut rng, &probe).unwrap();
        router.record_dispatch(now, &choice.server, attempt(10_000 + serial), ESTIMATE, None);
        if choice.server == all[0].id {
            probes += 1;
        }
        router.record_completion(now + ESTIMATE, &choice.server, attempt(10_000 + serial), false);
        if !router.is_ejected(&all[0].id) {
            break;
        }
    }
    assert!(!router.is_ejected(&all[0].id), "still ejected after {now:?}");
    assert_eq!(probes, 2);
}

/// Guards against ejecting a healthy server because of a single slow answer.
#[rstest]
fn one_slow_answer_does_not_eject() {
    let all = servers(12, &["z0"]);
    let mut router = router(&all);
    let now = run_attempts(&mut router, &all, 0);
    router.record_dispatch(now, &all[0].id, attempt(9_000), ESTIMATE, None);
    router.record_completion(now + ESTIMATE * 6, &all[0].id, attempt(9_000), false);
    assert!(!router.is_ejected(&all[0].id));
}

/// Guards against long work that makes its server look slow.
#[rstest]
fn long_work_says_nothing_about_pace() {
    let all = servers(12, &["z0"]);
    let mut router = router(&all);
    let now = run_attempts(&mut router, &all, 0);
    router.record_dispatch(now, &all[0].id, attempt(9_000), Span::from_secs(4), None);
    let later = now + Span::from_secs(20);
    router.record_dispatch(later, &all[1].id, attempt(9_001), ESTIMATE, None);
    assert!(!router.is_ejected(&all[0].id));
}

/// Guards against queueing in the entry's own zone while servers in other zones are idle, and
/// against unneeded traffic between zones.
#[rstest]
#[case::idle(Span::ZERO, true)]
#[case::queue(Span::from_millis(500), false)]
fn near_zone_goes_first_unless_it_queues(#[case] near_wait: Span, #[case] near_wins: bool) {
    let all = servers(2, &["z0", "z1"]);
    let mut router = router(&all);
    let running = if near_wait == Span::ZERO { 0 } else { 8 };
    router.record_report(&all[0].id, report(2, running, near_wait));
    let counts = count_choices(&router, Time(0), &requirements(&[]), 1_000);
    let near = counts.get(&all[0].id).copied().unwrap_or(0);
    // With two servers, all three random candidates are the same server in a quarter of the draws.
    assert_eq!(near > 500, near_wins, "{near} of 1000 attempts in the own zone");
}

/// Guards against prefix affinity that is worth a queue to the router, and against affinity that
/// has no effect.
#[rstest]
#[case::idle(Span::ZERO, true)]
#[case::queue(Span::from_millis(30), false)]
fn kept_prefix_attracts_only_without_a_queue(#[case] wait: Span, #[case] attracts: bool) {
    let all = servers(4, &["z0"]);
    let mut router = router(&all);
    router.update_prefix(&all[2].id, 77, true);
    router.record_report(&all[2].id, report(2, if wait == Span::ZERO { 0 } else { 8 }, wait));
    let with_prefix = Requirements { prefix: Some(77), ..requirements(&[]) };
    let counts = count_choices(&router, Time(0), &with_prefix, 1_000);
    let count = counts.get(&all[2].id).copied().unwrap_or(0);
    assert_eq!(count > 400, attracts, "{count} of 1000 attempts to the server with the prefix");
}

/// Guards against a prefix that counts as cached after the server evicted it or restarted.
#[rstest]
#[case::dropped(false)]
#[case::restarted(true)]
fn lost_prefix_does_not_attract(#[case] restarted: bool) {
    let all = servers(4, &["z0"]);
    let mut router = router(&all);
    router.update_prefix(&all[2].id, 77, true);
    if restarted {
        router.set_connected(Time(0), &all[2].id, false);
        router.set_connected(Time(0), &all[2].id, true);
    } else {
        router.update_prefix(&all[2].id, 77, false);
    }
    router.record_report(&all[2].id, report(2, 0, Span::ZERO));
    let with_prefix = Requirements { prefix: Some(77), ..requirements(&[]) };
    let counts = count_choices(&router, Time(0), &with_prefix, 1_000);
    let count = counts.get(&all[2].id).copied().unwrap_or(0);
    assert!(
        (150..350).contains(&count),
        "{count} of 1000 attempts to the server that lost the prefix"
    );
}

/// Guards against connecting to all servers of a large pool, and against a subset that changes
/// entirely when a server is added or removed.
#[rstest]
fn subset_is_bounded_and_stable() {
    let all = servers(400, &["z0", "z1", "z2", "z3"]);
    let mut router = Router::with_policy("z0".into(), Policy::Damaskweir, 1);
    router.set_servers(&all);
    let before: Vec<_> = router.servers().cloned().collect();
    assert!(before.len() <= 24, "{} servers", before.len());
    let near = all.iter().filter(|s| s.zone.as_str() == "z0" && before.contains(&s.id)).count();
    assert!(near >= 12 && near < before.len(), "{near} of {} near", before.len());
    let fewer: Vec<_> = all.iter().filter(|s| s.id != before[0]).cloned().collect();
    router.set_servers(&fewer);
    let stayed = router.servers().filter(|id| before.contains(id)).count();
    assert_eq!(stayed, before.len() - 1);
}

/// Guards against entries that all use the same few servers of a large pool.
#[rstest]
fn entries_spread_over_a_large_pool() {
    let all = servers(200, &["z0", "z1"]);
    let mut used = std::collections::BTreeSet::new();
    for identity in 0..40 {
        let mut router = Router::with_policy("z0".into(), Policy::Damaskweir, identity);
        router.set_servers(&all);
        used.extend(router.servers().cloned());
    }
    assert!(used.len() >= 190, "{} of 200 servers are used", used.len());
}

/// Guards against ignoring a changed zone or slot count in a new bundle.
#[rstest]
fn changed_servers_are_taken_over() {
    let mut all = servers(2, &["z0"]);
    let mut router = router(&all);
    all[0].zone = "z1".into();
    router.set_servers(&all);
    let near = count_choices(&router, Time(0), &requirements(&[]), 1_000)[&all[1].id];
    assert!(near > 500, "{near} of 1000 attempts to the only server in the own zone");
}

/// Guards against sending a second attempt to the server that already has the first.
#[rstest]
fn used_servers_are_avoided() {
    let all = servers(3, &["z0"]);
    let router = router(&all);
    let used = [all[0].id.clone(), all[2].id.clone()];
    let counts = count_choices(&router, Time(0), &requirements(&used), 100);
    assert_eq!(counts.into_keys().collect::<Vec<_>>(), [all[1].id.clone()]);
}
