//! Tests of the rulings on prompt parts that crash servers.

use damaskweir_core::fleet::ServerProcess;
use damaskweir_core::ids::{ServerId, WorkspaceId};
use damaskweir_core::quarantine::{
    OpenRequest, Quarantine, Ruling, RulingChange, RulingStatement, Scope, SentCall,
};
use damaskweir_core::time::{Span, Time};
use rstest::rstest;

/// Prompt part that crashes servers.
const DEADLY: u64 = 0xdead;
/// Prompt part that all requests share.
const COMMON: u64 = 1;
/// Prompt part that only requests with the deadly one hold.
const RARE: u64 = 2;
/// Time between two crashes.
const STEP: Span = Span::from_millis(400);

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn process(number: usize) -> ServerProcess {
    ServerProcess { id: ServerId::from(format!("i-{number}").as_str()), started: Some(1) }
}

fn open(parts: &[u64], workspace: &str) -> OpenRequest {
    let workspace = Some(WorkspaceId::from(workspace));
    OpenRequest { parts: parts.to_vec(), workspace, call: None }
}

/// Entry under test, with the number of crashes so far.
#[derive(Default)]
struct Observer {
    quarantine: Quarantine,
    crashes: usize,
}

impl Observer {
    /// A server crashes while these requests are open.
    fn crash(&mut self, now: Time, requests: &[OpenRequest]) -> Vec<RulingChange> {
        self.crashes += 1;
        let report = self.quarantine.report(now, process(self.crashes), requests);
        self.quarantine.merge_report(now, report);
        self.quarantine.judge(now)
    }

    /// Servers crash [`STEP`] apart, each with the same requests.
    fn crash_times(&mut self, mut now: Time, count: usize, requests: &[OpenRequest]) -> Time {
        for _ in 0..count {
            now = now + STEP;
            self.crash(now, requests);
        }
        now
    }

    fn blocks(&self, now: Time, part: u64) -> bool {
        self.blocks_for(now, part, "a")
    }

    fn blocks_for(&self, now: Time, part: u64, workspace: &str) -> bool {
        self.quarantine.blocking(now, &[part], Some(&WorkspaceId::from(workspace))).is_some()
    }

    /// Takes up all rulings of another entry.
    fn hear(&mut self, now: Time, other: &Observer, delay: Span) -> Vec<RulingChange> {
        let told = other.quarantine.statements(now);
        let told = told.into_iter().map(|t| RulingStatement { age: t.age + delay, ..t });
        told.filter_map(|told| self.quarantine.merge_ruling(now, &told)).collect()
    }
}

fn deadly() -> OpenRequest {
    open(&[COMMON, RARE, DEADLY], "a")
}

/// Guards against refusals of sound requests that were open at the same servers.
#[test]
fn part_that_explains_the_crashes_is_quarantined_and_no_other() {
    let mut observer = Observer::default();
    let sound = [open(&[COMMON, 7], "a"), open(&[COMMON, 8], "b")];
    let requests = [&[deadly()], &sound[..]].concat();
    for n in 1..=3 {
        assert!(!observer.blocks(at(n * 400), DEADLY), "before crash {n}");
        observer.crash(at(n * 400), &requests);
    }
    let now = at(1_200);
    assert!(observer.blocks(now, DEADLY));
    let others: Vec<_> =
        [COMMON, RARE, 7, 8].into_iter().filter(|p| observer.blocks(now, *p)).collect();
    assert_eq!(others, []);
}

/// Guards against evidence that servers which crash for other reasons give against what they ran.
#[rstest]
#[case::at_once(Span::from_millis(3), 12)]
#[case::answered_in_between(Span::from_millis(900), 12)]
fn crashes_with_another_cause_quarantine_nothing(#[case] pause: Span, #[case] count: u64) {
    let mut observer = Observer::default();
    for n in 0..count {
        let now = at(100) + pause * n;
        observer.crash(now, &[open(&[COMMON, 40], "a"), open(&[COMMON, 50 + n], "a")]);
        if pause > STEP {
            observer.quarantine.record_answer(now + STEP, &[COMMON, 40]);
        }
    }
    let now = at(100) + pause * count;
    assert_eq!(observer.quarantine.len(now), 0);
}

/// Guards against one crash that is counted once for each entry, or each time that it is reported.
#[test]
fn crash_that_several_entries_report_counts_once() {
    let mut observer = Observer::default();
    for n in 0..12 {
        let now = at(200 * n);
        let report = observer.quarantine.report(now, process(1), &[deadly()]);
        observer.quarantine.merge_report(now, report);
        observer.quarantine.judge(now);
    }
    assert_eq!(observer.quarantine.len(at(2_400)), 0);
    observer.crashes = 1;
    let now = observer.crash_times(at(2_400), 2, &[deadly()]);
    assert!(observer.blocks(now, DEADLY));
}

/// Guards against a part that was sound once and is therefore never quarantined.
#[test]
fn part_that_was_answered_before_needs_more_crashes() {
    let mut observer = Observer::default();
    observer.quarantine.record_answer(at(50), &[COMMON, RARE, DEADLY]);
    let now = observer.crash_times(at(100), 4, &[open(&[DEADLY], "a")]);
    assert!(!observer.blocks(now, DEADLY));
    let now = observer.crash_times(now, 1, &[open(&[DEADLY], "a")]);
    assert!(observer.blocks(now, DEADLY));
}

/// Guards against a wrong ruling that doesn't end, or that an entry which hears of it late brings back.
#[test]
fn answer_ends_a_ruling_at_all_entries_for_good() {
    let (mut first, mut second, mut late) =
        (Observer::default(), Observer::default(), Observer::default());
    let now = first.crash_times(at(0), 3, &[deadly()]);
    second.hear(now, &first, Span::ZERO);
    late.hear(now, &first, Span::ZERO);
    assert!(second.blocks(now, DEADLY));
    let now = now + STEP;
    let changes = second.quarantine.record_answer(now, &[DEADLY]);
    assert_eq!(changes.len(), 1);
    first.hear(now, &second, Span::ZERO);
    assert!(!first.blocks(now, DEADLY));
    assert_eq!(first.hear(now + STEP, &late, Span::ZERO), []);
    assert!(!first.blocks(now + STEP, DEADLY));
    late.hear(now + STEP, &first, Span::ZERO);
    assert!(!late.blocks(now + STEP, DEADLY));
}

/// Guards against a ruling on a part that another entry has seen answered.
#[test]
fn entry_that_has_seen_the_part_answered_overrules() {
    let (mut judge, mut witness) = (Observer::default(), Observer::default());
    witness.quarantine.record_answer(at(10), &[DEADLY]);
    let now = judge.crash_times(at(100), 3, &[deadly()]);
    let changes = witness.hear(now, &judge, Span::ZERO);
    assert!(changes.iter().all(|change| change.own && change.ruling == Ruling::Cleared));
    assert!(!witness.blocks(now, DEADLY));
    judge.hear(now + STEP, &witness, Span::ZERO);
    assert!(!judge.blocks(now + STEP, DEADLY));
}

/// Guards against a right ruling that never ends after the fault is mended, and against one that ends
/// with many crashes.
#[test]
fn ruling_ends_after_its_term_and_one_crash_renews_it_for_longer() {
    let mut observer = Observer::default();
    let given = observer.crash_times(at(0), 3, &[deadly()]);
    // A request that was sent before the ruling.
    observer.crash(given + STEP, &[deadly()]);
    let over = given + Span::from_secs(60);
    assert!(observer.blocks(given + Span::from_secs(59), DEADLY));
    assert!(!observer.blocks(over, DEADLY));
    observer.crash(over + STEP, &[open(&[COMMON], "a")]);
    assert!(!observer.blocks(over + STEP, DEADLY), "nothing new speaks against it");
    observer.crash(over + STEP * 2, &[deadly()]);
    let renewed = over + STEP * 2;
    assert!(observer.blocks(renewed + Span::from_secs(119), DEADLY));
    assert!(!observer.blocks(renewed + Span::from_secs(121), DEADLY));
    observer.quarantine.record_answer(renewed + Span::from_secs(122), &[DEADLY]);
    observer.crash(renewed + Span::from_secs(123), &[deadly()]);
    assert!(!observer.blocks(renewed + Span::from_secs(123), DEADLY));
}

/// Guards against a workspace that gets the prompt parts of another one refused.
#[test]
fn ruling_holds_only_for_the_workspace_whose_requests_crashed_servers() {
    let mut observer = Observer::default();
    let now = observer.crash_times(at(0), 3, &[deadly()]);
    assert!(observer.blocks_for(now, DEADLY, "a") && !observer.blocks_for(now, DEADLY, "b"));
    let now = observer.crash_times(now, 1, &[open(&[COMMON, DEADLY], "b")]);
    assert!(observer.blocks_for(now, DEADLY, "a") && observer.blocks_for(now, DEADLY, "b"));
    assert!(observer.blocks_for(now, DEADLY, "c"));
}

/// Guards against an entry that has just started and takes an old ruling for a newer one.
#[test]
fn order_of_rulings_from_before_the_start_is_kept() {
    let (mut old, mut started) = (Observer::default(), Observer::default());
    let now = old.crash_times(at(0), 3, &[deadly()]);
    let ruled = old.quarantine.statements(now);
    old.quarantine.record_answer(now + STEP, &[DEADLY]);
    let cleared = old.quarantine.statements(now + STEP);
    // The time of an entry counts from its start.
    let start = at(5);
    for told in [&cleared[0], &ruled[0]] {
        let age =
            Span::from_secs(30) + if told.ruling == Ruling::Cleared { Span::ZERO } else { STEP };
        started.quarantine.merge_ruling(start, &RulingStatement { age, ..told.clone() });
    }
    assert!(!started.blocks(start, DEADLY));
}

/// Guards against memory that grows with the number of parts and crashes.
#[test]
fn memory_is_bounded_when_parts_come_without_end() {
    let mut observer = Observer::default();
    for n in 0..2_000 {
        let now = at(n * 10);
        let parts: Vec<u64> = (0..300).map(|k| n * 1_000 + k).collect();
        observer.quarantine.record_answer(now, &parts);
        observer.crash(now, &[open(&parts, "a")]);
    }
    let size = format!("{:?}", observer.quarantine).len();
    assert!(size < 20_000_000, "{size} characters");
    for n in 0..2_000 {
        let deadly = open(&[1_000_000_000 + n / 3], "a");
        observer.crash(at(1_000_000 + n * 200), &[deadly]);
    }
    assert!(observer.quarantine.statements(at(2_000_000)).len() <= 512);
}

/// Guards against a record in the store that refuses a part for ever.
#[test]
fn term_of_a_record_is_bounded() {
    let mut observer = Observer::default();
    let (crashes, span, term) = (3, Span::ZERO, Span(u64::MAX));
    let ruling = Ruling::Quarantined { scope: Scope::All, crashes, span, term };
    let told = RulingStatement { part: DEADLY, ruling, age: Span::ZERO };
    observer.quarantine.merge_record(at(0), &told);
    assert!(observer.blocks(at(0), DEADLY));
    assert!(!observer.blocks(at(601_000), DEADLY));
}

/// Guards against a record in the store, of unknown age, that is taken for later than what other entries know,
/// and that they hear of as a new ruling.
#[test]
fn record_of_the_store_yields_to_what_entries_tell() {
    let (mut old, mut started) = (Observer::default(), Observer::default());
    let now = old.crash_times(at(0), 3, &[deadly()]);
    let record = old.quarantine.statement(now, DEADLY).expect("a ruling");
    old.quarantine.record_answer(now + STEP, &[DEADLY]);
    let later = now + Span::from_secs(20);
    started.quarantine.merge_record(later, &record);
    assert!(started.blocks(later, DEADLY));
    assert_eq!(started.quarantine.statements(later), []);
    started.quarantine.merge_ruling(later, &old.quarantine.statements(later)[0]);
    assert!(!started.blocks(later, DEADLY));
    assert_eq!(started.quarantine.statements(later).len(), 1);
}

/// Guards against quarantines that the store lost, and against ones that it has again after their end.
#[test]
fn records_that_differ_from_the_rulings_are_found() {
    let mut observer = Observer::default();
    let now = observer.crash_times(at(0), 3, &[deadly()]);
    let record = observer.quarantine.statement(now, DEADLY).expect("a ruling");
    assert_eq!(observer.quarantine.unrecorded(now, &[]), [DEADLY]);
    assert_eq!(observer.quarantine.unrecorded(now, std::slice::from_ref(&record)), []);
    assert_eq!(observer.quarantine.unrecorded(now + Span::from_secs(61), &[]), []);
    observer.quarantine.record_answer(now + STEP, &[DEADLY]);
    assert_eq!(observer.quarantine.unrecorded(now + STEP, &[record]), [DEADLY]);
    assert_eq!(observer.quarantine.unrecorded(now + STEP, &[]), []);
}

/// A call with shared parts, and when it was sent.
fn call(digest: u64, parts: &[u64], sent: Time) -> OpenRequest {
    OpenRequest { call: Some(SentCall { digest, sent, broke: None }), ..open(parts, "a") }
}

const CALL: u64 = 70;

/// Guards against a call that is repeated so soon that its crashes count as one, and against a loss of power
/// that counts several times against a call that was open at several servers.
#[rstest]
#[case::sent_after_each_crash(10, true)]
#[case::sent_before_the_first_crash(90, false)]
fn crashes_of_a_call_count_once_unless_it_was_sent_after_them(
    #[case] lead: u64,
    #[case] blocked: bool,
) {
    let mut observer = Observer::default();
    for n in 0..3 {
        let crashed = at(1_000 + 30 * n);
        observer.crash(crashed, &[call(CALL, &[], crashed - Span::from_millis(lead))]);
    }
    assert_eq!(observer.blocks(at(1_100), CALL), blocked);
}

/// Guards against sound requests that are refused because of a part that they share with one deadly call, and
/// against a part that is never refused as each of its calls explains its own crashes.
#[test]
fn part_is_refused_once_three_of_its_calls_crashed_servers() {
    let mut observer = Observer::default();
    let mut now = at(0);
    for (digest, crashes, refused) in [(CALL, 3, false), (71, 1, false), (72, 1, true)] {
        for _ in 0..crashes {
            now = now + STEP;
            observer.crash(now, &[call(digest, &[COMMON, DEADLY], now)]);
        }
        observer.quarantine.record_answer(now, &[COMMON]);
        assert_eq!(observer.blocks(now, DEADLY), refused, "after call {digest}");
        assert!(observer.blocks(now, CALL) && !observer.blocks(now, COMMON));
    }
}

/// Guards against a call that stays refused after it was answered, and against an answer of before its crashes
/// that ends its refusal at other entries.
#[test]
fn only_an_answer_since_its_crashes_ends_the_refusal_of_a_call() {
    let (mut observer, mut other) = (Observer::default(), Observer::default());
    other.quarantine.record_call_answer(at(10), CALL);
    let now = observer.crash_times(at(60_000), 3, &[call(CALL, &[], at(60_000))]);
    assert!(observer.blocks(now, CALL));
    other.hear(now, &observer, Span::ZERO);
    assert!(other.blocks(now, CALL), "it was answered before it crashed servers");
    let later = now + STEP;
    assert!(other.quarantine.record_call_answer(later, CALL).is_some());
    observer.hear(later + STEP, &other, Span::ZERO);
    assert!(!observer.blocks(later + STEP, CALL) && !other.blocks(later, CALL));
}

/// Guards against a part whose requests crash servers one after the other, by retries and resumed streams, and
/// whose crashes count as one.
#[test]
fn crashes_of_a_part_count_apart_if_its_request_went_from_one_server_to_the_next() {
    let mut observer = Observer::default();
    for (n, digest) in [(0, CALL), (1, CALL), (2, 71), (3, 71)] {
        assert!(!observer.blocks(at(1_000 + 30 * n), DEADLY), "after {n} crashes");
        let crashed = at(1_000 + 30 * n);
        let sent = crashed - Span::from_millis(20);
        observer.crash(crashed, &[call(digest, &[DEADLY], sent)]);
    }
    assert!(observer.blocks(at(1_100), DEADLY));
}

/// Guards against a frequent sound call that is refused because it was open at servers that others crashed.
#[test]
fn call_that_was_answered_before_takes_five_crashes() {
    let mut observer = Observer::default();
    observer.quarantine.record_call_answer(at(10), CALL);
    for crash in 1..=5 {
        let now = at(1_000 * crash);
        observer.crash(now, &[call(CALL, &[], now)]);
        assert_eq!(observer.blocks(now, CALL), crash == 5, "after {crash} crashes");
    }
}
