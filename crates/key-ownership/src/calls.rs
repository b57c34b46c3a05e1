//! The calls to workers that ownership asks for, and how they end.

use protocol::KeyLease;

/// Gives a worker keys, or renews its lease of them.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantCall {
    /// Tells the call from all others of this process.
    pub number: u64,
    /// The worker's address.
    pub address: String,
    /// The range, its worker and its fencing token.
    pub lease: KeyLease,
    /// How long the lease lasts from when the worker takes it, ms.
    pub lease_ms: u64,
}

/// Asks a worker to give keys back.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseCall {
    /// Tells the call from all others of this process.
    pub number: u64,
    /// The worker's address.
    pub address: String,
    /// The range, its worker and its fencing token.
    pub lease: KeyLease,
}

/// What the leader is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Put these leases into the log; `OwnershipManager::on_logged` says how that went.
    Log(Vec<KeyLease>),
    /// Call a worker.
    Grant(GrantCall),
    /// Call a worker.
    Release(ReleaseCall),
}

/// How a grant ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GrantResult {
    /// The worker has the lease.
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// No byte of the call was sent.
    NotSent,
    /// It may have arrived.
    Unknown,
}

/// How a release ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseResult {
    /// The worker has let go, and hands this over to the next one.
    Released(String),
    /// It has not, or is not known to.
    Failed,
}
