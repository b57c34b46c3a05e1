//! Decides which machines count as lost, and which disks may be lost at once.

use super::{Exploration, CATCH_UP_MS};
use crate::cluster::STEP_MS;
use std::collections::BTreeSet;

impl Exploration {
    pub(super) fn is_lost(&self, name: &str) -> bool {
        self.faults_in_force.get(name).is_some_and(|n| *n > 0)
            || self.lost.get(name).is_some_and(|until| self.cluster.now < *until)
    }

    /// Returns whether the tolerance allows losing these disks now: together with the machines
    /// already lost they are one machine, or all lie in one region.
    pub(super) fn may_lose(&self, names: &[String]) -> bool {
        let mut lost: BTreeSet<&String> = names.iter().collect();
        let counts = |n: &&String| self.has_disk(n) && self.is_lost(n);
        lost.extend(self.machines.iter().filter(counts));
        let region = |n: &&String| self.cluster.nodes.get(*n).map(|n| n.region.clone());
        let mut regions: BTreeSet<Option<String>> = lost.iter().map(region).collect();
        // A permanently removed machine counts until its successor has caught up.
        regions.extend(self.successors.values().cloned().map(Some));
        lost.len() + self.successors.len() <= 1 || regions.len() <= 1
    }

    /// Extends the catch-up time of machines with a lost disk while more is lost than the
    /// tolerance allows.
    pub(super) fn extend_catch_up(&mut self) {
        if self.lost_disks.is_empty() || self.may_lose(&[]) {
            let lost: BTreeSet<String> = self
                .lost_disks
                .iter()
                .filter(|n| self.is_lost(n))
                .cloned()
                .collect();
            self.lost_disks = lost;
            return;
        }
        for name in &self.lost_disks {
            if let Some(until) = self.lost.get_mut(name) {
                *until += STEP_MS;
            }
        }
    }

    pub(super) fn begin_fault(&mut self, name: &str) {
        *self.faults_in_force.entry(name.into()).or_default() += 1;
    }

    pub(super) fn fault_ended(&mut self, name: &str) {
        if let Some(n) = self.faults_in_force.get_mut(name) {
            *n = n.saturating_sub(1);
        }
        self.lost.insert(name.into(), self.cluster.now + CATCH_UP_MS);
    }
}
