//! Warm-up of workers.

use super::placement::DEFAULT_RTT_MS;
use super::proxy::WORKER_CONNECT_TIMEOUT_MS;

/// Part of a warming worker's rate that is shared out.
pub const WARMUP_PART: f64 = 0.85;
/// How long a worker of a zone whose evacuation has ended is taken for warming unless the
/// configuration gives a longer time, ms.
pub const RESTORED_ZONE_WARMUP_MS: u64 = 3000;
/// Time in which a node gives a warming worker no more than its shares, ms: a second,
/// and the wait for a connection, so that what was sent later than it was decided
/// counts as well.
pub const WARMUP_WINDOW_MS: u64 = 1000 + WORKER_CONNECT_TIMEOUT_MS + 2 * DEFAULT_RTT_MS as u64;
/// Most shares of a warming worker that one node uses, requests in that time.
pub const WARMUP_MAX_SHARES: usize = 64;
/// A bound added to what the list says of a warming worker, ms: its lag.
pub const WARMUP_MARGIN_MS: u64 = 300;
