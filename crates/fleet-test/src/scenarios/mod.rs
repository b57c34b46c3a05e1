//! Scenarios that run on a fleet. Each one tests a guarantee of the control side.

mod cut_off;
mod finish_after_restart;
mod lost_voter;
mod many_changes;
mod resend;
mod right_caller;
mod rolling_upgrade;
mod run;
mod second_loss;
mod storm;

use crate::checker::{violations, Answer, History};
use crate::fleet::{Fleet, Plan};
use crate::operator::{ControlAddress, Operator, Record};
use crate::ScenarioError;
use futures_util::future::LocalBoxFuture;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

pub use run::Run;

/// Time limit of a scenario, in seconds.
pub const MAX_SCENARIO_S: u64 = 115;
/// Time within which the first configuration must be accepted, in seconds: seven debug builds start
/// at once on a busy machine.
const FIRST_COMMAND_TIMEOUT_S: u64 = 20;
/// Time within which a command must have a definite answer while no fault affects the core, in
/// seconds: `Acknowledge` plus `Contact` of the settings.
const COMMAND_TIMEOUT_S: u64 = 10;
/// Time granted by the settings (`CatchUp`) to a machine that is back, in milliseconds.
const CATCH_UP_MS: u64 = 4000;

/// Time granted by the settings (`GracePeriod`) to a process that shuts down, in milliseconds.
const GRACE_PERIOD_MS: u64 = 6000;
/// Time within which the leader must have heard from a member for it to count as present, in
/// milliseconds.
const HEARD_WITHIN_MS: u64 = 1000;

/// How long the scenarios take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Short runs for checks at every change.
    Short,
    Full,
}

/// Options for running scenarios.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program to upgrade to; by default the program under test.
    pub other_program: Option<std::path::PathBuf>,
    pub pace: Pace,
    /// Whether to keep the folder with the logs.
    pub keep: bool,
    /// Duration of a storm in seconds, and the seed of its faults.
    pub seconds: u64,
    pub seed: u64,
}

impl Options {
    /// Returns the default options for a pace.
    pub fn with_pace(pace: Pace) -> Options {
        Options {
            other_program: None,
            pace,
            keep: false,
            seconds: 60,
            seed: 1,
        }
    }
}

/// The outcome of a scenario.
#[derive(Debug)]
pub enum Verdict {
    Passed,
    /// The rules that were broken, one line each.
    Failed(Vec<String>),
    /// The scenario did not run to an end that says anything about the system.
    NotRun(ScenarioError),
}

/// A scenario that runs on a fleet.
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    /// Machines that the scenario starts with.
    plan: Plan,
    execute: for<'a> fn(&'a mut Run) -> LocalBoxFuture<'a, Result<(), ScenarioError>>,
}

/// Machines of most scenarios.
const STANDARD_PLAN: Plan = Plan {
    with_disk: 5,
    without_disk: 2,
    tolerated_regions: 0,
    zones: None,
};
/// One machine with a disk in each region, of which one may be lost.
const CORE_OF_THREE: Plan = Plan {
    with_disk: 3,
    without_disk: 0,
    tolerated_regions: 1,
    zones: None,
};

/// All scenarios except the storm.
pub const ALL: [Scenario; 8] = [
    Scenario {
        name: "cut-off",
        about: "a leader is frozen while commands go on, then thawed and called at once",
        plan: STANDARD_PLAN,
        execute: |run| Box::pin(cut_off::execute(run)),
    },
    Scenario {
        name: "resend",
        about: "accepted commands are sent again to every node, two operators race",
        plan: STANDARD_PLAN,
        execute: |run| Box::pin(resend::execute(run)),
    },
    Scenario {
        name: "second-loss",
        about: "a disk is lost right after a repair, a member leaves, another joins",
        plan: STANDARD_PLAN,
        execute: |run| Box::pin(second_loss::execute(run)),
    },
    Scenario {
        name: "many-changes",
        about: "hundreds of changes while a member is down, then all nodes restart",
        plan: STANDARD_PLAN,
        execute: |run| Box::pin(many_changes::execute(run)),
    },
    Scenario {
        name: "rolling-upgrade",
        about: "each node restarts with another program during changes, and then with the first one",
        plan: STANDARD_PLAN,
        execute: |run| Box::pin(rolling_upgrade::execute(run)),
    },
    Scenario {
        name: "right-caller",
        about: "many calls through nodes that restart: each gets its own answer",
        plan: STANDARD_PLAN,
        execute: |run| Box::pin(right_caller::execute(run)),
    },
    Scenario {
        name: "finish-after-restart",
        about: "all nodes are killed and restarted, and the evacuation in force is finished at once",
        plan: STANDARD_PLAN,
        execute: |run| Box::pin(finish_after_restart::execute(run)),
    },
    Scenario {
        name: "lost-voter",
        about: "a voter is lost for good, two machines of its region join, the leader restarts",
        plan: CORE_OF_THREE,
        execute: |run| Box::pin(lost_voter::execute(run)),
    },
];

/// A scenario that runs only by itself, for as long as the options say.
pub const STORM: Scenario = Scenario {
    name: "storm",
    about: "random faults while operators race, resend and read",
    plan: STANDARD_PLAN,
    execute: |run| Box::pin(storm::execute(run)),
};

/// Returns the scenario with this name.
pub fn by_name(name: &str) -> Option<&'static Scenario> {
    ALL.iter().find(|s| s.name == name)
}

impl Scenario {
    /// Runs the scenario with a new fleet, and leaves nothing running.
    pub async fn execute(&self, program: &Path, options: Options) -> Verdict {
        let fleet = match Fleet::start(program, self.plan) {
            Ok(fleet) => fleet,
            Err(e) => return Verdict::NotRun(e),
        };
        let record = Record::default();
        let mut run = Run {
            fleet,
            options: options.clone(),
            operator: Operator::new(&record),
            record,
            started_at: Instant::now(),
            found_violations: Vec::new(),
            current: 0,
            next: 1,
        };
        let limit_s = if self.name == STORM.name {
            options.seconds + MAX_SCENARIO_S
        } else {
            MAX_SCENARIO_S
        };
        let limit = Duration::from_secs(limit_s);
        let outcome = match tokio::time::timeout(limit, (self.execute)(&mut run)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(format!("not finished after {limit_s} s").into()),
        };
        let Run {
            mut fleet,
            record,
            mut found_violations,
            ..
        } = run;
        let history = record.history();
        println!(
            "  {} calls; without a definite answer: {}",
            history.calls.len(),
            indeterminate_summary(&history)
        );
        found_violations.extend(violations(&history));
        found_violations.extend(fleet.unexpected_exits());
        if options.keep {
            fleet.keep();
            println!("  folder kept: {}", fleet.folder().display());
        }
        fleet.stop().await;
        match (found_violations.is_empty(), outcome) {
            (false, _) => Verdict::Failed(found_violations),
            (true, Err(e)) => Verdict::NotRun(e),
            (true, Ok(())) => Verdict::Passed,
        }
    }
}

/// Describes how many calls had no definite answer, grouped by what came instead.
fn indeterminate_summary(history: &History) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for call in &history.calls {
        if let Answer::Indeterminate(text) = &call.answer {
            *counts.entry(text.as_str()).or_default() += 1;
        }
    }
    if counts.is_empty() {
        return "none".into();
    }
    let descriptions = counts.into_iter().map(|(text, n)| format!("{n} ({text})"));
    descriptions.collect::<Vec<_>>().join(", ")
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
