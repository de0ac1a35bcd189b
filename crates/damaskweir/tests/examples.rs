//! Tests of the sample settings and bundles in the `examples/` directory.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use damaskweir::settings::{EntryConfig, SidecarConfig};
use damaskweir::side::Backend;
use damaskweir_bundle::PublicKey;
use damaskweir_core::prelude::*;
use ini::Ini;
use rstest::rstest;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn example_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn read_bundle(name: &str) -> Bundle {
    let text = std::fs::read_to_string(example_path(name).join("bundle.ini")).unwrap();
    damaskweir_bundle::parse("bundle.ini", &text).unwrap_or_else(|findings| {
        panic!("{}", findings.iter().map(|f| f.to_string() + "\n").collect::<String>())
    })
}

/// Copies a sample directory and adds empty files for the certificates and key that its settings name.
fn copy_with_certificates(name: &str) -> PathBuf {
    let target = Path::new(env!("CARGO_TARGET_TMPDIR")).join("examples").join(name);
    std::fs::create_dir_all(&target).unwrap();
    for entry in std::fs::read_dir(example_path(name)).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, target.join(path.file_name().unwrap())).unwrap();
    }
    for file in ["authority.pem", "instance.pem", "instance.key"] {
        std::fs::write(target.join(file), "").unwrap();
    }
    target
}

/// Guards against sample bundles that fail validation or whose sizes differ from the design document.
#[rstest]
#[case("board", &[("models", 12), ("catalogue", 5), ("registry", 5), ("tracking", 5), ("orders", 4)])]
#[case("teranga", &[("models", 12), ("riders", 5), ("alerts", 5), ("bookings", 4), ("payouts", 4)])]
fn sample_bundles_match_the_design(#[case] name: &str, #[case] pools: &[(&str, usize)]) {
    let bundle = read_bundle(name);
    assert_eq!(bundle.pools.len(), pools.len());
    for (pool, servers) in pools {
        assert_eq!(bundle.pools[&PoolId::from(*pool)].servers.len(), *servers, "{pool}");
    }
    assert_eq!(bundle.workspaces.len(), 5);
    let servers = bundle.pools.values().flat_map(|pool| &pool.servers);
    let zones: BTreeSet<_> = servers.map(|server| &server.zone).collect();
    assert_eq!(zones.len(), 4);
    let stages: Vec<_> = bundle.pipelines.values().flat_map(|p| &p.stages).collect();
    assert!(stages.iter().any(|stage| stage.effect == Effect::Once));
}

/// Guards against sample settings that fail validation or do not match their bundle.
#[rstest]
#[case("board", "orders")]
#[case("teranga", "bookings")]
fn sample_settings_match_their_bundle(#[case] name: &str, #[case] once: &str) {
    let directory = copy_with_certificates(name);
    let bundle = read_bundle(name);
    let entry = EntryConfig::read(&directory.join("entry.ini")).unwrap_or_else(|e| panic!("{e}"));
    assert!(entry.store.is_some());
    let keys = |trusted: &[PublicKey]| trusted.iter().map(|key| key.0).collect::<BTreeSet<_>>();
    let operators: BTreeSet<_> = bundle.operators.values().map(|operator| operator.key).collect();
    assert_eq!(keys(&entry.operators), operators);
    let ini = Ini::load_from_file(directory.join("entry.ini")).unwrap();
    for (workspace, _) in ini.section(Some("credentials")).unwrap() {
        assert!(bundle.workspaces.contains_key(&WorkspaceId::from(workspace)), "{workspace}");
    }
    for pool in ["models", once] {
        let path = directory.join(format!("side-{pool}.ini"));
        let side = SidecarConfig::read(&path).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(keys(&side.operators), operators);
        let pool = &bundle.pools[&PoolId::from(pool)];
        let server = pool.servers.iter().find(|server| server.id == side.server).unwrap();
        assert_eq!((&server.zone, server.slots), (&side.zone, side.core.slots));
        assert_eq!(server.side.port(), side.wire.address.port());
        let kind = match side.backend {
            Backend::Engine(_) => PoolKind::Engine,
            Backend::Service(_) => PoolKind::Service,
        };
        assert_eq!(kind, pool.kind);
    }
}
