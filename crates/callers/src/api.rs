//! HTTP routes and the server.

use crate::call::run_pipeline;
use crate::code::ErrorCode;
use crate::error::ErrorBody;
use crate::gateway::Gateway;
use crate::limit::Limits;
use crate::probe::{health, metrics, ready};
use crate::workspace::Authenticator;
use salvo::affix_state;
use salvo::catch_panic::CatchPanic;
use salvo::catcher::Catcher;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::http::StatusCode;
use salvo::oapi::OpenApi;
use salvo::server::ServerHandle;
use salvo::{Depot, FlowCtrl, Request, Response, Router, Server, Service, handler};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Opens the listening socket of the caller API.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit TCP_NODELAY. Without it, each chunk waits until the caller has
    // acknowledged the previous one, and callers delay acknowledgements by up to 40 ms.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// State shared by the request handlers.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) gateway: Arc<dyn Gateway>,
    pub(crate) authenticator: Arc<Authenticator>,
    pub(crate) limits: Limits,
}

/// HTTP API server on a listening socket.
pub struct Api {
    server: Server<TcpAcceptor>,
    address: SocketAddr,
    service: Service,
}

impl Api {
    /// Creates a server that accepts connections from `listener`.
    pub fn new(
        listener: TcpListener,
        gateway: Arc<dyn Gateway>,
        authenticator: Authenticator,
        limits: Limits,
    ) -> io::Result<Self> {
        let acceptor = TcpAcceptor::try_from(listener)?;
        let address = acceptor.local_addr()?;
        let timeouts = FuseConfig::default()
            .with_http1_header_timeout(limits.header_timeout)
            .with_request_body_timeout(limits.upload_timeout);
        let server =
            Server::new(acceptor).fuse_config(timeouts).max_connections(limits.max_connections);
        let state = State { gateway, authenticator: Arc::new(authenticator), limits };
        Ok(Self { server, address, service: build_service(state) })
    }

    /// Returns the local address of the listening socket.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that stops the server.
    pub fn handle(&self) -> ServerHandle {
        self.server.handle()
    }

    /// Serves requests until the server is stopped through its handle.
    pub fn serve(self) -> impl Future<Output = io::Result<()>> + Send {
        self.server.try_serve(self.service)
    }
}

fn build_service(state: State) -> Service {
    let catcher = Catcher::default().hoop(affix_state::inject(state.clone())).hoop(render_error);
    Service::new(routes().hoop(affix_state::inject(state))).hoop(CatchPanic::new()).catcher(catcher)
}

fn routes() -> Router {
    Router::new()
        .push(Router::with_path("v1/pipelines/{name}").post(run_pipeline))
        .push(Router::with_path("health").get(health))
        .push(Router::with_path("ready").get(ready))
        .push(Router::with_path("metrics").get(metrics))
}

/// Renders errors that the HTTP server itself raises, such as an unknown path, as an [`ErrorBody`].
#[handler]
async fn render_error(_: &mut Request, depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
    let code = match res.status_code {
        Some(StatusCode::NOT_FOUND) => ErrorCode::NotFound,
        Some(StatusCode::METHOD_NOT_ALLOWED) => ErrorCode::MethodNotAllowed,
        Some(StatusCode::PAYLOAD_TOO_LARGE) => ErrorCode::BodyTooLarge,
        Some(StatusCode::UNSUPPORTED_MEDIA_TYPE) => ErrorCode::UnsupportedMediaType,
        Some(StatusCode::BAD_REQUEST) => ErrorCode::BodyUnreadable,
        _ => ErrorCode::Internal,
    };
    let request = depot
        .get_typed::<State>()
        .map_or_else(|_| String::new(), |s| s.gateway.record_rejection(code, None));
    let body = if code == ErrorCode::Internal {
        // The handler may have submitted the request before it panicked.
        ErrorBody::unknown_execution(request)
    } else {
        ErrorBody::rejection(code, request)
    };
    res.render(body);
    ctrl.skip_rest();
}

/// Returns the OpenAPI document as JSON. `docs/openapi.json` must be a copy of it.
pub fn openapi_json() -> Result<String, serde_json::Error> {
    let document = OpenApi::new("damaskweir", "1").merge_router(&routes());
    serde_json::to_string_pretty(&document).map(|text| text + "\n")
}
