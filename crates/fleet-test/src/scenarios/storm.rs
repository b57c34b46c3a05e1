//! Random faults while operators race, resend and read. This scenario is not part of `ALL`: it is
//! meant for searches of any length, and no run can be repeated exactly.

use super::{pause, Run, CATCH_UP_MS, COMMAND_TIMEOUT_S};
use crate::checker::{Answer, Operation};
use crate::operator::{ControlAddress, Operator, Record};
use crate::{orders, ScenarioError};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which an operator stops waiting for a definite answer and reads again, in seconds.
const DEFINITE_ANSWER_S: u64 = 4;
/// Number of routes in a configuration, which makes it a few kilobytes.
const ROUTES: usize = 12;
/// Number of newest commands from which one is sent again: fewer than the system remembers.
const RESEND_WINDOW: usize = 100;
/// Pause of an operator between two calls, in milliseconds.
const CALL_INTERVAL_MS: u64 = 25;

/// State shared by all operators.
#[derive(Clone)]
struct SharedState {
    record: Record,
    control_addresses: Rc<Vec<ControlAddress>>,
    /// The newest version that one of them has seen in force.
    current: Rc<Cell<u64>>,
    next: Rc<Cell<u64>>,
    stop: Rc<Cell<bool>>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillLeader,
    Freeze,
    FreezeLeader,
    Terminate,
    Wipe,
    WipeLeader,
    KillAll,
}

const FAULTS: [Fault; 8] = [
    Fault::Kill,
    Fault::KillLeader,
    Fault::Freeze,
    Fault::FreezeLeader,
    Fault::Terminate,
    Fault::Wipe,
    Fault::WipeLeader,
    Fault::KillAll,
];

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    let deadline = Instant::now() + Duration::from_secs(run.options.seconds);
    let mut rng = StdRng::seed_from_u64(run.options.seed);
    let shared = SharedState {
        record: run.record.clone(),
        control_addresses: Rc::new(run.fleet.control_addresses()),
        current: Rc::new(Cell::new(run.current)),
        next: Rc::new(Cell::new(run.next)),
        stop: Rc::default(),
    };
    let mut tasks: Vec<actix_rt::task::JoinHandle<()>> = Vec::new();
    for maker in ["a", "b"] {
        tasks.push(actix_rt::spawn(send_configurations(
            run.caller(),
            shared.clone(),
            maker,
        )));
    }
    tasks.push(actix_rt::spawn(resend_commands(run.caller(), shared.clone())));
    for n in 0..2 {
        tasks.push(actix_rt::spawn(read_configurations(
            run.caller(),
            shared.clone(),
            n,
        )));
    }
    let mut counts = std::collections::BTreeMap::new();
    while Instant::now() < deadline {
        let fault = *FAULTS.choose(&mut rng).ok_or("no faults")?;
        *counts.entry(format!("{fault:?}")).or_insert(0) += 1;
        inject_fault(run, fault, &mut rng).await?;
        let timeout = Duration::from_secs(COMMAND_TIMEOUT_S);
        let answer = run
            .operator
            .retry_until_definite(Operation::Read, &run.fleet.running_control_addresses(), timeout)
            .await;
        if !matches!(answer, Answer::Success(_)) {
            run.report_violation(format!(
                "after {fault:?}: no read within {COMMAND_TIMEOUT_S} s: {answer:?}"
            ));
            break;
        }
    }
    shared.stop.set(true);
    join_all(tasks).await;
    run.log_progress(format!(
        "seed {}; {counts:?}; version {}",
        run.options.seed,
        shared.current.get()
    ));
    run.read_back().await;
    Ok(())
}

/// Injects a fault, and waits until it is over.
async fn inject_fault(run: &mut Run, fault: Fault, rng: &mut StdRng) -> Result<(), ScenarioError> {
    let leader = run
        .fleet
        .wait_for_leader(Duration::from_secs(2 * COMMAND_TIMEOUT_S))
        .await?;
    let random_number = rng.gen_range(1..=5);
    let number = match fault {
        Fault::KillLeader | Fault::FreezeLeader | Fault::WipeLeader => leader,
        _ => random_number,
    };
    let duration_ms = rng.gen_range(0..2500);
    run.log_progress(format!(
        "{fault:?} of node {number} for {duration_ms} ms; node {leader} leads"
    ));
    match fault {
        Fault::Kill | Fault::KillLeader => {
            run.fleet.node(number)?.kill();
            pause(duration_ms).await;
            run.fleet.restart(number)?;
        }
        Fault::Freeze | Fault::FreezeLeader => {
            run.fleet.node(number)?.freeze()?;
            pause(duration_ms).await;
            run.fleet.node(number)?.thaw()?;
        }
        Fault::Terminate => {
            run.fleet.node(number)?.terminate()?;
            if let Err(e) = run.fleet.wait_for_exit(number, Duration::from_secs(6)).await {
                run.report_violation(e);
                run.fleet.node(number)?.kill();
            }
            run.fleet.restart(number)?;
        }
        Fault::Wipe | Fault::WipeLeader => {
            // Only one disk is lost at a time, each loss lasting until `CatchUp` is over.
            pause(CATCH_UP_MS).await;
            let node = run.fleet.node(number)?;
            node.kill();
            node.wipe()?;
            pause(duration_ms).await;
            run.fleet.restart(number)?;
            pause(CATCH_UP_MS).await;
        }
        Fault::KillAll => {
            let all: Vec<u8> = run.fleet.nodes.iter().map(|n| n.number).collect();
            for number in &all {
                run.fleet.node(*number)?.kill();
            }
            pause(duration_ms / 4).await;
            for number in &all {
                run.fleet.restart(*number)?;
            }
        }
    }
    pause(rng.gen_range(0..1500)).await;
    Ok(())
}

impl SharedState {
    fn random_control_address(&self) -> Option<ControlAddress> {
        self.control_addresses.choose(&mut rand::thread_rng()).copied()
    }

    fn observe_version(&self, version: u64) {
        self.current.set(self.current.get().max(version));
    }

    /// Updates the newest seen version from a configuration that was read.
    fn observe_configuration(&self, body: &[u8]) {
        let history = self.record.history();
        let command = history.commands.iter().find(|c| c.body == body);
        self.observe_version(command.map_or(0, |c| c.version));
    }
}

/// Sends one configuration after the other, each based on the newest version seen.
async fn send_configurations(caller: Operator, shared: SharedState, maker: &'static str) {
    while !shared.stop.get() {
        let base = shared.current.get();
        let version = shared.next.get();
        shared.next.set(version + 1);
        let command = shared
            .record
            .command(base, version, orders::configuration(version, maker, ROUTES));
        let mut control_addresses = shared.control_addresses.to_vec();
        control_addresses.shuffle(&mut rand::thread_rng());
        let timeout = Duration::from_secs(DEFINITE_ANSWER_S);
        match caller
            .retry_until_definite(Operation::Replace(command), &control_addresses, timeout)
            .await
        {
            Answer::Success(_) => shared.observe_version(version),
            _ => {
                if let Answer::Success(body) = caller
                    .retry_until_definite(Operation::Read, &control_addresses, timeout)
                    .await
                {
                    shared.observe_configuration(&body);
                }
            }
        }
        pause(CALL_INTERVAL_MS).await;
    }
}

/// Sends earlier commands again, unchanged.
async fn resend_commands(caller: Operator, shared: SharedState) {
    while !shared.stop.get() {
        let commands = shared.record.history().commands.len();
        let command = rand::thread_rng().gen_range(commands.saturating_sub(RESEND_WINDOW)..commands.max(1));
        if let Some(control_address) = shared.random_control_address() {
            caller
                .send_once(Operation::Replace(command), control_address)
                .await;
        }
        pause(CALL_INTERVAL_MS).await;
    }
}

async fn read_configurations(caller: Operator, shared: SharedState, number: usize) {
    let mut turn = 0;
    while !shared.stop.get() {
        turn += 1;
        let Some(control_address) = shared.random_control_address() else {
            return;
        };
        if turn % 4 == 0 {
            let mark = format!("bad-{number}-{turn}");
            let body = orders::invalid(1_000_000, &mark);
            caller
                .send_once_with_body(Operation::Invalid(mark), body, control_address)
                .await;
        } else {
            caller.send_once(Operation::Read, control_address).await;
        }
        pause(CALL_INTERVAL_MS).await;
    }
}
