//! Tests of the command line: help, version and exit codes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use rstest::rstest;

/// Runs a command and returns its exit code, standard output and standard error.
fn run(arguments: &[&str]) -> (u8, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = arguments.iter().map(Into::into).collect();
    let code = damaskweir::command::run(arguments, &mut out, &mut err);
    (code, String::from_utf8(out).unwrap(), String::from_utf8(err).unwrap())
}

/// Guards against commands that don't support `--help` or `--version`.
#[rstest]
fn help_and_version(
    #[values("", "entry", "side", "demo", "load")] command: &str,
    #[values("--help", "--version")] option: &str,
) {
    let arguments: Vec<_> = [command, option].into_iter().filter(|a| !a.is_empty()).collect();
    let (code, text, _) = run(&arguments);
    assert_eq!(code, 0);
    let wanted = if option == "--help" { "Usage: damaskweir" } else { "damaskweir 0." };
    assert!(text.contains(wanted), "{text}");
}

/// Guards against subcommands that treat `--help` as a file name or an unknown option.
#[rstest]
#[case(&["platform", "entry"])]
#[case(&["explain"])]
#[case(&["bundle"])]
#[case(&["bundle", "check"])]
#[case(&["bundle", "diff"])]
#[case(&["bundle", "approve"])]
#[case(&["bundle", "rollback"])]
#[case(&["bundle", "status"])]
#[case(&["bundle", "history"])]
#[case(&["key"])]
#[case(&["key", "new"])]
#[case(&["bench"])]
#[case(&["scenario", "run"])]
#[case(&["model", "check"])]
fn every_subcommand_has_help(#[case] command: &[&str]) {
    let arguments: Vec<_> = command.iter().copied().chain(["--help"]).collect();
    let (code, text, errors) = run(&arguments);
    assert_eq!((code, errors.as_str()), (0, ""));
    assert!(text.to_lowercase().contains("usage"), "{text}");
    assert!(!std::path::Path::new("--help").exists(), "--help was taken for a file name");
}

/// Guards against exit codes that differ from those in `damaskweir --help`, and against errors that don't
/// name their cause.
#[rstest]
#[case(&[], 2, "a command is required")]
#[case(&["serve"], 2, "unknown command 'serve'")]
#[case(&["entri"], 2, "did you mean 'entry'?")]
#[case(&["bundle", "chek"], 2, "did you mean 'check'?")]
#[case(&["platform", "entry", "--config", "/nowhere/boot.conf"], 3, "cannot read /nowhere/boot.conf")]
#[case(&["platform", "side"], 2, "platform entry")]
#[case(&["explain", "id-1", "/nowhere/log"], 1, "/nowhere/log can't be read")]
#[case(&["entry"], 2, "--config")]
#[case(&["entry", "--config", "a.ini", "--loud"], 2, "unknown argument '--loud'")]
#[case(&["entry", "--config", "/nowhere/a.ini"], 3, "/nowhere/a.ini: can't be read")]
#[case(&["side", "--config", "/nowhere/a.ini"], 3, "/nowhere/a.ini: can't be read")]
#[case(&["load", "--target", "http://192.0.2.1/"], 2, "loopback")]
#[case(&["load", "--target", "http://127.0.0.1:1/", "--format", "xml"], 2, "text or json")]
#[case(&["load", "--target", "http://127.0.0.1:1/", "--rate", "1", "--seconds", "1", "--warmup", "0"], 1, "status 200")]
fn exit_codes(#[case] arguments: &[&str], #[case] code: u8, #[case] wanted: &str) {
    let (got, _, text) = run(arguments);
    assert_eq!(got, code, "{text}");
    assert!(text.contains(wanted), "{text}");
}
