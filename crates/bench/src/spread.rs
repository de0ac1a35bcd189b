//! Spread of bundles in virtual time: real nodes with real signatures and sections, over fakes of the
//! store and of the connections.

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
/// Entries that each side is connected to.
const DEGREE: usize = 10;
/// One way between a node and the store, which answers in 50 ms.
const STORE_WAY: Span = Span::from_millis(25);
/// One way between two nodes, plus up to as much again.
const PEER_WAY: Span = Span(500);
/// Bytes around each message: frame, report, and QUIC and UDP headers.
const FRAME_BYTES: usize = 90;
/// Time between heartbeats of an idle connection, of its entry and of its side.
const ENTRY_HEARTBEAT: Span = Span::from_secs(2);
const SIDE_HEARTBEAT: Span = Span::from_secs(1);
/// Time between changes within a run.
const CHANGE_GAP: Span = Span::from_secs(20);
const CHANGES: u64 = 5;

/// Size of the deployment.
#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    sides: usize,
    workspaces: u32,
}

/// How a change meets the store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Weather {
    /// The store stays up.
    Fair,
    /// It goes down when the last change is accepted; the watch events are on their way.
    Down,
    /// The same, and one watch event only is on its way.
    OneEvent,
    /// It stays up; 2% of the answers of nodes and store are damaged, older or cut.
    Damage,
}

#[derive(Clone)]
enum Event {
    Tick(usize),
    /// The store answers a poll.
    Polled(usize),
    /// A watch shows the manifest.
    Watched(usize, Bytes),
    /// A watch shows sections.
    Ahead(usize, Vec<Bytes>),
    /// Heartbeats of a node show its version to its peers.
    Beat(usize),
    /// A peer's version arrives.
    Shown(usize, usize, Version),
    /// A record that was asked for arrives.
    Record(usize, Source, Bytes),
    /// Sections or differences that were asked for arrive.
    Sections(usize, Source, Vec<Part>),
    Change(u64),
}

#[derive(Clone)]
struct Part {
    wanted: Digest,
    base: Option<Digest>,
    bytes: Bytes,
}

struct World {
    size: Size,
    nodes: Vec<Node>,
    peers: Vec<Vec<usize>>,
    watching: Vec<bool>,
    versions: Vec<(Record, Content)>,
    /// Number of versions accepted.
    accepted: usize,
    down: bool,
    weather: Weather,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    rng: Rng,
    accepted_at: BTreeMap<Version, Time>,
    spans: Vec<Span>,
    reached: Vec<Version>,
    bytes: Vec<usize>,
    reversions: u64,
    wrong: u64,
    refused: u64,
}

fn bundle(size: Size, share: u32, key: &SecretKey) -> Bundle {
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

fn sign(size: Size, key: &SecretKey, number: u64) -> Result<(Record, Content), BenchError> {
    let content = Content::split(&bundle(size, 100 + number as u32, key))
        .map_err(|error| BenchError::Spread(error.to_string()))?;
    let manifest = Manifest {
        version: Version(number),
        from: Version(number - 1),
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

impl World {
    fn new(
        size: Size,
        seed: u64,
        weather: Weather,
        versions: &[(Record, Content)],
        key: &SecretKey,
    ) -> Self {
        let Size { entries, sides, .. } = size;
        let count = entries + sides;
        let mut peers = vec![Vec::new(); count];
        for side in 0..sides {
            for j in 0..DEGREE.min(entries) {
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
        let mut world = Self {
            size,
            nodes: nodes.collect(),
            peers,
            watching: vec![false; count],
            versions: versions.to_vec(),
            accepted: 1,
            down: false,
            weather,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            rng: Rng::seed_from_u64(seed),
            accepted_at: BTreeMap::new(),
            spans: Vec::new(),
            reached: vec![Version(0); count],
            bytes: vec![0; count],
            reversions: 0,
            wrong: 0,
            refused: 0,
        };
        let names: Vec<InstanceId> =
            (0..entries).map(|i| format!("entry-{i}").as_str().into()).collect();
        for i in 0..count {
            for peer in world.peers[i].clone() {
                world.nodes[i].epoch_mut().connected(Incarnation(peer as u64));
            }
            if i < entries {
                let zone = names.iter().skip(i % ZONES).step_by(ZONES);
                world.watching[i] = is_watcher(&names[i], zone);
                let watcher = world.watching[i];
                world.nodes[i].epoch_mut().set_watcher(watcher);
            }
            world.push(Time(0), Event::Tick(i));
            let phase = Span(world.rng.next_u64() % world.heartbeat(i).0);
            world.push(Time(0) + phase, Event::Beat(i));
        }
        for change in 0..CHANGES {
            let jitter = Span(world.rng.next_u64() % 5_000_000);
            let at = Time(0) + CHANGE_GAP * (change + 1) + jitter;
            world.push(at, Event::Change(change));
        }
        world
    }

    fn heartbeat(&self, node: usize) -> Span {
        if node < self.size.entries { ENTRY_HEARTBEAT } else { SIDE_HEARTBEAT }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn run(&mut self) {
        let end = Time(0) + CHANGE_GAP * (CHANGES + 2);
        while let Some(Reverse((now, serial))) = self.queue.pop() {
            if now > end {
                break;
            }
            if let Some(event) = self.events.remove(&serial) {
                self.take(now, event);
            }
        }
    }

    fn take(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick(i) => {
                let actions = self.nodes[i].tick(now, &mut self.rng);
                self.carry_out(now, i, actions);
                let next = self.nodes[i].epoch().next_tick().max(now + Span::from_millis(50));
                self.push(next, Event::Tick(i));
            }
            Event::Beat(i) => {
                let version = self.reached[i];
                for peer in self.peers[i].clone() {
                    // Most show nothing new, and those need no event of their own.
                    if version > self.reached[peer] {
                        let at = now + self.peer_way();
                        self.push(at, Event::Shown(peer, i, version));
                    }
                }
                self.push(now + self.heartbeat(i), Event::Beat(i));
            }
            Event::Polled(i) => {
                let bytes = self.versions[self.accepted - 1].0.bytes().clone();
                self.show_record(now, i, &bytes);
                self.nodes[i].epoch_mut().polled(now, &mut self.rng);
            }
            Event::Watched(i, bytes) => {
                self.bytes[i] += bytes.len() + FRAME_BYTES;
                self.show_record(now, i, &bytes);
            }
            Event::Ahead(i, sections) => {
                self.bytes[i] += sections.iter().map(|s| s.len() + FRAME_BYTES).sum::<usize>();
                sections.into_iter().for_each(|bytes| self.nodes[i].cache_section(bytes));
            }
            Event::Shown(i, peer, version) => {
                let source = Source::Peer(Incarnation(peer as u64));
                let action = self.nodes[i].epoch_mut().advertised(now, source, version);
                self.carry_out(now, i, action);
            }
            Event::Record(i, source, bytes) => {
                self.bytes[i] += bytes.len() + FRAME_BYTES;
                match self.nodes[i].receive_record(now, source, &bytes) {
                    Ok(step) => self.step(now, i, source, step),
                    Err(_) => self.failed(now, i, source),
                }
            }
            Event::Sections(i, source, parts) => self.sections(now, i, source, parts),
            Event::Change(change) => self.change(now, change),
        }
    }

    fn show_record(&mut self, now: Time, i: usize, bytes: &Bytes) {
        if let Ok(shown) = self.nodes[i].advertised_record(now, Source::Store, bytes) {
            self.carry_out(now, i, shown.action);
            if let Some(step) = shown.step {
                self.step(now, i, Source::Store, step);
            }
        }
    }

    fn sections(&mut self, now: Time, i: usize, source: Source, parts: Vec<Part>) {
        for part in parts {
            self.bytes[i] += part.bytes.len() + FRAME_BYTES;
            let node = &mut self.nodes[i];
            let taken = match part.base {
                Some(base) => node.receive_patch(now, source, &part.wanted, &base, &part.bytes),
                None => node.receive_section(now, source, &part.wanted, part.bytes),
            };
            match taken {
                Ok(Some(step)) => self.step(now, i, source, step),
                Ok(None) => {}
                Err(_) => {
                    self.failed(now, i, source);
                    return;
                }
            }
        }
    }

    fn failed(&mut self, now: Time, i: usize, source: Source) {
        self.refused += 1;
        let action = self.nodes[i].source_failed(now, source);
        self.carry_out(now, i, action);
    }

    fn step(&mut self, now: Time, i: usize, source: Source, step: NodeStep) {
        match step {
            NodeStep::Fetch(_, needs) => {
                let mut parts = Vec::new();
                for (wanted, base) in needs {
                    if let Some(part) = self.serve(source, wanted, base) {
                        parts.push(part);
                    }
                }
                if let Some(at) = self.answer_at(now, source) {
                    self.push(at, Event::Sections(i, source, parts));
                }
            }
            NodeStep::Installed(held) => {
                let version = held.bundle.version;
                if version <= self.reached[i] {
                    self.reversions += 1;
                }
                let (record, content) = &self.versions[version.0 as usize - 1];
                if held.record.bytes() != record.bytes() || held.content != *content {
                    self.wrong += 1;
                }
                self.reached[i] = version;
                if let Some(at) = self.accepted_at.get(&version) {
                    self.spans.push(now.since(*at));
                }
                for peer in self.peers[i].clone() {
                    let at = now + self.peer_way();
                    self.push(at, Event::Shown(peer, i, version));
                }
            }
        }
    }

    fn carry_out(&mut self, now: Time, i: usize, actions: impl IntoIterator<Item = EpochAction>) {
        for action in actions {
            match action {
                EpochAction::Poll => {
                    if !self.down {
                        self.push(now + STORE_WAY * 2, Event::Polled(i));
                    }
                }
                EpochAction::Pull(source, _) => {
                    let record = match source {
                        Source::Store => Some(self.versions[self.accepted - 1].0.bytes().clone()),
                        Source::Peer(peer) => self.nodes[peer.0 as usize].record(),
                    };
                    let record = record.map(|record| self.spoil(record));
                    if let (Some(record), Some(at)) = (record, self.answer_at(now, source)) {
                        self.push(at, Event::Record(i, source, record));
                    }
                }
                EpochAction::Watch | EpochAction::Unwatch => {}
            }
        }
    }

    fn serve(&mut self, source: Source, wanted: Digest, base: Option<Digest>) -> Option<Part> {
        let found = match source {
            Source::Store => {
                let content =
                    self.versions[..self.accepted].iter().rev().find_map(|(_, content)| {
                        if content.digest() == wanted {
                            return Some(content.index_bytes.clone());
                        }
                        content.sections.get(&wanted).cloned()
                    });
                Part { wanted, base: None, bytes: content? }
            }
            Source::Peer(peer) => {
                let node = &self.nodes[peer.0 as usize];
                match base.and_then(|base| node.patch(&wanted, &base)) {
                    Some(bytes) => Part { wanted, base, bytes },
                    None => Part { wanted, base: None, bytes: node.section(&wanted)? },
                }
            }
        };
        Some(Part { bytes: self.spoil(found.bytes.clone()), ..found })
    }

    /// Damages 2% of the answers when that is asked for.
    fn spoil(&mut self, bytes: Bytes) -> Bytes {
        if self.weather != Weather::Damage || !self.rng.next_u64().is_multiple_of(50) {
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

    /// When an answer arrives; never from a store that is down.
    fn answer_at(&mut self, now: Time, source: Source) -> Option<Time> {
        match source {
            Source::Store => (!self.down).then(|| now + STORE_WAY * 2),
            Source::Peer(_) => Some(now + self.peer_way() + self.peer_way()),
        }
    }

    fn peer_way(&mut self) -> Span {
        PEER_WAY + Span(self.rng.next_u64() % PEER_WAY.0)
    }

    fn change(&mut self, now: Time, change: u64) {
        self.accepted += 1;
        let (record, content) = self.versions[self.accepted - 1].clone();
        let old = self.versions[self.accepted - 2].1.clone();
        self.accepted_at.insert(record.manifest().version, now);
        let mut sections = vec![content.index_bytes.clone()];
        let fresh = content.sections.iter().filter(|(id, _)| !old.sections.contains_key(id));
        sections.extend(fresh.map(|(_, bytes)| bytes.clone()));
        let last = change + 1 == CHANGES;
        let mut told = 0;
        for i in (0..self.size.entries).filter(|i| self.watching[*i]).collect::<Vec<_>>() {
            // The sections were written one call before, so their event comes at the latest now.
            self.push(now, Event::Ahead(i, sections.clone()));
            if last && self.weather == Weather::OneEvent && told == 1 {
                continue;
            }
            told += 1;
            self.push(now + STORE_WAY, Event::Watched(i, record.bytes().clone()));
        }
        if last && matches!(self.weather, Weather::Down | Weather::OneEvent) {
            self.down = true;
        }
    }
}

struct Findings {
    spans: Vec<Span>,
    missing: usize,
    /// Most bytes of a node, divided by the number of changes: watchers, and all others.
    bytes: [usize; 2],
    whole: usize,
    reversions: u64,
    wrong: u64,
    refused: u64,
}

fn measure(
    size: Size,
    seeds: std::ops::Range<u64>,
    weather: Weather,
) -> Result<Findings, BenchError> {
    let key = SecretKey::from_seed(&[7; 32]);
    let versions: Vec<(Record, Content)> =
        (1..=CHANGES + 1).map(|number| sign(size, &key, number)).collect::<Result<_, _>>()?;
    let mut findings = Findings {
        spans: Vec::new(),
        missing: 0,
        bytes: [0; 2],
        whole: versions[0].1.total_bytes(),
        reversions: 0,
        wrong: 0,
        refused: 0,
    };
    for seed in seeds {
        let mut world = World::new(size, seed, weather, &versions, &key);
        // The first pulls bring the whole bundle and are not counted.
        let start = Time(0) + CHANGE_GAP;
        while let Some(Reverse((now, serial))) = world.queue.peek().copied() {
            if now >= start {
                break;
            }
            world.queue.pop();
            if let Some(event) = world.events.remove(&serial) {
                world.take(now, event);
            }
        }
        world.bytes.fill(0);
        world.run();
        let nodes = size.entries + size.sides;
        findings.missing += nodes * CHANGES as usize - world.spans.len();
        for (bytes, watching) in world.bytes.iter().zip(&world.watching) {
            let most = &mut findings.bytes[usize::from(!watching)];
            *most = (*most).max(bytes.div_ceil(CHANGES as usize));
        }
        findings.spans.append(&mut world.spans);
        findings.reversions += world.reversions;
        findings.wrong += world.wrong;
        findings.refused += world.refused;
    }
    findings.spans.sort_unstable();
    Ok(findings)
}

/// Calls of nodes at rest, or while the version changes all the time: reads, writes and watches per
/// second.
fn rates(entries: usize, sides: usize, changes: bool, rng: &mut Rng) -> (f64, f64) {
    const LENGTH: Span = Span::from_secs(3_600);
    /// 7,000 changes a day.
    const CHANGE: Span = Span::from_millis(12_343);
    /// Polls settle during this time.
    const SETTLE: Span = Span::from_secs(1_200);
    let (mut reads, mut writes) = (0u64, 0u64);
    let end = Time(0) + SETTLE + LENGTH;
    let counted = |now: Time| now >= Time(0) + SETTLE;
    for i in 0..entries + sides {
        let settings = if i < entries { EpochSettings::ENTRY } else { EpochSettings::SIDE };
        let mut epoch = Epoch::new(Time(0), Incarnation(i as u64), settings);
        epoch.install(Version(1));
        let mut now = Time(0);
        while now < end {
            for action in epoch.tick(now, rng) {
                if action == EpochAction::Poll {
                    // An entry also reads the names of the entries of its zone.
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
            let state = if changes { now.0 / CHANGE.0 } else { 0 };
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
        // Two watchers in each of ten zones saw the sections ahead and read nothing. Should they
        // have to read, that is one call for the index and one for the section.
        reads += 20 * 2 * (LENGTH.0 / CHANGE.0);
    }
    let seconds = LENGTH.as_secs_f64();
    (reads as f64 / seconds, writes as f64 / seconds)
}

/// Most calls within one second after an outage of ten minutes, of nodes that all poll.
fn recovery(nodes: usize, rng: &mut Rng) -> (u64, u64) {
    const DOWN: Time = Time(600_000_000);
    const UP: Time = Time(1_200_000_000);
    let mut during = BTreeMap::<u64, u64>::new();
    let mut after = BTreeMap::<u64, u64>::new();
    for i in 0..nodes {
        let mut epoch = Epoch::new(Time(0), Incarnation(i as u64), EpochSettings::ENTRY);
        epoch.install(Version(1));
        let mut now = Time(0);
        while now < UP + Span::from_secs(300) {
            for action in epoch.tick(now, rng) {
                if action != EpochAction::Poll {
                    continue;
                }
                let second = now.0 / 1_000_000;
                if now >= UP {
                    *after.entry(second).or_default() += 1;
                } else if now >= DOWN {
                    *during.entry(second).or_default() += 1;
                }
                if (DOWN..UP).contains(&now) {
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
         {CHANGES} changes of one workspace\n",
        size.entries, size.sides, size.workspaces
    );
    let weathers = [
        ("store up", Weather::Fair),
        ("store down after the last acceptance", Weather::Down),
        ("the same, one watch event", Weather::OneEvent),
        ("2% of answers damaged", Weather::Damage),
    ];
    for (name, weather) in weathers {
        let findings = measure(size, seed..seed.saturating_add(runs), weather)?;
        let at = |share: f64| {
            let last = findings.spans.len().saturating_sub(1);
            let index = (findings.spans.len() as f64 * share) as usize;
            findings.spans.get(index.min(last)).map_or(0, |span| span.as_millis())
        };
        let percent = |bytes: usize| 100.0 * bytes as f64 / findings.whole as f64;
        let [watchers, others] = findings.bytes;
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{name}: accepted to in force p50 {} ms, p99 {} ms, most {} ms; not in force {}; most \
             bytes per node and change {others} ({:.2}%), of a watcher {watchers} ({:.2}%), whole \
             bundle {}; refused {}; reversions {}; unsigned or partial {}",
            at(0.5),
            at(0.99),
            at(1.0),
            findings.missing,
            percent(others),
            percent(watchers),
            findings.whole,
            findings.refused,
            findings.reversions,
            findings.wrong,
        );
    }
    let mut rng = Rng::seed_from_u64(seed);
    for (name, changes) in [("at rest", false), ("7,000 changes a day", true)] {
        let mut points = Vec::new();
        for (entries, sides) in [(63, 1_100), (315, 5_500), (630, 11_000)] {
            let (reads, writes) = rates(entries, sides, changes, &mut rng);
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
    let (during, after) = recovery(1_000, &mut rng);
    let _ = writeln!(
        text,
        "1,000 polling nodes, store down for 10 minutes: peak {during} calls/s during the outage, \
         {after} after it"
    );
    Ok(text)
}
