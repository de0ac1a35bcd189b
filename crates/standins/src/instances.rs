//! Stand-in for the platform's instance list.

use crate::socket::listen;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A running stand-in that listens on a loopback port.
#[derive(Debug)]
pub struct Instances {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: tokio::task::JoinHandle<()>,
}

impl Drop for Instances {
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
    /// The list that polls receive.
    list: Value,
    down: bool,
    polls: u64,
}

impl Instances {
    /// Starts on a free loopback port with an empty list.
    pub async fn start() -> io::Result<Self> {
        let (address, acceptor) = listen()?;
        let shared = Arc::new(Shared::default());
        shared.lock().list = json!({ "revision": 0, "instances": [] });
        let router = Router::with_path("instances").get(ListInstances(Arc::clone(&shared)));
        let server = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(Self { address, shared, server })
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the list: a revision and the instances, each with id, availability zone, address and
    /// state.
    pub fn set_list(&self, list: Value) {
        self.shared.lock().list = list;
    }

    /// Starts or ends an outage, during which polls get 503.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
    }

    /// Returns the number of polls received.
    pub fn polls(&self) -> u64 {
        self.shared.lock().polls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct ListInstances(Arc<Shared>);

#[handler]
impl ListInstances {
    async fn handle(&self, response: &mut Response) {
        let mut state = self.0.lock();
        state.polls += 1;
        if state.down {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        } else {
            response.render(Json(state.list.clone()));
        }
    }
}
