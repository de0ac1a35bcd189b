//! Rate limiter of the client, which keeps it within its share of the store's rate limit.

use std::time::Duration;
use tokio::time::Instant;

/// Token bucket. Each caller reserves a token and waits until it is due, so that callers are served in
/// order and none starves.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// Time in which one token is added.
    interval: Duration,
    /// Capacity in tokens.
    burst: u32,
    /// When the bucket will be full if no more tokens are taken.
    full_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second.
    pub(crate) fn new(rate: u32, burst: u32) -> Self {
        let interval = Duration::from_secs(1) / rate.max(1);
        Self { interval, burst: burst.max(1), full_at: Instant::now() }
    }

    /// Reserves a token and returns the time until it is due. Reserves nothing and returns `None` if that
    /// is longer than `max_wait`.
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
