//! Short runs of the fault soak with the real program.

#![allow(clippy::unwrap_used, reason = "the lint knows only test functions")]

use damaskweir_soak::Defect;
use rstest::rstest;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Seeds that failed once, each with its cause. They run with the time of faults of the failed run.
const REGRESSIONS: &[(u64, &str)] =
    &[(1039, "SIGTERM 1 ms after a start, before the handler stood; the check excuses it now")];

fn soak(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_damaskweir"))
        .args(["soak", "--folder", env!("CARGO_TARGET_TMPDIR")])
        .args(arguments)
        .output();
    match output {
        Ok(output) => {
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            (output.status.success(), text + &String::from_utf8_lossy(&output.stderr))
        }
        Err(error) => (false, error.to_string()),
    }
}

/// Guards against broken promises under faults of processes, connections and the store.
#[test]
fn seeded_runs_keep_all_promises() {
    let (kept, told) = soak(&["--seed", "1", "--runs", "4", "--jobs", "4", "--seconds", "8"]);
    assert!(kept, "{told}");
    println!("{told}");
}

/// Guards against faults that were found and mended.
#[test]
fn seeds_that_failed_once_keep_all_promises() {
    for (seed, cause) in REGRESSIONS {
        let (kept, told) = soak(&["--seed", &seed.to_string()]);
        assert!(kept, "seed {seed}, once failed by: {cause}\n{told}");
    }
}

/// Guards against checks that never fail: each way of breaking the program must be noticed, by its check.
#[rstest]
#[case(Defect::WrongResponse, "an answer is whole and the caller's own")]
#[case(Defect::MissingEvent, "an answer is whole and the caller's own")]
#[case(Defect::DuplicateExecution, "what may run once runs once")]
#[case(Defect::FalseRefusal, "a refused request has not run")]
#[case(Defect::MissingRetryAfter, "a refusal says when to come back")]
#[case(Defect::LateResponse, "every request ends by its deadline")]
#[case(Defect::TruncatedResponse, "an answer is not cut")]
#[case(Defect::WrongInputs, "inputs are the request's own, and all of them")]
#[case(Defect::UnboundedRetries, "repeats stay within the budget")]
#[case(Defect::NoRecovery, "all is served again after the last fault")]
#[case(Defect::ManifestRollback, "no manifest goes back")]
#[case(Defect::ManifestNotApplied, "an approved manifest is in force in time")]
#[case(Defect::ImmediateExit, "a process ends in order within its grace time")]
#[case(Defect::HungShutdown, "a process ends in order within its grace time")]
#[case(Defect::Crash, "a process does not end by itself")]
fn each_check_notices_a_broken_program(#[case] broken: Defect, #[case] promise: &str) {
    let (kept, told) = soak(&["--seed", "1", "--seconds", "4", "--broken", broken.name()]);
    assert!(!kept && told.contains(&format!("BROKEN: {promise};")), "{told}");
}

/// Ids of processes that have a text in their command line.
fn processes_with(text: &str) -> Vec<String> {
    let all = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let named = |path: &Path| {
        let line = std::fs::read(path.join("cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).contains(text)
    };
    let found = all.filter(|entry| named(&entry.path()));
    found.map(|entry| entry.file_name().to_string_lossy().into_owned()).collect()
}

fn wait_until(holds: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while !holds() && began.elapsed() < Duration::from_secs(10) {
        std::thread::sleep(Duration::from_millis(20));
    }
    holds()
}

/// Guards against entries that go on after the soak was told to end (seven were left by a CI run that was
/// stopped).
#[test]
fn a_soak_that_is_told_to_end_leaves_no_process() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak-told-to-end");
    std::fs::create_dir_all(&folder).unwrap();
    let name = folder.to_string_lossy().into_owned();
    // Entries name a settings file in the folder, the soak itself only the folder.
    let settings = format!("{name}/");
    let mut soak = Command::new(env!("CARGO_BIN_EXE_damaskweir"))
        .args(["soak", "--runs", "2", "--jobs", "2", "--folder", &name])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    assert!(wait_until(|| processes_with(&settings).len() >= 6));
    let id = soak.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    soak.wait().unwrap();
    let gone = wait_until(|| processes_with(&settings).is_empty());
    let left = processes_with(&settings);
    for id in &left {
        Command::new("kill").args(["-KILL", id]).status().unwrap();
    }
    assert!(gone, "{left:?}");
}
