//! An entry's connections to sidecars.

use crate::requests::Shared;
use damaskweir_core::prelude::*;
use damaskweir_core::retry::Backoff;
use damaskweir_wire::{Link, WireError};
use slog::{debug, info, o, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Delay before the first reconnection attempt.
const DIAL_DELAY_MIN: Span = Span::from_millis(100);
/// Maximum delay between reconnection attempts.
const DIAL_DELAY_MAX: Span = Span::from_secs(2);
/// How long a connection stays open after its server was removed from the bundle, so that running
/// attempts can finish.
const LINK_DRAIN_TIME: Duration = Duration::from_secs(90);

/// Connects to one sidecar and reconnects with backoff whenever the connection ends.
pub(crate) async fn maintain_link(shared: Arc<Shared>, pool: PoolId, server: BackendServer) {
    let log = shared.log.new(o!("pool" => pool.to_string(), "server" => server.id.to_string()));
    let mut backoff = Backoff::new(DIAL_DELAY_MIN, DIAL_DELAY_MAX);
    let mut last_kind = "";
    loop {
        let error = match shared.dialer.connect(server.side, &server.id).await {
            Ok(link) => {
                info!(log, "connected to sidecar"; "incarnation" => %link.hello().incarnation);
                backoff = Backoff::new(DIAL_DELAY_MIN, DIAL_DELAY_MAX);
                last_kind = "";
                monitor_link(&shared, &pool, &server.id, link).await
            }
            Err(error) => error,
        };
        let kind = error.kind();
        shared.metrics.link_failed(kind);
        // Repeated errors of the same kind are logged at debug level, but all are counted.
        if kind == last_kind {
            debug!(log, "no connection to sidecar"; "kind" => kind, "error" => %error);
        } else {
            warn!(log, "no connection to sidecar"; "kind" => kind, "error" => %error);
        }
        last_kind = kind;
        let delay = backoff.next_delay(&mut shared.lock().rng);
        sleep(delay.into()).await;
    }
}

/// Registers a connection with the state machine and the bundle distribution, until dropped.
pub(crate) struct ConnectionGuard<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) pool: &'a PoolId,
    pub(crate) server: &'a ServerId,
    pub(crate) incarnation: Incarnation,
}

impl<'a> ConnectionGuard<'a> {
    pub(crate) fn new(
        shared: &'a Arc<Shared>,
        pool: &'a PoolId,
        server: &'a ServerId,
        link: &Link,
    ) -> Self {
        {
            let mut state = shared.lock();
            let now = shared.now();
            state.links.insert(server.clone(), link.clone());
            state.entry.set_connected(now, pool, server, true);
        }
        if let Some(sync) = &shared.sync {
            sync.add_sidecar(server, link);
        }
        Self { shared, pool, server, incarnation: link.hello().incarnation }
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        {
            let mut state = self.shared.lock();
            let now = self.shared.now();
            state.links.remove(self.server);
            state.entry.set_connected(now, self.pool, self.server, false);
        }
        if let Some(sync) = &self.shared.sync {
            sync.remove_sidecar(self.server, self.incarnation);
        }
    }
}

/// Connections to the servers of the active bundle. They are closed when this is dropped.
pub(crate) struct Links {
    pub(crate) shared: Arc<Shared>,
    pub(crate) active: BTreeMap<ServerId, (PoolId, BackendServer, JoinHandle<()>)>,
    /// Connections to servers that were removed from the bundle, kept until running attempts had
    /// time to finish.
    pub(crate) draining: BTreeMap<ServerId, JoinHandle<()>>,
}

impl Links {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, active: BTreeMap::new(), draining: BTreeMap::new() }
    }

    /// Connects to the sidecars listed in the settings, for a process that has no bundle yet.
    pub(crate) fn connect_seeds(&mut self, seeds: BTreeMap<ServerId, SocketAddr>) {
        for (id, side) in seeds {
            let server = BackendServer { id, zone: AvailabilityZone::from(""), side, slots: 1 };
            self.connect(PoolId::from(""), server);
        }
    }

    /// Connects to the servers that the state machine uses, and drains connections to all others.
    pub(crate) fn apply_bundle(&mut self, bundle: &Bundle) {
        let used = self.used_servers(bundle);
        let gone: Vec<_> =
            self.active.keys().filter(|id| !used.contains_key(id)).cloned().collect();
        for id in gone {
            self.drain(id);
        }
        for (id, (pool, server)) in used {
            let same = self.active.get(&id).is_some_and(|(known_pool, known, _)| {
                *known_pool == pool && known.side == server.side
            });
            if !same {
                self.connect(pool, server);
            }
        }
    }

    fn used_servers(&self, bundle: &Bundle) -> BTreeMap<ServerId, (PoolId, BackendServer)> {
        let state = self.shared.lock();
        let mut used = BTreeMap::new();
        for (id, pool) in &bundle.pools {
            let servers =
                pool.servers.iter().filter(|server| state.entry.uses_server(id, &server.id));
            used.extend(servers.map(|s| (s.id.clone(), (id.clone(), s.clone()))));
        }
        used
    }

    pub(crate) fn connect(&mut self, pool: PoolId, server: BackendServer) {
        let active = self.active.remove(&server.id).map(|(_, _, task)| task);
        let previous = active.or_else(|| self.draining.remove(&server.id));
        let (shared, target) = (Arc::clone(&self.shared), server.clone());
        let name = pool.clone();
        let task = tokio::spawn(async move {
            // Waits for the previous task, so that its guard can't mark the new connection as
            // closed.
            if let Some(previous) = previous {
                previous.abort();
                let _ = previous.await;
            }
            maintain_link(shared, name, target).await;
        });
        self.active.insert(server.id.clone(), (pool, server, task));
    }

    pub(crate) fn drain(&mut self, id: ServerId) {
        let Some((_, _, task)) = self.active.remove(&id) else { return };
        let handle = task.abort_handle();
        tokio::spawn(async move {
            sleep(LINK_DRAIN_TIME).await;
            handle.abort();
        });
        self.draining.insert(id, task);
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.active.values().for_each(|(_, _, task)| task.abort());
        self.draining.values().for_each(JoinHandle::abort);
    }
}

/// Passes a sidecar's reports to the state machine until the connection ends.
pub(crate) async fn monitor_link(
    shared: &Arc<Shared>,
    pool: &PoolId,
    server: &ServerId,
    link: Link,
) -> WireError {
    let mut reports = link.reports();
    let peer = link.hello().incarnation;
    let _guard = ConnectionGuard::new(shared, pool, server, &link);
    loop {
        let report = *reports.borrow_and_update();
        if let Some(report) = report {
            shared.lock().entry.report(pool, server, report);
            if let Some(sync) = &shared.sync {
                sync.update_sidecar(server, peer, report.version);
            }
        }
        tokio::select! {
            error = link.closed() => return error,
            changed = reports.changed() => {
                if changed.is_err() {
                    return link.closed().await;
                }
            }
        }
    }
}
