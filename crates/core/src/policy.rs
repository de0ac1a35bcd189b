//! Which set of decisions is in force.

use crate::value;

value! {
    /// The closed set of policies. The baseline exists to measure against.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum Policy {
        /// Everything that this package decides.
        #[default]
        Damaskweir,
        /// Round robin, first in first out, no hedging, retry at once, no admission control.
        Baseline,
    }
}
