//! Test entries and scripted sidecars.

#![allow(dead_code, reason = "each test file uses only some of the items")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "used by tests only")]

use bytes::Bytes;
use damaskweir::entry::{EntryDaemon, EntryOptions};
use damaskweir::logs::quiet_logger;
use damaskweir_callers::{Authenticator, ErrorBody, Limits};
use damaskweir_core::prelude::*;
use damaskweir_standins::store::Store;
use damaskweir_store::{ClaimSettings, ClaimWriter, Client, Settings};
use damaskweir_wire::{AttemptMessage, Keys, Listener, LocalNode, Payload, PeerId, Reply, Request};
use rand_chacha::rand_core::SeedableRng;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Time after which a test counts as hung. It is generous, so that no result depends on timing.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) async fn within<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(TEST_TIMEOUT, future).await.expect("test timed out")
}

/// A certificate authority that issues certificates for entries and sidecars.
pub(crate) struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    pub(crate) fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        // With equal names, authorities would differ only in their signatures.
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let name = format!("authority {}", COUNT.fetch_add(1, Ordering::Relaxed));
        params.distinguished_name.push(rcgen::DnType::CommonName, name);
        let pem = params.self_signed(&key).unwrap().pem();
        Self { pem, issuer: Issuer::new(params, key) }
    }

    pub(crate) fn keys(&self) -> Keys {
        let (authority, certificate, key) = self.pem();
        Keys::from_pem(authority.as_bytes(), certificate.as_bytes(), key.as_bytes()).unwrap()
    }

    /// PEM text of the authority, of a new certificate, and of its private key.
    pub(crate) fn pem(&self) -> (String, String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["damaskweir".to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        (self.pem.clone(), certificate.pem(), key.serialize_pem())
    }
}

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Behaviour of a scripted sidecar for each attempt.
#[derive(Clone)]
pub(crate) enum Script {
    /// Sends these chunks and finishes.
    Chunks(Vec<&'static str>),
    /// Sends the input back with this prefix.
    Echo(&'static str),
    /// Sends these chunks, then closes the connection.
    Disconnect(Vec<&'static str>),
    /// Accepts the attempt, sends these chunks, and finishes after `release` is called.
    Hold(Vec<&'static str>),
    /// Accepts the attempt and never ends it.
    Silent,
    /// Ends the attempt with this failure.
    Fail(Failure),
    /// Refuses the attempt.
    Refuse(Refusal),
}

/// What a scripted sidecar has received and done.
#[derive(Default)]
struct Recorded {
    payloads: Vec<Payload>,
    dispatches: Vec<Dispatch>,
    cancelled: Vec<AttemptId>,
    /// Outputs of finished non-idempotent attempts.
    ended: HashMap<AttemptId, Bytes>,
    started: Vec<AttemptId>,
}

/// A sidecar that follows a script instead of running the sidecar daemon.
pub(crate) struct ScriptedSidecar {
    pub(crate) address: SocketAddr,
    pub(crate) id: ServerId,
    recorded: Arc<Mutex<Recorded>>,
    release: watch::Sender<bool>,
    changed: watch::Receiver<u64>,
    task: AbortHandle,
}

/// Handles requests of entries according to the script. Clones share their state.
#[derive(Clone)]
struct ScriptRunner {
    script: Script,
    incarnation: Incarnation,
    recorded: Arc<Mutex<Recorded>>,
    release: watch::Receiver<bool>,
    change: Arc<watch::Sender<u64>>,
}

impl Drop for ScriptedSidecar {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ScriptedSidecar {
    pub(crate) fn start(keys: &Keys, id: &str, script: Script) -> Self {
        let incarnation = Incarnation(77);
        let local = LocalNode::new(PeerId::Sidecar(id.into()), "zone-a".into(), incarnation);
        let serial = AtomicU64::new(0);
        let report = move || Report {
            incarnation,
            serial: serial.fetch_add(1, Ordering::Relaxed) + 1,
            version: Version(1),
            queued: 0,
            running: 0,
            limit: 8,
            wait: Span::ZERO,
            draining: false,
        };
        let limits = damaskweir_wire::Limits::default();
        let mut listener = Listener::bind(loopback(), keys, local, limits, report).unwrap();
        let address = listener.address();
        let recorded = Arc::<Mutex<Recorded>>::default();
        let (release, released) = watch::channel(false);
        let (change, changed) = watch::channel(0);
        let runner = ScriptRunner {
            script,
            incarnation,
            recorded: Arc::clone(&recorded),
            release: released,
            change: Arc::new(change),
        };
        let task = tokio::spawn(async move {
            while let Some(accepted) = listener.accept().await {
                let Ok(mut connection) = accepted else { continue };
                let runner = runner.clone();
                tokio::spawn(async move {
                    while let Some(request) = connection.next().await {
                        runner.handle(request);
                    }
                });
            }
        })
        .abort_handle();
        Self { address, id: id.into(), recorded, release, changed, task }
    }

    /// Lets attempts of `Script::Hold` finish.
    pub(crate) fn release(&self) {
        self.release.send_replace(true);
    }

    pub(crate) fn received_payloads(&self) -> Vec<Payload> {
        self.recorded.lock().unwrap().payloads.clone()
    }

    pub(crate) fn dispatches(&self) -> Vec<Dispatch> {
        self.recorded.lock().unwrap().dispatches.clone()
    }

    /// Waits until at least `count` attempts arrived.
    pub(crate) async fn wait_for_attempts(&self, count: usize) {
        self.wait(|recorded| recorded.dispatches.len() >= count).await;
    }

    /// Waits until at least `count` attempts were cancelled.
    pub(crate) async fn wait_for_cancels(&self, count: usize) {
        self.wait(|recorded| recorded.cancelled.len() >= count).await;
    }

    /// Number of attempts that were started.
    pub(crate) fn started(&self) -> usize {
        self.recorded.lock().unwrap().started.len()
    }

    async fn wait(&self, done: impl Fn(&Recorded) -> bool) {
        let mut changed = self.changed.clone();
        let recorded = &self.recorded;
        within(changed.wait_for(|_| done(&recorded.lock().unwrap()))).await.unwrap();
    }
}

impl ScriptRunner {
    fn record(&self, change: impl FnOnce(&mut Recorded)) {
        change(&mut self.recorded.lock().unwrap());
        self.change.send_modify(|count| *count += 1);
    }

    fn handle(&self, request: Request) {
        match request {
            Request::Dispatch { dispatch, payload, reply } => {
                self.record(|recorded| {
                    recorded.payloads.push(payload.clone());
                    recorded.dispatches.push((*dispatch).clone());
                });
                tokio::spawn(self.clone().run_script(*dispatch, payload, reply));
            }
            Request::Cancel(attempt, _) => self.record(|recorded| recorded.cancelled.push(attempt)),
            Request::Forbid { attempt, incarnation, reply } => {
                let answer = self.recorded.lock().unwrap().ended.get(&attempt).cloned();
                let started = self.recorded.lock().unwrap().started.contains(&attempt);
                let status = match &answer {
                    _ if incarnation != self.incarnation => AttemptStatus::Gone,
                    Some(_) => AttemptStatus::Ended(Outcome::Finished),
                    None if started => AttemptStatus::Running,
                    None => AttemptStatus::Forbidden,
                };
                tokio::spawn(async move { reply.send(status, answer).await });
            }
        }
    }

    async fn run_script(self, dispatch: Dispatch, payload: Payload, mut reply: Reply) {
        let chunks: Vec<Bytes> = match &self.script {
            Script::Refuse(refusal) => {
                reply.send(AttemptMessage::Refused(*refusal)).await.ok();
                return;
            }
            Script::Echo(prefix) => {
                let mut whole = prefix.as_bytes().to_vec();
                whole.extend_from_slice(&payload.body);
                vec![whole.into()]
            }
            Script::Chunks(chunks) | Script::Disconnect(chunks) | Script::Hold(chunks) => {
                chunks.iter().map(|chunk| Bytes::from_static(chunk.as_bytes())).collect()
            }
            Script::Silent | Script::Fail(_) => Vec::new(),
        };
        self.record(|recorded| recorded.started.push(dispatch.attempt));
        reply.send(AttemptMessage::Accepted).await.ok();
        for (index, data) in (0..).zip(&chunks).skip(dispatch.resume as usize) {
            reply.send(AttemptMessage::Chunk { index, data: data.clone() }).await.ok();
        }
        match self.script {
            Script::Disconnect(_) => {
                reply.peer().close();
                return;
            }
            Script::Silent => return std::future::pending().await,
            Script::Hold(_) => {
                self.release.clone().wait_for(|released| *released).await.ok();
            }
            _ => {}
        }
        if dispatch.effect == Effect::Once {
            let whole = Bytes::from(chunks.concat());
            self.record(|recorded| {
                recorded.ended.insert(dispatch.attempt, whole);
            });
        }
        let outcome = match self.script {
            Script::Fail(failure) => Outcome::Failed(failure),
            _ => Outcome::Finished,
        };
        reply.send(AttemptMessage::Done(outcome)).await.ok();
    }
}

/// A stage of a test pipeline and the pool that it uses.
pub(crate) struct StageSpec<'a> {
    pub(crate) name: &'a str,
    pub(crate) effect: Effect,
    pub(crate) kind: PoolKind,
    pub(crate) servers: Vec<(ServerId, SocketAddr)>,
}

pub(crate) fn stage<'a>(name: &'a str, sides: &[&ScriptedSidecar]) -> StageSpec<'a> {
    let servers = sides.iter().map(|side| (side.id.clone(), side.address)).collect();
    StageSpec { name, effect: Effect::Idempotent, kind: PoolKind::Service, servers }
}

impl StageSpec<'_> {
    pub(crate) fn non_idempotent(self) -> Self {
        Self { effect: Effect::Once, ..self }
    }

    pub(crate) fn engine(self) -> Self {
        Self { kind: PoolKind::Engine, ..self }
    }
}

/// A bundle with one pool per stage. Workspace `kollam` has a limit of 64 requests, `small` of 1.
pub(crate) fn bundle(pipelines: &[(&str, Vec<StageSpec<'_>>)]) -> Bundle {
    let mut bundle = Bundle {
        version: Version(1),
        pools: BTreeMap::new(),
        pipelines: BTreeMap::new(),
        workspaces: BTreeMap::from([
            ("kollam".into(), Workspace { share: 1, limit: 64 }),
            ("small".into(), Workspace { share: 1, limit: 1 }),
        ]),
        operators: BTreeMap::new(),
    };
    for (name, specs) in pipelines {
        let mut stages = Vec::new();
        for spec in specs {
            let pool = PoolId::from(format!("{name}-{}", spec.name).as_str());
            let server = |(id, side): &(ServerId, SocketAddr)| BackendServer {
                id: id.clone(),
                zone: "zone-a".into(),
                side: *side,
                slots: 8,
            };
            let servers = spec.servers.iter().map(server).collect();
            let pool_spec = Pool { kind: spec.kind, servers, resume: false, extra: 100 };
            bundle.pools.insert(pool.clone(), pool_spec);
            stages.push(Stage {
                name: spec.name.to_owned(),
                pool,
                effect: spec.effect,
                path: format!("/{}", spec.name),
                expected: Span::from_millis(10),
            });
        }
        let pipeline = Pipeline { deadline: Span::from_secs(30), stages };
        bundle.pipelines.insert(PipelineId::from(*name), pipeline);
    }
    bundle
}

/// A running entry and an HTTP client for it.
pub(crate) struct TestEntry {
    pub(crate) daemon: EntryDaemon,
    pub(crate) url: String,
    pub(crate) client: reqwest::Client,
}

pub(crate) fn claim_writer(store: &Store) -> ClaimWriter {
    let client = Client::new(Settings::new(&store.url()), Rng::seed_from_u64(7)).unwrap();
    ClaimWriter::spawn(client, ClaimSettings::default())
}

pub(crate) fn options(keys: Keys, bundle: Bundle) -> EntryOptions {
    EntryOptions {
        instance: "entry-1".into(),
        zone: "zone-a".into(),
        core: Default::default(),
        listen: loopback(),
        limits: Limits { expose_stages: true, ..Limits::default() },
        directory: Authenticator::new(BTreeMap::new(), true),
        wire_address: loopback(),
        keys,
        wire: damaskweir_wire::Limits::default(),
        bundle: Arc::new(bundle),
        claims: None,
        instances: None,
        drain_grace: Duration::ZERO,
        drain_limit: TEST_TIMEOUT,
    }
}

impl TestEntry {
    /// Starts an entry without waiting for its sidecars.
    pub(crate) async fn start(options: EntryOptions) -> Self {
        let daemon = within(EntryDaemon::start(options, quiet_logger())).await.unwrap();
        let url = format!("http://{}", daemon.address());
        let client = reqwest::Client::builder().no_proxy().timeout(TEST_TIMEOUT).build().unwrap();
        Self { daemon, url, client }
    }

    /// Starts an entry and waits until it has a connected sidecar in each pool.
    pub(crate) async fn start_ready(options: EntryOptions) -> Self {
        let entry = Self::start(options).await;
        within(async {
            while !entry.daemon.is_ready() {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
        entry
    }

    pub(crate) fn post(&self, pipeline: &str, body: &str) -> reqwest::RequestBuilder {
        let request = self.client.post(format!("{}/v1/pipelines/{pipeline}", self.url));
        request.header("x-workspace", "kollam").body(body.to_owned())
    }

    pub(crate) async fn get(&self, path: &str) -> (u16, String) {
        let response = self.client.get(format!("{}{path}", self.url)).send().await.unwrap();
        (response.status().as_u16(), response.text().await.unwrap())
    }
}

pub(crate) async fn error_response(request: reqwest::RequestBuilder) -> (u16, ErrorBody) {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let text = response.text().await.unwrap();
    let body = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"));
    (status, body)
}
