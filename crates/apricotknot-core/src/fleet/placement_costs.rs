//! Costs and tolerances that several parts of placement share.

/// Fraction of a time limit that an estimate may reach and still count as on time.
pub(super) const TIMELY_FRACTION: f64 = 0.85;

/// Cost of an endpoint all of whose recent attempts failed, in units of request value.
pub(super) const FAILURE_COST: f64 = 20.0;
