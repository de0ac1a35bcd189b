//! Budgets and delays of retries and hedges.

use crate::Rng;
use crate::time::Span;
use rand_core::Rng as _;

/// One token of a budget, in thousandths.
const TOKEN: u64 = 1_000;
/// Tokens that a budget can save up, so that a quiet pool still allows a few retries.
const BURST_TOKENS: u64 = 10;

/// Limits extra attempts to a share of the first attempts, so that a failing pool never sees more.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Thousandths of a token; at most `BURST_TOKENS * TOKEN`.
    level: u64,
    share: u64,
}

impl Budget {
    /// A budget of `share` thousandths of an extra attempt for each first attempt.
    pub fn new(share: u32) -> Self {
        Self { level: BURST_TOKENS * TOKEN, share: u64::from(share) }
    }

    /// Changes the share; what was saved up stays.
    pub fn set_share(&mut self, share: u32) {
        self.share = u64::from(share);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.share).min(BURST_TOKENS * TOKEN);
    }

    /// Takes one extra attempt if the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.level >= TOKEN;
        if allowed {
            self.level -= TOKEN;
        }
        allowed
    }
}

/// Work that a work budget can save up; enough for a few hedges of long work.
const WORK_BURST: Span = Span::from_secs(12);

/// Limits the work of hedges to a share of the work of first attempts. Counting attempts instead would
/// let hedges of long work cost many times their share.
#[derive(Clone, Debug)]
pub struct WorkBudget {
    /// Thousandths of a microsecond of predicted work.
    level: u64,
    share: u64,
}

impl WorkBudget {
    /// A budget of `share` thousandths of the work of first attempts.
    pub fn new(share: u32) -> Self {
        Self { level: WORK_BURST.0 * TOKEN, share: u64::from(share) }
    }

    /// Changes the share; what was saved up stays.
    pub fn set_share(&mut self, share: u32) {
        self.share = u64::from(share);
    }

    /// Counts a first attempt of this predicted length.
    pub fn deposit(&mut self, work: Span) {
        let added = work.0.saturating_mul(self.share);
        self.level = self.level.saturating_add(added).min(WORK_BURST.0 * TOKEN);
    }

    /// Takes an extra attempt of this predicted length if the budget allows it.
    pub fn withdraw(&mut self, work: Span) -> bool {
        let cost = work.0.saturating_mul(TOKEN);
        let allowed = self.level >= cost;
        if allowed {
            self.level -= cost;
        }
        allowed
    }
}

/// How delays are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spread {
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
    spread: Spread,
    base: Span,
    cap: Span,
    last: Span,
}

impl Backoff {
    /// Starts at `base` and never exceeds `cap`.
    pub fn new(base: Span, cap: Span) -> Self {
        Self::with_spread(base, cap, Spread::default())
    }

    /// The same with another spread.
    pub fn with_spread(base: Span, cap: Span, spread: Spread) -> Self {
        Self { spread, base, cap, last: base }
    }

    /// The next delay.
    pub fn next_delay(&mut self, rng: &mut Rng) -> Span {
        let delay = match self.spread {
            Spread::Decorrelated => {
                let high = (self.last.0 * 3).max(self.base.0 + 1);
                self.base.0 + rng.next_u64() % (high - self.base.0)
            }
            Spread::Exponential => self.last.0 * 2,
        };
        self.last = Span(delay.min(self.cap.0));
        self.last
    }
}
