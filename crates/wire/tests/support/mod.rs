//! Certificates, connections and messages for the tests.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "used by tests only")]

use bytes::Bytes;
use damaskweir_core::prelude::*;
use damaskweir_wire::{
    Connection, Dialer, Keys, Limits, Link, Listener, LocalNode, Payload, PeerId, Reply, Request,
};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Ends a test that hangs. No test result depends on its length.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) async fn within<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(TEST_TIMEOUT, future).await.expect("the test timed out")
}

pub(crate) struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    pub(crate) fn new() -> Self {
        Self::named("damaskweir authority")
    }

    pub(crate) fn named(name: &str) -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        Self { pem, issuer: Issuer::new(params, key) }
    }

    pub(crate) fn keys(&self) -> Keys {
        self.keys_for("damaskweir")
    }

    pub(crate) fn keys_for(&self, name: &str) -> Keys {
        self.keys_trusting(name, self)
    }

    /// Issues a certificate for a process that trusts the authority `trusted`.
    pub(crate) fn keys_trusting(&self, name: &str, trusted: &Authority) -> Keys {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let trusted = trusted.pem.as_bytes();
        Keys::from_pem(trusted, certificate.pem().as_bytes(), key.serialize_pem().as_bytes())
            .unwrap()
    }

    /// Returns the PEM text of the authority, of a new certificate and of its private key.
    pub(crate) fn pem(&self, name: &str) -> (String, String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        (self.pem.clone(), certificate.pem(), key.serialize_pem())
    }
}

pub(crate) fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub(crate) fn entry() -> LocalNode {
    LocalNode::new(PeerId::Entry("entry-1".into()), "zone-a".into(), Incarnation(7))
}

pub(crate) fn sidecar() -> LocalNode {
    LocalNode::new(PeerId::Sidecar("engine-1".into()), "zone-a".into(), Incarnation(9))
}

pub(crate) fn server() -> ServerId {
    "engine-1".into()
}

/// Creates reports with increasing serials, as a sidecar does.
pub(crate) fn report_source() -> impl Fn() -> Report + Send + Sync + 'static {
    let serial = AtomicU64::new(0);
    move || Report {
        incarnation: Incarnation(9),
        serial: serial.fetch_add(1, Ordering::Relaxed) + 1,
        version: Version(3),
        queued: 1,
        running: 2,
        limit: 8,
        wait: Span::from_millis(5),
        draining: false,
    }
}

pub(crate) fn listen(keys: &Keys, local: LocalNode, limits: Limits) -> Listener {
    Listener::bind(loopback(), keys, local, limits, report_source()).unwrap()
}

pub(crate) fn dial(keys: &Keys, local: LocalNode, limits: Limits) -> Dialer {
    Dialer::bind(loopback(), keys, local, limits).unwrap()
}

/// Both ends of one connection, with the owners of their sockets.
pub(crate) struct Pair {
    pub(crate) dialer: Dialer,
    pub(crate) listener: Listener,
    pub(crate) link: Link,
    pub(crate) connection: Connection,
}

pub(crate) async fn pair(limits: Limits) -> Pair {
    pair_of(entry(), sidecar(), limits, limits).await
}

pub(crate) async fn pair_of(
    entry: LocalNode,
    sidecar: LocalNode,
    entry_limits: Limits,
    sidecar_limits: Limits,
) -> Pair {
    let authority = Authority::new();
    let mut listener = listen(&authority.keys(), sidecar, sidecar_limits);
    let dialer = dial(&authority.keys(), entry, entry_limits);
    let address = listener.address();
    let server = server();
    let (link, connection) =
        within(async { tokio::join!(dialer.connect(address, &server), listener.accept()) }).await;
    let connection = connection.unwrap().unwrap();
    Pair { dialer, listener, link: link.unwrap(), connection }
}

pub(crate) fn dispatch(number: u16) -> Dispatch {
    let request = RequestId { entry: Incarnation(7), serial: 1 };
    Dispatch {
        attempt: AttemptId { request, stage: 0, number },
        version: Version(3),
        workspace: "kollam".into(),
        share: 1,
        remaining: Span::from_secs(3),
        estimate: Span::from_millis(40),
        effect: Effect::Idempotent,
        resume: 0,
        incarnation: None,
    }
}

pub(crate) fn payload(body: impl Into<Bytes>) -> Payload {
    Payload { path: "/v1/completions".to_owned(), key: Some(Digest([2; 32])), body: body.into() }
}

/// Returns the next request, which must be a dispatch.
pub(crate) async fn next_dispatch(connection: &mut Connection) -> (Box<Dispatch>, Payload, Reply) {
    match within(connection.next()).await {
        Some(Request::Dispatch { dispatch, payload, reply }) => (dispatch, payload, reply),
        other => panic!("expected a dispatch, got {other:?}"),
    }
}
