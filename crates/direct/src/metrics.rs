//! Counters and latency histograms.

use damaskweir_core::time::Span;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the latency histograms, in seconds.
const BOUNDS: &[f64] =
    &[0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0];

/// Why metrics can't be set up or written.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter refuses.
    #[error("metrics exporter: {0}")]
    Exporter(String),
}

/// All instruments. Labels take values of closed sets, pools and routes only.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// Requests by outcome and cause.
    pub requests: Counter<u64>,
    /// New connections to backend servers.
    pub connections: Counter<u64>,
    /// Repeats that the budget did not allow.
    pub unfunded: Counter<u64>,
    /// Results of stages that nobody used.
    pub unused: Counter<u64>,
    /// Calls to the store by kind and outcome.
    pub store: Counter<u64>,
    stages: Histogram<f64>,
    first: Histogram<f64>,
    whole: Histogram<f64>,
    servers: Gauge<u64>,
    waiting: Gauge<u64>,
    entries: Gauge<u64>,
    suspects: Gauge<u64>,
    version: Gauge<u64>,
    current: Gauge<u64>,
    age: Gauge<f64>,
    active: Gauge<u64>,
}

/// What the entry believes and does at this moment.
#[derive(Clone, Debug, Default)]
pub struct Beliefs<'a> {
    /// Usable servers by pool.
    pub servers: Vec<(&'a str, u64)>,
    /// Pieces that wait here by pool.
    pub waiting: Vec<(&'a str, u64)>,
    /// Entries that are listed.
    pub entries: u64,
    /// Entries that did not answer.
    pub suspects: u64,
    /// Version of the configuration in force; 0: none.
    pub version: u64,
    /// Whether the store answers.
    pub current: bool,
    /// Seconds since the store confirmed what is known; `None`: it never did.
    pub age: Option<f64>,
    /// Requests in progress.
    pub active: u64,
}

impl Metrics {
    /// Registers all instruments.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MetricsError::Exporter(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("damaskweir");
        let seconds = |name: &'static str| {
            meter.f64_histogram(name).with_unit("s").with_boundaries(BOUNDS.to_vec()).build()
        };
        Ok(Self {
            requests: meter.u64_counter("direct_requests").build(),
            connections: meter.u64_counter("direct_connections").build(),
            unfunded: meter.u64_counter("direct_repeats_refused").build(),
            unused: meter.u64_counter("direct_results_unused").build(),
            store: meter.u64_counter("direct_store_calls").build(),
            stages: seconds("direct_stage_call"),
            first: seconds("direct_first_part"),
            whole: seconds("direct_request"),
            servers: meter.u64_gauge("direct_servers").build(),
            waiting: meter.u64_gauge("direct_pieces_waiting").build(),
            entries: meter.u64_gauge("direct_entries").build(),
            suspects: meter.u64_gauge("direct_entries_silent").build(),
            version: meter.u64_gauge("direct_config_version").build(),
            current: meter.u64_gauge("direct_store_current").build(),
            age: meter.f64_gauge("direct_config_age").with_unit("s").build(),
            active: meter.u64_gauge("direct_requests_active").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a call to a stage's server.
    pub fn stage_call(&self, pool: &str, outcome: &'static str, took: Span) {
        let labels = [KeyValue::new("pool", pool.to_owned()), KeyValue::new("outcome", outcome)];
        self.stages.record(took.as_secs_f64(), &labels);
    }

    /// Counts the time to the first part of an answer.
    pub fn first_part(&self, kind: &'static str, took: Span) {
        self.first.record(took.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Counts the end of a request.
    pub fn ended(
        &self,
        kind: &'static str,
        outcome: &'static str,
        cause: &'static str,
        took: Span,
    ) {
        let labels = [KeyValue::new("outcome", outcome), KeyValue::new("cause", cause)];
        self.requests.add(1, &labels);
        self.whole.record(took.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, call: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("call", call), KeyValue::new("outcome", outcome)];
        self.store.add(1, &labels);
    }

    /// Sets the gauges.
    pub fn believes(&self, beliefs: &Beliefs<'_>) {
        let pool = |name: &str| [KeyValue::new("pool", name.to_owned())];
        beliefs.servers.iter().for_each(|(name, n)| self.servers.record(*n, &pool(name)));
        beliefs.waiting.iter().for_each(|(name, n)| self.waiting.record(*n, &pool(name)));
        self.entries.record(beliefs.entries, &[]);
        self.suspects.record(beliefs.suspects, &[]);
        self.version.record(beliefs.version, &[]);
        self.current.record(u64::from(beliefs.current), &[]);
        beliefs.age.into_iter().for_each(|age| self.age.record(age, &[]));
        self.active.record(beliefs.active, &[]);
    }

    /// All values as text.
    pub fn text(&self) -> Result<Vec<u8>, MetricsError> {
        let mut out = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut out)
            .map_err(|e| MetricsError::Exporter(e.to_string()))?;
        Ok(out)
    }
}
