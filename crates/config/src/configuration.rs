//! The operator's configuration: routes, services and client limits.

mod parse;

use crate::error::ConfigurationError;
use crate::settings::Bounds;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service. The weights of a route add up to more than 0.
    pub weight: f64,
}

/// The rule for the requests to a host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// The host, in lower case.
    pub host: String,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Name of the route.
    pub name: String,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Target response time, within which answers are worth most, in milliseconds; the timeout if
    /// none is given.
    pub target_ms: u64,
    /// Higher ones go first where not all can be served.
    pub priority: u32,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Largest number of workers that a request may be sent to.
    pub attempt_limit: u32,
    /// Regions that requests must stay in; empty if they may go to any region.
    pub home_regions: Vec<String>,
    /// The services that requests are split between.
    pub split: Vec<WeightedService>,
}

/// A service: a group of workers that run the same software.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path of the workers' health checks.
    pub health_path: String,
    /// Largest number of connections to one worker from all nodes together.
    pub connection_limit: u32,
    /// Rate of requests that a warming worker may get, in requests per second.
    pub warmup_rate: f64,
    /// Length of the warm-up of a worker after its start, in milliseconds.
    pub warmup_period_ms: u64,
    /// Whether the workers hold keys, with one holder of each key at a time.
    pub partitioned: bool,
}

/// Returns the number of requests that a warming worker of a service may get in any one second.
pub fn warmup_limit(service: Option<&Service>, bounds: &Bounds) -> usize {
    let rate = service.map_or(0.0, |s| s.warmup_rate);
    let limit = rate * bounds.cold_excess + bounds.cold_slack;
    limit.clamp(0.0, 1e6).floor() as usize
}

/// Limits on the requests and connections of clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Largest header, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first to the last byte of a header, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest idle time of a connection between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version of the configuration, from 1.
    pub version: u64,
    /// Limits on the requests and connections of clients.
    pub limits: ClientLimits,
    /// Routes by host, longest prefix first.
    pub hosts: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
}

impl Configuration {
    /// Parses a configuration and checks everything that can be checked without the current one.
    /// Returns the first error found.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let (configuration, errors) = parse::parse(body);
        match (errors.into_iter().next(), configuration) {
            (None, Some(configuration)) => Ok(configuration),
            (Some(error), _) => Err(error),
            (None, None) => Err(ConfigurationError::Field("the body cannot be read".into())),
        }
    }

    /// Returns all errors of a configuration.
    pub fn errors(body: &[u8]) -> Vec<ConfigurationError> {
        parse::parse(body).1
    }

    /// Returns the route for a host and path: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }
}
