//! Compares ways to select engines from information that is up to 2 s old. Prints a table with `--nocapture`.
#![allow(clippy::expect_used, reason = "clippy exempts only test functions")]

use damaskweir_core::Rng;
use damaskweir_core::exchange::{LoadReport, LoadReports};
use damaskweir_core::fleet::Replica;
use damaskweir_core::ids::{AvailabilityZone, PoolId, ServerId};
use damaskweir_core::place::{AttemptOutcome, Placer, PromptPart, Requirements};
use damaskweir_core::time::{Span, Time};
use rand_chacha::rand_core::{Rng as _, SeedableRng};
use std::collections::{BTreeMap, HashMap};

const ENGINES: usize = 38;
/// In ms, as all times of the model.
const END: f64 = 30_000.0;
const COUNTED_FROM: f64 = 6_000.0;
const BURST: std::ops::Range<f64> = 14_000.0..20_000.0;
const REPORT_INTERVAL: f64 = 50.0;
/// Tokens that an engine caches: 30 prompts.
const CACHE_TOKENS: u32 = 30 * 9_200;

struct Engine {
    id: ServerId,
    pace: f64,
    /// When it has read all prompts.
    free: f64,
    /// Least recently used first.
    cache: Vec<PromptPart>,
}

impl Engine {
    /// Caches the parts of a prompt, and returns those to read.
    fn read(&mut self, parts: &[PromptPart]) -> Vec<PromptPart> {
        let cached = parts.iter().take_while(|part| self.cache.contains(part)).count();
        self.cache.retain(|part| !parts.contains(part));
        self.cache.extend(parts);
        while self.cache.iter().map(|part| part.tokens).sum::<u32>() > CACHE_TOKENS {
            self.cache.remove(0);
        }
        parts[cached..].to_vec()
    }
}

fn at(ms: f64) -> Time {
    Time((ms * 1e3) as u64)
}

fn replica(n: usize) -> Replica {
    Replica {
        id: ServerId::from(format!("engine-{n}").as_str()),
        pool: PoolId::from("engines"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: AvailabilityZone::from("a"),
        slots: 64,
        leaving: false,
        started: Some(1),
        warmup: None,
    }
}

/// Plays a load, which is the same for all ways. A chooser compares `compared` random engines, by the exchange
/// if it `shares` them with others. `age` is that of its information about the others, or `None` without an
/// exchange. Returns the mean time until an engine begins to read a prompt, and the tokens a second of shared
/// parts that are read again within 8 s of their last use.
fn play(
    name: &str,
    (compared, shares): (usize, bool),
    choosers: usize,
    age: Option<f64>,
) -> (f64, f64) {
    let (mut load, mut rng) = (Rng::seed_from_u64(1), Rng::seed_from_u64(2));
    let draw = |rng: &mut Rng| rng.next_u64() as f64 / u64::MAX as f64;
    let mut engine = |n| Engine {
        id: replica(n).id,
        pace: 55.0 + 75.0 * draw(&mut load),
        free: 0.0,
        cache: vec![],
    };
    let mut engines: Vec<Engine> = (0..ENGINES).map(&mut engine).collect();
    let mut placer = Placer::new(replica(0).zone, true, Span::from_millis(120));
    (0..ENGINES).for_each(|n| placer.add(replica(n)));
    // Each chooser with its own reports, one each [`REPORT_INTERVAL`].
    let mut all = vec![(placer, Vec::<LoadReport>::new()); choosers];
    // First events and ends of streams by time and number, with the chooser, the engine and, for a first
    // event, the tokens and the latency.
    let mut events = BTreeMap::<(Time, u64), (usize, usize, Option<(u64, Span)>)>::new();
    let (mut windows, mut last_use) = (BTreeMap::new(), HashMap::new());
    let (mut now, mut number, mut waits, mut reread) = (0.0, 1_000, Vec::new(), 0);
    while now < END {
        let large = if BURST.contains(&now) { 180.0 } else { 60.0 };
        now -= (1.0 - draw(&mut load)).ln() * 1e3 / (large + 80.0);
        while let Some(event) = events.first_entry().filter(|event| event.key().0 <= at(now)) {
            let ((time, _), (who, n, first)) = event.remove_entry();
            let (placer, id) = (&mut all[who].0, &engines[n].id);
            match first {
                Some((unread, took)) => placer.record_response(time, id, unread, took, "chat"),
                None => placer.record_end(time, id, &[], 0, AttemptOutcome::Completed),
            }
        }
        for (n, (placer, made)) in all.iter_mut().enumerate() {
            while made.len() as f64 * REPORT_INTERVAL <= now {
                let (time, mut rows) = (at(made.len() as f64 * REPORT_INTERVAL), Vec::new());
                let rate = placer.report(time, &mut rows);
                made.push(LoadReport::new(time, n as u32, rate, rows));
            }
        }
        number += 1;
        let part = |id: u64, tokens| PromptPart { id, tokens };
        let parts = if draw(&mut load) < large / (large + 80.0) {
            let session = (290.0 * draw(&mut load).powf(1.3)) as u64;
            vec![part(session % 4, 2_500), part(100 + session, 3_800), part(number, 2_900)]
        } else {
            vec![part(number, 500 + (1_900.0 * draw(&mut load)) as u32)]
        };
        let who = (load.next_u64() % choosers as u64) as usize;
        let stream = Span::from_millis(25) * (5 + load.next_u64() % 66);
        let mut reports = LoadReports::new(who as u32);
        for (_, made) in all.iter().filter(|_| age.is_some()) {
            let i = (now - age.unwrap_or_default()).max(0.0) / REPORT_INTERVAL;
            let delay = Span::from_millis((now - i.floor() * REPORT_INTERVAL) as u64);
            reports.merge(at(now), made[i as usize].clone(), delay);
        }
        let placer = &mut all[who].0;
        let mut excluded: Vec<_> = engines.iter().map(|engine| engine.id.clone()).collect();
        for _ in 0..compared {
            excluded.swap_remove((rng.next_u64() as usize) % excluded.len());
        }
        // Random choice and two choices don't regard shared parts.
        let regarded = if compared < ENGINES { &parts[parts.len() - 1..] } else { &parts };
        let others = shares.then_some(&reports);
        let need =
            Requirements { parts: regarded, excluded: &excluded, others, ..Default::default() };
        let id = placer.choose(at(now), &mut rng, &need).expect("a server").id.clone();
        let need = Requirements { parts: &parts, ..need };
        let unread = placer.record_dispatch_among(at(now), &id, &need);
        let n = engines.iter().position(|engine| engine.id == id).expect("a known engine");
        let engine = &mut engines[n];
        let read = engine.read(&parts);
        let tokens = f64::from(read.iter().map(|part| part.tokens).sum::<u32>());
        // The pace changes with each prompt; a decode step of the running streams follows each chunk.
        let pace = engine.pace * (0.7 + 0.5 * draw(&mut load));
        let work = tokens / pace + (tokens / 2_048.0).ceil() * 5.0;
        let begin = engine.free.max(now);
        engine.free = begin + work;
        let first = at(engine.free);
        events.insert((first, number), (who, n, Some((unread, first.since(at(now))))));
        events.insert((first + stream, number), (who, n, None));
        for part in &parts[..parts.len() - 1] {
            let used = last_use.insert(part.id, now).is_some_and(|used| now - used < 8e3);
            reread += if used && read.contains(part) { part.tokens } else { 0 };
        }
        waits.push(begin - now);
        windows.entry((now / 1e3) as u64).or_insert([0.0; ENGINES])[n] += work;
        if now < COUNTED_FROM {
            waits.clear();
            windows.clear();
            reread = 0;
        }
    }
    waits.sort_by(f64::total_cmp);
    let max_over_mean = |work: &[f64; ENGINES]| {
        work.iter().copied().fold(0.0, f64::max) * ENGINES as f64 / work.iter().sum::<f64>()
    };
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let busiest = mean(&windows.values().map(max_over_mean).collect::<Vec<_>>());
    let part = |share: f64| waits[(waits.len() as f64 * share) as usize];
    let (wait, p95, p99) = (mean(&waits), part(0.95), part(0.99));
    let reread = f64::from(reread) * 1e3 / (END - COUNTED_FROM);
    let age = age.map_or("-".to_owned(), |age| (age / 1e3).to_string());
    println!(
        "| {choosers} | {name} | {age} | {busiest:.2} | {wait:.1} | {p95:.0} | {p99:.0} | {reread:.0} |"
    );
    (wait, reread)
}

/// Guards against a selection by reports that reads shared parts as often again as the one without, or lets
/// requests wait longer, and against one that is no better than choices that don't regard shared parts.
#[test]
fn exchange_reads_fewer_parts_again_without_longer_waits() {
    println!("| choosers | way | age, s | busiest/mean | wait, ms | p95 | p99 | tokens again/s |");
    println!("|---|---|---|---|---|---|---|---|");
    let shared = (ENGINES, true);
    for choosers in [4, 29, 68] {
        let (today, today_reread) = play("today", (ENGINES, false), choosers, None);
        let (random, _) = play("random", (1, true), choosers, None);
        play("own requests only", shared, choosers, None);
        play("engines asked", shared, choosers, Some(0.0));
        for age in [100.0, 500.0, 2_000.0] {
            let (two, _) = play("two choices", (2, true), choosers, Some(age));
            let (wait, reread) = play("exchange", shared, choosers, Some(age));
            assert!(reread < today_reread * 0.5, "{reread} and {today_reread} tokens");
            assert!(wait < today * 1.15, "{wait} and {today} ms");
            assert!(wait < random.min(two) * 0.5, "{wait}, {random} and {two} ms");
        }
    }
}
