//! Measures in virtual time how a new bundle version propagates to all nodes. The nodes, signatures
//! and sections are real; the store and the connections are simulated.

use crate::BenchError;
use bytes::Bytes;
use damaskweir_bundle::{
    Action, Content, Manifest, Node, NodeStep, Record, SecretKey, TrustedKeys,
};
use damaskweir_core::Rng;
use damaskweir_core::epoch::{Epoch, EpochAction, EpochSettings, Source, is_watcher};
use damaskweir_core::prelude::*;
use damaskweir_core::report::{StatusAction, StatusReporter};
use pico_args::Arguments;
use rand_core::{Rng as _, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write as _;
use std::net::SocketAddr;

const ZONES: usize = 4;
/// Maximum number of entries that each side is connected to.
const CONNECTIONS_PER_SIDE: usize = 10;
/// One-way delay between a node and the store, for a round trip of 50 ms.
const STORE_DELAY: Span = Span::from_millis(25);
/// Minimum one-way delay between two nodes. A random delay of less than the same length is added.
const PEER_DELAY_MIN: Span = Span(500);
/// Overhead per message in bytes: frame, report, and QUIC and UDP headers.
const MESSAGE_OVERHEAD_BYTES: usize = 90;
/// Heartbeat interval of an entry on an idle connection.
const ENTRY_HEARTBEAT_INTERVAL: Span = Span::from_secs(2);
/// Heartbeat interval of a side on an idle connection.
const SIDE_HEARTBEAT_INTERVAL: Span = Span::from_secs(1);
/// Interval between changes within a run, before jitter.
const CHANGE_INTERVAL: Span = Span::from_secs(20);
const CHANGES_PER_RUN: u64 = 5;

/// Size of the simulated deployment.
#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    sides: usize,
    workspaces: u32,
}

/// Fault that is injected into a run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The store stays up, and all answers are intact.
    None,
    /// The store goes down right after accepting the last change. The watch events that it has
    /// already sent still arrive.
    StoreDown,
    /// Like `StoreDown`, but the manifest of the last change reaches only one watcher.
    StoreDownOneEvent,
    /// The store stays up, but 2% of the answers from nodes and the store are corrupted, outdated
    /// or truncated.
    DamagedAnswers,
}

/// Simulated event. The first field is the index of the node, except in `ChangeAccepted`.
#[derive(Clone)]
enum Event {
    /// The timer of a node fires.
    Tick(usize),
    /// The store answers a poll.
    PollAnswered(usize),
    /// A watch delivers a signed manifest.
    ManifestWatched(usize, Bytes),
    /// A watch delivers sections, before the manifest that refers to them.
    SectionsWatched(usize, Vec<Bytes>),
    /// A node sends heartbeats, which advertise its version to its peers.
    Heartbeat(usize),
    /// The version advertised by a peer, the second field, arrives.
    VersionAdvertised(usize, usize, Version),
    /// A requested record arrives.
    RecordReceived(usize, Source, Bytes),
    /// Requested sections or patches arrive.
    SectionsReceived(usize, Source, Vec<SectionAnswer>),
    /// The store accepts a change. The field is the index of the change, from 0.
    ChangeAccepted(u64),
}

/// Answer to a request for one section.
#[derive(Clone)]
struct SectionAnswer {
    wanted: Digest,
    /// `None`: the bytes are the section itself. Otherwise they are a patch of this section.
    base: Option<Digest>,
    bytes: Bytes,
}

/// State of one run. Nodes are numbered with the entries first, then the sides.
struct Simulation {
    size: Size,
    nodes: Vec<Node>,
    peers: Vec<Vec<usize>>,
    watching: Vec<bool>,
    versions: Vec<(Record, Content)>,
    /// Number of leading elements of `versions` that the store has accepted.
    accepted_count: usize,
    store_down: bool,
    fault: Fault,
    /// Times and serial numbers of the pending events.
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    rng: Rng,
    accepted_at: BTreeMap<Version, Time>,
    /// Times from the acceptance of a version to its installation on a node.
    delays: Vec<Span>,
    /// Version that each node last installed.
    installed: Vec<Version>,
    received_bytes: Vec<usize>,
    /// Installations of a version that was not newer than the previous one.
    reversions: u64,
    /// Installations that differ from the signed record or content.
    invalid: u64,
    /// Answers that a node rejected.
    rejected: u64,
}

fn build_bundle(size: Size, share: u32, key: &SecretKey) -> Bundle {
    let server = |i: usize| BackendServer {
        id: format!("encoder-{i}").as_str().into(),
        zone: format!("zone-{}", i % ZONES).as_str().into(),
        side: SocketAddr::from(([10, 1, (i / 250) as u8, (i % 250) as u8], 7_401)),
        slots: 8,
    };
    let pool = Pool {
        kind: PoolKind::Service,
        servers: (0..size.sides).map(server).collect(),
        resume: false,
        extra: 100,
    };
    let stage = Stage {
        name: "encode".to_owned(),
        pool: "encoders".into(),
        effect: Effect::Idempotent,
        path: "/encode".to_owned(),
        expected: Span::from_millis(40),
    };
    let pipeline = Pipeline { deadline: Span::from_secs(3), stages: vec![stage] };
    let workspace = |i: u32| {
        let share = if i == size.workspaces / 2 { share } else { 1 + i % 5 };
        (format!("office-{i}").as_str().into(), Workspace { share, limit: 64 })
    };
    Bundle {
        version: Version(0),
        pools: [("encoders".into(), pool)].into(),
        pipelines: [("ask".into(), pipeline)].into(),
        workspaces: (0..size.workspaces).map(workspace).collect(),
        operators: [("asha".to_owned(), OperatorKey { key: key.public_key().0 })].into(),
    }
}

fn sign_version(
    size: Size,
    key: &SecretKey,
    version: u64,
) -> Result<(Record, Content), BenchError> {
    let content = Content::split(&build_bundle(size, 100 + version as u32, key))
        .map_err(|error| BenchError::Spread(error.to_string()))?;
    let manifest = Manifest {
        version: Version(version),
        from: Version(version - 1),
        action: Action::Approve,
        author: "asha".to_owned(),
        at: 1_800_000_000,
        reason: "share of one workspace".to_owned(),
        content: content.digest(),
        previous: Digest([0; 32]),
        signer: key.public_key().0,
        key_changes: Vec::new(),
    };
    let record =
        Record::sign(manifest, key).map_err(|error| BenchError::Spread(error.to_string()))?;
    Ok((record, content))
}

impl Simulation {
    fn new(
        size: Size,
        seed: u64,
        fault: Fault,
        versions: &[(Record, Content)],
        key: &SecretKey,
    ) -> Self {
        let Size { entries, sides, .. } = size;
        let count = entries + sides;
        let mut peers = vec![Vec::new(); count];
        for side in 0..sides {
            for j in 0..CONNECTIONS_PER_SIDE.min(entries) {
                let entry = (side + j * 7) % entries;
                peers[entries + side].push(entry);
                peers[entry].push(entries + side);
            }
        }
        let nodes = (0..count).map(|i| {
            let settings = if i < entries { EpochSettings::ENTRY } else { EpochSettings::SIDE };
            let epoch = Epoch::new(Time(0), Incarnation(i as u64), settings);
            Node::new(epoch, TrustedKeys::from_settings([key.public_key()]))
        });
        let mut simulation = Self {
            size,
            nodes: nodes.collect(),
            peers,
            watching: vec![false; count],
            versions: versions.to_vec(),
            accepted_count: 1,
            store_down: false,
            fault,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            rng: Rng::seed_from_u64(seed),
            accepted_at: BTreeMap::new(),
            delays: Vec::new(),
            installed: vec![Version(0); count],
            received_bytes: vec![0; count],
            reversions: 0,
            invalid: 0,
            rejected: 0,
        };
        let names: Vec<InstanceId> =
            (0..entries).map(|i| format!("entry-{i}").as_str().into()).collect();
        for i in 0..count {
            for peer in simulation.peers[i].clone() {
                simulation.nodes[i].epoch_mut().connected(Incarnation(peer as u64));
            }
            if i < entries {
                let zone = names.iter().skip(i % ZONES).step_by(ZONES);
                simulation.watching[i] = is_watcher(&names[i], zone);
                let watcher = simulation.watching[i];
                simulation.nodes[i].epoch_mut().set_watcher(watcher);
            }
            simulation.push(Time(0), Event::Tick(i));
            let phase = Span(simulation.rng.next_u64() % simulation.heartbeat_interval(i).0);
            simulation.push(Time(0) + phase, Event::Heartbeat(i));
        }
        for change in 0..CHANGES_PER_RUN {
            let jitter = Span(simulation.rng.next_u64() % 5_000_000);
            let at = Time(0) + CHANGE_INTERVAL * (change + 1) + jitter;
            simulation.push(at, Event::ChangeAccepted(change));
        }
        simulation
    }

    fn heartbeat_interval(&self, node: usize) -> Span {
        if node < self.size.entries { ENTRY_HEARTBEAT_INTERVAL } else { SIDE_HEARTBEAT_INTERVAL }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn run(&mut self) {
        let end = Time(0) + CHANGE_INTERVAL * (CHANGES_PER_RUN + 2);
        while let Some(Reverse((now, serial))) = self.queue.pop() {
            if now > end {
                break;
            }
            if let Some(event) = self.events.remove(&serial) {
                self.handle_event(now, event);
            }
        }
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick(i) => {
                let actions = self.nodes[i].tick(now, &mut self.rng);
                self.perform_actions(now, i, actions);
                let next = self.nodes[i].epoch().next_tick().max(now + Span::from_millis(50));
                self.push(next, Event::Tick(i));
            }
            Event::Heartbeat(i) => {
                let version = self.installed[i];
                for peer in self.peers[i].clone() {
                    // Skip heartbeats that advertise nothing new, which is most of them, to save
                    // events.
                    if version > self.installed[peer] {
                        let at = now + self.peer_delay();
                        self.push(at, Event::VersionAdvertised(peer, i, version));
                    }
                }
                self.push(now + self.heartbeat_interval(i), Event::Heartbeat(i));
            }
            Event::PollAnswered(i) => {
                let bytes = self.versions[self.accepted_count - 1].0.bytes().clone();
                self.receive_advertised(now, i, &bytes);
                self.nodes[i].epoch_mut().polled(now, &mut self.rng);
            }
            Event::ManifestWatched(i, bytes) => {
                self.received_bytes[i] += bytes.len() + MESSAGE_OVERHEAD_BYTES;
                self.receive_advertised(now, i, &bytes);
            }
            Event::SectionsWatched(i, sections) => {
                self.received_bytes[i] +=
                    sections.iter().map(|s| s.len() + MESSAGE_OVERHEAD_BYTES).sum::<usize>();
                sections.into_iter().for_each(|bytes| self.nodes[i].cache_section(bytes));
            }
            Event::VersionAdvertised(i, peer, version) => {
                let source = Source::Peer(Incarnation(peer as u64));
                let action = self.nodes[i].epoch_mut().advertised(now, source, version);
                self.perform_actions(now, i, action);
            }
            Event::RecordReceived(i, source, bytes) => {
                self.received_bytes[i] += bytes.len() + MESSAGE_OVERHEAD_BYTES;
                match self.nodes[i].receive_record(now, source, &bytes) {
                    Ok(step) => self.perform_step(now, i, source, step),
                    Err(_) => self.reject_answer(now, i, source),
                }
            }
            Event::SectionsReceived(i, source, answers) => {
                self.receive_sections(now, i, source, answers)
            }
            Event::ChangeAccepted(change) => self.accept_change(now, change),
        }
    }

    fn receive_advertised(&mut self, now: Time, i: usize, bytes: &Bytes) {
        if let Ok(advertised) = self.nodes[i].advertised_record(now, Source::Store, bytes) {
            self.perform_actions(now, i, advertised.action);
            if let Some(step) = advertised.step {
                self.perform_step(now, i, Source::Store, step);
            }
        }
    }

    fn receive_sections(
        &mut self,
        now: Time,
        i: usize,
        source: Source,
        answers: Vec<SectionAnswer>,
    ) {
        for answer in answers {
            self.received_bytes[i] += answer.bytes.len() + MESSAGE_OVERHEAD_BYTES;
            let node = &mut self.nodes[i];
            let received = match answer.base {
                Some(base) => node.receive_patch(now, source, &answer.wanted, &base, &answer.bytes),
                None => node.receive_section(now, source, &answer.wanted, answer.bytes),
            };
            match received {
                Ok(Some(step)) => self.perform_step(now, i, source, step),
                Ok(None) => {}
                Err(_) => {
                    self.reject_answer(now, i, source);
                    return;
                }
            }
        }
    }

    fn reject_answer(&mut self, now: Time, i: usize, source: Source) {
        self.rejected += 1;
        let action = self.nodes[i].source_failed(now, source);
        self.perform_actions(now, i, action);
    }

    fn perform_step(&mut self, now: Time, i: usize, source: Source, step: NodeStep) {
        match step {
            NodeStep::Fetch(_, needs) => {
                let mut answers = Vec::new();
                for (wanted, base) in needs {
                    if let Some(answer) = self.section_answer(source, wanted, base) {
                        answers.push(answer);
                    }
                }
                if let Some(at) = self.answer_time(now, source) {
                    self.push(at, Event::SectionsReceived(i, source, answers));
                }
            }
            NodeStep::Installed(installed) => {
                let version = installed.bundle.version;
                if version <= self.installed[i] {
                    self.reversions += 1;
                }
                let (record, content) = &self.versions[version.0 as usize - 1];
                if installed.record.bytes() != record.bytes() || installed.content != *content {
                    self.invalid += 1;
                }
                self.installed[i] = version;
                if let Some(at) = self.accepted_at.get(&version) {
                    self.delays.push(now.since(*at));
                }
                for peer in self.peers[i].clone() {
                    let at = now + self.peer_delay();
                    self.push(at, Event::VersionAdvertised(peer, i, version));
                }
            }
        }
    }

    fn perform_actions(
        &mut self,
        now: Time,
        i: usize,
        actions: impl IntoIterator<Item = EpochAction>,
    ) {
        for action in actions {
            match action {
                EpochAction::Poll => {
                    if !self.store_down {
                        self.push(now + STORE_DELAY * 2, Event::PollAnswered(i));
                    }
                }
                EpochAction::Pull(source, _) => {
                    let record = match source {
                        Source::Store => {
                            Some(self.versions[self.accepted_count - 1].0.bytes().clone())
                        }
                        Source::Peer(peer) => self.nodes[peer.0 as usize].record(),
                    };
                    let record = record.map(|record| self.maybe_damage(record));
                    if let (Some(record), Some(at)) = (record, self.answer_time(now, source)) {
                        self.push(at, Event::RecordReceived(i, source, record));
                    }
                }
                EpochAction::Watch | EpochAction::Unwatch => {}
            }
        }
    }

    fn section_answer(
        &mut self,
        source: Source,
        wanted: Digest,
        base: Option<Digest>,
    ) -> Option<SectionAnswer> {
        let answer = match source {
            Source::Store => {
                let content =
                    self.versions[..self.accepted_count].iter().rev().find_map(|(_, content)| {
                        if content.digest() == wanted {
                            return Some(content.index_bytes.clone());
                        }
                        content.sections.get(&wanted).cloned()
                    });
                SectionAnswer { wanted, base: None, bytes: content? }
            }
            Source::Peer(peer) => {
                let node = &self.nodes[peer.0 as usize];
                match base.and_then(|base| node.patch(&wanted, &base)) {
                    Some(bytes) => SectionAnswer { wanted, base, bytes },
                    None => SectionAnswer { wanted, base: None, bytes: node.section(&wanted)? },
                }
            }
        };
        Some(SectionAnswer { bytes: self.maybe_damage(answer.bytes.clone()), ..answer })
    }

    /// Damages 2% of the answers if the fault is `DamagedAnswers`.
    fn maybe_damage(&mut self, bytes: Bytes) -> Bytes {
        if self.fault != Fault::DamagedAnswers || !self.rng.next_u64().is_multiple_of(50) {
            return bytes;
        }
        match self.rng.next_u64() % 3 {
            0 => self.versions[0].0.bytes().clone(),
            1 => bytes.slice(..bytes.len() / 2),
            _ => {
                let mut damaged = bytes.to_vec();
                let at = self.rng.next_u64() as usize % damaged.len().max(1);
                if let Some(byte) = damaged.get_mut(at) {
                    *byte ^= 4;
                }
                damaged.into()
            }
        }
    }

    /// Arrival time of an answer, or `None` if the source is the store and it is down.
    fn answer_time(&mut self, now: Time, source: Source) -> Option<Time> {
        match source {
            Source::Store => (!self.store_down).then(|| now + STORE_DELAY * 2),
            Source::Peer(_) => Some(now + self.peer_delay() + self.peer_delay()),
        }
    }

    fn peer_delay(&mut self) -> Span {
        PEER_DELAY_MIN + Span(self.rng.next_u64() % PEER_DELAY_MIN.0)
    }

    fn accept_change(&mut self, now: Time, change: u64) {
        self.accepted_count += 1;
        let (record, content) = self.versions[self.accepted_count - 1].clone();
        let old = self.versions[self.accepted_count - 2].1.clone();
        self.accepted_at.insert(record.manifest().version, now);
        let mut sections = vec![content.index_bytes.clone()];
        let added = content.sections.iter().filter(|(id, _)| !old.sections.contains_key(id));
        sections.extend(added.map(|(_, bytes)| bytes.clone()));
        let last = change + 1 == CHANGES_PER_RUN;
        let mut notified = 0;
        for i in (0..self.size.entries).filter(|i| self.watching[*i]).collect::<Vec<_>>() {
            // The sections were written by the call before this one, so their watch event arrives
            // by now at the latest.
            self.push(now, Event::SectionsWatched(i, sections.clone()));
            if last && self.fault == Fault::StoreDownOneEvent && notified == 1 {
                continue;
            }
            notified += 1;
            self.push(now + STORE_DELAY, Event::ManifestWatched(i, record.bytes().clone()));
        }
        if last && matches!(self.fault, Fault::StoreDown | Fault::StoreDownOneEvent) {
            self.store_down = true;
        }
    }
}

/// Results of all runs with one fault.
struct Measurement {
    /// Sorted times from acceptance to installation.
    delays: Vec<Span>,
    /// Installations that did not happen before the end of the run.
    missing: usize,
    /// Maximum bytes that a node received per change: of the watchers, and of all other nodes.
    max_bytes: [usize; 2],
    /// Size of the whole bundle in bytes.
    bundle_bytes: usize,
    reversions: u64,
    invalid: u64,
    rejected: u64,
}

fn measure(
    size: Size,
    seeds: std::ops::Range<u64>,
    fault: Fault,
) -> Result<Measurement, BenchError> {
    let key = SecretKey::from_seed(&[7; 32]);
    let versions: Vec<(Record, Content)> = (1..=CHANGES_PER_RUN + 1)
        .map(|version| sign_version(size, &key, version))
        .collect::<Result<_, _>>()?;
    let mut measurement = Measurement {
        delays: Vec::new(),
        missing: 0,
        max_bytes: [0; 2],
        bundle_bytes: versions[0].1.total_bytes(),
        reversions: 0,
        invalid: 0,
        rejected: 0,
    };
    for seed in seeds {
        let mut simulation = Simulation::new(size, seed, fault, &versions, &key);
        // The first pulls transfer the whole bundle, so their bytes are not counted.
        let start = Time(0) + CHANGE_INTERVAL;
        while let Some(Reverse((now, serial))) = simulation.queue.peek().copied() {
            if now >= start {
                break;
            }
            simulation.queue.pop();
            if let Some(event) = simulation.events.remove(&serial) {
                simulation.handle_event(now, event);
            }
        }
        simulation.received_bytes.fill(0);
        simulation.run();
        let nodes = size.entries + size.sides;
        measurement.missing += nodes * CHANGES_PER_RUN as usize - simulation.delays.len();
        for (bytes, watching) in simulation.received_bytes.iter().zip(&simulation.watching) {
            let most = &mut measurement.max_bytes[usize::from(!watching)];
            *most = (*most).max(bytes.div_ceil(CHANGES_PER_RUN as usize));
        }
        measurement.delays.append(&mut simulation.delays);
        measurement.reversions += simulation.reversions;
        measurement.invalid += simulation.invalid;
        measurement.rejected += simulation.rejected;
    }
    measurement.delays.sort_unstable();
    Ok(measurement)
}

/// Reads and writes per second at the store, with an unchanged version or with frequent changes.
fn store_call_rates(entries: usize, sides: usize, changes: bool, rng: &mut Rng) -> (f64, f64) {
    const MEASURED_TIME: Span = Span::from_secs(3_600);
    /// Interval between changes at 7,000 changes a day.
    const CHANGE_PERIOD: Span = Span::from_millis(12_343);
    /// Warm-up during which the poll times settle; calls are not counted.
    const SETTLE_TIME: Span = Span::from_secs(1_200);
    let (mut reads, mut writes) = (0u64, 0u64);
    let end = Time(0) + SETTLE_TIME + MEASURED_TIME;
    let counted = |now: Time| now >= Time(0) + SETTLE_TIME;
    for i in 0..entries + sides {
        let settings = if i < entries { EpochSettings::ENTRY } else { EpochSettings::SIDE };
        let mut epoch = Epoch::new(Time(0), Incarnation(i as u64), settings);
        epoch.install(Version(1));
        let mut now = Time(0);
        while now < end {
            for action in epoch.tick(now, rng) {
                if action == EpochAction::Poll {
                    // With each poll, an entry also reads the list of the entries of its zone.
                    let calls = if i < entries { 2 } else { 1 };
                    reads += if counted(now) { calls } else { 0 };
                    epoch.polled(now, rng);
                }
            }
            now = epoch.next_tick().max(now + Span(1));
        }
    }
    for _ in 0..entries {
        let mut reporter = StatusReporter::new(Time(0));
        let mut now = Time(0);
        while now < end {
            let state = if changes { now.0 / CHANGE_PERIOD.0 } else { 0 };
            match reporter.tick(now, rng, state) {
                Some(StatusAction::Write | StatusAction::Renew) => {
                    writes += u64::from(counted(now));
                }
                None => {}
            }
            now = now + Span::from_secs(1);
        }
    }
    if changes {
        // Upper bound for two watchers in each of ten zones: one read of the index and one of the
        // section per change. Watchers that got the sections by watch events read nothing.
        reads += 20 * 2 * (MEASURED_TIME.0 / CHANGE_PERIOD.0);
    }
    let seconds = MEASURED_TIME.as_secs_f64();
    (reads as f64 / seconds, writes as f64 / seconds)
}

/// Maximum number of store calls in one second, first during and then after an outage of ten minutes,
/// if all nodes poll the store.
fn outage_peak_rates(nodes: usize, rng: &mut Rng) -> (u64, u64) {
    const OUTAGE_START: Time = Time(600_000_000);
    const OUTAGE_END: Time = Time(1_200_000_000);
    let mut during = BTreeMap::<u64, u64>::new();
    let mut after = BTreeMap::<u64, u64>::new();
    for i in 0..nodes {
        let mut epoch = Epoch::new(Time(0), Incarnation(i as u64), EpochSettings::ENTRY);
        epoch.install(Version(1));
        let mut now = Time(0);
        while now < OUTAGE_END + Span::from_secs(300) {
            for action in epoch.tick(now, rng) {
                if action != EpochAction::Poll {
                    continue;
                }
                let second = now.0 / 1_000_000;
                if now >= OUTAGE_END {
                    *after.entry(second).or_default() += 1;
                } else if now >= OUTAGE_START {
                    *during.entry(second).or_default() += 1;
                }
                if (OUTAGE_START..OUTAGE_END).contains(&now) {
                    epoch.poll_failed(now, rng);
                } else {
                    epoch.polled(now, rng);
                }
            }
            now = epoch.next_tick().max(now + Span(1));
        }
    }
    let peak = |counts: BTreeMap<u64, u64>| counts.into_values().max().unwrap_or_default();
    (peak(during), peak(after))
}

/// Runs `bench spread [--seed N] [--runs N] [--entries N] [--sides N] [--workspaces N]`.
pub(crate) fn run(mut args: Arguments) -> Result<String, BenchError> {
    let seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let runs: u64 = args.opt_value_from_str("--runs")?.unwrap_or(10);
    let size = Size {
        entries: args.opt_value_from_str("--entries")?.unwrap_or(40).max(1),
        sides: args.opt_value_from_str("--sides")?.unwrap_or(400),
        workspaces: args.opt_value_from_str("--workspaces")?.unwrap_or(6_000),
    };
    if let Some(first) = args.finish().first() {
        return Err(BenchError::Unknown(first.to_string_lossy().into_owned()));
    }
    let mut text = format!(
        "{} entries, {} sides, {} workspaces, store answers in 50 ms; seed {seed}, {runs} runs of \
         {CHANGES_PER_RUN} changes of one workspace\n",
        size.entries, size.sides, size.workspaces
    );
    let faults = [
        ("store up", Fault::None),
        ("store down after the last acceptance", Fault::StoreDown),
        ("the same, one watch event", Fault::StoreDownOneEvent),
        ("2% of answers damaged", Fault::DamagedAnswers),
    ];
    for (name, fault) in faults {
        let measurement = measure(size, seed..seed.saturating_add(runs), fault)?;
        let at = |share: f64| {
            let last = measurement.delays.len().saturating_sub(1);
            let index = (measurement.delays.len() as f64 * share) as usize;
            measurement.delays.get(index.min(last)).map_or(0, |span| span.as_millis())
        };
        let percent = |bytes: usize| 100.0 * bytes as f64 / measurement.bundle_bytes as f64;
        let [watchers, others] = measurement.max_bytes;
        // Writing to a `String` never fails.
        let _ = writeln!(
            text,
            "{name}: accepted to in force p50 {} ms, p99 {} ms, most {} ms; not in force {}; most \
             bytes per node and change {others} ({:.2}%), of a watcher {watchers} ({:.2}%), whole \
             bundle {}; refused {}; reversions {}; unsigned or partial {}",
            at(0.5),
            at(0.99),
            at(1.0),
            measurement.missing,
            percent(others),
            percent(watchers),
            measurement.bundle_bytes,
            measurement.rejected,
            measurement.reversions,
            measurement.invalid,
        );
    }
    let mut rng = Rng::seed_from_u64(seed);
    for (name, changes) in [("at rest", false), ("7,000 changes a day", true)] {
        let mut points = Vec::new();
        for (entries, sides) in [(63, 1_100), (315, 5_500), (630, 11_000)] {
            let (reads, writes) = store_call_rates(entries, sides, changes, &mut rng);
            points.push((reads, writes));
            let _ = writeln!(
                text,
                "{name}, {entries} entries and {sides} sides: {reads:.2} reads/s, {writes:.2} \
                 writes/s"
            );
        }
        if let [(small_reads, small_writes), _, (reads, writes)] = points[..] {
            let _ = writeln!(
                text,
                "{name}, slope per 100 entries with their sides: {:.2} reads/s, {:.2} writes/s",
                (reads - small_reads) / 5.67,
                (writes - small_writes) / 5.67
            );
        }
    }
    let (during, after) = outage_peak_rates(1_000, &mut rng);
    let _ = writeln!(
        text,
        "1,000 polling nodes, store down for 10 minutes: peak {during} calls/s during the outage, \
         {after} after it"
    );
    Ok(text)
}
