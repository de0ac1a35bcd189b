//! Bounded open-loop HTTP load generator, restricted to loopback targets.
//!
//! Requests are scheduled independently of answers, and latency is measured from the scheduled send
//! time. A stall of the server therefore counts in the latency of all requests scheduled during it,
//! which avoids coordinated omission.

use hdrhistogram::Histogram;
use reqwest::Url;
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep_until};

/// Maximum rate in requests per second.
pub const MAX_RATE: u32 = 20_000;
/// Maximum length of the measured run, and of the warmup, in seconds.
pub const MAX_SECONDS: u32 = 600;
/// Maximum number of concurrent requests.
pub const MAX_IN_FLIGHT: u32 = 4_096;
/// Maximum time of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound of the latency histogram, in microseconds. Longer latencies count as this.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// Options of a load run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOptions {
    /// URL to send requests to; its host must be a loopback IP address.
    pub target: Url,
    /// Requests per second, from 1 to [`MAX_RATE`].
    pub rate: u32,
    /// Length of the measured run in seconds, from 1 to [`MAX_SECONDS`].
    pub seconds: u32,
    /// Seconds of load before the measured run, excluded from the report; at most [`MAX_SECONDS`].
    pub warmup: u32,
    /// Maximum number of concurrent requests, from 1 to [`MAX_IN_FLIGHT`]. Requests due beyond that are
    /// skipped.
    pub in_flight: u32,
    /// JSON body of each request.
    pub body: String,
    /// Workspace sent in the `x-workspace` header.
    pub workspace: String,
}

/// Reasons why a load run can't start.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The target is not an `http` URL with a loopback IP address.
    #[error("the target must be an http:// URL with a loopback IP address")]
    Target,
    /// An option is out of range.
    #[error("--{0} must be from 1 to {1}")]
    Range(&'static str, u32),
    /// The HTTP client can't be created.
    #[error("the HTTP client can't be created: {0}")]
    Client(#[from] reqwest::Error),
    /// The workspace is not a valid header value.
    #[error("--workspace is not a valid HTTP header value")]
    Workspace,
    /// The histogram can't be created.
    #[error("the histogram can't be created: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Latency statistics in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Latencies {
    /// Mean.
    pub mean: f64,
    /// 50th percentile.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

/// Result of a load run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Scheduled requests per second.
    pub rate: u32,
    /// Length of the measured run in seconds.
    pub seconds: u32,
    /// Requests scheduled in the measured run.
    pub due: u64,
    /// Requests that were due but not sent, because too many were in flight.
    pub skipped: u64,
    /// Number of complete answers by HTTP status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests that were sent and got no complete answer.
    pub broken: u64,
    /// Latencies of complete answers with status 200, from the scheduled send time.
    pub micros: Latencies,
}

impl LoadReport {
    /// Whether every scheduled request got a complete answer with status 200.
    pub fn is_clean(&self) -> bool {
        self.statuses.get(&200).copied().unwrap_or_default() == self.due
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut statuses = String::new();
        for (status, count) in &self.statuses {
            write!(statuses, " {status}: {count}")?;
        }
        let ms = |micros: u64| micros as f64 / 1e3;
        writeln!(f, "rate {}/s for {} s", self.rate, self.seconds)?;
        writeln!(
            f,
            "due {}, skipped {}, broken {}, answers by status:{statuses}",
            self.due, self.skipped, self.broken
        )?;
        writeln!(
            f,
            "latency from the scheduled send time, ms: mean {:.3} p50 {:.3} p90 {:.3} p99 {:.3} \
             p99.9 {:.3} max {:.3}",
            self.micros.mean / 1e3,
            ms(self.micros.p50),
            ms(self.micros.p90),
            ms(self.micros.p99),
            ms(self.micros.p999),
            ms(self.micros.max)
        )
    }
}

/// Outcome of one request; `status` is `None` without a complete answer.
struct RequestResult {
    status: Option<u16>,
    micros: u64,
}

/// Runs the load and waits until all requests have ended.
pub async fn run_load(options: &LoadOptions) -> Result<LoadReport, LoadError> {
    validate(options)?;
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let workspace = HeaderValue::from_str(&options.workspace);
    headers.insert("x-workspace", workspace.map_err(|_| LoadError::Workspace)?);
    let client = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .timeout(REQUEST_TIMEOUT)
        .pool_max_idle_per_host(options.in_flight as usize)
        .default_headers(headers)
        .build()?;
    let permits = Arc::new(Semaphore::new(options.in_flight as usize));
    let (sender, mut results) = mpsc::unbounded_channel();
    let warmup = u64::from(options.rate) * u64::from(options.warmup);
    let due = u64::from(options.rate) * u64::from(options.seconds);
    let start = Instant::now();
    let mut skipped = 0;
    for i in 0..warmup + due {
        // Computed from the start of the run, so that rounding errors do not accumulate.
        let intended = start + Duration::from_micros(i * 1_000_000 / u64::from(options.rate));
        sleep_until(intended).await;
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            skipped += u64::from(i >= warmup);
            continue;
        };
        let request = client.post(options.target.clone()).body(options.body.clone());
        let sender = (i >= warmup).then(|| sender.clone());
        tokio::spawn(async move {
            let status = send_request(request).await;
            drop(permit);
            let micros = u64::try_from(intended.elapsed().as_micros()).unwrap_or(u64::MAX);
            if let Some(sender) = sender {
                // The receiver lives until all senders are dropped.
                let _ = sender.send(RequestResult { status, micros });
            }
        });
    }
    drop(sender);
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, 3)?;
    let (mut statuses, mut broken) = (BTreeMap::new(), 0);
    while let Some(result) = results.recv().await {
        match result.status {
            Some(status) => *statuses.entry(status).or_default() += 1,
            None => broken += 1,
        }
        if result.status == Some(200) {
            histogram.saturating_record(result.micros.max(1));
        }
    }
    let micros = Latencies {
        mean: histogram.mean(),
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    };
    let (rate, seconds) = (options.rate, options.seconds);
    Ok(LoadReport { rate, seconds, due, skipped, statuses, broken, micros })
}

fn validate(options: &LoadOptions) -> Result<(), LoadError> {
    let host = options.target.host_str().unwrap_or_default();
    let address: Option<IpAddr> = host.trim_matches(['[', ']']).parse().ok();
    if options.target.scheme() != "http" || !address.is_some_and(|address| address.is_loopback()) {
        return Err(LoadError::Target);
    }
    let ranges = [
        ("rate", options.rate, MAX_RATE),
        ("seconds", options.seconds, MAX_SECONDS),
        ("flight", options.in_flight, MAX_IN_FLIGHT),
    ];
    for (name, value, max) in ranges {
        if !(1..=max).contains(&value) {
            return Err(LoadError::Range(name, max));
        }
    }
    if options.warmup > MAX_SECONDS {
        return Err(LoadError::Range("warmup", MAX_SECONDS));
    }
    Ok(())
}

/// Sends a request and returns the status of its answer, or `None` if the answer is incomplete.
async fn send_request(request: reqwest::RequestBuilder) -> Option<u16> {
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    response.bytes().await.ok()?;
    Some(status)
}
