//! Tests of the stage graph of one request and of the forecasts made from its stages.
#![allow(clippy::expect_used, reason = "the lint only exempts test functions")]

use damaskweir_core::catalog::StageSpec;
use damaskweir_core::forecast::{ArrivalEstimate, Decision, Forecast, decide_admission};
use damaskweir_core::graph::{PieceIndex, PlanError, StageGraph, StagePlan};
use damaskweir_core::ids::PoolId;
use damaskweir_core::time::Span;
use rstest::rstest;

fn stage(after: &[usize]) -> StageSpec {
    StageSpec { pool: PoolId::from("pool"), after: after.to_vec(), bytes: 1_000 }
}

fn plan(stages: &[StageSpec], counts: &[usize]) -> StagePlan {
    StagePlan::new(stages, counts).expect("the counts fit")
}

fn at(stage: usize, piece: usize) -> PieceIndex {
    PieceIndex { stage, piece }
}

/// Guards against running a piece before all of its inputs are available.
#[test]
fn a_stage_waits_for_all_pieces_before_it() {
    let stages = [stage(&[]), stage(&[0])];
    let plan = plan(&stages, &[2, 1]);
    let mut graph = StageGraph::new(&plan);
    assert_eq!(graph.take_ready(), [at(0, 0), at(0, 1)]);
    assert!(graph.finish(at(0, 0), "x"));
    assert_eq!(graph.take_ready(), []);
    assert!(graph.finish(at(0, 1), "y"));
    assert_eq!(graph.take_ready(), [at(1, 0)]);
    assert_eq!(graph.inputs(1), [&"x", &"y"]);
}

/// Guards against accepting a second result for a piece, or a result for a piece that does not exist.
#[test]
fn each_piece_takes_one_result() {
    let plan = plan(&[stage(&[])], &[1]);
    let mut graph = StageGraph::new(&plan);
    graph.take_ready();
    assert!(graph.finish(at(0, 0), 1));
    assert!(!graph.finish(at(0, 0), 2));
    assert!(!graph.finish(at(0, 7), 3));
    assert_eq!(graph.outputs(), [&1]);
}

/// Guards against results that stay stored on their servers although no piece needs them.
#[test]
fn results_are_released_when_all_dependents_are_done() {
    let stages = [stage(&[]), stage(&[0]), stage(&[0])];
    let plan = plan(&stages, &[1, 1, 1]);
    let mut graph = StageGraph::new(&plan);
    graph.take_ready();
    graph.finish(at(0, 0), "a");
    graph.take_ready();
    graph.finish(at(1, 0), "b");
    assert!(graph.take_unneeded().is_empty(), "stage 2 still needs it");
    graph.finish(at(2, 0), "c");
    assert_eq!(graph.take_unneeded(), ["a"]);
    assert!(graph.take_unneeded().is_empty(), "returned once");
    assert_eq!(graph.outputs(), [&"b", &"c"]);
}

/// Guards against a request that never starts because one of its stages has no pieces.
#[test]
fn a_stage_waits_only_for_stages_with_pieces() {
    let stages = [stage(&[]), stage(&[]), stage(&[0, 1])];
    let plan = plan(&stages, &[0, 1, 1]);
    let mut graph = StageGraph::new(&plan);
    assert_eq!(graph.take_ready(), [at(1, 0)]);
    graph.finish(at(1, 0), "a");
    assert_eq!(graph.take_ready(), [at(2, 0)]);
    assert_eq!(graph.inputs(2), [&"a"]);
    let fault = StagePlan::new(&stages, &[1]).expect_err("one count per stage is required");
    assert_eq!(fault, PlanError::Counts);
}

/// Guards against pieces that run without the results that their stage needs (MIXED in review/5).
#[test]
fn a_stage_whose_dependencies_are_all_omitted_is_refused() {
    let stages = [stage(&[]), stage(&[0]), stage(&[0, 1])];
    let fault = |counts: &[usize]| StagePlan::new(&stages, counts).err();
    assert_eq!(fault(&[0, 1, 0]), Some(PlanError::InputsOmitted(1)));
    assert_eq!(fault(&[0, 0, 1]), Some(PlanError::InputsOmitted(2)));
    assert_eq!(fault(&[0, 1, 1]), Some(PlanError::InputsOmitted(1)));
}

/// Guards against results that are released before the request is sent, because the stage that would take
/// them is omitted (MIXED in review/5).
#[test]
fn results_before_an_omitted_stage_are_outputs() {
    let stages = [stage(&[]), stage(&[0]), stage(&[0]), stage(&[1, 2])];
    let plan = plan(&stages, &[1, 1, 1, 0]);
    let mut graph = StageGraph::new(&plan);
    graph.take_ready();
    graph.finish(at(0, 0), "a");
    graph.take_ready();
    graph.finish(at(1, 0), "b");
    graph.finish(at(2, 0), "c");
    assert!(graph.is_complete());
    assert_eq!(graph.take_unneeded(), ["a"]);
    assert_eq!(graph.outputs(), [&"b", &"c"]);
}

/// Guards against a result that is given twice to a piece (MIXED) because a configuration names its stage
/// twice, and against an entry that ends because a configuration names a stage that does not exist.
#[test]
fn dependencies_are_distinct_and_exist() {
    let stages = [stage(&[]), stage(&[0, 0])];
    let repeated = plan(&stages, &[1, 1]);
    let mut graph = StageGraph::new(&repeated);
    graph.finish(at(0, 0), "a");
    assert_eq!(graph.inputs(1), [&"a"]);
    for after in [1, 7] {
        let fault = StagePlan::new(&[stage(&[]), stage(&[after])], &[1, 1]);
        assert_eq!(fault.expect_err("no such stage before it"), PlanError::Order(1));
    }
}

/// Guards against a request that is predicted to wait for stages that it omits.
#[test]
fn the_forecast_skips_omitted_stages() {
    let stages = [stage(&[]), stage(&[0]), stage(&[]), stage(&[1, 2])];
    let times = [Some(400), None, Some(300), Some(200)].map(|n| n.map(Span::from_millis));
    let forecast = Forecast::new(&plan(&stages, &[1, 0, 1, 1]), &times);
    assert_eq!(forecast.critical_path, Span::from_millis(500));
    assert_eq!(forecast.tails, [0, 0, 200, 0].map(Span::from_millis));
    assert_eq!(forecast.slacks[0], Span::from_millis(100));
}

/// Guards against forecasts that add up stages which run in parallel.
#[test]
fn the_forecast_follows_the_longest_chain() {
    let stages = [stage(&[]), stage(&[]), stage(&[0, 1])];
    let times = [300, 500, 200].map(|n| Some(Span::from_millis(n)));
    let forecast = Forecast::new(&plan(&stages, &[1, 1, 1]), &times);
    assert_eq!(forecast.critical_path, Span::from_millis(700));
    assert_eq!(forecast.tails[0], Span::from_millis(200));
}

/// Guards against queues that make every answer late, and against refusing a caller that retries when
/// it was told to.
#[rstest]
#[case::in_time(800, 6_000, Decision::Admit)]
#[case::late(1_200, 6_000, Decision::AdmitLate)]
#[case::late_but_returning(1_200, 5_000, Decision::AdmitLate)]
#[case::returning_in_time(600, 5_800, Decision::Admit)]
#[case::too_late(5_000, 4_000, Decision::Refuse(Span::from_millis(2_600)))]
#[case::too_late_at_first(4_000, 6_000, Decision::Refuse(Span::from_millis(400)))]
fn callers_are_served_in_time_or_late_or_refused_at_once(
    #[case] whole: u64,
    #[case] left: u64,
    #[case] expected: Decision,
) {
    let arrival = ArrivalEstimate {
        timely: Span::from_millis(whole),
        late: Some(Span::from_millis(whole)),
        time_left: Span::from_millis(left),
        elapsed: Span::from_millis(6_000 - left),
        objective: Span::from_secs(1),
    };
    assert_eq!(decide_admission(&arrival), expected);
}

/// Guards against admitting a request whose results expire while it waits for its next stage: the stages before
/// were worked on in vain, and the refusal came seconds later.
#[test]
fn request_whose_results_would_expire_is_refused_at_once() {
    let arrival = ArrivalEstimate {
        timely: Span::from_secs(4),
        late: None,
        time_left: Span::from_secs(20),
        elapsed: Span::ZERO,
        objective: Span::from_secs(2),
    };
    assert_eq!(decide_admission(&arrival), Decision::Refuse(Span::from_secs(3)));
}

/// Guards against large results that stay stored while a longer chain of stages that runs in parallel
/// is still at work.
#[test]
fn a_stage_beside_a_longer_chain_has_slack() {
    let stages = [stage(&[]), stage(&[]), stage(&[1])];
    let times = [300, 500, 200].map(|n| Some(Span::from_millis(n)));
    let forecast = Forecast::new(&plan(&stages, &[1, 1, 1]), &times);
    assert_eq!(forecast.slacks, [400, 0, 0].map(Span::from_millis));
}

/// Guards against an entry that ends because a request names more pieces than fit into memory.
#[rstest]
#[case::most(&[999, 1], true)]
#[case::one_more(&[1_000, 1], false)]
#[case::overflow(&[usize::MAX, usize::MAX], false)]
fn the_pieces_of_a_request_are_bounded(#[case] counts: &[usize], #[case] planned: bool) {
    let fault = StagePlan::new(&[stage(&[]), stage(&[0])], counts).err();
    assert_eq!(fault, (!planned).then_some(PlanError::TooManyPieces));
}
