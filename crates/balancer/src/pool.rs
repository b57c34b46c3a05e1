//! Which workers this node uses, and with how many connections to each, so
//! that all nodes together stay within what a worker accepts. Every node works
//! this out alone from the same lists; windows on a ring keep the shares even
//! and move little when workers or nodes come and go.

use config::constants as c;
use protocol::Worker;
use std::sync::Arc;

/// Where this node stands among the edge nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Edge nodes in all, this one included, and its number among them.
    pub edges: usize,
    pub number: usize,
    /// The same within its zone.
    pub in_zone: usize,
    pub number_in_zone: usize,
}

/// The workers of a service that this node may use.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Workers, and how many connections this node may have to each.
    pub members: Vec<(Arc<Worker>, u32)>,
    /// How many nodes of its zone share a worker of this node's zone.
    pub sharers: f64,
}

impl Pool {
    /// `workers` are those of one service, in the order of their names.
    pub fn new(workers: &[Arc<Worker>], zone: &str, limit: u32, keyed: bool, place: Place) -> Pool {
        let edges = place.edges.max(1);
        let each = limit / (edges as u32 + 1);
        let scarce = each < c::MIN_CONNECTIONS_PER_WORKER;
        if keyed || !scarce && workers.len() <= c::SUBSET_THRESHOLD {
            let each = each.max(1);
            let members = workers.iter().map(|w| (w.clone(), each)).collect();
            let sharers = place.in_zone.max(1) as f64;
            return Pool { members, sharers };
        }
        let mut shared = 1.0;
        let mut zones: Vec<&str> = workers.iter().map(|w| w.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut members = Vec::new();
        for at in zones {
            let here: Vec<Arc<Worker>> = workers
                .iter()
                .filter(|w| w.zone == at && !w.draining)
                .cloned()
                .collect();
            if here.is_empty() {
                continue;
            }
            let near = at == zone;
            let in_zone = (place.number_in_zone, place.in_zone.max(1));
            // Where connections abound, the nodes of each zone spread over all
            // workers of every other, so that a zone that loses its own workers
            // weighs evenly on them.
            let (number, nodes) = if near || !scarce {
                in_zone
            } else {
                (place.number, edges)
            };
            let room = f64::from(limit)
                * if near {
                    c::LOCAL_CONNECTION_PART
                } else {
                    c::REMOTE_CONNECTION_PART
                };
            let size = if near {
                c::LOCAL_SUBSET.min(here.len())
            } else if scarce {
                let fits = (room * here.len() as f64 / nodes as f64) as usize;
                fits.clamp(1, c::REMOTE_SUBSET).min(here.len())
            } else {
                c::REMOTE_SUBSET.min(here.len())
            };
            let callers = if near { nodes } else { edges };
            let sharers = (callers * size).div_ceil(here.len());
            let each = ((room / sharers as f64) as u32).max(1);
            let each = if near || !scarce { each } else { 1 };
            if near {
                shared = sharers as f64;
            }
            members.extend(window(&here, number, nodes, size).map(|w| (w, each)));
        }
        let sharers = shared;
        Pool { members, sharers }
    }
}

/// A run of workers on the ring, begun where this node's part of it begins.
fn window(
    workers: &[Arc<Worker>],
    number: usize,
    nodes: usize,
    size: usize,
) -> impl Iterator<Item = Arc<Worker>> + '_ {
    let start = number * workers.len() / nodes;
    (start..start + size).map(|i| workers[i % workers.len()].clone())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

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
                let place = Place {
                    edges: 4 * per_zone,
                    number: z * per_zone + i,
                    in_zone: per_zone,
                    number_in_zone: i,
                };
                for (w, each) in Pool::new(workers, zone, limit, false, place).members {
                    *held.entry(w.id.clone()).or_default() += each;
                }
            }
        }
        held
    }

    #[test]
    fn fewer_connections_than_nodes_are_shared_evenly() {
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
    fn a_worker_that_goes_moves_little_and_many_connections_need_no_windows() {
        let place = Place {
            edges: 72,
            number: 10,
            in_zone: 18,
            number_in_zone: 10,
        };
        let names = |gone| -> Vec<String> {
            let pool = Pool::new(&workers(47, gone), "a", 34, false, place);
            pool.members
                .iter()
                .filter(|(w, _)| w.zone == "a")
                .map(|(w, _)| w.id.clone())
                .collect()
        };
        let (before, after) = (names(0), names(1));
        let kept = before.iter().filter(|id| after.contains(id)).count();
        assert!(kept + 2 >= before.len(), "{before:?} {after:?}");
        let all = Pool::new(&workers(40, 0), "a", 510, false, place);
        assert_eq!((all.members.len(), all.members[0].1), (160, 6));
    }

    #[test]
    fn of_many_workers_each_node_uses_few_and_a_zone_without_its_own_weighs_evenly() {
        let all = workers(90, 0);
        let held = held(&all, 1900, 75);
        let (least, most) = (held.values().min(), held.values().max());
        assert!(most <= Some(&1900) && least >= Some(&900), "{least:?} {most:?}");
        // The nodes of zone a, whose own workers are gone, call those of zone b.
        let mut called: BTreeMap<String, usize> = BTreeMap::new();
        for i in 0..75 {
            let place = Place {
                edges: 300,
                number: i,
                in_zone: 75,
                number_in_zone: i,
            };
            let pool = Pool::new(&all, "a", 1900, false, place);
            assert!(pool.members.len() < 30, "{}", pool.members.len());
            for (w, _) in pool.members.iter().filter(|(w, _)| w.zone == "b") {
                *called.entry(w.id.clone()).or_default() += 1;
            }
        }
        let (least, most) = (called.values().min(), called.values().max());
        assert_eq!(called.len(), 90, "nobody idles");
        assert!(least >= Some(&2) && most <= Some(&5), "{least:?} {most:?}");
    }
}
