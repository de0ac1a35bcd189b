//! Tests of what a node accepts and when it installs a bundle.

#![allow(clippy::unwrap_used, clippy::panic, reason = "test helpers")]

use bytes::Bytes;
use damaskweir_bundle::{
    Action, Content, InstalledBundle, KeyChange, Manifest, ManifestError, Node, NodeError,
    NodeStep, Patch, PublicKey, Record, SecretKey, TrustedKeys, digest,
};
use damaskweir_core::Rng;
use damaskweir_core::epoch::{Epoch, EpochAction, EpochSettings, Source};
use damaskweir_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_core::SeedableRng;
use std::sync::Arc;

const PEER: Source = Source::Peer(Incarnation(50));
const OTHER: Source = Source::Peer(Incarnation(60));
const NOW: Time = Time(1_000_000);

fn secret(seed: u8) -> SecretKey {
    SecretKey::from_seed(&[seed; 32])
}

fn operator(seed: u8) -> OperatorKey {
    OperatorKey { key: secret(seed).public_key().0 }
}

fn bundle(share: u32, keys: &[u8]) -> Bundle {
    let workspace = |i: u32| {
        let id = WorkspaceId::from(format!("office-{i}").as_str());
        (id, Workspace { share: if i == 7 { share } else { 1 }, limit: 64 })
    };
    Bundle {
        version: Version(0),
        pools: Default::default(),
        pipelines: Default::default(),
        workspaces: (0..200).map(workspace).collect(),
        operators: keys.iter().map(|seed| (format!("operator-{seed}"), operator(*seed))).collect(),
    }
}

/// Creates signed bundles whose records form a chain.
struct Chain {
    last: Option<Record>,
    key_changes: Vec<KeyChange>,
    keys: Vec<u8>,
}

impl Chain {
    fn new() -> Self {
        Self { last: None, key_changes: Vec::new(), keys: vec![1] }
    }

    fn next(&mut self, share: u32, keys: &[u8], signer: u8) -> (Record, Content) {
        let from = self.last.as_ref().map_or(Version(0), |last| last.manifest().version);
        let version = Version(from.0 + 1);
        let content = Content::split(&bundle(share, keys)).unwrap();
        if keys != self.keys {
            let keys = keys.iter().map(|seed| operator(*seed).key).collect();
            self.key_changes.push(KeyChange::sign(version, keys, &secret(signer)));
        }
        self.keys = keys.to_vec();
        let manifest = Manifest {
            version,
            from,
            action: Action::Approve,
            author: format!("operator-{signer}"),
            at: 1_800_000_000,
            reason: "test".to_owned(),
            content: content.digest(),
            previous: self.last.as_ref().map_or(Digest([0; 32]), Record::digest),
            signer: [0; 32],
            key_changes: self.key_changes.clone(),
        };
        let record = Record::sign(manifest, &secret(signer)).unwrap();
        self.last = Some(record.clone());
        (record, content)
    }
}

fn node() -> Node {
    let epoch = Epoch::new(Time(0), Incarnation(9), EpochSettings::SIDE);
    Node::new(epoch, TrustedKeys::from_settings([secret(1).public_key()]))
}

fn section_bytes(content: &Content, wanted: &Digest) -> Bytes {
    if *wanted == content.digest() {
        content.index_bytes.clone()
    } else {
        content.sections[wanted].clone()
    }
}

/// Advertises a version and delivers everything that the node requests.
fn install(
    node: &mut Node,
    source: Source,
    record: &Record,
    content: &Content,
) -> Arc<InstalledBundle> {
    let version = record.manifest().version;
    let pull = node.epoch_mut().advertised(NOW, source, version);
    assert_eq!(pull, Some(EpochAction::Pull(source, version)));
    let step = node.receive_record(NOW, source, record.bytes()).unwrap();
    complete_pull(node, source, content, step)
}

fn complete_pull(
    node: &mut Node,
    source: Source,
    content: &Content,
    mut step: NodeStep,
) -> Arc<InstalledBundle> {
    loop {
        let missing = match step {
            NodeStep::Installed(installed) => return installed,
            NodeStep::Fetch(from, missing) => {
                assert_eq!(from, source);
                missing
            }
        };
        let mut next = None;
        for (wanted, _) in missing {
            let bytes = section_bytes(content, &wanted);
            next = node.receive_section(NOW, source, &wanted, bytes).unwrap();
        }
        step = next.unwrap();
    }
}

fn current_version(node: &Node) -> Version {
    node.current().map_or(Version(0), |installed| installed.bundle.version)
}

/// Guards against an installed bundle that differs from the approved one.
#[test]
fn installed_bundle_equals_approved() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let mut node = node();
    let installed = install(&mut node, PEER, &record, &content);
    assert_eq!(*installed.bundle, Bundle { version: Version(1), ..bundle(5, &[1]) });
    assert_eq!(installed.content, content);
}

/// Guards against accepting a manifest or section that was not requested from its sender.
#[test]
fn unrequested_data_is_rejected() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let mut node = node();
    assert_eq!(node.receive_record(NOW, PEER, record.bytes()), Err(NodeError::Unrequested));
    node.epoch_mut().advertised(NOW, PEER, Version(1));
    assert_eq!(node.receive_record(NOW, OTHER, record.bytes()), Err(NodeError::Unrequested));
    node.receive_record(NOW, PEER, record.bytes()).unwrap();
    let index = content.index_bytes.clone();
    let stray = node.receive_section(NOW, OTHER, &content.digest(), index);
    assert_eq!(stray, Err(NodeError::Unrequested));
    let (address, section) = content.sections.first_key_value().unwrap();
    let early = node.receive_section(NOW, PEER, address, section.clone());
    assert_eq!(early, Err(NodeError::Unrequested));
    // A second manifest in the middle of a pull must not replace the first.
    assert_eq!(node.receive_record(NOW, PEER, record.bytes()), Err(NodeError::Unrequested));
    assert_eq!(current_version(&node), Version(0));
}

/// Guards against a downgrade by a replayed older manifest.
#[test]
fn older_manifest_is_rejected() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let mut node = node();
    install(&mut node, PEER, &second, &newer);
    assert_eq!(node.epoch_mut().advertised(NOW, PEER, Version(1)), None);
    assert_eq!(node.receive_record(NOW, PEER, first.bytes()), Err(NodeError::Unrequested));
    // The peer claims a higher version and sends an older manifest.
    node.epoch_mut().advertised(NOW, PEER, Version(3)).unwrap();
    let stale = NodeError::Stale { offered: Version(1), current: Version(2) };
    assert_eq!(node.receive_record(NOW, PEER, first.bytes()), Err(stale));
    assert_eq!(node.source_failed(NOW, PEER), None);
    assert_eq!(current_version(&node), Version(2));
    assert_eq!(node.current().unwrap().content, newer);
    drop(content);
}

/// Guards against a peer that keeps a node on an old version by advertising a newer one.
#[test]
fn manifest_below_advertised_version_is_rejected() {
    let mut chain = Chain::new();
    let (first, _) = chain.next(5, &[1], 1);
    let (second, content) = chain.next(6, &[1], 1);
    let mut node = node();
    node.epoch_mut().advertised(NOW, PEER, Version(2)).unwrap();
    let replayed = NodeError::Replayed { advertised: Version(2), offered: Version(1) };
    assert_eq!(node.receive_record(NOW, PEER, first.bytes()), Err(replayed));
    node.source_failed(NOW, PEER);
    install(&mut node, OTHER, &second, &content);
}

/// Guards against a manifest signed by an untrusted key or modified after signing.
#[test]
fn wrong_signature_is_rejected() {
    let (record, _) = Chain::new().next(5, &[1], 1);
    let (foreign, _) = Chain::new().next(5, &[1], 2);
    let mut node = node();
    node.epoch_mut().advertised(NOW, PEER, Version(1)).unwrap();
    let unknown =
        ManifestError::UntrustedSigner { version: Version(1), signer: secret(2).public_key() };
    assert_eq!(node.receive_record(NOW, PEER, foreign.bytes()), Err(unknown.into()));
    for at in 0..record.bytes().len() {
        let mut bytes = record.bytes().to_vec();
        bytes[at] ^= 1;
        assert!(node.receive_record(NOW, PEER, &bytes.into()).is_err(), "byte {at} was changed");
    }
    let cut = record.bytes().slice(..record.bytes().len() - 1);
    assert!(node.receive_record(NOW, PEER, &cut).is_err());
    assert_eq!(current_version(&node), Version(0));
}

/// Guards against a section that differs from the approved one.
#[test]
fn digest_mismatch_is_rejected() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let (_, other) = Chain::new().next(6, &[1], 1);
    let mut node = node();
    node.epoch_mut().advertised(NOW, PEER, Version(1)).unwrap();
    node.receive_record(NOW, PEER, record.bytes()).unwrap();
    let address = content.digest();
    let wrong = node.receive_section(NOW, PEER, &address, other.index_bytes.clone());
    assert_eq!(wrong, Err(NodeError::DigestMismatch(address)));
    // The pull fails, and another source delivers the right content.
    assert_eq!(node.source_failed(NOW, PEER), None);
    install(&mut node, OTHER, &record, &content);
}

/// Guards against a peer that exhausts memory with large sections, and against sections that the
/// store would reject.
#[test]
fn oversize_section_is_rejected() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let mut node = node();
    node.epoch_mut().advertised(NOW, PEER, Version(1)).unwrap();
    node.receive_record(NOW, PEER, record.bytes()).unwrap();
    let address = content.digest();
    let large = Bytes::from(vec![0; 1_000_001]);
    let rejected = node.receive_section(NOW, PEER, &address, large);
    assert_eq!(rejected, Err(NodeError::DigestMismatch(address)));
    // A patch whose result exceeds the limit.
    let base = vec![1; 900_000];
    let patch = Patch::new(&base, &[base.as_slice(), &vec![2; 200_000]].concat());
    assert_eq!(patch.apply(&base), None);
}

/// Guards against installing an incomplete bundle.
#[test]
fn incomplete_bundle_is_not_installed() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let mut node = node();
    install(&mut node, PEER, &first, &content);
    node.epoch_mut().advertised(NOW, PEER, Version(2)).unwrap();
    let step = node.receive_record(NOW, PEER, second.bytes()).unwrap();
    let NodeStep::Fetch(_, missing) = step else { panic!("{step:?}") };
    assert_eq!(missing, [(newer.digest(), Some(content.digest()))]);
    let index = newer.index_bytes.clone();
    let step = node.receive_section(NOW, PEER, &newer.digest(), index).unwrap();
    let Some(NodeStep::Fetch(_, missing)) = step else { panic!("{step:?}") };
    assert_eq!(missing.len(), 1, "one workspace changed");
    // The peer disconnects during the pull, which discards what was received.
    assert_eq!(node.disconnected(NOW, Incarnation(50)), None);
    assert_eq!(current_version(&node), Version(1));
    let section = newer.sections[&missing[0].0].clone();
    let late = node.receive_section(NOW, PEER, &missing[0].0, section);
    assert_eq!(late, Err(NodeError::Unrequested));
    install(&mut node, OTHER, &second, &newer);
    assert_eq!(current_version(&node), Version(2));
    assert_eq!(node.bundle(Version(1)).unwrap().version, Version(1), "kept for running requests");
}

/// Guards against a silent source that blocks pulls from all others.
#[test]
fn silent_source_times_out() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let mut node = node();
    let mut rng = Rng::seed_from_u64(3);
    node.epoch_mut().advertised(NOW, PEER, Version(1)).unwrap();
    node.receive_record(NOW, PEER, record.bytes()).unwrap();
    assert_eq!(node.epoch_mut().advertised(NOW, OTHER, Version(1)), None);
    let later = NOW + Span::from_millis(500);
    let actions = node.tick(later, &mut rng);
    assert!(actions.contains(&EpochAction::Pull(OTHER, Version(1))), "{actions:?}");
    let late = node.receive_section(later, PEER, &content.digest(), content.index_bytes.clone());
    assert_eq!(late, Err(NodeError::Unrequested));
    let step = node.receive_record(later, OTHER, record.bytes()).unwrap();
    complete_pull(&mut node, OTHER, &content, step);
}

/// Guards against a change of one workspace that transfers as much as the whole bundle.
#[test]
fn patch_transfers_one_workspace() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let (mut receiver, mut sender) = (node(), node());
    install(&mut receiver, PEER, &first, &content);
    install(&mut sender, PEER, &first, &content);
    install(&mut sender, PEER, &second, &newer);
    receiver.epoch_mut().advertised(NOW, PEER, Version(2)).unwrap();
    let mut bytes = second.bytes().len();
    let mut step = receiver.receive_record(NOW, PEER, second.bytes()).unwrap();
    while let NodeStep::Fetch(_, missing) = step {
        let mut next = None;
        for (wanted, base) in missing {
            let base = base.unwrap();
            let patch = sender.patch(&wanted, &base).unwrap();
            bytes += patch.len();
            next = receiver.receive_patch(NOW, PEER, &wanted, &base, &patch).unwrap();
        }
        step = next.unwrap();
    }
    assert_eq!(current_version(&receiver), Version(2));
    assert!(bytes < 500, "{bytes} bytes");
}

/// Guards against a patch from a peer that yields other content than requested.
#[test]
fn wrong_patch_is_rejected() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let mut node = node();
    install(&mut node, PEER, &first, &content);
    node.epoch_mut().advertised(NOW, PEER, Version(2)).unwrap();
    node.receive_record(NOW, PEER, second.bytes()).unwrap();
    let (wanted, base) = (newer.digest(), content.digest());
    let mut wrong = newer.index_bytes.to_vec();
    wrong[0] ^= 1;
    let patch = Patch::new(&content.index_bytes, &wrong).encode();
    let mismatch = NodeError::DigestMismatch(wanted);
    let rejected = node.receive_patch(NOW, PEER, &wanted, &base, &patch);
    assert_eq!(rejected, Err(mismatch.clone()));
    let rejected = node.receive_patch(NOW, PEER, &wanted, &base, b"\xff\xff\xff\xff\x7f");
    assert_eq!(rejected, Err(mismatch));
}

/// Guards against a watcher that can't install a bundle because the store fails right after the
/// manifest was accepted: the watch delivered all sections before the manifest.
#[test]
fn cached_sections_complete_a_bundle() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let mut node = node();
    install(&mut node, PEER, &first, &content);
    node.cache_section(newer.index_bytes.clone());
    newer.sections.values().for_each(|section| node.cache_section(section.clone()));
    assert_eq!(current_version(&node), Version(1), "sections alone must not be installed");
    let outcome = node.advertised_record(NOW, Source::Store, second.bytes()).unwrap();
    let Some(NodeStep::Installed(installed)) = outcome.step else { panic!("{outcome:?}") };
    assert_eq!(installed.bundle.version, Version(2));
}

/// Guards against revoked keys that still sign, and against a node that is stuck because it missed
/// the version that added the signer of a later one.
#[test]
fn key_changes_are_followed() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (both, both_content) = chain.next(5, &[1, 2], 1);
    let (only, only_content) = chain.next(5, &[2], 2);
    let (last, last_content) = chain.next(7, &[2], 2);
    // Every version in turn.
    let mut stepwise = node();
    install(&mut stepwise, PEER, &first, &content);
    install(&mut stepwise, PEER, &both, &both_content);
    install(&mut stepwise, PEER, &only, &only_content);
    // Directly from the first version to the last, and from the keys in the settings to the last.
    let mut skipping = node();
    install(&mut skipping, PEER, &first, &content);
    install(&mut skipping, PEER, &last, &last_content);
    install(&mut node(), PEER, &last, &last_content);
    // The revoked key signs the next version.
    let mut forged_chain =
        Chain { last: Some(last), key_changes: chain.key_changes.clone(), keys: vec![2] };
    let (forged_record, _) = forged_chain.next(9, &[2], 1);
    for node in [&mut stepwise, &mut skipping] {
        node.epoch_mut().advertised(NOW, OTHER, Version(5)).unwrap();
        let rejected = node.receive_record(NOW, OTHER, forged_record.bytes());
        assert!(
            matches!(rejected, Err(NodeError::Manifest(ManifestError::UntrustedSigner { .. }))),
            "{rejected:?}"
        );
    }
    // The revoked key also signs a key change that trusts it again.
    let mut forged_chain =
        Chain { last: None, key_changes: chain.key_changes.clone(), keys: vec![2] };
    forged_chain.last = Some(forged_record);
    forged_chain.key_changes.push(KeyChange::sign(
        Version(5),
        [operator(1).key].into(),
        &secret(1),
    ));
    let (forged_record, _) = forged_chain.next(9, &[2], 1);
    let trusted = TrustedKeys::from_bundle(&stepwise.current().unwrap().bundle);
    assert!(trusted.verify(&forged_record).is_err());
}

/// Guards against key material in logs and error messages.
#[test]
fn secret_is_not_printed() {
    let key = secret(7);
    let file = key.to_file_text();
    let hex = file.split_whitespace().nth(1).unwrap();
    assert!(!format!("{key:?}").contains(hex));
    assert_eq!(SecretKey::from_file_text(&file).unwrap().public_key(), key.public_key());
    for damaged in [&file[..60], &file.replace("key-1", "key-2"), &format!("{file} x"), hex] {
        let error = SecretKey::from_file_text(damaged).unwrap_err();
        assert!(!format!("{error} {error:?}").contains(&hex[..8]));
    }
    assert!("00".repeat(31).parse::<PublicKey>().is_err());
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(21),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against bytes from a peer that make a decoder panic.
    #[test]
    fn decoders_do_not_panic_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let bytes = Bytes::from(bytes);
        let _ = Record::decode(&bytes);
        let _ = Record::decode(&[&[1u8], bytes.as_ref()].concat().into());
        let (_, content) = Chain::new().next(5, &[1], 1);
        let _ = Content::join(Version(1), &content.index, |_| Some(bytes.clone()));
        let framed: Bytes = [&[1u8], bytes.as_ref()].concat().into();
        let _ = Content::join(Version(1), &content.index, |_| Some(framed.clone()));
        if let Some(patch) = Patch::decode(&bytes) {
            let _ = patch.apply(&content.index_bytes);
        }
    }

    /// Guards against a damaged section that keeps its digest or makes the decoder panic.
    #[test]
    fn damaged_section_changes_digest(slot in 0..67usize, at in 0..200usize, bit in 0..8u8) {
        let (_, content) = Chain::new().next(5, &[1], 1);
        let (_, address) = content.index.digests().nth(slot).unwrap();
        let mut damaged = content.sections[&address].to_vec();
        let at = at % damaged.len();
        damaged[at] ^= 1 << bit;
        prop_assert_ne!(digest(&damaged), address);
        let _ = Content::join(Version(1), &content.index, |wanted| {
            Some(if *wanted == address {
                damaged.clone().into()
            } else {
                content.sections[wanted].clone()
            })
        });
    }

    /// Guards against a patch that does not produce its target.
    #[test]
    fn patch_produces_target(
        base in prop::collection::vec(0..4u8, 0..60),
        target in prop::collection::vec(0..4u8, 0..60),
    ) {
        let patch = Patch::decode(&Patch::new(&base, &target).encode()).unwrap();
        prop_assert_eq!(patch.apply(&base).unwrap(), target);
    }
}
