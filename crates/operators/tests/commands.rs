//! Tests of approvals, rollbacks, the audit trail and the operator commands.

#![allow(clippy::unwrap_used, clippy::panic, reason = "test helpers")]

use damaskweir_bundle::{Record, SecretKey, parse};
use damaskweir_core::prelude::*;
use damaskweir_operators::{
    ApprovalRequest, ApproveError, AuditError, Exit, MANIFEST_KEY, StatusRecord, SyncState,
    approve, audit_key, load_content, load_current, load_history, load_status, rollback, run,
};
use damaskweir_operators::{SECTION_PREFIX, SideVersion};
use damaskweir_standins::store::{Outage, Store};
use damaskweir_store::{Client, Settings};
use rand_core::SeedableRng;
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;

/// Approval timeout that leaves time for many retries on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Approval timeout for tests whose outcome must stay unknown.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);

fn client(store: &Store) -> Client {
    let settings = Settings {
        timeout: Span::from_millis(250),
        read_rate: 1_000,
        write_rate: 1_000,
        burst: 1_000,
        ..Settings::new(&store.url())
    };
    Client::new(settings, Rng::seed_from_u64(5)).unwrap()
}

fn operator_key(seed: u8) -> SecretKey {
    SecretKey::from_seed(&[seed; 32])
}

fn bundle_text(share: u32, operators: &[(&str, u8)]) -> String {
    let mut text = format!(
        "[pool encoders]\nkind = service\n\
         [server enc-1]\npool = encoders\nzone = a\nside = 127.0.0.1:7401\nslots = 8\n\
         [server enc-2]\npool = encoders\nzone = b\nside = 127.0.0.1:7402\nslots = 8\n\
         [pipeline ask]\ndeadline = 3s\nstages = encode\n\
         [stage ask/encode]\npool = encoders\neffect = idempotent\npath = /\nexpected = 40ms\n\
         [workspace kollam]\nshare = {share}\nlimit = 64\n"
    );
    for (name, seed) in operators {
        text += &format!("[operator {name}]\nkey = {}\n", operator_key(*seed).public_key());
    }
    text
}

fn bundle(share: u32) -> Bundle {
    parse("bundle.ini", &bundle_text(share, &[("asha", 1), ("binta", 2)])).unwrap()
}

fn request<'a>(key: &'a SecretKey, seen: u64, reason: &'a str) -> ApprovalRequest<'a> {
    ApprovalRequest {
        key,
        base_version: Version(seen),
        reason,
        timestamp: 1_800_000_000,
        timeout: TEST_TIMEOUT,
    }
}

async fn share_in_force(client: &Client) -> (u64, u32) {
    let current = load_current(client).await.unwrap().unwrap();
    let (_, bundle) = load_content(client, &current.record).await.unwrap();
    let workspace = &bundle.workspaces[&WorkspaceId::from("kollam")];
    (bundle.version.0, workspace.share)
}

/// Guards against an approval whose content differs from the file, or that is missing from the
/// audit trail.
#[tokio::test]
async fn approval_is_accepted_and_recorded() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = operator_key(1);
    let first = approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    assert_eq!((first.version, first.author.as_str()), (Version(1), "asha"));
    approve(&client, &request(&asha, 1, "more"), &bundle(2)).await.unwrap();
    assert_eq!(share_in_force(&client).await, (2, 2));
    let history = load_history(&client, None).await.unwrap();
    assert_eq!(history.errors, []);
    let lines: Vec<String> = history.entries.iter().map(ToString::to_string).collect();
    assert!(lines[0].starts_with("version 1 from 0 at 2027-01-15T08:00:00Z by asha: approve;"));
    assert!(lines[1].starts_with("version 2 from 1 at") && lines[1].ends_with("reason: more"));
}

/// Guards against rewriting all sections when one workspace changes.
#[tokio::test]
async fn only_changed_sections_are_written() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = operator_key(1);
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    let before = store.keys(SECTION_PREFIX).len();
    approve(&client, &request(&asha, 1, "more"), &bundle(2)).await.unwrap();
    // The changed bucket of workspaces and the index.
    assert_eq!(store.keys(SECTION_PREFIX).len() - before, 2);
}

/// Guards against reporting both of two concurrent approvals as accepted.
#[tokio::test]
async fn one_of_two_concurrent_approvals_wins() {
    let store = Store::start().await.unwrap();
    // With this delay, both approvals read the manifest before either writes it.
    store.set_delay(Duration::from_millis(20));
    let client = client(&store);
    let (asha, binta) = (operator_key(1), operator_key(2));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    for round in 1..6u32 {
        let seen = u64::from(round);
        let (mine, theirs) = (bundle(round * 10), bundle(round * 10 + 1));
        let (request_a, request_b) =
            (request(&asha, seen, "from asha"), request(&binta, seen, "from binta"));
        let (a, b) = tokio::join!(
            approve(&client, &request_a, &mine),
            approve(&client, &request_b, &theirs),
        );
        let (won, lost, winner, share) = match (a, b) {
            (Ok(won), Err(lost)) => (won, lost, "asha", round * 10),
            (Err(lost), Ok(won)) => (won, lost, "binta", round * 10 + 1),
            both => panic!("{both:?}"),
        };
        assert_eq!(won.version, Version(seen + 1));
        let ApproveError::Conflict { version, author, reason } = &lost else { panic!("{lost:?}") };
        assert_eq!((*version, author.as_str()), (won.version, winner));
        assert_eq!(reason, &format!("from {winner}"));
        assert!(lost.to_string().contains("did not take effect"));
        assert_eq!(share_in_force(&client).await, (seen + 1, share));
    }
    assert_eq!(load_history(&client, None).await.unwrap().errors, []);
}

/// Guards against accepting a change that is based on an outdated version.
#[tokio::test]
async fn stale_base_version_is_rejected() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let (asha, binta) = (operator_key(1), operator_key(2));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    approve(&client, &request(&asha, 1, "second"), &bundle(2)).await.unwrap();
    approve(&client, &request(&asha, 2, "third"), &bundle(3)).await.unwrap();
    let error = approve(&client, &request(&binta, 1, "late"), &bundle(4)).await.unwrap_err();
    let ApproveError::Conflict { version, reason, .. } = &error else { panic!("{error:?}") };
    assert_eq!((*version, reason.as_str()), (Version(2), "second"));
    assert_eq!(share_in_force(&client).await, (3, 3));
}

/// Guards against an approval that is reported as failed, or accepted twice, because a response of
/// the store was lost after the write took effect.
#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::three(3)]
#[tokio::test]
async fn lost_response_does_not_repeat_approval(#[case] lost: u32) {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = operator_key(1);
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    store.drop_responses(lost);
    let accepted = approve(&client, &request(&asha, 1, "more"), &bundle(2)).await;
    // The first two lost responses are to writes of sections, the third is to the write of the
    // manifest. If the sections can't be written, nothing is accepted and the error says so.
    match accepted {
        Ok(accepted) => {
            assert_eq!(accepted.version, Version(2));
            assert_eq!(share_in_force(&client).await, (2, 2));
        }
        Err(error) => {
            assert!(matches!(error, ApproveError::Load(_)), "{error}");
            assert_eq!(share_in_force(&client).await, (1, 1));
        }
    }
    assert_eq!(load_history(&client, None).await.unwrap().errors, []);
}

/// Guards against an approval that is reported as failed, or accepted twice, because the response
/// to the commit was lost, also if a later version has already replaced it.
#[rstest]
#[case::alone(false)]
#[case::superseded(true)]
#[tokio::test]
async fn lost_commit_response_is_detected(#[case] superseded: bool) {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let (asha, binta) = (operator_key(1), operator_key(2));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    let (mine, theirs) = (bundle(2), bundle(3));
    store.drop_response_to(MANIFEST_KEY, None);
    let request_a = request(&asha, 1, "more");
    let approval = approve(&client, &request_a, &mine);
    let other = async {
        if superseded {
            // On a fast machine, this happens while the first approval still waits for the lost
            // response.
            while share_in_force(&client).await.0 < 2 {}
            let request_b = request(&binta, 2, "again");
            approve(&client, &request_b, &theirs).await.unwrap();
        }
    };
    let (accepted, ()) = tokio::join!(approval, other);
    let accepted = accepted.unwrap();
    assert_eq!((accepted.version, accepted.unchanged), (Version(2), false));
    let later = if superseded { Version(3) } else { Version(2) };
    if !superseded {
        assert_eq!(accepted.superseded_by, None);
    }
    let history = load_history(&client, None).await.unwrap();
    assert_eq!(history.errors, []);
    assert_eq!(history.entries.last().unwrap().record.manifest().version, later);
    let own = history.entries.iter().filter(|entry| entry.record.manifest().reason == "more");
    assert_eq!(own.count(), 1, "accepted twice");
}

/// Guards against reporting "not accepted" when the outcome is unknown, and "unknown" when nothing
/// was accepted.
#[tokio::test]
async fn outage_reports_the_correct_outcome() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = operator_key(1);
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    let short = ApprovalRequest { timeout: SHORT_TIMEOUT, ..request(&asha, 1, "more") };
    // The manifest can't be read, so nothing was sent.
    for outage in [Outage::Refuse, Outage::Hang] {
        store.set_outage(Some(outage));
        let error = approve(&client, &short, &bundle(2)).await.unwrap_err();
        assert!(matches!(error, ApproveError::Load(_)), "{error}");
        assert!(error.to_string().starts_with("not accepted"), "{error}");
        store.set_outage(None);
    }
    // The response to the commit is lost, and then the store hangs.
    store.drop_response_to(MANIFEST_KEY, Some(Outage::Hang));
    let changed = bundle(2);
    let error = approve(&client, &short, &changed).await.unwrap_err();
    let ApproveError::OutcomeUnknown { version, record, .. } = &error else { panic!("{error:?}") };
    assert_eq!(*version, Version(2));
    // `bundle status`, which the error message refers to, shows that the record is in force.
    store.set_outage(None);
    let shown = load_status(&client).await.unwrap();
    assert!(shown.to_string().contains(&record.to_string()));
    // Running the command again does not create another version.
    let again = approve(&client, &request(&asha, 1, "more"), &changed).await.unwrap();
    assert!(again.unchanged);
    assert_eq!(again.record, *record);
    assert_eq!(share_in_force(&client).await, (2, 2));
}

/// Guards against a rollback that reuses an old version number or restores a revoked key.
#[tokio::test]
async fn rollback_creates_a_new_version() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let (asha, binta) = (operator_key(1), operator_key(2));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    let without_asha = parse("bundle.ini", &bundle_text(7, &[("binta", 2)])).unwrap();
    approve(&client, &request(&binta, 1, "asha left"), &without_asha).await.unwrap();
    let rejected = rollback(&client, &request(&asha, 2, "back"), Version(1)).await.unwrap_err();
    assert!(matches!(rejected, ApproveError::UnknownKey(_)), "{rejected}");
    let accepted = rollback(&client, &request(&binta, 2, "back"), Version(1)).await.unwrap();
    assert_eq!(accepted.version, Version(3));
    assert_eq!(share_in_force(&client).await, (3, 1));
    let rejected = approve(&client, &request(&asha, 3, "mine"), &bundle(9)).await.unwrap_err();
    assert!(matches!(rejected, ApproveError::UnknownKey(_)), "{rejected}");
    let unknown = rollback(&client, &request(&binta, 3, "back"), Version(9)).await.unwrap_err();
    assert!(unknown.to_string().contains("there is no version 9"), "{unknown}");
    let history = load_history(&client, None).await.unwrap();
    assert_eq!(history.errors, []);
    assert!(history.entries[2].to_string().contains("rollback to 1"));
}

/// Guards against an approval with a key that does not belong to an operator.
#[tokio::test]
async fn unknown_key_is_rejected() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let (asha, unknown) = (operator_key(1), operator_key(9));
    let first = approve(&client, &request(&unknown, 0, "first"), &bundle(1)).await;
    assert!(matches!(first, Err(ApproveError::UnknownKey(_))));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    // A bundle that adds the unknown key as an operator is rejected too.
    let own = parse("bundle.ini", &bundle_text(1, &[("stranger", 9)])).unwrap();
    let error = approve(&client, &request(&unknown, 1, "mine"), &own).await.unwrap_err();
    assert!(matches!(error, ApproveError::UnknownKey(_)), "{error}");
    let blank = approve(&client, &request(&asha, 1, ""), &bundle(2)).await.unwrap_err();
    assert!(matches!(blank, ApproveError::Manifest(_)), "{blank}");
    assert_eq!(share_in_force(&client).await, (1, 1));
}

/// Guards against a missing or damaged audit record that is not reported.
#[rstest]
#[case::removed(2, None, AuditError::Missing(Version(2)))]
#[case::last_removed(4, None, AuditError::Missing(Version(4)))]
#[case::damaged(2, Some(b"damaged".to_vec()), AuditError::Invalid(Version(2), "manifest can't be read".to_owned()))]
#[tokio::test]
async fn changed_audit_trail_is_detected(
    #[case] version: u64,
    #[case] value: Option<Vec<u8>>,
    #[case] error: AuditError,
) {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = operator_key(1);
    for seen in 0..4 {
        approve(&client, &request(&asha, seen, "next"), &bundle(seen as u32 + 1)).await.unwrap();
    }
    assert_eq!(load_history(&client, None).await.unwrap().errors, []);
    store.write_directly(&audit_key(Version(version)), value.as_deref());
    let errors = load_history(&client, None).await.unwrap().errors;
    assert!(errors.contains(&error), "{errors:?}");
}

/// Guards against a replaced audit record with a valid signature that is not reported.
#[tokio::test]
async fn replaced_record_is_detected() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = operator_key(1);
    for seen in 0..3 {
        approve(&client, &request(&asha, seen, "next"), &bundle(seen as u32 + 1)).await.unwrap();
    }
    let (old, _) = store.peek(&audit_key(Version(2))).unwrap();
    let mut manifest = Record::decode(&old.into()).unwrap().manifest().clone();
    manifest.reason = "another reason".to_owned();
    let forged = Record::sign(manifest.clone(), &asha).unwrap();
    store.write_directly(&audit_key(Version(2)), Some(forged.bytes()));
    let errors = load_history(&client, None).await.unwrap().errors;
    assert_eq!(errors, [AuditError::BrokenChain(Version(3))]);
    // No other record contains the digest of the last one, so it is compared with the manifest in
    // force.
    manifest.version = Version(3);
    manifest.from = Version(2);
    manifest.previous = forged.digest();
    let forged = Record::sign(manifest, &asha).unwrap();
    store.write_directly(&audit_key(Version(3)), Some(forged.bytes()));
    let errors = load_history(&client, Some(1)).await.unwrap().errors;
    assert_eq!(errors, [AuditError::ManifestMismatch(Version(3))]);
}

/// Guards against outdated processes that are missing from the status.
#[tokio::test]
async fn status_lists_outdated_processes() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = operator_key(1);
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    approve(&client, &request(&asha, 1, "more"), &bundle(2)).await.unwrap();
    for (entry, version, side) in [("entry-1", 2, 1), ("entry-2", 1, 2)] {
        let record = StatusRecord {
            entry: entry.to_owned(),
            zone: "a".to_owned(),
            version,
            at: 1_800_000_000,
            sides: vec![SideVersion("enc-1".to_owned(), side)],
        };
        let value = serde_json::to_vec(&record).unwrap();
        store.write_directly(&format!("/damaskweir/status/{entry}"), Some(&value));
    }
    store.write_directly("/damaskweir/status/entry-3", Some(b"{}"));
    let status = load_status(&client).await.unwrap();
    assert_eq!(status.entries["entry-1"], SyncState::Current);
    assert_eq!(status.entries["entry-2"], SyncState::Behind(Version(1)));
    assert_eq!(status.sides["enc-1"], SyncState::Current);
    assert_eq!(status.sides["enc-2"], SyncState::Unreported);
    assert_eq!(status.out_of_date(), 2);
    let text = status.to_string();
    for line in ["entries: 1 of 2", "entry-2: version 1", "enc-2: not reported", "unreadable: /d"] {
        assert!(text.contains(line), "{line:?} not in {text}");
    }
}

struct TempFiles(PathBuf);

impl TempFiles {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("damaskweir-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for TempFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn run_command(arguments: &[&str]) -> (Exit, String) {
    let mut output = Vec::new();
    let mut errors = Vec::new();
    let words = arguments.iter().map(Into::into).collect();
    let exit = run(words, &mut output, &mut errors).await;
    output.append(&mut errors);
    (exit, String::from_utf8(output).unwrap())
}

/// Guards against wrong exit codes and messages, and against key material in any output.
#[tokio::test]
async fn commands_report_their_outcome() {
    let store = Store::start().await.unwrap();
    let url = store.url();
    let files = TempFiles::new("commands");
    let operators: &[(&str, u8)] = &[("asha", 1)];
    let first = files.write("first.ini", &bundle_text(1, operators));
    let second = files.write("second.ini", &bundle_text(2, operators));
    let bad = files.write("bad.ini", &bundle_text(0, operators).replace("slots = 8", "slots = x"));
    let secret = operator_key(1).to_file_text();
    let key_file = files.write("asha.key", &secret);
    let not_key = files.write("not.key", &secret.replace("damaskweir", "other"));
    let hex = secret.split_whitespace().nth(1).unwrap().to_owned();
    let mut seen_texts = Vec::new();
    let mut check = async |arguments: &[&str], exit: Exit, expected: &str| {
        let (code, text) = run_command(arguments).await;
        assert_eq!(code, exit, "{arguments:?}: {text}");
        assert!(text.contains(expected), "{expected:?} not in {text}");
        seen_texts.push(text);
    };
    check(&["bundle", "check", &first], Exit::Done, "no faults").await;
    check(&["bundle", "check", &bad], Exit::InvalidBundle, "bad.ini: 3 faults").await;
    check(&["bundle", "check", "/nowhere.ini"], Exit::Refused, "/nowhere.ini").await;
    check(&["bundle", "check"], Exit::Usage, "usage:").await;
    check(&["bundle", "diff", &first, &second], Exit::Done, "kollam] share: 1 -> 2").await;
    check(&["bundle", "status", "--store", &url], Exit::Done, "no bundle was ever").await;
    check(&["bundle", "diff", &first, "--store", &url], Exit::Done, "--seen 0").await;
    let signing_options = ["--key", &key_file, "--store", &url, "--reason", "why"];
    let with_signing_options = |head: &[&str]| {
        head.iter().chain(&signing_options).map(ToString::to_string).collect::<Vec<_>>()
    };
    let approve = async |file: &str, seen: &str| {
        let words = with_signing_options(&["bundle", "approve", file, "--seen", seen]);
        run_command(&words.iter().map(String::as_str).collect::<Vec<_>>()).await
    };
    assert_eq!(approve(&first, "0").await.0, Exit::Done);
    assert_eq!(approve(&bad, "1").await.0, Exit::InvalidBundle);
    let (code, text) = approve(&second, "0").await;
    assert_eq!(code, Exit::Conflict, "{text}");
    assert!(text.contains("version 1 was accepted first, by asha (why)"), "{text}");
    let (code, text) = approve(&second, "1").await;
    assert_eq!((code, text.starts_with("accepted: version 2")), (Exit::Done, true), "{text}");
    check(&["bundle", "diff", &first, "--store", &url], Exit::Done, "--seen 2").await;
    let words = with_signing_options(&["bundle", "rollback", "1", "--seen", "2"]);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    check(&words, Exit::Done, "accepted: version 3").await;
    check(&["bundle", "history", "--store", &url], Exit::Done, "rollback to 1").await;
    let wrong_key = ["bundle", "approve", &first, "--seen", "3", "--key", &not_key];
    let wrong_key = [&wrong_key[..], &["--store", &url, "--reason", "why"]].concat();
    check(&wrong_key, Exit::Refused, "not an operator key file").await;
    store.write_directly(&audit_key(Version(2)), None);
    check(&["bundle", "history", "--store", &url], Exit::Damaged, "version 2 is missing").await;
    store.set_outage(Some(Outage::Refuse));
    check(&["bundle", "status", "--store", &url], Exit::Store, "store answer lost").await;
    let (code, text) = approve(&second, "3").await;
    assert_eq!((code, text.starts_with("not accepted")), (Exit::Store, true), "{text}");
    seen_texts.push(text);
    let new = files.0.join("new.key").display().to_string();
    let (code, text) = run_command(&["key", "new", &new]).await;
    assert_eq!(code, Exit::Done);
    let key_text = std::fs::read_to_string(&new).unwrap();
    assert!(text.contains(&SecretKey::from_file_text(&key_text).unwrap().public_key().to_string()));
    assert!(!text.contains(key_text.split_whitespace().nth(1).unwrap()));
    let (code, text) = run_command(&["key", "new", &new]).await;
    assert_eq!(code, Exit::Refused, "{text}");
    assert_eq!(std::fs::read_to_string(&new).unwrap(), key_text, "an existing key was overwritten");
    use std::os::unix::fs::PermissionsExt;
    assert_eq!(std::fs::metadata(&new).unwrap().permissions().mode() & 0o077, 0);
    assert!(seen_texts.iter().all(|text| !text.contains(&hex[..8])));
}
