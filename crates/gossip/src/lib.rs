//! SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol"). Every node probes the other nodes one after the other and asks
//! third nodes for indirect probes. It suspects a node before it removes it, and a suspect refutes
//! with a higher incarnation. Membership updates are piggybacked on the probes.
//!
//! [`MembershipProtocol`] is a state machine without I/O: its inputs are messages and the time, its
//! outputs are messages.

mod message;
mod protocol;

pub use message::{Member, MemberState, Message, MessageType};
pub use protocol::{Config, Envelope, MembershipProtocol};
