//! Records the observations of nodes, disks and workers after each step of a run.

use super::Exploration;
use crate::history::{digest, Content, Observation, Replica};
use crate::node::Node;
use std::collections::BTreeMap;

impl Exploration {
    /// Records what has changed on nodes, disks and workers in this step.
    pub(super) fn record_observations(&mut self) {
        let now = self.cluster.now;
        let mut observations = Vec::new();
        for (name, node) in &self.cluster.nodes {
            // A disk keeps its data while its node is down.
            if let Some(disk) = &node.disk {
                let index = disk.last_index();
                if self.synced_index.insert(name.clone(), index) != Some(index) {
                    observations.push((name.clone(), Observation::Synced { index }));
                }
            }
            let Some(process) = &node.process else { continue };
            let number = self.handlers.get(name).map_or(0, |handler| handler.process);
            let index = process.state.index;
            if self.applied_index.insert(name.clone(), index) != Some(index) {
                let replica = replica(node, &self.contents);
                observations.push((
                    name.clone(),
                    Observation::Applied {
                        process: number,
                        replica,
                    },
                ));
            }
            let raft = &process.raft;
            if raft.is_leader() && self.last_led_term.insert(name.clone(), raft.term()) != Some(raft.term()) {
                let term = raft.term();
                self.coverage.terms = self.coverage.terms.max(term);
                observations.push((
                    name.clone(),
                    Observation::Leads {
                        process: number,
                        term,
                    },
                ));
            }
            if raft.is_established_leader() && !raft.is_membership_pending() {
                let voters: Vec<u64> = raft.membership().voters.iter().map(|v| v.id).collect();
                if voters != self.voters {
                    self.voters = voters;
                    self.coverage.membership_changes += 1;
                    let voter = |v: &raft::Voter| format!("{}#{}", v.address, v.id);
                    let voters = raft.membership().voters.iter().map(voter).collect();
                    observations.push((name.clone(), Observation::Membership { voters }));
                }
            }
        }
        for (name, worker) in &mut self.cluster.workers {
            for (from, to, fence, until) in std::mem::take(&mut worker.key_changes) {
                let until = until.max(now);
                let observation = Observation::KeysHeld {
                    from,
                    to,
                    fence,
                    until,
                };
                observations.push((name.clone(), observation));
            }
        }
        for (name, observation) in observations {
            self.history.record(now, &name, observation);
        }
    }
}

/// Returns a node's replica of the control state.
fn replica(node: &Node, contents: &BTreeMap<(u64, u64), Content>) -> Replica {
    let Some(process) = &node.process else {
        return Replica::default();
    };
    let state = &process.state;
    let version = state.version();
    let body = digest(&state.configuration_body);
    let content = (version > 0).then(|| {
        contents.get(&(version, body)).copied().unwrap_or(Content {
            base: 0,
            version,
            digest: body,
        })
    });
    let evacuated = state.evacuated.clone();
    let history = prost::Message::encode_to_vec(&state.command_history.image());
    let digest = digest(format!("{content:?} {evacuated:?} {history:?}").as_bytes());
    Replica {
        index: state.index,
        digest,
        content,
        evacuated,
    }
}
