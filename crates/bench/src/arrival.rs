//! Generation of call arrivals.
//!
//! Arrivals are drawn before the run from a separate generator, so that all policies see the same
//! ones.

use crate::deployment::Deployment;
use damaskweir_core::Rng;
use damaskweir_core::predict::SizeClass;
use damaskweir_core::time::{Span, Time};
use rand_core::{Rng as _, SeedableRng as _};
use std::f64::consts::TAU;

/// Exclusive bound on the prompt prefix ranks of a workspace; low ranks are drawn more often.
const PREFIX_COUNT: f64 = 64.0;
/// Delay between a call and its repeat under the same idempotency key.
const REPEAT_DELAY: Span = Span::from_millis(30);
/// Share of inputs whose size class is drawn independently of their size.
const MISCLASSIFIED_SHARE: f64 = 0.03;
/// Ramp-up and ramp-down time of a surge, in seconds.
const RAMP_S: f64 = 1.0;

/// Temporary increase of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Surge {
    pub(crate) from: Time,
    pub(crate) to: Time,
    /// Load between `from` and `to`, as a share of capacity.
    pub(crate) load: f64,
}

/// Load over time and its composition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadProfile {
    pub(crate) length: Span,
    /// Amplitude of the sinusoidal load variation, as a share of the mean load.
    pub(crate) swing: f64,
    pub(crate) surge: Option<Surge>,
    /// Workspace that sends the whole surge; if `None`, the surge has the usual mix of workspaces.
    pub(crate) surge_workspace: Option<usize>,
    /// Whether calls of long pipelines arrive; the other arrivals do not depend on it.
    pub(crate) long: bool,
}

/// Call that arrives at an entry.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) entry: usize,
    pub(crate) pipeline: usize,
    pub(crate) workspace: usize,
    pub(crate) prefix: u64,
    /// Identifies the request body; a repeat has the same body as the first call.
    pub(crate) body: u64,
    /// Size class estimated from the input.
    pub(crate) class: SizeClass,
    /// Service time of each stage on an otherwise idle backend server.
    pub(crate) work: Vec<Span>,
}

/// Draws from the uniform distribution over the open interval from 0 to 1.
///
/// Never returns 0, so that its logarithm is finite.
pub(crate) fn uniform(rng: &mut Rng) -> f64 {
    ((rng.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Draws from the standard normal distribution (Box-Muller transform).
pub(crate) fn normal(rng: &mut Rng) -> f64 {
    (-2.0 * uniform(rng).ln()).sqrt() * (TAU * uniform(rng)).cos()
}

/// Draws all arrivals of a run, ordered by time.
///
/// Candidates come from a Poisson process at the peak rate and are thinned to the current load.
pub(crate) fn draw(deployment: &Deployment, profile: &LoadProfile, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::seed_from_u64(seed);
    let peak_factor = peak_factor(deployment, profile);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at -= uniform(&mut rng).ln() / (deployment.rate() * peak_factor);
        if at >= profile.length.as_secs_f64() {
            break;
        }
        let body = arrivals.len() as u64;
        let level = uniform(&mut rng) * peak_factor;
        let accepted = level < load_factor(deployment, profile, at);
        let mut arrival = draw_one(deployment, &mut rng, at, body);
        let base = LoadProfile { surge: None, ..*profile };
        if let Some(surge_workspace) =
            profile.surge_workspace.filter(|_| level >= load_factor(deployment, &base, at))
        {
            arrival.workspace = surge_workspace;
        }
        let repeat = deployment.pipelines[arrival.pipeline].needs_key()
            && uniform(&mut rng) < deployment.repeat_share;
        if !accepted || (deployment.pipelines[arrival.pipeline].long && !profile.long) {
            continue;
        }
        if repeat {
            let entry = (arrival.entry + 1) % deployment.entries;
            arrivals.push(Arrival { at: arrival.at + REPEAT_DELAY, entry, ..arrival.clone() });
        }
        arrivals.push(arrival);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Returns the load at a time in seconds, as a multiple of the deployment's mean load.
pub(crate) fn load_factor(deployment: &Deployment, profile: &LoadProfile, at: f64) -> f64 {
    let swing = 1.0 + profile.swing * (TAU * at / deployment.swing_period.as_secs_f64()).sin();
    profile.surge.map_or(swing, |surge| {
        let (from, to) = (Span(surge.from.0).as_secs_f64(), Span(surge.to.0).as_secs_f64());
        let ramp = ((at - from) / RAMP_S).min((to - at) / RAMP_S + 1.0).clamp(0.0, 1.0);
        swing + (surge.load / deployment.load - swing).max(0.0) * ramp
    })
}

fn peak_factor(deployment: &Deployment, profile: &LoadProfile) -> f64 {
    let swing = 1.0 + profile.swing;
    profile.surge.map_or(swing, |surge| swing.max(surge.load / deployment.load))
}

fn draw_one(deployment: &Deployment, rng: &mut Rng, at: f64, body: u64) -> Arrival {
    let pipeline = weighted_index(rng, deployment.pipelines.iter().map(|p| p.weight));
    let workspace = weighted_index(rng, deployment.workspaces.iter().map(|w| w.weight));
    let rank = PREFIX_COUNT.powf(uniform(rng)) as u64;
    let entry = (rng.next_u64() % deployment.entries as u64) as usize;
    // The input size explains half of the variance of the service time; the other half is not
    // known in advance.
    let size = normal(rng);
    let work = deployment.pipelines[pipeline]
        .stages
        .iter()
        .map(|stage| {
            let part = (size + normal(rng)) * std::f64::consts::FRAC_1_SQRT_2;
            stage.median.scale((stage.sigma * part).exp())
        })
        .collect();
    let class = draw_class(rng, size);
    Arrival {
        at: Time((at * 1e6) as u64),
        entry,
        pipeline,
        workspace,
        prefix: ((workspace as u64) << 32) | rank,
        body,
        class,
        work,
    }
}

/// Draws the size class of an input; a share of inputs is misclassified.
fn draw_class(rng: &mut Rng, size: f64) -> SizeClass {
    let observed = if uniform(rng) < MISCLASSIFIED_SHARE { normal(rng) } else { size };
    SizeClass(((observed + 2.0).clamp(0.0, 3.9)) as u8)
}

fn weighted_index(rng: &mut Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = uniform(rng) * total;
    let mut last = 0;
    for (i, weight) in weights.enumerate() {
        last = i;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
