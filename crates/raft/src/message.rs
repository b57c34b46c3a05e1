//! Messages between nodes, and what they store: log entries and snapshots. Protocol buffers:
//! tags and types are fixed, since nodes of earlier versions and stored logs hold them.

use prost::Enumeration;

/// A node with a disk that votes in elections and counts for commitment.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Voter {
    /// Its identity; a node that starts with an empty disk draws a new one.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Its internal address. Two identities at one address are one machine.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The zone that it is in.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The region that it is in.
    #[prost(string, tag = "4")]
    pub region: String,
}

/// The voters, as one log entry sets them (the dissertation's cluster configuration). In
/// force from the moment when the entry is in the log, committed or not.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Membership {
    /// The voters, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<Voter>,
    /// Voters that were lost and removed, for as long as the others would not tolerate a loss
    /// by themselves: the loss of these is still the one under way.
    #[prost(message, repeated, tag = "2")]
    pub vacancies: Vec<Voter>,
}

impl Membership {
    /// Whether a node votes.
    pub fn contains(&self, id: u64) -> bool {
        self.voters.iter().any(|v| v.id == id)
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// What an entry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum EntryType {
    /// The first entry of a leader's term, without data: entries of earlier terms are
    /// committed with it (dissertation, 3.6.2).
    NoOp = 0,
    /// A command for the replicated state machine.
    Command = 1,
    /// An encoded [`Membership`].
    Membership = 2,
}

/// An entry of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Its place in the log, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that created it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// See [`EntryType`].
    #[prost(enumeration = "EntryType", tag = "3")]
    pub entry_type: i32,
    /// The command, or the encoded membership.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// The state up to an index, in place of the log up to there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    /// Index of the last entry that it covers; 0 for an empty log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The membership in force there.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    /// The encoded state of the replicated state machine.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// What a message is: Raft's remote procedure calls and their responses, and what is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum MessageType {
    /// Would you vote for me? Changes nothing (dissertation, 9.6).
    PreVoteRequest = 0,
    /// The answer to it.
    PreVoteResponse = 1,
    /// The dissertation's RequestVote.
    VoteRequest = 2,
    /// The answer to it.
    VoteResponse = 3,
    /// The leader's entries, or a heartbeat without any.
    AppendEntries = 4,
    /// The answer to it, and to a snapshot.
    AppendEntriesResponse = 5,
    /// A snapshot for a node that lags behind the log.
    InstallSnapshot = 6,
    /// The leader transfers leadership: stand for election at once (dissertation, 3.10).
    TimeoutNow = 7,
    /// A learner asks a voter to relay the log to it.
    Subscribe = 8,
    /// A voter announces to the leader that it is about to end; `index` is its last entry.
    ShutdownRequest = 9,
    /// The answer: whether the others go on without it, with all that is committed.
    ShutdownResponse = 10,
    /// A part of a message that is too large for one frame.
    Fragment = 11,
    /// How much of such a message has arrived.
    FragmentAck = 12,
}

/// A message between two nodes. Which fields count depends on its type.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// See [`MessageType`].
    #[prost(enumeration = "MessageType", tag = "1")]
    pub message_type: i32,
    /// The sender's term; in a [`MessageType::PreVoteRequest`] the term it would stand in.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// AppendEntries: the entry before the first (prevLogIndex). Votes: the candidate's last
    /// entry. AppendEntriesResponse: the last entry that matches, or a hint where to go on.
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
    /// The leader's latest round of heartbeats; the answer echoes it.
    #[prost(uint64, tag = "7")]
    pub round: u64,
    /// Responses: whether the request was granted, or the entries accepted. VoteRequest: the
    /// leader itself asked the sender to stand, so that its lease forbids no vote.
    #[prost(bool, tag = "8")]
    pub granted: bool,
    /// InstallSnapshot: the snapshot.
    #[prost(message, optional, tag = "9")]
    pub snapshot: Option<Snapshot>,
    /// AppendEntriesResponse: the index up to which the sender, and the learners that it
    /// relays to, have applied.
    #[prost(uint64, tag = "10")]
    pub applied: u64,
    /// Of a relayed message: who leads. 0 in messages of the leader itself.
    #[prost(fixed64, tag = "11")]
    pub leader: u64,
    /// The identity that it is meant for: a node that is back at the same address with an
    /// empty disk is another one. 0 for whoever gets it.
    #[prost(fixed64, tag = "12")]
    pub to: u64,
    /// Fragment, FragmentAck: the number of the message, as its sender counts.
    #[prost(fixed64, tag = "13")]
    pub message_number: u64,
    /// Fragment: where in the message it begins, bytes. FragmentAck: how much of the message
    /// has arrived, bytes.
    #[prost(uint64, tag = "14")]
    pub offset: u64,
    /// Fragment: the size of the whole message, bytes.
    #[prost(uint64, tag = "15")]
    pub total_bytes: u64,
    /// Fragment: a part of the encoded message.
    #[prost(bytes = "vec", tag = "16")]
    pub fragment: Vec<u8>,
}
