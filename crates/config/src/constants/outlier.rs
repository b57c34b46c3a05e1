//! Outlier detection: workers that fail or lag.

/// Pause between two checks of which workers fail, ms.
pub const OUTLIER_CHECK_INTERVAL_MS: u64 = 500;
/// What is kept of a worker's outcomes from one look to the next: some two
/// seconds count.
pub const OUTLIER_RETENTION: f64 = 0.8;
/// How long a new leader judges nobody, ms: after a loss of many nodes all that
/// was held up comes at once, and who is full looks unhealthy.
pub const OUTLIER_SETTLE_MS: u64 = 6000;
/// Outcomes before a worker is judged.
pub const OUTLIER_MIN_OUTCOMES: f64 = 4.0;
/// Part of failures above what is usual in its service that ejects a worker.
pub const OUTLIER_EXCESS_FAILURES: f64 = 0.2;
/// How many times slower than is usual in its service ejects a worker.
pub const OUTLIER_SLOWNESS: f64 = 4.0;
/// Most workers of a service ejected, part of them: what strikes more is
/// no fault of single workers.
pub const MAX_EJECTED_PART: f64 = 0.3;
/// How long a worker is ejected at first, ms; twice that the next time.
pub const EJECTION_MS: u64 = 3000;
/// Longest time ejected, ms.
pub const EJECTION_MAX_MS: u64 = 12_000;
/// How long a worker that has come back is preferred less, ms.
pub const PROBATION_MS: u64 = 2000;
/// How many times dearer it is at first.
pub const PROBATION_COST: f64 = 4.0;
