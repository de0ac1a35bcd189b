//! Calls and prompt parts that crash servers. Requests with them are refused.
//!
//! A call is a request apart from who sends it and when; the same call may be sent many times. A crash is
//! evidence against each call that the server had not answered, and against each shared part of them. Which
//! of them caused it shows only over several crashes: a complete answer to a request with a part clears
//! it of all crashes before, and a crash that a quarantined part explains is no evidence against the
//! others. Crashes are counted by server process, so it doesn't matter how many entries report them.
//!
//! A quarantine ends when a request with the part is answered completely, or after its term. One more
//! crash then renews it for twice the time.

use crate::fleet::ServerProcess;
use crate::ids::WorkspaceId;
use crate::time::{SignedTime, Span, Time};
use crate::value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Crashes after which a call or part is quarantined that was never answered.
const CRASHES_UNANSWERED: usize = 3;
/// Crashes after which one is quarantined that was answered before, but not since. A frequent call is open at
/// many servers that another one crashes.
const CRASHES_ANSWERED: usize = 5;
/// Crashes within this time count once. A loss of power takes down several servers, whatever they run.
const CRASH_INTERVAL: Span = Span::from_millis(100);
/// First and longest time for which a part is quarantined.
const TERM_RANGE: (Span, Span) = (Span::from_secs(60), Span::from_secs(600));
/// Time for which a crash is kept.
const CRASH_RETENTION: Span = Span::from_secs(300);
/// Time after the last ruling on a part for which it is kept. It exceeds [`RECORD_TTL`], so that an
/// old record doesn't bring back a quarantine that has ended.
const RULING_RETENTION: Span = Span::from_secs(900);
/// Time for which the store keeps the record of a quarantine.
pub const RECORD_TTL: Span = TERM_RANGE.1;
/// Time by which an entry may overestimate the age of an answer that it is told of. A quarantine takes
/// longer than that to be given again.
const CLEARED_LEAD: Span = Span::from_millis(300);
/// Crashes that are kept.
const MAX_CRASHES: usize = 128;
/// Parts that are kept of each crash: first those that were never answered, then the rarest.
const MAX_CRASH_PARTS: usize = 256;
/// Calls that are kept of each crash.
const MAX_CRASH_CALLS: usize = 128;
/// Depth of a call: fewer sound requests share it than any part.
const CALL_DEPTH: u32 = u32::MAX;
/// Rulings that are kept.
const MAX_RULINGS: usize = 512;
/// Parts in each of the two generations of answered ones. The older generation is dropped when the
/// newer one is full.
const MAX_ANSWERED: usize = 8_192;

value! {
    /// Which workspaces a quarantine holds for. A part that crashed servers with requests of one
    /// workspace only is not refused to others: they might be its rightful users.
    #[serde(rename_all = "snake_case")]
    pub enum Scope {
        /// Callers of one workspace, or callers without one.
        One(Option<WorkspaceId>),
        /// All callers.
        All,
    }

    /// The latest decision on a part.
    #[serde(rename_all = "snake_case")]
    pub enum Ruling {
        /// Requests with the part are refused.
        Quarantined {
            /// Callers for which it holds.
            scope: Scope,
            /// Number of crashes that led to it.
            crashes: u32,
            /// Time from the first of these crashes to the ruling.
            span: Span,
            /// How long requests are refused.
            term: Span,
        },
        /// A request with the part was answered.
        Cleared,
    }

    /// What one entry tells another about a part. The latest ruling holds.
    pub struct RulingStatement {
        /// Id of the part, or digest of the call.
        pub part: u64,
        /// The ruling.
        pub ruling: Ruling,
        /// Time since the ruling.
        pub age: Span,
    }

    /// What one entry saw of a crash.
    pub struct CrashReport {
        /// The process that crashed.
        pub process: ServerProcess,
        /// Time since the crash.
        pub age: Span,
        /// Shared prompt parts of the requests that were open there.
        pub parts: Vec<OpenPart>,
        /// The calls that were open there.
        #[serde(default)]
        pub calls: Vec<OpenCall>,
    }

    /// A call that was open at a server that crashed.
    pub struct OpenCall {
        /// What is told of it as of a prompt part. `part` is its digest.
        pub row: OpenPart,
        /// Time from its sending to the report of the crash.
        pub sent: Span,
        /// Time from when its answer broke off to the report of the crash.
        #[serde(default)]
        pub broke: Span,
    }

    /// A prompt part of requests that were open at a server that crashed.
    pub struct OpenPart {
        /// Id of the part.
        pub part: u64,
        /// Highest position of the part in a prompt.
        pub depth: u32,
        /// Number of requests with it.
        pub requests: u32,
        /// Their workspaces, two at most.
        pub workspaces: BTreeSet<Option<WorkspaceId>>,
        /// Time since the reporting entry last saw a complete answer to a request with it.
        pub answered: Option<Span>,
    }
}

/// A request that a server had not answered when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// Prompt parts that other requests may share, in order.
    pub parts: Vec<u64>,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceId>,
    /// The call, if it is known.
    pub call: Option<SentCall>,
}

/// A call as it was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentCall {
    /// Digest of the call.
    pub digest: u64,
    /// When it was sent.
    pub sent: Time,
    /// When its answer broke off; `None` if it has not.
    pub broke: Option<Time>,
}

/// A change of the ruling on a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RulingChange {
    /// Id of the part, or digest of the call.
    pub part: u64,
    /// The new ruling.
    pub ruling: Ruling,
    /// Whether it was made here rather than told by others.
    pub own: bool,
}

#[derive(Clone, Debug)]
struct Crash {
    at: SignedTime,
    /// Rows of parts and calls.
    parts: BTreeMap<u64, OpenPart>,
    /// When each call among them was sent, and when its answer broke off.
    calls: BTreeMap<u64, CallSpan>,
}

impl Crash {
    fn add(&mut self, row: OpenPart) {
        match self.parts.get_mut(&row.part) {
            Some(known) => known.merge(row),
            None => {
                self.parts.insert(row.part, row);
            }
        }
    }
}

/// The time for which a call was open at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallSpan {
    sent: SignedTime,
    broke: SignedTime,
}

/// A crash as evidence against a part or a call.
struct EvidenceRow<'a> {
    at: SignedTime,
    row: &'a OpenPart,
    /// The calls that were open there.
    calls: &'a BTreeMap<u64, CallSpan>,
    /// A quarantined call that explains the crash. All crashes that one call explains count once against a
    /// part, since its next call may crash servers as well.
    cause: Option<u64>,
}

impl EvidenceRow<'_> {
    /// Whether a crash has another reason than an earlier one: it is no part of the same loss of power, as it
    /// came later, or as its server worked on a call that had broken off in the other.
    fn is_apart_from(&self, earlier: &Self) -> bool {
        let repeated = |(call, span): (&u64, &CallSpan)| {
            earlier.calls.get(call).is_some_and(|before| span.sent >= before.broke)
        };
        self.at.since(earlier.at) >= CRASH_INTERVAL || self.calls.iter().any(repeated)
    }
}

/// When requests with a part were last answered completely, for a bounded number of parts.
#[derive(Clone, Debug, Default)]
struct Answers {
    recent: HashMap<u64, SignedTime>,
    older: HashMap<u64, SignedTime>,
}

impl Answers {
    fn record(&mut self, part: u64, at: SignedTime) {
        if self.get(part).is_some_and(|known| known >= at) {
            return;
        }
        if self.recent.len() >= MAX_ANSWERED {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, at);
    }

    fn get(&self, part: u64) -> Option<SignedTime> {
        self.recent.get(&part).or_else(|| self.older.get(&part)).copied()
    }
}

/// Evidence against a part, ordered by weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Evidence {
    crashes: usize,
    unanswered: bool,
    /// A deadly part crashes the server with its first request, so few of its requests are open there.
    requests: Reverse<u32>,
    /// Fewer sound requests share a later part.
    depth: u32,
}

/// What an entry knows of crashes, and its rulings.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<ServerProcess, Crash>,
    /// Answers to requests with parts, by part.
    answers: Answers,
    /// Answers by call.
    call_answers: Answers,
    rulings: BTreeMap<u64, (SignedTime, Ruling)>,
    /// Parts whose ruling is known only from a record of the store. It may be older than any other, so it
    /// isn't passed on.
    recorded: BTreeSet<u64>,
}

impl Quarantine {
    /// Whether a request with these shared parts is refused. Returns the part.
    pub fn blocking(
        &self,
        now: Time,
        parts: &[u64],
        workspace: Option<&WorkspaceId>,
    ) -> Option<u64> {
        if self.rulings.is_empty() {
            return None;
        }
        let blocks = |part: &&u64| match self.rulings.get(part) {
            Some((at, Ruling::Quarantined { scope, term, .. })) => {
                at.age(now) < *term && scope.includes(workspace)
            }
            _ => false,
        };
        parts.iter().find(blocks).copied()
    }

    /// Number of parts that are quarantined.
    pub fn len(&self, now: Time) -> usize {
        self.rulings.values().filter(|(at, ruling)| ruling.in_force(at.age(now))).count()
    }

    /// Records a complete answer to a request with these shared parts. It ends their quarantines.
    pub fn record_answer(&mut self, now: Time, parts: &[u64]) -> Vec<RulingChange> {
        let at = SignedTime::before(now, Span::ZERO);
        parts.iter().for_each(|part| self.answers.record(*part, at));
        parts.iter().filter_map(|part| self.clear(now, *part)).collect()
    }

    /// Records a complete answer to a call. It ends its quarantine.
    pub fn record_call_answer(&mut self, now: Time, call: u64) -> Option<RulingChange> {
        self.call_answers.record(call, SignedTime::before(now, Span::ZERO));
        self.clear(now, call)
    }

    fn clear(&mut self, now: Time, part: u64) -> Option<RulingChange> {
        let quarantined = matches!(self.rulings.get(&part), Some((_, Ruling::Quarantined { .. })));
        quarantined.then(|| self.rule(now, part, Ruling::Cleared))
    }

    /// Describes a crash for other entries.
    pub fn report(
        &self,
        now: Time,
        process: ServerProcess,
        requests: &[OpenRequest],
    ) -> CrashReport {
        let mut parts: BTreeMap<u64, OpenPart> = BTreeMap::new();
        for request in requests {
            for (depth, part) in (0..).zip(&request.parts) {
                let answered = self.answers.get(*part).map(|at| at.age(now));
                let row =
                    parts.entry(*part).or_insert_with(|| OpenPart::new(*part, depth, answered));
                row.depth = row.depth.max(depth);
                row.requests += 1;
                row.add_workspace(request.workspace.clone());
            }
        }
        let mut parts: Vec<_> = parts.into_values().collect();
        parts.sort_by_key(|row| (row.answered.is_some(), row.requests, Reverse(row.depth)));
        parts.truncate(MAX_CRASH_PARTS);
        CrashReport { process, age: Span::ZERO, parts, calls: self.open_calls(now, requests) }
    }

    fn open_calls(&self, now: Time, requests: &[OpenRequest]) -> Vec<OpenCall> {
        let mut calls: BTreeMap<u64, OpenCall> = BTreeMap::new();
        for request in requests {
            let Some(call) = request.call else { continue };
            let digest = call.digest;
            let (sent, broke) = (now.since(call.sent), call.broke.map(|at| now.since(at)));
            let broke = broke.unwrap_or_default();
            let answered = self.call_answers.get(digest).map(|at| at.age(now));
            let row = || OpenPart::new(digest, CALL_DEPTH, answered);
            let new_call = || OpenCall { row: row(), sent, broke };
            let call = calls.entry(digest).or_insert_with(new_call);
            if sent < call.sent {
                (call.sent, call.broke) = (sent, broke);
            }
            call.row.requests += 1;
            call.row.add_workspace(request.workspace.clone());
        }
        let mut calls: Vec<_> = calls.into_values().collect();
        calls.sort_by_key(|call| (call.row.answered.is_some(), Reverse(call.row.requests)));
        calls.truncate(MAX_CRASH_CALLS);
        calls
    }

    /// Takes up a report. It may be repeated.
    pub fn merge_report(&mut self, now: Time, report: CrashReport) {
        let at = SignedTime::before(now, report.age);
        let crash = self.crashes.entry(report.process).or_insert_with(|| Crash {
            at,
            parts: BTreeMap::new(),
            calls: BTreeMap::new(),
        });
        for row in report.parts {
            if let Some(age) = row.answered {
                self.answers.record(row.part, at.earlier(age));
            }
            let full = crash.parts.len() >= MAX_CRASH_PARTS + crash.calls.len();
            if !full || crash.parts.contains_key(&row.part) {
                crash.add(row);
            }
        }
        for call in report.calls {
            let digest = call.row.part;
            let span = CallSpan { sent: at.earlier(call.sent), broke: at.earlier(call.broke) };
            if let Some(age) = call.row.answered {
                self.call_answers.record(digest, at.earlier(age));
            }
            if crash.calls.len() < MAX_CRASH_CALLS || crash.calls.contains_key(&digest) {
                let known = crash.calls.entry(digest).or_insert(span);
                *known = span.max(*known);
                crash.add(call.row);
            }
        }
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(process) = oldest.map(|(process, _)| process.clone()) {
                self.crashes.remove(&process);
            }
        }
    }

    /// Rules on the parts that the known crashes name.
    pub fn judge(&mut self, now: Time) -> Vec<RulingChange> {
        let mut changes = self.widen(now);
        let candidates = self.candidates();
        loop {
            let weighed = candidates.iter().filter(|part| !self.is_quarantined(now, **part));
            let weighed = weighed.filter_map(|part| Some((self.weigh(now, *part)?, *part)));
            let Some((evidence, part)) = weighed.max() else { return changes };
            let ruling = self.quarantine(now, part, evidence);
            changes.push(self.rule(now, part, ruling));
        }
    }

    /// Takes up what another entry tells. Returns what has changed: nothing if a later ruling is
    /// known, and an own ruling if an answer contradicts the one that is told.
    pub fn merge_ruling(&mut self, now: Time, told: &RulingStatement) -> Option<RulingChange> {
        let at = SignedTime::before(now, told.age);
        let known = self.rulings.get(&told.part).filter(|_| !self.recorded.contains(&told.part));
        if known.is_some_and(|(time, known)| known.rank(*time) >= told.ruling.rank(at)) {
            return None;
        }
        match &told.ruling {
            Ruling::Cleared => self.answers.record(told.part, at),
            Ruling::Quarantined { crashes, span, .. } => {
                let since = at.earlier(*span);
                let unanswered = (*crashes as usize) < CRASHES_ANSWERED;
                let answered = self.answers.get(told.part);
                let call_answered = self.call_answers.get(told.part).is_some_and(|t| t > since);
                if call_answered || answered.is_some_and(|time| unanswered || time > since) {
                    return Some(self.rule(now, told.part, Ruling::Cleared));
                }
            }
        }
        let known = self.rulings.get(&told.part).map(|(_, ruling)| ruling);
        let changed = !known.is_some_and(|known| known.same_effect(&told.ruling));
        self.insert(at, told.part, told.ruling.clone().bounded());
        changed.then(|| RulingChange { part: told.part, ruling: told.ruling.clone(), own: false })
    }

    /// Takes up a quarantine from the store, unless anything is known of the part. The store's record
    /// doesn't tell its age.
    pub fn merge_record(&mut self, now: Time, told: &RulingStatement) -> Option<RulingChange> {
        if self.rulings.contains_key(&told.part) {
            return None;
        }
        let change = self.merge_ruling(now, told)?;
        if !change.own {
            self.recorded.insert(told.part);
        }
        Some(change)
    }

    /// The parts of which the store's records don't tell what is known: quarantined ones without a record, and
    /// cleared ones with one.
    pub fn unrecorded(&self, now: Time, records: &[RulingStatement]) -> Vec<u64> {
        let records: BTreeSet<_> = records.iter().map(|record| record.part).collect();
        let rulings = self.rulings.iter().filter(|(part, _)| !self.recorded.contains(part));
        let differs = rulings.filter(|(part, (at, ruling))| match ruling {
            Ruling::Cleared => records.contains(part),
            Ruling::Quarantined { .. } => ruling.in_force(at.age(now)) && !records.contains(part),
        });
        differs.map(|(part, _)| *part).collect()
    }

    /// What to tell other entries.
    pub fn statements(&self, now: Time) -> Vec<RulingStatement> {
        let told = self.rulings.iter().filter(|(part, _)| !self.recorded.contains(part));
        let statement = |(part, (at, ruling)): (&u64, &(SignedTime, Ruling))| RulingStatement {
            part: *part,
            ruling: ruling.clone(),
            age: at.age(now),
        };
        told.map(statement).collect()
    }

    /// What to tell another entry about one part.
    pub fn statement(&self, now: Time, part: u64) -> Option<RulingStatement> {
        let (at, ruling) = self.rulings.get(&part)?;
        Some(RulingStatement { part, ruling: ruling.clone(), age: at.age(now) })
    }

    /// Forgets old crashes and rulings.
    pub fn expire(&mut self, now: Time) {
        self.crashes.retain(|_, crash| crash.at.age(now) < CRASH_RETENTION);
        self.rulings.retain(|_, (at, _)| at.age(now) < RULING_RETENTION);
        self.recorded.retain(|part| self.rulings.contains_key(part));
    }

    /// The parts that enough crashes name to be worth weighing.
    fn candidates(&self) -> Vec<u64> {
        let mut counts: HashMap<u64, usize> = HashMap::new();
        let parts = self.crashes.values().flat_map(|crash| crash.parts.keys());
        parts.for_each(|part| *counts.entry(*part).or_default() += 1);
        let enough = |(part, count): (u64, usize)| {
            (count >= CRASHES_UNANSWERED || self.rulings.contains_key(&part)).then_some(part)
        };
        counts.into_iter().filter_map(enough).collect()
    }

    /// The crashes that are evidence against a part: those since its last answer, or since the end of its
    /// quarantine, that no other quarantined part explains. Sorted by time.
    fn evidence(&self, part: u64) -> Vec<EvidenceRow<'_>> {
        let since = match self.rulings.get(&part) {
            Some((at, Ruling::Quarantined { term, .. })) => Some(at.later(*term)),
            _ => self.last_answer(part),
        };
        let crashes = self.crashes.values().filter(|crash| since.is_none_or(|at| crash.at > at));
        let rows = crashes.filter_map(|crash| {
            let (row, is_call) = (crash.parts.get(&part)?, crash.calls.contains_key(&part));
            let others = crash.parts.keys().filter(|p| **p != part && self.explains(**p));
            let (calls, parts): (Vec<u64>, Vec<u64>) =
                others.partition(|p| crash.calls.contains_key(p));
            let explained = !parts.is_empty() || is_call && !calls.is_empty();
            let cause = calls.first().copied();
            let calls = &crash.calls;
            (!explained).then_some(EvidenceRow { at: crash.at, row, calls, cause })
        });
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|row| row.at);
        rows
    }

    /// When a request with a part, or a call, was last answered.
    fn last_answer(&self, part: u64) -> Option<SignedTime> {
        self.answers.get(part).max(self.call_answers.get(part))
    }

    /// Weighs the evidence against a part. Returns `None` if it doesn't suffice.
    fn weigh(&self, now: Time, part: u64) -> Option<Evidence> {
        let rows = self.evidence(part);
        // Crashes that may be one loss of power.
        let mut group: Vec<&EvidenceRow<'_>> = Vec::new();
        let mut crashes = 0;
        let mut causes = BTreeSet::new();
        for row in &rows {
            if row.cause.is_some_and(|cause| !causes.insert(cause)) {
                continue;
            }
            if group.is_empty() || group.iter().any(|earlier| row.is_apart_from(earlier)) {
                crashes += 1;
                group.clear();
            }
            group.push(row);
        }
        let unanswered = self.last_answer(part).is_none();
        let needed = match self.rulings.get(&part) {
            // Its term is over.
            Some((at, Ruling::Quarantined { term, .. })) if at.age(now) >= *term => 1,
            _ if unanswered => CRASHES_UNANSWERED,
            _ => CRASHES_ANSWERED,
        };
        (crashes >= needed).then(|| Evidence {
            crashes,
            unanswered,
            requests: Reverse(rows.iter().map(|evidence| evidence.row.requests).sum()),
            depth: rows.iter().map(|evidence| evidence.row.depth).max().unwrap_or(0),
        })
    }

    fn quarantine(&self, now: Time, part: u64, evidence: Evidence) -> Ruling {
        let rows = self.evidence(part);
        let (term, before) = match self.rulings.get(&part) {
            Some((_, Ruling::Quarantined { term, crashes, .. })) => {
                ((*term * 2).min(TERM_RANGE.1), *crashes)
            }
            _ => (TERM_RANGE.0, 0),
        };
        let since_first = rows.first().map_or(Span::ZERO, |first| first.at.age(now));
        Ruling::Quarantined {
            scope: Scope::of(rows.iter().map(|evidence| evidence.row)),
            crashes: before.saturating_add(u32::try_from(evidence.crashes).unwrap_or(u32::MAX)),
            span: since_first,
            term,
        }
    }

    /// Extends quarantines of single workspaces to all, if requests of others crash servers as well.
    fn widen(&mut self, now: Time) -> Vec<RulingChange> {
        let other = |part: u64, workspace: &Option<WorkspaceId>| {
            let since = self.answers.get(part);
            let crashes = self.crashes.values();
            let mut rows = crashes
                .filter(|crash| since.is_none_or(|at| crash.at > at))
                .filter_map(|crash| crash.parts.get(&part));
            rows.any(|row| row.workspaces.iter().any(|other| other != workspace))
        };
        let wider = |(part, (_, ruling)): (&u64, &(SignedTime, Ruling))| match ruling {
            Ruling::Quarantined { scope: Scope::One(workspace), crashes, span, term }
                if other(*part, workspace) =>
            {
                let (crashes, span, term) = (*crashes, *span, *term);
                Some((*part, Ruling::Quarantined { scope: Scope::All, crashes, span, term }))
            }
            _ => None,
        };
        let wider: Vec<_> = self.rulings.iter().filter_map(wider).collect();
        wider.into_iter().map(|(part, ruling)| self.rule(now, part, ruling)).collect()
    }

    fn is_quarantined(&self, now: Time, part: u64) -> bool {
        self.rulings.get(&part).is_some_and(|(at, ruling)| ruling.in_force(at.age(now)))
    }

    /// Whether crashes with a part are put down to it.
    fn explains(&self, part: u64) -> bool {
        matches!(self.rulings.get(&part), Some((_, Ruling::Quarantined { .. })))
    }

    fn rule(&mut self, now: Time, part: u64, ruling: Ruling) -> RulingChange {
        self.insert(SignedTime::before(now, Span::ZERO), part, ruling.clone());
        RulingChange { part, ruling, own: true }
    }

    fn insert(&mut self, at: SignedTime, part: u64, ruling: Ruling) {
        self.recorded.remove(&part);
        self.rulings.insert(part, (at, ruling));
        if self.rulings.len() > MAX_RULINGS {
            let oldest = self.rulings.iter().min_by_key(|(_, (at, _))| *at);
            if let Some(part) = oldest.map(|(part, _)| *part) {
                self.rulings.remove(&part);
            }
        }
    }
}

impl Ruling {
    /// Limits the term, which may come from a record that another program wrote.
    fn bounded(self) -> Self {
        match self {
            Self::Quarantined { scope, crashes, span, term } => {
                Self::Quarantined { scope, crashes, span, term: term.min(TERM_RANGE.1) }
            }
            Self::Cleared => Self::Cleared,
        }
    }

    /// Orders the rulings on a part by time.
    fn rank(&self, at: SignedTime) -> SignedTime {
        match self {
            Self::Cleared => at.later(CLEARED_LEAD),
            Self::Quarantined { .. } => at,
        }
    }

    /// Whether both refuse the same requests for the same time.
    fn same_effect(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Cleared, Self::Cleared) => true,
            (
                Self::Quarantined { scope, term, .. },
                Self::Quarantined { scope: other_scope, term: other_term, .. },
            ) => scope == other_scope && term == other_term,
            _ => false,
        }
    }

    /// Whether requests are refused this long after the ruling.
    fn in_force(&self, age: Span) -> bool {
        matches!(self, Self::Quarantined { term, .. } if age < *term)
    }
}

impl Scope {
    fn of<'a>(rows: impl Iterator<Item = &'a OpenPart>) -> Self {
        let workspaces: BTreeSet<_> = rows.flat_map(|row| &row.workspaces).collect();
        match workspaces.first() {
            Some(workspace) if workspaces.len() == 1 => Self::One((*workspace).clone()),
            _ => Self::All,
        }
    }

    fn includes(&self, workspace: Option<&WorkspaceId>) -> bool {
        match self {
            Self::One(one) => one.as_ref() == workspace,
            Self::All => true,
        }
    }
}

impl OpenPart {
    fn new(part: u64, depth: u32, answered: Option<Span>) -> Self {
        Self { part, depth, requests: 0, workspaces: BTreeSet::new(), answered }
    }

    /// Adds a workspace. Two tell that there are several.
    fn add_workspace(&mut self, workspace: Option<WorkspaceId>) {
        if self.workspaces.len() < 2 {
            self.workspaces.insert(workspace);
        }
    }

    /// Combines the reports of two entries.
    fn merge(&mut self, other: Self) {
        self.depth = self.depth.max(other.depth);
        self.requests = self.requests.max(other.requests);
        other.workspaces.into_iter().for_each(|workspace| self.add_workspace(workspace));
    }
}
