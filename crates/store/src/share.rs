//! Share of the store's rate that this process may use.

use std::time::Duration;
use tokio::time::Instant;

/// Token bucket. A taker reserves its token and waits until that is due, so that takers are served in
/// order and none starves.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    interval: Duration,
    burst: u32,
    /// When the bucket would be full again.
    full_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate: u32, burst: u32) -> Self {
        let interval = Duration::from_secs(1) / rate.max(1);
        Self { interval, burst: burst.max(1), full_at: Instant::now() }
    }

    /// Reserves one call. `None`: it would have to wait longer than `max_wait`.
    pub(crate) fn reserve(&mut self, now: Instant, max_wait: Duration) -> Option<Duration> {
        let full_at = self.full_at.max(now) + self.interval;
        let wait = full_at.duration_since(now).saturating_sub(self.interval * self.burst);
        if wait > max_wait {
            return None;
        }
        self.full_at = full_at;
        Some(wait)
    }
}
