//! Connection failures: unexpected peers, invalid frames, limits, lost connections and cancels.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "used by tests only")]

mod support;

use bytes::Bytes;
use damaskweir_core::prelude::*;
use damaskweir_wire::{
    AttemptMessage, FrameError, Keys, Limits, Link, LocalNode, PROTOCOL_VERSION, PeerId,
    RejectedConnection, Request, WireError,
};
use quinn::crypto::rustls::QuicClientConfig;
use rstest::rstest;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::sync::Arc;
use std::time::Duration;
use support::*;

/// Connects and returns the result at each end. The sidecar must reject the connection.
async fn failed_handshake(
    entry_keys: &Keys,
    entry: LocalNode,
    sidecar_keys: &Keys,
    sidecar: LocalNode,
) -> (Result<Link, WireError>, RejectedConnection) {
    let mut listener = listen(sidecar_keys, sidecar, Limits::default());
    let dialer = dial(entry_keys, entry, Limits::default());
    let address = listener.address();
    let server = server();
    let both = async { tokio::join!(dialer.connect(address, &server), listener.accept()) };
    let (link, accepted) = within(both).await;
    (link, accepted.unwrap().expect_err("the sidecar accepted the connection"))
}

/// Guards against accepting an entry whose certificate was signed by another authority, including one
/// with the same name.
#[rstest]
#[tokio::test]
async fn entry_with_an_untrusted_certificate_is_refused(#[values("ours", "other")] name: &str) {
    let (trusted, untrusted) = (Authority::named("ours"), Authority::named(name));
    let entry_keys = untrusted.keys_trusting("damaskweir", &trusted);
    let (link, rejected) = failed_handshake(&entry_keys, entry(), &trusted.keys(), sidecar()).await;
    assert!(matches!(rejected.error, WireError::Certificate(_)), "{:?}", rejected.error);
    let error = link.expect_err("the entry got a link");
    assert!(matches!(error, WireError::Certificate(_)), "{error:?}");
}

/// Guards against connecting to a sidecar whose certificate was signed by another authority, including one
/// with the same name.
#[rstest]
#[tokio::test]
async fn sidecar_with_an_untrusted_certificate_is_refused(#[values("ours", "other")] name: &str) {
    let (trusted, untrusted) = (Authority::named("ours"), Authority::named(name));
    let sidecar_keys = untrusted.keys_trusting("damaskweir", &trusted);
    let (link, rejected) =
        failed_handshake(&trusted.keys(), entry(), &sidecar_keys, sidecar()).await;
    let error = link.expect_err("the entry got a link");
    assert!(matches!(error, WireError::Certificate(_)), "{error:?}");
    assert!(matches!(rejected.error, WireError::Certificate(_)), "{:?}", rejected.error);
}

/// Guards against accepting a certificate that the trusted authority issued for another DNS name.
#[tokio::test]
async fn sidecar_with_another_name_is_refused() {
    let trusted = Authority::new();
    let sidecar_keys = trusted.keys_for("label-printer");
    let (link, _) = failed_handshake(&trusted.keys(), entry(), &sidecar_keys, sidecar()).await;
    let error = link.expect_err("the entry got a link");
    assert!(matches!(error, WireError::Certificate(_)), "{error:?}");
}

/// Guards against exchanging messages with a process of another protocol version.
#[rstest]
#[case::newer_entry(PROTOCOL_VERSION + 1, PROTOCOL_VERSION)]
#[case::newer_sidecar(PROTOCOL_VERSION, PROTOCOL_VERSION + 1)]
#[tokio::test]
async fn other_protocol_version_is_refused(
    #[case] entry_version: u16,
    #[case] sidecar_version: u16,
) {
    let authority = Authority::new();
    let keys = authority.keys();
    let mut listener = listen(&keys, sidecar().with_protocol(sidecar_version), Limits::default());
    let dialer = dial(&keys, entry().with_protocol(entry_version), Limits::default());
    let error = within(dialer.connect(listener.address(), &server())).await.unwrap_err();
    let theirs =
        if sidecar_version == PROTOCOL_VERSION { PROTOCOL_VERSION } else { sidecar_version };
    assert!(
        matches!(error, WireError::ProtocolVersion { peer_version: Some(v) } if v == theirs),
        "{error:?}"
    );
    if entry_version != PROTOCOL_VERSION {
        let rejected = within(listener.accept()).await.unwrap().unwrap_err();
        let expected = Some(entry_version);
        assert!(
            matches!(rejected.error, WireError::ProtocolVersion { peer_version } if peer_version == expected),
            "{:?}",
            rejected.error
        );
    }
}

/// Guards against accepting a process with a valid certificate at the expected address, although its id is
/// not the expected one.
#[tokio::test]
async fn unexpected_process_is_refused() {
    let authority = Authority::new();
    let keys = authority.keys();
    let other_server =
        LocalNode::new(PeerId::Sidecar("engine-2".into()), "zone-a".into(), Incarnation(9));
    let listener = listen(&keys, other_server, Limits::default());
    let dialer = dial(&keys, entry(), Limits::default());
    let error = within(dialer.connect(listener.address(), &server())).await.unwrap_err();
    assert!(matches!(error, WireError::UnexpectedPeer { .. }), "{error:?}");

    let (link, rejected) = failed_handshake(&keys, sidecar(), &keys, sidecar()).await;
    assert!(matches!(rejected.error, WireError::UnexpectedPeer { .. }), "{:?}", rejected.error);
    assert!(link.is_err());
}

/// Guards against a rejected peer that prevents later connections.
#[tokio::test]
async fn refused_peers_leave_the_listener_working() {
    let (trusted, untrusted) = (Authority::new(), Authority::new());
    let mut listener = listen(&trusted.keys(), sidecar(), Limits::default());
    let untrusted_dialer =
        dial(&untrusted.keys_trusting("damaskweir", &trusted), entry(), Limits::default());
    within(untrusted_dialer.connect(listener.address(), &server())).await.unwrap_err();
    assert!(within(listener.accept()).await.unwrap().is_err());
    let dialer = dial(&trusted.keys(), entry(), Limits::default());
    within(dialer.connect(listener.address(), &server())).await.unwrap();
    assert!(within(listener.accept()).await.unwrap().is_ok());
}

/// Guards against a sidecar that accepts more connections than its limit.
#[tokio::test]
async fn connections_are_limited() {
    let authority = Authority::new();
    let keys = authority.keys();
    let limits = Limits { max_connections: 1, ..Limits::default() };
    let mut listener = listen(&keys, sidecar(), limits);
    let first = dial(&keys, entry(), limits);
    let _link = within(first.connect(listener.address(), &server())).await.unwrap();
    let _connection = within(listener.accept()).await.unwrap().unwrap();
    let second = dial(&keys, entry(), limits);
    let error = within(second.connect(listener.address(), &server())).await.unwrap_err();
    assert!(matches!(error, WireError::ConnectionLimit), "{error:?}");
    let rejected = within(listener.accept()).await.unwrap().unwrap_err();
    assert!(matches!(rejected.error, WireError::ConnectionLimit), "{:?}", rejected.error);
}

/// Guards against closing the connection because of a dispatch that exceeds the entry's own limit.
#[tokio::test]
async fn too_large_dispatch_is_not_sent() {
    let limits = Limits { max_frame: 10_000, ..Limits::default() };
    let mut pair = pair(limits).await;
    let error =
        within(pair.link.dispatch(&dispatch(0), payload(vec![0; 20_000]))).await.unwrap_err();
    let limit = 10_000;
    assert!(
        matches!(error, WireError::Frame(FrameError::TooLarge { limit: l }) if l == limit),
        "{error:?}"
    );
    let _attempt = within(pair.link.dispatch(&dispatch(1), payload("small"))).await.unwrap();
    assert_eq!(next_dispatch(&mut pair.connection).await.0.attempt, dispatch(1).attempt);
}

/// Guards against a sidecar that reads frames above its size limit into memory.
#[tokio::test]
async fn oversized_frame_ends_the_connection() {
    let small = Limits { max_frame: 10_000, ..Limits::default() };
    let mut pair = pair_of(entry(), sidecar(), Limits::default(), small).await;
    let sent = pair.link.dispatch(&dispatch(0), payload(vec![0; 20_000])).await;
    assert!(within(pair.connection.next()).await.is_none(), "the sidecar accepted the dispatch");
    let reason = within(pair.connection.peer().closed()).await;
    assert!(matches!(reason, WireError::Frame(FrameError::TooLarge { .. })), "{reason:?}");
    let entry_reason = within(pair.link.closed()).await;
    assert!(matches!(entry_reason, WireError::FrameRejected(_)), "{entry_reason:?}");
    if let Ok(mut attempt) = sent {
        assert!(within(attempt.next()).await.is_err());
    }
}

/// Guards against an answer above the entry's size limit that is treated as the end of the attempt.
#[tokio::test]
async fn oversized_answer_breaks_the_attempt() {
    let small = Limits { max_frame: 10_000, ..Limits::default() };
    let mut pair = pair_of(entry(), sidecar(), small, Limits::default()).await;
    let mut attempt = within(pair.link.dispatch(&dispatch(0), payload("x"))).await.unwrap();
    let (_, _, mut reply) = next_dispatch(&mut pair.connection).await;
    let data = Bytes::from(vec![0; 20_000]);
    let _ = reply.send(AttemptMessage::Chunk { index: 0, data }).await;
    assert!(within(attempt.next()).await.is_err());
    let reason = within(pair.link.closed()).await;
    assert!(matches!(reason, WireError::Frame(FrameError::TooLarge { .. })), "{reason:?}");
}

/// Creates a QUIC client with the given ALPN name, which does not use the crate's framing.
fn raw_client(authority: &Authority, alpn: &[u8]) -> quinn::Endpoint {
    let (ca, certificate, key) = authority.pem("damaskweir");
    let mut roots = rustls::RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(ca.as_bytes()).unwrap()).unwrap();
    let chain = vec![CertificateDer::from_pem_slice(certificate.as_bytes()).unwrap()];
    let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .unwrap();
    config.alpn_protocols = vec![alpn.to_vec()];
    let config = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(config).unwrap()));
    let mut endpoint = quinn::Endpoint::client(loopback()).unwrap();
    endpoint.set_default_client_config(config);
    endpoint
}

/// An encoded Hello of an entry: protocol version, entry id, zone, incarnation and bundle version.
fn raw_hello() -> Vec<u8> {
    let hello = [&[1u8, 0, 2][..], b"e1", &[1], b"a", &[7, 3]].concat();
    frame(&hello)
}

fn frame(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).unwrap().to_be_bytes();
    [&length[..], body].concat()
}

/// Guards against accepting a peer that offers another protocol version in the TLS handshake.
#[tokio::test]
async fn other_alpn_is_refused() {
    let authority = Authority::new();
    let mut listener = listen(&authority.keys(), sidecar(), Limits::default());
    let client = raw_client(&authority, b"damaskweir/2");
    let connecting = client.connect(listener.address(), "damaskweir").unwrap();
    assert!(within(connecting).await.is_err());
    let rejected = within(listener.accept()).await.unwrap().unwrap_err();
    assert!(
        matches!(rejected.error, WireError::ProtocolVersion { peer_version: None }),
        "{rejected:?}"
    );
}

/// Guards against invalid or incomplete messages that start an attempt or stop the listener.
#[rstest]
#[case::no_message(&frame(&[0xff; 40]), true)]
#[case::trailing_bytes(&frame(&[3, 0, 0xaa]), true)]
#[case::length_above_the_limit(&[0xff; 8], true)]
#[case::cut_off_in_the_length(&[0, 0], false)]
#[case::cut_off_in_the_message(&frame(&[3, 1, 2, 3])[..6], false)]
#[case::nothing(&[], false)]
#[tokio::test]
async fn invalid_frames_have_no_effect(#[case] bytes: &[u8], #[case] closes: bool) {
    let authority = Authority::new();
    let mut listener = listen(&authority.keys(), sidecar(), Limits::default());
    let client = raw_client(&authority, b"damaskweir/1");
    let raw = within(client.connect(listener.address(), "damaskweir").unwrap()).await.unwrap();
    let (mut control, _reports) = raw.open_bi().await.unwrap();
    control.write_all(&raw_hello()).await.unwrap();
    let mut connection = within(listener.accept()).await.unwrap().unwrap();
    assert_eq!(connection.peer().hello().id, PeerId::Entry("e1".into()));

    let (mut send, mut recv) = raw.open_bi().await.unwrap();
    send.write_all(bytes).await.unwrap();
    send.finish().unwrap();
    if closes {
        let reason = within(connection.peer().closed()).await;
        assert!(matches!(reason, WireError::Frame(_)), "{reason:?}");
        assert!(within(connection.next()).await.is_none());
    } else {
        // The sidecar closes its half of the stream and keeps the connection.
        assert_eq!(within(recv.read_to_end(10)).await.unwrap(), Vec::<u8>::new());
    }
    let dialer = dial(&authority.keys(), entry(), Limits::default());
    within(dialer.connect(listener.address(), &server())).await.unwrap();
}

/// Guards against an entry that does not detect a dead sidecar.
#[tokio::test]
async fn silent_sidecar_is_detected() {
    let authority = Authority::new();
    let keys = authority.keys();
    let idle_timeout = Duration::from_millis(300);
    let limits =
        Limits { idle_timeout, sidecar_heartbeat: Duration::from_millis(100), ..Limits::default() };
    // A separate runtime, so that blocking it stops the sidecar without closing the connection.
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let sidecar_keys = keys.clone();
    let (address, server_task) = runtime
        .spawn(async move {
            let mut listener = listen(&sidecar_keys, sidecar(), limits);
            let address = listener.address();
            let server_task = tokio::spawn(async move {
                let connection = listener.accept().await;
                std::future::pending::<()>().await;
                drop((connection, listener));
            });
            (address, server_task)
        })
        .await
        .unwrap();
    let dialer = dial(&keys, entry(), limits);
    let link = within(dialer.connect(address, &server())).await.unwrap();
    let mut attempt = within(link.dispatch(&dispatch(0), payload("x"))).await.unwrap();
    // Blocks the only worker thread of the sidecar until the end of the test.
    let (release, blocked) = std::sync::mpsc::channel::<()>();
    runtime.spawn(async move {
        let _ = blocked.recv();
    });
    let error = within(link.closed()).await;
    assert!(matches!(error, WireError::ConnectionLost(_)), "{error:?}");
    assert!(within(attempt.next()).await.is_err());
    drop(release);
    server_task.abort();
    runtime.shutdown_background();
}

/// Guards against a cancel that does not reach the sidecar, whether the attempt is dropped, cancelled or
/// loses its connection.
#[rstest]
#[case::dropped(|link: Link, attempt| drop((attempt, link)))]
#[case::cancelled(|_link, mut attempt: damaskweir_wire::Attempt| {
    attempt.cancel();
    std::mem::forget(attempt);
})]
#[case::connection_closed(|link: Link, attempt| {
    link.close();
    std::mem::forget(attempt);
})]
#[tokio::test]
async fn sidecar_receives_every_cancel(#[case] end: fn(Link, damaskweir_wire::Attempt)) {
    let mut pair = pair(Limits::default()).await;
    let attempt = within(pair.link.dispatch(&dispatch(0), payload("x"))).await.unwrap();
    let (got, _, reply) = next_dispatch(&mut pair.connection).await;
    end(pair.link.clone(), attempt);
    match within(pair.connection.next()).await {
        Some(Request::Cancel(attempt, id)) => {
            assert_eq!((attempt, id), (got.attempt, reply.dispatch_id()));
        }
        other => panic!("expected a cancel, got {other:?}"),
    }
}

/// Guards against a cancel for an attempt that has ended, which could affect a later duplicate.
#[tokio::test]
async fn ended_attempt_is_not_cancelled() {
    let mut pair = pair(Limits::default()).await;
    let mut first = within(pair.link.dispatch(&dispatch(0), payload("x"))).await.unwrap();
    let (_, _, mut reply) = next_dispatch(&mut pair.connection).await;
    let sent = tokio::spawn(async move {
        reply.send(AttemptMessage::Done(Outcome::Finished)).await.unwrap();
        reply
    });
    assert!(within(first.next()).await.unwrap().is_some());
    // The sidecar's half of the stream is still open when the entry closes its own.
    let _reply = within(sent).await.unwrap();
    drop(first);
    let _second = within(pair.link.dispatch(&dispatch(1), payload("x"))).await.unwrap();
    assert_eq!(next_dispatch(&mut pair.connection).await.0.attempt, dispatch(1).attempt);
}

/// Guards against a broken stream that is treated as the end of the attempt.
#[tokio::test]
async fn dropped_reply_breaks_the_attempt() {
    let mut pair = pair(Limits::default()).await;
    let mut attempt = within(pair.link.dispatch(&dispatch(0), payload("x"))).await.unwrap();
    let (_, _, mut reply) = next_dispatch(&mut pair.connection).await;
    reply.send(AttemptMessage::Accepted).await.unwrap();
    drop(reply);
    assert_eq!(within(attempt.next()).await.unwrap(), Some(AttemptMessage::Accepted));
    assert!(matches!(within(attempt.next()).await, Err(WireError::StreamEnded)));
}

/// Guards against a sidecar that accepts more streams on one connection than its limit.
#[tokio::test]
async fn streams_are_limited() {
    // The control stream counts towards the limit.
    let limits = Limits { max_streams: 3, ..Limits::default() };
    let mut pair = pair(limits).await;
    let first = within(pair.link.dispatch(&dispatch(0), payload("x"))).await.unwrap();
    let _second = within(pair.link.dispatch(&dispatch(1), payload("x"))).await.unwrap();
    let link = pair.link.clone();
    let third = tokio::spawn(async move { link.dispatch(&dispatch(2), payload("x")).await });
    let (_, _, reply) = next_dispatch(&mut pair.connection).await;
    next_dispatch(&mut pair.connection).await;
    assert!(!third.is_finished(), "the third stream was opened");
    drop((first, reply));
    within(third).await.unwrap().unwrap();
}

/// Guards against file errors that don't name the file, and against accepting invalid key files.
#[tokio::test]
async fn keys_load_from_files() {
    let directory = std::env::temp_dir().join(format!("damaskweir-keys-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let (ca, certificate, key) = Authority::new().pem("damaskweir");
    let file = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let (ca, certificate) = (file("ca.pem", &ca), file("cert.pem", &certificate));
    let key = file("key.pem", &key);
    Keys::from_files(&ca, &certificate, &key).unwrap();
    let swapped = Keys::from_files(&ca, &key, &certificate).unwrap_err();
    assert!(matches!(swapped, WireError::Keys(_)), "{swapped:?}");
    let missing = directory.join("absent.pem");
    let error = Keys::from_files(&missing, &certificate, &key).unwrap_err().to_string();
    assert!(error.contains("absent.pem"), "{error}");
    std::fs::remove_dir_all(&directory).unwrap();
}
