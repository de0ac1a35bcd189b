//! Admission control at the entry.

use damaskweir_core::admit::{Admission, AdmissionRequest, Denial, StoreHealth};
use damaskweir_core::prelude::*;
use rstest::rstest;

fn workspace(share: u32, limit: u32) -> Workspace {
    Workspace { share, limit }
}

fn request(work: u64, wait: u64, budget: u64) -> Option<AdmissionRequest> {
    let [work, wait, budget] = [work, wait, budget].map(Span::from_millis);
    Some(AdmissionRequest { work, nominal_work: work, wait, budget })
}

/// Guards against admitting requests that are predicted to miss their deadline, and against refusing those
/// that have time.
#[rstest]
#[case::idle(100, 0, 3_000, true)]
#[case::short_queue(100, 500, 3_000, true)]
#[case::long_queue(100, 2_000, 3_000, false)]
#[case::work_fills_the_budget(2_900, 200, 3_000, false)]
#[case::work_exceeds_the_budget(3_100, 0, 3_000, false)]
fn predicted_completion_decides(
    #[case] work: u64,
    #[case] wait: u64,
    #[case] budget: u64,
    #[case] admitted: bool,
) {
    let mut admission = Admission::default();
    let got = admission.admit(Time(0), &"a".into(), &workspace(1, 9), request(work, wait, budget));
    assert_eq!(got.is_ok(), admitted, "{got:?}");
}

/// Guards against a retry hint that is too short or far too long. The queue needs about the excess over
/// the allowed wait to drain.
#[rstest]
fn retry_hint_is_the_excess_wait() {
    let mut admission = Admission::default();
    let got = admission.admit(Time(0), &"a".into(), &workspace(1, 9), request(100, 2_600, 3_000));
    let Err(Denial::Overloaded { retry_after }) = got else { panic!("{got:?}") };
    assert!(
        retry_after >= Span::from_millis(1_000) && retry_after <= Span::from_millis(2_600),
        "{retry_after:?}"
    );
}

/// Guards against a retry hint for a deadline that is too short even on idle servers, and against a missing
/// hint when servers are only temporarily slow.
#[rstest]
#[case::always(3_100, Denial::DeadlineTooShort)]
#[case::slow_now(100, Denial::Overloaded { retry_after: Span::from_millis(100) })]
fn work_exceeding_the_deadline(#[case] nominal_work: u64, #[case] want: Denial) {
    let mut admission = Admission::default();
    let request = request(3_100, 0, 3_000)
        .map(|r| AdmissionRequest { nominal_work: Span::from_millis(nominal_work), ..r });
    assert_eq!(admission.admit(Time(0), &"a".into(), &workspace(1, 9), request), Err(want));
}

/// Guards against a workspace that crowds out others: under load the one above its share is refused while
/// the one below it is still admitted.
#[rstest]
fn workspace_above_its_share_is_refused_first() {
    let mut admission = Admission::default();
    let (heavy, light) = ("heavy".into(), "light".into());
    let same = workspace(1, 1_000);
    for i in 0..100 {
        let now = Time(i * 10_000);
        admission.admit(now, &heavy, &same, request(100, 0, 3_000)).unwrap();
        if i % 10 == 0 {
            admission.admit(now, &light, &same, request(100, 0, 3_000)).unwrap();
        }
    }
    let now = Time(1_000_000);
    assert!(admission.admit(now, &heavy, &same, request(100, 800, 3_000)).is_err());
    assert!(admission.admit(now, &light, &same, request(100, 800, 3_000)).is_ok());
}

/// Guards against past usage that limits a workspace forever, and against unused shares that keep others
/// out.
#[rstest]
fn past_usage_decays() {
    let mut admission = Admission::default();
    let heavy = "heavy".into();
    let same = workspace(1, 1_000);
    for i in 0..100 {
        admission.admit(Time(i * 10_000), &heavy, &same, request(100, 0, 3_000)).unwrap();
    }
    let later = Time(1_000_000) + Span::from_secs(20);
    assert!(admission.admit(later, &heavy, &same, request(100, 800, 3_000)).is_ok());
}

/// Guards against exceeding the limit of requests in progress, and against slots that are not released.
#[rstest]
fn limit_counts_requests_in_progress() {
    let mut admission = Admission::default();
    let (id, limited) = ("a".into(), workspace(1, 1));
    assert!(admission.admit(Time(0), &id, &limited, None).is_ok());
    let got = admission.admit(Time(0), &id, &limited, None);
    assert!(matches!(got, Err(Denial::WorkspaceLimit { .. })), "{got:?}");
    admission.release(&id);
    assert!(admission.admit(Time(0), &id, &limited, None).is_ok());
}

/// Guards against refusing calls after a single lost store answer, against admitting calls during an outage
/// that fail only later, and against an entry that never detects that the store has recovered.
#[rstest]
fn store_outage_is_detected_and_cleared() {
    let mut store = StoreHealth::default();
    let at = |ms| Time(0) + Span::from_millis(ms);
    store.record_answer(at(1_000), false);
    assert!(
        store.allow_request(at(1_001)) && store.allow_request(at(1_002)),
        "a single lost answer must not count as an outage"
    );
    store.record_answer(at(1_600), false);
    let probes = (1_610..2_610).step_by(10).filter(|ms| store.allow_request(at(*ms))).count();
    assert!((2..=5).contains(&probes), "{probes} probes during one second of outage");
    store.record_answer(at(2_700), true);
    assert!(
        (2_701..2_710).all(|ms| store.allow_request(at(ms))),
        "requests must be allowed after the store has recovered"
    );
}
