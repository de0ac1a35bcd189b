//! Stand-in for a backend server: streams share it, each further one slows all, and prefixes that
//! were seen lately save work.

use damaskweir_core::ids::AttemptId;
use damaskweir_core::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How a backend server behaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Behaviour {
    pub(crate) slots: usize,
    pub(crate) slowdown: f64,
    pub(crate) cache: usize,
    pub(crate) gain: f64,
}

/// A stream that runs. Positions count microseconds of work done per stream.
#[derive(Clone, Copy, Debug)]
struct Stream {
    start: f64,
    end: u64,
}

/// What an attempt's prefix did to the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Touch {
    /// The server keeps no prefixes.
    Off,
    /// It was kept from an earlier attempt.
    Hit,
    /// It was added, and this one was dropped for it.
    Added(Option<u64>),
}

/// One backend server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    behaviour: Behaviour,
    /// How many times slower than usual.
    slowed: f64,
    streams: BTreeMap<AttemptId, Stream>,
    /// Ends of the running streams: bits of the position, which order like the positions.
    ends: BTreeSet<(u64, AttemptId)>,
    inner: VecDeque<(AttemptId, Span)>,
    /// Work that each running stream has done since the start of the run.
    position: f64,
    updated: Time,
    prefixes: VecDeque<u64>,
}

impl Backend {
    pub(crate) fn new(behaviour: Behaviour) -> Self {
        Self {
            behaviour,
            slowed: 1.0,
            streams: BTreeMap::new(),
            ends: BTreeSet::new(),
            inner: VecDeque::new(),
            position: 0.0,
            updated: Time(0),
            prefixes: VecDeque::new(),
        }
    }

    /// Starts an attempt.
    pub(crate) fn start(&mut self, now: Time, id: AttemptId, work: Span, prefix: u64) -> Touch {
        self.advance(now);
        let touch = self.touch(prefix);
        let hit = touch == Touch::Hit;
        let work = if hit { work.scale(1.0 - self.behaviour.gain) } else { work };
        self.inner.push_back((id, work));
        self.fill();
        touch
    }

    /// Ends an attempt early and returns the work that was spent on it.
    pub(crate) fn abort(&mut self, now: Time, id: AttemptId) -> Span {
        self.advance(now);
        self.inner.retain(|(waiting, _)| *waiting != id);
        let spent = self.remove(id);
        self.fill();
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
            done.push((id, self.remove(id)));
            self.fill();
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
    pub(crate) fn slow(&mut self, now: Time, factor: f64) {
        self.advance(now);
        self.slowed = factor;
    }

    /// Ends everything and forgets all prefixes. Returns the work spent on each running attempt.
    pub(crate) fn crash(&mut self, now: Time) -> Vec<(AttemptId, Span)> {
        self.advance(now);
        self.inner.clear();
        self.prefixes.clear();
        let ids: Vec<_> = self.streams.keys().copied().collect();
        ids.into_iter().map(|id| (id, self.remove(id))).collect()
    }

    /// Attempts that wait inside.
    pub(crate) fn waiting(&self) -> u32 {
        self.inner.len() as u32
    }

    /// Work per microsecond of each stream.
    fn rate(&self) -> f64 {
        let others = self.streams.len().saturating_sub(1) as f64;
        1.0 / ((1.0 + self.behaviour.slowdown * others) * self.slowed)
    }

    fn advance(&mut self, now: Time) {
        self.position += now.since(self.updated).0 as f64 * self.rate();
        self.updated = now;
    }

    fn fill(&mut self) {
        while self.streams.len() < self.behaviour.slots {
            let Some((id, work)) = self.inner.pop_front() else { break };
            let end = (self.position + work.0 as f64).to_bits();
            self.streams.insert(id, Stream { start: self.position, end });
            self.ends.insert((end, id));
        }
    }

    fn remove(&mut self, id: AttemptId) -> Span {
        let Some(stream) = self.streams.remove(&id) else { return Span::ZERO };
        self.ends.remove(&(stream.end, id));
        Span((self.position - stream.start) as u64)
    }

    /// Marks a prefix as used last.
    fn touch(&mut self, prefix: u64) -> Touch {
        if self.behaviour.cache == 0 {
            return Touch::Off;
        }
        let found = self.prefixes.iter().position(|kept| *kept == prefix);
        if let Some(i) = found {
            self.prefixes.remove(i);
        }
        self.prefixes.push_back(prefix);
        if found.is_some() {
            return Touch::Hit;
        }
        let full = self.prefixes.len() > self.behaviour.cache;
        Touch::Added(full.then(|| self.prefixes.pop_front()).flatten())
    }
}
