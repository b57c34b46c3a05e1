//! The operator's configuration: what it says, and when it is invalid.

use crate::duration_text::Span;
use crate::settings::Bounds;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use validator::Validate;

/// Why a configuration is refused: the field at fault and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(pub String);

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    Idempotent,
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct Route {
    pub host: String,
    pub prefix: String,
    pub name: String,
    pub kind: RouteKind,
    pub aim_ms: u64,
    pub priority: u32,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub homes: Vec<String>,
    /// Services and their weights; the weights add up to more than 0.
    pub split: Vec<(Arc<str>, f64)>,
}

#[derive(Clone, Debug)]
pub struct Service {
    pub name: Arc<str>,
    pub health_path: String,
    pub connection_limit: u32,
    pub cold_rate: f64,
    pub cold_period_ms: u64,
    pub partitioned: bool,
}

/// Requests that a cold worker of a service may get in any one second.
pub fn cold_bound(service: Option<&Service>, bounds: &Bounds) -> usize {
    let rate = service.map_or(0.0, |s| s.cold_rate);
    let bound = rate * bounds.cold_excess + bounds.cold_slack;
    bound.clamp(0.0, 1e6).floor() as usize
}

#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    pub header_bytes: usize,
    pub body_bytes: u64,
    pub header_ms: u64,
    pub idle_ms: u64,
}

/// A configuration read whole and found valid.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub version: u64,
    pub limits: ClientLimits,
    /// Routes by host, longest prefix first.
    pub hosts: BTreeMap<String, Vec<Arc<Route>>>,
    pub services: BTreeMap<Arc<str>, Service>,
}

#[derive(Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
struct WireConfiguration {
    #[validate(range(min = 1))]
    version: u64,
    limits: WireLimits,
    access_points: Vec<WireAccessPoint>,
    #[validate(nested)]
    groups: Vec<WireGroup>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireLimits {
    header_max_bytes: u64,
    body_max_bytes: u64,
    header_timeout: Span,
    idle_timeout: Span,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireAccessPoint {
    host: String,
    rules: Vec<WireRule>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRule {
    #[serde(default)]
    name: String,
    route_type: String,
    #[serde(default)]
    target: Option<Span>,
    #[serde(default)]
    priority: u32,
    condition: WireCondition,
    treatment: WireTreatment,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireCondition {
    path_prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTreatment {
    service: Option<String>,
    split: Option<Vec<WireSplit>>,
    timeout: Span,
    #[serde(default = "one")]
    attempt_limit: u32,
    #[serde(default)]
    home_regions: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireSplit {
    service: String,
    weight: f64,
}

#[derive(Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
struct WireGroup {
    #[validate(length(min = 1))]
    name: String,
    #[serde(default = "health")]
    health_path: String,
    #[serde(default = "many")]
    connection_limit: u32,
    #[serde(default)]
    cold_period: Span,
    #[serde(default)]
    #[validate(range(min = 0.0))]
    cold_rate_s: f64,
    #[serde(default)]
    partitioned: bool,
}

fn one() -> u32 {
    1
}

fn many() -> u32 {
    128
}

fn health() -> String {
    "/health".into()
}

impl Configuration {
    /// Reads a configuration and checks everything that can be checked without
    /// knowing the current one. The first fault found is the error.
    pub fn parse(body: &[u8]) -> Result<Configuration, Fault> {
        let mut faults = Vec::new();
        let config = read(body, &mut faults);
        match (faults.into_iter().next(), config) {
            (None, Some(config)) => Ok(config),
            (fault, _) => Err(fault.unwrap_or_else(|| Fault("the body cannot be read".into()))),
        }
    }

    /// Everything that is wrong with a configuration.
    pub fn faults(body: &[u8]) -> Vec<Fault> {
        let mut faults = Vec::new();
        read(body, &mut faults);
        faults
    }

    /// The route for a host and path: the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }
}

fn read(body: &[u8], faults: &mut Vec<Fault>) -> Option<Configuration> {
    let wire: WireConfiguration = match serde_json::from_slice(body) {
        Ok(wire) => wire,
        Err(e) => {
            faults.push(Fault(format!("the body cannot be read: {e}")));
            return None;
        }
    };
    if let Err(e) = wire.validate() {
        faults.extend(e.to_string().lines().map(|l| Fault(l.to_string())));
    }
    let mut services = BTreeMap::new();
    for group in wire.groups {
        let name: Arc<str> = group.name.into();
        let service = Service {
            name: name.clone(),
            health_path: group.health_path,
            connection_limit: group.connection_limit.max(1),
            cold_rate: group.cold_rate_s,
            cold_period_ms: group.cold_period.0,
            partitioned: group.partitioned,
        };
        services.insert(name, service);
    }
    let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
    let mut places = BTreeSet::new();
    for point in wire.access_points {
        for rule in point.rules {
            match read_rule(&point.host, rule, &services) {
                Ok(route) if places.insert((route.host.clone(), route.prefix.clone())) => {
                    hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
                }
                Ok(route) => faults.push(Fault(format!(
                    "AccessPoints.Rules `{}`: Host {} and PathPrefix {} are taken by another route",
                    route.name, route.host, route.prefix
                ))),
                Err(fault) => faults.push(fault),
            }
        }
    }
    for routes in hosts.values_mut() {
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }
    Some(Configuration {
        version: wire.version,
        limits: ClientLimits {
            header_bytes: wire.limits.header_max_bytes as usize,
            body_bytes: wire.limits.body_max_bytes,
            header_ms: wire.limits.header_timeout.0,
            idle_ms: wire.limits.idle_timeout.0,
        },
        hosts,
        services,
    })
}

fn read_rule(host: &str, rule: WireRule, services: &BTreeMap<Arc<str>, Service>) -> Result<Route, Fault> {
    let at = |field: &str, what: &str| Fault(format!("AccessPoints.Rules `{}`: {field} {what}", rule.name));
    let kind = match rule.route_type.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "non_idempotent" => RouteKind::NonIdempotent,
        other => return Err(at("RouteType", &format!("`{other}` is unknown"))),
    };
    if rule.treatment.timeout.0 == 0 {
        return Err(at("Treatment.Timeout", "must be above 0"));
    }
    let prefix = &rule.condition.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(at("Condition.PathPrefix", "must start and end with a slash"));
    }
    let wanted = match (rule.treatment.split, rule.treatment.service) {
        (Some(split), None) => split
            .into_iter()
            .map(|s| (s.service, s.weight))
            .collect::<Vec<_>>(),
        (None, Some(service)) => vec![(service, 1.0)],
        _ => return Err(at("Treatment", "must hold either Service or Split")),
    };
    let mut split = Vec::with_capacity(wanted.len());
    for (service, weight) in wanted {
        let Some(known) = services.get(service.as_str()) else {
            return Err(at("Treatment.Service", &format!("`{service}` is unknown")));
        };
        if !weight.is_finite() || weight < 0.0 {
            return Err(at("Treatment.Split.Weight", "must not be below 0"));
        }
        split.push((known.name.clone(), weight));
    }
    if split.iter().map(|(_, w)| w).sum::<f64>() <= 0.0 {
        return Err(at("Treatment.Split", "has weights that add up to 0"));
    }
    Ok(Route {
        host: host.to_ascii_lowercase(),
        prefix: prefix.clone(),
        kind,
        aim_ms: rule.target.map_or(rule.treatment.timeout.0, |t| t.0),
        priority: rule.priority,
        timeout_ms: rule.treatment.timeout.0,
        attempts: rule.treatment.attempt_limit.max(1),
        homes: rule.treatment.home_regions,
        split,
        name: rule.name,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(edit: &[(&str, &str)]) -> String {
        let mut text = r#"{"Version":7,"Limits":{"HeaderMaxBytes":16384,"BodyMaxBytes":1000,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},
            "AccessPoints":[{"Host":"a.example","Rules":[
              {"Name":"r1","RouteType":"idempotent","Target":"300ms","Priority":2,"Condition":{"PathPrefix":"/x/"},"Treatment":{"Split":[{"Service":"one","Weight":90},{"Service":"two","Weight":10}],"Timeout":"2000ms","AttemptLimit":2,"HomeRegions":[]}},
              {"Name":"r2","RouteType":"non_idempotent","Condition":{"PathPrefix":"/x/y/"},"Treatment":{"Service":"two","Timeout":"2s"},"Later":1}]}],
            "Groups":[{"Name":"one","ConnectionLimit":150,"ColdRateS":19.0},{"Name":"two","Partitioned":true}],"Notes":{}}"#
            .to_string();
        for (from, to) in edit {
            assert!(text.contains(from), "{from}");
            text = text.replacen(from, to, 1);
        }
        text
    }

    #[test]
    fn the_longest_prefix_wins_and_unknown_fields_pass() {
        let c = Configuration::parse(sample(&[]).as_bytes()).expect("valid");
        assert_eq!(c.route("a.example", "/x/1").expect("route").name, "r1");
        assert_eq!(c.route("A.example", "/x/y/1").expect("route").name, "r2");
        assert!(c.route("a.example", "/z").is_none());
        assert!(c.route("b.example", "/x/").is_none());
    }

    #[test]
    fn everything_invalid_is_refused_with_its_field() {
        let cases: &[(&str, &str, &str)] = &[
            ("\"Notes\":{}}", "", "cannot be read"),
            (
                "\"Service\":\"two\",\"Timeout\"",
                "\"Service\":\"nine\",\"Timeout\"",
                "Service `nine`",
            ),
            ("\"2000ms\"", "\"0ms\"", "Timeout"),
            ("/x/y/", "/x/", "PathPrefix"),
            ("non_idempotent", "sometimes", "RouteType"),
            ("\"Weight\":90", "\"Weight\":-1", "Weight"),
            ("\"Version\":7", "\"Version\":0", "version"),
            (
                "\"Split\":[{\"Service\":\"one\",\"Weight\":90},{\"Service\":\"two\",\"Weight\":10}]",
                "\"Split\":[{\"Service\":\"one\",\"Weight\":0}]",
                "add up to 0",
            ),
        ];
        for (from, to, field) in cases {
            let fault = Configuration::parse(sample(&[(from, to)]).as_bytes()).expect_err(from);
            assert!(fault.0.contains(field), "{from}: {fault}");
        }
    }
}
