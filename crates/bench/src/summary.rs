//! Statistics of a run, computed from the tally of the simulation.

use crate::arrival::{Arrival, LoadProfile, load_factor};
use crate::deployment::Deployment;
use crate::tally::{CallOutcome, Tally};
use damaskweir_core::time::{Span, Time};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Share of the swing amplitude that the load must exceed the mean by to count as the peak.
const PEAK_THRESHOLD: f64 = 0.8;

/// Latency quantiles in milliseconds.
///
/// A call without a complete answer in time counts with its deadline.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub(crate) struct LatencyQuantiles {
    pub(crate) p50: f64,
    pub(crate) p99: f64,
    pub(crate) p999: f64,
}

/// Work of one stage, in seconds of service time.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub(crate) struct StageCost {
    pub(crate) stage: String,
    pub(crate) pool: String,
    pub(crate) work: f64,
    /// Work on calls without a complete answer in time.
    pub(crate) wasted: f64,
    /// Work on attempts whose output was discarded, of calls that were answered in time.
    pub(crate) hedging: f64,
}

/// Violations of each guarantee; all must be 0.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub(crate) struct BrokenCounts {
    pub(crate) doubled: u64,
    pub(crate) lost: u64,
    pub(crate) misdelivered: u64,
    pub(crate) untrue: u64,
}

/// Statistics of one run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub(crate) struct Summary {
    pub(crate) calls: u64,
    /// Share of calls that met their deadline.
    pub(crate) attainment: f64,
    pub(crate) short: LatencyQuantiles,
    pub(crate) long: LatencyQuantiles,
    /// Share of the calls arriving at the peak of the swing that met their deadline.
    pub(crate) peak_attainment: f64,
    pub(crate) peak: LatencyQuantiles,
    pub(crate) stages: Vec<StageCost>,
    pub(crate) wasted_share: f64,
    pub(crate) hedging_share: f64,
    pub(crate) refused: BTreeMap<String, u64>,
    pub(crate) attempts: u64,
    pub(crate) prefix_hits: u64,
    pub(crate) store_calls: u64,
    pub(crate) broken: BrokenCounts,
    /// Calls per second of arrival, and those of them that met their deadline.
    #[serde(skip)]
    pub(crate) timeline: Vec<(u64, u64)>,
    /// Latency of short calls in milliseconds at each percentile from 0 to 99.
    #[serde(skip)]
    pub(crate) curve: Vec<f64>,
}

/// Rounds to four decimal places for output.
pub(crate) fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// Completed run and its inputs.
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

    /// Returns whether a call got a complete answer within its deadline.
    pub(crate) fn met_deadline(&self, call: usize) -> bool {
        let ending = self.ending(call);
        let limit = self.arrivals[call].at + self.deadline(call) + START_OFFSET;
        ending.complete && ending.answered_at.is_some_and(|at| at <= limit)
    }

    /// Returns the latency of a call, or its deadline if it got no complete answer in time.
    fn latency(&self, call: usize) -> Span {
        match self.ending(call).answered_at {
            Some(at) if self.met_deadline(call) => at.since(self.arrivals[call].at + START_OFFSET),
            _ => self.deadline(call),
        }
    }

    /// Returns the calls that arrived within a time window.
    pub(crate) fn arrived_within(
        &self,
        from: Time,
        to: Time,
    ) -> impl Iterator<Item = usize> + Clone {
        (0..self.arrivals.len()).filter(move |i| (from..to).contains(&self.arrivals[*i].at))
    }

    /// Returns the share of the calls that met their deadline.
    pub(crate) fn attainment(&self, calls: impl Iterator<Item = usize>) -> f64 {
        let (all, good) = calls.fold((0u64, 0u64), |(all, good), call| {
            (all + 1, good + u64::from(self.met_deadline(call)))
        });
        if all == 0 { 1.0 } else { good as f64 / all as f64 }
    }

    fn histogram(&self, calls: impl Iterator<Item = usize>) -> Option<Histogram<u64>> {
        let mut histogram = Histogram::new(3).ok()?;
        for call in calls {
            histogram.record(self.latency(call).0).ok()?;
        }
        Some(histogram)
    }

    pub(crate) fn latency_quantiles(&self, calls: impl Iterator<Item = usize>) -> LatencyQuantiles {
        let Some(histogram) = self.histogram(calls) else { return LatencyQuantiles::default() };
        let at = |quantile| round(histogram.value_at_quantile(quantile) as f64 / 1e3);
        LatencyQuantiles { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
    }

    /// Returns the latency of the short calls that arrived within a time window.
    pub(crate) fn short_latency(&self, from: Time, to: Time) -> LatencyQuantiles {
        self.latency_quantiles(self.arrived_within(from, to).filter(|call| !self.is_long(*call)))
    }

    /// Returns the share of the work on the calls arriving within a time window that was spent on
    /// calls without a complete answer in time.
    pub(crate) fn wasted_share(&self, from: Time, to: Time) -> f64 {
        let inside = |call: usize| (from..to).contains(&self.arrivals[call].at);
        let spent = self.tally.attempt_work.values().filter(|spent| inside(spent.call));
        let (all, wasted) = spent.fold((0u64, 0u64), |(all, wasted), spent| {
            let missed = if self.met_deadline(spent.call) { 0 } else { spent.work.0 };
            (all + spent.work.0, wasted + missed)
        });
        if all == 0 { 0.0 } else { wasted as f64 / all as f64 }
    }

    /// Returns the work of the bottleneck pool within a time window that contributed to complete
    /// answers in time, as a share of the capacity of the pool.
    pub(crate) fn goodput_share(&self, from: Time, to: Time) -> f64 {
        let useful: f64 = self
            .tally
            .attempt_work
            .values()
            .filter(|spent| spent.used && self.met_deadline(spent.call))
            .filter(|spent| {
                let pipeline = &self.deployment.pipelines[self.arrivals[spent.call].pipeline];
                pipeline.stages[spent.stage].pool == self.deployment.bottleneck
            })
            .map(|spent| spent.seconds_within(from, to))
            .sum();
        useful / (self.deployment.capacity() * to.since(from).as_secs_f64())
    }

    /// Returns, per second of arrival, the calls and those of them that met their deadline.
    pub(crate) fn timeline(&self) -> Vec<(u64, u64)> {
        let mut timeline = Vec::new();
        for call in 0..self.arrivals.len() {
            let second = (self.arrivals[call].at.0 / 1_000_000) as usize;
            if timeline.len() <= second {
                timeline.resize(second + 1, (0, 0));
            }
            timeline[second].0 += 1;
            timeline[second].1 += u64::from(self.met_deadline(call));
        }
        timeline
    }

    /// Computes all statistics of the run.
    pub(crate) fn summary(&self, profile: &LoadProfile) -> Summary {
        let calls = 0..self.arrivals.len();
        let short = calls.clone().filter(|call| !self.is_long(*call));
        let long = calls.clone().filter(|call| self.is_long(*call));
        let peak = calls.clone().filter(|call| self.at_peak(profile, *call));
        let broken = self.tally.violations();
        let stages = self.stages();
        let work: f64 = stages.iter().map(|s| s.work).sum::<f64>().max(f64::MIN_POSITIVE);
        let curve = self.histogram(short.clone()).map_or_else(Vec::new, |histogram| {
            (0..100).map(|p| histogram.value_at_percentile(f64::from(p)) as f64 / 1e3).collect()
        });
        Summary {
            calls: self.arrivals.len() as u64,
            attainment: round(self.attainment(calls)),
            short: self.latency_quantiles(short),
            long: self.latency_quantiles(long),
            peak_attainment: round(self.attainment(peak.clone())),
            peak: self.latency_quantiles(peak.filter(|call| !self.is_long(*call))),
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

    fn at_peak(&self, profile: &LoadProfile, call: usize) -> bool {
        let at = Span(self.arrivals[call].at.0).as_secs_f64();
        let base = LoadProfile { surge: None, ..*profile };
        load_factor(self.deployment, &base, at) >= 1.0 + profile.swing * PEAK_THRESHOLD
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
            if !self.met_deadline(spent.call) {
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

/// Delay of all calls after their drawn arrival time, so that the first connections are open.
pub(crate) const START_OFFSET: Span = Span::from_millis(20);
