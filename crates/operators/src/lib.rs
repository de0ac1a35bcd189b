//! Commands of operators and the audit trail.
