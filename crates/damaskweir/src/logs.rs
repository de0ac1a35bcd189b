//! Log lines: JSON or terminal, each with the request id, workspace and stage that it is about.

use slog::{Drain, Level, LevelFilter, Logger, o};
use std::io;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Coloured text.
    Terminal,
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Settings of logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least important level that is written.
    pub level: Level,
    /// Where the lines go.
    pub output: LogOutput,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: Level::Info, output: LogOutput::Stderr }
    }
}

/// Lines that may wait for the writer; more are dropped and counted, since a slow terminal must not
/// hold up requests.
const QUEUE_LINES: usize = 8_192;

/// A logger that never blocks its callers.
pub fn new_logger(settings: LogSettings, process: &str) -> Logger {
    let drain = match settings.format {
        LogFormat::Json => {
            let writer: Box<dyn io::Write + Send> = match settings.output {
                LogOutput::Stdout => Box::new(io::stdout()),
                LogOutput::Stderr => Box::new(io::stderr()),
            };
            let json = slog_json::Json::new(writer).add_default_keys().build().fuse();
            slog_async::Async::new(json).chan_size(QUEUE_LINES).build()
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new();
            let decorator = match settings.output {
                LogOutput::Stdout => decorator.stdout().build(),
                LogOutput::Stderr => decorator.stderr().build(),
            };
            let text = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(text).chan_size(QUEUE_LINES).build()
        }
    };
    let drain = LevelFilter::new(drain, settings.level).fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}

/// Time for the last lines to be written when a process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Writes the last lines of a process when it is dropped, after all other loggers. A reader that has stopped
/// would hold up the end of the process; after a while the rest is given up.
#[derive(Debug)]
pub struct FlushGuard(Option<Logger>);

impl FlushGuard {
    /// Keeps a logger until the process ends.
    pub fn new(logger: &Logger) -> Self {
        Self(Some(logger.clone()))
    }
}

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let logger = self.0.take();
        let (sender, receiver) = sync_channel(1);
        std::thread::spawn(move || {
            drop(logger);
            // The process may have gone on already.
            sender.send(()).unwrap_or_default();
        });
        // Whether the lines were written or not, the process ends now.
        receiver.recv_timeout(FLUSH_TIMEOUT).unwrap_or_default();
    }
}

/// A logger that writes nothing, for tests and the demo.
pub fn quiet_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
