//! Bench of the decision core in virtual time.
