//! Metrics of the daemons. `docs/metrics.md` lists them.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::time::Duration;

/// Upper bounds of duration histogram buckets, in seconds. They are fine-grained below the 3 s
/// deadlines of pipelines.
const DURATION_BOUNDS: [f64; 15] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.37, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0];

/// The metrics exporter can't be set up.
#[derive(Debug, thiserror::Error)]
#[error("metrics can't be set up: {0}")]
pub struct MetricsError(String);

/// Instruments of an entry. They have no workspace label, because there are thousands of workspaces.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    /// Dropping the provider would disconnect the instruments from the registry.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    request_seconds: Histogram<f64>,
    stage_seconds: Histogram<f64>,
    first_chunk_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    claims: Counter<u64>,
    links: Gauge<u64>,
    link_errors: Counter<u64>,
    in_progress: Gauge<u64>,
    dropped_messages: Gauge<u64>,
    version: Gauge<u64>,
}

impl EntryMetrics {
    /// Creates the instruments in a separate registry, so that one process can run several entries.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| MetricsError(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("damaskweir");
        Ok(Self {
            requests: counter(&meter, "requests", "Requests that got their final answer"),
            refusals: counter(&meter, "refusals", "Requests refused for bad input"),
            request_seconds: duration_histogram(
                &meter,
                "request.duration",
                "Time from admission to answer",
            ),
            stage_seconds: duration_histogram(&meter, "stage.duration", "Time of a finished stage"),
            first_chunk_seconds: duration_histogram(
                &meter,
                "first.chunk.duration",
                "Time to the first chunk",
            ),
            attempts: counter(&meter, "attempts", "Attempts that ended"),
            claims: counter(&meter, "claims", "Answers of the store to claims"),
            links: gauge(&meter, "links", "Open connections to sides"),
            link_errors: counter(&meter, "link.errors", "Connections that failed or ended"),
            in_progress: gauge(&meter, "requests.in.progress", "Requests in progress"),
            dropped_messages: gauge(
                &meter,
                "messages.dropped",
                "Late or duplicate messages dropped",
            ),
            version: gauge(&meter, "bundle.version", "Bundle version in force"),
            registry,
            _provider: provider,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }

    pub(crate) fn request_answered(&self, pipeline: &str, code: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("pipeline", pipeline.to_owned()), KeyValue::new("code", code)];
        self.requests.add(1, &labels);
        self.request_seconds.record(elapsed.as_secs_f64(), &labels[..1]);
    }

    pub(crate) fn request_refused(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    pub(crate) fn stage_finished(&self, pipeline: &str, stage: &str, elapsed: Duration) {
        let labels = [
            KeyValue::new("pipeline", pipeline.to_owned()),
            KeyValue::new("stage", stage.to_owned()),
        ];
        self.stage_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    pub(crate) fn first_chunk(&self, pipeline: &str, elapsed: Duration) {
        let labels = [KeyValue::new("pipeline", pipeline.to_owned())];
        self.first_chunk_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    pub(crate) fn attempt_ended(&self, pool: &str, end: &'static str) {
        let labels = [KeyValue::new("pool", pool.to_owned()), KeyValue::new("end", end)];
        self.attempts.add(1, &labels);
    }

    pub(crate) fn claim_answered(&self, answer: &'static str) {
        self.claims.add(1, &[KeyValue::new("answer", answer)]);
    }

    pub(crate) fn link_failed(&self, kind: &'static str) {
        self.link_errors.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn record_state(
        &self,
        in_progress: usize,
        links: usize,
        dropped: u64,
        version: u64,
    ) {
        self.in_progress.record(in_progress as u64, &[]);
        self.links.record(links as u64, &[]);
        self.dropped_messages.record(dropped, &[]);
        self.version.record(version, &[]);
    }
}

fn counter(meter: &Meter, name: &str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(format!("damaskweir.{name}")).with_description(description).build()
}

fn gauge(meter: &Meter, name: &str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(format!("damaskweir.{name}")).with_description(description).build()
}

fn duration_histogram(meter: &Meter, name: &str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(format!("damaskweir.{name}"))
        .with_description(description)
        .with_unit("s")
        .with_boundaries(DURATION_BOUNDS.to_vec())
        .build()
}
