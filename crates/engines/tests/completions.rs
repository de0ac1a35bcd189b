//! Tests of completions against a stand-in engine.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use damaskweir_core::prelude::*;
use damaskweir_engines::{Call, Completion, Engine, EngineError, EngineSettings};
use damaskweir_standins::engine as standin;
use std::time::Duration;

const PROMPT: &[u8] = br#"{"prompt": "labels for Kollam", "max_tokens": 12}"#;

fn attempt(number: u16) -> AttemptId {
    let request = RequestId { entry: Incarnation(7), serial: 1 };
    AttemptId { request, stage: 0, number }
}

fn call(body: &[u8]) -> Call<'_> {
    Call {
        path: "/v1/completions",
        attempt: attempt(0),
        key: Some(Digest([3; 32])),
        body,
        resume_from: 0,
        priority: 0,
    }
}

fn client(engine: &standin::Engine, resume: bool) -> Engine {
    Engine::new(EngineSettings { url: engine.url(), resume, ..EngineSettings::default() }).unwrap()
}

/// Reads a completion to its end and returns the text and the final result.
async fn read_all(completion: &mut Completion) -> (String, Result<(), EngineError>) {
    let mut text = String::new();
    loop {
        match completion.next().await {
            Ok(Some(token)) => text.push_str(&token.text),
            Ok(None) => return (text, Ok(())),
            Err(error) => return (text, Err(error)),
        }
    }
}

/// Guards against lost or duplicated tokens and against a missing attempt or key header.
#[tokio::test]
async fn whole_answer_arrives_once() {
    let engine = standin::Engine::start(4).await.unwrap();
    let mut completion = client(&engine, false).complete(call(PROMPT)).await.unwrap();
    let (text, end) = read_all(&mut completion).await;
    assert_eq!(end, Ok(()));
    assert_eq!(text, standin::completion_text("labels for Kollam", 12));
    let runs = engine.runs();
    assert_eq!(runs.attempts.get(&attempt(0).to_string()), Some(&1));
    assert_eq!(runs.keys.get(&Digest([3; 32]).to_string()), Some(&1));
}

/// Guards against refusing a body that is not JSON: such a body is the prompt itself.
#[tokio::test]
async fn plain_body_is_the_prompt() {
    let engine = standin::Engine::start(4).await.unwrap();
    let mut completion = client(&engine, false).complete(call(b"plain words")).await.unwrap();
    let (text, end) = read_all(&mut completion).await;
    assert_eq!(end, Ok(()));
    assert_eq!(text, standin::completion_text("plain words", 16));
}

/// Guards against a resumed response that repeats or skips tokens.
#[tokio::test]
async fn resumed_answer_continues_the_first() {
    let engine = standin::Engine::start(4).await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.break_at = Some(5));
    let client = client(&engine, true);
    let mut first = client.complete(call(PROMPT)).await.unwrap();
    let (head, end) = read_all(&mut first).await;
    assert!(matches!(end, Err(EngineError::OutcomeUnknown(_))), "{end:?}");

    engine.set_behaviour(|behaviour| behaviour.break_at = None);
    let mut second = client.complete(Call { resume_from: 5, ..call(PROMPT) }).await.unwrap();
    let token = second.next().await.unwrap().unwrap();
    assert_eq!(token.index, 5);
    let (tail, end) = read_all(&mut second).await;
    assert_eq!(end, Ok(()));
    assert_eq!(head + &token.text + &tail, standin::completion_text("labels for Kollam", 12));
}

/// Guards against sending a resume to an engine that doesn't support it: the engine would generate
/// the response from its first token.
#[tokio::test]
async fn resume_without_support_is_refused_before_it_runs() {
    let engine = standin::Engine::start(4).await.unwrap();
    let refused = client(&engine, false).complete(Call { resume_from: 5, ..call(PROMPT) }).await;
    assert!(matches!(refused, Err(EngineError::Refused { .. })));
    assert_eq!(engine.runs().total(), 0);
}

/// Guards against reporting a call that ran as not run, and the reverse.
#[tokio::test]
async fn errors_tell_what_happened_to_the_work() {
    let engine = standin::Engine::start(4).await.unwrap();
    let client = client(&engine, false);

    engine.set_behaviour(|behaviour| behaviour.refuse = true);
    let refused = client.complete(call(PROMPT)).await;
    assert!(matches!(refused, Err(EngineError::Refused { .. })));
    assert_eq!(engine.runs().total(), 0);

    engine.set_behaviour(|behaviour| {
        behaviour.refuse = false;
        behaviour.fail = true;
    });
    let mut failing = client.complete(call(PROMPT)).await.unwrap();
    assert!(matches!(read_all(&mut failing).await.1, Err(EngineError::Failed(_))));

    // A bound socket that doesn't listen refuses connections and keeps the port from other
    // processes.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let port = socket.local_addr().unwrap();
    let settings = EngineSettings { url: format!("http://{port}"), ..EngineSettings::default() };
    let unreachable = Engine::new(settings).unwrap().complete(call(PROMPT)).await;
    assert!(matches!(unreachable, Err(EngineError::Unreachable(_))), "{unreachable:?}");
}

/// Guards against an attempt that never ends because its engine hangs in the middle of a response.
#[tokio::test]
async fn silence_ends_an_answer() {
    let engine = standin::Engine::start(4).await.unwrap();
    let idle_timeout = Duration::from_millis(50);
    let settings = EngineSettings { url: engine.url(), idle_timeout, ..EngineSettings::default() };
    let mut completion = Engine::new(settings).unwrap().complete(call(PROMPT)).await.unwrap();
    completion.next().await.unwrap();
    engine.set_behaviour(|behaviour| behaviour.token_delay = Duration::from_secs(3600));
    let (_, end) = read_all(&mut completion).await;
    assert!(matches!(end, Err(EngineError::OutcomeUnknown(_))));
}

/// Guards against an engine that continues to generate after its caller dropped the completion.
#[tokio::test]
async fn dropping_a_completion_stops_the_engine() {
    let engine = standin::Engine::start(4).await.unwrap();
    let body = br#"{"prompt": "long draft", "max_tokens": 1000000}"#;
    let mut completion = client(&engine, false).complete(call(body)).await.unwrap();
    completion.next().await.unwrap();
    drop(completion);
    tokio::time::timeout(Duration::from_secs(60), async {
        while engine.runs().cancelled == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the engine did not cancel the completion");
    assert_eq!(engine.runs().finished, 0);
}
