//! Draining and delisting of a sidecar.

mod common;

use common::*;
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Sidecar, SidecarAction, SidecarSettings};
use rstest::rstest;

fn side(slots: u32) -> Sidecar {
    Sidecar::new(INITIAL_INCARNATION, SidecarSettings { slots, ..SidecarSettings::default() })
}

/// Guards against aborting running work on drain, and against keeping queued work that another server could
/// run.
#[rstest]
#[case(Effect::Idempotent)]
#[case(Effect::Once)]
fn drain_refuses_queued_and_finishes_running(#[case] effect: Effect) {
    let mut side = side(1);
    side.dispatch(Time(0), &dispatch(attempt(1, 0), effect));
    side.dispatch(Time(0), &dispatch(attempt(2, 0), effect));
    assert_eq!(side.drain(), [SidecarAction::Refuse(attempt(2, 0), Refusal::Draining)]);
    let end = side.finish(Time(1), attempt(1, 0), Outcome::Finished);
    assert_eq!(end, [SidecarAction::Drained]);
}

/// Guards against accepting new work while draining.
#[rstest]
fn draining_side_takes_no_work() {
    let mut side = side(1);
    assert_eq!(side.drain(), [SidecarAction::Drained]);
    assert!(side.report(Time(0)).draining);
    let refused = SidecarAction::Refuse(attempt(1, 0), Refusal::Draining);
    assert_eq!(side.dispatch(Time(0), &dispatch(attempt(1, 0), Effect::Idempotent)), [refused]);
}

/// Guards against starting work that was returned to its entry and may have been claimed for another server.
#[rstest]
fn returned_attempt_is_never_started() {
    let mut side = side(1);
    side.dispatch(Time(0), &dispatch(attempt(1, 0), Effect::Once));
    side.dispatch(Time(0), &dispatch(attempt(2, 0), Effect::Once));
    side.set_down(Time(1), true);
    side.set_down(Time(2), false);
    assert_eq!(side.finish(Time(3), attempt(1, 0), Outcome::Finished), []);
    assert_eq!(side.forbid(attempt(2, 0), INITIAL_INCARNATION), AttemptStatus::Forbidden);
}

/// Guards against losing the outcome of work that ended during a drain.
#[rstest]
fn outcomes_are_retained_while_draining() {
    let mut side = side(1);
    side.dispatch(Time(0), &dispatch(attempt(1, 0), Effect::Once));
    side.drain();
    side.finish(Time(1), attempt(1, 0), Outcome::Finished);
    assert_eq!(
        side.forbid(attempt(1, 0), INITIAL_INCARNATION),
        AttemptStatus::Ended(Outcome::Finished)
    );
}

/// Guards against accepting work for a server that the bundle no longer lists, against aborting its running
/// work, and against a server that stays excluded after a later bundle lists it again.
#[rstest]
fn unlisted_side_takes_no_work() {
    let mut side = side(1);
    side.dispatch(Time(0), &dispatch(attempt(1, 0), Effect::Idempotent));
    side.dispatch(Time(0), &dispatch(attempt(2, 0), Effect::Idempotent));
    let refused_queued = SidecarAction::Refuse(attempt(2, 0), Refusal::Draining);
    assert_eq!(side.set_listed(Time(1), false), [refused_queued]);
    assert!(side.report(Time(1)).draining);
    let refused = SidecarAction::Refuse(attempt(3, 0), Refusal::Draining);
    assert_eq!(side.dispatch(Time(1), &dispatch(attempt(3, 0), Effect::Idempotent)), [refused]);
    assert_eq!(side.finish(Time(2), attempt(1, 0), Outcome::Finished), []);
    assert_eq!(side.set_listed(Time(3), true), []);
    let started = SidecarAction::Start(attempt(4, 0));
    assert_eq!(side.dispatch(Time(3), &dispatch(attempt(4, 0), Effect::Idempotent)), [started]);
}
