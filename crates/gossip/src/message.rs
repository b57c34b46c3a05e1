//! Messages of the membership protocol. They are protocol buffers, so tags and types must not
//! change.

use prost::Enumeration;

/// State of a node. A later state outranks an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum MemberState {
    /// The node answers probes.
    Alive = 0,
    /// The node has recently not answered a probe, and may refute.
    Suspect = 1,
    /// The node is removed.
    Dead = 2,
}

/// A node as known to others, identified by its internal address.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    /// Internal address of the node.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Identifier of the node in Raft. A node with an empty disk gets a new one.
    #[prost(uint64, tag = "2")]
    pub id: u64,
    /// Incarnation: higher for every run of the process, and raised by the node itself to refute.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// See [`MemberState`].
    #[prost(enumeration = "MemberState", tag = "4")]
    pub state: i32,
    /// Name of the node in the settings.
    #[prost(string, tag = "5")]
    pub name: String,
    /// Zone of the node.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Region of the node.
    #[prost(string, tag = "7")]
    pub region: String,
    /// Address for clients; empty if the node does not serve clients.
    #[prost(string, tag = "8")]
    pub client_address: String,
    /// Whether the node has a disk and so may vote.
    #[prost(bool, tag = "9")]
    pub has_disk: bool,
    /// Whether the node is up to date and serves clients.
    #[prost(bool, tag = "10")]
    pub is_ready: bool,
    /// Identifier of the node's cluster, or 0 if it has none.
    #[prost(uint64, tag = "11")]
    pub cluster: u64,
    /// Identifier that the first seed chose to bootstrap a new cluster, or 0 if it chose none.
    #[prost(uint64, tag = "12")]
    pub appointed: u64,
    /// Number of processors available to the node, which may be a fraction.
    #[prost(double, tag = "13")]
    pub cpu_fraction: f64,
    /// Whether the node's disk was empty at the first start of the whole system.
    #[prost(bool, tag = "14")]
    pub is_new_system: bool,
}

impl Member {
    /// Returns a hash (FNV-1a) of the node's address, incarnation and state, which identifies what
    /// is known of the node.
    pub fn fingerprint(&self) -> u64 {
        let hash = |hash: u64, b: u8| (hash ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
        let bytes = self.address.bytes().chain([self.state as u8]);
        bytes.fold(0xcbf2_9ce4_8422_2325u64 ^ self.incarnation, hash)
    }

    /// Returns whether this entry says that the incarnation in the other entry, or a later one, has
    /// ended.
    pub fn ends(&self, other: &Member) -> bool {
        self.state() == MemberState::Dead
            && other.state() != MemberState::Dead
            && self.incarnation >= other.incarnation
    }

    /// Returns whether the node is neither suspected nor removed.
    pub fn is_alive(&self) -> bool {
        self.state() == MemberState::Alive
    }
}

/// Type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum MessageType {
    /// Probes the receiver.
    Ping = 0,
    /// Acknowledges a ping.
    Ack = 1,
    /// Asks the receiver to ping another node on behalf of the sender.
    PingRequest = 2,
    /// Asks the receiver for all entries that the sender does not know.
    Join = 3,
    /// Carries membership updates about some nodes.
    Update = 4,
    /// Asks the receiver for its own entry.
    Introduce = 5,
    /// Like `Join`, but sent by a node that has answered a `Join`; it is not answered with another
    /// `Exchange`.
    Exchange = 6,
}

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// See [`MessageType`].
    #[prost(enumeration = "MessageType", tag = "1")]
    pub message_type: i32,
    /// Sequence number of the probe, echoed by its ack.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// For `PingRequest`: the node to ping.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Membership updates: entries of the sender and of other nodes.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
    /// For `Ack`: digest of everything the sender knows.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// For `Join` and `Exchange`: the fingerprints of all entries known to the sender, see
    /// [`Member::fingerprint`].
    #[prost(fixed64, repeated, tag = "6")]
    pub known: Vec<u64>,
}
