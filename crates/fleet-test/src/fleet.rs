//! The fleet: nodes, the platform's simulator, and faults.

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

/// Seeds named in the settings (deployment page), machines.
const SEEDS: u8 = 3;
/// Machines that may be added to a fleet, machines.
const SPARE_MACHINES: u8 = 8;
/// Pause between two looks at what is waited for, ms.
const LOOK_MS: u64 = 20;

/// Which machines a fleet has at first.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub with_disk: u8,
    pub without_disk: u8,
}

/// A fleet of real processes on loopback addresses.
pub struct Fleet {
    // Fields are dropped in this order: nodes end before their folder goes.
    pub nodes: Vec<Node>,
    pub platform: Platform,
    net: Net,
    program: PathBuf,
    guard: Guard,
}

impl Fleet {
    /// Starts all machines at once, as at the first start of the whole system.
    pub fn start(program: &Path, plan: Plan) -> Result<Fleet, ScenarioError> {
        let program = program
            .canonicalize()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let count = plan.with_disk + plan.without_disk;
        let net = Net::find((count + SPARE_MACHINES).min(settings::MACHINES))?;
        let guard = Guard::set()?;
        let nodes = (1..=count).map(|n| Node::new(guard.folder(), n, n <= plan.with_disk));
        let mut fleet = Fleet {
            nodes: nodes.collect(),
            platform: Platform::start(net.platform())?,
            net,
            program: program.clone(),
            guard,
        };
        for number in 1..=count {
            fleet.launch(number, true, &program)?;
        }
        Ok(fleet)
    }

    /// Folder of the fleet: settings, logs and disks.
    pub fn folder(&self) -> &Path {
        self.guard.folder()
    }

    /// The process group of all nodes.
    pub fn group(&self) -> i32 {
        self.guard.group()
    }

    /// Leaves the folder with the logs where it is.
    pub fn keep(&mut self) {
        self.guard.keep();
    }

    /// The node of a number.
    pub fn node(&mut self, number: u8) -> Result<&mut Node, ScenarioError> {
        let node = self.nodes.iter_mut().find(|n| n.number == number);
        node.ok_or(format!("there is no node {number}").into())
    }

    fn launch(&mut self, number: u8, initial: bool, program: &Path) -> Result<(), ScenarioError> {
        let (net, group) = (self.net, self.guard.group());
        let seeds: Vec<SocketAddrV4> = (1..=SEEDS).map(|n| net.control(n)).collect();
        let node = self.node(number)?;
        if node.removed {
            return Err(format!("{} is gone for good", node.name()).into());
        }
        let disk = node.disk();
        let text = settings::write(
            &net,
            &seeds,
            &Machine {
                number,
                initial,
                disk: disk.as_deref(),
            },
        );
        Settings::parse(&text).map_err(|e| e.to_string())?;
        node.start(program, &text, group)
    }

    /// Starts a node again, with what its disk holds.
    pub fn restart(&mut self, number: u8) -> Result<(), ScenarioError> {
        let program = self.program.clone();
        self.restart_with(number, &program)
    }

    /// Starts a node again with another program, as an upgrade does.
    pub fn restart_with(&mut self, number: u8, program: &Path) -> Result<(), ScenarioError> {
        self.launch(number, false, program)
    }

    /// The program that nodes are started with.
    pub fn program(&self) -> &Path {
        &self.program
    }

    /// Adds a machine with an empty disk, at a new address; its number.
    pub fn add(&mut self) -> Result<u8, ScenarioError> {
        let number = self.nodes.iter().map(|n| n.number).max().unwrap_or(0) + 1;
        if number >= settings::MACHINES {
            return Err("no address is left for another machine".into());
        }
        self.nodes.push(Node::new(self.guard.folder(), number, true));
        self.restart(number)?;
        Ok(number)
    }

    /// Control address of a node.
    pub fn control_address(&self, number: u8) -> ControlAddress {
        (number, self.net.control(number))
    }

    /// Control addresses of all machines in use, running or not.
    pub fn control_addresses(&self) -> Vec<ControlAddress> {
        let used = self.nodes.iter().filter(|n| !n.removed);
        used.map(|n| self.control_address(n.number)).collect()
    }

    /// Control addresses of the nodes whose processes run.
    pub fn running(&self) -> Vec<ControlAddress> {
        let up = self.nodes.iter().filter(|n| n.state() == State::Up);
        up.map(|n| self.control_address(n.number)).collect()
    }

    /// Addresses of the fleet.
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// The node that leads in the newest term, of those whose processes run.
    pub fn leader(&self) -> Option<u8> {
        let up = self.nodes.iter().filter(|n| n.state() == State::Up);
        up.filter_map(|n| Some((n.leads_in()?, n.number)))
            .max()
            .map(|(_, number)| number)
    }

    /// Waits for a leader among the running nodes.
    pub async fn wait_for_leader(&self, within: Duration) -> Result<u8, ScenarioError> {
        let until = Instant::now() + within;
        loop {
            if let Some(number) = self.leader() {
                return Ok(number);
            }
            if Instant::now() > until {
                return Err(format!("no leader within {} s", within.as_secs_f32()).into());
            }
            actix_rt::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Waits until a process that was asked to end has ended; how it did.
    pub async fn wait_for_end(&mut self, number: u8, within: Duration) -> Result<String, ScenarioError> {
        let until = Instant::now() + within;
        loop {
            if let Some(how) = self.node(number)?.ended() {
                return Ok(how);
            }
            if Instant::now() > until {
                return Err(
                    format!("node {number} has not ended {} s after SIGTERM", within.as_secs()).into(),
                );
            }
            actix_rt::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Processes that have ended though nobody ended them.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let ended = self.nodes.iter_mut().filter_map(|n| {
            let how = n.ended()?;
            let log = n.log();
            let last = log.lines().last().unwrap_or_default();
            Some(format!(
                "{} ended by itself: {how}; its last line: {last}",
                n.name()
            ))
        });
        ended.collect()
    }

    /// Ends all processes; also done when the fleet is dropped.
    pub async fn stop(mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        self.platform.stop().await;
    }
}
