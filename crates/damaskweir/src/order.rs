//! Sends orders to load and serve model weights to a sidecar's engine.
//!
//! Loading weights requires one of a fixed number of slots, so that all engines together stay
//! within the weight store's rate limit. A slot is the store key `/damaskweir/weights/<slot>`,
//! bound to a lease. The revision that created the key is the fencing token of the order; it is
//! higher than that of every earlier holder of any slot.
//!
//! A sidecar process that is paused can send its order after its lease has expired. It therefore
//! checks the lease by its own clock right before sending, and an engine that compares fencing
//! tokens rejects an order that arrives after one with a higher token.

use damaskweir_core::lease::{Lease, LeaseState};
use damaskweir_core::prelude::*;
use damaskweir_engines::{Applied, Engine, Order, OrderError};
use damaskweir_store::{Client, Compare, Op, StoreError, Txn};
use damaskweir_weights::{WeightsClient, WeightsError, WeightsInfo};
use slog::{Logger, info, warn};
use std::time::Duration;
use tokio::time::{Instant, interval};

/// Time in seconds after which a slot is released if its lease is not renewed.
const SLOT_TTL_SECONDS: u64 = 15;

/// Error carrying out an order.
#[derive(Debug, thiserror::Error)]
pub enum OrderFailure {
    /// Looking up the weights in the weight store failed.
    #[error(transparent)]
    Weights(#[from] WeightsError),
    /// All slots are in use.
    #[error("all {0} weight store slots are in use")]
    NoFreeSlot(u32),
    /// A call to the store that holds the slots failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The lease on the slot expired before the order was sent.
    #[error("lease on the weight store slot expired before the order was sent")]
    LeaseExpired,
    /// The engine refused the order or failed to carry it out.
    #[error(transparent)]
    Engine(#[from] OrderError),
}

/// Sends orders to one engine.
#[derive(Debug)]
pub struct OrderSender {
    engine: Engine,
    weights: WeightsClient,
    store: Client,
    /// Maximum number of engines, across the deployment, that load weights at the same time.
    slots: u32,
    holder: Incarnation,
    start: Instant,
    log: Logger,
}

impl OrderSender {
    /// Creates a sender for the sidecar with the incarnation `holder`, which is stored in the keys
    /// of the slots that it acquires.
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

    /// Makes the engine serve a version of a model. Safe to retry after any failure.
    pub async fn serve(
        &self,
        model: &str,
        adapter: Option<&str>,
        version: &str,
    ) -> Result<Applied, OrderFailure> {
        let WeightsInfo { bytes } = self.weights.info(model, version).await?;
        let mut slot = self.acquire_slot().await?;
        info!(self.log, "sending order to engine"; "model" => model, "adapter" => adapter,
            "version" => version, "bytes" => bytes, "fence" => slot.lease.fence());
        let order = Order::Serve {
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            version: version.to_owned(),
        };
        let result = self.send(&order, &mut slot).await;
        if let Err(error) = &result {
            warn!(self.log, "order failed"; "model" => model, "version" => version,
                "error" => %error);
        }
        // If this fails, the slot becomes free when its lease expires.
        if let Err(error) = self.store.revoke_lease(slot.lease_id).await {
            warn!(self.log, "failed to release weight store slot"; "error" => %error);
        }
        result
    }

    /// Sends the order, and renews the lease until the engine has answered.
    async fn send(&self, order: &Order, slot: &mut Slot) -> Result<Applied, OrderFailure> {
        if slot.lease.state(self.now()) == LeaseState::Lapsed {
            return Err(OrderFailure::LeaseExpired);
        }
        let sent = self.engine.send_order(order, slot.lease.fence());
        tokio::pin!(sent);
        let mut timer = interval(Duration::from_secs(SLOT_TTL_SECONDS) / 3);
        timer.tick().await;
        loop {
            tokio::select! {
                result = &mut sent => return Ok(result?),
                _ = timer.tick() => self.renew(slot).await,
            }
        }
    }

    async fn renew(&self, slot: &mut Slot) {
        let sent = self.now();
        match self.store.renew_lease(slot.lease_id).await {
            Ok(Some(_)) => slot.lease.renew(sent),
            // The order can't be cancelled. At worst, one engine more than allowed loads weights
            // for a while.
            Ok(None) => warn!(self.log, "lease on the slot expired during the order"),
            Err(error) => {
                warn!(self.log, "failed to renew the lease on the slot"; "error" => %error)
            }
        }
    }

    async fn acquire_slot(&self) -> Result<Slot, OrderFailure> {
        let sent = self.now();
        let grant = self.store.grant_lease(SLOT_TTL_SECONDS).await?;
        let ttl = Span::from_secs(grant.ttl);
        let holder = self.holder.to_string();
        let first = self.holder.0 % u64::from(self.slots.max(1));
        for i in 0..u64::from(self.slots) {
            let slot = (first + i) % u64::from(self.slots);
            match self.create_key(&format!("/damaskweir/weights/{slot}"), &holder, grant.id).await {
                Ok(Some(fence)) => {
                    return Ok(Slot {
                        lease_id: grant.id,
                        lease: Lease::new(self.holder, sent, ttl, fence),
                    });
                }
                Ok(None) => {}
                Err(error) => {
                    // Also deletes the key if the transaction was committed.
                    let _ = self.store.revoke_lease(grant.id).await;
                    return Err(error.into());
                }
            }
        }
        let _ = self.store.revoke_lease(grant.id).await;
        Err(OrderFailure::NoFreeSlot(self.slots))
    }

    /// Creates the key of a slot. Returns its create revision, or `None` if the slot is in use.
    async fn create_key(
        &self,
        key: &str,
        holder: &str,
        lease: u64,
    ) -> Result<Option<u64>, StoreError> {
        let txn = Txn {
            compare: vec![Compare::Absent(key.to_owned())],
            success: vec![Op::Put(key.to_owned(), holder.as_bytes().to_vec(), lease)],
            failure: Vec::new(),
        };
        let answer = match self.store.txn(&txn).await {
            Ok(answer) => answer,
            Err(error) => {
                // The transaction may have been committed even though its response was lost.
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

/// An acquired slot of the weight store.
#[derive(Debug)]
struct Slot {
    /// Id of the lease in the store.
    lease_id: u64,
    lease: Lease,
}
