//! Tests of the stage graph of one request and of the forecasts made from its stages.

use damaskweir_core::catalog::StageSpec;
use damaskweir_core::forecast::{ArrivalEstimate, Decision, Forecast, decide_admission};
use damaskweir_core::graph::{PieceIndex, StageGraph};
use damaskweir_core::ids::PoolId;
use damaskweir_core::time::Span;
use rstest::rstest;

fn stage(after: &[usize]) -> StageSpec {
    StageSpec { pool: PoolId::from("pool"), after: after.to_vec(), bytes: 1_000 }
}

fn at(stage: usize, piece: usize) -> PieceIndex {
    PieceIndex { stage, piece }
}

/// Guards against running a piece before all of its inputs are available.
#[test]
fn a_stage_waits_for_all_pieces_before_it() {
    let stages = [stage(&[]), stage(&[0])];
    let mut graph = StageGraph::new(&stages, &[2, 1]).expect("counts fit");
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
    let mut graph = StageGraph::new(&[stage(&[])], &[1]).expect("counts fit");
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
    let mut graph = StageGraph::new(&stages, &[1, 1, 1]).expect("counts fit");
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
fn a_stage_without_pieces_is_done() {
    let stages = [stage(&[]), stage(&[0])];
    let mut graph = StageGraph::<()>::new(&stages, &[0, 1]).expect("counts fit");
    assert_eq!(graph.take_ready(), [at(1, 0)]);
    assert!(StageGraph::<()>::new(&stages, &[1]).is_none(), "one count per stage is required");
}

/// Guards against forecasts that add up stages which run in parallel.
#[test]
fn the_forecast_follows_the_longest_chain() {
    let stages = [stage(&[]), stage(&[]), stage(&[0, 1])];
    let times = [300, 500, 200].map(|n| Some(Span::from_millis(n)));
    let forecast = Forecast::new(&stages, &times);
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
        late: Span::from_millis(whole),
        time_left: Span::from_millis(left),
        elapsed: Span::from_millis(6_000 - left),
        objective: Span::from_secs(1),
    };
    assert_eq!(decide_admission(&arrival), expected);
}

/// Guards against large results that stay stored while a longer chain of stages that runs in parallel
/// is still at work.
#[test]
fn a_stage_beside_a_longer_chain_has_slack() {
    let stages = [stage(&[]), stage(&[]), stage(&[1])];
    let times = [300, 500, 200].map(|n| Some(Span::from_millis(n)));
    let forecast = Forecast::new(&stages, &times);
    assert_eq!(forecast.slacks, [400, 0, 0].map(Span::from_millis));
}
