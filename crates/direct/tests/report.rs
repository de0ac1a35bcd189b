//! Tests of what entries of different versions report to each other.

use damaskweir_core::batch::{Fullness, Lane, QueuePlace};
use damaskweir_core::time::Span;

/// Guards against a report of an entry of an earlier version, which tells the backlog by rank only, that is
/// taken for an empty queue.
#[test]
fn report_of_an_earlier_version_is_read_by_rank() {
    let text = r#"{"ranks":[0.5,1.0,3.0],"late":9.0}"#;
    let full: Fullness = serde_json::from_str(text).expect("a report");
    assert_eq!(full.ahead_of(place(Lane::Timely(2))), 3.0);
    assert_eq!(full.ahead_of(place(Lane::Late)), 9.0);
}

fn place(lane: Lane) -> QueuePlace {
    QueuePlace { lane, due: Span::from_secs(1) }
}
