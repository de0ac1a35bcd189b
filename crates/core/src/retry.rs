//! Budgets and delays of retries and hedges.

use crate::Rng;
use crate::time::Span;
use rand_core::Rng as _;

/// One token of a budget, in thousandths.
const UNITS_PER_TOKEN: u64 = 1_000;
/// Tokens that a budget can save up, so that a quiet pool still allows a few retries.
const MAX_TOKENS: u64 = 10;

/// Limits extra attempts to a share of the first attempts, so that a failing pool never sees more.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Thousandths of a token; at most `BURST_TOKENS * TOKEN`.
    balance: u64,
    share: u64,
}

impl RetryBudget {
    /// A budget of `share` thousandths of an extra attempt for each first attempt.
    pub fn new(share: u32) -> Self {
        Self { balance: MAX_TOKENS * UNITS_PER_TOKEN, share: u64::from(share) }
    }

    /// Changes the share; what was saved up stays.
    pub fn set_share(&mut self, share: u32) {
        self.share = u64::from(share);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_TOKENS * UNITS_PER_TOKEN);
    }

    /// Takes one extra attempt if the budget allows it.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= UNITS_PER_TOKEN;
        if allowed {
            self.balance -= UNITS_PER_TOKEN;
        }
        allowed
    }
}

/// Work that a work budget can save up; enough for a few hedges of long work.
const MAX_SAVED_WORK: Span = Span::from_secs(12);

/// Limits the work of hedges to a share of the work of first attempts. Counting attempts instead would
/// let hedges of long work cost many times their share.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    /// Thousandths of a microsecond of predicted work.
    balance: u64,
    share: u64,
}

impl HedgeBudget {
    /// A budget of `share` thousandths of the work of first attempts.
    pub fn new(share: u32) -> Self {
        Self { balance: MAX_SAVED_WORK.0 * UNITS_PER_TOKEN, share: u64::from(share) }
    }

    /// Changes the share; what was saved up stays.
    pub fn set_share(&mut self, share: u32) {
        self.share = u64::from(share);
    }

    /// Counts a first attempt of this predicted length.
    pub fn deposit(&mut self, work: Span) {
        let added = work.0.saturating_mul(self.share);
        self.balance = self.balance.saturating_add(added).min(MAX_SAVED_WORK.0 * UNITS_PER_TOKEN);
    }

    /// Takes an extra attempt of this predicted length if the budget allows it.
    pub fn try_withdraw(&mut self, work: Span) -> bool {
        let cost = work.0.saturating_mul(UNITS_PER_TOKEN);
        let allowed = self.balance >= cost;
        if allowed {
            self.balance -= cost;
        }
        allowed
    }
}

/// How delays are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackoffKind {
    /// Decorrelated jitter.
    #[default]
    Decorrelated,
    /// Twice the last delay, without jitter. Kept to measure against.
    Exponential,
}

/// Delay before a retry, with decorrelated jitter: uniform between the base and three times the last
/// delay, up to a cap. The Tor directory specification uses the same variation for its clients.
#[derive(Clone, Debug)]
pub struct Backoff {
    kind: BackoffKind,
    base: Span,
    cap: Span,
    previous: Span,
}

impl Backoff {
    /// Starts at `base` and never exceeds `cap`.
    pub fn new(base: Span, cap: Span) -> Self {
        Self::with_kind(base, cap, BackoffKind::default())
    }

    /// The same with another spread.
    pub fn with_kind(base: Span, cap: Span, kind: BackoffKind) -> Self {
        Self { kind, base, cap, previous: base }
    }

    /// The next delay.
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
