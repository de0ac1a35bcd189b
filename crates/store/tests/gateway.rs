//! Tests of the client against a gateway stand-in that fails.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use damaskweir_core::prelude::*;
use damaskweir_standins::store::{Outage, Store};
use damaskweir_store::{
    Client, Compare, Op, OpResponse, Settings, StoreError, Txn, WatchEvent, WriteEffect,
};
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use std::time::Duration;

fn client_at(url: &str) -> Client {
    let settings = Settings {
        timeout: Span::from_millis(300),
        read_rate: 1_000,
        write_rate: 1_000,
        burst: 1_000,
        ..Settings::new(url)
    };
    Client::new(settings, Rng::seed_from_u64(2)).unwrap()
}

fn create(key: &str, value: &[u8]) -> Txn {
    Txn {
        compare: vec![Compare::Absent(key.to_owned())],
        success: vec![Op::Put(key.to_owned(), value.to_vec(), 0)],
        failure: vec![Op::Get(key.to_owned())],
    }
}

/// Guards against a compare-and-swap that overwrites the value of another writer.
#[tokio::test]
async fn transaction_compares() {
    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    let first = client.txn(&create("/a", b"1")).await.unwrap();
    assert!(first.succeeded);
    let second = client.txn(&create("/a", b"2")).await.unwrap();
    assert!(!second.succeeded);
    let [OpResponse::Got(Some(found))] = second.responses.as_slice() else { panic!("{second:?}") };
    assert_eq!((found.value.as_slice(), found.revision), (b"1".as_slice(), first.revision));
    let swap = |revision| Txn {
        compare: vec![Compare::Revision("/a".to_owned(), revision)],
        success: vec![Op::Put("/a".to_owned(), b"3".to_vec(), 0)],
        failure: Vec::new(),
    };
    assert!(client.txn(&swap(first.revision)).await.unwrap().succeeded);
    assert!(!client.txn(&swap(first.revision)).await.unwrap().succeeded);
    assert_eq!(client.get("/a").await.unwrap().unwrap().value, b"3");
    assert_eq!(client.get("/b").await.unwrap(), None);
}

/// Guards against reporting that a failed write had no effect although it may have taken effect, and
/// against retrying such a write.
#[rstest]
#[case::refused(Some(Outage::Refuse), 0, WriteEffect::Unknown)]
#[case::hanging(Some(Outage::Hang), 0, WriteEffect::Unknown)]
#[case::lost(None, 1, WriteEffect::Unknown)]
#[tokio::test]
async fn errors_report_write_effect(
    #[case] outage: Option<Outage>,
    #[case] lost: u32,
    #[case] effect: WriteEffect,
) {
    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    store.set_outage(outage);
    store.drop_responses(lost);
    let error = client.txn(&create("/a", b"1")).await.unwrap_err();
    assert_eq!(error.effect(), effect, "{error}");
    assert_eq!(store.peek("/a").is_some(), lost > 0);
    assert_eq!(store.calls().writes, 1, "a write that may have had an effect was repeated");
}

/// Guards against reporting an unknown effect for a write that was not sent or was rejected.
#[tokio::test]
async fn unsent_and_rejected_writes_have_no_effect() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let error = client_at(&url).txn(&create("/a", b"1")).await.unwrap_err();
    assert_eq!(error.effect(), WriteEffect::None, "{error}");
    let store = Store::start().await.unwrap();
    let large = vec![0; 1_100_000];
    let error = client_at(&store.url()).txn(&create("/a", &large)).await.unwrap_err();
    assert!(matches!(error, StoreError::Rejected { status: 400, .. }), "{error}");
    assert_eq!(error.effect(), WriteEffect::None);
}

/// Guards against a client that retries without end, or not at all, when the store limits its rate.
#[tokio::test]
async fn rate_limited_calls_are_retried() {
    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    store.set_rate_limit(Some(0));
    let error = client.get("/a").await.unwrap_err();
    assert!(matches!(error, StoreError::Rejected { status: 429, .. }), "{error}");
    assert_eq!(store.calls().reads, 3);
}

/// Guards against a client that exceeds its rate limit.
#[tokio::test]
async fn rate_limit_is_kept() {
    let store = Store::start().await.unwrap();
    let settings =
        Settings { read_rate: 1, burst: 5, max_attempts: 1, ..Settings::new(&store.url()) };
    let client = Client::new(settings, Rng::seed_from_u64(3)).unwrap();
    let started = tokio::time::Instant::now();
    let mut refused = 0;
    for _ in 0..50 {
        if let Err(error) = client.get("/a").await {
            assert!(matches!(error, StoreError::RateLimited), "{error}");
            refused += 1;
        }
    }
    // One more call per second is allowed, however long the loop took.
    let allowed = 5 + started.elapsed().as_secs() + 1;
    assert!(50 - refused <= allowed, "{refused} of 50 calls refused");
    assert_eq!(store.calls().reads, 50 - refused);
}

/// Guards against changes that a watch misses or reports twice, also when it is reopened after a lost
/// connection.
#[tokio::test]
async fn watch_reports_every_change_once() {
    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    let mut watch = client.watch("/w", 0).await.unwrap();
    assert!(watch.next().await.unwrap().is_empty());
    store.write_directly("/w", Some(b"1"));
    store.write_directly("/other", Some(b"x"));
    let mut seen = Vec::new();
    while seen.is_empty() {
        seen = watch.next().await.unwrap();
    }
    assert!(matches!(seen.as_slice(), [WatchEvent::Put(put)] if put.value == b"1"));
    store.set_outage(Some(Outage::Refuse));
    let ended = tokio::time::timeout(Duration::from_secs(60), async {
        loop {
            if let Err(error) = watch.next().await {
                return error;
            }
        }
    });
    assert!(matches!(ended.await.unwrap(), StoreError::ResponseLost(_)));
    store.write_directly("/w", Some(b"2"));
    store.write_directly("/w", None);
    store.set_outage(None);
    let mut again = client.watch("/w", watch.revision() + 1).await.unwrap();
    let mut seen = Vec::new();
    while seen.len() < 2 {
        seen.extend(again.next().await.unwrap());
    }
    assert!(matches!(&seen[0], WatchEvent::Put(put) if put.value == b"2"));
    assert_eq!(seen[1], WatchEvent::Delete("/w".to_owned()));
}

/// Guards against a watch that silently skips changes which the store has compacted.
#[tokio::test]
async fn watch_from_compacted_revision_fails() {
    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    store.write_directly("/w", Some(b"1"));
    store.compact();
    let mut watch = client.watch("/w", 1).await.unwrap();
    assert!(matches!(watch.next().await.unwrap_err(), StoreError::Compacted(_)));
}

/// Guards against a key that outlives its lease, and against a successful renewal of an expired lease.
#[tokio::test]
async fn lease_ends_its_keys() {
    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    let lease = client.grant_lease(60).await.unwrap();
    client.put("/l", b"1", lease.id).await.unwrap();
    assert_eq!(client.renew_lease(lease.id).await.unwrap(), Some(lease));
    store.expire_lease(lease.id);
    assert_eq!(client.get("/l").await.unwrap(), None);
    assert_eq!(client.renew_lease(lease.id).await.unwrap(), None);
    let error = client.put("/l", b"1", lease.id).await.unwrap_err();
    assert!(matches!(error, StoreError::Rejected { status: 404, .. }), "{error}");
}

/// Guards against a prefix read that returns keys next to the prefix.
#[tokio::test]
async fn list_stays_within_prefix() {
    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    for key in ["/a/1", "/a/2", "/a0", "/b"] {
        client.put(key, b"1", 0).await.unwrap();
    }
    let keys: Vec<_> = client.list("/a/").await.unwrap().into_iter().map(|s| s.key).collect();
    assert_eq!(keys, ["/a/1", "/a/2"]);
}

/// Creates a key with a lease. Returns the lease and the revision, which serves as fencing token.
async fn acquire(client: &Client, holder: &[u8]) -> Option<(u64, u64)> {
    let lease = client.grant_lease(60).await.unwrap();
    let mut txn = create("/slot", holder);
    txn.success = vec![Op::Put("/slot".to_owned(), holder.to_vec(), lease.id)];
    let answer = client.txn(&txn).await.unwrap();
    answer.succeeded.then_some((lease.id, answer.revision))
}

/// Guards against a lease holder that is paused, loses its lease to another one, and writes after it
/// resumes. The holder detects this by its own clock, and the store by the fencing token.
#[tokio::test]
async fn paused_lease_holder_is_fenced() {
    use damaskweir_core::lease::{Lease, LeaseState};

    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    let (lease, fence) = acquire(&client, b"one").await.unwrap();
    let held = Lease::new(Incarnation(1), Time(0), Span::from_secs(60), fence);
    assert_eq!(acquire(&client, b"two").await, None);
    // The first holder is paused. Its lease expires, and the second holder acquires the key.
    store.expire_lease(lease);
    let (_, later) = acquire(&client, b"two").await.unwrap();
    assert!(later > fence);
    // The first holder resumes; its monotonic clock has advanced.
    assert_eq!(held.state(Time(0) + Span::from_secs(90)), LeaseState::Lapsed);
    assert_eq!(client.renew_lease(lease).await.unwrap(), None);
    // A write in spite of that fails, because its fencing token is outdated.
    let write = Txn {
        compare: vec![Compare::Revision("/slot".to_owned(), held.fence())],
        success: vec![Op::Put("/work".to_owned(), b"one".to_vec(), 0)],
        failure: Vec::new(),
    };
    assert!(!client.txn(&write).await.unwrap().succeeded);
    assert_eq!(store.peek("/work"), None);
}

/// Guards against mistaking the client's own write for that of another writer when its response was
/// lost and the store hangs during the retry.
#[tokio::test]
async fn lost_response_and_slow_store() {
    let store = Store::start().await.unwrap();
    let client = client_at(&store.url());
    store.set_delay(Duration::from_millis(100));
    store.drop_response_to("/a", Some(Outage::Hang));
    let first = client.txn(&create("/a", b"mine")).await.unwrap_err();
    assert_eq!(first.effect(), WriteEffect::Unknown);
    let second = client.txn(&create("/a", b"mine")).await.unwrap_err();
    assert_eq!(second.effect(), WriteEffect::Unknown);
    store.set_outage(None);
    store.set_delay(Duration::ZERO);
    let answer = client.txn(&create("/a", b"mine")).await.unwrap();
    assert!(!answer.succeeded);
    let [OpResponse::Got(Some(found))] = answer.responses.as_slice() else { panic!("{answer:?}") };
    assert_eq!(found.value, b"mine");
}
