//! A side that leaves.

mod common;

use common::*;
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Side, SideAction, SideSettings};
use rstest::rstest;

fn side(slots: u32) -> Side {
    Side::new(RUN, SideSettings { slots, ..SideSettings::default() })
}

/// Guards against cutting off running work, and against keeping waiting work that another server
/// could run.
#[rstest]
#[case(Effect::Idempotent)]
#[case(Effect::Once)]
fn drain_hands_back_what_waits_and_finishes_what_runs(#[case] effect: Effect) {
    let mut side = side(1);
    side.dispatch(Time(0), &dispatch(attempt(1, 0), effect));
    side.dispatch(Time(0), &dispatch(attempt(2, 0), effect));
    assert_eq!(side.drain(), [SideAction::Refuse(attempt(2, 0), Refusal::Draining)]);
    let end = side.finish(Time(1), attempt(1, 0), Outcome::Finished);
    assert_eq!(end, [SideAction::Drained]);
}

/// Guards against new work on a leaving server.
#[rstest]
fn draining_side_takes_no_work() {
    let mut side = side(1);
    assert_eq!(side.drain(), [SideAction::Drained]);
    assert!(side.report(Time(0)).draining);
    let refused = SideAction::Refuse(attempt(1, 0), Refusal::Draining);
    assert_eq!(side.dispatch(Time(0), &dispatch(attempt(1, 0), Effect::Idempotent)), [refused]);
}

/// Guards against running work that was handed back and has been claimed for another server.
#[rstest]
fn handed_back_attempt_is_never_started() {
    let mut side = side(1);
    side.dispatch(Time(0), &dispatch(attempt(1, 0), Effect::Once));
    side.dispatch(Time(0), &dispatch(attempt(2, 0), Effect::Once));
    side.set_down(Time(1), true);
    side.set_down(Time(2), false);
    assert_eq!(side.finish(Time(3), attempt(1, 0), Outcome::Finished), []);
    assert_eq!(side.forbid(attempt(2, 0), RUN), AttemptStatus::Forbidden);
}

/// Guards against losing the outcome of work that ended while the side was leaving.
#[rstest]
fn ends_are_kept_while_draining() {
    let mut side = side(1);
    side.dispatch(Time(0), &dispatch(attempt(1, 0), Effect::Once));
    side.drain();
    side.finish(Time(1), attempt(1, 0), Outcome::Finished);
    assert_eq!(side.forbid(attempt(1, 0), RUN), AttemptStatus::Ended(Outcome::Finished));
}

/// Guards against work for a server that the bundle no longer names, against running work that is cut
/// off by that, and against a server that stays out after a later bundle names it again.
#[rstest]
fn unlisted_side_takes_no_work() {
    let mut side = side(1);
    side.dispatch(Time(0), &dispatch(attempt(1, 0), Effect::Idempotent));
    side.dispatch(Time(0), &dispatch(attempt(2, 0), Effect::Idempotent));
    let handed_back = SideAction::Refuse(attempt(2, 0), Refusal::Draining);
    assert_eq!(side.set_listed(Time(1), false), [handed_back]);
    assert!(side.report(Time(1)).draining);
    let refused = SideAction::Refuse(attempt(3, 0), Refusal::Draining);
    assert_eq!(side.dispatch(Time(1), &dispatch(attempt(3, 0), Effect::Idempotent)), [refused]);
    assert_eq!(side.finish(Time(2), attempt(1, 0), Outcome::Finished), []);
    assert_eq!(side.set_listed(Time(3), true), []);
    let started = SideAction::Start(attempt(4, 0));
    assert_eq!(side.dispatch(Time(3), &dispatch(attempt(4, 0), Effect::Idempotent)), [started]);
}
