//! Second flow of the placement computation. Tiny flows of a service move to sites where the
//! service has at least as much flow, if those sites have capacity. Smaller flows move first, and
//! sites with normal flow are preferred to those with tiny flow.

use crate::assignment::{
    row_rates, to_units, DemandNode, Flows, Options, Placement, PlacementInput, MIN_RATE, UNBOUNDED,
};
use crate::min_cost_flow::Network;
use std::collections::{BTreeMap, BTreeSet};

/// The tiny flow of a service at a site.
struct TinyFlow<'a> {
    service: &'a str,
    site: usize,
    /// Size of the flow, in requests/s.
    rate: f64,
}

/// The flows of all services, classified as tiny or normal.
struct Classified<'a> {
    services: BTreeSet<&'a str>,
    /// Flow of a service at a site, in requests/s.
    rates: BTreeMap<(&'a str, usize), f64>,
    /// Tiny flows, smallest first.
    tiny: Vec<TinyFlow<'a>>,
    normal: BTreeSet<(&'a str, usize)>,
}

impl Classified<'_> {
    /// Returns the flow that remains at a site when all tiny flows are removed, in requests/s.
    fn normal_rate(&self, service: &str, site: usize) -> f64 {
        if self.normal.contains(&(service, site)) {
            self.rates[&(service, site)]
        } else {
            0.0
        }
    }
}

/// Moves tiny flows to other sites. `previous` is the last placement; it is used for the
/// hysteresis.
pub(crate) fn consolidate(
    input: &PlacementInput,
    nodes: &[DemandNode],
    mut flows: Flows,
    previous: &Placement,
    options: &Options,
) -> Flows {
    let classified = classify(input, nodes, &flows, previous, options);
    if classified.tiny.is_empty() {
        return flows;
    }
    let destinations = solve(input, &classified, options);
    for (tiny, moved) in classified.tiny.iter().zip(&destinations) {
        move_flow(nodes, &mut flows, tiny, moved);
    }
    flows
}

/// Classifies the flows of each service as tiny or normal. If all flows of a service are tiny, its
/// largest counts as normal.
fn classify<'a>(
    input: &PlacementInput,
    nodes: &'a [DemandNode],
    flows: &Flows,
    previous: &Placement,
    options: &Options,
) -> Classified<'a> {
    let mut rates: BTreeMap<(&str, usize), f64> = BTreeMap::new();
    for (node, flow) in nodes.iter().zip(flows) {
        for (site, rate) in flow.iter().enumerate() {
            *rates.entry((node.service.as_str(), site)).or_default() += rate;
        }
    }
    let services: BTreeSet<&str> = nodes.iter().map(|n| n.service.as_str()).collect();
    let mut tiny = Vec::new();
    let mut normal = BTreeSet::new();
    for service in &services {
        let mut used: Vec<(usize, f64)> = (0..input.sites.len())
            .map(|site| (site, rates[&(*service, site)]))
            .filter(|(_, rate)| *rate > 0.0)
            .collect();
        used.sort_by(|a, b| b.1.total_cmp(&a.1));
        let is_tiny = |site: usize, rate: f64| {
            let ratio = if was_used(previous, service, &input.sites[site]) {
                options.hysteresis
            } else {
                1.0
            };
            rate < options.deletion_threshold / ratio
        };
        let all_tiny = used.iter().all(|(site, rate)| is_tiny(*site, *rate));
        for (rank, (site, rate)) in used.into_iter().enumerate() {
            if is_tiny(site, rate) && !(all_tiny && rank == 0) {
                tiny.push(TinyFlow { service, site, rate });
            } else {
                normal.insert((*service, site));
            }
        }
    }
    tiny.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    Classified {
        services,
        rates,
        tiny,
        normal,
    }
}

/// Returns whether the last placement sent clients of the service to the site.
fn was_used(previous: &Placement, service: &str, site: &str) -> bool {
    previous
        .iter()
        .any(|(key, parts)| key.service == service && parts.get(site).is_some_and(|part| *part > 0.0))
}

/// Returns, for each tiny flow, how much of it goes to each site, in requests/s.
fn solve(input: &PlacementInput, classified: &Classified, options: &Options) -> Flows {
    let mut network = Network::new(2);
    let (source, sink) = (0, 1);
    let site_count = input.sites.len();
    let sites: Vec<usize> = (0..site_count)
        .map(|site| {
            let node = network.add_node();
            let services = classified.services.iter();
            let used: f64 = services.map(|s| classified.normal_rate(s, site)).sum();
            let capacity = input.forwarding_capacity_at(&input.sites[site]) * options.watermark;
            let normal_count = classified.normal.iter().filter(|(_, n)| *n == site).count() as i64;
            network.add_edge(node, sink, to_units((capacity - used).max(0.0)), normal_count);
            node
        })
        .collect();
    let mut service_parts: BTreeMap<(&str, usize), usize> = BTreeMap::new();
    let mut edges: Vec<Vec<Option<usize>>> = Vec::new();
    for (rank, tiny) in classified.tiny.iter().enumerate() {
        let demand = network.add_node();
        network.add_edge(source, demand, to_units(tiny.rate), 0);
        let mut row = vec![None; site_count];
        for (site, slot) in row.iter_mut().enumerate() {
            let rate_there = classified.rates[&(tiny.service, site)];
            if rate_there <= 0.0 || rate_there < tiny.rate {
                continue;
            }
            let part = *service_parts.entry((tiny.service, site)).or_insert_with(|| {
                let part = network.add_node();
                let capacity = input.worker_capacity_at(tiny.service, &input.sites[site]) * options.watermark;
                let spare_rate = capacity - classified.normal_rate(tiny.service, site);
                network.add_edge(part, sites[site], to_units(spare_rate.max(0.0)), 0);
                part
            });
            let cost = move_cost(classified, rank, site, options);
            *slot = Some(network.add_edge(demand, part, UNBOUNDED, cost));
        }
        edges.push(row);
    }
    network.solve(source, sink);
    edges.iter().map(|row| row_rates(&network, row)).collect()
}

/// Returns the cost of moving a tiny flow to a site. Sites with normal flow cost nothing. Among
/// sites with tiny flow, a larger one is cheaper, and all of them cost more the smaller the moved
/// flow is.
fn move_cost(classified: &Classified, rank: usize, site: usize, options: &Options) -> i64 {
    /// Cost of one rank among the tiny flows, and upper bound of the part of the cost that depends
    /// on the site's flow.
    const RANK_WEIGHT: i64 = 1000;
    let service = classified.tiny[rank].service;
    if classified.normal.contains(&(service, site)) {
        return 0;
    }
    // One step of this cost outweighs every edge from a site to the sink.
    let step = classified.services.len() as i64 + 2;
    let smaller_rank = (classified.tiny.len() - rank) as i64;
    let rate_there = classified.rates[&(service, site)];
    let inverse = (options.deletion_threshold / rate_there.max(MIN_RATE)).clamp(1.0, RANK_WEIGHT as f64);
    step * (smaller_rank * RANK_WEIGHT + inverse as i64)
}

/// Moves a tiny flow of a service, by the same fractions in each of its demand nodes.
fn move_flow(nodes: &[DemandNode], flows: &mut Flows, tiny: &TinyFlow, moved: &[f64]) {
    let total: f64 = moved.iter().sum();
    let stays = (tiny.rate - total).max(0.0);
    for (node, flow) in nodes.iter().zip(flows) {
        if node.service != tiny.service || flow[tiny.site] <= 0.0 {
            continue;
        }
        let original_rate = flow[tiny.site];
        flow[tiny.site] = original_rate * stays / tiny.rate;
        for (site, rate) in moved.iter().enumerate() {
            flow[site] += original_rate * rate / tiny.rate;
        }
    }
}
