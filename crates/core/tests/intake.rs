//! Tests of what is remembered of servers' answers.
#![allow(clippy::expect_used, reason = "the lint only exempts test functions")]

use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::intake::{Change, Intake, Notice, Rate, Statement};
use damaskweir_core::time::{Span, Time};
use rstest::rstest;

const fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn server(started: u64) -> Replica {
    Replica {
        id: ServerId::from("i-1"),
        pool: PoolId::from("orders"),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: AvailabilityZone::from("a"),
        slots: 6,
        leaving: false,
        started: Some(started),
        warmup: None,
    }
}

fn rate(text: &str) -> Rate {
    text.parse().expect("a rate")
}

/// Guards against a limit below one a second that is rounded to none.
#[rstest]
#[case("1", 1_000_000)]
#[case("0.25", 4_000_000)]
#[case("1.3", 769_230)]
#[case("200", 5_000)]
fn limit_is_read_as_a_decimal_number(#[case] text: &str, #[case] micros: u64) {
    assert_eq!(rate(text).interval(), Span(micros));
}

/// Guards against a text that is taken for a limit and stops or frees all requests to a server.
#[rstest]
fn text_that_is_no_limit_is_rejected(
    #[values("", "0", "0.0", "-1", "1e3", "inf", "NaN", "1,5", "1 2", "100001", ".", "1.2.3")]
    text: &str,
) {
    assert!(text.parse::<Rate>().is_err(), "{text}");
    assert!("9".repeat(400).parse::<Rate>().is_err());
}

/// Guards against an invalid text that drops a limit, and against a log line for each answer.
#[test]
fn invalid_limit_changes_nothing_and_is_reported_once() {
    let (mut intake, server) = (Intake::default(), server(1));
    intake.record(at(0), &server, Notice::Limit(rate("2")));
    let invalid = || Notice::Invalid("soon".to_owned());
    assert_eq!(intake.record(at(1), &server, invalid()), Some(Change::Invalid("soon".to_owned())));
    assert_eq!(intake.record(at(2), &server, invalid()), None);
    assert_eq!(intake.limit(&server), Some(rate("2")));
}

/// Guards against a limit that outlasts the answers that named it, or the process that did.
#[test]
fn limit_ends_with_an_answer_without_one_and_with_its_process() {
    let (mut intake, first, second) = (Intake::default(), server(1), server(2));
    assert_eq!(intake.record(at(0), &first, Notice::None), None);
    let named = intake.record(at(10), &first, Notice::Limit(rate("2")));
    assert_eq!(named, Some(Change::Limited { limit: rate("2"), before: None }));
    assert_eq!(intake.record(at(20), &first, Notice::Limit(rate("2"))), None);
    let raised = intake.record(at(30), &first, Notice::Limit(rate("3")));
    assert_eq!(raised, Some(Change::Limited { limit: rate("3"), before: Some(rate("2")) }));
    let ended = intake.record(at(60), &first, Notice::None);
    assert_eq!(ended, Some(Change::Unlimited { before: rate("3"), lasted: Span::from_millis(50) }));
    assert_eq!(intake.limit(&first), None);
    intake.record(at(70), &first, Notice::Limit(rate("2")));
    assert_eq!(intake.limit(&second), None, "a later process has named no limit");
    assert_eq!(intake.limited().count(), 1);
}

fn statement(started: u64, limit: Option<&str>, age: u64) -> Statement {
    Statement { server: server(started), limit: limit.map(rate), age: Span::from_millis(age) }
}

/// Guards against an older statement of another entry that replaces a newer one, or one of an earlier
/// process.
#[test]
fn statement_is_replaced_only_by_a_newer_one() {
    let mut intake = Intake::default();
    intake.record(at(5_000), &server(2), Notice::Limit(rate("2")));
    assert_eq!(intake.merge(at(6_000), &statement(2, None, 1_500)), None);
    assert_eq!(intake.merge(at(6_000), &statement(1, Some("9"), 0)), None);
    assert_eq!(intake.limit(&server(2)), Some(rate("2")));
    assert!(intake.merge(at(6_000), &statement(2, None, 500)).is_some());
    assert_eq!(intake.limit(&server(2)), None);
    assert!(intake.merge(at(7_000), &statement(3, Some("4"), 6_900)).is_some());
    assert_eq!(intake.limit(&server(3)), Some(rate("4")));
    assert_eq!(
        intake.statement(at(7_100), &server(3)).map(|told| told.age),
        Some(Span::from_secs(7))
    );
}

/// Guards against an entry that takes over and grants at once what the one before has granted as well.
#[test]
fn new_grantor_has_no_grants_saved_up() {
    let (mut intake, server) = (Intake::default(), server(1));
    intake.record(at(0), &server, Notice::Limit(rate("2")));
    intake.set_grants(at(10_000), &server.id, true, at(2_000));
    assert_eq!(intake.grants_for(at(12_000), &server), Some(Span::from_secs(10)));
    assert!(intake.try_grant(at(10_000), &server, 1.0).is_err());
    assert!(intake.try_grant(at(10_501), &server, 1.0).is_ok());
    intake.set_grants(at(11_000), &server.id, true, at(11_000));
    assert_eq!(intake.grants_for(at(12_000), &server), Some(Span::from_secs(10)));
}

/// Guards against calls that release results and take the place of all other requests.
#[test]
fn releases_get_a_small_part_of_the_limit() {
    let (mut intake, server) = (Intake::default(), server(1));
    intake.record(at(0), &server, Notice::Limit(rate("10")));
    let granted =
        (1_000..11_000).step_by(10).filter(|now| intake.try_grant_release(at(*now), &server, 1.0));
    let granted = granted.count();
    assert!((20..=26).contains(&granted), "{granted} of 100");
}

/// Guards against a server whose record expires for a while and whose limit is forgotten with it.
#[test]
fn limit_outlasts_a_missing_record() {
    let (mut intake, server) = (Intake::default(), server(1));
    intake.record(at(0), &server, Notice::Limit(rate("10")));
    intake.expire(at(5_000), |_| false);
    assert!(intake.limit(&server).is_some());
    intake.expire(at(61_000), |_| false);
    assert!(intake.limit(&server).is_none());
}
