//! What nodes say to each other about who is there. Protocol buffers: tags and types are fixed.

use prost::Enumeration;

/// What is known of a node. A later state outranks an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum MemberState {
    /// It answers probes.
    Alive = 0,
    /// It has answered none lately, and may refute.
    Suspect = 1,
    /// It is removed.
    Dead = 2,
}

/// A node as others know it; the key is its internal address.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    /// Its internal address.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The node's identity in Raft; new with every empty disk.
    #[prost(uint64, tag = "2")]
    pub id: u64,
    /// Higher for every run of the process, and raised by the node itself to refute.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// See [`MemberState`].
    #[prost(enumeration = "MemberState", tag = "4")]
    pub state: i32,
    /// Its name in the settings.
    #[prost(string, tag = "5")]
    pub name: String,
    /// The zone that it is in.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// The region that it is in.
    #[prost(string, tag = "7")]
    pub region: String,
    /// Where clients reach it; empty if it takes none.
    #[prost(string, tag = "8")]
    pub client_address: String,
    /// It has a disk and so may vote.
    #[prost(bool, tag = "9")]
    pub has_disk: bool,
    /// It is current and takes clients.
    #[prost(bool, tag = "10")]
    pub is_ready: bool,
    /// The cluster that it belongs to; 0 for none.
    #[prost(uint64, tag = "11")]
    pub cluster: u64,
    /// The identity that the first seed chose to bootstrap a new cluster; 0 for none.
    #[prost(uint64, tag = "12")]
    pub appointed: u64,
    /// Its share of processors.
    #[prost(double, tag = "13")]
    pub cpu_fraction: f64,
    /// Its disk was empty at the first start of the whole system.
    #[prost(bool, tag = "14")]
    pub is_new_system: bool,
}

impl Member {
    /// A number that tells what is known of a node from anything else (FNV-1a).
    pub fn fingerprint(&self) -> u64 {
        let hash = |hash: u64, b: u8| (hash ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
        let bytes = self.address.bytes().chain([self.state as u8]);
        bytes.fold(0xcbf2_9ce4_8422_2325u64 ^ self.incarnation, hash)
    }

    /// Whether this says that the incarnation which the other tells of has ended.
    pub fn ends(&self, other: &Member) -> bool {
        self.state() == MemberState::Dead
            && other.state() != MemberState::Dead
            && self.incarnation >= other.incarnation
    }

    /// Whether it is not even suspected.
    pub fn is_alive(&self) -> bool {
        self.state() == MemberState::Alive
    }
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum MessageType {
    /// Are you there?
    Ping = 0,
    /// The answer to it.
    Ack = 1,
    /// Ping somebody for me.
    PingRequest = 2,
    /// Tell me about everybody of whom I know nothing, or something else.
    Join = 3,
    /// What the sender knows of some nodes.
    Update = 4,
    /// Who are you?
    Introduce = 5,
    /// The same as `Join`, from a node that has answered one.
    Exchange = 6,
}

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// See [`MessageType`].
    #[prost(enumeration = "MessageType", tag = "1")]
    pub message_type: i32,
    /// The number of the probe; an ack echoes it.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// PingRequest: the node to ping.
    #[prost(string, tag = "3")]
    pub target: String,
    /// The sender, and what it knows of others.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
    /// Ack: what the sender knows of all nodes, as one number.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// Join and Exchange: what the sender knows of each, by [`Member::fingerprint`].
    #[prost(fixed64, repeated, tag = "6")]
    pub known: Vec<u64>,
}
