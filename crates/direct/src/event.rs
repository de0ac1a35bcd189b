//! Splits a byte stream into server-sent events without changing their bytes.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event in bytes. A longer one is treated as a fault of the server.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// A complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of its `id` field, if it is a number.
    pub id: Option<u64>,
    /// The event as it was received.
    pub bytes: Bytes,
}

/// Buffers bytes and splits them into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Number of bytes at the start of `buf` known not to contain the end of an event.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes and returns whether the buffer is within the limit of one event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_BYTES_MAX
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Returns whether a complete event is buffered.
    pub fn has_event(&mut self) -> bool {
        self.event_end().is_some()
    }

    /// Returns whether any bytes are buffered. After `next_event` has returned `None`, these are the start
    /// of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the number of bytes that the buffer can hold.
    pub fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    /// Gives back the memory of events that were removed.
    pub fn shrink(&mut self) {
        self.buf = BytesMut::from(&self.buf[..]);
    }

    fn event_end(&mut self) -> Option<usize> {
        let mut from = self.scanned;
        while let Some(at) = memchr::memchr(b'\n', &self.buf[from..]) {
            let next = from + at + 1;
            match &self.buf[next..] {
                [b'\n', ..] => return Some(next + 1),
                [b'\r', b'\n', ..] => return Some(next + 2),
                [] | [b'\r'] => return None,
                _ => from = next,
            }
            self.scanned = from;
        }
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
