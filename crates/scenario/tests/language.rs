//! Tests of the scenario language, and that each expectation can fail.

use damaskweir_scenario::{parse, run};
use rstest::rstest;

const TOP: &str = "pool readers servers 2 slots 4 time 20ms
pool orders servers 2 slots 4 time 20ms once
pipeline read deadline 1s stages readers
pipeline order deadline 1s stages orders
";

/// Guards against parse errors that report the wrong line or column.
#[rstest]
#[case::word("entries 2\nfrobnicate", 2, 1)]
#[case::number("entries many", 1, 9)]
#[case::unit("network 5h", 1, 10)]
#[case::stage("pipeline read deadline 1s stages nowhere", 1, 34)]
#[case::server("at 1s kill nowhere for 1s", 1, 12)]
#[case::fault("at 1s explode", 1, 7)]
#[case::rest("entries 2 3", 1, 11)]
#[case::expectation("expect luck", 1, 8)]
fn error_has_line_and_column(#[case] text: &str, #[case] line: usize, #[case] column: usize) {
    let error = parse(text).expect_err("the text is wrong");
    assert_eq!((error.line, error.column), (line, column), "{error}");
}

/// Guards against comments and blank lines that are parsed as statements.
#[rstest]
fn comments_and_empty_lines_are_skipped() {
    parse("# a comment\n\n   \nentries 2 # why\n  network 1ms\n").expect("it is well formed");
}

/// Guards against an expectation that can never fail: each case injects a fault that violates one,
/// and the run must report it.
#[rstest]
#[case::attainment(
    "at 1s kill readers-0 for 9s\nat 1s kill readers-1 for 9s",
    "attainment at least 90%"
)]
#[case::work(
    "at 1s stop readers-0\nat 2s kill readers-0 for 100ms",
    "no new work on readers-0 after 500ms"
)]
#[case::force("at 1s approve b", "in force everywhere within 10us")]
#[case::wins("at 1s approve b\nat 2s approve c", "one approval wins")]
#[case::lost("at 1s corrupt readers-0", "nothing lost")]
#[case::untrue("at 0s misreport orders-0\nat 0s misreport orders-1", "no untrue refusal")]
#[case::cut_off("at 0s misreport readers-0\nat 2s stop readers-0", "nothing cut off")]
#[case::late(
    "at 0s lag entry-1\nat 1s slow readers-0 by 200 for 9s\nat 1s slow readers-1 by 200 for 9s",
    "answered at once"
)]
#[case::reverts(
    "at 1s approve b\nat 2s store reverts\nat 2s kill readers-0 for 100ms",
    "never reverts"
)]
#[case::doubled("at 0s store ignores conditions", "never doubled")]
fn expectation_can_fail(#[case] faults: &str, #[case] expectation: &str) {
    let traffic =
        "traffic read 50 per second for 4s\ntraffic order 50 per second for 4s repeat 100%";
    let text = format!("{TOP}{traffic}\n{faults}\nexpect {expectation}\n");
    let scenario = parse(&text).unwrap_or_else(|error| panic!("{error}"));
    let report = run(&scenario, 1);
    assert_eq!(report.failures.len(), 1, "{report}");
}

/// Guards against runs that differ under the same seed, which would make failures impossible to
/// reproduce.
#[rstest]
fn run_repeats_for_its_seed() {
    let text =
        format!("{TOP}traffic order 50 per second for 4s repeat 50%\nat 1s kill orders-0 for 1s");
    let scenario = parse(&text).expect("it is well formed");
    assert_eq!(run(&scenario, 7).trace, run(&scenario, 7).trace);
    assert_eq!(run(&scenario, 7).complete, run(&scenario, 7).complete);
}
