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
pub(crate) struct ResultUsage {
    /// Results that this owner had made: when they are gone at the latest, and their bytes.
    tracked: BTreeMap<ResultKey, (Time, u64)>,
    /// Bytes of which only the amount is known, such as those made for an owner before, in the order in
    /// which they are gone.
    untracked: VecDeque<(Time, u64)>,
}

impl ResultUsage {
    /// A result lies there until a time at the latest. Whoever has it may end without giving it back.
    pub(crate) fn add(&mut self, key: ResultKey, expires: Time, bytes: u64) {
        self.tracked.insert(key, (expires, bytes));
    }

    /// Some bytes seem to lie there that this owner does not know of.
    pub(crate) fn add_untracked(&mut self, expires: Time, bytes: u64) {
        let at = self.untracked.partition_point(|(other, _)| *other <= expires);
        self.untracked.insert(at, (expires, bytes));
    }

    /// A result was given back.
    pub(crate) fn remove(&mut self, key: ResultKey, mut bytes: u64) {
        if self.tracked.remove(&key).is_some() {
            return;
        }
        while let Some((_, held)) = self.untracked.front_mut().filter(|_| bytes > 0) {
            let taken = bytes.min(*held);
            *held -= taken;
            bytes -= taken;
            if *held == 0 {
                self.untracked.pop_front();
            }
        }
    }

    /// Forgets what is gone by now.
    pub(crate) fn expire(&mut self, now: Time) {
        self.tracked.retain(|_, (expires, _)| *expires > now);
        self.untracked.retain(|(expires, _)| *expires > now);
    }

    /// Bytes that lie there.
    pub(crate) fn used(&self) -> u64 {
        let tracked: u64 = self.tracked.values().map(|(_, bytes)| bytes).sum();
        tracked + self.untracked.iter().map(|(_, bytes)| bytes).sum::<u64>()
    }
}
