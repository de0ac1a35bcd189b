//! Many attempts at once while the service fails in all its ways and entries drop attempts.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use crate::support::*;
use bytes::Bytes;
use damaskweir_core::prelude::*;
use damaskweir_standins::service::{Behaviour, Service};
use damaskweir_wire::AttemptMessage;
use rand_chacha::rand_core::{Rng as _, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const ATTEMPTS: u16 = 400;
const ENTRIES: u64 = 4;

/// What an entry knows about an attempt in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    Last(Outcome),
    Refused(Refusal),
    /// Dropped by the entry, or cut off.
    Nothing,
}

async fn follow(entry: &Entry, dispatch: Dispatch, patience: Option<u64>) -> Known {
    let mut attempt = entry.dispatch(&dispatch).await;
    let ended = match patience {
        Some(millis) => {
            tokio::time::timeout(Duration::from_millis(millis), rest(&mut attempt)).await
        }
        None => Ok(rest(&mut attempt).await),
    };
    match ended {
        Ok((_, Some(AttemptMessage::Done(outcome)))) => Known::Last(outcome),
        Ok((_, Some(AttemptMessage::Refused(refusal)))) => Known::Refused(refusal),
        Ok(_) | Err(_) => Known::Nothing,
    }
}

/// What the side knows about an attempt once it neither waits nor runs.
async fn settled(
    entry: &Entry,
    attempt: AttemptId,
    incarnation: Incarnation,
) -> (AttemptStatus, Option<Bytes>) {
    within(async {
        loop {
            let asked = entry.link.forbid(attempt, incarnation).await.unwrap();
            if asked.0 != AttemptStatus::Running {
                return asked;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
}

fn behave(rng: &mut Rng) -> Behaviour {
    let mut behaviour =
        Behaviour { delay: Duration::from_millis(rng.next_u64() % 8), ..Behaviour::default() };
    match rng.next_u64() % 6 {
        0 => behaviour.refuse = true,
        1 => behaviour.fail = true,
        2 => behaviour.die = true,
        3 => behaviour.lose = true,
        _ => {}
    }
    behaviour
}

/// Guards against doubled runs, untrue refusals, lost answers and slots that stay taken, in whatever
/// order the failures come.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_runs_twice_and_no_refusal_is_untrue() {
    let service = Service::start().await.unwrap();
    let rig = Rig::for_service(&service, 6).await;
    let mut entries = Vec::new();
    for _ in 0..ENTRIES {
        entries.push(std::sync::Arc::new(rig.connect().await));
    }
    let mut rng = Rng::seed_from_u64(7);
    let mut tasks = Vec::new();
    for number in 0..ATTEMPTS {
        let draw = rng.next_u64();
        let mut dispatch = if draw % 3 == 0 { idempotent(number) } else { rig.once(number) };
        // Some are predicted to be too late, or become too late in the queue.
        dispatch.remaining = Span::from_millis(if draw % 5 == 0 { 60 } else { 60_000 });
        let patience = (draw % 7 == 0).then_some(draw / 7 % 12);
        let entry = std::sync::Arc::clone(&entries[usize::from(number) % entries.len()]);
        let copy = (draw % 11 == 0).then(|| dispatch.clone());
        tasks.push((
            dispatch.clone(),
            tokio::spawn({
                let entry = std::sync::Arc::clone(&entry);
                async move { follow(&entry, dispatch, patience).await }
            }),
        ));
        if let Some(copy) = copy.filter(|copy| copy.effect == Effect::Once) {
            tasks.push((
                copy.clone(),
                tokio::spawn(async move { follow(&entry, copy, None).await }),
            ));
        }
        if number % 4 == 0 {
            let behaviour = behave(&mut rng);
            service.set(|current| *current = behaviour);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let mut known: BTreeMap<AttemptId, Vec<(Dispatch, Known)>> = BTreeMap::new();
    for (dispatch, task) in tasks {
        let end = within(task).await.unwrap();
        known.entry(dispatch.attempt).or_default().push((dispatch, end));
    }

    let mut standings = BTreeMap::new();
    for (attempt, ends) in &known {
        if ends[0].0.effect == Effect::Once {
            let stands = settled(&entries[0], *attempt, rig.incarnation).await;
            standings.insert(*attempt, stands);
        }
    }
    let runs = service.runs().attempts;
    let mut kinds = BTreeMap::new();
    for (attempt, ends) in known {
        let ran = runs.get(&attempt.to_string()).copied().unwrap_or(0);
        for (_, end) in &ends {
            *kinds.entry(format!("{end:?}")).or_insert(0) += 1;
            if let Known::Refused(refusal) = end {
                assert!(!refusal.never_runs() || ran == 0, "{attempt} ran after {refusal:?}");
            }
            if let Known::Last(Outcome::Finished | Outcome::Failed(Failure::Backend)) = end {
                assert_eq!(ran, 1, "{attempt} is said to have run");
            }
        }
        assert!(ran <= 1, "{attempt} ran {ran} times");
        if let Some((standing, answer)) = standings.get(&attempt) {
            assert_eq!(*standing == AttemptStatus::Forbidden, ran == 0, "{attempt}: {standing:?}");
            let finished = *standing == AttemptStatus::Ended(Outcome::Finished);
            assert_eq!(answer.is_some(), finished, "{attempt}: {standing:?}");
        }
    }
    // Without each kind of end the test would not test much.
    assert!(kinds.len() >= 3, "{kinds:?}");
}
