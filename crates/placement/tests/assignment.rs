//! Computation of the placement.

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

fn placement_input(demand: &[(&str, &str, f64)], capacity: &[(&str, &str, f64)]) -> PlacementInput {
    let mut input = PlacementInput {
        sites: vec!["a".into(), "b".into(), "c".into()],
        ..Default::default()
    };
    for (s, g, r) in demand {
        input.demand.insert(service_group(s, g), *r);
    }
    for (s, n, c) in capacity {
        let key = ServiceSite {
            service: s.to_string(),
            site: n.to_string(),
        };
        input.worker_capacity.insert(key, *c);
    }
    for (i, n) in ["a", "b", "c"].iter().enumerate() {
        input.forwarding_capacity.insert(n.to_string(), 10_000.0);
        for (j, g) in ["ga", "gb", "gc"].iter().enumerate() {
            let d = if i == j { 2.0 } else { 40.0 + i as f64 };
            input.distance.insert(group_site(g, n), d);
        }
    }
    input
}

fn part(placement: &Placement, s: &str, g: &str, site: &str) -> f64 {
    placement[&service_group(s, g)].get(site).copied().unwrap_or(0.0)
}

#[test]
fn nearest_site_fills_to_its_watermark_and_the_rest_overflows() {
    let input = placement_input(
        &[("s", "ga", 200.0), ("s", "gb", 60.0), ("s", "gc", 60.0)],
        &[("s", "a", 100.0), ("s", "b", 300.0), ("s", "c", 100.0)],
    );
    let placement = compute_placement(&input, &Placement::new(), &OPTIONS);
    assert!(
        (part(&placement, "s", "ga", "a") - 90.0 / 200.0).abs() < 0.01,
        "{placement:?}"
    );
    assert!(part(&placement, "s", "ga", "b") > 0.5 - 0.01);
    assert!((part(&placement, "s", "gb", "b") - 1.0).abs() < 0.01);
}

#[test]
fn tiny_flow_is_moved_unless_its_site_is_in_use() {
    let input = placement_input(
        &[("s", "ga", 100.0), ("s", "gb", 100.0), ("s", "gc", 12.0)],
        &[("s", "a", 300.0), ("s", "b", 300.0), ("s", "c", 300.0)],
    );
    let first = compute_placement(&input, &Placement::new(), &OPTIONS);
    assert_eq!(
        part(&first, "s", "gc", "c"),
        0.0,
        "below the threshold and not in use"
    );
    let mut previous = Placement::new();
    previous.insert(service_group("s", "gc"), BTreeMap::from([("c".into(), 1.0)]));
    let kept = compute_placement(&input, &previous, &OPTIONS);
    assert_eq!(part(&kept, "s", "gc", "c"), 1.0, "12 is above 30 / 3");
}

#[test]
fn largest_flow_stays_if_all_are_tiny_and_a_service_without_workers_has_a_site() {
    let input = placement_input(
        &[
            ("s", "ga", 3.0),
            ("s", "gb", 4.0),
            ("s", "gc", 2.0),
            ("t", "ga", 50.0),
        ],
        &[("s", "a", 300.0), ("s", "b", 300.0), ("s", "c", 300.0)],
    );
    let placement = compute_placement(&input, &Placement::new(), &OPTIONS);
    for g in ["ga", "gb", "gc"] {
        assert_eq!(part(&placement, "s", g, "b"), 1.0, "{placement:?}");
    }
    assert_eq!(part(&placement, "t", "ga", "a"), 1.0);
}

#[test]
fn tiny_flow_stays_if_no_other_site_has_capacity() {
    let input = placement_input(
        &[("s", "ga", 90.0), ("s", "gb", 90.0), ("s", "gc", 12.0)],
        &[("s", "a", 100.0), ("s", "b", 100.0), ("s", "c", 300.0)],
    );
    let placement = compute_placement(&input, &Placement::new(), &OPTIONS);
    assert!(
        (part(&placement, "s", "gc", "c") - 1.0).abs() < 0.01,
        "{placement:?}"
    );
}

#[test]
fn groups_that_rank_sites_alike_share_their_fractions() {
    let mut input = placement_input(
        &[("s", "ga", 150.0), ("s", "gd", 50.0), ("s", "gb", 10.0)],
        &[("s", "a", 100.0), ("s", "b", 400.0), ("s", "c", 400.0)],
    );
    for (n, d) in [("a", 4.0), ("b", 50.0), ("c", 60.0)] {
        input.distance.insert(group_site("gd", n), d);
    }
    let placement = compute_placement(&input, &Placement::new(), &OPTIONS);
    assert_eq!(
        placement[&service_group("s", "ga")],
        placement[&service_group("s", "gd")]
    );
}
