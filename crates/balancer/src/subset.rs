//! Selects the workers that this node uses and the number of connections to each, so that all nodes
//! together stay within what a worker accepts. Every node computes its subset independently from
//! the same lists. Each subset is a window on a ring of workers, which keeps the shares even and
//! changes little when workers or nodes are added or removed.

use config::constants as c;
use protocol::Worker;
use std::sync::Arc;

/// Position of this node among the nodes that accept clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Number of nodes that accept clients, including this node.
    pub node_count: usize,
    /// Index of this node among the nodes that accept clients, from 0.
    pub index: usize,
    /// Number of nodes in the zone of this node that accept clients, including this node.
    pub zone_node_count: usize,
    /// Index of this node among the nodes of its zone that accept clients, from 0.
    pub index_in_zone: usize,
}

/// A worker in a subset.
#[derive(Clone, Debug)]
pub struct Member {
    /// The worker.
    pub worker: Arc<Worker>,
    /// Number of connections that this node may have to the worker.
    pub connections: u32,
}

/// The workers of a service that this node may use.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// The workers.
    pub members: Vec<Member>,
    /// Number of nodes in the zone of this node that share each worker of that zone.
    pub sharing_nodes: f64,
}

impl Subset {
    /// Selects the subset for a node in `zone`. `workers` are the workers of one service, sorted by
    /// identifier. `limit` is the number of connections that each worker accepts.
    pub fn new(
        workers: &[Arc<Worker>],
        zone: &str,
        limit: u32,
        is_partitioned: bool,
        locality: Locality,
    ) -> Subset {
        let all_nodes = locality.node_count.max(1);
        let connections = limit / (all_nodes as u32 + 1);
        let is_scarce = connections < c::MIN_CONNECTIONS_PER_WORKER;
        if is_partitioned || !is_scarce && workers.len() <= c::SUBSET_THRESHOLD {
            return Subset::of_all(workers, connections.max(1), locality);
        }
        let mut zones: Vec<&str> = workers.iter().map(|w| w.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut subset = Subset {
            members: Vec::new(),
            sharing_nodes: 1.0,
        };
        for other_zone in zones {
            let candidates: Vec<Arc<Worker>> = workers
                .iter()
                .filter(|w| w.zone == other_zone && !w.draining)
                .cloned()
                .collect();
            if candidates.is_empty() {
                continue;
            }
            let share = ZoneShare {
                is_local: other_zone == zone,
                is_scarce,
                limit,
                locality,
            };
            let (members, sharing_nodes) = share.select(&candidates);
            subset.members.extend(members);
            if share.is_local {
                subset.sharing_nodes = sharing_nodes as f64;
            }
        }
        subset
    }

    /// Creates a subset of all workers, each with the same number of connections.
    fn of_all(workers: &[Arc<Worker>], connections: u32, locality: Locality) -> Subset {
        let member = |worker: &Arc<Worker>| Member {
            worker: worker.clone(),
            connections,
        };
        Subset {
            members: workers.iter().map(member).collect(),
            sharing_nodes: locality.zone_node_count.max(1) as f64,
        }
    }
}

/// The share that a node has of the workers of one zone.
struct ZoneShare {
    /// Whether the zone is the zone of the node.
    is_local: bool,
    /// Whether there are too few connections for every node to use every worker.
    is_scarce: bool,
    /// Number of connections that each worker accepts.
    limit: u32,
    locality: Locality,
}

impl ZoneShare {
    /// Returns the workers of the zone that the node uses, and the number of nodes that use each of
    /// them.
    fn select(&self, candidates: &[Arc<Worker>]) -> (Vec<Member>, usize) {
        let all_nodes = self.locality.node_count.max(1);
        let zone_node_count = self.locality.zone_node_count.max(1);
        // If connections are not scarce, the nodes of each zone spread over all workers of every
        // other zone, so that a zone that loses its own workers loads those workers evenly.
        let (index, nodes) = if self.is_local || !self.is_scarce {
            (self.locality.index_in_zone, zone_node_count)
        } else {
            (self.locality.index, all_nodes)
        };
        let part = if self.is_local {
            c::LOCAL_CONNECTION_FRACTION
        } else {
            c::REMOTE_CONNECTION_FRACTION
        };
        let capacity = f64::from(self.limit) * part;
        let size = self.size(candidates.len(), capacity, nodes);
        let calling_nodes = if self.is_local { nodes } else { all_nodes };
        let sharing_nodes = (calling_nodes * size).div_ceil(candidates.len());
        let connections = ((capacity / sharing_nodes as f64) as u32).max(1);
        let connections = if self.is_local || !self.is_scarce {
            connections
        } else {
            1
        };
        let chosen = window(candidates, index, nodes, size);
        let members = chosen.map(|worker| Member { worker, connections });
        (members.collect(), sharing_nodes)
    }

    /// Returns how many of `candidates` workers the node uses if the nodes share `capacity`
    /// connections to each worker.
    fn size(&self, candidates: usize, capacity: f64, nodes: usize) -> usize {
        if self.is_local {
            c::LOCAL_SUBSET_WORKERS.min(candidates)
        } else if self.is_scarce {
            let affordable = (capacity * candidates as f64 / nodes as f64) as usize;
            affordable.clamp(1, c::REMOTE_SUBSET_WORKERS).min(candidates)
        } else {
            c::REMOTE_SUBSET_WORKERS.min(candidates)
        }
    }
}

/// Returns `size` consecutive workers on the ring, starting where this node's section of the ring
/// starts.
fn window(
    workers: &[Arc<Worker>],
    index: usize,
    nodes: usize,
    size: usize,
) -> impl Iterator<Item = Arc<Worker>> + '_ {
    let start = index * workers.len() / nodes;
    (start..start + size).map(|i| workers[i % workers.len()].clone())
}
