//! Memory for what callers and servers send. All connections of an entry share it, so that long bodies and
//! answers without end don't add up to more than the process may use.

use crate::event::{Event, Splitter};
use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size in bytes up to which a buffer is part of the memory that each request has anyway.
const SMALL_BUFFER_BYTES: usize = 16 * 1024;

/// Size in bytes of the blocks of a body.
const BLOCK_BYTES: usize = 64 * 1024;

/// Why bytes can't be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BufferError {
    /// The body or event is too large.
    #[error("body or event too large")]
    TooLarge,
    /// Everything that the entry buffers is too much together.
    #[error("no memory left for buffers")]
    NoMemory,
}

/// A limit in bytes, and how much of it is in use.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    /// Sum of all reservations. Atomic because `Bytes`, which hold some, may be sent to other threads.
    used: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { shared: Arc::new(Shared { limit, used: AtomicUsize::new(0) }) }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Returns a reservation without any bytes.
    pub fn reservation(&self) -> Reservation {
        Reservation { shared: self.shared.clone(), bytes: 0 }
    }

    /// Reserves bytes, or returns `None` if fewer are left.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.reservation();
        reservation.resize(bytes).then_some(reservation)
    }
}

/// Bytes of a budget that are in use until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Reservation {
    /// Changes the number of bytes. Returns `false`, and changes nothing, if that many more are not left.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let (own, limit) = (self.bytes, self.shared.limit);
        let change = |used: usize| {
            let total = (used - own).saturating_add(bytes);
            (bytes <= own || total <= limit).then_some(total)
        };
        let used = &self.shared.used;
        let changed = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change).is_ok();
        if changed {
            self.bytes = bytes;
        }
        changed
    }

    /// Changes the number of bytes to what a buffer of this capacity needs. Returns `false`, and changes
    /// nothing, if that many more are not left.
    pub fn fit(&mut self, capacity: usize) -> bool {
        self.resize(if capacity > SMALL_BUFFER_BYTES { capacity } else { 0 })
    }

    /// Whether no bytes are reserved.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Moves up to `bytes` into a reservation of their own.
    pub fn split_off(&mut self, bytes: usize) -> Self {
        let moved = bytes.min(self.bytes);
        self.bytes -= moved;
        Self { shared: self.shared.clone(), bytes: moved }
    }

    /// Moves the reservation into the bytes, which return it when their last copy is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(ReservedBytes { bytes, _reservation: self }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Collects a body, in blocks: one buffer that grows would be copied into a larger one again and again, and
/// leave gaps of all sizes in the heap.
#[derive(Debug)]
pub struct BodyBuffer {
    /// All but the last one are full.
    blocks: Vec<Block>,
    /// For bytes that are still to come.
    ahead: Reservation,
    size: usize,
    limit: usize,
}

#[derive(Debug)]
struct Block {
    bytes: BytesMut,
    reserved: Reservation,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `limit` bytes.
    pub fn new(limit: usize, memory: &MemoryBudget) -> Self {
        Self { blocks: Vec::new(), ahead: memory.reservation(), size: 0, limit }
    }

    /// Reserves the memory for a body of `size` bytes, so that it isn't refused after a part of it was read.
    pub fn reserve(&mut self, size: usize) -> Result<(), BufferError> {
        let needed = if size > SMALL_BUFFER_BYTES { size.next_multiple_of(BLOCK_BYTES) } else { 0 };
        match self.ahead.resize(needed) {
            true => Ok(()),
            false => Err(BufferError::NoMemory),
        }
    }

    /// Adds bytes.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), BufferError> {
        self.size += bytes.len();
        if self.size > self.limit {
            return Err(BufferError::TooLarge);
        }
        while !bytes.is_empty() {
            let block = match self.blocks.pop_if(|block| block.bytes.len() < BLOCK_BYTES) {
                Some(block) => block,
                None => Block::new(self.ahead.split_off(BLOCK_BYTES)),
            };
            let (now, later) = bytes.split_at(bytes.len().min(BLOCK_BYTES - block.bytes.len()));
            self.blocks.push(block.with(now)?);
            bytes = later;
        }
        Ok(())
    }

    /// Returns the body in parts, each of which holds its part of the memory until its last copy is dropped.
    pub fn into_parts(self) -> Vec<Bytes> {
        self.blocks.into_iter().map(Block::freeze).collect()
    }

    /// Returns the body in one piece.
    pub fn finish(self) -> Bytes {
        let mut parts = self.into_parts();
        match parts.len() {
            0 | 1 => parts.pop().unwrap_or_default(),
            _ => parts.concat().into(),
        }
    }
}

impl Block {
    fn new(reserved: Reservation) -> Self {
        Self { bytes: BytesMut::with_capacity(reserved.bytes), reserved }
    }

    fn with(mut self, bytes: &[u8]) -> Result<Self, BufferError> {
        self.bytes.extend_from_slice(bytes);
        match self.reserved.fit(self.bytes.capacity()) {
            true => Ok(self),
            false => Err(BufferError::NoMemory),
        }
    }

    fn freeze(self) -> Bytes {
        self.reserved.attach(self.bytes.freeze())
    }
}

/// Buffers the events of a stream.
#[derive(Debug)]
pub struct EventBuffer {
    splitter: Splitter,
    reserved: Reservation,
}

impl EventBuffer {
    /// Creates an empty buffer.
    pub fn new(memory: &MemoryBudget) -> Self {
        Self { splitter: Splitter::default(), reserved: memory.reservation() }
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BufferError> {
        if !self.splitter.push(bytes) {
            return Err(BufferError::TooLarge);
        }
        match self.reserved.fit(self.splitter.capacity()) {
            true => Ok(()),
            false => Err(BufferError::NoMemory),
        }
    }

    /// Removes all complete events, and returns those that are wanted.
    pub fn take_events(&mut self, mut wanted: impl FnMut(&Event) -> bool) -> Bytes {
        let mut out = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if wanted(&event) {
                out.extend_from_slice(&event.bytes);
            }
        }
        if self.reserved.is_empty() {
            return out.freeze();
        }
        self.splitter.shrink();
        let taken = self.reserved.split_off(out.len());
        let rest = self.reserved.split_off(self.splitter.capacity());
        self.reserved = rest;
        taken.attach(out.freeze())
    }

    /// Whether a complete event is buffered.
    pub fn has_event(&mut self) -> bool {
        self.splitter.has_event()
    }

    /// Whether any bytes are buffered. After `take_events`, these are the start of an incomplete event.
    pub fn has_partial(&self) -> bool {
        self.splitter.has_partial()
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
