//! Measures how long a command takes on a fleet of real processes: without faults, with one machine
//! with a disk dead, and with one frozen. Several programs are measured in turns within one run, so
//! that other load on the machine affects them alike.
//!
//!     cargo run --release -p pebblepond-fleet-test --example pace -- --orders 100 OLD NEW

use clap::Parser;
use fleet_test::checker::Operation;
use fleet_test::fleet::{Fleet, Plan};
use fleet_test::operator::{Operator, Record};
use fleet_test::orders::configuration;
use fleet_test::ScenarioError;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest wait for one command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the voters to join and for a loss to be detected.
const SETTLE_TIME: Duration = Duration::from_secs(4);

#[derive(Parser)]
struct Args {
    /// Number of commands in each state.
    #[arg(long, default_value_t = 100)]
    orders: u64,
    /// Number of routes in each configuration.
    #[arg(long, default_value_t = 20)]
    routes: usize,
    /// Number of turns, each with a fleet of its own.
    #[arg(long, default_value_t = 2)]
    turns: usize,
    #[arg(required = true)]
    programs: Vec<PathBuf>,
}

const STATES: [&str; 3] = ["calm", "one dead", "one frozen"];

fn main() -> Result<(), ScenarioError> {
    let args = Args::parse();
    actix_rt::System::new().block_on(async {
        let mut times = vec![vec![Vec::new(); STATES.len()]; args.programs.len()];
        for turn in 0..args.turns {
            for (program, times) in args.programs.iter().zip(&mut times) {
                eprintln!("turn {turn}: {}", program.display());
                run_pace(&args, program, times).await?;
            }
        }
        for (program, times) in args.programs.iter().zip(&mut times) {
            println!("{}", program.display());
            for (state, times) in STATES.iter().zip(times) {
                times.sort_by(f64::total_cmp);
                let percentile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
                println!(
                    "  {state:11} {} commands: median {:.1} ms, p99 {:.1} ms, max {:.1} ms",
                    times.len(),
                    percentile(0.5),
                    percentile(0.99),
                    percentile(1.0)
                );
            }
        }
        Ok(())
    })
}

async fn run_pace(
    args: &Args,
    program: &std::path::Path,
    times: &mut [Vec<f64>],
) -> Result<(), ScenarioError> {
    let plan = Plan {
        with_disk: 5,
        without_disk: 1,
        tolerated_regions: 0,
        zones: None,
    };
    let mut fleet = Fleet::start(program, plan)?;
    let record = Record::default();
    let operator = Operator::new(&record);
    let mut version = 0;
    actix_rt::time::sleep(SETTLE_TIME).await;
    for (state, times) in times.iter_mut().enumerate() {
        let leader = fleet.wait_for_leader(COMMAND_TIMEOUT).await?;
        let follower = (1..=plan.with_disk)
            .find(|n| *n != leader)
            .ok_or("the fleet has only one node")?;
        match state {
            1 => fleet.node(follower)?.kill(),
            2 => {
                fleet.restart(follower)?;
                actix_rt::time::sleep(SETTLE_TIME).await;
                fleet.node(follower)?.freeze()?;
            }
            _ => {}
        }
        actix_rt::time::sleep(SETTLE_TIME).await;
        let leader = fleet.wait_for_leader(COMMAND_TIMEOUT).await?;
        for _ in 0..args.orders {
            let n = record.command(
                version,
                version + 1,
                configuration(version + 1, "pace", args.routes),
            );
            let started = Instant::now();
            let answer = operator
                .retry_until_definite(
                    Operation::Replace(n),
                    &[fleet.control_address(leader)],
                    COMMAND_TIMEOUT,
                )
                .await;
            if !matches!(answer, fleet_test::checker::Answer::Success(_)) {
                return Err(format!("command {n} was not acknowledged: {answer:?}").into());
            }
            times.push(started.elapsed().as_secs_f64() * 1000.0);
            version += 1;
        }
        eprintln!("  {}: {} commands", STATES[state], times.len());
    }
    fleet.stop().await;
    Ok(())
}
