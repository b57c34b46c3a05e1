//! A soak: clients, workers, a platform and operators of the project's own round a fleet of real
//! processes, while signals, freezes, kills, restarts, replacements of workers, evacuations and
//! configurations come in series and overlap. What the parties saw on their sockets is judged by
//! the rules; everything is drawn by a seed, but for the times that things take.

pub mod checker;
mod client;
mod faults;
mod http;
pub mod observations;
mod operator;
mod worker;
mod worker_pool;

use crate::fleet::{Fleet, Plan};
use crate::{settings, ScenarioError};
use checker::{violations, Violation};
use client::Client;
use faults::Faults;
use observations::{Ending, Observations, Record, Request};
use operator::Operator;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use worker_pool::WorkerPool;

/// Entries on a page of the platform's list, entries: the list has several pages.
const PAGE_ENTRIES: usize = 10;
/// How long the platform takes for a page, ms.
const PAGE_MS: u64 = 15;
/// Machines with a disk.
const WITH_DISK: u8 = 5;
/// Time for the first configuration to be in force everywhere, ms.
const START_MS: u64 = 7000;
/// Time without faults at the end, ms: `CatchUp` and `Contact` of the settings.
const CALM_END_MS: u64 = 9000;
/// Part of the last requests that must be served.
const SERVED_PART: f64 = 0.9;
/// The last requests are those of this time, ms.
const LAST_MS: u64 = 3000;
/// Zones that are evacuated, each by an operator of its own.
const EVACUATED_ZONES: [u8; 2] = [1, 2];

/// The routes and services of a soak.
pub struct Routes;

impl Routes {
    /// Requests that may run more than once.
    pub const REPEATABLE: &'static str = "/get/";
    /// Requests that may run once.
    pub const ONCE: &'static str = "/once/";
    /// The same with long answers, to slow readers.
    pub const LONG: &'static str = "/long/";
    /// Requests of the partitioned service.
    pub const KEYED: &'static str = "/keyed/";
    /// The route that comes and goes.
    pub const EXTRA: &'static str = "/extra/";
    /// Timeout of all routes but that of long answers, ms.
    pub const TIMEOUT_MS: u64 = 2500;
    /// Timeout of the route of long answers, ms.
    pub const LONG_TIMEOUT_MS: u64 = 10_000;
    /// The service that is not partitioned.
    pub const PLAIN_SERVICE: &'static str = "plain";
    /// The partitioned service.
    pub const KEYED_SERVICE: &'static str = "keyed";
}

/// How a soak is run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// What everything is drawn by.
    pub seed: u64,
    /// Time with faults, s.
    pub seconds: u64,
    /// Machines, those with a disk among them.
    pub machines: u8,
    /// Clients.
    pub clients: usize,
    /// Two operators evacuate one zone, in place of a zone each.
    pub is_zone_shared: bool,
    /// Leave the folder with the logs where it is.
    pub keep: bool,
}

/// What a soak came to.
pub struct Report {
    /// Rules that were broken, each with the log lines about it.
    pub violations: Vec<(Violation, Vec<String>)>,
    /// What was seen, in numbers.
    pub summary: String,
}

/// Runs a soak with a program, and judges what was seen.
pub async fn run(program: &Path, options: Options) -> Result<Report, ScenarioError> {
    let record = Record::default();
    let plan = Plan {
        with_disk: WITH_DISK.min(options.machines),
        without_disk: options.machines.saturating_sub(WITH_DISK),
    };
    let mut fleet = Fleet::start(program, plan)?;
    if options.keep {
        fleet.keep();
    }
    fleet
        .platform
        .set_pages(PAGE_ENTRIES, Duration::from_millis(PAGE_MS));
    let worker_pool = WorkerPool::new(&record, *fleet.net(), fleet.platform.instances.clone());
    worker_pool.start_all().await?;
    let soak = Soak {
        options,
        record: record.clone(),
        fleet,
        worker_pool,
    };
    soak.run().await
}

/// A soak under way.
struct Soak {
    options: Options,
    record: Record,
    fleet: Fleet,
    worker_pool: WorkerPool,
}

impl Soak {
    /// The generator of one party.
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
        let stop_orders = Rc::new(Cell::new(false));
        let stop_clients = Rc::new(Cell::new(false));
        let mut operators = vec![actix_rt::spawn(self.operator(0, &stop_orders).configure())];
        pause(START_MS).await;
        for (place, zone) in EVACUATED_ZONES.into_iter().enumerate() {
            let zone = if self.options.is_zone_shared {
                EVACUATED_ZONES[0]
            } else {
                zone
            };
            let operator = self.operator(place + 1, &stop_orders);
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
        let faults = Faults::new(&mut self.fleet, &self.worker_pool, &self.record, rng);
        faults.run(until).await?;
        stop_orders.set(true);
        pause(CALM_END_MS).await;
        for operator in operators {
            let _ = operator.await;
        }
        let calm_until = self.record.now() + LAST_MS;
        let read = self.operator(9, &stop_orders).read_back(CALM_END_MS).await;
        let read_at = self.record.now();
        self.record
            .note(|seen| seen.read_back = read.map(|version| (version, read_at)));
        pause(calm_until.saturating_sub(read_at)).await;
        stop_clients.set(true);
        for client in clients {
            let _ = client.await;
        }
        let report = self.report();
        self.fleet.stop().await;
        Ok(report)
    }

    fn report(&mut self) -> Report {
        let seen = self.record.observations();
        let mut found = violations(&seen);
        found.extend(self.judge_service(&seen));
        found.extend(
            self.fleet
                .ended_by_themselves()
                .into_iter()
                .map(|what| Violation {
                    rule: "FAULT",
                    at: self.record.now(),
                    what,
                    words: Vec::new(),
                }),
        );
        let violations = found.into_iter().map(|violation| {
            let lines = self.log_lines(&violation.words);
            (violation, lines)
        });
        Report {
            violations: violations.collect(),
            summary: summary(&seen),
        }
    }

    /// RECOVER: once all is calm, requests are served and orders acknowledged.
    fn judge_service(&self, seen: &Observations) -> Vec<Violation> {
        let end = seen.requests.iter().map(|r| r.ended_at).max().unwrap_or(0);
        let is_steady = |r: &&Request| r.path.starts_with(Routes::REPEATABLE);
        let last = seen.requests.iter().filter(|r| r.sent_at + LAST_MS > end);
        let last: Vec<&Request> = last.filter(is_steady).collect();
        let is_served = |r: &&&Request| matches!(r.ending, Ending::Answered { status: 200, .. });
        let served = last.iter().filter(is_served).count();
        let mut found = Vec::new();
        let mut note = |what: String| {
            found.push(Violation {
                rule: "RECOVER",
                at: end,
                what,
                words: Vec::new(),
            });
        };
        if (served as f64) < SERVED_PART * last.len() as f64 || last.is_empty() {
            note(format!("{served} of the last {} requests are served", last.len()));
        }
        if seen.read_back.is_none() {
            note("no configuration can be read back".into());
        }
        found
    }

    /// Log lines of all nodes that hold one of these words, and those of changes and warnings.
    fn log_lines(&self, words: &[String]) -> Vec<String> {
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
                words.iter().any(|w| line.contains(w.as_str())) || EVENTS.iter().any(|e| line.contains(e))
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

/// What was seen, in numbers.
fn summary(seen: &Observations) -> String {
    let count = |wanted: &dyn Fn(&Ending) -> bool| seen.requests.iter().filter(|r| wanted(&r.ending)).count();
    let acknowledged = seen.orders.iter().filter(|o| o.acknowledged_at.is_some()).count();
    format!(
        "{} requests ({} served, {} refused, {} closed, {} out of time), {} runs, {} of {} orders acknowledged, \
         {} troubles, {} workers, {} holds",
        seen.requests.len(),
        count(&|e| matches!(e, Ending::Answered { status: 200, .. })),
        count(&|e| matches!(e, Ending::Answered { status: 503, .. })),
        count(&|e| matches!(e, Ending::Closed | Ending::NotSent)),
        count(&|e| matches!(e, Ending::DeadlinePassed | Ending::Answered { status: 504, .. })),
        seen.runs.len(),
        acknowledged,
        seen.orders.len(),
        seen.troubles.len(),
        seen.workers.len(),
        seen.holds.len()
    )
}

async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
