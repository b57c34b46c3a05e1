//! What a node tells of the control side, for operators.

use super::Conductor;
use config::constants as c;

impl Conductor {
    pub(super) fn status(&self) -> Vec<u8> {
        let now = self.house.now();
        let members: Vec<serde_json::Value> = self
            .house
            .members
            .get()
            .iter()
            .map(|m| {
                serde_json::json!({
                    "name": m.name, "address": m.address, "zone": m.zone, "region": m.region,
                    "alive": m.is_alive(), "ready": m.ready, "disk": m.disk,
                    "votes": self.raft.membership().contains(m.id),
                    "applied": if m.id == self.raft.id() { Some(self.stage.index) } else { self.raft.progress(m.id).map(|p| p.applied) },
                    "silent_ms": self.raft.progress(m.id).map(|p| now.saturating_sub(p.last_heard)),
                })
            })
            .collect();
        let holdings: Vec<serde_json::Value> = self
            .stage
            .key_leases
            .values()
            .flat_map(|t| t.values())
            .map(|h| serde_json::json!({"service": h.service, "from": h.from, "to": h.to, "worker": h.worker, "fence": h.fencing_token, "leaving": h.revoking}))
            .collect();
        let fractions: Vec<serde_json::Value> = self
            .stage
            .fractions
            .iter()
            .map(|f| serde_json::json!({"service": f.service, "group": f.group, "site": f.site, "part": f.part}))
            .collect();
        let value = serde_json::json!({
            "core": self.core(now),
            "leader": self.raft.is_leader(), "leader_id": self.raft.leader_id(),
            "silent_ms": self.silent_ms(), "in_contact": self.silent_ms() < c::OUT_OF_CONTACT_MS,
            "lease": self.raft.holds_lease(now),
            "term": self.raft.term(), "commit": self.raft.commit_index(), "index": self.stage.index,
            "version": self.stage.version(), "evacuated": self.stage.evacuated,
            "workers": self.stage.workers.len(), "members": members, "holdings": holdings,
            "fractions": fractions, "counters": self.house.counters.all(),
        });
        value.to_string().into_bytes()
    }

    /// The voters and what they bear, as far as this node knows: only the leader hears
    /// them all.
    fn core(&self, now: u64) -> serde_json::Value {
        let p = &self.raft;
        let roll = p.membership();
        let leads = p.is_leader();
        let heard = |id: u64| {
            let progress = p.progress(id);
            id == p.id() || progress.is_some_and(|p| now.saturating_sub(p.last_heard) < c::CONTACT_TIMEOUT_MS)
        };
        let caught_up =
            |id: u64| id == p.id() || p.progress(id).is_some_and(|o| o.matched >= p.commit_index());
        let live = roll.voters.iter().filter(|v| heard(v.id)).count();
        let able = roll
            .voters
            .iter()
            .filter(|v| heard(v.id) && caught_up(v.id))
            .count();
        let learners = self
            .observers()
            .into_iter()
            .filter(|id| !roll.contains(*id) && heard(*id))
            .count();
        let history = self.stage.command_history.sizes();
        let (snapshot_index, snapshot_bytes) = (p.last_index() - p.log_len() as u64, p.snapshot_bytes());
        serde_json::json!({
            "leads": leads, "leader_id": p.leader_id(), "term": p.term(), "commit": p.commit_index(),
            "last_index": p.last_index(), "silent_ms": self.silent_ms(),
            "in_contact": self.silent_ms() < c::OUT_OF_CONTACT_MS,
            "led_for_ms": leads.then(|| now.saturating_sub(p.leader_since())),
            "voters": roll.voters.len(), "majority": roll.majority(),
            "live": leads.then_some(live), "caught_up": leads.then_some(able),
            "learning": leads.then_some(learners),
            "further_losses": leads.then(|| able as i64 - roll.majority() as i64),
            "bears_tolerance": raft::tolerates_faults(roll, self.losses()),
            "roll_change_under_way": p.is_membership_pending(),
            "snapshot_index": snapshot_index, "snapshot_bytes": snapshot_bytes,
            "log_entries": p.log_len(), "log_bytes": p.log_bytes(),
            "orders": { "configurations": history.accepted, "ahead": history.rejected_ahead, "others": history.tagged },
            "disk_in_trouble": self.in_trouble,
        })
    }
}
