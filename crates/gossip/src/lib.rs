//! Membership: every node probes a few others in turn, asks third parties for
//! a second opinion, suspects before it removes, and a suspect refutes by a
//! higher incarnation.
//!
//! A pure state machine: datagrams and time in, datagrams out.

mod board;
mod notice;

pub use board::{Board, Timing};
pub use notice::{Member, Notice, NoticeKind, Standing};

#[cfg(test)]
mod tests;
