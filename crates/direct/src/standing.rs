//! Acts on what backend servers say in their answers about further requests.

use crate::log::{Kind, Value};
use crate::node::{Node, State};
use crate::wire::Wire;
use damaskweir_core::fleet::Replica;
use damaskweir_core::standing::{Announcement, Change};
use damaskweir_core::time::Span;
use rand_core::Rng as _;

/// Time over which entries spread their return to a server, for each of them, and the longest.
const RETURN_SPREAD: (Span, Span) = (Span::from_millis(20), Span::from_secs(1));

impl<W: Wire> Node<W> {
    /// Records what an answer of a server says about further requests.
    pub(crate) fn record_announcement(&self, server: &Replica, said: Announcement) {
        let now = self.now();
        let changes = {
            let state = &mut *self.state.borrow_mut();
            let spread = match said.backoff {
                Some(_) => state.return_delay(),
                None => Span::ZERO,
            };
            state.standings.record(now, server, said, spread)
        };
        for change in changes {
            self.log_announcement(server, &change);
            if change == Change::Leaving {
                self.leave(server);
            }
        }
    }

    /// Gives no new work to a server that said that it leaves. What it works on goes on.
    fn leave(&self, server: &Replica) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.fleet.lists_process(server) {
            state.remove_server(&server.id);
            state.assign_pool_owners(&server.pool, &self.config, now);
        }
    }

    fn log_announcement(&self, server: &Replica, change: &Change) {
        let id = ("server", Value::from(server.id.as_str()));
        let (kind, fields, what) = match change {
            Change::Leaving => (Kind::ServerLeaving, vec![("from", "answer".into())], "leaving"),
            Change::BackoffBegan(wait) => {
                (Kind::ServerBackoff, vec![("wait_ms", wait.as_millis().into())], "backoff")
            }
            Change::BackoffEnded { lasted } => {
                let fields = vec![("after_ms", lasted.as_millis().into())];
                (Kind::ServerBackoffEnded, fields, "backoff_ended")
            }
            Change::Invalid(text) => {
                let fields = vec![("what", "announcement".into()), ("error", text.as_str().into())];
                (Kind::Unusable, fields, "invalid")
            }
        };
        self.log.process(kind, &[vec![id], fields].concat());
        self.metrics.announced(what);
    }
}

impl State {
    /// Draws the delay of this entry's return to a server after the time that it asked for.
    fn return_delay(&mut self) -> Span {
        let spread = RETURN_SPREAD.0 * self.roster.entries().len() as u64;
        Span(self.rng.next_u64() % spread.0.clamp(1, RETURN_SPREAD.1.0))
    }
}
