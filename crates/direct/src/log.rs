//! Log lines of decisions, in a closed set, within a budget.

use slog::{KV, Logger, Record, Serializer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use tokio::time::{Duration, Instant};

/// Lines of one second; further ones are counted by kind and told in one line each.
const MAX_LINES_PER_SECOND: u32 = 300;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal)*) => {
        /// What a line is about.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Kind {
            $($(#[$doc])* $name,)*
        }

        impl Kind {
            /// All kinds.
            pub const ALL: &[Kind] = &[$(Kind::$name),*];

            /// Its name in the lines.
            pub fn name(self) -> &'static str {
                match self {
                    $(Kind::$name => $text,)*
                }
            }
        }
    };
}

kinds! {
    /// The process has started.
    Started = "started"
    /// The process stops taking requests.
    Draining = "draining"
    /// The process ends.
    Stopped = "stopped"
    /// The settings were read again.
    Reloaded = "reloaded"
    /// A dependency does not answer.
    DependencyLost = "dependency_lost"
    /// A dependency answers again.
    DependencyRegained = "dependency_regained"
    /// A configuration is in force.
    CatalogApplied = "catalog_taken"
    /// A configuration or record can't be used.
    Unusable = "unusable"
    /// What is known was confirmed too long ago.
    ConfigStale = "config_stale"
    /// What is known is confirmed again.
    ConfigConfirmed = "config_confirmed"
    /// A backend server may be used.
    ServerUp = "server_up"
    /// A backend server gets no new work.
    ServerLeaving = "server_leaving"
    /// A backend server is gone.
    ServerGone = "server_gone"
    /// The list of entries changed.
    EntriesChanged = "entries"
    /// A request was taken.
    Admitted = "admitted"
    /// A request was refused and has not run.
    Refused = "refused"
    /// Pieces of one stage of a request are done or failed.
    StageDone = "stage_done"
    /// A call with pieces of several requests ended.
    StageCall = "stage_call"
    /// A call to a stage's server broke, or results could not be given back.
    StageFailed = "stage_fault"
    /// A request was sent to a backend server.
    Sent = "sent"
    /// A backend server broke off, or did not answer.
    AttemptFailed = "broken"
    /// A request goes to another backend server.
    Retried = "retried"
    /// A stream goes on at another backend server.
    Resumed = "resumed"
    /// A request got a whole answer.
    Answered = "answered"
    /// A request failed; it may have run.
    Failed = "failed"
    /// An answer was broken off.
    Aborted = "cut"
    /// The caller left before the answer was whole.
    CallerLeft = "caller_left"
    /// Lines that were left out.
    LinesOmitted = "lines_omitted"
}

impl Kind {
    /// Whether it is the one final line of a request.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Self::Answered | Self::Refused | Self::Failed | Self::Aborted | Self::CallerLeft
        )
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.name() == name)
    }
}

/// A value in a line.
#[derive(Clone, Copy, Debug)]
pub enum Value<'a> {
    /// Text.
    Text(&'a str),
    /// A number; the key names its unit.
    Number(u64),
}

impl<'a> From<&'a str> for Value<'a> {
    fn from(text: &'a str) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for Value<'_> {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

struct Fields<'a>(&'a [(&'static str, Value<'a>)]);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        for (key, value) in self.0 {
            match value {
                Value::Text(text) => serializer.emit_str(key, text)?,
                Value::Number(number) => serializer.emit_u64(key, *number)?,
            }
        }
        Ok(())
    }
}

/// Writes lines within a budget. The writer behind the logger must not block.
#[derive(Debug)]
pub struct Log {
    logger: Logger,
    window_start: Cell<Option<Instant>>,
    lines: Cell<u32>,
    omitted: RefCell<BTreeMap<Kind, u64>>,
}

impl Log {
    /// Writes to this logger.
    pub fn new(logger: Logger) -> Self {
        let (window_start, lines) = (Cell::new(None), Cell::new(0));
        Self { logger, window_start, lines, omitted: RefCell::default() }
    }

    /// Writes a line about a request.
    pub fn request(&self, kind: Kind, id: &str, fields: &[(&'static str, Value<'_>)]) {
        if self.admit_line(kind) {
            slog::info!(self.logger, "{}", kind.name(); "request" => id, Fields(fields));
        }
    }

    /// Writes a line about the process or what it believes.
    pub fn process(&self, kind: Kind, fields: &[(&'static str, Value<'_>)]) {
        if self.admit_line(kind) {
            slog::info!(self.logger, "{}", kind.name(); Fields(fields));
        }
    }

    fn admit_line(&self, kind: Kind) -> bool {
        let now = Instant::now();
        if self.window_start.get().is_none_or(|at| now - at >= Duration::from_secs(1)) {
            self.window_start.set(Some(now));
            self.lines.set(0);
            for (kind, count) in std::mem::take(&mut *self.omitted.borrow_mut()) {
                let fields = [("kind", kind.name().into()), ("count", count.into())];
                slog::info!(self.logger, "{}", Kind::LinesOmitted.name(); Fields(&fields));
            }
        }
        let lines = self.lines.get() + 1;
        self.lines.set(lines);
        // Failures keep their lines: they are what one looks for afterwards.
        let kept = matches!(
            kind,
            Kind::Failed | Kind::Aborted | Kind::DependencyLost | Kind::DependencyRegained
        );
        let allowed = kept || lines <= MAX_LINES_PER_SECOND;
        if !allowed {
            *self.omitted.borrow_mut().entry(kind).or_default() += 1;
        }
        allowed
    }
}
