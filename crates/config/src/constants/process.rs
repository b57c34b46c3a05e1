//! The process: settings, counters and shutdown.

/// Interval between two announcements of a voter's shutdown, in milliseconds.
pub const SHUTDOWN_ANNOUNCE_INTERVAL_MS: u64 = 200;
/// Time without running requests after which a node that shuts down ends, in milliseconds.
pub const SHUTDOWN_IDLE_MS: u64 = 300;
/// Time before the end of the grace period at which a process that shuts down exits, in
/// milliseconds. It exits by itself to avoid being killed.
pub const SHUTDOWN_END_MARGIN_MS: u64 = 100;
/// Margin before the end of the grace period, in milliseconds. A request that may run into it is not
/// accepted, because the signal may have been handled late and the answer takes time to arrive.
pub const SHUTDOWN_REQUEST_MARGIN_MS: u64 = 300;
/// Interval between two checks for running requests during shutdown, in milliseconds.
pub const SHUTDOWN_CHECK_INTERVAL_MS: u64 = 50;
/// Interval between two checks of the settings file for changes, in milliseconds.
pub const SETTINGS_CHECK_INTERVAL_MS: u64 = 2000;
/// Default interval of the counters in the log, in seconds; 0 writes none.
pub const COUNTERS_INTERVAL_S: u64 = 10;
/// Pause after a connection could not be accepted, in milliseconds. The file descriptors that are
/// lacking then become free as connections end.
pub const ACCEPT_RETRY_MS: u64 = 10;
