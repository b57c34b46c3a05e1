//! Key ownership: leases, and the balance of their load.

/// Length of a key lease, ms: outlasts a change of leader, and is the
/// wait for a holder that fell silent.
pub const KEY_LEASE_MS: u64 = 3500;
/// Length of the last lease before keys are revoked, ms:
/// longer than workers take for all but a few requests, which end with the lease.
pub const FINAL_KEY_LEASE_MS: u64 = 6000;
/// Pause between renewals of a key lease, ms: a change of leader fits into the rest.
pub const KEY_RENEWAL_INTERVAL_MS: u64 = 800;
/// Grants a second that the leader makes at the most in the long run: with more
/// holders than this allows, the pause between renewals grows.
pub const MAX_GRANTS_PER_S: u64 = 300;
/// Longest pause between renewals, ms: a change of leader fits into what is
/// left of the lease, and connections that rest as long are used again.
pub const KEY_RENEWAL_MAX_INTERVAL_MS: u64 = 1500;
/// A worker's clock for its lease may be slow by this factor (protocol).
pub const LEASE_CLOCK_FACTOR: f64 = 1.02;
/// Wait for the answer to a grant, ms: far round trips on a loaded machine.
pub const GRANT_TIMEOUT_MS: u64 = 600;
/// A holder that left this many grants in a row unanswered is given up, grants:
/// its lease runs out and the keys go to others.
pub const MAX_GRANT_FAILURES: u32 = 3;
/// A worker that was given up gets no keys for this long, ms: longer than the
/// platform takes to drop a crashed one from its list.
pub const HOLDER_AVOID_MS: u64 = 10_000;
/// Wait for the answer to a release, ms: it comes when what ran has ended.
pub const RELEASE_TIMEOUT_MS: u64 = 5000;
/// Pause between two checks of who holds what, ms.
pub const KEY_CHECK_INTERVAL_MS: u64 = 100;
/// Pause between two sums of the load of keys, ms.
pub const KEY_LOAD_INTERVAL_MS: u64 = 500;
/// Weight of the newest sum in the load of keys: a few seconds of traffic tell
/// the busy ranges from chance.
pub const KEY_LOAD_SMOOTHING: f64 = 0.15;
/// Time over which the smoothed load of keys sums up, s.
pub const KEY_LOAD_WINDOW_S: f64 = 6.0;
/// By how many standard deviations of its count a worker must be above the mean
/// to count as full.
pub const KEY_LOAD_DEVIATIONS: f64 = 1.5;
/// Weight of the newest sum for keys that have all at once become much busier.
pub const KEY_SURGE_SMOOTHING: f32 = 0.6;
/// How many times its usual load a key must show to count as surging.
pub const KEY_SURGE_FACTOR: f32 = 4.0;
/// Requests that a key must have had to count as surging.
pub const KEY_SURGE_MIN_REQUESTS: f32 = 3.0;
/// What is kept of a worker's response times from one sum to the next.
pub const KEY_RESPONSE_RETENTION: f64 = 0.9;
/// Part of the load taken to be spread evenly over all keys: keys that nobody
/// has asked for yet count for something.
pub const KEY_EVEN_LOAD_PART: f64 = 0.1;
/// Most ranges cut from one worker's when it leaves, ranges: each goes to
/// another worker, so that none doubles its load.
pub const MAX_SPLIT_RANGES: usize = 3;
/// A worker with less than this part of the mean load gets keys from the
/// fullest; above it a move costs more than it brings.
pub const UNDERLOADED_BELOW: f64 = 0.5;
/// A worker with more than this times the mean load gives keys away.
pub const OVERLOADED_ABOVE: f64 = 1.25;
/// Of how many workers of a service one may give a piece away at the same time
/// for balance, workers: with many, busy keys must find more room at once.
pub const REBALANCE_WORKERS_PER_MOVE: usize = 6;
/// Moves for balance begun together at least, moves.
pub const REBALANCE_MIN_MOVES: usize = 6;
