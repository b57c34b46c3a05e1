//! The faults of a run: their effects, and when they end.

use super::{region, Exploration};
use crate::history::Observation;
use crate::plan::{Direction, Fault};
use protocol::{Change, ChangeKind, EjectionChange};
use std::collections::BTreeSet;

/// Time from a shutdown request until the process ends, ms.
const GRACE_MS: u64 = 3000;

/// Machines that may join during a run, besides those that it starts with.
const MAX_JOINS: u8 = 3;
/// Largest number of workers in a run.
const MAX_WORKERS: usize = 6;

/// An event that is due at a scheduled time.
pub(super) enum ScheduledEvent {
    Start(String),
    Unfreeze(String),
    Kill(String, u64),
    Remove(String, u64),
    Join(String, String),
    /// Restores links. Holds the links, and the machines that count as lost until then.
    RestoreLinks(Vec<(String, String)>, Vec<String>),
    DiskRecovered(String),
    LinksRecovered,
}

impl Exploration {
    /// Returns the machine that a number of a plan refers to, if there is any machine.
    pub(super) fn machine(&self, number: u8) -> Option<String> {
        let present: Vec<&String> = self
            .machines
            .iter()
            .filter(|n| self.cluster.nodes.contains_key(*n))
            .collect();
        (!present.is_empty()).then(|| present[number as usize % present.len()].clone())
    }

    pub(super) fn is_up(&self, name: &str) -> bool {
        self.cluster.nodes.get(name).is_some_and(|n| n.process.is_some())
    }

    pub(super) fn schedule(&mut self, ms: u64, event: ScheduledEvent) {
        self.scheduled.push((self.cluster.now + ms, event));
    }

    /// Ends a running process; it starts again after a pause.
    pub(super) fn stop_machine(&mut self, name: &str, cause: &'static str, pause: u64) {
        if !self.is_up(name) {
            return;
        }
        let process = self.process(name);
        match cause {
            "killed" => self.cluster.end(name, false),
            "power lost" => self.cluster.end(name, true),
            _ => {
                self.cluster.wipe(name);
                self.coverage.disk_losses += 1;
                self.lost_disks.insert(name.into());
                self.synced_index.remove(name);
            }
        }
        self.handlers.remove(name);
        self.record(name, Observation::ProcessEnded { process, how: cause });
        self.begin_fault(name);
        // A process that has ended is no longer frozen.
        self.cluster.frozen.remove(name);
        self.schedule(pause, ScheduledEvent::Start(name.into()));
    }

    pub(super) fn on_scheduled(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Start(name) => {
                if self.cluster.nodes.contains_key(&name) {
                    self.cluster.start(&name);
                    self.process_started(&name);
                    self.fault_ended(&name);
                }
            }
            ScheduledEvent::Unfreeze(name) => {
                self.cluster.frozen.remove(&name);
                self.record(
                    &name,
                    Observation::FaultInjected {
                        what: "thawed".into(),
                    },
                );
                self.fault_ended(&name);
            }
            ScheduledEvent::Kill(name, pause) => self.stop_machine(&name, "killed", pause),
            ScheduledEvent::Remove(name, pause) => self.remove(&name, pause),
            ScheduledEvent::Join(name, region) => {
                self.successors.remove(&name);
                self.lost_disks.insert(name.clone());
                self.add_machine(&name, &region, true, false);
                self.fault_ended(&name);
            }
            ScheduledEvent::RestoreLinks(links, machines_counted_lost) => {
                for link in links {
                    self.cluster.blocked_links.remove(&link);
                    let (to, carries) = (link.1, true);
                    self.record(&link.0, Observation::Link { to, carries });
                }
                for name in machines_counted_lost {
                    self.fault_ended(&name);
                }
            }
            ScheduledEvent::DiskRecovered(name) => {
                if let Some(disk) = self.cluster.nodes.get_mut(&name).and_then(|n| n.disk.as_mut()) {
                    (disk.slow_ms, disk.stuck) = (0, false);
                }
                self.record(
                    &name,
                    Observation::FaultInjected {
                        what: "disk recovered".into(),
                    },
                );
                self.fault_ended(&name);
            }
            ScheduledEvent::LinksRecovered => self.loss_percent = 0,
        }
    }

    /// Injects a fault, if its targets exist and may be lost.
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { target, pause } => self.stop_one(target, "killed", pause),
            Fault::LosePower { target, pause } => self.stop_one(target, "power lost", pause),
            Fault::StopAll { power, pause } => {
                let cause = if power { "power lost" } else { "killed" };
                self.stop_all(cause, pause);
            }
            Fault::LoseDisk { target, pause } => {
                self.lose_disk(target, pause);
            }
            Fault::LoseDiskAndAllPower { target, pause } => {
                if self.lose_disk(target, pause) {
                    self.stop_all("power lost", pause);
                }
            }
            Fault::LoseRegionDisks {
                region: number,
                pause,
            } => self.lose_disks_of_region(&region(number), pause),
            Fault::Cut {
                a,
                b,
                way,
                duration_ms,
            } => self.cut_pair(a, b, way, duration_ms),
            Fault::Isolate {
                target,
                way,
                duration_ms,
            } => {
                if let Some(name) = self.machine(target) {
                    self.cut_off(&BTreeSet::from([name]), way, duration_ms);
                }
            }
            Fault::CutOffRegion {
                region: number,
                duration_ms,
            } => {
                let names = self.machines_of_region(&region(number)).into_iter().collect();
                self.cut_off(&names, Direction::Both, duration_ms);
            }
            Fault::Freeze { target, duration_ms } => self.freeze(target, duration_ms),
            Fault::SlowDisk {
                target,
                by,
                duration_ms,
            } => self.impair_disk(target, Some(by), duration_ms),
            Fault::StuckDisk { target, duration_ms } => self.impair_disk(target, None, duration_ms),
            Fault::ResetConnections { a, b } => self.reset_connections(a, b),
            Fault::Replace {
                target,
                graceful,
                pause,
            } => self.replace(target, graceful, pause),
            Fault::Restart { target, pause } => {
                if let Some(name) = self.machine(target) {
                    self.begin_shutdown(&name, ScheduledEvent::Kill(name.clone(), pause));
                }
            }
            Fault::Join { region: number } => {
                if self.joined < MAX_JOINS {
                    self.joined += 1;
                    let name = format!("j{}", self.joined);
                    self.add_machine(&name, &region(number), true, false);
                    self.fault_ended(&name);
                }
            }
            Fault::FillLog { count } => self.fill_log(count),
            Fault::Worker { target, what } => self.change_worker(target, what),
            Fault::Lossy { percent, duration_ms } => {
                self.loss_percent = percent;
                let what = format!("{percent}% of the calls lost");
                self.record("world", Observation::FaultInjected { what });
                self.schedule(duration_ms, ScheduledEvent::LinksRecovered);
            }
        }
    }

    fn stop_one(&mut self, target: u8, cause: &'static str, pause: u64) {
        if let Some(name) = self.machine(target) {
            self.stop_machine(&name, cause, pause);
        }
    }

    fn stop_all(&mut self, cause: &'static str, pause: u64) {
        for name in self.machines.clone() {
            self.stop_machine(&name, cause, pause);
        }
    }

    /// Loses a machine's disk, if the tolerance allows it. Returns whether the disk was lost.
    fn lose_disk(&mut self, target: u8, pause: u64) -> bool {
        let Some(name) = self.machine(target).filter(|n| self.has_disk(n) && self.is_up(n)) else {
            return false;
        };
        if !self.may_lose(std::slice::from_ref(&name)) {
            return false;
        }
        self.stop_machine(&name, "disk lost", pause);
        true
    }

    fn lose_disks_of_region(&mut self, region: &str, pause: u64) {
        let mut names = self.machines_of_region(region);
        names.retain(|name| self.has_disk(name));
        if self.may_lose(&names) {
            for name in names {
                self.stop_machine(&name, "disk lost", pause);
            }
        }
    }

    fn machines_of_region(&self, region: &str) -> Vec<String> {
        let is_in_region = |name: &&String| {
            let node = self.cluster.nodes.get(*name);
            node.is_some_and(|node| node.region == region)
        };
        self.machines.iter().filter(is_in_region).cloned().collect()
    }

    fn freeze(&mut self, target: u8, duration_ms: u64) {
        let Some(name) = self.machine(target).filter(|n| self.is_up(n)) else {
            return;
        };
        if self.cluster.frozen.insert(name.clone()) {
            let what = "frozen".into();
            self.record(&name, Observation::FaultInjected { what });
            self.begin_fault(&name);
            self.schedule(duration_ms, ScheduledEvent::Unfreeze(name));
        }
    }

    /// Slows a disk down by `slow_ms`, or blocks it if `slow_ms` is `None`.
    fn impair_disk(&mut self, target: u8, slow_ms: Option<u64>, duration_ms: u64) {
        let Some(name) = self.machine(target).filter(|n| self.has_disk(n)) else {
            return;
        };
        let Some(disk) = self.cluster.nodes.get_mut(&name).and_then(|n| n.disk.as_mut()) else {
            return;
        };
        let what = match slow_ms {
            Some(by) => {
                disk.slow_ms = by;
                format!("disk slow by {by} ms")
            }
            None => {
                disk.stuck = true;
                "disk stuck".into()
            }
        };
        self.record(&name, Observation::FaultInjected { what });
        self.begin_fault(&name);
        self.schedule(duration_ms, ScheduledEvent::DiskRecovered(name));
    }

    fn replace(&mut self, target: u8, graceful: bool, pause: u64) {
        let Some(name) = self.machine(target).filter(|n| self.has_disk(n)) else {
            return;
        };
        let removal = ScheduledEvent::Remove(name.clone(), pause);
        if graceful {
            self.begin_shutdown(&name, removal);
        } else {
            self.on_scheduled(removal);
        }
    }

    /// Has the leader log `count` changes of its own.
    fn fill_log(&mut self, count: u8) {
        let leader = self
            .cluster
            .leader_name()
            .and_then(|n| self.cluster.nodes.get_mut(&n));
        let Some(process) = leader.and_then(|n| n.process.as_mut()) else {
            return;
        };
        for i in 0..count {
            let workers = vec![format!("b{i}")];
            let change = ChangeKind::Ejections(EjectionChange { workers });
            process.raft.propose(Change::encode(change));
        }
    }

    /// Ends a worker at once (0), drains it (1), or starts another one (2).
    fn change_worker(&mut self, target: u8, what: u8) {
        let count = self.cluster.workers.len();
        match self.cluster.workers.get_mut(&format!("w{target}")) {
            // The started worker is a new one and holds no keys.
            _ if what == 2 && (1..MAX_WORKERS).contains(&count) => self.add_worker(&format!("w{count}")),
            Some(worker) if what == 0 => worker.up = false,
            Some(worker) if what == 1 => worker.listed.draining = true,
            _ => {}
        }
    }

    /// Requests the shutdown of a process, and schedules `event` for the time at which half of its
    /// grace period is over.
    pub(super) fn begin_shutdown(&mut self, name: &str, event: ScheduledEvent) {
        let Some(process) = self.cluster.nodes.get_mut(name).and_then(|n| n.process.as_mut()) else {
            return;
        };
        process.shutting_down = true;
        let what = "shutdown requested".into();
        self.record(name, Observation::FaultInjected { what });
        self.schedule(GRACE_MS, event);
    }

    /// Removes a machine permanently, if the tolerance allows it; a successor starts after a
    /// pause. Otherwise the process is killed and starts again.
    pub(super) fn remove(&mut self, name: &str, pause: u64) {
        if self.joined >= MAX_JOINS || !self.has_disk(name) || !self.may_lose(&[name.to_string()]) {
            return self.stop_machine(name, "killed", pause);
        }
        let region = self.cluster.nodes[name].region.clone();
        if self.is_up(name) {
            self.stop_machine(name, "disk lost", pause);
        }
        self.cluster.nodes.remove(name);
        self.synced_index.remove(name);
        let what = "permanently removed".into();
        self.record(name, Observation::FaultInjected { what });
        self.joined += 1;
        let successor = format!("j{}", self.joined);
        self.successors.insert(successor.clone(), region.clone());
        self.machines.retain(|n| n != name);
        self.schedule(pause, ScheduledEvent::Join(successor, region));
    }

    pub(super) fn has_disk(&self, name: &str) -> bool {
        self.cluster.nodes.get(name).is_some_and(|n| n.disk.is_some())
    }
}
