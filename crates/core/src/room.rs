//! Memory that results occupy on one server, as tracked by its owner.
//!
//! Matters for pools whose throughput is limited by result memory rather than by processing time. If
//! results are counted for too long, memory stays unused. If they are not counted, the server drops new
//! results because it has no room for them.

use crate::time::Time;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a result handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResultKey(u64);

impl From<&str> for ResultKey {
    fn from(handle: &str) -> Self {
        Self(xxh3_64(handle.as_bytes()))
    }
}

/// Bytes that results occupy on one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResultUsage {
    /// Results made for this owner: expiry time and size in bytes.
    tracked: BTreeMap<ResultKey, (Time, u64)>,
    /// Estimated bytes of results that are not known one by one, such as those made for a previous
    /// owner; sorted by expiry time.
    untracked: VecDeque<(Time, u64)>,
}

impl ResultUsage {
    /// Adds a result. It expires because its holder may stop without releasing it.
    pub(crate) fn add(&mut self, key: ResultKey, expires: Time, bytes: u64) {
        self.tracked.insert(key, (expires, bytes));
    }

    /// Adds an estimate of bytes that results unknown to this owner occupy.
    pub(crate) fn add_untracked(&mut self, expires: Time, bytes: u64) {
        let at = self.untracked.partition_point(|(other, _)| *other <= expires);
        self.untracked.insert(at, (expires, bytes));
    }

    /// Removes a released result. If it is not tracked, its bytes are deducted from the untracked ones.
    pub(crate) fn remove(&mut self, key: ResultKey, mut bytes: u64) {
        if self.tracked.remove(&key).is_some() {
            return;
        }
        while let Some((_, remaining)) = self.untracked.front_mut().filter(|_| bytes > 0) {
            let taken = bytes.min(*remaining);
            *remaining -= taken;
            bytes -= taken;
            if *remaining == 0 {
                self.untracked.pop_front();
            }
        }
    }

    /// Removes what has expired.
    pub(crate) fn expire(&mut self, now: Time) {
        self.tracked.retain(|_, (expires, _)| *expires > now);
        self.untracked.retain(|(expires, _)| *expires > now);
    }

    /// When the next part of it expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        let tracked = self.tracked.values().map(|(expires, _)| *expires).min();
        let untracked = self.untracked.front().map(|(expires, _)| *expires);
        tracked.into_iter().chain(untracked).min()
    }

    /// Occupied bytes, tracked and untracked.
    pub(crate) fn used(&self) -> u64 {
        let tracked: u64 = self.tracked.values().map(|(_, bytes)| bytes).sum();
        tracked + self.untracked.iter().map(|(_, bytes)| bytes).sum::<u64>()
    }
}
