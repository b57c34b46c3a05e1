//! Commands of the operator, contact between nodes, and replacement of unresponsive voters.

/// Time that the leader waits for the nodes in contact to apply a change before it acknowledges the
/// change anyway, in milliseconds: well below the second after which a caller without an answer
/// tries another node.
pub const APPLY_WAIT_MS: u64 = 400;
/// Timeout of a call that is forwarded to the leader, in milliseconds. A caller without an answer
/// tries another node after a second.
pub const COMMAND_TIMEOUT_MS: u64 = 900;
/// Time within which an identical command without a base version counts as the same command, in
/// milliseconds. Callers without an answer resend after a second and a growing pause.
pub const REPEATED_COMMAND_WINDOW_MS: u64 = 3000;
/// Number of accepted configuration commands in the command history. A command that is still
/// pending after as many later changes gets an indefinite answer. Eight commands may be pending at
/// once, and each takes some 25 bytes.
pub const MAX_ACCEPTED_COMMANDS: usize = 256;
/// Number of rejected configuration commands on future base versions in the command history. A
/// well-behaved operator sends none.
pub const MAX_REJECTED_AHEAD_COMMANDS: usize = 16;
/// Number of commands without a base version in the command history: far more than a node forwards
/// within [`COMMAND_TIMEOUT_MS`]. Each takes some 50 bytes.
pub const MAX_TAGGED_COMMANDS: usize = 64;
/// Time without contact to a majority after which a node answers commands at once and names other
/// nodes that may be in contact, in milliseconds. An election takes less.
pub const OUT_OF_CONTACT_MS: u64 = 1500;
/// Interval between two searches for a leader while a call waits, in milliseconds.
pub const COMMAND_RETRY_MS: u64 = 100;
/// Time after its start after which a node that has not heard from a leader looks for the newest
/// copy among its peers, in milliseconds. An election on all nodes at once takes less.
pub const PEER_REPAIR_DELAY_MS: u64 = 2500;
/// Time after which the leader no longer waits for an unresponsive node, in milliseconds.
pub const CONTACT_TIMEOUT_MS: u64 = 1000;
/// Time after which an unresponsive voter may be replaced, in milliseconds: longer than a restart.
pub const VOTER_REMOVAL_TIMEOUT_MS: u64 = 5000;
/// Time after which an unresponsive voter may be replaced if it announced its shutdown, or if the
/// remaining voters would tolerate a loss that they do not tolerate with it, in milliseconds. A
/// process that only restarts is back in half of this time. An election, this time and the changes
/// of the membership fit into the time allowed after a loss.
pub const VOTER_URGENT_REMOVAL_TIMEOUT_MS: u64 = 2000;
