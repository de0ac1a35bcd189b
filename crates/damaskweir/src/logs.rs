//! Asynchronous logging in JSON or terminal format. Each line about a request has its id, workspace and
//! stage.

use slog::{Drain, Level, LevelFilter, Logger, o};
use std::io;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Coloured text for terminals.
    Terminal,
}

/// Stream that log lines are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Settings of the logger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: Level,
    /// Stream that log lines are written to.
    pub output: LogOutput,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: Level::Info, output: LogOutput::Stderr }
    }
}

/// Capacity of the queue to the writer thread, in lines. Further lines are dropped and counted, because
/// a slow terminal must not block requests.
const QUEUE_LINES: usize = 8_192;

/// Creates a logger that never blocks the logging thread. `process` is added to each line.
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

/// Maximum time that a process waits at exit for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Flushes queued lines when dropped, which must happen after all other loggers are dropped. If the
/// reader of the log has stopped, the remaining lines are discarded after a timeout, so that the process
/// can exit.
#[derive(Debug)]
pub struct FlushGuard(Option<Logger>);

impl FlushGuard {
    /// Holds a clone of a logger until the process exits.
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
            // The receiver is gone if the timeout has expired.
            sender.send(()).unwrap_or_default();
        });
        // The process exits whether or not all lines were written.
        receiver.recv_timeout(FLUSH_TIMEOUT).unwrap_or_default();
    }
}

/// Creates a logger that discards all lines, for tests and the demo.
pub fn quiet_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
