//! Which workers each node uses.

use balancer::{Locality, Subset};
use protocol::Worker;
use std::collections::BTreeMap;
use std::sync::Arc;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn workers(each: usize, gone: usize) -> Vec<Arc<Worker>> {
    let all = ZONES.iter().flat_map(|zone| {
        (0..each).map(move |i| {
            Arc::new(Worker {
                id: format!("{zone}{i}"),
                zone: (*zone).into(),
                ..Default::default()
            })
        })
    });
    all.skip(gone).collect()
}

/// Connections that all nodes together may hold to each worker.
fn held(workers: &[Arc<Worker>], limit: u32, per_zone: usize) -> BTreeMap<String, u32> {
    let mut held: BTreeMap<String, u32> = workers.iter().map(|w| (w.id.clone(), 0)).collect();
    for (z, zone) in ZONES.iter().enumerate() {
        for i in 0..per_zone {
            let place = Locality {
                nodes: 4 * per_zone,
                number: z * per_zone + i,
                nodes_in_zone: per_zone,
                number_in_zone: i,
            };
            for member in Subset::new(workers, zone, limit, false, place).members {
                *held.entry(member.worker.id.clone()).or_default() += member.connections;
            }
        }
    }
    held
}

#[test]
fn scarce_connections_are_shared_evenly() {
    for (each, limit, per_zone) in [(47, 34, 18), (26, 34, 18), (11, 34, 18), (12, 40, 25)] {
        let held = held(&workers(each, 0), limit, per_zone);
        let (least, most) = (held.values().min(), held.values().max());
        assert!(most <= Some(&limit), "{each} workers: {most:?} of {limit}");
        assert!(
            least >= Some(&(limit / 3)),
            "{each} workers: nobody idles, {least:?}"
        );
    }
}

#[test]
fn removed_worker_moves_little_and_many_connections_need_no_subset() {
    let place = Locality {
        nodes: 72,
        number: 10,
        nodes_in_zone: 18,
        number_in_zone: 10,
    };
    let names = |gone| -> Vec<String> {
        let subset = Subset::new(&workers(47, gone), "a", 34, false, place);
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
    let all = Subset::new(&workers(40, 0), "a", 510, false, place);
    assert_eq!((all.members.len(), all.members[0].connections), (160, 6));
}

#[test]
fn each_node_uses_few_of_many_workers_and_a_zone_without_its_own_spreads_evenly() {
    let all = workers(90, 0);
    let held = held(&all, 1900, 75);
    let (least, most) = (held.values().min(), held.values().max());
    assert!(most <= Some(&1900) && least >= Some(&900), "{least:?} {most:?}");
    // The nodes of zone a, whose own workers are gone, call those of zone b.
    let mut called: BTreeMap<String, usize> = BTreeMap::new();
    for i in 0..75 {
        let place = Locality {
            nodes: 300,
            number: i,
            nodes_in_zone: 75,
            number_in_zone: i,
        };
        let subset = Subset::new(&all, "a", 1900, false, place);
        assert!(subset.members.len() < 30, "{}", subset.members.len());
        for member in subset.members.iter().filter(|m| m.worker.zone == "b") {
            *called.entry(member.worker.id.clone()).or_default() += 1;
        }
    }
    let (least, most) = (called.values().min(), called.values().max());
    assert_eq!(called.len(), 90, "nobody idles");
    assert!(least >= Some(&2) && most <= Some(&5), "{least:?} {most:?}");
}
