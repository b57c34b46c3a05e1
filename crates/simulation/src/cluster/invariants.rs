//! The invariants of the cluster, which must hold at every moment.

use super::Cluster;

/// A violated invariant. Times are simulated, ms.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// Several nodes hold the lease and may act as the leader.
    #[error("{count} nodes hold the lease at {at}")]
    SeveralLeases {
        /// Number of nodes that hold the lease.
        count: usize,
        /// Time of the violation, ms.
        at: u64,
    },
    /// Two nodes are leader in the same term.
    #[error("two leaders in term {term} at {at}")]
    TwoLeaders {
        /// The term.
        term: u64,
        /// Time of the violation, ms.
        at: u64,
    },
    /// The applied index of a node decreased.
    #[error("applied index of {node} decreased at {at}")]
    IndexDecreased {
        /// Name of the node.
        node: String,
        /// Time of the violation, ms.
        at: u64,
    },
    /// Two replicas differ at the same index.
    #[error("replicas differ at index {index} ({node})")]
    ReplicasDiffer {
        /// The index.
        index: u64,
        /// Name of the node whose replica differs from an earlier one.
        node: String,
    },
    /// Two workers hold the same key.
    #[error("{first} and {second} hold the same keys at {at}")]
    KeysHeldTwice {
        /// One worker.
        first: String,
        /// The other.
        second: String,
        /// Time of the violation, ms.
        at: u64,
    },
}

impl Cluster {
    /// Checks the invariants: one lease, one leader per term, the applied index of a process
    /// never decreases, replicas are equal at the same index, and no two workers hold the same
    /// key. Returns the first violation.
    pub fn check(&mut self) -> Result<(), InvariantViolation> {
        self.check_leases()?;
        self.check_replicas()?;
        self.check_keys()
    }

    fn check_leases(&self) -> Result<(), InvariantViolation> {
        let now = self.now;
        let processes = self.nodes.values().filter_map(|n| n.process.as_ref());
        let leases = processes.filter(|p| p.raft.holds_lease(now)).count();
        if leases > 1 {
            return Err(InvariantViolation::SeveralLeases {
                count: leases,
                at: now,
            });
        }
        Ok(())
    }

    fn check_replicas(&mut self) -> Result<(), InvariantViolation> {
        let now = self.now;
        for node in self.nodes.values() {
            let Some(process) = &node.process else {
                continue;
            };
            let (raft, state) = (&process.raft, &process.state);
            if raft.is_leader() {
                let first = *self.leaders.entry(raft.term()).or_insert(raft.id());
                if first != raft.id() {
                    let term = raft.term();
                    return Err(InvariantViolation::TwoLeaders { term, at: now });
                }
            }
            let key = (node.name.clone(), process.started);
            let applied = self.applied.entry(key).or_default();
            if state.index < *applied {
                let node = node.name.clone();
                return Err(InvariantViolation::IndexDecreased { node, at: now });
            }
            if state.index == *applied {
                continue;
            }
            *applied = state.index;
            let digest = anti_entropy::digests(state).ranges;
            let known = self.digests.entry(state.index).or_insert_with(|| digest.clone());
            if *known != digest {
                let node = node.name.clone();
                return Err(InvariantViolation::ReplicasDiffer {
                    index: state.index,
                    node,
                });
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), InvariantViolation> {
        let now = self.now;
        let mut held: Vec<(u32, u32, &str)> = Vec::new();
        for worker in self.workers.values() {
            let ranges = worker.holds(now);
            held.extend(ranges.map(|(from, to)| (from, to, worker.listed.id.as_str())));
        }
        held.sort_unstable();
        for pair in held.windows(2) {
            let (_, to, holder) = pair[0];
            let (next_from, _, next_holder) = pair[1];
            if to >= next_from && holder != next_holder {
                return Err(InvariantViolation::KeysHeldTwice {
                    first: holder.into(),
                    second: next_holder.into(),
                    at: now,
                });
            }
        }
        Ok(())
    }
}
