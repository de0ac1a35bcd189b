//! Budgets of retries and hedges, and backoff delays.

use crate::Rng;
use crate::time::Span;
use rand_core::Rng as _;

/// Budget units per token of an attempt, or per microsecond of work.
const UNITS_PER_TOKEN: u64 = 1_000;
/// Maximum saved tokens of a retry budget, so that a pool with little traffic still allows a few retries.
const MAX_TOKENS: u64 = 10;

/// Limits extra attempts to a share of the first attempts, which bounds the load on a failing pool.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Thousandths of a token; at most `MAX_TOKENS * UNITS_PER_TOKEN`.
    balance: u64,
    share: u64,
}

impl RetryBudget {
    /// Creates a full budget that gains `share` thousandths of an extra attempt per first attempt.
    pub fn new(share: u32) -> Self {
        Self { balance: MAX_TOKENS * UNITS_PER_TOKEN, share: u64::from(share) }
    }

    /// Changes the share and keeps the balance.
    pub fn set_share(&mut self, share: u32) {
        self.share = u64::from(share);
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_TOKENS * UNITS_PER_TOKEN);
    }

    /// Withdraws one extra attempt if the budget allows it.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= UNITS_PER_TOKEN;
        if allowed {
            self.balance -= UNITS_PER_TOKEN;
        }
        allowed
    }
}

/// Maximum saved work of a hedge budget; enough for a few hedges of long attempts.
const MAX_SAVED_WORK: Span = Span::from_secs(12);

/// Limits the work of hedges to a share of the work of first attempts. A limit on their number would let
/// hedges of long attempts cost many times that share.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    /// Thousandths of a microsecond of predicted work.
    balance: u64,
    share: u64,
}

impl HedgeBudget {
    /// Creates a full budget that gains `share` thousandths of the work of first attempts.
    pub fn new(share: u32) -> Self {
        Self { balance: MAX_SAVED_WORK.0 * UNITS_PER_TOKEN, share: u64::from(share) }
    }

    /// Changes the share and keeps the balance.
    pub fn set_share(&mut self, share: u32) {
        self.share = u64::from(share);
    }

    /// Records a first attempt with this predicted service time.
    pub fn deposit(&mut self, work: Span) {
        let added = work.0.saturating_mul(self.share);
        self.balance = self.balance.saturating_add(added).min(MAX_SAVED_WORK.0 * UNITS_PER_TOKEN);
    }

    /// Withdraws an extra attempt with this predicted service time if the budget allows it.
    pub fn try_withdraw(&mut self, work: Span) -> bool {
        let cost = work.0.saturating_mul(UNITS_PER_TOKEN);
        let allowed = self.balance >= cost;
        if allowed {
            self.balance -= cost;
        }
        allowed
    }
}

/// Sequence of backoff delays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackoffKind {
    /// Decorrelated jitter: uniform between the base and three times the previous delay.
    #[default]
    Decorrelated,
    /// Twice the previous delay, without jitter. Serves as a baseline for measurements.
    Exponential,
}

/// Delay before a retry, up to a cap. By default with decorrelated jitter, as the Tor directory
/// specification uses for its clients.
#[derive(Clone, Debug)]
pub struct Backoff {
    kind: BackoffKind,
    base: Span,
    cap: Span,
    previous: Span,
}

impl Backoff {
    /// Creates a backoff with delays from `base` to `cap`.
    pub fn new(base: Span, cap: Span) -> Self {
        Self::with_kind(base, cap, BackoffKind::default())
    }

    /// Creates a backoff of another kind.
    pub fn with_kind(base: Span, cap: Span, kind: BackoffKind) -> Self {
        Self { kind, base, cap, previous: base }
    }

    /// Returns the next delay.
    pub fn next_delay(&mut self, rng: &mut Rng) -> Span {
        let delay = match self.kind {
            BackoffKind::Decorrelated => {
                let high = (self.previous.0 * 3).max(self.base.0 + 1);
                self.base.0 + rng.next_u64() % (high - self.base.0)
            }
            BackoffKind::Exponential => self.previous.0 * 2,
        };
        self.previous = Span(delay.min(self.cap.0));
        self.previous
    }
}
