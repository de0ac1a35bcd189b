//! Tests of engines that send bytes without end.

#![allow(clippy::unwrap_used, reason = "used by tests only")]

use damaskweir_core::prelude::*;
use damaskweir_engines::{Call, Engine, EngineSettings, Order, Role};
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Bytes that an engine sends at most before the client closes the connection: the limit of one response or
/// event, and what the buffers of both sockets hold.
const SENT_BYTES_MAX: usize = 16 * 1024 * 1024;

const JSON: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"running\":";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
const ERROR: &str = "HTTP/1.1 500 X\r\n\r\n";

/// Call of the client whose response does not end.
#[derive(Clone, Copy, Debug)]
enum Form {
    Load,
    Order,
    Completion,
    CacheEvents,
}

/// Starts an engine that sends `head` and then bytes until the connection is closed, and returns their
/// number.
async fn start_engine(head: &'static str) -> (Engine, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4_096];
        assert_ne!(stream.read(&mut request).await.unwrap(), 0);
        stream.write_all(head.as_bytes()).await.unwrap();
        let (part, mut sent) = ([b'1'; 4_096], 0);
        while sent < 4 * SENT_BYTES_MAX && stream.write_all(&part).await.is_ok() {
            sent += part.len();
        }
        sent
    });
    let settings = EngineSettings { url, ..EngineSettings::default() };
    (Engine::new(settings).unwrap(), sending)
}

async fn fails(client: &Engine, form: Form) -> bool {
    let request = RequestId { entry: Incarnation(7), serial: 1 };
    let call = Call {
        path: "/v1/completions",
        attempt: AttemptId { request, stage: 0, number: 0 },
        key: None,
        body: b"{}",
        resume_from: 0,
        priority: 0,
    };
    match form {
        Form::Load => client.load().await.is_err(),
        Form::Order => client.send_order(&Order::Role(Role::Decode), 7).await.is_err(),
        Form::Completion => match client.complete(call).await {
            Ok(mut completion) => completion.next().await.is_err(),
            Err(_) => true,
        },
        Form::CacheEvents => match client.cache_events(None).await {
            Ok(mut feed) => feed.next().await.is_err(),
            Err(_) => true,
        },
    }
}

/// Guards against a process that ends because its engine sends bytes without end, which it keeps.
#[rstest]
#[case(Form::Load, JSON)]
#[case(Form::Load, ERROR)]
#[case(Form::Order, JSON)]
#[case(Form::Completion, EVENTS)]
#[case(Form::Completion, ERROR)]
#[case(Form::CacheEvents, EVENTS)]
#[tokio::test]
async fn endless_response_is_given_up(#[case] form: Form, #[case] head: &'static str) {
    let (client, sending) = start_engine(head).await;
    let failed = timeout(Duration::from_secs(20), fails(&client, form)).await;
    assert_eq!(failed, Ok(true));
    drop(client);
    let sent = sending.await.unwrap();
    assert!(sent < SENT_BYTES_MAX, "{sent} bytes");
}
