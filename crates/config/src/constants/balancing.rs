//! Choice of a worker, subsets, retry budgets.

/// What a worker in another zone of the region must be quicker by, as a part
/// of the route's target: bytes between zones are priced.
pub const ZONE_PENALTY: f64 = 0.1;
/// The same for a worker in another region, on top of the round trip.
pub const REGION_PENALTY: f64 = 0.5;
/// Connections to each worker that this node should be able to have if it is
/// to use all of them, connections: with fewer it uses a part of the workers.
pub const MIN_CONNECTIONS_PER_WORKER: u32 = 4;
/// Workers of a service above which a node uses a part of them, workers: its
/// requests are few, and each would meet a worker that it has no connection to
/// and knows nothing of.
pub const SUBSET_THRESHOLD: usize = 175;
/// Workers of its own zone that a node uses if it does not use all, workers:
/// enough to even out, few enough that connections are used again.
pub const LOCAL_SUBSET: usize = 12;
/// The same in each other zone, for when its own has no room, workers.
pub const REMOTE_SUBSET: usize = 4;
/// Part of a worker's connections for the nodes of its own zone; what neither this nor the
/// next one covers is for nodes that count each other differently meanwhile.
pub const LOCAL_CONNECTION_PART: f64 = 0.6;
/// The same for all other nodes.
pub const REMOTE_CONNECTION_PART: f64 = 0.3;
/// Weight of the newest answer in a worker's mean response time.
pub const RESPONSE_SMOOTHING: f64 = 0.1;
/// A worker that failed in a row is left alone for this long at first, ms.
pub const LOCAL_EJECTION_MS: u64 = 500;
/// Longest time a worker is left alone, ms.
pub const LOCAL_EJECTION_MAX_MS: u64 = 4000;
/// A worker whose address another one has is left alone for this long, ms: the
/// list drops it within some seconds.
pub const REUSED_ADDRESS_MS: u64 = 6000;
/// A worker that turned a request away is left alone for this long, ms.
pub const OVERLOAD_PAUSE_MS: u64 = 40;
/// Part of the ratio of the retry budget that is used: the rest covers windows
/// that nodes see at different moments.
pub const RETRY_BUDGET_PART: f64 = 0.8;
/// Part of the slack of the retry budget that is shared out.
pub const RETRY_SLACK_PART: f64 = 0.5;
/// A request is refused at once if a worker is expected to take more than this
/// times the time it has left: estimates are rough, an attempt is worth it.
pub const DEADLINE_SLACK_FACTOR: f64 = 2.5;
/// How much sooner each rank of `Priority` below the highest makes room.
pub const PRIORITY_STEP: f64 = 0.25;
