//! What must hold at every moment.

use super::Cluster;

impl Cluster {
    /// What does not hold now that must at every moment: one lease, one leader in a term, no copy
    /// goes back, copies are alike at the same index, and no two workers hold the same key.
    pub fn check(&mut self) -> Result<(), String> {
        self.check_leases()?;
        self.check_copies()?;
        self.check_keys()
    }

    fn check_leases(&self) -> Result<(), String> {
        let now = self.now;
        let processes = self.nodes.values().filter_map(|n| n.process.as_ref());
        let leases = processes.filter(|p| p.raft.holds_lease(now)).count();
        if leases > 1 {
            return Err(format!("{leases} nodes hold the lease at {now}"));
        }
        Ok(())
    }

    fn check_copies(&mut self) -> Result<(), String> {
        let now = self.now;
        for node in self.nodes.values() {
            let Some(process) = &node.process else {
                continue;
            };
            let (raft, state) = (&process.raft, &process.state);
            if raft.is_leader() {
                let first = *self.leaders.entry(raft.term()).or_insert(raft.id());
                if first != raft.id() {
                    return Err(format!("two leaders in term {} at {now}", raft.term()));
                }
            }
            let key = (node.name.clone(), process.started);
            let applied = self.applied.entry(key).or_default();
            if state.index < *applied {
                return Err(format!("{} went back at {now}", node.name));
            }
            if state.index == *applied {
                continue;
            }
            *applied = state.index;
            let digest = anti_entropy::digests(state).ranges;
            let known = self.digests.entry(state.index).or_insert_with(|| digest.clone());
            if *known != digest {
                return Err(format!("copies differ at index {} ({})", state.index, node.name));
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), String> {
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
                return Err(format!("{holder} and {next_holder} hold the same keys at {now}"));
            }
        }
        Ok(())
    }
}
