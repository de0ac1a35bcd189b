//! What entries report to each other of the requests that they have sent and that are not answered.
//!
//! Made for up to 68 entries that choose among 38 to 60 engines a few hundred times a second in total, from
//! reports that are a few ms to 2 s old. An entry sends its own report and passes on the latest ones of the
//! others; the size of both is bounded.

use crate::ids::ServerId;
use crate::time::{SignedTime, Span, Time};
use crate::value;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of rows of a report. Those with the least work are left out.
pub const REPORT_ROWS_MAX: usize = 64;
/// Maximum number of other entries whose reports are kept.
pub const REPORTS_MAX: usize = 64;
/// Maximum number of rows in all reports that are passed on at once. 68 entries have about 4 rows each; a row
/// takes 22 bytes, and an entry with 10 Mbit/s may answer 60 calls a second.
const RELAYED_ROWS_MAX: usize = 64;
/// Age from which a report is no longer passed on. Its weight at the receiver would be small.
const RELAY_AGE_MAX: Span = Span::from_millis(1_000);
/// Age at which a report is forgotten.
const FORGET_AGE: Span = Span::from_secs(2);
/// Age at which the weight of a report has decreased to 1/e. At 700 ms, reports that were half a second old made
/// the waiting time in `tests/balance.rs` longer than no reports.
const REPORT_DECAY_TIME: Span = Span::from_millis(350);
/// Maximum number of tokens that the others are expected to have sent to a server since their reports.
const ARRIVED_MAX: f64 = 8_000.0;

value! {
    /// What one entry has sent to a server and is not yet answered.
    #[derive(Copy)]
    #[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
    pub struct LoadRow {
        /// Hash of the server's id, see [`server_key`].
        pub server: u32,
        /// Open requests.
        pub open: u32,
        /// Prompt tokens that the server is expected to read for them.
        pub tokens: u32,
    }

    /// The report of one entry.
    pub struct LoadReport {
        /// Identifies the process of the entry.
        pub from: u32,
        /// When it was made, in milliseconds of that process's clock.
        pub at: u32,
        /// Time since then.
        pub age: Span,
        /// Prompt tokens that the entry usually sends to a server in a second, as a mean over all servers.
        pub rate: u32,
        /// Servers with open requests.
        pub rows: Vec<LoadRow>,
    }
}

impl From<(u32, u32, u32)> for LoadRow {
    fn from((server, open, tokens): (u32, u32, u32)) -> Self {
        Self { server, open, tokens }
    }
}

impl From<LoadRow> for (u32, u32, u32) {
    fn from(row: LoadRow) -> Self {
        (row.server, row.open, row.tokens)
    }
}

/// Returns the number that stands for a server in reports.
pub fn server_key(id: &ServerId) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

impl LoadReport {
    /// Makes a report of an entry's own open requests.
    pub fn new(now: Time, from: u32, rate: f64, mut rows: Vec<LoadRow>) -> Self {
        if rows.len() > REPORT_ROWS_MAX {
            rows.sort_unstable_by_key(|row| std::cmp::Reverse((row.tokens, row.open)));
            rows.truncate(REPORT_ROWS_MAX);
        }
        let at = (now.0 / 1_000) as u32;
        Self { from, at, age: Span::ZERO, rate: rate as u32, rows }
    }
}

#[derive(Clone, Debug)]
struct HeldReport {
    /// As in [`LoadReport::at`].
    at: u32,
    taken: SignedTime,
    rate: u32,
    rows: Vec<LoadRow>,
}

/// The latest reports of the other entries.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    /// This process in its own reports; those that come back are ignored.
    own: u32,
    held: BTreeMap<u32, HeldReport>,
}

impl LoadReports {
    /// Creates an empty set. `own` identifies this process in reports.
    pub fn new(own: u32) -> Self {
        Self { own, held: BTreeMap::new() }
    }

    /// Identifies this process in reports.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Takes a report of another entry that was sent `delay` ago, unless a later one is known. The order is that
    /// of the reporting process's clock, so that a report that is passed around does not look newer.
    pub fn merge(&mut self, now: Time, report: LoadReport, delay: Span) {
        let age = report.age + delay;
        let known = self.held.get(&report.from);
        let later = known.is_none_or(|known| report.at > known.at);
        if report.from == self.own || !later || age >= FORGET_AGE {
            return;
        }
        if known.is_none() && self.held.len() >= REPORTS_MAX {
            self.expire(now);
            let oldest = self.held.iter().min_by_key(|(_, held)| held.taken).map(|(from, _)| *from);
            if let Some(oldest) = oldest.filter(|_| self.held.len() >= REPORTS_MAX) {
                self.held.remove(&oldest);
            }
        }
        let LoadReport { from, at, rate, mut rows, .. } = report;
        rows.truncate(REPORT_ROWS_MAX);
        let taken = SignedTime::before(now, age);
        self.held.insert(from, HeldReport { at, taken, rate, rows });
    }

    /// Forgets the reports of entries that are gone.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|_, held| held.taken.age(now) < FORGET_AGE);
    }

    /// Returns the reports to pass on to the process `to`, the latest ones first.
    pub fn relayed(&self, now: Time, to: u32) -> Vec<LoadReport> {
        let young =
            |held: &&(&u32, &HeldReport)| *held.0 != to && held.1.taken.age(now) < RELAY_AGE_MAX;
        let mut held: Vec<_> = self.held.iter().filter(|entry| young(&entry)).collect();
        held.sort_unstable_by_key(|(_, held)| std::cmp::Reverse(held.taken));
        let mut rows = 0;
        let fits = |(_, held): &(&u32, &HeldReport)| {
            rows += held.rows.len();
            rows <= RELAYED_ROWS_MAX
        };
        let relay = |(from, held): (&u32, &HeldReport)| LoadReport {
            from: *from,
            at: held.at,
            age: held.taken.age(now),
            rate: held.rate,
            rows: held.rows.clone(),
        };
        held.into_iter().take_while(fits).map(relay).collect()
    }

    /// Age of the oldest report that counts, or `None` if there is none.
    pub fn oldest_age(&self, now: Time) -> Option<Span> {
        let ages = self.held.values().map(|held| held.taken.age(now));
        ages.filter(|age| *age < FORGET_AGE).max()
    }

    /// Prepares the reports for questions about several servers.
    pub fn at(&self, now: Time) -> LoadView<'_> {
        let mut view = LoadView { reports: Vec::with_capacity(self.held.len()), arrived: 0.0 };
        for held in self.held.values() {
            let age = held.taken.age(now);
            if age < FORGET_AGE {
                let seconds = age.as_secs_f64();
                let weight = (-seconds / REPORT_DECAY_TIME.as_secs_f64()).exp();
                view.arrived += weight * f64::from(held.rate) * seconds;
                view.reports.push((weight, age.0 as f64 / 1e3, &held.rows));
            }
        }
        view
    }
}

/// The reports that count at one time.
#[derive(Clone, Debug)]
pub struct LoadView<'a> {
    /// Weight, age in milliseconds, and rows.
    reports: Vec<(f64, f64, &'a [LoadRow])>,
    /// Tokens that the others usually send to one server in the ages of their reports.
    arrived: f64,
}

impl LoadView<'_> {
    /// Returns the others' backlog, in prompt tokens, of a server that reads `pace` tokens a millisecond, and has `own` tokens of
    /// this entry to read as well: what they reported, less the part of what the server has read since that was
    /// theirs, plus what they usually send in that time. A server without reported tokens is taken to read as
    /// fast as the others send.
    pub fn backlog(&self, server: u32, pace: f64, own: f64) -> f64 {
        let (mut told, mut tokens, mut aged) = (0.0, 0.0, 0.0);
        for (weight, age, rows) in &self.reports {
            if let Some(row) = rows.iter().find(|row| row.server == server) {
                let weighted = weight * f64::from(row.tokens);
                told += f64::from(row.tokens);
                tokens += weighted;
                aged += weighted * age;
            }
        }
        if tokens == 0.0 {
            return 0.0;
        }
        // In its age, the server reads of each report the part that its tokens have of all.
        let read = pace * aged / (told + own);
        (tokens + self.arrived.min(ARRIVED_MAX) - read).max(0.0)
    }
}
