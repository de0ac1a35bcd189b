//! Share of the store's rate that this process may use.

use std::time::Duration;
use tokio::time::Instant;

/// Token bucket. A taker reserves its token and waits until that is due, so that takers are served in
/// order and none starves.
#[derive(Debug)]
pub(crate) struct Bucket {
    interval: Duration,
    burst: u32,
    /// When the bucket would be full again.
    full: Instant,
}

impl Bucket {
    pub(crate) fn new(rate: u32, burst: u32) -> Self {
        let interval = Duration::from_secs(1) / rate.max(1);
        Self { interval, burst: burst.max(1), full: Instant::now() }
    }

    /// Reserves one call. `None`: it would have to wait longer than `patience`.
    pub(crate) fn take(&mut self, now: Instant, patience: Duration) -> Option<Duration> {
        let full = self.full.max(now) + self.interval;
        let wait = full.duration_since(now).saturating_sub(self.interval * self.burst);
        if wait > patience {
            return None;
        }
        self.full = full;
        Some(wait)
    }
}
