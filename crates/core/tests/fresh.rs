//! Tests of the age of an entry's data.

use damaskweir_core::fresh::{Dataset, Freshness};
use damaskweir_core::time::{Span, Time};
use proptest::prelude::*;

const fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// Guards against taking the absence of updates for a confirmation.
#[test]
fn only_answers_reduce_the_age() {
    let mut confirmed = Freshness::default();
    assert_eq!(confirmed.age(at(5)), None);
    confirmed.answered(Dataset::Catalog, at(10), Span::ZERO);
    assert_eq!(confirmed.age(at(20)), None, "the servers were never read");
    confirmed.answered(Dataset::Servers, at(20), Span::ZERO);
    assert_eq!(confirmed.age(at(1_010)), Some(Span::from_millis(1_000)));
    confirmed.answered(Dataset::Catalog, at(500), Span::from_millis(400));
    assert_eq!(confirmed.age(at(1_020)), Some(Span::from_millis(1_000)), "one list is old");
}

/// Guards against a chain of entries in which each treats relayed data as just confirmed.
#[test]
fn relayed_data_keeps_its_age() {
    let mut confirmed = Freshness::default();
    confirmed.relayed(at(1_000), Span::from_millis(400), Span::from_millis(700));
    assert_eq!(confirmed.age(at(1_500)), Some(Span::from_millis(800)));
    confirmed.relayed(at(1_500), Span::ZERO, Span::from_secs(3));
    assert_eq!(
        confirmed.age(at(1_600)),
        Some(Span::from_millis(900)),
        "an older confirmation changes nothing"
    );
}

/// Guards against an entry that has just started and limits the age of relayed data to its own uptime.
#[test]
fn data_may_be_older_than_the_process() {
    let mut confirmed = Freshness::default();
    confirmed.relayed(at(100), Span::ZERO, Span::from_secs(10));
    assert_eq!(confirmed.age(at(200)), Some(Span::from_millis(10_100)));
    assert_eq!(confirmed.relayed_age(at(300)), Some(Span::from_millis(10_200)));
}

proptest! {
    /// Guards against ages that grow more slowly than time passes, for any order of answers.
    #[test]
    fn age_is_never_less_than_that_of_the_newest_answer(
        steps in prop::collection::vec((0_u8..3, 0_u64..400, 0_u64..400, 0_u64..400), 1..40),
    ) {
        let (mut confirmed, mut now, mut newest) = (Freshness::default(), 1_000, 0);
        for (what, waited, held, age) in steps {
            let sent = now;
            now += waited;
            let held = held.min(waited);
            match what {
                0 => confirmed.answered(Dataset::Catalog, at(sent), Span::from_millis(held)),
                1 => confirmed.answered(Dataset::Servers, at(sent), Span::from_millis(held)),
                _ => {
                    confirmed.relayed(at(sent), Span::from_millis(held), Span::from_millis(age));
                }
            }
            newest = newest.max(sent + held);
            if let Some(age) = confirmed.age(at(now)) {
                prop_assert!(age >= at(now).since(at(newest)));
            }
        }
    }
}
