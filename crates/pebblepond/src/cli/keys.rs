//! Commands that show which workers hold which keys, according to the control state of the leader.

use super::call::call;
use super::{exit, CliResult, ControlArgs, Failure};
use clap::Subcommand;
use control_state::KEY_SPACE;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Subcommands of `keys`.
#[derive(Subcommand)]
pub enum KeysCommand {
    /// Show the key ranges of each partitioned service with their holders and states.
    List {
        /// Show only this service.
        #[arg(long)]
        service: Option<String>,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Show which worker holds a key in each partitioned service.
    Show {
        /// A key, from 0 to 65535.
        #[arg(value_parser = clap::value_parser!(u32).range(..i64::from(KEY_SPACE)))]
        key: u32,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// Runs a `keys` subcommand.
pub fn run(command: KeysCommand) -> CliResult {
    match command {
        KeysCommand::List { service, control } => {
            let ranges = read(&control)?;
            let selected: Vec<KeyRange> = ranges
                .into_iter()
                .filter(|r| service.as_ref().is_none_or(|s| r.service == *s))
                .collect();
            if let (Some(service), true) = (&service, selected.is_empty()) {
                let text = format!("no keys of {service} are held; is it divided?");
                return Err(Failure(exit::REFUSED, text));
            }
            if control.json {
                println!(
                    "{}",
                    json!({"ranges": selected.iter().map(KeyRange::to_json).collect::<Vec<_>>()})
                );
            } else {
                print!("{}", list(&selected));
            }
        }
        KeysCommand::Show { key, control } => {
            let ranges = read(&control)?;
            let selected: Vec<KeyRange> = ranges
                .into_iter()
                .filter(|r| r.from <= key && key <= r.to)
                .collect();
            if selected.is_empty() {
                return Err(Failure(
                    exit::REFUSED,
                    format!("no service has key {key} in a range"),
                ));
            }
            if control.json {
                println!(
                    "{}",
                    json!({"key": key, "ranges": selected.iter().map(KeyRange::to_json).collect::<Vec<_>>()})
                );
            } else {
                for r in &selected {
                    println!("{}", r.line());
                }
            }
        }
    }
    Ok(())
}

/// Key range of a service, as reported by `/status`.
#[derive(Debug, PartialEq)]
struct KeyRange {
    service: String,
    from: u32,
    to: u32,
    worker: String,
    fence: u64,
    is_leaving: bool,
}

impl KeyRange {
    fn from_status(row: &Value) -> Option<KeyRange> {
        Some(KeyRange {
            service: row["service"].as_str()?.to_string(),
            from: row["from"].as_u64()? as u32,
            to: row["to"].as_u64()? as u32,
            worker: row["worker"].as_str()?.to_string(),
            fence: row["fence"].as_u64()?,
            is_leaving: row["leaving"].as_bool()?,
        })
    }

    fn state(&self) -> &'static str {
        match (self.worker.is_empty(), self.is_leaving) {
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

    fn to_json(&self) -> Value {
        json!({"service": self.service, "from": self.from, "to": self.to, "worker": self.worker,
            "fence": self.fence, "state": self.state()})
    }
}

fn read(control: &ControlArgs) -> Result<Vec<KeyRange>, Failure> {
    let response = call(control, "GET", "/status", None, Vec::new())?;
    if response.status != 200 {
        return Err(Failure(exit::REFUSED, response.error()));
    }
    let value: Value =
        serde_json::from_slice(&response.body).map_err(|e| Failure(exit::REFUSED, e.to_string()))?;
    let rows = value["holdings"].as_array().cloned().unwrap_or_default();
    Ok(rows.iter().filter_map(KeyRange::from_status).collect())
}

/// Formats the ranges by service: first the totals of the service, then its ranges.
fn list(ranges: &[KeyRange]) -> String {
    let mut services: BTreeMap<&str, Vec<&KeyRange>> = BTreeMap::new();
    for r in ranges {
        services.entry(&r.service).or_default().push(r);
    }
    let mut text = String::new();
    for (service, ranges) in services {
        let count_keys = |predicate: &dyn Fn(&&KeyRange) -> bool| -> u32 {
            let matching = ranges.iter().copied().filter(|r| predicate(r));
            matching.map(|r| r.to - r.from + 1).sum()
        };
        let mut holders: Vec<&str> = ranges.iter().map(|r| r.worker.as_str()).collect();
        holders.retain(|w| !w.is_empty());
        holders.sort_unstable();
        holders.dedup();
        text += &format!(
            "{service}: {} ranges, {} holders, {} keys on their way, {} held by nobody\n",
            ranges.len(),
            holders.len(),
            count_keys(&|r| r.is_leaving && !r.worker.is_empty()),
            count_keys(&|r| r.worker.is_empty()),
        );
        for r in ranges {
            text += &format!("  {}\n", r.line());
        }
    }
    if text.is_empty() {
        text = "no service is divided\n".into();
    }
    text
}

#[cfg(test)]
#[path = "keys_tests.rs"]
mod tests;
