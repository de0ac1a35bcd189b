//! Tests of calls against a stand-in service.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use bytes::Bytes;
use damaskweir_core::prelude::*;
use damaskweir_services::{Call, Load, Service, ServiceError, ServiceSettings};
use damaskweir_standins::service as standin;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn call(effect: Effect) -> Call<'static> {
    let request = RequestId { entry: Incarnation(7), serial: 1 };
    Call {
        path: "/orders/print",
        attempt: AttemptId { request, stage: 0, number: 0 },
        key: Some(Digest([3; 32])),
        effect,
        body: Bytes::from_static(br#"{"sheets": 40}"#),
    }
}

fn client(url: String) -> Service {
    Service::new(ServiceSettings { url, ..ServiceSettings::default() }).unwrap()
}

/// Guards against altered responses and against a missing attempt or key header.
#[rstest]
#[case(Effect::Idempotent)]
#[case(Effect::Once)]
#[tokio::test]
async fn answer_arrives(#[case] effect: Effect) {
    let service = standin::Service::start().await.unwrap();
    let client = client(service.url());
    assert!(client.healthy().await);
    let answer = client.call(call(effect)).await.unwrap();
    let value: serde_json::Value = serde_json::from_slice(&answer).unwrap();
    assert_eq!(value["path"], "/orders/print");
    assert_eq!(value["input"]["sheets"], 40);
    let runs = service.runs();
    assert_eq!(runs.attempts.get(&call(effect).attempt.to_string()), Some(&1));
    assert_eq!(runs.keys.get(&Digest([3; 32]).to_string()), Some(&1));
}

/// Guards against reporting a call that ran or may have run as not run, and against running it
/// twice.
#[rstest]
#[case::fails(|b: &mut standin::Behaviour| b.fail = true, "ran and failed", 1)]
#[case::drops_the_response(|b: &mut standin::Behaviour| b.drop_response = true, "may have run", 1)]
#[case::breaks_off_the_response(|b: &mut standin::Behaviour| b.truncate = true, "may have run", 1)]
#[case::refuses(|b: &mut standin::Behaviour| b.refuse = true, "refused before it ran", 0)]
#[tokio::test]
async fn errors_tell_what_happened_to_the_work(
    #[case] change: fn(&mut standin::Behaviour),
    #[case] kind: &str,
    #[case] runs: u32,
    #[values(Effect::Idempotent, Effect::Once)] effect: Effect,
) {
    let service = standin::Service::start().await.unwrap();
    service.set_behaviour(change);
    let error = client(service.url()).call(call(effect)).await.unwrap_err();
    assert!(error.to_string().starts_with(kind), "{error}");
    assert_eq!(service.runs().total(), runs);
}

/// Guards against a load report that the client can't parse, and against requesting one from a
/// service that has none.
#[tokio::test]
async fn load_is_read_where_there_is_one() {
    let service = standin::Service::start().await.unwrap();
    assert_eq!(client(service.url()).load().await, Ok(None));
    let load_path = Some("/load".to_owned());
    let settings = ServiceSettings { url: service.url(), load_path, ..ServiceSettings::default() };
    let load = Service::new(settings).unwrap().load().await;
    assert_eq!(load, Ok(Some(Load { running: 0, waiting: 0 })));
}

/// Guards against reporting a call as possibly run when no connection was opened.
#[tokio::test]
async fn connect_error_means_not_run() {
    // A bound socket that doesn't listen refuses connections and keeps the port from other
    // processes.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let port = socket.local_addr().unwrap();
    let error = client(format!("http://{port}")).call(call(Effect::Once)).await.unwrap_err();
    assert!(matches!(error, ServiceError::Unreachable(_)), "{error}");
}

/// Guards against reporting a call that was sent and timed out as not run.
#[tokio::test]
async fn timeout_means_may_have_run() {
    let service = standin::Service::start().await.unwrap();
    service.set_behaviour(|behaviour| behaviour.delay = Duration::from_secs(3600));
    let call_timeout = Duration::from_millis(300);
    let settings =
        ServiceSettings { url: service.url(), call_timeout, ..ServiceSettings::default() };
    let error = Service::new(settings).unwrap().call(call(Effect::Once)).await.unwrap_err();
    assert!(matches!(error, ServiceError::OutcomeUnknown(_)), "{error}");
}

/// Guards against a response that exhausts the memory or doesn't fit into a frame.
#[tokio::test]
async fn too_large_answer_is_an_error() {
    let service = standin::Service::start().await.unwrap();
    let settings =
        ServiceSettings { url: service.url(), response_limit: 10, ..ServiceSettings::default() };
    let error = Service::new(settings).unwrap().call(call(Effect::Once)).await.unwrap_err();
    assert!(matches!(error, ServiceError::Failed(_)), "{error}");
}

/// Guards against a process that ends because its service sends a load report without end, which it keeps.
#[tokio::test]
async fn endless_load_report_is_given_up() {
    const RESPONSE_LIMIT: usize = 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert_ne!(stream.read(&mut vec![0; 4_096]).await.unwrap(), 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"running\":").await.unwrap();
        let (part, mut sent) = ([b'1'; 4_096], 0);
        // Socket buffers hold a part of it.
        while sent < 32 * RESPONSE_LIMIT && stream.write_all(&part).await.is_ok() {
            sent += part.len();
        }
        sent
    });
    let settings = ServiceSettings {
        url,
        load_path: Some("/load".to_owned()),
        response_limit: RESPONSE_LIMIT,
        ..ServiceSettings::default()
    };
    let client = Service::new(settings).unwrap();
    assert!(client.load().await.is_err());
    drop(client);
    let sent = sending.await.unwrap();
    assert!(sent < 16 * RESPONSE_LIMIT, "{sent} bytes");
}

/// Answers one call with the given bytes and closes the connection.
async fn answer_with(answer: &'static str) -> Result<Bytes, ServiceError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"40}") {
            stream.read_buf(&mut bytes).await.unwrap();
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    client(url).call(call(Effect::Once)).await
}

/// Guards against a part of an answer that counts as complete, because the head or a chunk was damaged or nothing
/// tells the length of the body.
#[rstest]
#[case::signed_length("200 OK\r\nContent-Length: +2\r\n\r\n{}  ")]
#[case::length_that_wraps("200 OK\r\nContent-Length: 18446744073709551618\r\n\r\n{}")]
#[case::two_lengths("200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{} ")]
#[case::signed_chunk("200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\n{}\r\n0\r\n\r\n")]
#[case::chunk_that_wraps(
    "200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffe\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
)]
#[case::no_last_chunk("200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")]
#[case::no_colon("200 OK\r\nA\r\nContent-Length: 2\r\n\r\n{}")]
#[case::blank_in_a_name("200 OK\r\nA b: 1\r\nContent-Length: 2\r\n\r\n{}")]
#[case::no_status("000 OK\r\nContent-Length: 2\r\n\r\n{}")]
#[case::status_above("600 OK\r\nContent-Length: 2\r\n\r\n{}")]
#[case::no_length("200 OK\r\n\r\n{\"sheets\": 4")]
#[case::number_without_length("200 OK\r\n\r\n4")]
#[case::nothing_without_length("200 OK\r\n\r\n")]
#[tokio::test]
async fn damaged_answers_are_errors(#[case] answer: &'static str) {
    let read = answer_with(format!("HTTP/1.1 {answer}").leak()).await;
    assert!(read.is_err(), "{read:?}");
}

/// Guards against refusing a whole answer that ends with its connection.
#[tokio::test]
async fn answer_without_length_that_is_whole_is_read() {
    let read = answer_with("HTTP/1.1 200 OK\r\n\r\n{\"sheets\": 4}\n").await;
    assert_eq!(read, Ok(Bytes::from_static(b"{\"sheets\": 4}\n")));
}
