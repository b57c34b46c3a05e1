//! Faults of the links between machines: cuts in one or both directions, and resets.

use super::delivery::InFlight;
use super::faults::ScheduledEvent;
use super::Exploration;
use crate::history::Observation;
use crate::plan::Direction;
use std::collections::BTreeSet;

impl Exploration {
    /// Cuts links for a time, during which the given machines count as lost.
    pub(super) fn cut(
        &mut self,
        links: Vec<(String, String)>,
        machines_counted_lost: Vec<String>,
        duration_ms: u64,
    ) {
        // A link that is already cut is restored when its first cut ends.
        let new_cuts: Vec<(String, String)> = links
            .into_iter()
            .filter(|l| self.cluster.blocked_links.insert(l.clone()))
            .collect();
        for (a, b) in &new_cuts {
            let (to, carries) = (b.clone(), false);
            self.record(a, Observation::Link { to, carries });
        }
        for name in &machines_counted_lost {
            self.begin_fault(name);
        }
        self.schedule(
            duration_ms,
            ScheduledEvent::RestoreLinks(new_cuts, machines_counted_lost),
        );
    }

    pub(super) fn cut_pair(&mut self, a: u8, b: u8, way: Direction, duration_ms: u64) {
        let (Some(a), Some(b)) = (self.machine(a), self.machine(b)) else {
            return;
        };
        if a != b {
            let mut links = vec![(a.clone(), b.clone())];
            if way == Direction::Both {
                links.push((b.clone(), a.clone()));
            }
            self.cut(links, vec![a, b], duration_ms);
        }
    }

    /// Resets the connections between two machines: drops the messages and calls in flight.
    pub(super) fn reset_connections(&mut self, a: u8, b: u8) {
        let (Some(a), Some(b)) = (self.machine(a), self.machine(b)) else {
            return;
        };
        self.cluster.reset(&a, &b);
        let is_this_link = |x: &str, y: &str| x == a && y == b || x == b && y == a;
        self.in_flight.retain(|(_, message)| match message {
            InFlight::Call { from, to, .. } => !is_this_link(from, to),
            _ => true,
        });
        let what = format!("connections to {b} reset");
        self.record(&a, Observation::FaultInjected { what });
    }

    /// Cuts the given machines off from all others.
    pub(super) fn cut_off(&mut self, names: &BTreeSet<String>, way: Direction, duration_ms: u64) {
        let others: Vec<String> = self
            .machines
            .iter()
            .filter(|n| !names.contains(*n))
            .cloned()
            .collect();
        let mut links = Vec::new();
        for (name, other) in names.iter().flat_map(|n| others.iter().map(move |o| (n, o))) {
            if way != Direction::In {
                links.push((name.clone(), other.clone()));
            }
            if way != Direction::Out {
                links.push((other.clone(), name.clone()));
            }
        }
        // The machines that are cut off count as lost, those on the other side do not.
        self.cut(links, names.iter().cloned().collect(), duration_ms);
    }
}
