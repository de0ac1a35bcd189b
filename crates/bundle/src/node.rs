//! Verifies manifests and sections from any source and installs complete bundles.

use crate::manifest::{ManifestError, Record, TrustedKeys};
use crate::patch::Patch;
use crate::section::{Content, ContentError, Index, digest};
use bytes::Bytes;
use damaskweir_core::epoch::{Epoch, EpochAction, Source};
use damaskweir_core::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// Number of bundles kept: the current one, the previous one for running requests, and two older
/// ones as bases of patches for peers that lag behind.
const BUNDLES_MAX: usize = 4;
/// Maximum total size, in bytes, of the sections that a watch delivered before a manifest refers to
/// them. The largest bundle expected in two years is smaller than 1 MB.
const CACHED_BYTES_MAX: usize = 4_000_000;

/// Reason why a message from a source is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NodeError {
    /// The node did not request this from the source.
    #[error("not requested from this source")]
    Unrequested,
    /// The offered version is not higher than the current one.
    #[error("version {offered} is not higher than the current version {current}")]
    Stale {
        /// Version of the record.
        offered: Version,
        /// Current version.
        current: Version,
    },
    /// The version is lower than the one that the source advertised.
    #[error("source advertised version {advertised} but sent version {offered}")]
    Replayed {
        /// Version that the source advertised.
        advertised: Version,
        /// Version of the record.
        offered: Version,
    },
    /// The manifest is invalid or its signer is not trusted.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// A section is too large, does not match its digest, or can't be rebuilt from a patch.
    #[error("section does not match digest {0}")]
    DigestMismatch(Digest),
    /// A section that the index lists is missing.
    #[error("section {0} is missing")]
    MissingSection(Digest),
    /// The sections can't be joined into a bundle.
    #[error(transparent)]
    Content(#[from] ContentError),
}

/// Next step of a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeStep {
    /// Fetch these sections from the source. The second digest of each pair names a section that
    /// this node has and that the source can use as the base of a patch.
    Fetch(Source, Vec<(Digest, Option<Digest>)>),
    /// This bundle is now the current one. Advertise its version on all connections.
    Installed(Arc<InstalledBundle>),
}

/// A bundle, together with the record and the sections that it was installed from.
#[derive(Debug, PartialEq, Eq)]
pub struct InstalledBundle {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// Signed manifest of the bundle.
    pub record: Record,
    /// Sections of the bundle.
    pub content: Content,
}

#[derive(Debug)]
struct Pending {
    record: Record,
    index: Option<(Index, Bytes)>,
    sections: BTreeMap<Digest, Bytes>,
}

/// The bundles of a node and the state of a pull.
#[derive(Debug)]
pub struct Node {
    epoch: Epoch,
    settings_keys: TrustedKeys,
    /// Newest first.
    bundles: VecDeque<Arc<InstalledBundle>>,
    /// Bundle that is being pulled, once its manifest has been accepted. It is installed only when
    /// complete.
    pending: Option<Pending>,
    /// Sections that a watch delivered, oldest first. They are used only once a manifest refers to
    /// them.
    cached: VecDeque<(Digest, Bytes)>,
    cached_bytes: usize,
}

impl Node {
    /// Creates a node without a bundle. `keys` are the operators' keys from the settings.
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

    /// Returns the state of version distribution.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Returns the state of version distribution, for reporting events that need no verification,
    /// such as polls and connections.
    pub fn epoch_mut(&mut self) -> &mut Epoch {
        &mut self.epoch
    }

    /// Returns the current bundle.
    pub fn current(&self) -> Option<&Arc<InstalledBundle>> {
        self.bundles.front()
    }

    /// Returns the bundle of a version, if it is still kept.
    pub fn bundle(&self, version: Version) -> Option<&Arc<Bundle>> {
        self.bundles
            .iter()
            .map(|installed| &installed.bundle)
            .find(|bundle| bundle.version == version)
    }

    /// Returns the current record, to answer a peer.
    pub fn record(&self) -> Option<Bytes> {
        self.current().map(|installed| installed.record.bytes().clone())
    }

    /// Returns the section or index with this digest, to answer a peer.
    pub fn section(&self, wanted: &Digest) -> Option<Bytes> {
        self.bundles.iter().find_map(|installed| installed.section(wanted))
    }

    /// Returns the encoded patch from section `base` to section `wanted`, to answer a peer.
    pub fn patch(&self, wanted: &Digest, base: &Digest) -> Option<Bytes> {
        Some(Patch::new(&self.section(base)?, &self.section(wanted)?).encode())
    }

    /// Caches a section that a watch delivered before the manifest that will refer to it. The
    /// bundle can then be completed even if the store fails right after the manifest was accepted.
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

    /// Handles a version that a source advertised by sending its record, as polls and watches of
    /// the store do.
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

    /// Handles the record that was requested from a source.
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

    /// Handles a complete section that was requested from a source.
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

    /// Handles a requested section that a source sent as a patch of the section `base`.
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

    /// Handles a failed pull, or one whose data was rejected. Returns a pull from another source,
    /// if there is one.
    pub fn source_failed(&mut self, now: Time, source: Source) -> Option<EpochAction> {
        if self.epoch.pulling().is_some_and(|(pulled, _)| pulled == source) {
            self.pending = None;
        }
        self.epoch.source_failed(now, source)
    }

    /// Handles a peer's closed connection.
    pub fn disconnected(&mut self, now: Time, peer: Incarnation) -> Option<EpochAction> {
        if self.epoch.pulling().is_some_and(|(pulled, _)| pulled == Source::Peer(peer)) {
            self.pending = None;
        }
        self.epoch.disconnected(now, peer)
    }

    /// Returns the actions that are due.
    pub fn tick(&mut self, now: Time, rng: &mut Rng) -> Vec<EpochAction> {
        let before = self.epoch.pulling();
        let actions = self.epoch.tick(now, rng);
        // Discards what an unsuccessful pull received. The next pull starts with its own manifest.
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

    /// Returns a section of a kept bundle or a cached section.
    fn local_section(&self, wanted: &Digest) -> Option<Bytes> {
        let cached = || self.cached.iter().find(|(known, _)| known == wanted);
        self.section(wanted).or_else(|| cached().map(|(_, bytes)| bytes.clone()))
    }

    /// Returns the digests that the pending bundle still lacks, each with the digest of a patch
    /// base.
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

    /// Installs the pending bundle if it is complete; otherwise requests the missing sections.
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

/// Result of handling an advertised record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertiseOutcome {
    /// Action that concerns another source.
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
