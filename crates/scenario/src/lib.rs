//! Scripted test scenarios: a small language that describes topology, traffic, faults and
//! expectations, and a runner that drives the state machines of `damaskweir-core` in virtual time.
//! docs/scenarios.md describes the language.
//!
//! ```
//! let text = "pool readers servers 2 slots 4 time 20ms
//! pipeline read deadline 1s stages readers
//! traffic read 20 per second for 2s
//! at 1s kill readers-0 for 5s
//! expect nothing lost
//! ";
//! let scenario = damaskweir_scenario::parse(text).expect("valid scenario");
//! let report = damaskweir_scenario::run(&scenario, 1);
//! assert!(report.failures.is_empty(), "{report}");
//! ```

mod fault;
mod language;
mod node;
mod rollout;
mod side;
mod verdict;
mod world;

pub use language::{Scenario, ScenarioError, parse};
pub use verdict::Report;

/// Runs a scenario. The same seed repeats the same run.
pub fn run(scenario: &Scenario, seed: u64) -> Report {
    world::Simulation::new(scenario, seed).run()
}
