//! Monotonic time in microseconds, passed in by the caller.

use crate::value;
use std::ops::{Add, AddAssign, Mul, Sub};

value! {
    /// A point in monotonic time, in microseconds since an arbitrary origin.
    #[derive(Copy, PartialOrd, Ord, Hash, Default)]
    #[serde(transparent)]
    pub struct Time(pub u64);

    /// A duration in microseconds.
    #[derive(Copy, PartialOrd, Ord, Hash, Default)]
    #[serde(transparent)]
    pub struct Span(pub u64);
}

/// A point in the same time that may lie before its origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SignedTime(i64);

impl SignedTime {
    pub(crate) fn before(time: Time, age: Span) -> Self {
        Self(to_signed(time.0)).earlier(age)
    }

    pub(crate) fn earlier(self, span: Span) -> Self {
        Self(self.0.saturating_sub(to_signed(span.0)))
    }

    pub(crate) fn later(self, span: Span) -> Self {
        Self(self.0.saturating_add(to_signed(span.0)))
    }

    pub(crate) fn since(self, earlier: Self) -> Span {
        Span(u64::try_from(self.0.saturating_sub(earlier.0)).unwrap_or_default())
    }

    pub(crate) fn age(self, now: Time) -> Span {
        Self::before(now, Span::ZERO).since(self)
    }
}

fn to_signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}

impl Span {
    /// The empty duration.
    pub const ZERO: Span = Span(0);

    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a span from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// The span in milliseconds, rounded up so that a retry hint is never too early.
    pub const fn as_millis(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplies the span by a factor, saturating at the bounds of `u64`; negative and NaN factors
    /// give zero.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }

    /// The difference, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Span) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Time {
    /// Time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<std::time::Duration> for Span {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl Mul<u64> for Span {
    type Output = Span;

    fn mul(self, factor: u64) -> Span {
        Span(self.0.saturating_mul(factor))
    }
}

/// Exponential decay of a weight from `since` to `now`: 1/e remains after `time_constant`.
pub(crate) fn decay(now: Time, since: Time, time_constant: Span) -> f64 {
    (-(now.since(since).as_secs_f64() / time_constant.as_secs_f64())).exp()
}
