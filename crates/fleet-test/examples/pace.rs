//! How long an order takes, on a fleet of real processes: calm, with a machine with a
//! disk dead, and with one frozen. Several programs are measured by turns in one run, so
//! that what else the machine does strikes them alike.
//!
//!     cargo run --release -p pebblepond-fleet-test --example pace -- --orders 100 OLD NEW

use clap::Parser;
use fleet_test::checker::Asked;
use fleet_test::fleet::{Fleet, Plan};
use fleet_test::operator::{Operator, Record};
use fleet_test::orders::configuration;
use fleet_test::ScenarioError;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest that one order is waited for.
const WITHIN: Duration = Duration::from_secs(20);
/// Time for the voters to join, and for a loss to be noticed.
const SETTLE: Duration = Duration::from_secs(4);

#[derive(Parser)]
struct Args {
    /// Orders in each state.
    #[arg(long, default_value_t = 100)]
    orders: u64,
    /// Routes of each configuration.
    #[arg(long, default_value_t = 20)]
    routes: usize,
    /// Turns, each with a fleet of its own.
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
                let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
                println!(
                    "  {state:11} {} orders: middle {:.1} ms, p99 {:.1} ms, most {:.1} ms",
                    times.len(),
                    at(0.5),
                    at(0.99),
                    at(1.0)
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
    };
    let mut fleet = Fleet::start(program, plan)?;
    let record = Record::default();
    let operator = Operator::new(&record);
    let mut version = 0;
    actix_rt::time::sleep(SETTLE).await;
    for (state, times) in times.iter_mut().enumerate() {
        let leader = fleet.wait_for_leader(WITHIN).await?;
        let follower = (1..=plan.with_disk)
            .find(|n| *n != leader)
            .ok_or("one node only")?;
        match state {
            1 => fleet.node(follower)?.kill(),
            2 => {
                fleet.restart(follower)?;
                actix_rt::time::sleep(SETTLE).await;
                fleet.node(follower)?.freeze()?;
            }
            _ => {}
        }
        actix_rt::time::sleep(SETTLE).await;
        let leader = fleet.wait_for_leader(WITHIN).await?;
        for _ in 0..args.orders {
            let n = record.order(
                version,
                version + 1,
                configuration(version + 1, "pace", args.routes),
            );
            let begun = Instant::now();
            let answer = operator
                .settle(Asked::Replace(n), &[fleet.control_address(leader)], WITHIN)
                .await;
            if !matches!(answer, fleet_test::checker::Answer::Good(_)) {
                return Err(format!("order {n}: {answer:?}").into());
            }
            times.push(begun.elapsed().as_secs_f64() * 1000.0);
            version += 1;
        }
        eprintln!("  {}: {} orders", STATES[state], times.len());
    }
    fleet.stop().await;
    Ok(())
}
