//! Runs all scenario files.

use damaskweir_scenario::{parse, run};
use rstest::rstest;
use std::path::Path;

/// Guards against changes that break a guarantee under one of the scripted faults.
#[rstest]
#[case::board("board")]
#[case::teranga("teranga")]
fn scenarios_pass(#[case] deployment: &str) {
    let directory = Path::new("../../scenarios").join(deployment);
    let mut failed = Vec::new();
    let mut count = 0;
    for file in std::fs::read_dir(directory).expect("the directory exists") {
        let path = file.expect("it can be read").path();
        let text = std::fs::read_to_string(&path).expect("it is a text file");
        let scenario = parse(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        for seed in 1..=2 {
            let report = run(&scenario, seed);
            count += 1;
            println!("{}: {report}", path.display());
            if !report.failures.is_empty() {
                failed.push(format!("{} --seed {seed}", path.display()));
            }
        }
    }
    assert!(count >= 40, "only {count} runs");
    assert!(failed.is_empty(), "damaskweir scenario run {}", failed.join("\n"));
}
