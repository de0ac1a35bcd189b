//! Parser and printer of bundle files, which are in INI format.
//!
//! rust-ini parses the file. Lines that it would join with the next one, or fail on, are reported
//! and blanked beforehand, so that a single run reports every error.

use crate::check::check_references;
use crate::key::PublicKey;
use crate::section::oversize_sections;
use damaskweir_core::prelude::*;
use ini::{Ini, ParseOption, Properties};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Accepted names, as shown in error messages.
pub(crate) const NAME_FORMAT: &str = "1 to 64 characters of a-z, 0-9, '-', '_' and '.'";
/// Accepted section headers, as shown in error messages.
const SECTION_KINDS: &str = "operator NAME, pool NAME, server NAME, pipeline NAME, \
                             stage PIPELINE/NAME or workspace NAME";
/// Accepted durations, as shown in error messages.
const SPAN_FORMAT: &str = "1ms to 3600s, such as 250ms or 3s";
/// Maximum duration in a bundle file.
const SPAN_MAX: Span = Span::from_secs(3_600);
/// Maximum size of a bundle file, in bytes.
const FILE_MAX_BYTES: usize = 64 << 20;

/// An error found in a bundle file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file, as passed to [`parse`].
    pub file: String,
    /// Header of the section as written in the file; empty if the error belongs to no section.
    pub section: String,
    /// Key, if the error concerns one.
    pub key: Option<String>,
    /// Kind of error.
    pub problem: Problem,
}

/// Kind of error in a bundle file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// A line that is not a section header, a key or a comment; its number and text.
    InvalidLine(usize, String),
    /// The file is too large or is not a valid INI file.
    Syntax(String),
    /// The kind of section is unknown; holds the known kinds.
    UnknownSection(&'static str),
    /// The name in the section header is invalid; holds the expected format.
    InvalidName(&'static str),
    /// The key is unknown; holds the known keys of this kind of section.
    UnknownKey(&'static str),
    /// The section or key is defined more than once.
    Duplicate,
    /// A required key is missing; holds the expected value.
    MissingKey(String),
    /// The value is invalid; holds the value and what was expected.
    InvalidValue(String, String),
    /// Any other error, described by a complete message.
    Other(String),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        if !self.section.is_empty() || self.key.is_some() {
            f.write_str(":")?;
        }
        match &self.problem {
            Problem::InvalidLine(number, text) => write!(
                f,
                " line {number}: invalid syntax {text:?}; expected [section], key = value, or a \
                 comment that starts with ; or #"
            ),
            Problem::Syntax(text) => write!(f, " can't parse the file: {text}"),
            Problem::UnknownSection(known) => {
                write!(f, " unknown section; known sections: {known}")
            }
            Problem::InvalidName(accepted) => {
                write!(f, " invalid name; expected {accepted}")
            }
            Problem::UnknownKey(known) => write!(f, " unknown key; known keys: {known}"),
            Problem::Duplicate => f.write_str(" defined more than once"),
            Problem::MissingKey(accepted) => write!(f, " missing; expected {accepted}"),
            Problem::InvalidValue(value, accepted) => {
                write!(f, " {value:?} is not accepted; expected {accepted}")
            }
            Problem::Other(text) => write!(f, " {text}"),
        }
    }
}

/// Parses and validates a bundle file, or returns all errors in it. `file` is the name shown in the
/// errors. The returned bundle has version zero; approval assigns its version.
pub fn parse(file: &str, text: &str) -> Result<Bundle, Vec<Finding>> {
    let mut parser = Parser { file, findings: Vec::new() };
    if text.len() > FILE_MAX_BYTES {
        parser.report("", None, Problem::Syntax(format!("longer than {FILE_MAX_BYTES} bytes")));
        return Err(parser.findings);
    }
    let cleaned = parser.blank_invalid_lines(text);
    let options = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let draft = match Ini::load_from_str_opt(&cleaned, options) {
        Ok(ini) => parser.parse_sections(&ini),
        Err(error) => {
            parser.report("", None, Problem::Syntax(error.to_string()));
            return Err(parser.findings);
        }
    };
    check_references(&draft, &mut |section, key, problem| parser.report(section, key, problem));
    let bundle = draft.into_bundle();
    for error in oversize_sections(&bundle) {
        parser.report("", None, Problem::Other(error.to_string()));
    }
    if parser.findings.is_empty() { Ok(bundle) } else { Err(parser.findings) }
}

/// Keys and values of each section, by section header.
pub(crate) type SectionMap = BTreeMap<String, BTreeMap<&'static str, String>>;

/// Formats a bundle as a file that [`parse`] turns back into the same bundle, except for its
/// version.
pub fn print(bundle: &Bundle) -> String {
    let mut ini = Ini::new();
    for (section, keys) in file_sections(bundle) {
        let mut setter = ini.with_section(Some(section));
        for (key, value) in keys {
            setter.set(key, value);
        }
    }
    let mut bytes = Vec::new();
    let policy = ini::EscapePolicy::Nothing;
    // Writing to a vector can't fail.
    let _ = ini.write_to_policy(&mut bytes, policy);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the sections, keys and values that describe a bundle in its file.
pub(crate) fn file_sections(bundle: &Bundle) -> SectionMap {
    let mut sections = SectionMap::new();
    for (name, operator) in &bundle.operators {
        let keys = [("key", PublicKey(operator.key).to_string())];
        sections.insert(format!("operator {name}"), keys.into());
    }
    for (id, pool) in &bundle.pools {
        let kind = match pool.kind {
            PoolKind::Engine => "engine",
            PoolKind::Service => "service",
        };
        let keys = [
            ("kind", kind.to_owned()),
            ("resume", if pool.resume { "yes" } else { "no" }.to_owned()),
            ("extra", pool.extra.to_string()),
        ];
        sections.insert(format!("pool {id}"), keys.into());
        for server in &pool.servers {
            let keys = [
                ("pool", id.to_string()),
                ("zone", server.zone.to_string()),
                ("side", server.side.to_string()),
                ("slots", server.slots.to_string()),
            ];
            sections.insert(format!("server {}", server.id), keys.into());
        }
    }
    for (id, pipeline) in &bundle.pipelines {
        let names: Vec<&str> = pipeline.stages.iter().map(|stage| stage.name.as_str()).collect();
        let keys = [("deadline", format_span(pipeline.deadline)), ("stages", names.join(", "))];
        sections.insert(format!("pipeline {id}"), keys.into());
        for stage in &pipeline.stages {
            let effect = match stage.effect {
                Effect::Idempotent => "idempotent",
                Effect::Once => "once",
            };
            let keys = [
                ("pool", stage.pool.to_string()),
                ("effect", effect.to_owned()),
                ("path", stage.path.clone()),
                ("expected", format_span(stage.expected)),
            ];
            sections.insert(format!("stage {id}/{}", stage.name), keys.into());
        }
    }
    for (id, workspace) in &bundle.workspaces {
        let keys = [("share", workspace.share.to_string()), ("limit", workspace.limit.to_string())];
        sections.insert(format!("workspace {id}"), keys.into());
    }
    sections
}

fn format_span(span: Span) -> String {
    if span.0.is_multiple_of(1_000_000) {
        format!("{}s", span.0 / 1_000_000)
    } else {
        format!("{}ms", span.0 / 1_000)
    }
}

/// Contents of a parsed file. References between its sections have not been checked.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    pub(crate) operators: BTreeMap<String, OperatorKey>,
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    /// Servers, each with the name of its pool.
    pub(crate) servers: BTreeMap<ServerId, (PoolId, BackendServer)>,
    /// Deadlines and stage names of the pipelines.
    pub(crate) pipelines: BTreeMap<PipelineId, (Span, Vec<String>)>,
    pub(crate) stages: BTreeMap<(PipelineId, String), Stage>,
    pub(crate) workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Kinds and names of all sections, including those with errors.
    pub(crate) headers: BTreeSet<(SectionKind, String)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SectionKind {
    Operator,
    Pool,
    Server,
    Pipeline,
    Stage,
    Workspace,
}

impl SectionKind {
    fn from_keyword(keyword: &str) -> Option<Self> {
        Some(match keyword {
            "operator" => Self::Operator,
            "pool" => Self::Pool,
            "server" => Self::Server,
            "pipeline" => Self::Pipeline,
            "stage" => Self::Stage,
            "workspace" => Self::Workspace,
            _ => return None,
        })
    }

    fn keys(self) -> &'static str {
        match self {
            Self::Operator => "key",
            Self::Pool => "kind, resume, extra",
            Self::Server => "pool, zone, side, slots",
            Self::Pipeline => "deadline, stages",
            Self::Stage => "pool, effect, path, expected",
            Self::Workspace => "share, limit",
        }
    }

    fn has_key(self, key: &str) -> bool {
        self.keys().split(", ").any(|known| known == key)
    }
}

impl Draft {
    fn into_bundle(self) -> Bundle {
        let mut pools = self.pools;
        for (pool, server) in self.servers.into_values() {
            if let Some(pool) = pools.get_mut(&pool) {
                pool.servers.push(server);
            }
        }
        let mut stages = self.stages;
        let pipelines = self
            .pipelines
            .into_iter()
            .map(|(id, (deadline, names))| {
                let stages =
                    names.into_iter().filter_map(|name| stages.remove(&(id.clone(), name)));
                let stages = stages.collect();
                (id, Pipeline { deadline, stages })
            })
            .collect();
        Bundle {
            version: Version::default(),
            pools,
            pipelines,
            workspaces: self.workspaces,
            operators: self.operators,
        }
    }
}

struct Parser<'a> {
    file: &'a str,
    findings: Vec<Finding>,
}

impl Parser<'_> {
    fn report(&mut self, section: &str, key: Option<&str>, problem: Problem) {
        self.findings.push(Finding {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.map(str::to_owned),
            problem,
        });
    }

    /// Reports and blanks the lines that rust-ini would join with the next one or fail on. Blank
    /// lines preserve the line numbers in rust-ini's errors.
    fn blank_invalid_lines(&mut self, text: &str) -> String {
        let mut cleaned = String::with_capacity(text.len());
        let mut section = String::new();
        for (i, line) in text.lines().enumerate() {
            let trimmed = line.trim();
            let comment = trimmed.starts_with([';', '#']);
            let header = trimmed
                .strip_prefix('[')
                .and_then(|rest| rest.strip_suffix(']'))
                .filter(|header| !header.contains([']', '\\']));
            let key_value = trimmed
                .split_once(['=', ':'])
                .is_some_and(|(key, _)| !key.trim().is_empty() && !key.contains(['[', '\\']));
            if let Some(header) = header {
                section = header.trim().to_owned();
            }
            let valid = (header.is_some() || key_value || trimmed.is_empty())
                && !trimmed.ends_with('\\')
                && !trimmed.contains(|c: char| c.is_control());
            if comment || valid {
                if !comment {
                    cleaned.push_str(trimmed);
                }
            } else {
                let excerpt = trimmed.chars().take(80).collect();
                let name = section.clone();
                self.report(&name, None, Problem::InvalidLine(i + 1, excerpt));
            }
            cleaned.push('\n');
        }
        cleaned
    }

    fn parse_sections(&mut self, ini: &Ini) -> Draft {
        let mut draft = Draft::default();
        for (section, keys) in ini.iter() {
            let Some(section) = section else {
                for (key, _) in keys {
                    self.report("", Some(key), Problem::UnknownKey("none outside a section"));
                }
                continue;
            };
            self.parse_section(section, keys, &mut draft);
        }
        draft
    }

    fn parse_section(&mut self, section: &str, keys: &Properties, draft: &mut Draft) {
        let (keyword, name) = section.split_once([' ', '\t']).unwrap_or((section, ""));
        let name = name.trim();
        let Some(kind) = SectionKind::from_keyword(keyword) else {
            self.report(section, None, Problem::UnknownSection(SECTION_KINDS));
            return;
        };
        let valid_name = match kind {
            SectionKind::Stage => {
                name.split_once('/').is_some_and(|(a, b)| is_valid_name(a) && is_valid_name(b))
            }
            _ => is_valid_name(name),
        };
        if !valid_name {
            let accepted = match kind {
                SectionKind::Stage => {
                    "PIPELINE/NAME, each 1 to 64 characters of a-z, 0-9, '-', '_' and '.'"
                }
                _ => NAME_FORMAT,
            };
            self.report(section, None, Problem::InvalidName(accepted));
        }
        if !draft.headers.insert((kind, name.to_owned())) {
            self.report(section, None, Problem::Duplicate);
            return;
        }
        let mut seen = BTreeSet::new();
        for (key, _) in keys {
            if !kind.has_key(key) {
                self.report(section, Some(key), Problem::UnknownKey(kind.keys()));
            } else if !seen.insert(key) {
                self.report(section, Some(key), Problem::Duplicate);
            }
        }
        let mut values = SectionValues { parser: self, section, keys };
        match kind {
            SectionKind::Operator => {
                let accepted = "an ed25519 public key of 64 hexadecimal digits";
                let key = values.parse_str::<PublicKey>("key", accepted);
                if let Some(key) = key {
                    draft.operators.insert(name.to_owned(), OperatorKey { key: key.0 });
                }
            }
            SectionKind::Pool => values.parse_pool(name, draft),
            SectionKind::Server => values.parse_server(name, draft),
            SectionKind::Pipeline => values.parse_pipeline(name, draft),
            SectionKind::Stage => values.parse_stage(name, draft),
            SectionKind::Workspace => {
                let share = values.number("share", 1, 1_000, None);
                let limit = values.number("limit", 1, 100_000, None);
                if let (Some(share), Some(limit)) = (share, limit) {
                    draft.workspaces.insert(name.into(), Workspace { share, limit });
                }
            }
        }
    }
}

fn is_valid_name(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text.bytes().all(|b| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'))
}

/// Reads the values of one section and reports those that are missing or invalid.
struct SectionValues<'r, 'f, 's> {
    parser: &'r mut Parser<'f>,
    section: &'s str,
    keys: &'s Properties,
}

impl SectionValues<'_, '_, '_> {
    fn required(&mut self, key: &str, accepted: &str) -> Option<String> {
        let value = self.keys.get(key).map(str::to_owned);
        if value.is_none() {
            let problem = Problem::MissingKey(accepted.to_owned());
            self.parser.report(self.section, Some(key), problem);
        }
        value
    }

    fn report_value(&mut self, key: &str, value: &str, accepted: &str) {
        let excerpt = value.chars().take(80).collect();
        let problem = Problem::InvalidValue(excerpt, accepted.to_owned());
        self.parser.report(self.section, Some(key), problem);
    }

    fn parse_with<T>(
        &mut self,
        key: &str,
        accepted: &str,
        convert: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.required(key, accepted)?;
        let converted = convert(&value);
        if converted.is_none() {
            self.report_value(key, &value, accepted);
        }
        converted
    }

    fn parse_str<T: FromStr>(&mut self, key: &str, accepted: &str) -> Option<T> {
        self.parse_with(key, accepted, |value| value.parse().ok())
    }

    fn number(&mut self, key: &str, min: u32, max: u32, default: Option<u32>) -> Option<u32> {
        if !self.keys.contains_key(key) && default.is_some() {
            return default;
        }
        let accepted = format!("{min} to {max}");
        self.parse_with(key, &accepted, |value| {
            let digits = value.bytes().all(|b| b.is_ascii_digit());
            let number = value.parse().ok().filter(|_| digits)?;
            (min..=max).contains(&number).then_some(number)
        })
    }

    fn name(&mut self, key: &str) -> Option<String> {
        self.parse_with(key, NAME_FORMAT, |value| is_valid_name(value).then(|| value.to_owned()))
    }

    fn span(&mut self, key: &str) -> Option<Span> {
        self.parse_with(key, SPAN_FORMAT, parse_span)
    }

    fn parse_pool(&mut self, name: &str, draft: &mut Draft) {
        let kind = self.parse_with("kind", "engine or service", |value| match value {
            "engine" => Some(PoolKind::Engine),
            "service" => Some(PoolKind::Service),
            _ => None,
        });
        let resume = if self.keys.contains_key("resume") {
            self.parse_with("resume", "yes or no", |value| match value {
                "yes" => Some(true),
                "no" => Some(false),
                _ => None,
            })
        } else {
            Some(false)
        };
        let extra = self.number("extra", 0, 1_000, Some(100));
        if let (Some(kind), Some(resume), Some(extra)) = (kind, resume, extra) {
            draft.pools.insert(name.into(), Pool { kind, servers: Vec::new(), resume, extra });
        }
    }

    fn parse_server(&mut self, name: &str, draft: &mut Draft) {
        let pool = self.name("pool");
        let zone = self.name("zone");
        let accepted = "an IP address and port of the side, such as 127.0.0.1:7401 or [::1]:7401";
        let side = self.parse_with("side", accepted, |value| {
            value.parse::<SocketAddr>().ok().filter(|side| side.port() != 0)
        });
        let slots = self.number("slots", 1, 10_000, None);
        if let (Some(pool), Some(zone), Some(side), Some(slots)) = (pool, zone, side, slots) {
            let id = ServerId::from(name);
            let zone = AvailabilityZone::from(zone.as_str());
            let server = BackendServer { id: id.clone(), zone, side, slots };
            draft.servers.insert(id, (PoolId::from(pool.as_str()), server));
        }
    }

    fn parse_pipeline(&mut self, name: &str, draft: &mut Draft) {
        let deadline = self.span("deadline");
        let accepted = "1 to 32 distinct stage names, separated by commas";
        let stages = self.parse_with("stages", accepted, |value| {
            let names: Vec<String> = value.split(',').map(|name| name.trim().to_owned()).collect();
            let distinct: BTreeSet<&String> = names.iter().collect();
            let valid = names.iter().all(|name| is_valid_name(name))
                && distinct.len() == names.len()
                && names.len() <= 32;
            valid.then_some(names)
        });
        if let (Some(deadline), Some(stages)) = (deadline, stages) {
            draft.pipelines.insert(name.into(), (deadline, stages));
        }
    }

    fn parse_stage(&mut self, name: &str, draft: &mut Draft) {
        let pool = self.name("pool");
        let effect = self.parse_with("effect", "idempotent or once", |value| match value {
            "idempotent" => Some(Effect::Idempotent),
            "once" => Some(Effect::Once),
            _ => None,
        });
        let accepted = "a path of 1 to 256 printable ASCII characters other than space and '\\' \
                        that starts with '/'";
        let path = self.parse_with("path", accepted, |value| {
            let valid = value.starts_with('/')
                && value.len() <= 256
                && value.bytes().all(|b| b.is_ascii_graphic() && b != b'\\');
            valid.then(|| value.to_owned())
        });
        let expected = self.span("expected");
        let Some((pipeline, name)) = name.split_once('/') else { return };
        if let (Some(pool), Some(effect), Some(path), Some(expected)) =
            (pool, effect, path, expected)
        {
            let pool = PoolId::from(pool.as_str());
            let stage = Stage { name: name.to_owned(), pool, effect, path, expected };
            draft.stages.insert((pipeline.into(), name.to_owned()), stage);
        }
    }
}

fn parse_span(value: &str) -> Option<Span> {
    let (digits, millis) = match value.strip_suffix("ms") {
        Some(digits) => (digits, 1),
        None => (value.strip_suffix('s')?, 1_000),
    };
    if !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let span = Span::from_millis(digits.parse::<u32>().ok().map(u64::from)? * millis);
    (span > Span::ZERO && span <= SPAN_MAX).then_some(span)
}
