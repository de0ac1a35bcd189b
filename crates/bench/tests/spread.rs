//! Runs `bench spread` on a small deployment, with each of its faults.

use damaskweir_bench::run;
use pico_args::Arguments;

/// Guards against a node that misses an accepted version, reverts to an older one, or installs an
/// unsigned or partial bundle, while the store is down or answers are damaged.
#[test]
fn every_node_gets_whole_bundles_only() {
    let args = "spread --seed 3 --runs 2 --entries 8 --sides 24 --workspaces 60";
    let args = args.split(' ').map(Into::into).collect();
    let text = run(Arguments::from_vec(args)).unwrap();
    let lines: Vec<&str> = text.lines().filter(|line| line.contains("in force p50")).collect();
    assert_eq!(lines.len(), 4, "{text}");
    for line in lines {
        assert!(line.contains("; not in force 0;"), "{line}");
        assert!(line.contains("; reversions 0; unsigned or partial 0"), "{line}");
        let most = line.split("most ").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
        assert!(most.parse::<u64>().unwrap() <= 4_000, "{line}");
    }
    let damaged = text.lines().find(|line| line.contains("damaged")).unwrap();
    assert!(!damaged.contains("refused 0;"), "nothing was damaged: {damaged}");
}
