//! The store on disk.

/// A leader whose own write has not reached the disk for this long steps down,
/// ms: above a sync on a disk that is thirty times slower than usual.
pub const DISK_TIMEOUT_MS: u64 = 900;
/// A write that failed is tried again after this pause, ms.
pub const DISK_RETRY_MS: u64 = 400;
/// The count of commits that tells damage from a torn end is synced this long
/// after the first it has not on disk, ms: so long a loss of power leaves the
/// newest commits uncounted, and no more than one sync a second is added.
pub const HIGH_WATER_SYNC_MS: u64 = 1000;
