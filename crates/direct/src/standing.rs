//! Acts on what backend servers say in their answers about further requests.

use crate::log::{Kind, Value};
use crate::node::Node;
use crate::wire::Wire;
use damaskweir_core::fleet::Replica;
use damaskweir_core::standing::{Announcement, Change};
use damaskweir_core::time::Span;

impl<W: Wire> Node<W> {
    /// Records what an answer of a server says about further requests.
    pub(crate) fn record_announcement(&self, server: &Replica, said: Announcement) {
        let now = self.now();
        let changes = self.state.borrow_mut().standings.record(now, server, said, Span::ZERO);
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
