//! The process: settings, counters, shutdown.

/// Pause between two announcements of a voter that it is about to end, ms.
pub const SHUTDOWN_ANNOUNCE_INTERVAL_MS: u64 = 200;
/// A node that shuts down ends once nothing has run for this long, ms.
pub const SHUTDOWN_QUIET_MS: u64 = 300;
/// A process that shuts down ends so long before its grace period is over, ms: it ends itself,
/// rather than be killed.
pub const SHUTDOWN_END_MARGIN_MS: u64 = 100;
/// A request that may last until the grace period is over, less this, is not taken any more, ms:
/// the signal may have been read late, and the answer has a way to go.
pub const SHUTDOWN_REQUEST_MARGIN_MS: u64 = 300;
/// Pause between two looks at what still runs in a process that shuts down, ms.
pub const SHUTDOWN_CHECK_INTERVAL_MS: u64 = 50;
/// Pause between two checks of whether the settings file has changed, ms.
pub const SETTINGS_CHECK_INTERVAL_MS: u64 = 2000;
/// Default pace of the counters in the log, s; 0 writes none.
pub const COUNTERS_INTERVAL_S: u64 = 10;
/// Pause after a connection could not be accepted, ms: what is short then, descriptors, comes
/// back as connections end.
pub const ACCEPT_RETRY_MS: u64 = 10;
