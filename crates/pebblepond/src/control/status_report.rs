//! The status report of the control component, for operators. The field names must not change,
//! because tools read them.

use super::driver::RaftDriver;
use config::constants as c;
use serde_json::{json, Value};

impl RaftDriver {
    /// Returns the response to the `status` command, as JSON.
    pub(super) fn status_report(&self) -> Vec<u8> {
        let silent_ms = self.silent_ms();
        let report = json!({
            "core": self.core_report(),
            "leader": self.raft.is_leader(), "leader_id": self.raft.leader_id(),
            "silent_ms": silent_ms, "in_contact": silent_ms < c::OUT_OF_CONTACT_MS,
            "lease": self.raft.holds_lease(self.context.now()),
            "term": self.raft.term(), "commit": self.raft.commit_index(), "index": self.state.index,
            "version": self.state.version(), "evacuated": self.state.evacuated,
            "workers": self.state.workers.len(), "members": self.member_reports(),
            "holdings": self.key_lease_reports(), "fractions": self.fraction_reports(),
            "counters": self.context.counters.all(),
        });
        report.to_string().into_bytes()
    }

    fn member_reports(&self) -> Vec<Value> {
        let now = self.context.now();
        let members = self.context.members.get();
        let report = |m: &gossip::Member| {
            let progress = self.raft.progress(m.id);
            let applied = if m.id == self.raft.id() {
                Some(self.state.index)
            } else {
                progress.map(|p| p.applied_index)
            };
            json!({
                "name": m.name, "address": m.address, "zone": m.zone, "region": m.region,
                "alive": m.is_alive(), "ready": m.is_ready, "disk": m.has_disk,
                "votes": self.raft.membership().contains(m.id), "applied": applied,
                "silent_ms": progress.map(|p| now.saturating_sub(p.last_heard)),
            })
        };
        members.iter().map(report).collect()
    }

    fn key_lease_reports(&self) -> Vec<Value> {
        let leases = self.state.key_leases.values().flat_map(|t| t.values());
        leases
            .map(|l| {
                json!({
                    "service": l.service, "from": l.from, "to": l.to, "worker": l.worker,
                    "fence": l.fencing_token, "leaving": l.revoking,
                })
            })
            .collect()
    }

    fn fraction_reports(&self) -> Vec<Value> {
        let fractions = self.state.fractions.iter();
        fractions
            .map(|f| json!({"service": f.service, "group": f.group, "site": f.site, "part": f.part}))
            .collect()
    }

    /// Reports the voters and the losses that they tolerate, as far as this node knows: only the
    /// leader hears from all of them.
    fn core_report(&self) -> Value {
        let (raft, now) = (&self.raft, self.context.now());
        let membership = raft.membership();
        let is_leader = raft.is_leader();
        let is_live = |id: u64| {
            let was_heard_recently =
                |p: &raft::Progress| now.saturating_sub(p.last_heard) < c::CONTACT_TIMEOUT_MS;
            id == raft.id() || raft.progress(id).is_some_and(was_heard_recently)
        };
        let is_caught_up = |id: u64| {
            let progress = raft.progress(id);
            id == raft.id() || progress.is_some_and(|p| p.matched >= raft.commit_index())
        };
        let live: Vec<u64> = membership
            .voters
            .iter()
            .map(|v| v.id)
            .filter(|id| is_live(*id))
            .collect();
        let caught_up = live.iter().filter(|id| is_caught_up(**id)).count();
        let learners = self.learners().into_iter();
        let learning = learners.filter(|id| !membership.contains(*id) && is_live(*id));
        let history = self.state.command_history.sizes();
        let silent_ms = self.silent_ms();
        json!({
            "leads": is_leader, "leader_id": raft.leader_id(), "term": raft.term(),
            "commit": raft.commit_index(), "last_index": raft.last_index(),
            "silent_ms": silent_ms, "in_contact": silent_ms < c::OUT_OF_CONTACT_MS,
            "led_for_ms": is_leader.then(|| now.saturating_sub(raft.leader_since())),
            "voters": membership.voters.len(), "majority": membership.majority(),
            "live": is_leader.then_some(live.len()), "caught_up": is_leader.then_some(caught_up),
            "learning": is_leader.then(|| learning.count()),
            "further_losses": is_leader.then(|| caught_up as i64 - membership.majority() as i64),
            "bears_tolerance": raft::tolerates_faults(membership, self.tolerance()),
            "roll_change_under_way": raft.is_membership_pending(),
            "snapshot_index": raft.last_index() - raft.log_len() as u64,
            "snapshot_bytes": raft.snapshot_bytes(),
            "log_entries": raft.log_len(), "log_bytes": raft.log_bytes(),
            "orders": {
                "configurations": history.accepted, "ahead": history.rejected_ahead,
                "others": history.tagged,
            },
            "disk_in_trouble": self.storage_failing,
        })
    }
}
