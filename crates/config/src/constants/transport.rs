//! Connections between nodes and to workers.

/// Connecting to a peer is given up after this time, ms.
pub const CONNECT_TIMEOUT_MS: u64 = 1000;
/// Connecting to another node is given up and begun anew after this time, ms:
/// above a far round trip, and below the second after which the kernel would
/// ask a machine again that was dark at first.
pub const PEER_CONNECT_TIMEOUT_MS: u64 = 250;
/// Tries after which the wait for a connection to another node doubles, tries:
/// longer than a restart.
pub const PEER_CONNECT_TRIES: u32 = 4;
/// Unacknowledged bytes on any connection end it after this time, ms: a dead
/// machine says nothing.
pub const TCP_USER_TIMEOUT_MS: u32 = 1200;
/// Idle time before a connection between nodes or to a worker is probed by the
/// kernel, s: a silent loss must show while requests wait.
pub const TCP_KEEPALIVE_S: u64 = 1;
/// Frames waiting for a peer, frames: older news is sent again anyway.
pub const PEER_QUEUE_FRAMES: usize = 256;
/// Largest frame between nodes, bytes: a configuration of many thousand routes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Pause before a failed connection to a peer is tried again, ms.
pub const RECONNECT_PAUSE_MS: u64 = 50;
/// Pending connections a listener holds, connections: a full queue costs
/// clients seconds.
pub const LISTEN_BACKLOG: u32 = 1024;
