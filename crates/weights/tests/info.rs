//! Tests of the client against a stand-in of the weight store.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use damaskweir_standins::weights as standin;
use damaskweir_weights::{WeightsClient, WeightsError, WeightsInfo, WeightsSettings};
use std::time::Duration;

async fn start() -> (standin::Weights, WeightsClient) {
    let store = standin::Weights::start().await.unwrap();
    let settings = WeightsSettings { url: store.url(), timeout: Duration::from_secs(60) };
    let client = WeightsClient::new(&settings).unwrap();
    (store, client)
}

/// Guards against an order to load a version that does not exist.
#[tokio::test]
async fn missing_version_is_not_found() {
    let (store, client) = start().await;
    store.add("labels", "2", 14_000_000_000);
    assert_eq!(client.info("labels", "2").await.unwrap(), WeightsInfo { bytes: 14_000_000_000 });
    let absent = client.info("labels", "3").await;
    assert!(matches!(absent, Err(WeightsError::NotFound { .. })), "{absent:?}");
}

/// Guards against a model name that changes the path of the request.
#[tokio::test]
async fn names_are_escaped_in_the_path() {
    let (store, client) = start().await;
    store.add("labels", "2", 1);
    for name in ["labels/2", "../weights/labels", "labels?x="] {
        let absent = client.info(name, "2").await;
        assert!(absent.is_err(), "{name}: {absent:?}");
    }
}

/// Guards against requests that are sent before the delay in `Retry-After` has passed.
#[tokio::test]
async fn retry_after_is_kept() {
    let (store, client) = start().await;
    store.add("labels", "2", 1);
    store.set_call_limit(Some(0));
    let first = client.info("labels", "2").await;
    assert!(matches!(first, Err(WeightsError::RateLimited { .. })), "{first:?}");
    store.set_call_limit(None);
    // The clock is paused from here on, so that the delay of 3 s can't pass in between.
    tokio::time::pause();
    let second = client.info("labels", "2").await;
    assert!(matches!(second, Err(WeightsError::RateLimited { .. })), "{second:?}");
    assert_eq!(store.calls(), 1);
    tokio::time::advance(Duration::from_secs(4)).await;
    tokio::time::resume();
    client.info("labels", "2").await.unwrap();
    assert_eq!(store.calls(), 2);
}
