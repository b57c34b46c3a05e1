//! The command line: what an operator types. Everything but `serve` talks to
//! `control`, or only reads files.

mod call;
mod check;
mod configuration;
mod keys;
mod rollout;
mod status;

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit codes; they stay as they are.
pub mod exit {
    /// A difference was found, or the system refused the command.
    pub const REFUSED: u8 = 1;
    /// The command line cannot be read.
    pub const USAGE: u8 = 2;
    /// A file is missing, unreadable or invalid.
    pub const INVALID: u8 = 3;
    /// No control address answered in time.
    pub const UNREACHABLE: u8 = 4;
    /// Another version is current.
    pub const CONFLICT: u8 = 5;
}

/// Why a command failed: its exit code and one line.
pub struct Failure(pub u8, pub String);

/// What a command comes to.
type CliResult = Result<(), Failure>;

#[derive(Parser)]
#[command(
    name = "pebblepond",
    version,
    about = "A global load balancer: edge, control and directory in one program",
    after_help = "Exit codes: 0 done; 1 refused, or a difference found; 2 wrong usage; 3 invalid file; 4 no control address answered; 5 another version is current."
)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a node. The path of the settings file stands in PEBBLEPOND_CONFIG.
    Serve(ServeArgs),
    /// Check a settings file, a configuration file, or both; lists what is wrong.
    Check(CheckArgs),
    /// Read, send or compare the configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Empty a zone's workers, or take that back.
    #[command(subcommand)]
    Evacuate(EvacuateCommand),
    /// Move services to new versions, and steer that.
    #[command(subcommand)]
    Rollout(rollout::RolloutCommand),
    /// Show who holds which keys.
    #[command(subcommand)]
    Keys(keys::KeysCommand),
    /// Show leader, members, versions, key holders and fractions.
    Status(ControlArgs),
}

/// How a node is run.
#[derive(Args)]
pub struct ServeArgs {
    /// Pause between two lines of counters in the log, in seconds; 0 for none.
    #[arg(long, default_value_t = config::constants::COUNTERS_INTERVAL_S)]
    pub counters_every: u64,
    /// Least level of what is logged.
    #[arg(long, default_value = "info", value_parser = ["error", "warn", "info", "debug"])]
    pub log_level: String,
}

#[derive(Args)]
#[group(required = true, multiple = true)]
struct CheckArgs {
    /// A settings file (TOML).
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// A configuration file (JSON).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// A file of changes to named items (JSON), checked on top of --config.
    #[arg(long, value_name = "FILE", requires = "config")]
    modify: Option<PathBuf>,
}

#[derive(Args)]
struct ControlArgs {
    /// Control addresses, tried in turn.
    #[arg(long, value_name = "IP:PORT", required = true, value_delimiter = ',')]
    control: Vec<SocketAddrV4>,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Print the newest configuration.
    Get(ControlArgs),
    /// Send a configuration file; it is checked first and never sent invalid.
    Put {
        /// The configuration file (JSON).
        file: PathBuf,
        /// The version it rests on; the current one if left out, 0 for the first.
        #[arg(long)]
        base: Option<u64>,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Change named items; the result is checked first and never sent invalid.
    Modify {
        /// The file of changes (JSON): `Version`, `Upsert`, `Remove`.
        file: PathBuf,
        /// The version it rests on; the current one if left out.
        #[arg(long)]
        base: Option<u64>,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Show what a configuration file, or a file of changes, would change.
    Diff {
        /// The configuration file, or the file of changes (JSON).
        file: PathBuf,
        #[command(flatten)]
        control: ControlArgs,
    },
}

#[derive(Subcommand)]
enum EvacuateCommand {
    /// Send nothing more to the workers of a zone.
    Begin {
        zone: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Take the evacuation of a zone back.
    Finish {
        zone: String,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// Runs a command.
pub fn run<E: std::fmt::Display>(serve: fn(&ServeArgs) -> Result<(), E>) -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(e) => {
            // Help and version are no mistakes.
            let code = if e.use_stderr() { exit::USAGE } else { 0 };
            let _ = e.print();
            return ExitCode::from(code);
        }
    };
    let done = match cli.command {
        Command::Serve(args) => serve(&args).map_err(|e| Failure(exit::INVALID, e.to_string())),
        Command::Check(args) => check::check(
            args.settings.as_deref(),
            args.config.as_deref(),
            args.modify.as_deref(),
        ),
        Command::Config(ConfigCommand::Get(c)) => configuration::get(&c),
        Command::Config(ConfigCommand::Put { file, base, control }) => {
            configuration::put(&file, base, &control)
        }
        Command::Config(ConfigCommand::Modify { file, base, control }) => {
            configuration::modify(&file, base, &control)
        }
        Command::Config(ConfigCommand::Diff { file, control }) => configuration::diff(&file, &control),
        Command::Evacuate(EvacuateCommand::Begin { zone, control }) => {
            configuration::evacuate(&zone, "begin", &control)
        }
        Command::Evacuate(EvacuateCommand::Finish { zone, control }) => {
            configuration::evacuate(&zone, "finish", &control)
        }
        Command::Keys(command) => keys::run(command),
        Command::Rollout(command) => rollout::run(command),
        Command::Status(c) => status::status(&c),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure(code, text)) => {
            if !text.is_empty() {
                eprintln!("pebblepond: {text}");
            }
            ExitCode::from(code)
        }
    }
}
