//! Named runs, each with the measure of its target on the design page.

use crate::arrival::{Shape, Surge, draw};
use crate::deployment::Deployment;
use crate::summary::{Run, Summary, round};
use crate::tally::Tally;
use crate::world::{Faults, Simulation, Slowdown};
use damaskweir_core::entry::EntrySettings;
use damaskweir_core::time::{Span, Time};
use serde::Serialize;

/// Share of good answers per second of arrival that counts as normal.
const NORMAL: f64 = 0.99;
/// Load of the surge, as a share of capacity.
const SURGE_LOAD: f64 = 2.0;
/// Length of the surge and of the slowdown at most.
const FAULT_TIME: Span = Span::from_secs(20);

/// The closed set of experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Experiment {
    /// Even load, no faults.
    Steady,
    /// Load that swings as the deployment says.
    Swing,
    /// Short work with and without long work beside it.
    LongMix,
    /// Twice the capacity for a while.
    Overload,
    /// The same surge from one workspace with a small share.
    Greedy,
    /// Overload with twice the slots in the bundle that the servers have; reference: half of them.
    Misfit,
    /// Some servers slowed, their reports late.
    Slowed,
    /// One server dies at each interval.
    Dying,
    /// Swing, slowed and dying servers and a store that is down for a while, all at once.
    Storm,
}

/// All experiments, in the order of output.
pub const EXPERIMENTS: [Experiment; 9] = [
    Experiment::Steady,
    Experiment::Swing,
    Experiment::LongMix,
    Experiment::Overload,
    Experiment::Greedy,
    Experiment::Misfit,
    Experiment::Slowed,
    Experiment::Dying,
    Experiment::Storm,
];

impl Experiment {
    /// Name on the command line and in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Experiment::Steady => "steady",
            Experiment::Swing => "swing",
            Experiment::LongMix => "long-mix",
            Experiment::Overload => "overload",
            Experiment::Greedy => "greedy",
            Experiment::Misfit => "misfit",
            Experiment::Slowed => "slowed",
            Experiment::Dying => "dying",
            Experiment::Storm => "storm",
        }
    }

    /// The experiment of that name.
    pub fn find(name: &str) -> Option<Self> {
        EXPERIMENTS.into_iter().find(|experiment| experiment.name() == name)
    }
}

/// A measure and its target.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct Measure {
    pub(crate) name: &'static str,
    pub(crate) value: f64,
    /// `None`: reported without a target.
    pub(crate) target: Option<f64>,
    /// The target is the least allowed value; otherwise the greatest.
    pub(crate) at_least: bool,
    pub(crate) met: bool,
}

impl Measure {
    fn at_least(name: &'static str, value: f64, target: f64) -> Self {
        Self {
            name,
            value: round(value),
            target: Some(target),
            at_least: true,
            met: value >= target,
        }
    }

    fn at_most(name: &'static str, value: f64, target: f64) -> Self {
        Self {
            name,
            value: round(value),
            target: Some(target),
            at_least: false,
            met: value <= target,
        }
    }

    fn plain(name: &'static str, value: f64) -> Self {
        Self { name, value: round(value), target: None, at_least: false, met: true }
    }
}

/// Figures of one experiment under one policy.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct Findings {
    pub(crate) experiment: &'static str,
    pub(crate) measures: Vec<Measure>,
    pub(crate) run: Summary,
    /// The run without the long work or the slowdown.
    pub(crate) reference: Option<Summary>,
}

/// What a run is made of.
struct Plan<'a> {
    deployment: &'a Deployment,
    settings: EntrySettings,
    seed: u64,
}

impl Plan<'_> {
    fn run<T>(&self, shape: &Shape, faults: Faults, take: impl FnOnce(&Run<'_>) -> T) -> T {
        let arrivals = draw(self.deployment, shape, self.seed);
        let tally: Tally =
            Simulation::new(self.deployment, &arrivals, faults, self.settings, self.seed).run();
        take(&Run { deployment: self.deployment, arrivals: &arrivals, tally: &tally })
    }
}

/// Runs one experiment.
pub(crate) fn run(
    experiment: Experiment,
    deployment: &Deployment,
    settings: EntrySettings,
    seed: u64,
    length: Span,
) -> Findings {
    let plan = Plan { deployment, settings, seed };
    let shape = Shape { length, swing: 0.0, surge: None, greedy: None, long: true };
    let mut findings = match experiment {
        Experiment::Steady => steady(&plan, &shape),
        Experiment::Swing => swing(&plan, &shape),
        Experiment::LongMix => long_mix(&plan, &shape),
        Experiment::Overload => overload(&plan, &shape),
        Experiment::Greedy => greedy(&plan, &shape),
        Experiment::Misfit => misfit(&plan, &shape),
        Experiment::Slowed => slowed(&plan, &shape),
        Experiment::Dying => dying(&plan, &shape),
        Experiment::Storm => storm(&plan, &shape),
    };
    let broken = &findings.run.broken;
    for (name, count) in [
        ("doubled", broken.doubled),
        ("lost", broken.lost),
        ("misdelivered", broken.misdelivered),
        ("untrue refusals", broken.untrue),
    ] {
        findings.measures.push(Measure::at_most(name, count as f64, 0.0));
    }
    findings
}

fn steady(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let run = plan.run(shape, Faults::default(), |run| run.summary(shape));
    let measures = vec![
        Measure::at_least("attainment", run.attainment, 0.999),
        Measure::plain("hedging share", run.hedging_share),
    ];
    Findings { experiment: Experiment::Steady.name(), measures, run, reference: None }
}

fn swing(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let shape = Shape { swing: plan.deployment.swing, ..*shape };
    let run = plan.run(&shape, Faults::default(), |run| run.summary(&shape));
    let measures = vec![
        Measure::plain("attainment", run.attainment),
        Measure::plain("peak attainment", run.peak_attainment),
        Measure::plain("peak short p99 ms", run.peak.p99),
        Measure::plain("wasted share", run.wasted_share),
    ];
    Findings { experiment: Experiment::Swing.name(), measures, run, reference: None }
}

fn long_mix(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let run = plan.run(shape, Faults::default(), |run| run.summary(shape));
    let without = Shape { long: false, ..*shape };
    let reference = plan.run(&without, Faults::default(), |run| run.summary(&without));
    let measures = vec![
        Measure::at_most("short p99 ratio", run.short.p99 / reference.short.p99, 1.3),
        Measure::plain("short p99.9 ratio", run.short.p999 / reference.short.p999),
        Measure::plain("short p50 ratio", run.short.p50 / reference.short.p50),
        Measure::plain("long p99 ms", run.long.p99),
    ];
    let reference = Some(reference);
    Findings { experiment: Experiment::LongMix.name(), measures, run, reference }
}

/// Start and end of the fault within a run.
fn window(length: Span) -> (Time, Time) {
    let from = Time(length.0 / 3);
    (from, from + Span((length.0 / 3).min(FAULT_TIME.0)))
}

fn overload(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let (from, to) = window(shape.length);
    let shape = Shape { surge: Some(Surge { from, to, load: SURGE_LOAD }), ..*shape };
    plan.run(&shape, Faults::default(), |run| {
        let measures = vec![
            Measure::at_least("yield of capacity", run.yielded(from, to), 0.92),
            Measure::at_most("wasted share", run.wasted(from, to), 0.03),
            Measure::at_most("recovery s", recovery(run, to), 5.0),
            Measure::plain("attainment in overload", run.attainment(run.within(from, to))),
            Measure::plain("short p99 ms in overload", run.short_within(from, to).p99),
        ];
        let summary = run.summary(&shape);
        Findings {
            experiment: Experiment::Overload.name(),
            measures,
            run: summary,
            reference: None,
        }
    })
}

fn greedy(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let (from, to) = window(shape.length);
    let workspaces = &plan.deployment.workspaces;
    let least = (0..workspaces.len()).min_by_key(|i| workspaces[*i].share);
    let surge = Some(Surge { from, to, load: SURGE_LOAD });
    let shape = Shape { surge, greedy: least, ..*shape };
    plan.run(&shape, Faults::default(), |run| {
        let calls = run.within(from, to);
        let is_greedy = |call: &usize| Some(run.arrivals[*call].workspace) == least;
        let measures = vec![
            Measure::plain(
                "others' attainment",
                run.attainment(calls.clone().filter(|c| !is_greedy(c))),
            ),
            Measure::plain("greedy attainment", run.attainment(calls.filter(is_greedy))),
            Measure::plain("yield of capacity", run.yielded(from, to)),
            Measure::plain("wasted share", run.wasted(from, to)),
        ];
        let summary = run.summary(&shape);
        Findings { experiment: Experiment::Greedy.name(), measures, run: summary, reference: None }
    })
}

fn misfit(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let told = |factor: f64| {
        let mut deployment = plan.deployment.clone();
        let bottleneck = deployment.bottleneck;
        deployment.pools[bottleneck].told = factor;
        overload(&Plan { deployment: &deployment, ..*plan }, shape)
    };
    let (twice, half) = (told(2.0), told(0.5));
    let measure = |findings: &Findings, name: &str| {
        findings.measures.iter().find(|m| m.name == name).map_or(0.0, |m| m.value)
    };
    let measures = vec![
        Measure::plain("yield, twice the slots", measure(&twice, "yield of capacity")),
        Measure::plain("wasted, twice the slots", measure(&twice, "wasted share")),
        Measure::plain("recovery s, twice", measure(&twice, "recovery s")),
        Measure::plain("yield, half the slots", measure(&half, "yield of capacity")),
        Measure::plain("wasted, half the slots", measure(&half, "wasted share")),
        Measure::plain("recovery s, half", measure(&half, "recovery s")),
    ];
    let reference = Some(half.run);
    Findings { experiment: Experiment::Misfit.name(), measures, run: twice.run, reference }
}

/// Seconds from the end of the surge until all later seconds are normal.
fn recovery(run: &Run<'_>, end: Time) -> f64 {
    let end = (end.0 / 1_000_000) as usize;
    let timeline = run.timeline();
    let bad = |(all, good): &(u64, u64)| (*good as f64) < *all as f64 * NORMAL;
    let last = timeline.iter().rposition(bad);
    last.map_or(0.0, |last| (last + 1).saturating_sub(end) as f64)
}

fn slowed(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let (from, to) = window(shape.length);
    let faults = Faults { slowdown: Some(Slowdown { from, to }), ..Faults::default() };
    let figures = |run: &Run<'_>| (run.short_within(from, to), run.summary(shape));
    let (with, run) = plan.run(shape, faults, figures);
    let (without, reference) = plan.run(shape, Faults::default(), figures);
    let measures = vec![
        Measure::at_most("short p99 ratio", with.p99 / without.p99, 1.5),
        Measure::plain("short p99.9 ratio", with.p999 / without.p999),
        Measure::plain("short p50 ratio", with.p50 / without.p50),
        Measure::at_most("hedging share", run.hedging_share, 0.05),
        Measure::plain("attainment", run.attainment),
    ];
    let reference = Some(reference);
    Findings { experiment: Experiment::Slowed.name(), measures, run, reference }
}

fn dying(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let faults = Faults { crashes: true, ..Faults::default() };
    let run = plan.run(shape, faults, |run| run.summary(shape));
    let measures = vec![
        Measure::at_least("attainment", run.attainment, 0.995),
        Measure::plain("short p99 ms", run.short.p99),
        Measure::plain("wasted share", run.wasted_share),
    ];
    Findings { experiment: Experiment::Dying.name(), measures, run, reference: None }
}

fn storm(plan: &Plan<'_>, shape: &Shape) -> Findings {
    let (from, to) = window(shape.length);
    let faults = Faults {
        slowdown: Some(Slowdown { from, to }),
        crashes: true,
        store_outage: Some((from, to)),
    };
    let shape = Shape { swing: plan.deployment.swing, ..*shape };
    let run = plan.run(&shape, faults, |run| run.summary(&shape));
    let measures = vec![
        Measure::plain("attainment", run.attainment),
        Measure::plain("short p99 ms", run.short.p99),
        Measure::plain("wasted share", run.wasted_share),
    ];
    Findings { experiment: Experiment::Storm.name(), measures, run, reference: None }
}
