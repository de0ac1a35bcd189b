//! Connections of an entry to sides.

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

/// First delay before a side is dialled again.
const DIAL_BASE: Span = Span::from_millis(100);
/// Longest delay before a side is dialled again.
const DIAL_CAP: Span = Span::from_secs(2);
/// Time that a connection to a server that left the bundle stays open, for work that runs there.
const LEAVE_TIME: Duration = Duration::from_secs(90);

/// Keeps a connection to one side.
pub(crate) async fn keep_link(shared: Arc<Shared>, pool: PoolId, server: BackendServer) {
    let log = shared.log.new(o!("pool" => pool.to_string(), "server" => server.id.to_string()));
    let mut backoff = Backoff::new(DIAL_BASE, DIAL_CAP);
    let mut last = "";
    loop {
        let error = match shared.dialer.connect(server.side, &server.id).await {
            Ok(link) => {
                info!(log, "side connected"; "incarnation" => %link.hello().incarnation);
                backoff = Backoff::new(DIAL_BASE, DIAL_CAP);
                last = "";
                serve_link(&shared, &pool, &server.id, link).await
            }
            Err(error) => error,
        };
        let kind = error.kind();
        shared.metrics.link_failed(kind);
        // A side that stays away is logged once per kind of error and counted each time.
        if kind == last {
            debug!(log, "side not connected"; "kind" => kind, "error" => %error);
        } else {
            warn!(log, "side not connected"; "kind" => kind, "error" => %error);
        }
        last = kind;
        let delay = backoff.next_delay(&mut shared.lock().rng);
        sleep(delay.into()).await;
    }
}

/// A connection that the core and the spread of bundles know of, until it is dropped.
pub(crate) struct Connected<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) pool: &'a PoolId,
    pub(crate) server: &'a ServerId,
    pub(crate) peer: Incarnation,
}

impl<'a> Connected<'a> {
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
        if let Some(spread) = &shared.spread {
            spread.add_side(server, link);
        }
        Self { shared, pool, server, peer: link.hello().incarnation }
    }
}

impl Drop for Connected<'_> {
    fn drop(&mut self) {
        {
            let mut state = self.shared.lock();
            let now = self.shared.now();
            state.links.remove(self.server);
            state.entry.set_connected(now, self.pool, self.server, false);
        }
        if let Some(spread) = &self.shared.spread {
            spread.remove_side(self.server, self.peer);
        }
    }
}

/// Connections to the servers of the bundle in force. They end when this is dropped.
pub(crate) struct Links {
    pub(crate) shared: Arc<Shared>,
    pub(crate) open: BTreeMap<ServerId, (PoolId, BackendServer, JoinHandle<()>)>,
    /// Connections to servers that the bundle no longer has, for the work that still runs there.
    pub(crate) left: BTreeMap<ServerId, JoinHandle<()>>,
}

impl Links {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, open: BTreeMap::new(), left: BTreeMap::new() }
    }

    /// Connects to sides from the settings, for a process that has no bundle yet.
    pub(crate) fn seed(&mut self, seeds: BTreeMap<ServerId, SocketAddr>) {
        for (id, side) in seeds {
            let server = BackendServer { id, zone: AvailabilityZone::from(""), side, slots: 1 };
            self.connect(PoolId::from(""), server);
        }
    }

    /// Connects to the servers that the core uses, and leaves those that it no longer does.
    pub(crate) fn follow(&mut self, bundle: &Bundle) {
        let wanted = self.wanted(bundle);
        let gone: Vec<_> =
            self.open.keys().filter(|id| !wanted.contains_key(id)).cloned().collect();
        for id in gone {
            self.leave(id);
        }
        for (id, (pool, server)) in wanted {
            let same = self.open.get(&id).is_some_and(|(known_pool, known, _)| {
                *known_pool == pool && known.side == server.side
            });
            if !same {
                self.connect(pool, server);
            }
        }
    }

    fn wanted(&self, bundle: &Bundle) -> BTreeMap<ServerId, (PoolId, BackendServer)> {
        let state = self.shared.lock();
        let mut wanted = BTreeMap::new();
        for (id, pool) in &bundle.pools {
            let used = pool.servers.iter().filter(|server| state.entry.uses_server(id, &server.id));
            wanted.extend(used.map(|s| (s.id.clone(), (id.clone(), s.clone()))));
        }
        wanted
    }

    pub(crate) fn connect(&mut self, pool: PoolId, server: BackendServer) {
        let open = self.open.remove(&server.id).map(|(_, _, task)| task);
        let before = open.or_else(|| self.left.remove(&server.id));
        let (shared, kept) = (Arc::clone(&self.shared), server.clone());
        let name = pool.clone();
        let task = tokio::spawn(async move {
            // The end of the connection before must not be taken for that of this one.
            if let Some(before) = before {
                before.abort();
                let _ = before.await;
            }
            keep_link(shared, name, kept).await;
        });
        self.open.insert(server.id.clone(), (pool, server, task));
    }

    pub(crate) fn leave(&mut self, id: ServerId) {
        let Some((_, _, task)) = self.open.remove(&id) else { return };
        let handle = task.abort_handle();
        tokio::spawn(async move {
            sleep(LEAVE_TIME).await;
            handle.abort();
        });
        self.left.insert(id, task);
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.open.values().for_each(|(_, _, task)| task.abort());
        self.left.values().for_each(JoinHandle::abort);
    }
}

/// Reports a connection's state to the core until it ends.
pub(crate) async fn serve_link(
    shared: &Arc<Shared>,
    pool: &PoolId,
    server: &ServerId,
    link: Link,
) -> WireError {
    let mut reports = link.reports();
    let peer = link.hello().incarnation;
    let _connected = Connected::new(shared, pool, server, &link);
    loop {
        let report = *reports.borrow_and_update();
        if let Some(report) = report {
            shared.lock().entry.report(pool, server, report);
            if let Some(spread) = &shared.spread {
                spread.update_side(server, peer, report.version);
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
