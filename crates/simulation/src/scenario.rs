//! Reads and runs scenarios. Each line is one step. `#` starts a comment.
//!
//! ```text
//! voters a/r1 b/r1 c/r2      machines with a disk, each with its region
//! learners x/r1              machines without a disk
//! workers w1 w2              workers of the partitioned service
//! run 2000                   advances the time, in ms
//! command one 0 3            sends version 3 based on 0; the leader must accept it
//! try-command two 0 4        like command, but may be rejected
//! commands 3 40              sends the versions after 3 up to 40, one by one
//! kill a | lose-power a | lose-disk a | start a | join g/r2     
//!                            ("leader" is the current leader, "last-leader" the last one named so)
//! shut-down a                                          requests a shutdown; `kill a` ends it
//! cut a b | cut-one-way a b | isolate a | heal             (one way: a cannot reach b)
//! disk-slow a 500 | disk-stuck a | disk-ok a
//! drain-worker w1 | deregister w1 | crash-worker w1 | mute-worker w1 | worker w9
//! expect leader | no-leader | answer NAME OUTCOME | version N [NODE...] | current NODE...
//! many-learners 291          machines without a disk, over regions r1 to r3
//! region lose-power r2 | region start all | rolling-restart 30   many machines; restarts one by one
//! measure                    restarts the count of Raft bytes
//! expect all-current | voter-bytes N | node-bytes N        upper bounds per second
//! call-lag 1200              calls to workers take up to this much longer, ms
//! configuration-routes 300 [all]  sets the number of routes of later configurations; each
//!                            changes one route, or all
//! bandwidth a 250000         bandwidth of a's link in each direction, bytes per second
//! await 4000 version 8 c     like expect, but must hold within this time, ms
//! expect covered             every key is held by a running worker that is not draining
//! expect can-shut-down a | must-stay a                 whether a may end after a shutdown request
//! expect voters N | not-voter ADDRESS | holds w1 yes|no | another-leader | draining w1
//! ```

mod expectations;

use crate::cluster::Cluster;
use crate::configuration::large_configuration;
use crate::worker::SimulatedWorker;
use protocol::{ConfigurationCommand, Worker};

/// A running scenario.
pub struct ScenarioRunner {
    /// The cluster that the scenario runs on.
    pub cluster: Cluster,
    /// Number of routes of the configurations that are sent.
    routes: u64,
    /// Whether each configuration changes all of its routes.
    changes_all_routes: bool,
    last_leader: String,
}

/// Runs every scenario in a folder of this crate with the seeds 1 to `seeds`. Panics if the folder
/// has fewer than `min_scenarios` files.
pub fn run_folder(folder: &str, min_scenarios: usize, seeds: u64, run_scenario: impl Fn(&str, u64)) {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the scenario folder exists")
        .flatten()
        .map(|e| e.path())
        .collect();
    files.sort();
    assert!(files.len() >= min_scenarios, "scenarios are missing");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the scenario file is readable");
        for seed in 1..=seeds {
            println!("{} seed {seed}", file.display());
            run_scenario(&text, seed);
        }
    }
}

/// Runs a scenario. Panics with the line of the first step that fails.
pub fn run_scenario(text: &str, seed: u64) {
    let mut runner = ScenarioRunner {
        cluster: Cluster::new(seed),
        routes: 0,
        changes_all_routes: false,
        last_leader: String::new(),
    };
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let result = runner.step(&words);
        assert!(
            result.is_ok(),
            "line {} `{line}` at {} ms: {}",
            number + 1,
            runner.cluster.now,
            result.err().map(|e| e.to_string()).unwrap_or_default()
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

/// The reason why a step of a scenario failed.
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

fn parse_number(word: Option<&&str>) -> Result<u64, StepError> {
    word.and_then(|w| w.parse().ok())
        .ok_or_else(|| "expected a number".into())
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
                let name = self.resolve_machine(arguments[0])?;
                self.change_machine(words[0], &name, arguments)
            }
            "region" | "rolling-restart" | "shut-down" => self.change_many_machines(words[0], arguments),
            "cut" | "cut-one-way" | "heal" | "bandwidth" | "call-lag" => {
                self.change_links(words[0], arguments)
            }
            "drain-worker" | "deregister" | "crash-worker" | "mute-worker" => {
                self.change_worker(words[0], arguments[0])
            }
            "run" => {
                self.cluster.run(parse_number(arguments.first())?);
                Ok(())
            }
            "measure" => {
                self.cluster.measure();
                Ok(())
            }
            "await" => self.await_expectation(arguments),
            "expect" => self.expect(arguments),
            other => Err(format!("unknown step: {other}").into()),
        }
    }

    fn add_members(&mut self, what: &str, arguments: &[&str]) -> Step {
        match what {
            "voters" | "learners" => {
                for (i, location) in arguments.iter().enumerate() {
                    let (name, region) = location.split_once('/').ok_or("expected name/region")?;
                    self.cluster.add(name, region, what == "voters", true);
                    if i == 0 && what == "voters" {
                        self.cluster.begin(name);
                    }
                }
            }
            "many-learners" => {
                for i in 0..parse_number(arguments.first())? {
                    let region = format!("r{}", i % 3 + 1);
                    self.cluster.add(&format!("o{i}"), &region, false, true);
                }
            }
            "join" => {
                let (name, region) = arguments[0].split_once('/').ok_or("expected name/region")?;
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
                self.routes = parse_number(arguments.first())?;
                self.changes_all_routes = arguments.get(1) == Some(&"all");
            }
            "commands" => {
                let (first, last) = (parse_number(arguments.first())?, parse_number(arguments.get(1))?);
                for base in first..last {
                    let next = base + 1;
                    self.send_command(&format!("to-{next}"), base, next)?;
                    self.cluster.run(100);
                }
            }
            _ => {
                let (base, version) = (parse_number(arguments.get(1))?, parse_number(arguments.get(2))?);
                let sent = self.send_command(arguments[0], base, version);
                return if what == "command" { sent } else { Ok(()) };
            }
        }
        Ok(())
    }

    /// Sends a version based on another one to the leader.
    fn send_command(&mut self, name: &str, base: u64, version: u64) -> Step {
        let command = ConfigurationCommand {
            base,
            body: large_configuration(version, self.routes, self.changes_all_routes),
            ..Default::default()
        };
        if self.cluster.command(name, command) {
            Ok(())
        } else {
            Err("no node accepts the command".into())
        }
    }

    fn change_many_machines(&mut self, what: &str, arguments: &[&str]) -> Step {
        match what {
            "region" => {
                let (step, region) = (arguments[0], arguments[1]);
                let nodes = self.cluster.nodes.values();
                let chosen = nodes.filter(|n| region == "all" || n.region == region);
                let names: Vec<String> = chosen.map(|n| n.name.clone()).collect();
                for name in names {
                    self.change_machine(step, &name, arguments)?;
                }
            }
            "rolling-restart" => {
                for i in 0..parse_number(arguments.first())? {
                    let name = format!("o{i}");
                    self.cluster.end(&name, false);
                    self.cluster.run(100);
                    self.cluster.start(&name);
                }
            }
            _ => {
                let name = self.resolve_machine(arguments[0])?;
                let node = self.cluster.nodes.get_mut(&name);
                let process = node.and_then(|n| n.process.as_mut());
                process.ok_or("the machine is down")?.shutting_down = true;
            }
        }
        Ok(())
    }

    fn change_links(&mut self, what: &str, arguments: &[&str]) -> Step {
        match what {
            "cut" | "cut-one-way" => {
                let (a, b) = (
                    self.resolve_machine(arguments[0])?,
                    self.resolve_machine(arguments[1])?,
                );
                self.cluster.blocked_links.insert((a.clone(), b.clone()));
                if what == "cut" {
                    self.cluster.blocked_links.insert((b, a));
                }
            }
            "heal" => self.cluster.blocked_links.clear(),
            "call-lag" => self.cluster.lag_ms = parse_number(arguments.first())?,
            _ => {
                let (name, bandwidth) = (
                    self.resolve_machine(arguments[0])?,
                    parse_number(arguments.get(1))?,
                );
                self.cluster.bandwidth.insert(name, bandwidth);
            }
        }
        Ok(())
    }

    /// Advances the time until an expectation holds. Fails if it does not hold in time.
    fn await_expectation(&mut self, arguments: &[&str]) -> Step {
        let end = self.cluster.now + parse_number(arguments.first())?;
        while let Err(e) = self.expect(&arguments[1..]) {
            if self.cluster.now >= end {
                return Err(e);
            }
            self.cluster.run(10);
        }
        Ok(())
    }

    /// Returns the name of a machine. `leader` stands for the current leader, `last-leader` for the
    /// last one that was named by `leader`.
    fn resolve_machine(&mut self, word: &str) -> Result<String, StepError> {
        match word {
            "leader" => {
                self.last_leader = self.cluster.leader_name().ok_or("there is no leader")?;
                Ok(self.last_leader.clone())
            }
            "last-leader" => Ok(self.last_leader.clone()),
            name if self.cluster.nodes.contains_key(name) => Ok(name.to_string()),
            name => Err(format!("unknown machine {name}").into()),
        }
    }

    fn change_machine(&mut self, what: &str, name: &str, arguments: &[&str]) -> Step {
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
                for other in others {
                    self.cluster
                        .blocked_links
                        .insert((name.to_string(), other.clone()));
                    self.cluster.blocked_links.insert((other, name.to_string()));
                }
            }
            _ => {
                let slow_ms = if what == "disk-slow" {
                    parse_number(arguments.get(1))?
                } else {
                    0
                };
                let disk = self
                    .cluster
                    .nodes
                    .get_mut(name)
                    .and_then(|n| n.disk.as_mut())
                    .ok_or("the machine has no disk")?;
                disk.stuck = what == "disk-stuck";
                disk.slow_ms = slow_ms;
            }
        }
        Ok(())
    }

    fn change_worker(&mut self, what: &str, id: &str) -> Step {
        let worker = self.cluster.workers.get_mut(id).ok_or("unknown worker")?;
        match what {
            "drain-worker" => worker.listed.draining = true,
            "crash-worker" => worker.up = false,
            "mute-worker" => worker.drops_answers = true,
            _ => {
                self.cluster.workers.remove(id);
            }
        }
        Ok(())
    }
}
