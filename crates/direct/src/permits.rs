//! Permission to send requests to servers that name a limit or are cold.
//!
//! Each entry sees only its own requests, but a limit holds for those of all entries together. One
//! entry, the grantor, grants them all; the others ask it before each request. All entries compute the
//! same grantor from the list of entries. While they may disagree, each grants only a share. For a cold
//! server only two entries ever grant, see `damaskweir_core::warmup`.

use crate::http::{HttpError, ResponseHead};
use crate::log::{Kind, Value};
use crate::node::{Node, NodeConfig, State};
use crate::wire::{ResponseInfo, SendPath, Wire};
use damaskweir_core::evacuation::EvacuationStatement;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{PoolId, ServerId};
use damaskweir_core::intake::{Change, Notice, Rate, Statement};
use damaskweir_core::owner::{EntryInfo, cold_grantors, grantor};
use damaskweir_core::pace::Pace;
use damaskweir_core::time::{Span, Time};
use damaskweir_core::warmup::{GrantorView, PERMIT_LIFETIME, Role, WarmupStatement};
use http::StatusCode;
use rand_core::Rng as _;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of a call for a permit. The request goes to another server after it.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which an entry that did not answer such a call grants nothing here.
const SILENT_DURATION: Span = Span::from_secs(2);
/// Time for which a server gets no request after no entry could be asked.
const UNKNOWN_WAIT: Span = Span::from_millis(300);
/// Entries that are asked for one permit at most.
const MAX_ASKS: usize = 3;
/// Calls for a permit for the same server that may be open at the same time.
const MAX_OPEN_ASKS: u32 = 4;

/// Permission to send one request to a server. A connection to the server takes one.
#[derive(Debug)]
pub(crate) struct Permit {
    server: Replica,
    path: SendPath,
    /// When it was asked for, if the server is cold and it must be used soon.
    asked: Option<Time>,
}

impl Permit {
    /// The server that the request may be sent to.
    pub(crate) fn server(&self) -> &Replica {
        &self.server
    }

    /// Whether the server is cold and the permit is too old to be used.
    pub(crate) fn is_expired(&self, now: Time) -> bool {
        self.asked.is_some_and(|at| now.since(at) > PERMIT_LIFETIME)
    }

    /// Whether the server was cold when the request was permitted.
    pub(crate) fn is_paced(&self) -> bool {
        self.asked.is_some()
    }

    /// Why the request is sent.
    pub(crate) fn path(&self) -> SendPath {
        self.path
    }
}

/// A call to the entry that grants the requests to a server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// What the sender knows of the server's limit.
    told: Statement,
    /// Whether a request is to be sent. If not, the call only passes on what is known.
    take: bool,
    /// What the sender knows of the server's warm-up; `None` if it needs no permits because of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    warmup: Option<WarmupStatement>,
    /// Entries that did not answer the sender. The receiver may take their place without knowing it.
    silent: Vec<String>,
}

/// Response to a call for a permit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PermitResponse {
    answer: PermitAnswer,
    /// What the grantor knows of the server's limit.
    told: Option<Statement>,
    /// The evacuated zones, if that of the server is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    evacuations: Option<EvacuationStatement>,
    /// Whether the grantor paces the requests to cold servers. One of an earlier version does not.
    #[serde(default)]
    paces_cold: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PermitAnswer {
    /// The request may be sent.
    Granted,
    /// No request may be sent for this time.
    Wait(Span),
    /// This entry grants the requests, as far as the responding one knows. The asking one may not know
    /// it yet.
    Moved(EntryInfo),
}

/// Counts a call for a permit as open until dropped.
struct OpenAsk<'a, W> {
    node: &'a Node<W>,
    server: &'a Replica,
}

impl<W> Drop for OpenAsk<'_, W> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if let Some(open) = state.open_asks.get_mut(&self.server.id) {
            *open -= 1;
            if *open == 0 {
                state.open_asks.remove(&self.server.id);
            }
        }
    }
}

impl<W: Wire> Node<W> {
    /// Returns a permit for a request to a server. Returns `None` if its limit or its warm-up allows no request
    /// now; the server is then blocked for a while.
    pub(crate) async fn permit(
        self: &Rc<Self>,
        server: &Replica,
        path: SendPath,
    ) -> Option<Permit> {
        let mut redirect = None;
        for _ in 0..MAX_ASKS {
            let asked = self.now();
            if self.state.borrow().intake.limit_in_force(asked, server).is_none() {
                return Some(self.issue(server, path, asked));
            }
            let cold = self.state.borrow().is_cold(asked, server);
            let grantor = match redirect.take() {
                None if cold => self.state.borrow().cold_grantor(server).cloned(),
                None => self.state.borrow().grantor(server).cloned(),
                known => known,
            };
            if cold && grantor.is_none() {
                break;
            }
            let Some(grantor) = grantor.filter(|entry| entry.name != self.config.entry.name) else {
                return self.permit_locally(server, path);
            };
            match self.ask(&grantor, server, true).await {
                Ok(PermitAnswer::Granted) => return Some(self.issue(server, path, asked)),
                Ok(PermitAnswer::Wait(wait)) => {
                    self.block(server, wait);
                    return None;
                }
                Ok(PermitAnswer::Moved(entry)) => redirect = Some(entry),
                Err(HttpError::Connect(_) | HttpError::TimedOut) => self.silence(&grantor.name),
                // An entry of an earlier version does not grant requests.
                Err(HttpError::Malformed(_)) => return self.permit_equal_share(server, path),
                Err(
                    HttpError::Io(_)
                    | HttpError::UnexpectedEof
                    | HttpError::Buffer(_)
                    | HttpError::Declined,
                ) => {}
            }
        }
        self.block(server, UNKNOWN_WAIT);
        None
    }

    /// Returns a permit for a request to a server that accepts any, if it needs none or this entry is its
    /// grantor and its limit and its warm-up allow the request.
    pub(crate) fn permit_locally(&self, server: &Replica, path: SendPath) -> Option<Permit> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !state.accepts_calls(server) || !state.standings.accepts(now, server) {
            return None;
        }
        let shares = state.grant_shares(now, server, &self.config);
        let granted = match path {
            SendPath::Release => state.intake.grant_release(now, server, shares),
            _ => {
                let granted = state.intake.grant(now, server, shares);
                granted.map_err(|wait| state.intake.block(now, server, wait)).is_ok()
            }
        };
        drop(state);
        granted.then(|| self.issue(server, path, now))
    }

    /// Returns a permit if this entry's equal share of the server's limit allows it.
    fn permit_equal_share(&self, server: &Replica, path: SendPath) -> Option<Permit> {
        let now = self.now();
        let granted = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let entries = state.roster.entries();
            let share = 1.0 / entries.len().max(1) as f64;
            let before = entries.iter().filter(|entry| entry.name < self.config.entry.name);
            let slot = (before.count() as u64, entries.len() as u64);
            let granted = state.intake.try_grant(now, server, share);
            granted.and_then(|()| state.intake.warmups.try_equal_share(now, server, slot))
        };
        match granted {
            Ok(()) => Some(self.issue(server, path, now)),
            Err(wait) => {
                self.block(server, wait);
                None
            }
        }
    }

    fn issue(&self, server: &Replica, path: SendPath, asked: Time) -> Permit {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.standings.record_send(now, server);
        if state.intake.limit_in_force(now, server).is_some() {
            self.metrics.limited_send(path);
        }
        let asked = state.is_cold(now, server).then_some(asked);
        drop(state);
        Permit { server: server.clone(), path, asked }
    }

    /// Lets no request be sent to a server for `wait` and a random part of its interval, so that entries
    /// don't all ask again at the same time.
    fn block(&self, server: &Replica, wait: Span) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let limit = state.intake.limit_in_force(now, server);
        let interval = limit.map_or(Span::ZERO, Rate::interval);
        let jitter = state.rng.next_u64() % (interval.0.min(UNKNOWN_WAIT.0) / 2).max(1);
        state.intake.block(now, server, wait + Span(jitter));
    }

    /// Calls the grantor of a server.
    async fn ask(
        self: &Rc<Self>,
        grantor: &EntryInfo,
        server: &Replica,
        take: bool,
    ) -> Result<PermitAnswer, HttpError> {
        let now = self.now();
        let (request, cold) = {
            let mut state = self.state.borrow_mut();
            let silent = state.silent.keys().cloned().collect();
            *state.open_asks.entry(server.id.clone()).or_default() += 1;
            let told = state.intake.statement(now, server);
            let unknown = Statement { server: server.clone(), limit: None, age: Span(u64::MAX) };
            let warmup = state.intake.warmups.statement(now, server);
            let told = told.unwrap_or(unknown);
            (PermitRequest { told, take, warmup, silent }, warmup.is_some())
        };
        let _open = OpenAsk { node: self, server };
        let call = self.call_entry(grantor, "/permit", &request);
        let response: PermitResponse =
            timeout(PERMIT_TIMEOUT, call).await.map_err(|_| HttpError::TimedOut)??;
        if let Some(told) = &response.evacuations {
            self.merge_evacuations(told);
        }
        if let Some(told) = response.told {
            self.merge_statement(told, now);
        }
        if cold && take && !response.paces_cold {
            return Err(HttpError::Malformed("the entry does not pace requests to cold servers"));
        }
        Ok(response.answer)
    }

    /// Responds to a call of another entry for a permit.
    pub(crate) fn serve_permit(self: &Rc<Self>, request: &PermitRequest) -> PermitResponse {
        let own = &self.config.entry.name;
        request.silent.iter().filter(|name| *name != own).for_each(|name| self.silence(name));
        self.merge_statement(request.told.clone(), self.now());
        let (now, server) = (self.now(), &request.told.server);
        if let Some(told) = request.warmup {
            self.merge_warmup(server, told);
        }
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let evacuated = state.evacuations.contains(&server.zone);
        let evacuations = evacuated.then(|| state.evacuations.statement(now));
        let other = match (state.is_cold(now, server), state.cold_role(server, own)) {
            (true, Role::First | Role::Deputy) => None,
            (true, Role::Other) => state.cold_grantor(server),
            (false, _) => state.grantor(server).filter(|entry| entry.name != *own),
        };
        let answer = match other.cloned() {
            // An entry of an earlier version takes no notice of the evacuated zones.
            _ if request.take && evacuated => PermitAnswer::Wait(UNKNOWN_WAIT),
            _ if !request.take || state.intake.limit_in_force(now, server).is_none() => {
                PermitAnswer::Granted
            }
            Some(other) => PermitAnswer::Moved(other),
            None => {
                let shares = state.grant_shares(now, server, &self.config);
                let granted = state.intake.grant(now, server, shares);
                granted.map_or_else(PermitAnswer::Wait, |()| PermitAnswer::Granted)
            }
        };
        let told = state.intake.statement(now, server);
        let paces_cold = self.config.cold.is_some();
        PermitResponse { answer, told, evacuations, paces_cold }
    }

    /// Records that an entry did not answer. Another one grants its requests for [`SILENT_DURATION`].
    fn silence(&self, name: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.silent.insert(name.to_owned(), now + SILENT_DURATION).is_none() {
            state.grantors_changed = now;
            state.assign_grantors(&self.config, now);
        }
    }

    /// Parses the head of an answer, and records what it says about the server.
    pub(crate) fn record_answer(
        self: &Rc<Self>,
        server: &Replica,
        head: &ResponseHead,
    ) -> ResponseInfo {
        let mut info = self.wire.parse_response(head);
        // Another server has taken over the address.
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            self.record_notice(server, std::mem::take(&mut info.limit));
            self.record_warmup(server, std::mem::take(&mut info.warmup));
            self.record_announcement(server, std::mem::take(&mut info.announcement));
        }
        info
    }

    /// Records what an answer says about the limit of its server, and tells the grantor of a change.
    fn record_notice(self: &Rc<Self>, server: &Replica, notice: Notice) {
        let change = self.state.borrow_mut().intake.record(self.now(), server, notice);
        let Some(change) = change else { return };
        let invalid = matches!(change, Change::Invalid(_));
        self.apply_change(server, change);
        let grantor = self.state.borrow().grantor(server).cloned();
        let Some(grantor) = grantor.filter(|entry| entry.name != self.config.entry.name) else {
            return;
        };
        if !invalid {
            let (node, server) = (self.clone(), server.clone());
            tokio::task::spawn_local(async move {
                // If the call is lost, the grantor learns of the change with the next one.
                drop(node.ask(&grantor, &server, false).await);
            });
        }
    }

    /// Records what another entry tells about a server's limit. It may be as old as `since`, when the
    /// other entry was asked.
    pub(crate) fn merge_statement(&self, mut told: Statement, since: Time) {
        let now = self.now();
        told.age += now.since(since);
        let change = self.state.borrow_mut().intake.merge(now, &told);
        if let Some(change) = change {
            self.apply_change(&told.server, change);
        }
    }

    /// Logs a change of what a server says, and decides who grants the requests to it.
    fn apply_change(&self, server: &Replica, change: Change) {
        let id = ("server", Value::from(server.id.as_str()));
        let rate = |limit: Option<Rate>| limit.map(|limit| limit.to_string()).unwrap_or_default();
        match change {
            Change::Limited { limit, before } => {
                let (limit, before) = (rate(Some(limit)), rate(before));
                let fields =
                    [id, ("per_second", limit.as_str().into()), ("before", before.as_str().into())];
                self.log.process(Kind::ServerLimited, &fields);
                let mut state = self.state.borrow_mut();
                let since = state.grantors_changed;
                state.assign_grantor(server, &self.config, self.now(), since);
            }
            Change::Unlimited { before, lasted } => {
                let before = rate(Some(before));
                let fields = [
                    id,
                    ("before", before.as_str().into()),
                    ("after_ms", lasted.as_millis().into()),
                ];
                self.log.process(Kind::ServerUnlimited, &fields);
            }
            Change::Invalid(text) => {
                let fields = [id, ("what", "limit".into()), ("error", text.as_str().into())];
                self.log.process(Kind::Unusable, &fields);
            }
        }
    }
}

impl State {
    /// Returns the entry that grants the requests of all entries to a server: its owner if it runs
    /// stages, as nobody else sends it any.
    pub(crate) fn grantor(&self, server: &Replica) -> Option<&EntryInfo> {
        let owner = self.owner(server);
        let absent =
            |name: &str| self.silent.contains_key(name) || self.suspects.contains_key(name);
        owner.or_else(|| grantor(&server.id, self.roster.entries(), absent))
    }

    /// Returns the share of a server's limit that this entry may grant. It is all of it unless other
    /// entries may grant requests as well: those that do not answer, and for some time the grantor
    /// before.
    pub(crate) fn grant_share(&self, now: Time, server: &Replica, config: &NodeConfig) -> f64 {
        let absent: BTreeSet<_> = self.silent.keys().chain(self.suspects.keys()).collect();
        let handover = config.apply_limit * 2;
        let granted_for = self.intake.grants_for(now, server);
        let stale = self.freshness.age(now).is_none_or(|age| age > config.apply_limit);
        let uncertain = stale || granted_for.is_none_or(|time| time < handover);
        1.0 / (1 + absent.len()).max(if uncertain { 2 } else { 1 }) as f64
    }

    /// Recomputes the servers whose requests this entry grants.
    pub(crate) fn assign_grantors(&mut self, config: &NodeConfig, now: Time) {
        let limited: Vec<Replica> = self.intake.limited().cloned().collect();
        limited.iter().for_each(|server| self.assign_grantor(server, config, now, now));
    }

    /// Recomputes whether this entry is the grantor of a server. If it becomes one, it is since `since`.
    fn assign_grantor(&mut self, server: &Replica, config: &NodeConfig, now: Time, since: Time) {
        let grantor = self.grantor(server);
        let own = grantor.is_none_or(|entry| entry.name == config.entry.name);
        self.intake.set_grants(now, &server.id, own, since);
    }

    /// Recomputes the servers whose requests this entry grants while they are cold.
    pub(crate) fn assign_cold_grantors(&mut self, config: &NodeConfig, now: Time) {
        let servers: Vec<Replica> = self.intake.warmups.servers().cloned().collect();
        for server in servers {
            let first = self.cold_role(&server, &config.entry.name) == Role::First;
            let since = if self.owner(&server).is_some() { now } else { self.roster_changed };
            self.intake.warmups.set_grants(now, &server.id, first, since);
        }
    }

    /// Whether requests to a server need permits because it is or was cold.
    pub(crate) fn is_cold(&self, now: Time, server: &Replica) -> bool {
        self.intake.warmups.rate(now, server).is_some()
    }

    fn owner(&self, server: &Replica) -> Option<&EntryInfo> {
        self.owners.get(&server.pool).and_then(|owners| owners.owner_of(&server.id))
    }

    /// Returns the entry to ask for permits for a cold server: the first one, or its deputy if that does not
    /// answer. `None` if neither does.
    fn cold_grantor(&self, server: &Replica) -> Option<&EntryInfo> {
        if let Some(owner) = self.owner(server) {
            return Some(owner);
        }
        let absent =
            |name: &str| self.silent.contains_key(name) || self.suspects.contains_key(name);
        let (first, deputy) = cold_grantors(&server.id, self.roster.entries());
        first.into_iter().chain(deputy).find(|entry| !absent(&entry.name))
    }

    /// Returns the part of an entry in granting the requests to a cold server. An owner of a stage's server may
    /// only have taken the place of one that does not answer.
    fn cold_role(&self, server: &Replica, own: &str) -> Role {
        if let Some(owner) = self.owner(server) {
            return match owner.name == own {
                true if self.suspects.is_empty() => Role::First,
                true => Role::Deputy,
                false => Role::Other,
            };
        }
        let (first, deputy) = cold_grantors(&server.id, self.roster.entries());
        match own {
            _ if first.is_some_and(|entry| entry.name == own) => Role::First,
            _ if deputy.is_some_and(|entry| entry.name == own) => Role::Deputy,
            _ => Role::Other,
        }
    }

    /// Returns the shares of a server's limit, and of its rate while it is cold, that this entry may grant.
    fn grant_shares(&self, now: Time, server: &Replica, config: &NodeConfig) -> (f64, f64) {
        let share = self.grant_share(now, server, config);
        if !self.is_cold(now, server) {
            return (share, 1.0);
        }
        let granted_for = self.intake.warmups.grants_for(now, server);
        let view = GrantorView {
            role: self.cold_role(server, &config.entry.name),
            granted_for: granted_for.map(|time| time.min(self.pauses.resumed_for(now))),
            roster_age: self.roster.age(now),
            data_age: self.freshness.age(now),
            data_limit: config.apply_limit,
        };
        (share, view.share())
    }

    /// Sets the pace of the calls to the servers of a stage pool that this entry owns: that of their limits,
    /// after the times without requests that they asked for.
    pub(crate) fn set_paces(&mut self, pool: &PoolId, now: Time, config: &NodeConfig) {
        let limited = self.intake.paced(now).filter(|server| server.pool == *pool);
        let pace = |server: &Replica| {
            let shares = self.grant_shares(now, server, config);
            Some((server.id.clone(), self.intake.pace_in_force(now, server, shares)?))
        };
        let mut paces: BTreeMap<_, _> = limited.filter_map(pace).collect();
        for (id, until) in self.backing_off(now, pool) {
            let unpaced = Pace { interval: Span::ZERO, ready: until };
            let pace = paces.entry(id).or_insert(unpaced);
            pace.ready = pace.ready.max(until);
        }
        if let Some(batcher) = self.batchers.get_mut(pool) {
            batcher.set_paces(|server| paces.get(&server.id).copied());
        }
    }

    /// Returns the servers of a pool that get no request now because they asked for time, and until when.
    fn backing_off(&self, now: Time, pool: &PoolId) -> Vec<(ServerId, Time)> {
        let servers = self.standings.backing_off(now);
        let listed =
            servers.filter(|(server, _)| server.pool == *pool && self.fleet.lists_process(server));
        listed.map(|(server, until)| (server.id.clone(), until)).collect()
    }

    /// Whether a server of a pool asked for time and gets no request now.
    pub(crate) fn is_backing_off(&self, now: Time, pool: &PoolId) -> bool {
        !self.backing_off(now, pool).is_empty()
    }

    /// Returns the servers of a pool that get no request now, and until when.
    pub(crate) fn blocked(&self, now: Time, pool: &PoolId) -> Vec<(ServerId, Time)> {
        let asked = |server: &&Replica| {
            self.open_asks.get(&server.id).is_some_and(|open| *open >= MAX_OPEN_ASKS)
        };
        let asked = self.intake.paced(now).filter(asked);
        let asked = asked.map(|server| (server.id.clone(), now + Span::from(PERMIT_TIMEOUT)));
        let mut blocked = self.intake.blocked(now);
        blocked.extend(asked);
        blocked.extend(self.backing_off(now, pool));
        blocked.retain(|(id, _)| self.placers.get(pool).is_some_and(|p| p.contains(id)));
        blocked
    }

    /// Returns how long a caller should wait that is refused because servers accept no request. The earliest
    /// time is that at which one of them accepts a request again.
    pub(crate) fn book_return(&mut self, now: Time, pool: &PoolId, earliest: Span) -> Span {
        let limited = self.intake.paced(now).filter(|server| server.pool == *pool);
        let rates = limited.filter_map(|server| self.intake.limit_in_force(now, server));
        let rates = rates.map(Rate::per_second);
        let own_rate = rates.sum::<f64>() / self.roster.entries().len().max(1) as f64;
        let interval = match self.placers.get(pool) {
            Some(placer) if own_rate == 0.0 => placer.mean_interval(),
            _ => Span::from_secs(1).scale(1.0 / own_rate),
        };
        self.return_slots.entry(pool.clone()).or_default().book(now, earliest, interval)
    }
}
