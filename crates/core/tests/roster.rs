//! Tests of the order and age of the list of entries.

use damaskweir_core::owner::EntryInfo;
use damaskweir_core::revision::Revision;
use damaskweir_core::roster::{Roster, RosterMark};
use damaskweir_core::time::{Span, Time};
use rstest::rstest;

fn entry(name: &str) -> EntryInfo {
    EntryInfo { name: name.to_owned(), zone: "a".into(), address: String::new(), power: 0 }
}

/// A list as of a revision, confirmed one second after the start.
fn roster(names: &[&str], as_of: u64) -> Roster {
    roster_of(names, Revision::new(1, as_of))
}

/// The same for a revision of any generation.
fn roster_of(names: &[&str], as_of: Revision) -> Roster {
    let mut roster = Roster::default();
    let entries = names.iter().map(|name| entry(name)).collect();
    roster.replace(Time::default() + Span::from_secs(1), entries, as_of, Some(Span::ZERO));
    roster
}

fn seconds(seconds: u64) -> Time {
    Time::default() + Span::from_secs(seconds)
}

/// Guards against a list that is replaced by an older one, and against entries of earlier versions, which
/// tell no revision, that are never heard.
#[rstest]
#[case::later(10, 11, 1, true)]
#[case::equal(10, 10, 1, false)]
#[case::older(10, 9, 1, false)]
#[case::older_and_unconfirmed(10, 9, 60, false)]
#[case::no_revision(10, 0, 3, false)]
#[case::no_revision_and_unconfirmed(10, 0, 4, true)]
fn later_lists_are_taken(
    #[case] own: u64,
    #[case] told: u64,
    #[case] at: u64,
    #[case] taken: bool,
) {
    let mark = (told > 0).then(|| roster(&["e-1"], told).mark(seconds(1)));
    let own = roster(&["e-1", "e-2"], own);
    assert_eq!(own.is_older_than(seconds(at), mark.as_ref()), taken);
}

/// Guards against an entry without a list that waits for a later one.
#[test]
fn any_list_is_better_than_none() {
    assert!(Roster::default().is_older_than(Time::default(), None));
}

/// Guards against a list that is sent again and again to an entry that has a later one, and against one that
/// is not sent to an entry of an earlier version.
#[rstest]
#[case::behind(9, true)]
#[case::same_revision(10, false)]
#[case::ahead(11, false)]
#[case::no_revision(0, true)]
fn list_is_sent_to_those_who_lack_it(#[case] as_of: u64, #[case] sent: bool) {
    let (own, other) = (roster(&["e-1", "e-2"], 10), roster(&["e-1"], 1).mark(seconds(1)).digest);
    assert_eq!(own.is_news_for(Revision::new(1, as_of), other), sent);
    assert!(!own.is_news_for(Revision::new(1, as_of), own.mark(seconds(1)).digest));
}

/// Guards against a list that counts as confirmed because another entry, with another list, or an older
/// answer was.
#[test]
fn only_the_same_list_confirms() {
    let mut own = roster(&["e-1", "e-2"], 10);
    own.confirm(seconds(9), &roster(&["e-1"], 20).mark(seconds(1)), Span::ZERO);
    assert_eq!(own.age(seconds(9)), Some(Span::from_secs(8)));
    own.confirm(seconds(9), &roster(&["e-1", "e-2"], 9).mark(seconds(9)), Span::ZERO);
    assert_eq!(own.age(seconds(9)), Some(Span::from_secs(8)));
    let same = roster(&["e-1", "e-2"], 20).mark(seconds(3));
    own.confirm(seconds(9), &same, Span::from_secs(1));
    assert_eq!((own.as_of().number, own.age(seconds(9))), (20, Some(Span::from_secs(3))));
}

/// Guards against a list from before the store returned from a copy that counts as later, since the store gives
/// its revisions out again.
#[test]
fn lists_of_later_generations_are_later() {
    let (old, new) = (roster_of(&["e-1"], Revision::new(1, 90)), Revision::new(2, 10));
    let new = roster_of(&["e-1", "e-2"], new);
    let mark = |roster: &Roster| roster.mark(seconds(1));
    assert!(old.is_older_than(seconds(2), Some(&mark(&new))));
    assert!(!new.is_older_than(seconds(2), Some(&mark(&old))));
    assert!(new.is_news_for(old.as_of(), mark(&old).digest));
    assert!(!old.is_news_for(new.as_of(), mark(&new).digest));
    // An entry of an earlier version tells no generation.
    let unmarked = mark(&roster(&["e-1"], 90));
    let unmarked = RosterMark { generation: 0, ..unmarked };
    assert!(!new.is_older_than(seconds(3), Some(&unmarked)));
    assert!(new.is_older_than(seconds(4), Some(&unmarked)));
    let mut same = roster_of(&["e-1", "e-2"], Revision::new(3, 1));
    same.confirm(seconds(9), &roster_of(&["e-1", "e-2"], new.as_of()).mark(seconds(9)), Span::ZERO);
    assert_eq!(same.age(seconds(9)), Some(Span::from_secs(8)));
}
