//! Tests that the model checker passes on the unmodified rules and detects each broken one.

use damaskweir_model::{Mutation, Size, Violation, check, check_for};
use rstest::rstest;

/// Guards against changes to the core that violate an invariant within the quick sizes.
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

/// Guards against a checker that cannot fail: each mutation must violate the expected invariant.
#[rstest]
#[case(Mutation::PromiseUnrecorded, Violation::RanTwice)]
#[case(Mutation::PromiseUnrecorded, Violation::UntrueNotRun)]
#[case(Mutation::ClaimExpires, Violation::RanTwice)]
#[case(Mutation::GoneAsForbidden, Violation::RanTwice)]
#[case(Mutation::BlindOverwrite, Violation::RanTwice)]
#[case(Mutation::OutcomeUnrecorded, Violation::RanTwice)]
#[case(Mutation::IncarnationUnchecked, Violation::RanTwice)]
#[case(Mutation::DuplicateAsPromise, Violation::UntrueNotRun)]
#[case(Mutation::StaleAsPromise, Violation::UntrueNotRun)]
#[case(Mutation::UnmatchedAccepted, Violation::WrongAnswer)]
#[case(Mutation::BlindOverwrite, Violation::Forked)]
#[case(Mutation::DowngradeAccepted, Violation::Reverted)]
#[case(Mutation::ReadyEarly, Violation::Reverted)]
#[case(Mutation::UnsignedAccepted, Violation::Unsigned)]
fn broken_rule_is_caught(#[case] mutation: Mutation, #[case] violation: Violation) {
    let caught = Size::quick().into_iter().find_map(|size| {
        let report = check_for(size, Some(mutation), Some(violation));
        println!("{mutation:?}: {report}");
        report.violation
    });
    assert_eq!(caught.map(|(found, _)| found), Some(violation), "{mutation:?}");
}
