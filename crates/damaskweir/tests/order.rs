//! Orders to an engine under slots that are leased in the store.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use damaskweir::logs::quiet_logger;
use damaskweir::order::{OrderFailure, Orderer};
use damaskweir_core::prelude::*;
use damaskweir_engines::{Applied, Engine, EngineSettings, Order, OrderError, Role};
use damaskweir_standins::{engine, store, weights};
use damaskweir_store::{Client, Settings};
use damaskweir_weights::{WeightsClient, WeightsError, WeightsSettings};
use rand_chacha::rand_core::SeedableRng;
use std::time::Duration;

struct Rig {
    engine: engine::Engine,
    weights: weights::Weights,
    store: store::Store,
    client: Client,
}

impl Rig {
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

    fn orderer(&self, slots: u32) -> Orderer {
        let timeout = Duration::from_secs(60);
        let weights =
            WeightsClient::new(&WeightsSettings { url: self.weights.url(), timeout }).unwrap();
        let (client, holder) = (self.client.clone(), Incarnation(9));
        Orderer::new(self.engine(), weights, client, slots, holder, quiet_logger())
    }

    async fn slots_taken(&self) -> usize {
        self.client.list("/damaskweir/weights/").await.unwrap().len()
    }
}

/// Guards against a slot that stays taken after its order, and against fencing numbers that don't
/// increase.
#[tokio::test]
async fn order_is_carried_out_under_a_slot() {
    let rig = Rig::start().await;
    let orderer = rig.orderer(1);
    for _ in 0..2 {
        let applied = orderer.serve("labels", None, "2").await.unwrap();
        assert_eq!(applied, Applied { fenced: true });
        assert_eq!(rig.slots_taken().await, 0);
    }
    assert_eq!(rig.engine.orders().len(), 2);
    // An order with the number of an earlier holder comes too late.
    let late = rig.engine().order(&Order::Role(Role::Both), 1).await;
    assert!(matches!(late, Err(OrderError::Fenced { current }) if current > 1), "{late:?}");
}

/// Guards against more engines loading weights at once than the weight store's rate allows.
#[tokio::test]
async fn no_order_without_a_slot() {
    let rig = Rig::start().await;
    rig.client.put("/damaskweir/weights/0", b"other", 0).await.unwrap();
    let refused = rig.orderer(1).serve("labels", None, "2").await;
    assert!(matches!(refused, Err(OrderFailure::NoSlot(1))), "{refused:?}");
    assert_eq!(rig.engine.orders().len(), 0);
    rig.orderer(2).serve("labels", None, "2").await.unwrap();
    assert_eq!(rig.slots_taken().await, 1);
}

/// Guards against an order for a version that does not exist.
#[tokio::test]
async fn no_order_without_weights() {
    let rig = Rig::start().await;
    let absent = rig.orderer(1).serve("labels", None, "3").await;
    let expected = matches!(absent, Err(OrderFailure::Weights(WeightsError::NotFound { .. })));
    assert!(expected, "{absent:?}");
    assert_eq!(rig.engine.orders().len(), 0);
}

/// Guards against an order while the store is down, and against a slot that it leaves behind.
#[tokio::test]
async fn no_order_while_the_store_is_down() {
    let rig = Rig::start().await;
    rig.store.set_outage(Some(store::Outage::Refuse));
    let refused = rig.orderer(1).serve("labels", None, "2").await;
    assert!(matches!(refused, Err(OrderFailure::Store(_))), "{refused:?}");
    assert_eq!(rig.engine.orders().len(), 0);
    rig.store.set_outage(None);
    rig.orderer(1).serve("labels", None, "2").await.unwrap();
}

/// Guards against a slot that its own holder takes for someone else's after the store's answer was
/// lost.
#[tokio::test]
async fn own_slot_is_recognised_after_a_lost_answer() {
    let rig = Rig::start().await;
    rig.store.lose_answer_to("/damaskweir/weights/0", None);
    rig.orderer(1).serve("labels", None, "2").await.unwrap();
    assert_eq!(rig.engine.orders().len(), 1);
    assert_eq!(rig.slots_taken().await, 0);
}
