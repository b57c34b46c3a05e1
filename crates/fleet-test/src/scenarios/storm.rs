//! Faults drawn by lot while operators race, resend and read. Not one of the five:
//! it is for searches as long as one likes, and shows nothing twice alike.

use super::{pause, Run, CATCH_UP_MS, CLEAR_S};
use crate::checker::{Answer, Asked};
use crate::operator::{ControlAddress, Operator, Record};
use crate::{orders, ScenarioError};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time in which an operator wants a clear answer before it looks again, s.
const ORDER_S: u64 = 4;
/// Routes of a configuration: some kilobytes.
const ROUTES: usize = 12;
/// Newest orders of which one is sent again, orders: fewer than the system remembers.
const SENT_AGAIN: usize = 100;
/// Pause of an operator between two calls, ms.
const EVERY_MS: u64 = 25;

/// What all operators know.
#[derive(Clone)]
struct Known {
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
    run.open().await?;
    let until = Instant::now() + Duration::from_secs(run.options.seconds);
    let mut rng = StdRng::seed_from_u64(run.options.seed);
    let known = Known {
        record: run.record.clone(),
        control_addresses: Rc::new(run.fleet.control_addresses()),
        current: Rc::new(Cell::new(run.current)),
        next: Rc::new(Cell::new(run.next)),
        stop: Rc::default(),
    };
    let mut work: Vec<actix_rt::task::JoinHandle<()>> = Vec::new();
    for maker in ["a", "b"] {
        work.push(actix_rt::spawn(write(run.caller(), known.clone(), maker)));
    }
    work.push(actix_rt::spawn(send_again(run.caller(), known.clone())));
    for n in 0..2 {
        work.push(actix_rt::spawn(read(run.caller(), known.clone(), n)));
    }
    let mut counts = std::collections::BTreeMap::new();
    while Instant::now() < until {
        let fault = *FAULTS.choose(&mut rng).ok_or("no faults")?;
        *counts.entry(format!("{fault:?}")).or_insert(0) += 1;
        befall(run, fault, &mut rng).await?;
        let within = Duration::from_secs(CLEAR_S);
        let answer = run
            .operator
            .settle(Asked::Read, &run.fleet.running(), within)
            .await;
        if !matches!(answer, Answer::Good(_)) {
            run.broken(format!("after {fault:?}: no read within {CLEAR_S} s: {answer:?}"));
            break;
        }
    }
    known.stop.set(true);
    join_all(work).await;
    run.say(format!(
        "seed {}; {counts:?}; version {}",
        run.options.seed,
        known.current.get()
    ));
    run.read_back().await;
    Ok(())
}

/// One fault, and the time that it takes to be over.
async fn befall(run: &mut Run, fault: Fault, rng: &mut StdRng) -> Result<(), ScenarioError> {
    let leader = run
        .fleet
        .wait_for_leader(Duration::from_secs(2 * CLEAR_S))
        .await?;
    let anyone = rng.gen_range(1..=5);
    let number = match fault {
        Fault::KillLeader | Fault::FreezeLeader | Fault::WipeLeader => leader,
        _ => anyone,
    };
    let length = rng.gen_range(0..2500);
    run.say(format!(
        "{fault:?} of node {number} for {length} ms; node {leader} leads"
    ));
    match fault {
        Fault::Kill | Fault::KillLeader => {
            run.fleet.node(number)?.kill();
            pause(length).await;
            run.fleet.restart(number)?;
        }
        Fault::Freeze | Fault::FreezeLeader => {
            run.fleet.node(number)?.freeze()?;
            pause(length).await;
            run.fleet.node(number)?.thaw()?;
        }
        Fault::Terminate => {
            run.fleet.node(number)?.terminate()?;
            if let Err(e) = run.fleet.wait_for_end(number, Duration::from_secs(6)).await {
                run.broken(e);
                run.fleet.node(number)?.kill();
            }
            run.fleet.restart(number)?;
        }
        Fault::Wipe | Fault::WipeLeader => {
            // No more than one loss at a time, each until `CatchUp` is over.
            pause(CATCH_UP_MS).await;
            let node = run.fleet.node(number)?;
            node.kill();
            node.wipe()?;
            pause(length).await;
            run.fleet.restart(number)?;
            pause(CATCH_UP_MS).await;
        }
        Fault::KillAll => {
            let all: Vec<u8> = run.fleet.nodes.iter().map(|n| n.number).collect();
            for number in &all {
                run.fleet.node(*number)?.kill();
            }
            pause(length / 4).await;
            for number in &all {
                run.fleet.restart(*number)?;
            }
        }
    }
    pause(rng.gen_range(0..1500)).await;
    Ok(())
}

impl Known {
    fn any(&self) -> Option<ControlAddress> {
        self.control_addresses.choose(&mut rand::thread_rng()).copied()
    }

    fn saw(&self, version: u64) {
        self.current.set(self.current.get().max(version));
    }

    /// Learns the version of a configuration that was read.
    fn saw_body(&self, body: &[u8]) {
        let history = self.record.history();
        let order = history.orders.iter().find(|o| o.body == body);
        self.saw(order.map_or(0, |o| o.version));
    }
}

/// Commands one configuration after the other on what is known to be current.
async fn write(caller: Operator, known: Known, maker: &'static str) {
    while !known.stop.get() {
        let base = known.current.get();
        let version = known.next.get();
        known.next.set(version + 1);
        let order = known
            .record
            .order(base, version, orders::configuration(version, maker, ROUTES));
        let mut control_addresses = known.control_addresses.to_vec();
        control_addresses.shuffle(&mut rand::thread_rng());
        let within = Duration::from_secs(ORDER_S);
        match caller
            .settle(Asked::Replace(order), &control_addresses, within)
            .await
        {
            Answer::Good(_) => known.saw(version),
            _ => {
                if let Answer::Good(body) = caller.settle(Asked::Read, &control_addresses, within).await {
                    known.saw_body(&body);
                }
            }
        }
        pause(EVERY_MS).await;
    }
}

/// Sends orders that were sent before again, as they were.
async fn send_again(caller: Operator, known: Known) {
    while !known.stop.get() {
        let orders = known.record.history().orders.len();
        let order = rand::thread_rng().gen_range(orders.saturating_sub(SENT_AGAIN)..orders.max(1));
        if let Some(control_address) = known.any() {
            caller.ask(Asked::Replace(order), control_address).await;
        }
        pause(EVERY_MS).await;
    }
}

async fn read(caller: Operator, known: Known, number: usize) {
    let mut turn = 0;
    while !known.stop.get() {
        turn += 1;
        let Some(control_address) = known.any() else {
            return;
        };
        if turn % 4 == 0 {
            let mark = format!("bad-{number}-{turn}");
            let body = orders::invalid(1_000_000, &mark);
            caller.ask_with(Asked::Invalid(mark), body, control_address).await;
        } else {
            caller.ask(Asked::Read, control_address).await;
        }
        pause(EVERY_MS).await;
    }
}
