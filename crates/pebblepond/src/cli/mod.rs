//! The command line. Every command except `serve` calls the control interface of a node or only
//! reads files.

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

/// Exit codes of the commands, which must not change.
pub mod exit {
    /// A difference was found, or the system rejected the command.
    pub const REFUSED: u8 = 1;
    /// The command line is invalid.
    pub const USAGE: u8 = 2;
    /// A file is missing, unreadable or invalid.
    pub const INVALID: u8 = 3;
    /// No control address answered in time.
    pub const UNREACHABLE: u8 = 4;
    /// The change is based on a version that is no longer current.
    pub const CONFLICT: u8 = 5;
}

/// Failure of a command: its exit code and a one-line message.
pub struct Failure(pub u8, pub String);

/// Result of a command.
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
    /// Run a node. The path of the settings file is read from PEBBLEPOND_CONFIG.
    Serve(ServeArgs),
    /// Check a settings file, a configuration file, or both, and list all errors.
    Check(CheckArgs),
    /// Read, send or compare the configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Begin or finish the evacuation of a zone.
    #[command(subcommand)]
    Evacuate(EvacuateCommand),
    /// Begin, inspect and control rollouts of new versions.
    #[command(subcommand)]
    Rollout(rollout::RolloutCommand),
    /// Show which workers hold which keys.
    #[command(subcommand)]
    Keys(keys::KeysCommand),
    /// Show leader, members, versions, key holders and fractions.
    Status(ControlArgs),
}

/// Arguments of `serve`.
#[derive(Args)]
pub struct ServeArgs {
    /// Interval at which changed counters are logged, in seconds; 0 to disable.
    #[arg(long, default_value_t = config::constants::COUNTERS_INTERVAL_S)]
    pub counters_every: u64,
    /// Minimum level of logged events.
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
    /// Print the response as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Print the current configuration.
    Get(ControlArgs),
    /// Check a configuration file and, if it is valid, send it.
    Put {
        /// The configuration file (JSON).
        file: PathBuf,
        /// Version that the file is based on; the current one if omitted, 0 for the first configuration.
        #[arg(long)]
        base: Option<u64>,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Change named items; the changes are sent only if the result is valid.
    Modify {
        /// The file of changes (JSON): `Version`, `Upsert`, `Remove`.
        file: PathBuf,
        /// Version that the changes are based on; the current one if omitted.
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
    /// Stop sending requests to the workers of a zone.
    Begin {
        zone: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// End the evacuation of a zone.
    Finish {
        zone: String,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// Parses the command line and runs the command.
pub fn run<E: std::fmt::Display>(serve: fn(&ServeArgs) -> Result<(), E>) -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(e) => {
            // Requests for the help or the version are not usage errors.
            let code = if e.use_stderr() { exit::USAGE } else { 0 };
            let _ = e.print();
            return ExitCode::from(code);
        }
    };
    let result = match cli.command {
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure(code, message)) => {
            if !message.is_empty() {
                eprintln!("pebblepond: {message}");
            }
            ExitCode::from(code)
        }
    }
}
