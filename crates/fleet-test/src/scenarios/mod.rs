//! What is run with a fleet, each for one promise of the control side.

mod cut_off;
mod many_changes;
mod resend;
mod right_caller;
mod rolling_upgrade;
mod run;
mod second_loss;
mod storm;

use crate::checker::{faults, Answer, History};
use crate::fleet::{Fleet, Plan};
use crate::operator::{ControlAddress, Operator, Record};
use crate::ScenarioError;
use futures_util::future::LocalBoxFuture;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

pub use run::Run;

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
