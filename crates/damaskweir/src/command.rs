//! The command line.

use crate::entry::{EntryDaemon, EntryError, EntryOptions};
use crate::logs::new_logger;
use crate::settings::{EntryFile, SettingsError};
use damaskweir_core::prelude::*;
use pico_args::Arguments;
use std::ffi::OsString;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
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

Options of every command:
  --help                 print help
  --version              print the version

Exit codes:
  0  done, or drained after SIGTERM or SIGINT
  1  the command could not do its work; the reason is on standard error
  2  the command line can't be read
  3  a settings or bundle file has faults; all of them are on standard error
";

const ENTRY_HELP: &str = "\
Usage: damaskweir entry --config FILE

Runs an entry until SIGTERM or SIGINT. Then /ready fails, new requests are refused with 'draining',
requests in progress finish, and the process exits.

The settings are described in docs/settings.md. Exit codes: damaskweir --help.
";

/// Why a command ended.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{0}\ntry 'damaskweir --help'")]
    Usage(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Entry(#[from] EntryError),
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
            Self::Usage(_) => USAGE,
            Self::Settings(_) | Self::Bundle(_) => SETTINGS,
            Self::Entry(_) | Self::Failure(_) => FAILURE,
        }
    }
}

/// Runs the command that the arguments name.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn dispatch(mut arguments: Arguments) -> Result<(), CommandError> {
    let command = arguments.subcommand()?;
    if arguments.contains("--version") {
        println!("damaskweir {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let help = arguments.contains("--help");
    match command.as_deref() {
        Some("entry") if help => print(ENTRY_HELP),
        Some("entry") => entry(arguments),
        None if help => print(HELP),
        Some(other) => Err(CommandError::Usage(format!("unknown command '{other}'"))),
        None => Err(CommandError::Usage("a command is required".to_owned())),
    }
}

fn print(text: &str) -> Result<(), CommandError> {
    print!("{text}");
    Ok(())
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
    let file = EntryFile::read(&path)?;
    let log = new_logger(file.logs, file.instance.as_str());
    block_on(async {
        let bundle = read_bundle(&file.bundle)?;
        let options = EntryOptions::from_file(file, bundle)?;
        let daemon = EntryDaemon::start(options, log).await?;
        wait_for_stop().await?;
        Ok(daemon.drain().await?)
    })
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
