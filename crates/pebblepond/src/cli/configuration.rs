//! Reading, sending and comparing the configuration, and evacuations.

use super::call::{call, Answered};
use super::check::{is_modify, valid_config, valid_modify};
use super::{exit, ControlArgs, Done, Failure};
use config::{Configuration, Route, Service};
use std::collections::BTreeMap;
use std::path::Path;

fn current(control: &ControlArgs) -> Result<Option<Vec<u8>>, Failure> {
    let answered = call(control, "GET", "/configuration/read", None, Vec::new())?;
    match answered.status {
        200 => Ok(Some(answered.body)),
        404 => Ok(None),
        _ => Err(Failure(exit::REFUSED, answered.error())),
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

pub fn get(control: &ControlArgs) -> Done {
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

pub fn put(file: &Path, base: Option<u64>, control: &ControlArgs) -> Done {
    let (body, config) = valid_config(file)?;
    let base = match base {
        Some(base) => base,
        None => read_current(control)?.map_or(0, |c| c.version),
    };
    send(control, "/configuration/replace", base, body, config.version)
}

pub fn modify(file: &Path, base: Option<u64>, control: &ControlArgs) -> Done {
    let Some(current) = current(control)? else {
        return Err(Failure(
            exit::REFUSED,
            "there is no configuration yet to modify".into(),
        ));
    };
    let (order, config) = valid_modify(file, &current)?;
    let base = match base {
        Some(base) => base,
        None => parsed(&current)?.version,
    };
    send(control, "/configuration/modify", base, order, config.version)
}

/// Sends a change of the configuration and says how it went.
fn send(control: &ControlArgs, path: &str, base: u64, body: Vec<u8>, version: u64) -> Done {
    let answered = call(control, "POST", path, Some(base), body)?;
    match answered.status {
        200 => {
            report(control, &format!("version {version} is in force"), "version", version);
            Ok(())
        }
        412 => Err(Failure(
            exit::CONFLICT,
            format!(
                "{}; somebody else has changed the configuration since version {base}: look at `config diff`, then send again",
                answered.error()
            ),
        )),
        _ => Err(refusal(&answered)),
    }
}

fn refusal(answered: &Answered) -> Failure {
    Failure(exit::REFUSED, answered.error())
}

fn report(control: &ControlArgs, text: &str, field: &str, value: impl Into<serde_json::Value>) {
    if control.json {
        println!("{}", serde_json::json!({ field: value.into() }));
    } else {
        println!("{text}");
    }
}

pub fn evacuate(zone: &str, what: &str, control: &ControlArgs) -> Done {
    let path = format!("/evacuation/{zone}/{what}");
    let answered = call(control, "POST", &path, None, Vec::new())?;
    if answered.status != 200 {
        return Err(refusal(&answered));
    }
    let text = match what {
        "begin" => format!("nothing more goes to the workers of {zone}"),
        _ => format!("{zone} is taken back"),
    };
    report(control, &text, "zone", zone);
    Ok(())
}

pub fn diff(file: &Path, control: &ControlArgs) -> Done {
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
mod tests {
    use super::*;

    fn config(timeout: &str, groups: &str) -> Configuration {
        let text = format!(
            r#"{{"Version":2,"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},
            "AccessPoints":[{{"Host":"shop.example","Rules":[{{"Name":"r","RouteType":"idempotent","Condition":{{"PathPrefix":"/a/"}},"Treatment":{{"Service":"one","Timeout":"{timeout}"}}}}]}}],
            "Groups":[{{"Name":"one"}}{groups}]}}"#
        );
        Configuration::parse(text.as_bytes()).expect("valid")
    }

    #[test]
    fn every_kind_of_difference_has_its_line() {
        let old = config("1s", r#",{"Name":"gone"}"#);
        let new = config("2s", r#",{"Name":"new"}"#);
        let lines = differences(&old, &new);
        assert!(lines[0].starts_with("~ route shop.example/a/"), "{lines:?}");
        assert!(lines[1].starts_with("- service gone") && lines[2].starts_with("+ service new"));
        assert!(differences(&old, &old).is_empty());
    }
}
