//! A few machines with the real state machine, on simulated time: disks that sync at
//! once, links that take a step.
#![allow(dead_code)]

use raft::*;

pub const STEP_MS: u64 = 50;
/// A machine counts as lost for so long after it is back.
pub const CATCH_UP_MS: u64 = 4000;
/// An order has its acknowledgement after so long, if its leader still leads.
pub const ACKNOWLEDGE_MS: u64 = 1500;
/// A process that was told to end stays for so long, and at the most so long.
pub const LEAVE_MS: u64 = 1000;
pub const GRACE_MS: u64 = 5400;
/// A process is back after so long.
pub const RESTART_MS: u64 = 700;
pub const LOSSES: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 1,
    regions: 1,
};
pub const PATIENCE: SilenceTimeouts = SilenceTimeouts {
    contact: 1000,
    gone: 5000,
    left: 2000,
};
pub const TIMING: Config = Config {
    heartbeat: 100,
    observer_heartbeat: 400,
    election_min: 450,
    election_spread: 300,
    lease: 260,
    resend: 400,
    snapshot_resend: 1000,
    follower_gone: 3000,
    append_bytes: 1 << 20,
    tail_bytes: 0,
};

pub type NextRoll =
    fn(&RaftNode, u64, &[PeerObservation], FaultTolerance, SilenceTimeouts) -> Option<Membership>;

#[derive(Clone)]
pub struct Machine {
    pub address: String,
    pub region: usize,
    pub id: u64,
    pub saved: PersistentState,
    pub life: Option<RaftNode>,
    /// Until when it counts as lost, ms; `u64::MAX` while it is down.
    pub lost_until: u64,
    /// It will not come back.
    pub removed: bool,
    /// Since when it is about to end, and whether it comes back after that.
    pub leaving: Option<(u64, bool)>,
    /// When it starts again.
    pub back_at: Option<u64>,
}

#[derive(Clone)]
pub struct Cluster {
    pub now: u64,
    pub machines: Vec<Machine>,
    pub wire: Vec<(u64, u64, Message)>,
    pub next_id: u64,
    /// Orders in the log of a leader that are not acknowledged yet: index, term, and
    /// since when there is a leader for them.
    pub pending: Vec<(u64, u64, u64)>,
    pub acked: Vec<(u64, u64)>,
    pub next_roll: NextRoll,
    pub changes: usize,
    /// Links that carry nothing, by addresses, from and to.
    pub cuts: Vec<(usize, usize)>,
}

impl Cluster {
    pub fn new(regions: &[usize], next_roll: NextRoll) -> Cluster {
        let mut me = Cluster {
            now: 1000,
            machines: Vec::new(),
            wire: Vec::new(),
            next_id: 1,
            pending: Vec::new(),
            acked: Vec::new(),
            next_roll,
            changes: 0,
            cuts: Vec::new(),
        };
        for region in regions {
            me.add(*region);
        }
        let first = me.voter(0);
        if let Some(life) = &mut me.machines[0].life {
            life.begin(first);
        }
        for _ in 0..200 {
            me.tick();
        }
        for m in &mut me.machines {
            m.lost_until = 0;
        }
        let leader = me.leader().expect("somebody leads");
        let voters = leader.roll().voters.len();
        assert_eq!(voters, regions.len(), "all vote");
        me
    }

    pub fn add(&mut self, region: usize) {
        let address = format!("at-{}", self.machines.len());
        self.machines.push(Machine {
            address,
            region,
            id: 0,
            saved: PersistentState::default(),
            life: None,
            lost_until: 0,
            removed: false,
            leaving: None,
            back_at: None,
        });
        self.start(self.machines.len() - 1);
    }

    pub fn start(&mut self, i: usize) {
        let m = &mut self.machines[i];
        if m.id == 0 {
            m.id = self.next_id;
            self.next_id += 1;
        }
        let saved = m.saved.clone();
        m.life = Some(RaftNode::new(m.id, saved, TIMING, self.now, m.id));
        let cut = self.cuts.contains(&(i, i));
        m.lost_until = if cut { u64::MAX } else { self.now + CATCH_UP_MS };
        (m.leaving, m.back_at) = (None, None);
    }

    pub fn end(&mut self, i: usize, wiped: bool) {
        let m = &mut self.machines[i];
        m.life = None;
        m.back_at = None;
        m.lost_until = u64::MAX;
        if wiped {
            m.saved = PersistentState::default();
            m.id = 0;
        }
    }

    pub fn voter(&self, i: usize) -> Voter {
        let m = &self.machines[i];
        Voter {
            id: m.id,
            address: m.address.clone(),
            zone: m.address.clone(),
            region: format!("r{}", m.region),
        }
    }

    pub fn leader(&self) -> Option<&RaftNode> {
        let lives = self.machines.iter().filter_map(|m| m.life.as_ref());
        lives.filter(|l| l.is_settled()).max_by_key(|l| l.term())
    }

    pub fn tick(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        for (from, to, message) in std::mem::take(&mut self.wire) {
            let of = |id: u64| self.machines.iter().position(|m| m.id == id);
            let (Some(a), Some(b)) = (of(from), of(to)) else {
                continue;
            };
            if self.cuts.contains(&(a, b)) {
                continue;
            }
            if let Some(life) = &mut self.machines[b].life {
                life.receive(now, from, message);
            }
        }
        for i in 0..self.machines.len() {
            self.end_in_order(i);
            if self.machines[i].back_at.is_some_and(|at| now >= at) {
                self.start(i);
            }
            if let Some(life) = &mut self.machines[i].life {
                life.tick(now);
            }
            self.tend(i);
            self.flush(i);
        }
        self.acknowledge();
    }

    /// A process that was told to end does so once it may, or has no more time.
    pub fn end_in_order(&mut self, i: usize) {
        let now = self.now;
        let m = &mut self.machines[i];
        let (Some((since, back)), Some(life)) = (m.leaving, &mut m.life) else {
            return;
        };
        life.leave(now);
        if life.may_end() && now >= since + LEAVE_MS || now >= since + GRACE_MS {
            m.leaving = None;
            self.end(i, !back);
            self.machines[i].removed = !back;
            self.machines[i].back_at = back.then_some(now + RESTART_MS);
        }
    }

    /// Tells a process to end; it may come back, or be gone for good.
    pub fn leave(&mut self, i: usize, back: bool) {
        self.machines[i].leaving = Some((self.now, back));
        self.machines[i].lost_until = u64::MAX;
    }

    /// Cuts a machine off from all others.
    pub fn cut_off(&mut self, i: usize) {
        let all = 0..self.machines.len();
        self.cuts.extend(all.flat_map(|j| [(i, j), (j, i)]));
        self.machines[i].lost_until = u64::MAX;
    }

    /// Mends all links.
    pub fn heal(&mut self) {
        for (i, j) in std::mem::take(&mut self.cuts) {
            let m = &mut self.machines[i];
            if i != j && m.life.is_some() && m.lost_until == u64::MAX && m.leaving.is_none() {
                m.lost_until = self.now + CATCH_UP_MS;
            }
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.tick();
        }
    }

    pub fn tend(&mut self, i: usize) {
        let others = |j: &usize| *j != i && self.machines[*j].life.is_some();
        let seen: Vec<PeerObservation> = (0..self.machines.len())
            .filter(others)
            .map(|j| PeerObservation {
                voter: self.voter(j),
                disk: true,
                alive: true,
            })
            .collect();
        let (now, next_roll) = (self.now, self.next_roll);
        let Some(life) = self.machines[i].life.as_mut().filter(|l| l.is_leader()) else {
            return;
        };
        life.set_observers(&seen.iter().map(|s| s.voter.id).collect());
        if let Some(roll) = next_roll(life, now, &seen, LOSSES, PATIENCE) {
            self.changes += usize::from(life.propose_roll(roll));
        }
    }

    pub fn flush(&mut self, i: usize) {
        let m = &mut self.machines[i];
        let Some(life) = &mut m.life else { return };
        loop {
            let effects = life.take_effects();
            let last = (life.last_index(), life.term_of_last());
            write(&mut m.saved, effects.write);
            life.persisted(last.0, last.1);
            let sent = effects.now.into_iter().chain(effects.after);
            self.wire.extend(sent.map(|(to, message)| (m.id, to, message)));
            if let Some(snapshot) = effects.install {
                life.applied(snapshot.index);
            }
            let Some(last) = effects.committed.last() else {
                break;
            };
            life.applied(last.index);
        }
        if life.log_len() > 4 {
            life.compact(Vec::new());
            write(&mut m.saved, life.take_effects().write);
        }
    }

    pub fn acknowledge(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader() else {
            self.pending.iter_mut().for_each(|p| p.2 = now);
            return;
        };
        let term = leader.term();
        let bears = |index| bears_loss(leader, index, now, LOSSES, PATIENCE.contact);
        let (done, rest): (Vec<_>, Vec<_>) = self
            .pending
            .iter()
            .filter(|(_, t, _)| *t >= term)
            .partition(|(index, t, _)| *t == term && bears(*index));
        self.pending = rest;
        self.acked
            .extend(done.into_iter().map(|(index, term, _)| (index, term)));
    }

    pub fn lost(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|i| self.machines[*i].lost_until > self.now && !self.machines[*i].removed)
            .collect()
    }

    /// Whether these may be lost together with what is lost already.
    pub fn may_lose(&self, more: &[usize]) -> bool {
        let mut regions: Vec<usize> = self.lost().iter().map(|i| self.machines[*i].region).collect();
        regions.extend(more.iter().map(|i| self.machines[*i].region));
        regions.sort_unstable();
        regions.dedup();
        regions.len() <= 1
    }

    pub fn up(&self, i: usize) -> bool {
        self.machines[i].life.is_some()
    }

    pub fn check(&self) -> Result<(), String> {
        let late = |(_, _, since): &&(u64, u64, u64)| self.now - since > ACKNOWLEDGE_MS;
        if let Some((index, ..)) = self.pending.iter().find(late) {
            return Err(format!("at {} ms: entry {index} is not acknowledged", self.now));
        }
        let lost = self.lost();
        let mut losses: Vec<Vec<usize>> = (0..3)
            .map(|r| {
                (0..self.machines.len())
                    .filter(|i| self.machines[*i].region == r)
                    .collect()
            })
            .collect();
        losses.extend((0..self.machines.len()).map(|i| vec![i]));
        for loss in losses.iter().filter(|l| lost.iter().all(|i| l.contains(i))) {
            self.check_after(loss)
                .map_err(|e| format!("at {} ms, lost {lost:?}, after {loss:?}: {e}", self.now))?;
        }
        Ok(())
    }

    /// What an election could come to once these are lost, disks and all.
    pub fn check_after(&self, loss: &[usize]) -> Result<(), String> {
        let left: Vec<&Machine> = (0..self.machines.len())
            .filter(|i| !loss.contains(i) && self.up(*i))
            .map(|i| &self.machines[i])
            .collect();
        let mut electable = false;
        for x in &left {
            let Some(life) = &x.life else { continue };
            let roll = life.roll();
            let log = |m: &Machine| m.life.as_ref().map(|l| (l.term_of_last(), l.last_index()));
            let votes = left.iter().filter(|y| roll.has(y.id) && log(x) >= log(y)).count();
            if !roll.has(x.id) || votes < roll.majority() {
                continue;
            }
            electable = true;
            for (index, term) in &self.acked {
                let held = *index <= x.saved.snapshot.index
                    || x.saved
                        .entries
                        .iter()
                        .any(|e| e.index == *index && e.term == *term);
                if !held {
                    return Err(format!("{} can lead and lacks entry {index}", x.address));
                }
            }
        }
        if electable {
            return Ok(());
        }
        let rolls: Vec<Vec<u64>> = left
            .iter()
            .filter_map(|m| m.life.as_ref())
            .map(|l| l.roll().voters.iter().map(|v| v.id).collect())
            .collect();
        Err(format!(
            "nobody can be elected; up {:?}, rolls {rolls:?}",
            left.iter().map(|m| m.id).collect::<Vec<_>>()
        ))
    }
}

fn write(saved: &mut PersistentState, write: StorageWrite) {
    if let Some((term, vote)) = write.hard {
        (saved.term, saved.vote) = (term, vote);
    }
    if let Some(snapshot) = write.snapshot {
        saved.entries.retain(|e| e.index > snapshot.index);
        saved.snapshot = snapshot;
    }
    if let Some(from) = write.cut_from {
        saved.entries.retain(|e| e.index < from);
    }
    saved.entries.extend(write.entries);
}
