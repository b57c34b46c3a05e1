//! Decides which entries a leader may acknowledge, and which voters may shut down, without
//! loss of committed entries.

use crate::fault_tolerance::{has_enough_voters, majority, margin, open_vacancies, FaultTolerance};
use crate::message::Voter;
use crate::node::RaftNode;

/// Returns whether this leader has heard from node `id` within the last `contact_ms`
/// milliseconds and during its current leadership.
pub(crate) fn is_in_contact(node: &RaftNode, id: u64, now: u64, contact_ms: u64) -> bool {
    id == node.id()
        || node
            .progress(id)
            .is_some_and(|p| p.round > 0 && now.saturating_sub(p.last_heard) < contact_ms)
}

/// Returns whether this leader may acknowledge the entry at `index`.
///
/// The entry must be committed and on the disks of a majority of the membership in force. In
/// addition, after any tolerated loss a majority of the voters must be left, and any such
/// majority must contain a voter that has the entry on disk. Voters not heard from for
/// `contact_ms` milliseconds count as part of that loss, not in addition to it. Returns
/// `false` on a node that is not the leader.
pub fn is_durable(node: &RaftNode, index: u64, now: u64, tolerance: FaultTolerance, contact_ms: u64) -> bool {
    if !node.is_established_leader() || index > node.commit_index() {
        return false;
    }
    let voters: Vec<&Voter> = node.membership().voters.iter().collect();
    let holders = voters.iter().filter(|v| node.persisted_index_of(v.id) >= index);
    let is_unresponsive = |v: &&Voter| !is_in_contact(node, v.id, now, contact_ms);
    let voters_and_vacancies = voters.iter().copied().chain(open_vacancies(node.membership()));
    let lost: Vec<&Voter> = voters_and_vacancies.filter(is_unresponsive).collect();
    holders.count() >= majority(voters.len())
        && has_enough_voters(voters.len(), tolerance)
        && margin(&voters, &lost, tolerance) >= 0
}

/// Returns whether the cluster keeps operating with all committed entries if voter `id` stops
/// now: the other voters in contact form a majority, and any majority of them holds every
/// committed entry.
pub fn can_shut_down(node: &RaftNode, id: u64, now: u64, contact_ms: u64) -> bool {
    let majority = node.membership().majority();
    let voters = node.membership().voters.iter().map(|v| v.id);
    let others: Vec<u64> = voters
        .filter(|v| *v != id && is_in_contact(node, *v, now, contact_ms))
        .collect();
    let lags = |v: &&u64| node.persisted_index_of(**v) < node.commit_index();
    let lagging = others.iter().filter(lags).count();
    node.is_established_leader() && others.len() >= majority && lagging < majority
}
