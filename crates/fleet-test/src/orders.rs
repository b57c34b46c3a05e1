//! Configurations that tell whose they are.

use serde_json::{json, Value};

/// The host of all routes.
pub const HOST: &str = "play.example";
/// The service of all routes; it has no workers.
const SERVICE: &str = "svc";

/// A configuration: its number, who made it, and how many routes it has. Two of
/// the same number by different makers differ.
pub fn configuration(version: u64, maker: &str, routes: usize) -> Vec<u8> {
    let mut rules = vec![rule(&format!("v-{version}-{maker}"), "idempotent")];
    rules.extend((1..routes).map(|n| rule(&format!("r{n}"), "idempotent")));
    whole(version, rules)
}

/// A configuration that is invalid; a refusal names the mark.
pub fn invalid(version: u64, mark: &str) -> Vec<u8> {
    whole(version, vec![rule(mark, "no-such-type")])
}

/// The path on which a configuration alone has a route.
pub fn path_of(version: u64, maker: &str) -> String {
    format!("/v-{version}-{maker}/")
}

fn rule(name: &str, kind: &str) -> Value {
    json!({
        "Name": name, "RouteType": kind, "Target": "800ms", "Priority": 1,
        "Condition": { "PathPrefix": format!("/{name}/") },
        "Treatment": { "Service": SERVICE, "Timeout": "2000ms", "AttemptLimit": 2, "HomeRegions": [] }
    })
}

fn whole(version: u64, rules: Vec<Value>) -> Vec<u8> {
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
