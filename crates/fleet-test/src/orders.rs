//! Configurations that identify their maker.

use serde_json::{json, Value};

/// Host of all routes.
pub const HOST: &str = "play.example";
/// Service of all routes. It has no workers.
const SERVICE: &str = "svc";

/// Returns a configuration with this version, maker and number of routes. Two configurations with
/// the same version but different makers differ.
pub fn configuration(version: u64, maker: &str, routes: usize) -> Vec<u8> {
    let mut rules = vec![rule(&format!("v-{version}-{maker}"), "idempotent")];
    rules.extend((1..routes).map(|n| rule(&format!("r{n}"), "idempotent")));
    document(version, rules)
}

/// Returns an invalid configuration. A refusal must name the mark.
pub fn invalid(version: u64, mark: &str) -> Vec<u8> {
    document(version, vec![rule(mark, "no-such-type")])
}

/// Returns the path that only this configuration has a route for.
pub fn path_of(version: u64, maker: &str) -> String {
    format!("/v-{version}-{maker}/")
}

fn rule(name: &str, route_type: &str) -> Value {
    json!({
        "Name": name, "RouteType": route_type, "Target": "800ms", "Priority": 1,
        "Condition": { "PathPrefix": format!("/{name}/") },
        "Treatment": { "Service": SERVICE, "Timeout": "2000ms", "AttemptLimit": 2, "HomeRegions": [] }
    })
}

fn document(version: u64, rules: Vec<Value>) -> Vec<u8> {
    json!({
        "Version": version,
        "Limits": { "HeaderMaxBytes": 16384, "BodyMaxBytes": 1_000_000,
            "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms" },
        "AccessPoints": [{ "Host": HOST, "Rules": rules }],
        "Groups": [{ "Name": SERVICE, "HealthPath": "/health", "ConnectionLimit": 100,
            "Protocol": "h1", "Tls": false, "ColdPeriod": "3s", "ColdRateS": 6.0 }]
    })
    .to_string()
    .into_bytes()
}
