//! The forwarding path.

/// Unacknowledged bytes to a worker end the connection after this time plus
/// two round trips, ms: workers of one region are near, and a dark one must
/// not keep requests.
pub const WORKER_USER_TIMEOUT_MS: u64 = 500;
/// Connecting to a worker is given up after this time plus two round trips, ms.
pub const WORKER_CONNECT_TIMEOUT_MS: u64 = 250;
/// An idle connection to a worker is not used again after this time, ms, nor
/// within a second of the end that the worker announced.
pub const IDLE_REUSE_MS: u64 = 4000;
/// The same for requests that must not run twice, ms.
pub const IDLE_REUSE_NON_IDEMPOTENT_MS: u64 = 2000;
/// How long a node avoids rested connections once a peer has forgotten
/// one, ms: such phases last some seconds.
pub const STALE_CONNECTION_CAUTION_MS: u64 = 10_000;
/// What a refused client is told to wait, ms.
pub const RETRY_AFTER_MS: u64 = 200;
/// What a client is told to wait whose key is being handed over, ms: a release
/// waits for what runs.
pub const RETRY_AFTER_HANDOVER_MS: u64 = 400;
/// What a client is told to wait whose key's holder does not answer, ms: its
/// lease must run out; clients wait a third of their time at the most.
pub const RETRY_AFTER_HOLDER_LOST_MS: u64 = 900;
/// What a client is told to wait by a node that is not current yet, ms: an
/// election and the catching up after a restart of everything take that long,
/// and clients ask again a few times only.
pub const RETRY_AFTER_NOT_CURRENT_MS: u64 = 600;
/// Bodies up to this size are buffered before they are forwarded, bytes:
/// such requests can be sent again, such answers are complete or not sent at all.
pub const BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Responses to another request that are skipped before a connection is given
/// up, answers.
pub const MAX_UNMATCHED_RESPONSES: u32 = 4;
/// Most idle connections kept to one worker, connections.
pub const MAX_IDLE_CONNECTIONS: usize = 8;
/// Pause between two checks of idle connections, ms.
pub const IDLE_SWEEP_INTERVAL_MS: u64 = 1000;
