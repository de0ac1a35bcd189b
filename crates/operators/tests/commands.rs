//! Failures of approvals, rollbacks and the audit trail.

#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests")]

use damaskweir_bundle::{Record, SecretKey, parse};
use damaskweir_core::prelude::*;
use damaskweir_operators::{
    ApproveError, Exit, Flaw, MANIFEST_KEY, Request, Standing, StatusRecord, approve, audit_key,
    current, history, load_content, rollback, run, status,
};
use damaskweir_operators::{SECTION_PREFIX, SideVersion};
use damaskweir_standins::store::{Outage, Store};
use damaskweir_store::{Client, Settings};
use rand_core::SeedableRng;
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;

/// Long enough for any number of repeats on a busy machine.
const LONG: Duration = Duration::from_secs(60);
/// For outcomes that are certain to stay open.
const SHORT: Duration = Duration::from_millis(700);

fn client(store: &Store) -> Client {
    let settings = Settings {
        timeout: Span::from_millis(250),
        reads: 1_000,
        writes: 1_000,
        burst: 1_000,
        ..Settings::new(&store.url())
    };
    Client::new(settings, Rng::seed_from_u64(5)).unwrap()
}

fn key(seed: u8) -> SecretKey {
    SecretKey::new(&[seed; 32])
}

fn text(share: u32, operators: &[(&str, u8)]) -> String {
    let mut text = format!(
        "[pool encoders]\nkind = service\n\
         [server enc-1]\npool = encoders\nzone = a\nside = 127.0.0.1:7401\nslots = 8\n\
         [server enc-2]\npool = encoders\nzone = b\nside = 127.0.0.1:7402\nslots = 8\n\
         [pipeline ask]\ndeadline = 3s\nstages = encode\n\
         [stage ask/encode]\npool = encoders\neffect = idempotent\npath = /\nexpected = 40ms\n\
         [workspace kollam]\nshare = {share}\nlimit = 64\n"
    );
    for (name, seed) in operators {
        text += &format!("[operator {name}]\nkey = {}\n", key(*seed).public());
    }
    text
}

fn bundle(share: u32) -> Bundle {
    parse("bundle.ini", &text(share, &[("asha", 1), ("binta", 2)])).unwrap()
}

fn request<'a>(key: &'a SecretKey, seen: u64, reason: &'a str) -> Request<'a> {
    Request { key, seen: Version(seen), reason, at: 1_800_000_000, patience: LONG }
}

async fn share_in_force(client: &Client) -> (u64, u32) {
    let current = current(client).await.unwrap().unwrap();
    let (_, bundle) = load_content(client, &current.record).await.unwrap();
    let workspace = &bundle.workspaces[&WorkspaceId::from("kollam")];
    (bundle.version.0, workspace.share)
}

/// Guards against an approval whose content differs from the file, or that leaves no trail.
#[tokio::test]
async fn approval_is_accepted_and_recorded() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = key(1);
    let first = approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    assert_eq!((first.version, first.author.as_str()), (Version(1), "asha"));
    approve(&client, &request(&asha, 1, "more"), &bundle(2)).await.unwrap();
    assert_eq!(share_in_force(&client).await, (2, 2));
    let history = history(&client, None).await.unwrap();
    assert_eq!(history.flaws, []);
    let lines: Vec<String> = history.entries.iter().map(ToString::to_string).collect();
    assert!(lines[0].starts_with("version 1 from 0 at 2027-01-15T08:00:00Z by asha: approve;"));
    assert!(lines[1].starts_with("version 2 from 1 at") && lines[1].ends_with("reason: more"));
}

/// Guards against a change of one workspace that writes all sections again.
#[tokio::test]
async fn only_changed_sections_are_written() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = key(1);
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    let before = store.keys(SECTION_PREFIX).len();
    approve(&client, &request(&asha, 1, "more"), &bundle(2)).await.unwrap();
    // One bucket of workspaces and the index.
    assert_eq!(store.keys(SECTION_PREFIX).len() - before, 2);
}

/// Guards against two operators who both believe that their approval is in force.
#[tokio::test]
async fn one_of_two_racing_operators_wins() {
    let store = Store::start().await.unwrap();
    // Both read the manifest before either writes it.
    store.set_delay(Duration::from_millis(20));
    let client = client(&store);
    let (asha, binta) = (key(1), key(2));
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
        let ApproveError::Lost { version, author, reason } = &lost else { panic!("{lost:?}") };
        assert_eq!((*version, author.as_str()), (won.version, winner));
        assert_eq!(reason, &format!("from {winner}"));
        assert!(lost.to_string().contains("did not take effect"));
        assert_eq!(share_in_force(&client).await, (seen + 1, share));
    }
    assert_eq!(history(&client, None).await.unwrap().flaws, []);
}

/// Guards against an approval of changes to a version that the operator never saw.
#[tokio::test]
async fn stale_view_is_refused() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let (asha, binta) = (key(1), key(2));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    approve(&client, &request(&asha, 1, "second"), &bundle(2)).await.unwrap();
    approve(&client, &request(&asha, 2, "third"), &bundle(3)).await.unwrap();
    let error = approve(&client, &request(&binta, 1, "late"), &bundle(4)).await.unwrap_err();
    let ApproveError::Lost { version, reason, .. } = &error else { panic!("{error:?}") };
    assert_eq!((*version, reason.as_str()), (Version(2), "second"));
    assert_eq!(share_in_force(&client).await, (3, 3));
}

/// Guards against an approval that is reported as failed, or accepted twice, because the store's
/// answer was lost after the write took effect.
#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::three(3)]
#[tokio::test]
async fn lost_answer_is_recognised(#[case] lost: u32) {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = key(1);
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    store.drop_responses(lost);
    let accepted = approve(&client, &request(&asha, 1, "more"), &bundle(2)).await;
    // Two answers are those of the sections; a third is that of the manifest. Without its sections
    // nothing is accepted, and that is said.
    match accepted {
        Ok(accepted) => {
            assert_eq!(accepted.version, Version(2));
            assert_eq!(share_in_force(&client).await, (2, 2));
        }
        Err(error) => {
            assert!(matches!(error, ApproveError::Source(_)), "{error}");
            assert_eq!(share_in_force(&client).await, (1, 1));
        }
    }
    assert_eq!(history(&client, None).await.unwrap().flaws, []);
}

/// Guards against the same as above, at the accepting write, and against a later version that hides
/// that one's own was accepted.
#[rstest]
#[case::alone(false)]
#[case::replaced(true)]
#[tokio::test]
async fn lost_answer_of_acceptance_is_recognised(#[case] replaced: bool) {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let (asha, binta) = (key(1), key(2));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    let (mine, theirs) = (bundle(2), bundle(3));
    store.drop_response_to(MANIFEST_KEY, None);
    let request_a = request(&asha, 1, "more");
    let approval = approve(&client, &request_a, &mine);
    let other = async {
        if replaced {
            // While the first operator still waits for the lost answer, if the machine is fast enough.
            while share_in_force(&client).await.0 < 2 {}
            let request_b = request(&binta, 2, "again");
            approve(&client, &request_b, &theirs).await.unwrap();
        }
    };
    let (accepted, ()) = tokio::join!(approval, other);
    let accepted = accepted.unwrap();
    assert_eq!((accepted.version, accepted.unchanged), (Version(2), false));
    let later = if replaced { Version(3) } else { Version(2) };
    if !replaced {
        assert_eq!(accepted.replaced, None);
    }
    let history = history(&client, None).await.unwrap();
    assert_eq!(history.flaws, []);
    assert_eq!(history.entries.last().unwrap().record.manifest().version, later);
    let own = history.entries.iter().filter(|entry| entry.record.manifest().reason == "more");
    assert_eq!(own.count(), 1, "accepted twice");
}

/// Guards against "not accepted" when nobody can know, and "unknown" when it is certain.
#[tokio::test]
async fn outage_is_told_truly() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = key(1);
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    let short = Request { patience: SHORT, ..request(&asha, 1, "more") };
    // The manifest can't even be read: nothing was sent.
    for outage in [Outage::Refuse, Outage::Hang] {
        store.set_outage(Some(outage));
        let error = approve(&client, &short, &bundle(2)).await.unwrap_err();
        assert!(matches!(error, ApproveError::Source(_)), "{error}");
        assert!(error.to_string().starts_with("not accepted"), "{error}");
        store.set_outage(None);
    }
    // The answer to the accepting write is lost, and then the store goes down.
    store.drop_response_to(MANIFEST_KEY, Some(Outage::Hang));
    let changed = bundle(2);
    let error = approve(&client, &short, &changed).await.unwrap_err();
    let ApproveError::Unknown { version, record, .. } = &error else { panic!("{error:?}") };
    assert_eq!(*version, Version(2));
    // What the operator is told to do settles it: the record is in force.
    store.set_outage(None);
    let shown = status(&client).await.unwrap();
    assert!(shown.to_string().contains(&record.to_string()));
    // Running the command again does not accept a second time.
    let again = approve(&client, &request(&asha, 1, "more"), &changed).await.unwrap();
    assert!(again.unchanged);
    assert_eq!(again.record, *record);
    assert_eq!(share_in_force(&client).await, (2, 2));
}

/// Guards against a rollback that reverts the version, or brings back a key that was taken away.
#[tokio::test]
async fn rollback_is_a_new_version() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let (asha, binta) = (key(1), key(2));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    let without_asha = parse("bundle.ini", &text(7, &[("binta", 2)])).unwrap();
    approve(&client, &request(&binta, 1, "asha left"), &without_asha).await.unwrap();
    let refused = rollback(&client, &request(&asha, 2, "back"), Version(1)).await.unwrap_err();
    assert!(matches!(refused, ApproveError::Operator(_)), "{refused}");
    let accepted = rollback(&client, &request(&binta, 2, "back"), Version(1)).await.unwrap();
    assert_eq!(accepted.version, Version(3));
    assert_eq!(share_in_force(&client).await, (3, 1));
    let refused = approve(&client, &request(&asha, 3, "mine"), &bundle(9)).await.unwrap_err();
    assert!(matches!(refused, ApproveError::Operator(_)), "{refused}");
    let unknown = rollback(&client, &request(&binta, 3, "back"), Version(9)).await.unwrap_err();
    assert!(unknown.to_string().contains("there is no version 9"), "{unknown}");
    let history = history(&client, None).await.unwrap();
    assert_eq!(history.flaws, []);
    assert!(history.entries[2].to_string().contains("rollback to 1"));
}

/// Guards against an approval by someone who is no operator.
#[tokio::test]
async fn foreign_key_is_refused() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let (asha, stranger) = (key(1), key(9));
    let first = approve(&client, &request(&stranger, 0, "first"), &bundle(1)).await;
    assert!(matches!(first, Err(ApproveError::Operator(_))));
    approve(&client, &request(&asha, 0, "first"), &bundle(1)).await.unwrap();
    // Not even with a bundle that makes the stranger an operator.
    let own = parse("bundle.ini", &text(1, &[("stranger", 9)])).unwrap();
    let error = approve(&client, &request(&stranger, 1, "mine"), &own).await.unwrap_err();
    assert!(matches!(error, ApproveError::Operator(_)), "{error}");
    let blank = approve(&client, &request(&asha, 1, ""), &bundle(2)).await.unwrap_err();
    assert!(matches!(blank, ApproveError::Manifest(_)), "{blank}");
    assert_eq!(share_in_force(&client).await, (1, 1));
}

/// Guards against a trail that was changed without showing it.
#[rstest]
#[case::removed(2, None, Flaw::Missing(Version(2)))]
#[case::last_removed(4, None, Flaw::Missing(Version(4)))]
#[case::damaged(2, Some(b"damaged".to_vec()), Flaw::Invalid(Version(2), "manifest can't be read".to_owned()))]
#[tokio::test]
async fn changed_trail_shows(
    #[case] version: u64,
    #[case] value: Option<Vec<u8>>,
    #[case] flaw: Flaw,
) {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = key(1);
    for seen in 0..4 {
        approve(&client, &request(&asha, seen, "next"), &bundle(seen as u32 + 1)).await.unwrap();
    }
    assert_eq!(history(&client, None).await.unwrap().flaws, []);
    store.write_directly(&audit_key(Version(version)), value.as_deref());
    let flaws = history(&client, None).await.unwrap().flaws;
    assert!(flaws.contains(&flaw), "{flaws:?}");
}

/// Guards against a record that was replaced by another one with a valid signature.
#[tokio::test]
async fn replaced_record_shows() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = key(1);
    for seen in 0..3 {
        approve(&client, &request(&asha, seen, "next"), &bundle(seen as u32 + 1)).await.unwrap();
    }
    let (old, _) = store.peek(&audit_key(Version(2))).unwrap();
    let mut manifest = Record::decode(&old.into()).unwrap().manifest().clone();
    manifest.reason = "another reason".to_owned();
    let forged = Record::sign(manifest.clone(), &asha).unwrap();
    store.write_directly(&audit_key(Version(2)), Some(forged.bytes()));
    let flaws = history(&client, None).await.unwrap().flaws;
    assert_eq!(flaws, [Flaw::Broken(Version(3))]);
    // The last record, which no other one names, is held against the manifest in force.
    manifest.version = Version(3);
    manifest.from = Version(2);
    manifest.previous = forged.digest();
    let forged = Record::sign(manifest, &asha).unwrap();
    store.write_directly(&audit_key(Version(3)), Some(forged.bytes()));
    let flaws = history(&client, Some(1)).await.unwrap().flaws;
    assert_eq!(flaws, [Flaw::Force(Version(3))]);
}

/// Guards against processes that lag without being shown.
#[tokio::test]
async fn status_shows_who_lags() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let asha = key(1);
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
    let status = status(&client).await.unwrap();
    assert_eq!(status.entries["entry-1"], Standing::Current);
    assert_eq!(status.entries["entry-2"], Standing::Behind(Version(1)));
    assert_eq!(status.sides["enc-1"], Standing::Current);
    assert_eq!(status.sides["enc-2"], Standing::Unreported);
    assert_eq!(status.lagging(), 2);
    let text = status.to_string();
    for line in ["entries: 1 of 2", "entry-2: version 1", "enc-2: not reported", "unreadable: /d"] {
        assert!(text.contains(line), "{line:?} not in {text}");
    }
}

struct Files(PathBuf);

impl Files {
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

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn command(arguments: &[&str]) -> (Exit, String) {
    let mut output = Vec::new();
    let mut errors = Vec::new();
    let words = arguments.iter().map(Into::into).collect();
    let exit = run(words, &mut output, &mut errors).await;
    output.append(&mut errors);
    (exit, String::from_utf8(output).unwrap())
}

/// Guards against exit codes and texts that don't tell an operator what happened, and key material in
/// any of them.
#[tokio::test]
async fn command_lines_tell_what_happened() {
    let store = Store::start().await.unwrap();
    let url = store.url();
    let files = Files::new("commands");
    let operators: &[(&str, u8)] = &[("asha", 1)];
    let first = files.write("first.ini", &text(1, operators));
    let second = files.write("second.ini", &text(2, operators));
    let bad = files.write("bad.ini", &text(0, operators).replace("slots = 8", "slots = x"));
    let secret = key(1).to_file();
    let keyfile = files.write("asha.key", &secret);
    let notkey = files.write("not.key", &secret.replace("damaskweir", "other"));
    let hex = secret.split_whitespace().nth(1).unwrap().to_owned();
    let mut seen_texts = Vec::new();
    let mut check = async |arguments: &[&str], exit: Exit, expected: &str| {
        let (code, text) = command(arguments).await;
        assert_eq!(code, exit, "{arguments:?}: {text}");
        assert!(text.contains(expected), "{expected:?} not in {text}");
        seen_texts.push(text);
    };
    check(&["bundle", "check", &first], Exit::Done, "no faults").await;
    check(&["bundle", "check", &bad], Exit::Faults, "bad.ini: 3 faults").await;
    check(&["bundle", "check", "/nowhere.ini"], Exit::Refused, "/nowhere.ini").await;
    check(&["bundle", "check"], Exit::Usage, "usage:").await;
    check(&["bundle", "diff", &first, &second], Exit::Done, "kollam] share: 1 -> 2").await;
    check(&["bundle", "status", "--store", &url], Exit::Done, "no bundle was ever").await;
    check(&["bundle", "diff", &first, "--store", &url], Exit::Done, "--seen 0").await;
    let sign = ["--key", &keyfile, "--store", &url, "--reason", "why"];
    let with =
        |head: &[&str]| head.iter().chain(&sign).map(ToString::to_string).collect::<Vec<_>>();
    let approve = async |file: &str, seen: &str| {
        let words = with(&["bundle", "approve", file, "--seen", seen]);
        command(&words.iter().map(String::as_str).collect::<Vec<_>>()).await
    };
    assert_eq!(approve(&first, "0").await.0, Exit::Done);
    assert_eq!(approve(&bad, "1").await.0, Exit::Faults);
    let (code, text) = approve(&second, "0").await;
    assert_eq!(code, Exit::Lost, "{text}");
    assert!(text.contains("version 1 was accepted first, by asha (why)"), "{text}");
    let (code, text) = approve(&second, "1").await;
    assert_eq!((code, text.starts_with("accepted: version 2")), (Exit::Done, true), "{text}");
    check(&["bundle", "diff", &first, "--store", &url], Exit::Done, "--seen 2").await;
    let words = with(&["bundle", "rollback", "1", "--seen", "2"]);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    check(&words, Exit::Done, "accepted: version 3").await;
    check(&["bundle", "history", "--store", &url], Exit::Done, "rollback to 1").await;
    let missing = ["bundle", "approve", &first, "--seen", "3", "--key", &notkey];
    let missing = [&missing[..], &["--store", &url, "--reason", "why"]].concat();
    check(&missing, Exit::Refused, "not an operator key file").await;
    store.write_directly(&audit_key(Version(2)), None);
    check(&["bundle", "history", "--store", &url], Exit::Damaged, "version 2 is missing").await;
    store.set_outage(Some(Outage::Refuse));
    check(&["bundle", "status", "--store", &url], Exit::Store, "store answer lost").await;
    let (code, text) = approve(&second, "3").await;
    assert_eq!((code, text.starts_with("not accepted")), (Exit::Store, true), "{text}");
    seen_texts.push(text);
    let new = files.0.join("new.key").display().to_string();
    let (code, text) = command(&["key", "new", &new]).await;
    assert_eq!(code, Exit::Done);
    let made = std::fs::read_to_string(&new).unwrap();
    assert!(text.contains(&SecretKey::from_file(&made).unwrap().public().to_string()));
    assert!(!text.contains(made.split_whitespace().nth(1).unwrap()));
    let (code, text) = command(&["key", "new", &new]).await;
    assert_eq!(code, Exit::Refused, "{text}");
    assert_eq!(std::fs::read_to_string(&new).unwrap(), made, "an existing key was overwritten");
    use std::os::unix::fs::PermissionsExt;
    assert_eq!(std::fs::metadata(&new).unwrap().permissions().mode() & 0o077, 0);
    assert!(seen_texts.iter().all(|text| !text.contains(&hex[..8])));
}
