//! Structured logging of decisions, with a fixed set of event kinds and a rate limit.

use slog::{KV, Logger, Record, Serializer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use tokio::time::{Duration, Instant};

/// Log lines written per second. Lines beyond it are counted and reported as one summary line per
/// kind.
const MAX_LINES_PER_SECOND: u32 = 300;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal)*) => {
        /// The event that a log line reports.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Kind {
            $($(#[$doc])* $name,)*
        }

        impl Kind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &[Kind] = &[$(Kind::$name),*];

            /// The kind's name in the `msg` field.
            pub fn name(self) -> &'static str {
                match self {
                    $(Kind::$name => $text,)*
                }
            }
        }
    };
}

kinds! {
    /// The process started.
    Started = "started"
    /// The process began to drain.
    Draining = "draining"
    /// The process is about to exit.
    Stopped = "stopped"
    /// The settings file was read again.
    Reloaded = "reloaded"
    /// A dependency stopped responding.
    DependencyLost = "dependency_lost"
    /// A dependency responds again.
    DependencyRegained = "dependency_regained"
    /// The store returned with an older state; later changes are lost.
    StoreRestored = "store_restored"
    /// A new configuration took effect.
    CatalogApplied = "catalog_taken"
    /// A configuration was not applied, since the one in force is later.
    CatalogIgnored = "catalog_ignored"
    /// A configuration or record is invalid and was ignored.
    Unusable = "unusable"
    /// The store last confirmed the local state longer ago than the apply limit.
    ConfigStale = "config_stale"
    /// The local state is confirmed again after it was stale.
    ConfigConfirmed = "config_confirmed"
    /// A backend server became available.
    ServerUp = "server_up"
    /// A backend server is leaving and gets no new work.
    ServerLeaving = "server_leaving"
    /// The record of a backend server is missing, and the server is kept for now.
    ServerMissing = "server_missing"
    /// A backend server was removed.
    ServerGone = "server_gone"
    /// A backend server crashed while it had requests of this entry.
    ServerCrashed = "server_crashed"
    /// Requests with a prompt part are refused because it crashes servers.
    PartQuarantined = "part_quarantined"
    /// Requests with a prompt part are no longer refused, because one was answered.
    PartCleared = "part_cleared"
    /// A backend server asked for a time without requests.
    ServerBackoff = "server_backoff"
    /// A backend server that had asked for time answers requests again.
    ServerBackoffEnded = "server_backoff_ended"
    /// A backend server named a limit for requests, or changed it.
    ServerLimited = "server_limited"
    /// A backend server no longer names a limit.
    ServerUnlimited = "server_unlimited"
    /// A backend server is cold and gets few requests.
    ServerCold = "server_cold"
    /// A backend server that was cold gets any number of requests.
    ServerWarm = "server_warm"
    /// The list of entries changed.
    EntriesChanged = "entries"
    /// The servers of an availability zone get no new work.
    ZoneEvacuated = "zone_evacuated"
    /// The evacuation of an availability zone was withdrawn.
    ZoneRestored = "zone_restored"
    /// A request was admitted.
    Admitted = "admitted"
    /// A request was refused and did not run.
    Refused = "refused"
    /// A group of pieces of one stage of a request finished or failed.
    StageDone = "stage_done"
    /// A batched call to a stage's server ended.
    StageCall = "stage_call"
    /// A call to a stage's server failed, or stored results could not be released.
    StageFailed = "stage_fault"
    /// A request was sent to a backend server.
    Sent = "sent"
    /// An attempt at a backend server failed or timed out.
    AttemptFailed = "broken"
    /// A request is retried at another backend server.
    Retried = "retried"
    /// A stream resumed at another backend server.
    Resumed = "resumed"
    /// A request received a complete response.
    Answered = "answered"
    /// A request failed after it may have run.
    Failed = "failed"
    /// A response was aborted before it was complete.
    Aborted = "cut"
    /// The caller disconnected before the response was complete.
    CallerLeft = "caller_left"
    /// Lines were dropped by the rate limit.
    LinesOmitted = "lines_omitted"
}

impl Kind {
    /// Whether this is the final line of a request; each request has exactly one.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Self::Answered | Self::Refused | Self::Failed | Self::Aborted | Self::CallerLeft
        )
    }

    /// Returns the kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.name() == name)
    }
}

/// A field value.
#[derive(Clone, Copy, Debug)]
pub enum Value<'a> {
    /// A string.
    Text(&'a str),
    /// A number whose unit is part of the key.
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

/// A rate-limited logger. The logger's drain must not block, since everything runs on one thread.
#[derive(Debug)]
pub struct Log {
    logger: Logger,
    window_start: Cell<Option<Instant>>,
    lines: Cell<u32>,
    omitted: RefCell<BTreeMap<Kind, u64>>,
}

impl Log {
    /// Creates a log that writes to `logger`.
    pub fn new(logger: Logger) -> Self {
        let (window_start, lines) = (Cell::new(None), Cell::new(0));
        Self { logger, window_start, lines, omitted: RefCell::default() }
    }

    /// Logs an event of the request `id`.
    pub fn request(&self, kind: Kind, id: &str, fields: &[(&'static str, Value<'_>)]) {
        if self.admit_line(kind) {
            slog::info!(self.logger, "{}", kind.name(); "request" => id, Fields(fields));
        }
    }

    /// Logs an event of the process or a change of its local state.
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
        // Failures bypass the limit, because they are needed to diagnose an incident.
        let unlimited = matches!(
            kind,
            Kind::Failed | Kind::Aborted | Kind::DependencyLost | Kind::DependencyRegained
        );
        let allowed = unlimited || lines <= MAX_LINES_PER_SECOND;
        if !allowed {
            *self.omitted.borrow_mut().entry(kind).or_default() += 1;
        }
        allowed
    }
}
