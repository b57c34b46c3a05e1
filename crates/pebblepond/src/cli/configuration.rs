//! Reading, sending and comparing the configuration, and evacuations.

use super::call::{call, ControlResponse};
use super::check::{is_modify, valid_config, valid_modify};
use super::{exit, CliResult, ControlArgs, Failure};
use config::{Configuration, Route, Service};
use std::collections::BTreeMap;
use std::path::Path;

fn current(control: &ControlArgs) -> Result<Option<Vec<u8>>, Failure> {
    let response = call(control, "GET", "/configuration/read", None, Vec::new())?;
    match response.status {
        200 => Ok(Some(response.body)),
        404 => Ok(None),
        _ => Err(Failure(exit::REFUSED, response.error())),
    }
}

fn read_current(control: &ControlArgs) -> Result<Option<Configuration>, Failure> {
    current(control)?.map(|body| parsed(&body)).transpose()
}

fn parsed(body: &[u8]) -> Result<Configuration, Failure> {
    Configuration::parse(body).map_err(|f| {
        Failure(
            exit::REFUSED,
            format!("the configuration in force cannot be read: {f}"),
        )
    })
}

/// Prints the configuration in force.
pub fn get(control: &ControlArgs) -> CliResult {
    let Some(body) = current(control)? else {
        return Err(Failure(exit::REFUSED, "there is no configuration yet".into()));
    };
    let text = match serde_json::from_slice::<serde_json::Value>(&body) {
        Ok(value) if !control.json => format!("{value:#}"),
        _ => String::from_utf8_lossy(&body).into_owned(),
    };
    println!("{text}");
    Ok(())
}

/// Sends a configuration file.
pub fn put(file: &Path, base: Option<u64>, control: &ControlArgs) -> CliResult {
    let (body, config) = valid_config(file)?;
    let base = match base {
        Some(base) => base,
        None => read_current(control)?.map_or(0, |c| c.version),
    };
    send(control, "/configuration/replace", base, body, config.version)
}

/// Sends a file of changes.
pub fn modify(file: &Path, base: Option<u64>, control: &ControlArgs) -> CliResult {
    let Some(current) = current(control)? else {
        return Err(Failure(
            exit::REFUSED,
            "there is no configuration yet to modify".into(),
        ));
    };
    let (modification, config) = valid_modify(file, &current)?;
    let base = match base {
        Some(base) => base,
        None => parsed(&current)?.version,
    };
    send(
        control,
        "/configuration/modify",
        base,
        modification,
        config.version,
    )
}

/// Sends a change of the configuration and says how it went.
fn send(control: &ControlArgs, path: &str, base: u64, body: Vec<u8>, version: u64) -> CliResult {
    let response = call(control, "POST", path, Some(base), body)?;
    match response.status {
        200 => {
            report(control, &format!("version {version} is in force"), "version", version);
            Ok(())
        }
        412 => Err(Failure(
            exit::CONFLICT,
            format!(
                "{}; somebody else has changed the configuration since version {base}: look at `config diff`, then send again",
                response.error()
            ),
        )),
        _ => Err(refusal(&response)),
    }
}

fn refusal(response: &ControlResponse) -> Failure {
    Failure(exit::REFUSED, response.error())
}

fn report(control: &ControlArgs, text: &str, field: &str, value: impl Into<serde_json::Value>) {
    if control.json {
        println!("{}", serde_json::json!({ field: value.into() }));
    } else {
        println!("{text}");
    }
}

/// Begins or finishes an evacuation.
pub fn evacuate(zone: &str, what: &str, control: &ControlArgs) -> CliResult {
    let path = format!("/evacuation/{zone}/{what}");
    let response = call(control, "POST", &path, None, Vec::new())?;
    if response.status != 200 {
        return Err(refusal(&response));
    }
    let text = match what {
        "begin" => format!("nothing more goes to the workers of {zone}"),
        _ => format!("{zone} is taken back"),
    };
    report(control, &text, "zone", zone);
    Ok(())
}

/// Prints what a file would change.
pub fn diff(file: &Path, control: &ControlArgs) -> CliResult {
    let current = current(control)?;
    let new = match &current {
        Some(current) if is_modify(file) => valid_modify(file, current)?.1,
        _ => valid_config(file)?.1,
    };
    let lines = match &current {
        Some(old) => differences(&parsed(old)?, &new),
        None => vec![format!("+ version {}, the first", new.version)],
    };
    if control.json {
        println!("{}", serde_json::json!({ "differences": lines }));
    } else {
        lines.iter().for_each(|l| println!("{l}"));
    }
    if lines.is_empty() {
        Ok(())
    } else {
        Err(Failure(exit::REFUSED, String::new()))
    }
}

/// What changes from one configuration to another, a line each.
fn differences(old: &Configuration, new: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    let limits = |c: &Configuration| format!("{:?}", c.limits);
    if limits(old) != limits(new) {
        lines.push(format!("~ limits: {} -> {}", limits(old), limits(new)));
    }
    let routes = |c: &Configuration| -> BTreeMap<String, String> {
        c.hosts
            .values()
            .flatten()
            .map(|r| (format!("route {}{}", r.host, r.prefix), show_route(r)))
            .collect()
    };
    let services = |c: &Configuration| -> BTreeMap<String, String> {
        c.services
            .values()
            .map(|s| (format!("service {}", s.name), show_service(s)))
            .collect()
    };
    compare(&routes(old), &routes(new), &mut lines);
    compare(&services(old), &services(new), &mut lines);
    lines
}

fn compare(old: &BTreeMap<String, String>, new: &BTreeMap<String, String>, lines: &mut Vec<String>) {
    for (name, before) in old {
        match new.get(name) {
            None => lines.push(format!("- {name}: {before}")),
            Some(after) if after != before => lines.push(format!("~ {name}: {before} -> {after}")),
            Some(_) => {}
        }
    }
    for (name, after) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        lines.push(format!("+ {name}: {after}"));
    }
}

fn show_route(r: &Route) -> String {
    let split: Vec<String> = r
        .split
        .iter()
        .map(|s| format!("{}*{}", s.service, s.weight))
        .collect();
    format!(
        "{:?} to {} timeout {}ms target {}ms attempts {} priority {} homes {:?}",
        r.kind,
        split.join("+"),
        r.timeout_ms,
        r.target_ms,
        r.attempt_limit,
        r.priority,
        r.home_regions
    )
}

fn show_service(s: &Service) -> String {
    format!(
        "health {} connections {} cold {}/s for {}ms partitioned {}",
        s.health_path, s.connection_limit, s.warmup_rate, s.warmup_period_ms, s.partitioned
    )
}

#[cfg(test)]
#[path = "configuration_tests.rs"]
mod tests;
