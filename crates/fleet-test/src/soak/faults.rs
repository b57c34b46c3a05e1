//! Faults at nodes and replacements of workers, chosen by a seed. Signals, freezes, kills and
//! restarts come in series and overlap. No more voters are affected at a time than the settings
//! tolerate.

use super::observations::{NodeFault, NodeFaultKind, Record};
use super::shape::Shape;
use super::worker_pool::WorkerPool;
use crate::fleet::Fleet;
use crate::ScenarioError;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a voter that is back still counts as lost (`CatchUp`), in milliseconds.
const CATCH_UP_MS: u64 = 4000;
/// Time from SIGTERM until the platform kills a process (`GracePeriod`), in milliseconds.
const GRACE_PERIOD_MS: u64 = 6000;
/// Interval between two steps, in milliseconds.
const STEP_INTERVAL_MS: u64 = 20;
/// Durations of the calm and busy phases, which alternate, in milliseconds.
const CALM_PHASE_MS: std::ops::Range<u64> = 5000..9000;
const BUSY_PHASE_MS: std::ops::Range<u64> = 4000..12_000;
/// Longest wait for a reading of the list, in milliseconds.
const READING_TIMEOUT_MS: u64 = 3000;
/// End time of a fault that still lasts.
const ONGOING: u64 = u64::MAX;
/// Time of an event that is not planned.
const NEVER: u64 = u64::MAX;
/// Time between two kills of all processes, in milliseconds.
const KILL_ALL_INTERVAL_MS: std::ops::Range<u64> = 15_000..30_000;
/// Time from a kill of all processes until they are restarted, in milliseconds.
const KILL_ALL_PAUSE_MS: std::ops::Range<u64> = 200..1200;

/// The next step for a node with a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    Thaw,
    Restart,
    /// The process is killed when its grace period is over, and restarted `pause_ms` after its end.
    EndAndRestart {
        kill_at: u64,
        pause_ms: u64,
    },
}

/// A node with a fault.
#[derive(Clone, Copy, Debug)]
struct PendingFault {
    at: u64,
    next: NextStep,
    /// Index of the fault in the observations.
    index: usize,
}

/// Injects the faults of a soak.
pub struct FaultInjector<'a> {
    fleet: &'a mut Fleet,
    worker_pool: &'a WorkerPool,
    record: Record,
    shape: Shape,
    rng: StdRng,
    pending: BTreeMap<u8, PendingFault>,
    /// Time until which a voter counts as lost, in milliseconds.
    voter_lost_until: u64,
    /// Time at which all processes are killed next, in milliseconds.
    kill_all_at: u64,
}

impl<'a> FaultInjector<'a> {
    /// Creates an injector without any faults so far.
    pub fn new(
        fleet: &'a mut Fleet,
        worker_pool: &'a WorkerPool,
        record: &Record,
        shape: Shape,
        rng: StdRng,
    ) -> FaultInjector<'a> {
        FaultInjector {
            fleet,
            worker_pool,
            record: record.clone(),
            shape,
            rng,
            pending: BTreeMap::new(),
            voter_lost_until: 0,
            kill_all_at: NEVER,
        }
    }

    /// Makes the injector kill all processes at the same moment from time to time.
    pub fn kill_all_from_time_to_time(&mut self) {
        self.kill_all_at = self.record.now() + self.rng.gen_range(KILL_ALL_INTERVAL_MS);
    }

    /// Injects faults until the given time, and ends all of them.
    pub async fn run(mut self, until: u64) -> Result<(), ScenarioError> {
        let mut is_busy = false;
        let mut phase_ends_at = 0;
        let mut next_at = self.record.now();
        while self.record.now() < until || !self.pending.is_empty() {
            let now = self.record.now();
            self.advance_faults(now)?;
            if now >= phase_ends_at {
                is_busy = !is_busy;
                phase_ends_at = now
                    + self
                        .rng
                        .gen_range(if is_busy { BUSY_PHASE_MS } else { CALM_PHASE_MS });
            }
            if now >= self.kill_all_at && now < until {
                self.kill_all(now)?;
            }
            if now >= next_at && now < until {
                let pause_ms = if is_busy { 50..1200 } else { 600..1800 };
                next_at = now + self.rng.gen_range(pause_ms);
                if is_busy && self.rng.gen_bool(0.6) {
                    self.inject_node_fault(now)?;
                } else {
                    self.replace_workers().await?;
                }
            }
            actix_rt::time::sleep(Duration::from_millis(STEP_INTERVAL_MS)).await;
        }
        Ok(())
    }

    /// Replaces as many workers as the shape says; in half of the waves, at the moment after the
    /// list was read.
    async fn replace_workers(&mut self) -> Result<(), ScenarioError> {
        let count = self.shape.replaced_at_once;
        if count > 1 && self.rng.gen_bool(0.5) {
            let timeout_ms = READING_TIMEOUT_MS;
            return self
                .worker_pool
                .replace_after_reading(count, timeout_ms, &mut self.rng)
                .await;
        }
        for _ in 0..count {
            self.worker_pool.replace_random_worker(&mut self.rng).await?;
        }
        Ok(())
    }

    fn advance_faults(&mut self, now: u64) -> Result<(), ScenarioError> {
        let numbers: Vec<u8> = self.pending.keys().copied().collect();
        for number in numbers {
            let pending = self.pending[&number];
            match pending.next {
                NextStep::EndAndRestart { kill_at, pause_ms } => {
                    let node = self.fleet.node(number)?;
                    if node.exit_status().is_none() {
                        if now < kill_at {
                            continue;
                        }
                        node.kill();
                    }
                    let at = now + pause_ms;
                    let next = NextStep::Restart;
                    self.pending.insert(number, PendingFault { at, next, ..pending });
                }
                _ if now < pending.at => {}
                NextStep::Thaw => {
                    self.fleet.node(number)?.thaw()?;
                    self.end_fault(now, number, pending.index);
                }
                NextStep::Restart => {
                    self.fleet.restart(number)?;
                    self.end_fault(now, number, pending.index);
                }
            }
        }
        Ok(())
    }

    /// Kills all processes. They are restarted at the same moment, within a second or so.
    fn kill_all(&mut self, now: u64) -> Result<(), ScenarioError> {
        let restart_at = now + self.rng.gen_range(KILL_ALL_PAUSE_MS);
        let nodes: Vec<(u8, bool)> = self.fleet.nodes.iter().map(|n| (n.number, n.has_disk)).collect();
        for (number, is_voter) in nodes {
            if let Some(pending) = self.pending.remove(&number) {
                self.end_fault(now, number, pending.index);
            }
            self.fleet.node(number)?.kill();
            let index = self.record_fault(now, NodeFaultKind::Killed, number, is_voter);
            let next = NextStep::Restart;
            let at = restart_at;
            self.pending.insert(number, PendingFault { at, next, index });
        }
        self.voter_lost_until = ONGOING;
        self.kill_all_at = now + self.rng.gen_range(KILL_ALL_INTERVAL_MS);
        Ok(())
    }

    fn end_fault(&mut self, now: u64, number: u8, index: usize) {
        self.pending.remove(&number);
        let is_voter = self.record.update(|seen| {
            seen.node_faults[index].until = now;
            seen.node_faults[index].is_voter
        });
        if is_voter {
            self.voter_lost_until = now + CATCH_UP_MS;
        }
    }

    fn inject_node_fault(&mut self, now: u64) -> Result<(), ScenarioError> {
        let may_lose_voter = now >= self.voter_lost_until;
        let nodes = self.fleet.nodes.iter().map(|n| (n.number, n.has_disk));
        let eligible: Vec<(u8, bool)> = nodes
            .filter(|(_, is_voter)| !is_voter || may_lose_voter)
            .collect();
        let chosen = self.leader_among(&eligible);
        let Some((number, is_voter)) = chosen.or_else(|| eligible.choose(&mut self.rng).copied()) else {
            return Ok(());
        };
        if let Some(pending) = self.pending.get(&number) {
            // Further signals arrive while the node handles the first one.
            if let NextStep::EndAndRestart { .. } = pending.next {
                let node = self.fleet.node(number)?;
                let is_sigterm = self.rng.gen_bool(0.5);
                let _ = if is_sigterm {
                    node.terminate()
                } else {
                    node.request_settings_reload()
                };
            }
            return Ok(());
        }
        let kind = *[
            NodeFaultKind::Frozen,
            NodeFaultKind::Frozen,
            NodeFaultKind::Killed,
            NodeFaultKind::Terminated,
            NodeFaultKind::Terminated,
            NodeFaultKind::SettingsReload,
        ]
        .choose(&mut self.rng)
        .unwrap_or(&NodeFaultKind::SettingsReload);
        self.begin_fault(now, kind, number, is_voter)
    }

    /// Returns the leader as the next node to get a fault, as often as the shape says, if it is
    /// eligible.
    fn leader_among(&mut self, eligible: &[(u8, bool)]) -> Option<(u8, bool)> {
        let fraction = self.shape.leader_fault_fraction;
        if fraction <= 0.0 || !self.rng.gen_bool(fraction) {
            return None;
        }
        let leader = self.fleet.leader()?;
        eligible.iter().copied().find(|(number, _)| *number == leader)
    }

    /// Records the beginning of a fault, and returns its index in the observations.
    fn record_fault(&self, now: u64, kind: NodeFaultKind, number: u8, is_voter: bool) -> usize {
        let node_fault = NodeFault {
            kind,
            node: number,
            is_voter,
            at: now,
            until: if kind == NodeFaultKind::SettingsReload {
                now
            } else {
                ONGOING
            },
        };
        self.record.update(|seen| {
            seen.node_faults.push(node_fault);
            seen.node_faults.len() - 1
        })
    }

    fn begin_fault(
        &mut self,
        now: u64,
        kind: NodeFaultKind,
        number: u8,
        is_voter: bool,
    ) -> Result<(), ScenarioError> {
        let index = self.record_fault(now, kind, number, is_voter);
        let node = self.fleet.node(number)?;
        let pending = match kind {
            NodeFaultKind::SettingsReload => return node.request_settings_reload(),
            NodeFaultKind::Frozen => {
                node.freeze()?;
                let at = now + self.rng.gen_range(400..5500);
                let next = NextStep::Thaw;
                PendingFault { at, next, index }
            }
            NodeFaultKind::Killed => {
                node.kill();
                let at = now + self.rng.gen_range(100..3000);
                let next = NextStep::Restart;
                PendingFault { at, next, index }
            }
            NodeFaultKind::Terminated => {
                node.terminate()?;
                let pause_ms = self.rng.gen_range(50..1500);
                let kill_at = now + GRACE_PERIOD_MS;
                let next = NextStep::EndAndRestart { kill_at, pause_ms };
                PendingFault { at: now, next, index }
            }
        };
        self.pending.insert(number, pending);
        if is_voter {
            self.voter_lost_until = ONGOING;
        }
        Ok(())
    }
}
