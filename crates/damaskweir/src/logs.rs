//! Log lines: JSON or terminal, each with the request id, workspace and stage that it is about.

use slog::{Drain, Level, LevelFilter, Logger, o};
use std::io;

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    /// One JSON object per line.
    Json,
    /// Coloured text.
    Terminal,
}

/// Settings of logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of the lines.
    pub form: LogForm,
    /// Least important level that is written.
    pub level: Level,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { form: LogForm::Json, level: Level::Info }
    }
}

/// Lines that may wait for the writer; more are dropped and counted, since a slow terminal must not
/// hold up requests.
const QUEUE: usize = 8_192;

/// A logger that writes to standard error.
pub fn new_logger(settings: LogSettings, process: &str) -> Logger {
    let drain = match settings.form {
        LogForm::Json => {
            let json = slog_json::Json::new(io::stderr()).add_default_keys().build().fuse();
            slog_async::Async::new(json).chan_size(QUEUE).build()
        }
        LogForm::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let text = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(text).chan_size(QUEUE).build()
        }
    };
    let drain = LevelFilter::new(drain, settings.level).fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}

/// A logger that writes nothing, for tests and the demo.
pub fn quiet_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
