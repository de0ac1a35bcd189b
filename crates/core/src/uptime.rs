//! Time for which the store is known to have served without a break.
//!
//! A store that was away may have let records of live servers and entries expire. A single entry can't tell
//! that from a store that rejects this entry alone, so entries tell each other when it served.

use crate::time::{SignedTime, Span, Time};
use crate::value;

/// Longest time without an answer to any entry for which the store counts as serving. Records expire after a
/// break of two reporting intervals of the servers, over two seconds.
const BREAK_MIN: Span = Span::from_secs(1);

value! {
    /// What one entry tells another of the time for which the store served.
    #[derive(Copy)]
    pub struct UptimeStatement {
        /// Time since the store began to serve, as far as is known.
        pub since: Span,
        /// Time since its latest answer.
        pub until: Span,
        /// Time since its latest answer before that, if no entry is known to have had one in between.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub before: Option<Span>,
    }
}

/// A time in which the store served.
#[derive(Clone, Copy, Debug)]
struct Service {
    since: SignedTime,
    until: SignedTime,
    /// Latest known answer before `since`, from which `since` is more than [`BREAK_MIN`] away.
    before: Option<SignedTime>,
}

/// The latest time for which the store served without a break, by its answers to this entry and to those that
/// told of theirs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Uptime(Option<Service>);

/// Whether no break lies between an answer and a later time in which the store served.
fn is_unbroken(answer: SignedTime, since: SignedTime) -> bool {
    since <= answer.later(BREAK_MIN)
}

impl Service {
    /// Joins two times without a break between them.
    fn join(self, other: Self) -> Self {
        let since = self.since.min(other.since);
        let before = self.before.max(other.before);
        Self {
            since,
            until: self.until.max(other.until),
            before: before.filter(|before| !is_unbroken(*before, since)),
        }
    }
}

impl Uptime {
    /// Records an answer of the store that arrived `now`, to a call that was sent at `sent` and asked to be held
    /// for `wait` until there were changes.
    pub fn answered(&mut self, now: Time, sent: Time, wait: Span) {
        let at = SignedTime::before(now, Span::ZERO);
        let held = SignedTime::before(now, wait.min(now.since(sent)));
        self.0 = Some(match self.0 {
            Some(known) if is_unbroken(known.until, held) => Service { until: at, ..known },
            // A call may be sent before the return and answered after it.
            Some(known) => Service { since: at, until: at, before: Some(known.until) },
            None => Service { since: held, until: at, before: None },
        });
    }

    /// Records that this process was suspended until `now`. That it had no answers meanwhile says nothing of the
    /// store.
    pub fn suspended(&mut self, now: Time) {
        let now = SignedTime::before(now, Span::ZERO);
        self.0 = self.0.filter(|known| is_unbroken(known.until, now));
    }

    /// Records what another entry told `now`, in answer to a poll. It captured it no earlier than at `captured`.
    pub fn told(&mut self, now: Time, captured: Time, told: UptimeStatement) {
        let told = Service {
            since: SignedTime::before(now, told.since),
            until: SignedTime::before(captured, told.until),
            before: told.before.map(|before| SignedTime::before(captured, before)),
        };
        self.0 = Some(match self.0 {
            None => told,
            Some(known) if !is_unbroken(told.until, known.since) => known,
            Some(known) if !is_unbroken(known.until, told.since) => {
                Service { before: told.before.max(Some(known.until)), ..told }
            }
            Some(known) => known.join(told),
        });
    }

    /// Time left until the store has been back for `period` since the latest break, or zero if no break is known.
    pub fn time_left(&self, now: Time, period: Span) -> Span {
        let returned = self.0.filter(|service| service.before.is_some());
        returned.map_or(Span::ZERO, |service| period.saturating_sub(service.since.age(now)))
    }

    /// What to tell other entries; `None` if no answer is known.
    pub fn statement(&self, now: Time) -> Option<UptimeStatement> {
        let service = self.0?;
        let before = service.before.map(|before| before.age(now));
        Some(UptimeStatement {
            since: service.since.age(now),
            until: service.until.age(now),
            before,
        })
    }
}
