//! Shares crash reports and rulings on calls and prompt parts with the other entries.
//!
//! Reports go to the entries that read the store. They count the crashes, and their rulings reach all
//! others along the tree of entries. The store keeps the rulings for entries that start. An entry that
//! reaches neither rules on what it has seen itself.

use crate::http::HttpError;
use crate::log::Kind;
use crate::node::Node;
use crate::wire::Wire;
use damaskweir_core::ids::WorkspaceId;
use damaskweir_core::owner::EntryInfo;
use damaskweir_core::quarantine::{CrashReport, Ruling, RulingChange, RulingStatement, Scope};
use damaskweir_core::time::{Span, Time};
use damaskweir_core::tree::readers;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::Xxh3;

/// Delay in which reports are gathered before they are sent.
const GATHER_DELAY: Duration = Duration::from_millis(20);
/// Time for which a report is sent again with later ones, in case its receivers were restarted.
const REPEAT_TIME: Span = Span::from_secs(60);
/// Reports in one call, the newest ones.
const MAX_REPORTS: usize = 16;
/// Timeout of such a call.
const SHARE_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts of such a call.
const SHARE_ATTEMPTS: u32 = 3;

/// A call to an entry that counts crashes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CrashCall {
    reports: Vec<CrashReport>,
    /// Rulings of the sender.
    rulings: Vec<RulingStatement>,
}

/// The rulings that the called entry knows.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CrashResponse {
    rulings: Vec<RulingStatement>,
}

/// What is to be shared with other entries.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Own reports, with their time.
    reports: Vec<(Time, CrashReport)>,
    /// Parts with an own ruling that has not been sent.
    rulings: Vec<u64>,
    /// Whether a task is about to send it.
    scheduled: bool,
}

/// Hashes rulings without their age, to detect whether two lists differ.
pub(crate) fn digest(rulings: &[RulingStatement]) -> u64 {
    if rulings.is_empty() {
        return 0;
    }
    let mut hash = Xxh3::new();
    for told in rulings {
        hash.update(&told.part.to_le_bytes());
        // Writing a value without maps to a vector can't fail.
        hash.update(&serde_json::to_vec(&told.ruling).unwrap_or_default());
    }
    hash.digest()
}

impl<W: Wire> Node<W> {
    /// Whether requests with one of these parts, or calls with one of these digests, are refused.
    pub(crate) fn blocks(&self, parts: &[u64], workspace: Option<&WorkspaceId>) -> bool {
        self.state.borrow().quarantine.blocking(self.now(), parts, workspace).is_some()
    }

    /// Records a complete answer to a call with these shared parts.
    pub(crate) fn record_answer_to(self: &Rc<Self>, parts: &[u64], call: u64) {
        let now = self.now();
        let changes = {
            let quarantine = &mut self.state.borrow_mut().quarantine;
            let mut changes = quarantine.record_answer(now, parts);
            changes.extend(quarantine.record_call_answer(now, call));
            changes
        };
        self.apply_rulings(&changes);
    }

    /// Records an own report of a crash, and shares it.
    pub(crate) fn share_crash(self: &Rc<Self>, report: CrashReport) {
        let now = self.now();
        let changes = {
            let state = &mut *self.state.borrow_mut();
            state.quarantine.merge_report(now, report.clone());
            state.outbox.reports.push((now, report));
            state.quarantine.judge(now)
        };
        self.apply_rulings(&changes);
        self.schedule_share();
    }

    /// Responds to a call with reports of another entry.
    pub(crate) fn serve_crashes(self: &Rc<Self>, call: CrashCall) -> CrashResponse {
        let now = self.now();
        self.merge_rulings(&call.rulings, Span::ZERO);
        for report in &call.reports {
            self.record_told_crash(&report.process, report.age);
        }
        let changes = {
            let quarantine = &mut self.state.borrow_mut().quarantine;
            call.reports.into_iter().for_each(|report| quarantine.merge_report(now, report));
            quarantine.judge(now)
        };
        self.apply_rulings(&changes);
        CrashResponse { rulings: self.state.borrow().quarantine.statements(now) }
    }

    /// Takes up rulings that another entry told `delay` ago.
    pub(crate) fn merge_rulings(self: &Rc<Self>, told: &[RulingStatement], delay: Span) {
        let now = self.now();
        let changes = {
            let quarantine = &mut self.state.borrow_mut().quarantine;
            let delayed = told.iter().cloned().map(|t| RulingStatement { age: t.age + delay, ..t });
            delayed.filter_map(|told| quarantine.merge_ruling(now, &told)).collect::<Vec<_>>()
        };
        self.apply_rulings(&changes);
    }

    /// Takes up rulings that the store keeps.
    pub(crate) fn merge_ruling_records(self: &Rc<Self>, told: &[RulingStatement]) {
        let now = self.now();
        let changes = {
            let quarantine = &mut self.state.borrow_mut().quarantine;
            told.iter().filter_map(|told| quarantine.merge_record(now, told)).collect::<Vec<_>>()
        };
        self.apply_rulings(&changes);
    }

    /// Has rulings saved that the store's records don't tell, since it lost them.
    pub(crate) fn restore_ruling_records(&self, records: &[RulingStatement]) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.unsaved_rulings.extend(state.quarantine.unrecorded(now, records));
        self.rulings_changed.notify_waiters();
    }

    /// Logs changes of rulings, and passes on those that were made here.
    fn apply_rulings(self: &Rc<Self>, changes: &[RulingChange]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.log_ruling(change);
        }
        let own: Vec<_> = changes.iter().filter(|c| c.own).map(|c| c.part).collect();
        if !own.is_empty() {
            let mut state = self.state.borrow_mut();
            state.unsaved_rulings.extend(&own);
            state.outbox.rulings.extend(&own);
            drop(state);
            self.schedule_share();
        }
        self.rulings_changed.notify_waiters();
        self.changed.notify_waiters();
    }

    fn log_ruling(&self, change: &RulingChange) {
        let part = format!("{:x}", change.part);
        let from = if change.own { "own" } else { "told" };
        let (kind, scope, crashes, term) = match &change.ruling {
            Ruling::Quarantined { scope, crashes, term, .. } => {
                let scope = match scope {
                    Scope::All => "all",
                    Scope::One(workspace) => workspace.as_ref().map_or("", WorkspaceId::as_str),
                };
                (Kind::PartQuarantined, scope, *crashes, *term)
            }
            Ruling::Cleared => (Kind::PartCleared, "", 0, Span::ZERO),
        };
        let fields = [
            ("part", part.as_str().into()),
            ("from", from.into()),
            ("workspace", scope.into()),
            ("crashes", u64::from(crashes).into()),
            ("term_ms", term.as_millis().into()),
        ];
        self.log.process(kind, &fields);
    }

    fn schedule_share(self: &Rc<Self>) {
        if !std::mem::replace(&mut self.state.borrow_mut().outbox.scheduled, true) {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                sleep(GATHER_DELAY).await;
                node.share();
            });
        }
    }

    /// Sends own reports and rulings to the entries that count crashes.
    fn share(self: &Rc<Self>) {
        let now = self.now();
        let (call, receivers) = {
            let state = &mut *self.state.borrow_mut();
            let outbox = &mut state.outbox;
            outbox.scheduled = false;
            outbox.reports.retain(|(at, _)| now.since(*at) < REPEAT_TIME);
            let surplus = outbox.reports.len().saturating_sub(MAX_REPORTS);
            outbox.reports.drain(..surplus);
            let reports = outbox
                .reports
                .iter()
                .map(|(at, report)| CrashReport { age: now.since(*at), ..report.clone() });
            let rulings = std::mem::take(&mut outbox.rulings).into_iter();
            let call = CrashCall {
                reports: reports.collect(),
                rulings: rulings.filter_map(|part| state.quarantine.statement(now, part)).collect(),
            };
            let others =
                readers(state.roster.entries()).filter(|e| e.name != self.config.entry.name);
            (Rc::new(call), others.cloned().collect::<Vec<_>>())
        };
        for entry in receivers {
            let (node, call) = (self.clone(), call.clone());
            tokio::task::spawn_local(async move { node.send_crashes(&entry, &call).await });
        }
    }

    async fn send_crashes(self: &Rc<Self>, entry: &EntryInfo, call: &CrashCall) {
        for _ in 0..SHARE_ATTEMPTS {
            let sent = self.now();
            match timeout(SHARE_TIMEOUT, self.call_entry(entry, "/crashes", call)).await {
                Ok(Ok(CrashResponse { rulings })) => {
                    return self.merge_rulings(&rulings, self.now().since(sent));
                }
                // An entry of an earlier version.
                Ok(Err(HttpError::Malformed(_))) => return,
                Ok(Err(_)) | Err(_) => sleep(SHARE_TIMEOUT).await,
            }
        }
    }
}
