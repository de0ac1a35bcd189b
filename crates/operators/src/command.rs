//! Command-line interface for operators.

use crate::approve::{Accepted, ApprovalRequest, ApproveError, approve, rollback};
use crate::history::load_history;
use crate::source::{LoadError, load_content, load_current};
use crate::status::load_status;
use damaskweir_bundle::{SecretKey, diff, parse};
use damaskweir_core::prelude::*;
use damaskweir_store::{Client, Settings, StoreError};
use pico_args::Arguments;
use rand_core::SeedableRng;
use std::ffi::OsString;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Time after which the commit of an approval is not retried any more.
const APPROVAL_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of one call to the store.
const STORE_CALL_TIMEOUT: Span = Span::from_secs(2);
/// Number of records that `history` shows by default.
const DEFAULT_HISTORY_RECORDS: u64 = 20;

const USAGE: &str = "usage:
  damaskweir bundle check FILE
  damaskweir bundle diff FILE FILE
  damaskweir bundle diff FILE --store URL
  damaskweir bundle approve FILE --seen VERSION --reason TEXT --key KEYFILE --store URL
  damaskweir bundle rollback VERSION --seen VERSION --reason TEXT --key KEYFILE --store URL
  damaskweir bundle status --store URL
  damaskweir bundle history [--last N | --all] --store URL
  damaskweir key new KEYFILE
--store may be given more than once; --seen 0 means that no bundle is in force";

const CHECK_HELP: &str = "\
Usage: damaskweir bundle check FILE

Reads a bundle file and prints all of its faults, or a summary of its content.

Example: damaskweir bundle check board.ini
";
const DIFF_HELP: &str = "\
Usage: damaskweir bundle diff FILE FILE
       damaskweir bundle diff FILE --store URL

Prints what the second bundle changes; with a store, what FILE would change of the bundle in force.

Example: damaskweir bundle diff board.ini --store http://127.0.0.1:7000
";
const APPROVE_HELP: &str = "\
Usage: damaskweir bundle approve FILE --seen VERSION --reason TEXT --key KEYFILE --store URL

Signs a bundle and puts it in force as the next version, unless another approval came after --seen.

Options:
  --seen VERSION         version that the change is made against; 0 if there is none
  --reason TEXT          why, for the audit trail
  --key KEYFILE          the operator's key
  --store URL            the store; may be given more than once

Example: damaskweir bundle approve board.ini --seen 7 --reason 'more slots' --key me.key --store URL
";
const ROLLBACK_HELP: &str = "\
Usage: damaskweir bundle rollback VERSION --seen VERSION --reason TEXT --key KEYFILE --store URL

Puts the content of an earlier version in force as the next version.
Takes the same options as 'bundle approve'.

Example: damaskweir bundle rollback 6 --seen 7 --reason 'slower' --key me.key --store URL
";
const STATUS_HELP: &str = "\
Usage: damaskweir bundle status --store URL

Prints the version in force and which instances have it.

Example: damaskweir bundle status --store http://127.0.0.1:7000
";
const HISTORY_HELP: &str = "\
Usage: damaskweir bundle history [--last N | --all] --store URL

Prints the audit trail and checks its signatures: the last 20 records, the last N, or all.

Example: damaskweir bundle history --last 5 --store http://127.0.0.1:7000
";
const KEY_HELP: &str = "\
Usage: damaskweir key new KEYFILE

Creates an operator key, writes it to a file that must not exist yet, and prints the public key.

Example: damaskweir key new me.key
";
const EXIT_CODES_HELP: &str = "
Exit codes:
  0  done           1  refused       2  command line     3  faults in the file
  4  another approval came first     5  store            6  unknown if accepted
  7  the audit trail is damaged
";

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded. For an approval or rollback: the bundle was accepted.
    Done = 0,
    /// The command was refused because of an unreadable file, the key or the reason. Nothing was
    /// accepted.
    Refused = 1,
    /// The command line is invalid. Nothing was done.
    Usage = 2,
    /// The bundle file is invalid; all faults are printed. Nothing was accepted.
    InvalidBundle = 3,
    /// Another approval was accepted first. This one was not accepted.
    Conflict = 4,
    /// The store can't be reached or read. Nothing was accepted.
    Store = 5,
    /// It is unknown whether the approval was accepted. `bundle status` shows it.
    OutcomeUnknown = 6,
    /// The audit trail is damaged.
    Damaged = 7,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

#[derive(Debug, Error)]
enum CommandError {
    #[error("{0}\n{USAGE}")]
    Usage(String),
    #[error("{0}")]
    Refused(String),
    #[error("{0}: {1} faults")]
    InvalidBundle(String, usize),
    #[error("{0}")]
    Approve(#[from] ApproveError),
    #[error("{0}")]
    Load(#[from] LoadError),
    #[error("{0}")]
    Output(#[from] io::Error),
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        Self::Load(error.into())
    }
}

impl CommandError {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Refused(_) | Self::Output(_) => Exit::Refused,
            Self::InvalidBundle(..) => Exit::InvalidBundle,
            Self::Approve(error) => match error {
                ApproveError::Conflict { .. } => Exit::Conflict,
                ApproveError::OutcomeUnknown { .. } => Exit::OutcomeUnknown,
                ApproveError::UnknownKey(_) | ApproveError::Manifest(_) => Exit::Refused,
                ApproveError::Load(error) => load_exit(error),
            },
            Self::Load(error) => load_exit(error),
        }
    }
}

fn load_exit(error: &LoadError) -> Exit {
    match error {
        LoadError::UnknownVersion(_) | LoadError::Content(_) => Exit::Refused,
        LoadError::Store(_) | LoadError::Manifest(_) | LoadError::InvalidSection(_) => Exit::Store,
    }
}

/// Runs a `bundle` or `key` command. Results are written to `output`, errors to `errors`.
pub async fn run(arguments: Vec<OsString>, output: &mut dyn Write, errors: &mut dyn Write) -> Exit {
    match dispatch(Arguments::from_vec(arguments), output).await {
        Ok(exit) => exit,
        Err(error) => {
            // If standard error can't be written, the exit code still reports the failure.
            let _ = writeln!(errors, "{error}");
            error.exit()
        }
    }
}

/// Returns the help text of a command, or the usage of all commands if only a group is given.
fn help_text(group: &str, command: &str) -> Result<String, CommandError> {
    let text = match (group, command) {
        ("bundle", "check") => CHECK_HELP,
        ("bundle", "diff") => DIFF_HELP,
        ("bundle", "approve") => APPROVE_HELP,
        ("bundle", "rollback") => ROLLBACK_HELP,
        ("bundle", "status") => STATUS_HELP,
        ("bundle", "history") => HISTORY_HELP,
        ("key", "new") => KEY_HELP,
        ("bundle" | "key", "") => return Ok(format!("{USAGE}\n")),
        _ => return Err(unknown_command(group, command)),
    };
    Ok(text.to_owned())
}

/// Creates the error for an unknown command, with a suggestion if a known name is similar.
fn unknown_command(group: &str, command: &str) -> CommandError {
    const COMMANDS: &[&str] = &["check", "diff", "approve", "rollback", "status", "history", "new"];
    let suggestion = damaskweir_core::nearest::nearest(command, COMMANDS);
    let hint = suggestion.map(|name| format!("; did you mean '{name}'?")).unwrap_or_default();
    CommandError::Usage(format!("unknown command '{group} {command}'{hint}"))
}

async fn dispatch(mut arguments: Arguments, output: &mut dyn Write) -> Result<Exit, CommandError> {
    let group = arguments.subcommand()?.unwrap_or_default();
    let command = arguments.subcommand()?.unwrap_or_default();
    if arguments.contains("--help") {
        write!(output, "{}{EXIT_CODES_HELP}", help_text(&group, &command)?)?;
        return Ok(Exit::Done);
    }
    match (group.as_str(), command.as_str()) {
        ("bundle", "check") => run_check(arguments, output),
        ("bundle", "diff") => run_diff(arguments, output).await,
        ("bundle", "approve") => run_approve(arguments, output).await,
        ("bundle", "rollback") => run_rollback(arguments, output).await,
        ("bundle", "status") => run_status(arguments, output).await,
        ("bundle", "history") => run_history(arguments, output).await,
        ("key", "new") => run_new_key(arguments, output),
        _ => Err(unknown_command(&group, &command)),
    }
}

fn path_argument(arguments: &mut Arguments) -> Result<PathBuf, CommandError> {
    Ok(arguments.free_from_os_str(|text| Ok::<_, String>(PathBuf::from(text)))?)
}

fn reject_remaining(arguments: Arguments) -> Result<(), CommandError> {
    match arguments.finish().as_slice() {
        [] => Ok(()),
        [first, ..] => Err(CommandError::Usage(format!("unknown argument {first:?}"))),
    }
}

fn read_bundle(path: &Path, output: &mut dyn Write) -> Result<Bundle, CommandError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::Refused(format!("{name}: {error}")))?;
    parse(&name, &text).or_else(|findings| {
        for finding in &findings {
            writeln!(output, "{finding}")?;
        }
        Err(CommandError::InvalidBundle(name.clone(), findings.len()))
    })
}

fn run_check(mut arguments: Arguments, output: &mut dyn Write) -> Result<Exit, CommandError> {
    let path = path_argument(&mut arguments)?;
    reject_remaining(arguments)?;
    let bundle = read_bundle(&path, output)?;
    let servers: usize = bundle.pools.values().map(|pool| pool.servers.len()).sum();
    writeln!(
        output,
        "{}: no faults; {} pipelines, {} pools, {servers} servers, {} workspaces, {} operators",
        path.display(),
        bundle.pipelines.len(),
        bundle.pools.len(),
        bundle.workspaces.len(),
        bundle.operators.len()
    )?;
    Ok(Exit::Done)
}

async fn run_diff(mut arguments: Arguments, output: &mut dyn Write) -> Result<Exit, CommandError> {
    let client = optional_store_client(&mut arguments)?;
    let after = path_argument(&mut arguments)?;
    let (before, after) = match client {
        Some(client) => {
            reject_remaining(arguments)?;
            let after = read_bundle(&after, output)?;
            let Some(current) = load_current(&client).await? else {
                writeln!(output, "no bundle was ever accepted; approve this one with --seen 0")?;
                return Ok(Exit::Done);
            };
            let (_, before) = load_content(&client, &current.record).await?;
            let version = before.version;
            writeln!(output, "against version {version}; approve with --seen {version}")?;
            (Bundle::clone(&before), after)
        }
        None => {
            let second = path_argument(&mut arguments)?;
            reject_remaining(arguments)?;
            let before = read_bundle(&after, output)?;
            (before, read_bundle(&second, output)?)
        }
    };
    let changes = diff(&before, &after);
    for change in &changes {
        writeln!(output, "{change}")?;
    }
    writeln!(output, "{} changes", changes.len())?;
    Ok(Exit::Done)
}

struct SigningOptions {
    client: Client,
    key: SecretKey,
    base_version: Version,
    reason: String,
}

impl SigningOptions {
    fn read(arguments: &mut Arguments) -> Result<Self, CommandError> {
        let client = store_client(arguments)?;
        let path: String = arguments.value_from_str("--key")?;
        let seen: u64 = arguments.value_from_str("--seen")?;
        let reason: String = arguments.value_from_str("--reason")?;
        // Error messages must not contain any part of the key file.
        let text = std::fs::read_to_string(&path)
            .map_err(|error| CommandError::Refused(format!("{path}: {error}")))?;
        let key = SecretKey::from_file_text(&text)
            .map_err(|error| CommandError::Refused(format!("{path}: {error}")))?;
        Ok(Self { client, key, base_version: Version(seen), reason })
    }

    fn request(&self) -> ApprovalRequest<'_> {
        let timestamp =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        ApprovalRequest {
            key: &self.key,
            base_version: self.base_version,
            reason: &self.reason,
            timestamp,
            timeout: APPROVAL_TIMEOUT,
        }
    }
}

async fn run_approve(
    mut arguments: Arguments,
    output: &mut dyn Write,
) -> Result<Exit, CommandError> {
    let options = SigningOptions::read(&mut arguments)?;
    let path = path_argument(&mut arguments)?;
    reject_remaining(arguments)?;
    let bundle = read_bundle(&path, output)?;
    let accepted = approve(&options.client, &options.request(), &bundle).await?;
    print_accepted(&accepted, output)
}

async fn run_rollback(
    mut arguments: Arguments,
    output: &mut dyn Write,
) -> Result<Exit, CommandError> {
    let options = SigningOptions::read(&mut arguments)?;
    let to: u64 = arguments.free_from_str()?;
    reject_remaining(arguments)?;
    let accepted = rollback(&options.client, &options.request(), Version(to)).await?;
    print_accepted(&accepted, output)
}

fn print_accepted(accepted: &Accepted, output: &mut dyn Write) -> Result<Exit, CommandError> {
    let Accepted { version, record, author, unchanged, superseded_by } = accepted;
    if *unchanged {
        writeln!(
            output,
            "version {version} by {author} already has this content; record {record}"
        )?;
    } else {
        writeln!(output, "accepted: version {version} by {author}; record {record}")?;
    }
    if let Some(later) = superseded_by {
        writeln!(output, "version {later} has replaced it since")?;
    }
    Ok(Exit::Done)
}

async fn run_status(
    mut arguments: Arguments,
    output: &mut dyn Write,
) -> Result<Exit, CommandError> {
    let client = store_client(&mut arguments)?;
    reject_remaining(arguments)?;
    write!(output, "{}", load_status(&client).await?)?;
    Ok(Exit::Done)
}

async fn run_history(
    mut arguments: Arguments,
    output: &mut dyn Write,
) -> Result<Exit, CommandError> {
    let client = store_client(&mut arguments)?;
    let all = arguments.contains("--all");
    let last: Option<u64> = arguments.opt_value_from_str("--last")?;
    reject_remaining(arguments)?;
    if all && last.is_some() {
        return Err(CommandError::Usage("--all and --last can't be combined".to_owned()));
    }
    let last = if all { None } else { Some(last.unwrap_or(DEFAULT_HISTORY_RECORDS)) };
    let history = load_history(&client, last).await?;
    for entry in &history.entries {
        writeln!(output, "{entry}")?;
    }
    for error in &history.errors {
        writeln!(output, "DAMAGED: {error}")?;
    }
    Ok(if history.errors.is_empty() { Exit::Done } else { Exit::Damaged })
}

fn run_new_key(mut arguments: Arguments, output: &mut dyn Write) -> Result<Exit, CommandError> {
    let path = path_argument(&mut arguments)?;
    reject_remaining(arguments)?;
    let refused = |text: String| CommandError::Refused(format!("{}: {text}", path.display()));
    let key = SecretKey::generate().map_err(|error| refused(error.to_string()))?;
    let mut options = std::fs::OpenOptions::new();
    // An existing key is never overwritten.
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
    let mut file = options.open(&path).map_err(|error| refused(error.to_string()))?;
    file.write_all(key.to_file_text().as_bytes()).map_err(|error| refused(error.to_string()))?;
    writeln!(output, "{}: new key; its public key is", path.display())?;
    writeln!(output, "key = {}", key.public_key())?;
    Ok(Exit::Done)
}

fn store_client(arguments: &mut Arguments) -> Result<Client, CommandError> {
    optional_store_client(arguments)?
        .ok_or_else(|| CommandError::Usage("the option --store is required".to_owned()))
}

fn optional_store_client(arguments: &mut Arguments) -> Result<Option<Client>, CommandError> {
    let endpoints: Vec<String> = arguments.values_from_str("--store")?;
    let Some(first) = endpoints.first() else { return Ok(None) };
    let mut settings = Settings::new(first);
    settings.endpoints =
        endpoints.iter().map(|endpoint| endpoint.trim_end_matches('/').to_owned()).collect();
    settings.timeout = STORE_CALL_TIMEOUT;
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(|error| CommandError::Refused(error.to_string()))?;
    Ok(Some(Client::new(settings, Rng::from_seed(seed))?))
}
