//! Records what backend servers say in their answers about further requests.

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
        changes.into_iter().for_each(|change| self.log_announcement(server, &change));
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
