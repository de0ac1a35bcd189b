//! Figures of one run, taken from what the stand-ins counted.

use crate::arrival::{Arrival, Shape, factor};
use crate::deployment::Deployment;
use crate::tally::{CallOutcome, Tally};
use damaskweir_core::time::{Span, Time};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// The peak of a swing: load at least this part of the way up from the mean.
const PEAK_PART: f64 = 0.8;

/// Latency in milliseconds. A request without a complete answer counts with its deadline.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub(crate) struct Latency {
    pub(crate) p50: f64,
    pub(crate) p99: f64,
    pub(crate) p999: f64,
}

/// Work of one stage in seconds of a stream.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub(crate) struct StageCost {
    pub(crate) stage: String,
    pub(crate) pool: String,
    pub(crate) work: f64,
    /// Spent on requests without a complete answer in time.
    pub(crate) wasted: f64,
    /// Spent on attempts whose output was not used, of requests that were answered in time.
    pub(crate) hedging: f64,
}

/// Counts of broken guarantees.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub(crate) struct BrokenCounts {
    pub(crate) doubled: u64,
    pub(crate) lost: u64,
    pub(crate) misdelivered: u64,
    pub(crate) untrue: u64,
}

/// All figures of one run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub(crate) struct Summary {
    pub(crate) calls: u64,
    pub(crate) attainment: f64,
    pub(crate) short: Latency,
    pub(crate) long: Latency,
    /// Attainment of calls that arrived at the peak of the swing.
    pub(crate) peak_attainment: f64,
    pub(crate) peak: Latency,
    pub(crate) stages: Vec<StageCost>,
    pub(crate) wasted_share: f64,
    pub(crate) hedging_share: f64,
    pub(crate) refused: BTreeMap<String, u64>,
    pub(crate) attempts: u64,
    pub(crate) prefix_hits: u64,
    pub(crate) store_calls: u64,
    pub(crate) broken: BrokenCounts,
    /// Per second of arrival: calls, and those answered completely in time.
    #[serde(skip)]
    pub(crate) timeline: Vec<(u64, u64)>,
    /// Short latencies in milliseconds at each percent.
    #[serde(skip)]
    pub(crate) curve: Vec<f64>,
}

/// Rounds for output.
pub(crate) fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// A run that is over, with what it was made of.
pub(crate) struct Run<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) arrivals: &'a [Arrival],
    pub(crate) tally: &'a Tally,
}

impl Run<'_> {
    fn ending(&self, call: usize) -> &CallOutcome {
        &self.tally.outcomes[call]
    }

    fn deadline(&self, call: usize) -> Span {
        self.deployment.pipelines[self.arrivals[call].pipeline].deadline
    }

    fn is_long(&self, call: usize) -> bool {
        self.deployment.pipelines[self.arrivals[call].pipeline].long
    }

    /// Whether a call was answered completely within its deadline.
    pub(crate) fn good(&self, call: usize) -> bool {
        let ending = self.ending(call);
        let limit = self.arrivals[call].at + self.deadline(call) + OFFSET;
        ending.complete && ending.answered_at.is_some_and(|at| at <= limit)
    }

    /// Latency, or the deadline for a call without a complete answer.
    fn latency(&self, call: usize) -> Span {
        match self.ending(call).answered_at {
            Some(at) if self.good(call) => at.since(self.arrivals[call].at + OFFSET),
            _ => self.deadline(call),
        }
    }

    /// Calls that arrived within a window.
    pub(crate) fn within(&self, from: Time, to: Time) -> impl Iterator<Item = usize> + Clone {
        (0..self.arrivals.len()).filter(move |i| (from..to).contains(&self.arrivals[*i].at))
    }

    pub(crate) fn attainment(&self, calls: impl Iterator<Item = usize>) -> f64 {
        let (all, good) = calls
            .fold((0u64, 0u64), |(all, good), call| (all + 1, good + u64::from(self.good(call))));
        if all == 0 { 1.0 } else { good as f64 / all as f64 }
    }

    fn histogram(&self, calls: impl Iterator<Item = usize>) -> Option<Histogram<u64>> {
        let mut histogram = Histogram::new(3).ok()?;
        for call in calls {
            histogram.record(self.latency(call).0).ok()?;
        }
        Some(histogram)
    }

    pub(crate) fn latencies(&self, calls: impl Iterator<Item = usize>) -> Latency {
        let Some(histogram) = self.histogram(calls) else { return Latency::default() };
        let at = |quantile| round(histogram.value_at_quantile(quantile) as f64 / 1e3);
        Latency { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
    }

    /// Latency of the calls within a window that are not long.
    pub(crate) fn short_within(&self, from: Time, to: Time) -> Latency {
        self.latencies(self.within(from, to).filter(|call| !self.is_long(*call)))
    }

    /// Work on requests that were not answered in time, as a share of all work on the calls given.
    pub(crate) fn wasted(&self, from: Time, to: Time) -> f64 {
        let inside = |call: usize| (from..to).contains(&self.arrivals[call].at);
        let spent = self.tally.attempt_work.values().filter(|spent| inside(spent.call));
        let (all, wasted) = spent.fold((0u64, 0u64), |(all, wasted), spent| {
            let missed = if self.good(spent.call) { 0 } else { spent.work.0 };
            (all + spent.work.0, wasted + missed)
        });
        if all == 0 { 0.0 } else { wasted as f64 / all as f64 }
    }

    /// Work that the bottleneck pool did in a window and that went into complete answers in time, as a
    /// share of what the pool could have done.
    pub(crate) fn yielded(&self, from: Time, to: Time) -> f64 {
        let useful: f64 = self
            .tally
            .attempt_work
            .values()
            .filter(|spent| spent.used && self.good(spent.call))
            .filter(|spent| {
                let pipeline = &self.deployment.pipelines[self.arrivals[spent.call].pipeline];
                pipeline.stages[spent.stage].pool == self.deployment.bottleneck
            })
            .map(|spent| spent.seconds_within(from, to))
            .sum();
        useful / (self.deployment.capacity() * to.since(from).as_secs_f64())
    }

    /// Calls and good calls per second of arrival.
    pub(crate) fn timeline(&self) -> Vec<(u64, u64)> {
        let mut timeline = Vec::new();
        for call in 0..self.arrivals.len() {
            let second = (self.arrivals[call].at.0 / 1_000_000) as usize;
            if timeline.len() <= second {
                timeline.resize(second + 1, (0, 0));
            }
            timeline[second].0 += 1;
            timeline[second].1 += u64::from(self.good(call));
        }
        timeline
    }

    /// All figures.
    pub(crate) fn summary(&self, shape: &Shape) -> Summary {
        let calls = 0..self.arrivals.len();
        let short = calls.clone().filter(|call| !self.is_long(*call));
        let long = calls.clone().filter(|call| self.is_long(*call));
        let peak = calls.clone().filter(|call| self.at_peak(shape, *call));
        let broken = self.tally.violations();
        let stages = self.stages();
        let work: f64 = stages.iter().map(|s| s.work).sum::<f64>().max(f64::MIN_POSITIVE);
        let curve = self.histogram(short.clone()).map_or_else(Vec::new, |histogram| {
            (0..100).map(|p| histogram.value_at_percentile(f64::from(p)) as f64 / 1e3).collect()
        });
        Summary {
            calls: self.arrivals.len() as u64,
            attainment: round(self.attainment(calls)),
            short: self.latencies(short),
            long: self.latencies(long),
            peak_attainment: round(self.attainment(peak.clone())),
            peak: self.latencies(peak.filter(|call| !self.is_long(*call))),
            wasted_share: round(stages.iter().map(|s| s.wasted).sum::<f64>() / work),
            hedging_share: round(stages.iter().map(|s| s.hedging).sum::<f64>() / work),
            stages,
            refused: self.refused(),
            attempts: self.tally.attempts,
            prefix_hits: self.tally.prefix_hits,
            store_calls: self.tally.store_calls,
            broken: BrokenCounts {
                doubled: broken.duplicates,
                lost: broken.unanswered,
                misdelivered: broken.misdelivered,
                untrue: broken.false_refusals,
            },
            timeline: self.timeline(),
            curve,
        }
    }

    fn at_peak(&self, shape: &Shape, call: usize) -> bool {
        let at = Span(self.arrivals[call].at.0).as_secs_f64();
        let plain = Shape { surge: None, ..*shape };
        factor(self.deployment, &plain, at) >= 1.0 + shape.swing * PEAK_PART
    }

    fn refused(&self) -> BTreeMap<String, u64> {
        let mut refused = BTreeMap::new();
        for ending in &self.tally.outcomes {
            if let Some(code) = ending.error_code {
                *refused.entry(format!("{code:?}")).or_default() += 1;
            }
        }
        refused
    }

    fn stages(&self) -> Vec<StageCost> {
        let mut costs = BTreeMap::<(usize, usize), (Span, Span, Span)>::new();
        for spent in self.tally.attempt_work.values() {
            let pipeline = self.arrivals[spent.call].pipeline;
            let cost = costs.entry((pipeline, spent.stage)).or_default();
            cost.0 += spent.work;
            if !self.good(spent.call) {
                cost.1 += spent.work;
            } else if !spent.used {
                cost.2 += spent.work;
            }
        }
        let name = |(pipeline, stage): (usize, usize)| {
            let pipeline = &self.deployment.pipelines[pipeline];
            let stage = &pipeline.stages[stage];
            let pool = self.deployment.pools[stage.pool].name.clone();
            (format!("{}/{}", pipeline.name, stage.name), pool)
        };
        costs
            .into_iter()
            .map(|(key, (work, wasted, hedging))| {
                let (stage, pool) = name(key);
                StageCost {
                    stage,
                    pool,
                    work: round(work.as_secs_f64()),
                    wasted: round(wasted.as_secs_f64()),
                    hedging: round(hedging.as_secs_f64()),
                }
            })
            .collect()
    }
}

/// Calls start this long after their drawn time, when the first connections are open.
pub(crate) const OFFSET: Span = Span::from_millis(20);
