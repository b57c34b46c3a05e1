//! Runs random plans and searches for violations of the guarantees.
//!
//! ```text
//! cargo run --release -p pebblepond-simulation --example explore -- --worlds 10000 --seed 1
//! cargo run --release -p pebblepond-simulation --example explore -- --replay 4711
//! ```

use clap::Parser;
use simulation::command_handler::Mutant;
use simulation::exploration::{run_and_check, Coverage};
use simulation::plan::{Plan, PlanTree};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Parser)]
#[command(about = "Runs random plans and checks the observations")]
struct Args {
    /// Number of random plans to run.
    #[arg(long, default_value_t = 1000)]
    worlds: u64,
    /// The seed of the first plan; the others use the consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of threads.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// Upper bound of the number of steps of a plan.
    #[arg(long, default_value_t = 60)]
    steps: usize,
    /// Runs the plan of one seed, shrinks it if it fails, and prints the history.
    #[arg(long)]
    replay: Option<u64>,
    /// Prints the history of the complete plan instead of the smallest failing one.
    #[arg(long)]
    whole: bool,
    /// Appends evacuations with restarts of all processes in between to each plan.
    #[arg(long)]
    restarts: bool,
    /// Time after which the search ends, in seconds.
    #[arg(long, default_value_t = 3600)]
    seconds: u64,
}

thread_local! {
    static SEED: Cell<u64> = const { Cell::new(0) };
}

/// Largest number of shrinking steps for a failing plan.
const MAX_SHRINK_STEPS: usize = 1500;

fn replay_line(seed: u64, args: &Args) -> String {
    let (steps, restarts) = (args.steps, if args.restarts { " --restarts" } else { "" });
    format!(
        "cargo run --release -p pebblepond-simulation --example explore -- --steps {steps}{restarts} --replay {seed}"
    )
}

/// Returns a plan with the steps that the arguments ask for besides.
fn complete(plan: Plan, args: &Args) -> Plan {
    if args.restarts {
        plan.with_restarts_of_all()
    } else {
        plan
    }
}

fn main() {
    let args = Args::parse();
    let previous_hook = std::panic::take_hook();
    let hook_args = args.clone();
    std::panic::set_hook(Box::new(move |panic| {
        println!("panic: replay with: {}", replay_line(SEED.get(), &hook_args));
        previous_hook(panic);
    }));
    match args.replay {
        Some(seed) => replay(seed, &args),
        None => search(&args),
    }
}

fn replay(seed: u64, args: &Args) {
    SEED.set(seed);
    let Ok(mut tree) = PlanTree::of_seed(seed, args.steps) else {
        println!("seed {seed} gives no plan");
        return;
    };
    let mut plan = tree.plan();
    let (_, violations, _) = run_and_check(&complete(plan.clone(), args), Mutant::None);
    if let (false, Some(first)) = (args.whole, violations.first()) {
        // The first word of a violation is its kind; the smaller plan must fail with the same kind.
        let kind = first.split_whitespace().next().unwrap_or("").to_string();
        let fails = |plan: &_| {
            run_and_check(&complete(Plan::clone(plan), args), Mutant::None)
                .1
                .iter()
                .any(|violation| violation.starts_with(&kind))
        };
        plan = tree.smallest(MAX_SHRINK_STEPS, fails);
    }
    let plan = complete(plan, args);
    let (coverage, violations, history) = run_and_check(&plan, Mutant::None);
    println!(
        "{} disks, {} without, seed {}",
        plan.disks, plan.diskless, plan.seed
    );
    for step in &plan.steps {
        println!("  after {:>4} ms {:?}", step.after, step.what);
    }
    println!("{}", history.trace());
    println!("{coverage:?}");
    for violation in &violations {
        println!("WRONG {violation}");
    }
    std::process::exit(i32::from(!violations.is_empty()));
}

fn search(args: &Args) {
    let next = AtomicU64::new(0);
    let started = Instant::now();
    let total = Mutex::new((Coverage::default(), 0u64, 0u64));
    let failing: Mutex<BTreeMap<u64, Vec<String>>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..args.jobs {
            scope.spawn(|| loop {
                let i = next.fetch_add(1, Ordering::Relaxed);
                if i >= args.worlds || started.elapsed().as_secs() >= args.seconds {
                    return;
                }
                let seed = args.seed + i;
                SEED.set(seed);
                let Ok(tree) = PlanTree::of_seed(seed, args.steps) else {
                    continue;
                };
                let plan = complete(tree.plan(), args);
                let (coverage, violations, history) = run_and_check(&plan, Mutant::None);
                if let Ok(mut total) = total.lock() {
                    total.0.add(&coverage);
                    total.1 += history.events.len() as u64;
                    total.2 += 1;
                }
                if let (false, Ok(mut failing)) = (violations.is_empty(), failing.lock()) {
                    println!("FAILS {}\n  replay: {}", violations[0], replay_line(seed, args));
                    failing.insert(seed, violations);
                }
            });
        }
    });
    let (coverage, events, worlds) = total.into_inner().unwrap_or_default();
    let failing = failing.into_inner().unwrap_or_default();
    let seconds = started.elapsed().as_secs_f64().max(0.001);
    println!(
        "{worlds} worlds from seed {} in {seconds:.1} s: {:.1} a second; {events} events",
        args.seed,
        worlds as f64 / seconds
    );
    println!("reached: {coverage:?}");
    let mut kinds: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for (seed, violations) in &failing {
        let kind = violations[0].split_whitespace().next().unwrap_or("");
        kinds.entry(kind).or_insert((0, *seed)).0 += 1;
    }
    for (kind, (count, seed)) in kinds {
        println!("{count} fail with {kind}, the first at seed {seed}");
    }
    println!("{} failing worlds", failing.len());
    std::process::exit(i32::from(!failing.is_empty()));
}
