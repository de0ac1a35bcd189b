//! Simulated deployments: pools, pipelines, workspaces, load and faults, read from an INI file.

use damaskweir_core::prelude::*;
use ini::{Ini, Properties};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;

/// Error in a deployment file.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The file could not be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The file is not valid INI.
    #[error("invalid INI file: {0}")]
    Parse(#[from] ini::ParseError),
    /// A section or key is missing.
    #[error("[{section}]: key {key} is missing")]
    Missing {
        /// Name of the section.
        section: String,
        /// Name of the key; empty if the section is missing.
        key: String,
    },
    /// A value is invalid.
    #[error("[{section}] {key} = {value}: invalid value")]
    Value {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Rejected value, or the reason if several settings conflict.
        value: String,
    },
}

type Result<T> = std::result::Result<T, DeploymentError>;

/// Size and simulated behaviour of the backend servers of a pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolSpec {
    pub(crate) name: String,
    pub(crate) kind: PoolKind,
    pub(crate) servers: usize,
    /// Streams that a backend server runs concurrently; further ones wait in its internal queue.
    pub(crate) slots: u32,
    /// Slots in the bundle divided by the actual slots.
    pub(crate) slots_factor: f64,
    /// Slowdown of all streams per additional concurrent stream, as a share of their service time.
    pub(crate) slowdown: f64,
    /// Prompt prefixes that a backend server caches.
    pub(crate) cache_size: usize,
    /// Share of the work that a cached prefix saves.
    pub(crate) hit_saving: f64,
    /// Share of attempts that stall on the backend server.
    pub(crate) stall_share: f64,
    /// Retry budget of the pool, in thousandths of the first attempts.
    pub(crate) extra: u32,
}

impl PoolSpec {
    /// Returns the work that all servers together do per second, in seconds of service time.
    pub(crate) fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots);
        self.servers as f64 * slots / (1.0 + self.slowdown * (slots - 1.0))
    }
}

/// Workspace and its weight in the arrivals.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceSpec {
    pub(crate) name: String,
    pub(crate) share: u32,
    pub(crate) weight: f64,
}

/// Stage of a pipeline and its log-normal service time.
#[derive(Clone, Debug)]
pub(crate) struct StageSpec {
    pub(crate) name: String,
    pub(crate) pool: usize,
    pub(crate) effect: Effect,
    pub(crate) median: Span,
    /// Standard deviation of the logarithm of the service time.
    pub(crate) sigma: f64,
}

impl StageSpec {
    fn mean(&self) -> f64 {
        self.median.as_secs_f64() * (self.sigma * self.sigma / 2.0).exp()
    }
}

/// Pipeline and its weight in the arrivals.
#[derive(Clone, Debug)]
pub(crate) struct PipelineSpec {
    pub(crate) name: String,
    pub(crate) deadline: Span,
    pub(crate) weight: f64,
    /// Whether its calls run many times longer than those of the other pipelines.
    pub(crate) long: bool,
    pub(crate) stages: Vec<StageSpec>,
}

/// Parameters of the faults that the experiments inject.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultSpec {
    pub(crate) slowed_servers: usize,
    /// Factor by which slowed servers are slower.
    pub(crate) slow_factor: f64,
    /// Additional delay of the reports of slowed servers.
    pub(crate) extra_lag: Span,
    pub(crate) crash_interval: Span,
    /// Time until a crashed server starts again.
    pub(crate) downtime: Span,
}

/// Simulated deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub(crate) name: String,
    pub(crate) zones: Vec<String>,
    /// Base network delay between availability zones.
    pub(crate) zone_delay: Span,
    /// Base network delay within an availability zone.
    pub(crate) near_delay: Span,
    pub(crate) entries: usize,
    /// Mean load, as a share of the bottleneck pool's capacity.
    pub(crate) load: f64,
    /// Index of the pool that limits the throughput.
    pub(crate) bottleneck: usize,
    pub(crate) report_lag: Span,
    pub(crate) swing: f64,
    pub(crate) swing_period: Span,
    /// Share of non-idempotent calls that the caller repeats under the same idempotency key.
    pub(crate) repeat_share: f64,
    pub(crate) faults: FaultSpec,
    pub(crate) pools: Vec<PoolSpec>,
    pub(crate) workspaces: Vec<WorkspaceSpec>,
    pub(crate) pipelines: Vec<PipelineSpec>,
}

impl Deployment {
    /// Loads a built-in deployment (`board` or `teranga`) or a deployment file.
    pub fn load(name: &str) -> Result<Self> {
        match name {
            "board" => Self::parse(include_str!("../deployments/board.ini")),
            "teranga" => Self::parse(include_str!("../deployments/teranga.ini")),
            path => {
                let text = std::fs::read_to_string(path)
                    .map_err(|error| DeploymentError::Read(path.to_owned(), error))?;
                Self::parse(&text)
            }
        }
    }

    /// Parses a deployment from INI text.
    pub fn parse(text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text)?;
        let top = Section::find(&ini, "deployment")?;
        let pools = sections(&ini, "pool ").map(read_pool).collect::<Result<Vec<_>>>()?;
        let workspaces =
            sections(&ini, "workspace ").map(read_workspace).collect::<Result<Vec<_>>>()?;
        let pipelines = sections(&ini, "pipeline ")
            .map(|s| read_pipeline(&s, &pools))
            .collect::<Result<_>>()?;
        let deployment = Self {
            name: top.get("name")?,
            zones: top.text("zones")?.split_whitespace().map(str::to_owned).collect(),
            zone_delay: Span(top.get("zone-delay-us")?),
            near_delay: Span(top.get("near-delay-us")?),
            entries: top.positive("entries")?,
            load: top.get("load")?,
            bottleneck: top.pool("bottleneck", top.text("bottleneck")?, &pools)?,
            report_lag: Span::from_millis(top.get("report-lag-ms")?),
            swing: top.get("swing")?,
            swing_period: Span::from_secs(top.positive("swing-period-s")? as u64),
            repeat_share: top.get("repeats")?,
            faults: read_faults(&ini)?,
            pools,
            workspaces,
            pipelines,
        };
        deployment.validate(&top)?;
        Ok(deployment)
    }

    fn validate(&self, top: &Section<'_>) -> Result<()> {
        if self.zones.is_empty() {
            return Err(top.invalid_value("zones", ""));
        }
        if self.workspaces.is_empty() || self.pipelines.is_empty() || self.rate() <= 0.0 {
            return Err(top.invalid_value("bottleneck", "no pipeline brings work to the pool"));
        }
        Ok(())
    }

    /// Returns the mean arrival rate in requests per second.
    pub(crate) fn rate(&self) -> f64 {
        let weight: f64 = self.pipelines.iter().map(|p| p.weight).sum();
        let work: f64 = self
            .pipelines
            .iter()
            .map(|p| {
                p.weight / weight * p.stages.iter().map(|s| self.bottleneck_work(s)).sum::<f64>()
            })
            .sum();
        if work > 0.0 { self.load * self.capacity() / work } else { 0.0 }
    }

    /// Returns the work that the bottleneck pool does per second, in seconds of service time.
    pub(crate) fn capacity(&self) -> f64 {
        self.pools[self.bottleneck].capacity()
    }

    /// Returns the mean work of a stage on the bottleneck pool; 0 if it runs on another pool.
    fn bottleneck_work(&self, stage: &StageSpec) -> f64 {
        if stage.pool == self.bottleneck { stage.mean() } else { 0.0 }
    }

    /// Builds the bundle for the entries and sidecars.
    pub(crate) fn bundle(&self) -> Bundle {
        let pools = self.pools.iter().map(|pool| (pool.id(), self.pool(pool))).collect();
        let pipelines = self.pipelines.iter().map(|p| (p.id(), self.pipeline(p))).collect();
        let workspaces = self
            .workspaces
            .iter()
            .map(|w| (w.id(), Workspace { share: w.share, limit: 1_000_000 }))
            .collect();
        Bundle { version: Version(1), pools, pipelines, workspaces, operators: BTreeMap::new() }
    }

    fn pool(&self, pool: &PoolSpec) -> Pool {
        let servers = (0..pool.servers)
            .map(|i| BackendServer {
                id: pool.server(i),
                zone: self.zone(i),
                side: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                slots: pool.configured_slots(),
            })
            .collect();
        Pool { kind: pool.kind, servers, resume: false, extra: pool.extra }
    }

    /// Returns the availability zone of the i-th server or entry; they are assigned round-robin.
    pub(crate) fn zone(&self, i: usize) -> AvailabilityZone {
        AvailabilityZone::from(self.zones[i % self.zones.len()].as_str())
    }

    fn pipeline(&self, pipeline: &PipelineSpec) -> Pipeline {
        let stages = pipeline
            .stages
            .iter()
            .map(|stage| Stage {
                name: stage.name.clone(),
                pool: self.pools[stage.pool].id(),
                effect: stage.effect,
                path: String::new(),
                expected: stage.median,
            })
            .collect();
        Pipeline { deadline: pipeline.deadline, stages }
    }
}

impl PoolSpec {
    pub(crate) fn id(&self) -> PoolId {
        PoolId::from(self.name.as_str())
    }

    /// Returns the number of slots in the bundle, which may differ from the actual one.
    pub(crate) fn configured_slots(&self) -> u32 {
        (f64::from(self.slots) * self.slots_factor).max(1.0) as u32
    }

    pub(crate) fn server(&self, i: usize) -> ServerId {
        ServerId::from(format!("{}-{i:02}", self.name).as_str())
    }
}

impl PipelineSpec {
    pub(crate) fn id(&self) -> PipelineId {
        PipelineId::from(self.name.as_str())
    }

    /// Returns whether calls need an idempotency key, since a stage is not idempotent.
    pub(crate) fn needs_key(&self) -> bool {
        self.stages.iter().any(|stage| stage.effect == Effect::Once)
    }
}

impl WorkspaceSpec {
    pub(crate) fn id(&self) -> WorkspaceId {
        WorkspaceId::from(self.name.as_str())
    }
}

/// Section of the file; its name is used in error messages.
struct Section<'a> {
    name: &'a str,
    properties: &'a Properties,
}

impl<'a> Section<'a> {
    fn find(ini: &'a Ini, name: &'a str) -> Result<Self> {
        let properties = ini.section(Some(name)).ok_or_else(|| DeploymentError::Missing {
            section: name.to_owned(),
            key: String::new(),
        })?;
        Ok(Self { name, properties })
    }

    fn text(&self, key: &str) -> Result<&'a str> {
        self.properties.get(key).ok_or_else(|| DeploymentError::Missing {
            section: self.name.to_owned(),
            key: key.to_owned(),
        })
    }

    fn get<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.text(key)?;
        text.parse().map_err(|_| self.invalid_value(key, text))
    }

    fn positive(&self, key: &str) -> Result<usize> {
        let number: usize = self.get(key)?;
        if number == 0 { Err(self.invalid_value(key, "0")) } else { Ok(number) }
    }

    fn get_or<T: FromStr>(&self, key: &str, default: T) -> Result<T> {
        if self.properties.contains_key(key) { self.get(key) } else { Ok(default) }
    }

    fn pool(&self, key: &str, name: &str, pools: &[PoolSpec]) -> Result<usize> {
        pools.iter().position(|pool| pool.name == name).ok_or_else(|| self.invalid_value(key, name))
    }

    fn invalid_value(&self, key: &str, value: &str) -> DeploymentError {
        DeploymentError::Value {
            section: self.name.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
        }
    }

    /// Returns the part of the section name after its type, such as `models` for `[pool models]`.
    fn title(&self) -> String {
        self.name.split_once(' ').map_or("", |(_, title)| title).to_owned()
    }
}

fn sections<'a>(ini: &'a Ini, prefix: &'static str) -> impl Iterator<Item = Section<'a>> {
    ini.iter().filter_map(move |(name, properties)| {
        let name = name.filter(|name| name.starts_with(prefix))?;
        Some(Section { name, properties })
    })
}

#[expect(clippy::needless_pass_by_value)]
fn read_pool(section: Section<'_>) -> Result<PoolSpec> {
    let kind = match section.text("kind")? {
        "engine" => PoolKind::Engine,
        "service" => PoolKind::Service,
        other => return Err(section.invalid_value("kind", other)),
    };
    Ok(PoolSpec {
        name: section.title(),
        kind,
        servers: section.positive("servers")?,
        slots: section.positive("slots")? as u32,
        slots_factor: section.get_or("told", 1.0)?,
        slowdown: section.get_or("slowdown", 0.0)?,
        cache_size: section.get_or("cache", 0)?,
        hit_saving: section.get_or("gain", 0.0)?,
        stall_share: section.get_or("stall", 0.0)?,
        extra: section.get("extra")?,
    })
}

#[expect(clippy::needless_pass_by_value)]
fn read_workspace(section: Section<'_>) -> Result<WorkspaceSpec> {
    Ok(WorkspaceSpec {
        name: section.title(),
        share: section.positive("share")? as u32,
        weight: section.get("weight")?,
    })
}

fn read_pipeline(section: &Section<'_>, pools: &[PoolSpec]) -> Result<PipelineSpec> {
    let stages = section
        .properties
        .iter()
        .filter(|(key, _)| key.starts_with("stage-"))
        .map(|(key, text)| read_stage(section, key, text, pools))
        .collect::<Result<Vec<_>>>()?;
    if stages.is_empty() {
        return Err(section.invalid_value("stage-1", ""));
    }
    Ok(PipelineSpec {
        name: section.title(),
        deadline: Span::from_millis(section.get("deadline-ms")?),
        weight: section.get("weight")?,
        long: section.properties.get("long") == Some("yes"),
        stages,
    })
}

fn read_stage(
    section: &Section<'_>,
    key: &str,
    text: &str,
    pools: &[PoolSpec],
) -> Result<StageSpec> {
    let invalid = || section.invalid_value(key, text);
    let words: Vec<_> = text.split_whitespace().collect();
    let [name, pool, effect, median, sigma] = words[..] else { return Err(invalid()) };
    let effect = match effect {
        "idempotent" => Effect::Idempotent,
        "once" => Effect::Once,
        _ => return Err(invalid()),
    };
    Ok(StageSpec {
        name: name.to_owned(),
        pool: section.pool(key, pool, pools)?,
        effect,
        median: Span::from_millis(median.parse().map_err(|_| invalid())?),
        sigma: sigma.parse().map_err(|_| invalid())?,
    })
}

fn read_faults(ini: &Ini) -> Result<FaultSpec> {
    let section = Section::find(ini, "faults")?;
    Ok(FaultSpec {
        slowed_servers: section.get("slowed")?,
        slow_factor: section.get("factor")?,
        extra_lag: Span::from_secs(section.get("lag-s")?),
        crash_interval: Span::from_secs(section.positive("die-every-s")? as u64),
        downtime: Span::from_secs(section.get("down-s")?),
    })
}
