//! Acts on the evacuation of availability zones.

use crate::log::Kind;
use crate::node::{Node, NodeConfig, State};
use crate::wire::Wire;
use damaskweir_core::evacuation::{
    EvacuationChanges, EvacuationNotice, EvacuationStatement, Evacuations, Origin, ZoneEvent,
};
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId};
use damaskweir_core::revision::Revision;
use damaskweir_core::time::{Span, Time};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval at which a process that was suspended checks whether its data is confirmed.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(20);

impl<W: Wire> Node<W> {
    /// Applies what the store tells of evacuated zones: all of them, or events.
    pub(crate) fn apply_zones(
        self: &Rc<Self>,
        as_of: Revision,
        events: &[ZoneEvent],
        full_read: bool,
    ) {
        self.update_evacuations(|set, now| {
            if !full_read {
                return set.apply(now, as_of, events);
            }
            let zones: Vec<_> = events.iter().map(|event| event.zone.clone()).collect();
            set.replace(now, as_of, &zones)
        });
    }

    /// Takes a set of evacuated zones that another entry told.
    pub(crate) fn merge_evacuations(self: &Rc<Self>, told: &EvacuationStatement) {
        self.update_evacuations(|set, now| set.merge(now, told));
    }

    /// Ends evacuations that a copy of the store lacks, logs those that became effective, and records that the
    /// process runs.
    pub(crate) fn expire_evacuations(self: &Rc<Self>) {
        let now = self.now();
        self.state.borrow_mut().suspension.tick(now);
        self.update_evacuations(Evacuations::expire);
        self.log_evacuations();
    }

    fn update_evacuations(
        self: &Rc<Self>,
        update: impl FnOnce(&mut Evacuations, Time) -> EvacuationChanges,
    ) {
        let now = self.now();
        let changes = update(&mut self.state.borrow_mut().evacuations, now);
        if changes == EvacuationChanges::default() {
            return;
        }
        let (mut pools, mut restored) = (BTreeSet::new(), Vec::new());
        {
            let mut state = self.state.borrow_mut();
            for zone in &changes.begun {
                pools.extend(state.evacuate_zone(zone));
            }
            for ended in &changes.ended {
                let servers = state.restore_zone(&ended.zone, &self.config);
                pools.extend(servers.iter().map(|server| server.pool.clone()));
                restored.extend(servers);
            }
            pools.iter().for_each(|pool| state.assign_pool_owners(pool, &self.config, now));
            state.assign_grantors(&self.config, now);
        }
        self.log_evacuations();
        for ended in changes.ended.iter().filter(|ended| ended.logged) {
            let fields = [
                ("zone", ended.zone.as_str().into()),
                ("after_ms", ended.lasted.as_millis().into()),
            ];
            self.log.process(Kind::ZoneRestored, &fields);
        }
        // Servers may have become cold while their zone was evacuated.
        self.assume_cold(&restored);
        pools.iter().for_each(|pool| self.dispatch_due(pool));
        self.changed.notify_waiters();
    }

    fn log_evacuations(&self) {
        let notices = {
            let state = &mut *self.state.borrow_mut();
            let fleet = &state.fleet;
            let listed = fleet.as_of() != Revision::default();
            state.evacuations.take_notices(|zone| {
                listed.then(|| fleet.replicas().filter(|server| server.zone == *zone).count())
            })
        };
        for notice in notices {
            match notice {
                EvacuationNotice::Evacuated { zone, servers, origin } => {
                    let from = match origin {
                        Origin::Store => "store",
                        Origin::Entry => "entry",
                    };
                    let fields = [
                        ("zone", zone.as_str().into()),
                        ("servers", (servers as u64).into()),
                        ("from", from.into()),
                    ];
                    self.log.process(Kind::ZoneEvacuated, &fields);
                }
                EvacuationNotice::Unusable(zone) => {
                    let fields = [("what", "evacuation".into()), ("zone", zone.as_str().into())];
                    self.log.process(Kind::Unusable, &fields);
                }
            }
        }
    }

    /// Waits, after a suspension of the process, until its data is confirmed: a zone may have been evacuated
    /// meanwhile. If neither the store nor another entry answers, the data is used as it is.
    pub(crate) async fn wait_caught_up(&self) {
        while self.is_catching_up() {
            // Another task may have confirmed the data before this one waits.
            drop(timeout(CATCH_UP_INTERVAL, self.changed.notified()).await);
        }
    }

    /// Whether the process was suspended and its set of evacuated zones is not confirmed yet.
    pub(crate) fn is_catching_up(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let old = |age: Option<Span>| age.is_none_or(|age| age > self.config.apply_limit);
        self.config.bounds_evacuation
            && state.suspension.is_catching_up(now)
            && old(state.freshness.zones_age(now))
    }
}

impl State {
    /// Stops sending new work to the servers of a zone and closes idle connections to them. Returns their pools.
    fn evacuate_zone(&mut self, zone: &AvailabilityZone) -> Vec<PoolId> {
        let servers = self.fleet.replicas().filter(|server| server.zone == *zone);
        let closed = servers.filter(|server| !self.accepts_work(server));
        let closed: Vec<_> = closed.map(|server| server.id.clone()).collect();
        closed.iter().filter_map(|id| self.remove_server(id)).collect()
    }

    /// Sends new work to the servers of a zone again whose evacuation has ended, unless they leave. Returns
    /// them.
    fn restore_zone(&mut self, zone: &AvailabilityZone, config: &NodeConfig) -> Vec<Replica> {
        let servers = self.fleet.replicas().filter(|server| server.zone == *zone);
        let open: Vec<_> = servers.filter(|server| self.accepts_work(server)).cloned().collect();
        open.iter().for_each(|server| self.add_server(server.clone(), config));
        open
    }

    /// Whether a pool has no server for new work because zones are evacuated.
    pub(crate) fn is_evacuated(&self, pool: &PoolId) -> bool {
        let servers = || self.fleet.replicas().filter(|server| server.pool == *pool);
        self.evacuations.has_zones()
            && servers().any(|server| self.evacuations.contains(&server.zone))
            && !servers().any(|server| self.accepts_work(server))
    }
}
