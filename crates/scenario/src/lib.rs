//! Scenario language and runner on the decision core.
