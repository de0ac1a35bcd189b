//! Response bodies of the entry's listeners.

use bytes::Bytes;
use futures::Stream;
use http_body::Frame;
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Why a stream was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stream aborted: {0}")]
pub struct StreamError(pub &'static str);

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>>>>;

/// Body of a response, either complete or streamed.
pub enum Body {
    /// What is left to send of a complete body. No part is empty.
    Full(VecDeque<Bytes>),
    /// A stream of chunks. An error aborts the connection, so that the response does not look complete.
    Stream(Chunks),
}

impl Body {
    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::Full(VecDeque::new())
    }

    /// Returns a body of known length.
    pub fn full(bytes: Bytes) -> Self {
        Self::parts(vec![bytes])
    }

    /// Returns a body of known length from its parts.
    pub fn parts(parts: Vec<Bytes>) -> Self {
        Self::Full(parts.into_iter().filter(|part| !part.is_empty()).collect())
    }

    /// Returns a body that sends the chunks of a stream as they arrive.
    pub fn stream(chunks: impl Stream<Item = Result<Bytes, StreamError>> + 'static) -> Self {
        Self::Stream(Box::pin(chunks))
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(parts) => f.debug_tuple("Full").field(parts).finish(),
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
            Self::Full(parts) => Poll::Ready(parts.pop_front().map(|part| Ok(Frame::data(part)))),
            Self::Stream(chunks) => {
                chunks.as_mut().poll_next(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(parts) if parts.is_empty())
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Full(parts) => {
                http_body::SizeHint::with_exact(parts.iter().map(|part| part.len() as u64).sum())
            }
            Self::Stream(_) => http_body::SizeHint::default(),
        }
    }
}
