//! What nodes say to each other about who is there.

use prost::{Enumeration, Message};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Standing {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
}

/// A node as others know it; the key is its internal address.
#[derive(Clone, PartialEq, Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub address: String,
    /// The node's identity in the agreement; new with every empty disk.
    #[prost(uint64, tag = "2")]
    pub id: u64,
    /// Higher in every life, and raised by the node itself to refute.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(enumeration = "Standing", tag = "4")]
    pub standing: i32,
    #[prost(string, tag = "5")]
    pub name: String,
    #[prost(string, tag = "6")]
    pub zone: String,
    #[prost(string, tag = "7")]
    pub region: String,
    /// Where clients reach it; empty if it carries none.
    #[prost(string, tag = "8")]
    pub front: String,
    /// It has a disk and so may vote.
    #[prost(bool, tag = "9")]
    pub disk: bool,
    /// It is current and takes clients.
    #[prost(bool, tag = "10")]
    pub ready: bool,
    /// The cluster it belongs to; 0 for none.
    #[prost(uint64, tag = "11")]
    pub cluster: u64,
    /// The identity that the first seed chose to begin a new system; 0 for none.
    #[prost(uint64, tag = "12")]
    pub appoints: u64,
    #[prost(double, tag = "13")]
    pub cpu: f64,
    /// Its disk was empty and the system had never started before.
    #[prost(bool, tag = "14")]
    pub fresh: bool,
}

impl Member {
    /// A number that tells what is known of a node from anything else.
    pub fn mark(&self) -> u64 {
        let hash = |hash: u64, b: u8| (hash ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
        let bytes = self.address.bytes().chain([self.standing as u8]);
        bytes.fold(0xcbf2_9ce4_8422_2325u64 ^ self.incarnation, hash)
    }

    /// Whether this is word that the life which the other tells of has ended.
    pub fn buries(&self, other: &Member) -> bool {
        self.standing() == Standing::Dead
            && other.standing() != Standing::Dead
            && self.incarnation >= other.incarnation
    }

    pub fn is_alive(&self) -> bool {
        self.standing() == Standing::Alive
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum NoticeKind {
    Probe = 0,
    Ack = 1,
    /// Probe somebody for me.
    ProbeFor = 2,
    /// Tell me about everybody of whom I know nothing, or something else.
    Join = 3,
    News = 4,
    /// Who are you?
    Meet = 5,
    /// The same as `Join`, from somebody who has answered one.
    Compare = 6,
}

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Notice {
    #[prost(enumeration = "NoticeKind", tag = "1")]
    pub kind: i32,
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// ProbeFor: whom to probe.
    #[prost(string, tag = "3")]
    pub target: String,
    /// The sender and news of others.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
    /// Ack: what the sender knows of everybody, as one number.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// Join and Compare: what the sender knows of each, as numbers.
    #[prost(fixed64, repeated, tag = "6")]
    pub known: Vec<u64>,
}
