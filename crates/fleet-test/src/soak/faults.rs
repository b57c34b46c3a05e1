//! What befalls nodes and workers, drawn by a seed: signals, freezes, kills and restarts come in
//! series and overlap. No more voters are in trouble at a time than the settings tolerate.

use super::observations::{Record, Trouble, TroubleKind};
use super::worker_pool::WorkerPool;
use crate::fleet::Fleet;
use crate::ScenarioError;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// A voter that is back counts as lost for so long (`CatchUp`), ms.
const CATCH_UP_MS: u64 = 4000;
/// From SIGTERM until the platform kills a process (`GracePeriod`), ms.
const GRACE_MS: u64 = 6000;
/// Pause between two steps, ms.
const STEP_MS: u64 = 20;
/// Calm and busy times take turns: lengths of both, ms.
const CALM_MS: std::ops::Range<u64> = 5000..9000;
const BUSY_MS: std::ops::Range<u64> = 4000..12_000;
/// While the trouble of a node lasts.
const LASTS: u64 = u64::MAX;

/// What happens next to a node in trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Thaw,
    Restart,
    /// Killed when its grace period is over; restarted so long after its end, ms.
    EndAndRestart {
        kill_at: u64,
        pause_ms: u64,
    },
}

/// A node in trouble.
#[derive(Clone, Copy, Debug)]
struct Pending {
    at: u64,
    next: Next,
    /// Its place among the observations.
    place: usize,
}

/// What injects faults.
pub struct Faults<'a> {
    fleet: &'a mut Fleet,
    worker_pool: &'a WorkerPool,
    record: Record,
    rng: StdRng,
    pending: BTreeMap<u8, Pending>,
    /// Until when a voter counts as lost, ms.
    voter_lost_until: u64,
}

impl<'a> Faults<'a> {
    /// Nothing has happened yet.
    pub fn new(
        fleet: &'a mut Fleet,
        worker_pool: &'a WorkerPool,
        record: &Record,
        rng: StdRng,
    ) -> Faults<'a> {
        Faults {
            fleet,
            worker_pool,
            record: record.clone(),
            rng,
            pending: BTreeMap::new(),
            voter_lost_until: 0,
        }
    }

    /// Injects faults until a time, and ends all troubles.
    pub async fn run(mut self, until: u64) -> Result<(), ScenarioError> {
        let mut is_busy = false;
        let mut turns_at = 0;
        let mut next_at = self.record.now();
        while self.record.now() < until || !self.pending.is_empty() {
            let now = self.record.now();
            self.continue_troubles(now)?;
            if now >= turns_at {
                is_busy = !is_busy;
                turns_at = now + self.rng.gen_range(if is_busy { BUSY_MS } else { CALM_MS });
            }
            if now >= next_at && now < until {
                let pause_ms = if is_busy { 50..1200 } else { 600..1800 };
                next_at = now + self.rng.gen_range(pause_ms);
                if is_busy && self.rng.gen_bool(0.6) {
                    self.trouble_a_node(now)?;
                } else {
                    self.worker_pool.replace_one(&mut self.rng).await?;
                }
            }
            actix_rt::time::sleep(Duration::from_millis(STEP_MS)).await;
        }
        Ok(())
    }

    fn continue_troubles(&mut self, now: u64) -> Result<(), ScenarioError> {
        let due: Vec<u8> = self.pending.keys().copied().collect();
        for number in due {
            let pending = self.pending[&number];
            match pending.next {
                Next::EndAndRestart { kill_at, pause_ms } => {
                    let node = self.fleet.node(number)?;
                    if node.ended().is_none() {
                        if now < kill_at {
                            continue;
                        }
                        node.kill();
                    }
                    let at = now + pause_ms;
                    let next = Next::Restart;
                    self.pending.insert(number, Pending { at, next, ..pending });
                }
                _ if now < pending.at => {}
                Next::Thaw => {
                    self.fleet.node(number)?.thaw()?;
                    self.is_back(now, number, pending.place);
                }
                Next::Restart => {
                    self.fleet.restart(number)?;
                    self.is_back(now, number, pending.place);
                }
            }
        }
        Ok(())
    }

    fn is_back(&mut self, now: u64, number: u8, place: usize) {
        self.pending.remove(&number);
        let is_voter = self.record.note(|seen| {
            seen.troubles[place].until = now;
            seen.troubles[place].is_voter
        });
        if is_voter {
            self.voter_lost_until = now + CATCH_UP_MS;
        }
    }

    fn trouble_a_node(&mut self, now: u64) -> Result<(), ScenarioError> {
        let may_lose_voter = now >= self.voter_lost_until;
        let nodes = self.fleet.nodes.iter().map(|n| (n.number, n.has_disk));
        let eligible: Vec<(u8, bool)> = nodes
            .filter(|(_, is_voter)| !is_voter || may_lose_voter)
            .collect();
        let Some(&(number, is_voter)) = eligible.choose(&mut self.rng) else {
            return Ok(());
        };
        if let Some(pending) = self.pending.get(&number) {
            // Signals come again while the first is being dealt with.
            if let Next::EndAndRestart { .. } = pending.next {
                let node = self.fleet.node(number)?;
                let again = self.rng.gen_bool(0.5);
                let _ = if again { node.terminate() } else { node.hang_up() };
            }
            return Ok(());
        }
        let kind = *[
            TroubleKind::Frozen,
            TroubleKind::Frozen,
            TroubleKind::Killed,
            TroubleKind::Terminated,
            TroubleKind::Terminated,
            TroubleKind::HungUp,
        ]
        .choose(&mut self.rng)
        .unwrap_or(&TroubleKind::HungUp);
        self.begin(now, kind, number, is_voter)
    }

    fn begin(
        &mut self,
        now: u64,
        kind: TroubleKind,
        number: u8,
        is_voter: bool,
    ) -> Result<(), ScenarioError> {
        let trouble = Trouble {
            kind,
            node: number,
            is_voter,
            at: now,
            until: if kind == TroubleKind::HungUp { now } else { LASTS },
        };
        let place = self.record.note(|seen| {
            seen.troubles.push(trouble);
            seen.troubles.len() - 1
        });
        let node = self.fleet.node(number)?;
        let pending = match kind {
            TroubleKind::HungUp => return node.hang_up(),
            TroubleKind::Frozen => {
                node.freeze()?;
                let at = now + self.rng.gen_range(400..5500);
                let next = Next::Thaw;
                Pending { at, next, place }
            }
            TroubleKind::Killed => {
                node.kill();
                let at = now + self.rng.gen_range(100..3000);
                let next = Next::Restart;
                Pending { at, next, place }
            }
            TroubleKind::Terminated => {
                node.terminate()?;
                let pause_ms = self.rng.gen_range(50..1500);
                let kill_at = now + GRACE_MS;
                let next = Next::EndAndRestart { kill_at, pause_ms };
                Pending { at: now, next, place }
            }
        };
        self.pending.insert(number, pending);
        if is_voter {
            self.voter_lost_until = LASTS;
        }
        Ok(())
    }
}
