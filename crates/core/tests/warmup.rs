//! Tests of cold servers: how long they count as cold, and how many requests all entries grant them.
#![allow(clippy::expect_used, reason = "the lint only exempts test functions")]

use damaskweir_core::Rng;
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::intake::{Intake, Notice, Rate};
use damaskweir_core::owner::{EntryInfo, cold_grantors};
use damaskweir_core::revision::Revision;
use damaskweir_core::time::{Span, Time};
use damaskweir_core::warmup::{
    ColdBound, GrantorView, Origin, PERMIT_LIFETIME, Pauses, Role, WarmupChange, WarmupNotice,
    WarmupSpec, Warmups,
};
use rand_core::{Rng as _, SeedableRng as _};
use rstest::rstest;
use std::collections::BTreeMap;

const BOUND: ColdBound = ColdBound { over: 1.5, slack: 5.0 };

const fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

const fn millis(millis: u64) -> Span {
    Span::from_millis(millis)
}

fn spec() -> WarmupSpec {
    WarmupSpec { duration: Span::from_secs(3), rate: rate("10") }
}

fn rate(text: &str) -> Rate {
    text.parse().expect("a rate")
}

fn server(id: &str, started: u64) -> Replica {
    Replica {
        id: ServerId::from(id),
        pool: PoolId::from("engines"),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: AvailabilityZone::from("a"),
        slots: 6,
        leaving: false,
        started: Some(started),
        warmup: None,
    }
}

fn revision(number: u64) -> Revision {
    Revision::new(1, number)
}

/// Time until requests to a server need no permits.
fn left(warmups: &Warmups, now: u64, server: &Replica) -> u64 {
    warmups.statement(at(now), server).map_or(0, |told| told.left.as_millis())
}

/// Guards against a process that counts as warm because its record does not tell its time, and against one
/// that counts as cold although its record tells that it is warm.
#[test]
fn new_process_is_cold_unless_its_record_gives_a_shorter_time() {
    let mut warmups = Warmups::new(Some(BOUND));
    let (first, second, third) = (server("i-1", 1), server("i-1", 2), server("i-2", 1));
    let change = warmups.record(at(100), &first, spec(), (None, revision(1)));
    let cold = |left, from| Some(WarmupChange::Cold { left: millis(left), from });
    assert_eq!(change, cold(3_000, Origin::Start));
    assert_eq!(left(&warmups, 100, &first), 5_000);
    assert_eq!(warmups.record(at(900), &first, spec(), (None, revision(2))), None);
    assert_eq!(left(&warmups, 900, &first), 4_200, "a second look does not begin it anew");
    warmups.record(at(1_000), &first, spec(), (Some(at(1_500)), revision(3)));
    assert_eq!(left(&warmups, 1_000, &first), 2_500, "a later record shortens it");
    let change = warmups.record(at(1_000), &second, spec(), (Some(at(2_000)), revision(4)));
    assert_eq!(change, cold(1_000, Origin::Record));
    assert_eq!(left(&warmups, 1_000, &first), 0, "the process is gone");
    assert_eq!(warmups.record(at(1_000), &third, spec(), (Some(at(1_000)), revision(5))), None);
}

/// Guards against a record from before an answer or from before the end of an evacuation that makes a cold
/// server count as warm, and against such times that no record ever ends.
#[test]
fn only_a_record_that_was_written_later_shortens_the_time() {
    let mut warmups = Warmups::new(Some(BOUND));
    let server = server("i-1", 1);
    let told = |warmups: &mut Warmups, now, warm_at, number| {
        warmups.record(at(now), &server, spec(), (Some(at(warm_at)), revision(number)));
    };
    told(&mut warmups, 0, 0, 1);
    let cold = warmups.hear(at(10_000), &server, WarmupNotice::Left(millis(60_000)));
    assert!(matches!(cold, Some(WarmupChange::Cold { from: Origin::Answer, .. })));
    told(&mut warmups, 10_600, 10_600, 2);
    assert_eq!(left(&warmups, 10_600, &server), 61_400, "it may be older than the answer");
    told(&mut warmups, 13_100, 13_100, 3);
    assert_eq!(left(&warmups, 13_100, &server), 2_000);
    warmups.expire(at(20_000), |_| true);
    let changed = warmups.assume_cold(at(20_000), revision(5), [&server]);
    assert_eq!(changed.len(), 1);
    told(&mut warmups, 20_100, 20_100, 5);
    assert_eq!(left(&warmups, 20_100, &server), 4_900, "it was written before");
    told(&mut warmups, 20_200, 20_200, 6);
    assert_eq!(left(&warmups, 20_200, &server), 2_000);
}

/// Guards against an invalid time that is logged with each answer, and against permits without the setting.
#[test]
fn invalid_time_is_reported_once_and_without_a_bound_no_server_is_cold() {
    let server = server("i-1", 1);
    let mut warmups = Warmups::new(Some(BOUND));
    warmups.record(at(0), &server, spec(), (Some(at(0)), revision(1)));
    let invalid = || WarmupNotice::Invalid("soon".to_owned());
    assert!(warmups.hear(at(1), &server, invalid()).is_some());
    assert!(warmups.hear(at(2), &server, invalid()).is_none());
    let mut inactive = Warmups::default();
    assert_eq!(inactive.record(at(0), &server, spec(), (None, revision(1))), None);
    assert!(inactive.hear(at(1), &server, WarmupNotice::Left(millis(3_000))).is_none());
    assert!(inactive.active(at(2)).next().is_none());
}

/// Guards against a server that gets any number of requests as soon as its estimated time is over, and against
/// one that is paced for ever.
#[test]
fn rate_rises_in_steps_after_the_warm_up() {
    let mut warmups = Warmups::new(Some(BOUND));
    let server = server("i-1", 1);
    warmups.record(at(0), &server, spec(), (None, revision(1)));
    let per_second = |now| warmups.rate(at(now), &server).map(|rate| rate.per_second() as u64);
    assert_eq!([2_999, 3_999, 4_000, 4_999].map(per_second), [10, 10, 20, 20].map(Some));
    assert_eq!(per_second(5_000), None);
    assert_eq!(warmups.expire(at(4_999), |_| true), []);
    assert_eq!(warmups.expire(at(5_000), |_| true), [server]);
}

/// Guards against a limit that a cold server names and that is forgotten over its warm-up.
#[test]
fn lower_one_of_limit_and_warm_up_applies() {
    let (mut intake, server) = (Intake::new(Some(BOUND)), server("i-1", 1));
    intake.warmups.record(at(0), &server, spec(), (None, revision(1)));
    intake.record(at(0), &server, Notice::Limit(rate("2")));
    assert_eq!(intake.limit_in_force(at(0), &server), Some(rate("2")));
    intake.record(at(0), &server, Notice::Limit(rate("50")));
    assert_eq!(intake.limit_in_force(at(0), &server), Some(rate("10")));
    let granted = |intake: &mut Intake| {
        (0..2_000).filter(|now| intake.grant(at(*now), &server, (1.0, 1.0)).is_ok()).count()
    };
    assert!((18..=21).contains(&granted(&mut intake.clone())));
    intake.record(at(0), &server, Notice::Limit(rate("2")));
    assert!((2..=5).contains(&granted(&mut intake)));
}

/// Guards against calls with pieces that take every grant of a cold server, so that no result is released there
/// until it is warm.
#[test]
fn release_gets_a_grant_while_calls_ask_for_each() {
    let (mut intake, server) = (Intake::new(Some(BOUND)), server("i-1", 1));
    intake.warmups.record(at(0), &server, spec(), (None, revision(1)));
    let (mut calls, mut releases) = (0, 0);
    for now in (0..2_000).step_by(4) {
        calls += u32::from(intake.grant(at(now), &server, (1.0, 1.0)).is_ok());
        releases += u32::from(now % 12 == 0 && intake.grant_release(at(now), &server, (1.0, 1.0)));
    }
    assert!((2..=6).contains(&releases), "{releases} releases beside {calls} calls");
    assert!(calls >= 10, "{calls} calls beside {releases} releases");
}

/// Guards against entries of a mixed version that each grant themselves a request at the same time.
#[test]
fn equal_shares_do_not_coincide() {
    let server = server("i-1", 1);
    let mut sends = Vec::new();
    for rank in 0..68 {
        let mut warmups = Warmups::new(Some(BOUND));
        warmups.record(at(0), &server, spec(), (Some(at(20_000)), revision(1)));
        let granted = |now: &u64| warmups.try_equal_share(at(*now), &server, (rank, 68)).is_ok();
        sends.extend((0..20_000).filter(granted));
    }
    sends.sort_unstable();
    assert!(most_in_a_second(&sends) <= 11);
    assert!(sends.len() >= 180, "{} of 200", sends.len());
}

fn most_in_a_second(sends: &[u64]) -> usize {
    let ends = sends.iter().enumerate();
    ends.map(|(n, end)| n + 1 - sends.partition_point(|at| *at + 1_000 <= *end)).max().unwrap_or(0)
}

/// Guards against two entries that each grant all, and against entries that grant although two others do.
#[test]
fn grantor_grants_all_only_while_no_other_one_can() {
    let sure = GrantorView {
        role: Role::First,
        granted_for: Some(Span::from_secs(60)),
        roster_age: Some(Span::from_secs(3)),
        data_age: Some(Span::from_secs(1)),
        data_limit: Span::from_secs(3),
    };
    let secs = |n| Some(Span::from_secs(n));
    assert_eq!(sure.share(), 1.0);
    for doubtful in [
        GrantorView { granted_for: None, ..sure },
        GrantorView { granted_for: secs(5), ..sure },
        GrantorView { roster_age: None, ..sure },
        GrantorView { roster_age: secs(6), ..sure },
        GrantorView { data_age: secs(4), ..sure },
        GrantorView { role: Role::Deputy, ..sure },
    ] {
        assert_eq!(doubtful.share(), 0.5, "{doubtful:?}");
    }
    assert_eq!(GrantorView { data_age: secs(11), ..sure }.share(), 0.25);
    assert_eq!(GrantorView { role: Role::Other, ..sure }.share(), 0.0);
}

/// What happens to the entries while the servers are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// No entry reaches another one.
    Apart,
    /// Each entry reaches only entries of its own half.
    Halves,
    /// Entries freeze for up to 2 s.
    Freezes,
    /// Entries start again.
    Restarts,
    /// Entries join and leave the list, of which each learns up to 4 s later.
    Joins,
    /// The entries of one zone are gone; the others learn of it after 10 s.
    ZoneLost,
    /// Nobody reaches the store.
    StoreAway,
}

/// An entry, with what it knows.
struct Member {
    info: EntryInfo,
    intake: Intake,
    pauses: Pauses,
    roster: Vec<EntryInfo>,
    roster_changed: Time,
    silent: BTreeMap<String, Time>,
    away_until: Time,
    /// When it reads the servers' records, and whether it has.
    learns: Time,
    knows: bool,
}

impl Member {
    fn new(info: EntryInfo, now: Time, roster: Vec<EntryInfo>) -> Self {
        let (intake, silent) = (Intake::new(Some(BOUND)), BTreeMap::new());
        let mut pauses = Pauses::default();
        pauses.record(now);
        let (roster_changed, away_until) = (now, Time::default());
        Self {
            info,
            intake,
            pauses,
            roster,
            roster_changed,
            silent,
            away_until,
            learns: now,
            knows: false,
        }
    }

    fn learn(&mut self, now: Time, server: &Replica, warm_at: Time) {
        self.intake.warmups.record(now, server, spec(), (Some(warm_at), revision(1)));
        self.assign(now, server);
    }

    fn assign(&mut self, now: Time, server: &Replica) {
        let first = self.role(server) == Role::First;
        self.intake.warmups.set_grants(now, &server.id, first, self.roster_changed);
    }

    fn role(&self, server: &Replica) -> Role {
        let (first, deputy) = cold_grantors(&server.id, &self.roster);
        match &self.info {
            own if first == Some(own) => Role::First,
            own if deputy == Some(own) => Role::Deputy,
            _ => Role::Other,
        }
    }

    /// The entry to ask for a permit.
    fn grantor(&self, now: Time, server: &Replica) -> Option<EntryInfo> {
        let (first, deputy) = cold_grantors(&server.id, &self.roster);
        let answers =
            |entry: &&EntryInfo| self.silent.get(&entry.name).is_none_or(|until| *until <= now);
        first.into_iter().chain(deputy).find(answers).cloned()
    }

    fn grant(&mut self, now: Time, server: &Replica, data_age: Span) -> Result<(), Span> {
        let granted_for = self.intake.warmups.grants_for(now, server);
        let view = GrantorView {
            role: self.role(server),
            granted_for: granted_for.map(|time| time.min(self.pauses.resumed_for(now))),
            roster_age: Some(data_age),
            data_age: Some(data_age),
            data_limit: Span::from_secs(3),
        };
        self.intake.grant(now, server, (1.0, view.share()))
    }
}

fn info(n: usize) -> EntryInfo {
    let zone = AvailabilityZone::from(["a", "b", "c"][n % 3]);
    EntryInfo { name: format!("e-{n}"), zone, address: String::new(), power: 0 }
}

/// Entries that all want to send as many requests as they may.
struct Entries {
    members: Vec<Member>,
    trouble: Trouble,
    rng: Rng,
}

impl Entries {
    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn reaches(&self, now: Time, from: usize, to: usize) -> bool {
        let apart = match self.trouble {
            Trouble::Apart => from != to,
            Trouble::Halves => from % 2 != to % 2,
            _ => false,
        };
        !apart && self.members[to].away_until <= now
    }

    fn disturb(&mut self, now: Time) {
        let count = self.members.len();
        // Each entry has the same share of the trouble, whatever their number.
        let due = |millis: u64| now.0.is_multiple_of(millis * 1_000 / count as u64 / 5_000 * 5_000);
        let n = self.draw(count as u64) as usize;
        match self.trouble {
            Trouble::Freezes if due(8_000) => {
                self.members[n].away_until = now + millis(self.draw(2_000));
            }
            Trouble::Restarts if due(10_000) => {
                let old = &self.members[n];
                let mut fresh = Member::new(old.info.clone(), now, old.roster.clone());
                for server in old.intake.warmups.servers() {
                    let told = old.intake.warmups.statement(now, server);
                    let left = told.map_or(Span::ZERO, |told| told.left);
                    fresh.learn(now, server, now + left - millis(2_000));
                }
                (fresh.learns, fresh.knows) = (old.learns, old.knows);
                self.members[n] = fresh;
            }
            Trouble::Joins if now.0.is_multiple_of(100_000) => {
                // One entry learns of a list that lacks some entry.
                let gone = info(self.draw(count as u64) as usize % 4);
                let all =
                    (0..count).map(info).filter(|entry| *entry != gone || now.0.is_multiple_of(3));
                let member = &mut self.members[n];
                (member.roster, member.roster_changed) = (all.collect(), now);
                let servers: Vec<_> = member.intake.warmups.servers().cloned().collect();
                servers.iter().for_each(|server| member.assign(now, server));
            }
            _ => {}
        }
    }

    /// Asks for a permit as an entry does. Returns whether it got one.
    fn ask(&mut self, now: Time, from: usize, server: &Replica, data_age: Span) -> bool {
        let mut redirect = None;
        for _ in 0..3 {
            let grantor = redirect.take().or_else(|| self.members[from].grantor(now, server));
            let Some(grantor) = grantor else { break };
            let known = |member: &Member| member.info == grantor;
            let to = self.members.iter().position(known).expect("a member");
            if !self.reaches(now, from, to) {
                let until = now + Span::from_secs(2);
                self.members[from].silent.insert(grantor.name, until);
                continue;
            }
            if self.members[to].role(server) == Role::Other {
                redirect = cold_grantors(&server.id, &self.members[to].roster).0.cloned();
                continue;
            }
            if let Some(told) = self.members[from].intake.warmups.statement(now, server) {
                self.members[to].intake.warmups.merge(now, server, told);
                self.members[to].assign(now, server);
            }
            let granted = self.members[to].grant(now, server, data_age);
            if let Err(wait) = granted {
                let jitter = Span(self.draw(50_000));
                self.members[from].intake.block(now, server, wait + jitter);
            }
            return granted.is_ok();
        }
        self.members[from].intake.block(now, server, millis(300));
        false
    }
}

/// Guards against entries that together send a cold server more than it can take, whatever happens to them,
/// and against a rate that mostly remains unused.
#[rstest]
fn all_entries_together_keep_the_bound_and_use_the_rate(
    #[values(4, 29, 68)] count: usize,
    #[values(
        Trouble::None,
        Trouble::Apart,
        Trouble::Halves,
        Trouble::Freezes,
        Trouble::Restarts,
        Trouble::Joins,
        Trouble::ZoneLost,
        Trouble::StoreAway
    )]
    trouble: Trouble,
) {
    let roster: Vec<_> = (0..count).map(info).collect();
    let settled = at(0);
    let members = roster.iter().map(|own| Member::new(own.clone(), settled, roster.clone()));
    let rng = Rng::seed_from_u64(count as u64);
    let mut entries = Entries { members: members.collect(), trouble, rng };
    let servers: Vec<_> = (0..17).map(|n| server(&format!("i-{n}"), 1)).collect();
    let begin = 20_000;
    if trouble == Trouble::ZoneLost {
        let lost = entries.members.iter_mut().filter(|member| member.info.zone.as_str() == "a");
        lost.for_each(|member| member.away_until = at(60_000));
    }
    for n in 0..count {
        entries.members[n].learns = at(begin + entries.draw(600));
    }
    let (mut sends, mut granted) = (vec![Vec::new(); servers.len()], 0);
    for now in (10_000..begin + 3_000).step_by(5) {
        let time = at(now);
        let away =
            millis(if trouble == Trouble::StoreAway { now.saturating_sub(15_000) } else { 0 });
        entries.disturb(time);
        for n in 0..count {
            if entries.members[n].away_until > time {
                continue;
            }
            entries.members[n].pauses.record(time);
            if time >= entries.members[n].learns && !entries.members[n].knows {
                entries.members[n].knows = true;
                let learn = |server| entries.members[n].learn(time, server, at(begin + 3_600));
                servers.iter().for_each(learn);
            }
            let blocked = entries.members[n].intake.blocked(time);
            for (s, server) in servers.iter().enumerate() {
                // A burst follows a time without requests, so that grants could be saved up.
                let idle = s % 2 == 1 && now / 1_500 % 2 == 0;
                if idle
                    || !entries.members[n].knows
                    || blocked.iter().any(|(id, _)| *id == server.id)
                {
                    continue;
                }
                if entries.ask(time, n, server, away) {
                    granted += u64::from(now >= begin + 600 && s % 2 == 0);
                    // Some connections open slowly, so that the request is sent late.
                    let late = if entries.draw(4) == 0 { entries.draw(400) } else { 5 };
                    if millis(late) <= PERMIT_LIFETIME {
                        sends[s].push(now + late);
                    }
                }
            }
        }
    }
    for (server, sends) in servers.iter().zip(&mut sends) {
        sends.sort_unstable();
        let most = most_in_a_second(sends);
        assert!(most <= 20, "{} got {most} requests in a second", server.id);
    }
    let rate = granted as f64 / servers.len().div_ceil(2) as f64 / 2.4;
    assert!(rate >= 5.0, "{rate:.1} requests a second and server");
}
