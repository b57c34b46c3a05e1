//! The store on disk.

/// Time after which a leader steps down if its own write has not reached the disk, in milliseconds:
/// longer than a sync on a disk that is thirty times slower than usual.
pub const DISK_TIMEOUT_MS: u64 = 900;
/// Pause before a failed write is tried again, in milliseconds.
pub const DISK_RETRY_MS: u64 = 400;
/// Time from the first commit that is not yet in the commit count on disk to the sync of the count,
/// in milliseconds. The count distinguishes a damaged store from an interrupted write. A power
/// failure within this time leaves the newest commits uncounted; at most one sync per second is
/// added.
pub const COMMIT_COUNT_SYNC_DELAY_MS: u64 = 1000;
