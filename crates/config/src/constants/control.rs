//! Commands of the operator, contact between nodes, and repair of the membership of voters.

/// Wait for the nodes in contact to apply a change before it is acknowledged
/// all the same, ms: well under the second of silence after which callers move on.
pub const APPLY_WAIT_MS: u64 = 400;
/// A call passed on to the leader is given up after this time, ms: the caller
/// moves on after a second of silence.
pub const COMMAND_TIMEOUT_MS: u64 = 900;
/// A command without a base that comes again as it was within this time is taken for
/// the same command, ms: callers resend after a second of silence and a growing pause.
pub const REPEATED_COMMAND_MS: u64 = 3000;
/// Accepted configuration commands that the command history remembers, commands: a command under way
/// for longer than so many changes later gets no clear answer. Eight may be under way
/// at once; some 25 bytes each.
pub const ACCEPTED_REMEMBERED: usize = 256;
/// Rejected configuration commands on bases that are not there yet which the command history
/// remembers, commands: no proper operator sends one.
pub const REJECTED_AHEAD_REMEMBERED: usize = 16;
/// Other commands that the command history remembers, commands: far more than a node passes on
/// within [`COMMAND_TIMEOUT_MS`]; some 50 bytes each.
pub const TAGGED_REMEMBERED: usize = 64;
/// A node that has heard nothing of a majority for this long answers commands at once and
/// names nodes that may know better, ms: an election takes less.
pub const OUT_OF_CONTACT_MS: u64 = 1500;
/// Pause between two searches for a leader while a call waits, ms.
pub const COMMAND_RETRY_MS: u64 = 100;
/// A node that has heard no leader for this long after its start looks for the
/// newest copy among its peers, ms: an election on all nodes at once takes less.
pub const PEER_CATCH_UP_MS: u64 = 2500;
/// Silence of a node after which the leader does not wait for it, ms.
pub const CONTACT_TIMEOUT_MS: u64 = 1000;
/// A voter silent for this long may be replaced, ms: longer than a restart.
pub const VOTER_REMOVAL_MS: u64 = 5000;
/// The same for a voter that announced its shutdown, and where the others would tolerate a loss that
/// they do not tolerate with it, ms: a process that is only restarted is back in half of that,
/// and an election, this and the changes of the membership fit into the time that a loss has.
pub const VOTER_URGENT_REMOVAL_MS: u64 = 2000;
