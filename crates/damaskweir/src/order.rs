//! Orders to the engine next to a side.
//!
//! Loading weights takes one of a fixed number of slots, which keeps all engines together within the
//! weight store's rate. A slot is a key in the store under a lease, `/damaskweir/weights/<slot>`. The
//! revision at which the key was created is the fencing number of the order: it is higher than that of
//! each earlier holder of any slot.
//!
//! A side that is paused may give its order after its lease has lapsed. It checks its own clock right
//! before, and an engine that compares fencing numbers refuses the order if a later one arrived.

use damaskweir_core::lease::{Lease, LeaseState};
use damaskweir_core::prelude::*;
use damaskweir_engines::{Applied, Engine, Order, OrderError};
use damaskweir_store::{Client, Compare, Op, StoreError, Txn};
use damaskweir_weights::{WeightsClient, WeightsError, WeightsInfo};
use slog::{Logger, info, warn};
use std::time::Duration;
use tokio::time::{Instant, interval};

/// Time that a slot is held without renewal.
const SLOT_TTL_SECONDS: u64 = 15;

/// Why an order was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum OrderFailure {
    /// The weights can't be loaded.
    #[error(transparent)]
    Weights(#[from] WeightsError),
    /// All slots are taken.
    #[error("all {0} slots of the weight store are taken")]
    NoSlot(u32),
    /// The store can't be reached.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The lease on the slot lapsed before the order was given.
    #[error("the lease on the weight store's slot lapsed before the order was given")]
    Lapsed,
    /// The engine did not carry it out.
    #[error(transparent)]
    Engine(#[from] OrderError),
}

/// Gives orders to one engine.
#[derive(Debug)]
pub struct Orderer {
    engine: Engine,
    weights: WeightsClient,
    store: Client,
    /// Engines that may load weights at once, in all.
    slots: u32,
    holder: Incarnation,
    start: Instant,
    log: Logger,
}

impl Orderer {
    /// An orderer of the side with this incarnation.
    pub fn new(
        engine: Engine,
        weights: WeightsClient,
        store: Client,
        slots: u32,
        holder: Incarnation,
        log: Logger,
    ) -> Self {
        Self { engine, weights, store, slots, holder, start: Instant::now(), log }
    }

    /// Makes the engine serve a version of a model. It can be repeated after any failure.
    pub async fn serve(
        &self,
        model: &str,
        adapter: Option<&str>,
        version: &str,
    ) -> Result<Applied, OrderFailure> {
        let WeightsInfo { bytes } = self.weights.info(model, version).await?;
        let mut slot = self.take_slot().await?;
        info!(self.log, "order given"; "model" => model, "adapter" => adapter,
            "version" => version, "bytes" => bytes, "fence" => slot.lease.fence());
        let order = Order::Serve {
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            version: version.to_owned(),
        };
        let result = self.give(&order, &mut slot).await;
        if let Err(error) = &result {
            warn!(self.log, "order not carried out"; "model" => model, "version" => version,
                "error" => %error);
        }
        // A slot that can't be given back is free once its lease lapses.
        if let Err(error) = self.store.revoke_lease(slot.id).await {
            warn!(self.log, "slot not given back"; "error" => %error);
        }
        result
    }

    /// Gives the order, and renews the lease until the engine has answered.
    async fn give(&self, order: &Order, slot: &mut Slot) -> Result<Applied, OrderFailure> {
        if slot.lease.state(self.now()) == LeaseState::Lapsed {
            return Err(OrderFailure::Lapsed);
        }
        let given = self.engine.order(order, slot.lease.fence());
        tokio::pin!(given);
        let mut timer = interval(Duration::from_secs(SLOT_TTL_SECONDS) / 3);
        timer.tick().await;
        loop {
            tokio::select! {
                result = &mut given => return Ok(result?),
                _ = timer.tick() => self.renew(slot).await,
            }
        }
    }

    async fn renew(&self, slot: &mut Slot) {
        let sent = self.now();
        match self.store.renew_lease(slot.id).await {
            Ok(Some(_)) => slot.lease.renew(sent),
            // The order can't be taken back. At worst one engine more loads weights for a while.
            Ok(None) => warn!(self.log, "lease on the slot lapsed while the order was carried out"),
            Err(error) => warn!(self.log, "lease on the slot not renewed"; "error" => %error),
        }
    }

    async fn take_slot(&self) -> Result<Slot, OrderFailure> {
        let sent = self.now();
        let grant = self.store.grant_lease(SLOT_TTL_SECONDS).await?;
        let ttl = Span::from_secs(grant.ttl);
        let holder = self.holder.to_string();
        let first = self.holder.0 % u64::from(self.slots.max(1));
        for i in 0..u64::from(self.slots) {
            let slot = (first + i) % u64::from(self.slots);
            match self.create(&format!("/damaskweir/weights/{slot}"), &holder, grant.id).await {
                Ok(Some(fence)) => {
                    return Ok(Slot {
                        id: grant.id,
                        lease: Lease::new(self.holder, sent, ttl, fence),
                    });
                }
                Ok(None) => {}
                Err(error) => {
                    // Removes the key too if the transaction took effect.
                    let _ = self.store.revoke_lease(grant.id).await;
                    return Err(error.into());
                }
            }
        }
        let _ = self.store.revoke_lease(grant.id).await;
        Err(OrderFailure::NoSlot(self.slots))
    }

    /// Creates a slot's key. Returns the revision, or `None` if someone else holds the slot.
    async fn create(&self, key: &str, holder: &str, lease: u64) -> Result<Option<u64>, StoreError> {
        let txn = Txn {
            compare: vec![Compare::Absent(key.to_owned())],
            success: vec![Op::Put(key.to_owned(), holder.as_bytes().to_vec(), lease)],
            failure: Vec::new(),
        };
        let answer = match self.store.txn(&txn).await {
            Ok(answer) => answer,
            Err(error) => {
                // The answer may be lost after the write took effect.
                let found = self.store.get(key).await.map_err(|_| error.clone())?;
                return match found {
                    Some(found) if found.lease == lease => Ok(Some(found.create_revision)),
                    Some(_) => Ok(None),
                    None => Err(error),
                };
            }
        };
        Ok(answer.succeeded.then_some(answer.revision))
    }

    fn now(&self) -> Time {
        Time(0) + Span::from(self.start.elapsed())
    }
}

/// A slot of the weight store.
#[derive(Debug)]
struct Slot {
    /// The store's identifier of the lease.
    id: u64,
    lease: Lease,
}
