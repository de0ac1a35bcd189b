//! Settings files of the daemons, in INI format. A file is validated as a whole at startup.

use crate::logs::{LogFormat, LogSettings};
use crate::side::{Backend, SidecarOptions};
use damaskweir_bundle::PublicKey;
use damaskweir_callers::{Authenticator, Limits};
use damaskweir_core::entry::EntrySettings;
use damaskweir_core::prelude::*;
use damaskweir_core::side::SidecarSettings;
use damaskweir_engines::EngineSettings;
use damaskweir_instances::InstancesSettings;
use damaskweir_services::ServiceSettings;
use damaskweir_wire::{Keys, WireError};
use ini::{Ini, ParseOption, Properties};
use slog::Level;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Section, if the error is within one.
    pub section: Option<String>,
    /// Key, if the error concerns one.
    pub key: Option<String>,
    /// What is wrong and which values are accepted.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if let Some(section) = &self.section {
            write!(f, "[{section}] ")?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        f.write_str(&self.message)
    }
}

/// All errors in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError(pub Vec<Problem>);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            let end = if i == 0 { "" } else { "\n" };
            write!(f, "{end}{problem}")?;
        }
        Ok(())
    }
}

/// Settings of the connections between entries and sidecars.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireSettings {
    /// Local UDP address. Default: any address and port.
    pub address: SocketAddr,
    /// PEM file of the certificate authority.
    pub authority: PathBuf,
    /// PEM file of the certificate chain.
    pub certificate: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
    /// DNS name that the certificates of sidecars must contain.
    pub name: String,
    /// Limits on connections and frames.
    pub limits: damaskweir_wire::Limits,
}

/// Settings file of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Name of the instance that the entry runs on.
    pub instance: InstanceId,
    /// Availability zone that the entry runs in.
    pub zone: AvailabilityZone,
    /// Settings of the entry's state machine.
    pub core: EntrySettings,
    /// Address that the caller API listens on.
    pub listen: SocketAddr,
    /// Limits of the caller API.
    pub limits: Limits,
    /// Maps callers' credentials to workspaces.
    pub directory: Authenticator,
    /// Settings of the connections to sidecars.
    pub wire: WireSettings,
    /// Bundle file. Required if there are no operator keys.
    pub bundle: Option<PathBuf>,
    /// Public keys that may sign bundles. If there are any, bundles come from the store and from sidecars.
    pub operators: Vec<PublicKey>,
    /// Sidecars to connect to before the first bundle is active.
    pub seeds: BTreeMap<ServerId, SocketAddr>,
    /// Settings of the store client. Without a store, non-idempotent calls are refused.
    pub store: Option<damaskweir_store::Settings>,
    /// Settings of the platform's instance list.
    pub instances: Option<InstancesSettings>,
    /// Minimum duration of a drain.
    pub drain_grace: Duration,
    /// Maximum time that a drain waits for requests in progress.
    pub drain_limit: Duration,
    /// Settings of the logger.
    pub logs: LogSettings,
}

impl EntryConfig {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Validates the text of a settings file. Relative paths are resolved against the directory of
    /// `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(path, text)?;
        let operators = read_operators(&mut reader);
        let bundle = operators.is_empty().then(|| reader.file("bundle", "file"));
        let config = Self {
            instance: InstanceId::from(reader.name("entry", "instance").as_str()),
            zone: AvailabilityZone::from(reader.name("entry", "zone").as_str()),
            core: EntrySettings {
                hedging: reader.flag("entry", "hedging", true),
                admission: reader.flag("entry", "admission", true),
                ..EntrySettings::default()
            },
            listen: reader.address("callers", "listen", None),
            limits: read_limits(&mut reader),
            directory: read_directory(&mut reader),
            wire: read_wire(&mut reader),
            operators,
            bundle,
            seeds: read_seeds(&mut reader),
            store: read_store(&mut reader),
            instances: read_instances(&mut reader),
            drain_grace: reader.millis("drain", "grace-ms", 0..=60_000, 500),
            drain_limit: reader.millis("drain", "limit-ms", 100..=600_000, 30_000),
            logs: read_logs(&mut reader),
        };
        reader.finish().map(|()| config)
    }
}

/// Settings file of a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarConfig {
    /// Id of the backend server.
    pub server: ServerId,
    /// Availability zone that the sidecar runs in.
    pub zone: AvailabilityZone,
    /// Settings of the connections to entries. The address must match the sidecar's address in the bundle.
    pub wire: WireSettings,
    /// Kind and connection settings of the backend server.
    pub backend: Backend,
    /// Public keys that may sign bundles. Without any, the sidecar accepts no bundles.
    pub operators: Vec<PublicKey>,
    /// Settings of the store client. Without a store, bundles come from entries only.
    pub store: Option<damaskweir_store::Settings>,
    /// Settings of the sidecar's state machine.
    pub core: SidecarSettings,
    /// Interval between health checks of the backend server.
    pub check_interval: Duration,
    /// Maximum time that a drain waits for attempts in progress.
    pub drain_limit: Duration,
    /// Settings of the logger.
    pub logs: LogSettings,
}

impl SidecarConfig {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Validates the text of a settings file. Relative paths are resolved against the directory of
    /// `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(path, text)?;
        let core = SidecarSettings::default();
        let retention = core.retention.0 / 1_000_000;
        let config = Self {
            server: ServerId::from(reader.name("side", "server").as_str()),
            zone: AvailabilityZone::from(reader.name("side", "zone").as_str()),
            wire: read_wire(&mut reader),
            backend: read_backend(&mut reader),
            operators: read_operators(&mut reader),
            store: read_store(&mut reader),
            core: SidecarSettings {
                slots: reader.count("side", "slots", 1..=10_000, core.slots),
                queue_limit: reader.count("side", "queue", 1..=100_000, core.queue_limit),
                retention: Span::from_secs(reader.number(
                    "side",
                    "retention-s",
                    60..=2_592_000,
                    retention,
                )),
                ..core
            },
            check_interval: reader.millis("backend", "check-ms", 50..=60_000, 500),
            drain_limit: reader.millis("drain", "limit-ms", 100..=600_000, 90_000),
            logs: read_logs(&mut reader),
        };
        reader.finish().map(|()| config)
    }

    /// Loads the certificates and converts the settings into options of the sidecar daemon.
    pub fn into_options(self) -> Result<SidecarOptions, WireError> {
        let wire = self.wire;
        let keys = Keys::from_files(&wire.authority, &wire.certificate, &wire.key)?;
        let keys = keys.with_server_name(&wire.name);
        Ok(SidecarOptions {
            listen: wire.address,
            wire: wire.limits,
            core: self.core,
            check_interval: self.check_interval,
            drain_limit: self.drain_limit,
            ..SidecarOptions::new(self.server, self.zone, keys, self.backend)
        })
    }
}

fn read_backend(reader: &mut SettingsReader) -> Backend {
    let engine = EngineSettings::default();
    let service = ServiceSettings::default();
    let kinds = [("engine", PoolKind::Engine), ("service", PoolKind::Service)];
    let kind = reader.choice("backend", "kind", &kinds, PoolKind::Service);
    let url = reader.url("backend", "url");
    let connect = reader.millis("backend", "connect-timeout-ms", 10..=60_000, 500);
    match kind {
        PoolKind::Engine => Backend::Engine(EngineSettings {
            url,
            connect_timeout: connect,
            idle_timeout: reader.millis("backend", "idle-timeout-ms", 100..=600_000, 10_000),
            priority: reader.flag("backend", "priority", engine.priority),
            resume: reader.flag("backend", "resume", engine.resume),
            ..engine
        }),
        PoolKind::Service => Backend::Service(ServiceSettings {
            url,
            connect_timeout: connect,
            call_timeout: reader.millis("backend", "timeout-ms", 1_000..=3_600_000, 60_000),
            health_path: reader.path_or("backend", "health", &service.health_path),
            ..service
        }),
    }
}

fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| {
        let message = format!("can't be read: {error}");
        SettingsError(vec![Problem { file: path.to_owned(), section: None, key: None, message }])
    })
}

fn read_limits(reader: &mut SettingsReader) -> Limits {
    let defaults = Limits::default();
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    Limits {
        max_body: reader.size("callers", "body-max-bytes", 1_024..=67_108_864, defaults.max_body),
        max_connections: reader.size(
            "callers",
            "connections-max",
            1..=1_000_000,
            defaults.max_connections,
        ),
        header_timeout: reader.millis(
            "callers",
            "headers-timeout-ms",
            100..=300_000,
            millis(defaults.header_timeout),
        ),
        upload_timeout: reader.millis(
            "callers",
            "upload-timeout-ms",
            100..=300_000,
            millis(defaults.upload_timeout),
        ),
        expose_stages: reader.flag("callers", "name-stages", defaults.expose_stages),
    }
}

/// Reads `[credentials]`, where each key is a workspace and its value a list of credential digests.
/// Values never appear in errors, because a user may have pasted a credential instead of its digest.
fn read_directory(reader: &mut SettingsReader) -> Authenticator {
    const ACCEPTED: &str =
        "expected SHA-256 digests of credentials, 64 hexadecimal digits each, separated by commas";
    let mut credentials = BTreeMap::new();
    for (workspace, value) in reader.take_section("credentials") {
        for digest in value.split(',') {
            match parse_digest(digest.trim()) {
                Some(digest) => {
                    let owner = WorkspaceId::from(workspace.as_str());
                    if credentials.insert(digest, owner).is_some() {
                        let message = "a credential is listed more than once";
                        reader.problem("credentials", &workspace, message.to_owned());
                    }
                }
                None => reader.problem("credentials", &workspace, ACCEPTED.to_owned()),
            }
        }
    }
    // Without credentials, the header is the only way to identify the workspace.
    let trust_header = reader.flag("callers", "trust-workspace-header", credentials.is_empty());
    Authenticator::new(credentials, trust_header)
}

/// Reads `[operators]`, where each key is a name and its value a public key.
fn read_operators(reader: &mut SettingsReader) -> Vec<PublicKey> {
    let mut keys = Vec::new();
    for (name, value) in reader.take_section("operators") {
        match value.trim().parse() {
            Ok(key) => keys.push(key),
            Err(_) => {
                let message = "expected an ed25519 public key of 64 hexadecimal digits";
                reader.problem("operators", &name, message.to_owned());
            }
        }
    }
    keys
}

/// Reads `[seeds]`, where each key is a server id and its value the address of the server's sidecar.
fn read_seeds(reader: &mut SettingsReader) -> BTreeMap<ServerId, SocketAddr> {
    let mut seeds = BTreeMap::new();
    for (server, value) in reader.take_section("seeds") {
        match value.trim().parse() {
            Ok(address) => {
                seeds.insert(ServerId::from(server.as_str()), address);
            }
            Err(_) => {
                let message = "expected the IP address and port of the server's sidecar";
                reader.problem("seeds", &server, message.to_owned());
            }
        }
    }
    seeds
}

fn parse_digest(text: &str) -> Option<Digest> {
    let mut digest = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (i, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(Digest(digest))
}

pub(crate) fn read_wire(reader: &mut SettingsReader) -> WireSettings {
    let defaults = damaskweir_wire::Limits::default();
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    WireSettings {
        address: reader.address("wire", "address", Some(unspecified)),
        authority: reader.file("wire", "authority"),
        certificate: reader.file("wire", "certificate"),
        key: reader.file("wire", "key"),
        name: reader.name_or("wire", "name", "damaskweir"),
        limits: damaskweir_wire::Limits {
            max_frame: reader.size(
                "wire",
                "frame-max-bytes",
                1_048_576..=268_435_456,
                defaults.max_frame,
            ),
            max_connections: reader.size(
                "wire",
                "connections-max",
                1..=100_000,
                defaults.max_connections,
            ),
            ..defaults
        },
    }
}

fn read_store(reader: &mut SettingsReader) -> Option<damaskweir_store::Settings> {
    let endpoints = reader.urls("store", "endpoints");
    let mut settings = damaskweir_store::Settings::new(endpoints.first().map_or("", |url| url));
    let timeout = settings.timeout.as_millis();
    settings.timeout = reader.millis("store", "timeout-ms", 10..=10_000, timeout).into();
    settings.read_rate = reader.count("store", "reads-per-second", 1..=100_000, settings.read_rate);
    settings.write_rate =
        reader.count("store", "writes-per-second", 1..=100_000, settings.write_rate);
    settings.burst = reader.count("store", "burst", 1..=100_000, settings.burst);
    if endpoints.is_empty() {
        return None;
    }
    settings.endpoints = endpoints;
    Some(settings)
}

fn read_instances(reader: &mut SettingsReader) -> Option<InstancesSettings> {
    let urls = reader.urls("instances", "url");
    let poll_interval = reader.millis("instances", "period-ms", 100..=60_000, 1_000);
    let timeout = reader.millis("instances", "timeout-ms", 10..=10_000, 1_000);
    let url = urls.into_iter().next()?;
    Some(InstancesSettings { url, poll_interval, timeout })
}

pub(crate) fn read_logs(reader: &mut SettingsReader) -> LogSettings {
    let formats = [("json", LogFormat::Json), ("terminal", LogFormat::Terminal)];
    let levels = [
        ("error", Level::Error),
        ("warning", Level::Warning),
        ("info", Level::Info),
        ("debug", Level::Debug),
    ];
    LogSettings {
        format: reader.choice("logs", "form", &formats, LogFormat::Json),
        level: reader.choice("logs", "level", &levels, Level::Info),
        ..LogSettings::default()
    }
}

/// Reads typed values from a settings file and collects all errors.
pub(crate) struct SettingsReader {
    file: PathBuf,
    sections: BTreeMap<String, Properties>,
    /// Keys requested so far, by section.
    known_keys: BTreeMap<&'static str, BTreeSet<&'static str>>,
    problems: Vec<Problem>,
}

impl SettingsReader {
    /// Parses a file. Keys outside sections, duplicate sections and duplicate keys are errors.
    pub(crate) fn new(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
        let mut reader = Self {
            file: file.to_owned(),
            sections: BTreeMap::new(),
            known_keys: BTreeMap::new(),
            problems: Vec::new(),
        };
        // The INI parser would silently merge such lines with adjacent ones.
        let malformed = text.lines().zip(1..).filter(|(line, _)| is_malformed(line.trim()));
        let malformed: Vec<_> = malformed.map(|(_, number)| number).collect();
        if !malformed.is_empty() {
            for number in malformed {
                let message =
                    format!("line {number}: expected [section], key = value or a comment");
                let file = reader.file.clone();
                reader.problems.push(Problem { file, section: None, key: None, message });
            }
            return Err(SettingsError(reader.problems));
        }
        let ini = match Ini::load_from_str_opt(text, option) {
            Ok(ini) => ini,
            Err(error) => {
                let message = format!("line {}: {}", error.line, error.msg);
                reader.problems.push(Problem {
                    file: reader.file,
                    section: None,
                    key: None,
                    message,
                });
                return Err(SettingsError(reader.problems));
            }
        };
        for (section, properties) in &ini {
            let Some(section) = section else {
                for (key, _) in properties {
                    reader.problem("", key, "key outside any section".to_owned());
                }
                continue;
            };
            let mut keys = BTreeSet::new();
            for (key, _) in properties {
                if !keys.insert(key) {
                    reader.problem(section, key, "duplicate key".to_owned());
                }
            }
            if reader.sections.insert(section.to_owned(), properties.clone()).is_some() {
                reader.section_problem(section, "duplicate section");
            }
        }
        Ok(reader)
    }

    /// Reports sections and keys that were never requested, and returns all errors.
    pub(crate) fn finish(mut self) -> Result<(), SettingsError> {
        let sections = std::mem::take(&mut self.sections);
        for (section, properties) in &sections {
            match self.known_keys.get(section.as_str()).cloned() {
                None => {
                    let known: Vec<_> = self.known_keys.keys().copied().collect();
                    let message = format!("unknown section; known sections: {}", known.join(", "));
                    self.section_problem(section, &message);
                }
                Some(keys) => {
                    let unknown = properties.iter().filter(|(key, _)| !keys.contains(*key));
                    for (key, _) in unknown {
                        let known: Vec<_> = keys.iter().copied().collect();
                        let message = format!("unknown key; known keys: {}", known.join(", "));
                        self.problem(section, key, message);
                    }
                }
            }
        }
        if self.problems.is_empty() { Ok(()) } else { Err(SettingsError(self.problems)) }
    }

    pub(crate) fn problem(&mut self, section: &str, key: &str, message: String) {
        self.problems.push(Problem {
            file: self.file.clone(),
            section: (!section.is_empty()).then(|| section.to_owned()),
            key: Some(key.to_owned()),
            message,
        });
    }

    fn section_problem(&mut self, section: &str, message: &str) {
        self.problems.push(Problem {
            file: self.file.clone(),
            section: Some(section.to_owned()),
            key: None,
            message: message.to_owned(),
        });
    }

    /// Removes and returns a section with arbitrary keys.
    fn take_section(&mut self, section: &'static str) -> Vec<(String, String)> {
        self.known_keys.entry(section).or_default();
        let taken = self.sections.remove(section);
        let pairs = taken.iter().flat_map(|properties| properties.iter());
        pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
    }

    fn value(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        self.known_keys.entry(section).or_default().insert(key);
        self.sections.get(section)?.get(key).map(|value| value.trim().to_owned())
    }

    /// Reads and parses a value. The key is required if there is no default.
    fn read<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        accepted: &str,
        default: Option<T>,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.value(section, key) else {
            if default.is_none() {
                self.problem(section, key, format!("required; expected {accepted}"));
            }
            return default;
        };
        let parsed = parse(&value);
        if parsed.is_none() {
            self.problem(section, key, format!("'{value}' is not accepted; expected {accepted}"));
        }
        parsed.or(default)
    }

    /// Reads a URL or a list of URLs. Errors omit the value, because it may contain a password.
    fn read_url<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        accepted: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let parsed = parse(&self.value(section, key)?);
        if parsed.is_none() {
            self.problem(section, key, format!("not accepted; expected {accepted}"));
        }
        parsed
    }

    fn number(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        let parse = |value: &str| value.parse().ok().filter(|number| range.contains(number));
        self.read(section, key, &accepted, Some(default), parse).unwrap_or(default)
    }

    pub(crate) fn size(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: usize,
    ) -> usize {
        let number = self.number(section, key, range, default as u64);
        usize::try_from(number).unwrap_or(default)
    }

    pub(crate) fn count(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u32,
    ) -> u32 {
        let number = self.number(section, key, range, u64::from(default));
        u32::try_from(number).unwrap_or(default)
    }

    pub(crate) fn millis(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Duration {
        Duration::from_millis(self.number(section, key, range, default))
    }

    pub(crate) fn flag(&mut self, section: &'static str, key: &'static str, default: bool) -> bool {
        self.choice(section, key, &[("yes", true), ("no", false)], default)
    }

    pub(crate) fn choice<T: Copy>(
        &mut self,
        section: &'static str,
        key: &'static str,
        choices: &[(&'static str, T)],
        default: T,
    ) -> T {
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        let accepted = format!("one of {}", names.join(", "));
        let parse = |value: &str| choices.iter().find(|(name, _)| *name == value).map(|(_, t)| *t);
        self.read(section, key, &accepted, Some(default), parse).unwrap_or(default)
    }

    pub(crate) fn address(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: Option<SocketAddr>,
    ) -> SocketAddr {
        let accepted = "an IP address and port such as 127.0.0.1:8080";
        let read = self.read(section, key, accepted, default, |value| value.parse().ok());
        read.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub(crate) fn name(&mut self, section: &'static str, key: &'static str) -> String {
        self.read(section, key, ACCEPTED_NAME, None, parse_name).unwrap_or_default()
    }

    pub(crate) fn name_or(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: &str,
    ) -> String {
        self.read(section, key, ACCEPTED_NAME, Some(default.to_owned()), parse_name)
            .unwrap_or_default()
    }

    /// Reads the path of an existing file. Relative paths are resolved against the directory of the
    /// settings file.
    pub(crate) fn file(&mut self, section: &'static str, key: &'static str) -> PathBuf {
        let base = self.file.parent().map(Path::to_owned).unwrap_or_default();
        let parse = |value: &str| Some(base.join(value)).filter(|path| path.is_file());
        self.read(section, key, "a file that exists", None, parse).unwrap_or_default()
    }

    fn path_or(&mut self, section: &'static str, key: &'static str, default: &str) -> String {
        let accepted = "a path that begins with /";
        let parse = |value: &str| value.starts_with('/').then(|| value.to_owned());
        self.read(section, key, accepted, Some(default.to_owned()), parse).unwrap_or_default()
    }

    pub(crate) fn url(&mut self, section: &'static str, key: &'static str) -> String {
        if self.sections.get(section).is_none_or(|keys| !keys.contains_key(key)) {
            self.problem(section, key, format!("required; expected {ACCEPTED_URL}"));
        }
        self.read_url(section, key, ACCEPTED_URL, parse_url).unwrap_or_default()
    }

    fn urls(&mut self, section: &'static str, key: &'static str) -> Vec<String> {
        let accepted =
            "URLs without user and password, such as http://127.0.0.1:2379, separated by commas";
        let parse = |value: &str| value.split(',').map(|url| parse_url(url.trim())).collect();
        self.read_url(section, key, accepted, parse).unwrap_or_default()
    }
}

/// Whether a line is neither empty, a comment, a section header nor a `key = value` pair.
fn is_malformed(line: &str) -> bool {
    let section = line.starts_with('[') && line.ends_with(']');
    let pair = !line.starts_with('[') && line.contains('=');
    !(line.is_empty() || line.starts_with([';', '#']) || section || pair)
}

const ACCEPTED_NAME: &str = "1 to 64 letters, digits, '-', '_' and '.'";
const ACCEPTED_URL: &str = "a URL without user and password, such as http://127.0.0.1:9000";

fn parse_name(value: &str) -> Option<String> {
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    ((1..=64).contains(&value.len()) && value.chars().all(valid)).then(|| value.to_owned())
}

fn parse_url(value: &str) -> Option<String> {
    let url = reqwest::Url::parse(value).ok()?;
    let http = matches!(url.scheme(), "http" | "https") && url.has_host();
    // A URL with a password would appear in error messages.
    let plain = url.username().is_empty() && url.password().is_none();
    (http && plain).then(|| value.trim_end_matches('/').to_owned())
}
