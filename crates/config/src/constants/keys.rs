//! Key ownership: key leases and load balancing of keys.

/// Length of a key lease, in milliseconds. It exceeds a leader change, and is also the wait before
/// the keys of an unresponsive holder are granted again.
pub const KEY_LEASE_MS: u64 = 3500;
/// Length of the last lease before keys are revoked, in milliseconds: longer than workers take for
/// all but a few requests, which end with the lease.
pub const FINAL_KEY_LEASE_MS: u64 = 6000;
/// Interval between renewals of a key lease, in milliseconds. The rest of the lease is long enough
/// for a leader change.
pub const KEY_RENEWAL_INTERVAL_MS: u64 = 800;
/// Largest average number of grants that the leader makes per second. With more holders than this
/// allows, the interval between renewals grows.
pub const MAX_GRANTS_PER_S: u64 = 300;
/// Longest interval between renewals, in milliseconds. The rest of the lease is long enough for a
/// leader change, and connections that were idle for this interval are still reused.
pub const KEY_RENEWAL_MAX_INTERVAL_MS: u64 = 1500;
/// Factor by which the clock that a worker uses for its lease may be slow, as defined by the
/// protocol.
pub const LEASE_CLOCK_FACTOR: f64 = 1.02;
/// Timeout of a grant, in milliseconds. It allows for a long round trip on a loaded machine.
pub const GRANT_TIMEOUT_MS: u64 = 600;
/// Number of consecutive unanswered grants after which a holder is given up: its lease expires and
/// its keys go to other workers.
pub const MAX_GRANT_FAILURES: u32 = 3;
/// Time for which a worker that was given up gets no keys, in milliseconds: longer than the
/// platform takes to drop a crashed worker from its list.
pub const HOLDER_BACKOFF_MS: u64 = 10_000;
/// Timeout of a release, in milliseconds. The worker answers when its running requests have ended.
pub const RELEASE_TIMEOUT_MS: u64 = 5000;
/// Interval between two checks of the key assignment, in milliseconds.
pub const KEY_CHECK_INTERVAL_MS: u64 = 100;
/// Interval between two updates of the load of keys, in milliseconds.
pub const KEY_LOAD_INTERVAL_MS: u64 = 500;
/// Weight of the newest sample in the load of keys. A few seconds of traffic distinguish busy ranges
/// from random variation.
pub const KEY_LOAD_SMOOTHING: f64 = 0.15;
/// Time that the smoothed load of keys represents, in seconds.
pub const KEY_LOAD_WINDOW_S: f64 = 6.0;
/// Number of standard deviations of its request count that a worker must be above the mean to count
/// as overloaded.
pub const KEY_LOAD_DEVIATIONS: f64 = 1.5;
/// Weight of the newest sample for keys whose load surges.
pub const KEY_SURGE_SMOOTHING: f32 = 0.6;
/// Multiple of its usual load that a key must exceed to count as surging.
pub const KEY_SURGE_FACTOR: f32 = 4.0;
/// Number of requests that a key must have had to count as surging.
pub const KEY_SURGE_MIN_REQUESTS: f32 = 3.0;
/// Weight that a worker's earlier response times keep at each update of the load.
pub const KEY_RESPONSE_RETENTION: f64 = 0.9;
/// Fraction of the load that is assumed to be spread evenly over all keys, so that keys without
/// requests so far also have a load.
pub const KEY_EVEN_LOAD_FRACTION: f64 = 0.1;
/// Largest number of ranges into which the keys of a leaving worker are split. Each range goes to
/// another worker, so that no worker doubles its load.
pub const MAX_SPLIT_RANGES: usize = 3;
/// Fraction of the mean load below which a worker gets keys from the most loaded worker. Above it a
/// move costs more than it gains.
pub const UNDERLOADED_FRACTION: f64 = 0.5;
/// Multiple of the mean load above which a worker gives keys away.
pub const OVERLOADED_FACTOR: f64 = 1.25;
/// Number of workers of a service per concurrent rebalancing move. With many workers, busy keys
/// need more capacity at once.
pub const REBALANCE_WORKERS_PER_MOVE: usize = 6;
/// Number of rebalancing moves that may always run concurrently.
pub const REBALANCE_MIN_MOVES: usize = 6;
