//! Scheduling of heartbeats.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Interval, MissedTickBehavior, interval};

/// Whether a message was sent since the last heartbeat was due. Every message contains the data of a
/// heartbeat, so busy connections need no heartbeats.
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

/// Determines when the next heartbeat of a connection is due.
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

    /// Waits until this end sent nothing for a whole period or the active version changed. `was_active`
    /// reports whether it sent a message since the previous call.
    pub(crate) async fn wait(&mut self, mut was_active: impl FnMut() -> bool) {
        loop {
            tokio::select! {
                _ = self.interval.tick() => {
                    // The first heartbeat is sent immediately, to give the peer this end's state.
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
