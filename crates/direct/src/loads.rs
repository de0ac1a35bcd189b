//! Reports of entries to each other of what they have sent to engines and is not answered. They travel in calls
//! with pieces and in polls.

use crate::node::{Node, State};
use crate::wire::Wire;
use damaskweir_core::exchange::LoadReport;
use damaskweir_core::place::Placer;
use damaskweir_core::time::{Span, Time};

/// Least time between two calls with pieces that exchange reports. With reports in each call, the answers of owners
/// took longer on links of 10 Mbit/s, and fewer requests were served in bursts.
const CALL_INTERVAL: Span = Span::from_millis(200);

impl<W: Wire> Node<W> {
    /// This entry's report for a poll; `None` if there is no other entry or no engine.
    pub(crate) fn own_load(&self) -> Option<LoadReport> {
        self.state.borrow().own_load(self.now())
    }

    /// This entry's report for a call with pieces; `None` as well if another call had one shortly before.
    pub(crate) fn take_own_load(&self) -> Option<LoadReport> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if now < state.loads_due {
            return None;
        }
        state.loads_due = now + CALL_INTERVAL;
        state.own_load(now)
    }

    /// Takes reports that another entry sent `delay` ago.
    pub(crate) fn merge_loads(&self, reports: impl IntoIterator<Item = LoadReport>, delay: Span) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.shares_load() {
            reports.into_iter().for_each(|report| state.loads.merge(now, report, delay));
        }
    }
}

impl State {
    /// Whether engines are selected by what all entries have sent.
    fn shares_load(&self) -> bool {
        self.roster.entries().len() > 1 && self.placers.values().any(Placer::is_engine)
    }

    fn own_load(&self, now: Time) -> Option<LoadReport> {
        if !self.shares_load() {
            return None;
        }
        let (mut rows, mut rate) = (Vec::new(), 0.0);
        for placer in self.placers.values().filter(|placer| placer.is_engine()) {
            rate += placer.report(now, &mut rows);
        }
        Some(LoadReport::new(now, self.loads.own(), rate, rows))
    }

    /// What to tell a process that reported its own load: this entry's report and the others'.
    pub(crate) fn loads_for(&self, now: Time, asked_by: Option<u32>) -> Vec<LoadReport> {
        let (Some(to), Some(own)) = (asked_by, self.own_load(now)) else { return Vec::new() };
        let mut loads = self.loads.relayed(now, to);
        loads.push(own);
        loads
    }
}
