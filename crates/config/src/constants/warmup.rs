//! Warm-up of workers.

use super::placement::DEFAULT_RTT_MS;
use super::proxy::WORKER_CONNECT_TIMEOUT_MS;

/// Fraction of a warming worker's rate that is distributed to the nodes.
pub const WARMUP_RATE_FRACTION: f64 = 0.85;
/// Time for which a worker of a zone whose evacuation has ended is assumed to be warming up, unless
/// the configuration gives a longer time, in milliseconds.
pub const RESTORED_ZONE_WARMUP_MS: u64 = 3000;
/// Window in which a node sends a warming worker no more requests than its shares, in milliseconds.
/// It is a second plus the longest time to connect, so that requests sent later than they were
/// assigned count as well.
pub const WARMUP_WINDOW_MS: u64 = 1000 + WORKER_CONNECT_TIMEOUT_MS + 2 * DEFAULT_RTT_MS as u64;
/// Largest number of shares of a warming worker that one node uses, in requests per window.
pub const WARMUP_MAX_SHARES: usize = 64;
/// Margin added to the warm-up times in the platform's list for its delay, in milliseconds.
pub const WARMUP_MARGIN_MS: u64 = 300;
