//! Membership and failure detection.

/// Pause between two probes of a node, ms: every other node is probed within
/// seconds at a low price.
pub const PROBE_INTERVAL_MS: u64 = 400;
/// Wait for an answer before others are asked to probe, ms: above the longest
/// round trip on a loaded machine.
pub const PROBE_TIMEOUT_MS: u64 = 200;
/// Wait from the first probe until suspicion, ms.
pub const SUSPECT_AFTER_MS: u64 = 500;
/// Others asked for a second opinion, nodes.
pub const INDIRECT_PROBES: usize = 3;
/// Suspicion turns into removal after this time, ms: the suspect has time to
/// hear of it and refute it.
pub const SUSPICION_TIMEOUT_MS: u64 = 1800;
/// A removed node is forgotten after this time, ms: late gossip cannot bring
/// it back before.
pub const DEAD_RETENTION_MS: u64 = 20_000;
/// How often one piece of news is passed on by each node at least, times; in
/// large systems three times the logarithm of their nodes.
pub const GOSSIP_RETRANSMITS: u32 = 5;
/// Members in one datagram, members: stays under a common packet size.
pub const GOSSIP_MESSAGE_MEMBERS: usize = 6;
/// Pause between calls to a seed while no other node is known, ms.
pub const JOIN_INTERVAL_MS: u64 = 300;
/// Pause between calls to a seed or a removed node later on, ms: mends a
/// membership that a cut had split.
pub const REJOIN_INTERVAL_MS: u64 = 3000;
/// Least pause between two comparisons of all that two nodes know of the
/// others, ms: a few kilobytes and what is missing, and only while they differ.
pub const EXCHANGE_INTERVAL_MS: u64 = 600;
/// Pause between two makings of the table of members, ms: hundreds are copied.
pub const MEMBER_TABLE_INTERVAL_MS: u64 = 100;
/// Up to so many members the table is made at every change, members.
pub const MEMBER_TABLE_SMALL: usize = 120;
