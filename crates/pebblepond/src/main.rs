//! The one program of pebblepond.

mod cli;
mod conductor;
mod desk;
mod desks;
mod front;
mod kernel;
mod keys;
mod leaving;
mod listing;
mod lobby;
mod placement;
mod platform;
mod post;
mod producer;
mod sockets;
mod tally;
mod upstream;
mod vault;

#[cfg(test)]
mod answers_tests;
#[cfg(test)]
mod control_answers_tests;
#[cfg(test)]
mod control_tests;
#[cfg(test)]
mod forwarding_tests;
#[cfg(test)]
mod stored_data_tests;
#[cfg(test)]
mod vault_tests;

use config::{settings::SETTINGS_ENV, Settings};
use kernel::House;
use std::process::ExitCode;

struct Log;

impl log::Log for Log {
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

static LOG: Log = Log;

fn main() -> ExitCode {
    cli::run(serve)
}

fn serve(args: &cli::ServeArgs) -> Result<(), String> {
    if log::set_logger(&LOG).is_ok() {
        log::set_max_level(args.log_level.parse().unwrap_or(log::LevelFilter::Info));
    }
    let path = std::env::var(SETTINGS_ENV).map_err(|_| format!("{SETTINGS_ENV} is not set"))?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let settings = Settings::parse(&text).map_err(|e| e.to_string())?;
    let every = args.counters_every;
    let system = actix::System::new();
    system.block_on(async move {
        let house = House::new(settings, path, every);
        kernel::start_all(&house)
    })?;
    system.run().map_err(|e| e.to_string())
}
