//! A small cluster of machines that run the real state machine on simulated time. Disks sync
//! immediately, and messages take one step.
#![allow(dead_code)]

use prost::Message as _;
use raft::*;

pub const STEP_MS: u64 = 50;
/// Time for which a machine still counts as lost after it has returned, in milliseconds.
pub const CATCH_UP_MS: u64 = 4000;
/// Time within which a command is acknowledged if its leader remains the leader, in
/// milliseconds.
pub const MAX_ACKNOWLEDGE_MS: u64 = 1500;
/// Minimum time that a process keeps running after it was told to shut down, in milliseconds.
pub const MIN_SHUTDOWN_MS: u64 = 1000;
/// Maximum time that a process keeps running after it was told to shut down, in milliseconds.
pub const MAX_SHUTDOWN_MS: u64 = 5400;
/// Time until a process that shut down starts again, in milliseconds.
pub const RESTART_MS: u64 = 700;
pub const TOLERANCE: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 1,
    regions: 1,
};
pub const TIMEOUTS: VoterTimeouts = VoterTimeouts {
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
    fn(&RaftNode, u64, &[PeerObservation], FaultTolerance, VoterTimeouts) -> Option<Membership>;

/// The part of a machine in a cluster whose voters are already set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Part {
    Voter,
    /// A voter whose machine is permanently lost.
    LostVoter,
    Learner,
}

#[derive(Clone)]
pub struct Machine {
    pub address: String,
    pub region: usize,
    pub id: u64,
    pub persisted_state: PersistentState,
    pub node: Option<RaftNode>,
    /// Time until which the machine counts as lost, in milliseconds; `u64::MAX` while it is
    /// down.
    pub lost_until: u64,
    /// Whether the machine is permanently gone.
    pub removed: bool,
    /// Time at which the machine was told to shut down, in milliseconds, and whether it starts
    /// again afterwards.
    pub shutdown: Option<(u64, bool)>,
    /// Time at which the machine starts again, in milliseconds.
    pub restart_at: Option<u64>,
}

#[derive(Clone)]
pub struct Cluster {
    pub now: u64,
    pub machines: Vec<Machine>,
    /// Messages in transit, with the identities of their senders.
    pub in_transit: Vec<(u64, Message)>,
    pub next_id: u64,
    /// Commands in a leader's log that are not acknowledged yet: index, term, and the time
    /// since which there has been a leader for them, in milliseconds.
    pub pending: Vec<(u64, u64, u64)>,
    pub acknowledged: Vec<(u64, u64)>,
    pub next_membership: NextMembership,
    pub changes: usize,
    /// Links that drop all messages, as machine indexes of the sender and the receiver.
    pub cut_links: Vec<(usize, usize)>,
}

impl Cluster {
    fn without_machines(next_membership: NextMembership) -> Cluster {
        Cluster {
            now: 1000,
            machines: Vec::new(),
            in_transit: Vec::new(),
            next_id: 1,
            pending: Vec::new(),
            acknowledged: Vec::new(),
            next_membership,
            changes: 0,
            cut_links: Vec::new(),
        }
    }

    pub fn new(regions: &[usize], next_membership: NextMembership) -> Cluster {
        let mut cluster = Cluster::without_machines(next_membership);
        for region in regions {
            cluster.add(*region);
        }
        let first = cluster.voter(0);
        if let Some(node) = &mut cluster.machines[0].node {
            node.bootstrap(first);
        }
        for _ in 0..200 {
            cluster.tick();
        }
        for machine in &mut cluster.machines {
            machine.lost_until = 0;
        }
        let leader = cluster.leader().expect("no leader was elected");
        let voters = leader.membership().voters.len();
        assert_eq!(voters, regions.len(), "every machine is a voter");
        cluster
    }

    /// Creates a cluster whose voters are already set, without the history that led to them. Each
    /// machine has a region and a part; the voters come before the learners.
    pub fn of_machines(machines: &[(usize, Part)], next_membership: NextMembership) -> Cluster {
        let mut cluster = Cluster::without_machines(next_membership);
        for (region, _) in machines {
            cluster.add(*region);
        }
        let is_voter = |i: &usize| machines[*i].1 != Part::Learner;
        let voters = (0..machines.len())
            .filter(is_voter)
            .map(|i| cluster.voter(i))
            .collect();
        let membership = Membership {
            voters,
            ..Default::default()
        };
        let persisted_state = PersistentState {
            hard_state: HardState { term: 1, vote: 0 },
            entries: vec![Entry {
                index: 1,
                term: 1,
                entry_type: EntryType::Membership as i32,
                data: membership.encode_to_vec(),
            }],
            ..Default::default()
        };
        for (i, (_, part)) in machines.iter().enumerate() {
            match part {
                Part::Learner => {}
                Part::Voter => {
                    cluster.machines[i].persisted_state = persisted_state.clone();
                    cluster.start(i);
                }
                Part::LostVoter => {
                    cluster.machines[i].node = None;
                    cluster.machines[i].removed = true;
                }
            }
        }
        cluster
    }

    pub fn add(&mut self, region: usize) {
        let address = format!("at-{}", self.machines.len());
        self.machines.push(Machine {
            address,
            region,
            id: 0,
            persisted_state: PersistentState::default(),
            node: None,
            lost_until: 0,
            removed: false,
            shutdown: None,
            restart_at: None,
        });
        self.start(self.machines.len() - 1);
    }

    pub fn start(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        if machine.id == 0 {
            machine.id = self.next_id;
            self.next_id += 1;
        }
        let persisted_state = machine.persisted_state.clone();
        machine.node = Some(RaftNode::new(
            machine.id,
            persisted_state,
            CONFIG,
            self.now,
            machine.id,
        ));
        let is_isolated = self.cut_links.contains(&(i, i));
        machine.lost_until = if is_isolated {
            u64::MAX
        } else {
            self.now + CATCH_UP_MS
        };
        (machine.shutdown, machine.restart_at) = (None, None);
    }

    pub fn stop(&mut self, i: usize, wiped: bool) {
        let machine = &mut self.machines[i];
        machine.node = None;
        machine.restart_at = None;
        machine.lost_until = u64::MAX;
        if wiped {
            machine.persisted_state = PersistentState::default();
            machine.id = 0;
        }
    }

    pub fn voter(&self, i: usize) -> Voter {
        let machine = &self.machines[i];
        Voter {
            id: machine.id,
            address: machine.address.clone(),
            zone: machine.address.clone(),
            region: format!("r{}", machine.region),
        }
    }

    pub fn leader(&self) -> Option<&RaftNode> {
        let nodes = self.machines.iter().filter_map(|machine| machine.node.as_ref());
        nodes
            .filter(|node| node.is_established_leader())
            .max_by_key(|node| node.term())
    }

    pub fn tick(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        for (from, message) in std::mem::take(&mut self.in_transit) {
            let index_of = |id: u64| self.machines.iter().position(|machine| machine.id == id);
            let (Some(a), Some(b)) = (index_of(from), index_of(message.to)) else {
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
            self.shut_down_if_due(i);
            if self.machines[i].restart_at.is_some_and(|at| now >= at) {
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

    /// Stops a process that was told to shut down, once it is safe or its time has run out.
    pub fn shut_down_if_due(&mut self, i: usize) {
        let now = self.now;
        let machine = &mut self.machines[i];
        let (Some((since, returns)), Some(node)) = (machine.shutdown, &mut machine.node) else {
            return;
        };
        node.announce_shutdown(now);
        if node.is_shutdown_safe() && now >= since + MIN_SHUTDOWN_MS || now >= since + MAX_SHUTDOWN_MS {
            machine.shutdown = None;
            self.stop(i, !returns);
            self.machines[i].removed = !returns;
            self.machines[i].restart_at = returns.then_some(now + RESTART_MS);
        }
    }

    /// Tells a process to shut down; it either starts again afterwards or is permanently gone.
    pub fn begin_shutdown(&mut self, i: usize, returns: bool) {
        self.machines[i].shutdown = Some((self.now, returns));
        self.machines[i].lost_until = u64::MAX;
    }

    /// Isolates a machine from all others.
    pub fn isolate(&mut self, i: usize) {
        let all = 0..self.machines.len();
        self.cut_links.extend(all.flat_map(|j| [(i, j), (j, i)]));
        self.machines[i].lost_until = u64::MAX;
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        for (i, j) in std::mem::take(&mut self.cut_links) {
            let machine = &mut self.machines[i];
            if i != j
                && machine.node.is_some()
                && machine.lost_until == u64::MAX
                && machine.shutdown.is_none()
            {
                machine.lost_until = self.now + CATCH_UP_MS;
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
        let Some(node) = self.machines[i].node.as_mut().filter(|node| node.is_leader()) else {
            return;
        };
        node.set_learners(&peers.iter().map(|peer| peer.voter.id).collect());
        if let Some(membership) = next_membership(node, now, &peers, TOLERANCE, TIMEOUTS) {
            self.changes += usize::from(node.propose_membership(&membership));
        }
    }

    pub fn flush(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        let Some(node) = &mut machine.node else { return };
        loop {
            let ready = node.take_ready();
            let last = node.last_position();
            machine.persisted_state.apply(ready.write);
            node.on_persisted(last);
            let messages = ready.messages.into_iter().chain(ready.persisted_messages);
            self.in_transit
                .extend(messages.map(|message| (machine.id, message)));
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
            machine.persisted_state.apply(node.take_ready().write);
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
        let (durable, not_durable): (Vec<_>, Vec<_>) = self
            .pending
            .iter()
            .filter(|(_, t, _)| *t >= term)
            .partition(|(index, t, _)| *t == term && is_durable_at(*index));
        self.pending = not_durable;
        self.acknowledged
            .extend(durable.into_iter().map(|(index, term, _)| (index, term)));
    }

    pub fn lost(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|i| self.machines[*i].lost_until > self.now && !self.machines[*i].removed)
            .collect()
    }

    /// Returns whether these machines may be lost in addition to those that are lost already.
    pub fn tolerates_loss(&self, further: &[usize]) -> bool {
        let mut regions: Vec<usize> = self.lost().iter().map(|i| self.machines[*i].region).collect();
        regions.extend(further.iter().map(|i| self.machines[*i].region));
        regions.sort_unstable();
        regions.dedup();
        regions.len() <= 1
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.machines[i].node.is_some()
    }

    pub fn check(&self) -> Result<(), String> {
        let is_overdue = |(_, _, since): &&(u64, u64, u64)| self.now - since > MAX_ACKNOWLEDGE_MS;
        if let Some((index, ..)) = self.pending.iter().find(is_overdue) {
            return Err(format!(
                "at {} ms: entry {index} is not acknowledged in time",
                self.now
            ));
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
        for loss in losses.iter().filter(|loss| lost.iter().all(|i| loss.contains(i))) {
            self.check_after(loss).map_err(|e| {
                format!(
                    "at {} ms, lost machines {lost:?}, after the loss of {loss:?}: {e}",
                    self.now
                )
            })?;
        }
        Ok(())
    }

    /// Checks which machines could be elected once the machines in `loss` are lost, including
    /// their disks.
    pub fn check_after(&self, loss: &[usize]) -> Result<(), String> {
        let remaining: Vec<&Machine> = (0..self.machines.len())
            .filter(|i| !loss.contains(i) && self.is_running(*i))
            .map(|i| &self.machines[i])
            .collect();
        let mut can_elect = false;
        for candidate in &remaining {
            let Some(node) = &candidate.node else { continue };
            let membership = node.membership();
            let log = |machine: &Machine| {
                machine
                    .node
                    .as_ref()
                    .map(|node| (node.last_position().term, node.last_index()))
            };
            let votes = remaining
                .iter()
                .filter(|voter| membership.contains(voter.id) && log(candidate) >= log(voter))
                .count();
            if !membership.contains(candidate.id) || votes < membership.majority() {
                continue;
            }
            can_elect = true;
            for (index, term) in &self.acknowledged {
                let held = *index <= candidate.persisted_state.snapshot.index
                    || candidate
                        .persisted_state
                        .entries
                        .iter()
                        .any(|e| e.index == *index && e.term == *term);
                if !held {
                    return Err(format!(
                        "{} can be elected but lacks acknowledged entry {index}",
                        candidate.address
                    ));
                }
            }
        }
        if can_elect {
            return Ok(());
        }
        let memberships: Vec<Vec<u64>> = remaining
            .iter()
            .filter_map(|machine| machine.node.as_ref())
            .map(|node| node.membership().voters.iter().map(|v| v.id).collect())
            .collect();
        Err(format!(
            "nobody can be elected; running nodes {:?}, memberships {memberships:?}",
            remaining.iter().map(|machine| machine.id).collect::<Vec<_>>()
        ))
    }
}
