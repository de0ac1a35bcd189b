//! The listeners of the entry: for callers, for readiness checks, and for other entries and metrics.

use crate::body::{Body, StreamError};
use crate::memory::{BodyBuffer, BufferError};
use crate::node::Node;
use crate::peers::{GroupRequest, GroupResponse, KEEPALIVE_INTERVAL};
use crate::request::{ActiveRequest, BUSY_RETRY, error_response};
use crate::snapshot::Snapshot;
use crate::wire::Wire;
use bytes::Bytes;
use damaskweir_core::catalog::{Catalog, Route};
use damaskweir_core::ids::WorkspaceId;
use damaskweir_core::time::{Span, Time};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Minimum size in bytes of the request head buffer that hyper accepts.
const HEAD_BUFFER_MIN: usize = 8_192;
/// Maximum size in bytes of a request head while no configuration is known.
const HEADER_BYTES_DEFAULT: usize = 16_384;
/// Idle timeout of a connection while no configuration is known.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);
/// Added to the idle timeout, for a request that is in transit when the timeout ends.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// `Retry-After` while no configuration is known.
const STARTING_RETRY: Span = Span::from_millis(500);
/// Share of a request's remaining time for which a starting entry holds it until the configuration and servers
/// are known, and the longest time. Callers retry once or twice, and after many entries have lost power
/// together, the retry arrives at an entry that starts as well.
const STARTING_HOLD: (f64, Span) = (0.25, Span::from_secs(1));
/// Maximum size in bytes of the body of a request from another entry.
const PEER_REQUEST_BYTES_MAX: usize = 1024 * 1024;
/// Status and cause of the refusal of a request that there is no memory for.
const NO_MEMORY: (StatusCode, &str) = (StatusCode::SERVICE_UNAVAILABLE, "no_memory");
/// Memory in bytes that a request and its connections need besides large buffers.
const REQUEST_BYTES: usize = 64 * 1024;
/// Time after which the connection of a caller who reads nothing is closed (`TCP_USER_TIMEOUT`). It is longer
/// than requests last.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listener.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers for as long as the process runs.
pub async fn serve_callers<W: Wire>(node: Rc<Node<W>>, listener: TcpListener) {
    let limits = {
        let node = node.clone();
        move || ConnLimits::current(&node)
    };
    let open = node.callers.clone();
    let handler = move |request| handle_caller(node.clone(), request);
    accept(&listener, limits, &open, handler).await;
}

/// Connections of callers.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: Cell<usize>,
    closing: Cell<bool>,
    /// Notified when connections are to be closed.
    close: Notify,
    /// Notified when the last one was closed.
    closed: Notify,
}

impl Connections {
    /// Counts a connection as open until the guard is dropped.
    fn open(self: &Rc<Self>) -> OpenConnection {
        self.open.set(self.open.get() + 1);
        OpenConnection(self.clone())
    }

    /// Waits until connections are to be closed.
    async fn wait_closing(&self) {
        let close = self.close.notified();
        if !self.closing.get() {
            close.await;
        }
    }

    /// Closes each connection once its answer is written, and waits until all are closed.
    pub(crate) async fn close(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
        while self.open.get() > 0 {
            self.closed.notified().await;
        }
    }
}

/// An open connection.
struct OpenConnection(Rc<Connections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        if self.0.open.get() == 0 {
            self.0.closed.notify_waiters();
        }
    }
}

impl<W: Wire> Node<W> {
    /// Closes the connections of callers once their answers are written, and waits until they are closed.
    pub async fn close_callers(&self) {
        self.callers.close().await;
    }
}

/// Serves readiness checks, which tell whether callers should be sent to this entry.
pub async fn serve_readiness<W: Wire>(node: Rc<Node<W>>, listener: TcpListener) {
    let handler = move |_| {
        let ready = node.ready();
        async move {
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            bytes_response(status, Bytes::new())
        }
    };
    accept(&listener, ConnLimits::default, &Rc::default(), handler).await;
}

/// Serves requests of other entries, and metrics.
pub async fn serve_admin<W: Wire>(node: Rc<Node<W>>, listener: TcpListener) {
    let handler = move |request: Request<Incoming>| {
        let node = node.clone();
        async move { handle_admin(&node, request).await }
    };
    accept(&listener, ConnLimits::default, &Rc::default(), handler).await;
}

/// Limits of one connection.
struct ConnLimits {
    /// Maximum size of a request head.
    header_bytes: usize,
    /// How long the connection may be idle.
    idle_timeout: Duration,
}

impl Default for ConnLimits {
    fn default() -> Self {
        Self { header_bytes: HEADER_BYTES_DEFAULT, idle_timeout: IDLE_TIMEOUT_DEFAULT }
    }
}

impl ConnLimits {
    /// Returns the limits of the current configuration.
    fn current<W: Wire>(node: &Node<W>) -> Self {
        let state = node.state.borrow();
        let limits = state.catalog.as_ref().map(|catalog| &catalog.limits);
        limits.map_or_else(Self::default, |l| Self {
            header_bytes: l.header_bytes,
            idle_timeout: l.idle_timeout.into(),
        })
    }
}

async fn accept<F, R>(
    listener: &TcpListener,
    limits: impl Fn() -> ConnLimits,
    open: &Rc<Connections>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (limits, handler, open) = (limits(), handler.clone(), open.open());
                tokio::task::spawn_local(async move {
                    serve_connection(stream, limits, &open, handler).await
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    limits: ConnLimits,
    open: &OpenConnection,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let unread = SockRef::from(&stream).set_tcp_user_timeout(Some(UNREAD_TIMEOUT));
    if unread.is_err() || stream.set_nodelay(true).is_err() {
        // The peer has already disconnected.
        return;
    }
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also closes connections that are idle between requests.
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.header_bytes.max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = open.0.wait_closing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    // An error means that the caller disconnected or sent invalid HTTP. Requests write their own log
    // lines.
    drop(served);
}

async fn handle_caller<W: Wire>(node: Rc<Node<W>>, request: Request<Incoming>) -> Response<Body> {
    let mut response = handle_request(node.clone(), request).await;
    if node.state.borrow().draining.is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn handle_request<W: Wire>(node: Rc<Node<W>>, request: Request<Incoming>) -> Response<Body> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let Some(catalog) = await_catalog(&node, &head, arrived).await else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "starting", Some(STARTING_RETRY));
    };
    match read_request(&node, &catalog, &head, body, arrived).await {
        Ok(request) => request.serve().await,
        Err((status, cause)) => {
            let id = node.wire.parse_request(&head).map(|info| info.id).unwrap_or_default();
            let fields = [
                ("cause", cause.into()),
                ("status", u64::from(status.as_u16()).into()),
                ("version", catalog.version.0.into()),
            ];
            node.log.request(crate::log::Kind::Refused, &id, &fields);
            node.metrics.request_ended("unknown", "rejected", cause, node.now().since(arrived));
            let retry = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(BUSY_RETRY);
            error_response(status, cause, retry)
        }
    }
}

/// Returns the configuration. An entry that has just started waits for it and for the list of servers as long as
/// the request allows.
async fn await_catalog<W: Wire>(
    node: &Node<W>,
    head: &Parts,
    arrived: Time,
) -> Option<Rc<Catalog>> {
    let known = || {
        let state = node.state.borrow();
        // Later, a fleet without servers is no sign of a start.
        let has_started = node.now().since(Time::default()) > node.config.apply_limit;
        let complete = has_started || state.fleet.replicas().next().is_some();
        let catalog = state.active_catalog().cloned();
        (catalog.is_some() && complete || state.draining.is_some(), catalog)
    };
    let (ready, catalog) = known();
    if ready {
        return catalog;
    }
    let Ok(info) = node.wire.parse_request(head) else { return catalog };
    let hold = info.deadline.unwrap_or_default().scale(STARTING_HOLD.0).min(STARTING_HOLD.1);
    let limit = node.instant(arrived + hold);
    let Some(_reserved) = node.requests.reserve(REQUEST_BYTES) else { return catalog };
    loop {
        let changed = node.changed.notified();
        let (ready, catalog) = known();
        if ready || tokio::time::timeout_at(limit, changed).await.is_err() {
            return catalog;
        }
    }
}

/// Reads a complete request, or returns the status and cause of its rejection.
async fn read_request<W: Wire>(
    node: &Rc<Node<W>>,
    catalog: &Catalog,
    head: &Parts,
    body: Incoming,
    arrived: Time,
) -> Result<ActiveRequest<W>, (StatusCode, &'static str)> {
    let route = find_route(catalog, head).ok_or((StatusCode::NOT_FOUND, "no_route"))?;
    let info =
        node.wire.parse_request(head).map_err(|_| (StatusCode::BAD_REQUEST, "bad_request"))?;
    let caller = find_caller(catalog, &route, info.key.as_deref())
        .ok_or((StatusCode::UNAUTHORIZED, "unknown_key"))?;
    let limits = &catalog.limits;
    let declared = head.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    let length = declared.and_then(|v| v.parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
    }
    let reserved = node.requests.reserve(REQUEST_BYTES);
    let mut buffer = BodyBuffer::new(limits.body_bytes, &node.memory);
    let fits = reserved.is_some() && buffer.reserve(length.unwrap_or_default()).is_ok();
    let buffer = fits.then_some(buffer);
    let read = tokio::time::timeout(limits.body_timeout.into(), read_body(body, buffer)).await;
    let body = match read {
        Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body_late")),
        Ok(body) => body?,
    };
    let memory = reserved.ok_or(NO_MEMORY)?;
    ActiveRequest::new(node.clone(), (info, head.clone(), body), route, caller, (arrived, memory))
        .ok_or((StatusCode::NOT_FOUND, "no_target"))
}

/// Reads a body into a buffer. Without one, or once the memory is used up, the rest is read and thrown away:
/// closing a connection with unread bytes resets it, and the caller would not get the refusal.
async fn read_body(
    mut body: Incoming,
    mut buffer: Option<BodyBuffer>,
) -> Result<Vec<Bytes>, (StatusCode, &'static str)> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "body_broken"))?;
        let (Some(bytes), Some(open)) = (frame.data_ref(), &mut buffer) else { continue };
        match open.push(bytes) {
            Ok(()) => {}
            Err(BufferError::TooLarge) => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
            }
            Err(BufferError::NoMemory) => buffer = None,
        }
    }
    buffer.map(BodyBuffer::into_parts).ok_or(NO_MEMORY)
}

fn find_route(catalog: &Catalog, head: &Parts) -> Option<Arc<Route>> {
    let host = match head.headers.get(header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => head.uri.host()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    catalog.route(&name.to_ascii_lowercase(), head.uri.path()).cloned()
}

/// Returns the workspace and rank of the caller, or `None` if its key is unknown.
fn find_caller(
    catalog: &Catalog,
    route: &Route,
    key: Option<&str>,
) -> Option<(Option<WorkspaceId>, u8)> {
    if route.public {
        return Some((None, route.rank));
    }
    let caller = catalog.keys.get(key?)?;
    Some((Some(caller.workspace.clone()), caller.rank.unwrap_or(route.rank)))
}

async fn handle_admin<W: Wire>(node: &Rc<Node<W>>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/snapshot" => match read_json(request).await {
            Some(poll) => json_response(&Snapshot::answer(node, poll).await),
            None => bytes_response(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        "/pieces" => match read_json(request).await {
            Some(call) => group_response(node.clone(), call),
            None => bytes_response(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        "/release" => match read_json(request).await {
            Some(releases) => {
                node.queue_releases(releases);
                json_response(&())
            }
            None => bytes_response(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        "/permit" => match read_json(request).await {
            Some(call) => json_response(&node.serve_permit(&call)),
            None => bytes_response(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        "/crashes" => match read_json(request).await {
            Some(call) => json_response(&node.serve_crashes(call)),
            None => bytes_response(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        "/metrics" => match node.metrics_text() {
            Ok(text) => bytes_response(StatusCode::OK, Bytes::from(text)),
            Err(_) => bytes_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        },
        _ => bytes_response(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Responds to a group of pieces: sends the head at once, spaces as heartbeats, and the results when they
/// are complete. JSON allows whitespace before a value.
fn group_response<W: Wire>(node: Rc<Node<W>>, call: GroupRequest) -> Response<Body> {
    let work: Pin<Box<dyn Future<Output = GroupResponse>>> =
        Box::pin(async move { node.serve_group(call).await });
    let parts = futures::stream::unfold(Some(work), |work| async {
        let mut work = work?;
        match tokio::time::timeout(KEEPALIVE_INTERVAL, &mut work).await {
            Err(_) => Some((Ok(Bytes::from_static(b" ")), Some(work))),
            Ok(answer) => {
                let whole = serde_json::to_vec(&answer).map(Bytes::from);
                Some((whole.map_err(|_| StreamError("unwritable")), None))
            }
        }
    });
    let mut response = Response::new(Body::stream(parts));
    *response.status_mut() = StatusCode::OK;
    response
}

/// Reads the JSON body of a request from another entry. Returns `None` if it is too large or invalid.
async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = Limited::new(request.into_body(), PEER_REQUEST_BYTES_MAX).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn json_response<T: Serialize>(answer: &T) -> Response<Body> {
    match serde_json::to_vec(answer) {
        Ok(bytes) => bytes_response(StatusCode::OK, Bytes::from(bytes)),
        Err(_) => bytes_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

fn bytes_response(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(bytes));
    *response.status_mut() = status;
    response
}
