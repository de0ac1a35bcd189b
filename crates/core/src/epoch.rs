//! Which bundle version is in force on a node, and what to pull from whom.

use crate::ids::{Incarnation, Version};
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// Time after which a pull that brought nothing is given up.
const PULL_TIMEOUT: Span = Span::from_millis(500);

/// A source of manifests and sections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's store.
    Store,
    /// A peer process.
    Peer(Incarnation),
}

/// What the node must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochAction {
    /// Pull the manifest and the missing sections of this version or a higher one.
    Pull(Source, Version),
}

/// A node's view of bundle versions.
#[derive(Clone, Debug, Default)]
pub struct Epoch {
    /// Never decreases.
    force: Version,
    /// Highest version that each source showed, above `force` only.
    shown: BTreeMap<Source, Version>,
    pull: Option<(Source, Time)>,
}

impl Epoch {
    /// The version in force; zero before the first.
    pub fn force(&self) -> Version {
        self.force
    }

    /// A source showed a version.
    pub fn shown(&mut self, now: Time, source: Source, version: Version) -> Option<EpochAction> {
        if version <= self.force {
            return None;
        }
        self.shown.insert(source, version);
        self.next_pull(now)
    }

    /// A whole bundle with a valid signature arrived. True if it goes into force.
    pub fn install(&mut self, version: Version) -> bool {
        self.pull = None;
        if version <= self.force {
            return false;
        }
        self.force = version;
        self.shown.retain(|_, shown| *shown > version);
        true
    }

    /// A pull failed or brought something invalid; the source is forgotten until it shows again.
    pub fn failed(&mut self, now: Time, source: Source) -> Option<EpochAction> {
        self.shown.remove(&source);
        self.pull = None;
        self.next_pull(now)
    }

    /// Gives up a pull that takes too long.
    pub fn tick(&mut self, now: Time) -> Option<EpochAction> {
        match self.pull {
            Some((source, sent)) if now.since(sent) >= PULL_TIMEOUT => self.failed(now, source),
            _ => None,
        }
    }

    fn next_pull(&mut self, now: Time) -> Option<EpochAction> {
        if self.pull.is_some() {
            return None;
        }
        let (source, version) = self.shown.iter().max_by_key(|(_, version)| **version)?;
        self.pull = Some((*source, now));
        Some(EpochAction::Pull(*source, *version))
    }
}
