//! Membership and failure detection.

/// Interval between two probes sent by a node, in milliseconds. Every other node is probed within
/// seconds at a low cost.
pub const PROBE_INTERVAL_MS: u64 = 400;
/// Time without an answer after which other nodes are asked to probe, in milliseconds: longer than
/// the longest round trip on a loaded machine.
pub const PROBE_TIMEOUT_MS: u64 = 200;
/// Time from the first probe until a node without an answer is suspected, in milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 500;
/// Number of nodes that are asked for an indirect probe.
pub const INDIRECT_PROBES: usize = 3;
/// Time after which a suspected node is removed, in milliseconds. It leaves the node time to learn
/// of the suspicion and refute it.
pub const SUSPICION_TIMEOUT_MS: u64 = 1800;
/// Time after which a removed node is forgotten, in milliseconds. Late gossip cannot add the node
/// again before.
pub const DEAD_RETENTION_MS: u64 = 20_000;
/// Smallest number of times that each node passes on an update. Large systems use twice the binary
/// logarithm of the number of nodes.
pub const GOSSIP_RETRANSMITS: u32 = 5;
/// Number of members in one datagram, which stays below a common packet size.
pub const GOSSIP_MESSAGE_MEMBERS: usize = 6;
/// Interval between calls to a seed while no other node is known, in milliseconds.
pub const JOIN_INTERVAL_MS: u64 = 300;
/// Interval between later calls to a seed or a removed node, in milliseconds. They repair a
/// membership that a network partition has split.
pub const REJOIN_INTERVAL_MS: u64 = 3000;
/// Shortest interval between two exchanges of everything that two nodes know of the others, in
/// milliseconds. An exchange takes a few kilobytes and the missing updates, and takes place only
/// while the nodes differ.
pub const EXCHANGE_INTERVAL_MS: u64 = 600;
/// Interval between two rebuilds of the member table, in milliseconds. A rebuild may copy hundreds
/// of members.
pub const MEMBER_TABLE_INTERVAL_MS: u64 = 100;
/// Number of members below which the member table is rebuilt at every change.
pub const MEMBER_TABLE_IMMEDIATE_MEMBERS: usize = 120;
