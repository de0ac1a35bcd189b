//! Property tests of the frame codec. The seed is fixed, so every run tests the same cases.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "used by tests only")]

use bytes::{Bytes, BytesMut};
use damaskweir_core::prelude::*;
use damaskweir_wire::{AttemptMessage, Codec, FrameError, Hello, PeerId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio_util::codec::{Decoder, Encoder};

const MAX_FRAME_BYTES: usize = 4096;
/// Size of the length prefix in bytes.
const PREFIX_BYTES: usize = 4;

fn check_property<S: Strategy>(strategy: S, property: impl Fn(S::Value)) {
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&strategy, |value| {
        property(value);
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

fn message_strategy() -> impl Strategy<Value = AttemptMessage> {
    prop_oneof![
        Just(AttemptMessage::Accepted),
        any::<u64>().prop_map(|retry| {
            AttemptMessage::Refused(Refusal::Overloaded { retry: Span(retry) })
        }),
        (any::<u32>(), prop::collection::vec(any::<u8>(), 0..600))
            .prop_map(|(index, data)| AttemptMessage::Chunk { index, data: Bytes::from(data) }),
        Just(AttemptMessage::Done(Outcome::Failed(Failure::Interrupted))),
    ]
}

/// Decodes `bytes` in chunks, as they arrive on a stream, and then to the end of the stream.
fn decode_all<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
    chunk_size: usize,
) -> (Vec<T>, Result<(), FrameError>) {
    let mut codec = Codec::<T>::new(MAX_FRAME_BYTES);
    let mut buffer = BytesMut::new();
    let mut messages = Vec::new();
    for chunk in bytes.chunks(chunk_size.max(1)) {
        buffer.extend_from_slice(chunk);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(error) => return (messages, Err(error)),
            }
        }
        let capacity = buffer.capacity();
        assert!(capacity <= 4 * (MAX_FRAME_BYTES + bytes.len()), "buffer of {capacity} bytes");
    }
    loop {
        match codec.decode_eof(&mut buffer) {
            Ok(Some(message)) => messages.push(message),
            Ok(None) => return (messages, Ok(())),
            Err(error) => return (messages, Err(error)),
        }
    }
}

/// Guards against input that makes the decoder panic, hang or allocate more memory than its limit allows.
#[test]
fn arbitrary_bytes_never_panic() {
    check_property(
        (prop::collection::vec(any::<u8>(), 0..2000), 1usize..300),
        |(bytes, chunk_size)| {
            let _ = decode_all::<AttemptMessage>(&bytes, chunk_size);
            let _ = decode_all::<Hello>(&bytes, chunk_size);
            let _ = decode_all::<Dispatch>(&bytes, chunk_size);
        },
    );
}

/// Guards against arbitrary frame contents that make the decoder panic, or that decode to a message that
/// changes when it is encoded again.
#[test]
fn arbitrary_frames_decode_to_what_they_encode() {
    check_property(prop::collection::vec(any::<u8>(), 0..200), |body| {
        let mut bytes = u32::try_from(body.len()).unwrap().to_be_bytes().to_vec();
        bytes.extend_from_slice(&body);
        if let (decoded, Ok(())) = decode_all::<AttemptMessage>(&bytes, 64) {
            assert_eq!(decoded.len(), 1);
            let mut again = BytesMut::new();
            Codec::<AttemptMessage>::new(MAX_FRAME_BYTES).encode(&decoded[0], &mut again).unwrap();
            assert!(
                again.len() <= bytes.len(),
                "the encoded message is longer than the decoded frame"
            );
            assert_eq!(decode_all::<AttemptMessage>(&again, 64).0, decoded);
        }
    });
}

/// Guards against messages that are decoded incorrectly when they are split across several reads.
#[test]
fn messages_survive_any_chunking() {
    check_property(
        (prop::collection::vec(message_strategy(), 0..8), 1usize..700),
        |(messages, chunk_size)| {
            let mut bytes = BytesMut::new();
            let mut codec = Codec::<AttemptMessage>::new(MAX_FRAME_BYTES);
            messages.iter().for_each(|message| codec.encode(message, &mut bytes).unwrap());
            let (decoded, end) = decode_all::<AttemptMessage>(&bytes, chunk_size);
            assert!(end.is_ok(), "{end:?}");
            assert_eq!(decoded, messages);
        },
    );
}

/// Guards against a truncated stream that is treated as complete.
#[test]
fn truncated_stream_is_an_error() {
    check_property((message_strategy(), any::<prop::sample::Index>()), |(message, cut)| {
        let mut bytes = BytesMut::new();
        Codec::<AttemptMessage>::new(MAX_FRAME_BYTES).encode(&message, &mut bytes).unwrap();
        let cut = 1 + cut.index(bytes.len() - 1);
        let (decoded, end) = decode_all::<AttemptMessage>(&bytes[..cut], 64);
        assert_eq!(decoded, Vec::new());
        assert!(matches!(end, Err(FrameError::Truncated)), "{end:?}");
    });
}

/// Guards against frames above the size limit being decoded or encoded.
#[test]
fn oversized_frames_are_errors() {
    check_property(MAX_FRAME_BYTES + 1..=u32::MAX as usize, |length| {
        let prefix = u32::try_from(length).unwrap().to_be_bytes();
        let (decoded, end) = decode_all::<AttemptMessage>(&prefix, PREFIX_BYTES);
        assert_eq!(decoded, Vec::new());
        assert!(matches!(end, Err(FrameError::TooLarge { limit: MAX_FRAME_BYTES })), "{end:?}");
    });
    let data = Bytes::from(vec![0; MAX_FRAME_BYTES]);
    let message = AttemptMessage::Chunk { index: 0, data };
    let mut bytes = BytesMut::new();
    let error =
        Codec::<AttemptMessage>::new(MAX_FRAME_BYTES).encode(&message, &mut bytes).unwrap_err();
    assert!(matches!(error, FrameError::TooLarge { limit: MAX_FRAME_BYTES }));
    assert!(bytes.is_empty(), "part of the frame was written");
}

/// Guards against a Hello that does not start with the protocol version, which peers of other versions
/// could not read.
#[test]
fn hello_begins_with_the_protocol_version() {
    let hello = Hello {
        protocol: 300,
        id: PeerId::Entry("e".into()),
        zone: "z".into(),
        incarnation: Incarnation(1),
        version: Version(2),
    };
    let mut bytes = BytesMut::new();
    Codec::<Hello>::new(MAX_FRAME_BYTES).encode(&hello, &mut bytes).unwrap();
    // 300 as a postcard variable-length integer.
    assert_eq!(bytes[PREFIX_BYTES..PREFIX_BYTES + 2], [0xac, 0x02]);
}
