//! The JSON form of a configuration and its validation.

use super::{ClientLimits, Configuration, Route, RouteKind, Service, WeightedService};
use crate::duration_text::DurationText;
use crate::error::ConfigurationError;
use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use validator::Validate;

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
    header_timeout: DurationText,
    idle_timeout: DurationText,
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
    target: Option<DurationText>,
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
    timeout: DurationText,
    #[serde(default = "one_attempt")]
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
    #[serde(default = "default_health_path")]
    health_path: String,
    #[serde(default = "default_connection_limit")]
    connection_limit: u32,
    #[serde(default)]
    cold_period: DurationText,
    #[serde(default)]
    #[validate(range(min = 0.0))]
    cold_rate_s: f64,
    #[serde(default)]
    partitioned: bool,
}

fn one_attempt() -> u32 {
    1
}

fn default_connection_limit() -> u32 {
    128
}

fn default_health_path() -> String {
    "/health".into()
}

/// Parses a configuration and returns it with all its errors. Returns no configuration if the body
/// is not JSON of the expected form.
pub(super) fn parse(body: &[u8]) -> (Option<Configuration>, Vec<ConfigurationError>) {
    let wire: WireConfiguration = match serde_json::from_slice(body) {
        Ok(wire) => wire,
        Err(e) => return (None, vec![ConfigurationError::Unreadable(e.to_string())]),
    };
    let mut errors = Vec::new();
    if let Err(e) = wire.validate() {
        let lines = e.to_string();
        errors.extend(lines.lines().map(|l| ConfigurationError::Field(l.to_string())));
    }
    let services = services(wire.groups);
    let hosts = routes_by_host(wire.access_points, &services, &mut errors);
    let configuration = Configuration {
        version: wire.version,
        limits: ClientLimits {
            header_bytes: wire.limits.header_max_bytes as usize,
            body_bytes: wire.limits.body_max_bytes,
            header_timeout_ms: wire.limits.header_timeout.ms,
            idle_timeout_ms: wire.limits.idle_timeout.ms,
        },
        hosts,
        services,
    };
    (Some(configuration), errors)
}

fn services(groups: Vec<WireGroup>) -> BTreeMap<Arc<str>, Service> {
    let service = |group: WireGroup| {
        let name: Arc<str> = group.name.into();
        let service = Service {
            name: name.clone(),
            health_path: group.health_path,
            connection_limit: group.connection_limit.max(1),
            warmup_rate: group.cold_rate_s,
            warmup_period_ms: group.cold_period.ms,
            partitioned: group.partitioned,
        };
        (name, service)
    };
    groups.into_iter().map(service).collect()
}

fn routes_by_host(
    points: Vec<WireAccessPoint>,
    services: &BTreeMap<Arc<str>, Service>,
    errors: &mut Vec<ConfigurationError>,
) -> BTreeMap<String, Vec<Arc<Route>>> {
    let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
    let mut taken = BTreeSet::new();
    for point in points {
        for rule in point.rules {
            match route(&point.host, rule, services) {
                Ok(route) if taken.insert((route.host.clone(), route.prefix.clone())) => {
                    hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
                }
                Ok(route) => errors.push(ConfigurationError::DuplicateRoute {
                    route: route.name,
                    host: route.host,
                    prefix: route.prefix,
                }),
                Err(error) => errors.push(error),
            }
        }
    }
    for routes in hosts.values_mut() {
        routes.sort_by_key(|r| Reverse(r.prefix.len()));
    }
    hosts
}

fn route(
    host: &str,
    rule: WireRule,
    services: &BTreeMap<Arc<str>, Service>,
) -> Result<Route, ConfigurationError> {
    let error = |field, problem: &str| ConfigurationError::Route {
        route: rule.name.clone(),
        field,
        problem: problem.to_string(),
    };
    let kind = match rule.route_type.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "non_idempotent" => RouteKind::NonIdempotent,
        other => return Err(error("RouteType", &format!("`{other}` is unknown"))),
    };
    if rule.treatment.timeout.ms == 0 {
        return Err(error("Treatment.Timeout", "must be above 0"));
    }
    let prefix = &rule.condition.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(error("Condition.PathPrefix", "must start and end with a slash"));
    }
    let requested_split = match (rule.treatment.split, rule.treatment.service) {
        (Some(split), None) => split,
        (None, Some(service)) => vec![WireSplit { service, weight: 1.0 }],
        _ => return Err(error("Treatment", "must hold either Service or Split")),
    };
    let mut split = Vec::with_capacity(requested_split.len());
    for WireSplit { service, weight } in requested_split {
        let Some(known) = services.get(service.as_str()) else {
            return Err(error("Treatment.Service", &format!("`{service}` is unknown")));
        };
        if !weight.is_finite() || weight < 0.0 {
            return Err(error("Treatment.Split.Weight", "must not be below 0"));
        }
        split.push(WeightedService {
            service: known.name.clone(),
            weight,
        });
    }
    if split.iter().map(|s| s.weight).sum::<f64>() <= 0.0 {
        return Err(error("Treatment.Split", "has weights that add up to 0"));
    }
    Ok(Route {
        host: host.to_ascii_lowercase(),
        prefix: prefix.clone(),
        kind,
        target_ms: rule.target.map_or(rule.treatment.timeout.ms, |t| t.ms),
        priority: rule.priority,
        timeout_ms: rule.treatment.timeout.ms,
        attempt_limit: rule.treatment.attempt_limit.max(1),
        home_regions: rule.treatment.home_regions,
        split,
        name: rule.name,
    })
}
