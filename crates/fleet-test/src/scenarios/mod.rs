//! What is run with a fleet, each for one promise of the control side.

mod cut_off;
mod many_changes;
mod resend;
mod right_caller;
mod rolling_upgrade;
mod second_loss;
mod storm;

use crate::checker::{faults, Answer, Asked, History};
use crate::fleet::{Fleet, Plan};
use crate::operator::{ControlAddress, Operator, Record};
use crate::settings;
use crate::{orders, ScenarioError};
use futures_util::future::LocalBoxFuture;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Longest time for one scenario, s.
pub const LONGEST_S: u64 = 115;
/// Time in which the first configuration must be taken, s: seven debug builds
/// start at once on a busy machine.
const FIRST_S: u64 = 20;
/// Time in which an order must have a clear answer when nobody has touched the
/// core for a while, s: `Acknowledge` and `Contact` of the settings.
const CLEAR_S: u64 = 10;
/// What the settings grant a machine that is back, ms.
const CATCH_UP_MS: u64 = 4000;

/// What the settings grant a process that ends in order, ms.
const GRACE_MS: u64 = 6000;
/// A member that the leader has heard within this time is there, ms.
const SILENT_MS: u64 = 1000;

/// How long a scenario may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// For checks at every change.
    Short,
    Full,
}

/// How scenarios are run.
#[derive(Clone, Debug)]
pub struct Options {
    /// A program to upgrade to; the same one if left out.
    pub other_program: Option<std::path::PathBuf>,
    pub pace: Pace,
    /// Leave the folder with the logs where it is.
    pub keep: bool,
    /// Length of a storm, s, and what its faults are drawn by.
    pub seconds: u64,
    pub seed: u64,
}

impl Options {
    /// The usual options of a pace.
    pub fn of(pace: Pace) -> Options {
        Options {
            other_program: None,
            pace,
            keep: false,
            seconds: 60,
            seed: 1,
        }
    }
}

/// How a scenario came out.
#[derive(Debug)]
pub enum Verdict {
    Held,
    /// Each rule that was broken, in one line.
    Broken(Vec<String>),
    /// It came to no end that says anything about the system.
    ScenarioError(ScenarioError),
}

/// A scenario for a fleet.
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    execute: for<'a> fn(&'a mut Run) -> LocalBoxFuture<'a, Result<(), ScenarioError>>,
}

/// All scenarios but the storm.
pub const ALL: [Scenario; 6] = [
    Scenario {
        name: "cut-off",
        about: "a leader is frozen while orders go on, thawed and asked at once",
        execute: |run| Box::pin(cut_off::execute(run)),
    },
    Scenario {
        name: "resend",
        about: "orders that were taken are sent again to every node, two operators race",
        execute: |run| Box::pin(resend::execute(run)),
    },
    Scenario {
        name: "second-loss",
        about: "a disk is lost right after a repair, a member leaves, another comes",
        execute: |run| Box::pin(second_loss::execute(run)),
    },
    Scenario {
        name: "many-changes",
        about: "hundreds of changes past a member that is down, then all restart",
        execute: |run| Box::pin(many_changes::execute(run)),
    },
    Scenario {
        name: "rolling-upgrade",
        about: "each node restarts with another program under changes, then back again",
        execute: |run| Box::pin(rolling_upgrade::execute(run)),
    },
    Scenario {
        name: "right-caller",
        about: "many calls through nodes that end and return: each gets its own answer",
        execute: |run| Box::pin(right_caller::execute(run)),
    },
];

/// Run by itself only, for as long as the options say.
pub const STORM: Scenario = Scenario {
    name: "storm",
    about: "faults drawn by lot while operators race, resend and read",
    execute: |run| Box::pin(storm::execute(run)),
};

/// The scenario of a name.
pub fn by_name(name: &str) -> Option<&'static Scenario> {
    ALL.iter().find(|s| s.name == name)
}

/// What a scenario works with.
pub struct Run {
    pub fleet: Fleet,
    options: Options,
    record: Record,
    operator: Operator,
    began: Instant,
    broken: Vec<String>,
    /// The newest version that was acknowledged, and the next number to use.
    current: u64,
    next: u64,
}

impl Scenario {
    /// Runs the scenario with a fresh fleet; leaves nothing running.
    pub async fn execute(&self, program: &Path, options: Options) -> Verdict {
        let plan = Plan {
            with_disk: 5,
            without_disk: 2,
        };
        let fleet = match Fleet::start(program, plan) {
            Ok(fleet) => fleet,
            Err(e) => return Verdict::ScenarioError(e),
        };
        let record = Record::default();
        let mut run = Run {
            fleet,
            options: options.clone(),
            operator: Operator::new(&record),
            record,
            began: Instant::now(),
            broken: Vec::new(),
            current: 0,
            next: 1,
        };
        let longest = if self.name == STORM.name {
            options.seconds + LONGEST_S
        } else {
            LONGEST_S
        };
        let limit = Duration::from_secs(longest);
        let outcome = match tokio::time::timeout(limit, (self.execute)(&mut run)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(format!("not over after {longest} s").into()),
        };
        let Run {
            mut fleet,
            record,
            mut broken,
            ..
        } = run;
        let history = record.history();
        println!(
            "  {} calls; without a clear answer: {}",
            history.calls.len(),
            unclear(&history)
        );
        broken.extend(faults(&history));
        broken.extend(fleet.ended_by_themselves());
        if options.keep {
            fleet.keep();
            println!("  folder kept: {}", fleet.folder().display());
        }
        fleet.stop().await;
        match (broken.is_empty(), outcome) {
            (false, _) => Verdict::Broken(broken),
            (true, Err(e)) => Verdict::ScenarioError(e),
            (true, Ok(())) => Verdict::Held,
        }
    }
}

impl Run {
    /// Tells what is done, with the seconds since the start.
    fn say(&self, text: impl AsRef<str>) {
        println!(
            "  {:6.2} s  {}",
            self.began.elapsed().as_secs_f32(),
            text.as_ref()
        );
    }

    /// A rule that was broken.
    fn broken(&mut self, text: impl std::fmt::Display) {
        self.say(format!("BROKEN: {text}"));
        self.broken.push(text.to_string());
    }

    /// A caller with connections of its own.
    fn caller(&self) -> Operator {
        Operator::new(&self.record)
    }

    /// Enters the next configuration on top of the current one.
    fn next_order(&mut self, maker: &str, routes: usize) -> usize {
        let version = self.next;
        self.next += 1;
        let body = orders::configuration(version, maker, routes);
        self.record.order(self.current, version, body)
    }

    fn version_of(&self, order: usize) -> u64 {
        self.record.history().orders[order].version
    }

    /// Brings the system up with a first configuration.
    async fn open(&mut self) -> Result<(), ScenarioError> {
        let order = self.next_order("a", 2);
        let within = Duration::from_secs(FIRST_S);
        match self.send(order, within).await {
            Answer::Good(_) => {}
            other => return Err(format!("the first configuration was not taken: {other:?}").into()),
        }
        let leader = self.fleet.wait_for_leader(within).await?;
        self.say(format!(
            "{} nodes on {} to {}, node {leader} leads, version {} in force",
            self.fleet.nodes.len(),
            self.fleet.net().control(1),
            self.fleet.net().control(self.fleet.nodes.len() as u8),
            self.current
        ));
        Ok(())
    }

    /// Sends an order until it has a clear answer.
    async fn send(&mut self, order: usize, within: Duration) -> Answer {
        let control_addresses = self.fleet.running();
        let answer = self
            .operator
            .settle(Asked::Replace(order), &shuffled(&control_addresses), within)
            .await;
        self.taken(order, &answer);
        answer
    }

    /// Notes that an order was taken.
    fn taken(&mut self, order: usize, answer: &Answer) {
        if matches!(answer, Answer::Good(_)) {
            self.current = self.current.max(self.version_of(order));
        }
    }

    /// Makes a change; milliseconds until its acknowledgement. A proper change
    /// that gets none while nobody touches the core is a rule broken.
    async fn change(&mut self, routes: usize) -> Result<u64, ScenarioError> {
        let order = self.next_order("a", routes);
        let begun = Instant::now();
        let answer = self.send(order, Duration::from_secs(CLEAR_S)).await;
        let took = begun.elapsed().as_millis() as u64;
        if !matches!(answer, Answer::Good(_)) {
            let version = self.version_of(order);
            self.broken(format!(
                "the order of {version} on {} has no acknowledgement after {took} ms: {answer:?}",
                self.current
            ));
            return Err("a proper order was not taken".into());
        }
        Ok(took)
    }

    /// Makes so many changes; how long the longest took, ms.
    async fn changes(&mut self, count: usize) -> Result<u64, ScenarioError> {
        let mut longest = 0;
        for _ in 0..count {
            longest = longest.max(self.change(3).await?);
        }
        self.say(format!("{count} changes, the longest took {longest} ms"));
        Ok(longest)
    }

    /// Ends a node with SIGTERM, with so many changes going on; it must end within its grace
    /// period.
    async fn end_in_order(&mut self, number: u8, changes: usize) -> Result<(), ScenarioError> {
        self.fleet.node(number)?.terminate()?;
        let told = Instant::now();
        self.changes(changes).await?;
        let limit = Duration::from_millis(GRACE_MS).saturating_sub(told.elapsed());
        match self.fleet.wait_for_end(number, limit).await {
            Ok(how) => self.say(format!(
                "node {number} ended {} ms after SIGTERM: {how}",
                told.elapsed().as_millis()
            )),
            Err(e) => {
                self.broken(e);
                self.fleet.node(number)?.kill();
            }
        }
        Ok(())
    }

    /// Reads the configuration back through every running node; each must show
    /// what was acknowledged last.
    async fn read_back(&mut self) {
        let control_addresses = self.fleet.running();
        let mut shown = 0;
        for control_address in &control_addresses {
            let within = Duration::from_secs(CLEAR_S);
            match self
                .operator
                .settle(Asked::Read, &[*control_address], within)
                .await
            {
                Answer::Good(_) => shown += 1,
                other => self.broken(format!(
                    "node {} reads nothing back: {other:?}",
                    control_address.0
                )),
            }
        }
        self.say(format!(
            "read back through {shown} of {} nodes; the newest acknowledged is version {}",
            control_addresses.len(),
            self.record.history().newest_acknowledged()
        ));
    }

    /// What the leader says of the system, as a running node passes it on.
    async fn status(&self) -> Option<Value> {
        let control_addresses = shuffled(&self.fleet.running());
        let answer = self
            .operator
            .settle(Asked::Status, &control_addresses, Duration::from_secs(3))
            .await;
        match answer {
            Answer::Good(body) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    /// Evacuates a zone that no machine is in; its acknowledgement must come.
    async fn evacuate(&mut self, zone: &str) -> Result<(), ScenarioError> {
        let asked = Asked::Evacuate {
            zone: zone.into(),
            begin: true,
        };
        let within = Duration::from_secs(CLEAR_S);
        match self
            .operator
            .settle(asked, &shuffled(&self.fleet.running()), within)
            .await
        {
            Answer::Good(_) => Ok(()),
            other => {
                self.broken(format!(
                    "the evacuation of {zone} has no acknowledgement: {other:?}"
                ));
                Err("a proper order was not taken".into())
            }
        }
    }

    /// An evacuation that was acknowledged must be in force still.
    async fn must_be_evacuated(&mut self, zone: &str) {
        match self.is_evacuated(zone).await {
            Some(true) => self.say(format!("the evacuation of {zone} is in force")),
            Some(false) => self.broken(format!("the evacuation of {zone} was acknowledged and is lost")),
            None => self.broken("the state cannot be read: no status"),
        }
    }

    /// Whether a zone is evacuated, as far as the leader says.
    async fn is_evacuated(&self, zone: &str) -> Option<bool> {
        let status = self.status().await?;
        Some(status["evacuated"][zone].as_u64().is_some_and(|count| count > 0))
    }

    /// Waits until a node votes and holds what the leader holds; ms that it took.
    async fn wait_for_vote(&self, number: u8, within: Duration) -> Result<u64, ScenarioError> {
        let begun = Instant::now();
        let name = settings::name(number);
        while begun.elapsed() < within {
            if let Some(status) = self.status().await {
                let members = status["members"].as_array().cloned().unwrap_or_default();
                let leads = self.fleet.leader() == Some(number);
                let votes = members.iter().any(|m| {
                    // Its old self at the same address has long been silent.
                    let heard = m["silent_ms"].as_u64().map_or(leads, |ms| ms < SILENT_MS);
                    m["name"] == name.as_str() && m["alive"] == true && m["votes"] == true && heard
                });
                if votes {
                    return Ok(begun.elapsed().as_millis() as u64);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("node {number} does not vote after {} s", within.as_secs()).into())
    }

    /// Waits until a node that takes clients has a configuration in force; ms.
    async fn wait_for_route(&self, number: u8, path: &str, within: Duration) -> Result<u64, ScenarioError> {
        let begun = Instant::now();
        let client = crate::call::client();
        let ready = format!("http://{}/readiness", self.fleet.net().readiness(number));
        let route = format!("http://{}{path}x", self.fleet.net().front(number));
        while begun.elapsed() < within {
            let is_ready = matches!(client.get(&ready).send().await, Ok(a) if a.status() == 200);
            if is_ready {
                // There are no workers: a route that is in force leads to a 503.
                let sent = client
                    .get(&route)
                    .insert_header(("Host", orders::HOST))
                    .insert_header(("Attempt-Id", "00000000000000aa"))
                    .send()
                    .await;
                if matches!(sent, Ok(a) if a.status() != 404) {
                    return Ok(begun.elapsed().as_millis() as u64);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("node {number} does not serve {path} after {} s", within.as_secs()).into())
    }
}

/// How many calls had no clear answer, by what came instead.
fn unclear(history: &History) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for call in &history.calls {
        if let Answer::Unclear(text) = &call.answer {
            *counts.entry(text.as_str()).or_default() += 1;
        }
    }
    if counts.is_empty() {
        return "none".into();
    }
    let each = counts.into_iter().map(|(text, n)| format!("{n} ({text})"));
    each.collect::<Vec<_>>().join(", ")
}

fn shuffled(control_addresses: &[ControlAddress]) -> Vec<ControlAddress> {
    use rand::seq::SliceRandom;
    let mut control_addresses = control_addresses.to_vec();
    control_addresses.shuffle(&mut rand::thread_rng());
    control_addresses
}

async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
