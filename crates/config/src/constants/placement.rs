//! Placement, reports and the directory.

/// Weight of the newest measurement in the smoothed rates (design: 0.6).
pub const RATE_SMOOTHING: f64 = 0.6;
/// Fraction of a site's capacity that the placement may use (design: 0.9).
pub const CAPACITY_WATERMARK: f64 = 0.9;
/// Length of the site ranking's prefix by which client groups are merged (design: 3).
pub const RANKING_PREFIX: usize = 3;
/// Flow of a service at a site below which the flow counts as tiny, in requests per second. The
/// design starts from 150; these deployments carry a tenth of that per site.
pub const DELETION_THRESHOLD: f64 = 8.0;
/// Hysteresis ratio. The flow at a site already in use counts as tiny only below the threshold
/// divided by this ratio (design: 3).
pub const DELETION_HYSTERESIS_RATIO: f64 = 3.0;
/// Interval between placement decisions, in milliseconds. A day lasts less than a few of the
/// design's intervals of 30 s.
pub const PLACEMENT_INTERVAL_MS: u64 = 5000;
/// Interval between reports to the leader, in milliseconds. Busy keys must be visible within a
/// second.
pub const REPORT_INTERVAL_MS: u64 = 500;
/// Age from which reports no longer count, in milliseconds: two placement intervals.
pub const REPORT_STALE_MS: u64 = 10_000;
/// Smallest change of a fraction that is published, as a fraction of answers.
pub const FRACTION_STEP: f64 = 0.05;
/// Round-trip time assumed between regions without a measurement, in milliseconds.
pub const DEFAULT_RTT_MS: f64 = 60.0;
/// Round-trip time assumed within a region, in milliseconds.
pub const LOCAL_RTT_MS: f64 = 2.0;
/// Response time assumed for a worker without a measurement, in milliseconds.
pub const DEFAULT_RESPONSE_MS: f64 = 100.0;
/// CPU time assumed for forwarding one request, in milliseconds of a full core.
pub const FORWARDING_CPU_MS: f64 = 1.2;
/// Time for which clients may cache a directory answer, in milliseconds: short enough that clients
/// soon stop using a failed edge node, and long enough that the directory costs little.
pub const DIRECTORY_TTL_MS: u64 = 2000;
/// Largest number of addresses in a directory answer, as defined by the protocol.
pub const DIRECTORY_MAX_ADDRESSES: usize = 64;
