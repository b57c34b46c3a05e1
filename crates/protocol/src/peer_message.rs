//! The messages that two nodes exchange over a connection.

use crate::command::{CommandRequest, CommandResponse};
use crate::image::ControlStateImage;
use crate::report::Report;
use prost::{Message, Oneof};

/// One frame on a connection between two nodes.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// Identity of the sending node.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Cluster of the sender; 0 while it belongs to none.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// Content of the message.
    #[prost(oneof = "Payload", tags = "3, 4, 5, 6, 7, 8, 10")]
    pub payload: Option<Payload>,
    /// Internal address for answers to the sender; empty if it expects no answer.
    #[prost(string, tag = "9")]
    pub reply_to: String,
}

/// The content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Payload {
    /// An encoded Raft message.
    #[prost(bytes, tag = "3")]
    Raft(Vec<u8>),
    /// A command of the operator, forwarded to the leader.
    #[prost(message, tag = "4")]
    Request(Box<CommandRequest>),
    /// The response to a command.
    #[prost(message, tag = "5")]
    Response(CommandResponse),
    /// The counts and measurements of a node.
    #[prost(message, tag = "6")]
    Report(Report),
    /// A request for the ranges of the state in which the sender's copy differs.
    #[prost(message, tag = "7")]
    Digests(RangeDigests),
    /// The answer to [`Payload::Digests`].
    #[prost(message, tag = "8")]
    Repair(Box<Repair>),
    /// No content: the message only establishes the connection.
    #[prost(bool, tag = "10")]
    Hello(bool),
}

/// Digests of the ranges of a copy of the control state at its log index.
#[derive(Clone, PartialEq, Message)]
pub struct RangeDigests {
    /// Last log index that the copy has applied.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// One digest for each range.
    #[prost(uint64, repeated, tag = "2")]
    pub ranges: Vec<u64>,
    /// Incarnation of the process that makes the call.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Number of the call within the incarnation.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// The rows of the differing ranges, taken from the newer copy.
#[derive(Clone, PartialEq, Message)]
pub struct Repair {
    /// Last log index that the newer copy has applied.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Numbers of the ranges that differ.
    #[prost(uint32, repeated, tag = "2")]
    pub ranges: Vec<u32>,
    /// The rows of these ranges.
    #[prost(message, optional, tag = "3")]
    pub image: Option<ControlStateImage>,
    /// Incarnation from the request.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Number of the call from the request.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}
