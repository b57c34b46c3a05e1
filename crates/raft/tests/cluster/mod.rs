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
pub const TOLERANCE: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 1,
    regions: 1,
};
pub const TIMEOUTS: SilenceTimeouts = SilenceTimeouts {
    contact_ms: 1000,
    removal_ms: 5000,
    urgent_removal_ms: 2000,
};
pub const CONFIG: Config = Config {
    heartbeat_ms: 100,
    learner_heartbeat_ms: 400,
    election_timeout_ms: 450,
    election_jitter_ms: 300,
    lease_ms: 260,
    resend_ms: 400,
    snapshot_resend_ms: 1000,
    peer_timeout_ms: 3000,
    append_bytes: 1 << 20,
    retained_bytes: 0,
};

pub type NextMembership =
    fn(&RaftNode, u64, &[PeerObservation], FaultTolerance, SilenceTimeouts) -> Option<Membership>;

#[derive(Clone)]
pub struct Machine {
    pub address: String,
    pub region: usize,
    pub id: u64,
    pub saved: PersistentState,
    pub node: Option<RaftNode>,
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
    /// Messages on their way, with their senders.
    pub wire: Vec<(u64, Message)>,
    pub next_id: u64,
    /// Orders in the log of a leader that are not acknowledged yet: index, term, and
    /// since when there is a leader for them.
    pub pending: Vec<(u64, u64, u64)>,
    pub acknowledged: Vec<(u64, u64)>,
    pub next_membership: NextMembership,
    pub changes: usize,
    /// Links that carry nothing, by addresses, from and to.
    pub cut_links: Vec<(usize, usize)>,
}

impl Cluster {
    pub fn new(regions: &[usize], next_membership: NextMembership) -> Cluster {
        let mut me = Cluster {
            now: 1000,
            machines: Vec::new(),
            wire: Vec::new(),
            next_id: 1,
            pending: Vec::new(),
            acknowledged: Vec::new(),
            next_membership,
            changes: 0,
            cut_links: Vec::new(),
        };
        for region in regions {
            me.add(*region);
        }
        let first = me.voter(0);
        if let Some(node) = &mut me.machines[0].node {
            node.bootstrap(first);
        }
        for _ in 0..200 {
            me.tick();
        }
        for m in &mut me.machines {
            m.lost_until = 0;
        }
        let leader = me.leader().expect("somebody leads");
        let voters = leader.membership().voters.len();
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
            node: None,
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
        m.node = Some(RaftNode::new(m.id, saved, CONFIG, self.now, m.id));
        let cut = self.cut_links.contains(&(i, i));
        m.lost_until = if cut { u64::MAX } else { self.now + CATCH_UP_MS };
        (m.leaving, m.back_at) = (None, None);
    }

    pub fn end(&mut self, i: usize, wiped: bool) {
        let m = &mut self.machines[i];
        m.node = None;
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
        let nodes = self.machines.iter().filter_map(|m| m.node.as_ref());
        nodes
            .filter(|l| l.is_established_leader())
            .max_by_key(|l| l.term())
    }

    pub fn tick(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        for (from, message) in std::mem::take(&mut self.wire) {
            let of = |id: u64| self.machines.iter().position(|m| m.id == id);
            let (Some(a), Some(b)) = (of(from), of(message.to)) else {
                continue;
            };
            if self.cut_links.contains(&(a, b)) {
                continue;
            }
            if let Some(node) = &mut self.machines[b].node {
                node.step(now, from, message);
            }
        }
        for i in 0..self.machines.len() {
            self.end_in_order(i);
            if self.machines[i].back_at.is_some_and(|at| now >= at) {
                self.start(i);
            }
            if let Some(node) = &mut self.machines[i].node {
                node.tick(now);
            }
            self.plan_membership(i);
            self.flush(i);
        }
        self.acknowledge();
    }

    /// A process that was told to end does so once it may, or has no more time.
    pub fn end_in_order(&mut self, i: usize) {
        let now = self.now;
        let m = &mut self.machines[i];
        let (Some((since, back)), Some(node)) = (m.leaving, &mut m.node) else {
            return;
        };
        node.announce_shutdown(now);
        if node.is_shutdown_safe() && now >= since + LEAVE_MS || now >= since + GRACE_MS {
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
        self.cut_links.extend(all.flat_map(|j| [(i, j), (j, i)]));
        self.machines[i].lost_until = u64::MAX;
    }

    /// Mends all links.
    pub fn heal(&mut self) {
        for (i, j) in std::mem::take(&mut self.cut_links) {
            let m = &mut self.machines[i];
            if i != j && m.node.is_some() && m.lost_until == u64::MAX && m.leaving.is_none() {
                m.lost_until = self.now + CATCH_UP_MS;
            }
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.tick();
        }
    }

    pub fn plan_membership(&mut self, i: usize) {
        let others = |j: &usize| *j != i && self.machines[*j].node.is_some();
        let peers: Vec<PeerObservation> = (0..self.machines.len())
            .filter(others)
            .map(|j| PeerObservation {
                voter: self.voter(j),
                has_disk: true,
                is_alive: true,
            })
            .collect();
        let (now, next_membership) = (self.now, self.next_membership);
        let Some(node) = self.machines[i].node.as_mut().filter(|l| l.is_leader()) else {
            return;
        };
        node.set_learners(&peers.iter().map(|s| s.voter.id).collect());
        if let Some(membership) = next_membership(node, now, &peers, TOLERANCE, TIMEOUTS) {
            self.changes += usize::from(node.propose_membership(&membership));
        }
    }

    pub fn flush(&mut self, i: usize) {
        let m = &mut self.machines[i];
        let Some(node) = &mut m.node else { return };
        loop {
            let ready = node.take_ready();
            let last = node.last_position();
            m.saved.apply(ready.write);
            node.on_persisted(last);
            let sent = ready.messages.into_iter().chain(ready.persisted_messages);
            self.wire.extend(sent.map(|message| (m.id, message)));
            if let Some(snapshot) = ready.snapshot {
                node.on_applied(snapshot.index);
            }
            let Some(last) = ready.committed_entries.last() else {
                break;
            };
            node.on_applied(last.index);
        }
        if node.log_len() > 4 {
            node.compact(Vec::new());
            m.saved.apply(node.take_ready().write);
        }
    }

    pub fn acknowledge(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader() else {
            self.pending.iter_mut().for_each(|p| p.2 = now);
            return;
        };
        let term = leader.term();
        let is_durable_at = |index| is_durable(leader, index, now, TOLERANCE, TIMEOUTS.contact_ms);
        let (done, rest): (Vec<_>, Vec<_>) = self
            .pending
            .iter()
            .filter(|(_, t, _)| *t >= term)
            .partition(|(index, t, _)| *t == term && is_durable_at(*index));
        self.pending = rest;
        self.acknowledged
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
        self.machines[i].node.is_some()
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
            let Some(node) = &x.node else { continue };
            let membership = node.membership();
            let log = |m: &Machine| m.node.as_ref().map(|l| (l.last_position().term, l.last_index()));
            let votes = left
                .iter()
                .filter(|y| membership.contains(y.id) && log(x) >= log(y))
                .count();
            if !membership.contains(x.id) || votes < membership.majority() {
                continue;
            }
            electable = true;
            for (index, term) in &self.acknowledged {
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
        let memberships: Vec<Vec<u64>> = left
            .iter()
            .filter_map(|m| m.node.as_ref())
            .map(|l| l.membership().voters.iter().map(|v| v.id).collect())
            .collect();
        Err(format!(
            "nobody can be elected; up {:?}, memberships {memberships:?}",
            left.iter().map(|m| m.id).collect::<Vec<_>>()
        ))
    }
}
