//! Connections between nodes and to workers.

/// Timeout for connecting to a peer, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 1000;
/// Time after which an attempt to connect to another node is abandoned and started again, in
/// milliseconds: longer than a round trip between distant regions, and shorter than the second
/// after which the kernel would retry a machine that was unreachable at first.
pub const PEER_CONNECT_TIMEOUT_MS: u64 = 250;
/// Number of attempts after which the timeout for connecting to another node doubles. As many
/// attempts take longer than a restart.
pub const PEER_CONNECT_ATTEMPTS_PER_DOUBLING: u32 = 4;
/// Time after which unacknowledged bytes end any connection, in milliseconds. A failed machine sends
/// no notice.
pub const TCP_USER_TIMEOUT_MS: u32 = 1200;
/// Idle time after which the kernel probes a connection between nodes or to a worker, in seconds. A
/// loss without notice must be detected while requests wait.
pub const TCP_KEEPALIVE_S: u64 = 1;
/// Number of frames that may be queued for a peer. Frames that a full queue drops are sent again if
/// they still matter.
pub const PEER_QUEUE_FRAMES: usize = 256;
/// Largest frame between nodes, in bytes. It holds a configuration of many thousand routes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Pause before a failed connection to a peer is tried again, in milliseconds.
pub const RECONNECT_PAUSE_MS: u64 = 50;
/// Number of pending connections that a listener queues. A full queue delays clients by seconds.
pub const LISTEN_BACKLOG: u32 = 1024;
