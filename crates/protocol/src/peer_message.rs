//! The frames on a connection between two nodes.

use crate::command::{CommandRequest, CommandResponse};
use crate::image::ControlStateImage;
use crate::report::Report;
use prost::{Message, Oneof};

/// One frame on a connection between two nodes.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// The identity of the sender.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The cluster that the sender belongs to; 0 while it belongs to none.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// What it is about.
    #[prost(oneof = "Payload", tags = "3, 4, 5, 6, 7, 8, 10")]
    pub payload: Option<Payload>,
    /// The internal address at which the sender can be answered; empty if it wants no answer.
    #[prost(string, tag = "9")]
    pub reply_to: String,
}

/// What a frame carries.
#[derive(Clone, PartialEq, Oneof)]
pub enum Payload {
    /// An encoded message of Raft.
    #[prost(bytes, tag = "3")]
    Raft(Vec<u8>),
    /// A command of the operator, passed on to the leader.
    #[prost(message, tag = "4")]
    Request(Box<CommandRequest>),
    /// The answer to one.
    #[prost(message, tag = "5")]
    Response(CommandResponse),
    /// What a node has counted.
    #[prost(message, tag = "6")]
    Report(Report),
    /// Asks for what a copy of the state lacks.
    #[prost(message, tag = "7")]
    Digests(RangeDigests),
    /// The answer to that.
    #[prost(message, tag = "8")]
    Repair(Box<Repair>),
    /// Nothing but the connection that carries it.
    #[prost(bool, tag = "10")]
    Hello(bool),
}

/// Digests of the ranges of a copy of the control state, at the index that it stands at.
#[derive(Clone, PartialEq, Message)]
pub struct RangeDigests {
    /// Index of the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// One digest for each range.
    #[prost(uint64, repeated, tag = "2")]
    pub ranges: Vec<u64>,
    /// The incarnation of the process that asks.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Its number of the question.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// The rows of the ranges that differ, from the newer copy.
#[derive(Clone, PartialEq, Message)]
pub struct Repair {
    /// Index of the log that the newer copy stands at.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The ranges that differ, by number.
    #[prost(uint32, repeated, tag = "2")]
    pub ranges: Vec<u32>,
    /// Their rows.
    #[prost(message, optional, tag = "3")]
    pub image: Option<ControlStateImage>,
    /// The incarnation that asked.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Its number of the question.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}
