use crate::flow::Network;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub watermark: f64,
    pub prefix: usize,
    pub deletion_threshold: f64,
    pub hysteresis: f64,
}

/// What a decision rests on. Rates and capacities are in requests a second,
/// distances in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    pub sites: Vec<String>,
    pub demand: BTreeMap<(String, String), f64>,
    /// Capacity of a service's workers at a site.
    pub capacity: BTreeMap<(String, String), f64>,
    /// What the proxies of a site can carry.
    pub carry: BTreeMap<String, f64>,
    pub distance: BTreeMap<(String, String), f64>,
}

/// For each service and group, the part of the answers that points at each site.
pub type Placement = BTreeMap<(String, String), BTreeMap<String, f64>>;

/// Flow is counted in thousandths of a request a second.
const UNIT: f64 = 1000.0;
/// Cost is counted in hundredths of a millisecond.
const COST: f64 = 100.0;
const PLENTY: i64 = i64::MAX / 8;

/// A group node: client groups of one service that rank the sites alike.
struct Node {
    service: String,
    groups: Vec<String>,
    rate: f64,
    /// Rate-weighted mean distance to each site.
    distance: Vec<f64>,
}

/// Decides the placement. `before` is the last decision, for the hysteresis.
pub fn place(inputs: &Inputs, before: &Placement, options: &Options) -> Placement {
    let nodes = merge(inputs, options.prefix);
    let flows = first_flow(inputs, &nodes, options);
    let moved = remove_tiny(inputs, &nodes, flows, before, options);
    let mut placement = Placement::new();
    for (node, flow) in nodes.iter().zip(&moved) {
        let total: f64 = flow.iter().sum();
        if total <= 0.0 {
            continue;
        }
        let parts: BTreeMap<String, f64> = inputs
            .sites
            .iter()
            .zip(flow)
            .filter(|(_, f)| **f > 0.0)
            .map(|(s, f)| (s.clone(), f / total))
            .collect();
        for group in &node.groups {
            placement.insert((node.service.clone(), group.clone()), parts.clone());
        }
    }
    placement
}

/// Merges the groups of a service whose rankings share a prefix.
fn merge(inputs: &Inputs, prefix: usize) -> Vec<Node> {
    let mut merged: BTreeMap<(String, Vec<usize>), Node> = BTreeMap::new();
    for ((service, group), rate) in &inputs.demand {
        let distance: Vec<f64> = inputs
            .sites
            .iter()
            .map(|s| {
                inputs
                    .distance
                    .get(&(group.clone(), s.clone()))
                    .copied()
                    .unwrap_or(f64::MAX)
            })
            .collect();
        let mut ranking: Vec<usize> = (0..inputs.sites.len()).collect();
        ranking.sort_by(|a, b| distance[*a].total_cmp(&distance[*b]).then(a.cmp(b)));
        ranking.truncate(prefix);
        let rate = rate.max(1.0 / UNIT);
        let node = merged.entry((service.clone(), ranking)).or_insert_with(|| Node {
            service: service.clone(),
            groups: Vec::new(),
            rate: 0.0,
            distance: vec![0.0; inputs.sites.len()],
        });
        for (mean, d) in node.distance.iter_mut().zip(&distance) {
            *mean = (*mean * node.rate + d.min(1e6) * rate) / (node.rate + rate);
        }
        node.rate += rate;
        node.groups.push(group.clone());
    }
    merged.into_values().collect()
}

fn units(rate: f64) -> i64 {
    (rate * UNIT).round() as i64
}

fn capacity(inputs: &Inputs, service: &str, site: &str) -> f64 {
    inputs
        .capacity
        .get(&(service.to_string(), site.to_string()))
        .copied()
        .unwrap_or(0.0)
}

fn carry(inputs: &Inputs, site: &str) -> f64 {
    inputs.carry.get(site).copied().unwrap_or(0.0)
}

/// Source to group nodes, group nodes to the service's part of each site, that
/// to the site, and the site to the sink. What fits nowhere goes the nearest
/// way that there is, in proportion to what room there is.
fn first_flow(inputs: &Inputs, nodes: &[Node], options: &Options) -> Vec<Vec<f64>> {
    let mut net = Network::new(2);
    let (source, sink) = (0, 1);
    let sites: Vec<usize> = inputs
        .sites
        .iter()
        .map(|s| {
            let node = net.node();
            net.edge(node, sink, units(carry(inputs, s) * options.watermark), 0);
            node
        })
        .collect();
    let mut parts: BTreeMap<(String, usize), usize> = BTreeMap::new();
    let mut edges = Vec::new();
    for node in nodes {
        let at = net.node();
        net.edge(source, at, units(node.rate), 0);
        let mut row = Vec::new();
        for (i, site) in inputs.sites.iter().enumerate() {
            let room = units(capacity(inputs, &node.service, site) * options.watermark);
            if room == 0 {
                row.push(None);
                continue;
            }
            let part = *parts.entry((node.service.clone(), i)).or_insert_with(|| {
                let part = net.node();
                net.edge(part, sites[i], room, 0);
                part
            });
            row.push(Some(net.edge(at, part, PLENTY, (node.distance[i] * COST) as i64)));
        }
        edges.push(row);
    }
    net.solve(source, sink);
    let mut flows: Vec<Vec<f64>> = edges
        .iter()
        .map(|row| {
            row.iter()
                .map(|e| e.map_or(0.0, |e| net.flow(e) as f64 / UNIT))
                .collect()
        })
        .collect();
    for (node, flow) in nodes.iter().zip(&mut flows) {
        let left = node.rate - flow.iter().sum::<f64>();
        if left <= 0.5 / UNIT {
            continue;
        }
        let weights: Vec<f64> = inputs
            .sites
            .iter()
            .map(|s| capacity(inputs, &node.service, s).min(carry(inputs, s)))
            .collect();
        let total: f64 = weights.iter().sum();
        if total > 0.0 {
            for (f, w) in flow.iter_mut().zip(&weights) {
                *f += left * w / total;
            }
        } else if let Some(nearest) = nearest_carrying(inputs, node) {
            flow[nearest] += left;
        }
    }
    flows
}

/// The nearest site with proxies; a service without workers still has a site.
fn nearest_carrying(inputs: &Inputs, node: &Node) -> Option<usize> {
    let near = |candidates: Vec<usize>| {
        candidates
            .into_iter()
            .min_by(|a, b| node.distance[*a].total_cmp(&node.distance[*b]))
    };
    let all: Vec<usize> = (0..inputs.sites.len()).collect();
    let carrying = all
        .iter()
        .copied()
        .filter(|i| carry(inputs, &inputs.sites[*i]) > 0.0)
        .collect();
    near(carrying).or_else(|| near(all))
}

/// The second flow: tiny flows go to sites where the service has at least as
/// much, if those have room; smaller ones first, normal sites before tiny ones.
fn remove_tiny(
    inputs: &Inputs,
    nodes: &[Node],
    mut flows: Vec<Vec<f64>>,
    before: &Placement,
    options: &Options,
) -> Vec<Vec<f64>> {
    let count = inputs.sites.len();
    let services: BTreeSet<&str> = nodes.iter().map(|n| n.service.as_str()).collect();
    let mut at: BTreeMap<(&str, usize), f64> = BTreeMap::new();
    for (node, flow) in nodes.iter().zip(&flows) {
        for (i, f) in flow.iter().enumerate() {
            *at.entry((node.service.as_str(), i)).or_default() += f;
        }
    }
    let used_before = |service: &str, site: &str| {
        before
            .iter()
            .any(|((s, _), parts)| s == service && parts.get(site).is_some_and(|p| *p > 0.0))
    };
    let mut tiny: Vec<(&str, usize, f64)> = Vec::new();
    let mut normal: BTreeSet<(&str, usize)> = BTreeSet::new();
    for service in &services {
        let mut mine: Vec<(usize, f64)> = (0..count)
            .map(|i| (i, at[&(*service, i)]))
            .filter(|(_, f)| *f > 0.0)
            .collect();
        mine.sort_by(|a, b| b.1.total_cmp(&a.1));
        let is_tiny = |i: usize, f: f64| {
            let ratio = if used_before(service, &inputs.sites[i]) {
                options.hysteresis
            } else {
                1.0
            };
            f < options.deletion_threshold / ratio
        };
        let all_tiny = mine.iter().all(|(i, f)| is_tiny(*i, *f));
        for (rank, (i, f)) in mine.into_iter().enumerate() {
            if is_tiny(i, f) && !(all_tiny && rank == 0) {
                tiny.push((service, i, f));
            } else {
                normal.insert((service, i));
            }
        }
    }
    if tiny.is_empty() {
        return flows;
    }
    tiny.sort_by(|a, b| a.2.total_cmp(&b.2));
    // Room left once all tiny flows are lifted out.
    let kept = |service: &str, i: usize| {
        if normal.contains(&(service, i)) {
            at[&(service, i)]
        } else {
            0.0
        }
    };
    let mut net = Network::new(2);
    let (source, sink) = (0, 1);
    let sites: Vec<usize> = (0..count)
        .map(|i| {
            let node = net.node();
            let used: f64 = services.iter().map(|s| kept(s, i)).sum();
            let room = (carry(inputs, &inputs.sites[i]) * options.watermark - used).max(0.0);
            let load = normal.iter().filter(|(_, n)| *n == i).count() as i64;
            net.edge(node, sink, units(room), load);
            node
        })
        .collect();
    // One step of a demand edge outweighs every edge from a site to the sink.
    let step = services.len() as i64 + 2;
    let mut parts: BTreeMap<(&str, usize), usize> = BTreeMap::new();
    let mut edges: Vec<Vec<Option<usize>>> = Vec::new();
    for (rank, (service, _, f)) in tiny.iter().enumerate() {
        let demand = net.node();
        net.edge(source, demand, units(*f), 0);
        let mut row = vec![None; count];
        for (i, slot) in row.iter_mut().enumerate() {
            let there = at[&(*service, i)];
            let is_normal = normal.contains(&(*service, i));
            if there <= 0.0 || there < *f {
                continue;
            }
            let part = *parts.entry((*service, i)).or_insert_with(|| {
                let part = net.node();
                let room = capacity(inputs, service, &inputs.sites[i]) * options.watermark;
                net.edge(part, sites[i], units((room - kept(service, i)).max(0.0)), 0);
                part
            });
            // Among tiny sites the larger is cheaper, and all tiny sites cost
            // more the smaller the demand is.
            let cost = if is_normal {
                0
            } else {
                let shrink = (tiny.len() - rank) as i64;
                let inverse = (options.deletion_threshold / there.max(1.0 / UNIT)).clamp(1.0, 1000.0);
                step * (shrink * 1000 + inverse as i64)
            };
            *slot = Some(net.edge(demand, part, PLENTY, cost));
        }
        edges.push(row);
    }
    net.solve(source, sink);
    for ((service, from, f), row) in tiny.iter().zip(&edges) {
        let given: Vec<f64> = row
            .iter()
            .map(|e| e.map_or(0.0, |e| net.flow(e) as f64 / UNIT))
            .collect();
        let total: f64 = given.iter().sum();
        let stays = (f - total).max(0.0);
        for (node, flow) in nodes.iter().zip(&mut flows) {
            if node.service != **service || flow[*from] <= 0.0 {
                continue;
            }
            let lifted = flow[*from];
            flow[*from] = lifted * stays / f;
            for (i, g) in given.iter().enumerate() {
                flow[i] += lifted * g / f;
            }
        }
    }
    flows
}

#[cfg(test)]
mod tests {
    use super::*;

    const OPTIONS: Options = Options {
        watermark: 0.9,
        prefix: 3,
        deletion_threshold: 30.0,
        hysteresis: 3.0,
    };

    fn inputs(demand: &[(&str, &str, f64)], capacity: &[(&str, &str, f64)]) -> Inputs {
        let mut inputs = Inputs {
            sites: vec!["a".into(), "b".into(), "c".into()],
            ..Default::default()
        };
        for (s, g, r) in demand {
            inputs.demand.insert((s.to_string(), g.to_string()), *r);
        }
        for (s, n, c) in capacity {
            inputs.capacity.insert((s.to_string(), n.to_string()), *c);
        }
        for (i, n) in ["a", "b", "c"].iter().enumerate() {
            inputs.carry.insert(n.to_string(), 10_000.0);
            for (j, g) in ["ga", "gb", "gc"].iter().enumerate() {
                let d = if i == j { 2.0 } else { 40.0 + i as f64 };
                inputs.distance.insert((g.to_string(), n.to_string()), d);
            }
        }
        inputs
    }

    fn part(p: &Placement, s: &str, g: &str, site: &str) -> f64 {
        p[&(s.to_string(), g.to_string())]
            .get(site)
            .copied()
            .unwrap_or(0.0)
    }

    #[test]
    fn the_nearest_site_takes_up_to_its_watermark_and_the_rest_goes_on() {
        let i = inputs(
            &[("s", "ga", 200.0), ("s", "gb", 60.0), ("s", "gc", 60.0)],
            &[("s", "a", 100.0), ("s", "b", 300.0), ("s", "c", 100.0)],
        );
        let p = place(&i, &Placement::new(), &OPTIONS);
        assert!((part(&p, "s", "ga", "a") - 90.0 / 200.0).abs() < 0.01, "{p:?}");
        assert!(part(&p, "s", "ga", "b") > 0.5 - 0.01);
        assert!((part(&p, "s", "gb", "b") - 1.0).abs() < 0.01);
    }

    #[test]
    fn a_tiny_flow_is_deleted_unless_the_site_is_in_use() {
        let i = inputs(
            &[("s", "ga", 100.0), ("s", "gb", 100.0), ("s", "gc", 12.0)],
            &[("s", "a", 300.0), ("s", "b", 300.0), ("s", "c", 300.0)],
        );
        let fresh = place(&i, &Placement::new(), &OPTIONS);
        assert_eq!(
            part(&fresh, "s", "gc", "c"),
            0.0,
            "below the threshold and not in use"
        );
        let mut before = Placement::new();
        before.insert(("s".into(), "gc".into()), BTreeMap::from([("c".into(), 1.0)]));
        let kept = place(&i, &before, &OPTIONS);
        assert_eq!(part(&kept, "s", "gc", "c"), 1.0, "12 is above 30 / 3");
    }

    #[test]
    fn the_largest_is_kept_when_all_are_tiny_and_without_workers_there_is_a_site() {
        let i = inputs(
            &[
                ("s", "ga", 3.0),
                ("s", "gb", 4.0),
                ("s", "gc", 2.0),
                ("t", "ga", 50.0),
            ],
            &[("s", "a", 300.0), ("s", "b", 300.0), ("s", "c", 300.0)],
        );
        let p = place(&i, &Placement::new(), &OPTIONS);
        for g in ["ga", "gb", "gc"] {
            assert_eq!(part(&p, "s", g, "b"), 1.0, "{p:?}");
        }
        assert_eq!(part(&p, "t", "ga", "a"), 1.0);
    }

    #[test]
    fn a_tiny_flow_stays_when_nobody_else_has_room() {
        let i = inputs(
            &[("s", "ga", 90.0), ("s", "gb", 90.0), ("s", "gc", 12.0)],
            &[("s", "a", 100.0), ("s", "b", 100.0), ("s", "c", 300.0)],
        );
        let p = place(&i, &Placement::new(), &OPTIONS);
        assert!((part(&p, "s", "gc", "c") - 1.0).abs() < 0.01, "{p:?}");
    }

    #[test]
    fn groups_that_rank_sites_alike_share_their_fractions() {
        let mut i = inputs(
            &[("s", "ga", 150.0), ("s", "gd", 50.0), ("s", "gb", 10.0)],
            &[("s", "a", 100.0), ("s", "b", 400.0), ("s", "c", 400.0)],
        );
        for (n, d) in [("a", 4.0), ("b", 50.0), ("c", 60.0)] {
            i.distance.insert(("gd".into(), n.into()), d);
        }
        let p = place(&i, &Placement::new(), &OPTIONS);
        assert_eq!(p[&("s".into(), "ga".into())], p[&("s".into(), "gd".into())]);
    }
}
