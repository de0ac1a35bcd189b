//! Server-sent events, cut out of a byte stream without changing a byte.

use bytes::{Bytes, BytesMut};

/// Bytes of one event; a longer one is taken as a fault of the server.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// One whole event with the empty line at its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of its `id` field.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Bytes at the start of `buf` that hold no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes. `false`: an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_BYTES_MAX
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Whether a whole event is there.
    pub fn has_event(&mut self) -> bool {
        self.event_end().is_some()
    }

    /// Whether bytes of an event that is not whole are left.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
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
