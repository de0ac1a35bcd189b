//! The INI form of a bundle.
//!
//! The file is parsed by rust-ini. Lines that it would join to their neighbours, or stop at, are
//! reported and blanked first, so that one run reports every error.

use crate::check::check_references;
use crate::key::PublicKey;
use crate::section::oversize;
use damaskweir_core::prelude::*;
use ini::{Ini, ParseOption, Properties};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

pub(crate) const NAMES: &str = "1 to 64 characters of a-z, 0-9, '-', '_' and '.'";
const KINDS: &str = "operator NAME, pool NAME, server NAME, pipeline NAME, stage PIPELINE/NAME or \
                     workspace NAME";
const SPANS: &str = "1ms to 3600s, such as 250ms or 3s";
const SPAN_MAX: Span = Span::from_secs(3_600);
const FILE_MAX_BYTES: usize = 64 << 20;

/// One error in a bundle file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Section as it stands in the file; empty for lines before the first section.
    pub section: String,
    /// Key, when the error concerns one.
    pub key: Option<String>,
    /// What is wrong.
    pub problem: Problem,
}

/// What is wrong in a bundle file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// A line that is neither a section, a key nor a comment.
    Line(usize, String),
    /// The file is not an INI file.
    Syntax(String),
    /// The kind of section is unknown; the kinds that are known follow.
    UnknownSection(&'static str),
    /// The name in the section's head is not accepted; what is accepted follows.
    Name(&'static str),
    /// The key is unknown; the keys of this kind of section follow.
    UnknownKey(&'static str),
    /// The section or key stands there more than once.
    Repeated,
    /// The key is missing; what it accepts follows.
    Missing(String),
    /// The value is not accepted; what is accepted follows.
    Value(String, String),
    /// Something that the bundle as a whole needs.
    Whole(String),
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
            Problem::Line(number, text) => write!(
                f,
                " line {number}: {text:?} is not accepted; accepted: [section], key = value, or a \
                 comment that begins with ; or #"
            ),
            Problem::Syntax(text) => write!(f, " not an INI file: {text}"),
            Problem::UnknownSection(known) => write!(f, " unknown section; accepted: {known}"),
            Problem::Name(accepted) => write!(f, " name is not accepted; accepted: {accepted}"),
            Problem::UnknownKey(known) => write!(f, " unknown key; accepted: {known}"),
            Problem::Repeated => f.write_str(" given more than once; accepted: once"),
            Problem::Missing(accepted) => write!(f, " missing; accepted: {accepted}"),
            Problem::Value(value, accepted) => {
                write!(f, " {value:?} is not accepted; accepted: {accepted}")
            }
            Problem::Whole(text) => write!(f, " {text}"),
        }
    }
}

/// Parses and checks a whole bundle file. The bundle has version zero until it is approved.
pub fn parse(file: &str, text: &str) -> Result<Bundle, Vec<Finding>> {
    let mut reader = Reader { file, findings: Vec::new() };
    if text.len() > FILE_MAX_BYTES {
        reader.find("", None, Problem::Syntax(format!("longer than {FILE_MAX_BYTES} bytes")));
        return Err(reader.findings);
    }
    let cleaned = reader.clean(text);
    let options = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let draft = match Ini::load_from_str_opt(&cleaned, options) {
        Ok(ini) => reader.read(&ini),
        Err(error) => {
            reader.find("", None, Problem::Syntax(error.to_string()));
            return Err(reader.findings);
        }
    };
    check_references(&draft, &mut |section, key, problem| reader.find(section, key, problem));
    let bundle = draft.into_bundle();
    for error in oversize(&bundle) {
        reader.find("", None, Problem::Whole(error.to_string()));
    }
    if reader.findings.is_empty() { Ok(bundle) } else { Err(reader.findings) }
}

/// Sections of the file by name, each with its keys.
pub(crate) type Facts = BTreeMap<String, BTreeMap<&'static str, String>>;

/// Writes a bundle as a file that [`parse`] reads back as the same bundle, but for its version.
pub fn print(bundle: &Bundle) -> String {
    let mut ini = Ini::new();
    for (section, keys) in facts(bundle) {
        let mut setter = ini.with_section(Some(section));
        for (key, value) in keys {
            setter.set(key, value);
        }
    }
    let mut bytes = Vec::new();
    let policy = ini::EscapePolicy::Nothing;
    // Writing to memory can't fail.
    let _ = ini.write_to_policy(&mut bytes, policy);
    String::from_utf8_lossy(&bytes).into_owned()
}

pub(crate) fn facts(bundle: &Bundle) -> Facts {
    let mut facts = Facts::new();
    for (name, operator) in &bundle.operators {
        let keys = [("key", PublicKey(operator.key).to_string())];
        facts.insert(format!("operator {name}"), keys.into());
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
        facts.insert(format!("pool {id}"), keys.into());
        for server in &pool.servers {
            let keys = [
                ("pool", id.to_string()),
                ("zone", server.zone.to_string()),
                ("side", server.side.to_string()),
                ("slots", server.slots.to_string()),
            ];
            facts.insert(format!("server {}", server.id), keys.into());
        }
    }
    for (id, pipeline) in &bundle.pipelines {
        let names: Vec<&str> = pipeline.stages.iter().map(|stage| stage.name.as_str()).collect();
        let keys = [("deadline", span_text(pipeline.deadline)), ("stages", names.join(", "))];
        facts.insert(format!("pipeline {id}"), keys.into());
        for stage in &pipeline.stages {
            let effect = match stage.effect {
                Effect::Idempotent => "idempotent",
                Effect::Once => "once",
            };
            let keys = [
                ("pool", stage.pool.to_string()),
                ("effect", effect.to_owned()),
                ("path", stage.path.clone()),
                ("expected", span_text(stage.expected)),
            ];
            facts.insert(format!("stage {id}/{}", stage.name), keys.into());
        }
    }
    for (id, workspace) in &bundle.workspaces {
        let keys = [("share", workspace.share.to_string()), ("limit", workspace.limit.to_string())];
        facts.insert(format!("workspace {id}"), keys.into());
    }
    facts
}

fn span_text(span: Span) -> String {
    if span.0.is_multiple_of(1_000_000) {
        format!("{}s", span.0 / 1_000_000)
    } else {
        format!("{}ms", span.0 / 1_000)
    }
}

/// What the file holds. References between its sections are not checked yet.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    pub(crate) operators: BTreeMap<String, OperatorKey>,
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    /// Servers with the names of their pools.
    pub(crate) servers: BTreeMap<ServerId, (PoolId, BackendServer)>,
    pub(crate) pipelines: BTreeMap<PipelineId, (Span, Vec<String>)>,
    pub(crate) stages: BTreeMap<(PipelineId, String), Stage>,
    pub(crate) workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Heads of all sections, also of those with errors.
    pub(crate) heads: BTreeSet<(Kind, String)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Operator,
    Pool,
    Server,
    Pipeline,
    Stage,
    Workspace,
}

impl Kind {
    fn from_word(word: &str) -> Option<Self> {
        Some(match word {
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

    fn accepts(self, key: &str) -> bool {
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

struct Reader<'a> {
    file: &'a str,
    findings: Vec<Finding>,
}

impl Reader<'_> {
    fn find(&mut self, section: &str, key: Option<&str>, problem: Problem) {
        self.findings.push(Finding {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.map(str::to_owned),
            problem,
        });
    }

    /// Reports and blanks the lines that rust-ini would join to the next line or stop at.
    fn clean(&mut self, text: &str) -> String {
        let mut cleaned = String::with_capacity(text.len());
        let mut section = String::new();
        for (i, line) in text.lines().enumerate() {
            let trimmed = line.trim();
            let comment = trimmed.starts_with([';', '#']);
            let head = trimmed
                .strip_prefix('[')
                .and_then(|rest| rest.strip_suffix(']'))
                .filter(|head| !head.contains([']', '\\']));
            let pair = trimmed
                .split_once(['=', ':'])
                .is_some_and(|(key, _)| !key.trim().is_empty() && !key.contains(['[', '\\']));
            if let Some(head) = head {
                section = head.trim().to_owned();
            }
            let sound = (head.is_some() || pair || trimmed.is_empty())
                && !trimmed.ends_with('\\')
                && !trimmed.contains(|c: char| c.is_control());
            if comment || sound {
                if !comment {
                    cleaned.push_str(trimmed);
                }
            } else {
                let shown = trimmed.chars().take(80).collect();
                let name = section.clone();
                self.find(&name, None, Problem::Line(i + 1, shown));
            }
            cleaned.push('\n');
        }
        cleaned
    }

    fn read(&mut self, ini: &Ini) -> Draft {
        let mut draft = Draft::default();
        for (section, keys) in ini.iter() {
            let Some(section) = section else {
                for (key, _) in keys {
                    self.find("", Some(key), Problem::UnknownKey("none before the first section"));
                }
                continue;
            };
            self.read_section(section, keys, &mut draft);
        }
        draft
    }

    fn read_section(&mut self, section: &str, keys: &Properties, draft: &mut Draft) {
        let (word, name) = section.split_once([' ', '\t']).unwrap_or((section, ""));
        let name = name.trim();
        let Some(kind) = Kind::from_word(word) else {
            self.find(section, None, Problem::UnknownSection(KINDS));
            return;
        };
        let named = match kind {
            Kind::Stage => name.split_once('/').is_some_and(|(a, b)| is_name(a) && is_name(b)),
            _ => is_name(name),
        };
        if !named {
            let accepted = match kind {
                Kind::Stage => {
                    "PIPELINE/NAME, each 1 to 64 characters of a-z, 0-9, '-', '_' and '.'"
                }
                _ => NAMES,
            };
            self.find(section, None, Problem::Name(accepted));
        }
        if !draft.heads.insert((kind, name.to_owned())) {
            self.find(section, None, Problem::Repeated);
            return;
        }
        let mut seen = BTreeSet::new();
        for (key, _) in keys {
            if !kind.accepts(key) {
                self.find(section, Some(key), Problem::UnknownKey(kind.keys()));
            } else if !seen.insert(key) {
                self.find(section, Some(key), Problem::Repeated);
            }
        }
        let mut values = Values { reader: self, section, keys };
        match kind {
            Kind::Operator => {
                let accepted = "an ed25519 public key of 64 hexadecimal digits";
                let key = values.parsed::<PublicKey>("key", accepted);
                if let Some(key) = key {
                    draft.operators.insert(name.to_owned(), OperatorKey { key: key.0 });
                }
            }
            Kind::Pool => values.read_pool(name, draft),
            Kind::Server => values.read_server(name, draft),
            Kind::Pipeline => values.read_pipeline(name, draft),
            Kind::Stage => values.read_stage(name, draft),
            Kind::Workspace => {
                let share = values.number("share", 1, 1_000, None);
                let limit = values.number("limit", 1, 100_000, None);
                if let (Some(share), Some(limit)) = (share, limit) {
                    draft.workspaces.insert(name.into(), Workspace { share, limit });
                }
            }
        }
    }
}

fn is_name(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text.bytes().all(|b| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'))
}

/// The keys of one section.
struct Values<'r, 'f, 's> {
    reader: &'r mut Reader<'f>,
    section: &'s str,
    keys: &'s Properties,
}

impl Values<'_, '_, '_> {
    fn text(&mut self, key: &str, accepted: &str) -> Option<String> {
        let value = self.keys.get(key).map(str::to_owned);
        if value.is_none() {
            let problem = Problem::Missing(accepted.to_owned());
            self.reader.find(self.section, Some(key), problem);
        }
        value
    }

    fn refuse(&mut self, key: &str, value: &str, accepted: &str) {
        let shown = value.chars().take(80).collect();
        let problem = Problem::Value(shown, accepted.to_owned());
        self.reader.find(self.section, Some(key), problem);
    }

    fn filtered<T>(
        &mut self,
        key: &str,
        accepted: &str,
        read: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.text(key, accepted)?;
        let read = read(&value);
        if read.is_none() {
            self.refuse(key, &value, accepted);
        }
        read
    }

    fn parsed<T: FromStr>(&mut self, key: &str, accepted: &str) -> Option<T> {
        self.filtered(key, accepted, |value| value.parse().ok())
    }

    fn number(&mut self, key: &str, low: u32, high: u32, default: Option<u32>) -> Option<u32> {
        if !self.keys.contains_key(key) && default.is_some() {
            return default;
        }
        let accepted = format!("{low} to {high}");
        self.filtered(key, &accepted, |value| {
            let digits = value.bytes().all(|b| b.is_ascii_digit());
            let number = value.parse().ok().filter(|_| digits)?;
            (low..=high).contains(&number).then_some(number)
        })
    }

    fn name(&mut self, key: &str) -> Option<String> {
        self.filtered(key, NAMES, |value| is_name(value).then(|| value.to_owned()))
    }

    fn span(&mut self, key: &str) -> Option<Span> {
        self.filtered(key, SPANS, read_span)
    }

    fn read_pool(&mut self, name: &str, draft: &mut Draft) {
        let kind = self.filtered("kind", "engine or service", |value| match value {
            "engine" => Some(PoolKind::Engine),
            "service" => Some(PoolKind::Service),
            _ => None,
        });
        let resume = if self.keys.contains_key("resume") {
            self.filtered("resume", "yes or no", |value| match value {
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

    fn read_server(&mut self, name: &str, draft: &mut Draft) {
        let pool = self.name("pool");
        let zone = self.name("zone");
        let accepted = "IP address and port of the side, such as 127.0.0.1:7401 or [::1]:7401";
        let side = self.filtered("side", accepted, |value| {
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

    fn read_pipeline(&mut self, name: &str, draft: &mut Draft) {
        let deadline = self.span("deadline");
        let accepted = "1 to 32 different names of stages, separated by commas";
        let stages = self.filtered("stages", accepted, |value| {
            let names: Vec<String> = value.split(',').map(|name| name.trim().to_owned()).collect();
            let distinct: BTreeSet<&String> = names.iter().collect();
            let sound = names.iter().all(|name| is_name(name))
                && distinct.len() == names.len()
                && names.len() <= 32;
            sound.then_some(names)
        });
        if let (Some(deadline), Some(stages)) = (deadline, stages) {
            draft.pipelines.insert(name.into(), (deadline, stages));
        }
    }

    fn read_stage(&mut self, name: &str, draft: &mut Draft) {
        let pool = self.name("pool");
        let effect = self.filtered("effect", "idempotent or once", |value| match value {
            "idempotent" => Some(Effect::Idempotent),
            "once" => Some(Effect::Once),
            _ => None,
        });
        let accepted = "a path of 1 to 256 printable ASCII characters other than space and '\\' \
                        that begins with '/'";
        let path = self.filtered("path", accepted, |value| {
            let sound = value.starts_with('/')
                && value.len() <= 256
                && value.bytes().all(|b| b.is_ascii_graphic() && b != b'\\');
            sound.then(|| value.to_owned())
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

fn read_span(value: &str) -> Option<Span> {
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
