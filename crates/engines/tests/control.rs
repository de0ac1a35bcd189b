//! Tests of load reports, cache events and orders against a stand-in engine.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use damaskweir_core::prelude::*;
use damaskweir_engines::{
    Applied, CacheChange, Call, Engine, EngineSettings, Load, Order, OrderError, Role,
};
use damaskweir_standins::engine as standin;

async fn engine_and_client() -> (standin::Engine, Engine) {
    let engine = standin::Engine::start(4).await.unwrap();
    let settings = EngineSettings { url: engine.url(), ..EngineSettings::default() };
    let client = Engine::new(settings).unwrap();
    (engine, client)
}

async fn complete(client: &Engine, prompt: &str) {
    let request = RequestId { entry: Incarnation(7), serial: 1 };
    let call = Call {
        path: "/v1/completions",
        attempt: AttemptId { request, stage: 0, number: 0 },
        key: None,
        body: prompt.as_bytes(),
        resume_from: 0,
        priority: 0,
    };
    let mut completion = client.complete(call).await.unwrap();
    while completion.next().await.unwrap().is_some() {}
}

/// Guards against a load report that the client can't parse.
#[tokio::test]
async fn load_is_read() {
    let (_engine, client) = engine_and_client().await;
    let load = client.load().await.unwrap();
    assert_eq!(load, Load { running: 0, waiting: 0, slots: 4, age: 0 });
    assert!(client.healthy().await);
}

/// Guards against an order of an earlier fencing number taking effect after one of a later number.
#[tokio::test]
async fn outdated_order_is_refused() {
    let (engine, client) = engine_and_client().await;
    let serve = |version: &str| Order::Serve {
        model: "labels".to_owned(),
        adapter: None,
        version: version.to_owned(),
    };
    assert_eq!(client.send_order(&serve("2"), 7).await, Ok(Applied { fenced: true }));
    let outdated = client.send_order(&serve("1"), 6).await;
    assert_eq!(outdated, Err(OrderError::Fenced { current: 7 }));
    assert_eq!(
        client.send_order(&Order::Role(Role::Decode), 7).await,
        Ok(Applied { fenced: true })
    );
    assert_eq!(engine.orders().len(), 2);
}

/// Guards against reporting that an engine compares fencing numbers when it ignores them.
#[tokio::test]
async fn engine_without_fencing_is_noticed() {
    let (engine, client) = engine_and_client().await;
    engine.set_behaviour(|behaviour| behaviour.fenced = false);
    let role = Order::Role(Role::Both);
    assert_eq!(client.send_order(&role, 7).await, Ok(Applied { fenced: false }));
    assert_eq!(client.send_order(&role, 6).await, Ok(Applied { fenced: false }));
}

/// Guards against missed cache events going unnoticed, which would leave a wrong view of the cache.
#[tokio::test]
async fn gap_in_the_cache_events_is_noticed() {
    let (engine, client) = engine_and_client().await;
    let mut feed = client.cache_events(None).await.unwrap();
    complete(&client, "one").await;
    assert!(matches!(feed.next().await.unwrap(), Some(CacheChange::Stored(_))));
    engine.skip_event_ids(3);
    complete(&client, "two").await;
    assert_eq!(feed.next().await.unwrap(), Some(CacheChange::Gap { missed: 3 }));
    assert!(matches!(feed.next().await.unwrap(), Some(CacheChange::Stored(_))));
}

/// Guards against lost or repeated events when the feed is reopened.
#[tokio::test]
async fn feed_is_continued_after_the_last_event() {
    let (_engine, client) = engine_and_client().await;
    let mut feed = client.cache_events(None).await.unwrap();
    complete(&client, "one").await;
    feed.next().await.unwrap();
    let last = feed.last_event_id();
    drop(feed);
    complete(&client, "two").await;
    let mut feed = client.cache_events(last).await.unwrap();
    assert!(matches!(feed.next().await.unwrap(), Some(CacheChange::Stored(_))));
    assert_eq!(feed.last_event_id(), last.map(|last| last + 1));
}

/// Guards against cache event streams of arbitrary bytes that make the client panic or never end.
#[tokio::test]
async fn any_cache_feed_ends() {
    use proptest::strategy::{Strategy, ValueTree};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let client = Engine::new(EngineSettings { url, ..EngineSettings::default() }).unwrap();
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let events = "(id: ?[0-9]{0,21}\n|data: ?[-0-9a-z\"{}:, ]{0,24}\n|\n|.{0,12}\n){0,24}";
    let bytes = proptest::prop_oneof![
        proptest::collection::vec(proptest::prelude::any::<u8>(), 0..300),
        events.prop_map(String::into_bytes),
    ];
    for _ in 0..200 {
        let body = bytes.new_tree(&mut runner).unwrap().current();
        let serve = async {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            let _ = socket.read(&mut request).await.unwrap();
            let head =
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
            socket.write_all(head.as_bytes()).await.unwrap();
            socket.write_all(&body).await.unwrap();
        };
        let read = async {
            let mut feed = client.cache_events(None).await.unwrap();
            while let Ok(Some(_)) = feed.next().await {}
        };
        tokio::join!(serve, read);
    }
}
