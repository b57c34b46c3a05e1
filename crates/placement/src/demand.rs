//! Aggregation of the nodes' reports into demand, capacities and distances.

use crate::assignment::{GroupSite, PlacementInput, ServiceGroup, ServiceSite};
use crate::outcomes::Outcomes;
use config::{constants as c, WeightedService};
use control_state::ControlState;
use protocol::{name_hash, Report};
use std::collections::{BTreeMap, BTreeSet};

/// Forwarding capacity assumed for a site that reports none, in requests/s.
const DEFAULT_FORWARDING_RATE: f64 = 1e6;
/// Number of responses up to which the default response time is assumed for a worker.
const MIN_SERVED: f64 = 0.5;

/// The latest report of a node, and when it was received, in milliseconds.
struct LatestReport {
    received_at: u64,
    report: Report,
}

/// The hash of a service's name, and the name of a client group.
type DemandKey = (u32, String);

/// Request rates, capacities and distances as known to the leader.
#[derive(Default)]
pub struct DemandTracker {
    /// Requests counted in the current period.
    request_counts: BTreeMap<DemandKey, f64>,
    /// Start of the current period, in milliseconds.
    period_started_at: Option<u64>,
    /// Smoothed request rates, in requests/s.
    rates: BTreeMap<DemandKey, f64>,
    /// Latest reports by node and site, since a node also forwards the reports of its learners.
    latest: BTreeMap<(u64, String), LatestReport>,
    /// Outcomes by the hash of the worker's name.
    outcomes: BTreeMap<u32, Outcomes>,
}

impl DemandTracker {
    /// Adds a node's report.
    pub fn record(&mut self, now: u64, node: u64, report: Report) {
        self.period_started_at
            .get_or_insert(now.saturating_sub(report.interval_ms));
        for demand in &report.demand {
            let group = if demand.group.is_empty() {
                &report.zone
            } else {
                &demand.group
            };
            *self
                .request_counts
                .entry((demand.service, group.clone()))
                .or_default() += demand.count as f64;
        }
        for worker in &report.workers {
            self.outcomes.entry(worker.worker).or_default().add(worker);
        }
        self.latest.insert(
            (node, report.site.clone()),
            LatestReport {
                received_at: now,
                report,
            },
        );
    }

    /// Closes the current period: smooths the rates and returns the input of the placement
    /// computation. The rate of a group that no node reports decays but never falls below the
    /// deletion threshold, so that missing reports alone do not remove a site from the group.
    /// `sites_up` names the sites whose proxies are up; if it is `None`, there are no proxies in
    /// front of the workers, and forwarding is not limited.
    pub fn close_period(
        &mut self,
        now: u64,
        state: &ControlState,
        zones: &BTreeMap<String, String>,
        sites_up: Option<&BTreeSet<String>>,
    ) -> PlacementInput {
        self.smooth(now);
        self.latest
            .retain(|_, latest| now.saturating_sub(latest.received_at) < c::REPORT_STALE_MS);
        let sites: BTreeSet<String> = zones.values().cloned().collect();
        let mut input = PlacementInput {
            sites: sites.into_iter().collect(),
            ..Default::default()
        };
        let Some(config) = &state.configuration else {
            return input;
        };
        for service in config.services.keys() {
            for zone in zones.keys() {
                let key = ServiceGroup {
                    service: service.to_string(),
                    group: zone.clone(),
                };
                input.demand.insert(key, self.rate(service, zone));
            }
        }
        self.add_worker_capacity(state, zones, &mut input);
        for site in &input.sites {
            let rate = self.forwarding_rate(site, sites_up);
            input.forwarding_capacity.insert(site.clone(), rate);
        }
        for (zone, home) in zones {
            for site in &input.sites {
                let key = GroupSite {
                    group: zone.clone(),
                    site: site.clone(),
                };
                input.distance.insert(key, self.round_trip_ms(home, site));
            }
        }
        input
    }

    /// Returns the smoothed rate of a service's requests from a zone, in requests/s.
    fn rate(&self, service: &str, zone: &str) -> f64 {
        let known = self.rates.get(&(name_hash(service), zone.to_string()));
        known.copied().unwrap_or(0.0).max(c::DELETION_THRESHOLD)
    }

    /// Returns the forwarding capacity of a site's proxies, in requests/s.
    fn forwarding_rate(&self, site: &str, sites_up: Option<&BTreeSet<String>>) -> f64 {
        let reports = self.latest.values().filter(|l| l.report.site == *site);
        let reported: f64 = reports.map(|l| l.report.forwarding_rate).sum();
        match sites_up.map(|up| up.contains(site)) {
            Some(false) => 0.0,
            Some(true) if reported > 0.0 => reported,
            // A site that is up but has no reports counts as able to forward.
            Some(true) | None => DEFAULT_FORWARDING_RATE,
        }
    }

    fn smooth(&mut self, now: u64) {
        let Some(period_started_at) = self.period_started_at.replace(now) else {
            return;
        };
        let seconds = now.saturating_sub(period_started_at) as f64 / 1000.0;
        if seconds <= 0.0 {
            return;
        }
        self.outcomes
            .retain(|_, outcomes| outcomes.decay(1.0 - c::RATE_SMOOTHING));
        for rate in self.rates.values_mut() {
            *rate *= 1.0 - c::RATE_SMOOTHING;
        }
        for (key, count) in std::mem::take(&mut self.request_counts) {
            let new_rate = count / seconds;
            match self.rates.get_mut(&key) {
                Some(rate) => *rate += c::RATE_SMOOTHING * new_rate,
                None => {
                    self.rates.insert(key, new_rate);
                }
            }
        }
    }

    /// Adds the capacity of each usable worker, its slots divided by its response time. Workers are
    /// skipped that are draining, ejected, in an evacuated zone, outside the service's home
    /// regions, or fail more often than they succeed.
    fn add_worker_capacity(
        &self,
        state: &ControlState,
        zones: &BTreeMap<String, String>,
        input: &mut PlacementInput,
    ) {
        let homes = home_regions(state);
        for worker in state.workers.values() {
            let Some(site) = zones.get(&worker.zone) else {
                continue;
            };
            if worker.draining
                || state.evacuated.contains_key(&worker.zone)
                || state.ejected.contains(&worker.id)
            {
                continue;
            }
            if let Some(Some(allowed)) = homes.get(worker.service.as_str()) {
                if !allowed.contains(site.as_str()) {
                    continue;
                }
            }
            let outcomes = self.outcomes.get(&name_hash(&worker.id));
            let outcomes = outcomes.copied().unwrap_or_default();
            if outcomes.failed > outcomes.served {
                continue;
            }
            let key = ServiceSite {
                service: worker.service.clone(),
                site: site.clone(),
            };
            *input.worker_capacity.entry(key).or_default() +=
                f64::from(worker.slots.max(1)) * 1000.0 / response_ms(&outcomes);
        }
    }

    /// Returns the mean round-trip time between two sites as reported by nodes, in milliseconds.
    fn round_trip_ms(&self, from: &str, to: &str) -> f64 {
        if from == to {
            return c::LOCAL_RTT_MS;
        }
        let reported: Vec<f64> = self
            .latest
            .values()
            .filter(|latest| latest.report.site == from)
            .flat_map(|latest| &latest.report.round_trips)
            .filter(|trip| trip.site == name_hash(to) && trip.rtt_ms > 0.0)
            .map(|trip| f64::from(trip.rtt_ms))
            .collect();
        if reported.is_empty() {
            c::DEFAULT_RTT_MS
        } else {
            reported.iter().sum::<f64>() / reported.len() as f64
        }
    }
}

/// Returns the mean response time of a worker, in milliseconds, or the default if it has answered
/// too few requests.
fn response_ms(outcomes: &Outcomes) -> f64 {
    if outcomes.served > MIN_SERVED {
        outcomes.mean_response_ms().max(1.0)
    } else {
        c::DEFAULT_RESPONSE_MS
    }
}

/// Returns, for each service, the home regions of its routes; `None` if one of its routes has no
/// home regions.
fn home_regions(state: &ControlState) -> BTreeMap<&str, Option<BTreeSet<&str>>> {
    let mut homes: BTreeMap<&str, Option<BTreeSet<&str>>> = BTreeMap::new();
    let Some(config) = &state.configuration else {
        return homes;
    };
    for route in config.hosts.values().flatten() {
        for WeightedService { service, .. } in &route.split {
            let known = homes.entry(service).or_insert_with(|| Some(BTreeSet::new()));
            if route.home_regions.is_empty() {
                *known = None;
            } else if let Some(regions) = known {
                regions.extend(route.home_regions.iter().map(String::as_str));
            }
        }
    }
    homes
}
