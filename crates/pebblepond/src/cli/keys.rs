//! Who holds which keys, as the leader's copy of the control state tells it.

use super::call::call;
use super::{exit, CliResult, ControlArgs, Failure};
use clap::Subcommand;
use control_state::KEY_SPACE;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// What can be asked about keys.
#[derive(Subcommand)]
pub enum KeysCommand {
    /// Show the ranges of each divided service, by holder, and what is on its way.
    List {
        /// Only this service.
        #[arg(long)]
        service: Option<String>,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Show who holds one key, in each divided service.
    Show {
        /// A key, from 0 to 65535.
        #[arg(value_parser = clap::value_parser!(u32).range(..i64::from(KEY_SPACE)))]
        key: u32,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// Runs such a command.
pub fn run(command: KeysCommand) -> CliResult {
    match command {
        KeysCommand::List { service, control } => {
            let ranges = read(&control)?;
            let of: Vec<Range> = ranges
                .into_iter()
                .filter(|r| service.as_ref().is_none_or(|s| r.service == *s))
                .collect();
            if let (Some(service), true) = (&service, of.is_empty()) {
                let text = format!("no keys of {service} are held; is it divided?");
                return Err(Failure(exit::REFUSED, text));
            }
            if control.json {
                println!(
                    "{}",
                    json!({"ranges": of.iter().map(Range::shown).collect::<Vec<_>>()})
                );
            } else {
                print!("{}", list(&of));
            }
        }
        KeysCommand::Show { key, control } => {
            let ranges = read(&control)?;
            let of: Vec<Range> = ranges
                .into_iter()
                .filter(|r| r.from <= key && key <= r.to)
                .collect();
            if of.is_empty() {
                return Err(Failure(
                    exit::REFUSED,
                    format!("no service has key {key} in a range"),
                ));
            }
            if control.json {
                println!(
                    "{}",
                    json!({"key": key, "ranges": of.iter().map(Range::shown).collect::<Vec<_>>()})
                );
            } else {
                for r in &of {
                    println!("{}", r.line());
                }
            }
        }
    }
    Ok(())
}

/// A range of a service, as `status` tells it.
#[derive(Debug, PartialEq)]
struct Range {
    service: String,
    from: u32,
    to: u32,
    worker: String,
    fence: u64,
    leaving: bool,
}

impl Range {
    fn from_status(h: &Value) -> Option<Range> {
        Some(Range {
            service: h["service"].as_str()?.to_string(),
            from: h["from"].as_u64()? as u32,
            to: h["to"].as_u64()? as u32,
            worker: h["worker"].as_str()?.to_string(),
            fence: h["fence"].as_u64()?,
            leaving: h["leaving"].as_bool()?,
        })
    }

    fn state(&self) -> &'static str {
        match (self.worker.is_empty(), self.leaving) {
            (true, _) => "held by nobody",
            (false, true) => "being taken back",
            (false, false) => "held",
        }
    }

    fn line(&self) -> String {
        format!(
            "{:20} {:>5} to {:>5}  {:20} fence {:<6} {}",
            self.service,
            self.from,
            self.to,
            if self.worker.is_empty() { "-" } else { &self.worker },
            self.fence,
            self.state()
        )
    }

    fn shown(&self) -> Value {
        json!({"service": self.service, "from": self.from, "to": self.to, "worker": self.worker,
            "fence": self.fence, "state": self.state()})
    }
}

fn read(control: &ControlArgs) -> Result<Vec<Range>, Failure> {
    let response = call(control, "GET", "/status", None, Vec::new())?;
    if response.status != 200 {
        return Err(Failure(exit::REFUSED, response.error()));
    }
    let value: Value =
        serde_json::from_slice(&response.body).map_err(|e| Failure(exit::REFUSED, e.to_string()))?;
    let rows = value["holdings"].as_array().cloned().unwrap_or_default();
    Ok(rows.iter().filter_map(Range::from_status).collect())
}

/// Each service's sums first, then its ranges.
fn list(ranges: &[Range]) -> String {
    let mut services: BTreeMap<&str, Vec<&Range>> = BTreeMap::new();
    for r in ranges {
        services.entry(&r.service).or_default().push(r);
    }
    let mut out = String::new();
    for (service, ranges) in services {
        let keys = |of: &dyn Fn(&&Range) -> bool| -> u32 {
            let of = ranges.iter().copied().filter(|r| of(r));
            of.map(|r| r.to - r.from + 1).sum()
        };
        let mut holders: Vec<&str> = ranges.iter().map(|r| r.worker.as_str()).collect();
        holders.retain(|w| !w.is_empty());
        holders.sort_unstable();
        holders.dedup();
        out += &format!(
            "{service}: {} ranges, {} holders, {} keys on their way, {} held by nobody\n",
            ranges.len(),
            holders.len(),
            keys(&|r| r.leaving && !r.worker.is_empty()),
            keys(&|r| r.worker.is_empty()),
        );
        for r in ranges {
            out += &format!("  {}\n", r.line());
        }
    }
    if out.is_empty() {
        out = "no service is divided\n".into();
    }
    out
}

#[cfg(test)]
#[path = "keys_tests.rs"]
mod tests;
