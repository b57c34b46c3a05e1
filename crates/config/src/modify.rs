//! Changes to named items of a configuration: what `modify` makes of the
//! configuration in force. The result is a whole configuration, which is then
//! judged and logged just as one that was sent whole.

use crate::configuration::Fault;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The body of a `modify`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Amendment {
    version: u64,
    #[serde(default)]
    upsert: Map<String, Value>,
    #[serde(default)]
    remove: BTreeMap<String, Vec<String>>,
}

const POINTS: &str = "AccessPoints";
const RULES: &str = "Rules";
const GROUPS: &str = "Groups";

/// The whole configuration that an amendment makes of `current`. Removing a
/// name that is not there changes nothing; whether the result is valid is for
/// [`crate::Configuration::parse`] to say.
pub fn amend(current: &[u8], order: &[u8]) -> Result<Vec<u8>, Fault> {
    let unreadable = |e: serde_json::Error| Fault(format!("the body cannot be read: {e}"));
    let order: Amendment = serde_json::from_slice(order).map_err(unreadable)?;
    let mut whole: Map<String, Value> = serde_json::from_slice(current).map_err(unreadable)?;
    for (list, names) in &order.remove {
        let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
        match list.as_str() {
            "Routes" | RULES => drop_rules(items(&mut whole, POINTS)?, &names)?,
            "Services" | GROUPS => drop_named(items(&mut whole, GROUPS)?, "Name", &names),
            POINTS => drop_named(items(&mut whole, POINTS)?, "Host", &names),
            other => return Err(Fault(format!("Remove.{other} is no list of named items"))),
        }
    }
    for (list, value) in order.upsert {
        match (list.as_str(), value) {
            (POINTS, Value::Array(points)) => put_points(items(&mut whole, POINTS)?, points)?,
            ("Services" | GROUPS, Value::Array(groups)) => {
                for group in groups {
                    put_named(items(&mut whole, GROUPS)?, group)?;
                }
            }
            ("Limits", limits @ Value::Object(_)) => {
                whole.insert(list, limits);
            }
            _ => return Err(Fault(format!("Upsert.{list} is no list of named items"))),
        }
    }
    whole.insert("Version".into(), order.version.into());
    serde_json::to_vec(&whole).map_err(unreadable)
}

fn items<'a>(of: &'a mut Map<String, Value>, list: &str) -> Result<&'a mut Vec<Value>, Fault> {
    of.entry(list)
        .or_insert_with(|| Value::Array(Vec::new()))
        .as_array_mut()
        .ok_or_else(|| Fault(format!("{list} is no list")))
}

fn text<'a>(item: &'a Value, field: &str) -> Option<&'a str> {
    item.get(field).and_then(Value::as_str)
}

fn rules(point: &mut Value) -> Result<&mut Vec<Value>, Fault> {
    let point = point
        .as_object_mut()
        .ok_or_else(|| Fault(format!("{POINTS} holds something that is no item")))?;
    items(point, RULES)
}

fn drop_named(list: &mut Vec<Value>, field: &str, names: &BTreeSet<&str>) {
    list.retain(|item| !text(item, field).is_some_and(|n| names.contains(n)));
}

/// Takes rules away wherever they stand; a host without rules goes as well.
fn drop_rules(points: &mut Vec<Value>, names: &BTreeSet<&str>) -> Result<(), Fault> {
    let mut kept = Vec::with_capacity(points.len());
    for mut point in points.drain(..) {
        let before = rules(&mut point)?.len();
        drop_named(rules(&mut point)?, "Name", names);
        if before == 0 || !rules(&mut point)?.is_empty() {
            kept.push(point);
        }
    }
    *points = kept;
    Ok(())
}

/// Replaces the item of that name in its place, or adds it.
fn put_named(list: &mut Vec<Value>, item: Value) -> Result<(), Fault> {
    let name = text(&item, "Name").ok_or_else(|| Fault("Upsert holds an item without a Name".into()))?;
    match list.iter_mut().find(|old| text(old, "Name") == Some(name)) {
        Some(old) => *old = item,
        None => list.push(item),
    }
    Ok(())
}

fn put_points(points: &mut Vec<Value>, fresh: Vec<Value>) -> Result<(), Fault> {
    for mut point in fresh {
        let host = text(&point, "Host").map(str::to_string);
        let host = host.ok_or_else(|| Fault(format!("Upsert.{POINTS} holds an item without a Host")))?;
        for rule in std::mem::take(rules(&mut point)?) {
            put_rule(points, &host, rule)?;
        }
    }
    Ok(())
}

/// A rule of that name under another host moves to this one.
fn put_rule(points: &mut Vec<Value>, host: &str, rule: Value) -> Result<(), Fault> {
    let name = text(&rule, "Name").ok_or_else(|| Fault("Upsert holds a rule without a Name".into()))?;
    let elsewhere = points.iter().any(|p| {
        let here = |r: &Value| text(r, "Name") == Some(name);
        text(p, "Host") != Some(host)
            && p.get(RULES)
                .and_then(Value::as_array)
                .is_some_and(|r| r.iter().any(here))
    });
    if elsewhere {
        drop_rules(points, &BTreeSet::from([name]))?;
    }
    match points.iter_mut().find(|p| text(p, "Host") == Some(host)) {
        Some(point) => put_named(rules(point)?, rule),
        None => {
            points.push(serde_json::json!({ "Host": host, RULES: [rule] }));
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Configuration;

    const CURRENT: &str = r#"{"Version":7,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
        "AccessPoints":[
          {"Host":"a.example","Rules":[
            {"Name":"r1","RouteType":"idempotent","Condition":{"PathPrefix":"/x/"},"Treatment":{"Service":"one","Timeout":"1s"}},
            {"Name":"r2","RouteType":"idempotent","Condition":{"PathPrefix":"/y/"},"Treatment":{"Service":"two","Timeout":"1s"}}]},
          {"Host":"b.example","Rules":[
            {"Name":"r3","RouteType":"idempotent","Condition":{"PathPrefix":"/"},"Treatment":{"Service":"one","Timeout":"1s"}}]}],
        "Groups":[{"Name":"one","ColdRateS":6.0},{"Name":"two"}],"Notes":{"kept":true}}"#;

    fn made(order: &str) -> Result<Configuration, Fault> {
        let whole = amend(CURRENT.as_bytes(), order.as_bytes())?;
        assert!(
            String::from_utf8_lossy(&whole).contains("kept"),
            "what nobody named stays"
        );
        Configuration::parse(&whole)
    }

    fn services(c: &Configuration, host: &str, path: &str) -> Vec<String> {
        let route = c.route(host, path).into_iter();
        route
            .flat_map(|r| r.split.iter().map(|(s, w)| format!("{s}*{w}")))
            .collect()
    }

    #[test]
    fn named_items_are_added_replaced_moved_and_removed() {
        let c = made(
            r#"{"Version":9,"Upsert":{"AccessPoints":[
                {"Host":"a.example","Rules":[{"Name":"r1","RouteType":"idempotent","Condition":{"PathPrefix":"/x/"},"Treatment":{"Split":[{"Service":"one","Weight":90},{"Service":"new","Weight":10}],"Timeout":"2s"}}]},
                {"Host":"c.example","Rules":[{"Name":"r3","RouteType":"idempotent","Condition":{"PathPrefix":"/"},"Treatment":{"Service":"one","Timeout":"1s"}}]}],
                "Groups":[{"Name":"new"}]},
                "Remove":{"Routes":["r2","never-there"],"Services":["two"]}}"#,
        )
        .expect("valid");
        assert_eq!(c.version, 9);
        assert_eq!(services(&c, "a.example", "/x/"), ["one*90", "new*10"]);
        assert!(c.route("a.example", "/y/").is_none(), "removed");
        assert!(c.route("b.example", "/").is_none(), "moved with its name");
        assert_eq!(services(&c, "c.example", "/"), ["one*1"]);
        assert!(!c.services.contains_key("two"));
    }

    #[test]
    fn what_cannot_stand_is_refused_whole() {
        let cases = [
            (
                r#"{"Version":9,"Remove":{"Services":["one"]}}"#,
                "`one` is unknown",
            ),
            (
                r#"{"Version":9,"Upsert":{"AccessPoints":[{"Rules":[]}]}}"#,
                "without a Host",
            ),
            (
                r#"{"Version":9,"Upsert":{"Groups":[{"HealthPath":"/"}]}}"#,
                "without a Name",
            ),
            (r#"{"Version":9,"Upsert":{"Moon":[]}}"#, "Upsert.Moon"),
            (r#"{"Version":9,"Remove":{"Limits":["x"]}}"#, "Remove.Limits"),
            (r#"{"Version":9,"Upsert":{"AccessPoints":"#, "cannot be read"),
            (r#"{"Upsert":{}}"#, "cannot be read"),
            (
                r#"{"Version":9,"Upsert":{"AccessPoints":[{"Host":"a.example","Rules":[{"Name":"r9","RouteType":"idempotent","Condition":{"PathPrefix":"/x/"},"Treatment":{"Service":"one","Timeout":"1s"}}]}]}}"#,
                "taken by another route",
            ),
        ];
        for (order, what) in cases {
            let fault = made(order).expect_err(order);
            assert!(fault.0.contains(what), "{order}: {fault}");
        }
    }
}
