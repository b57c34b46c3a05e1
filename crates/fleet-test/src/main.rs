//! Runs fault-injection scenarios on a fleet of real processes, or starts a fleet for inspection.

use clap::{Parser, Subcommand};
use fleet_test::fleet::{Fleet, Plan};
use fleet_test::program;
use fleet_test::scenarios::{by_name, Options, Pace, Scenario, Verdict, ALL, STORM};
use fleet_test::soak;
use fleet_test::soak::shape::ShapeName;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;
use tokio::signal::unix::{signal, SignalKind};

/// Exit codes.
mod exit {
    /// A rule was broken.
    pub const BROKEN: u8 = 1;
    /// A scenario could not be run.
    pub const NOT_RUN: u8 = 3;
    /// The run was interrupted.
    pub const INTERRUPTED: u8 = 130;
}

#[derive(Parser)]
#[command(
    name = "fleet-test",
    version,
    about = "Injects faults with a small fleet of real pebblepond processes on loopback addresses",
    after_help = "Exit codes: 0 all rules held; 1 a rule was broken; 2 wrong usage; 3 a scenario could not be run; 130 interrupted."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// The pebblepond program to start; by default the one next to this program.
    #[arg(long, global = true, value_name = "PATH")]
    program: Option<PathBuf>,
    /// The program that `rolling-upgrade` upgrades to.
    #[arg(long, value_name = "PATH")]
    other_program: Option<PathBuf>,
    /// Shorter freezes and fewer changes.
    #[arg(long, global = true)]
    short: bool,
    /// Keep the fleet's folder with its logs.
    #[arg(long, global = true)]
    keep: bool,
}

#[derive(Subcommand)]
enum Command {
    /// List the scenarios.
    List,
    /// Run all scenarios, one after the other.
    All,
    /// Run the named scenarios.
    Run {
        #[arg(required = true, value_name = "SCENARIO")]
        names: Vec<String>,
    },
    /// Inject random faults for some time.
    Storm {
        /// Time during which faults are injected, in seconds.
        #[arg(default_value_t = 60)]
        seconds: u64,
        /// Seed of the random faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Run a fleet with clients, workers and operators under series of faults, and check what they
    /// observed.
    Soak {
        /// Seed of the random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Time during which faults are injected, in seconds.
        #[arg(long = "for", default_value_t = 60, value_name = "SECONDS")]
        seconds: u64,
        /// Number of machines, five of them with a disk.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u8).range(5..=100))]
        machines: u8,
        /// Number of clients.
        #[arg(long, default_value_t = 24)]
        clients: usize,
        /// How machines and workers are spread.
        #[arg(long, value_enum, default_value_t)]
        shape: ShapeName,
        /// Two operators evacuate the same zone.
        #[arg(long)]
        shared_zone: bool,
        /// All processes are killed at the same moment from time to time.
        #[arg(long)]
        kills_of_all: bool,
    },
    /// Start a fleet, print where each node listens, and wait.
    Up {
        /// Number of machines with a disk.
        #[arg(default_value_t = 5, value_parser = clap::value_parser!(u8).range(1..=9))]
        machines: u8,
        /// Number of machines without a disk.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(0..=5))]
        without_disk: u8,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let scenarios: Vec<&Scenario> = match &cli.command {
        Command::List => {
            for s in &ALL {
                println!("{:14} {}", s.name, s.about);
            }
            return ExitCode::SUCCESS;
        }
        Command::All => ALL.iter().collect(),
        Command::Run { names } => {
            let found: Option<Vec<&Scenario>> = names.iter().map(|n| by_name(n)).collect();
            let Some(found) = found else {
                eprintln!("fleet-test: unknown scenario; `fleet-test list` shows all of them");
                return ExitCode::from(2);
            };
            found
        }
        Command::Storm { .. } => vec![&STORM],
        Command::Up { .. } | Command::Soak { .. } => Vec::new(),
    };
    let program = match cli.program.clone().map_or_else(program::find, Ok) {
        Ok(program) => program,
        Err(e) => {
            eprintln!("fleet-test: {e}");
            return ExitCode::from(exit::NOT_RUN);
        }
    };
    actix_rt::System::new().block_on(async {
        tokio::select! {
            // Dropping the future ends everything that it started.
            () = wait_for_interrupt() => {
                eprintln!("fleet-test: interrupted; the fleet was stopped");
                ExitCode::from(exit::INTERRUPTED)
            }
            code = run_command(&cli, &scenarios, &program) => code,
        }
    })
}

async fn wait_for_interrupt() {
    let kinds = [
        SignalKind::interrupt(),
        SignalKind::terminate(),
        SignalKind::hangup(),
    ];
    let mut signals: Vec<_> = kinds.into_iter().filter_map(|k| signal(k).ok()).collect();
    let waits = signals.iter_mut().map(|s| Box::pin(s.recv()));
    futures_util::future::select_all(waits).await;
}

async fn run_command(cli: &Cli, scenarios: &[&Scenario], program: &Path) -> ExitCode {
    if let Command::Up {
        machines,
        without_disk,
    } = cli.command
    {
        return run_fleet(program, machines, without_disk, cli.keep).await;
    }
    if let Command::Soak {
        seed,
        seconds,
        machines,
        clients,
        shape,
        shared_zone,
        kills_of_all,
    } = cli.command
    {
        let options = soak::Options {
            seed,
            seconds,
            machines,
            clients,
            shape: shape.into(),
            is_zone_shared: shared_zone,
            kills_all: kills_of_all,
            keep: cli.keep,
        };
        return run_soak(program, options).await;
    }
    let other_program = match cli.other_program.as_ref().map(|path| path.canonicalize()) {
        None => None,
        Some(Ok(path)) => Some(path),
        Some(Err(e)) => {
            eprintln!("fleet-test: --other-program: {e}");
            return ExitCode::from(exit::NOT_RUN);
        }
    };
    let pace = if cli.short { Pace::Short } else { Pace::Full };
    let mut options = Options {
        keep: cli.keep,
        other_program,
        ..Options::with_pace(pace)
    };
    if let Command::Storm { seconds, seed } = cli.command {
        (options.seconds, options.seed) = (seconds, seed);
    }
    run_scenarios(scenarios, program, &options).await
}

/// Runs scenarios one after the other, and prints the outcome of each.
async fn run_scenarios(scenarios: &[&Scenario], program: &Path, options: &Options) -> ExitCode {
    let mut code = 0;
    let mut lines = Vec::new();
    let all_started = Instant::now();
    for scenario in scenarios {
        println!("{}: {}", scenario.name, scenario.about);
        let started = Instant::now();
        let verdict = scenario.execute(program, options.clone()).await;
        let (outcome, exit_code) = match &verdict {
            Verdict::Passed => ("held".to_string(), 0),
            Verdict::Failed(violations) => (format!("BROKEN, {} times", violations.len()), exit::BROKEN),
            Verdict::NotRun(why) => (format!("NOT RUN: {why}"), exit::NOT_RUN),
        };
        if let Verdict::Failed(violations) = &verdict {
            print_violations(violations);
        }
        let line = format!(
            "{:14} {:5.1} s  {outcome}",
            scenario.name,
            started.elapsed().as_secs_f32()
        );
        println!("{line}\n");
        lines.push(line);
        if code != exit::BROKEN && exit_code != 0 {
            code = exit_code;
        }
    }
    println!(
        "{}\ntotal {:.1} s",
        lines.join("\n"),
        all_started.elapsed().as_secs_f32()
    );
    ExitCode::from(code)
}

/// Violations printed per scenario or soak.
const MAX_SHOWN_VIOLATIONS: usize = 12;

fn print_violations(violations: &[String]) {
    for violation in violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        println!("  - {violation}");
    }
    if violations.len() > MAX_SHOWN_VIOLATIONS {
        println!("  - and {} more", violations.len() - MAX_SHOWN_VIOLATIONS);
    }
}

async fn run_soak(program: &Path, options: soak::Options) -> ExitCode {
    let report = match soak::run(program, options).await {
        Ok(report) => report,
        Err(e) => {
            eprintln!("fleet-test: {e}");
            return ExitCode::from(exit::NOT_RUN);
        }
    };
    let violation_count = report.violations.len();
    for (violation, lines) in report.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        println!(
            "{} at {} ms: {}",
            violation.rule, violation.at, violation.description
        );
        for line in lines.iter().rev().take(MAX_SHOWN_LOG_LINES).rev() {
            println!("    {line}");
        }
    }
    let mut by_rule: BTreeMap<&str, usize> = BTreeMap::new();
    for (violation, _) in &report.violations {
        *by_rule.entry(violation.rule).or_default() += 1;
    }
    let verdict = match violation_count {
        0 => "held".to_string(),
        _ => format!("BROKEN, {violation_count} times {by_rule:?}"),
    };
    println!("seed {}: {verdict}; {}", options.seed, report.summary);
    ExitCode::from(if violation_count > 0 { exit::BROKEN } else { 0 })
}

/// Log lines printed per violation.
const MAX_SHOWN_LOG_LINES: usize = 40;

async fn run_fleet(program: &Path, with_disk: u8, without_disk: u8, keep: bool) -> ExitCode {
    let plan = Plan {
        with_disk,
        without_disk,
        tolerated_regions: 0,
        zones: None,
    };
    let mut fleet = match Fleet::start(program, plan) {
        Ok(fleet) => fleet,
        Err(e) => {
            eprintln!("fleet-test: {e}");
            return ExitCode::from(exit::NOT_RUN);
        }
    };
    if keep {
        fleet.keep();
    }
    println!(
        "folder {}  platform {}  process group {}",
        fleet.folder().display(),
        fleet.net().platform(),
        fleet.group()
    );
    for node in &fleet.nodes {
        let (net, n) = (fleet.net(), node.number);
        println!(
            "{:14} control {}  front {}  readiness {}  directory {}  {}",
            node.name(),
            net.control(n),
            net.front(n),
            net.readiness(n),
            net.directory(n),
            if node.has_disk { "disk" } else { "no disk" }
        );
    }
    println!("running until interrupted");
    loop {
        actix_rt::time::sleep(std::time::Duration::from_secs(1)).await;
        for exit_description in fleet.unexpected_exits() {
            println!("{exit_description}");
        }
    }
}
