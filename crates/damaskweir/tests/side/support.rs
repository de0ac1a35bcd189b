//! A sidecar daemon with a stand-in of its backend server, and an entry's connection to it.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "used by tests only")]

use bytes::Bytes;
use damaskweir::logs::quiet_logger;
use damaskweir::side::{Backend, SidecarDaemon, SidecarOptions};
use damaskweir_core::prelude::*;
use damaskweir_engines::EngineSettings;
use damaskweir_services::ServiceSettings;
use damaskweir_standins::{engine, service};
use damaskweir_wire::{
    Attempt, AttemptMessage, Dialer, Keys, Limits, Link, LocalNode, Payload, PeerId,
};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::future::Future;
use std::time::Duration;

/// Ends a test that hangs. No test relies on it to pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) async fn within<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(TEST_TIMEOUT, future).await.expect("test timed out")
}

/// Polls until a condition holds.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    within(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// Creates the certificates that the sidecar and the entries of a test share.
fn make_keys() -> Keys {
    let authority_key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = params.self_signed(&authority_key).unwrap().pem();
    let issuer = Issuer::new(params, authority_key);
    let key = KeyPair::generate().unwrap();
    let params = CertificateParams::new(vec!["damaskweir".to_owned()]).unwrap();
    let certificate = params.signed_by(&key, &issuer).unwrap().pem();
    let key = key.serialize_pem();
    Keys::from_pem(authority.as_bytes(), certificate.as_bytes(), key.as_bytes()).unwrap()
}

/// A running sidecar.
pub(crate) struct Fixture {
    pub(crate) daemon: SidecarDaemon,
    pub(crate) incarnation: Incarnation,
    keys: Keys,
}

impl Fixture {
    pub(crate) async fn start(backend: Backend, slots: u32) -> Self {
        Self::start_with(backend, |options| options.core.slots = slots).await
    }

    pub(crate) async fn start_with(
        backend: Backend,
        change: impl FnOnce(&mut SidecarOptions),
    ) -> Self {
        let keys = make_keys();
        let mut options = SidecarOptions::new("server-1".into(), "a".into(), keys.clone(), backend);
        options.check_interval = Duration::from_millis(10);
        change(&mut options);
        let daemon = SidecarDaemon::start(options, quiet_logger()).await.unwrap();
        let incarnation = daemon.incarnation();
        Self { daemon, incarnation, keys }
    }

    pub(crate) async fn for_engine(engine: &engine::Engine, slots: u32) -> Self {
        let settings = EngineSettings { url: engine.url(), resume: true, ..Default::default() };
        Self::start(Backend::Engine(settings), slots).await
    }

    pub(crate) async fn for_service(service: &service::Service, slots: u32) -> Self {
        Self::start(service_backend(service), slots).await
    }

    /// Connects as an entry.
    pub(crate) async fn connect(&self) -> Entry {
        let id = PeerId::Entry("entry-1".into());
        let local = LocalNode::new(id, "a".into(), Incarnation(7));
        let any = "127.0.0.1:0".parse().unwrap();
        let dialer = Dialer::bind(any, &self.keys, local, Limits::default()).unwrap();
        let link = within(dialer.connect(self.daemon.address(), &"server-1".into())).await;
        Entry { link: link.unwrap(), dialer }
    }

    /// A non-idempotent attempt, which the sidecar may run at most once.
    pub(crate) fn non_idempotent(&self, number: u16) -> Dispatch {
        Dispatch { effect: Effect::Once, incarnation: Some(self.incarnation), ..idempotent(number) }
    }
}

pub(crate) fn service_backend(service: &service::Service) -> Backend {
    Backend::Service(ServiceSettings { url: service.url(), ..Default::default() })
}

/// An entry's end of a connection.
pub(crate) struct Entry {
    pub(crate) link: Link,
    pub(crate) dialer: Dialer,
}

impl Entry {
    pub(crate) async fn dispatch(&self, dispatch: &Dispatch) -> Attempt {
        let body = Bytes::from_static(br#"{"prompt": "labels", "max_tokens": 8}"#);
        self.dispatch_body(dispatch, body).await
    }

    pub(crate) async fn dispatch_body(&self, dispatch: &Dispatch, body: Bytes) -> Attempt {
        let path = match dispatch.effect {
            Effect::Idempotent => "/v1/completions",
            Effect::Once => "/orders",
        };
        let payload = Payload { path: path.to_owned(), key: Some(Digest([4; 32])), body };
        within(self.link.dispatch(dispatch, payload)).await.unwrap()
    }

    /// Waits until the sidecar reports that it accepts work, or that it does not if `serving` is
    /// false.
    pub(crate) async fn wait_until_serving(&self, serving: bool) {
        let mut reports = self.link.reports();
        let wanted = |report: &Option<Report>| report.is_some_and(|r| r.draining != serving);
        within(reports.wait_for(wanted)).await.unwrap();
    }
}

pub(crate) fn idempotent(number: u16) -> Dispatch {
    let request = RequestId { entry: Incarnation(7), serial: 1 };
    Dispatch {
        attempt: AttemptId { request, stage: 0, number },
        version: Version(1),
        workspace: "kollam".into(),
        share: 1,
        remaining: Span::from_secs(3600),
        estimate: Span::from_millis(40),
        effect: Effect::Idempotent,
        resume: 0,
        incarnation: None,
    }
}

/// Reads an attempt to its end. Returns its text and last message, or `None` if the stream broke.
pub(crate) async fn read_to_end(attempt: &mut Attempt) -> (String, Option<AttemptMessage>) {
    let mut text = String::new();
    let mut next = None;
    loop {
        match within(attempt.next()).await {
            Ok(Some(AttemptMessage::Accepted)) => {}
            Ok(Some(AttemptMessage::Chunk { index, data })) => {
                assert_eq!(index, *next.get_or_insert(index), "chunks out of order");
                next = Some(index + 1);
                text.push_str(std::str::from_utf8(&data).unwrap());
            }
            Ok(Some(last)) => return (text, Some(last)),
            Ok(None) => unreachable!("read after the last message"),
            Err(_) => return (text, None),
        }
    }
}
