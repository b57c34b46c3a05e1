//! Publishes this node's status in the process, and its member entry to the other nodes.

use super::driver::RaftDriver;
use crate::gossip_driver::{GossipDriver, UpdateOwnMember};
use crate::kernel::NodeStatus;
use actix::prelude::*;

impl RaftDriver {
    /// Publishes the status, the contact and the member entry of this node if they have changed.
    pub(super) fn publish(&mut self) {
        let now = self.context.now();
        self.recent_commands.record(now, &self.state.command_history);
        self.publish_contact();
        let before = self.context.status.get();
        let status = NodeStatus {
            id: self.raft.id(),
            cluster: before.cluster,
            term: self.raft.term(),
            leader_id: self.raft.leader_id(),
            is_leader: self.raft.is_leader(),
            is_current: before.is_current || self.is_repaired || self.raft.is_current(),
        };
        if status.is_leader != before.is_leader {
            self.on_leadership_change(&status);
        }
        if status.is_current && !before.is_current {
            let (index, version) = (self.state.index, self.state.version());
            log::info!("event=current index={index} version={version}");
        }
        if status.leader_id != before.leader_id
            || status.is_current != before.is_current
            || status.term != before.term
            || status.is_leader != before.is_leader
        {
            self.context.status.set(status);
        }
        self.publish_own_member();
    }

    /// Publishes the time of the last contact. Contact is through an upstream or with the leader
    /// itself; repair requests do not count.
    fn publish_contact(&self) {
        let now = self.context.now();
        let last_contact_at = if self.raft.holds_lease(now) {
            now
        } else if self.raft.is_leader() {
            self.context.last_contact_ms.get()
        } else {
            self.raft.leader_heard_at()
        };
        self.context.last_contact_ms.set(last_contact_at);
    }

    fn on_leadership_change(&mut self, status: &NodeStatus) {
        let term = status.term;
        if status.is_leader {
            log::info!("event=leads term={term}");
        } else {
            log::info!("event=leads_no_more term={term}");
            // Their outcome is unknown here, so the callers receive no definite answer.
            self.proposals.clear();
        }
    }

    /// Sends this node's member entry to gossip, if it has changed.
    pub(super) fn publish_own_member(&mut self) {
        let status = self.context.status.get();
        let update = UpdateOwnMember {
            id: status.id,
            cluster: status.cluster,
            is_ready: self.context.is_ready(),
            appointed: self.appointed,
            is_new_system: self.is_new_system,
        };
        if self.last_sent_update == Some(update) {
            return;
        }
        if let Some(gossip) = self.context.component::<Addr<GossipDriver>>() {
            self.last_sent_update = Some(update);
            gossip.do_send(update);
        }
    }

    /// Joins a cluster, unless this node already belongs to one.
    pub(super) fn join_cluster(&mut self, cluster: u64) {
        let status = self.context.status.get();
        if status.cluster != 0 || cluster == 0 {
            return;
        }
        self.context.status.set(NodeStatus {
            cluster,
            ..(*status).clone()
        });
        self.is_new_system = false;
        if let Some(storage) = &self.storage {
            storage.set_cluster(cluster);
        }
        log::info!("event=cluster_joined cluster={cluster:x}");
    }
}
