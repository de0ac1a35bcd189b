//! Heartbeats of a connection.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Interval, MissedTickBehavior, interval};

/// Whether anything was sent since the last heartbeat was due. Each message carries what a heartbeat
/// carries, so busy connections need none.
#[derive(Debug, Default)]
pub(crate) struct Activity(AtomicBool);

impl Activity {
    pub(crate) fn record(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

/// Tells when heartbeats are due.
pub(crate) struct HeartbeatTimer {
    interval: Interval,
    versions: watch::Receiver<damaskweir_core::ids::Version>,
    first: bool,
}

impl HeartbeatTimer {
    pub(crate) fn new(
        period: Duration,
        versions: watch::Receiver<damaskweir_core::ids::Version>,
    ) -> Self {
        let mut interval = interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self { interval, versions, first: true }
    }

    /// Waits until the connection was idle for a period or the version in force changed.
    pub(crate) async fn wait(&mut self, mut was_active: impl FnMut() -> bool) {
        loop {
            tokio::select! {
                _ = self.interval.tick() => {
                    // The first heartbeat tells the peer this end's state at once.
                    let first = std::mem::take(&mut self.first);
                    if !was_active() || first {
                        return;
                    }
                }
                Ok(()) = self.versions.changed() => return,
            }
        }
    }
}
