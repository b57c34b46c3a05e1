//! The decision on the placement.

use placement::{
    compute_placement, GroupSite, Options, Placement, PlacementInput, ServiceGroup, ServiceSite,
};
use std::collections::BTreeMap;

const OPTIONS: Options = Options {
    watermark: 0.9,
    ranking_prefix: 3,
    deletion_threshold: 30.0,
    hysteresis: 3.0,
};

fn service_group(service: &str, group: &str) -> ServiceGroup {
    ServiceGroup {
        service: service.into(),
        group: group.into(),
    }
}

fn group_site(group: &str, site: &str) -> GroupSite {
    GroupSite {
        group: group.into(),
        site: site.into(),
    }
}

fn inputs(demand: &[(&str, &str, f64)], capacity: &[(&str, &str, f64)]) -> PlacementInput {
    let mut inputs = PlacementInput {
        sites: vec!["a".into(), "b".into(), "c".into()],
        ..Default::default()
    };
    for (s, g, r) in demand {
        inputs.demand.insert(service_group(s, g), *r);
    }
    for (s, n, c) in capacity {
        let key = ServiceSite {
            service: s.to_string(),
            site: n.to_string(),
        };
        inputs.worker_capacity.insert(key, *c);
    }
    for (i, n) in ["a", "b", "c"].iter().enumerate() {
        inputs.forwarding_capacity.insert(n.to_string(), 10_000.0);
        for (j, g) in ["ga", "gb", "gc"].iter().enumerate() {
            let d = if i == j { 2.0 } else { 40.0 + i as f64 };
            inputs.distance.insert(group_site(g, n), d);
        }
    }
    inputs
}

fn part(p: &Placement, s: &str, g: &str, site: &str) -> f64 {
    p[&service_group(s, g)].get(site).copied().unwrap_or(0.0)
}

#[test]
fn the_nearest_site_takes_up_to_its_watermark_and_the_rest_goes_on() {
    let i = inputs(
        &[("s", "ga", 200.0), ("s", "gb", 60.0), ("s", "gc", 60.0)],
        &[("s", "a", 100.0), ("s", "b", 300.0), ("s", "c", 100.0)],
    );
    let p = compute_placement(&i, &Placement::new(), &OPTIONS);
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
    let fresh = compute_placement(&i, &Placement::new(), &OPTIONS);
    assert_eq!(
        part(&fresh, "s", "gc", "c"),
        0.0,
        "below the threshold and not in use"
    );
    let mut before = Placement::new();
    before.insert(service_group("s", "gc"), BTreeMap::from([("c".into(), 1.0)]));
    let kept = compute_placement(&i, &before, &OPTIONS);
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
    let p = compute_placement(&i, &Placement::new(), &OPTIONS);
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
    let p = compute_placement(&i, &Placement::new(), &OPTIONS);
    assert!((part(&p, "s", "gc", "c") - 1.0).abs() < 0.01, "{p:?}");
}

#[test]
fn groups_that_rank_sites_alike_share_their_fractions() {
    let mut i = inputs(
        &[("s", "ga", 150.0), ("s", "gd", 50.0), ("s", "gb", 10.0)],
        &[("s", "a", 100.0), ("s", "b", 400.0), ("s", "c", 400.0)],
    );
    for (n, d) in [("a", 4.0), ("b", 50.0), ("c", 60.0)] {
        i.distance.insert(group_site("gd", n), d);
    }
    let p = compute_placement(&i, &Placement::new(), &OPTIONS);
    assert_eq!(p[&service_group("s", "ga")], p[&service_group("s", "gd")]);
}
