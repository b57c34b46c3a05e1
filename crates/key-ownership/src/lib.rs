//! Ownership of keys. Each service's keys are divided into contiguous ranges, each leased to one
//! worker at a time under a fencing token from the log. This crate renews leases, hands ranges over
//! after a release, and waits for the lease of an unresponsive holder to expire (C. Gray, D.
//! Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
//! Consistency").
//!
//! [`OwnershipManager`] is a state machine without I/O. It runs on the leader while the leader
//! holds its own lease. The holder of each range is in the control state and is logged before the
//! range is granted.

mod assignment;
mod calls;
mod expiry;
mod load;
mod manager;

pub use calls::{Action, GrantCall, GrantResult, ReleaseCall, ReleaseResult};
pub use manager::OwnershipManager;
