//! Stand-in for the weight store.

use crate::socket::listen;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A running stand-in that listens on a loopback port.
#[derive(Debug)]
pub struct Weights {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: tokio::task::JoinHandle<()>,
}

impl Drop for Weights {
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
    /// Size in bytes by model and version.
    versions: BTreeMap<(String, String), u64>,
    /// Calls left before further ones get 429; `None` is unlimited.
    remaining_calls: Option<u32>,
    calls: u64,
}

impl Weights {
    /// Starts on a free loopback port without any models and without a call limit.
    pub async fn start() -> io::Result<Self> {
        let (address, acceptor) = listen()?;
        let shared = Arc::new(Shared::default());
        let get_weights = GetWeights(Arc::clone(&shared));
        let router = Router::with_path("weights/{model}/{version}").get(get_weights);
        let server = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(Self { address, shared, server })
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Adds a version of a model with its size in bytes.
    pub fn add(&self, model: &str, version: &str, bytes: u64) {
        self.shared.lock().versions.insert((model.to_owned(), version.to_owned()), bytes);
    }

    /// Limits the number of further calls; later ones get 429. `None` removes the limit.
    pub fn set_call_limit(&self, limit: Option<u32>) {
        self.shared.lock().remaining_calls = limit;
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct GetWeights(Arc<Shared>);

#[handler]
impl GetWeights {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let param = |name| request.param::<String>(name).unwrap_or_default();
        let version = (param("model"), param("version"));
        let mut state = self.0.lock();
        state.calls += 1;
        if state.remaining_calls == Some(0) {
            response.status_code(StatusCode::TOO_MANY_REQUESTS);
            // The unit of this header is seconds.
            let _ = response.add_header("retry-after", "3", true);
            return;
        }
        state.remaining_calls = state.remaining_calls.map(|remaining| remaining - 1);
        match state.versions.get(&version) {
            Some(bytes) => response.render(Json(json!({ "bytes": bytes }))),
            None => {
                response.status_code(StatusCode::NOT_FOUND);
            }
        }
    }
}
