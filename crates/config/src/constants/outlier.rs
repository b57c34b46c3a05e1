//! Outlier detection: workers that fail or are slow.

/// Interval between two checks for outliers, in milliseconds.
pub const OUTLIER_CHECK_INTERVAL_MS: u64 = 500;
/// Weight that a worker's earlier outcomes keep at each check, so that about two seconds count.
pub const OUTLIER_RETENTION: f64 = 0.8;
/// Time after a leader change in which no further worker is ejected, in milliseconds. After many
/// nodes are lost, all delayed requests arrive at once, and overloaded workers look unhealthy.
pub const OUTLIER_GRACE_PERIOD_MS: u64 = 6000;
/// Number of outcomes required before a worker is evaluated.
pub const OUTLIER_MIN_OUTCOMES: f64 = 4.0;
/// Excess of a worker's failure rate over the usual rate of its service that causes ejection.
pub const OUTLIER_EXCESS_FAILURE_RATE: f64 = 0.2;
/// Multiple of the usual response time of its service that causes a worker's ejection.
pub const OUTLIER_RESPONSE_TIME_FACTOR: f64 = 4.0;
/// Largest fraction of the workers of a service that is ejected. A failure of more workers is not a
/// fault of individual workers.
pub const MAX_EJECTED_FRACTION: f64 = 0.3;
/// First ejection time of a worker, in milliseconds. It doubles with the next ejection.
pub const EJECTION_MS: u64 = 3000;
/// Longest ejection time of a worker, in milliseconds.
pub const EJECTION_MAX_MS: u64 = 12_000;
/// Time after its ejection during which a worker is selected with lower preference, in
/// milliseconds.
pub const PROBATION_MS: u64 = 2000;
/// Factor on the selection cost of a worker at the beginning of this time.
pub const PROBATION_COST_FACTOR: f64 = 4.0;
