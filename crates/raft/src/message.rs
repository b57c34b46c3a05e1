//! Messages between nodes, and the stored log entries and snapshots. They are encoded as
//! protocol buffers. Tags and types are fixed, because nodes of earlier versions and stored
//! logs use them.

use prost::Enumeration;

/// A node with a disk that votes in elections and counts for commitment.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Voter {
    /// Identity of the node. A node that starts with an empty disk generates a new one.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Internal address of the node. Two identities at the same address are the same machine.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Zone of the node.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Region of the node.
    #[prost(string, tag = "4")]
    pub region: String,
}

/// The voters, as set by a log entry (the dissertation's cluster configuration). A membership
/// is in force as soon as its entry is in the log, whether or not it is committed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Membership {
    /// The voters, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<Voter>,
    /// Voters that were lost and removed. They are listed while the remaining voters would not
    /// tolerate a loss by themselves: until then their loss counts as the current one.
    #[prost(message, repeated, tag = "2")]
    pub vacancies: Vec<Voter>,
}

impl Membership {
    /// Returns whether node `id` is a voter.
    pub fn contains(&self, id: u64) -> bool {
        self.voters.iter().any(|v| v.id == id)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Type of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum EntryType {
    /// The first entry of a leader's term, without data. Committing it also commits the
    /// entries of earlier terms (dissertation, 3.6.2).
    NoOp = 0,
    /// A command for the replicated state machine.
    Command = 1,
    /// An encoded [`Membership`].
    Membership = 2,
}

/// A log entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Index in the log, starting at 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that created the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Type of the entry; see [`EntryType`].
    #[prost(enumeration = "EntryType", tag = "3")]
    pub entry_type: i32,
    /// The command, or the encoded [`Membership`].
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// The state up to an index, which replaces the log up to that index.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers; 0 for an empty log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the last entry that the snapshot covers.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Membership in force at `index`.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    /// The encoded state of the replicated state machine.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// Type of a message: Raft's remote procedure calls, their responses, and the extensions of
/// this implementation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum MessageType {
    /// Asks whether the receiver would vote for the sender, without changing any state
    /// (dissertation, 9.6).
    PreVoteRequest = 0,
    /// Response to [`MessageType::PreVoteRequest`].
    PreVoteResponse = 1,
    /// The dissertation's RequestVote.
    VoteRequest = 2,
    /// Response to [`MessageType::VoteRequest`].
    VoteResponse = 3,
    /// Entries from the leader, or a heartbeat without entries.
    AppendEntries = 4,
    /// Response to [`MessageType::AppendEntries`] and [`MessageType::InstallSnapshot`].
    AppendEntriesResponse = 5,
    /// A snapshot for a node that needs entries which the log no longer contains.
    InstallSnapshot = 6,
    /// Transfers leadership: the receiver starts an election immediately (dissertation, 3.10).
    TimeoutNow = 7,
    /// A learner asks a voter to relay the log to it.
    Subscribe = 8,
    /// A voter announces to the leader that it is about to shut down; `index` is its last
    /// entry.
    ShutdownRequest = 9,
    /// Response to [`MessageType::ShutdownRequest`]: whether the other voters can continue
    /// without the sender, with all committed entries.
    ShutdownResponse = 10,
    /// A fragment of a large message.
    Fragment = 11,
    /// Acknowledges how much of a fragmented message has arrived.
    FragmentAck = 12,
}

/// A message between two nodes. Its type determines which fields are used.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Type of the message; see [`MessageType`].
    #[prost(enumeration = "MessageType", tag = "1")]
    pub message_type: i32,
    /// The sender's term. In a [`MessageType::PreVoteRequest`], the term in which the sender
    /// would become a candidate.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// AppendEntries: index of the entry before the first one sent (prevLogIndex). Vote
    /// requests: index of the candidate's last entry. AppendEntriesResponse: index of the last
    /// matching entry, or a hint from where to continue.
    #[prost(uint64, tag = "3")]
    pub index: u64,
    /// The term of the entry at `index`.
    #[prost(uint64, tag = "4")]
    pub log_term: u64,
    /// AppendEntries: the entries.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<Entry>,
    /// AppendEntries: the sender's commit index.
    #[prost(uint64, tag = "6")]
    pub commit: u64,
    /// The leader's latest heartbeat round. The response repeats it.
    #[prost(uint64, tag = "7")]
    pub round: u64,
    /// Responses: whether the request was granted, or the entries accepted. VoteRequest:
    /// whether the leader itself asked the sender to start the election, so that the leader's
    /// lease does not prevent votes.
    #[prost(bool, tag = "8")]
    pub granted: bool,
    /// InstallSnapshot: the snapshot.
    #[prost(message, optional, tag = "9")]
    pub snapshot: Option<Snapshot>,
    /// AppendEntriesResponse: the index up to which the sender, and the learners that it
    /// relays to, have applied.
    #[prost(uint64, tag = "10")]
    pub applied: u64,
    /// Relayed messages: identity of the leader. 0 in messages from the leader itself.
    #[prost(fixed64, tag = "11")]
    pub leader: u64,
    /// Identity of the intended receiver. A node that restarts at the same address with an
    /// empty disk has another identity. 0 for any receiver.
    #[prost(fixed64, tag = "12")]
    pub to: u64,
    /// Fragment, FragmentAck: number of the fragmented message, assigned by its sender.
    #[prost(fixed64, tag = "13")]
    pub message_number: u64,
    /// Fragment: offset of the fragment in the message, in bytes. FragmentAck: how much of the
    /// message has arrived, in bytes.
    #[prost(uint64, tag = "14")]
    pub offset: u64,
    /// Fragment: total size of the message, in bytes.
    #[prost(uint64, tag = "15")]
    pub total_bytes: u64,
    /// Fragment: a part of the encoded message.
    #[prost(bytes = "vec", tag = "16")]
    pub fragment: Vec<u8>,
}
