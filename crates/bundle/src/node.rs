//! Verifies manifests and sections from any source and puts whole bundles into force.

use crate::manifest::{ManifestError, Record, TrustedKeys};
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
const BUNDLES_MAX: usize = 4;
/// Bytes of sections that a watcher saw before the manifest that names them. The largest bundle at
/// the sizes of two years from now takes less than 1 MB.
const CACHED_BYTES_MAX: usize = 4_000_000;

/// Why something from a source is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NodeError {
    /// Nothing was asked of this source.
    #[error("not requested")]
    Unrequested,
    /// The version is not higher than the one in force.
    #[error("version {offered} is not higher than {current}, which is in force")]
    Stale {
        /// Version that was offered.
        offered: Version,
        /// Version in force.
        current: Version,
    },
    /// The version is lower than the one that the source showed.
    #[error("source showed version {advertised} and sent {offered}")]
    Replayed {
        /// Version that was shown.
        advertised: Version,
        /// Version that was offered.
        offered: Version,
    },
    /// The manifest is not valid.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// A section does not match its digest.
    #[error("section does not match its digest {0}")]
    DigestMismatch(Digest),
    /// The source does not have a section.
    #[error("source lacks the section {0}")]
    MissingSection(Digest),
    /// The sections don't make a bundle.
    #[error(transparent)]
    Content(#[from] ContentError),
}

/// What follows from a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeStep {
    /// These sections are needed from the source. The second digest is of a section that is held and
    /// that the source may send the difference from.
    Fetch(Source, Vec<(Digest, Option<Digest>)>),
    /// This bundle is in force now. The version is to be shown on all connections.
    Installed(Arc<InstalledBundle>),
}

/// A bundle with what it was made of.
#[derive(Debug, PartialEq, Eq)]
pub struct InstalledBundle {
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
    settings_keys: TrustedKeys,
    /// Newest first.
    bundles: VecDeque<Arc<InstalledBundle>>,
    /// What is being pulled, once its manifest was accepted. Never in force while it is incomplete.
    pending: Option<Pending>,
    /// Sections that a watch showed, oldest first. They matter only once a manifest names them.
    cached: VecDeque<(Digest, Bytes)>,
    cached_bytes: usize,
}

impl Node {
    /// A node without a bundle. `keys` holds the operators' keys from the settings.
    pub fn new(epoch: Epoch, keys: TrustedKeys) -> Self {
        Self {
            epoch,
            settings_keys: keys,
            bundles: VecDeque::new(),
            pending: None,
            cached: VecDeque::new(),
            cached_bytes: 0,
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
    pub fn current(&self) -> Option<&Arc<InstalledBundle>> {
        self.bundles.front()
    }

    /// The bundle of a version, if it is still held.
    pub fn bundle(&self, version: Version) -> Option<&Arc<Bundle>> {
        self.bundles
            .iter()
            .map(|installed| &installed.bundle)
            .find(|bundle| bundle.version == version)
    }

    /// The record in force, for a peer that asks.
    pub fn record(&self) -> Option<Bytes> {
        self.current().map(|installed| installed.record.bytes().clone())
    }

    /// A section or index by its digest, for a peer that asks.
    pub fn section(&self, wanted: &Digest) -> Option<Bytes> {
        self.bundles.iter().find_map(|installed| installed.section(wanted))
    }

    /// The difference of two sections, for a peer that asks and holds `base`.
    pub fn patch(&self, wanted: &Digest, base: &Digest) -> Option<Bytes> {
        Some(Patch::new(&self.section(base)?, &self.section(wanted)?).encode())
    }

    /// A watch showed a section. It is kept for the manifest that will name it, so that the bundle is
    /// complete even if the store goes down right after the manifest was accepted.
    pub fn cache_section(&mut self, bytes: Bytes) {
        if bytes.len() > crate::SECTION_MAX_BYTES {
            return;
        }
        let address = digest(&bytes);
        if self.cached.iter().any(|(known, _)| *known == address) {
            return;
        }
        self.cached_bytes += bytes.len();
        self.cached.push_back((address, bytes));
        while self.cached_bytes > CACHED_BYTES_MAX {
            let Some((_, bytes)) = self.cached.pop_front() else { break };
            self.cached_bytes -= bytes.len();
        }
    }

    /// A source showed a version by a whole record, as polls and watches of the store do.
    pub fn advertised_record(
        &mut self,
        now: Time,
        source: Source,
        bytes: &Bytes,
    ) -> Result<AdvertiseOutcome, NodeError> {
        let record = self.verify_record(bytes)?;
        let version = record.manifest().version;
        match self.epoch.advertised(now, source, version) {
            Some(EpochAction::Pull(from, _)) if from == source => Ok(AdvertiseOutcome {
                action: None,
                step: Some(self.start_pending(now, source, record)),
            }),
            action => Ok(AdvertiseOutcome { action, step: None }),
        }
    }

    /// A source answered with the record that was asked for.
    pub fn receive_record(
        &mut self,
        now: Time,
        source: Source,
        bytes: &Bytes,
    ) -> Result<NodeStep, NodeError> {
        let (asked, advertised) = self.epoch.pulling().ok_or(NodeError::Unrequested)?;
        if asked != source || self.pending.is_some() {
            return Err(NodeError::Unrequested);
        }
        let record = self.verify_record(bytes)?;
        let offered = record.manifest().version;
        if offered < advertised {
            return Err(NodeError::Replayed { advertised, offered });
        }
        Ok(self.start_pending(now, source, record))
    }

    /// A source answered with a section that was needed, whole.
    pub fn receive_section(
        &mut self,
        now: Time,
        source: Source,
        wanted: &Digest,
        bytes: Bytes,
    ) -> Result<Option<NodeStep>, NodeError> {
        self.check_requested(source, wanted)?;
        if bytes.len() > crate::SECTION_MAX_BYTES || digest(&bytes) != *wanted {
            return Err(NodeError::DigestMismatch(*wanted));
        }
        self.epoch.progress(now);
        let Some(pending) = &mut self.pending else { return Err(NodeError::Unrequested) };
        if pending.record.manifest().content == *wanted {
            let index = Index::decode(&bytes)?;
            pending.index = Some((index, bytes));
            return self.try_install(source);
        }
        pending.sections.insert(*wanted, bytes);
        if self.missing_sections().is_empty() { self.try_install(source) } else { Ok(None) }
    }

    /// A source answered with the difference from a section that is held.
    pub fn receive_patch(
        &mut self,
        now: Time,
        source: Source,
        wanted: &Digest,
        base: &Digest,
        patch: &[u8],
    ) -> Result<Option<NodeStep>, NodeError> {
        self.check_requested(source, wanted)?;
        let target = self
            .section(base)
            .and_then(|base| Patch::decode(patch)?.apply(&base))
            .ok_or(NodeError::DigestMismatch(*wanted))?;
        self.receive_section(now, source, wanted, target)
    }

    /// A pull failed, or brought something that was not accepted.
    pub fn source_failed(&mut self, now: Time, source: Source) -> Option<EpochAction> {
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

    fn verify_record(&self, bytes: &Bytes) -> Result<Record, NodeError> {
        let record = Record::decode(bytes)?;
        let (offered, current) = (record.manifest().version, self.epoch.current());
        if offered <= current {
            return Err(NodeError::Stale { offered, current });
        }
        match self.current() {
            Some(installed) => TrustedKeys::from_bundle(&installed.bundle).verify(&record)?,
            None => self.settings_keys.verify(&record)?,
        }
        Ok(record)
    }

    fn check_requested(&self, source: Source, wanted: &Digest) -> Result<(), NodeError> {
        let asked = self.epoch.pulling().is_some_and(|(pulled, _)| pulled == source);
        if asked && self.missing_sections().iter().any(|(needed, _)| needed == wanted) {
            Ok(())
        } else {
            Err(NodeError::Unrequested)
        }
    }

    fn start_pending(&mut self, now: Time, source: Source, record: Record) -> NodeStep {
        self.epoch.progress(now);
        let content = record.manifest().content;
        self.pending = Some(Pending { record, index: None, sections: BTreeMap::new() });
        let known = self.local_section(&content);
        if let Some(bytes) = known
            && let (Some(pending), Ok(index)) = (&mut self.pending, Index::decode(&bytes))
        {
            pending.index = Some((index, bytes));
            if let Ok(Some(step)) = self.try_install(source) {
                return step;
            }
        }
        NodeStep::Fetch(source, self.missing_sections())
    }

    /// A section that is held already or was seen ahead.
    fn local_section(&self, wanted: &Digest) -> Option<Bytes> {
        let cached = || self.cached.iter().find(|(known, _)| known == wanted);
        self.section(wanted).or_else(|| cached().map(|(_, bytes)| bytes.clone()))
    }

    /// What the pending bundle still needs from its source.
    fn missing_sections(&self) -> Vec<(Digest, Option<Digest>)> {
        let Some(pending) = &self.pending else { return Vec::new() };
        let Some((index, _)) = &pending.index else {
            let base = self.current().map(|installed| installed.record.manifest().content);
            return vec![(pending.record.manifest().content, base)];
        };
        let old = self.current().map(|installed| &installed.content.index.0);
        let mut missing: BTreeMap<Digest, Option<Digest>> = BTreeMap::new();
        for (slot, wanted) in index.0.iter().enumerate() {
            if !pending.sections.contains_key(wanted) && self.local_section(wanted).is_none() {
                missing.insert(*wanted, old.map(|old| old[slot]));
            }
        }
        missing.into_iter().collect()
    }

    /// Puts the pending bundle into force when it is complete.
    fn try_install(&mut self, source: Source) -> Result<Option<NodeStep>, NodeError> {
        let missing = self.missing_sections();
        if !missing.is_empty() {
            return Ok(Some(NodeStep::Fetch(source, missing)));
        }
        let Some(pending) = self.pending.take() else { return Ok(None) };
        let Some((index, index_bytes)) = pending.index else { return Ok(None) };
        let mut sections = BTreeMap::new();
        for (_, address) in index.digests() {
            let known =
                pending.sections.get(&address).cloned().or_else(|| self.local_section(&address));
            sections.insert(address, known.ok_or(NodeError::MissingSection(address))?);
        }
        let version = pending.record.manifest().version;
        let joined = Content::join(version, &index, |address| sections.get(address).cloned())?;
        if !self.epoch.install(version) {
            return Err(NodeError::Stale { offered: version, current: self.epoch.current() });
        }
        let installed = Arc::new(InstalledBundle {
            bundle: Arc::new(joined),
            record: pending.record,
            content: Content { index, index_bytes, sections },
        });
        self.bundles.push_front(Arc::clone(&installed));
        self.bundles.truncate(BUNDLES_MAX);
        Ok(Some(NodeStep::Installed(installed)))
    }
}

/// What follows from a record that a source showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertiseOutcome {
    /// Something to ask of another source.
    pub action: Option<EpochAction>,
    /// The next step with this source.
    pub step: Option<NodeStep>,
}

impl InstalledBundle {
    fn section(&self, wanted: &Digest) -> Option<Bytes> {
        if self.record.manifest().content == *wanted {
            return Some(self.content.index_bytes.clone());
        }
        self.content.sections.get(wanted).cloned()
    }
}
