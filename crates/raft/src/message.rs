//! What the voters say to each other, and what they keep.

use prost::Enumeration;

/// A machine with a disk that takes part in decisions.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Voter {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub region: String,
}

/// The voters, as one entry of the log lays them down.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Membership {
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<Voter>,
    /// Voters that were lost and removed, for as long as the rest would not bear a loss
    /// by itself: theirs is still the one that is under way.
    #[prost(message, repeated, tag = "2")]
    pub vacant: Vec<Voter>,
}

impl Membership {
    pub fn has(&self, id: u64) -> bool {
        self.voters.iter().any(|v| v.id == id)
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum EntryType {
    /// The first entry of a term; says nothing.
    NoOp = 0,
    Command = 1,
    Membership = 2,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(enumeration = "EntryType", tag = "3")]
    pub kind: i32,
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// The state up to an index, in place of the log up to there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(message, optional, tag = "3")]
    pub roll: Option<Membership>,
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum MessageType {
    PreVoteRequest = 0,
    PreVoteResponse = 1,
    VoteRequest = 2,
    VoteResponse = 3,
    AppendEntries = 4,
    AppendEntriesResponse = 5,
    InstallSnapshot = 6,
    /// The leader hands over: campaign at once.
    TimeoutNow = 7,
    /// A node without a vote asks a voter to pass the log on to it.
    Subscribe = 8,
    /// A voter tells the leader that it is about to end; `index` is its last entry.
    ShutdownRequest = 9,
    /// The answer: whether the others go on with all that is committed.
    ShutdownResponse = 10,
    /// A part of a message that is too large for one frame.
    Fragment = 11,
    /// How much of such a message has arrived.
    FragmentAck = 12,
}

/// A message of the agreement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    #[prost(enumeration = "MessageType", tag = "1")]
    pub kind: i32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Append: the entry before the first; votes: the last entry;
    /// Appended: the last entry that matches, or a hint where to go on.
    #[prost(uint64, tag = "3")]
    pub index: u64,
    #[prost(uint64, tag = "4")]
    pub log_term: u64,
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<Entry>,
    #[prost(uint64, tag = "6")]
    pub commit: u64,
    /// Counts the leader's rounds; an answer echoes it.
    #[prost(uint64, tag = "7")]
    pub round: u64,
    #[prost(bool, tag = "8")]
    pub yes: bool,
    #[prost(message, optional, tag = "9")]
    pub snapshot: Option<Snapshot>,
    /// Appended: the index up to which the sender, and those that it feeds,
    /// have applied.
    #[prost(uint64, tag = "10")]
    pub applied: u64,
    /// In what a voter passes on: who leads.
    #[prost(fixed64, tag = "11")]
    pub leader: u64,
    /// The identity that it is meant for: a node that is back at the same address
    /// without a disk, or with an empty one, is somebody else.
    #[prost(fixed64, tag = "12")]
    pub to: u64,
    /// Fragment, FragmentTaken: the number of the message, as its sender counts.
    #[prost(fixed64, tag = "13")]
    pub message_number: u64,
    /// Fragment: where in the message it begins, bytes; FragmentTaken: how much of the
    /// message is there.
    #[prost(uint64, tag = "14")]
    pub offset: u64,
    /// Fragment: the size of the message, bytes.
    #[prost(uint64, tag = "15")]
    pub total: u64,
    #[prost(bytes = "vec", tag = "16")]
    pub fragment: Vec<u8>,
}
