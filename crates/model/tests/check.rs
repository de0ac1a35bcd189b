//! The model check itself: it passes on the shipped rules and catches each broken one.

use damaskweir_model::{Fault, Size, Violation, check, check_for};
use rstest::rstest;

/// Guards against a change of the core that breaks an invariant within the quick sizes.
#[rstest]
#[case::one_call(0)]
#[case::two_calls(1)]
#[case::one_node(2)]
#[case::two_nodes(3)]
#[case::two_nodes_with_a_fault(4)]
fn shipped_rules_hold(#[case] size: usize) {
    let report = check(Size::quick()[size], None);
    println!("{report}");
    assert!(report.complete && report.violation.is_none(), "{report}");
}

/// Guards against a check that can't fail: each broken rule must be caught by its invariant.
#[rstest]
#[case(Fault::PromiseForgotten, Violation::RanTwice)]
#[case(Fault::PromiseForgotten, Violation::UntrueNotRun)]
#[case(Fault::ClaimExpires, Violation::RanTwice)]
#[case(Fault::GoneAsUnstarted, Violation::RanTwice)]
#[case(Fault::BlindOverwrite, Violation::RanTwice)]
#[case(Fault::EndForgotten, Violation::RanTwice)]
#[case(Fault::RunUnchecked, Violation::RanTwice)]
#[case(Fault::DuplicateAsPromise, Violation::UntrueNotRun)]
#[case(Fault::StaleAsPromise, Violation::UntrueNotRun)]
#[case(Fault::AnswerUnmatched, Violation::WrongAnswer)]
#[case(Fault::BlindOverwrite, Violation::Forked)]
#[case(Fault::LowerAccepted, Violation::Reverted)]
#[case(Fault::UncaughtServes, Violation::Reverted)]
#[case(Fault::UnsignedAccepted, Violation::Unsigned)]
fn broken_rule_is_caught(#[case] fault: Fault, #[case] violation: Violation) {
    let caught = Size::quick().into_iter().find_map(|size| {
        let report = check_for(size, Some(fault), Some(violation));
        println!("{fault:?}: {report}");
        report.violation
    });
    assert_eq!(caught.map(|(found, _)| found), Some(violation), "{fault:?}");
}
