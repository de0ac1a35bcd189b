//! A complete deployment in one process: stand-ins for the store and the backend servers, a sidecar for
//! each backend server, and two entries by default. All of them use their real protocols over loopback.

use crate::entry::{EntryDaemon, EntryError, EntryOptions, seeded_rng};
use crate::side::{Backend, SidecarDaemon, SidecarError, SidecarOptions};
use damaskweir_callers::{Authenticator, Limits};
use damaskweir_core::entry::EntrySettings;
use damaskweir_core::prelude::*;
use damaskweir_engines::EngineSettings;
use damaskweir_services::ServiceSettings;
use damaskweir_standins::engine::{self, Engine};
use damaskweir_standins::service::Service;
use damaskweir_standins::store::Store;
use damaskweir_store::{ClaimSettings, ClaimWriter, Client, Settings, StoreError};
use damaskweir_wire::{Keys, WireError};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use serde_json::{Value, json};
use slog::Logger;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Maximum time until all entries are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time of one request, and of the drain of an entry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Tokens of an engine's answer. This is the default of the stand-in engine, because the caller's
/// `max_tokens` is lost: the engine's prompt is the answer of the last service.
const ANSWER_TOKENS: u32 = 16;
/// Stages of the pipeline `draft` that run on plain services, before the engine stage.
const SERVICE_STAGES: [&str; 3] = ["encode", "retrieve", "rerank"];

/// Size of the deployment and simulated processing times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemoOptions {
    /// Number of entries.
    pub entries: u16,
    /// Number of model engines.
    pub engines: u16,
    /// Number of backend servers in each pool of plain services.
    pub services: u16,
    /// Concurrent calls per backend server.
    pub slots: u32,
    /// Time that an engine takes to generate a token.
    pub token_time: Duration,
    /// Time that a plain service takes to answer a call.
    pub call_time: Duration,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 3,
            services: 2,
            slots: 8,
            token_time: Duration::from_millis(2),
            call_time: Duration::from_millis(3),
        }
    }
}

/// Reasons why the demo fails.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A stand-in server can't start.
    #[error("a stand-in server can't start: {0}")]
    StandIn(#[source] io::Error),
    /// A key or certificate can't be generated.
    #[error("failed to generate a key or certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// The generated certificates are rejected.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A sidecar can't start.
    #[error(transparent)]
    Sidecar(#[from] SidecarError),
    /// An entry can't start.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// The store client can't be created.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A request can't be sent or its answer can't be read.
    #[error("request failed: {0}")]
    Request(#[from] reqwest::Error),
    /// The output can't be written.
    #[error("output can't be written: {0}")]
    Output(#[source] io::Error),
    /// A check of the deployment or of an answer failed.
    #[error("{0}")]
    CheckFailed(String),
}

/// A running deployment.
#[derive(Debug)]
pub struct Demo {
    entries: Vec<EntryDaemon>,
    sides: Vec<SidecarDaemon>,
    engines: Vec<Engine>,
    services: BTreeMap<&'static str, Vec<Service>>,
    store: Store,
    client: reqwest::Client,
}

impl Demo {
    /// Starts all parts of the deployment and waits until each entry is ready.
    pub async fn start(options: DemoOptions, log: &Logger) -> Result<Self, DemoError> {
        let store = Store::start().await.map_err(DemoError::StandIn)?;
        let authority = Authority::new()?;
        let mut demo = Self {
            entries: Vec::new(),
            sides: Vec::new(),
            engines: Vec::new(),
            services: BTreeMap::new(),
            store,
            client: reqwest::Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build()?,
        };
        let mut bundle = empty_bundle();
        for (name, pool) in SERVICE_STAGES.into_iter().chain(["print"]).zip(SERVICE_POOLS) {
            let servers = demo.start_services(name, pool, &options, &authority, log).await?;
            add_pool(&mut bundle, pool, PoolKind::Service, servers);
        }
        let engines = demo.start_engines(&options, &authority, log).await?;
        add_pool(&mut bundle, "engines", PoolKind::Engine, engines);
        add_pipelines(&mut bundle);
        let bundle = Arc::new(bundle);
        for number in 1..=options.entries {
            demo.start_entry(number, &bundle, &authority, log).await?;
        }
        demo.wait_until_ready().await?;
        Ok(demo)
    }

    /// Base URL of each entry.
    pub fn urls(&self) -> Vec<String> {
        self.entries.iter().map(|entry| format!("http://{}", entry.address())).collect()
    }

    /// Base URL of each stand-in engine, for direct calls.
    pub fn engine_urls(&self) -> Vec<String> {
        self.engines.iter().map(Engine::url).collect()
    }

    /// Base URL of each stand-in service of the stage `retrieve`, for direct calls.
    pub fn service_urls(&self) -> Vec<String> {
        self.services.get("retrieve").into_iter().flatten().map(Service::url).collect()
    }

    /// Sends sample requests, prints the answers and checks them, and checks that no work ran twice.
    pub async fn run(&self, out: &mut impl Write) -> Result<(), DemoError> {
        let urls = self.urls();
        let prompts =
            ["two columns, A4, 40 labels", "stock codes of Kollam", "a long tender draft"];
        for (i, prompt) in prompts.into_iter().enumerate() {
            let number = i % urls.len();
            let body = json!({ "prompt": prompt });
            let answer = self.request_json(&urls[number], "draft", &body, None).await?;
            print_answer(out, &format!("draft through entry-{}", number + 1), &answer)?;
            ensure(answer["output"] == expected_output(&body), "draft: unexpected answer")?;
            ensure(stage_names(&answer) == DRAFT_STAGES, "draft: unexpected order of stages")?;
        }
        self.run_stream(&urls[urls.len() - 1], out).await?;
        self.run_order(&urls, out).await?;
        for (name, services) in &self.services {
            for service in services {
                let runs = service.runs();
                let doubled = runs.duplicates();
                ensure(
                    doubled.is_empty(),
                    &format!("{name}: calls ran more than once: {doubled:?}"),
                )?;
            }
        }
        for engine in &self.engines {
            let runs = engine.runs();
            let doubled = runs.duplicates();
            ensure(doubled.is_empty(), &format!("engines: calls ran more than once: {doubled:?}"))?;
        }
        Ok(())
    }

    /// Prints curl commands to try by hand.
    pub fn print_examples(&self, out: &mut impl Write) -> Result<(), DemoError> {
        let urls = self.urls();
        let mut text = String::from("\nTry:\n");
        let headers = "-H 'x-workspace: kollam' -H 'content-type: application/json'";
        let body = r#"{"prompt": "two columns, A4"}"#;
        for url in &urls {
            text += &format!("  curl -s {url}/v1/pipelines/draft {headers} -d '{body}'\n");
        }
        if let Some(url) = urls.first() {
            text += &format!(
                "  curl -sN {url}/v1/pipelines/draft {headers} -H 'accept: text/event-stream' \
                 -d '{body}'\n  curl -s {url}/v1/pipelines/order {headers} \
                 -H 'idempotency-key: order-1' -d '{{\"copies\": 2}}'\n  curl -s {url}/metrics\n"
            );
        }
        text += "Stop with Ctrl-C.\n";
        out.write_all(text.as_bytes()).map_err(DemoError::Output)
    }

    /// Drains the entries, then the sidecars.
    pub async fn stop(self) -> Result<(), DemoError> {
        for entry in self.entries {
            entry.drain().await?;
        }
        for side in self.sides {
            side.drain().await;
        }
        Ok(())
    }

    async fn run_stream(&self, url: &str, out: &mut impl Write) -> Result<(), DemoError> {
        let body = json!({ "prompt": "shift summary", "stream": true });
        let response = self.post(url, "draft", &body, None).send().await?;
        let text = response.text().await?;
        let data = text.lines().filter_map(|line| line.strip_prefix("data:"));
        let items: Vec<Value> =
            data.filter_map(|line| serde_json::from_str(line.trim()).ok()).collect();
        let chunks: Vec<_> = items.iter().filter_map(|item| item["text"].as_str()).collect();
        let count = chunks.len();
        writeln!(out, "draft streamed: {count} chunks: {}", chunks.concat().trim_end())
            .map_err(DemoError::Output)?;
        ensure(chunks.concat() == expected_output(&body), "draft streamed: unexpected answer")?;
        ensure(
            count as u32 == ANSWER_TOKENS,
            "draft streamed: the number of chunks differs from the number of tokens",
        )?;
        ensure(
            items.last().is_some_and(|item| item["chunks"] == ANSWER_TOKENS),
            "draft streamed: the last event does not give the number of chunks",
        )
    }

    /// Sends one print order twice with the same idempotency key, through the first and the last entry,
    /// and checks that it ran once.
    async fn run_order(&self, urls: &[String], out: &mut impl Write) -> Result<(), DemoError> {
        let body = json!({ "layout": "A4-40", "copies": 500 });
        let (first, last) = (&urls[0], &urls[urls.len() - 1]);
        let answer = self.request_json(first, "order", &body, Some("order-1")).await?;
        print_answer(out, "order through the first entry", &answer)?;
        let repeat = self.request_json(last, "order", &body, Some("order-1")).await?;
        print_answer(out, "the same order through the last entry", &repeat)?;
        ensure(
            answer["output"] == repeat["output"],
            "order: the repeated request got a different answer",
        )?;
        ensure(answer["output"]["input"] == body, "order: unexpected answer")?;
        let runs = self.order_runs();
        writeln!(out, "order service: the order ran {runs} time(s)").map_err(DemoError::Output)?;
        ensure(
            runs == 1,
            &format!("order: the stand-in services ran it {runs} times instead of once"),
        )
    }

    /// Number of calls that the stand-ins of the order service ran.
    pub fn order_runs(&self) -> u32 {
        let services = self.services.get("print").into_iter().flatten();
        services.map(|service| service.runs().total()).sum()
    }

    fn post(
        &self,
        url: &str,
        pipeline: &str,
        body: &Value,
        key: Option<&str>,
    ) -> reqwest::RequestBuilder {
        let request = self.client.post(format!("{url}/v1/pipelines/{pipeline}"));
        let request = request.header("x-workspace", "kollam").json(body);
        match key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    }

    async fn request_json(
        &self,
        url: &str,
        pipeline: &str,
        body: &Value,
        key: Option<&str>,
    ) -> Result<Value, DemoError> {
        let response = self.post(url, pipeline, body, key).send().await?;
        let status = response.status();
        let answer: Value = response.json().await?;
        ensure(status.is_success(), &format!("{pipeline}: {status}: {answer}"))?;
        Ok(answer)
    }

    async fn start_services(
        &mut self,
        name: &'static str,
        pool: &str,
        options: &DemoOptions,
        authority: &Authority,
        log: &Logger,
    ) -> Result<Vec<BackendServer>, DemoError> {
        let mut servers = Vec::new();
        for number in 1..=options.services {
            let service = Service::start().await.map_err(DemoError::StandIn)?;
            service.set_behaviour(|behaviour| behaviour.delay = options.call_time);
            let settings = ServiceSettings { url: service.url(), ..ServiceSettings::default() };
            let id = format!("{pool}-{number}");
            let backend = Backend::Service(settings);
            servers.push(self.start_sidecar(&id, backend, options.slots, authority, log).await?);
            self.services.entry(name).or_default().push(service);
        }
        Ok(servers)
    }

    async fn start_engines(
        &mut self,
        options: &DemoOptions,
        authority: &Authority,
        log: &Logger,
    ) -> Result<Vec<BackendServer>, DemoError> {
        let mut servers = Vec::new();
        for number in 1..=options.engines {
            let engine = Engine::start(options.slots).await.map_err(DemoError::StandIn)?;
            engine.set_behaviour(|behaviour| behaviour.token_delay = options.token_time);
            let settings = EngineSettings { url: engine.url(), ..EngineSettings::default() };
            let id = format!("engines-{number}");
            let backend = Backend::Engine(settings);
            servers.push(self.start_sidecar(&id, backend, options.slots, authority, log).await?);
            self.engines.push(engine);
        }
        Ok(servers)
    }

    async fn start_sidecar(
        &mut self,
        id: &str,
        backend: Backend,
        slots: u32,
        authority: &Authority,
        log: &Logger,
    ) -> Result<BackendServer, DemoError> {
        let mut options =
            SidecarOptions::new(ServerId::from(id), demo_zone(), authority.keys()?, backend);
        options.core.slots = slots;
        let side = SidecarDaemon::start(options, log.clone()).await?;
        side.set_version(Version(1));
        let server = BackendServer {
            id: ServerId::from(id),
            zone: demo_zone(),
            side: side.address(),
            slots,
        };
        self.sides.push(side);
        Ok(server)
    }

    async fn start_entry(
        &mut self,
        number: u16,
        bundle: &Arc<Bundle>,
        authority: &Authority,
        log: &Logger,
    ) -> Result<(), DemoError> {
        let client = Client::new(Settings::new(&self.store.url()), seeded_rng()?)?;
        let options = EntryOptions {
            instance: InstanceId::from(format!("entry-{number}").as_str()),
            zone: demo_zone(),
            core: EntrySettings::default(),
            listen: loopback_address(),
            limits: Limits { expose_stages: true, ..Limits::default() },
            directory: Authenticator::new(BTreeMap::new(), true),
            wire_address: loopback_address(),
            keys: authority.keys()?,
            wire: damaskweir_wire::Limits::default(),
            bundle: Arc::clone(bundle),
            claims: Some(ClaimWriter::spawn(client, ClaimSettings::default())),
            instances: None,
            drain_grace: Duration::ZERO,
            drain_limit: REQUEST_TIMEOUT,
        };
        self.entries.push(EntryDaemon::start(options, log.clone()).await?);
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), DemoError> {
        let started = Instant::now();
        let ready = async {
            while !self.entries.iter().all(EntryDaemon::is_ready) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let waited = timeout(START_TIMEOUT, ready).await;
        let text = format!("entries are not ready after {:?}", started.elapsed());
        waited.map_err(|_| DemoError::CheckFailed(text))
    }
}

/// Pools of the stages in `SERVICE_STAGES` and of the order service.
const SERVICE_POOLS: [&str; 4] = ["encoders", "retrievers", "rerankers", "orders"];
/// All stages of the pipeline `draft`, in order.
const DRAFT_STAGES: [&str; 4] = ["encode", "retrieve", "rerank", "generate"];

/// An in-memory certificate authority.
struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Result<Self, DemoError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, "damaskweir demo");
        let pem = params.self_signed(&key)?.pem();
        Ok(Self { pem, issuer: Issuer::new(params, key) })
    }

    fn keys(&self) -> Result<Keys, DemoError> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec!["damaskweir".to_owned()])?;
        let certificate = params.signed_by(&key, &self.issuer)?.pem();
        let key = key.serialize_pem();
        Ok(Keys::from_pem(self.pem.as_bytes(), certificate.as_bytes(), key.as_bytes())?)
    }
}

fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn demo_zone() -> AvailabilityZone {
    AvailabilityZone::from("zone-a")
}

fn empty_bundle() -> Bundle {
    Bundle {
        version: Version(1),
        pools: BTreeMap::new(),
        pipelines: BTreeMap::new(),
        workspaces: BTreeMap::from([(
            WorkspaceId::from("kollam"),
            Workspace { share: 1, limit: 1_024 },
        )]),
        operators: BTreeMap::new(),
    }
}

fn add_pool(bundle: &mut Bundle, name: &str, kind: PoolKind, servers: Vec<BackendServer>) {
    let pool = Pool { kind, servers, resume: false, extra: 100 };
    bundle.pools.insert(PoolId::from(name), pool);
}

fn add_pipelines(bundle: &mut Bundle) {
    let stage = |name: &str, pool: &str, effect, path: String| Stage {
        name: name.to_owned(),
        pool: PoolId::from(pool),
        effect,
        path,
        expected: Span::from_millis(20),
    };
    let deadline = Span::from_secs(10);
    let services = SERVICE_STAGES.into_iter().zip(SERVICE_POOLS);
    let mut stages: Vec<_> = services
        .map(|(name, pool)| stage(name, pool, Effect::Idempotent, format!("/{name}")))
        .collect();
    let completions = "/v1/completions".to_owned();
    let generate = stage("generate", "engines", Effect::Idempotent, completions);
    let print = stage("print", "orders", Effect::Once, "/print".to_owned());
    let mut add = |name: &str, stages| {
        bundle.pipelines.insert(PipelineId::from(name), Pipeline { deadline, stages });
    };
    add("complete", vec![generate.clone()]);
    // `complete` and `lookup` have one stage each, to compare with direct calls of its servers.
    add("lookup", stages.iter().filter(|stage| stage.name == "retrieve").cloned().collect());
    stages.push(generate);
    add("draft", stages);
    add("order", vec![print]);
}

/// Output that the stand-ins produce for a request body: each service wraps its input in a JSON object,
/// and the engine uses the outermost object as its prompt.
fn expected_output(body: &Value) -> String {
    let wrap = |input: Value, name: &&str| json!({ "path": format!("/{name}"), "input": input });
    let prompt = SERVICE_STAGES.iter().fold(body.clone(), wrap).to_string();
    engine::completion_text(&prompt, ANSWER_TOKENS)
}

fn stage_names(answer: &Value) -> Vec<&str> {
    let stages = answer["stages"].as_array().map_or(&[][..], Vec::as_slice);
    stages.iter().filter_map(|stage| stage["stage"].as_str()).collect()
}

fn print_answer(out: &mut impl Write, title: &str, answer: &Value) -> Result<(), DemoError> {
    let stages = answer["stages"].as_array().map_or(&[][..], Vec::as_slice);
    let stages: Vec<_> = stages
        .iter()
        .map(|stage| {
            let (name, server) = (stage["stage"].as_str(), stage["server"].as_str());
            let ms = stage["ms"].as_f64().unwrap_or_default();
            format!("{} {ms:.1} ms on {}", name.unwrap_or("?"), server.unwrap_or("?"))
        })
        .collect();
    writeln!(out, "{title}: {}\n  {}", answer["output"], stages.join(", "))
        .map_err(DemoError::Output)
}

fn ensure(holds: bool, text: &str) -> Result<(), DemoError> {
    if holds { Ok(()) } else { Err(DemoError::CheckFailed(text.to_owned())) }
}
