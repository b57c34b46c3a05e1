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
//! kill a | lose-power a | lose-disk a | start a | join g/r2     ("leader" names who leads, "last-leader" who did)
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

use crate::cluster::Cluster;
use crate::worker::SimulatedWorker;
use control_state::Outcome;
use protocol::{ConfigurationCommand, Worker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub struct ScenarioRunner {
    pub cluster: Cluster,
    /// Routes of the configurations that are ordered.
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
    let mut player = ScenarioRunner {
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
        let done = player.step(&words);
        assert!(
            done.is_ok(),
            "line {} `{line}` at {} ms: {}",
            number + 1,
            player.cluster.now,
            done.err().unwrap_or_default()
        );
    }
}

pub fn configuration(version: u64) -> Vec<u8> {
    format!(
        r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[],"Groups":[{{"Name":"s","Partitioned":true}}]}}"#
    )
    .into_bytes()
}

/// A configuration with so many routes of usual length, which differs from the one
/// before in one of them, or in all.
pub fn large_configuration(version: u64, routes: u64, all: bool) -> Vec<u8> {
    let route = |number: u64| {
        // The newest version that has changed this route.
        let ago = if all {
            0
        } else {
            (version + routes - number) % routes
        };
        let changed = version.saturating_sub(ago);
        let mut rng = SmallRng::seed_from_u64(number << 32 | changed);
        let mut word = || format!("{:08x}", rng.gen::<u32>());
        // One that changes all has little in common with the one before.
        let path: Vec<String> = (0..if all { 30 } else { 2 }).map(|_| word()).collect();
        format!(
            r#"{{"Host":"{}.{}.example.com","Rules":[{{"Name":"route-{}","RouteType":"idempotent","Target":"{}ms","Priority":2,"Condition":{{"PathPrefix":"/{}/"}},"Treatment":{{"Service":"s","Timeout":"4s","AttemptLimit":3,"HomeRegions":["r1","r2"]}}}}]}}"#,
            word(),
            word(),
            word(),
            100 + number % 9,
            path.join("/")
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let empty = String::from_utf8(configuration(version)).unwrap_or_default();
    let points = format!(r#""AccessPoints":[{}]"#, routes.join(","));
    empty.replace(r#""AccessPoints":[]"#, &points).into_bytes()
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

type Step = Result<(), String>;

fn number(word: Option<&&str>) -> Result<u64, String> {
    word.and_then(|w| w.parse().ok())
        .ok_or_else(|| "a number is missing".to_string())
}

impl ScenarioRunner {
    fn step(&mut self, words: &[&str]) -> Step {
        let rest = &words[1..];
        match words[0] {
            "voters" | "learners" => {
                for (i, place) in rest.iter().enumerate() {
                    let (name, region) = place.split_once('/').ok_or("name/region wanted")?;
                    self.cluster.add(name, region, words[0] == "voters", true);
                    if i == 0 && words[0] == "voters" {
                        self.cluster.begin(name);
                    }
                }
            }
            "join" => {
                let (name, region) = rest[0].split_once('/').ok_or("name/region wanted")?;
                self.cluster.add(name, region, true, false);
            }
            "workers" | "worker" => {
                for id in rest {
                    self.cluster.workers.insert(id.to_string(), worker(id));
                }
            }
            "run" => self.cluster.run(number(rest.first())?),
            "command" | "try-command" => {
                let command = ConfigurationCommand {
                    base: number(rest.get(1))?,
                    body: large_configuration(number(rest.get(2))?, self.routes, self.all),
                    ..Default::default()
                };
                if !self.cluster.command(rest[0], command) && words[0] == "command" {
                    return Err("nobody takes it".into());
                }
            }
            "commands" => {
                let (mut base, last) = (number(rest.first())?, number(rest.get(1))?);
                while base < last {
                    let next = (base + 1).to_string();
                    self.step(&["command", &format!("to-{next}"), &base.to_string(), &next])?;
                    self.cluster.run(100);
                    base += 1;
                }
            }
            "kill" | "lose-power" | "lose-disk" | "start" | "disk-stuck" | "disk-ok" | "disk-slow"
            | "isolate" => {
                let name = self.named(rest[0])?;
                self.machine(words[0], &name, rest)?;
            }
            "shut-down" => {
                let name = self.named(rest[0])?;
                let process = self.cluster.nodes.get_mut(&name).and_then(|n| n.process.as_mut());
                process.ok_or("it is down")?.shutting_down = true;
            }
            "cut" | "cut-one-way" => {
                let (a, b) = (self.named(rest[0])?, self.named(rest[1])?);
                self.cluster.blocked_links.insert((a.clone(), b.clone()));
                if words[0] == "cut" {
                    self.cluster.blocked_links.insert((b, a));
                }
            }
            "many-learners" => {
                for i in 0..number(rest.first())? {
                    let region = format!("r{}", i % 3 + 1);
                    self.cluster.add(&format!("o{i}"), &region, false, true);
                }
            }
            "region" => {
                let of = |n: &&crate::node::Node| rest[1] == "all" || n.region == rest[1];
                let names: Vec<String> = self
                    .cluster
                    .nodes
                    .values()
                    .filter(of)
                    .map(|n| n.name.clone())
                    .collect();
                for name in names {
                    self.machine(rest[0], &name, rest)?;
                }
            }
            "rolling-restart" => {
                for i in 0..number(rest.first())? {
                    let name = format!("o{i}");
                    self.cluster.end(&name, false);
                    self.cluster.run(100);
                    self.cluster.start(&name);
                }
            }
            "measure" => self.cluster.measure(),
            "call-lag" => self.cluster.lag_ms = number(rest.first())?,
            "configuration-routes" => {
                (self.routes, self.all) = (number(rest.first())?, rest.get(1) == Some(&"all"))
            }
            "bandwidth" => {
                let (name, width) = (self.named(rest[0])?, number(rest.get(1))?);
                self.cluster.bandwidth.insert(name, width);
            }
            "await" => {
                let end = self.cluster.now + number(rest.first())?;
                while let Err(e) = self.expect(&rest[1..]) {
                    if self.cluster.now >= end {
                        return Err(e);
                    }
                    self.cluster.run(10);
                }
            }
            "heal" => self.cluster.blocked_links.clear(),
            "drain-worker" | "deregister" | "crash-worker" | "mute-worker" => {
                self.worker(words[0], rest[0])?
            }
            "expect" => self.expect(rest)?,
            other => return Err(format!("no such step: {other}")),
        }
        Ok(())
    }

    /// A machine's name; `leader` is whoever leads now, `led` who did last.
    fn named(&mut self, word: &str) -> Result<String, String> {
        match word {
            "leader" => {
                self.last_leader = self.cluster.leader_name().ok_or("nobody leads")?;
                Ok(self.last_leader.clone())
            }
            "last-leader" => Ok(self.last_leader.clone()),
            name if self.cluster.nodes.contains_key(name) => Ok(name.to_string()),
            name => Err(format!("no machine {name}")),
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

    fn expect(&mut self, words: &[&str]) -> Step {
        let cluster = &self.cluster;
        let fine = match words[0] {
            "leader" => cluster.leader().is_some(),
            "no-leader" => cluster.leader().is_none(),
            "another-leader" => cluster.leader().is_some_and(|l| l.name != self.last_leader),
            "answer" => {
                let got = cluster.answers.get(words[1]).cloned().flatten();
                match words[2] {
                    "taken" => matches!(got, Some(Outcome::Applied | Outcome::AlreadyApplied)),
                    "lost" => matches!(got, Some(Outcome::Conflict(_))),
                    "invalid" => matches!(got, Some(Outcome::Invalid(_))),
                    "none" => got.is_none(),
                    other => return Err(format!("no such outcome: {other}")),
                }
            }
            "version" => {
                let wanted = number(words.get(1))?;
                let named = &words[2..];
                cluster
                    .nodes
                    .values()
                    .filter(|n| named.is_empty() || named.contains(&n.name.as_str()))
                    .filter_map(|n| n.process.as_ref())
                    .all(|l| l.state.version() == wanted)
            }
            // All running nodes know that a worker leaves.
            "draining" => {
                let knows = |l: &crate::node::Process| {
                    let w = l.state.workers.get(words[1]);
                    w.is_some_and(|w| w.draining)
                };
                cluster
                    .nodes
                    .values()
                    .filter_map(|n| n.process.as_ref())
                    .all(knows)
            }
            "voter-bytes" | "node-bytes" => {
                let most = cluster.busiest(words[0] == "voter-bytes");
                let bound = number(words.get(1))?;
                if most > bound {
                    return Err(format!("{most} bytes a second"));
                }
                most > 0
            }
            "all-current" => cluster
                .nodes
                .values()
                .all(|n| n.process.as_ref().is_some_and(|l| l.current)),
            "acked-stands" => {
                let leader = cluster
                    .leader()
                    .and_then(|n| n.process.as_ref())
                    .ok_or("nobody leads")?;
                leader.state.version() >= cluster.acked_version
            }
            "covered" => {
                let able = cluster.workers.values().filter(|w| w.up && !w.listed.draining);
                let mut held: Vec<(u32, u32)> = able.flat_map(|w| w.holds(cluster.now)).collect();
                held.sort_unstable();
                let mut next = 0;
                for (from, to) in held {
                    if from > next {
                        return Err(format!("nobody holds {next} to {}", from - 1));
                    }
                    next = next.max(to + 1);
                }
                next == control_state::KEY_SPACE
            }
            "current" => words[1..]
                .iter()
                .all(|n| cluster.nodes[*n].process.as_ref().is_some_and(|l| l.current)),
            "voters" => {
                let leader = cluster
                    .leader()
                    .and_then(|n| n.process.as_ref())
                    .ok_or("nobody leads")?;
                leader.raft.membership().voters.len() as u64 == number(words.get(1))?
            }
            "can-shut-down" | "must-stay" => {
                let name = if words[1] == "last-leader" {
                    &self.last_leader
                } else {
                    words[1]
                };
                let process = cluster.nodes.get(name).and_then(|n| n.process.as_ref());
                process.ok_or("it is down")?.raft.is_shutdown_safe() == (words[0] == "can-shut-down")
            }
            "holds" => {
                let w = cluster.workers.get(words[1]).ok_or("no such worker")?;
                (w.holds(cluster.now).next().is_some()) == (words[2] == "yes")
            }
            other => return Err(format!("nothing to expect: {other}")),
        };
        if fine {
            Ok(())
        } else {
            Err("it is not so".into())
        }
    }
}
