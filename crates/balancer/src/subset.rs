//! Which workers this node uses, and with how many connections to each, so
//! that all nodes together stay within what a worker accepts. Every node works
//! this out alone from the same lists; windows on a ring keep the shares even
//! and move little when workers or nodes come and go.

use config::constants as c;
use protocol::Worker;
use std::sync::Arc;

/// Where this node stands among the nodes that take clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Nodes that take clients, this one included.
    pub nodes: usize,
    /// This node's number among them, from 0.
    pub number: usize,
    /// Nodes of its zone, this one included.
    pub nodes_in_zone: usize,
    /// This node's number among those, from 0.
    pub number_in_zone: usize,
}

/// A worker of a subset.
#[derive(Clone, Debug)]
pub struct Member {
    /// The worker.
    pub worker: Arc<Worker>,
    /// How many connections this node may have to it.
    pub connections: u32,
}

/// The workers of a service that this node may use.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// The workers.
    pub members: Vec<Member>,
    /// How many nodes of its zone share a worker of this node's zone.
    pub sharing_nodes: f64,
}

impl Subset {
    /// `workers` are those of one service, in the order of their names.
    pub fn new(
        workers: &[Arc<Worker>],
        zone: &str,
        limit: u32,
        is_partitioned: bool,
        locality: Locality,
    ) -> Subset {
        let all_nodes = locality.nodes.max(1);
        let connections = limit / (all_nodes as u32 + 1);
        let is_scarce = connections < c::MIN_CONNECTIONS_PER_WORKER;
        if is_partitioned || !is_scarce && workers.len() <= c::SUBSET_THRESHOLD {
            let connections = connections.max(1);
            let members = workers
                .iter()
                .map(|w| Member {
                    worker: w.clone(),
                    connections,
                })
                .collect();
            let sharing_nodes = locality.nodes_in_zone.max(1) as f64;
            return Subset {
                members,
                sharing_nodes,
            };
        }
        let mut shared = 1.0;
        let mut zones: Vec<&str> = workers.iter().map(|w| w.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut members = Vec::new();
        for other_zone in zones {
            let in_this_zone: Vec<Arc<Worker>> = workers
                .iter()
                .filter(|w| w.zone == other_zone && !w.draining)
                .cloned()
                .collect();
            if in_this_zone.is_empty() {
                continue;
            }
            let is_local = other_zone == zone;
            let within_zone = (locality.number_in_zone, locality.nodes_in_zone.max(1));
            // Where connections abound, the nodes of each zone spread over all
            // workers of every other, so that a zone that loses its own workers
            // weighs evenly on them.
            let (number, nodes) = if is_local || !is_scarce {
                within_zone
            } else {
                (locality.number, all_nodes)
            };
            let room = f64::from(limit)
                * if is_local {
                    c::LOCAL_CONNECTION_PART
                } else {
                    c::REMOTE_CONNECTION_PART
                };
            let size = if is_local {
                c::LOCAL_SUBSET.min(in_this_zone.len())
            } else if is_scarce {
                let fits = (room * in_this_zone.len() as f64 / nodes as f64) as usize;
                fits.clamp(1, c::REMOTE_SUBSET).min(in_this_zone.len())
            } else {
                c::REMOTE_SUBSET.min(in_this_zone.len())
            };
            let callers = if is_local { nodes } else { all_nodes };
            let sharing_nodes = (callers * size).div_ceil(in_this_zone.len());
            let connections = ((room / sharing_nodes as f64) as u32).max(1);
            let connections = if is_local || !is_scarce { connections } else { 1 };
            if is_local {
                shared = sharing_nodes as f64;
            }
            members.extend(
                window(&in_this_zone, number, nodes, size).map(|worker| Member { worker, connections }),
            );
        }
        let sharing_nodes = shared;
        Subset {
            members,
            sharing_nodes,
        }
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
