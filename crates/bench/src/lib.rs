//! Benchmark of the decision core in simulated time.
//!
//! Runs the production `Entry` and `Sidecar` state machines against simulated backend servers,
//! network and callers. The same seed gives byte-identical output.

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
use output::{Document, PolicyResults};
use pico_args::Arguments;
use std::path::PathBuf;

/// Help text of the command.
pub const USAGE: &str = "\
Usage: damaskweir bench [--deployment board|teranga|FILE] [--experiment NAME] [--seed N] [--seconds S]
    [--policy damaskweir|baseline] [--vs] [--format text|json] [--report DIR]
    [--without hedging|admission|jitter]
experiments: steady, swing, long-mix, overload, greedy, misfit, slowed, dying, storm; all of them
when none is named. --without turns one policy off, to measure what it brings

damaskweir bench capacity
    processor time and memory of the decision core by size, on this machine
";

/// Minimum run length in seconds; the surge and slowdown windows take up to a third of it.
const MIN_SECONDS: u64 = 6;

/// Error of the `bench` command.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// An option has no value or one that does not parse.
    #[error("{0}")]
    Option(#[from] pico_args::Error),
    /// The value of an option is not one of the allowed values.
    #[error("{option}: {value} is not one of {allowed}")]
    Value {
        /// Name of the option.
        option: &'static str,
        /// Value on the command line.
        value: String,
        /// Allowed values, comma-separated.
        allowed: &'static str,
    },
    /// The setup of the `spread` measurement, which simulates bundle distribution, failed.
    #[error("spread: {0}")]
    Spread(String),
    /// An argument or subcommand is unknown.
    #[error("unknown argument: {0}")]
    Unknown(String),
    /// The deployment could not be loaded.
    #[error("deployment: {0}")]
    Deployment(#[from] DeploymentError),
    /// The memory use of this process could not be read.
    #[error("capacity: {0}")]
    Capacity(#[from] std::io::Error),
    /// The results could not be serialized as JSON.
    #[error("output: {0}")]
    Json(#[from] serde_json::Error),
    /// The HTML report could not be generated or written.
    #[error("report: {0}")]
    Report(String),
}

impl BenchError {
    /// Returns whether the error is in the command line.
    pub fn is_usage(&self) -> bool {
        matches!(self, Self::Option(_) | Self::Value { .. } | Self::Unknown(_))
    }
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// JSON; the keys are documented in `docs/bench.md`.
    Json,
}

/// Named set of entry settings under which experiments run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedPolicy {
    /// Name printed in the output.
    pub name: &'static str,
    /// Settings of the entries; the sidecars run under the same policy.
    pub settings: EntrySettings,
}

impl NamedPolicy {
    /// Creates the policy with the default settings.
    pub fn damaskweir() -> Self {
        Self { name: "damaskweir", settings: EntrySettings::default() }
    }

    /// Creates the default policy with one feature disabled.
    fn without(feature: &str) -> Result<Self, BenchError> {
        let settings = EntrySettings::default();
        match feature {
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

    /// Creates the baseline policy, which other policies are compared with.
    pub fn baseline() -> Self {
        Self { name: "baseline", settings: EntrySettings::baseline() }
    }
}

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// Built-in deployment (`board` or `teranga`) or path of a deployment file.
    pub deployment: String,
    /// Experiments to run.
    pub experiments: Vec<Experiment>,
    /// Policies to run; if there are two, the output has the ratios of their measures.
    pub policies: Vec<NamedPolicy>,
    /// Seed of the generators of arrivals, network delays, faults and decisions.
    pub seed: u64,
    /// Length of the arrival period in simulated seconds.
    pub seconds: u64,
    /// Output format.
    pub format: Format,
    /// Directory for the HTML report.
    pub report: Option<PathBuf>,
}

impl Args {
    /// Parses the options of the command.
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
            policies: read_policies(&mut args)?,
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
            seconds: args.opt_value_from_str("--seconds")?.unwrap_or(60).max(MIN_SECONDS),
            format: read_format(&mut args)?,
            report: args.opt_value_from_str("--report")?,
        };
        match args.finish().first() {
            Some(extra) => Err(BenchError::Unknown(extra.to_string_lossy().into_owned())),
            None => Ok(parsed),
        }
    }
}

fn read_policies(args: &mut Arguments) -> Result<Vec<NamedPolicy>, BenchError> {
    if let Some(without) = args.opt_value_from_str::<_, String>("--without")? {
        return Ok(vec![NamedPolicy::without(&without)?]);
    }
    if args.contains("--vs") {
        return Ok(vec![NamedPolicy::damaskweir(), NamedPolicy::baseline()]);
    }
    match args.opt_value_from_str::<_, String>("--policy")?.as_deref() {
        None | Some("damaskweir") => Ok(vec![NamedPolicy::damaskweir()]),
        Some("baseline") => Ok(vec![NamedPolicy::baseline()]),
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

/// Runs the command with the arguments that follow `bench` and returns its output.
pub fn run(mut args: Arguments) -> Result<String, BenchError> {
    match args.subcommand()?.as_deref() {
        None => execute(&Args::parse(args)?),
        Some("capacity") => Ok(capacity::run()?),
        Some("spread") => spread::run(args),
        Some(other) => Err(BenchError::Unknown(other.to_owned())),
    }
}

/// Runs the experiments, writes the report if a directory is set and returns the output.
pub fn execute(args: &Args) -> Result<String, BenchError> {
    let deployment = Deployment::load(&args.deployment)?;
    let length = Span::from_secs(args.seconds);
    let policies: Vec<_> = args
        .policies
        .iter()
        .map(|policy| PolicyResults {
            policy: policy.name,
            experiments: args
                .experiments
                .iter()
                .map(|e| experiment::run(*e, &deployment, policy.settings, args.seed, length))
                .collect(),
        })
        .collect();
    let document = Document {
        deployment: deployment.name.clone(),
        seed: args.seed,
        seconds: args.seconds,
        ratios: output::policy_ratios(&policies),
        policies,
    };
    if let Some(directory) = &args.report {
        let page = report::render_page(&document).map_err(|e| BenchError::Report(e.to_string()))?;
        std::fs::create_dir_all(directory)
            .and_then(|()| std::fs::write(directory.join("index.html"), page))
            .map_err(|e| BenchError::Report(format!("{}: {e}", directory.display())))?;
    }
    match args.format {
        Format::Text => Ok(output::to_text(&document)),
        Format::Json => Ok(output::to_json(&document)?),
    }
}
