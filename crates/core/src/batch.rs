//! Gathers pieces of many requests into calls to the servers of one stage pool.
//!
//! Answers loads in which a call takes a fixed time whatever it carries and a server works on one call
//! at a time: pieces wait while the own server works, and leave together when it is free. Each entry
//! has a home server, so that entries do not queue behind each other; other servers are used when more
//! waits than the home can take.

use crate::catalog::PieceSpec;
use crate::fleet::Replica;
use crate::ids::ServerId;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// Time for which a first piece waits for others, since requests arrive in clumps.
const GATHER: Span = Span::from_millis(6);
/// Time after a reply that told of waiting calls in which a server that is not the home is left alone.
const CROWD_MEMORY: Span = Span::from_millis(400);
/// A call that takes this many times the expected time, and a while longer, is taken as lost.
const LATE_FACTOR: f64 = 2.2;
/// Added to that.
const LATE_MORE: Span = Span::from_millis(250);
/// First and longest pause after a call that failed.
const PAUSES: (Span, Span) = (Span::from_millis(300), Span::from_secs(3));
/// Weight of a new call in the pace of a server.
const PACE_WEIGHT: f64 = 0.3;
/// Time after which the pace of a server counts for about a third.
const PACE_MEMORY: Span = Span::from_secs(4);
/// Part of a server's room for results that one entry plans with.
const ROOM_PART: f64 = 0.9;

/// Names a waiting piece; given by the caller of the batcher, unique in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceId(pub u64);

/// A piece that waits for a call.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// The piece.
    pub id: PieceId,
    /// When it must be done for an answer within the objective.
    pub due: Time,
    /// When its result is of no use any more.
    pub deadline: Time,
    /// Room that its result takes.
    pub bytes: u64,
    /// When it began to wait.
    pub arrived: Time,
}

/// Pieces to send in one call.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Where to.
    pub server: Replica,
    /// At most as many as the pool's limit.
    pub pieces: Vec<Waiting>,
    /// When the call is taken as lost.
    pub late: Time,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was worked on. Calls that waited at the server when it ended.
    Done {
        /// Calls that wait at the server.
        waiting: u32,
    },
    /// Refused as full.
    Full,
    /// Refused or broken.
    Failed,
    /// Not answered in time.
    Late,
}

#[derive(Clone, Debug)]
struct Open {
    sent: Time,
    expected: Span,
    late: Time,
}

#[derive(Clone, Debug)]
struct Maker {
    replica: Replica,
    open: Vec<Open>,
    paused: Time,
    pause: Span,
    crowded: Time,
    pace: f64,
    paced: Time,
    /// Bytes of results that this entry has there.
    held: u64,
}

/// Waiting pieces and servers of one stage pool.
#[derive(Clone, Debug)]
pub struct Batcher {
    spec: PieceSpec,
    makers: BTreeMap<ServerId, Maker>,
    waiting: Vec<Waiting>,
    /// Position of this entry among all, and their number.
    place: (usize, usize),
}

impl Batcher {
    /// A pool without servers.
    pub fn new(spec: PieceSpec) -> Self {
        Self { spec, makers: BTreeMap::new(), waiting: Vec::new(), place: (0, 1) }
    }

    /// Takes new limits.
    pub fn set_spec(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Sets the position of this entry among all entries, which chooses its home server.
    pub fn set_place(&mut self, position: usize, entries: usize) {
        self.place = (position, entries.max(1));
    }

    /// A server may be used.
    pub fn add(&mut self, replica: Replica) {
        let maker = Maker {
            open: Vec::new(),
            paused: Time::default(),
            pause: PAUSES.0,
            crowded: Time::default(),
            pace: 1.0,
            paced: Time::default(),
            held: 0,
            replica,
        };
        self.makers.insert(maker.replica.id.clone(), maker);
    }

    /// A server gets no new work.
    pub fn remove(&mut self, id: &ServerId) {
        self.makers.remove(id);
    }

    /// Servers that may be used.
    pub fn servers(&self) -> usize {
        self.makers.len()
    }

    /// Pieces that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no piece waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: Waiting) {
        self.waiting.push(piece);
    }

    /// Takes a piece out that is not needed any more.
    pub fn cancel(&mut self, id: PieceId) {
        self.waiting.retain(|piece| piece.id != id);
    }

    /// Takes out all pieces that cannot be done before their deadline.
    pub fn expired(&mut self, now: Time) -> Vec<PieceId> {
        let least = self.spec.call + self.spec.item;
        let late = |piece: &Waiting| piece.deadline < now + least;
        let out = self.waiting.iter().filter(|p| late(p)).map(|p| p.id).collect();
        self.waiting.retain(|piece| !late(piece));
        out
    }

    /// The next call to make, if one should be made now.
    pub fn plan(&mut self, now: Time) -> Option<Batch> {
        let oldest = self.waiting.iter().map(|piece| piece.arrived).min()?;
        let enough = self.waiting.len() >= self.spec.batch || now.since(oldest) >= GATHER;
        if !enough {
            return None;
        }
        let id = self.free_server(now)?;
        let maker = self.makers.get_mut(&id)?;
        let room = ((self.spec.room as f64 * ROOM_PART) as u64).saturating_sub(maker.held);
        let least = self.spec.call + self.spec.item;
        // Pieces that can still be in time go first, the most urgent of them ahead.
        self.waiting.sort_by_key(|piece| (piece.due < now + least, piece.due, piece.id));
        let mut bytes = 0;
        let mut pieces = Vec::new();
        for piece in &self.waiting {
            let fits = bytes + piece.bytes <= room || (pieces.is_empty() && maker.held == 0);
            if !fits || pieces.len() >= self.spec.batch {
                break;
            }
            bytes += piece.bytes;
            pieces.push(*piece);
        }
        if pieces.is_empty() {
            return None;
        }
        self.waiting.drain(..pieces.len());
        let work = self.spec.call + self.spec.item * pieces.len() as u64;
        let expected = work.scale(maker.paced_at(now)) + maker.remaining(now);
        let late = now + expected.scale(LATE_FACTOR) + LATE_MORE;
        maker.open.push(Open { sent: now, expected, late });
        maker.held += bytes;
        Some(Batch { server: maker.replica.clone(), pieces, late })
    }

    /// When `plan` should be asked again although nothing ended or arrived.
    pub fn wake(&self, now: Time) -> Option<Time> {
        let oldest = self.waiting.iter().map(|piece| piece.arrived).min()?;
        let gathered = oldest + GATHER;
        if gathered > now {
            return Some(gathered);
        }
        let rested = self.makers.values().map(|maker| maker.paused.max(maker.crowded));
        let soon = rested.filter(|at| *at > now).min();
        let late = self.makers.values().flat_map(|maker| &maker.open).map(|open| open.late);
        soon.into_iter().chain(late.filter(|at| *at > now)).min()
    }

    /// A call ended. `sent`: when it was planned; `pieces`: how many it carried.
    pub fn ended(&mut self, now: Time, id: &ServerId, sent: Time, pieces: usize, end: CallEnd) {
        let Some(maker) = self.makers.get_mut(id) else { return };
        let Some(i) = maker.open.iter().position(|open| open.sent == sent) else { return };
        let alone = maker.open.len() == 1;
        maker.open.remove(i);
        match end {
            CallEnd::Done { waiting } => {
                let work = self.spec.call + self.spec.item * pieces as u64;
                let ratio = now.since(sent).0 as f64 / work.0.max(1) as f64;
                if alone && waiting == 0 {
                    let pace = maker.paced_at(now);
                    maker.pace = pace + (ratio.clamp(0.5, 10.0) - pace) * PACE_WEIGHT;
                    maker.paced = now;
                }
                maker.pause = PAUSES.0;
                maker.crowded = if waiting > 0 { now + CROWD_MEMORY } else { Time::default() };
            }
            CallEnd::Full => maker.crowded = now + CROWD_MEMORY,
            CallEnd::Late => {
                let work = self.spec.call + self.spec.item * pieces as u64;
                let ratio = now.since(sent).0 as f64 / work.0.max(1) as f64;
                maker.pace = maker.paced_at(now).max(ratio.min(10.0));
                maker.paced = now;
            }
            CallEnd::Failed => {
                maker.paused = now + maker.pause;
                maker.pause = Span((maker.pause.0 * 2).min(PAUSES.1.0));
            }
        }
    }

    /// Results were given back, or will never be made.
    pub fn freed(&mut self, id: &ServerId, bytes: u64) {
        if let Some(maker) = self.makers.get_mut(id) {
            maker.held = maker.held.saturating_sub(bytes);
        }
    }

    /// Predicted time until a piece that arrives now is done.
    pub fn predict(&self, now: Time, pieces: usize) -> Option<Span> {
        let ahead = self.waiting.len() + pieces;
        let entries = self.place.1.max(1);
        let usable: Vec<_> = self.makers.values().filter(|m| m.paused <= now).collect();
        let share = (usable.len() as f64 / entries as f64).max(0.25);
        let pace = usable.iter().map(|m| m.paced_at(now)).sum::<f64>() / usable.len().max(1) as f64;
        if self.makers.is_empty() {
            return None;
        }
        let calls = (ahead as f64 / self.spec.batch.max(1) as f64).ceil();
        let last = ahead.min(self.spec.batch) as u64;
        let each = (self.spec.call + self.spec.item * last).scale(pace.max(1.0));
        let busy = self.home(now).map_or(Span::ZERO, |maker| maker.remaining(now));
        Some(busy + each.scale((calls / share).max(1.0)))
    }

    /// A server for the next call: the home when it is free, another one when enough waits.
    fn free_server(&self, now: Time) -> Option<ServerId> {
        let rested = |maker: &&Maker| maker.paused <= now;
        let home = self.home(now);
        if let Some(home) = home.filter(|home| home.open.is_empty()) {
            return Some(home.replica.id.clone());
        }
        let n = self.waiting.len();
        let batch = self.spec.batch.max(1);
        let owned = self.place.1.min(self.makers.len());
        let spare = |i: usize| i >= owned;
        // Servers that are no entry's home take work early, the others only full calls.
        let allowed = |i: usize| if spare(i) { n * 3 >= batch } else { n >= batch };
        let idle = |maker: &Maker| maker.open.is_empty() && maker.crowded <= now;
        let start = self.place.0 % self.makers.len().max(1);
        let turn = |i: usize| (i + self.makers.len() - start) % self.makers.len().max(1);
        self.makers
            .values()
            .enumerate()
            .filter(|(i, maker)| rested(maker) && idle(maker) && allowed(*i))
            .min_by_key(|(i, maker)| ((maker.paced_at(now) * 4.0) as u64, !spare(*i), turn(*i)))
            .map(|(_, maker)| maker.replica.id.clone())
    }

    /// The first server from this entry's position on that is not paused.
    fn home(&self, now: Time) -> Option<&Maker> {
        let count = self.makers.len();
        let start = self.place.0 % count.max(1);
        let order = (0..count).map(|i| (start + i) % count);
        let makers: Vec<_> = self.makers.values().collect();
        let late = |maker: &Maker| maker.open.iter().any(|open| open.late <= now);
        let good = |maker: &Maker| maker.paused <= now && !late(maker);
        order
            .clone()
            .map(|i| makers[i])
            .find(|m| good(m) && m.paced_at(now) < 2.5)
            .or_else(|| order.map(|i| makers[i]).find(|maker| good(maker)))
    }
}

impl Maker {
    /// Time until its open calls from here are done.
    fn remaining(&self, now: Time) -> Span {
        let ends = self.open.iter().map(|open| (open.sent + open.expected).since(now));
        ends.max().unwrap_or(Span::ZERO)
    }

    fn paced_at(&self, now: Time) -> f64 {
        let age = now.since(self.paced).as_secs_f64() / PACE_MEMORY.as_secs_f64();
        1.0 + (self.pace - 1.0) * (-age).exp()
    }
}
