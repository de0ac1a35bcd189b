//! Calls against the stand-in of the weight store.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use damaskweir_standins::weights as standin;
use damaskweir_weights::{Weights, WeightsError, WeightsInfo, WeightsSettings};
use std::time::Duration;

async fn start() -> (standin::Weights, Weights) {
    let store = standin::Weights::start().await.unwrap();
    let settings = WeightsSettings { url: store.url(), timeout: Duration::from_secs(60) };
    let client = Weights::new(&settings).unwrap();
    (store, client)
}

/// Guards against an order for a version that does not exist.
#[tokio::test]
async fn versions_are_told_apart() {
    let (store, client) = start().await;
    store.add("labels", "2", 14_000_000_000);
    assert_eq!(client.info("labels", "2").await.unwrap(), WeightsInfo { bytes: 14_000_000_000 });
    let absent = client.info("labels", "3").await;
    assert!(matches!(absent, Err(WeightsError::Absent { .. })), "{absent:?}");
}

/// Guards against a name that reaches another path of the store.
#[tokio::test]
async fn names_can_not_leave_their_place_in_the_path() {
    let (store, client) = start().await;
    store.add("labels", "2", 1);
    for name in ["labels/2", "../weights/labels", "labels?x="] {
        let absent = client.info(name, "2").await;
        assert!(absent.is_err(), "{name}: {absent:?}");
    }
}

/// Guards against calls that go on while the store's rate is used up.
#[tokio::test]
async fn rate_limit_is_kept() {
    let (store, client) = start().await;
    store.add("labels", "2", 1);
    store.set_call_limit(Some(0));
    let first = client.info("labels", "2").await;
    assert!(matches!(first, Err(WeightsError::Limited { .. })), "{first:?}");
    store.set_call_limit(None);
    // Time stands still from here, so the delay of 3 s can't pass meanwhile.
    tokio::time::pause();
    let second = client.info("labels", "2").await;
    assert!(matches!(second, Err(WeightsError::Limited { .. })), "{second:?}");
    assert_eq!(store.calls(), 1);
    tokio::time::advance(Duration::from_secs(4)).await;
    tokio::time::resume();
    client.info("labels", "2").await.unwrap();
    assert_eq!(store.calls(), 2);
}
