//! Stand-in for a backend server: streams share it, each further one slows all, and prefixes that
//! were seen lately save work.

use damaskweir_core::ids::AttemptId;
use damaskweir_core::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How a backend server behaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendProfile {
    pub(crate) slots: usize,
    pub(crate) stream_slowdown: f64,
    pub(crate) cache_prefixes: usize,
    pub(crate) hit_saving: f64,
}

/// A stream that runs. Positions count microseconds of work done per stream.
#[derive(Clone, Copy, Debug)]
struct Stream {
    start: f64,
    end: u64,
}

/// What an attempt's prefix did to the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CacheLookup {
    /// The server keeps no prefixes.
    Disabled,
    /// It was kept from an earlier attempt.
    Hit,
    /// It was added, and this one was dropped for it.
    Inserted(Option<u64>),
}

/// One backend server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    profile: BackendProfile,
    /// How many times slower than usual.
    slow_factor: f64,
    streams: BTreeMap<AttemptId, Stream>,
    /// Ends of the running streams: bits of the position, which order like the positions.
    ends: BTreeSet<(u64, AttemptId)>,
    queue: VecDeque<(AttemptId, Span)>,
    /// Work that each running stream has done since the start of the run.
    position: f64,
    updated: Time,
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

    /// Starts an attempt.
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

    /// Ends an attempt early and returns the work that was spent on it.
    pub(crate) fn abort(&mut self, now: Time, id: AttemptId) -> Span {
        self.advance(now);
        self.queue.retain(|(waiting, _)| *waiting != id);
        let spent = self.remove_stream(id);
        self.start_queued();
        spent
    }

    /// Ends the attempts that are done by now, with the work that was spent on each.
    pub(crate) fn finish(&mut self, now: Time) -> Vec<(AttemptId, Span)> {
        self.advance(now);
        let mut done = Vec::new();
        while let Some((end, id)) = self.ends.first().copied() {
            // Half a microsecond of rounding, since events fall on whole microseconds.
            if f64::from_bits(end) > self.position + 0.5 {
                break;
            }
            done.push((id, self.remove_stream(id)));
            self.start_queued();
        }
        done
    }

    /// When the next attempt ends if nothing changes.
    pub(crate) fn next_end(&self) -> Option<Time> {
        let (end, _) = self.ends.first()?;
        let left = (f64::from_bits(*end) - self.position).max(0.0);
        Some(self.updated + Span((left / self.rate()).ceil() as u64))
    }

    /// Changes how many times slower than usual the server is.
    pub(crate) fn set_slow_factor(&mut self, now: Time, factor: f64) {
        self.advance(now);
        self.slow_factor = factor;
    }

    /// Ends everything and forgets all prefixes. Returns the work spent on each running attempt.
    pub(crate) fn crash(&mut self, now: Time) -> Vec<(AttemptId, Span)> {
        self.advance(now);
        self.queue.clear();
        self.prefixes.clear();
        let ids: Vec<_> = self.streams.keys().copied().collect();
        ids.into_iter().map(|id| (id, self.remove_stream(id))).collect()
    }

    /// Attempts that wait inside.
    pub(crate) fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Work per microsecond of each stream.
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

    /// Marks a prefix as used last.
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
