//! Measures the CPU time and memory of the decision core at several sizes.
//!
//! Unlike the simulations in virtual time, this measures the real machine, so results vary between
//! runs.

use damaskweir_core::Rng;
use damaskweir_core::entry::{Call, Entry, EntryAction, EntryEvent, EntrySettings};
use damaskweir_core::prelude::*;
use damaskweir_core::side::{Sidecar, SidecarAction, SidecarSettings};
use rand_core::SeedableRng as _;
use std::fmt;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Page size in bytes, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;
/// Number of pipelines in the bundle.
const PIPELINES: usize = 20;
/// Number of stages of each pipeline. Each stage has a pool of its own.
const STAGES_PER_PIPELINE: usize = 4;
/// Number of requests or attempts per measurement of CPU time.
const REQUESTS_PER_MEASUREMENT: u64 = 20_000;
/// Number of objects per measurement of memory. The resident size grows by whole pages, so a single
/// object is too small to measure.
const OBJECTS_PER_MEASUREMENT: usize = 50;

/// One quantity measured at several sizes.
struct Series {
    name: &'static str,
    unit: &'static str,
    size_unit: &'static str,
    /// Pairs of size and measured value.
    points: Vec<(f64, f64)>,
}

impl Series {
    /// Slope and intercept of the least-squares line.
    fn fit_line(&self) -> (f64, f64) {
        let n = self.points.len() as f64;
        let x = self.points.iter().map(|p| p.0).sum::<f64>() / n;
        let y = self.points.iter().map(|p| p.1).sum::<f64>() / n;
        let sum_xy: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let sum_xx: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = sum_xy / sum_xx;
        (slope, y - slope * x)
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} ({})", self.name, self.unit)?;
        for (size, value) in &self.points {
            writeln!(f, "  {size:>8} {}: {value:.1}", self.size_unit)?;
        }
        let (slope, intercept) = self.fit_line();
        writeln!(f, "  slope {slope:.4} {} per {}, base {intercept:.1}", self.unit, self.size_unit)
    }
}

/// Runs all measurements and returns the report.
pub(crate) fn run() -> std::io::Result<String> {
    let series = [
        entry_memory_by_servers()?,
        entry_memory_by_workspaces()?,
        entry_memory_by_requests()?,
        entry_time_by_servers()?,
        entry_time_by_requests()?,
        side_time_by_queue()?,
        side_memory_by_outcomes()?,
    ];
    Ok(series.iter().map(ToString::to_string).collect())
}

fn entry_memory_by_servers() -> std::io::Result<Series> {
    let mut points = Vec::new();
    for servers in [1_000, 4_000, 11_000] {
        let bundle = bundle(servers, 100);
        let grown = resident_growth(|| {
            (0..OBJECTS_PER_MEASUREMENT as u64)
                .map(|i| entry(Incarnation(i), &bundle))
                .collect::<Vec<_>>()
        })?;
        points.push((servers as f64, grown / OBJECTS_PER_MEASUREMENT as f64 / 1024.0));
    }
    Ok(Series { name: "entry: memory by servers", unit: "KiB", size_unit: "servers", points })
}

fn entry_memory_by_workspaces() -> std::io::Result<Series> {
    let mut points = Vec::new();
    for workspaces in [600, 2_000, 6_000] {
        let grown = resident_growth(|| {
            (0..OBJECTS_PER_MEASUREMENT).map(|_| bundle(1_000, workspaces)).collect::<Vec<_>>()
        })?;
        points.push((workspaces as f64, grown / OBJECTS_PER_MEASUREMENT as f64 / 1024.0));
    }
    Ok(Series {
        name: "bundle: memory by workspaces",
        unit: "KiB",
        size_unit: "workspaces",
        points,
    })
}

fn entry_memory_by_requests() -> std::io::Result<Series> {
    let bundle = bundle(1_000, 100);
    let mut points = Vec::new();
    for requests in [10_000, 20_000, 40_000] {
        let mut entry = entry(Incarnation(1), &bundle);
        let mut rng = Rng::seed_from_u64(1);
        let grown = resident_growth(|| {
            let sent = (0..requests).filter(|i| {
                let (_, actions) = entry.call(Time(*i), &mut rng, call(*i));
                sent_attempt(&actions).is_some()
            });
            (sent.count(), entry)
        })?;
        points.push((requests as f64, grown / 1024.0));
    }
    Ok(Series { name: "entry: memory by requests", unit: "KiB", size_unit: "in progress", points })
}

fn entry_time_by_servers() -> std::io::Result<Series> {
    let mut points = Vec::new();
    for servers in [1_000, 4_000, 11_000] {
        let bundle = bundle(servers, 6_000);
        points.push((servers as f64, time_per_request(&bundle, 0)?));
    }
    Ok(Series {
        name: "entry: time per request of 4 stages",
        unit: "us",
        size_unit: "servers",
        points,
    })
}

fn entry_time_by_requests() -> std::io::Result<Series> {
    let bundle = bundle(11_000, 6_000);
    let mut points = Vec::new();
    for requests in [100, 400, 1_600] {
        points.push((requests as f64, time_per_request(&bundle, requests)?));
    }
    Ok(Series {
        name: "entry: time per request of 4 stages",
        unit: "us",
        size_unit: "in progress",
        points,
    })
}

/// CPU time in microseconds of one request, from call to answer, while `others` are in progress.
fn time_per_request(bundle: &Arc<Bundle>, others: u64) -> std::io::Result<f64> {
    let mut entry = entry(Incarnation(1), bundle);
    let mut rng = Rng::seed_from_u64(1);
    for i in 0..others {
        entry.call(Time(i), &mut rng, call(i));
    }
    let start = thread_time_us()?;
    for i in 0..REQUESTS_PER_MEASUREMENT {
        // Space requests far enough apart that no workspace exceeds its fair share, but close enough
        // that no deadline passes.
        let now = Time(others + i);
        let (_, mut actions) = entry.call(now, &mut rng, call(i));
        while let Some(attempt) = sent_attempt(&actions) {
            entry.event(now, &mut rng, EntryEvent::Accepted(attempt));
            actions = entry.event(now, &mut rng, EntryEvent::Done(attempt, Outcome::Finished));
        }
        black_box(&actions);
    }
    Ok((thread_time_us()? - start) / REQUESTS_PER_MEASUREMENT as f64)
}

fn side_time_by_queue() -> std::io::Result<Series> {
    let mut points = Vec::new();
    for queued in [8, 32, 128] {
        let mut side = Sidecar::new(Incarnation(1), SidecarSettings::default());
        for serial in 0..queued {
            side.dispatch(Time(0), &dispatch(serial, Effect::Idempotent));
        }
        let start = thread_time_us()?;
        for serial in queued..queued + REQUESTS_PER_MEASUREMENT {
            let mut actions = side.dispatch(Time(serial), &dispatch(serial, Effect::Idempotent));
            let oldest = dispatch(serial - queued, Effect::Idempotent).attempt;
            actions.extend(side.finish(Time(serial), oldest, Outcome::Finished));
            black_box((actions, side.report(Time(serial))));
        }
        points.push((queued as f64, (thread_time_us()? - start) / REQUESTS_PER_MEASUREMENT as f64));
    }
    Ok(Series { name: "side: time per attempt", unit: "us", size_unit: "in progress", points })
}

fn side_memory_by_outcomes() -> std::io::Result<Series> {
    let mut points = Vec::new();
    for attempts in [40_000, 80_000, 160_000] {
        let mut side = Sidecar::new(Incarnation(1), SidecarSettings::default());
        let grown = resident_growth(|| {
            for serial in 0..attempts {
                let dispatch = dispatch(serial, Effect::Once);
                let actions = side.dispatch(Time(serial), &dispatch);
                if actions.contains(&SidecarAction::Start(dispatch.attempt)) {
                    side.finish(Time(serial), dispatch.attempt, Outcome::Finished);
                }
            }
            side
        })?;
        points.push((attempts as f64, grown / 1024.0));
    }
    Ok(Series { name: "side: memory by kept ends", unit: "KiB", size_unit: "kept ends", points })
}

/// Returns the attempt that the actions send, if any.
fn sent_attempt(actions: &[EntryAction]) -> Option<AttemptId> {
    actions.iter().find_map(|action| match action {
        EntryAction::Send { dispatch, .. } => Some(dispatch.attempt),
        _ => None,
    })
}

/// Creates an entry that is connected to all servers of its subset.
fn entry(incarnation: Incarnation, bundle: &Arc<Bundle>) -> Entry {
    let zone = AvailabilityZone::from("zone-0");
    let mut entry = Entry::new(incarnation, zone, EntrySettings::default(), Arc::clone(bundle));
    for (id, pool) in &bundle.pools {
        for server in &pool.servers {
            entry.set_connected(Time(0), id, &server.id, true);
        }
    }
    entry
}

fn bundle(servers: usize, workspaces: usize) -> Arc<Bundle> {
    let count = PIPELINES * STAGES_PER_PIPELINE;
    let pool = |i: usize| PoolId::from(format!("pool-{i:02}").as_str());
    let pools = (0..count).map(|i| {
        let servers = (i..servers).step_by(count).map(server).collect();
        (pool(i), Pool { kind: PoolKind::Service, servers, resume: false, extra: 100 })
    });
    let pipelines = (0..PIPELINES).map(|i| {
        let stages =
            (0..STAGES_PER_PIPELINE).map(|s| stage(s, pool(i * STAGES_PER_PIPELINE + s))).collect();
        (pipeline(i), Pipeline { deadline: Span::from_secs(3), stages })
    });
    let workspaces =
        (0..workspaces).map(|i| (workspace(i), Workspace { share: 1, limit: 100_000 }));
    Arc::new(Bundle {
        version: Version(1),
        pools: pools.collect(),
        pipelines: pipelines.collect(),
        workspaces: workspaces.collect(),
        operators: std::collections::BTreeMap::new(),
    })
}

fn server(i: usize) -> BackendServer {
    BackendServer {
        id: ServerId::from(format!("server-{i:05}").as_str()),
        zone: AvailabilityZone::from(format!("zone-{}", i % 10).as_str()),
        side: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        slots: 10_000,
    }
}

fn stage(i: usize, pool: PoolId) -> Stage {
    Stage {
        name: format!("stage-{i}"),
        pool,
        effect: Effect::Idempotent,
        path: "/".to_owned(),
        expected: Span::from_millis(1),
    }
}

fn pipeline(i: usize) -> PipelineId {
    PipelineId::from(format!("pipeline-{i:02}").as_str())
}

fn workspace(i: usize) -> WorkspaceId {
    WorkspaceId::from(format!("workspace-{i:04}").as_str())
}

fn call(serial: u64) -> Call {
    Call {
        pipeline: pipeline(serial as usize % PIPELINES),
        workspace: workspace(serial as usize % 100),
        deadline: None,
        key: None,
        body: Digest([0; 32]),
        prefix: None,
        stream: false,
    }
}

fn dispatch(serial: u64, effect: Effect) -> Dispatch {
    let request = RequestId { entry: Incarnation(7), serial };
    Dispatch {
        attempt: AttemptId { request, stage: 0, number: 0 },
        version: Version(1),
        workspace: workspace(serial as usize % 100),
        share: 1,
        remaining: Span::from_secs(3_600),
        estimate: Span::from_millis(1),
        effect,
        resume: 0,
        incarnation: (effect == Effect::Once).then_some(Incarnation(1)),
    }
}

/// Growth of the resident size, in bytes, caused by the value that `make` returns. The value is leaked:
/// the allocator would reuse freed memory and hide the growth in the next measurement.
fn resident_growth<T>(make: impl FnOnce() -> T) -> std::io::Result<f64> {
    let before = resident_bytes()?;
    let object = make();
    let after = resident_bytes()?;
    std::mem::forget(black_box(object));
    Ok(after.saturating_sub(before) as f64)
}

/// Resident size of this process in bytes.
fn resident_bytes() -> std::io::Result<u64> {
    Ok(proc_field("/proc/self/statm", 1)? * PAGE_BYTES)
}

/// CPU time of this thread in microseconds.
fn thread_time_us() -> std::io::Result<f64> {
    Ok(proc_field("/proc/thread-self/schedstat", 0)? as f64 / 1e3)
}

fn proc_field(path: &str, field: usize) -> std::io::Result<u64> {
    let text = std::fs::read_to_string(path)?;
    let value = text.split_whitespace().nth(field).and_then(|word| word.parse().ok());
    value.ok_or_else(|| {
        std::io::Error::other(format!("{path}: field {field} is missing or not a number"))
    })
}
