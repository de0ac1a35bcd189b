//! Tests of the HTTP client against servers that send arbitrary responses, and of splitting events.
#![allow(clippy::expect_used, reason = "clippy exempts only test functions, not helpers")]

use damaskweir_direct::Splitter;
use damaskweir_direct::http::{Conn, HttpError};
use damaskweir_direct::memory::{BodyBuffer, BufferError, EventBuffer, MemoryBudget};
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Maximum size in bytes of a body that a test reads.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

fn buffer() -> BodyBuffer {
    BodyBuffer::new(BODY_BYTES_MAX, &MemoryBudget::new(usize::MAX))
}

/// Connects to a server that reads the head of a request and sends `response`.
async fn connect(response: &'static [u8], close: bool) -> Conn {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client");
        let mut bytes = Vec::new();
        while !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
            stream.read_buf(&mut bytes).await.expect("a request");
        }
        stream.write_all(response).await.expect("the client reads");
        if !close {
            std::future::pending::<()>().await;
        }
    });
    Conn::connect(address, Duration::from_secs(1)).await.expect("it listens")
}

async fn get_response(
    response: &'static [u8],
    close: bool,
) -> (Conn, Result<(u16, Vec<u8>), HttpError>) {
    let mut conn = connect(response, close).await;
    let read = async {
        conn.send(b"GET / HTTP/1.1\r\n\r\n", &[]).await?;
        let head = conn.read_head(|head| !head.headers.contains_key("other")).await?;
        let body = conn.read_body(buffer()).await?.finish().to_vec();
        conn.finish();
        Ok((head.status.as_u16(), body))
    };
    let response = tokio::time::timeout(Duration::from_secs(5), read).await.expect("no hang");
    (conn, response)
}

/// Guards against bodies that are truncated or extend into the next response.
#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false, true)]
#[case::chunked(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nt: 1\r\n\r\n", false, true)]
#[case::close(b"HTTP/1.1 200 OK\r\n\r\nbody", true, false)]
#[case::not_reused(
    b"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 4\r\n\r\nbody",
    false,
    false
)]
#[case::interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    false,
    true
)]
#[case::other_response(b"HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false, true)]
#[tokio::test]
async fn complete_responses_are_read(
    #[case] response: &'static [u8],
    #[case] close: bool,
    #[case] reused: bool,
) {
    let (mut conn, read) = get_response(response, close).await;
    assert_eq!(read.expect("a valid response"), (200, b"body".to_vec()));
    assert_eq!(conn.is_reusable(), reused);
}

/// Guards against accepting a truncated response as complete, or bytes that are not a response.
#[rstest]
#[case::truncated_body(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", true)]
#[case::truncated_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody", true)]
#[case::no_last_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true)]
#[case::bad_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", false)]
#[case::two_lengths(
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nbody",
    false
)]
#[case::unknown_coding(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody", false)]
#[case::garbage(b"\x00\x01\x02\r\n\r\n", false)]
#[case::empty(b"", true)]
#[tokio::test]
async fn invalid_responses_are_errors(#[case] response: &'static [u8], #[case] close: bool) {
    let (mut conn, read) = get_response(response, close).await;
    assert!(read.is_err(), "{read:?}");
    assert!(!conn.is_reusable());
}

/// Guards against a part of a body that counts as complete, and against answers that the caller can't tell from the
/// server's, because a head or a chunk was damaged and could still be read in some way.
#[rstest]
#[case::signed_length("Content-Length: +4\r\n\r\nbody")]
#[case::negative_length("Content-Length: -0\r\n\r\n")]
#[case::length_that_wraps("Content-Length: 18446744073709551620\r\n\r\nbody")]
#[case::split_length("Content-Length: 4 4\r\n\r\nbody")]
#[case::list_of_lengths("Content-Length: 4, 4\r\n\r\nbody")]
#[case::hexadecimal_length("Content-Length: 0x4\r\n\r\nbody")]
#[case::empty_length("Content-Length:\r\n\r\nbody")]
#[case::equal_lengths("Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody")]
#[case::length_beside_chunks(
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)]
#[case::second_coding(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)]
#[case::coding_twice("Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")]
#[case::signed_chunk("Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n")]
#[case::signed_last_chunk("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n-0\r\n\r\n")]
#[case::chunk_that_wraps(
    "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffe\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)]
#[case::chunk_of_17_digits(
    "Transfer-Encoding: chunked\r\n\r\n10000000000000004\r\nbody\r\n0\r\n\r\n"
)]
#[case::chunk_after_a_blank("Transfer-Encoding: chunked\r\n\r\n 4\r\nbody\r\n0\r\n\r\n")]
#[case::chunk_before_a_blank("Transfer-Encoding: chunked\r\n\r\n4 \r\nbody\r\n0\r\n\r\n")]
#[case::chunk_of_two_words("Transfer-Encoding: chunked\r\n\r\n4 4\r\nbody\r\n0\r\n\r\n")]
#[case::chunk_without_size("Transfer-Encoding: chunked\r\n\r\n;x=y\r\nbody\r\n0\r\n\r\n")]
#[case::control_byte_in_an_extension(
    "Transfer-Encoding: chunked\r\n\r\n4;x=\0\r\nbody\r\n0\r\n\r\n"
)]
#[case::chunk_line_feed("Transfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n")]
#[case::chunk_ends_in_a_line_feed("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\n0\r\n\r\n")]
#[case::chunk_too_long("Transfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n")]
#[case::head_as_trailer(
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n"
)]
#[case::length_as_trailer(
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n"
)]
#[case::blank_in_a_trailer("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA b: 1\r\n\r\n")]
#[case::trailer_line_feed("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: 1\n\r\n")]
#[case::line_without_colon("A\r\nContent-Length: 4\r\n\r\nbody")]
#[case::folded_line("A: 1\r\n b\r\nContent-Length: 4\r\n\r\nbody")]
#[case::blank_in_a_name("A b: 1\r\nContent-Length: 4\r\n\r\nbody")]
#[case::blank_after_a_name("Content-Length : 4\r\n\r\nbody")]
#[case::control_byte_in_a_name("A\x01: 1\r\nContent-Length: 4\r\n\r\nbody")]
#[case::control_byte_in_a_value("A: \x01\r\nContent-Length: 4\r\n\r\nbody")]
#[case::empty_name(": 1\r\nContent-Length: 4\r\n\r\nbody")]
#[case::line_feed_in_a_value("A: 1\nContent-Length: 4\r\n\r\nbody")]
#[case::carriage_return_in_a_value("A: 1\rB: 2\r\nContent-Length: 4\r\n\r\nbody")]
#[case::line_feeds("Content-Length: 4\n\nbody")]
#[tokio::test]
async fn damaged_responses_are_errors(#[case] rest: &str) {
    let response = format!("HTTP/1.1 200 OK\r\n{rest}");
    let (mut conn, read) = get_response(response.leak().as_bytes(), true).await;
    assert!(read.is_err(), "{read:?}");
    assert!(!conn.is_reusable());
}

/// Guards against status lines that are no answer in the protocol and that are passed on, and against bodies where
/// the status allows none, which would be read as the next response.
#[rstest]
#[case::no_status("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::below("HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::above("HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::far_above("HTTP/1.1 999 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::two_digits("HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::four_digits("HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::sign("HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::other_version("HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::two_blanks("HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::empty_line("\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")]
#[case::chunks_of_the_first_version(
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)]
#[case::other_protocol(
    "HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)]
#[case::no_content_with_a_length("HTTP/1.1 204 No\r\nContent-Length: 4\r\n\r\nbody")]
#[case::no_content_in_chunks("HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::interim_with_a_length("HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nbody")]
#[tokio::test]
async fn responses_with_other_status_lines_are_errors(#[case] response: &'static str) {
    let (mut conn, read) = get_response(response.as_bytes(), true).await;
    assert!(read.is_err(), "{read:?}");
    assert!(!conn.is_reusable());
}

/// Guards against refusing what the protocol allows, and against using a connection again that ends.
#[rstest]
#[case::lowercase("content-length: 4\r\n\r\nbody", true)]
#[case::blanks_around_the_length("Content-Length: \t4 \r\n\r\nbody", true)]
#[case::leading_zeros("Content-Length: 004\r\n\r\nbody", true)]
#[case::uppercase_coding("Transfer-Encoding: CHUNKED\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true)]
#[case::extensions(
    "Transfer-Encoding: chunked\r\n\r\n0004 ; a ; b=\"c\"\r\nbody\r\n000;d\r\n\r\n",
    true
)]
#[case::trailers("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: 1\r\nB:\r\n\r\n", true)]
#[case::empty_value("A:\r\nContent-Length: 4\r\n\r\nbody", true)]
#[case::close_in_a_list("Connection: a, Close\r\nContent-Length: 4\r\n\r\nbody", false)]
#[case::close_in_a_second_line(
    "Connection: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
    false
)]
#[tokio::test]
async fn unusual_responses_are_read(#[case] rest: &str, #[case] reused: bool) {
    let response = format!("HTTP/1.1 200 OK\r\n{rest}");
    let (mut conn, read) = get_response(response.leak().as_bytes(), false).await;
    assert_eq!(read.expect("a valid response"), (200, b"body".to_vec()));
    assert_eq!(conn.is_reusable(), reused);
}

/// Guards against taking a second response to one request for the response to the next request on the same
/// connection.
#[tokio::test]
async fn a_connection_with_extra_bytes_is_not_reused() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n";
    let (mut conn, read) = get_response(response, false).await;
    assert!(read.is_ok());
    assert!(!conn.is_reusable());
}

/// Guards against a client that hangs while sending a long body that the server has already refused.
#[tokio::test]
async fn a_server_may_respond_before_it_has_read_the_body() {
    let response = b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n";
    let mut conn = connect(response, false).await;
    let body = vec![0; 32 * 1024 * 1024];
    let read = async {
        conn.send(b"POST / HTTP/1.1\r\nContent-Length: 33554432\r\n\r\n", &[body.into()]).await?;
        conn.read_head(|_| true).await
    };
    let head = tokio::time::timeout(Duration::from_secs(5), read).await.expect("no hang");
    assert_eq!(head.expect("a response").status.as_u16(), 413);
    conn.read_body(buffer()).await.expect("empty");
    assert!(!conn.is_reusable(), "the rest of the body is not sent");
}

/// Guards against events that are split, joined or changed depending on how many bytes each read returns.
#[rstest]
fn events_end_at_empty_lines(#[values(1, 2, 3, 7, 100)] size: usize) {
    let text = "id: 4\ndata: a\n\nid:5\r\ndata: b\r\n\r\ndata: no id\n\nid: 6\nda";
    let mut splitter = Splitter::default();
    let (mut ids, mut bytes) = (Vec::new(), Vec::new());
    for part in text.as_bytes().chunks(size) {
        assert!(splitter.push(part));
        while let Some(event) = splitter.next_event() {
            ids.push(event.id);
            bytes.extend_from_slice(&event.bytes);
        }
    }
    assert_eq!(ids, [Some(4), Some(5), None]);
    assert!(splitter.has_partial() && !splitter.has_event());
    assert_eq!(bytes, &text.as_bytes()[..text.len() - "id: 6\nda".len()]);
}

/// Connects to a server that sends `head` and then `part` repeatedly until the connection is closed. The
/// task returns the number of bytes sent.
async fn connect_endless(
    head: &'static [u8],
    part: &'static [u8],
) -> (Conn, tokio::task::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client");
        let mut sent = 0;
        let mut next = head;
        while stream.write_all(next).await.is_ok() {
            sent += next.len();
            next = part;
        }
        sent
    });
    (Conn::connect(address, Duration::from_secs(1)).await.expect("it listens"), sending)
}

/// Guards against unbounded reads from a faulty server that sends bytes endlessly: in a head, in responses
/// to other requests, in chunk sizes, in trailers or in a body. The client must fail after a bounded
/// number of bytes.
#[rstest]
#[case::head(b"HTTP/1.1 200 OK\r\n", b"x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy")]
#[case::fields(b"HTTP/1.1 200 OK\r\n", b"x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n")]
#[case::interim(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::other_until_close(b"HTTP/1.1 200 OK\r\nOther: 1\r\n\r\n", b"body body body body")]
#[case::other_chunked(
    b"HTTP/1.1 200 OK\r\nOther: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"4\r\nbody\r\n"
)]
#[case::repeated_others(b"", b"HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::chunk_size(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"000000000000000000")]
#[case::trailers(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    b"x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n"
)]
#[case::body(b"HTTP/1.1 200 OK\r\n\r\n", b"a body of 32 bytes, and once more")]
#[tokio::test]
async fn endless_input_is_bounded(#[case] head: &'static [u8], #[case] part: &'static [u8]) {
    let (mut conn, sending) = connect_endless(head, part).await;
    let read = async {
        conn.read_head(|head| !head.headers.contains_key("other")).await?;
        conn.read_body(buffer()).await
    };
    let read =
        tokio::time::timeout(Duration::from_secs(20), read).await.expect("the client gives up");
    assert!(read.is_err());
    drop(conn);
    // The count includes what the socket buffers hold.
    let sent = sending.await.expect("the server ends");
    assert!(sent < 32 * 1024 * 1024, "{sent} bytes");
}

/// Guards against buffers that need more memory together than the entry has, although each is within its
/// limit.
#[test]
fn buffers_share_their_memory() {
    let memory = MemoryBudget::new(100_000);
    let mut first = BodyBuffer::new(BODY_BYTES_MAX, &memory);
    first.push(&[0; 60_000]).expect("the memory suffices");
    let mut second = EventBuffer::new(&memory);
    assert_eq!(second.push(&[b'x'; 60_000]), Err(BufferError::NoMemory));
    let mut small = EventBuffer::new(&memory);
    small.push(&[b'x'; 10_000]).expect("small buffers are not counted");
    let body = first.finish();
    let copy = body.slice(..10);
    drop(body);
    assert!(memory.used() >= 60_000, "a part of the body is still in use");
    drop(copy);
    assert_eq!(memory.used(), 0);
}

/// Guards against memory of a stream that is counted twice, or no longer, while its caller reads slowly.
#[test]
fn events_keep_their_memory_until_they_are_read() {
    let memory = MemoryBudget::new(1_000_000);
    let mut events = EventBuffer::new(&memory);
    let event = format!("data: {}\n\n", "x".repeat(50_000));
    events.push(event.as_bytes()).expect("the memory suffices");
    events.push(b"data: y").expect("the memory suffices");
    let out = events.take_events(|_| true);
    assert_eq!(out.len(), event.len());
    assert!(memory.used() >= event.len() && memory.used() < 2 * event.len(), "{}", memory.used());
    drop(events);
    assert_eq!(memory.used(), event.len());
    drop(out);
    assert_eq!(memory.used(), 0);
    let mut skipped = EventBuffer::new(&memory);
    skipped.push(event.as_bytes()).expect("the memory suffices");
    assert!(skipped.take_events(|_| false).is_empty());
    assert_eq!(memory.used(), 0);
}
