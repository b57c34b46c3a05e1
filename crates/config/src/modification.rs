//! Changes to named items of a configuration: the effect of `modify` on the configuration in force.
//! The result is a complete configuration, which is then checked and logged like one that was sent
//! in full.

use crate::error::ConfigurationError;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The body of a `modify`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Modification {
    version: u64,
    #[serde(default)]
    upsert: Map<String, Value>,
    #[serde(default)]
    remove: BTreeMap<String, Vec<String>>,
}

const POINTS: &str = "AccessPoints";
const RULES: &str = "Rules";
const GROUPS: &str = "Groups";

/// Applies a modification to the configuration `current` and returns the resulting configuration.
/// Removing a name that does not exist has no effect. The result is validated by
/// [`crate::Configuration::parse`], not here.
pub fn apply_modification(current: &[u8], modification: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
    let unreadable = |e: serde_json::Error| ConfigurationError::Unreadable(e.to_string());
    let modification: Modification = serde_json::from_slice(modification).map_err(unreadable)?;
    let mut configuration: Map<String, Value> = serde_json::from_slice(current).map_err(unreadable)?;
    for (list, names) in &modification.remove {
        let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
        match list.as_str() {
            "Routes" | RULES => remove_rules(items(&mut configuration, POINTS)?, &names)?,
            "Services" | GROUPS => remove_named(items(&mut configuration, GROUPS)?, "Name", &names),
            POINTS => remove_named(items(&mut configuration, POINTS)?, "Host", &names),
            other => return Err(ConfigurationError::UnknownList(format!("Remove.{other}"))),
        }
    }
    for (list, value) in modification.upsert {
        match (list.as_str(), value) {
            (POINTS, Value::Array(points)) => put_points(items(&mut configuration, POINTS)?, points)?,
            ("Services" | GROUPS, Value::Array(groups)) => {
                for group in groups {
                    put_named(items(&mut configuration, GROUPS)?, group)?;
                }
            }
            ("Limits", limits @ Value::Object(_)) => {
                configuration.insert(list, limits);
            }
            _ => return Err(ConfigurationError::UnknownList(format!("Upsert.{list}"))),
        }
    }
    configuration.insert("Version".into(), modification.version.into());
    serde_json::to_vec(&configuration).map_err(unreadable)
}

fn unnamed(list: &str, item: &'static str, field: &'static str) -> ConfigurationError {
    ConfigurationError::Unnamed {
        list: list.to_string(),
        item,
        field,
    }
}

fn items<'a>(
    object: &'a mut Map<String, Value>,
    list: &str,
) -> Result<&'a mut Vec<Value>, ConfigurationError> {
    object
        .entry(list)
        .or_insert_with(|| Value::Array(Vec::new()))
        .as_array_mut()
        .ok_or_else(|| ConfigurationError::NotAList(list.to_string()))
}

fn text<'a>(item: &'a Value, field: &str) -> Option<&'a str> {
    item.get(field).and_then(Value::as_str)
}

fn rules(point: &mut Value) -> Result<&mut Vec<Value>, ConfigurationError> {
    let point = point
        .as_object_mut()
        .ok_or(ConfigurationError::NotAnItem(POINTS))?;
    items(point, RULES)
}

fn remove_named(list: &mut Vec<Value>, field: &str, names: &BTreeSet<&str>) {
    list.retain(|item| !text(item, field).is_some_and(|n| names.contains(n)));
}

/// Removes the named rules under every host, and each host that has no rules left as a result.
fn remove_rules(points: &mut Vec<Value>, names: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
    let mut kept = Vec::with_capacity(points.len());
    for mut point in points.drain(..) {
        let count_before = rules(&mut point)?.len();
        remove_named(rules(&mut point)?, "Name", names);
        if count_before == 0 || !rules(&mut point)?.is_empty() {
            kept.push(point);
        }
    }
    *points = kept;
    Ok(())
}

/// Replaces the item of the same name at its position, or appends the item.
fn put_named(list: &mut Vec<Value>, item: Value) -> Result<(), ConfigurationError> {
    let name = text(&item, "Name").ok_or_else(|| unnamed("Upsert", "an item", "Name"))?;
    match list.iter_mut().find(|old| text(old, "Name") == Some(name)) {
        Some(old) => *old = item,
        None => list.push(item),
    }
    Ok(())
}

fn put_points(points: &mut Vec<Value>, new_points: Vec<Value>) -> Result<(), ConfigurationError> {
    for mut point in new_points {
        let host = text(&point, "Host").map(str::to_string);
        let host = host.ok_or_else(|| unnamed(&format!("Upsert.{POINTS}"), "an item", "Host"))?;
        for rule in std::mem::take(rules(&mut point)?) {
            put_rule(points, &host, rule)?;
        }
    }
    Ok(())
}

/// Replaces or adds a rule under a host. A rule of the same name under another host is removed.
fn put_rule(points: &mut Vec<Value>, host: &str, rule: Value) -> Result<(), ConfigurationError> {
    let name = text(&rule, "Name").ok_or_else(|| unnamed("Upsert", "a rule", "Name"))?;
    let is_under_another_host = points.iter().any(|p| {
        let has_name = |r: &Value| text(r, "Name") == Some(name);
        text(p, "Host") != Some(host)
            && p.get(RULES)
                .and_then(Value::as_array)
                .is_some_and(|r| r.iter().any(has_name))
    });
    if is_under_another_host {
        remove_rules(points, &BTreeSet::from([name]))?;
    }
    match points.iter_mut().find(|p| text(p, "Host") == Some(host)) {
        Some(point) => put_named(rules(point)?, rule),
        None => {
            points.push(serde_json::json!({ "Host": host, RULES: [rule] }));
            Ok(())
        }
    }
}
