//! Reading the platform's list of workers.

/// Interval between readings of the platform's list, in milliseconds. A reading, a log entry and a
/// leader change together take less than the shortest `Drain`.
pub const LIST_INTERVAL_MS: u64 = 500;
/// Interval between readings per page of a long list, in milliseconds. A list of twenty pages is
/// read less often, but still three times within the shortest `Drain`.
pub const LIST_PAGE_INTERVAL_MS: u64 = 40;
/// Number of consecutive readings without a worker after which it counts as terminated, if the list
/// has several pages.
pub const ABSENT_READINGS: u32 = 3;
/// Timeout of a call to the platform, in milliseconds.
pub const LIST_TIMEOUT_MS: u64 = 1000;
