//! Tests of the distribution of bundle versions and of status reports.

#![allow(clippy::panic, reason = "test helpers")]

use damaskweir_core::epoch::{Epoch, EpochAction, EpochSettings, Source, is_watcher};
use damaskweir_core::prelude::*;
use damaskweir_core::report::{StatusAction, StatusReporter};
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

const ONE: Source = Source::Peer(Incarnation(1));
const TWO: Source = Source::Peer(Incarnation(2));

fn at(millis: u64) -> Time {
    Time(0) + Span::from_millis(millis)
}

fn rng() -> Rng {
    Rng::seed_from_u64(9)
}

fn epoch() -> Epoch {
    Epoch::new(Time(0), Incarnation(9), EpochSettings::SIDE)
}

/// The current version must not decrease, whether a lower one is installed or advertised.
#[test]
fn current_version_never_decreases() {
    let mut epoch = epoch();
    assert!(epoch.install(Version(5)));
    assert!(!epoch.install(Version(5)));
    assert!(!epoch.install(Version(4)));
    assert_eq!(epoch.current(), Version(5));
    assert_eq!(epoch.advertised(at(1), ONE, Version(5)), None);
    assert_eq!(epoch.advertised(at(1), ONE, Version(4)), None);
    assert_eq!(epoch.pulling(), None);
}

/// Guards against losing a version that is advertised while another one is pulled.
#[test]
fn version_shown_during_pull_is_pulled_next() {
    let mut epoch = epoch();
    let pull = epoch.advertised(at(0), ONE, Version(2));
    assert_eq!(pull, Some(EpochAction::Pull(ONE, Version(2))));
    assert_eq!(epoch.advertised(at(1), TWO, Version(3)), None);
    assert!(epoch.install(Version(2)));
    let actions = epoch.tick(at(2), &mut rng());
    assert!(actions.contains(&EpochAction::Pull(TWO, Version(3))), "{actions:?}");
}

/// Guards against an unresponsive source that blocks the others, and against retrying a failed source
/// before it advertises a version again.
#[test]
fn failed_source_gives_way_to_the_next() {
    let mut epoch = epoch();
    epoch.advertised(at(0), ONE, Version(3));
    epoch.advertised(at(0), TWO, Version(2));
    let mut rng = rng();
    assert!(!epoch.tick(at(499), &mut rng).iter().any(|a| matches!(a, EpochAction::Pull(..))));
    let actions = epoch.tick(at(500), &mut rng);
    assert!(actions.contains(&EpochAction::Pull(TWO, Version(2))), "{actions:?}");
    // The timeout doubles after the first failure.
    assert_eq!(epoch.tick(at(1_499), &mut rng), []);
    assert_eq!(epoch.source_failed(at(1_500), TWO), None);
    assert_eq!(epoch.tick(at(1_600), &mut rng), []);
    let again = epoch.advertised(at(1_700), ONE, Version(3));
    assert_eq!(again, Some(EpochAction::Pull(ONE, Version(3))));
}

/// Guards against a timeout of a slow pull whose parts keep arriving.
#[test]
fn progress_extends_a_pull() {
    let mut epoch = epoch();
    epoch.advertised(at(0), ONE, Version(2));
    let mut rng = rng();
    for step in 1..10 {
        epoch.progress(at(step * 400));
        epoch.tick(at(step * 400 + 399), &mut rng);
        assert_eq!(epoch.pulling(), Some((ONE, Version(2))));
    }
}

/// Guards against a pull that continues from a disconnected peer.
#[test]
fn pull_ends_with_the_connection() {
    let mut epoch = epoch();
    epoch.connected(Incarnation(1));
    epoch.advertised(at(0), ONE, Version(2));
    epoch.advertised(at(0), TWO, Version(2));
    let next = epoch.disconnected(at(1), Incarnation(1));
    let (pulled, _) = epoch.pulling().unwrap_or((ONE, Version(0)));
    assert_eq!(pulled, TWO, "{next:?}");
}

/// Guards against a restarted node that accepts work without a bundle, or with an older one than the
/// store or its peers have.
#[rstest]
#[case::store_up(true)]
#[case::store_down(false)]
fn restarted_node_catches_up_first(#[case] store: bool) {
    let mut epoch = epoch();
    let mut rng = rng();
    assert!(epoch.tick(at(0), &mut rng).contains(&EpochAction::Poll));
    epoch.connected(Incarnation(1));
    epoch.connected(Incarnation(2));
    epoch.advertised(at(10), ONE, Version(4));
    epoch.install(Version(4));
    assert!(!epoch.ready(), "the store has not answered");
    if store {
        epoch.advertised(at(50), Source::Store, Version(6));
        epoch.polled(at(50), &mut rng);
        assert!(!epoch.ready(), "the store has a higher version");
        epoch.install(Version(6));
        assert!(epoch.ready());
    } else {
        epoch.poll_failed(at(50), &mut rng);
        assert!(!epoch.ready(), "other peers may still connect");
        epoch.advertised(at(60), TWO, Version(5));
        epoch.tick(at(1_000), &mut rng);
        assert!(!epoch.ready(), "a peer has a higher version");
        epoch.install(Version(5));
        assert!(epoch.ready());
    }
}

/// Guards against a node that becomes ready without having reached the store or a peer.
#[test]
fn isolated_node_is_not_ready() {
    let mut epoch = epoch();
    let mut rng = rng();
    for step in 0..200 {
        let now = at(step * 500);
        if epoch.tick(now, &mut rng).contains(&EpochAction::Poll) {
            epoch.poll_failed(now, &mut rng);
        }
    }
    assert!(!epoch.ready());
}

/// Guards against a timer that is always due, which would make the process spin.
#[test]
fn next_tick_lies_ahead() {
    let mut epoch = epoch();
    let mut rng = rng();
    let mut now = at(0);
    epoch.connected(Incarnation(1));
    for step in 0..2_000u64 {
        for action in epoch.tick(now, &mut rng) {
            match action {
                EpochAction::Poll if step % 3 == 0 => epoch.polled(now, &mut rng),
                EpochAction::Poll if step % 3 == 1 => epoch.poll_failed(now, &mut rng),
                _ => {}
            }
        }
        if step % 5 == 0 {
            epoch.advertised(now, ONE, Version(step));
        }
        if step % 7 == 0 {
            epoch.install(Version(step));
            epoch.tick(now, &mut rng);
        }
        assert!(epoch.next_tick() > now, "step {step}");
        now = epoch.next_tick();
    }
}

/// Guards against synchronized polls of different nodes.
#[test]
fn polls_are_spread_out() {
    let mut rng = rng();
    let mut firsts = Vec::new();
    for node in 0..200 {
        let mut epoch = Epoch::new(Time(0), Incarnation(node), EpochSettings::ENTRY);
        epoch.install(Version(1));
        epoch.tick(at(0), &mut rng);
        epoch.polled(at(50), &mut rng);
        firsts.push(epoch.next_tick().min(at(1_000_000)));
        epoch.tick(at(1_000), &mut rng);
        let next = epoch.next_tick();
        assert!(next >= at(30_050) && next <= at(90_050), "{next:?}");
        firsts.push(next);
    }
    firsts.sort();
    firsts.dedup();
    assert!(firsts.len() > 190, "{} different times", firsts.len());
}

/// Guards against a zone with no watcher, or in which all entries watch.
#[test]
fn two_entries_of_a_zone_watch() {
    for size in 1..30usize {
        let live: Vec<InstanceId> =
            (0..size).map(|i| format!("entry-{i}").as_str().into()).collect();
        let watchers: Vec<_> = live.iter().filter(|me| is_watcher(me, &live)).collect();
        assert_eq!(watchers.len(), size.min(2));
        // When one watcher fails, the other remains and one more takes over.
        if size > 2 {
            let rest: Vec<_> = live.iter().filter(|id| *id != watchers[0]).collect();
            let now: Vec<_> =
                rest.iter().filter(|me| is_watcher(me, rest.iter().copied())).collect();
            assert_eq!(now.len(), 2);
            assert!(now.iter().any(|id| **id == watchers[1]));
        }
    }
}

/// Guards against a failed watch that is never reopened, or opened twice.
#[test]
fn failed_watch_is_opened_again() {
    let mut epoch = epoch();
    let mut rng = rng();
    assert_eq!(epoch.set_watcher(true), Some(EpochAction::Watch));
    assert_eq!(epoch.set_watcher(true), None);
    epoch.watch_failed(at(0), &mut rng);
    assert_eq!(epoch.set_watcher(true), None);
    let actions = epoch.tick(at(5_000), &mut rng);
    assert!(actions.contains(&EpochAction::Watch), "{actions:?}");
    assert!(!epoch.tick(at(5_001), &mut rng).contains(&EpochAction::Watch));
    assert_eq!(epoch.set_watcher(false), Some(EpochAction::Unwatch));
    epoch.watch_failed(at(6_000), &mut rng);
    assert!(!epoch.tick(at(100_000), &mut rng).contains(&EpochAction::Watch));
}

/// Guards against writing the status record on every one of many changes, or never.
#[test]
fn status_writes_keep_their_rate() {
    let mut reporter = StatusReporter::new(Time(0));
    let mut rng = rng();
    let (mut writes, mut renewals, mut last) = (0, 0, None);
    for second in 0..3_600u64 {
        let now = Time(0) + Span::from_secs(second);
        match reporter.tick(now, &mut rng, second / 3) {
            Some(StatusAction::Write) => {
                if let Some(last) = last {
                    assert!(second - last >= 60, "written {} s after the last", second - last);
                }
                last = Some(second);
                writes += 1;
            }
            Some(StatusAction::Renew) => renewals += 1,
            None => {}
        }
    }
    assert!((40..=60).contains(&writes), "{writes} writes");
    assert!((30..=45).contains(&renewals), "{renewals} renewals");
    // A failed write is repeated even without a change.
    let quiet = reporter.tick(Time(0) + Span::from_secs(4_000), &mut rng, 1_199);
    reporter.write_failed();
    let later = Time(0) + Span::from_secs(4_200);
    let again: Vec<_> = (0..100)
        .filter_map(|s| reporter.tick(later + Span::from_secs(s), &mut rng, 1_199))
        .collect();
    assert!(again.contains(&StatusAction::Write), "{quiet:?} {again:?}");
}
