//! Selection of the subset of workers that each node uses.

use balancer::{Locality, Subset};
use protocol::Worker;
use std::collections::BTreeMap;
use std::sync::Arc;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn workers(workers_per_zone: usize, removed: usize) -> Vec<Arc<Worker>> {
    let all = ZONES.iter().flat_map(|zone| {
        (0..workers_per_zone).map(move |i| {
            Arc::new(Worker {
                id: format!("{zone}{i}"),
                zone: (*zone).into(),
                ..Default::default()
            })
        })
    });
    all.skip(removed).collect()
}

/// Returns the number of connections that all nodes together may hold to each worker.
fn connections_by_worker(
    workers: &[Arc<Worker>],
    limit: u32,
    nodes_per_zone: usize,
) -> BTreeMap<String, u32> {
    let mut connections_by_worker: BTreeMap<String, u32> =
        workers.iter().map(|w| (w.id.clone(), 0)).collect();
    for (zone_index, zone) in ZONES.iter().enumerate() {
        for i in 0..nodes_per_zone {
            let locality = Locality {
                node_count: 4 * nodes_per_zone,
                index: zone_index * nodes_per_zone + i,
                zone_node_count: nodes_per_zone,
                index_in_zone: i,
            };
            for member in Subset::new(workers, zone, limit, false, locality).members {
                *connections_by_worker.entry(member.worker.id.clone()).or_default() += member.connections;
            }
        }
    }
    connections_by_worker
}

#[test]
fn scarce_connections_are_shared_evenly() {
    for (workers_per_zone, limit, nodes_per_zone) in [(47, 34, 18), (26, 34, 18), (11, 34, 18), (12, 40, 25)]
    {
        let connections_by_worker =
            connections_by_worker(&workers(workers_per_zone, 0), limit, nodes_per_zone);
        let (lowest, highest) = (
            connections_by_worker.values().min(),
            connections_by_worker.values().max(),
        );
        assert!(
            highest <= Some(&limit),
            "{workers_per_zone} workers per zone: {highest:?} connections exceed {limit}"
        );
        assert!(
            lowest >= Some(&(limit / 3)),
            "{workers_per_zone} workers per zone: some worker is underused, {lowest:?}"
        );
    }
}

#[test]
fn removed_worker_changes_few_members_and_ample_connections_need_no_subset() {
    let locality = Locality {
        node_count: 72,
        index: 10,
        zone_node_count: 18,
        index_in_zone: 10,
    };
    let names = |removed| -> Vec<String> {
        let subset = Subset::new(&workers(47, removed), "a", 34, false, locality);
        subset
            .members
            .iter()
            .filter(|m| m.worker.zone == "a")
            .map(|m| m.worker.id.clone())
            .collect()
    };
    let (before, after) = (names(0), names(1));
    let kept = before.iter().filter(|id| after.contains(id)).count();
    assert!(kept + 2 >= before.len(), "{before:?} {after:?}");
    let all = Subset::new(&workers(40, 0), "a", 510, false, locality);
    assert_eq!((all.members.len(), all.members[0].connections), (160, 6));
}

#[test]
fn node_uses_few_of_many_workers_and_a_zone_without_workers_spreads_evenly() {
    let all = workers(90, 0);
    let connections_by_worker = connections_by_worker(&all, 1900, 75);
    let (lowest, highest) = (
        connections_by_worker.values().min(),
        connections_by_worker.values().max(),
    );
    assert!(
        highest <= Some(&1900) && lowest >= Some(&900),
        "{lowest:?} {highest:?}"
    );
    // If the workers of zone a are gone, its nodes call those of zone b.
    let mut callers_by_worker: BTreeMap<String, usize> = BTreeMap::new();
    for i in 0..75 {
        let locality = Locality {
            node_count: 300,
            index: i,
            zone_node_count: 75,
            index_in_zone: i,
        };
        let subset = Subset::new(&all, "a", 1900, false, locality);
        assert!(subset.members.len() < 30, "{}", subset.members.len());
        for member in subset.members.iter().filter(|m| m.worker.zone == "b") {
            *callers_by_worker.entry(member.worker.id.clone()).or_default() += 1;
        }
    }
    let (lowest, highest) = (callers_by_worker.values().min(), callers_by_worker.values().max());
    assert_eq!(callers_by_worker.len(), 90, "every worker of zone b is called");
    assert!(
        lowest >= Some(&2) && highest <= Some(&5),
        "{lowest:?} {highest:?}"
    );
}
