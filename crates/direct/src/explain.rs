//! Reconstructs what happened to one request from the logs of all entries.

use crate::log::Kind;
use serde_json::{Map, Value};
use std::fmt;

/// Fields that every line has or that are printed separately.
const COMMON_FIELDS: &[&str] = &["msg", "level", "ts", "process", "request"];
/// Kinds of process events that may affect the requests in progress.
const CONTEXT_KINDS: &[Kind] = &[
    Kind::Started,
    Kind::Draining,
    Kind::Stopped,
    Kind::DependencyLost,
    Kind::DependencyRegained,
    Kind::CatalogApplied,
    Kind::ServerLeaving,
    Kind::ServerGone,
    Kind::ServerBackoff,
    Kind::ServerBackoffEnded,
    Kind::ServerLimited,
    Kind::ServerUnlimited,
    Kind::ZoneEvacuated,
    Kind::ZoneRestored,
    Kind::LinesOmitted,
];

/// A parsed log line.
#[derive(Clone, Debug)]
struct Line {
    /// An RFC 3339 timestamp, so text order is chronological order.
    time: String,
    process: String,
    kind: Kind,
    request: Option<String>,
    fields: Map<String, Value>,
}

/// The log lines that concern one request, and why it ended as it did.
#[derive(Clone, Debug)]
pub struct Explanation {
    request: String,
    lines: Vec<Line>,
    /// The reason for the outcome, in one or two sentences.
    pub cause: String,
}

/// Explains the request with id `request` from `logs`. Returns `None` if no line mentions it. Lines
/// in other formats are skipped.
pub fn explain(request: &str, logs: &str) -> Option<Explanation> {
    let mut all: Vec<Line> = logs.lines().filter_map(read_line).collect();
    all.sort_by(|a, b| a.time.cmp(&b.time));
    let of_request = |line: &&Line| line.request.as_deref() == Some(request);
    let (first, last) = (all.iter().find(of_request)?, all.iter().rfind(of_request)?);
    let (from, to) = (first.time.clone(), last.time.clone());
    let processes: Vec<_> =
        all.iter().filter(of_request).map(|line| line.process.clone()).collect();
    let context = |line: &Line| {
        let concurrent = line.time >= from && line.time <= to && processes.contains(&line.process);
        line.request.is_none() && concurrent && CONTEXT_KINDS.contains(&line.kind)
    };
    let lines: Vec<Line> =
        all.iter().filter(|line| of_request(line) || context(line)).cloned().collect();
    let cause = describe_end(&lines);
    Some(Explanation { request: request.to_owned(), lines, cause })
}

fn read_line(text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let kind = Kind::from_name(fields.get("msg")?.as_str()?)?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
    let (time, request) = (text("ts")?, text("request"));
    let process = text("process").unwrap_or_default();
    COMMON_FIELDS.iter().for_each(|name| drop(fields.remove(*name)));
    Some(Line { time, process, kind, request, fields })
}

fn describe_end(lines: &[Line]) -> String {
    let Some(end) = lines.iter().rfind(|line| line.request.is_some() && line.kind.is_final())
    else {
        return "No final line: the process ended first, or its log is incomplete.".to_owned();
    };
    let number = |name: &str| end.fields.get(name).and_then(Value::as_u64).unwrap_or(0);
    let cause = end.fields.get("cause").and_then(Value::as_str).unwrap_or_default();
    match end.kind {
        Kind::Refused => describe_refusal(cause, &number),
        Kind::Failed => {
            format!("Failed after it was sent to a backend server, so it may have run: {cause}.")
        }
        Kind::Aborted => {
            format!("The stream was broken off after {} ms: {cause}.", number("took_ms"))
        }
        Kind::CallerLeft => {
            format!(
                "The caller disconnected after {} ms, before the response was complete.",
                number("took_ms")
            )
        }
        _ if number("late") == 1 => describe_lateness(lines, &number),
        _ => format!("Answered in {} ms.", number("took_ms")),
    }
}

fn describe_refusal(cause: &str, number: &dyn Fn(&str) -> u64) -> String {
    let (predicted, left) = (number("predicted_ms"), number("left_ms"));
    let (objective, retry) = (number("objective_ms"), number("retry_ms"));
    match cause {
        "overload" => format!(
            "Refused on arrival: its stages and first part were predicted to take {predicted} ms, \
             with an objective of {objective} ms and {left} ms until the deadline. \
             The caller was told to retry after {retry} ms."
        ),
        _ => format!(
            "Refused without having run: {cause}. The caller was told to retry after {retry} ms."
        ),
    }
}

/// Names the step that contributed most to a late response.
fn describe_lateness(lines: &[Line], number: &dyn Fn(&str) -> u64) -> String {
    let number_in =
        |line: &Line, name: &str| line.fields.get(name).and_then(Value::as_u64).unwrap_or(0);
    let stages = lines.iter().filter(|line| line.kind == Kind::StageDone);
    let slowest = stages.max_by_key(|line| number_in(line, "took_ms"));
    let (first, objective) = (number("first_ms"), number("objective_ms"));
    if first <= objective {
        return format!("Late because of a gap of {} ms between events.", number("pause_ms"));
    }
    match slowest.filter(|line| number_in(line, "took_ms") * 3 > first) {
        Some(line) => {
            let text = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("?");
            format!(
                "Late through stage {} of pool {}: {} of {first} ms until the first part, at owner {} \
                 that was {}% full; the objective is {objective} ms.",
                number_in(line, "stage"),
                text("pool"),
                number_in(line, "took_ms"),
                text("owner"),
                number_in(line, "fullness_percent"),
            )
        }
        None => format!(
            "Late at its server: first part after {first} ms; the objective is {objective} ms."
        ),
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for line in &self.lines {
            let mark = if line.request.is_some() { ' ' } else { '*' };
            write!(f, "{mark} {} {} {}", line.time, line.process, line.kind.name())?;
            for (name, value) in &line.fields {
                match value {
                    Value::String(text) => write!(f, " {name}={text}")?,
                    other => write!(f, " {name}={other}")?,
                }
            }
            writeln!(f)?;
        }
        writeln!(f, "{}", self.cause)
    }
}
