//! The command line.

use crate::demo::{Demo, DemoError, DemoOptions};
use crate::entry::{EntryDaemon, EntryError, EntryOptions, seeded_rng};
use crate::load::{LoadError, LoadOptions, run_load};
use crate::logs::{FlushGuard, LogFormat, LogOutput, LogSettings, new_logger, quiet_logger};
use crate::platform::{PlatformError, PlatformOptions, run_platform_entry};
use crate::settings::{EntryConfig, SettingsError, SideConfig};
use crate::side::{SideDaemon, SideError};
use crate::spread::SpreadSetup;
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

/// The command could not do its work.
const FAILURE: u8 = 1;
/// The command line can't be read.
const USAGE: u8 = 2;
/// A settings or bundle file has faults; all of them are printed.
const SETTINGS: u8 = 3;

const HELP: &str = "\
damaskweir - serving system for multi-stage model pipelines

Usage: damaskweir COMMAND [OPTIONS]

Commands:
  entry --config FILE    run an entry: takes callers' requests
  side --config FILE     run the side process next to a backend server
  platform entry         run an entry on the users' platform
  explain ID [FILE...]   tell the life of one request from the logs of platform entries
  demo [--serve]         run a whole deployment with stand-ins in this process
  load --target URL      send bounded load to a loopback address
  bundle COMMAND         check, compare, approve and roll back bundles; see who has which
  key new FILE           make an operator's key
  bench [capacity]       measure the decision core in virtual time, or its own cost
  scenario run FILE...   run scripted scenarios in virtual time
  soak [--seed N]        play random faults on real platform entries and check what callers see
  model check [--quick]  explore the core protocol exhaustively for small sizes

Options of every command:
  --help                 print help
  --version              print the version

Exit codes:
  0  done, or drained after SIGTERM or SIGINT
  1  the command could not do its work; the reason is on standard error
  2  the command line can't be read
  3  a settings or bundle file has faults; all of them are on standard error
The codes of 'bundle' are in docs/operators/bundles.md.
";

/// All commands, for suggestions.
const COMMANDS: &[&str] = &[
    "entry", "side", "platform", "explain", "demo", "load", "bundle", "key", "bench", "scenario",
    "model", "soak",
];

const ENTRY_HELP: &str = "\
Usage: damaskweir entry --config FILE

Runs an entry until SIGTERM or SIGINT. Then /ready fails, new requests are refused with 'draining',
requests in progress finish, and the process exits.

The settings are described in docs/settings.md. Exit codes: damaskweir --help.
";

const SIDE_HELP: &str = "\
Usage: damaskweir side --config FILE

Runs the side process next to one backend server until SIGTERM or SIGINT. Then new attempts are refused,
those that run finish, and the process exits.

The settings are described in docs/settings.md. Exit codes: damaskweir --help.
";

const EXPLAIN_HELP: &str = "\
Usage: damaskweir explain ID [FILE...]

Reads log lines of platform entries from the files, or from standard input, prints all lines about the
request in the order of time, and the cause of its end in one sentence. Lines marked with * are about the
process, not the request. Give the logs of all entries: a request's stages are worked on by several.

Example: damaskweir explain 9c41d07be2a35f68 edge-*.log
docs/OPERATIONS.md shows three failures. Exits with 1 if no line is about the request.
";

const PLATFORM_HELP: &str = "\
Usage: damaskweir platform entry [OPTIONS]

Runs an entry on the users' platform until SIGTERM or SIGINT. Then readiness fails, requests in progress
finish, and the process exits within the platform's grace time. SIGHUP reads the settings again.

Options:
  --config FILE          settings of the platform (default: the path in DAMASKWEIR_CONFIG)
  --check                read the settings, print all faults, and exit
  --metrics PORT         serve /metrics on this port of the instance, beside the admin address
  --log-level LEVEL      info, warning or error (default info: a line for each decision; without them, failed
                         requests can't be explained)

Example: DAMASKWEIR_CONFIG=/etc/damaskweir/boot.conf damaskweir platform entry --metrics 9464
docs/platform.md describes the roles and what each does when something fails. Exit codes: damaskweir --help.
";

const DEMO_HELP: &str = "\
Usage: damaskweir demo [OPTIONS]

Starts stand-ins of a store, engines and services, a side next to each backend server and two entries on
loopback ports that the system picks, sends requests through them, prints each answer, the stage timings
and the servers, and checks the answers. Exits with 1 and the reason when anything is wrong.

Options:
  --serve                keep everything up and print curl lines to try
  --engines N            model engines, 1 to 32 (default 3)
  --token-us N           time of a token at an engine in microseconds (default 2000)
  --verbose              write log lines to standard error
";

const LOAD_HELP: &str = "\
Usage: damaskweir load --target URL [OPTIONS]

Sends POST requests at a fixed rate to an IP address of the loopback interface, whether or not answers
come back, and counts latency from the intended send time. Exits with 1 unless each request got a
complete answer with status 200.

Options:
  --rate N               requests per second, 1 to 20000 (default 100)
  --seconds N            length of the run, 1 to 600 (default 10)
  --warmup N             seconds before that do not count, 0 to 600 (default 1)
  --flight N             requests in flight, 1 to 4096 (default 512); more are not sent but counted
  --body JSON            body (default {\"prompt\": \"load\", \"max_tokens\": 1})
  --workspace NAME       workspace of the caller (default kollam)
  --format text|json     form of the report (default text)
";

const SOAK_HELP: &str = "\
Usage: damaskweir soak [OPTIONS]

Starts platform entries as processes of their own between stand-ins of the store and of backend servers,
strikes them, their connections and the store with faults, and checks what callers and servers see. Prints
one verdict for each run, with the trace of the first broken promise. Ends only processes that it started.

Options:
  --seed N               first seed; draws faults and requests (default 1)
  --runs N               runs, each with the next seed (default 1)
  --jobs N               runs at the same time, 1 to 32 (default 1)
  --entries N            entry processes of each run, 1 to 100 (default 3)
  --seconds N            time in which faults strike, 1 to 3600 (default 16); 16 more follow without any
  --broken WAY           break the program on purpose: a check must fail
  --folder DIR           where settings and logs go (default: the system's folder for temporary files)

Example: damaskweir soak --seed 100 --runs 50 --jobs 6
Exits with 1 if a promise was broken. docs/soak.md lists the faults, the promises and the ways to break.
";

const SCENARIO_HELP: &str = "\
Usage: damaskweir scenario run FILE... [OPTIONS]

Runs scenarios on the decision core in virtual time and prints pass, or what was not met with the seed, the
command to repeat and a trace. docs/scenarios.md describes the language. Exits with 1 if a run fails and
with 3 if a file can't be read.

Options:
  --seed N               seed (default 1)
  --seeds A..B           all seeds from A to B, both included
";

const MODEL_HELP: &str = "\
Usage: damaskweir model check [--quick]

Explores every order of messages, timers and faults for small sizes and prints each size, its states, and
pass or the shortest counterexample. docs/model.md describes the sizes. Exits with 1 on a counterexample.

Options:
  --quick                only the sizes that run in the tests
";

/// Why a command ended.
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
    Side(#[from] SideError),
    #[error("demo: {0}")]
    Demo(#[from] DemoError),
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error("{0}")]
    Bundle(String),
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
            Self::Usage(_) | Self::Load(LoadError::Target | LoadError::Range(..)) => USAGE,
            Self::Settings(_) | Self::PlatformSettings(_) | Self::Bundle(_) => SETTINGS,
            Self::Platform(_)
            | Self::Entry(_)
            | Self::Side(_)
            | Self::Demo(_)
            | Self::Load(_)
            | Self::Failure(_) => FAILURE,
        }
    }
}

/// Runs the command that the arguments name and returns its exit code.
pub fn run(arguments: Vec<OsString>, out: &mut impl Write, err: &mut impl Write) -> u8 {
    let ended = if arguments.first().is_some_and(|word| word == "bundle" || word == "key") {
        operate(arguments, out, err)
    } else {
        dispatch(Arguments::from_vec(arguments), out).map(|()| 0)
    };
    match ended {
        Ok(code) => code,
        Err(error) => {
            // Without standard error, the exit code still tells the kind of fault.
            let _ = writeln!(err, "{error}");
            error.exit_code()
        }
    }
}

/// Operators' commands, which have exit codes of their own.
fn operate(
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
            let meant = damaskweir_core::nearest::nearest(other, COMMANDS);
            let hint = meant.map(|name| format!("; did you mean '{name}'?")).unwrap_or_default();
            Err(CommandError::Usage(format!("unknown command '{other}'{hint}")))
        }
        None => Err(CommandError::Usage("a command is required".to_owned())),
    }
}

fn scenario(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    if arguments.subcommand()?.as_deref() != Some("run") {
        return Err(CommandError::Usage("'scenario run' is the only scenario command".to_owned()));
    }
    let seed: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let range = |text: &str| {
        let (from, to) = text.split_once("..").ok_or("a range is written A..B")?;
        let parse = |text: &str| text.parse::<u64>().map_err(|_| "a seed is a number");
        Ok::<_, &str>((parse(from)?, parse(to)?))
    };
    let seeds = arguments.opt_value_from_fn("--seeds", range)?;
    let (from, to) = seeds.unwrap_or((seed.unwrap_or(1), seed.unwrap_or(1)));
    let mut failed = 0;
    for file in arguments.finish() {
        let name = file.to_string_lossy();
        let fault = |reason: String| CommandError::Bundle(format!("{name}: {reason}"));
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
        return Err(CommandError::Usage("'model check' is the only model command".to_owned()));
    }
    let quick = arguments.contains("--quick");
    finish(arguments)?;
    for size in damaskweir_model::Size::listed(quick) {
        let report = damaskweir_model::check(size, None);
        print(out, &format!("{report}\n"))?;
        if report.violation.is_some() || !report.complete {
            return Err(CommandError::Failure(format!("{size}: not passed")));
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
    let folder = arguments.opt_value_from_str("--folder")?.unwrap_or(defaults.folder);
    finish(arguments)?;
    let within = (1..=32).contains(&jobs) && (1..=100).contains(&entries);
    if !within || !(1..=3_600).contains(&seconds) || runs == 0 {
        return Err(CommandError::Usage(
            "a value is out of its bounds; see soak --help".to_owned(),
        ));
    }
    let broken = match broken {
        None => None,
        Some(name) => Some(way_to_break(&name)?),
    };
    let seeds = Arc::new(Mutex::new(first..first.saturating_add(runs)));
    let (verdicts, arrived) = std::sync::mpsc::channel();
    for _ in 0..jobs {
        let (seeds, verdicts, folder) = (seeds.clone(), verdicts.clone(), folder.clone());
        std::thread::spawn(move || {
            // A lock is only poisoned if another run has panicked, which ends this one as well.
            while let Some(seed) = seeds.lock().ok().and_then(|mut seeds| seeds.next()) {
                let faults = Duration::from_secs(seconds);
                let folder = folder.clone();
                let options =
                    damaskweir_soak::Options { seed, entries, faults, defect: broken, folder };
                let verdict = damaskweir_soak::run(options);
                let works = verdict.is_ok();
                if verdicts.send(verdict).is_err() || !works {
                    return;
                }
            }
        });
    }
    drop(verdicts);
    let (mut kept, mut failure) = (0, None);
    // All runs are waited for, so that their processes have ended.
    for verdict in arrived {
        match verdict {
            Ok(verdict) => {
                kept += u64::from(verdict.violation.is_none());
                print(out, &format!("{verdict}\n"))?;
            }
            Err(error) => failure = Some(CommandError::Failure(format!("soak: {error}"))),
        }
    }
    match failure {
        Some(failure) => Err(failure),
        None if kept == runs => Ok(()),
        None => Err(CommandError::Failure(format!("{kept} of {runs} runs kept all promises"))),
    }
}

fn way_to_break(name: &str) -> Result<damaskweir_soak::Defect, CommandError> {
    let all = damaskweir_soak::Defect::ALL;
    let found = all.iter().copied().find(|way| way.name() == name);
    found.ok_or_else(|| {
        let names: Vec<_> = all.iter().map(|way| way.name()).collect();
        CommandError::Usage(format!("--broken takes one of: {}", names.join(", ")))
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
        None => Err(CommandError::Failure(format!("no line is about request '{id}'"))),
    }
}

fn platform(mut arguments: Arguments, out: &mut impl Write) -> Result<(), CommandError> {
    if arguments.subcommand()?.as_deref() != Some("entry") {
        return Err(CommandError::Usage(
            "'platform entry' is the only platform command".to_owned(),
        ));
    }
    let check = arguments.contains("--check");
    let metrics = arguments.opt_value_from_str("--metrics")?;
    let level: Option<String> = arguments.opt_value_from_str("--log-level")?;
    let level = level.map_or(Ok(slog::Level::Info), |name| log_level(&name))?;
    let named =
        arguments.opt_value_from_os_str("--config", |path| Ok::<_, String>(PathBuf::from(path)))?;
    finish(arguments)?;
    let path = named
        .or_else(|| std::env::var_os(damaskweir_platform::SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| CommandError::Usage("--config FILE is required".to_owned()))?;
    let settings = damaskweir_platform::Settings::load(&path)?;
    if check {
        return print(out, "settings are good\n");
    }
    let logs = LogSettings { output: LogOutput::Stdout, level, ..LogSettings::default() };
    let log = new_logger(logs, &settings.setup.entry.name);
    let _last = FlushGuard::new(&log);
    Ok(run_platform_entry(settings, PlatformOptions { path, metrics }, log)?)
}

fn log_level(name: &str) -> Result<slog::Level, CommandError> {
    match name {
        "info" => Ok(slog::Level::Info),
        "warning" => Ok(slog::Level::Warning),
        "error" => Ok(slog::Level::Error),
        _ => Err(CommandError::Usage("--log-level takes info, warning or error".to_owned())),
    }
}

fn print(out: &mut impl Write, text: &str) -> Result<(), CommandError> {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|error| CommandError::Failure(format!("output can't be written: {error}")))
}

fn finish(arguments: Arguments) -> Result<(), CommandError> {
    let rest = arguments.finish();
    match rest.first() {
        None => Ok(()),
        Some(first) => {
            Err(CommandError::Usage(format!("unknown argument '{}'", first.to_string_lossy())))
        }
    }
}

fn config(arguments: &mut Arguments) -> Result<PathBuf, CommandError> {
    Ok(arguments.value_from_os_str("--config", |path| Ok::<_, String>(PathBuf::from(path)))?)
}

fn block_on<T>(task: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|error| CommandError::Failure(error.to_string()))?.block_on(task)
}

async fn wait_for_stop() -> Result<(), CommandError> {
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
    let path = config(&mut arguments)?;
    finish(arguments)?;
    let file = EntryConfig::read(&path)?;
    let log = new_logger(file.logs, file.instance.as_str());
    let _last = FlushGuard::new(&log);
    block_on(async {
        let (bundle, spread) = match &file.bundle {
            Some(path) => (read_bundle(path)?, None),
            None => {
                let store = file.store.clone().map(new_client).transpose()?;
                let (keys, seeds) = (file.operators.clone(), file.seeds.clone());
                (Arc::new(empty_bundle()), Some(SpreadSetup { keys, store, seeds }))
            }
        };
        let options = EntryOptions::from_config(file, bundle)?;
        let daemon = tokio::select! {
            daemon = EntryDaemon::start_spread(options, spread, log) => daemon?,
            // It may wait for a bundle.
            stopped = wait_for_stop() => return stopped,
        };
        wait_for_stop().await?;
        Ok(daemon.drain().await?)
    })
}

fn side(mut arguments: Arguments) -> Result<(), CommandError> {
    let path = config(&mut arguments)?;
    finish(arguments)?;
    let file = SideConfig::read(&path)?;
    let log = new_logger(file.logs, file.server.as_str());
    let _last = FlushGuard::new(&log);
    block_on(async {
        let spread = if file.operators.is_empty() {
            None
        } else {
            let store = file.store.clone().map(new_client).transpose()?;
            Some(SpreadSetup { keys: file.operators.clone(), store, seeds: BTreeMap::new() })
        };
        let options = file.into_options().map_err(SideError::from)?;
        let daemon = SideDaemon::start_spread(options, spread, log).await?;
        wait_for_stop().await?;
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
    finish(arguments)?;
    if !(1..=32).contains(&engines) {
        return Err(CommandError::Usage("--engines must be from 1 to 32".to_owned()));
    }
    let options = DemoOptions { engines, token: token.unwrap_or(defaults.token), ..defaults };
    let log = if verbose {
        new_logger(LogSettings { format: LogFormat::Terminal, ..LogSettings::default() }, "demo")
    } else {
        quiet_logger()
    };
    block_on(async {
        let demo = Demo::start(options, &log).await?;
        demo.run(out).await?;
        if serve {
            demo.print_help(out)?;
            wait_for_stop().await?;
        }
        demo.stop().await?;
        print(out, "demo: all answers are right\n")
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
        flight: arguments.opt_value_from_str("--flight")?.unwrap_or(512),
        body: arguments.opt_value_from_str("--body")?.unwrap_or(body),
        workspace: arguments
            .opt_value_from_str("--workspace")?
            .unwrap_or_else(|| "kollam".to_owned()),
    };
    let format: String =
        arguments.opt_value_from_str("--format")?.unwrap_or_else(|| "text".to_owned());
    finish(arguments)?;
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
        Err(CommandError::Failure("not each request got an answer with status 200".to_owned()))
    }
}

fn new_client(settings: damaskweir_store::Settings) -> Result<Client, CommandError> {
    Ok(Client::new(settings, seeded_rng()?).map_err(EntryError::from)?)
}

/// What an entry has before its first bundle.
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
        CommandError::Bundle(lines.join("\n"))
    })?;
    // A file has no version; anything that an operator approves is higher.
    bundle.version = Version(1);
    Ok(Arc::new(bundle))
}
