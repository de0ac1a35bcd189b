//! Polls against the stand-in of the instance list.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "used by tests only")]

use damaskweir_instances::{Change, Instances, InstancesSettings, List, State, changes};
use damaskweir_standins::instances as standin;
use rand_chacha::rand_core::SeedableRng;
use serde_json::{Value, json};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// No test passes or fails by time; this only ends a test that hangs.
async fn within<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(Duration::from_secs(60), future).await.expect("the test hangs")
}

fn list(revision: u64, instances: &[(&str, &str)]) -> Value {
    let instances: Vec<_> = instances
        .iter()
        .map(|(id, state)| json!({ "id": id, "zone": "a", "address": "127.0.0.1:9", "state": state }))
        .collect();
    json!({ "revision": revision, "instances": instances })
}

async fn start() -> (standin::Instances, Instances, Arc<AtomicU32>) {
    let platform = standin::Instances::start().await.unwrap();
    let settings = InstancesSettings {
        url: platform.url(),
        period: Duration::from_millis(5),
        ..InstancesSettings::default()
    };
    let failures = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&failures);
    let failed = move |_: &_| {
        counter.fetch_add(1, Ordering::Relaxed);
    };
    let rng = damaskweir_core::Rng::seed_from_u64(7);
    let instances = Instances::spawn(settings, rng, failed).unwrap();
    (platform, instances, failures)
}

async fn wait_for(instances: &Instances, revision: u64) -> Arc<List> {
    let mut lists = instances.lists();
    let list = within(lists.wait_for(|list| list.revision == revision)).await.unwrap();
    Arc::clone(&list)
}

async fn polls(platform: &standin::Instances, more: u64) {
    let target = platform.polls() + more;
    within(async {
        while platform.polls() < target {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// Guards against a leaving instance that goes unnoticed.
#[tokio::test]
async fn changes_are_seen() {
    let (platform, instances, _) = start().await;
    platform.set_list(list(1, &[("one", "live"), ("two", "live")]));
    let first = wait_for(&instances, 1).await;
    platform.set_list(list(2, &[("two", "leaving"), ("three", "live")]));
    let second = wait_for(&instances, 2).await;
    let three = second.instances[&"three".into()].clone();
    assert_eq!(
        changes(&first, &second),
        [
            Change::Appeared(three),
            Change::Turned("two".into(), State::Leaving),
            Change::Gone("one".into()),
        ]
    );
}

/// Guards against an outage of the platform that empties the list.
#[tokio::test]
async fn outage_keeps_the_last_list() {
    let (platform, instances, failures) = start().await;
    platform.set_list(list(1, &[("one", "live")]));
    wait_for(&instances, 1).await;
    platform.set_down(true);
    within(async {
        while failures.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    assert_eq!(instances.lists().borrow().instances.len(), 1);
    platform.set_down(false);
    platform.set_list(list(2, &[]));
    wait_for(&instances, 2).await;
}

/// Guards against a lagging replica that brings back an instance which left.
#[tokio::test]
async fn older_list_is_not_taken() {
    let (platform, instances, _) = start().await;
    platform.set_list(list(5, &[("one", "leaving")]));
    wait_for(&instances, 5).await;
    platform.set_list(list(4, &[("one", "live")]));
    polls(&platform, 4).await;
    assert_eq!(instances.lists().borrow().revision, 5);
}

/// Guards against a list that stays frozen after the platform began to count anew.
#[tokio::test]
async fn restarted_list_is_taken_in_the_end() {
    let (platform, instances, _) = start().await;
    platform.set_list(list(5, &[("one", "live")]));
    wait_for(&instances, 5).await;
    platform.set_list(list(1, &[]));
    wait_for(&instances, 1).await;
}
