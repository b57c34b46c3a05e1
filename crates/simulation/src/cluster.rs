//! The simulated world: nodes, links, the platform and workers.

use crate::disk::Disk;
use crate::node::{Node, PendingCommand, Process, StepResult};
use crate::worker::SimulatedWorker;
use config::constants as c;
use control_state::Outcome;
use key_ownership::{Action, GrantCall, GrantResult, ReleaseCall, ReleaseResult};
use protocol::*;
use raft::{
    next_membership, tolerates_faults, FaultTolerance, LogPosition, PeerObservation, SilenceTimeouts,
    UpstreamCandidate, UpstreamTimeouts, Voter,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const TOLERANCE: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 1,
    regions: 1,
};
/// One step of time, ms.
pub const STEP_MS: u64 = 10;

enum InFlight {
    Raft {
        from: String,
        sender: u64,
        to: u64,
        message: raft::Message,
    },
    Grant {
        leader: String,
        process: u64,
        call: GrantCall,
        sent: u64,
        /// The caller has given up waiting by the time that it arrives.
        late: bool,
    },
    Granted {
        leader: String,
        process: u64,
        call: GrantCall,
        end: GrantResult,
    },
    Release {
        leader: String,
        process: u64,
        call: ReleaseCall,
    },
    Released {
        leader: String,
        process: u64,
        call: ReleaseCall,
        end: ReleaseResult,
    },
}

pub struct Cluster {
    pub now: u64,
    pub nodes: BTreeMap<String, Node>,
    pub workers: BTreeMap<String, SimulatedWorker>,
    in_flight: Vec<(u64, InFlight)>,
    /// Links that carry nothing, from and to.
    pub blocked_links: BTreeSet<(String, String)>,
    rng: SmallRng,
    next_id: u64,
    /// Answers to orders, by name.
    pub answers: BTreeMap<String, Option<Outcome>>,
    pub acked_version: u64,
    applied: BTreeMap<(String, u64), u64>,
    digests: BTreeMap<u64, Vec<u64>>,
    leaders: BTreeMap<u64, u64>,
    /// Bytes of the agreement that each node has sent since a moment.
    sent: BTreeMap<String, usize>,
    measured_since: u64,
    /// Calls to workers take up to so much longer, ms.
    pub lag_ms: u64,
    /// Bytes a second that a machine's link carries, each way; all others are wide.
    pub bandwidth: BTreeMap<String, u64>,
    /// When the link of a narrow machine will have carried what waits for it, us, by
    /// machine and whether it goes out.
    link_free_at: BTreeMap<(String, bool), u64>,
    /// Nodes that stand still: what is sent to them waits.
    pub frozen: BTreeSet<String>,
    /// Whether what must hold ends the run at once; else it is kept in `wrong`.
    pub strict: bool,
    pub violations: Vec<String>,
    /// What the nodes did in the last step.
    pub step_result: Vec<(String, StepResult)>,
}

impl Cluster {
    pub fn new(seed: u64) -> Cluster {
        Cluster {
            now: 1,
            nodes: BTreeMap::new(),
            workers: BTreeMap::new(),
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            next_id: 100,
            answers: BTreeMap::new(),
            acked_version: 0,
            applied: BTreeMap::new(),
            digests: BTreeMap::new(),
            leaders: BTreeMap::new(),
            sent: BTreeMap::new(),
            measured_since: 0,
            lag_ms: 0,
            bandwidth: BTreeMap::new(),
            link_free_at: BTreeMap::new(),
            frozen: BTreeSet::new(),
            strict: true,
            violations: Vec::new(),
            step_result: Vec::new(),
        }
    }

    /// Counts bytes from now on.
    pub fn measure(&mut self) {
        self.sent.clear();
        self.measured_since = self.now;
    }

    /// Bytes a second that the busiest node with a disk, or without one, has sent.
    pub fn busiest(&self, disk: bool) -> u64 {
        let kind = |name: &String| self.nodes.get(name).is_some_and(|n| n.disk.is_some() == disk);
        let most = self
            .sent
            .iter()
            .filter(|(name, _)| kind(name))
            .map(|(_, b)| *b)
            .max();
        most.unwrap_or(0) as u64 * 1000 / (self.now - self.measured_since).max(1)
    }

    pub fn add(&mut self, name: &str, region: &str, disk: bool, is_new_system: bool) {
        let node = Node {
            name: name.into(),
            region: region.into(),
            address: format!("at-{name}"),
            disk: disk.then(Disk::default),
            process: None,
            is_new_system,
        };
        self.nodes.insert(name.into(), node);
        self.start(name);
    }

    pub fn start(&mut self, name: &str) {
        self.next_id += 1;
        let (now, id, acked) = (self.now, self.next_id, self.acked_version);
        if let Some(node) = self.nodes.get_mut(name) {
            node.start(now, id, acked);
        }
    }

    /// Ends a process, or the power of its machine.
    pub fn end(&mut self, name: &str, power_lost: bool) {
        let keep = self.rng.gen_range(0..3);
        if let Some(node) = self.nodes.get_mut(name) {
            node.process = None;
            if let Some(disk) = &mut node.disk {
                disk.end(power_lost, keep);
            }
        }
    }

    /// The machine comes back with an empty disk.
    pub fn wipe(&mut self, name: &str) {
        self.end(name, true);
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk = Some(Disk::default());
            node.is_new_system = false;
        }
    }

    /// The first node begins the system.
    pub fn begin(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            let voter = voter_of(node);
            if let (true, Some(process)) = (node.is_new_system, &mut node.process) {
                process.raft.bootstrap(voter);
            }
        }
    }

    pub fn leader(&self) -> Option<&Node> {
        self.nodes
            .values()
            .find(|n| n.process.as_ref().is_some_and(|l| l.raft.holds_lease(self.now)))
    }

    pub fn leader_name(&self) -> Option<String> {
        self.leader().map(|n| n.name.clone())
    }

    fn latency(&mut self, a: &str, b: &str) -> u64 {
        let region = |n: &str| self.nodes.get(n).map(|n| n.region.clone());
        let base = if region(a) == region(b) { 1 } else { 30 };
        base + self.rng.gen_range(0..5)
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.tick();
        }
    }

    /// One step of time.
    pub fn tick(&mut self) {
        self.now += STEP_MS;
        self.step_result.clear();
        self.deliver();
        self.follow();
        self.lead();
        let runs = |n: &&String| !self.frozen.contains(*n);
        let names: Vec<String> = self.nodes.keys().filter(runs).cloned().collect();
        for name in names {
            self.step(&name);
        }
        if let Err(what) = self.check() {
            self.fail(what);
        }
    }

    fn fail(&mut self, what: String) {
        assert!(!self.strict, "{what}");
        self.violations.push(what);
    }

    fn step(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if let Some(process) = &mut node.process {
            process.raft.tick(now);
            if process.shutting_down && now % c::SHUTDOWN_ANNOUNCE_INTERVAL_MS == 1 {
                process.raft.announce_shutdown(now);
            }
        }
        let mut step_result = node.flush(now);
        for message in std::mem::take(&mut step_result.sent) {
            self.send(name, message);
        }
        for (command, replace, outcome) in std::mem::take(&mut step_result.settled) {
            self.settle(command, &replace, outcome);
        }
        if let Some(what) = step_result.violations.take() {
            self.fail(what);
        }
        self.step_result.push((name.to_string(), step_result));
    }

    fn settle(&mut self, command: String, replace: &ConfigurationCommand, outcome: Option<Outcome>) {
        if matches!(outcome, Some(Outcome::Applied | Outcome::AlreadyApplied)) {
            if let Ok(config) = config::Configuration::parse(&replace.body) {
                self.acked_version = self.acked_version.max(config.version);
            }
        }
        self.answers.insert(command, outcome);
    }

    fn send(&mut self, from: &str, message: raft::Message) {
        let to = message.to;
        let Some(name) = self.nodes.values().find(|n| n.id() == to).map(|n| n.name.clone()) else {
            return;
        };
        if self.blocked_links.contains(&(from.to_string(), name.clone())) {
            return;
        }
        let bytes = prost::Message::encoded_len(&message);
        *self.sent.entry(from.to_string()).or_default() += bytes;
        let out = self.transmit(from, true, self.now, bytes);
        let latency = self.latency(from, &name);
        let at = self.transmit(&name, false, out + latency, bytes);
        let sender = self.nodes.get(from).map_or(0, Node::id);
        self.in_flight.push((
            at,
            InFlight::Raft {
                from: from.into(),
                sender,
                to,
                message,
            },
        ));
    }

    /// When a message that reaches a link at a moment is through it: one after the
    /// other, each as long as it is large.
    fn transmit(&mut self, machine: &str, out: bool, at: u64, bytes: usize) -> u64 {
        let Some(width) = self.bandwidth.get(machine) else {
            return at;
        };
        let key = (machine.to_string(), out);
        let free = self.link_free_at.entry(key).or_default();
        *free = (*free).max(at * 1000) + bytes as u64 * 1_000_000 / width;
        *free / 1000
    }

    fn deliver(&mut self) {
        let now = self.now;
        let frozen: BTreeSet<u64> = self
            .frozen
            .iter()
            .filter_map(|n| self.nodes.get(n))
            .map(Node::id)
            .collect();
        let waits = |f: &InFlight| matches!(f, InFlight::Raft { to, .. } if frozen.contains(to));
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, message_in_flight)| *at <= now && !waits(message_in_flight));
        self.in_flight = rest;
        for (_, message_in_flight) in due {
            match message_in_flight {
                InFlight::Raft {
                    sender, to, message, ..
                } => {
                    if let Some(process) = self
                        .nodes
                        .values_mut()
                        .find(|n| n.id() == to)
                        .and_then(|n| n.process.as_mut())
                    {
                        process.raft.step(now, sender, message);
                    }
                }
                InFlight::Grant {
                    leader,
                    process,
                    call,
                    sent,
                    late,
                } => {
                    let worker = self
                        .workers
                        .values_mut()
                        .find(|w| w.listed.address == call.address);
                    let end = match worker {
                        Some(w) if w.up => {
                            let end = w.grant(now, &call.lease, call.lease_ms);
                            if w.mute {
                                GrantResult::Unknown
                            } else {
                                end
                            }
                        }
                        _ => GrantResult::Unknown,
                    };
                    if late {
                        continue;
                    }
                    let back = if end == GrantResult::Unknown {
                        sent + c::GRANT_TIMEOUT_MS
                    } else {
                        now + 20
                    };
                    self.in_flight.push((
                        back.max(now),
                        InFlight::Granted {
                            leader,
                            process,
                            call,
                            end,
                        },
                    ));
                }
                InFlight::Granted {
                    leader,
                    process,
                    call,
                    end,
                } => {
                    if let Some(l) = self.life_of(&leader, process) {
                        l.ownership.on_grant_result(now, &call, end);
                    }
                }
                InFlight::Release {
                    leader,
                    process,
                    call,
                } => {
                    let worker = self
                        .workers
                        .values_mut()
                        .find(|w| w.listed.address == call.address);
                    let end = match worker {
                        Some(w) if w.up && !w.mute => w.release(&call.lease),
                        _ => ReleaseResult::Failed,
                    };
                    let wait = if end == ReleaseResult::Failed { 1000 } else { 150 };
                    self.in_flight.push((
                        now + wait,
                        InFlight::Released {
                            leader,
                            process,
                            call,
                            end,
                        },
                    ));
                }
                InFlight::Released {
                    leader,
                    process,
                    call,
                    end,
                } => {
                    if let Some(l) = self.life_of(&leader, process) {
                        l.ownership.on_release_result(now, &call, end);
                    }
                }
            }
        }
    }

    fn life_of(&mut self, name: &str, started: u64) -> Option<&mut Process> {
        self.nodes
            .get_mut(name)?
            .process
            .as_mut()
            .filter(|l| l.started == started)
    }

    /// Nodes without a disk choose whom they follow.
    fn follow(&mut self) {
        let now = self.now;
        let disks: Vec<(u64, String)> = self
            .nodes
            .values()
            .filter(|n| n.disk.is_some() && n.process.is_some())
            .map(|n| (n.id(), n.region.clone()))
            .collect();
        let timing = UpstreamTimeouts {
            silence_ms: c::UPSTREAM_SILENCE_MS,
            avoid_ms: c::UPSTREAM_AVOID_MS,
        };
        let frozen = &self.frozen;
        let runs = |n: &&mut Node| n.disk.is_none() && !frozen.contains(&n.name);
        for node in self.nodes.values_mut().filter(runs) {
            let Some(process) = &mut node.process else {
                continue;
            };
            let source = |(id, region): &(u64, String)| UpstreamCandidate {
                id: *id,
                same_zone: false,
                same_region: *region == node.region,
            };
            let sources: Vec<UpstreamCandidate> = disks.iter().map(source).collect();
            let (me, feed) = (process.raft.id(), process.raft.upstream());
            if let Some(source) = process.upstream_selector.select(now, me, feed, &sources, timing) {
                process.raft.subscribe(now, source);
            } else if now % 200 == 1 {
                process.raft.repeat_subscription();
            }
        }
    }

    /// The duties of whoever holds the lease, and the leader's care for the roll.
    fn lead(&mut self) {
        let now = self.now;
        let peers: Vec<PeerObservation> = self
            .nodes
            .values()
            .filter(|n| n.process.is_some())
            .map(|n| PeerObservation {
                voter: voter_of(n),
                has_disk: n.disk.is_some(),
                is_alive: true,
            })
            .collect();
        let observers: BTreeSet<u64> = peers.iter().filter(|s| s.has_disk).map(|s| s.voter.id).collect();
        let listed: Vec<Worker> = self.workers.values().map(|w| w.listed.clone()).collect();
        let mut in_flight = Vec::new();
        for node in self.nodes.values_mut() {
            let name = node.name.clone();
            let Some(process) = &mut node.process else {
                continue;
            };
            if self.frozen.contains(&name) {
                continue;
            }
            if !process.raft.is_leader() {
                process.ownership_since = None;
                continue;
            }
            let me = process.raft.id();
            let others: BTreeSet<u64> = observers.iter().copied().filter(|id| *id != me).collect();
            process.raft.set_learners(&others);
            let others: Vec<PeerObservation> = peers.iter().filter(|s| s.voter.id != me).cloned().collect();
            let patience = SilenceTimeouts {
                contact_ms: c::CONTACT_TIMEOUT_MS,
                removal_ms: c::VOTER_REMOVAL_MS,
                urgent_removal_ms: c::VOTER_URGENT_REMOVAL_MS,
            };
            if let Some(roll) = next_membership(&process.raft, now, &others, TOLERANCE, patience) {
                process.raft.propose_membership(&roll);
            }
            // What is committed is applied before any duty looks at it.
            let behind = process.state.index < process.raft.commit_index();
            if behind || !process.raft.holds_lease(now) || process.state.configuration.is_none() {
                continue;
            }
            if now >= process.next_poll {
                process.next_poll = now + c::LIST_INTERVAL_MS;
                let gone: Vec<String> = process
                    .state
                    .workers
                    .keys()
                    .filter(|id| !listed.iter().any(|w| w.id == **id))
                    .cloned()
                    .collect();
                let known = |w: &Worker| {
                    process
                        .state
                        .workers
                        .get(&w.id)
                        .is_some_and(|k| k.draining == w.draining)
                };
                let put: Vec<Worker> = listed.iter().filter(|w| !known(w)).cloned().collect();
                if !put.is_empty() || !gone.is_empty() {
                    let change = ChangeKind::Workers(WorkersChange {
                        put,
                        removed: gone,
                        ..Default::default()
                    });
                    process.raft.propose(Change::encode(change));
                }
            }
            if process.ownership_since != Some(process.raft.leader_since()) {
                process.ownership_since = Some(process.raft.leader_since());
                process.ownership.begin(now, &process.state);
            }
            // A change of keys is logged when it is applied; one at a time.
            let pending = process.raft.last_index() > process.state.index;
            if !pending {
                process.ownership.on_logged();
            }
            for act in process.ownership.tick(now, &process.state) {
                match act {
                    Action::Log(put) => {
                        process
                            .raft
                            .propose(Change::encode(ChangeKind::KeyLeases(KeyLeaseChange { put })));
                    }
                    Action::Grant(call) => {
                        let takes = 20 + self.rng.gen_range(0..=self.lag_ms);
                        let late = takes + 20 > c::GRANT_TIMEOUT_MS;
                        if late {
                            let unclear = InFlight::Granted {
                                leader: name.clone(),
                                process: process.started,
                                call: call.clone(),
                                end: GrantResult::Unknown,
                            };
                            in_flight.push((now + c::GRANT_TIMEOUT_MS, unclear));
                        }
                        let grant = InFlight::Grant {
                            leader: name.clone(),
                            process: process.started,
                            call,
                            sent: now,
                            late,
                        };
                        in_flight.push((now + takes, grant));
                    }
                    Action::Release(call) => {
                        in_flight.push((
                            now + 20,
                            InFlight::Release {
                                leader: name.clone(),
                                process: process.started,
                                call,
                            },
                        ));
                    }
                }
            }
        }
        self.in_flight.extend(in_flight);
    }

    /// Gives an order to the node that leads; `false` if none does, or if the
    /// voters would not bear the losses yet.
    pub fn command(&mut self, name: &str, command: ConfigurationCommand) -> bool {
        let Some(leader) = self.leader_name() else {
            return false;
        };
        let Some(process) = self.nodes.get_mut(&leader).and_then(|n| n.process.as_mut()) else {
            return false;
        };
        if !tolerates_faults(process.raft.membership(), TOLERANCE) {
            return false;
        }
        let data = Change::encode(
            process
                .state
                .compact_for_log(ChangeKind::Replace(command.clone())),
        );
        match process.raft.propose(data) {
            Some(LogPosition { index, term }) => {
                process.commands.push(PendingCommand {
                    name: name.into(),
                    index,
                    term,
                    command,
                });
                true
            }
            None => false,
        }
    }

    /// Loses what is on its way between two nodes: their connections are reset.
    pub fn reset(&mut self, a: &str, b: &str) {
        let (x, y) = (
            self.nodes.get(a).map_or(0, Node::id),
            self.nodes.get(b).map_or(0, Node::id),
        );
        self.in_flight.retain(|(_, f)| match f {
            InFlight::Raft { from, to, .. } => !(from == a && *to == y || from == b && *to == x),
            _ => true,
        });
    }

    /// What must hold at every moment.
    pub fn check(&mut self) -> Result<(), String> {
        let now = self.now;
        let leases = self
            .nodes
            .values()
            .filter(|n| n.process.as_ref().is_some_and(|l| l.raft.holds_lease(now)))
            .count();
        if leases > 1 {
            return Err(format!("{leases} nodes hold the lease at {now}"));
        }
        for node in self.nodes.values() {
            let Some(process) = &node.process else { continue };
            if process.raft.is_leader() {
                let first = *self
                    .leaders
                    .entry(process.raft.term())
                    .or_insert(process.raft.id());
                if first != process.raft.id() {
                    return Err(format!("two leaders in term {} at {now}", process.raft.term()));
                }
            }
            let applied = self
                .applied
                .entry((node.name.clone(), process.started))
                .or_default();
            if process.state.index < *applied {
                return Err(format!("{} went back at {now}", node.name));
            }
            if process.state.index > *applied {
                *applied = process.state.index;
                let digest = anti_entropy::digests(&process.state).ranges;
                let known = self
                    .digests
                    .entry(process.state.index)
                    .or_insert_with(|| digest.clone());
                if *known != digest {
                    return Err(format!(
                        "copies differ at index {} ({})",
                        process.state.index, node.name
                    ));
                }
            }
        }
        let mut held: Vec<(u32, u32, &str)> = Vec::new();
        for w in self.workers.values() {
            held.extend(w.holds(now).map(|(a, b)| (a, b, w.listed.id.as_str())));
        }
        held.sort_unstable();
        for pair in held.windows(2) {
            let clash = pair[0].1 >= pair[1].0 && pair[0].2 != pair[1].2;
            if clash {
                return Err(format!(
                    "{} and {} hold the same keys at {now}",
                    pair[0].2, pair[1].2
                ));
            }
        }
        Ok(())
    }
}

fn voter_of(node: &Node) -> Voter {
    Voter {
        id: node.id(),
        address: node.address.clone(),
        zone: format!("zone-{}", node.name),
        region: node.region.clone(),
    }
}
