//! Experiments and the measures that are checked against the targets in the design document.

use crate::arrival::{LoadProfile, Surge, draw};
use crate::deployment::Deployment;
use crate::summary::{Run, Summary, round};
use crate::tally::Tally;
use crate::world::{Faults, Simulation, Slowdown};
use damaskweir_core::entry::EntrySettings;
use damaskweir_core::time::{Span, Time};
use serde::Serialize;

/// Minimum share of the calls arriving in a second that must meet their deadline for the second to
/// count as recovered.
const NORMAL_ATTAINMENT: f64 = 0.99;
/// Load during the surge, as a multiple of capacity.
const SURGE_LOAD: f64 = 2.0;
/// Maximum length of the surge, the slowdown and the store outage.
const MAX_FAULT_DURATION: Span = Span::from_secs(20);

/// Experiment of the benchmark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Experiment {
    /// Constant load without faults.
    Steady,
    /// Sinusoidal load with the deployment's amplitude and period.
    Swing,
    /// Short calls with and without concurrent long calls.
    LongMix,
    /// Surge to twice the capacity.
    Overload,
    /// The same surge, sent by the workspace with the smallest share.
    Greedy,
    /// Overload with a bundle that has twice the actual slots of the bottleneck pool; the reference
    /// run has half of them.
    Misfit,
    /// Some servers are slow and their reports late.
    Slowed,
    /// A server crashes at regular intervals.
    Dying,
    /// Swing, slow servers, crashes and a store outage combined.
    Storm,
}

/// All experiments, in output order.
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
    /// Returns the name used on the command line and in JSON.
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

    /// Returns the experiment with this name.
    pub fn find(name: &str) -> Option<Self> {
        EXPERIMENTS.into_iter().find(|experiment| experiment.name() == name)
    }
}

/// Measured value and its target.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct Measure {
    pub(crate) name: &'static str,
    pub(crate) value: f64,
    /// `None` if the measure has no target.
    pub(crate) target: Option<f64>,
    /// Whether the target is a lower bound; otherwise it is an upper bound.
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

    fn untargeted(name: &'static str, value: f64) -> Self {
        Self { name, value: round(value), target: None, at_least: false, met: true }
    }
}

/// Results of one experiment under one policy.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct Findings {
    pub(crate) experiment: &'static str,
    pub(crate) measures: Vec<Measure>,
    pub(crate) run: Summary,
    /// Run to compare with: without long calls, without the slowdown, or with half of the slots.
    pub(crate) reference: Option<Summary>,
}

/// Parameters shared by the runs of an experiment.
struct RunSetup<'a> {
    deployment: &'a Deployment,
    settings: EntrySettings,
    seed: u64,
}

impl RunSetup<'_> {
    fn run<T>(
        &self,
        profile: &LoadProfile,
        faults: Faults,
        extract: impl FnOnce(&Run<'_>) -> T,
    ) -> T {
        let arrivals = draw(self.deployment, profile, self.seed);
        let tally: Tally =
            Simulation::new(self.deployment, &arrivals, faults, self.settings, self.seed).run();
        extract(&Run { deployment: self.deployment, arrivals: &arrivals, tally: &tally })
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
    let setup = RunSetup { deployment, settings, seed };
    let profile =
        LoadProfile { length, swing: 0.0, surge: None, surge_workspace: None, long: true };
    let mut findings = match experiment {
        Experiment::Steady => steady(&setup, &profile),
        Experiment::Swing => swing(&setup, &profile),
        Experiment::LongMix => long_mix(&setup, &profile),
        Experiment::Overload => overload(&setup, &profile),
        Experiment::Greedy => greedy(&setup, &profile),
        Experiment::Misfit => misfit(&setup, &profile),
        Experiment::Slowed => slowed(&setup, &profile),
        Experiment::Dying => dying(&setup, &profile),
        Experiment::Storm => storm(&setup, &profile),
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

fn steady(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let run = setup.run(profile, Faults::default(), |run| run.summary(profile));
    let measures = vec![
        Measure::at_least("attainment", run.attainment, 0.999),
        Measure::untargeted("hedging share", run.hedging_share),
    ];
    Findings { experiment: Experiment::Steady.name(), measures, run, reference: None }
}

fn swing(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let profile = LoadProfile { swing: setup.deployment.swing, ..*profile };
    let run = setup.run(&profile, Faults::default(), |run| run.summary(&profile));
    let measures = vec![
        Measure::untargeted("attainment", run.attainment),
        Measure::untargeted("peak attainment", run.peak_attainment),
        Measure::untargeted("peak short p99 ms", run.peak.p99),
        Measure::untargeted("wasted share", run.wasted_share),
    ];
    Findings { experiment: Experiment::Swing.name(), measures, run, reference: None }
}

fn long_mix(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let run = setup.run(profile, Faults::default(), |run| run.summary(profile));
    let without = LoadProfile { long: false, ..*profile };
    let reference = setup.run(&without, Faults::default(), |run| run.summary(&without));
    let measures = vec![
        Measure::at_most("short p99 ratio", run.short.p99 / reference.short.p99, 1.3),
        Measure::untargeted("short p99.9 ratio", run.short.p999 / reference.short.p999),
        Measure::untargeted("short p50 ratio", run.short.p50 / reference.short.p50),
        Measure::untargeted("long p99 ms", run.long.p99),
    ];
    let reference = Some(reference);
    Findings { experiment: Experiment::LongMix.name(), measures, run, reference }
}

/// Returns the start and end of the surge or fault in a run.
fn fault_window(length: Span) -> (Time, Time) {
    let from = Time(length.0 / 3);
    (from, from + Span((length.0 / 3).min(MAX_FAULT_DURATION.0)))
}

fn overload(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let (from, to) = fault_window(profile.length);
    let profile = LoadProfile { surge: Some(Surge { from, to, load: SURGE_LOAD }), ..*profile };
    setup.run(&profile, Faults::default(), |run| {
        let measures = vec![
            Measure::at_least("yield of capacity", run.goodput_share(from, to), 0.92),
            Measure::at_most("wasted share", run.wasted_share(from, to), 0.03),
            Measure::at_most("recovery s", recovery(run, to), 5.0),
            Measure::untargeted(
                "attainment in overload",
                run.attainment(run.arrived_within(from, to)),
            ),
            Measure::untargeted("short p99 ms in overload", run.short_latency(from, to).p99),
        ];
        let summary = run.summary(&profile);
        Findings {
            experiment: Experiment::Overload.name(),
            measures,
            run: summary,
            reference: None,
        }
    })
}

fn greedy(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let (from, to) = fault_window(profile.length);
    let workspaces = &setup.deployment.workspaces;
    let smallest = (0..workspaces.len()).min_by_key(|i| workspaces[*i].share);
    let surge = Some(Surge { from, to, load: SURGE_LOAD });
    let profile = LoadProfile { surge, surge_workspace: smallest, ..*profile };
    setup.run(&profile, Faults::default(), |run| {
        let calls = run.arrived_within(from, to);
        let is_greedy = |call: &usize| Some(run.arrivals[*call].workspace) == smallest;
        let measures = vec![
            Measure::untargeted(
                "others' attainment",
                run.attainment(calls.clone().filter(|c| !is_greedy(c))),
            ),
            Measure::untargeted("greedy attainment", run.attainment(calls.filter(is_greedy))),
            Measure::untargeted("yield of capacity", run.goodput_share(from, to)),
            Measure::untargeted("wasted share", run.wasted_share(from, to)),
        ];
        let summary = run.summary(&profile);
        Findings { experiment: Experiment::Greedy.name(), measures, run: summary, reference: None }
    })
}

fn misfit(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let overload_with = |slots_factor: f64| {
        let mut deployment = setup.deployment.clone();
        let bottleneck = deployment.bottleneck;
        deployment.pools[bottleneck].slots_factor = slots_factor;
        overload(&RunSetup { deployment: &deployment, ..*setup }, profile)
    };
    let (twice, half) = (overload_with(2.0), overload_with(0.5));
    let measure = |findings: &Findings, name: &str| {
        findings.measures.iter().find(|m| m.name == name).map_or(0.0, |m| m.value)
    };
    let measures = vec![
        Measure::untargeted("yield, twice the slots", measure(&twice, "yield of capacity")),
        Measure::untargeted("wasted, twice the slots", measure(&twice, "wasted share")),
        Measure::untargeted("recovery s, twice", measure(&twice, "recovery s")),
        Measure::untargeted("yield, half the slots", measure(&half, "yield of capacity")),
        Measure::untargeted("wasted, half the slots", measure(&half, "wasted share")),
        Measure::untargeted("recovery s, half", measure(&half, "recovery s")),
    ];
    let reference = Some(half.run);
    Findings { experiment: Experiment::Misfit.name(), measures, run: twice.run, reference }
}

/// Returns the seconds from the end of the surge until all later seconds count as recovered.
fn recovery(run: &Run<'_>, end: Time) -> f64 {
    let end = (end.0 / 1_000_000) as usize;
    let timeline = run.timeline();
    let bad = |(all, good): &(u64, u64)| (*good as f64) < *all as f64 * NORMAL_ATTAINMENT;
    let last = timeline.iter().rposition(bad);
    last.map_or(0.0, |last| (last + 1).saturating_sub(end) as f64)
}

fn slowed(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let (from, to) = fault_window(profile.length);
    let faults = Faults { slowdown: Some(Slowdown { from, to }), ..Faults::default() };
    let figures = |run: &Run<'_>| (run.short_latency(from, to), run.summary(profile));
    let (with, run) = setup.run(profile, faults, figures);
    let (without, reference) = setup.run(profile, Faults::default(), figures);
    let measures = vec![
        Measure::at_most("short p99 ratio", with.p99 / without.p99, 1.5),
        Measure::untargeted("short p99.9 ratio", with.p999 / without.p999),
        Measure::untargeted("short p50 ratio", with.p50 / without.p50),
        Measure::at_most("hedging share", run.hedging_share, 0.05),
        Measure::untargeted("attainment", run.attainment),
    ];
    let reference = Some(reference);
    Findings { experiment: Experiment::Slowed.name(), measures, run, reference }
}

fn dying(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let faults = Faults { crashes: true, ..Faults::default() };
    let run = setup.run(profile, faults, |run| run.summary(profile));
    let measures = vec![
        Measure::at_least("attainment", run.attainment, 0.995),
        Measure::untargeted("short p99 ms", run.short.p99),
        Measure::untargeted("wasted share", run.wasted_share),
    ];
    Findings { experiment: Experiment::Dying.name(), measures, run, reference: None }
}

fn storm(setup: &RunSetup<'_>, profile: &LoadProfile) -> Findings {
    let (from, to) = fault_window(profile.length);
    let faults = Faults {
        slowdown: Some(Slowdown { from, to }),
        crashes: true,
        store_outage: Some((from, to)),
    };
    let profile = LoadProfile { swing: setup.deployment.swing, ..*profile };
    let run = setup.run(&profile, faults, |run| run.summary(&profile));
    let measures = vec![
        Measure::untargeted("attainment", run.attainment),
        Measure::untargeted("short p99 ms", run.short.p99),
        Measure::untargeted("wasted share", run.wasted_share),
    ];
    Findings { experiment: Experiment::Storm.name(), measures, run, reference: None }
}
