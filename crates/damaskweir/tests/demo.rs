//! Tests of the demo deployment and of the load generator.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use damaskweir::demo::{Demo, DemoOptions};
use damaskweir::load::{LoadError, LoadOptions, run_load};
use damaskweir::logs::quiet_logger;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a test counts as hung. No other check depends on timing.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Guards against work that is lost, altered or run twice between caller and backend server, and against
/// a drain that does not end.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn demo_answers_are_correct() {
    let run = async {
        let demo = Demo::start(DemoOptions::default(), &quiet_logger()).await.unwrap();
        let mut out = Vec::new();
        demo.run(&mut out).await.unwrap();
        assert_eq!(demo.order_runs(), 1);
        demo.stop().await.unwrap();
        let text = String::from_utf8(out).unwrap();
        for wanted in ["encode", "on engines-", "draft streamed: 16 chunks", "ran 1 time(s)"] {
            assert!(text.contains(wanted), "{wanted}: {text}");
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, run).await.expect("the test hangs");
}

/// Guards against printed curl commands that don't work. Sends each request as curl would send it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn printed_curl_commands_succeed() {
    let run = async {
        let demo = Demo::start(DemoOptions::default(), &quiet_logger()).await.unwrap();
        let mut out = Vec::new();
        demo.print_examples(&mut out).unwrap();
        let text = String::from_utf8(out).unwrap();
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let lines: Vec<_> = text.lines().filter(|line| line.contains("curl")).collect();
        assert_eq!(lines.len(), 5, "{text}");
        for line in lines {
            let (command, body) = line.split_once(" -d '").unwrap_or((line, ""));
            let url = command.split(' ').find(|word| word.starts_with("http://")).unwrap();
            let mut request = match body.strip_suffix('\'') {
                // curl sends a form content type by default; it is set below unless the command sets one.
                Some(body) => client.post(url).body(body.to_owned()),
                None => client.get(url),
            };
            let mut headers: BTreeMap<_, _> = command
                .split(" -H '")
                .skip(1)
                .filter_map(|part| part.split('\'').next()?.split_once(": "))
                .collect();
            headers.entry("content-type").or_insert("application/x-www-form-urlencoded");
            for (name, value) in headers {
                request = request.header(name, value);
            }
            let response = request.send().await.unwrap();
            assert_eq!(response.status(), 200, "{line}");
        }
        demo.stop().await.unwrap();
    };
    tokio::time::timeout(TEST_TIMEOUT, run).await.expect("the test hangs");
}

fn load_options(target: &str) -> LoadOptions {
    LoadOptions {
        target: target.parse().unwrap(),
        rate: 50,
        seconds: 1,
        warmup: 0,
        in_flight: 64,
        body: r#"{"prompt": "load", "max_tokens": 1}"#.to_owned(),
        workspace: "kollam".to_owned(),
    }
}

/// Guards against a load report that miscounts requests or counts refused requests as successful.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_counts_every_request() {
    let run = async {
        let demo = Demo::start(DemoOptions::default(), &quiet_logger()).await.unwrap();
        let url = &demo.urls()[0];
        let options = load_options(&format!("{url}/v1/pipelines/complete"));
        let report = run_load(&options).await.unwrap();
        assert_eq!(report.due, 50);
        let answered: u64 = report.statuses.values().sum();
        assert_eq!(answered + report.broken + report.skipped, report.due);

        let options =
            LoadOptions { target: format!("{url}/v1/pipelines/nope").parse().unwrap(), ..options };
        let report = run_load(&options).await.unwrap();
        assert!(!report.is_clean());
        assert_eq!(report.statuses.get(&200), None);
        demo.stop().await.unwrap();
    };
    tokio::time::timeout(TEST_TIMEOUT, run).await.expect("the test hangs");
}

/// Guards against load on other machines and against rates outside the allowed range.
#[rstest]
#[case("http://192.0.2.1/", 1, "the target must be")]
#[case("http://localhost/", 1, "the target must be")]
#[case("https://127.0.0.1/", 1, "the target must be")]
#[case("http://127.0.0.1:1/", 0, "--rate must be from 1 to 20000")]
#[case("http://127.0.0.1:1/", 20_001, "--rate must be from 1 to 20000")]
#[tokio::test]
async fn load_is_bounded(#[case] target: &str, #[case] rate: u32, #[case] wanted: &str) {
    let error: LoadError =
        run_load(&LoadOptions { rate, ..load_options(target) }).await.unwrap_err();
    assert!(error.to_string().contains(wanted), "{error}");
}
