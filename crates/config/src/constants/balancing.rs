//! Worker selection, subsets and retry budgets.

/// Penalty for a worker in another zone of the region, as a fraction of the route's target.
/// Traffic between zones is charged for.
pub const ZONE_PENALTY_FRACTION: f64 = 0.1;
/// Penalty for a worker in another region, as a fraction of the route's target, in addition to the
/// round trip.
pub const REGION_PENALTY_FRACTION: f64 = 0.5;
/// Smallest number of connections per worker with which a node uses all workers of a service. If
/// its share of a worker's connections is smaller, the node uses a subset of the workers.
pub const MIN_CONNECTIONS_PER_WORKER: u32 = 4;
/// Number of workers of a service above which a node uses a subset. A node with few requests
/// would otherwise send each to a worker that it has no connection to and no statistics for.
pub const SUBSET_THRESHOLD: usize = 175;
/// Number of workers in the node's own zone that a subset contains: enough to balance the load, and
/// few enough that connections are reused.
pub const LOCAL_SUBSET_WORKERS: usize = 12;
/// Number of workers in each other zone that a subset contains, for use when the node's own zone
/// has no capacity left.
pub const REMOTE_SUBSET_WORKERS: usize = 4;
/// Fraction of a worker's connections reserved for the nodes of its own zone. The remainder beside
/// this and [`REMOTE_CONNECTION_FRACTION`] covers nodes whose views of the membership temporarily
/// differ.
pub const LOCAL_CONNECTION_FRACTION: f64 = 0.6;
/// Fraction of a worker's connections reserved for the nodes of other zones.
pub const REMOTE_CONNECTION_FRACTION: f64 = 0.3;
/// Weight of the newest answer in a worker's mean response time.
pub const RESPONSE_SMOOTHING: f64 = 0.1;
/// First ejection time of a worker after consecutive failures, in milliseconds, decided by one node
/// alone.
pub const LOCAL_EJECTION_MS: u64 = 500;
/// Longest ejection time of a worker after consecutive failures, in milliseconds.
pub const LOCAL_EJECTION_MAX_MS: u64 = 4000;
/// Ejection time of a worker whose address now belongs to another worker, in milliseconds. The
/// platform's list drops the worker within some seconds.
pub const REUSED_ADDRESS_EJECTION_MS: u64 = 6000;
/// Ejection time of a worker that rejected a request, in milliseconds.
pub const OVERLOAD_EJECTION_MS: u64 = 40;
/// Fraction of the retry budget's ratio that is used. The remainder covers differences between the
/// time windows of the nodes.
pub const RETRY_BUDGET_FRACTION: f64 = 0.8;
/// Fraction of the retry budget's slack that is distributed to the nodes.
pub const RETRY_SLACK_FRACTION: f64 = 0.5;
/// A request is refused at once if the expected response time of a worker exceeds this multiple of
/// the request's remaining time. The factor is above 1 because the estimates are rough and an
/// attempt is worthwhile.
pub const DEADLINE_SLACK_FACTOR: f64 = 2.5;
/// Increase of the divisor of [`DEADLINE_SLACK_FACTOR`] for each rank of `Priority` below the
/// highest, so that requests of lower priority are refused sooner.
pub const PRIORITY_DEADLINE_STEP: f64 = 0.25;
