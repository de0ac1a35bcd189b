//! Records what is known of cold backend servers, and logs its changes.

use crate::log::{Kind, Value};
use crate::node::{Node, State};
use crate::wire::Wire;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::ServerId;
use damaskweir_core::time::Span;
use damaskweir_core::warmup::{RECORD_DELAY, WarmupChange, WarmupNotice, WarmupStatement};

impl<W: Wire> Node<W> {
    /// Records what the record of a listed server says about its warm-up.
    pub(crate) fn record_listed_warmup(&self, state: &mut State, id: &ServerId) {
        let Some(server) = state.fleet.get(id).cloned() else { return };
        let pool = state.catalog.as_ref().and_then(|catalog| catalog.pools.get(&server.pool));
        let Some(spec) = pool.and_then(|pool| pool.warmup) else { return };
        let listed = state.fleet.warm_at(id);
        let change = state.intake.warmups.record(self.now(), &server, spec, listed);
        self.log_warmup(&server, change);
    }

    /// Records all listed servers by the configuration that has just been applied.
    pub(crate) fn record_all_warmups(&self, state: &mut State) {
        let Some(catalog) = state.catalog.clone() else { return };
        state
            .intake
            .warmups
            .retain_pools(|pool| catalog.pools.get(pool).is_some_and(|pool| pool.warmup.is_some()));
        let ids: Vec<_> = state.fleet.replicas().map(|server| server.id.clone()).collect();
        ids.iter().for_each(|id| self.record_listed_warmup(state, id));
        state.assign_cold_grantors(&self.config, self.now());
    }

    /// Records what an answer of a server says about its warm-up.
    pub(crate) fn record_warmup(&self, server: &Replica, notice: WarmupNotice) {
        if notice == WarmupNotice::None {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = state.intake.warmups.hear(now, server, notice);
        if matches!(change, Some(WarmupChange::Cold { .. })) {
            // A record that was read before that was written before the answer.
            state.fleet.await_record(&server.id, now + RECORD_DELAY);
        }
        self.log_warmup(server, change);
    }

    /// Records what another entry tells that asks for a permit.
    pub(crate) fn merge_warmup(&self, server: &Replica, told: WarmupStatement) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = state.intake.warmups.merge(now, server, told);
        if change.is_some() {
            state.assign_cold_grantors(&self.config, now);
        }
        self.log_warmup(server, change);
    }

    /// Takes servers for cold whose zone is no longer evacuated.
    pub fn assume_cold(&self, servers: &[Replica]) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let as_of = state.fleet.as_of();
        for (server, change) in state.intake.warmups.assume_cold(now, as_of, servers) {
            self.log_warmup(&server, Some(change));
        }
        servers.iter().for_each(|server| state.fleet.await_record(&server.id, now));
    }

    fn log_warmup(&self, server: &Replica, change: Option<WarmupChange>) {
        let id = ("server", Value::from(server.id.as_str()));
        match change {
            Some(WarmupChange::Cold { left, from }) => {
                let left = Span::as_millis(left);
                let fields = [id, ("left_ms", left.into()), ("from", from.name().into())];
                self.log.process(Kind::ServerCold, &fields);
            }
            Some(WarmupChange::Invalid(text)) => {
                let fields = [id, ("what", "warmup".into()), ("error", text.as_str().into())];
                self.log.process(Kind::Unusable, &fields);
            }
            None => {}
        }
    }
}
