//! Counters, gauges and latency histograms in the Prometheus format.

use crate::wire::SendPath;
use damaskweir_core::place::Choice;
use damaskweir_core::time::Span;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0];

/// An error while setting up or encoding metrics.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The Prometheus exporter failed.
    #[error("metrics exporter: {0}")]
    Exporter(String),
}

/// All instruments. To bound the number of series, label values are pool and route names or come
/// from fixed sets.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// Finished requests by outcome and cause.
    pub requests: Counter<u64>,
    /// Connections opened to backend servers.
    pub connections: Counter<u64>,
    /// Retries denied by the retry budget.
    pub denied_retries: Counter<u64>,
    /// Stage results that were never used.
    pub unused_results: Counter<u64>,
    /// Requests sent to backend servers that name a limit, by the path that sent them.
    pub limited_sends: Counter<u64>,
    /// Announcements of backend servers: that they leave, that they ask for time, and invalid ones.
    pub announcements: Counter<u64>,
    /// Crashes of backend servers with requests of this entry.
    pub server_crashes: Counter<u64>,
    /// Calls to the store by type and outcome.
    pub store_calls: Counter<u64>,
    placements: Counter<u64>,
    stage_latency: Histogram<f64>,
    first_latency: Histogram<f64>,
    request_latency: Histogram<f64>,
    servers: Gauge<u64>,
    limited_servers: Gauge<u64>,
    cold_servers: Gauge<u64>,
    leaving_servers: Gauge<u64>,
    backoff_servers: Gauge<u64>,
    quarantined_parts: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    queued_pieces: Gauge<u64>,
    entries: Gauge<u64>,
    entries_age: Gauge<f64>,
    suspects: Gauge<u64>,
    config_version: Gauge<u64>,
    store_current: Gauge<u64>,
    config_age: Gauge<f64>,
    store_generation: Gauge<u64>,
    active_requests: Gauge<u64>,
    buffered_bytes: Gauge<u64>,
    load_age: Gauge<f64>,
}

/// Current values of the gauges.
#[derive(Clone, Debug, Default)]
pub struct GaugeValues<'a> {
    /// Available servers by pool.
    pub servers: Vec<(&'a str, u64)>,
    /// Backend servers that name a limit, as far as this entry knows.
    pub limited_servers: u64,
    /// Backend servers that get few requests because they are or were cold.
    pub cold_servers: u64,
    /// Backend servers that said in an answer that they leave.
    pub leaving_servers: u64,
    /// Backend servers that get no request now because they asked for time.
    pub backoff_servers: u64,
    /// Prompt parts that are quarantined.
    pub quarantined_parts: u64,
    /// Availability zones that are evacuated and have servers.
    pub evacuated_zones: u64,
    /// Pieces queued at this entry, by pool.
    pub queued_pieces: Vec<(&'a str, u64)>,
    /// Entries in the list of entries.
    pub entries: u64,
    /// Seconds since the store confirmed that list; `None` if it never has.
    pub entries_age: Option<f64>,
    /// Entries currently suspected to be down.
    pub suspects: u64,
    /// Version of the active configuration, or 0 if there is none.
    pub config_version: u64,
    /// Whether this entry reads the store and its state is current.
    pub store_current: bool,
    /// Seconds since the store confirmed the local state; `None` if it never has.
    pub config_age: Option<f64>,
    /// Generation of the store, or 0 if it is unknown.
    pub store_generation: u64,
    /// Requests in progress.
    pub active_requests: u64,
    /// Bytes of callers and servers that are buffered.
    pub buffered_bytes: u64,
    /// Age in seconds of the oldest report of another entry that counts; `None` if there is none.
    pub load_age: Option<f64>,
}

impl Metrics {
    /// Creates and registers all instruments.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MetricsError::Exporter(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("damaskweir");
        let seconds = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .build()
        };
        Ok(Self {
            requests: meter.u64_counter("direct_requests").build(),
            connections: meter.u64_counter("direct_connections").build(),
            denied_retries: meter.u64_counter("direct_repeats_refused").build(),
            unused_results: meter.u64_counter("direct_results_unused").build(),
            limited_sends: meter.u64_counter("direct_limited_sends").build(),
            announcements: meter.u64_counter("direct_server_announcements").build(),
            server_crashes: meter.u64_counter("direct_server_crashes").build(),
            store_calls: meter.u64_counter("direct_store_calls").build(),
            placements: meter.u64_counter("direct_placements").build(),
            stage_latency: seconds("direct_stage_call"),
            first_latency: seconds("direct_first_part"),
            request_latency: seconds("direct_request"),
            servers: meter.u64_gauge("direct_servers").build(),
            limited_servers: meter.u64_gauge("direct_servers_limited").build(),
            cold_servers: meter.u64_gauge("direct_servers_cold").build(),
            leaving_servers: meter.u64_gauge("direct_servers_leaving").build(),
            backoff_servers: meter.u64_gauge("direct_servers_backing_off").build(),
            quarantined_parts: meter.u64_gauge("direct_parts_quarantined").build(),
            evacuated_zones: meter.u64_gauge("direct_zones_evacuated").build(),
            queued_pieces: meter.u64_gauge("direct_pieces_waiting").build(),
            entries: meter.u64_gauge("direct_entries").build(),
            entries_age: meter.f64_gauge("direct_entries_age").with_unit("s").build(),
            suspects: meter.u64_gauge("direct_entries_silent").build(),
            config_version: meter.u64_gauge("direct_config_version").build(),
            store_current: meter.u64_gauge("direct_store_current").build(),
            config_age: meter.f64_gauge("direct_config_age").with_unit("s").build(),
            store_generation: meter.u64_gauge("direct_store_generation").build(),
            active_requests: meter.u64_gauge("direct_requests_active").build(),
            buffered_bytes: meter.u64_gauge("direct_buffered_bytes").build(),
            load_age: meter.f64_gauge("direct_load_report_age").with_unit("s").build(),
            registry,
            _provider: provider,
        })
    }

    /// Records a call to a stage's server.
    pub fn stage_call(&self, pool: &str, outcome: &'static str, took: Span) {
        let labels = [KeyValue::new("pool", pool.to_owned()), KeyValue::new("outcome", outcome)];
        self.stage_latency.record(took.as_secs_f64(), &labels);
    }

    /// Records the time to the first part of a response.
    pub fn first_part(&self, kind: &'static str, took: Span) {
        self.first_latency.record(took.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Records the end of a request.
    pub fn request_ended(
        &self,
        kind: &'static str,
        outcome: &'static str,
        cause: &'static str,
        took: Span,
    ) {
        let labels = [KeyValue::new("outcome", outcome), KeyValue::new("cause", cause)];
        self.requests.add(1, &labels);
        self.request_latency.record(took.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Records a request to a backend server that names a limit.
    pub(crate) fn limited_send(&self, path: SendPath) {
        self.limited_sends.add(1, &[KeyValue::new("path", path.name())]);
    }

    /// Records an announcement of a backend server.
    pub(crate) fn announced(&self, what: &'static str) {
        self.announcements.add(1, &[KeyValue::new("what", what)]);
    }

    /// Records the selection of an engine.
    pub fn placed(&self, choice: Choice) {
        let choice = match choice {
            Choice::First => "first",
            Choice::Next => "next",
            Choice::Least => "least",
        };
        self.placements.add(1, &[KeyValue::new("choice", choice)]);
    }

    /// Records a call to the store.
    pub fn store_call(&self, call: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("call", call), KeyValue::new("outcome", outcome)];
        self.store_calls.add(1, &labels);
    }

    /// Sets all gauges.
    pub fn record_gauges(&self, values: &GaugeValues<'_>) {
        let pool = |name: &str| [KeyValue::new("pool", name.to_owned())];
        values.servers.iter().for_each(|(name, n)| self.servers.record(*n, &pool(name)));
        self.limited_servers.record(values.limited_servers, &[]);
        self.cold_servers.record(values.cold_servers, &[]);
        self.leaving_servers.record(values.leaving_servers, &[]);
        self.backoff_servers.record(values.backoff_servers, &[]);
        self.quarantined_parts.record(values.quarantined_parts, &[]);
        self.evacuated_zones.record(values.evacuated_zones, &[]);
        values
            .queued_pieces
            .iter()
            .for_each(|(name, n)| self.queued_pieces.record(*n, &pool(name)));
        self.entries.record(values.entries, &[]);
        values.entries_age.into_iter().for_each(|age| self.entries_age.record(age, &[]));
        self.suspects.record(values.suspects, &[]);
        self.config_version.record(values.config_version, &[]);
        self.store_current.record(u64::from(values.store_current), &[]);
        values.config_age.into_iter().for_each(|age| self.config_age.record(age, &[]));
        self.store_generation.record(values.store_generation, &[]);
        self.active_requests.record(values.active_requests, &[]);
        self.buffered_bytes.record(values.buffered_bytes, &[]);
        // A gauge that is not recorded would keep its last value.
        self.load_age.record(values.load_age.unwrap_or_default(), &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> Result<Vec<u8>, MetricsError> {
        let mut out = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut out)
            .map_err(|e| MetricsError::Exporter(e.to_string()))?;
        Ok(out)
    }
}
