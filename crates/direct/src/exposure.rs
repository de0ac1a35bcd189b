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
use damaskweir_core::quarantine::{OpenPart, OpenRequest};
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
/// Requests without an answer that are kept per server.
const MAX_LOST: usize = 256;
/// Prompt parts that are named in a log line.
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
    /// When its answer broke off or was given up; `None` while it is open.
    lost: Option<Time>,
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
}

impl Exposures {
    /// Records that a request is sent to a server. Returns the number of the attempt.
    pub(crate) fn open(&mut self, replica: &Replica, request: OpenRequest) -> u64 {
        self.last_attempt += 1;
        let new = || ExposedServer { replica: replica.clone(), requests: BTreeMap::new() };
        let server = self.servers.entry(replica.process()).or_insert_with(new);
        server.requests.insert(self.last_attempt, Exposed { request, lost: None });
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

    /// Removes and returns the requests that were lost at a server or are still open there.
    fn take(&mut self, process: &ServerProcess) -> Vec<OpenRequest> {
        let server = self.servers.remove(process);
        server
            .into_iter()
            .flat_map(|s| s.requests.into_values())
            .map(|exposed| exposed.request)
            .collect()
    }

    /// Removes the requests that were lost at a server.
    fn forget_lost(&mut self, process: &ServerProcess) {
        self.retain(|other, request| other != process || request.lost.is_none());
    }

    /// Removes the requests that were lost long ago.
    pub(crate) fn expire(&mut self, now: Time) {
        self.retain(|_, request| request.lost.is_none_or(|at| now.since(at) < LOST_RETENTION));
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
            Err(HttpError::Connect(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                ServerState::Crashed
            }
            Err(HttpError::Connect(e)) if e.kind() == io::ErrorKind::ConnectionReset => {
                ServerState::Running
            }
            Err(_) => ServerState::Unreachable,
        }
    }

    /// Whether the end of a response without a length is that of its connection in a crash. A server
    /// that is leaving may exit after its last response.
    pub(crate) async fn broke_unframed(&self, server: &Replica, conn: &Conn) -> bool {
        let staying =
            self.state.borrow().fleet.get(&server.id).is_some_and(|replica| !replica.leaving);
        conn.is_unframed()
            && staying
            && self.probe(server, CLOSE_DELAY).await == ServerState::Crashed
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
    fn record_crash(self: &Rc<Self>, server: &Replica, how: &'static str) {
        let requests = self.state.borrow_mut().exposures.take(&server.process());
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
        let fields = [
            ("server", server.id.as_str().into()),
            ("how", how.into()),
            ("open", (requests.len() as u64).into()),
            ("workspaces", (workspaces.len() as u64).into()),
            ("parts", parts.as_str().into()),
        ];
        self.log.process(Kind::ServerCrashed, &fields);
        self.metrics.server_crashes.add(1, &[]);
        if !report.parts.is_empty() {
            self.share_crash(report);
        }
    }
}
