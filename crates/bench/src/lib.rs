//! Bench of the decision core in virtual time.
//!
//! The real `Entry` and `Sidecar` state machines run against small stand-ins. The same seed gives the
//! same output to the byte.

mod arrival;
mod backend;
mod capacity;
mod deployment;
mod experiment;
mod output;
mod report;
mod spread;
mod store;
mod summary;
mod tally;
mod world;

pub use deployment::{Deployment, DeploymentError};
pub use experiment::{EXPERIMENTS, Experiment};

use damaskweir_core::entry::EntrySettings;
use damaskweir_core::retry::BackoffKind;
use damaskweir_core::time::Span;
use output::{Document, PolicyFindings};
use pico_args::Arguments;
use std::path::PathBuf;

/// Options of the command, for its help text.
pub const USAGE: &str = "\
Usage: damaskweir bench [--deployment board|teranga|FILE] [--experiment NAME] [--seed N] [--seconds S]
    [--policy damaskweir|baseline] [--vs] [--format text|json] [--report DIR]
    [--without hedging|admission|jitter]
experiments: steady, swing, long-mix, overload, greedy, misfit, slowed, dying, storm; all of them
when none is named. --without turns one policy off, to measure what it brings

damaskweir bench capacity
    processor time and memory of the decision core by size, on this machine
";

/// Shortest run; the overload and slowdown windows are a third of it.
const SECONDS_MIN: u64 = 6;

/// What went wrong before or after the runs.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// An option can't be used.
    #[error("{0}")]
    Option(#[from] pico_args::Error),
    /// An option has a value that is not in its set.
    #[error("{option}: {value} is not one of {allowed}")]
    Value {
        /// Option.
        option: &'static str,
        /// Value given.
        value: String,
        /// What it may be.
        allowed: &'static str,
    },
    /// The measurement of the spread of bundles can't be set up.
    #[error("spread: {0}")]
    Spread(String),
    /// Arguments were left over.
    #[error("unknown argument: {0}")]
    Unknown(String),
    /// The deployment can't be used.
    #[error("deployment: {0}")]
    Deployment(#[from] DeploymentError),
    /// The sizes of this process can't be read.
    #[error("capacity: {0}")]
    Capacity(#[from] std::io::Error),
    /// JSON can't be written.
    #[error("output: {0}")]
    Json(#[from] serde_json::Error),
    /// The report can't be written.
    #[error("report: {0}")]
    Report(String),
}

impl BenchError {
    /// Whether the command line can't be read.
    pub fn is_usage(&self) -> bool {
        matches!(self, Self::Option(_) | Self::Value { .. } | Self::Unknown(_))
    }
}

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs; the keys are in `docs/bench.md`.
    Json,
}

/// A policy with its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contender {
    /// Name in the output.
    pub name: &'static str,
    /// Settings of its entries; its sides run under the same policy.
    pub settings: EntrySettings,
}

impl Contender {
    /// The policies of damaskweir.
    pub fn damaskweir() -> Self {
        Self { name: "damaskweir", settings: EntrySettings::default() }
    }

    /// damaskweir with one policy turned off.
    fn without(what: &str) -> Result<Self, BenchError> {
        let settings = EntrySettings::default();
        match what {
            "hedging" => {
                let settings = EntrySettings { hedging: false, ..settings };
                Ok(Self { name: "without hedging", settings })
            }
            "admission" => {
                let settings = EntrySettings { admission: false, ..settings };
                Ok(Self { name: "without admission", settings })
            }
            "jitter" => {
                let settings = EntrySettings { backoff: BackoffKind::Exponential, ..settings };
                Ok(Self { name: "without jitter", settings })
            }
            other => Err(BenchError::Value {
                option: "--without",
                value: other.to_owned(),
                allowed: "hedging, admission, jitter",
            }),
        }
    }

    /// The baseline.
    pub fn baseline() -> Self {
        Self { name: "baseline", settings: EntrySettings::baseline() }
    }
}

/// What to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// `board`, `teranga` or a file.
    pub deployment: String,
    /// Experiments to run.
    pub experiments: Vec<Experiment>,
    /// Policies to run; two are compared.
    pub contenders: Vec<Contender>,
    /// Seed of arrivals, network, faults and decisions.
    pub seed: u64,
    /// Virtual seconds of arrivals.
    pub seconds: u64,
    /// Format of the output.
    pub format: Format,
    /// Directory for the HTML page.
    pub report: Option<PathBuf>,
}

impl Args {
    /// Reads the command's options.
    pub fn parse(mut args: Arguments) -> Result<Self, BenchError> {
        let experiments = match args.opt_value_from_str::<_, String>("--experiment")? {
            None => EXPERIMENTS.to_vec(),
            Some(name) => match Experiment::find(&name) {
                Some(experiment) => vec![experiment],
                None => {
                    let allowed =
                        "steady, swing, long-mix, overload, greedy, misfit, slowed, dying, storm";
                    return Err(BenchError::Value { option: "--experiment", value: name, allowed });
                }
            },
        };
        let parsed = Self {
            deployment: args
                .opt_value_from_str("--deployment")?
                .unwrap_or_else(|| "board".to_owned()),
            experiments,
            contenders: read_contenders(&mut args)?,
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
            seconds: args.opt_value_from_str("--seconds")?.unwrap_or(60).max(SECONDS_MIN),
            format: read_format(&mut args)?,
            report: args.opt_value_from_str("--report")?,
        };
        match args.finish().first() {
            Some(left) => Err(BenchError::Unknown(left.to_string_lossy().into_owned())),
            None => Ok(parsed),
        }
    }
}

fn read_contenders(args: &mut Arguments) -> Result<Vec<Contender>, BenchError> {
    if let Some(without) = args.opt_value_from_str::<_, String>("--without")? {
        return Ok(vec![Contender::without(&without)?]);
    }
    if args.contains("--vs") {
        return Ok(vec![Contender::damaskweir(), Contender::baseline()]);
    }
    match args.opt_value_from_str::<_, String>("--policy")?.as_deref() {
        None | Some("damaskweir") => Ok(vec![Contender::damaskweir()]),
        Some("baseline") => Ok(vec![Contender::baseline()]),
        Some(other) => Err(BenchError::Value {
            option: "--policy",
            value: other.to_owned(),
            allowed: "damaskweir, baseline",
        }),
    }
}

fn read_format(args: &mut Arguments) -> Result<Format, BenchError> {
    match args.opt_value_from_str::<_, String>("--format")?.as_deref() {
        None | Some("text") => Ok(Format::Text),
        Some("json") => Ok(Format::Json),
        Some(other) => Err(BenchError::Value {
            option: "--format",
            value: other.to_owned(),
            allowed: "text, json",
        }),
    }
}

/// Runs the command and returns its output; the arguments are those after `bench`.
pub fn run(mut args: Arguments) -> Result<String, BenchError> {
    match args.subcommand()?.as_deref() {
        None => execute(&Args::parse(args)?),
        Some("capacity") => Ok(capacity::run()?),
        Some("spread") => spread::run(args),
        Some(other) => Err(BenchError::Unknown(other.to_owned())),
    }
}

/// Runs the experiments, writes the report if asked for and returns the output.
pub fn execute(args: &Args) -> Result<String, BenchError> {
    let deployment = Deployment::load(&args.deployment)?;
    let length = Span::from_secs(args.seconds);
    let policies: Vec<_> = args
        .contenders
        .iter()
        .map(|contender| PolicyFindings {
            policy: contender.name,
            experiments: args
                .experiments
                .iter()
                .map(|e| experiment::run(*e, &deployment, contender.settings, args.seed, length))
                .collect(),
        })
        .collect();
    let document = Document {
        deployment: deployment.name.clone(),
        seed: args.seed,
        seconds: args.seconds,
        ratios: output::compare(&policies),
        policies,
    };
    if let Some(directory) = &args.report {
        let page = report::page(&document).map_err(|e| BenchError::Report(e.to_string()))?;
        std::fs::create_dir_all(directory)
            .and_then(|()| std::fs::write(directory.join("index.html"), page))
            .map_err(|e| BenchError::Report(format!("{}: {e}", directory.display())))?;
    }
    match args.format {
        Format::Text => Ok(output::text(&document)),
        Format::Json => Ok(output::json(&document)?),
    }
}
