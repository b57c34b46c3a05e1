//! Reading the platform's list of workers.

/// Pause between readings of the platform's list, ms: the list, the log and a
/// change of leader together stay inside the shortest `Drain`.
pub const LIST_INTERVAL_MS: u64 = 500;
/// Pause for each page of a long list, ms: a list of twenty pages is read less
/// often, still thrice within the shortest `Drain`.
pub const LIST_PAGE_INTERVAL_MS: u64 = 40;
/// Readings in a row that must leave a worker out before it is taken for ended, if the list has
/// several pages, readings.
pub const ABSENT_READINGS: u32 = 3;
/// Wait for an answer of the platform, ms.
pub const LIST_TIMEOUT_MS: u64 = 1000;
