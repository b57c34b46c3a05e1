//! Ownership of keys: contiguous ranges, each leased to one worker at a time under a fencing
//! token from the log, with renewals, hand-over by release, and the wait for a holder that fell
//! silent (C. Gray, D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
//! File Cache Consistency").
//!
//! [`OwnershipManager`] is a pure state machine. It runs on the leader while that holds its own
//! lease; who holds what is in the control state, and is logged before it is granted.

mod assignment;
mod calls;
mod expiry;
mod load;
mod manager;

pub use calls::{Action, GrantCall, GrantResult, ReleaseCall, ReleaseResult};
pub use manager::OwnershipManager;
