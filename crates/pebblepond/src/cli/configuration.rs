//! Commands that read, send and compare configurations, and that evacuate zones.

use super::call::{call, ControlResponse};
use super::check::{is_modification, read_valid_configuration, read_valid_modification};
use super::{exit, CliResult, ControlArgs, Failure};
use config::{Configuration, Route, Service};
use std::collections::BTreeMap;
use std::path::Path;

fn fetch_current(control: &ControlArgs) -> Result<Option<Vec<u8>>, Failure> {
    let response = call(control, "GET", "/configuration/read", None, Vec::new())?;
    match response.status {
        200 => Ok(Some(response.body)),
        404 => Ok(None),
        _ => Err(Failure(exit::REFUSED, response.error())),
    }
}

fn fetch_current_configuration(control: &ControlArgs) -> Result<Option<Configuration>, Failure> {
    fetch_current(control)?
        .map(|body| parse_current(&body))
        .transpose()
}

fn parse_current(body: &[u8]) -> Result<Configuration, Failure> {
    Configuration::parse(body).map_err(|error| {
        Failure(
            exit::REFUSED,
            format!("the configuration in force cannot be read: {error}"),
        )
    })
}

/// Prints the current configuration.
pub fn get(control: &ControlArgs) -> CliResult {
    let Some(body) = fetch_current(control)? else {
        return Err(Failure(exit::REFUSED, "there is no configuration yet".into()));
    };
    let text = match serde_json::from_slice::<serde_json::Value>(&body) {
        Ok(value) if !control.json => format!("{value:#}"),
        _ => String::from_utf8_lossy(&body).into_owned(),
    };
    println!("{text}");
    Ok(())
}

/// Sends a configuration file if it is valid.
pub fn put(file: &Path, base: Option<u64>, control: &ControlArgs) -> CliResult {
    let (body, config) = read_valid_configuration(file)?;
    let base = match base {
        Some(base) => base,
        None => fetch_current_configuration(control)?.map_or(0, |c| c.version),
    };
    send(control, "/configuration/replace", base, body, config.version)
}

/// Sends a modification file if the resulting configuration is valid.
pub fn modify(file: &Path, base: Option<u64>, control: &ControlArgs) -> CliResult {
    let Some(current) = fetch_current(control)? else {
        return Err(Failure(
            exit::REFUSED,
            "there is no configuration yet to modify".into(),
        ));
    };
    let (modification, config) = read_valid_modification(file, &current)?;
    let base = match base {
        Some(base) => base,
        None => parse_current(&current)?.version,
    };
    send(
        control,
        "/configuration/modify",
        base,
        modification,
        config.version,
    )
}

/// Sends a configuration change and prints the result.
fn send(control: &ControlArgs, path: &str, base: u64, body: Vec<u8>, version: u64) -> CliResult {
    let response = call(control, "POST", path, Some(base), body)?;
    match response.status {
        200 => {
            print_result(control, &format!("version {version} is in force"), "version", version);
            Ok(())
        }
        412 => Err(Failure(
            exit::CONFLICT,
            format!(
                "{}; somebody else has changed the configuration since version {base}: look at `config diff`, then send again",
                response.error()
            ),
        )),
        _ => Err(rejection(&response)),
    }
}

fn rejection(response: &ControlResponse) -> Failure {
    Failure(exit::REFUSED, response.error())
}

fn print_result(control: &ControlArgs, text: &str, field: &str, value: impl Into<serde_json::Value>) {
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
        return Err(rejection(&response));
    }
    let text = match what {
        "begin" => format!("nothing more goes to the workers of {zone}"),
        _ => format!("{zone} is taken back"),
    };
    print_result(control, &text, "zone", zone);
    Ok(())
}

/// Prints the changes that a file would make to the current configuration.
pub fn diff(file: &Path, control: &ControlArgs) -> CliResult {
    let current = fetch_current(control)?;
    let new = match &current {
        Some(current) if is_modification(file) => read_valid_modification(file, current)?.1,
        _ => read_valid_configuration(file)?.1,
    };
    let lines = match &current {
        Some(old) => differences(&parse_current(old)?, &new),
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

/// Lists the differences between two configurations, one line each.
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
            .map(|r| (format!("route {}{}", r.host, r.prefix), describe_route(r)))
            .collect()
    };
    let services = |c: &Configuration| -> BTreeMap<String, String> {
        c.services
            .values()
            .map(|s| (format!("service {}", s.name), describe_service(s)))
            .collect()
    };
    add_differences(&routes(old), &routes(new), &mut lines);
    add_differences(&services(old), &services(new), &mut lines);
    lines
}

fn add_differences(old: &BTreeMap<String, String>, new: &BTreeMap<String, String>, lines: &mut Vec<String>) {
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

fn describe_route(r: &Route) -> String {
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

fn describe_service(s: &Service) -> String {
    format!(
        "health {} connections {} cold {}/s for {}ms partitioned {}",
        s.health_path, s.connection_limit, s.warmup_rate, s.warmup_period_ms, s.partitioned
    )
}

#[cfg(test)]
#[path = "configuration_tests.rs"]
mod tests;
