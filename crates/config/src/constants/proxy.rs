//! Forwarding of requests to workers.

/// Time after which unacknowledged bytes to a worker end the connection, in milliseconds, not
/// counting two round trips. Workers of one region are near, and an unreachable worker must not
/// hold requests.
pub const WORKER_USER_TIMEOUT_MS: u64 = 500;
/// Timeout for connecting to a worker, in milliseconds, not counting two round trips.
pub const WORKER_CONNECT_TIMEOUT_MS: u64 = 250;
/// Longest idle time after which a connection to a worker is reused, in milliseconds. A connection
/// is also not reused within a second of the idle timeout that the worker announced.
pub const IDLE_REUSE_MS: u64 = 4000;
/// Longest idle time after which a connection is reused for a request that must not run twice, in
/// milliseconds.
pub const IDLE_REUSE_NON_IDEMPOTENT_MS: u64 = 2000;
/// Time for which a node avoids idle connections after a peer has lost the state of one, in
/// milliseconds. Such phases last some seconds.
pub const STALE_CONNECTION_BACKOFF_MS: u64 = 10_000;
/// Wait that a refused client is told, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 200;
/// Wait that a client is told while its key is handed over, in milliseconds. A release waits for
/// the running requests.
pub const RETRY_AFTER_HANDOVER_MS: u64 = 400;
/// Wait that a client is told if the holder of its key does not answer, in milliseconds. The
/// holder's lease must expire first, and clients wait at most a third of their time.
pub const RETRY_AFTER_HOLDER_LOST_MS: u64 = 900;
/// Wait that a client is told by a node that is not up to date yet, in milliseconds. After a restart
/// of all nodes, an election and catching up take that long, and clients retry only a few times.
pub const RETRY_AFTER_NOT_CURRENT_MS: u64 = 600;
/// Largest body that is buffered before it is forwarded, in bytes. A buffered request can be sent
/// again, and a buffered answer is sent completely or not at all.
pub const BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Number of responses to other requests that are skipped before a connection is closed.
pub const MAX_UNMATCHED_RESPONSES: u32 = 4;
/// Largest number of idle connections kept to one worker.
pub const MAX_IDLE_CONNECTIONS: usize = 8;
/// Interval between two checks of idle connections, in milliseconds.
pub const IDLE_SWEEP_INTERVAL_MS: u64 = 1000;
