//! Simulated backend server: each additional concurrent stream slows all streams down, and an
//! attempt whose prefix is in the cache needs less work.

use damaskweir_core::ids::AttemptId;
use damaskweir_core::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Parameters of a simulated backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendProfile {
    /// Number of concurrent streams.
    pub(crate) slots: usize,
    /// Relative increase of the service time per additional concurrent stream.
    pub(crate) stream_slowdown: f64,
    /// Capacity of the prefix cache; 0 disables it.
    pub(crate) cache_prefixes: usize,
    /// Share of the work that a cache hit saves.
    pub(crate) hit_saving: f64,
}

/// A running stream: the server's position at its start, and the bits of the position at its end.
/// Positions count microseconds of work done per stream.
#[derive(Clone, Copy, Debug)]
struct Stream {
    start: f64,
    end: u64,
}

/// Result of looking up the prefix of an attempt in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CacheLookup {
    /// The server has no prefix cache.
    Disabled,
    /// The prefix was in the cache.
    Hit,
    /// The prefix was inserted; contains the evicted prefix, if any.
    Inserted(Option<u64>),
}

/// A simulated backend server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    profile: BackendProfile,
    /// Factor by which a fault slows the server down; 1 without a fault.
    slow_factor: f64,
    streams: BTreeMap<AttemptId, Stream>,
    /// Ends of the running streams. The bits of non-negative floats order like their values.
    ends: BTreeSet<(u64, AttemptId)>,
    /// Attempts without a slot, with the work that they need.
    queue: VecDeque<(AttemptId, Span)>,
    /// Work in microseconds that a stream running since the start of the run would have done.
    position: f64,
    updated: Time,
    /// Cached prefixes, least recently used first.
    prefixes: VecDeque<u64>,
}

impl Backend {
    pub(crate) fn new(profile: BackendProfile) -> Self {
        Self {
            profile,
            slow_factor: 1.0,
            streams: BTreeMap::new(),
            ends: BTreeSet::new(),
            queue: VecDeque::new(),
            position: 0.0,
            updated: Time(0),
            prefixes: VecDeque::new(),
        }
    }

    /// Starts an attempt, or queues it if all slots are taken.
    pub(crate) fn start(
        &mut self,
        now: Time,
        id: AttemptId,
        work: Span,
        prefix: u64,
    ) -> CacheLookup {
        self.advance(now);
        let lookup = self.touch_prefix(prefix);
        let hit = lookup == CacheLookup::Hit;
        let work = if hit { work.scale(1.0 - self.profile.hit_saving) } else { work };
        self.queue.push_back((id, work));
        self.start_queued();
        lookup
    }

    /// Aborts an attempt and returns the work that was spent on it.
    pub(crate) fn abort(&mut self, now: Time, id: AttemptId) -> Span {
        self.advance(now);
        self.queue.retain(|(waiting, _)| *waiting != id);
        let spent = self.remove_stream(id);
        self.start_queued();
        spent
    }

    /// Removes the attempts that are finished at `now` and returns the work spent on each.
    pub(crate) fn finish(&mut self, now: Time) -> Vec<(AttemptId, Span)> {
        self.advance(now);
        let mut done = Vec::new();
        while let Some((end, id)) = self.ends.first().copied() {
            // Events have whole microseconds, so allow for half a microsecond of rounding.
            if f64::from_bits(end) > self.position + 0.5 {
                break;
            }
            done.push((id, self.remove_stream(id)));
            self.start_queued();
        }
        done
    }

    /// Returns when the next attempt ends, provided that no other attempt starts or ends before.
    pub(crate) fn next_end(&self) -> Option<Time> {
        let (end, _) = self.ends.first()?;
        let left = (f64::from_bits(*end) - self.position).max(0.0);
        Some(self.updated + Span((left / self.rate()).ceil() as u64))
    }

    /// Sets the factor by which a fault slows the server down.
    pub(crate) fn set_slow_factor(&mut self, now: Time, factor: f64) {
        self.advance(now);
        self.slow_factor = factor;
    }

    /// Drops all attempts and cached prefixes. Returns the work spent on each running attempt.
    pub(crate) fn crash(&mut self, now: Time) -> Vec<(AttemptId, Span)> {
        self.advance(now);
        self.queue.clear();
        self.prefixes.clear();
        let ids: Vec<_> = self.streams.keys().copied().collect();
        ids.into_iter().map(|id| (id, self.remove_stream(id))).collect()
    }

    /// Returns the number of queued attempts.
    pub(crate) fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the work that each stream does per microsecond.
    fn rate(&self) -> f64 {
        let others = self.streams.len().saturating_sub(1) as f64;
        1.0 / ((1.0 + self.profile.stream_slowdown * others) * self.slow_factor)
    }

    fn advance(&mut self, now: Time) {
        self.position += now.since(self.updated).0 as f64 * self.rate();
        self.updated = now;
    }

    fn start_queued(&mut self) {
        while self.streams.len() < self.profile.slots {
            let Some((id, work)) = self.queue.pop_front() else { break };
            let end = (self.position + work.0 as f64).to_bits();
            self.streams.insert(id, Stream { start: self.position, end });
            self.ends.insert((end, id));
        }
    }

    fn remove_stream(&mut self, id: AttemptId) -> Span {
        let Some(stream) = self.streams.remove(&id) else { return Span::ZERO };
        self.ends.remove(&(stream.end, id));
        Span((self.position - stream.start) as u64)
    }

    /// Makes a prefix the most recently used one, inserting it if necessary.
    fn touch_prefix(&mut self, prefix: u64) -> CacheLookup {
        if self.profile.cache_prefixes == 0 {
            return CacheLookup::Disabled;
        }
        let found = self.prefixes.iter().position(|kept| *kept == prefix);
        if let Some(i) = found {
            self.prefixes.remove(i);
        }
        self.prefixes.push_back(prefix);
        if found.is_some() {
            return CacheLookup::Hit;
        }
        let full = self.prefixes.len() > self.profile.cache_prefixes;
        CacheLookup::Inserted(full.then(|| self.prefixes.pop_front()).flatten())
    }
}
