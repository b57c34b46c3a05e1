//! Placement, reports and the directory.

/// Weight of the newest measurement in the smoothed rates (design: 0.6).
pub const RATE_SMOOTHING: f64 = 0.6;
/// Part of a site's capacity that the flow may use (design: 0.9).
pub const WATERMARK: f64 = 0.9;
/// Length of the ranking prefix by which groups merge (design: 3).
pub const RANKING_PREFIX: usize = 3;
/// A service's flow at a site below this is tiny, requests a second. The
/// design starts from 150; these deployments carry a tenth of that a site.
pub const DELETION_THRESHOLD: f64 = 8.0;
/// Hysteresis ratio: a site already in use is tiny only below the threshold
/// divided by this (design: 3).
pub const HYSTERESIS: f64 = 3.0;
/// Pause between decisions on the placement, ms: a day is shorter than a few
/// of the design's 30 s.
pub const PLACEMENT_INTERVAL_MS: u64 = 5000;
/// Pause between reports to the leader, ms: busy keys must show within a second.
pub const REPORT_INTERVAL_MS: u64 = 500;
/// Reports older than this no longer count, ms: two periods.
pub const REPORT_STALE_MS: u64 = 10_000;
/// Fractions that moved by less than this are not sent, fraction of answers.
pub const FRACTION_STEP: f64 = 0.05;
/// Distance assumed between regions nothing has measured yet, ms.
pub const DEFAULT_RTT_MS: f64 = 60.0;
/// Distance within a region, ms.
pub const LOCAL_RTT_MS: f64 = 2.0;
/// Answer time assumed of a worker nothing has measured yet, ms.
pub const DEFAULT_RESPONSE_MS: f64 = 100.0;
/// Processor time assumed for forwarding one request, ms on a whole core.
pub const FORWARDING_CPU_MS: f64 = 1.2;
/// How long clients may keep a directory answer, ms: short enough that a lost
/// edge is left soon, long enough that the directory costs little.
pub const DIRECTORY_TTL_MS: u64 = 2000;
/// Addresses in a directory answer (protocol).
pub const DIRECTORY_MAX_ADDRESSES: usize = 64;
