//! Room for results at one server, as its owner knows it.
//!
//! Answers loads in which results fill a server's room before its calls fill its time: what is counted as
//! lying there too long leaves room unused, what is not counted has results made that find no room.

use crate::time::Time;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Names a result; made of its handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResultKey(u64);

impl From<&str> for ResultKey {
    fn from(handle: &str) -> Self {
        Self(xxh3_64(handle.as_bytes()))
    }
}

/// Results that lie at one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Room {
    /// Results that this owner had made: when they are gone at the latest, and their bytes.
    known: BTreeMap<ResultKey, (Time, u64)>,
    /// Bytes of which only the amount is known, such as those made for an owner before, in the order in
    /// which they are gone.
    unknown: VecDeque<(Time, u64)>,
}

impl Room {
    /// A result lies there until a time at the latest. Whoever has it may end without giving it back.
    pub(crate) fn made(&mut self, key: ResultKey, gone: Time, bytes: u64) {
        self.known.insert(key, (gone, bytes));
    }

    /// Some bytes seem to lie there that this owner does not know of.
    pub(crate) fn suspect(&mut self, gone: Time, bytes: u64) {
        let at = self.unknown.partition_point(|(other, _)| *other <= gone);
        self.unknown.insert(at, (gone, bytes));
    }

    /// A result was given back.
    pub(crate) fn freed(&mut self, key: ResultKey, mut bytes: u64) {
        if self.known.remove(&key).is_some() {
            return;
        }
        while let Some((_, held)) = self.unknown.front_mut().filter(|_| bytes > 0) {
            let taken = bytes.min(*held);
            *held -= taken;
            bytes -= taken;
            if *held == 0 {
                self.unknown.pop_front();
            }
        }
    }

    /// Forgets what is gone by now.
    pub(crate) fn expire(&mut self, now: Time) {
        self.known.retain(|_, (gone, _)| *gone > now);
        self.unknown.retain(|(gone, _)| *gone > now);
    }

    /// Bytes that lie there.
    pub(crate) fn lying(&self) -> u64 {
        let known: u64 = self.known.values().map(|(_, bytes)| bytes).sum();
        known + self.unknown.iter().map(|(_, bytes)| bytes).sum::<u64>()
    }
}
