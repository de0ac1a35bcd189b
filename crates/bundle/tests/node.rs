//! What a node accepts, and when it puts it into force.

#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests")]

use bytes::Bytes;
use damaskweir_bundle::{
    Action, Content, Handover, Held, Manifest, ManifestError, Node, NodeError, NodeStep, Patch,
    PublicKey, Record, SecretKey, Trust, digest,
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
    SecretKey::new(&[seed; 32])
}

fn operator(seed: u8) -> OperatorKey {
    OperatorKey { key: secret(seed).public().0 }
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

/// A signed bundle and the state of the chain after it.
struct Chain {
    last: Option<Record>,
    lineage: Vec<Handover>,
    keys: Vec<u8>,
}

impl Chain {
    fn new() -> Self {
        Self { last: None, lineage: Vec::new(), keys: vec![1] }
    }

    fn next(&mut self, share: u32, keys: &[u8], signer: u8) -> (Record, Content) {
        let from = self.last.as_ref().map_or(Version(0), |last| last.manifest().version);
        let version = Version(from.0 + 1);
        let content = Content::split(&bundle(share, keys)).unwrap();
        if keys != self.keys {
            let keys = keys.iter().map(|seed| operator(*seed).key).collect();
            self.lineage.push(Handover::sign(version, keys, &secret(signer)));
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
            lineage: self.lineage.clone(),
        };
        let record = Record::sign(manifest, &secret(signer)).unwrap();
        self.last = Some(record.clone());
        (record, content)
    }
}

fn node() -> Node {
    let epoch = Epoch::new(Time(0), Incarnation(9), EpochSettings::SIDE);
    Node::new(epoch, Trust::from_settings([secret(1).public()]))
}

fn whole(content: &Content, wanted: &Digest) -> Bytes {
    if *wanted == content.digest() {
        content.index_bytes.clone()
    } else {
        content.sections[wanted].clone()
    }
}

/// Shows a version and hands over all that the node asks for.
fn feed(node: &mut Node, source: Source, record: &Record, content: &Content) -> Arc<Held> {
    let version = record.manifest().version;
    let pull = node.epoch_mut().advertised(NOW, source, version);
    assert_eq!(pull, Some(EpochAction::Pull(source, version)));
    let step = node.take_record(NOW, source, record.bytes()).unwrap();
    finish(node, source, content, step)
}

fn finish(node: &mut Node, source: Source, content: &Content, mut step: NodeStep) -> Arc<Held> {
    loop {
        let needs = match step {
            NodeStep::InForce(held) => return held,
            NodeStep::Need(from, needs) => {
                assert_eq!(from, source);
                needs
            }
        };
        let mut next = None;
        for (wanted, _) in needs {
            let bytes = whole(content, &wanted);
            next = node.take_section(NOW, source, &wanted, bytes).unwrap();
        }
        step = next.unwrap();
    }
}

fn force(node: &Node) -> Version {
    node.force().map_or(Version(0), |held| held.bundle.version)
}

/// Guards against a bundle that differs from what was approved.
#[test]
fn bundle_arrives_whole() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let mut node = node();
    let held = feed(&mut node, PEER, &record, &content);
    assert_eq!(*held.bundle, Bundle { version: Version(1), ..bundle(5, &[1]) });
    assert_eq!(held.content, content);
}

/// Guards against a manifest or section that comes into force without being asked for.
#[test]
fn unrequested_is_refused() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let mut node = node();
    assert_eq!(node.take_record(NOW, PEER, record.bytes()), Err(NodeError::Unrequested));
    node.epoch_mut().advertised(NOW, PEER, Version(1));
    assert_eq!(node.take_record(NOW, OTHER, record.bytes()), Err(NodeError::Unrequested));
    node.take_record(NOW, PEER, record.bytes()).unwrap();
    let index = content.index_bytes.clone();
    let stray = node.take_section(NOW, OTHER, &content.digest(), index);
    assert_eq!(stray, Err(NodeError::Unrequested));
    let (address, section) = content.sections.first_key_value().unwrap();
    let early = node.take_section(NOW, PEER, address, section.clone());
    assert_eq!(early, Err(NodeError::Unrequested));
    // A second manifest in the middle of a pull must not replace the first.
    assert_eq!(node.take_record(NOW, PEER, record.bytes()), Err(NodeError::Unrequested));
    assert_eq!(force(&node), Version(0));
}

/// Guards against a reversion by a replayed older manifest.
#[test]
fn older_manifest_is_refused() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let mut node = node();
    feed(&mut node, PEER, &second, &newer);
    assert_eq!(node.epoch_mut().advertised(NOW, PEER, Version(1)), None);
    assert_eq!(node.take_record(NOW, PEER, first.bytes()), Err(NodeError::Unrequested));
    // The peer claims a higher version and sends an older manifest.
    node.epoch_mut().advertised(NOW, PEER, Version(3)).unwrap();
    let lower = NodeError::Lower { offered: Version(1), force: Version(2) };
    assert_eq!(node.take_record(NOW, PEER, first.bytes()), Err(lower));
    assert_eq!(node.failed(NOW, PEER), None);
    assert_eq!(force(&node), Version(2));
    assert_eq!(node.force().unwrap().content, newer);
    drop(content);
}

/// Guards against a peer that holds a node on an old version by showing a new one.
#[test]
fn manifest_below_shown_version_is_refused() {
    let mut chain = Chain::new();
    let (first, _) = chain.next(5, &[1], 1);
    let (second, content) = chain.next(6, &[1], 1);
    let mut node = node();
    node.epoch_mut().advertised(NOW, PEER, Version(2)).unwrap();
    let replayed = NodeError::Replayed { shown: Version(2), offered: Version(1) };
    assert_eq!(node.take_record(NOW, PEER, first.bytes()), Err(replayed));
    node.failed(NOW, PEER);
    feed(&mut node, OTHER, &second, &content);
}

/// Guards against a manifest of someone who may not sign, or whose bytes were changed.
#[test]
fn wrong_signature_is_refused() {
    let (record, _) = Chain::new().next(5, &[1], 1);
    let (foreign, _) = Chain::new().next(5, &[1], 2);
    let mut node = node();
    node.epoch_mut().advertised(NOW, PEER, Version(1)).unwrap();
    let unknown = ManifestError::Signer { version: Version(1), signer: secret(2).public() };
    assert_eq!(node.take_record(NOW, PEER, foreign.bytes()), Err(unknown.into()));
    for at in 0..record.bytes().len() {
        let mut bytes = record.bytes().to_vec();
        bytes[at] ^= 1;
        assert!(node.take_record(NOW, PEER, &bytes.into()).is_err(), "byte {at} was changed");
    }
    let cut = record.bytes().slice(..record.bytes().len() - 1);
    assert!(node.take_record(NOW, PEER, &cut).is_err());
    assert_eq!(force(&node), Version(0));
}

/// Guards against a section that is not the approved one.
#[test]
fn digest_mismatch_is_refused() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let (_, other) = Chain::new().next(6, &[1], 1);
    let mut node = node();
    node.epoch_mut().advertised(NOW, PEER, Version(1)).unwrap();
    node.take_record(NOW, PEER, record.bytes()).unwrap();
    let address = content.digest();
    let wrong = node.take_section(NOW, PEER, &address, other.index_bytes.clone());
    assert_eq!(wrong, Err(NodeError::Mismatch(address)));
    // The pull fails, and another source brings the right content.
    assert_eq!(node.failed(NOW, PEER), None);
    feed(&mut node, OTHER, &record, &content);
}

/// Guards against memory that a peer can fill, and sections that the store would not keep.
#[test]
fn oversize_section_is_refused() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let mut node = node();
    node.epoch_mut().advertised(NOW, PEER, Version(1)).unwrap();
    node.take_record(NOW, PEER, record.bytes()).unwrap();
    let address = content.digest();
    let large = Bytes::from(vec![0; 1_000_001]);
    let refused = node.take_section(NOW, PEER, &address, large);
    assert_eq!(refused, Err(NodeError::Mismatch(address)));
    // A patch that grows beyond the limit when it is applied.
    let base = vec![1; 900_000];
    let patch = Patch::new(&base, &[base.as_slice(), &vec![2; 200_000]].concat());
    assert_eq!(patch.apply(&base), None);
}

/// Guards against a half bundle in force.
#[test]
fn incomplete_bundle_stays_out() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let mut node = node();
    feed(&mut node, PEER, &first, &content);
    node.epoch_mut().advertised(NOW, PEER, Version(2)).unwrap();
    let step = node.take_record(NOW, PEER, second.bytes()).unwrap();
    let NodeStep::Need(_, needs) = step else { panic!("{step:?}") };
    assert_eq!(needs, [(newer.digest(), Some(content.digest()))]);
    let index = newer.index_bytes.clone();
    let step = node.take_section(NOW, PEER, &newer.digest(), index).unwrap();
    let Some(NodeStep::Need(_, needs)) = step else { panic!("{step:?}") };
    assert_eq!(needs.len(), 1, "one workspace changed");
    // The peer goes away in the middle. Nothing of the pull is left.
    assert_eq!(node.disconnected(NOW, Incarnation(50)), None);
    assert_eq!(force(&node), Version(1));
    let section = newer.sections[&needs[0].0].clone();
    let late = node.take_section(NOW, PEER, &needs[0].0, section);
    assert_eq!(late, Err(NodeError::Unrequested));
    feed(&mut node, OTHER, &second, &newer);
    assert_eq!(force(&node), Version(2));
    assert_eq!(node.bundle(Version(1)).unwrap().version, Version(1), "kept for running requests");
}

/// Guards against a pull whose source stays silent and blocks all others.
#[test]
fn silent_source_is_given_up() {
    let (record, content) = Chain::new().next(5, &[1], 1);
    let mut node = node();
    let mut rng = Rng::seed_from_u64(3);
    node.epoch_mut().advertised(NOW, PEER, Version(1)).unwrap();
    node.take_record(NOW, PEER, record.bytes()).unwrap();
    assert_eq!(node.epoch_mut().advertised(NOW, OTHER, Version(1)), None);
    let later = NOW + Span::from_millis(500);
    let actions = node.tick(later, &mut rng);
    assert!(actions.contains(&EpochAction::Pull(OTHER, Version(1))), "{actions:?}");
    let late = node.take_section(later, PEER, &content.digest(), content.index_bytes.clone());
    assert_eq!(late, Err(NodeError::Unrequested));
    let step = node.take_record(later, OTHER, record.bytes()).unwrap();
    finish(&mut node, OTHER, &content, step);
}

/// Guards against a change of one workspace that costs as much as the whole bundle.
#[test]
fn patch_brings_one_workspace() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let (mut here, mut there) = (node(), node());
    feed(&mut here, PEER, &first, &content);
    feed(&mut there, PEER, &first, &content);
    feed(&mut there, PEER, &second, &newer);
    here.epoch_mut().advertised(NOW, PEER, Version(2)).unwrap();
    let mut bytes = second.bytes().len();
    let mut step = here.take_record(NOW, PEER, second.bytes()).unwrap();
    while let NodeStep::Need(_, needs) = step {
        let mut next = None;
        for (wanted, base) in needs {
            let base = base.unwrap();
            let patch = there.patch(&wanted, &base).unwrap();
            bytes += patch.len();
            next = here.take_patch(NOW, PEER, &wanted, &base, &patch).unwrap();
        }
        step = next.unwrap();
    }
    assert_eq!(force(&here), Version(2));
    assert!(bytes < 500, "{bytes} bytes");
}

/// Guards against a patch from a peer that slips another content in.
#[test]
fn wrong_patch_is_refused() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let mut node = node();
    feed(&mut node, PEER, &first, &content);
    node.epoch_mut().advertised(NOW, PEER, Version(2)).unwrap();
    node.take_record(NOW, PEER, second.bytes()).unwrap();
    let (wanted, base) = (newer.digest(), content.digest());
    let mut wrong = newer.index_bytes.to_vec();
    wrong[0] ^= 1;
    let patch = Patch::new(&content.index_bytes, &wrong).encode();
    let mismatch = NodeError::Mismatch(wanted);
    let refused = node.take_patch(NOW, PEER, &wanted, &base, &patch);
    assert_eq!(refused, Err(mismatch.clone()));
    let refused = node.take_patch(NOW, PEER, &wanted, &base, b"\xff\xff\xff\xff\x7f");
    assert_eq!(refused, Err(mismatch));
}

/// Guards against a store that goes down right after the manifest was accepted: a watcher saw the
/// sections before and needs nothing more.
#[test]
fn sections_seen_ahead_complete_a_bundle() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (second, newer) = chain.next(6, &[1], 1);
    let mut node = node();
    feed(&mut node, PEER, &first, &content);
    node.ahead(newer.index_bytes.clone());
    newer.sections.values().for_each(|section| node.ahead(section.clone()));
    assert_eq!(force(&node), Version(1), "sections alone must not come into force");
    let shown = node.show_record(NOW, Source::Store, second.bytes()).unwrap();
    let Some(NodeStep::InForce(held)) = shown.step else { panic!("{shown:?}") };
    assert_eq!(held.bundle.version, Version(2));
}

/// Guards against keys that still sign after they were taken away, and a node that is stuck because
/// it missed the version that brought the key of the next one.
#[test]
fn keys_are_handed_over() {
    let mut chain = Chain::new();
    let (first, content) = chain.next(5, &[1], 1);
    let (both, both_content) = chain.next(5, &[1, 2], 1);
    let (only, only_content) = chain.next(5, &[2], 2);
    let (last, last_content) = chain.next(7, &[2], 2);
    // Step by step.
    let mut near = node();
    feed(&mut near, PEER, &first, &content);
    feed(&mut near, PEER, &both, &both_content);
    feed(&mut near, PEER, &only, &only_content);
    // From the first version, and from the settings, to the last.
    let mut far = node();
    feed(&mut far, PEER, &first, &content);
    feed(&mut far, PEER, &last, &last_content);
    feed(&mut node(), PEER, &last, &last_content);
    // The key that was taken away signs the next version.
    let mut forged = Chain { last: Some(last), lineage: chain.lineage.clone(), keys: vec![2] };
    let (stolen, _) = forged.next(9, &[2], 1);
    for node in [&mut near, &mut far] {
        node.epoch_mut().advertised(NOW, OTHER, Version(5)).unwrap();
        let refused = node.take_record(NOW, OTHER, stolen.bytes());
        assert!(
            matches!(refused, Err(NodeError::Manifest(ManifestError::Signer { .. }))),
            "{refused:?}"
        );
    }
    // It also signs itself back in.
    let mut forged = Chain { last: None, lineage: chain.lineage.clone(), keys: vec![2] };
    forged.last = Some(stolen);
    forged.lineage.push(Handover::sign(Version(5), [operator(1).key].into(), &secret(1)));
    let (stolen, _) = forged.next(9, &[2], 1);
    let trust = Trust::from_bundle(&near.force().unwrap().bundle);
    assert!(trust.check(&stolen).is_err());
}

/// Guards against key material in a log or an error text.
#[test]
fn secret_stays_out_of_texts() {
    let key = secret(7);
    let file = key.to_file();
    let hex = file.split_whitespace().nth(1).unwrap();
    assert!(!format!("{key:?}").contains(hex));
    assert_eq!(SecretKey::from_file(&file).unwrap().public(), key.public());
    for damaged in [&file[..60], &file.replace("key-1", "key-2"), &format!("{file} x"), hex] {
        let error = SecretKey::from_file(damaged).unwrap_err();
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

    /// Guards against bytes from a peer that make the decoder panic.
    #[test]
    fn decoders_survive_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
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

    /// Guards against a section that was damaged and still read as a bundle of the same digest, or
    /// makes the decoder panic.
    #[test]
    fn damaged_section_is_noticed(slot in 0..67usize, at in 0..200usize, bit in 0..8u8) {
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

    /// Guards against a patch that does not lead to its target.
    #[test]
    fn patch_leads_to_target(
        base in prop::collection::vec(0..4u8, 0..60),
        target in prop::collection::vec(0..4u8, 0..60),
    ) {
        let patch = Patch::decode(&Patch::new(&base, &target).encode()).unwrap();
        prop_assert_eq!(patch.apply(&base).unwrap(), target);
    }
}
