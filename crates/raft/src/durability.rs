//! What a leader may acknowledge, and who may end, without anything being lost.

use crate::fault_tolerance::{has_enough_voters, majority, margin, open_vacancies, FaultTolerance};
use crate::message::Voter;
use crate::node::RaftNode;

/// Whether this leader has heard a node within `contact_ms`, and since it leads.
pub(crate) fn is_in_contact(node: &RaftNode, id: u64, now: u64, contact_ms: u64) -> bool {
    id == node.id()
        || node
            .progress(id)
            .is_some_and(|p| p.round > 0 && now.saturating_sub(p.last_heard) < contact_ms)
}

/// Whether the entry at `index` may be acknowledged by this leader: it is committed, it is on
/// the disks of a majority of the membership in force, and whatever tolerated loss there is by
/// now (voters not heard for `contact_ms` are part of it, not on top of it), a majority is
/// left, any of which holds the entry on at least one disk. `false` on a node that does not
/// lead.
pub fn is_durable(node: &RaftNode, index: u64, now: u64, tolerance: FaultTolerance, contact_ms: u64) -> bool {
    if !node.is_established_leader() || index > node.commit_index() {
        return false;
    }
    let voters: Vec<&Voter> = node.membership().voters.iter().collect();
    let holders = voters.iter().filter(|v| node.persisted_by(v.id) >= index);
    let is_silent = |v: &&Voter| !is_in_contact(node, v.id, now, contact_ms);
    let all = voters.iter().copied().chain(open_vacancies(node.membership()));
    let lost: Vec<&Voter> = all.filter(is_silent).collect();
    holders.count() >= majority(voters.len())
        && has_enough_voters(voters.len(), tolerance)
        && margin(&voters, &lost, tolerance) >= 0
}

/// Whether the cluster goes on, with all that was committed, if voter `id` ends now: the
/// others in contact are a majority, and any majority of them holds every committed entry.
pub fn can_shut_down(node: &RaftNode, id: u64, now: u64, contact_ms: u64) -> bool {
    let majority = node.membership().majority();
    let voters = node.membership().voters.iter().map(|v| v.id);
    let others: Vec<u64> = voters
        .filter(|v| *v != id && is_in_contact(node, *v, now, contact_ms))
        .collect();
    let lags = |v: &&u64| node.persisted_by(**v) < node.commit_index();
    let lagging = others.iter().filter(lags).count();
    node.is_established_leader() && others.len() >= majority && lagging < majority
}
