//! Reads and runs scenarios: one line, one step. `#` begins a remark.
//!
//! ```text
//! voters a/r1 b/r1 c/r2      machines with a disk, and their regions
//! learners x/r1              machines without
//! workers w1 w2              workers of the divided service
//! run 2000                   lets time pass, in ms
//! command one 0 3            sends version 3 on top of 0; must be taken
//! try-command two 0 4        the same, but nobody may be able to take it
//! commands 3 40              one version after the other, from 3 to 40
//! kill a | lose-power a | lose-disk a | start a | join g/r2     
//!                            ("leader" names who leads, "last-leader" who did)
//! shut-down a                                          told to end, until `kill a`
//! cut a b | cut-one-way a b | isolate a | heal             (one way: a does not reach b)
//! disk-slow a 500 | disk-stuck a | disk-ok a
//! drain-worker w1 | deregister w1 | crash-worker w1 | mute-worker w1 | worker w9
//! expect leader | no-leader | answer NAME OUTCOME | version N [NODE...] | current NODE...
//! many-learners 291          machines without a disk, over regions r1 to r3
//! region lose-power r2 | region start all | rolling-restart 30   many machines; one after the other
//! measure                    counts the bytes of Raft from now on
//! expect all-current | voter-bytes N | node-bytes N        at the most, a second
//! call-lag 1200              calls to workers take up to so much longer
//! configuration-routes 300 [all]  configurations have so many routes from now on; each
//!                            changes one of them, or all
//! bandwidth a 250000         bytes a second that a's link carries, each way
//! await 4000 version 8 c     like expect, which must hold before so many ms are over
//! expect covered             every key is held by a worker that is up and stays
//! expect can-shut-down a | must-stay a                 a was told to end: whether it may
//! expect voters N | not-voter ADDRESS | holds w1 yes|no | another-leader | draining w1
//! ```

mod expectations;

use crate::cluster::Cluster;
use crate::configuration::large_configuration;
use crate::worker::SimulatedWorker;
use protocol::{ConfigurationCommand, Worker};

/// A scenario under way.
pub struct ScenarioRunner {
    /// The system that it runs on.
    pub cluster: Cluster,
    /// Routes of the configurations that are sent.
    routes: u64,
    /// Whether each changes all of its routes.
    all: bool,
    last_leader: String,
}

/// Runs every scenario of a folder of this crate under a few seeds.
pub fn run_folder(folder: &str, least: usize, seeds: u64, run_scenario: impl Fn(&str, u64)) {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder is there")
        .flatten()
        .map(|e| e.path())
        .collect();
    files.sort();
    assert!(files.len() >= least, "scenarios are missing");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("readable");
        for seed in 1..=seeds {
            println!("{} seed {seed}", file.display());
            run_scenario(&text, seed);
        }
    }
}

/// Runs a scenario; a step that fails ends the test with its line.
pub fn run_scenario(text: &str, seed: u64) {
    let mut runner = ScenarioRunner {
        cluster: Cluster::new(seed),
        routes: 0,
        all: false,
        last_leader: String::new(),
    };
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let done = runner.step(&words);
        assert!(
            done.is_ok(),
            "line {} `{line}` at {} ms: {}",
            number + 1,
            runner.cluster.now,
            done.err().map(|e| e.to_string()).unwrap_or_default()
        );
    }
}

fn worker(id: &str) -> SimulatedWorker {
    SimulatedWorker::new(Worker {
        id: id.into(),
        service: "s".into(),
        address: format!("at-{id}"),
        zone: "z".into(),
        ..Default::default()
    })
}

/// Why a step of a scenario fails.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct StepError(String);

impl From<String> for StepError {
    fn from(what: String) -> StepError {
        StepError(what)
    }
}

impl From<&str> for StepError {
    fn from(what: &str) -> StepError {
        StepError(what.into())
    }
}

type Step = Result<(), StepError>;

fn number(word: Option<&&str>) -> Result<u64, StepError> {
    word.and_then(|w| w.parse().ok())
        .ok_or_else(|| "a number is missing".into())
}

impl ScenarioRunner {
    fn step(&mut self, words: &[&str]) -> Step {
        let arguments = &words[1..];
        match words[0] {
            "voters" | "learners" | "many-learners" | "join" | "workers" | "worker" => {
                self.add_members(words[0], arguments)
            }
            "command" | "try-command" | "commands" | "configuration-routes" => {
                self.send_commands(words[0], arguments)
            }
            "kill" | "lose-power" | "lose-disk" | "start" | "disk-stuck" | "disk-ok" | "disk-slow"
            | "isolate" => {
                let name = self.named(arguments[0])?;
                self.machine(words[0], &name, arguments)
            }
            "region" | "rolling-restart" | "shut-down" => self.many_machines(words[0], arguments),
            "cut" | "cut-one-way" | "heal" | "bandwidth" | "call-lag" => self.links(words[0], arguments),
            "drain-worker" | "deregister" | "crash-worker" | "mute-worker" => {
                self.worker(words[0], arguments[0])
            }
            "run" => {
                self.cluster.run(number(arguments.first())?);
                Ok(())
            }
            "measure" => {
                self.cluster.measure();
                Ok(())
            }
            "await" => self.await_expectation(arguments),
            "expect" => self.expect(arguments),
            other => Err(format!("no such step: {other}").into()),
        }
    }

    fn add_members(&mut self, what: &str, arguments: &[&str]) -> Step {
        match what {
            "voters" | "learners" => {
                for (i, place) in arguments.iter().enumerate() {
                    let (name, region) = place.split_once('/').ok_or("name/region wanted")?;
                    self.cluster.add(name, region, what == "voters", true);
                    if i == 0 && what == "voters" {
                        self.cluster.begin(name);
                    }
                }
            }
            "many-learners" => {
                for i in 0..number(arguments.first())? {
                    let region = format!("r{}", i % 3 + 1);
                    self.cluster.add(&format!("o{i}"), &region, false, true);
                }
            }
            "join" => {
                let (name, region) = arguments[0].split_once('/').ok_or("name/region wanted")?;
                self.cluster.add(name, region, true, false);
            }
            _ => {
                for id in arguments {
                    self.cluster.workers.insert(id.to_string(), worker(id));
                }
            }
        }
        Ok(())
    }

    fn send_commands(&mut self, what: &str, arguments: &[&str]) -> Step {
        match what {
            "configuration-routes" => {
                self.routes = number(arguments.first())?;
                self.all = arguments.get(1) == Some(&"all");
            }
            "commands" => {
                let (first, last) = (number(arguments.first())?, number(arguments.get(1))?);
                for base in first..last {
                    let next = base + 1;
                    self.send_command(&format!("to-{next}"), base, next)?;
                    self.cluster.run(100);
                }
            }
            _ => {
                let (base, version) = (number(arguments.get(1))?, number(arguments.get(2))?);
                let sent = self.send_command(arguments[0], base, version);
                return if what == "command" { sent } else { Ok(()) };
            }
        }
        Ok(())
    }

    /// Sends a version on top of another to whoever leads.
    fn send_command(&mut self, name: &str, base: u64, version: u64) -> Step {
        let command = ConfigurationCommand {
            base,
            body: large_configuration(version, self.routes, self.all),
            ..Default::default()
        };
        if self.cluster.command(name, command) {
            Ok(())
        } else {
            Err("nobody takes it".into())
        }
    }

    fn many_machines(&mut self, what: &str, arguments: &[&str]) -> Step {
        match what {
            "region" => {
                let (step, region) = (arguments[0], arguments[1]);
                let nodes = self.cluster.nodes.values();
                let chosen = nodes.filter(|n| region == "all" || n.region == region);
                let names: Vec<String> = chosen.map(|n| n.name.clone()).collect();
                for name in names {
                    self.machine(step, &name, arguments)?;
                }
            }
            "rolling-restart" => {
                for i in 0..number(arguments.first())? {
                    let name = format!("o{i}");
                    self.cluster.end(&name, false);
                    self.cluster.run(100);
                    self.cluster.start(&name);
                }
            }
            _ => {
                let name = self.named(arguments[0])?;
                let node = self.cluster.nodes.get_mut(&name);
                let process = node.and_then(|n| n.process.as_mut());
                process.ok_or("it is down")?.shutting_down = true;
            }
        }
        Ok(())
    }

    fn links(&mut self, what: &str, arguments: &[&str]) -> Step {
        match what {
            "cut" | "cut-one-way" => {
                let (a, b) = (self.named(arguments[0])?, self.named(arguments[1])?);
                self.cluster.blocked_links.insert((a.clone(), b.clone()));
                if what == "cut" {
                    self.cluster.blocked_links.insert((b, a));
                }
            }
            "heal" => self.cluster.blocked_links.clear(),
            "call-lag" => self.cluster.lag_ms = number(arguments.first())?,
            _ => {
                let (name, bandwidth) = (self.named(arguments[0])?, number(arguments.get(1))?);
                self.cluster.bandwidth.insert(name, bandwidth);
            }
        }
        Ok(())
    }

    /// Lets time pass until an expectation holds, or too much has.
    fn await_expectation(&mut self, arguments: &[&str]) -> Step {
        let end = self.cluster.now + number(arguments.first())?;
        while let Err(e) = self.expect(&arguments[1..]) {
            if self.cluster.now >= end {
                return Err(e);
            }
            self.cluster.run(10);
        }
        Ok(())
    }

    /// A machine's name; `leader` is whoever leads now, `last-leader` who did last.
    fn named(&mut self, word: &str) -> Result<String, StepError> {
        match word {
            "leader" => {
                self.last_leader = self.cluster.leader_name().ok_or("nobody leads")?;
                Ok(self.last_leader.clone())
            }
            "last-leader" => Ok(self.last_leader.clone()),
            name if self.cluster.nodes.contains_key(name) => Ok(name.to_string()),
            name => Err(format!("no machine {name}").into()),
        }
    }

    fn machine(&mut self, what: &str, name: &str, rest: &[&str]) -> Step {
        match what {
            "kill" => self.cluster.end(name, false),
            "lose-power" => self.cluster.end(name, true),
            "lose-disk" => self.cluster.wipe(name),
            "start" => self.cluster.start(name),
            "isolate" => {
                let others: Vec<String> = self
                    .cluster
                    .nodes
                    .keys()
                    .filter(|n| *n != name)
                    .cloned()
                    .collect();
                for o in others {
                    self.cluster.blocked_links.insert((name.to_string(), o.clone()));
                    self.cluster.blocked_links.insert((o, name.to_string()));
                }
            }
            _ => {
                let slow = if what == "disk-slow" {
                    number(rest.get(1))?
                } else {
                    0
                };
                let disk = self
                    .cluster
                    .nodes
                    .get_mut(name)
                    .and_then(|n| n.disk.as_mut())
                    .ok_or("it has no disk")?;
                disk.stuck = what == "disk-stuck";
                disk.slow_ms = slow;
            }
        }
        Ok(())
    }

    fn worker(&mut self, what: &str, id: &str) -> Step {
        let w = self.cluster.workers.get_mut(id).ok_or("no such worker")?;
        match what {
            "drain-worker" => w.listed.draining = true,
            "crash-worker" => w.up = false,
            "mute-worker" => w.mute = true,
            _ => {
                self.cluster.workers.remove(id);
            }
        }
        Ok(())
    }
}
