//! Many concurrent attempts while the service fails in random ways and entries drop attempts.

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

/// Result of an attempt as seen by an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryResult {
    Done(Outcome),
    Refused(Refusal),
    /// The entry dropped the attempt, or the stream broke.
    Unknown,
}

/// Sends an attempt and waits for its result. Drops it after `drop_after` milliseconds.
async fn run_attempt(entry: &Entry, dispatch: Dispatch, drop_after: Option<u64>) -> EntryResult {
    let mut attempt = entry.dispatch(&dispatch).await;
    let ended = match drop_after {
        Some(millis) => {
            tokio::time::timeout(Duration::from_millis(millis), read_to_end(&mut attempt)).await
        }
        None => Ok(read_to_end(&mut attempt).await),
    };
    match ended {
        Ok((_, Some(AttemptMessage::Done(outcome)))) => EntryResult::Done(outcome),
        Ok((_, Some(AttemptMessage::Refused(refusal)))) => EntryResult::Refused(refusal),
        Ok(_) | Err(_) => EntryResult::Unknown,
    }
}

/// Returns the sidecar's status and answer of an attempt once it is neither queued nor running.
async fn final_status(
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

fn random_behaviour(rng: &mut Rng) -> Behaviour {
    let mut behaviour =
        Behaviour { delay: Duration::from_millis(rng.next_u64() % 8), ..Behaviour::default() };
    match rng.next_u64() % 6 {
        0 => behaviour.refuse = true,
        1 => behaviour.fail = true,
        2 => behaviour.truncate = true,
        3 => behaviour.drop_response = true,
        _ => {}
    }
    behaviour
}

/// Guards against attempts that run twice or run despite a refusal that rules it out, lost answers
/// and slots that are never released, under random combinations of failures.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn attempts_run_at_most_once_and_refusals_are_accurate() {
    let service = Service::start().await.unwrap();
    let fixture = Fixture::for_service(&service, 6).await;
    let mut entries = Vec::new();
    for _ in 0..ENTRIES {
        entries.push(std::sync::Arc::new(fixture.connect().await));
    }
    let mut rng = Rng::seed_from_u64(7);
    let mut tasks = Vec::new();
    for number in 0..ATTEMPTS {
        let draw = rng.next_u64();
        let mut dispatch =
            if draw % 3 == 0 { idempotent(number) } else { fixture.non_idempotent(number) };
        // Some are refused because their deadline can't be met, or expire in the queue.
        dispatch.remaining = Span::from_millis(if draw % 5 == 0 { 60 } else { 60_000 });
        let drop_after = (draw % 7 == 0).then_some(draw / 7 % 12);
        let entry = std::sync::Arc::clone(&entries[usize::from(number) % entries.len()]);
        let copy = (draw % 11 == 0).then(|| dispatch.clone());
        tasks.push((
            dispatch.clone(),
            tokio::spawn({
                let entry = std::sync::Arc::clone(&entry);
                async move { run_attempt(&entry, dispatch, drop_after).await }
            }),
        ));
        if let Some(copy) = copy.filter(|copy| copy.effect == Effect::Once) {
            tasks.push((
                copy.clone(),
                tokio::spawn(async move { run_attempt(&entry, copy, None).await }),
            ));
        }
        if number % 4 == 0 {
            let behaviour = random_behaviour(&mut rng);
            service.set_behaviour(|current| *current = behaviour);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let mut results: BTreeMap<AttemptId, Vec<(Dispatch, EntryResult)>> = BTreeMap::new();
    for (dispatch, task) in tasks {
        let end = within(task).await.unwrap();
        results.entry(dispatch.attempt).or_default().push((dispatch, end));
    }

    let mut statuses = BTreeMap::new();
    for (attempt, ended) in &results {
        if ended[0].0.effect == Effect::Once {
            let status = final_status(&entries[0], *attempt, fixture.incarnation).await;
            statuses.insert(*attempt, status);
        }
    }
    let runs = service.runs().attempts;
    let mut kinds = BTreeMap::new();
    for (attempt, ended) in results {
        let ran = runs.get(&attempt.to_string()).copied().unwrap_or(0);
        for (_, end) in &ended {
            *kinds.entry(format!("{end:?}")).or_insert(0) += 1;
            if let EntryResult::Refused(refusal) = end {
                assert!(!refusal.never_runs() || ran == 0, "{attempt} ran after {refusal:?}");
            }
            if let EntryResult::Done(Outcome::Finished | Outcome::Failed(Failure::Backend)) = end {
                assert_eq!(ran, 1, "{attempt} was reported as run");
            }
        }
        assert!(ran <= 1, "{attempt} ran {ran} times");
        if let Some((status, answer)) = statuses.get(&attempt) {
            assert_eq!(*status == AttemptStatus::Forbidden, ran == 0, "{attempt}: {status:?}");
            let finished = *status == AttemptStatus::Ended(Outcome::Finished);
            assert_eq!(answer.is_some(), finished, "{attempt}: {status:?}");
        }
    }
    // Ensures that the random failures produced different kinds of results.
    assert!(kinds.len() >= 3, "{kinds:?}");
}
