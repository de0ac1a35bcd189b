//! Bodies of answers to callers.

use bytes::Bytes;
use futures::Stream;
use http_body::Frame;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Why a stream was broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stream broken off: {0}")]
pub struct StreamError(pub &'static str);

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>>>>;

/// A whole body, or one that is passed on as it comes.
pub enum Body {
    /// All of it.
    Full(Option<Bytes>),
    /// Part by part. An error breaks the connection off, so that the answer does not look complete.
    Stream(Chunks),
}

impl Body {
    /// Nothing.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// These bytes.
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// The parts of a stream.
    pub fn stream(chunks: impl Stream<Item = Result<Bytes, StreamError>> + 'static) -> Self {
        Self::Stream(Box::pin(chunks))
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(bytes) => f.debug_tuple("Full").field(bytes).finish(),
            Self::Stream(_) => f.write_str("Stream"),
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => {
                chunks.as_mut().poll_next(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Full(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) => http_body::SizeHint::default(),
        }
    }
}
