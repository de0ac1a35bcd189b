//! Tests of the client against a stand-in of the instance list.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "used by tests only")]

use damaskweir_instances::{
    Change, InstanceList, InstanceState, InstancesClient, InstancesSettings, diff,
};
use damaskweir_standins::instances as standin;
use rand_chacha::rand_core::SeedableRng;
use serde_json::{Value, json};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Ends a test that hangs. No result depends on this timeout otherwise.
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

async fn start() -> (standin::Instances, InstancesClient, Arc<AtomicU32>) {
    let platform = standin::Instances::start().await.unwrap();
    let settings = InstancesSettings {
        url: platform.url(),
        poll_interval: Duration::from_millis(5),
        ..InstancesSettings::default()
    };
    let failures = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&failures);
    let failed = move |_: &_| {
        counter.fetch_add(1, Ordering::Relaxed);
    };
    let rng = damaskweir_core::Rng::seed_from_u64(7);
    let instances = InstancesClient::spawn(settings, rng, failed).unwrap();
    (platform, instances, failures)
}

async fn wait_for(instances: &InstancesClient, revision: u64) -> Arc<InstanceList> {
    let mut lists = instances.subscribe();
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

/// Guards against a change of the list that is not reported, in particular a leaving instance.
#[tokio::test]
async fn changes_are_reported() {
    let (platform, instances, _) = start().await;
    platform.set_list(list(1, &[("one", "live"), ("two", "live")]));
    let first = wait_for(&instances, 1).await;
    platform.set_list(list(2, &[("two", "leaving"), ("three", "live")]));
    let second = wait_for(&instances, 2).await;
    let three = second.instances[&"three".into()].clone();
    assert_eq!(
        diff(&first, &second),
        [
            Change::Added(three),
            Change::StateChanged("two".into(), InstanceState::Leaving),
            Change::Removed("one".into()),
        ]
    );
}

/// Guards against an empty list during an outage of the platform.
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
    assert_eq!(instances.subscribe().borrow().instances.len(), 1);
    platform.set_down(false);
    platform.set_list(list(2, &[]));
    wait_for(&instances, 2).await;
}

/// Guards against a lagging replica that reverts the state of a leaving instance.
#[tokio::test]
async fn older_list_is_ignored() {
    let (platform, instances, _) = start().await;
    platform.set_list(list(5, &[("one", "leaving")]));
    wait_for(&instances, 5).await;
    platform.set_list(list(4, &[("one", "live")]));
    polls(&platform, 4).await;
    assert_eq!(instances.subscribe().borrow().revision, 5);
}

/// Guards against a list that is never updated again after the platform has restarted its revisions.
#[tokio::test]
async fn restarted_list_is_accepted() {
    let (platform, instances, _) = start().await;
    platform.set_list(list(5, &[("one", "live")]));
    wait_for(&instances, 5).await;
    platform.set_list(list(1, &[]));
    wait_for(&instances, 1).await;
}
