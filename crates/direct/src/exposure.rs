//! Tells servers that crashed from those that broke off one answer, and records which requests were
//! open at the crash.
//!
//! A broken connection alone proves nothing: servers also break off single answers, and links fail. A
//! server has crashed if it refuses a new connection right after, or if its record in the store is
//! replaced or removed and it can't be reached.

use crate::http::{Conn, HttpError};
use crate::log::Kind;
use crate::node::{CONNECT_TIMEOUT, Node};
use crate::wire::Wire;
use damaskweir_core::fleet::{Replica, ServerProcess};
use damaskweir_core::ids::ServerId;
use damaskweir_core::quarantine::{OpenPart, OpenRequest, SentCall};
use damaskweir_core::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Delay of the check of a server, by which all connections that its crash breaks have broken.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// Delay of the check of a server that ended a response with its connection.
const CLOSE_DELAY: Duration = Duration::from_millis(5);
/// Time for which a request without an answer is kept, until it is known whether its server crashed.
/// The record of a silent server is removed after some seconds.
const LOST_RETENTION: Span = Span::from_secs(10);
/// Time for which a crash is kept. An answer that a link holds back for longer has been given up.
const CRASH_RETENTION: Span = Span::from_secs(60);
/// Requests without an answer that are kept per server.
const MAX_LOST: usize = 256;
/// Prompt parts, and calls, that are named in a log line.
const MAX_LOGGED_PARTS: usize = 12;

/// What a new connection to a server shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerState {
    /// It accepts connections, or resets those beyond its limit.
    Running,
    /// It refuses connections.
    Crashed,
    /// It doesn't respond.
    Unreachable,
}

/// A request that a server was given.
#[derive(Clone, Debug)]
struct Exposed {
    request: OpenRequest,
    /// When it was given to the server.
    sent: Time,
    /// When its answer broke off or was given up; `None` while it is open.
    lost: Option<Time>,
}

impl Exposed {
    fn into_request(self) -> OpenRequest {
        let call = self.request.call.map(|call| SentCall { broke: self.lost, ..call });
        OpenRequest { call, ..self.request }
    }
}

/// A server process, and the requests that it was given and has not answered, by attempt.
#[derive(Debug)]
struct ExposedServer {
    replica: Replica,
    requests: BTreeMap<u64, Exposed>,
}

impl ExposedServer {
    fn lost(&self) -> usize {
        self.requests.values().filter(|request| request.lost.is_some()).count()
    }
}

/// The requests that each server process was given and has not answered.
#[derive(Debug, Default)]
pub(crate) struct Exposures {
    servers: BTreeMap<ServerProcess, ExposedServer>,
    last_attempt: u64,
    /// Servers that are being checked.
    checks: BTreeSet<ServerProcess>,
    /// Servers that have crashed, when, and the last attempt before that.
    crashed: BTreeMap<ServerProcess, (Time, u64)>,
}

impl Exposures {
    /// Records that a request is sent to a server. Returns the number of the attempt.
    pub(crate) fn open(&mut self, now: Time, replica: &Replica, request: OpenRequest) -> u64 {
        self.last_attempt += 1;
        let new = || ExposedServer { replica: replica.clone(), requests: BTreeMap::new() };
        let server = self.servers.entry(replica.process()).or_insert_with(new);
        server.requests.insert(self.last_attempt, Exposed { request, sent: now, lost: None });
        self.last_attempt
    }

    /// Records that the server has answered, or that the request was withdrawn.
    pub(crate) fn close(&mut self, process: &ServerProcess, attempt: u64) {
        let Some(server) = self.servers.get_mut(process) else { return };
        server.requests.remove(&attempt);
        if server.requests.is_empty() {
            self.servers.remove(process);
        }
    }

    /// Records that the answer broke off, or that the entry no longer waits for it.
    fn lose(&mut self, now: Time, process: &ServerProcess, attempt: u64) {
        let Some(server) = self.servers.get_mut(process) else { return };
        let lost = server.lost();
        match server.requests.get_mut(&attempt) {
            Some(request) if lost < MAX_LOST => request.lost = Some(now),
            _ => self.close(process, attempt),
        }
    }

    /// The processes of a server, other than `current`, that have not answered all requests.
    fn replaced(&self, id: &ServerId, current: Option<&ServerProcess>) -> Vec<Replica> {
        let old = |server: &&ExposedServer| {
            server.replica.id == *id && Some(&server.replica.process()) != current
        };
        let lost = self.servers.values().filter(old).filter(|server| server.lost() > 0);
        lost.map(|server| server.replica.clone()).collect()
    }

    /// Records a crash. Removes and returns the requests that the server was given before, and that were lost
    /// there or are still open.
    fn crash(&mut self, at: Time, process: &ServerProcess) -> Vec<OpenRequest> {
        let Some(server) = self.servers.get_mut(process) else { return Vec::new() };
        let before = server.requests.extract_if(.., |_, request| request.sent <= at);
        let (attempts, requests): (Vec<_>, Vec<_>) =
            before.map(|(attempt, exposed)| (attempt, exposed.into_request())).unzip();
        if server.requests.is_empty() {
            self.servers.remove(process);
        }
        if let Some(last) = attempts.into_iter().max() {
            self.crashed.insert(process.clone(), (at, last));
        }
        requests
    }

    /// The record of a server process that has not answered all requests.
    fn replica(&self, process: &ServerProcess) -> Option<Replica> {
        self.servers.get(process).map(|server| server.replica.clone())
    }

    /// Whether the server has crashed since it was given the request.
    fn has_crashed(&self, process: &ServerProcess, attempt: u64) -> bool {
        self.crashed.get(process).is_some_and(|(_, last)| attempt <= *last)
    }

    /// Removes the requests that were lost at a server.
    fn forget_lost(&mut self, process: &ServerProcess) {
        self.retain(|other, request| other != process || request.lost.is_none());
    }

    /// Removes the requests that were lost long ago, and old crashes.
    pub(crate) fn expire(&mut self, now: Time) {
        self.retain(|_, request| request.lost.is_none_or(|at| now.since(at) < LOST_RETENTION));
        self.crashed.retain(|_, (at, _)| now.since(*at) < CRASH_RETENTION);
    }

    fn retain(&mut self, keep: impl Fn(&ServerProcess, &Exposed) -> bool) {
        self.servers.retain(|process, server| {
            server.requests.retain(|_, request| keep(process, request));
            !server.requests.is_empty()
        });
    }
}

impl<W: Wire> Node<W> {
    /// Records that the answer of a server broke off or was given up, and checks whether it crashed.
    pub(crate) fn record_lost(self: &Rc<Self>, server: &Replica, attempt: u64) {
        let now = self.now();
        self.state.borrow_mut().exposures.lose(now, &server.process(), attempt);
        self.check_server(server);
    }

    /// Checks whether a server has crashed, unless a check is under way.
    pub(crate) fn check_server(self: &Rc<Self>, server: &Replica) {
        if !self.state.borrow_mut().exposures.checks.insert(server.process()) {
            return;
        }
        let (node, server) = (self.clone(), server.clone());
        tokio::task::spawn_local(async move {
            let state = node.probe(&server, CHECK_DELAY).await;
            node.state.borrow_mut().exposures.checks.remove(&server.process());
            match state {
                ServerState::Running => {
                    node.state.borrow_mut().exposures.forget_lost(&server.process());
                }
                ServerState::Crashed => node.record_crash(&server, "refused"),
                // Its record tells later.
                ServerState::Unreachable => {
                    let listed = node.state.borrow().fleet.get(&server.id).map(Replica::process);
                    if listed != Some(server.process()) {
                        node.record_crash(&server, "removed");
                    }
                }
            }
        });
    }

    /// Connects to a server after a delay. The connection is kept for a later request.
    async fn probe(&self, server: &Replica, delay: Duration) -> ServerState {
        sleep(delay).await;
        match Conn::connect(server.address, CONNECT_TIMEOUT).await {
            Ok(conn) => {
                self.keep_connection(&server.id, conn);
                ServerState::Running
            }
            Err(error) if error.is_refusal() => ServerState::Crashed,
            Err(HttpError::Connect(e)) if e.kind() == io::ErrorKind::ConnectionReset => {
                ServerState::Running
            }
            Err(_) => ServerState::Unreachable,
        }
    }

    /// Whether the end of a response without a length is that of its connection in a crash, or may be. A server
    /// that has crashed may run again. One that is leaving counts as crashed if it is gone: few exit in the
    /// moment in which a response ends.
    pub(crate) async fn broke_unframed(&self, server: &Replica, attempt: u64, conn: &Conn) -> bool {
        if !conn.is_unframed() {
            return false;
        }
        let crashed = self.state.borrow().exposures.has_crashed(&server.process(), attempt);
        crashed
            || self.was_suspended(conn)
            || self.probe(server, CLOSE_DELAY).await == ServerState::Crashed
            || self.was_suspended(conn)
            || self.is_replaced(server)
    }

    /// Whether this process was suspended just before, after it sent the latest request on a connection. The
    /// connection may have ended meanwhile, and another process of its server may run by now.
    fn was_suspended(&self, conn: &Conn) -> bool {
        let now = self.now();
        self.state.borrow().suspension.resumed_since(now, now - conn.time_since_sent())
    }

    /// Whether a later process of a server is listed.
    fn is_replaced(&self, server: &Replica) -> bool {
        let state = self.state.borrow();
        state.fleet.get(&server.id).is_some_and(|listed| listed.started > server.started)
    }

    /// Records a crash if another process has taken the place of a server that lost requests, and
    /// checks it if its record was removed.
    pub(crate) fn check_replaced(self: &Rc<Self>, id: &ServerId) {
        let current = self.state.borrow().fleet.get(id).map(Replica::process);
        let old = self.state.borrow().exposures.replaced(id, current.as_ref());
        for server in old {
            match &current {
                Some(_) => self.record_crash(&server, "replaced"),
                None => self.check_server(&server),
            }
        }
    }

    /// Records that a server has crashed, with the requests that it had not answered.
    pub(crate) fn record_crash(self: &Rc<Self>, server: &Replica, how: &'static str) {
        self.record_crash_at(self.now(), server, how);
    }

    /// Records a crash that another entry reports, if this entry has requests at the server.
    pub(crate) fn record_told_crash(self: &Rc<Self>, process: &ServerProcess, age: Span) {
        let server = self.state.borrow().exposures.replica(process);
        if let Some(server) = server {
            self.record_crash_at(self.now() - age, &server, "told");
        }
    }

    fn record_crash_at(self: &Rc<Self>, at: Time, server: &Replica, how: &'static str) {
        let requests = self.state.borrow_mut().exposures.crash(at, &server.process());
        if requests.is_empty() {
            return;
        }
        let report = {
            let quarantine = &self.state.borrow().quarantine;
            quarantine.report(self.now(), server.process(), &requests)
        };
        let workspaces: BTreeSet<_> = requests.iter().map(|request| &request.workspace).collect();
        let text = |row: &OpenPart| format!("{:x}*{}", row.part, row.requests);
        let parts: Vec<_> = report.parts.iter().take(MAX_LOGGED_PARTS).map(text).collect();
        let parts = parts.join(",");
        let calls = report.calls.iter().take(MAX_LOGGED_PARTS).map(|call| text(&call.row));
        let calls = calls.collect::<Vec<_>>().join(",");
        let fields = [
            ("server", server.id.as_str().into()),
            ("how", how.into()),
            ("open", (requests.len() as u64).into()),
            ("workspaces", (workspaces.len() as u64).into()),
            ("parts", parts.as_str().into()),
            ("calls", calls.as_str().into()),
        ];
        self.log.process(Kind::ServerCrashed, &fields);
        self.metrics.server_crashes.add(1, &[]);
        if !report.parts.is_empty() || !report.calls.is_empty() {
            self.share_crash(report);
        }
    }
}
