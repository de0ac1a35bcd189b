//! Stand-in for a JSON-over-HTTP service that responds after a delay.

use crate::runs::Runs;
use crate::socket::listen;
use futures::stream;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Largest request body.
const BODY_MAX_BYTES: usize = 16 << 20;

/// Delay and faults of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Duration of each call.
    pub delay: Duration,
    /// Responds with 429 without running the call.
    pub refuse: bool,
    /// Runs the call and responds with 500.
    pub fail: bool,
    /// Runs the call and closes the connection in the middle of the response.
    pub truncate: bool,
    /// Runs the call and closes the connection instead of responding.
    pub drop_response: bool,
    /// Responds to health checks with 503.
    pub unhealthy: bool,
}

/// A running stand-in that listens on a loopback port.
#[derive(Debug)]
pub struct Service {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: tokio::task::JoinHandle<()>,
}

impl Drop for Service {
    fn drop(&mut self) {
        self.server.abort();
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    runs: Runs,
    running: u32,
}

impl Service {
    /// Starts on a free loopback port.
    pub async fn start() -> io::Result<Self> {
        let (address, acceptor) = listen()?;
        let shared = Arc::new(Shared::default());
        let router = Router::new()
            .push(Router::with_path("health").get(Health(Arc::clone(&shared))))
            .push(Router::with_path("load").get(LoadReport(Arc::clone(&shared))))
            .push(Router::with_path("{**path}").post(HandleCall(Arc::clone(&shared))));
        let server = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(Self { address, shared, server })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes the behaviour for calls that arrive later.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.lock().behaviour);
    }

    /// Returns the counts of the calls that ran.
    pub fn runs(&self) -> Runs {
        self.shared.lock().runs.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a running call, when dropped, as finished or cancelled.
struct Job<'a> {
    shared: &'a Shared,
    finished: bool,
}

impl Drop for Job<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.running -= 1;
        if self.finished {
            state.runs.finished += 1;
        } else {
            state.runs.cancelled += 1;
        }
    }
}

struct HandleCall(Arc<Shared>);

#[handler]
impl HandleCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let behaviour = self.0.lock().behaviour;
        if behaviour.refuse {
            response.status_code(StatusCode::TOO_MANY_REQUESTS);
            return;
        }
        let path = request.uri().path().to_owned();
        let input = match request.payload_with_max_size(BODY_MAX_BYTES).await {
            Ok(bytes) => serde_json::from_slice(bytes).unwrap_or(Value::Null),
            Err(_) => {
                response.status_code(StatusCode::BAD_REQUEST);
                return;
            }
        };
        {
            let mut state = self.0.lock();
            state.runs.record(request);
            state.running += 1;
        }
        let mut job = Job { shared: &self.0, finished: false };
        sleep(behaviour.delay).await;
        job.finished = true;
        let answer = json!({ "path": path, "input": input }).to_string();
        if behaviour.fail {
            response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        } else if behaviour.drop_response {
            response.stream(stream::iter([Err::<String, _>(io::Error::other(
                "simulated loss of the response",
            ))]));
        } else if behaviour.truncate {
            let half = answer[..answer.len() / 2].to_owned();
            response.stream(stream::iter([
                Ok(half),
                Err(io::Error::other("simulated truncation of the response")),
            ]));
        } else {
            response.render(Text::Json(answer));
        }
    }
}

struct LoadReport(Arc<Shared>);

#[handler]
impl LoadReport {
    async fn handle(&self, response: &mut Response) {
        let running = self.0.lock().running;
        response.render(Json(json!({ "running": running, "waiting": 0 })));
    }
}

struct Health(Arc<Shared>);

#[handler]
impl Health {
    async fn handle(&self, response: &mut Response) {
        if self.0.lock().behaviour.unhealthy {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        } else {
            response.render(Json(json!({})));
        }
    }
}
