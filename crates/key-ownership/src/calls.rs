//! Calls to workers that the ownership manager requests, and their results.

use protocol::KeyLease;

/// A call that grants a worker a key lease, or renews it.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantCall {
    /// Tells the call from all others of this process.
    pub number: u64,
    /// The worker's address.
    pub address: String,
    /// The range, its worker and its fencing token.
    pub lease: KeyLease,
    /// Duration of the lease from when the worker receives it, in milliseconds.
    pub lease_ms: u64,
}

/// A call that asks a worker to release a key range.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseCall {
    /// Tells the call from all others of this process.
    pub number: u64,
    /// The worker's address.
    pub address: String,
    /// The range, its worker and its fencing token.
    pub lease: KeyLease,
}

/// An action that the leader is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append these leases to the log, then call
    /// [`OwnershipManager::on_proposal_finished`](crate::OwnershipManager::on_proposal_finished),
    /// whether that succeeded or failed.
    ProposeLeases(Vec<KeyLease>),
    /// Call a worker.
    Grant(GrantCall),
    /// Call a worker.
    Release(ReleaseCall),
}

/// Result of a grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GrantResult {
    /// The worker accepted the lease.
    Accepted,
    /// The worker refused the lease because it has seen a higher fencing token.
    Fenced,
    /// The call failed before any byte of it was sent.
    NotSent,
    /// The result is unknown: the call may have reached the worker.
    Unknown,
}

/// Result of a release.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseResult {
    /// The worker released the range. The text is the handover for the next holder.
    Released(String),
    /// The worker did not release the range, or the result is unknown.
    Failed,
}
