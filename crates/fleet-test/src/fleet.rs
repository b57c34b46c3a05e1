//! A fleet: nodes, the simulated platform, and faults.

use crate::guard::Guard;
use crate::net::Net;
use crate::node::{Node, State};
use crate::operator::ControlAddress;
use crate::platform::Platform;
use crate::settings::{self, Machine};
use crate::ScenarioError;
use config::Settings;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Seed machines named in the settings (deployment page).
const SEED_MACHINES: u8 = 3;
/// Machines that may be added to a fleet.
const SPARE_MACHINES: u8 = 8;
/// Polling interval while waiting for a condition, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Initial machines of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub with_disk: u8,
    pub without_disk: u8,
    /// Number of regions whose loss is to be tolerated, in the settings.
    pub tolerated_regions: u8,
    /// Number of zones over which the machines are spread; `None` gives each a zone of its own.
    pub zones: Option<u8>,
}

/// A fleet of real processes on loopback addresses.
pub struct Fleet {
    // Fields are dropped in this order: nodes end before their folder is removed.
    pub nodes: Vec<Node>,
    pub platform: Platform,
    net: Net,
    program: PathBuf,
    tolerated_regions: u8,
    zones: Option<u8>,
    guard: Guard,
}

impl Fleet {
    /// Starts all machines at once, as at the first start of the whole system.
    pub fn start(program: &Path, plan: Plan) -> Result<Fleet, ScenarioError> {
        let program = program
            .canonicalize()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let count = plan.with_disk + plan.without_disk;
        let net = Net::find((count + SPARE_MACHINES).min(settings::MAX_MACHINES))?;
        let guard = Guard::start()?;
        let nodes = (1..=count).map(|n| Node::new(guard.folder(), n, n <= plan.with_disk));
        let mut fleet = Fleet {
            nodes: nodes.collect(),
            platform: Platform::start(net.platform())?,
            net,
            program: program.clone(),
            tolerated_regions: plan.tolerated_regions,
            zones: plan.zones,
            guard,
        };
        for number in 1..=count {
            fleet.launch(number, true, &program)?;
        }
        Ok(fleet)
    }

    /// Returns the folder of the fleet, with settings, logs and disks.
    pub fn folder(&self) -> &Path {
        self.guard.folder()
    }

    /// Returns the process group of all nodes.
    pub fn group(&self) -> i32 {
        self.guard.group()
    }

    /// Keeps the folder with the logs when the fleet ends.
    pub fn keep(&mut self) {
        self.guard.keep();
    }

    /// Returns the node with this number.
    pub fn node(&mut self, number: u8) -> Result<&mut Node, ScenarioError> {
        let node = self.nodes.iter_mut().find(|n| n.number == number);
        node.ok_or(format!("there is no node {number}").into())
    }

    fn launch(&mut self, number: u8, is_initial_start: bool, program: &Path) -> Result<(), ScenarioError> {
        let (net, group) = (self.net, self.guard.group());
        let tolerated_regions = self.tolerated_regions;
        let zone = self.zones.map_or(number, |zones| (number - 1) % zones + 1);
        let seeds: Vec<SocketAddrV4> = (1..=SEED_MACHINES).map(|n| net.control(n)).collect();
        let node = self.node(number)?;
        if node.is_removed {
            return Err(format!("{} was removed permanently", node.name()).into());
        }
        let disk = node.disk();
        let text = settings::render(
            &net,
            &seeds,
            &Machine {
                number,
                is_initial_start,
                disk: disk.as_deref(),
                tolerated_regions,
                zone,
            },
        );
        Settings::parse(&text).map_err(|e| e.to_string())?;
        node.start(program, &text, group)
    }

    /// Starts a node again with the contents of its disk.
    pub fn restart(&mut self, number: u8) -> Result<(), ScenarioError> {
        let program = self.program.clone();
        self.restart_with(number, &program)
    }

    /// Starts a node again with another program, as an upgrade does.
    pub fn restart_with(&mut self, number: u8, program: &Path) -> Result<(), ScenarioError> {
        self.launch(number, false, program)
    }

    /// Returns the program that nodes are started with.
    pub fn program(&self) -> &Path {
        &self.program
    }

    /// Adds a machine with an empty disk at a new address, and returns its number.
    pub fn add(&mut self) -> Result<u8, ScenarioError> {
        let number = self.nodes.iter().map(|n| n.number).max().unwrap_or(0) + 1;
        self.add_as(number)?;
        Ok(number)
    }

    /// Adds a machine with an empty disk at the address of this number, which must be free.
    pub fn add_as(&mut self, number: u8) -> Result<(), ScenarioError> {
        if number >= settings::MAX_MACHINES {
            return Err("no address is left for another machine".into());
        }
        self.nodes.push(Node::new(self.guard.folder(), number, true));
        self.restart(number)
    }

    /// Returns the control address of a node.
    pub fn control_address(&self, number: u8) -> ControlAddress {
        (number, self.net.control(number))
    }

    /// Returns the control addresses of all machines in use, running or not.
    pub fn control_addresses(&self) -> Vec<ControlAddress> {
        let in_use = self.nodes.iter().filter(|n| !n.is_removed);
        in_use.map(|n| self.control_address(n.number)).collect()
    }

    /// Returns the control addresses of the nodes whose processes run.
    pub fn running_control_addresses(&self) -> Vec<ControlAddress> {
        let running = self.nodes.iter().filter(|n| n.state() == State::Up);
        running.map(|n| self.control_address(n.number)).collect()
    }

    /// Returns the addresses of the fleet.
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Returns the running node that leads in the newest term.
    pub fn leader(&self) -> Option<u8> {
        let running = self.nodes.iter().filter(|n| n.state() == State::Up);
        running
            .filter_map(|n| Some((n.leading_term()?, n.number)))
            .max()
            .map(|(_, number)| number)
    }

    /// Waits for a leader among the running nodes.
    pub async fn wait_for_leader(&self, timeout: Duration) -> Result<u8, ScenarioError> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(number) = self.leader() {
                return Ok(number);
            }
            if Instant::now() > deadline {
                return Err(format!("no leader within {} s", timeout.as_secs_f32()).into());
            }
            actix_rt::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Waits until a process that was asked to shut down has ended, and returns its exit status.
    pub async fn wait_for_exit(&mut self, number: u8, timeout: Duration) -> Result<String, ScenarioError> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.node(number)?.exit_status() {
                return Ok(status);
            }
            if Instant::now() > deadline {
                return Err(format!(
                    "node {number} has not ended {} s after SIGTERM",
                    timeout.as_secs()
                )
                .into());
            }
            actix_rt::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Describes the processes that have ended although this process did not end them.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let ended = self.nodes.iter_mut().filter_map(|n| {
            let status = n.exit_status()?;
            let log = n.log();
            let last_line = log.lines().last().unwrap_or_default();
            Some(format!(
                "{} ended unexpectedly: {status}; last log line: {last_line}",
                n.name()
            ))
        });
        ended.collect()
    }

    /// Ends all processes. Dropping the fleet does the same.
    pub async fn stop(mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        self.platform.stop().await;
    }
}
