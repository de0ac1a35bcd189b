//! Tests of parsing, checking, printing and comparing bundle files.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use damaskweir_bundle::{Change, Problem, diff, parse, print};
use damaskweir_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::BTreeMap;

const KEY: &str = "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a";

fn valid_file() -> String {
    format!(
        "; Two stages, one of which runs only once.
[operator asha]
key = {KEY}

[pool encoders]
kind = service

[pool orders]
kind = service
extra = 0

[pool writers]
kind = engine
resume = yes

[server enc-1]
pool = encoders
zone = kochi-a
side = 127.0.0.1:7401
slots = 8

[server ord-1]
pool = orders
zone = kochi-b
side = [::1]:7402
slots = 2

[pipeline order]
deadline = 3s
stages = encode, place

[stage order/encode]
pool = encoders
effect = idempotent
path = /encode
expected = 40ms

[stage order/place]
pool = orders
effect = once
path = /orders
expected = 120ms

[workspace kollam]
share = 3
limit = 64
"
    )
}

/// Guards against values of the file that are lost or changed in the parsed bundle.
#[test]
fn valid_file_is_parsed() {
    let bundle = parse("bundle.ini", &valid_file()).unwrap();
    let order = &bundle.pipelines[&PipelineId::from("order")];
    assert_eq!(order.deadline, Span::from_secs(3));
    let stage = &order.stages[1];
    assert_eq!((stage.name.as_str(), stage.effect), ("place", Effect::Once));
    assert_eq!((stage.path.as_str(), stage.expected), ("/orders", Span::from_millis(120)));
    let pool = &bundle.pools[&PoolId::from("encoders")];
    assert_eq!((pool.kind, pool.extra, pool.resume), (PoolKind::Service, 100, false));
    assert_eq!(pool.servers[0].zone.as_str(), "kochi-a");
    assert_eq!(pool.servers[0].side, "127.0.0.1:7401".parse().unwrap());
    assert!(bundle.pools[&PoolId::from("writers")].resume);
    let workspace = &bundle.workspaces[&WorkspaceId::from("kollam")];
    assert_eq!((workspace.share, workspace.limit), (3, 64));
    assert_eq!(bundle.operators["asha"].key[0], 0xd7);
}

/// Guards against an error that goes unreported, hides another one, or whose message lacks the
/// location and the expected value.
#[rstest]
#[case::unknown_section(
    "[workspace kollam]",
    "[tenant kollam]",
    "[tenant kollam]: unknown section"
)]
#[case::unknown_key(
    "extra = 0",
    "extras = 0",
    "[pool orders] extras: unknown key; known keys: kind, resume, extra"
)]
#[case::missing("slots = 8", "", "[server enc-1] slots: missing; expected 1 to 10000")]
#[case::low(
    "share = 3",
    "share = 0",
    "[workspace kollam] share: \"0\" is not accepted; expected 1 to 1000"
)]
#[case::high(
    "limit = 64",
    "limit = 4294967296",
    "[workspace kollam] limit: \"4294967296\" is not accepted"
)]
#[case::sign("limit = 64", "limit = +64", "[workspace kollam] limit: \"+64\" is not accepted")]
#[case::span(
    "expected = 40ms",
    "expected = 40",
    "[stage order/encode] expected: \"40\" is not accepted; expected 1ms to 3600s"
)]
#[case::address(
    "side = 127.0.0.1:7401",
    "side = localhost:7401",
    "[server enc-1] side: \"localhost:7401\" is not accepted"
)]
#[case::port(
    "side = 127.0.0.1:7401",
    "side = 127.0.0.1:0",
    "[server enc-1] side: \"127.0.0.1:0\" is not accepted"
)]
#[case::shared_address(
    "side = [::1]:7402",
    "side = 127.0.0.1:7401",
    "[server ord-1] side: \"127.0.0.1:7401\" is not accepted; expected a unique address"
)]
#[case::kind(
    "kind = engine",
    "kind = robot",
    "[pool writers] kind: \"robot\" is not accepted; expected engine or service"
)]
#[case::effect(
    "effect = once",
    "effect = twice",
    "[stage order/place] effect: \"twice\" is not accepted"
)]
#[case::path(
    "path = /orders",
    "path = orders",
    "[stage order/place] path: \"orders\" is not accepted"
)]
#[case::backslash(
    "path = /orders",
    "path = /or\\ders",
    "[stage order/place] path: \"/or\\\\ders\" is not accepted"
)]
#[case::no_pool(
    "pool = orders",
    "pool = order",
    "[server ord-1] pool: \"order\" is not accepted; expected the name of a pool"
)]
#[case::empty_pool(
    "[stage order/place]\npool = orders",
    "[stage order/place]\npool = writers",
    "[stage order/place] pool: \"writers\" is not accepted; expected a pool that has at least one server"
)]
#[case::no_stage(
    "stages = encode, place",
    "stages = encode, pay",
    "[pipeline order] stages: \"pay\" is not accepted"
)]
#[case::unlisted(
    "stages = encode, place",
    "stages = encode",
    "[stage order/place]: not listed in stages of [pipeline order]"
)]
#[case::twice(
    "stages = encode, place",
    "stages = place, place",
    "[pipeline order] stages: \"place, place\" is not accepted"
)]
#[case::no_stages(
    "stages = encode, place",
    "stages =",
    "[pipeline order] stages: \"\" is not accepted"
)]
#[case::deadline(
    "deadline = 3s",
    "deadline = 150ms",
    "[pipeline order] deadline: \"150ms\" is not accepted; expected at least 160ms"
)]
#[case::name(
    "[workspace kollam]",
    "[workspace Kollam]",
    "[workspace Kollam]: invalid name; expected 1 to 64"
)]
#[case::no_name("[workspace kollam]", "[workspace]", "[workspace]: invalid name")]
#[case::repeated("[workspace kollam]", "[pool orders]", "[pool orders]: defined more than once")]
#[case::repeated_key(
    "share = 3",
    "share = 3\nshare = 4",
    "[workspace kollam] share: defined more than once"
)]
#[case::short_key(KEY, "d75a", "[operator asha] key: \"d75a\" is not accepted")]
#[case::weak_key(
    KEY,
    "0100000000000000000000000000000000000000000000000000000000000000",
    "[operator asha] key:"
)]
#[case::line(
    "share = 3",
    "share = 3\nnonsense",
    "[workspace kollam]: line 46: invalid syntax \"nonsense\"; expected"
)]
#[case::open_section(
    "[workspace kollam]",
    "[workspace kollam",
    "line 44: invalid syntax \"[workspace kollam\""
)]
#[case::joined_lines("share = 3", "share = 3\\", "[workspace kollam]: line 45:")]
fn error_is_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = valid_file();
    assert!(text.contains(from));
    let findings = parse("bundle.ini", &text.replacen(from, to, 1)).unwrap_err();
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert!(texts.iter().all(|text| text.starts_with("bundle.ini:")), "{texts:?}");
    assert!(texts.iter().any(|text| text.contains(expected)), "{texts:#?}");
}

/// Guards against parsing that stops at the first error.
#[test]
fn all_errors_are_reported_at_once() {
    let text = valid_file()
        .replace("share = 3", "share = none")
        .replace("slots = 8", "slots = 0")
        .replace("kind = engine", "garbage")
        .replace("deadline = 3s", "deadline = 2h\nretries = 5");
    let findings = parse("bundle.ini", &text).unwrap_err();
    let locations: Vec<(&str, Option<&str>)> =
        findings.iter().map(|finding| (finding.section.as_str(), finding.key.as_deref())).collect();
    for location in [
        ("workspace kollam", Some("share")),
        ("server enc-1", Some("slots")),
        ("pool writers", None),
        ("pool writers", Some("kind")),
        ("pipeline order", Some("deadline")),
        ("pipeline order", Some("retries")),
    ] {
        assert!(locations.contains(&location), "{location:?} not in {locations:?}");
    }
    assert_eq!(findings.len(), 6, "{findings:#?}");
}

/// Guards against a bundle without operators: no key could sign its replacement.
#[test]
fn bundle_needs_an_operator() {
    let findings = parse("bundle.ini", "[workspace a]\nshare = 1\nlimit = 1\n").unwrap_err();
    assert!(matches!(findings[0].problem, Problem::Other(_)), "{findings:?}");
}

/// Guards against an oversize section that only the store rejects, when the bundle is approved.
#[test]
fn oversize_section_is_reported() {
    let mut text = valid_file();
    for i in 0..30_000 {
        text += &format!(
            "[server filler-server-of-a-large-pool-{i}]\npool = encoders\nzone = kochi-a\n\
             side = 10.{}.{}.{}:7401\nslots = 8\n",
            i / 65_536,
            i / 256 % 256,
            i % 256
        );
    }
    let findings = parse("bundle.ini", &text).unwrap_err();
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 1, "{texts:?}");
    assert!(texts[0].contains("section pools has "), "{texts:?}");
    assert!(texts[0].contains("at most 1000000"), "{texts:?}");
}

/// Guards against differences that are omitted or reported for equal values.
#[test]
fn diff_names_each_change() {
    let before = parse("bundle.ini", &valid_file()).unwrap();
    assert_eq!(diff(&before, &before), []);
    let text =
        valid_file().replace("share = 3", "share = 4") + "[workspace palakkad]\nshare=1\nlimit=2";
    let after = parse("bundle.ini", &text).unwrap();
    let changes = diff(&before, &after);
    let changed = Change::Changed {
        section: "workspace kollam".to_owned(),
        key: "share",
        before: "3".to_owned(),
        after: "4".to_owned(),
    };
    assert_eq!(changes, [changed, Change::Added("workspace palakkad".to_owned())]);
    assert_eq!(changes[0].to_string(), "~ [workspace kollam] share: 3 -> 4");
    let reversed: Vec<String> = diff(&after, &before).iter().map(ToString::to_string).collect();
    assert_eq!(reversed, ["~ [workspace kollam] share: 4 -> 3", "- [workspace palakkad]"]);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = String> {
    "[a-z0-9._-]{1,12}"
}

prop_compose! {
    fn bundles()(
        pools in prop::collection::btree_map(name(), (any::<bool>(), any::<bool>(), 0u32..=1_000), 1..4),
        servers in prop::collection::btree_map(name(), (name(), 1u16.., 1u32..=10_000), 1..8),
        pipelines in prop::collection::btree_map(
            name(),
            prop::collection::btree_map(name(), (any::<bool>(), "/[!-\\[\\]-~]{0,20}", 1u64..1_000), 1..4),
            0..3,
        ),
        workspaces in prop::collection::btree_map(name(), (1u32..=1_000, 1u32..=100_000), 0..20),
    ) -> Bundle {
        let ids: Vec<PoolId> = pools.keys().map(|id| PoolId::from(id.as_str())).collect();
        let mut bundle = Bundle {
            version: Version(0),
            pools: pools
                .into_iter()
                .map(|(id, (engine, resume, extra))| {
                    let kind = if engine { PoolKind::Engine } else { PoolKind::Service };
                    (id.as_str().into(), Pool { kind, servers: Vec::new(), resume, extra })
                })
                .collect(),
            pipelines: BTreeMap::new(),
            workspaces: workspaces
                .into_iter()
                .map(|(id, (share, limit))| (id.as_str().into(), Workspace { share, limit }))
                .collect(),
            operators: [("asha".to_owned(), OperatorKey { key: KEY.parse::<damaskweir_bundle::PublicKey>().unwrap().0 })].into(),
        };
        for (i, (id, (zone, port, slots))) in servers.into_iter().enumerate() {
            let side = format!("10.0.0.{}:{port}", i + 1).parse().unwrap();
            let zone = AvailabilityZone::from(zone.as_str());
            let server = BackendServer { id: id.as_str().into(), zone, side, slots };
            bundle.pools.get_mut(&ids[0]).unwrap().servers.push(server);
        }
        for (id, stages) in pipelines {
            let stages: Vec<Stage> = stages
                .into_iter()
                .map(|(name, (once, path, millis))| Stage {
                    name,
                    pool: ids[0].clone(),
                    effect: if once { Effect::Once } else { Effect::Idempotent },
                    path,
                    expected: Span::from_millis(millis),
                })
                .collect();
            let deadline = Span::from_secs(10);
            bundle.pipelines.insert(id.as_str().into(), Pipeline { deadline, stages });
        }
        bundle
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a bundle that changes when it is printed and parsed again.
    #[test]
    fn printed_bundle_parses_to_the_same_bundle(bundle in bundles()) {
        let text = print(&bundle);
        prop_assert_eq!(parse("bundle.ini", &text), Ok(bundle));
    }

    /// Guards against text that makes the parser panic.
    #[test]
    fn parser_does_not_panic_on_any_text(text in "\\PC*") {
        let _ = parse("bundle.ini", &text);
    }

    /// Guards against a damaged file that makes the parser panic.
    #[test]
    fn parser_does_not_panic_on_damage(
        at in 0..1_000usize,
        bytes in prop::collection::vec(prop::sample::select(b"[]=:\\;#\n\t \"'/0a\xff".to_vec()), 1..6),
    ) {
        let mut text = valid_file().into_bytes();
        let at = at.min(text.len());
        text.splice(at..at, bytes);
        let _ = parse("bundle.ini", &String::from_utf8_lossy(&text));
    }
}
