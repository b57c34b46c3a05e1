//! The pebblepond program: `serve` runs a node; the other commands call a node or read files. Each
//! component of a node registers itself with the kernel and owns its part of the state.

mod admin_http;
mod balancer_actor;
mod caller;
mod cli;
mod control;
mod counter_log;
mod discovery;
mod gossip_driver;
mod http_headers;
mod kernel;
mod ownership_controller;
mod peer_transport;
mod placement_controller;
mod proxy;
mod reports;
mod rollout_controller;
mod shutdown;
mod sockets;
mod storage;
mod upstream;

#[cfg(test)]
mod answers_tests;
#[cfg(test)]
mod control_answers_tests;
#[cfg(test)]
mod control_tests;
#[cfg(test)]
mod forwarding_tests;
#[cfg(test)]
mod storage_tests;
#[cfg(test)]
mod stored_data_tests;

use config::{settings::SETTINGS_ENV, Settings, SettingsError};
use kernel::{NodeContext, StartError};
use std::process::ExitCode;

/// Logger that writes one line per event to standard error: `level=LEVEL event=EVENT key=value ...`.
struct StderrLogger;

impl log::Log for StderrLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("pebblepond")
    }
    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            eprintln!(
                "level={} {}",
                record.level().as_str().to_lowercase(),
                record.args()
            );
        }
    }
    fn flush(&self) {}
}

static LOGGER: StderrLogger = StderrLogger;

fn main() -> ExitCode {
    cli::run(serve)
}

/// Reason why a node cannot run.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    /// The environment variable with the path of the settings file is not set.
    #[error("{SETTINGS_ENV} is not set")]
    NoSettingsPath,
    /// The settings file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the settings file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A component failed to start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The process's event loop has failed.
    #[error("{0}")]
    EventLoop(#[source] std::io::Error),
}

/// Runs a node until it is shut down.
fn serve(args: &cli::ServeArgs) -> Result<(), ServeError> {
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(args.log_level.parse().unwrap_or(log::LevelFilter::Info));
    }
    let path = std::env::var(SETTINGS_ENV).map_err(|_| ServeError::NoSettingsPath)?;
    let text = std::fs::read_to_string(&path).map_err(|source| ServeError::Unreadable {
        path: path.clone(),
        source,
    })?;
    let settings = Settings::parse(&text)?;
    let counters_interval_s = args.counters_every;
    let system = actix::System::new();
    system.block_on(async move {
        let context = NodeContext::new(settings, path, counters_interval_s);
        kernel::start_all(&context)
    })?;
    system.run().map_err(ServeError::EventLoop)
}
