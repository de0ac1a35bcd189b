//! Selection between the full policy and a baseline for comparison.

use crate::value;

value! {
    /// Set of scheduling decisions to apply. The baseline exists for comparison in measurements.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum Policy {
        /// All mechanisms of this crate.
        #[default]
        Damaskweir,
        /// Round robin, FIFO queues, immediate retries, no hedging, no admission control.
        Baseline,
    }
}
