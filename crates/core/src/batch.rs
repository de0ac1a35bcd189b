//! Gathers pieces of many requests into calls to the servers of one stage pool.
//!
//! Answers loads in which a call takes a fixed time whatever it carries and a server works on one call
//! at a time: pieces wait while the own server works, and leave together when it is free. Each entry
//! has a home server, so that entries do not queue behind each other. When more waits than the home can
//! take, or the home is slow at the moment, other servers are asked for their load first, and get a call
//! only if they are idle: a call that waits at a server would have gathered more pieces here.

use crate::catalog::PieceSpec;
use crate::fleet::Replica;
use crate::home::{EntryAt, assign_homes};
use crate::ids::{AvailabilityZone, ServerId};
use crate::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a first piece waits for others, since requests arrive in clumps.
const GATHER: Span = Span::from_millis(6);
/// Time for which the load that a server told is taken as true.
const LOAD_FRESH: Span = Span::from_millis(60);
/// Time between two questions for the load of one server.
const ASK_PACE: Span = Span::from_millis(160);
/// Servers that are asked for their load at once.
const ASK_MAX: usize = 2;
/// Pace in hundredths above which a server counts as slow at the moment.
const SLOW_PERCENT: u32 = 150;
/// Part of a batch that must wait before a server is used that is no entry's home.
const SPARE_PART: usize = 4;
/// The same for the home of another entry.
const OTHER_PART: usize = 2;
/// Time that a piece waits before other servers are used in any case.
const SPILL_WAIT: Span = Span::from_millis(150);
/// Time after a refusal as full in which a server is left alone.
const CROWD_MEMORY: Span = Span::from_millis(250);
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
/// One place in this many of a batch is kept for late pieces.
const LATE_PART: usize = 6;
/// Growth of the believed size of results after one found no room, the most of it, and the step back
/// after each call for which there was room.
const SWELL: (f64, f64, f64) = (1.1, 2.0, 0.99);
/// Pace from which on the home is left for another server.
const HOME_PACE: f64 = 2.5;
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

/// What to do about waiting pieces.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Make this call.
    Call(Batch),
    /// Ask these servers for their load, and plan again.
    Ask(Vec<Replica>),
    /// Nothing now.
    Wait,
}

/// Load that a server tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that it works on.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// How long work takes at the moment, in hundredths of the usual.
    pub percent: u32,
    /// Room for results in bytes, if the server tells it.
    pub free: Option<u64>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was worked on. Load of the server when it ended, if it tells that.
    Done(Option<Load>),
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
    load: Option<(Time, Load)>,
    /// When it was last asked for its load.
    asked: Time,
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
    /// Size of results as a multiple of the stated one. Sizes are stated approximately, and other entries
    /// have results at the same servers.
    swell: f64,
    /// Where this entry is.
    own: EntryAt,
    /// All entries.
    entries: Vec<EntryAt>,
    /// Home of this entry.
    home: Option<ServerId>,
    /// Homes of all entries.
    homes: BTreeSet<ServerId>,
}

impl Batcher {
    /// A pool without servers, seen from an entry.
    pub fn new(spec: PieceSpec, own: EntryAt) -> Self {
        Self {
            spec,
            makers: BTreeMap::new(),
            waiting: Vec::new(),
            swell: 1.0,
            entries: vec![own.clone()],
            own,
            home: None,
            homes: BTreeSet::new(),
        }
    }

    /// Takes new limits.
    pub fn set_spec(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Takes the list of all entries, which decides on the home server.
    pub fn set_entries(&mut self, entries: &[EntryAt]) {
        self.entries = entries.to_vec();
        self.assign();
    }

    /// A server may be used.
    pub fn add(&mut self, replica: Replica) {
        let maker = Maker {
            open: Vec::new(),
            paused: Time::default(),
            pause: PAUSES.0,
            crowded: Time::default(),
            load: None,
            asked: Time::default(),
            pace: 1.0,
            paced: Time::default(),
            held: 0,
            replica,
        };
        self.makers.insert(maker.replica.id.clone(), maker);
        self.assign();
    }

    /// A server gets no new work.
    pub fn remove(&mut self, id: &ServerId) {
        self.makers.remove(id);
        self.assign();
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

    /// What to do now.
    pub fn plan(&mut self, now: Time) -> Plan {
        let Some(oldest) = self.waiting.iter().map(|piece| piece.arrived).min() else {
            return Plan::Wait;
        };
        if self.waiting.len() < self.spec.batch && now.since(oldest) < GATHER {
            return Plan::Wait;
        }
        match self.server_for(now, now.since(oldest)) {
            Choice::Server(id) => self.fill(now, &id).map_or(Plan::Wait, Plan::Call),
            Choice::Ask(ids) => {
                let mut servers = Vec::with_capacity(ids.len());
                for id in ids {
                    if let Some(maker) = self.makers.get_mut(&id) {
                        maker.asked = now;
                        servers.push(maker.replica.clone());
                    }
                }
                Plan::Ask(servers)
            }
            Choice::None => Plan::Wait,
        }
    }

    /// A server told its load, or did not answer.
    pub fn told(&mut self, now: Time, id: &ServerId, load: Option<Load>) {
        if let Some(maker) = self.makers.get_mut(id) {
            maker.load = load.map(|load| (now, load));
        }
    }

    /// The call that a server gets.
    fn fill(&mut self, now: Time, id: &ServerId) -> Option<Batch> {
        let maker = self.makers.get_mut(id)?;
        let held = (maker.held as f64 * self.swell) as u64;
        let own = ((self.spec.room as f64 * ROOM_PART) as u64).saturating_sub(held);
        let room = maker.fresh(now).and_then(|load| load.free).map_or(own, |free| free.min(own));
        let least = self.spec.call + self.spec.item;
        // Pieces that can still be in time go first, the most urgent of them ahead. Some places are kept
        // for late ones: they have been promised an answer as well, and results of their earlier stages
        // take room.
        self.waiting.sort_by_key(|piece| (piece.due < now + least, piece.due, piece.id));
        let late = self.waiting.iter().filter(|piece| piece.due < now + least).count();
        let kept = late.min(self.spec.batch.div_ceil(LATE_PART));
        let first = (self.waiting.len() - late).min(self.spec.batch - kept);
        let skipped = self.waiting.len() - late;
        let mut order: Vec<usize> = (0..first).collect();
        order.extend((skipped..self.waiting.len()).take(self.spec.batch - first));
        let mut bytes = 0;
        let mut pieces: Vec<Waiting> = Vec::new();
        for i in order {
            let piece = self.waiting[i];
            let size = (piece.bytes as f64 * self.swell) as u64;
            if bytes + size > room && !(pieces.is_empty() && maker.held == 0) {
                break;
            }
            bytes += size;
            pieces.push(piece);
        }
        if pieces.is_empty() {
            return None;
        }
        let chosen: BTreeSet<PieceId> = pieces.iter().map(|piece| piece.id).collect();
        self.waiting.retain(|piece| !chosen.contains(&piece.id));
        let bytes: u64 = pieces.iter().map(|piece| piece.bytes).sum();
        let work = self.spec.call + self.spec.item * pieces.len() as u64;
        let expected = work.scale(maker.paced_at(now)) + maker.remaining(now);
        let late = now + expected.scale(LATE_FACTOR) + LATE_MORE;
        maker.open.push(Open { sent: now, expected, late });
        maker.load = None;
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
        let asked = self.makers.values().map(|maker| maker.asked + ASK_PACE);
        let late = self.makers.values().flat_map(|maker| &maker.open).map(|open| open.late);
        let spill = std::iter::once(oldest + SPILL_WAIT);
        rested.chain(asked).chain(late).chain(spill).filter(|at| *at > now).min()
    }

    /// A call ended. `sent`: when it was planned; `pieces`: how many it carried.
    pub fn ended(&mut self, now: Time, id: &ServerId, sent: Time, pieces: usize, end: CallEnd) {
        let Some(maker) = self.makers.get_mut(id) else { return };
        let Some(i) = maker.open.iter().position(|open| open.sent == sent) else { return };
        let alone = maker.open.len() == 1;
        maker.open.remove(i);
        match end {
            CallEnd::Done(load) => {
                let work = self.spec.call + self.spec.item * pieces as u64;
                let ratio = now.since(sent).0 as f64 / work.0.max(1) as f64;
                if alone && load.is_none_or(|load| load.waiting == 0) {
                    let pace = maker.paced_at(now);
                    maker.pace = pace + (ratio.clamp(0.5, 10.0) - pace) * PACE_WEIGHT;
                    maker.paced = now;
                }
                maker.load = load.map(|load| (now, load));
                maker.pause = PAUSES.0;
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

    /// Whether a server had room for all results of a call.
    pub fn roomy(&mut self, enough: bool) {
        let factor = if enough { SWELL.2 } else { SWELL.0 };
        self.swell = (self.swell * factor).clamp(1.0, SWELL.1);
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
        let entries = self.entries.len().max(1);
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

    /// A server for the next call: the home when it is free, another one when enough waits or the home
    /// is slow.
    fn server_for(&self, now: Time, waited: Span) -> Choice {
        let home = self.home(now);
        let free = home.filter(|home| home.open.is_empty());
        let slow = |maker: &Maker| maker.fresh(now).is_some_and(|l| l.percent > SLOW_PERCENT);
        if let Some(home) = free.filter(|home| !slow(home)) {
            return Choice::Server(home.replica.id.clone());
        }
        let n = self.waiting.len();
        let enough = |maker: &Maker| {
            let spare = !self.homes.contains(&maker.replica.id);
            let part = if spare { SPARE_PART } else { OTHER_PART };
            free.is_some() || n * part >= self.spec.batch || waited >= SPILL_WAIT
        };
        let home_id = home.map(|home| &home.replica.id);
        let mut others: Vec<&Maker> = self
            .makers
            .values()
            .filter(|maker| Some(&maker.replica.id) != home_id && maker.open.is_empty())
            .filter(|maker| maker.paused <= now && maker.crowded <= now && enough(maker))
            .collect();
        others.sort_by_key(|maker| {
            let far = maker.replica.zone != self.own.zone;
            let owned = self.homes.contains(&maker.replica.id);
            ((maker.paced_at(now) * 2.0) as u64, far, owned, maker.asked)
        });
        let idle = |maker: &&&Maker| {
            let load = maker.fresh(now);
            load.is_some_and(|l| l.running + l.waiting == 0 && l.percent <= SLOW_PERCENT)
        };
        if let Some(maker) = others.iter().find(idle) {
            return Choice::Server(maker.replica.id.clone());
        }
        let due = |maker: &&Maker| now.since(maker.asked) >= ASK_PACE;
        let ask: Vec<_> = others.into_iter().filter(due).take(ASK_MAX).collect();
        match (ask.is_empty(), free) {
            (false, _) => Choice::Ask(ask.iter().map(|m| m.replica.id.clone()).collect()),
            // Nothing better is idle.
            (true, Some(home)) => Choice::Server(home.replica.id.clone()),
            (true, None) => Choice::None,
        }
    }

    /// The home, or while it does not answer in time, the best of the others.
    fn home(&self, now: Time) -> Option<&Maker> {
        let late = |maker: &Maker| maker.open.iter().any(|open| open.late <= now);
        let good = |maker: &&Maker| maker.paused <= now && !late(maker);
        let home = self.home.as_ref().and_then(|id| self.makers.get(id));
        home.filter(good).filter(|maker| maker.paced_at(now) < HOME_PACE).or_else(|| {
            self.makers.values().filter(good).min_by_key(|maker| {
                let id = &maker.replica.id;
                let far = maker.replica.zone != self.own.zone;
                ((maker.paced_at(now) * 4.0) as u64, self.homes.contains(id), far)
            })
        })
    }

    fn assign(&mut self) {
        let at = |maker: &Maker| (maker.replica.id.clone(), maker.replica.zone.clone());
        let servers: Vec<(ServerId, AvailabilityZone)> = self.makers.values().map(at).collect();
        let homes = assign_homes(&self.entries, &servers);
        self.home = homes.get(&self.own.name).cloned();
        self.homes = homes.into_values().collect();
    }
}

/// Which server gets the next call.
enum Choice {
    Server(ServerId),
    Ask(Vec<ServerId>),
    None,
}

impl Maker {
    /// The load that it told a moment ago.
    fn fresh(&self, now: Time) -> Option<Load> {
        self.load.filter(|(at, _)| now.since(*at) <= LOAD_FRESH).map(|(_, load)| load)
    }

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
