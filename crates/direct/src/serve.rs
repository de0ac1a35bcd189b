//! The entry's own listeners: callers, readiness, and other entries.

use crate::body::{Body, StreamEnd};
use crate::node::Node;
use crate::peers::{GroupRequest, GroupResponse, KEEPALIVE_INTERVAL};
use crate::request::{Run, refused};
use crate::sync::Snapshot;
use crate::wire::Wire;
use bytes::Bytes;
use damaskweir_core::catalog::{Catalog, Route};
use damaskweir_core::ids::WorkspaceId;
use damaskweir_core::time::{Span, Time};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Least size of the buffer for a request head that the server library takes.
const BUFFER_MIN: usize = 8_192;
/// Limits while no configuration is known.
const HEADER_DEFAULT: usize = 16_384;
/// Idle time of a kept connection while no configuration is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(15);
/// Added to the idle time, for a request that is on its way when the time ends.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// When to come back if no configuration is known yet.
const STARTING_RETRY: Span = Span::from_millis(500);
/// Bytes of a question of another entry.
const QUESTION_MAX: usize = 1024 * 1024;
/// Pause after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listener.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Answers callers for as long as the process runs.
pub async fn serve_callers<W: Wire>(node: Rc<Node<W>>, listener: TcpListener) {
    let bounds = {
        let node = node.clone();
        move || Bounds::of(&node)
    };
    let handler = move |request| answer(node.clone(), request);
    accept(&listener, bounds, handler).await;
}

/// Answers whether callers should be sent here.
pub async fn serve_readiness<W: Wire>(node: Rc<Node<W>>, listener: TcpListener) {
    let handler = move |_| {
        let ready = node.ready();
        async move {
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            plain(status, Bytes::new())
        }
    };
    accept(&listener, Bounds::default, handler).await;
}

/// Answers other entries, and those who collect metrics.
pub async fn serve_admin<W: Wire>(node: Rc<Node<W>>, listener: TcpListener) {
    let handler = move |request: Request<Incoming>| {
        let node = node.clone();
        async move { admin(&node, request).await }
    };
    accept(&listener, Bounds::default, handler).await;
}

/// Bounds of one connection.
struct Bounds {
    /// Bytes of a request head.
    header: usize,
    /// Time that it may be idle.
    idle: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { header: HEADER_DEFAULT, idle: IDLE_DEFAULT }
    }
}

impl Bounds {
    /// Those of the configuration in force.
    fn of<W: Wire>(node: &Node<W>) -> Self {
        let state = node.state.borrow();
        let limits = state.catalog.as_ref().map(|catalog| &catalog.limits);
        limits.map_or_else(Self::default, |l| Self {
            header: l.header_bytes,
            idle: l.idle_timeout.into(),
        })
    }
}

async fn accept<F, R>(listener: &TcpListener, bounds: impl Fn() -> Bounds, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (bounds, handler) = (bounds(), handler.clone());
                tokio::task::spawn_local(async move { connection(stream, bounds, handler).await });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<F, R>(stream: TcpStream, bounds: Bounds, handler: F)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    if stream.set_nodelay(true).is_err() {
        // The peer is gone already.
        return;
    }
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timeout also ends connections that are idle between requests.
        .header_read_timeout(bounds.idle + IDLE_MARGIN)
        .max_buf_size(bounds.header.max(BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service)
        .await;
    // An error here is a caller that left or sent no HTTP; the request has its own line.
    drop(served);
}

async fn answer<W: Wire>(node: Rc<Node<W>>, request: Request<Incoming>) -> Response<Body> {
    let mut response = respond(node.clone(), request).await;
    if node.state.borrow().draining.is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn respond<W: Wire>(node: Rc<Node<W>>, request: Request<Incoming>) -> Response<Body> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let catalog = node.state.borrow().active_catalog().cloned();
    let Some(catalog) = catalog else {
        return refused(StatusCode::SERVICE_UNAVAILABLE, "starting", Some(STARTING_RETRY));
    };
    match admit(&node, &catalog, &head, body, arrived).await {
        Ok(run) => run.serve().await,
        Err((status, cause)) => {
            let id = node.wire.parse_request(&head).map(|ask| ask.id).unwrap_or_default();
            let fields = [
                ("cause", cause.into()),
                ("status", u64::from(status.as_u16()).into()),
                ("version", catalog.version.0.into()),
            ];
            node.log.request(crate::log::Kind::Refused, &id, &fields);
            node.metrics.request_ended("unknown", "rejected", cause, node.now().since(arrived));
            refused(status, cause, None)
        }
    }
}

/// Reads a request whole, or tells why it is not taken.
async fn admit<W: Wire>(
    node: &Rc<Node<W>>,
    catalog: &Catalog,
    head: &Parts,
    body: Incoming,
    arrived: Time,
) -> Result<Run<W>, (StatusCode, &'static str)> {
    let route = find_route(catalog, head).ok_or((StatusCode::NOT_FOUND, "no_route"))?;
    let ask =
        node.wire.parse_request(head).map_err(|_| (StatusCode::BAD_REQUEST, "bad_request"))?;
    let caller = find_caller(catalog, &route, ask.key.as_deref())
        .ok_or((StatusCode::UNAUTHORIZED, "unknown_key"))?;
    let limits = &catalog.limits;
    let announced = head.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    let length = announced.and_then(|v| v.parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
    }
    let reading = Limited::new(body, limits.body_bytes).collect();
    let read = tokio::time::timeout(limits.body_timeout.into(), reading).await;
    let body = match read {
        Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body_late")),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        Ok(Err(_)) => return Err((StatusCode::BAD_REQUEST, "body_broken")),
        Ok(Ok(body)) => body.to_bytes(),
    };
    Run::new(node.clone(), (ask, head.clone(), body), route, caller, arrived)
        .ok_or((StatusCode::NOT_FOUND, "no_target"))
}

fn find_route(catalog: &Catalog, head: &Parts) -> Option<Arc<Route>> {
    let host = match head.headers.get(header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => head.uri.host()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    catalog.route(&name.to_ascii_lowercase(), head.uri.path()).cloned()
}

/// Workspace and rank of the caller. `None`: the key is not known.
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

async fn admin<W: Wire>(node: &Rc<Node<W>>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/snapshot" => match question(request).await {
            Some(known) => json(&Snapshot::wait_for_changes(node, known).await),
            None => plain(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        "/pieces" => match question(request).await {
            Some(call) => group(node.clone(), call),
            None => plain(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        "/release" => match question(request).await {
            Some(releases) => {
                node.take_releases(releases);
                json(&())
            }
            None => plain(StatusCode::BAD_REQUEST, Bytes::new()),
        },
        "/metrics" => match node.metrics_text() {
            Ok(text) => plain(StatusCode::OK, Bytes::from(text)),
            Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        },
        _ => plain(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Answers a group of pieces: the head at once, spaces as signs of life, and the results when they are
/// there. JSON allows spaces before a value.
fn group<W: Wire>(node: Rc<Node<W>>, call: GroupRequest) -> Response<Body> {
    let work: Pin<Box<dyn Future<Output = GroupResponse>>> =
        Box::pin(async move { node.serve_group(call).await });
    let parts = futures::stream::unfold(Some(work), |work| async {
        let mut work = work?;
        match tokio::time::timeout(KEEPALIVE_INTERVAL, &mut work).await {
            Err(_) => Some((Ok(Bytes::from_static(b" ")), Some(work))),
            Ok(answer) => {
                let whole = serde_json::to_vec(&answer).map(Bytes::from);
                Some((whole.map_err(|_| StreamEnd("unwritable")), None))
            }
        }
    });
    let mut response = Response::new(Body::stream(parts));
    *response.status_mut() = StatusCode::OK;
    response
}

/// What another entry asks. `None`: it can't be read.
async fn question<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = Limited::new(request.into_body(), QUESTION_MAX).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn json<T: Serialize>(answer: &T) -> Response<Body> {
    match serde_json::to_vec(answer) {
        Ok(bytes) => plain(StatusCode::OK, Bytes::from(bytes)),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

fn plain(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(bytes));
    *response.status_mut() = status;
    response
}
