//! Computation of the placement: client groups that rank the sites alike are merged, a min-cost
//! flow within the watermark distributes their demand over the sites, and tiny flows are
//! consolidated.

use crate::consolidation::consolidate;
use crate::min_cost_flow::Network;
use config::constants as c;
use std::collections::{BTreeMap, BTreeSet};

/// Parameters of the placement computation.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Fraction of a capacity that the flow may use, 0 to 1.
    pub watermark: f64,
    /// Number of nearest sites that must be the same, in the same order, for two groups to be
    /// merged.
    pub ranking_prefix: usize,
    /// Rate below which a service's flow at a site is tiny, in requests/s.
    pub deletion_threshold: f64,
    /// Divisor of the threshold for a site that is already in use.
    pub hysteresis: f64,
}

/// A service and a client group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceGroup {
    /// Name of the service.
    pub service: String,
    /// Name of the client group.
    pub group: String,
}

/// A service at a site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceSite {
    /// Name of the service.
    pub service: String,
    /// Name of the site.
    pub site: String,
}

/// A client group and a site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupSite {
    /// Name of the client group.
    pub group: String,
    /// Name of the site.
    pub site: String,
}

/// Input of the placement computation.
#[derive(Clone, Debug, Default)]
pub struct PlacementInput {
    /// Names of all sites, in ascending order.
    pub sites: Vec<String>,
    /// Demand by service and client group, in requests/s.
    pub demand: BTreeMap<ServiceGroup, f64>,
    /// Capacity of a service's workers at a site, requests/s.
    pub worker_capacity: BTreeMap<ServiceSite, f64>,
    /// Forwarding capacity of the proxies of a site, requests/s.
    pub forwarding_capacity: BTreeMap<String, f64>,
    /// Round-trip time from a client group to a site, in milliseconds.
    pub distance: BTreeMap<GroupSite, f64>,
}

impl PlacementInput {
    /// Returns the capacity of a service's workers at a site, in requests/s.
    pub(crate) fn worker_capacity_at(&self, service: &str, site: &str) -> f64 {
        let key = ServiceSite {
            service: service.to_string(),
            site: site.to_string(),
        };
        self.worker_capacity.get(&key).copied().unwrap_or(0.0)
    }

    /// Returns the forwarding capacity of the proxies of a site, in requests/s.
    pub(crate) fn forwarding_capacity_at(&self, site: &str) -> f64 {
        self.forwarding_capacity.get(site).copied().unwrap_or(0.0)
    }

    /// Returns the round-trip time from a client group to each site, in milliseconds, in the order
    /// of `sites`.
    fn distances_of(&self, group: &str) -> Vec<f64> {
        let distance_to = |site: &String| {
            let key = GroupSite {
                group: group.to_string(),
                site: site.clone(),
            };
            self.distance.get(&key).copied().unwrap_or(f64::MAX)
        };
        self.sites.iter().map(distance_to).collect()
    }
}

/// For each service and client group, the fraction of directory responses that name each site.
pub type Placement = BTreeMap<ServiceGroup, BTreeMap<String, f64>>;

/// Units of flow per request/s: flow is counted in thousandths of a request per second.
const FLOW_UNITS_PER_REQUEST: f64 = 1000.0;
/// Units of cost per millisecond.
const COST_UNITS_PER_MS: f64 = 100.0;
/// Capacity of an edge without a limit.
pub(crate) const UNBOUNDED: i64 = i64::MAX / 8;
/// Distance assumed for a site whose distance is not known, in milliseconds.
const MAX_DISTANCE_MS: f64 = 1e6;

/// Converts a rate in requests/s to units of flow.
pub(crate) fn to_units(rate: f64) -> i64 {
    (rate * FLOW_UNITS_PER_REQUEST).round() as i64
}

/// Converts units of flow to a rate in requests/s.
pub(crate) fn to_rate(units: i64) -> f64 {
    units as f64 / FLOW_UNITS_PER_REQUEST
}

/// Rate of one unit of flow, in requests/s.
pub(crate) const MIN_RATE: f64 = 1.0 / FLOW_UNITS_PER_REQUEST;

/// Client groups of one service that rank the nearest sites alike.
pub(crate) struct DemandNode {
    pub(crate) service: String,
    groups: Vec<String>,
    /// Total demand of the groups, in requests/s.
    rate: f64,
    /// Rate-weighted mean distance to each site, in milliseconds.
    distance: Vec<f64>,
}

/// Flow of each demand node to each site, in requests/s.
pub(crate) type Flows = Vec<Vec<f64>>;

/// Computes the placement. `previous` is the last placement; it is used for the hysteresis.
pub fn compute_placement(input: &PlacementInput, previous: &Placement, options: &Options) -> Placement {
    let nodes = merge_groups(input, options.ranking_prefix);
    let mut flows = capped_flow(input, &nodes, options.watermark);
    spread_excess(input, &nodes, &mut flows);
    let flows = consolidate(input, &nodes, flows, previous, options);
    let mut placement = Placement::new();
    for (node, flow) in nodes.into_iter().zip(&flows) {
        let total: f64 = flow.iter().sum();
        if total <= 0.0 {
            continue;
        }
        let fractions: BTreeMap<String, f64> = input
            .sites
            .iter()
            .zip(flow)
            .filter(|(_, rate)| **rate > 0.0)
            .map(|(site, rate)| (site.clone(), rate / total))
            .collect();
        for group in node.groups {
            let service = node.service.clone();
            placement.insert(ServiceGroup { service, group }, fractions.clone());
        }
    }
    placement
}

/// Merges the client groups of a service whose nearest `prefix` sites are the same, in the same
/// order.
fn merge_groups(input: &PlacementInput, prefix: usize) -> Vec<DemandNode> {
    let mut merged: BTreeMap<(String, Vec<usize>), DemandNode> = BTreeMap::new();
    for (ServiceGroup { service, group }, rate) in &input.demand {
        let distance = input.distances_of(group);
        let mut ranking: Vec<usize> = (0..input.sites.len()).collect();
        ranking.sort_by(|a, b| distance[*a].total_cmp(&distance[*b]).then(a.cmp(b)));
        ranking.truncate(prefix);
        let rate = rate.max(MIN_RATE);
        let node = merged
            .entry((service.clone(), ranking))
            .or_insert_with(|| DemandNode {
                service: service.clone(),
                groups: Vec::new(),
                rate: 0.0,
                distance: vec![0.0; input.sites.len()],
            });
        for (mean, distance) in node.distance.iter_mut().zip(&distance) {
            *mean = (*mean * node.rate + distance.min(MAX_DISTANCE_MS) * rate) / (node.rate + rate);
        }
        node.rate += rate;
        node.groups.push(group.clone());
    }
    merged.into_values().collect()
}

/// Computes the cheapest flow within the watermarks. Edges lead from the source to each demand
/// node, from there to the service's node at each site, from there to the site, and from the site
/// to the sink.
fn capped_flow(input: &PlacementInput, nodes: &[DemandNode], watermark: f64) -> Flows {
    let mut network = Network::new(2);
    let (source, sink) = (0, 1);
    let sites: Vec<usize> = input
        .sites
        .iter()
        .map(|site| {
            let node = network.add_node();
            let capacity = to_units(input.forwarding_capacity_at(site) * watermark);
            network.add_edge(node, sink, capacity, 0);
            node
        })
        .collect();
    let mut service_parts: BTreeMap<(&str, usize), usize> = BTreeMap::new();
    let mut edges = Vec::new();
    for node in nodes {
        let demand = network.add_node();
        network.add_edge(source, demand, to_units(node.rate), 0);
        let mut row = Vec::new();
        for (i, site) in input.sites.iter().enumerate() {
            let capacity = to_units(input.worker_capacity_at(&node.service, site) * watermark);
            if capacity == 0 {
                row.push(None);
                continue;
            }
            let part = *service_parts.entry((&node.service, i)).or_insert_with(|| {
                let part = network.add_node();
                network.add_edge(part, sites[i], capacity, 0);
                part
            });
            let cost = (node.distance[i] * COST_UNITS_PER_MS) as i64;
            row.push(Some(network.add_edge(demand, part, UNBOUNDED, cost)));
        }
        edges.push(row);
    }
    network.solve(source, sink);
    edges.iter().map(|row| row_rates(&network, row)).collect()
}

/// Returns the flow on each edge of a row, in requests/s; 0 where there is no edge.
pub(crate) fn row_rates(network: &Network, row: &[Option<usize>]) -> Vec<f64> {
    row.iter()
        .map(|edge| edge.map_or(0.0, |edge| to_rate(network.flow(edge))))
        .collect()
}

/// Distributes demand beyond all watermarks over the sites in proportion to their capacity, or
/// assigns it to the nearest site with proxies if no site has capacity for the service.
fn spread_excess(input: &PlacementInput, nodes: &[DemandNode], flows: &mut Flows) {
    for (node, flow) in nodes.iter().zip(flows) {
        let excess = node.rate - flow.iter().sum::<f64>();
        if excess <= 0.5 / FLOW_UNITS_PER_REQUEST {
            continue;
        }
        let weights: Vec<f64> = input
            .sites
            .iter()
            .map(|site| {
                let workers = input.worker_capacity_at(&node.service, site);
                workers.min(input.forwarding_capacity_at(site))
            })
            .collect();
        let total: f64 = weights.iter().sum();
        if total > 0.0 {
            for (rate, weight) in flow.iter_mut().zip(&weights) {
                *rate += excess * weight / total;
            }
        } else if let Some(nearest) = nearest_site_with_proxies(input, node) {
            flow[nearest] += excess;
        }
    }
}

/// Returns the nearest site with proxies, or the nearest site if none has proxies, so that a
/// service without workers still has a site.
fn nearest_site_with_proxies(input: &PlacementInput, node: &DemandNode) -> Option<usize> {
    let nearest = |candidates: Vec<usize>| {
        candidates
            .into_iter()
            .min_by(|a, b| node.distance[*a].total_cmp(&node.distance[*b]))
    };
    let all: Vec<usize> = (0..input.sites.len()).collect();
    let with_proxies = all
        .iter()
        .copied()
        .filter(|i| input.forwarding_capacity_at(&input.sites[*i]) > 0.0)
        .collect();
    nearest(with_proxies).or_else(|| nearest(all))
}

/// Returns whether two placements differ by enough to be worth sending.
pub fn placements_differ(a: &Placement, b: &Placement) -> bool {
    let keys: BTreeSet<_> = a.keys().chain(b.keys()).collect();
    keys.into_iter().any(|key| match (a.get(key), b.get(key)) {
        (Some(parts), Some(other)) => parts_differ(parts, other),
        _ => true,
    })
}

fn parts_differ(a: &BTreeMap<String, f64>, b: &BTreeMap<String, f64>) -> bool {
    let sites: BTreeSet<_> = a.keys().chain(b.keys()).collect();
    sites.into_iter().any(|site| {
        let part_before = a.get(site).copied().unwrap_or(0.0);
        let part_after = b.get(site).copied().unwrap_or(0.0);
        (part_before - part_after).abs() >= c::FRACTION_STEP || (part_before == 0.0) != (part_after == 0.0)
    })
}
