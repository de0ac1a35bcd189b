//! End-to-end tests of the benchmark and, for one seed, of the targets in the design document.
#![allow(clippy::unwrap_used, reason = "the lint exempts only test functions")]

use damaskweir_bench::{Args, BenchError, Deployment, Experiment, Format, NamedPolicy, execute};
use pico_args::Arguments;
use rstest::rstest;
use serde_json::Value;

fn args(deployment: &str, experiment: Experiment, seconds: u64) -> Args {
    Args {
        deployment: deployment.to_owned(),
        experiments: vec![experiment],
        policies: vec![NamedPolicy::damaskweir()],
        seed: 1,
        seconds,
        format: Format::Json,
        report: None,
    }
}

fn run(args: &Args) -> Value {
    serde_json::from_str(&execute(args).unwrap()).unwrap()
}

fn measures(document: &Value) -> &Vec<Value> {
    document["policies"][0]["experiments"][0]["measures"].as_array().unwrap()
}

/// Guards against output that depends on hash order, the clock or addresses besides the seed.
#[rstest]
#[case("board", Experiment::Storm)]
#[case("teranga", Experiment::Overload)]
fn same_seed_gives_same_output(#[case] deployment: &str, #[case] experiment: Experiment) {
    for format in [Format::Json, Format::Text] {
        let args = Args { format, ..args(deployment, experiment, 15) };
        assert_eq!(execute(&args).unwrap(), execute(&args).unwrap());
    }
    let other = Args { seed: 2, ..args(deployment, experiment, 15) };
    assert_ne!(execute(&other).unwrap(), execute(&args(deployment, experiment, 15)).unwrap());
}

/// Guards against comparing policies on different arrivals.
#[rstest]
fn policies_see_the_same_calls() {
    let policies = vec![NamedPolicy::damaskweir(), NamedPolicy::baseline()];
    let document = run(&Args { policies, ..args("board", Experiment::Steady, 10) });
    let calls = |i: usize| &document["policies"][i]["experiments"][0]["run"]["calls"];
    assert_eq!(calls(0), calls(1));
    assert_ne!(document["policies"][0]["experiments"], document["policies"][1]["experiments"]);
    assert!(!document["ratios"].as_array().unwrap().is_empty());
}

/// Guards against missing a target of the design document, and against answers that are lost,
/// duplicated, misdelivered or reported as "not run" although work started.
#[rstest]
fn targets_are_met(
    #[values("board", "teranga")] deployment: &str,
    #[values(
        Experiment::Steady,
        Experiment::LongMix,
        Experiment::Overload,
        Experiment::Slowed,
        Experiment::Dying,
        Experiment::Storm
    )]
    experiment: Experiment,
) {
    let document = run(&args(deployment, experiment, 60));
    for measure in measures(&document) {
        assert_eq!(measure["met"], true, "{measure}");
    }
    let names: Vec<_> = measures(&document).iter().map(|m| m["name"].as_str().unwrap()).collect();
    for name in ["doubled", "lost", "misdelivered", "untrue refusals"] {
        assert!(names.contains(&name), "{name} is not measured");
    }
}

/// Guards against a surge of one workspace that takes capacity from the others.
#[rstest]
fn greedy_workspace_does_not_starve_others(#[values("board", "teranga")] deployment: &str) {
    let document = run(&args(deployment, Experiment::Greedy, 60));
    let others = measures(&document).iter().find(|m| m["name"] == "others' attainment").unwrap();
    assert!(others["value"].as_f64().unwrap() >= 0.98, "{others}");
}

/// Guards against a sidecar that relies on the configured slots when the backend server has
/// fewer or more.
#[rstest]
fn wrong_slot_count_keeps_goodput(#[values("board", "teranga")] deployment: &str) {
    let document = run(&args(deployment, Experiment::Misfit, 60));
    for measure in measures(&document) {
        if measure["name"].as_str().unwrap().starts_with("yield") {
            assert!(measure["value"].as_f64().unwrap() >= 0.92, "{measure}");
        }
    }
}

/// Guards against experiments that do not distinguish policies: the baseline must miss a target.
#[rstest]
#[case(Experiment::Overload)]
#[case(Experiment::Slowed)]
fn baseline_misses_targets(#[case] experiment: Experiment) {
    let policies = vec![NamedPolicy::baseline()];
    let document = run(&Args { policies, ..args("board", experiment, 60) });
    assert!(measures(&document).iter().any(|m| m["met"] == false));
}

/// Guards against a report that has no plots or is not written.
#[rstest]
fn report_has_plots() {
    let directory = std::env::temp_dir().join(format!("damaskweir-bench-{}", std::process::id()));
    let report = Some(directory.clone());
    execute(&Args { report, ..args("board", Experiment::Steady, 6) }).unwrap();
    let page = std::fs::read_to_string(directory.join("index.html")).unwrap();
    std::fs::remove_dir_all(&directory).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("attainment"));
}

/// Guards against falling back to defaults for missing or invalid values in a deployment file.
#[rstest]
#[case::no_file(None, "No such file")]
#[case::missing_key(Some(("load = 0.7\n", "")), "key load is missing")]
#[case::not_a_number(Some(("entries = 4", "entries = four")), "entries = four")]
#[case::zero(Some(("entries = 4", "entries = 0")), "entries = 0")]
#[case::unknown_pool(Some(("print orders once", "print nowhere once")), "invalid value")]
#[case::unknown_effect(Some(("print orders once", "print orders twice")), "invalid value")]
fn deployment_errors_are_reported(#[case] change: Option<(&str, &str)>, #[case] expected: &str) {
    let board = include_str!("../deployments/board.ini");
    let error = match change {
        None => Deployment::load("/nowhere/at/all.ini").unwrap_err(),
        Some((from, to)) => {
            assert!(board.contains(from), "{from} is not in the file");
            Deployment::parse(&board.replace(from, to)).unwrap_err()
        }
    };
    assert!(error.to_string().contains(expected), "{error}");
}

/// Guards against ignoring unknown arguments and invalid option values.
#[rstest]
#[case(&["--experiment", "none"])]
#[case(&["--policy", "none"])]
#[case(&["--format", "none"])]
#[case(&["--without", "none"])]
#[case(&["--seed", "-1"])]
#[case(&["more"])]
fn invalid_options_are_rejected(#[case] words: &[&str]) {
    let words = words.iter().map(Into::into).collect();
    let error: BenchError = Args::parse(Arguments::from_vec(words)).unwrap_err();
    assert!(error.is_usage(), "{error}");
}
