//! The simulated cluster: nodes, links, the platform and workers.

mod duties;
mod invariants;
mod network;

use crate::disk::Disk;
use crate::node::{Node, PendingCommand, SettledCommand, StepResult};
use crate::worker::SimulatedWorker;
use config::constants as c;
use control_state::Outcome;
pub use invariants::InvariantViolation;
use network::InFlight;
use protocol::{Change, ChangeKind, ConfigurationCommand};
use raft::{tolerates_faults, FaultTolerance, Voter};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time for which a caller sends a command without a base version again, ms.
pub const ACKNOWLEDGE_MS: u64 = 6000;
/// Losses that the system tolerates.
pub const TOLERANCE: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 1,
    regions: 1,
};
/// Length of one simulation step, ms.
pub const STEP_MS: u64 = 10;

/// The simulated system.
pub struct Cluster {
    /// Simulated time, ms.
    pub now: u64,
    /// Machines by name.
    pub nodes: BTreeMap<String, Node>,
    /// Workers by name.
    pub workers: BTreeMap<String, SimulatedWorker>,
    /// Messages in flight, with their arrival times, ms.
    in_flight: Vec<(u64, InFlight)>,
    /// Links that carry no messages, as pairs of sender and receiver.
    pub blocked_links: BTreeSet<(String, String)>,
    rng: SmallRng,
    next_id: u64,
    /// Outcomes of commands, by name.
    pub answers: BTreeMap<String, Option<Outcome>>,
    /// The newest version acknowledged.
    pub acked_version: u64,
    /// The last applied index of each process, by node and start time.
    applied: BTreeMap<(String, u64), u64>,
    /// Digests of the control state at each index.
    digests: BTreeMap<u64, Vec<u64>>,
    /// Leader identities by term.
    leaders: BTreeMap<u64, u64>,
    /// Bytes of Raft messages that each node has sent since `measured_since`.
    sent: BTreeMap<String, usize>,
    measured_since: u64,
    /// Largest additional latency of a call to a worker, ms.
    pub lag_ms: u64,
    /// Bandwidth of a machine's link in each direction, bytes per second; links of machines that
    /// are not listed are unlimited.
    pub bandwidth: BTreeMap<String, u64>,
    /// Time at which a limited link will have transmitted its queue, in microseconds, by machine
    /// and whether the direction is outgoing.
    link_free_at: BTreeMap<(String, bool), u64>,
    /// Nodes that are frozen: messages to them wait.
    pub frozen: BTreeSet<String>,
    /// Whether an invariant violation panics; otherwise it is added to `violations`.
    pub strict: bool,
    /// Invariant violations found so far.
    pub violations: Vec<String>,
    /// What each node did in the last step.
    pub step_results: Vec<(String, StepResult)>,
}

impl Cluster {
    /// Creates a cluster without nodes. `seed` determines latencies and which writes survive a
    /// power loss.
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
            step_results: Vec::new(),
        }
    }

    /// Restarts the count of sent bytes.
    pub fn measure(&mut self) {
        self.sent.clear();
        self.measured_since = self.now;
    }

    /// Returns the highest send rate of a node with a disk, or of one without, in bytes per second.
    pub fn max_send_rate(&self, has_disk: bool) -> u64 {
        let is_of_kind = |name: &String| self.nodes.get(name).is_some_and(|n| n.disk.is_some() == has_disk);
        let max_bytes = self
            .sent
            .iter()
            .filter(|(name, _)| is_of_kind(name))
            .map(|(_, b)| *b)
            .max();
        max_bytes.unwrap_or(0) as u64 * 1000 / (self.now - self.measured_since).max(1)
    }

    /// Adds a machine and starts its process.
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

    /// Starts the process of a machine.
    pub fn start(&mut self, name: &str) {
        self.next_id += 1;
        let (now, id, acked) = (self.now, self.next_id, self.acked_version);
        if let Some(node) = self.nodes.get_mut(name) {
            node.start(now, id, acked);
        }
    }

    /// Ends the process of a machine, by a kill or by a power loss.
    pub fn end(&mut self, name: &str, power_lost: bool) {
        let keep = self.rng.gen_range(0..3);
        if let Some(node) = self.nodes.get_mut(name) {
            node.process = None;
            if let Some(disk) = &mut node.disk {
                disk.end(power_lost, keep);
            }
        }
    }

    /// Ends the process of a machine and replaces its disk by an empty one.
    pub fn wipe(&mut self, name: &str) {
        self.end(name, true);
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk = Some(Disk::default());
            node.is_new_system = false;
        }
    }

    /// Bootstraps the system with this node as the only voter.
    pub fn begin(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            let voter = voter_of(node);
            if let (true, Some(process)) = (node.is_new_system, &mut node.process) {
                process.raft.bootstrap(voter);
            }
        }
    }

    /// Returns the node that holds the lease.
    pub fn leader(&self) -> Option<&Node> {
        self.nodes
            .values()
            .find(|n| n.process.as_ref().is_some_and(|l| l.raft.holds_lease(self.now)))
    }

    /// Returns the name of the node that holds the lease.
    pub fn leader_name(&self) -> Option<String> {
        self.leader().map(|n| n.name.clone())
    }

    /// Advances the simulated time by `ms`.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.tick();
        }
    }

    /// Advances the simulation by one step.
    pub fn tick(&mut self) {
        self.now += STEP_MS;
        self.step_results.clear();
        self.deliver();
        self.select_upstreams();
        self.perform_leader_duties();
        let is_not_frozen = |n: &&String| !self.frozen.contains(*n);
        let names: Vec<String> = self.nodes.keys().filter(is_not_frozen).cloned().collect();
        for name in names {
            self.step(&name);
        }
        if let Err(violation) = self.check() {
            self.fail(violation.to_string());
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
        for settled in std::mem::take(&mut step_result.settled) {
            self.settle(settled);
        }
        if let Some(what) = step_result.violation.take() {
            self.fail(what);
        }
        self.step_results.push((name.to_string(), step_result));
    }

    fn settle(&mut self, settled: SettledCommand) {
        if matches!(settled.outcome, Some(Outcome::Applied | Outcome::AlreadyApplied)) {
            if let Ok(config) = config::Configuration::parse(&settled.command.body) {
                self.acked_version = self.acked_version.max(config.version);
            }
        }
        self.answers.insert(settled.name, settled.outcome);
    }

    /// Proposes a command on the leader. Returns `false` if there is no leader, if the voters do
    /// not yet tolerate the losses of `TOLERANCE`, or if the leader does not accept it.
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
            Some(position) => {
                process.commands.push(PendingCommand {
                    name: name.into(),
                    position,
                    command,
                });
                true
            }
            None => false,
        }
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
