//! Orders to an engine, which require a slot leased in the store.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use damaskweir::logs::quiet_logger;
use damaskweir::order::{OrderFailure, OrderSender};
use damaskweir_core::prelude::*;
use damaskweir_engines::{Applied, Engine, EngineSettings, Order, OrderError, Role};
use damaskweir_standins::{engine, store, weights};
use damaskweir_store::{Client, Settings};
use damaskweir_weights::{WeightsClient, WeightsError, WeightsSettings};
use rand_chacha::rand_core::SeedableRng;
use std::time::Duration;

struct Fixture {
    engine: engine::Engine,
    weights: weights::Weights,
    store: store::Store,
    client: Client,
}

impl Fixture {
    async fn start() -> Self {
        let store = store::Store::start().await.unwrap();
        let client = Client::new(Settings::new(&store.url()), Rng::seed_from_u64(7)).unwrap();
        let weights = weights::Weights::start().await.unwrap();
        weights.add("labels", "2", 1_000);
        Self { engine: engine::Engine::start(4).await.unwrap(), weights, store, client }
    }

    fn engine(&self) -> Engine {
        let settings = EngineSettings { url: self.engine.url(), ..EngineSettings::default() };
        Engine::new(settings).unwrap()
    }

    fn sender(&self, slots: u32) -> OrderSender {
        let timeout = Duration::from_secs(60);
        let weights =
            WeightsClient::new(&WeightsSettings { url: self.weights.url(), timeout }).unwrap();
        let (client, holder) = (self.client.clone(), Incarnation(9));
        OrderSender::new(self.engine(), weights, client, slots, holder, quiet_logger())
    }

    async fn slots_taken(&self) -> usize {
        self.client.list("/damaskweir/weights/").await.unwrap().len()
    }
}

/// Guards against a slot that is not released after its order, and against fencing tokens that
/// don't increase.
#[tokio::test]
async fn order_uses_and_releases_a_slot() {
    let fixture = Fixture::start().await;
    let sender = fixture.sender(1);
    for _ in 0..2 {
        let applied = sender.serve("labels", None, "2").await.unwrap();
        assert_eq!(applied, Applied { fenced: true });
        assert_eq!(fixture.slots_taken().await, 0);
    }
    assert_eq!(fixture.engine.orders().len(), 2);
    // An order with a lower fencing token must be rejected.
    let late = fixture.engine().send_order(&Order::Role(Role::Both), 1).await;
    assert!(matches!(late, Err(OrderError::Fenced { current }) if current > 1), "{late:?}");
}

/// Guards against more engines loading weights at once than there are slots, which would exceed the
/// weight store's rate limit.
#[tokio::test]
async fn order_requires_a_free_slot() {
    let fixture = Fixture::start().await;
    fixture.client.put("/damaskweir/weights/0", b"other", 0).await.unwrap();
    let refused = fixture.sender(1).serve("labels", None, "2").await;
    assert!(matches!(refused, Err(OrderFailure::NoFreeSlot(1))), "{refused:?}");
    assert_eq!(fixture.engine.orders().len(), 0);
    fixture.sender(2).serve("labels", None, "2").await.unwrap();
    assert_eq!(fixture.slots_taken().await, 1);
}

/// Guards against sending an order for a version that does not exist.
#[tokio::test]
async fn order_requires_existing_weights() {
    let fixture = Fixture::start().await;
    let absent = fixture.sender(1).serve("labels", None, "3").await;
    let expected = matches!(absent, Err(OrderFailure::Weights(WeightsError::NotFound { .. })));
    assert!(expected, "{absent:?}");
    assert_eq!(fixture.engine.orders().len(), 0);
}

/// Guards against sending an order while the store is down, and against leaving a slot occupied.
#[tokio::test]
async fn order_requires_the_store() {
    let fixture = Fixture::start().await;
    fixture.store.set_outage(Some(store::Outage::Refuse));
    let refused = fixture.sender(1).serve("labels", None, "2").await;
    assert!(matches!(refused, Err(OrderFailure::Store(_))), "{refused:?}");
    assert_eq!(fixture.engine.orders().len(), 0);
    fixture.store.set_outage(None);
    fixture.sender(1).serve("labels", None, "2").await.unwrap();
}

/// Guards against treating a slot as held by another process when it was acquired but the store's
/// response was lost.
#[tokio::test]
async fn own_slot_is_recognised_after_a_lost_response() {
    let fixture = Fixture::start().await;
    fixture.store.drop_response_to("/damaskweir/weights/0", None);
    fixture.sender(1).serve("labels", None, "2").await.unwrap();
    assert_eq!(fixture.engine.orders().len(), 1);
    assert_eq!(fixture.slots_taken().await, 0);
}
