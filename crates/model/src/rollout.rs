//! Bundles: operators approve, nodes pull, restart and take work.

use crate::search::{Print, Spec, explore};
use crate::{Fault, Report, Size, Violation};
use damaskweir_core::epoch::{Epoch, EpochAction, Source};
use damaskweir_core::ids::{Incarnation, Version};
use damaskweir_core::time::Time;
use std::fmt;

/// Version that a forged manifest claims.
const FORGED: Version = Version(9);
/// Time plays no part: a pull that takes too long is a step of its own.
const NOW: Time = Time(0);

/// A manifest with all its sections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Manifest {
    version: Version,
    /// Who wrote it; stands for its content.
    author: u8,
    signed: bool,
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Show { to: usize, from: usize, version: Version },
    Pull { by: usize, source: Source },
    Brought { to: usize, source: Source, manifest: Manifest },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operator {
    Idle,
    /// Saw this version.
    Looked(Version),
    Accepted,
    Overtaken,
}

#[derive(Clone, Debug)]
struct Node {
    epoch: Epoch,
    force: Option<Manifest>,
    pulls: Option<Source>,
    /// Takes work.
    ready: bool,
    /// Version that a restarted node must reach before it takes work.
    target: Option<Version>,
    /// Version that work must not fall behind.
    floor: Version,
}

#[derive(Clone, Debug)]
struct World {
    fault: Option<Fault>,
    faults: u8,
    store: Manifest,
    up: bool,
    operators: Vec<Operator>,
    nodes: Vec<Node>,
    net: Vec<Message>,
    broken: Option<Violation>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Look(usize),
    Approve(usize),
    Watch(usize),
    Deliver(Message),
    Copy(Message),
    Forge(usize),
    Timeout(usize),
    Restart(usize),
    CatchUp(usize),
    StoreDown,
    StoreUp,
}

pub(crate) fn check(size: Size, fault: Option<Fault>, wanted: Option<Violation>) -> Report {
    let spec = Spec { print, steps, broken: |world: &World| world.broken };
    explore(size, World::new(size, fault), &spec, wanted)
}

fn print(world: &World) -> u128 {
    let mut print = Print::default();
    let World { faults, store, up, operators, nodes, broken, .. } = world;
    print.add(&(faults, store, up, operators, nodes, broken));
    let mut net: Vec<_> = world.net.iter().map(|message| format!("{message:?}")).collect();
    net.sort_unstable();
    print.add(&net);
    print.finish()
}

fn steps(world: &World) -> Vec<(Step, World)> {
    let mut out = Vec::new();
    let mut step = |step: Step, act: &dyn Fn(&mut World)| {
        let mut after = world.clone();
        act(&mut after);
        after.judge();
        out.push((step, after));
    };
    let faulty = world.faults > 0;
    for (i, operator) in world.operators.iter().enumerate() {
        match operator {
            Operator::Idle if world.up => step(Step::Look(i), &|w| {
                w.operators[i] = Operator::Looked(w.store.version);
            }),
            Operator::Looked(seen) if world.up => step(Step::Approve(i), &|w| w.approve(i, *seen)),
            _ => {}
        }
    }
    for (i, message) in world.net.iter().enumerate() {
        step(Step::Deliver(*message), &|w| {
            let message = w.net.swap_remove(i);
            w.deliver(message);
        });
        if faulty {
            step(Step::Copy(*message), &|w| {
                w.faults -= 1;
                w.deliver(*message);
            });
        }
    }
    for (i, node) in world.nodes.iter().enumerate() {
        if world.up && node.epoch.force() < world.store.version && node.pulls.is_none() {
            step(Step::Watch(i), &|w| w.show(i, Source::Store, w.store.version));
        }
        if !node.ready && node.target.is_none() {
            step(Step::CatchUp(i), &|w| w.catch_up(i));
        }
        if !faulty {
            continue;
        }
        if let Some(source) = node.pulls {
            step(Step::Forge(i), &|w| {
                w.faults -= 1;
                let manifest = Manifest { version: FORGED, author: 99, signed: false };
                w.net.push(Message::Brought { to: i, source, manifest });
            });
            step(Step::Timeout(i), &|w| {
                w.faults -= 1;
                w.failed(i, source);
            });
        }
        step(Step::Restart(i), &|w| w.restart(i));
    }
    if world.up && faulty {
        step(Step::StoreDown, &|w| {
            w.faults -= 1;
            w.up = false;
        });
    }
    if !world.up {
        step(Step::StoreUp, &|w| w.up = true);
    }
    out
}

impl World {
    fn new(size: Size, fault: Option<Fault>) -> Self {
        let (nodes, operators, faults) = match size {
            Size::Rollout { nodes, operators, faults } => (nodes, operators, faults),
            Size::Calls { .. } => (2, 2, 1),
        };
        let first = Manifest { version: Version(1), author: 0, signed: true };
        let mut epoch = Epoch::default();
        epoch.install(first.version);
        let node = Node {
            epoch,
            force: Some(first),
            pulls: None,
            ready: true,
            target: None,
            floor: first.version,
        };
        Self {
            fault,
            faults,
            store: first,
            up: true,
            operators: vec![Operator::Idle; usize::from(operators)],
            nodes: vec![node; usize::from(nodes)],
            net: Vec::new(),
            broken: None,
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn approve(&mut self, i: usize, seen: Version) {
        if self.store.version != seen && !self.has(Fault::BlindOverwrite) {
            self.operators[i] = Operator::Overtaken;
            return;
        }
        self.operators[i] = Operator::Accepted;
        self.store = Manifest { version: Version(seen.0 + 1), author: i as u8 + 1, signed: true };
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Show { to, from, version } => self.show(to, peer(from), version),
            Message::Pull { by, source } => {
                let manifest = match source {
                    Source::Store => self.up.then_some(self.store),
                    Source::Peer(Incarnation(peer)) => self.nodes[peer as usize].force,
                };
                match manifest {
                    Some(manifest) => self.net.push(Message::Brought { to: by, source, manifest }),
                    None => self.failed(by, source),
                }
            }
            Message::Brought { to, source, manifest } => self.brought(to, source, manifest),
        }
    }

    fn show(&mut self, i: usize, source: Source, version: Version) {
        let action = self.nodes[i].epoch.shown(NOW, source, version);
        self.pull(i, action);
    }

    fn pull(&mut self, i: usize, action: Option<EpochAction>) {
        if let Some(EpochAction::Pull(source, _)) = action {
            self.nodes[i].pulls = Some(source);
            self.net.push(Message::Pull { by: i, source });
        }
    }

    fn failed(&mut self, i: usize, source: Source) {
        // Only the pull that is under way can fail.
        if self.nodes[i].pulls == Some(source) {
            self.nodes[i].pulls = None;
            let action = self.nodes[i].epoch.failed(NOW, source);
            self.pull(i, action);
        }
    }

    fn brought(&mut self, i: usize, source: Source, manifest: Manifest) {
        if self.nodes[i].pulls != Some(source) {
            return;
        }
        if !manifest.signed && !self.has(Fault::UnsignedAccepted) {
            self.failed(i, source);
            return;
        }
        let lower = self.has(Fault::LowerAccepted);
        let node = &mut self.nodes[i];
        node.pulls = None;
        if lower {
            node.epoch = Epoch::default();
        }
        if node.epoch.install(manifest.version) {
            node.force = Some(manifest);
            node.ready |= node.target.is_some_and(|target| manifest.version >= target);
            for to in (0..self.nodes.len()).filter(|to| *to != i) {
                self.net.push(Message::Show { to, from: i, version: manifest.version });
            }
        }
    }

    fn restart(&mut self, i: usize) {
        self.faults -= 1;
        let ready = self.has(Fault::UncaughtServes);
        let node = &mut self.nodes[i];
        *node = Node {
            epoch: Epoch::default(),
            force: None,
            pulls: None,
            ready,
            target: None,
            floor: node.floor,
        };
        // Streams of the old process are gone.
        self.net.retain(|message| match message {
            Message::Show { to, .. } | Message::Brought { to, .. } => *to != i,
            Message::Pull { by, .. } => *by != i,
        });
    }

    /// Reads which version to reach: from the store, or from all peers when it is down.
    fn catch_up(&mut self, i: usize) {
        let peers = (0..self.nodes.len()).filter(|peer| *peer != i);
        let shown: Vec<_> = if self.up {
            vec![(Source::Store, self.store.version)]
        } else {
            peers.map(|n| (peer(n), self.nodes[n].epoch.force())).collect()
        };
        let target = shown.iter().map(|(_, version)| *version).max().unwrap_or_default();
        if target == Version::default() {
            return;
        }
        let node = &mut self.nodes[i];
        if !self.up {
            // Without the store, a version that no reached peer has can't be known.
            node.floor = target;
        }
        node.target = Some(target);
        node.ready = node.epoch.force() >= target;
        for (source, version) in shown {
            self.show(i, source, version);
        }
    }

    fn judge(&mut self) {
        let mut manifests: Vec<Manifest> = Vec::new();
        for node in self.nodes.iter_mut() {
            let force = node.epoch.force();
            if node.ready {
                if force < node.floor {
                    self.broken = Some(Violation::Reverted);
                }
                node.floor = node.floor.max(force);
            }
            let Some(manifest) = node.force else { continue };
            if !manifest.signed {
                self.broken = Some(Violation::Unsigned);
            }
            let forked =
                |m: &Manifest| m.version == manifest.version && m.author != manifest.author;
            if manifests.iter().any(forked) {
                self.broken = Some(Violation::Forked);
            }
            manifests.push(manifest);
        }
    }
}

fn peer(node: usize) -> Source {
    Source::Peer(Incarnation(node as u64))
}

fn name(source: Source) -> String {
    match source {
        Source::Store => "store".to_owned(),
        Source::Peer(Incarnation(node)) => format!("n{node}"),
    }
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show { to, from, version } => write!(f, "n{from} shows {version} to n{to}"),
            Self::Pull { by, source } => write!(f, "n{by} pulls from {}", name(*source)),
            Self::Brought { to, source, manifest } => {
                let Manifest { version, author, signed } = manifest;
                let signed = if *signed { "" } else { ", unsigned" };
                write!(f, "{} brings {version} of o{author}{signed} to n{to}", name(*source))
            }
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Look(operator) => write!(f, "o{} looks", operator + 1),
            Self::Approve(operator) => write!(f, "o{} approves", operator + 1),
            Self::Watch(node) => write!(f, "watch of n{node} fires"),
            Self::Deliver(message) => write!(f, "{message}"),
            Self::Copy(message) => write!(f, "copy: {message}"),
            Self::Forge(node) => write!(f, "someone forges an answer to n{node}"),
            Self::Timeout(node) => write!(f, "pull of n{node} times out"),
            Self::Restart(node) => write!(f, "n{node} restarts"),
            Self::CatchUp(node) => write!(f, "n{node} looks what to catch up with"),
            Self::StoreDown => f.write_str("store goes down"),
            Self::StoreUp => f.write_str("store returns"),
        }
    }
}
