//! A side with the stand-in of its backend server, and an entry's end of a connection to it.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "used by tests only")]

use bytes::Bytes;
use damaskweir::logs::quiet_logger;
use damaskweir::side::{Backend, SideDaemon, SideOptions};
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

/// No test passes or fails by time; this only ends a test that hangs.
const HANG: Duration = Duration::from_secs(60);

pub(crate) async fn within<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(HANG, future).await.expect("the test hangs")
}

/// Waits until a condition holds.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    within(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// One set of keys for all processes of a test.
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

pub(crate) struct Rig {
    pub(crate) daemon: SideDaemon,
    pub(crate) incarnation: Incarnation,
    keys: Keys,
}

impl Rig {
    pub(crate) async fn start(backend: Backend, slots: u32) -> Self {
        Self::start_with(backend, |options| options.core.slots = slots).await
    }

    pub(crate) async fn start_with(
        backend: Backend,
        change: impl FnOnce(&mut SideOptions),
    ) -> Self {
        let keys = make_keys();
        let mut options = SideOptions::new("server-1".into(), "a".into(), keys.clone(), backend);
        options.check = Duration::from_millis(10);
        change(&mut options);
        let daemon = SideDaemon::start(options, quiet_logger()).await.unwrap();
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

    /// An attempt that runs at most once.
    pub(crate) fn once(&self, number: u16) -> Dispatch {
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
        let work = Payload { path: path.to_owned(), key: Some(Digest([4; 32])), body };
        within(self.link.dispatch(dispatch, work)).await.unwrap()
    }

    /// Whether the side's newest report says that it takes work.
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

/// The rest of an attempt: its text and its last message; `None` if the stream broke.
pub(crate) async fn rest(attempt: &mut Attempt) -> (String, Option<AttemptMessage>) {
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
            Ok(None) => unreachable!("the last message was taken already"),
            Err(_) => return (text, None),
        }
    }
}
