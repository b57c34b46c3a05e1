//! Runs faults with a fleet of real processes, or starts one to look at.

use clap::{Parser, Subcommand};
use fleet_test::fleet::{Fleet, Plan};
use fleet_test::program;
use fleet_test::scenarios::{by_name, Options, Pace, Scenario, Verdict, ALL, STORM};
use fleet_test::soak;
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
    /// The program to start; the one beside this program if left out.
    #[arg(long, global = true, value_name = "PATH")]
    program: Option<PathBuf>,
    /// Another program, for `rolling-upgrade`.
    #[arg(long, value_name = "PATH")]
    other_program: Option<PathBuf>,
    /// Shorter freezes and fewer changes.
    #[arg(long, global = true)]
    short: bool,
    /// Leave the fleet's folder with its logs where it is.
    #[arg(long, global = true)]
    keep: bool,
}

#[derive(Subcommand)]
enum Command {
    /// List the scenarios.
    List,
    /// Run all scenarios, one after the other.
    All,
    /// Run these scenarios.
    Run {
        #[arg(required = true, value_name = "SCENARIO")]
        names: Vec<String>,
    },
    /// Inject random faults for a while.
    Storm {
        /// Time for faults, s.
        #[arg(default_value_t = 60)]
        seconds: u64,
        /// What the faults are drawn by.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Run a fleet with clients, workers and operators under faults in series, and judge what they saw.
    Soak {
        /// What everything is drawn by.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Time with faults, s.
        #[arg(long = "for", default_value_t = 60, value_name = "SECONDS")]
        seconds: u64,
        /// Machines, five of them with a disk.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u8).range(5..=100))]
        machines: u8,
        /// Clients.
        #[arg(long, default_value_t = 24)]
        clients: usize,
        /// Two operators evacuate the same zone.
        #[arg(long)]
        shared_zone: bool,
    },
    /// Start a fleet, print where each node listens, and wait.
    Up {
        /// Machines with a disk.
        #[arg(default_value_t = 5, value_parser = clap::value_parser!(u8).range(1..=9))]
        machines: u8,
        /// Machines without one.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(0..=5))]
        without_disk: u8,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let chosen: Vec<&Scenario> = match &cli.command {
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
                eprintln!("fleet-test: no such scenario; `list` names them");
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
            // What was started ends with the future that owns it.
            () = interrupted() => {
                eprintln!("fleet-test: interrupted; the fleet is ended");
                ExitCode::from(exit::INTERRUPTED)
            }
            code = work(&cli, &chosen, &program) => code,
        }
    })
}

async fn interrupted() {
    let kinds = [
        SignalKind::interrupt(),
        SignalKind::terminate(),
        SignalKind::hangup(),
    ];
    let mut signals: Vec<_> = kinds.into_iter().filter_map(|k| signal(k).ok()).collect();
    let waits = signals.iter_mut().map(|s| Box::pin(s.recv()));
    futures_util::future::select_all(waits).await;
}

async fn work(cli: &Cli, chosen: &[&Scenario], program: &Path) -> ExitCode {
    if let Command::Up {
        machines,
        without_disk,
    } = cli.command
    {
        return up(program, machines, without_disk, cli.keep).await;
    }
    if let Command::Soak {
        seed,
        seconds,
        machines,
        clients,
        shared_zone,
    } = cli.command
    {
        let options = soak::Options {
            seed,
            seconds,
            machines,
            clients,
            is_zone_shared: shared_zone,
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
        ..Options::of(pace)
    };
    if let Command::Storm { seconds, seed } = cli.command {
        (options.seconds, options.seed) = (seconds, seed);
    }
    run_scenarios(chosen, program, &options).await
}

/// Runs scenarios one after the other, and prints what each came to.
async fn run_scenarios(chosen: &[&Scenario], program: &Path, options: &Options) -> ExitCode {
    let mut code = 0;
    let mut lines = Vec::new();
    let all = Instant::now();
    for scenario in chosen {
        println!("{}: {}", scenario.name, scenario.about);
        let begun = Instant::now();
        let verdict = scenario.execute(program, options.clone()).await;
        let (word, worse) = match &verdict {
            Verdict::Held => ("held".to_string(), 0),
            Verdict::Broken(faults) => (format!("BROKEN, {} times", faults.len()), exit::BROKEN),
            Verdict::ScenarioError(why) => (format!("NOT RUN: {why}"), exit::NOT_RUN),
        };
        if let Verdict::Broken(faults) = &verdict {
            show(faults);
        }
        let line = format!(
            "{:14} {:5.1} s  {word}",
            scenario.name,
            begun.elapsed().as_secs_f32()
        );
        println!("{line}\n");
        lines.push(line);
        if code != exit::BROKEN && worse != 0 {
            code = worse;
        }
    }
    println!(
        "{}\nin all {:.1} s",
        lines.join("\n"),
        all.elapsed().as_secs_f32()
    );
    ExitCode::from(code)
}

/// Faults printed of each scenario, lines.
const SHOWN: usize = 12;

fn show(faults: &[String]) {
    for fault in faults.iter().take(SHOWN) {
        println!("  - {fault}");
    }
    if faults.len() > SHOWN {
        println!("  - and {} more", faults.len() - SHOWN);
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
    let broken = report.violations.len();
    for (violation, lines) in report.violations.iter().take(SHOWN) {
        println!("{} at {} ms: {}", violation.rule, violation.at, violation.what);
        for line in lines.iter().rev().take(LOG_LINES).rev() {
            println!("    {line}");
        }
    }
    let verdict = match broken {
        0 => "held".to_string(),
        _ => format!("BROKEN, {broken} times"),
    };
    println!("seed {}: {verdict}; {}", options.seed, report.summary);
    ExitCode::from(if broken > 0 { exit::BROKEN } else { 0 })
}

/// Log lines printed with a breach, lines.
const LOG_LINES: usize = 40;

async fn up(program: &Path, with_disk: u8, without_disk: u8, keep: bool) -> ExitCode {
    let plan = Plan {
        with_disk,
        without_disk,
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
    println!("until interrupted");
    loop {
        actix_rt::time::sleep(std::time::Duration::from_secs(1)).await;
        for ended in fleet.ended_by_themselves() {
            println!("{ended}");
        }
    }
}
