//! Verifies manifests and sections from any source and puts whole bundles into force.

use crate::manifest::{ManifestError, Record, Trust};
use crate::patch::Patch;
use crate::section::{Content, ContentError, Index, digest};
use bytes::Bytes;
use damaskweir_core::epoch::{Epoch, EpochAction, Source};
use damaskweir_core::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// Bundles that are kept: the one in force, the one before for running requests, and two more, from
/// which peers that lag can be sent differences.
const KEPT: usize = 4;
/// Bytes of sections that a watcher saw before the manifest that names them. The largest bundle at
/// the sizes of two years from now takes less than 1 MB.
const AHEAD_MAX_BYTES: usize = 4_000_000;

/// Why something from a source is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NodeError {
    /// Nothing was asked of this source.
    #[error("not requested")]
    Unrequested,
    /// The version is not higher than the one in force.
    #[error("version {offered} is not higher than {force}, which is in force")]
    Lower {
        /// Version that was offered.
        offered: Version,
        /// Version in force.
        force: Version,
    },
    /// The version is lower than the one that the source showed.
    #[error("source showed version {shown} and sent {offered}")]
    Replayed {
        /// Version that was shown.
        shown: Version,
        /// Version that was offered.
        offered: Version,
    },
    /// The manifest is not valid.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// A section does not match its digest.
    #[error("section does not match its digest {0}")]
    Mismatch(Digest),
    /// The source does not have a section.
    #[error("source lacks the section {0}")]
    Missing(Digest),
    /// The sections don't make a bundle.
    #[error(transparent)]
    Content(#[from] ContentError),
}

/// What follows from a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeStep {
    /// These sections are needed from the source. The second digest is of a section that is held and
    /// that the source may send the difference from.
    Need(Source, Vec<(Digest, Option<Digest>)>),
    /// This bundle is in force now. The version is to be shown on all connections.
    InForce(Arc<Held>),
}

/// A bundle with what it was made of.
#[derive(Debug, PartialEq, Eq)]
pub struct Held {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// Its record.
    pub record: Record,
    /// Its sections.
    pub content: Content,
}

#[derive(Debug)]
struct Pending {
    record: Record,
    index: Option<(Index, Bytes)>,
    sections: BTreeMap<Digest, Bytes>,
}

/// A node's bundles.
#[derive(Debug)]
pub struct Node {
    epoch: Epoch,
    settings_trust: Trust,
    /// Newest first.
    held: VecDeque<Arc<Held>>,
    /// What is being pulled, once its manifest was accepted. Never in force while it is incomplete.
    pending: Option<Pending>,
    /// Sections that a watch showed, oldest first. They matter only once a manifest names them.
    ahead: VecDeque<(Digest, Bytes)>,
    ahead_bytes: usize,
}

impl Node {
    /// A node without a bundle. `trust` holds the operators' keys from the settings.
    pub fn new(epoch: Epoch, trust: Trust) -> Self {
        Self {
            epoch,
            settings_trust: trust,
            held: VecDeque::new(),
            pending: None,
            ahead: VecDeque::new(),
            ahead_bytes: 0,
        }
    }

    /// The decisions about versions.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Reports events that need no check, such as polls and connections.
    pub fn epoch_mut(&mut self) -> &mut Epoch {
        &mut self.epoch
    }

    /// What is in force.
    pub fn force(&self) -> Option<&Arc<Held>> {
        self.held.front()
    }

    /// The bundle of a version, if it is still held.
    pub fn bundle(&self, version: Version) -> Option<&Arc<Bundle>> {
        self.held.iter().map(|held| &held.bundle).find(|bundle| bundle.version == version)
    }

    /// The record in force, for a peer that asks.
    pub fn record(&self) -> Option<Bytes> {
        self.force().map(|held| held.record.bytes().clone())
    }

    /// A section or index by its digest, for a peer that asks.
    pub fn section(&self, wanted: &Digest) -> Option<Bytes> {
        self.held.iter().find_map(|held| held.section(wanted))
    }

    /// The difference of two sections, for a peer that asks and holds `base`.
    pub fn patch(&self, wanted: &Digest, base: &Digest) -> Option<Bytes> {
        Some(Patch::new(&self.section(base)?, &self.section(wanted)?).encode())
    }

    /// A watch showed a section. It is kept for the manifest that will name it, so that the bundle is
    /// complete even if the store goes down right after the manifest was accepted.
    pub fn ahead(&mut self, bytes: Bytes) {
        if bytes.len() > crate::SECTION_MAX_BYTES {
            return;
        }
        let address = digest(&bytes);
        if self.ahead.iter().any(|(known, _)| *known == address) {
            return;
        }
        self.ahead_bytes += bytes.len();
        self.ahead.push_back((address, bytes));
        while self.ahead_bytes > AHEAD_MAX_BYTES {
            let Some((_, bytes)) = self.ahead.pop_front() else { break };
            self.ahead_bytes -= bytes.len();
        }
    }

    /// A source showed a version by a whole record, as polls and watches of the store do.
    pub fn show_record(
        &mut self,
        now: Time,
        source: Source,
        bytes: &Bytes,
    ) -> Result<Shown, NodeError> {
        let record = self.checked(bytes)?;
        let version = record.manifest().version;
        match self.epoch.advertised(now, source, version) {
            Some(EpochAction::Pull(from, _)) if from == source => {
                Ok(Shown { action: None, step: Some(self.begin(now, source, record)) })
            }
            action => Ok(Shown { action, step: None }),
        }
    }

    /// A source answered with the record that was asked for.
    pub fn take_record(
        &mut self,
        now: Time,
        source: Source,
        bytes: &Bytes,
    ) -> Result<NodeStep, NodeError> {
        let (asked, shown) = self.epoch.pulling().ok_or(NodeError::Unrequested)?;
        if asked != source || self.pending.is_some() {
            return Err(NodeError::Unrequested);
        }
        let record = self.checked(bytes)?;
        let offered = record.manifest().version;
        if offered < shown {
            return Err(NodeError::Replayed { shown, offered });
        }
        Ok(self.begin(now, source, record))
    }

    /// A source answered with a section that was needed, whole.
    pub fn take_section(
        &mut self,
        now: Time,
        source: Source,
        wanted: &Digest,
        bytes: Bytes,
    ) -> Result<Option<NodeStep>, NodeError> {
        self.requested(source, wanted)?;
        if bytes.len() > crate::SECTION_MAX_BYTES || digest(&bytes) != *wanted {
            return Err(NodeError::Mismatch(*wanted));
        }
        self.epoch.progress(now);
        let Some(pending) = &mut self.pending else { return Err(NodeError::Unrequested) };
        if pending.record.manifest().content == *wanted {
            let index = Index::decode(&bytes)?;
            pending.index = Some((index, bytes));
            return self.proceed(source);
        }
        pending.sections.insert(*wanted, bytes);
        if self.missing().is_empty() { self.proceed(source) } else { Ok(None) }
    }

    /// A source answered with the difference from a section that is held.
    pub fn take_patch(
        &mut self,
        now: Time,
        source: Source,
        wanted: &Digest,
        base: &Digest,
        patch: &[u8],
    ) -> Result<Option<NodeStep>, NodeError> {
        self.requested(source, wanted)?;
        let whole = self
            .section(base)
            .and_then(|base| Patch::decode(patch)?.apply(&base))
            .ok_or(NodeError::Mismatch(*wanted))?;
        self.take_section(now, source, wanted, whole)
    }

    /// A pull failed, or brought something that was not accepted.
    pub fn failed(&mut self, now: Time, source: Source) -> Option<EpochAction> {
        if self.epoch.pulling().is_some_and(|(pulled, _)| pulled == source) {
            self.pending = None;
        }
        self.epoch.source_failed(now, source)
    }

    /// A peer's connection closed.
    pub fn disconnected(&mut self, now: Time, peer: Incarnation) -> Option<EpochAction> {
        if self.epoch.pulling().is_some_and(|(pulled, _)| pulled == Source::Peer(peer)) {
            self.pending = None;
        }
        self.epoch.disconnected(now, peer)
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: Time, rng: &mut Rng) -> Vec<EpochAction> {
        let before = self.epoch.pulling();
        let actions = self.epoch.tick(now, rng);
        // A pull that is over without a bundle leaves nothing behind. The next one begins with a
        // manifest of its own.
        let renewed = actions.iter().any(|action| matches!(action, EpochAction::Pull(..)));
        if renewed || self.epoch.pulling() != before {
            self.pending = None;
        }
        actions
    }

    fn checked(&self, bytes: &Bytes) -> Result<Record, NodeError> {
        let record = Record::decode(bytes)?;
        let (offered, force) = (record.manifest().version, self.epoch.current());
        if offered <= force {
            return Err(NodeError::Lower { offered, force });
        }
        match self.force() {
            Some(held) => Trust::from_bundle(&held.bundle).check(&record)?,
            None => self.settings_trust.check(&record)?,
        }
        Ok(record)
    }

    fn requested(&self, source: Source, wanted: &Digest) -> Result<(), NodeError> {
        let asked = self.epoch.pulling().is_some_and(|(pulled, _)| pulled == source);
        if asked && self.missing().iter().any(|(needed, _)| needed == wanted) {
            Ok(())
        } else {
            Err(NodeError::Unrequested)
        }
    }

    fn begin(&mut self, now: Time, source: Source, record: Record) -> NodeStep {
        self.epoch.progress(now);
        let content = record.manifest().content;
        self.pending = Some(Pending { record, index: None, sections: BTreeMap::new() });
        let known = self.local(&content);
        if let Some(bytes) = known
            && let (Some(pending), Ok(index)) = (&mut self.pending, Index::decode(&bytes))
        {
            pending.index = Some((index, bytes));
            if let Ok(Some(step)) = self.proceed(source) {
                return step;
            }
        }
        NodeStep::Need(source, self.missing())
    }

    /// A section that is held already or was seen ahead.
    fn local(&self, wanted: &Digest) -> Option<Bytes> {
        let ahead = || self.ahead.iter().find(|(known, _)| known == wanted);
        self.section(wanted).or_else(|| ahead().map(|(_, bytes)| bytes.clone()))
    }

    /// What the pending bundle still needs from its source.
    fn missing(&self) -> Vec<(Digest, Option<Digest>)> {
        let Some(pending) = &self.pending else { return Vec::new() };
        let Some((index, _)) = &pending.index else {
            let base = self.force().map(|held| held.record.manifest().content);
            return vec![(pending.record.manifest().content, base)];
        };
        let old = self.force().map(|held| &held.content.index.0);
        let mut missing: BTreeMap<Digest, Option<Digest>> = BTreeMap::new();
        for (slot, wanted) in index.0.iter().enumerate() {
            if !pending.sections.contains_key(wanted) && self.local(wanted).is_none() {
                missing.insert(*wanted, old.map(|old| old[slot]));
            }
        }
        missing.into_iter().collect()
    }

    /// Puts the pending bundle into force when it is complete.
    fn proceed(&mut self, source: Source) -> Result<Option<NodeStep>, NodeError> {
        let missing = self.missing();
        if !missing.is_empty() {
            return Ok(Some(NodeStep::Need(source, missing)));
        }
        let Some(pending) = self.pending.take() else { return Ok(None) };
        let Some((index, index_bytes)) = pending.index else { return Ok(None) };
        let mut sections = BTreeMap::new();
        for (_, address) in index.digests() {
            let known = pending.sections.get(&address).cloned().or_else(|| self.local(&address));
            sections.insert(address, known.ok_or(NodeError::Missing(address))?);
        }
        let version = pending.record.manifest().version;
        let joined = Content::join(version, &index, |address| sections.get(address).cloned())?;
        if !self.epoch.install(version) {
            return Err(NodeError::Lower { offered: version, force: self.epoch.current() });
        }
        let held = Arc::new(Held {
            bundle: Arc::new(joined),
            record: pending.record,
            content: Content { index, index_bytes, sections },
        });
        self.held.push_front(Arc::clone(&held));
        self.held.truncate(KEPT);
        Ok(Some(NodeStep::InForce(held)))
    }
}

/// What follows from a record that a source showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// Something to ask of another source.
    pub action: Option<EpochAction>,
    /// The next step with this source.
    pub step: Option<NodeStep>,
}

impl Held {
    fn section(&self, wanted: &Digest) -> Option<Bytes> {
        if self.record.manifest().content == *wanted {
            return Some(self.content.index_bytes.clone());
        }
        self.content.sections.get(wanted).cloned()
    }
}
