//! Choice of a backend server for a whole request, from what this entry's own requests have shown.
//!
//! Answers two loads: generation on engines that keep prompt parts, where reading a prompt again costs
//! more than anything else, and short plain calls on servers of which some fail or stall.

use crate::Rng;
use crate::fleet::Replica;
use crate::ids::{AvailabilityZone, ServerId};
use crate::time::{Span, Time, decay};
use crate::value;
use rand_core::Rng as _;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Prompt tokens that an engine reads in a millisecond, to weigh a prompt against a queue. The
/// deployments state 32 and 92.
const READ_RATE: u64 = 50;
/// Delay that one more running generation adds to a new one.
const CROWD_DELAY: Span = Span::from_millis(3);
/// Delay that a plain call adds for each call already open, as a part of the usual time.
const BUSY_PART: f64 = 0.5;
/// Delay by which 1 MB of results that cross availability zones counts. At 7 ms, about what the price of
/// the bytes says, three GB crossed in half a minute and no fewer prompts were read again.
const CROSS_DELAY: Span = Span::from_millis(40);
/// Part of a shared prompt that the server chosen by its hash is expected to hold, because another entry
/// has sent it there.
const HASH_KEPT: f64 = 0.5;
/// Delay by which another availability zone counts for the request itself.
const ZONE_DELAY: Span = Span::from_millis(2);
/// Delay by which a server counts that fails all its requests.
const FAILURE_DELAY: Span = Span::from_secs(4);
/// Weight of a new answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// Time after which the share of failures counts for about a third, so that the server is tried again.
const FAILURE_MEMORY: Span = Span::from_secs(4);
/// Weight of a new answer in the mean time.
const PACE_WEIGHT: f64 = 0.2;
/// Time after which a slow pace counts for about a third.
const PACE_MEMORY: Span = Span::from_secs(5);
/// First and longest pause of a server that can't be reached or does not answer.
const PAUSES: (Span, Span) = (Span::from_millis(400), Span::from_secs(3));
/// Time for which a prompt part is expected to stay in an engine's memory.
const PART_MEMORY: Span = Span::from_secs(20);
/// Routes whose usual times are remembered; names change with the configuration.
const ROUTES_MAX: usize = 1_024;
/// Prompt parts remembered for each server.
const PARTS_MAX: usize = 4_096;
/// Random difference between equal servers, so that entries do not all choose the same one.
const JITTER: Span = Span::from_millis(2);

value! {
    /// One part of a prompt.
    #[derive(Copy)]
    pub struct Part {
        /// Names the tokens of this part.
        pub id: u64,
        /// Length.
        pub tokens: u32,
    }
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need<'a> {
    /// Parts of its prompt, in order.
    pub parts: &'a [Part],
    /// Results that the server will fetch, in bytes by availability zone.
    pub results: &'a [(AvailabilityZone, u64)],
    /// Servers that the request must not go to again.
    pub avoid: &'a [ServerId],
    /// Requests from here that one server may have open; 0: any number.
    pub most: u32,
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer.
    Whole,
    /// A failure that the server reported, or an answer that broke off.
    Failed,
    /// Refused as full.
    Full,
    /// The server did not answer or could not be reached.
    Silent,
    /// The request was given up for reasons that say nothing about the server.
    Unknown,
}

#[derive(Clone, Debug)]
struct Site {
    replica: Replica,
    /// Hash of its id.
    hash: u64,
    open: u32,
    /// Prompt tokens of requests from here that have not got the first part of their answer.
    reading: u64,
    /// Share of its requests that failed lately, when `failed` was set.
    failures: f64,
    failed: Time,
    /// Mean time to the first part of an answer, over the pool's.
    pace: f64,
    paced: Time,
    paused: Time,
    pause: Span,
    parts: HashMap<u64, Time>,
}

/// An entry's view of one pool.
#[derive(Clone, Debug)]
pub struct Placer {
    zone: AvailabilityZone,
    engine: bool,
    sites: BTreeMap<ServerId, Site>,
    /// Mean time to the first part of an answer, in microseconds.
    usual: f64,
    /// The same for each route, since prompts of different routes differ many times in length.
    routes: HashMap<String, f64>,
}

impl Placer {
    /// An empty pool, seen from an availability zone.
    pub fn new(zone: AvailabilityZone, engine: bool, usual: Span) -> Self {
        Self {
            zone,
            engine,
            sites: BTreeMap::new(),
            usual: usual.0.max(1) as f64,
            routes: HashMap::new(),
        }
    }

    /// A server may be used. What is known of it is kept, unless it was removed before.
    pub fn add(&mut self, replica: Replica) {
        if self.sites.contains_key(&replica.id) {
            return;
        }
        let site = Site {
            open: 0,
            reading: 0,
            failures: 0.0,
            failed: Time::default(),
            pace: 1.0,
            paced: Time::default(),
            paused: Time::default(),
            pause: PAUSES.0,
            parts: HashMap::new(),
            hash: xxh3_64(replica.id.as_str().as_bytes()),
            replica,
        };
        self.sites.insert(site.replica.id.clone(), site);
    }

    /// A server gets no new work.
    pub fn remove(&mut self, id: &ServerId) {
        self.sites.remove(id);
    }

    /// Whether a server may be used.
    pub fn contains(&self, id: &ServerId) -> bool {
        self.sites.contains_key(id)
    }

    /// Servers that may be used.
    pub fn len(&self) -> usize {
        self.sites.len()
    }

    /// Whether no server may be used.
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    /// Requests from here that are open, and slots of all servers.
    pub fn load(&self) -> (u32, u32) {
        let open = self.sites.values().map(|site| site.open).sum();
        let slots = self.sites.values().map(|site| site.replica.slots).sum();
        (open, slots)
    }

    /// Mean time to the first part of an answer on a route.
    pub fn usual(&self, route: &str) -> Span {
        Span(self.routes.get(route).copied().unwrap_or(self.usual) as u64)
    }

    /// The server with the least expected delay.
    pub fn choose(&self, now: Time, rng: &mut Rng, need: &Need<'_>) -> Option<&Replica> {
        let open = |site: &&Site| {
            !need.avoid.contains(&site.replica.id) && (need.most == 0 || site.open < need.most)
        };
        let rested = |site: &&Site| site.paused <= now;
        let hashed = self.hashed(now, need.parts);
        let best = |sites: &mut dyn Iterator<Item = &Site>, rng: &mut Rng| {
            sites
                .map(|site| {
                    let preferred = hashed == Some(&site.replica.id);
                    (self.delay(now, site, need, preferred) + rng.next_u64() % JITTER.0, site)
                })
                .min_by_key(|(delay, _)| *delay)
                .map(|(_, site)| site.replica.id.clone())
        };
        let first = best(&mut self.sites.values().filter(open).filter(rested), rng);
        // All pauses may be wrong at once, for instance after a partition of this entry.
        let id = first.or_else(|| best(&mut self.sites.values().filter(open), rng))?;
        self.sites.get(&id).map(|site| &site.replica)
    }

    /// Availability zone of the server that a prompt is best sent to.
    pub fn zone_for(&self, now: Time, parts: &[Part]) -> Option<&AvailabilityZone> {
        let id = self.hashed(now, parts)?;
        self.sites.get(id).map(|site| &site.replica.zone)
    }

    /// A request was sent. Tells the prompt tokens that the server has to read, which `answered` and
    /// `ended` take back.
    pub fn sent(&mut self, now: Time, id: &ServerId, parts: &[Part]) -> u64 {
        let Some(site) = self.sites.get_mut(id) else { return 0 };
        let unread = site.unread(now, parts);
        site.open += 1;
        site.reading += unread;
        if site.parts.len() > PARTS_MAX {
            site.parts.retain(|_, at| now.since(*at) < PART_MEMORY);
        }
        site.parts.extend(parts.iter().map(|part| (part.id, now)));
        unread
    }

    /// The first part of an answer on a route came after `first`.
    pub fn answered(&mut self, now: Time, id: &ServerId, unread: u64, first: Span, route: &str) {
        let Some(site) = self.sites.get_mut(id) else { return };
        site.reading = site.reading.saturating_sub(unread);
        let seen = first.0 as f64;
        let learn = |usual: f64| usual + (seen.min(usual * 4.0) - usual) * PACE_WEIGHT / 4.0;
        let usual = self.routes.get(route).copied().unwrap_or(self.usual);
        if self.routes.len() >= ROUTES_MAX {
            self.routes.clear();
        }
        self.routes.insert(route.to_owned(), learn(usual));
        self.usual = learn(self.usual);
        let ratio = (seen / usual).clamp(0.2, 20.0);
        site.pace = site.paced_at(now) + (ratio - site.paced_at(now)) * PACE_WEIGHT;
        site.paced = now;
        site.mark(now, 0.0);
        site.pause = PAUSES.0;
        site.paused = Time::default();
    }

    /// A request ended. `parts`: its prompt, which the server may not have read; `unread`: what was not
    /// taken back yet.
    pub fn ended(&mut self, now: Time, id: &ServerId, parts: &[Part], unread: u64, ending: Ending) {
        let Some(site) = self.sites.get_mut(id) else { return };
        site.reading = site.reading.saturating_sub(unread);
        site.open = site.open.saturating_sub(1);
        match ending {
            Ending::Whole => {}
            Ending::Failed => site.mark(now, 1.0),
            Ending::Full => site.rest(now, PAUSES.0),
            Ending::Silent => {
                site.mark(now, 1.0);
                let pause = site.pause;
                site.rest(now, pause);
                site.pause = Span((pause.0 * 2).min(PAUSES.1.0));
            }
            Ending::Unknown => {}
        }
        if ending != Ending::Whole {
            for part in parts {
                site.parts.remove(&part.id);
            }
        }
    }

    /// The server to which all entries send prompts with the same shared part: the one with the highest
    /// hash of both, so that a server that comes or goes moves only its own prompts.
    fn hashed(&self, now: Time, parts: &[Part]) -> Option<&ServerId> {
        // The last part belongs to the request alone.
        let shared = parts.len().checked_sub(2).and_then(|i| parts.get(i))?;
        let rested = self.sites.values().filter(|site| site.paused <= now);
        rested.max_by_key(|site| mixed(site.hash, shared.id)).map(|site| &site.replica.id)
    }

    fn delay(&self, now: Time, site: &Site, need: &Need<'_>, preferred: bool) -> u64 {
        let pace = site.paced_at(now).max(1.0);
        let work = if self.engine {
            let unread = site.unread(now, need.parts);
            let own = need.parts.last().map_or(0, |part| u64::from(part.tokens));
            let kept = if preferred { unread.saturating_sub(own) as f64 * HASH_KEPT } else { 0.0 };
            // Prompts are read one after another, and stall the streams of their server.
            let reading = (unread as f64 - kept + site.reading as f64) * 1_000.0 / READ_RATE as f64;
            reading + (CROWD_DELAY * u64::from(site.open)).0 as f64 + self.usual * 0.2
        } else {
            let busy = f64::from(site.open) / f64::from(site.replica.slots.max(1));
            self.usual * (1.0 + busy * busy * 4.0 + f64::from(site.open) * BUSY_PART * 0.2)
        };
        let far = |zone: &AvailabilityZone| *zone != site.replica.zone;
        let bytes: u64 = need.results.iter().filter(|(z, _)| far(z)).map(|(_, b)| b).sum();
        let cross = CROSS_DELAY.scale(bytes as f64 / 1e6).0 as f64;
        let zone = if far(&self.zone) { ZONE_DELAY.0 as f64 } else { 0.0 };
        let failing = FAILURE_DELAY.scale(site.failing(now)).0 as f64;
        (work * pace + cross + zone + failing) as u64
    }
}

/// Rank of a server for a prompt part. Spares a hash of bytes for each server and request.
fn mixed(server: u64, part: u64) -> u64 {
    // The constants are the finalizer's of MurmurHash3.
    let mut mixed = server ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

impl Site {
    fn unread(&self, now: Time, parts: &[Part]) -> u64 {
        let kept =
            |part: &&Part| self.parts.get(&part.id).is_some_and(|at| now.since(*at) < PART_MEMORY);
        let skip = parts.iter().take_while(kept).count();
        parts[skip..].iter().map(|part| u64::from(part.tokens)).sum()
    }

    fn paced_at(&self, now: Time) -> f64 {
        if self.pace == 1.0 {
            return 1.0;
        }
        let keep = decay(now, self.paced, PACE_MEMORY);
        1.0 + (self.pace - 1.0) * keep
    }

    fn failing(&self, now: Time) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        self.failures * decay(now, self.failed, FAILURE_MEMORY)
    }

    fn mark(&mut self, now: Time, failed: f64) {
        let share = self.failing(now);
        self.failures = share + (failed - share) * FAILURE_WEIGHT;
        self.failed = now;
    }

    fn rest(&mut self, now: Time, pause: Span) {
        self.paused = self.paused.max(now + pause);
    }
}
