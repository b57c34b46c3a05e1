//! The operator's configuration: routes, services and limits of clients.

mod parse;

use crate::error::ConfigurationError;
use crate::settings::Bounds;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Its weight; those of a route add up to more than 0.
    pub weight: f64,
}

/// What becomes of the requests for a host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// The host, in lower case.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Its name.
    pub name: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// The time in which answers are worth most, ms; the timeout if none is given.
    pub target_ms: u64,
    /// Higher ones go first where not all can be served.
    pub priority: u32,
    /// The time after which a request is given up, ms.
    pub timeout_ms: u64,
    /// Workers that a request may be offered to.
    pub attempt_limit: u32,
    /// Regions that its requests must stay in; empty for any.
    pub home_regions: Vec<String>,
    /// Its services.
    pub split: Vec<WeightedService>,
}

/// A service: a group of workers that run the same software.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Path of the workers' health checks.
    pub health_path: String,
    /// Connections to one worker from all nodes together.
    pub connection_limit: u32,
    /// Requests a second that a warming worker may get.
    pub warmup_rate: f64,
    /// How long a worker warms up after its start, ms.
    pub warmup_period_ms: u64,
    /// Its workers hold keys, and each key has one holder at a time.
    pub partitioned: bool,
}

/// Requests that a warming worker of a service may get in any one second.
pub fn warmup_limit(service: Option<&Service>, bounds: &Bounds) -> usize {
    let rate = service.map_or(0.0, |s| s.warmup_rate);
    let limit = rate * bounds.cold_excess + bounds.cold_slack;
    limit.clamp(0.0, 1e6).floor() as usize
}

/// What clients may send.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Largest header, bytes.
    pub header_bytes: usize,
    /// Largest body, bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a header to its last, ms.
    pub header_timeout_ms: u64,
    /// How long a connection may rest between two requests, ms.
    pub idle_timeout_ms: u64,
}

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Its version, from 1.
    pub version: u64,
    /// What clients may send.
    pub limits: ClientLimits,
    /// Routes by host, longest prefix first.
    pub hosts: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
}

impl Configuration {
    /// Reads a configuration and checks everything that can be checked without knowing the
    /// current one. The first error found is returned.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let (configuration, errors) = parse::parse(body);
        match (errors.into_iter().next(), configuration) {
            (None, Some(configuration)) => Ok(configuration),
            (Some(error), _) => Err(error),
            (None, None) => Err(ConfigurationError::Field("the body cannot be read".into())),
        }
    }

    /// Everything that is wrong with a configuration.
    pub fn errors(body: &[u8]) -> Vec<ConfigurationError> {
        parse::parse(body).1
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
