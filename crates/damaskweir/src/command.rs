//! Command-line interface: argument parsing, help texts and exit codes.

use crate::demo::{Demo, DemoError, DemoOptions};
use crate::entry::{EntryDaemon, EntryError, EntryOptions, seeded_rng};
use crate::load::{LoadError, LoadOptions, run_load};
use crate::logs::{FlushGuard, LogFormat, LogOutput, LogSettings, new_logger, quiet_logger};
use crate::platform::{PlatformError, PlatformOptions, run_platform_entry};
use crate::settings::{EntryConfig, SettingsError, SidecarConfig};
use crate::side::{SidecarDaemon, SidecarError};
use crate::spread::BundleSyncConfig;
use damaskweir_core::prelude::*;
use damaskweir_store::Client;
use pico_args::Arguments;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::future::Future;
use std::io::{Read as _, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code of a command that failed.
const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code for errors in a settings, bundle or scenario file; all of them are printed.
const EXIT_SETTINGS: u8 = 3;

const HELP: &str = "\
damaskweir - serving system for multi-stage model pipelines

Usage: damaskweir COMMAND [OPTIONS]

Commands:
  entry --config FILE    run an entry, which serves callers' requests
  side --config FILE     run the side process next to a backend server
  platform entry         run an entry on the users' platform
  explain ID [FILE...]   trace one request through the logs of platform entries
  demo [--serve]         run a complete deployment with stand-in servers in one process
  load --target URL      send HTTP load at a fixed rate to a loopback address
  bundle COMMAND         check, compare, approve and roll back bundles; show which are active where
  key new FILE           generate an operator's key
  bench [capacity]       measure the state machines in virtual time, or their own cost
  scenario run FILE...   run scripted test scenarios in virtual time
  soak [--seed N]        inject random faults into platform entry processes and check the results
  model check [--quick]  check the core protocol exhaustively for small sizes

Options of every command:
  --help                 print help
  --version              print the version

Exit codes:
  0  done, or drained after SIGTERM or SIGINT
  1  the command failed; the reason is on standard error
  2  the command line is invalid
  3  a settings, bundle or scenario file has errors; all of them are on standard error
The codes of 'bundle' are in docs/operators/bundles.md.
";

/// Names of all commands, from which a misspelled one gets a suggestion.
const COMMANDS: &[&str] = &[
    "entry", "side", "platform", "explain", "demo", "load", "bundle", "key", "bench", "scenario",
    "model", "soak",
];

const ENTRY_HELP: &str = "\
Usage: damaskweir entry --config FILE

Runs an entry until SIGTERM or SIGINT. It then drains: /ready fails, new requests are refused with
'draining', requests in progress finish, and the process exits.

The settings are described in docs/settings.md. Exit codes: damaskweir --help.
";

const SIDE_HELP: &str = "\
Usage: damaskweir side --config FILE

Runs the side process next to one backend server until SIGTERM or SIGINT. It then drains: new attempts
are refused, running attempts finish, and the process exits.

The settings are described in docs/settings.md. Exit codes: damaskweir --help.
";

const EXPLAIN_HELP: &str = "\
Usage: damaskweir explain ID [FILE...]

Reads log lines of platform entries from the files, or from standard input, prints all lines about the
request in chronological order, and summarizes in one sentence why it ended. Lines marked with * are about
the process, not the request. Pass the logs of all entries, because several of them may handle the stages
of a request.

Example: damaskweir explain 9c41d07be2a35f68 edge-*.log
docs/OPERATIONS.md shows three failures. Exits with 1 if no log line is about the request.
";

const PLATFORM_HELP: &str = "\
Usage: damaskweir platform entry [OPTIONS]

Runs an entry on the users' platform until SIGTERM or SIGINT. It then drains: readiness fails, requests in
progress finish, and the process exits within the platform's grace time. On SIGHUP it validates the
settings file again and logs whether a restart is needed.

Options:
  --config FILE          settings file (default: the path in DAMASKWEIR_CONFIG)
  --check                validate the settings, print all errors, and exit
  --metrics PORT         also serve /metrics on this port of the instance, besides the admin address
  --log-level LEVEL      info, warning or error (default info, which logs each decision; 'explain' needs
                         these lines)

Example: DAMASKWEIR_CONFIG=/etc/damaskweir/boot.conf damaskweir platform entry --metrics 9464
docs/platform.md describes the roles and how each handles failures. Exit codes: damaskweir --help.
";

const DEMO_HELP: &str = "\
Usage: damaskweir demo [OPTIONS]

Starts stand-ins for the store, engines and services, a side for each backend server and two entries on
ephemeral loopback ports, sends requests through them, prints each answer with its servers and stage
timings, and checks the answers. Exits with 1 and prints the reason if a check fails.

Options:
  --serve                keep the deployment running and print curl commands to try
  --engines N            number of model engines, 1 to 32 (default 3)
  --token-us N           time that an engine takes per token, in microseconds (default 2000)
  --verbose              write log lines to standard error
";

const LOAD_HELP: &str = "\
Usage: damaskweir load --target URL [OPTIONS]

Sends POST requests to a loopback IP address at a fixed rate that does not depend on answers (open loop),
and measures latency from the scheduled send time. Exits with 1 unless every request gets a complete
answer with status 200.

Options:
  --rate N               requests per second, 1 to 20000 (default 100)
  --seconds N            length of the measured run, 1 to 600 (default 10)
  --warmup N             seconds of load before the measured run, 0 to 600 (default 1)
  --flight N             maximum requests in flight, 1 to 4096 (default 512); further requests are counted as
                         skipped
  --body JSON            request body (default {\"prompt\": \"load\", \"max_tokens\": 1})
  --workspace NAME       workspace that the requests belong to (default kollam)
  --format text|json     format of the report (default text)
";

const SOAK_HELP: &str = "\
Usage: damaskweir soak [OPTIONS]

Starts platform entries as separate processes, with stand-ins for the store and backend servers, injects
faults into the processes, their connections and the store, and checks what callers and servers observe.
Prints one verdict per run, with the trace of the first violation. Ends only processes that it started.

Options:
  --seed N               seed of the first run, for faults and requests (default 1)
  --runs N               number of runs, each with the next seed (default 1)
  --jobs N               number of concurrent runs, 1 to 32 (default 1)
  --entries N            entry processes per run, 1 to 100 (default 3)
  --seconds N            seconds with faults, 1 to 3600 (default 16); 16 more follow without faults
  --no-limits            servers name no limits, as in runs of seeds from before they did
  --no-crashes           no prompt part crashes servers and no answer lacks a length, likewise
  --no-returns           the store never returns from a copy, likewise
  --no-announcements     servers say in no answer that they leave or want no requests, likewise
  --no-evacuations       no availability zone is evacuated and all servers are in one, likewise
  --no-cold              engines are never cold, likewise
  --broken WAY           add a defect on purpose, so that a check must fail
  --folder DIR           directory for settings and logs (default: the system's temporary directory)

Example: damaskweir soak --seed 100 --runs 50 --jobs 6
Exits with 1 if a check failed. docs/soak.md lists the faults, the checks and the values of --broken.
";

const SCENARIO_HELP: &str = "\
Usage: damaskweir scenario run FILE... [OPTIONS]

Runs scenarios on the state machines in virtual time. For each run, prints either that it passed, or the
failed expectations with the seed, the command to repeat the run and a trace. docs/scenarios.md describes
the language. Exits with 1 if a run fails and with 3 if a file can't be read or parsed.

Options:
  --seed N               seed (default 1)
  --seeds A..B           all seeds from A to B, inclusive
";

const MODEL_HELP: &str = "\
Usage: damaskweir model check [--quick]

Explores every order of messages, timers and faults for small sizes, and prints for each size the number
of states and whether it passed, or the shortest counterexample. docs/model.md describes the sizes. Exits
with 1 if a size does not pass.

Options:
  --quick                only the sizes that run in the tests
";

/// Reasons why a command fails.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{0}\ntry 'damaskweir --help'")]
    Usage(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    PlatformSettings(#[from] damaskweir_platform::SettingsError),
    #[error(transparent)]
    Platform(#[from] PlatformError),
    #[error(transparent)]
    Entry(#[from] EntryError),
    #[error(transparent)]
    Sidecar(#[from] SidecarError),
    #[error("demo: {0}")]
    Demo(#[from] DemoError),
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error("{0}")]
    InputFile(String),
    #[error("{0}")]
    Failure(String),
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl CommandError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Load(LoadError::Target | LoadError::Range(..)) => EXIT_USAGE,
            Self::Settings(_) | Self::PlatformSettings(_) | Self::InputFile(_) => EXIT_SETTINGS,
            Self::Platform(_)
            | Self::Entry(_)
            | Self::Sidecar(_)
            | Self::Demo(_)
            | Self::Load(_)
            | Self::Failure(_) => EXIT_FAILURE,
        }
    }
}

/// Runs the command given by `arguments`, which exclude the program name, and returns its exit code.
pub fn run(arguments: Vec<OsString>, out: &mut impl Write, err: &mut impl Write) -> u8 {
    let ended = if arguments.first().is_some_and(|word| word == "bundle" || word == "key") {
        run_operator_command(arguments, out, err)
    } else {
        dispatch(Arguments::from_vec(arguments), out).map(|()| 0)
    };
    match ended {
        Ok(code) => code,
        Err(error) => {
            // If standard error can't be written, the exit code still gives the kind of error.
            let _ = writeln!(err, "{error}");
            error.exit_code()
        }
    }
}

/// Runs an operator command (`bundle` or `key`). These have their own exit codes.
fn run_operator_command(
    arguments: Vec<OsString>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<u8, CommandError> {
    block_on(async { Ok(damaskweir_operators::run(arguments, out, err).await as u8) })
}

fn dispatch(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    let command = arguments.subcommand()?;
    if arguments.contains("--version") {
        return print(out, &format!("damaskweir {}\n", env!("CARGO_PKG_VERSION")));
    }
    let help = arguments.contains("--help");
    match command.as_deref() {
        Some("entry") if help => print(out, ENTRY_HELP),
        Some("entry") => entry(arguments),
        Some("side") if help => print(out, SIDE_HELP),
        Some("side") => side(arguments),
        Some("explain") if help => print(out, EXPLAIN_HELP),
        Some("explain") => explain(arguments, out),
        Some("platform") if help => print(out, PLATFORM_HELP),
        Some("platform") => platform(arguments, out),
        Some("demo") if help => print(out, DEMO_HELP),
        Some("demo") => demo(arguments, out),
        Some("bench") if help => print(out, damaskweir_bench::USAGE),
        Some("bench") => bench(arguments, out),
        Some("load") if help => print(out, LOAD_HELP),
        Some("load") => load(arguments, out),
        Some("scenario") if help => print(out, SCENARIO_HELP),
        Some("scenario") => scenario(arguments, out),
        Some("model") if help => print(out, MODEL_HELP),
        Some("model") => model(arguments, out),
        Some("soak") if help => print(out, SOAK_HELP),
        Some("soak") => soak(arguments, out),
        None if help => print(out, HELP),
        Some(other) => {
            let suggestion = damaskweir_core::nearest::nearest(other, COMMANDS);
            let hint =
                suggestion.map(|name| format!("; did you mean '{name}'?")).unwrap_or_default();
            Err(CommandError::Usage(format!("unknown command '{other}'{hint}")))
        }
        None => Err(CommandError::Usage("a command is required".to_owned())),
    }
}

fn scenario(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    if arguments.subcommand()?.as_deref() != Some("run") {
        return Err(CommandError::Usage("the only scenario command is 'scenario run'".to_owned()));
    }
    let seed: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let range = |text: &str| {
        let (from, to) = text.split_once("..").ok_or("a range of seeds has the form A..B")?;
        let parse =
            |text: &str| text.parse::<u64>().map_err(|_| "a seed must be a non-negative integer");
        Ok::<_, &str>((parse(from)?, parse(to)?))
    };
    let seeds = arguments.opt_value_from_fn("--seeds", range)?;
    let (from, to) = seeds.unwrap_or((seed.unwrap_or(1), seed.unwrap_or(1)));
    let mut failed = 0;
    for file in arguments.finish() {
        let name = file.to_string_lossy();
        let fault = |reason: String| CommandError::InputFile(format!("{name}: {reason}"));
        let text = std::fs::read_to_string(&file).map_err(|error| fault(error.to_string()))?;
        let scenario =
            damaskweir_scenario::parse(&text).map_err(|error| fault(error.to_string()))?;
        for seed in from..=to {
            let report = damaskweir_scenario::run(&scenario, seed);
            print(out, &format!("{name}: {report}\n"))?;
            if !report.failures.is_empty() {
                failed += 1;
                let repeat = format!("damaskweir scenario run {name} --seed {seed}");
                print(out, &format!("  repeat with: {repeat}\n"))?;
            }
        }
    }
    if failed > 0 {
        return Err(CommandError::Failure(format!("{failed} runs failed")));
    }
    Ok(())
}

fn model(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    if arguments.subcommand()?.as_deref() != Some("check") {
        return Err(CommandError::Usage("the only model command is 'model check'".to_owned()));
    }
    let quick = arguments.contains("--quick");
    reject_remaining(arguments)?;
    for size in damaskweir_model::Size::suite(quick) {
        let report = damaskweir_model::check(size, None);
        print(out, &format!("{report}\n"))?;
        if report.violation.is_some() || !report.complete {
            return Err(CommandError::Failure(format!("{size}: check failed or incomplete")));
        }
    }
    Ok(())
}

fn soak(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    let defaults = damaskweir_soak::Options::default();
    let first = arguments.opt_value_from_str("--seed")?.unwrap_or(defaults.seed);
    let runs: u64 = arguments.opt_value_from_str("--runs")?.unwrap_or(1);
    let jobs: usize = arguments.opt_value_from_str("--jobs")?.unwrap_or(1);
    let entries = arguments.opt_value_from_str("--entries")?.unwrap_or(defaults.entries);
    let seconds: u64 =
        arguments.opt_value_from_str("--seconds")?.unwrap_or(defaults.faults.as_secs());
    let broken: Option<String> = arguments.opt_value_from_str("--broken")?;
    let limits = !arguments.contains("--no-limits");
    let crashes = !arguments.contains("--no-crashes");
    let returns = !arguments.contains("--no-returns");
    let announcements = !arguments.contains("--no-announcements");
    let evacuations = !arguments.contains("--no-evacuations");
    let cold = !arguments.contains("--no-cold");
    let folder = arguments.opt_value_from_str("--folder")?.unwrap_or(defaults.folder);
    reject_remaining(arguments)?;
    let within = (1..=32).contains(&jobs) && (1..=100).contains(&entries);
    if !within || !(1..=3_600).contains(&seconds) || runs == 0 {
        return Err(CommandError::Usage(
            "an option is out of range; see 'damaskweir soak --help'".to_owned(),
        ));
    }
    let broken = match broken {
        None => None,
        Some(name) => Some(parse_broken(&name)?),
    };
    let seeds = Arc::new(Mutex::new(first..first.saturating_add(runs)));
    let (verdicts, results) = std::sync::mpsc::channel();
    for _ in 0..jobs {
        let (seeds, verdicts, folder) = (seeds.clone(), verdicts.clone(), folder.clone());
        std::thread::spawn(move || {
            // The lock is poisoned only if another worker panicked; this worker then stops as well.
            while let Some(seed) = seeds.lock().ok().and_then(|mut seeds| seeds.next()) {
                let faults = Duration::from_secs(seconds);
                let folder = folder.clone();
                let options = damaskweir_soak::Options {
                    seed,
                    entries,
                    faults,
                    limits,
                    crashes,
                    returns,
                    announcements,
                    evacuations,
                    cold,
                    defect: broken,
                    folder,
                };
                let verdict = damaskweir_soak::run(options);
                let completed = verdict.is_ok();
                if verdicts.send(verdict).is_err() || !completed {
                    return;
                }
            }
        });
    }
    drop(verdicts);
    let (mut passed, mut failure) = (0, None);
    // Waits for all runs even after a failure, so that their processes have ended.
    for verdict in results {
        match verdict {
            Ok(verdict) => {
                passed += u64::from(verdict.violation.is_none());
                print(out, &format!("{verdict}\n"))?;
            }
            Err(error) => failure = Some(CommandError::Failure(format!("soak: {error}"))),
        }
    }
    match failure {
        Some(failure) => Err(failure),
        None if passed == runs => Ok(()),
        None => Err(CommandError::Failure(format!("{passed} of {runs} runs passed"))),
    }
}

fn parse_broken(name: &str) -> Result<damaskweir_soak::Defect, CommandError> {
    let all = damaskweir_soak::Defect::ALL;
    let found = all.iter().copied().find(|way| way.name() == name);
    found.ok_or_else(|| {
        let names: Vec<_> = all.iter().map(|way| way.name()).collect();
        CommandError::Usage(format!("--broken must be one of: {}", names.join(", ")))
    })
}

fn explain(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    let id: String = arguments.free_from_str()?;
    let files = arguments.finish();
    let failure = |name: &str, error: std::io::Error| {
        CommandError::Failure(format!("{name} can't be read: {error}"))
    };
    let mut logs = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut logs);
        read.map_err(|error| failure("standard input", error))?;
    }
    for file in files {
        let name = file.to_string_lossy();
        logs.push_str(&std::fs::read_to_string(&file).map_err(|error| failure(&name, error))?);
        logs.push('\n');
    }
    match damaskweir_direct::explain::explain(&id, &logs) {
        Some(explanation) => print(out, &explanation.to_string()),
        None => Err(CommandError::Failure(format!("no log line is about request '{id}'"))),
    }
}

fn platform(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    if arguments.subcommand()?.as_deref() != Some("entry") {
        return Err(CommandError::Usage(
            "the only platform command is 'platform entry'".to_owned(),
        ));
    }
    let check = arguments.contains("--check");
    let metrics_port = arguments.opt_value_from_str("--metrics")?;
    let level: Option<String> = arguments.opt_value_from_str("--log-level")?;
    let level = level.map_or(Ok(slog::Level::Info), |name| log_level(&name))?;
    let configured =
        arguments.opt_value_from_os_str("--config", |path| Ok::<_, String>(PathBuf::from(path)))?;
    reject_remaining(arguments)?;
    let settings_path = configured
        .or_else(|| std::env::var_os(damaskweir_platform::SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| CommandError::Usage("--config FILE is required".to_owned()))?;
    let settings = damaskweir_platform::Settings::load(&settings_path)?;
    if check {
        return print(out, "settings are valid\n");
    }
    let logs = LogSettings { output: LogOutput::Stdout, level, ..LogSettings::default() };
    let log = new_logger(logs, &settings.setup.entry.name);
    let _guard = FlushGuard::new(&log);
    Ok(run_platform_entry(settings, PlatformOptions { settings_path, metrics_port }, log)?)
}

fn log_level(name: &str) -> Result<slog::Level, CommandError> {
    match name {
        "info" => Ok(slog::Level::Info),
        "warning" => Ok(slog::Level::Warning),
        "error" => Ok(slog::Level::Error),
        _ => Err(CommandError::Usage("--log-level must be info, warning or error".to_owned())),
    }
}

fn print(out: &mut impl Write, text: &str) -> Result<(), CommandError> {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|error| CommandError::Failure(format!("output can't be written: {error}")))
}

fn reject_remaining(arguments: Arguments) -> Result<(), CommandError> {
    let rest = arguments.finish();
    match rest.first() {
        None => Ok(()),
        Some(first) => {
            Err(CommandError::Usage(format!("unknown argument '{}'", first.to_string_lossy())))
        }
    }
}

fn config_path(arguments: &mut Arguments) -> Result<PathBuf, CommandError> {
    Ok(arguments.value_from_os_str("--config", |path| Ok::<_, String>(PathBuf::from(path)))?)
}

fn block_on<T>(task: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|error| CommandError::Failure(error.to_string()))?.block_on(task)
}

async fn wait_for_signal() -> Result<(), CommandError> {
    let failure = |error: std::io::Error| CommandError::Failure(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(failure)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failure)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn entry(mut arguments: Arguments) -> Result<(), CommandError> {
    let path = config_path(&mut arguments)?;
    reject_remaining(arguments)?;
    let file = EntryConfig::read(&path)?;
    let log = new_logger(file.logs, file.instance.as_str());
    let _guard = FlushGuard::new(&log);
    block_on(async {
        let (bundle, sync) = match &file.bundle {
            Some(path) => (read_bundle(path)?, None),
            None => {
                let store = file.store.clone().map(new_client).transpose()?;
                let (keys, seeds) = (file.operators.clone(), file.seeds.clone());
                (Arc::new(empty_bundle()), Some(BundleSyncConfig { keys, store, seeds }))
            }
        };
        let options = EntryOptions::from_config(file, bundle)?;
        let daemon = tokio::select! {
            daemon = EntryDaemon::start_with_sync(options, sync, log) => daemon?,
            // Startup may wait indefinitely for a bundle.
            stopped = wait_for_signal() => return stopped,
        };
        wait_for_signal().await?;
        Ok(daemon.drain().await?)
    })
}

fn side(mut arguments: Arguments) -> Result<(), CommandError> {
    let path = config_path(&mut arguments)?;
    reject_remaining(arguments)?;
    let file = SidecarConfig::read(&path)?;
    let log = new_logger(file.logs, file.server.as_str());
    let _guard = FlushGuard::new(&log);
    block_on(async {
        let sync = if file.operators.is_empty() {
            None
        } else {
            let store = file.store.clone().map(new_client).transpose()?;
            Some(BundleSyncConfig { keys: file.operators.clone(), store, seeds: BTreeMap::new() })
        };
        let options = file.into_options().map_err(SidecarError::from)?;
        let daemon = SidecarDaemon::start_with_sync(options, sync, log).await?;
        wait_for_signal().await?;
        daemon.drain().await;
        Ok(())
    })
}

fn bench(arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    let output = damaskweir_bench::run(arguments).map_err(|error| match error.is_usage() {
        true => CommandError::Usage(error.to_string()),
        false => CommandError::Failure(format!("bench: {error}")),
    })?;
    print(out, &output)
}

fn demo(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    let defaults = DemoOptions::default();
    let serve = arguments.contains("--serve");
    let verbose = arguments.contains("--verbose");
    let engines = arguments.opt_value_from_str("--engines")?.unwrap_or(defaults.engines);
    let token = arguments.opt_value_from_str("--token-us")?.map(Duration::from_micros);
    reject_remaining(arguments)?;
    if !(1..=32).contains(&engines) {
        return Err(CommandError::Usage("--engines must be from 1 to 32".to_owned()));
    }
    let options =
        DemoOptions { engines, token_time: token.unwrap_or(defaults.token_time), ..defaults };
    let log = if verbose {
        new_logger(LogSettings { format: LogFormat::Terminal, ..LogSettings::default() }, "demo")
    } else {
        quiet_logger()
    };
    block_on(async {
        let demo = Demo::start(options, &log).await?;
        demo.run(out).await?;
        if serve {
            demo.print_examples(out)?;
            wait_for_signal().await?;
        }
        demo.stop().await?;
        print(out, "demo: all checks passed\n")
    })
}

fn load(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    let target = arguments.value_from_fn("--target", reqwest::Url::parse)?;
    let body = r#"{"prompt": "load", "max_tokens": 1}"#.to_owned();
    let options = LoadOptions {
        target,
        rate: arguments.opt_value_from_str("--rate")?.unwrap_or(100),
        seconds: arguments.opt_value_from_str("--seconds")?.unwrap_or(10),
        warmup: arguments.opt_value_from_str("--warmup")?.unwrap_or(1),
        in_flight: arguments.opt_value_from_str("--flight")?.unwrap_or(512),
        body: arguments.opt_value_from_str("--body")?.unwrap_or(body),
        workspace: arguments
            .opt_value_from_str("--workspace")?
            .unwrap_or_else(|| "kollam".to_owned()),
    };
    let format: String =
        arguments.opt_value_from_str("--format")?.unwrap_or_else(|| "text".to_owned());
    reject_remaining(arguments)?;
    let json = match format.as_str() {
        "text" => false,
        "json" => true,
        _ => return Err(CommandError::Usage("--format must be text or json".to_owned())),
    };
    let report = block_on(async { Ok(run_load(&options).await?) })?;
    let text = if json {
        let text = serde_json::to_string(&report);
        text.map_err(|error| CommandError::Failure(error.to_string()))? + "\n"
    } else {
        report.to_string()
    };
    print(out, &text)?;
    if report.is_clean() {
        Ok(())
    } else {
        Err(CommandError::Failure(
            "not every request got a complete answer with status 200".to_owned(),
        ))
    }
}

fn new_client(settings: damaskweir_store::Settings) -> Result<Client, CommandError> {
    Ok(Client::new(settings, seeded_rng()?).map_err(EntryError::from)?)
}

/// Placeholder bundle of an entry that has not received its first bundle.
fn empty_bundle() -> Bundle {
    Bundle {
        version: Version(0),
        pools: BTreeMap::new(),
        pipelines: BTreeMap::new(),
        workspaces: BTreeMap::new(),
        operators: BTreeMap::new(),
    }
}

fn read_bundle(path: &Path) -> Result<Arc<Bundle>, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::Failure(format!("{}: {error}", path.display())))?;
    let parsed = damaskweir_bundle::parse(&path.display().to_string(), &text);
    let mut bundle = parsed.map_err(|findings| {
        let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
        CommandError::InputFile(lines.join("\n"))
    })?;
    // A bundle file carries no version, so it gets the lowest one; 0 stands for no bundle.
    bundle.version = Version(1);
    Ok(Arc::new(bundle))
}
