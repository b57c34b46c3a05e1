//! SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol"): every node probes a few others in turn, asks third
//! parties for an indirect probe, suspects before it removes, and a suspect refutes by a higher
//! incarnation. What nodes learn travels on the probes.
//!
//! [`MembershipProtocol`] is a pure state machine: messages and time in, messages out.

mod message;
mod protocol;

pub use message::{Member, MemberState, Message, MessageType};
pub use protocol::{Config, Envelope, MembershipProtocol};
