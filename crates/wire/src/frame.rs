//! Frames that consist of a four-byte length prefix and a postcard message.

use crate::error::FrameError;
use bytes::{Bytes, BytesMut};
use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder, FramedRead, FramedWrite, LengthDelimitedCodec};

/// Encodes and decodes frames with messages of type `T`.
#[derive(Debug)]
pub struct Codec<T> {
    inner: LengthDelimitedCodec,
    limit: usize,
    /// Whether the length prefix of a frame was consumed, but not its message.
    in_frame: bool,
    message: PhantomData<fn() -> T>,
}

pub(crate) type Reader<T> = FramedRead<RecvStream, Codec<T>>;
pub(crate) type Writer<T> = FramedWrite<SendStream, Codec<T>>;

impl<T> Codec<T> {
    /// Creates a codec for frames of at most `limit` bytes, not counting the prefix.
    pub fn new(limit: usize) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .length_field_type::<u32>()
            .max_frame_length(limit)
            .new_codec();
        Self { inner, limit, in_frame: false, message: PhantomData }
    }

    /// Converts the codec to another message type and limit, keeping its decoding state.
    pub(crate) fn into_codec<U>(self, limit: usize) -> Codec<U> {
        let mut inner = self.inner;
        inner.set_max_frame_length(limit);
        Codec { inner, limit, in_frame: self.in_frame, message: PhantomData }
    }

    fn convert_error(&self, error: io::Error) -> FrameError {
        match error.kind() {
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput => {
                FrameError::TooLarge { limit: self.limit }
            }
            _ => FrameError::Io(error),
        }
    }
}

impl<T: DeserializeOwned> Decoder for Codec<T> {
    type Item = T;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<T>, FrameError> {
        let before = source.len();
        match self.inner.decode(source) {
            Ok(Some(frame)) => {
                self.in_frame = false;
                decode_message(&frame).map(Some)
            }
            Ok(None) => {
                self.in_frame |= source.len() < before;
                Ok(None)
            }
            Err(error) => Err(self.convert_error(error)),
        }
    }

    fn decode_eof(&mut self, source: &mut BytesMut) -> Result<Option<T>, FrameError> {
        match self.decode(source)? {
            Some(message) => Ok(Some(message)),
            None if source.is_empty() && !self.in_frame => Ok(None),
            None => Err(FrameError::Truncated),
        }
    }
}

impl<T: Serialize> Encoder<&T> for Codec<T> {
    type Error = FrameError;

    fn encode(&mut self, message: &T, target: &mut BytesMut) -> Result<(), FrameError> {
        let frame = postcard::to_allocvec(message).map_err(FrameError::Malformed)?;
        self.inner.encode(Bytes::from(frame), target).map_err(|error| self.convert_error(error))
    }
}

fn decode_message<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(frame).map_err(FrameError::Malformed)? {
        (message, []) => Ok(message),
        // Bytes after the message mean that the peer uses other message types.
        _ => Err(FrameError::Malformed(postcard::Error::SerdeDeCustom)),
    }
}
