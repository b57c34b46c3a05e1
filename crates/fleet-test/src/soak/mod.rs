//! Soak tests: the project's own clients, workers, platform and operators surround a fleet of real
//! processes, while signals, freezes, kills, restarts, worker replacements, evacuations and
//! configuration changes come in series and overlap. A checker applies the rules to what the
//! parties observed on their sockets. The parties' random choices come from a seed; only timing
//! varies between runs with the same seed.

pub mod checker;
mod client;
mod faults;
mod http;
pub mod observations;
mod operator;
pub mod shape;
mod worker;
mod worker_pool;

use crate::fleet::{Fleet, Plan};
use crate::{settings, ScenarioError};
use checker::{violations, Violation};
use client::Client;
use faults::FaultInjector;
use observations::{Ending, Observations, Record, Request};
use operator::Operator;
use rand::rngs::StdRng;
use rand::SeedableRng;
use shape::Shape;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use worker_pool::WorkerPool;

/// Time for the first configuration to be in force everywhere, in milliseconds.
const STARTUP_MS: u64 = 7000;
/// Time without faults at the end, in milliseconds; covers `CatchUp` and `Contact` of the settings.
const RECOVERY_MS: u64 = 9000;
/// Fraction of the final requests that must be served.
const MIN_SERVED_FRACTION: f64 = 0.9;
/// Length of the period whose requests count as the final ones, in milliseconds.
const FINAL_WINDOW_MS: u64 = 3000;
/// Zones that are evacuated, each by an operator of its own.
const EVACUATED_ZONES: [u8; 2] = [1, 2];
/// Number of the operator that reads what is in force at the end.
const FINAL_OPERATOR: usize = 9;

/// Routes and services of a soak.
pub struct Routes;

impl Routes {
    /// Path prefix of requests that may run more than once.
    pub const IDEMPOTENT: &'static str = "/get/";
    /// Path prefix of requests that may run only once.
    pub const NON_IDEMPOTENT: &'static str = "/once/";
    /// Path prefix of non-idempotent requests with long answers, for slow readers.
    pub const LONG: &'static str = "/long/";
    /// Path prefix of requests to the partitioned service.
    pub const KEYED: &'static str = "/keyed/";
    /// Path prefix of the route that configurations add and drop.
    pub const EXTRA: &'static str = "/extra/";
    /// Timeout of all routes except that of long answers, in milliseconds.
    pub const TIMEOUT_MS: u64 = 2500;
    /// Timeout of the route of long answers, in milliseconds.
    pub const LONG_TIMEOUT_MS: u64 = 10_000;
    /// The service that is not partitioned.
    pub const PLAIN_SERVICE: &'static str = "plain";
    /// The partitioned service.
    pub const KEYED_SERVICE: &'static str = "keyed";
}

/// Options of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the random choices.
    pub seed: u64,
    /// Time during which faults are injected, in seconds.
    pub seconds: u64,
    /// Number of machines, including those with a disk.
    pub machines: u8,
    /// Number of clients.
    pub clients: usize,
    /// How machines and workers are spread, and which nodes the faults prefer.
    pub shape: Shape,
    /// Whether both operators evacuate the same zone instead of one zone each.
    pub is_zone_shared: bool,
    /// Whether all processes are killed at the same moment from time to time.
    pub kills_all: bool,
    /// Whether to keep the folder with the logs.
    pub keep: bool,
}

/// The result of a soak.
pub struct Report {
    /// The violations, each with the log lines about it.
    pub violations: Vec<(Violation, Vec<String>)>,
    /// Counts of what was observed.
    pub summary: String,
}

/// Runs a soak with a program, and checks what was observed.
pub async fn run(program: &Path, options: Options) -> Result<Report, ScenarioError> {
    let record = Record::default();
    let shape = options.shape;
    let plan = Plan {
        with_disk: shape.with_disk.min(options.machines),
        without_disk: options.machines.saturating_sub(shape.with_disk),
        tolerated_regions: 0,
        zones: shape.machine_zones,
    };
    let mut fleet = Fleet::start(program, plan)?;
    if options.keep {
        fleet.keep();
    }
    fleet.platform.set_pages(shape.pages);
    let worker_pool = WorkerPool::new(&record, *fleet.net(), &fleet.platform);
    worker_pool.start_all(&shape).await?;
    let soak = Soak {
        options,
        record: record.clone(),
        fleet,
        worker_pool,
    };
    soak.run().await
}

/// A running soak.
struct Soak {
    options: Options,
    record: Record,
    fleet: Fleet,
    worker_pool: WorkerPool,
}

impl Soak {
    /// Returns the random generator of one party.
    fn rng(&self, party: u64) -> StdRng {
        StdRng::seed_from_u64(self.options.seed.wrapping_mul(1_000_003).wrapping_add(party))
    }

    fn operator(&self, number: usize, stop: &Rc<Cell<bool>>) -> Operator {
        Operator {
            number,
            nodes: self.options.machines,
            net: *self.fleet.net(),
            record: self.record.clone(),
            stop: stop.clone(),
            rng: self.rng(1000 + number as u64),
        }
    }

    async fn run(mut self) -> Result<Report, ScenarioError> {
        let stop_operators = Rc::new(Cell::new(false));
        let stop_clients = Rc::new(Cell::new(false));
        let mut operators = vec![actix_rt::spawn(self.operator(0, &stop_operators).configure())];
        pause(STARTUP_MS).await;
        for (index, zone) in EVACUATED_ZONES.into_iter().enumerate() {
            let zone = if self.options.is_zone_shared {
                EVACUATED_ZONES[0]
            } else {
                zone
            };
            let operator = self.operator(index + 1, &stop_operators);
            operators.push(actix_rt::spawn(operator.evacuate(settings::zone(zone))));
        }
        let clients: Vec<_> = (0..self.options.clients)
            .map(|number| {
                let client = Client {
                    number,
                    node: (number % usize::from(self.options.machines)) as u8 + 1,
                    nodes: self.options.machines,
                    net: *self.fleet.net(),
                    record: self.record.clone(),
                    stop: stop_clients.clone(),
                    rng: self.rng(2000 + number as u64),
                };
                actix_rt::spawn(client.run())
            })
            .collect();
        let until = self.record.now() + self.options.seconds * 1000;
        let rng = self.rng(1);
        let shape = self.options.shape;
        let mut injector = FaultInjector::new(&mut self.fleet, &self.worker_pool, &self.record, shape, rng);
        if self.options.kills_all {
            injector.kill_all_from_time_to_time();
        }
        injector.run(until).await?;
        stop_operators.set(true);
        pause(RECOVERY_MS).await;
        for operator in operators {
            let _ = operator.await;
        }
        let final_window_until = self.record.now() + FINAL_WINDOW_MS;
        let mut operator = self.operator(FINAL_OPERATOR, &stop_operators);
        let read_version = operator.read_back(RECOVERY_MS).await;
        let read_at = self.record.now();
        let evacuated = operator.read_evacuated(RECOVERY_MS).await;
        self.record.update(|seen| {
            seen.read_back = read_version.map(|version| (version, read_at));
            seen.evacuated_at_end = evacuated;
        });
        pause(final_window_until.saturating_sub(read_at)).await;
        stop_clients.set(true);
        for client in clients {
            let _ = client.await;
        }
        self.end_doubtful_evacuations(&mut operator).await;
        let report = self.report();
        self.fleet.stop().await;
        Ok(report)
    }

    /// Finishes once more what the status shows as evacuated because a begin may have counted twice.
    async fn end_doubtful_evacuations(&self, operator: &mut Operator) {
        let seen = self.record.observations();
        for zone in seen.evacuated_at_end.iter().flatten() {
            let finishes = checker::doubtful_begins(&seen, zone);
            if !operator.finish_further(zone, finishes, RECOVERY_MS).await {
                let zone = zone.clone();
                self.record
                    .update(|seen| seen.evacuated_after_further_finish.push(zone));
            }
        }
    }

    fn report(&mut self) -> Report {
        let seen = self.record.observations();
        let mut found = violations(&seen);
        found.extend(self.check_recovery(&seen));
        found.extend(
            self.fleet
                .unexpected_exits()
                .into_iter()
                .map(|description| Violation {
                    rule: "FAULT",
                    at: self.record.now(),
                    description,
                    log_terms: Vec::new(),
                }),
        );
        let violations = found.into_iter().map(|violation| {
            let lines = self.log_lines(&violation.log_terms);
            (violation, lines)
        });
        Report {
            violations: violations.collect(),
            summary: summary(&seen),
        }
    }

    /// Rule RECOVER: once the faults are over, requests are served and the configuration can be
    /// read.
    fn check_recovery(&self, seen: &Observations) -> Vec<Violation> {
        let end = seen.requests.iter().map(|r| r.ended_at).max().unwrap_or(0);
        let is_idempotent = |r: &&Request| r.path.starts_with(Routes::IDEMPOTENT);
        let final_requests = seen.requests.iter().filter(|r| r.sent_at + FINAL_WINDOW_MS > end);
        let final_requests: Vec<&Request> = final_requests.filter(is_idempotent).collect();
        let is_served = |r: &&&Request| matches!(r.ending, Ending::Answered { status: 200, .. });
        let served = final_requests.iter().filter(is_served).count();
        let mut found = Vec::new();
        let mut report = |description: String| {
            found.push(Violation {
                rule: "RECOVER",
                at: end,
                description,
                log_terms: Vec::new(),
            });
        };
        if (served as f64) < MIN_SERVED_FRACTION * final_requests.len() as f64 || final_requests.is_empty() {
            report(format!(
                "{served} of the last {} requests are served",
                final_requests.len()
            ));
        }
        if seen.read_back.is_none() {
            report("no configuration can be read back".into());
        }
        found
    }

    /// Returns the log lines of all nodes that contain one of these terms or one of the listed
    /// events.
    fn log_lines(&self, log_terms: &[String]) -> Vec<String> {
        const EVENTS: [&str; 4] = [
            "event=out_of_contact",
            "event=shutdown",
            "event=leads",
            "event=command_abandoned",
        ];
        let mut lines = Vec::new();
        for node in &self.fleet.nodes {
            let log = node.log();
            let is_about = |line: &&str| {
                log_terms.iter().any(|w| line.contains(w.as_str())) || EVENTS.iter().any(|e| line.contains(e))
            };
            lines.extend(
                log.lines()
                    .filter(is_about)
                    .map(|line| format!("{}: {line}", node.name())),
            );
        }
        lines
    }
}

/// Returns the counts of what was observed.
fn summary(seen: &Observations) -> String {
    let count =
        |matches: &dyn Fn(&Ending) -> bool| seen.requests.iter().filter(|r| matches(&r.ending)).count();
    let acknowledged = seen
        .commands
        .iter()
        .filter(|c| c.acknowledged_at.is_some())
        .count();
    format!(
        "{} requests ({} served, {} refused, {} closed, {} timed out), {} runs, {} of {} commands acknowledged, \
         {} node faults, {} workers, {} key leases, {} late arrivals excused, {} zones evacuated at the end",
        seen.requests.len(),
        count(&|e| matches!(e, Ending::Answered { status: 200, .. })),
        count(&|e| matches!(e, Ending::Answered { status: 503, .. })),
        count(&|e| matches!(e, Ending::Closed | Ending::NotSent)),
        count(&|e| matches!(e, Ending::DeadlinePassed | Ending::Answered { status: 504, .. })),
        seen.runs.len(),
        acknowledged,
        seen.commands.len(),
        seen.node_faults.len(),
        seen.workers.len(),
        seen.key_leases.len(),
        checker::excused_late_arrivals(seen),
        seen.evacuated_at_end.iter().flatten().count()
    )
}

async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
