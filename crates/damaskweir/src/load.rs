//! Bounded open-loop load over HTTP, against loopback only.
//!
//! Requests have intended send times that do not depend on answers, and latency counts from there. A
//! server that stalls therefore shows up in the latency of all requests that were due meanwhile, and
//! not only of those that were in flight (coordinated omission).

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

/// Most requests per second.
pub const MAX_RATE: u32 = 20_000;
/// Longest run in seconds.
pub const MAX_SECONDS: u32 = 600;
/// Most requests in flight.
pub const MAX_IN_FLIGHT: u32 = 4_096;
/// Time of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest latency of the histogram in microseconds.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// What to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOptions {
    /// Where to send it; an IP address of the loopback interface.
    pub target: Url,
    /// Requests per second; at most `MAX_RATE`.
    pub rate: u32,
    /// Length of the run in seconds; at most `MAX_SECONDS`.
    pub seconds: u32,
    /// Seconds before that whose latencies do not count.
    pub warmup: u32,
    /// Requests in flight; at most `MAX_IN_FLIGHT`. Those that are due beyond that are not sent.
    pub in_flight: u32,
    /// JSON body.
    pub body: String,
    /// Workspace of the caller.
    pub workspace: String,
}

/// Why a load can't run.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The target is another machine, or a name.
    #[error("the target must be http:// and an IP address of the loopback interface")]
    Target,
    /// An option is out of its range.
    #[error("--{0} must be from 1 to {1}")]
    Range(&'static str, u32),
    /// The client can't start.
    #[error("the HTTP client can't start: {0}")]
    Client(#[from] reqwest::Error),
    /// The workspace can't be sent in a header.
    #[error("--workspace can't be sent in a header")]
    Workspace,
    /// The histogram can't be made.
    #[error("the histogram can't be made: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Latencies in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Latencies {
    /// Mean.
    pub mean: f64,
    /// Half of all were at most this.
    pub p50: u64,
    /// 90 in 100.
    pub p90: u64,
    /// 99 in 100.
    pub p99: u64,
    /// 999 in 1,000.
    pub p999: u64,
    /// The longest.
    pub max: u64,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests per second that were intended.
    pub rate: u32,
    /// Seconds that were measured.
    pub seconds: u32,
    /// Requests that were due in that time.
    pub due: u64,
    /// Requests that were due and not sent, because too many were in flight.
    pub skipped: u64,
    /// Complete answers by HTTP status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests without a complete answer.
    pub broken: u64,
    /// Latencies of complete answers with status 200, from the intended send time.
    pub micros: Latencies,
}

impl LoadReport {
    /// Whether each request that was due got a complete answer with status 200.
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
            "latency from the intended send time, ms: mean {:.3} p50 {:.3} p90 {:.3} p99 {:.3} \
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

/// One request that ended.
struct RequestResult {
    status: Option<u16>,
    micros: u64,
}

/// Sends the load and waits for all answers.
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
        // From the start each time, so that rounding does not add up.
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
                // The receiver lives until all senders are gone.
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

/// The status of a complete answer.
async fn send_request(request: reqwest::RequestBuilder) -> Option<u16> {
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    response.bytes().await.ok()?;
    Some(status)
}
